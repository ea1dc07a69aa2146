//! Upstreams whose answers have no end, in the head or in the body.

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

use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::daemon::Answer;
use relay_site::store::Store;

/// Time between two tries of a test.
const INTERVAL: Duration = Duration::from_millis(50);
const CALL_BODY: &str = "a body";
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// Bytes that may be under way beyond what the daemon has read: socket buffers of both sides.
const SOCKET_BUFFERS: usize = 16 << 20;
/// Bounds on a head, on the body of a call, and on an event of a stream.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Where the first answer to each request has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endless {
    Head,
    Body,
}

/// Upstreams whose first answer to each request has no end; further ones are complete.
struct EndlessUpstream {
    endless: Endless,
    /// Whether a request has arrived, at any of them.
    has_answered: AtomicUsize,
    /// Bytes of the answer without end that could be written.
    written: AtomicUsize,
    /// Connections on which it has been written until they were closed.
    closed: AtomicUsize,
}

impl EndlessUpstream {
    /// Starts two upstreams, so that a request can go on at the other one.
    async fn start(store: &Store, endless: Endless) -> Arc<EndlessUpstream> {
        let upstream = Arc::new(EndlessUpstream {
            endless,
            has_answered: AtomicUsize::new(0),
            written: AtomicUsize::new(0),
            closed: AtomicUsize::new(0),
        });
        for number in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            let entry = json!({
                "service": "fragile", "address": address.to_string(), "zone": "hall-a",
                "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": 1
            });
            store.put("servers", &format!("endless-{number}"), entry);
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
        let start = format!(
            "HTTP/1.1 200 OK\r\nx-kelpworks-attempt-id: {request}\r\n\
             x-kelpworks-server-stamp: stamp\r\ncontent-type: {kind}\r\n"
        );
        if self.has_answered.fetch_add(1, Ordering::Relaxed) > 0 {
            let answer = format!("{start}connection: close\r\n\r\n{body}");
            stream.write_all(answer.as_bytes()).await?;
            return stream.shutdown().await;
        }
        let rest = match self.endless {
            Endless::Head => "x-rest: ",
            Endless::Body => "\r\ndata: ",
        };
        stream.write_all(start.as_bytes()).await?;
        stream.write_all(rest.as_bytes()).await?;
        let piece = [b'x'; 64 << 10];
        while let Ok(n) = stream.write(&piece).await {
            self.written.fetch_add(n, Ordering::Relaxed);
        }
        self.closed.fetch_add(1, Ordering::Relaxed);
        Ok(())
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
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_without_end_is_given_up_at_the_bound(
    #[case] endless: Endless,
    #[case] method: Method,
    #[case] path: &str,
    #[case] bound: usize,
    #[case] expected: (u16, &str),
) {
    let name = format!("endless-{endless:?}-{}", path.replace('/', "-"));
    let site = Site::start(&name, 1).await;
    let upstream = EndlessUpstream::start(&site.store, endless).await;
    let until = Instant::now() + WAIT_TIMEOUT;
    while !site.daemons[0].log().contains("endless-1") {
        assert!(Instant::now() < until, "not registered");
        tokio::time::sleep(INTERVAL).await;
    }
    let answer = send(&site, method, path).await;
    assert_eq!(answer.status, expected.0, "{}", site.daemons[0].log());
    if expected.0 == 200 {
        assert_eq!(answer.body, expected.1);
    }
    while upstream.closed.load(Ordering::Relaxed) == 0 {
        assert!(Instant::now() < until, "the connection stays open");
        tokio::time::sleep(INTERVAL).await;
    }
    let written = upstream.written.load(Ordering::Relaxed);
    assert!(written <= bound + SOCKET_BUFFERS, "{written} bytes");
}
