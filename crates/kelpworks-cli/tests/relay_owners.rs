//! Upstreams that follow each other at one address, as separate processes see them.

mod relay_site;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use reqwest::Method;
use rstest::rstest;
use rustix::process::Signal;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::serve;

const DAEMONS: usize = 3;
const INTERVAL: Duration = Duration::from_millis(100);
/// Time in which daemons learn of a change of the store, and of what another one reports.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a daemon stands still.
const STOPPED_FOR: Duration = Duration::from_secs(4);

/// A server whose id changes with each start; it refuses requests that are meant for another one.
#[derive(Clone, Debug, Default)]
struct Successors {
    id: Arc<Mutex<String>>,
}

impl Successors {
    async fn start() -> (Successors, SocketAddr) {
        let successors = Successors::default();
        let router = Router::with_path("{**rest}").goal(successors.clone());
        let (address, _) = serve(router).await;
        (successors, address)
    }

    fn become_id(&self, id: &str) {
        *self.id.lock().expect("no panic") = id.to_owned();
    }
}

#[async_trait]
impl Handler for Successors {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = self.id.lock().expect("no panic").clone();
        let field = |name: &str| req.header::<String>(name).unwrap_or_default();
        let _ = res.add_header("x-kelpworks-instance-id", &id, true);
        let _ = res.add_header(
            "x-kelpworks-attempt-id",
            field("x-kelpworks-attempt-id"),
            true,
        );
        if field("x-kelpworks-expect-instance") != id {
            res.status_code(StatusCode::MISDIRECTED_REQUEST);
            return;
        }
        let _ = res.add_header("x-kelpworks-server-stamp", "stamp", true);
        res.render("answer");
    }
}

fn entry(address: SocketAddr, born: Option<u64>) -> Value {
    let mut entry = json!({
        "service": "fragile", "address": address.to_string(), "zone": "hall-a",
        "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": 1
    });
    if let Some(born) = born {
        entry["born"] = json!(born);
    }
    entry
}

async fn is_served(site: &Site, daemon: usize, id: &str) -> bool {
    let daemon = &site.daemons[daemon];
    let req = daemon.request(Method::GET, "/fragile/x", id);
    daemon.send(req).await.is_ok_and(|a| a.status == 200)
}

/// Waits until a daemon serves requests; returns whether it does in time.
async fn wait_until_served(site: &Site, daemon: usize, name: &str) -> bool {
    let until = Instant::now() + WAIT_TIMEOUT;
    for n in 0.. {
        if is_served(site, daemon, &format!("{name}-{daemon}-{n}")).await {
            return true;
        }
        if Instant::now() >= until {
            break;
        }
        sleep(INTERVAL).await;
    }
    false
}

/// Guards against a report of the owner of an address that lay in the socket of a daemon that stood still: it took the
/// report for new, and had all others drop the upstream that had started since.
#[rstest]
#[case::with_start_times([Some(1_000), Some(2_000), Some(3_000)])]
#[case::without_start_times([None, None, None])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_is_used_after_a_daemon_stood_still(#[case] born: [Option<u64>; 3]) {
    let name = format!("owners-{}", born[0].map_or("unknown", |_| "known"));
    let site = Site::start(&name, DAEMONS).await;
    let (server, address) = Successors::start().await;
    server.become_id("first");
    site.store.put("servers", "first", entry(address, born[0]));
    for daemon in 0..DAEMONS {
        assert!(wait_until_served(&site, daemon, "first").await);
    }
    sleep(DISCOVERY_PERIOD).await;
    // The second one starts and refuses a request for the first, while a daemon stands still.
    server.become_id("second");
    site.daemons[2].signal(Signal::STOP);
    for daemon in 0..2 {
        assert!(!is_served(&site, daemon, &format!("refused-{daemon}")).await);
    }
    sleep(Duration::from_millis(500)).await;
    site.store.put("servers", "second", entry(address, born[1]));
    site.store.delete("servers", "first");
    sleep(DISCOVERY_PERIOD).await;
    server.become_id("third");
    site.store.put("servers", "third", entry(address, born[2]));
    site.store.delete("servers", "second");
    sleep(STOPPED_FOR).await;
    site.daemons[2].signal(Signal::CONT);
    // Its digests reach the others, which send no request meanwhile.
    sleep(DISCOVERY_PERIOD).await;
    for daemon in 0..DAEMONS {
        assert!(
            is_served(&site, daemon, &format!("third-{daemon}")).await,
            "daemon {daemon}: {}",
            site.daemons[daemon].log()
        );
    }
}

/// Guards against an upstream that is out of use for good, since no request goes there that could show that it is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_is_used_again_after_another_one_answered_for_it() {
    let site = Site::start("owners-back", DAEMONS).await;
    let (server, address) = Successors::start().await;
    server.become_id("only");
    site.store.put("servers", "only", entry(address, None));
    for daemon in 0..DAEMONS {
        assert!(wait_until_served(&site, daemon, "before").await);
    }
    server.become_id("another");
    for daemon in 0..DAEMONS {
        let id = format!("refused-{daemon}");
        assert!(!is_served(&site, daemon, &id).await);
    }
    server.become_id("only");
    for daemon in 0..DAEMONS {
        assert!(
            wait_until_served(&site, daemon, "after").await,
            "daemon {daemon}: {}",
            site.daemons[daemon].log()
        );
    }
}

/// Guards against an entry of another service at the address of the only upstream: with the later start time it took
/// effect in its place, and no request of that service could show who answers there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_is_used_beside_an_entry_of_an_unknown_service_at_its_address() {
    let site = Site::start("owners-foreign", DAEMONS).await;
    let (server, address) = Successors::start().await;
    server.become_id("only");
    let mut foreign = entry(address, Some(9_000));
    foreign["service"] = json!("of-nobody");
    site.store.put("servers", "foreign", foreign);
    site.store
        .put("servers", "only", entry(address, Some(1_000)));
    for daemon in 0..DAEMONS {
        assert!(
            wait_until_served(&site, daemon, "served").await,
            "daemon {daemon}: {}",
            site.daemons[daemon].log()
        );
    }
}
