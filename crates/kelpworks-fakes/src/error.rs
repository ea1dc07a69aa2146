//! Errors of starting a stand-in.

use std::io;

use thiserror::Error;

/// Result of the fallible calls of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a stand-in could not start.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// No port could be bound.
    #[error("cannot bind a port: {0}")]
    Bind(#[from] io::Error),
    /// The HTTP client could not be built.
    #[error("cannot build an HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The configuration names a model, a range or a host that does not fit.
    #[error("bad configuration: {0}")]
    Config(String),
}
