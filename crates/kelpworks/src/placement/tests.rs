//! Tests of plans on small fleets, and the fixtures of the placement tests.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use insta::assert_snapshot;
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
use crate::units::DurationSetting;
use crate::units::Rate;
use crate::units::Size;
use kelpworks_wire::LayerRange;

mod changes;
mod invariants;
mod orders;

/// Size of a layer in bytes.
const LAYER: u64 = 1_000;

/// Returns a host with memory for `layers` layers that may load model 0.
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
    let link = |same_domain: bool| LinkCost {
        latency: Duration::from_micros(if same_domain { 10 } else { 1_000 }),
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
        loaded_ranges: Vec::new(),
        weight_rate: Rate(LAYER),
    }
}

/// Returns hosts assigned to the failure domains in rotation; `shapes` are layer capacities and
/// rates.
fn hosts_round_robin(domains: u16, shapes: &[(u64, f64)]) -> Vec<HostSpec> {
    let shapes = shapes.iter().enumerate();
    shapes
        .map(|(i, &(layers, rate))| host(&format!("h{i}"), i as u16 % domains, layers, rate))
        .collect()
}

/// Checks the invariants of every plan: stages cover each layer once, each replica has the memory
/// for its stage, assignments and stages are consistent, and a plan without shortfalls survives any
/// loss.
fn check_invariants(input: &Input, plan: &Plan) {
    for m in &plan.models {
        let mut end = 0;
        for (s, stage) in m.stages.iter().enumerate() {
            assert_eq!(stage.layers.first, end, "stages cover each layer once");
            assert!(stage.layers.end > end, "no stage is empty");
            end = stage.layers.end;
            for &h in &stage.hosts {
                let length = stage.layers.end - stage.layers.first;
                assert!(
                    length <= input.layer_capacity(h, m.model),
                    "the stage fits in memory and the host is live and may load the model"
                );
                let expected = Assignment {
                    model: m.model,
                    stage: s as u16,
                };
                assert_eq!(plan.assignments[h.index()], Some(expected));
            }
        }
        assert_eq!(end, input.model(m.model).layers);
    }
    let placed: usize = plan
        .models
        .iter()
        .flat_map(|m| &m.stages)
        .map(|s| s.hosts.len())
        .sum();
    assert_eq!(placed, plan.assignments.iter().flatten().count());
    if plan.shortfalls.is_empty() {
        let domains =
            (0..input.domains.len()).map(|d| FailureScope::FailureDomain(DomainKey(d as u16)));
        let losses = input.host_keys().map(FailureScope::Host).chain(domains);
        for lost in losses {
            assert!(
                plan.survives_loss_of(|h| lost.covers(input, h)),
                "survives the loss of {lost:?}"
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
#[case::unequal_stages_are_faster(2, &[(5, 100.0), (5, 100.0), (20, 400.0), (20, 400.0)], 25, 1.0)]
#[case::only_a_single_domain_partition_is_redundant(2, &[(7, 40.0), (7, 40.0), (3, 40.0), (3, 40.0),
    (2, 40.0), (2, 40.0)], 12, 0.57)]
fn plan_reaches_expected_share_of_the_bound(
    #[case] domains: u16,
    #[case] shapes: &[(u64, f64)],
    #[case] layers: u32,
    #[case] share: f64,
) {
    let input = input(
        domains,
        hosts_round_robin(domains, shapes),
        vec![model("m", layers, 1.0)],
    );
    let plan = plan(&input);
    check_invariants(&input, &plan);
    assert_eq!(plan.shortfalls, []);
    assert!(plan.scale(&input) >= share * input.bound() * (1.0 - 1e-9));
}

#[rstest]
#[case::no_host(vec![], "[Unplaceable { model: ModelKey(0) }]")]
#[case::too_little_memory(
    hosts_round_robin(2, &[(0, 1.0), (0, 1.0)]),
    "[Unplaceable { model: ModelKey(0) }]"
)]
#[case::one_host(hosts_round_robin(1, &[(9, 1.0)]), "[OneHost { model: ModelKey(0), stage: 0 }]")]
#[case::one_domain(
    hosts_round_robin(1, &[(9, 1.0), (9, 1.0)]),
    "[OneFailureDomain { model: ModelKey(0), stage: 0 }]"
)]
#[case::half_of_the_layers(
    hosts_round_robin(1, &[(4, 1.0)]),
    "[OneHost { model: ModelKey(0), stage: 0 }, NoReplica { model: ModelKey(0), stage: 1 }]"
)]
fn plan_reports_shortfalls_that_the_hosts_cannot_avoid(
    #[case] hosts: Vec<HostSpec>,
    #[case] expected: &str,
) {
    let input = input(2, hosts, vec![model("m", 8, 1.0)]);
    let plan = plan(&input);
    check_invariants(&input, &plan);
    assert_eq!(format!("{:?}", plan.shortfalls), expected);
}

#[test]
fn hosts_are_divided_among_models_by_demand() {
    let mut hosts = hosts_round_robin(2, &[(8, 100.0); 16]);
    for h in &mut hosts {
        h.models.push(ModelKey(1));
    }
    let models = vec![model("a", 8, 3.0), model("b", 8, 1.0)];
    let input = input(2, hosts, models);
    let plan = plan(&input);
    check_invariants(&input, &plan);
    let rates: Vec<f64> = plan.models.iter().map(ModelPlan::rate).collect();
    assert_eq!(rates, [150.0, 50.0]);
    assert_eq!(plan.scale(&input), input.bound());
}

#[test]
fn explanation_names_stage_reason_and_rates() {
    let shapes = [
        (6, 100.0),
        (6, 100.0),
        (12, 200.0),
        (12, 200.0),
        (6, 100.0),
        (2, 50.0),
    ];
    let mut input = input(
        3,
        hosts_round_robin(3, &shapes),
        vec![model("caption", 12, 1.0)],
    );
    input.hosts.push(HostSpec {
        live: false,
        ..host("h6", 0, 12, 100.0)
    });
    input.hosts.push(HostSpec {
        models: vec![],
        ..host("h7", 0, 12, 100.0)
    });
    let plan = plan(&input);
    check_invariants(&input, &plan);
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

#[test]
fn unplaceable_model_does_not_slow_other_models() {
    let mut shapes = vec![(12, 300.0); 4];
    shapes.extend([(4, 300.0); 8]);
    let models = vec![model("m", 16, 1.0), model("none", 16, 1.0)];
    let input = input(2, hosts_round_robin(2, &shapes), models);
    let plan = plan(&input);
    check_invariants(&input, &plan);
    assert_eq!(
        plan.shortfalls,
        [Shortfall::Unplaceable { model: ModelKey(1) }]
    );
    assert_eq!(plan.models[0].rate(), 225.0);
}

#[rstest]
#[case::two_hosts(hosts_round_robin(2, &[(8, 1.0); 2]), Reason::FailureDomain)]
#[case::four_hosts(hosts_round_robin(2, &[(8, 1.0); 4]), Reason::Rate)]
#[case::no_memory(hosts_round_robin(2, &[(0, 1.0), (8, 1.0), (8, 1.0)]), Reason::TooLittleMemory)]
fn explain_gives_reason_for_first_host(#[case] hosts: Vec<HostSpec>, #[case] reason: Reason) {
    let input = input(2, hosts, vec![model("m", 8, 1.0)]);
    assert_eq!(plan(&input).explain(&input, HostKey(0)).reason, reason);
}

#[test]
fn input_is_built_from_register() {
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
            latency: DurationSetting(Duration::from_millis(9)),
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
