//! Fake engines that load layers and pass requests along a path, and a fake plain service.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use salvo::writing::Json;
use serde_json::Value;
use serde_json::json;

use super::LAYERS;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
const ATTEMPT_HEADER: &str = "x-kelpworks-attempt-id";
const DEADLINE_HEADER: &str = "x-kelpworks-deadline-ms";
const STAMP_HEADER: &str = "x-kelpworks-server-stamp";
const LIMIT_HEADER: &str = "server-limit";
const LEAVING_HEADER: &str = "server-leaving";

/// A fault that happens once, with the next request for which the engine is first on the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The stream stalls after this many events, and continues after this time.
    Stall(u64, Duration),
    /// The connection is closed after this many events, in place of the next one.
    Cut(u64),
    /// The stream stalls after this many events, and is cut after this time.
    StallThenCut(u64, Duration),
    /// The request is refused without having run.
    Refuse,
}

/// A run of a request. `first` is the instance id of the first engine, `hops` are the layer ranges
/// of the path with exclusive ends, and `after` is the id of the last event that the caller already
/// has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) request: String,
    pub(crate) first: String,
    pub(crate) hops: Vec<(u16, u16)>,
    /// Instance ids of the engines of its path, in order.
    pub(crate) path: Vec<String>,
    pub(crate) after: u64,
    /// When it arrived.
    pub(crate) at: Instant,
}

/// A part of a path: an engine and the layers that it runs.
type Part = (Engine, (u16, u16));

/// What an engine is registered for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spec {
    pub(crate) service: &'static str,
    /// Kind of its accelerator.
    pub(crate) kind: &'static str,
}

/// Engines of the site's own model.
const DEFAULT_SPEC: Spec = Spec {
    service: "llm",
    kind: "big",
};

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) instance: String,
    pub(crate) domain: String,
    spec: Spec,
    address: Mutex<Option<SocketAddr>>,
    loaded_layers: Mutex<Option<(u16, u16)>>,
    orders: AtomicU64,
    /// Whether it carries an order out.
    busy: AtomicBool,
    /// Whether its entry states that it is draining.
    draining: AtomicBool,
    /// Start time, in milliseconds since the Unix epoch.
    started_at_ms: AtomicU64,
    fault: Mutex<Option<Fault>>,
    /// Number of streams that it is working on.
    active_streams: AtomicU64,
    /// Whether streams whose path includes it make no progress.
    stalled: AtomicBool,
    limit: Limit,
    constraints: Constraints,
}

/// A request that arrived, whether it was accepted or refused.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) request: String,
    pub(crate) at: Instant,
    /// Time left until its deadline, as its header states.
    pub(crate) time_left: Option<Duration>,
}

impl Arrival {
    /// Records the arrival of a request now.
    pub(crate) fn of(req: &Request) -> Arrival {
        let time_left = req.header::<u64>(DEADLINE_HEADER);
        Arrival {
            request: req.header::<String>(ATTEMPT_HEADER).unwrap_or_default(),
            at: Instant::now(),
            time_left: time_left.map(Duration::from_millis),
        }
    }

    /// Returns when the time that it was handed ends.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.time_left.map(|left| self.at + left)
    }
}

/// What an upstream announces besides a rate limit, and the messages that arrived at it.
#[derive(Debug, Default)]
pub(crate) struct Constraints {
    /// `Retry-After` with which everything that arrives is refused; `None` accepts it.
    backoff: Mutex<Option<String>>,
    /// Whether all answers state that it is leaving.
    leaving: AtomicBool,
    messages: Mutex<Vec<Message>>,
}

/// A message that arrived at an upstream, as its first or only recipient.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    /// Id of the request; empty for orders to load layers and queries.
    pub(crate) request: String,
    /// Path of the URL.
    pub(crate) path: String,
    pub(crate) at: Instant,
    /// Backoff that the answer requested, with which the message was refused.
    pub(crate) backoff: Option<Duration>,
    /// Whether the answer stated that the upstream is leaving.
    pub(crate) leaving: bool,
}

impl Constraints {
    /// Refuses everything with this `Retry-After` from now on; `None` accepts it again.
    pub(crate) fn request_backoff(&self, retry_after: Option<&str>) {
        *self.backoff.lock().expect("no panic") = retry_after.map(str::to_owned);
    }

