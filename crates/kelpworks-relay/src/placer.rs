//! Assigns layers to engines. Normally one daemon at a time does so, under a lease.
//!
//! The leader plans from the registrations of engines and their later reports. Each order carries
//! the number of orders that the engine must have begun, as far as the leader knows. An order that
//! arrives late, or comes from a daemon that has lost the lease without noticing, fails this
//! precondition.
//!
//! Each service is planned by itself: its plan depends on its own engines only, and neither waits
//! for those of another service nor for their replies.
//!
//! When peers receive no gossip about a lease holder, because it died or the store is down, one of
//! them acts as leader immediately. This is safe for the same reason: of two orders to one engine
//! only the first is begun. The lease keeps two daemons from sending competing orders all the time;
//! the precondition is what protects an engine.

mod displacement;
mod orders;
#[cfg(test)]
mod tests;
mod warm_up;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
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
use crate::config::RoutingTable;
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
use displacement::UnrepeatableWork;
use orders::Dispatch;
use orders::DispatchOutcome;
use orders::OrderSender;
use warm_up::Readiness;
use warm_up::WarmUps;

/// Interval at which the leader checks the fleet for due orders.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which an engine that should have loaded its layers is queried. A query is cheap, and
/// its answer arrives up to one second before the engine's registration.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Fraction of an engine's KV cache capacity below which it can't be refusing requests for lack of
/// memory: reservations exceed use by a fifth.
const MIN_FULL_FRACTION: f64 = 0.7;
/// Number of conflicts among the orders to one service's engines after which an acting leader yields
/// to whichever daemon sent the orders that were begun instead. One or two conflicts may come from
/// orders that arrived late.
const MAX_ORDER_CONFLICTS: usize = 3;
/// Interval at which engines of a service that hold no layers are logged.
const IDLE_LOG_INTERVAL: Duration = Duration::from_secs(5);

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
#[derive(Clone, Debug)]
struct LoadingEngine {
    instance: Arc<str>,
    key: UpstreamKey,
    assignment: LayerAssignment,
}

/// Messages to engines that are sent at the same time as those to others.
enum Task {
    /// Orders to engines of one service.
    Dispatch(Dispatch),
    /// A query to an engine that should have loaded its layers.
    LoadPoll(LoadingEngine),
}

