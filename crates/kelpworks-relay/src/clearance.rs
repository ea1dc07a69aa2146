//! Permission to send one order or query to an engine.

use std::net::SocketAddr;

use tokio::time::Instant;

use crate::constraints::MessageKind;

/// Permission to send one order or query to an engine. Only [`crate::engine_calls`] gives it, after
/// it has checked the constraints that the engine announced.
#[derive(Debug)]
#[must_use]
pub struct Clearance {
    address: SocketAddr,
    kind: MessageKind,
    sent_at: Instant,
}

impl Clearance {
    pub(crate) fn new(address: SocketAddr, kind: MessageKind, sent_at: Instant) -> Clearance {
        Clearance {
            address,
            kind,
            sent_at,
        }
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the kind of the message.
    pub(crate) fn kind(&self) -> MessageKind {
        self.kind
    }

    /// Returns when it was given.
    pub(crate) fn sent_at(&self) -> Instant {
        self.sent_at
    }
}
