//! Bounds of a [`Node`](super::Node), and what it asks of its driver.

use kelpworks_coord::dissemination;
use kelpworks_coord::facts;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::membership;
use kelpworks_coord::membership::Health;
use kelpworks_coord::time::Span;
use kelpworks_wire::PeerMessage;

/// Times and bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Of the membership protocol.
    pub membership: membership::Config,
    /// Of the store of facts.
    pub facts: facts::Config,
    /// Of the spreading of generations.
    pub dissemination: dissemination::Config,
    /// Peers next in order of identifier that a generation is pushed to as well. Default 2.
    pub ring_successors: usize,
    /// Daemons of each failure domain that watch the object API. Default 2.
    pub watchers: usize,
    /// Bytes of news a second, on average. Default 700.
    pub gossip_bytes_per_second: u64,
    /// Bytes of news at once. Default 32 KiB.
    pub gossip_burst_bytes: u64,
    /// How long two daemons may differ before one asks the other for all it holds. Default 5 s.
    pub divergence_timeout: Span,
    /// Least time between two such exchanges. Default 10 s.
    pub min_sync_interval: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            membership: membership::Config::default(),
            facts: facts::Config::default(),
            dissemination: dissemination::Config::default(),
            ring_successors: 2,
            watchers: 2,
            gossip_bytes_per_second: 700,
            gossip_burst_bytes: 32 << 10,
            divergence_timeout: Span::from_secs(5),
            min_sync_interval: Span::from_secs(10),
        }
    }
}

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat; its answer goes to [`super::Node::on_answer`].
    Heartbeat {
        /// To whom.
        to: NodeId,
        /// What.
        message: Box<PeerMessage>,
    },
    /// Have a heartbeat passed on; the target's answer goes to [`super::Node::on_answer`].
    HeartbeatVia {
        /// Through whom.
        via: NodeId,
        /// To whom.
        target: NodeId,
        /// What.
        message: Box<PeerMessage>,
    },
    /// Send the head in force.
    Push(NodeId),
    /// Ask for the head in force.
    Pull(NodeId),
    /// Send [`super::Node::state`]; the state that answers it goes to [`super::Node::on_state`].
    Sync(NodeId),
    /// The health of a member changed.
    Changed {
        /// The member.
        node: NodeId,
        /// From now on.
        health: Health,
    },
    /// Facts of others came or were cleared.
    FactsChanged,
}

/// A heartbeat's answer, and what else follows from it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Goes back to the sender.
    pub message: PeerMessage,
    /// To be done.
    pub actions: Vec<Action>,
}
