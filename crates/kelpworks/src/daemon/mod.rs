//! One daemon: wires the slices together, runs them, and stops them in order.

mod control;
mod follow;
mod head_watch;
mod hosts;
mod serve;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::info;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use thiserror::Error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use kelpworks_wire::OutputForm;

use crate::admission;
use crate::admission::Admission;
use crate::border::engine::HttpEngine;
use crate::border::host_list;
use crate::border::object_api;
use crate::daemon::control::Control;
use crate::daemon::control::Shared;
use crate::daemon::serve::Server;
use crate::entry;
use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::in_force::InForce;
use crate::membership;
use crate::operators;
use crate::operators::Operators;
use crate::pipeline::Deadlines;
use crate::pipeline::Driver;
use crate::register::Register;
use crate::settings::Settings;
use crate::upstreams::Keeper;
use crate::upstreams::KeeperConfig;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Wait for the answer to a probe or a poll of an upstream.
const PROBE_DEADLINE: Duration = Duration::from_millis(500);
/// Pause between the balancer's check failing and the end of new connections.
const BALANCER_NOTICE: Duration = Duration::from_millis(500);

/// Why a daemon could not start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// An address could not be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A signal handler could not be installed.
    #[error("signals: {0}")]
    Signal(std::io::Error),
    /// The object API can't be used as it is set.
    #[error("object API: {0}")]
    ObjectApi(#[from] object_api::Error),
    /// The host list can't be used as it is set.
    #[error("host list: {0}")]
    HostList(#[from] host_list::Error),
    /// Peers can't be served.
    #[error("peers: {0}")]
    Peers(#[from] membership::Error),
    /// A recorder of metrics is installed already.
    #[error("metrics: {0}")]
    Metrics(#[from] BuildError),
}

/// Addresses that a daemon listens on, with the ports it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    bound: Bound,
    entry: Arc<Entry>,
    control: Control,
    callers: Server,
    operators: Server,
    /// Longest wait for requests in flight.
    drain: Duration,
}

impl Daemon {
    /// Starts a daemon; it serves as soon as it has a configuration and upstreams.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on or a URL of the platform can't be used.
    pub async fn start(settings: &Settings, metrics: PrometheusHandle) -> Result<Daemon> {
        let timing = &settings.timing;
        let engine = Arc::new(HttpEngine::new(timing.connect.0));
        let config = Arc::new(ArcSwap::from_pointee(InForce::default()));
        let fleet = Arc::new(ArcSwap::from_pointee(Fleet::default()));
        let (register, register_rx) = watch::channel(Arc::new(Register::default()));
        let keeper_cfg = KeeperConfig {
            state_poll: timing.state_poll.0,
            poll_deadline: PROBE_DEADLINE,
        };
        let keeper = Keeper::new(
            keeper_cfg,
            Arc::clone(&engine),
            register_rx,
            Arc::clone(&fleet),
        );
        let reports = keeper.reports();
        let admission = Admission::new(admission_config(settings));
        let driver = Driver {
            engine: Arc::clone(&engine),
            fleet: Arc::clone(&fleet),
            reports: reports.clone(),
            domain: settings.failure_domain.clone(),
            deadlines: Deadlines {
                floor: timing.step_floor.0,
                ceiling: timing.step_ceiling.0,
                probe: PROBE_DEADLINE,
            },
            output: OutputForm::Handle,
            start: Instant::now(),
        };
        let shared = Shared {
            config: Arc::clone(&config),
            register,
            keeper,
            admission: admission.clone(),
        };
        let control = Control::start(settings, shared).await?;
        let entry = Arc::new(Entry {
            limits: settings.limits.clone(),
            request_timeout: timing.request.0,
            config,
            fleet,
            admission,
            driver,
            engine,
            reports,
            tasks: TaskTracker::new(),
            draining: AtomicBool::new(false),
        });
        let operators = Operators {
            name: settings.name.clone(),
            entry: Arc::clone(&entry),
            peers: control.peers.clone(),
            metrics,
        };
        let callers = Server::start(settings.listen.callers, entry::router(&entry)).await?;
        let shown = Server::start(settings.listen.operators, operators::router(&operators)).await?;
        let bound = Bound {
            callers: callers.address,
            operators: shown.address,
            peers: control.peers.address(),
        };
        info!(callers:% = bound.callers, operators:% = bound.operators; "daemon started");
        Ok(Daemon {
            bound,
            entry,
            control,
            callers,
            operators: shown,
            drain: timing.drain.0,
        })
    }

    /// The addresses it got.
    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// Ends at once, without a word to anyone; requests in flight are cut off.
    pub fn abort(self) {
        self.control.abort();
        self.callers.abort();
        self.operators.abort();
    }

    /// A planned stop: the balancer's check fails first, then requests in flight finish, then
    /// the addresses close.
    pub async fn stop(self) {
        self.entry.draining.store(true, Ordering::Relaxed);
        self.control.peers.set_leaving();
        info!("stopping, {} sessions in flight", self.entry.tasks.len());
        tokio::time::sleep(BALANCER_NOTICE).await;
        self.callers.stop(self.drain).await;
        self.entry.tasks.close();
        let _ = tokio::time::timeout(self.drain, self.entry.tasks.wait()).await;
        self.control.leave().await;
        self.operators.stop(Duration::ZERO).await;
        info!("stopped");
    }
}

fn admission_config(settings: &Settings) -> admission::Config {
    admission::Config {
        queue: settings.limits.queue,
        ..admission::Config::default()
    }
}

/// Installs the recorder of metrics; once in a process.
///
/// # Errors
///
/// When one is installed already.
pub fn install_metrics() -> Result<PrometheusHandle> {
    Ok(PrometheusBuilder::new().install_recorder()?)
}

/// A recorder of metrics that nothing is recorded in: for several daemons in one process that
/// are not looked at.
pub fn build_metrics() -> PrometheusHandle {
    PrometheusBuilder::new().build_recorder().handle()
}

/// Runs a daemon until the process is told to stop: a first SIGTERM or SIGINT begins a planned
/// stop, a second ends it at once.
///
/// # Errors
///
/// When the daemon can't start.
pub async fn run(settings: &Settings) -> Result<()> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
    let daemon = Daemon::start(settings, install_metrics()?).await?;
    let Bound {
        callers,
        operators,
        peers,
    } = daemon.bound();
    println!(
        "{}",
        serde_json::json!({ "callers": callers, "operators": operators, "peers": peers })
    );
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    tokio::select! {
        () = daemon.stop() => {}
        _ = term.recv() => info!("stopped at once"),
        _ = int.recv() => info!("stopped at once"),
    }
    Ok(())
}
