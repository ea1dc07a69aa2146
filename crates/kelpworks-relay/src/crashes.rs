//! Requests that crash the upstreams that run them.
//!
//! Such a request arrives again with the same team, path and body, at any daemon. Attempts that
//! end with the upstream's crash count against its fingerprint, here and at all peers; from
//! [`MIN_CRASHES_TO_REFUSE`] on it is refused. A harmless request that was on a crashed upstream
//! is answered on its next attempt, which clears its count.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

/// Crashes after which a request is refused. Two may be a coincidence while much fails; a third
/// crash with the same bytes is not.
pub const MIN_CRASHES_TO_REFUSE: u32 = 3;
/// Time for which a fingerprint is remembered after its last crash.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of fingerprints; beyond it the oldest is evicted.
const MAX_RECORDS: usize = 4_096;

/// Hash of team, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    last: Instant,
}

/// Crash counts of requests, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    records: HashMap<Fingerprint, Record>,
}

impl CrashTracker {
    /// Returns whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|r| {
            r.crashes >= MIN_CRASHES_TO_REFUSE && now.duration_since(r.last) < RETENTION
        })
    }

    /// Returns the number of crashes that are known of a request.
    pub fn count(&self, fingerprint: Fingerprint) -> u32 {
        self.records.get(&fingerprint).map_or(0, |r| r.crashes)
    }

    /// Counts an attempt that ended with the crash of its upstream; returns the new count.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Instant) -> u32 {
        let crashes = self.records.get(&fingerprint).map_or(0, |r| r.crashes) + 1;
        self.insert(fingerprint, crashes, now);
        crashes
    }

    /// Clears the count of a request that was answered.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Removes the counts that last rose at `since` or later, as the attempts ended with a loss of
    /// this daemon's own links.
    pub fn forget_since(&mut self, since: Instant) {
        self.records.retain(|_, r| r.last < since);
    }

    /// Adopts a peer's count if it is higher.
    pub fn learn(&mut self, fingerprint: Fingerprint, crashes: u32, now: Instant) {
        let local = self.records.get(&fingerprint).map_or(0, |r| r.crashes);
        if crashes > local {
            self.insert(fingerprint, crashes, now);
        }
    }

    /// Returns at most `max` counts for peers, highest first.
    pub fn top_counts(&self, max: usize) -> Vec<(Fingerprint, u32)> {
        let mut top_counts: Vec<(Fingerprint, u32)> =
            self.records.iter().map(|(&f, r)| (f, r.crashes)).collect();
        top_counts.sort_by_key(|&(f, n)| (std::cmp::Reverse(n), f.0));
        top_counts.truncate(max);
        top_counts
    }

    fn insert(&mut self, fingerprint: Fingerprint, crashes: u32, now: Instant) {
        self.records
            .insert(fingerprint, Record { crashes, last: now });
        self.records
            .retain(|_, r| now.duration_since(r.last) < RETENTION);
        if self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.last);
            if let Some(f) = oldest.map(|(&f, _)| f) {
                self.records.remove(&f);
            }
        }
    }
}
