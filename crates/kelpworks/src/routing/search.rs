//! Shortest path over the cuts of a model.
//!
//! A node is a cut together with the failure domain in which the stage before it runs, because the
//! cost of a link depends on both ends. Every stage leads to a later cut, so one pass over the cuts
//! in ascending order is enough. The upstream changes only where some layer assignment starts or
//! ends: the cost of a range grows linearly with its number of layers, so other cuts gain nothing.

use rand::Rng;

use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::routing::CachedPrefix;
use crate::routing::Hop;
use crate::routing::PathQuery;
use crate::routing::cost;
use crate::routing::cost::Quote;
use crate::routing::explain::HopReason;
use crate::routing::explain::Reason;
use crate::routing::explain::RunnerUp;
use crate::routing::index::Candidate;
use crate::routing::index::Segment;
use crate::routing::index::VersionIndex;
use kelpworks_wire::LayerRange;

/// Number of candidates drawn for each cut and failure domain. Two are enough to keep the longest
/// queue short, and few enough that daemons with the same lagged reports do not all choose the same
/// upstream. Each failure domain has its own sample because the costs of links between domains may
/// differ by a factor of a hundred.
const SAMPLE_SIZE: usize = 2;

/// Maximum number of draws for each cut and failure domain to find [`SAMPLE_SIZE`] preferred
/// candidates.
const MAX_DRAWS: usize = 6;

/// Maximum number of cuts at which the stage of a sampled candidate may end.
const MAX_STOPS: usize = 4;

/// Layers to find hops for, with the failure domains before and after them.
#[derive(Clone, Copy, Debug)]
pub(super) struct SearchRange {
    /// First layer.
    pub(super) first: u32,
    /// One past the last layer.
    pub(super) end: u32,
    /// Failure domain that the input of the first layer comes from.
    pub(super) from: DomainKey,
    /// Failure domain that the output of the last layer goes to, if known.
    pub(super) to: Option<DomainKey>,
}

/// Hops found for a [`SearchRange`].
#[derive(Debug, Default)]
pub(super) struct PartialPath {
    /// Hops in the order of their layers.
    pub(super) hops: Vec<Hop>,
    /// Reasons of `hops`, in the same order.
    pub(super) reasons: Vec<HopReason>,
    /// Number of candidates evaluated.
    pub(super) candidates: u32,
}

/// The cheapest path to a node found so far, by its last hop.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    cost: f64,
    /// Index of the cut and failure domain of the previous node.
    from: (usize, DomainKey),
    upstream: UpstreamKey,
    demoted: bool,
}

/// A hop that was evaluated, recorded to name the runner-up.
#[derive(Clone, Copy, Debug)]
struct EvaluatedHop {
    cuts: (usize, usize),
    upstream: UpstreamKey,
    cost: f64,
}

/// Set of candidates and cuts that a search considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Breadth {
    /// A sample of the candidates, at the main cuts.
    MainCuts,
    /// A sample of the candidates, at all cuts.
    AllCuts,
    /// All candidates at all cuts, demoted ones included.
    All,
}

/// Inputs of the search for hops.
pub(super) struct Search<'a, R> {
    pub(super) fleet: &'a Fleet,
    pub(super) query: &'a PathQuery<'a>,
    pub(super) cached: &'a [CachedPrefix],
    pub(super) version: &'a VersionIndex,
    pub(super) rng: &'a mut R,
}

