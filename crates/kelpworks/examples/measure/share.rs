//! `share`: trial throughput of the fleet while each daemon enforces its own part of the limit.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::net::Net;
use crate::net::NetConfig;
use crate::stats::min_median_max;
use crate::table::Table;
use kelpworks::admission;
use kelpworks::admission::AdmissionRequest;
use kelpworks::admission::Event;
use kelpworks::admission::Queue;
use kelpworks::admission::Ticket;
use kelpworks::membership::Config;
use kelpworks::membership::share::Demand;
use kelpworks::membership::share::fair_share;
use kelpworks_wire::Class;

const SEEDS: std::ops::Range<u64> = 1..8;
const DAEMONS: usize = 7;
/// Limit for trials over the whole fleet, in positions a second.
const TRIAL_RATE: f64 = 20_000.0;
/// Total load that trials offer, over the limit.
const OFFERED_LOAD: f64 = 1.5;
/// Range of the positions of a request.
const COST_RANGE: std::ops::Range<u32> = 50..150;
/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_secs(2);
/// Step of the simulation, in which requests arrive, start and end.
const STEP_MS: u64 = 10;
/// Time until the load balancer redirects the callers of a crashed daemon.
const BALANCER_DELAY_MS: u64 = 2_000;
/// Phases of a run: warm-up, steady state, and after the crash of a daemon.
const WARM_UP_S: u64 = 30;
const STEADY_S: u64 = 60;
const DEATH_S: u64 = 60;
/// Window over which the smallest and largest mean rates are taken.
const WINDOW_S: usize = 10;

/// How a daemon computes its part of the limit.
#[derive(Clone, Copy, PartialEq)]
enum SplitPolicy {
    /// In proportion to the demand that the daemons report to each other, with a minimum weight.
    ByDemand,
    /// Baseline: the same part for each daemon.
    Equal,
}

/// Callers and admission queue of one daemon.
struct Gate {
    queue: Queue,
    demand: Demand,
    offered: u64,
    offered_before: u64,
    /// Share of all callers that use this daemon.
    skew: f64,
    /// Offered positions that do not make a request yet; negative after a larger request.
    pending: f64,
    running: Vec<(Duration, Ticket)>,
    costs: Vec<(Ticket, u32)>,
}

/// Positions started in each second of a run, over the limit.
struct Run {
    seconds: Vec<f64>,
}

impl Run {
    fn mean(&self, from: u64, to: u64) -> f64 {
        let part = &self.seconds[from as usize..to as usize];
        part.iter().sum::<f64>() / part.len() as f64
    }

    /// Smallest mean over a window of [`WINDOW_S`].
    fn worst(&self, from: u64, to: u64) -> f64 {
        let part = &self.seconds[from as usize..to as usize];
        let means = part
            .windows(WINDOW_S)
            .map(|w| w.iter().sum::<f64>() / WINDOW_S as f64);
        means.fold(f64::INFINITY, f64::min)
    }

    /// Largest mean over a window of [`WINDOW_S`].
    fn greatest(&self, from: u64, to: u64) -> f64 {
        let part = &self.seconds[from as usize..to as usize];
        let means = part
            .windows(WINDOW_S)
            .map(|w| w.iter().sum::<f64>() / WINDOW_S as f64);
        means.fold(0.0, f64::max)
    }
}

/// Runs the measurement.
pub(crate) fn run() -> Table {
    let mut rows = Vec::new();
    for (crashed, name) in [(0, "least loaded dies"), (DAEMONS - 1, "most loaded dies")] {
        for (policy, baseline) in [
            (SplitPolicy::ByDemand, "by demand"),
            (SplitPolicy::Equal, "equal split"),
        ] {
            let runs: Vec<Run> = SEEDS.map(|seed| simulate(policy, crashed, seed)).collect();
            rows.push(row(name, baseline, &runs));
        }
    }
    Table {
        title: format!(
            "share: positions that trials started over the rule, {DAEMONS} daemons, balancer skew \
             1:5, offered {OFFERED_LOAD} times the rule (min/median/max of {} seeds, virtual clock)",
            SEEDS.end - SEEDS.start
        ),
        head: vec![
            "death",
            "parts",
            "steady 60 s",
            "60 s from the death",
            "worst 10 s",
            "greatest 10 s",
        ],
        rows,
    }
}

fn row(name: &str, policy: &str, runs: &[Run]) -> Vec<String> {
    let death = WARM_UP_S + STEADY_S;
    let end = death + DEATH_S;
    let show = |of: &dyn Fn(&Run) -> f64| {
        let values: Vec<f64> = runs.iter().map(of).collect();
        min_median_max(&values, 3).join("/")
    };
    vec![
        name.to_owned(),
        policy.to_owned(),
        show(&|r| r.mean(WARM_UP_S, death)),
        show(&|r| r.mean(death, end)),
        show(&|r| r.worst(WARM_UP_S, end)),
        show(&|r| r.greatest(WARM_UP_S, end)),
    ]
}

