//! Choice of a few daemons per failure domain by rendezvous hashing.
//!
//! The object API counts a waiting watch as a call and does not grow with the fleet, so only a few
//! daemons watch it and tell the others. Every daemon works out by itself who they are; when one
//! dies only its own place is filled anew.
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
//! Daemons whose views of the membership differ choose differently for a while: there may be more
//! watchers than wanted, or fewer. Anti-entropy in [`crate::dissemination`] covers the latter.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::DomainId;
use crate::id::NodeId;

/// Up to `per_domain` members of each failure domain for a duty, in order of identifier.
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
