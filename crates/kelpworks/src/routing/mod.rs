//! Choice of the path of a session through the stages of a model, and of the upstream of a plain
//! service.
//!
//! The costs of links differ by a factor of a hundred, so the cost of a stage depends on where the
//! previous stage runs. Therefore a path is chosen as a whole, as a shortest path over the cuts of
//! the model, which are the layers at which upstreams may change. For each cut only a sample of
//! the upstreams is evaluated. A decision thus takes about as long with 600 upstreams as with 40,
//! and daemons with the same lagged load reports do not all choose the same upstream.
//!
//! ```
//! use kelpworks::fleet::Fleet;
//! use kelpworks::routing::Error;
//! use kelpworks::routing::choose_service;
//!
//! let fleet = Fleet::default().indexed();
//! let chosen = choose_service(&fleet, "thumbnails", &[], 0, &mut rand::rng());
//! assert_eq!(chosen, Err(Error::ServiceMissing));
//! ```
//!
//! Limitations: costs are estimates from lagged reports. A path is the cheapest of those evaluated,
//! not of all. Link costs are known per failure domain, not per host.

mod cost;
mod explain;
mod index;
mod path_guard;
mod search;
mod service;

#[cfg(test)]
mod tests;

use rand::Rng;
use thiserror::Error;

use kelpworks_wire::Class;
use kelpworks_wire::LayerRange;

pub use crate::routing::explain::Explanation;
pub use crate::routing::explain::HopReason;
pub use crate::routing::explain::Reason;
pub use crate::routing::explain::RunnerUp;
pub use crate::routing::index::Index;
pub use crate::routing::path_guard::PathGuard;
pub use crate::routing::service::choose_service;

use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::fleet::Health;
use crate::fleet::ModelKey;
use crate::fleet::UpstreamKey;
use crate::routing::search::Search;
use crate::routing::search::SearchRange;

/// Result of a routing decision.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why there is no path or no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// No upstream that may take work has this layer.
    #[error("no live upstream holds layer {layer}")]
    LayerMissing {
        /// First layer that no such upstream has.
        layer: u32,
    },
    /// No upstream of the plain service may take work.
    #[error("no live upstream runs the service")]
    ServiceMissing,
}

/// Requirements of a path.
#[derive(Clone, Debug)]
pub struct PathQuery<'a> {
    /// Model that the session runs.
    pub model: ModelKey,
    /// Index of the version that a running session is bound to. With `None`, the version to serve
    /// (index 0) is chosen if upstreams have all of its layers, else the first version of which
    /// they do.
    pub version: Option<u16>,
    /// Failure domain of the daemon that drives the path.
    pub from: DomainKey,
    /// Class of the request.
    pub class: Class,
    /// Number of positions to prefill.
    pub prefill: u32,
    /// Upstreams to use only as a last resort, because they failed or refused this request before.
    pub avoid: &'a [UpstreamKey],
    /// Hops of the previous attempt, kept where they still serve; empty for a new session.
    pub keep: &'a [Hop],
    /// Current time in milliseconds since the daemon's start, the time base of
    /// `Counters::busy_until_ms`.
    pub now_ms: u64,
}

/// One stage of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct Hop {
    /// Upstream that runs the stage.
    pub upstream: UpstreamKey,
    /// Layers of the stage.
    pub layers: LayerRange,
}

/// A path: its hops cover every layer of the model once, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Hops in the order of their layers.
    pub hops: Vec<Hop>,
    /// Index of the version that all hops run.
    pub version: u16,
    /// Number of candidates evaluated, for the log line.
    pub candidates: u32,
    /// Reasons for the hops, for the log line.
    pub explanation: Explanation,
}

/// A hint that an upstream's prefix cache contains the start of the prompt. It may be stale, so it
/// affects the choice of the path only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Upstream with the cache.
    pub upstream: UpstreamKey,
    /// Number of positions of the prompt that are cached.
    pub positions: u32,
}

