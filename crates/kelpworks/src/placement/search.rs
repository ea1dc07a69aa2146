//! Balances the rates of stages: a greedy start, then local search on the slowest stage.
//!
//! First, every stage is brought to stand after any one loss, by moves, swaps or augmenting paths.
//! Then each step takes the slowest stage and makes the one change that helps it most: take a host
//! from another stage, swap two hosts, give a layer to another stage of the same model, or take a
//! host whose stage gets one from a third. A change must leave all its stages faster than the
//! slowest was, so the search ends.

use super::input::HostKey;
use super::standing;
use super::state::Slot;
use super::state::State;

/// Least relative gain for which a change is made.
const EPSILON: f64 = 1e-9;
/// Share of a slot's own failure domain in the key of the greedy start; spreads each stage over
/// the domains without giving up much balance.
const DOMAIN_SHARE: f64 = 0.5;

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
        back: HostKey,
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
        next: HostKey,
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
    fn better(self, other: Outcome) -> bool {
        self.deficit < other.deficit
            || (self.deficit == other.deficit && self.scale > other.scale * (1.0 + EPSILON))
    }
}

/// The best change found so far.
#[derive(Clone, Copy, Debug)]
struct Best {
    /// Its outcome, or what a change has to beat.
    outcome: Outcome,
    /// The change, if one was found.
    change: Option<Change>,
}

impl Best {
    fn above(outcome: Outcome) -> Best {
        Best {
            outcome,
            change: None,
        }
    }

    fn weigh(&mut self, outcome: Outcome, change: Change) {
        if outcome.better(self.outcome) {
            self.outcome = outcome;
            self.change = Some(change);
        }
    }
}

/// Which kinds of changes a search may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Allowed {
    /// Cuts may shift.
    pub(super) shift: bool,
    /// Changes may be made for rate, not only to let stages stand.
    pub(super) rate: bool,
}

