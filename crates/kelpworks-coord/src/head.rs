//! The config head: which configuration is accepted, and which is in force on a daemon.
//!
//! Register and rules are immutable objects named by their digest. One small head object names the
//! pair in force, and a conditional update of it is what accepts a change. [`Swap`] is the side of
//! an operator, [`Follower`] that of a daemon.
//!
//! - The pair is validated together before each swap, also after a rebase.
//! - The head keeps for each part who changed it last ([`Part::nonce`]) and at which generation
//!   ([`Part::since`]). So a lost reply can be settled by reading back even if others have swapped
//!   since, and a part that was changed and changed back still counts as changed.
//! - A daemon moves to a higher generation only, whatever an API replica or a peer says.
//!
//! ```
//! use kelpworks_coord::head::*;
//! use kelpworks_coord::id::*;
//! use kelpworks_coord::time::Instant;
//!
//! let change = Change { kind: PartKind::Rules, digest: Digest([1; 32]), nonce: Nonce(5) };
//! let mut swap = Swap::new(Config::default(), change, Instant::ZERO);
//! assert_eq!(swap.on_event(Instant::ZERO, SwapEvent::Start), [SwapAction::PutBlob(change.digest)]);
//! let actions = swap.on_event(Instant::ZERO, SwapEvent::BlobStored);
//! assert_eq!(actions, [SwapAction::ReadHead]);
//!
//! let mut follower = Follower::new();
//! let newer = Head { generation: Generation(4), ..Head::EMPTY };
//! assert_eq!(follower.on_event(FollowerEvent::Seen(newer)), [FollowerAction::Fetch(newer)]);
//! let older = Head { generation: Generation(3), ..Head::EMPTY };
//! assert_eq!(follower.on_event(FollowerEvent::Seen(older)), []);
//! ```
//!
//! Limits: an operator's command that ends with [`SwapOutcome::Unknown`] may yet take effect, when
//! its last write is still under way. A stale first read can report a conflict with a change that
//! the operator did not see; it never overwrites one.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Digest;
use crate::id::Era;
use crate::id::Nonce;
use crate::id::Version;
use crate::time::Instant;
use crate::time::Span;

/// Number of a configuration; rises with each accepted change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Generation(pub u64);

impl Generation {
    /// Bits of a generation below those of the era: more than there are changes in an era.
    const ERA_SHIFT: u32 = 32;

    /// The generation of a change that is accepted in an era on top of this one.
    ///
    /// After a restore the API returns an older head. Without the era, a change to that head would reuse the
    /// generation of a lost change that daemons still have in force.
    fn next(self, era: Era) -> Generation {
        let first = Generation(era.0 << Generation::ERA_SHIFT);
        Generation(self.0 + 1).max(first)
    }
}

/// One part of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Its text, by digest.
    pub digest: Digest,
    /// Generation that brought it; at most the head's.
    pub since: Generation,
    /// The change that brought it.
    pub nonce: Nonce,
}

/// Body of the head object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Higher than that of each head before.
    pub generation: Generation,
    /// The register; `None` before the first import.
    pub register: Option<Part>,
    /// The rules; `None` before they are first applied.
    pub rules: Option<Part>,
}

impl Head {
    /// What stands before the first change.
    pub const EMPTY: Head = Head {
        generation: Generation(0),
        register: None,
        rules: None,
    };

    fn part(&self, kind: PartKind) -> Option<Part> {
        match kind {
            PartKind::Register => self.register,
            PartKind::Rules => self.rules,
        }
    }

    fn with_change(self, change: Change, era: Era) -> Head {
        let generation = self.generation.next(era);
        let part = Some(Part {
            digest: change.digest,
            since: generation,
            nonce: change.nonce,
        });
        match change.kind {
            PartKind::Register => Head {
                generation,
                register: part,
                ..self
            },
            PartKind::Rules => Head {
                generation,
                rules: part,
                ..self
            },
        }
    }
}

/// Which part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PartKind {
    /// The register.
    Register,
    /// The rules.
    Rules,
}

/// A change that an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Change {
    /// The part to replace.
    pub kind: PartKind,
    /// Its new text.
    pub digest: Digest,
    /// Drawn for this change.
    pub nonce: Nonce,
}

/// Bounds of a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Pause before a call is tried again. Default 200 ms.
    pub retry_interval: Span,
    /// Longest time for the whole change. Default 30 s.
    pub timeout: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            retry_interval: Span::from_millis(200),
            timeout: Span::from_secs(30),
        }
    }
}

/// The head object as the API shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoredHead {
    /// Its version; [`Version::ABSENT`] with [`Head::EMPTY`] when there is none.
    pub version: Version,
    /// Its body.
    pub head: Head,
}

