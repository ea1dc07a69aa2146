//! Discrete-event queue and statistics for the measurements that simulate policies.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Event queue ordered by virtual time; events of the same time come out in insertion order.
pub(crate) struct EventQueue<E> {
    events: BTreeMap<(Duration, u64), E>,
    next_sequence: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue {
            events: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    pub(crate) fn add(&mut self, at: Duration, event: E) {
        self.events.insert((at, self.next_sequence), event);
        self.next_sequence += 1;
    }

    pub(crate) fn next(&mut self) -> Option<(Duration, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}

/// Draws a duration from the exponential distribution with the given mean.
pub(crate) fn exponential<R: Rng>(mean: Duration, rng: &mut R) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}

/// Sorts the values and returns their `q` quantile (0 to 1), or 0 if there are none.
pub(crate) fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1) as f64;
    let at = (last * q).round() as usize;
    values.get(at).copied().unwrap_or(0.0)
}

/// Jain's index of fairness: 1 when all values are equal, 1/n when one has all.
pub(crate) fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|v| v * v).sum();
    sum * sum / (values.len() as f64 * squares)
}

/// Formats minimum, median and maximum of the values of several seeds.
pub(crate) fn format_min_median_max(mut values: Vec<f64>) -> String {
    let median = quantile(&mut values, 0.5);
    let (min, max) = (values[0], values[values.len() - 1]);
    format!("{min:.3} / {median:.3} / {max:.3}")
}
