//! Requests around a planned stop of a daemon, in calm.

mod relay_site;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use relay_site::HOST;
use relay_site::KEY;
use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::daemon;
use relay_site::daemon::Relay;

/// Time between the signal and SIGKILL, as the daemons' settings say.
const GRACE: Duration = Duration::from_secs(8);
/// Time for which the upstream works on a slow request: one that is sent late in the grace outlasts it.
const SLOW: Duration = Duration::from_secs(6);
/// Times after the signal at which requests are sent: while the daemon still accepts some, and when it no longer does.
const SENT_AFTER_MS: [u64; 8] = [0, 500, 1_000, 1_500, 2_000, 2_300, 2_700, 4_000];
const INTERVAL: Duration = Duration::from_millis(50);
const BODY: &str = "id: 1\ndata: done\n\n";

/// An upstream that answers requests at once, those to `slow` after [`SLOW`], and those to `never` not at all.
#[derive(Default)]
struct Upstream {
    arrivals: Mutex<HashMap<String, usize>>,
}

impl Upstream {
    async fn start(site: &Site) -> Arc<Upstream> {
        let upstream = Arc::new(Upstream::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let entry = json!({
            "service": "fragile", "address": address.to_string(), "zone": "hall-a",
            "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": 1
        });
        site.store.put("servers", "slow-upstream", entry);
        let accepting = Arc::clone(&upstream);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let upstream = Arc::clone(&accepting);
                tokio::spawn(async move {
                    let _ = upstream.serve(stream).await;
                });
            }
        });
        let until = Instant::now() + WAIT_TIMEOUT;
        while !site
            .daemons
            .iter()
            .all(|d| d.log().contains("slow-upstream"))
        {
            assert!(Instant::now() < until, "not registered");
            tokio::time::sleep(INTERVAL).await;
        }
        upstream
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            let head = String::from_utf8_lossy(&head).to_lowercase();
            let mut lines = head.lines();
            let id = lines.find_map(|l| l.strip_prefix("x-kelpworks-attempt-id:"));
            let id = id.unwrap_or_default().trim();
            *lock(&self.arrivals).entry(id.to_owned()).or_default() += 1;
            if head.contains("/slow") {
                tokio::time::sleep(SLOW).await;
            }
            if head.contains("/never") {
                std::future::pending::<()>().await;
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-kelpworks-attempt-id: {id}\r\nx-kelpworks-server-stamp: stamp\r\n\
                 content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{BODY}",
                BODY.len()
            );
            stream.write_all(answer.as_bytes()).await?;
        }
    }

    fn arrivals(&self, id: &str) -> usize {
        lock(&self.arrivals).get(id).copied().unwrap_or(0)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no panic")
}

/// A request that is sent around the stop, and the connection that it is sent on.
#[derive(Clone, Debug)]
struct Planned {
    id: String,
    path: String,
    method: Method,
    sent_after: Duration,
    client: Client,
}

impl Planned {
    /// Prepares a request on a connection that has served one before, or on a new one.
    async fn new(relay: &Relay, path: &str, sent_after: Duration, is_kept: bool) -> Planned {
        let method = match path.starts_with("/fragile/") {
            true => Method::GET,
            false => Method::POST,
        };
        let kind = if is_kept { "kept" } else { "new" };
        let id = format!(
            "{}-{kind}-{}",
            path.replace('/', ""),
            sent_after.as_millis()
        );
        let client = Client::builder().no_proxy().build().expect("a client");
        let planned = Planned {
            id,
            path: path.to_owned(),
            method,
            sent_after,
            client,
        };
        if is_kept {
            let warm_up = planned.request(relay, "/fragile/warm-up", "warm-up");
            assert_eq!(daemon::send(warm_up).await.expect("an answer").status, 200);
        }
        planned
    }

    /// Returns a request that its caller waits 8 s for.
    fn request(&self, relay: &Relay, path: &str, id: &str) -> RequestBuilder {
        self.request_for(relay, path, id, "8000")
    }

    fn request_for(
        &self,
        relay: &Relay,
        path: &str,
        id: &str,
        deadline_ms: &str,
    ) -> RequestBuilder {
        let url = format!("http://{}{path}", relay.callers);
        let req = self.client.request(self.method.clone(), url);
        let req = req
            .header("host", HOST)
            .header("x-kelpworks-attempt-id", id);
        req.bearer_auth(KEY)
            .header("x-kelpworks-deadline-ms", deadline_ms)
    }
}

/// What became of a request: its status, `None` if its connection ended without an answer, and how often it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Outcome {
    status: Option<u16>,
    arrivals: usize,
}

