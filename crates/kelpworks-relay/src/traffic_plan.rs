//! Distribution of the requests of a whole fleet over its engines.
//!
//! If each daemon chose the cheapest path for each request, all of them would choose the same one:
//! their view of each other's load is half a second old, so that the fastest engines would get
//! everything for a moment, then nothing, and refuse for lack of memory while others are idle.
//!
//! So each daemon plans for all of them: it assigns the load of the fleet in small portions, each
//! to the path that is cheapest beside the portions before it, and then draws a path at random for
//! each request. Daemons with the same view compute the same plan and draw independently, so
//! engines fill in the planned proportion even if reports of their load are late. Only the total
//! load of each failure domain has to be known, which changes slowly and is reported with small
//! errors.
//!
//! This is incremental traffic assignment: with many portions it comes close to the equilibrium in
//! which no request would be faster on another path.
//!
//! Limits: engines that failed or filled up since the plan was computed are skipped when a path is
//! drawn; see [`TrafficPlan::draw`].

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use rand::Rng;
use rand::seq::IndexedRandom;
use slotmap::SecondaryMap;
use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::config::Accelerator;
use crate::config::EngineProfile;
use crate::constraints::MessageKind;
use crate::fleet::Fleet;
use crate::fleet::Load;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::path::PathQuery;
use crate::path::cost::Cost;
use crate::path::graph::Candidate;
use crate::path::graph::Graph;

/// Portions into which the load of each failure domain is divided: some ten requests each where
/// three hundred run in a domain. Each portion takes a path search.
const PORTIONS_PER_DOMAIN: u32 = 24;
/// Age from which a plan is computed again; digests of a larger fleet arrive as often.
const MAX_AGE: Duration = Duration::from_millis(500);
/// A plan is used for at least this many times its planning time, whatever changes: planning is to
/// take a small share of a host, also while thousands of engines register one by one.
const MIN_USE_FACTOR: u32 = 10;
/// Maximum time for which a plan is used because it was expensive to compute.
const MAX_EXTENDED_USE: Duration = Duration::from_secs(10);
/// Minimum share of the fleet's capacity that is planned for. While load is light, or not known
/// yet after a start, this distributes requests over more engines than they need.
const MIN_PLANNED_FILL: f64 = 0.3;
/// Maximum share of an engine's capacity that is planned, so that the cost of a full engine stays
/// finite.
const MAX_PLANNED_FILL: f64 = 0.97;
/// Minimum of that share where capacity is spared, so that an engine for a few requests is still used.
const MIN_SPARED_FILL: f64 = 0.5;
/// Fill of a failure domain, relative to that of the fleet, up to which it may serve all of its own
/// requests.
const MAX_RELATIVE_FILL: f64 = 1.2;
/// Maximum draws before a path is searched for the request alone.
const MAX_DRAWS: usize = 4;

/// Load from the daemons of a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The failure domain in which the requests enter.
    pub domain: Arc<str>,
    /// Token-layers of KV cache that the requests may come to use, over all engines.
    pub token_layers: f64,
}

/// The path of a portion: engines and the layers that each runs.
type PlannedPath = Vec<(UpstreamKey, LayerRange)>;

/// A plan for the requests that enter in one failure domain.
#[derive(Clone, Debug)]
pub struct TrafficPlan {
    /// One path for each portion of the domain; each is drawn with equal probability.
    paths: Vec<PlannedPath>,
    made_at: Instant,
    /// Time that computing the plan took.
    planning_time: Duration,
    /// Version of the registrations that the plan is based on.
    version: Version,
    /// Fraction of the load of all domains for which there was a path with capacity.
    placed_fraction: f64,
}

/// An engine while a plan is computed.
struct PlannedEngine<'a> {
    cost: Cost<'a>,
    load: Load,
    /// Fixed cost of using the engine, in milliseconds per token.
    entry_ms: f64,
    /// Fraction of the capacity that is planned, less than 1.
    max_fill: f64,
}

