//! The head: the one object that names the register and the rules in force.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// Kind of the objects that hold the text of a register or of rules, named by its digest.
pub const BLOB_KIND: &str = "kelpworks.blob";
/// Kind of the head object.
pub const HEAD_KIND: &str = "kelpworks.head";
/// Name of the head object.
pub const HEAD_NAME: &str = "current";

/// SHA-256 digest of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of a text.
    pub fn of(text: &str) -> Digest {
        Digest(Sha256::digest(text).into())
    }

    /// Its bytes.
    pub fn bytes(&self) -> [u8; 32] {
        self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Digest, hex::FromHexError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Digest(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Digest, hex::FromHexError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}

/// The body of the head object, in JSON.
///
/// Invariant: the pair it names was validated together before it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Head {
    /// Rises by one with each accepted change, from 1.
    pub generation: u64,
    /// The register.
    pub register: Digest,
    /// The rules; `None` until the first ones are applied, and then no team is known.
    pub rules: Option<Digest>,
    /// Drawn for each swap: tells its writer, whose reply was lost, that the swap is its own.
    pub nonce: String,
}

impl Head {
    /// Reads the body of a head object; `None` when it is not one.
    pub fn from_body(body: &str) -> Option<Head> {
        serde_json::from_str(body).ok()
    }

    /// The body of the head object.
    pub fn to_body(&self) -> String {
        // Digests, numbers and strings always have a form in JSON.
        serde_json::to_string(self).unwrap_or_default()
    }
}
