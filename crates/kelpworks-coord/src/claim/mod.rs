//! At-most-once dispatch of keyed non-idempotent requests, by claim objects.
//!
//! The first daemon that receives a key creates the key's claim object, on condition that it does
//! not exist, and dispatches only after it has confirmed that the object exists and is its own. A
//! retry of the request finds the object and gets the recorded outcome, or learns that the request
//! may have run. Each request takes two writes: the claim and its outcome.
//!
//! **Claims that were never dispatched.** When the reply to the create is lost and the object API
//! then goes down, the claim may exist although its holder refuses the request. A third write
//! before each dispatch would distinguish such a claim from one that ran, but every request would
//! pay for a rare case. Instead the holder keeps the refused claim in memory. It removes the object
//! once the API is back, and until then reports [`PeerStatus::NeverDispatched`] to peers, after
//! which a retry takes the object over by conditional update. Only if the holder dies in that
//! window does the key stay `may-have-run`, until claims are removed after their retention time.
//!
//! ```
//! use kelpworks_coord::claim::*;
//! use kelpworks_coord::id::*;
//! use kelpworks_coord::time::Instant;
//!
//! let request = Request {
//!     digest: 42,
//!     holder: NodeId::of("cai-entry-1"),
//!     incarnation: Incarnation(1),
//!     nonce: Nonce(7),
//!     deadline: Instant::from_millis(5_000),
//! };
//! let mut claim = Claim::new(Config::default(), request);
//! let now = Instant::ZERO;
//! let actions = claim.on_event(now, Event::Start);
//! assert!(matches!(actions[..], [Action::Write { if_version: Version::ABSENT, .. }]));
//! let actions = claim.on_event(now, Event::Api(ApiReply::Stored(Version::initial(1))));
//! assert_eq!(actions, [Action::Dispatch]);
//! ```
//!
//! The verdict `not-run` covers only the submission that gets it. During an outage a daemon cannot
//! know whether an earlier submission of the key to another daemon ran.
//!
//! The state machine assumes that conditional writes are linearizable; reads may be stale.

mod messages;

use crate::id::Version;
use crate::time::Instant;

pub use messages::Action;
pub use messages::Answer;
pub use messages::ApiReply;
pub use messages::Config;
pub use messages::Event;
pub use messages::NotRunReason;
pub use messages::Outcome;
pub use messages::PeerStatus;
pub use messages::Phase;
pub use messages::Record;
pub use messages::Request;
pub use messages::RunResult;
pub use messages::Stored;

/// Number of times that the cleanup of an abandoned claim reads again after it found no object. A
/// single read without result may come from a lagging replica, or precede a delayed write.
const ABSENT_RETRIES: u8 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Cleanup {
    RetryAt(Instant),
    Reading,
    Removing,
    Finished,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    New,
    /// A write of the claim is outstanding.
    Creating {
        if_version: Version,
    },
    /// It is unknown whether the write of the claim took effect. `read_at` is `None` while a read
    /// is outstanding.
    Unconfirmed {
        if_version: Version,
        read_at: Option<Instant>,
    },
    QueryingHolder {
        version: Version,
    },
    Running {
        version: Version,
    },
    /// `retry_at` is `None` while the write is outstanding.
    Recording {
        version: Version,
        phase: Phase,
        answer_by: Option<Instant>,
        retry_at: Option<Instant>,
    },
    /// Never run: this state is reached only before dispatch, or after a dispatch that no upstream
    /// executed.
    Abandoned(Cleanup),
    /// Ended. The phase determines the status reported to peers; `None` when this submission
    /// dispatched nothing.
    Ended(Option<Phase>),
}

/// One submission of a keyed request, from its receipt to its recorded outcome.
///
/// [`Action::Dispatch`] is returned at most once, and never together with or after
/// [`Answer::NotRun`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    cfg: Config,
    req: Request,
    /// Deadline for creating the claim; at most the request's deadline.
    create_by: Instant,
    /// Whether a write of the claim may have taken effect without confirmation.
    maybe_written: bool,
    /// Reads of the cleanup that found no object; at most [`ABSENT_RETRIES`].
    absent_retries: u8,
    state: State,
}

