//! Tests of placement on small fleets.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use insta::assert_snapshot;
use kelpworks_wire::LayerRange;
use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::fleet::DomainKey;
use crate::fleet::LinkCost;
use crate::fleet::ModelKey;
use crate::register::Accelerator;
use crate::register::EngineHost;
use crate::register::FailureDomain;
use crate::register::Host;
use crate::register::HostRole;
use crate::register::Link;
use crate::register::Model;
use crate::register::Register;
use crate::units::Rate;
use crate::units::Size;
use crate::units::Span;

/// Bytes of a layer in these tests.
const LAYER: u64 = 1_000;

/// A host that may hold so many layers of any model.
fn host(name: &str, domain: u16, layers: u64, layer_rate: f64) -> HostSpec {
    let bytes = (layers * LAYER) as f64 / (1.0 - KV_HEADROOM);
    HostSpec {
        name: Arc::from(name),
        domain: DomainKey(domain),
        memory: Size(bytes.ceil() as u64),
        layer_rate,
        models: vec![ModelKey(0)],
        live: true,
    }
}

fn model(name: &str, layers: u32, demand: f64) -> ModelSpec {
    ModelSpec {
        name: Arc::from(name),
        version: Arc::from("v1"),
        layers,
        layer_size: Size(LAYER),
        demand,
    }
}

fn input(domains: u16, hosts: Vec<HostSpec>, models: Vec<ModelSpec>) -> Input {
    let link = |near: bool| LinkCost {
        latency: Duration::from_micros(if near { 10 } else { 1_000 }),
        bytes_per_second: 1_000_000_000,
    };
    let ends = (0..domains).flat_map(|a| (0..domains).map(move |b| a == b));
    Input {
        domains: (0..domains)
            .map(|d| Arc::from(format!("hall-{d}")))
            .collect(),
        hosts,
        models,
        links: ends.map(link).collect(),
        holdings: Vec::new(),
        weight_rate: Rate(LAYER),
    }
}

/// Hosts dealt to the domains in turn; `shapes` are layers and rate.
fn dealt(domains: u16, shapes: &[(u64, f64)]) -> Vec<HostSpec> {
    let shapes = shapes.iter().enumerate();
    shapes
        .map(|(i, &(layers, rate))| host(&format!("h{i}"), i as u16 % domains, layers, rate))
        .collect()
}

/// The invariants of every plan.
fn check(input: &Input, plan: &Plan) {
    for m in &plan.models {
        let mut at = 0;
        for (s, stage) in m.stages.iter().enumerate() {
            assert_eq!(stage.layers.first, at, "stages cover each layer once");
            assert!(stage.layers.end > at, "no stage is empty");
            at = stage.layers.end;
            for &h in &stage.hosts {
                let length = stage.layers.end - stage.layers.first;
                assert!(
                    length <= input.layer_capacity(h, m.model),
                    "memory, models, live"
                );
                let expected = Assignment {
                    model: m.model,
                    stage: s as u16,
                };
                assert_eq!(plan.assignments[h.index()], Some(expected));
            }
        }
        assert_eq!(at, input.model(m.model).layers);
    }
    let placed: usize = plan
        .models
        .iter()
        .flat_map(|m| &m.stages)
        .map(|s| s.hosts.len())
        .sum();
    assert_eq!(placed, plan.assignments.iter().flatten().count());
    if plan.shortfalls.is_empty() {
        let domains = (0..input.domains.len()).map(|d| Lost::FailureDomain(DomainKey(d as u16)));
        let losses = input.host_keys().map(Lost::Host).chain(domains);
        for lost in losses {
            assert!(
                plan.stands_without(|h| lost.covers(input, h)),
                "stands without {lost:?}"
            );
        }
    }
}

#[rstest]
#[case::equal_hosts(2, &[(8, 100.0); 8], 16, 1.0)]
#[case::three_domains(3, &[(8, 100.0); 12], 24, 1.0)]
#[case::mixed_rates(2, &[(10, 300.0), (10, 300.0), (10, 100.0), (10, 100.0), (10, 100.0),
    (10, 100.0), (10, 100.0), (10, 100.0)], 20, 1.0)]
