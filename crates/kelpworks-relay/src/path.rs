//! Search for the path of a request through engines that pass activations on to each other.
//!
//! A path covers every layer once and in order. Each part may cover only some of the layers that
//! its engine holds, so overlapping layer ranges give many paths. The search is a shortest path
//! over the layer boundaries at which these ranges begin or end; its cost is the time that a token
//! takes, given what the engines already run. On 38 engines a search visits a few thousand edges.

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
use crate::constraints::MessageKind;
use crate::fleet::Fleet;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use cost::Cost;
use graph::Candidate;
use graph::Graph;

pub(crate) use graph::MAX_HOPS;

/// Cost added for an ejected engine, in milliseconds: more than any detour costs.
const EJECTED_PENALTY_MS: f64 = 200.0;
/// Cost added for an engine that is alive and fails all its attempts, in milliseconds per token;
/// scaled by the failure rate. A failed attempt costs a prompt read in vain and a retry.
pub(crate) const FAILURE_PENALTY_MS: f64 = 20.0;
/// Relative jitter of costs, above and below, so that daemons with the same view choose different
/// paths.
const JITTER: f64 = 0.15;
/// Relative extra cost of an engine whose capacity is fully reserved. A larger value sends streams
/// over the links between failure domains before that is needed.
const FULL_MEMORY_PENALTY: f64 = 1.0;

/// How much of the KV cache of engines a request may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomPolicy {
    /// Fraction of an engine's capacity up to which it may be reserved, the request included; 0 to 1.
    pub fill_limit: f64,
    /// Number of standard deviations of the number of requests at an engine that a traffic plan leaves free.
    pub spare_deviations: f64,
}

impl RoomPolicy {
    /// All of the capacity may be used and planned for.
    pub const UNLIMITED: RoomPolicy = RoomPolicy {
        fill_limit: 1.0,
        spare_deviations: 0.0,
    };
}

/// The parameters of a path search.
#[derive(Clone, Debug)]
pub struct PathQuery<'a> {
    /// Service whose engines are used.
    pub service: &'a str,
    /// Expected tokens of prompt and answer.
    pub tokens: f64,
    /// Failure domain from which the path is entered: that of the daemon, or of the preceding
    /// part.
    pub domain: &'a str,
    /// Layers to cover; only a part of the model where it replaces parts of another path.
    pub layers: LayerRange,
    /// Engines that must not be on the path.
    pub avoid: &'a [UpstreamKey],
    /// Engines of which one must come first; if empty, any may.
    pub first: &'a [UpstreamKey],
    /// How much of each engine's capacity may be used.
    pub room: RoomPolicy,
    /// Time at which ejections, limits and slowness are evaluated.
    pub now: Instant,
}

impl PathQuery<'_> {
    /// Returns whether a request is sent along the path. A path that begins at a later layer
    /// belongs to a running request, which no engine counts as a new one.
    pub(crate) fn begins(&self) -> bool {
        self.layers.from == 0
    }
}

/// A path through the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Engines and the layers that each runs, in order.
    pub parts: Vec<(UpstreamKey, LayerRange)>,
    /// The parts in the form sent to engines; empty for an engine that holds the whole model.
    pub hops: Vec<Hop>,
    /// Address of the first engine.
    pub address: SocketAddr,
    /// Id of the first engine, which verifies it.
    pub id: Arc<str>,
    /// Number of times that the path changes its failure domain.
    pub crossings: u32,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPath {
    /// No usable engine holds this layer.
    Uncovered(u16),
    /// Engines hold this layer, but their KV cache is reserved for other requests.
    Full(u16),
    /// Engines hold this layer, but those that could run it requested a backoff.
    Withheld(u16),
    /// Every engine that holds the first layer gets as many requests as its limit allows.
    Limited,
    /// Other requests that wait for room try first.
    Queued,
    /// Every path that was found passes an engine twice or too many engines.
    OnlyInvalidPaths,
}

impl NoPath {
    /// Returns the layer that can't be run; `None` where no single layer is at fault.
    pub fn layer(self) -> Option<u16> {
        match self {
            NoPath::Uncovered(layer) | NoPath::Full(layer) | NoPath::Withheld(layer) => Some(layer),
            NoPath::Limited => Some(0),
            NoPath::Queued | NoPath::OnlyInvalidPaths => None,
        }
    }

    /// Returns the reason for the log and the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            NoPath::Uncovered(_) => "a layer is held by no engine",
            NoPath::Full(_) => "the memory of the engines is promised",
            NoPath::Withheld(_) => "the engines of a layer requested a backoff",
            NoPath::Limited => "the limits of the first engines are used up",
            NoPath::Queued => "others wait for room",
            NoPath::OnlyInvalidPaths => "no path without detours",
        }
    }
}

