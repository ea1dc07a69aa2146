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
const COPIES: f64 = 3.0;
/// Weight of a layer that no engine of the fleet holds, against one that only the domain lacks.
const NOWHERE: f64 = 1e6;
/// Weight of a layer that no engine of the domain holds, against one more copy.
const NOT_IN_DOMAIN: f64 = 1e3;

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
pub fn capacity_requests_for(engines: &EngineProfile, hosts: &[EngineState], domain: &str) -> f64 {
    let there = hosts.iter().filter(|h| *h.domain == *domain);
    let kinds: Vec<&Accelerator> = there.filter_map(|h| engines.kind(&h.kind)).collect();
    let needed = COPIES * f64::from(engines.layers);
    let mut room = MAX_CAPACITY_REQUESTS;
    while room > MIN_CAPACITY_REQUESTS {
        let held: u32 = kinds
            .iter()
            .map(|k| u32::from(layers_for(engines, k, room)))
            .sum();
        if f64::from(held) >= needed {
            return room;
        }
        room -= CAPACITY_STEP_REQUESTS;
    }
    MIN_CAPACITY_REQUESTS
}

/// Layers that an engine of a kind is given: as many as leave room for so many usual requests, at
/// least one if it fits.
pub fn layers_for(engines: &EngineProfile, kind: &Accelerator, requests: f64) -> u16 {
    let request = engines.typical_prompt_tokens + engines.typical_answer_tokens;
    let leaves_room = |layers: &u16| {
        let room = engines.kv_capacity(kind, *layers) / f64::from(*layers);
        room >= requests * request
    };
    let most = engines.max_layers(kind);
    let fitting = (1..=most).rev().find(leaves_room);
    fitting.unwrap_or(most.min(1))
}

/// The orders that are missing for a good placement; empty when what stands is to stay.
pub fn plan(engines: &EngineProfile, hosts: &[EngineState]) -> Vec<Placement> {
    let mut cover = Cover::new(engines, hosts);
    let mut empty: Vec<&EngineState> = hosts.iter().filter(|h| h.layers.is_none()).collect();
    empty.sort_by(|a, b| by_speed(engines, a, b));
    let mut orders = Vec::new();
    for host in empty {
        let Some(kind) = engines.kind(&host.kind) else {
            continue;
        };
        let room = capacity_requests_for(engines, hosts, &host.domain);
        let len = layers_for(engines, kind, room);
        if len == 0 {
            continue;
        }
        let layers = cover.window(&host.domain, len);
        cover.add(&host.domain, layers);
        orders.push(Placement {
            instance: Arc::clone(&host.instance),
            layers,
            moves: false,
        });
    }
    if orders.is_empty() {
        orders.extend(cover.rescue(engines, hosts));
    }
    orders
}

/// Those first that add least to the time of a token, so that they make up the path of their domain.
fn by_speed(engines: &EngineProfile, a: &EngineState, b: &EngineState) -> Ordering {
    let time = |h: &EngineState| {
        let kind = engines.kind(&h.kind);
        kind.map_or(f64::MAX, |k| layer_ms(engines, k))
    };
    let by_time = time(a).total_cmp(&time(b));
    by_time.then_with(|| a.instance.cmp(&b.instance))
}

/// Time that a token takes at each layer of an engine of a kind, with that layer's part of the hop there,
/// in milliseconds: an engine that holds few layers makes a path of many hops.
fn layer_ms(engines: &EngineProfile, kind: &Accelerator) -> f64 {
    let step = kind.step_factor * engines.step_ms / f64::from(engines.layers.max(1));
    let held = layers_for(engines, kind, MIN_CAPACITY_REQUESTS).max(1);
    step + HOP_MS / f64::from(held)
}

/// How often each layer is held, by failure domain.
struct Cover {
    layers: u16,
    domains: Vec<Domain>,
}

/// Holdings of a failure domain.
struct Domain {
    name: Arc<str>,
    /// Engines that hold each layer.
    counts: Vec<u32>,
    /// Layers of the largest engine that holds each layer: what is lost with it.
    largest: Vec<u16>,
}

