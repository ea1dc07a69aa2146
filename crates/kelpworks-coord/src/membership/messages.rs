//! What membership takes and says.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::time::Span;

/// Times and bounds of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// One member is probed in each of these. Default 1 s.
    pub probe_interval: Span,
    /// How long a probe, direct or indirect, may take. Default 400 ms.
    pub probe_timeout: Span,
    /// Members asked to probe a silent one. Default 3.
    pub indirect_probes: usize,
    /// Daemons that must suspect a member before it counts as dead, this one included; fewer when
    /// there are not so many, but at least 2. Default 3.
    pub confirmations: usize,
    /// Least time from suspicion to death, in which to refute it. Default 2 s.
    pub min_suspicion: Span,
    /// A suspect counts as dead after so long without confirmation too. Default 15 s.
    pub max_suspicion: Span,
    /// How often a dead member is probed. Default 10 s.
    pub dead_probe_interval: Span,
    /// How long a dead member that is no longer listed, or one that left, is remembered.
    /// Default 10 min.
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

/// What is held of a member; in rising order of rank within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Live.
    Alive,
    /// Silent towards some; still counted as live.
    Suspect,
    /// Not counted as live.
    Dead,
    /// Left by its own word.
    Left,
}

/// A line of the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The daemon.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether the platform is about to take the host away.
    pub leaving: bool,
}

/// What one daemon tells another of a third.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Incarnation that the report is about.
    pub incarnation: Incarnation,
    /// What it says.
    pub health: Health,
    /// Who says so of its own knowledge.
    pub by: NodeId,
}

/// An input.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The host list was read.
    HostList(Vec<Entry>),
    /// A message of any kind came straight from a member, or its answer by an indirect probe.
    Contact {
        /// The member.
        from: NodeId,
        /// As it says.
        incarnation: Incarnation,
    },
    /// A probe came in; `view` is what the prober holds of this daemon.
    Probed {
        /// The prober.
        from: NodeId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// What it holds of this daemon.
        view: Update,
    },
    /// Reports came with a message.
    Updates(Vec<Update>),
    /// This daemon is about to stop.
    Leave,
}

/// Something for the driver to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Probe a member; [`Event::Contact`] if it answers.
    Probe {
        /// The member.
        target: NodeId,
        /// What this daemon holds of it; goes with the probe.
        view: Update,
    },
    /// Ask `via` to probe `target`; [`Event::Contact`] of the target if that answers.
    IndirectProbe {
        /// Whom to ask.
        via: NodeId,
        /// Whom to probe.
        target: NodeId,
        /// Goes with the probe.
        view: Update,
    },
    /// Answer a probe, with this daemon's incarnation.
    Ack {
        /// The prober.
        to: NodeId,
        /// May have been raised by the probe.
        incarnation: Incarnation,
        /// What this daemon holds of the prober, for it to refute.
        view: Option<Update>,
    },
    /// What is held of a member changed.
    HealthChanged {
        /// The member.
        node: NodeId,
        /// From now on.
        health: Health,
    },
}
