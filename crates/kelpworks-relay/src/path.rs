//! The path of a request through engines that pass activations on themselves.
//!
//! A path covers every layer once and in order. Each part may be a piece of what its engine holds,
//! so overlapping holdings give many paths. The search is a shortest path over the layer boundaries
//! at which holdings begin or end; its cost is the time that a token takes, with what the engines
//! already run. On 38 engines a search looks at a few thousand edges.

pub(crate) mod cost;
pub(crate) mod graph;

use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::RngExt;
use tokio::time::Instant;

use crate::adapter::Hop;
use crate::adapter::LayerRange;
use crate::config::EngineProfile;
use crate::fleet::Fleet;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use cost::Cost;
use graph::Candidate;
use graph::Graph;

pub(crate) use graph::MAX_HOPS;

/// Added for an engine that failed lately, in milliseconds: more than any detour costs.
const EJECTED_PENALTY_MS: f64 = 200.0;
/// Added for an engine that fails all its attempts though it lives, in milliseconds a token; one that
/// fails some gets that part of it. A failed attempt costs a prompt read in vain and a repeat.
pub(crate) const FAILURE_PENALTY_MS: f64 = 20.0;
/// Costs are drawn within this part above and below, so that daemons with the same view spread.
const JITTER: f64 = 0.15;
/// How strongly promised memory raises the cost: an engine with all its room promised costs so many
/// times more, on top, than an empty one. More drives streams over the pipes between failure domains
/// before it is needed.
const FULL_MEMORY_PENALTY: f64 = 1.0;

/// What a path is sought for.
#[derive(Clone, Debug)]
pub struct PathQuery<'a> {
    /// Service of the engines.
    pub service: &'a str,
    /// Tokens of prompt and answer that are expected.
    pub tokens: f64,
    /// Failure domain that the path is entered from: that of the daemon, or of the part before.
    pub domain: &'a str,
    /// Layers that the path covers; a part of the model where it replaces parts of another path.
    pub layers: LayerRange,
    /// Engines that must not be on it.
    pub avoid: &'a [UpstreamKey],
    /// Engines of which one must come first; any may when there are none.
    pub first: &'a [UpstreamKey],
    /// Now.
    pub now: Instant,
}

impl PathQuery<'_> {
    /// Whether a request is to be sent along the path. Later layers are those of a running request, which no
    /// engine takes as a new one.
    pub(crate) fn begins(&self) -> bool {
        self.layers.from == 0
    }
}

/// A path.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Engines and what each runs, in order.
    pub parts: Vec<(UpstreamKey, LayerRange)>,
    /// The same as engines are told; empty for an engine that holds the whole model.
    pub hops: Vec<Hop>,
    /// Address of the first engine.
    pub address: SocketAddr,
    /// Id of the first engine, which checks it.
    pub id: Arc<str>,
    /// Failure domains that it changes.
    pub crossings: u32,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPath {
    /// No engine that may be used holds this layer.
    Uncovered(u16),
    /// Engines hold this layer, but their memory for requests is promised to others.
    Full(u16),
    /// Every engine that holds the first layer gets as many requests as its limit allows.
    Limited,
    /// Every path that was found passes an engine twice or too many engines.
    OnlyInvalidPaths,
}

impl NoPath {
    /// The layer that is in the way.
    pub fn layer(self) -> Option<u16> {
        match self {
            NoPath::Uncovered(layer) | NoPath::Full(layer) => Some(layer),
            NoPath::Limited => Some(0),
            NoPath::OnlyInvalidPaths => None,
        }
    }

    /// The word for the log and the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            NoPath::Uncovered(_) => "a layer is held by no engine",
            NoPath::Full(_) => "the memory of the engines is promised",
            NoPath::Limited => "the limits of the first engines are used up",
            NoPath::OnlyInvalidPaths => "no path without detours",
        }
    }
}

/// What becomes of engines that failed lately. They are tried only for layers that no other engine
/// holds: where others are merely full, room comes sooner than an engine that is gone comes back, and
/// a try costs a repeat.
#[derive(Clone, Copy, PartialEq)]
enum EjectedPolicy {
    /// They are left out.
    Exclude,
    /// They may be used, but any detour is cheaper. One that takes no work is not: a caller is better
    /// told at once when to come back.
    Include,
}

impl EjectedPolicy {
    fn admits(self, upstream: &Upstream, now: Instant) -> bool {
        match self {
            EjectedPolicy::Exclude => !upstream.is_ejected(now),
            EjectedPolicy::Include => !upstream.takes_no_work(now),
        }
    }
}

