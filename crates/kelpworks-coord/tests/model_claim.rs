//! Model check of claims; specified in `docs/spec/claim.md`.

mod checker;

use rstest::rstest;

use checker::Model;
use checker::assert_caught;
use checker::assert_holds;
use checker::bound;
use kelpworks_coord::claim::Action;
use kelpworks_coord::claim::Answer;
use kelpworks_coord::claim::ApiReply;
use kelpworks_coord::claim::Claim;
use kelpworks_coord::claim::Config;
use kelpworks_coord::claim::Event;
use kelpworks_coord::claim::NotRunReason;
use kelpworks_coord::claim::Outcome;
use kelpworks_coord::claim::PeerStatus;
use kelpworks_coord::claim::Phase;
use kelpworks_coord::claim::Record;
use kelpworks_coord::claim::Request;
use kelpworks_coord::claim::RunResult;
use kelpworks_coord::claim::Stored;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Nonce;
use kelpworks_coord::id::Version;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;

const AT_MOST_ONCE: &str = "at most one run";
const NOT_RUN_IS_TRUE: &str = "a submission answered not-run never ran";
const SAME_OUTCOME: &str = "all answers of a key are the same";
const REPEAT_GETS_OUTCOME: &str = "a retry after success gets its outcome while the holder lives";
const NOT_BLOCKED: &str = "a key that was never dispatched is not blocked while its holders live";

/// Deadline of all submissions. The clock has only two values, before it and at it, since only its
/// passing matters.
const DEADLINE: Instant = Instant::from_millis(1_000);

#[derive(Clone, Copy, PartialEq)]
enum Mutant {
    None,
    /// The object API ignores the condition of a write.
    Unconditional,
    /// A lost reply counts as a write that took effect.
    LostIsStored,
    /// A dead holder counts as one that never dispatched.
    DeadNeverDispatched,
    /// The driver answers a waiting caller `not-run` without an input to the state machine.
    DriverAnswers,
    /// Peers get another outcome than the caller.
    OutcomeChanged,
    /// A daemon drops its abandoned claims at once.
    ForgetsAbandoned,
    /// Outcomes are neither recorded nor reported to peers.
    OutcomeLost,
}

