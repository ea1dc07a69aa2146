//! Test fleets with engines of three kinds in failure domains.

#![allow(dead_code, reason = "each test crate uses a part")]

use std::sync::Arc;

use kelpworks_coord::id::Version;
use kelpworks_relay::adapter::LayerRange;
use kelpworks_relay::adapter::Lifecycle;
use kelpworks_relay::adapter::UpstreamEntry;
use kelpworks_relay::config::Accelerator;
use kelpworks_relay::config::EngineProfile;
use kelpworks_relay::fleet::Fleet;
use kelpworks_relay::layout::EngineState;
use kelpworks_relay::layout::plan;
use tokio::time::Instant;

/// Number of layers of the model.
pub(crate) const LAYERS: u16 = 80;

/// A model of 80 layers on three kinds of accelerators.
pub(crate) fn engines() -> EngineProfile {
    let kind = |name: &str, memory_mb, step_factor, read_factor| Accelerator {
        name: Arc::from(name),
        memory_mb,
        step_factor,
        read_factor,
    };
    EngineProfile {
        layers: LAYERS,
        layer_mb: 1_750.0,
        kv_token_bytes: 590_000.0,
        step_ms: 1.0,
        sequence_ms: 0.005,
        context_ms: 0.006,
        read_per_s: 164_000.0,
        load_s: 14.0,
        typical_prompt_tokens: 774.0,
        typical_answer_tokens: 210.0,
        kinds: vec![
            kind("large", 72_000.0, 2.4, 3.2),
            kind("middle", 14_400.0, 5.3, 7.9),
            kind("slow", 21_600.0, 16.0, 8.2),
        ],
    }
}

/// Returns engines without layers: one large, eight middle and four slow ones in each domain.
pub(crate) fn empty_hosts(domains: &[&str]) -> Vec<EngineState> {
    let mut hosts = Vec::new();
    for domain in domains {
        let kinds = [("large", 1), ("middle", 8), ("slow", 4)];
        for (kind, count) in kinds {
            for i in 0..count {
                hosts.push(EngineState {
                    instance: Arc::from(format!("{domain}-{kind}-{i}")),
                    domain: Arc::from(*domain),
                    kind: Arc::from(kind),
                    layers: None,
                    running: 0.0,
                    limited: false,
                });
            }
        }
    }
    hosts
}

/// Returns a fleet of these engines with the layers that the layout plans for them.
pub(crate) fn fleet_with_planned_layers(mut hosts: Vec<EngineState>) -> Fleet {
    for order in plan(&engines(), &hosts) {
        let host = hosts.iter_mut().find(|h| h.instance == order.instance);
        host.expect("a known engine").layers = Some(order.layers);
    }
    let entries = hosts.iter().enumerate().map(|(i, h)| entry(i, h)).collect();
    let mut fleet = Fleet::default();
    fleet.replace(entries, Version::initial(1), Instant::now());
    fleet
}

/// Returns the registration of an engine; `number` determines its address.
pub(crate) fn entry(number: usize, host: &EngineState) -> UpstreamEntry {
    UpstreamEntry {
        instance: Arc::clone(&host.instance),
        id: Arc::clone(&host.instance),
        start: None,
        service: Arc::from("llm"),
        address: format!("10.0.{}.{}:8000", number / 250, number % 250 + 1)
            .parse()
            .expect("an address"),
        domain: Arc::clone(&host.domain),
        lifecycle: Lifecycle::Ready,
        slots: 192,
        layers: host.layers,
        kind: Some(Arc::clone(&host.kind)),
    }
}

pub(crate) fn range(from: u16, to: u16) -> LayerRange {
    LayerRange { from, to }
}
