//! Facts about breaks, and the evidence that raises their findings.
//!
//! A fact is about a subject (a request, or a part of prompts) and an incarnation of an upstream. Merging two
//! takes the higher finding and the earlier break, so that it is commutative, associative and idempotent.
//!
//! An incarnation ends once: a break that it outlived was not its end, if there is a later one. Only times of one clock
//! are compared for that, those of a daemon's own runs or of one fact: a message adds the time that it takes to each time
//! that it carries.

mod report;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::Hash;

use super::Config;
use super::Finding;
use crate::id::UpstreamId;
use crate::time::Instant;
use crate::time::Span;

/// Error of the times that daemons report to each other: the time that a message takes.
pub(super) const TIME_ERROR: Span = Span::from_millis(50);

/// What a fact is about.
pub(super) trait Subject: Copy + Eq + Ord + Hash {}

impl<T: Copy + Eq + Ord + Hash> Subject for T {}

/// A fact as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Fact<S> {
    pub(super) subject: S,
    pub(super) upstream: UpstreamId,
    pub(super) finding: Finding,
    /// Time since the break.
    pub(super) age: Span,
    /// Time since the run began that broke off, where it is known.
    pub(super) begun: Option<Span>,
    /// Time since the upstream worked, if a sign of that is known.
    pub(super) alive: Option<Span>,
    /// Whether any daemon knows that a run of the subject survived, at whatever time.
    pub(super) has_survived: bool,
}

impl<S> Fact<S> {
    /// Returns whether the upstream worked after the break.
    fn is_outlived(&self) -> bool {
        self.alive
            .is_some_and(|alive| alive + TIME_ERROR < self.age)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Key<S> {
    pub(super) subject: S,
    pub(super) upstream: UpstreamId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Record {
    pub(super) finding: Finding,
    /// Time of the first break.
    pub(super) at: Instant,
    /// When the run began that broke off then, where it is known.
    pub(super) begun: Option<Instant>,
    /// Whether the upstream is known to have worked after the break.
    is_outlived: bool,
    /// Whether any daemon knows that a run of the subject survived, at whatever time.
    pub(super) has_survived: bool,
    /// When this daemon learned the finding.
    learned: Instant,
}

impl Record {
    /// Returns how long the run lasted; zero if its begin is not known.
    pub(super) fn lasted(&self) -> Span {
        self.begun.map_or(Span::ZERO, |begun| self.at.since(begun))
    }

    /// Returns whether the upstream may have ended with this break.
    fn may_be_end(&self) -> bool {
        self.finding.counts() || self.finding == Finding::Doubtful
    }

    fn is_before(&self, alive: Instant) -> bool {
        self.at + TIME_ERROR < alive
    }
}

/// What is known of the life of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Life {
    /// Last sign of life that this daemon has seen.
    seen_alive: Option<Instant>,
    /// Whether there is a break that the upstream is not known to have outlived.
    has_ended: bool,
}

/// What a fact added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Insertion {
    /// Nothing.
    Known,
    /// Other times.
    Refined,
    /// A new fact or a higher finding.
    Raised,
}

/// Result of merging facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Merged<S> {
    /// Facts that are new or have a higher finding.
    pub(super) raised: Vec<Fact<S>>,
    pub(super) is_changed: bool,
}

/// All facts of one kind of subject that a daemon knows.
#[derive(Clone, Debug)]
pub(super) struct Facts<S> {
    cfg: Config,
    records: HashMap<Key<S>, Record>,
    /// Upstreams in the keys of `records`, by subject; no list is empty.
    upstreams: HashMap<S, Vec<UpstreamId>>,
    /// Subjects in the keys of `records`, by upstream; no list is empty.
    subjects: HashMap<UpstreamId, Vec<S>>,
    /// For the upstreams in the keys of `records`.
    lives: HashMap<UpstreamId, Life>,
    /// Facts whose findings this daemon has raised and not sent yet; at most [`Config::max_facts`].
    news: Vec<Key<S>>,
    /// Position in the order of keys from which [`Facts::report`] continues.
    cursor: Option<Key<S>>,
}

