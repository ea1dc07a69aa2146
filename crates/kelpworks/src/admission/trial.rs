//! How much trials may take: a rate set from outside, and a backstop that gives way to paying work.

use std::time::Duration;

/// Factor by which the backstop falls when paying requests had to wait.
const DECREASE_FACTOR: f64 = 0.5;

/// What the backstop gains in each interval in which none had to wait.
const INCREASE_STEP: f64 = 0.05;

/// Least value of the backstop, so that it can be seen to work again.
const MIN_BACKSTOP: f64 = 0.05;

/// Longest time for which unused rate is saved up.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// The trials' part of one daemon.
#[derive(Debug)]
pub(super) struct TrialShare {
    /// Positions a second; infinite while none is set.
    rate: f64,
    /// Positions that may start now; below zero after a request of greater cost.
    balance: f64,
    /// Time of `balance`.
    refilled_at: Duration,
    /// Part of the rate and of the free slots that trials get, [`MIN_BACKSTOP`] to 1.
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

    /// Sets the rate, in positions a second.
    pub(super) fn set_rate(&mut self, now: Duration, rate: f64) {
        self.refill(now);
        self.rate = rate.max(0.0);
        if self.rate.is_infinite() {
            self.balance = 0.0;
        }
    }

    /// Part of the free slots that trials get.
    pub(super) fn backstop(&self) -> f64 {
        self.backstop
    }

    /// Takes a cost from the balance, if a request may start.
    pub(super) fn may_start(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.rate.is_infinite() || self.balance > 0.0
    }

    /// Charges the cost of a request that starts.
    pub(super) fn charge(&mut self, cost: u32) {
        if self.rate.is_finite() {
            self.balance -= f64::from(cost);
        }
    }

    /// Gives back what a request did not use.
    pub(super) fn refund(&mut self, cost: u32) {
        if self.rate.is_finite() {
            self.balance = (self.balance + f64::from(cost)).min(self.burst());
        }
    }

    /// Time until a request may start behind others of this cost, in seconds.
    pub(super) fn delay(&mut self, now: Duration, ahead: f64) -> f64 {
        self.refill(now);
        if self.rate.is_infinite() || ahead < self.balance {
            return 0.0;
        }
        (ahead - self.balance) / (self.rate * self.backstop)
    }

    /// Adjusts the backstop; `paying_waited` says whether paying requests had to wait.
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