impl State<'_> {
    /// Assigns all free hosts that help, fastest first, each to the stage that is worst off.
    pub(super) fn fill(&mut self) {
        let view = self.view;
        for &host in &view.usable {
            if self.at[host.index()].is_some() {
                continue;
            }
            let domain = self.domain(host);
            let slots = (0..self.slots.len()).filter(|&s| self.fits(host, s));
            let keyed = slots.map(|s| (self.need(s, domain), s));
            let best = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            if let Some((_, slot)) = best {
                self.place(host, Some(slot));
            }
        }
    }

    /// Lower for slots that need a host of this domain more.
    fn need(&self, slot: usize, domain: usize) -> f64 {
        let s = &self.slots[slot];
        let here = s.hosts.iter().filter(|&&h| self.domain(h) == domain);
        let here: f64 = here.map(|&h| self.rate(h)).sum();
        let domains = self.view.domain_count as f64;
        s.scale_with(s.rate + DOMAIN_SHARE * domains * here, s.length)
    }

    /// Lets stages stand, then raises the slowest until no change helps or `goal` is reached.
    pub(super) fn improve(&mut self, goal: f64, allowed: Allowed) {
        while self.mend() {}
        while allowed.rate && self.scale() < goal && self.raise(allowed.shift) {}
    }

    /// Brings a stage that would not stand closer to it, by the fewest hosts; returns whether a
    /// way was found.
    fn mend(&mut self) -> bool {
        let deficits = (0..self.slots.len()).map(|s| (self.slots[s].deficit(), s));
        let mut lacking: Vec<(u32, usize)> = deficits.filter(|d| d.0 > 0).collect();
        lacking.sort_by_key(|&(deficit, s)| (std::cmp::Reverse(deficit), s));
        // Any outcome with a lower deficit beats this.
        let floor = Outcome {
            deficit: -1,
            scale: -1.0,
        };
        for (_, slot) in lacking {
            let mut best = Best::above(floor);
            self.weigh_moves(slot, &mut best);
            if best.change.is_none() {
                self.weigh_swaps(slot, &mut best);
            }
            if let Some(change) = best.change {
                self.apply(slot, change);
                return true;
            }
            if standing::augment(self, slot) {
                return true;
            }
        }
        false
    }

    /// Raises the scale of the slowest slot; returns whether a way was found.
    fn raise(&mut self, shift: bool) -> bool {
        let scales = (0..self.slots.len()).map(|s| (self.slots[s].scale(), s));
        let Some((scale, worst)) = scales.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return false;
        };
        let floor = Outcome { deficit: 0, scale };
        let mut best = Best::above(floor);
        self.weigh_moves(worst, &mut best);
        self.weigh_swaps(worst, &mut best);
        if shift {
            self.weigh_shifts(worst, &mut best);
        }
        if best.change.is_none() {
            self.weigh_chains(worst, &mut best);
        }
        let Some(change) = best.change else {
            return false;
        };
        self.apply(worst, change);
        true
    }

    fn apply(&mut self, worst: usize, change: Change) {
        match change {
            Change::Move { host } => self.place(host, Some(worst)),
            Change::Swap { host, back } => {
                let from = self.at[host.index()];
                self.place(host, Some(worst));
                self.place(back, from);
            }
            Change::Shift { to } => {
                self.slots[worst].length -= 1;
                self.slots[to].length += 1;
            }
            Change::Chain { host, next } => {
                let from = self.at[host.index()];
                self.place(host, Some(worst));
                self.place(next, from);
            }
        }
    }

    fn weigh_moves(&self, worst: usize, best: &mut Best) {
        for &host in &self.view.usable {
            if self.at[host.index()] != Some(worst) && self.fits(host, worst) {
                best.weigh(self.after_swap(worst, host, None), Change::Move { host });
            }
        }
    }

    fn weigh_swaps(&self, worst: usize, best: &mut Best) {
        let backs = self.distinct(&self.slots[worst].hosts);
        for &host in &self.view.usable {
            let from = self.at[host.index()];
            if from == Some(worst) || !self.fits(host, worst) {
                continue;
            }
            for &back in &backs {
                if from.is_none_or(|f| self.fits(back, f)) {
                    let outcome = self.after_swap(worst, host, Some(back));
                    best.weigh(outcome, Change::Swap { host, back });
                }
            }
        }
    }

    fn weigh_shifts(&self, worst: usize, best: &mut Best) {
        if self.slots[worst].length == 1 {
            return;
        }
        for to in 0..self.slots.len() {
            if let Some(outcome) = self.after_shift(worst, to) {
                best.weigh(outcome, Change::Shift { to });
            }
        }
    }

    /// One host of each kind among these.
    fn distinct(&self, hosts: &[HostKey]) -> Vec<HostKey> {
        let mut kinds: Vec<HostKey> = Vec::new();
        for &host in hosts {
            if !kinds.iter().any(|&k| self.view.alike(k, host)) {
                kinds.push(host);
            }
        }
        kinds
    }

    /// Weighs moves whose gap a host of a third slot fills.
    fn weigh_chains(&self, worst: usize, best: &mut Best) {
        let kinds: Vec<Vec<HostKey>> = self.slots.iter().map(|s| self.distinct(&s.hosts)).collect();
        let others = || (0..self.slots.len()).filter(|&s| s != worst);
        for from in others() {
            let fitting = kinds[from].iter().filter(|&&h| self.fits(h, worst));
            for &host in fitting {
                for third in others().filter(|&s| s != from) {
                    let fitting = kinds[third].iter().filter(|&&h| self.fits(h, from));
                    for &next in fitting {
                        let outcome = self.after_chain([worst, from, third], host, next);
                        best.weigh(outcome, Change::Chain { host, next });
                    }
                }
            }
        }
    }

    fn after_swap(&self, worst: usize, host: HostKey, back: Option<HostKey>) -> Outcome {
        let gained = self.exchange(&self.slots[worst], back, Some(host));
        let Some(from) = self.at[host.index()] else {
            return gained;
        };
        join(gained, self.exchange(&self.slots[from], Some(host), back))
    }

    fn after_chain(&self, slots: [usize; 3], host: HostKey, next: HostKey) -> Outcome {
        let [worst, from, third] = slots.map(|s| &self.slots[s]);
        let first = self.exchange(worst, None, Some(host));
        let second = self.exchange(from, Some(host), Some(next));
        join(join(first, second), self.exchange(third, Some(next), None))
    }

    fn after_shift(&self, worst: usize, to: usize) -> Option<Outcome> {
        let (giver, taker) = (&self.slots[worst], &self.slots[to]);
        if to == worst || giver.model != taker.model {
            return None;
        }
        let length = taker.length + 1;
        let fits = |h: &HostKey| self.view.capacities[h.index()][taker.model] >= length;
        if !taker.hosts.iter().all(fits) {
            return None;
        }
        let given = giver.scale_with(giver.rate, giver.length - 1);
        let taken = taker.scale_with(taker.rate, length);
        Some(Outcome {
            deficit: 0,
            scale: given.min(taken),
        })
    }

    /// How a slot fares when one host leaves and another comes.
    fn exchange(&self, slot: &Slot, leaves: Option<HostKey>, comes: Option<HostKey>) -> Outcome {
        let lost = leaves.map_or(0.0, |h| self.rate(h));
        let won = comes.map_or(0.0, |h| self.rate(h));
        let domain = |h: HostKey| self.domain(h);
        let deficit = slot.deficit_with(leaves.map(domain), comes.map(domain));
        Outcome {
            deficit: i64::from(deficit) - i64::from(slot.deficit()),
            scale: slot.scale_with(slot.rate - lost + won, slot.length),
        }
    }
}

fn join(a: Outcome, b: Outcome) -> Outcome {
    Outcome {
        deficit: a.deficit + b.deficit,
        scale: a.scale.min(b.scale),
    }
}
