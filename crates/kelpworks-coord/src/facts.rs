//! Infrequent facts about upstreams and requests, gossiped among daemons as versioned deltas.
//!
//! A fact has one author, the daemon that observed it; only that daemon changes or clears it. The
//! author's newest version wins, so merging is commutative, associative and idempotent, and facts
//! may arrive in any order, more than once, and through other daemons. Every fact expires.
//!
//! ```
//! use kelpworks_coord::facts::*;
//! use kelpworks_coord::id::*;
//! use kelpworks_coord::time::*;
//!
//! let now = Instant::ZERO;
//! let mut a = Facts::new(Config::default(), NodeId(1), Incarnation(1));
//! let mut b = Facts::new(Config::default(), NodeId(2), Incarnation(1));
//! a.set(now, Kind::Leaving, 77, Span::from_secs(60));
//! for fact in a.take_delta(now, 1_000, 7) {
//!     b.merge(now, fact);
//! }
//! assert_eq!(b.author_count(now, Kind::Leaving, 77), 1);
//! assert_eq!(b.author_count(now + Span::from_secs(60), Kind::Leaving, 77), 0);
//! ```
//!
//! Times to live are relative because daemons share no clock: the time that a fact spends in
//! transit extends its lifetime. A peer that missed all transmissions of a fact gets it by
//! [`Facts::snapshot`], which drivers send when two [`Facts::digest`]s stay different.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::id::Incarnation;
use crate::id::NodeId;
use crate::time::Instant;
use crate::time::Span;

/// Limits of a [`Facts`] store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Most facts that are kept; above it the one that expires first is dropped. Default 4,096.
    pub max_facts: usize,
    /// Longest time to live of a fact; longer ones are cut to it. Default 1 h.
    pub max_ttl: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_facts: 4_096,
            max_ttl: Span::from_secs(3_600),
        }
    }
}

/// What a fact states about its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The upstream is leaving and takes no new work.
    Leaving,
    /// The upstream is down.
    Down,
    /// The upstream is quarantined.
    Quarantine,
    /// An upstream died while it ran the request of this fingerprint.
    Suspect,
    /// The request of this fingerprint is refused.
    Poison,
}

/// Identity of a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Daemon that observed it.
    pub author: NodeId,
    /// What it states.
    pub kind: Kind,
    /// An upstream's identifier, or a request's fingerprint.
    pub subject: u64,
}

/// Version of a fact. Versions of a later run of the author are newer than all earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Incarnation of the author.
    pub incarnation: Incarnation,
    /// Increases with each change that the author makes to any of its facts.
    pub sequence: u64,
}

/// A fact as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fact {
    /// Author, kind and subject.
    pub key: Key,
    /// Version; of two facts with one key, the one with the higher stamp wins.
    pub stamp: Stamp,
    /// False when the author cleared the fact.
    pub holds: bool,
    /// Additional value, by kind: for [`Kind::Suspect`] the upstream that died, else 0.
    pub detail: u64,
    /// Remaining time to live.
    pub ttl: Span,
}

/// Largest size of a [`Fact`] as JSON, in bytes, for byte budgets.
pub const FACT_BYTES: usize = 240;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StoredFact {
    stamp: Stamp,
    holds: bool,
    detail: u64,
    expires: Instant,
    /// Number of messages that it still goes with; `u32::MAX` until first sent.
    sends_left: u32,
}

struct Statement {
    holds: bool,
    detail: u64,
    ttl: Span,
}

/// The facts that one daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Facts {
    cfg: Config,
    me: NodeId,
    incarnation: Incarnation,
    /// Sequence of the last change by this daemon.
    sequence: u64,
    /// At most [`Config::max_facts`].
    facts: BTreeMap<Key, StoredFact>,
}

impl Facts {
    /// Creates an empty store. `incarnation` must be above that of this daemon's earlier runs.
    pub fn new(cfg: Config, me: NodeId, incarnation: Incarnation) -> Facts {
        Facts {
            cfg,
            me,
            incarnation,
            sequence: 0,
            facts: BTreeMap::new(),
        }
    }

    /// States a fact that this daemon observed, or renews it.
    pub fn set(&mut self, now: Instant, kind: Kind, subject: u64, ttl: Span) {
        self.set_detail(now, kind, subject, 0, ttl);
    }

    /// Like [`Facts::set`], with [`Fact::detail`].
    pub fn set_detail(&mut self, now: Instant, kind: Kind, subject: u64, detail: u64, ttl: Span) {
        self.write(
            now,
            kind,
            subject,
            Statement {
                holds: true,
                detail,
                ttl,
            },
        );
    }

