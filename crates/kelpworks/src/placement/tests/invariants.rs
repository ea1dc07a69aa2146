//! Property tests of plans, repairs and orders on random fleets.

use super::orders::apply_orders;
use super::*;

/// Generates fleets of hosts with random failure domains, capacities, rates, models and liveness.
fn any_input() -> impl Strategy<Value = Input> {
    let hosts = prop::collection::vec(
        (0_u16..4, 0_u64..20, 1_u32..50, 0_u8..4, any::<bool>()),
        0..24,
    );
    (hosts, 1_u32..40, 1_u32..40).prop_map(|(shapes, a, b)| {
        let shaped = |(d, layers, rate, models, live): (u16, u64, u32, u8, bool)| HostSpec {
            models: (0..2)
                .filter(|m| models & (1 << m) != 0)
                .map(ModelKey)
                .collect(),
            live: live || layers % 3 > 0,
            ..host("h", d, layers, f64::from(rate))
        };
        let hosts = shapes.into_iter().map(shaped).collect();
        input(4, hosts, vec![model("a", a, 1.0), model("b", b, 2.0)])
    })
}

/// Generates fleets on which a redundant plan exists: for each stage of 8 layers two hosts in two
/// failure domains, which may load only the model of the stage, and further random hosts.
fn redundant_input() -> impl Strategy<Value = Input> {
    let others = prop::collection::vec((0_u16..3, 0_u64..9, 0_u16..2), 0..8);
    let pairs = prop::collection::vec((0_u16..3, 1_u16..3), 5);
    (pairs, others).prop_map(|(pairs, others)| {
        let of = |model: usize, d: u16, layers: u64| HostSpec {
            models: vec![ModelKey(model as u16)],
            ..host("h", d, layers, 100.0)
        };
        let mut hosts = Vec::new();
        for (i, (domain, step)) in pairs.into_iter().enumerate() {
            let model = usize::from(i >= 3);
            hosts.push(of(model, domain, 8));
            hosts.push(of(model, (domain + step) % 3, 8));
        }
        hosts.extend(others.into_iter().map(|(d, l, m)| of(usize::from(m), d, l)));
        input(3, hosts, vec![model("a", 24, 1.0), model("b", 16, 1.0)])
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn plan_satisfies_invariants(input in any_input()) {
        let found = plan(&input);
        check_invariants(&input, &found);
        prop_assert!(found.scale(&input) <= input.bound() * (1.0 + 1e-9));
        prop_assert_eq!(plan(&input), found);
    }

    #[test]
    fn every_stage_is_redundant_where_hosts_allow(input in redundant_input()) {
        let found = plan(&input);
        check_invariants(&input, &found);
        prop_assert_eq!(found.shortfalls, []);
    }

    #[test]
    fn repaired_plan_satisfies_invariants(input in any_input(), lost in 0_u16..4) {
        let before = plan(&input);
        let lost = FailureScope::FailureDomain(DomainKey(lost));
        check_invariants(&without(&input, lost), &repair(&input, &before, lost));
    }

    #[test]
    fn orders_keep_models_complete(
        before in any_input(),
        lost in 0_u32..24,
        version in 1_u32..3,
        rate in 1_u32..50,
    ) {
        let mut input = before.clone();
        input.loaded_ranges = plan(&before).host_ranges(&before);
        if let Some(host) = input.hosts.get_mut(lost as usize) {
            host.live = false;
        }
        if let Some(host) = input.hosts.first_mut() {
            host.layer_rate = f64::from(rate);
        }
        input.models[0].version = Arc::from(format!("v{version}"));
        let next = plan(&input);
        let orders = orders(&input, &next);
        let loaded = apply_orders(&input, &orders);
        if orders.blocked.is_empty() {
            let planned = next.host_ranges(&input);
            let satisfies = |w: &HostRange, h: &HostRange| {
                h.host == w.host && h.model == w.model && h.version == w.version
                    && h.layers.first <= w.layers.first && w.layers.end <= h.layers.end
            };
            prop_assert!(planned.iter().all(|w| loaded.iter().any(|h| satisfies(w, h))));
        }
    }
}
