//! Adaptive limits on the number of requests in service.
//!
//! A limit grows by a fraction of itself while requests wait, and falls by a constant factor when
//! tokens take too long. The time of a token over the whole pipeline grows as soon as any stage is
//! overloaded, so it measures the bottleneck, whichever stage that is. There are two limits: the
//! number of paying requests in service, and the number of requests of both classes up to which
//! trials may run (the trial ceiling).
//!
//! Engines serve paying steps first, so trials lengthen the tokens of paying requests only a
//! little, as long as paused trials use little capacity.

use std::time::Duration;

use crate::admission::config::Config;
use kelpworks_wire::Class;

/// Factor of a multiplicative decrease.
const DECREASE_FACTOR: f64 = 0.9;

/// Fraction of a limit that an increase adds; at least 1 request is added.
const INCREASE_FRACTION: f64 = 1.0 / 8.0;

/// Growth of the lowest observed token time per interval. A value that a changed fleet no longer
/// reaches is thus replaced within minutes.
const FLOOR_GROWTH: f64 = 1.0005;

/// Multiple of the maximum token time up to which trial tokens may slow down.
const TRIAL_SLOWDOWN: f64 = 2.0;

/// Multiple of the maximum token time up to which paying requests may slow each other down. A
/// lower value only moves their wait from the engines into the daemon and refuses some of them.
const PAYING_SLOWDOWN: f64 = 4.0;

/// Fraction of the trial ceiling that paused trials may use together.
const PAUSED_SHARE: f64 = 0.05;

/// Upper bound of [`Limits::pause`].
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Demand observed since the last adjustment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Demand {
    /// Whether paying requests waited for a slot.
    pub(super) paying_waited: bool,
    /// Whether trials waited, or were refused, because no slot was free.
    pub(super) trials_waited: bool,
    /// Whether trials were in service and not paused.
    pub(super) trials_ran: bool,
}

/// The limits on paying requests and on trials.
#[derive(Debug)]
pub(super) struct Limits {
    paying: Aimd,
    trial_ceiling: Aimd,
    paying_tokens: TokenTime,
    trial_tokens: TokenTime,
    tolerance: f64,
    /// In seconds.
    token_target: f64,
}

#[derive(Debug)]
struct Aimd {
    limit: f64,
    min: f64,
    max: f64,
}

/// Token times of one class. The classes are measured separately because engines serve paying
/// steps first: trial tokens take longer while paying work runs, which is no sign of overload.
#[derive(Debug)]
struct TokenTime {
    /// Lowest recent token time, in seconds; infinite until one was observed.
    floor: f64,
    /// Sum of the token times since the last adjustment, in seconds.
    sum: f64,
    /// Number of token times in `sum`.
    count: u32,
}

impl Limits {
    pub(super) fn new(cfg: &Config) -> Limits {
        let aimd = |min: u32| Aimd {
            limit: f64::from(cfg.initial_limit),
            min: f64::from(min.max(1)),
            max: f64::from(cfg.max_limit.max(min).max(1)),
        };
        Limits {
            paying: aimd(cfg.min_limit),
            trial_ceiling: aimd(cfg.min_limit),
            paying_tokens: TokenTime::new(),
            trial_tokens: TokenTime::new(),
            tolerance: cfg.tolerance,
            token_target: cfg.token_target.as_secs_f64(),
        }
    }

    /// Maximum number of paying requests in service; at least 1.
    pub(super) fn paying(&self) -> u32 {
        self.paying.get()
    }

    /// Maximum number of requests of both classes in service up to which trials run; at least 1.
    pub(super) fn trial_ceiling(&self) -> u32 {
        self.trial_ceiling.get()
    }

    /// Returns the pause between two tokens of a paused trial, for this number of paused trials.
    /// Together they use at most [`PAUSED_SHARE`] of the trial ceiling, until [`MAX_PAUSE`] bounds
    /// the pause. Zero until a trial token was observed.
    pub(super) fn pause(&self, paused: usize) -> Duration {
        if !self.trial_tokens.floor.is_finite() {
            return Duration::ZERO;
        }
        let share = f64::from(self.trial_ceiling()) * PAUSED_SHARE;
        let pause = self.trial_tokens.floor * paused as f64 / share;
        Duration::from_secs_f64(pause.min(MAX_PAUSE.as_secs_f64()))
    }

    /// Records the time of one token of a request over the whole pipeline.
    pub(super) fn observe(&mut self, class: Class, token: Duration) {
        match class {
            Class::Paying => self.paying_tokens.observe(token),
            Class::Trial => self.trial_tokens.observe(token),
        }
    }

    /// Adjusts the limits at the end of an interval. A limit stays as it is when no relevant token
    /// was observed, as there is no evidence either way.
    pub(super) fn adjust(&mut self, demand: Demand) {
        let paying = self.paying_tokens.mean();
        let trial = self.trial_tokens.mean();
        let paying_slow =
            paying.is_some_and(|mean| mean > self.max_token_time(&self.paying_tokens));
        let max_trial_token_time = self.max_token_time(&self.trial_tokens) * TRIAL_SLOWDOWN;
        let trial_slow = trial.is_some_and(|mean| mean > max_trial_token_time);
        if paying.is_some() {
            // While trials run, only the trial ceiling is lowered.
            let max_token_time = self.max_token_time(&self.paying_tokens) * PAYING_SLOWDOWN;
            let congested = paying.is_some_and(|mean| mean > max_token_time);
            let decrease = congested && !demand.trials_ran;
            self.paying
                .adjust(decrease, demand.paying_waited && !congested);
        }
        if paying.is_some() || trial.is_some() {
            self.trial_ceiling
                .adjust(paying_slow || trial_slow, demand.trials_waited);
        }
        self.paying_tokens.start_interval();
        self.trial_tokens.start_interval();
    }

    fn max_token_time(&self, tokens: &TokenTime) -> f64 {
        (tokens.floor * self.tolerance).max(self.token_target)
    }
}

impl Aimd {
    fn get(&self) -> u32 {
        self.limit.clamp(self.min, self.max) as u32
    }

    fn adjust(&mut self, decrease: bool, increase: bool) {
        if decrease {
            self.limit *= DECREASE_FACTOR;
        } else if increase {
            self.limit += (self.limit * INCREASE_FRACTION).max(1.0);
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

    /// Mean token time of this interval in seconds, if a token was observed.
    fn mean(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }

    fn start_interval(&mut self) {
        self.floor *= FLOOR_GROWTH;
        self.sum = 0.0;
        self.count = 0;
    }
}
