//! Gossip between daemons: configuration, upstream entries, load and failures.
//!
//! Every [`EXCHANGE_INTERVAL`] a daemon exchanges digests with its partners (see
//! [`Peers::partners`]). A daemon that sees a newer configuration or newer upstream entries in a
//! digest requests their texts. What one daemon has read from the store thus reaches all daemons,
//! also those that the store turns away. Digests also carry load, ejections and other reports on
//! upstreams. These need no history: the latest report supersedes earlier ones.
//!
//! In a small fleet every daemon exchanges with every other. In a larger fleet each daemon
//! exchanges with a few of its neighbors, a fixed set of daemons of which most are in its own
//! failure domain, and extrapolates the load of the fleet from the reports of these partners. At
//! any size three daemons watch the store for all (`roles`), and liveness is decided by dated
//! evidence (`members`).

mod announcements;
mod contention;
mod crashes;
#[cfg(test)]
mod crashes_tests;
mod exchange;
#[cfg(test)]
mod fleet_tests;
mod handover;
#[cfg(test)]
mod handover_tests;
mod lateness;
#[cfg(test)]
mod lateness_tests;
mod leaving;
#[cfg(test)]
mod leaving_tests;
mod limits;
#[cfg(test)]
mod limits_tests;
mod load;
mod members;
mod messages;
#[cfg(test)]
mod owner_tests;
mod packed;
mod partners;
mod retry_share;
#[cfg(test)]
mod retry_share_tests;
mod roles;
mod store_contact;
#[cfg(test)]
mod store_tests;
mod test_runs;
#[cfg(test)]
mod test_runs_tests;
#[cfg(test)]
mod tests;
mod texts;

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use kelpworks::clients::era::Eras;
use kelpworks::membership::connections;
use kelpworks::membership::connections::Connections;
use kelpworks::sync::lock;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::adapter::Adapter;
use crate::shared::Shared;
use crate::store_cache::StoreCache;
use lateness::Clock;
use lateness::Lateness;
use load::Loads;
use members::Audience;
use members::Members;
use members::rank_of;
use messages::Announcement;
use messages::Digest;
use messages::Findings;
use messages::HeldVersions;
use messages::StoreAges;
use messages::TestRunReply;
use messages::TestRunRequest;
use messages::Texts;
use retry_share::ReportedFleet;
use roles::RoleState;
use texts::PackCaches;

#[cfg(test)]
pub(crate) use tests::Numbered;
#[cfg(test)]
pub(crate) use tests::engine as test_engine;

pub(crate) use handover::Candidate;
pub(crate) use roles::LeadershipBasis;
pub(crate) use store_contact::StoreKind;
pub(crate) use store_contact::WatchRole;

/// Interval between exchanges with each partner. Most streams last longer than a second, so a load
/// report of 250 ms ago still covers most of them.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of other daemons up to which a fleet counts as small.
const MAX_SMALL_FLEET_PEERS: usize = 8;
/// Factor by which exchanges of a larger fleet are rarer than [`EXCHANGE_INTERVAL`].
const LARGE_FLEET_INTERVAL_FACTOR: u32 = 2;
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request for texts: about 300 kB over a shared link of 20 Mbit/s.
const TEXTS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Concurrent fetches of texts. A second fetch can proceed when the partner of the first has died.
const MAX_FETCHES: usize = 2;
/// Largest request or response body between daemons: the entries of a whole fleet.
const MAX_BODY_BYTES: u32 = 8 << 20;
/// Concurrent incoming peer connections: one from each daemon of a fleet of hundreds, plus those of
/// restarted daemons whose old connections are not yet known to be closed. The smallest hosts have
/// 4,100 file descriptors for peers, callers and upstreams.
const MAX_CONNECTIONS: u32 = 1_200;

/// RPC methods that a daemon offers to its peers. All of them are idempotent.
#[rpc(server, client, namespace = "kelpworks", namespace_separator = ".")]
pub(crate) trait PeerApi {
    /// Delivers the caller's digest and returns the digest of this daemon.
    #[method(name = "exchange")]
    async fn exchange(&self, digest: Digest) -> RpcResult<Digest>;

    /// Returns the texts that are newer than the given versions.
    #[method(name = "texts")]
    async fn texts(&self, known: HeldVersions) -> RpcResult<Texts>;

    /// Reports when the store last answered the caller.
    #[method(name = "store_answered")]
    async fn store_answered(&self, ages: StoreAges) -> RpcResult<()>;

    /// Delivers facts of the ledger of crashes that the caller has just learned.
    #[method(name = "findings")]
    async fn findings(&self, findings: Findings) -> RpcResult<()>;

    /// Asks the daemon that grants the test runs of a request whether one may begin.
    #[method(name = "test_run")]
    async fn test_run(&self, request: TestRunRequest) -> RpcResult<TestRunReply>;

