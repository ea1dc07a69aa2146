//! A lease on a duty, with fencing tokens.
//!
//! One daemon at a time is to place a model's stages. The lease is an object of the object API,
//! taken and renewed by conditional update. A [`Lease`] is one daemon's view of it.
//!
//! **Holder.** The lease runs from the moment before the renewal was sent, so the holder's view
//! ends before anyone else's. [`Lease::fencing_token`] allows an order only while the remaining time
//! exceeds the order bound, the longest time from that check to the order's effect.
//!
//! **Others.** An observer counts from when it saw a version, by its own clock, and takes the
//! lease once `ttl` plus the order bound have passed without a new version, stretched by the
//! bound on clock drift.
//!
//! **Fencing.** The token rises with every acquisition and goes with every order. A holder that is
//! paused between the check and the sending, for longer than the order bound, can still send a
//! stale order. Upstreams that check the token refuse it; at the others [`crate::repair`] undoes
//! it, and routing trusts only what engines echo.
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
//! While the object API is down no one can renew: the holder's orders stop when its lease runs
//! out, and placement stays as it is until the API is back. The object must never be removed,
//! since its token must not fall; daemons that saw it take no lease from its absence.
//!
//! **Eras.** After a restore the API may return a record that had been superseded. A holder that
//! observes a later era ends its lease at once. A record written before that era does not allow a
//! daemon to acquire the lease until every lease held at the time has expired. Tokens of a later era
//! are higher than all tokens of earlier ones.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Era;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::Version;
use crate::time::Instant;
use crate::time::Span;

/// Times of a lease. All daemons must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Length of the lease. Default 10 s.
    pub ttl: Span,
    /// The holder renews when so much has passed. Default 3 s: few writes, and two may fail.
    pub renew_interval: Span,
    /// Longest time from [`Lease::fencing_token`] to the order's effect, bar pauses. Default 2 s.
    pub order_bound: Span,
    /// Greatest error of a daemon's clock rate, in thousandths. Default 5; below 1,000.
    pub drift_per_mille: u64,
    /// How often others read the lease. Default 2 s.
    pub poll_interval: Span,
    /// Pause before a call is tried again. Default 500 ms.
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
    /// Time without a new version after which an observer may take the lease.
    ///
    /// The holder's clock may be slow and the observer's fast, each by the bound on drift.
    pub fn takeover_after(&self) -> Span {
        let whole = (self.ttl + self.order_bound).as_millis();
        let drift = self.drift_per_mille.min(999);
        Span::from_millis((whole * (1_000 + drift)).div_ceil(1_000 - drift))
    }
}

/// A run of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// The daemon.
    pub node: NodeId,
    /// A restarted daemon does not own what it held before.
    pub incarnation: Incarnation,
}

/// Fencing token; higher for a later acquisition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Token(pub u64);

impl Token {
    /// Bits of a token below those of the era: more than there are revisions in an era.
    const ERA_SHIFT: u32 = 32;

    /// Lowest token of an era.
    const fn first_of(era: Era) -> Token {
        Token(era.0 << Token::ERA_SHIFT)
    }

    /// Token for whoever replaces a stored lease.
    ///
    /// In a later era a write under a condition of the era before may take the stored token back. So
    /// tokens follow the revision there, which only rises within the era.
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
    /// Who holds it; `None` after it was given up.
    pub owner: Option<Owner>,
    /// Rises at each acquisition. Falls only where the API comes back from an older copy.
    pub token: Token,
    /// Rises by one at each write under the same token.
    pub renewal: u64,
}

/// The lease object as the API shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stored {
    /// Its version.
    pub version: Version,
    /// Its body.
    pub record: Record,
}

impl Stored {
    /// A lease that no one ever held, in the first era.
    pub const ABSENT: Stored = Stored::absent(Era::FIRST);

    /// A lease that an era shows as held by no one ever.
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

    /// Whether the record was written in the era in which it is shown.
    fn was_written_in_shown_era(&self) -> bool {
        self.record.token >= Token::first_of(self.version.era)
    }
}

