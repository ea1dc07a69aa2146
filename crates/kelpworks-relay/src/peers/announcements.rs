//! Small messages that can't wait for the next exchange: a new configuration, and answers of the store.
//!
//! They make exchanges faster and replace none: whatever is lost, or refused by a daemon of an earlier
//! release, is learned from digests.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use super::EXCHANGE_TIMEOUT;
use super::PeerApiClient;
use super::Peers;
use super::messages::Announcement;
use crate::adapter::Adapter;

impl Peers {
    /// Reports answers of the store to the watch group.
    pub(super) fn report_store_answers(self: &Arc<Peers>) {
        let Some((ages, addresses)) = self.take_store_report(Instant::now()) else {
            return;
        };
        for address in addresses {
            let peers = Arc::clone(self);
            tokio::spawn(async move {
                let address = address.to_string();
                let call = peers.connections.call(
                    &address,
                    EXCHANGE_TIMEOUT,
                    &ages,
                    |client, ages| async move { client.store_answered(ages).await },
                );
                let outcome = if call.await.is_ok() {
                    "delivered"
                } else {
                    "failed"
                };
                metrics::counter!("kelpworks_store_reports_total", "outcome" => outcome)
                    .increment(1);
            });
        }
    }

    /// Announces the active configuration to a few neighbors, which fetch it if it is new to them
    /// and announce it in turn.
    pub(super) fn announce_configuration(self: &Arc<Peers>) {
        let announcement = Announcement {
            from: self.address,
            version: self.store_cache.version(),
        };
        for partner in self.announcement_partners() {
            let peers = Arc::clone(self);
            tokio::spawn(async move { peers.announce_to(partner, announcement).await });
        }
    }

    async fn announce_to(&self, partner: SocketAddr, announcement: Announcement) {
        let address = partner.to_string();
        let call = self.connections.call(
            &address,
            EXCHANGE_TIMEOUT,
            &announcement,
            |client, announcement| async move { client.announce(announcement).await },
        );
        let outcome = match call.await {
            Ok(()) => "delivered",
            Err(_) => "failed",
        };
        metrics::counter!("kelpworks_announcements_total", "outcome" => outcome).increment(1);
    }

    /// Handles the announcement of a configuration by a peer.
    pub(super) fn on_announcement<D: Adapter>(self: &Arc<Peers>, announcement: Announcement) {
        self.store_cache.note_peer_version(announcement.version);
        let held = self.held_versions();
        if held.version >= announcement.version {
            return;
        }
        let peers = Arc::clone(self);
        tokio::spawn(async move { peers.fetch_texts::<D>(announcement.from, held).await });
    }
}
