//! The steps from the loaded ranges to a plan, in an order that keeps every model complete.
//!
//! A version of a model is complete when each of its layers is loaded on some host. Steps are
//! grouped in waves: the steps of one wave may run concurrently, and the next wave starts when all
//! are done. Within a wave, loads start one after the other, at the rate of the weight store. A
//! layer is loaded on its new hosts before its old hosts drop it. A host without memory for both
//! ranges drops the old one first, but only while other hosts keep every layer of it. A version
//! stays complete until the version that replaces it is.
//!
//! The sequence is computed in advance and assumes that each step succeeds. When a step fails, or
//! the loaded ranges change for another reason, callers compute it again from the current ranges.

use std::sync::Arc;
use std::time::Duration;

use super::input::HostKey;
use super::input::HostRange;
use super::input::Input;
use super::plan::Plan;
use super::plan::covers;
use crate::fleet::ModelKey;
use kelpworks_wire::LayerRange;

/// Divisor of the planned number of replicas of a layer that gives the number that must remain
/// while others are replaced: half of them, rounded up.
const RETAINED_REPLICAS_DIVISOR: usize = 2;
/// Failure domains in which a layer must remain loaded, or all of them if there were fewer at the
/// start.
const RETAINED_DOMAINS: usize = 2;
/// Bound on the hosts that are unloaded in one wave to free memory: the ranges that they load next
/// take the weight store at most this time, so that few hosts are empty at once. At least one host
/// is always unloaded.
const MAX_EVICTED_LOAD_TIME: Duration = Duration::from_secs(60);
/// Share of the planned rate that a new version needs on each layer before new sessions use it.
const MIN_SWITCH_RATE_SHARE: f64 = 0.5;

/// What a host is to do with a range.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Load the range from the weight store.
    Load {
        /// Time from the start of the wave after which the load may start.
        start: Duration,
        /// Time that the weight store takes to deliver the range.
        time: Duration,
    },
    /// Drop the range once the sessions that `drain` selects have left it.
    Unload {
        /// Sessions to wait for.
        drain: Drain,
    },
}

/// Which sessions must have left a range before a host drops it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// Those on this host. Other hosts have loaded the same layers and version, so the sessions can
    /// move there.
    Host,
    /// All of this version, on any host, because it will be incomplete after this wave.
    Version,
    /// None, because the version is incomplete at the start of the wave and no session uses it.
    Nothing,
}

/// Why a step is part of the sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReason {
    /// No host has loaded exactly these layers of this version yet.
    FirstReplica,
    /// Adds a replica for redundancy or rate.
    Replica,
    /// Frees memory on the host for the range that the plan assigns to it.
    Capacity,
    /// The version to serve is complete and replaces this one.
    Superseded,
    /// The plan does not assign this range to the host.
    NotPlanned,
}

impl OrderReason {
    /// Returns the value of the log key `reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderReason::FirstReplica => "first-replica",
            OrderReason::Replica => "replica",
            OrderReason::Capacity => "room",
            OrderReason::Superseded => "superseded",
            OrderReason::NotPlanned => "not-planned",
        }
    }
}

/// One step: a load or an unload on one host.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderStep {
    /// Index of its wave, from 0; steps are sorted by it.
    pub wave: u32,
    /// Host that carries out the step, and the range to load or drop.
    pub range: HostRange,
    /// Whether to load or to drop the range, and when.
    pub action: Action,
    /// Why the step is needed.
    pub reason: OrderReason,
}

/// The change of new sessions of a model to another version, at the start of a wave.
#[derive(Clone, Debug, PartialEq)]
pub struct Switch {
    /// Model whose sessions change.
    pub model: ModelKey,
    /// Version that new sessions use from then on.
    pub version: Arc<str>,
    /// Index of the wave; before it, new sessions use the old version.
    pub wave: u32,
}

/// The steps that lead to a plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// Loads and unloads, sorted by wave.
    pub steps: Vec<OrderStep>,
    /// Changes of new sessions to another version, by wave. A model without an entry uses its
    /// complete version; if several are complete, the version to serve comes first.
    pub switches: Vec<Switch>,
    /// Ranges of the plan that can't be loaded without making a complete model incomplete; empty
    /// when the steps lead to the plan. Another live host or more memory would unblock them.
    pub blocked: Vec<HostRange>,
}

