//! The bytes of a connection, with a bound on the time that a request head takes.

use std::io;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use salvo::ConnCtrl;
use salvo::conn::StraightStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::RECEIVE_BUFFER_BYTES;
use super::connections::Connection;
use super::connections::Phase;
use super::gate::ConnectionBounds;
use crate::memory_budget::MemoryBudget;
use crate::memory_budget::Reservation;

/// A connection as the HTTP server reads and writes it.
pub(super) struct ConnectionStream {
    inner: StraightStream<TcpStream>,
    connection: Arc<Connection>,
    head_timeout: Duration,
    /// Elapses when the head that has begun takes too long; `None` unless one has begun.
    head_timer: Option<Pin<Box<Sleep>>>,
    memory: Arc<MemoryBudget>,
    /// Memory for bytes that arrive while an answer is due, which stay in the receive buffer; `None` if there are none.
    unread: Option<Reservation>,
}

impl ConnectionStream {
    pub(super) fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        bounds: &ConnectionBounds,
        memory: Arc<MemoryBudget>,
    ) -> ConnectionStream {
        let timeouts = bounds.write_timeouts();
        ConnectionStream {
            inner: StraightStream::new(stream, Some(timeouts), ConnCtrl::new(), None),
            connection,
            head_timeout: bounds.head_timeout,
            head_timer: None,
            memory,
            unread: None,
        }
    }

    /// Applies the bounds of the connection's phase after a read of `received` bytes.
    fn check(&mut self, cx: &mut Context<'_>, received: usize) -> io::Result<()> {
        match self.connection.phase() {
            Phase::Waiting => {
                self.unread = None;
                self.check_head_time(cx, received)
            }
            Phase::Reading => {
                self.head_timer = None;
                Ok(())
            }
            Phase::Answering => {
                self.head_timer = None;
                self.reserve_unread(received)
            }
        }
    }

    fn check_head_time(&mut self, cx: &mut Context<'_>, received: usize) -> io::Result<()> {
        if received > 0 && self.head_timer.is_none() {
            self.head_timer = Some(Box::pin(tokio::time::sleep(self.head_timeout)));
        }
        let Some(timer) = &mut self.head_timer else {
            return Ok(());
        };
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Err(ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }

    /// The HTTP server reads a little of what follows a request, and leaves the rest to the operating system.
    fn reserve_unread(&mut self, received: usize) -> io::Result<()> {
        if received == 0 || self.unread.is_some() {
            return Ok(());
        }
        self.unread = self.memory.try_reserve(RECEIVE_BUFFER_BYTES);
        match self.unread {
            Some(_) => Ok(()),
            None => Err(ErrorKind::OutOfMemory.into()),
        }
    }
}

impl AsyncRead for ConnectionStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        match self.check(cx, received) {
            Ok(()) => read,
            Err(e) => Poll::Ready(Err(e)),
        }
    }
}

impl AsyncWrite for ConnectionStream {
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

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
