//! Reads bodies whole, into memory that is reserved while they arrive.
//!
//! The bytes are copied into one buffer. Chunks would otherwise be kept as they were sent, and a chunk of a byte takes
//! far more than a byte.

#[cfg(test)]
mod tests;

use std::pin::Pin;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use thiserror::Error;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::memory_budget;
use crate::memory_budget::Reservation;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Bytes by which a body has to grow in [`Pace::period`].
const PROGRESS_BYTES: usize = 16 << 10;
/// Least capacity of a buffer, in bytes; a body that is known to be shorter gets what it needs.
const MIN_CAPACITY: usize = 4 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// It is longer than allowed.
    #[error("too large")]
    TooLarge,
    /// It broke off before its end.
    #[error("broken off")]
    BrokenOff,
    /// It did not arrive in time.
    #[error("too slow")]
    TooSlow,
    /// There is no memory for it.
    #[error("no memory: {0}")]
    Memory(#[from] memory_budget::Error),
}

/// How fast a body has to arrive.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// When it has to be complete.
    pub deadline: Instant,
    /// Longest time in which it grows by less than 16 KiB without reaching its end.
    pub period: Duration,
}

/// A body of known bytes and the memory that they take.
struct Whole {
    buf: Vec<u8>,
    _memory: Reservation,
}

impl AsRef<[u8]> for Whole {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

/// Reads a body of at most `max_bytes` bytes. `memory` is held until the last copy of the result is dropped.
///
/// # Errors
///
/// When the body is too long, breaks off or does not keep the pace, or there is no memory for it.
pub async fn read_whole<B>(
    body: B,
    max_bytes: usize,
    pace: Option<Pace>,
    memory: Reservation,
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let shortest = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if shortest > max_bytes {
        return Err(Error::TooLarge);
    }
    let mut reader = Reader {
        body,
        max_bytes,
        buf: Vec::new(),
        since_progress: 0,
        memory,
    };
    let evicted = reader.memory.evicted().clone();
    let mut evicted = pin!(evicted.cancelled_owned());
    let mut timer = pin!(Timer::new(pace));
    loop {
        let frame = tokio::select! {
            biased;
            frame = reader.body.frame() => frame,
            () = &mut evicted => return Err(memory_budget::Error::Evicted.into()),
            () = timer.as_mut().elapsed() => return Err(Error::TooSlow),
        };
        let Some(frame) = frame else {
            return Ok(reader.finish());
        };
        let frame = frame.map_err(|_| Error::BrokenOff)?;
        if reader.push(frame).await? {
            timer.as_mut().restart();
        }
    }
}

/// A body that is being read.
struct Reader<B> {
    body: B,
    max_bytes: usize,
    /// Its capacity is reserved in `memory`.
    buf: Vec<u8>,
    /// Bytes that have arrived since the last progress.
    since_progress: usize,
    memory: Reservation,
}

impl<B: Body<Data = Bytes> + Unpin> Reader<B> {
    /// Adds the data of a frame; returns whether the body has made progress.
    async fn push(&mut self, frame: Frame<Bytes>) -> Result<bool> {
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            return Ok(false);
        };
        if self.max_bytes - self.buf.len() < data.len() {
            return Err(Error::TooLarge);
        }
        self.make_room(data.len()).await?;
        self.buf.extend_from_slice(&data);
        self.since_progress += data.len();
        let has_progressed = self.since_progress >= PROGRESS_BYTES;
        if has_progressed {
            self.since_progress = 0;
            self.memory.record_progress();
        }
        Ok(has_progressed)
    }

    async fn make_room(&mut self, bytes: usize) -> Result<()> {
        let needed = self.buf.len() + bytes;
        if needed <= self.buf.capacity() {
            return Ok(());
        }
        let hint = self.body.size_hint().exact().unwrap_or(u64::MAX);
        let rest = usize::try_from(hint).unwrap_or(usize::MAX);
        let least = MIN_CAPACITY.min(needed.saturating_add(rest));
        let doubled = (2 * self.buf.capacity()).max(least);
        let capacity = needed.max(doubled.min(self.max_bytes));
        let reserved = self.memory.bytes();
        if capacity > reserved {
            self.memory.grow(capacity - reserved).await?;
        }
        self.buf.reserve_exact(capacity - self.buf.len());
        Ok(())
    }

    fn finish(mut self) -> Bytes {
        if self.buf.is_empty() {
            return Bytes::new();
        }
        self.buf.shrink_to_fit();
        self.memory.shrink_to(self.buf.capacity());
        self.memory.complete();
        Bytes::from_owner(Whole {
            buf: self.buf,
            _memory: self.memory,
        })
    }
}

/// Elapses when a body does not keep its pace; never without one.
struct Timer {
    pace: Option<Pace>,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Timer {
    fn new(pace: Option<Pace>) -> Timer {
        let mut timer = Timer { pace, sleep: None };
        timer.sleep = timer.due().map(|at| Box::pin(tokio::time::sleep_until(at)));
        timer
    }

    fn due(&self) -> Option<Instant> {
        let pace = self.pace?;
        Some(pace.deadline.min(Instant::now() + pace.period))
    }

    fn restart(mut self: Pin<&mut Self>) {
        if let Some(due) = self.due()
            && let Some(sleep) = &mut self.sleep
        {
            sleep.as_mut().reset(due);
        }
    }

    async fn elapsed(mut self: Pin<&mut Self>) {
        match &mut self.sleep {
            Some(sleep) => sleep.as_mut().await,
            None => std::future::pending().await,
        }
    }
}
