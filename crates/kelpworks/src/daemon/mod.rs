//! One daemon: wires the slices together, runs them, and stops them in order.

mod config_follower;
mod control;
mod head_watch;
mod host_watch;
mod serve;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
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
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::active_config::ActiveConfig;
use crate::admission;
use crate::admission::Admission;
use crate::claims;
use crate::claims::Claims;
use crate::clients::engine::HttpEngine;
use crate::clients::host_list;
use crate::clients::object_api;
use crate::clients::object_api::HttpObjectApi;
use crate::daemon::control::Control;
use crate::daemon::control::Shared;
use crate::daemon::serve::Server;
use crate::entry;
use crate::entry::Entry;
use crate::executor;
use crate::executor::Executor;
use crate::fleet::Fleet;
use crate::membership;
use crate::membership::PeerClaims;
use crate::membership::Peers;
use crate::operators;
use crate::operators::Operators;
use crate::pipeline::Deadlines;
use crate::pipeline::Driver;
use crate::quarantine;
use crate::quarantine::Quarantine;
use crate::register::Register;
use crate::retry::BusyConfig;
use crate::retry::Cooldowns;
use crate::retry::DeadlineConfig;
use crate::retry::RetryBudget;
use crate::retry::RetryConfig;
use crate::settings::Settings;
use crate::upstreams::UpstreamMonitor;
use crate::upstreams::UpstreamMonitorConfig;
use kelpworks_coord::id::NodeId;
use kelpworks_wire::OutputForm;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Wait for the answer to a probe of an upstream, at least.
const PROBE_FLOOR: Duration = Duration::from_millis(50);
/// Wait for the answer to a poll of an upstream, and to a probe at most.
const PROBE_DEADLINE: Duration = Duration::from_millis(500);
/// Wait for the last answers and the last calls to engines of a stop.
const FINAL_REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls until every daemon knows of a new version that is whole.
const VERSION_PROPAGATION_POLLS: u32 = 4;

/// Why a daemon could not start.
#[derive(Debug)]
#[derive(Error)]
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
pub struct BoundAddresses {
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
    bound: BoundAddresses,
    entry: Arc<Entry>,
    control: Control,
    callers: Server,
    operators: Server,
    /// Ends the sessions in flight at once, each with a verdict.
    abort: CancellationToken,
    /// Time for the balancer to notice a stop.
    balancer_notice: Duration,
    /// Longest wait for requests in flight.
    drain: Duration,
    /// Cancelled at a planned stop: gives the placement lease up.
    leave: CancellationToken,
}

impl Daemon {
    /// Starts a daemon; it serves as soon as it has a configuration and upstreams.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on or a URL of the platform can't be used.
    pub async fn start(settings: &Settings, metrics: PrometheusHandle) -> Result<Daemon> {
        Daemon::start_with(settings, metrics, quarantine::Config::default()).await
    }

