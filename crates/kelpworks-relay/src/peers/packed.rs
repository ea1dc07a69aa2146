//! Texts between daemons, compressed.
//!
//! A large configuration is some hundred kilobytes, and small hosts have links of 20 Mbit/s; its text
//! shrinks to a tenth. A daemon that got a text compressed hands it on as it came.

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

/// The result of this module.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// Largest text that is unpacked: what the store holds in one object is a megabyte at most, and a
/// fleet's entries are less than that.
const MAX_TEXT_BYTES: u64 = 8 << 20;

/// Why a text can't be unpacked.
#[derive(Debug)]
#[derive(Error)]
pub(super) enum Error {
    /// It is not base64.
    #[error("packed text: {0}")]
    Base64(#[from] base64::DecodeError),
    /// It is not a compressed text, or too large.
    #[error("packed text: {0}")]
    Inflate(#[from] std::io::Error),
}

/// A text, compressed (deflate) and written as base64.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Packed(Arc<str>);

impl Packed {
    /// Compresses a text.
    pub(super) fn new(text: &str) -> Packed {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        let bytes = written.and_then(|()| encoder.finish());
        // A vector takes all that is written to it.
        Packed(STANDARD.encode(bytes.unwrap_or_default()).into())
    }

    /// The text.
    ///
    /// # Errors
    ///
    /// When it was not packed by [`Packed::new`], or is larger than any text here.
    pub(super) fn text(&self) -> Result<String> {
        let bytes = STANDARD.decode(&*self.0)?;
        let mut text = String::new();
        DeflateDecoder::new(&*bytes)
            .take(MAX_TEXT_BYTES)
            .read_to_string(&mut text)?;
        Ok(text)
    }
}

/// The text of a version, packed once.
#[derive(Debug, Default)]
pub(super) struct PackCache<V> {
    latest: Option<(V, Packed)>,
}

impl<V: Copy + PartialEq> PackCache<V> {
    /// The packed text of a version; packs it where another one was asked for last.
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

    /// Keeps the packed text of a version as it came.
    pub(super) fn insert(&mut self, version: V, packed: Packed) {
        self.latest = Some((version, packed));
    }
}