/// Computes the steps from the loaded ranges to the plan.
///
/// Ranges on hosts that are not live are ignored and get no steps.
///
/// # Panics
///
/// When the plan is not of this input.
pub fn orders(input: &Input, plan: &Plan) -> Orders {
    let mut sequencer = Sequencer::new(input, plan);
    loop {
        let any_loaded = sequencer.load();
        if !any_loaded
            && !sequencer.unload(Retention::Redundant)
            && !sequencer.unload(Retention::Complete)
        {
            break;
        }
    }
    Orders {
        blocked: sequencer.missing(),
        steps: sequencer.steps,
        switches: sequencer.switches,
    }
}

/// How much of a version must remain when a range of it is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retention {
    /// Half of the planned replicas of each layer, in two failure domains.
    Redundant,
    /// One replica of each layer. With it only one range is dropped in a wave.
    Complete,
}

/// A version of a model at the start of a wave.
struct VersionState {
    model: ModelKey,
    version: Arc<str>,
    /// Whether every layer of the version is loaded on some host.
    complete: bool,
    /// Least ratio, over all layers, of the rate of the hosts that have loaded the layer to the
    /// rate that the plan gives it.
    rate_share: f64,
}

/// The sequence of steps during its computation.
struct Sequencer<'a> {
    input: &'a Input,
    /// Ranges that live hosts have loaded after the steps so far.
    loaded: Vec<HostRange>,
    /// Ranges that the plan assigns.
    planned: Vec<HostRange>,
    /// Ranges that live hosts have loaded before the first step.
    initial: Vec<HostRange>,
    steps: Vec<OrderStep>,
    switches: Vec<Switch>,
    /// Index of the next wave.
    wave: u32,
}

