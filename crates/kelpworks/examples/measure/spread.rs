//! `spread`: time and messages until every daemon has activated a new configuration generation.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::net::Net;
use crate::net::NetConfig;
use crate::stats::min_median_max;
use crate::support;
use crate::support::ExampleTeam;
use crate::table::Table;
use kelpworks::config::head::BLOB_KIND;
use kelpworks::config::head::Generation;
use kelpworks::config::head::HEAD_KIND;
use kelpworks::config::head::HEAD_NAME;
use kelpworks::config::head::Part;
use kelpworks::config::head::digest_of;
use kelpworks::config::head::parse;
use kelpworks::config::head::to_body;
use kelpworks::daemon;
use kelpworks::daemon::Daemon;
use kelpworks::membership::Config;
use kelpworks::status;
use kelpworks_coord::dissemination;
use kelpworks_fakes::ApiMode;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::Model;

const SEEDS: std::ops::Range<u64> = 1..6;
/// Time for daemons to discover each other.
const WARM_UP_MS: u64 = 5_000;
/// Time limit for a generation to be active on all daemons.
const TIMEOUT_MS: u64 = 60_000;
/// Generations published to real daemons.
const REAL_SWAPS: u64 = 7;
const REAL_DAEMONS: usize = 7;

/// Failures around the publication of a generation.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    watcher_dies: bool,
    /// Daemons that read the new configuration before the object API fails; `None` if it does not.
    readers: Option<u64>,
    links_cut: f64,
}

const PLAIN: Case = Case {
    name: "nothing fails",
    watcher_dies: false,
    readers: None,
    links_cut: 0.0,
};

const CASES: &[Case] = &[
    PLAIN,
    Case {
        name: "one watcher dead",
        watcher_dies: true,
        ..PLAIN
    },
    Case {
        name: "API out, 1 reader",
        readers: Some(1),
        ..PLAIN
    },
    Case {
        name: "20% of links cut",
        links_cut: 0.2,
        ..PLAIN
    },
    Case {
        name: "all three",
        watcher_dies: true,
        readers: Some(1),
        links_cut: 0.2,
    },
];

/// How daemons propagate a generation.
#[derive(Clone, Copy)]
enum Propagation {
    /// As in the daemon: pushes to peers chosen by hash and to ring successors.
    Push,
    /// Baseline: pushes to peers chosen by hash, without ring successors.
    PushOnly,
    /// Baseline: no pushes; peers see the generation in heartbeats.
    HeartbeatsOnly,
    /// Baseline: every daemon watches the object API.
    AllWatch,
}

/// Results of one run.
struct Run {
    /// `None` if some daemon had not activated the generation within [`TIMEOUT_MS`].
    ms: Option<f64>,
    calls: f64,
    reads: f64,
}

/// Runs the measurement.
pub(crate) fn run() -> Table {
    let mut rows = Vec::new();
    for daemons in [7, 100, 370] {
        for case in CASES {
            rows.push(row(daemons, case));
        }
    }
    rows.push(measure_daemons(None));
    rows.push(measure_daemons(Some(())));
    Table {
        title: format!(
            "spread: ms until a generation is in force everywhere (min/median/max of {} seeds, \
             virtual clock; last rows: real daemons, wall clock, {REAL_SWAPS} swaps); `-` is longer \
             than {TIMEOUT_MS}",
            SEEDS.end - SEEDS.start
        ),
        head: vec![
            "daemons",
            "case",
            "ms",
            "calls/daemon",
            "API reads",
            "no ring: ms",
            "heartbeats only: ms",
            "all watch: ms",
            "all watch: API reads",
        ],
        rows,
    }
}

fn row(daemons: usize, case: &Case) -> Vec<String> {
    // The seeds can run in parallel, as each run has its own virtual clock.
    let runs = |propagation| {
        std::thread::scope(|scope| {
            let started: Vec<_> = SEEDS
                .map(|seed| scope.spawn(move || simulate(daemons, case, propagation, seed)))
                .collect();
            let done = started.into_iter().map(|t| t.join().expect("a run"));
            done.collect::<Vec<Run>>()
        })
    };
    let push: Vec<Run> = runs(Propagation::Push);
    let push_only: Vec<Run> = runs(Propagation::PushOnly);
    let heartbeats: Vec<Run> = runs(Propagation::HeartbeatsOnly);
    let watch: Vec<Run> = runs(Propagation::AllWatch);
    let times = |runs: &[Run]| show(runs.iter().map(|r| r.ms.unwrap_or(f64::INFINITY)), 0);
    let reads = |runs: &[Run]| show(runs.iter().map(|r| r.reads), 0);
    vec![
        daemons.to_string(),
        case.name.to_owned(),
        times(&push),
        show(push.iter().map(|r| r.calls), 1),
        reads(&push),
        times(&push_only),
        times(&heartbeats),
        times(&watch),
        reads(&watch),
    ]
}

