//! Which layers each engine is to hold.
//!
//! Three things compete for an engine's memory: layers (more copies, so that the loss of an engine
//! leaves a path), room for requests, and time (a slow accelerator with many layers slows every
//! path over it). Room decides most: an engine without it refuses, or cuts streams off. So each
//! engine gets as many layers as leave capacity for a fixed number of usual requests. Layers are placed
//! so that each failure domain covers the model by its fastest engines first, and with few hops; the
//! remaining engines back up the layers with the fewest copies.
//!
//! What stands is kept: only engines that hold nothing are given layers. But where a failure domain
//! lacks a layer, so that its paths would have to leave it, an engine moves whose own layers its
//! domain holds elsewhere. An engine that limits the requests it takes does not count for the first
//! layer, where requests arrive.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::adapter::LayerRange;
use crate::config::Accelerator;
use crate::config::EngineProfile;
use crate::path::graph::HOP_MS;

/// Usual requests that an engine must have memory for beside its layers, so that a burst that doubles
/// the traffic of a failure domain fits.
const MIN_CAPACITY_REQUESTS: f64 = 85.0;
/// Most usual requests that memory is kept for in place of further copies of layers: beyond it an engine
/// runs so many at once that each takes noticeably longer.
const MAX_CAPACITY_REQUESTS: f64 = 130.0;
/// Step between the two.
const CAPACITY_STEP_REQUESTS: f64 = 5.0;
/// Copies of each layer that a failure domain keeps before its engines are given more room than the
/// least: the loss of an engine then takes a third of the room for its layers.
const TARGET_COPIES: f64 = 3.0;
/// Weight of a layer that no engine of the fleet holds, against one that only the domain lacks.
const MISSING_IN_FLEET_WEIGHT: f64 = 1e6;
/// Weight of a layer that no engine of the domain holds, against one more copy.
const MISSING_IN_DOMAIN_WEIGHT: f64 = 1e3;

/// An engine to place layers on.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Its incarnation.
    pub instance: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Kind of accelerator.
    pub kind: Arc<str>,
    /// What it holds or has been ordered to hold.
    pub layers: Option<LayerRange>,
    /// Requests that pass it.
    pub running: f64,
    /// Whether it announced a limit on requests, so that most paths have to begin elsewhere.
    pub limited: bool,
}

/// An engine and the layers that it should hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Its incarnation.
    pub instance: Arc<str>,
    /// What it should hold.
    pub layers: LayerRange,
    /// Whether it gives up others for them.
    pub moves: bool,
}

/// Usual requests that each engine of a failure domain leaves room for: as many as its engines can
/// without holding layers less often than three times.
pub fn capacity_requests_for(
    profile: &EngineProfile,
    engines: &[EngineState],
    domain: &str,
) -> f64 {
    let in_domain = engines.iter().filter(|h| *h.domain == *domain);
    let kinds: Vec<&Accelerator> = in_domain.filter_map(|h| profile.kind(&h.kind)).collect();
    let needed = TARGET_COPIES * f64::from(profile.layers);
    let mut capacity_requests = MAX_CAPACITY_REQUESTS;
    while capacity_requests > MIN_CAPACITY_REQUESTS {
        let held: u32 = kinds
            .iter()
            .map(|k| u32::from(layers_for(profile, k, capacity_requests)))
            .sum();
        if f64::from(held) >= needed {
            return capacity_requests;
        }
        capacity_requests -= CAPACITY_STEP_REQUESTS;
    }
    MIN_CAPACITY_REQUESTS
}

/// Layers that an engine of a kind is given: as many as leave room for so many usual requests, at
/// least one if it fits.
pub fn layers_for(profile: &EngineProfile, kind: &Accelerator, requests: f64) -> u16 {
    let request = profile.typical_prompt_tokens + profile.typical_answer_tokens;
    let leaves_capacity = |layers: &u16| {
        let capacity = profile.kv_capacity(kind, *layers) / f64::from(*layers);
        capacity >= requests * request
    };
    let max_layers = profile.max_layers(kind);
    let fitting = (1..=max_layers).rev().find(leaves_capacity);
    fitting.unwrap_or(max_layers.min(1))
}

/// The orders that are missing for a good placement; empty when what stands is to stay.
pub fn plan(profile: &EngineProfile, engines: &[EngineState]) -> Vec<Placement> {
    let mut coverage = Coverage::new(profile, engines);
    let mut empty: Vec<&EngineState> = engines.iter().filter(|h| h.layers.is_none()).collect();
    empty.sort_by(|a, b| by_speed(profile, a, b));
    let mut orders = Vec::new();
    for engine in empty {
        let Some(kind) = profile.kind(&engine.kind) else {
            continue;
        };
        let capacity_requests = capacity_requests_for(profile, engines, &engine.domain);
        let len = layers_for(profile, kind, capacity_requests);
        if len == 0 {
            continue;
        }
        let layers = coverage.best_range(&engine.domain, len);
        coverage.add(&engine.domain, layers);
        orders.push(Placement {
            instance: Arc::clone(&engine.instance),
            layers,
            moves: false,
        });
    }
    if orders.is_empty() {
        orders.extend(coverage.move_spare_engine(profile, engines));
    }
    orders
}

