//! Choice of the path that a session takes through the stages of a model.

use kelpworks_wire::Class;
use kelpworks_wire::LayerRange;
use rand::Rng;
use rand::RngExt;
use thiserror::Error;

use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::fleet::Health;
use crate::fleet::ModelKey;
use crate::fleet::UpstreamKey;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Error {
    /// No live upstream holds this layer.
    #[error("no live upstream holds layer {layer}")]
    LayerMissing {
        /// First layer that nobody holds.
        layer: u32,
    },
}

/// What a path is wanted for.
#[derive(Clone, Debug)]
pub struct PathQuery<'a> {
    /// The model.
    pub model: ModelKey,
    /// Version index that a running session is bound to; `None` takes the one to serve.
    pub version: Option<u16>,
    /// Failure domain of the daemon that drives the path.
    pub from: DomainKey,
    /// Class of the request.
    pub class: Class,
    /// Positions to prefill.
    pub prefill: u32,
    /// Upstreams to take last: they failed or refused this request before.
    pub avoid: &'a [UpstreamKey],
    /// Hops of the previous attempt, kept where they still serve; empty for a new session.
    pub keep: &'a [Hop],
    /// Milliseconds since the daemon's start, against `Counters::busy_until_ms`.
    pub now_ms: u64,
}

/// One stage of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct Hop {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// A path: its hops cover every layer of the model once, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// The hops.
    pub hops: Vec<Hop>,
    /// Version index that all hops hold.
    pub version: u16,
    /// Candidates weighed, for the log line.
    pub candidates: u32,
}

/// Chooses a path through the stages of a model.
///
/// # Errors
///
/// When some layer is held by no upstream that may take work.
pub fn choose_path<R: Rng>(fleet: &Fleet, query: &PathQuery<'_>, rng: &mut R) -> Result<Path> {
    let layers = fleet.models[usize::from(query.model.0)].layers;
    let version = query.version.unwrap_or(0);
    let mut hops = Vec::new();
    let mut candidates = 0;
    let mut at = 0;
    while at < layers {
        let mut holders = Vec::new();
        for &key in &fleet.by_model[usize::from(query.model.0)] {
            let upstream = &fleet.upstreams[key];
            if upstream.health != Health::Live || query.avoid.contains(&key) {
                continue;
            }
            for h in &upstream.holdings {
                let fits = h.model == query.model && h.version == version;
                if fits && h.layers.first <= at && at < h.layers.end {
                    holders.push((key, h.layers.end));
                }
            }
        }
        candidates += holders.len() as u32;
        if holders.is_empty() {
            return Err(Error::LayerMissing { layer: at });
        }
        let (upstream, end) = holders[rng.random_range(0..holders.len())];
        hops.push(Hop {
            upstream,
            layers: LayerRange { first: at, end },
        });
        at = end;
    }
    Ok(Path {
        hops,
        version,
        candidates,
    })
}
