//! Urgency levels, to which the priorities of a service's requests are mapped.

/// Maximum number of levels of a service.
pub const MAX_LEVELS: usize = 10;

/// Urgency of a request among those of its service: 0 is the most urgent, the least urgent is `MAX_LEVELS - 1`. Higher
/// values count as the least urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level(pub u8);

impl Level {
    /// Returns the position of the level in arrays of `MAX_LEVELS` values.
    pub fn index(self) -> usize {
        usize::from(self.0).min(MAX_LEVELS - 1)
    }
}

/// Levels of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UrgencyLevels {
    /// Distinct priorities, ascending; at most `MAX_LEVELS`, of which the last one stands for all higher ones as well.
    priorities: Vec<u32>,
}

impl UrgencyLevels {
    /// Creates the levels of a service from the priorities of its requests, in any order.
    pub fn new(priorities: impl IntoIterator<Item = u32>) -> UrgencyLevels {
        let mut priorities: Vec<u32> = priorities.into_iter().collect();
        priorities.sort_unstable();
        priorities.dedup();
        priorities.truncate(MAX_LEVELS);
        UrgencyLevels { priorities }
    }

    /// Whether requests of the service differ in urgency.
    pub fn is_contended(&self) -> bool {
        self.priorities.len() >= 2
    }

    /// Returns the level of a priority. One that the service does not have counts as the next less urgent one that it
    /// has, or else as its last.
    pub fn level_of(&self, priority: u32) -> Level {
        let level = self.priorities.partition_point(|&p| p < priority);
        let last = self.priorities.len().saturating_sub(1);
        Level(level.min(last) as u8)
    }

    /// Number of levels, at most `MAX_LEVELS`.
    pub fn len(&self) -> usize {
        self.priorities.len()
    }

    /// Whether the service has no priorities.
    pub fn is_empty(&self) -> bool {
        self.priorities.is_empty()
    }
}
