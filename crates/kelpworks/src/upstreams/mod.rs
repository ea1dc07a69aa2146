//! Keeps the daemon's view of the fleet: what the register lists, what engines say of
//! themselves, what the host list shows as leaving, and what failed under requests.
//!
//! One task owns the view and publishes snapshots; requests only read them.

mod keeper;
mod poll;
mod view;

use kelpworks_wire::EngineState;
use kelpworks_wire::HostState;

use crate::fleet::UpstreamKey;

pub use keeper::Keeper;
pub use keeper::KeeperConfig;

/// What the keeper learns.
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
    Silent(UpstreamKey),
    /// The host list was read.
    HostList(Vec<HostSeen>),
}

/// A host on the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSeen {
    /// Host name.
    pub name: String,
    /// Live or leaving.
    pub state: HostState,
}