impl PlannedEngine<'_> {
    fn fill(&self) -> f64 {
        self.load.reserved / self.cost.capacity.max(1.0)
    }

    /// Returns the cost of a layer; it rises as the engine fills up and is infinite for a full
    /// one.
    fn layer_ms(&self, tokens: f64) -> f64 {
        let fill = self.fill();
        if fill >= self.max_fill {
            return f64::INFINITY;
        }
        self.cost.layer_ms(self.load, tokens) / (1.0 - fill)
    }
}

/// The engines of a service while a plan is computed.
struct PlannedEngines<'a> {
    graph: Graph,
    /// In the order of the graph's candidates.
    engines: Vec<PlannedEngine<'a>>,
    index_by_key: SecondaryMap<UpstreamKey, usize>,
}

impl<'a> PlannedEngines<'a> {
    /// Returns the engines of a service that can be planned for, with a load on each.
    fn new(
        fleet: &'a Fleet,
        engines: &'a EngineProfile,
        query: &PathQuery<'_>,
        includes_domain: impl Fn(&str) -> bool,
        load_of: impl Fn(UpstreamKey, &Cost<'a>) -> Load,
    ) -> PlannedEngines<'a> {
        let mut planned = PlannedEngines {
            graph: Graph::new(query.layers),
            engines: Vec::new(),
            index_by_key: SecondaryMap::new(),
        };
        for (key, upstream) in fleet.of_service(query.service) {
            let is_included = includes_domain(&upstream.entry.domain);
            let is_usable = !upstream.is_ejected(query.now)
                && upstream.allows(MessageKind::LaterHop, query.now);
            if !is_included || !is_usable {
                continue;
            }
            let Some(cost) = Cost::of(upstream, engines, query.now) else {
                continue;
            };
            let engine = PlannedEngine {
                cost,
                load: load_of(key, &cost),
                entry_ms: upstream.failure_rate * crate::path::FAILURE_PENALTY_MS,
                max_fill: max_planned_fill(&cost, query),
            };
            let candidate = Candidate {
                key,
                range: cost.layers,
                domain: 0,
                may_begin: upstream.constraints.limiter.rate().is_none(),
                layer_ms: engine.layer_ms(query.tokens),
                entry_ms: engine.entry_ms,
            };
            planned.graph.add(candidate, &upstream.entry.domain);
            planned.index_by_key.insert(key, planned.engines.len());
            planned.engines.push(engine);
        }
        planned
    }

    /// Returns the planned load of an engine; `None` for one that is not planned for.
    fn load(&self, key: UpstreamKey) -> Option<Load> {
        let &index = self.index_by_key.get(key)?;
        Some(self.engines[index].load)
    }

    /// Returns the mean load of the engines of each kind.
    fn mean_loads(&self) -> MeanLoads<'a> {
        let mut loads = MeanLoads(Vec::new());
        for engine in &self.engines {
            loads.add(engine);
        }
        loads
    }

    /// Returns whether the cheapest path for another request passes engines that `own` lacks.
    fn leaves_engines_of(&self, own: &PlannedEngines<'_>, query: &PathQuery<'_>) -> bool {
        let path = self.graph.solve(query.domain, &[]).unwrap_or_default();
        path.iter()
            .any(|&(key, _)| !own.index_by_key.contains_key(key))
    }

    /// Returns the capacity of all engines, in token-layers.
    fn capacity(&self) -> f64 {
        self.engines.iter().map(|e| e.cost.capacity).sum()
    }

    /// Adds requests with `tokens` tokens in all to an engine that runs a range of layers for them.
    fn add_load(&mut self, key: UpstreamKey, range: LayerRange, tokens: f64, request_tokens: f64) {
        let Some(&index) = self.index_by_key.get(key) else {
            return;
        };
        let engine = &mut self.engines[index];
        engine.load.reserved += tokens * f64::from(range.len());
        engine.load.running += tokens / request_tokens.max(1.0);
        let layer_ms = engine.layer_ms(request_tokens);
        self.graph.set_layer_ms(index, layer_ms);
    }
}

