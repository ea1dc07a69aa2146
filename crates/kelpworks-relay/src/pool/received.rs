//! Bytes that a connection has received beyond the answers that were read from it.
//!
//! The HTTP library reads ahead, and keeps to itself what it has read. Whether bytes follow the end of an answer, which
//! shows a length that is too small, is known to the task of the connection alone.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use kelpworks::sync::lock;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// How an answer begins.
const ANSWER_START: &[u8] = b"HTTP/1.";

/// What has been received on a connection; shared by its task and the reader of its answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Received {
    /// Whether bytes follow the last answer that don't begin another one. Locked while the connection is driven, so that
    /// it covers all that has been read when the reader of an answer reaches its end.
    has_excess: Arc<Mutex<bool>>,
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
