//! `busy`: simulates how a daemon should treat an upstream that refuses calls because it is full.
//!
//! Compares the cooldown with other reactions to a refusal and with upstreams that stay silent
//! when full, by completed calls, latency and refusals per call.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::sim::EventQueue;
use crate::sim::exponential;
use crate::sim::format_min_median_max;
use crate::sim::quantile;
use crate::table::Table;
use kelpworks::fleet::Counters;
use kelpworks::fleet::DomainKey;
use kelpworks::fleet::Fleet;
use kelpworks::fleet::Health;
use kelpworks::fleet::LayerAssignment;
use kelpworks::fleet::LinkCost;
use kelpworks::fleet::ModelKey;
use kelpworks::fleet::ModelView;
use kelpworks::fleet::Upstream;
use kelpworks::fleet::UpstreamKey;
use kelpworks::retry::Attempt;
use kelpworks::retry::BusyConfig;
use kelpworks::retry::Cooldowns;
use kelpworks::retry::DeadlineConfig;
use kelpworks::retry::Decision;
use kelpworks::retry::RetryBudget;
use kelpworks::retry::RetryConfig;
use kelpworks::retry::StepDeadline;
use kelpworks::routing::PathQuery;
use kelpworks::routing::choose_path;
use kelpworks::verdict::Verdict;
use kelpworks_wire::Class;
use kelpworks_wire::LayerRange;

const SEEDS: u64 = 5;
const DAEMONS: usize = 7;
/// Concurrent calls that each upstream runs; it refuses further ones.
const SLOTS: [u32; 12] = [2, 2, 3, 3, 4, 4, 5, 5, 6, 6, 8, 12];
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(200);
const LINK_LATENCY: Duration = Duration::from_micros(500);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const ARRIVALS_END: Duration = Duration::from_secs(60);
/// Deadline of a caller's request; a later answer does not count as completed.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time for which an upstream stays suspect after a refusal.
const PENALTY_DURATION: Duration = Duration::from_secs(5);
/// Share of the calls that are not idempotent.
const NON_IDEMPOTENT_SHARE: f64 = 0.2;

/// How a full upstream refuses and how the daemon reacts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalPolicy {
    /// The upstream answers busy; the daemon ranks it last during a cooldown.
    Cooldown,
    /// The upstream answers busy; the daemon only tries another one.
    NoCooldown,
    /// The upstream answers busy; the daemon marks it suspect for [`PENALTY_DURATION`].
    MarkSuspect,
    /// The upstream does not answer; the step deadline ends the attempt, which may have run.
    Timeout,
    /// As [`RefusalPolicy::Timeout`], and the daemon then marks the upstream suspect for
    /// [`PENALTY_DURATION`].
    TimeoutMarkSuspect,
}

impl RefusalPolicy {
    fn times_out(self) -> bool {
        matches!(
            self,
            RefusalPolicy::Timeout | RefusalPolicy::TimeoutMarkSuspect
        )
    }

    fn marks_suspect(self) -> bool {
        matches!(
            self,
            RefusalPolicy::MarkSuspect | RefusalPolicy::TimeoutMarkSuspect
        )
    }
}

/// A daemon with its own view of the fleet.
struct Daemon {
    fleet: Fleet,
    keys: Vec<UpstreamKey>,
    budget: RetryBudget,
    cooldowns: Cooldowns,
    deadlines: Vec<StepDeadline>,
}

struct Call {
    daemon: usize,
    arrived_at: Duration,
    idempotent: bool,
    attempts: u32,
    failed: Vec<UpstreamKey>,
}

#[derive(Clone, Copy)]
enum SimEvent {
    Arrival,
    Attempt(u64),
    /// A call reaches an upstream, given by its index.
    Reach(u64, usize),
    Served(u64, usize, Duration),
    Refused(u64, usize),
    PenaltyEnd(usize, usize),
    Report,
}

/// Results of one simulation run.
#[derive(Default)]
struct Outcome {
    calls: u32,
    refusals: u32,
    latencies: Vec<f64>,
}

struct Simulation {
    policy: RefusalPolicy,
    load: f64,
    rng: StdRng,
    event_queue: EventQueue<SimEvent>,
    daemons: Vec<Daemon>,
    running: Vec<u32>,
    calls: HashMap<u64, Call>,
    next_call: u64,
    outcome: Outcome,
}