#[case::small_and_large(2, &[(4, 100.0), (4, 100.0), (12, 300.0), (12, 300.0)], 16, 1.0)]
#[case::unequal_cuts_win(2, &[(5, 100.0), (5, 100.0), (20, 400.0), (20, 400.0)], 25, 1.0)]
#[case::only_the_cuts_of_one_domain_stand(2, &[(7, 40.0), (7, 40.0), (3, 40.0), (3, 40.0),
    (2, 40.0), (2, 40.0)], 12, 0.57)]
fn reaches_a_share_of_the_bound(
    #[case] domains: u16,
    #[case] shapes: &[(u64, f64)],
    #[case] layers: u32,
    #[case] share: f64,
) {
    let input = input(
        domains,
        dealt(domains, shapes),
        vec![model("m", layers, 1.0)],
    );
    let plan = plan(&input);
    check(&input, &plan);
    assert_eq!(plan.shortfalls, []);
    assert!(plan.scale(&input) >= share * input.bound() * (1.0 - 1e-9));
}

#[rstest]
#[case::no_host(vec![], "[Unplaceable { model: ModelKey(0) }]")]
#[case::too_little_memory(
    dealt(2, &[(0, 1.0), (0, 1.0)]),
    "[Unplaceable { model: ModelKey(0) }]"
)]
#[case::one_host(dealt(1, &[(9, 1.0)]), "[OneHost { model: ModelKey(0), stage: 0 }]")]
#[case::one_domain(
    dealt(1, &[(9, 1.0), (9, 1.0)]),
    "[OneFailureDomain { model: ModelKey(0), stage: 0 }]"
)]
#[case::half_of_the_layers(
    dealt(1, &[(4, 1.0)]),
    "[OneHost { model: ModelKey(0), stage: 0 }, NoReplica { model: ModelKey(0), stage: 1 }]"
)]
fn names_the_rules_that_cannot_be_met(#[case] hosts: Vec<HostSpec>, #[case] expected: &str) {
    let input = input(2, hosts, vec![model("m", 8, 1.0)]);
    let plan = plan(&input);
    check(&input, &plan);
    assert_eq!(format!("{:?}", plan.shortfalls), expected);
}

#[test]
fn demand_divides_hosts_among_models() {
    let mut hosts = dealt(2, &[(8, 100.0); 16]);
    for h in &mut hosts {
        h.models.push(ModelKey(1));
    }
    let models = vec![model("a", 8, 3.0), model("b", 8, 1.0)];
    let input = input(2, hosts, models);
    let plan = plan(&input);
    check(&input, &plan);
    let rates: Vec<f64> = plan.models.iter().map(ModelPlan::rate).collect();
    assert_eq!(rates, [150.0, 50.0]);
    assert_eq!(plan.scale(&input), input.bound());
}

#[test]
fn a_plan_in_words() {
    let shapes = [
        (6, 100.0),
        (6, 100.0),
        (12, 200.0),
        (12, 200.0),
        (6, 100.0),
        (2, 50.0),
    ];
    let mut input = input(3, dealt(3, &shapes), vec![model("caption", 12, 1.0)]);
    input.hosts.push(HostSpec {
        live: false,
        ..host("h6", 0, 12, 100.0)
    });
    input.hosts.push(HostSpec {
        models: vec![],
        ..host("h7", 0, 12, 100.0)
    });
    let plan = plan(&input);
    check(&input, &plan);
    let mut text = String::new();
    for host in input.host_keys() {
        writeln!(text, "{}", plan.explain(&input, host)).unwrap();
    }
    writeln!(
        text,
        "scale={:.3} bound={:.3}",
        plan.scale(&input),
        input.bound()
    )
    .unwrap();
    assert_snapshot!(text);
}

