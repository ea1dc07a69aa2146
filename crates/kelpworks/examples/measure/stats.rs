//! Statistics for the tables of results.

use std::time::Instant;

/// Seconds between consecutive instants.
pub(crate) fn gaps(at: &[Instant]) -> Vec<f64> {
    at.windows(2)
        .map(|w| w[1].duration_since(w[0]).as_secs_f64())
        .collect()
}

/// Returns the `q` quantile (0 to 1) of the values, or NaN if there are none.
pub(crate) fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 - 1.0) * q).round();
    sorted
        .get(at.max(0.0) as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

/// Returns the median of the values, or NaN if there are none.
pub(crate) fn median(values: &[f64]) -> f64 {
    quantile(values, 0.5)
}

/// Formats minimum, median and maximum with the given number of decimals.
pub(crate) fn min_median_max(values: &[f64], decimals: usize) -> [String; 3] {
    [0.0, 0.5, 1.0].map(|q| format!("{:.decimals$}", quantile(values, q)))
}