fn fleet() -> (Fleet, Vec<UpstreamKey>) {
    let mut fleet = Fleet {
        domains: vec!["alm-hall-a".to_owned()],
        models: vec![ModelView {
            name: "captions".to_owned(),
            layers: 1,
            versions: vec!["v1".to_owned()],
        }],
        links: vec![LinkCost {
            latency: LINK_LATENCY,
            bytes_per_second: 1_000_000_000,
        }],
        ..Fleet::default()
    };
    let upstream = |slots: u32| Upstream {
        name: Arc::from("host"),
        url: Arc::from(""),
        domain: DomainKey(0),
        health: Health::Live,
        layer_rate: f64::from(slots) / MEAN_SERVICE_TIME.as_secs_f64(),
        layer_assignments: vec![LayerAssignment {
            model: ModelKey(0),
            version: 0,
            layers: LayerRange { first: 0, end: 1 },
        }],
        service: None,
        incarnation: 1,
        counters: Arc::new(Counters::default()),
    };
    let keys: Vec<UpstreamKey> = SLOTS
        .iter()
        .map(|&slots| fleet.upstreams.insert(upstream(slots)))
        .collect();
    fleet.by_model = vec![keys.clone()];
    (fleet.indexed(), keys)
}

impl Simulation {
    fn new(policy: RefusalPolicy, load: f64, seed: u64) -> Simulation {
        let daemon = |_| {
            let (fleet, keys) = fleet();
            Daemon {
                fleet,
                keys,
                budget: RetryBudget::new(RetryConfig::default()),
                cooldowns: Cooldowns::new(BusyConfig::default()),
                deadlines: vec![StepDeadline::default(); SLOTS.len()],
            }
        };
        Simulation {
            policy,
            load,
            rng: StdRng::seed_from_u64(seed),
            event_queue: EventQueue::new(),
            daemons: (0..DAEMONS).map(daemon).collect(),
            running: vec![0; SLOTS.len()],
            calls: HashMap::new(),
            next_call: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        self.event_queue.add(Duration::ZERO, SimEvent::Arrival);
        self.event_queue.add(REPORT_INTERVAL, SimEvent::Report);
        while let Some((now, event)) = self.event_queue.next() {
            match event {
                SimEvent::Arrival => self.arrival(now),
                SimEvent::Attempt(call) => self.attempt(now, call),
                SimEvent::Reach(call, at) => self.reach(now, call, at),
                SimEvent::Served(call, at, took) => self.served(now, call, at, took),
                SimEvent::Refused(call, at) => self.refused(now, call, at),
                SimEvent::PenaltyEnd(daemon, at) => self.set_health(daemon, at, Health::Live),
                SimEvent::Report => self.report(now),
            }
        }
        self.outcome
    }

    fn arrival(&mut self, now: Duration) {
        if now > ARRIVALS_END {
            return;
        }
        let slots: u32 = SLOTS.iter().sum();
        let gap = MEAN_SERVICE_TIME.div_f64(f64::from(slots) * self.load);
        self.event_queue
            .add(now + exponential(gap, &mut self.rng), SimEvent::Arrival);
        let call = Call {
            daemon: self.rng.random_range(0..DAEMONS),
            arrived_at: now,
            idempotent: !self.rng.random_bool(NON_IDEMPOTENT_SHARE),
            attempts: 0,
            failed: Vec::new(),
        };
        self.calls.insert(self.next_call, call);
        self.outcome.calls += 1;
        self.attempt(now, self.next_call);
        self.next_call += 1;
    }

    fn attempt(&mut self, now: Duration, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.attempts += 1;
        let daemon = &self.daemons[call.daemon];
        let query = PathQuery {
            model: ModelKey(0),
            version: None,
            from: DomainKey(0),
            class: Class::Paying,
            prefill: 0,
            avoid: &call.failed,
            keep: &[],
            now_ms: now.as_millis() as u64,
        };
        let Ok(path) = choose_path(&daemon.fleet, &query, &mut self.rng) else {
            return;
        };
        let key = path.hops[0].upstream;
        let at = daemon.keys.iter().position(|&k| k == key).unwrap_or(0);
        let counters = &daemon.fleet.upstreams[key].counters;
        counters.sent_since_report.fetch_add(1, Ordering::Relaxed);
        self.event_queue
            .add(now + LINK_LATENCY, SimEvent::Reach(id, at));
    }

    fn reach(&mut self, now: Duration, id: u64, at: usize) {
        if self.running[at] < SLOTS[at] {
            self.running[at] += 1;
            let took = exponential(MEAN_SERVICE_TIME, &mut self.rng);
            self.event_queue
                .add(now + took, SimEvent::Served(id, at, took));
            return;
        }
        self.outcome.refusals += 1;
        let daemon = &self.daemons[self.calls[&id].daemon];
        let wait = if self.policy.times_out() {
            daemon.deadlines[at].deadline(&DeadlineConfig::default(), 1)
        } else {
            LINK_LATENCY
        };
        self.event_queue.add(now + wait, SimEvent::Refused(id, at));
    }

    fn served(&mut self, now: Duration, id: u64, at: usize, took: Duration) {
        self.running[at] -= 1;
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let daemon = &mut self.daemons[call.daemon];
        daemon.budget.record_success();
        daemon.deadlines[at].observe(took, 1);
        if self.policy == RefusalPolicy::Cooldown {
            let counters = &daemon.fleet.upstreams[daemon.keys[at]].counters;
            daemon.cooldowns.clear_cooldown(daemon.keys[at], counters);
        }
        let latency = now + LINK_LATENCY - call.arrived_at;
        if latency <= DEADLINE {
            self.outcome.latencies.push(latency.as_secs_f64() * 1e3);
        }
    }

    fn refused(&mut self, now: Duration, id: u64, at: usize) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let index = call.daemon;
        let daemon = &mut self.daemons[index];
        let key = daemon.keys[at];
        call.failed.push(key);
        let now_ms = now.as_millis() as u64;
        if self.policy == RefusalPolicy::Cooldown {
            let counters = &daemon.fleet.upstreams[key].counters;
            let none = Duration::ZERO;
            daemon
                .cooldowns
                .record_refusal(key, counters, none, now_ms, &mut self.rng);
        }
        let attempt = Attempt {
            verdict: if self.policy.times_out() {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            },
            idempotent: call.idempotent,
            attempts: call.attempts,
            time_left: (call.arrived_at + DEADLINE).saturating_sub(now),
        };
        match daemon.budget.decide(now, &attempt, &mut self.rng) {
            Decision::RetryAfter(delay) => self.event_queue.add(now + delay, SimEvent::Attempt(id)),
            Decision::Abandon(_) => {
                self.calls.remove(&id);
            }
        }
        if self.policy.marks_suspect() {
            self.set_health(index, at, Health::Suspect);
            self.event_queue
                .add(now + PENALTY_DURATION, SimEvent::PenaltyEnd(index, at));
        }
    }

