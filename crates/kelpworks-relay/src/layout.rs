//! Plans which layers each engine loads.
//!
//! Three demands compete at an engine: layers (more copies, so that a path remains after the loss
//! of an engine), KV cache for requests, and time (a slow accelerator with many layers slows every
//! path through it). KV cache matters most: an engine that lacks it refuses requests, or aborts
//! streams. So each engine gets as many layers as leave capacity for a fixed number of typical
//! requests. Layers are placed so that each failure domain covers the model with its fastest
//! engines first, and with few hops; the remaining engines hold further copies of the layers with
//! the fewest.
//!
//! Existing assignments are kept: only engines that hold no layers are given some. The exception
//! is a failure domain that lacks a layer, so that its paths would have to leave it: an engine
//! moves whose own layers are also held by others of its domain. An engine that limits the
//! requests it accepts does not count for the first layer, where requests arrive.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use crate::adapter::LayerRange;
use crate::config::Accelerator;
use crate::config::EngineProfile;
use crate::path::graph::HOP_MS;

/// Minimum number of typical requests for which an engine has KV cache beside its layers, so that
/// a burst that doubles the traffic of a failure domain fits.
const MIN_CAPACITY_REQUESTS: f64 = 85.0;
/// Maximum number of typical requests for which KV cache is kept in place of further copies of
/// layers: with more, an engine runs so many at once that each takes noticeably longer.
const MAX_CAPACITY_REQUESTS: f64 = 130.0;
/// Step of the search between the minimum and the maximum.
const CAPACITY_STEP_REQUESTS: f64 = 5.0;
/// Copies of each layer that a failure domain keeps before its engines leave more than the minimum
/// capacity: the loss of an engine then takes a third of the capacity for its layers.
const TARGET_COPIES: f64 = 3.0;
/// Value of a layer that no engine of the fleet holds, far above one that only the domain lacks.
const MISSING_IN_FLEET_WEIGHT: f64 = 1e6;
/// Value of a layer that no engine of the domain holds, far above one more copy.
const MISSING_IN_DOMAIN_WEIGHT: f64 = 1e3;

/// An engine to place layers on.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Its incarnation.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Kind of its accelerator.
    pub kind: Arc<str>,
    /// Layers that it holds or has been ordered to load.
    pub layers: Option<LayerRange>,
    /// Running requests whose paths include it.
    pub running: f64,
    /// Whether it announced a limit on requests, so that most paths have to begin elsewhere.
    pub limited: bool,
}

/// A planned order: an engine and the layers that it should hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Incarnation of the engine.
    pub instance: Arc<str>,
    /// The layers to load.
    pub layers: LayerRange,
    /// Whether they replace layers that it holds now.
    pub moves: bool,
}

/// Returns the number of typical requests for which each engine of a failure domain leaves
/// capacity: the highest with which its engines together still hold three copies of the model, at
/// least the minimum.
pub fn capacity_requests_for(
    profile: &EngineProfile,
    engines: &[EngineState],
    domain: &str,
) -> f64 {
    let mut kinds: Vec<(&Accelerator, u32)> = Vec::new();
    let in_domain = engines.iter().filter(|h| *h.domain == *domain);
    for kind in in_domain.filter_map(|h| profile.kind(&h.kind)) {
        match kinds.iter_mut().find(|(k, _)| std::ptr::eq(*k, kind)) {
            Some((_, count)) => *count += 1,
            None => kinds.push((kind, 1)),
        }
    }
    let needed = TARGET_COPIES * f64::from(profile.layers);
    let mut capacity_requests = MAX_CAPACITY_REQUESTS;
    while capacity_requests > MIN_CAPACITY_REQUESTS {
        let held: u32 = kinds
            .iter()
            .map(|&(k, count)| count * u32::from(layers_for(profile, k, capacity_requests)))
            .sum();
        if f64::from(held) >= needed {
            return capacity_requests;
        }
        capacity_requests -= CAPACITY_STEP_REQUESTS;
    }
    MIN_CAPACITY_REQUESTS
}

/// Returns the number of layers that an engine of a kind is given: as many as leave capacity for
/// `requests` typical requests, at least one if it fits.
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

/// Returns the orders that are missing for a good placement; empty if the existing one is to stay.
pub fn plan(profile: &EngineProfile, engines: &[EngineState]) -> Vec<Placement> {
    let mut coverage = Coverage::new(profile, engines);
    let mut empty: Vec<(&EngineState, f64)> = engines
        .iter()
        .filter(|h| h.layers.is_none())
        .map(|h| (h, token_ms(profile, h)))
        .collect();
    empty.sort_by(by_speed);
    let mut capacity_requests: HashMap<&str, f64> = HashMap::new();
    let mut orders = Vec::new();
    for (engine, _) in empty {
        let Some(kind) = profile.kind(&engine.kind) else {
            continue;
        };
        let domain = &*engine.domain;
        let capacity_requests = *capacity_requests
            .entry(domain)
            .or_insert_with(|| capacity_requests_for(profile, engines, domain));
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

/// Orders engines by the time that they add to a token, fastest first, so that the fastest make up
/// the path of their domain.
fn by_speed(a: &(&EngineState, f64), b: &(&EngineState, f64)) -> Ordering {
    let by_time = a.1.total_cmp(&b.1);
    by_time.then_with(|| a.0.instance.cmp(&b.0.instance))
}

/// Returns the time that an engine adds to a token for each of its layers.
fn token_ms(profile: &EngineProfile, engine: &EngineState) -> f64 {
    let kind = profile.kind(&engine.kind);
    kind.map_or(f64::MAX, |k| layer_ms(profile, k))
}

/// Returns the time in milliseconds that a token takes at each layer of an engine of a kind, with
/// that layer's share of the hop to the engine: an engine that holds few layers makes a path of
/// many hops.
fn layer_ms(profile: &EngineProfile, kind: &Accelerator) -> f64 {
    let step = kind.step_factor * profile.step_ms / f64::from(profile.layers.max(1));
    let held = layers_for(profile, kind, MIN_CAPACITY_REQUESTS).max(1);
    step + HOP_MS / f64::from(held)
}

/// How many engines hold each layer, by failure domain.
struct Coverage {
    layers: u16,
    domains: Vec<DomainCoverage>,
}

/// How many engines of one failure domain hold each layer.
struct DomainCoverage {
    name: Arc<str>,
    /// Number of engines that hold each layer.
    counts: Vec<u32>,
    /// Number of layers of the largest engine that holds each layer: what is lost with it.
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
                // Later engines of a path receive no requests, so a limit concerns only layer 0.
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

    /// Returns the value of one more copy of a layer in a domain: highest where the domain has
    /// none, then where a single large engine holds it.
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

    /// Returns the range of `len` layers with the highest total value in a domain; the first of
    /// equals.
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

    /// Moves one engine to layers that its domain lacks, if other engines of the domain hold all
    /// of its own.
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