/// Answer of the object API to the last read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ApiReply {
    /// Read; [`Stored::ABSENT`] when there is none.
    Read(Stored),
    /// Written, under this version.
    Written(Version),
    /// Not written; it stands so.
    Conflict(Stored),
    /// Turned away before any effect.
    Refused,
    /// No answer; a write may have taken effect, or take effect later.
    Lost,
}

/// An input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The object API answered.
    Api(ApiReply),
    /// A watch showed the object.
    Watched(Stored),
    /// An era was observed, from a call or a peer.
    Era(Era),
    /// Give the lease up, as on a planned stop.
    Release,
}

/// Something for the driver to do. At most one read or write is outstanding at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Read the lease object.
    Read,
    /// Write it.
    Write {
        /// Condition.
        if_version: Version,
        /// New body.
        record: Record,
    },
    /// This daemon holds the lease now; read the engines' state back before any order.
    Acquired(Token),
    /// This daemon no longer holds it.
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
    /// When the write that made `version` was first sent, by this daemon's clock.
    sent_at: Instant,
}

/// One daemon's view of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    cfg: Config,
    me: Owner,
    /// Latest observed era; never decreases.
    era: Era,
    /// When the latest era was first observed; none in the first era.
    era_observed_at: Option<Instant>,
    /// Latest version seen, and when it was first seen; of the latest era. Versions never fall.
    observed: Option<(Stored, Instant)>,
    /// Highest token seen, in whatever era; never falls.
    highest_token: Token,
    held: Option<Held>,
    outstanding: Option<Call>,
    /// A write of ours whose effect is not known, and when it was first sent.
    unconfirmed: Option<(Record, Instant)>,
    /// No call before then.
    next_call: Instant,
    releasing: bool,
}

impl Lease {
    /// A daemon that has seen nothing yet.
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
        }
    }

    /// Takes an input. Replies that were not asked for are ignored.
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
        }
    }

    /// Token under which an order may be sent now, if any.
    pub fn fencing_token(&self, now: Instant) -> Option<Token> {
        let held = self.held?;
        let bound = held.sent_at + self.cfg.ttl;
        (now + self.cfg.order_bound < bound && !self.releasing).then_some(held.record.token)
    }

    /// Whether this daemon holds the lease, be it too late for an order or not.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The highest token seen.
    pub fn latest_token(&self) -> Token {
        self.highest_token
    }

    /// Latest observed era.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Who holds the lease, as last seen.
    pub fn owner(&self) -> Option<Owner> {
        self.observed.and_then(|(stored, _)| stored.record.owner)
    }

    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        if self.outstanding.is_some() || now < self.next_call {
            return Vec::new();
        }
        match (self.observed, self.held) {
            (_, Some(held)) if self.releasing => self.write_release(now, held),
            (_, Some(held)) => self.write_renewal(now, held),
            (Some((stored, at)), None) if self.may_acquire(now, stored, at) => {
                self.write_acquisition(now, stored)
            }
            _ => self.read(),
        }
    }

    fn may_acquire(&self, now: Instant, stored: Stored, at: Instant) -> bool {
        let free = stored.record.owner.is_none() && stored.was_written_in_shown_era();
        // A record from before the era tells nothing of who held the lease at its end.
        let since = self.era_observed_at.map_or(at, |era| era.max(at));
        !self.releasing && (free || now.since(since) >= self.cfg.takeover_after())
    }

    /// Takes note of an era. What was seen, written or held in an earlier one counts no longer.
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
        // The same write sent again keeps the time of the first: either may take effect.
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
            // What stands in the way is newer than what was seen, unless the object was removed.
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

    /// Takes note of the object, from whatever source; an older version than seen changes nothing.
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
                // Our write is not to be seen yet: send the same again soon.
                self.next_call = self.next_call.min(now + self.cfg.retry_interval);
            }
            return Vec::new();
        }
        self.observed = Some((stored, now));
        self.highest_token = self.highest_token.max(stored.record.token);
        let ours = stored.record.owner == Some(self.me);
        match (ours, self.unconfirmed.filter(|(r, _)| *r == stored.record)) {
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
        match self.held.take() {
            Some(_) => vec![Action::Resigned],
            None => Vec::new(),
        }
    }
}
