//! Gives engines their layers: one daemon at a time, by a lease.
//!
//! The holder plans from what engines registered and from what they said since, and sends each order
//! on the condition that the engine has begun as many orders as the holder knows of. An order that
//! is carried out late, or comes from a daemon that lost the lease unnoticed, then finds its
//! condition gone.
//!
//! When peers hear nothing of a holder, because it died or the store is down, one of them leads
//! at once. That is safe for the same reason: of two orders to one engine only the first is begun.
//! The lease keeps two from giving orders all the time; it is not what protects an engine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kelpworks::executor::LeaseHandle;
use kelpworks_coord::lease::Token;
use log::info;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::adapter::DisplacementPolicy;
use crate::adapter::EngineApi;
use crate::adapter::EngineReport;
use crate::adapter::LayerRange;
use crate::adapter::Lifecycle;
use crate::adapter::OrderReply;
use crate::adapter::PlaceOrder;
use crate::assignments::LayerAssignment;
use crate::assignments::LayerAssignments;
use crate::config::EngineProfile;
use crate::fleet::Upstream;
use crate::layout;
use crate::layout::EngineState;
use crate::layout::Placement;
use crate::peers::LeadershipBasis;
use crate::peers::Peers;
use crate::peers::StoreKind;
use crate::shared::Shared;

/// Time between two looks at the fleet.
const INTERVAL: Duration = Duration::from_millis(250);
/// How long a new fleet must stay as it is before the first plan: entries of engines that start
/// together come within about a heartbeat.
const SETTLE: Duration = Duration::from_millis(600);
/// Time between two questions to an engine whether it has loaded what it was ordered to. Each costs
/// little, and its answer comes up to a second before its registration.
const ASK: Duration = Duration::from_millis(300);
/// Pause before an order that was not accepted is given again.
const AGAIN: Duration = Duration::from_secs(1);

/// Part of an engine's room up to which a refusal can't be for want of it: promises exceed use by a
/// fifth.
const FAR_FROM_FULL: f64 = 0.7;
/// Orders refused in one look, since others were begun before them, after which an acting leader leaves
/// the rest to whoever gave those: one or two may have been carried out late.
const MAX_CONFLICTS: u32 = 3;

/// By what right a daemon gives orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Authority {
    /// It holds the lease.
    Lease(Token),
    /// It leads in place of a holder that nobody hears; with the highest token that it saw.
    Acting(Token),
}

impl Authority {
    fn token(self) -> Token {
        match self {
            Authority::Lease(token) | Authority::Acting(token) => token,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Authority::Lease(_) => "lease",
            Authority::Acting(_) => "acting leader",
        }
    }
}

/// An engine that is loading what it was ordered to.
struct Loading {
    instance: Arc<str>,
    address: SocketAddr,
    holding: LayerAssignment,
}

/// Plans and orders while this daemon holds the lease.
#[derive(Debug)]
pub(crate) struct Placer<E> {
    shared: Arc<Shared>,
    hold: Arc<LeaseHandle>,
    peers: Arc<Peers>,
    engines: Arc<E>,
    /// Whether this daemon gives orders at present, and by what right.
    authority: Option<Authority>,
    /// When engines that load are asked next.
    asked: HashMap<Arc<str>, Instant>,
    /// Orders that each incarnation has begun, as far as known; none where it has to be asked before
    /// the next order.
    counts: HashMap<Arc<str>, Option<u64>>,
    not_before: HashMap<Arc<str>, Instant>,
    /// Number of engines at the last look, and since when.
    seen: (usize, Instant),
}

impl<E: EngineApi> Placer<E> {
    /// A placer that has ordered nothing.
    pub(crate) fn new(
        shared: Arc<Shared>,
        hold: Arc<LeaseHandle>,
        peers: Arc<Peers>,
        engines: Arc<E>,
    ) -> Placer<E> {
        Placer {
            shared,
            hold,
            peers,
            engines,
            authority: None,
            asked: HashMap::new(),
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
            self.expire();
            if self.authority().is_none() {
                self.counts.clear();
                self.asked.clear();
                continue;
            }
            self.ask_loading().await;
            self.look().await;
        }
    }

    /// By what right this daemon may give orders now; to be asked for right before each order.
    fn authority(&mut self) -> Option<Authority> {
        let authority = match self.hold.fencing_token() {
            Some(token) => {
                self.peers.record_leading(LeadershipBasis::Lease);
                Some(Authority::Lease(token))
            }
            None => {
                let is_acting_leader = self.peers.is_acting_leader();
                if is_acting_leader {
                    self.peers.record_leading(LeadershipBasis::Acting);
                }
                is_acting_leader.then(|| Authority::Acting(self.hold.latest_token()))
            }
        };
        if authority != self.authority {
            info!(
                target: "decision",
                by:% = authority.map_or("nothing", Authority::as_str),
                token = authority.map_or(0, |a| a.token().0);
                "leadership"
            );
            self.authority = authority;
        }
        authority
    }

