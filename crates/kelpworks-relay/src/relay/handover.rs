//! Requests that one daemon hands over to another.
//!
//! A daemon that has lost its links to the upstreams of a service passes requests on to a peer that
//! reaches them, as they came, with what it knows of them in one more header field. The peer serves
//! such a request like one of its own callers', but never hands it over again, and the answer comes
//! back on the same connection: HTTP/1.1 carries flow control, cancellation and incomplete answers
//! from end to end. A refusal by the peer itself says in a header field whether the request may have
//! run, which distinguishes it from an upstream's answer.
//!
//! The upstream side stays with the peer: retry budget, limits, backoffs and breaks are those
//! of the daemon that writes to the upstream.
//!
//! Limits: the peer is chosen by the reach that it last reported, not by its load.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use kelpworks::sync::lock;
use kelpworks::verdict::Verdict;
use log::info;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::time::Instant;

use super::InboundRequest;
use super::Refusal;
use super::reply::Reached;
use crate::config::RouteKind;
use crate::peers::Candidate;
use crate::peers::Peers;
use crate::permit::Attempts;
use crate::permit::Retry;
use crate::permit::SentAttempt;
use crate::pool;
use crate::pool::Body;
use crate::pool::Connection;
use crate::pool::Destination;
use crate::pool::Exchange;
use crate::pool::Pool;
use crate::pool::Reuse;
use crate::pool::WritePermit;
use crate::shared::crashes::Cleared;

/// Result of handing a request over.
pub(super) type Result<T> = std::result::Result<T, HandoverError>;

/// Header field of a request that is handed over: a [`HandoverHead`] in JSON.
pub(super) const HANDOVER_HEADER: HeaderName = HeaderName::from_static("kelpworks-handover");
/// Header field of a refusal by the daemon that a request was handed over to: its verdict, or
/// [`UNREACHABLE_UPSTREAMS`].
pub(super) const REFUSAL_HEADER: HeaderName = HeaderName::from_static("kelpworks-handover-refusal");
/// Header field of such a refusal: number of upstreams where the request may have run by that daemon. Older builds don't set
/// it.
const RUNS_HEADER: HeaderName = HeaderName::from_static("kelpworks-handover-runs");
/// Value of [`REFUSAL_HEADER`] when nothing was sent because the daemon does not reach the upstreams.
const UNREACHABLE_UPSTREAMS: &str = "upstreams-unreachable";
/// Maximum number of daemons that a request is handed over to, one after the other.
pub(super) const MAX_HANDOVERS: usize = 3;
/// Time for which a daemon is not chosen that accepted no connection: a few exchanges of digests,
/// after which it counts as lost if it is.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a daemon is not chosen that does not reach the upstreams either: an exchange of
/// digests, which reports it if a probe has shown it.
const UNREACHABLE_PERIOD: Duration = Duration::from_millis(250);
/// Weight of a daemon of the own failure domain against one of another when one is drawn. Traffic
/// between domains is billed, but the daemons that are left in one domain can't serve all others.
const LOCAL_WEIGHT: u32 = 3;

/// Refusal reason when this daemon does not reach the upstreams, and no other is known to.
pub(super) const OUT_OF_REACH: &str = "upstreams out of reach";
/// Failure reason when no daemon is known that could serve a request.
pub(super) const NO_PEER: &str = "no peer";
/// Failure reason when a daemon accepted no connection.
pub(super) const UNREACHABLE: &str = "peer unreachable";

/// Failure reason when a daemon does not reach the upstreams either.
pub(super) const UNREACHABLE_BY_PEER: &str = "unreachable by a peer";

/// What a daemon knows of a request that it hands over.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(super) struct HandoverHead {
    /// Name of the sender; older builds don't set it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) sender: Option<Arc<str>>,
    /// Version of the configuration that the request was admitted under.
    pub(super) version: u64,
    /// Milliseconds left until the deadline when the request is written.
    pub(super) left_ms: u64,
    /// Id of the last event that the caller has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) after: Option<u64>,
    /// Version of the weights that must produce the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) weight_version: Option<u64>,
    /// Whether the request may have reached an upstream, so that any attempt is a retry.
    #[serde(default)]
    pub(super) may_have_reached: bool,
    /// Whether the sender has taken a retry from its budget for the next attempt.
    #[serde(default)]
    pub(super) has_retry: bool,
    /// Number of the upstreams allowed by the route that are not left to the receiver. Older builds read it for calls
    /// alone, and don't set it for streams.
    #[serde(default)]
    pub(super) runs: u32,
    /// Incarnations of the upstreams where a stream may have run, as far as the sender knows them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) ran_at: Vec<Arc<str>>,
    /// Number of further upstreams where the receiver may run it. Older builds don't set it, and allow as
    /// many as the route has left.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) max_runs: Option<u32>,
}

