//! `placement`: plans for mixed fleets; rate over the hardware bound, survived losses, times and
//! moves.
//!
//! All figures are computed from the plans; no engine runs. Survival is checked by removing each
//! host and each failure domain in turn. The least number of moves after a loss is a lower
//! bound: a stage left in fewer than two failure domains needs one host for each that it lacks,
//! and a host holds one stage, so no host helps two. Losses after which some stage still lacks a
//! second domain are counted separately and left out of the moves. The link latency covers only the
//! links between stages; the greedy baseline splits the layers into other stages than the plan.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::fleets;
use crate::fleets::FleetShape;
use crate::placement_baselines;
use crate::table::Table;
use kelpworks::fleet::DomainKey;
use kelpworks::fleet::ModelKey;
use kelpworks::placement;
use kelpworks::placement::FailureScope;
use kelpworks::placement::HostKey;
use kelpworks::placement::Input;
use kelpworks::placement::ModelPlan;
use kelpworks::placement::Plan;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=7;
/// Time limit for a plan.
const PLAN_LIMIT: Duration = Duration::from_secs(2);
/// Time limit for a repair.
const REPAIR_LIMIT: Duration = Duration::from_millis(100);
/// Failure domains over which the hosts of a stage should be spread.
const MIN_STAGE_DOMAINS: usize = 2;

/// Runs the measurement.
pub(crate) fn run() -> Table {
    let shapes = fleets::FLEETS.iter();
    Table {
        title: format!(
            "placement: rate / hardware bound as min/median/max over {} seeds; times as the \
             longest over its limit (plan 2 s, repair 0.1 s); moves as done/least, all losses",
            SEEDS.count()
        ),
        head: vec![
            "fleet",
            "planned",
            "equal layers",
            "greedy",
            "host losses survived",
            "domain losses survived",
            "greedy: domain",
            "plan",
            "replan",
            "orders",
            "repair",
            "moves, host",
            "moves, domain",
            "lacking, repair",
            "lacking, improve/impossible",
            "rate after domain loss",
            "and improve",
            "hosts moved by it",
            "link latency/greedy",
        ],
        rows: shapes.map(row).collect(),
    }
}

/// Number of losses that a plan survives, of those tried.
#[derive(Default)]
struct Survived {
    survived: usize,
    tried: usize,
}

impl Survived {
    fn count(&mut self, survived: bool) {
        self.survived += usize::from(survived);
        self.tried += 1;
    }

    fn text(&self) -> String {
        format!("{}/{}", self.survived, self.tried)
    }
}

/// Host moves after losses, and the lower bound for them.
#[derive(Default)]
struct Moves {
    done: usize,
    least: usize,
}

/// Results over all seeds of one fleet shape.
#[derive(Default)]
struct Samples {
    planned: Vec<f64>,
    equal: Vec<f64>,
    greedy: Vec<f64>,
    hosts: Survived,
    domains: Survived,
    greedy_domains: Survived,
    plan: Duration,
    replan: Duration,
    orders: Duration,
    repair: Duration,
    host_moves: Moves,
    domain_moves: Moves,
    lacking: Survived,
    still_lacking: usize,
    impossible: usize,
    repaired: Vec<f64>,
    improved: Vec<f64>,
    improve_moves: Vec<f64>,
    latency: Vec<f64>,
}

fn row(shape: &FleetShape) -> Vec<String> {
    let mut samples = Samples::default();
    for seed in SEEDS {
        sample(&mut samples, fleets::draw(shape, seed));
    }
    let over =
        |t: Duration, limit: Duration| format!("{:.4}", t.as_secs_f64() / limit.as_secs_f64());
    let moves = |m: &Moves| format!("{}/{}", m.done, m.least);
    vec![
        shape.name.to_owned(),
        format_min_median_max(&mut samples.planned),
        format_min_median_max(&mut samples.equal),
        format_min_median_max(&mut samples.greedy),
        samples.hosts.text(),
        samples.domains.text(),
        samples.greedy_domains.text(),
        over(samples.plan, PLAN_LIMIT),
        over(samples.replan, PLAN_LIMIT),
        over(samples.orders, PLAN_LIMIT),
        over(samples.repair, REPAIR_LIMIT),
        moves(&samples.host_moves),
        moves(&samples.domain_moves),
        samples.lacking.text(),
        format!("{}/{}", samples.still_lacking, samples.impossible),
        format_min_median_max(&mut samples.repaired),
        format_min_median_max(&mut samples.improved),
        format_min_median_max(&mut samples.improve_moves),
        format_min_median_max(&mut samples.latency),
    ]
}

/// Formats the values as `min/median/max`.
fn format_min_median_max(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    let at = |i: usize| values.get(i).copied().unwrap_or(f64::NAN);
    let (mid, last) = (values.len() / 2, values.len().saturating_sub(1));
    format!("{:.3}/{:.3}/{:.3}", at(0), at(mid), at(last))
}

fn timed<T>(longest: &mut Duration, f: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let value = f();
    *longest = start.elapsed().max(*longest);
    value
}

