//! What the store holds for daemons, as last read: the configuration and the upstreams' entries.
//!
//! The texts are kept as they came, so that a daemon which the store turns away can get them from
//! a peer. Newer texts replace older ones, never the other way round, whatever way they came.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

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
use crate::sync::lock;

/// How far an upstream's clock may be ahead of this daemon's: clocks jump by seconds, and one that is
/// an hour off is set right by its operators before it matters here.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(3_600);

/// How a text came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From a peer.
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

/// The upstreams' entries as of a version.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Entries {
    /// Version of the whole list.
    #[serde(flatten)]
    pub version: Version,
    /// Texts by the name of the incarnation.
    pub texts: BTreeMap<Arc<str>, Arc<str>>,
}

/// A change of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryChange {
    /// Name of the incarnation.
    pub name: Arc<str>,
    /// Its new text; `None` when the entry is gone.
    pub text: Option<Arc<str>>,
}

/// An entry's text and what it says; `None` where it can't be read.
#[derive(Clone, Debug)]
struct DecodedEntry {
    text: Arc<str>,
    entry: Option<UpstreamEntry>,
}

#[derive(Debug, Default)]
struct CacheState {
    configuration: Arc<str>,
    entries: Entries,
    /// The same entries, each read once for each text that it had.
    decoded: BTreeMap<Arc<str>, DecodedEntry>,
}

impl CacheState {
    /// Reads the entries whose texts have changed; all that can be read.
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

/// The texts as last read, with the routing table and the fleet that are built from them.
#[derive(Debug)]
pub struct StoreCache {
    shared: Arc<Shared>,
    state: Mutex<CacheState>,
    /// Newest version that a peer said is in force there; never falls.
    newest_peer_version: AtomicU64,
    /// Woken when another configuration is in force.
    configuration_replaced: Notify,
}

impl StoreCache {
    /// Nothing read yet.
    pub fn new(shared: Arc<Shared>) -> StoreCache {
        StoreCache {
            shared,
            state: Mutex::default(),
            newest_peer_version: AtomicU64::new(0),
            configuration_replaced: Notify::new(),
        }
    }

    /// Waits until another configuration is in force than when it was last waited for.
    pub(crate) async fn configuration_changed(&self) {
        self.configuration_replaced.notified().await;
    }

    /// Notes the version of the configuration that a peer has in force.
    pub(crate) fn note_peer_version(&self, version: u64) {
        self.newest_peer_version
            .fetch_max(version, Ordering::Relaxed);
    }

    /// Version of the configuration in force; 0 when none is known.
    pub fn version(&self) -> u64 {
        self.shared.table.load().version()
    }

    /// Version of the upstreams' entries.
    pub fn entries_version(&self) -> Version {
        self.state().entries.version
    }

    /// Text of the configuration in force.
    pub fn configuration(&self) -> Arc<str> {
        Arc::clone(&self.state().configuration)
    }

    /// The upstreams' entries.
    pub fn entries(&self) -> Entries {
        self.state().entries.clone()
    }

    /// Puts a configuration in force unless a newer one is. False when it can't be read.
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
            // A list may be seconds old, or the store an older copy; that peer's text is under way.
            info!(target: "decision", version, elsewhere = peer_version, source:% = source.as_str(); "configuration not taken");
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
            "configuration in force"
        );
        metrics::gauge!("kelpworks_config_version").set(version as f64);
        true
    }

    /// Takes the whole list of entries, unless a newer one is held.
    pub fn put_entries<A: Adapter>(&self, entries: Entries, source: Source) {
        let mut state = self.state();
        if entries.version < state.entries.version {
            return;
        }
        state.entries = entries;
        self.publish::<A>(&mut state, source);
    }

    /// Takes changes up to a version, unless a newer list is held. Changes of a later era are changes
    /// of another list.
    pub fn change_entries<A: Adapter>(&self, changes: Vec<EntryChange>, version: Version) {
        let mut state = self.state();
        if version < state.entries.version || version.era > state.entries.version.era {
            return;
        }
        for EntryChange { name, text } in changes {
            match text {
                Some(text) => state.entries.texts.insert(name, text),
                None => state.entries.texts.remove(&name),
            };
        }
        state.entries.version = version;
        self.publish::<A>(&mut state, Source::Store);
    }

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

/// Reads an entry; one that can't be read names no upstream, and the others hold.
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

/// Whether an entry's start can't be true. Were it taken, no later start could replace it.
fn starts_in_future(entry: &UpstreamEntry) -> bool {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 can't judge.
    let Ok(now) = now else {
        return false;
    };
    let latest = (now + MAX_CLOCK_LEAD).as_millis();
    entry
        .start
        .is_some_and(|StartTime(ms)| u128::from(ms) > latest)
}
