//! `overload-policy`: paying callers at 80% of capacity while trials offer ten times capacity, by
//! admission alone, before engines that serve paying steps first and before such that do not.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::sim::Agenda;
use crate::sim::exponential;
use crate::sim::quantile;
use crate::sim::spread;
use crate::table::Table;
use kelpworks::admission::AdmissionRequest;
use kelpworks::admission::Config;
use kelpworks::admission::Event;
use kelpworks::admission::Queue;
use kelpworks::admission::Ticket;
use kelpworks_wire::Class;

const SEEDS: u64 = 5;
/// Tokens that the pipeline runs at once; others wait there.
const WIDTH: usize = 32;
const TOKEN: Duration = Duration::from_millis(20);
const PAYING_LOAD: f64 = 0.8;
const TRIAL_LOAD: f64 = 10.0;
/// Tokens of an answer, evenly from the first to the second.
const TOKENS: (u32, u32) = (20, 80);
const WARM_UP: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(70);
const POLL: Duration = Duration::from_millis(50);

/// Who starts, and when.
trait Policy {
    /// Whether the request may wait or start.
    fn offer(&mut self, now: Duration, id: u64, class: Class, tokens: u32) -> bool;
    fn end(&mut self, now: Duration, id: u64);
    /// The next request that starts, or goes on, now.
    fn next(&mut self, now: Duration) -> Option<u64>;
    /// How long a request must hold before its next token, at most.
    fn hold(&self, id: u64) -> Option<Duration>;
    fn observe(&mut self, now: Duration, class: Class, token: Duration);
    /// Whether the request gives up, having waited this long.
    fn gives_up(&mut self, now: Duration, id: u64) -> bool;
}

/// The daemon's admission.
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
        let ask = AdmissionRequest {
            team: if class == Class::Paying {
                "paying"
            } else {
                "trial"
            },
            class,
            weight: 1,
            cost: tokens,
        };
        let Ok(ticket) = self.queue.offer(now, &ask) else {
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

    fn hold(&self, id: u64) -> Option<Duration> {
        let may_run = self.queue.may_run(*self.tickets.get(&id)?);
        (!may_run).then(|| self.queue.trial_pause())
    }

    fn observe(&mut self, now: Duration, class: Class, token: Duration) {
        self.queue.observe_token(now, class, token);
    }

    fn gives_up(&mut self, now: Duration, id: u64) -> bool {
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

/// A fixed number of slots; paying requests first, or all in the order that they came.
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
        if self.running == WIDTH {
            return None;
        }
        let id = self.paying.pop_front().or_else(|| self.trial.pop_front())?;
        self.running += 1;
        Some(id)
    }

    fn hold(&self, _id: u64) -> Option<Duration> {
        None
    }

    fn observe(&mut self, _now: Duration, _class: Class, _token: Duration) {}

    fn gives_up(&mut self, _now: Duration, _id: u64) -> bool {
        false
    }
}

struct Request {
    class: Class,
    came: Duration,
    tokens: u32,
    done: u32,
    /// Whether a token is in progress.
    active: bool,
}

enum Happening {
    Arrival(Class),
    Token(u64, Duration),
    /// A held request goes on, if it still holds at this token.
    Release(u64, u32),
    GiveUp(u64),
    Poll,
}