    /// Announces the version of the configuration that the caller has activated.
    #[method(name = "announce")]
    async fn announce(&self, announcement: Announcement) -> RpcResult<()>;
}

/// Gossip state of this daemon: its peers and what it has learned from them.
#[derive(Debug)]
pub(crate) struct Peers {
    name: Arc<str>,
    domain: Arc<str>,
    address: SocketAddr,
    shared: Arc<Shared>,
    store_cache: Arc<StoreCache>,
    /// Eras of the store, shared with the store clients of this daemon.
    eras: Eras,
    connections: Connections,
    started: Instant,
    /// Addresses of the seeds, this daemon's own among them if it is one.
    seeds: Mutex<Vec<SocketAddr>>,
    /// Lock order: before `roles` and `loads`.
    members: Mutex<Members>,
    roles: Mutex<RoleState>,
    loads: Mutex<Loads>,
    clock: Clock,
    lateness: Mutex<Lateness>,
    reported_fleet: Mutex<ReportedFleet>,
    pack_caches: Mutex<PackCaches>,
    /// Limits concurrent fetches of texts to [`MAX_FETCHES`].
    fetch_permits: Semaphore,
    /// Partners that have not answered the latest exchange yet. They are not called again until
    /// then: more calls would only delay a partner that is overloaded.
    in_flight: Mutex<HashSet<SocketAddr>>,
    /// Time before which no message with findings about crashes is sent.
    next_findings: Mutex<Instant>,
    /// Port on which this daemon accepts requests of other daemons; unset if it accepts none.
    handover_port: OnceLock<u16>,
}

impl Peers {
    /// Creates the state of a daemon that knows no peers.
    pub(crate) fn new(
        name: &str,
        address: SocketAddr,
        shared: Arc<Shared>,
        store_cache: Arc<StoreCache>,
        eras: Eras,
    ) -> Peers {
        let started = Instant::now();
        Peers {
            name: Arc::from(name),
            domain: Arc::from(&*shared.domain),
            address,
            shared,
            store_cache,
            eras,
            connections: Connections::default(),
            started,
            seeds: Mutex::default(),
            members: Mutex::new(Members::new(&Arc::from(name))),
            roles: Mutex::new(RoleState::new(rank_of(name), started)),
            loads: Mutex::default(),
            clock: Clock::new(lateness::host_ms),
            lateness: Mutex::default(),
            reported_fleet: Mutex::default(),
            pack_caches: Mutex::default(),
            fetch_permits: Semaphore::new(MAX_FETCHES),
            in_flight: Mutex::default(),
            next_findings: Mutex::new(started),
            handover_port: OnceLock::new(),
        }
    }

    /// Replaces the clock that digests bear.
    #[cfg(test)]
    fn with_clock(mut self, clock: Clock) -> Peers {
        self.clock = clock;
        self
    }