#[rstest]
#[case::nothing_changed(0)]
#[case::one_host_lost(1)]
fn planning_again_moves_little(#[case] lost: u32) {
    let shapes: Vec<(u64, f64)> = (0..24)
        .map(|i| (10, 100.0 + f64::from(i % 3) * 70.0))
        .collect();
    let mut input = input(3, dealt(3, &shapes), vec![model("m", 30, 1.0)]);
    input.holdings = plan(&input).holdings(&input);
    for h in 0..lost {
        input = without(&input, Lost::Host(HostKey(h)));
    }
    let again = plan(&input);
    check(&input, &again);
    assert!(
        again.moves(&input) <= lost as usize,
        "{} moves",
        again.moves(&input)
    );
}

#[rstest]
#[case::replicas_left(&[(8, 100.0); 12], Lost::Host(HostKey(0)), 0)]
#[case::second_domain_gone(&[(8, 100.0); 5], Lost::Host(HostKey(1)), 1)]
fn repair_moves_the_least(#[case] shapes: &[(u64, f64)], #[case] lost: Lost, #[case] moves: usize) {
    let mut input = input(2, dealt(2, shapes), vec![model("m", 16, 1.0)]);
    let before = plan(&input);
    input.holdings = before.holdings(&input);
    let after = repair(&input, &before, lost);
    check(&without(&input, lost), &after);
    assert_eq!(after.moves(&input), moves);
}

#[rstest]
#[case::below_the_hysteresis(24, 1, false)]
#[case::above_the_hysteresis(24, 2, true)]
fn improvement_needs_more_than_the_hysteresis(
    #[case] hosts: usize,
    #[case] joined: usize,
    #[case] adopted: bool,
) {
    // One stage, so that each host that joins adds 1 part in 24.
    let mut input = input(
        2,
        dealt(2, &vec![(8, 100.0); hosts]),
        vec![model("m", 8, 1.0)],
    );
    let mut before = plan(&input);
    input.holdings = before.holdings(&input);
    assert_eq!(improve(&input, &before), None);
    input.hosts.extend(dealt(2, &vec![(8, 100.0); joined]));
    before.assignments.resize(hosts + joined, None);
    assert_eq!(improve(&input, &before).is_some(), adopted);
    let absorbed = absorb(&input, &before);
    check(&input, &absorbed);
    assert_eq!(absorbed.moves(&input), joined);
    assert_eq!(improve(&input, &absorbed), None);
}

#[rstest]
#[case::first(0)]
#[case::second(1)]
#[case::third(2)]
fn hosts_that_come_back_keep_their_stages(#[case] domain: u16) {
    let shapes: Vec<(u64, f64)> = (0..18).map(|i| (8, 100.0 + f64::from(i % 4))).collect();
    let mut input = input(3, dealt(3, &shapes), vec![model("m", 24, 1.0)]);
    let before = plan(&input);
    input.holdings = before.holdings(&input);
    let lost = Lost::FailureDomain(DomainKey(domain));
    let repaired = repair(&input, &before, lost);
    assert_eq!(repaired.moves(&input), 0);
    assert_eq!(absorb(&input, &repaired), before);
}

#[test]
fn a_model_that_no_host_may_carry_costs_the_others_nothing() {
    let mut shapes = vec![(12, 300.0); 4];
    shapes.extend([(4, 300.0); 8]);
    let models = vec![model("m", 16, 1.0), model("none", 16, 1.0)];
    let input = input(2, dealt(2, &shapes), models);
    let plan = plan(&input);
    check(&input, &plan);
    assert_eq!(
        plan.shortfalls,
        [Shortfall::Unplaceable { model: ModelKey(1) }]
    );
    assert_eq!(plan.models[0].rate(), 225.0);
}

