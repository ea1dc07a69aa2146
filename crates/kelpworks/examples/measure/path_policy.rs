//! `path-policy`: simulates routing policies; tokens a second over the rate of the slowest stage.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::decision::LAYERS;
use crate::decision::LayerSplit;
use crate::decision::fleet;
use crate::sim::EventQueue;
use crate::sim::format_min_median_max;
use crate::sim::quantile;
use crate::table::Table;
use kelpworks::fleet::DomainKey;
use kelpworks::fleet::Fleet;
use kelpworks::fleet::ModelKey;
use kelpworks::fleet::Upstream;
use kelpworks::fleet::UpstreamKey;
use kelpworks::routing::Hop;
use kelpworks::routing::PathGuard;
use kelpworks::routing::PathQuery;
use kelpworks::routing::choose_path;
use kelpworks_wire::Class;
use kelpworks_wire::LayerRange;

const SEEDS: u64 = 5;
const UPSTREAMS: usize = 40;
const DAEMONS: usize = 7;
/// Range of the tokens of a session, uniformly distributed.
const TOKENS: (u32, u32) = (20, 200);
const WARM_UP: Duration = Duration::from_secs(2);
const RUN_END: Duration = Duration::from_secs(12);
/// Weight of a new step time in the smoothed one.
const STEP_TIME_GAIN: f64 = 0.125;

/// How a session's path is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathPolicy {
    /// Shortest path over sampled upstreams, as in the daemon.
    Shortest,
    /// For each stage, the upstream with the least load: the last report plus steps sent since.
    LeastLoaded,
    /// For each stage, the upstream with the fewest of this daemon's sessions.
    FewestSessions,
    /// For each stage, its upstreams in turn.
    RoundRobin,
}

/// A slot for sessions: a new session starts when one ends.
struct Session {
    daemon: usize,
    hops: Vec<Hop>,
    path_guard: Option<PathGuard>,
    /// Index of the hop that runs next.
    at: usize,
    tokens_left: u32,
    /// When the step in progress was sent, and when its token was started.
    sent_at: Duration,
    token_started: Duration,
}

struct Simulation {
    policy: PathPolicy,
    rng: StdRng,
    /// Fleet view of each daemon; the upstream keys are the same in all.
    daemons: Vec<Fleet>,
    /// When each upstream will have run all steps it has received; same order as `keys`.
    idle_at: Vec<Duration>,
    keys: Vec<UpstreamKey>,
    sessions: Vec<Session>,
    next_holder: usize,
    tokens: u32,
    token_times: Vec<f64>,
}

#[derive(Clone, Copy)]
enum SimEvent {
    /// A step reaches its upstream.
    Step(usize),
    /// The reply to a step reaches the daemon.
    Reply(usize),
}

impl Simulation {
    fn new(policy: PathPolicy, sessions: usize, seed: u64) -> Simulation {
        let daemon = |_| {
            let mut fleet = fleet(UPSTREAMS, LayerSplit::Four, seed);
            for (_, upstream) in &mut fleet.upstreams {
                upstream.counters.reported.store(0, Ordering::Relaxed);
            }
            fleet
        };
        let daemons: Vec<Fleet> = (0..DAEMONS).map(daemon).collect();
        let session = |i| Session {
            daemon: i % DAEMONS,
            hops: Vec::new(),
            path_guard: None,
            at: 0,
            tokens_left: 0,
            sent_at: Duration::ZERO,
            token_started: Duration::ZERO,
        };
        Simulation {
            policy,
            rng: StdRng::seed_from_u64(seed),
            keys: daemons[0].by_model[0].clone(),
            daemons,
            idle_at: vec![Duration::ZERO; UPSTREAMS],
            sessions: (0..sessions).map(session).collect(),
            next_holder: 0,
            tokens: 0,
            token_times: Vec::new(),
        }
    }

    fn run(mut self) -> Simulation {
        let mut event_queue = EventQueue::new();
        for id in 0..self.sessions.len() {
            self.begin(id, Duration::ZERO);
            event_queue.add(Duration::from_micros(id as u64 * 100), SimEvent::Step(id));
        }
        while let Some((now, event)) = event_queue.next() {
            if now > RUN_END {
                break;
            }
            match event {
                SimEvent::Step(id) => {
                    let end = self.step(id, now);
                    event_queue.add(end, SimEvent::Reply(id));
                }
                SimEvent::Reply(id) => {
                    let at = now + self.reply(id, now);
                    event_queue.add(at, SimEvent::Step(id));
                }
            }
        }
        self
    }

