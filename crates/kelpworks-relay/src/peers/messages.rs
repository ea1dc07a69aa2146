//! What daemons tell each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::assignments::LayerAssignment;
use crate::limits::Rate;
use crate::peers::members::Condition;
use crate::peers::packed::Packed;

/// A daemon as others know it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Contact {
    /// Its name.
    pub(super) name: Arc<str>,
    /// Failure domain it stands in.
    pub(super) domain: Arc<str>,
    /// Where it listens for peers.
    pub(super) address: SocketAddr,
    /// Milliseconds since it was last heard, by whomever.
    pub(super) age_ms: u64,
    /// Milliseconds since a call that it did not answer; none where none is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) lost_age_ms: Option<u64>,
    /// What it said of itself when it was last heard.
    #[serde(default)]
    pub(super) condition: Condition,
}

/// A daemon that gives orders to engines.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LeaderOf {
    pub(super) precedence: u64,
    /// Milliseconds since it was last known to do so.
    pub(super) age_ms: u64,
}

/// What a daemon runs on an upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LoadOf {
    pub(super) instance: Arc<str>,
    pub(super) running: f64,
    pub(super) reserved: f64,
}

/// An upstream that a daemon passes over.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct EjectionOf {
    pub(super) instance: Arc<str>,
    pub(super) left_ms: u64,
    /// Whether it took no connection, or was only silent.
    #[serde(default)]
    pub(super) gone: bool,
}

/// How slow an engine said that it is.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SlownessOf {
    pub(super) instance: Arc<str>,
    /// How many times longer its work takes than usual.
    pub(super) times: f64,
    /// Milliseconds since it said so.
    pub(super) age_ms: u64,
}

/// A request that died with upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CrashesOf {
    pub(super) fingerprint: u64,
    pub(super) crashes: u32,
}

/// An engine's own word on its layers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct AssignmentOf {
    pub(super) instance: Arc<str>,
    /// Orders that it had begun.
    pub(super) orders: u64,
    /// First layer.
    pub(super) from: u16,
    /// First layer after them.
    pub(super) to: u16,
    /// Whether they are loaded.
    pub(super) loaded: bool,
    /// Milliseconds since it said so.
    pub(super) age_ms: u64,
}

impl AssignmentOf {
    pub(super) fn new(
        instance: Arc<str>,
        assignment: LayerAssignment,
        age: Duration,
    ) -> AssignmentOf {
        AssignmentOf {
            instance,
            orders: assignment.orders,
            from: assignment.layers.from,
            to: assignment.layers.to,
            loaded: assignment.loaded,
            age_ms: age.as_millis() as u64,
        }
    }

    pub(super) fn assignment(&self) -> LayerAssignment {
        LayerAssignment {
            orders: self.orders,
            layers: LayerRange {
                from: self.from,
                to: self.to,
            },
            loaded: self.loaded,
        }
    }
}

/// Who has an address, by an answer from there.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct OwnerOf {
    pub(super) address: SocketAddr,
    /// Id of the upstream that answered.
    pub(super) id: Arc<str>,
    /// Milliseconds since it did.
    pub(super) age_ms: u64,
}

/// What an upstream last announced of its limit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LimitOf {
    pub(super) instance: Arc<str>,
    /// None where it ended the limit.
    pub(super) per_second: Option<Rate>,
    /// Milliseconds since it did.
    pub(super) age_ms: u64,
}

/// Milliseconds since the store was last known to answer a daemon that watches it, by the kind that
/// was asked for; none where it isn't known to have answered any.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct StoreAges {
    pub(super) configuration_ms: Option<u64>,
    pub(super) upstreams_ms: Option<u64>,
}

/// What a daemon tells of itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Digest {
    pub(super) from: Contact,
    /// Version of the configuration in force there.
    pub(super) version: u64,
    /// Version of the upstreams' entries there.
    #[serde(flatten)]
    pub(super) entries: Version,
    /// Latest era of the store that it has heard of.
    #[serde(default)]
    pub(super) latest_era: Era,
    /// Daemons that it knows.
    pub(super) knows: usize,
    /// When the store was last known to answer a daemon that watches it.
    #[serde(default)]
    pub(super) store: StoreAges,
    /// Who gives orders, as far as known.
    #[serde(rename = "director")]
    pub(super) leader: Option<LeaderOf>,
    pub(super) members: Vec<Contact>,
    pub(super) load: Vec<LoadOf>,
    #[serde(rename = "doubts")]
    pub(super) ejections: Vec<EjectionOf>,
    pub(super) crashes: Vec<CrashesOf>,
    /// Words of engines on their slowness, as far as they still count.
    pub(super) slowness: Vec<SlownessOf>,
    /// Layers of engines that their registrations do not show yet.
    #[serde(rename = "holdings")]
    pub(super) assignments: Vec<AssignmentOf>,
    /// Addresses that were found to be another upstream's than registered.
    #[serde(default)]
    pub(super) owners: Vec<OwnerOf>,
    /// Limits that upstreams announced.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) limits: Vec<LimitOf>,
}

/// Texts that a daemon holds.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Texts {
    /// Version of the configuration that is sent along, if one is.
    pub(super) version: u64,
    /// The configuration, when it is newer than was asked for.
    pub(super) configuration: Option<Packed>,
    /// The entries of upstreams and their version, as JSON, when newer than was asked for.
    pub(super) entries: Option<Packed>,
}

/// What the asking daemon holds already.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HeldVersions {
    pub(super) version: u64,
    #[serde(flatten)]
    pub(super) entries: Version,
}

/// Age of a moment, as messages tell it.
pub(super) fn millis_since(at: Instant, now: Instant) -> u64 {
    now.duration_since(at).as_millis() as u64
}