fn sample(samples: &mut Samples, mut input: Input) {
    let plan = timed(&mut samples.plan, || placement::plan(&input));
    let bound = input.bound();
    samples.planned.push(plan.scale(&input) / bound);
    let equal = placement_baselines::equal_layers(&input);
    samples.equal.push(equal.scale(&input) / bound);
    let greedy = placement_baselines::greedy(&input);
    samples.greedy.push(greedy.scale(&input) / bound);
    let planned_latency = latency(&input, &plan);
    samples
        .latency
        .push(planned_latency / greedy.latency(&input));
    for lost in losses(&input) {
        let survives = plan.survives_loss_of(|h| lost.covers(&input, h));
        match lost {
            FailureScope::Host(_) => samples.hosts.count(survives),
            FailureScope::FailureDomain(_) => {
                samples.domains.count(survives);
                let survives = greedy.survives_loss_of(|h| lost.covers(&input, h));
                samples.greedy_domains.count(survives);
            }
        }
    }
    input.loaded_ranges = plan.host_ranges(&input);
    for lost in losses(&input) {
        sample_loss(samples, &input, &plan, lost);
    }
    measure_new_version(samples, input);
}

/// Link latency of a token, summed over models by demand.
fn latency(input: &Input, plan: &Plan) -> f64 {
    let of_model = |m: &ModelPlan| {
        let stages: Vec<&[HostKey]> = m.stages.iter().map(|s| s.hosts.as_slice()).collect();
        placement::link_latency(input, &stages) * input.model(m.model).demand
    };
    plan.models.iter().map(of_model).sum()
}

/// The loss of each host and of each failure domain.
fn losses(input: &Input) -> Vec<FailureScope> {
    let domains =
        (0..input.domains.len()).map(|d| FailureScope::FailureDomain(DomainKey(d as u16)));
    input
        .host_keys()
        .map(FailureScope::Host)
        .chain(domains)
        .collect()
}

fn sample_loss(samples: &mut Samples, input: &Input, plan: &Plan, lost: FailureScope) {
    let left = placement::without(input, lost);
    let repaired = timed(&mut samples.repair, || placement::repair(input, plan, lost));
    let is_complete = repaired.shortfalls.is_empty();
    samples.lacking.count(!is_complete);
    let moves = match lost {
        FailureScope::Host(_) => &mut samples.host_moves,
        FailureScope::FailureDomain(_) => &mut samples.domain_moves,
    };
    if is_complete {
        moves.done += repaired.moves(&left);
        moves.least += least_moves(&left, plan);
    }
    if is_complete && matches!(lost, FailureScope::Host(_)) {
        return;
    }
    let bound = left.bound();
    let before = repaired.scale(&left) / bound;
    let better = placement::improve(&left, &repaired).unwrap_or(repaired);
    if !better.shortfalls.is_empty() {
        samples.still_lacking += 1;
        samples.impossible += usize::from(is_impossible(&left));
    }
    if let FailureScope::FailureDomain(_) = lost {
        samples.repaired.push(before);
        samples.improved.push(better.scale(&left) / bound);
        let live = left.hosts.iter().filter(|h| h.live).count();
        let moved = better.moves(&left) as f64 / live as f64;
        samples.improve_moves.push(moved);
    }
}

/// Whether no placement can survive the loss of any failure domain: for some domain, the hosts of
/// the others together can't load every model. A host loads one model only.
fn is_impossible(left: &Input) -> bool {
    let models = || (0..left.models.len()).map(|m| ModelKey(m as u16));
    let share = |h: HostKey, m: ModelKey| {
        f64::from(left.layer_capacity(h, m)) / f64::from(left.model(m).layers)
    };
    (0..left.domains.len()).any(|d| {
        let others = || {
            left.host_keys()
                .filter(move |&h| usize::from(left.host(h).domain.0) != d)
        };
        let lacks = models().any(|m| others().map(|h| share(h, m)).sum::<f64>() < 1.0);
        let most = |h: HostKey| models().map(|m| share(h, m)).fold(0.0, f64::max);
        lacks || others().map(most).sum::<f64>() < left.models.len() as f64
    })
}

/// Lower bound for the moves: hosts that the stages lack to be in [`MIN_STAGE_DOMAINS`] failure
/// domains, or in all live ones if there are fewer.
fn least_moves(left: &Input, plan: &Plan) -> usize {
    let required_domains = live_domains(left, left.host_keys()).min(MIN_STAGE_DOMAINS);
    let stages = plan.models.iter().flat_map(|m| &m.stages);
    let lacks = stages
        .map(|s| required_domains.saturating_sub(live_domains(left, s.hosts.iter().copied())));
    lacks.sum()
}

/// Number of failure domains of the live ones among the hosts.
fn live_domains(left: &Input, hosts: impl Iterator<Item = HostKey>) -> usize {
    let live = hosts.filter(|&h| left.host(h).live);
    let domains: BTreeSet<u16> = live.map(|h| left.host(h).domain.0).collect();
    domains.len()
}

/// Measures the time to plan for a new version of the first model, and to derive the orders.
fn measure_new_version(samples: &mut Samples, mut input: Input) {
    input.models[0].version = "v2".into();
    let next = timed(&mut samples.replan, || placement::plan(&input));
    timed(&mut samples.orders, || placement::orders(&input, &next));
}
