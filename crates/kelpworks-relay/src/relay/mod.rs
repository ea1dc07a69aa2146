//! HTTP handler for callers: reads each request whole, matches its route and team, and forwards it.

mod answer_head;
mod call;
mod events;
mod handover;
mod incoming;
mod receiver;
mod reply;
mod runs;
mod stream;

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http::uri::PathAndQuery;
use kelpworks::memory_budget::Reservation;
use kelpworks_coord::poison::Fingerprint;
use log::info;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use tokio::time::Instant;

use crate::adapter::Adapter;
use crate::adapter::CallerHead;
use crate::adapter::EngineApi;
use crate::adapter::ForwardedHead;
use crate::config::Route;
use crate::config::RouteKind;
use crate::config::Service;
use crate::contention::Level;
use crate::engine_calls::EngineCalls;
use crate::permit::Origin;
use crate::permit::Retry;
use crate::pool::Body;
use crate::shared::Shared;
use crate::shared::crashes::Identity;
use handover::HandoverHead;
use reply::Reached;
use reply::Reply;
use runs::Runs;

pub(crate) use handover::HandoverClient;
pub(crate) use receiver::handover_router;
pub(crate) use reply::Refusal;

/// `Retry-After` of a daemon that stops; a new connection meets another daemon.
const STOPPING_RETRY: Duration = Duration::from_millis(50);
/// Reason of a refusal, or of a failure, because of it.
const STOPPING: &str = "daemon stops";

/// A caller's request that was read whole and admitted.
#[derive(Debug)]
struct InboundRequest {
    /// Request id sent by the caller; empty if it sent none.
    id: Box<str>,
    route: Route,
    service: Service,
    head: CallerHead,
    method: Method,
    target: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
    /// Name of the caller's team.
    team: Option<Arc<str>>,
    fingerprint: Fingerprint,
    /// Urgency among the requests of its service, 0 the most urgent; `None` where all of them have the same
    /// priority, so that none goes before another.
    urgency: Option<Level>,
    arrived: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    deadline: Instant,
    /// Version of the configuration that the request was admitted under.
    version: u64,
    /// What the daemon that handed the request over knows of it; `None` for a request of a caller.
    handover: Option<HandoverHead>,
    /// Memory of the head.
    _head_memory: Reservation,
}

impl InboundRequest {
    /// Whether requests of its service compete for room by their priorities.
    fn is_contended(&self) -> bool {
        self.urgency.is_some()
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns what crashes under it may be blamed on.
    fn identity(&self) -> Identity<'_> {
        Identity {
            fingerprint: self.fingerprint,
            parts: &self.head.shared_parts,
        }
    }

    /// Returns for whom this daemon serves it: the name of the daemon that handed it over, or `caller`.
    fn sender(&self) -> &str {
        match &self.handover {
            None => "caller",
            Some(h) => h.sender.as_deref().unwrap_or("unnamed"),
        }
    }

    /// Returns what other daemons have done about it.
    fn origin(&self) -> Origin {
        match &self.handover {
            None => Origin::Caller,
            Some(h) if h.may_have_reached && !h.has_retry => Origin::PeerWithoutRetry,
            Some(_) => Origin::Peer,
        }
    }

    /// Returns the retry that the daemon that handed it over has reserved for its next attempt.
    fn retry_reserved_elsewhere(&self) -> Option<Retry> {
        let has_retry = self.handover.as_ref().is_some_and(|h| h.has_retry);
        has_retry.then(Retry::reserved_elsewhere)
    }

