//! Polls of single upstreams.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

use crate::clients::engine::Engine;
use crate::clients::engine::HttpEngine;
use crate::clients::plain_service::PlainService;
use crate::fleet::Counters;
use crate::fleet::UpstreamKey;
use crate::upstreams::Report;

/// A poll of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Poll {
    pub(crate) key: UpstreamKey,
    /// Base URL.
    pub(crate) url: Arc<str>,
    /// Whether the upstream is a plain service, which has a health check instead of an engine
    /// state.
    pub(crate) service: bool,
    pub(crate) deadline: Duration,
    pub(crate) counters: Arc<Counters>,
}

impl Poll {
    /// Polls the upstream. A failed poll on a pooled connection is repeated once on a new
    /// connection.
    pub(crate) async fn run(&self, engine: &HttpEngine) -> Report {
        if self.service {
            return self.run_service(engine).await;
        }
        let sent = Instant::now();
        if let Ok(state) = engine.state(&self.url, self.deadline).await {
            self.observe(sent.elapsed());
            return Report::State(self.key, Box::new(state));
        }
        match engine.probe(&self.url, self.deadline).await {
            Ok(state) => Report::State(self.key, Box::new(state)),
            Err(_) => Report::PollFailed(self.key),
        }
    }

    /// Records the duration of an answered poll, from which the deadline of probes is derived.
    fn observe(&self, took: Duration) {
        let times = self.counters.poll.lock();
        times
            .unwrap_or_else(PoisonError::into_inner)
            .observe(took, 1);
    }

    async fn run_service(&self, engine: &HttpEngine) -> Report {
        if let Ok(takes_work) = engine.health(&self.url, self.deadline).await {
            return Report::Service(self.key, takes_work);
        }
        match engine.probe_health(&self.url, self.deadline).await {
            Ok(takes_work) => Report::Service(self.key, takes_work),
            Err(_) => Report::PollFailed(self.key),
        }
    }
}
