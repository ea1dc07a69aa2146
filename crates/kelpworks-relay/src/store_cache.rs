//! Cache of the store objects that daemons use: the configuration and the entries of upstreams.
//!
//! The texts are kept unchanged, so that a daemon that can't read the store can get them from a
//! peer. Newer texts replace older ones and never the reverse, whether they come from the store or
//! a peer.

mod change_log;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use kelpworks::sync::lock;
use kelpworks_coord::id::Version;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::adapter::Adapter;
use crate::adapter::StartTime;
use crate::adapter::UpstreamEntry;
use crate::config::RoutingTable;
use crate::shared::Shared;
use change_log::ChangeLog;

/// Maximum time by which an upstream's clock may be ahead of this daemon's. Clocks jump by seconds;
/// operators correct one that is an hour off before it matters here.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(3_600);

/// Origin of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Read from the store.
    Store,
    /// Received from a peer.
    Peer,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
        }
    }
}

/// Texts of the entries of upstreams, as of a version.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Entries {
    /// Version of the list that the entries belong to.
    #[serde(flatten)]
    pub version: Version,
    /// Text of each entry, by the name of its store object.
    pub texts: BTreeMap<Arc<str>, Arc<str>>,
}

/// A change of the entry of one upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EntryChange {
    /// Name of the store object.
    pub name: Arc<str>,
    /// New text; `None` when the entry was deleted.
    pub text: Option<Arc<str>>,
}

/// Changes that lead from an earlier version of the entries to a later one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EntryChanges {
    /// Version that the changes start from, or an earlier one.
    pub base: Version,
    /// Version of the entries after the changes.
    pub version: Version,
    /// The changes, at most one for each entry.
    pub changes: Vec<EntryChange>,
}

/// Text of an entry with its decoded form, which is `None` for an invalid entry.
#[derive(Clone, Debug)]
struct DecodedEntry {
    text: Arc<str>,
    entry: Option<UpstreamEntry>,
}

#[derive(Debug, Default)]
struct CacheState {
    configuration: Arc<str>,
    entries: Entries,
    change_log: ChangeLog,
    /// Decoded form of `entries`. An entry is decoded again only when its text changes.
    decoded: BTreeMap<Arc<str>, DecodedEntry>,
}

impl CacheState {
    /// Applies changes that lead to the entries of a version.
    fn apply(&mut self, changes: Vec<EntryChange>, version: Version) {
        for EntryChange { name, text } in changes {
            match text {
                Some(text) => {
                    self.change_log.record_put(&name, version);
                    self.entries.texts.insert(name, text);
                }
                None => {
                    self.change_log.record_removal(&name, version);
                    self.entries.texts.remove(&name);
                }
            };
        }
        self.entries.version = version;
    }

    /// Decodes the entries whose texts have changed and returns all valid entries.
    fn decode_changed<A: Adapter>(&mut self) -> Vec<UpstreamEntry> {
        let CacheState {
            entries, decoded, ..
        } = self;
        decoded.retain(|name, _| entries.texts.contains_key(name));
        for (name, text) in &entries.texts {
            if decoded.get(name).is_none_or(|d| d.text != *text) {
                let entry = decode_entry::<A>(name, text);
                let text = Arc::clone(text);
                decoded.insert(Arc::clone(name), DecodedEntry { text, entry });
            }
        }
        decoded.values().filter_map(|d| d.entry.clone()).collect()
    }
}

/// Latest texts from the store. Updates the routing table and the fleet, which are built from them.
#[derive(Debug)]
pub struct StoreCache {
    shared: Arc<Shared>,
    state: Mutex<CacheState>,
    /// Latest configuration version that any peer has reported as active; never decreases.
    newest_peer_version: AtomicU64,
    /// Notified when another configuration becomes active.
    configuration_replaced: Notify,
}

impl StoreCache {
    /// Returns an empty cache that updates `shared`.
    pub fn new(shared: Arc<Shared>) -> StoreCache {
        StoreCache {
            shared,
            state: Mutex::default(),
            newest_peer_version: AtomicU64::new(0),
            configuration_replaced: Notify::new(),
        }
    }

    /// Waits until the active configuration has changed since the last call returned.
    pub(crate) async fn configuration_changed(&self) {
        self.configuration_replaced.notified().await;
    }

