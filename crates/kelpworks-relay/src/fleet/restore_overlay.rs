//! Keeps the entries known before a restore of the store until upstreams have registered again.
//!
//! A store that was restored from an older copy shows each entry in an earlier state, or not at
//! all, until its upstream has written it again, which takes about two seconds. Until then an
//! entry that is unchanged from the copy is replaced by the one known before the restore: an
//! upstream that is missing still receives work, and layers are those last known. An upstream that
//! had announced that it leaves counts as leaving for as long as its entry is registered.
//!
//! Limits: a daemon that starts while the store shows an older copy has no earlier entries to
//! compare with.

use std::borrow::Cow;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::Lifecycle;
use crate::adapter::UpstreamEntry;

/// Time within which live upstreams have written their entries again.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Entries known before the store was restored from an older copy.
#[derive(Clone, Debug, Default)]
pub(super) struct RestoreOverlay {
    /// Entries from before the restore, by id; empty once upstreams have had time to write theirs.
    before_restore: HashMap<Arc<str>, UpstreamEntry>,
    /// Entries as the restored store first showed them, by id.
    restored_copy: HashMap<Arc<str>, UpstreamEntry>,
    /// When the entries from before the restore are dropped; `None` once they have been.
    expires_at: Option<Instant>,
    /// Incarnations that had announced before the restore that they leave, while registered.
    leaving: HashSet<Arc<str>>,
}

impl RestoreOverlay {
    /// Starts the overlay when the first list of a later era replaces the entries that were in
    /// effect before.
    pub(super) fn begin(
        &mut self,
        before_restore: &[UpstreamEntry],
        restored_copy: &[UpstreamEntry],
        now: Instant,
    ) {
        let leaving = before_restore
            .iter()
            .filter(|e| e.lifecycle == Lifecycle::Leaving);
        self.leaving
            .extend(leaving.map(|e| Arc::clone(&e.instance)));
        self.before_restore = by_id(before_restore);
        self.restored_copy = by_id(restored_copy);
        self.expires_at = Some(now + REWRITE_TIMEOUT);
    }

    /// Drops the entries from before the restore once upstreams have had time to write theirs
    /// again; returns whether this call dropped them.
    pub(super) fn expire(&mut self, registered: &[UpstreamEntry], now: Instant) -> bool {
        if self.expires_at.is_none_or(|expires_at| now < expires_at) {
            return false;
        }
        self.expires_at = None;
        self.before_restore.clear();
        self.restored_copy.clear();
        let registered: HashSet<&Arc<str>> = registered.iter().map(|e| &e.instance).collect();
        self.leaving.retain(|i| registered.contains(i));
        true
    }

    /// Returns the entries in effect, given those that are registered now.
    pub(super) fn apply<'a>(&self, registered: &'a [UpstreamEntry]) -> Cow<'a, [UpstreamEntry]> {
        if self.before_restore.is_empty() && self.leaving.is_empty() {
            return Cow::Borrowed(registered);
        }
        let ids: HashSet<&Arc<str>> = registered.iter().map(|e| &e.id).collect();
        let is_missing = |id: &Arc<str>| !ids.contains(id) && !self.restored_copy.contains_key(id);
        let missing = self.before_restore.iter().filter(|(id, _)| is_missing(id));
        let registered = registered.iter().map(|e| self.last_known(e));
        let entries = registered.chain(missing.map(|(_, e)| e));
        entries.cloned().map(|e| self.keep_leaving(e)).collect()
    }

    /// Returns the entry from before the restore if `entry` is unchanged from the restored copy.
    fn last_known<'a>(&'a self, entry: &'a UpstreamEntry) -> &'a UpstreamEntry {
        let is_copy = self.restored_copy.get(&entry.id) == Some(entry);
        let before_restore = self.before_restore.get(&entry.id).filter(|_| is_copy);
        before_restore.unwrap_or(entry)
    }

    /// Marks an entry as leaving if its upstream had announced so before the restore.
    fn keep_leaving(&self, entry: UpstreamEntry) -> UpstreamEntry {
        match self.leaving.contains(&entry.instance) {
            true => UpstreamEntry {
                lifecycle: Lifecycle::Leaving,
                ..entry
            },
            false => entry,
        }
    }
}

fn by_id(entries: &[UpstreamEntry]) -> HashMap<Arc<str>, UpstreamEntry> {
    let by_id = entries.iter().map(|e| (Arc::clone(&e.id), e.clone()));
    by_id.collect()
}