/// Seeks the cheapest path.
///
/// # Errors
///
/// When no engines that may be used hold all layers, or none of them has room.
pub fn search<R: Rng>(
    fleet: &Fleet,
    engines: &EngineProfile,
    query: &PathQuery<'_>,
    rng: &mut R,
) -> Result<Path, NoPath> {
    let mut graph = build_graph(fleet, engines, query, EjectedPolicy::Exclude, rng);
    if let Some(layer) = graph.uncovered(query.first) {
        if layer == query.layers.from && graph.is_limited(query.first) {
            return Err(NoPath::Limited);
        }
        if holds(fleet, query, EjectedPolicy::Exclude, layer) {
            return Err(NoPath::Full(layer));
        }
        graph = build_graph(fleet, engines, query, EjectedPolicy::Include, rng);
    }
    if let Some(layer) = graph.uncovered(query.first) {
        return match holds(fleet, query, EjectedPolicy::Include, layer) {
            true => Err(NoPath::Full(layer)),
            false => Err(NoPath::Uncovered(layer)),
        };
    }
    graph
        .solve(query.domain, query.first)
        .and_then(|parts| Path::new(fleet, parts))
        .ok_or(NoPath::OnlyInvalidPaths)
}

/// The engines that may be used and have room, each at a cost drawn about its own.
fn build_graph<R: Rng>(
    fleet: &Fleet,
    engines: &EngineProfile,
    query: &PathQuery<'_>,
    ejected: EjectedPolicy,
    rng: &mut R,
) -> Graph {
    let mut graph = Graph::new(query.layers);
    for (key, upstream) in fleet.of_service(query.service) {
        if !ejected.admits(upstream, query.now) || query.avoid.contains(&key) {
            continue;
        }
        if let Some(mut candidate) = candidate(key, upstream, engines, query) {
            candidate.layer_ms *= rng.random_range(1.0 - JITTER..1.0 + JITTER);
            graph.add(candidate, &upstream.entry.domain);
        }
    }
    graph
}

/// Whether an engine that is open holds a layer, whatever its load.
fn holds(fleet: &Fleet, query: &PathQuery<'_>, ejected: EjectedPolicy, layer: u16) -> bool {
    let holds = |u: &Upstream| u.layers.is_some_and(|r| r.contains(layer));
    let may = |u: &Upstream| u.is_ready() && ejected.admits(u, query.now);
    let mut engines = fleet.of_service(query.service);
    engines.any(|(key, u)| may(u) && !query.avoid.contains(&key) && holds(u))
}

/// An engine as a candidate; `None` when it may not be used or has no room.
fn candidate(
    key: UpstreamKey,
    upstream: &Upstream,
    engines: &EngineProfile,
    query: &PathQuery<'_>,
) -> Option<Candidate> {
    let cost = Cost::of(upstream, engines, query.now)?;
    let load = upstream.load();
    let max_layers = cost.layers.len().min(query.layers.len());
    if load.reserved + query.tokens * f64::from(max_layers) > cost.capacity {
        return None;
    }
    let penalty_ms = if upstream.is_ejected(query.now) {
        EJECTED_PENALTY_MS
    } else {
        0.0
    };
    Some(Candidate {
        key,
        range: cost.layers,
        domain: 0,
        may_begin: !query.begins() || upstream.limiter.admits(query.now),
        layer_ms: cost.layer_ms(load, query.tokens)
            * memory_cost_factor(load.reserved / cost.capacity),
        entry_ms: penalty_ms + upstream.failure_rate * FAILURE_PENALTY_MS,
    })
}

fn memory_cost_factor(fill: f64) -> f64 {
    1.0 + FULL_MEMORY_PENALTY * fill.powi(2)
}

impl Path {
    /// The path of these parts; `None` when one of their engines is gone.
    pub(crate) fn new(fleet: &Fleet, parts: Vec<(UpstreamKey, LayerRange)>) -> Option<Path> {
        let hops = hops(fleet, &parts)?;
        let first = fleet.get(parts.first()?.0)?;
        let domain = |&(key, _): &(UpstreamKey, LayerRange)| Some(&fleet.get(key)?.entry.domain);
        let domains: Vec<Option<&Arc<str>>> = parts.iter().map(domain).collect();
        let crossings = domains.windows(2).filter(|w| w[0] != w[1]).count() as u32;
        Some(Path {
            id: Arc::clone(&first.entry.id),
            address: first.entry.address,
            parts,
            hops,
            crossings,
        })
    }

    /// Keys of its engines, in order.
    pub fn keys(&self) -> impl Iterator<Item = UpstreamKey> {
        self.parts.iter().map(|&(k, _)| k)
    }
}

/// The parts of a path as engines are told; `None` when one of them is gone.
pub fn hops(fleet: &Fleet, parts: &[(UpstreamKey, LayerRange)]) -> Option<Vec<Hop>> {
    let hop = |&(key, layers): &(UpstreamKey, LayerRange)| {
        let address = fleet.get(key)?.entry.address;
        Some(Hop { address, layers })
    };
    parts.iter().map(hop).collect()
}
