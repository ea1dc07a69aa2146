//! Event timings of a stream as the caller sees them: time to first event, and longest pause.
//!
//! A response is on time when the first event meets the route's latency target and no pause exceeds
//! its gap target; both are logged at the end of each stream and counted in histograms.

use std::time::Duration;

use tokio::time::Instant;

/// Timings of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timings {
    /// Time from the request's arrival to its first events; `None` before the first.
    pub(super) first_event: Option<Duration>,
    /// Longest time between two chunks passed on.
    pub(super) longest_pause: Duration,
    last_forwarded: Option<Instant>,
}

impl Timings {
    /// Records that events are passed on at `now`, for a request that arrived at `arrived`.
    pub(super) fn record_forwarded(&mut self, arrived: Instant, now: Instant) {
        match self.last_forwarded {
            Some(last_forwarded) => {
                self.longest_pause = self.longest_pause.max(now.duration_since(last_forwarded))
            }
            None => self.first_event = Some(now.duration_since(arrived)),
        }
        self.last_forwarded = Some(now);
    }

    /// Records the timings in the metrics; called once, when the stream has ended.
    pub(super) fn record(&self) {
        if let Some(first_event) = self.first_event {
            metrics::histogram!("kelpworks_first_event_seconds").record(first_event.as_secs_f64());
            let pause = self.longest_pause.as_secs_f64();
            metrics::histogram!("kelpworks_longest_pause_seconds").record(pause);
        }
    }
}
