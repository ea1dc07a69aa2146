//! Roles whose cost is their messages, measured with the state machines alone in virtual time.
//!
//! Bytes are those of the message contents as JSON, without the overhead of JSON-RPC, WebSocket,
//! TCP and IP.

use std::hint::black_box;
use std::time::Duration;

use serde::Serialize;

use crate::capacity::Series;
use crate::capacity::cost;
use kelpworks_coord::claim::Action as ClaimAction;
use kelpworks_coord::claim::ApiReply;
use kelpworks_coord::claim::Claim;
use kelpworks_coord::claim::Config as ClaimConfig;
use kelpworks_coord::claim::Event as ClaimEvent;
use kelpworks_coord::claim::Outcome;
use kelpworks_coord::claim::Record;
use kelpworks_coord::claim::Request;
use kelpworks_coord::claim::RunResult;
use kelpworks_coord::dissemination;
use kelpworks_coord::dissemination::Dissemination;
use kelpworks_coord::head::Generation;
use kelpworks_coord::id::DomainId;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Nonce;
use kelpworks_coord::id::Version;
use kelpworks_coord::membership::Action;
use kelpworks_coord::membership::Config;
use kelpworks_coord::membership::Entry;
use kelpworks_coord::membership::Event;
use kelpworks_coord::membership::Membership;
use kelpworks_coord::membership::Update;
use kelpworks_coord::rendezvous;
use kelpworks_coord::time::Instant;

const DAEMON_COUNTS: [usize; 4] = [30, 100, 200, 370];
/// Virtual time of a membership run, and between two ticks.
const RUN_MS: u64 = 60_000;
const TICK_MS: u64 = 100;
/// Maximum number of membership updates in a message.
const MAX_UPDATES: usize = 8;
/// Time from which the silent daemon, in the runs that have one, no longer sends or replies.
const SILENT_FROM_MS: u64 = 10_000;
const WATCHERS: usize = 2;
const DOMAINS: u64 = 4;
const OUTCOME_SIZES: [usize; 3] = [100, 1_000, 10_000];
const MIN_CPU_TIME: Duration = Duration::from_millis(200);
const MICROS_PER_SECOND: f64 = 1e6;

/// Measures membership, dissemination of generations, and claims.
pub(super) fn all() -> Vec<Series> {
    let mut series = membership();
    series.extend(generations());
    series.extend(claims());
    series
}

fn membership() -> Vec<Series> {
    let role = "membership";
    let mut quiet = Series::new(role, "bytes/s sent a daemon, quiet", "daemons");
    let mut messages = Series::new(role, "messages/s sent a daemon, quiet", "daemons");
    let mut loss = Series::new(
        role,
        "bytes/s sent a daemon, one lost in a minute",
        "daemons",
    );
    let mut time = Series::new(role, "us/s of processor a daemon, quiet", "daemons");
    let mut memory = Series::new(role, "bytes held", "daemons");
    for size in DAEMON_COUNTS {
        let x = size as f64;
        let seconds = RUN_MS as f64 / 1_000.0;
        let share = seconds * x;
        let mut net = Net::new(size);
        let start = cost::cpu_time_of_this_thread();
        net.run(None);
        let spent = (cost::cpu_time_of_this_thread() - start).as_secs_f64();
        quiet.add(x, net.bytes as f64 / share);
        messages.add(x, net.messages as f64 / share);
        time.add(x, spent * MICROS_PER_SECOND / share);
        memory.add(x, cost::resident_bytes_per_value(|| net.nodes[0].clone()));
        let mut net = Net::new(size);
        net.run(Some(0));
        loss.add(x, net.bytes as f64 / share);
    }
    vec![quiet, messages, loss, time, memory]
}

/// Contents of a probe or of its reply.
#[derive(Serialize)]
struct Message<'a> {
    from: NodeId,
    incarnation: Incarnation,
    view: Option<Update>,
    updates: &'a [Update],
}

