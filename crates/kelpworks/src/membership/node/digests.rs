//! Digests of what daemons hold: where two differ for long, one asks the other for all.

use xxhash_rust::xxh3::Xxh3;

use super::Node;
use crate::membership::contract::Action;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::membership::Health;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;
use kelpworks_wire::PeerMessage;

/// Least time between two computations of the digests.
const DIGESTS_EVERY: Span = Span::from_millis(500);

/// A digest of this daemon's, and since when it has been the same.
#[derive(Clone, Copy, Debug)]
pub(super) struct Settled {
    pub(super) digest: u64,
    pub(super) since: Instant,
}

impl Settled {
    fn note(&mut self, now: Instant, digest: u64) {
        if self.digest != digest {
            *self = Settled { digest, since: now };
        }
    }

    fn differs(&self, now: Instant, theirs: u64, settle: Span) -> bool {
        self.digest != theirs && now.since(self.since) >= settle
    }
}

impl Node {
    pub(super) fn compare_digests(
        &mut self,
        now: Instant,
        from: NodeId,
        message: &PeerMessage,
    ) -> Option<Action> {
        self.note_digests(now);
        let settle = self.cfg.settle;
        let members = self
            .members_settled
            .differs(now, message.members_digest, settle);
        let facts = self
            .facts_settled
            .differs(now, message.facts_digest, settle);
        let due = self
            .last_sync
            .is_none_or(|at| now.since(at) >= self.cfg.sync_every);
        if !(members || facts) || !due {
            return None;
        }
        self.last_sync = Some(now);
        Some(Action::Sync(from))
    }

    /// Works the digests out anew when the last ones are old enough: it takes a look at all that
    /// is held, and differences count only after [`Config::settle`].
    pub(super) fn note_digests(&mut self, now: Instant) {
        if now < self.next_digests {
            return;
        }
        self.next_digests = now + DIGESTS_EVERY;
        self.book
            .forget(|n| n == self.id || self.members.health(n).is_some());
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
        self.members_settled.note(now, hasher.digest());
        self.facts_settled.note(now, self.facts.digest(now));
    }
}
