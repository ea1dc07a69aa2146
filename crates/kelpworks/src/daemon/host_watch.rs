//! Polls the platform's host list and reports it to the upstream monitor.

use std::net::SocketAddr;
use std::time::Duration;

use log::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clients::host_list::HostListApi;
use crate::upstreams::ListedHost;
use crate::upstreams::Report;

/// Polls the host list at a fixed interval.
#[derive(Debug)]
pub(crate) struct HostWatch<H> {
    pub(crate) api: H,
    pub(crate) reports: mpsc::UnboundedSender<Report>,
    pub(crate) interval: Duration,
    /// Receives the addresses of all listed hosts, some of which may run daemons.
    pub(crate) addresses: watch::Sender<Vec<SocketAddr>>,
}

impl<H: HostListApi> HostWatch<H> {
    /// Runs until `stop`. While the list is unavailable, the last one stays in use.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(self.interval);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => self.read().await,
            }
        }
    }

    async fn read(&self) {
        match self.api.hosts().await {
            Ok(list) => {
                let addresses = list.hosts.iter().filter_map(|h| h.address.parse().ok());
                self.addresses.send_replace(addresses.collect());
                let seen = |h: kelpworks_wire::HostEntry| ListedHost {
                    name: h.name,
                    state: h.state,
                };
                let hosts = list.hosts.into_iter().map(seen).collect();
                let _ = self.reports.send(Report::HostList(hosts));
            }
            Err(e) => {
                warn!("host list not read: {e}");
                self.api.reset_connections();
            }
        }
    }
}
