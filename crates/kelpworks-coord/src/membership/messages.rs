//! Configuration, events, actions and gossip of membership.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::time::Span;

/// Intervals, timeouts and limits of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Interval at which one member is probed. Default 1 s.
    pub probe_interval: Span,
    /// Timeout of a direct probe, and of the indirect probes after it. Default 400 ms.
    pub probe_timeout: Span,
    /// Number of members that are asked to probe an unresponsive one. Default 3.
    pub indirect_probes: usize,
    /// Daemons, this one included, that must suspect a member before it counts as dead. In a fleet
    /// with fewer live daemons all of them must, but at least 2. Default 3.
    pub confirmations: usize,
    /// Shortest time from suspicion to death, in which the member can refute it. Default 2 s.
    pub min_suspicion: Span,
    /// Time after which a suspect counts as dead even without confirmation by others. Default 15 s.
    pub max_suspicion: Span,
    /// Shortest time between two probes of a dead member. Default 10 s.
    pub dead_probe_interval: Span,
    /// How long the state of a dead member that is no longer on the host list, or of one that left,
    /// is kept. Default 10 min.
    pub retention: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            probe_interval: Span::from_secs(1),
            probe_timeout: Span::from_millis(400),
            indirect_probes: 3,
            confirmations: 3,
            min_suspicion: Span::from_secs(2),
            max_suspicion: Span::from_secs(15),
            dead_probe_interval: Span::from_secs(10),
            retention: Span::from_secs(600),
        }
    }
}

/// Health of a member. Of two reports on one incarnation, the one with the higher health in this
/// order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Answers probes; counts as live.
    Alive,
    /// Did not answer the probes of some daemons; still counts as live.
    Suspect,
    /// Suspected by enough daemons or for long enough; does not count as live.
    Dead,
    /// Announced that it leaves; does not count as live.
    Left,
}

/// An entry of the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Daemon on the host.
    pub node: NodeId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Whether the platform is about to withdraw the host.
    pub leaving: bool,
}

/// Gossip about a member: its health as one daemon observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// Member that the update is about.
    pub node: NodeId,
    /// Failure domain of the member.
    pub domain: DomainId,
    /// Incarnation of the member that the update is about.
    pub incarnation: Incarnation,
    /// Health of that incarnation.
    pub health: Health,
    /// Daemon that observed it; stays the same when others pass the update on.
    pub by: NodeId,
}

/// An input of [`Membership`](super::Membership).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The host list was read. Members that it lacks stay known, but no longer as listed.
    HostList(Vec<Entry>),
    /// A message of any kind arrived directly from a member, or its answer to an indirect probe
    /// arrived.
    Contact {
        /// Member that sent it.
        from: NodeId,
        /// Incarnation that the member stated.
        incarnation: Incarnation,
    },
    /// A probe of this daemon arrived.
    Probed {
        /// Prober.
        from: NodeId,
        /// Incarnation of the prober.
        incarnation: Incarnation,
        /// This daemon's health as the prober records it.
        view: Update,
    },
    /// Gossip arrived with a message.
    Updates(Vec<Update>),
    /// This daemon is about to stop; it announces that and probes no more.
    Leave,
}

/// Something for the driver to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Probe a member; an answer is reported by [`Event::Contact`].
    Probe {
        /// Member to probe.
        target: NodeId,
        /// Health of the target as this daemon records it; sent with the probe.
        view: Update,
    },
    /// Ask `via` to probe `target`; an answer of the target is reported by [`Event::Contact`].
    IndirectProbe {
        /// Member that sends the probe.
        via: NodeId,
        /// Member to probe.
        target: NodeId,
        /// Health of the target as this daemon records it; sent with the probe.
        view: Update,
    },
    /// Acknowledge a probe, with this daemon's incarnation.
    Ack {
        /// Prober.
        to: NodeId,
        /// This daemon's incarnation, which the probe may have raised.
        incarnation: Incarnation,
        /// Health of the prober as this daemon records it, for the prober to refute; `None` when
        /// the prober is unknown.
        view: Option<Update>,
    },
    /// The recorded health of a member changed, or a member became known.
    HealthChanged {
        /// Member whose health changed.
        node: NodeId,
        /// New health.
        health: Health,
    },
}
