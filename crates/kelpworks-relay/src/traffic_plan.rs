//! How the requests of a whole fleet spread over its engines.
//!
//! Daemons that each choose the cheapest path for each request choose the same one: what they know of
//! each other's load is half a second old, so that the fastest engines get everything for a moment,
//! then nothing, and refuse for want of memory while others idle.
//!
//! So a daemon plans for all of them: it places the load of the fleet in small parts, each on the path
//! that is cheapest beside the parts before it, and then draws a path at random for each request.
//! Daemons with the same view make the same plan and draw independently, so engines fill in the planned
//! proportion whether or not load is told in time. Only the whole load of each failure domain has to be
//! known, which changes slowly and is told with small errors.
//!
//! This is the incremental assignment of traffic planning: with many parts it comes close to the
//! equilibrium in which no request would be faster by another path.
//!
//! Limits: engines that failed or filled up since the plan was made are passed over by whoever draws;
//! see [`TrafficPlan::draw`].

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::config::EngineProfile;
use crate::fleet::Fleet;
use crate::fleet::Load;
use crate::fleet::UpstreamKey;
use crate::path::PathQuery;
use crate::path::cost::Cost;
use crate::path::graph::Candidate;
use crate::path::graph::Graph;

/// Parts into which the load of each failure domain is cut: some ten requests a part where three hundred
/// run in a domain. Each is a search.
const PARTS: u32 = 24;
/// Age from which a plan is made anew: digests of a larger fleet come as often.
const FRESH: Duration = Duration::from_millis(500);
/// A plan is used for so many times the time that it took, whatever changes: its making is to take a
/// small part of a host, also where thousands of engines register one by one.
const MIN_USE: u32 = 10;
/// Longest such time.
const MAX_USE: Duration = Duration::from_secs(10);
/// Part of the fleet's room that is planned for at least. While load is light, or not known yet after a
/// start, this spreads requests over more engines than they need.
const MIN_FILL: f64 = 0.3;
/// Most of an engine's room that may be planned, so that the cost of a full one stays finite.
const MAX_FILL: f64 = 0.97;
/// Draws before a request is given a path of its own.
const DRAWS: usize = 4;

/// Load by the daemons of a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The domain.
    pub domain: Arc<str>,
    /// Token-layers that their requests may come to hold, over all engines.
    pub token_layers: f64,
}

/// A part of the load and its path.
type Parts = Vec<(UpstreamKey, LayerRange)>;

/// A plan for the requests that enter in one failure domain.
#[derive(Clone, Debug)]
pub struct TrafficPlan {
    paths: Vec<Parts>,
    made: Instant,
    /// Time that making it took.
    took: Duration,
    /// Version of the registrations that it was made for.
    version: Version,
    /// Part of the load, of all domains, for which there was room.
    placed: f64,
}

/// An engine while a plan is made.
struct Planned<'a> {
    cost: Cost<'a>,
    load: Load,
    /// Cost of using it at all, in milliseconds a token.
    entry_ms: f64,
}

impl Planned<'_> {
    fn fill(&self) -> f64 {
        self.load.reserved / self.cost.room.max(1.0)
    }

    /// Cost of a layer; it rises without bound as the engine fills up.
    fn layer_ms(&self, tokens: f64) -> f64 {
        let fill = self.fill();
        if fill >= MAX_FILL {
            return f64::INFINITY;
        }
        self.cost.layer_ms(self.load, tokens) / (1.0 - fill)
    }
}

impl TrafficPlan {
    /// Plans for the requests of a service that enter in the asking domain, beside those of the others.
    pub fn plan(
        fleet: &Fleet,
        engines: &EngineProfile,
        ask: &PathQuery<'_>,
        demand: &[Demand],
    ) -> TrafficPlan {
        let mut graph = Graph::new(ask.layers);
        let mut planned = Vec::new();
        for (key, upstream) in fleet.of_service(ask.service) {
            if upstream.is_ejected(ask.now) {
                continue;
            }
            let Some(cost) = Cost::of(upstream, engines, ask.now) else {
                continue;
            };
            let engine = Planned {
                cost,
                load: Load::default(),
                entry_ms: upstream.failure_rate * crate::path::FAILING_MS,
            };
            let candidate = Candidate {
                key,
                range: cost.layers,
                domain: 0,
                may_begin: upstream.limiter.rate().is_none(),
                layer_ms: engine.layer_ms(ask.tokens),
                entry_ms: engine.entry_ms,
            };
            graph.add(candidate, &upstream.entry.domain);
            planned.push(engine);
        }
        let mut spread = TrafficPlan {
            paths: Vec::new(),
            made: ask.now,
            took: Duration::ZERO,
            version: fleet.version(),
            placed: 0.0,
        };
        let room: f64 = planned.iter().map(|p| p.cost.room).sum();
        spread.assign(&mut graph, &mut planned, ask, &at_least(demand, ask, room));
        spread
    }

