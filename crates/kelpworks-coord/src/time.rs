//! Monotonic time, as drivers pass it to the state machines.
//!
//! ```
//! use kelpworks_coord::time::Instant;
//! use kelpworks_coord::time::Span;
//!
//! let t = Instant::from_millis(5) + Span::from_millis(10);
//! assert_eq!(t, Instant::from_millis(15));
//! ```
//!
//! Instants of two daemons are not comparable: each daemon counts from its own start.

use std::ops::Add;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

/// A length of time in whole milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Span(u64);

impl Span {
    /// A span of length zero.
    pub const ZERO: Span = Span(0);

    /// Creates a span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms)
    }

    /// Creates a span of whole seconds.
    pub const fn from_secs(s: u64) -> Span {
        Span(s * 1_000)
    }

    /// Returns the length in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns this span multiplied by `n`; saturates at the numeric bounds.
    pub const fn times(self, n: u64) -> Span {
        Span(self.0.saturating_mul(n))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, rhs: Span) -> Span {
        Span(self.0.saturating_add(rhs.0))
    }
}

/// A point in time: milliseconds of a monotonic clock since the daemon's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The daemon's start.
    pub const ZERO: Instant = Instant(0);

    /// Creates the instant `ms` milliseconds after the daemon's start.
    pub const fn from_millis(ms: u64) -> Instant {
        Instant(ms)
    }

    /// Returns the milliseconds since the daemon's start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this instant; zero when `earlier` is later.
    pub const fn since(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Instant {
    type Output = Instant;

    fn add(self, rhs: Span) -> Instant {
        Instant(self.0.saturating_add(rhs.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;

    /// Returns the instant that much earlier, or the daemon's start if that is later.
    fn sub(self, rhs: Span) -> Instant {
        Instant(self.0.saturating_sub(rhs.0))
    }
}
