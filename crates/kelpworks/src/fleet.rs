//! The fleet as one daemon sees it: an immutable snapshot, replaced as a whole on each change,
//! with counters that live on from snapshot to snapshot.

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
    /// Key of an upstream in the arena of a [`Fleet`]; stays the same from snapshot to snapshot.
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
    /// Silent or failing; used last.
    Suspect,
    /// Finishes what it has, takes nothing new.
    Leaving,
    /// Not used.
    Down,
}

/// What an engine upstream holds of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerAssignment {
    /// The model.
    pub model: ModelKey,
    /// Index of the version in [`ModelView::versions`].
    pub version: u16,
    /// The layers.
    pub layers: LayerRange,
}

/// Counters of an upstream; they outlive a snapshot.
#[derive(Debug, Default)]
pub struct Counters {
    /// Steps or calls of this daemon in flight.
    pub in_flight: AtomicU32,
    /// Steps waiting or running on the upstream, of all daemons, as it last reported; late.
    pub reported: AtomicU32,
    /// Steps of this daemon sent since that report.
    pub sent_since_report: AtomicU32,
    /// Sessions of this daemon whose path goes through it; kept by `routing::PathGuard`.
    pub sessions: AtomicU32,
    /// Smoothed time of one decode step as observed, in microseconds; 0 when unknown.
    pub step_us: AtomicU64,
    /// Times of steps, for the progress deadline.
    pub step: Mutex<StepDeadline>,
    /// Times of answered polls, for the deadline of a probe.
    pub poll: Mutex<StepDeadline>,
    /// Monotonic time until which the upstream is busy, in milliseconds since the daemon's start.
    pub busy_until_ms: AtomicU64,
}

impl Counters {
    /// Takes the load that the upstream reports, on a poll or with a reply. It covers what was
    /// sent before.
    pub fn record_load(&self, load: &EngineLoad) {
        self.reported
            .store(load.queued + load.running, Ordering::Relaxed);
        self.sent_since_report.store(0, Ordering::Relaxed);
    }
}

/// An upstream host.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Host name of the register.
    pub name: Arc<str>,
    /// Base URL.
    pub url: Arc<str>,
    /// Failure domain.
    pub domain: DomainKey,
    /// Whether it may be given work.
    pub health: Health,
    /// Layers of one token that it runs a second, by the register; 0 for a plain service.
    pub layer_rate: f64,
    /// What it holds, as it last said itself; the register is not trusted for this.
    pub layer_assignments: Vec<LayerAssignment>,
    /// Name of the plain service it runs, if any.
    pub service: Option<Arc<str>>,
    /// Its incarnation, as it last said itself.
    pub incarnation: u64,
    /// Counters of this daemon.
    pub counters: Arc<Counters>,
}

/// A model as routing needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelView {
    /// Name.
    pub name: String,
    /// Number of layers.
    pub layers: u32,
    /// Versions seen on the fleet; index 0 is the one to serve for new sessions.
    pub versions: Vec<String>,
}

/// Cost of a link between two failure domains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkCost {
    /// One-way latency.
    pub latency: Duration,
    /// Bytes a second.
    pub bytes_per_second: u64,
}

/// A snapshot of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// All upstreams of the register.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Failure domains; [`DomainKey`] is the index.
    pub domains: Vec<String>,
    /// Models; [`ModelKey`] is the index.
    pub models: Vec<ModelView>,
    /// Links, a square matrix over [`Fleet::domains`], row major.
    pub links: Vec<LinkCost>,
    /// For each model, the upstreams that hold any of its layers, in key order.
    pub by_model: Vec<Vec<UpstreamKey>>,
    /// For each plain service, its upstreams.
    pub by_service: HashMap<String, Vec<UpstreamKey>>,
    /// Holders of each layer, for routing; must match the rest of the snapshot. While it is
    /// `None`, each decision works it out anew.
    pub index: Option<Arc<Index>>,
}

impl Fleet {
    /// This snapshot with its index built; the last step of making a snapshot.
    pub fn indexed(mut self) -> Fleet {
        self.index = Some(Arc::new(Index::build(&self)));
        self
    }

    /// Key of the model of this name.
    pub fn model(&self, name: &str) -> Option<ModelKey> {
        let at = self.models.iter().position(|m| m.name == name)?;
        Some(ModelKey(at as u16))
    }

    /// Cost of the link between two failure domains.
    ///
    /// # Panics
    ///
    /// When a key is not of this snapshot.
    pub fn link(&self, from: DomainKey, to: DomainKey) -> LinkCost {
        self.links[usize::from(from.0) * self.domains.len() + usize::from(to.0)]
    }
}
