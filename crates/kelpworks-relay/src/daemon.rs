//! A relaying daemon: starts its servers and tasks, reloads its settings, and shuts down
//! gracefully.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use futures_util::future::join_all;
use jsonrpsee::server::ServerHandle;
use kelpworks::clients::object_api::ObjectApi;
use kelpworks::executor::LeaseHandle;
use kelpworks::executor::LeaseKeeper;
use kelpworks::host_limits::HostLimits;
use kelpworks::http_server::ConnectionBounds;
use kelpworks::http_server::ConnectionGate;
use kelpworks::http_server::DEFAULT_HEAD_TIMEOUT;
use kelpworks::http_server::Server;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::lease;
use kelpworks_coord::lease::Owner;
use kelpworks_coord::time::Span;
use log::info;
use log::warn;
use metrics_exporter_prometheus::PrometheusBuilder;
use salvo::Router;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::config::CallerLimits;
use crate::engine_calls::EngineCalls;
use crate::event_loop;
use crate::link_probes;
use crate::operators;
use crate::operators::Readiness;
use crate::owner_checks;
use crate::peers::Peers;
use crate::peers::StoreKind;
use crate::placer::Placer;
use crate::predecessor_checks;
use crate::relay;
use crate::relay::HandoverClient;
use crate::relay::InFlightGuard;
use crate::relay::Relay;
use crate::retry_budget::RetryLimit;
use crate::settings;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::slowness;
use crate::store_cache::StoreCache;
use crate::store_watch::StoreWatcher;
use crate::verdict_store::VerdictStore;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Fraction of the grace period for which a stopping daemon still accepts requests, while the load
/// balancer notices (after two failed checks, one per second) and callers move their connections.
const DRAIN_NOTICE_FRACTION: f64 = 0.3;
/// End of the grace period that is reserved for the last writes.
const FINAL_WRITES_RESERVE: Duration = Duration::from_millis(700);
/// Part of that reserve for the answers to requests that did not end in time.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// Interval at which the settings file is read again; it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Number of daemons assumed to share the retry budget before there is any contact with a peer.
const INITIAL_DAEMON_COUNT: usize = 8;
/// Time to live of the placement lease. When its holder is lost, another daemon leads on the basis
/// of gossip long before the lease expires. A long lease therefore costs little and saves calls; it
/// outlasts two failed renewals.
const LEASE_TTL: Span = Span::from_millis(10_000);
/// Interval between renewals; each of them is a paid call.
const LEASE_RENEW_INTERVAL: Span = Span::from_millis(3_000);
/// Maximum time from the check of the lease to the effect of an order.
const MAX_ORDER_DELAY: Span = Span::from_millis(700);
/// Interval at which daemons that do not hold the lease check it.
const LEASE_POLL_INTERVAL: Span = Span::from_millis(1_500);
/// Maximum number of connections of load balancers, and of operators.
const MAX_STATUS_CONNECTIONS: usize = 32;
/// Delay before a failed call for the lease is retried.
const LEASE_RETRY_INTERVAL: Span = Span::from_millis(400);