/// Address on which a daemon accepts requests of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PeerAddress(SocketAddr);

impl Destination for PeerAddress {
    type Permit = HandoverPermit;

    const CONNECTS_METRIC: &'static str = "kelpworks_handover_connects_total";
    const CONNECTIONS_METRIC: &'static str = "kelpworks_handover_connections_total";
}

/// The attempts of a request that is handed over, and the retry that goes with it.
#[derive(Clone, Debug)]
pub(super) struct HandedOver {
    attempts: Arc<Attempts>,
    /// `None` while a daemon has it, or without one.
    retry: Arc<Mutex<Option<Retry>>>,
}

impl HandedOver {
    /// Prepares a hand-over. `retry` goes with it if it is still allowed when the request is written.
    pub(super) fn new(attempts: Arc<Attempts>, retry: Option<Retry>) -> HandedOver {
        HandedOver {
            attempts,
            retry: Arc::new(Mutex::new(retry)),
        }
    }

    /// Returns the retry if no daemon has it.
    pub(super) fn take_retry(&self) -> Option<Retry> {
        lock(&self.retry).take()
    }

    fn write(&self) -> SentAttempt {
        let retry = self.take_retry();
        self.attempts.hand_over(retry)
    }

    fn undo(&self, attempt: SentAttempt) {
        *lock(&self.retry) = attempt.undo();
    }
}

/// Permission to write a request to another daemon, which holds until the deadline.
#[derive(Debug)]
pub(super) struct HandoverPermit {
    head: HandoverHead,
    deadline: Instant,
    handed_over: HandedOver,
}

/// A permit that was used.
#[derive(Debug)]
pub(super) struct SpentHandoverPermit {
    permit: HandoverPermit,
    attempt: SentAttempt,
}

impl WritePermit for HandoverPermit {
    type Spent = SpentHandoverPermit;
    type Answered = SentAttempt;

    fn spend(mut self, headers: &mut HeaderMap) -> Option<SpentHandoverPermit> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.head.left_ms = left.as_millis() as u64;
        if self.head.left_ms == 0 {
            return None;
        }
        let attempt = self.handed_over.write();
        self.head.has_retry = attempt.has_retry();
        set_head(headers, &self.head);
        Some(SpentHandoverPermit {
            permit: self,
            attempt,
        })
    }

    fn undo(spent: SpentHandoverPermit) -> HandoverPermit {
        spent.permit.handed_over.undo(spent.attempt);
        spent.permit
    }

    fn answer(spent: SpentHandoverPermit) -> SentAttempt {
        spent.attempt
    }

    // Once the other daemon has closed the connection, it counts what it has under way itself.
    fn record_arrival(spent: SpentHandoverPermit) {
        spent.attempt.record_arrival();
    }

    fn awaits_arrival(spent: &SpentHandoverPermit, _since: Instant) -> bool {
        spent.attempt.attempts().are_counted()
    }
}

/// Sets the field that says what the sender knows of a request.
fn set_head(headers: &mut HeaderMap, head: &HandoverHead) {
    let text = serde_json::to_vec(head).unwrap_or_default();
    if let Ok(value) = HeaderValue::from_bytes(&text) {
        headers.insert(HANDOVER_HEADER, value);
    }
}

/// Why a request that was handed over got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub(super) enum HandoverError {
    /// No daemon is known that could serve it.
    #[error("no peer")]
    NoPeer,
    /// The peer accepted no connection.
    #[error("peer unreachable")]
    NotSent,
    /// The connection failed after the request was sent.
    #[error("peer lost")]
    Lost,
    /// The peer refused it.
    #[error("refused by a peer")]
    Refused {
        verdict: Verdict,
        /// Number of upstreams where it may have run; `None` if the peer did not say.
        runs: Option<u32>,
    },
    /// Nothing was sent to an upstream, as the peer does not reach the upstreams either.
    #[error("no peer reaches the upstreams")]
    Unreachable,
}

impl HandoverError {
    /// Whether nothing of the request can have reached an upstream.
    pub(super) fn is_unsent(self) -> bool {
        match self {
            HandoverError::NoPeer | HandoverError::NotSent | HandoverError::Unreachable => true,
            HandoverError::Lost | HandoverError::Refused { .. } => false,
        }
    }

