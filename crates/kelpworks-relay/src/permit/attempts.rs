//! The attempts of one request, and the retries that count for them.
//!
//! A service counts each arrival of a request after its first one, whichever attempt that is: where a first attempt
//! is abandoned on silence, it may arrive after the retry that replaced it. So a retry counts until so many
//! arrivals are decided that it can't be one of those to come.
//!
//! ```text
//! 0.00  first attempt written
//! 0.25  abandoned; retry written         in flight 1
//! 0.31  retry answered                   in flight 1: the first attempt may still arrive
//! 9.40  first attempt's connection ends  arrived 1, until a window later
//! ```
//!
//! | event | retries in flight | arrived in the window |
//! |---|---|---|
//! | first attempt written | | |
//! | further attempt written | +1 | |
//! | nothing was written after all | -1 | |
//! | first arrival decided | | |
//! | further arrival decided | -1 | +1, at the later of its time and that of the first one decided |
//! | a peer that handed the request over leaves with arrivals undecided | +1 for each of them that has none | |
//!
//! A request that was handed over is counted by both daemons for their own attempts, the hand-over being one of
//! the sender's.

use std::sync::Arc;
use std::sync::Mutex;

use kelpworks::sync::lock;
use tokio::time::Instant;

use super::Reservation;
use super::Retry;
use crate::retry_budget::Delivery;
use crate::retry_budget::RetryBudget;

/// What daemons other than this one have done about a request, and have to know about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It came from a caller.
    Caller,
    /// A peer handed it over. If one of the peer's attempts may have arrived, the peer holds a retry for it.
    Peer,
    /// A peer handed it over that has no retry for it, though one of its attempts may have arrived.
    PeerWithoutRetry,
}

/// The attempts of a request, held as long as the request is served.
#[derive(Debug)]
pub struct RequestAttempts {
    attempts: Arc<Attempts>,
    origin: Origin,
}

/// The attempts of a request that this daemon has written.
#[derive(Debug)]
pub struct Attempts {
    budget: Arc<Mutex<RetryBudget>>,
    service: Arc<str>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Whether the request is still served.
    is_served: bool,
    /// Attempts whose arrival is not decided.
    undecided: u32,
    /// Latest time of the earliest arrival that is decided.
    first_arrival: Option<Instant>,
    /// Retries in flight for these attempts.
    in_flight: u32,
}

/// What counts for a written attempt.
#[derive(Debug)]
enum Charge {
    /// Nothing: it is the first one, or a peer holds a retry for it.
    Free,
    /// A retry that was reserved for it.
    Reserved(Reservation),
    /// A retry that was not reserved.
    Unreserved,
}

impl Charge {
    fn retries(&self) -> u32 {
        match self {
            Charge::Free => 0,
            Charge::Reserved(_) | Charge::Unreserved => 1,
        }
    }
}

/// An attempt on its way to an upstream, or to the daemon that makes it. If it is dropped without
/// [`SentAttempt::record_arrival`], it may still arrive, within the longest delivery.
#[derive(Debug)]
#[must_use]
pub struct SentAttempt {
    attempts: Arc<Attempts>,
    /// `None` once its arrival is decided.
    charge: Option<Charge>,
}

impl RequestAttempts {
    /// Begins a request of which nothing was written.
    pub fn new(
        budget: &Arc<Mutex<RetryBudget>>,
        service: &Arc<str>,
        origin: Origin,
        now: Instant,
    ) -> RequestAttempts {
        // If the peer holds no retry for its attempt, each attempt of this daemon is a further arrival.
        let first_arrival = (origin == Origin::PeerWithoutRetry).then_some(now);
        let state = State {
            is_served: true,
            undecided: 0,
            first_arrival,
            in_flight: 0,
        };
        RequestAttempts {
            attempts: Arc::new(Attempts {
                budget: Arc::clone(budget),
                service: Arc::clone(service),
                state: Mutex::new(state),
            }),
            origin,
        }
    }

    /// Returns the attempts, to be written by a permit.
    pub fn attempts(&self) -> Arc<Attempts> {
        Arc::clone(&self.attempts)
    }
}