/// How a search treats ejected engines. They are tried only for layers that no other engine holds:
/// where others are merely full, capacity is freed sooner than a failed engine recovers, and an
/// attempt costs a retry.
#[derive(Clone, Copy, PartialEq)]
enum EjectedPolicy {
    /// Ejected engines are excluded.
    Exclude,
    /// Ejected engines are usable, but any detour is cheaper. Those that take no work stay
    /// excluded: it is better to tell the caller at once when to retry.
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

/// Searches for the cheapest path.
///
/// # Errors
///
/// Returns an error if the usable engines don't hold all layers, or lack the capacity, or no path
/// begins at an engine whose limit admits a request.
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
        if holds(fleet, query, EjectedPolicy::Include, layer) {
            return Err(NoPath::Full(layer));
        }
        return match is_withheld(fleet, query, layer) {
            true => Err(NoPath::Withheld(layer)),
            false => Err(NoPath::Uncovered(layer)),
        };
    }
    graph
        .solve(query.domain, query.first)
        .and_then(|parts| Path::new(fleet, parts))
        .ok_or(NoPath::OnlyInvalidPaths)
}

/// Builds the graph of the usable engines with enough capacity, with jitter on each cost.
fn build_graph<R: Rng>(
    fleet: &Fleet,
    engines: &EngineProfile,
    query: &PathQuery<'_>,
    ejected: EjectedPolicy,
    rng: &mut R,
) -> Graph {
    let mut graph = Graph::new(query.layers);
    for (key, upstream) in fleet.of_service(query.service) {
        let is_usable = ejected.admits(upstream, query.now)
            && upstream.allows(MessageKind::LaterHop, query.now);
        if !is_usable || query.avoid.contains(&key) {
            continue;
        }
        if let Some(mut candidate) = candidate(key, upstream, engines, query) {
            candidate.layer_ms *= rng.random_range(1.0 - JITTER..1.0 + JITTER);
            graph.add(candidate, &upstream.entry.domain);
        }
    }
    graph
}

/// Returns whether an engine that accepts requests and is not excluded holds a layer, whatever its
/// load.
fn holds(fleet: &Fleet, query: &PathQuery<'_>, ejected: EjectedPolicy, layer: u16) -> bool {
    let holds = |u: &Upstream| u.layers.is_some_and(|r| r.contains(layer));
    let may =
        |u: &Upstream| u.allows(MessageKind::LaterHop, query.now) && ejected.admits(u, query.now);
    let mut engines = fleet.of_service(query.service);
    engines.any(|(key, u)| may(u) && !query.avoid.contains(&key) && holds(u))
}

/// Returns whether an engine that holds a layer would be usable but for a backoff.
fn is_withheld(fleet: &Fleet, query: &PathQuery<'_>, layer: u16) -> bool {
    let holds = |u: &Upstream| u.layers.is_some_and(|r| r.contains(layer));
    let is_backing_off = |u: &Upstream| !u.constraints.backoff(query.now).is_zero();
    let mut engines = fleet.of_service(query.service);
    engines.any(|(key, u)| {
        u.is_ready() && !query.avoid.contains(&key) && holds(u) && is_backing_off(u)
    })
}

/// Returns an engine as a candidate; `None` if it can't be used or lacks capacity.
fn candidate(
    key: UpstreamKey,
    upstream: &Upstream,
    engines: &EngineProfile,
    query: &PathQuery<'_>,
) -> Option<Candidate> {
    let cost = Cost::of(upstream, engines, query.now)?;
    let load = upstream.load();
    let max_layers = cost.layers.len().min(query.layers.len());
    let limit = cost.capacity * query.room.fill_limit;
    if load.reserved + query.tokens * f64::from(max_layers) > limit {
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
        may_begin: !query.begins() || upstream.allows(MessageKind::Request, query.now),
        layer_ms: cost.layer_ms(load, query.tokens)
            * memory_cost_factor(load.reserved / cost.capacity),
        entry_ms: penalty_ms + upstream.failure_rate * FAILURE_PENALTY_MS,
    })
}

fn memory_cost_factor(fill: f64) -> f64 {
    1.0 + FULL_MEMORY_PENALTY * fill.powi(2)
}

impl Path {
    /// Creates the path of `parts`; `None` if one of their engines has been removed.
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

    /// Returns the keys of its engines, in order.
    pub fn keys(&self) -> impl Iterator<Item = UpstreamKey> {
        self.parts.iter().map(|&(k, _)| k)
    }
}

/// Converts parts of a path to the form sent to engines; `None` if one of their engines has been
/// removed.
pub fn hops(fleet: &Fleet, parts: &[(UpstreamKey, LayerRange)]) -> Option<Vec<Hop>> {
    let hop = |&(key, layers): &(UpstreamKey, LayerRange)| {
        let address = fleet.get(key)?.entry.address;
        Some(Hop { address, layers })
    };
    parts.iter().map(hop).collect()
}
