//! Tests of the placer in virtual time, with engines that answer at once or never.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use kelpworks::clients::era::Eras;
use kelpworks::executor::LeaseHandle;
use kelpworks::sync::lock;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Version;
use kelpworks_coord::lease;
use kelpworks_coord::lease::Owner;
use proptest::collection::vec;
use proptest::prelude::*;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::Placer;
use crate::adapter::EngineAnswer;
use crate::adapter::EngineApi;
use crate::adapter::EngineReport;
use crate::adapter::LayerRange;
use crate::adapter::Lifecycle;
use crate::adapter::OrderReply;
use crate::adapter::PlaceOrder;
use crate::adapter::RerouteOrder;
use crate::adapter::UpstreamEntry;
use crate::clearance::Clearance;
use crate::config::Accelerator;
use crate::config::Configuration;
use crate::config::EngineProfile;
use crate::config::RoutingTable;
use crate::config::Service;
use crate::engine_calls::EngineCalls;
use crate::peers::Peers;
use crate::retry_budget::RetryLimit;
use crate::shared::Shared;
use crate::store_cache::StoreCache;

const LAYERS: u16 = 4;
/// Time in which a daemon discovers its peers.
const LEARNING_PERIOD: Duration = Duration::from_secs(3);
/// Time after the last change in which all engines are given layers: more than a heartbeat, in which engines that
/// start together register, and a few checks of the placer.
const PLACEMENT_BOUND: Duration = Duration::from_secs(5);
/// Time after which a call to an engine that doesn't answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
const LOAD_TIME: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, Default)]
struct FakeEngine {
    orders: u64,
    layers: Option<LayerRange>,
    busy_until: Option<Instant>,
    is_silent: bool,
}

/// An order that an engine has accepted: its address and the layers.
type Accepted = (SocketAddr, LayerRange);

#[derive(Clone, Debug, Default)]
struct FakeApi {
    engines: Arc<Mutex<HashMap<SocketAddr, FakeEngine>>>,
    accepted: Arc<Mutex<Vec<Accepted>>>,
}

impl EngineApi for FakeApi {
    async fn report(&self, clearance: &Clearance) -> EngineAnswer<Option<EngineReport>> {
        let engine = lock(&self.engines).get(&clearance.address()).copied();
        let engine = engine.filter(|e| !e.is_silent);
        if engine.is_none() {
            sleep(CALL_TIMEOUT).await;
        }
        let now = Instant::now();
        let value = engine.map(|e| EngineReport {
            start: None,
            orders: e.orders,
            busy: e.busy_until.is_some_and(|at| now < at),
            layers: e.layers,
            slowness: 1.0,
        });
        EngineAnswer { value, head: None }
    }

    async fn place(
        &self,
        clearance: &Clearance,
        order: PlaceOrder<'_>,
    ) -> EngineAnswer<OrderReply> {
        let address = clearance.address();
        let is_silent = lock(&self.engines)
            .get(&address)
            .is_none_or(|e| e.is_silent);
        if is_silent {
            sleep(CALL_TIMEOUT).await;
            return answer(OrderReply::Lost);
        }
        let mut engines = lock(&self.engines);
        let Some(engine) = engines.get_mut(&address) else {
            return answer(OrderReply::Lost);
        };
        if engine.orders != order.expected {
            return answer(OrderReply::Conflict);
        }
        engine.orders += 1;
        engine.layers = Some(order.layers);
        engine.busy_until = Some(Instant::now() + LOAD_TIME);
        lock(&self.accepted).push((address, order.layers));
        answer(OrderReply::Accepted)
    }

    async fn reroute(&self, _: &Clearance, _: RerouteOrder<'_>) -> EngineAnswer<OrderReply> {
        answer(OrderReply::Refused)
    }
}

fn answer(value: OrderReply) -> EngineAnswer<OrderReply> {
    EngineAnswer { value, head: None }
}

