//! Sends requests, and refuses answers whose heads don't say where their bodies end.

use reqwest::RequestBuilder;
use reqwest::Response;
use thiserror::Error;

use super::resettable::SendStage;
use super::resettable::send_stage;
use crate::answer_framing;
use crate::answer_framing::Fault;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a request got no usable answer.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// Nothing was sent, or nothing was received that is an answer.
    #[error(transparent)]
    Failed(#[from] reqwest::Error),
    /// The request was sent, and it isn't known where the body of its answer ends.
    #[error("malformed answer: {0}")]
    Malformed(#[from] Fault),
}

impl Error {
    /// Returns the stage at which the request failed.
    pub fn stage(&self) -> SendStage {
        match self {
            Error::Failed(e) => send_stage(e),
            Error::Malformed(_) => SendStage::Lost,
        }
    }
}

/// Sends a request and checks the head of its answer. The connection of an answer that fails the check is closed.
///
/// # Errors
///
/// When there is no answer, or its head can't be used.
pub async fn send(req: RequestBuilder) -> Result<Response> {
    let answer = req.send().await?;
    if let Err(fault) = answer_framing::check(answer.status(), answer.headers()) {
        let address = answer.remote_addr().map(|a| a.to_string());
        answer_framing::record_fault(address.unwrap_or_default(), fault.as_str());
        return Err(fault.into());
    }
    Ok(answer)
}
