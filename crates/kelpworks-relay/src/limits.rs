//! Limits on the requests that an upstream takes, as it announces them.
//!
//! An upstream in need says in its answers how many requests a second it takes from all daemons together, for
//! as long as its answers say so.
//!
//! ```
//! use std::time::Duration;
//!
//! use kelpworks_relay::limits::Announcement;
//! use kelpworks_relay::limits::Limiter;
//! use kelpworks_relay::limits::Rate;
//! use tokio::time::Instant;
//!
//! let mut limiter = Limiter::default();
//! let sent = Instant::now();
//! let rate = Rate::per_second(2.0).expect("a rate");
//! limiter.hear(Announcement::Limited(rate), sent, sent);
//! assert_eq!(limiter.rate(), Some(rate));
//!
//! let later = sent + Duration::from_millis(1);
//! limiter.hear(Announcement::Unlimited, later, later);
//! assert_eq!(limiter.rate(), None);
//! ```

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Requests a second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// `None` for a number that is no rate.
    pub fn per_second(rate: f64) -> Option<Rate> {
        (rate.is_finite() && rate >= 0.0).then_some(Rate(rate.abs()))
    }

    /// Requests a second.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// What an answer says of the requests that its upstream takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Announcement {
    /// Any number.
    #[default]
    Unlimited,
    /// So many from all daemons together.
    Limited(Rate),
    /// Something that can't be read, which changes nothing.
    Unreadable,
}

/// The latest announcement that is known of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    /// None since the limit ended.
    rate: Option<Rate>,
    /// When an answer last said so.
    at: Instant,
}

/// A limit that began, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The rate that was known before.
    pub before: Option<Rate>,
    /// The rate from now on.
    pub now: Option<Rate>,
}

/// What is known of the limit of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limiter {
    known: Option<Known>,
    /// Whether the last announcement could not be read.
    unreadable: bool,
}

impl Limiter {
    /// The limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.known.and_then(|k| k.rate)
    }

    /// Takes what an answer to a request says that was sent at a moment.
    ///
    /// Answers overtake each other, so a lower limit counts at once, but a higher one or none only in an
    /// answer to a request that was sent after the limit was last announced.
    pub fn hear(&mut self, said: Announcement, sent: Instant, now: Instant) -> Option<Change> {
        let rate = match said {
            Announcement::Unlimited => None,
            Announcement::Limited(rate) => Some(rate),
            Announcement::Unreadable => return None,
        };
        let looser = match (self.rate(), rate) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(before), Some(rate)) => rate > before,
        };
        let is_old = self.known.is_some_and(|k| sent <= k.at);
        if (looser && is_old) || (self.known.is_none() && rate.is_none()) {
            return None;
        }
        self.set(rate, now)
    }

    /// Whether an announcement can't be read and the one before it could, so that each such series is logged
    /// once.
    pub fn is_first_unreadable(&mut self, said: Announcement) -> bool {
        let is_unreadable = said == Announcement::Unreadable;
        let was_unreadable = std::mem::replace(&mut self.unreadable, is_unreadable);
        is_unreadable && !was_unreadable
    }

    fn set(&mut self, rate: Option<Rate>, at: Instant) -> Option<Change> {
        let change = Change {
            before: self.rate(),
            now: rate,
        };
        self.known = Some(Known { rate, at });
        (change.before != change.now).then_some(change)
    }
}