/// Applies orders step by step; after each, memory is kept and no version that was whole stops
/// being so before the one to serve is. Returns the holdings at the end.
fn follow(input: &Input, orders: &Orders) -> Vec<HeldRange> {
    let mut held = input.holdings.clone();
    held.retain(|h| input.host(h.host).live);
    let whole = |held: &[HeldRange], model: ModelKey, version: &str| {
        (0..input.model(model).layers).all(|l| {
            held.iter().any(|h| {
                h.model == model
                    && *h.version == *version
                    && (h.layers.first..h.layers.end).contains(&l)
            })
        })
    };
    let before = held.clone();
    let mut wave = 0;
    for step in &orders.steps {
        assert!(step.wave >= wave);
        wave = step.wave;
        match step.action {
            Action::Load { .. } => held.push(step.range.clone()),
            Action::Unload { .. } => {
                let at = held.iter().position(|h| *h == step.range).expect("held");
                held.remove(at);
            }
        }
        let on_host = held.iter().filter(|h| h.host == step.range.host);
        let bytes = |h: &HeldRange| u64::from(h.layers.end - h.layers.first) * LAYER;
        let used: u64 = on_host.map(bytes).sum();
        assert!(used <= input.weight_memory(step.range.host), "memory");
        for h in &before {
            let was = whole(&before, h.model, &h.version);
            let served = whole(&held, h.model, &input.model(h.model).version);
            assert!(
                !was || served || whole(&held, h.model, &h.version),
                "cut at {step:?}"
            );
        }
    }
    held
}

/// Steps as text, one a line.
fn steps_text(input: &Input, orders: &Orders) -> String {
    let mut text = String::new();
    for s in &orders.steps {
        let r = &s.range;
        write!(
            text,
            "{} {} {}",
            s.wave,
            input.host(r.host).name,
            s.reason.as_str()
        )
        .unwrap();
        let layers = format!("{}..{}", r.layers.first, r.layers.end);
        writeln!(text, " {}@{layers} {:?}", r.version, s.action).unwrap();
    }
    for s in &orders.switches {
        writeln!(text, "{} switch to {}", s.wave, s.version).unwrap();
    }
    writeln!(text, "blocked={}", orders.blocked.len()).unwrap();
    text
}

#[test]
fn a_new_version_rolls_without_a_cut() {
    let mut input = input(2, dealt(2, &[(4, 100.0); 8]), vec![model("m", 8, 1.0)]);
    input.holdings = plan(&input).holdings(&input);
    input.models[0].version = Arc::from("v2");
    let next = plan(&input);
    let orders = orders(&input, &next);
    assert_eq!(follow(&input, &orders).len(), 8);
    assert_eq!(orders.blocked, []);
    assert_snapshot!(steps_text(&input, &orders));
}

#[test]
fn a_version_that_has_no_second_replica_is_not_cut() {
    let mut input = input(2, dealt(2, &[(4, 100.0); 2]), vec![model("m", 8, 1.0)]);
    input.holdings = plan(&input).holdings(&input);
    input.models[0].version = Arc::from("v2");
    let orders = orders(&input, &plan(&input));
    assert_eq!(orders.steps, []);
    assert_eq!(orders.blocked.len(), 2);
}

/// Models of one stage of 4 layers each; every host may hold one, and only the models named.
fn one_stage_each(models: u16, hosts: &[(u16, &[u16])]) -> Input {
    let spec = |(i, &(domain, allowed)): (usize, &(u16, &[u16]))| HostSpec {
        models: allowed.iter().map(|&m| ModelKey(m)).collect(),
        ..host(&format!("h{i}"), domain, 4, 100.0)
    };
    let hosts = hosts.iter().enumerate().map(spec).collect();
    let models = (0..models).map(|m| model(&format!("m{m}"), 4, 1.0));
    input(2, hosts, models.collect())
}

#[test]
fn repair_finds_a_way_over_a_third_stage() {
    let mut input = one_stage_each(
        3,
        &[
            (0, &[0]),
            (1, &[0]),
            (0, &[1]),
            (1, &[0, 1]),
            (0, &[2]),
            (1, &[1, 2]),
            (1, &[2]),
        ],
    );
    let stages = [vec![0, 1], vec![2, 3], vec![4, 5, 6]];
    let assigned = stages.iter().enumerate();
    let assigned = assigned.flat_map(|(m, hosts)| hosts.iter().map(move |_| m as u16));
    let assigned = assigned.map(|m| {
        Some(Assignment {
            model: ModelKey(m),
            stage: 0,
        })
    });
    let planned = |(m, hosts): (usize, &Vec<u32>)| ModelPlan {
        model: ModelKey(m as u16),
        version: Arc::from("v1"),
        stages: vec![Stage {
            layers: LayerRange { first: 0, end: 4 },
            hosts: hosts.iter().copied().map(HostKey).collect(),
            rate: 25.0 * hosts.len() as f64,
        }],
    };
    let before = Plan {
        models: stages.iter().enumerate().map(planned).collect(),
        assignments: assigned.collect(),
        shortfalls: vec![],
    };
    check(&input, &before);
    input.holdings = before.holdings(&input);
    let after = repair(&input, &before, Lost::Host(HostKey(1)));
    check(&without(&input, Lost::Host(HostKey(1))), &after);
    assert_eq!(after.shortfalls, []);
    assert_eq!(after.moves(&input), 2);
}