/// Reason why a daemon could not start.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// An address could not be bound.
    #[error("failed to listen for {listener}: {source}")]
    Listen {
        /// Name of the listener: `callers`, `peers`, `handover`, `operators` or `readiness`.
        listener: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A signal handler could not be installed.
    #[error("failed to install a signal handler: {0}")]
    Signal(std::io::Error),
    /// The settings are invalid or can't be read.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The metrics recorder could not be installed, as when the process has one already.
    #[error("failed to install the metrics recorder: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Clients of the platform's store and engines.
#[derive(Debug)]
pub struct Clients<S, E> {
    /// Client of the store for lists and watches.
    pub store: S,
    /// Client of the store for the lease, so that resetting its connections does not interrupt a
    /// watch. It shares the eras of `store`.
    pub lease_store: S,
    /// Client of the engines.
    pub engine_client: E,
}

/// A running daemon.
struct Daemon {
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    caller_server: Server,
    status_servers: Vec<Server>,
    peer_server: ServerHandle,
    /// Requests of other daemons; `None` without an address for them.
    handover_server: Option<Server>,
    /// Cancelled at the start of a planned stop: ends the lease and the placer.
    resign: CancellationToken,
    lease_task: JoinHandle<()>,
    /// Cancelled at the end of a planned stop: ends the other tasks.
    shutdown: CancellationToken,
    grace: Duration,
}

/// Runs a daemon until SIGTERM or SIGINT. SIGHUP reloads the settings from `file`.
///
/// # Errors
///
/// When the daemon can't start.
pub async fn run<A, S, E>(
    file: &Path,
    settings: Settings,
    clients: Clients<S, E>,
    mut signals: Signals,
) -> Result<()>
where
    A: Adapter,
    S: ObjectApi + 'static,
    E: EngineApi,
{
    let daemon = Daemon::start::<A, S, E>(&settings, clients).await?;
    info!(
        name:% = settings.name,
        failure_domain:% = settings.failure_domain,
        callers:% = settings.listen.callers,
        version:% = env!("CARGO_PKG_VERSION");
        "daemon started"
    );
    daemon.serve(file, settings, &mut signals).await;
    daemon.stop().await;
    Ok(())
}

/// Streams of the signals that a daemon handles.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Installs handlers. Call it first, within a runtime: until then each of these signals,
    /// including SIGHUP, terminates the process.
    ///
    /// # Errors
    ///
    /// When a handler can't be installed.
    pub fn new() -> Result<Signals> {
        let handler = |kind| signal(kind).map_err(Error::Signal);
        Ok(Signals {
            term: handler(SignalKind::terminate())?,
            int: handler(SignalKind::interrupt())?,
            hup: handler(SignalKind::hangup())?,
        })
    }
}