/// Total load and number of engines of a kind.
struct LoadOfKind<'a> {
    kind: &'a Accelerator,
    reserved: f64,
    capacity: f64,
    running: f64,
    engines: f64,
}

/// Mean load of the engines of each kind.
struct MeanLoads<'a>(Vec<LoadOfKind<'a>>);

impl<'a> MeanLoads<'a> {
    fn add(&mut self, engine: &PlannedEngine<'a>) {
        let kind = engine.cost.kind();
        let known = self.0.iter().position(|l| std::ptr::eq(l.kind, kind));
        let at = known.unwrap_or_else(|| {
            self.0.push(LoadOfKind {
                kind,
                reserved: 0.0,
                capacity: 0.0,
                running: 0.0,
                engines: 0.0,
            });
            self.0.len() - 1
        });
        let total = &mut self.0[at];
        total.reserved += engine.load.reserved;
        total.capacity += engine.cost.capacity;
        total.running += engine.load.running;
        total.engines += 1.0;
    }

    /// Returns the load of an engine that is as full as the mean of its kind.
    fn of(&self, cost: &Cost<'_>) -> Load {
        let total = self.0.iter().find(|l| std::ptr::eq(l.kind, cost.kind()));
        total.map_or_else(Load::default, |l| Load {
            reserved: l.reserved / l.capacity.max(1.0) * cost.capacity,
            running: l.running / l.engines,
        })
    }
}

impl TrafficPlan {
    /// Plans for the requests of a service that enter in the domain of `query`, beside those of
    /// the other domains.
    ///
    /// A domain that is not much fuller or slower than the others serves its own requests, since
    /// paths from one domain to another take longer. Its plan then needs only its own engines, a
    /// fraction of those of a large fleet.
    pub fn plan(
        fleet: &Fleet,
        engines: &EngineProfile,
        query: &PathQuery<'_>,
        demand: &[Demand],
    ) -> TrafficPlan {
        let is_own = |domain: &str| domain == query.domain;
        let unloaded = |_, _: &Cost<'_>| Load::default();
        let own_demand: Vec<Demand> = demand
            .iter()
            .filter(|d| is_own(&d.domain))
            .cloned()
            .collect();
        let mut own = PlannedEngines::new(fleet, engines, query, is_own, unloaded);
        let own_fill = total(&own_demand) / own.capacity();
        let own_plan = TrafficPlan::within(&mut own, fleet, query, &own_demand);
        let load_elsewhere = own.mean_loads();
        let as_planned = |key, cost: &Cost<'_>| {
            let own_load = own.load(key);
            own_load.unwrap_or_else(|| load_elsewhere.of(cost))
        };
        let all = PlannedEngines::new(fleet, engines, query, |_| true, as_planned);
        let max_fill = total(demand) / all.capacity() * MAX_RELATIVE_FILL;
        let is_light = own_fill <= max_fill.max(MIN_PLANNED_FILL);
        if own_plan.placed_fraction >= 1.0 && is_light && !all.leaves_engines_of(&own, query) {
            return own_plan;
        }
        let mut all = PlannedEngines::new(fleet, engines, query, |_| true, unloaded);
        TrafficPlan::within(&mut all, fleet, query, demand)
    }

    /// Plans for a load on some engines.
    fn within(
        engines: &mut PlannedEngines<'_>,
        fleet: &Fleet,
        query: &PathQuery<'_>,
        demand: &[Demand],
    ) -> TrafficPlan {
        let mut plan = TrafficPlan {
            paths: Vec::new(),
            made_at: query.now,
            planning_time: Duration::ZERO,
            version: fleet.version(),
            placed_fraction: 0.0,
        };
        let demand = raise_to_min_fill(demand, query, engines.capacity());
        plan.place_demand(engines, query, &demand);
        plan
    }

    /// Assigns the load portion by portion, one portion of each domain in turn.
    fn place_demand(
        &mut self,
        engines: &mut PlannedEngines<'_>,
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
                let Some(parts) = engines.graph.solve(domain, &[]) else {
                    continue;
                };
                placed_portions += 1;
                let tokens = token_layers / layers / f64::from(PORTIONS_PER_DOMAIN);
                for &(key, range) in &parts {
                    engines.add_load(key, range, tokens, query.tokens);
                }
                if **domain == *query.domain {
                    self.paths.push(parts);
                }
            }
        }
        let total_portions = PORTIONS_PER_DOMAIN as usize * demand.len();
        self.placed_fraction = f64::from(placed_portions) / (total_portions.max(1) as f64);
    }

    /// Records the time that computing the plan took.
    pub fn set_planning_time(&mut self, planning_time: Duration) {
        self.planning_time = planning_time;
    }

    /// Returns whether the plan is still to be used: it is recent and matches the registrations,
    /// or it was expensive to compute. Engines that have changed since are skipped when a path is
    /// drawn.
    pub fn is_fresh(&self, fleet: &Fleet, now: Instant) -> bool {
        let age = now.duration_since(self.made_at);
        let is_current = self.version == fleet.version() && age < MAX_AGE;
        is_current || age < (self.planning_time * MIN_USE_FACTOR).min(MAX_EXTENDED_USE)
    }

    /// Returns the fraction of the fleet's load for which there was capacity.
    pub fn placed_fraction(&self) -> f64 {
        self.placed_fraction
    }

    /// Draws a path whose engines can all be used now and have capacity for a request; `None` if a
    /// few draws find none.
    pub fn draw<R: Rng>(
        &self,
        fleet: &Fleet,
        engines: &EngineProfile,
        query: &PathQuery<'_>,
        rng: &mut R,
    ) -> Option<&PlannedPath> {
        let mut draws = (0..MAX_DRAWS).filter_map(|_| self.paths.choose(rng));
        let is_usable = |&(key, range): &(UpstreamKey, LayerRange)| {
            let is_available = |u: &&Upstream| {
                !u.is_ejected(query.now) && u.allows(MessageKind::LaterHop, query.now)
            };
            let Some(upstream) = fleet.get(key).filter(is_available) else {
                return false;
            };
            let Some(cost) = Cost::of(upstream, engines, query.now) else {
                return false;
            };
            let holds = cost.layers.from <= range.from && range.to <= cost.layers.to;
            let needed = query.tokens * f64::from(range.len());
            holds && upstream.load().reserved + needed <= cost.capacity * query.room.fill_limit
        };
        let may_begin = |parts: &&PlannedPath| {
            let first = parts.first().and_then(|&(key, _)| fleet.get(key));
            first.is_some_and(|u| u.allows(MessageKind::Request, query.now))
        };
        draws.find(|parts| may_begin(parts) && parts.iter().all(is_usable))
    }
}

