//! Ledger of crashes: which requests ended the upstreams that ran them, as all daemons know it.
//!
//! A [`Crash`] is a fact about one request and one incarnation of an upstream: an attempt of the request
//! broke off there. Such a break is not yet a crash. Evidence raises the [`Finding`] of the fact, and
//! daemons merge facts by the higher finding. The ledger is therefore a set that only grows until
//! facts expire: merging is commutative, associative and idempotent, a crash that two daemons report
//! counts once, and two crashes at one moment count twice.
//!
//! A request is refused once [`Config::min_crashes`] different incarnations ended under it, unless
//! another request accounts for all of these crashes: requests that ran beside a poisonous one share its
//! crashes. Such suspects run in turns, each in a time slot of its own on an upstream, until one of them completes or
//! has a crash that it doesn't share. Daemons that know the same facts agree on the slots, which
//! count from the last of the crashes.
//!
//! ```
//! use kelpworks_coord::crash_ledger::*;
//! use kelpworks_coord::id::UpstreamId;
//! use kelpworks_coord::poison::Fingerprint;
//! use kelpworks_coord::time::Instant;
//!
//! let now = Instant::ZERO;
//! let poison = Fingerprint(1);
//! let mut ledger = CrashLedger::new(Config::default());
//! for upstream in 0..3 {
//!     assert_eq!(ledger.refusal(poison, now), None);
//!     ledger.record(poison, UpstreamId(upstream), Finding::Broken, now);
//! }
//! assert_eq!(ledger.refusal(poison, now), Some(Refusal::Unsettled));
//!
//! // One of the upstreams answers a later request at once, so it had not crashed.
//! let later = Instant::from_millis(100);
//! ledger.record_alive(UpstreamId(0), later, later);
//! assert_eq!(ledger.refusal(poison, now), None);
//! ```
//!
//! Limits: a request that ends an upstream at some runs only is cleared by the runs that complete. Two
//! requests of which one runs for longer than a slot may go on sharing crashes; both are refused at
//! [`Config::max_shared_crashes`].

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;

use serde::Deserialize;
use serde::Serialize;

use crate::id::UpstreamId;
use crate::poison::Fingerprint;
use crate::time::Instant;
use crate::time::Span;

/// Limits of a [`CrashLedger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Crashes after which a request is refused. Default 3: two may be a coincidence while much fails.
    pub min_crashes: usize,
    /// Crashes after which a request is refused even if another one accounts for all of them. Default 5.
    pub max_shared_crashes: usize,
    /// Time slot in which one of several suspects may run. It begins to run in the first half. Default
    /// 300 ms.
    pub turn: Span,
    /// How long a request is refused after the crash that made it refused; each further crash
    /// doubles it. Default 2 min.
    pub refusal: Span,
    /// How long a fact is kept, and so the longest refusal. Default 1 h.
    pub retention: Span,
    /// Time within which an upstream that ended does not answer again as another process at the same
    /// address. Default 2 s.
    pub min_restart: Span,
    /// Time within which the registration of an upstream that ended is removed or replaced: a removal
    /// later than that shows no crash if the address accepted connections meanwhile. Default 10 s.
    pub decision_period: Span,
    /// Most facts that are kept. Default 4,096.
    pub max_facts: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            min_crashes: 3,
            max_shared_crashes: 5,
            turn: Span::from_millis(300),
            refusal: Span::from_secs(120),
            retention: Span::from_secs(3_600),
            min_restart: Span::from_secs(2),
            decision_period: Span::from_secs(10),
            max_facts: 4_096,
        }
    }
}

/// What is known about a break, in the order in which evidence raises it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// An attempt was abandoned without an answer. Does not count, and is not reported.
    Silent,
    /// An attempt broke off, perhaps because the daemon lost its own links. Does not count.
    Doubtful,
    /// An attempt broke off while the daemon reached other upstreams. Counts.
    Broken,
    /// The upstream answered or accepted a connection too soon for a restart. Does not count.
    Alive,
    /// The incarnation is gone, or another one has its address. Counts.
    Ended,
    /// A later run of the request completed. Does not count.
    Cleared,
}