/// Membership state machines with instant message delivery; one of them may be silent.
struct Net {
    nodes: Vec<Membership>,
    silent: Option<usize>,
    messages: u64,
    bytes: u64,
}

impl Net {
    fn new(size: usize) -> Net {
        let id = |n: usize| NodeId(n as u64);
        let domain = |n: usize| DomainId(n as u64 % DOMAINS);
        let entry = |n: usize| Entry {
            node: id(n),
            domain: domain(n),
            leaving: false,
        };
        let entries: Vec<Entry> = (0..size).map(entry).collect();
        let incarnation = Incarnation(1);
        let node = |n: usize| {
            let mut node = Membership::new(Config::default(), id(n), domain(n), incarnation);
            node.on_event(Instant::ZERO, Event::HostList(entries.clone()));
            for from in (0..size).filter(|&m| m != n).map(id) {
                node.on_event(Instant::ZERO, Event::Contact { from, incarnation });
            }
            while !node.take_updates(MAX_UPDATES).is_empty() {}
            node
        };
        Net {
            nodes: (0..size).map(node).collect(),
            silent: None,
            messages: 0,
            bytes: 0,
        }
    }

    fn run(&mut self, silent: Option<usize>) {
        for ms in (0..RUN_MS).step_by(TICK_MS as usize) {
            if ms >= SILENT_FROM_MS {
                self.silent = silent;
            }
            let now = Instant::from_millis(ms);
            for n in 0..self.nodes.len() {
                if self.silent != Some(n) {
                    let actions = self.nodes[n].on_event(now, Event::Tick);
                    self.handle_actions(now, n, actions);
                }
            }
        }
    }

    fn handle_actions(&mut self, now: Instant, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Probe { target, view } => self.probe(now, n, target.0 as usize, view),
                // The intermediary probes the target and replies to the sender.
                Action::IndirectProbe { via, target, view } => {
                    self.send(now, n, via.0 as usize, Some(view));
                    self.probe(now, via.0 as usize, target.0 as usize, view);
                    self.send(now, via.0 as usize, n, None);
                }
                Action::Ack { .. } | Action::HealthChanged { .. } => {}
            }
        }
    }

    fn probe(&mut self, now: Instant, from: usize, to: usize, view: Update) {
        self.send(now, from, to, Some(view));
        if self.silent == Some(to) {
            return;
        }
        let incarnation = self.nodes[from].incarnation();
        let from_id = NodeId(from as u64);
        let event = Event::Probed {
            from: from_id,
            incarnation,
            view,
        };
        for action in self.nodes[to].on_event(now, event) {
            if let Action::Ack {
                incarnation, view, ..
            } = action
            {
                self.send(now, to, from, view);
                let from_id = NodeId(to as u64);
                let contact = Event::Contact {
                    from: from_id,
                    incarnation,
                };
                self.nodes[from].on_event(now, contact);
            }
        }
    }

    fn send(&mut self, now: Instant, from: usize, to: usize, view: Option<Update>) {
        let updates = self.nodes[from].take_updates(MAX_UPDATES);
        let message = Message {
            from: NodeId(from as u64),
            incarnation: self.nodes[from].incarnation(),
            view,
            updates: &updates,
        };
        self.messages += 1;
        self.bytes += json_bytes(&message);
        if self.silent != Some(to) {
            self.nodes[to].on_event(now, Event::Updates(updates));
        }
    }
}

fn json_bytes<T: Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |v| v.len() as u64)
}

fn generations() -> Vec<Series> {
    let role = "config relay";
    let mut pushes = Series::new(role, "pushes a change, all daemons", "daemons");
    let mut rounds = Series::new(role, "rounds of pushes a change", "daemons");
    let mut missed = Series::new(role, "daemons left to heartbeats", "daemons");
    let mut watches = Series::new(role, "waiting watches", "daemons");
    for size in DAEMON_COUNTS {
        let x = size as f64;
        let change = GenerationChange::run(size);
        pushes.add(x, change.pushes as f64);
        rounds.add(x, change.rounds as f64);
        missed.add(x, change.missed as f64);
        watches.add(x, change.watchers as f64);
    }
    vec![pushes, rounds, missed, watches]
}

