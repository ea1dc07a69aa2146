//! A randomized fault soak of relaying daemons as separate processes.
//!
//! A seed determines a series of overlapping faults: links in front of the store, the engines and
//! the plain service are cut, silenced or slowed; daemons are killed, paused, stopped and reloaded;
//! the store goes down, loses replies, drops its history and is restored from older copies; engines
//! stall, cut streams, refuse requests, deregister, announce rate limits, request backoffs, and state
//! that they are leaving; upstreams of a service end under chosen requests; daemons lose their links
//! to all upstreams; configurations change.
//! Callers send requests throughout, and what they and the upstreams see is checked against the
//! guarantees of `docs/PROMISES.md`.
//!
//! CI runs a few seeds. To run any number by hand (`docs/SOAK.md`):
//!
//! ```console
//! $ SOAK_FROM=100 SOAK_SEEDS=50 cargo test --locked -p kelpworks-cli --test soak -- --ignored
//! ```
//!
//! Not covered: faults of links between daemons, which reach each other directly at the addresses
//! that they announce; and changes of their wall clocks, on which no guarantee depends.

#[path = "../relay_site/mod.rs"]
mod relay_site;

mod callers;
mod checks;
mod constraints;
mod faults;
mod limits;
mod plan;
mod poisons;
mod retries;
mod site;

use std::time::Duration;

use rstest::rstest;

use plan::Plan;
use site::Soak;

/// Daemons of a run in CI.
const DAEMONS: usize = 3;

/// Runs the plan of a seed, and returns the violated guarantees.
async fn run_seed(seed: u64, daemons: usize, length: Duration) -> Vec<String> {
    let plan = Plan::draw(seed, daemons, length);
    let soak = Soak::start(seed, daemons).await;
    let (violations, high_water) = soak.run(&plan).await;
    println!("seed {seed}: {high_water}");
    violations
        .into_iter()
        .map(|b| format!("seed {seed}: {b}"))
        .collect()
}

#[rstest]
#[case::planned_work_only(4)]
#[case::unplanned(1)]
#[case::more_unplanned(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_random_faults(#[case] seed: u64) {
    let violations = run_seed(seed, DAEMONS, Duration::from_secs(6)).await;
    assert!(violations.is_empty(), "{violations:#?}");
}

fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |v| v.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "takes minutes; run by hand with seeds from the environment"]
async fn guarantees_hold_for_seeds_from_the_environment() {
    let from = env_number("SOAK_FROM", 1_000);
    let seeds = env_number("SOAK_SEEDS", 50);
    let daemons = env_number("SOAK_DAEMONS", 4) as usize;
    let length = Duration::from_secs(env_number("SOAK_SECONDS", 12));
    let mut violations = Vec::new();
    for seed in from..from + seeds {
        let found = run_seed(seed, daemons, length).await;
        println!("seed {seed}: {} broken {found:#?}", found.len());
        violations.extend(found);
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
