//! Answers that have neither a length nor chunks, and end with their connection.

mod relay_site;

use std::sync::Arc;
use std::sync::Mutex;
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

/// Time between two registrations and between two tries of a test.
const INTERVAL: Duration = Duration::from_millis(100);
const CALL_BODY: &str = "a body without a length";
const EVENTS: [&str; 3] = [
    "id: 1\ndata: one\n\n",
    "id: 2\ndata: two\n\n",
    "id: 3\ndata: three\n\n",
];

/// How an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The connection is closed after the whole body.
    Clean,
    /// The connection is closed within the body: within an event of a stream.
    Short,
    /// The connection is reset after the whole body.
    Reset,
}

/// A request that arrived: the id of its caller, and the last event that the caller has.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Arrival {
    request: String,
    after: usize,
    /// Number of its connection.
    connection: usize,
}

/// An upstream whose first answer to each request ends in this way, and whose further ones end cleanly.
struct Unframed {
    ending: Ending,
    arrivals: Mutex<Vec<Arrival>>,
}

impl Unframed {
    /// Starts two upstreams, so that a request can go on at the other one.
    async fn start(store: &Store, ending: Ending) -> Arc<Unframed> {
        let upstream = Arc::new(Unframed {
            ending,
            arrivals: Mutex::default(),
        });
        for number in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            let entry = json!({
                "service": "fragile", "address": address.to_string(), "zone": "hall-a",
                "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": 1
            });
            store.put("servers", &format!("unframed-{number}"), entry);
            tokio::spawn(Arc::clone(&upstream).accept(listener));
        }
        upstream
    }

    async fn accept(self: Arc<Unframed>, listener: TcpListener) {
        for connection in 0.. {
            let (stream, _) = listener.accept().await.expect("a connection");
            let upstream = Arc::clone(&self);
            tokio::spawn(async move {
                let _ = upstream.answer(stream, connection).await;
            });
        }
    }

    /// Answers the first request of a connection, and closes it.
    async fn answer(&self, mut stream: TcpStream, connection: usize) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let field = |name: &str| {
            let mut lines = head.lines();
            lines.find_map(|l| Some(l.strip_prefix(name)?.trim().to_owned()))
        };
        let request = field("x-kelpworks-attempt-id:").unwrap_or_default();
        let after = field("last-event-id:").map_or(0, |id| id.parse().expect("a number"));
        let is_first = {
            let mut arrivals = self.arrivals.lock().expect("no panic");
            let is_first = !arrivals.iter().any(|a| a.request == request);
            arrivals.push(Arrival {
                request: request.clone(),
                after,
                connection,
            });
            is_first
        };
        let is_stream = head.contains("/fragile-events/");
        let (kind, body) = match is_stream {
            true => ("text/event-stream", EVENTS[after..].concat()),
            false => ("text/plain", CALL_BODY.to_owned()),
        };
        let ending = match is_first {
            true => self.ending,
            false => Ending::Clean,
        };
        let body = match ending {
            Ending::Short => &body[..body.len() - 5],
            _ => &body,
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-kelpworks-attempt-id: {request}\r\n\
             x-kelpworks-server-stamp: stamp\r\ncontent-type: {kind}\r\n\r\n{body}"
        );
        stream.write_all(answer.as_bytes()).await?;
        stream.flush().await?;
        if ending == Ending::Reset {
            // What was written may still be on its way.
            tokio::time::sleep(INTERVAL).await;
            stream.set_zero_linger()?;
            return Ok(());
        }
        stream.shutdown().await
    }

    fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no panic").clone()
    }
}

async fn start(name: &str, ending: Ending) -> (Site, Arc<Unframed>) {
    let site = Site::start(name, 1).await;
    let upstream = Unframed::start(&site.store, ending).await;
    let until = Instant::now() + WAIT_TIMEOUT;
    while !site.daemons[0].log().contains("unframed-1") {
        assert!(Instant::now() < until, "not registered");
        tokio::time::sleep(INTERVAL).await;
    }
    (site, upstream)
}

async fn send(site: &Site, method: Method, path: &str) -> reqwest::Result<Answer> {
    let daemon = &site.daemons[0];
    let req = daemon.request(method, path, path);
    daemon
        .send(req.header("x-kelpworks-token-count", "10,3"))
        .await
}

/// Guards against a call whose answer is passed on as whole although it was cut off, and against one that is refused
/// because no length shows its end.
#[rstest]
#[case::clean(Ending::Clean, 1)]
#[case::reset(Ending::Reset, 2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_without_a_length_is_complete_when_its_connection_ends_cleanly(
    #[case] ending: Ending,
    #[case] expected_arrivals: usize,
) {
    let (site, upstream) = start(&format!("unframed-call-{ending:?}"), ending).await;
    for n in 0..5 {
        let path = format!("/fragile/{n}");
        let answer = send(&site, Method::GET, &path).await.expect("an answer");
        assert_eq!((answer.status, &*answer.body), (200, CALL_BODY));
        let arrivals = upstream.arrivals();
        let of_request = arrivals.iter().filter(|a| a.request == path).count();
        assert_eq!(of_request, expected_arrivals, "{arrivals:?}");
    }
}

/// Guards against a call that runs once and whose cut-off answer is passed on as a success.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_that_runs_once_fails_when_its_connection_is_reset() {
    let (site, upstream) = start("unframed-once", Ending::Reset).await;
    let answer = send(&site, Method::POST, "/fragile-once/x").await;
    assert_eq!(answer.expect("an answer").status, 502);
    assert_eq!(upstream.arrivals().len(), 1);
}

/// Guards against a stream that ends within an event, or with a reset, and is passed on as complete; it goes on at the
/// other upstream after the last whole event.
#[rstest]
#[case::clean(Ending::Clean, &[0])]
#[case::short(Ending::Short, &[0, 2])]
#[case::reset(Ending::Reset, &[0, 3])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_without_a_length_is_complete_at_a_clean_end_after_an_event(
    #[case] ending: Ending,
    #[case] expected: &[usize],
) {
    let (site, upstream) = start(&format!("unframed-stream-{ending:?}"), ending).await;
    let answer = send(&site, Method::POST, "/fragile-events/x").await;
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.body), (200, EVENTS.concat()));
    let after: Vec<usize> = upstream.arrivals().iter().map(|a| a.after).collect();
    assert_eq!(after, expected);
}
