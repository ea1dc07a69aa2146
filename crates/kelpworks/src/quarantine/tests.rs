//! Tests of the quarantine state: scripts of events, whose results are compared with snapshots.

use std::fmt::Write;
use std::time::Duration;

use Op::*;
use insta::assert_snapshot;
use rstest::rstest;
use slotmap::SlotMap;

use crate::fleet::UpstreamKey;
use crate::quarantine::Config;
use crate::quarantine::Fact;
use crate::quarantine::PendingStep;
use crate::quarantine::Statement;
use crate::quarantine::fingerprint;
use crate::quarantine::state::BeginResult;
use crate::quarantine::state::State;
use crate::quarantine::state::StepKey;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;

/// Identifier of the daemon under test; those of its peers are lower and higher.
const ME: NodeId = NodeId(5);
const LOWER_PEER: u64 = 1;
const HIGHER_PEER: u64 = 9;
/// Names of the upstreams, which the scripts refer to by index.
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// An event of a script; requests and upstreams are referred to by number.
#[derive(Clone, Copy, Debug)]
enum Op {
    /// Tries to begin a step: request, upstream, number of known tokens.
    Start(u64, usize, u32),
    /// Ends the step that was the `n`th to begin, from 0.
    End(usize),
    /// Reports that the upstream of the `n`th step died while it ran the step.
    Crash(usize),
    /// Records progress of a request: request, number of known tokens.
    Reach(u64, u32),
    /// Records the complete answer of a request: request, number of known tokens.
    Whole(u64, u32),
    /// Checks whether a new request may run.
    Check(u64),
    /// Applies a fact of a peer: peer, request, and for `Suspects` the upstream that died.
    Suspects(u64, u64, usize),
    Clears(u64, u64),
    Refuses(u64, u64),
    /// Advances the time by milliseconds.
    Wait(u64),
}

struct Script {
    state: State,
    keys: Vec<UpstreamKey>,
    now: Instant,
    /// Steps in the order of their begin, with the names of their upstreams.
    begun: Vec<(StepKey, &'static str)>,
}

impl Script {
    fn new() -> Script {
        let mut arena = SlotMap::with_key();
        Script {
            state: State::new(&Config::default(), ME),
            keys: NAMES.map(|_| arena.insert(())).into(),
            now: Instant::ZERO,
            begun: Vec::new(),
        }
    }

    fn run(ops: &[Op]) -> String {
        let mut script = Script::new();
        let mut transcript = String::new();
        for &op in ops {
            let result = script.step(op);
            writeln!(transcript, "{op:?}: {result}").expect("text");
        }
        transcript
    }

    fn step(&mut self, op: Op) -> String {
        let facts = match op {
            Start(request, upstream, known) => return self.start(request, upstream, known),
            End(n) => {
                self.state.end(self.now, self.begun[n].0);
                Vec::new()
            }
            Crash(n) => {
                let (key, name) = self.begun[n];
                self.state.record_crash(self.now, key, name, true)
            }
            Reach(request, known) => {
                let request = Fingerprint(request);
                self.state.record_progress(self.now, request, known, false)
            }
            Whole(request, known) => {
                let request = Fingerprint(request);
                self.state.record_progress(self.now, request, known, true)
            }
            Check(request) => {
                let checked = self.state.check(self.now, Fingerprint(request));
                return format!("{checked:?}");
            }
            Suspects(by, request, died) => self.learn(by, request, suspect(died)),
            Clears(by, request) => self.learn(by, request, Statement::Cleared),
            Refuses(by, request) => self.learn(by, request, refused()),
            Wait(ms) => {
                self.now = self.now + Span::from_millis(ms);
                Vec::new()
            }
        };
        let facts: Vec<String> = facts
            .iter()
            .map(|f| format!("{} {}", f.name(), f.fingerprint.0))
            .collect();
        facts.join(", ")
    }

    fn start(&mut self, request: u64, upstream: usize, known: u32) -> String {
        let pending = PendingStep {
            fingerprint: Fingerprint(request),
            upstream: self.keys[upstream],
            name: NAMES[upstream],
            known_tokens: known,
        };
        match self.state.begin(self.now, pending) {
            BeginResult::Begun { key, .. } => {
                self.begun.push((key, NAMES[upstream]));
                format!("begun as {}", self.begun.len() - 1)
            }
            other => format!("{other:?}"),
        }
    }

