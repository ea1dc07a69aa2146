//! Requests to plain services, whose responses are read whole before they are passed on.

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

use super::InboundRequest;
use super::Refusal;
use super::handover::HandoverClient;
use super::handover::HandoverError;
use super::handover::HandoverHead;
use super::handover::MAX_HANDOVERS;
use super::handover::NO_PEER;
use super::handover::OUT_OF_REACH;
use super::handover::UNREACHABLE;
use super::handover::UNREACHABLE_BY_PEER;
use super::reply::Reply;
use crate::adapter::Adapter;
use crate::adapter::AnswerHead;
use crate::adapter::ForwardedHead;
use crate::constraints::Announced;
use crate::constraints::MessageKind;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::limits::Announcement;
use crate::permit::Permit;
use crate::permit::Retry;
use crate::pool;
use crate::pool::Exchange;
use crate::pool::Reuse;
use crate::reach::Evidence;
use crate::shared::Shared;
use crate::shared::announcements::Announcements;
use crate::shared::announcements::AnsweredMessage;
use crate::shared::announcements::requested_backoff;

/// Largest response body that is accepted; typical ones have a few kilobytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Added to the cost factor of an upstream in proportion to its failure rate.
const FAILURE_COST_FACTOR: f64 = 6.0;
/// Minimum time left for another attempt: a round trip and the typical work of a call.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);
/// Attempts beyond the route's `max_attempts` while it is proven that no attempt has run.
const EXTRA_NOT_RUN_ATTEMPTS: u32 = 1;
/// A retryable attempt times out after this many typical response times of its upstream.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 6.0;
/// Lower bound of that timeout: response times of these services vary by a factor of five.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum `Retry-After` of a refusal. Its cause is a lost engine or too many requests, and either
/// takes seconds to clear. A caller that retries sooner is refused again and does not try a third
/// time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Upper bound of the random addition to `MIN_RETRY_AFTER`, so that callers don't retry in step.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(2_000);

/// Fraction of a route's latency target for which a call waits until an upstream's limit allows it.
const LIMIT_WAIT_FRACTION: f64 = 0.5;
/// Minimum time between two tries: another request may take the admission this one waited for.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(5);

/// Refusal reason when no upstream's limit admits the request in time.
const LIMITED: &str = "the limits of the upstreams are used up";
/// Refusal reason when upstreams requested a backoff that lasts longer than the request can wait.
const BACKING_OFF: &str = "the upstreams requested a backoff";
/// Failure reason of an attempt that was not written to a connection.
pub(super) const NOT_SENT: &str = "not sent";
/// Failure reason of an attempt whose upstream announced, before it was written, that it accepts
/// none.
pub(super) const WITHHELD: &str = "withheld";
/// Failure reason of an attempt whose connection ended before the answer.
const CONNECTION_LOST: &str = "connection lost";
/// Failure reason of an attempt whose answer did not arrive in time.
const NO_ANSWER: &str = "no answer in time";

/// Result of one attempt.
enum Attempt {
    /// The upstream's response is passed on to the caller.
    Completed {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    },
    /// The attempt failed; another may follow.
    Failed {
        verdict: Verdict,
        reason: &'static str,
        /// The upstream's error response, passed on if no later attempt succeeds.
        error_response: Option<(StatusCode, HeaderMap, Bytes)>,
    },
}

/// Releases the request's reservation at its upstream when dropped.
struct RunningGuard<'a> {
    shared: &'a Shared,
    upstream: UpstreamKey,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.shared.fleet().release(self.upstream, 0.0);
    }
}

