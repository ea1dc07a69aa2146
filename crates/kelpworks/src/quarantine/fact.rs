//! What daemons tell each other of requests that crash upstreams.

use std::time::Duration;

use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;

/// Something that one daemon found out about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fact {
    /// The daemon that found it out.
    pub by: NodeId,
    /// The request.
    pub fingerprint: Fingerprint,
    /// What it found out.
    pub statement: Statement,
}

/// What a [`Fact`] says of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Statement {
    /// An upstream died while it ran there; the daemon is about to run it again, apart.
    Suspect {
        /// The upstream that died.
        upstream: UpstreamId,
        /// How long the suspicion holds, from now on.
        remaining: Duration,
    },
    /// It came past the point of the crash: the suspicion is withdrawn.
    Cleared,
    /// A second upstream died while it ran there in its own turn.
    Refused {
        /// How long it is refused, from now on.
        remaining: Duration,
    },
}

impl Fact {
    /// Short name, for metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self.statement {
            Statement::Suspect { .. } => "suspect",
            Statement::Cleared => "cleared",
            Statement::Refused { .. } => "refused",
        }
    }
}