#[test]
fn rate_goes_on_over_a_third_model() {
    let only = |m: &'static [u16]| [(0, m), (1, m)];
    let mut hosts: Vec<(u16, &[u16])> = vec![(0, &[0, 2]), (1, &[0, 1])];
    hosts.extend([only(&[2]), only(&[0]), only(&[1]), only(&[1])].concat());
    let input = one_stage_each(3, &hosts);
    let plan = plan(&input);
    check(&input, &plan);
    assert_eq!(plan.scale(&input), input.bound());
}

#[rstest]
#[case::first([0, 1])]
#[case::middle([2, 5])]
#[case::last([6, 7])]
fn hosts_that_are_alike_keep_what_they_hold(#[case] holders: [u32; 2]) {
    let mut input = input(1, dealt(1, &[(4, 100.0); 8]), vec![model("m", 8, 1.0)]);
    // Only half of the model is held, so these are no cuts to keep.
    input.holdings = plan(&input).holdings(&input);
    input.holdings.truncate(2);
    for (h, holder) in input.holdings.iter_mut().zip(holders) {
        h.host = HostKey(holder);
        h.layers = LayerRange { first: 4, end: 8 };
    }
    assert_eq!(plan(&input).moves(&input), 6);
}

#[test]
fn a_roll_empties_few_hosts_at_once() {
    let mut input = input(2, dealt(2, &[(16, 100.0); 12]), vec![model("m", 16, 1.0)]);
    input.holdings = plan(&input).holdings(&input);
    input.models[0].version = Arc::from("v2");
    let orders = orders(&input, &plan(&input));
    assert_eq!(follow(&input, &orders).len(), 12);
    let switch = orders.switches[0].wave;
    // A host takes 16 s to load, so that 3 are emptied within 60 s, and half stay.
    let emptied = |wave: u32| {
        let steps = orders.steps.iter().filter(|s| s.wave == wave);
        steps
            .filter(|s| matches!(s.action, Action::Unload { .. }))
            .count()
    };
    let before: Vec<usize> = (0..switch).map(emptied).filter(|&n| n > 0).collect();
    assert_eq!(before, [3, 3]);
    assert_eq!(emptied(switch), 6);
}

#[test]
fn new_sessions_switch_once_the_new_version_has_half_of_the_rate() {
    let mut input = input(2, dealt(2, &[(4, 100.0); 3]), vec![model("m", 4, 1.0)]);
    input.holdings = plan(&input).holdings(&input);
    input.models[0].version = Arc::from("v2");
    let orders = orders(&input, &plan(&input));
    assert_eq!(follow(&input, &orders).len(), 3);
    let switch = orders.switches[0].wave;
    let loaded = orders.steps.iter().filter(|s| s.wave < switch);
    let loaded = loaded.filter(|s| matches!(s.action, Action::Load { .. }));
    assert_eq!(loaded.count(), 2);
}

#[rstest]
#[case::two_hosts(dealt(2, &[(8, 1.0); 2]), Reason::FailureDomain)]
#[case::four_hosts(dealt(2, &[(8, 1.0); 4]), Reason::Rate)]
#[case::small(dealt(2, &[(0, 1.0), (8, 1.0), (8, 1.0)]), Reason::TooLittleMemory)]
fn explains_the_first_host(#[case] hosts: Vec<HostSpec>, #[case] reason: Reason) {
    let input = input(2, hosts, vec![model("m", 8, 1.0)]);
    assert_eq!(plan(&input).explain(&input, HostKey(0)).reason, reason);
}

