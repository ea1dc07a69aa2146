//! `fairness`: simulates a team that offers twenty times its share, and what the others get.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::sim::EventQueue;
use crate::sim::exponential;
use crate::sim::format_min_median_max;
use crate::sim::jain;
use crate::table::Table;
use kelpworks::admission::AdmissionRequest;
use kelpworks::admission::Config;
use kelpworks::admission::Event;
use kelpworks::admission::Queue;
use kelpworks::admission::Ticket;
use kelpworks_wire::Class;

const SEEDS: u64 = 7;
const TEAMS: usize = 10;
const GREEDY_TEAM: usize = 0;
/// Load that the greedy team offers, over its share.
const GREEDY_LOAD_FACTOR: f64 = 20.0;
const SLOTS: usize = 32;
/// Speed of one slot.
const POSITIONS_PER_SECOND: f64 = 1000.0;
const WARM_UP: Duration = Duration::from_secs(10);
const RUN_END: Duration = Duration::from_secs(130);
/// Maximum number of waiting requests in total, the same for every policy.
const MAX_WAITING: usize = 1024;
/// Mean positions of a request. Those of the greedy team are longer, as in batch jobs.
const MEAN_COST: u32 = 200;
const GREEDY_MEAN_COST: u32 = 800;

#[derive(Clone, Copy)]
struct Job {
    team: usize,
    cost: u32,
}

enum SimEvent {
    Arrival(usize),
    End(u64),
}

/// An admission policy under measurement.
trait Policy {
    fn offer(&mut self, now: Duration, id: u64, job: Job);
    fn end(&mut self, now: Duration, id: u64);
    /// Returns the next request that starts now.
    fn start(&mut self) -> Option<u64>;
}

/// The daemon's admission queue with fair queueing.
struct Fair {
    queue: Queue,
    weights: Vec<u32>,
    names: Vec<String>,
    ids: HashMap<Ticket, u64>,
    tickets: HashMap<u64, Ticket>,
}

impl Fair {
    fn new(seed: u64, weights: Vec<u32>) -> Fair {
        let slots = SLOTS as u32;
        let cfg = Config {
            max_waiting: MAX_WAITING as u32,
            initial_limit: slots,
            min_limit: slots,
            max_limit: slots,
            seed: Some(seed),
            ..Config::default()
        };
        Fair {
            queue: Queue::new(cfg),
            weights,
            names: (0..TEAMS).map(|t| format!("team-{t}")).collect(),
            ids: HashMap::new(),
            tickets: HashMap::new(),
        }
    }
}

impl Policy for Fair {
    fn offer(&mut self, now: Duration, id: u64, job: Job) {
        let request = AdmissionRequest {
            team: &self.names[job.team],
            class: Class::Paying,
            weight: self.weights[job.team],
            cost: job.cost,
        };
        if let Ok(ticket) = self.queue.offer(now, &request) {
            self.ids.insert(ticket, id);
            self.tickets.insert(id, ticket);
        }
    }

    fn end(&mut self, now: Duration, id: u64) {
        if let Some(ticket) = self.tickets.remove(&id) {
            self.ids.remove(&ticket);
            self.queue.finish(now, ticket, None);
        }
    }

    fn start(&mut self) -> Option<u64> {
        match self.queue.next_event()? {
            Event::Admitted(ticket) => self.ids.get(&ticket).copied(),
            Event::Resumed(_) => None,
        }
    }
}

/// Baseline: one FIFO queue for all teams.
#[derive(Default)]
struct Fifo {
    waiting: VecDeque<u64>,
    running: usize,
}

impl Policy for Fifo {
    fn offer(&mut self, _now: Duration, id: u64, _job: Job) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(id);
        }
    }

    fn end(&mut self, _now: Duration, _id: u64) {
        self.running -= 1;
    }

    fn start(&mut self) -> Option<u64> {
        if self.running == SLOTS {
            return None;
        }
        let id = self.waiting.pop_front()?;
        self.running += 1;
        Some(id)
    }
}

/// Baseline: a queue for each team, served one request at a time in turn.
struct RoundRobin {
    waiting: Vec<VecDeque<u64>>,
    next: usize,
    running: usize,
}

impl Policy for RoundRobin {
    fn offer(&mut self, _now: Duration, id: u64, job: Job) {
        if self.waiting[job.team].len() < MAX_WAITING / TEAMS {
            self.waiting[job.team].push_back(id);
        }
    }

    fn end(&mut self, _now: Duration, _id: u64) {
        self.running -= 1;
    }

    fn start(&mut self) -> Option<u64> {
        if self.running == SLOTS {
            return None;
        }
        for step in 0..TEAMS {
            let team = (self.next + step) % TEAMS;
            if let Some(id) = self.waiting[team].pop_front() {
                self.next = team + 1;
                self.running += 1;
                return Some(id);
            }
        }
        None
    }
}

