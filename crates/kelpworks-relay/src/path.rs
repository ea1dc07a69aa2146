//! The path of a request through engines that pass activations on themselves.
//!
//! A path covers every layer once and in order. Each part may be a piece of what its engine holds,
//! so overlapping holdings give many paths. The search is a shortest path over the layer boundaries
//! at which holdings begin or end; its cost is the time that a token takes, with what the engines
//! already run. On 38 engines a search looks at a few thousand edges.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::RngExt;
use tokio::time::Instant;

use crate::config::Accelerator;
use crate::config::Engines;
use crate::dialect::Hop;
use crate::dialect::LayerRange;
use crate::fleet::Fleet;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;

/// Time that passing activations on takes a token within a failure domain, in milliseconds: the
/// delay of a link and a share of the next engine's running pass.
const HOP_MS: f64 = 0.4;
/// Added where activations leave a failure domain, in milliseconds. It stands for the delay and for
/// a pipe that all paths between two domains share: a prompt of 760 tokens takes 9 ms of it, in which
/// the tokens of all other paths wait. On days with trouble 2.5 ms instead of 6 cost 0.06 to 0.09 of
/// worth; with 15 one to two hundredths more were earned than with 6, and 40 changed nothing more.
const CROSSING_MS: f64 = 15.0;
/// Added where the first engine is in another failure domain than the daemon, in milliseconds a
/// token. Only the text of the answer crosses then, which costs next to nothing, so that load moves
/// to a whole path elsewhere long before activations cross.
const AWAY_MS: f64 = 3.0;
/// Added for an engine that failed lately, in milliseconds: more than any detour costs.
const DOUBT_MS: f64 = 200.0;
/// Added for an engine that fails all its attempts though it lives, in milliseconds a token; one that
/// fails some gets that part of it. A failed attempt costs a prompt read in vain and a repeat.
const FAILING_MS: f64 = 20.0;
/// Costs are drawn within this part above and below, so that daemons with the same view spread.
const JITTER: f64 = 0.15;
/// Part of an engine's KV room that requests may be promised. All of it: a stream holds what it has
/// written, half of its answer on average, so promises exceed use, and engines rarely refuse. With
/// 0.9 one request in a hundred more was refused on days with trouble; 1.15 gained nothing more.
const ROOM_SHARE: f64 = 1.0;
/// Usual time of a token over a whole path, in milliseconds; measured on calm fleets of today's
/// kinds of accelerators.
const TOKEN_MS: f64 = 6.0;
/// Most of an engine's time that reading prompts is taken to need; beyond it the formula for
/// waiting means nothing.
const MOST_BUSY: f64 = 0.85;
/// Most engines of a path: what engines accept.
pub const MOST_HOPS: usize = 32;
/// How strongly promised memory raises the cost: an engine with all its room promised costs so many
/// times more, on top, than an empty one. More drives streams over the pipes between failure domains
/// before it is needed: with 8 days with trouble lost 0.07 of worth against 3, and with 1 they gained
/// 0.02.
const PRESSURE: f64 = 1.0;

/// What a path is sought for.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
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
    /// Every path that was found passes an engine twice or too many engines.
    Tangled,
}

impl NoPath {
    /// The layer that is in the way.
    pub fn layer(self) -> Option<u16> {
        match self {
            NoPath::Uncovered(layer) | NoPath::Full(layer) => Some(layer),
            NoPath::Tangled => None,
        }
    }

    /// The word for the log and the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            NoPath::Uncovered(_) => "a layer is held by no engine",
            NoPath::Full(_) => "the memory of the engines is promised",
            NoPath::Tangled => "no path without detours",
        }
    }
}

/// What becomes of engines that failed lately. They are tried only for layers that no other engine
/// holds: where others are merely full, room comes sooner than an engine that is gone comes back, and
/// a try costs a repeat.
#[derive(Clone, Copy, PartialEq)]
enum Doubted {
    /// They are left out.
    Out,
    /// They may be used, but any detour is cheaper. One that refuses again and again is not.
    In,
}

impl Doubted {
    fn admits(self, upstream: &Upstream, now: Instant) -> bool {
        match self {
            Doubted::Out => !upstream.is_doubted(now),
            Doubted::In => !(upstream.is_doubted(now) && upstream.is_refusing()),
        }
    }
}

/// An engine that may be used.
struct Candidate {
    key: UpstreamKey,
    range: LayerRange,
    /// Index of its failure domain.
    domain: usize,
    /// Cost of a layer, in milliseconds a token.
    layer_ms: f64,
    /// Cost of using it at all, in milliseconds a token.
    entry_ms: f64,
}

/// How a state was reached.
#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    candidate: usize,
    /// Boundary and domain that it came from.
    from: (usize, usize),
}

