//! Upstreams of a plain service of their own that end when they run a chosen request, and start again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
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
use super::store::Store;

/// Part of the path of a request that ends each upstream that begins to run it.
pub(crate) const POISON: &str = "poison";
/// Path ending of a request that an upstream works on for [`LONG_WORK`].
pub(crate) const LONG: &str = "long";
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

/// An upstream that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct End {
    /// Instance id of the upstream.
    pub(crate) instance: String,
    /// Path of the request.
    pub(crate) path: String,
    pub(crate) at: Instant,
}

/// What the upstreams have in common.
#[derive(Debug, Default)]
struct Record {
    ends: Mutex<Vec<End>>,
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

struct CrashingHandler {
    instance: String,
    record: Arc<Record>,
    ended: Arc<Notify>,
}

impl CrashingHandler {
    /// Ends the upstream under a request, once.
    async fn end(&self, path: &str) {
        tokio::time::sleep(POISON_WORK).await;
        {
            let mut ends = self.record.ends.lock().expect("no panic");
            if !ends.iter().any(|e| e.instance == self.instance) {
                ends.push(End {
                    instance: self.instance.clone(),
                    path: path.to_owned(),
                    at: Instant::now(),
                });
            }
        }
        self.ended.notify_one();
        std::future::pending().await
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
        let request = req.header::<String>(ATTEMPT_HEADER).unwrap_or_default();
        let _ = res.add_header(ATTEMPT_HEADER, request, true);
        let expected = req.header::<String>("x-kelpworks-expect-instance");
        if expected.is_some_and(|id| id != self.instance) {
            let _ = res.add_header("x-kelpworks-instance-id", &self.instance, true);
            res.status_code(StatusCode::MISDIRECTED_REQUEST);
            return;
        }
        let path = req.uri().path().to_owned();
        if path.contains(POISON) {
            self.end(&path).await;
        }
        if path.ends_with(LONG) {
            tokio::time::sleep(LONG_WORK).await;
        }
        let _ = res.add_header(STAMP_HEADER, "stamp", true);
        if path.starts_with("/fragile-events/") {
            let _ = res.add_header("content-type", "text/event-stream", true);
            let event = Bytes::from_static(b"id: 1\ndata: word\n\n");
            res.stream(stream::iter([Ok::<_, std::io::Error>(event)]));
            return;
        }
        res.body(ResBody::Once(path.into()));
    }
}
