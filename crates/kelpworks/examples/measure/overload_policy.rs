//! `overload-policy`: simulates admission with paying callers at 80% of capacity and trials at ten
//! times capacity, in front of engines that run paying steps first and engines that do not.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::sim::EventQueue;
use crate::sim::exponential;
use crate::sim::format_min_median_max;
use crate::sim::quantile;
use crate::table::Table;
use kelpworks::admission::AdmissionRequest;
use kelpworks::admission::Config;
use kelpworks::admission::Event;
use kelpworks::admission::Queue;
use kelpworks::admission::Ticket;
use kelpworks_wire::Class;

const SEEDS: u64 = 5;
/// Tokens that the pipeline runs concurrently; further ones wait in its queues.
const PIPELINE_WIDTH: usize = 32;
const TOKEN_TIME: Duration = Duration::from_millis(20);
const PAYING_LOAD: f64 = 0.8;
const TRIAL_LOAD: f64 = 10.0;
/// Range of the tokens of an answer, uniformly distributed.
const TOKENS: (u32, u32) = (20, 80);
const WARM_UP: Duration = Duration::from_secs(10);
const ARRIVALS_END: Duration = Duration::from_secs(70);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An admission policy under measurement.
trait Policy {
    /// Offers a request; returns whether it was accepted, to start now or to wait.
    fn offer(&mut self, now: Duration, id: u64, class: Class, tokens: u32) -> bool;
    fn end(&mut self, now: Duration, id: u64);
    /// Returns the next request that starts or resumes now.
    fn next(&mut self, now: Duration) -> Option<u64>;
    /// Maximum time for which a request has to pause before its next token; `None` if it may run.
    fn max_pause(&self, id: u64) -> Option<Duration>;
    fn observe(&mut self, now: Duration, class: Class, token: Duration);
    /// Called when the maximum wait of a request ends; returns whether the request was still
    /// waiting and is refused.
    fn expire(&mut self, now: Duration, id: u64) -> bool;
}

/// The daemon's admission queue.
struct Admission {
    queue: Queue,
    ids: HashMap<Ticket, u64>,
    tickets: HashMap<u64, Ticket>,
}

impl Admission {
    fn new(cfg: Config) -> Admission {
        Admission {
            queue: Queue::new(cfg),
            ids: HashMap::new(),
            tickets: HashMap::new(),
        }
    }
}

impl Policy for Admission {
    fn offer(&mut self, now: Duration, id: u64, class: Class, tokens: u32) -> bool {
        let admission_request = AdmissionRequest {
            team: if class == Class::Paying {
                "paying"
            } else {
                "trial"
            },
            class,
            weight: 1,
            cost: tokens,
        };
        let Ok(ticket) = self.queue.offer(now, &admission_request) else {
            return false;
        };
        self.ids.insert(ticket, id);
        self.tickets.insert(id, ticket);
        true
    }

    fn end(&mut self, now: Duration, id: u64) {
        if let Some(ticket) = self.tickets.remove(&id) {
            self.ids.remove(&ticket);
            self.queue.finish(now, ticket, None);
        }
    }

    fn next(&mut self, now: Duration) -> Option<u64> {
        self.queue.poll(now);
        let (Event::Admitted(ticket) | Event::Resumed(ticket)) = self.queue.next_event()?;
        self.ids.get(&ticket).copied()
    }

    fn max_pause(&self, id: u64) -> Option<Duration> {
        let may_run = self.queue.may_run(*self.tickets.get(&id)?);
        (!may_run).then(|| self.queue.trial_pause())
    }

    fn observe(&mut self, now: Duration, class: Class, token: Duration) {
        self.queue.observe_token(now, class, token);
    }

    fn expire(&mut self, now: Duration, id: u64) -> bool {
        let Some(&ticket) = self.tickets.get(&id) else {
            return false;
        };
        let refused = self.queue.time_out(now, ticket).is_some();
        if refused {
            self.tickets.remove(&id);
            self.ids.remove(&ticket);
        }
        refused
    }
}

/// Baseline: a fixed number of slots, given to paying requests first (`classes`) or in order of
/// arrival.
struct Slots {
    classes: bool,
    paying: VecDeque<u64>,
    trial: VecDeque<u64>,
    running: usize,
}

impl Slots {
    fn new(classes: bool) -> Slots {
        Slots {
            classes,
            paying: VecDeque::new(),
            trial: VecDeque::new(),
            running: 0,
        }
    }
}

impl Policy for Slots {
    fn offer(&mut self, _now: Duration, id: u64, class: Class, _tokens: u32) -> bool {
        let queue = match class {
            Class::Trial if self.classes => &mut self.trial,
            _ => &mut self.paying,
        };
        let fits = queue.len() < 1024;
        if fits {
            queue.push_back(id);
        }
        fits
    }

    fn end(&mut self, _now: Duration, _id: u64) {
        self.running -= 1;
    }