    /// Builds the request that is sent to an upstream.
    fn to_request<D: Adapter>(&self, forwarded: &ForwardedHead<'_>) -> Request<Body> {
        let mut headers = self.headers.clone();
        D::set_upstream_headers(&mut headers, forwarded);
        let mut req = Request::new(Body::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = http::Uri::from(self.target.clone());
        *req.headers_mut() = headers;
        req
    }
}

/// Handler of the callers' address.
#[derive(Debug)]
pub(crate) struct Relay<D, E> {
    shared: Arc<Shared>,
    engine_calls: Arc<EngineCalls<E>>,
    handover_client: Arc<HandoverClient>,
    adapter: PhantomData<D>,
}

/// Returns the router of the callers' address, which passes every path to [`Relay`].
pub(crate) fn router<D: Adapter, E: EngineApi>(relay: &Relay<D, E>) -> Router {
    Router::with_path("{**rest}").goal(relay.clone())
}

impl<D, E> Clone for Relay<D, E> {
    fn clone(&self) -> Relay<D, E> {
        Relay {
            shared: Arc::clone(&self.shared),
            engine_calls: Arc::clone(&self.engine_calls),
            handover_client: Arc::clone(&self.handover_client),
            adapter: PhantomData,
        }
    }
}

#[async_trait]
impl<D: Adapter, E: EngineApi> Handler for Relay<D, E> {
    async fn handle(
        &self,
        req: &mut salvo::Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let in_flight_guard = InFlightGuard::new(&self.shared);
        let arrived = Instant::now();
        let reply = match incoming::admit::<D>(&self.shared, req, arrived).await {
            Ok(inbound) => self.forward(inbound, in_flight_guard).await,
            Err(refusal) => {
                log_refusal(&refusal);
                Reply::Refused(refusal)
            }
        };
        reply.write(res);
        if self.is_stopping() || self.is_limited() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

impl<D: Adapter, E: EngineApi> Relay<D, E> {
    pub(crate) fn new(
        shared: &Arc<Shared>,
        engine_calls: &Arc<EngineCalls<E>>,
        handover_client: HandoverClient,
    ) -> Relay<D, E> {
        Relay {
            shared: Arc::clone(shared),
            engine_calls: Arc::clone(engine_calls),
            handover_client: Arc::new(handover_client),
            adapter: PhantomData,
        }
    }

    fn is_stopping(&self) -> bool {
        self.shared.stop.has_begun()
    }

    /// Whether the daemon does not keep up, so that callers should open their next connection elsewhere.
    fn is_limited(&self) -> bool {
        self.shared.concurrency_limit().limit().is_some()
    }

    /// Forwards a request, unless a planned stop ends before it.
    async fn forward(&self, inbound: InboundRequest, in_flight_guard: InFlightGuard) -> Reply {
        let stop = &self.shared.stop;
        let refusal = Refusal {
            request_id: inbound.id.clone(),
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(STOPPING_RETRY),
            reason: STOPPING,
            version: inbound.version,
            reached: Reached::Nothing,
        };
        if !inbound.route.kind.is_retryable() && stop.ends_before(inbound.deadline) {
            log_refusal(&refusal);
            return Reply::Refused(refusal);
        }
        tokio::select! {
            biased;
            reply = self.run(inbound, in_flight_guard) => reply,
            () = stop.ended() => {
                // It may have been sent.
                let refusal = Refusal {
                    status: StatusCode::BAD_GATEWAY,
                    retry_after: None,
                    reached: Reached::Unknown,
                    ..refusal
                };
                log_refusal(&refusal);
                Reply::Refused(refusal)
            }
        }
    }

    async fn run(&self, inbound: InboundRequest, in_flight_guard: InFlightGuard) -> Reply {
        let shared = Arc::clone(&self.shared);
        // The daemon that handed a request over has counted it.
        if inbound.handover.is_none() {
            let mut budget = shared.retry_budget();
            budget.record_request(&inbound.service.name, inbound.arrived);
        }
        match inbound.route.kind {
            RouteKind::Stream { .. } => {
                let clients = stream::Clients {
                    engine_calls: Arc::clone(&self.engine_calls),
                    handover: Arc::clone(&self.handover_client),
                };
                stream::serve::<D, E>(shared, clients, inbound, in_flight_guard).await
            }
            _ => call::serve::<D>(&shared, &self.handover_client, &inbound).await,
        }
    }
}

/// Logs an attempt that is about to be sent to an upstream. `ran` upstreams have a place in the account of its request, this
/// one included.
fn log_attempt_sent(inbound: &InboundRequest, upstream: &str, runs: &Runs) {
    info!(
        target: "decision",
        request:% = inbound.id,
        route:% = inbound.route.name,
        upstream:% = upstream,
        sender:% = inbound.sender(),
        ran = runs.taken(),
        bound = runs.max(),
        max_attempts = inbound.route.max_attempts,
        left_ms = inbound.remaining().as_millis() as u64;
        "attempt sent"
    );
    let origin = match inbound.handover {
        None => "caller",
        Some(_) => "peer",
    };
    metrics::counter!("kelpworks_attempts_total", "origin" => origin).increment(1);
}

fn log_refusal(refusal: &Refusal) {
    info!(
        target: "decision",
        request:% = refusal.request_id,
        status = refusal.status.as_u16(),
        why:% = refusal.reason,
        config_version = refusal.version;
        "request refused"
    );
    let labels = [("why", refusal.reason)];
    metrics::counter!("kelpworks_refused_total", &labels).increment(1);
}

/// Counts a request in `Shared::in_flight` until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    shared: Arc<Shared>,
}

impl InFlightGuard {
    pub(crate) fn new(shared: &Arc<Shared>) -> InFlightGuard {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
