//! The retry budget: retries are a fraction of recent successes, so that a failing stage cannot
//! multiply the load on itself and on others.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::verdict::Verdict;

/// Bounds on retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries that each success earns. Default 0.2.
    pub ratio: f64,
    /// What a retry takes from the budget when nothing of the request can have run, against 1
    /// otherwise. Default 0.25: a refusal costs an upstream next to nothing, and a caller should
    /// not lose an answer because several refused.
    pub not_run_cost: f64,
    /// Retries a second that are always earned, so that a daemon with few requests can retry at
    /// all. Default 2.
    pub min_per_second: f64,
    /// Retries saved up, at most. Default 50.
    pub burst: f64,
    /// Attempts of one request, at most. Default 10.
    pub max_attempts: u32,
    /// Bound of the first backoff; it doubles with each attempt. Default 20 ms.
    pub initial_backoff: Duration,
    /// Greatest bound of the backoff. Default 1 s.
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
    /// The worst verdict over its attempts.
    pub verdict: Verdict,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Attempts made; 1 after the first.
    pub attempts: u32,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Try again after this delay, elsewhere if possible.
    RetryAfter(Duration),
    /// Answer the caller now.
    Abandon(AbandonReason),
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum AbandonReason {
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// The caller's deadline comes first.
    Deadline,
    /// It was tried as often as is allowed.
    Attempts,
    /// Too many retries of late.
    Budget,
}

impl AbandonReason {
    /// The word for the log and the caller.
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

/// Retries that may still be made, over all requests of a daemon.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    /// Retries that may be made now, 0 to `cfg.burst`.
    balance: f64,
    /// Time of `balance`.
    updated_at: Duration,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(cfg: RetryConfig) -> RetryBudget {
        RetryBudget {
            balance: cfg.burst,
            updated_at: Duration::ZERO,
            cfg,
        }
    }

    /// Notes a success, which earns a part of a retry.
    pub fn record_success(&mut self) {
        self.earn(self.cfg.ratio);
    }

    /// Decides about a request whose attempt failed, and takes the retry from the budget. `now` is
    /// the time since one fixed moment.
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

    /// Full jitter: evenly from nothing to a bound that doubles with each attempt.
    fn backoff<R: Rng>(&self, attempts: u32, rng: &mut R) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let bound = self.cfg.initial_backoff * 2u32.pow(doublings);
        bound
            .min(self.cfg.max_backoff)
            .mul_f64(rng.random_range(0.0..1.0))
    }
}