    /// Clears a fact that this daemon stated. The same fact by other authors is not affected.
    pub fn clear(&mut self, now: Instant, kind: Kind, subject: u64) {
        let key = Key {
            author: self.me,
            kind,
            subject,
        };
        if self.facts.get(&key).is_some_and(|h| h.holds) {
            // The tombstone must outlive every copy of the fact that it clears.
            let statement = Statement {
                holds: false,
                detail: 0,
                ttl: self.cfg.max_ttl,
            };
            self.write(now, kind, subject, statement);
        }
    }

    fn write(&mut self, now: Instant, kind: Kind, subject: u64, statement: Statement) {
        self.sequence += 1;
        let key = Key {
            author: self.me,
            kind,
            subject,
        };
        let stamp = Stamp {
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        let Statement { holds, detail, ttl } = statement;
        self.merge(
            now,
            Fact {
                key,
                stamp,
                holds,
                detail,
                ttl,
            },
        );
    }

    /// Merges a fact; returns true when it was new or newer than the known version.
    pub fn merge(&mut self, now: Instant, fact: Fact) -> bool {
        let expires = now + fact.ttl.min(self.cfg.max_ttl);
        if let Some(old) = self.facts.get_mut(&fact.key) {
            if old.stamp == fact.stamp {
                old.expires = old.expires.min(expires);
            }
            if old.stamp >= fact.stamp {
                return false;
            }
        }
        if fact.ttl == Span::ZERO {
            return false;
        }
        let Fact {
            stamp,
            holds,
            detail,
            ..
        } = fact;
        self.facts.insert(
            fact.key,
            StoredFact {
                stamp,
                holds,
                detail,
                expires,
                sends_left: u32::MAX,
            },
        );
        self.shrink(now);
        true
    }

    fn shrink(&mut self, now: Instant) {
        self.facts.retain(|_, h| h.expires > now);
        while self.facts.len() > self.cfg.max_facts {
            let first = self
                .facts
                .iter()
                .min_by_key(|(_, h)| h.expires)
                .map(|(&k, _)| k);
            let Some(first) = first else { return };
            self.facts.remove(&first);
        }
    }

    /// Returns facts to piggyback on the next message, up to `max_bytes`; those sent least often
    /// come first.
    ///
    /// Each fact goes with a number of messages that grows with the logarithm of `members`.
    pub fn take_delta(&mut self, now: Instant, max_bytes: usize, members: usize) -> Vec<Fact> {
        self.shrink(now);
        let max_sends = 3 * (members as u32 + 2).ilog2();
        let mut pending: Vec<(Key, u32)> = self
            .facts
            .iter()
            .map(|(&key, h)| (key, h.sends_left.min(max_sends)))
            .filter(|&(_, sends_left)| sends_left > 0)
            .collect();
        pending.sort_by_key(|&(key, sends_left)| (std::cmp::Reverse(sends_left), key));
        pending.truncate(max_bytes / FACT_BYTES);
        for &(key, sends_left) in &pending {
            if let Some(stored) = self.facts.get_mut(&key) {
                stored.sends_left = sends_left - 1;
            }
        }
        pending
            .iter()
            .filter_map(|&(key, _)| self.fact(now, key))
            .collect()
    }

    /// Returns all facts that have not expired, including cleared ones.
    pub fn snapshot(&self, now: Instant) -> Vec<Fact> {
        self.facts
            .keys()
            .filter_map(|&key| self.fact(now, key))
            .collect()
    }

    fn fact(&self, now: Instant, key: Key) -> Option<Fact> {
        let &StoredFact {
            stamp,
            holds,
            detail,
            expires,
            ..
        } = self.facts.get(&key)?;
        let ttl = expires.since(now);
        (ttl > Span::ZERO).then_some(Fact {
            key,
            stamp,
            holds,
            detail,
            ttl,
        })
    }

    /// Returns a hash of keys and versions; equal on daemons that know the same facts.
    pub fn digest(&self, now: Instant) -> u64 {
        let mut hasher = Xxh3::new();
        for (key, stored) in self.facts.iter().filter(|(_, h)| h.expires > now) {
            hasher.update(&key.author.0.to_le_bytes());
            hasher.update(&[key.kind as u8]);
            hasher.update(&key.subject.to_le_bytes());
            hasher.update(&stored.stamp.incarnation.0.to_le_bytes());
            hasher.update(&stored.stamp.sequence.to_le_bytes());
        }
        hasher.digest()
    }

    /// Returns the number of daemons whose fact of this kind about the subject holds now.
    pub fn author_count(&self, now: Instant, kind: Kind, subject: u64) -> usize {
        self.active(now, kind)
            .filter(|f| f.key.subject == subject)
            .count()
    }

    /// Returns the facts of a kind that hold now, without cleared ones.
    pub fn active(&self, now: Instant, kind: Kind) -> impl Iterator<Item = Fact> + '_ {
        self.facts
            .iter()
            .filter(move |(key, h)| key.kind == kind && h.holds)
            .filter_map(move |(&key, _)| self.fact(now, key))
    }
}
