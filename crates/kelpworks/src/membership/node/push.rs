//! Immediate dissemination of facts that must not wait for the next heartbeat.

use std::collections::BTreeSet;

use super::Node;
use crate::membership::convert;
use crate::membership::interface::Action;
use kelpworks_coord::facts::Fact;
use kelpworks_coord::facts::Key;
use kelpworks_coord::time::Instant;

impl Node {
    /// Returns heartbeats that carry the current versions of these facts, to all live peers.
    ///
    /// They are not charged to the byte budget of gossip. The facts also remain in the gossip of
    /// later heartbeats, which reach the daemons that these messages miss.
    pub fn push_facts(&mut self, now: Instant, keys: &BTreeSet<Key>) -> Vec<Action> {
        let held = self.facts.snapshot(now).into_iter();
        let facts: Vec<Fact> = held.filter(|f| keys.contains(&f.key)).collect();
        let peers = self.peers();
        if facts.is_empty() || peers.is_empty() {
            return Vec::new();
        }
        self.refresh_digests(now);
        let mut message = self.message_without_gossip(None);
        message.facts = facts.iter().map(convert::fact_to_wire).collect();
        let heartbeat = |to| Action::Heartbeat {
            to,
            message: Box::new(message.clone()),
        };
        peers.into_iter().map(heartbeat).collect()
    }
}