/// An input of [`Swap`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SwapEvent {
    /// Begin.
    Start,
    /// The text is stored.
    BlobStored,
    /// The head was read.
    HeadRead(StoredHead),
    /// The pair fits together.
    Valid,
    /// The pair does not.
    Invalid,
    /// The head was written.
    Swapped,
    /// The head was not written; it stands so.
    Conflict(StoredHead),
    /// The call was turned away before any effect.
    Refused,
    /// The call got no answer; it may have taken effect, or take effect later.
    Lost,
    /// Time passed.
    Tick,
}

/// Something for the operator's driver to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SwapAction {
    /// Store the new text under its digest, unless it is there.
    PutBlob(Digest),
    /// Read the head.
    ReadHead,
    /// Check that the parts of this head fit together.
    Validate(Head),
    /// Write the head.
    SwapHead {
        /// Condition.
        if_version: Version,
        /// New body.
        head: Head,
    },
    /// The end.
    Done(SwapOutcome),
}

/// How a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SwapOutcome {
    /// In force from this generation on.
    Accepted(Generation),
    /// The same part was changed since it was first read; nothing was applied.
    Conflict {
        /// What stands.
        current: Head,
    },
    /// The same part was changed after a write of ours whose reply was lost. Ours was applied and
    /// replaced, or never applied.
    Superseded {
        /// What stands.
        current: Head,
    },
    /// The pair does not fit; nothing was applied.
    Invalid,
    /// Time ran out before the first write of the head; nothing was applied.
    NotApplied,
    /// Time ran out after a write whose effect is not known.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Call {
    Blob,
    Read,
    Validate(StoredHead),
    Swap(StoredHead),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SwapState {
    New,
    Outstanding(Call),
    Waiting { call: Call, until: Instant },
    Done,
}

/// An operator's change, from its text to its acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Swap {
    cfg: Config,
    change: Change,
    deadline: Instant,
    /// The head as first read: what the operator's change was made against.
    base: Option<Head>,
    /// Latest version read; an older one is the answer of a lagging replica.
    latest: Version,
    /// Whether a write of the head may have taken effect without our knowing.
    maybe_written: bool,
    state: SwapState,
}

impl Swap {
    /// A change that has not begun.
    pub fn new(cfg: Config, change: Change, now: Instant) -> Swap {
        let deadline = now + cfg.timeout;
        Swap {
            cfg,
            change,
            deadline,
            base: None,
            latest: Version::ABSENT,
            maybe_written: false,
            state: SwapState::New,
        }
    }

    /// Takes an input. Inputs that do not fit the present state are ignored.
    pub fn on_event(&mut self, now: Instant, event: SwapEvent) -> Vec<SwapAction> {
        match (self.state, event) {
            (SwapState::New, SwapEvent::Start) => self.call(Call::Blob),
            (SwapState::Waiting { call, until }, SwapEvent::Tick) => {
                if now >= self.deadline {
                    return self.time_out();
                }
                if now >= until {
                    self.call(call)
                } else {
                    Vec::new()
                }
            }
            (SwapState::Outstanding(_), SwapEvent::Tick) if now >= self.deadline => self.time_out(),
            (SwapState::Outstanding(call), event) => self.on_reply(now, call, event),
            _ => Vec::new(),
        }
    }

    fn call(&mut self, call: Call) -> Vec<SwapAction> {
        self.state = SwapState::Outstanding(call);
        vec![match call {
            Call::Blob => SwapAction::PutBlob(self.change.digest),
            Call::Read => SwapAction::ReadHead,
            Call::Validate(at) => SwapAction::Validate(self.updated_head(at)),
            Call::Swap(at) => SwapAction::SwapHead {
                if_version: at.version,
                head: self.updated_head(at),
            },
        }]
    }

    /// The head with the change on top of it.
    fn updated_head(&self, at: StoredHead) -> Head {
        at.head.with_change(self.change, at.version.era)
    }

    fn on_reply(&mut self, now: Instant, call: Call, event: SwapEvent) -> Vec<SwapAction> {
        match (call, event) {
            (Call::Blob, SwapEvent::BlobStored) => self.call(Call::Read),
            (Call::Read, SwapEvent::HeadRead(at)) => self.on_head(now, at),
            (Call::Validate(at), SwapEvent::Valid) => self.call(Call::Swap(at)),
            (Call::Validate(_), SwapEvent::Invalid) => self.on_invalid(),
            (Call::Swap(at), SwapEvent::Swapped) => {
                self.done(SwapOutcome::Accepted(self.updated_head(at).generation))
            }
            (Call::Swap(_), SwapEvent::Conflict(at)) => self.on_head(now, at),
            (Call::Swap(_), SwapEvent::Lost) => {
                self.maybe_written = true;
                self.call(Call::Read)
            }
            (call, SwapEvent::Lost | SwapEvent::Refused) => self.retry_later(now, call),
            _ => Vec::new(),
        }
    }

