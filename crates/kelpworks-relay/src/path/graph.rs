//! Shortest paths over layer boundaries.
//!
//! A node is a boundary at which an engine's layer range begins or ends, together with the failure
//! domain of the engine that ran the layers before it. Each engine that holds the next layer has
//! edges to every later boundary within its range.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;

use crate::adapter::LayerRange;
use crate::fleet::UpstreamKey;

/// Time per token to pass activations on within a failure domain, in milliseconds: the latency of
/// a link and a part of the pass that the next engine is running.
pub(crate) const HOP_MS: f64 = 1.0;
/// Cost added where activations leave a failure domain, in milliseconds. It covers the latency and
/// the use of a link that all paths between two domains share: a prompt occupies it for some 9 ms,
/// during which the tokens of all other paths wait.
const CROSSING_MS: f64 = 15.0;
/// Cost added where the first engine is in another failure domain than the daemon, in milliseconds
/// per token. Only the text of the answer crosses then, which costs next to nothing, so load moves
/// to a whole path elsewhere long before activations cross.
const REMOTE_ENTRY_MS: f64 = 3.0;
/// Maximum number of engines on a path that engines accept.
pub(crate) const MAX_HOPS: usize = 32;

/// An engine that may be used.
pub(crate) struct Candidate {
    pub(crate) key: UpstreamKey,
    pub(crate) range: LayerRange,
    /// Index of its failure domain; set by [`Graph::add`].
    pub(crate) domain: usize,
    /// Whether a path may begin there.
    pub(crate) may_begin: bool,
    /// Cost of a layer, in milliseconds per token; infinite while the engine can't be used.
    pub(crate) layer_ms: f64,
    /// Fixed cost of using the engine, in milliseconds per token.
    pub(crate) entry_ms: f64,
}

impl Candidate {
    /// Cost of its whole range, in milliseconds per token.
    fn whole_cost(&self) -> f64 {
        self.entry_ms + self.layer_ms * f64::from(self.range.len())
    }
}

/// The last edge of the cheapest path to a node.
#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    candidate: usize,
    /// Boundary and domain of the node before.
    from: (usize, usize),
}

/// A part of a path: an engine and the layers that it runs.
type PathPart = (UpstreamKey, LayerRange);

/// Candidates that differ only in their costs: they hold the same layers in the same failure domain.
/// A search considers only the cheapest of them, so that its time depends on the number of groups
/// and not on the number of engines.
struct Group {
    /// Indices of the candidates.
    members: Vec<usize>,
    /// Index of the cheapest candidate.
    cheapest: usize,
}

/// What the candidates of a group have in common: failure domain, layers, and whether a path may
/// begin there.
type GroupKey = (usize, LayerRange, bool);

/// Engines and the layers that they are to run.
pub(crate) struct Graph {
    candidates: Vec<Candidate>,
    groups: Vec<Group>,
    group_by_key: HashMap<GroupKey, usize>,
    layers: LayerRange,
    /// Boundaries at which an engine's range begins or ends, ascending, from the first to the last
    /// of the requested layers.
    boundaries: Vec<u16>,
    domains: Vec<Arc<str>>,
}

/// Where a path may begin, and whether engines may run parts of their ranges.
struct PathStart<'a> {
    /// Failure domain from which the path is entered; `None` if no candidate is there.
    entry_domain: Option<usize>,
    /// Engines of which one must come first; if empty, any may.
    first: &'a [UpstreamKey],
    /// Whether each engine runs all remaining layers of its range, so that none can occur twice.
    whole_ranges: bool,
}

impl PathStart<'_> {
    fn admits(&self, candidate: &Candidate) -> bool {
        candidate.may_begin && (self.first.is_empty() || self.first.contains(&candidate.key))
    }
}

impl Graph {
    /// Creates a graph without engines.
    pub(crate) fn new(layers: LayerRange) -> Graph {
        Graph {
            candidates: Vec::new(),
            groups: Vec::new(),
            group_by_key: HashMap::new(),
            layers,
            boundaries: vec![layers.from, layers.to],
            domains: Vec::new(),
        }
    }

    /// Adds an engine in a failure domain.
    pub(crate) fn add(&mut self, mut candidate: Candidate, domain: &Arc<str>) {
        candidate.domain = self.domain(domain);
        for boundary in [candidate.range.from, candidate.range.to] {
            let is_inside = self.layers.from <= boundary && boundary <= self.layers.to;
            if let Err(at) = self.boundaries.binary_search(&boundary)
                && is_inside
            {
                self.boundaries.insert(at, boundary);
            }
        }
        self.add_to_group(&candidate);
        self.candidates.push(candidate);
    }

    /// Adds the candidate that is pushed next to its group.
    fn add_to_group(&mut self, candidate: &Candidate) {
        let index = self.candidates.len();
        let key = (candidate.domain, candidate.range, candidate.may_begin);
        match self.group_by_key.get(&key) {
            Some(&at) => {
                let group = &mut self.groups[at];
                group.members.push(index);
                if candidate.whole_cost() < self.candidates[group.cheapest].whole_cost() {
                    group.cheapest = index;
                }
            }
            None => {
                self.group_by_key.insert(key, self.groups.len());
                self.groups.push(Group {
                    members: vec![index],
                    cheapest: index,
                });
            }
        }
    }

    /// Changes the cost of a layer of a candidate, in milliseconds per token.
    pub(crate) fn set_layer_ms(&mut self, index: usize, layer_ms: f64) {
        let candidate = &mut self.candidates[index];
        candidate.layer_ms = layer_ms;
        let key = (candidate.domain, candidate.range, candidate.may_begin);
        let Some(&at) = self.group_by_key.get(&key) else {
            return;
        };
        let group = &mut self.groups[at];
        let cost = |&&i: &&usize| self.candidates[i].whole_cost();
        let cheapest = group
            .members
            .iter()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        group.cheapest = cheapest.copied().unwrap_or(group.cheapest);
    }