/// Those first that add least to the time of a token, so that they make up the path of their domain.
fn by_speed(profile: &EngineProfile, a: &EngineState, b: &EngineState) -> Ordering {
    let time = |h: &EngineState| {
        let kind = profile.kind(&h.kind);
        kind.map_or(f64::MAX, |k| layer_ms(profile, k))
    };
    let by_time = time(a).total_cmp(&time(b));
    by_time.then_with(|| a.instance.cmp(&b.instance))
}

/// Time that a token takes at each layer of an engine of a kind, with that layer's part of the hop there,
/// in milliseconds: an engine that holds few layers makes a path of many hops.
fn layer_ms(profile: &EngineProfile, kind: &Accelerator) -> f64 {
    let step = kind.step_factor * profile.step_ms / f64::from(profile.layers.max(1));
    let held = layers_for(profile, kind, MIN_CAPACITY_REQUESTS).max(1);
    step + HOP_MS / f64::from(held)
}

/// How often each layer is held, by failure domain.
struct Coverage {
    layers: u16,
    domains: Vec<DomainCoverage>,
}

/// Holdings of a failure domain.
struct DomainCoverage {
    name: Arc<str>,
    /// Engines that hold each layer.
    counts: Vec<u32>,
    /// Layers of the largest engine that holds each layer: what is lost with it.
    largest: Vec<u16>,
}

impl Coverage {
    fn new(profile: &EngineProfile, engines: &[EngineState]) -> Coverage {
        let mut coverage = Coverage {
            layers: profile.layers,
            domains: Vec::new(),
        };
        for engine in engines {
            let none = LayerRange { from: 0, to: 0 };
            let mut held = engine.layers.unwrap_or(none);
            if engine.limited {
                // What later engines of a path get is no request.
                held.from = held.from.max(1);
            }
            coverage.add(&engine.domain, held);
        }
        coverage
    }

    fn add(&mut self, domain: &Arc<str>, range: LayerRange) {
        let domain = self.domain_mut(domain);
        for layer in usize::from(range.from)..usize::from(range.to).min(domain.counts.len()) {
            domain.counts[layer] += 1;
            domain.largest[layer] = domain.largest[layer].max(range.len());
        }
    }

    fn domain_mut(&mut self, name: &Arc<str>) -> &mut DomainCoverage {
        if let Some(i) = self.domains.iter().position(|d| d.name == *name) {
            return &mut self.domains[i];
        }
        let layers = usize::from(self.layers);
        self.domains.push(DomainCoverage {
            name: Arc::clone(name),
            counts: vec![0; layers],
            largest: vec![0; layers],
        });
        let last = self.domains.len() - 1;
        &mut self.domains[last]
    }

    fn copies_in_fleet(&self, layer: usize) -> u32 {
        self.domains.iter().map(|d| d.counts[layer]).sum()
    }

    /// What one more copy of a layer in a domain is worth: most where it has none, then where a
    /// single large engine holds it.
    fn copy_value(&self, domain: &DomainCoverage, layer: usize) -> f64 {
        let copies = self.copies_in_fleet(layer);
        let fleet_value = if copies == 0 {
            MISSING_IN_FLEET_WEIGHT
        } else {
            0.0
        };
        let domain_value = match domain.counts[layer] {
            0 => MISSING_IN_DOMAIN_WEIGHT,
            n => f64::from(domain.largest[layer]) / f64::from(n.pow(3)),
        };
        fleet_value + domain_value + 0.1 / (1.0 + f64::from(copies))
    }

    /// The range of so many layers that is needed most in a domain; the first of equals.
    fn best_range(&mut self, domain: &Arc<str>, len: u16) -> LayerRange {
        self.domain_mut(domain);
        let domain = self.domains.iter().find(|d| d.name == *domain);
        let layers = 0..usize::from(self.layers);
        let value_of = |l| domain.map_or(0.0, |d| self.copy_value(d, l));
        let values: Vec<f64> = layers.map(value_of).collect();
        let len = len.min(self.layers);
        let range_value = |from: u16| -> f64 {
            let range = usize::from(from)..usize::from(from + len);
            values[range].iter().sum()
        };
        let mut best = (0, f64::MIN);
        for from in 0..=self.layers - len {
            let value = range_value(from);
            if value > best.1 + 1e-9 {
                best = (from, value);
            }
        }
        LayerRange {
            from: best.0,
            to: best.0 + len,
        }
    }

    /// Moves one engine to layers that its domain lacks, if its domain holds its own elsewhere.
    fn move_spare_engine(
        &mut self,
        profile: &EngineProfile,
        engines: &[EngineState],
    ) -> Option<Placement> {
        let lacks_layer = |d: &&DomainCoverage| d.counts.contains(&0);
        let is_spare = |engine: &&EngineState| {
            let Some(range) = engine.layers else {
                return false;
            };
            let domain = self
                .domains
                .iter()
                .filter(lacks_layer)
                .find(|d| d.name == engine.domain);
            let mut held = usize::from(range.from)..usize::from(range.to);
            domain.is_some_and(|d| held.all(|l| d.counts[l] > 1))
        };
        let spare_engines = engines.iter().filter(|h| !h.limited).filter(is_spare);
        let engine = spare_engines.min_by(|a, b| a.running.total_cmp(&b.running))?;
        let kind = profile.kind(&engine.kind)?;
        let capacity_requests = capacity_requests_for(profile, engines, &engine.domain);
        let layers = self.best_range(&engine.domain, layers_for(profile, kind, capacity_requests));
        Some(Placement {
            instance: Arc::clone(&engine.instance),
            layers,
            moves: true,
        })
    }
}
