//! Permission to send a request to an upstream once.
//!
//! Nothing is sent without a [`Permit`]. It holds an [`Admission`] under the constraints that the
//! upstreams of the request announced, and a [`Retry`] from the service's budget if the request may
//! have reached an upstream before. Both are refunded if nothing was written to a connection, as
//! in many of the attempts that fail while engines that no longer run are still registered.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::Mutex;

use tokio::time::Instant;

use crate::constraints::MessageKind;
use crate::fleet::Fleet;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::limits;
use crate::pool::WritePermit;
use crate::retry_budget::RetryBudget;
use crate::sync::lock;

/// A retry taken from the budget of a service; refunded when dropped.
#[derive(Debug)]
#[must_use]
pub struct Retry {
    /// `None` once spent, or if another daemon has taken it.
    taken: Option<TakenRetry>,
}

#[derive(Debug)]
struct TakenRetry {
    budget: Arc<Mutex<RetryBudget>>,
    service: Arc<str>,
    acquired: Instant,
}

/// A retry that was used.
#[derive(Debug)]
pub struct SpentRetry {
    taken: Option<TakenRetry>,
}

impl Retry {
    /// Takes a retry for a request that may have reached an upstream before; `None` when the
    /// budget is exhausted.
    pub fn acquire(
        budget: &Arc<Mutex<RetryBudget>>,
        service: &Arc<str>,
        now: Instant,
    ) -> Option<Retry> {
        let mut counts = lock(budget);
        let is_taken = counts.try_acquire(service, now);
        drop(counts);
        is_taken.then(|| Retry {
            taken: Some(TakenRetry {
                budget: Arc::clone(budget),
                service: Arc::clone(service),
                acquired: now,
            }),
        })
    }

    /// Returns a retry that another daemon has taken from its budget.
    pub(crate) fn taken_elsewhere() -> Retry {
        Retry { taken: None }
    }

    /// Marks the retry as used.
    pub fn spend(mut self) -> SpentRetry {
        let taken = self.taken.take();
        if let Some(taken) = &taken {
            let held = taken.acquired.elapsed().as_secs_f64();
            metrics::histogram!("kelpworks_retry_hold_seconds").record(held);
        }
        SpentRetry { taken }
    }
}

impl SpentRetry {
    /// Restores the retry after it turned out that nothing was written.
    pub fn undo(self) -> Retry {
        Retry { taken: self.taken }
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        if let Some(TakenRetry {
            budget, service, ..
        }) = self.taken.take()
        {
            lock(&budget).refund(&service);
        }
    }
}

/// An admission of a request under the constraints of the upstreams that it reaches; taken back
/// when dropped.
#[derive(Debug)]
#[must_use]
pub struct Admission {
    fleet: Arc<Mutex<Fleet>>,
    /// The upstreams that the request reaches, first the one that it is sent to.
    upstreams: Vec<UpstreamKey>,
    /// Admission under the rate limit of the first upstream; `None` once spent.
    limit: Option<limits::Admission>,
}

impl Admission {
    /// Admits a request that is sent to the first of these upstreams and reaches the others by
    /// it; `None` if a constraint of one of them does not allow it now, or the first is gone.
    pub(crate) fn acquire(
        fleet: &Arc<Mutex<Fleet>>,
        upstreams: Vec<UpstreamKey>,
        now: Instant,
    ) -> Option<Admission> {
        let mut locked = lock(fleet);
        if !allows_all(&locked, &upstreams, now) {
            return None;
        }
        let first = locked.get_mut(*upstreams.first()?)?;
        let limiter = &mut first.constraints.limiter;
        let limit = limiter.admit(now)?;
        if limiter.rate().is_some() {
            metrics::counter!("kelpworks_limited_requests_total").increment(1);
        }
        drop(locked);
        Some(Admission {
            fleet: Arc::clone(fleet),
            upstreams,
            limit: Some(limit),
        })
    }

    /// Returns whether the request may still be written. An upstream may have announced a backoff
    /// or that it is leaving while a connection was opened.
    fn is_valid(&self, now: Instant) -> bool {
        allows_all(&lock(&self.fleet), &self.upstreams, now)
    }
}

/// Returns whether the upstreams accept a request in any position of its path, regardless of rate
/// limits.
fn allows_all(fleet: &Fleet, upstreams: &[UpstreamKey], now: Instant) -> bool {
    let allows = |u: &Upstream| u.constraints.allows(MessageKind::LaterHop, now);
    upstreams
        .iter()
        .all(|&key| fleet.get(key).is_none_or(allows))
}

impl Drop for Admission {
    fn drop(&mut self) {
        let (Some(limit), Some(&first)) = (self.limit.take(), self.upstreams.first()) else {
            return;
        };
        if let Some(u) = lock(&self.fleet).get_mut(first) {
            u.constraints.limiter.refund(limit);
        }
    }
}

/// Permission to send a request once; refunded when dropped.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    admission: Admission,
    /// `None` for a request that has reached no upstream yet.
    retry: Option<Retry>,
}

/// A permit that was used.
#[derive(Debug)]
pub struct SpentPermit {
    admission: Admission,
    limit: Option<limits::Admission>,
    retry: Option<SpentRetry>,
}

impl Permit {
    /// Creates a permit for an admitted request; `retry` is required if the request may have
    /// reached an upstream before.
    pub fn new(admission: Admission, retry: Option<Retry>) -> Permit {
        Permit { admission, retry }
    }

    /// Marks the permit as used, as the request is written now. It stays used even if sending is
    /// cancelled half-way. Returns `None` if an upstream has announced since that it accepts no
    /// request.
    pub fn spend(mut self) -> Option<SpentPermit> {
        if !self.admission.is_valid(Instant::now()) {
            return None;
        }
        let limit = self.admission.limit.take();
        Some(SpentPermit {
            admission: self.admission,
            limit,
            retry: self.retry.map(Retry::spend),
        })
    }
}

impl SpentPermit {
    /// Restores the permit after it turned out that nothing was written.
    pub fn undo(mut self) -> Permit {
        self.admission.limit = self.limit;
        Permit {
            admission: self.admission,
            retry: self.retry.map(SpentRetry::undo),
        }
    }
}

impl WritePermit for Permit {
    type Spent = SpentPermit;

    fn spend(self) -> Option<SpentPermit> {
        Permit::spend(self)
    }

    fn undo(spent: SpentPermit) -> Permit {
        spent.undo()
    }
}