    fn retry_later(&mut self, now: Instant, call: Call) -> Vec<SwapAction> {
        let until = now + self.cfg.retry_interval;
        self.state = SwapState::Waiting { call, until };
        Vec::new()
    }

    /// Decides on a head that was read, or that stood in the way.
    fn on_head(&mut self, now: Instant, at: StoredHead) -> Vec<SwapAction> {
        if at.version < self.latest {
            return self.retry_later(now, Call::Read);
        }
        self.latest = at.version;
        let base = *self.base.get_or_insert(at.head);
        let stored_part = at.head.part(self.change.kind);
        if let Some(part) = stored_part.filter(|p| p.nonce == self.change.nonce) {
            return self.done(SwapOutcome::Accepted(part.since));
        }
        let since = |part: Option<Part>| part.map(|p| p.since);
        if since(stored_part) == since(base.part(self.change.kind)) {
            return self.call(Call::Validate(at));
        }
        match self.maybe_written {
            true => self.done(SwapOutcome::Superseded { current: at.head }),
            false => self.done(SwapOutcome::Conflict { current: at.head }),
        }
    }

    fn on_invalid(&mut self) -> Vec<SwapAction> {
        match self.maybe_written {
            true => self.done(SwapOutcome::Unknown),
            false => self.done(SwapOutcome::Invalid),
        }
    }

    fn time_out(&mut self) -> Vec<SwapAction> {
        let writing = matches!(
            self.state,
            SwapState::Outstanding(Call::Swap(_))
                | SwapState::Waiting {
                    call: Call::Swap(_),
                    ..
                }
        );
        match self.maybe_written || writing {
            true => self.done(SwapOutcome::Unknown),
            false => self.done(SwapOutcome::NotApplied),
        }
    }

    fn done(&mut self, outcome: SwapOutcome) -> Vec<SwapAction> {
        self.state = SwapState::Done;
        vec![SwapAction::Done(outcome)]
    }
}

/// An input of [`Follower`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FollowerEvent {
    /// A head from the API, a watch or a peer.
    Seen(Head),
    /// Both texts of this generation are here, checked against their digests and parsed.
    Fetched(Generation),
    /// They are not to be had now, or do not parse.
    FetchFailed(Generation),
    /// Time to try again.
    Retry,
}

/// Something for the daemon to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FollowerAction {
    /// Get both texts, from the API or from peers.
    Fetch(Head),
    /// Put this configuration in force.
    Apply(Head),
}

/// A daemon's view of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Follower {
    /// In force; its generation never falls.
    current: Option<Head>,
    /// Being fetched; its generation is higher than that of [`Follower::current`].
    pending: Option<Head>,
    /// Whether the last fetch of `pending` failed.
    failed: bool,
    stale_heads: u32,
}

impl Follower {
    /// A daemon without configuration.
    pub fn new() -> Follower {
        Follower::default()
    }

    /// Takes an input.
    pub fn on_event(&mut self, event: FollowerEvent) -> Vec<FollowerAction> {
        match event {
            FollowerEvent::Seen(head) => self.on_seen(head),
            FollowerEvent::Fetched(generation) => self.on_fetched(generation),
            FollowerEvent::FetchFailed(generation) => {
                self.failed |= self.pending.is_some_and(|p| p.generation == generation);
                Vec::new()
            }
            FollowerEvent::Retry => {
                let again = self.pending.filter(|_| self.failed);
                self.failed = false;
                again.map(FollowerAction::Fetch).into_iter().collect()
            }
        }
    }

    fn on_seen(&mut self, head: Head) -> Vec<FollowerAction> {
        if head.generation < self.latest_generation() {
            self.stale_heads = self.stale_heads.saturating_add(1);
        }
        if head.generation <= self.latest_generation() {
            return Vec::new();
        }
        self.pending = Some(head);
        self.failed = false;
        vec![FollowerAction::Fetch(head)]
    }

    fn on_fetched(&mut self, generation: Generation) -> Vec<FollowerAction> {
        let Some(head) = self.pending.filter(|p| p.generation == generation) else {
            return Vec::new();
        };
        self.pending = None;
        self.current = Some(head);
        vec![FollowerAction::Apply(head)]
    }

    /// The configuration in force.
    pub fn current(&self) -> Option<Head> {
        self.current
    }

    /// Highest generation seen, in force or being fetched; 0 before any.
    pub fn latest_generation(&self) -> Generation {
        self.pending
            .or(self.current)
            .map_or(Generation(0), |h| h.generation)
    }

    /// Takes the count of heads dropped for being older than what is known, for metrics.
    pub fn take_stale_count(&mut self) -> u32 {
        std::mem::take(&mut self.stale_heads)
    }
}