struct ClaimModel {
    /// Daemon that receives each submission.
    sent_to: Vec<usize>,
    faults: u8,
    crashes: u8,
    mutant: Mutant,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Action(Action),
    Replied(ApiReply),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Upstream {
    Idle,
    /// Dispatched and not executed yet.
    Sent,
    Executed,
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Submission {
    claim: Claim,
    started: bool,
    /// Whether the daemon that held it crashed.
    crashed_holder: bool,
    /// Whether its daemon observes that the deadline has passed.
    late: bool,
    call: Option<Call>,
    upstream: Upstream,
    answer: Option<Answer>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    object: Option<Stored>,
    /// Earlier states of the object, for stale reads.
    past: Vec<Option<Stored>>,
    version: u64,
    submissions: Vec<Submission>,
    /// Writes and removals that may take effect at any later time.
    delayed: Vec<(Version, Option<Record>)>,
    runs: u8,
    dispatched: bool,
    crashed: bool,
    faults: u8,
    crashes: u8,
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    Effect(usize),
    /// A read returns an earlier state of the object.
    StaleRead(usize, usize),
    Reply(usize),
    LoseReply(usize),
    Delay(usize),
    Refuse(usize),
    LateWrite(usize),
    QueryHolder(usize),
    HolderUnreachable(usize),
    Execute(usize),
    Complete(usize),
    UpstreamRefuses(usize),
    UpstreamCut(usize),
    Tick(usize),
    DeadlinePasses(usize),
    DriverAnswers(usize),
    Crash(usize),
}

impl ClaimModel {
    fn submission(&self, i: usize, daemon: usize) -> Submission {
        let cfg = Config {
            retry_interval: Span::ZERO,
            record_timeout: Span::ZERO,
            ..Config::default()
        };
        let req = Request {
            digest: 1,
            holder: NodeId(daemon as u64),
            incarnation: Incarnation(1),
            nonce: Nonce(i as u64),
            deadline: DEADLINE,
        };
        Submission {
            claim: Claim::new(cfg, req),
            started: false,
            crashed_holder: false,
            late: false,
            call: None,
            upstream: Upstream::Idle,
            answer: None,
        }
    }

    fn feed(&self, world: &mut World, i: usize, event: Event) {
        let now = if world.submissions[i].late {
            DEADLINE
        } else {
            Instant::ZERO
        };
        for action in world.submissions[i].claim.on_event(now, event) {
            match action {
                Action::Dispatch => {
                    world.dispatched = true;
                    world.submissions[i].upstream = Upstream::Sent;
                }
                Action::Answer(answer) => self.answer(world, i, answer),
                call => world.submissions[i].call = Some(Call::Action(call)),
            }
        }
    }

    fn answer(&self, world: &mut World, i: usize, answer: Answer) {
        let answered = world.submissions.iter().filter_map(|s| match &s.answer {
            Some(Answer::Completed(outcome)) => Some(outcome),
            _ => None,
        });
        if let Answer::Completed(outcome) = &answer
            && answered.into_iter().any(|o| o != outcome)
        {
            world.violation = Some(SAME_OUTCOME);
        }
        world.submissions[i].answer.get_or_insert(answer);
    }

    fn write(&self, world: &mut World, if_version: Version, record: Option<Record>) -> ApiReply {
        let current = world.object.as_ref().map_or(Version::ABSENT, |s| s.version);
        if current != if_version && self.mutant != Mutant::Unconditional {
            return ApiReply::Conflict(world.object.clone());
        }
        let record = record.map(|record| match record.phase {
            Phase::Done(_) if self.mutant == Mutant::OutcomeLost => Record {
                phase: Phase::MayHaveRun,
                ..record
            },
            _ => record,
        });
        world.version += 1;
        let version = Version::initial(world.version);
        let removed = record.is_none();
        let before = std::mem::replace(
            &mut world.object,
            record.map(|record| Stored { version, record }),
        );
        world.past.push(before);
        if removed {
            ApiReply::Removed
        } else {
            ApiReply::Stored(version)
        }
    }

    fn effect(&self, world: &mut World, i: usize) {
        let reply = match world.submissions[i].call.clone() {
            Some(Call::Action(Action::Read)) => match &world.object {
                Some(stored) => ApiReply::Found(stored.clone()),
                None => ApiReply::Absent,
            },
            Some(Call::Action(action)) => match change(&action) {
                Some((if_version, record)) => self.write(world, if_version, record),
                None => return,
            },
            _ => return,
        };
        world.submissions[i].call = Some(Call::Replied(reply));
    }

    fn reply(&self, world: &mut World, i: usize, reply: ApiReply) {
        let was = world.submissions[i].call.take();
        let creates = matches!(was, Some(Call::Action(Action::Write { .. })));
        let reply = match reply {
            ApiReply::Lost if self.mutant == Mutant::LostIsStored && creates => {
                ApiReply::Stored(Version::initial(world.version))
            }
            reply => reply,
        };
        self.feed(world, i, Event::Api(reply));
    }

    fn peer_status(&self, world: &World, nonce: Nonce) -> Option<PeerStatus> {
        let holder = &world.submissions[nonce.0 as usize];
        if holder.crashed_holder {
            let never = self.mutant == Mutant::DeadNeverDispatched;
            return never.then_some(PeerStatus::NeverDispatched);
        }
        match holder.claim.status() {
            PeerStatus::Done(_) if self.mutant == Mutant::OutcomeChanged => {
                Some(PeerStatus::Done(Outcome {
                    status: 200,
                    body: "another".into(),
                }))
            }
            PeerStatus::NeverDispatched if self.mutant == Mutant::ForgetsAbandoned => None,
            PeerStatus::Done(_) if self.mutant == Mutant::OutcomeLost => None,
            status => Some(status),
        }
    }

    fn execute(&self, world: &mut World, i: usize) {
        world.submissions[i].upstream = Upstream::Executed;
        world.runs += 1;
    }

    fn finish(&self, world: &mut World, i: usize, run: RunResult) {
        world.submissions[i].upstream = Upstream::Ended;
        self.feed(world, i, Event::Finished(run));
    }

    fn submission_steps(&self, world: &World, i: usize, steps: &mut Vec<Step>) {
        let s = &world.submissions[i];
        if !s.started {
            steps.push(Step::Start(i));
            return;
        }
        let faulty = world.faults > 0;
        steps.push(Step::Tick(i));
        steps.extend((!s.late && faulty).then_some(Step::DeadlinePasses(i)));
        steps.extend((world.crashes > 0).then_some(Step::Crash(i)));
        let waits = s.answer.is_none() && s.upstream == Upstream::Idle;
        let answers = waits && self.mutant == Mutant::DriverAnswers;
        steps.extend(answers.then_some(Step::DriverAnswers(i)));
        match &s.call {
            Some(Call::Action(Action::QueryHolder { .. })) => {
                steps.push(Step::QueryHolder(i));
                steps.extend(faulty.then_some(Step::HolderUnreachable(i)));
            }
            Some(Call::Action(action)) => {
                steps.push(Step::Effect(i));
                steps.extend(faulty.then_some(Step::Refuse(i)));
                if faulty && *action == Action::Read {
                    steps.extend((0..world.past.len()).map(|n| Step::StaleRead(i, n)));
                }
                steps.extend((faulty && change(action).is_some()).then_some(Step::Delay(i)));
            }
            Some(Call::Replied(_)) => {
                steps.push(Step::Reply(i));
                steps.extend(faulty.then_some(Step::LoseReply(i)));
            }
            None => {}
        }
        match s.upstream {
            Upstream::Sent if faulty => {
                steps.extend([Step::UpstreamRefuses(i), Step::UpstreamCut(i)]);
            }
            Upstream::Executed => {
                steps.push(Step::Complete(i));
                steps.extend(faulty.then_some(Step::UpstreamCut(i)));
            }
            _ => {}
        }
    }

    fn costs_a_fault(&self, step: Step) -> bool {
        matches!(
            step,
            Step::LoseReply(_)
                | Step::StaleRead(..)
                | Step::Delay(_)
                | Step::Refuse(_)
                | Step::HolderUnreachable(_)
                | Step::UpstreamRefuses(_)
                | Step::UpstreamCut(_)
                | Step::DeadlinePasses(_)
        )
    }

    fn query_holder(&self, world: &mut World, i: usize) {
        if let Some(Call::Action(Action::QueryHolder { nonce, .. })) = world.submissions[i].call {
            world.submissions[i].call = None;
            let status = self.peer_status(world, nonce);
            self.feed(world, i, Event::Peer(status));
        }
    }

    /// Returns a further submission of the key as it ends once faults stop.
    fn repeat_submission(&self, world: &World) -> Submission {
        let mut world = world.clone();
        let extra = world.submissions.len();
        world.submissions.push(self.submission(extra, 0));
        world.faults = 0;
        world.crashes = 0;
        for round in 0..40 {
            let late = (0..world.delayed.len()).map(|_| Step::LateWrite(0));
            late.collect::<Vec<_>>()
                .into_iter()
                .for_each(|step| self.apply(&mut world, step));
            if round == 20 {
                self.apply(&mut world, Step::Start(extra));
            }
            for i in 0..world.submissions.len() {
                let mut steps = Vec::new();
                if !world.submissions[i].crashed_holder && (i != extra || round > 20) {
                    self.submission_steps(&world, i, &mut steps);
                }
                steps.retain(|s| !matches!(s, Step::Start(_)));
                if let Some(&step) = steps.last() {
                    self.apply(&mut world, step);
                }
            }
        }
        world.submissions.remove(extra)
    }
}

/// Returns condition and new body of a write or removal.
fn change(action: &Action) -> Option<(Version, Option<Record>)> {
    match action {
        Action::Write { if_version, record } => Some((*if_version, Some(record.clone()))),
        Action::Remove { if_version } => Some((*if_version, None)),
        _ => None,
    }
}

fn delay(world: &mut World, i: usize) {
    if let Some(Call::Action(action)) = &world.submissions[i].call {
        world.delayed.extend(change(action));
        world.delayed.sort_unstable();
    }
}

impl Model for ClaimModel {
    type State = World;
    type Step = Step;

    fn initial_state(&self) -> World {
        let submissions = self
            .sent_to
            .iter()
            .enumerate()
            .map(|(i, &d)| self.submission(i, d));
        World {
            object: None,
            past: Vec::new(),
            version: 0,
            submissions: submissions.collect(),
            delayed: Vec::new(),
            runs: 0,
            dispatched: false,
            crashed: false,
            faults: self.faults,
            crashes: self.crashes,
            violation: None,
        }
    }

    fn steps(&self, world: &World) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..world.delayed.len()).map(Step::LateWrite).collect();
        for (i, s) in world.submissions.iter().enumerate() {
            if s.upstream == Upstream::Sent {
                // The request may be in flight although its daemon crashed.
                steps.push(Step::Execute(i));
            }
            if !s.crashed_holder {
                self.submission_steps(world, i, &mut steps);
            }
        }
        steps
    }