/// Simulates a policy. Returns for each team the positions served, over the smaller of its fair
/// share and the positions it offered.
fn run<P: Policy>(policy: &mut P, weights: &[u32], seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut event_queue = EventQueue::new();
    let capacity = SLOTS as f64 * POSITIONS_PER_SECOND;
    let total: u32 = weights.iter().sum();
    let share = |team: usize| capacity * f64::from(weights[team]) / f64::from(total);
    let gap = |team: usize| {
        let (cost, rate) = match team {
            GREEDY_TEAM => (GREEDY_MEAN_COST, share(team) * GREEDY_LOAD_FACTOR),
            _ => (MEAN_COST, share(team)),
        };
        Duration::from_secs_f64(f64::from(cost) / rate)
    };
    for team in 0..TEAMS {
        event_queue.add(exponential(gap(team), &mut rng), SimEvent::Arrival(team));
    }
    let mut jobs = HashMap::new();
    let mut offered = [0.0; TEAMS];
    let mut served = [0.0; TEAMS];
    let mut next_id = 0;
    while let Some((now, event)) = event_queue.next() {
        if now > RUN_END {
            break;
        }
        let counts = now > WARM_UP;
        match event {
            SimEvent::Arrival(team) => {
                let mean = if team == GREEDY_TEAM {
                    GREEDY_MEAN_COST
                } else {
                    MEAN_COST
                };
                let cost = rng.random_range(mean / 4..mean * 7 / 4);
                let job = Job { team, cost };
                jobs.insert(next_id, job);
                policy.offer(now, next_id, job);
                next_id += 1;
                offered[team] += if counts { f64::from(cost) } else { 0.0 };
                event_queue.add(
                    now + exponential(gap(team), &mut rng),
                    SimEvent::Arrival(team),
                );
            }
            SimEvent::End(id) => {
                policy.end(now, id);
                let job: Job = jobs[&id];
                served[job.team] += if counts { f64::from(job.cost) } else { 0.0 };
            }
        }
        while let Some(id) = policy.start() {
            let took = Duration::from_secs_f64(f64::from(jobs[&id].cost) / POSITIONS_PER_SECOND);
            event_queue.add(now + took, SimEvent::End(id));
        }
    }
    let window = (RUN_END - WARM_UP).as_secs_f64();
    (0..TEAMS)
        .map(|t| served[t] / offered[t].min(share(t) * window))
        .collect()
}

fn row(
    policy: &str,
    weighting: &str,
    weights: &[u32],
    run: impl Fn(u64, Vec<u32>) -> Vec<f64>,
) -> Vec<String> {
    let runs: Vec<Vec<f64>> = (0..SEEDS).map(|s| run(s, weights.to_vec())).collect();
    let worst = runs
        .iter()
        .map(|r| r[1..].iter().copied().fold(f64::INFINITY, f64::min));
    let mean = runs
        .iter()
        .map(|r| r[1..].iter().sum::<f64>() / (TEAMS - 1) as f64);
    let greedy = runs.iter().map(|r| r[GREEDY_TEAM]);
    let index = runs.iter().map(|r| jain(r));
    vec![
        weighting.to_owned(),
        policy.to_owned(),
        format_min_median_max(worst.collect()),
        format_min_median_max(mean.collect()),
        format_min_median_max(greedy.collect()),
        format_min_median_max(index.collect()),
    ]
}

/// Runs the measurement.
pub(crate) fn table() -> Table {
    let equal = vec![1; TEAMS];
    // A few teams are large.
    let mixed = vec![2, 4, 4, 2, 1, 1, 1, 1, 1, 1];
    let mut rows = Vec::new();
    for (name, weights) in [("equal", &equal), ("mixed", &mixed)] {
        rows.push(row("fair queueing", name, weights, |seed, w| {
            run(&mut Fair::new(seed, w.clone()), &w, seed)
        }));
        rows.push(row("FIFO (baseline)", name, weights, |seed, w| {
            run(&mut Fifo::default(), &w, seed)
        }));
        rows.push(row("round robin (baseline)", name, weights, |seed, w| {
            let mut policy = RoundRobin {
                waiting: vec![VecDeque::new(); TEAMS],
                next: 0,
                running: 0,
            };
            run(&mut policy, &w, seed)
        }));
    }
    Table {
        title: format!(
            "fairness: {TEAMS} paying teams, one at {GREEDY_LOAD_FACTOR} times its share with requests 4 times \
             as long, the others at 1 time theirs; virtual time, 120 s, {SEEDS} seeds; \
             served / min(fair share, offered), min / median / max"
        ),
        head: vec![
            "weights",
            "policy",
            "worst other",
            "mean other",
            "greedy team",
            "Jain index",
        ],
        rows,
    }
}
