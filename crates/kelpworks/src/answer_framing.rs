//! Checks what the head of an answer says about its body.
//!
//! HTTP libraries accept heads that RFC 9112, section 6.3, allows a lenient recipient to interpret: a transfer coding
//! that is not understood, or a length beside one. A server that works sends none of them. From one in trouble they mean
//! that the end of its answer isn't known, so that a part of the body or the bytes that frame it would be taken for the
//! whole. Such an answer is treated as one that broke off.
//!
//! ```
//! use http::HeaderMap;
//! use http::StatusCode;
//! use kelpworks::answer_framing::Fault;
//! use kelpworks::answer_framing::Framing;
//! use kelpworks::answer_framing::check;
//!
//! let mut headers = HeaderMap::new();
//! headers.insert("transfer-encoding", "chunked".parse().unwrap());
//! assert_eq!(check(StatusCode::OK, &headers), Ok(Framing::Chunked));
//! headers.insert("content-length", "5".parse().unwrap());
//! assert_eq!(check(StatusCode::OK, &headers), Err(Fault::TwoFramings));
//! ```
//!
//! Limits: a length that is wrong but well-formed shows only by the bytes behind the body, and a field whose name is
//! misspelt is another field. Where that leaves an answer without a length, [`ChunkDetector`] recognises its chunks.

mod chunks;
#[cfg(test)]
mod tests;

use std::fmt::Display;

use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use log::info;
use thiserror::Error;

pub use chunks::ChunkDetector;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Fault>;

/// How the end of an answer's body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes. An answer to HEAD, and one with status 304, names the length of a body that it does not
    /// have.
    Length(u64),
    /// It consists of chunks.
    Chunked,
    /// It ends with the connection, or there is none.
    Unframed,
}

/// Why an answer can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Fault {
    /// The status is no final one of RFC 9110, section 15.
    #[error("status outside 200 to 599")]
    Status,
    /// The body is transferred in a coding other than `chunked`, or in several.
    #[error("transfer coding other than chunked")]
    TransferCoding,
    /// Both `transfer-encoding` and `content-length` are present.
    #[error("length beside a transfer coding")]
    TwoFramings,
    /// `content-length` is no number, or several that differ.
    #[error("no single length")]
    Length,
    /// A body is announced, and the status allows none.
    #[error("body with a status that has none")]
    ForbiddenBody,
}

impl Fault {
    /// Returns the fault for logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::Status => "status",
            Fault::TransferCoding => "transfer coding",
            Fault::TwoFramings => "length and transfer coding",
            Fault::Length => "length",
            Fault::ForbiddenBody => "forbidden body",
        }
    }
}

/// Checks status and headers of an answer.
///
/// # Errors
///
/// When the end of the body isn't known for certain.
pub fn check(status: StatusCode, headers: &HeaderMap) -> Result<Framing> {
    if !(200..600).contains(&status.as_u16()) {
        return Err(Fault::Status);
    }
    let is_chunked = is_chunked(headers)?;
    let length = length(headers)?;
    let framing = match (is_chunked, length) {
        (true, Some(_)) => return Err(Fault::TwoFramings),
        (true, None) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::Unframed,
    };
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::RESET_CONTENT].contains(&status);
    if has_no_body && !matches!(framing, Framing::Length(0) | Framing::Unframed) {
        return Err(Fault::ForbiddenBody);
    }
    Ok(framing)
}

/// Records an answer that can't be used, of the server at `address`.
pub fn record_fault(address: impl Display, fault: &'static str) {
    info!(target: "decision", address:% = address, fault:% = fault; "malformed answer");
    metrics::counter!("kelpworks_malformed_answers_total", "fault" => fault).increment(1);
}

/// Returns whether the body consists of chunks.
fn is_chunked(headers: &HeaderMap) -> Result<bool> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Fault::TransferCoding),
    }
}

/// Returns the length of the body. Equal ones may be repeated (RFC 9110, section 8.6).
fn length(headers: &HeaderMap) -> Result<Option<u64>> {
    let mut length = None;
    let values = headers.get_all(header::CONTENT_LENGTH).iter();
    for text in values.map(HeaderValue::to_str) {
        for number in text.map_err(|_| Fault::Length)?.split(',') {
            let number = decimal(number.trim_matches([' ', '\t'])).ok_or(Fault::Length)?;
            if length.replace(number).is_some_and(|other| other != number) {
                return Err(Fault::Length);
            }
        }
    }
    Ok(length)
}

fn decimal(text: &str) -> Option<u64> {
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit());
    is_decimal.then(|| text.parse().ok()).flatten()
}
