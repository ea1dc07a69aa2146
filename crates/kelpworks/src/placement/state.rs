//! Working state of the placement search: stages, and the hosts that are assigned to them.

use super::input::HostKey;
use super::input::Input;
use crate::fleet::ModelKey;

/// Deficit of a stage without a replica. Exceeds the sum of all other deficits of a plan of up to
/// 100 stages, so that no gain elsewhere outweighs a stage that can't be served.
const NO_REPLICA_PENALTY: u32 = 10_000;
/// Deficit of a stage with one replica.
const ONE_HOST_PENALTY: u32 = 100;
/// Deficit of a stage with several replicas, all of them in one failure domain.
const ONE_DOMAIN_PENALTY: u32 = 1;
/// Number of failure domains that a stage needs to survive the loss of any one of them.
pub(super) const REDUNDANT_DOMAINS: usize = 2;

/// Host properties that the search reads often, computed once from the [`Input`].
#[derive(Debug)]
pub(super) struct HostTable {
    /// By host: layers run a second, see [`super::HostSpec::layer_rate`].
    pub(super) rates: Vec<f64>,
    /// By host: index of the failure domain.
    pub(super) domains: Vec<usize>,
    /// By host and model: layers that fit, see [`Input::layer_capacity`].
    pub(super) capacities: Vec<Vec<u32>>,
    /// Number of failure domains of the input, including those without usable hosts.
    pub(super) domain_count: usize,
    /// Number of failure domains in which each stage needs a replica: [`REDUNDANT_DOMAINS`], or the
    /// number of failure domains with a usable host if that is less.
    pub(super) required_domains: usize,
    /// Live hosts on which at least one layer of some model fits, fastest first.
    pub(super) usable: Vec<HostKey>,
}

impl HostTable {
    pub(super) fn new(input: &Input) -> HostTable {
        let models = || (0..input.models.len()).map(|m| ModelKey(m as u16));
        let capacity = |h| models().map(|m| input.layer_capacity(h, m)).collect();
        let capacities: Vec<Vec<u32>> = input.host_keys().map(capacity).collect();
        let rates: Vec<f64> = input.hosts.iter().map(|h| h.layer_rate).collect();
        let mut usable: Vec<HostKey> = input
            .host_keys()
            .filter(|h| capacities[h.index()].iter().any(|&c| c > 0))
            .collect();
        let domains: Vec<usize> = input
            .hosts
            .iter()
            .map(|h| usize::from(h.domain.0))
            .collect();
        let mut usable_domains: Vec<usize> = usable.iter().map(|h| domains[h.index()]).collect();
        usable_domains.sort_unstable();
        usable_domains.dedup();
        usable.sort_by(|a, b| rates[b.index()].total_cmp(&rates[a.index()]).then(a.cmp(b)));
        HostTable {
            rates,
            domains,
            capacities,
            domain_count: input.domains.len(),
            required_domains: usable_domains.len().min(REDUNDANT_DOMAINS),
            usable,
        }
    }

    /// Sums the layer rates of hosts. Sums are recomputed after each change instead of adjusted, so
    /// that rounding errors don't accumulate.
    fn sum(&self, hosts: &[HostKey]) -> f64 {
        hosts.iter().map(|h| self.rates[h.index()]).sum()
    }

    /// Returns whether two hosts have the same rate, failure domain and capacities, so that
    /// swapping them changes nothing but the layers to load.
    pub(super) fn is_interchangeable(&self, a: HostKey, b: HostKey) -> bool {
        let (a, b) = (a.index(), b.index());
        self.rates[a] == self.rates[b]
            && self.domains[a] == self.domains[b]
            && self.capacities[a] == self.capacities[b]
    }
}

/// Partition of the layers of each model into stages.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Partition {
    /// By model, the lengths of its stages in layers; empty when the model is not placed.
    pub(super) lengths: Vec<Vec<u32>>,
}

/// A stage during the search.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// Index of the model.
    pub(super) model: usize,
    /// Number of layers; at least 1.
    pub(super) length: u32,
    /// Demand of the model, see [`super::ModelSpec::demand`].
    pub(super) demand: f64,
    /// Sum of the layer rates of `hosts`.
    pub(super) rate: f64,
    /// Hosts that are assigned to the stage.
    pub(super) hosts: Vec<HostKey>,
    /// By failure domain, the number of replicas.
    pub(super) per_domain: Vec<u16>,
    /// See [`HostTable::required_domains`].
    pub(super) required_domains: usize,
}