    /// States in all answers from now on that the upstream is leaving.
    pub(crate) fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Omits that statement again, as after a restart.
    pub(crate) fn announce_staying(&self) {
        self.leaving.store(false, Ordering::Relaxed);
    }

    pub(crate) fn messages(&self) -> Vec<Message> {
        self.messages.lock().expect("no panic").clone()
    }

    /// Records a message and announces the constraints; returns whether it is refused.
    fn record(&self, req: &Request, request: String, res: &mut Response) -> bool {
        let leaving = self.leaving.load(Ordering::Relaxed);
        if leaving {
            let _ = res.add_header(LEAVING_HEADER, "1", true);
        }
        let backoff = self.backoff.lock().expect("no panic").clone();
        let message = Message {
            request,
            path: req.uri().path().to_owned(),
            at: Instant::now(),
            backoff: backoff.as_deref().and_then(parse_seconds),
            leaving,
        };
        self.messages.lock().expect("no panic").push(message);
        let Some(retry_after) = backoff else {
            return false;
        };
        let _ = res.add_header("retry-after", retry_after, true);
        let _ = res.add_header("x-kelpworks-not-executed", "1", true);
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        true
    }
}

/// A request rate limit that an upstream announces, and the arrivals at it.
#[derive(Debug, Default)]
pub(crate) struct Limit {
    announced: Mutex<Option<String>>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl Limit {
    /// Announces a limit with every answer from now on; `None` ends it.
    pub(crate) fn announce(&self, per_second: Option<&str>) {
        *self.announced.lock().expect("no panic") = per_second.map(str::to_owned);
    }

    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no panic").clone()
    }

    fn record(&self, req: &Request, res: &mut Response) {
        self.arrivals
            .lock()
            .expect("no panic")
            .push(Arrival::of(req));
        if let Some(per_second) = &*self.announced.lock().expect("no panic") {
            let _ = res.add_header(LIMIT_HEADER, per_second, true);
        }
    }
}

/// Counts as an active stream of an engine until dropped.
struct ActiveStream {
    engine: Engine,
    registry: Registry,
    request: String,
}

impl ActiveStream {
    fn begin(engine: &Engine, registry: &Registry, request: &str) -> ActiveStream {
        engine.active_streams.fetch_add(1, Ordering::Relaxed);
        let mut active = registry.active.lock().expect("no panic");
        active.insert(request.to_owned());
        ActiveStream {
            engine: engine.clone(),
            registry: registry.clone(),
            request: request.to_owned(),
        }
    }
}

impl Drop for ActiveStream {
    fn drop(&mut self) {
        self.engine.active_streams.fetch_sub(1, Ordering::Relaxed);
        let mut active = self.registry.active.lock().expect("no panic");
        active.remove(&self.request);
    }
}

/// A running engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine(Arc<Inner>);

impl std::ops::Deref for Engine {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.0
    }
}

/// All engines, and the requests that they ran.
#[derive(Clone, Debug, Default)]
pub(crate) struct Registry {
    engines: Arc<Mutex<HashMap<SocketAddr, Engine>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Paths of requests, by request id.
    paths: Arc<Mutex<HashMap<String, Vec<Part>>>>,
    /// Requests that were refused at their first arrival; `None` while none is.
    refused_first: Arc<Mutex<Option<HashSet<String>>>>,
    /// Requests whose streams have not ended.
    active: Arc<Mutex<HashSet<String>>>,
    /// Requests that an order has cut off.
    evicted: Arc<Mutex<HashSet<String>>>,
    /// Requests that used the layers which an order replaced, by order.
    displaced: Arc<Mutex<Vec<Vec<String>>>>,
}