    /// Goes back to the registrations of engines whose own word was not confirmed in time, or that did
    /// not register again.
    fn expire(&self) {
        let registrations_come = self.peers.has_fresh_store_view(StoreKind::Upstreams);
        let now = Instant::now();
        let over = self
            .shared
            .fleet()
            .expire_assignments(registrations_come, now);
        for instance in over {
            info!(target: "decision", upstream:% = instance; "reported layers expired");
        }
        let changes = self.shared.fleet().expire_restored(now);
        if let Some(changes) = changes {
            self.shared
                .upstreams_changed(&changes, "entries that were not written again");
        }
    }

    /// Asks engines that should have loaded by now what they hold.
    async fn ask_loading(&mut self) {
        let due = self.due();
        let next = Instant::now() + ASK;
        for loading in &due {
            self.asked.insert(Arc::clone(&loading.instance), next);
        }
        let reports = due.iter().map(|l| self.engines.report(l.address));
        let reports = join_all(reports).await;
        for (loading, report) in due.iter().zip(reports) {
            let Some(report) = report.filter(|r| !r.busy) else {
                continue;
            };
            self.loaded(loading, &report);
        }
    }

    /// Engines whose load takes no longer by the configuration, and that were not asked just now.
    fn due(&self) -> Vec<Loading> {
        let now = Instant::now();
        let table = self.shared.table.load();
        let fleet = self.shared.fleet();
        let words = fleet.assignments().unconfirmed_reports(usize::MAX, now);
        let due = words.into_iter().filter_map(|(instance, holding, age)| {
            let entry = &fleet.get(fleet.key_of(&instance)?)?.entry;
            let service = table.service(&entry.service)?;
            let loading = loading_time(service.engines.as_deref()?, holding.layers);
            let waits = self.asked.get(&instance).is_some_and(|&at| now < at);
            let is_due = !holding.loaded && age >= loading && !waits;
            is_due.then_some(Loading {
                address: entry.address,
                instance,
                holding,
            })
        });
        due.collect()
    }

    /// Takes the word of an engine that is no longer busy.
    fn loaded(&mut self, loading: &Loading, report: &EngineReport) {
        let Loading {
            instance, holding, ..
        } = loading;
        if self.shared.started_anew(instance, report.start) {
            return;
        }
        let Some(layers) = report.layers else {
            return;
        };
        // An engine that holds something else was ordered past this daemon.
        let told = LayerAssignment {
            orders: report.orders.max(holding.orders),
            layers,
            loaded: true,
        };
        let now = Instant::now();
        let mut fleet = self.shared.fleet();
        let is_news = fleet.learn_assignment(instance, told, Duration::ZERO, now);
        drop(fleet);
        self.counts
            .insert(Arc::clone(instance), Some(report.orders));
        if is_news {
            self.shared.notify_state_change();
            info!(
                target: "decision",
                upstream:% = instance,
                from = layers.from,
                to = layers.to,
                orders = report.orders;
                "layers loaded"
            );
        }
    }

    async fn look(&mut self) {
        let table = self.shared.table.load_full();
        let mut conflicts = 0;
        for service in table.services() {
            let Some(engines) = service.engines.clone() else {
                continue;
            };
            for placement in self.plan(&service.name, &engines) {
                let reply = self.order(&placement).await;
                conflicts += u32::from(reply == Some(OrderReply::Conflict));
                if conflicts >= MAX_CONFLICTS && self.is_acting_leader() {
                    info!(target: "decision", conflicts; "leadership conflict, backing off");
                    self.peers.back_off();
                    return;
                }
            }
        }
    }

    fn is_acting_leader(&self) -> bool {
        matches!(self.authority, Some(Authority::Acting(_)))
    }

    /// The orders that are due for a service.
    fn plan(&mut self, service: &str, engines: &EngineProfile) -> Vec<Placement> {
        let now = Instant::now();
        let shared = Arc::clone(&self.shared);
        let fleet = shared.fleet();
        let open = |u: &&Upstream| {
            let is_gone = u.is_presumed_lost(now) || is_closed(u, engines);
            u.entry.lifecycle == Lifecycle::Ready && !is_gone
        };
        let upstreams: Vec<&Upstream> = fleet
            .of_service(service)
            .map(|(_, u)| u)
            .filter(open)
            .collect();
        if upstreams.len() != self.seen.0 {
            self.seen = (upstreams.len(), now);
        }
        let host = |u: &&Upstream| host(u, fleet.assignments());
        let hosts: Vec<EngineState> = upstreams.iter().filter_map(host).collect();
        let fresh = hosts.iter().all(|h| h.layers.is_none());
        if fresh && now.duration_since(self.seen.1) < SETTLE {
            return Vec::new();
        }
        let mut orders = layout::plan(engines, &hosts);
        orders.retain(|o| self.not_before.get(&o.instance).is_none_or(|&at| at <= now));
        orders
    }