/// Chooses a path through the stages of a model.
///
/// Hops in [`PathQuery::keep`] are kept if their upstream still serves them, even while it is
/// leaving. Upstreams that are cooling down, suspect or in [`PathQuery::avoid`] are used only when
/// no other upstream has the layers.
///
/// # Errors
///
/// Returns an error if no upstream that may take work has some layer.
///
/// # Panics
///
/// Panics if the query's model or failure domain is not in this snapshot.
pub fn choose_path<R: Rng>(fleet: &Fleet, query: &PathQuery<'_>, rng: &mut R) -> Result<Path> {
    choose_path_cached(fleet, query, &[], rng)
}

/// Chooses a path as [`choose_path`] does, with hints about the contents of prefix caches.
///
/// # Errors
///
/// Returns an error if no upstream that may take work has some layer.
///
/// # Panics
///
/// Panics if the query's model or failure domain is not in this snapshot.
pub fn choose_path_cached<R: Rng>(
    fleet: &Fleet,
    query: &PathQuery<'_>,
    cached: &[CachedPrefix],
    rng: &mut R,
) -> Result<Path> {
    let built;
    let index = match &fleet.index {
        Some(index) => &**index,
        None => {
            built = Index::build(fleet);
            &built
        }
    };
    let missing = Error::LayerMissing { layer: 0 };
    let (version, holders) = index.version(query.model, query.version).ok_or(missing)?;
    let kept = kept_hops(fleet, query, version);
    let mut search = Search {
        fleet,
        query,
        cached,
        version: holders,
        rng,
    };
    let mut path = Path {
        hops: Vec::new(),
        version,
        candidates: 0,
        explanation: Explanation::default(),
    };
    let mut at = 0;
    let mut from = query.from;
    for hop in kept {
        let domain = fleet.upstreams[hop.upstream].domain;
        let gap = SearchRange {
            first: at,
            end: hop.layers.first,
            from,
            to: Some(domain),
        };
        extend(&mut path, &mut search, gap)?;
        at = hop.layers.end;
        from = domain;
        path.keep(hop);
    }
    let rest = SearchRange {
        first: at,
        end: holders.layers,
        from,
        to: None,
    };
    extend(&mut path, &mut search, rest)?;
    Ok(path)
}

/// Searches hops for a range of layers and appends them to a path.
fn extend<R: Rng>(path: &mut Path, search: &mut Search<'_, R>, range: SearchRange) -> Result<()> {
    if range.first == range.end {
        return Ok(());
    }
    let found = search
        .find(range)
        .map_err(|layer| Error::LayerMissing { layer })?;
    path.candidates += found.candidates;
    path.hops.extend(found.hops);
    path.explanation.hops.extend(found.reasons);
    Ok(())
}

impl Path {
    fn keep(&mut self, hop: &Hop) {
        self.candidates += 1;
        self.hops.push(hop.clone());
        self.explanation.hops.push(HopReason {
            upstream: hop.upstream,
            cost_us: 0.0,
            runner_up: None,
            reason: Reason::Kept,
        });
    }
}

/// Returns the hops of the previous attempt whose upstreams still serve them, in order and without
/// overlap.
fn kept_hops<'a>(fleet: &Fleet, query: &PathQuery<'a>, version: u16) -> Vec<&'a Hop> {
    let mut kept: Vec<&Hop> = Vec::with_capacity(query.keep.len());
    for hop in query.keep {
        let after = kept.last().map_or(0, |h| h.layers.end);
        let in_order = after <= hop.layers.first && hop.layers.first < hop.layers.end;
        if in_order && still_serves(fleet, query, version, hop) {
            kept.push(hop);
        }
    }
    kept
}

fn still_serves(fleet: &Fleet, query: &PathQuery<'_>, version: u16, hop: &Hop) -> bool {
    let Some(upstream) = fleet.upstreams.get(hop.upstream) else {
        return false;
    };
    if upstream.health == Health::Down || query.avoid.contains(&hop.upstream) {
        return false;
    }
    let layers = fleet.models[usize::from(query.model.0)].layers;
    hop.layers.end <= layers
        && upstream.layer_assignments.iter().any(|h| {
            let same = h.model == query.model && h.version == version;
            same && h.layers.first <= hop.layers.first && hop.layers.end <= h.layers.end
        })
}
