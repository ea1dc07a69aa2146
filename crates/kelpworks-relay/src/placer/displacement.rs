//! Whether the requests that an engine runs can run again elsewhere.
//!
//! An engine that is moved to other layers either waits for the requests that use its layers, or aborts them. A
//! request that may run once, and a stream that can't be resumed, are lost when they are aborted, so the engine waits
//! wherever it may run one. Nothing outlasts the longest timeout of its route, and a route counts for that long after
//! it was last in force: requests may have begun under it until then.
//!
//! Limits: a daemon that starts doesn't know the routes of earlier configurations.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::DisplacementPolicy;
use crate::config::Route;

/// Time within which all daemons activate a new configuration; until then some admit requests under the earlier one.
const ACTIVATION_PERIOD: Duration = Duration::from_secs(3);

/// Until when each service may run requests that can't run again.
#[derive(Debug, Default)]
pub(super) struct UnrepeatableWork {
    until: HashMap<Arc<str>, Instant>,
}

impl UnrepeatableWork {
    /// Records the routes that are in force.
    pub(super) fn observe(&mut self, routes: &[Route], now: Instant) {
        for route in routes.iter().filter(|r| !can_run_again(r)) {
            let until = now + route.timeout + ACTIVATION_PERIOD;
            for target in &route.targets {
                match self.until.get_mut(&target.service) {
                    Some(known) => *known = until.max(*known),
                    None => {
                        self.until.insert(Arc::clone(&target.service), until);
                    }
                }
            }
        }
        self.until.retain(|_, until| *until > now);
    }

    /// Returns what a moved engine of a service does with its requests, and the longest time for which it waits for
    /// them.
    pub(super) fn policy(&self, service: &str, now: Instant) -> (DisplacementPolicy, Duration) {
        match self.until.get(service).filter(|&&until| until > now) {
            Some(&until) => (DisplacementPolicy::Drain, until - now),
            None => (DisplacementPolicy::Abort, Duration::ZERO),
        }
    }
}

/// Whether a request of a route that is aborted can run at another engine.
fn can_run_again(route: &Route) -> bool {
    route.kind.is_retryable() && route.max_attempts > 1
}
