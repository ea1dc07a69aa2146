//! How long to wait for a step: from the times observed, between a floor and a ceiling.
//!
//! A deadline that expires is no verdict on the upstream. The caller probes it on a new
//! connection: an answer means that the connection is dead, silence that the upstream is suspect.

use std::time::Duration;

/// Weight of a new time in the mean, and in the deviation (Jacobson and Karels, 1988).
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Least margin over the mean, as a fraction of it: steady times have next to no deviation, and
/// the first hiccup would pass for silence.
const MIN_MARGIN: f64 = 1.0;

/// Bounds on step deadlines.
#[derive(Clone, Debug, PartialEq)]
pub struct DeadlineConfig {
    /// Least deadline. Default 50 ms.
    pub floor: Duration,
    /// Greatest deadline, and the one of an upstream that has not answered yet. Default 5 s.
    pub ceiling: Duration,
    /// Deviations above the mean. Default 6: step times have long tails, and a deadline that
    /// expires for nothing costs a probe.
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

/// Step times of one upstream, smoothed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepDeadline {
    /// Steps of one position.
    decode: Smoothed,
    /// Steps of more, by the time of one position: they share fixed costs, so one estimate for
    /// both would be too tight for decode steps.
    prefill: Smoothed,
}

/// Mean and mean deviation of a time, in seconds; meaningful once `has_samples`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Smoothed {
    mean: f64,
    deviation: f64,
    has_samples: bool,
}

impl StepDeadline {
    /// Notes the time of a step that covered so many positions. When the deadline expired and a
    /// probe was answered, the time waited is to be noted, so that the next deadline is longer.
    pub fn observe(&mut self, elapsed: Duration, positions: u32) {
        let seconds = elapsed.as_secs_f64();
        if positions > 1 {
            self.prefill.observe(seconds / f64::from(positions));
        } else {
            self.decode.observe(seconds);
        }
    }

    /// Mean time of a decode step, if one was observed; for `Counters::step_us`.
    pub fn mean(&self) -> Option<Duration> {
        let has_samples = self.decode.has_samples;
        has_samples.then(|| Duration::from_secs_f64(self.decode.mean))
    }

    /// Time to wait for a step that covers so many positions. The ceiling bounds a decode step;
    /// a long prefill may take longer.
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
