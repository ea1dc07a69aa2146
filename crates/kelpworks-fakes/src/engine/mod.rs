//! The stand-in engine: serves the engine border over a layer range of stand-in models.
//!
//! A scheduler runs waiting steps in iterations, paying work first, as an engine with continuous
//! batching does. Time is one line: `iteration_base + layers * positions / layer_rate`, on the
//! clock of tokio. With the defaults an iteration takes no time at all.
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
//! Limits: timers of tokio round up to a millisecond. A busy engine makes up for it, and keeps its
//! modelled rate; one with few steps at a time does not, so choose iterations of 10 ms and more
//! where time is measured. A prompt that crashes an engine ([`POISON`]) is seen only where tokens come in, so by
//! engines that run layer 0.

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

/// A running stand-in engine; dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
    _scheduler: AbortOnDropHandle<()>,
}

/// What the handlers, the scheduler and the handle share.
#[derive(Debug)]
struct Shared {
    cfg: EngineConfig,
    url: String,
    /// Changes at each crash; steps begun under an older one are never answered.
    incarnation: AtomicU64,
    core: Mutex<Core>,
    cache: Mutex<PrefixCache>,
    queue: Queue,
    load_report: Mutex<LoadReportCache>,
    ledger: Ledger,
    faults: Faults,
    /// How many times longer than configured an iteration takes; above 0.
    slowdown: Mutex<f64>,
    /// The latest true reply to a step, for [`FaultKind::PreviousReply`].
    previous: Mutex<Option<StepReply>>,
    client: reqwest::Client,
    /// Set once the server runs.
    listen_switch: OnceLock<ListenSwitch>,
}

impl Engine {
    /// Starts an engine on the port of its configuration.
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

    /// Host name.
    pub fn name(&self) -> &str {
        &self.shared.cfg.name
    }

    /// The configuration it started with.
    pub fn config(&self) -> &EngineConfig {
        &self.shared.cfg
    }

    /// Base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Its faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// What it ran; outlives crashes.
    pub fn ledger(&self) -> &Ledger {
        &self.shared.ledger
    }

    /// What it reports of itself.
    pub fn state(&self) -> EngineState {
        self.shared.state()
    }

    /// Sessions that hold memory now.
    pub fn sessions(&self) -> usize {
        lock(&self.shared.core).sessions.len()
    }

    /// Free KV cache, in positions.
    pub fn kv_free(&self) -> u64 {
        lock(&self.shared.core).kv_free()
    }

    /// Sets whether it refuses new sessions.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.shared.core).set_draining(draining);
    }

    /// Crashes it: connections close, sessions are lost, and it restarts after
    /// [`EngineConfig::restart_after`], or not before [`Engine::restart`].
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Brings it up again after a crash.
    pub fn restart(&self) {
        self.set_listening(true);
    }

    /// Closes its port and all connections, or opens the port again; unlike a crash it keeps its
    /// sessions and its incarnation.
    pub fn set_listening(&self, listening: bool) {
        self.server.listen_switch().set_listening(listening);
    }

    /// Makes it run this many times slower than configured, as a degraded accelerator does.
    ///
    /// # Panics
    ///
    /// When the factor is not above 0.
    pub fn set_slowdown(&self, factor: f64) {
        assert!(factor > 0.0, "a slowdown is above 0");
        *lock(&self.shared.slowdown) = factor;
    }

    /// Stops it; the same as dropping it.
    pub fn stop(self) {}
}

impl Shared {
    fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Whether a fault of this kind strikes a step now.
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
            // Together, so that no run of the old sessions is noted under the new incarnation.
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
