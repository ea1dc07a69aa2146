//! Reads a caller's request and decides whether it is admitted.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use http::uri::PathAndQuery;
use hyper::body::Body;
use kelpworks::body;
use kelpworks::body::Pace;
use kelpworks::http_server::set_request_read;
use kelpworks::memory_budget;
use kelpworks::memory_budget::Reservation;
use kelpworks_coord::poison::Fingerprint;
use log::info;
use rand::RngExt;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use super::InboundRequest;
use super::Refusal;
use super::handover::HANDOVER_HEADER;
use super::reply::Reached;
use super::reply::end_to_end;
use crate::adapter::Adapter;
use crate::adapter::CallerHead;
use crate::config::Route;
use crate::config::RoutingTable;
use crate::config::Service;
use crate::config::Team;
use crate::shared::Shared;
use crate::shared::crashes::Identity;

/// Longest time without progress of a request body; longer than a head needs, since bodies are larger.
const BODY_PROGRESS_PERIOD: Duration = Duration::from_secs(10);
/// Copies of a request head that a request holds at most: as it was read, as a map, and as it is sent.
const HEAD_COPIES: usize = 3;
/// Bytes of a body that may have arrived before it is read: those in the receive buffer.
const UNREAD_BODY_BYTES: usize = 64 << 10;
/// `Retry-After` of a daemon whose memory for bodies is used up; within it callers that stopped sending are evicted.
const MEMORY_RETRY: Duration = Duration::from_millis(500);
/// Reason of a refusal because of it.
const NO_MEMORY: &str = "memory for requests used up";
/// `Retry-After` of a daemon that has no usable configuration yet.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(300);

/// Request id and the routing table that the request is checked against.
struct RequestContext<'a> {
    table: &'a RoutingTable,
    id: Box<str>,
}

