//! Messages that daemons exchange.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::crash_ledger::Crash;
use kelpworks_coord::crash_ledger::PartCrash;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::adapter::StartTime;
use crate::assignments::LayerAssignment;
use crate::fleet::AddressOwner;
use crate::fleet::OwnerReport;
use crate::limits::Rate;
use crate::peers::lateness::ClockReading;
use crate::peers::members::Condition;
use crate::peers::members::Fingerprint;
use crate::peers::packed::Packed;

/// Membership record of a daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Contact {
    pub(super) name: Arc<str>,
    /// Failure domain that the daemon runs in.
    pub(super) domain: Arc<str>,
    /// Address on which the daemon accepts calls of its peers.
    pub(super) address: SocketAddr,
    /// Milliseconds since the last contact of any daemon with it.
    pub(super) age_ms: u64,
    /// Milliseconds since the last call that it did not answer; absent if no such call is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) lost_age_ms: Option<u64>,
    /// Condition that it reported at the last contact.
    #[serde(default)]
    pub(super) condition: Condition,
    /// Whether it reported at the last contact that it watches the store and gets answers.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) watching: bool,
    /// Port on which it accepts requests that other daemons hand over, at the IP address of
    /// `address`; `None` if it accepts none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) handover: Option<u16>,
    /// Services whose upstreams it did not reach at the last contact.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) unreachable: Vec<Arc<str>>,
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Leader, which sends orders to engines.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LeaderOf {
    pub(super) precedence: u64,
    /// Milliseconds since it was last known to lead.
    pub(super) age_ms: u64,
}

/// Load that a daemon puts on an upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LoadOf {
    pub(super) instance: Arc<str>,
    pub(super) running: f64,
    pub(super) reserved: f64,
}

/// An upstream that the reporting daemon has ejected.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct EjectionOf {
    pub(super) instance: Arc<str>,
    pub(super) left_ms: u64,
    /// Whether the upstream accepted no connection; false if it only stalled.
    #[serde(default)]
    pub(super) gone: bool,
}

/// Slowness that an engine reported of itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SlownessOf {
    pub(super) instance: Arc<str>,
    /// Factor by which its work takes longer than usual.
    pub(super) times: f64,
    /// Milliseconds since the engine reported it.
    pub(super) age_ms: u64,
}

/// Crash count of a request that is refused, for daemons of older builds.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CrashesOf {
    pub(super) fingerprint: u64,
    pub(super) crashes: u32,
}

/// Facts of the ledger of crashes that a daemon has just learned.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Findings {
    /// Address at which the sender accepts calls of its peers.
    pub(super) from: SocketAddr,
    pub(super) facts: Vec<Crash>,
    /// Facts about parts of prompts; older builds have none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) part_facts: Vec<PartCrash>,
}

/// Question whether a test run of a suspected request may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct TestRunRequest {
    /// Address at which the sender accepts calls of its peers.
    pub(super) from: SocketAddr,
    pub(super) fingerprint: u64,
}

/// Answer to a [`TestRunRequest`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct TestRunReply {
    /// Milliseconds after which it may be asked for again; absent if it may begin now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) wait_ms: Option<u64>,
}

/// Layer assignment that an engine reported of itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct AssignmentOf {
    pub(super) instance: Arc<str>,
    /// Number of orders that the engine had begun.
    pub(super) orders: u64,
    /// First layer of the range.
    pub(super) from: u16,
    /// End of the range, exclusive.
    pub(super) to: u16,
    /// Whether the layers are loaded.
    pub(super) loaded: bool,
    /// Milliseconds since the engine reported it.
    pub(super) age_ms: u64,
    /// Longest time in milliseconds for which the engine waits for its requests before it loads the layers; 0 in
    /// older builds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub(super) wait_ms: u64,
}

impl AssignmentOf {
    pub(super) fn new(
        instance: Arc<str>,
        assignment: LayerAssignment,
        wait: Duration,
        age: Duration,
    ) -> AssignmentOf {
        AssignmentOf {
            instance,
            orders: assignment.orders,
            from: assignment.layers.from,
            to: assignment.layers.to,
            loaded: assignment.loaded,
            age_ms: age.as_millis() as u64,
            wait_ms: wait.as_millis() as u64,
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

/// Upstream that owns an address, according to an answer from that address.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct OwnerOf {
    pub(super) address: SocketAddr,
    pub(super) id: Arc<str>,
    /// Milliseconds since the request was sent that was answered.
    pub(super) age_ms: u64,
    /// Start time of that upstream, if the sender knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) start: Option<StartTime>,
    /// Random number of the answer; older builds have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) answer: Option<u64>,
}

impl OwnerOf {
    pub(super) fn new(report: OwnerReport, age: Duration) -> OwnerOf {
        OwnerOf {
            address: report.owner.address,
            id: report.owner.id,
            age_ms: age.as_millis() as u64,
            start: report.start,
            answer: report.answer,
        }
    }

    pub(super) fn report(&self) -> OwnerReport {
        OwnerReport {
            owner: AddressOwner {
                address: self.address,
                id: Arc::clone(&self.id),
            },
            start: self.start,
            answer: self.answer,
        }
    }
}

/// Latest rate limit that an upstream announced.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LimitOf {
    pub(super) instance: Arc<str>,
    /// `None` if the upstream ended the limit.
    pub(super) per_second: Option<Rate>,
    /// Age of this information in milliseconds.
    pub(super) age_ms: u64,
}

/// Upstream that stated in an answer that it is leaving.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LeavingOf {
    pub(super) instance: Arc<str>,
    /// Milliseconds since its first notice to any daemon.
    pub(super) age_ms: u64,
}

