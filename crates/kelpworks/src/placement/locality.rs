//! Shortens the links between a stage and the next, without touching any stage's rate.

use super::input::HostKey;
use super::input::Input;
use super::state::SearchState;
use crate::fleet::DomainKey;

/// Most rounds over all pairs of slots.
const MAX_ROUNDS: usize = 4;
/// Least relative gain for which hosts are swapped.
const MIN_RELATIVE_GAIN: f64 = 1e-9;

/// Swaps hosts of equal rate between stages while that lowers the mean link latency of a token.
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

/// Mean latency of the links that one token crosses from stage to stage, in seconds, when work
/// goes on over the shortest links that balance allows. `stages` are the hosts of one model's
/// stages, in order, none of them empty.
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

/// Links between failure domains, shortest first.
struct Links {
    /// Seconds one way, and both ends.
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

    /// Latency between slot `next` and the one before it, weighed by demand; 0 when that is of
    /// another model.
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

    /// Mean latency from one stage to the next, in seconds, when each domain does its share of
    /// either stage's work and work goes on over the shortest links first.
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

    /// Share of each domain in a stage's rate, from its hosts' domains and rates.
    fn shares(&self, hosts: impl Iterator<Item = (usize, f64)>) -> Vec<f64> {
        let mut shares = vec![0.0; self.domains];
        for (domain, rate) in hosts {
            shares[domain] += rate;
        }
        let total: f64 = shares.iter().sum();
        shares.iter_mut().for_each(|s| *s /= total);
        shares
    }

    /// Latency of all links that end in one of two slots.
    fn adjacent_latency(&self, state: &SearchState<'_>, a: usize, b: usize) -> f64 {
        let mut ends = vec![a, a + 1, b, b + 1];
        ends.sort_unstable();
        ends.dedup();
        ends.iter().map(|&s| self.latency_into(state, s)).sum()
    }
}

/// Tries one swap for each pair of kinds in two slots; keeps those that shorten.
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

/// Pairs of hosts, one of each slot, of equal rate and in different failure domains; one pair for
/// each pair of domains and rate.
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