    fn domain(&mut self, domain: &Arc<str>) -> usize {
        if let Some(i) = self.domains.iter().position(|d| d == domain) {
            return i;
        }
        self.domains.push(Arc::clone(domain));
        self.domains.len() - 1
    }

    /// Returns the first layer that no candidate holds. The first of all layers needs a candidate
    /// that may begin a path and is one of `first`, unless that is empty.
    pub(crate) fn uncovered(&self, first: &[UpstreamKey]) -> Option<u16> {
        let LayerRange { from, to } = self.layers;
        let at_start = |c: &Candidate| c.may_begin && (first.is_empty() || first.contains(&c.key));
        let covered = |layer: u16| {
            let mut candidates = self.candidates.iter();
            candidates.any(|c| c.range.contains(layer) && (layer > from || at_start(c)))
        };
        (from..to).find(|&l| !covered(l))
    }

    /// Returns whether engines hold the first layer and no path may begin at any of them.
    pub(crate) fn is_limited(&self, first: &[UpstreamKey]) -> bool {
        let holds = |c: &&Candidate| {
            let may_be_first = first.is_empty() || first.contains(&c.key);
            may_be_first && c.range.contains(self.layers.from)
        };
        let mut holders = self.candidates.iter().filter(holds).peekable();
        holders.peek().is_some() && holders.all(|c| !c.may_begin)
    }

    /// Returns the cheapest path for a request that enters from a failure domain. If that path is
    /// invalid, searches again with whole ranges.
    pub(crate) fn solve(&self, domain: &str, first: &[UpstreamKey]) -> Option<Vec<PathPart>> {
        let entry_domain = self.domains.iter().position(|d| &**d == domain);
        let paths = [false, true].into_iter().filter_map(|whole_ranges| {
            self.cheapest(&PathStart {
                entry_domain,
                first,
                whole_ranges,
            })
        });
        let may = |parts: &Vec<PathPart>| !has_repeated_engine(parts) && parts.len() <= MAX_HOPS;
        paths.into_iter().find(may)
    }

    fn cheapest(&self, start: &PathStart<'_>) -> Option<Vec<PathPart>> {
        let width = self.domains.len();
        let mut best: Vec<Option<Step>> = vec![None; self.boundaries.len() * width];
        for b in 0..self.boundaries.len() - 1 {
            self.extend(b, start, &mut best);
        }
        let last = self.boundaries.len() - 1;
        let cost = |d: usize| best[last * width + d].map(|s| s.cost);
        let reached = (0..width).filter_map(|d| Some((d, cost(d)?)));
        let (domain, _) = reached.min_by(|a, b| a.1.total_cmp(&b.1))?;
        self.trace_back(&best, (last, domain))
    }

    /// Extends all paths to a boundary by every candidate that holds the layer there.
    fn extend(&self, b: usize, start: &PathStart<'_>, best: &mut [Option<Step>]) {
        let width = self.domains.len();
        let layer = self.boundaries[b];
        let cheapest = self.groups.iter().map(|g| g.cheapest);
        // Of a group, another engine than the cheapest may be one of those that must come first.
        let required = self.candidates.iter().enumerate();
        let required = required.filter(|(_, c)| b == 0 && start.first.contains(&c.key));
        for i in cheapest.chain(required.map(|(i, _)| i)) {
            let candidate = &self.candidates[i];
            if !candidate.range.contains(layer) || candidate.layer_ms.is_infinite() {
                continue;
            }
            let arrival = match b {
                0 if !start.admits(candidate) => None,
                0 => Some((0.0, start.entry_domain.unwrap_or(candidate.domain))),
                _ => self.arrival(b, candidate.domain, best),
            };
            let Some((cost, from)) = arrival else {
                continue;
            };
            let crossing = match (from == candidate.domain, layer) {
                (true, _) => 0.0,
                // Only the text of the answer crosses to the daemon.
                (false, 0) => REMOTE_ENTRY_MS,
                (false, _) => CROSSING_MS,
            };
            let cost = cost + crossing + HOP_MS + candidate.entry_ms;
            for (e, &end) in self.boundaries.iter().enumerate().skip(b + 1) {
                if end > candidate.range.to {
                    break;
                }
                if start.whole_ranges && end != candidate.range.to.min(self.layers.to) {
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

    /// Returns the cost and the domain of the cheapest node at a boundary from which to continue
    /// in `domain`. A crossing counts in the comparison but not in the returned cost.
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

    /// Follows the steps from a node back to the start of the path.
    fn trace_back(&self, best: &[Option<Step>], end: (usize, usize)) -> Option<Vec<PathPart>> {
        let width = self.domains.len();
        let mut parts = Vec::new();
        let mut at = end;
        while at.0 > 0 {
            let step = best[at.0 * width + at.1]?;
            let layers = LayerRange {
                from: self.boundaries[step.from.0],
                to: self.boundaries[at.0],
            };
            parts.push((self.candidates[step.candidate].key, layers));
            at = step.from;
        }
        parts.reverse();
        Some(parts)
    }
}

/// Returns whether an engine occurs twice, which engines refuse.
fn has_repeated_engine(parts: &[PathPart]) -> bool {
    let later = |i: usize, key: UpstreamKey| parts[i + 1..].iter().any(|&(k, _)| k == key);
    parts.iter().enumerate().any(|(i, &(key, _))| later(i, key))
}
