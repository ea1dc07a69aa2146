//! Reads the bodies of replies up to a bound.
//!
//! A server in trouble may send bytes without end. Reading stops at the bound, and dropping the reply closes its
//! connection.

use bytes::Bytes;
use bytes::BytesMut;
use reqwest::Response;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::answer_framing;
use crate::answer_framing::ChunkDetector;
use crate::answer_framing::Framing;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a body can't be used.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The connection failed, or the body did not end in time.
    #[error(transparent)]
    Lost(#[from] reqwest::Error),
    /// The body is longer than the bound.
    #[error("body longer than {max_bytes} bytes")]
    TooLarge {
        /// The bound, in bytes.
        max_bytes: usize,
    },
    /// The body consists of chunks that the head doesn't announce.
    #[error("chunks without a transfer coding")]
    UnannouncedChunks,
    /// The body is no JSON of the expected form.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

impl Error {
    /// Whether the body did not end in time.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Error::Lost(e) if e.is_timeout())
    }
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
///
/// When it is longer, breaks off, does not end before the timeout of its request, or consists of chunks that the head
/// doesn't announce.
pub async fn read(mut reply: Response, max_bytes: usize) -> Result<Bytes> {
    let mut body = BytesMut::new();
    let framing = answer_framing::check(reply.status(), reply.headers());
    let is_unframed = framing == Ok(Framing::Unframed);
    let mut chunks = is_unframed.then(|| ChunkDetector::new(reply.headers()));
    while let Some(piece) = reply.chunk().await? {
        if chunks.as_mut().is_some_and(|c| c.push(&piece)) {
            return Err(Error::UnannouncedChunks);
        }
        if body.len() + piece.len() > max_bytes {
            return Err(Error::TooLarge { max_bytes });
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

/// Reads a JSON body of at most `max_bytes`.
///
/// # Errors
///
/// As [`read`], and when the body can't be decoded.
pub async fn read_json<T: DeserializeOwned>(reply: Response, max_bytes: usize) -> Result<T> {
    let body = read(reply, max_bytes).await?;
    Ok(serde_json::from_slice(&body)?)
}
