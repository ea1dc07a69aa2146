//! Processor time of threads and memory of the process, as the system accounts for them.

use std::fs;
use std::time::Duration;

/// Bytes of a page of memory.
const PAGE: u64 = 4_096;
/// Growth of the process that makes a figure of memory.
const GROWTH: u64 = 24 << 20;
/// Values made between two looks at the memory, and in all at most.
const BATCH: usize = 16;
const MOST: usize = 1 << 16;

/// Processor time that all threads whose name starts so have had until now.
pub(super) fn of_threads(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let named = tasks.flatten().map(|t| t.path()).filter(|path| {
        let comm = fs::read_to_string(path.join("comm"));
        comm.is_ok_and(|c| c.starts_with(name))
    });
    named.map(|path| ran(&path.join("schedstat"))).sum()
}

/// Processor time of the calling thread until now.
pub(super) fn of_this_thread() -> Duration {
    ran("/proc/thread-self/schedstat".as_ref())
}

/// Seconds of processor time of one call, over as many calls as take at least `least`.
pub(super) fn per_call(least: Duration, mut call: impl FnMut()) -> f64 {
    let (start, mut calls) = (of_this_thread(), 0u32);
    loop {
        for _ in 0..8 {
            call();
        }
        calls += 8;
        let spent = of_this_thread() - start;
        if spent >= least {
            return spent.as_secs_f64() / f64::from(calls);
        }
    }
}

/// Resident memory of the process, in bytes.
pub(super) fn memory() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

/// Bytes of resident memory that a value takes, over as many as grow the process by [`GROWTH`].
///
/// They are never freed, as freed memory that is used again would not show in the next figure.
pub(super) fn memory_of<T>(mut make: impl FnMut() -> T) -> f64 {
    let before = memory();
    let mut held = 0;
    loop {
        for _ in 0..BATCH {
            std::mem::forget(make());
        }
        held += BATCH;
        let grown = memory().saturating_sub(before);
        if grown >= GROWTH || held >= MOST {
            return grown as f64 / held as f64;
        }
    }
}

/// Nanoseconds on a processor, the first field.
fn ran(path: &std::path::Path) -> Duration {
    let text = fs::read_to_string(path).unwrap_or_default();
    let ns = text.split(' ').next().and_then(|f| f.parse().ok());
    Duration::from_nanos(ns.unwrap_or(0))
}
