//! Bytes that a connection has received beyond the answers that were read from it.
//!
//! The HTTP library reads ahead, and keeps to itself what it has read. Two things have to be known of it: whether bytes
//! follow the end of an answer, which shows a length that is too small, and how much it has read without finding any
//! part of a body, which bounds what an upstream can make it read in vain.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use kelpworks::sync::lock;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::MAX_HEAD_BYTES;

/// Maximum number of bytes read without data of a body: read-ahead of a few buffers, each as large as a head may be. The
/// heads of informational answers, chunk sizes and trailers count as well.
const MAX_BYTES_WITHOUT_DATA: usize = 4 * MAX_HEAD_BYTES;
/// How an answer begins.
const ANSWER_START: &[u8] = b"HTTP/1.";

/// What has been received on a connection; shared by its task and the reader of its answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Received {
    /// Whether bytes follow the last answer that don't begin another one. Locked while the connection is driven, so that
    /// it covers all that has been read when the reader of an answer reaches its end.
    has_excess: Arc<Mutex<bool>>,
    /// Bytes read since the last data of a body, or since the request was sent.
    without_data: Arc<AtomicUsize>,
}

impl Received {
    /// Locks what follows the last answer while the connection is driven.
    pub(super) fn lock(&self) -> MutexGuard<'_, bool> {
        lock(&self.has_excess)
    }

    /// Returns whether bytes are known to follow the last answer that don't begin another one.
    pub(super) fn has_excess(&self) -> bool {
        *self.lock()
    }

    /// Records that a request is sent, or that data of a body have been taken by their reader.
    pub(super) fn record_progress(&self) {
        self.without_data.store(0, Ordering::Relaxed);
    }
}

/// Returns whether bytes that don't begin another answer were received after the end of the last one: those that were
/// read, or else those that the operating system holds. An answer that follows belongs to no request, and shows that the
/// one before it was complete.
pub(super) fn find_excess(cx: &mut Context<'_>, read: &Bytes, stream: &TcpStream) -> bool {
    if !read.is_empty() {
        return !begins_answer(read);
    }
    let mut buf = [0; ANSWER_START.len()];
    let mut buf = ReadBuf::new(&mut buf);
    match stream.poll_peek(cx, &mut buf) {
        Poll::Ready(Ok(n)) => n > 0 && !begins_answer(buf.filled()),
        _ => false,
    }
}

fn begins_answer(bytes: &[u8]) -> bool {
    let n = bytes.len().min(ANSWER_START.len());
    bytes[..n] == ANSWER_START[..n]
}

/// A connection that fails once it has received [`MAX_BYTES_WITHOUT_DATA`].
#[derive(Debug)]
pub(super) struct BoundedStream {
    inner: TcpStream,
    received: Received,
}

impl BoundedStream {
    pub(super) fn new(inner: TcpStream, received: Received) -> BoundedStream {
        BoundedStream { inner, received }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.inner
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let n = buf.filled().len() - before;
        let without_data = &self.received.without_data;
        if without_data.fetch_add(n, Ordering::Relaxed) + n > MAX_BYTES_WITHOUT_DATA {
            let e = io::Error::new(io::ErrorKind::InvalidData, "too many bytes without data");
            return Poll::Ready(Err(e));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