impl Claim {
    /// Creates a submission that waits for [`Event::Start`].
    pub fn new(cfg: Config, req: Request) -> Claim {
        Claim {
            cfg,
            req,
            create_by: req.deadline,
            maybe_written: false,
            absent_retries: 0,
            state: State::New,
        }
    }

    /// Handles an input and returns what the driver has to do. Inputs that do not match the present
    /// state are ignored.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Start => self.start(now),
            Event::Api(reply) => self.on_api(now, reply),
            Event::Peer(status) => self.on_peer(now, status),
            Event::Finished(run) => self.on_finished(now, run),
            Event::Tick => self.on_tick(now),
        }
    }

    /// Returns the status for a peer that queries this claim's nonce.
    pub fn status(&self) -> PeerStatus {
        match &self.state {
            State::Abandoned(_) => PeerStatus::NeverDispatched,
            State::Recording { phase, .. } | State::Ended(Some(phase)) => match phase {
                Phase::Done(outcome) => PeerStatus::Done(outcome.clone()),
                _ => PeerStatus::MayHaveRun,
            },
            // A submission that found another submission's claim dispatched nothing itself.
            State::Ended(None) => PeerStatus::NeverDispatched,
            _ => PeerStatus::InProgress,
        }
    }

    /// Returns whether the submission needs no further reads or writes, so that the driver may drop
    /// this value.
    ///
    /// Drivers should keep an abandoned claim for a while to answer peers, see the module
    /// documentation.
    pub fn is_finished(&self) -> bool {
        matches!(
            self.state,
            State::Ended(_) | State::Abandoned(Cleanup::Finished)
        )
    }

    fn start(&mut self, now: Instant) -> Vec<Action> {
        if self.state != State::New {
            return Vec::new();
        }
        self.create_by = self.req.deadline.min(now + self.cfg.create_timeout);
        self.create(Version::ABSENT)
    }

    fn create(&mut self, if_version: Version) -> Vec<Action> {
        self.state = State::Creating { if_version };
        vec![Action::Write {
            if_version,
            record: self.record(Phase::Claimed),
        }]
    }

    fn record(&self, phase: Phase) -> Record {
        Record {
            digest: self.req.digest,
            holder: self.req.holder,
            incarnation: self.req.incarnation,
            nonce: self.req.nonce,
            phase,
        }
    }

    fn on_api(&mut self, now: Instant, reply: ApiReply) -> Vec<Action> {
        match self.state.clone() {
            State::Creating { if_version } => self.on_create_reply(now, if_version, reply),
            State::Unconfirmed {
                if_version,
                read_at: None,
            } => self.on_read_back(now, if_version, reply),
            State::Recording {
                version,
                phase,
                answer_by,
                retry_at: None,
            } => self.on_record_reply(now, version, phase, answer_by, reply),
            State::Abandoned(cleanup) => self.on_cleanup_reply(now, cleanup, reply),
            _ => Vec::new(),
        }
    }

    fn on_create_reply(
        &mut self,
        now: Instant,
        if_version: Version,
        reply: ApiReply,
    ) -> Vec<Action> {
        match reply {
            ApiReply::Stored(version) => self.dispatch(now, version),
            ApiReply::Conflict(Some(found)) => self.on_found(now, found),
            // This write was to take over a claim that its holder removed in the meantime.
            ApiReply::Conflict(None) => self.create(Version::ABSENT),
            ApiReply::Refused => self.abandon(now, NotRunReason::Unavailable),
            _ => {
                self.maybe_written = true;
                self.read_back(if_version)
            }
        }
    }

    fn read_back(&mut self, if_version: Version) -> Vec<Action> {
        self.state = State::Unconfirmed {
            if_version,
            read_at: None,
        };
        vec![Action::Read]
    }

    fn on_read_back(&mut self, now: Instant, if_version: Version, reply: ApiReply) -> Vec<Action> {
        match reply {
            ApiReply::Found(found) if found.version != if_version => self.on_found(now, found),
            // This check precedes further writes: with an API that answers reads and loses writes,
            // the caller would wait until the write budget is spent.
            _ if now >= self.create_by => self.abandon(now, NotRunReason::Unavailable),
            // Send the same write again: whichever of the two takes effect, the other conflicts and
            // returns an object with this submission's nonce.
            ApiReply::Found(_) => self.create(if_version),
            ApiReply::Absent => self.create(Version::ABSENT),
            _ => {
                let read_at = Some(now + self.cfg.retry_interval);
                self.state = State::Unconfirmed {
                    if_version,
                    read_at,
                };
                Vec::new()
            }
        }
    }

    fn on_found(&mut self, now: Instant, found: Stored) -> Vec<Action> {
        let record = found.record;
        if record.digest != self.req.digest {
            return self.end(Answer::NotRun(NotRunReason::KeyReused));
        }
        match record.phase {
            Phase::Done(outcome) => self.end(Answer::Completed(outcome)),
            Phase::DoneUnrecorded | Phase::MayHaveRun => self.end(Answer::MayHaveRun),
            Phase::Claimed if record.nonce == self.req.nonce => self.dispatch(now, found.version),
            Phase::Claimed => {
                self.state = State::QueryingHolder {
                    version: found.version,
                };
                vec![Action::QueryHolder {
                    holder: record.holder,
                    incarnation: record.incarnation,
                    nonce: record.nonce,
                }]
            }
        }
    }

    fn on_peer(&mut self, now: Instant, status: Option<PeerStatus>) -> Vec<Action> {
        let State::QueryingHolder { version } = self.state else {
            return Vec::new();
        };
        match status {
            Some(PeerStatus::InProgress) => self.end(Answer::InProgress),
            Some(PeerStatus::Done(outcome)) => self.end(Answer::Completed(outcome)),
            Some(PeerStatus::NeverDispatched) if now < self.req.deadline => self.create(version),
            Some(PeerStatus::NeverDispatched) => self.abandon(now, NotRunReason::Deadline),
            Some(PeerStatus::MayHaveRun) | None => self.end(Answer::MayHaveRun),
        }
    }

    fn dispatch(&mut self, now: Instant, version: Version) -> Vec<Action> {
        if now >= self.req.deadline {
            self.maybe_written = true;
            return self.abandon(now, NotRunReason::Deadline);
        }
        self.state = State::Running { version };
        vec![Action::Dispatch]
    }

    fn abandon(&mut self, now: Instant, reason: NotRunReason) -> Vec<Action> {
        let cleanup = match self.maybe_written {
            true => Cleanup::RetryAt(now + self.cfg.retry_interval),
            false => Cleanup::Finished,
        };
        self.state = State::Abandoned(cleanup);
        vec![Action::Answer(Answer::NotRun(reason))]
    }

    fn end(&mut self, answer: Answer) -> Vec<Action> {
        self.state = State::Ended(None);
        vec![Action::Answer(answer)]
    }

    fn on_finished(&mut self, now: Instant, run: RunResult) -> Vec<Action> {
        let State::Running { version } = self.state else {
            return Vec::new();
        };
        match run {
            RunResult::NotRun => {
                self.state = State::Abandoned(Cleanup::Removing);
                let answer = Action::Answer(Answer::NotRun(NotRunReason::Upstream));
                vec![
                    answer,
                    Action::Remove {
                        if_version: version,
                    },
                ]
            }
            RunResult::MayHaveRun => {
                let mut actions = vec![Action::Answer(Answer::MayHaveRun)];
                actions.extend(self.write_phase(version, Phase::MayHaveRun, None));
                actions
            }
            RunResult::Completed(outcome) if outcome.body.len() > self.cfg.max_outcome_bytes => {
                let mut actions = vec![Action::Answer(Answer::Completed(outcome))];
                actions.extend(self.write_phase(version, Phase::DoneUnrecorded, None));
                actions
            }
            RunResult::Completed(outcome) => {
                let answer_by = Some(now + self.cfg.record_timeout);
                self.write_phase(version, Phase::Done(outcome), answer_by)
            }
        }
    }

    fn write_phase(
        &mut self,
        version: Version,
        phase: Phase,
        answer_by: Option<Instant>,
    ) -> Vec<Action> {
        let record = self.record(phase.clone());
        self.state = State::Recording {
            version,
            phase,
            answer_by,
            retry_at: None,
        };
        vec![Action::Write {
            if_version: version,
            record,
        }]
    }

    fn on_record_reply(
        &mut self,
        now: Instant,
        version: Version,
        phase: Phase,
        answer_by: Option<Instant>,
        reply: ApiReply,
    ) -> Vec<Action> {
        match reply {
            // Only this daemon writes a dispatched claim, so a conflict means that an earlier
            // attempt of this write took effect.
            ApiReply::Stored(_) | ApiReply::Conflict(_) => {
                let answer = answer_by.and_then(|_| completed_answer(&phase));
                self.state = State::Ended(Some(phase));
                answer.into_iter().collect()
            }
            _ => {
                let retry_at = Some(now + self.cfg.retry_interval);
                self.state = State::Recording {
                    version,
                    phase,
                    answer_by,
                    retry_at,
                };
                Vec::new()
            }
        }
    }

    fn on_cleanup_reply(&mut self, now: Instant, cleanup: Cleanup, reply: ApiReply) -> Vec<Action> {
        let (next, actions) = match (cleanup, reply) {
            (Cleanup::Reading, ApiReply::Found(found)) if found.record.nonce == self.req.nonce => (
                Cleanup::Removing,
                vec![Action::Remove {
                    if_version: found.version,
                }],
            ),
            (Cleanup::Reading, ApiReply::Absent) if self.absent_retries < ABSENT_RETRIES => {
                self.absent_retries += 1;
                (Cleanup::RetryAt(now + self.cfg.retry_interval), Vec::new())
            }
            (Cleanup::Reading, ApiReply::Found(_) | ApiReply::Absent)
            | (Cleanup::Removing, ApiReply::Removed | ApiReply::Conflict(_)) => {
                (Cleanup::Finished, Vec::new())
            }
            (Cleanup::Reading | Cleanup::Removing, _) => {
                (Cleanup::RetryAt(now + self.cfg.retry_interval), Vec::new())
            }
            (cleanup, _) => (cleanup, Vec::new()),
        };
        self.state = State::Abandoned(next);
        actions
    }

    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        match self.state.clone() {
            State::Unconfirmed { .. } if now >= self.create_by => {
                self.abandon(now, NotRunReason::Unavailable)
            }
            State::Unconfirmed {
                if_version,
                read_at: Some(at),
            } if now >= at => self.read_back(if_version),
            State::QueryingHolder { .. } if now >= self.req.deadline => {
                self.end(Answer::MayHaveRun)
            }
            State::Recording {
                version,
                phase,
                answer_by,
                retry_at,
            } => self.tick_recording(now, version, phase, answer_by, retry_at),
            State::Abandoned(Cleanup::RetryAt(at)) if now >= at => {
                self.state = State::Abandoned(Cleanup::Reading);
                vec![Action::Read]
            }
            _ => Vec::new(),
        }
    }

    fn tick_recording(
        &mut self,
        now: Instant,
        version: Version,
        phase: Phase,
        answer_by: Option<Instant>,
        retry_at: Option<Instant>,
    ) -> Vec<Action> {
        let timed_out = answer_by.is_some_and(|by| now >= by);
        let answer_by = answer_by.filter(|_| !timed_out);
        let mut actions: Vec<Action> = timed_out
            .then(|| completed_answer(&phase))
            .flatten()
            .into_iter()
            .collect();
        if retry_at.is_some_and(|at| now >= at) {
            actions.extend(self.write_phase(version, phase, answer_by));
        } else {
            self.state = State::Recording {
                version,
                phase,
                answer_by,
                retry_at,
            };
        }
        actions
    }
}

fn completed_answer(phase: &Phase) -> Option<Action> {
    match phase {
        Phase::Done(outcome) => Some(Action::Answer(Answer::Completed(outcome.clone()))),
        _ => None,
    }
}
