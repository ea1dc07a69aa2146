//! Orders to engines: sent to several at the same time, each with the number of orders that its engine
//! must have begun.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kelpworks::executor::LeaseHandle;
use kelpworks_coord::lease::Token;
use log::info;
use tokio::time::Instant;

use super::MAX_ORDER_CONFLICTS;
use super::Placer;
use crate::adapter::DisplacementPolicy;
use crate::adapter::EngineApi;
use crate::adapter::EngineReport;
use crate::adapter::OrderReply;
use crate::adapter::PlaceOrder;
use crate::assignments::LayerAssignment;
use crate::engine_calls::EngineCalls;
use crate::fleet::UpstreamKey;
use crate::layout::Placement;
use crate::peers::Peers;
use crate::shared::Shared;

/// Delay before another order to an engine that did not accept one.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Orders that are sent at the same time. In a large fleet thousands of engines register within
/// seconds, and each order takes one or two round trips.
pub(super) const MAX_CONCURRENT_ORDERS: usize = 32;

/// An order that is to be sent.
#[derive(Clone, Debug)]
pub(super) struct Order {
    placement: Placement,
    id: Arc<str>,
    key: UpstreamKey,
    /// Number of orders that the engine has begun; `None` if it has to be queried first.
    begun: Option<u64>,
    /// What happens to requests that use the layers which it replaces.
    displacement: DisplacementPolicy,
    /// Longest time for which the engine waits for those requests.
    wait: Duration,
}

/// What became of an order.
pub(super) struct OrderOutcome {
    /// Number of orders that the engine must have begun; `None` if it can't take this one.
    expected: Option<u64>,
    /// Whether the engine was queried first.
    is_queried: bool,
    /// Its report, if it was queried and answered.
    report: Option<EngineReport>,
    /// `None` if the order was not sent.
    reply: Option<OrderReply>,
}

impl OrderOutcome {
    pub(super) fn is_conflict(&self) -> bool {
        self.reply == Some(OrderReply::Conflict)
    }
}

/// Orders to engines of one service.
pub(super) struct Dispatch {
    pub(super) service: Arc<str>,
    /// Fencing token under which they were planned.
    pub(super) token: Token,
    pub(super) orders: Vec<Order>,
}

/// What became of a [`Dispatch`].
pub(super) struct DispatchOutcome {
    pub(super) service: Arc<str>,
    pub(super) token: Token,
    /// The orders that were decided. The others were planned under a lease that was lost meanwhile, or by an acting leader
    /// that yields.
    pub(super) outcomes: Vec<(Order, OrderOutcome)>,
}

/// Sends orders while this daemon leads.
pub(super) struct OrderSender<E> {
    pub(super) shared: Arc<Shared>,
    pub(super) lease_handle: Arc<LeaseHandle>,
    pub(super) peers: Arc<Peers>,
    pub(super) engine_calls: Arc<EngineCalls<E>>,
}

impl<E: EngineApi> OrderSender<E> {
    /// Sends orders to the engines of a service, to several at the same time.
    pub(super) async fn dispatch(&self, dispatch: Dispatch) -> DispatchOutcome {
        let Dispatch {
            service,
            token,
            orders,
        } = dispatch;
        let mut outcomes: Vec<(Order, OrderOutcome)> = Vec::with_capacity(orders.len());
        for some in orders.chunks(MAX_CONCURRENT_ORDERS) {
            let is_acting_leader = self.lease_handle.fencing_token().is_none();
            let conflicts = outcomes.iter().filter(|(_, o)| o.is_conflict()).count();
            let yields = is_acting_leader && conflicts >= MAX_ORDER_CONFLICTS;
            if yields || self.current_token() != Some(token) {
                break;
            }
            let sent = some.iter().map(|order| self.send_order(order, token));
            let replies = join_all(sent).await;
            outcomes.extend(some.iter().cloned().zip(replies));
        }
        DispatchOutcome {
            service,
            token,
            outcomes,
        }
    }

    /// Sends an order, after a query of the engine where its number of orders is not known.
    async fn send_order(&self, order: &Order, token: Token) -> OrderOutcome {
        let mut outcome = OrderOutcome {
            expected: order.begun,
            is_queried: order.begun.is_none(),
            report: None,
            reply: None,
        };
        if outcome.is_queried {
            outcome.report = self.engine_calls.report(order.key).await;
            log_query(&order.placement.instance, outcome.report.as_ref());
            outcome.expected = self.expected_orders(order, outcome.report.as_ref());
        }
        let Some(expected) = outcome.expected else {
            return outcome;
        };
        // The lease may have been lost while the engine was queried.
        if self.current_token() != Some(token) {
            return outcome;
        }
        let request = PlaceOrder {
            id: &order.id,
            layers: order.placement.layers,
            displacement: order.displacement,
            expected,
            fencing_token: token.0,
        };
        outcome.reply = Some(self.engine_calls.place(order.key, request).await);
        outcome
    }

    /// Returns the fencing token for an order that is sent now; `None` while this daemon does not
    /// lead.
    fn current_token(&self) -> Option<Token> {
        self.lease_handle.fencing_token().or_else(|| {
            let is_acting_leader = self.peers.is_acting_leader();
            is_acting_leader.then(|| self.lease_handle.latest_token())
        })
    }

