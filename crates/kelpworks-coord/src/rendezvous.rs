//! Selection of a few daemons per failure domain by rendezvous hashing.
//!
//! The object API counts a waiting watch as a call and does not grow with the fleet, so only a few
//! daemons watch it and notify the others. Every daemon computes the same selection on its own;
//! when a selected daemon dies, only it is replaced.
//!
//! ```
//! use kelpworks_coord::id::*;
//! use kelpworks_coord::rendezvous::choose;
//!
//! let hall = DomainId::of("alm-hall-a");
//! let members = [(NodeId(1), hall), (NodeId(2), hall), (NodeId(3), hall)];
//! let watchers = choose(&members, "kelpworks.head", 2);
//! assert_eq!(watchers.len(), 2);
//! ```
//!
//! Limits: daemons with different views of the membership select differently, so that there may
//! temporarily be more or fewer watchers than wanted. When there are fewer, the heartbeats of
//! [`crate::dissemination`] still deliver new generations.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::DomainId;
use crate::id::NodeId;

/// Returns up to `per_domain` members of each failure domain for a role, in order of identifier.
///
/// The name of the role is hashed, so that different roles select different members.
pub fn choose(members: &[(NodeId, DomainId)], role: &str, per_domain: usize) -> Vec<NodeId> {
    let mut by_domain: BTreeMap<DomainId, Vec<(u64, NodeId)>> = BTreeMap::new();
    for &(node, domain) in members {
        let weight = xxh3_64_with_seed(role.as_bytes(), node.0);
        by_domain.entry(domain).or_default().push((weight, node));
    }
    let mut chosen: Vec<NodeId> = by_domain
        .into_values()
        .flat_map(|mut ranked| {
            ranked.sort_unstable();
            ranked.truncate(per_domain);
            ranked.into_iter().map(|(_, node)| node)
        })
        .collect();
    chosen.sort_unstable();
    chosen
}