/// How an engine treats the classes.
#[derive(Clone, Copy, Debug)]
enum Engine {
    /// Paying steps first.
    Priorities,
    /// All alike.
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

struct World<P> {
    policy: P,
    engine: Engine,
    trials: bool,
    /// One a class, so that paying requests are the same with trials and without.
    rngs: [StdRng; 2],
    agenda: Agenda<Happening>,
    requests: HashMap<u64, Request>,
    next_id: u64,
    /// Tokens that the pipeline runs.
    running: usize,
    /// Tokens that wait there, with the time since when. Without priorities only the first is used.
    queues: [VecDeque<(Duration, u64)>; 2],
    outcome: Outcome,
    patience: (Duration, Duration),
}

impl<P: Policy> World<P> {
    fn run(mut self) -> Outcome {
        self.agenda
            .add(Duration::ZERO, Happening::Arrival(Class::Paying));
        if self.trials {
            self.agenda
                .add(Duration::ZERO, Happening::Arrival(Class::Trial));
        }
        self.agenda.add(POLL, Happening::Poll);
        while let Some((now, happening)) = self.agenda.next() {
            match happening {
                Happening::Arrival(class) => self.arrival(now, class),
                Happening::Token(id, took) => self.token(now, id, took),
                Happening::Release(id, done) => self.release(now, id, done),
                Happening::GiveUp(id) => self.give_up(now, id),
                Happening::Poll if now < END * 2 => self.agenda.add(now + POLL, Happening::Poll),
                Happening::Poll => {}
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
        if now > END {
            return;
        }
        let [paying, trial] = &mut self.rngs;
        let (load, rng) = match class {
            Class::Paying => (PAYING_LOAD, paying),
            Class::Trial => (TRIAL_LOAD, trial),
        };
        let mean = TOKEN * (TOKENS.0 + TOKENS.1) / 2;
        let gap = mean.div_f64(WIDTH as f64 * load);
        self.agenda
            .add(now + exponential(gap, rng), Happening::Arrival(class));
        let id = self.next_id;
        self.next_id += 1;
        let request = Request {
            class,
            came: now,
            tokens: rng.random_range(TOKENS.0..=TOKENS.1),
            done: 0,
            active: false,
        };
        let taken = self.policy.offer(now, id, class, request.tokens);
        let paying = class == Class::Paying && now > WARM_UP;
        self.outcome.paying += u32::from(paying);
        if !taken {
            self.outcome.paying_lost += u32::from(paying);
            return;
        }
        self.requests.insert(id, request);
        let (long, short) = self.patience;
        let patience = if class == Class::Paying { long } else { short };
        self.agenda.add(now + patience, Happening::GiveUp(id));
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
        while self.running < WIDTH {
            let next = self.queues.iter_mut().find_map(VecDeque::pop_front);
            let Some((since, id)) = next else {
                return;
            };
            self.running += 1;
            let end = now + TOKEN;
            self.agenda.add(end, Happening::Token(id, end - since));
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
        let counts = now > WARM_UP && now <= END;
        match class {
            Class::Paying => self.outcome.paying_tokens += u32::from(counts),
            Class::Trial => self.outcome.trial_tokens += u32::from(counts),
        }
        if class == Class::Paying && done == 1 && counts {
            self.outcome.first.push((now - request.came).as_secs_f64());
        }
        self.policy.observe(now, class, took);
        if ended {
            self.requests.remove(&id);
            self.policy.end(now, id);
            return;
        }
        match self.policy.hold(id) {
            Some(longest) => self.agenda.add(now + longest, Happening::Release(id, done)),
            None => self.begin(now, id),
        }
    }

    fn release(&mut self, now: Duration, id: u64, done: u32) {
        if self.requests.get(&id).is_some_and(|r| r.done == done) {
            self.begin(now, id);
        }
    }

    fn give_up(&mut self, now: Duration, id: u64) {
        if !self.policy.gives_up(now, id) {
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
        let world = World {
            policy: policy(seed),
            engine,
            trials,
            rngs: [seed, seed + 1000].map(StdRng::seed_from_u64),
            agenda: Agenda::new(),
            requests: HashMap::new(),
            next_id: 0,
            running: 0,
            queues: Default::default(),
            outcome: Outcome::default(),
            patience: (
                cfg.max_paying_delay * cfg.max_wait_factor,
                cfg.max_trial_delay * cfg.max_wait_factor,
            ),
        };
        world.run()
    };
    (0..SEEDS).map(run).collect()
}

fn row(engine: Engine, name: &str, alone: &[f64], mut runs: Vec<Outcome>) -> Vec<String> {
    let capacity = WIDTH as f64 / TOKEN.as_secs_f64() * (END - WARM_UP).as_secs_f64();
    let lost = runs
        .iter()
        .map(|r| f64::from(r.paying_lost) / f64::from(r.paying));
    let lost = spread(lost.collect());
    let fill = runs
        .iter()
        .map(|r| f64::from(r.trial_tokens) / (capacity - f64::from(r.paying_tokens)));
    let fill = spread(fill.collect());
    let cut: usize = runs.iter().map(|r| r.trials_cut).sum();
    let mut first = |part| {
        let ratios = runs.iter_mut().zip(alone);
        spread(
            ratios
                .map(|(r, alone)| quantile(&mut r.first, part) / alone)
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
    let mut alone = runs(engine, false, admission);
    let first: Vec<f64> = alone
        .iter_mut()
        .map(|r| quantile(&mut r.first, 0.95))
        .collect();
    let mut add = |name, runs| rows.push(row(engine, name, &first, runs));
    add("admission, no trials (reference)", alone);
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
