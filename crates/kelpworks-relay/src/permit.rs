//! Permission to send a request to an upstream once.
//!
//! Nothing is sent without a [`Permit`]. It holds an [`Admission`] under the constraints that the
//! upstreams of the request announced, and a [`Retry`] from the service's budget if the request may
//! have reached an upstream before. Both are given back if nothing was written to a connection, as
//! in many of the attempts that fail while engines that no longer run are still registered.
//!
//! How long a retry counts depends on all attempts of its request (see `attempts`).

mod attempts;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use kelpworks::sync::lock;
use thiserror::Error;
use tokio::time::Instant;

use crate::adapter::Adapter;
use crate::constraints::MessageKind;
use crate::fleet::Fleet;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::limits;
use crate::pool::WritePermit;
use crate::retry_budget::LONGEST_DELIVERY;
use crate::retry_budget::RetryBudget;

pub use attempts::Attempts;
pub use attempts::Origin;
pub use attempts::RequestAttempts;
pub use attempts::SentAttempt;

/// Result of using a retry.
type Result<T> = std::result::Result<T, Expired>;

/// A retry was reserved when more were allowed than now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("fewer retries are allowed than when it was reserved")]
struct Expired;

/// A retry reserved in the budget of a service; given back when dropped.
#[derive(Debug)]
#[must_use]
pub struct Retry {
    /// `None` once sent, or if another daemon has reserved it.
    reservation: Option<Reservation>,
}

#[derive(Debug)]
struct Reservation {
    budget: Arc<Mutex<RetryBudget>>,
    service: Arc<str>,
    reserved_at: Instant,
}

impl Retry {
    /// Reserves a retry for a request that may have reached an upstream before; `None` when the
    /// budget is exhausted.
    pub fn acquire(
        budget: &Arc<Mutex<RetryBudget>>,
        service: &Arc<str>,
        now: Instant,
    ) -> Option<Retry> {
        Retry::acquire_part(budget, service, 1.0, now)
    }

    /// Reserves a retry if less than `part` of the budget is used with it; see
    /// [`RetryBudget::try_reserve_part`].
    pub fn acquire_part(
        budget: &Arc<Mutex<RetryBudget>>,
        service: &Arc<str>,
        part: f64,
        now: Instant,
    ) -> Option<Retry> {
        let is_reserved = lock(budget).try_reserve_part(service, part, now);
        is_reserved.then(|| Retry {
            reservation: Some(Reservation {
                budget: Arc::clone(budget),
                service: Arc::clone(service),
                reserved_at: now,
            }),
        })
    }

    /// Returns a retry that another daemon has reserved in its budget.
    pub(crate) fn reserved_elsewhere() -> Retry {
        Retry { reservation: None }
    }

    /// Records that the retry is written now, and returns its reservation; `None` if another daemon has it.
    ///
    /// # Errors
    ///
    /// [`Expired`] if fewer retries are allowed than when it was reserved.
    fn send(mut self) -> Result<Option<Reservation>> {
        if let Some(reservation) = &self.reservation {
            let now = Instant::now();
            let held = now.duration_since(reservation.reserved_at);
            metrics::histogram!("kelpworks_retry_hold_seconds").record(held.as_secs_f64());
            let mut budget = lock(&reservation.budget);
            if !budget.try_send(&reservation.service, now) {
                metrics::counter!("kelpworks_repeats_total", "outcome" => "expired").increment(1);
                return Err(Expired);
            }
        }
        Ok(self.reservation.take())
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        if let Some(Reservation {
            budget, service, ..
        }) = self.reservation.take()
        {
            lock(&budget).release(&service);
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

    /// Returns whether work has passed the first upstream more than the longest delivery after `since`.
    fn has_passed_work(&self, since: Instant) -> bool {
        let fleet = lock(&self.fleet);
        let first = self.upstreams.first().and_then(|&key| fleet.get(key));
        let last = first.and_then(|u| u.last_success);
        last.is_some_and(|at| at > since + LONGEST_DELIVERY)
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

/// Deadline of a request, which is stated in its header fields as the time left.
#[derive(Clone, Copy, Debug)]
pub struct StatedDeadline {
    at: Instant,
    set_time_left: fn(&mut HeaderMap, Duration),
}

impl StatedDeadline {
    /// Returns the deadline of a request to an upstream.
    pub fn of_upstream<D: Adapter>(at: Instant) -> StatedDeadline {
        StatedDeadline {
            at,
            set_time_left: D::set_time_left,
        }
    }

    /// States the time left; returns false if there is none.
    fn state(&self, headers: &mut HeaderMap, now: Instant) -> bool {
        let time_left = self.at.saturating_duration_since(now);
        (self.set_time_left)(headers, time_left);
        !time_left.is_zero()
    }
}

/// Permission to send a request once; refunded when dropped.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    admission: Admission,
    attempts: Arc<Attempts>,
    /// `None` for a request that has reached no upstream yet.
    retry: Option<Retry>,
    /// `None` if its header fields state no deadline.
    deadline: Option<StatedDeadline>,
}

/// A permit that was used.
#[derive(Debug)]
pub struct SpentPermit {
    admission: Admission,
    limit: Option<limits::Admission>,
    attempt: SentAttempt,
    deadline: Option<StatedDeadline>,
}

impl Permit {
    /// Creates a permit for another of a request's attempts; `retry` is required if the request may have
    /// reached an upstream before.
    pub fn new(admission: Admission, attempts: Arc<Attempts>, retry: Option<Retry>) -> Permit {
        Permit {
            admission,
            attempts,
            retry,
            deadline: None,
        }
    }

    /// Has the time left until the deadline stated anew when the request is written: a connection may take
    /// long to open, and the process may be paused. The request is not written after the deadline.
    pub fn with_deadline(self, deadline: StatedDeadline) -> Permit {
        Permit {
            deadline: Some(deadline),
            ..self
        }
    }

    /// Marks the permit as used, as the request is written now. It stays used even if sending is
    /// cancelled half-way. Returns `None` if an upstream has announced since that it accepts no
    /// request, or if fewer retries are allowed than before.
    pub fn spend(mut self) -> Option<SpentPermit> {
        if !self.admission.is_valid(Instant::now()) {
            return None;
        }
        let attempt = self.attempts.write(self.retry)?;
        let limit = self.admission.limit.take();
        Some(SpentPermit {
            admission: self.admission,
            limit,
            attempt,
            deadline: self.deadline,
        })
    }
}

impl SpentPermit {
    /// Restores the permit after it turned out that nothing was written.
    pub fn undo(mut self) -> Permit {
        self.admission.limit = self.limit;
        Permit {
            admission: self.admission,
            attempts: Arc::clone(self.attempt.attempts()),
            retry: self.attempt.undo(),
            deadline: self.deadline,
        }
    }
}

impl WritePermit for Permit {
    type Spent = SpentPermit;
    type Answered = ();

    fn spend(self, headers: &mut HeaderMap) -> Option<SpentPermit> {
        let now = Instant::now();
        if self.deadline.is_some_and(|d| !d.state(headers, now)) {
            return None;
        }
        Permit::spend(self)
    }

    fn undo(spent: SpentPermit) -> Permit {
        spent.undo()
    }

    fn answer(spent: SpentPermit) {
        Permit::record_arrival(spent);
    }

    fn record_arrival(spent: SpentPermit) {
        spent.attempt.record_arrival();
    }

    fn awaits_arrival(spent: &SpentPermit, since: Instant) -> bool {
        let are_counted = spent.attempt.attempts().are_counted();
        are_counted && !spent.admission.has_passed_work(since)
    }
}
