//! The fake engine: serves the HTTP interface of an engine over layer ranges of a fake [`Model`].
//!
//! [`Model`]: crate::Model
//!
//! A scheduler runs queued steps in iterations, those of class paying first, as an engine with
//! continuous batching does. An iteration takes `iteration_base + layer_positions / layer_rate`
//! on tokio's clock, where `layer_positions` sums layers times positions over its steps. With the
//! defaults an iteration takes no time.
//!
//! ```
//! use kelpworks_fakes::Engine;
//! use kelpworks_fakes::EngineConfig;
//! use kelpworks_fakes::Fault;
//! use kelpworks_fakes::FaultKind;
//! use kelpworks_fakes::Model;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> kelpworks_fakes::Result<()> {
//! let mut cfg = EngineConfig::new("engine-0", vec![Model::new("caption", "1", 8)]);
//! cfg.load("caption", 0..4);
//! let engine = Engine::spawn(cfg).await?;
//! engine.faults().add(Fault::once(FaultKind::ResetAfter).on("/v1/steps"));
//! # Ok(())
//! # }
//! ```
//!
//! Limits: tokio's timers round up to a millisecond. An engine whose queue is never empty
//! compensates for this and keeps its modelled rate; one with few steps at a time does not, so
//! choose iterations of 10 ms or more where time is measured. Only an engine that runs layer 0
//! receives tokens, so only such an engine detects a prompt with [`POISON`].

mod cache;
mod config;
mod core;
mod http;
mod ledger;
mod load;
mod orders;
mod scheduler;
mod sessions;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio_util::task::AbortOnDropHandle;

use self::cache::PrefixCache;
use self::core::Core;
use self::load::LoadReportCache;
use self::scheduler::Queue;
use crate::error::Result;
use crate::fault::FaultKind;
use crate::fault::Faults;
use crate::fault::lock;
use crate::server::ListenSwitch;
use crate::server::Port;
use crate::server::Server;
use kelpworks_wire::EngineState;
use kelpworks_wire::StepReply;

pub use self::config::EngineConfig;
pub use self::config::POISON;
pub use self::ledger::Ledger;
pub use self::ledger::LedgerView;
pub use self::ledger::OrderRecord;
pub use self::ledger::Run;
pub use self::ledger::Totals;

/// A running fake engine; dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
    _scheduler: AbortOnDropHandle<()>,
}

/// State shared by the HTTP handlers, the scheduler and [`Engine`].
#[derive(Debug)]
struct Shared {
    cfg: EngineConfig,
    url: String,
    /// Random; changes at each crash. Steps started under an earlier one are never answered.
    incarnation: AtomicU64,
    core: Mutex<Core>,
    cache: Mutex<PrefixCache>,
    queue: Queue,
    load_report: Mutex<LoadReportCache>,
    ledger: Ledger,
    faults: Faults,
    /// Factor on the configured duration of an iteration; above 0.
    slowdown: Mutex<f64>,
    /// The latest reply to a step before any fault was applied, for [`FaultKind::PreviousReply`].
    previous: Mutex<Option<StepReply>>,
    client: reqwest::Client,
    /// Set once the server has started.
    listen_switch: OnceLock<ListenSwitch>,
}

impl Engine {
    /// Starts an engine on the configured port.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound, or a loaded range is not one of the configured models.
    pub async fn spawn(cfg: EngineConfig) -> Result<Engine> {
        let faults = Faults::default();
        let port = Port::bind(cfg.port)?;
        let ledger = Ledger::new(cfg.ledger_limit);
        let shared = Arc::new(Shared {
            url: port.url(),
            incarnation: AtomicU64::new(rand::random()),
            core: Mutex::new(Core::new(&cfg)?),
            cache: Mutex::new(PrefixCache::new(cfg.cache_entries, cfg.cache_event_delay)),
            queue: Queue::default(),
            load_report: Mutex::new(LoadReportCache::default()),
            ledger,
            faults: faults.clone(),
            slowdown: Mutex::new(1.0),
            previous: Mutex::new(None),
            client: reqwest::Client::builder().no_proxy().build()?,
            listen_switch: OnceLock::new(),
            cfg,
        });
        let server = port.serve(faults, shared.clone(), http::router())?;
        let _ = shared.listen_switch.set(server.listen_switch().clone());
        let scheduler = tokio::spawn(scheduler::run(shared.clone()));
        Ok(Engine {
            shared,
            server,
            _scheduler: AbortOnDropHandle::new(scheduler),
        })
    }

    /// Returns the host name.
    pub fn name(&self) -> &str {
        &self.shared.cfg.name
    }

    /// Returns the configuration at start.
    pub fn config(&self) -> &EngineConfig {
        &self.shared.cfg
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the faults to inject; changes apply to the next request.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the ledger of runs and orders, which survives crashes.
    pub fn ledger(&self) -> &Ledger {
        &self.shared.ledger
    }

    /// Returns the state that `GET /v1/state` reports.
    pub fn state(&self) -> EngineState {
        self.shared.state()
    }

    /// Returns the number of sessions that occupy the KV cache.
    pub fn sessions(&self) -> usize {
        lock(&self.shared.core).sessions.len()
    }

    /// Returns the free capacity of the KV cache, in positions.
    pub fn kv_free(&self) -> u64 {
        lock(&self.shared.core).kv_free()
    }

    /// Sets whether the engine refuses new sessions.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.shared.core).set_draining(draining);
    }

    /// Crashes the engine: its connections close and its sessions are lost.
    ///
    /// It restarts after [`EngineConfig::restart_after`], or by [`Engine::restart`] if that is
    /// absent.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Opens the port again after a crash.
    pub fn restart(&self) {
        self.set_listening(true);
    }

    /// Closes the port and all connections, or opens the port again.
    ///
    /// Unlike a crash this keeps the sessions and the incarnation.
    pub fn set_listening(&self, listening: bool) {
        self.server.listen_switch().set_listening(listening);
    }

    /// Multiplies the duration of iterations by `factor`, as a degraded accelerator does.
    ///
    /// # Panics
    ///
    /// When the factor is not above 0.
    pub fn set_slowdown(&self, factor: f64) {
        assert!(factor > 0.0, "the slowdown factor must be above 0");
        *lock(&self.shared.slowdown) = factor;
    }

    /// Stops the engine, as dropping it does.
    pub fn stop(self) {}
}

impl Shared {
    fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Takes a fault of this kind that applies to steps; returns whether there was one.
    fn take_step_fault(&self, kind: &FaultKind) -> bool {
        self.faults
            .take_application(http::STEPS, |k| k == kind)
            .is_some()
    }

    fn state(&self) -> EngineState {
        let load = self.load();
        lock(&self.core).state(&self.cfg.name, self.incarnation(), load)
    }

    fn crash(&self) {
        {
            // Under one lock, so that no run of an old session is recorded under the new
            // incarnation.
            let mut core = lock(&self.core);
            self.incarnation.store(rand::random(), Ordering::Release);
            core.drop_sessions_and_loads();
        }
        lock(&self.cache).clear();
        self.queue.clear();
        self.ledger.record_crash();
        let Some(listen_switch) = self.listen_switch.get().cloned() else {
            return;
        };
        listen_switch.set_listening(false);
        if let Some(after) = self.cfg.restart_after {
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                listen_switch.set_listening(true);
            });
        }
    }
}

#[cfg(test)]
mod tests;
