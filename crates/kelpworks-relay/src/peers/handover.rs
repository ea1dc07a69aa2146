//! Which daemons accept requests that this daemon can't serve over its own links.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Peers;
use super::lock;
use super::members::Condition;
use super::members::Member;

/// A daemon that accepts requests for the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Address on which it accepts them.
    pub(crate) address: SocketAddr,
    /// Whether it is in the failure domain of this daemon.
    pub(crate) is_local: bool,
}

impl Peers {
    /// Offers to serve requests of other daemons on a port; has no effect after the first call.
    pub(crate) fn offer_handover(&self, port: u16) {
        let _ = self.handover_port.set(port);
    }

    /// Returns the name of this daemon.
    pub(crate) fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the live daemons that accept requests for a service and reach its upstreams.
    pub(crate) fn handover_candidates(&self, service: &str) -> Vec<Candidate> {
        let members = lock(&self.members);
        let candidate = |member: &Member| {
            let port = member.handover?;
            let is_unreachable = member.unreachable.iter().any(|s| **s == *service);
            let is_usable = member.condition != Condition::Leaving && !is_unreachable;
            is_usable.then(|| Candidate {
                address: SocketAddr::new(member.address.ip(), port),
                is_local: member.domain == self.domain,
            })
        };
        members.live().filter_map(candidate).collect()
    }
}