    /// Starts a new session in a slot.
    fn begin(&mut self, id: usize, now: Duration) {
        let daemon = self.sessions[id].daemon;
        self.sessions[id].path_guard = None;
        let hops = self.path(daemon);
        let path_guard = PathGuard::new(&self.daemons[daemon], &hops);
        let tokens_left = self.rng.random_range(TOKENS.0..=TOKENS.1);
        let session = &mut self.sessions[id];
        session.hops = hops;
        session.path_guard = Some(path_guard);
        session.tokens_left = tokens_left;
        session.at = 0;
        session.token_started = now;
        self.send(id, now);
    }

    fn send(&mut self, id: usize, now: Duration) {
        let session = &mut self.sessions[id];
        session.sent_at = now;
        let key = session.hops[session.at].upstream;
        let counters = &self.daemons[session.daemon].upstreams[key].counters;
        counters.sent_since_report.fetch_add(1, Ordering::Relaxed);
    }

    /// Queues a step on its upstream in order of arrival and returns when its reply arrives.
    fn step(&mut self, id: usize, now: Duration) -> Duration {
        let session = &self.sessions[id];
        let hop = &session.hops[session.at];
        let upstream = &self.daemons[session.daemon].upstreams[hop.upstream];
        let layers = f64::from(hop.layers.end - hop.layers.first);
        let index_of = self.index_of(hop.upstream);
        let end =
            self.idle_at[index_of].max(now) + Duration::from_secs_f64(layers / upstream.layer_rate);
        self.idle_at[index_of] = end;
        end
    }

    /// Handles a reply and the load report in it, and sends the next step; returns the link latency
    /// to the upstream of that step.
    fn reply(&mut self, id: usize, now: Duration) -> Duration {
        let session = &mut self.sessions[id];
        let daemon = session.daemon;
        let hop = session.hops[session.at].clone();
        let took = (now - session.sent_at).as_secs_f64() * 1e6;
        session.at += 1;
        if session.at == session.hops.len() {
            session.at = 0;
            session.tokens_left -= 1;
            if now > WARM_UP {
                self.tokens += 1;
                self.token_times
                    .push((now - session.token_started).as_secs_f64());
            }
            session.token_started = now;
        }
        let ended = session.tokens_left == 0;
        self.report(daemon, &hop, took, now);
        if ended {
            self.begin(id, now);
        } else {
            self.send(id, now);
        }
        let session = &self.sessions[id];
        let fleet = &self.daemons[daemon];
        let next = fleet.upstreams[session.hops[session.at].upstream].domain;
        let from = fleet.upstreams[hop.upstream].domain;
        fleet.link(from, next).latency
    }

    fn report(&mut self, daemon: usize, hop: &Hop, took: f64, now: Duration) {
        let index_of = self.index_of(hop.upstream);
        let upstream = &mut self.daemons[daemon].upstreams[hop.upstream];
        let layers = f64::from(hop.layers.end - hop.layers.first);
        let waiting = self.idle_at[index_of].saturating_sub(now).as_secs_f64();
        let queued = (waiting * upstream.layer_rate / layers).round() as u32;
        let counters = &upstream.counters;
        counters.reported.store(queued, Ordering::Relaxed);
        counters.sent_since_report.store(0, Ordering::Relaxed);
        let before = counters.step_us.load(Ordering::Relaxed) as f64;
        let smoothed = if before == 0.0 {
            took
        } else {
            before + (took - before) * STEP_TIME_GAIN
        };
        counters.step_us.store(smoothed as u64, Ordering::Relaxed);
    }

    fn path(&mut self, daemon: usize) -> Vec<Hop> {
        if self.policy != PathPolicy::Shortest {
            return (0..4).map(|stage| self.stage_hop(daemon, stage)).collect();
        }
        let query = PathQuery {
            model: ModelKey(0),
            version: None,
            from: DomainKey(0),
            class: Class::Paying,
            prefill: 0,
            avoid: &[],
            keep: &[],
            now_ms: 0,
        };
        let path = choose_path(&self.daemons[daemon], &query, &mut self.rng);
        path.map(|p| p.hops).unwrap_or_default()
    }