impl Cover {
    fn new(engines: &EngineProfile, hosts: &[EngineState]) -> Cover {
        let mut cover = Cover {
            layers: engines.layers,
            domains: Vec::new(),
        };
        for host in hosts {
            let none = LayerRange { from: 0, to: 0 };
            let mut held = host.layers.unwrap_or(none);
            if host.limited {
                // What later engines of a path get is no request.
                held.from = held.from.max(1);
            }
            cover.add(&host.domain, held);
        }
        cover
    }

    fn add(&mut self, domain: &Arc<str>, range: LayerRange) {
        let domain = self.domain_mut(domain);
        for layer in usize::from(range.from)..usize::from(range.to).min(domain.counts.len()) {
            domain.counts[layer] += 1;
            domain.largest[layer] = domain.largest[layer].max(range.len());
        }
    }

    fn domain_mut(&mut self, name: &Arc<str>) -> &mut Domain {
        if let Some(i) = self.domains.iter().position(|d| d.name == *name) {
            return &mut self.domains[i];
        }
        let layers = usize::from(self.layers);
        self.domains.push(Domain {
            name: Arc::clone(name),
            counts: vec![0; layers],
            largest: vec![0; layers],
        });
        let last = self.domains.len() - 1;
        &mut self.domains[last]
    }

    fn held_anywhere(&self, layer: usize) -> u32 {
        self.domains.iter().map(|d| d.counts[layer]).sum()
    }

    /// What one more copy of a layer in a domain is worth: most where it has none, then where a
    /// single large engine holds it.
    fn need(&self, domain: &Domain, layer: usize) -> f64 {
        let copies = self.held_anywhere(layer);
        let nowhere = if copies == 0 { NOWHERE } else { 0.0 };
        let in_domain = match domain.counts[layer] {
            0 => NOT_IN_DOMAIN,
            n => f64::from(domain.largest[layer]) / f64::from(n.pow(3)),
        };
        nowhere + in_domain + 0.1 / (1.0 + f64::from(copies))
    }

    /// The range of so many layers that is needed most in a domain; the first of equals.
    fn window(&mut self, domain: &Arc<str>, len: u16) -> LayerRange {
        self.domain_mut(domain);
        let domain = self.domains.iter().find(|d| d.name == *domain);
        let layers = 0..usize::from(self.layers);
        let need = |l| domain.map_or(0.0, |d| self.need(d, l));
        let needs: Vec<f64> = layers.map(need).collect();
        let len = len.min(self.layers);
        let worth = |from: u16| -> f64 {
            let range = usize::from(from)..usize::from(from + len);
            needs[range].iter().sum()
        };
        let mut best = (0, f64::MIN);
        for from in 0..=self.layers - len {
            let here = worth(from);
            if here > best.1 + 1e-9 {
                best = (from, here);
            }
        }
        LayerRange {
            from: best.0,
            to: best.0 + len,
        }
    }

    /// Moves one engine to layers that its domain lacks, if its domain holds its own elsewhere.
    fn rescue(&mut self, engines: &EngineProfile, hosts: &[EngineState]) -> Option<Placement> {
        let lacks = |d: &&Domain| d.counts.contains(&0);
        let spare = |host: &&EngineState| {
            let Some(range) = host.layers else {
                return false;
            };
            let domain = self
                .domains
                .iter()
                .filter(lacks)
                .find(|d| d.name == host.domain);
            let mut held = usize::from(range.from)..usize::from(range.to);
            domain.is_some_and(|d| held.all(|l| d.counts[l] > 1))
        };
        let spared = hosts.iter().filter(|h| !h.limited).filter(spare);
        let host = spared.min_by(|a, b| a.running.total_cmp(&b.running))?;
        let kind = engines.kind(&host.kind)?;
        let room = capacity_requests_for(engines, hosts, &host.domain);
        let layers = self.window(&host.domain, layers_for(engines, kind, room));
        Some(Placement {
            instance: Arc::clone(&host.instance),
            layers,
            moves: true,
        })
    }
}
