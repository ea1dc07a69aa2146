//! Limits on the requests that an upstream accepts, as it announces them.
//!
//! An overloaded upstream states in its answers how many requests a second it accepts from all
//! daemons together; the limit lasts for as long as its answers state it. The rate is divided
//! equally among a few daemons, which send one request at a time; the others send it none. So all
//! of them together stay within it without a message for each request: in any [`RATE_WINDOW`] they
//! send at most what the rate allows, and [`BURST`] more.
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
//! limiter.on_answer(Announcement::Limited(rate), sent, sent);
//! assert!(limiter.admit(sent).is_none(), "no share is known yet");
//!
//! limiter.set_share(1.0, sent);
//! let later = sent + Duration::from_secs(1);
//! assert!(limiter.admit(later).is_some());
//! assert!(limiter.admit(later).is_none(), "two a second");
//!
//! limiter.on_answer(Announcement::Unlimited, later, later + Duration::from_millis(1));
//! assert!(limiter.admit(later).is_some());
//! ```
//!
//! Limits: a share that its daemon does not use is lost. Requests that an upstream receives as a
//! later engine of a path don't count, nor do orders and queries of its state.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Length of the sliding window within which requests are bounded.
pub const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Requests that all daemons together may send in a window beyond what the rate allows.
pub const BURST: f64 = 5.0;
/// Fraction of a rate that is shared out. The rest allows for the requests that its holders send
/// at the same time.
const SHARED_FRACTION: f64 = 0.9;
/// Minimum rate of a limit, in requests per second, whatever is announced: the end of a limit is
/// only seen in answers.
const MIN_LIMIT_PER_SECOND: f64 = 0.1;

/// Requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// Returns `None` for a number that is negative or not finite.
    pub fn per_second(rate: f64) -> Option<Rate> {
        (rate.is_finite() && rate >= 0.0).then_some(Rate(rate.abs()))
    }

    /// Returns the requests per second.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Returns the maximum number of daemons that may share the rate. Each may send a request at
    /// any moment, whatever its share, so a window may hold one for each of them beyond what the
    /// rate allows.
    pub fn max_holders(self) -> usize {
        let unshared = (1.0 - SHARED_FRACTION) * self.0 * RATE_WINDOW.as_secs_f64();
        (BURST + unshared) as usize
    }
}

/// What an answer states about the requests that its upstream accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Announcement {
    /// Any number of requests.
    #[default]
    Unlimited,
    /// At most this rate from all daemons together.
    Limited(Rate),
    /// An announcement that can't be parsed, which changes nothing.
    Unreadable,
}

/// The latest known announcement of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LatestAnnouncement {
    /// `None` since the limit ended.
    rate: Option<Rate>,
    /// When an answer last announced it.
    at: Instant,
}

/// A limit that began, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The previous rate; `None` without a limit.
    pub before: Option<Rate>,
    /// The new rate; `None` if the limit ended.
    pub now: Option<Rate>,
}

/// The request limit of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limiter {
    latest: Option<LatestAnnouncement>,
    /// Whether the last announcement could not be parsed.
    unreadable: bool,
    /// Fraction of the rate that this daemon may use, 0 to 1.
    share: f64,
    /// When a request was last admitted, or when the limit or this daemon's share of it began.
    last_admission: Option<Instant>,
}

/// A request that the limit admitted and that is not sent yet.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub struct Admission {
    at: Instant,
    before: Option<Instant>,
}

impl Limiter {
    /// Returns the limit in force; `None` without one.
    pub fn rate(&self) -> Option<Rate> {
        self.latest.and_then(|k| k.rate)
    }

    /// Applies the announcement in the answer to a request that was sent at `sent`.
    ///
    /// Answers may overtake each other, so a lower limit takes effect at once, but a higher one or
    /// none only in an answer to a request that was sent after the limit was last announced.
    pub fn on_answer(
        &mut self,
        announcement: Announcement,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let rate = match announcement {
            Announcement::Unlimited => None,
            Announcement::Limited(rate) => Some(rate),
            Announcement::Unreadable => return None,
        };
        let is_looser = match (self.rate(), rate) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(before), Some(rate)) => rate > before,
        };
        let is_old = self.latest.is_some_and(|k| sent <= k.at);
        let is_unlimited = self.rate().is_none() && rate.is_none();
        if (is_looser && is_old) || is_unlimited {
            return None;
        }
        self.set(rate, now, now)
    }

    /// Applies a peer's report of an announcement made at `at`; the latest announcement takes
    /// effect.
    pub fn on_report(
        &mut self,
        rate: Option<Rate>,
        at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        if self.latest.is_some_and(|k| at <= k.at) {
            return None;
        }
        self.set(rate, at, now)
    }

    /// Returns the latest announcement and when it was made; the rate is `None` if it ended the
    /// limit.
    pub fn latest_announcement(&self) -> Option<(Option<Rate>, Instant)> {
        self.latest.map(|k| (k.rate, k.at))
    }

    /// Sets the fraction of the rate that this daemon may use.
    pub fn set_share(&mut self, share: f64, now: Instant) {
        if self.share <= 0.0 {
            self.last_admission = Some(now);
        }
        self.share = share;
    }

    /// Returns the time until the next request is admitted; `None` while this daemon has no share.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let Some(rate) = self.rate() else {
            return Some(Duration::ZERO);
        };
        let per_second = rate.get().max(MIN_LIMIT_PER_SECOND) * SHARED_FRACTION * self.share;
        let interval = Duration::try_from_secs_f64(per_second.recip()).ok()?;
        let next = self
            .last_admission
            .map_or(now, |last_admission| last_admission + interval);
        Some(next.saturating_duration_since(now))
    }

    /// Returns whether a request may be sent now.
    pub fn admits(&self, now: Instant) -> bool {
        self.wait(now).is_some_and(|wait| wait.is_zero())
    }

    /// Admits a request now if the limit allows one.
    pub fn admit(&mut self, now: Instant) -> Option<Admission> {
        if !self.admits(now) {
            return None;
        }
        let before = self.last_admission.replace(now);
        Some(Admission { at: now, before })
    }

    /// Takes back an admission whose request was not sent, unless a later one was granted.
    pub fn refund(&mut self, admission: Admission) {
        if self.last_admission == Some(admission.at) {
            self.last_admission = admission.before;
        }
    }

    /// Returns whether an announcement can't be parsed and the one before it could, so that each
    /// series of unreadable ones is logged once.
    pub fn is_first_unreadable(&mut self, announcement: Announcement) -> bool {
        let is_unreadable = announcement == Announcement::Unreadable;
        let was_unreadable = std::mem::replace(&mut self.unreadable, is_unreadable);
        is_unreadable && !was_unreadable
    }

    fn set(&mut self, rate: Option<Rate>, at: Instant, now: Instant) -> Option<LimitChange> {
        // Time before the limit earns no credit.
        if self.rate().is_none() {
            self.last_admission = Some(now);
        }
        let change = LimitChange {
            before: self.rate(),
            now: rate,
        };
        self.latest = Some(LatestAnnouncement { rate, at });
        (change.before != change.now).then_some(change)
    }
}
