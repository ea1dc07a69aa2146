//! Configuration of a [`Node`](super::Node), and the actions that it returns to its driver.

use kelpworks_coord::dissemination;
use kelpworks_coord::facts;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::membership;
use kelpworks_coord::membership::Health;
use kelpworks_coord::time::Span;
use kelpworks_wire::PeerMessage;

/// Intervals, timeouts and limits of a [`Node`](super::Node).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Configuration of the membership protocol.
    pub membership: membership::Config,
    /// Configuration of the store of facts.
    pub facts: facts::Config,
    /// Configuration of the dissemination of generations.
    pub dissemination: dissemination::Config,
    /// Number of successors in a ring ordered by identifier that a generation is pushed to as well.
    /// Default 2.
    pub ring_successors: usize,
    /// Number of daemons of each failure domain that watch the object API. Default 2.
    pub watchers: usize,
    /// Average rate of gossip. Default 700 bytes per second.
    pub gossip_bytes_per_second: u64,
    /// Maximum burst of gossip. Default 32 KiB.
    pub gossip_burst_bytes: u64,
    /// How long the state of two daemons may differ before they synchronize fully. Default 5 s.
    pub divergence_timeout: Span,
    /// Minimum time between two full synchronizations. Default 10 s.
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

/// An action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat; its answer goes to [`super::Node::on_answer`].
    Heartbeat {
        /// Recipient.
        to: NodeId,
        /// Heartbeat.
        message: Box<PeerMessage>,
    },
    /// Send a heartbeat through another peer; the target's answer goes to
    /// [`super::Node::on_answer`].
    HeartbeatVia {
        /// Peer that forwards it.
        via: NodeId,
        /// Final recipient.
        target: NodeId,
        /// Heartbeat.
        message: Box<PeerMessage>,
    },
    /// Send the configuration head of the active configuration.
    Push(NodeId),
    /// Request the configuration head of the peer's active configuration.
    Pull(NodeId),
    /// Synchronize fully: send [`super::Node::state`]; the state in the answer goes to
    /// [`super::Node::on_state`].
    Sync(NodeId),
    /// The health of a member changed.
    Changed {
        /// The member.
        node: NodeId,
        /// New health.
        health: Health,
    },
    /// Facts of other daemons were added, renewed or cleared.
    FactsChanged,
}

/// Outcome of a received heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Answer to the sender.
    pub message: PeerMessage,
    /// Further actions for the driver.
    pub actions: Vec<Action>,
}
