//! The configuration head: one object that names the register and the rules in force.

use serde::Deserialize;
use serde::Serialize;

/// Kind of the objects that hold the text of a register or of rules, named by its SHA-256.
pub const BLOB_KIND: &str = "kelpworks.blob";
/// Kind of the head object.
pub const HEAD_KIND: &str = "kelpworks.head";
/// Name of the head object.
pub const HEAD_NAME: &str = "current";

/// What the head object holds, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Head {
    /// Rises by one with every accepted change; the first is 1.
    pub generation: u64,
    /// SHA-256 of the register, in hex.
    pub register: String,
    /// SHA-256 of the rules, in hex; empty before the first rules.
    pub rules: String,
    /// Made up by the writer, so that it knows its own write after a lost reply.
    pub nonce: String,
}

impl Head {
    /// Reads a head.
    ///
    /// # Errors
    ///
    /// When it is not JSON of this form.
    pub fn parse(body: &str) -> serde_json::Result<Head> {
        serde_json::from_str(body)
    }
}
