//! Requests to plain services, whose responses are read whole before they are passed on.

mod by_peer;
mod choice;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use kelpworks::body;
use kelpworks::verdict::Verdict;
use kelpworks_coord::crash_ledger::Lasted;
use log::info;
use rand::RngExt;
use tokio::time::Instant;

use super::InboundRequest;
use super::Refusal;
use super::answer_head::address_owner_id;
use super::answer_head::announcements;
use super::answer_head::detect_fault;
use super::handover::HandoverClient;
use super::handover::OUT_OF_REACH;
use super::reply::Reached;
use super::reply::Reply;
use super::runs::End;
use super::runs::RUNS_USED_UP;
use super::runs::Runs;
use crate::adapter::Adapter;
use crate::adapter::ForwardedHead;
use crate::fleet::UpstreamKey;
use crate::permit::Permit;
use crate::permit::StatedDeadline;
use crate::pool;
use crate::pool::Exchange;
use crate::pool::Reuse;
use crate::reach::Evidence;
use crate::shared::Shared;
use crate::shared::announcements::AnsweredMessage;
use crate::shared::crashes::Break;
use crate::shared::crashes::BrokenAttempt;
use crate::shared::crashes::Incarnation;
use by_peer::CallHandover;
use choice::NextAttempt;
use choice::Progress;
use choice::Unavailability;
use choice::has_untried;
use choice::next_upstream;

/// Largest response body that is accepted; typical ones have a few kilobytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Minimum time left for another attempt: a round trip and the typical work of a call.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);
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

