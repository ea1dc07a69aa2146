//! Facts that can't wait for the next heartbeat.

use std::collections::BTreeSet;

use super::Node;
use crate::membership::contract::Action;
use crate::membership::convert;
use kelpworks_coord::facts::Fact;
use kelpworks_coord::facts::Key;
use kelpworks_coord::time::Instant;

impl Node {
    /// Heartbeats that carry these facts, as they are held now, to all live peers.
    ///
    /// They go beside the allowance of news and take nothing from it, and the facts stay among
    /// the news of later heartbeats: those bring them to whoever this one does not reach.
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
