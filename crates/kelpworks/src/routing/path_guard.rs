//! Session counts of the upstreams on the path of a session.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::fleet::Counters;
use crate::fleet::Fleet;
use crate::routing::Hop;

/// Counts a session on each upstream of its path until dropped.
///
/// A session sends steps for its whole duration, but at any moment it has no step in flight on most
/// of its upstreams. Steps in flight are therefore a poor estimate of future load, in particular
/// when many sessions start at the same time: each would see the same upstreams idle.
#[derive(Debug)]
pub struct PathGuard {
    counters: Vec<Arc<Counters>>,
}

impl PathGuard {
    /// Counts a session on the upstreams of these hops. Upstreams that are not in the snapshot are
    /// skipped.
    pub fn new(fleet: &Fleet, hops: &[Hop]) -> PathGuard {
        let upstreams = hops.iter().filter_map(|h| fleet.upstreams.get(h.upstream));
        let counters: Vec<Arc<Counters>> = upstreams.map(|u| Arc::clone(&u.counters)).collect();
        for counters in &counters {
            counters.sessions.fetch_add(1, Ordering::Relaxed);
        }
        PathGuard { counters }
    }
}

impl Drop for PathGuard {
    fn drop(&mut self) {
        for counters in &self.counters {
            counters.sessions.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
