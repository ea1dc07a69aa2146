//! Exchanges figures about services whose requests compete for room.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use super::Peers;
use super::lock;
use super::messages::ContentionOf;
use crate::shared::contention::ServiceFigures;

impl Peers {
    /// Returns the figures for a peer. The peer is known by its address, since a daemon may call one whose name it does
    /// not know yet.
    pub(super) fn contention_figures(&self, peer: SocketAddr) -> Vec<ContentionOf> {
        let peer = peer.to_string();
        let messages = self.shared.contention().messages(&peer, Instant::now());
        let to_message = |m: ServiceFigures| ContentionOf {
            service: m.service,
            figures: m.figures,
        };
        messages.into_iter().map(to_message).collect()
    }

    /// Applies the figures of a peer that calls this daemon.
    pub(super) fn on_contention_call(&self, peer: SocketAddr, messages: &[ContentionOf]) {
        let messages = self.known_services(messages);
        let peer = Arc::from(peer.to_string());
        self.shared
            .contention()
            .on_call(&peer, &messages, Instant::now());
    }

    /// Applies the figures with which a peer replies.
    pub(super) fn on_contention_reply(&self, peer: SocketAddr, messages: &[ContentionOf]) {
        let messages = self.known_services(messages);
        let peer = Arc::from(peer.to_string());
        self.shared
            .contention()
            .on_reply(&peer, &messages, Instant::now());
    }

    /// Returns the messages about services whose requests compete by this daemon's configuration.
    fn known_services(&self, messages: &[ContentionOf]) -> Vec<ServiceFigures> {
        let table = self.shared.table.load();
        let known = messages
            .iter()
            .filter(|m| table.urgency_levels(&m.service).is_some());
        known
            .map(|m| ServiceFigures {
                service: Arc::clone(&m.service),
                figures: m.figures.clone(),
            })
            .collect()
    }

    /// Adapts the limits on room to the figures of the fleet.
    pub(super) fn update_contention(&self) {
        let table = self.shared.table.load();
        let live: Vec<String> = {
            let members = lock(&self.members);
            members.live().map(|m| m.address.to_string()).collect()
        };
        let is_contended = |service: &str| table.urgency_levels(service).is_some();
        let mut contention = self.shared.contention();
        contention.update(is_contended, Instant::now());
        contention.retain_peers(|peer| live.iter().any(|a| a == peer));
    }
}
