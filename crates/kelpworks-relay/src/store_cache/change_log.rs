//! Recent changes of the entries, which bring a peer with an earlier version up to date.
//!
//! The entries of a large fleet are hundreds of kilobytes and change many times a second while it
//! starts; a peer lacks only the few that changed since its own version.
//!
//! Limits: the log covers the time since the last whole list, at most [`MAX_REMOVED`] removals, and
//! one era. A peer with an older version needs the whole list.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use kelpworks_coord::id::Version;

/// Maximum number of removed entries that the log remembers: more than a fleet loses in the seconds
/// by which a connected peer lags behind.
const MAX_REMOVED: usize = 4_096;

/// Versions in which entries last changed.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    /// Version of the latest change of each entry that exists.
    changed: BTreeMap<Arc<str>, Version>,
    /// Removed entries in the order of their removal.
    removed: VecDeque<(Version, Arc<str>)>,
    /// All changes after this version are in the log.
    complete_since: Version,
}

impl ChangeLog {
    /// Forgets all changes, since the entries were replaced by a list of this version.
    pub(super) fn reset(&mut self, version: Version) {
        *self = ChangeLog {
            complete_since: version,
            ..ChangeLog::default()
        };
    }

    /// Records that an entry changed in a version.
    pub(super) fn record_put(&mut self, name: &Arc<str>, version: Version) {
        self.changed.insert(Arc::clone(name), version);
    }

    /// Records that an entry was removed in a version, also if it was not known.
    pub(super) fn record_removal(&mut self, name: &Arc<str>, version: Version) {
        self.changed.remove(name);
        self.removed.push_back((version, Arc::clone(name)));
        if self.removed.len() > MAX_REMOVED
            && let Some((oldest, _)) = self.removed.pop_front()
        {
            self.complete_since = self.complete_since.max(oldest);
        }
    }

    /// Returns the names of the entries that changed or were removed after `held`; `None` if the
    /// log does not reach back that far.
    pub(super) fn names_since(&self, held: Version) -> Option<impl Iterator<Item = &Arc<str>>> {
        if held.era != self.complete_since.era || held < self.complete_since {
            return None;
        }
        let changed = self.changed.iter().filter(move |&(_, &v)| v > held);
        let is_after = move |(version, _): &&(Version, Arc<str>)| *version > held;
        let removed = self.removed.iter().rev().take_while(is_after);
        let removed = removed.filter(|(_, name)| !self.changed.contains_key(name));
        let changed = changed.map(|(name, _)| name);
        Some(changed.chain(removed.map(|(_, name)| name)))
    }
}