impl Daemon {
    async fn start<A, S, E>(settings: &Settings, clients: Clients<S, E>) -> Result<Daemon>
    where
        A: Adapter,
        S: ObjectApi + 'static,
        E: EngineApi,
    {
        let metrics = PrometheusBuilder::new().install_recorder()?;
        let retry_limit = RetryLimit {
            window: settings.repeats.window.0,
            ratio: settings.repeats.ratio,
            allowance: settings.repeats.slack,
        };
        let host = settings.host.limits();
        let domain = &settings.failure_domain;
        let shared = Shared::new(domain, retry_limit, INITIAL_DAEMON_COUNT).on_host(host);
        let shared = Arc::new(shared);
        let store_cache = Arc::new(StoreCache::new(Arc::clone(&shared)));
        let listen = &settings.listen;
        let peers = Peers::new(
            &settings.name,
            listen.peers,
            Arc::clone(&shared),
            Arc::clone(&store_cache),
            clients.store.eras().clone(),
        );
        let peers = Arc::new(peers);
        peers.set_seeds(&settings.peers.seeds);
        let shutdown = CancellationToken::new();
        let store = Arc::new(clients.store);
        for store_kind in [StoreKind::Configuration, StoreKind::Upstreams] {
            let watcher = StoreWatcher {
                api: Arc::clone(&store),
                store_cache: Arc::clone(&store_cache),
                peers: Arc::clone(&peers),
                store_kind,
            };
            tokio::spawn(watcher.run::<A>(shutdown.clone()));
        }
        shared.retry_budget().expect_predecessor();
        shared.expect_verdicts();
        let verdict_store = VerdictStore {
            api: Arc::clone(&store),
            shared: Arc::clone(&shared),
            peers: Arc::clone(&peers),
        };
        tokio::spawn(verdict_store.run(shutdown.clone()));
        let peer_server = peers.listen::<A>().await.map_err(listen_error("peers"))?;
        tokio::spawn(Arc::clone(&peers).run::<A>(shutdown.clone()));
        let resign = CancellationToken::new();
        let lease_handle = Arc::new(LeaseHandle::new(lease_config(), owner(&settings.name)));
        let lease_keeper = LeaseKeeper::new(clients.lease_store, Arc::clone(&lease_handle));
        let lease_task = {
            let peers = Arc::clone(&peers);
            let resign = resign.clone();
            // Checks of the lease by daemons that may not take it would cost a call each for
            // nothing.
            tokio::spawn(async move {
                lease_keeper
                    .run_while(
                        &resign,
                        || peers.may_take_lease(),
                        || peers.may_keep_lease(),
                    )
                    .await
            })
        };
        let engine_calls = EngineCalls::new(Arc::clone(&shared), clients.engine_client);
        let engine_calls = Arc::new(engine_calls);
        let placer = Placer::new(
            Arc::clone(&shared),
            lease_handle,
            Arc::clone(&peers),
            Arc::clone(&engine_calls),
        );
        tokio::spawn(placer.run(resign.clone()));
        let slowness_polls = slowness::run(
            Arc::clone(&shared),
            Arc::clone(&engine_calls),
            shutdown.clone(),
        );
        tokio::spawn(slowness_polls);
        let owner_checks = owner_checks::run(
            Arc::clone(&shared),
            Arc::clone(&engine_calls),
            shutdown.clone(),
        );
        tokio::spawn(owner_checks);
        tokio::spawn(link_probes::run(Arc::clone(&shared), shutdown.clone()));
        tokio::spawn(predecessor_checks::run(
            Arc::clone(&shared),
            shutdown.clone(),
        ));
        tokio::spawn(event_loop::run(Arc::clone(&shared), shutdown.clone()));
        let router = operators::readiness_router(&shared);
        let status_gate = ConnectionBounds::internal(MAX_STATUS_CONNECTIONS);
        let servers = Servers { shared: &shared };
        let readiness_server = servers.start("readiness", listen.readiness, status_gate, router);
        let readiness_server = readiness_server.await;
        let router = operators::operators_router(metrics, &shared);
        let metrics_server = servers.start("operators", listen.operators, status_gate, router);
        let metrics_server = metrics_server.await;
        let handover_client = HandoverClient::new(Arc::clone(&peers));
        let relay: Relay<A, E> = Relay::new(&shared, &engine_calls, handover_client);
        let handover_server = match listen.handover {
            Some(address) => {
                let gate = ConnectionBounds::internal(host.handover_connections());
                let router = relay::handover_router(&relay);
                let server = servers.start("handover", address, gate, router).await?;
                peers.offer_handover(address.port());
                Some(server)
            }
            None => None,
        };
        let router = relay::router(&relay);
        let gate = CallerGate {
            shared: Arc::clone(&shared),
            host,
        };
        let caller_server = servers.start("callers", listen.callers, gate, router);
        let caller_server = caller_server.await;
        Ok(Daemon {
            caller_server: caller_server?,
            status_servers: vec![readiness_server?, metrics_server?],
            shared,
            peers,
            peer_server,
            handover_server,
            resign,
            lease_task,
            shutdown,
            grace: settings.stop.grace.0,
        })
    }

    /// Serves until SIGTERM or SIGINT. Reloads the settings and logs changes of the readiness.
    async fn serve(&self, file: &Path, mut settings: Settings, signals: &mut Signals) {
        let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
        let mut ready = None;
        loop {
            tokio::select! {
                _ = signals.term.recv() => return,
                _ = signals.int.recv() => return,
                _ = signals.hup.recv() => self.reload(file, &mut settings, true),
                _ = poll.tick() => self.reload(file, &mut settings, false),
            }
            let readiness = Readiness::of(&self.shared);
            if ready.replace(readiness) != Some(readiness) {
                info!(state:% = readiness.as_str(); "readiness");
            }
        }
    }

    /// Reads the settings file again and applies the seeds, the only setting that may change at run
    /// time. Keeps the current settings when the file is invalid.
    fn reload(&self, file: &Path, settings: &mut Settings, by_signal: bool) {
        let new = match Settings::read(file) {
            Ok(new) => new,
            Err(e) => {
                warn!(error:% = e; "settings file is invalid; keeping the current settings");
                return;
            }
        };
        if new != *settings {
            self.peers.set_seeds(&new.peers.seeds);
            *settings = new;
            info!(signal = by_signal; "settings reloaded");
        }
    }

