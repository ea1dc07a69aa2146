//! Upstreams of a plain service of their own that end when they run a chosen request, or one with a chosen part
//! in its prompt, and start again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Listener;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::async_trait;
use salvo::conn::TcpListener;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use serde_json::json;
use tokio::sync::Notify;

use super::cut::Links;
use super::engine::Arrival;
use super::store::Store;

/// Part of the path of a request that ends each upstream that begins to run it.
pub(crate) const POISON: &str = "poison";
/// Path ending of a request that an upstream works on for [`LONG_WORK`].
pub(crate) const LONG: &str = "long";
/// Parts of prompts that end each upstream that begins to write an answer on them.
pub(crate) const POISON_PARTS: [&str; 2] = ["bad0", "bad1"];
/// Time for which an upstream writes an answer on a poisonous part before it ends.
const POISON_PART_WORK: Duration = Duration::from_millis(100);
/// Number of events that answer a prompt with parts, and the time between two of them.
pub(crate) const PART_EVENTS: u64 = 8;
const PART_EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which an upstream works on a poisonous request before it ends.
const POISON_WORK: Duration = Duration::from_millis(20);
/// Time for which an upstream works on a request whose path ends with [`LONG`].
const LONG_WORK: Duration = Duration::from_millis(150);
/// Time between two registrations of an upstream, which also come after a restore of the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an upstream that ended starts again, at the same address under another id.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(2_500);

const ATTEMPT_HEADER: &str = "x-kelpworks-attempt-id";
const STAMP_HEADER: &str = "x-kelpworks-server-stamp";
pub(crate) const PARTS_HEADER: &str = "x-kelpworks-prefix-hash";

/// An upstream that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct End {
    /// Instance id of the upstream.
    pub(crate) instance: String,
    /// Path of the request.
    pub(crate) path: String,
    /// Poisonous part of its prompt, under which it ended.
    pub(crate) part: Option<&'static str>,
    pub(crate) at: Instant,
}

/// A request with a poisonous part that arrived at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PoisonArrival {
    /// Id of the request.
    pub(crate) request: String,
    pub(crate) part: &'static str,
    pub(crate) at: Instant,
}

/// What the upstreams have in common.
#[derive(Debug, Default)]
struct Record {
    ends: Mutex<Vec<End>>,
    poison_arrivals: Mutex<Vec<PoisonArrival>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Set once upstreams are not to start again.
    is_over: AtomicBool,
}

/// Upstreams of the service `fragile`; they do not start again once this is dropped.
#[derive(Debug)]
pub(crate) struct CrashingApps {
    record: Arc<Record>,
}

/// Where an upstream listens, and where others reach it.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    own: SocketAddr,
    registered: SocketAddr,
}

impl CrashingApps {
    /// Starts upstreams and registers them.
    pub(crate) async fn start(store: &Store, count: usize) -> CrashingApps {
        let addresses = (0..count).map(|_| {
            let own = super::free_address();
            Addresses {
                own,
                registered: own,
            }
        });
        CrashingApps::start_at(store, addresses.collect())
    }

    /// Like [`CrashingApps::start`], with links in front of the upstreams.
    pub(crate) async fn start_behind(
        links: &mut Links,
        store: &Store,
        count: usize,
    ) -> CrashingApps {
        let mut addresses = Vec::new();
        for _ in 0..count {
            let own = super::free_address();
            let registered = links.spawn(own).await;
            addresses.push(Addresses { own, registered });
        }
        CrashingApps::start_at(store, addresses)
    }

    fn start_at(store: &Store, addresses: Vec<Addresses>) -> CrashingApps {
        let record: Arc<Record> = Arc::default();
        for (number, addresses) in addresses.into_iter().enumerate() {
            let (store, record) = (store.clone(), Arc::clone(&record));
            tokio::spawn(run(store, record, number, addresses));
        }
        CrashingApps { record }
    }

    /// Returns the upstreams that ended so far, in order.
    pub(crate) fn ends(&self) -> Vec<End> {
        self.record.ends.lock().expect("no panic").clone()
    }

    /// Returns all requests that arrived so far, in order.
    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        self.record.arrivals.lock().expect("no panic").clone()
    }

    /// Returns the requests with a poisonous part that arrived so far, in order.
    pub(crate) fn poison_arrivals(&self) -> Vec<PoisonArrival> {
        let arrivals = self.record.poison_arrivals.lock();
        arrivals.expect("no panic").clone()
    }
}

impl Drop for CrashingApps {
    fn drop(&mut self) {
        self.record.is_over.store(true, Ordering::Relaxed);
    }
}

