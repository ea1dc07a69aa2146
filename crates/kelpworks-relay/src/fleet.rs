//! Upstreams and their current state: registration, load and recent health.
//!
//! Health is derived from the requests themselves: each event or answer marks the upstreams that
//! produced it as live at that moment, and a stalled request raises suspicion of those of its
//! upstreams that nothing has confirmed since. This needs no probes, and detects a dead engine
//! within a few typical pauses between events.

mod address_owners;
mod restore_overlay;
mod upstream;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::adapter::Lifecycle;
use crate::adapter::StartTime;
use crate::adapter::UpstreamEntry;
use crate::adapter::incarnation;
use crate::assignments::LayerAssignment;
use crate::assignments::LayerAssignments;
use crate::constraints::RemovedConstraints;
use address_owners::AddressOwners;
use restore_overlay::RestoreOverlay;

pub use address_owners::AddressOwner;
pub use address_owners::OwnerReport;
pub use upstream::FaultAttribution;
pub use upstream::Load;
pub use upstream::REROUTE_SLOWNESS;
pub use upstream::Upstream;

new_key_type! {
    /// Key of an upstream's incarnation; never reused.
    pub struct UpstreamKey;
}

/// Time after a stream stalled in which events of other streams don't confirm an upstream: they
/// may have been in flight when it died.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(30);
/// An upstream that nothing has confirmed for this long is suspected by every stalled stream on
/// it: some five typical pauses between the events of one stream.
const CONFIRMATION_WINDOW: Duration = Duration::from_millis(130);
/// Changes to the upstreams in effect, caused by a new registration list or a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegistrationChanges {
    /// Incarnations that are new.
    pub added: Vec<Arc<str>>,
    /// Incarnations that are no longer in effect.
    pub removed: Vec<Arc<str>>,
    /// Incarnations that began to leave.
    pub leaving: Vec<Arc<str>>,
    /// Incarnations whose registered layers changed, with the new layers.
    pub layers: Vec<(Arc<str>, Option<LayerRange>)>,
}

impl RegistrationChanges {
    /// Returns whether there is no change.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
            && self.removed.is_empty()
            && self.leaving.is_empty()
            && self.layers.is_empty()
    }
}

/// All upstreams that this daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_instance: HashMap<Arc<str>, UpstreamKey>,
    by_service: HashMap<Arc<str>, Vec<UpstreamKey>>,
    assignments: LayerAssignments,
    /// Entries as last registered, including those that are not in effect because another entry
    /// owns their address.
    registered: Vec<UpstreamEntry>,
    address_owners: AddressOwners,
    restore_overlay: RestoreOverlay,
    removed_constraints: RemovedConstraints,
    /// Version of the registrations; never decreases.
    version: Version,
}

impl Fleet {
    /// Returns the version of the registrations.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Replaces all registrations by the list of a version; the list of an older version is
    /// ignored. Where several entries claim one address, or one id with several start times, one
    /// takes effect.
    pub fn replace(
        &mut self,
        entries: Vec<UpstreamEntry>,
        version: Version,
        now: Instant,
    ) -> RegistrationChanges {
        if version < self.version {
            return RegistrationChanges::default();
        }
        if version.era > self.version.era {
            let before = self.restore_overlay.apply(&self.registered).into_owned();
            self.restore_overlay.begin(&before, &entries, now);
        }
        self.version = version;
        self.registered = entries;
        let entries = self.restore_overlay.apply(&self.registered);
        self.address_owners.on_registrations(&entries, now);
        self.rebuild()
    }

    /// Drops the entries that were kept over a restore of the store from an older copy and that
    /// their upstreams did not register again in time. Returns `None` unless that time ended with
    /// this call.
    pub fn expire_restored(&mut self, now: Instant) -> Option<RegistrationChanges> {
        let has_ended = self.restore_overlay.expire(&self.registered, now);
        has_ended.then(|| self.rebuild())
    }

    /// Applies an answer from an address to a request of this daemon that was sent at `sent`. Returns the resulting
    /// changes; `None` if the answer is outdated or the owner was already known.
    pub fn learn_owner(
        &mut self,
        owner: AddressOwner,
        sent: Instant,
    ) -> Option<RegistrationChanges> {
        let is_new = self.address_owners.learn(owner, sent);
        is_new.then(|| self.rebuild())
    }

    /// Applies a peer's report of an answer to a request that was sent at `at`; like [`Fleet::learn_owner`].
    pub fn learn_owner_report(
        &mut self,
        report: OwnerReport,
        at: Instant,
    ) -> Option<RegistrationChanges> {
        let is_new = self.address_owners.learn_report(report, at);
        is_new.then(|| self.rebuild())
    }

