//! This daemon's part of the fleet-wide retry budget of each service.
//!
//! A retry is an arrival at a service beyond the first of its request. In any window, all daemons
//! together may cause a fixed number of retries plus a share of the requests. Each daemon applies
//! that share to its own requests and takes an equal part of the fixed number, so the limit holds
//! without coordination, also while daemons can't reach each other. A process that starts has no
//! part of the fixed number for one window, since the process before it may have used it up.
//!
//! A retry whose request was not written to a connection is refunded ([`crate::permit`]).

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// Fraction of the allowed retries that is used: a window here begins slightly earlier than at the
/// service, where the retries arrive.
const USABLE_FRACTION: f64 = 0.85;

/// Limit on the retries of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Length of the window.
    pub window: Duration,
    /// Retries allowed for each request of the window.
    pub ratio: f64,
    /// Retries allowed in a window in addition, by all daemons together.
    pub allowance: f64,
}

/// Requests and retries of one service in the last window.
#[derive(Clone, Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Requests and retries of this daemon, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// Daemons that share the limit, at least 1.
    daemons: usize,
    /// When this process began to count.
    started: Instant,
    services: HashMap<Arc<str>, ServiceCounts>,
}

impl RetryBudget {
    /// Creates a budget with no counts. `daemons` is the number of daemons that share the limit.
    pub fn new(limit: RetryLimit, daemons: usize, started: Instant) -> RetryBudget {
        RetryBudget {
            limit,
            daemons: daemons.max(1),
            started,
            services: HashMap::new(),
        }
    }

    /// Returns the number of daemons that share the limit.
    pub fn daemons(&self) -> usize {
        self.daemons
    }

    /// Sets the number of daemons that share the limit.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: &Arc<str>, now: Instant) {
        let counts = self.service(service, now);
        counts.requests.push_back(now);
    }

    /// Takes a retry from the budget; returns false when none is left.
    pub fn try_acquire(&mut self, service: &Arc<str>, now: Instant) -> bool {
        let RetryLimit {
            window,
            ratio,
            allowance,
        } = self.limit;
        let fixed = match now.duration_since(self.started) < window {
            true => 0.0,
            false => allowance / self.daemons as f64,
        };
        let counts = self.service(service, now);
        let allowed = (fixed + ratio * counts.requests.len() as f64) * USABLE_FRACTION;
        if counts.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    /// Gives a retry that was not sent back to the budget.
    pub(crate) fn refund(&mut self, service: &Arc<str>) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.retries.pop_back();
        }
    }

    /// Returns the counts of a service without those older than the window.
    fn service(&mut self, service: &Arc<str>, now: Instant) -> &mut ServiceCounts {
        let window = self.limit.window;
        let counts = self.services.entry(Arc::clone(service)).or_default();
        for queue in [&mut counts.requests, &mut counts.retries] {
            while queue
                .front()
                .is_some_and(|&at| now.duration_since(at) > window)
            {
                queue.pop_front();
            }
        }
        counts
    }
}
