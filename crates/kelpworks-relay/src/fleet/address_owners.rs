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
//! An answer concerns the entries that were known when its request was sent. A peer's report of one
//! may be read late, and has no exact time here: it concerns no entry of an upstream that started
//! after the one that answered. Start times come from the upstreams themselves.
//!
//! The other entries have no effect until an answer from the address names one of them. No request
//! goes there on their account, so [`owner_checks`](crate::owner_checks) asks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::StartTime;
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

/// A peer's report of an address owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerReport {
    /// The address and its owner.
    pub owner: AddressOwner,
    /// Start time of the owner, where the peer knows it.
    pub start: Option<StartTime>,
    /// Random number of the answer, the same in all reports of it; `None` in those of older builds.
    pub answer: Option<u64>,
}

/// When an id was first and last registered, and the latest start time that it was registered with.
#[derive(Clone, Copy, Debug)]
struct Seen {
    first: Instant,
    last: Instant,
    start: Option<StartTime>,
}

/// What is known of the owner of an address.
#[derive(Clone, Debug)]
struct Known {
    report: OwnerReport,
    /// When the latest request was sent that this owner answered, by this daemon's clock.
    at: Instant,
    /// When the latest request of this daemon itself was sent that this owner answered.
    own: Option<Instant>,
}

/// Reports of address owners, and when each id was registered.
#[derive(Clone, Debug, Default)]
pub(super) struct AddressOwners {
    seen: HashMap<Arc<str>, Seen>,
    reports: HashMap<SocketAddr, Known>,
    /// Earliest time at which each answer may have been asked for, by its number. A report becomes younger with each
    /// delay on its way, so that its copies would otherwise take turns with those of another one.
    answers: HashMap<u64, Instant>,
}

impl AddressOwners {
    /// Records the ids that are registered now, and drops ids and reports past their retention.
    pub(super) fn on_registrations(&mut self, entries: &[UpstreamEntry], now: Instant) {
        for entry in entries {
            let seen = self.seen.entry(Arc::clone(&entry.id)).or_insert(Seen {
                first: now,
                last: now,
                start: None,
            });
            seen.last = now;
            seen.start = seen.start.max(entry.start);
        }
        self.seen
            .retain(|_, s| now.duration_since(s.last) < RETENTION);
        self.answers
            .retain(|_, at| now.duration_since(*at) < RETENTION);
        let is_claimed = |a: &SocketAddr| entries.iter().any(|e| e.address == *a);
        self.reports
            .retain(|a, w| is_claimed(a) || now.duration_since(w.at) < RETENTION);
    }

    /// Applies an answer to a request of this daemon that was sent at `sent`; returns whether other entries may own the
    /// address now.
    pub(super) fn learn(&mut self, owner: AddressOwner, sent: Instant) -> bool {
        let previous = self.reports.get(&owner.address);
        if previous.is_some_and(|known| sent <= known.at) {
            return false;
        }
        let answer = rand::random();
        self.answers.insert(answer, sent);
        let report = OwnerReport {
            owner,
            start: None,
            answer: Some(answer),
        };
        self.insert(report, sent, Some(sent))
    }

    /// Applies a peer's report of an answer to a request that was sent at `at`; returns whether other entries may own
    /// the address now.
    ///
    /// A copy of a report counts from the same time as that, so that a report which goes from daemon to daemon doesn't
    /// renew itself. One that names an upstream which started before the known owner has no effect.
    pub(super) fn learn_report(&mut self, report: OwnerReport, at: Instant) -> bool {
        let at = match report.answer {
            Some(answer) => self.earliest(answer, at),
            None => at,
        };
        let mut own = None;
        if let Some(known) = self.reports.get(&report.owner.address) {
            let starts = (self.start_of(&report), self.start_of(&known.report));
            let is_earlier = matches!(starts, (Some(new), Some(old)) if new < old);
            if is_earlier || at <= known.at {
                return false;
            }
            own = known.own.filter(|_| known.report.owner == report.owner);
        }
        self.insert(report, at, own)
    }

    /// Returns the earliest time at which an answer may have been asked for, now that it is reported for `at`.
    fn earliest(&mut self, answer: u64, at: Instant) -> Instant {
        let earliest = self.answers.entry(answer).or_insert(at);
        *earliest = at.min(*earliest);
        *earliest
    }

    /// Replaces what is known of an address; returns whether other entries may own it now.
    fn insert(&mut self, report: OwnerReport, at: Instant, own: Option<Instant>) -> bool {
        let owner = report.owner.clone();
        let new = Known { report, at, own };
        let previous = self.reports.insert(owner.address, new);
        previous
            .is_none_or(|known| known.report.owner != owner || known.own.is_some() != own.is_some())
    }

    /// Returns the start time of the owner that a report names, as reported or else as registered.
    fn start_of(&self, report: &OwnerReport) -> Option<StartTime> {
        let seen = self.seen.get(&report.owner.id);
        report.start.max(seen.and_then(|s| s.start))
    }

    /// Returns at most `max` reports that are sent to peers with their age, newest first.
    pub(super) fn recent(&self, max: usize, now: Instant) -> Vec<(OwnerReport, Duration)> {
        let with_age = |known: &Known| {
            let report = OwnerReport {
                start: self.start_of(&known.report),
                ..known.report.clone()
            };
            (report, now.duration_since(known.at))
        };
        let mut recent: Vec<(OwnerReport, Duration)> =
            self.reports.values().map(with_age).collect();
        recent.retain(|(_, age)| *age < REPORT_TTL);
        recent.sort_by_key(|(report, age)| (*age, report.owner.address));
        recent.truncate(max);
        recent
    }

    /// Returns when the known report of an address was made; `None` without one.
    pub(super) fn reported_at(&self, address: SocketAddr) -> Option<Instant> {
        self.reports.get(&address).map(|known| known.at)
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

    /// Returns whether another upstream owns an entry's address: it answered there after the entry's id was first
    /// seen, and, if only a peer knows of that, did not start before the entry's upstream.
    fn is_disowned(&self, entry: &UpstreamEntry) -> bool {
        let Some(known) = self.reports.get(&entry.address) else {
            return false;
        };
        if known.report.owner.id == entry.id {
            return false;
        }
        let first = self.seen.get(&entry.id).map(|s| s.first);
        let is_known_at = |at: Instant| first.is_none_or(|first| first <= at);
        let starts = (self.start_of(&known.report), entry.start);
        let has_started_later = matches!(starts, (Some(owner), Some(own)) if owner < own);
        known.own.is_some_and(is_known_at) || is_known_at(known.at) && !has_started_later
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