    /// Sets the seeds: addresses that are called while no live peer is known there, but for this daemon's
    /// own, and a majority of which shows contact with the fleet.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        let distinct: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        *lock(&self.seeds) = distinct.into_iter().collect();
    }

    /// Starts the RPC server for peers. Fails when the address can't be bound.
    pub(crate) async fn listen<D: Adapter>(self: &Arc<Peers>) -> std::io::Result<ServerHandle> {
        let cfg = ServerConfig::builder()
            .max_request_body_size(MAX_BODY_BYTES)
            .max_response_body_size(MAX_BODY_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .build();
        let server = Server::builder()
            .set_config(cfg)
            .build(self.address)
            .await?;
        let methods: Methods<D> = Methods {
            peers: Arc::clone(self),
            adapter: std::marker::PhantomData,
        };
        Ok(server.start(methods.into_rpc()))
    }

    /// Exchanges digests with partners until `stop` is cancelled.
    pub(crate) async fn run<D: Adapter>(self: Arc<Peers>, stop: CancellationToken) {
        let mut tick = tokio::time::interval(EXCHANGE_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = 0u32;
        let mut era = self.eras.latest();
        let mut questions = self.shared.take_test_run_questions();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => {
                    ticks = ticks.wrapping_add(1);
                    self.report_store_answers();
                    self.review_crashes(ticks);
                    if !self.is_full_tick(ticks) {
                        continue;
                    }
                    self.spawn_exchanges::<D>(self.partners());
                }
                // With periodic exchanges alone a new configuration would take most of the allowed
                // time to reach the last daemon.
                () = self.store_cache.configuration_changed() => {
                    self.announce_configuration();
                    continue;
                }
                Some(question) = questions.recv() => {
                    tokio::spawn(Arc::clone(&self).answer_test_run(question));
                    continue;
                }
                () = self.shared.crash_news() => {
                    self.send_findings();
                    continue;
                }
                // Most daemons don't call the store, and their data may be from an earlier era.
                () = self.eras.wait_for_later(era) => {
                    era = self.eras.latest();
                    self.spawn_exchanges::<D>(self.partners());
                }
            }
            self.forget_lost_members();
            self.close_unused_connections();
            self.renew_retry_share();
            self.report_retries();
            self.update_remote_load();
            self.share_limits();
            self.update_contention();
            self.record_store_ages();
        }
    }

    fn forget_lost_members(&self) {
        let mut members = lock(&self.members);
        members.forget(Instant::now());
        lock(&self.lateness).retain(|name| members.get(name).is_some());
    }

    fn record_store_ages(&self) {
        for store_kind in [StoreKind::Configuration, StoreKind::Upstreams] {
            let age = self.store_age(store_kind).as_secs_f64();
            metrics::gauge!("kelpworks_store_age_seconds", "kind" => store_kind.as_str()).set(age);
        }
    }

    /// Returns whether partners are called in a tick; a larger fleet skips some.
    fn is_full_tick(&self, tick: u32) -> bool {
        let is_small_fleet = lock(&self.members).known_count() <= MAX_SMALL_FLEET_PEERS;
        is_small_fleet || tick.is_multiple_of(LARGE_FLEET_INTERVAL_FACTOR)
    }

    fn spawn_exchanges<D: Adapter>(self: &Arc<Peers>, partners: Vec<SocketAddr>) {
        for address in partners {
            let peers = Arc::clone(self);
            if lock(&self.in_flight).insert(address) {
                tokio::spawn(async move {
                    peers.exchange_with::<D>(address).await;
                    lock(&peers.in_flight).remove(&address);
                });
            }
        }
    }

    async fn exchange_with<D: Adapter>(&self, partner: SocketAddr) {
        let address = partner.to_string();
        let called = Instant::now();
        let clock = self.clock.read();
        let mut digest = self.digest(&Audience::unknown());
        digest.contention = self.contention_figures(partner);
        let exchange = self.connections.call(
            &address,
            EXCHANGE_TIMEOUT,
            &digest,
            |client, digest| async move { client.exchange(digest).await },
        );
        let theirs = match exchange.await {
            Ok(theirs) => theirs,
            Err(connections::Error::Refused { .. }) => return,
            Err(connections::Error::NoAnswer(_)) => {
                // A refused connection fails at once. Wait for the other partners of this exchange
                // to answer, so that `record_unanswered` can tell whether this daemon is isolated.
                tokio::time::sleep(EXCHANGE_INTERVAL).await;
                return self.record_unanswered(partner, called);
            }
        };
        self.learn_reply(&theirs, clock);
        // The reply was made after the call, so that an age in it is at least as long before the call.
        self.learn_upstreams_ran(&theirs.upstreams_ran, called);
        self.on_contention_reply(partner, &theirs.contention);
        let Some(held) = self.held_versions_if_older(&theirs) else {
            return;
        };
        self.fetch_texts::<D>(partner, held).await;
    }

    /// Fetches the texts that a partner has and this daemon lacks.
    async fn fetch_texts<D: Adapter>(&self, partner: SocketAddr, held: HeldVersions) {
        // Several partners may have the same new texts, which can be hundreds of kilobytes.
        let Ok(_permit) = self.fetch_permits.try_acquire() else {
            return;
        };
        let address = partner.to_string();
        let texts =
            self.connections
                .call(&address, TEXTS_TIMEOUT, &held, |client, held| async move {
                    client.texts(held).await
                });
        if let Ok(texts) = texts.await {
            self.apply_texts::<D>(texts);
        }
    }
}

/// Server side of the peer RPC.
struct Methods<D> {
    peers: Arc<Peers>,
    adapter: std::marker::PhantomData<D>,
}

#[async_trait]
impl<D: Adapter> PeerApiServer for Methods<D> {
    async fn exchange(&self, digest: Digest) -> RpcResult<Digest> {
        let caller = digest.from.address;
        self.peers.learn_digest(&digest);
        self.peers.on_contention_call(caller, &digest.contention);
        let mut reply = self.peers.digest(&Audience::sender_of(&digest));
        reply.contention = self.peers.contention_figures(caller);
        Ok(reply)
    }

    async fn texts(&self, known: HeldVersions) -> RpcResult<Texts> {
        Ok(self.peers.texts(known))
    }

    async fn store_answered(&self, ages: StoreAges) -> RpcResult<()> {
        self.peers.learn_store_ages(ages, Instant::now());
        Ok(())
    }

    async fn findings(&self, findings: Findings) -> RpcResult<()> {
        self.peers.on_findings(findings);
        Ok(())
    }

    async fn test_run(&self, request: TestRunRequest) -> RpcResult<TestRunReply> {
        Ok(self.peers.on_test_run(request))
    }

    async fn announce(&self, announcement: Announcement) -> RpcResult<()> {
        self.peers.on_announcement::<D>(announcement);
        Ok(())
    }
}
