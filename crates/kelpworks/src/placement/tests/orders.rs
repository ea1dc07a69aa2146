//! Tests of the sequence of steps that leads to a plan.

use super::*;

/// Applies orders step by step and returns the ranges that are loaded at the end. Checks after each
/// step that the memory of the host is not exceeded, and that a version that was complete at the
/// start stays so until the version to serve is complete.
pub(super) fn apply_orders(input: &Input, orders: &Orders) -> Vec<HostRange> {
    let mut loaded = input.loaded_ranges.clone();
    loaded.retain(|h| input.host(h.host).live);
    let is_complete = |loaded: &[HostRange], model: ModelKey, version: &str| {
        (0..input.model(model).layers).all(|l| {
            loaded.iter().any(|h| {
                h.model == model
                    && *h.version == *version
                    && (h.layers.first..h.layers.end).contains(&l)
            })
        })
    };
    let before = loaded.clone();
    let mut wave = 0;
    for step in &orders.steps {
        assert!(step.wave >= wave);
        wave = step.wave;
        match step.action {
            Action::Load { .. } => loaded.push(step.range.clone()),
            Action::Unload { .. } => {
                let at = loaded.iter().position(|h| *h == step.range).expect("held");
                loaded.remove(at);
            }
        }
        let on_host = loaded.iter().filter(|h| h.host == step.range.host);
        let bytes = |h: &HostRange| u64::from(h.layers.end - h.layers.first) * LAYER;
        let used: u64 = on_host.map(bytes).sum();
        assert!(used <= input.weight_memory(step.range.host), "memory");
        for h in &before {
            let was_complete = is_complete(&before, h.model, &h.version);
            let target_complete = is_complete(&loaded, h.model, &input.model(h.model).version);
            assert!(
                !was_complete || target_complete || is_complete(&loaded, h.model, &h.version),
                "no complete version after {step:?}"
            );
        }
    }
    loaded
}

/// Formats the steps as text, one per line.
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
fn new_version_rolls_out_without_interruption() {
    let mut input = input(
        2,
        hosts_round_robin(2, &[(4, 100.0); 8]),
        vec![model("m", 8, 1.0)],
    );
    input.loaded_ranges = plan(&input).host_ranges(&input);
    input.models[0].version = Arc::from("v2");
    let next = plan(&input);
    let orders = orders(&input, &next);
    assert_eq!(apply_orders(&input, &orders).len(), 8);
    assert_eq!(orders.blocked, []);
    assert_snapshot!(steps_text(&input, &orders));
}

#[test]
fn rollout_is_blocked_when_stages_have_one_replica() {
    let mut input = input(
        2,
        hosts_round_robin(2, &[(4, 100.0); 2]),
        vec![model("m", 8, 1.0)],
    );
    input.loaded_ranges = plan(&input).host_ranges(&input);
    input.models[0].version = Arc::from("v2");
    let orders = orders(&input, &plan(&input));
    assert_eq!(orders.steps, []);
    assert_eq!(orders.blocked.len(), 2);
}

/// Returns twelve hosts that have loaded the only stage of a model, and a new version to serve.
fn rollout_on_twelve_hosts() -> Input {
    let mut input = input(
        2,
        hosts_round_robin(2, &[(16, 100.0); 12]),
        vec![model("m", 16, 1.0)],
    );
    input.loaded_ranges = plan(&input).host_ranges(&input);
    input.models[0].version = Arc::from("v2");
    input
}

/// Returns the number of steps of a wave that drop a range.
fn unload_count(orders: &Orders, wave: u32) -> usize {
    let steps = orders.steps.iter().filter(|s| s.wave == wave);
    let unloads = steps.filter(|s| matches!(s.action, Action::Unload { .. }));
    unloads.count()
}

#[test]
fn rollout_unloads_few_hosts_at_once() {
    let input = rollout_on_twelve_hosts();
    let orders = orders(&input, &plan(&input));
    assert_eq!(apply_orders(&input, &orders).len(), 12);
    let switch = orders.switches[0].wave;
    // A host takes 16 s to load, so the limit of 60 s lets 3 hosts unload in a wave, until half of
    // the replicas remain.
    let before: Vec<usize> = (0..switch).map(|w| unload_count(&orders, w)).collect();
    assert_eq!(before, [3, 0, 3, 0]);
    assert_eq!(unload_count(&orders, switch), 6);
}

#[test]
fn orders_recomputed_after_each_wave_take_the_same_steps() {
    let mut input = rollout_on_twelve_hosts();
    let mut unloads = Vec::new();
    loop {
        let mut next = orders(&input, &plan(&input));
        if next.steps.is_empty() {
            break;
        }
        next.steps.retain(|s| s.wave == 0);
        unloads.push(unload_count(&next, 0));
        input.loaded_ranges = apply_orders(&input, &next);
    }
    assert_eq!(unloads, [3, 0, 3, 0, 6, 0]);
}

#[test]
fn sessions_switch_when_new_version_has_half_of_planned_rate() {
    let mut input = input(
        2,
        hosts_round_robin(2, &[(4, 100.0); 3]),
        vec![model("m", 4, 1.0)],
    );
    input.loaded_ranges = plan(&input).host_ranges(&input);
    input.models[0].version = Arc::from("v2");
    let orders = orders(&input, &plan(&input));
    assert_eq!(apply_orders(&input, &orders).len(), 3);
    let switch = orders.switches[0].wave;
    let loaded = orders.steps.iter().filter(|s| s.wave < switch);
    let loaded = loaded.filter(|s| matches!(s.action, Action::Load { .. }));
    assert_eq!(loaded.count(), 2);
}

#[test]
fn half_of_replicas_in_two_domains_remain_while_stages_are_exchanged() {
    let mut hosts = hosts_round_robin(1, &[(8, 100.0); 12]);
    for (i, h) in hosts.iter_mut().enumerate() {
        h.domain = DomainKey(u16::from(i >= 6));
    }
    let mut input = input(2, hosts, vec![model("m", 16, 1.0)]);
    let next = plan(&input);
    input.loaded_ranges = next.host_ranges(&input);
    for h in &mut input.loaded_ranges {
        let first = 8 - h.layers.first;
        let end = first + 8;
        h.layers = LayerRange { first, end };
    }
    let mut first_wave = orders(&input, &next);
    let all = first_wave.clone();
    first_wave.steps.retain(|s| s.wave == 0);
    let remaining = apply_orders(&input, &first_wave);
    for first in [0, 8] {
        let stage = remaining.iter().filter(|h| h.layers.first == first);
        let mut domains: Vec<u16> = stage.map(|h| input.host(h.host).domain.0).collect();
        domains.dedup();
        assert_eq!(domains, [0, 1]);
    }
    // A host takes 8 s to load: the limit of 60 s would let 7 hosts unload, but half of each stage
    // has to remain, so 6 do.
    assert_eq!(remaining.len(), 6);
    assert_eq!(apply_orders(&input, &all).len(), 12);
}
