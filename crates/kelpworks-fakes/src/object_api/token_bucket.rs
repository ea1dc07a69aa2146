//! A token bucket whose capacity is one second's calls.

use tokio::time::Instant;

/// Limits calls to a rate, with bursts of up to one second's calls, and records the peak.
#[derive(Debug)]
pub(super) struct TokenBucket {
    per_second: f64,
    /// Calls that may be made at once; at most `per_second`.
    tokens: f64,
    refilled_at: Instant,
    /// Start of the second that `in_second` counts.
    second_start: Instant,
    in_second: u64,
    peak: u64,
}

impl TokenBucket {
    pub(super) fn new(per_second: u32) -> TokenBucket {
        let now = Instant::now();
        TokenBucket {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second),
            refilled_at: now,
            second_start: now,
            in_second: 0,
            peak: 0,
        }
    }

    /// Counts a call; returns false when it exceeds the rate.
    pub(super) fn take(&mut self) -> bool {
        let now = Instant::now();
        self.count(now);
        let earned = (now - self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.per_second);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn count(&mut self, now: Instant) {
        if (now - self.second_start).as_secs() >= 1 {
            self.second_start = now;
            self.in_second = 0;
        }
        self.in_second += 1;
        self.peak = self.peak.max(self.in_second);
    }

    /// Returns the number of calls in the busiest second so far, including refused ones.
    pub(super) fn peak(&self) -> u64 {
        self.peak
    }
}
