//! Reduces the link latency between consecutive stages without changing the rate of any stage.

use super::input::HostKey;
use super::input::Input;
use super::state::SearchState;
use crate::fleet::DomainKey;

/// Most passes over all pairs of slots.
const MAX_ROUNDS: usize = 4;
/// Least relative reduction of latency for which hosts are swapped; excludes rounding errors.
const MIN_RELATIVE_GAIN: f64 = 1e-9;

/// Swaps hosts of equal rate between stages as long as that lowers the mean link latency of a
/// token, for at most [`MAX_ROUNDS`] passes.
pub(super) fn shorten_links(input: &Input, state: &mut SearchState<'_>) {
    let links = Links::new(input);
    for _ in 0..MAX_ROUNDS {
        let mut changed = false;
        for a in 0..state.slots.len() {
            for b in a + 1..state.slots.len() {
                changed |= shorten_between(&links, state, a, b);
            }
        }
        if !changed {
            return;
        }
    }
}

/// Returns the mean total latency, in seconds, of the links that a token crosses from stage to
/// stage of one model. Assumes that each host gets work in proportion to its rate and that traffic
/// uses the shortest links first. `stages` are the hosts of each stage of the model, in order; none
/// is empty.
///
/// # Panics
///
/// When a key is not of this input.
pub fn link_latency(input: &Input, stages: &[&[HostKey]]) -> f64 {
    let links = Links::new(input);
    let of_host = |h: &HostKey| {
        let host = input.host(*h);
        (usize::from(host.domain.0), host.layer_rate)
    };
    let shares = |hosts: &[HostKey]| links.shares(hosts.iter().map(of_host));
    let pairs = stages.windows(2);
    pairs
        .map(|p| links.latency(shares(p[0]), shares(p[1])))
        .sum()
}

/// Links between failure domains, including those from a domain to itself.
struct Links {
    /// One-way latency in seconds and the two failure domains of each link; shortest first.
    sorted: Vec<(f64, usize, usize)>,
    /// Number of failure domains.
    domains: usize,
}

impl Links {
    fn new(input: &Input) -> Links {
        let domains = input.domains.len();
        let mut sorted = Vec::new();
        for from in 0..domains {
            for to in 0..domains {
                let link = input.link(DomainKey(from as u16), DomainKey(to as u16));
                sorted.push((link.latency.as_secs_f64(), from, to));
            }
        }
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        Links { sorted, domains }
    }

    /// Returns the mean latency from the slot before `next` to `next`, weighted by the demand of
    /// the model; 0 when the two slots are not consecutive stages of one model.
    fn latency_into(&self, state: &SearchState<'_>, next: usize) -> f64 {
        if next == 0 || next >= state.slots.len() {
            return 0.0;
        }
        if state.slots[next - 1].model != state.slots[next].model {
            return 0.0;
        }
        let shares = |slot: usize| {
            let hosts = state.slots[slot].hosts.iter();
            self.shares(hosts.map(|&h| (state.domain(h), state.rate(h))))
        };
        self.latency(shares(next - 1), shares(next)) * state.slots[next].demand
    }

    /// Returns the mean latency from one stage to the next, in seconds, given the share of each
    /// failure domain in the work of either stage. Traffic is assigned to the shortest links first.
    fn latency(&self, mut from: Vec<f64>, mut to: Vec<f64>) -> f64 {
        let mut total = 0.0;
        for &(latency, a, b) in &self.sorted {
            let flow = f64::min(from[a], to[b]);
            from[a] -= flow;
            to[b] -= flow;
            total += flow * latency;
        }
        total
    }

    /// Returns the share of each failure domain in the rate of a stage. `hosts` are the failure
    /// domain and rate of each of its replicas.
    fn shares(&self, hosts: impl Iterator<Item = (usize, f64)>) -> Vec<f64> {
        let mut shares = vec![0.0; self.domains];
        for (domain, rate) in hosts {
            shares[domain] += rate;
        }
        let total: f64 = shares.iter().sum();
        shares.iter_mut().for_each(|s| *s /= total);
        shares
    }

    /// Returns the total latency into and out of two slots, each pair of adjacent slots counted
    /// once.
    fn adjacent_latency(&self, state: &SearchState<'_>, a: usize, b: usize) -> f64 {
        let mut ends = vec![a, a + 1, b, b + 1];
        ends.sort_unstable();
        ends.dedup();
        ends.iter().map(|&s| self.latency_into(state, s)).sum()
    }
}

/// Tries each swap of [`pairs`] between two slots and keeps those that lower the latency without a
/// higher deficit; returns whether any was kept.
fn shorten_between(links: &Links, state: &mut SearchState<'_>, a: usize, b: usize) -> bool {
    let mut changed = false;
    for (x, y) in pairs(state, a, b) {
        let in_place = state.slot_of[x.index()] == Some(a) && state.slot_of[y.index()] == Some(b);
        if !in_place {
            continue;
        }
        let before = (state.deficit(), links.adjacent_latency(state, a, b));
        state.place(x, Some(b));
        state.place(y, Some(a));
        let after = (state.deficit(), links.adjacent_latency(state, a, b));
        if after.0 <= before.0 && after.1 < before.1 * (1.0 - MIN_RELATIVE_GAIN) {
            changed = true;
        } else {
            state.place(x, Some(a));
            state.place(y, Some(b));
        }
    }
    changed
}

/// Returns the pairs of hosts, one of each slot, that have equal rates, are in different failure
/// domains and fit in each other's slot; one pair for each combination of rate and domains.
fn pairs(state: &SearchState<'_>, a: usize, b: usize) -> Vec<(HostKey, HostKey)> {
    let mut found: Vec<(HostKey, HostKey)> = Vec::new();
    for &x in &state.slots[a].hosts {
        for &y in &state.slots[b].hosts {
            let can_swap = state.rate(x) == state.rate(y)
                && state.domain(x) != state.domain(y)
                && state.fits(x, b)
                && state.fits(y, a);
            let is_duplicate = found.iter().any(|&(u, v)| {
                state.rate(u) == state.rate(x)
                    && state.domain(u) == state.domain(x)
                    && state.domain(v) == state.domain(y)
            });
            if can_swap && !is_duplicate {
                found.push((x, y));
            }
        }
    }
    found
}