    /// As [`Daemon::start`], with bounds of its own on suspects and refused requests.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub async fn start_with(
        settings: &Settings,
        metrics: PrometheusHandle,
        quarantine: quarantine::Config,
    ) -> Result<Daemon> {
        let timing = &settings.timing;
        let engine = Arc::new(HttpEngine::new(timing.connect.0));
        let config = Arc::new(ArcSwap::from_pointee(ActiveConfig::default()));
        let fleet = Arc::new(ArcSwap::from_pointee(Fleet::default()));
        let (register, register_rx) = watch::channel(Arc::new(Register::default()));
        let monitor_cfg = UpstreamMonitorConfig {
            state_poll: timing.state_poll.0,
            poll_deadline: PROBE_DEADLINE,
        };
        let upstream_monitor = UpstreamMonitor::new(
            monitor_cfg,
            Arc::clone(&engine),
            register_rx,
            Arc::clone(&fleet),
        );
        let reports = upstream_monitor.reports();
        let leave = CancellationToken::new();
        let abort = CancellationToken::new();
        let tasks = TaskTracker::new();
        let admission = Admission::new(admission_config(settings));
        let quarantine = Arc::new(Quarantine::new(quarantine, NodeId::of(&settings.name)));
        let driver = Driver {
            engine: Arc::clone(&engine),
            fleet: Arc::clone(&fleet),
            reports: reports.clone(),
            domain: settings.failure_domain.clone(),
            deadlines: Deadlines {
                step: DeadlineConfig {
                    floor: timing.step_floor.0,
                    ceiling: timing.step_ceiling.0,
                    ..DeadlineConfig::default()
                },
                probe: DeadlineConfig {
                    floor: PROBE_FLOOR,
                    ceiling: PROBE_DEADLINE,
                    ..DeadlineConfig::default()
                },
            },
            output: OutputForm::Handle,
            start: Instant::now(),
            quarantine: Arc::clone(&quarantine),
            retries: Mutex::new(RetryBudget::new(RetryConfig::default())),
            cooldowns: Mutex::new(Cooldowns::new(BusyConfig::default())),
            abort: abort.clone(),
            tasks: tasks.clone(),
        };
        let shared = Shared {
            config: Arc::clone(&config),
            register,
            upstream_monitor,
            admission: admission.clone(),
            quarantine,
        };
        let control = Control::start(settings, shared).await?;
        if settings.placement.enabled {
            let executor = executor(settings, &engine, &config, &fleet)?;
            tokio::spawn(executor.run(leave.clone(), control.stop.clone()));
        }
        let claims = Arc::new(claims(settings, &control.peers, tasks.clone())?);
        control.peers.serve_claims(&claims, control.stop.clone());
        let entry = Arc::new(Entry {
            limits: settings.limits.clone(),
            request_timeout: timing.request.0,
            config,
            fleet,
            admission,
            driver,
            engine,
            reports,
            claims,
            tasks,
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let operators = Operators {
            name: settings.name.clone(),
            was_ready: Arc::default(),
            entry: Arc::clone(&entry),
            peers: control.peers.clone(),
            object_api: control.object_api(),
            metrics,
        };
        let callers = Server::start(settings.listen.callers, entry::router(&entry)).await?;
        let operators_server =
            Server::start(settings.listen.operators, operators::router(&operators)).await?;
        let bound = BoundAddresses {
            callers: callers.address,
            operators: operators_server.address,
            peers: control.peers.address(),
        };
        info!(callers:% = bound.callers, operators:% = bound.operators; "daemon started");
        Ok(Daemon {
            bound,
            entry,
            control,
            callers,
            operators: operators_server,
            abort,
            balancer_notice: timing.balancer_notice.0,
            drain: timing.drain.0,
            leave,
        })
    }

    /// The addresses it got.
    pub fn bound_addresses(&self) -> BoundAddresses {
        self.bound
    }

    /// Requests that crash upstreams, as this daemon knows them; to exchange facts with others.
    pub fn quarantine(&self) -> Arc<Quarantine> {
        Arc::clone(&self.entry.driver.quarantine)
    }

    /// Ends at once, without a word to anyone; requests in flight are cut off.
    pub fn kill(self) {
        self.control.abort();
        self.callers.abort();
        self.operators.abort();
    }

    /// What ends a stop at once: sessions in flight end with a verdict.
    pub fn abort(&self) -> CancellationToken {
        self.abort.clone()
    }

    /// A planned stop: the balancer's check fails first, then new requests are refused while
    /// those in flight finish, then the addresses close.
    pub async fn stop(mut self) {
        self.entry.draining.store(true, Ordering::Relaxed);
        self.leave.cancel();
        self.control.peers.set_leaving();
        info!("stopping, {} sessions in flight", self.entry.tasks.len());
        let _ = timeout_or_abort(
            self.balancer_notice,
            &self.abort,
            std::future::pending::<()>(),
        )
        .await;
        self.entry.closed.store(true, Ordering::Relaxed);
        self.callers.close();
        let drained_by = Instant::now() + self.drain;
        let drained = timeout_or_abort(self.drain, &self.abort, self.callers.drained()).await;
        if drained.is_none() {
            self.abort.cancel();
            self.callers.stop(FINAL_REPLY_TIMEOUT).await;
        }
        wait_for_tasks(&self.entry.tasks, drained_by, &self.abort).await;
        self.control.leave().await;
        self.operators.stop(Duration::ZERO).await;
        info!("stopped");
    }
}

/// Waits for calls that outlive their callers and for outcomes that are not recorded yet: what is
/// cut off here reads "may have run" ever after.
async fn wait_for_tasks(tasks: &TaskTracker, by: Instant, abort: &CancellationToken) {
    tasks.close();
    let left = by.saturating_duration_since(Instant::now());
    if timeout_or_abort(left, abort, tasks.wait()).await.is_none() {
        let _ = tokio::time::timeout(FINAL_REPLY_TIMEOUT, tasks.wait()).await;
    }
}

fn executor(
    settings: &Settings,
    engine: &Arc<HttpEngine>,
    config: &Arc<ArcSwap<ActiveConfig>>,
    fleet: &Arc<ArcSwap<Fleet>>,
) -> Result<Executor<HttpEngine, HttpObjectApi>> {
    Ok(Executor::new(
        executor_config(settings),
        &settings.name,
        Arc::clone(engine),
        object_api(settings)?,
        Arc::clone(config),
        Arc::clone(fleet),
    ))
}

fn executor_config(settings: &Settings) -> executor::Config {
    let placement = &settings.placement;
    executor::Config {
        lease: executor::lease_config(placement.lease.0, placement.order_bound.0),
        interval: placement.interval.0,
        lost_after: placement.lost_after.0,
        improve_after: placement.improve_after.0,
        drain: settings.timing.request.0 + settings.timing.state_poll.0 * VERSION_PROPAGATION_POLLS,
        poll_deadline: PROBE_DEADLINE,
        weight_rate: placement.weight_rate,
    }
}

/// Waits for `work`, at most `wait` and not beyond `abort`; `None` when it was not done by then.
async fn timeout_or_abort<T>(
    wait: Duration,
    abort: &CancellationToken,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        done = work => Some(done),
        () = tokio::time::sleep(wait) => None,
        () = abort.cancelled() => None,
    }
}

