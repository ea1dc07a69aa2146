//! Load report of an engine, reused for a while so that readers see stale load.

use tokio::time::Instant;

use super::Shared;
use crate::fault::lock;
use kelpworks_wire::EngineLoad;

/// The latest load report and the time it was measured.
#[derive(Debug, Default)]
pub(crate) struct LoadReportCache {
    latest: Option<(Instant, EngineLoad)>,
}

impl Shared {
    /// Returns a load report not older than
    /// [`EngineConfig::load_lag`](super::EngineConfig::load_lag), with the current draining state.
    pub(super) fn load(&self) -> EngineLoad {
        let now = Instant::now();
        let draining = lock(&self.core).draining();
        let mut load_report = lock(&self.load_report);
        if let Some((at, load)) = &load_report.latest
            && now - *at < self.cfg.load_lag
        {
            return EngineLoad {
                draining,
                ..load.clone()
            };
        }
        let load = self.measure(now, draining);
        load_report.latest = Some((now, load.clone()));
        load
    }

    fn measure(&self, now: Instant, draining: bool) -> EngineLoad {
        let stats = self.queue.stats(now);
        EngineLoad {
            queued: stats.queued,
            running: stats.running,
            queue_ms: stats.oldest.as_millis() as u32,
            kv_free: lock(&self.core).kv_free(),
            draining,
        }
    }
}