impl Drop for RequestAttempts {
    fn drop(&mut self) {
        let mut state = lock(&self.attempts.state);
        state.is_served = false;
        if self.origin == Origin::Caller {
            return;
        }
        // The peer may have left because nothing was answered in time, and makes attempts of its own.
        let missing = state.undecided.saturating_sub(state.in_flight);
        if missing == 0 {
            return;
        }
        state.first_arrival.get_or_insert_with(Instant::now);
        state.in_flight += missing;
        drop(state);
        for _ in 0..missing {
            self.attempts.send_unreserved();
        }
    }
}

impl Attempts {
    /// Records that an attempt is written now; `None` if fewer retries are allowed than when `retry` was reserved.
    pub fn write(self: &Arc<Attempts>, retry: Option<Retry>) -> Option<SentAttempt> {
        let Some(retry) = retry else {
            return Some(self.write_without_retry());
        };
        let charge = match retry.send().ok()? {
            Some(reservation) => Charge::Reserved(reservation),
            None => Charge::Free,
        };
        Some(self.add(charge))
    }

    /// Records that the request is handed over now, with a retry if it is still allowed.
    pub fn hand_over(self: &Arc<Attempts>, retry: Option<Retry>) -> SentAttempt {
        let attempt = self.write(retry);
        attempt.unwrap_or_else(|| self.write_without_retry())
    }

    fn write_without_retry(self: &Arc<Attempts>) -> SentAttempt {
        // An earlier attempt may arrive after this one.
        if lock(&self.state).undecided == 0 {
            return self.add(Charge::Free);
        }
        self.send_unreserved();
        self.add(Charge::Unreserved)
    }

    fn add(self: &Arc<Attempts>, charge: Charge) -> SentAttempt {
        let mut state = lock(&self.state);
        state.undecided += 1;
        state.in_flight += charge.retries();
        drop(state);
        SentAttempt {
            attempts: Arc::clone(self),
            charge: Some(charge),
        }
    }

    /// Returns whether a retry counts for these attempts, or may yet.
    pub(crate) fn are_counted(&self) -> bool {
        let state = lock(&self.state);
        state.is_served || state.in_flight > 0
    }

    fn send_unreserved(&self) {
        lock(&self.budget).send_unreserved(&self.service);
        metrics::counter!("kelpworks_repeats_total", "outcome" => "unreserved").increment(1);
    }

    /// Decides the arrival of an attempt: it has arrived by now, or arrives within the longest delivery.
    fn decide(&self, delivery: Delivery) {
        let latest = delivery.latest_arrival(Instant::now());
        let mut state = lock(&self.state);
        state.undecided = state.undecided.saturating_sub(1);
        let Some(first) = state.first_arrival else {
            state.first_arrival = Some(latest);
            return;
        };
        state.first_arrival = Some(first.min(latest));
        if state.in_flight > 0 {
            state.in_flight -= 1;
            drop(state);
            lock(&self.budget).end_send(&self.service, first.max(latest));
        }
    }

    /// Forgets an attempt of which nothing was written.
    fn forget(&self, charge: Charge) -> Option<Retry> {
        let mut state = lock(&self.state);
        state.undecided = state.undecided.saturating_sub(1);
        state.in_flight = state.in_flight.saturating_sub(charge.retries());
        drop(state);
        match charge {
            Charge::Free => None,
            Charge::Reserved(reservation) => {
                lock(&self.budget).undo_send(&self.service);
                Some(Retry {
                    reservation: Some(reservation),
                })
            }
            Charge::Unreserved => {
                let mut budget = lock(&self.budget);
                budget.undo_send(&self.service);
                budget.release(&self.service);
                None
            }
        }
    }
}

impl SentAttempt {
    /// Forgets the attempt after it turned out that nothing was written; returns the retry that was reserved for it.
    pub fn undo(mut self) -> Option<Retry> {
        let charge = self.charge.take()?;
        self.attempts.forget(charge)
    }

    /// Records that the attempt has arrived at its upstream, or never will.
    pub fn record_arrival(mut self) {
        self.decide(Delivery::Arrived);
    }

    /// Returns whether a retry was reserved for it.
    pub fn has_retry(&self) -> bool {
        matches!(self.charge, Some(Charge::Reserved(_)))
    }

    /// Returns the attempts of its request.
    pub(crate) fn attempts(&self) -> &Arc<Attempts> {
        &self.attempts
    }

    fn decide(&mut self, delivery: Delivery) {
        if self.charge.take().is_some() {
            self.attempts.decide(delivery);
        }
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        self.decide(Delivery::Unknown);
    }
}
