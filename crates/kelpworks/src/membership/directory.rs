//! Peer discovery: each daemon has an object in the object API; while the API is unavailable, hosts
//! of the platform's host list are tried.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Peers;
use crate::clients::object_api;
use crate::clients::object_api::Condition;
use crate::clients::object_api::Object;
use crate::clients::object_api::ObjectApi;
use kelpworks_wire::MemberContact;

/// Object kind of daemons' contacts; each object is named after its daemon.
pub(crate) const MEMBER_KIND: &str = "kelpworks.member";

/// Interval between reads of the list while no peer is known or this daemon is not on the list.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of the list on a daemon that watches the object API.
const WATCHER_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between reads of the list on other daemons, which learn of changes from peers.
const POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of listed addresses tried per interval.
const MAX_HOST_ATTEMPTS: usize = 4;
/// Timeout of the deletion on a planned stop.
const DELETE_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces a daemon to others and discovers them.
#[derive(Debug)]
pub(crate) struct Directory<A> {
    pub(crate) api: Arc<A>,
    pub(crate) peers: Peers,
    /// Addresses on the host list; some of them may be daemons.
    pub(crate) hosts: watch::Receiver<Vec<SocketAddr>>,
}

impl<A: ObjectApi> Directory<A> {
    /// Runs until `stop`. An outage of the object API has one effect: new daemons find their first
    /// peer by the host list.
    pub(crate) async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.maintain() => {}
        }
    }

    /// Deletes this daemon's object on a planned stop.
    pub(crate) async fn withdraw(api: &A, peers: &Peers) {
        let name = peers.contact().name;
        let delete = api.delete(MEMBER_KIND, &name, Condition::Always);
        let _ = tokio::time::timeout(DELETE_TIMEOUT, delete).await;
    }

    async fn maintain(&self) {
        let mut announced = false;
        loop {
            if !announced {
                announced = self.announce().await;
            }
            let listed = self.list().await;
            if self.peers.has_no_peers() && !listed {
                self.join_listed_host().await;
            }
            let interval = if !announced || !listed || self.peers.has_no_peers() {
                SEARCH_INTERVAL
            } else if *self.peers.watcher().borrow() {
                WATCHER_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
            let jitter = rand::rng().random_range(0.75..1.0);
            tokio::time::sleep(interval.mul_f64(jitter)).await;
        }
    }

    async fn announce(&self) -> bool {
        let contact = self.peers.contact();
        let body = serde_json::to_string(&contact).unwrap_or_default();
        let put = self
            .api
            .put(MEMBER_KIND, &contact.name, body, Condition::Always);
        self.ok_or_reset(put.await.map(|_| ())).is_some()
    }

    async fn list(&self) -> bool {
        let Some(list) = self.ok_or_reset(self.api.list(MEMBER_KIND).await) else {
            return false;
        };
        let read = |o: &Object| serde_json::from_str(&o.body).ok();
        let contacts: Vec<MemberContact> = list.items.iter().filter_map(read).collect();
        self.peers.set_member_list(&contacts);
        true
    }

    /// Logs an error and resets the connections of the object API.
    fn ok_or_reset<T>(&self, reply: object_api::Result<T>) -> Option<T> {
        match reply {
            Ok(reply) => Some(reply),
            Err(e) => {
                warn!("object API call for the list of daemons failed: {e}");
                self.api.reset_connections();
                None
            }
        }
    }

    /// Tries to join some hosts of the list, both at the listed port and at this daemon's own port
    /// for peers, which the daemons of a deployment usually share. Hosts that are no daemons refuse
    /// the connection.
    async fn join_listed_host(&self) {
        let own = self.peers.address();
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for host in self.hosts.borrow().iter() {
            addresses.push(*host);
            addresses.push(SocketAddr::new(host.ip(), own.port()));
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|a| *a != own);
        addresses.shuffle(&mut rand::rng());
        for address in addresses.into_iter().take(MAX_HOST_ATTEMPTS) {
            if self.peers.join(&address.to_string()).await {
                info!("joined a peer at {address}, found by the host list");
                return;
            }
        }
    }
}
