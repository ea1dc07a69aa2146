//! The faults of a run, drawn at random from its seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use kelpworks_fakes::LinkState;

use crate::relay_site::crashing::POISON_PARTS;
use crate::relay_site::cut::LinksOf;
use crate::relay_site::engine;

/// Instances of the plain service.
pub(crate) const APPS: usize = 2;
/// Engines of a run.
pub(crate) const ENGINES: usize = 6;
/// Mean time between two faults: most overlap with one or two others.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(350);
/// One seed in this many has planned work only; then no request may be lost.
const PLANNED_ONLY_EVERY: u64 = 4;
/// One unplanned seed in this many restores the store from older copies.
const RESTORES_EVERY: u64 = 2;
/// One unplanned seed in this many has no engine announce a limit.
const NO_LIMITS_EVERY: u64 = 3;
/// One unplanned seed in this many has no upstream request a backoff.
const NO_BACKOFFS_EVERY: u64 = 5;
/// One unplanned seed in this many has no engine announce that it is leaving.
const NO_LEAVING_EVERY: u64 = 3;
/// One unplanned seed in this many has no requests that crash upstreams.
const NO_POISON_EVERY: u64 = 3;
/// One unplanned seed in this many has no part of prompts that crashes upstreams.
const NO_POISON_PARTS_EVERY: u64 = 3;
/// One unplanned seed in this many has no daemon lose its links to all upstreams.
const NO_CUTS_EVERY: u64 = 5;

/// One unplanned seed in this many has no waves of failures.
const NO_WAVES_EVERY: u64 = 6;

/// One unplanned seed in this many has upstreams that stand still.
const UPSTREAM_STOPS_EVERY: u64 = 2;

/// A fault, or a planned operation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The store answers 503.
    StoreDown,
    /// Writes to the store are carried out, but their replies are lost.
    StoreDropsReplies,
    /// Calls to the store are accepted and never answered.
    StoreHangs,
    /// The store drops its history of changes.
    StoreCompactsHistory,
    /// The store is restored from a copy of its state at the start of the fault.
    StoreRestored,
    /// The link between a daemon and the store.
    StoreLink(usize, LinkState),
    /// The link in front of an engine.
    EngineLink(usize, LinkState),
    /// The link in front of the plain service.
    AppLink(LinkState),
    /// All streams whose path includes an engine stall.
    EngineStalls(usize),
    /// The next stream for which an engine is first on the path fails.
    EngineFails(usize, engine::Fault),
    /// An engine stands still, while its operating system accepts connections and data.
    EngineStops(usize),
    /// An instance of the plain service stands still in the same way.
    AppStops(usize),
    /// An engine's entry is deleted, and written again afterwards.
    EngineDeregisters(usize),
    /// An engine announces a limit, in requests per second.
    EngineAnnouncesLimit(usize, f64),
    /// An engine refuses everything and requests a backoff.
    EngineRequestsBackoff(usize, Duration),
    /// The plain service refuses everything and requests a backoff.
    AppRequestsBackoff(Duration),
    /// An engine announces that it is leaving, and then restarts under the same id.
    EngineLeaves(usize),
    /// A daemon loses its links to all upstreams.
    DaemonCut(usize, LinksOf),
    /// A caller repeats a request that crashes each upstream that begins to run it, at all daemons.
    Poison(Poison),
    /// Callers send requests, no two alike, with this part in their prompts, on which each upstream crashes.
    PoisonPart(&'static str),
    /// A daemon's process is killed and started again.
    Kill(usize),
    /// A daemon's process is paused (SIGSTOP).
    Pause(usize),
    /// A daemon's process is paused and continued again and again, each time for this time.
    PauseSeries(usize, Duration),
    /// The next stream for which an engine is first on the path fails, at all engines, in waves.
    EngineWaves(engine::Fault),
    /// A daemon is stopped as planned, and started again.
    Stop(usize),
    /// A daemon reloads its settings (SIGHUP).
    Reload(usize),
    /// Operators write a new version of the configuration.
    Configure,
}

/// How a request that crashes upstreams comes in, with its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Poison {
    Call(u64),
    CallThatRunsOnce(u64),
    Stream(u64),
}

/// A fault, its start after that of the plan, and its duration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
}

/// All faults of a run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) length: Duration,
    pub(crate) steps: Vec<Step>,
    /// Whether all steps are planned work.
    pub(crate) planned: bool,
}