    fn next(&mut self, _now: Duration) -> Option<u64> {
        if self.running == PIPELINE_WIDTH {
            return None;
        }
        let id = self.paying.pop_front().or_else(|| self.trial.pop_front())?;
        self.running += 1;
        Some(id)
    }

    fn max_pause(&self, _id: u64) -> Option<Duration> {
        None
    }

    fn observe(&mut self, _now: Duration, _class: Class, _token: Duration) {}

    fn expire(&mut self, _now: Duration, _id: u64) -> bool {
        false
    }
}

struct Request {
    class: Class,
    arrived_at: Duration,
    tokens: u32,
    done: u32,
    /// Whether a token is in progress.
    active: bool,
}

enum SimEvent {
    Arrival(Class),
    Token(u64, Duration),
    /// Ends the pause of a request, if it still pauses before the same token.
    Release(u64, u32),
    Timeout(u64),
    Poll,
}

/// How engines order the steps of the classes.
#[derive(Clone, Copy, Debug)]
enum Engine {
    /// Paying steps first.
    Priorities,
    /// In order of arrival.
    Alike,
}

#[derive(Default)]
struct Outcome {
    paying: u32,
    paying_lost: u32,
    paying_tokens: u32,
    trial_tokens: u32,
    trials_cut: usize,
    first: Vec<f64>,
}

struct Simulation<P> {
    policy: P,
    engine: Engine,
    trials: bool,
    /// One for each class, so that paying requests are the same with and without trials.
    rngs: [StdRng; 2],
    event_queue: EventQueue<SimEvent>,
    requests: HashMap<u64, Request>,
    next_id: u64,
    /// Number of tokens that run in the pipeline.
    running: usize,
    /// Tokens that wait for the pipeline, with the start of their wait: paying, then trial. Without
    /// priorities only the first queue is used.
    queues: [VecDeque<(Duration, u64)>; 2],
    outcome: Outcome,
    max_wait: (Duration, Duration),
}

impl<P: Policy> Simulation<P> {
    fn run(mut self) -> Outcome {
        self.event_queue
            .add(Duration::ZERO, SimEvent::Arrival(Class::Paying));
        if self.trials {
            self.event_queue
                .add(Duration::ZERO, SimEvent::Arrival(Class::Trial));
        }
        self.event_queue.add(POLL_INTERVAL, SimEvent::Poll);
        while let Some((now, event)) = self.event_queue.next() {
            match event {
                SimEvent::Arrival(class) => self.arrival(now, class),
                SimEvent::Token(id, took) => self.token(now, id, took),
                SimEvent::Release(id, done) => self.release(now, id, done),
                SimEvent::Timeout(id) => self.time_out_request(now, id),
                SimEvent::Poll if now < ARRIVALS_END * 2 => {
                    self.event_queue.add(now + POLL_INTERVAL, SimEvent::Poll)
                }
                SimEvent::Poll => {}
            }
            while let Some(id) = self.policy.next(now) {
                self.begin(now, id);
            }
        }
        let cut = self.requests.values().filter(|r| r.class == Class::Trial);
        self.outcome.trials_cut = cut.count();
        self.outcome
    }

    fn arrival(&mut self, now: Duration, class: Class) {
        if now > ARRIVALS_END {
            return;
        }
        let [paying, trial] = &mut self.rngs;
        let (load, rng) = match class {
            Class::Paying => (PAYING_LOAD, paying),
            Class::Trial => (TRIAL_LOAD, trial),
        };
        let mean = TOKEN_TIME * (TOKENS.0 + TOKENS.1) / 2;
        let gap = mean.div_f64(PIPELINE_WIDTH as f64 * load);
        self.event_queue
            .add(now + exponential(gap, rng), SimEvent::Arrival(class));
        let id = self.next_id;
        self.next_id += 1;
        let request = Request {
            class,
            arrived_at: now,
            tokens: rng.random_range(TOKENS.0..=TOKENS.1),
            done: 0,
            active: false,
        };
        let accepted = self.policy.offer(now, id, class, request.tokens);
        let paying = class == Class::Paying && now > WARM_UP;
        self.outcome.paying += u32::from(paying);
        if !accepted {
            self.outcome.paying_lost += u32::from(paying);
            return;
        }
        self.requests.insert(id, request);
        let (long, short) = self.max_wait;
        let max_wait = if class == Class::Paying { long } else { short };
        self.event_queue.add(now + max_wait, SimEvent::Timeout(id));
    }

