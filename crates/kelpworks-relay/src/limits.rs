//! Limits on the requests that an upstream takes, as it announces them.
//!
//! An upstream in need says in its answers how many requests a second it takes from all daemons together, for
//! as long as its answers say so. The rate is shared out in equal parts among a few daemons, which send one
//! request at a time; the others send it none. So all of them together stay within it without a message for
//! each request: in any [`RATE_WINDOW`] at most what the rate allows, and [`BURST`] more.
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
//! Limits: a share that its daemon has no use for is lost. Requests that an upstream gets as a later engine of a
//! path don't count, nor do orders and questions about its state.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Any span of this length counts.
pub const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Requests that all daemons may send in a window beyond what the rate allows.
pub const BURST: f64 = 5.0;
/// Part of a rate that is shared out. The rest allows for the requests that its holders send at the same time.
const SHARED_FRACTION: f64 = 0.9;
/// Least rate used for a limit: the end of a limit is only seen in answers.
const MIN_LIMIT_PER_SECOND: f64 = 0.1;

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

    /// Most daemons that may share it. Each may send a request at any moment, whatever its share, so that in a
    /// window there is one for each holder beside what the rate allows.
    pub fn max_holders(self) -> usize {
        let unshared = (1.0 - SHARED_FRACTION) * self.0 * RATE_WINDOW.as_secs_f64();
        (BURST + unshared) as usize
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
struct LatestAnnouncement {
    /// None since the limit ended.
    rate: Option<Rate>,
    /// When an answer last said so.
    at: Instant,
}

/// A limit that began, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The rate that was known before.
    pub before: Option<Rate>,
    /// The rate from now on.
    pub now: Option<Rate>,
}

/// What is known of the limit of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limiter {
    latest: Option<LatestAnnouncement>,
    /// Whether the last announcement could not be read.
    unreadable: bool,
    /// Part of the rate that this daemon may use, 0 to 1.
    share: f64,
    /// When a request was last admitted, or when the limit or a share of it began.
    last_admission: Option<Instant>,
}

/// A request that a limit admits, not sent yet.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub struct Admission {
    at: Instant,
    before: Option<Instant>,
}

impl Limiter {
    /// The limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.latest.and_then(|k| k.rate)
    }

    /// Takes what an answer announces to a request that was sent at a moment.
    ///
    /// Answers overtake each other, so a lower limit counts at once, but a higher one or none only in an
    /// answer to a request that was sent after the limit was last announced.
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

    /// Takes what a peer reports of an announcement made at a moment; the latest one counts.
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

    /// The latest announcement, and when it was made; no rate where it ended the limit.
    pub fn latest_announcement(&self) -> Option<(Option<Rate>, Instant)> {
        self.latest.map(|k| (k.rate, k.at))
    }

    /// Sets the part of the rate that this daemon may use.
    pub fn set_share(&mut self, share: f64, now: Instant) {
        if self.share <= 0.0 {
            self.last_admission = Some(now);
        }
        self.share = share;
    }

    /// Time until the next request is admitted; `None` while this daemon has no share.
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

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Instant) -> bool {
        self.wait(now).is_some_and(|wait| wait.is_zero())
    }

    /// Admits a request now, if the limit allows one.
    pub fn admit(&mut self, now: Instant) -> Option<Admission> {
        if !self.admits(now) {
            return None;
        }
        let before = self.last_admission.replace(now);
        Some(Admission { at: now, before })
    }

    /// Takes back an admission of which nothing came, unless there was a later one.
    pub fn refund(&mut self, admission: Admission) {
        if self.last_admission == Some(admission.at) {
            self.last_admission = admission.before;
        }
    }

    /// Whether an announcement can't be read and the one before it could, so that each such series is logged
    /// once.
    pub fn is_first_unreadable(&mut self, announcement: Announcement) -> bool {
        let is_unreadable = announcement == Announcement::Unreadable;
        let was_unreadable = std::mem::replace(&mut self.unreadable, is_unreadable);
        is_unreadable && !was_unreadable
    }

    fn set(&mut self, rate: Option<Rate>, at: Instant, now: Instant) -> Option<LimitChange> {
        // Nothing is saved up from before a limit.
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
