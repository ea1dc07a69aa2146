//! Callers that send requests throughout a run and check each answer by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;

use crate::relay_site::HOST;
use crate::relay_site::KEY;
use crate::site::Soak;

/// Deadline that callers send with a request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(8);
/// Time after which callers abandon a request: the deadline and an allowance for a paused daemon.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(12);
/// Range of pauses between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
const EVENTS_PER_STREAM: std::ops::Range<u64> = 3..60;

/// Kind of a request: a stream, or a call that may or may not run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Stream,
    /// May run only once.
    NonIdempotent,
    /// May run again.
    Idempotent,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) at: Instant,
    /// `None` when no head of an answer arrived.
    pub(crate) status: Option<StatusCode>,
    /// Whether the whole answer arrived.
    pub(crate) complete: bool,
    /// The error that ended the request or its answer.
    pub(crate) error: Option<String>,
}

/// A caller of one daemon.
pub(crate) struct Caller {
    soak: Arc<Soak>,
    name: String,
    daemon: SocketAddr,
    client: Client,
    rng: StdRng,
    /// Whether the run has planned work only, so that no request may be lost.
    planned_only: bool,
}

impl Caller {
    pub(crate) fn new(
        soak: &Arc<Soak>,
        daemon: usize,
        number: usize,
        planned_only: bool,
    ) -> Caller {
        Caller {
            soak: Arc::clone(soak),
            name: format!("d{daemon}-c{number}"),
            daemon: soak.daemons[daemon].callers,
            client: client(),
            rng: StdRng::seed_from_u64((daemon * 100 + number) as u64),
            planned_only,
        }
    }
}

/// Returns a client that reuses its connections.
pub(crate) fn client() -> Client {
    let client = Client::builder().no_proxy().timeout(CLIENT_TIMEOUT);
    client.build().expect("a client")
}

/// Returns a request to a daemon with an attempt id, a key and a deadline.
pub(crate) fn request(
    client: &Client,
    daemon: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    key: &str,
) -> RequestBuilder {
    let req = client.request(method, format!("http://{daemon}{path}"));
    let req = req.header("host", HOST).bearer_auth(key);
    req.header("x-kelpworks-attempt-id", id)
        .header("x-kelpworks-deadline-ms", DEADLINE.as_millis().to_string())
}

/// Sends requests until `stop` is set.
pub(crate) async fn run(mut caller: Caller, stop: Arc<AtomicBool>) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{}-{number}", caller.name);
        let kind = match caller.rng.random_range(0..4) {
            0 => Kind::NonIdempotent,
            1 => Kind::Idempotent,
            _ => Kind::Stream,
        };
        let sent = match kind {
            Kind::Stream => caller.stream(&id).await,
            _ => caller.call(&id, kind).await,
        };
        caller.check_planned(&sent);
        let connected = sent.status.is_some();
        caller.soak.sent.lock().expect("no panic").push(sent);
        let pause = match connected {
            true => caller.rng.random_range(PAUSE_MS),
            // The daemon is down; the caller retries after the longest pause.
            false => PAUSE_MS.end,
        };
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

impl Caller {
    fn sent(&self, id: &str, kind: Kind) -> Sent {
        Sent {
            id: id.to_owned(),
            kind,
            at: Instant::now(),
            status: None,
            complete: false,
            error: None,
        }
    }

    /// Sends a call and checks that its answer is that of its own request, complete and with a
    /// server stamp.
    async fn call(&self, id: &str, kind: Kind) -> Sent {
        let mut sent = self.sent(id, kind);
        let (method, path) = match kind {
            Kind::NonIdempotent => (Method::POST, format!("/once/{id}")),
            _ => (Method::GET, format!("/often/{id}")),
        };
        let req = request(&self.client, self.daemon, method, &path, id, KEY);
        let res = match req.send().await {
            Ok(res) => res,
            Err(e) => {
                sent.error = Some(format!("{e:?}"));
                return sent;
            }
        };
        sent.status = Some(res.status());
        let stamped = has_server_stamp(&res);
        match res.text().await {
            Ok(body) if sent.status == Some(StatusCode::OK) => {
                let own = format!("{path} for team-a");
                if body != own || !stamped {
                    self.soak
                        .record_violation(format!("{id}: server stamp {stamped}, got `{body}`"));
                }
                sent.complete = true;
            }
            Ok(_) => sent.complete = true,
            Err(e) => sent.error = Some(format!("{e:?}")),
        }
        sent
    }

    /// Requests a stream and checks that its events arrive in order from the first, and that it
    /// ends only after the last.
    async fn stream(&mut self, id: &str) -> Sent {
        let mut sent = self.sent(id, Kind::Stream);
        let events = self.rng.random_range(EVENTS_PER_STREAM);
        let method = Method::POST;
        let req = request(&self.client, self.daemon, method, "/stream/x", id, KEY);
        let req = req.header("x-kelpworks-token-count", format!("10,{events}"));
        let res = match req.body(format!("prompt of {id}")).send().await {
            Ok(res) => res,
            Err(e) => {
                sent.error = Some(format!("{e:?}"));
                return sent;
            }
        };
        sent.status = Some(res.status());
        if res.status() != StatusCode::OK {
            sent.complete = true;
            return sent;
        }
        let stamped = has_server_stamp(&res);
        let mut text = Vec::new();
        let mut chunks = res.bytes_stream();
        while let Some(chunk) = chunks.next().await {
            match chunk {
                Ok(chunk) => text.extend_from_slice(&chunk),
                Err(e) => sent.error = Some(format!("{e:?}")),
            }
        }
        sent.complete = sent.error.is_none();
        let text = String::from_utf8_lossy(&text);
        let ids: Vec<&str> = text
            .lines()
            .filter_map(|l| l.strip_prefix("id: "))
            .collect();
        let in_order = ids.iter().zip(1..).all(|(id, n)| **id == n.to_string());
        let is_end = !sent.complete || ids.len() as u64 == events;
        if !in_order || !is_end || !stamped {
            let complete = sent.complete;
            self.soak.record_violation(format!(
                "{id}: got {ids:?} of {events} events, complete {complete}, server stamp {stamped}"
            ));
        }
        sent
    }

    /// Checks, in a run with planned work only, that every request that a daemon accepted gets a
    /// complete answer or a refusal that says that it has not run.
    fn check_planned(&self, sent: &Sent) {
        if !self.planned_only {
            return;
        }
        let ambiguous = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        let is_ambiguous = sent.status.is_some_and(|s| ambiguous.contains(&s));
        let ran = self.soak.run_count(&sent.id) > 0 || {
            let runs = self.soak.registry.runs();
            runs.iter().any(|r| r.request == sent.id)
        };
        if is_ambiguous || (ran && !sent.complete) {
            self.soak
                .record_violation(format!("lost under planned work: {sent:?}"));
        }
    }
}

fn has_server_stamp(res: &Response) -> bool {
    res.headers().contains_key("x-kelpworks-server-stamp")
}
