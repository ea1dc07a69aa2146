//! Attempts of a stream by another daemon.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::HeaderMap;
use http::StatusCode;
use kelpworks::sync::lock;
use tokio::time::Instant;

use super::ActiveStream;
use super::EventSplitter;
use super::Failure;
use super::MIN_RETRY_TIME;
use super::RunningPath;
use super::StreamConnection;
use super::StreamRelay;
use super::Survival;
use super::attempt::Reservation;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::pool::Exchange;
use crate::relay::handover::HandedOver;
use crate::relay::handover::HandoverError;
use crate::relay::handover::HandoverHead;
use crate::relay::handover::MAX_HANDOVERS;
use crate::relay::runs::RanAt;

impl<D: Adapter, E: EngineApi> StreamRelay<D, E> {
    /// Returns whether the next attempt should be another daemon's: the engines are out of reach, or
    /// an attempt of this daemon failed and no engine shows that its links work. It is false if no
    /// daemon is known that reaches them.
    pub(super) fn prefers_peer(&self) -> bool {
        let is_preferred = {
            let reach = self.shared.reach();
            let service = &self.inbound.service.name;
            let is_doubtful = reach.is_doubtful(service, Instant::now());
            reach.is_lost(service) || (self.has_link_failure() && is_doubtful)
        };
        is_preferred && self.has_peer()
    }

    /// Returns whether the engines are out of reach and another daemon is known that reaches them.
    pub(super) fn needs_peer(&self) -> bool {
        let is_lost = self.shared.reach().is_lost(&self.inbound.service.name);
        is_lost && self.has_peer()
    }

    /// Returns whether a daemon is left that the request can be handed over to.
    pub(super) fn has_peer(&self) -> bool {
        let is_allowed = self.inbound.handover.is_none()
            && self.tried_peers.len() < MAX_HANDOVERS
            && self.has_engine_left()
            && self.inbound.remaining() >= MIN_RETRY_TIME;
        let service = &self.inbound.service.name;
        is_allowed
            && self
                .clients
                .handover
                .has_candidate(service, &self.tried_peers)
    }

    /// Returns whether the request, which finds no path after a failure of a link, is to be handed
    /// over for the first time.
    pub(super) fn is_last_resort(&self) -> bool {
        self.has_link_failure() && self.tried_peers.is_empty() && self.has_peer()
    }

    fn has_link_failure(&self) -> bool {
        self.has_link_failure.load(Ordering::Relaxed)
    }

    /// Returns the incarnations where the request may have run and that are still known.
    fn ran_at_instances(&self) -> Vec<Arc<str>> {
        let fleet = self.shared.fleet();
        let ran_at = self.runs.ran_at().iter();
        let known = ran_at.filter(|r| fleet.key_of(&r.upstream.instance).is_some());
        known.map(RanAt::instance).collect()
    }

    /// Hands the request over and waits for the head of the response.
    pub(super) async fn attempt_by_peer(&mut self) -> Result<(StatusCode, HeaderMap), Failure> {
        let cleared = self.check_crashes()?;
        let may_have_reached = self.runs.may_have_reached();
        self.attempts += 1;
        let allotment = self.runs.allot();
        let retry = lock(&self.retry).take();
        let handed_over = HandedOver::new(self.written.attempts(), retry);
        let head = HandoverHead {
            version: self.inbound.version,
            after: self.last_event,
            weight_version: self.weight_version,
            may_have_reached,
            runs: self.runs.not_left_to(allotment),
            ran_at: self.ran_at_instances(),
            max_runs: Some(allotment.places),
            ..HandoverHead::default()
        };
        let sent = Instant::now();
        let mut tried_peers = std::mem::take(&mut self.tried_peers);
        let handover = Arc::clone(&self.clients.handover);
        let tried = &mut tried_peers;
        let sending = handover.send(&self.inbound, &head, &handed_over, tried, cleared);
        let result = self.wait_for_first(sending, &[], sent).await;
        self.tried_peers = tried_peers;
        if let Ok(Err(e)) = &result {
            self.runs.end_handover(allotment, *e);
        }
        if let Ok(Err(_)) = &result {
            *lock(&self.retry) = handed_over.take_retry();
        }
        let exchange = result?.map_err(failure_of)?;
        let Exchange {
            response,
            connection,
            ..
        } = exchange;
        let answer_head = D::decode_answer_head(response.headers());
        self.weight_version = self.weight_version.or(answer_head.weight_version);
        let (parts, body) = response.into_parts();
        self.active = Some(ActiveStream {
            body,
            connection: StreamConnection::Peer(connection),
            running_path: RunningPath {
                parts: Vec::new(),
                reroutes: 0,
                last_slowness_check: None,
                _reservation: Reservation::acquire(&self.shared, &[], 0.0),
            },
            splitter: EventSplitter::default(),
            event_memory: self.event_memory(),
            last_received: sent,
            started: false,
            survival: Survival::default(),
        });
        Ok((parts.status, parts.headers))
    }
}

fn failure_of(error: HandoverError) -> Failure {
    Failure::new(error.verdict(), error.reason())
}
