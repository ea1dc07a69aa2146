//! Compressed texts for the exchange between daemons.
//!
//! A large configuration has some hundred kilobytes, and small hosts have links of 20 Mbit/s.
//! Compression reduces the text to a tenth. A daemon forwards a compressed text as it was received.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Result of reading a packed text.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// Upper bound of the unpacked size. The store holds at most a megabyte in one object, and the
/// entries of a fleet are smaller than that.
const MAX_TEXT_BYTES: u64 = 8 << 20;

/// Reason why a packed text can't be read.
#[derive(Debug)]
#[derive(Error)]
pub(super) enum Error {
    /// The text is not valid base64.
    #[error("packed text: {0}")]
    Base64(#[from] base64::DecodeError),
    /// The data is not valid deflate data, or the text is not UTF-8.
    #[error("packed text: {0}")]
    Inflate(#[from] std::io::Error),
}

/// A text compressed with deflate and encoded as base64.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Packed(Arc<str>);

impl Packed {
    /// Compresses and encodes a text.
    pub(super) fn new(text: &str) -> Packed {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        let bytes = written.and_then(|()| encoder.finish());
        // Writing to a vector can't fail.
        Packed(STANDARD.encode(bytes.unwrap_or_default()).into())
    }

    /// Decodes and decompresses the text.
    ///
    /// # Errors
    ///
    /// Returns an error for invalid base64 or deflate data, and for a text that is not UTF-8. A
    /// text beyond [`MAX_TEXT_BYTES`] is cut off.
    pub(super) fn text(&self) -> Result<String> {
        let bytes = STANDARD.decode(&*self.0)?;
        let mut text = String::new();
        DeflateDecoder::new(&*bytes)
            .take(MAX_TEXT_BYTES)
            .read_to_string(&mut text)?;
        Ok(text)
    }
}

/// Cache of the packed text of one version.
#[derive(Debug, Default)]
pub(super) struct PackCache<V> {
    latest: Option<(V, Packed)>,
}

impl<V: Copy + PartialEq> PackCache<V> {
    /// Returns the packed text of a version. Packs `text` if the cache holds another version.
    pub(super) fn get_or_pack(&mut self, version: V, text: impl FnOnce() -> Arc<str>) -> Packed {
        match &self.latest {
            Some((packed_version, packed)) if *packed_version == version => packed.clone(),
            _ => {
                let packed = Packed::new(&text());
                self.insert(version, packed.clone());
                packed
            }
        }
    }

    /// Stores the packed text of a version as received from a peer.
    pub(super) fn insert(&mut self, version: V, packed: Packed) {
        self.latest = Some((version, packed));
    }
}