    /// Gives an order; `None` when none was sent.
    async fn order(&mut self, placement: &Placement) -> Option<OrderReply> {
        let authority = self.authority()?;
        let fence = authority.token();
        let (address, id) = {
            let fleet = self.shared.fleet();
            let upstream = fleet.get(fleet.key_of(&placement.instance)?)?;
            (upstream.entry.address, Arc::clone(&upstream.entry.id))
        };
        let instance = &placement.instance;
        let told = self.shared.fleet().assignments().orders(instance);
        let known = self.counts.get(instance).copied().unwrap_or(told);
        let expected = match known {
            Some(count) => count,
            None => match self.ask(instance, address).await {
                Some(orders) => orders,
                None => {
                    self.put_off(instance);
                    return None;
                }
            },
        };
        let order = PlaceOrder {
            id: &id,
            layers: placement.layers,
            displacement: match placement.moves {
                true => DisplacementPolicy::Abort,
                false => DisplacementPolicy::Drain,
            },
            expected,
            fencing_token: fence.0,
        };
        let reply = self.engines.place(address, order).await;
        self.log(placement, expected, fence.0, reply);
        match reply {
            OrderReply::Accepted => {
                self.counts.insert(Arc::clone(instance), Some(expected + 1));
                self.remember(placement, expected + 1);
            }
            // A lost one may still be carried out; the engine is asked before the next order.
            OrderReply::Lost | OrderReply::Conflict | OrderReply::Refused => {
                self.counts.insert(Arc::clone(instance), None);
                self.put_off(instance);
            }
        }
        Some(reply)
    }

    /// Asks an engine how many orders it has begun; `None` when it can't take another one now, or
    /// holds other layers than the plan was made for.
    async fn ask(&mut self, instance: &Arc<str>, address: SocketAddr) -> Option<u64> {
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
        let report = report.filter(|r| !r.busy)?;
        if self.shared.started_anew(instance, report.start) {
            return None;
        }
        self.counts
            .insert(Arc::clone(instance), Some(report.orders));
        let Some(layers) = held else {
            return Some(report.orders);
        };
        let holding = LayerAssignment {
            orders: report.orders,
            layers,
            loaded: true,
        };
        let now = Instant::now();
        let mut fleet = self.shared.fleet();
        let believed = fleet.key_of(instance).and_then(|k| fleet.get(k)?.layers);
        if believed == held {
            return Some(report.orders);
        }
        fleet.learn_assignment(instance, holding, Duration::ZERO, now);
        None
    }

    /// Notes an order that was accepted: until it is carried out the engine can do no work.
    fn remember(&mut self, placement: &Placement, orders: u64) {
        let holding = LayerAssignment {
            orders,
            layers: placement.layers,
            loaded: false,
        };
        let now = Instant::now();
        let mut fleet = self.shared.fleet();
        fleet.learn_assignment(&placement.instance, holding, Duration::ZERO, now);
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
            fleet_version:% = self.shared.fleet().version(),
            outcome:% = reply;
            "layers ordered"
        );
        metrics::counter!("kelpworks_orders_total", "outcome" => reply).increment(1);
    }
}

/// An engine as the planner sees it: what it is loading counts as held.
fn host(upstream: &Upstream, assignments: &LayerAssignments) -> Option<EngineState> {
    let entry = &upstream.entry;
    let loading = assignments.get(&entry.instance).filter(|h| !h.loaded);
    let held = upstream.layers.filter(|r| !r.is_empty());
    Some(EngineState {
        instance: Arc::clone(&entry.instance),
        domain: Arc::clone(&entry.domain),
        kind: entry.kind.clone()?,
        layers: loading.map(|h| h.layers).or(held),
        running: upstream.load().running,
        limited: upstream.limiter.rate().is_some(),
    })
}

/// Whether an engine takes no new work though it is far from full: it is leaving, and the store can't
/// say so.
fn is_closed(upstream: &Upstream, engines: &EngineProfile) -> bool {
    let kind = upstream.entry.kind.as_deref().and_then(|k| engines.kind(k));
    let room = match (kind, upstream.layers) {
        (Some(kind), Some(layers)) => engines.kv_capacity(kind, layers.len()),
        _ => return false,
    };
    upstream.is_closed() && upstream.load().reserved < FAR_FROM_FULL * room
}

/// Time to load a range while no other engine loads.
fn loading_time(engines: &EngineProfile, layers: LayerRange) -> Duration {
    let share = f64::from(layers.len()) / f64::from(engines.layers.max(1));
    Duration::from_secs_f64(engines.load_s * share)
}