/// Forwards a request, with retries, until it is answered, must not be retried, or times out.
pub(super) async fn serve<D: Adapter>(
    shared: &Arc<Shared>,
    handover_client: &HandoverClient,
    inbound: &InboundRequest,
) -> Reply {
    let mut tried: Vec<UpstreamKey> = Vec::new();
    let mut handover = CallHandover {
        client: handover_client,
        tried: Vec::new(),
    };
    let mut verdict = Verdict::NotRun;
    let mut reason = "no upstream";
    let mut last_error_response = None;
    let mut available_in = None;
    let has_upstream = |s: &Shared| s.fleet().of_service(&inbound.service.name).next().is_some();
    shared
        .wait_while_starting(inbound.arrived, has_upstream)
        .await;
    let mut may_have_reached = inbound.may_have_reached();
    let limit_wait_deadline =
        Instant::now() + inbound.route.latency_target.mul_f64(LIMIT_WAIT_FRACTION);
    let mut has_link_failure = false;
    loop {
        let attempt = if handover.is_due(shared, inbound, has_link_failure) {
            handover.attempt(shared, inbound, may_have_reached).await
        } else if shared
            .reach()
            .is_cut_off(&inbound.service.name, Instant::now())
        {
            reason = OUT_OF_REACH;
            break;
        } else {
            match next_upstream(shared, inbound, &tried, verdict, may_have_reached) {
                NextAttempt::Send(upstream, permit) => {
                    tried.push(upstream);
                    let attempt = attempt::<D>(shared, inbound, upstream, &tried, permit).await;
                    has_link_failure |= link_evidence(&attempt).is_some();
                    log_attempt(shared, inbound, upstream, &attempt);
                    attempt
                }
                NextAttempt::Wait(Unavailability { wait, is_backoff }) => {
                    let remaining = limit_wait_deadline.saturating_duration_since(Instant::now());
                    if let Some(wait) = wait.filter(|&w| w <= remaining) {
                        tokio::time::sleep(wait).await;
                        continue;
                    }
                    reason = if is_backoff { BACKING_OFF } else { LIMITED };
                    available_in = wait.filter(|_| is_backoff);
                    break;
                }
                NextAttempt::Abandon => {
                    let is_retryable =
                        verdict == Verdict::NotRun || inbound.route.kind.is_retryable();
                    if !has_link_failure || !is_retryable || !handover.is_unused(inbound) {
                        break;
                    }
                    handover.attempt(shared, inbound, may_have_reached).await
                }
            }
        };
        match attempt {
            Attempt::Completed {
                status,
                headers,
                body,
            } => {
                log_answer(inbound, status, tried.len() + handover.tried.len());
                return Reply::Buffered {
                    status,
                    headers,
                    body,
                };
            }
            Attempt::Failed {
                verdict: v,
                reason: attempt_reason,
                error_response,
            } => {
                may_have_reached |= !is_unsent(v, attempt_reason);
                verdict = verdict.max(v);
                reason = attempt_reason;
                last_error_response = error_response.or(last_error_response);
            }
        }
        if verdict == Verdict::MayHaveRun && !inbound.route.kind.is_retryable() {
            break;
        }
    }
    if let Some((status, headers, body)) = last_error_response {
        return Reply::Buffered {
            status,
            headers,
            body,
        };
    }
    Reply::Refused(final_refusal(inbound, verdict, reason, available_in))
}

/// The ways of a call by other daemons.
struct CallHandover<'a> {
    client: &'a HandoverClient,
    /// Daemons that it was handed over to.
    tried: Vec<SocketAddr>,
}

