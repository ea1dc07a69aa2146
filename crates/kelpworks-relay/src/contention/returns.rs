//! The times at which refused callers are told to return.
//!
//! Callers that all return at once are refused again, and each has a single retry. So each refused request of a level
//! gets a time of its own, and those of a level follow each other at a part of the rate at which its requests are
//! admitted; the rest of that rate is for new requests.

use std::time::Duration;

use tokio::time::Instant;

use super::levels::Level;
use super::levels::MAX_LEVELS;

/// Minimum delay of a retry: a shortage lasts seconds.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum delay of a retry, and how far ahead times are booked. Callers whose deadline is 20 s away when they ask
/// honour it even after a wait of a second: it is under a quarter of the time that they have left then.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(4_500);
/// Interval before [`MAX_RETRY_DELAY`] over which retries are spread that can't be booked.
const OVERFLOW_SPREAD: Duration = Duration::from_millis(1_500);
/// Maximum interval over which the first retry of a schedule is spread, so that daemons that refuse requests at the same
/// time don't get them back at the same time.
const START_SPREAD: Duration = Duration::from_millis(500);
/// Part of the admission rate that is for retries.
const RETRY_SHARE: f64 = 0.5;
/// Time constant with which admissions are forgotten.
const RATE_PERIOD: Duration = Duration::from_secs(4);
/// Step of the sequence from which spreads are derived: 2^64 divided by the golden ratio, which keeps any number of
/// successive values apart.
const SPREAD_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Retries of one service, as this daemon books them.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    schedules: [Schedule; MAX_LEVELS],
    /// Value from which the next spread is derived.
    sequence: u64,
}

/// Retries of one level.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    /// Number of admissions, decayed until `decayed_at`.
    admitted: f64,
    decayed_at: Option<Instant>,
    /// When the next retry may come.
    next: Option<Instant>,
}

impl Returns {
    /// Creates empty schedules. `seed` is to differ between daemons, such as a hash of the daemon's name.
    pub fn new(seed: u64) -> Returns {
        Returns {
            schedules: Default::default(),
            sequence: seed,
        }
    }

    /// Counts a request of a level that took capacity, whether it had waited or not.
    pub fn record_admission(&mut self, level: Level, now: Instant) {
        let schedule = &mut self.schedules[level.index()];
        schedule.admitted = schedule.admissions(now) + 1.0;
        schedule.decayed_at = Some(now);
    }

    /// Books a time for the retry of a refused request; returns the delay until then, between [`MIN_RETRY_DELAY`] and
    /// [`MAX_RETRY_DELAY`]. It comes after the retries of more urgent levels. When too many are booked already, the
    /// delay is near the maximum and no time is booked.
    pub fn retry_after(&mut self, level: Level, now: Instant) -> Duration {
        let spread = self.next_spread();
        let gap = self.schedules[level.index()].gap(now);
        let earliest = now + MIN_RETRY_DELAY;
        let as_urgent = &self.schedules[..=level.index()];
        let booked = as_urgent.iter().filter_map(|s| s.next).max();
        let at = match booked.filter(|&booked| booked > earliest) {
            Some(booked) => booked,
            None => earliest + gap.min(START_SPREAD).mul_f64(spread),
        };
        if at > now + MAX_RETRY_DELAY {
            return MAX_RETRY_DELAY - OVERFLOW_SPREAD.mul_f64(spread);
        }
        self.schedules[level.index()].next = Some(at + gap);
        at - now
    }

    /// Returns a value from 0 to below 1 that is far from those before it.
    fn next_spread(&mut self) -> f64 {
        self.sequence = self.sequence.wrapping_add(SPREAD_STEP);
        (self.sequence >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl Schedule {
    /// Decayed number of admissions.
    fn admissions(&self, now: Instant) -> f64 {
        let age = self.decayed_at.map(|at| now.saturating_duration_since(at));
        let periods = age.unwrap_or_default().as_secs_f64() / RATE_PERIOD.as_secs_f64();
        self.admitted * (-periods).exp()
    }

    /// Minimum time between two retries, at most [`MAX_RETRY_DELAY`]. Without any admission, that.
    fn gap(&self, now: Instant) -> Duration {
        let rate = self.admissions(now) / RATE_PERIOD.as_secs_f64();
        let gap = 1.0 / (rate * RETRY_SHARE);
        Duration::from_secs_f64(gap.min(MAX_RETRY_DELAY.as_secs_f64()))
    }
}