impl Registry {
    pub(crate) fn all(&self) -> Vec<Engine> {
        let engines = self.engines.lock().expect("no panic");
        engines.values().cloned().collect()
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    /// Returns, for each order that replaced layers, the requests that used them.
    pub(crate) fn displaced(&self) -> Vec<Vec<String>> {
        self.displaced.lock().expect("no panic").clone()
    }

    /// Returns the requests under way whose path includes an engine.
    fn requests_through(&self, engine: &Engine) -> Vec<String> {
        let active = self.active.lock().expect("no panic");
        let paths = self.paths.lock().expect("no panic");
        let passes = |request: &&String| {
            let mut parts = paths.get(*request).into_iter().flatten();
            parts.any(|(e, _)| e.instance == engine.instance)
        };
        active.iter().filter(passes).cloned().collect()
    }

    /// Returns whether a request has to be cut off, once.
    fn take_eviction(&self, request: &str) -> bool {
        self.evicted.lock().expect("no panic").remove(request)
    }

    pub(crate) fn clear_runs(&self) {
        self.runs.lock().expect("no panic").clear();
    }

    /// Sets a fault at every engine, which happens once at each, with the next request that the
    /// engine is first to get.
    pub(crate) fn inject_fault_everywhere(&self, fault: Fault) {
        for engine in self.all() {
            engine.set_fault(Some(fault));
        }
    }

    /// Refuses each request at its first arrival at any engine from now on, without running it.
    pub(crate) fn refuse_first_arrivals(&self) {
        *self.refused_first.lock().expect("no panic") = Some(HashSet::new());
    }

    fn is_refused_first(&self, request: &str) -> bool {
        let mut refused = self.refused_first.lock().expect("no panic");
        let refused = refused.as_mut();
        refused.is_some_and(|r| r.insert(request.to_owned()))
    }

    /// Returns the requests that arrived at engines which are first on their path.
    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        // An engine behind a link is known by two addresses.
        let by_instance = self.all().into_iter().map(|e| (e.instance.clone(), e));
        let engines: HashMap<String, Engine> = by_instance.collect();
        let arrivals = engines.values().flat_map(|e| e.limit.arrivals());
        arrivals.collect()
    }

    /// Stalls the engine with this instance id.
    pub(crate) fn stall(&self, instance: &str) {
        let all = self.all();
        let mut named = all.iter().filter(|e| e.instance == instance);
        named.next().expect("a known engine").set_stalled(true);
    }

    /// Whether a request's path includes a stalled engine.
    fn passes_stalled_engine(&self, request: &str) -> bool {
        let paths = self.paths.lock().expect("no panic");
        let mut parts = paths.get(request).into_iter().flatten();
        parts.any(|(e, _)| e.stalled.load(Ordering::Relaxed))
    }

    /// Returns the number of streams that engines are working on.
    pub(crate) fn active_streams(&self) -> u64 {
        let count = |e: &Engine| e.active_streams.load(Ordering::Relaxed);
        self.all().iter().map(count).sum()
    }

    /// Removes all faults that have not happened yet.
    pub(crate) fn clear_faults(&self) {
        for engine in self.all() {
            engine.set_fault(None);
        }
    }
}

impl Engine {
    pub(crate) async fn start(registry: &Registry, instance: &str, domain: &str) -> Engine {
        Engine::start_as(registry, instance, domain, DEFAULT_SPEC).await
    }

    pub(crate) async fn start_as(
        registry: &Registry,
        instance: &str,
        domain: &str,
        spec: Spec,
    ) -> Engine {
        let engine = Engine(Arc::new(Inner {
            instance: instance.to_owned(),
            domain: domain.to_owned(),
            spec,
            address: Mutex::default(),
            loaded_layers: Mutex::default(),
            orders: AtomicU64::new(0),
            busy: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            started_at_ms: AtomicU64::new(1_700_000_000_000),
            fault: Mutex::default(),
            active_streams: AtomicU64::new(0),
            stalled: AtomicBool::new(false),
            limit: Limit::default(),
            constraints: Constraints::default(),
        }));
        let handler = EngineHandler {
            engine: engine.clone(),
            registry: registry.clone(),
        };
        let (address, _) = super::serve(Router::with_path("{**rest}").goal(handler)).await;
        *engine.address.lock().expect("no panic") = Some(address);
        let mut engines = registry.engines.lock().expect("no panic");
        engines.insert(address, engine.clone());
        engine
    }

    /// Makes others reach it at another address from now on, such as that of a link in front of it.
    pub(crate) fn set_address(&self, registry: &Registry, address: SocketAddr) {
        *self.address.lock().expect("no panic") = Some(address);
        let mut engines = registry.engines.lock().expect("no panic");
        engines.insert(address, self.clone());
    }