    fn learn(&mut self, by: u64, request: u64, statement: Statement) -> Vec<Fact> {
        let fact = Fact {
            by: NodeId(by),
            fingerprint: Fingerprint(request),
            statement,
        };
        self.state.apply_fact(self.now, fact);
        Vec::new()
    }
}

fn suspect(died: usize) -> Statement {
    Statement::Suspect {
        upstream: UpstreamId::of(NAMES[died]),
        remaining: Duration::from_secs(300),
    }
}

fn refused() -> Statement {
    Statement::Refused {
        remaining: Duration::from_secs(300),
    }
}

#[rstest]
#[case::second_crash_in_isolation_refuses(&[
    Start(1, 0, 3), Start(2, 0, 8), Crash(0), Crash(1), End(0), End(1), Wait(50),
    Start(1, 1, 3), Start(2, 1, 8), Start(2, 2, 8), Start(3, 1, 5), Crash(2), End(2),
    Check(1), Check(2), Check(3), Start(1, 3, 3),
])]
#[case::equal_requests_run_one_at_a_time(&[
    Start(1, 0, 3), Crash(0), End(0), Wait(50),
    Start(1, 1, 3), Start(1, 2, 3), End(1), Start(1, 2, 3),
])]
#[case::crash_of_step_begun_before_suspicion_does_not_count(&[
    Start(1, 0, 3), Start(1, 1, 3), Crash(0), End(0), Crash(1), End(1), Check(1),
    Wait(50), Start(1, 2, 3), Crash(2), Check(1),
])]
#[case::crash_of_restarted_single_replica_refuses(&[
    Start(1, 0, 3), Crash(0), End(0), Wait(50), Start(1, 0, 3), Crash(1), Check(1),
])]
#[case::progress_past_the_crash_clears(&[
    Start(1, 0, 8), Crash(0), End(0), Reach(1, 8), Reach(1, 9), Reach(1, 10),
    Start(1, 0, 10), Start(2, 0, 4), Crash(1), Check(1),
])]
#[case::complete_answer_clears(&[
    Start(1, 0, 8), Crash(0), End(0), Whole(1, 5), Whole(1, 9),
])]
#[case::refusal_expires(&[
    Refuses(LOWER_PEER, 1), Check(1), Wait(299_999), Check(1), Wait(1), Check(1),
])]
#[case::suspicion_expires(&[
    Start(1, 0, 3), Crash(0), End(0), Wait(299_999), Start(1, 1, 3), End(1), Wait(1),
    Start(1, 1, 3), Start(1, 2, 3),
])]
#[case::suspect_waits_for_isolation_delay(&[
    Start(1, 0, 3), Crash(0), End(0), Wait(49), Start(1, 1, 3), Wait(1), Start(1, 1, 3),
])]
#[case::peer_with_lower_id_goes_first(&[
    Start(1, 0, 3), Suspects(LOWER_PEER, 2, 0), Crash(0), End(0), Wait(50),
    Start(1, 1, 3), Clears(LOWER_PEER, 2), Start(1, 1, 3),
])]
#[case::peer_with_higher_id_does_not_block(&[
    Start(1, 0, 3), Suspects(HIGHER_PEER, 2, 0), Crash(0), End(0), Wait(50), Start(1, 1, 3),
])]
#[case::silent_peer_blocks_until_timeout(&[
    Start(1, 0, 3), Suspects(LOWER_PEER, 2, 0), Crash(0), End(0), Wait(2_999),
    Start(1, 1, 3), Wait(1), Start(1, 1, 3),
])]
#[case::crash_is_not_attributed_while_lower_peer_tests(&[
    Start(1, 0, 3), Crash(0), End(0), Wait(50), Start(1, 1, 3),
    Suspects(LOWER_PEER, 2, 0), Crash(1), Check(1),
])]
#[case::crash_is_attributed_when_peer_suspects_same_crash(&[
    Start(1, 0, 3), Crash(0), End(0), Wait(50), Start(1, 1, 3),
    Suspects(LOWER_PEER, 2, 1), Crash(1), Check(1),
])]
#[case::request_under_test_by_peer_waits(&[
    Suspects(HIGHER_PEER, 1, 0), Check(1), Start(1, 0, 3), Clears(HIGHER_PEER, 1), Check(1),
    Start(1, 0, 3),
])]
#[case::peer_refusal_applies_here(&[
    Suspects(HIGHER_PEER, 1, 0), Refuses(HIGHER_PEER, 1), Check(1), Suspects(HIGHER_PEER, 1, 0),
    Check(1),
])]
fn script_gives_expected_transcript(#[case] ops: &[Op]) {
    let name = std::thread::current().name().unwrap_or_default().to_owned();
    let case = name.rsplit("::").next().unwrap_or_default();
    let case = case.splitn(3, '_').last().unwrap_or_default();
    assert_snapshot!(case, Script::run(ops));
}

#[rstest]
#[case::same(("t", "m", "p"), true)]
#[case::team(("u", "m", "p"), false)]
#[case::model(("t", "n", "p"), false)]
#[case::prompt(("t", "m", "q"), false)]
#[case::parts_are_delimited(("t", "mp", ""), false)]
fn fingerprint_distinguishes_team_model_and_prompt(
    #[case] parts: (&str, &str, &str),
    #[case] same: bool,
) {
    let (team, model, prompt) = parts;
    let equal = fingerprint(team, model, prompt) == fingerprint("t", "m", "p");
    assert_eq!(equal, same);
}
