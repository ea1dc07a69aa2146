//! One relaying daemon: starts its parts, reloads its settings, and stops in order.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jsonrpsee::server::ServerHandle;
use kelpworks::clients::object_api::ObjectApi;
use kelpworks::executor::LeaseHandle;
use kelpworks::executor::LeaseKeeper;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::lease;
use kelpworks_coord::lease::Owner;
use kelpworks_coord::time::Span;
use log::info;
use log::warn;
use metrics_exporter_prometheus::PrometheusBuilder;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::operators;
use crate::operators::Readiness;
use crate::peers::Peers;
use crate::peers::StoreKind;
use crate::placer::Placer;
use crate::relay;
use crate::retry_budget::RetryLimit;
use crate::server::Server;
use crate::settings;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::slowness;
use crate::store_cache::StoreCache;
use crate::store_watch::StoreWatcher;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Longest idle time of a caller's connection: the configuration's limit is enforced by closing no
/// sooner, and callers leave theirs before it.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Part of the grace time for which a stopping daemon still takes requests, so that the balancer
/// notices (two misses at one a second) and callers move their connections.
const DRAIN_NOTICE_FRACTION: f64 = 0.3;
/// Kept back of the grace time for the last writes.
const FINAL_WRITES_RESERVE: Duration = Duration::from_millis(700);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Daemons assumed to share a bound before any was heard of.
const INITIAL_DAEMON_COUNT: usize = 8;
/// Length of the placement lease. When its holder is lost another daemon leads by what peers tell,
/// long before the lease ends, so it is as long as saves calls, with room for two failed renewals.
const LEASE_TTL: Span = Span::from_millis(10_000);
/// Time between renewals; each is a paid call.
const LEASE_RENEW_INTERVAL: Span = Span::from_millis(3_000);
/// Longest time from the check of the lease to an order's effect.
const MAX_ORDER_DELAY: Span = Span::from_millis(700);
/// Time between two looks of the others at the lease.
const LEASE_POLL_INTERVAL: Span = Span::from_millis(1_500);
/// Pause before a failed call for the lease is made again.
const LEASE_RETRY_INTERVAL: Span = Span::from_millis(400);

/// Why a daemon could not start.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// An address could not be listened on.
    #[error("listen for {listener}: {source}")]
    Listen {
        /// Who would connect.
        listener: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// A signal handler could not be installed.
    #[error("signals: {0}")]
    Signal(std::io::Error),
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A recorder of metrics is installed already.
    #[error("metrics: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Clients of the platform.
#[derive(Debug)]
pub struct Clients<S, E> {
    /// The store, for following it.
    pub store: S,
    /// The store, for the lease, so that a new connection of one disturbs no watch of the other; it shares
    /// the other's eras.
    pub lease_store: S,
    /// Orders to engines.
    pub engine_client: E,
}

/// A running daemon.
struct Daemon {
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    caller_server: Server,
    operator_servers: Vec<Server>,
    peer_server: ServerHandle,
    /// Ends the lease at the start of a planned stop.
    resign: CancellationToken,
    lease_task: JoinHandle<()>,
    /// Ends the other tasks at its end.
    shutdown: CancellationToken,
    grace: Duration,
}

/// Runs a daemon until the process is told to stop; SIGHUP reads the settings again.
///
/// # Errors
///
/// When it can't start.
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

/// The signals that a daemon acts on.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Takes them over. To be called first of all, within a runtime: what comes before it ends the
    /// process, also SIGHUP.
    ///
    /// # Errors
    ///
    /// When the system refuses a handler.
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
        let shared = Arc::new(Shared::new(
            &settings.failure_domain,
            retry_limit,
            INITIAL_DAEMON_COUNT,
        ));
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
        let peer_server = peers.listen::<A>().await.map_err(listen_error("peers"))?;
        tokio::spawn(Arc::clone(&peers).run::<A>(shutdown.clone()));
        let resign = CancellationToken::new();
        let lease_handle = Arc::new(LeaseHandle::new(lease_config(), owner(&settings.name)));
        let lease_keeper = LeaseKeeper::new(clients.lease_store, Arc::clone(&lease_handle));
        let lease_task = {
            let peers = Arc::clone(&peers);
            let resign = resign.clone();
            // The others' looks at the lease would cost a call each and change nothing.
            tokio::spawn(async move {
                lease_keeper
                    .run_while(&resign, || peers.may_take_lease())
                    .await
            })
        };
        let engine_client = Arc::new(clients.engine_client);
        let placer = Placer::new(
            Arc::clone(&shared),
            lease_handle,
            Arc::clone(&peers),
            Arc::clone(&engine_client),
        );
        tokio::spawn(placer.run(resign.clone()));
        let slowness_polls = slowness::run(
            Arc::clone(&shared),
            Arc::clone(&engine_client),
            shutdown.clone(),
        );
        tokio::spawn(slowness_polls);
        let router = operators::readiness_router(&shared);
        let readiness_server =
            Server::start(listen.readiness, router, CONNECTION_IDLE_TIMEOUT).await;
        let router = operators::metrics_router(metrics);
        let metrics_server = Server::start(listen.operators, router, CONNECTION_IDLE_TIMEOUT).await;
        let router = relay::router::<A, E>(&shared, &engine_client);
        let caller_server = Server::start(listen.callers, router, CONNECTION_IDLE_TIMEOUT).await;
        Ok(Daemon {
            caller_server: caller_server.map_err(listen_error("callers"))?,
            operator_servers: vec![
                readiness_server.map_err(listen_error("readiness"))?,
                metrics_server.map_err(listen_error("operators"))?,
            ],
            shared,
            peers,
            peer_server,
            resign,
            lease_task,
            shutdown,
            grace: settings.stop.grace.0,
        })
    }

    /// Serves until a signal to stop.
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

    /// Takes over what may change while it runs: the seeds.
    fn reload(&self, file: &Path, settings: &mut Settings, by_signal: bool) {
        let new = match Settings::read(file) {
            Ok(new) => new,
            Err(e) => {
                warn!(error:% = e; "settings kept: the file can't be used");
                return;
            }
        };
        if new != *settings {
            self.peers.set_seeds(&new.peers.seeds);
            *settings = new;
            info!(signal = by_signal; "settings reloaded");
        }
    }

    /// A planned stop: readiness fails first, callers are told to leave their connections, requests
    /// in flight finish.
    async fn stop(self) {
        let deadline = Instant::now() + self.grace.saturating_sub(FINAL_WRITES_RESERVE);
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.resign.cancel();
        info!(in_flight = self.shared.in_flight.load(Ordering::Relaxed); "stopping");
        tokio::time::sleep(self.grace.mul_f64(DRAIN_NOTICE_FRACTION)).await;
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.caller_server.stop(time_left).await;
        let _ = tokio::time::timeout(FINAL_WRITES_RESERVE / 2, self.lease_task).await;
        self.shutdown.cancel();
        if let Err(e) = self.peer_server.stop() {
            info!(error:% = e; "peers' server had stopped");
        }
        for server in self.operator_servers {
            server.stop(Duration::ZERO).await;
        }
        info!(in_flight = self.shared.in_flight.load(Ordering::Relaxed); "stopped");
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

/// This run of the daemon; a later run of the same name has a higher number unless the clock was
/// set back, and then still another one.
fn owner(name: &str) -> Owner {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |d| d.as_millis() as u64);
    Owner {
        node: NodeId::of(name),
        incarnation: Incarnation(millis),
    }
}