impl RequestContext<'_> {
    fn refuse(&self, status: StatusCode, reason: &'static str) -> Refusal {
        Refusal {
            request_id: self.id.clone(),
            status,
            retry_after: None,
            reason,
            version: self.table.version(),
            reached: Reached::Nothing,
        }
    }

    fn refuse_with_retry_after(&self, after: Duration, reason: &'static str) -> Refusal {
        Refusal {
            retry_after: Some(after),
            ..self.refuse(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

/// Reads a request and decides whether it is forwarded.
///
/// # Errors
///
/// The refusal that the caller gets.
pub(super) async fn admit<D: Adapter>(
    shared: &Shared,
    req: &mut salvo::Request,
    arrived: Instant,
) -> Result<InboundRequest, Refusal> {
    let memory = reserve(shared, req).await;
    let has_configuration = |s: &Shared| s.table.load().version() > 0;
    shared.wait_while_starting(arrived, has_configuration).await;
    shared
        .wait_while_starting(arrived, Shared::are_verdicts_known)
        .await;
    let table = shared.table.load_full();
    let head = D::decode_request_head(req.headers());
    let id = head.as_ref().ok().and_then(|h| h.request_id.clone());
    let context = RequestContext {
        table: &table,
        id: id.unwrap_or_default(),
    };
    if table.version() == 0 {
        return Err(context.refuse_with_retry_after(NO_CONFIGURATION_RETRY, "no configuration yet"));
    }
    let no_memory = |_| context.refuse_with_retry_after(MEMORY_RETRY, NO_MEMORY);
    let memory = memory.map_err(no_memory)?;
    if head_bytes(req) > table.limits().header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(context.refuse(status, "head too large"));
    }
    let host = host_of(req).unwrap_or_default();
    let path = req.uri().path();
    let no_route = || context.refuse(StatusCode::NOT_FOUND, "no route");
    let route = table.route(&host, path).ok_or_else(no_route)?.clone();
    let unreadable = |_| context.refuse(StatusCode::BAD_REQUEST, "head can't be read");
    let head = head.map_err(unreadable)?;
    let team = team_of(&context, &route, &head)?;
    let priority = team.and_then(|t| t.priority).unwrap_or(route.priority);
    let team = team.map(|t| Arc::clone(&t.name));
    let time_limit = head.time_left.unwrap_or(route.timeout);
    let deadline = arrived + time_limit.min(route.timeout);
    let body = read_body(&context, req, deadline, memory.body).await?;
    let target = req.uri().path_and_query().cloned();
    let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let fingerprint = fingerprint(team.as_deref(), &target, &body);
    let service = choose_service(&context, &route)?.clone();
    let is_whole = route.kind.is_call();
    let identity = Identity {
        fingerprint,
        parts: &head.shared_parts,
    };
    let turn = shared.wait_for_turn(identity, &service.name, is_whole);
    if let Err(refusal) = turn.await {
        if let Some(part) = refusal.part {
            info!(
                target: "decision",
                request:% = context.id,
                part:% = part,
                why:% = refusal.reason;
                "request has a part that is held back"
            );
        }
        return Err(context.refuse_with_retry_after(refusal.retry_after, refusal.reason));
    }
    let levels = table.urgency_levels(&service.name);
    let urgency = levels.map(|levels| levels.level_of(priority));
    Ok(InboundRequest {
        id: context.id,
        service,
        head,
        method: req.method().clone(),
        target,
        headers: upstream_headers(req.headers()),
        body,
        team,
        fingerprint,
        urgency,
        arrived,
        deadline,
        version: table.version(),
        route,
        handover: None,
        _head_memory: memory.head,
    })
}

/// Memory of a request.
struct RequestMemory {
    head: Reservation,
    /// Empty for a request without a body.
    body: Reservation,
}

/// Reserves memory for the head of a request and what may have arrived of its body.
async fn reserve(shared: &Shared, req: &salvo::Request) -> memory_budget::Result<RequestMemory> {
    let mut head = shared.memory().reservation();
    head.complete();
    head.grow(HEAD_COPIES * head_bytes(req)).await?;
    let mut body = shared.memory().reservation();
    let incoming = req.body();
    if !incoming.is_end_stream() {
        let upper = incoming.size_hint().upper().unwrap_or(u64::MAX);
        let upper = usize::try_from(upper).unwrap_or(usize::MAX);
        body.grow(upper.min(UNREAD_BODY_BYTES)).await?;
    }
    Ok(RequestMemory { head, body })
}

fn head_bytes(req: &salvo::Request) -> usize {
    let line = req.uri().path_and_query().map_or(0, |p| p.as_str().len());
    let fields = req.headers().iter();
    line + fields
        .map(|(k, v)| k.as_str().len() + v.len() + 4)
        .sum::<usize>()
}

/// Returns the requested host name in lower case, without a port.
fn host_of(req: &salvo::Request) -> Option<String> {
    let field = req.headers().get(header::HOST);
    let host = match field.and_then(|v| v.to_str().ok()) {
        Some(host) => host,
        None => req.uri().host()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

/// Returns the caller's team; `None` if its key names none, but the route is open to anonymous
/// callers or the configuration defines no teams.
fn team_of<'a>(
    context: &RequestContext<'a>,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<&'a Team>, Refusal> {
    let team = head.key.as_deref().and_then(|k| context.table.team_of(k));
    if team.is_some() || route.anonymous || !context.table.has_teams() {
        return Ok(team);
    }
    Err(context.refuse(StatusCode::UNAUTHORIZED, "unknown key"))
}

/// Reads the body of a request until its deadline.
async fn read_body(
    context: &RequestContext<'_>,
    req: &mut salvo::Request,
    deadline: Instant,
    memory: Reservation,
) -> Result<Bytes, Refusal> {
    let max_bytes = context.table.limits().body_bytes;
    let pace = Pace {
        deadline,
        period: BODY_PROGRESS_PERIOD,
    };
    let read = body::read_whole(req.take_body(), max_bytes, Some(pace), memory).await;
    set_request_read(req);
    read.map_err(|e| match e {
        body::Error::TooLarge => context.refuse(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        body::Error::BrokenOff => context.refuse(StatusCode::BAD_REQUEST, "body broken off"),
        body::Error::TooSlow => context.refuse(StatusCode::REQUEST_TIMEOUT, "body too slow"),
        body::Error::Memory(_) => context.refuse_with_retry_after(MEMORY_RETRY, NO_MEMORY),
    })
}

/// Draws a service by the weights of the route's targets.
fn choose_service<'a>(context: &RequestContext<'a>, route: &Route) -> Result<&'a Service, Refusal> {
    let total: u32 = route.targets.iter().map(|t| t.weight).sum();
    let mut drawn = rand::rng().random_range(0..total.max(1));
    let mut chosen = route.targets.first();
    for target in &route.targets {
        if drawn < target.weight {
            chosen = Some(target);
            break;
        }
        drawn -= target.weight;
    }
    let service = chosen.and_then(|t| context.table.service(&t.service));
    service.ok_or_else(|| {
        context.refuse_with_retry_after(NO_CONFIGURATION_RETRY, "service not defined")
    })
}

fn upstream_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = end_to_end(headers.clone());
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(HANDOVER_HEADER);
    headers
}

/// Returns a hash of team, target and body, which stay the same when a caller retries a request.
fn fingerprint(team: Option<&str>, target: &PathAndQuery, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [
        team.unwrap_or_default().as_bytes(),
        target.as_str().as_bytes(),
        body,
    ] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Fingerprint(hash.digest())
}
