//! Configuration: how its files are read, and how a register or rules become the fleet's.
//!
//! A daemon's settings are a file on its host. The register and the rules are
//! the fleet's: each is an immutable object of the object API, named by its
//! digest, and one head object names the pair in force. [`accept`] is the
//! operator's side of changing that head.

pub mod accept;
pub mod diff;
pub mod document;
pub mod file_kind;
pub mod head;
pub(crate) mod unique;
