//! How many requests may be in service at once: additive increase, multiplicative decrease.
//!
//! The time of a token over the whole pipeline grows as soon as any one stage is overloaded, so it
//! stands for the bottleneck, whichever stage that is.

use std::time::Duration;

use kelpworks_wire::Class;

use crate::admission::config::Config;

/// Factor by which the limit falls.
const DECREASE: f64 = 0.9;

/// Part of the limit that is added in each interval, and at least 1.
const INCREASE: f64 = 1.0 / 32.0;

/// Growth of the floor in each interval; forgets a floor that a changed fleet no longer reaches,
/// within minutes.
const FLOOR_GROWTH: f64 = 1.0005;

/// The adaptive limit.
#[derive(Debug)]
pub(super) struct Limit {
    limit: f64,
    min: f64,
    max: f64,
    tolerance: f64,
    paying: TokenTime,
    trial: TokenTime,
}

/// Token times of one class. The classes are apart because engines serve paying steps first: the
/// tokens of a trial take longer while paying work runs, which is no sign of overload.
#[derive(Debug)]
struct TokenTime {
    /// Least of late, in seconds; infinite until one was observed.
    floor: f64,
    /// Sum and number since the last adjustment.
    sum: f64,
    count: u32,
}

impl Limit {
    pub(super) fn new(cfg: &Config) -> Limit {
        let min = f64::from(cfg.limit_min.max(1));
        let max = f64::from(cfg.limit_max).max(min);
        Limit {
            limit: f64::from(cfg.limit).clamp(min, max),
            min,
            max,
            tolerance: cfg.tolerance.max(1.0),
            paying: TokenTime::new(),
            trial: TokenTime::new(),
        }
    }

    /// Requests that may be in service; at least 1.
    pub(super) fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Notes the time that a request took for one token over the whole pipeline.
    pub(super) fn observe(&mut self, class: Class, token: Duration) {
        let times = match class {
            Class::Paying => &mut self.paying,
            Class::Trial => &mut self.trial,
        };
        times.observe(token);
    }

    /// Adjusts the limit; `full` says whether it kept requests waiting. Without any token observed
    /// there is no evidence either way, and it stays.
    pub(super) fn adjust(&mut self, full: bool) {
        let paying = self.paying.stretch();
        let trial = self.trial.stretch();
        match paying.or(trial) {
            Some(stretch) if stretch > self.tolerance => self.limit *= DECREASE,
            Some(_) if full => self.limit += (self.limit * INCREASE).max(1.0),
            _ => {}
        }
        self.limit = self.limit.clamp(self.min, self.max);
    }
}

impl TokenTime {
    fn new() -> TokenTime {
        TokenTime {
            floor: f64::INFINITY,
            sum: 0.0,
            count: 0,
        }
    }

    fn observe(&mut self, token: Duration) {
        let token = token.as_secs_f64();
        self.floor = self.floor.min(token);
        self.sum += token;
        self.count += 1;
    }

    /// Mean over the floor since the last call; `None` when there was no token.
    fn stretch(&mut self) -> Option<f64> {
        if self.count == 0 {
            return None;
        }
        let mean = self.sum / f64::from(self.count);
        let stretch = mean / self.floor.max(f64::MIN_POSITIVE);
        self.floor *= FLOOR_GROWTH;
        self.sum = 0.0;
        self.count = 0;
        Some(stretch)
    }
}
