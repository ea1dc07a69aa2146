//! `decision`: how the time of one decision grows with the number of upstreams and teams.
//!
//! Times are given as ratios, as the machine is shared. Allocations are not counted: that would
//! take a custom allocator, which needs unsafe code.

use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::sim::format_min_median_max;
use crate::sim::quantile;
use crate::table::Table;
use kelpworks::admission::AdmissionRequest;
use kelpworks::admission::Config;
use kelpworks::admission::Event;
use kelpworks::admission::Queue;
use kelpworks::fleet::Counters;
use kelpworks::fleet::DomainKey;
use kelpworks::fleet::Fleet;
use kelpworks::fleet::Health;
use kelpworks::fleet::LayerAssignment;
use kelpworks::fleet::LinkCost;
use kelpworks::fleet::ModelKey;
use kelpworks::fleet::ModelView;
use kelpworks::fleet::Upstream;
use kelpworks::routing::PathQuery;
use kelpworks::routing::choose_path;
use kelpworks_wire::Class;
use kelpworks_wire::LayerRange;

const SEEDS: u64 = 7;
const DECISIONS: u32 = 2_000;
/// Batches, of which the fastest counts: slower ones were disturbed by other load on the machine.
const BATCHES: usize = 9;
pub(crate) const LAYERS: u32 = 80;
const SMALL_FLEET: usize = 40;
const LARGE_FLEET: usize = 600;
const FEW_TEAMS: usize = 10;
const MANY_TEAMS: usize = 2_100;

/// How the layers of the model are split into the ranges that upstreams have loaded.
#[derive(Clone, Copy)]
pub(crate) enum LayerSplit {
    /// Four equal ranges.
    Four,
    /// Overlapping ranges of several lengths that start at one of ten layers.
    Mixed,
    /// As [`LayerSplit::Mixed`], but from any layer, so that the number of distinct ranges grows
    /// with the fleet.
    Any,
}

/// Builds a fleet with upstreams of three speeds in four failure domains.
pub(crate) fn fleet(size: usize, split: LayerSplit, seed: u64) -> Fleet {
    let mut rng = StdRng::seed_from_u64(seed);
    let link = |from: usize, to: usize| LinkCost {
        latency: Duration::from_micros(if from == to { 100 } else { 800 }),
        bytes_per_second: if from == to {
            12_500_000_000
        } else {
            125_000_000
        },
    };
    let mut fleet = Fleet {
        domains: (0..4).map(|d| format!("domain-{d}")).collect(),
        models: vec![ModelView {
            name: "captions".to_owned(),
            layers: LAYERS,
            versions: vec!["v1".to_owned()],
        }],
        links: (0..16).map(|i| link(i / 4, i % 4)).collect(),
        ..Fleet::default()
    };
    let mut keys = Vec::new();
    for i in 0..size {
        let layers = match split {
            LayerSplit::Four => LayerRange {
                first: (i % 4) as u32 * 20,
                end: (i % 4) as u32 * 20 + 20,
            },
            LayerSplit::Mixed | LayerSplit::Any => {
                let len = [10, 16, 20, 28, 40][rng.random_range(0..5)];
                let first = match split {
                    LayerSplit::Any if i >= 10 => rng.random_range(0..LAYERS),
                    _ => (i as u32 * 8) % LAYERS,
                };
                LayerRange {
                    first,
                    end: (first + len).min(LAYERS),
                }
            }
        };
        let upstream = Upstream {
            name: Arc::from(format!("host-{i}")),
            url: Arc::from(""),
            domain: DomainKey((i / 4 % 4) as u16),
            health: Health::Live,
            layer_rate: [4_000.0, 9_000.0, 20_000.0][i % 3],
            layer_assignments: vec![LayerAssignment {
                model: ModelKey(0),
                version: 0,
                layers,
            }],
            service: None,
            incarnation: 1,
            counters: Arc::new(Counters {
                reported: AtomicU32::new(rng.random_range(0..8)),
                ..Counters::default()
            }),
        };
        keys.push(fleet.upstreams.insert(upstream));
    }
    fleet.by_model = vec![keys];
    fleet.indexed()
}

fn query() -> PathQuery<'static> {
    PathQuery {
        model: ModelKey(0),
        version: None,
        from: DomainKey(0),
        class: Class::Paying,
        prefill: 200,
        avoid: &[],
        keep: &[],
        now_ms: 0,
    }
}

/// Seconds per call in the fastest of [`BATCHES`] batches.
fn time(mut call: impl FnMut()) -> f64 {
    let mut batches: Vec<f64> = (0..BATCHES)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..DECISIONS {
                call();
            }
            start.elapsed().as_secs_f64() / f64::from(DECISIONS)
        })
        .collect();
    quantile(&mut batches, 0.0)
}