    /// Starts the next token of a request, unless one is in progress.
    fn begin(&mut self, now: Duration, id: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.active) else {
            return;
        };
        request.active = true;
        let queue = match (self.engine, request.class) {
            (Engine::Priorities, Class::Trial) => 1,
            _ => 0,
        };
        self.queues[queue].push_back((now, id));
        self.run_tokens(now);
    }

    fn run_tokens(&mut self, now: Duration) {
        while self.running < PIPELINE_WIDTH {
            let next = self.queues.iter_mut().find_map(VecDeque::pop_front);
            let Some((since, id)) = next else {
                return;
            };
            self.running += 1;
            let end = now + TOKEN_TIME;
            self.event_queue.add(end, SimEvent::Token(id, end - since));
        }
    }

    fn token(&mut self, now: Duration, id: u64, took: Duration) {
        self.running -= 1;
        self.run_tokens(now);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.active = false;
        request.done += 1;
        let (class, done, ended) = (request.class, request.done, request.done == request.tokens);
        let counts = now > WARM_UP && now <= ARRIVALS_END;
        match class {
            Class::Paying => self.outcome.paying_tokens += u32::from(counts),
            Class::Trial => self.outcome.trial_tokens += u32::from(counts),
        }
        if class == Class::Paying && done == 1 && counts {
            self.outcome
                .first
                .push((now - request.arrived_at).as_secs_f64());
        }
        self.policy.observe(now, class, took);
        if ended {
            self.requests.remove(&id);
            self.policy.end(now, id);
            return;
        }
        match self.policy.max_pause(id) {
            Some(longest) => self
                .event_queue
                .add(now + longest, SimEvent::Release(id, done)),
            None => self.begin(now, id),
        }
    }

    fn release(&mut self, now: Duration, id: u64, done: u32) {
        if self.requests.get(&id).is_some_and(|r| r.done == done) {
            self.begin(now, id);
        }
    }

    fn time_out_request(&mut self, now: Duration, id: u64) {
        if !self.policy.expire(now, id) {
            return;
        }
        let request = self.requests.remove(&id);
        let paying = request.is_some_and(|r| r.class == Class::Paying && now > WARM_UP);
        self.outcome.paying_lost += u32::from(paying);
    }
}

fn runs<P: Policy>(engine: Engine, trials: bool, policy: impl Fn(u64) -> P) -> Vec<Outcome> {
    let run = |seed| {
        let cfg = Config::default();
        let simulation = Simulation {
            policy: policy(seed),
            engine,
            trials,
            rngs: [seed, seed + 1000].map(StdRng::seed_from_u64),
            event_queue: EventQueue::new(),
            requests: HashMap::new(),
            next_id: 0,
            running: 0,
            queues: Default::default(),
            outcome: Outcome::default(),
            max_wait: (
                cfg.max_paying_delay * cfg.max_wait_factor,
                cfg.max_trial_delay * cfg.max_wait_factor,
            ),
        };
        simulation.run()
    };
    (0..SEEDS).map(run).collect()
}

fn row(engine: Engine, name: &str, reference: &[f64], mut runs: Vec<Outcome>) -> Vec<String> {
    let capacity =
        PIPELINE_WIDTH as f64 / TOKEN_TIME.as_secs_f64() * (ARRIVALS_END - WARM_UP).as_secs_f64();
    let lost = runs
        .iter()
        .map(|r| f64::from(r.paying_lost) / f64::from(r.paying));
    let lost = format_min_median_max(lost.collect());
    let fill = runs
        .iter()
        .map(|r| f64::from(r.trial_tokens) / (capacity - f64::from(r.paying_tokens)));
    let fill = format_min_median_max(fill.collect());
    let cut: usize = runs.iter().map(|r| r.trials_cut).sum();
    let mut first = |q| {
        let ratios = runs.iter_mut().zip(reference);
        format_min_median_max(
            ratios
                .map(|(r, reference)| quantile(&mut r.first, q) / reference)
                .collect(),
        )
    };
    vec![
        format!("{engine:?}").to_lowercase(),
        name.to_owned(),
        lost,
        first(0.5),
        first(0.95),
        fill,
        cut.to_string(),
    ]
}

fn admission(seed: u64) -> Admission {
    Admission::new(Config {
        seed: Some(seed),
        ..Config::default()
    })
}

fn rows(engine: Engine, rows: &mut Vec<Vec<String>>) {
    let mut reference = runs(engine, false, admission);
    let first: Vec<f64> = reference
        .iter_mut()
        .map(|r| quantile(&mut r.first, 0.95))
        .collect();
    let mut add = |name, runs| rows.push(row(engine, name, &first, runs));
    add("admission, no trials (reference)", reference);
    let trials = runs(engine, true, admission);
    add("admission", trials);
    let slots = runs(engine, true, |_| Slots::new(true));
    add("fixed slots, paying first (baseline)", slots);
    let fifo = runs(engine, true, |_| Slots::new(false));
    add("fixed slots, FIFO (baseline)", fifo);
}

/// Runs the measurement.
pub(crate) fn table() -> Table {
    let mut all = Vec::new();
    rows(Engine::Priorities, &mut all);
    rows(Engine::Alike, &mut all);
    Table {
        title: format!(
            "overload-policy: paying at {PAYING_LOAD} of capacity, trials at {TRIAL_LOAD} times \
             capacity; virtual time, 60 s, {SEEDS} seeds, min / median / max; first token over \
             the p95 of the reference"
        ),
        head: vec![
            "engine",
            "policy",
            "paying lost",
            "first token p50",
            "first token p95",
            "trials / room left",
            "trials cut off",
        ],
        rows: all,
    }
}
