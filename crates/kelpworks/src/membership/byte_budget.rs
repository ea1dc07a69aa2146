//! Bound on the bytes that news may add to heartbeats.

use kelpworks_coord::time::Instant;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ByteBudget {
    /// Gained each second.
    rate: u64,
    /// Saved up at most.
    burst: u64,
    /// At most `burst`, in thousandths of a byte.
    balance: u64,
    updated_at: Instant,
}

impl ByteBudget {
    /// A full bucket.
    pub(super) fn new(rate: u64, burst: u64, now: Instant) -> ByteBudget {
        ByteBudget {
            rate,
            burst,
            balance: burst * 1_000,
            updated_at: now,
        }
    }

    /// Bytes that may be spent now.
    pub(super) fn available(&mut self, now: Instant) -> usize {
        let gained = now.since(self.updated_at).as_millis() * self.rate;
        self.updated_at = now;
        self.balance = (self.balance + gained).min(self.burst * 1_000);
        (self.balance / 1_000) as usize
    }

    /// Spends bytes.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.balance = self.balance.saturating_sub(bytes as u64 * 1_000);
    }
}
