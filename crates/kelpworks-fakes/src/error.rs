//! Errors of starting a fake.

use std::io;

use thiserror::Error;

/// Result type of this crate, with [`enum@Error`] as its error.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of starting or looking up a fake.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// A port could not be bound.
    #[error("cannot bind a port: {0}")]
    Bind(#[from] io::Error),
    /// The HTTP client could not be built.
    #[error("cannot build an HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The configuration or a lookup names a model, a layer range or an engine that does not exist.
    #[error("bad configuration: {0}")]
    Config(String),
}
