//! Attempts of a call by another daemon.

use std::net::SocketAddr;

use kelpworks::body;
use kelpworks::verdict::Verdict;
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
use crate::relay::handover::allot_runs;
use crate::shared::Shared;
use crate::shared::crashes::Cleared;

/// The ways of a call by other daemons.
pub(super) struct CallHandover<'a> {
    pub(super) client: &'a HandoverClient,
    pub(super) attempts: &'a RequestAttempts,
    /// Daemons that it was handed over to.
    pub(super) tried: Vec<SocketAddr>,
    /// Number of attempts, of any daemon, that may have run.
    pub(super) runs: u32,
}

impl CallHandover<'_> {
    /// Returns whether the next attempt should be another daemon's: the upstreams are out of reach,
    /// or an attempt failed and no upstream shows that this daemon's links work.
    pub(super) fn is_due(
        &self,
        shared: &Shared,
        inbound: &InboundRequest,
        has_link_failure: bool,
    ) -> bool {
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
            && (self.runs == 0 || self.runs < inbound.route.max_attempts)
            && inbound.remaining() >= MIN_RETRY_TIME;
        let service = &inbound.service.name;
        is_allowed && self.client.has_candidate(service, &self.tried)
    }

    /// Returns whether the call, for which no upstream is left, can be handed over: it was not yet,
    /// and nothing has run.
    pub(super) fn is_last_resort(&self, inbound: &InboundRequest) -> bool {
        self.tried.is_empty() && self.runs == 0 && self.is_possible(inbound)
    }

    /// Hands the call over and reads the answer.
    pub(super) async fn attempt(
        &mut self,
        shared: &Shared,
        inbound: &InboundRequest,
        may_have_reached: bool,
        cleared: Cleared,
    ) -> Attempt {
        let retry = match may_have_reached {
            true => shared.acquire_retry(&inbound.service.name, Instant::now()),
            false => None,
        };
        let handed_over = HandedOver::new(self.attempts.attempts(), retry);
        let left = match inbound.route.kind.is_retryable() {
            true => inbound.route.max_attempts.saturating_sub(self.runs),
            false => 1,
        };
        let max_runs = allot_runs(left);
        let head = HandoverHead {
            version: inbound.version,
            may_have_reached,
            runs: self.runs,
            max_runs: Some(max_runs),
            ..HandoverHead::default()
        };
        // A retryable call leaves time for another attempt.
        let timeout = match inbound.route.kind.is_retryable() {
            true => inbound.remaining() / 2,
            false => inbound.remaining(),
        };
        let tried = &mut self.tried;
        let sending = self
            .client
            .send(inbound, &head, &handed_over, tried, cleared);
        let sent = tokio::time::timeout(timeout, sending).await;
        let sent = sent.unwrap_or(Err(HandoverError::Lost));
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(e) => return self.failed(e, max_runs),
        };
        let (parts, body) = exchange.response.into_parts();
        let memory = shared.memory().reservation();
        memory.complete();
        let body = body::read_whole(body, MAX_RESPONSE_BYTES, None, memory);
        let Ok(Ok(body)) = tokio::time::timeout(inbound.remaining(), body).await else {
            return self.failed(HandoverError::Lost, max_runs);
        };
        self.client.keep(exchange.connection);
        Attempt::Completed {
            status: parts.status,
            headers: parts.headers,
            body,
        }
    }

    /// Returns a failed attempt of another daemon, which may have run the call at `max_runs` upstreams.
    fn failed(&mut self, error: HandoverError, max_runs: u32) -> Attempt {
        let verdict = error.verdict();
        if verdict == Verdict::MayHaveRun {
            // One is counted with the attempt itself.
            self.runs += max_runs.saturating_sub(1);
        }
        failed_attempt(verdict, error.reason())
    }
}