impl Plan {
    /// Returns the plan of a seed, which is the same each time.
    pub(crate) fn draw(seed: u64, daemons: usize, length: Duration) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let planned = seed.is_multiple_of(PLANNED_ONLY_EVERY);
        let mut at = Duration::from_millis(200);
        let mut steps = Vec::new();
        while at < length {
            let fault = match planned {
                true => draw_planned(&mut rng, daemons),
                false => draw_fault(&mut rng, daemons),
            };
            let duration = Duration::from_millis(rng.random_range(200..2_000));
            steps.push(Step {
                at,
                duration,
                fault,
            });
            at += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        if !planned && seed.is_multiple_of(RESTORES_EVERY) {
            steps.extend(draw_restores(&mut rng, length));
        }
        if !planned && !seed.is_multiple_of(NO_LIMITS_EVERY) {
            steps.extend(draw_limits(&mut rng, length));
        }
        if !planned && !seed.is_multiple_of(NO_BACKOFFS_EVERY) {
            steps.extend(draw_backoffs(&mut rng, length));
        }
        if !planned && !seed.is_multiple_of(NO_LEAVING_EVERY) {
            steps.push(draw_leaving(&mut rng, length));
        }
        if !planned && !seed.is_multiple_of(NO_CUTS_EVERY) {
            steps.extend(draw_cuts(&mut rng, daemons, length));
        }
        if !planned && !seed.is_multiple_of(NO_POISON_EVERY) {
            steps.extend(draw_poison(&mut rng, length));
        }
        if !planned && !seed.is_multiple_of(NO_POISON_PARTS_EVERY) {
            steps.extend(draw_poison_parts(&mut rng, length));
        }
        if !planned && !seed.is_multiple_of(NO_WAVES_EVERY) {
            steps.extend(draw_waves(&mut rng, daemons, length));
        }
        if !planned && seed.is_multiple_of(UPSTREAM_STOPS_EVERY) {
            steps.extend(draw_upstream_stops(&mut rng, length));
        }
        Plan {
            length,
            steps,
            planned,
        }
    }
}

/// Returns one or two restores, which may follow each other immediately.
fn draw_restores(rng: &mut StdRng, length: Duration) -> Vec<Step> {
    let count = rng.random_range(1..=2);
    let mut draw = || Step {
        at: length.mul_f64(rng.random_range(0.1..0.7)),
        duration: Duration::from_millis(rng.random_range(200..2_000)),
        fault: Fault::StoreRestored,
    };
    (0..count).map(|_| draw()).collect()
}

/// Returns limits of one or two engines, announced for long enough to be checked.
fn draw_limits(rng: &mut StdRng, length: Duration) -> Vec<Step> {
    let first = rng.random_range(0..ENGINES);
    let count = rng.random_range(1..=2);
    let mut draw = |engine| Step {
        at: length.mul_f64(rng.random_range(0.0..0.3)),
        duration: Duration::from_millis(rng.random_range(5_000..9_000)),
        fault: Fault::EngineAnnouncesLimit(engine, rng.random_range(0.3..8.0)),
    };
    (0..count).map(|i| draw((first + i) % ENGINES)).collect()
}

/// Returns periods in which upstreams request backoffs: up to three of engines, which may overlap,
/// and a short one of the plain service, which has no other instance.
fn draw_backoffs(rng: &mut StdRng, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(1..=3) {
        let backoff = Duration::from_millis(rng.random_range(600..4_000));
        steps.push(Step {
            at: length.mul_f64(rng.random_range(0.0..0.8)),
            duration: Duration::from_millis(rng.random_range(500..4_000)),
            fault: Fault::EngineRequestsBackoff(rng.random_range(0..ENGINES), backoff),
        });
    }
    steps.push(Step {
        at: length.mul_f64(rng.random_range(0.0..0.8)),
        duration: Duration::from_millis(rng.random_range(100..400)),
        fault: Fault::AppRequestsBackoff(Duration::from_millis(rng.random_range(600..1_200))),
    });
    steps
}

fn draw_leaving(rng: &mut StdRng, length: Duration) -> Step {
    Step {
        at: length.mul_f64(rng.random_range(0.1..0.6)),
        duration: Duration::from_millis(rng.random_range(1_500..4_000)),
        fault: Fault::EngineLeaves(rng.random_range(0..ENGINES)),
    }
}

/// Returns cuts of all daemons but one, or of fewer, from all upstreams, which may overlap and repeat.
fn draw_cuts(rng: &mut StdRng, daemons: usize, length: Duration) -> Vec<Step> {
    let first = rng.random_range(0..daemons);
    let count = rng.random_range(1..daemons.max(2));
    let draw = |i: usize| {
        let states = [LinksOf::Reset, LinksOf::Silent, LinksOf::RefuseNew];
        let state = states[rng.random_range(0..states.len())];
        Step {
            at: length.mul_f64(rng.random_range(0.0..0.7)),
            duration: Duration::from_millis(rng.random_range(500..5_000)),
            fault: Fault::DaemonCut((first + i) % daemons, state),
        }
    };
    (0..count).map(draw).collect()
}

