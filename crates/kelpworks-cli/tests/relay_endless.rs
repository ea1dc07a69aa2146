//! Upstreams whose answers have no end, in the head, in the body, or in what frames it.

mod relay_site;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::configuration;
use relay_site::cut::LinksOf;
use relay_site::daemon;
use relay_site::daemon::Answer;
use relay_site::daemon::Host;
use relay_site::daemon::Relay;

/// Time between two tries of a test.
const INTERVAL: Duration = Duration::from_millis(50);
const CALL_BODY: &str = "a body";
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// End of the paths of requests whose answers are complete.
const WARM_UP: &str = "/warm-up";
/// Bytes that may be under way beyond what the daemon has read: socket buffers of both sides.
const SOCKET_BUFFERS: usize = 16 << 20;
/// Bounds on a head, on the body of a call, and on an event of a stream.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_EVENT_BYTES: usize = 4 << 20;
/// Bound on what is read without any data of a body.
const MAX_BYTES_WITHOUT_DATA: usize = 256 << 10;
/// Requests that get answers without end at the same time.
const CROWD: usize = 48;
/// Bound on an engine's report.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Where the first answers have no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endless {
    Head,
    Body,
    /// Informational answers come before it.
    Informational,
    /// The size of a chunk has leading zeros.
    ChunkSize,
    /// A chunk has an extension.
    ChunkExtension,
    Trailers,
}

impl Endless {
    /// Returns what comes between the fields that all answers have and the bytes that are repeated.
    fn start(self) -> &'static str {
        match self {
            Endless::Head => "x-rest: ",
            Endless::Body => "\r\ndata: ",
            Endless::Informational => "\r\n",
            Endless::ChunkSize => "transfer-encoding: chunked\r\n\r\n",
            Endless::ChunkExtension => "transfer-encoding: chunked\r\n\r\n1;",
            Endless::Trailers => "transfer-encoding: chunked\r\n\r\n0\r\nx-rest: ",
        }
    }

    fn repeated(self) -> Vec<u8> {
        match self {
            Endless::Informational => {
                b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".repeat(1_024)
            }
            Endless::ChunkSize => vec![b'0'; 64 << 10],
            _ => vec![b'x'; 64 << 10],
        }
    }
}

/// Upstreams whose first answers have no end; further ones are complete.
struct EndlessUpstream {
    endless: Endless,
    /// Requests that may still get an answer without end.
    left: AtomicUsize,
    /// Bytes of the answer without end that could be written.
    written: AtomicUsize,
    /// Connections on which it has been written until they were closed.
    closed: AtomicUsize,
}

impl EndlessUpstream {
    /// Starts two upstreams behind the links of a site, so that a request can go on at the other one. `count` answers
    /// have no end.
    async fn start(site: &mut Site, endless: Endless, count: usize) -> Arc<EndlessUpstream> {
        let upstream = Arc::new(EndlessUpstream {
            endless,
            left: AtomicUsize::new(count),
            written: AtomicUsize::new(0),
            closed: AtomicUsize::new(0),
        });
        for number in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            let address = site.links.spawn(address).await;
            let entry = json!({
                "service": "fragile", "address": address.to_string(), "zone": "hall-a",
                "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": 1
            });
            site.store
                .put("servers", &format!("endless-{number}"), entry);
            tokio::spawn(Arc::clone(&upstream).accept(listener));
        }
        upstream
    }

    async fn accept(self: Arc<EndlessUpstream>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let upstream = Arc::clone(&self);
            tokio::spawn(async move {
                let _ = upstream.answer(stream).await;
            });
        }
    }

    async fn answer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let mut lines = head.lines();
        let request = lines.find_map(|l| l.strip_prefix("x-kelpworks-attempt-id:"));
        let request = request.unwrap_or_default().trim();
        let (kind, body) = match head.contains("/fragile-events/") {
            true => ("text/event-stream", EVENTS),
            false => ("text/plain", CALL_BODY),
        };
        let fields = format!(
            "x-kelpworks-attempt-id: {request}\r\nx-kelpworks-server-stamp: stamp\r\n\
             content-type: {kind}\r\n"
        );
        let is_warm_up = head.contains(WARM_UP);
        let take = |left: usize| left.checked_sub(1);
        let (set, get) = (Ordering::Relaxed, Ordering::Relaxed);
        if is_warm_up || self.left.fetch_update(set, get, take).is_err() {
            let answer = format!("HTTP/1.1 200 OK\r\n{fields}connection: close\r\n\r\n{body}");
            stream.write_all(answer.as_bytes()).await?;
            return stream.shutdown().await;
        }
        let status = match self.endless {
            Endless::Informational => "103 Early Hints",
            _ => "200 OK",
        };
        let start = format!("HTTP/1.1 {status}\r\n{fields}{}", self.endless.start());
        stream.write_all(start.as_bytes()).await?;
        let piece = self.endless.repeated();
        while let Ok(n) = stream.write(&piece).await {
            self.written.fetch_add(n, Ordering::Relaxed);
        }
        self.closed.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Waits until the connection of the answer without end is closed, and checks how much of it was read.
    async fn check_bound(&self, bound: usize) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while self.closed.load(Ordering::Relaxed) == 0 {
            assert!(Instant::now() < until, "the connection stays open");
            tokio::time::sleep(INTERVAL).await;
        }
        let written = self.written.load(Ordering::Relaxed);
        assert!(written <= bound + SOCKET_BUFFERS, "{written} bytes");
    }
}