    /// Returns the registered entries that have no effect because another upstream owns their address, with the last
    /// time at which an answer from there was reported.
    pub fn without_address(&self) -> Vec<(UpstreamEntry, Option<Instant>)> {
        let entries = self.restore_overlay.apply(&self.registered);
        if entries.len() == self.upstreams.len() {
            return Vec::new();
        }
        let in_effect: HashSet<&Arc<str>> = self.upstreams.values().map(|u| &u.entry.id).collect();
        let is_without = |e: &&UpstreamEntry| !in_effect.contains(&e.id);
        let without = entries.iter().filter(is_without);
        let reported_at = |e: &UpstreamEntry| self.address_owners.reported_at(e.address);
        without.map(|e| (e.clone(), reported_at(e))).collect()
    }

    /// Applies an upstream's own report of its start time if it is later than the registered one:
    /// the upstream has restarted since it registered, and counts as holding no layers until it
    /// reports some. Returns `None` if the time is not later or the entry has none.
    pub fn learn_start(
        &mut self,
        key: UpstreamKey,
        start: StartTime,
    ) -> Option<RegistrationChanges> {
        let entry = &self.upstreams.get(key)?.entry;
        if entry.start.is_none_or(|known| start <= known) {
            return None;
        }
        let id = Arc::clone(&entry.id);
        let registered = self.registered.iter_mut().find(|e| e.id == id)?;
        registered.start = Some(start);
        registered.instance = incarnation(&id, Some(start));
        registered.layers = None;
        Some(self.rebuild())
    }

    /// Returns at most `max` recent reports of address owners with their age, newest first.
    pub fn recent_owners(&self, max: usize, now: Instant) -> Vec<(OwnerReport, Duration)> {
        self.address_owners.recent(max, now)
    }

    /// Updates the upstreams to the registered entries that are in effect.
    fn rebuild(&mut self) -> RegistrationChanges {
        let mut changes = RegistrationChanges::default();
        let entries = self.effective_entries();
        let known: HashSet<Arc<str>> = entries.iter().map(|e| Arc::clone(&e.instance)).collect();
        let removed = self.by_instance.keys().filter(|i| !known.contains(*i));
        for instance in removed.cloned().collect::<Vec<_>>() {
            self.remove(&instance);
            changes.removed.push(instance);
        }
        for entry in entries {
            self.upsert(entry, &mut changes);
        }
        changes
    }

    /// Returns the registered entries that are in effect. An entry with an earlier start time than
    /// the known upstream of its id is replaced by that upstream's entry.
    fn effective_entries(&self) -> Vec<UpstreamEntry> {
        let known = self.upstreams.values().map(|u| (&u.entry.id, &u.entry));
        let known: HashMap<&Arc<str>, &UpstreamEntry> = known.collect();
        let newest = |entry: &UpstreamEntry| match known.get(&entry.id) {
            Some(&known) if known.start > entry.start => known.clone(),
            _ => entry.clone(),
        };
        let entries = self.restore_overlay.apply(&self.registered);
        let entries = entries.iter().map(newest).collect();
        self.address_owners.owning_entries(entries)
    }

    fn upsert(&mut self, entry: UpstreamEntry, changes: &mut RegistrationChanges) {
        self.assignments
            .on_registration(&entry.instance, entry.layers);
        let layers = self.assignments.usable(&entry);
        if let Some(&key) = self.by_instance.get(&entry.instance) {
            if let Some(upstream) = self.upstreams.get_mut(key) {
                if upstream.is_ready() && entry.lifecycle == Lifecycle::Leaving {
                    changes.leaving.push(Arc::clone(&entry.instance));
                }
                if upstream.entry.layers != entry.layers {
                    changes
                        .layers
                        .push((Arc::clone(&entry.instance), entry.layers));
                }
                upstream.layers = layers;
                upstream.entry = entry;
            }
            return;
        }
        let instance = Arc::clone(&entry.instance);
        let service = Arc::clone(&entry.service);
        let constraints = self.removed_constraints.take(&instance);
        let key = self
            .upstreams
            .insert(Upstream::new(entry, layers, constraints));
        self.by_instance.insert(Arc::clone(&instance), key);
        self.by_service.entry(service).or_default().push(key);
        changes.added.push(instance);
    }

    fn remove(&mut self, instance: &str) {
        self.assignments.forget(instance);
        let Some(key) = self.by_instance.remove(instance) else {
            return;
        };
        let Some(upstream) = self.upstreams.remove(key) else {
            return;
        };
        self.removed_constraints
            .keep(&upstream.entry.instance, upstream.constraints);
        if let Some(keys) = self.by_service.get_mut(&upstream.entry.service) {
            keys.retain(|&k| k != key);
        }
    }

