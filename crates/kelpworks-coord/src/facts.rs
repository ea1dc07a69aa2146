//! Rare facts about upstreams and requests, spread among daemons as versioned deltas.
//!
//! A fact has one author, the daemon that observed it; only that daemon changes or clears it. The
//! newest of an author's versions wins, so merging is commutative, associative and idempotent, and
//! facts may travel in any order, twice, or by way of others. Every fact expires.
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
//! Times to live are relative, since clocks are not shared: the time that a fact spends on the way
//! is added to its life. A fact that a peer missed in all its transmissions arrives by
//! [`Facts::snapshot`], which a driver sends when two [`Facts::digest`]s differ for long.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::id::Incarnation;
use crate::id::NodeId;
use crate::time::Instant;
use crate::time::Span;

/// Bounds of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Facts held at most; beyond it the one that expires first is dropped. Default 4,096.
    pub max_facts: usize,
    /// Longest life of a fact, whatever its author says. Default 1 h.
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

/// What a fact says of its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The upstream is leaving: no new work.
    Leaving,
    /// The upstream is down.
    Down,
    /// The upstream is kept out of use.
    Quarantine,
    /// An upstream died while it ran the request of this fingerprint.
    Suspect,
    /// The request of this fingerprint is refused.
    Poison,
}

/// What identifies a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// The daemon that observed it.
    pub author: NodeId,
    /// What it says.
    pub kind: Kind,
    /// An upstream's identifier, or a request's fingerprint.
    pub subject: u64,
}

/// Version of a fact; a restarted author's are all newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Of the author.
    pub incarnation: Incarnation,
    /// Rises with each change that the author makes to any fact.
    pub sequence: u64,
}

/// A fact on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fact {
    /// Its identity.
    pub key: Key,
    /// Its version.
    pub stamp: Stamp,
    /// False when it was cleared.
    pub holds: bool,
    /// More about it, by kind; for [`Kind::Suspect`] the upstream that died, else 0.
    pub detail: u64,
    /// Time it has left.
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
    /// Messages that it still goes with.
    sends_left: u32,
}

struct Statement {
    holds: bool,
    detail: u64,
    ttl: Span,
}

/// The facts that one daemon holds.
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
    /// An empty store. `incarnation` must be above that of this daemon's earlier runs.
    pub fn new(cfg: Config, me: NodeId, incarnation: Incarnation) -> Facts {
        Facts {
            cfg,
            me,
            incarnation,
            sequence: 0,
            facts: BTreeMap::new(),
        }
    }

    /// States a fact of this daemon's own observation, or renews it.
    pub fn set(&mut self, now: Instant, kind: Kind, subject: u64, ttl: Span) {
        self.set_detail(now, kind, subject, 0, ttl);
    }

    /// As [`Facts::set`], with more about it.
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

    /// Clears a fact that this daemon stated; of others' it says nothing.
    pub fn clear(&mut self, now: Instant, kind: Kind, subject: u64) {
        let key = Key {
            author: self.me,
            kind,
            subject,
        };
        if self.facts.get(&key).is_some_and(|h| h.holds) {
            // The clearing must live as long as any copy of what it clears.
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

    /// Takes a fact in; true when it was news.
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

    /// Facts to go with the next message, within a size in bytes; newest news first.
    ///
    /// Each goes with a number of messages that grows with the logarithm of the members' number.
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

    /// All facts.
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

    /// Hash over keys and versions; equal on daemons that hold the same facts.
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

    /// Number of daemons that state this of the subject now.
    pub fn author_count(&self, now: Instant, kind: Kind, subject: u64) -> usize {
        self.active(now, kind)
            .filter(|f| f.key.subject == subject)
            .count()
    }

    /// Facts of a kind that hold now.
    pub fn active(&self, now: Instant, kind: Kind) -> impl Iterator<Item = Fact> + '_ {
        self.facts
            .iter()
            .filter(move |(key, h)| key.kind == kind && h.holds)
            .filter_map(move |(&key, _)| self.fact(now, key))
    }
}