    fn stage_hop(&mut self, daemon: usize, stage: u32) -> Hop {
        let layers = LayerRange {
            first: stage * LAYERS / 4,
            end: (stage + 1) * LAYERS / 4,
        };
        let fleet = &self.daemons[daemon];
        let holds =
            |key: &&UpstreamKey| fleet.upstreams[**key].layer_assignments[0].layers == layers;
        let holders: Vec<UpstreamKey> = self.keys.iter().filter(holds).copied().collect();
        self.next_holder += 1;
        let rng = &mut self.rng;
        let mut least = |load: fn(&Upstream) -> u32| {
            // Ties are broken at random; otherwise all sessions would take the first upstream.
            let loads = holders.iter().map(|&key| {
                let order = (load(&fleet.upstreams[key]), rng.random::<u32>());
                (order, key)
            });
            loads.min().map(|(_, key)| key)
        };
        let upstream = match self.policy {
            PathPolicy::LeastLoaded => least(|u| {
                u.counters.reported.load(Ordering::Relaxed)
                    + u.counters.sent_since_report.load(Ordering::Relaxed)
            }),
            PathPolicy::FewestSessions => least(|u| u.counters.sessions.load(Ordering::Relaxed)),
            _ => holders.get(self.next_holder / 4 % holders.len()).copied(),
        };
        Hop {
            upstream: upstream.unwrap_or(self.keys[0]),
            layers,
        }
    }

    fn index_of(&self, key: UpstreamKey) -> usize {
        self.keys.iter().position(|&k| k == key).unwrap_or(0)
    }

    /// Tokens a second that the slowest stage can run.
    fn bound(&self) -> f64 {
        let fleet = &self.daemons[0];
        let stage = |s: u32| {
            let holds = fleet.upstreams.values();
            let holds = holds.filter(|u| u.layer_assignments[0].layers.first == s * LAYERS / 4);
            holds.map(|u| u.layer_rate).sum::<f64>() / f64::from(LAYERS / 4)
        };
        (0..4).map(stage).fold(f64::INFINITY, f64::min)
    }
}

fn row(policy: PathPolicy, name: &str, sessions: usize) -> Vec<String> {
    let runs = (0..SEEDS).map(|seed| Simulation::new(policy, sessions, seed).run());
    let mut runs: Vec<Simulation> = runs.collect();
    let seconds = (RUN_END - WARM_UP).as_secs_f64();
    let rates = runs
        .iter()
        .map(|w| f64::from(w.tokens) / seconds / w.bound());
    let rates = format_min_median_max(rates.collect());
    // By Little's law, the time of a token when the load is even on all upstreams.
    let even_load_time: Vec<f64> = runs.iter().map(|w| sessions as f64 / w.bound()).collect();
    let times = runs.iter_mut().zip(even_load_time);
    let times =
        times.map(|(w, even_load_time)| quantile(&mut w.token_times, 0.95) / even_load_time);
    vec![
        sessions.to_string(),
        name.to_owned(),
        rates,
        format_min_median_max(times.collect()),
    ]
}

/// Runs the measurement.
pub(crate) fn table() -> Table {
    let mut rows = Vec::new();
    for sessions in [70, 210, 700] {
        rows.push(row(
            PathPolicy::Shortest,
            "shortest path, sampled",
            sessions,
        ));
        rows.push(row(
            PathPolicy::LeastLoaded,
            "least loaded (baseline)",
            sessions,
        ));
        rows.push(row(
            PathPolicy::FewestSessions,
            "fewest sessions (baseline)",
            sessions,
        ));
        rows.push(row(
            PathPolicy::RoundRobin,
            "round robin (baseline)",
            sessions,
        ));
    }
    Table {
        title: format!(
            "path-policy: {UPSTREAMS} upstreams of three speeds (1 : 2.25 : 5) in four stages and \
             four failure domains, {DAEMONS} daemons with reports that ride on replies; virtual \
             time, 10 s, {SEEDS} seeds, min / median / max"
        ),
        head: vec![
            "sessions",
            "way",
            "tokens/s over the bound",
            "p95 token time over even",
        ],
        rows,
    }
}