/// Milliseconds since the store last answered any daemon that watches it, per kind of object.
/// `None` if no answer is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct StoreAges {
    pub(super) configuration_ms: Option<u64>,
    pub(super) upstreams_ms: Option<u64>,
}

/// Figures of the sender about a service whose requests compete for room, for the receiver alone.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ContentionOf {
    pub(super) service: Arc<str>,
    /// See [`crate::contention::pooled::Pooled::message`].
    pub(super) figures: Vec<f64>,
}

/// Observation that all upstreams of a service have run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct UpstreamsRanOf {
    pub(super) service: Arc<str>,
    /// Milliseconds since a time after which each of them was seen to run.
    pub(super) age_ms: u64,
}

/// Periodic gossip message of a daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Digest {
    pub(super) from: Contact,
    /// The sender's clock when it made the digest; older builds have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) clock: Option<ClockReading>,
    /// Version of the configuration that is active at the sender.
    pub(super) version: u64,
    /// Version of the upstream entries at the sender.
    #[serde(flatten)]
    pub(super) entries: Version,
    /// Latest store era that the sender knows.
    #[serde(default)]
    pub(super) latest_era: Era,
    /// Number of other daemons that the sender knows.
    pub(super) knows: usize,
    /// Milliseconds since the sender, or a daemon in contact with it, was in contact with a majority of the
    /// seeds. `None` if it was not, has no seeds, or runs an older build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) seed_majority_ms: Option<u64>,
    /// Time since the last known answers of the store to its watchers.
    #[serde(default)]
    pub(super) store: StoreAges,
    /// Current leader, if the sender knows one.
    #[serde(rename = "director")]
    pub(super) leader: Option<LeaderOf>,
    pub(super) members: Vec<Contact>,
    pub(super) load: Vec<LoadOf>,
    #[serde(rename = "doubts")]
    pub(super) ejections: Vec<EjectionOf>,
    /// Empty unless requests are refused.
    pub(super) crashes: Vec<CrashesOf>,
    /// Facts of the ledger of crashes; older builds have none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) facts: Vec<Crash>,
    /// Facts about parts of prompts; older builds have none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) part_facts: Vec<PartCrash>,
    /// Slowness reports that have not expired.
    pub(super) slowness: Vec<SlownessOf>,
    /// Layer assignments that the registrations of the engines do not show yet.
    #[serde(rename = "holdings")]
    pub(super) assignments: Vec<AssignmentOf>,
    /// Addresses that were found to belong to another upstream than the registered one.
    #[serde(default)]
    pub(super) owners: Vec<OwnerOf>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) limits: Vec<LimitOf>,
    /// Upstreams that stated recently that they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) leaving: Vec<LeavingOf>,
    /// Fingerprint of the daemons that the sender counts as live, itself among them.
    #[serde(default)]
    pub(super) membership: Fingerprint,
    /// Figures about the services whose requests compete for room; older builds have none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) contention: Vec<ContentionOf>,
    /// Services whose upstreams were all seen to run not long ago; older builds have none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) upstreams_ran: Vec<UpstreamsRanOf>,
}

/// Reply with the texts that are newer than the requested versions.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Texts {
    /// Version of the active configuration at the sender.
    pub(super) version: u64,
    /// The configuration, if it is newer than the requested version.
    pub(super) configuration: Option<Packed>,
    /// The upstream entries and their version as JSON, if newer than the requested version.
    pub(super) entries: Option<Packed>,
    /// The changes of the upstream entries since the requested version as JSON, in place of
    /// `entries`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) changes: Option<Packed>,
}

/// Announcement of a configuration that a daemon has activated.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Announcement {
    /// Address at which the sender can be asked for the configuration.
    pub(super) from: SocketAddr,
    /// Version of the configuration.
    pub(super) version: u64,
}

/// Versions that the requesting daemon already has.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HeldVersions {
    pub(super) version: u64,
    #[serde(flatten)]
    pub(super) entries: Version,
    /// Whether the daemon reads the changes of entries in place of all entries.
    #[serde(default)]
    pub(super) accepts_changes: bool,
}

/// Age of `at` in whole milliseconds, as sent in messages.
pub(super) fn millis_since(at: Instant, now: Instant) -> u64 {
    now.duration_since(at).as_millis() as u64
}
