//! State that the tasks of a relaying daemon share.

pub(crate) mod announcements;
pub(crate) mod contention;
pub(crate) mod crashes;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use kelpworks::host_limits::HostLimits;
use kelpworks::memory_budget::MemoryBudget;
use kelpworks::sync::lock;
use kelpworks_coord::crash_ledger;
use kelpworks_coord::crash_ledger::CrashLedger;
use kelpworks_coord::crash_ledger::TestRuns;
use log::info;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::adapter::StartTime;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::config::EngineProfile;
use crate::config::RoutingTable;
use crate::constraints::MessageKind;
use crate::fleet::AddressOwner;
use crate::fleet::Fleet;
use crate::fleet::RegistrationChanges;
use crate::fleet::UpstreamKey;
use crate::path::Path;
use crate::path::PathQuery;
use crate::permit::Admission;
use crate::permit::Origin;
use crate::permit::RequestAttempts;
use crate::permit::Retry;
use crate::planned_stop::PlannedStop;
use crate::pool;
use crate::pool::Pool;
use crate::reach::Evidence;
use crate::reach::Probe;
use crate::reach::Reach;
use crate::reach::ReachChange;
use crate::retry_budget::RetryBudget;
use crate::retry_budget::RetryLimit;
use crate::suspect_checks::Finding;
use crate::suspect_checks::SuspectChecks;
use crate::suspects::Suspects;
use crate::traffic_plan::Demand;
use crate::traffic_plan::TrafficPlan;
use contention::Contention;
use crashes::CheckedUpstreams;
use crashes::Runnable;
use crashes::TestRunQuestion;

/// Pause between two events of a stream on a lightly loaded fleet of the accelerators in use.
const TYPICAL_PAUSE: Duration = Duration::from_millis(38);
/// Inverse of the newest pause's weight in the moving average; a daemon reads about this many
/// events in a second.
const PAUSE_AVERAGE_SAMPLES: u64 = 256;
/// Maximum slowness factor. Callers leave a stream after two seconds without an event.
const MAX_SLOWNESS: f64 = 3.0;

/// Time after the start during which a daemon may not know yet what the store holds. The daemon
/// queries the store at once, and registrations that lapsed during an outage of the store are
/// renewed within two seconds.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);
/// Maximum time that a request waits for a starting daemon. Callers abandon a request that was not
/// read within one second, and a stream after two seconds without an event.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(900);

/// Maximum time for which data is on its way from an upstream.
const MAX_IN_FLIGHT: Duration = Duration::from_millis(30);

/// State of one daemon. Its locks are held for a few lines and never across an await point.
#[derive(Debug)]
pub struct Shared {
    /// Failure domain of this daemon.
    pub domain: String,
    /// The active configuration; its version never decreases.
    pub table: ArcSwap<RoutingTable>,
    fleet: Arc<Mutex<Fleet>>,
    retry_budget: Arc<Mutex<RetryBudget>>,
    crashes: Mutex<CrashLedger>,
    /// Signalled when this daemon has raised a finding about a crash.
    crash_news: Notify,
    /// Test runs of suspects that this daemon has granted.
    test_runs: Mutex<TestRuns>,
    /// Takes questions for test runs to the daemon that grants them; absent until daemons exchange messages.
    test_run_questions: Mutex<Option<mpsc::Sender<TestRunQuestion>>>,
    /// Upstreams that are being checked after a break; at most `crashes::MAX_CHECKS`.
    checked_upstreams: Mutex<CheckedUpstreams>,
    suspects: Mutex<Suspects>,
    suspect_checks: Mutex<SuspectChecks>,
    contention: Mutex<Contention>,
    reach: Mutex<Reach<UpstreamKey>>,
    /// Time of the last data from any upstream, in milliseconds since the start.
    last_contact_ms: AtomicU64,
    /// Signalled when a probe may be due earlier than before.
    reach_changed: Notify,
    /// Latest traffic plan of each service whose upstreams are engines.
    traffic_plans: Mutex<HashMap<Arc<str>, TrafficPlan>>,
    /// Load caused by other daemons, by their failure domain, as last reported.
    remote_demand: Mutex<Vec<Demand>>,
    /// Whether every other daemon reports its load, so that the load of each engine is known in
    /// full.
    load_is_complete: AtomicBool,
    /// Moving average of the pause between two events of a stream, in microseconds.
    mean_pause_us: AtomicU64,
    /// Connections to upstreams.
    pub pool: Pool,
    /// A planned stop of the daemon.
    pub(crate) stop: PlannedStop,
    /// Whether the record of crashes has not been read yet since the start.
    are_verdicts_pending: AtomicBool,
    /// Number of requests that are being served, and of connections with a request that is not read yet.
    pub in_flight: AtomicU64,
    concurrency_limit: Mutex<ConcurrencyLimit>,
    /// Memory for bodies of requests and answers.
    memory: Arc<MemoryBudget>,
    started: Instant,
    /// Wakes requests that wait for a configuration or for upstreams.
    state_changed: Notify,
}

