//! Registrations while the store shows less of them than is true.
//!
//! A store that has come back from an older copy shows each entry as it once was, or not at all, until
//! its upstream has written it again, which takes about two seconds. Meanwhile an entry that stands as
//! the copy had it yields to the one that was known before: an upstream that is missing still takes
//! work, and layers are those that it had last. An upstream that had said that it leaves goes on leaving
//! for as long as its entry stands.
//!
//! Limits: a daemon that starts while the store shows an older copy has nothing to set against it.

use std::borrow::Cow;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::Lifecycle;
use crate::adapter::UpstreamEntry;

/// Time within which upstreams that live have written their entries again.
const REWRITTEN_WITHIN: Duration = Duration::from_secs(2);

/// What was known before the store came back from an older copy.
#[derive(Clone, Debug, Default)]
pub(super) struct Restored {
    /// Entries from before, by id; empty once upstreams have had time to write theirs.
    before: HashMap<Arc<str>, UpstreamEntry>,
    /// Entries as the copy showed them first, by id.
    copy: HashMap<Arc<str>, UpstreamEntry>,
    until: Option<Instant>,
    /// Incarnations that had said that they leave, as long as they are registered.
    leaving: HashSet<Arc<str>>,
}

impl Restored {
    /// Begins when the first list of a later era replaces the entries that counted before.
    pub(super) fn begin(&mut self, before: &[UpstreamEntry], copy: &[UpstreamEntry], now: Instant) {
        let leaving = before.iter().filter(|e| e.lifecycle == Lifecycle::Leaving);
        self.leaving
            .extend(leaving.map(|e| Arc::clone(&e.instance)));
        self.before = by_id(before);
        self.copy = by_id(copy);
        self.until = Some(now + REWRITTEN_WITHIN);
    }

    /// Forgets the entries from before once upstreams have had time to write theirs again; whether that
    /// is so now for the first time.
    pub(super) fn expire(&mut self, registered: &[UpstreamEntry], now: Instant) -> bool {
        if self.until.is_none_or(|until| now < until) {
            return false;
        }
        self.until = None;
        self.before.clear();
        self.copy.clear();
        let registered: HashSet<&Arc<str>> = registered.iter().map(|e| &e.instance).collect();
        self.leaving.retain(|i| registered.contains(i));
        true
    }

    /// The entries that hold, given those that are registered now.
    pub(super) fn apply<'a>(&self, registered: &'a [UpstreamEntry]) -> Cow<'a, [UpstreamEntry]> {
        if self.before.is_empty() && self.leaving.is_empty() {
            return Cow::Borrowed(registered);
        }
        let ids: HashSet<&Arc<str>> = registered.iter().map(|e| &e.id).collect();
        let is_missing = |id: &Arc<str>| !ids.contains(id) && !self.copy.contains_key(id);
        let missing = self.before.iter().filter(|(id, _)| is_missing(id));
        let registered = registered.iter().map(|e| self.last_known(e));
        let entries = registered.chain(missing.map(|(_, e)| e));
        entries.cloned().map(|e| self.still_leaving(e)).collect()
    }

    fn last_known<'a>(&'a self, entry: &'a UpstreamEntry) -> &'a UpstreamEntry {
        let is_copy = self.copy.get(&entry.id) == Some(entry);
        let before = self.before.get(&entry.id).filter(|_| is_copy);
        before.unwrap_or(entry)
    }

    fn still_leaving(&self, entry: UpstreamEntry) -> UpstreamEntry {
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
