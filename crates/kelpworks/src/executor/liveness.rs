//! Determines which hosts placement may use. Does no I/O.
//!
//! Routing avoids an unresponsive host within a second or two. Placement waits longer, because
//! moving layers occupies the weight store for minutes and most unresponsive hosts come back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::Health;

/// Tracks the health of hosts, and how long they have been down.
#[derive(Clone, Debug, Default)]
pub(super) struct Liveness {
    hosts: HashMap<Arc<str>, HostStatus>,
}

#[derive(Clone, Copy, Debug)]
struct HostStatus {
    health: Health,
    /// Start of the current downtime; `None` while the host is not down.
    down_since: Option<Instant>,
    /// Whether the host has been observed in any health but down.
    answered: bool,
}

impl Liveness {
    /// Records the health of the hosts in a fleet snapshot; hosts that it no longer contains are
    /// removed.
    pub(super) fn observe(&mut self, fleet: &Fleet, now: Instant) {
        let old = std::mem::take(&mut self.hosts);
        for upstream in fleet.upstreams.values() {
            let previous = old.get(&upstream.name);
            let down = upstream.health == Health::Down;
            let since = previous.and_then(|b| b.down_since).unwrap_or(now);
            let status = HostStatus {
                health: upstream.health,
                down_since: down.then_some(since),
                answered: !down || previous.is_some_and(|b| b.answered),
            };
            self.hosts.insert(Arc::clone(&upstream.name), status);
        }
    }

    /// Returns whether layers may be placed on a host: it is neither leaving nor has been down for
    /// `lost_after`.
    pub(super) fn is_live(&self, name: &str, lost_after: Duration, now: Instant) -> bool {
        let Some(status) = self.hosts.get(name) else {
            return false;
        };
        let down = status.down_since.is_some_and(|at| now - at >= lost_after);
        status.health != Health::Leaving && !down
    }

    /// Returns whether the state of every host is known: it has answered once, or has been down for
    /// `lost_after` and counts as lost. False while there are no hosts.
    pub(super) fn is_warmed_up(&self, lost_after: Duration, now: Instant) -> bool {
        let is_known = |s: &HostStatus| {
            let lost = s.down_since.is_some_and(|at| now - at >= lost_after);
            s.answered || lost
        };
        !self.hosts.is_empty() && self.hosts.values().all(is_known)
    }
}
