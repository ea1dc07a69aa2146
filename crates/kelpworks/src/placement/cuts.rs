//! Ways to cut a model into stages, worth a trial.
//!
//! How long a stage may be follows from the hosts' memory, so the candidates come from it: for
//! each kind of host the fewest stages of equal length that it can hold, and some more; and, for
//! fleets where small hosts are many, short stages for those and long ones for the rest.

use super::input::HostKey;
use super::input::Input;
use super::state::View;
use crate::fleet::ModelKey;

/// Stages more than the fewest that are tried for each kind of host.
const MORE_STAGES: u32 = 3;
/// Replicas that a stage needs to stand after a loss.
const REPLICAS: u32 = 2;

/// Candidates for one model, fewest stages first; empty when no live host may carry it.
pub(super) fn candidates(input: &Input, view: &View, model: ModelKey) -> Vec<Vec<u32>> {
    let layers = input.model(model).layers;
    let kinds = kinds(view, model);
    if kinds.is_empty() {
        return Vec::new();
    }
    let hosts: u32 = kinds.iter().map(|k| k.hosts).sum();
    let most = (hosts / REPLICAS).clamp(1, layers);
    let fewest = |k: &Kind| layers.div_ceil(k.capacity);
    let mut found = Vec::new();
    for kind in &kinds {
        let first = fewest(kind);
        for stages in (first..=first + MORE_STAGES).chain([2 * first]) {
            if stages <= most || stages == first {
                found.push(equal(layers, stages.min(layers)));
            }
        }
    }
    let mixed = by_kind(layers, &kinds);
    if mixed.len() as u32 <= most {
        found.push(mixed);
    }
    let domains = (0..view.domain_count).filter_map(|d| by_domain(input, view, model, d));
    found.extend(domains.filter(|lengths| lengths.len() as u32 <= most));
    found.sort_by(|a, b| a.len().cmp(&b.len()).then_with(|| a.cmp(b)));
    found.dedup();
    found
}

/// Hosts of one capacity.
struct Kind {
    /// Layers that each may hold.
    capacity: u32,
    /// Their layer rates, added.
    rate: f64,
    /// How many.
    hosts: u32,
}

/// The kinds of hosts that may carry a model, smallest first.
fn kinds(view: &View, model: ModelKey) -> Vec<Kind> {
    let mut kinds: Vec<Kind> = Vec::new();
    for &host in &view.usable {
        let capacity = view.capacities[host.index()][usize::from(model.0)];
        let rate = view.rates[host.index()];
        if capacity == 0 {
            continue;
        }
        match kinds.iter_mut().find(|k| k.capacity == capacity) {
            Some(kind) => {
                kind.rate += rate;
                kind.hosts += 1;
            }
            None => kinds.push(Kind {
                capacity,
                rate,
                hosts: 1,
            }),
        }
    }
    kinds.sort_by_key(|k| k.capacity);
    kinds
}

/// As many layers for each kind as its share of the rate, in stages that it can hold.
fn by_kind(layers: u32, kinds: &[Kind]) -> Vec<u32> {
    let total: f64 = kinds.iter().map(|k| k.rate).sum();
    let mut lengths = Vec::new();
    let mut done = 0;
    let mut rate = 0.0;
    for kind in kinds {
        rate += kind.rate;
        let end = (f64::from(layers) * rate / total).round() as u32;
        let part = end.min(layers) - done;
        if part > 0 {
            lengths.extend(equal(part, part.div_ceil(kind.capacity)));
        }
        done += part;
    }
    lengths
}

/// The fewest stages that the hosts of one failure domain can hold, each as long as its host
/// allows. Several models take the domain's hosts in turn, largest first. `None` when the domain
/// can't hold all layers.
fn by_domain(input: &Input, view: &View, model: ModelKey, domain: usize) -> Option<Vec<u32>> {
    let layers = input.model(model).layers;
    let hosts = view
        .usable
        .iter()
        .filter(|h| view.domains[h.index()] == domain);
    let capacity = |h: &HostKey| view.capacities[h.index()][usize::from(model.0)];
    let mut capacities: Vec<u32> = hosts.map(capacity).filter(|&c| c > 0).collect();
    capacities.sort_unstable_by(|a, b| b.cmp(a));
    let turn = capacities.into_iter().skip(usize::from(model.0));
    let mut lengths = Vec::new();
    let mut left = layers;
    for capacity in turn.step_by(input.models.len()) {
        let length = capacity.min(left);
        lengths.push(length);
        left -= length;
        if left == 0 {
            return Some(lengths);
        }
    }
    None
}

/// Stages of equal length, as near as whole layers allow.
pub(super) fn equal(layers: u32, stages: u32) -> Vec<u32> {
    let end = |s: u32| (u64::from(layers) * u64::from(s) / u64::from(stages)) as u32;
    (0..stages).map(|s| end(s + 1) - end(s)).collect()
}
