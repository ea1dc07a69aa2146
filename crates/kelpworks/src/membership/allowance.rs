//! Bound on the bytes that news may add to heartbeats.

use kelpworks_coord::time::Instant;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance {
    /// Gained each second.
    rate: u64,
    /// Saved up at most.
    burst: u64,
    /// At most `burst`, in thousandths of a byte.
    balance: u64,
    at: Instant,
}

impl Allowance {
    /// A full bucket.
    pub(super) fn new(rate: u64, burst: u64, now: Instant) -> Allowance {
        Allowance {
            rate,
            burst,
            balance: burst * 1_000,
            at: now,
        }
    }

    /// Bytes that may be spent now.
    pub(super) fn available(&mut self, now: Instant) -> usize {
        let gained = now.since(self.at).as_millis() * self.rate;
        self.at = now;
        self.balance = (self.balance + gained).min(self.burst * 1_000);
        (self.balance / 1_000) as usize
    }

    /// Spends bytes.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.balance = self.balance.saturating_sub(bytes as u64 * 1_000);
    }
}
