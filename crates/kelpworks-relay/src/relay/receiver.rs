//! Serves requests that other daemons hand over.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use log::info;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use tokio::time::Instant;

use super::InFlightGuard;
use super::InboundRequest;
use super::Refusal;
use super::Relay;
use super::handover::HANDOVER_HEADER;
use super::handover::HandoverHead;
use super::handover::OUT_OF_REACH;
use super::handover::set_refusal;
use super::incoming;
use super::log_refusal;
use super::reply::Reached;
use super::reply::Reply;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::shared::Shared;

/// Longest wait for the configuration that a request was admitted under; a new one reaches all
/// daemons within a few exchanges.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(250);
/// Interval between two looks for it.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handler of the address for requests of other daemons.
struct Receiver<D, E> {
    relay: Relay<D, E>,
}

/// Returns the router of the address on which other daemons hand requests over.
pub(crate) fn handover_router<D: Adapter, E: EngineApi>(relay: &Relay<D, E>) -> Router {
    let receiver = Receiver {
        relay: relay.clone(),
    };
    Router::with_path("{**rest}").goal(receiver)
}

#[async_trait]
impl<D: Adapter, E: EngineApi> Handler for Receiver<D, E> {
    async fn handle(
        &self,
        req: &mut salvo::Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let in_flight_guard = InFlightGuard::new(&self.relay.shared);
        let reply = match receive::<D>(&self.relay.shared, req).await {
            Ok(inbound) => self.relay.forward(inbound, in_flight_guard).await,
            Err(refusal) => {
                log_refusal(&refusal);
                Reply::Refused(refusal)
            }
        };
        let refusal = match &reply {
            Reply::Refused(refusal) => Some(refusal.clone()),
            _ => None,
        };
        let outcome = match refusal {
            Some(_) => "refused",
            None => "served",
        };
        metrics::counter!("kelpworks_handovers_received_total", "outcome" => outcome).increment(1);
        reply.write(res);
        if let Some(refusal) = refusal {
            set_refusal(res.headers_mut(), &refusal);
        }
        if self.relay.is_stopping() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

/// Reads a request that was handed over and admits it.
async fn receive<D: Adapter>(
    shared: &Shared,
    req: &mut salvo::Request,
) -> Result<InboundRequest, Refusal> {
    let arrived = Instant::now();
    let head = req.headers_mut().remove(HANDOVER_HEADER);
    let head = head.and_then(|v| serde_json::from_slice::<HandoverHead>(v.as_bytes()).ok());
    let Some(head) = head else {
        return Err(refuse(shared, "hand-over can't be read"));
    };
    if head.left_ms == 0 {
        return Err(refuse(shared, "deadline has passed"));
    }
    if !wait_for_configuration(shared, head.version).await {
        return Err(refuse(shared, "configuration older than the request"));
    }
    let mut inbound = incoming::admit::<D>(shared, req, arrived).await?;
    let service = &inbound.service.name;
    if shared.reach().is_probably_lost(service) {
        return Err(refuse(shared, OUT_OF_REACH));
    }
    let left = Duration::from_millis(head.left_ms);
    inbound.deadline = inbound.deadline.min(arrived + left);
    inbound.head.last_event = head.after.or(inbound.head.last_event);
    info!(
        target: "decision",
        request:% = inbound.id,
        sender:% = head.sender.as_deref().unwrap_or("unnamed"),
        not_left = head.runs.max(head.ran_at.len() as u32),
        max_runs = head.max_runs,
        sender_version = head.version,
        config_version = inbound.version,
        left_ms = head.left_ms,
        after_event = head.after.unwrap_or(0),
        may_have_reached = head.may_have_reached;
        "request handed over by a peer"
    );
    inbound.handover = Some(head);
    Ok(inbound)
}

fn refuse(shared: &Shared, reason: &'static str) -> Refusal {
    Refusal {
        request_id: Box::default(),
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after: None,
        reason,
        version: shared.table.load().version(),
        reached: Reached::Nothing,
    }
}

/// Waits until a configuration of at least this version is active; returns whether it is.
async fn wait_for_configuration(shared: &Shared, version: u64) -> bool {
    let until = Instant::now() + CONFIGURATION_WAIT;
    loop {
        if shared.table.load().version() >= version {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
    }
}
