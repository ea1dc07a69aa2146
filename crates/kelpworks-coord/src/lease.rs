//! A lease on a role, with fencing tokens.
//!
//! Only one daemon at a time may place models. The lease is an object of the object API, acquired
//! and renewed by conditional update. A [`Lease`] is one daemon's view of it.
//!
//! **Holder.** The holder counts the lease's time from the sending of the acquisition or renewal,
//! so its lease ends before any observer may acquire it.
//! [`Lease::fencing_token`] allows an order only while the remaining time exceeds the order bound,
//! the longest time from that check to the order's effect.
//!
//! **Observers.** An observer counts from its first observation of a version, by its own clock. It
//! may acquire the lease once `ttl` plus the order bound, extended by the bound on clock drift,
//! have passed without a new version.
//!
//! **Fencing.** The token increases with every acquisition and goes with every order. A holder that
//! is paused for longer than the order bound between the check and the sending can still send a
//! stale order. Upstreams that check the token refuse it. At the others [`crate::repair`] corrects
//! its effect, and routing relies only on what engines echo.
//!
//! ```
//! use kelpworks_coord::id::*;
//! use kelpworks_coord::lease::*;
//! use kelpworks_coord::time::*;
//!
//! let me = Owner { node: NodeId::of("alm-entry-1"), incarnation: Incarnation(1) };
//! let mut lease = Lease::new(Config::default(), me, Instant::ZERO);
//! let now = Instant::ZERO;
//! assert_eq!(lease.on_event(now, Event::Tick), [Action::Read]);
//! let absent = Event::Api(ApiReply::Read(Stored::ABSENT));
//! assert!(matches!(lease.on_event(now, absent)[..], [Action::Write { .. }]));
//! let actions = lease.on_event(now, Event::Api(ApiReply::Written(Version::initial(1))));
//! assert_eq!(actions, [Action::Acquired(Token(1))]);
//! assert_eq!(lease.fencing_token(now), Some(Token(1)));
//! let late = now + Span::from_secs(9);
//! assert_eq!(lease.fencing_token(late), None, "too little is left for an order to take effect");
//! ```
//!
//! While the object API is down, no daemon can renew: the holder's orders stop when its lease
//! expires, and placement stays unchanged until the API is back. The object must never be removed,
//! because its token must not decrease; daemons that have observed it do not acquire the lease when
//! it is absent.
//!
//! **Eras.** After a restore the API may return a record that had been superseded. A holder that
//! observes a later era ends its lease at once. A record written before that era does not allow a
//! daemon to acquire the lease until every lease held at the time has expired. Tokens of a later
//! era are higher than all tokens of earlier ones.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Era;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::Version;
use crate::time::Instant;
use crate::time::Span;

/// Times of a lease. All daemons must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Length of the lease. Default 10 s.
    pub ttl: Span,
    /// Interval at which the holder renews. Default 3 s: few writes, and two renewals may fail
    /// before the lease ends.
    pub renew_interval: Span,
    /// Longest time from [`Lease::fencing_token`] to the order's effect, without pauses of the
    /// process. Default 2 s.
    pub order_bound: Span,
    /// Largest error of a daemon's clock rate, in thousandths. Default 5; below 1,000.
    pub drift_per_mille: u64,
    /// Interval at which daemons that don't hold the lease read it. Default 2 s.
    pub poll_interval: Span,
    /// Pause before a call is retried. Default 500 ms.
    pub retry_interval: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            ttl: Span::from_secs(10),
            renew_interval: Span::from_secs(3),
            order_bound: Span::from_secs(2),
            drift_per_mille: 5,
            poll_interval: Span::from_secs(2),
            retry_interval: Span::from_millis(500),
        }
    }
}

impl Config {
    /// Returns the time without a new version after which an observer may acquire the lease.
    ///
    /// Allows for a slow clock of the holder and a fast one of the observer, each by
    /// `drift_per_mille`.
    pub fn takeover_after(&self) -> Span {
        let whole = (self.ttl + self.order_bound).as_millis();
        let drift = self.drift_per_mille.min(999);
        Span::from_millis((whole * (1_000 + drift)).div_ceil(1_000 - drift))
    }
}