/// Waits until all daemons know both upstreams.
async fn wait_until_registered(site: &Site) {
    let until = Instant::now() + WAIT_TIMEOUT;
    let knows = |d: &Relay| d.log().contains("endless-0") && d.log().contains("endless-1");
    while !site.daemons.iter().all(knows) {
        assert!(Instant::now() < until, "not registered");
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn send(site: &Site, method: Method, path: &str) -> Answer {
    let req = site.daemons[0].request(method, path, path);
    let req = req.header("x-kelpworks-token-count", "10,2");
    site.daemons[0].send(req).await.expect("an answer")
}

/// Guards against a daemon that reads an answer until its memory ends, or holds the request until its deadline: at the
/// bound the connection is closed, and a request that may be repeated goes on at the other upstream.
#[rstest]
#[case::call_head(Endless::Head, Method::GET, "/fragile/x", MAX_HEAD_BYTES, (200, CALL_BODY))]
#[case::call_body(Endless::Body, Method::GET, "/fragile/x", MAX_BODY_BYTES, (200, CALL_BODY))]
#[case::stream_head(Endless::Head, Method::POST, "/fragile-events/x", MAX_HEAD_BYTES, (200, EVENTS))]
#[case::stream_event(Endless::Body, Method::POST, "/fragile-events/x", MAX_EVENT_BYTES, (200, EVENTS))]
#[case::once_head(Endless::Head, Method::POST, "/fragile-once/x", MAX_HEAD_BYTES, (502, ""))]
#[case::once_body(Endless::Body, Method::POST, "/fragile-once/x", MAX_BODY_BYTES, (502, ""))]
#[case::call_informational(Endless::Informational, Method::GET, "/fragile/x", MAX_BYTES_WITHOUT_DATA, (200, CALL_BODY))]
#[case::stream_informational(Endless::Informational, Method::POST, "/fragile-events/x", MAX_BYTES_WITHOUT_DATA, (200, EVENTS))]
#[case::once_informational(Endless::Informational, Method::POST, "/fragile-once/x", MAX_BYTES_WITHOUT_DATA, (502, ""))]
#[case::call_chunk_size(Endless::ChunkSize, Method::GET, "/fragile/x", MAX_BYTES_WITHOUT_DATA, (200, CALL_BODY))]
#[case::stream_chunk_size(Endless::ChunkSize, Method::POST, "/fragile-events/x", MAX_BYTES_WITHOUT_DATA, (200, EVENTS))]
#[case::once_chunk_size(Endless::ChunkSize, Method::POST, "/fragile-once/x", MAX_BYTES_WITHOUT_DATA, (502, ""))]
#[case::once_chunk_extension(Endless::ChunkExtension, Method::POST, "/fragile-once/x", MAX_BYTES_WITHOUT_DATA, (502, ""))]
#[case::once_trailers(Endless::Trailers, Method::POST, "/fragile-once/x", MAX_BYTES_WITHOUT_DATA, (502, ""))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_without_end_is_given_up_at_the_bound(
    #[case] endless: Endless,
    #[case] method: Method,
    #[case] path: &str,
    #[case] bound: usize,
    #[case] expected: (u16, &str),
) {
    let name = format!("endless-{endless:?}-{}", path.replace('/', "-"));
    let mut site = Site::start(&name, 1).await;
    let upstream = EndlessUpstream::start(&mut site, endless, 1).await;
    wait_until_registered(&site).await;
    let answer = send(&site, method, path).await;
    assert_eq!(answer.status, expected.0, "{}", site.daemons[0].log());
    if expected.0 == 200 {
        assert_eq!(answer.body, expected.1);
    }
    upstream.check_bound(bound).await;
}

/// Guards against the same by the daemon that a request was handed over to: the caller gets the other upstream's answer
/// by way of a third daemon, as one of the two upstreams allowed is kept back from the second.
#[rstest]
#[case::call_head(Endless::Head, Method::GET, "/fragile/x", MAX_HEAD_BYTES, CALL_BODY)]
#[case::call_body(Endless::Body, Method::GET, "/fragile/x", MAX_BODY_BYTES, CALL_BODY)]
#[case::stream_event(
    Endless::Body,
    Method::POST,
    "/fragile-events/x",
    MAX_EVENT_BYTES,
    EVENTS
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_without_end_is_given_up_by_the_receiver_of_a_request(
    #[case] endless: Endless,
    #[case] method: Method,
    #[case] path: &str,
    #[case] bound: usize,
    #[case] expected: &str,
) {
    let name = format!("endless-handover-{endless:?}-{}", path.replace('/', "-"));
    let mut site = Site::start_with_links(&name, 3).await;
    let upstream = EndlessUpstream::start(&mut site, endless, 1).await;
    wait_until_registered(&site).await;
    site.set_links(0, LinksOf::Reset);
    let until = Instant::now() + WAIT_TIMEOUT;
    let warm_up = path.replace("/x", WARM_UP);
    while !site.daemons[0].log().contains("upstreams out of reach") {
        let _ = send(&site, method.clone(), &warm_up).await;
        assert!(Instant::now() < until, "not out of reach");
        tokio::time::sleep(INTERVAL).await;
    }
    let answer = send(&site, method, path).await;
    assert_eq!((answer.status, &*answer.body), (200, expected));
    upstream.check_bound(bound).await;
}

/// An engine that answers everything without end.
struct EndlessEngine {
    /// Most bytes that could be written on one connection.
    most_written: AtomicUsize,
    closed: AtomicUsize,
}

impl EndlessEngine {
    /// Starts an engine, and registers it as one that has just come.
    async fn start(site: &Site) -> Arc<EndlessEngine> {
        let engine = Arc::new(EndlessEngine {
            most_written: AtomicUsize::new(0),
            closed: AtomicUsize::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut entry = site.engines.all()[0].entry();
        entry["address"] = json!(address.to_string());
        entry["layers"] = json!(null);
        site.store.put("servers", "endless-engine", entry);
        let accepting = Arc::clone(&engine);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_report(stream, Arc::clone(&accepting)));
            }
        });
        engine
    }
}