impl CallHandover<'_> {
    /// Returns whether the next attempt should be another daemon's: the upstreams are out of reach,
    /// or an attempt failed and no upstream shows that this daemon's links work.
    fn is_due(&self, shared: &Shared, inbound: &InboundRequest, has_link_failure: bool) -> bool {
        let service = &inbound.service.name;
        let is_due = {
            let reach = shared.reach();
            let is_doubtful = reach.is_doubtful(service, Instant::now());
            reach.is_lost(service) || (has_link_failure && is_doubtful)
        };
        is_due && self.is_possible(inbound)
    }

    /// Returns whether a daemon is left that the call can be handed over to.
    fn is_possible(&self, inbound: &InboundRequest) -> bool {
        let is_allowed = inbound.handover.is_none()
            && self.tried.len() < MAX_HANDOVERS
            && inbound.remaining() >= MIN_RETRY_TIME;
        let service = &inbound.service.name;
        is_allowed && self.client.has_candidate(service, &self.tried)
    }

    /// Returns whether the call was not handed over yet and can be.
    fn is_unused(&self, inbound: &InboundRequest) -> bool {
        self.tried.is_empty() && self.is_possible(inbound)
    }

    /// Hands the call over and reads the answer.
    async fn attempt(
        &mut self,
        shared: &Shared,
        inbound: &InboundRequest,
        may_have_reached: bool,
    ) -> Attempt {
        let retry = match may_have_reached {
            true => shared.acquire_retry(&inbound.service.name, Instant::now()),
            false => None,
        };
        let head = HandoverHead {
            version: inbound.version,
            left_ms: inbound.remaining().as_millis() as u64,
            may_have_reached,
            has_retry: retry.is_some(),
            ..HandoverHead::default()
        };
        // A retryable call leaves time for another attempt.
        let timeout = match inbound.route.kind.is_retryable() {
            true => inbound.remaining() / 2,
            false => inbound.remaining(),
        };
        let sending = self.client.send(inbound, &head, &mut self.tried);
        let failed = |e: HandoverError| failed_attempt(e.verdict(), e.reason());
        let sent = tokio::time::timeout(timeout, sending).await;
        let sent = sent.unwrap_or(Err(HandoverError::Lost));
        if !sent.as_ref().is_err_and(|e| e.is_unsent()) {
            retry.map(Retry::spend);
        }
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(e) => return failed(e),
        };
        let (parts, body) = exchange.response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect();
        let Ok(Ok(body)) = tokio::time::timeout(inbound.remaining(), body).await else {
            return failed(HandoverError::Lost);
        };
        self.client.keep(exchange.connection);
        Attempt::Completed {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        }
    }
}

/// Returns, and logs, the refusal of a request that is not retried any more. `available_in` is the
/// time after which an upstream is known to accept requests again.
pub(super) fn final_refusal(
    inbound: &InboundRequest,
    verdict: Verdict,
    reason: &'static str,
    available_in: Option<Duration>,
) -> Refusal {
    let is_late = inbound.remaining().is_zero();
    let (status, retry_after) = match (verdict, is_late) {
        (Verdict::NotRun, _) => (
            StatusCode::SERVICE_UNAVAILABLE,
            Some(busy_retry_after(inbound, available_in)),
        ),
        (Verdict::MayHaveRun, true) => (StatusCode::GATEWAY_TIMEOUT, None),
        (Verdict::MayHaveRun, false) => (StatusCode::BAD_GATEWAY, None),
    };
    let refusal = Refusal {
        request_id: inbound.id.clone(),
        status,
        retry_after,
        reason,
        version: inbound.version,
    };
    super::log_refusal(&refusal);
    refusal
}

/// Returns the `Retry-After` of a busy refusal: when an upstream is available, or long enough for
/// the cause to clear, and at most a quarter of the caller's remaining time.
fn busy_retry_after(inbound: &InboundRequest, available_in: Option<Duration>) -> Duration {
    let jitter = RETRY_AFTER_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
    let earliest = available_in.unwrap_or(MIN_RETRY_AFTER);
    (earliest + jitter).min(inbound.remaining() / 4)
}

/// Decision on the next attempt of a request.
enum NextAttempt {
    /// Send the request to this upstream.
    Send(UpstreamKey, Permit),
    /// No untried upstream accepts a request now.
    Wait(Unavailability),
    /// Make no further attempt.
    Abandon,
}

/// Chooses the upstream for the next attempt. An attempt of a request that `may_have_reached` an
/// upstream before needs a retry from the service's budget.
fn next_upstream(
    shared: &Shared,
    inbound: &InboundRequest,
    tried: &[UpstreamKey],
    verdict: Verdict,
    may_have_reached: bool,
) -> NextAttempt {
    let attempts = tried.len() as u32;
    if attempts > 0 {
        let retryable = verdict == Verdict::NotRun || inbound.route.kind.is_retryable();
        let allowed_attempts = match verdict {
            Verdict::NotRun => inbound.route.max_attempts + EXTRA_NOT_RUN_ATTEMPTS,
            Verdict::MayHaveRun => inbound.route.max_attempts,
        };
        if !retryable || attempts >= allowed_attempts || inbound.remaining() < MIN_RETRY_TIME {
            return NextAttempt::Abandon;
        }
    }
    let service = &inbound.service.name;
    let chosen = choose(&shared.fleet(), service, tried);
    let admitted = chosen.and_then(|key| Some((key, shared.admit(vec![key])?)));
    let Some((chosen, admission)) = admitted else {
        return NextAttempt::without_candidate(&shared.fleet(), service, tried);
    };
    if !may_have_reached {
        return NextAttempt::Send(chosen, Permit::new(admission, None));
    }
    let granted = inbound.retry_taken_elsewhere().filter(|_| attempts == 0);
    match granted.or_else(|| shared.acquire_retry(service, Instant::now())) {
        Some(retry) => NextAttempt::Send(chosen, Permit::new(admission, Some(retry))),
        None => NextAttempt::Abandon,
    }
}