    /// Returns the number of upstreams where the peer may have run the request; `None` if it is not known.
    pub(super) fn runs(self) -> Option<u32> {
        match self {
            HandoverError::Refused {
                verdict: Verdict::MayHaveRun,
                runs,
            } => runs,
            HandoverError::Lost => None,
            _ => Some(0),
        }
    }

    pub(super) fn verdict(self) -> Verdict {
        match self {
            HandoverError::NoPeer | HandoverError::NotSent | HandoverError::Unreachable => {
                Verdict::NotRun
            }
            HandoverError::Lost => Verdict::MayHaveRun,
            HandoverError::Refused { verdict, .. } => verdict,
        }
    }

    /// Returns the reason for logs and metric labels.
    pub(super) fn reason(self) -> &'static str {
        match self {
            HandoverError::NoPeer => NO_PEER,
            HandoverError::NotSent => UNREACHABLE,
            HandoverError::Lost => "peer lost",
            HandoverError::Refused { .. } => "refused by a peer",
            HandoverError::Unreachable => UNREACHABLE_BY_PEER,
        }
    }
}

/// A connection to a peer that serves a request.
pub(super) type PeerConnection = Connection<PeerAddress>;

/// Hands requests over to other daemons.
#[derive(Debug)]
pub(crate) struct HandoverClient {
    peers: Arc<Peers>,
    pool: Pool<PeerAddress>,
    /// Daemons that could not serve a request, and until when they are not chosen.
    avoided: Mutex<HashMap<SocketAddr, Instant>>,
}

impl HandoverClient {
    pub(crate) fn new(peers: Arc<Peers>) -> HandoverClient {
        HandoverClient {
            peers,
            pool: Pool::default(),
            avoided: Mutex::default(),
        }
    }

    /// Returns whether a daemon that is not in `excluded` could serve a request for the service.
    pub(super) fn has_candidate(&self, service: &str, excluded: &[SocketAddr]) -> bool {
        !self.candidates(service, excluded).is_empty()
    }

    /// Hands a request over to a daemon that is not in `excluded`, and adds it there.
    ///
    /// # Errors
    ///
    /// Unless the head of an upstream's answer arrived.
    pub(super) async fn send(
        &self,
        inbound: &InboundRequest,
        head: &HandoverHead,
        handed_over: &HandedOver,
        excluded: &mut Vec<SocketAddr>,
        _cleared: Cleared,
    ) -> Result<Exchange<PeerAddress>> {
        loop {
            let candidates = self.candidates(&inbound.service.name, excluded);
            let peer = draw(&candidates).ok_or(HandoverError::NoPeer)?;
            // Counts also if this future is dropped because the answer takes too long.
            excluded.push(peer);
            log_handover_sent(inbound, peer, head);
            let sent = Instant::now();
            let result = self.exchange(peer, inbound, head, handed_over).await;
            log_handover(inbound, peer, &result, sent.elapsed());
            match result {
                Err(HandoverError::NotSent) => self.avoid(peer, AVOIDANCE_PERIOD),
                Err(HandoverError::Unreachable) => self.avoid(peer, UNREACHABLE_PERIOD),
                _ => return result,
            }
            excluded.pop();
        }
    }

    /// Returns a connection to the pool after its answer has been read to its end.
    pub(super) fn keep(&self, connection: PeerConnection) {
        self.pool.keep(connection);
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        inbound: &InboundRequest,
        head: &HandoverHead,
        handed_over: &HandedOver,
    ) -> Result<Exchange<PeerAddress>> {
        let req = inbound.to_handover();
        let head = HandoverHead {
            sender: Some(Arc::clone(self.peers.name())),
            ..head.clone()
        };
        let permit = HandoverPermit {
            head,
            deadline: inbound.deadline,
            handed_over: handed_over.clone(),
        };
        let reuse = match inbound.route.kind.is_retryable() {
            true => Reuse::Any,
            false => Reuse::Recent,
        };
        let sending = self.pool.send(PeerAddress(peer), peer, req, reuse, permit);
        let mut exchange = sending.await.map_err(|e| match e {
            pool::Error::NotSent | pool::Error::Withheld => HandoverError::NotSent,
            pool::Error::Lost | pool::Error::Malformed => HandoverError::Lost,
        })?;
        let refusal = refusal_of(exchange.response.headers(), inbound.route.kind);
        match exchange.permit.take() {
            Some(attempt) if refusal.is_some_and(HandoverError::is_unsent) => {
                handed_over.undo(attempt);
            }
            Some(attempt) => attempt.record_arrival(),
            None => {}
        }
        match refusal {
            Some(refusal) => Err(refusal),
            None => Ok(exchange),
        }
    }