/// Services with engines that start and crash.
#[derive(Clone, Debug)]
struct Case {
    /// Number of engines of each service, in the order of the configuration.
    engines: Vec<usize>,
    /// Service whose engines answer nothing.
    silent: Option<usize>,
    /// Starts and crashes, by turns: milliseconds since the event before, a service and one of its engines.
    events: Vec<(u64, usize, usize)>,
    /// Time from the last event to the end.
    settles_for: Duration,
}

impl Case {
    /// Leaves only one service.
    fn only(&self, service: usize) -> Case {
        let mut case = self.clone();
        for (s, engines) in case.engines.iter_mut().enumerate() {
            if s != service {
                *engines = 0;
            }
        }
        case
    }
}

fn cases() -> impl Strategy<Value = Case> {
    let event = (0_u64..900, 0_usize..8, 0_usize..5);
    let silent = prop::option::weighted(0.3, 0_usize..8);
    (vec(1_usize..=5, 1..=8), silent, vec(event, 0..16)).prop_map(|(engines, silent, events)| {
        Case {
            engines,
            silent,
            events,
            // A daemon leads without the lease once it has had time to discover its peers.
            settles_for: LEARNING_PERIOD + PLACEMENT_BOUND,
        }
    })
}

fn address(service: usize, engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, service as u8, engine as u8], 9_000))
}

fn service_name(service: usize) -> Arc<str> {
    Arc::from(format!("model-{service}"))
}

fn profile() -> EngineProfile {
    EngineProfile {
        layers: LAYERS,
        layer_mb: 100.0,
        kv_token_bytes: 1_000.0,
        step_ms: 1.0,
        sequence_ms: 0.01,
        context_ms: 0.01,
        read_per_s: 164_000.0,
        load_s: LOAD_TIME.as_secs_f64(),
        typical_prompt_tokens: 10.0,
        typical_answer_tokens: 10.0,
        kinds: vec![Accelerator {
            name: Arc::from("whole"),
            memory_mb: 4_000.0,
            step_factor: 1.0,
            read_factor: 1.0,
        }],
    }
}

fn table(services: usize) -> RoutingTable {
    let service = |s: usize| Service {
        name: service_name(s),
        max_connections: 100,
        engine_profile: Some(Arc::new(profile())),
    };
    RoutingTable::new(Configuration {
        version: 1,
        services: (0..services).map(service).collect(),
        ..Configuration::default()
    })
}

/// A daemon without peers, and the engines that it places.
struct Site {
    shared: Arc<Shared>,
    api: FakeApi,
    /// Incarnations of the engines that are up, by service and engine.
    up: BTreeMap<(usize, usize), u64>,
    version: u64,
}

impl Site {
    fn start(services: usize, stop: &CancellationToken) -> Site {
        let retry_limit = RetryLimit {
            window: Duration::from_secs(10),
            ratio: 0.2,
            allowance: 200.0,
        };
        let shared = Arc::new(Shared::new("a", retry_limit, 1));
        shared.table.store(Arc::new(table(services)));
        let store_cache = Arc::new(StoreCache::new(Arc::clone(&shared)));
        let own = SocketAddr::from(([127, 0, 0, 1], 7_000));
        let peers = Peers::new(
            "entry-0",
            own,
            Arc::clone(&shared),
            store_cache,
            Eras::default(),
        );
        let me = Owner {
            node: NodeId::of("entry-0"),
            incarnation: Incarnation(1),
        };
        let lease_handle = Arc::new(LeaseHandle::new(lease::Config::default(), me));
        let api = FakeApi::default();
        let engine_calls = EngineCalls::new(Arc::clone(&shared), api.clone());
        let placer = Placer::new(
            Arc::clone(&shared),
            lease_handle,
            Arc::new(peers),
            Arc::new(engine_calls),
        );
        tokio::spawn(placer.run(stop.clone()));
        Site {
            shared,
            api,
            up: BTreeMap::new(),
            version: 0,
        }
    }

