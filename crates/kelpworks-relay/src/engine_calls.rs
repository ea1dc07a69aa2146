//! Orders and queries to engines, sent only while the engines accept them.
//!
//! Engines get no order and no query during a backoff that they requested, and no new layers after
//! they stated that they are leaving. Their answers to orders and queries may announce both, as
//! their answers to requests may.

use std::sync::Arc;

use http::StatusCode;
use log::info;
use tokio::time::Instant;

use crate::adapter::EngineAnswer;
use crate::adapter::EngineApi;
use crate::adapter::EngineReport;
use crate::adapter::OrderReply;
use crate::adapter::PlaceOrder;
use crate::adapter::RerouteOrder;
use crate::adapter::StartTime;
use crate::adapter::UpstreamEntry;
use crate::clearance::Clearance;
use crate::constraints::Announced;
use crate::constraints::MessageKind;
use crate::fleet::UpstreamKey;
use crate::shared::Shared;
use crate::shared::announcements::Announcements;
use crate::shared::announcements::AnsweredMessage;
use crate::shared::announcements::requested_backoff;

/// The client of the engines, with the constraints that they announce.
#[derive(Debug)]
pub(crate) struct EngineCalls<E> {
    shared: Arc<Shared>,
    api: E,
}

impl<E: EngineApi> EngineCalls<E> {
    pub(crate) fn new(shared: Arc<Shared>, api: E) -> EngineCalls<E> {
        EngineCalls { shared, api }
    }

    /// Queries the state of an engine; `None` when it accepts no query, does not answer, or its
    /// answer is malformed.
    pub(crate) async fn report(&self, key: UpstreamKey) -> Option<EngineReport> {
        let clearance = self.clear(key, MessageKind::Query)?;
        let answer = self.api.report(&clearance).await;
        // A query names no engine, so another one at the address may have answered it.
        let start = answer.value.as_ref().and_then(|r| r.start);
        let is_own = start.is_some() && self.registered_start(key) == start;
        self.apply(key, &clearance, &answer, is_own, "");
        answer.value
    }

    /// Asks at the address of a registered upstream that has no effect which upstream answers there; `None` when none
    /// does.
    pub(crate) async fn identify(&self, entry: &UpstreamEntry, path: &str) -> Option<Box<str>> {
        let clearance = Clearance::new(entry.address, MessageKind::Query, Instant::now());
        self.api.identify(&clearance, path, &entry.id).await.value
    }

    /// Orders an engine to load layers; refused when it accepts no such order.
    pub(crate) async fn place(&self, key: UpstreamKey, order: PlaceOrder<'_>) -> OrderReply {
        let Some(clearance) = self.clear(key, MessageKind::LayerOrder) else {
            return OrderReply::Refused;
        };
        let answer = self.api.place(&clearance, order).await;
        self.apply(key, &clearance, &answer, true, "");
        answer.value
    }

    /// Orders the first engine of a request's path to change the path; refused when it accepts no
    /// such order.
    pub(crate) async fn reroute(&self, key: UpstreamKey, order: RerouteOrder<'_>) -> OrderReply {
        let Some(clearance) = self.clear(key, MessageKind::RerouteOrder) else {
            return OrderReply::Refused;
        };
        let answer = self.api.reroute(&clearance, order).await;
        self.apply(key, &clearance, &answer, true, order.request);
        answer.value
    }

    /// Permits a message; `None`, logged, when a constraint of the engine does not allow it or the
    /// engine is gone.
    fn clear(&self, key: UpstreamKey, kind: MessageKind) -> Option<Clearance> {
        let now = Instant::now();
        let fleet = self.shared.fleet();
        let upstream = fleet.get(key)?;
        if upstream.constraints.allows(kind, now) {
            return Some(Clearance::new(upstream.entry.address, kind, now));
        }
        info!(
            target: "decision",
            upstream:% = upstream.entry.instance,
            kind:% = kind.as_str(),
            backoff_ms = upstream.constraints.backoff(now).as_millis() as u64,
            leaving = upstream.constraints.is_leaving();
            "message withheld"
        );
        metrics::counter!("kelpworks_withheld_total", "kind" => kind.as_str()).increment(1);
        None
    }

    fn registered_start(&self, key: UpstreamKey) -> Option<StartTime> {
        self.shared.fleet().get(key)?.entry.start
    }

    /// Applies what an answer announces. `is_own` is whether it is known to come from this
    /// incarnation of the engine; if not, it may request a backoff, which ends by itself, but does
    /// not show that the engine is leaving.
    fn apply<T>(
        &self,
        key: UpstreamKey,
        clearance: &Clearance,
        answer: &EngineAnswer<T>,
        is_own: bool,
        request: &str,
    ) {
        let Some((status, head)) = &answer.head else {
            return;
        };
        if *status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let announced = Announcements {
            limit: None,
            backoff: requested_backoff(*status, head),
            leaving: match is_own {
                true => head.leaving,
                false => Announced::Absent,
            },
        };
        let message = AnsweredMessage {
            source: clearance.kind().as_str(),
            request,
            sent_at: clearance.sent_at(),
        };
        self.shared.apply_announcements(key, announced, message);
    }
}
