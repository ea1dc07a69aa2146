//! Facts about poison requests that daemons exchange.

use std::time::Duration;

use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;

/// A change of the quarantine state of a request, found by one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Daemon that found it.
    pub by: NodeId,
    /// Request that it is about.
    pub fingerprint: Fingerprint,
    /// New state of the request.
    pub statement: Statement,
}

/// The content of a [`Fact`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Statement {
    /// An upstream died while it ran the request; the daemon is about to run it again in isolation.
    Suspect {
        /// Upstream that died.
        upstream: UpstreamId,
        /// Time until the suspicion expires.
        remaining: Duration,
    },
    /// The request progressed past the point of the crash, so the suspicion is withdrawn.
    Cleared,
    /// An upstream died while it ran the request in isolation, or the request was refused through
    /// [`Quarantine::refuse`](super::Quarantine::refuse).
    Refused {
        /// Time until the refusal expires.
        remaining: Duration,
    },
}

impl Fact {
    /// Returns the value of the metric label `statement`.
    pub(crate) fn name(&self) -> &'static str {
        match self.statement {
            Statement::Suspect { .. } => "suspect",
            Statement::Cleared => "cleared",
            Statement::Refused { .. } => "refused",
        }
    }
}
