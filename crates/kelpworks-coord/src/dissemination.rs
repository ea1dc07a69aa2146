//! Dissemination of the config generation among daemons.
//!
//! A daemon that learns of a new generation pushes it to a few peers at once; each of them does the
//! same, once per generation. Heartbeats repair what the push misses: they carry the generation,
//! and a daemon pushes to a peer that is behind and pulls from one that is ahead.
//!
//! ```
//! use kelpworks_coord::head::Generation;
//! use kelpworks_coord::id::NodeId;
//! use kelpworks_coord::dissemination::*;
//!
//! let peers = [NodeId(2), NodeId(3), NodeId(4), NodeId(5)];
//! let mut dissemination = Dissemination::new(Config::default(), NodeId(1));
//! assert_eq!(dissemination.on_event(Event::Learned(Generation(8)), &peers).len(), 3);
//! assert_eq!(dissemination.on_event(Event::Learned(Generation(8)), &peers), [], "once only");
//! let behind = Event::Heartbeat { from: NodeId(4), generation: Generation(7) };
//! assert_eq!(dissemination.on_event(behind, &peers), [Action::Push(NodeId(4))]);
//! ```
//!
//! Push targets are selected by a hash of generation, pusher and peer: they differ from generation
//! to generation without a random number generator. With fanout `f` the push alone misses about
//! `e^-f` of the daemons (5% for 3), which the next heartbeat reaches.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::head::Generation;
use crate::id::NodeId;

/// Limits of dissemination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Number of peers that a new generation is pushed to. Default 3.
    pub fanout: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config { fanout: 3 }
    }
}

/// An input of [`Dissemination`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This daemon learned of a generation, from the API or a peer's push.
    Learned(Generation),
    /// A peer's heartbeat arrived, or its answer to a heartbeat of this daemon.
    Heartbeat {
        /// Peer that sent it.
        from: NodeId,
        /// Highest generation that the peer knows.
        generation: Generation,
    },
}

/// Something for the driver to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Send the head to this peer.
    Push(NodeId),
    /// Request the head from this peer.
    Pull(NodeId),
}

/// One daemon's state of dissemination.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Dissemination {
    cfg: Config,
    me: NodeId,
    /// Highest generation known and pushed; never decreases.
    latest: Generation,
}

impl Dissemination {
    /// Creates the state of a daemon that knows no generation.
    pub fn new(cfg: Config, me: NodeId) -> Dissemination {
        Dissemination {
            cfg,
            me,
            latest: Generation(0),
        }
    }

    /// Handles an input and returns what the driver has to do; `peers` are the members that count
    /// as live, without this daemon.
    pub fn on_event(&mut self, event: Event, peers: &[NodeId]) -> Vec<Action> {
        match event {
            Event::Learned(generation) if generation > self.latest => {
                self.latest = generation;
                self.targets(peers).into_iter().map(Action::Push).collect()
            }
            Event::Learned(_) => Vec::new(),
            Event::Heartbeat { from, generation } if generation < self.latest => {
                vec![Action::Push(from)]
            }
            Event::Heartbeat { from, generation } if generation > self.latest => {
                vec![Action::Pull(from)]
            }
            Event::Heartbeat { .. } => Vec::new(),
        }
    }

    fn targets(&self, peers: &[NodeId]) -> Vec<NodeId> {
        let seed = self.latest.0.rotate_left(32) ^ self.me.0;
        let mut peers = peers.to_vec();
        peers.sort_by_cached_key(|peer| xxh3_64_with_seed(&peer.0.to_le_bytes(), seed));
        peers.truncate(self.cfg.fanout);
        peers
    }
}
