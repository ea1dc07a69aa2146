//! Facts for other daemons: what this one has raised, and what a digest carries.

use std::cmp::Reverse;

use super::Fact;
use super::Facts;
use super::Finding;
use super::Key;
use super::Record;
use super::Subject;
use super::TIME_ERROR;
use crate::time::Instant;
use crate::time::Span;

/// Smallest difference of two times.
const MIN_SPAN: Span = Span::from_millis(1);

impl<S: Subject> Facts<S> {
    /// Returns whether there are facts to send.
    pub(in crate::crash_ledger) fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns at most `max` of the facts to send: those of refused subjects first, then those of
    /// subjects with many. The others stay for the next call.
    pub(in crate::crash_ledger) fn take_news(
        &mut self,
        max: usize,
        is_refused: impl Fn(S) -> bool,
        now: Instant,
    ) -> Vec<Fact<S>> {
        let mut news = std::mem::take(&mut self.news);
        news.sort_unstable();
        news.dedup();
        let is_sent = |key: &Key<S>| {
            let record = self.records.get(key);
            record.is_some_and(|r| r.finding != Finding::Silent)
        };
        news.retain(is_sent);
        let facts = |s: S| self.upstreams.get(&s).map_or(0, Vec::len);
        news.sort_by_key(|key| {
            let is_refused = is_refused(key.subject);
            (!is_refused, Reverse(facts(key.subject)))
        });
        let rest = news.split_off(max.min(news.len()));
        self.news = rest;
        news.into_iter()
            .filter_map(|key| self.fact(key, now))
            .collect()
    }

    /// Returns the facts of a subject that daemons report, by upstream.
    pub(in crate::crash_ledger) fn facts_of(&self, subject: S, now: Instant) -> Vec<Fact<S>> {
        let facts = self.records_of(subject);
        let facts = facts.filter(|(_, r)| r.finding != Finding::Silent);
        let keys = facts.map(|(upstream, _)| Key { subject, upstream });
        let mut facts: Vec<Fact<S>> = keys.filter_map(|key| self.fact(key, now)).collect();
        facts.sort_unstable_by_key(|fact| fact.upstream);
        facts
    }

    /// Returns at most `max` facts for a peer: first those that changed within `recent`, newest first,
    /// in at most half of the places, then the crashes of the `refused` subjects in turn over successive calls.
    /// Only subjects with at least `min_facts` facts are reported.
    pub(in crate::crash_ledger) fn report(
        &mut self,
        max: usize,
        min_facts: usize,
        recent: Span,
        refused: impl Iterator<Item = S>,
        now: Instant,
    ) -> Vec<Fact<S>> {
        let is_recent = |r: &Record| r.finding != Finding::Silent && now.since(r.learned) < recent;
        let has_enough =
            |key: &Key<S>| min_facts <= 1 || self.facts_of(key.subject, now).len() >= min_facts;
        let changed = self.records.iter();
        let changed = changed.filter(|(key, r)| is_recent(r) && has_enough(key));
        let mut changed: Vec<(Instant, Key<S>)> =
            changed.map(|(&key, r)| (r.learned, key)).collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.truncate(max.div_ceil(2));
        let mut keys: Vec<Key<S>> = changed.into_iter().map(|(_, key)| key).collect();
        keys.extend(self.next_refusing(max - keys.len(), &keys, refused));
        keys.into_iter()
            .filter_map(|key| self.fact(key, now))
            .collect()
    }

    /// Returns up to `max` crashes of refused subjects after those of the last call, without `excluded`.
    fn next_refusing(
        &mut self,
        max: usize,
        excluded: &[Key<S>],
        refused: impl Iterator<Item = S>,
    ) -> Vec<Key<S>> {
        let crashes = refused.flat_map(|subject| {
            let upstreams = self.counted(subject).map(|(upstream, _)| upstream);
            upstreams.map(move |upstream| Key { subject, upstream })
        });
        let mut keys: Vec<Key<S>> = crashes.collect();
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

    /// Returns all facts, by subject and upstream.
    pub(in crate::crash_ledger) fn all(&self, now: Instant) -> Vec<Fact<S>> {
        let mut keys: Vec<Key<S>> = self.records.keys().copied().collect();
        keys.sort_unstable();
        keys.into_iter()
            .filter_map(|key| self.fact(key, now))
            .collect()
    }

    fn fact(&self, key: Key<S>, now: Instant) -> Option<Fact<S>> {
        let record = self.records.get(&key)?;
        let age = now.since(record.at);
        // Any sign later than the break says it.
        let outlived = record
            .is_outlived
            .then(|| record.at + TIME_ERROR + MIN_SPAN);
        Some(Fact {
            subject: key.subject,
            upstream: key.upstream,
            finding: record.finding,
            age,
            begun: record.begun.map(|begun| now.since(begun)),
            alive: outlived.map(|sign| now.since(sign)),
            has_survived: record.has_survived,
        })
    }
}
