//! Executes placement plans: one daemon at a time orders engines to load and unload layers.
//!
//! Every daemon runs an [`Executor`]. The one that holds the placement lease plans and sends
//! orders; the others only observe the fleet. Each round starts from the current state: the active
//! register, the layers that engines report as loaded, and the health of the hosts. It decides on a
//! plan, derives the steps towards it, reads the state of the engines in the first wave of steps,
//! and sends the orders that are due. No order is recorded as done, so a later round corrects a
//! lost order, or a stale order that an engine accepted.
//!
//! One lease covers all models, because they share hosts and are planned together.
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
//! While the object API is down, the lease expires and no daemon sends orders; serving, routing and
//! recovery continue with the layers that engines have loaded. Engines do not report their
//! sessions, so an old version is unloaded only after the longest time that a request may take.

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
    /// Timing of the placement lease; must be equal on all daemons.
    pub lease: lease::Config,
    /// Interval between the starts of two rounds. Default 1 s.
    pub interval: Duration,
    /// How long a host may be down before its layers are placed elsewhere. Default 10 s.
    pub lost_after: Duration,
    /// How long liveness and rates of all hosts must be unchanged before a better plan is searched
    /// for. Default 60 s.
    pub improve_after: Duration,
    /// Longest time that a session of an old version may last; its layers are unloaded after it.
    /// Default 130 s.
    pub drain: Duration,
    /// Timeout of a query for an engine's state. Default 500 ms.
    pub poll_deadline: Duration,
    /// Rate at which the weight store delivers to the whole fleet. Default 1 GB/s.
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
    /// Returns the longest time from an order to its effect, which is also the timeout of an order.
    fn order_bound(&self) -> Duration {
        Duration::from_millis(self.lease.order_bound.as_millis())
    }
}

/// Returns the timing of a lease with this time to live, which outlasts two failed renewals.
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

/// The placement task of one daemon: keeps or watches the lease, and plans and orders while it is
/// held.
#[derive(Debug)]
pub struct Executor<E, A> {
    lease_keeper: LeaseKeeper<A>,
    rounds: Rounds<E>,
}

impl<E: Engine, A: ObjectApi> Executor<E, A> {
    /// Creates the executor of the daemon `name`. The node id in the lease is derived from the
    /// name.
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

    /// Returns this daemon's handle to the placement lease.
    pub fn lease_handle(&self) -> Arc<LeaseHandle> {
        Arc::clone(&self.lease_keeper.handle)
    }

    /// Runs until `resign` is cancelled and then releases the lease; ends at once when `stop` is
    /// cancelled.
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

/// Returns an incarnation that differs between runs of the daemon, which is all that the lease
/// needs. It increases as long as the clock does not go back.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |d| d.as_micros() as u64))
}
