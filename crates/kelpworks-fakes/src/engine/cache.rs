//! The prefix cache of an engine and its event log.
//!
//! Events become visible after a delay. Lost events leave gaps in the sequence numbers.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use kelpworks_wire::CacheEvent;
use kelpworks_wire::CacheEventKind;
use kelpworks_wire::CacheEvents;

/// Events retained; to a reader that asks for older ones they are a gap.
const MAX_EVENTS: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    model: String,
    prefix: String,
}

#[derive(Debug)]
struct DelayedEvent {
    visible_at: Instant,
    event: CacheEvent,
}

/// Cached prompt prefixes in LRU order, the least recently used first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    max_entries: usize,
    delay: Duration,
    entries: VecDeque<Entry>,
    events: VecDeque<DelayedEvent>,
    next_sequence: u64,
}

impl PrefixCache {
    pub(crate) fn new(max_entries: usize, delay: Duration) -> PrefixCache {
        PrefixCache {
            max_entries,
            delay,
            entries: VecDeque::new(),
            events: VecDeque::new(),
            next_sequence: 0,
        }
    }

    /// Marks a prefix as used, inserting it if absent. Returns true when it was cached.
    ///
    /// `is_lost` is called for each event and returns whether to drop it.
    pub(crate) fn touch(&mut self, model: &str, prefix: &str, is_lost: impl Fn() -> bool) -> bool {
        if prefix.is_empty() || self.max_entries == 0 {
            return false;
        }
        let entry = Entry {
            model: model.to_owned(),
            prefix: prefix.to_owned(),
        };
        let cached_at = self.entries.iter().position(|e| *e == entry);
        if let Some(index) = cached_at {
            self.entries.remove(index);
        }
        if cached_at.is_none() {
            self.publish(CacheEventKind::Stored, &entry, &is_lost);
        }
        self.entries.push_back(entry);
        if self.entries.len() > self.max_entries
            && let Some(oldest) = self.entries.pop_front()
        {
            self.publish(CacheEventKind::Evicted, &oldest, &is_lost);
        }
        cached_at.is_some()
    }

    fn publish(&mut self, kind: CacheEventKind, entry: &Entry, is_lost: impl Fn() -> bool) {
        let event = CacheEvent {
            sequence: self.next_sequence,
            kind,
            model: entry.model.clone(),
            prefix: entry.prefix.clone(),
        };
        self.next_sequence += 1;
        if is_lost() {
            return;
        }
        let visible_at = Instant::now() + self.delay;
        self.events.push_back(DelayedEvent { visible_at, event });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events with sequence number `from` or above.
    pub(crate) fn events(&self, from: u64, incarnation: u64) -> CacheEvents {
        let now = Instant::now();
        let visible = self.events.iter().take_while(|d| d.visible_at <= now);
        let events: Vec<CacheEvent> = visible
            .map(|d| d.event.clone())
            .filter(|e| e.sequence >= from)
            .collect();
        let next = events.last().map_or(from, |e| e.sequence + 1);
        CacheEvents {
            incarnation,
            next,
            events,
        }
    }

    /// Removes all entries and events and restarts sequence numbers at 0, as a crash does.
    pub(crate) fn clear(&mut self) {
        *self = PrefixCache::new(self.max_entries, self.delay);
    }
}