/// Cost of disseminating one generation, starting from the daemons that watch the object API.
struct GenerationChange {
    watchers: usize,
    pushes: usize,
    rounds: usize,
    missed: usize,
}

impl GenerationChange {
    fn run(size: usize) -> GenerationChange {
        let members: Vec<(NodeId, DomainId)> = (0..size as u64)
            .map(|n| (NodeId(n), DomainId(n % DOMAINS)))
            .collect();
        let watchers = rendezvous::choose(&members, "kelpworks.head", WATCHERS);
        let mut daemons: Vec<Dissemination> = members
            .iter()
            .map(|&(node, _)| Dissemination::new(dissemination::Config::default(), node))
            .collect();
        let mut has_generation = vec![false; size];
        let mut next = watchers.clone();
        let (mut pushes, mut rounds) = (0, 0);
        while !next.is_empty() {
            let mut pushed = Vec::new();
            for node in next {
                let peers: Vec<NodeId> = members
                    .iter()
                    .map(|m| m.0)
                    .filter(|&peer| peer != node)
                    .collect();
                has_generation[node.0 as usize] = true;
                let learned = dissemination::Event::Learned(Generation(1));
                for action in daemons[node.0 as usize].on_event(learned, &peers) {
                    if let dissemination::Action::Push(to) = action {
                        pushed.push(to);
                    }
                }
            }
            pushes += pushed.len();
            rounds += usize::from(!pushed.is_empty());
            pushed.retain(|to| !has_generation[to.0 as usize]);
            pushed.sort_unstable();
            pushed.dedup();
            next = pushed;
        }
        GenerationChange {
            watchers: watchers.len(),
            pushes,
            rounds,
            missed: has_generation.iter().filter(|k| !**k).count(),
        }
    }
}

fn claims() -> Vec<Series> {
    let role = "claims";
    let mut writes = Series::new(role, "writes a keyed call", "outcome bytes");
    let mut bytes = Series::new(role, "bytes written a keyed call", "outcome bytes");
    let mut time = Series::new(role, "us a keyed call, state machine", "outcome bytes");
    for size in OUTCOME_SIZES {
        let x = size as f64;
        let records = claim(size);
        writes.add(x, records.len() as f64);
        bytes.add(x, records.iter().map(json_bytes).sum::<u64>() as f64);
        let seconds = cost::cpu_seconds_per_call(MIN_CPU_TIME, || {
            black_box(claim(size));
        });
        time.add(x, seconds * MICROS_PER_SECOND);
    }
    vec![writes, bytes, time]
}

/// Records that the first submission of a keyed call writes until its outcome is stored.
fn claim(outcome_bytes: usize) -> Vec<Record> {
    let now = Instant::ZERO;
    let request = Request {
        digest: u64::MAX,
        holder: NodeId(u64::MAX),
        incarnation: Incarnation(1_700_000_000_000),
        nonce: Nonce(u64::MAX),
        deadline: Instant::from_millis(5_000),
    };
    let outcome = Outcome {
        status: 200,
        body: "x".repeat(outcome_bytes),
    };
    let mut claim = Claim::new(ClaimConfig::default(), request);
    let mut written = Vec::new();
    let mut event = Some(ClaimEvent::Start);
    while let Some(input) = event.take() {
        for action in claim.on_event(now, input) {
            match action {
                ClaimAction::Write { record, .. } => {
                    written.push(record);
                    let version = Version::initial(written.len() as u64);
                    event = Some(ClaimEvent::Api(ApiReply::Stored(version)));
                }
                ClaimAction::Dispatch => {
                    let run = RunResult::Completed(outcome.clone());
                    event = Some(ClaimEvent::Finished(run));
                }
                _ => {}
            }
        }
    }
    written
}
