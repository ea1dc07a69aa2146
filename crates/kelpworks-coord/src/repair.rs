//! Level-triggered reconciliation of an engine's state: orders follow from the desired state and
//! the last observed state.
//!
//! No order is recorded as done. The holder of the placement lease reads each engine's state and
//! orders the difference, as often as there is one. So a lost order, or a stale order that an
//! engine accepted from an earlier holder, is corrected after the next read.
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

/// Desired and last observed state of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Repair<S> {
    /// Longest time from sending an order until its effect can be read.
    order_bound: Span,
    desired: Option<S>,
    /// Last state read, and when the query for it was sent.
    observed: Option<(S, Instant)>,
    last_order_at: Option<Instant>,
}

impl<S: Clone + PartialEq> Repair<S> {
    /// Creates the state of an engine with no desired and no observed state.
    ///
    /// `order_bound` is the longest time from sending an order until its effect can be read.
    pub fn new(order_bound: Span) -> Repair<S> {
        Repair {
            order_bound,
            desired: None,
            observed: None,
            last_order_at: None,
        }
    }

    /// Sets the state that the engine should have.
    pub fn set_desired(&mut self, state: S) {
        self.desired = Some(state);
    }

    /// Records the state that the engine reported, and when it was queried.
    ///
    /// Answers may come out of order: the answer to an earlier query than the latest answered one
    /// is dropped.
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

    /// Returns whether the last observed state equals the desired state.
    pub fn is_converged(&self) -> bool {
        self.observed.as_ref().map(|(s, _)| s) == self.desired.as_ref()
    }

    /// Returns the order that is due now; the caller sends it at once.
    ///
    /// Returns `None` without the lease (no fencing token), before the first observed state, and
    /// after an order until a state that was queried after the order bound still shows a
    /// difference.
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