/// Refusal reason when no upstream's limit admits the request in time.
const LIMITED: &str = "the limits of the upstreams are used up";
/// Refusal reason when upstreams requested a backoff that lasts longer than the request can wait.
const BACKING_OFF: &str = "the upstreams requested a backoff";
/// Failure reason of an attempt that was not written to a connection.
pub(super) const NOT_SENT: &str = "not sent";
/// Failure reason of an attempt that was no longer permitted when it was to be written.
pub(super) const WITHHELD: &str = "withheld";
/// Failure reason of an attempt whose connection ended before the answer.
const CONNECTION_LOST: &str = "connection lost";
/// Failure reason of an attempt that was answered with a head that can't be used.
pub(super) const MALFORMED: &str = "malformed answer";
/// Failure reason of an attempt whose connection ended within the answer, or whose body does not end where its head says.
const CUT_OFF: &str = "answer cut off";
/// Failure reason when no memory is left for an answer.
pub(super) const NO_MEMORY: &str = "memory for answers used up";
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
    let attempts = shared.begin_attempts(&inbound.service.name, inbound.origin());
    let mut runs = Runs::new(shared, inbound);
    let mut tried: Vec<UpstreamKey> = Vec::new();
    let mut handover = CallHandover {
        client: handover_client,
        attempts: &attempts,
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
    let limit_wait_deadline =
        Instant::now() + inbound.route.latency_target.mul_f64(LIMIT_WAIT_FRACTION);
    let mut has_link_failure = false;
    let mut test_run = None;
    loop {
        // An attempt of this request, here or elsewhere, may have been one too many.
        let cleared = match shared.check_crashes(inbound.identity(), &inbound.service.name, true) {
            Ok(cleared) => cleared,
            Err(refusal) => {
                reason = refusal.reason;
                available_in = Some(refusal.retry_after);
                break;
            }
        };
        let attempt = if handover.is_due(shared, inbound, &runs, has_link_failure) {
            handover.attempt(shared, inbound, &mut runs, cleared).await
        } else if shared
            .reach()
            .is_cut_off(&inbound.service.name, Instant::now())
        {
            reason = OUT_OF_REACH;
            break;
        } else {
            let progress = Progress {
                attempts: &attempts,
                tried: &tried,
                runs: &runs,
            };
            let runnable = shared.permit_run(inbound.fingerprint, cleared, &mut test_run);
            let runnable = match runnable.await {
                Ok(runnable) => runnable,
                Err(refusal) => {
                    reason = refusal.reason;
                    available_in = Some(refusal.retry_after);
                    break;
                }
            };
            match next_upstream(shared, inbound, progress, runnable) {
                NextAttempt::Send(upstream, permit) => {
                    test_run = None;
                    tried.push(upstream);
                    let service = &inbound.service.name;
                    let has_other =
                        has_untried(&shared.fleet(), service, &tried) || handover.has_peer(inbound);
                    let attempt =
                        attempt::<D>(shared, inbound, upstream, &mut runs, has_other, permit).await;
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
                    if !has_link_failure || !handover.is_last_resort(inbound, &runs) {
                        break;
                    }
                    handover.attempt(shared, inbound, &mut runs, cleared).await
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
    Reply::Refused(final_refusal(inbound, &runs, verdict, reason, available_in))
}

/// Returns, and logs, the refusal of a request that is not retried any more. `available_in` is the
/// time after which an upstream is known to accept requests again.
pub(super) fn final_refusal(
    inbound: &InboundRequest,
    runs: &Runs,
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
        reached: match runs.has_reached() {
            true => Reached::Upstreams(runs.own()),
            false => Reached::Nothing,
        },
    };
    super::log_refusal(&refusal);
    refusal
}

/// Returns the `Retry-After` of a busy refusal: when an upstream is available, or long enough for
/// the cause to clear, and at most a quarter of the caller's remaining time.
fn busy_retry_after(inbound: &InboundRequest, available_in: Option<Duration>) -> Duration {
    if let Some(booked) = available_in.filter(|_| inbound.is_contended()) {
        return booked.min(inbound.remaining() / 4);
    }
    let jitter = RETRY_AFTER_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
    let earliest = available_in.unwrap_or(MIN_RETRY_AFTER);
    (earliest + jitter).min(inbound.remaining() / 4)
}

/// Sends the call to an upstream and reads the answer. `has_other` says whether another upstream or daemon could take it.
async fn attempt<D: Adapter>(
    shared: &Arc<Shared>,
    inbound: &InboundRequest,
    upstream: UpstreamKey,
    runs: &mut Runs,
    has_other: bool,
    permit: Permit,
) -> Attempt {
    let Some(incarnation) = shared.incarnation(upstream) else {
        return failed_attempt(Verdict::NotRun, "upstream gone");
    };
    let Some(place) = runs.take(&incarnation) else {
        return failed_attempt(Verdict::NotRun, RUNS_USED_UP);
    };
    let (id, latency_ms) = {
        let mut fleet = shared.fleet();
        fleet.reserve(upstream, 0.0);
        let Some(u) = fleet.get(upstream) else {
            runs.end(place, End::Unsent);
            return failed_attempt(Verdict::NotRun, "upstream gone");
        };
        (Arc::clone(&u.entry.id), u.latency_ms)
    };
    let _running_guard = RunningGuard { shared, upstream };
    let remaining = inbound.remaining();
    let forwarded = ForwardedHead {
        time_left: remaining,
        id: Some(&id),
        team: inbound.team.as_deref(),
        urgency: inbound.urgency.map(|level| level.0),
        ..ForwardedHead::default()
    };
    let req = inbound.to_request::<D>(&forwarded);
    let permit = permit.with_deadline(StatedDeadline::of_upstream::<D>(inbound.deadline));
    let retryable = inbound.route.kind.is_retryable();
    let has_more = retryable && has_other && runs.left() > 0;
    let attempt_timeout = match has_more {
        true => remaining.min(attempt_timeout(latency_ms)),
        false => remaining,
    };
    let reuse = if retryable { Reuse::Any } else { Reuse::Recent };
    super::log_attempt_sent(inbound, &incarnation.instance, runs);
    let sent = Instant::now();
    let work = async {
        let exchange = shared
            .pool
            .send(upstream, incarnation.address, req, reuse, permit)
            .await;
        let target = Target {
            incarnation: &incarnation,
            sent,
        };
        read::<D>(shared, inbound, target, exchange).await
    };
    let result = match tokio::time::timeout(attempt_timeout, work).await {
        Ok(result) => result,
        Err(_) => failed_attempt(Verdict::MayHaveRun, NO_ANSWER),
    };
    runs.end(place, end_of(&result));
    record_link_evidence(shared, inbound, upstream, &result);
    let target = Target {
        incarnation: &incarnation,
        sent,
    };
    record_end(shared, inbound, target, &result);
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

/// Records an attempt that ended early, or that completed, in the ledger of crashes.
fn record_end(
    shared: &Arc<Shared>,
    inbound: &InboundRequest,
    target: Target<'_>,
    attempt: &Attempt,
) {
    let reason = match attempt {
        Attempt::Completed { status, .. } => {
            if status.is_success() {
                shared.clear_crashes(&inbound.id, inbound.fingerprint);
                let parts = &inbound.head.shared_parts;
                shared.record_survival(parts, target.sent, Lasted::ToItsEnd);
            }
            return;
        }
        Attempt::Failed { reason, .. } => *reason,
    };
    let end = match reason {
        CONNECTION_LOST | CUT_OFF | MALFORMED => Break::Lost,
        NO_ANSWER => Break::Silent,
        _ => return,
    };
    shared.record_break(BrokenAttempt {
        kind: "call",
        request: &inbound.id,
        team: inbound.team.as_deref(),
        identity: inbound.identity(),
        service: &inbound.service.name,
        incarnation: target.incarnation,
        sent: target.sent,
        is_answered: [CUT_OFF, MALFORMED].contains(&reason),
        end,
    });
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

/// Returns what the result of an attempt proves.
fn end_of(attempt: &Attempt) -> End {
    match attempt {
        Attempt::Completed { .. } => End::MayHaveRun,
        Attempt::Failed {
            verdict: Verdict::MayHaveRun,
            reason,
            ..
        } => match [CONNECTION_LOST, CUT_OFF].contains(reason) {
            true => End::BrokenOff,
            false => End::MayHaveRun,
        },
        Attempt::Failed { reason, .. } => match [NOT_SENT, WITHHELD].contains(reason) {
            true => End::Unsent,
            false => End::NotRun,
        },
    }
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
struct Target<'a> {
    incarnation: &'a Incarnation,
    sent: Instant,
}

/// Checks the head of a response and reads its body.
async fn read<D: Adapter>(
    shared: &Shared,
    inbound: &InboundRequest,
    target: Target<'_>,
    exchange: pool::Result<Exchange>,
) -> Attempt {
    let Target { incarnation, sent } = target;
    let Exchange {
        response,
        connection,
        ..
    } = match exchange {
        Ok(exchange) => exchange,
        Err(pool::Error::NotSent) => return failed_attempt(Verdict::NotRun, NOT_SENT),
        Err(pool::Error::Withheld) => return failed_attempt(Verdict::NotRun, WITHHELD),
        Err(pool::Error::Lost) => return failed_attempt(Verdict::MayHaveRun, CONNECTION_LOST),
        Err(pool::Error::Malformed) => return failed_attempt(Verdict::MayHaveRun, MALFORMED),
    };
    shared.record_contact(&inbound.service.name, connection.is_new());
    let head = D::decode_answer_head(response.headers());
    if let Some(announced) = announcements(inbound, &response, &head, incarnation.address) {
        let message = AnsweredMessage {
            source: "answer",
            request: &inbound.id,
            sent_at: sent,
        };
        shared.apply_announcements(incarnation.key, announced, message);
    }
    if let Some((verdict, reason)) = detect_fault(inbound, &response, &head) {
        if let Some(id) = address_owner_id(&response, &head) {
            shared.learn_address_owner(incarnation.address, id, sent);
        }
        return failed_attempt(verdict, reason);
    }
    shared.record_answer(&incarnation.instance, sent);
    let (parts, body) = response.into_parts();
    let memory = shared.memory().reservation();
    memory.complete();
    let body = match body::read_whole(body, MAX_RESPONSE_BYTES, None, memory).await {
        Ok(body) => body,
        Err(body::Error::Memory(_)) => return failed_attempt(Verdict::MayHaveRun, NO_MEMORY),
        Err(_) => return failed_attempt(Verdict::MayHaveRun, CUT_OFF),
    };
    shared.pool.keep(connection);
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
    let crashes = shared.crashes().count(inbound.fingerprint);
    info!(
        target: "decision",
        request:% = inbound.id,
        fingerprint:% = inbound.fingerprint,
        crashes,
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
