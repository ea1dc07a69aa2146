//! Carries placement out: one daemon at a time orders engines to load and drop layers.
//!
//! Every daemon runs an [`Executor`]; the one that holds the placement lease plans and orders, the
//! others only watch. Each round starts from what is there: the register in force, what engines
//! say that they hold, and which hosts are up. It settles on a plan, works out the steps to it,
//! reads back the engines that the first wave of steps concerns, and sends the orders that are
//! due. Nothing is remembered as done, so a lost order, or a stale one that an engine took, is
//! made good by a later round.
//!
//! One lease covers all models, since they share hosts and are planned together.
//!
//! ```no_run
//! use std::sync::Arc;
//!
//! use arc_swap::ArcSwap;
//! use kelpworks::clients::engine::HttpEngine;
//! use kelpworks::clients::object_api::Deadlines;
//! use kelpworks::clients::object_api::HttpObjectApi;
//! use kelpworks::executor::Config;
//! use kelpworks::executor::Executor;
//! use kelpworks::fleet::Fleet;
//! use kelpworks::active_config::ActiveConfig;
//! use tokio_util::sync::CancellationToken;
//!
//! # async fn f(config: Arc<ArcSwap<ActiveConfig>>, fleet: Arc<ArcSwap<Fleet>>) {
//! let api = HttpObjectApi::new("http://10.0.1.1:8000", Deadlines::default()).unwrap();
//! let engine = Arc::new(HttpEngine::new(std::time::Duration::from_secs(1)));
//! let executor = Executor::new(Config::default(), "entry-1", engine, api, config, fleet);
//! executor.run(CancellationToken::new(), CancellationToken::new()).await;
//! # }
//! ```
//!
//! # Limits
//!
//! While the object API is down the holder's lease runs out and nobody orders anything; serving,
//! routing and recovery go on over what engines hold. Engines don't say which sessions they hold,
//! so an old version is dropped only after the longest time that a request may take.

mod degraded;
mod lease_keeper;
mod liveness;
mod order_scheduler;
mod planning;
mod round;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arc_swap::ArcSwap;
use tokio_util::sync::CancellationToken;

use crate::clients::engine::Engine;
use crate::clients::object_api::ObjectApi;

use crate::active_config::ActiveConfig;
use crate::executor::round::Rounds;
use crate::fleet::Fleet;
use crate::units::Rate;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::lease;
use kelpworks_coord::lease::Owner;
use kelpworks_coord::time::Span;

pub use lease_keeper::LEASE_KIND;
pub use lease_keeper::LEASE_NAME;
pub use lease_keeper::LeaseHandle;
pub use lease_keeper::LeaseKeeper;

/// Settings of an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Times of the lease; the same on all daemons.
    pub lease: lease::Config,
    /// Time between two rounds. Default 1 s.
    pub interval: Duration,
    /// How long a host may be down before its layers are placed elsewhere. Default 10 s.
    pub lost_after: Duration,
    /// How long hosts must stay as they are before a better plan is looked for. Default 60 s.
    pub improve_after: Duration,
    /// How long sessions of an old version may last. Default 130 s.
    pub drain: Duration,
    /// Longest wait for an engine's state. Default 500 ms.
    pub poll_deadline: Duration,
    /// What the weight store delivers to the whole fleet. Default 1 GB/s.
    pub weight_rate: Rate,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            lease: lease::Config::default(),
            interval: Duration::from_secs(1),
            lost_after: Duration::from_secs(10),
            improve_after: Duration::from_secs(60),
            drain: Duration::from_secs(130),
            poll_deadline: Duration::from_millis(500),
            weight_rate: Rate(1_000_000_000),
        }
    }
}

impl Config {
    /// Order bound of the lease, as a duration.
    fn order_bound(&self) -> Duration {
        Duration::from_millis(self.lease.order_bound.as_millis())
    }
}

/// Times of a lease of this length: two renewals may fail before it ends.
pub fn lease_config(ttl: Duration, order_bound: Duration) -> lease::Config {
    let millis = |d: Duration| Span::from_millis(d.as_millis() as u64);
    lease::Config {
        ttl: millis(ttl),
        renew_interval: millis(ttl * 3 / 10),
        order_bound: millis(order_bound),
        poll_interval: millis(ttl / 5),
        retry_interval: millis(ttl / 20),
        ..lease::Config::default()
    }
}

/// One daemon's part in placement.
#[derive(Debug)]
pub struct Executor<E, A> {
    lease_keeper: LeaseKeeper<A>,
    rounds: Rounds<E>,
}

impl<E: Engine, A: ObjectApi> Executor<E, A> {
    /// The executor of the daemon of this name.
    pub fn new(
        cfg: Config,
        name: &str,
        engine: Arc<E>,
        api: A,
        config: Arc<ArcSwap<ActiveConfig>>,
        fleet: Arc<ArcSwap<Fleet>>,
    ) -> Executor<E, A> {
        let me = Owner {
            node: NodeId::of(name),
            incarnation: incarnation(),
        };
        let handle = Arc::new(LeaseHandle::new(cfg.lease, me));
        let lease_keeper = LeaseKeeper {
            api,
            handle: Arc::clone(&handle),
        };
        Executor {
            lease_keeper,
            rounds: Rounds::new(cfg, handle, engine, config, fleet),
        }
    }

    /// This daemon's handle on the placement lease.
    pub fn lease_handle(&self) -> Arc<LeaseHandle> {
        Arc::clone(&self.lease_keeper.handle)
    }

    /// Runs until `leave`, then gives the lease up; ends at once on `stop`.
    pub async fn run(self, resign: CancellationToken, stop: CancellationToken) {
        let Executor {
            lease_keeper,
            mut rounds,
        } = self;
        let tasks = async {
            tokio::select! {
                () = lease_keeper.run(&resign) => {}
                () = rounds.run() => {}
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = tasks => {}
        }
    }
}

/// Higher for a later run of the same daemon, as far as its clock goes forward. The lease only
/// needs it to differ.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |d| d.as_micros() as u64))
}
