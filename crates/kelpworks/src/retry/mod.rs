//! Retries after failed attempts: whether and when to retry, cooldowns of upstreams that refused,
//! and the time after which a step counts as stalled.
//!
//! ```
//! use std::time::Duration;
//!
//! use kelpworks::retry::Attempt;
//! use kelpworks::retry::Decision;
//! use kelpworks::retry::RetryBudget;
//! use kelpworks::retry::RetryConfig;
//! use kelpworks::verdict::Verdict;
//!
//! let mut budget = RetryBudget::new(RetryConfig::default());
//! let attempt = Attempt {
//!     verdict: Verdict::NotRun,
//!     idempotent: false,
//!     attempts: 1,
//!     time_left: Duration::from_secs(10),
//! };
//! let decision = budget.decide(Duration::ZERO, &attempt, &mut rand::rng());
//! assert!(matches!(decision, Decision::RetryAfter(_)));
//! ```
//!
//! Limitations: each daemon has its own budget, cooldowns and deadlines; they are not shared.

mod budget;
mod busy;
mod deadline;

#[cfg(test)]
mod tests;

pub use crate::retry::budget::AbandonReason;
pub use crate::retry::budget::Attempt;
pub use crate::retry::budget::Decision;
pub use crate::retry::budget::RetryBudget;
pub use crate::retry::budget::RetryConfig;
pub use crate::retry::busy::BusyConfig;
pub use crate::retry::busy::Cooldowns;
pub use crate::retry::deadline::DeadlineConfig;
pub use crate::retry::deadline::StepDeadline;