    /// Records the version of the configuration that is active at a peer.
    pub(crate) fn note_peer_version(&self, version: u64) {
        self.newest_peer_version
            .fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the version of the active configuration; 0 when none is known.
    pub fn version(&self) -> u64 {
        self.shared.table.load().version()
    }

    /// Returns the version of the list of entries.
    pub fn entries_version(&self) -> Version {
        self.state().entries.version
    }

    /// Returns the text of the active configuration; empty when none is known.
    pub fn configuration(&self) -> Arc<str> {
        Arc::clone(&self.state().configuration)
    }

    /// Returns a copy of the entries with their version.
    pub fn entries(&self) -> Entries {
        self.state().entries.clone()
    }

    /// Activates a configuration unless one of the same or a later version is active. Returns false
    /// when it is invalid.
    pub fn put_configuration<A: Adapter>(&self, text: &str, source: Source) -> bool {
        let configuration = match A::decode_configuration(text) {
            Ok(configuration) => configuration,
            Err(e) => {
                warn!(error:% = e, source:% = source.as_str(); "configuration can't be read");
                return false;
            }
        };
        let mut state = self.state();
        let old = self.shared.table.load().version();
        let version = configuration.version;
        if version <= old {
            return true;
        }
        let peer_version = self.newest_peer_version.load(Ordering::Relaxed);
        if old == 0 && version < peer_version {
            // The list may be seconds old, or the store an older copy. The peer's text will follow.
            info!(
                target: "decision",
                version,
                elsewhere = peer_version,
                source:% = source.as_str();
                "configuration ignored: a peer has a later version"
            );
            return true;
        }
        state.configuration = Arc::from(text);
        self.shared
            .table
            .store(Arc::new(RoutingTable::new(configuration)));
        drop(state);
        self.shared.notify_state_change();
        self.configuration_replaced.notify_one();
        info!(
            target: "decision",
            old,
            version,
            source:% = source.as_str();
            "configuration activated"
        );
        metrics::gauge!("kelpworks_config_version").set(version as f64);
        true
    }

    /// Replaces the whole list of entries, unless the cached one is newer.
    pub fn put_entries<A: Adapter>(&self, entries: Entries, source: Source) {
        let mut state = self.state();
        if entries.version < state.entries.version {
            return;
        }
        state.change_log.reset(entries.version);
        state.entries = entries;
        self.publish::<A>(&mut state, source);
    }

    /// Applies changes up to `version`, unless the cached list is newer. Changes of a later era are
    /// ignored, since they apply to a different list.
    pub fn change_entries<A: Adapter>(&self, changes: Vec<EntryChange>, version: Version) {
        let mut state = self.state();
        if version < state.entries.version || version.era > state.entries.version.era {
            return;
        }
        state.apply(changes, version);
        self.publish::<A>(&mut state, Source::Store);
    }

    /// Applies the changes that a peer sent. Changes that do not continue the cached list are
    /// ignored: its version is before their base, after their end, or of another era.
    pub fn apply_peer_changes<A: Adapter>(&self, changes: EntryChanges) {
        let mut state = self.state();
        let held = state.entries.version;
        let EntryChanges {
            base,
            version,
            changes,
        } = changes;
        if version <= held {
            return;
        }
        if held < base || held.era != version.era {
            info!(target: "decision", held:%, base:%, version:%; "changes of entries ignored: gap");
            metrics::counter!("kelpworks_ignored_entry_changes_total").increment(1);
            return;
        }
        state.apply(changes, version);
        self.publish::<A>(&mut state, Source::Peer);
    }

    /// Returns the changes of the entries since the version that a peer holds; `None` if they are
    /// not known and the peer needs all entries.
    pub fn changes_since(&self, held: Version) -> Option<EntryChanges> {
        let state = self.state();
        let change = |name: &Arc<str>| EntryChange {
            name: Arc::clone(name),
            text: state.entries.texts.get(name).cloned(),
        };
        let names = state.change_log.names_since(held)?;
        Some(EntryChanges {
            base: held,
            version: state.entries.version,
            changes: names.map(change).collect(),
        })
    }

    /// Decodes the entries and replaces the upstreams of the fleet with them.
    fn publish<A: Adapter>(&self, state: &mut CacheState, source: Source) {
        let decoded = state.decode_changed::<A>();
        let version = state.entries.version;
        let mut fleet = self.shared.fleet();
        let changes = fleet.replace(decoded, version, Instant::now());
        drop(fleet);
        self.shared.upstreams_changed(&changes, source.as_str());
    }

    fn state(&self) -> MutexGuard<'_, CacheState> {
        lock(&self.state)
    }
}

/// Decodes an entry. An invalid entry is logged and ignored, and the others stay in effect.
fn decode_entry<A: Adapter>(name: &str, text: &str) -> Option<UpstreamEntry> {
    let reason = match A::decode_upstream(name, text) {
        Ok(entry) if starts_in_future(&entry) => "starts in the future".to_owned(),
        Ok(entry) => return Some(entry),
        Err(e) => e.to_string(),
    };
    warn!(upstream:% = name, error:% = reason; "upstream left out");
    metrics::counter!("kelpworks_unreadable_entries_total").increment(1);
    None
}

/// Whether an entry's start time is too far in the future to be true. If it were accepted, no real
/// restart could replace it.
fn starts_in_future(entry: &UpstreamEntry) -> bool {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A local clock before 1970 gives no basis for a check.
    let Ok(now) = now else {
        return false;
    };
    let latest = (now + MAX_CLOCK_LEAD).as_millis();
    entry
        .start
        .is_some_and(|StartTime(ms)| u128::from(ms) > latest)
}