    fn avoid(&self, peer: SocketAddr, period: Duration) {
        let until = Instant::now() + period;
        lock(&self.avoided).insert(peer, until);
    }

    fn candidates(&self, service: &str, excluded: &[SocketAddr]) -> Vec<Candidate> {
        let now = Instant::now();
        let mut avoided = lock(&self.avoided);
        avoided.retain(|_, until| now < *until);
        let mut candidates = self.peers.handover_candidates(service);
        candidates.retain(|c| !excluded.contains(&c.address) && !avoided.contains_key(&c.address));
        candidates
    }
}

fn draw(candidates: &[Candidate]) -> Option<SocketAddr> {
    let weight = |c: &Candidate| if c.is_local { LOCAL_WEIGHT } else { 1 };
    let drawn = candidates.choose_weighted(&mut rand::rng(), weight);
    drawn.ok().map(|c| c.address)
}

/// Returns the refusal by the peer itself; `None` for an answer to pass on.
fn refusal_of(headers: &HeaderMap, kind: RouteKind) -> Option<HandoverError> {
    let value = headers.get(REFUSAL_HEADER)?.as_bytes();
    let is = |text: &str| value == text.as_bytes();
    let runs = headers.get(RUNS_HEADER);
    let runs = runs.and_then(|v| v.to_str().ok()?.parse().ok());
    // With this value, a peer that does not say where it ran may have made an attempt before it lost its links. A
    // request that may run once at most would not have got that far.
    let is_proven = runs == Some(0) || !kind.is_retryable();
    Some(if is(UNREACHABLE_UPSTREAMS) && is_proven {
        HandoverError::Unreachable
    } else if is(Verdict::NotRun.as_str()) {
        HandoverError::Refused {
            verdict: Verdict::NotRun,
            runs,
        }
    } else {
        HandoverError::Refused {
            verdict: Verdict::MayHaveRun,
            runs,
        }
    })
}

/// Sets the fields that distinguish a refusal from an upstream's answer.
pub(super) fn set_refusal(headers: &mut HeaderMap, refusal: &Refusal) {
    let verdict = refusal_verdict(refusal);
    let is_unsent = verdict == Verdict::NotRun && refusal.reached == Reached::Nothing;
    let value = match is_unsent && refusal.reason == OUT_OF_REACH {
        true => UNREACHABLE_UPSTREAMS,
        false => verdict.as_str(),
    };
    headers.insert(REFUSAL_HEADER, HeaderValue::from_static(value));
    let runs = match refusal.reached {
        Reached::Nothing => 0,
        Reached::Upstreams(runs) => runs,
        Reached::Unknown => return,
    };
    headers.insert(RUNS_HEADER, HeaderValue::from(runs));
}

/// Returns whether a request that this daemon refuses may have run. The sender decides what its caller
/// gets: a configuration that it does not know yet may be the reason.
fn refusal_verdict(refusal: &Refusal) -> Verdict {
    let is_not_run = refusal.status == StatusCode::SERVICE_UNAVAILABLE;
    match refusal.status.is_server_error() && !is_not_run {
        true => Verdict::MayHaveRun,
        false => Verdict::NotRun,
    }
}

impl InboundRequest {
    /// Builds the request that is sent to another daemon, but for the field that is set when it is written.
    fn to_handover(&self) -> http::Request<Body> {
        let mut req = http::Request::new(Body::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = http::Uri::from(self.target.clone());
        *req.headers_mut() = self.headers.clone();
        req
    }
}

/// Logs a hand-over that is about to be sent. If it is abandoned, no line has its outcome.
fn log_handover_sent(inbound: &InboundRequest, peer: SocketAddr, head: &HandoverHead) {
    info!(
        target: "decision",
        request:% = inbound.id,
        route:% = inbound.route.name,
        peer:% = peer,
        not_left = head.runs,
        max_runs = head.max_runs,
        max_attempts = inbound.route.max_attempts,
        left_ms = inbound.remaining().as_millis() as u64;
        "hand-over sent"
    );
}

fn log_handover(
    inbound: &InboundRequest,
    peer: SocketAddr,
    result: &Result<Exchange<PeerAddress>>,
    took: Duration,
) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(e) => e.reason(),
    };
    info!(
        target: "decision",
        request:% = inbound.id,
        peer:% = peer,
        took_ms = took.as_millis() as u64,
        left_ms = inbound.remaining().as_millis() as u64,
        outcome:% = outcome;
        "handed over"
    );
    metrics::counter!("kelpworks_handovers_total", "outcome" => outcome).increment(1);
    metrics::histogram!("kelpworks_handover_seconds").record(took.as_secs_f64());
}