    /// Returns the address at which others reach it.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.lock().expect("no panic").expect("started")
    }

    /// Returns its entry for the store.
    pub(crate) fn entry(&self) -> Value {
        let address = self.address();
        let layers = match *self.loaded_layers.lock().expect("no panic") {
            Some((from, to)) => json!({ "from": from, "to": to, "version": 1 }),
            None => Value::Null,
        };
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        json!({
            "service": self.spec.service, "address": address.to_string(), "zone": self.domain,
            "version": "v1", "slots": 64, "state": state, "cold-left-ms": 0,
            "layers": layers, "route-kind": self.spec.kind, "seq": 1,
            "born": self.started_at_ms.load(Ordering::Relaxed)
        })
    }

    /// Stalls or resumes the streams whose path includes it.
    pub(crate) fn set_stalled(&self, stalled: bool) {
        self.stalled.store(stalled, Ordering::Relaxed);
    }

    /// Has its entry state that it is draining; it goes on serving.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Unloads its layers without a new entry in the store.
    pub(crate) fn unload_layers(&self) {
        *self.loaded_layers.lock().expect("no panic") = None;
    }

    /// Simulates a restart under the same id: no layers are loaded, no order has begun, and the
    /// start time is 60 s later.
    pub(crate) fn restart(&self) {
        *self.loaded_layers.lock().expect("no panic") = None;
        self.orders.store(0, Ordering::Relaxed);
        self.started_at_ms.fetch_add(60_000, Ordering::Relaxed);
    }

    /// Returns the range of layers that it has loaded, with an exclusive end.
    pub(crate) fn loaded_layers(&self) -> Option<(u16, u16)> {
        *self.loaded_layers.lock().expect("no panic")
    }

    /// Returns the number of orders that it has begun.
    pub(crate) fn orders(&self) -> u64 {
        self.orders.load(Ordering::Relaxed)
    }

    pub(crate) fn limit(&self) -> &Limit {
        &self.limit
    }

    pub(crate) fn constraints(&self) -> &Constraints {
        &self.constraints
    }

    pub(crate) fn set_fault(&self, fault: Option<Fault>) {
        *self.fault.lock().expect("no panic") = fault;
    }

    fn has_loaded(&self, from: u16, to: u16) -> bool {
        let loaded = *self.loaded_layers.lock().expect("no panic");
        loaded.is_some_and(|(f, t)| f <= from && to <= t)
    }
}

struct EngineHandler {
    engine: Engine,
    registry: Registry,
}

impl EngineHandler {
    fn report(&self) -> Value {
        let loaded = *self.engine.loaded_layers.lock().expect("no panic");
        let layers = loaded.map(|(from, to)| json!({ "from": from, "to": to }));
        let orders = self.engine.orders.load(Ordering::Relaxed);
        let born = self.engine.started_at_ms.load(Ordering::Relaxed);
        let busy = self.engine.busy.load(Ordering::Relaxed);
        json!({ "busy": busy, "seq": orders, "layers": layers, "born": born })
    }

    async fn order(&self, req: &mut Request) -> StatusCode {
        let order: Value = req.parse_json().await.expect("a JSON order");
        if order["op"] == "repath" {
            return self.repath(&order);
        }
        let orders = self.engine.orders.load(Ordering::Relaxed);
        if order["expect"].as_u64().is_some_and(|e| e != orders) {
            return StatusCode::CONFLICT;
        }
        if self.engine.busy.load(Ordering::Relaxed) {
            return StatusCode::CONFLICT;
        }
        let layer = |key: &str| order[key].as_u64().expect("a layer") as u16;
        let layers = (layer("from"), layer("to"));
        self.engine.orders.fetch_add(1, Ordering::Relaxed);
        let replaced = self.engine.loaded_layers.lock().expect("no panic").take();
        if replaced.is_some() {
            self.displace(&order["strategy"], layers);
        } else {
            *self.engine.loaded_layers.lock().expect("no panic") = Some(layers);
        }
        StatusCode::ACCEPTED
    }