fn admission_config(settings: &Settings) -> admission::Config {
    admission::Config {
        max_waiting: settings.limits.queue,
        token_target: settings.limits.token_target.0,
        ..admission::Config::default()
    }
}

/// Claims have a client of their own, so that leaving its connections behind touches no watch.
fn claims(settings: &Settings, peers: &Peers, tasks: TaskTracker) -> Result<PeerClaims> {
    let cfg = claims::Config {
        writes_per_second: u64::from(settings.limits.claim_writes_per_second),
        ..claims::Config::new(&settings.name)
    };
    Ok(Claims::new(
        cfg,
        object_api(settings)?,
        peers.clone(),
        tasks,
    ))
}

fn object_api(settings: &Settings) -> Result<HttpObjectApi> {
    let deadlines = object_api::Deadlines::default();
    Ok(HttpObjectApi::new(
        &settings.platform.object_api,
        deadlines,
    )?)
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
    let BoundAddresses {
        callers,
        operators,
        peers,
    } = daemon.bound_addresses();
    println!(
        "{}",
        serde_json::json!({ "callers": callers, "operators": operators, "peers": peers })
    );
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    let abort = daemon.abort();
    let stop = daemon.stop();
    tokio::pin!(stop);
    tokio::select! {
        () = &mut stop => return Ok(()),
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    info!("stopping at once");
    abort.cancel();
    stop.await;
    Ok(())
}