impl<S: Subject> Facts<S> {
    pub(super) fn new(cfg: Config) -> Facts<S> {
        Facts {
            cfg,
            records: HashMap::new(),
            upstreams: HashMap::new(),
            subjects: HashMap::new(),
            lives: HashMap::new(),
            news: Vec::new(),
            cursor: None,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn get(&self, subject: S, upstream: UpstreamId) -> Option<&Record> {
        self.records.get(&Key { subject, upstream })
    }

    /// Returns the subjects with the upstreams where they broke off.
    pub(super) fn by_subject(&self) -> impl Iterator<Item = (S, &[UpstreamId])> {
        self.upstreams.iter().map(|(&s, list)| (s, list.as_slice()))
    }

    /// Returns the subjects that broke off at an upstream.
    pub(super) fn at_upstream(&self, upstream: UpstreamId) -> &[S] {
        self.subjects.get(&upstream).map_or(&[], Vec::as_slice)
    }

    pub(super) fn records_of(&self, subject: S) -> impl Iterator<Item = (UpstreamId, Record)> {
        let upstreams = self.upstreams.get(&subject).into_iter().flatten();
        upstreams.filter_map(move |&upstream| Some((upstream, *self.get(subject, upstream)?)))
    }

    /// Returns the records that count against a subject.
    pub(super) fn counted(&self, subject: S) -> impl Iterator<Item = (UpstreamId, Record)> {
        let records = self.records_of(subject);
        records.filter(|(upstream, record)| self.is_counted(*upstream, record))
    }

    /// Returns whether a break at an upstream counts against a subject.
    pub(super) fn counts(&self, subject: S, upstream: UpstreamId) -> bool {
        let record = self.get(subject, upstream);
        record.is_some_and(|record| self.is_counted(upstream, record))
    }

    fn is_counted(&self, upstream: UpstreamId, record: &Record) -> bool {
        record.finding.counts() && !self.is_before_end(upstream, record)
    }

    /// Returns whether the upstream is known to have worked after a break, and to have ended later.
    pub(super) fn is_before_end(&self, upstream: UpstreamId, record: &Record) -> bool {
        let life = self.lives.get(&upstream);
        record.is_outlived && life.is_some_and(|life| life.has_ended)
    }

    /// Records a sign of life that this daemon has seen.
    fn record_sign(&mut self, upstream: UpstreamId, at: Instant) {
        if let Some(life) = self.lives.get_mut(&upstream) {
            life.seen_alive = life.seen_alive.max(Some(at));
            self.update_life(upstream);
        }
    }

    /// Derives anew which breaks an upstream outlived, and whether it has ended.
    fn update_life(&mut self, upstream: UpstreamId) {
        let Some(subjects) = self.subjects.get(&upstream) else {
            self.lives.remove(&upstream);
            return;
        };
        let seen_alive = self.lives.get(&upstream).and_then(|life| life.seen_alive);
        let mut outlived = Vec::new();
        let mut has_ended = false;
        for &subject in subjects {
            let key = Key { subject, upstream };
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            if !record.is_outlived && seen_alive.is_some_and(|alive| record.is_before(alive)) {
                record.is_outlived = true;
                outlived.push(key);
            }
            has_ended |= record.may_be_end() && !record.is_outlived;
        }
        self.lives.insert(
            upstream,
            Life {
                seen_alive,
                has_ended,
            },
        );
        for key in outlived {
            self.push_news(key);
        }
    }

    /// Merges a fact that this daemon has found itself, and which it will send.
    pub(super) fn record(&mut self, fact: Fact<S>, now: Instant) -> Merged<S> {
        let merged = self.merge_all([fact], now);
        if let Some(alive) = fact.alive {
            self.record_sign(fact.upstream, now - alive);
        }
        if !merged.raised.is_empty() {
            self.push_news(Key {
                subject: fact.subject,
                upstream: fact.upstream,
            });
        }
        merged
    }

    /// Merges facts of another daemon. Those past their retention are ignored.
    pub(super) fn merge_all(
        &mut self,
        facts: impl IntoIterator<Item = Fact<S>>,
        now: Instant,
    ) -> Merged<S> {
        let mut raised: Vec<Fact<S>> = facts.into_iter().collect();
        let mut is_changed = false;
        raised.retain(|&fact| {
            let insertion = self.insert(fact, now);
            is_changed |= insertion != Insertion::Known;
            insertion == Insertion::Raised
        });
        Merged { raised, is_changed }
    }

    fn insert(&mut self, fact: Fact<S>, now: Instant) -> Insertion {
        let is_outlived = fact.is_outlived();
        let Fact {
            subject,
            upstream,
            finding,
            age,
            begun,
            alive: _,
            has_survived,
        } = fact;
        if age >= self.cfg.retention {
            return Insertion::Known;
        }
        let at = now - age;
        let begun = begun.map(|age| now - age);
        let key = Key { subject, upstream };
        let Some(known) = self.records.get_mut(&key) else {
            let record = Record {
                finding,
                at,
                begun,
                is_outlived,
                has_survived,
                learned: now,
            };
            self.records.insert(key, record);
            self.upstreams.entry(subject).or_default().push(upstream);
            self.subjects.entry(upstream).or_default().push(subject);
            self.update_life(upstream);
            return Insertion::Raised;
        };
        let is_raised = known.finding < finding;
        let is_earlier = (at, Reverse(begun)) < (known.at, Reverse(known.begun));
        let is_refined =
            is_earlier || is_outlived & !known.is_outlived || has_survived & !known.has_survived;
        if is_earlier {
            known.at = at;
            known.begun = begun;
        }
        known.is_outlived |= is_outlived;
        known.has_survived |= has_survived;
        if is_raised {
            known.finding = finding;
            known.learned = now;
        }
        if is_raised || is_refined {
            self.update_life(upstream);
        }
        match (is_raised, is_refined) {
            (true, _) => Insertion::Raised,
            (false, true) => Insertion::Refined,
            (false, false) => Insertion::Known,
        }
    }

    fn remove(&mut self, key: Key<S>) {
        self.records.remove(&key);
        remove_from(&mut self.upstreams, key.subject, key.upstream);
        remove_from(&mut self.subjects, key.upstream, key.subject);
        self.update_life(key.upstream);
    }

    fn push_news(&mut self, key: Key<S>) {
        self.news.push(key);
        if self.news.len() > self.cfg.max_facts {
            self.news.sort_unstable();
            self.news.dedup();
            self.news.truncate(self.cfg.max_facts);
        }
    }

    /// Records that an upstream shows no sign of life while others do: breaks at it count from now on.
    /// Returns the subjects whose facts changed, as the functions that follow do.
    pub(super) fn record_silent(&mut self, upstream: UpstreamId, now: Instant) -> Vec<S> {
        self.raise(self.keys_of_upstream(upstream), Finding::Broken, now)
    }

    /// Records that an upstream has answered what was sent at `sent`.
    pub(super) fn record_alive(
        &mut self,
        upstream: UpstreamId,
        sent: Instant,
        now: Instant,
    ) -> Vec<S> {
        let mut keys = self.keys_of_upstream(upstream);
        keys.retain(|key| {
            let is_sent_later = self.records.get(key).is_some_and(|r| r.at < sent);
            is_sent_later && self.age(key, now) < self.cfg.min_restart
        });
        if !keys.is_empty() {
            self.record_sign(upstream, sent);
        }
        self.raise(keys, Finding::Alive, now)
    }

    /// Records that an incarnation is gone.
    pub(super) fn record_ended(&mut self, upstream: UpstreamId, now: Instant) -> Vec<S> {
        let mut keys = self.keys_of_upstream(upstream);
        keys.retain(|key| {
            let record = self.records.get(key);
            let is_alive = record.is_some_and(|r| r.finding == Finding::Alive);
            !is_alive || self.age(key, now) < self.cfg.decision_period
        });
        self.raise(keys, Finding::Ended, now)
    }

    /// Records that an incarnation is still registered.
    pub(super) fn record_registered(&mut self, upstream: UpstreamId, now: Instant) -> Vec<S> {
        let mut keys = self.keys_of_upstream(upstream);
        keys.retain(|key| self.age(key, now) >= self.cfg.decision_period);
        self.raise(keys, Finding::Alive, now)
    }

    /// Records that a run of a subject survived at some time, for the other daemons.
    pub(super) fn set_survived(&mut self, subject: S) {
        let upstreams = self.upstreams.get(&subject).into_iter().flatten();
        let keys: Vec<Key<S>> = upstreams
            .map(|&upstream| Key { subject, upstream })
            .collect();
        for key in keys {
            if let Some(record) = self.records.get_mut(&key).filter(|r| !r.has_survived) {
                record.has_survived = true;
                self.push_news(key);
            }
        }
    }

    /// Clears the breaks of a subject that happened before `begun`; returns whether there were any.
    pub(super) fn clear(&mut self, subject: S, begun: Instant, now: Instant) -> bool {
        let records = self.records_of(subject).filter(|(_, r)| r.at < begun);
        let keys = records.map(|(upstream, _)| Key { subject, upstream });
        let keys = keys.collect();
        !self.raise(keys, Finding::Cleared, now).is_empty()
    }

    /// Returns the upstreams of breaks that nothing has decided within [`Config::decision_period`].
    pub(super) fn undecided(&self, now: Instant) -> impl Iterator<Item = UpstreamId> {
        let records = self.records.iter().filter(move |(_, r)| {
            r.finding < Finding::Alive && now.since(r.at) >= self.cfg.decision_period
        });
        records.map(|(key, _)| key.upstream)
    }

    fn keys_of_upstream(&self, upstream: UpstreamId) -> Vec<Key<S>> {
        let subjects = self.at_upstream(upstream).iter();
        subjects.map(|&subject| Key { subject, upstream }).collect()
    }

    /// Returns the time since a break; zero if it is not known.
    fn age(&self, key: &Key<S>, now: Instant) -> Span {
        self.records
            .get(key)
            .map_or(Span::ZERO, |r| now.since(r.at))
    }

    /// Raises the findings of these facts that are below `finding`; returns the subjects whose facts changed.
    fn raise(&mut self, keys: Vec<Key<S>>, finding: Finding, now: Instant) -> Vec<S> {
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
            self.update_life(key.upstream);
            self.push_news(key);
            changed.push(key.subject);
        }
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Drops facts past their retention; returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let is_over = |r: &Record| now.since(r.at) >= self.cfg.retention;
        let over = self.records.iter().filter(|(_, r)| is_over(r));
        let over: Vec<Key<S>> = over.map(|(&key, _)| key).collect();
        for &key in &over {
            self.remove(key);
        }
        !over.is_empty()
    }

    /// Keeps the facts within their bound. Those that don't count go first, then those of subjects that
    /// are not refused, the oldest of each first.
    pub(super) fn evict(&mut self, is_refused: impl Fn(S) -> bool) {
        while self.records.len() > self.cfg.max_facts {
            let rank = |key: &Key<S>, r: &Record| {
                (r.finding.counts(), is_refused(key.subject), r.at, *key)
            };
            let first = self.records.iter().min_by_key(|(key, r)| rank(key, r));
            let Some((&first, _)) = first else { return };
            self.remove(first);
        }
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
