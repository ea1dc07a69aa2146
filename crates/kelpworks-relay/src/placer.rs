//! Gives engines their layers: one daemon at a time, by a lease.
//!
//! The holder plans from what engines registered and from what it ordered since, and sends each
//! order on the condition that the engine has begun as many orders as the holder knows of. An order
//! that is carried out late, or comes from a daemon that lost the lease unnoticed, then finds its
//! condition gone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelpworks::executor::Hold;
use log::info;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::config::Engines;
use crate::dialect::Displaced;
use crate::dialect::EngineOrders;
use crate::dialect::LayerRange;
use crate::dialect::OrderReply;
use crate::dialect::PlaceOrder;
use crate::dialect::Stage;
use crate::fleet::Upstream;
use crate::layout;
use crate::layout::Host;
use crate::layout::Placement;
use crate::shared::Shared;

/// Time between two looks at the fleet.
const INTERVAL: Duration = Duration::from_millis(250);
/// How long a new fleet must stay as it is before the first plan: entries of engines that start
/// together come within about a heartbeat.
const SETTLE: Duration = Duration::from_millis(600);
/// How long an order may take to show in an engine's entry, beside the time to load its layers:
/// a heartbeat of the engine and the store's delay. After it the engine is asked itself.
const SHOWN: Duration = Duration::from_millis(1_500);
/// Pause before an order that was not accepted is given again.
const AGAIN: Duration = Duration::from_secs(1);

/// What was ordered of an engine, while its entry does not show it.
#[derive(Clone, Debug)]
struct Ordered {
    layers: LayerRange,
    /// Taken for not carried out after this.
    until: Instant,
}

/// Plans and orders while this daemon holds the lease.
#[derive(Debug)]
pub(crate) struct Placer<E> {
    shared: Arc<Shared>,
    hold: Arc<Hold>,
    engines: Arc<E>,
    ordered: HashMap<Arc<str>, Ordered>,
    /// Orders that each incarnation has begun, as far as known.
    counts: HashMap<Arc<str>, u64>,
    not_before: HashMap<Arc<str>, Instant>,
    /// Number of engines at the last look, and since when.
    seen: (usize, Instant),
}

impl<E: EngineOrders> Placer<E> {
    /// A placer that has ordered nothing.
    pub(crate) fn new(shared: Arc<Shared>, hold: Arc<Hold>, engines: Arc<E>) -> Placer<E> {
        Placer {
            shared,
            hold,
            engines,
            ordered: HashMap::new(),
            counts: HashMap::new(),
            not_before: HashMap::new(),
            seen: (0, Instant::now()),
        }
    }