    /// Cuts the requests off that use the replaced layers, or loads the new ones once these requests have ended.
    fn displace(&self, strategy: &Value, layers: (u16, u16)) {
        let (engine, registry) = (self.engine.clone(), self.registry.clone());
        let requests = registry.requests_through(&engine);
        let mut displaced = registry.displaced.lock().expect("no panic");
        displaced.push(requests.clone());
        drop(displaced);
        if strategy == "evict" {
            registry.evicted.lock().expect("no panic").extend(requests);
            *engine.loaded_layers.lock().expect("no panic") = Some(layers);
            return;
        }
        engine.busy.store(true, Ordering::Relaxed);
        tokio::spawn(async move {
            while !registry.requests_through(&engine).is_empty() {
                tokio::time::sleep(EVENT_INTERVAL).await;
            }
            *engine.loaded_layers.lock().expect("no panic") = Some(layers);
            engine.busy.store(false, Ordering::Relaxed);
        });
    }

    /// Changes the path of a request that runs here; its first part must stay.
    fn repath(&self, order: &Value) -> StatusCode {
        let Ok(new) = self.parts(order["path"].as_str().expect("a path")) else {
            return StatusCode::CONFLICT;
        };
        let own = &self.engine.instance;
        assert!(*own == new[0].0.instance, "an order for another engine");
        let mut paths = self.registry.paths.lock().expect("no panic");
        let request = order["id"].as_str().expect("an id");
        let running_here = paths.get_mut(request);
        // An engine that stood still reads an order after the request has gone on elsewhere.
        let Some(old) = running_here.filter(|parts| parts[0].0.instance == *own) else {
            return StatusCode::NOT_FOUND;
        };
        let is_first_kept = old[0].1 == new[0].1 && old[0].0.instance == new[0].0.instance;
        assert!(is_first_kept, "the first part was changed");
        assert!(covers_all_layers(&ranges(&new)), "a path with gaps");
        *old = new;
        StatusCode::ACCEPTED
    }

    /// Returns the parts of a path, or the address of the first engine that has not loaded its
    /// part.
    fn parts(&self, hops: &str) -> Result<Vec<Part>, String> {
        let mut parts = Vec::new();
        for hop in hops.split(',') {
            let (address, range) = hop.split_once('=').expect("address and layers");
            let (from, to) = range.split_once('-').expect("two layers");
            let range = (from.parse().expect("a layer"), to.parse().expect("a layer"));
            let engines = self.registry.engines.lock().expect("no panic");
            match engines.get(&address.parse().expect("an address")) {
                Some(engine) if engine.has_loaded(range.0, range.1) => {
                    parts.push((engine.clone(), range));
                }
                _ => return Err(address.to_owned()),
            }
        }
        Ok(parts)
    }