    /// Returns the number of orders that an engine has begun by its report. Returns `None` when it
    /// can't take another one now, or when its layers differ from those that the plan was made for.
    fn expected_orders(&self, order: &Order, report: Option<&EngineReport>) -> Option<u64> {
        let report = report.filter(|r| !r.busy)?;
        let instance = &order.placement.instance;
        if self.shared.detect_restart(instance, report.start) {
            return None;
        }
        if report.layers.is_none() {
            return Some(report.orders);
        }
        let fleet = self.shared.fleet();
        let recorded_layers = fleet.key_of(instance).and_then(|k| fleet.get(k)?.layers);
        (recorded_layers == report.layers).then_some(report.orders)
    }
}

impl<E: EngineApi> Placer<E> {
    /// Returns the order of a placement; `None` when the engine is gone. An engine that replaces layers treats the
    /// requests that use them by `displacement`, and waits for them for at most `wait`.
    pub(super) fn order(
        &self,
        placement: Placement,
        displacement: DisplacementPolicy,
        wait: Duration,
    ) -> Option<Order> {
        let fleet = self.shared.fleet();
        let key = fleet.key_of(&placement.instance)?;
        let upstream = fleet.get(key)?;
        let reported_orders = fleet.assignments().orders(&placement.instance);
        let begun = self.begun_orders.get(&placement.instance).copied();
        let (displacement, wait) = match placement.moves {
            true => (displacement, wait),
            false => (DisplacementPolicy::Drain, Duration::ZERO),
        };
        Some(Order {
            id: Arc::clone(&upstream.entry.id),
            key,
            begun: begun.unwrap_or(reported_orders),
            displacement,
            wait,
            placement,
        })
    }

    /// Records what became of an order.
    pub(super) fn apply_outcome(&mut self, order: &Order, token: Token, outcome: OrderOutcome) {
        let instance = &order.placement.instance;
        if let Some(report) = outcome.report.filter(|r| !r.busy) {
            self.record_report(instance, &report);
        }
        let (Some(expected), Some(reply)) = (outcome.expected, outcome.reply) else {
            if outcome.is_queried {
                self.back_off_orders(instance);
            }
            return;
        };
        self.log_order(order, expected, token.0, reply);
        match reply {
            OrderReply::Accepted => {
                self.begun_orders
                    .insert(Arc::clone(instance), Some(expected + 1));
                self.record_order(order, expected + 1);
            }
            // A lost order may still be carried out: the engine is queried before the next one.
            OrderReply::Lost | OrderReply::Conflict | OrderReply::Refused => {
                self.begun_orders.insert(Arc::clone(instance), None);
                self.back_off_orders(instance);
            }
        }
    }

    /// Records the orders and the layers that an idle engine reports.
    fn record_report(&mut self, instance: &Arc<str>, report: &EngineReport) {
        self.begun_orders
            .insert(Arc::clone(instance), Some(report.orders));
        let Some(layers) = report.layers else {
            return;
        };
        let assignment = LayerAssignment {
            orders: report.orders,
            layers,
            loaded: true,
        };
        let mut fleet = self.shared.fleet();
        let recorded_layers = fleet.key_of(instance).and_then(|k| fleet.get(k)?.layers);
        if recorded_layers != report.layers {
            fleet.learn_assignment(instance, assignment, Duration::ZERO, Instant::now());
        }
    }

    /// Records an accepted order. The engine accepts no requests until it has carried the order
    /// out.
    fn record_order(&mut self, order: &Order, orders: u64) {
        let assignment = LayerAssignment {
            orders,
            layers: order.placement.layers,
            loaded: false,
        };
        let now = Instant::now();
        let mut fleet = self.shared.fleet();
        let instance = &order.placement.instance;
        fleet.learn_displacing_assignment(instance, assignment, order.wait, Duration::ZERO, now);
    }

    fn back_off_orders(&mut self, instance: &Arc<str>) {
        self.backoff_until
            .insert(Arc::clone(instance), Instant::now() + ORDER_RETRY_DELAY);
    }

    fn log_order(&self, order: &Order, expected: u64, fencing_token: u64, reply: OrderReply) {
        let placement = &order.placement;
        let reply = reply.as_str();
        info!(
            target: "decision",
            upstream:% = placement.instance,
            from = placement.layers.from,
            to = placement.layers.to,
            moves = placement.moves,
            displacement:% = order.displacement.as_str(),
            wait_ms = order.wait.as_millis() as u64,
            expected,
            fence = fencing_token,
            fleet_version:% = self.shared.fleet().version(),
            outcome:% = reply;
            "layers ordered"
        );
        metrics::counter!("kelpworks_orders_total", "outcome" => reply).increment(1);
    }
}

fn log_query(instance: &str, report: Option<&EngineReport>) {
    info!(
        target: "decision",
        upstream:% = instance,
        answered = report.is_some(),
        busy = report.is_some_and(|r| r.busy),
        orders = report.map_or(0, |r| r.orders),
        holds:? = report.and_then(|r| r.layers);
        "engine queried"
    );
}