    /// Applies an engine's report of its layers that was true `age` ago; returns whether it is
    /// newer than the known one.
    pub fn learn_assignment(
        &mut self,
        instance: &Arc<str>,
        assignment: LayerAssignment,
        age: Duration,
        now: Instant,
    ) -> bool {
        self.learn_displacing_assignment(instance, assignment, Duration::ZERO, age, now)
    }

    /// Like [`Fleet::learn_assignment`], for an engine that may wait for its requests for up to `wait` before it loads
    /// the layers.
    pub fn learn_displacing_assignment(
        &mut self,
        instance: &Arc<str>,
        assignment: LayerAssignment,
        wait: Duration,
        age: Duration,
        now: Instant,
    ) -> bool {
        let Some(&key) = self.by_instance.get(instance) else {
            return false;
        };
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let assignments = &mut self.assignments;
        if !assignments.learn_displacing(instance, assignment, wait, age, now) {
            return false;
        }
        self.assignments
            .on_registration(instance, upstream.entry.layers);
        upstream.layers = self.assignments.usable(&upstream.entry);
        true
    }

    /// Reverts engines whose reports no registration confirmed in time to their registered layers,
    /// and returns their incarnations.
    pub fn expire_assignments(
        &mut self,
        registrations_available: bool,
        now: Instant,
    ) -> Vec<Arc<str>> {
        let expired = self.assignments.expire(registrations_available, now);
        for instance in &expired {
            let key = self.by_instance.get(instance).copied();
            if let Some(upstream) = key.and_then(|k| self.upstreams.get_mut(k)) {
                upstream.layers = upstream.entry.layers;
            }
        }
        expired
    }

    /// Returns the engines' reports of their layers that are newer than their registrations.
    pub fn assignments(&self) -> &LayerAssignments {
        &self.assignments
    }

    /// Returns an upstream; `None` once its incarnation has been removed.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns a mutable upstream; `None` once its incarnation has been removed.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Returns the key of an incarnation that is in effect.
    pub fn key_of(&self, instance: &str) -> Option<UpstreamKey> {
        self.by_instance.get(instance).copied()
    }

