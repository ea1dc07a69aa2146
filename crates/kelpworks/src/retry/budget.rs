//! The retry budget. It limits retries to a fraction of recent successes, so that a failing stage
//! does not multiply the load on itself and on other stages.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::verdict::Verdict;

/// Limits of the retry budget and of the backoff.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryConfig {
    /// Number of retries that each success adds to the budget. Default 0.2.
    pub ratio: f64,
    /// Amount that a retry takes from the budget when no part of the request can have run; other
    /// retries take 1. Default 0.25: a refusal costs an upstream next to nothing, and a caller
    /// should not lose an answer because several upstreams refused.
    pub not_run_cost: f64,
    /// Retries per second that are added to the budget regardless of successes, so that a daemon
    /// with few requests can retry at all. Default 2.
    pub min_per_second: f64,
    /// Maximum number of retries in the budget. Default 50.
    pub burst: f64,
    /// Maximum number of attempts of one request. Default 10.
    pub max_attempts: u32,
    /// Upper bound of the first backoff; the bound doubles with each attempt. Default 20 ms.
    pub initial_backoff: Duration,
    /// Upper bound of all backoffs. Default 1 s.
    pub max_backoff: Duration,
}

impl Default for RetryConfig {
    fn default() -> RetryConfig {
        RetryConfig {
            ratio: 0.2,
            not_run_cost: 0.25,
            min_per_second: 2.0,
            burst: 50.0,
            max_attempts: 10,
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// A request whose last attempt failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// Worst verdict over all attempts of the request.
    pub verdict: Verdict,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of attempts made; 1 after the first.
    pub attempts: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Retry after this delay, on another upstream if possible.
    RetryAfter(Duration),
    /// Do not retry; report the failure to the caller now.
    Abandon(AbandonReason),
}

/// Reason why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum AbandonReason {
    /// The request may have run and is not idempotent.
    MayHaveRun,
    /// The retry would start at or after the caller's deadline.
    Deadline,
    /// [`RetryConfig::max_attempts`] is reached.
    Attempts,
    /// The retry budget is exhausted.
    Budget,
}

impl AbandonReason {
    /// Text for log lines and for the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            AbandonReason::MayHaveRun => "may have run and is not idempotent",
            AbandonReason::Deadline => "deadline",
            AbandonReason::Attempts => "attempts",
            AbandonReason::Budget => "retry budget",
        }
    }
}

impl fmt::Display for AbandonReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Retry budget over all requests of a daemon.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    /// Number of retries that may be made now, 0 to `cfg.burst`.
    balance: f64,
    /// Time up to which `cfg.min_per_second` has been added to `balance`.
    updated_at: Duration,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(cfg: RetryConfig) -> RetryBudget {
        RetryBudget {
            balance: cfg.burst,
            updated_at: Duration::ZERO,
            cfg,
        }
    }

    /// Records a success, which adds [`RetryConfig::ratio`] to the budget.
    pub fn record_success(&mut self) {
        self.earn(self.cfg.ratio);
    }

    /// Decides whether to retry a request whose attempt failed, and charges the retry to the
    /// budget. `now` is the time since a fixed moment, the same for all calls.
    pub fn decide<R: Rng>(&mut self, now: Duration, attempt: &Attempt, rng: &mut R) -> Decision {
        let passed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.earn(self.cfg.min_per_second * passed.as_secs_f64());
        if attempt.verdict == Verdict::MayHaveRun && !attempt.idempotent {
            return Decision::Abandon(AbandonReason::MayHaveRun);
        }
        if attempt.attempts >= self.cfg.max_attempts {
            return Decision::Abandon(AbandonReason::Attempts);
        }
        let delay = self.backoff(attempt.attempts, rng);
        if delay >= attempt.time_left {
            return Decision::Abandon(AbandonReason::Deadline);
        }
        let cost = match attempt.verdict {
            Verdict::NotRun => self.cfg.not_run_cost,
            Verdict::MayHaveRun => 1.0,
        };
        if self.balance < cost {
            return Decision::Abandon(AbandonReason::Budget);
        }
        self.balance -= cost;
        Decision::RetryAfter(delay)
    }

    fn earn(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.cfg.burst);
    }

    /// Returns a backoff with full jitter: uniform from zero to a bound that doubles with each
    /// attempt.
    fn backoff<R: Rng>(&self, attempts: u32, rng: &mut R) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let bound = self.cfg.initial_backoff * 2u32.pow(doublings);
        bound
            .min(self.cfg.max_backoff)
            .mul_f64(rng.random_range(0.0..1.0))
    }
}