/// Why no upstream accepts a request now, and for how long.
struct Unavailability {
    /// Time until one accepts the next request; `None` if this daemon has no share of any limit.
    wait: Option<Duration>,
    /// Whether an upstream requested a backoff.
    is_backoff: bool,
}

impl NextAttempt {
    fn without_candidate(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> NextAttempt {
        let now = Instant::now();
        let ready = fleet.of_service(service).filter(|(_, u)| u.is_ready());
        let mut untried = ready.filter(|(key, _)| !tried.contains(key)).peekable();
        if untried.peek().is_none() {
            return NextAttempt::Abandon;
        }
        let mut wait: Option<Duration> = None;
        let mut is_backoff = false;
        for (_, u) in untried {
            is_backoff |= !u.constraints.backoff(now).is_zero();
            let next = u.constraints.wait(MessageKind::Request, now);
            wait = wait.into_iter().chain(next).min();
        }
        NextAttempt::Wait(Unavailability {
            wait: wait.map(|w| w.max(MIN_LIMIT_WAIT)),
            is_backoff,
        })
    }
}

/// Returns the untried upstream with the lowest expected response time, judged by its running
/// requests, latency and failure rate; ejected upstreams only when there is no other.
fn choose(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> Option<UpstreamKey> {
    let now = Instant::now();
    let ready = fleet.of_service(service).filter(|(key, u)| {
        let untried = !tried.contains(key);
        untried && u.allows(MessageKind::Request, now)
    });
    let cost = |key: UpstreamKey| {
        let Some(u) = fleet.get(key) else {
            return f64::MAX;
        };
        let penalty = if u.is_ejected(now) { 1e6 } else { 0.0 };
        let ms = u.latency_ms.unwrap_or(1.0);
        let jitter = rand::rng().random_range(0.9..1.1);
        let failure_factor = 1.0 + FAILURE_COST_FACTOR * u.failure_rate;
        (u.load().running + 1.0) * ms * jitter * failure_factor + penalty
    };
    let costs = ready.map(|(key, _)| (key, cost(key)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(key, _)| key)
}

async fn attempt<D: Adapter>(
    shared: &Shared,
    inbound: &InboundRequest,
    upstream: UpstreamKey,
    tried: &[UpstreamKey],
    permit: Permit,
) -> Attempt {
    let (address, id, latency_ms) = {
        let mut fleet = shared.fleet();
        fleet.reserve(upstream, 0.0);
        let Some(u) = fleet.get(upstream) else {
            return failed_attempt(Verdict::NotRun, "upstream gone");
        };
        (u.entry.address, Arc::clone(&u.entry.id), u.latency_ms)
    };
    let _running_guard = RunningGuard { shared, upstream };
    let remaining = inbound.remaining();
    let forwarded = ForwardedHead {
        time_left: remaining,
        id: Some(&id),
        team: inbound.team.as_deref(),
        ..ForwardedHead::default()
    };
    let req = inbound.to_request::<D>(&forwarded);
    let retryable = inbound.route.kind.is_retryable();
    let has_more = retryable && (tried.len() as u32) < inbound.route.max_attempts;
    let attempt_timeout = match has_more {
        true => remaining.min(attempt_timeout(latency_ms)),
        false => remaining,
    };
    let reuse = if retryable { Reuse::Any } else { Reuse::Recent };
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
        read::<D>(shared, inbound, target, exchange).await
    };
    let result = match tokio::time::timeout(attempt_timeout, work).await {
        Ok(result) => result,
        Err(_) => failed_attempt(Verdict::MayHaveRun, NO_ANSWER),
    };
    record_link_evidence(shared, inbound, upstream, &result);
    let mut fleet = shared.fleet();
    match &result {
        Attempt::Completed { .. } => {
            fleet.record_success(upstream, Instant::now());
            fleet.record_outcome(upstream, false);
            fleet.record_latency(upstream, sent.elapsed());
        }
        Attempt::Failed {
            error_response: Some(_),
            ..
        } => fleet.record_outcome(upstream, true),
        Attempt::Failed {
            reason: WITHHELD, ..
        } => {}
        Attempt::Failed { .. } => fleet.eject(upstream, Instant::now()),
    }
    result
}

/// Records a failed attempt that may be due to this daemon's own links.
fn record_link_evidence(
    shared: &Shared,
    inbound: &InboundRequest,
    upstream: UpstreamKey,
    attempt: &Attempt,
) {
    if let Some(evidence) = link_evidence(attempt) {
        shared.record_link_failure(&inbound.service.name, upstream, evidence);
    }
}

/// Returns what a failed attempt shows about this daemon's own links, if anything.
fn link_evidence(attempt: &Attempt) -> Option<Evidence> {
    let &Attempt::Failed { reason, .. } = attempt else {
        return None;
    };
    match reason {
        NOT_SENT => Some(Evidence::NotOpened),
        CONNECTION_LOST | NO_ANSWER => Some(Evidence::Broken),
        _ => None,
    }
}

/// Whether nothing of a failed attempt can have reached an upstream.
fn is_unsent(verdict: Verdict, reason: &str) -> bool {
    let is_unsent = [
        NOT_SENT,
        WITHHELD,
        UNREACHABLE,
        UNREACHABLE_BY_PEER,
        NO_PEER,
    ]
    .contains(&reason);
    verdict == Verdict::NotRun && is_unsent
}

fn attempt_timeout(typical_ms: Option<f64>) -> Duration {
    let typical = Duration::from_secs_f64(typical_ms.unwrap_or(0.0) * ATTEMPT_TIMEOUT_FACTOR / 1e3);
    typical.max(MIN_ATTEMPT_TIMEOUT)
}

fn failed_attempt(verdict: Verdict, reason: &'static str) -> Attempt {
    Attempt::Failed {
        verdict,
        reason,
        error_response: None,
    }
}

/// Destination of an attempt, and when it was sent.
struct Target {
    upstream: UpstreamKey,
    address: SocketAddr,
    sent: Instant,
}

/// Checks the head of a response and reads its body.
async fn read<D: Adapter>(
    shared: &Shared,
    inbound: &InboundRequest,
    target: Target,
    exchange: pool::Result<Exchange>,
) -> Attempt {
    let Exchange {
        response,
        connection,
    } = match exchange {
        Ok(exchange) => exchange,
        Err(pool::Error::NotSent) => return failed_attempt(Verdict::NotRun, NOT_SENT),
        Err(pool::Error::Withheld) => return failed_attempt(Verdict::NotRun, WITHHELD),
        Err(pool::Error::Lost) => return failed_attempt(Verdict::MayHaveRun, CONNECTION_LOST),
    };
    shared.record_contact(&inbound.service.name, connection.is_new());
    let head = D::decode_answer_head(response.headers());
    if let Some(announced) = announcements(inbound, &response, &head, target.address) {
        let message = AnsweredMessage {
            source: "answer",
            request: &inbound.id,
            sent_at: target.sent,
        };
        shared.apply_announcements(target.upstream, announced, message);
    }
    if let Some((verdict, reason)) = detect_fault(inbound, &response, &head) {
        if let Some(id) = address_owner_id(&response, &head) {
            shared.learn_address_owner(target.address, id);
        }
        return failed_attempt(verdict, reason);
    }
    let (parts, body) = response.into_parts();
    let Ok(body) = Limited::new(body, MAX_RESPONSE_BYTES).collect().await else {
        return failed_attempt(Verdict::MayHaveRun, "answer cut off");
    };
    shared.pool.keep(connection);
    let body = body.to_bytes();
    if parts.status.is_server_error() && inbound.route.kind.is_retryable() {
        return Attempt::Failed {
            verdict: Verdict::MayHaveRun,
            reason: "upstream failed",
            error_response: Some((parts.status, parts.headers, body)),
        };
    }
    Attempt::Completed {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}

/// Returns the id of the upstream that owns the address, if it refused the request as meant for
/// another upstream (status 421).
pub(super) fn address_owner_id<'a>(
    response: &Response<Incoming>,
    head: &'a AnswerHead,
) -> Option<&'a str> {
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    head.id.as_deref().filter(|_| is_misdirected)
}

/// Returns what a response announces about the upstream at `address`; `None` if it may come from
/// another upstream.
///
/// A response may pass on a refusal by a later engine of the path. A limit in it is still the first
/// engine's, and a backoff applies to the engine that answered as well as to the one that refused,
/// but it does not show which of them is leaving.
pub(super) fn announcements(
    inbound: &InboundRequest,
    response: &Response<Incoming>,
    head: &AnswerHead,
    address: SocketAddr,
) -> Option<Announcements> {
    let is_foreign = head
        .request_id
        .as_deref()
        .is_some_and(|id| id != &*inbound.id);
    if is_foreign || address_owner_id(response, head).is_some() {
        return None;
    }
    let is_own_head = (head.signed || head.not_run) && head.at_fault.is_none_or(|at| at == address);
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    // Only the upstream itself states a limit; a head without a limit may come from another one.
    let has_limit = is_own_head || head.limit != Announcement::Unlimited;
    Some(Announcements {
        limit: has_limit.then_some(head.limit),
        backoff: requested_backoff(response.status(), head),
        leaving: match is_own_head && !is_misdirected {
            true => head.leaving,
            false => Announced::Absent,
        },
    })
}

/// Returns why a response can't be passed on, and whether the request may have run; `None` for a
/// valid response.
pub(super) fn detect_fault(
    inbound: &InboundRequest,
    response: &Response<Incoming>,
    head: &AnswerHead,
) -> Option<(Verdict, &'static str)> {
    if head
        .request_id
        .as_deref()
        .is_some_and(|id| id != &*inbound.id)
    {
        return Some((Verdict::MayHaveRun, "answer to another request"));
    }
    if head.not_run || response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Some((Verdict::NotRun, "refused by the upstream"));
    }
    if !head.signed || response.headers().contains_key(header::CONTENT_ENCODING) {
        return Some((Verdict::MayHaveRun, "not an upstream's answer"));
    }
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if not_run_statuses.contains(&response.status()) {
        // To callers these statuses guarantee that the request has not run, which this response
        // does not prove.
        return Some((Verdict::MayHaveRun, "failed without a proof"));
    }
    None
}

