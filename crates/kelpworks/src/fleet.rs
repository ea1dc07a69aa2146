//! Snapshots of the fleet as one daemon sees it.
//!
//! A snapshot is immutable and is replaced as a whole on each change; its counters are shared with
//! later snapshots.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::retry::StepDeadline;
use crate::routing::Index;
use kelpworks_wire::EngineLoad;
use kelpworks_wire::LayerRange;

new_key_type! {
    /// Key of an upstream in [`Fleet::upstreams`]; stable across snapshots.
    pub struct UpstreamKey;
}

/// Index of a failure domain in [`Fleet::domains`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DomainKey(pub u16);

/// Index of a model in [`Fleet::models`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ModelKey(pub u16);

/// Whether an upstream may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Health {
    /// Takes new work.
    Live,
    /// Does not respond or fails requests; used as a last resort.
    Suspect,
    /// Completes its present work and takes no new work.
    Leaving,
    /// Gets no work.
    Down,
}

/// Layers of a model that an engine has loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerAssignment {
    /// Model of the layers.
    pub model: ModelKey,
    /// Index of the version in [`ModelView::versions`].
    pub version: u16,
    /// Loaded layers.
    pub layers: LayerRange,
}

/// Counters of an upstream, shared by successive snapshots.
#[derive(Debug, Default)]
pub struct Counters {
    /// Steps or calls in flight from this daemon.
    pub in_flight: AtomicU32,
    /// Steps of all daemons that wait or run on the upstream, as it last reported; lags behind.
    pub reported: AtomicU32,
    /// Steps of this daemon sent since that report.
    pub sent_since_report: AtomicU32,
    /// Sessions of this daemon whose path includes it; maintained by `routing::PathGuard`.
    pub sessions: AtomicU32,
    /// Smoothed observed time of one decode step, in microseconds; 0 when unknown.
    pub step_us: AtomicU64,
    /// Statistics of step times, for the progress deadline.
    pub step: Mutex<StepDeadline>,
    /// Statistics of the times of answered polls, for the deadline of a probe.
    pub poll: Mutex<StepDeadline>,
    /// Time until which the upstream is cooling down after a busy answer and is used as a last
    /// resort, in milliseconds since the daemon's start.
    pub busy_until_ms: AtomicU64,
}

impl Counters {
    /// Records the load that the upstream reports in a poll or with a reply. The report covers all
    /// steps sent before.
    pub fn record_load(&self, load: &EngineLoad) {
        self.reported
            .store(load.queued + load.running, Ordering::Relaxed);
        self.sent_since_report.store(0, Ordering::Relaxed);
    }
}

/// An upstream: an engine or a plain service on one host.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Host name in the register.
    pub name: Arc<str>,
    /// Base URL, without a trailing slash.
    pub url: Arc<str>,
    /// Failure domain of the host.
    pub domain: DomainKey,
    /// Whether it may be given work.
    pub health: Health,
    /// Layers of one token that it runs per second, by the register; 0 for a plain service.
    pub layer_rate: f64,
    /// Loaded layers, as the engine itself last reported; the register is no evidence of them.
    pub layer_assignments: Vec<LayerAssignment>,
    /// Name of the plain service it runs, if any.
    pub service: Option<Arc<str>>,
    /// Incarnation that it last reported; 0 before the first report.
    pub incarnation: u64,
    /// Load and timing on this daemon.
    pub counters: Arc<Counters>,
}

/// A model, reduced to what routing needs.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelView {
    /// Name in the register.
    pub name: String,
    /// Total number of layers.
    pub layers: u32,
    /// Versions seen on the fleet; new sessions use the one at index 0.
    pub versions: Vec<String>,
}

/// Cost of a link between two failure domains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkCost {
    /// One-way latency.
    pub latency: Duration,
    /// Bandwidth in bytes per second.
    pub bytes_per_second: u64,
}

/// A snapshot of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// All upstreams in the register.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Failure domains; [`DomainKey`] is the index.
    pub domains: Vec<String>,
    /// Models; [`ModelKey`] is the index.
    pub models: Vec<ModelView>,
    /// Link costs: a square matrix over [`Fleet::domains`], row major.
    pub links: Vec<LinkCost>,
    /// For each model, the upstreams with any of its layers loaded, in key order.
    pub by_model: Vec<Vec<UpstreamKey>>,
    /// Upstreams of each plain service, by its name.
    pub by_service: HashMap<String, Vec<UpstreamKey>>,
    /// Index of upstreams by layer, for routing; must match the rest of the snapshot. While it is
    /// `None`, each routing decision rebuilds it.
    pub index: Option<Arc<Index>>,
}

impl Fleet {
    /// Returns this snapshot with its index built; the last step of building a snapshot.
    pub fn indexed(mut self) -> Fleet {
        self.index = Some(Arc::new(Index::build(&self)));
        self
    }

    /// Returns the key of the model with this name.
    pub fn model(&self, name: &str) -> Option<ModelKey> {
        let index = self.models.iter().position(|m| m.name == name)?;
        Some(ModelKey(index as u16))
    }

    /// Returns the cost of the link from one failure domain to another.
    ///
    /// # Panics
    ///
    /// When a key is out of range for this snapshot.
    pub fn link(&self, from: DomainKey, to: DomainKey) -> LinkCost {
        self.links[usize::from(from.0) * self.domains.len() + usize::from(to.0)]
    }
}
