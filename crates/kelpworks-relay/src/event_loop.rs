//! Measures how late the event loop runs, and limits the requests under way by it.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::concurrency_limit::Change;
use crate::concurrency_limit::Sample;
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
        let now = Instant::now();
        let sample = Sample {
            now,
            lag: now.saturating_duration_since(due),
            load: shared.load(),
        };
        record(&shared, sample);
    }
}

fn record(shared: &Shared, sample: Sample) {
    let (change, limit) = {
        let mut limit = shared.concurrency_limit();
        (limit.record(sample), limit.limit())
    };
    metrics::histogram!("kelpworks_event_loop_lag_seconds").record(sample.lag.as_secs_f64());
    metrics::gauge!("kelpworks_requests_under_way").set(sample.load as f64);
    metrics::gauge!("kelpworks_body_memory_bytes").set(shared.memory().used() as f64);
    metrics::gauge!("kelpworks_request_limit").set(limit.map_or(f64::INFINITY, |l| l as f64));
    let Some(change) = change else {
        return;
    };
    info!(
        target: "decision",
        lag_ms = sample.lag.as_millis() as u64,
        load = sample.load,
        limit = limit.unwrap_or(0),
        outcome:% = match change {
            Change::Limited(_) => "limited",
            Change::Unlimited => "unlimited",
        };
        "requests under way limited"
    );
}
