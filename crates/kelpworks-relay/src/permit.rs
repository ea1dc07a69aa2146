//! Permission to send a request to an upstream once.
//!
//! Nothing is sent without a [`Permit`]. It holds a retry from the service's budget, if the
//! request may have reached an upstream before, and an admission under the upstream's own limit.
//! Both are refunded if nothing was written to a connection, as in many of the attempts that fail
//! while engines that no longer run are still registered.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::Mutex;

use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::limits::Admission;
use crate::retry_budget::RetryBudget;
use crate::sync::lock;

/// Permission to send a request once; refunded when dropped.
#[derive(Debug, Default)]
#[must_use]
pub struct Permit {
    /// `None` for a first arrival.
    retry: Option<Retry>,
    /// `None` until the upstream is chosen.
    admission: Option<AdmissionGuard>,
}

/// A retry taken from the budget of a service.
#[derive(Debug)]
struct Retry {
    budget: Arc<Mutex<RetryBudget>>,
    service: Arc<str>,
}

/// An admission under the limit of an upstream.
#[derive(Debug)]
#[must_use]
pub struct AdmissionGuard {
    fleet: Arc<Mutex<Fleet>>,
    upstream: UpstreamKey,
    admission: Admission,
}

impl AdmissionGuard {
    /// Creates a guard for an admission under the limit of an upstream of a fleet.
    pub(crate) fn new(
        fleet: &Arc<Mutex<Fleet>>,
        upstream: UpstreamKey,
        admission: Admission,
    ) -> AdmissionGuard {
        AdmissionGuard {
            fleet: Arc::clone(fleet),
            upstream,
            admission,
        }
    }

    /// Takes the admission back because the request is not sent.
    pub(crate) fn refund(self) {
        let mut fleet = lock(&self.fleet);
        if let Some(u) = fleet.get_mut(self.upstream) {
            u.limiter.refund(self.admission);
        }
    }
}

impl Permit {
    /// Creates a permit for a request that has reached no upstream yet.
    pub fn first() -> Permit {
        Permit::default()
    }

    /// Creates a permit for a request that may have reached one; `None` when the budget is
    /// exhausted.
    pub fn retry(
        budget: &Arc<Mutex<RetryBudget>>,
        service: &Arc<str>,
        now: Instant,
    ) -> Option<Permit> {
        let mut counts = lock(budget);
        let taken = counts.try_acquire(service, now);
        drop(counts);
        taken.then(|| Permit {
            retry: Some(Retry {
                budget: Arc::clone(budget),
                service: Arc::clone(service),
            }),
            admission: None,
        })
    }

    /// Adds the admission of the upstream that the request is to be sent to.
    pub fn with_admission(mut self, admission: AdmissionGuard) -> Permit {
        self.admission = Some(admission);
        self
    }

    /// Marks the permit as used, as the request is written now. It stays used even if sending is
    /// cancelled half-way.
    pub fn spend(mut self) -> SpentPermit {
        SpentPermit {
            retry: self.retry.take(),
            admission: self.admission.take(),
        }
    }
}

/// A permit that was used.
#[derive(Debug)]
pub struct SpentPermit {
    retry: Option<Retry>,
    admission: Option<AdmissionGuard>,
}

impl SpentPermit {
    /// Restores the permit after it turned out that nothing was written.
    pub fn undo(self) -> Permit {
        Permit {
            retry: self.retry,
            admission: self.admission,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(Retry { budget, service }) = self.retry.take() {
            lock(&budget).refund(&service);
        }
        if let Some(admission) = self.admission.take() {
            admission.refund();
        }
    }
}
