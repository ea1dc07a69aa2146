//! Sends a call to upstreams of its service: selection, retries and deadlines.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use salvo::http::HeaderName;
use salvo::http::StatusCode;
use salvo::http::header;
use tokio::time::Instant;

use crate::claims::Header;
use crate::claims::Reply;
use crate::clients::engine::Error;
use crate::clients::plain_service::PlainService;
use crate::clients::plain_service::ServiceAnswer;
use crate::clients::plain_service::ServiceCall;
use crate::entry::Entry;
use crate::entry::reply::Failure;
use crate::entry::services::call::Call;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::retry::Attempt;
use crate::retry::Decision;
use crate::retry::RetryBudget;
use crate::retry::RetryConfig;
use crate::routing::choose_service;
use crate::upstreams::Report;
use crate::verdict::Verdict;

/// Result of a call; an error is ready to be sent to the caller.
pub(super) type Result<T> = std::result::Result<T, Failure>;

const MAX_ATTEMPTS: u32 = 3;
/// Headers of a service's response that are returned to the caller.
const RETURNED_HEADERS: [HeaderName; 5] = [
    header::CONTENT_TYPE,
    header::ETAG,
    header::LOCATION,
    header::CACHE_CONTROL,
    header::RETRY_AFTER,
];

/// Sends calls to services. One per daemon, so that all calls share its retry budget.
pub(super) struct Sender {
    entry: Arc<Entry>,
    retries: Mutex<RetryBudget>,
}

/// Failure of an attempt that got no response.
struct AttemptError {
    cause: Error,
    /// Whether the upstream responded on a new connection, so that only the old one was at fault.
    connection_fault: bool,
}

impl AttemptError {
    fn is_timeout(&self) -> bool {
        matches!(self.cause, Error::Timeout)
    }
}

/// A call and its attempts so far.
struct Attempts<'a> {
    call: &'a Call,
    made: u32,
    /// Upstreams on which the call failed; avoided by further attempts.
    tried: Vec<UpstreamKey>,
    /// The most severe verdict of all attempts.
    verdict: Verdict,
}

impl Sender {
    pub(super) fn new(entry: Arc<Entry>) -> Sender {
        let cfg = RetryConfig {
            max_attempts: MAX_ATTEMPTS,
            ..RetryConfig::default()
        };
        Sender {
            entry,
            retries: Mutex::new(RetryBudget::new(cfg)),
        }
    }