impl<'a> Sequencer<'a> {
    fn new(input: &'a Input, plan: &Plan) -> Sequencer<'a> {
        let live = |h: &&HostRange| input.host(h.host).live;
        let loaded: Vec<HostRange> = input.loaded_ranges.iter().filter(live).cloned().collect();
        Sequencer {
            input,
            initial: loaded.clone(),
            loaded,
            planned: plan.host_ranges(input),
            steps: Vec::new(),
            switches: Vec::new(),
            wave: 0,
        }
    }

    /// Returns the ranges of the plan that are not loaded yet.
    fn missing(&self) -> Vec<HostRange> {
        let lacks = |w: &&HostRange| !self.loaded.iter().any(|h| satisfies(h, w));
        self.planned.iter().filter(lacks).cloned().collect()
    }

    fn bytes(&self, range: &HostRange) -> u64 {
        let layers = range.layers.end - range.layers.first;
        u64::from(layers) * self.input.model(range.model).layer_size.0
    }

    fn has_capacity(&self, range: &HostRange) -> bool {
        let on_host = self.loaded.iter().filter(|h| h.host == range.host);
        let used: u64 = on_host.map(|h| self.bytes(h)).sum();
        used + self.bytes(range) <= self.input.weight_memory(range.host)
    }

    /// Adds a wave of all loads that fit in the memory of their hosts; returns whether there were
    /// any.
    fn load(&mut self) -> bool {
        let not_loaded = self.missing();
        let mut ranked: Vec<(usize, HostRange)> = Vec::new();
        for range in not_loaded.into_iter().filter(|r| self.has_capacity(r)) {
            let same = |r: &HostRange| {
                r.model == range.model && r.version == range.version && r.layers == range.layers
            };
            let replicas = self.loaded.iter().filter(|h| same(h)).count();
            let queued = ranked.iter().filter(|r| same(&r.1)).count();
            ranked.push((replicas + queued, range));
        }
        // The first replica of every stage is loaded before the second of any.
        ranked.sort_by_key(|(rank, r)| (*rank, r.model.0, r.layers.first, r.host));
        let any = !ranked.is_empty();
        let mut start = Duration::ZERO;
        for (rank, range) in ranked {
            let seconds = self.bytes(&range) as f64 / self.input.weight_rate.0 as f64;
            let time = Duration::from_secs_f64(seconds);
            let first = rank == 0;
            self.steps.push(OrderStep {
                wave: self.wave,
                range: range.clone(),
                action: Action::Load { start, time },
                reason: if first {
                    OrderReason::FirstReplica
                } else {
                    OrderReason::Replica
                },
            });
            start += time;
            self.loaded.push(range);
        }
        self.wave += u32::from(any);
        any
    }

    /// Adds a wave of drops; returns whether there were any.
    fn unload(&mut self, retention: Retention) -> bool {
        let in_plan = |h: &HostRange| self.planned.iter().any(|w| satisfies(h, w));
        let obsolete: Vec<HostRange> = self
            .loaded
            .iter()
            .filter(|h| !in_plan(h))
            .cloned()
            .collect();
        let missing = self.missing();
        let versions = self.versions();
        let byte_budget = MAX_EVICTED_LOAD_TIME.as_secs_f64() * self.input.weight_rate.0 as f64;
        let mut pending_bytes = 0;
        let mut any = false;
        for range in obsolete {
            let next = missing.iter().find(|m| m.host == range.host);
            let bytes = next.map_or(0, |n| self.bytes(n));
            if pending_bytes > 0 && (pending_bytes + bytes) as f64 > byte_budget {
                continue;
            }
            let Some(drain) = self.drain(&range, retention, &versions) else {
                continue;
            };
            if drain == Drain::Host {
                pending_bytes += bytes;
            }
            self.drop_range(range, drain, next.is_some());
            any = true;
            if retention == Retention::Complete {
                break;
            }
        }
        self.wave += u32::from(any);
        any
    }

    /// Adds the step that drops a range.
    fn drop_range(&mut self, range: HostRange, drain: Drain, for_capacity: bool) {
        let reason = match (drain, for_capacity) {
            (Drain::Version, _) => OrderReason::Superseded,
            (_, true) => OrderReason::Capacity,
            (_, false) => OrderReason::NotPlanned,
        };
        if drain == Drain::Version {
            self.switch(range.model);
        }
        self.loaded.retain(|h| *h != range);
        self.steps.push(OrderStep {
            wave: self.wave,
            range,
            action: Action::Unload { drain },
            reason,
        });
    }

    /// Makes new sessions of a model use the version to serve from this wave on.
    fn switch(&mut self, model: ModelKey) {
        if self.switches.iter().any(|s| s.model == model) {
            return;
        }
        self.switches.push(Switch {
            model,
            version: self.input.model(model).version.clone(),
            wave: self.wave,
        });
    }

    /// Returns which sessions must leave a range before it may be dropped; `None` when it may not
    /// be dropped.
    fn drain(
        &self,
        range: &HostRange,
        retention: Retention,
        versions: &[VersionState],
    ) -> Option<Drain> {
        let find = |version: &str| {
            let same = |v: &&VersionState| v.model == range.model && *v.version == *version;
            versions.iter().find(same)
        };
        if !find(&range.version).is_some_and(|v| v.complete) {
            return Some(Drain::Nothing);
        }
        let target_version = &self.input.model(range.model).version;
        let newer = find(target_version).filter(|v| v.complete && *target_version != range.version);
        if newer.is_some_and(|v| v.rate_share >= MIN_SWITCH_RATE_SHARE) {
            return Some(Drain::Version);
        }
        if self.retains_replicas(range, retention) {
            return Some(Drain::Host);
        }
        let last_resort = retention == Retention::Complete && newer.is_some();
        last_resort.then_some(Drain::Version)
    }

    /// Returns the state of all versions of which ranges are loaded.
    fn versions(&self) -> Vec<VersionState> {
        let mut versions: Vec<VersionState> = Vec::new();
        for h in &self.loaded {
            let same = |v: &VersionState| v.model == h.model && v.version == h.version;
            if versions.iter().any(same) {
                continue;
            }
            versions.push(VersionState {
                model: h.model,
                version: h.version.clone(),
                complete: is_complete(self.input, &self.loaded, h),
                rate_share: self.rate_share(h),
            });
        }
        versions
    }

    /// Returns [`VersionState::rate_share`] for the version of a range.
    fn rate_share(&self, of: &HostRange) -> f64 {
        let rate = |ranges: &[HostRange], layer| -> f64 {
            let hosts = hosts_with_layer(ranges.iter(), of, layer);
            hosts.iter().map(|&h| self.input.host(h).layer_rate).sum()
        };
        let layers = 0..self.input.model(of.model).layers;
        let rate_shares = layers.map(|l| rate(&self.loaded, l) / rate(&self.planned, l));
        rate_shares.fold(f64::INFINITY, f64::min)
    }

    /// Returns whether enough replicas of each layer of a range remain when its host drops it.
    fn retains_replicas(&self, range: &HostRange, retention: Retention) -> bool {
        // The hosts of a layer differ only between ranges, so the first layer of each section
        // between two ends of ranges is checked for all of it.
        let ends = self.initial.iter().chain(&self.loaded);
        let ends = ends.filter(|h| h.model == range.model && h.version == range.version);
        let mut layers: Vec<u32> = ends.flat_map(|h| [h.layers.first, h.layers.end]).collect();
        layers.push(range.layers.first);
        layers.retain(|&l| contains_layer(&range.layers, l));
        layers.sort_unstable();
        layers.dedup();
        layers
            .into_iter()
            .all(|l| self.retains_layer(range, retention, l))
    }

    fn retains_layer(&self, range: &HostRange, retention: Retention, layer: u32) -> bool {
        let others = self.loaded.iter().filter(|h| h.host != range.host);
        let remaining = hosts_with_layer(others, range, layer);
        if retention == Retention::Complete {
            return !remaining.is_empty();
        }
        let initial_hosts = hosts_with_layer(self.initial.iter(), range, layer);
        let domains = self.domains(&initial_hosts).min(RETAINED_DOMAINS);
        // The count is based on the planned replicas, not on those at the start, so that the result
        // is the same when the orders are computed again after some of the steps.
        let of_layer = |w: &&HostRange| w.model == range.model && contains_layer(&w.layers, layer);
        let planned_replicas = self.planned.iter().filter(of_layer).count();
        remaining.len() >= planned_replicas.div_ceil(RETAINED_REPLICAS_DIVISOR).max(1)
            && self.domains(&remaining) >= domains
    }

    fn domains(&self, hosts: &[HostKey]) -> usize {
        let mut domains: Vec<u16> = hosts.iter().map(|&h| self.input.host(h).domain.0).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }
}

/// Returns whether a loaded range includes all that the plan assigns to its host.
fn satisfies(loaded: &HostRange, planned: &HostRange) -> bool {
    loaded.host == planned.host
        && loaded.model == planned.model
        && loaded.version == planned.version
        && covers(&loaded.layers, &planned.layers)
}

/// Returns the hosts that have loaded a layer of the model and version of `range`, each host once.
fn hosts_with_layer<'h>(
    loaded: impl Iterator<Item = &'h HostRange>,
    range: &HostRange,
    layer: u32,
) -> Vec<HostKey> {
    let same = loaded.filter(|h| h.model == range.model && h.version == range.version);
    let on_layer = same.filter(|h| contains_layer(&h.layers, layer));
    let mut hosts: Vec<HostKey> = on_layer.map(|h| h.host).collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}

/// Returns whether every layer of the model and version of a range is loaded.
fn is_complete(input: &Input, loaded: &[HostRange], of: &HostRange) -> bool {
    let same = |h: &&HostRange| h.model == of.model && h.version == of.version;
    let mut ranges: Vec<&LayerRange> = loaded.iter().filter(same).map(|h| &h.layers).collect();
    ranges.sort_by_key(|r| r.first);
    let mut end = 0;
    for range in ranges {
        if range.first > end {
            return false;
        }
        end = end.max(range.end);
    }
    end >= input.model(of.model).layers
}

fn contains_layer(range: &LayerRange, layer: u32) -> bool {
    range.first <= layer && layer < range.end
}