impl Finding {
    /// All findings, in their order.
    pub const ALL: [Finding; 6] = [
        Finding::Silent,
        Finding::Doubtful,
        Finding::Broken,
        Finding::Alive,
        Finding::Ended,
        Finding::Cleared,
    ];

    /// Returns whether the fact counts as a crash.
    pub fn counts(self) -> bool {
        matches!(self, Finding::Broken | Finding::Ended)
    }

    /// Returns the name for logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Finding::Silent => "silent",
            Finding::Doubtful => "doubtful",
            Finding::Broken => "broken",
            Finding::Alive => "alive",
            Finding::Ended => "ended",
            Finding::Cleared => "cleared",
        }
    }
}

/// A fact as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// Request that broke off.
    pub fingerprint: Fingerprint,
    /// Incarnation of the upstream that ran it.
    pub upstream: UpstreamId,
    /// What is known about the break.
    pub finding: Finding,
    /// Time since the break.
    pub age: Span,
}

/// Why a request may not run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It crashes upstreams, which are known to have ended.
    Settled,
    /// It probably crashes upstreams; evidence of the next seconds decides.
    Unsettled,
    /// It is one of several suspects, and its turn begins after this time.
    WaitsForTurn(Span),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Key {
    fingerprint: Fingerprint,
    upstream: UpstreamId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Record {
    finding: Finding,
    /// Time of the break.
    at: Instant,
    /// When this daemon learned the finding.
    learned: Instant,
}

/// What a fact added to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Insertion {
    /// Nothing.
    Known,
    /// An earlier time of the break.
    Earlier,
    /// A new fact or a higher finding.
    Raised,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RefusalPeriod {
    until: Instant,
    is_settled: bool,
}

/// The facts that one daemon knows, and the requests that it refuses because of them.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    cfg: Config,
    /// At most [`Config::max_facts`].
    records: HashMap<Key, Record>,
    /// Upstreams in the keys of `records`, by request; no list is empty.
    upstreams: HashMap<Fingerprint, Vec<UpstreamId>>,
    /// Requests in the keys of `records`, by upstream; no list is empty.
    requests: HashMap<UpstreamId, Vec<Fingerprint>>,
    /// Derived from `records`.
    refused: HashMap<Fingerprint, RefusalPeriod>,
    /// Requests with at least one crash that would be refused if their doubtful breaks counted, and until
    /// when those may be decided. Derived from `records`.
    held: HashMap<Fingerprint, Instant>,
    /// Requests that would be refused if no others accounted for their crashes. Derived from `records`.
    suspects: HashSet<Fingerprint>,
    /// Requests that have a time slot, in its order: the suspects, and those that were cleared or are
    /// refused, so that the slots of the others stay where they are. Derived from `records`.
    turns: Vec<Fingerprint>,
    /// Last crash of any suspect, from which the slots count.
    turns_from: Instant,
    /// Facts whose findings this daemon has raised since [`CrashLedger::take_news`].
    news: Vec<Key>,
    /// Position in the order of keys from which [`CrashLedger::report`] continues.
    cursor: Option<Key>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(cfg: Config) -> CrashLedger {
        CrashLedger {
            cfg,
            records: HashMap::new(),
            upstreams: HashMap::new(),
            requests: HashMap::new(),
            refused: HashMap::new(),
            held: HashMap::new(),
            suspects: HashSet::new(),
            turns: Vec::new(),
            turns_from: Instant::ZERO,
            news: Vec::new(),
            cursor: None,
        }
    }

    /// Returns whether no fact is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of facts.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns why a request may not run now; `None` if it may, which for a suspect is in its turn.
    pub fn refusal(&self, fingerprint: Fingerprint, now: Instant) -> Option<Refusal> {
        self.refusal_in_lanes(fingerprint, 1, now)
    }

    /// Like [`CrashLedger::refusal`], for a suspect that runs only on the upstream of its lane: as many
    /// suspects run at a time as there are lanes.
    pub fn refusal_in_lanes(
        &self,
        fingerprint: Fingerprint,
        lanes: usize,
        now: Instant,
    ) -> Option<Refusal> {
        if let Some(period) = self.refused.get(&fingerprint).filter(|p| now < p.until) {
            return Some(match period.is_settled {
                true => Refusal::Settled,
                false => Refusal::Unsettled,
            });
        }
        if self
            .held
            .get(&fingerprint)
            .is_some_and(|&until| now < until)
        {
            return Some(Refusal::Unsettled);
        }
        if !self.suspects.contains(&fingerprint) {
            return None;
        }
        let rank = self.turns.binary_search(&fingerprint).ok()?;
        let wait = self.time_to_turn(rank, lanes.max(1), now);
        (wait > Span::ZERO).then_some(Refusal::WaitsForTurn(wait))
    }

    /// Returns which of `lanes` lanes a request has; `None` unless it is a suspect.
    pub fn lane(&self, fingerprint: Fingerprint, lanes: usize) -> Option<usize> {
        if !self.suspects.contains(&fingerprint) {
            return None;
        }
        let rank = self.turns.binary_search(&fingerprint).ok()?;
        rank.checked_rem(lanes)
    }

    /// Returns whether there are suspects, which run in turns.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns the time until the suspect of this rank may begin to run; zero in its turn.
    fn time_to_turn(&self, rank: usize, lanes: usize, now: Instant) -> Span {
        let turn = self.cfg.turn.as_millis().max(1);
        let round = turn * self.turns.len().div_ceil(lanes) as u64;
        let begin = turn * (rank / lanes) as u64;
        let in_round = now.since(self.turns_from).as_millis() % round;
        match in_round {
            at if at < begin => Span::from_millis(begin - at),
            at if at < begin + turn / 2 => Span::ZERO,
            at => Span::from_millis(begin + round - at),
        }
    }

    /// Returns the number of requests that are refused now.
    pub fn refused_count(&self, now: Instant) -> usize {
        self.refused.values().filter(|p| now < p.until).count()
    }

    /// Returns the number of crashes that count against a request.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        self.counted(fingerprint).count()
    }

    /// Returns the finding about a request at an upstream.
    pub fn finding(&self, fingerprint: Fingerprint, upstream: UpstreamId) -> Option<Finding> {
        let key = Key {
            fingerprint,
            upstream,
        };
        self.records.get(&key).map(|r| r.finding)
    }

    /// Records that an attempt broke off; returns whether that raised what is known.
    pub fn record(
        &mut self,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        finding: Finding,
        now: Instant,
    ) -> bool {
        let crash = Crash {
            fingerprint,
            upstream,
            finding,
            age: Span::ZERO,
        };
        let is_raised = self.merge(crash, now);
        if is_raised {
            self.push_news(Key {
                fingerprint,
                upstream,
            });
        }
        is_raised
    }

    /// Merges a fact of another daemon; returns whether it raised what is known. A fact past its
    /// retention is ignored.
    pub fn merge(&mut self, crash: Crash, now: Instant) -> bool {
        !self.merge_all([crash], now).is_empty()
    }

    /// Merges facts of another daemon; returns those that raised what is known.
    pub fn merge_all(
        &mut self,
        crashes: impl IntoIterator<Item = Crash>,
        now: Instant,
    ) -> Vec<Crash> {
        let mut raised: Vec<Crash> = crashes.into_iter().collect();
        let mut is_changed = false;
        raised.retain(|&crash| {
            let insertion = self.insert(crash, now);
            is_changed |= insertion != Insertion::Known;
            insertion == Insertion::Raised
        });
        if is_changed {
            self.evict(now);
            self.refresh(now);
        }
        raised
    }

    fn insert(&mut self, crash: Crash, now: Instant) -> Insertion {
        let Crash {
            fingerprint,
            upstream,
            finding,
            age,
        } = crash;
        if age >= self.cfg.retention {
            return Insertion::Known;
        }
        let at = Instant::from_millis(now.as_millis().saturating_sub(age.as_millis()));
        let key = Key {
            fingerprint,
            upstream,
        };
        if let Some(known) = self.records.get_mut(&key) {
            let is_earlier = at < known.at;
            known.at = known.at.min(at);
            if known.finding >= finding {
                return match is_earlier {
                    true => Insertion::Earlier,
                    false => Insertion::Known,
                };
            }
            known.finding = finding;
            known.learned = now;
        } else {
            let record = Record {
                finding,
                at,
                learned: now,
            };
            self.records.insert(key, record);
            self.upstreams
                .entry(fingerprint)
                .or_default()
                .push(upstream);
            self.requests.entry(upstream).or_default().push(fingerprint);
        }
        Insertion::Raised
    }

    fn remove(&mut self, key: Key) {
        self.records.remove(&key);
        remove_from(&mut self.upstreams, key.fingerprint, key.upstream);
        remove_from(&mut self.requests, key.upstream, key.fingerprint);
    }

    fn push_news(&mut self, key: Key) {
        self.news.push(key);
        if self.news.len() > self.cfg.max_facts {
            self.news.sort_unstable();
            self.news.dedup();
            self.news.truncate(self.cfg.max_facts);
        }
    }

    /// Records that an upstream shows no sign of life while others do: breaks at it count from now on.
    /// Returns the requests whose facts changed.
    pub fn record_silent(&mut self, upstream: UpstreamId, now: Instant) -> Vec<Fingerprint> {
        self.raise(self.keys_of_upstream(upstream), Finding::Broken, now)
    }

    /// Records that an upstream has answered a request, or accepted a connection, that was sent at
    /// `sent`. Breaks after that are not affected, nor those that are older than
    /// [`Config::min_restart`], as another process may have answered. Returns the requests whose facts
    /// changed.
    pub fn record_alive(
        &mut self,
        upstream: UpstreamId,
        sent: Instant,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let mut keys = self.keys_of_upstream(upstream);
        keys.retain(|key| {
            let is_sent_later = self.records.get(key).is_some_and(|r| r.at < sent);
            is_sent_later && self.age(key, now) < self.cfg.min_restart
        });
        self.raise(keys, Finding::Alive, now)
    }

    /// Records that an incarnation is gone. Returns the requests whose facts changed.
    pub fn record_ended(&mut self, upstream: UpstreamId, now: Instant) -> Vec<Fingerprint> {
        let mut keys = self.keys_of_upstream(upstream);
        keys.retain(|key| {
            let record = self.records.get(key);
            let is_alive = record.is_some_and(|r| r.finding == Finding::Alive);
            !is_alive || self.age(key, now) < self.cfg.decision_period
        });
        self.raise(keys, Finding::Ended, now)
    }

    /// Returns the upstreams of breaks that nothing has decided within [`Config::decision_period`].
    pub fn undecided(&self, now: Instant) -> Vec<UpstreamId> {
        let is_undecided =
            |r: &Record| r.finding < Finding::Alive && now.since(r.at) >= self.cfg.decision_period;
        let undecided = self.records.iter().filter(|(_, r)| is_undecided(r));
        let mut upstreams: Vec<UpstreamId> = undecided.map(|(key, _)| key.upstream).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams
    }

    /// Records that an incarnation is still registered, which shows that it is alive if its breaks are
    /// older than [`Config::decision_period`]. Returns the requests whose facts changed.
    pub fn record_registered(&mut self, upstream: UpstreamId, now: Instant) -> Vec<Fingerprint> {
        let mut keys = self.keys_of_upstream(upstream);
        keys.retain(|key| self.age(key, now) >= self.cfg.decision_period);
        self.raise(keys, Finding::Alive, now)
    }

    /// Clears the facts of a request that completed; returns whether there were any to clear.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let upstreams = self.upstreams.get(&fingerprint).into_iter().flatten();
        let keys = upstreams.map(|&upstream| Key {
            fingerprint,
            upstream,
        });
        let keys = keys.collect();
        !self.raise(keys, Finding::Cleared, now).is_empty()
    }

    fn keys_of_upstream(&self, upstream: UpstreamId) -> Vec<Key> {
        let requests = self.requests.get(&upstream).into_iter().flatten();
        let keys = requests.map(|&fingerprint| Key {
            fingerprint,
            upstream,
        });
        keys.collect()
    }

    /// Returns the time since a break; zero if it is not known.
    fn age(&self, key: &Key, now: Instant) -> Span {
        self.records
            .get(key)
            .map_or(Span::ZERO, |r| now.since(r.at))
    }

    /// Raises the findings of these facts that are below `finding`; returns the requests whose
    /// facts changed.
    fn raise(&mut self, keys: Vec<Key>, finding: Finding, now: Instant) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for key in keys {
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            if record.finding >= finding {
                continue;
            }
            record.finding = finding;
            record.learned = now;
            self.push_news(key);
            changed.push(key.fingerprint);
        }
        if !changed.is_empty() {
            changed.sort_unstable();
            changed.dedup();
            self.refresh(now);
        }
        changed
    }

    /// Drops facts past their retention.
    pub fn expire(&mut self, now: Instant) {
        let is_over = |r: &Record| now.since(r.at) >= self.cfg.retention;
        let over = self.records.iter().filter(|(_, r)| is_over(r));
        let over: Vec<Key> = over.map(|(&key, _)| key).collect();
        for &key in &over {
            self.remove(key);
        }
        if !over.is_empty() {
            self.refresh(now);
        }
    }

    /// Returns at most `max` of the facts that this daemon has raised since the last call, those first
    /// that refuse a request, and forgets the others: they go with [`CrashLedger::report`].
    pub fn take_news(&mut self, max: usize, now: Instant) -> Vec<Crash> {
        let mut news = std::mem::take(&mut self.news);
        news.sort_unstable();
        news.dedup();
        news.sort_by_key(|key| !self.refused.contains_key(&key.fingerprint));
        let news = news.into_iter().filter_map(|key| self.crash(key, now));
        let news = news.filter(|crash| crash.finding != Finding::Silent);
        news.take(max).collect()
    }

    /// Returns the facts of a request that daemons report, by upstream.
    pub fn facts_of(&self, fingerprint: Fingerprint, now: Instant) -> Vec<Crash> {
        let facts = self.records_of(fingerprint);
        let facts = facts.filter(|(_, r)| r.finding != Finding::Silent);
        let mut facts: Vec<Crash> = facts
            .map(|(upstream, record)| Crash {
                fingerprint,
                upstream,
                finding: record.finding,
                age: now.since(record.at),
            })
            .collect();
        facts.sort_unstable_by_key(|crash| crash.upstream);
        facts
    }

    /// Returns at most `max` facts for a peer: first those that changed within `recent`, newest first,
    /// in at most half of the places, then the crashes of refused requests in turn over
    /// successive calls, so that a peer that knows nothing learns of each of these requests. Only
    /// requests with at least `min_facts` facts are reported.
    pub fn report(
        &mut self,
        max: usize,
        min_facts: usize,
        recent: Span,
        now: Instant,
    ) -> Vec<Crash> {
        if self.records.is_empty() {
            return Vec::new();
        }
        let is_recent = |r: &Record| r.finding != Finding::Silent && now.since(r.learned) < recent;
        let has_enough =
            |key: &Key| min_facts <= 1 || self.facts_of(key.fingerprint, now).len() >= min_facts;
        let changed = self.records.iter();
        let changed = changed.filter(|(key, r)| is_recent(r) && has_enough(key));
        let mut changed: Vec<(Instant, Key)> = changed.map(|(&key, r)| (r.learned, key)).collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.truncate(max.div_ceil(2));
        let mut keys: Vec<Key> = changed.into_iter().map(|(_, key)| key).collect();
        keys.extend(self.next_refusing(max - keys.len(), &keys, now));
        keys.into_iter()
            .filter_map(|key| self.crash(key, now))
            .collect()
    }

    /// Returns up to `max` crashes of refused requests after those of the last call, without `excluded`.
    fn next_refusing(&mut self, max: usize, excluded: &[Key], now: Instant) -> Vec<Key> {
        let refused = self.refused.iter().filter(|(_, p)| now < p.until);
        let crashes = refused.flat_map(|(&fingerprint, _)| {
            let upstreams = self.counted(fingerprint).map(|(upstream, _)| upstream);
            upstreams.map(move |upstream| Key {
                fingerprint,
                upstream,
            })
        });
        let mut keys: Vec<Key> = crashes.collect();
        keys.sort_unstable();
        let start = match self.cursor {
            Some(cursor) => keys.partition_point(|&key| key <= cursor),
            None => 0,
        };
        keys.rotate_left(start);
        keys.retain(|key| !excluded.contains(key));
        keys.truncate(max);
        self.cursor = keys.last().copied().or(self.cursor);
        keys
    }

    /// Returns all facts, by request and upstream.
    pub fn facts(&self, now: Instant) -> Vec<Crash> {
        let mut keys: Vec<Key> = self.records.keys().copied().collect();
        keys.sort_unstable();
        keys.into_iter()
            .filter_map(|key| self.crash(key, now))
            .collect()
    }

    /// Returns the requests that are refused now, with the number of their crashes, most first.
    pub fn refused(&self, max: usize, now: Instant) -> Vec<(Fingerprint, usize)> {
        let refused = self.refused.iter().filter(|(_, p)| now < p.until);
        let mut refused: Vec<(Fingerprint, usize)> =
            refused.map(|(&f, _)| (f, self.count(f))).collect();
        refused.sort_unstable_by_key(|&(f, n)| (std::cmp::Reverse(n), f));
        refused.truncate(max);
        refused
    }

    fn crash(&self, key: Key, now: Instant) -> Option<Crash> {
        let record = self.records.get(&key)?;
        Some(Crash {
            fingerprint: key.fingerprint,
            upstream: key.upstream,
            finding: record.finding,
            age: now.since(record.at),
        })
    }

    /// Returns the crashes that count against a request.
    fn counted(&self, fingerprint: Fingerprint) -> impl Iterator<Item = (UpstreamId, Record)> {
        self.records_of(fingerprint)
            .filter(|(_, r)| r.finding.counts())
    }

    fn records_of(&self, fingerprint: Fingerprint) -> impl Iterator<Item = (UpstreamId, Record)> {
        let upstreams = self.upstreams.get(&fingerprint).into_iter().flatten();
        upstreams.filter_map(move |&upstream| {
            let key = Key {
                fingerprint,
                upstream,
            };
            Some((upstream, *self.records.get(&key)?))
        })
    }

    /// Returns whether a crash of an upstream counts against a request.
    fn counts(&self, fingerprint: Fingerprint, upstream: UpstreamId) -> bool {
        let key = Key {
            fingerprint,
            upstream,
        };
        self.records.get(&key).is_some_and(|r| r.finding.counts())
    }

    /// Returns whether another request accounts for all of these crashes of a request.
    fn is_shared(&self, fingerprint: Fingerprint, crashes: &[(UpstreamId, Record)]) -> bool {
        let Some(((first, _), others)) = crashes.split_first() else {
            return false;
        };
        let beside = self.requests.get(first).into_iter().flatten();
        let mut beside = beside.filter(|&&f| f != fingerprint && self.counts(f, *first));
        beside.any(|&f| others.iter().all(|&(u, _)| self.counts(f, u)))
    }

    /// Keeps the facts within their bound. Those that don't count go first, then those of requests that
    /// are not refused, the oldest of each first.
    fn evict(&mut self, now: Instant) {
        if self.records.len() <= self.cfg.max_facts {
            return;
        }
        self.expire(now);
        while self.records.len() > self.cfg.max_facts {
            let rank = |key: &Key, r: &Record| {
                let is_refused = self.refused.contains_key(&key.fingerprint);
                (r.finding.counts(), is_refused, r.at, *key)
            };
            let first = self.records.iter().min_by_key(|(key, r)| rank(key, r));
            let Some((&first, _)) = first else { return };
            self.remove(first);
        }
    }

    /// Derives which requests are refused.
    fn refresh(&mut self, now: Instant) {
        self.refused.clear();
        self.held.clear();
        self.suspects.clear();
        let candidates = self.upstreams.iter();
        let candidates = candidates.filter(|(_, u)| u.len() >= self.cfg.min_crashes);
        let candidates: Vec<Fingerprint> = candidates.map(|(&f, _)| f).collect();
        for fingerprint in candidates {
            let crashes: Vec<(UpstreamId, Record)> = self.counted(fingerprint).collect();
            if let Some(until) = self.end_of_doubt(fingerprint, crashes.len()) {
                self.held.insert(fingerprint, until);
            }
            let Some(period) = self.period(&crashes).filter(|p| now < p.until) else {
                continue;
            };
            let may_be_innocent = crashes.len() < self.cfg.max_shared_crashes;
            if may_be_innocent && self.is_shared(fingerprint, &crashes) {
                self.suspects.insert(fingerprint);
            } else {
                self.refused.insert(fingerprint, period);
            }
        }
        self.assign_turns(now);
    }

    /// Returns until when the doubtful breaks of a request may be decided, if there are so many that it would
    /// be refused with them. One crash that counts shows that not all are due to lost links.
    fn end_of_doubt(&self, fingerprint: Fingerprint, crashes: usize) -> Option<Instant> {
        let doubtful = self.records_of(fingerprint);
        let doubtful = doubtful.filter(|(_, r)| r.finding == Finding::Doubtful);
        let doubtful: Vec<Instant> = doubtful.map(|(_, r)| r.at).collect();
        let is_held = crashes > 0 && crashes + doubtful.len() >= self.cfg.min_crashes;
        let last = doubtful.into_iter().max().filter(|_| is_held)?;
        Some(last + self.cfg.min_restart)
    }

    /// Assigns time slots while there are suspects.
    fn assign_turns(&mut self, now: Instant) {
        self.turns.clear();
        let crashes = self.suspects.iter().flat_map(|&f| self.counted(f));
        let Some(last) = crashes.map(|(_, r)| r.at).max() else {
            return;
        };
        self.turns_from = last;
        let is_recent = |key: &Key| {
            let record = self.records.get(key);
            record.is_some_and(|r| {
                let has_run = r.finding.counts() || r.finding == Finding::Cleared;
                has_run && now.since(r.at) < self.cfg.refusal
            })
        };
        let has_turn = |fingerprint: Fingerprint, upstreams: &[UpstreamId]| {
            let keys = upstreams.iter().map(|&upstream| Key {
                fingerprint,
                upstream,
            });
            let recent = keys.filter(is_recent).count();
            recent >= self.cfg.min_crashes || self.suspects.contains(&fingerprint)
        };
        let requests = self.upstreams.iter();
        let turns = requests.filter(|(f, upstreams)| has_turn(**f, upstreams));
        let mut turns: Vec<Fingerprint> = turns.map(|(&f, _)| f).collect();
        turns.sort_unstable();
        self.turns = turns;
    }

    /// Returns how long a request with these crashes is refused; `None` if they are too few.
    fn period(&self, crashes: &[(UpstreamId, Record)]) -> Option<RefusalPeriod> {
        let further = crashes.len().checked_sub(self.cfg.min_crashes)?;
        let last = crashes.iter().map(|(_, r)| r.at).max()?;
        let factor = 1u64.checked_shl(further as u32).unwrap_or(u64::MAX);
        let length = self.cfg.refusal.times(factor).min(self.cfg.retention);
        let ended = crashes.iter().filter(|(_, r)| r.finding == Finding::Ended);
        Some(RefusalPeriod {
            until: last + length,
            is_settled: ended.count() >= self.cfg.min_crashes,
        })
    }
}

fn remove_from<K, V>(lists: &mut HashMap<K, Vec<V>>, key: K, value: V)
where
    K: Eq + Hash,
    V: PartialEq,
{
    let Some(list) = lists.get_mut(&key) else {
        return;
    };
    list.retain(|v| *v != value);
    if list.is_empty() {
        lists.remove(&key);
    }
}