/// What became of a [`Task`].
enum TaskOutcome {
    Dispatch(DispatchOutcome),
    LoadPoll(LoadingEngine, Option<EngineReport>),
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
    /// Loading engines whose query is under way.
    polled: HashSet<Arc<str>>,
    /// Number of orders that each incarnation has begun. `None` where the engine must be queried
    /// before the next order. Without an entry, the number known from gossip applies.
    begun_orders: HashMap<Arc<str>, Option<u64>>,
    /// Time until which no order is sent to an engine.
    backoff_until: HashMap<Arc<str>, Instant>,
    /// Services whose orders are under way; they are planned again once all of these are decided.
    dispatching: HashSet<Arc<str>>,
    warm_ups: WarmUps,
    unrepeatable_work: UnrepeatableWork,
    /// Time from which engines without layers are logged again, by service.
    next_idle_log: HashMap<Arc<str>, Instant>,
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
            polled: HashSet::new(),
            begun_orders: HashMap::new(),
            backoff_until: HashMap::new(),
            dispatching: HashSet::new(),
            warm_ups: WarmUps::default(),
            unrepeatable_work: UnrepeatableWork::default(),
            next_idle_log: HashMap::new(),
        }
    }

    /// Checks the fleet at [`POLL_INTERVAL`] until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(POLL_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let sender = OrderSender {
            shared: Arc::clone(&self.shared),
            lease_handle: Arc::clone(&self.lease_handle),
            peers: Arc::clone(&self.peers),
            engine_calls: Arc::clone(&self.engine_calls),
        };
        let mut tasks = FuturesUnordered::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                Some(outcome) = tasks.next() => self.apply(outcome),
                _ = tick.tick() => {
                    for task in self.due_tasks() {
                        tasks.push(perform(&sender, task));
                    }
                }
            }
        }
        // Peers learn of the orders that engines have accepted.
        while let Some(outcome) = tasks.next().await {
            self.apply(outcome);
        }
    }

    /// Returns the messages to engines that are due.
    fn due_tasks(&mut self) -> Vec<Task> {
        self.expire_unconfirmed();
        let table = self.shared.table.load_full();
        self.unrepeatable_work
            .observe(table.routes(), Instant::now());
        let has_led = self.authority.is_some();
        let Some(authority) = self.authority() else {
            self.begun_orders.clear();
            self.next_load_poll.clear();
            if has_led {
                clear_idle_gauges(&table);
            }
            return Vec::new();
        };
        self.forget_removed(&table);
        let polls = self.due_load_polls();
        let next = Instant::now() + LOAD_POLL_INTERVAL;
        for loading in &polls {
            self.polled.insert(Arc::clone(&loading.instance));
            self.next_load_poll
                .insert(Arc::clone(&loading.instance), next);
        }
        let mut tasks: Vec<Task> = polls.into_iter().map(Task::LoadPoll).collect();
        tasks.extend(self.due_dispatches(&table, authority.token()));
        tasks
    }

    /// Drops what is kept about engines that are gone and services that are not configured.
    fn forget_removed(&mut self, table: &RoutingTable) {
        let shared = Arc::clone(&self.shared);
        let fleet = shared.fleet();
        let is_known = |instance: &Arc<str>| fleet.key_of(instance).is_some();
        self.begun_orders.retain(|instance, _| is_known(instance));
        self.next_load_poll.retain(|instance, _| is_known(instance));
        let now = Instant::now();
        self.backoff_until.retain(|_, until| *until > now);
        let is_configured = |service: &str| table.service(service).is_some();
        self.warm_ups.retain(is_configured);
        self.next_idle_log
            .retain(|service, _| is_configured(service));
    }

    /// Applies what became of messages to engines.
    fn apply(&mut self, outcome: TaskOutcome) {
        match outcome {
            TaskOutcome::Dispatch(outcome) => self.on_dispatched(outcome),
            TaskOutcome::LoadPoll(loading, report) => {
                self.polled.remove(&loading.instance);
                if let Some(report) = report.filter(|r| !r.busy) {
                    self.on_load_report(&loading, &report);
                }
            }
        }
    }

    fn on_dispatched(&mut self, outcome: DispatchOutcome) {
        let DispatchOutcome {
            service,
            token,
            outcomes,
        } = outcome;
        self.dispatching.remove(&service);
        let mut conflicts = 0;
        for (order, outcome) in outcomes {
            conflicts += usize::from(outcome.is_conflict());
            self.apply_outcome(&order, token, outcome);
        }
        if conflicts >= MAX_ORDER_CONFLICTS && self.is_acting_leader() {
            info!(
                target: "decision",
                service:% = service,
                conflicts;
                "leadership conflict, backing off"
            );
            self.peers.back_off();
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
                    .is_some_and(|&at| now < at)
                    || self.polled.contains(&instance);
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

    /// Returns the orders that are due, by service.
    fn due_dispatches(&mut self, table: &RoutingTable, token: Token) -> Vec<Task> {
        let mut tasks = Vec::new();
        for service in table.services() {
            let Some(profile) = service.engine_profile.clone() else {
                continue;
            };
            if self.dispatching.contains(&service.name) {
                continue;
            }
            let placements = self.plan(&service.name, &profile);
            if placements.is_empty() {
                continue;
            }
            let now = Instant::now();
            let (displacement, wait) = self.unrepeatable_work.policy(&service.name, now);
            let orders = placements
                .into_iter()
                .filter_map(|p| self.order(p, displacement, wait))
                .collect();
            self.dispatching.insert(Arc::clone(&service.name));
            tasks.push(Task::Dispatch(Dispatch {
                service: Arc::clone(&service.name),
                token,
                orders,
            }));
        }
        tasks
    }

    fn is_acting_leader(&self) -> bool {
        matches!(self.authority, Some(Authority::Acting(_)))
    }

    /// Returns the orders that are due for a service.
    fn plan(&mut self, service: &Arc<str>, profile: &EngineProfile) -> Vec<Placement> {
        let now = Instant::now();
        let shared = Arc::clone(&self.shared);
        let ended = shared.ended_upstreams(service);
        let fleet = shared.fleet();
        let can_take_orders = |u: &&Upstream| {
            let is_lost = u.is_presumed_lost(now) || ended.contains(&u.entry.instance);
            u.is_ready() && !is_lost && !is_leaving_unannounced(u, profile)
        };
        let upstreams = fleet
            .of_service(service)
            .map(|(_, u)| u)
            .filter(can_take_orders);
        let engines: Vec<EngineState> = upstreams
            .filter_map(|u| engine_state(u, fleet.assignments()))
            .collect();
        let without_layers = engines.iter().filter(|e| e.layers.is_none()).count();
        idle_gauge(service).set(without_layers as f64);
        let readiness = self.warm_ups.check(service, &engines, now);
        log_warm_up(service, engines.len(), readiness);
        if matches!(readiness, Readiness::Waiting { .. }) {
            return Vec::new();
        }
        let mut orders = layout::plan(profile, &engines);
        let planned = orders.len();
        let is_allowed = |instance: &str| {
            let upstream = fleet.key_of(instance).and_then(|key| fleet.get(key));
            upstream.is_some_and(|u| u.constraints.allows(MessageKind::LayerOrder, now))
        };
        // An engine keeps its place in the plan during a backoff, and gets its order afterwards.
        orders.retain(|o| {
            let backoff_until = self.backoff_until.get(&o.instance);
            backoff_until.is_none_or(|&at| at <= now) && is_allowed(&o.instance)
        });
        if without_layers > orders.len() {
            let withheld = planned - orders.len();
            self.log_idle_engines(service, without_layers, withheld, now);
        }
        orders
    }

    /// Logs engines that hold no layers and get no order now, at a bounded rate.
    fn log_idle_engines(
        &mut self,
        service: &Arc<str>,
        engines: usize,
        withheld: usize,
        now: Instant,
    ) {
        if self.next_idle_log.get(service).is_some_and(|&at| now < at) {
            return;
        }
        self.next_idle_log
            .insert(Arc::clone(service), now + IDLE_LOG_INTERVAL);
        info!(
            target: "decision",
            service:% = service,
            engines,
            withheld;
            "engines without layers"
        );
    }
}

fn idle_gauge(service: &str) -> metrics::Gauge {
    metrics::gauge!("kelpworks_engines_without_layers", "service" => service.to_owned())
}

/// Resets the gauges that only the leader updates.
fn clear_idle_gauges(table: &RoutingTable) {
    for service in table.services() {
        if service.engine_profile.is_some() {
            idle_gauge(&service.name).set(0.0);
        }
    }
}

/// Sends the messages of a task.
async fn perform<E: EngineApi>(sender: &OrderSender<E>, task: Task) -> TaskOutcome {
    match task {
        Task::Dispatch(dispatch) => TaskOutcome::Dispatch(sender.dispatch(dispatch).await),
        Task::LoadPoll(loading) => {
            let report = sender.engine_calls.report(loading.key).await;
            TaskOutcome::LoadPoll(loading, report)
        }
    }
}

/// Logs the begin and the end of the wait before the first plan of a service.
fn log_warm_up(service: &str, engines: usize, readiness: Readiness) {
    match readiness {
        Readiness::Waiting { is_new: true } => info!(
            target: "decision",
            service:% = service,
            engines,
            max_wait_ms = warm_up::MAX_WARM_UP.as_millis() as u64;
            "plan waits for further engines"
        ),
        Readiness::Ready(Some(waited)) => info!(
            target: "decision",
            service:% = service,
            engines,
            waited_ms = waited.as_millis() as u64;
            "first plan"
        ),
        Readiness::Waiting { is_new: false } | Readiness::Ready(None) => {}
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
