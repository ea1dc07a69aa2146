//! Requests to plain services: one whole answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use kelpworks::verdict::Verdict;
use log::info;
use rand::RngExt;
use tokio::time::Instant;

use super::Refusal;
use super::Ticket;
use super::outcome::Outcome;
use crate::adapter::Adapter;
use crate::adapter::AnswerHead;
use crate::adapter::ForwardedHead;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::limits::Announcement;
use crate::permit::Permit;
use crate::pool;
use crate::pool::Exchange;
use crate::pool::Reuse;
use crate::shared::Shared;

/// Largest answer that is read whole; the services answer with a few kilobytes.
const MAX_BYTES: usize = 16 << 20;
/// How much dearer an upstream counts that fails all its attempts.
const FAILING_FACTOR: f64 = 6.0;
/// Least time left for a further attempt: a round trip and the usual work of a call.
const WORTH_TRYING: Duration = Duration::from_millis(20);
/// Attempts beyond the route's own that may follow a proof that nothing has run.
const SPARE_ATTEMPTS: u32 = 1;
/// An attempt that may be repeated is given up after this many usual answer times.
const PATIENCE: f64 = 6.0;
/// Not sooner than this: answers of these services vary by a factor of five.
const MIN_PATIENCE: Duration = Duration::from_millis(250);
/// When to come back after a refusal, at least: what stands in the way is a lost engine or too many
/// requests, and either takes seconds to pass. A caller that comes back sooner is refused again and
/// does not come a third time.
const BUSY_RETRY: Duration = Duration::from_millis(1_500);
/// Added to it at random, so that callers don't come back together.
const BUSY_SPREAD: Duration = Duration::from_millis(2_000);

/// Part of a route's latency target for which a call waits until an upstream's limit allows it.
const LIMIT_WAIT_PART: f64 = 0.5;
/// Shortest such wait: another request may take the turn that this one waited for.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(5);

/// Why a request is refused that no upstream's limit allows.
const LIMITED: &str = "the limits of the upstreams are used up";
/// Why an attempt failed that was not written to a connection.
pub(super) const NOT_SENT: &str = "not sent";

/// How an attempt ended.
enum Attempt {
    /// With an answer to pass on.
    Answer {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    },
    /// Without one.
    Failed {
        verdict: Verdict,
        why: &'static str,
        /// The upstream's own failure, to be passed on if nothing better comes.
        answer: Option<(StatusCode, HeaderMap, Bytes)>,
    },
}

/// Counts a request at its upstream for as long as it lives.
struct Running<'a> {
    shared: &'a Shared,
    upstream: UpstreamKey,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.shared.fleet().release(self.upstream, 0.0);
    }
}

/// Forwards a request until it is answered, may not be sent again, or its time is over.
pub(super) async fn serve<D: Adapter>(shared: &Arc<Shared>, ticket: &Ticket) -> Outcome {
    let mut tried: Vec<UpstreamKey> = Vec::new();
    let mut verdict = Verdict::NotRun;
    let mut why = "no upstream";
    let mut kept = None;
    let has_upstream = |s: &Shared| s.fleet().of_service(&ticket.service.name).next().is_some();
    shared
        .wait_while_starting(ticket.arrived, has_upstream)
        .await;
    let mut reached = false;
    let limited_until = Instant::now() + ticket.route.latency_target.mul_f64(LIMIT_WAIT_PART);
    loop {
        let (upstream, permit) = match next_upstream(shared, ticket, &tried, verdict, reached) {
            Next::Send(upstream, permit) => (upstream, permit),
            Next::Limited(wait) => {
                let left = limited_until.saturating_duration_since(Instant::now());
                if let Some(wait) = wait.filter(|&w| w <= left) {
                    tokio::time::sleep(wait).await;
                    continue;
                }
                why = LIMITED;
                break;
            }
            Next::Nothing => break,
        };
        tried.push(upstream);
        let attempt = attempt::<D>(shared, ticket, upstream, &tried, permit).await;
        match attempt {
            Attempt::Answer {
                status,
                headers,
                body,
            } => {
                log_answer(ticket, status, tried.len());
                return Outcome::Whole {
                    status,
                    headers,
                    body,
                };
            }
            Attempt::Failed {
                verdict: v,
                why: reason,
                answer,
            } => {
                log_attempt(shared, ticket, upstream, v, reason);
                reached |= reason != NOT_SENT;
                verdict = verdict.max(v);
                why = reason;
                kept = answer.or(kept);
            }
        }
    }
    if let Some((status, headers, body)) = kept {
        return Outcome::Whole {
            status,
            headers,
            body,
        };
    }
    Outcome::Refused(give_up(ticket, verdict, why))
}

