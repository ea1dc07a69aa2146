//! Number of events in a sliding window, counted in buckets of equal length.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Buckets in a window. An event counts for up to a bucket's length too long or too short.
const BUCKETS_PER_WINDOW: u32 = 64;

/// Which way the bounds of the window are rounded to those of buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rounding {
    /// An event never counts for longer than the window.
    Shorter,
    /// An event never counts for less than the window.
    Longer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Bucket {
    /// Number of bucket lengths from the origin to its start.
    index: u64,
    count: u32,
}

/// Events in a sliding window. Memory is bounded by the number of buckets in the window and in the time
/// by which events lie in the future.
#[derive(Clone, Debug)]
pub(super) struct WindowCount {
    origin: Instant,
    window: Duration,
    rounding: Rounding,
    /// In order of their indices, without empty ones.
    buckets: VecDeque<Bucket>,
    /// Sum over `buckets`.
    total: u64,
}

impl WindowCount {
    /// Creates a count of no events. Events before `origin` count as at `origin`.
    pub(super) fn new(origin: Instant, window: Duration, rounding: Rounding) -> WindowCount {
        WindowCount {
            origin,
            window,
            rounding,
            buckets: VecDeque::new(),
            total: 0,
        }
    }

    /// Counts an event at `at`, which may lie in the future: it counts from now on.
    pub(super) fn add(&mut self, at: Instant) {
        let since = at.saturating_duration_since(self.origin);
        let index = (since.as_nanos() / self.bucket_nanos()) as u64;
        let position = self.buckets.partition_point(|b| b.index < index);
        match self.buckets.get_mut(position) {
            Some(bucket) if bucket.index == index => bucket.count += 1,
            _ => self.buckets.insert(position, Bucket { index, count: 1 }),
        }
        self.total += 1;
    }

    /// Returns the number of events in the window that ends at `now`, and later ones.
    pub(super) fn total(&mut self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.origin);
        let Some(begin) = since.checked_sub(self.window) else {
            return self.total;
        };
        let begin = begin.as_nanos();
        let first = match self.rounding {
            Rounding::Shorter => begin.div_ceil(self.bucket_nanos()),
            Rounding::Longer => begin / self.bucket_nanos(),
        };
        while let Some(bucket) = self.buckets.pop_front_if(|b| u128::from(b.index) < first) {
            self.total -= u64::from(bucket.count);
        }
        self.total
    }

    fn bucket_nanos(&self) -> u128 {
        let bucket = self.window / BUCKETS_PER_WINDOW;
        bucket.as_nanos().max(1)
    }
}
