//! Balances the rates of stages: a greedy start, then local search on the slowest stage.
//!
//! First, every stage is made redundant where possible, by moves, swaps or augmenting paths. Then
//! each step takes the slowest stage and applies the one change that helps it most: move a host
//! from another stage, swap two hosts, shift a layer to another stage of the same model, or move a
//! host whose stage gets a replacement from a third stage. A change must leave all stages that it
//! touches faster than the slowest stage was, so the search terminates.

use super::input::HostKey;
use super::redundancy;
use super::state::SearchState;
use super::state::Slot;

/// Least relative gain in scale for which a change is made; excludes rounding errors.
const MIN_RELATIVE_GAIN: f64 = 1e-9;
/// Weight of a slot's rate within the host's failure domain in the sort key of the greedy start;
/// spreads each stage over the failure domains at little cost in balance.
const SAME_DOMAIN_WEIGHT: f64 = 0.5;

/// A change that helps a target slot. It involves up to two other slots.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// Moves a host to the target slot from another slot or from none.
    Move {
        /// Host that joins the target slot.
        host: HostKey,
    },
    /// Exchanges a host of the target slot for a host of another slot or an unassigned host.
    Swap {
        /// Host that joins the target slot.
        host: HostKey,
        /// Host of the target slot that takes the place of `host`.
        outgoing: HostKey,
    },
    /// Shortens the target slot by one layer and lengthens another slot of its model; the ranges of
    /// the slots between them shift by one layer.
    Shift {
        /// Index of the slot that becomes longer.
        to: usize,
    },
    /// Moves a host to the target slot and a host of a third slot to the slot that it leaves.
    Chain {
        /// Host that joins the target slot.
        host: HostKey,
        /// Host of the third slot that takes the place of `host`.
        replacement: HostKey,
    },
}

/// Effect of a change on the slots that it touches.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Outcome {
    /// Change of the sum of their deficits; negative when it goes down.
    deficit: i64,
    /// Least of their scales after the change.
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
    /// Outcome of `change`, or without one the outcome that a change has to exceed.
    outcome: Outcome,
    /// Absent until a change exceeds the floor.
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
    /// Layers may shift between stages of a model.
    pub(super) shift: bool,
    /// Changes may be made to raise the scale, not only to make stages redundant.
    pub(super) rate: bool,
}

impl SearchState<'_> {
    /// Assigns each unassigned host, fastest first, to the stage that needs it most of those whose
    /// layers fit on it.
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

    /// Sort key of the greedy start: lower for slots that need a host of this failure domain more.
    /// It is the scale that the slot would have if its rate in this domain were added once more,
    /// weighted by [`SAME_DOMAIN_WEIGHT`] and the number of failure domains.
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

    /// Makes stages redundant, then raises the scale of the slowest slot until no change helps or
    /// the scale reaches `goal`.
    pub(super) fn improve(&mut self, goal: f64, allowed: AllowedChanges) {
        while self.reduce_deficit() {}
        while allowed.rate && self.scale() < goal && self.raise_scale(allowed.shift) {}
    }

    /// Lowers the deficit of the first stage for which that is possible, highest deficit first,
    /// with the fewest moves of hosts. Returns whether a change was made.
    fn reduce_deficit(&mut self) -> bool {
        let deficits = (0..self.slots.len()).map(|s| (self.slots[s].deficit(), s));
        let mut deficient: Vec<(u32, usize)> = deficits.filter(|d| d.0 > 0).collect();
        deficient.sort_by_key(|&(deficit, s)| (std::cmp::Reverse(deficit), s));
        // Any outcome that lowers the deficit is better than this.
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

    /// Raises the scale of the slowest slot by one change; returns whether a change was made.
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

    /// Returns one host of each set of interchangeable hosts among `hosts`.
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

    /// Considers moves of a host whose slot gets a replacement from a third slot.
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

    /// Returns the outcome for one slot when a host leaves it and another joins it.
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
