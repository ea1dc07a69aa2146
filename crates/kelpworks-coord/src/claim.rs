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
//! let actions = claim.on_event(now, Event::Api(ApiReply::Stored(Version(1))));
//! assert_eq!(actions, [Action::Dispatch]);
//! ```
//!
//! `not-run` speaks of the submission that gets it. During an outage a daemon cannot know whether
//! an earlier submission of the key, sent to another daemon, ran.
//!
//! The machine assumes that conditional writes are linearizable; reads may be stale.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::Nonce;
use crate::id::Version;
use crate::time::Instant;
use crate::time::Span;

/// Bounds of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Largest outcome body that is recorded, in bytes. Default 256 KiB; the object API holds 1 MB.
    pub max_outcome_bytes: usize,
    /// Pause before a read or write is tried again. Default 100 ms.
    pub retry: Span,
    /// Longest time to find out whether the claim was created. Default 1 s.
    pub settle: Span,
    /// Longest time that an answer waits for its recording. Default 500 ms. A longer one makes it
    /// likelier that a repeat gets the same answer though the holder dies at once; every caller
    /// pays it while the object API is down.
    pub record: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_outcome_bytes: 256 * 1024,
            retry: Span::from_millis(100),
            settle: Span::from_secs(1),
            record: Span::from_millis(500),
        }
    }
}

/// One submission of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Hash of the request's body; a key may not be used for another body.
    pub digest: u64,
    /// This daemon.
    pub holder: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Drawn for this submission.
    pub nonce: Nonce,
    /// Not dispatched from then on.
    pub deadline: Instant,
}

/// A recorded answer.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize
)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Body; the driver encodes what is not text.
    pub body: String,
}

/// How far a claim has come, as recorded.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Dispatched, or about to be.
    Claimed,
    /// Ran, with this outcome.
    Done(Outcome),
    /// Ran, with an outcome too large to record.
    DoneUnrecorded,
    /// Dispatched, and no answer came.
    MayHaveRun,
}

/// Body of a claim object.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize
)]
pub struct Record {
    /// [`Request::digest`].
    pub digest: u64,
    /// [`Request::holder`].
    pub holder: NodeId,
    /// [`Request::incarnation`].
    pub incarnation: Incarnation,
    /// [`Request::nonce`]; tells the writer its own object.
    pub nonce: Nonce,
    /// How far it has come.
    pub phase: Phase,
}

/// An object as the API shows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored {
    /// Its version.
    pub version: Version,
    /// Its body.
    pub record: Record,
}

/// Answer of the object API to the last read, write or removal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApiReply {
    /// Written, under this version.
    Stored(Version),
    /// Removed.
    Removed,
    /// Read: there is none.
    Absent,
    /// Read.
    Found(Stored),
    /// Not written or removed: the object stands so, or does not exist.
    Conflict(Option<Stored>),
    /// Turned away before any effect.
    Refused,
    /// No answer; it may have taken effect, or take effect later.
    Lost,
}

/// What a claim's holder says of it to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerStatus {
    /// Being created or running.
    InProgress,
    /// Given up before dispatch; the holder will never dispatch it.
    NeverDispatched,
    /// Ran, with this outcome.
    Done(Outcome),
    /// Dispatched, and no answer came; or not known to this incarnation.
    MayHaveRun,
}

/// How a dispatched request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Run {
    /// With an answer.
    Completed(Outcome),
    /// No byte of it reached execution.
    NotRun,
    /// Without an answer.
    MayHaveRun,
}

/// An input.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Begin.
    Start,
    /// The object API answered.
    Api(ApiReply),
    /// The holder of the claim answered; `None` when it did not, or runs under another
    /// incarnation.
    Peer(Option<PeerStatus>),
    /// The dispatched request ended.
    Finished(Run),
    /// Time passed.
    Tick,
}

/// Something for the driver to do. At most one read, write or removal is outstanding at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the claim object.
    Read,
    /// Write it.
    Write {
        /// Condition.
        if_version: Version,
        /// New body.
        record: Record,
    },
    /// Remove it.
    Remove {
        /// Condition.
        if_version: Version,
    },
    /// Ask the daemon that holds the claim.
    AskHolder {
        /// The daemon.
        holder: NodeId,
        /// Only this run of it knows.
        incarnation: Incarnation,
        /// The claim.
        nonce: Nonce,
    },
    /// Send the request to an upstream, once.
    Dispatch,
    /// Answer the caller.
    Answer(Answer),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// The object API did not confirm the claim.
    Unavailable,
    /// The deadline passed before dispatch.
    Deadline,
    /// No upstream took it.
    Upstream,
    /// The key was used for another body.
    KeyReused,
}

/// Answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The outcome; of this submission or of an earlier one.
    Completed(Outcome),
    /// An earlier submission is running; come back. Its verdict is `may-have-run`.
    InProgress,
    /// It, or an earlier submission, may have run.
    MayHaveRun,
    /// This submission did not run and never will.
    NotRun(NotRun),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Cleanup {
    At(Instant),
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
    Unsure {
        if_version: Version,
        read_at: Option<Instant>,
    },
    Asking {
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
    settle_by: Instant,
    /// Whether a write of the claim may have taken effect without our knowing.
    exposed: bool,
    state: State,
}

impl Claim {
    /// A submission that has not begun.
    pub fn new(cfg: Config, req: Request) -> Claim {
        Claim {
            cfg,
            req,
            settle_by: req.deadline,
            exposed: false,
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
    pub fn is_settled(&self) -> bool {
        matches!(
            self.state,
            State::Ended(_) | State::Abandoned(Cleanup::Finished)
        )
    }

    fn start(&mut self, now: Instant) -> Vec<Action> {
        if self.state != State::New {
            return Vec::new();
        }
        self.settle_by = self.req.deadline.min(now + self.cfg.settle);
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
            State::Creating { if_version } => self.on_created(now, if_version, reply),
            State::Unsure {
                if_version,
                read_at: None,
            } => self.on_read_back(now, if_version, reply),
            State::Recording {
                version,
                phase,
                answer_by,
                retry_at: None,
            } => self.on_recorded(now, version, phase, answer_by, reply),
            State::Abandoned(cleanup) => self.on_cleaned(now, cleanup, reply),
            _ => Vec::new(),
        }
    }

    fn on_created(&mut self, now: Instant, if_version: Version, reply: ApiReply) -> Vec<Action> {
        match reply {
            ApiReply::Stored(version) => self.dispatch(now, version),
            ApiReply::Conflict(Some(found)) => self.on_found(now, found),
            // Taken over from a claim that its holder removed meanwhile.
            ApiReply::Conflict(None) => self.create(Version::ABSENT),
            ApiReply::Refused => self.give_up(now, NotRun::Unavailable),
            _ => {
                self.exposed = true;
                self.read_back(if_version)
            }
        }
    }

    fn read_back(&mut self, if_version: Version) -> Vec<Action> {
        self.state = State::Unsure {
            if_version,
            read_at: None,
        };
        vec![Action::Read]
    }

    fn on_read_back(&mut self, now: Instant, if_version: Version, reply: ApiReply) -> Vec<Action> {
        match reply {
            ApiReply::Found(found) if found.version == if_version => self.create(if_version),
            ApiReply::Found(found) => self.on_found(now, found),
            // The same write again: whichever of the two takes effect, the other conflicts and
            // shows our nonce.
            ApiReply::Absent => self.create(Version::ABSENT),
            _ if now >= self.settle_by => self.give_up(now, NotRun::Unavailable),
            _ => {
                let read_at = Some(now + self.cfg.retry);
                self.state = State::Unsure {
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
            return self.end(Answer::NotRun(NotRun::KeyReused));
        }
        match record.phase {
            Phase::Done(outcome) => self.end(Answer::Completed(outcome)),
            Phase::DoneUnrecorded | Phase::MayHaveRun => self.end(Answer::MayHaveRun),
            Phase::Claimed if record.nonce == self.req.nonce => self.dispatch(now, found.version),
            Phase::Claimed => {
                self.state = State::Asking {
                    version: found.version,
                };
                vec![Action::AskHolder {
                    holder: record.holder,
                    incarnation: record.incarnation,
                    nonce: record.nonce,
                }]
            }
        }
    }

    fn on_peer(&mut self, now: Instant, status: Option<PeerStatus>) -> Vec<Action> {
        let State::Asking { version } = self.state else {
            return Vec::new();
        };
        match status {
            Some(PeerStatus::InProgress) => self.end(Answer::InProgress),
            Some(PeerStatus::Done(outcome)) => self.end(Answer::Completed(outcome)),
            Some(PeerStatus::NeverDispatched) if now < self.req.deadline => self.create(version),
            Some(PeerStatus::NeverDispatched) => self.give_up(now, NotRun::Deadline),
            Some(PeerStatus::MayHaveRun) | None => self.end(Answer::MayHaveRun),
        }
    }

    fn dispatch(&mut self, now: Instant, version: Version) -> Vec<Action> {
        if now >= self.req.deadline {
            self.exposed = true;
            return self.give_up(now, NotRun::Deadline);
        }
        self.state = State::Running { version };
        vec![Action::Dispatch]
    }

    fn give_up(&mut self, now: Instant, reason: NotRun) -> Vec<Action> {
        let cleanup = match self.exposed {
            true => Cleanup::At(now + self.cfg.retry),
            false => Cleanup::Finished,
        };
        self.state = State::Abandoned(cleanup);
        vec![Action::Answer(Answer::NotRun(reason))]
    }

    fn end(&mut self, answer: Answer) -> Vec<Action> {
        self.state = State::Ended(None);
        vec![Action::Answer(answer)]
    }

    fn on_finished(&mut self, now: Instant, run: Run) -> Vec<Action> {
        let State::Running { version } = self.state else {
            return Vec::new();
        };
        match run {
            Run::NotRun => {
                self.state = State::Abandoned(Cleanup::Removing);
                let answer = Action::Answer(Answer::NotRun(NotRun::Upstream));
                vec![
                    answer,
                    Action::Remove {
                        if_version: version,
                    },
                ]
            }
            Run::MayHaveRun => {
                let mut actions = vec![Action::Answer(Answer::MayHaveRun)];
                actions.extend(self.write_phase(version, Phase::MayHaveRun, None));
                actions
            }
            Run::Completed(outcome) if outcome.body.len() > self.cfg.max_outcome_bytes => {
                let mut actions = vec![Action::Answer(Answer::Completed(outcome))];
                actions.extend(self.write_phase(version, Phase::DoneUnrecorded, None));
                actions
            }
            Run::Completed(outcome) => {
                let answer_by = Some(now + self.cfg.record);
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

    fn on_recorded(
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
                let answer = answer_by.and_then(|_| completed(&phase));
                self.state = State::Ended(Some(phase));
                answer.into_iter().collect()
            }
            _ => {
                let retry_at = Some(now + self.cfg.retry);
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

    fn on_cleaned(&mut self, now: Instant, cleanup: Cleanup, reply: ApiReply) -> Vec<Action> {
        let (next, actions) = match (cleanup, reply) {
            (Cleanup::Reading, ApiReply::Found(found)) if found.record.nonce == self.req.nonce => (
                Cleanup::Removing,
                vec![Action::Remove {
                    if_version: found.version,
                }],
            ),
            (Cleanup::Reading, ApiReply::Found(_) | ApiReply::Absent)
            | (Cleanup::Removing, ApiReply::Removed | ApiReply::Conflict(_)) => {
                (Cleanup::Finished, Vec::new())
            }
            (Cleanup::Reading | Cleanup::Removing, _) => {
                (Cleanup::At(now + self.cfg.retry), Vec::new())
            }
            (cleanup, _) => (cleanup, Vec::new()),
        };
        self.state = State::Abandoned(next);
        actions
    }

    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        match self.state.clone() {
            State::Unsure { .. } if now >= self.settle_by => self.give_up(now, NotRun::Unavailable),
            State::Unsure {
                if_version,
                read_at: Some(at),
            } if now >= at => self.read_back(if_version),
            State::Asking { .. } if now >= self.req.deadline => self.end(Answer::MayHaveRun),
            State::Recording {
                version,
                phase,
                answer_by,
                retry_at,
            } => self.tick_recording(now, version, phase, answer_by, retry_at),
            State::Abandoned(Cleanup::At(at)) if now >= at => {
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
        let late = answer_by.is_some_and(|by| now >= by);
        let answer_by = answer_by.filter(|_| !late);
        let mut actions: Vec<Action> = late
            .then(|| completed(&phase))
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

fn completed(phase: &Phase) -> Option<Action> {
    match phase {
        Phase::Done(outcome) => Some(Action::Answer(Answer::Completed(outcome.clone()))),
        _ => None,
    }
}
