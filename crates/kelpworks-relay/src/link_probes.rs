//! Probe connections that show whether this daemon reaches the upstreams of a service.
//!
//! They are opened only after failures without a later contact with any upstream, and while the service
//! is out of reach, and are closed without a request.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::fleet::UpstreamKey;
use crate::pool;
use crate::reach::Probe;
use crate::shared::Shared;

/// Connections opened in a probe.
const PROBE_CONNECTIONS: usize = 3;

/// Runs the probes that are due until `stop` is cancelled.
pub(crate) async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let next = shared.reach().next_due();
        let due = async {
            match next {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = shared.reach_changed() => continue,
            () = due => {}
        }
        let services = shared.reach().due(Instant::now());
        let probes = services.iter().map(|service| probe(&shared, service));
        join_all(probes).await;
    }
}

/// Opens a few connections to upstreams of a service.
async fn probe(shared: &Shared, service: &Arc<str>) {
    let addresses = select(shared, service);
    let connections = addresses.into_iter().map(pool::holds_connection);
    let held = join_all(connections).await;
    let probe = Probe {
        opened: held.iter().filter(|&&held| held).count(),
        of: held.len(),
    };
    shared.record_probe(service, probe);
}

/// Returns the addresses of the upstreams for a probe, drawn at random.
fn select(shared: &Shared, service: &str) -> Vec<SocketAddr> {
    let fleet = shared.fleet();
    let ready = fleet.of_service(service).filter(|(_, u)| u.is_ready());
    let mut keys: Vec<UpstreamKey> = ready.map(|(key, _)| key).collect();
    keys.shuffle(&mut rand::rng());
    shared
        .reach()
        .select_for_probe(service, &mut keys, PROBE_CONNECTIONS);
    let upstreams = keys.into_iter().filter_map(|key| fleet.get(key));
    upstreams.map(|u| u.entry.address).collect()
}
