//! A planned stop of the daemon, and the requests that are under way or arrive meanwhile.
//!
//! ```text
//! 0.0 s  signal: readiness fails; callers are asked to close their connections
//! 2.4 s  no further connections or requests are accepted
//! 7.3 s  what is still under way is answered: it may have run
//! 8.0 s  the process would be killed
//! ```
//!
//! A request that may not be repeated is not taken if its time may end after the stop: its caller can send it to
//! another daemon as long as it has not run.

use std::sync::OnceLock;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Progress of a planned stop.
#[derive(Debug, Default)]
pub(crate) struct PlannedStop {
    /// When requests that are still under way are aborted; unset before the stop.
    deadline: OnceLock<Instant>,
    /// Cancelled once that is due.
    ended: CancellationToken,
}

impl PlannedStop {
    /// Begins the stop; requests under way are aborted at `deadline`.
    pub(crate) fn begin(&self, deadline: Instant) {
        let _ = self.deadline.set(deadline);
    }

    /// Returns whether the stop has begun, so that answers ask callers to close their connections.
    pub(crate) fn has_begun(&self) -> bool {
        self.deadline.get().is_some()
    }

    /// Returns whether requests are aborted before `deadline`.
    pub(crate) fn ends_before(&self, deadline: Instant) -> bool {
        self.deadline.get().is_some_and(|&end| end < deadline)
    }

    /// Aborts the requests that are still under way.
    pub(crate) fn end(&self) {
        self.ended.cancel();
    }

    /// Waits until requests under way are aborted.
    pub(crate) async fn ended(&self) {
        self.ended.cancelled().await;
    }
}
