//! The share of a daemon that trials get: a rate that is set from outside, and a backstop that
//! shrinks while paying requests wait.

use std::time::Duration;

/// Factor applied to the backstop after an interval in which paying requests waited too long.
const DECREASE_FACTOR: f64 = 0.5;

/// Amount added to the backstop after an interval in which no paying request waited too long.
const INCREASE_STEP: f64 = 0.05;

/// Lower bound of the backstop. Some trials have to run for the daemon to observe that there is
/// capacity again.
const MIN_BACKSTOP: f64 = 0.05;

/// Maximum time over which unused rate accumulates.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Token bucket, in positions, that bounds the trials started by one daemon, and the backstop.
#[derive(Debug)]
pub(super) struct TrialShare {
    /// Rate in positions per second; infinite while none is set.
    rate: f64,
    /// Positions that may start now; negative after a request that cost more than was left.
    balance: f64,
    /// Time up to which `balance` has been refilled.
    refilled_at: Duration,
    /// Fraction of the rate and of the free slots that trials get, [`MIN_BACKSTOP`] to 1.
    backstop: f64,
}

impl TrialShare {
    pub(super) fn new() -> TrialShare {
        TrialShare {
            rate: f64::INFINITY,
            balance: 0.0,
            refilled_at: Duration::ZERO,
            backstop: 1.0,
        }
    }

    /// Sets the rate, in positions per second.
    pub(super) fn set_rate(&mut self, now: Duration, rate: f64) {
        self.refill(now);
        self.rate = rate.max(0.0);
        if self.rate.is_infinite() {
            self.balance = 0.0;
        }
    }

    /// Fraction of the free slots that trials get.
    pub(super) fn backstop(&self) -> f64 {
        self.backstop
    }

    /// Refills the balance and returns whether a request may start now.
    pub(super) fn may_start(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.rate.is_infinite() || self.balance > 0.0
    }

    /// Charges the cost of a request that starts to the balance.
    pub(super) fn charge(&mut self, cost: u32) {
        if self.rate.is_finite() {
            self.balance -= f64::from(cost);
        }
    }

    /// Refunds the part of a request's cost that it did not use.
    pub(super) fn refund(&mut self, cost: u32) {
        if self.rate.is_finite() {
            self.balance = (self.balance + f64::from(cost)).min(self.burst());
        }
    }

    /// Returns the time in seconds until a request may start that has a cost of `ahead` queued
    /// before it.
    pub(super) fn delay(&mut self, now: Duration, ahead: f64) -> f64 {
        self.refill(now);
        if self.rate.is_infinite() || ahead < self.balance {
            return 0.0;
        }
        (ahead - self.balance) / (self.rate * self.backstop)
    }

    /// Adjusts the backstop at the end of an interval. `paying_waited` is whether a paying request
    /// waited longer than [`Config::paying_delay_target`].
    ///
    /// [`Config::paying_delay_target`]: crate::admission::Config::paying_delay_target
    pub(super) fn adjust(&mut self, paying_waited: bool) {
        let next = if paying_waited {
            self.backstop * DECREASE_FACTOR
        } else {
            self.backstop + INCREASE_STEP
        };
        self.backstop = next.clamp(MIN_BACKSTOP, 1.0);
    }

    fn burst(&self) -> f64 {
        self.rate * BURST_WINDOW.as_secs_f64()
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        if self.rate.is_finite() {
            let gained = self.rate * self.backstop * passed;
            self.balance = (self.balance + gained).min(self.burst());
        }
    }
}