    /// Sends the call to an upstream of the service, and retries it where that is safe.
    pub(super) async fn send(&self, call: &Call) -> Result<Reply> {
        let mut attempts = Attempts {
            call,
            made: 0,
            tried: Vec::new(),
            verdict: Verdict::NotRun,
        };
        loop {
            let fleet = self.entry.fleet.load_full();
            let key = self.choose(&fleet, &attempts)?;
            attempts.made += 1;
            let ended = tokio::select! {
                ended = self.attempt(&fleet, key, &attempts) => ended,
                () = self.entry.driver.abort.cancelled() => {
                    return Err(daemon_stopped(Verdict::MayHaveRun));
                }
            };
            match &ended {
                Ok(reply) if call.retryable && is_gateway_error(reply.status) => {
                    attempts.record_failure(key, Verdict::MayHaveRun);
                }
                Ok(_) => {
                    self.retries().record_success();
                    return ended.map_err(|error| attempts.failure(&error));
                }
                // Another upstream would return the same large reply.
                Err(AttemptError {
                    cause: Error::TooLarge,
                    ..
                }) => {
                    attempts.raise_verdict(Verdict::MayHaveRun);
                    return ended.map_err(|error| attempts.failure(&error));
                }
                Err(error) if error.connection_fault => {
                    attempts.raise_verdict(error.cause.verdict())
                }
                Err(error) => {
                    attempts.record_failure(key, error.cause.verdict());
                    let _ = self.entry.reports.send(Report::Suspect(key));
                }
            }
            let Some(delay) = self.retry_delay(&attempts) else {
                return ended.map_err(|error| attempts.failure(&error));
            };
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.entry.driver.abort.cancelled() => {
                    return Err(daemon_stopped(attempts.verdict));
                }
            }
        }
    }

    /// Returns the backoff before the next attempt; `None` when the call is not retried.
    fn retry_delay(&self, attempts: &Attempts<'_>) -> Option<Duration> {
        let attempt = Attempt {
            verdict: attempts.verdict,
            idempotent: attempts.call.retryable,
            attempts: attempts.made,
            time_left: time_left(attempts.call),
        };
        let now = Duration::from_millis(self.entry.driver.now_ms());
        let decision = self.retries().decide(now, &attempt, &mut rand::rng());
        match decision {
            Decision::RetryAfter(delay) => Some(delay),
            Decision::Abandon(reason) => {
                info!(
                    target: "decision", decision = "give_up", request = attempts.call.id.as_str(),
                    reason = reason.as_str(), verdict = attempts.verdict.as_str();
                    "call not retried"
                );
                None
            }
        }
    }

    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn choose(&self, fleet: &Fleet, attempts: &Attempts<'_>) -> Result<UpstreamKey> {
        let call = attempts.call;
        let Some(keys) = fleet.by_service.get(&call.service) else {
            let message = format!("there is no service {:?}", call.service);
            let status = StatusCode::NOT_FOUND;
            return Err(Failure::rejected(status, "unknown_service", message));
        };
        let now = self.entry.driver.now_ms();
        let tried = &attempts.tried;
        let chosen = choose_service(fleet, &call.service, tried, now, &mut rand::rng());
        let key = chosen.map_err(|_| {
            let message = "no upstream of the service takes calls";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Failure::failed(status, "no_upstream", message, attempts.verdict)
        })?;
        info!(
            target: "decision", decision = "service", request = call.id.as_str(),
            team = call.team.as_str(), service = call.service.as_str(),
            candidates = keys.len(), choice = &*fleet.upstreams[key].name,
            attempt = attempts.made, reason = "fewest in flight of two";
            "upstream chosen"
        );
        Ok(key)
    }

    /// Makes one attempt. At the progress deadline the upstream is probed on a new connection. A
    /// retryable call is then abandoned; any other continues to wait for its response.
    async fn attempt(
        &self,
        fleet: &Fleet,
        key: UpstreamKey,
        attempts: &Attempts<'_>,
    ) -> std::result::Result<Reply, AttemptError> {
        let call = attempts.call;
        let upstream = &fleet.upstreams[key];
        let _in_flight = InFlight::enter(&upstream.counters.in_flight);
        let reply = self.call(&upstream.url, call);
        tokio::pin!(reply);
        let upstream_fault = |cause| AttemptError {
            cause,
            connection_fault: false,
        };
        let progress = self.progress_deadline(attempts.made).min(time_left(call));
        tokio::select! {
            biased;
            reply = &mut reply => return reply.map_err(upstream_fault),
            () = tokio::time::sleep(progress) => {}
        }
        if !call.retryable {
            let (reply, _) = tokio::join!(reply, self.probe(&upstream.url));
            return reply.map_err(upstream_fault);
        }
        let connection_fault = self.probe(&upstream.url).await;
        Err(AttemptError {
            cause: Error::Timeout,
            connection_fault,
        })
    }

    /// Returns the time until the probe of an attempt. It doubles with each attempt, since the call
    /// itself may be slow.
    fn progress_deadline(&self, made: u32) -> Duration {
        let doublings = made.saturating_sub(1);
        self.entry.driver.deadlines.step.ceiling * 2u32.pow(doublings)
    }

    /// Checks the health of an upstream on a new connection and returns whether it responded. If
    /// so, the pooled connections to it are replaced.
    async fn probe(&self, url: &Arc<str>) -> bool {
        let deadline = self.entry.driver.deadlines.probe.ceiling;
        let probed = self.entry.engine.probe_health(url, deadline).await;
        probed.is_ok()
    }

    async fn call(&self, url: &Arc<str>, call: &Call) -> std::result::Result<Reply, Error> {
        let sent = ServiceCall {
            method: &call.method,
            path: &call.path,
            headers: &call.headers,
            body: &call.body,
        };
        let deadline = time_left(call).max(Duration::from_millis(1));
        let answer = self.entry.engine.call(url, sent, deadline).await?;
        Ok(caller_reply(answer))
    }
}

impl Attempts<'_> {
    fn record_failure(&mut self, key: UpstreamKey, verdict: Verdict) {
        self.tried.push(key);
        self.raise_verdict(verdict);
    }

    fn raise_verdict(&mut self, verdict: Verdict) {
        self.verdict = self.verdict.max(verdict);
    }

    fn failure(&self, error: &AttemptError) -> Failure {
        let (status, kind) = match error.is_timeout() {
            true => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
            false => (StatusCode::BAD_GATEWAY, "upstream_failed"),
        };
        Failure::failed(status, kind, error.cause.to_string(), self.verdict)
    }
}

/// Counts a call as in flight until dropped.
struct InFlight<'a>(&'a AtomicU32);

impl InFlight<'_> {
    fn enter(count: &AtomicU32) -> InFlight<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        InFlight(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the failure of a call that an immediate stop of the daemon interrupted.
fn daemon_stopped(verdict: Verdict) -> Failure {
    Failure {
        verdict,
        ..Failure::draining()
    }
}

/// Whether another upstream may succeed: a gateway error, or a service that is leaving (503).
fn is_gateway_error(status: u16) -> bool {
    matches!(status, 502..=504)
}

fn time_left(call: &Call) -> Duration {
    call.deadline.saturating_duration_since(Instant::now())
}

/// Converts a service's response to the reply to the caller.
fn caller_reply(answer: ServiceAnswer) -> Reply {
    let mut headers = Vec::new();
    for name in &RETURNED_HEADERS {
        let value = answer.headers.get(name).and_then(|v| v.to_str().ok());
        headers.extend(value.map(|value| Header {
            name: name.to_string(),
            value: value.to_owned(),
        }));
    }
    Reply {
        status: answer.status,
        headers,
        body: answer.body,
    }
}