impl Shared {
    /// Returns the state of a starting daemon in `domain`. `daemons` is the number of daemons
    /// assumed to share the retry budget.
    pub fn new(domain: &str, retry_limit: RetryLimit, daemons: usize) -> Shared {
        let host = HostLimits::new(None, None);
        Shared {
            domain: domain.to_owned(),
            table: ArcSwap::from_pointee(RoutingTable::default()),
            fleet: Arc::default(),
            retry_budget: Arc::new(Mutex::new(RetryBudget::new(
                retry_limit,
                daemons,
                Instant::now(),
            ))),
            crashes: Mutex::new(CrashLedger::new(crash_ledger::Config::default())),
            crash_news: Notify::new(),
            test_runs: Mutex::new(TestRuns::new(crash_ledger::Config::default())),
            test_run_questions: Mutex::default(),
            checked_upstreams: Mutex::default(),
            suspects: Mutex::default(),
            suspect_checks: Mutex::default(),
            contention: Mutex::new(Contention::new(rand::random())),
            reach: Mutex::default(),
            last_contact_ms: AtomicU64::new(0),
            reach_changed: Notify::new(),
            traffic_plans: Mutex::default(),
            remote_demand: Mutex::default(),
            load_is_complete: AtomicBool::new(false),
            mean_pause_us: AtomicU64::new(TYPICAL_PAUSE.as_micros() as u64),
            pool: Pool::default(),
            stop: PlannedStop::default(),
            are_verdicts_pending: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            concurrency_limit: Mutex::default(),
            memory: Arc::new(MemoryBudget::new(host.body_bytes())),
            started: Instant::now(),
            state_changed: Notify::new(),
        }
    }

    /// Sets what the daemon's host has for it, before any request arrives.
    pub(crate) fn on_host(mut self, host: HostLimits) -> Shared {
        self.memory = Arc::new(MemoryBudget::new(host.body_bytes()));
        self
    }

    /// Returns the memory for bodies of requests and answers.
    pub(crate) fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    /// Has requests wait until [`Shared::set_verdicts_known`], as long as the daemon counts as starting.
    pub(crate) fn expect_verdicts(&self) {
        self.are_verdicts_pending.store(true, Ordering::Relaxed);
    }

    /// Records that the verdicts are known that outlasted earlier daemons.
    pub(crate) fn set_verdicts_known(&self) {
        self.are_verdicts_pending.store(false, Ordering::Relaxed);
        self.notify_state_change();
    }

    pub(crate) fn are_verdicts_known(&self) -> bool {
        !self.are_verdicts_pending.load(Ordering::Relaxed)
    }

    /// Wakes requests that wait for a change of the configuration or of the upstreams.
    pub(crate) fn notify_state_change(&self) {
        self.state_changed.notify_waiters();
    }

    /// Waits, while the daemon is starting, until `can_proceed` holds for a request that arrived at
    /// `arrived`, or the wait times out. After a crash of all daemons, callers reconnect at once,
    /// most of them within the first 20 ms and before the store has answered; a refusal would use
    /// up their last attempt.
    pub(crate) async fn wait_while_starting(
        &self,
        arrived: Instant,
        can_proceed: impl Fn(&Shared) -> bool,
    ) {
        let until = (self.started + STARTUP_PERIOD).min(arrived + MAX_STARTUP_WAIT);
        while Instant::now() < until {
            let state_changed = self.state_changed.notified();
            if can_proceed(self) || tokio::time::timeout_at(until, state_changed).await.is_err() {
                return;
            }
        }
    }

