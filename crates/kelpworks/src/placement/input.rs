//! Input of placement: hosts, models, links and the layers that hosts have loaded.

use std::sync::Arc;

use crate::fleet::DomainKey;
use crate::fleet::LinkCost;
use crate::fleet::ModelKey;
use crate::register::Host;
use crate::register::HostRole;
use crate::register::Register;
use crate::units::Rate;
use crate::units::Size;
use kelpworks_wire::LayerRange;

/// Fraction of a host's memory that is reserved for the KV cache; weights may not use it.
pub const KV_HEADROOM: f64 = 0.2;

/// Most models for which [`Input::bound`] checks every subset, of which there are `2^n - 1`.
const MAX_SUBSET_MODELS: usize = 12;

/// Index of a host in [`Input::hosts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostKey(pub u32);

impl HostKey {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// An engine host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSpec {
    /// Host name in the register.
    pub name: Arc<str>,
    /// Failure domain; an index into [`Input::domains`].
    pub domain: DomainKey,
    /// Total memory of its accelerators.
    pub memory: Size,
    /// Layers that its accelerators together run a second, each for one token; above 0.
    pub layer_rate: f64,
    /// Models that it may load; indices into [`Input::models`].
    pub models: Vec<ModelKey>,
    /// Whether it may be assigned layers: it is neither down nor leaving.
    pub live: bool,
}

/// A model to place.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Model name in the register.
    pub name: Arc<str>,
    /// Version to serve.
    pub version: Arc<str>,
    /// Number of layers; above 0.
    pub layers: u32,
    /// Size of the weights of one layer; above 0.
    pub layer_size: Size,
    /// Demanded tokens a second, relative to the other models; above 0.
    pub demand: f64,
}

/// A range of layers of one model version on a host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRange {
    /// Host that has loaded the layers or is to load them.
    pub host: HostKey,
    /// Model that the layers are part of.
    pub model: ModelKey,
    /// Version of the model.
    pub version: Arc<str>,
    /// Consecutive layers, loaded and dropped as one unit.
    pub layers: LayerRange,
}

/// Everything that placement depends on. The same input always gives the same plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Input {
    /// Names of the failure domains, indexed by [`DomainKey`].
    pub domains: Vec<Arc<str>>,
    /// Engine hosts, indexed by [`HostKey`].
    pub hosts: Vec<HostSpec>,
    /// Models, indexed by [`ModelKey`].
    pub models: Vec<ModelSpec>,
    /// Link costs between failure domains: a square matrix over [`Input::domains`], row major.
    pub links: Vec<LinkCost>,
    /// Layer ranges that hosts have loaded now.
    pub loaded_ranges: Vec<HostRange>,
    /// Bytes a second that the weight store delivers to the whole fleet; above 0.
    pub weight_rate: Rate,
}

impl Input {
    /// Returns the engine hosts, models and links of a register, with all hosts live, all demands 1
    /// and nothing loaded; callers overwrite these fields with the current state.
    ///
    /// Model and failure domain keys are positions in the register, host keys are positions among
    /// its engine hosts. Pairs of failure domains without a link in the register get
    /// `default_link`, also each domain with itself. `rate` becomes [`Input::weight_rate`].
    pub fn from_register(register: &Register, default_link: LinkCost, rate: Rate) -> Input {
        let models = register.models.iter().map(|m| ModelSpec {
            name: Arc::from(m.name.as_str()),
            version: Arc::from(m.version.as_str()),
            layers: m.layers,
            layer_size: m.layer_size,
            demand: 1.0,
        });
        let domains = register.failure_domains.iter();
        Input {
            domains: domains.map(|d| Arc::from(d.name.as_str())).collect(),
            hosts: register
                .hosts
                .iter()
                .filter_map(|h| engine_host(register, h))
                .collect(),
            models: models.collect(),
            links: links(register, default_link),
            loaded_ranges: Vec::new(),
            weight_rate: rate,
        }
    }

    /// Returns the key of the host with this name, or `None` when there is no such engine host.
    pub fn host_named(&self, name: &str) -> Option<HostKey> {
        let index = self.hosts.iter().position(|h| &*h.name == name)?;
        Some(HostKey(index as u32))
    }

    /// Returns the host with this key.
    ///
    /// # Panics
    ///
    /// When the key is not of this input.
    pub fn host(&self, key: HostKey) -> &HostSpec {
        &self.hosts[key.index()]
    }

    /// Returns the model with this key.
    ///
    /// # Panics
    ///
    /// When the key is not of this input.
    pub fn model(&self, key: ModelKey) -> &ModelSpec {
        &self.models[usize::from(key.0)]
    }

    /// Returns the keys of all hosts in ascending order, including hosts that are not live.
    pub fn host_keys(&self) -> impl Iterator<Item = HostKey> + use<> {
        (0..self.hosts.len() as u32).map(HostKey)
    }

