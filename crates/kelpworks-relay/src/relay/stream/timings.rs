//! How fast a caller sees a stream go on: its first event, and the longest pause after it.
//!
//! An answer is on time when the first event meets the route's latency target and no pause exceeds
//! its gap target; both are logged at the end of each stream and counted in histograms.

use std::time::Duration;

use tokio::time::Instant;

/// Pace of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timings {
    /// Time from the request's arrival to its first events; `None` before them.
    pub(super) first_event: Option<Duration>,
    /// Longest time between two pieces after it.
    pub(super) longest_pause: Duration,
    last_forwarded: Option<Instant>,
}

impl Timings {
    /// Notes that events of a request that arrived then go to the caller now.
    pub(super) fn record_forwarded(&mut self, arrived: Instant, now: Instant) {
        match self.last_forwarded {
            Some(last_forwarded) => {
                self.longest_pause = self.longest_pause.max(now.duration_since(last_forwarded))
            }
            None => self.first_event = Some(now.duration_since(arrived)),
        }
        self.last_forwarded = Some(now);
    }

    /// Records it once the stream has ended.
    pub(super) fn record(&self) {
        if let Some(first_event) = self.first_event {
            metrics::histogram!("kelpworks_first_event_seconds").record(first_event.as_secs_f64());
            let pause = self.longest_pause.as_secs_f64();
            metrics::histogram!("kelpworks_longest_pause_seconds").record(pause);
        }
    }
}
