//! Memory for the bodies of requests and answers, which callers and upstreams make a daemon hold.
//!
//! All bodies share one budget, whatever their number. A body reserves memory as its bytes arrive: a declared length
//! says little about what comes. When the budget is used up, the incomplete body that holds the most bytes for the
//! longest time without progress is evicted, so that callers that stop in the middle of a body don't keep others from
//! being served. Bodies that are complete stay until they are dropped. Part of the budget is left to small bodies,
//! which most requests have.
//!
//! ```
//! use std::sync::Arc;
//!
//! use kelpworks::memory_budget::MemoryBudget;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> kelpworks::memory_budget::Result<()> {
//! let budget = Arc::new(MemoryBudget::new(1 << 20));
//! let mut body = budget.reservation();
//! body.grow(4_000).await?;
//! assert_eq!(budget.used(), 4_000);
//!
//! drop(body);
//! assert_eq!(budget.used(), 0);
//! # Ok(())
//! # }
//! ```
//!
//! Limits: a budget below the size of a legal body refuses that body always. The choice of a body to evict compares all
//! incomplete ones.

use std::sync::Arc;
use std::sync::Mutex;

use slotmap::SlotMap;
use slotmap::new_key_type;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::sync::lock;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest reservation that may use all of a budget, in bytes.
pub const SMALL_BYTES: usize = 64 << 10;
/// Part of a budget that is left to small reservations.
const SMALL_PART: usize = 4;

/// Why no memory was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The budget is used up by others, and none of them may be evicted.
    #[error("memory used up")]
    Exhausted,
    /// The reservation was evicted.
    #[error("evicted")]
    Evicted,
}

new_key_type! {
    struct ReservationKey;
}

/// Memory that reservations share.
#[derive(Debug)]
pub struct MemoryBudget {
    inner: Mutex<Inner>,
    /// Signalled when memory is released.
    released: Notify,
}

#[derive(Debug)]
struct Inner {
    /// In bytes.
    limit: usize,
    /// Sum of all reservations; at most `limit`.
    used: usize,
    /// Sum of the evicted reservations, which are still in `used`.
    evicting: usize,
    reservations: SlotMap<ReservationKey, Entry>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    state: State,
}

/// Whether a reservation may be evicted.
#[derive(Debug)]
enum State {
    /// Its body is being received.
    Incomplete {
        progressed: Instant,
        evicted: CancellationToken,
    },
    Evicted,
    Complete,
}

/// Outcome of a try to reserve memory.
enum Growth {
    Granted,
    /// Evicted reservations will release enough.
    Pending,
    Denied(Error),
}

impl MemoryBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget {
            inner: Mutex::new(Inner {
                limit,
                used: 0,
                evicting: 0,
                reservations: SlotMap::with_key(),
            }),
            released: Notify::new(),
        }
    }

    /// Returns the sum of all reservations, in bytes.
    pub fn used(&self) -> usize {
        lock(&self.inner).used
    }

    /// Returns an empty reservation for a body that is being received, which may be evicted until
    /// [`Reservation::complete`].
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        let evicted = CancellationToken::new();
        let state = State::Incomplete {
            progressed: Instant::now(),
            evicted: evicted.clone(),
        };
        let entry = Entry { bytes: 0, state };
        Reservation {
            key: lock(&self.inner).reservations.insert(entry),
            budget: Arc::clone(self),
            evicted,
        }
    }

    /// Reserves this number of bytes if it is free now, for what can't be evicted.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut inner = lock(&self.inner);
        if inner.used + bytes > inner.limit_of(bytes) {
            return None;
        }
        inner.used += bytes;
        let state = State::Complete;
        let key = inner.reservations.insert(Entry { bytes, state });
        Some(Reservation {
            key,
            budget: Arc::clone(self),
            evicted: CancellationToken::new(),
        })
    }
}

impl Inner {
    /// Returns how much of the budget a reservation of this size may use.
    fn limit_of(&self, bytes: usize) -> usize {
        match bytes > SMALL_BYTES {
            true => self.limit - self.limit / SMALL_PART,
            false => self.limit,
        }
    }