impl<R: Rng> Search<'_, R> {
    /// Finds hops for a range. The error is the first layer that no upstream may run.
    pub(super) fn find(&mut self, range: SearchRange) -> Result<PartialPath, u32> {
        // A sample contains preferred candidates only. If it gives no path, layer assignments may
        // start or end between the main cuts, or a stage may have no preferred candidate. Both are
        // rare, and only a broader search finds out.
        self.run(range, Breadth::MainCuts)
            .or_else(|_| self.run(range, Breadth::AllCuts))
            .or_else(|_| self.run(range, Breadth::All))
    }

    fn run(&mut self, range: SearchRange, breadth: Breadth) -> Result<PartialPath, u32> {
        let cuts = cuts(self.version, range, breadth);
        let domains = self.fleet.domains.len();
        let mut nodes: Vec<Option<Arrival>> = vec![None; cuts.len() * domains];
        let mut evaluated = Vec::new();
        let mut drawn = Vec::new();
        let mut count = 0;
        let mut reached = range.first;
        for at in 0..cuts.len() - 1 {
            let row = &nodes[at * domains..(at + 1) * domains];
            if at > 0 && row.iter().all(Option::is_none) {
                continue;
            }
            reached = cuts[at];
            self.draw_candidates(self.version.segment(cuts[at]), breadth, &mut drawn);
            count += drawn.len() as u32;
            for &(candidate, quote) in &drawn {
                let Some((cost_before, from)) =
                    self.cheapest_predecessor(&nodes, at, candidate, range)
                else {
                    continue;
                };
                let domain = self.fleet.upstreams[candidate.upstream].domain;
                for stop in stops(&cuts, at, candidate.end, breadth) {
                    let hop_cost = quote.session_cost_us(cuts[stop] - cuts[at]);
                    let arrival = Arrival {
                        cost: cost_before + hop_cost + self.exit_cost(domain, stop, &cuts, range),
                        from: (at, from),
                        upstream: candidate.upstream,
                        demoted: quote.is_demoted(),
                    };
                    evaluated.push(EvaluatedHop {
                        cuts: (at, stop),
                        upstream: candidate.upstream,
                        cost: arrival.cost,
                    });
                    let node = &mut nodes[stop * domains + usize::from(domain.0)];
                    if node.is_none_or(|n| arrival.cost < n.cost) {
                        *node = Some(arrival);
                    }
                }
            }
        }
        let mut found = trace_back(&nodes, &cuts, domains, &evaluated).ok_or(reached)?;
        found.candidates = count;
        Ok(found)
    }

    /// Returns the lowest cost of a path up to a candidate's first layer, the link to the candidate
    /// included, and the failure domain of the node that it comes from.
    fn cheapest_predecessor(
        &self,
        nodes: &[Option<Arrival>],
        at: usize,
        candidate: Candidate,
        range: SearchRange,
    ) -> Option<(f64, DomainKey)> {
        let to = self.fleet.upstreams[candidate.upstream].domain;
        let entry_cost = |from| cost::link_cost_us(self.fleet.link(from, to), self.query.prefill);
        if at == 0 {
            return Some((entry_cost(range.from), range.from));
        }
        let domains = self.fleet.domains.len();
        let row = &nodes[at * domains..(at + 1) * domains];
        let entries = row.iter().enumerate().filter_map(|(d, node)| {
            let from = DomainKey(d as u16);
            let node = node.as_ref()?;
            Some((node.cost + entry_cost(from), from))
        });
        entries.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    fn exit_cost(&self, domain: DomainKey, stop: usize, cuts: &[u32], range: SearchRange) -> f64 {
        match range.to {
            Some(to) if stop == cuts.len() - 1 => {
                cost::link_cost_us(self.fleet.link(domain, to), self.query.prefill)
            }
            _ => 0.0,
        }
    }

    fn draw_candidates(
        &mut self,
        segment: &Segment,
        breadth: Breadth,
        out: &mut Vec<(Candidate, Quote)>,
    ) {
        out.clear();
        match breadth {
            Breadth::All => {
                for &candidate in segment.all() {
                    if let Some(quote) = self.quote(candidate) {
                        out.push((candidate, quote));
                    }
                }
            }
            Breadth::MainCuts | Breadth::AllCuts => {
                self.draw_sample(segment, out);
                self.draw_cached(segment, out);
            }
        }
    }

    fn draw_sample(&mut self, segment: &Segment, out: &mut Vec<(Candidate, Quote)>) {
        for pool in &segment.pools {
            let full = out.len() + SAMPLE_SIZE.min(pool.candidates.len());
            for _ in 0..MAX_DRAWS {
                if out.len() == full {
                    break;
                }
                let candidate = pool.draw(self.rng);
                if out.iter().any(|(c, _)| *c == candidate) {
                    continue;
                }
                match self.quote(candidate) {
                    Some(quote) if !quote.is_demoted() => out.push((candidate, quote)),
                    _ => {}
                }
            }
        }
    }

    fn draw_cached(&mut self, segment: &Segment, out: &mut Vec<(Candidate, Quote)>) {
        for hint in self.cached {
            if out.iter().any(|(c, _)| c.upstream == hint.upstream) {
                continue;
            }
            let candidate = segment.all().find(|c| c.upstream == hint.upstream);
            let Some(&candidate) = candidate else {
                continue;
            };
            match self.quote(candidate) {
                Some(quote) if !quote.is_demoted() => out.push((candidate, quote)),
                _ => {}
            }
        }
    }

    fn quote(&mut self, candidate: Candidate) -> Option<Quote> {
        cost::quote(self.fleet, self.query, self.cached, candidate, self.rng)
    }
}

