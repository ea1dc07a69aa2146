//! Balances the rates of stages: a greedy start, then local search on the slowest stage.
//!
//! First, every stage is brought to stand after any one loss, by moves, swaps or augmenting paths.
//! Then each step takes the slowest stage and makes the one change that helps it most: take a host
//! from another stage, swap two hosts, give a layer to another stage of the same model, or take a
//! host whose stage gets one from a third. A change must leave all its stages faster than the
//! slowest was, so the search ends.

use super::input::HostKey;
use super::redundancy;
use super::state::SearchState;
use super::state::Slot;

/// Least relative gain for which a change is made.
const MIN_RELATIVE_GAIN: f64 = 1e-9;
/// Share of a slot's own failure domain in the key of the greedy start; spreads each stage over
/// the domains without giving up much balance.
const SAME_DOMAIN_WEIGHT: f64 = 0.5;

/// A change to one or two slots.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// A host comes from another slot or from none.
    Move {
        /// The host.
        host: HostKey,
    },
    /// A host comes, one of the worst slot's goes where it came from.
    Swap {
        /// Comes.
        host: HostKey,
        /// Goes.
        outgoing: HostKey,
    },
    /// One layer goes from the worst slot to another of its model; ranges between them slide.
    Shift {
        /// Gets the layer.
        to: usize,
    },
    /// A host comes, and the slot that it leaves gets one from a third.
    Chain {
        /// Comes.
        host: HostKey,
        /// Takes its place.
        replacement: HostKey,
    },
}

/// How the slots that a change touches fare after it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Outcome {
    /// Their deficits' sum less that before.
    deficit: i64,
    /// The least of their scales.
    scale: f64,
}

impl Outcome {
    fn is_better_than(self, other: Outcome) -> bool {
        self.deficit < other.deficit
            || (self.deficit == other.deficit
                && self.scale > other.scale * (1.0 + MIN_RELATIVE_GAIN))
    }
}

/// The best change found so far.
#[derive(Clone, Copy, Debug)]
struct BestChange {
    /// Its outcome, or what a change has to beat.
    outcome: Outcome,
    /// The change, if one was found.
    change: Option<Change>,
}

impl BestChange {
    fn with_floor(outcome: Outcome) -> BestChange {
        BestChange {
            outcome,
            change: None,
        }
    }

    fn consider(&mut self, outcome: Outcome, change: Change) {
        if outcome.is_better_than(self.outcome) {
            self.outcome = outcome;
            self.change = Some(change);
        }
    }
}

/// Which kinds of changes a search may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AllowedChanges {
    /// Cuts may shift.
    pub(super) shift: bool,
    /// Changes may be made for rate, not only to let stages stand.
    pub(super) rate: bool,
}