    fn apply(&self, world: &mut World, step: Step) {
        if self.costs_a_fault(step) {
            world.faults -= 1;
        }
        match step {
            Step::Start(i) => {
                world.submissions[i].started = true;
                self.feed(world, i, Event::Start);
            }
            Step::Effect(i) => self.effect(world, i),
            Step::StaleRead(i, n) => {
                let reply = world.past[n]
                    .clone()
                    .map_or(ApiReply::Absent, ApiReply::Found);
                world.submissions[i].call = Some(Call::Replied(reply));
            }
            Step::Reply(i) => {
                if let Some(Call::Replied(reply)) = world.submissions[i].call.clone() {
                    self.reply(world, i, reply);
                }
            }
            Step::LoseReply(i) => self.reply(world, i, ApiReply::Lost),
            Step::Delay(i) => {
                delay(world, i);
                self.reply(world, i, ApiReply::Lost);
            }
            Step::Refuse(i) => self.reply(world, i, ApiReply::Refused),
            Step::LateWrite(i) => {
                let (if_version, record) = world.delayed.remove(i);
                self.write(world, if_version, record);
            }
            Step::QueryHolder(i) => self.query_holder(world, i),
            Step::HolderUnreachable(i) => {
                world.submissions[i].call = None;
                self.feed(world, i, Event::Peer(None));
            }
            Step::Execute(i) => self.execute(world, i),
            Step::Complete(i) => {
                let body = format!("run {i}");
                self.finish(
                    world,
                    i,
                    RunResult::Completed(Outcome { status: 200, body }),
                );
            }
            Step::UpstreamRefuses(i) => self.finish(world, i, RunResult::NotRun),
            Step::UpstreamCut(i) => {
                // The request may still be in flight.
                let sent = world.submissions[i].upstream;
                self.finish(world, i, RunResult::MayHaveRun);
                world.submissions[i].upstream = match sent {
                    Upstream::Sent => Upstream::Sent,
                    _ => Upstream::Ended,
                };
            }
            Step::Tick(i) => self.feed(world, i, Event::Tick),
            Step::DeadlinePasses(i) => world.submissions[i].late = true,
            Step::DriverAnswers(i) => {
                self.answer(world, i, Answer::NotRun(NotRunReason::Unavailable));
            }
            Step::Crash(i) => {
                world.crashes -= 1;
                world.crashed = true;
                for j in (0..self.sent_to.len()).filter(|&j| self.sent_to[j] == self.sent_to[i]) {
                    // Submissions that have not started go to the daemon's next run.
                    if world.submissions[j].started {
                        delay(world, j);
                        world.submissions[j].crashed_holder = true;
                        world.submissions[j].call = None;
                    }
                }
            }
        }
    }

