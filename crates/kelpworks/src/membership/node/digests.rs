//! Anti-entropy: daemons compare digests of their state, and synchronize fully when these differ
//! for too long.

use xxhash_rust::xxh3::Xxh3;

use super::Node;
use crate::membership::interface::Action;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::membership::Health;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;
use kelpworks_wire::PeerMessage;

/// Minimum time between two computations of the digests.
const MIN_DIGEST_INTERVAL: Span = Span::from_millis(500);

/// A digest of this daemon's state, and since when it has had this value.
#[derive(Clone, Copy, Debug)]
pub(super) struct StableDigest {
    pub(super) digest: u64,
    pub(super) since: Instant,
}

impl StableDigest {
    fn record(&mut self, now: Instant, digest: u64) {
        if self.digest != digest {
            *self = StableDigest { digest, since: now };
        }
    }

    /// Returns whether a peer's digest differs while the own one has been stable for `timeout`, so
    /// that the difference is not merely gossip in transit.
    fn has_diverged(&self, now: Instant, theirs: u64, timeout: Span) -> bool {
        self.digest != theirs && now.since(self.since) >= timeout
    }
}

impl Node {
    /// Compares the digests in a message with the own ones; returns a full synchronization when one
    /// is needed and [`Config::min_sync_interval`](super::Config) permits it.
    pub(super) fn compare_digests(
        &mut self,
        now: Instant,
        from: NodeId,
        message: &PeerMessage,
    ) -> Option<Action> {
        self.refresh_digests(now);
        let timeout = self.cfg.divergence_timeout;
        let members = self
            .own_members_digest
            .has_diverged(now, message.members_digest, timeout);
        let facts = self
            .own_facts_digest
            .has_diverged(now, message.facts_digest, timeout);
        let due = self
            .last_sync
            .is_none_or(|at| now.since(at) >= self.cfg.min_sync_interval);
        if !(members || facts) || !due {
            return None;
        }
        self.last_sync = Some(now);
        Some(Action::Sync(from))
    }

    /// Recomputes the digests unless they are recent. The computation visits the whole state, and
    /// differences count only after [`Config::divergence_timeout`](super::Config).
    pub(super) fn refresh_digests(&mut self, now: Instant) {
        if now < self.digests_due {
            return;
        }
        self.digests_due = now + MIN_DIGEST_INTERVAL;
        self.member_table
            .retain_members(|n| n == self.id || self.members.health(n).is_some());
        let mut live: Vec<(u64, u64)> = self
            .members
            .snapshot()
            .iter()
            .filter(|u| u.health <= Health::Suspect)
            .map(|u| (u.node.0, u.incarnation.0))
            .collect();
        live.sort_unstable();
        let mut hasher = Xxh3::new();
        for (node, incarnation) in live {
            hasher.update(&node.to_le_bytes());
            hasher.update(&incarnation.to_le_bytes());
        }
        self.own_members_digest.record(now, hasher.digest());
        self.own_facts_digest.record(now, self.facts.digest(now));
    }
}
