//! Adaptive deadlines of steps, from observed step times, between a floor and a ceiling.
//!
//! An expired deadline does not by itself mean that the upstream failed. The caller probes it on a
//! new connection: if the probe is answered, the old connection is dead; if not, the upstream is
//! suspect.

use std::time::Duration;

/// Weight of a new time in the mean (Jacobson and Karels, 1988).
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// Weight of a new time in the mean deviation (Jacobson and Karels, 1988).
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Minimum margin over the mean, as a fraction of it. Steady times have almost no deviation, so
/// without it the first slow step would be taken for a stall.
const MIN_MARGIN: f64 = 1.0;

/// Limits of step deadlines.
#[derive(Clone, Debug, PartialEq)]
pub struct DeadlineConfig {
    /// Minimum deadline of a decode step. Default 50 ms.
    pub floor: Duration,
    /// Maximum deadline of a decode step, and the deadline of a step without observed times.
    /// Default 5 s.
    pub ceiling: Duration,
    /// Number of mean deviations above the mean. Default 6: step times have long tails, and each
    /// deadline that expires needlessly costs a probe.
    pub deviations: f64,
}

impl Default for DeadlineConfig {
    fn default() -> DeadlineConfig {
        DeadlineConfig {
            floor: Duration::from_millis(50),
            ceiling: Duration::from_secs(5),
            deviations: 6.0,
        }
    }
}

/// Smoothed step times of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepDeadline {
    /// Time of a step of one position.
    decode: Smoothed,
    /// Time per position of steps with several positions. The positions of a step share its fixed
    /// costs, so one estimate for both kinds of steps would be too tight for decode steps.
    prefill: Smoothed,
}

/// Moving mean and mean deviation of a time, in seconds; valid once `has_samples` is set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Smoothed {
    mean: f64,
    deviation: f64,
    has_samples: bool,
}

impl StepDeadline {
    /// Records the time of a step of this many positions. When a deadline expired and the probe
    /// was answered, the caller records the time waited, so that the next deadline is longer.
    pub fn observe(&mut self, elapsed: Duration, positions: u32) {
        let seconds = elapsed.as_secs_f64();
        if positions > 1 {
            self.prefill.observe(seconds / f64::from(positions));
        } else {
            self.decode.observe(seconds);
        }
    }

    /// Mean time of a decode step, if one was observed. The caller stores it in
    /// `Counters::step_us`.
    pub fn mean(&self) -> Option<Duration> {
        let has_samples = self.decode.has_samples;
        has_samples.then(|| Duration::from_secs_f64(self.decode.mean))
    }

    /// Returns the time to wait for a step of this many positions. The ceiling bounds the deadline
    /// of a decode step only; that of a long prefill may be higher.
    pub fn deadline(&self, cfg: &DeadlineConfig, positions: u32) -> Duration {
        let decode = match self.decode.upper_bound(cfg.deviations) {
            Some(upper_bound) => upper_bound.clamp(cfg.floor, cfg.ceiling.max(cfg.floor)),
            None => cfg.ceiling,
        };
        if positions <= 1 {
            return decode;
        }
        match self.prefill.upper_bound(cfg.deviations) {
            Some(upper_bound) => decode + upper_bound * positions,
            None => cfg.ceiling,
        }
    }
}

impl Smoothed {
    fn observe(&mut self, seconds: f64) {
        if !self.has_samples {
            *self = Smoothed {
                mean: seconds,
                deviation: seconds / 2.0,
                has_samples: true,
            };
            return;
        }
        let error = seconds - self.mean;
        self.mean += error * MEAN_GAIN;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_GAIN;
    }

    fn upper_bound(&self, deviations: f64) -> Option<Duration> {
        let upper_bound = self.mean + (deviations * self.deviation).max(self.mean * MIN_MARGIN);
        self.has_samples
            .then(|| Duration::from_secs_f64(upper_bound))
    }
}
