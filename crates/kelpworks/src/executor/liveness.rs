//! Which hosts placement counts on. No I/O.
//!
//! Routing leaves a silent host within a second or two; placement waits longer, since moving
//! layers costs minutes of the weight store and most silent hosts come back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::Health;

/// How long hosts have been down.
#[derive(Clone, Debug, Default)]
pub(super) struct Liveness {
    hosts: HashMap<Arc<str>, HostStatus>,
}

#[derive(Clone, Copy, Debug)]
struct HostStatus {
    health: Health,
    /// Since when it is down; set only while it is.
    down_since: Option<Instant>,
    /// Whether it ever answered.
    answered: bool,
}

impl Liveness {
    /// Notes a snapshot; hosts that are gone from it are forgotten.
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

    /// Whether a host may be given layers: neither leaving nor down for longer than `lost_after`.
    pub(super) fn is_live(&self, name: &str, lost_after: Duration, now: Instant) -> bool {
        let Some(status) = self.hosts.get(name) else {
            return false;
        };
        let down = status.down_since.is_some_and(|at| now - at >= lost_after);
        status.health != Health::Leaving && !down
    }

    /// Whether every host has answered, or been silent for long enough to count as lost.
    pub(super) fn is_warmed_up(&self, lost_after: Duration, now: Instant) -> bool {
        let is_known = |s: &HostStatus| {
            let lost = s.down_since.is_some_and(|at| now - at >= lost_after);
            s.answered || lost
        };
        !self.hosts.is_empty() && self.hosts.values().all(is_known)
    }
}
