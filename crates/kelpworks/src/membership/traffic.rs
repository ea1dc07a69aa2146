//! Counters of the bytes that a daemon exchanges with its peers.
//!
//! They include the serialized JSON texts, and estimates of the overhead that the libraries and the
//! operating system add, since neither reports it; see the constants.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Serialize;

/// JSON-RPC envelope of a call: version, identifier, method and brackets.
const CALL_ENVELOPE_BYTES: u64 = 75;
/// JSON-RPC envelope of an answer.
const ANSWER_ENVELOPE_BYTES: u64 = 40;
/// WebSocket frame with mask, and headers of TCP with timestamps and of IPv4.
const FRAME_BYTES: u64 = 8 + 32 + 20;
/// TCP acknowledgement without data, one for each answer; that of a call is sent with its answer.
const ACK_BYTES: u64 = 52;
/// Handshakes of TCP and of the WebSocket.
const OPEN_SENT_BYTES: u64 = 600;
const OPEN_RECEIVED_BYTES: u64 = 450;

/// Counters since the daemon's start.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    calls: AtomicU64,
}

/// Traffic of a daemon with its peers since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Estimated bytes sent.
    pub sent: u64,
    /// Estimated bytes received.
    pub received: u64,
    /// Calls made to peers and served for them.
    pub calls: u64,
}

impl Traffic {
    /// Counts a call to a peer, whether or not it is answered.
    pub(super) fn count_call(&self, req: &impl Serialize) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.send(size(req) + CALL_ENVELOPE_BYTES + FRAME_BYTES);
    }

    /// Counts the answer to a call.
    pub(super) fn count_answer(&self, reply: &impl Serialize) {
        self.receive(size(reply) + ANSWER_ENVELOPE_BYTES + FRAME_BYTES);
        self.send(ACK_BYTES);
    }

    /// Counts a peer's call and its answer.
    pub(super) fn count_served(&self, req: &impl Serialize, reply: &impl Serialize) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.receive(size(req) + CALL_ENVELOPE_BYTES + FRAME_BYTES + ACK_BYTES);
        self.send(size(reply) + ANSWER_ENVELOPE_BYTES + FRAME_BYTES);
    }

    /// Counts a connection opened to a peer.
    pub(super) fn count_connection(&self) {
        self.send(OPEN_SENT_BYTES);
        self.receive(OPEN_RECEIVED_BYTES);
    }

    pub(super) fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            calls: self.calls.load(Ordering::Relaxed),
        }
    }

    fn send(&self, bytes: u64) {
        self.sent.fetch_add(bytes, Ordering::Relaxed);
        metrics::counter!("kelpworks_peer_sent_bytes_total").increment(bytes);
    }

    fn receive(&self, bytes: u64) {
        self.received.fetch_add(bytes, Ordering::Relaxed);
        metrics::counter!("kelpworks_peer_received_bytes_total").increment(bytes);
    }
}

/// Returns the size of a value as JSON. Wire types always serialize.
fn size(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |json| json.len() as u64)
}

/// Returns the bytes on the wire of one call with its answer, for drivers with another transport,
/// such as simulations.
pub fn exchange_bytes(req: &impl Serialize, reply: &impl Serialize) -> u64 {
    size(req)
        + CALL_ENVELOPE_BYTES
        + FRAME_BYTES
        + size(reply)
        + ANSWER_ENVELOPE_BYTES
        + FRAME_BYTES
        + ACK_BYTES
}
