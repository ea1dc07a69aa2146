//! Level-triggered repair: orders follow from what is wanted and what was last read back.
//!
//! No order is remembered as done. A holder of the placement lease reads each engine's state and
//! orders the difference, as often as there is one; so an order that was lost, or a stale one that
//! an engine took from an earlier holder, is made good by the next reading.
//!
//! ```
//! use kelpworks_coord::lease::Token;
//! use kelpworks_coord::repair::Repair;
//! use kelpworks_coord::time::*;
//!
//! let mut engine = Repair::new(Span::from_secs(2));
//! let now = Instant::ZERO;
//! engine.set_desired("layers 0..8");
//! engine.observe(now, now, "layers 8..16");
//! assert_eq!(engine.due_order(now, Some(Token(3))), Some((Token(3), "layers 0..8")));
//! assert_eq!(engine.due_order(now, Some(Token(3))), None, "until the order's effect can be read");
//! assert_eq!(engine.due_order(now, None), None, "without the lease nothing is ordered");
//! ```

use crate::lease::Token;
use crate::time::Instant;
use crate::time::Span;

/// What one engine is to hold, and what it was last seen to hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Repair<S> {
    /// Longest time from sending an order to its effect.
    order_bound: Span,
    desired: Option<S>,
    /// Last state read, and when its reading was asked for.
    observed: Option<(S, Instant)>,
    last_order_at: Option<Instant>,
}

impl<S: Clone + PartialEq> Repair<S> {
    /// An engine of which nothing is known or wanted.
    pub fn new(order_bound: Span) -> Repair<S> {
        Repair {
            order_bound,
            desired: None,
            observed: None,
            last_order_at: None,
        }
    }

    /// Sets what the engine is to hold.
    pub fn set_desired(&mut self, state: S) {
        self.desired = Some(state);
    }

    /// Notes what the engine said that it holds, and when it was asked.
    ///
    /// Answers may come out of order: one that was asked for before the last is dropped.
    pub fn observe(&mut self, now: Instant, queried_at: Instant, state: S) {
        debug_assert!(queried_at <= now);
        if self
            .observed
            .as_ref()
            .is_none_or(|(_, at)| *at <= queried_at)
        {
            self.observed = Some((state, queried_at));
        }
    }

    /// Whether the engine was last seen to hold what is wanted.
    pub fn is_converged(&self) -> bool {
        self.observed.as_ref().map(|(s, _)| s) == self.desired.as_ref()
    }

    /// The order that is due now; the caller sends it at once.
    ///
    /// None without the lease, without a reading, and after an order until a reading that was
    /// asked for after the order's bound still shows a difference.
    pub fn due_order(&mut self, now: Instant, fencing_token: Option<Token>) -> Option<(Token, S)> {
        let token = fencing_token?;
        let (_, queried_at) = self.observed.as_ref()?;
        if self
            .last_order_at
            .is_some_and(|at| *queried_at < at + self.order_bound)
            || self.is_converged()
        {
            return None;
        }
        let desired = self.desired.clone()?;
        self.last_order_at = Some(now);
        Some((token, desired))
    }
}
