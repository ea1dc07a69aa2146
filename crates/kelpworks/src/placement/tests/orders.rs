//! Tests of the orders that lead to a plan.

use super::*;

/// Applies orders step by step; after each, memory is kept and no version that was whole stops
/// being so before the one to serve is. Returns the holdings at the end.
pub(super) fn follow(input: &Input, orders: &Orders) -> Vec<HostRange> {
    let mut held = input.loaded_ranges.clone();
    held.retain(|h| input.host(h.host).live);
    let whole = |held: &[HostRange], model: ModelKey, version: &str| {
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
        let bytes = |h: &HostRange| u64::from(h.layers.end - h.layers.first) * LAYER;
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
    input.loaded_ranges = plan(&input).host_ranges(&input);
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
    input.loaded_ranges = plan(&input).host_ranges(&input);
    input.models[0].version = Arc::from("v2");
    let orders = orders(&input, &plan(&input));
    assert_eq!(orders.steps, []);
    assert_eq!(orders.blocked.len(), 2);
}

/// Twelve hosts that hold the one stage of a model, and a new version of it to load.
fn twelve_hosts_to_roll() -> Input {
    let mut input = input(2, dealt(2, &[(16, 100.0); 12]), vec![model("m", 16, 1.0)]);
    input.loaded_ranges = plan(&input).host_ranges(&input);
    input.models[0].version = Arc::from("v2");
    input
}

/// Number of steps of a wave that drop a range.
fn dropped(orders: &Orders, wave: u32) -> usize {
    let steps = orders.steps.iter().filter(|s| s.wave == wave);
    let drops = steps.filter(|s| matches!(s.action, Action::Unload { .. }));
    drops.count()
}

#[test]
fn a_roll_empties_few_hosts_at_once() {
    let input = twelve_hosts_to_roll();
    let orders = orders(&input, &plan(&input));
    assert_eq!(follow(&input, &orders).len(), 12);
    let switch = orders.switches[0].wave;
    // A host takes 16 s to load, so that 3 are emptied within 60 s, and half stay.
    let before: Vec<usize> = (0..switch).map(|w| dropped(&orders, w)).collect();
    assert_eq!(before, [3, 0, 3, 0]);
    assert_eq!(dropped(&orders, switch), 6);
}

#[test]
fn orders_asked_anew_after_each_wave_lead_the_same_way() {
    let mut input = twelve_hosts_to_roll();
    let mut drops = Vec::new();
    loop {
        let mut next = orders(&input, &plan(&input));
        if next.steps.is_empty() {
            break;
        }
        next.steps.retain(|s| s.wave == 0);
        drops.push(dropped(&next, 0));
        input.loaded_ranges = follow(&input, &next);
    }
    assert_eq!(drops, [3, 0, 3, 0, 6, 0]);
}

#[test]
fn new_sessions_switch_once_the_new_version_has_half_of_the_rate() {
    let mut input = input(2, dealt(2, &[(4, 100.0); 3]), vec![model("m", 4, 1.0)]);
    input.loaded_ranges = plan(&input).host_ranges(&input);
    input.models[0].version = Arc::from("v2");
    let orders = orders(&input, &plan(&input));
    assert_eq!(follow(&input, &orders).len(), 3);
    let switch = orders.switches[0].wave;
    let loaded = orders.steps.iter().filter(|s| s.wave < switch);
    let loaded = loaded.filter(|s| matches!(s.action, Action::Load { .. }));
    assert_eq!(loaded.count(), 2);
}

#[test]
fn half_of_the_replicas_and_two_domains_stay_while_stages_change_places() {
    let mut hosts = dealt(1, &[(8, 100.0); 12]);
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
    let left = follow(&input, &first_wave);
    for first in [0, 8] {
        let stage = left.iter().filter(|h| h.layers.first == first);
        let mut domains: Vec<u16> = stage.map(|h| input.host(h.host).domain.0).collect();
        domains.dedup();
        assert_eq!(domains, [0, 1]);
    }
    // A host takes 8 s to load: the 60 s would do for 7, the half of each stage for 6.
    assert_eq!(left.len(), 6);
    assert_eq!(follow(&input, &all).len(), 12);
}