    fn violated(&self, world: &World) -> Option<&'static str> {
        let was_wrongly_denied = |s: &Submission| {
            let answered_not_run = matches!(s.answer, Some(Answer::NotRun(_)));
            answered_not_run && (s.upstream == Upstream::Executed || s.upstream == Upstream::Sent)
        };
        if world.runs > 1 {
            return Some(AT_MOST_ONCE);
        }
        if world.submissions.iter().any(was_wrongly_denied) {
            return Some(NOT_RUN_IS_TRUE);
        }
        if world.violation.is_some() {
            return world.violation;
        }
        let all_ended = world
            .submissions
            .iter()
            .all(|s| s.answer.is_some() && s.call.is_none());
        if world.crashed || !all_ended {
            return None;
        }
        let completed = world.submissions.iter().find_map(|s| match &s.answer {
            Some(answer @ Answer::Completed(_)) => Some(answer),
            _ => None,
        });
        if completed.is_some() && self.repeat_submission(world).answer.as_ref() != completed {
            return Some(REPEAT_GETS_OUTCOME);
        }
        let blocked = || self.repeat_submission(world).upstream == Upstream::Idle;
        (!world.dispatched && blocked()).then_some(NOT_BLOCKED)
    }
}

fn model() -> ClaimModel {
    ClaimModel {
        sent_to: vec![0, 1],
        faults: 2,
        crashes: 1,
        mutant: Mutant::None,
    }
}

#[test]
fn invariants_hold_for_two_submissions() {
    let faults = 2 + bound() as u8;
    assert_holds("claim, two submissions", &ClaimModel { faults, ..model() });
}

#[test]
fn invariants_hold_for_three_submissions() {
    let faults = bound() as u8;
    let model = ClaimModel {
        sent_to: vec![0, 1, 0],
        faults,
        ..model()
    };
    assert_holds("claim, three submissions", &model);
}

#[rstest]
#[case::unconditional(Mutant::Unconditional, AT_MOST_ONCE)]
#[case::lost_is_stored(Mutant::LostIsStored, AT_MOST_ONCE)]
#[case::dead_never_dispatched(Mutant::DeadNeverDispatched, AT_MOST_ONCE)]
#[case::driver_answers(Mutant::DriverAnswers, NOT_RUN_IS_TRUE)]
#[case::outcome_changed(Mutant::OutcomeChanged, SAME_OUTCOME)]
#[case::forgets_abandoned(Mutant::ForgetsAbandoned, NOT_BLOCKED)]
#[case::outcome_lost(Mutant::OutcomeLost, REPEAT_GETS_OUTCOME)]
fn checker_catches_mutants(#[case] mutant: Mutant, #[case] invariant: &str) {
    assert_caught("claim", &ClaimModel { mutant, ..model() }, invariant);
}