/// Runs one incarnation of an upstream after the other at an address.
async fn run(store: Store, record: Arc<Record>, number: usize, addresses: Addresses) {
    for incarnation in 0.. {
        let instance = format!("fragile-{number}-{incarnation}");
        let acceptor = TcpListener::new(addresses.own).bind().await;
        let server = Server::new(acceptor);
        let handle = server.handle();
        let ended = Arc::new(Notify::new());
        let handler = CrashingHandler {
            instance: instance.clone(),
            record: Arc::clone(&record),
            ended: Arc::clone(&ended),
        };
        let serving = tokio::spawn(server.serve(Router::with_path("{**rest}").goal(handler)));
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                () = ended.notified() => break,
                _ = heartbeat.tick() => {}
            }
            if incarnation > 0 {
                store.delete("servers", &format!("fragile-{number}-{}", incarnation - 1));
            }
            store.put("servers", &instance, entry(addresses.registered));
        }
        handle.stop_forceful();
        let _ = serving.await;
        tokio::time::sleep(RESTART_DELAY).await;
        if record.is_over.load(Ordering::Relaxed) {
            return;
        }
    }
}

fn entry(address: SocketAddr) -> serde_json::Value {
    json!({
        "service": "fragile", "address": address.to_string(), "zone": "hall-a",
        "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": 1
    })
}

#[derive(Clone)]
struct CrashingHandler {
    instance: String,
    record: Arc<Record>,
    ended: Arc<Notify>,
}

impl CrashingHandler {
    /// Ends the upstream under a request, once, after it has worked for this time.
    async fn end(self, path: String, part: Option<&'static str>, work: Duration) {
        tokio::time::sleep(work).await;
        {
            let mut ends = self.record.ends.lock().expect("no panic");
            if !ends.iter().any(|e| e.instance == self.instance) {
                ends.push(End {
                    instance: self.instance.clone(),
                    path,
                    part,
                    at: Instant::now(),
                });
            }
        }
        self.ended.notify_one();
        std::future::pending().await
    }

    /// Returns the poisonous part of a prompt, which is never the last one, and records the arrival.
    fn poison_part(&self, request: &str, parts: &str) -> Option<&'static str> {
        let (shared, _own) = parts.rsplit_once(',')?;
        let mut ids = shared.split(',').filter_map(|p| p.split(':').next());
        let part = ids.find_map(|id| POISON_PARTS.into_iter().find(|p| *p == id))?;
        let arrival = PoisonArrival {
            request: request.to_owned(),
            part,
            at: Instant::now(),
        };
        let mut arrivals = self.record.poison_arrivals.lock().expect("no panic");
        arrivals.push(arrival);
        Some(part)
    }

    /// Streams the events of a prompt with parts. On a poisonous one, the upstream ends after some.
    fn stream_prompt(&self, path: String, poison: Option<&'static str>, res: &mut Response) {
        let end = poison.map(|_| self.clone().end(path, poison, POISON_PART_WORK));
        let ending = stream::iter(end).filter_map(|end| async move {
            end.await;
            None
        });
        let events = stream::iter(1..=PART_EVENTS).then(|id| async move {
            tokio::time::sleep(PART_EVENT_INTERVAL).await;
            let event = format!("id: {id}\ndata: word-{id}\n\n");
            Ok::<_, std::io::Error>(Bytes::from(event))
        });
        res.stream(stream::select(events, ending));
    }
}

#[async_trait]
impl Handler for CrashingHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let arrival = Arrival::of(req);
        let request = arrival.request.clone();
        self.record.arrivals.lock().expect("no panic").push(arrival);
        let _ = res.add_header(ATTEMPT_HEADER, request.clone(), true);
        let expected = req.header::<String>("x-kelpworks-expect-instance");
        if expected.is_some_and(|id| id != self.instance) {
            let _ = res.add_header("x-kelpworks-instance-id", &self.instance, true);
            res.status_code(StatusCode::MISDIRECTED_REQUEST);
            return;
        }
        let path = req.uri().path().to_owned();
        if path.contains(POISON) {
            self.clone().end(path.clone(), None, POISON_WORK).await;
        }
        let parts = req.header::<String>(PARTS_HEADER).unwrap_or_default();
        let poison = self.poison_part(&request, &parts);
        if poison.is_some() && !path.starts_with("/fragile-events/") {
            self.clone()
                .end(path.clone(), poison, POISON_PART_WORK)
                .await;
        }
        if path.ends_with(LONG) {
            tokio::time::sleep(LONG_WORK).await;
        }
        let _ = res.add_header(STAMP_HEADER, "stamp", true);
        if path.starts_with("/fragile-events/") {
            let _ = res.add_header("content-type", "text/event-stream", true);
            if !parts.is_empty() {
                self.stream_prompt(path, poison, res);
                return;
            }
            let event = Bytes::from_static(b"id: 1\ndata: word\n\n");
            res.stream(stream::iter([Ok::<_, std::io::Error>(event)]));
            return;
        }
        res.body(ResBody::Once(path.into()));
    }
}