impl Slot {
    /// Returns the scale that the stage would have with this rate and length: tokens a second over
    /// the demand of the model.
    pub(super) fn scale_with(&self, rate: f64, length: u32) -> f64 {
        rate / (self.demand * f64::from(length))
    }

    /// Returns the scale that the stage has now.
    pub(super) fn scale(&self) -> f64 {
        self.scale_with(self.rate, self.length)
    }

    /// Returns 0 when the stage is redundant, that is when it survives the loss of any one host and
    /// any one failure domain; else a penalty that is higher the more it lacks.
    pub(super) fn deficit(&self) -> u32 {
        self.deficit_with(None, None)
    }

    /// Returns the deficit that the stage would have after a host of the failure domain `leaving`
    /// is removed and a host of `joining` is added.
    pub(super) fn deficit_with(&self, leaving: Option<usize>, joining: Option<usize>) -> u32 {
        let hosts =
            self.hosts.len() + usize::from(joining.is_some()) - usize::from(leaving.is_some());
        let mut domains = 0;
        for (d, &count) in self.per_domain.iter().enumerate() {
            let removed = u16::from(leaving == Some(d));
            let new = u16::from(joining == Some(d));
            domains += usize::from(count + new > removed);
        }
        match (hosts, domains) {
            (0, _) => NO_REPLICA_PENALTY,
            (1, _) => ONE_HOST_PENALTY,
            (_, d) if d < self.required_domains => ONE_DOMAIN_PENALTY,
            _ => 0,
        }
    }
}

/// An assignment of hosts to stages, changed by the search in place.
#[derive(Clone, Debug)]
pub(super) struct SearchState<'a> {
    pub(super) host_table: &'a HostTable,
    /// Stages, by model and then by layer.
    pub(super) slots: Vec<Slot>,
    /// By host, the index of its slot. Consistent with [`Slot::hosts`].
    pub(super) slot_of: Vec<Option<usize>>,
}

impl<'a> SearchState<'a> {
    /// Returns a state with these stages and no hosts assigned.
    pub(super) fn new(
        host_table: &'a HostTable,
        input: &Input,
        partition: &Partition,
    ) -> SearchState<'a> {
        let slot = |model: usize, length: u32| Slot {
            model,
            length,
            demand: input.models[model].demand,
            rate: 0.0,
            hosts: Vec::new(),
            per_domain: vec![0; host_table.domain_count],
            required_domains: host_table.required_domains,
        };
        let models = partition.lengths.iter().enumerate();
        SearchState {
            host_table,
            slots: models
                .flat_map(|(m, lengths)| lengths.iter().map(move |&l| slot(m, l)))
                .collect(),
            slot_of: vec![None; host_table.rates.len()],
        }
    }

    /// Returns whether the layers of a slot fit on a host that may load them.
    pub(super) fn fits(&self, host: HostKey, slot: usize) -> bool {
        let slot = &self.slots[slot];
        self.host_table.capacities[host.index()][slot.model] >= slot.length
    }

    pub(super) fn rate(&self, host: HostKey) -> f64 {
        self.host_table.rates[host.index()]
    }

    pub(super) fn domain(&self, host: HostKey) -> usize {
        self.host_table.domains[host.index()]
    }

    /// Moves a host from its slot, if it has one, to another slot or to none.
    pub(super) fn place(&mut self, host: HostKey, to: Option<usize>) {
        let domain = self.domain(host);
        if let Some(from) = self.slot_of[host.index()].take() {
            let slot = &mut self.slots[from];
            slot.hosts.retain(|&h| h != host);
            slot.per_domain[domain] -= 1;
            slot.rate = self.host_table.sum(&slot.hosts);
        }
        if let Some(to) = to {
            let slot = &mut self.slots[to];
            slot.hosts.push(host);
            slot.per_domain[domain] += 1;
            slot.rate = self.host_table.sum(&slot.hosts);
            self.slot_of[host.index()] = Some(to);
        }
    }

    /// Returns the sum of the deficits of all slots; 0 when every stage is redundant.
    pub(super) fn deficit(&self) -> u32 {
        self.slots.iter().map(Slot::deficit).sum()
    }

    /// Returns the scale of the slowest slot, which is that of the whole assignment.
    pub(super) fn scale(&self) -> f64 {
        self.slots
            .iter()
            .map(Slot::scale)
            .fold(f64::INFINITY, f64::min)
    }
}