    /// Returns the bytes of a host's memory that weights may use: all but [`KV_HEADROOM`].
    pub fn weight_memory(&self, host: HostKey) -> u64 {
        (self.host(host).memory.0 as f64 * (1.0 - KV_HEADROOM)) as u64
    }

    /// Returns how many layers of a model fit on a host; 0 when the host is not live or may not
    /// load the model.
    pub fn layer_capacity(&self, host: HostKey, model: ModelKey) -> u32 {
        let spec = self.host(host);
        if !spec.live || !spec.models.contains(&model) {
            return 0;
        }
        let fit = self.weight_memory(host) / self.model(model).layer_size.0.max(1);
        fit.min(u64::from(self.model(model).layers)) as u32
    }

    /// Returns an upper bound of [`Plan::scale`](super::Plan::scale): the greatest scale at which
    /// the hosts could serve every model `m` with `scale * demand(m)` tokens a second if layers
    /// could be divided without limit.
    ///
    /// Each set of models needs `scale * sum(demand * layers)` layer runs a second and can get no
    /// more than the total rate of the hosts that may load any model of the set; the set with the
    /// least rate for its need determines the bound. For one model of demand 1 this is the sum of
    /// layer rates over its number of layers. Memory is not considered, so the bound may be above
    /// what any placement reaches. With more than 12 models only each single model and the set of
    /// all models are checked.
    pub fn bound(&self) -> f64 {
        let all: Vec<usize> = (0..self.models.len()).collect();
        self.bound_over(&all)
    }

    /// Returns the bound if only these models, given by index, were served.
    pub(super) fn bound_over(&self, models: &[usize]) -> f64 {
        if models.len() > MAX_SUBSET_MODELS {
            let singles = models.iter().map(|&m| self.subset_bound(|k| k == m));
            let all = self.subset_bound(|k| models.contains(&k));
            return singles.fold(all, f64::min);
        }
        let in_subset = |set: u32, m: usize| {
            let mut chosen = models.iter().enumerate();
            chosen.any(|(i, &k)| k == m && set & (1 << i) != 0)
        };
        (1..1_u32 << models.len())
            .map(|set| self.subset_bound(|m| in_subset(set, m)))
            .fold(f64::INFINITY, f64::min)
    }

    fn subset_bound(&self, in_subset: impl Fn(usize) -> bool) -> f64 {
        let usable = |h: &&HostSpec| h.live && h.models.iter().any(|m| in_subset(usize::from(m.0)));
        let rate: f64 = self.hosts.iter().filter(usable).map(|h| h.layer_rate).sum();
        let chosen = self
            .models
            .iter()
            .enumerate()
            .filter(|(m, _)| in_subset(*m));
        let need: f64 = chosen.map(|(_, m)| m.demand * f64::from(m.layers)).sum();
        rate / need
    }

    /// Returns the cost of the link from one failure domain to another.
    ///
    /// # Panics
    ///
    /// When a key is not of this input.
    pub fn link(&self, from: DomainKey, to: DomainKey) -> LinkCost {
        self.links[usize::from(from.0) * self.domains.len() + usize::from(to.0)]
    }
}

/// Converts a host of the register; `None` for a plain service, or when the register has no
/// accelerator or failure domain of the name that the host refers to.
fn engine_host(register: &Register, host: &Host) -> Option<HostSpec> {
    let HostRole::Engine(engine) = &host.role else {
        return None;
    };
    let mut kinds = register.accelerators.iter();
    let kind = kinds.find(|k| k.name == engine.accelerator)?;
    let model = |name: &String| register.models.iter().position(|m| m.name == *name);
    let models = engine.models.iter().filter_map(model);
    Some(HostSpec {
        name: Arc::from(host.name.as_str()),
        domain: domain_key(register, &host.failure_domain)?,
        memory: Size(kind.memory.0 * u64::from(engine.accelerators)),
        layer_rate: kind.layer_rate * f64::from(engine.accelerators),
        models: models.map(|m| ModelKey(m as u16)).collect(),
        live: true,
    })
}

fn domain_key(register: &Register, name: &str) -> Option<DomainKey> {
    let index = register
        .failure_domains
        .iter()
        .position(|d| d.name == name)?;
    Some(DomainKey(index as u16))
}

fn links(register: &Register, default_link: LinkCost) -> Vec<LinkCost> {
    let count = register.failure_domains.len();
    let mut links = vec![default_link; count * count];
    for link in &register.links {
        let ends = [&link.from, &link.to].map(|n| domain_key(register, n));
        let [Some(from), Some(to)] = ends.map(|d| d.map(|d| usize::from(d.0))) else {
            continue;
        };
        let cost = LinkCost {
            latency: link.latency.0,
            bytes_per_second: link.bandwidth.0,
        };
        links[from * count + to] = cost;
        links[to * count + from] = cost;
    }
    links
}
