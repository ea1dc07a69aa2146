//! Every kind of request to daemons in separate processes, without faults.

mod relay_site;

use std::time::Duration;

use reqwest::Method;
use rstest::rstest;
use rustix::process::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use relay_site::HOST;
use relay_site::KEY;
use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::configuration;
use relay_site::engine::covers_all_layers;
use relay_site::route;

#[tokio::test]
async fn stream_runs_every_layer_once_and_in_order() {
    let site = Site::start("streams", 2).await;
    for (i, daemon) in site.daemons.iter().enumerate() {
        let answer = daemon
            .stream(&format!("s-{i}"), 8)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.ids(), (1..=8).collect::<Vec<u64>>());
    }
    let runs = site.engines.runs();
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|r| covers_all_layers(&r.hops)), "{runs:?}");
}

#[tokio::test]
async fn service_call_carries_the_team_and_not_its_key() {
    let site = Site::start("plain", 1).await;
    let daemon = &site.daemons[0];
    let req = daemon.request(Method::GET, "/often/x?y=1", "p-1");
    let answer = daemon.send(req).await.expect("an answer");
    assert_eq!((answer.status, &*answer.body), (200, "/often/x for team-a"));
}

#[rstest]
#[case::no_route("GET", "/nowhere/x", true, 404)]
#[case::no_key("GET", "/often/x", false, 401)]
#[case::large("POST", "/once/x", true, 413)]
#[tokio::test]
async fn invalid_request_gets_the_matching_status(
    #[case] method: Method,
    #[case] path: &str,
    #[case] with_key: bool,
    #[case] status: u16,
) {
    let site = Site::start(&format!("improper-{status}"), 1).await;
    let daemon = &site.daemons[0];
    let mut req = daemon.request(method, path, "i-1");
    if !with_key {
        let url = format!("http://{}{path}", daemon.callers);
        req = reqwest::Client::new().get(url).header("host", HOST);
    }
    if status == 413 {
        req = req.body(vec![b'x'; 70_000]);
    }
    let answer = daemon.send(req).await.expect("an answer");
    assert_eq!(answer.status, status);
}

#[tokio::test]
async fn newer_configuration_takes_effect_and_an_older_one_does_not() {
    let site = Site::start("config", 1).await;
    let daemon = &site.daemons[0];
    let mut newer = configuration(9);
    newer["routes"] = serde_json::json!([route("often", "/later/", "idempotent", "app")]);
    site.store.put("config", "main", newer);
    wait_until(async || get_status(daemon, "/later/x").await == 200).await;
    assert_eq!(get_status(daemon, "/often/x").await, 404);
    site.store.put("config", "main", configuration(4));
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(get_status(daemon, "/later/x").await, 200);
}

#[tokio::test]
async fn planned_stop_completes_running_streams() {
    let mut site = Site::start("stop", 1).await;
    let rest = site.daemons[0].start_stream("t-1", 200).await;
    site.daemons[0].signal(Signal::TERM);
    let body = rest.await;
    assert_eq!(body.matches("id: ").count(), 200);
    let readiness = format!("http://{}/readyz", site.daemons[0].readiness);
    let ready = reqwest::get(readiness).await.map(|r| r.status().as_u16());
    assert!(!matches!(ready, Ok(200)), "{ready:?}");
    assert!(site.daemons[0].wait_for_exit().await);
}

/// Timeouts of the changed configuration. A connection may be reused at four fifths of the idle
/// timeout, and is closed at the sum of both, or once a head that has begun takes the second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
const HEADER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Guards against timeouts of the configuration that no connection follows: a daemon with its own, longer timeout keeps
/// connections of callers that send half a head, and one with a shorter one closes connections that callers reuse.
#[tokio::test]
async fn connection_without_a_whole_head_is_closed_after_the_configured_time() {
    let site = Site::start("timeouts", 1).await;
    let daemon = &site.daemons[0];
    let mut earlier = Connection::open(daemon).await;
    let mut newer = configuration(9);
    newer["limits"]["idle-timeout-ms"] = (IDLE_TIMEOUT.as_millis() as u64).into();
    newer["limits"]["header-timeout-ms"] = (HEADER_TIMEOUT.as_millis() as u64).into();
    newer["routes"] = serde_json::json!([route("often", "/later/", "idempotent", "app")]);
    site.store.put("config", "main", newer);
    wait_until(async || get_status(daemon, "/later/x").await == 200).await;

    let mut idle = Connection::open(daemon).await;
    let mut half = Connection::open(daemon).await;
    half.send("GET /later/x HTTP/1.1\r\n").await;
    let mut reused = Connection::open(daemon).await;
    reused.get("/later/x").await;
    tokio::time::sleep(IDLE_TIMEOUT.mul_f64(0.8)).await;
    reused.get("/later/x").await;
    half.send("x-more: 1\r\n").await;
    let open_for = half.wait_for_end().await;
    assert!(open_for >= HEADER_TIMEOUT, "{open_for:?}");
    assert!(idle.is_open().await, "no head has begun on it");
    let open_for = idle.wait_for_end().await;
    assert!(open_for >= IDLE_TIMEOUT + HEADER_TIMEOUT, "{open_for:?}");
    assert!(
        earlier.is_open().await,
        "accepted under the earlier configuration, with longer timeouts"
    );
}

/// A caller's connection, written to byte by byte.
struct Connection {
    stream: TcpStream,
    opened: Instant,
}

impl Connection {
    async fn open(daemon: &relay_site::daemon::Relay) -> Connection {
        let opened = Instant::now();
        let stream = TcpStream::connect(daemon.callers).await;
        Connection {
            stream: stream.expect("a connection"),
            opened,
        }
    }

    async fn send(&mut self, text: &str) {
        let written = self.stream.write_all(text.as_bytes()).await;
        written.expect("the connection is open");
    }

    /// Sends a request and reads its answer, the last word of which is the team's name.
    async fn get(&mut self, path: &str) {
        let head = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}");
        self.send(&format!("{head}\r\n\r\n")).await;
        let mut answer = Vec::new();
        while !answer.ends_with(b"for team-a") {
            let read = timeout(WAIT_TIMEOUT, self.stream.read_buf(&mut answer)).await;
            let bytes = read.expect("an answer in time").expect("an answer");
            assert!(bytes > 0, "closed after {:?}", self.opened.elapsed());
        }
        assert!(answer.starts_with(b"HTTP/1.1 200 "));
    }

    /// Waits until the daemon closes the connection, and returns how long it was open.
    async fn wait_for_end(&mut self) -> Duration {
        let mut rest = Vec::new();
        let end = timeout(WAIT_TIMEOUT, self.stream.read_to_end(&mut rest)).await;
        let _reset_or_closed = end.expect("the connection ends in time");
        self.opened.elapsed()
    }

    async fn is_open(&mut self) -> bool {
        let read = self.stream.read_u8();
        timeout(Duration::from_millis(100), read).await.is_err()
    }
}

async fn get_status(daemon: &relay_site::daemon::Relay, path: &str) -> u16 {
    let req = daemon.request(Method::GET, path, "g-1");
    daemon.send(req).await.expect("an answer").status
}

async fn wait_until(check: impl AsyncFn() -> bool) {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !check().await {
        assert!(
            tokio::time::Instant::now() < end,
            "the condition did not hold in time"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
