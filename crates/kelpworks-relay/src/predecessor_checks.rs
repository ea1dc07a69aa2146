//! Connections that show that no upstream holds requests of a former process of this daemon unread.
//!
//! An upstream that closes a connection after this daemon has closed it for sending has run meanwhile, and reads what
//! its operating system had acknowledged before. Each upstream to which requests may have been sent gets one
//! connection, without a request, once the last request of the former process has been delivered.
//!
//! Daemons that start together don't all check: each waits for a random time that grows with their number, and what
//! the first ones find reaches the others with the digests before most of them begin. So the connections of a
//! start grow with the upstreams, not with the daemons times the upstreams.
//!
//! Limits: an upstream that is not registered when the check begins is not checked, as one that starts later. One whose host does not respond is
//! taken for ended once it is no longer registered.

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use log::info;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::pool;
use crate::pool::CloseOutcome;
use crate::retry_budget::LONGEST_DELIVERY;
use crate::shared::Shared;

/// Mean time between the checks of two daemons that start together: some dozens begin before what the first one found
/// has reached all.
const CHECK_SPACING: Duration = Duration::from_millis(50);
/// Maximum time by which a check is put off for those of other daemons.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(8);
/// Connections that are opened at once.
const CONCURRENT_CONNECTIONS: usize = 32;
/// Time after which further connections are opened beside those to upstreams that don't respond.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Interval at which is looked for registrations and observations of other daemons, and hosts are called again that
/// did not respond.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Checks the upstreams of each service that has some, once, until `stop` is cancelled.
pub(crate) async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = check_all(&shared) => {}
    }
}

async fn check_all(shared: &Arc<Shared>) {
    tokio::time::sleep(LONGEST_DELIVERY).await;
    let daemons = shared.retry_budget().daemons();
    tokio::time::sleep(random_delay(daemons)).await;
    let services = registered_services(shared).await;
    shared
        .retry_budget()
        .set_predecessor_services(services.clone());
    let checks = services.into_iter().map(|service| check(shared, service));
    join_all(checks).await;
}

/// Waits until upstreams are registered, and returns their services.
async fn registered_services(shared: &Shared) -> HashSet<Arc<str>> {
    loop {
        let services: HashSet<Arc<str>> = shared.fleet().services().map(Arc::clone).collect();
        if !services.is_empty() {
            return services;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns for how long one of so many daemons puts off its check.
fn random_delay(daemons: usize) -> Duration {
    let factor = u32::try_from(daemons).unwrap_or(u32::MAX);
    let longest = CHECK_SPACING.saturating_mul(factor).min(MAX_CHECK_DELAY);
    longest.mul_f64(rand::random())
}

/// Waits until all upstreams of a service were seen to run, by this daemon or another one.
async fn check(shared: &Arc<Shared>, service: Arc<str>) {
    let began = Instant::now();
    let addresses = shared.fleet().entry_addresses(&service);
    let seen_elsewhere = async {
        while shared.retry_budget().awaits_upstreams(&service) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    tokio::select! {
        () = seen_elsewhere => {}
        () = wait_for_runs(shared, &service, addresses) => {
            shared.record_upstreams_ran(&service, began, "own connections");
        }
    }
}

/// Waits until the upstreams at all of these addresses were seen to run.
async fn wait_for_runs(shared: &Arc<Shared>, service: &str, addresses: Vec<SocketAddr>) {
    let mut waiting = JoinSet::new();
    for some in addresses.chunks(CONCURRENT_CONNECTIONS) {
        for &address in some {
            waiting.spawn(wait_for_run(Arc::clone(shared), address));
        }
        let responses = async { while waiting.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(RESPONSE_TIME, responses).await;
    }
    if waiting.is_empty() {
        return;
    }
    info!(
        target: "decision",
        service:% = service,
        upstreams = addresses.len(),
        unanswered = waiting.len();
        "upstreams may hold requests of a former process"
    );
    while waiting.join_next().await.is_some() {}
}

/// Waits until the process at an address was seen to run, or has ended.
async fn wait_for_run(shared: Arc<Shared>, address: SocketAddr) {
    while pool::observe_close(address).await == CloseOutcome::Unreachable {
        if !shared.fleet().is_registered(address) {
            return;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
