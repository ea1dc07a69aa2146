//! Keeps the daemon's view of the fleet: what the register lists, what engines say of
//! themselves, what the host list shows as leaving, and what failed under requests.
//!
//! One task owns the view and publishes snapshots; requests only read them.

mod monitor;
mod poll;
mod view;

#[cfg(test)]
mod tests;

use std::sync::Arc;

use crate::fleet::UpstreamKey;
use kelpworks_coord::id::UpstreamId;
use kelpworks_wire::EngineState;
use kelpworks_wire::HostState;

pub use monitor::UpstreamMonitor;
pub use monitor::UpstreamMonitorConfig;

/// What the monitor learns.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Report {
    /// A request found this upstream dead or silent.
    Suspect(UpstreamKey),
    /// An engine answered a poll.
    State(UpstreamKey, Box<EngineState>),
    /// A plain service answered its health check: whether it takes new work.
    Service(UpstreamKey, bool),
    /// An upstream did not answer a poll.
    PollFailed(UpstreamKey),
    /// The host list was read.
    HostList(Vec<ListedHost>),
    /// What other daemons state of upstreams; of those not listed they state nothing.
    Peers(Vec<PeerReport>),
}

/// What other daemons state of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether any states that it takes no new work: leaving, or in quarantine.
    pub leaving: bool,
    /// How many state that it is down.
    pub down: u32,
}

/// What this daemon observed of an upstream itself, for others to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Host name of the upstream.
    pub upstream: Arc<str>,
    /// What is the matter with it.
    pub kind: ObservationKind,
}

/// What is the matter with an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObservationKind {
    /// It takes no new work.
    Leaving,
    /// It does not answer.
    Down,
}

/// A host on the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    /// Host name.
    pub name: String,
    /// Live or leaving.
    pub state: HostState,
}
