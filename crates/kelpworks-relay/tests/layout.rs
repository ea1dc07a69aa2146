//! Planning of layer assignments.

mod fleet_support;

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use rstest::rstest;

use fleet_support::LAYERS;
use fleet_support::empty_hosts;
use fleet_support::engines;
use kelpworks_relay::config::Accelerator;
use kelpworks_relay::config::EngineProfile;
use kelpworks_relay::layout::EngineState;
use kelpworks_relay::layout::capacity_requests_for;
use kelpworks_relay::layout::layers_for;
use kelpworks_relay::layout::plan;

/// Applies the orders of a plan; returns their number.
fn apply_plan(hosts: &mut [EngineState]) -> usize {
    let orders = plan(&engines(), hosts);
    for order in &orders {
        let host = hosts.iter_mut().find(|h| h.instance == order.instance);
        host.expect("a known engine").layers = Some(order.layers);
    }
    orders.len()
}

/// Number of layers that no engine of a domain holds.
fn missing_layers(hosts: &[EngineState], domain: &str) -> usize {
    let loaded = |l: u16| {
        let mut here = hosts.iter().filter(|h| &*h.domain == domain);
        here.any(|h| h.layers.is_some_and(|r| r.contains(l)))
    };
    (0..LAYERS).filter(|&l| !loaded(l)).count()
}

#[test]
fn plan_covers_the_model_in_each_domain_and_is_stable() {
    let mut hosts = empty_hosts(&["a", "b", "c"]);
    apply_plan(&mut hosts);
    for domain in ["a", "b", "c"] {
        assert_eq!(missing_layers(&hosts, domain), 0, "domain {domain}");
    }
    assert_eq!(apply_plan(&mut hosts), 0, "a second plan changes nothing");
}

#[rstest]
#[case("large")]
#[case("middle")]
#[case("slow")]
fn layers_fit_in_memory_with_capacity_for_requests(#[case] kind: &str) {
    let engines = engines();
    let kind = engines.kind(kind).expect("a kind");
    let layers = layers_for(&engines, kind, 85.0);
    assert!(layers >= 1);
    assert!(f64::from(layers) * engines.layer_mb < kind.memory_mb);
    let requests = engines.kv_capacity(kind, layers) / f64::from(layers) / 984.0;
    assert!(requests >= 80.0, "capacity for {requests} requests");
}

#[test]
fn domain_stays_covered_after_losing_its_largest_engine() {
    let mut hosts = empty_hosts(&["a"]);
    apply_plan(&mut hosts);
    hosts.retain(|h| &*h.kind != "large");
    apply_plan(&mut hosts);
    assert_eq!(missing_layers(&hosts, "a"), 0);
}

#[test]
fn empty_engine_gets_the_missing_layers() {
    let mut hosts = empty_hosts(&["a", "b"]);
    apply_plan(&mut hosts);
    let loaded = hosts[1].layers.take().expect("layers");
    let orders = plan(&engines(), &hosts);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].instance, hosts[1].instance);
    assert_eq!(orders[0].layers, loaded);
    assert!(!orders[0].moves);
}

#[test]
fn least_loaded_engine_moves_to_missing_layers() {
    let mut hosts = empty_hosts(&["a"]);
    apply_plan(&mut hosts);
    let lost = hosts
        .iter()
        .position(|h| &*h.kind == "middle")
        .expect("one");
    hosts.remove(lost);
    for host in &mut hosts {
        host.running = if &*host.instance == "a-slow-2" {
            1.0
        } else {
            9.0
        };
    }
    let orders = plan(&engines(), &hosts);
    let [order] = &orders[..] else {
        panic!("one move: {orders:?}");
    };
    assert!(order.moves);
    assert_eq!(&*order.instance, "a-slow-2");
}

/// Guards against a fault in which the only engine of a failure domain that held the first layer
/// was limited to three requests per second, and no other engine was given that layer.
#[test]
fn first_layer_held_only_by_rate_limited_engines_gets_another_copy() {
    let mut hosts = empty_hosts(&["a"]);
    apply_plan(&mut hosts);
    let holds_first = |h: &&mut EngineState| h.layers.is_some_and(|r| r.contains(0));
    for host in hosts.iter_mut().filter(holds_first) {
        host.limited = true;
    }
    let orders = plan(&engines(), &hosts);
    let [order] = &orders[..] else {
        panic!("one move: {orders:?}");
    };
    assert!(order.moves && order.layers.contains(0), "{order:?}");
    apply_plan(&mut hosts);
    assert_eq!(apply_plan(&mut hosts), 0, "one is enough");
    assert_eq!(missing_layers(&hosts, "a"), 0);
}

/// Checks that orders fit in the memory of their engines and that planning converges.
fn check_plans_fit_and_converge(mut hosts: Vec<EngineState>) -> Result<(), TestCaseError> {
    let engines = engines();
    let mut orders = 0;
    while orders < 200 {
        for order in plan(&engines, &hosts) {
            let host = hosts.iter().find(|h| h.instance == order.instance);
            let kind = engines.kind(&host.expect("known").kind).expect("a kind");
            prop_assert!(f64::from(order.layers.len()) * engines.layer_mb <= kind.memory_mb);
            prop_assert!(order.layers.to <= LAYERS && !order.layers.is_empty());
        }
        let applied = apply_plan(&mut hosts);
        if applied == 0 {
            return Ok(());
        }
        orders += applied;
    }
    prop_assert!(false, "planning does not converge");
    Ok(())
}

