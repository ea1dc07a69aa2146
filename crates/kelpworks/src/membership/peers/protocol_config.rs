//! Limits and timeouts of the protocol between daemons.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jsonrpsee::server::ServerConfig;

use crate::membership::connections;
use crate::membership::interface::Config;
use kelpworks_coord::membership;
use kelpworks_coord::time::Span;

/// Maximum number of connections from peers: several times the number of daemons in the largest
/// fleet.
const MAX_CONNECTIONS: u32 = 2_048;

pub(super) fn server_config() -> ServerConfig {
    ServerConfig::builder()
        .ws_only()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(connections::MAX_MESSAGE)
        .max_response_body_size(connections::MAX_MESSAGE)
        .set_tcp_no_delay(true)
        .build()
}

/// Returns the configuration for a heartbeat interval: the default times, which are those for one
/// second, are scaled by it.
pub(super) fn node_config(heartbeat: Duration) -> Config {
    let scale = |span: Span| {
        let ms = heartbeat.mul_f64(span.as_millis() as f64 / 1_000.0);
        Span::from_millis((ms.as_millis() as u64).max(1))
    };
    let times = membership::Config::default();
    let defaults = Config::default();
    Config {
        membership: membership::Config {
            probe_interval: scale(times.probe_interval),
            probe_timeout: scale(times.probe_timeout),
            min_suspicion: scale(times.min_suspicion),
            max_suspicion: scale(times.max_suspicion),
            dead_probe_interval: scale(times.dead_probe_interval),
            ..times
        },
        divergence_timeout: scale(defaults.divergence_timeout),
        min_sync_interval: scale(defaults.min_sync_interval),
        ..defaults
    }
}

pub(super) fn probe_timeout(heartbeat: Duration) -> Duration {
    let timeout = node_config(heartbeat).membership.probe_timeout;
    Duration::from_millis(timeout.as_millis())
}

pub(super) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
