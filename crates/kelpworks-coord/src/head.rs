//! The config head: which configuration is accepted, and which is in force on a daemon.
//!
//! Register and rules are immutable objects named by their digest. One small head object names the
//! accepted pair; a change is accepted by a compare-and-swap of the head. [`Swap`] is the
//! operator's side of a change, [`Follower`] the daemon's.
//!
//! - Register and rules are validated together before each swap, also when the swap is retried on
//!   top of another operator's change.
//! - The head records for each part which change wrote it last ([`Part::nonce`]) and in which
//!   generation ([`Part::since`]). So reading the head shows whether a swap with a lost reply took
//!   effect, even after later swaps by others, and a part that was changed and changed back still
//!   counts as changed.
//! - A daemon only moves to higher generations, whatever an API replica or a peer reports.
//!
//! ```
//! use kelpworks_coord::head::*;
//! use kelpworks_coord::id::*;
//! use kelpworks_coord::time::Instant;
//!
//! let change = Change { kind: PartKind::Rules, digest: Digest([1; 32]), nonce: Nonce(5) };
//! let mut swap = Swap::new(Config::default(), change, Instant::ZERO);
//! assert_eq!(
//!     swap.on_event(Instant::ZERO, SwapEvent::Start),
//!     [SwapAction::PutBlob(change.digest)]
//! );
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
//! Limits: a change that ends with [`SwapOutcome::Unknown`] can still take effect afterwards, while
//! its last write is in flight. A stale first read can lead to a reported conflict with a change
//! that the operator did not see; it never overwrites one.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Digest;
use crate::id::Era;
use crate::id::Nonce;
use crate::id::Version;
use crate::time::Instant;
use crate::time::Span;

/// Number of a configuration; increases with each accepted change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Generation(pub u64);

impl Generation {
    /// Low bits of a generation that count the changes within an era; the era is in the bits above.
    /// An era has fewer changes than these bits can count.
    const ERA_SHIFT: u32 = 32;

    /// Returns the generation of a change that is accepted in `era` on top of this generation.
    ///
    /// After a restore the API returns an older head. Without the era, a change to that head would
    /// reuse the generation of a lost change that daemons still have in force.
    fn next(self, era: Era) -> Generation {
        let first = Generation(era.0 << Generation::ERA_SHIFT);
        Generation(self.0 + 1).max(first)
    }
}

/// One part of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Digest of its text.
    pub digest: Digest,
    /// Generation in which it was last changed; at most the head's.
    pub since: Generation,
    /// Identifies the change that last wrote it.
    pub nonce: Nonce,
}

/// Body of the head object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Higher than that of each earlier head.
    pub generation: Generation,
    /// The register; `None` before the first import.
    pub register: Option<Part>,
    /// The rules; `None` before they are first applied.
    pub rules: Option<Part>,
}

impl Head {
    /// The head before the first change.
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

/// Kind of a part of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PartKind {
    /// The register.
    Register,
    /// The rules.
    Rules,
}

/// A change of one part, requested by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Change {
    /// Part to replace.
    pub kind: PartKind,
    /// Digest of the new text.
    pub digest: Digest,
    /// Random number, drawn for this change.
    pub nonce: Nonce,
}

/// Timeouts of a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Pause before a call is retried. Default 200 ms.
    pub retry_interval: Span,
    /// Timeout of the whole change. Default 30 s.
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

/// The head object as read from the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoredHead {
    /// Version for conditional updates; absent, with [`Head::EMPTY`], when the object does not
    /// exist.
    pub version: Version,
    /// Body of the object.
    pub head: Head,
}

/// An input of [`Swap`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SwapEvent {
    /// Start the change.
    Start,
    /// The new text is stored.
    BlobStored,
    /// The head was read.
    HeadRead(StoredHead),
    /// Register and rules are valid together.
    Valid,
    /// Register and rules are not valid together.
    Invalid,
    /// The head was written.
    Swapped,
    /// The head was not written, because its version differs; the present head.
    Conflict(StoredHead),
    /// The call was refused before any effect.
    Refused,
    /// The call got no reply; it may have taken effect, or take effect later.
    Lost,
    /// Time passed.
    Tick,
}

/// Something for the operator's driver to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SwapAction {
    /// Store the new text under its digest, unless it is already stored.
    PutBlob(Digest),
    /// Read the head.
    ReadHead,
    /// Check that register and rules of this head are valid together.
    Validate(Head),
    /// Write the head.
    SwapHead {
        /// Version that the head must have.
        if_version: Version,
        /// New body.
        head: Head,
    },
    /// The change ended; nothing more is to be done.
    Done(SwapOutcome),
}

/// Outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SwapOutcome {
    /// Accepted in this generation.
    Accepted(Generation),
    /// The same part was changed since it was first read; nothing was applied.
    Conflict {
        /// Present head.
        current: Head,
    },
    /// The same part was changed after this change's write with a lost reply. This change was
    /// applied and then replaced, or never applied.
    Superseded {
        /// Present head.
        current: Head,
    },
    /// Register and rules are not valid together; nothing was applied.
    Invalid,
    /// The timeout passed before the first write of the head; nothing was applied.
    NotApplied,
    /// The change timed out or became invalid after a write whose effect is unknown.
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

/// An operator's change, from storing its text to its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Swap {
    cfg: Config,
    change: Change,
    deadline: Instant,
    /// Head as first read, on which the operator's change is based.
    base: Option<Head>,
    /// Latest version read; a read that returns an older one came from a lagging replica.
    latest: Version,
    /// Whether a write of the head may have taken effect without confirmation.
    maybe_written: bool,
    state: SwapState,
}

impl Swap {
    /// Creates a change that waits for [`SwapEvent::Start`]. Its timeout runs from `now`.
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

    /// Handles an input and returns what the driver has to do. Inputs that do not match the present
    /// state are ignored.
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
            Call::Validate(stored) => SwapAction::Validate(self.updated_head(stored)),
            Call::Swap(stored) => SwapAction::SwapHead {
                if_version: stored.version,
                head: self.updated_head(stored),
            },
        }]
    }

    /// Returns the stored head with the change applied.
    fn updated_head(&self, stored: StoredHead) -> Head {
        stored.head.with_change(self.change, stored.version.era)
    }

    fn on_reply(&mut self, now: Instant, call: Call, event: SwapEvent) -> Vec<SwapAction> {
        match (call, event) {
            (Call::Blob, SwapEvent::BlobStored) => self.call(Call::Read),
            (Call::Read, SwapEvent::HeadRead(stored)) => self.on_head(now, stored),
            (Call::Validate(stored), SwapEvent::Valid) => self.call(Call::Swap(stored)),
            (Call::Validate(_), SwapEvent::Invalid) => self.on_invalid(),
            (Call::Swap(stored), SwapEvent::Swapped) => {
                self.done(SwapOutcome::Accepted(self.updated_head(stored).generation))
            }
            (Call::Swap(_), SwapEvent::Conflict(stored)) => self.on_head(now, stored),
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

    /// Decides the next step after a read of the head, or after a conflict that returned it.
    fn on_head(&mut self, now: Instant, stored: StoredHead) -> Vec<SwapAction> {
        if stored.version < self.latest {
            return self.retry_later(now, Call::Read);
        }
        self.latest = stored.version;
        let base = *self.base.get_or_insert(stored.head);
        let stored_part = stored.head.part(self.change.kind);
        if let Some(part) = stored_part.filter(|p| p.nonce == self.change.nonce) {
            return self.done(SwapOutcome::Accepted(part.since));
        }
        let since = |part: Option<Part>| part.map(|p| p.since);
        if since(stored_part) == since(base.part(self.change.kind)) {
            return self.call(Call::Validate(stored));
        }
        match self.maybe_written {
            true => self.done(SwapOutcome::Superseded {
                current: stored.head,
            }),
            false => self.done(SwapOutcome::Conflict {
                current: stored.head,
            }),
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
    /// A head arrived from the API, a watch or a peer.
    Seen(Head),
    /// Both texts of this generation were fetched, checked against their digests and parsed.
    Fetched(Generation),
    /// The texts of this generation could not be fetched, or do not parse.
    FetchFailed(Generation),
    /// The retry interval of the driver passed.
    Retry,
}

/// Something for the daemon to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FollowerAction {
    /// Fetch both texts, from the API or from peers.
    Fetch(Head),
    /// Put the configuration of this head in force.
    Apply(Head),
}

/// A daemon's view of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Follower {
    /// Head in force; its generation never decreases.
    current: Option<Head>,
    /// Head whose texts are being fetched; its generation is higher than that of `current`.
    pending: Option<Head>,
    /// Whether the last fetch of `pending` failed.
    failed: bool,
    stale_heads: u32,
}

impl Follower {
    /// Creates the view of a daemon without configuration.
    pub fn new() -> Follower {
        Follower::default()
    }

    /// Handles an input and returns what the driver has to do.
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

    /// Returns the head of the configuration in force; `None` before the first.
    pub fn current(&self) -> Option<Head> {
        self.current
    }

    /// Returns the highest generation known, in force or being fetched; 0 before the first.
    pub fn latest_generation(&self) -> Generation {
        self.pending
            .or(self.current)
            .map_or(Generation(0), |h| h.generation)
    }

    /// Returns the number of heads dropped since the last call because they were older than the
    /// latest known, for metrics.
    pub fn take_stale_count(&mut self) -> u32 {
        std::mem::take(&mut self.stale_heads)
    }
}