    fn set_health(&mut self, daemon: usize, at: usize, health: Health) {
        let daemon = &mut self.daemons[daemon];
        daemon.fleet.upstreams[daemon.keys[at]].health = health;
        daemon.fleet = std::mem::take(&mut daemon.fleet).indexed();
    }

    fn report(&mut self, now: Duration) {
        if now > ARRIVALS_END {
            return;
        }
        self.event_queue
            .add(now + REPORT_INTERVAL, SimEvent::Report);
        for daemon in &mut self.daemons {
            for (at, &key) in daemon.keys.iter().enumerate() {
                let upstream = &mut daemon.fleet.upstreams[key];
                let counters = &upstream.counters;
                counters.reported.store(self.running[at], Ordering::Relaxed);
                counters.sent_since_report.store(0, Ordering::Relaxed);
            }
        }
    }
}

fn row(policy: RefusalPolicy, name: &str, load: f64) -> Vec<String> {
    let runs = (0..SEEDS).map(|seed| Simulation::new(policy, load, seed).run());
    let mut runs: Vec<Outcome> = runs.collect();
    let completed = runs
        .iter()
        .map(|r| r.latencies.len() as f64 / f64::from(r.calls));
    let completed = format_min_median_max(completed.collect());
    let refusals = runs
        .iter()
        .map(|r| f64::from(r.refusals) / f64::from(r.calls));
    let refusals = format_min_median_max(refusals.collect());
    let mut latency = |q| {
        let values = runs
            .iter_mut()
            .map(|r| quantile(&mut r.latencies, q) / 200.0);
        format_min_median_max(values.collect())
    };
    vec![
        format!("{load}"),
        name.to_owned(),
        completed,
        latency(0.5),
        latency(0.95),
        latency(0.99),
        refusals,
    ]
}

/// Runs the measurement.
pub(crate) fn table() -> Table {
    let policies = [
        (RefusalPolicy::Cooldown, "busy, cooldown"),
        (RefusalPolicy::NoCooldown, "busy, no cooldown (baseline)"),
        (
            RefusalPolicy::MarkSuspect,
            "busy, suspect for 5 s (baseline)",
        ),
        (RefusalPolicy::Timeout, "silence (baseline)"),
        (
            RefusalPolicy::TimeoutMarkSuspect,
            "silence, suspect for 5 s (baseline)",
        ),
    ];
    let mut rows = Vec::new();
    for load in [0.7, 0.9, 1.2] {
        for (policy, name) in policies {
            rows.push(row(policy, name, load));
        }
    }
    Table {
        title: format!(
            "busy: {DAEMONS} daemons, {} upstreams that refuse when full, 20% of the calls \
             non-idempotent, deadline 5 s; virtual time, 60 s, {SEEDS} seeds; latency over the \
             mean service time, min / median / max",
            SLOTS.len()
        ),
        head: vec![
            "load",
            "a refusal is",
            "completed",
            "p50",
            "p95",
            "p99",
            "refusals a call",
        ],
        rows,
    }
}