fn log_answer(inbound: &InboundRequest, status: StatusCode, attempts: usize) {
    let elapsed = inbound.arrived.elapsed();
    info!(
        target: "decision",
        request:% = inbound.id,
        route:% = inbound.route.name,
        status = status.as_u16(),
        attempts,
        took_ms = elapsed.as_millis() as u64,
        config_version = inbound.version;
        "answered"
    );
    metrics::histogram!("kelpworks_answer_seconds").record(elapsed.as_secs_f64());
}

/// Logs an attempt if it failed.
fn log_attempt(
    shared: &Shared,
    inbound: &InboundRequest,
    upstream: UpstreamKey,
    attempt: &Attempt,
) {
    let &Attempt::Failed {
        verdict, reason, ..
    } = attempt
    else {
        return;
    };
    let fleet = shared.fleet();
    let instance = fleet.get(upstream).map(|u| Arc::clone(&u.entry.instance));
    info!(
        target: "decision",
        request:% = inbound.id,
        upstream:% = instance.as_deref().unwrap_or("gone"),
        fleet_version:% = fleet.version(),
        verdict:% = verdict,
        left_ms = inbound.remaining().as_millis() as u64,
        why:% = reason;
        "attempt failed"
    );
    let labels = [("why", reason)];
    metrics::counter!("kelpworks_failed_attempts_total", &labels).increment(1);
}
