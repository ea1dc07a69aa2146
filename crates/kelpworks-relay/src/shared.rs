//! What the parts of a relaying daemon share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use tokio::time::Instant;

use crate::config::Table;
use crate::crashes::Crashes;
use crate::fleet::Fleet;
use crate::pool::Pool;
use crate::repeats::Bound;
use crate::repeats::Repeats;

/// State of one daemon. Locks are held for a few lines and never across an await.
#[derive(Debug)]
pub struct Shared {
    /// Failure domain of this daemon.
    pub domain: String,
    /// The configuration in force; its version never falls.
    pub table: ArcSwap<Table>,
    fleet: Mutex<Fleet>,
    repeats: Mutex<Repeats>,
    crashes: Mutex<Crashes>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Set from the start of a planned stop: callers are told to leave their connections.
    pub closing: AtomicBool,
    /// Requests that are being served.
    pub in_flight: AtomicU64,
}

impl Shared {
    /// Nothing known yet.
    pub fn new(domain: &str, bound: Bound, daemons: usize) -> Shared {
        Shared {
            domain: domain.to_owned(),
            table: ArcSwap::from_pointee(Table::default()),
            fleet: Mutex::new(Fleet::default()),
            repeats: Mutex::new(Repeats::new(bound, daemons, Instant::now())),
            crashes: Mutex::default(),
            pool: Pool::default(),
            closing: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
        }
    }

    /// The upstreams.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Counts of repeats.
    pub fn repeats(&self) -> MutexGuard<'_, Repeats> {
        lock(&self.repeats)
    }

    /// Takes a repeat at a service from this daemon's part, if there is one left.
    pub fn take_repeat(&self, service: &Arc<str>, now: Instant) -> bool {
        let taken = self.repeats().try_take(service, now);
        let outcome = if taken { "taken" } else { "denied" };
        metrics::counter!("kelpworks_repeats_total", "outcome" => outcome).increment(1);
        taken
    }

    /// Requests that crash upstreams.
    pub fn crashes(&self) -> MutexGuard<'_, Crashes> {
        lock(&self.crashes)
    }
}

/// Each holder leaves the state consistent line by line, so a panic of one spoils nothing.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