/// Formats minimum, median and maximum, with `-` for runs that timed out.
fn show(values: impl Iterator<Item = f64>, decimals: usize) -> String {
    let values: Vec<f64> = values.collect();
    min_median_max(&values, decimals)
        .join("/")
        .replace("inf", "-")
}

fn simulate(daemons: usize, case: &Case, propagation: Propagation, seed: u64) -> Run {
    let mut node = Config::default();
    if matches!(propagation, Propagation::HeartbeatsOnly) {
        node.dissemination = dissemination::Config { fanout: 0 };
        node.ring_successors = 0;
    }
    if matches!(propagation, Propagation::PushOnly) {
        node.ring_successors = 0;
    }
    let mut net = Net::new(NetConfig {
        daemons,
        regions: if daemons > 100 { 2 } else { 1 },
        node,
        all_watch: matches!(propagation, Propagation::AllWatch),
        count_bytes: false,
        seed,
    });
    net.run_for(WARM_UP_MS);
    net.cut_share(case.links_cut);
    let (watchers, before, start) = (net.watchers(), net.counts, net.now_ms());
    net.swap(case.readers);
    if case.watcher_dies {
        net.crash(watchers[seed as usize % watchers.len()]);
    }
    let done = net.run_until(TIMEOUT_MS, |net| {
        net.daemons_up_to_date() == net.daemons_up()
    });
    let ms = (net.now_ms() - start) as f64;
    // Calls still in flight count too.
    net.run_for(1_000);
    Run {
        ms: done.then_some(ms),
        calls: (net.counts.config_calls - before.config_calls) as f64 / daemons as f64,
        reads: (net.counts.api_reads - before.api_reads) as f64,
    }
}

const TEAMS: [ExampleTeam; 1] = [ExampleTeam {
    name: "sellers",
    class: "paying",
    weight: 1,
    token: "measure",
}];

/// Measures real daemons over loopback; with an outage, the object API fails once one daemon has
/// activated the generation.
fn measure_daemons(outage: Option<()>) -> Vec<String> {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let times = runtime.block_on(async {
        let model = Model::new("caption", "1", 4);
        let fakes = support::spawn_pipeline(&model, 1, 1)
            .await
            .expect("stand-ins");
        support::put_config(&fakes, std::slice::from_ref(&model), 0.2, &TEAMS)
            .expect("a valid configuration");
        let metrics = daemon::build_metrics();
        let daemons = support::start_daemons(&fakes, REAL_DAEMONS, "", &metrics).await;
        let daemons = daemons.expect("daemons");
        wait_until_all(&daemons, |s| s.members.len() == REAL_DAEMONS - 1).await;
        let mut times = Vec::new();
        for generation in 2..2 + REAL_SWAPS {
            fakes.object_api.set_mode(ApiMode::Up);
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            let start = Instant::now();
            swap(&fakes, generation);
            if outage.is_some() {
                wait_until_any(&daemons, generation).await;
                fakes.object_api.set_mode(ApiMode::Unavailable);
            }
            wait_until_all(&daemons, |s| s.generation == generation).await;
            times.push(start.elapsed().as_secs_f64() * 1_000.0);
        }
        times
    });
    let case = match outage {
        None => "real daemons, nothing fails",
        Some(()) => "real daemons, API out after 1",
    };
    let mut row = vec![REAL_DAEMONS.to_string(), case.to_owned()];
    row.push(show(times.into_iter(), 0));
    row.resize(9, String::new());
    row
}

/// Publishes a new generation whose rules differ by a trailing comment only.
fn swap(fakes: &FakeFleet, generation: u64) {
    let object = fakes.object_api.get(HEAD_KIND, HEAD_NAME).expect("a head");
    let mut head = parse(&object.body).expect("a head");
    let rules = head.rules.expect("rules");
    let name = rules.digest.to_string();
    let text = fakes.object_api.get(BLOB_KIND, &name).expect("rules").body;
    let text = format!("{text}\n# generation {generation}\n");
    let digest = digest_of(&text);
    let since = Generation(generation);
    head.generation = since;
    head.rules = Some(Part {
        digest,
        since,
        ..rules
    });
    fakes.object_api.put(BLOB_KIND, &digest.to_string(), &text);
    let body = to_body(&head).expect("a body");
    fakes.object_api.put(HEAD_KIND, HEAD_NAME, &body);
}

async fn wait_until_all(daemons: &[Daemon], holds: impl Fn(&status::Status) -> bool) {
    for daemon in daemons {
        while !status_of(daemon.bound_addresses().operators)
            .await
            .is_some_and(|s| holds(&s))
        {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

async fn wait_until_any(daemons: &[Daemon], generation: u64) {
    loop {
        for daemon in daemons {
            let status = status_of(daemon.bound_addresses().operators).await;
            if status.is_some_and(|s| s.generation == generation) {
                return;
            }
        }
    }
}

async fn status_of(address: SocketAddr) -> Option<status::Status> {
    status::fetch(address, Duration::from_secs(1)).await.ok()
}
