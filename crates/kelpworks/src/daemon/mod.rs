//! A daemon: constructs its parts, runs them, and stops them in order.

mod config_follower;
mod control;
mod head_watch;
mod host_watch;

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
use salvo::Router;
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
use crate::entry;
use crate::entry::Entry;
use crate::executor;
use crate::executor::Executor;
use crate::fleet::Fleet;
use crate::host_limits::HostLimits;
use crate::http_server::ConnectionBounds;
use crate::http_server::Server;
use crate::membership;
use crate::membership::PeerClaims;
use crate::membership::Peers;
use crate::memory_budget::MemoryBudget;
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

/// Result of starting a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Lower bound of the deadline for a probe of an upstream.
const PROBE_FLOOR: Duration = Duration::from_millis(50);
/// Deadline for a poll of an upstream, and upper bound of the deadline for a probe.
const PROBE_DEADLINE: Duration = Duration::from_millis(500);
/// Maximum size of a request head of callers, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum time without a whole request head on a connection of callers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for which a caller takes nothing of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 32;
/// Timeout at a stop for the last responses to callers and the last calls to engines.
const FINAL_REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls of the upstreams' state until every daemon has observed a new, completely loaded version.
const VERSION_PROPAGATION_POLLS: u32 = 4;

/// Why a daemon could not start.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// An address could not be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address of the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A signal handler could not be installed.
    #[error("signals: {0}")]
    Signal(std::io::Error),
    /// The object API can't be used with these settings.
    #[error("object API: {0}")]
    ObjectApi(#[from] object_api::Error),
    /// The host list can't be used with these settings.
    #[error("host list: {0}")]
    HostList(#[from] host_list::Error),
    /// The endpoint for peers could not be started.
    #[error("peers: {0}")]
    Peers(#[from] membership::Error),
    /// A metrics recorder is installed already.
    #[error("metrics: {0}")]
    Metrics(#[from] BuildError),
}

/// Addresses that a daemon listens on, with the actual ports where the settings have port 0.
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
    /// Cancelled to end the sessions in flight at once, each with a verdict.
    abort: CancellationToken,
    /// Time for the load balancer to notice a stop.
    balancer_notice: Duration,
    /// Longest wait for requests in flight at a planned stop.
    drain: Duration,
    /// Cancelled at a planned stop, so that the executor releases the placement lease.
    leave: CancellationToken,
}

/// Starts the daemon's HTTP servers.
struct Servers {
    memory: Arc<MemoryBudget>,
}

impl Servers {
    async fn start(
        &self,
        name: &'static str,
        address: SocketAddr,
        bounds: ConnectionBounds,
        router: Router,
    ) -> Result<Server> {
        let memory = Arc::clone(&self.memory);
        let server = Server::start(name, address, bounds, router, memory).await;
        server.map_err(|source| Error::Listen { address, source })
    }
}

/// Returns what connections of callers may take.
fn caller_bounds(host: HostLimits) -> ConnectionBounds {
    ConnectionBounds {
        max_connections: host.caller_connections(MAX_HEAD_BYTES),
        head_bytes: MAX_HEAD_BYTES,
        request_timeout: HEAD_TIMEOUT,
        head_timeout: HEAD_TIMEOUT,
        write_timeout: WRITE_TIMEOUT,
    }
}

impl Daemon {
    /// Starts a daemon. It serves requests once it has a configuration and upstreams.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on or a URL of the platform can't be used.
    pub async fn start(settings: &Settings, metrics: PrometheusHandle) -> Result<Daemon> {
        Daemon::start_with(settings, metrics, quarantine::Config::default()).await
    }

    /// As [`Daemon::start`], with another configuration of the quarantine.
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
        let host = settings.host.limits();
        let memory = Arc::new(MemoryBudget::new(host.body_bytes()));
        let entry = Arc::new(Entry {
            limits: settings.limits.clone(),
            memory: Arc::clone(&memory),
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
        let servers = Servers { memory };
        let listen = &settings.listen;
        let router = entry::router(&entry);
        let callers = servers.start("callers", listen.callers, caller_bounds(host), router);
        let callers = callers.await?;
        let bounds = ConnectionBounds::internal(MAX_OPERATOR_CONNECTIONS);
        let router = operators::router(&operators);
        let operators_server = servers.start("operators", listen.operators, bounds, router);
        let operators_server = operators_server.await?;
        let bound = BoundAddresses {
            callers: callers.address(),
            operators: operators_server.address(),
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

    /// Returns the addresses that the daemon listens on.
    pub fn bound_addresses(&self) -> BoundAddresses {
        self.bound
    }

    /// Returns the quarantine, which holds the facts of this daemon about requests that crash
    /// upstreams.
    pub fn quarantine(&self) -> Arc<Quarantine> {
        Arc::clone(&self.entry.driver.quarantine)
    }

    /// Stops at once, without notice to peers or callers; requests in flight are aborted.
    pub fn kill(self) {
        self.control.abort();
        self.callers.abort();
        self.operators.abort();
    }

    /// Returns a token that, when cancelled, makes a planned stop immediate: the sessions in flight
    /// end with a verdict.
    pub fn abort(&self) -> CancellationToken {
        self.abort.clone()
    }

    /// Performs a planned stop: the load balancer's check fails first, then new requests are
    /// refused while those in flight finish, then the listeners close.
    pub async fn stop(self) {
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
        self.callers.stop_accepting();
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

/// Waits for calls whose callers have disconnected and for outcomes that are not recorded yet. The
/// claim of a call that is aborted here reports "may have run" from then on.
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

/// Runs `work` until `wait` has passed or `abort` is cancelled; `None` if it did not finish.
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

/// Claims have an object API client of their own, so that resetting its connections does not
/// affect watches.
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

/// Installs the metrics recorder, which is possible once per process.
///
/// # Errors
///
/// When a recorder is installed already.
pub fn install_metrics() -> Result<PrometheusHandle> {
    Ok(PrometheusBuilder::new().install_recorder()?)
}

/// Returns a handle to a metrics recorder that is not installed and stays empty, for processes that
/// run several daemons and don't read their metrics.
pub fn build_metrics() -> PrometheusHandle {
    PrometheusBuilder::new().build_recorder().handle()
}

/// Runs a daemon until a signal stops it: the first SIGTERM or SIGINT begins a planned stop, a
/// second one makes the stop immediate.
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
