//! What placement works from: hosts, models, links and what is loaded today.

use std::sync::Arc;

use kelpworks_wire::LayerRange;

use crate::fleet::DomainKey;
use crate::fleet::LinkCost;
use crate::fleet::ModelKey;
use crate::units::Rate;
use crate::units::Size;

/// Part of a host's memory that weights may not take: it is left to the KV cache.
pub const KV_HEADROOM: f64 = 0.2;

/// Most models for which [`Input::bound`] weighs every subset of them.
const SUBSET_MODELS: usize = 12;

/// Index of a host in [`Input::hosts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostKey(pub u32);

impl HostKey {
    /// As an index.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// An engine host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSpec {
    /// Host name of the register.
    pub name: Arc<str>,
    /// Failure domain; an index into [`Input::domains`].
    pub domain: DomainKey,
    /// Memory of all its accelerators together.
    pub memory: Size,
    /// Layers of one token that it runs a second, all its accelerators together; above 0.
    pub layer_rate: f64,
    /// Models that it may carry; indices into [`Input::models`].
    pub models: Vec<ModelKey>,
    /// Whether it may be given layers: neither down nor leaving.
    pub live: bool,
}

/// A model to place.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub name: Arc<str>,
    /// Version to serve.
    pub version: Arc<str>,
    /// Number of layers; above 0.
    pub layers: u32,
    /// Weights of one layer; above 0.
    pub layer_size: Size,
    /// Tokens a second wanted, relative to the other models; above 0.
    pub demand: f64,
}

/// Layers that a host holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldRange {
    /// The host.
    pub host: HostKey,
    /// The model.
    pub model: ModelKey,
    /// Its version.
    pub version: Arc<str>,
    /// The layers.
    pub layers: LayerRange,
}

/// Everything that placement decides by. The same input always gives the same plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Input {
    /// Names of the failure domains; [`DomainKey`] is the index.
    pub domains: Vec<Arc<str>>,
    /// Engine hosts; [`HostKey`] is the index.
    pub hosts: Vec<HostSpec>,
    /// Models; [`ModelKey`] is the index.
    pub models: Vec<ModelSpec>,
    /// Links, a square matrix over [`Input::domains`], row major.
    pub links: Vec<LinkCost>,
    /// What hosts hold today.
    pub holdings: Vec<HeldRange>,
    /// Bytes a second that the weight store delivers to the whole fleet; above 0.
    pub weight_rate: Rate,
}

impl Input {
    /// The host of this key.
    ///
    /// # Panics
    ///
    /// When the key is not of this input.
    pub fn host(&self, key: HostKey) -> &HostSpec {
        &self.hosts[key.index()]
    }

    /// The model of this key.
    ///
    /// # Panics
    ///
    /// When the key is not of this input.
    pub fn model(&self, key: ModelKey) -> &ModelSpec {
        &self.models[usize::from(key.0)]
    }

    /// Keys of all hosts, in order.
    pub fn host_keys(&self) -> impl Iterator<Item = HostKey> + use<> {
        (0..self.hosts.len() as u32).map(HostKey)
    }

    /// Memory of a host that weights may take, in bytes.
    pub fn weight_memory(&self, host: HostKey) -> u64 {
        (self.host(host).memory.0 as f64 * (1.0 - KV_HEADROOM)) as u64
    }

    /// Layers of a model that a host may hold: 0 when it is not live or may not carry the model.
    pub fn layer_capacity(&self, host: HostKey, model: ModelKey) -> u32 {
        let spec = self.host(host);
        if !spec.live || !spec.models.contains(&model) {
            return 0;
        }
        let fit = self.weight_memory(host) / self.model(model).layer_size.0.max(1);
        fit.min(u64::from(self.model(model).layers)) as u32
    }

    /// The greatest scale that the hardware allows: every model `m` served at
    /// `scale * demand(m)` tokens a second, were layers divisible without limit.
    ///
    /// Each set of models needs `sum(demand * layers)` layer runs a second and can get no more
    /// than the hosts that may carry any of them give; the scarcest set sets the bound. For one
    /// model this is the sum of layer rates over its layers. Memory is left out, so the bound may
    /// lie above what any placement can reach.
    pub fn bound(&self) -> f64 {
        let count = self.models.len();
        if count > SUBSET_MODELS {
            let singles = (0..count).map(|m| self.subset_bound(|k| k == m));
            return singles.fold(self.subset_bound(|_| true), f64::min);
        }
        (1..1_u32 << count)
            .map(|set| self.subset_bound(|m| set & (1 << m) != 0))
            .fold(f64::INFINITY, f64::min)
    }

    fn subset_bound(&self, has: impl Fn(usize) -> bool) -> f64 {
        let usable = |h: &&HostSpec| h.live && h.models.iter().any(|m| has(usize::from(m.0)));
        let rate: f64 = self.hosts.iter().filter(usable).map(|h| h.layer_rate).sum();
        let chosen = self.models.iter().enumerate().filter(|(m, _)| has(*m));
        let need: f64 = chosen.map(|(_, m)| m.demand * f64::from(m.layers)).sum();
        rate / need
    }

    /// Cost of the link between two failure domains.
    ///
    /// # Panics
    ///
    /// When a key is not of this input.
    pub fn link(&self, from: DomainKey, to: DomainKey) -> LinkCost {
        self.links[usize::from(from.0) * self.domains.len() + usize::from(to.0)]
    }
}
