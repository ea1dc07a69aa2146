//! Exchange of the configuration and the upstream entries between daemons.

use std::sync::Arc;

use kelpworks_coord::id::Version;
use log::warn;

use super::Peers;
use super::lock;
use super::messages::Digest;
use super::messages::HeldVersions;
use super::messages::Texts;
use super::packed::PackCache;
use super::packed::Packed;
use crate::adapter::Adapter;
use crate::store_cache::Entries;
use crate::store_cache::Source;

impl Peers {
    /// Returns the versions that this daemon holds if a digest shows a newer one.
    pub(super) fn held_versions_if_older(&self, theirs: &Digest) -> Option<HeldVersions> {
        let held = HeldVersions {
            version: self.store_cache.version(),
            entries: self.store_cache.entries_version(),
        };
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
            match entries_of(&packed) {
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
        Texts {
            version,
            configuration,
            entries: (entries_version > held.entries).then(entries),
        }
    }
}

fn json_of(entries: &Entries) -> Arc<str> {
    // Serialization can't fail: the entries hold only strings and numbers under string keys.
    let text = serde_json::to_string(entries);
    text.unwrap_or_default().into()
}

fn entries_of(packed: &Packed) -> std::result::Result<Entries, String> {
    let text = packed.text().map_err(|e| e.to_string())?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

/// Packed texts of the latest versions.
#[derive(Debug, Default)]
pub(super) struct PackCaches {
    configuration: PackCache<u64>,
    entries: PackCache<Version>,
}