/// Seeks the cheapest path.
///
/// # Errors
///
/// When no engines that may be used hold all layers, or none of them has room.
pub fn search<R: Rng>(
    fleet: &Fleet,
    engines: &Engines,
    ask: &Ask<'_>,
    rng: &mut R,
) -> Result<Path, NoPath> {
    let mut graph = Graph::new(fleet, engines, ask, Doubted::Out, rng);
    if let Some(layer) = graph.uncovered(ask) {
        if Graph::holds(fleet, ask, Doubted::Out, layer) {
            return Err(NoPath::Full(layer));
        }
        graph = Graph::new(fleet, engines, ask, Doubted::In, rng);
    }
    if let Some(layer) = graph.uncovered(ask) {
        return match Graph::holds(fleet, ask, Doubted::In, layer) {
            true => Err(NoPath::Full(layer)),
            false => Err(NoPath::Uncovered(layer)),
        };
    }
    for whole in [false, true] {
        graph.whole = whole;
        if let Some(path) = graph.solve(fleet, ask)
            && !path.repeats()
            && path.parts.len() <= MOST_HOPS
        {
            return Ok(path);
        }
    }
    Err(NoPath::Tangled)
}

impl Path {
    /// Whether an engine is on it twice, which engines refuse.
    fn repeats(&self) -> bool {
        let later = |i: usize, key: UpstreamKey| self.parts[i + 1..].iter().any(|&(k, _)| k == key);
        let mut parts = self.parts.iter().enumerate();
        parts.any(|(i, &(key, _))| later(i, key))
    }

    /// Keys of its engines, in order.
    pub fn keys(&self) -> impl Iterator<Item = UpstreamKey> {
        self.parts.iter().map(|&(k, _)| k)
    }
}

struct Graph {
    candidates: Vec<Candidate>,
    /// Layer boundaries at which a holding begins or ends, rising, from the first to the last that
    /// is asked for.
    bounds: Vec<u16>,
    domains: Vec<Arc<str>>,
    /// Whether each engine runs all that is left of its holding, so that none can come twice.
    whole: bool,
}

impl Graph {
    fn new<R: Rng>(
        fleet: &Fleet,
        engines: &Engines,
        ask: &Ask<'_>,
        doubted: Doubted,
        rng: &mut R,
    ) -> Graph {
        let mut domains: Vec<Arc<str>> = Vec::new();
        let mut candidates = Vec::new();
        let mut bounds = vec![ask.layers.from, ask.layers.to];
        for (key, upstream) in fleet.of_service(ask.service) {
            if !doubted.admits(upstream, ask.now) {
                continue;
            }
            let Some(mut candidate) = candidate(key, upstream, engines, ask) else {
                continue;
            };
            candidate.layer_ms *= rng.random_range(1.0 - JITTER..1.0 + JITTER);
            candidate.domain = index_of(&mut domains, &upstream.entry.domain);
            bounds.push(candidate.range.from);
            bounds.push(candidate.range.to);
            candidates.push(candidate);
        }
        bounds.sort_unstable();
        bounds.dedup();
        bounds.retain(|&b| ask.layers.from <= b && b <= ask.layers.to);
        Graph {
            candidates,
            bounds,
            domains,
            whole: false,
        }
    }

    /// Whether an engine that is open holds a layer, whatever its load.
    fn holds(fleet: &Fleet, ask: &Ask<'_>, doubted: Doubted, layer: u16) -> bool {
        let holds = |u: &Upstream| u.layers.is_some_and(|r| r.contains(layer));
        let may = |u: &Upstream| u.is_open() && doubted.admits(u, ask.now);
        let mut engines = fleet.of_service(ask.service);
        engines.any(|(key, u)| may(u) && !ask.avoid.contains(&key) && holds(u))
    }

    /// The first layer that no candidate holds.
    fn uncovered(&self, ask: &Ask<'_>) -> Option<u16> {
        let LayerRange { from, to } = ask.layers;
        let at_start = |c: &Candidate| ask.first.is_empty() || ask.first.contains(&c.key);
        let covered = |layer: u16| {
            let mut candidates = self.candidates.iter();
            candidates.any(|c| c.range.contains(layer) && (layer > from || at_start(c)))
        };
        (from..to).find(|&l| !covered(l))
    }

    fn solve(&self, fleet: &Fleet, ask: &Ask<'_>) -> Option<Path> {
        let home = self.domains.iter().position(|d| &**d == ask.domain);
        let width = self.domains.len();
        let mut best: Vec<Option<Step>> = vec![None; self.bounds.len() * width];
        for b in 0..self.bounds.len() - 1 {
            self.extend(b, home, ask, &mut best);
        }
        let last = self.bounds.len() - 1;
        debug_assert_eq!(self.bounds[last], ask.layers.to);
        let cost = |d: usize| best[last * width + d].map(|s| s.cost);
        let reached = (0..width).filter_map(|d| Some((d, cost(d)?)));
        let (domain, _) = reached.min_by(|a, b| a.1.total_cmp(&b.1))?;
        self.trace(fleet, &best, (last, domain))
    }

