//! Answers of upstreams and peers, checked before and while they are read.
//!
//! All answers of a pool come in here, so that a caller gets a body only if its end is known. What fails a check is an
//! answer that broke off: its request may have run, and its connection is not used again.
//!
//! ```text
//! transfer-encoding: chunkd     the head is refused: no byte of the body is passed on
//! content-length: 5             five bytes are read; more have arrived behind them: the body fails at its end
//! transfer-encodinx: chunked    no length is known; the body begins with the size of a chunk: it fails
//! ```
//!
//! Limits: bytes behind an answer count if they arrive with its end or before. A head that has lost its length without a
//! trace is one of an answer that ends with its connection.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use kelpworks::answer_framing;
use kelpworks::answer_framing::ChunkDetector;
use kelpworks::answer_framing::Fault;
use kelpworks::answer_framing::Framing;
use thiserror::Error;

use super::Connection;
use super::Destination;
use super::received::Received;

/// Result of reading a part of a body.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// Why a body can't be used.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// The connection failed within the body, or its chunks can't be read.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    /// More bytes follow the body than its length says.
    #[error("bytes behind the body")]
    Excess,
    /// The body consists of chunks that the head doesn't announce.
    #[error("chunks without a transfer coding")]
    UnannouncedChunks,
    /// The status allows no body, and there is one.
    #[error("body with a status that has none")]
    ForbiddenBody,
}

impl Error {
    /// Returns the fault for logs and metric labels; `None` for a connection that failed.
    pub(super) fn fault(&self) -> Option<&'static str> {
        Some(match self {
            Error::Broken(_) => return None,
            Error::ForbiddenBody => Fault::ForbiddenBody.as_str(),
            Error::Excess => "bytes behind the body",
            Error::UnannouncedChunks => "unannounced chunks",
        })
    }
}

/// Checks the head of an answer, and returns it with a body that is checked while it is read; `None`, recorded, when the
/// end of the body isn't known. A length is left in the head only where there is no body to have it.
pub(super) fn check<K: Destination>(
    response: Response<Incoming>,
    is_head_request: bool,
    connection: &Connection<K>,
) -> Option<Response<AnswerBody>> {
    let (mut parts, body) = response.into_parts();
    let framing = match answer_framing::check(parts.status, &parts.headers) {
        Ok(framing) => framing,
        Err(fault) => {
            answer_framing::record_fault(connection.address, fault.as_str());
            return None;
        }
    };
    parts.headers.remove(header::TRANSFER_ENCODING);
    parts.headers.remove(header::CONTENT_LENGTH);
    let names_other_length = is_head_request || parts.status == StatusCode::NOT_MODIFIED;
    if let Framing::Length(length) = framing
        && names_other_length
    {
        let length = HeaderValue::from(length);
        parts.headers.insert(header::CONTENT_LENGTH, length);
    }
    let is_empty = names_other_length || parts.status == StatusCode::NO_CONTENT;
    let is_unframed = framing == Framing::Unframed && !is_empty;
    let body = AnswerBody {
        inner: body,
        received: connection.received.clone(),
        address: connection.address,
        ends_by_length: framing != Framing::Chunked && !is_unframed,
        is_forbidden: parts.status == StatusCode::RESET_CONTENT,
        chunks: is_unframed.then(|| ChunkDetector::new(&parts.headers)),
        has_ended: false,
    };
    Some(Response::from_parts(parts, body))
}

/// Body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    inner: Incoming,
    received: Received,
    address: SocketAddr,
    /// Whether its length, or that it has none, is taken from the head.
    ends_by_length: bool,
    /// Whether the status allows no data.
    is_forbidden: bool,
    /// For a body that ends with its connection.
    chunks: Option<ChunkDetector>,
    has_ended: bool,
}

impl AnswerBody {
    fn check_data(&mut self, data: &[u8]) -> Result<()> {
        self.received.record_progress();
        if self.is_forbidden && !data.is_empty() {
            return Err(Error::ForbiddenBody);
        }
        let is_chunk = self.chunks.as_mut().is_some_and(|c| c.push(data));
        match is_chunk {
            true => Err(Error::UnannouncedChunks),
            false => Ok(()),
        }
    }

    fn check_end(&self) -> Result<()> {
        match self.ends_by_length && self.received.has_excess() {
            true => Err(Error::Excess),
            false => Ok(()),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        let frame = match frame {
            Some(Ok(frame)) => {
                let data = frame.data_ref().cloned().unwrap_or_default();
                self.check_data(&data).map(|()| Some(frame))
            }
            Some(Err(e)) => Err(e.into()),
            None => self.check_end().map(|()| None),
        };
        self.has_ended = !matches!(frame, Ok(Some(_)));
        if let Some(fault) = frame.as_ref().err().and_then(Error::fault) {
            answer_framing::record_fault(self.address, fault);
        }
        Poll::Ready(frame.transpose())
    }

    /// Is true only after the check of the end.
    fn is_end_stream(&self) -> bool {
        self.has_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