/// The final answer of a request that is not sent again.
pub(super) fn give_up(ticket: &Ticket, verdict: Verdict, why: &'static str) -> Refusal {
    let late = ticket.left().is_zero();
    let (status, retry_after) = match (verdict, late) {
        (Verdict::NotRun, _) => (StatusCode::SERVICE_UNAVAILABLE, Some(come_back(ticket))),
        (Verdict::MayHaveRun, true) => (StatusCode::GATEWAY_TIMEOUT, None),
        (Verdict::MayHaveRun, false) => (StatusCode::BAD_GATEWAY, None),
    };
    let refusal = Refusal {
        request_id: ticket.id.clone(),
        status,
        retry_after,
        why,
        version: ticket.version,
    };
    super::log_refusal(&refusal);
    refusal
}

/// When a caller should come back: after what stands in the way has passed, but with most of its
/// time left.
fn come_back(ticket: &Ticket) -> Duration {
    let spread = BUSY_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    (BUSY_RETRY + spread).min(ticket.left() / 4)
}

/// What becomes of a request next.
enum Next {
    /// It is sent to an upstream.
    Send(UpstreamKey, Permit),
    /// Every upstream gets as many requests as its limit allows; one of them takes the next in so long, if this
    /// daemon may send it any.
    Limited(Option<Duration>),
    /// It is not sent.
    Nothing,
}

/// Chooses the upstream for the next attempt. `reached` tells whether the request may have reached an
/// upstream before.
fn next_upstream(
    shared: &Shared,
    ticket: &Ticket,
    tried: &[UpstreamKey],
    verdict: Verdict,
    reached: bool,
) -> Next {
    let attempts = tried.len() as u32;
    if attempts > 0 {
        let repeatable = verdict == Verdict::NotRun || ticket.route.kind.is_retryable();
        let most = match verdict {
            Verdict::NotRun => ticket.route.max_attempts + SPARE_ATTEMPTS,
            Verdict::MayHaveRun => ticket.route.max_attempts,
        };
        if !repeatable || attempts >= most || ticket.left() < WORTH_TRYING {
            return Next::Nothing;
        }
    }
    let service = &ticket.service.name;
    let chosen = choose(&shared.fleet(), service, tried);
    let Some((chosen, admitted)) = chosen.and_then(|key| Some((key, shared.admit(key)?))) else {
        return Next::without_upstream(&shared.fleet(), service, tried);
    };
    let permit = match reached {
        true => shared.permit_retry(service, Instant::now()),
        false => Some(Permit::first()),
    };
    match permit {
        Some(permit) => Next::Send(chosen, permit.with_admission(admitted)),
        None => {
            admitted.refund();
            Next::Nothing
        }
    }
}

