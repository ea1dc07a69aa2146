//! Splits a byte stream into server-sent events.
//!
//! An upstream may stop in the middle of an event. Only complete events are passed on, so that
//! another upstream can continue after the last one.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use bytes::BytesMut;

/// Complete events in stream order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct WholeEvents {
    /// The events' bytes, with their closing blank lines.
    pub(super) bytes: Bytes,
    /// Id of the last event that has one.
    pub(super) last_id: Option<u64>,
}

/// Buffers received bytes and splits them into events.
#[derive(Clone, Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Start of the first line in `buf` that has no end yet.
    line_start: usize,
    /// Number of bytes of `buf` that have been searched for the end of a line; at least `line_start`.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the memory that is kept for incomplete events, in bytes.
    pub(super) fn capacity(&self) -> usize {
        self.buf.capacity()
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub(super) fn pending_len(&self) -> usize {
        self.buf.len()
    }

    /// Removes and returns the complete events. Drops those whose id is at most `after`, or,
    /// without `after`, at most that of the event before.
    pub(super) fn take_events(&mut self, after: Option<u64>) -> WholeEvents {
        let mut out = BytesMut::new();
        let mut last_id = None;
        while let Some(end) = self.end_of_event() {
            let event = self.buf.split_to(end);
            let id = id_of(&event);
            if id.is_some() && id <= after.or(last_id) {
                continue;
            }
            last_id = id.or(last_id);
            out.extend_from_slice(&event);
        }
        WholeEvents {
            bytes: out.freeze(),
            last_id,
        }
    }

    /// Returns the length of the first event, including the blank line that ends it. No byte is searched twice.
    fn end_of_event(&mut self) -> Option<usize> {
        while let Some(n) = self.buf[self.searched..].iter().position(|&b| b == b'\n') {
            let line = &self.buf[self.line_start..self.searched + n];
            let is_blank = line.is_empty() || line == b"\r";
            let end = self.searched + n + 1;
            if is_blank {
                (self.line_start, self.searched) = (0, 0);
                return Some(end);
            }
            (self.line_start, self.searched) = (end, end);
        }
        self.searched = self.buf.len();
        None
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&b| b == b'\n');
    let mut ids = lines.filter_map(|l| l.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
