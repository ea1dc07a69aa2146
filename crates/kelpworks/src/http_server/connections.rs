//! Open connections of a listener, and which of them is closed to make room for another.
//!
//! A daemon has memory and descriptors for a number of connections. When all are taken and another one arrives, the one
//! is closed that has been waiting for a request the longest, those first that never had one. A caller whose idle
//! connection is closed opens another; callers that connect and send nothing, or no whole head, take the place of each
//! other. Connections with a request under way stay.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::sync::lock;

/// Least time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

new_key_type! {
    struct ConnectionKey;
}

/// The open connections of a listener.
#[derive(Debug)]
pub(crate) struct Connections {
    inner: Mutex<Inner>,
    /// Signalled when a connection has closed, or one that was told to close has a request.
    closed: Notify,
    /// Name of the listener in metrics and logs.
    listener: &'static str,
}

#[derive(Debug, Default)]
struct Inner {
    open: SlotMap<ConnectionKey, Entry>,
    /// Connections that wait for a request, in the order in which they are closed.
    waiting: BTreeSet<Waiting>,
    /// Connections that were told to close and are still in `open`.
    closing: usize,
    /// Connections closed since the last log line, and when that was.
    closed_unlogged: u64,
    logged: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    /// In `Inner::waiting`; `None` while a request is under way, or after the connection was told to close.
    waiting: Option<Waiting>,
    is_closing: bool,
    close: CancellationToken,
}

/// A connection that waits for a request; the least one is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    has_been_served: bool,
    since: Instant,
    key: ConnectionKey,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a request head, or reads one.
    Waiting,
    /// The head was read, the body not to its end.
    Reading,
    /// The request was read, and its answer is due.
    Answering,
}

impl Connections {
    /// Returns the connections of a listener of this name.
    pub(crate) fn new(listener: &'static str) -> Connections {
        Connections {
            inner: Mutex::default(),
            closed: Notify::new(),
            listener,
        }
    }

    /// Adds a connection, once another one has closed if `max` are open. Returns `None` if all of them have a request
    /// under way.
    pub(crate) async fn admit(self: &Arc<Self>, max: usize) -> Option<Connection> {
        loop {
            let closed = self.closed.notified();
            if let Some(connection) = self.add_below(max) {
                return Some(connection);
            }
            if !lock(&self.inner).make_room(self.listener) {
                return None;
            }
            closed.await;
        }
    }

    fn add_below(self: &Arc<Self>, max: usize) -> Option<Connection> {
        let mut inner = lock(&self.inner);
        if inner.open.len() >= max {
            return None;
        }
        let close = CancellationToken::new();
        let key = inner.open.insert(Entry {
            waiting: None,
            is_closing: false,
            close: close.clone(),
        });
        inner.set_waiting(key, false);
        self.report(&inner);
        Some(Connection {
            connections: Arc::clone(self),
            key,
            close,
            phase: AtomicU8::new(Phase::Waiting as u8),
        })
    }

    fn report(&self, inner: &Inner) {
        let labels = [("listener", self.listener)];
        let open = inner.open.len() as f64;
        metrics::gauge!("kelpworks_open_connections", &labels).set(open);
    }
}

impl Inner {
    fn set_waiting(&mut self, key: ConnectionKey, has_been_served: bool) {
        let entry = &mut self.open[key];
        if entry.is_closing {
            return;
        }
        let waiting = Waiting {
            has_been_served,
            since: Instant::now(),
            key,
        };
        entry.waiting = Some(waiting);
        self.waiting.insert(waiting);
    }

    fn set_busy(&mut self, key: ConnectionKey) {
        if let Some(waiting) = self.open[key].waiting.take() {
            self.waiting.remove(&waiting);
        }
    }

    /// Returns whether the connection was told to close.
    fn begin_request(&mut self, key: ConnectionKey) -> bool {
        self.set_busy(key);
        let was_closing = std::mem::take(&mut self.open[key].is_closing);
        if was_closing {
            self.closing -= 1;
        }
        was_closing
    }

    /// Returns whether a connection is about to close, and has one do so if none is.
    fn make_room(&mut self, listener: &'static str) -> bool {
        if self.closing > 0 {
            return true;
        }
        let Some(waiting) = self.waiting.pop_first() else {
            return false;
        };
        let entry = &mut self.open[waiting.key];
        entry.waiting = None;
        entry.is_closing = true;
        entry.close.cancel();
        self.closing += 1;
        let labels = [("listener", listener)];
        metrics::counter!("kelpworks_connections_displaced_total", &labels).increment(1);
        self.log_displaced(waiting, listener);
        true
    }

    fn log_displaced(&mut self, waiting: Waiting, listener: &'static str) {
        self.closed_unlogged += 1;
        let now = Instant::now();
        if self
            .logged
            .is_some_and(|at| now.duration_since(at) < LOG_INTERVAL)
        {
            return;
        }
        self.logged = Some(now);
        info!(
            target: "decision",
            listener:% = listener,
            open = self.open.len(),
            closed = std::mem::take(&mut self.closed_unlogged),
            waited_ms = now.duration_since(waiting.since).as_millis() as u64,
            had_requests = waiting.has_been_served;
            "connection closed to make room for another"
        );
    }

    fn remove(&mut self, key: ConnectionKey) {
        self.set_busy(key);
        if self.open.remove(key).is_some_and(|entry| entry.is_closing) {
            self.closing -= 1;
        }
    }
}

/// An open connection, until dropped. It waits for a request at first.
#[derive(Debug)]
pub(crate) struct Connection {
    connections: Arc<Connections>,
    key: ConnectionKey,
    close: CancellationToken,
    /// A [`Phase`].
    phase: AtomicU8,
}

impl Connection {
    /// Records that a request has begun, so that the connection is not closed for another. One that was told to close
    /// meanwhile has to answer it first, and another one makes room.
    pub(super) fn begin_request(&self) {
        self.set_phase(Phase::Reading);
        let was_closing = lock(&self.connections.inner).begin_request(self.key);
        if was_closing {
            self.connections.closed.notify_waiters();
        }
    }

    /// Records that the request was read to its end.
    pub(super) fn set_read(&self) {
        self.set_phase(Phase::Answering);
    }

    /// Records that the connection waits for the next request.
    pub(super) fn end_request(&self) {
        self.set_phase(Phase::Waiting);
        lock(&self.connections.inner).set_waiting(self.key, true);
    }

    pub(super) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            p if p == Phase::Waiting as u8 => Phase::Waiting,
            p if p == Phase::Reading as u8 => Phase::Reading,
            _ => Phase::Answering,
        }
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Completes when the connection has to be closed, once it has no request under way.
    pub(super) async fn closing(&self) {
        self.close.cancelled().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut inner = lock(&self.connections.inner);
        inner.remove(self.key);
        self.connections.report(&inner);
        drop(inner);
        self.connections.closed.notify_waiters();
    }
}
