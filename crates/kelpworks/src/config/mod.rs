//! Configuration: how its files are read, and how a register or rules become the fleet's.

pub mod document;
pub(crate) mod unique;
