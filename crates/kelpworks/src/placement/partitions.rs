//! Candidate partitions of a model's layers into stages, for the planner to try.
//!
//! The memory of the hosts limits the length of a stage, so the candidates follow from the host
//! classes, that is the hosts of equal capacity: for each class the least number of equally long
//! stages that fit on its hosts, and slightly larger numbers; for fleets with many small hosts, one
//! partition with short stages for those and long stages for the rest; and for each failure domain
//! a partition that its hosts alone can hold.

use super::input::HostKey;
use super::input::Input;
use super::state::HostTable;
use crate::fleet::ModelKey;

/// Numbers of stages that are tried for each host class above the least possible.
const EXTRA_STAGES: u32 = 3;
/// Replicas that a stage needs to survive the loss of a host.
const MIN_REPLICAS: u32 = 2;

/// Returns the candidate partitions of one model, as lengths of stages in layers, fewest stages
/// first; empty when no layer of the model fits on a live host that may load it.
pub(super) fn candidates(input: &Input, host_table: &HostTable, model: ModelKey) -> Vec<Vec<u32>> {
    let layers = input.model(model).layers;
    let classes = classes(host_table, model);
    if classes.is_empty() {
        return Vec::new();
    }
    let hosts: u32 = classes.iter().map(|k| k.hosts).sum();
    let max_stages = (hosts / MIN_REPLICAS).clamp(1, layers);
    let min_stages = |k: &HostClass| layers.div_ceil(k.capacity);
    let mut found = Vec::new();
    for class in &classes {
        let min_count = min_stages(class);
        for stages in (min_count..=min_count + EXTRA_STAGES).chain([2 * min_count]) {
            if stages <= max_stages || stages == min_count {
                found.push(equal_lengths(layers, stages.min(layers)));
            }
        }
    }
    let by_capacity = split_by_class(layers, &classes);
    if by_capacity.len() as u32 <= max_stages {
        found.push(by_capacity);
    }
    let domains =
        (0..host_table.domain_count).filter_map(|d| split_for_domain(input, host_table, model, d));
    found.extend(domains.filter(|lengths| lengths.len() as u32 <= max_stages));
    found.sort_by(|a, b| a.len().cmp(&b.len()).then_with(|| a.cmp(b)));
    found.dedup();
    found
}

/// Hosts with the same capacity for a model.
struct HostClass {
    /// Layers that fit on each host.
    capacity: u32,
    /// Sum of their layer rates.
    rate: f64,
    /// Number of hosts.
    hosts: u32,
}

/// Returns the classes of the usable hosts on which the model fits, smallest capacity first.
fn classes(host_table: &HostTable, model: ModelKey) -> Vec<HostClass> {
    let mut classes: Vec<HostClass> = Vec::new();
    for &host in &host_table.usable {
        let capacity = host_table.capacities[host.index()][usize::from(model.0)];
        let rate = host_table.rates[host.index()];
        if capacity == 0 {
            continue;
        }
        match classes.iter_mut().find(|k| k.capacity == capacity) {
            Some(class) => {
                class.rate += rate;
                class.hosts += 1;
            }
            None => classes.push(HostClass {
                capacity,
                rate,
                hosts: 1,
            }),
        }
    }
    classes.sort_by_key(|k| k.capacity);
    classes
}

/// Gives each host class a part of the layers in proportion to its share of the total rate, and
/// splits that part into equally long stages that fit on its hosts.
fn split_by_class(layers: u32, classes: &[HostClass]) -> Vec<u32> {
    let total: f64 = classes.iter().map(|k| k.rate).sum();
    let mut lengths = Vec::new();
    let mut assigned = 0;
    let mut rate = 0.0;
    for class in classes {
        rate += class.rate;
        let end = (f64::from(layers) * rate / total).round() as u32;
        let length = end.min(layers) - assigned;
        if length > 0 {
            lengths.extend(equal_lengths(length, length.div_ceil(class.capacity)));
        }
        assigned += length;
    }
    lengths
}

/// Returns the partition with the fewest stages that the hosts of one failure domain can hold, each
/// stage as long as fits on its host. The hosts, largest first, are dealt to the models of the
/// input in rotation. `None` when the model's hosts in the domain can't hold all its layers.
fn split_for_domain(
    input: &Input,
    host_table: &HostTable,
    model: ModelKey,
    domain: usize,
) -> Option<Vec<u32>> {
    let layers = input.model(model).layers;
    let hosts = host_table
        .usable
        .iter()
        .filter(|h| host_table.domains[h.index()] == domain);
    let capacity = |h: &HostKey| host_table.capacities[h.index()][usize::from(model.0)];
    let mut capacities: Vec<u32> = hosts.map(capacity).filter(|&c| c > 0).collect();
    capacities.sort_unstable_by(|a, b| b.cmp(a));
    let from_offset = capacities.into_iter().skip(usize::from(model.0));
    let mut lengths = Vec::new();
    let mut remaining = layers;
    for capacity in from_offset.step_by(input.models.len()) {
        let length = capacity.min(remaining);
        lengths.push(length);
        remaining -= length;
        if remaining == 0 {
            return Some(lengths);
        }
    }
    None
}

/// Returns the lengths of stages whose lengths differ by at most one layer.
pub(super) fn equal_lengths(layers: u32, stages: u32) -> Vec<u32> {
    let end = |s: u32| (u64::from(layers) * u64::from(s) / u64::from(stages)) as u32;
    (0..stages).map(|s| end(s + 1) - end(s)).collect()
}