impl SearchState<'_> {
    /// Assigns all free hosts that help, fastest first, each to the stage that is worst off.
    pub(super) fn assign_free_hosts(&mut self) {
        let host_table = self.host_table;
        for &host in &host_table.usable {
            if self.slot_of[host.index()].is_some() {
                continue;
            }
            let domain = self.domain(host);
            let slots = (0..self.slots.len()).filter(|&s| self.fits(host, s));
            let keyed = slots.map(|s| (self.weighted_scale(s, domain), s));
            let best = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            if let Some((_, slot)) = best {
                self.place(host, Some(slot));
            }
        }
    }

    /// Lower for slots that need a host of this domain more.
    fn weighted_scale(&self, slot: usize, domain: usize) -> f64 {
        let s = &self.slots[slot];
        let same_domain = s.hosts.iter().filter(|&&h| self.domain(h) == domain);
        let same_domain: f64 = same_domain.map(|&h| self.rate(h)).sum();
        let domains = self.host_table.domain_count as f64;
        s.scale_with(
            s.rate + SAME_DOMAIN_WEIGHT * domains * same_domain,
            s.length,
        )
    }

    /// Lets stages stand, then raises the slowest until no change helps or `goal` is reached.
    pub(super) fn improve(&mut self, goal: f64, allowed: AllowedChanges) {
        while self.reduce_deficit() {}
        while allowed.rate && self.scale() < goal && self.raise_scale(allowed.shift) {}
    }

    /// Brings a stage that would not stand closer to it, by the fewest hosts; returns whether a
    /// way was found.
    fn reduce_deficit(&mut self) -> bool {
        let deficits = (0..self.slots.len()).map(|s| (self.slots[s].deficit(), s));
        let mut deficient: Vec<(u32, usize)> = deficits.filter(|d| d.0 > 0).collect();
        deficient.sort_by_key(|&(deficit, s)| (std::cmp::Reverse(deficit), s));
        // Any outcome with a lower deficit beats this.
        let floor = Outcome {
            deficit: -1,
            scale: -1.0,
        };
        for (_, slot) in deficient {
            let mut best = BestChange::with_floor(floor);
            self.consider_moves(slot, &mut best);
            if best.change.is_none() {
                self.consider_swaps(slot, &mut best);
            }
            if let Some(change) = best.change {
                self.apply(slot, change);
                return true;
            }
            if redundancy::augment(self, slot) {
                return true;
            }
        }
        false
    }

    /// Raises the scale of the slowest slot; returns whether a way was found.
    fn raise_scale(&mut self, shift: bool) -> bool {
        let scales = (0..self.slots.len()).map(|s| (self.slots[s].scale(), s));
        let Some((scale, target)) = scales.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return false;
        };
        let floor = Outcome { deficit: 0, scale };
        let mut best = BestChange::with_floor(floor);
        self.consider_moves(target, &mut best);
        self.consider_swaps(target, &mut best);
        if shift {
            self.consider_shifts(target, &mut best);
        }
        if best.change.is_none() {
            self.consider_chains(target, &mut best);
        }
        let Some(change) = best.change else {
            return false;
        };
        self.apply(target, change);
        true
    }

    fn apply(&mut self, target: usize, change: Change) {
        match change {
            Change::Move { host } => self.place(host, Some(target)),
            Change::Swap { host, outgoing } => {
                let from = self.slot_of[host.index()];
                self.place(host, Some(target));
                self.place(outgoing, from);
            }
            Change::Shift { to } => {
                self.slots[target].length -= 1;
                self.slots[to].length += 1;
            }
            Change::Chain { host, replacement } => {
                let from = self.slot_of[host.index()];
                self.place(host, Some(target));
                self.place(replacement, from);
            }
        }
    }

    fn consider_moves(&self, target: usize, best: &mut BestChange) {
        for &host in &self.host_table.usable {
            if self.slot_of[host.index()] != Some(target) && self.fits(host, target) {
                best.consider(self.after_swap(target, host, None), Change::Move { host });
            }
        }
    }

    fn consider_swaps(&self, target: usize, best: &mut BestChange) {
        let outgoing_hosts = self.distinct_hosts(&self.slots[target].hosts);
        for &host in &self.host_table.usable {
            let from = self.slot_of[host.index()];
            if from == Some(target) || !self.fits(host, target) {
                continue;
            }
            for &outgoing in &outgoing_hosts {
                if from.is_none_or(|f| self.fits(outgoing, f)) {
                    let outcome = self.after_swap(target, host, Some(outgoing));
                    best.consider(outcome, Change::Swap { host, outgoing });
                }
            }
        }
    }

    fn consider_shifts(&self, target: usize, best: &mut BestChange) {
        if self.slots[target].length == 1 {
            return;
        }
        for to in 0..self.slots.len() {
            if let Some(outcome) = self.after_shift(target, to) {
                best.consider(outcome, Change::Shift { to });
            }
        }
    }

    /// One host of each kind among these.
    fn distinct_hosts(&self, hosts: &[HostKey]) -> Vec<HostKey> {
        let mut classes: Vec<HostKey> = Vec::new();
        for &host in hosts {
            if !classes
                .iter()
                .any(|&k| self.host_table.is_interchangeable(k, host))
            {
                classes.push(host);
            }
        }
        classes
    }

    /// Weighs moves whose gap a host of a third slot fills.
    fn consider_chains(&self, target: usize, best: &mut BestChange) {
        let classes: Vec<Vec<HostKey>> = self
            .slots
            .iter()
            .map(|s| self.distinct_hosts(&s.hosts))
            .collect();
        let others = || (0..self.slots.len()).filter(|&s| s != target);
        for from in others() {
            let fitting = classes[from].iter().filter(|&&h| self.fits(h, target));
            for &host in fitting {
                for third in others().filter(|&s| s != from) {
                    let fitting = classes[third].iter().filter(|&&h| self.fits(h, from));
                    for &replacement in fitting {
                        let outcome = self.after_chain([target, from, third], host, replacement);
                        best.consider(outcome, Change::Chain { host, replacement });
                    }
                }
            }
        }
    }

    fn after_swap(&self, target: usize, host: HostKey, outgoing: Option<HostKey>) -> Outcome {
        let target_outcome = self.exchange(&self.slots[target], outgoing, Some(host));
        let Some(from) = self.slot_of[host.index()] else {
            return target_outcome;
        };
        combine(
            target_outcome,
            self.exchange(&self.slots[from], Some(host), outgoing),
        )
    }

    fn after_chain(&self, slots: [usize; 3], host: HostKey, replacement: HostKey) -> Outcome {
        let [target, from, third] = slots.map(|s| &self.slots[s]);
        let first = self.exchange(target, None, Some(host));
        let second = self.exchange(from, Some(host), Some(replacement));
        combine(
            combine(first, second),
            self.exchange(third, Some(replacement), None),
        )
    }

    fn after_shift(&self, target: usize, to: usize) -> Option<Outcome> {
        let (donor, recipient) = (&self.slots[target], &self.slots[to]);
        if to == target || donor.model != recipient.model {
            return None;
        }
        let length = recipient.length + 1;
        let fits = |h: &HostKey| self.host_table.capacities[h.index()][recipient.model] >= length;
        if !recipient.hosts.iter().all(fits) {
            return None;
        }
        let donor_scale = donor.scale_with(donor.rate, donor.length - 1);
        let recipient_scale = recipient.scale_with(recipient.rate, length);
        Some(Outcome {
            deficit: 0,
            scale: donor_scale.min(recipient_scale),
        })
    }

    /// How a slot fares when one host leaves and another comes.
    fn exchange(&self, slot: &Slot, leaving: Option<HostKey>, joining: Option<HostKey>) -> Outcome {
        let lost_rate = leaving.map_or(0.0, |h| self.rate(h));
        let gained_rate = joining.map_or(0.0, |h| self.rate(h));
        let domain = |h: HostKey| self.domain(h);
        let deficit = slot.deficit_with(leaving.map(domain), joining.map(domain));
        Outcome {
            deficit: i64::from(deficit) - i64::from(slot.deficit()),
            scale: slot.scale_with(slot.rate - lost_rate + gained_rate, slot.length),
        }
    }
}

fn combine(a: Outcome, b: Outcome) -> Outcome {
    Outcome {
        deficit: a.deficit + b.deficit,
        scale: a.scale.min(b.scale),
    }
}
