//! How many requests may be in service at once: additive increase, multiplicative decrease.
//!
//! The time of a token over the whole pipeline grows as soon as any one stage is overloaded, so it
//! stands for the bottleneck, whichever stage that is. There are two limits: one for paying
//! requests, and the room up to which trials may fill what paying ones leave.
//!
//! Engines serve paying steps first, so trials lengthen the tokens of paying requests little, as
//! long as those that hold take little.

use std::time::Duration;

use crate::admission::config::Config;
use kelpworks_wire::Class;

/// Factor by which a limit falls.
const DECREASE_FACTOR: f64 = 0.9;

/// Part of a limit that is added in each interval, and at least 1.
const INCREASE_FRACTION: f64 = 1.0 / 8.0;

/// Growth of a floor in each interval; forgets a floor that a changed fleet no longer reaches,
/// within minutes.
const FLOOR_GROWTH: f64 = 1.0005;

/// Multiple of the token time aimed at for paying requests up to which trials may slow down.
const TRIAL_SLOWDOWN: f64 = 2.0;

/// Multiple of the token time aimed at up to which paying requests may slow each other down. A
/// lower one only moves their wait from the engines into the daemon, and refuses some of them.
const PAYING_SLOWDOWN: f64 = 4.0;

/// Part of the room that trials may take while they hold.
const PAUSED_SHARE: f64 = 0.05;

/// Longest pause of a trial between two tokens.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Who was kept waiting, and who was in service, since the last adjustment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Demand {
    /// Paying requests waited for a slot.
    pub(super) paying_waited: bool,
    /// Trials waited, or were refused, for want of room.
    pub(super) trials_waited: bool,
    /// Trials were in service.
    pub(super) trials_ran: bool,
}

/// Both limits.
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

    /// Paying requests that may be in service; at least 1.
    pub(super) fn paying(&self) -> u32 {
        self.paying.get()
    }

    /// Requests of both classes up to which trials may run; at least 1.
    pub(super) fn trial_ceiling(&self) -> u32 {
        self.trial_ceiling.get()
    }

    /// How long a trial holds between two tokens when so many do, so that they take at most
    /// [`PAUSED_SHARE`] of the room together.
    pub(super) fn pause(&self, paused: usize) -> Duration {
        if !self.trial_tokens.floor.is_finite() {
            return Duration::ZERO;
        }
        let share = f64::from(self.trial_ceiling()) * PAUSED_SHARE;
        let pause = self.trial_tokens.floor * paused as f64 / share;
        Duration::from_secs_f64(pause.min(MAX_PAUSE.as_secs_f64()))
    }

    /// Notes the time that a request took for one token over the whole pipeline.
    pub(super) fn observe(&mut self, class: Class, token: Duration) {
        match class {
            Class::Paying => self.paying_tokens.observe(token),
            Class::Trial => self.trial_tokens.observe(token),
        }
    }

    /// Adjusts the limits. Without any token observed there is no evidence either way, and they
    /// stay.
    pub(super) fn adjust(&mut self, demand: Demand) {
        let paying = self.paying_tokens.mean();
        let trial = self.trial_tokens.mean();
        let paying_slow =
            paying.is_some_and(|mean| mean > self.max_token_time(&self.paying_tokens));
        let max_trial_token_time = self.max_token_time(&self.trial_tokens) * TRIAL_SLOWDOWN;
        let trial_slow = trial.is_some_and(|mean| mean > max_trial_token_time);
        if paying.is_some() {
            // While trials run, they are the ones to give way.
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

    /// Mean of this interval, if there was a token.
    fn mean(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }

    fn start_interval(&mut self) {
        self.floor *= FLOOR_GROWTH;
        self.sum = 0.0;
        self.count = 0;
    }
}
