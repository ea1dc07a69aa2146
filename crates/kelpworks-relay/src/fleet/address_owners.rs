//! Determines which of several registrations owns an address.
//!
//! An address belongs to one upstream at a time, but entries of its earlier owners may claim it
//! too: the store removes entries late, and an upstream that was cut off while it restarted comes
//! back under two entries. The current owner refuses requests meant for an earlier one, and a path
//! that names both is refused as a whole. So one claim takes effect, by the first of these
//! criteria that tells them apart:
//!
//! 1. the answer of the upstream at the address, which names its id;
//! 2. the later start time, where both entries have one;
//! 3. the id that this daemon first saw later. An id that reappears after it was removed counts as
//!    the older one.
//!
//! The other entries have no effect until an answer from the address names one of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::UpstreamEntry;

/// Time for which an id is remembered after its entry has disappeared. Entries that expired during
/// an outage of the store reappear within two seconds of its return; outages last some ten
/// seconds.
const RETENTION: Duration = Duration::from_secs(60);
/// Time for which a report of an address owner is sent to peers: several gossip exchanges.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// The owner of an address, from an answer that came from there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressOwner {
    /// The claimed address.
    pub address: SocketAddr,
    /// Id of the upstream that answered.
    pub id: Arc<str>,
}

/// When an id was first and last registered.
#[derive(Clone, Copy, Debug)]
struct Seen {
    first: Instant,
    last: Instant,
}

#[derive(Clone, Debug)]
struct OwnerReport {
    id: Arc<str>,
    at: Instant,
}

/// Reports of address owners, and when each id was registered.
#[derive(Clone, Debug, Default)]
pub(super) struct AddressOwners {
    seen: HashMap<Arc<str>, Seen>,
    reports: HashMap<SocketAddr, OwnerReport>,
}

impl AddressOwners {
    /// Records the ids that are registered now, and drops ids and reports past their retention.
    pub(super) fn on_registrations(&mut self, entries: &[UpstreamEntry], now: Instant) {
        for entry in entries {
            let seen = self.seen.entry(Arc::clone(&entry.id));
            seen.or_insert(Seen {
                first: now,
                last: now,
            })
            .last = now;
        }
        self.seen
            .retain(|_, s| now.duration_since(s.last) < RETENTION);
        let is_claimed = |a: &SocketAddr| entries.iter().any(|e| e.address == *a);
        self.reports
            .retain(|a, w| is_claimed(a) || now.duration_since(w.at) < RETENTION);
    }

    /// Applies a report made at `at`; returns whether it names another owner than before.
    pub(super) fn learn(&mut self, owner: AddressOwner, at: Instant) -> bool {
        let AddressOwner { address, id } = owner;
        let previous = self.reports.get(&address);
        if previous.is_some_and(|w| w.at >= at) {
            return false;
        }
        let is_new = previous.is_none_or(|w| w.id != id);
        self.reports.insert(address, OwnerReport { id, at });
        is_new
    }

    /// Returns at most `max` reports that are sent to peers with their age, newest first.
    pub(super) fn recent(&self, max: usize, now: Instant) -> Vec<(AddressOwner, Duration)> {
        let owner = |(&address, w): (&SocketAddr, &OwnerReport)| {
            let id = Arc::clone(&w.id);
            (AddressOwner { address, id }, now.duration_since(w.at))
        };
        let mut recent: Vec<(AddressOwner, Duration)> = self.reports.iter().map(owner).collect();
        recent.retain(|(_, age)| *age < REPORT_TTL);
        recent.sort_by_key(|(owner, age)| (*age, owner.address));
        recent.truncate(max);
        recent
    }

    /// Returns those of `entries` that own their addresses.
    pub(super) fn owning_entries(&self, entries: Vec<UpstreamEntry>) -> Vec<UpstreamEntry> {
        let mut claims: HashMap<SocketAddr, usize> = HashMap::with_capacity(entries.len());
        for (i, entry) in entries.iter().enumerate() {
            if self.is_disowned(entry) {
                continue;
            }
            let owner = claims.entry(entry.address).or_insert(i);
            if self.is_later(entry, &entries[*owner]) {
                *owner = i;
            }
        }
        let owns = |(i, e): &(usize, UpstreamEntry)| claims.get(&e.address) == Some(i);
        let owning_entries = entries.into_iter().enumerate().filter(owns);
        owning_entries.map(|(_, e)| e).collect()
    }

    /// Returns whether the upstream at an entry's address has answered with another id since the
    /// entry's id was first seen.
    fn is_disowned(&self, entry: &UpstreamEntry) -> bool {
        let first = self.seen.get(&entry.id).map(|s| s.first);
        let report = self.reports.get(&entry.address);
        report.is_some_and(|w| w.id != entry.id && first.is_none_or(|first| first <= w.at))
    }

    /// Returns whether an entry prevails over another: by start time, else by when its id was
    /// first seen.
    fn is_later(&self, entry: &UpstreamEntry, than: &UpstreamEntry) -> bool {
        let first = |e: &UpstreamEntry| self.seen.get(&e.id).map(|s| s.first);
        match (entry.start, than.start) {
            (Some(a), Some(b)) if a != b => a > b,
            _ => (first(entry), &entry.id) > (first(than), &than.id),
        }
    }
}
