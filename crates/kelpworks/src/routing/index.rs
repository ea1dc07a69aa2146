//! Index of a fleet snapshot for path decisions, built once per snapshot: the upstreams that have
//! each layer of each version of each model, grouped by failure domain.

use std::collections::BTreeMap;

use rand::Rng;
use rand::RngExt;

use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::fleet::Health;
use crate::fleet::LayerAssignment;
use crate::fleet::ModelKey;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;

/// Layer rate assumed for an upstream whose rate is unknown, in layers per second. It is positive,
/// so that the upstream can still be drawn.
const DEFAULT_LAYER_RATE: f64 = 1.0;

/// Maximum number of cuts that a search over a sample considers. Fleets whose replicas split the
/// model at the same layers have fewer. In a fleet that splits it at arbitrary layers, the time of
/// a decision would grow with the number of cuts.
const MAX_MAIN_CUTS: usize = 10;

/// Upstreams that have each layer of each model, for one snapshot of the fleet.
///
/// A cut is a layer at which some layer assignment starts or ends. The index contains live and
/// suspect upstreams only. It must be rebuilt whenever layer assignments or health change;
/// [`Fleet::indexed`] does so.
///
/// ```
/// use kelpworks::fleet::Fleet;
///
/// let fleet = Fleet::default().indexed();
/// assert!(fleet.index.is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// Versions of each model, indexed by [`ModelKey`].
    models: Vec<Vec<VersionIndex>>,
}

/// Upstreams that have the layers of one version of a model.
#[derive(Clone, Debug)]
pub(super) struct VersionIndex {
    /// Number of layers of the model.
    pub(super) layers: u32,
    /// Segments in the order of their layers; together they cover all layers.
    pub(super) segments: Vec<Segment>,
    /// The cuts at which most layer assignments start or end, one for each of at most
    /// [`MAX_MAIN_CUTS`] runs of adjacent segments.
    pub(super) main_cuts: Vec<u32>,
    /// First layer that no upstream has, if any.
    pub(super) first_missing: Option<u32>,
}

/// The layers between two adjacent cuts. Each upstream has all of them or none.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    /// First layer.
    pub(super) first: u32,
    /// Live upstreams that have the layers, by failure domain; no pool is empty.
    pub(super) pools: Vec<Pool>,
    /// Suspect upstreams that have the layers.
    pub(super) suspects: Vec<Candidate>,
}

/// An upstream with one of its layer assignments. It may run layers up to the end of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) upstream: UpstreamKey,
    /// First layer of the assignment.
    pub(super) first: u32,
    /// One past the last layer of the assignment.
    pub(super) end: u32,
}

/// Candidates of one failure domain.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    domain: DomainKey,
    /// Never empty.
    pub(super) candidates: Vec<Candidate>,
    /// Running sums of the layer rates of `candidates`; of the same length, strictly increasing.
    cumulative: Vec<f64>,
}

impl Index {
    /// Builds the index of a snapshot.
    pub fn build(fleet: &Fleet) -> Index {
        let models = (0..fleet.models.len())
            .map(|m| model_versions(fleet, ModelKey(m as u16)))
            .collect();
        Index { models }
    }

    /// Whether the upstreams that may take work have all layers of some version of the model.
    pub fn serves(&self, model: ModelKey) -> bool {
        let versions = self.models.get(usize::from(model.0));
        versions.is_some_and(|v| v.iter().any(|v| v.first_missing.is_none()))
    }

    /// Returns the version to run, with its index: the requested one, or else the first complete
    /// one, or else version 0, the one to serve. A version is complete if no layer is missing.
    /// `None` when there is no such version.
    pub(super) fn version(
        &self,
        model: ModelKey,
        requested: Option<u16>,
    ) -> Option<(u16, &VersionIndex)> {
        let versions = self.models.get(usize::from(model.0))?;
        let complete = || versions.iter().position(|v| v.first_missing.is_none());
        let at = match requested {
            Some(v) => usize::from(v),
            None => complete().unwrap_or(0),
        };
        Some((at as u16, versions.get(at)?))
    }
}

impl VersionIndex {
    /// Returns the segment that contains a layer.
    ///
    /// # Panics
    ///
    /// Panics if there are no segments. `layer` must be a layer of the model.
    pub(super) fn segment(&self, layer: u32) -> &Segment {
        let after = self.segments.partition_point(|s| s.first <= layer);
        &self.segments[after - 1]
    }
}

impl Segment {
    /// Returns all candidates, live ones first.
    pub(super) fn all(&self) -> impl Iterator<Item = &Candidate> {
        let live = self.pools.iter().flat_map(|p| &p.candidates);
        live.chain(&self.suspects)
    }