    fn grow(&mut self, key: ReservationKey, bytes: usize, now: Instant) -> Growth {
        let entry = &self.reservations[key];
        if matches!(entry.state, State::Evicted) {
            return Growth::Denied(Error::Evicted);
        }
        let limit = self.limit_of(entry.bytes + bytes);
        if entry.bytes + bytes > limit {
            return Growth::Denied(Error::Exhausted);
        }
        if self.used + bytes <= limit {
            self.used += bytes;
            self.reservations[key].bytes += bytes;
            return Growth::Granted;
        }
        while self.used - self.evicting + bytes > limit {
            match self.least_progressing(now) {
                Some(victim) if victim != key => self.evict(victim),
                _ => return Growth::Denied(Error::Exhausted),
            }
        }
        Growth::Pending
    }

    /// Returns the incomplete reservation that has held the most memory for the longest time without progress.
    fn least_progressing(&self, now: Instant) -> Option<ReservationKey> {
        let incomplete = self.reservations.iter().filter_map(|(key, entry)| {
            let State::Incomplete { progressed, .. } = &entry.state else {
                return None;
            };
            let stalled_ms = now.duration_since(*progressed).as_millis() + 1;
            Some((entry.bytes as u128 * stalled_ms, key))
        });
        incomplete.max().map(|(_, key)| key)
    }

    fn evict(&mut self, key: ReservationKey) {
        let entry = &mut self.reservations[key];
        let state = std::mem::replace(&mut entry.state, State::Evicted);
        self.evicting += entry.bytes;
        if let State::Incomplete { evicted, .. } = state {
            evicted.cancel();
        }
        metrics::counter!("kelpworks_bodies_evicted_total").increment(1);
    }

    fn shrink(&mut self, key: ReservationKey, bytes: usize) {
        let entry = &mut self.reservations[key];
        let released = entry.bytes.saturating_sub(bytes);
        entry.bytes -= released;
        self.used -= released;
        if matches!(entry.state, State::Evicted) {
            self.evicting -= released;
        }
    }
}

/// Memory that is reserved until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    key: ReservationKey,
    evicted: CancellationToken,
}

impl Reservation {
    /// Returns its size in bytes.
    pub fn bytes(&self) -> usize {
        lock(&self.budget.inner).reservations[self.key].bytes
    }

    /// Reserves this number of bytes in addition. Waits while other reservations are being evicted for it.
    ///
    /// # Errors
    ///
    /// When no memory can be had, or this reservation was evicted.
    pub async fn grow(&mut self, bytes: usize) -> Result<()> {
        loop {
            let released = self.budget.released.notified();
            let growth = lock(&self.budget.inner).grow(self.key, bytes, Instant::now());
            match growth {
                Growth::Granted => return Ok(()),
                Growth::Pending => tokio::select! {
                    () = released => {}
                    () = self.evicted.cancelled() => {}
                },
                Growth::Denied(e) => return Err(e),
            }
        }
    }

    /// Releases all but this number of bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        lock(&self.budget.inner).shrink(self.key, bytes);
        self.budget.released.notify_waiters();
    }

    /// Records that a part of the body has arrived.
    pub fn record_progress(&self) {
        let mut inner = lock(&self.budget.inner);
        if let State::Incomplete { progressed, .. } = &mut inner.reservations[self.key].state {
            *progressed = Instant::now();
        }
    }

    /// Keeps the reservation from being evicted, unless it was already.
    pub fn complete(&self) {
        let mut inner = lock(&self.budget.inner);
        let state = &mut inner.reservations[self.key].state;
        if matches!(state, State::Incomplete { .. }) {
            *state = State::Complete;
        }
    }

    /// Returns a token that is cancelled when the reservation is evicted. Its owner then has to drop it.
    pub fn evicted(&self) -> &CancellationToken {
        &self.evicted
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut inner = lock(&self.budget.inner);
        inner.shrink(self.key, 0);
        inner.reservations.remove(self.key);
        drop(inner);
        self.budget.released.notify_waiters();
    }
}