    /// Starts an engine, or crashes one that is up.
    fn toggle(&mut self, service: usize, engine: usize, is_silent: bool) {
        self.version += 1;
        let address = address(service, engine);
        match self.up.remove(&(service, engine)) {
            Some(_) => {
                lock(&self.api.engines).remove(&address);
            }
            None => {
                self.up.insert((service, engine), self.version);
                let new = FakeEngine {
                    is_silent,
                    ..FakeEngine::default()
                };
                lock(&self.api.engines).insert(address, new);
            }
        }
        let entries = self.up.iter().map(|(&(s, e), n)| entry(s, e, *n)).collect();
        let version = Version::initial(self.version);
        let mut fleet = self.shared.fleet();
        fleet.replace(entries, version, Instant::now());
    }
}

fn entry(service: usize, engine: usize, incarnation: u64) -> UpstreamEntry {
    let id: Arc<str> = Arc::from(format!("e-{service}-{engine}-{incarnation}"));
    UpstreamEntry {
        instance: Arc::clone(&id),
        id,
        start: None,
        service: service_name(service),
        address: address(service, engine),
        domain: Arc::from("a"),
        lifecycle: Lifecycle::Ready,
        slots: 8,
        layers: None,
        kind: Some(Arc::from("whole")),
    }
}

/// Plays a case and waits for the bound. Returns the engines that are up without layers, and the accepted orders by
/// service; both without those of the silent service.
fn play(case: &Case) -> (Vec<SocketAddr>, BTreeMap<usize, Vec<Accepted>>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let stop = CancellationToken::new();
        let services = case.engines.len();
        let silent = case.silent.map(|s| s % services);
        let mut site = Site::start(services, &stop);
        for (service, &engines) in case.engines.iter().enumerate() {
            for engine in 0..engines {
                site.toggle(service, engine, silent == Some(service));
            }
        }
        let mut at = Instant::now();
        for &(pause, service, engine) in &case.events {
            at += Duration::from_millis(pause);
            let service = service % services;
            if engine < case.engines[service] {
                sleep_until(at).await;
                site.toggle(service, engine, silent == Some(service));
            }
        }
        sleep_until(at + case.settles_for).await;
        stop.cancel();
        let is_judged = |service: usize| Some(service) != silent;
        let engines = lock(&site.api.engines);
        let up = site.up.keys().filter(|&&(s, _)| is_judged(s));
        let up = up.map(|&(s, e)| address(s, e));
        let empty = up.filter(|a| engines.get(a).is_none_or(|e| e.layers.is_none()));
        let mut accepted: BTreeMap<usize, Vec<Accepted>> = BTreeMap::new();
        for &(address, layers) in lock(&site.api.accepted).iter() {
            let SocketAddr::V4(v4) = address else {
                continue;
            };
            let service = usize::from(v4.ip().octets()[2]);
            accepted.entry(service).or_default().push((address, layers));
        }
        accepted.retain(|&service, _| is_judged(service));
        (empty.collect(), accepted)
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a service that waits for another one: its engines were never given layers while the number of
    /// engines of another service differed.
    #[test]
    fn engines_of_every_service_are_given_layers(case in cases()) {
        let (empty, _) = play(&case);
        prop_assert_eq!(empty, Vec::new());
    }

    /// Guards against orders to a service's engines that depend on other services, or on how long their engines take to
    /// reply.
    #[test]
    fn orders_of_a_service_are_the_same_without_others(case in cases()) {
        let (_, accepted) = play(&case);
        for (service, orders) in accepted {
            let (_, alone) = play(&case.only(service));
            prop_assert_eq!(Some(&orders), alone.get(&service));
        }
    }
}

/// Guards against a wait for further engines without an end: none is given layers while engines come and go faster than
/// their number settles.
#[test]
fn engines_are_given_layers_while_others_come_and_go() {
    let flaps = (0..40).map(|_| (300, 0, 1)).collect();
    let case = Case {
        engines: vec![2],
        silent: None,
        events: flaps,
        settles_for: Duration::ZERO,
    };
    let (_, accepted) = play(&case);
    let steady = address(0, 0);
    let first = accepted.get(&0).and_then(|orders| orders.first());
    assert_eq!(
        first.map(|&(address, _)| address),
        Some(steady),
        "{accepted:?}"
    );
}