    /// Looks at the fleet until it is stopped.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => {}
            }
            if self.hold.fence().is_none() {
                self.ordered.clear();
                self.counts.clear();
                continue;
            }
            self.look().await;
        }
    }

    async fn look(&mut self) {
        let table = self.shared.table.load_full();
        for service in table.services() {
            let Some(engines) = service.engines.clone() else {
                continue;
            };
            for placement in self.plan(&service.name, &engines) {
                self.order(&engines, &placement).await;
            }
        }
    }

    /// The orders that are due for a service.
    fn plan(&mut self, service: &str, engines: &Engines) -> Vec<Placement> {
        let now = Instant::now();
        let shared = Arc::clone(&self.shared);
        let fleet = shared.fleet();
        let open = |u: &&Upstream| u.entry.stage == Stage::Ready && !u.is_presumed_lost(now);
        let upstreams: Vec<&Upstream> = fleet
            .of_service(service)
            .map(|(_, u)| u)
            .filter(open)
            .collect();
        if upstreams.len() != self.seen.0 {
            self.seen = (upstreams.len(), now);
        }
        let fresh = upstreams.iter().all(|u| u.entry.layers.is_none());
        if fresh && now.duration_since(self.seen.1) < SETTLE {
            return Vec::new();
        }
        let hosts: Vec<Host> = upstreams.iter().filter_map(|u| self.host(u, now)).collect();
        let mut orders = layout::plan(engines, &hosts);
        orders.retain(|o| self.not_before.get(&o.instance).is_none_or(|&at| at <= now));
        orders
    }

    /// An engine as the planner sees it: what was ordered counts as held.
    fn host(&mut self, upstream: &Upstream, now: Instant) -> Option<Host> {
        let entry = &upstream.entry;
        let shown = entry.layers.filter(|r| !r.is_empty());
        let ordered = self.ordered.get(&entry.instance);
        let settled = ordered.is_some_and(|o| Some(o.layers) == shown || o.until <= now);
        if settled {
            self.ordered.remove(&entry.instance);
        }
        if settled && shown.is_none() {
            // What became of the order is not known: the engine is asked before the next one.
            self.counts.remove(&entry.instance);
        }
        let pending = self.ordered.get(&entry.instance).map(|o| o.layers);
        Some(Host {
            instance: Arc::clone(&entry.instance),
            domain: Arc::clone(&entry.domain),
            kind: entry.kind.clone()?,
            layers: pending.or(shown),
            running: upstream.load().running,
        })
    }

    async fn order(&mut self, engines: &Engines, placement: &Placement) {
        let Some(fence) = self.hold.fence() else {
            return;
        };
        let address = {
            let fleet = self.shared.fleet();
            let upstream = fleet.key_of(&placement.instance).and_then(|k| fleet.get(k));
            match upstream {
                Some(u) => u.entry.address,
                None => return,
            }
        };
        let instance = &placement.instance;
        let expected = match self.counts.get(instance) {
            Some(&count) => count,
            None => match self.ask(instance, address).await {
                Some(orders) => orders,
                None => {
                    self.put_off(instance);
                    return;
                }
            },
        };
        let order = PlaceOrder {
            instance,
            layers: placement.layers,
            displaced: match placement.moves {
                true => Displaced::Cut,
                false => Displaced::Finish,
            },
            expected,
            fence: fence.0,
        };
        let reply = self.engines.place(address, order).await;
        self.log(placement, expected, fence.0, reply);
        match reply {
            OrderReply::Accepted => {
                self.counts.insert(Arc::clone(instance), expected + 1);
                self.remember(engines, placement);
            }
            OrderReply::Lost => {
                // It may still be carried out; the count is asked for before the next order.
                self.counts.remove(instance);
                self.put_off(instance);
            }
            OrderReply::Conflict | OrderReply::Refused => {
                self.counts.remove(instance);
                self.put_off(instance);
            }
        }
    }

    /// Asks an engine how many orders it has begun; `None` when it can't take another one now.
    async fn ask(&self, instance: &Arc<str>, address: SocketAddr) -> Option<u64> {
        let report = self.engines.report(address).await;
        let held = report.as_ref().and_then(|r| r.layers);
        info!(
            target: "decision",
            upstream:% = instance,
            answered = report.is_some(),
            busy = report.as_ref().is_some_and(|r| r.busy),
            orders = report.as_ref().map_or(0, |r| r.orders),
            holds:? = held;
            "engine asked"
        );
        report.filter(|r| !r.busy).map(|r| r.orders)
    }

    fn remember(&mut self, engines: &Engines, placement: &Placement) {
        let share = f64::from(placement.layers.len()) / f64::from(engines.layers.max(1));
        let loading = Duration::from_secs_f64(engines.load_s * share);
        let ordered = Ordered {
            layers: placement.layers,
            // Loads slow each other down when many run at once.
            until: Instant::now() + SHOWN + loading * 2,
        };
        self.ordered
            .insert(Arc::clone(&placement.instance), ordered);
    }

    fn put_off(&mut self, instance: &Arc<str>) {
        self.not_before
            .insert(Arc::clone(instance), Instant::now() + AGAIN);
    }

    fn log(&self, placement: &Placement, expected: u64, fence: u64, reply: OrderReply) {
        let reply = reply.as_str();
        info!(
            target: "decision",
            upstream:% = placement.instance,
            from = placement.layers.from,
            to = placement.layers.to,
            expected,
            fence,
            fleet_revision = self.shared.fleet().revision(),
            outcome:% = reply;
            "layers ordered"
        );
        metrics::counter!("kelpworks_orders_total", "outcome" => reply).increment(1);
    }
}