/// Returns one or two requests that crash upstreams, repeated for much of the run.
fn draw_poison(rng: &mut StdRng, length: Duration) -> Vec<Step> {
    let count = rng.random_range(1..=2);
    let mut draw = |number: u64| {
        let poison = match rng.random_range(0..3) {
            0 => Poison::Call(number),
            1 => Poison::CallThatRunsOnce(number),
            _ => Poison::Stream(number),
        };
        Step {
            at: length.mul_f64(rng.random_range(0.0..0.3)),
            duration: length.mul_f64(rng.random_range(0.4..0.7)),
            fault: Fault::Poison(poison),
        }
    };
    (0..count).map(&mut draw).collect()
}

/// Returns one or two parts of prompts that crash upstreams, each for much of the run.
fn draw_poison_parts(rng: &mut StdRng, length: Duration) -> Vec<Step> {
    let count = rng.random_range(1..=POISON_PARTS.len());
    let parts = POISON_PARTS.into_iter().take(count);
    let steps = parts.map(|part| Step {
        at: length.mul_f64(rng.random_range(0.0..0.3)),
        duration: length.mul_f64(rng.random_range(0.4..0.7)),
        fault: Fault::PoisonPart(part),
    });
    steps.collect()
}

/// Returns waves of failures at all engines, and daemons that are paused again and again meanwhile, so that
/// many retries are asked for at once and are held.
fn draw_waves(rng: &mut StdRng, daemons: usize, length: Duration) -> Vec<Step> {
    let at = length.mul_f64(rng.random_range(0.0..0.3));
    let duration = length.mul_f64(rng.random_range(0.3..0.6));
    let mut steps = vec![Step {
        at,
        duration,
        fault: Fault::EngineWaves(draw_failure(rng)),
    }];
    for _ in 0..daemons.div_ceil(3) {
        let pause = Duration::from_millis(rng.random_range(50..2_500));
        steps.push(Step {
            at,
            duration,
            fault: Fault::PauseSeries(rng.random_range(0..daemons), pause),
        });
    }
    steps
}

/// Returns stops of upstreams in series, of which some are longer than a window of the retry budget and the longest
/// delivery together.
fn draw_upstream_stops(rng: &mut StdRng, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(2..=5) {
        let fault = match rng.random_range(0..3) {
            0 => Fault::AppStops(rng.random_range(0..APPS)),
            _ => Fault::EngineStops(rng.random_range(0..ENGINES)),
        };
        let mut at = length.mul_f64(rng.random_range(0.0..0.4));
        for _ in 0..rng.random_range(1..=3) {
            let duration = Duration::from_millis(rng.random_range(50..8_000));
            steps.push(Step {
                at,
                duration,
                fault,
            });
            at += duration + Duration::from_millis(rng.random_range(20..1_500));
        }
    }
    steps
}

fn draw_planned(rng: &mut StdRng, daemons: usize) -> Fault {
    let daemon = rng.random_range(0..daemons);
    match rng.random_range(0..4) {
        0 => Fault::Stop(daemon),
        1 => Fault::Reload(daemon),
        _ => Fault::Configure,
    }
}

fn draw_fault(rng: &mut StdRng, daemons: usize) -> Fault {
    let daemon = rng.random_range(0..daemons);
    let engine = rng.random_range(0..ENGINES);
    match rng.random_range(0..17) {
        0 => Fault::StoreDown,
        1 => Fault::StoreDropsReplies,
        2 => Fault::StoreCompactsHistory,
        3 | 4 => Fault::StoreLink(daemon, draw_link(rng)),
        5 | 6 => Fault::EngineLink(engine, draw_link(rng)),
        7 => Fault::AppLink(draw_link(rng)),
        8 => Fault::EngineStalls(engine),
        9 => Fault::EngineFails(engine, draw_failure(rng)),
        10 => Fault::EngineDeregisters(engine),
        11 => Fault::Kill(daemon),
        12 => Fault::Pause(daemon),
        13 => Fault::StoreHangs,
        _ => draw_planned(rng, daemons),
    }
}

fn draw_link(rng: &mut StdRng) -> LinkState {
    match rng.random_range(0..6) {
        0 => LinkState::Cut,
        1 => LinkState::SilenceExisting,
        2 => LinkState::SilenceAll,
        3 => LinkState::SilenceForward,
        4 => LinkState::SilenceBack,
        _ => LinkState::Delay(Duration::from_millis(rng.random_range(5..150))),
    }
}

fn draw_failure(rng: &mut StdRng) -> engine::Fault {
    let events = rng.random_range(1..6);
    let pause = Duration::from_millis(rng.random_range(300..1_500));
    match rng.random_range(0..4) {
        0 => engine::Fault::Stall(events, pause),
        1 => engine::Fault::Cut(events),
        2 => engine::Fault::StallThenCut(events, pause),
        _ => engine::Fault::Refuse,
    }
}