    /// Extends all states at a boundary by every candidate that holds the layer there.
    fn extend(&self, b: usize, home: Option<usize>, ask: &Ask<'_>, best: &mut [Option<Step>]) {
        let width = self.domains.len();
        let layer = self.bounds[b];
        for (i, candidate) in self.candidates.iter().enumerate() {
            if !candidate.range.contains(layer) {
                continue;
            }
            let arrival = match b {
                0 if !ask.first.is_empty() && !ask.first.contains(&candidate.key) => None,
                0 => Some((0.0, home.unwrap_or(candidate.domain))),
                _ => self.arrival(b, candidate.domain, best),
            };
            let Some((cost, from)) = arrival else {
                continue;
            };
            let crossing = match (from == candidate.domain, layer) {
                (true, _) => 0.0,
                // Only the answer's text comes from there to the daemon.
                (false, 0) => AWAY_MS,
                (false, _) => CROSSING_MS,
            };
            let cost = cost + crossing + HOP_MS + candidate.entry_ms;
            for (e, &end) in self.bounds.iter().enumerate().skip(b + 1) {
                if end > candidate.range.to {
                    break;
                }
                if self.whole && end != candidate.range.to.min(ask.layers.to) {
                    continue;
                }
                let cost = cost + candidate.layer_ms * f64::from(end - layer);
                let slot = &mut best[e * width + candidate.domain];
                if slot.is_none_or(|s| cost < s.cost) {
                    *slot = Some(Step {
                        cost,
                        candidate: i,
                        from: (b, from),
                    });
                }
            }
        }
    }

    /// The cheapest way to stand at a boundary before going on in a domain.
    fn arrival(&self, b: usize, domain: usize, best: &[Option<Step>]) -> Option<(f64, usize)> {
        let width = self.domains.len();
        let with_crossing = |d: usize| {
            let step = best[b * width + d]?;
            let crossing = if d == domain { 0.0 } else { CROSSING_MS };
            Some((step.cost, step.cost + crossing, d))
        };
        let reached = (0..width).filter_map(with_crossing);
        let (cost, _, d) = reached.min_by(|a, b| a.1.total_cmp(&b.1))?;
        Some((cost, d))
    }

    fn trace(&self, fleet: &Fleet, best: &[Option<Step>], end: (usize, usize)) -> Option<Path> {
        let width = self.domains.len();
        let mut parts = Vec::new();
        let mut domains = Vec::new();
        let mut at = end;
        while at.0 > 0 {
            let step = best[at.0 * width + at.1]?;
            let candidate = &self.candidates[step.candidate];
            let layers = LayerRange {
                from: self.bounds[step.from.0],
                to: self.bounds[at.0],
            };
            parts.push((candidate.key, layers));
            domains.push(candidate.domain);
            at = step.from;
        }
        parts.reverse();
        let hops = hops(fleet, &parts)?;
        let first = fleet.get(parts.first()?.0)?;
        let crossings = domains.windows(2).filter(|w| w[0] != w[1]).count() as u32;
        Some(Path {
            id: Arc::clone(&first.entry.id),
            address: first.entry.address,
            parts,
            hops,
            crossings,
        })
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

/// An engine as a candidate; `None` when it may not be used or has no room.
fn candidate(
    key: UpstreamKey,
    upstream: &Upstream,
    engines: &Engines,
    ask: &Ask<'_>,
) -> Option<Candidate> {
    let range = upstream.layers.filter(|r| !r.is_empty())?;
    let kind = engines.kind(upstream.entry.kind.as_deref()?)?;
    if !upstream.is_open() || ask.avoid.contains(&key) {
        return None;
    }
    let load = upstream.load();
    let held = f64::from(range.len());
    let room = engines.kv_room(kind, range.len()) * ROOM_SHARE;
    let most = held.min(f64::from(ask.layers.len()));
    if load.reserved + ask.tokens * most > room {
        return None;
    }
    let sequences = load.running + 1.0;
    let context = sequences * ask.tokens / 1e3;
    let step = engines.step_ms + engines.sequence_ms * sequences + engines.context_ms * context;
    let pressure = 1.0 + PRESSURE * (load.reserved / room).powi(2);
    let waiting = waiting(engines, kind, held, load.running);
    let doubt = if upstream.is_doubted(ask.now) {
        DOUBT_MS
    } else {
        0.0
    };
    let failing = upstream.failing * FAILING_MS;
    Some(Candidate {
        key,
        range,
        domain: 0,
        layer_ms: kind.step_factor * step * pressure * waiting * upstream.slowness(ask.now)
            / f64::from(engines.layers),
        entry_ms: doubt + failing,
    })
}

/// How much longer steps take because prompts are read between them. An engine with many requests
/// also begins many, and each has its prompt read once.
fn waiting(engines: &Engines, kind: &Accelerator, layers: f64, running: f64) -> f64 {
    let share = layers / f64::from(engines.layers.max(1));
    let reading_ms = engines.usual_prompt / engines.read_per_s * 1e3 * kind.read_factor * share;
    let lasting_ms = (engines.usual_answer * TOKEN_MS).max(1.0);
    let busy = (running * reading_ms / lasting_ms).min(MOST_BUSY);
    (1.0 - busy).powi(-2)
}

fn index_of(domains: &mut Vec<Arc<str>>, domain: &Arc<str>) -> usize {
    if let Some(i) = domains.iter().position(|d| d == domain) {
        return i;
    }
    domains.push(Arc::clone(domain));
    domains.len() - 1
}
