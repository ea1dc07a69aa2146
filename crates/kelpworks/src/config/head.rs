//! The configuration head: one object that names the active register and rules.
//!
//! Its body is the [`Head`] of `kelpworks-coord` as JSON. Each part carries the generation that
//! introduced it, so a part that was changed and then changed back still counts as changed.

use sha2::Digest as _;
use sha2::Sha256;

pub use kelpworks_coord::head::Generation;
pub use kelpworks_coord::head::Head;
pub use kelpworks_coord::head::Part;
pub use kelpworks_coord::id::Digest;
pub use kelpworks_coord::id::Nonce;

/// Kind of the objects that hold the text of a register or rules. Their name is its SHA-256 digest.
pub const BLOB_KIND: &str = "kelpworks.blob";
/// Kind of the head object.
pub const HEAD_KIND: &str = "kelpworks.head";
/// Name of the head object.
pub const HEAD_NAME: &str = "current";

/// Decodes the body of the head object.
///
/// # Errors
///
/// When the body is not the JSON form of a [`Head`].
pub fn parse(body: &str) -> serde_json::Result<Head> {
    serde_json::from_str(body)
}

/// Encodes a head as the body of the head object.
///
/// # Errors
///
/// Never in practice: numbers and digests can always be encoded as JSON.
pub fn to_body(head: &Head) -> serde_json::Result<String> {
    serde_json::to_string(head)
}

/// Returns the SHA-256 digest under which a text is stored.
pub fn digest_of(text: &str) -> Digest {
    Digest(Sha256::digest(text).into())
}