/// Holder of a lease: one run of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// Daemon that holds the lease.
    pub node: NodeId,
    /// Incarnation that acquired it. After a restart the daemon does not hold it any more.
    pub incarnation: Incarnation,
}

/// Fencing token; increases with each acquisition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Token(pub u64);

impl Token {
    /// Low bits of a token that count within an era; the era is in the bits above. An era has fewer
    /// revisions than these bits can count.
    const ERA_SHIFT: u32 = 32;

    /// Returns the lowest token of an era.
    const fn first_of(era: Era) -> Token {
        Token(era.0 << Token::ERA_SHIFT)
    }

    /// Returns the token for an acquisition that replaces a stored lease.
    ///
    /// In a later era, a write whose condition dates from the previous era may lower the stored
    /// token. There tokens follow the revision instead, which only increases within an era.
    fn after(stored: &Stored) -> Token {
        let next = Token(stored.record.token.0 + 1);
        let Version { era, revision } = stored.version;
        match era {
            Era::FIRST => next,
            era => next.max(Token(Token::first_of(era).0 + revision)),
        }
    }
}

/// Body of the lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Holder; `None` after a release, and before the first acquisition.
    pub owner: Option<Owner>,
    /// Fencing token; increases at each acquisition. Decreases only when the API is restored from
    /// an older copy.
    pub token: Token,
    /// Increases by one at each write with the same token.
    pub renewal: u64,
}

/// The lease object as read from the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stored {
    /// Version for conditional updates.
    pub version: Version,
    /// Body of the object.
    pub record: Record,
}

impl Stored {
    /// A lease that was never held, in the first era.
    pub const ABSENT: Stored = Stored::absent(Era::FIRST);

    /// Returns a lease without an object in an era: one that was never held, as far as the API
    /// knows.
    pub const fn absent(era: Era) -> Stored {
        Stored {
            version: Version::absent(era),
            record: Record {
                owner: None,
                token: Token(0),
                renewal: 0,
            },
        }
    }

    /// Returns whether the record was written in the era in which it was read.
    fn was_written_in_shown_era(&self) -> bool {
        self.record.token >= Token::first_of(self.version.era)
    }
}

/// Answer of the object API to the last read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ApiReply {
    /// Read; as [`Stored::absent`] when the object does not exist.
    Read(Stored),
    /// Written; the object has this version now.
    Written(Version),
    /// Not written, because the version differs; the present object.
    Conflict(Stored),
    /// Refused before any effect.
    Refused,
    /// No reply; a write may have taken effect, or take effect later.
    Lost,
}

/// An input of [`Lease`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The object API answered.
    Api(ApiReply),
    /// A watch returned the object.
    Watched(Stored),
    /// An era was observed in a call to the API, or reported by a peer.
    Era(Era),
    /// Release the lease and acquire it no more, for a planned stop.
    Release,
    /// Release the lease if it is held, for another daemon to acquire it, once the orders that are
    /// under way have taken effect. This daemon may acquire it again later.
    Yield,
}

/// Something for the driver to do. At most one read or write is outstanding at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Read the lease object.
    Read,
    /// Write the lease object.
    Write {
        /// Version that the object must have.
        if_version: Version,
        /// New body.
        record: Record,
    },
    /// This daemon holds the lease now; read the engines' state before sending any order.
    Acquired(Token),
    /// This daemon no longer holds the lease.
    Resigned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Call {
    Read,
    Write { if_version: Version, record: Record },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    version: Version,
    record: Record,
    /// When the write that resulted in `version` was first sent, by this daemon's clock.
    sent_at: Instant,
}

/// One daemon's view of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    cfg: Config,
    me: Owner,
    /// Latest observed era; never decreases.
    era: Era,
    /// When the latest era was first observed; `None` in the first era.
    era_observed_at: Option<Instant>,
    /// Latest version observed in the latest era, and when it was first observed. Versions never
    /// decrease.
    observed: Option<(Stored, Instant)>,
    /// Highest token observed in any era; never decreases.
    highest_token: Token,
    held: Option<Held>,
    outstanding: Option<Call>,
    /// This daemon's last write, while its effect is unknown, and when it was first sent.
    unconfirmed: Option<(Record, Instant)>,
    /// Earliest time of the next call to the object API.
    next_call: Instant,
    releasing: bool,
    /// When this daemon began to release the held lease for another one; `None` once it is not held.
    yielding_since: Option<Instant>,
}