#[test]
fn reads_a_register() {
    let register = Register {
        accelerators: vec![Accelerator {
            name: "x".into(),
            layer_rate: 5.0,
            memory: Size(7),
        }],
        failure_domains: ["a", "b"]
            .map(|name| FailureDomain {
                name: name.into(),
                region: "r".into(),
            })
            .into(),
        models: vec![Model {
            name: "m".into(),
            version: "v1".into(),
            layers: 3,
            layer_size: Size(2),
        }],
        hosts: vec![
            registered("records", "a", HostRole::Service("records".into())),
            registered(
                "e1",
                "b",
                HostRole::Engine(EngineHost {
                    accelerator: "x".into(),
                    accelerators: 2,
                    models: vec!["m".into()],
                    checks_fencing: true,
                }),
            ),
        ],
        links: vec![Link {
            from: "a".into(),
            to: "b".into(),
            latency: Span(Duration::from_millis(9)),
            bandwidth: Rate(11),
        }],
    };
    let near = LinkCost {
        latency: Duration::ZERO,
        bytes_per_second: 1,
    };
    let input = Input::from_register(&register, near, Rate(3));
    let key = input.host_named("e1").unwrap();
    assert_eq!(input.host_named("records"), None);
    assert_eq!(
        (input.host(key).memory, input.host(key).layer_rate),
        (Size(14), 10.0)
    );
    assert_eq!(input.host(key).domain, DomainKey(1));
    assert_eq!(input.layer_capacity(key, ModelKey(0)), 3);
    let far = LinkCost {
        latency: Duration::from_millis(9),
        bytes_per_second: 11,
    };
    assert_eq!(input.links, [near, far, far, near]);
}

fn registered(name: &str, domain: &str, role: HostRole) -> Host {
    Host {
        name: name.into(),
        failure_domain: domain.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        role,
    }
}

/// Fleets with hosts of any shape.
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

/// Fleets on which some cut lets every stage stand: two hosts in two domains for each stage of
/// `layers` layers, each allowed one model, and others besides.
fn standing_input() -> impl Strategy<Value = Input> {
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
    fn every_plan_keeps_the_invariants(input in any_input()) {
        let found = plan(&input);
        check(&input, &found);
        prop_assert!(found.scale(&input) <= input.bound() * (1.0 + 1e-9));
        prop_assert_eq!(plan(&input), found);
    }

    #[test]
    fn every_stage_stands_where_that_is_possible(input in standing_input()) {
        let found = plan(&input);
        check(&input, &found);
        prop_assert_eq!(found.shortfalls, []);
    }

    #[test]
    fn repair_keeps_the_invariants(input in any_input(), lost in 0_u16..4) {
        let before = plan(&input);
        let lost = Lost::FailureDomain(DomainKey(lost));
        check(&without(&input, lost), &repair(&input, &before, lost));
    }

    #[test]
    fn orders_keep_models_whole(
        before in any_input(),
        lost in 0_u32..24,
        version in 1_u32..3,
        rate in 1_u32..50,
    ) {
        let mut input = before.clone();
        input.holdings = plan(&before).holdings(&before);
        if let Some(host) = input.hosts.get_mut(lost as usize) {
            host.live = false;
        }
        if let Some(host) = input.hosts.first_mut() {
            host.layer_rate = f64::from(rate);
        }
        input.models[0].version = Arc::from(format!("v{version}"));
        let next = plan(&input);
        let orders = orders(&input, &next);
        let held = follow(&input, &orders);
        if orders.blocked.is_empty() {
            let wanted = next.holdings(&input);
            let serves = |w: &HeldRange, h: &HeldRange| {
                h.host == w.host && h.model == w.model && h.version == w.version
                    && h.layers.first <= w.layers.first && w.layers.end <= h.layers.end
            };
            prop_assert!(wanted.iter().all(|w| held.iter().any(|h| serves(w, h))));
        }
    }
}