    /// Places the load part by part, a part of each domain in turn.
    fn assign(
        &mut self,
        graph: &mut Graph,
        planned: &mut [Planned<'_>],
        ask: &PathQuery<'_>,
        demand: &[Demand],
    ) {
        let layers = f64::from(ask.layers.len().max(1));
        let mut placed = 0;
        for _ in 0..PARTS {
            for Demand {
                domain,
                token_layers,
            } in demand
            {
                let Some(parts) = graph.solve(domain, &[]) else {
                    continue;
                };
                placed += 1;
                let tokens = token_layers / layers / f64::from(PARTS);
                for &(key, range) in &parts {
                    let at = graph.candidates.iter().position(|c| c.key == key);
                    let Some(at) = at else {
                        continue;
                    };
                    let engine = &mut planned[at];
                    engine.load.reserved += tokens * f64::from(range.len());
                    engine.load.running += tokens / ask.tokens.max(1.0);
                    graph.candidates[at].layer_ms = engine.layer_ms(ask.tokens);
                }
                if **domain == *ask.domain {
                    self.paths.push(parts);
                }
            }
        }
        let all = PARTS as usize * demand.len();
        self.placed = f64::from(placed) / (all.max(1) as f64);
    }

    /// Notes the time that making it took.
    pub fn set_planning_time(&mut self, took: Duration) {
        self.took = took;
    }

    /// Whether it is still to be used: it fits the fleet, or it was costly to make. Whoever draws passes
    /// engines over that have changed since.
    pub fn is_fresh(&self, fleet: &Fleet, now: Instant) -> bool {
        let age = now.duration_since(self.made);
        let fits = self.version == fleet.version() && age < FRESH;
        fits || age < (self.took * MIN_USE).min(MAX_USE)
    }

    /// Part of the fleet's load for which there was room.
    pub fn placed_fraction(&self) -> f64 {
        self.placed
    }

    /// Draws a path whose engines all may be used now and have room for a request; `None` when none is
    /// found in a few draws.
    pub fn draw<R: Rng>(
        &self,
        fleet: &Fleet,
        engines: &EngineProfile,
        ask: &PathQuery<'_>,
        rng: &mut R,
    ) -> Option<&Parts> {
        let mut draws = (0..DRAWS).filter_map(|_| self.paths.choose(rng));
        let may_take = |&(key, range): &(UpstreamKey, LayerRange)| {
            let Some(upstream) = fleet.get(key).filter(|u| !u.is_ejected(ask.now)) else {
                return false;
            };
            let Some(cost) = Cost::of(upstream, engines, ask.now) else {
                return false;
            };
            let holds = cost.layers.from <= range.from && range.to <= cost.layers.to;
            let needed = ask.tokens * f64::from(range.len());
            holds && upstream.load().reserved + needed <= cost.room
        };
        let may_begin = |parts: &&Parts| {
            let first = parts.first().and_then(|&(key, _)| fleet.get(key));
            first.is_some_and(|u| u.limiter.admits(ask.now))
        };
        draws.find(|parts| may_begin(parts) && parts.iter().all(may_take))
    }
}

/// The load of each domain, raised together to the least that is planned for.
fn at_least(demand: &[Demand], ask: &PathQuery<'_>, room: f64) -> Vec<Demand> {
    let mut demand = demand.to_vec();
    if !demand.iter().any(|d| *d.domain == *ask.domain) {
        demand.push(Demand {
            domain: Arc::from(ask.domain),
            token_layers: 0.0,
        });
    }
    let sum: f64 = demand.iter().map(|d| d.token_layers).sum();
    let missing = (MIN_FILL * room - sum).max(0.0) / demand.len() as f64;
    for d in &mut demand {
        d.token_layers += missing;
    }
    demand
}
