//! Rate limit for this daemon's share of the object API's write rate.
//!
//! The API accepts several hundred writes a second, regardless of the number of daemons. Writes of
//! the config head and of leases, on which the whole fleet depends, have a reserved token bucket.
//! Each daemon limits its claims to an equal share of the remaining rate.
//!
//! ```
//! use kelpworks_coord::budget::Config;
//! use kelpworks_coord::budget::Purpose;
//! use kelpworks_coord::budget::WriteBudget;
//! use kelpworks_coord::time::Instant;
//!
//! let cfg = Config { fleet_per_second: 200, reserved_per_second: 20, burst: 2 };
//! let mut budget = WriteBudget::new(cfg, Instant::ZERO);
//! budget.set_members(Instant::ZERO, 6); // 180 / 6 = 30 claim writes a second here
//! assert!(budget.try_take(Instant::ZERO, Purpose::Claim, 2).is_ok());
//! let refused = budget.try_take(Instant::ZERO, Purpose::Claim, 2).unwrap_err();
//! assert_eq!(refused.retry_after.as_millis(), 67);
//! assert!(budget.try_take(Instant::ZERO, Purpose::Lease, 1).is_ok());
//! ```
//!
//! Limits: shares are equal, so a daemon that gets more keyed requests than its share allows
//! refuses some that another daemon could have accepted. Daemons that disagree on the number of
//! members can together exceed the rate, so drivers pass the number of daemons on the host list,
//! not of those that are live.

use thiserror::Error;

use crate::time::Instant;
use crate::time::Span;

const MILLI: u64 = 1_000;

/// Result of taking writes from a budget.
pub type Result<T> = std::result::Result<T, Refused>;

/// The bucket holds fewer writes than requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("write budget spent, retry after {} ms", .retry_after.as_millis())]
pub struct Refused {
    /// Time after which the writes are available, unless other requests take them first.
    pub retry_after: Span,
}

/// Purpose of a write; determines the bucket that it is taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// The config head and its blobs.
    Head,
    /// A lease.
    Lease,
    /// A claim. Callers take its two writes together, so that the outcome can always be recorded.
    Claim,
}

/// Rates of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Writes per second of all daemons together. Default 200.
    pub fleet_per_second: u64,
    /// Part of that rate that is reserved for the config head and leases. Default 20.
    pub reserved_per_second: u64,
    /// Capacity of each bucket in writes; at least the 2 of a claim. Default 8.
    pub burst: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            fleet_per_second: 200,
            reserved_per_second: 20,
            burst: 8,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Bucket {
    /// Thousandths of a write available; at most 1,000 times the burst.
    level: u64,
    /// Thousandths of a write per second, shared by all members.
    fleet_rate: u64,
}

impl Bucket {
    fn refill(&mut self, elapsed: Span, members: u64, burst: u64) {
        let gain = self.fleet_rate.saturating_mul(elapsed.as_millis()) / members / MILLI;
        self.level = self.level.saturating_add(gain).min(burst * MILLI);
    }

    fn take(&mut self, writes: u64, members: u64) -> Result<()> {
        let needed = writes * MILLI;
        if self.level >= needed {
            self.level -= needed;
            return Ok(());
        }
        let rate = (self.fleet_rate / members).max(1);
        let ms = ((needed - self.level) * MILLI).div_ceil(rate);
        Err(Refused {
            retry_after: Span::from_millis(ms),
        })
    }
}

/// Token buckets of one daemon, for claims and for the reserved writes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WriteBudget {
    cfg: Config,
    /// Number of daemons that share the claim rate; at least 1.
    members: u64,
    claims: Bucket,
    reserved: Bucket,
    refilled_at: Instant,
}

impl WriteBudget {
    /// Creates full buckets for a fleet of one daemon.
    pub fn new(cfg: Config, now: Instant) -> WriteBudget {
        let claim_rate = cfg.fleet_per_second.saturating_sub(cfg.reserved_per_second);
        let bucket = |rate: u64| Bucket {
            level: cfg.burst * MILLI,
            fleet_rate: rate * MILLI,
        };
        WriteBudget {
            cfg,
            members: 1,
            claims: bucket(claim_rate),
            reserved: bucket(cfg.reserved_per_second),
            refilled_at: now,
        }
    }

    /// Sets the number of daemons that share the claim rate; 0 counts as 1.
    pub fn set_members(&mut self, now: Instant, members: usize) {
        self.refill(now);
        self.members = (members as u64).max(1);
    }

    /// Takes `writes` writes, all or none.
    ///
    /// # Errors
    ///
    /// When the bucket holds fewer; the error says when to try again.
    pub fn try_take(&mut self, now: Instant, purpose: Purpose, writes: u64) -> Result<()> {
        self.refill(now);
        let members = self.members;
        match purpose {
            // The reserved rate is not divided by the number of members, so that each daemon may
            // use all of it: few daemons write the head or hold a lease, and their number is
            // limited elsewhere.
            Purpose::Head | Purpose::Lease => self.reserved.take(writes, 1),
            Purpose::Claim => self.claims.take(writes, members),
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.refilled_at);
        // Within a few milliseconds the gain of a small share rounds down to zero; a refill at each
        // call would then never add anything.
        if elapsed < Span::from_millis(10) {
            return;
        }
        self.refilled_at = now;
        self.claims.refill(elapsed, self.members, self.cfg.burst);
        self.reserved.refill(elapsed, 1, self.cfg.burst);
    }
}