    /// Shuts down within the grace period: readiness fails first, answers ask callers to close
    /// their connections, and requests in flight finish. Those that don't are answered that they may have run.
    async fn stop(self) {
        let deadline = Instant::now() + self.grace.saturating_sub(FINAL_WRITES_RESERVE);
        self.shared.stop.begin(deadline);
        self.resign.cancel();
        info!(in_flight = self.shared.in_flight.load(Ordering::Relaxed); "stopping");
        tokio::time::sleep(self.grace.mul_f64(DRAIN_NOTICE_FRACTION)).await;
        let servers = self.handover_server.into_iter();
        let servers: Vec<Server> = servers.chain([self.caller_server]).collect();
        for server in &servers {
            server.stop_accepting();
        }
        let drained = || join_all(servers.iter().map(Server::drained));
        if tokio::time::timeout_at(deadline, drained()).await.is_err() {
            self.shared.stop.end();
            let _ = tokio::time::timeout(FINAL_ANSWERS_TIME, drained()).await;
        }
        for server in servers {
            server.abort();
        }
        let _ = tokio::time::timeout(FINAL_WRITES_RESERVE / 2, self.lease_task).await;
        self.shutdown.cancel();
        if let Err(e) = self.peer_server.stop() {
            info!(error:% = e; "peer server had already stopped");
        }
        for server in self.status_servers {
            server.stop(Duration::ZERO).await;
        }
        info!(in_flight = self.shared.in_flight.load(Ordering::Relaxed); "stopped");
    }
}

/// Starts the daemon's HTTP servers.
struct Servers<'a> {
    shared: &'a Shared,
}

impl Servers<'_> {
    /// Serves a router on an address, to connections that `gate` admits.
    async fn start(
        &self,
        name: &'static str,
        address: SocketAddr,
        gate: impl ConnectionGate,
        router: Router,
    ) -> Result<Server> {
        let memory = Arc::clone(self.shared.memory());
        let server = Server::start(name, address, gate, router, memory).await;
        server.map_err(listen_error(name))
    }
}

/// Admits connections of callers while the daemon keeps up with the requests under way, and as many as its host has
/// room for. The configuration in force at its acceptance determines a connection's bounds.
struct CallerGate {
    shared: Arc<Shared>,
    host: HostLimits,
}

impl ConnectionGate for CallerGate {
    type Unread = InFlightGuard;

    fn admit(&self) -> Option<InFlightGuard> {
        let load = self.shared.load();
        let is_admitted = self.shared.concurrency_limit().admit(load, Instant::now());
        is_admitted.then(|| InFlightGuard::new(&self.shared))
    }

    fn bounds(&self) -> ConnectionBounds {
        let table = self.shared.table.load();
        let limits = match table.version() {
            0 => CallerLimits::default(),
            _ => table.limits(),
        };
        let or_default = |timeout: Duration| match timeout.is_zero() {
            true => DEFAULT_HEAD_TIMEOUT,
            false => timeout,
        };
        let request_timeout = match table.version() {
            0 => DEFAULT_HEAD_TIMEOUT,
            _ => limits.head_timeout().unwrap_or(DEFAULT_HEAD_TIMEOUT),
        };
        ConnectionBounds {
            max_connections: self.host.caller_connections(limits.header_bytes),
            head_bytes: limits.header_bytes,
            request_timeout,
            head_timeout: or_default(limits.header_timeout),
            write_timeout: or_default(limits.idle_timeout),
        }
    }
}

fn listen_error(listener: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |source| Error::Listen { listener, source }
}

fn lease_config() -> lease::Config {
    lease::Config {
        ttl: LEASE_TTL,
        renew_interval: LEASE_RENEW_INTERVAL,
        order_bound: MAX_ORDER_DELAY,
        poll_interval: LEASE_POLL_INTERVAL,
        retry_interval: LEASE_RETRY_INTERVAL,
        ..lease::Config::default()
    }
}

/// Returns the lease owner for this run of the daemon. A later run of the same name has a higher
/// incarnation, or a different one if the clock was set back.
fn owner(name: &str) -> Owner {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |d| d.as_millis() as u64);
    Owner {
        node: NodeId::of(name),
        incarnation: Incarnation(millis),
    }
}
