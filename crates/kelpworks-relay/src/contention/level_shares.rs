//! Shares of the levels in the capacity, by start-time fair queueing.

use super::levels::Level;
use super::levels::MAX_LEVELS;

/// Capacity that a level gets, relative to the next less urgent one that waits.
const LEVEL_RATIO: f64 = 8.0;

/// A set of levels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LevelSet(u16);

impl LevelSet {
    pub(super) fn insert(&mut self, index: usize) {
        self.0 |= 1 << index;
    }

    pub(super) fn remove(&mut self, index: usize) {
        self.0 &= !(1 << index);
    }

    fn contains(self, index: usize) -> bool {
        self.0 & (1 << index) != 0
    }

    /// Number of levels in the set that are more urgent than `level`.
    fn more_urgent(self, level: Level) -> u32 {
        let more_urgent = (1 << level.index()) - 1;
        (self.0 & more_urgent).count_ones()
    }
}

/// What each level has taken beyond its share. A level's virtual cost grows with the number of more urgent levels that
/// wait when it is served, not with its number: two levels that wait share in the same way whichever they are, and a
/// level that was served alone has no debt to those that come later.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LevelShares {
    /// Virtual start time of the next request of each level, relative to the virtual time of the queue; 0 or more.
    ahead: [f64; MAX_LEVELS],
}

impl LevelShares {
    /// Returns the level of `waiting` that is served next; of equal ones the most urgent.
    pub(super) fn first(&self, waiting: LevelSet) -> Option<Level> {
        let levels = (0..MAX_LEVELS).filter(|&index| waiting.contains(index));
        let first = levels.min_by(|&a, &b| self.ahead[a].total_cmp(&self.ahead[b]));
        first.map(|index| Level(index as u8))
    }

    /// Charges a cost to a level. `waiting` are the levels that waited before, this one included; it need not be the
    /// first of them.
    pub(super) fn charge(&mut self, level: Level, cost: f64, waiting: LevelSet) {
        let virtual_now = self.first(waiting).map_or(0.0, |l| self.ahead[l.index()]);
        let more_urgent = waiting.more_urgent(level) as i32;
        self.ahead[level.index()] += cost * LEVEL_RATIO.powi(more_urgent);
        for ahead in &mut self.ahead {
            // A level that does not wait keeps no credit.
            *ahead = (*ahead - virtual_now).max(0.0);
        }
    }
}
