//! Tests of the executor's decisions, without I/O: degraded hosts, planning and order scheduling.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use super::degraded::DegradedHosts;
use super::order_scheduler::Now;
use super::order_scheduler::OrderScheduler;
use super::order_scheduler::Reading;
use super::planning::PlanReason;
use super::planning::Planning;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::fleet::Health;
use crate::fleet::LayerAssignment;
use crate::fleet::LinkCost;
use crate::fleet::ModelKey;
use crate::fleet::Upstream;
use crate::placement::HostSpec;
use crate::placement::Input;
use crate::placement::ModelSpec;
use crate::placement::orders;
use crate::placement::plan;
use crate::units::Rate;
use crate::units::Size;
use kelpworks_coord::lease::Token;
use kelpworks_coord::time;
use kelpworks_coord::time::Span;
use kelpworks_wire::EngineLoad;
use kelpworks_wire::EngineState;
use kelpworks_wire::LayerRange;
use kelpworks_wire::LoadedRange;

const GB: u64 = 1_000_000_000;
const IMPROVE_AFTER: Duration = Duration::from_secs(60);

/// Returns an input of six hosts in three failure domains and one model of twelve layers, of which
/// eight fit on a host beside the KV headroom.
fn input(weight_rate: Rate) -> Input {
    let host = |i: u16| HostSpec {
        name: format!("host-{i}").into(),
        domain: DomainKey(i % 3),
        memory: Size(10 * GB),
        layer_rate: 1_000.0,
        models: vec![ModelKey(0)],
        live: true,
    };
    let link = LinkCost {
        latency: Duration::from_millis(1),
        bytes_per_second: GB,
    };
    Input {
        domains: vec!["a".into(), "b".into(), "c".into()],
        hosts: (0..6).map(host).collect(),
        models: vec![ModelSpec {
            name: "caption".into(),
            version: "1".into(),
            layers: 12,
            layer_size: Size(GB),
            demand: 1.0,
        }],
        links: vec![link; 9],
        loaded_ranges: Vec::new(),
        weight_rate,
    }
}

/// Returns a fleet of replicas of one stage with these step times in milliseconds; the register
/// gives an expected step time of 10 ms.
fn replicas(step_ms: &[u64]) -> Fleet {
    let mut fleet = Fleet::default();
    for (at, &ms) in step_ms.iter().enumerate() {
        let upstream = Upstream {
            name: format!("host-{at}").into(),
            url: "".into(),
            domain: DomainKey(0),
            health: Health::Live,
            layer_rate: 400.0,
            layer_assignments: vec![LayerAssignment {
                model: ModelKey(0),
                version: 0,
                layers: LayerRange { first: 0, end: 4 },
            }],
            service: None,
            incarnation: 0,
            counters: Arc::default(),
        };
        upstream
            .counters
            .step_us
            .store(ms * 1_000, Ordering::Relaxed);
        fleet.upstreams.insert(upstream);
    }
    fleet
}

/// Observes the fleet `rounds` times. Step times change by 1 µs before each, since an unchanged
/// step time is not a new sample.
fn observe(degraded: &mut DegradedHosts, fleet: &Fleet, rounds: usize) -> Vec<String> {
    let mut changes = Vec::new();
    for _ in 0..rounds {
        for upstream in fleet.upstreams.values() {
            upstream.counters.step_us.fetch_add(1, Ordering::Relaxed);
        }
        let seen = degraded.observe(fleet);
        changes.extend(seen.iter().map(|c| format!("{} {}", c.host, c.degraded)));
    }
    changes
}

#[rstest]
#[case::alike(&[10, 11, 12], 20, &[])]
#[case::one_slow(&[10, 30, 10], 20, &["host-1 true"])]
#[case::one_of_two(&[10, 30], 20, &["host-1 true"])]
#[case::all_slow(&[40, 41, 42], 20, &[])]
#[case::few_rounds(&[10, 30, 10], 4, &[])]
#[case::network_noise(&[1, 4, 1], 20, &[])]
#[case::no_peers(&[90], 20, &[])]
fn host_slower_than_its_peers_is_degraded(
    #[case] step_ms: &[u64],
    #[case] rounds: usize,
    #[case] expected: &[&str],
) {
    let mut degraded = DegradedHosts::default();
    assert_eq!(observe(&mut degraded, &replicas(step_ms), rounds), expected);
}

#[test]
fn degraded_host_has_reduced_rate_until_it_recovers() {
    let mut degraded = DegradedHosts::default();
    observe(&mut degraded, &replicas(&[10, 40, 10]), 10);
    let fraction = degraded.rate_fraction("host-1");
    assert!((0.2..0.3).contains(&fraction), "{fraction}");
    assert_eq!(degraded.rate_fraction("host-0"), 1.0);
    let back = observe(&mut degraded, &replicas(&[10, 11, 10]), 10);
    assert_eq!(back, ["host-1 false"]);
    assert_eq!(degraded.rate_fraction("host-1"), 1.0);
}

