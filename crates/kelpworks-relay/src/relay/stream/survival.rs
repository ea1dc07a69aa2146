//! When a running stream shows that the parts of its prompt crash no upstream.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the first data of a stream at which it is first reported as a run that survived: the minimum that
/// the ledger of crashes takes for one.
const FIRST_SURVIVAL_REPORT: Duration = Duration::from_secs(1);

/// Times at which a running stream is reported as a run that survived.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Survival {
    first_received: Option<Instant>,
    /// Time after the first data of the next report; doubled with each.
    next: Duration,
}

impl Survival {
    /// Returns for how long the stream has gone on, if a report is due.
    pub(super) fn due(&mut self, now: Instant) -> Option<Duration> {
        let first = *self.first_received.get_or_insert(now);
        let lasted = now.duration_since(first);
        self.next = self.next.max(FIRST_SURVIVAL_REPORT);
        if lasted < self.next {
            return None;
        }
        self.next *= 2;
        Some(lasted)
    }
}
