//! Assigns layers to engines. Normally one daemon at a time does so, under a lease.
//!
//! The leader plans from the registrations of engines and their later reports. Each order carries
//! the number of orders that the engine must have begun, as far as the leader knows. An order that
//! arrives late, or comes from a daemon that has lost the lease without noticing, fails this
//! precondition.
//!
//! When peers receive no gossip about a lease holder, because it died or the store is down, one of
//! them acts as leader immediately. This is safe for the same reason: of two orders to one engine
//! only the first is begun. The lease keeps two daemons from sending competing orders all the time;
//! the precondition is what protects an engine.

mod orders;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kelpworks::executor::LeaseHandle;
use kelpworks_coord::lease::Token;
use log::info;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::adapter::EngineApi;
use crate::adapter::EngineReport;
use crate::adapter::LayerRange;
use crate::assignments::LayerAssignment;
use crate::assignments::LayerAssignments;
use crate::config::EngineProfile;
use crate::constraints::MessageKind;
use crate::engine_calls::EngineCalls;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::layout;
use crate::layout::EngineState;
use crate::layout::Placement;
use crate::peers::LeadershipBasis;
use crate::peers::Peers;
use crate::peers::StoreKind;
use crate::shared::Shared;
use orders::MAX_CONCURRENT_ORDERS;

/// Interval at which the leader checks the fleet for due orders.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the number of engines must stay the same before the first plan, while no engine
/// has layers. Engines that start together register within about one heartbeat.
const FLEET_WARM_UP: Duration = Duration::from_millis(600);
/// Interval at which an engine that should have loaded its layers is queried. A query is cheap, and
/// its answer arrives up to one second before the engine's registration.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Fraction of an engine's KV cache capacity below which it can't be refusing requests for lack of
/// memory: reservations exceed use by a fifth.
const MIN_FULL_FRACTION: f64 = 0.7;
/// Number of conflicts in one check after which an acting leader yields to whichever daemon sent
/// the orders that were begun instead. One or two conflicts may come from orders that arrived late.
const MAX_ORDER_CONFLICTS: u32 = 3;

/// Basis on which a daemon sends orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Authority {
    /// The daemon holds the lease with this fencing token.
    Lease(Token),
    /// The daemon acts for a lease holder of which no daemon receives gossip. Its orders carry the
    /// highest fencing token that it has seen.
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

/// An engine that has been ordered to load layers and has not confirmed them yet.
struct LoadingEngine {
    instance: Arc<str>,
    key: UpstreamKey,
    assignment: LayerAssignment,
}

/// Plans layer assignments and sends orders while this daemon leads.
#[derive(Debug)]
pub(crate) struct Placer<E> {
    shared: Arc<Shared>,
    lease_handle: Arc<LeaseHandle>,
    peers: Arc<Peers>,
    engine_calls: Arc<EngineCalls<E>>,
    /// Basis of this daemon's leadership as last logged; `None` while it does not lead.
    authority: Option<Authority>,
    /// Earliest time of the next query to each loading engine.
    next_load_poll: HashMap<Arc<str>, Instant>,
    /// Number of orders that each incarnation has begun. `None` where the engine must be queried
    /// before the next order. Without an entry, the number known from gossip applies.
    begun_orders: HashMap<Arc<str>, Option<u64>>,
    /// Time until which no order is sent to an engine.
    backoff_until: HashMap<Arc<str>, Instant>,
    /// Number of engines at the last check, and since when it has been the same.
    fleet_size: (usize, Instant),
}

impl<E: EngineApi> Placer<E> {
    /// Returns a placer that does not lead and has sent no order.
    pub(crate) fn new(
        shared: Arc<Shared>,
        lease_handle: Arc<LeaseHandle>,
        peers: Arc<Peers>,
        engine_calls: Arc<EngineCalls<E>>,
    ) -> Placer<E> {
        Placer {
            shared,
            lease_handle,
            peers,
            engine_calls,
            authority: None,
            next_load_poll: HashMap::new(),
            begun_orders: HashMap::new(),
            backoff_until: HashMap::new(),
            fleet_size: (0, Instant::now()),
        }
    }

    /// Checks the fleet at [`POLL_INTERVAL`] until `stop` is cancelled.
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

