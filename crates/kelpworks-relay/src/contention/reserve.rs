//! How much capacity each urgency level leaves to more urgent ones.
//!
//! While more urgent requests are short of capacity, less urgent ones may only fill an engine up to a limit. They are
//! refused at once where more urgent ones still find room, and as requests end all the time, a limit a little below the
//! whole is enough. How far below depends on the sizes of requests and engines, so it is found by control: the reserve
//! of a level grows with the shortage of all more urgent levels together, and shrinks when there is none.
//!
//! ```
//! use std::time::Duration;
//!
//! use kelpworks_relay::contention::levels::Level;
//! use kelpworks_relay::contention::levels::MAX_LEVELS;
//! use kelpworks_relay::contention::reserve::Reserve;
//! use kelpworks_relay::contention::shortage::LevelRates;
//! use tokio::time::Instant;
//!
//! let mut rates = [LevelRates::default(); MAX_LEVELS];
//! rates[0] = LevelRates { asked: 10.0, short: 3.0 };
//! rates[1] = LevelRates { asked: 10.0, short: 0.0 };
//!
//! let start = Instant::now();
//! let mut reserve = Reserve::default();
//! for tick in 0..8 {
//!     reserve.update(&rates, start + tick * Duration::from_millis(250));
//! }
//! assert_eq!(reserve.fill_limit(Level(0)), 1.0);
//! assert!(reserve.fill_limit(Level(1)) < 1.0);
//! ```
//!
//! Limits: the rates tell nothing about capacity, so a shortage is only answered once there is one.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::levels::Level;
use super::levels::MAX_LEVELS;
use super::shortage::LevelRates;
use super::shortage::kept_after;

/// Minimum limit: a fleet that is less than half full refuses nobody.
pub const MIN_FILL_LIMIT: f64 = 0.5;
/// Fraction of the more urgent requests that may be short.
const MAX_SHORT_FRACTION: f64 = 0.02;
/// Time over which requests count as short now. Decayed rates tell of a shortage for seconds after its end, and a reserve
/// that follows them grows far too large.
const RECENT: Duration = Duration::from_secs(1);
/// Minimum time between samples of the rates, which bounds their number.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between two updates that counts, so that a pause of the process is no long shortage.
const MAX_STEP: Duration = Duration::from_millis(500);
/// Growth of the reserve, per second, for each excess of the fraction that is short. The rates are about half a second
/// old: at twice this, a burst of some seconds leaves a reserve that refuses a fifth of what could be served.
const GROWTH_PER_SECOND: f64 = 0.12;
/// Time in which the reserve falls to 1/e while its level lacks capacity. In steady overload, a reserve that ends sooner
/// is followed by the next shortage, and the limit oscillates.
const RELEASE_TIME: Duration = Duration::from_secs(8);
/// Fraction of the level's own requests from which it lacks capacity.
const MIN_OWN_SHORT_FRACTION: f64 = 0.05;
/// Time for which a level has lacked no capacity after which its reserve is not needed.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);
/// Fall of a reserve that is not needed, per second.
const QUIET_RELEASE_PER_SECOND: f64 = 0.2;
/// Least difference between the reserves of two levels that ask. The less urgent one is limited first: mostly that is
/// enough, and the more urgent one of both needs no limit.
const LEVEL_GAP: f64 = 0.03;
/// Fraction of all requests from which a level counts as one that asks.
const MIN_ASKED_FRACTION: f64 = 0.01;
/// Fraction of the decayed rate below which the recent one is only an error of the estimate.
const MIN_RECENT_FRACTION: f64 = 0.05;

/// Limits up to which requests of each level may fill engines.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    levels: [LevelReserve; MAX_LEVELS],
    /// Rates in the last [`RECENT`], ascending by time; the first one may be older.
    samples: VecDeque<Sample>,
}

/// Reserve that a level leaves to more urgent ones, as fractions of the capacity.
#[derive(Clone, Copy, Debug, Default)]
struct LevelReserve {
    /// Follows from the shortage; at most `1 - MIN_FILL_LIMIT`, and not less than that of the more urgent level.
    required: f64,
    /// In force: at least [`LEVEL_GAP`] less than that of the less urgent level.
    applied: f64,
    /// When the level itself last lacked capacity.
    last_short: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    rates: [LevelRates; MAX_LEVELS],
}

