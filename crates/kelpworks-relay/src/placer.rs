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
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a new fleet must stay as it is before the first plan: entries of engines that start
/// together come within about a heartbeat.
const FLEET_WARM_UP: Duration = Duration::from_millis(600);
/// Time between two questions to an engine whether it has loaded what it was ordered to. Each costs
/// little, and its answer comes up to a second before its registration.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before an order that was not accepted is given again.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Part of an engine's room up to which a refusal can't be for want of it: promises exceed use by a
/// fifth.
const MIN_FULL_FRACTION: f64 = 0.7;
/// Orders refused in one look, since others were begun before them, after which an acting leader leaves
/// the rest to whoever gave those: one or two may have been carried out late.
const MAX_ORDER_CONFLICTS: u32 = 3;

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
struct LoadingEngine {
    instance: Arc<str>,
    address: SocketAddr,
    assignment: LayerAssignment,
}

/// Plans and orders while this daemon holds the lease.
#[derive(Debug)]
pub(crate) struct Placer<E> {
    shared: Arc<Shared>,
    lease_handle: Arc<LeaseHandle>,
    peers: Arc<Peers>,
    engine_client: Arc<E>,
    /// Whether this daemon gives orders at present, and by what right.
    authority: Option<Authority>,
    /// When engines that load are asked next.
    next_load_poll: HashMap<Arc<str>, Instant>,
    /// Orders that each incarnation has begun, as far as known; none where it has to be asked before
    /// the next order.
    begun_orders: HashMap<Arc<str>, Option<u64>>,
    backoff_until: HashMap<Arc<str>, Instant>,
    /// Number of engines at the last look, and since when.
    fleet_size: (usize, Instant),
}

impl<E: EngineApi> Placer<E> {
    /// A placer that has ordered nothing.
    pub(crate) fn new(
        shared: Arc<Shared>,
        lease_handle: Arc<LeaseHandle>,
        peers: Arc<Peers>,
        engine_client: Arc<E>,
    ) -> Placer<E> {
        Placer {
            shared,
            lease_handle,
            peers,
            engine_client,
            authority: None,
            next_load_poll: HashMap::new(),
            begun_orders: HashMap::new(),
            backoff_until: HashMap::new(),
            fleet_size: (0, Instant::now()),
        }
    }