fn simulate(policy: SplitPolicy, crashed: usize, seed: u64) -> Run {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut net = Net::new(NetConfig {
        daemons: DAEMONS,
        regions: 1,
        node: Config::default(),
        all_watch: false,
        count_bytes: false,
        seed,
    });
    let mut gates: Vec<Gate> = (0..DAEMONS).map(|at| Gate::new(skew(at), seed)).collect();
    let death = WARM_UP_S + STEADY_S;
    let mut seconds = Vec::new();
    for second in 0..death + DEATH_S {
        if second == death {
            net.crash(crashed);
        }
        for (at, gate) in gates.iter_mut().enumerate() {
            if net.node(at).is_some() {
                gate.set_rate(policy, &mut net, at);
            }
        }
        let mut started = 0;
        for _ in 0..1_000 / STEP_MS {
            net.run_for(STEP_MS);
            let moved = net.now_ms() >= death * 1_000 + BALANCER_DELAY_MS;
            started += step(&mut gates, &net, moved, &mut rng);
        }
        seconds.push(started as f64 / TRIAL_RATE);
    }
    Run { seconds }
}

/// Share of the callers that use a daemon: weights rise from 1 to 5 over the daemons, and the
/// shares add up to 1.
fn skew(at: usize) -> f64 {
    let weight = |at: usize| 1.0 + 4.0 * at as f64 / (DAEMONS - 1) as f64;
    weight(at) / (0..DAEMONS).map(weight).sum::<f64>()
}

/// Simulates one step of arrivals and admission; returns the positions that started.
fn step(gates: &mut [Gate], net: &Net, moved: bool, rng: &mut StdRng) -> u64 {
    let now = Duration::from_millis(net.now_ms());
    let up = |at: usize| net.node(at).is_some();
    let lost: f64 = (0..gates.len())
        .filter(|&at| !up(at))
        .map(|at| gates[at].skew)
        .sum();
    let mut started = 0;
    for (at, gate) in gates.iter_mut().enumerate() {
        if !up(at) {
            continue;
        }
        // Callers of a crashed daemon get no answer until the balancer redirects them.
        let skew = if moved {
            gate.skew / (1.0 - lost)
        } else {
            gate.skew
        };
        gate.arrive(now, skew, rng);
        started += gate.serve(now);
    }
    started
}

impl Gate {
    fn new(skew: f64, seed: u64) -> Gate {
        let cfg = admission::Config {
            // High enough that only the trial rate limits the requests.
            initial_limit: 100_000,
            max_limit: 100_000,
            seed: Some(seed),
            ..admission::Config::default()
        };
        Gate {
            queue: Queue::new(cfg),
            demand: Demand::default(),
            offered: 0,
            offered_before: 0,
            skew,
            pending: 0.0,
            running: Vec::new(),
            costs: Vec::new(),
        }
    }

    /// Updates the demand and the trial rate, as the daemon does once a second.
    fn set_rate(&mut self, policy: SplitPolicy, net: &mut Net, at: usize) {
        let own = self.demand.observe(self.offered - self.offered_before);
        self.offered_before = self.offered;
        let mut others = Vec::new();
        net.act(at, |node, _| {
            node.set_trial_demand(own);
            others = node.trial_demands();
            Vec::new()
        });
        let rate = match policy {
            SplitPolicy::ByDemand => fair_share(TRIAL_RATE, own, &others),
            SplitPolicy::Equal => TRIAL_RATE / (others.len() as f64 + 1.0),
        };
        let now = Duration::from_millis(net.now_ms());
        self.queue.set_trial_rate(now, rate);
    }

    fn arrive(&mut self, now: Duration, skew: f64, rng: &mut StdRng) {
        let mean = TRIAL_RATE * OFFERED_LOAD * skew * STEP_MS as f64 / 1_000.0;
        self.pending += mean * rng.random_range(0.0..2.0);
        while self.pending > 0.0 {
            let cost = rng.random_range(COST_RANGE);
            self.pending -= f64::from(cost);
            self.offered += u64::from(cost);
            let request = AdmissionRequest {
                team: "trial",
                class: Class::Trial,
                weight: 1,
                cost,
            };
            if let Ok(ticket) = self.queue.offer(now, &request) {
                self.costs.push((ticket, cost));
            }
        }
    }

    /// Starts admitted requests and finishes completed ones; returns the positions that started.
    fn serve(&mut self, now: Duration) -> u64 {
        let mut started = 0;
        self.queue.poll(now);
        while let Some(event) = self.queue.next_event() {
            let Event::Admitted(ticket) = event else {
                continue;
            };
            let at = self.costs.iter().position(|c| c.0 == ticket);
            let (_, cost) = self.costs.swap_remove(at.expect("an offered request"));
            started += u64::from(cost);
            self.running.push((now + SERVICE_TIME, ticket));
        }
        let (done, running) = self.running.iter().partition(|r| r.0 <= now);
        self.running = running;
        let done: Vec<(Duration, Ticket)> = done;
        for (_, ticket) in done {
            self.queue.finish(now, ticket, None);
        }
        started
    }
}