#[test]
fn improvement_is_tried_after_hosts_are_unchanged_for_improve_after() {
    let mut input = input(Rate(GB));
    let mut planning = Planning::default();
    let start = Instant::now();
    let mut decide = |input: &Input, secs| {
        let now = start + Duration::from_secs(secs);
        planning.decide(1, input, IMPROVE_AFTER, now)
    };
    assert_eq!(decide(&input, 0).reason, PlanReason::Incomplete);
    let stage = decide(&input, 1).plan.models[0].stages[0].clone();
    for host in &stage.hosts[1..] {
        input.hosts[host.index()].live = false;
    }
    let repaired = decide(&input, 2);
    assert_eq!(repaired.reason, PlanReason::Loss);
    assert!(repaired.changed && repaired.plan.shortfalls.is_empty());
    // One host is now six times as fast, so a different partition of the layers is better.
    for host in input.hosts.iter_mut().filter(|h| h.live).take(1) {
        host.layer_rate = 6_000.0;
    }
    assert!(!decide(&input, 3).changed);
    assert!(!decide(&input, 62).changed);
    assert_eq!(decide(&input, 63).reason, PlanReason::Improved);
}

#[test]
fn new_lease_holder_adopts_loaded_plan_and_improves_it_later() {
    let mut input = input(Rate(GB));
    input.loaded_ranges = plan(&input).host_ranges(&input);
    input.hosts[0].layer_rate = 6_000.0;
    assert!(plan(&input).moves(&input) > 0, "a better plan is to be had");
    let mut planning = Planning::default();
    let start = Instant::now();
    let first = planning.decide(1, &input, IMPROVE_AFTER, start);
    assert_eq!(first.reason, PlanReason::AlreadyLoaded);
    assert_eq!(first.plan.moves(&input), 0);
    let later = planning.decide(1, &input, IMPROVE_AFTER, start + IMPROVE_AFTER);
    assert_eq!(later.reason, PlanReason::Improved);
}

#[rstest]
#[case::slow_store(Rate(GB), 1)]
#[case::fast_store(Rate(100 * GB), 6)]
fn concurrent_loads_are_bounded_by_weight_store_rate(#[case] rate: Rate, #[case] expected: usize) {
    let input = input(rate);
    let wave = orders(&input, &plan(&input)).steps;
    let mut order_scheduler = OrderScheduler::new(Span::from_secs(2), IMPROVE_AFTER);
    let now = now(0);
    let readings = input.host_keys().map(|h| (h, reading(0, &[]))).collect();
    assert_eq!(
        order_scheduler.due(&input, &wave, &readings, now).len(),
        expected
    );
    let without_lease = Now {
        fencing_token: None,
        ..now
    };
    assert_eq!(
        order_scheduler
            .due(&input, &wave, &readings, without_lease)
            .len(),
        0
    );
}

#[test]
fn host_that_fails_to_load_becomes_unfit() {
    let input = input(Rate(GB));
    let wave = orders(&input, &plan(&input)).steps;
    let mut order_scheduler = OrderScheduler::new(Span::from_secs(2), IMPROVE_AFTER);
    let first = wave[0].range.host;
    let mut order_counts = Vec::new();
    for secs in [0, 1, 2, 4, 6, 8] {
        let readings = [(first, reading(secs, &[]))].into();
        order_counts.push(
            order_scheduler
                .due(&input, &wave, &readings, now(secs))
                .len(),
        );
    }
    assert_eq!(order_counts, [1, 0, 1, 1, 0, 0]);
    assert!(order_scheduler.is_unfit(&input.host(first).name, now(8).tokio));
    assert_eq!(order_scheduler.take_newly_unfit().len(), 1);
}

fn now(secs: u64) -> Now {
    static START: std::sync::LazyLock<Instant> = std::sync::LazyLock::new(Instant::now);
    Now {
        tokio: *START + Duration::from_secs(secs),
        coord: time::Instant::from_millis(secs * 1_000),
        fencing_token: Some(Token(1)),
    }
}

fn reading(secs: u64, loaded: &[LoadedRange]) -> Reading {
    Reading {
        queried_at: time::Instant::from_millis(secs * 1_000),
        state: EngineState {
            name: String::new(),
            incarnation: 0,
            draining: false,
            highest_fence: 0,
            loaded: loaded.to_vec(),
            loading: Vec::new(),
            load: EngineLoad {
                draining: false,
                kv_free: 0,
                queue_ms: 0,
                queued: 0,
                running: 0,
            },
        },
    }
}