/// Returns the fraction of an engine's capacity that is planned. Daemons draw paths independently, so the number
/// of requests at an engine varies like a Poisson variable around what was planned; planned to the brim, it
/// refuses a third of them.
fn max_planned_fill(cost: &Cost<'_>, query: &PathQuery<'_>) -> f64 {
    let request = query.tokens.max(1.0) * f64::from(cost.layers.len());
    let requests = (cost.capacity / request).max(1.0);
    let spare = query.room.spare_deviations / requests.sqrt();
    (1.0 - spare).clamp(MIN_SPARED_FILL, MAX_PLANNED_FILL)
}

fn total(demand: &[Demand]) -> f64 {
    demand.iter().map(|d| d.token_layers).sum()
}

/// Returns the load of each domain, raised by equal amounts to the minimum total that is planned
/// for.
fn raise_to_min_fill(demand: &[Demand], query: &PathQuery<'_>, capacity: f64) -> Vec<Demand> {
    let mut demand = demand.to_vec();
    if !demand.iter().any(|d| *d.domain == *query.domain) {
        demand.push(Demand {
            domain: Arc::from(query.domain),
            token_layers: 0.0,
        });
    }
    let shortfall = (MIN_PLANNED_FILL * capacity - total(&demand)).max(0.0) / demand.len() as f64;
    for d in &mut demand {
        d.token_layers += shortfall;
    }
    demand
}
