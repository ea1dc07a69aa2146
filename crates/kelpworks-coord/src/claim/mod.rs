//! At-most-once dispatch of keyed non-idempotent requests, by claim objects.
//!
//! The first daemon to see a key creates the key's claim object, conditional on its absence, and
//! dispatches only once it knows that the object is there and its own. A repeat of the request
//! finds the object and gets the recorded outcome, or learns that the request may have run. Two
//! writes a request: the claim and its outcome.
//!
//! **A claim that was never dispatched.** When the create's reply is lost and the object API then
//! goes down, the claim may exist though its holder refuses the request. A third write before
//! each dispatch would tell such a claim from one that ran; that price would be paid by every
//! request for a rare case. Instead the holder keeps the refused claim in memory: it removes the
//! object once the API is back, and until then answers peers [`PeerStatus::NeverDispatched`], upon
//! which a repeat takes the object over by conditional update. Only if the holder dies in that
//! window does the key stay `may-have-run`, until claims are cleared after their retention.
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
//! `not-run` speaks of the submission that gets it. During an outage a daemon cannot know whether
//! an earlier submission of the key, sent to another daemon, ran.
//!
//! The machine assumes that conditional writes are linearizable; reads may be stale.

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

/// A claim that was given up is taken for removed after finding it absent so often and once more:
/// one such read may be a lagging replica's, or come before a late write.
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
    /// It is not known whether the write took effect.
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
    /// Never dispatched, by this state's being reached only before dispatch or after a run that
    /// reached no execution.
    Abandoned(Cleanup),
    /// Ended; the phase is what peers are told.
    Ended(Option<Phase>),
}

/// One submission of a keyed request, from first sight to recorded outcome.
///
/// [`Action::Dispatch`] is returned at most once, and never together with or after
/// [`Answer::NotRun`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    cfg: Config,
    req: Request,
    /// Give up settling then; at most the request's deadline.
    create_by: Instant,
    /// Whether a write of the claim may have taken effect without our knowing.
    maybe_written: bool,
    /// Reads of the cleanup that found nothing; at most [`ABSENT_RETRIES`].
    absent_retries: u8,
    state: State,
}

impl Claim {
    /// A submission that has not begun.
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

    /// Takes an input. Inputs that do not fit the present state are ignored.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Start => self.start(now),
            Event::Api(reply) => self.on_api(now, reply),
            Event::Peer(status) => self.on_peer(now, status),
            Event::Finished(run) => self.on_finished(now, run),
            Event::Tick => self.on_tick(now),
        }
    }

    /// What to tell a peer that asks about this claim's nonce.
    pub fn status(&self) -> PeerStatus {
        match &self.state {
            State::Abandoned(_) => PeerStatus::NeverDispatched,
            State::Recording { phase, .. } | State::Ended(Some(phase)) => match phase {
                Phase::Done(outcome) => PeerStatus::Done(outcome.clone()),
                _ => PeerStatus::MayHaveRun,
            },
            // A submission that ended on another's claim dispatched nothing of its own.
            State::Ended(None) => PeerStatus::NeverDispatched,
            _ => PeerStatus::InProgress,
        }
    }

    /// Whether the object's state is settled, so that the driver may drop this value.
    ///
    /// One that was given up is better kept for a while, see the module's documentation.
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
            // Taken over from a claim that its holder removed meanwhile.
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
            // Before any other write: an API that takes reads and loses writes would hold the
            // caller until the budget is spent.
            _ if now >= self.create_by => self.abandon(now, NotRunReason::Unavailable),
            // The same write again: whichever of the two takes effect, the other conflicts and
            // shows our nonce.
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
            // Only this daemon writes a dispatched claim, so a conflict shows an earlier try.
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
