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
const PORTIONS_PER_DOMAIN: u32 = 24;
/// Age from which a plan is made anew: digests of a larger fleet come as often.
const MAX_AGE: Duration = Duration::from_millis(500);
/// A plan is used for so many times the time that it took, whatever changes: its making is to take a
/// small part of a host, also where thousands of engines register one by one.
const MIN_USE_FACTOR: u32 = 10;
/// Longest such time.
const MAX_EXTENDED_USE: Duration = Duration::from_secs(10);
/// Part of the fleet's room that is planned for at least. While load is light, or not known yet after a
/// start, this spreads requests over more engines than they need.
const MIN_PLANNED_FILL: f64 = 0.3;
/// Most of an engine's room that may be planned, so that the cost of a full one stays finite.
const MAX_PLANNED_FILL: f64 = 0.97;
/// Draws before a request is given a path of its own.
const MAX_DRAWS: usize = 4;

/// Load by the daemons of a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The domain.
    pub domain: Arc<str>,
    /// Token-layers that their requests may come to hold, over all engines.
    pub token_layers: f64,
}

/// A part of the load and its path.
type PlannedPath = Vec<(UpstreamKey, LayerRange)>;

/// A plan for the requests that enter in one failure domain.
#[derive(Clone, Debug)]
pub struct TrafficPlan {
    paths: Vec<PlannedPath>,
    made_at: Instant,
    /// Time that making it took.
    planning_time: Duration,
    /// Version of the registrations that it was made for.
    version: Version,
    /// Part of the load, of all domains, for which there was room.
    placed_fraction: f64,
}

/// An engine while a plan is made.
struct PlannedEngine<'a> {
    cost: Cost<'a>,
    load: Load,
    /// Cost of using it at all, in milliseconds a token.
    entry_ms: f64,
}

impl PlannedEngine<'_> {
    fn fill(&self) -> f64 {
        self.load.reserved / self.cost.capacity.max(1.0)
    }

    /// Cost of a layer; it rises without bound as the engine fills up.
    fn layer_ms(&self, tokens: f64) -> f64 {
        let fill = self.fill();
        if fill >= MAX_PLANNED_FILL {
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
        query: &PathQuery<'_>,
        demand: &[Demand],
    ) -> TrafficPlan {
        let mut graph = Graph::new(query.layers);
        let mut planned = Vec::new();
        for (key, upstream) in fleet.of_service(query.service) {
            if upstream.is_ejected(query.now) {
                continue;
            }
            let Some(cost) = Cost::of(upstream, engines, query.now) else {
                continue;
            };
            let engine = PlannedEngine {
                cost,
                load: Load::default(),
                entry_ms: upstream.failure_rate * crate::path::FAILURE_PENALTY_MS,
            };
            let candidate = Candidate {
                key,
                range: cost.layers,
                domain: 0,
                may_begin: upstream.limiter.rate().is_none(),
                layer_ms: engine.layer_ms(query.tokens),
                entry_ms: engine.entry_ms,
            };
            graph.add(candidate, &upstream.entry.domain);
            planned.push(engine);
        }
        let mut plan = TrafficPlan {
            paths: Vec::new(),
            made_at: query.now,
            planning_time: Duration::ZERO,
            version: fleet.version(),
            placed_fraction: 0.0,
        };
        let capacity: f64 = planned.iter().map(|p| p.cost.capacity).sum();
        plan.place_demand(
            &mut graph,
            &mut planned,
            query,
            &raise_to_min_fill(demand, query, capacity),
        );
        plan
    }

    /// Places the load part by part, a part of each domain in turn.
    fn place_demand(
        &mut self,
        graph: &mut Graph,
        planned: &mut [PlannedEngine<'_>],
        query: &PathQuery<'_>,
        demand: &[Demand],
    ) {
        let layers = f64::from(query.layers.len().max(1));
        let mut placed_portions = 0;
        for _ in 0..PORTIONS_PER_DOMAIN {
            for Demand {
                domain,
                token_layers,
            } in demand
            {
                let Some(parts) = graph.solve(domain, &[]) else {
                    continue;
                };
                placed_portions += 1;
                let tokens = token_layers / layers / f64::from(PORTIONS_PER_DOMAIN);
                for &(key, range) in &parts {
                    let at = graph.candidates.iter().position(|c| c.key == key);
                    let Some(at) = at else {
                        continue;
                    };
                    let engine = &mut planned[at];
                    engine.load.reserved += tokens * f64::from(range.len());
                    engine.load.running += tokens / query.tokens.max(1.0);
                    graph.candidates[at].layer_ms = engine.layer_ms(query.tokens);
                }
                if **domain == *query.domain {
                    self.paths.push(parts);
                }
            }
        }
        let total_portions = PORTIONS_PER_DOMAIN as usize * demand.len();
        self.placed_fraction = f64::from(placed_portions) / (total_portions.max(1) as f64);
    }

    /// Notes the time that making it took.
    pub fn set_planning_time(&mut self, planning_time: Duration) {
        self.planning_time = planning_time;
    }

    /// Whether it is still to be used: it fits the fleet, or it was costly to make. Whoever draws passes
    /// engines over that have changed since.
    pub fn is_fresh(&self, fleet: &Fleet, now: Instant) -> bool {
        let age = now.duration_since(self.made_at);
        let is_current = self.version == fleet.version() && age < MAX_AGE;
        is_current || age < (self.planning_time * MIN_USE_FACTOR).min(MAX_EXTENDED_USE)
    }

    /// Part of the fleet's load for which there was room.
    pub fn placed_fraction(&self) -> f64 {
        self.placed_fraction
    }

    /// Draws a path whose engines all may be used now and have room for a request; `None` when none is
    /// found in a few draws.
    pub fn draw<R: Rng>(
        &self,
        fleet: &Fleet,
        engines: &EngineProfile,
        query: &PathQuery<'_>,
        rng: &mut R,
    ) -> Option<&PlannedPath> {
        let mut draws = (0..MAX_DRAWS).filter_map(|_| self.paths.choose(rng));
        let is_usable = |&(key, range): &(UpstreamKey, LayerRange)| {
            let Some(upstream) = fleet.get(key).filter(|u| !u.is_ejected(query.now)) else {
                return false;
            };
            let Some(cost) = Cost::of(upstream, engines, query.now) else {
                return false;
            };
            let holds = cost.layers.from <= range.from && range.to <= cost.layers.to;
            let needed = query.tokens * f64::from(range.len());
            holds && upstream.load().reserved + needed <= cost.capacity
        };
        let may_begin = |parts: &&PlannedPath| {
            let first = parts.first().and_then(|&(key, _)| fleet.get(key));
            first.is_some_and(|u| u.limiter.admits(query.now))
        };
        draws.find(|parts| may_begin(parts) && parts.iter().all(is_usable))
    }
}

/// The load of each domain, raised together to the least that is planned for.
fn raise_to_min_fill(demand: &[Demand], query: &PathQuery<'_>, capacity: f64) -> Vec<Demand> {
    let mut demand = demand.to_vec();
    if !demand.iter().any(|d| *d.domain == *query.domain) {
        demand.push(Demand {
            domain: Arc::from(query.domain),
            token_layers: 0.0,
        });
    }
    let sum: f64 = demand.iter().map(|d| d.token_layers).sum();
    let shortfall = (MIN_PLANNED_FILL * capacity - sum).max(0.0) / demand.len() as f64;
    for d in &mut demand {
        d.token_layers += shortfall;
    }
    demand
}