/// Stops a daemon, and sends requests to a path at all times, on kept and on new connections.
async fn stop_under_requests(
    relay: &mut Relay,
    upstream: &Upstream,
    path: &str,
) -> Vec<(Planned, Outcome)> {
    let mut planned = Vec::new();
    for sent_after in SENT_AFTER_MS.map(Duration::from_millis) {
        for is_kept in [true, false] {
            planned.push(Planned::new(relay, path, sent_after, is_kept).await);
        }
    }
    relay.signal(Signal::TERM);
    let signalled = tokio::time::Instant::now();
    let mut requests = JoinSet::new();
    for planned in planned {
        let req = planned.request(relay, &planned.path, &planned.id);
        requests.spawn(async move {
            tokio::time::sleep_until(signalled + planned.sent_after).await;
            let status = daemon::send(req).await.map(|answer| answer.status);
            (planned, status.ok())
        });
    }
    relay.signal(Signal::TERM);
    let ended = requests.join_all().await;
    assert!(relay.wait_for_exit().await);
    assert!(signalled.elapsed() < GRACE, "{:?}", signalled.elapsed());
    let with_arrivals = |(planned, status): (Planned, Option<u16>)| {
        let arrivals = upstream.arrivals(&planned.id);
        (planned, Outcome { status, arrivals })
    };
    ended.into_iter().map(with_arrivals).collect()
}

fn assert_all(outcomes: &[(Planned, Outcome)], is_allowed: impl Fn(&Outcome) -> bool) {
    let broken: Vec<String> = outcomes
        .iter()
        .filter(|(_, outcome)| !is_allowed(outcome))
        .map(|(planned, outcome)| format!("{}: {outcome:?}", planned.id))
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against requests that are passed on late in the grace, and cut at its end without an answer. One that may not
/// be repeated either gets its answer or has not run; others get an answer once they have been passed on.
#[rstest]
#[case::once("/fragile-once/slow", &[200])]
#[case::often("/fragile/slow", &[200, 502, 504])]
#[case::stream("/fragile-events/slow", &[200, 502, 504])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_during_a_planned_stop_is_answered_or_not_passed_on(
    #[case] path: &str,
    #[case] allowed: &[u16],
) {
    let name = format!("stop-{}", path.replace('/', "-"));
    let mut site = Site::start(&name, 1).await;
    let upstream = Upstream::start(&site).await;
    let outcomes = stop_under_requests(&mut site.daemons[0], &upstream, path).await;
    assert_all(&outcomes, |outcome| {
        match (outcome.status, outcome.arrivals) {
            (None | Some(503), arrivals) => arrivals == 0,
            (Some(status), arrivals) => allowed.contains(&status) && arrivals > 0,
        }
    });
}

/// Guards against a stop that turns requests away which would end in time.
#[rstest]
#[case::once("/fragile-once/x")]
#[case::often("/fragile/x")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_ends_within_the_grace_is_served_while_callers_move(#[case] path: &str) {
    let mut site = Site::start(&format!("stop-fast-{}", path.replace('/', "-")), 1).await;
    let upstream = Upstream::start(&site).await;
    let relay = &site.daemons[0];
    relay.signal(Signal::TERM);
    for n in 0..10 {
        let planned = Planned::new(relay, path, Duration::ZERO, false).await;
        let id = format!("fast-{n}");
        let req = planned.request_for(relay, path, &id, "2000");
        assert_eq!(daemon::send(req).await.expect("an answer").status, 200);
        assert_eq!(upstream.arrivals(&id), 1);
        tokio::time::sleep(INTERVAL).await;
    }
    assert!(site.daemons[0].wait_for_exit().await);
}

/// Guards against a request that was passed on before the stop and outlasts it, and whose connection is closed without an
/// answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_outlasts_a_planned_stop_is_answered() {
    let mut site = Site::start("stop-outlasted", 1).await;
    let upstream = Upstream::start(&site).await;
    let relay = &site.daemons[0];
    let mut requests = JoinSet::new();
    let paths = ["/fragile-once/never", "/fragile-events/never"];
    for path in paths {
        let planned = Planned::new(relay, path, Duration::ZERO, false).await;
        requests.spawn(daemon::send(planned.request(relay, path, path)));
    }
    let until = Instant::now() + WAIT_TIMEOUT;
    while paths.iter().any(|path| upstream.arrivals(path) == 0) {
        assert!(Instant::now() < until, "the requests don't arrive");
        tokio::time::sleep(INTERVAL).await;
    }
    relay.signal(Signal::TERM);
    for answer in requests.join_all().await {
        let status = answer.expect("an answer").status;
        assert!([502, 504].contains(&status), "{status}");
    }
    assert!(site.daemons[0].wait_for_exit().await);
}
