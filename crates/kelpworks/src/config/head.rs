//! The configuration head: one object that names the register and the rules in force.
//!
//! Its body is the [`Head`] of `kelpworks-coord` in JSON. Each part carries the
//! generation that brought it, so that a part which was changed and changed
//! back still counts as changed.

use sha2::Digest as _;
use sha2::Sha256;

pub use kelpworks_coord::head::Generation;
pub use kelpworks_coord::head::Head;
pub use kelpworks_coord::head::Part;
pub use kelpworks_coord::id::Digest;
pub use kelpworks_coord::id::Nonce;

/// Kind of the objects that hold the text of a register or of rules, named by its SHA-256.
pub const BLOB_KIND: &str = "kelpworks.blob";
/// Kind of the head object.
pub const HEAD_KIND: &str = "kelpworks.head";
/// Name of the head object.
pub const HEAD_NAME: &str = "current";

/// Reads the body of the head object.
///
/// # Errors
///
/// When it is not JSON of this form.
pub fn parse(body: &str) -> serde_json::Result<Head> {
    serde_json::from_str(body)
}

/// The body of the head object.
///
/// # Errors
///
/// Never in practice: numbers and digests always have a form in JSON.
pub fn to_body(head: &Head) -> serde_json::Result<String> {
    serde_json::to_string(head)
}

/// The digest that a text is stored under.
pub fn digest_of(text: &str) -> Digest {
    Digest(Sha256::digest(text).into())
}
