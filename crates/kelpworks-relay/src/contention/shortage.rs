//! How often requests of each urgency level recently lacked capacity at this daemon.
//!
//! ```
//! use kelpworks_relay::contention::levels::Level;
//! use kelpworks_relay::contention::shortage::Outcome;
//! use kelpworks_relay::contention::shortage::Shortage;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut shortage = Shortage::new(now);
//! shortage.record(Level(1), Outcome::AtOnce, now);
//! shortage.record(Level(1), Outcome::Short, now);
//! let rates = shortage.rates(now)[1];
//! assert_eq!(rates.short / rates.asked, 0.5);
//! ```
//!
//! Limits: the rates of a daemon are too low for [`DECAY`] after its start, both by the same factor. At a few requests
//! a second they say little, so they are pooled over all daemons ([`super::pooled`]).

use std::time::Duration;

use tokio::time::Instant;

use super::levels::Level;
use super::levels::MAX_LEVELS;

/// Time in which the weight of a request falls to 1/e.
pub const DECAY: Duration = Duration::from_secs(2);
/// Number of figures that describe the rates of all levels.
pub const FIGURES: usize = 2 * MAX_LEVELS;
/// Rate, per second, below which decayed rates count as zero, so that they do not become subnormal.
const MIN_RATE: f64 = 1e-9;

/// Whether a request found capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It found capacity when it first asked.
    AtOnce,
    /// It found none when it first asked, or an engine refused it for lack of capacity.
    Short,
}

/// Recent requests of one level; finite and not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LevelRates {
    /// Requests that asked for capacity, per second.
    pub asked: f64,
    /// Those of them that lacked it, per second.
    pub short: f64,
}

/// Recent requests of this daemon by level.
#[derive(Clone, Debug)]
pub struct Shortage {
    /// As of `updated`.
    rates: [LevelRates; MAX_LEVELS],
    updated: Instant,
}

impl Shortage {
    /// Creates the state of a daemon without requests.
    pub fn new(now: Instant) -> Shortage {
        Shortage {
            rates: [LevelRates::default(); MAX_LEVELS],
            updated: now,
        }
    }

    /// Counts a request. Levels beyond the last count as the last.
    pub fn record(&mut self, level: Level, outcome: Outcome, now: Instant) {
        self.rates = self.rates(now);
        self.updated = now.max(self.updated);
        let rates = &mut self.rates[usize::from(level.0).min(MAX_LEVELS - 1)];
        let weight = DECAY.as_secs_f64().recip();
        rates.asked += weight;
        if outcome == Outcome::Short {
            rates.short += weight;
        }
    }

    /// Returns the rates of all levels, decayed over [`DECAY`].
    pub fn rates(&self, now: Instant) -> [LevelRates; MAX_LEVELS] {
        let kept = kept_after(now.duration_since(self.updated));
        self.rates.map(|rates| LevelRates {
            asked: decayed(rates.asked, kept),
            short: decayed(rates.short, kept),
        })
    }
}

/// Returns the fraction of a rate that is left after some time without requests.
pub(super) fn kept_after(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DECAY.as_secs_f64()).exp()
}

fn decayed(rate: f64, kept: f64) -> f64 {
    let rate = rate * kept;
    if rate < MIN_RATE { 0.0 } else { rate }
}

/// Returns rates as the figures that are pooled: `asked` of all levels, then `short`.
pub fn figures_of(rates: &[LevelRates; MAX_LEVELS]) -> [f64; FIGURES] {
    std::array::from_fn(|i| match i.checked_sub(MAX_LEVELS) {
        None => rates[i].asked,
        Some(level) => rates[level].short,
    })
}

/// Returns the rates that the figures describe.
pub fn rates_of(figures: &[f64; FIGURES]) -> [LevelRates; MAX_LEVELS] {
    std::array::from_fn(|level| LevelRates {
        asked: figures[level],
        short: figures[MAX_LEVELS + level],
    })
}
