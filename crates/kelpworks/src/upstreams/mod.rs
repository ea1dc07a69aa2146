//! The daemon's view of the fleet: hosts in the register, the state that engines report, hosts that
//! the platform lists as leaving, and failures of requests.
//!
//! One task owns the view and publishes snapshots, which requests read without locks.

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

/// An input of the monitor.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Report {
    /// A request to this upstream failed or got no response.
    Suspect(UpstreamKey),
    /// An engine answered a poll.
    State(UpstreamKey, Box<EngineState>),
    /// A plain service answered its health check; the flag says whether it takes new work.
    Service(UpstreamKey, bool),
    /// An upstream did not answer a poll.
    PollFailed(UpstreamKey),
    /// The host list was read.
    HostList(Vec<ListedHost>),
    /// Reports of other daemons on upstreams. They replace earlier ones: upstreams not listed have
    /// no report.
    Peers(Vec<PeerReport>),
}

/// Summary of the reports of other daemons on one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether any daemon reports that it takes no new work: leaving, or in quarantine.
    pub leaving: bool,
    /// Number of daemons that report it as down.
    pub down: u32,
}

/// An abnormal state of an upstream that this daemon observed itself, for dissemination to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Host name of the upstream.
    pub upstream: Arc<str>,
    /// Observed state.
    pub kind: ObservationKind,
}

/// State in an [`Observation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObservationKind {
    /// It takes no new work.
    Leaving,
    /// It does not answer.
    Down,
}

/// A host on the platform's host list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    /// Host name, as in the register.
    pub name: String,
    /// Live or leaving, as the platform lists it.
    pub state: HostState,
}
