//! Requests that crash the upstreams that run them.
//!
//! Such a request comes again with the same team, path and body, at any daemon. Attempts that end
//! with the upstream's death count against its fingerprint, here and at all peers; from
//! [`MIN_CRASHES_TO_REFUSE`] on it is refused. An innocent request that died with an upstream is
//! answered on its next attempt, which clears it.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Crashes after which a request is refused. Two may be bad luck in a bad hour; a third request with
/// the same bytes that dies the same way is not.
pub const MIN_CRASHES_TO_REFUSE: u32 = 3;
/// How long a fingerprint is remembered.
const RETENTION: Duration = Duration::from_secs(120);
/// Fingerprints remembered at most; beyond it the oldest go.
const MAX_RECORDS: usize = 4_096;

/// Hash of team, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    last: Instant,
}

/// Fingerprints under suspicion.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    records: HashMap<Fingerprint, Record>,
}

impl CrashTracker {
    /// Whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|r| {
            r.crashes >= MIN_CRASHES_TO_REFUSE && now.duration_since(r.last) < RETENTION
        })
    }

    /// Counts an attempt that ended with its upstream's death; returns how many there were.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Instant) -> u32 {
        let crashes = self.records.get(&fingerprint).map_or(0, |r| r.crashes) + 1;
        self.insert(fingerprint, crashes, now);
        crashes
    }

    /// Clears a request that was answered.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Takes a peer's count over where it is higher.
    pub fn learn(&mut self, fingerprint: Fingerprint, crashes: u32, now: Instant) {
        let local = self.records.get(&fingerprint).map_or(0, |r| r.crashes);
        if crashes > local {
            self.insert(fingerprint, crashes, now);
        }
    }

    /// All counts, for peers: at most `max`, the highest first.
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
