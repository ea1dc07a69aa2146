//! Limit on the bytes that gossip adds to heartbeats.

use kelpworks_coord::time::Instant;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ByteBudget {
    /// Refill rate in bytes per second.
    rate: u64,
    /// Capacity in bytes.
    burst: u64,
    /// Present content in thousandths of a byte, at most `burst` bytes.
    balance: u64,
    updated_at: Instant,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub(super) fn new(rate: u64, burst: u64, now: Instant) -> ByteBudget {
        ByteBudget {
            rate,
            burst,
            balance: burst * 1_000,
            updated_at: now,
        }
    }

    /// Refills the bucket, and returns the bytes that may be spent now.
    pub(super) fn available(&mut self, now: Instant) -> usize {
        let gained = now.since(self.updated_at).as_millis() * self.rate;
        self.updated_at = now;
        self.balance = (self.balance + gained).min(self.burst * 1_000);
        (self.balance / 1_000) as usize
    }

    /// Deducts bytes; the content does not fall below 0.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.balance = self.balance.saturating_sub(bytes as u64 * 1_000);
    }
}