impl Next {
    fn without_upstream(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> Next {
        let now = Instant::now();
        let open = fleet.of_service(service).filter(|(_, u)| u.is_ready());
        let mut untried = open.filter(|(key, _)| !tried.contains(key)).peekable();
        if untried.peek().is_none() {
            return Next::Nothing;
        }
        let wait = untried.filter_map(|(_, u)| u.limiter.wait(now)).min();
        Next::Limited(wait.map(|w| w.max(MIN_LIMIT_WAIT)))
    }
}

/// The upstream with the least work for its speed among those that did not fail lately.
fn choose(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> Option<UpstreamKey> {
    let now = Instant::now();
    let open = fleet.of_service(service).filter(|(key, u)| {
        let untried = !tried.contains(key);
        u.is_ready() && untried && u.limiter.admits(now)
    });
    let cost = |key: UpstreamKey| {
        let Some(u) = fleet.get(key) else {
            return f64::MAX;
        };
        let penalty = if u.is_ejected(now) { 1e6 } else { 0.0 };
        let ms = u.latency_ms.unwrap_or(1.0);
        let jitter = rand::rng().random_range(0.9..1.1);
        let failing = 1.0 + FAILING_FACTOR * u.failure_rate;
        (u.load().running + 1.0) * ms * jitter * failing + penalty
    };
    let costs = open.map(|(key, _)| (key, cost(key)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(key, _)| key)
}

async fn attempt<D: Adapter>(
    shared: &Shared,
    ticket: &Ticket,
    upstream: UpstreamKey,
    tried: &[UpstreamKey],
    permit: Permit,
) -> Attempt {
    let (address, id, usual) = {
        let mut fleet = shared.fleet();
        fleet.reserve(upstream, 0.0);
        let Some(u) = fleet.get(upstream) else {
            return failed(Verdict::NotRun, "upstream gone");
        };
        (u.entry.address, Arc::clone(&u.entry.id), u.latency_ms)
    };
    let _running = Running { shared, upstream };
    let left = ticket.left();
    let forwarded = ForwardedHead {
        time_left: left,
        id: Some(&id),
        team: ticket.team.as_deref(),
        ..ForwardedHead::default()
    };
    let req = ticket.to_request::<D>(&forwarded);
    let repeatable = ticket.route.kind.is_retryable();
    let has_more = repeatable && (tried.len() as u32) < ticket.route.max_attempts;
    let patience = match has_more {
        true => left.min(patience(usual)),
        false => left,
    };
    let reuse = if repeatable {
        Reuse::Any
    } else {
        Reuse::Recent
    };
    let sent = Instant::now();
    let work = async {
        let exchange = shared
            .pool
            .send(upstream, address, req, reuse, permit)
            .await;
        let target = Target {
            upstream,
            address,
            sent,
        };
        read::<D>(shared, ticket, target, exchange).await
    };
    let result = match tokio::time::timeout(patience, work).await {
        Ok(result) => result,
        Err(_) => failed(Verdict::MayHaveRun, "no answer in time"),
    };
    let mut fleet = shared.fleet();
    match &result {
        Attempt::Answer { .. } => {
            fleet.record_success(upstream, Instant::now());
            fleet.record_outcome(upstream, false);
            fleet.record_latency(upstream, sent.elapsed());
        }
        Attempt::Failed {
            answer: Some(_), ..
        } => fleet.record_outcome(upstream, true),
        Attempt::Failed { .. } => fleet.eject(upstream, Instant::now()),
    }
    result
}

fn patience(usual_ms: Option<f64>) -> Duration {
    let usual = Duration::from_secs_f64(usual_ms.unwrap_or(0.0) * PATIENCE / 1e3);
    usual.max(MIN_PATIENCE)
}

fn failed(verdict: Verdict, why: &'static str) -> Attempt {
    Attempt::Failed {
        verdict,
        why,
        answer: None,
    }
}

/// Where a request was sent, and when.
struct Target {
    upstream: UpstreamKey,
    address: SocketAddr,
    sent: Instant,
}

/// Judges an answer and reads it whole.
async fn read<D: Adapter>(
    shared: &Shared,
    ticket: &Ticket,
    target: Target,
    exchange: pool::Result<Exchange>,
) -> Attempt {
    let Exchange {
        response,
        connection,
    } = match exchange {
        Ok(exchange) => exchange,
        Err(pool::Error::NotSent) => return failed(Verdict::NotRun, NOT_SENT),
        Err(pool::Error::Lost) => return failed(Verdict::MayHaveRun, "connection lost"),
    };
    let head = D::decode_answer_head(response.headers());
    if let Some(said) = announcement(ticket, &response, &head, target.address) {
        shared.on_limit_announcement(target.upstream, said, target.sent);
    }
    if let Some((verdict, why)) = fault(ticket, &response, &head) {
        if let Some(id) = misdirected(&response, &head) {
            shared.learn_address_owner(target.address, id);
        }
        return failed(verdict, why);
    }
    let (parts, body) = response.into_parts();
    let Ok(body) = Limited::new(body, MAX_BYTES).collect().await else {
        return failed(Verdict::MayHaveRun, "answer cut off");
    };
    shared.pool.keep(connection);
    let body = body.to_bytes();
    if parts.status.is_server_error() && ticket.route.kind.is_retryable() {
        return Attempt::Failed {
            verdict: Verdict::MayHaveRun,
            why: "upstream failed",
            answer: Some((parts.status, parts.headers, body)),
        };
    }
    Attempt::Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}

/// Id of the upstream that refused a request since it was meant for another.
pub(super) fn misdirected<'a>(
    response: &Response<Incoming>,
    head: &'a AnswerHead,
) -> Option<&'a str> {
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    head.id.as_deref().filter(|_| is_misdirected)
}

/// What an answer says of the limit of the upstream at an address; `None` where it says nothing of that
/// upstream.
pub(super) fn announcement(
    ticket: &Ticket,
    response: &Response<Incoming>,
    head: &AnswerHead,
    address: SocketAddr,
) -> Option<Announcement> {
    let is_foreign = head
        .request_id
        .as_deref()
        .is_some_and(|id| id != &*ticket.id);
    if is_foreign || misdirected(response, head).is_some() {
        return None;
    }
    let is_own = (head.signed || head.not_run) && head.at_fault.is_none_or(|at| at == address);
    // A limit is named by its upstream alone; a head without one may be another's.
    (is_own || head.limit != Announcement::Unlimited).then_some(head.limit)
}

/// What is wrong with an answer's head, and what that says of the request.
pub(super) fn fault(
    ticket: &Ticket,
    response: &Response<Incoming>,
    head: &AnswerHead,
) -> Option<(Verdict, &'static str)> {
    if head
        .request_id
        .as_deref()
        .is_some_and(|id| id != &*ticket.id)
    {
        return Some((Verdict::MayHaveRun, "answer to another request"));
    }
    if head.not_run || response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Some((Verdict::NotRun, "refused by the upstream"));
    }
    if !head.signed || response.headers().contains_key(header::CONTENT_ENCODING) {
        return Some((Verdict::MayHaveRun, "not an upstream's answer"));
    }
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if promises.contains(&response.status()) {
        // To callers these statuses promise that nothing ran, which this answer does not.
        return Some((Verdict::MayHaveRun, "failed without a proof"));
    }
    None
}

fn log_answer(ticket: &Ticket, status: StatusCode, attempts: usize) {
    let took = ticket.arrived.elapsed();
    info!(
        target: "decision",
        request:% = ticket.id,
        route:% = ticket.route.name,
        status = status.as_u16(),
        attempts,
        took_ms = took.as_millis() as u64,
        config_version = ticket.version;
        "answered"
    );
    metrics::histogram!("kelpworks_answer_seconds").record(took.as_secs_f64());
}

fn log_attempt(
    shared: &Shared,
    ticket: &Ticket,
    upstream: UpstreamKey,
    verdict: Verdict,
    why: &'static str,
) {
    let fleet = shared.fleet();
    let instance = fleet.get(upstream).map(|u| Arc::clone(&u.entry.instance));
    info!(
        target: "decision",
        request:% = ticket.id,
        upstream:% = instance.as_deref().unwrap_or("gone"),
        fleet_version:% = fleet.version(),
        verdict:% = verdict,
        left_ms = ticket.left().as_millis() as u64,
        why:% = why;
        "attempt failed"
    );
    let labels = [("why", why)];
    metrics::counter!("kelpworks_failed_attempts_total", &labels).increment(1);
}