proptest! {
    /// Any subset of the engines.
    #[test]
    fn orders_fit_in_memory_and_plans_converge(keep_flags in proptest::collection::vec(any::<bool>(), 39)) {
        let mut hosts = empty_hosts(&["a", "b", "c"]);
        let mut keep = keep_flags.iter();
        hosts.retain(|_| *keep.next().expect("as many"));
        check_plans_fit_and_converge(hosts)?;
    }

    /// Some engines limit their requests, from the start or after the initial plan.
    #[test]
    fn orders_fit_in_memory_and_plans_converge_with_rate_limits(
        limited in proptest::collection::vec(any::<bool>(), 39),
        has_initial_plan in any::<bool>(),
    ) {
        let mut hosts = empty_hosts(&["a", "b", "c"]);
        if has_initial_plan {
            apply_plan(&mut hosts);
        }
        for (host, limited) in hosts.iter_mut().zip(limited) {
            host.limited = limited;
        }
        check_plans_fit_and_converge(hosts)?;
    }
}

#[test]
fn engine_of_unknown_kind_gets_no_order() {
    let mut hosts = empty_hosts(&["a"]);
    hosts[0].kind = Arc::from("unheard-of");
    let orders = plan(&engines(), &hosts);
    assert!(orders.iter().all(|o| o.instance != hosts[0].instance));
}

/// A domain with more than three copies of the layers gives its engines request capacity in place
/// of further copies; one with fewer keeps its copies. The larger domain has the capacity for an
/// hour of heavy traffic, the smaller one the copies to survive the loss of an engine.
#[rstest]
#[case::few_engines(1, 8, 4, 85.0)]
#[case::just_below_spare_copies(2, 20, 10, 85.0)]
#[case::many_engines(3, 24, 12, 130.0)]
fn request_capacity_grows_with_the_engines_of_a_domain(
    #[case] large: usize,
    #[case] middle: usize,
    #[case] slow: usize,
    #[case] capacity: f64,
) {
    let engines = engines();
    let host = |kind: &str, i| EngineState {
        instance: format!("{kind}-{i}").into(),
        domain: "a".into(),
        kind: kind.into(),
        layers: None,
        running: 0.0,
        limited: false,
    };
    let kinds = [("large", large), ("middle", middle), ("slow", slow)];
    let hosts: Vec<EngineState> = kinds
        .iter()
        .flat_map(|&(kind, n)| (0..n).map(move |i| host(kind, i)))
        .collect();
    assert_eq!(capacity_requests_for(&engines, &hosts, "a"), capacity);
    let kind = |h: &EngineState| engines.kind(&h.kind).expect("known");
    let loaded = hosts
        .iter()
        .map(|h| layers_for(&engines, kind(h), capacity));
    let copies = f64::from(loaded.sum::<u16>()) / f64::from(LAYERS);
    assert!(copies >= 3.0 || capacity == 85.0, "{copies}");
}

/// Of two slow kinds of nearly the same speed, one has memory for more layers. Each hop costs a
/// token more time than the difference in speed, so that kind fills the gaps left by the fast
/// engines. The scenario is typical traffic on a fleet with few fast engines.
#[test]
fn slow_engines_with_more_memory_fill_gaps_left_by_fast_ones() {
    let kind = |name: &str, memory_mb, step_factor| Accelerator {
        name: Arc::from(name),
        memory_mb,
        step_factor,
        read_factor: 8.0,
    };
    let engines = EngineProfile {
        kinds: vec![
            kind("fast", 36_000.0, 3.1),
            kind("roomy", 21_600.0, 16.0),
            kind("small", 14_400.0, 15.0),
        ],
        ..engines()
    };
    let mut hosts = Vec::new();
    for (kind, count) in [("fast", 4), ("roomy", 3), ("small", 24)] {
        hosts.extend((0..count).map(|i| EngineState {
            instance: Arc::from(format!("{kind}-{i}")),
            domain: Arc::from("a"),
            kind: Arc::from(kind),
            layers: None,
            running: 0.0,
            limited: false,
        }));
    }
    for order in plan(&engines, &hosts) {
        let host = hosts.iter_mut().find(|h| h.instance == order.instance);
        host.expect("a known engine").layers = Some(order.layers);
    }
    let holds = |kind_name: &str, layer: u16| {
        let mut of_kind = hosts.iter().filter(|h| *h.kind == *kind_name);
        of_kind.any(|h| h.layers.is_some_and(|r| r.contains(layer)))
    };
    let gaps = (0..LAYERS).filter(|&l| !holds("fast", l));
    let only_on_small: Vec<u16> = gaps.filter(|&l| !holds("roomy", l)).collect();
    assert!(only_on_small.is_empty(), "{only_on_small:?}");
}