/// Seconds to choose a path with the daemon's routing.
pub(crate) fn sampled_path(fleet: &Fleet, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    time(|| {
        let path = choose_path(black_box(fleet), &query(), &mut rng);
        black_box(path.is_ok());
    })
}

/// Baseline: scans all upstreams for the least loaded one that has the next layer.
fn least_loaded(fleet: &Fleet) -> f64 {
    time(|| {
        let mut at = 0;
        while at < LAYERS {
            let holders = fleet.by_model[0].iter().map(|&key| &fleet.upstreams[key]);
            let fits = holders.filter(|u| {
                let layers = &u.layer_assignments[0].layers;
                layers.first <= at && at < layers.end
            });
            let least = fits.min_by_key(|u| u.counters.reported.load(Ordering::Relaxed));
            let Some(least) = black_box(least) else {
                return;
            };
            at = least.layer_assignments[0].layers.end;
        }
    })
}

/// Seconds to offer one request and finish another, while every team has requests waiting.
pub(crate) fn fair_admission(teams: usize, seed: u64) -> f64 {
    let names: Vec<String> = (0..teams).map(|t| format!("team-{t}")).collect();
    let mut queue = Queue::new(Config {
        max_waiting: u32::MAX,
        seed: Some(seed),
        ..Config::default()
    });
    let mut rng = StdRng::seed_from_u64(seed);
    let mut step = |queue: &mut Queue, at: u64, team: usize| {
        let request = AdmissionRequest {
            team: &names[team],
            class: Class::Paying,
            weight: 1 + team as u32 % 4,
            cost: rng.random_range(50..350),
        };
        queue.offer(Duration::from_micros(at), &request).is_ok()
    };
    for team in (0..teams).cycle().take(teams * 3 + 64) {
        step(&mut queue, 0, team);
    }
    let mut at = 0;
    time(|| {
        at += 1;
        black_box(step(&mut queue, at, at as usize % teams));
        while let Some(Event::Admitted(ticket)) = queue.next_event() {
            queue.finish(Duration::from_micros(at), ticket, None);
            if queue.waiting(Class::Paying) < teams as u32 * 3 {
                break;
            }
        }
    })
}

/// Baseline: scans all teams for the one that was served least.
fn scanning_admission(teams: usize) -> f64 {
    let mut served = vec![0u64; teams];
    time(|| {
        let least = served.iter_mut().min_by_key(|s| **s);
        if let Some(least) = black_box(least) {
            *least += 200;
        }
    })
}

fn row(decision: &str, way: &str, sizes: (usize, usize), pairs: Vec<(f64, f64)>) -> Vec<String> {
    vec![
        decision.to_owned(),
        way.to_owned(),
        format!("{} -> {}", sizes.0, sizes.1),
        format_min_median_max(pairs.iter().map(|(small, large)| large / small).collect()),
    ]
}

/// Runs the measurement.
pub(crate) fn table() -> Table {
    let mut rows = Vec::new();
    let sizes = (SMALL_FLEET, LARGE_FLEET);
    for (name, split) in [
        ("path, four stages", LayerSplit::Four),
        ("path, mixed cuts", LayerSplit::Mixed),
        ("path, any cuts", LayerSplit::Any),
    ] {
        let fleets = |seed| (fleet(sizes.0, split, seed), fleet(sizes.1, split, seed));
        let sampled = (0..SEEDS).map(|seed| {
            let (small, large) = fleets(seed);
            (sampled_path(&small, seed), sampled_path(&large, seed))
        });
        rows.push(row(
            name,
            "shortest path, sampled",
            sizes,
            sampled.collect(),
        ));
        let scanned = (0..SEEDS).map(|seed| {
            let (small, large) = fleets(seed);
            (least_loaded(&small), least_loaded(&large))
        });
        rows.push(row(
            name,
            "least loaded, scan (baseline)",
            sizes,
            scanned.collect(),
        ));
    }
    let teams = (FEW_TEAMS, MANY_TEAMS);
    let fair = (0..SEEDS).map(|seed| {
        let few = fair_admission(teams.0, seed);
        (few, fair_admission(teams.1, seed))
    });
    rows.push(row("admission", "fair queueing", teams, fair.collect()));
    let scan = (0..SEEDS).map(|_| (scanning_admission(teams.0), scanning_admission(teams.1)));
    rows.push(row(
        "admission",
        "scan of teams (baseline)",
        teams,
        scan.collect(),
    ));
    Table {
        title: format!(
            "decision: time of one decision on the larger size over the smaller, fastest of \
             {BATCHES} batches of {DECISIONS}, {SEEDS} seeds, min / median / max; allocations not \
             counted"
        ),
        head: vec!["decision", "way", "size", "growth of time"],
        rows,
    }
}