/// Returns the cuts within a range, its ends included.
fn cuts(version: &VersionIndex, range: SearchRange, breadth: Breadth) -> Vec<u32> {
    let mut cuts = vec![range.first];
    let within = |cut: &u32| range.first < *cut && *cut < range.end;
    match breadth {
        Breadth::MainCuts => cuts.extend(version.main_cuts.iter().copied().filter(within)),
        Breadth::AllCuts | Breadth::All => {
            cuts.extend(version.segments.iter().map(|s| s.first).filter(within))
        }
    }
    cuts.push(range.end);
    cuts
}

/// Returns the indices of the cuts at which a stage may end that starts at the cut with index `at`
/// and whose candidate has the layers up to `end`, the farthest first.
fn stops(
    cuts: &[u32],
    at: usize,
    end: u32,
    breadth: Breadth,
) -> impl Iterator<Item = usize> + use<> {
    let farthest = cuts.partition_point(|&cut| cut <= end) - 1;
    let stride = match breadth {
        Breadth::All => 1,
        _ => (farthest - at).div_ceil(MAX_STOPS).max(1),
    };
    (at + 1..=farthest).rev().step_by(stride)
}

fn trace_back(
    nodes: &[Option<Arrival>],
    cuts: &[u32],
    domains: usize,
    evaluated: &[EvaluatedHop],
) -> Option<PartialPath> {
    let mut at = cuts.len() - 1;
    let row = &nodes[at * domains..];
    let ends = row.iter().flatten();
    let mut arrival = *ends.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    let mut found = PartialPath::default();
    loop {
        let (start, domain) = arrival.from;
        found.hops.push(Hop {
            upstream: arrival.upstream,
            layers: LayerRange {
                first: cuts[start],
                end: cuts[at],
            },
        });
        found.reasons.push(reason(&arrival, (start, at), evaluated));
        if start == 0 {
            break;
        }
        at = start;
        arrival = nodes[at * domains + usize::from(domain.0)]?;
    }
    found.hops.reverse();
    found.reasons.reverse();
    Some(found)
}

fn reason(arrival: &Arrival, cuts: (usize, usize), evaluated: &[EvaluatedHop]) -> HopReason {
    let others = evaluated
        .iter()
        .filter(|w| w.cuts == cuts && w.upstream != arrival.upstream);
    let runner_up = others.min_by(|a, b| a.cost.total_cmp(&b.cost));
    HopReason {
        upstream: arrival.upstream,
        cost_us: arrival.cost,
        runner_up: runner_up.map(|w| RunnerUp {
            upstream: w.upstream,
            cost_us: w.cost,
        }),
        reason: match (arrival.demoted, runner_up) {
            (true, _) => Reason::LastResort,
            (false, None) => Reason::OnlyCandidate,
            (false, Some(_)) => Reason::Cheapest,
        },
    }
}