    /// Returns the number of requests that are being served or have arrived unread.
    pub(crate) fn load(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed) as usize
    }

    /// Locks the limit on the requests under way.
    pub(crate) fn concurrency_limit(&self) -> MutexGuard<'_, ConcurrencyLimit> {
        lock(&self.concurrency_limit)
    }

    /// Locks the fleet of upstreams.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Records which upstream answered a request at an address that was sent at `sent`. Requests for
    /// another upstream are no longer sent there, and peers learn of it by gossip.
    pub(crate) fn learn_address_owner(&self, address: SocketAddr, id: &str, sent: Instant) {
        let owner = AddressOwner {
            address,
            id: Arc::from(id),
        };
        let changes = self.fleet().learn_owner(owner, sent);
        if let Some(changes) = changes {
            self.upstreams_changed(&changes, "an answer from the address");
        }
    }

    /// Admits a request that is sent to the first of these upstreams and reaches the others by it;
    /// `None` if one of them does not accept it now, or the first is gone.
    pub(crate) fn admit(
        &self,
        _runnable: Runnable,
        upstreams: Vec<UpstreamKey>,
    ) -> Option<Admission> {
        Admission::acquire(&self.fleet, upstreams, Instant::now())
    }

    /// Records the start time that an engine reports. Returns whether the engine has restarted, so
    /// that it is no longer this incarnation.
    pub(crate) fn detect_restart(&self, instance: &str, start: Option<StartTime>) -> bool {
        let mut fleet = self.fleet();
        let key = fleet.key_of(instance);
        let changes = key.zip(start).and_then(|(k, s)| fleet.learn_start(k, s));
        drop(fleet);
        if let Some(changes) = &changes {
            self.upstreams_changed(changes, "start time reported by the engine");
        }
        changes.is_some()
    }

    /// Handles a change of the upstreams: wakes requests that wait for one, closes connections to
    /// upstreams that are gone, and logs the change. `source` says how the change became known.
    pub(crate) fn upstreams_changed(&self, changes: &RegistrationChanges, source: &'static str) {
        if changes.is_empty() {
            return;
        }
        let fleet = self.fleet();
        self.pool.retain(|key| fleet.get(key).is_some());
        let version = fleet.version();
        drop(fleet);
        self.notify_state_change();
        self.record_ended(&changes.removed);
        let layers = changes.layers.iter().map(|(instance, range)| match range {
            Some(r) => format!("{instance}={}-{}", r.from, r.to),
            None => format!("{instance}=none"),
        });
        let layers: Vec<String> = layers.collect();
        info!(
            target: "decision",
            version:% = version,
            source:% = source,
            added:% = changes.added.join(","),
            leaving:% = changes.leaving.join(","),
            layers:% = layers.join(","),
            removed:% = changes.removed.join(",");
            "upstreams changed"
        );
    }

    /// Locks the retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Replaces the load of other daemons, by their failure domain. `is_complete` says whether all
    /// of them reported theirs.
    pub(crate) fn set_remote_demand(&self, demand: Vec<Demand>, is_complete: bool) {
        *lock(&self.remote_demand) = demand;
        self.load_is_complete.store(is_complete, Ordering::Relaxed);
    }

    /// Draws a path for a whole request from the service's traffic plan. Returns `None` when the
    /// plan has no path that may be used now, or when the caller should search for the cheapest
    /// path instead.
    ///
    /// Where all daemons report their load to each other within a quarter of a second, the cheapest
    /// path by that load is better than a drawn one. A daemon that has just started knows no load:
    /// after a loss of all daemons, each of them would choose the same cheapest path.
    pub(crate) fn draw_planned_path(
        &self,
        fleet: &Fleet,
        engines: &EngineProfile,
        query: &PathQuery<'_>,
    ) -> Option<Path> {
        if self.load_is_complete.load(Ordering::Relaxed)
            || self.has_local_limited_capacity(fleet, query)
        {
            return None;
        }
        let mut traffic_plans = lock(&self.traffic_plans);
        let cached = traffic_plans.get(query.service);
        if !cached.is_some_and(|s| s.is_fresh(fleet, query.now)) {
            let demand = self.demand_by_domain(fleet, query.service);
            let planning_started = Instant::now();
            let mut plan = TrafficPlan::plan(fleet, engines, query, &demand);
            plan.set_planning_time(planning_started.elapsed());
            metrics::gauge!("kelpworks_spread_placed").set(plan.placed_fraction());
            traffic_plans.insert(Arc::from(query.service), plan);
        }
        let plan = traffic_plans.get(query.service)?;
        let parts = plan.draw(fleet, engines, query, &mut rand::rng())?;
        Path::new(fleet, parts.clone())
    }

    /// Whether an engine of this failure domain that announced a rate limit admits a request now. A
    /// traffic plan has no paths that begin at such an engine, and allowance that goes unused is
    /// lost.
    fn has_local_limited_capacity(&self, fleet: &Fleet, query: &PathQuery<'_>) -> bool {
        let mut engines = fleet.of_service(query.service);
        engines.any(|(_, u)| {
            let is_local = *u.entry.domain == *self.domain;
            is_local
                && u.constraints.limiter.rate().is_some()
                && u.allows(MessageKind::Request, query.now)
        })
    }

    /// Returns the load of all daemons, including this one, by failure domain.
    fn demand_by_domain(&self, fleet: &Fleet, service: &str) -> Vec<Demand> {
        let mut demand = lock(&self.remote_demand).clone();
        let local: f64 = fleet
            .of_service(service)
            .map(|(_, u)| u.local_load.reserved)
            .sum();
        match demand.iter_mut().find(|d| *d.domain == *self.domain) {
            Some(d) => d.token_layers += local,
            None => demand.push(Demand {
                domain: Arc::from(&*self.domain),
                token_layers: local,
            }),
        }
        demand
    }

    /// Adds a pause between two events of a stream to the moving average.
    pub fn record_pause(&self, pause: Duration) {
        let pause = pause.as_micros() as u64;
        let old = self.mean_pause_us.load(Ordering::Relaxed);
        let new = old - old / PAUSE_AVERAGE_SAMPLES + pause / PAUSE_AVERAGE_SAMPLES;
        self.mean_pause_us.store(new, Ordering::Relaxed);
    }

    /// Returns the ratio of the mean pause to a typical one, between 1 and `MAX_SLOWNESS`.
    pub fn slowness(&self) -> f64 {
        let pause = Duration::from_micros(self.mean_pause_us.load(Ordering::Relaxed));
        (pause.as_secs_f64() / TYPICAL_PAUSE.as_secs_f64()).clamp(1.0, MAX_SLOWNESS)
    }

    /// Begins the attempts of a request for a service.
    pub(crate) fn begin_attempts(&self, service: &Arc<str>, origin: Origin) -> RequestAttempts {
        RequestAttempts::new(&self.retry_budget, service, origin, Instant::now())
    }

    /// Takes a retry at a service if this daemon's share of the retry budget allows it.
    pub fn acquire_retry(&self, service: &Arc<str>, now: Instant) -> Option<Retry> {
        self.acquire_retry_part(service, 1.0, now)
    }

    /// Takes a retry at a service if less than `part` of this daemon's share is used with it.
    pub(crate) fn acquire_retry_part(
        &self,
        service: &Arc<str>,
        part: f64,
        now: Instant,
    ) -> Option<Retry> {
        let retry = Retry::acquire_part(&self.retry_budget, service, part, now);
        let outcome = if retry.is_some() { "taken" } else { "denied" };
        metrics::counter!("kelpworks_repeats_total", "outcome" => outcome).increment(1);
        retry
    }

    /// Records that all upstreams of a service were seen to run after `since`, so that requests of a former process
    /// of this daemon that arrive late have done so.
    pub(crate) fn record_upstreams_ran(
        &self,
        service: &Arc<str>,
        since: Instant,
        source: &'static str,
    ) {
        let now = Instant::now();
        let is_first = self
            .retry_budget()
            .record_upstreams_ran(service, since, now);
        if is_first {
            info!(
                target: "decision",
                service:% = service,
                source:% = source,
                age_ms = now.duration_since(since).as_millis() as u64,
                process_age_ms = now.duration_since(self.started).as_millis() as u64;
                "no requests of a former process left"
            );
        }
    }

    /// Locks the record of what this daemon reaches over its own links.
    pub fn reach(&self) -> MutexGuard<'_, Reach<UpstreamKey>> {
        lock(&self.reach)
    }

    /// Records a failure at an upstream that may be due to this daemon's own links.
    pub(crate) fn record_link_failure(
        &self,
        service: &Arc<str>,
        upstream: UpstreamKey,
        evidence: Evidence,
    ) {
        let now = Instant::now();
        let may_be_due = self
            .reach()
            .record_failure(service, upstream, evidence, now);
        if may_be_due {
            self.reach_changed.notify_one();
        }
    }

    /// Records data from an upstream of a service; `opened` is whether the connection that it arrived
    /// on was opened for it.
    pub(crate) fn record_contact(&self, service: &Arc<str>, opened: bool) {
        let now = Instant::now();
        self.reach().record_contact(service, opened, now);
        let since_start = now.duration_since(self.started).as_millis() as u64;
        self.last_contact_ms.store(since_start, Ordering::Relaxed);
    }

    /// Returns whether data of any upstream arrived that was not in flight at `at`.
    fn has_contact_since(&self, at: Instant) -> bool {
        let since_start = Duration::from_millis(self.last_contact_ms.load(Ordering::Relaxed));
        self.started + since_start > at + MAX_IN_FLIGHT
    }

    /// Waits until a probe may be due earlier than before.
    pub(crate) async fn reach_changed(&self) {
        self.reach_changed.notified().await;
    }

    /// Applies the result of a probe of the upstreams of a service, and logs a change.
    pub(crate) fn record_probe(&self, service: &Arc<str>, probe: Probe) {
        let now = Instant::now();
        let change = self.reach().record_probe(service, probe, now);
        match change {
            Some(ReachChange::Lost {
                first_failure,
                failed,
            }) => {
                self.close_connections(service);
                info!(
                    target: "decision",
                    service:% = service,
                    failed,
                    first_failure_ms = now.duration_since(first_failure).as_millis() as u64;
                    "upstreams out of reach"
                );
            }
            Some(ReachChange::Back { lost_since }) => {
                self.fleet().end_ejections(service);
                info!(
                    target: "decision",
                    service:% = service,
                    lost_ms = now.duration_since(lost_since).as_millis() as u64;
                    "upstreams within reach"
                );
            }
            None => return,
        }
        let lost = self.reach().lost().count();
        metrics::gauge!("kelpworks_unreachable_services").set(lost as f64);
    }

    /// Closes the idle connections to the upstreams of a service.
    fn close_connections(&self, service: &str) {
        let fleet = self.fleet();
        for (key, _) in fleet.of_service(service) {
            self.pool.forget(key);
        }
    }

    /// Opens a connection to each of `suspects` that was not checked recently, to tell those that have ended from
    /// the others.
    pub(crate) fn check_engines(self: &Arc<Shared>, suspects: &[UpstreamKey]) {
        let due = self.suspect_checks().begin(suspects, Instant::now());
        for key in due {
            let Some(address) = self.fleet().get(key).map(|u| u.entry.address) else {
                continue;
            };
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                let finding = pool::check(address).await;
                shared.suspect_checks().record(key, finding, Instant::now());
                if finding != Finding::Accepts {
                    shared.log_finding(key, finding);
                }
            });
        }
    }

    fn log_finding(&self, key: UpstreamKey, finding: Finding) {
        let fleet = self.fleet();
        info!(
            target: "decision",
            upstream:% = fleet.get(key).map_or("gone", |u| &u.entry.instance),
            finding:% = finding.as_str();
            "suspect checked"
        );
        metrics::counter!("kelpworks_suspects_ended_total", "finding" => finding.as_str())
            .increment(1);
    }

    /// Locks the checks of engines on stalled paths.
    pub(crate) fn suspect_checks(&self) -> MutexGuard<'_, SuspectChecks> {
        lock(&self.suspect_checks)
    }

    /// Locks the engines that are suspected because their streams are late.
    pub fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }
}
