//! The prefix cache of an engine, and the events it publishes late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use kelpworks_wire::CacheEvent;
use kelpworks_wire::CacheEventKind;
use kelpworks_wire::CacheEvents;

/// Events kept; older ones are a gap to whoever asks.
const EVENT_LIMIT: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    model: String,
    prefix: String,
}

#[derive(Debug)]
struct Published {
    at: Instant,
    event: CacheEvent,
}

/// Cached prompt prefixes, the least recently used first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: usize,
    delay: Duration,
    entries: VecDeque<Entry>,
    events: VecDeque<Published>,
    next: u64,
}

impl PrefixCache {
    pub(crate) fn new(limit: usize, delay: Duration) -> PrefixCache {
        PrefixCache {
            limit,
            delay,
            entries: VecDeque::new(),
            events: VecDeque::new(),
            next: 0,
        }
    }

    /// Uses a prefix; true when it was cached. `lost` tells whether an event gets lost.
    pub(crate) fn touch(&mut self, model: &str, prefix: &str, lost: impl Fn() -> bool) -> bool {
        if prefix.is_empty() || self.limit == 0 {
            return false;
        }
        let entry = Entry {
            model: model.to_owned(),
            prefix: prefix.to_owned(),
        };
        let at = self.entries.iter().position(|e| *e == entry);
        if let Some(at) = at {
            self.entries.remove(at);
        }
        if at.is_none() {
            self.publish(CacheEventKind::Stored, &entry, &lost);
        }
        self.entries.push_back(entry);
        if self.entries.len() > self.limit
            && let Some(oldest) = self.entries.pop_front()
        {
            self.publish(CacheEventKind::Evicted, &oldest, &lost);
        }
        at.is_some()
    }

    fn publish(&mut self, kind: CacheEventKind, entry: &Entry, lost: impl Fn() -> bool) {
        let event = CacheEvent {
            sequence: self.next,
            kind,
            model: entry.model.clone(),
            prefix: entry.prefix.clone(),
        };
        self.next += 1;
        if lost() {
            return;
        }
        let at = Instant::now() + self.delay;
        self.events.push_back(Published { at, event });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// The events from this sequence number on that show by now.
    pub(crate) fn events(&self, from: u64, incarnation: u64) -> CacheEvents {
        let now = Instant::now();
        let shown = self.events.iter().take_while(|p| p.at <= now);
        let events: Vec<CacheEvent> = shown
            .map(|p| p.event.clone())
            .filter(|e| e.sequence >= from)
            .collect();
        let next = events.last().map_or(from, |e| e.sequence + 1);
        CacheEvents {
            incarnation,
            next,
            events,
        }
    }

    /// Forgets everything, as a restart does.
    pub(crate) fn clear(&mut self) {
        *self = PrefixCache::new(self.limit, self.delay);
    }
}
