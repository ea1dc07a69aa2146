//! What a session's path counts for while it lasts.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::fleet::Counters;
use crate::fleet::Fleet;
use crate::routing::Hop;

/// Counts a session on each upstream of its path, until dropped.
///
/// A session sends steps for as long as it lasts, but has none under way at most of them at any
/// moment. So steps in flight tell little of the load to come, above all when many sessions start
/// together: each would find the same upstreams idle.
#[derive(Debug)]
pub struct PathGuard {
    counters: Vec<Arc<Counters>>,
}

impl PathGuard {
    /// Counts a session on the upstreams of these hops. Hops that the snapshot no longer has are
    /// left out.
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
