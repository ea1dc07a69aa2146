//! The steps from today's holdings to a plan, in an order that keeps every model whole.
//!
//! Steps come in waves: those of one wave may run together, the next wave starts when all are
//! done. Within a wave loads start one after the other, at the weight store's rate. A layer is
//! loaded on its new hosts before its old ones drop it. Where a host has no room for both, it
//! drops the old range first, and only while other hosts keep every layer of it. A version stays
//! whole until the version that takes its place is.
//!
//! The whole sequence is worked out ahead, on the supposition that each step succeeds. When one
//! fails, or holdings change otherwise, ask again with the holdings as they are.

use std::sync::Arc;
use std::time::Duration;

use super::input::HostKey;
use super::input::HostRange;
use super::input::Input;
use super::plan::Plan;
use super::plan::covers;
use crate::fleet::ModelKey;
use kelpworks_wire::LayerRange;

/// Replicas of a layer that stay while others are exchanged, as a divisor of those that the plan
/// gives it: half of them, rounded up.
const RETAINED_REPLICAS_DIVISOR: usize = 2;
/// Failure domains that keep a layer, where it had as many.
const RETAINED_DOMAINS: usize = 2;
/// Hosts make room for no more than the weight store delivers in this time, so that few are empty
/// at once; but always for one.
const MAX_EVICTED_LOAD_TIME: Duration = Duration::from_secs(60);
/// Share of the planned rate that a new version needs on each layer before new sessions go to it.
const MIN_SWITCH_RATE_SHARE: f64 = 0.5;

/// What a host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Load the range from the weight store.
    Load {
        /// When it may start, counted from the start of its wave.
        start: Duration,
        /// How long the weight store takes for it.
        time: Duration,
    },
    /// Drop the range, once the sessions named by `drain` have left it.
    Unload {
        /// What to wait for.
        drain: Drain,
    },
}

/// Which sessions must have left a range before it is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// Those on this host; other hosts hold the same layers and version, so they can move there.
    Host,
    /// All of this version, on any host: after this wave it will no longer be whole.
    Version,
    /// None: the version is not whole at the start of the wave, so no session uses it.
    Nothing,
}

/// Why a step is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReason {
    /// No host holds these layers of this version yet.
    FirstReplica,
    /// Adds a replica for standing or rate.
    Replica,
    /// Room is needed on the host for the range that the plan gives it.
    Capacity,
    /// A newer version is whole.
    Superseded,
    /// The plan has this range elsewhere.
    NotPlanned,
}

impl OrderReason {
    /// Short name for the log.
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

/// One order to one host.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderStep {
    /// Number of its wave, from 0; never less than that of the step before.
    pub wave: u32,
    /// The host and the range.
    pub range: HostRange,
    /// What to do with the range.
    pub action: Action,
    /// Why.
    pub reason: OrderReason,
}

/// From a wave on, new sessions of a model go to another version.
#[derive(Clone, Debug, PartialEq)]
pub struct Switch {
    /// The model.
    pub model: ModelKey,
    /// The version that takes over.
    pub version: Arc<str>,
    /// The wave at whose start it does; before it, sessions go to the old version.
    pub wave: u32,
}

/// The steps to a plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// The steps, by wave.
    pub steps: Vec<OrderStep>,
    /// Where new versions take over from old ones, by wave. A model that has no entry goes on with
    /// the version that is whole, the one to serve before another.
    pub switches: Vec<Switch>,
    /// Ranges of the plan that can't be loaded without breaking a model that is whole; empty when
    /// the steps lead to the plan. Another live host, or more memory, would help.
    pub blocked: Vec<HostRange>,
}

/// The steps from today's holdings to the plan.
///
/// Ranges on hosts that are not live count for nothing and get no orders.
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

/// How much of a version must stay when a range is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retention {
    /// Half of the replicas and two failure domains.
    Redundant,
    /// One replica of each layer; only one such drop at a time.
    Complete,
}

/// A version of a model at the start of a wave.
struct VersionState {
    /// The model.
    model: ModelKey,
    /// The version.
    version: Arc<str>,
    /// Whether every layer of it is held.
    complete: bool,
    /// The least, over layers, of the rate of its holders over the rate that the plan gives.
    rate_share: f64,
}

/// The sequence while it is worked out.
struct Sequencer<'a> {
    input: &'a Input,
    /// Ranges held after the steps so far, on live hosts.
    loaded: Vec<HostRange>,
    /// Ranges of the plan.
    planned: Vec<HostRange>,
    /// Ranges held at the start.
    initial: Vec<HostRange>,
    /// The steps so far.
    steps: Vec<OrderStep>,
    /// The switches so far.
    switches: Vec<Switch>,
    /// Number of the next wave.
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

    /// Ranges of the plan that are not held yet.
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

    /// A wave of all loads that there is room for; returns whether there were any.
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
        // The first replica of every stage comes before the second of any.
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

    /// A wave of drops; returns whether there were any.
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

    /// Takes the step that drops a range.
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

    /// Lets new sessions of a model go to the version to serve, from this wave on.
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

    /// What must drain before a range may be dropped; `None` when it may not be dropped.
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

    /// All versions that are held now.
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

    /// See [`VersionState::share`], for the version of a range.
    fn rate_share(&self, of: &HostRange) -> f64 {
        let rate = |ranges: &[HostRange], layer| -> f64 {
            let hosts = hosts_with_layer(ranges.iter(), of, layer);
            hosts.iter().map(|&h| self.input.host(h).layer_rate).sum()
        };
        let layers = 0..self.input.model(of.model).layers;
        let rate_shares = layers.map(|l| rate(&self.loaded, l) / rate(&self.planned, l));
        rate_shares.fold(f64::INFINITY, f64::min)
    }

    /// Whether enough replicas of each layer stay when a range is dropped.
    fn retains_replicas(&self, range: &HostRange, retention: Retention) -> bool {
        // Holders change at the ends of ranges only, so one layer between two ends is enough.
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
        // Of the planned replicas, not of those at the start: the answer must stay the same when
        // orders are asked for anew half way.
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

/// Whether a held range is all that the plan wants on its host.
fn satisfies(loaded: &HostRange, planned: &HostRange) -> bool {
    loaded.host == planned.host
        && loaded.model == planned.model
        && loaded.version == planned.version
        && covers(&loaded.layers, &planned.layers)
}

/// Hosts that hold a layer of the same model and version as `range`, each once.
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

/// Whether every layer is held in the version of a range.
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
