//! Configuration: reading its files, and publishing a register or rules to the fleet.
//!
//! The settings of a daemon are a file on its host. The register and the rules are shared by the
//! fleet: each is an immutable object in the object API, named by its digest, and one head object
//! names the active pair. [`accept`] is what operators use to change that head.

pub mod accept;
pub mod diff;
pub mod document;
pub mod file_kind;
pub mod head;
pub(crate) mod unique;
