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
//! engine.want("layers 0..8");
//! engine.read_back(now, now, "layers 8..16");
//! assert_eq!(engine.due(now, Some(Token(3))), Some((Token(3), "layers 0..8")));
//! assert_eq!(engine.due(now, Some(Token(3))), None, "until the order's effect can be read");
//! assert_eq!(engine.due(now, None), None, "without the lease nothing is ordered");
//! ```

use crate::lease::Token;
use crate::time::Instant;
use crate::time::Span;

/// What one engine is to hold, and what it was last seen to hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Repair<S> {
    /// Longest time from sending an order to its effect.
    order_bound: Span,
    wanted: Option<S>,
    /// Last state read, and when its reading was asked for.
    read: Option<(S, Instant)>,
    ordered: Option<Instant>,
}

impl<S: Clone + PartialEq> Repair<S> {
    /// An engine of which nothing is known or wanted.
    pub fn new(order_bound: Span) -> Repair<S> {
        Repair {
            order_bound,
            wanted: None,
            read: None,
            ordered: None,
        }
    }

    /// Sets what the engine is to hold.
    pub fn want(&mut self, state: S) {
        self.wanted = Some(state);
    }

    /// Notes what the engine said that it holds, and when it was asked.
    ///
    /// Answers may come out of order: one that was asked for before the last is dropped.
    pub fn read_back(&mut self, now: Instant, asked: Instant, state: S) {
        debug_assert!(asked <= now);
        if self.read.as_ref().is_none_or(|(_, at)| *at <= asked) {
            self.read = Some((state, asked));
        }
    }

    /// Whether the engine was last seen to hold what is wanted.
    pub fn is_right(&self) -> bool {
        self.read.as_ref().map(|(s, _)| s) == self.wanted.as_ref()
    }

    /// The order that is due now; the caller sends it at once.
    ///
    /// None without the lease, without a reading, and after an order until a reading that was
    /// asked for after the order's bound still shows a difference.
    pub fn due(&mut self, now: Instant, fence: Option<Token>) -> Option<(Token, S)> {
        let token = fence?;
        let (_, asked) = self.read.as_ref()?;
        if self
            .ordered
            .is_some_and(|at| *asked < at + self.order_bound)
            || self.is_right()
        {
            return None;
        }
        let wanted = self.wanted.clone()?;
        self.ordered = Some(now);
        Some((token, wanted))
    }
}