    fn is_empty(&self) -> bool {
        self.pools.is_empty() && self.suspects.is_empty()
    }

    fn add_candidate(&mut self, upstream: &Upstream, candidate: Candidate) {
        if upstream.health == Health::Suspect {
            self.suspects.push(candidate);
            return;
        }
        let known = self.pools.iter().position(|p| p.domain == upstream.domain);
        let at = known.unwrap_or_else(|| {
            self.pools.push(Pool {
                domain: upstream.domain,
                candidates: Vec::new(),
                cumulative: Vec::new(),
            });
            self.pools.len() - 1
        });
        let pool = &mut self.pools[at];
        let before = pool.cumulative.last().copied().unwrap_or(0.0);
        let rate = if upstream.layer_rate > 0.0 {
            upstream.layer_rate
        } else {
            DEFAULT_LAYER_RATE
        };
        pool.candidates.push(candidate);
        pool.cumulative.push(before + rate);
    }
}

impl Pool {
    /// Draws a candidate with a probability proportional to its layer rate, so that faster
    /// upstreams, which can take more work, are evaluated more often.
    pub(super) fn draw<R: Rng>(&self, rng: &mut R) -> Candidate {
        let total = self.cumulative[self.cumulative.len() - 1];
        let point = rng.random_range(0.0..total);
        let at = self.cumulative.partition_point(|&c| c <= point);
        self.candidates[at.min(self.candidates.len() - 1)]
    }
}

fn model_versions(fleet: &Fleet, model: ModelKey) -> Vec<VersionIndex> {
    let versions = fleet.models[usize::from(model.0)].versions.len();
    (0..versions)
        .map(|v| version_index(fleet, model, v as u16))
        .collect()
}

fn version_index(fleet: &Fleet, model: ModelKey, version: u16) -> VersionIndex {
    let layers = fleet.models[usize::from(model.0)].layers;
    let mut assignments = Vec::new();
    for (key, upstream) in upstreams_accepting_work(fleet, model) {
        for assignment in &upstream.layer_assignments {
            if is_assigned(assignment, model, version, layers) {
                assignments.push((key, upstream, assignment));
            }
        }
    }
    let mut cuts = BTreeMap::from([(0, 0)]);
    for (_, _, assignment) in &assignments {
        for cut in [assignment.layers.first, assignment.layers.end] {
            if cut < layers {
                *cuts.entry(cut).or_default() += 1;
            }
        }
    }
    let main_cuts = main_cuts(&cuts);
    let mut segments: Vec<Segment> = cuts.into_keys().map(Segment::empty_at).collect();
    for (key, upstream, assignment) in assignments {
        let candidate = Candidate {
            upstream: key,
            first: assignment.layers.first,
            end: assignment.layers.end,
        };
        for segment in segments.iter_mut().filter(|s| candidate.covers(s.first)) {
            segment.add_candidate(upstream, candidate);
        }
    }
    let first_missing = segments.iter().find(|s| s.is_empty()).map(|s| s.first);
    VersionIndex {
        layers,
        segments,
        main_cuts,
        first_missing,
    }
}

/// Divides the cuts, given with their frequencies, into at most [`MAX_MAIN_CUTS`] runs of adjacent
/// ones and returns the most frequent cut of each run. If there are no more cuts than that, it
/// returns them all.
fn main_cuts(cuts: &BTreeMap<u32, u32>) -> Vec<u32> {
    let all: Vec<(u32, u32)> = cuts.iter().map(|(&cut, &count)| (cut, count)).collect();
    all.chunks(all.len().div_ceil(MAX_MAIN_CUTS))
        .filter_map(|run| run.iter().max_by_key(|(_, count)| count))
        .map(|&(cut, _)| cut)
        .collect()
}

impl Segment {
    fn empty_at(first: u32) -> Segment {
        Segment {
            first,
            pools: Vec::new(),
            suspects: Vec::new(),
        }
    }
}

impl Candidate {
    /// Whether the assignment includes a layer.
    pub(super) fn covers(&self, layer: u32) -> bool {
        self.first <= layer && layer < self.end
    }
}

fn upstreams_accepting_work(
    fleet: &Fleet,
    model: ModelKey,
) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
    let keys = fleet.by_model.get(usize::from(model.0));
    keys.into_iter()
        .flatten()
        .filter_map(|&key| Some((key, fleet.upstreams.get(key)?)))
        .filter(|(_, u)| matches!(u.health, Health::Live | Health::Suspect))
}

fn is_assigned(assignment: &LayerAssignment, model: ModelKey, version: u16, layers: u32) -> bool {
    let in_bounds =
        assignment.layers.first < assignment.layers.end && assignment.layers.end <= layers;
    assignment.model == model && assignment.version == version && in_bounds
}
