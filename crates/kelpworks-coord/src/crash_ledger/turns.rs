//! Time slots in which suspects run, so that the next crash belongs to one of them.

use std::collections::HashMap;
use std::hash::Hash;

use crate::time::Instant;
use crate::time::Span;

/// The slots of some subjects. Daemons that know the same facts agree on them.
#[derive(Clone, Debug)]
pub(super) struct Turns<S> {
    /// Length of a slot. A subject begins to run in its first half.
    length: Span,
    /// The place of each subject in the order of the slots.
    ranks: HashMap<S, usize>,
    /// Time from which the slots count.
    from: Instant,
}

impl<S: Copy + Ord + Hash> Turns<S> {
    pub(super) fn new(length: Span) -> Turns<S> {
        Turns {
            length,
            ranks: HashMap::new(),
            from: Instant::ZERO,
        }
    }

    /// Assigns slots to these subjects, which count from `from`: first to the subject with the smallest key.
    pub(super) fn assign<K: Ord>(&mut self, subjects: impl Iterator<Item = (K, S)>, from: Instant) {
        let mut order: Vec<(K, S)> = subjects.collect();
        order.sort_unstable();
        let subjects = order.into_iter().map(|(_, subject)| subject);
        self.ranks = subjects.enumerate().map(|(rank, s)| (s, rank)).collect();
        self.from = from;
    }

    pub(super) fn clear(&mut self) {
        self.ranks.clear();
    }

    /// Returns the place of a subject in the order; `None` if it has no slot.
    pub(super) fn rank(&self, subject: S) -> Option<usize> {
        self.ranks.get(&subject).copied()
    }

    /// Returns the time until the subject of this rank may begin to run; zero in its turn. `lanes` subjects
    /// run at a time.
    pub(super) fn time_to_turn(&self, rank: usize, lanes: usize, now: Instant) -> Span {
        let turn = self.length.as_millis().max(1);
        let round = turn * self.ranks.len().div_ceil(lanes) as u64;
        let begin = turn * (rank / lanes) as u64;
        let in_round = now.since(self.from).as_millis() % round;
        match in_round {
            at if at < begin => Span::from_millis(begin - at),
            at if at < begin + turn / 2 => Span::ZERO,
            at => Span::from_millis(begin + round - at),
        }
    }
}