    fn stream(&self, req: &Request, res: &mut Response) {
        self.engine.limit.record(req, res);
        let field = |name: &str| req.header::<String>(name).unwrap_or_default();
        let request = field(ATTEMPT_HEADER);
        let _ = res.add_header(ATTEMPT_HEADER, request.clone(), true);
        let own = &self.engine.instance;
        if field("x-kelpworks-expect-instance") != *own {
            let _ = res.add_header("x-kelpworks-instance-id", own, true);
            res.status_code(StatusCode::MISDIRECTED_REQUEST);
            return;
        }
        let path = self.parts(&field("x-kelpworks-hops"));
        let fault = self.engine.fault.lock().expect("no panic").take();
        let is_refused = fault == Some(Fault::Refuse) || self.registry.is_refused_first(&request);
        let parts = match path {
            Ok(parts) => parts,
            Err(at) => {
                let engines = self.registry.engines.lock().expect("no panic");
                let named = at.parse().ok().and_then(|a| engines.get(&a));
                let named = named.map_or(String::new(), |e| e.instance.clone());
                drop(engines);
                let _ = res.add_header("x-kelpworks-instance-id", named, true);
                let _ = res.add_header("at-server", at, true);
                let _ = res.add_header("x-kelpworks-not-executed", "1", true);
                res.status_code(StatusCode::MISDIRECTED_REQUEST);
                return;
            }
        };
        if is_refused {
            let _ = res.add_header("x-kelpworks-not-executed", "1", true);
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let after = field("last-event-id").parse().unwrap_or(0);
        let counts = field("x-kelpworks-token-count");
        let events: u64 = counts
            .split_once(',')
            .expect("two")
            .1
            .parse()
            .expect("a number");
        let run = Run {
            request: request.clone(),
            first: self.engine.instance.clone(),
            hops: ranges(&parts),
            path: parts.iter().map(|(e, _)| e.instance.clone()).collect(),
            after,
            at: Instant::now(),
        };
        let mut paths = self.registry.paths.lock().expect("no panic");
        paths.insert(request.clone(), parts);
        drop(paths);
        self.registry.runs.lock().expect("no panic").push(run);
        let _ = res.add_header(
            STAMP_HEADER,
            format!("stamp-of-{}", self.engine.instance),
            true,
        );
        let _ = res.add_header("content-type", "text/event-stream", true);
        let work = ActiveStream::begin(&self.engine, &self.registry, &request);
        let registry = self.registry.clone();
        let event_stream = stream::iter(after + 1..=events).then(move |id| {
            let _work = &work;
            let (registry, request) = (registry.clone(), request.clone());
            async move {
                while registry.passes_stalled_engine(&request) {
                    tokio::time::sleep(EVENT_INTERVAL).await;
                }
                if registry.take_eviction(&request) {
                    return Err(std::io::Error::other("evicted"));
                }
                event(id, after, fault).await
            }
        });
        res.stream(event_stream);
    }
}

/// Returns the bytes of an event; an error cuts the stream off.
async fn event(id: u64, after: u64, fault: Option<Fault>) -> std::io::Result<Bytes> {
    tokio::time::sleep(EVENT_INTERVAL).await;
    match fault {
        Some(Fault::Stall(n, pause)) if id == after + n + 1 => tokio::time::sleep(pause).await,
        Some(Fault::StallThenCut(n, pause)) if id == after + n + 1 => {
            tokio::time::sleep(pause).await;
            return Err(std::io::Error::other("cut"));
        }
        Some(Fault::Cut(n)) if id == after + n + 1 => return Err(std::io::Error::other("cut")),
        _ => {}
    }
    Ok(Bytes::from(format!("id: {id}\ndata: word-{id}\n\n")))
}

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let path = req.uri().path().to_owned();
        let request = request_id(req).await;
        if self.engine.constraints.record(req, request.clone(), res) {
            let _ = res.add_header(ATTEMPT_HEADER, request, true);
            return;
        }
        match &*path {
            "/report" => res.render(Json(self.report())),
            "/order" => {
                let status = self.order(req).await;
                res.status_code(status);
                res.render(Json(json!({})));
            }
            _ => self.stream(req, res),
        }
    }
}

fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds = text.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Returns the id of the request that a message belongs to; empty for queries and orders to load
/// layers.
async fn request_id(req: &mut Request) -> String {
    if req.uri().path() == "/order" {
        let order: Value = req.parse_json().await.expect("a JSON order");
        return order["id"].as_str().unwrap_or_default().to_owned();
    }
    req.header::<String>(ATTEMPT_HEADER).unwrap_or_default()
}

fn ranges(parts: &[Part]) -> Vec<(u16, u16)> {
    parts.iter().map(|&(_, range)| range).collect()
}

/// Whether a path runs every layer once and in order.
pub(crate) fn covers_all_layers(hops: &[(u16, u16)]) -> bool {
    let ends = hops.iter().map(|h| h.1);
    let starts = std::iter::once(0).chain(ends);
    let joined = hops.iter().zip(starts).all(|(hop, start)| hop.0 == start);
    joined && hops.last().is_some_and(|h| h.1 == LAYERS)
}

/// Returns an engine that is on some paths but first on none, and whose paths begin with engines
/// that are also on paths without it. Those other paths show that the first engines work; without
/// them the daemon can't tell which engine stalled.
pub(crate) fn find_inner_engine(runs: &[Run]) -> Option<String> {
    let mut later = runs.iter().flat_map(|r| &r.path[1..]);
    let is_inner = |engine: &&String| {
        let passes = |r: &&Run| r.path.contains(engine);
        let is_shown = |first: &String| runs.iter().any(|r| !passes(&r) && r.path.contains(first));
        let mut on = runs.iter().filter(passes);
        on.all(|r| r.first != **engine && is_shown(&r.first))
    };
    later.find(is_inner).cloned()
}

