//! An assignment of hosts to stages while the search changes it.

use super::input::HostKey;
use super::input::Input;
use crate::fleet::ModelKey;

/// Weight of a stage without a replica; above what all other shortfalls of a plan add up to.
const NO_REPLICA_PENALTY: u32 = 10_000;
/// Weight of a stage with one replica.
const ONE_HOST_PENALTY: u32 = 100;
/// Weight of a stage in one failure domain.
const ONE_DOMAIN_PENALTY: u32 = 1;
/// Failure domains in which a stage stands after the loss of any one.
pub(super) const REDUNDANT_DOMAINS: usize = 2;

/// Facts about hosts that the search asks for all the time.
#[derive(Debug)]
pub(super) struct HostTable {
    /// By host: layers of a token a second.
    pub(super) rates: Vec<f64>,
    /// By host: index of the failure domain.
    pub(super) domains: Vec<usize>,
    /// By host and model: layers that it may hold, see [`Input::layer_capacity`].
    pub(super) capacities: Vec<Vec<u32>>,
    /// Number of failure domains.
    pub(super) domain_count: usize,
    /// Failure domains that a stage can be asked to stand in: 2, or fewer when no more have a
    /// usable host.
    pub(super) required_domains: usize,
    /// Live hosts that may hold a layer of some model, fastest first.
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

    /// Layer rates of hosts, added anew so that no rounding error is carried along.
    fn sum(&self, hosts: &[HostKey]) -> f64 {
        hosts.iter().map(|h| self.rates[h.index()]).sum()
    }

    /// Whether two hosts can take each other's place without any difference.
    pub(super) fn is_interchangeable(&self, a: HostKey, b: HostKey) -> bool {
        let (a, b) = (a.index(), b.index());
        self.rates[a] == self.rates[b]
            && self.domains[a] == self.domains[b]
            && self.capacities[a] == self.capacities[b]
    }
}

/// Lengths of the stages of each model that is placed.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Partition {
    /// By model, the stages' lengths in layers; empty when the model is left out.
    pub(super) lengths: Vec<Vec<u32>>,
}

/// A stage while the search changes it.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// Index of the model.
    pub(super) model: usize,
    /// Number of layers; at least 1.
    pub(super) length: u32,
    /// Demand of the model.
    pub(super) demand: f64,
    /// Sum of the layer rates of `hosts`.
    pub(super) rate: f64,
    /// Replicas.
    pub(super) hosts: Vec<HostKey>,
    /// By failure domain, the number of replicas.
    pub(super) per_domain: Vec<u16>,
    /// See [`View::domains_wanted`].
    pub(super) required_domains: usize,
}

impl Slot {
    /// Scale at which the stage is served with this rate and length.
    pub(super) fn scale_with(&self, rate: f64, length: u32) -> f64 {
        rate / (self.demand * f64::from(length))
    }

    /// Scale at which the stage is served.
    pub(super) fn scale(&self) -> f64 {
        self.scale_with(self.rate, self.length)
    }

    /// How far the stage is from standing after any one loss; 0 when it does.
    pub(super) fn deficit(&self) -> u32 {
        self.deficit_with(None, None)
    }

    /// The deficit, were a host of one failure domain to leave and one of another to come.
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

/// An assignment of hosts to stages.
#[derive(Clone, Debug)]
pub(super) struct SearchState<'a> {
    /// Facts about hosts.
    pub(super) host_table: &'a HostTable,
    /// Stages, by model and then by layer.
    pub(super) slots: Vec<Slot>,
    /// By host, the index of its slot. Agrees with the slots' hosts.
    pub(super) slot_of: Vec<Option<usize>>,
}

impl<'a> SearchState<'a> {
    /// A state with these cuts and no hosts assigned.
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

    /// Whether a host may hold a slot's layers.
    pub(super) fn fits(&self, host: HostKey, slot: usize) -> bool {
        let slot = &self.slots[slot];
        self.host_table.capacities[host.index()][slot.model] >= slot.length
    }

    /// Layer rate of a host.
    pub(super) fn rate(&self, host: HostKey) -> f64 {
        self.host_table.rates[host.index()]
    }

    /// Failure domain of a host.
    pub(super) fn domain(&self, host: HostKey) -> usize {
        self.host_table.domains[host.index()]
    }

    /// Moves a host to a slot, or to none.
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

    /// The sum of all deficits.
    pub(super) fn deficit(&self) -> u32 {
        self.slots.iter().map(Slot::deficit).sum()
    }

    /// The scale of the slowest slot.
    pub(super) fn scale(&self) -> f64 {
        self.slots
            .iter()
            .map(Slot::scale)
            .fold(f64::INFINITY, f64::min)
    }
}
