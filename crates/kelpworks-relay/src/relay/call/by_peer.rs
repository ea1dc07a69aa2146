//! Attempts of a call by another daemon.

use std::net::SocketAddr;

use kelpworks::body;
use tokio::time::Instant;

use super::Attempt;
use super::MAX_RESPONSE_BYTES;
use super::MIN_RETRY_TIME;
use super::failed_attempt;
use crate::permit::RequestAttempts;
use crate::relay::InboundRequest;
use crate::relay::handover::HandedOver;
use crate::relay::handover::HandoverClient;
use crate::relay::handover::HandoverError;
use crate::relay::handover::HandoverHead;
use crate::relay::handover::MAX_HANDOVERS;
use crate::relay::runs::Allotment;
use crate::relay::runs::Runs;
use crate::shared::Shared;
use crate::shared::crashes::Cleared;

/// The ways of a call by other daemons.
pub(super) struct CallHandover<'a> {
    pub(super) client: &'a HandoverClient,
    pub(super) attempts: &'a RequestAttempts,
    /// Daemons that it was handed over to.
    pub(super) tried: Vec<SocketAddr>,
}

impl CallHandover<'_> {
    /// Returns whether the next attempt should be another daemon's: the upstreams are out of reach,
    /// or an attempt failed and no upstream shows that this daemon's links work.
    pub(super) fn is_due(
        &self,
        shared: &Shared,
        inbound: &InboundRequest,
        runs: &Runs,
        has_link_failure: bool,
    ) -> bool {
        let service = &inbound.service.name;
        let is_due = {
            let reach = shared.reach();
            let is_doubtful = reach.is_doubtful(service, Instant::now());
            reach.is_lost(service) || (has_link_failure && is_doubtful)
        };
        is_due && self.is_possible(inbound, runs)
    }

    /// Returns whether the call can be handed over, or once more.
    fn is_possible(&self, inbound: &InboundRequest, runs: &Runs) -> bool {
        runs.left() > 0 && self.has_peer(inbound)
    }

    /// Returns whether a daemon is left that the call can be handed over to.
    pub(super) fn has_peer(&self, inbound: &InboundRequest) -> bool {
        let is_allowed = inbound.handover.is_none()
            && self.tried.len() < MAX_HANDOVERS
            && inbound.remaining() >= MIN_RETRY_TIME;
        let service = &inbound.service.name;
        is_allowed && self.client.has_candidate(service, &self.tried)
    }

    /// Returns whether the call, for which no upstream is left, can be handed over: it was not yet,
    /// and nothing has run.
    pub(super) fn is_last_resort(&self, inbound: &InboundRequest, runs: &Runs) -> bool {
        self.tried.is_empty() && runs.taken() == 0 && self.is_possible(inbound, runs)
    }

    /// Hands the call over and reads the answer.
    pub(super) async fn attempt(
        &mut self,
        shared: &Shared,
        inbound: &InboundRequest,
        runs: &mut Runs,
        cleared: Cleared,
    ) -> Attempt {
        let may_have_reached = runs.may_have_reached();
        let retry = match may_have_reached {
            true => shared.acquire_retry(&inbound.service.name, Instant::now()),
            false => None,
        };
        let handed_over = HandedOver::new(self.attempts.attempts(), retry);
        let allotment = runs.allot();
        let head = HandoverHead {
            version: inbound.version,
            may_have_reached,
            runs: runs.not_left_to(allotment),
            max_runs: Some(allotment.places),
            ..HandoverHead::default()
        };
        // Leaves time for another attempt if one is allowed.
        let timeout = match runs.left() {
            0 => inbound.remaining(),
            _ => inbound.remaining() / 2,
        };
        let tried = &mut self.tried;
        let sending = self
            .client
            .send(inbound, &head, &handed_over, tried, cleared);
        let sent = tokio::time::timeout(timeout, sending).await;
        let sent = sent.unwrap_or(Err(HandoverError::Lost));
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(e) => return failed(runs, allotment, e),
        };
        let (parts, body) = exchange.response.into_parts();
        let memory = shared.memory().reservation();
        memory.complete();
        let body = body::read_whole(body, MAX_RESPONSE_BYTES, None, memory);
        let Ok(Ok(body)) = tokio::time::timeout(inbound.remaining(), body).await else {
            return failed(runs, allotment, HandoverError::Lost);
        };
        self.client.keep(exchange.connection);
        Attempt::Completed {
            status: parts.status,
            headers: parts.headers,
            body,
        }
    }
}

/// Returns a failed attempt of another daemon.
fn failed(runs: &mut Runs, allotment: Allotment, error: HandoverError) -> Attempt {
    runs.end_handover(allotment, error);
    failed_attempt(error.verdict(), error.reason())
}