    /// Looks at the fleet until it is stopped.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(POLL_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => {}
            }
            self.expire_unconfirmed();
            if self.authority().is_none() {
                self.begun_orders.clear();
                self.next_load_poll.clear();
                continue;
            }
            self.poll_loading_engines().await;
            self.place_services().await;
        }
    }

    /// By what right this daemon may give orders now; to be asked for right before each order.
    fn authority(&mut self) -> Option<Authority> {
        let authority = match self.lease_handle.fence() {
            Some(token) => {
                self.peers.note_leading(LeadershipBasis::Lease);
                Some(Authority::Lease(token))
            }
            None => {
                let is_acting_leader = self.peers.is_acting_leader();
                if is_acting_leader {
                    self.peers.note_leading(LeadershipBasis::Acting);
                }
                is_acting_leader.then(|| Authority::Acting(self.lease_handle.latest_token()))
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
    fn expire_unconfirmed(&self) {
        let has_fresh_registrations = self.peers.has_fresh_store_view(StoreKind::Upstreams);
        let now = Instant::now();
        let expired = self
            .shared
            .fleet()
            .expire_assignments(has_fresh_registrations, now);
        for instance in expired {
            info!(target: "decision", upstream:% = instance; "reported layers expired");
        }
        let changes = self.shared.fleet().expire_restored(now);
        if let Some(changes) = changes {
            self.shared
                .upstreams_changed(&changes, "entries that were not written again");
        }
    }

    /// Asks engines that should have loaded by now what they hold.
    async fn poll_loading_engines(&mut self) {
        let due = self.due_load_polls();
        let next = Instant::now() + LOAD_POLL_INTERVAL;
        for loading in &due {
            self.next_load_poll
                .insert(Arc::clone(&loading.instance), next);
        }
        let reports = due.iter().map(|l| self.engine_client.report(l.address));
        let reports = join_all(reports).await;
        for (loading, report) in due.iter().zip(reports) {
            let Some(report) = report.filter(|r| !r.busy) else {
                continue;
            };
            self.on_load_report(loading, &report);
        }
    }

    /// Engines whose load takes no longer by the configuration, and that were not asked just now.
    fn due_load_polls(&self) -> Vec<LoadingEngine> {
        let now = Instant::now();
        let table = self.shared.table.load();
        let fleet = self.shared.fleet();
        let reports = fleet.assignments().unconfirmed_reports(usize::MAX, now);
        let due = reports
            .into_iter()
            .filter_map(|(instance, assignment, age)| {
                let entry = &fleet.get(fleet.key_of(&instance)?)?.entry;
                let service = table.service(&entry.service)?;
                let load_time = loading_time(service.engine_profile.as_deref()?, assignment.layers);
                let is_polled_recently = self
                    .next_load_poll
                    .get(&instance)
                    .is_some_and(|&at| now < at);
                let is_due = !assignment.loaded && age >= load_time && !is_polled_recently;
                is_due.then_some(LoadingEngine {
                    address: entry.address,
                    instance,
                    assignment,
                })
            });
        due.collect()
    }

    /// Takes the word of an engine that is no longer busy.
    fn on_load_report(&mut self, loading: &LoadingEngine, report: &EngineReport) {
        let LoadingEngine {
            instance,
            assignment,
            ..
        } = loading;
        if self.shared.detect_restart(instance, report.start) {
            return;
        }
        let Some(layers) = report.layers else {
            return;
        };
        // An engine that holds something else was ordered past this daemon.
        let reported = LayerAssignment {
            orders: report.orders.max(assignment.orders),
            layers,
            loaded: true,
        };
        let now = Instant::now();
        let mut fleet = self.shared.fleet();
        let is_update = fleet.learn_assignment(instance, reported, Duration::ZERO, now);
        drop(fleet);
        self.begun_orders
            .insert(Arc::clone(instance), Some(report.orders));
        if is_update {
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

    async fn place_services(&mut self) {
        let table = self.shared.table.load_full();
        let mut conflicts = 0;
        for service in table.services() {
            let Some(profile) = service.engine_profile.clone() else {
                continue;
            };
            for placement in self.plan(&service.name, &profile) {
                let reply = self.send_order(&placement).await;
                conflicts += u32::from(reply == Some(OrderReply::Conflict));
                if conflicts >= MAX_ORDER_CONFLICTS && self.is_acting_leader() {
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
    fn plan(&mut self, service: &str, profile: &EngineProfile) -> Vec<Placement> {
        let now = Instant::now();
        let shared = Arc::clone(&self.shared);
        let fleet = shared.fleet();
        let can_take_orders = |u: &&Upstream| {
            let is_unavailable = u.is_presumed_lost(now) || is_leaving_unannounced(u, profile);
            u.entry.lifecycle == Lifecycle::Ready && !is_unavailable
        };
        let upstreams: Vec<&Upstream> = fleet
            .of_service(service)
            .map(|(_, u)| u)
            .filter(can_take_orders)
            .collect();
        if upstreams.len() != self.fleet_size.0 {
            self.fleet_size = (upstreams.len(), now);
        }
        let state_of = |u: &&Upstream| engine_state(u, fleet.assignments());
        let engine_states: Vec<EngineState> = upstreams.iter().filter_map(state_of).collect();
        let none_loaded = engine_states.iter().all(|h| h.layers.is_none());
        if none_loaded && now.duration_since(self.fleet_size.1) < FLEET_WARM_UP {
            return Vec::new();
        }
        let mut orders = layout::plan(profile, &engine_states);
        orders.retain(|o| {
            self.backoff_until
                .get(&o.instance)
                .is_none_or(|&at| at <= now)
        });
        orders
    }

    /// Gives an order; `None` when none was sent.
    async fn send_order(&mut self, placement: &Placement) -> Option<OrderReply> {
        let authority = self.authority()?;
        let token = authority.token();
        let (address, id) = {
            let fleet = self.shared.fleet();
            let upstream = fleet.get(fleet.key_of(&placement.instance)?)?;
            (upstream.entry.address, Arc::clone(&upstream.entry.id))
        };
        let instance = &placement.instance;
        let reported_orders = self.shared.fleet().assignments().orders(instance);
        let known_count = self
            .begun_orders
            .get(instance)
            .copied()
            .unwrap_or(reported_orders);
        let expected = match known_count {
            Some(count) => count,
            None => match self.query_begun_orders(instance, address).await {
                Some(orders) => orders,
                None => {
                    self.back_off_orders(instance);
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
            fencing_token: token.0,
        };
        let reply = self.engine_client.place(address, order).await;
        self.log_order(placement, expected, token.0, reply);
        match reply {
            OrderReply::Accepted => {
                self.begun_orders
                    .insert(Arc::clone(instance), Some(expected + 1));
                self.record_order(placement, expected + 1);
            }
            // A lost one may still be carried out; the engine is asked before the next order.
            OrderReply::Lost | OrderReply::Conflict | OrderReply::Refused => {
                self.begun_orders.insert(Arc::clone(instance), None);
                self.back_off_orders(instance);
            }
        }
        Some(reply)
    }

    /// Asks an engine how many orders it has begun; `None` when it can't take another one now, or
    /// holds other layers than the plan was made for.
    async fn query_begun_orders(
        &mut self,
        instance: &Arc<str>,
        address: SocketAddr,
    ) -> Option<u64> {
        let report = self.engine_client.report(address).await;
        let reported_layers = report.as_ref().and_then(|r| r.layers);
        info!(
            target: "decision",
            upstream:% = instance,
            answered = report.is_some(),
            busy = report.as_ref().is_some_and(|r| r.busy),
            orders = report.as_ref().map_or(0, |r| r.orders),
            holds:? = reported_layers;
            "engine asked"
        );
        let report = report.filter(|r| !r.busy)?;
        if self.shared.detect_restart(instance, report.start) {
            return None;
        }
        self.begun_orders
            .insert(Arc::clone(instance), Some(report.orders));
        let Some(layers) = reported_layers else {
            return Some(report.orders);
        };
        let assignment = LayerAssignment {
            orders: report.orders,
            layers,
            loaded: true,
        };
        let now = Instant::now();
        let mut fleet = self.shared.fleet();
        let recorded_layers = fleet.key_of(instance).and_then(|k| fleet.get(k)?.layers);
        if recorded_layers == reported_layers {
            return Some(report.orders);
        }
        fleet.learn_assignment(instance, assignment, Duration::ZERO, now);
        None
    }

    /// Notes an order that was accepted: until it is carried out the engine can do no work.
    fn record_order(&mut self, placement: &Placement, orders: u64) {
        let assignment = LayerAssignment {
            orders,
            layers: placement.layers,
            loaded: false,
        };
        let now = Instant::now();
        let mut fleet = self.shared.fleet();
        fleet.learn_assignment(&placement.instance, assignment, Duration::ZERO, now);
    }

    fn back_off_orders(&mut self, instance: &Arc<str>) {
        self.backoff_until
            .insert(Arc::clone(instance), Instant::now() + ORDER_RETRY_DELAY);
    }

    fn log_order(
        &self,
        placement: &Placement,
        expected: u64,
        fencing_token: u64,
        reply: OrderReply,
    ) {
        let reply = reply.as_str();
        info!(
            target: "decision",
            upstream:% = placement.instance,
            from = placement.layers.from,
            to = placement.layers.to,
            expected,
            fence = fencing_token,
            fleet_version:% = self.shared.fleet().version(),
            outcome:% = reply;
            "layers ordered"
        );
        metrics::counter!("kelpworks_orders_total", "outcome" => reply).increment(1);
    }
}

/// An engine as the planner sees it: what it is loading counts as held.
fn engine_state(upstream: &Upstream, assignments: &LayerAssignments) -> Option<EngineState> {
    let entry = &upstream.entry;
    let loading = assignments.get(&entry.instance).filter(|h| !h.loaded);
    let loaded = upstream.layers.filter(|r| !r.is_empty());
    Some(EngineState {
        instance: Arc::clone(&entry.instance),
        domain: Arc::clone(&entry.domain),
        kind: entry.kind.clone()?,
        layers: loading.map(|h| h.layers).or(loaded),
        running: upstream.load().running,
        limited: upstream.limiter.rate().is_some(),
    })
}

/// Whether an engine takes no new work though it is far from full: it is leaving, and the store can't
/// say so.
fn is_leaving_unannounced(upstream: &Upstream, profile: &EngineProfile) -> bool {
    let kind = upstream.entry.kind.as_deref().and_then(|k| profile.kind(k));
    let kv_capacity = match (kind, upstream.layers) {
        (Some(kind), Some(layers)) => profile.kv_capacity(kind, layers.len()),
        _ => return false,
    };
    upstream.is_closed() && upstream.load().reserved < MIN_FULL_FRACTION * kv_capacity
}

/// Time to load a range while no other engine loads.
fn loading_time(profile: &EngineProfile, layers: LayerRange) -> Duration {
    let share = f64::from(layers.len()) / f64::from(profile.layers.max(1));
    Duration::from_secs_f64(profile.load_s * share)
}