async fn answer_report(mut stream: TcpStream, engine: Arc<EndlessEngine>) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).await;
    let start = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"seq\": \"";
    let _ = stream.write_all(start).await;
    let piece = [b'1'; 64 << 10];
    let mut written = 0;
    while let Ok(n) = stream.write(&piece).await {
        written += n;
        engine.most_written.fetch_max(written, Ordering::Relaxed);
    }
    engine.closed.fetch_add(1, Ordering::Relaxed);
}

/// Guards against a daemon that reads an engine's report for as long as its call may last, a gigabyte on a fast link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn report_of_an_engine_without_end_is_given_up_at_the_bound() {
    let site = Site::start("endless-report", 1).await;
    let engine = EndlessEngine::start(&site).await;
    let until = Instant::now() + WAIT_TIMEOUT;
    while engine.closed.load(Ordering::Relaxed) == 0 {
        assert!(Instant::now() < until, "no query was closed");
        tokio::time::sleep(INTERVAL).await;
    }
    let written = engine.most_written.load(Ordering::Relaxed);
    assert!(
        written <= MAX_REPORT_BYTES + SOCKET_BUFFERS,
        "{written} bytes"
    );
}

/// Guards against many answers without end that together take more memory than the host has, though each of them is
/// bounded.
#[rstest]
#[case::bodies(Endless::Body, Method::GET, "/fragile/")]
#[case::events(Endless::Body, Method::POST, "/fragile-events/")]
#[case::chunk_sizes(Endless::ChunkSize, Method::POST, "/fragile-events/")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_answers_without_end_stay_within_the_memory_of_the_host(
    #[case] endless: Endless,
    #[case] method: Method,
    #[case] prefix: &str,
) {
    let host = Host {
        memory_mb: 64,
        descriptors: 4_096,
    };
    let name = format!("endless-many-{endless:?}-{}", prefix.replace('/', "-"));
    let mut site = Site::start_on_host(&name, host, configuration(2)).await;
    EndlessUpstream::start(&mut site, endless, usize::MAX).await;
    wait_until_registered(&site).await;
    let mut requests = JoinSet::new();
    for n in 0..CROWD {
        let path = format!("{prefix}{n}");
        let req = site.daemons[0].request(method.clone(), &path, &path);
        let req = req.header("x-kelpworks-token-count", "10,2");
        requests.spawn(daemon::send(req));
    }
    for answer in requests.join_all().await {
        assert_ne!(answer.expect("an answer").status, 200);
    }
    assert!(!site.daemons[0].has_exited());
    let peak = site.daemons[0].peak_memory();
    assert!(peak < host.memory_mb * 1_000_000, "{peak} bytes");
}
