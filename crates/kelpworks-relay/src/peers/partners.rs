//! Which daemons a daemon calls: all of a small fleet, and a fixed set of neighbors in a larger one.
//!
//! Neighbors are chosen by a hash of both names, so each daemon is called about equally often, a
//! daemon that comes or goes changes at most one of them, and all sets together connect the fleet.

use std::collections::HashSet;
use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;

use super::MAX_SMALL_FLEET_PEERS;
use super::Peers;
use super::lock;
use super::members::Member;
use super::members::Members;
use super::store_contact::WATCH_GROUP;

/// Daemons of the own failure domain among which a daemon of a larger fleet draws its partners, which
/// bounds its connections. In a domain of this size all daemons know each other's load.
pub(super) const LOCAL_NEIGHBORS: usize = 24;
/// Daemons of other failure domains among which a daemon draws its partners.
pub(super) const REMOTE_NEIGHBORS: usize = 6;
/// Daemons of the own failure domain that are called in each exchange of a larger fleet.
const LOCAL_FANOUT: usize = 5;
/// Daemons of other failure domains that are called in each exchange by a daemon of a domain of at
/// most [`REMOTE_CALLERS`]. Traffic between domains is billed.
const REMOTE_FANOUT: usize = 1;
/// Daemons of a failure domain that call other domains in each exchange, in the mean. What one of
/// them learns reaches the others of its domain within a few exchanges.
const REMOTE_CALLERS: usize = 24;
/// Daemons to which a new configuration is announced by each daemon that activates it;
/// [`REMOTE_FANOUT`] of them in other failure domains.
const ANNOUNCEMENT_FANOUT: usize = 4;
/// Probability that an exchange also goes to a daemon that counts as lost, or to a seed that is not
/// known as live. This rejoins the parts of a partitioned fleet.
const LOST_PEER_PROBABILITY: f64 = 0.25;

impl Peers {
    /// Addresses to call in the next exchange: neighbors drawn at random, or all daemons of a small
    /// fleet, and sometimes a daemon that counts as lost.
    pub(super) fn partners(&self) -> Vec<SocketAddr> {
        let members = lock(&self.members);
        let live = members.live().count();
        let mut partners: Vec<SocketAddr> = match live <= MAX_SMALL_FLEET_PEERS {
            true => members.live().map(|m| m.address).collect(),
            false => self.draw_neighbors(&members, LOCAL_FANOUT),
        };
        partners.extend(self.lost_or_seed(&members));
        partners
    }

    /// Draws neighbors: `local` of the own failure domain and [`REMOTE_FANOUT`] of others. Of a
    /// large domain, only some daemons draw the latter.
    fn draw_neighbors(&self, members: &Members, local: usize) -> Vec<SocketAddr> {
        let mut rng = rand::rng();
        let near = members.nearest(LOCAL_NEIGHBORS, |m| m.domain == self.domain);
        let near = near.sample(&mut rng, local).copied();
        let mut drawn: Vec<&Member> = near.collect();
        let in_domain = members.live().filter(|m| m.domain == self.domain).count() + 1;
        if rng.random_range(0..in_domain) < REMOTE_CALLERS {
            let far = members.nearest(REMOTE_NEIGHBORS, |m| m.domain != self.domain);
            drawn.extend(far.sample(&mut rng, REMOTE_FANOUT));
        }
        drawn.into_iter().map(|m| m.address).collect()
    }

    /// Closes the connections to daemons of a larger fleet that are not among the partners any more:
    /// while a daemon discovers the fleet, nearer neighbors replace those that it knew first.
    pub(super) fn close_unused_connections(&self) {
        let members = lock(&self.members);
        if members.live().count() <= MAX_SMALL_FLEET_PEERS {
            return;
        }
        let near = members.nearest(LOCAL_NEIGHBORS, |m| m.domain == self.domain);
        let far = members.nearest(REMOTE_NEIGHBORS, |m| m.domain != self.domain);
        let neighbors = near.into_iter().chain(far).map(|m| m.address);
        let mut used: HashSet<String> = neighbors.map(|a| a.to_string()).collect();
        drop(members);
        if self.is_in_watch_group() {
            let members = lock(&self.members);
            let group = members.first_in_watch_order(WATCH_GROUP - 1);
            used.extend(group.into_iter().map(|m| m.address.to_string()));
        }
        used.extend(lock(&self.in_flight).iter().map(SocketAddr::to_string));
        self.connections.retain(|address| used.contains(address));
    }

    /// Draws a daemon that may have become reachable: one that counts as lost, or a seed that is
    /// not known as live. While no daemon is known as live, this is always a seed. Only one is
    /// called at a time, since all daemons of a fleet that starts call the same seeds.
    fn lost_or_seed(&self, members: &Members) -> Option<SocketAddr> {
        let mut rng = rand::rng();
        let seeds = lock(&self.seeds);
        let is_live = |seed: &SocketAddr| members.live().any(|m| m.address == *seed);
        let others = seeds.iter().copied().filter(|&s| s != self.address);
        let unknown = others.filter(|s| !is_live(s));
        if members.live().next().is_none() {
            return unknown.choose(&mut rng);
        }
        let candidate = unknown.chain(members.lost()).choose(&mut rng);
        candidate.filter(|_| rand::random_bool(LOST_PEER_PROBABILITY))
    }

    /// Addresses of the daemons to which a new configuration is announced.
    pub(super) fn announcement_partners(&self) -> Vec<SocketAddr> {
        let members = lock(&self.members);
        self.draw_neighbors(&members, ANNOUNCEMENT_FANOUT - REMOTE_FANOUT)
    }
}