impl Reserve {
    /// Adapts the limits to the rates of the fleet, which are decayed over [`super::shortage::DECAY`]. To be called
    /// several times a second.
    pub fn update(&mut self, pooled: &[LevelRates; MAX_LEVELS], now: Instant) {
        let last = self.samples.back().map(|sample| sample.at);
        let elapsed = last.map_or(MAX_STEP, |at| now.duration_since(at));
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        self.add_sample(pooled, now);
        let recent = self.recent(pooled, now);
        let step = elapsed.min(MAX_STEP).as_secs_f64();
        let mut urgent = LevelRates::default();
        for level in 1..MAX_LEVELS {
            urgent.asked += recent[level - 1].asked;
            urgent.short += recent[level - 1].short;
            let excess = (short_fraction(urgent) - MAX_SHORT_FRACTION).max(0.0);
            let own_fraction = short_fraction(recent[level]);
            let more_urgent = self.levels[level - 1];
            let reserve = &mut self.levels[level];
            if own_fraction >= MIN_OWN_SHORT_FRACTION {
                reserve.last_short = Some(now);
            }
            reserve.adapt(excess, step, now);
            // What a more urgent level leaves free, a less urgent one does not fill.
            reserve.required = reserve.required.max(more_urgent.required);
        }
        self.apply(pooled);
    }

    /// Returns the fraction of an engine's capacity up to which requests of a level may fill it: from
    /// [`MIN_FILL_LIMIT`] to 1.0, and 1.0 for the most urgent level. Levels beyond the last count as the last.
    pub fn fill_limit(&self, level: Level) -> f64 {
        let level = usize::from(level.0).min(MAX_LEVELS - 1);
        1.0 - self.levels[level].applied
    }

    fn add_sample(&mut self, pooled: &[LevelRates; MAX_LEVELS], now: Instant) {
        let rates = *pooled;
        self.samples.push_back(Sample { at: now, rates });
        let is_old = |sample: &Sample| now.duration_since(sample.at) >= RECENT;
        while self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    /// Returns the rates of the requests since the first sample, each with its decayed weight.
    fn recent(&self, pooled: &[LevelRates; MAX_LEVELS], now: Instant) -> [LevelRates; MAX_LEVELS] {
        let Some(first) = self.samples.front() else {
            return *pooled;
        };
        let kept = kept_after(now.duration_since(first.at));
        std::array::from_fn(|level| {
            let (before, rates) = (first.rates[level], pooled[level]);
            let asked = rates.asked - before.asked * kept;
            let short = rates.short - before.short * kept;
            if asked > rates.asked * MIN_RECENT_FRACTION {
                LevelRates { asked, short }
            } else {
                LevelRates::default()
            }
        })
    }

    /// Sets the reserves in force, from the least urgent level that asks to the most urgent one.
    fn apply(&mut self, pooled: &[LevelRates; MAX_LEVELS]) {
        let all: f64 = pooled.iter().map(|rates| rates.asked).sum();
        let mut max = 1.0 - MIN_FILL_LIMIT;
        for (reserve, rates) in self.levels.iter_mut().zip(pooled).rev() {
            reserve.applied = reserve.required.min(max);
            if rates.asked > all * MIN_ASKED_FRACTION {
                max = (reserve.applied - LEVEL_GAP).max(0.0);
            }
        }
    }
}

impl LevelReserve {
    /// Adapts the reserve to the excess of the fraction of more urgent requests that are short. `step` is in seconds.
    fn adapt(&mut self, excess: f64, step: f64, now: Instant) {
        let is_quiet = |at: Instant| now.duration_since(at) >= QUIET_PERIOD;
        let change = if excess > 0.0 {
            GROWTH_PER_SECOND * excess
        } else if self.last_short.is_none_or(is_quiet) {
            -QUIET_RELEASE_PER_SECOND
        } else {
            -self.required / RELEASE_TIME.as_secs_f64()
        };
        self.required = (self.required + change * step).clamp(0.0, 1.0 - MIN_FILL_LIMIT);
    }
}

/// Returns the fraction of requests that were short, 0 to 1; 0 if there were none.
fn short_fraction(rates: LevelRates) -> f64 {
    if rates.asked > 0.0 {
        (rates.short / rates.asked).clamp(0.0, 1.0)
    } else {
        0.0
    }
}