impl Lease {
    /// Creates the view of a daemon that has not observed the lease yet.
    pub fn new(cfg: Config, me: Owner, now: Instant) -> Lease {
        Lease {
            cfg,
            me,
            era: Era::FIRST,
            era_observed_at: None,
            observed: None,
            highest_token: Token(0),
            held: None,
            outstanding: None,
            unconfirmed: None,
            next_call: now,
            releasing: false,
            yielding_since: None,
        }
    }

    /// Handles an input and returns what the driver has to do. Replies without an outstanding call
    /// are ignored.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.on_tick(now),
            Event::Api(reply) => self.on_api(now, reply),
            Event::Watched(stored) => self.observe(now, stored),
            Event::Era(era) => self.enter_era(now, era),
            Event::Release => {
                self.releasing = true;
                self.next_call = now;
                self.on_tick(now)
            }
            Event::Yield => {
                if self.held.is_some() && self.yielding_since.is_none() {
                    self.yielding_since = Some(now);
                    self.next_call = now + self.cfg.order_bound;
                }
                self.on_tick(now)
            }
        }
    }

    /// Returns the token with which an order may be sent now; `None` when this daemon does not hold
    /// the lease, releases it, or has too little time left for an order to take effect.
    pub fn fencing_token(&self, now: Instant) -> Option<Token> {
        let held = self.held?;
        let bound = held.sent_at + self.cfg.ttl;
        let is_kept = !self.releasing && self.yielding_since.is_none();
        (now + self.cfg.order_bound < bound && is_kept).then_some(held.record.token)
    }

    /// Returns whether this daemon holds the lease, even if too little time is left for an order.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the highest token observed.
    pub fn latest_token(&self) -> Token {
        self.highest_token
    }

    /// Returns the latest observed era.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Returns the holder of the lease as last observed.
    pub fn owner(&self) -> Option<Owner> {
        self.observed.and_then(|(stored, _)| stored.record.owner)
    }

    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        if self.outstanding.is_some() || now < self.next_call {
            return Vec::new();
        }
        let released_at = self.yielding_since.map(|at| at + self.cfg.order_bound);
        match (self.observed, self.held) {
            (_, Some(held)) if self.releasing => self.write_release(now, held),
            (_, Some(_)) if released_at.is_some_and(|at| now < at) => Vec::new(),
            (_, Some(held)) if released_at.is_some() => self.write_release(now, held),
            (_, Some(held)) => self.write_renewal(now, held),
            (Some((stored, at)), None) if self.may_acquire(now, stored, at) => {
                self.write_acquisition(now, stored)
            }
            _ => self.read(),
        }
    }

    fn may_acquire(&self, now: Instant, stored: Stored, at: Instant) -> bool {
        let free = stored.record.owner.is_none() && stored.was_written_in_shown_era();
        // A record from an earlier era doesn't show which daemon held the lease when that era
        // ended.
        let since = self.era_observed_at.map_or(at, |era| era.max(at));
        !self.releasing && (free || now.since(since) >= self.cfg.takeover_after())
    }

    /// Records a later era. Observations, writes and leases of earlier eras become invalid.
    fn enter_era(&mut self, now: Instant, era: Era) -> Vec<Action> {
        if era <= self.era {
            return Vec::new();
        }
        self.era = era;
        self.era_observed_at = Some(now);
        self.observed = None;
        self.next_call = now;
        self.resign()
    }

    fn read(&mut self) -> Vec<Action> {
        self.outstanding = Some(Call::Read);
        vec![Action::Read]
    }

    fn write_renewal(&mut self, now: Instant, held: Held) -> Vec<Action> {
        let record = Record {
            renewal: held.record.renewal + 1,
            ..held.record
        };
        self.write(now, held.version, record)
    }

    fn write_release(&mut self, now: Instant, held: Held) -> Vec<Action> {
        let renewal = held.record.renewal + 1;
        self.write(
            now,
            held.version,
            Record {
                owner: None,
                renewal,
                ..held.record
            },
        )
    }

    fn write_acquisition(&mut self, now: Instant, stored: Stored) -> Vec<Action> {
        let record = Record {
            owner: Some(self.me),
            token: Token::after(&stored),
            renewal: 0,
        };
        self.write(now, stored.version, record)
    }

    fn write(&mut self, now: Instant, if_version: Version, record: Record) -> Vec<Action> {
        // A repeated write keeps the time of its first sending, since either may take effect.
        if self.unconfirmed.is_none_or(|(r, _)| r != record) {
            self.unconfirmed = Some((record, now));
        }
        self.outstanding = Some(Call::Write { if_version, record });
        vec![Action::Write { if_version, record }]
    }

    fn on_api(&mut self, now: Instant, reply: ApiReply) -> Vec<Action> {
        let Some(call) = self.outstanding.take() else {
            return Vec::new();
        };
        match (call, reply) {
            (Call::Read, ApiReply::Read(stored)) => {
                self.next_call = now + self.cfg.poll_interval;
                let mut actions = self.observe(now, stored);
                if self.held.is_none() && actions.is_empty() {
                    actions.extend(self.acquire_if_due(now));
                }
                actions
            }
            // The conflicting object is newer than the observed one, unless the object was removed.
            (Call::Write { .. }, ApiReply::Conflict(stored)) => {
                self.next_call = now + self.cfg.retry_interval;
                self.observe(now, stored)
            }
            (Call::Write { record, .. }, ApiReply::Written(version)) => {
                self.observe(now, Stored { version, record })
            }
            (Call::Write { .. }, ApiReply::Lost) => self.read(),
            _ => {
                self.next_call = now + self.cfg.retry_interval;
                Vec::new()
            }
        }
    }

    fn acquire_if_due(&mut self, now: Instant) -> Vec<Action> {
        match self.observed {
            Some((stored, at)) if self.may_acquire(now, stored, at) => {
                self.write_acquisition(now, stored)
            }
            _ => Vec::new(),
        }
    }

    /// Records the object from any source; a version older than the observed one changes nothing.
    fn observe(&mut self, now: Instant, stored: Stored) -> Vec<Action> {
        if stored.version.era < self.era {
            self.next_call = self.next_call.min(now + self.cfg.retry_interval);
            return Vec::new();
        }
        let mut actions = self.enter_era(now, stored.version.era);
        actions.extend(self.observe_in_era(now, stored));
        actions
    }

    fn observe_in_era(&mut self, now: Instant, stored: Stored) -> Vec<Action> {
        if self
            .observed
            .is_some_and(|(s, _)| stored.version <= s.version)
        {
            if self.unconfirmed.is_some() {
                // This daemon's write is not visible yet: repeat it soon.
                self.next_call = self.next_call.min(now + self.cfg.retry_interval);
            }
            return Vec::new();
        }
        self.observed = Some((stored, now));
        self.highest_token = self.highest_token.max(stored.record.token);
        let is_own = stored.record.owner == Some(self.me);
        match (
            is_own,
            self.unconfirmed.filter(|(r, _)| *r == stored.record),
        ) {
            (true, Some((record, sent_at))) => {
                self.confirm_held(now, stored.version, record, sent_at)
            }
            _ => self.resign(),
        }
    }

    fn confirm_held(
        &mut self,
        now: Instant,
        version: Version,
        record: Record,
        sent_at: Instant,
    ) -> Vec<Action> {
        let acquired = self.held.is_none_or(|h| h.record.token != record.token);
        self.held = Some(Held {
            version,
            record,
            sent_at,
        });
        self.unconfirmed = None;
        self.next_call = (sent_at + self.cfg.renew_interval).max(now);
        match acquired {
            true => vec![Action::Acquired(record.token)],
            false => Vec::new(),
        }
    }

    fn resign(&mut self) -> Vec<Action> {
        self.unconfirmed = None;
        self.yielding_since = None;
        match self.held.take() {
            Some(_) => vec![Action::Resigned],
            None => Vec::new(),
        }
    }
}