    /// Returns the basis on which this daemon may send orders now and logs a change of it.
    fn authority(&mut self) -> Option<Authority> {
        let authority = match self.lease_handle.fencing_token() {
            Some(token) => {
                self.peers.record_leading(LeadershipBasis::Lease);
                Some(Authority::Lease(token))
            }
            None => {
                let is_acting_leader = self.peers.is_acting_leader();
                if is_acting_leader {
                    self.peers.record_leading(LeadershipBasis::Acting);
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

    /// Falls back to the registered layers of engines whose reports no registration confirmed in
    /// time, and drops entries from an older copy of the store whose upstreams did not register
    /// again.
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
                .upstreams_changed(&changes, "restored entries expired");
        }
    }

    /// Queries the layers of engines that should have loaded by now.
    async fn poll_loading_engines(&mut self) {
        let due = self.due_load_polls();
        let next = Instant::now() + LOAD_POLL_INTERVAL;
        for loading in &due {
            self.next_load_poll
                .insert(Arc::clone(&loading.instance), next);
        }
        let reports = due.iter().map(|l| self.engine_calls.report(l.key));
        let reports = join_all(reports).await;
        for (loading, report) in due.iter().zip(reports) {
            let Some(report) = report.filter(|r| !r.busy) else {
                continue;
            };
            self.on_load_report(loading, &report);
        }
    }

    /// Returns the engines whose expected loading time has passed and that are due for a query.
    fn due_load_polls(&self) -> Vec<LoadingEngine> {
        let now = Instant::now();
        let table = self.shared.table.load();
        let fleet = self.shared.fleet();
        let reports = fleet.assignments().unconfirmed_reports(usize::MAX, now);
        let due = reports
            .into_iter()
            .filter_map(|(instance, assignment, age)| {
                let key = fleet.key_of(&instance)?;
                let upstream = fleet.get(key)?;
                let service = table.service(&upstream.entry.service)?;
                let load_time = loading_time(service.engine_profile.as_deref()?, assignment.layers);
                let is_polled_recently = self
                    .next_load_poll
                    .get(&instance)
                    .is_some_and(|&at| now < at);
                let is_allowed = upstream.constraints.allows(MessageKind::Query, now);
                let is_due = !assignment.loaded && age >= load_time && !is_polled_recently;
                (is_due && is_allowed).then_some(LoadingEngine {
                    key,
                    instance,
                    assignment,
                })
            });
        due.collect()
    }

    /// Records the layers that an engine reports once it is no longer busy.
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
        // The layers differ from the assignment if the engine began an order of another daemon.
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

    /// Sends the due orders of all services.
    async fn place_services(&mut self) {
        let table = self.shared.table.load_full();
        let mut conflicts = 0;
        for service in table.services() {
            let Some(profile) = service.engine_profile.clone() else {
                continue;
            };
            for placements in self
                .plan(&service.name, &profile)
                .chunks(MAX_CONCURRENT_ORDERS)
            {
                conflicts += self.send_orders(placements).await;
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

    /// Returns the orders that are due for a service.
    fn plan(&mut self, service: &str, profile: &EngineProfile) -> Vec<Placement> {
        let now = Instant::now();
        let shared = Arc::clone(&self.shared);
        let ended = shared.ended_upstreams(service);
        let fleet = shared.fleet();
        let can_take_orders = |u: &&Upstream| {
            let is_lost = u.is_presumed_lost(now) || ended.contains(&u.entry.instance);
            u.is_ready() && !is_lost && !is_leaving_unannounced(u, profile)
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
        let is_allowed = |instance: &str| {
            let upstream = fleet.key_of(instance).and_then(|key| fleet.get(key));
            upstream.is_some_and(|u| u.constraints.allows(MessageKind::LayerOrder, now))
        };
        // An engine keeps its place in the plan during a backoff, and gets its order afterwards.
        orders.retain(|o| {
            let backoff_until = self.backoff_until.get(&o.instance);
            backoff_until.is_none_or(|&at| at <= now) && is_allowed(&o.instance)
        });
        orders
    }
}

/// Returns the planner's view of an engine, in which layers being loaded count as loaded; `None`
/// when its kind of accelerator is not known.
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
        limited: upstream.constraints.limiter.rate().is_some(),
    })
}

/// Whether an engine refuses new requests though it is far from full: it is leaving, and the store
/// does not show it, as during an outage of the store.
fn is_leaving_unannounced(upstream: &Upstream, profile: &EngineProfile) -> bool {
    let kind = upstream.entry.kind.as_deref().and_then(|k| profile.kind(k));
    let kv_capacity = match (kind, upstream.layers) {
        (Some(kind), Some(layers)) => profile.kv_capacity(kind, layers.len()),
        _ => return false,
    };
    upstream.is_closed() && upstream.load().reserved < MIN_FULL_FRACTION * kv_capacity
}

/// Returns the time to load a range while no other engine is loading.
fn loading_time(profile: &EngineProfile, layers: LayerRange) -> Duration {
    let share = f64::from(layers.len()) / f64::from(profile.layers.max(1));
    Duration::from_secs_f64(profile.load_s * share)
}
