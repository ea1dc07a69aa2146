//! Exchange of the configuration and the upstream entries between daemons. A daemon whose entries
//! are a little older than its peer's gets only the changes.

use std::sync::Arc;

use kelpworks_coord::id::Version;
use log::warn;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Peers;
use super::lock;
use super::messages::Digest;
use super::messages::HeldVersions;
use super::messages::Texts;
use super::packed::PackCache;
use super::packed::Packed;
use crate::adapter::Adapter;
use crate::store_cache::Entries;
use crate::store_cache::EntryChanges;
use crate::store_cache::Source;

impl Peers {
    /// Returns the versions that this daemon holds.
    pub(super) fn held_versions(&self) -> HeldVersions {
        HeldVersions {
            version: self.store_cache.version(),
            entries: self.store_cache.entries_version(),
            accepts_changes: true,
        }
    }

    /// Returns the versions that this daemon holds if a digest shows a newer one.
    pub(super) fn held_versions_if_older(&self, theirs: &Digest) -> Option<HeldVersions> {
        let held = self.held_versions();
        let is_older = held.version < theirs.version || held.entries < theirs.entries;
        is_older.then_some(held)
    }

    /// Applies the texts that a peer sent.
    pub(super) fn apply_texts<D: Adapter>(&self, texts: Texts) {
        if let Some(packed) = texts.configuration {
            match packed.text() {
                Ok(text) => {
                    self.store_cache.put_configuration::<D>(&text, Source::Peer);
                    if self.store_cache.version() == texts.version {
                        lock(&self.pack_caches)
                            .configuration
                            .insert(texts.version, packed);
                    }
                }
                Err(e) => warn!(error:% = e; "configuration of a peer can't be read"),
            }
        }
        if let Some(packed) = texts.entries {
            match json_value::<Entries>(&packed) {
                Ok(entries) => {
                    let version = entries.version;
                    self.store_cache.put_entries::<D>(entries, Source::Peer);
                    if self.store_cache.entries_version() == version {
                        lock(&self.pack_caches).entries.insert(version, packed);
                    }
                }
                Err(e) => warn!(error:% = e; "entries of a peer can't be read"),
            }
        }
        if let Some(packed) = texts.changes {
            match json_value::<EntryChanges>(&packed) {
                Ok(changes) => self.store_cache.apply_peer_changes::<D>(changes),
                Err(e) => {
                    warn!(error:% = e; "changes of entries of a peer can't be read");
                    metrics::counter!("kelpworks_ignored_entry_changes_total").increment(1);
                }
            }
        }
    }

    /// Returns the texts that are newer than `held`.
    pub(super) fn texts(&self, held: HeldVersions) -> Texts {
        let version = self.store_cache.version();
        let entries_version = self.store_cache.entries_version();
        let mut pack_caches = lock(&self.pack_caches);
        let configuration = || {
            let text = || self.store_cache.configuration();
            pack_caches.configuration.get_or_pack(version, text)
        };
        let configuration = (version > held.version).then(configuration);
        let entries = || {
            pack_caches
                .entries
                .get_or_pack(entries_version, || json_of(&self.store_cache.entries()))
        };
        let is_older = entries_version > held.entries;
        let changes = (is_older && held.accepts_changes)
            .then(|| self.store_cache.changes_since(held.entries))
            .flatten();
        Texts {
            version,
            configuration,
            entries: (is_older && changes.is_none()).then(entries),
            changes: changes.map(|c| Packed::new(&json_of(&c))),
        }
    }
}

fn json_of<T: Serialize>(value: &T) -> Arc<str> {
    // Serialization can't fail: the values hold only strings and numbers under string keys.
    let text = serde_json::to_string(value);
    text.unwrap_or_default().into()
}

fn json_value<T: DeserializeOwned>(packed: &Packed) -> std::result::Result<T, String> {
    let text = packed.text().map_err(|e| e.to_string())?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

/// Packed texts of the latest versions.
#[derive(Debug, Default)]
pub(super) struct PackCaches {
    configuration: PackCache<u64>,
    entries: PackCache<Version>,
}
