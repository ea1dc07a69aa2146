//! Configuration: how its files are read, and how a register or rules become the fleet's.

pub mod document;
pub mod head;
pub(crate) mod unique;
