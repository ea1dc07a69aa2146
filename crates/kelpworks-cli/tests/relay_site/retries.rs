//! Retries as upstreams see them: arrivals of a request after its first.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::engine::Arrival;

/// Returns when retries arrived, in order, among all arrivals at the upstreams of a service. Rejected
/// arrivals count too.
pub(crate) fn retry_times(mut arrivals: Vec<Arrival>) -> Vec<Instant> {
    arrivals.sort_by_key(|a| a.at);
    let mut seen = HashSet::new();
    let retries = arrivals
        .into_iter()
        .filter(|a| !seen.insert(a.request.clone()));
    retries.map(|a| a.at).collect()
}

/// Returns the largest number of `times`, which are in order, within any span of `window`.
pub(crate) fn most_in_a_window(times: &[Instant], window: Duration) -> usize {
    let count_from = |(i, &from): (usize, &Instant)| {
        let end = times.partition_point(|&t| t < from + window);
        end - i
    };
    times.iter().enumerate().map(count_from).max().unwrap_or(0)
}