/// Path endings that select how the plain service fails: the answer is lost after the run, the
/// request is refused without having run, or the answer names another request.
const RESET_SUFFIX: &str = "reset";
const REFUSE_SUFFIX: &str = "full";
const FOREIGN_SUFFIX: &str = "foreign";
/// End of a path whose answer is a mebibyte long.
const LARGE_SUFFIX: &str = "large";
/// Longest body of a request that the plain service reads.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A plain service; the end of a request's path selects how it answers.
#[derive(Clone, Debug)]
pub(crate) struct App {
    instance: String,
    address: SocketAddr,
    /// Number of runs, by request id.
    run_counts: Arc<Mutex<HashMap<String, u32>>>,
    limit: Arc<Limit>,
    constraints: Arc<Constraints>,
}

impl App {
    pub(crate) async fn start(instance: &str) -> App {
        let run_counts: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
        let limit: Arc<Limit> = Arc::default();
        let constraints: Arc<Constraints> = Arc::default();
        let handler = AppHandler {
            instance: instance.to_owned(),
            run_counts: Arc::clone(&run_counts),
            limit: Arc::clone(&limit),
            constraints: Arc::clone(&constraints),
        };
        let (address, _) = super::serve(Router::with_path("{**rest}").goal(handler)).await;
        App {
            instance: instance.to_owned(),
            address,
            run_counts,
            limit,
            constraints,
        }
    }

    pub(crate) fn entry(&self) -> Value {
        json!({
            "service": "app", "address": self.address.to_string(), "zone": "hall-a",
            "version": "v1", "slots": 6, "state": "ready", "cold-left-ms": 0, "seq": 1
        })
    }

    /// Makes others reach it at another address from now on.
    pub(crate) fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Returns the address at which others reach it.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn limit(&self) -> &Limit {
        &self.limit
    }

    pub(crate) fn constraints(&self) -> &Constraints {
        &self.constraints
    }

    /// Returns how often a request ran.
    pub(crate) fn run_count(&self, request: &str) -> u32 {
        let run_counts = self.run_counts.lock().expect("no panic");
        run_counts.get(request).copied().unwrap_or(0)
    }
}

struct AppHandler {
    instance: String,
    run_counts: Arc<Mutex<HashMap<String, u32>>>,
    limit: Arc<Limit>,
    constraints: Arc<Constraints>,
}

#[async_trait]
impl Handler for AppHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.limit.record(req, res);
        let request = req.header::<String>(ATTEMPT_HEADER).unwrap_or_default();
        let expected = req.header::<String>("x-kelpworks-expect-instance");
        assert_eq!(expected.as_deref(), Some(&*self.instance));
        assert!(
            req.headers().get("authorization").is_none(),
            "the key was passed on"
        );
        if self.constraints.record(req, request.clone(), res) {
            let _ = res.add_header(ATTEMPT_HEADER, request, true);
            return;
        }
        let path = req.uri().path().to_owned();
        if path.ends_with(REFUSE_SUFFIX) {
            let _ = res.add_header("x-kelpworks-not-executed", "1", true);
            let _ = res.add_header(ATTEMPT_HEADER, request, true);
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        {
            let mut run_counts = self.run_counts.lock().expect("no panic");
            *run_counts.entry(request.clone()).or_default() += 1;
        }
        // Without it a large body would be reset, and the answer with it.
        let _ = req.payload_with_max_size(MAX_BODY_BYTES).await;
        let echoed = if path.ends_with(FOREIGN_SUFFIX) {
            "another".to_owned()
        } else {
            request
        };
        let _ = res.add_header(ATTEMPT_HEADER, echoed, true);
        let _ = res.add_header(STAMP_HEADER, "stamp", true);
        if path.ends_with(RESET_SUFFIX) {
            let lost = stream::iter([Err::<Bytes, _>(std::io::Error::other("lost"))]);
            res.stream(lost);
            return;
        }
        if path.ends_with(LARGE_SUFFIX) {
            res.body(ResBody::Once(vec![b'x'; 1 << 20].into()));
            return;
        }
        let team = req
            .header::<String>("x-kelpworks-tenant")
            .unwrap_or_default();
        res.body(ResBody::Once(format!("{path} for {team}").into()));
    }
}
