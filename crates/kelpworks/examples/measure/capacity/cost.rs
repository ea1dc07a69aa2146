//! Processor time of threads and resident memory of the process, read from `/proc`.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4_096;
/// Growth of the resident set that is enough to compute the size of a value.
const MIN_GROWTH_BYTES: u64 = 24 << 20;
/// Values created between two reads of the resident set, and the maximum in total.
const VALUES_PER_SAMPLE: usize = 16;
const MAX_VALUES: usize = 1 << 16;

/// Processor time so far of all threads whose name starts with `name`.
pub(super) fn cpu_time_of_threads(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let matching = tasks.flatten().map(|t| t.path()).filter(|path| {
        let comm = fs::read_to_string(path.join("comm"));
        comm.is_ok_and(|c| c.starts_with(name))
    });
    matching
        .map(|path| schedstat_cpu_time(&path.join("schedstat")))
        .sum()
}

/// Processor time so far of the calling thread.
pub(super) fn cpu_time_of_this_thread() -> Duration {
    schedstat_cpu_time("/proc/thread-self/schedstat".as_ref())
}

/// Seconds of processor time per call, averaged over calls that take at least `min_time` in total.
pub(super) fn cpu_seconds_per_call(min_time: Duration, mut call: impl FnMut()) -> f64 {
    let (start, mut calls) = (cpu_time_of_this_thread(), 0u32);
    loop {
        for _ in 0..8 {
            call();
        }
        calls += 8;
        let spent = cpu_time_of_this_thread() - start;
        if spent >= min_time {
            return spent.as_secs_f64() / f64::from(calls);
        }
    }
}

/// Resident memory of the process, in bytes.
pub(super) fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Bytes of resident memory per value, averaged over as many values as grow the process by
/// [`MIN_GROWTH_BYTES`], or over [`MAX_VALUES`].
///
/// The values are leaked: reuse of freed memory would not show in the next measurement.
pub(super) fn resident_bytes_per_value<T>(mut make: impl FnMut() -> T) -> f64 {
    let before = resident_bytes();
    let mut values = 0;
    loop {
        for _ in 0..VALUES_PER_SAMPLE {
            std::mem::forget(make());
        }
        values += VALUES_PER_SAMPLE;
        let grown = resident_bytes().saturating_sub(before);
        if grown >= MIN_GROWTH_BYTES || values >= MAX_VALUES {
            return grown as f64 / values as f64;
        }
    }
}

/// Reads the first field of a `schedstat` file: nanoseconds spent on a processor.
fn schedstat_cpu_time(path: &std::path::Path) -> Duration {
    let text = fs::read_to_string(path).unwrap_or_default();
    let ns = text.split(' ').next().and_then(|f| f.parse().ok());
    Duration::from_nanos(ns.unwrap_or(0))
}
