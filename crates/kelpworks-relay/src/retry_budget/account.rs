//! Requests and retries of one service at one daemon.
//!
//! | event | reserved | in flight | arrived in the window |
//! |---|---|---|---|
//! | permission | +1 | | |
//! | given back unused | -1 | | |
//! | write, or hand-over to another daemon | -1 | +1 | |
//! | nothing was written after all | +1 | -1 | |
//! | written without a reservation | | +1 | |
//! | the arrivals that it may stand for are decided | | -1 | +1, at the latest of them |
//!
//! A retry counts in each state. Only in the last one does it cease to count, one window after the
//! latest time at which it can have arrived, so no window at the service has more arrivals than the
//! account shows, however long a retry is held or under way.

use std::time::Duration;

use tokio::time::Instant;

use super::window::Rounding;
use super::window::WindowCount;

/// Numbers of retries of a service that count against the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Permitted and not written.
    pub reserved: u64,
    /// Written, for requests with attempts that may still arrive.
    pub in_flight: u64,
    /// Arrived within the window, or presumed to.
    pub arrived: u64,
}

/// The account of one service.
#[derive(Clone, Debug)]
pub(super) struct Account {
    requests: WindowCount,
    arrived: WindowCount,
    reserved: u64,
    in_flight: u64,
}

impl Account {
    pub(super) fn new(origin: Instant, window: Duration) -> Account {
        Account {
            requests: WindowCount::new(origin, window, Rounding::Shorter),
            arrived: WindowCount::new(origin, window, Rounding::Longer),
            reserved: 0,
            in_flight: 0,
        }
    }

    pub(super) fn record_request(&mut self, now: Instant) {
        // Bounds the buckets while no retry is asked for.
        self.requests.total(now);
        self.requests.add(now);
    }

    /// Returns the number of requests in the window.
    pub(super) fn requests(&mut self, now: Instant) -> u64 {
        self.requests.total(now)
    }

    pub(super) fn counts(&mut self, now: Instant) -> RetryCounts {
        RetryCounts {
            reserved: self.reserved,
            in_flight: self.in_flight,
            arrived: self.arrived.total(now),
        }
    }

    /// Reserves a retry if with it no more than `allowed` count.
    pub(super) fn try_reserve(&mut self, allowed: f64, now: Instant) -> bool {
        let counting = self.reserved + self.in_flight + self.arrived.total(now);
        let is_allowed = (counting + 1) as f64 <= allowed;
        self.reserved += u64::from(is_allowed);
        is_allowed
    }

    /// Gives a reserved retry back.
    pub(super) fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Moves a reserved retry into flight if with it no more than `allowed` have been sent: fewer may
    /// be allowed than when it was reserved.
    pub(super) fn try_send(&mut self, allowed: f64, now: Instant) -> bool {
        let sent = self.in_flight + self.arrived.total(now);
        if (sent + 1) as f64 > allowed {
            return false;
        }
        self.release();
        self.in_flight += 1;
        true
    }

    /// Makes a retry reserved again of which nothing was written.
    pub(super) fn undo_send(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.reserved += 1;
    }

    /// Counts a retry that is written without a reservation, whether it is allowed or not.
    pub(super) fn send_unreserved(&mut self) {
        self.in_flight += 1;
    }

    /// Ends the flight of a retry, which arrives at `latest_arrival` at the latest.
    pub(super) fn end_send(&mut self, latest_arrival: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.arrived.add(latest_arrival);
    }
}
