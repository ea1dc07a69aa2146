//! Measures how late the event loop runs.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// Interval between two measurements while requests are under way.
const BUSY_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two measurements of an idle daemon.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Least load of a busy daemon, in requests.
const BUSY_LOAD: usize = 8;

/// Measures until `stop` is cancelled.
pub(crate) async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let interval = match shared.load() >= BUSY_LOAD {
            true => BUSY_INTERVAL,
            false => IDLE_INTERVAL,
        };
        let due = Instant::now() + interval;
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep_until(due) => {}
        }
        let lag = Instant::now().saturating_duration_since(due);
        metrics::histogram!("kelpworks_event_loop_lag_seconds").record(lag.as_secs_f64());
        metrics::gauge!("kelpworks_requests_under_way").set(shared.load() as f64);
    }
}