    /// Returns the upstreams of a service in the order in which they were added.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|&k| Some((k, self.upstreams.get(k)?)))
    }

    /// Returns the services that have upstreams, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        let services = self.by_service.iter();
        services.filter_map(|(service, keys)| (!keys.is_empty()).then_some(service))
    }

    /// Returns the addresses to which requests for a service may have been sent: those of plain upstreams, of engines
    /// with the first layer, and of engines with no known layers.
    pub fn entry_addresses(&self, service: &str) -> Vec<SocketAddr> {
        let is_entry = |u: &Upstream| u.layers.is_none_or(|layers| layers.contains(0));
        let entries = self.of_service(service).filter(|(_, u)| is_entry(u));
        entries.map(|(_, u)| u.entry.address).collect()
    }

    /// Returns whether an upstream is registered at an address.
    pub fn is_registered(&self, address: SocketAddr) -> bool {
        self.upstreams.values().any(|u| u.entry.address == address)
    }

    /// Iterates over all upstreams, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns the entries that are in effect.
    pub fn entries(&self) -> Vec<UpstreamEntry> {
        self.upstreams.values().map(|u| u.entry.clone()).collect()
    }

    /// Clears the load from other daemons on every upstream.
    pub fn clear_remote_load(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.remote_load = Load::default();
        }
    }

    /// Counts a request of this daemon at an upstream and reserves `reserved` token-layers of KV
    /// cache for it.
    pub fn reserve(&mut self, key: UpstreamKey, reserved: f64) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.local_load.running += 1.0;
            u.local_load.reserved += reserved;
        }
    }

    /// Undoes [`Fleet::reserve`].
    pub fn release(&mut self, key: UpstreamKey, reserved: f64) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.local_load.running = (u.local_load.running - 1.0).max(0.0);
            u.local_load.reserved = (u.local_load.reserved - reserved).max(0.0);
        }
    }

    /// Records that work passed an upstream.
    pub fn record_success(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.record_success(now);
        }
    }

    /// Records the time that an answer took.
    pub fn record_latency(&mut self, key: UpstreamKey, took: Duration) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.record_latency(took);
        }
    }

    /// Records whether an attempt failed at an upstream that is alive.
    pub fn record_outcome(&mut self, key: UpstreamKey, failed: bool) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.record_outcome(failed);
        }
    }

    /// Records a failure: the upstream is ejected, for longer with each consecutive failure.
    pub fn eject(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.eject(FaultAttribution::Sole, now);
        }
    }

    /// Records that one of several upstreams failed and it is unknown which. This daemon ejects
    /// all of them; other daemons learn of the ejection only if there is a single one.
    pub fn eject_one_of(&mut self, keys: &[UpstreamKey], now: Instant) {
        let attribution = match keys.len() {
            1 => FaultAttribution::Sole,
            _ => FaultAttribution::Shared,
        };
        for &key in keys {
            if let Some(u) = self.upstreams.get_mut(key) {
                u.eject(attribution, now);
            }
        }
    }

    /// Ejects an upstream that accepted no connection. Nothing is sent to it while it is ejected,
    /// even if no other upstream can do its work.
    pub fn eject_unreachable(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.eject(FaultAttribution::Sole, now);
            u.unreachable = true;
        }
    }

    /// Ejects an upstream that a check found to have ended, for as long as discovery needs to remove it.
    pub fn eject_ended(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.eject_ended(now);
        }
    }

    /// Returns those of `keys` that are known to accept no connections, by checks of this daemon or of a peer.
    pub fn unreachable(&self, keys: &[UpstreamKey], now: Instant) -> Vec<UpstreamKey> {
        let is_unreachable = |key: &UpstreamKey| {
            let upstream = self.upstreams.get(*key);
            upstream.is_none_or(|u| u.is_unreachable() && u.is_ejected(now))
        };
        keys.iter().copied().filter(is_unreachable).collect()
    }

    /// Ends the ejections of a service's upstreams for failures, which were due to this daemon's own
    /// links.
    pub fn end_ejections(&mut self, service: &str) {
        let keys = self.by_service.get(service).into_iter().flatten();
        for &key in keys {
            if let Some(u) = self.upstreams.get_mut(key) {
                u.end_ejection();
            }
        }
    }

    /// Records that an upstream refused a request: it is ejected, for longer with each consecutive
    /// refusal.
    pub fn record_refusal(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.record_refusal(now);
        }
    }

    /// Applies an engine's report of its slowness at a moment; returns whether it is newer than
    /// the known one.
    pub fn learn_slowness(&mut self, key: UpstreamKey, times: f64, at: Instant) -> bool {
        let upstream = self.upstreams.get_mut(key);
        upstream.is_some_and(|u| u.learn_slowness(times, at))
    }

    /// Records that an upstream accepted a request, which ends its ejection for refusals.
    pub fn record_acceptance(&mut self, key: UpstreamKey) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.record_acceptance();
        }
    }

    /// Adopts another daemon's ejection of an upstream, unless work has passed the upstream after
    /// `since`. `unreachable` is whether it accepted no connection.
    pub fn learn_ejection(
        &mut self,
        key: UpstreamKey,
        since: Instant,
        until: Instant,
        unreachable: bool,
    ) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.learn_ejection(since, until, unreachable);
        }
    }

    /// Adds `change` to the number of stalled streams that suspect an upstream.
    pub fn count_stalled_stream(&mut self, key: UpstreamKey, change: i32) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.stalled_streams += change;
        }
    }

    /// Returns those of `keys` that have the most stalled streams: the engine that stopped is on
    /// the paths of all of them, the others only on some.
    pub fn most_stalled(&self, keys: &[UpstreamKey]) -> Vec<UpstreamKey> {
        let stalled_streams =
            |key: &UpstreamKey| self.upstreams.get(*key).map_or(0, |u| u.stalled_streams);
        let max = keys.iter().map(stalled_streams).max().unwrap_or(0);
        keys.iter()
            .copied()
            .filter(|k| stalled_streams(k) == max)
            .collect()
    }

    /// Records that a request is sent to an upstream. If the upstream failed before and its
    /// ejection has ended, the request is a trial that keeps other requests away for a short time.
    pub fn record_attempt(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.record_attempt(now);
        }
    }

    /// Returns the upstreams of a path that nothing has confirmed since a stream on it stalled or,
    /// if it stalled long ago, recently.
    pub fn unconfirmed(
        &self,
        path: &[(UpstreamKey, LayerRange)],
        stalled_since: Instant,
        now: Instant,
    ) -> Vec<UpstreamKey> {
        let window_start = now
            .checked_sub(CONFIRMATION_WINDOW)
            .unwrap_or(stalled_since);
        let since = (stalled_since + IN_FLIGHT_ALLOWANCE).max(window_start);
        let unconfirmed = |key: &UpstreamKey| {
            let upstream = self.upstreams.get(*key);
            upstream.is_none_or(|u| u.last_success.is_none_or(|at| at <= since))
        };
        path.iter().map(|&(k, _)| k).filter(unconfirmed).collect()
    }
}
