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
const KEEP_DIVISOR: usize = 2;
/// Failure domains that keep a layer, where it had as many.
const KEEP_DOMAINS: usize = 2;
/// Hosts make room for no more than the weight store delivers in this time, so that few are empty
/// at once; but always for one.
const ROOM_TIME: Duration = Duration::from_secs(60);
/// Share of the planned rate that a new version needs on each layer before new sessions go to it.
const SWITCH_SHARE: f64 = 0.5;

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
    Room,
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
            OrderReason::Room => "room",
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
    let mut run = Run::new(input, plan);
    loop {
        let loaded = run.load();
        if !loaded && !run.unload(Care::Strict) && !run.unload(Care::Whole) {
            break;
        }
    }
    Orders {
        blocked: run.missing(),
        steps: run.steps,
        switches: run.switches,
    }
}

/// How much of a version must stay when a range is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Care {
    /// Half of the replicas and two failure domains.
    Strict,
    /// One replica of each layer; only one such drop at a time.
    Whole,
}

/// A version of a model at the start of a wave.
struct VersionState {
    /// The model.
    model: ModelKey,
    /// The version.
    version: Arc<str>,
    /// Whether every layer of it is held.
    whole: bool,
    /// The least, over layers, of the rate of its holders over the rate that the plan gives.
    share: f64,
}

/// The sequence while it is worked out.
struct Run<'a> {
    input: &'a Input,
    /// Ranges held after the steps so far, on live hosts.
    held: Vec<HostRange>,
    /// Ranges of the plan.
    wanted: Vec<HostRange>,
    /// Ranges held at the start.
    start: Vec<HostRange>,
    /// The steps so far.
    steps: Vec<OrderStep>,
    /// The switches so far.
    switches: Vec<Switch>,
    /// Number of the next wave.
    wave: u32,
}

impl<'a> Run<'a> {
    fn new(input: &'a Input, plan: &Plan) -> Run<'a> {
        let live = |h: &&HostRange| input.host(h.host).live;
        let held: Vec<HostRange> = input.loaded_ranges.iter().filter(live).cloned().collect();
        Run {
            input,
            start: held.clone(),
            held,
            wanted: plan.host_ranges(input),
            steps: Vec::new(),
            switches: Vec::new(),
            wave: 0,
        }
    }

    /// Ranges of the plan that are not held yet.
    fn missing(&self) -> Vec<HostRange> {
        let lacks = |w: &&HostRange| !self.held.iter().any(|h| serves(h, w));
        self.wanted.iter().filter(lacks).cloned().collect()
    }

    fn bytes(&self, range: &HostRange) -> u64 {
        let layers = range.layers.end - range.layers.first;
        u64::from(layers) * self.input.model(range.model).layer_size.0
    }

    fn has_room(&self, range: &HostRange) -> bool {
        let on_host = self.held.iter().filter(|h| h.host == range.host);
        let used: u64 = on_host.map(|h| self.bytes(h)).sum();
        used + self.bytes(range) <= self.input.weight_memory(range.host)
    }

    /// A wave of all loads that there is room for; returns whether there were any.
    fn load(&mut self) -> bool {
        let fitting = self.missing();
        let mut ranked: Vec<(usize, HostRange)> = Vec::new();
        for range in fitting.into_iter().filter(|r| self.has_room(r)) {
            let same = |r: &HostRange| {
                r.model == range.model && r.version == range.version && r.layers == range.layers
            };
            let held = self.held.iter().filter(|h| same(h)).count();
            let ahead = ranked.iter().filter(|r| same(&r.1)).count();
            ranked.push((held + ahead, range));
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
            self.held.push(range);
        }
        self.wave += u32::from(any);
        any
    }

    /// A wave of drops; returns whether there were any.
    fn unload(&mut self, care: Care) -> bool {
        let planned = |h: &HostRange| self.wanted.iter().any(|w| serves(h, w));
        let obsolete: Vec<HostRange> = self.held.iter().filter(|h| !planned(h)).cloned().collect();
        let missing = self.missing();
        let versions = self.versions();
        let budget = ROOM_TIME.as_secs_f64() * self.input.weight_rate.0 as f64;
        let mut room = 0;
        let mut any = false;
        for range in obsolete {
            let next = missing.iter().find(|m| m.host == range.host);
            let bytes = next.map_or(0, |n| self.bytes(n));
            if room > 0 && (room + bytes) as f64 > budget {
                continue;
            }
            let Some(drain) = self.drain(&range, care, &versions) else {
                continue;
            };
            if drain == Drain::Host {
                room += bytes;
            }
            self.drop_range(range, drain, next.is_some());
            any = true;
            if care == Care::Whole {
                break;
            }
        }
        self.wave += u32::from(any);
        any
    }

    /// Takes the step that drops a range.
    fn drop_range(&mut self, range: HostRange, drain: Drain, for_room: bool) {
        let reason = match (drain, for_room) {
            (Drain::Version, _) => OrderReason::Superseded,
            (_, true) => OrderReason::Room,
            (_, false) => OrderReason::NotPlanned,
        };
        if drain == Drain::Version {
            self.switch(range.model);
        }
        self.held.retain(|h| *h != range);
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
    fn drain(&self, range: &HostRange, care: Care, versions: &[VersionState]) -> Option<Drain> {
        let find = |version: &str| {
            let same = |v: &&VersionState| v.model == range.model && *v.version == *version;
            versions.iter().find(same)
        };
        if !find(&range.version).is_some_and(|v| v.whole) {
            return Some(Drain::Nothing);
        }
        let served = &self.input.model(range.model).version;
        let newer = find(served).filter(|v| v.whole && *served != range.version);
        if newer.is_some_and(|v| v.share >= SWITCH_SHARE) {
            return Some(Drain::Version);
        }
        if self.keeps(range, care) {
            return Some(Drain::Host);
        }
        let last_way = care == Care::Whole && newer.is_some();
        last_way.then_some(Drain::Version)
    }

    /// All versions that are held now.
    fn versions(&self) -> Vec<VersionState> {
        let mut versions: Vec<VersionState> = Vec::new();
        for h in &self.held {
            let same = |v: &VersionState| v.model == h.model && v.version == h.version;
            if versions.iter().any(same) {
                continue;
            }
            versions.push(VersionState {
                model: h.model,
                version: h.version.clone(),
                whole: is_whole(self.input, &self.held, h),
                share: self.share(h),
            });
        }
        versions
    }

    /// See [`VersionState::share`], for the version of a range.
    fn share(&self, of: &HostRange) -> f64 {
        let rate = |ranges: &[HostRange], layer| -> f64 {
            let hosts = holders(ranges.iter(), of, layer);
            hosts.iter().map(|&h| self.input.host(h).layer_rate).sum()
        };
        let layers = 0..self.input.model(of.model).layers;
        let shares = layers.map(|l| rate(&self.held, l) / rate(&self.wanted, l));
        shares.fold(f64::INFINITY, f64::min)
    }

    /// Whether enough replicas of each layer stay when a range is dropped.
    fn keeps(&self, range: &HostRange, care: Care) -> bool {
        // Holders change at the ends of ranges only, so one layer between two ends is enough.
        let ends = self.start.iter().chain(&self.held);
        let ends = ends.filter(|h| h.model == range.model && h.version == range.version);
        let mut layers: Vec<u32> = ends.flat_map(|h| [h.layers.first, h.layers.end]).collect();
        layers.push(range.layers.first);
        layers.retain(|&l| contains(&range.layers, l));
        layers.sort_unstable();
        layers.dedup();
        layers.into_iter().all(|l| self.keeps_layer(range, care, l))
    }

    fn keeps_layer(&self, range: &HostRange, care: Care, layer: u32) -> bool {
        let others = self.held.iter().filter(|h| h.host != range.host);
        let left = holders(others, range, layer);
        if care == Care::Whole {
            return !left.is_empty();
        }
        let start = holders(self.start.iter(), range, layer);
        let domains = self.domains(&start).min(KEEP_DOMAINS);
        // Of the planned replicas, not of those at the start: the answer must stay the same when
        // orders are asked for anew half way.
        let of_layer = |w: &&HostRange| w.model == range.model && contains(&w.layers, layer);
        let planned = self.wanted.iter().filter(of_layer).count();
        left.len() >= planned.div_ceil(KEEP_DIVISOR).max(1) && self.domains(&left) >= domains
    }

    fn domains(&self, hosts: &[HostKey]) -> usize {
        let mut domains: Vec<u16> = hosts.iter().map(|&h| self.input.host(h).domain.0).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }
}

/// Whether a held range is all that the plan wants on its host.
fn serves(held: &HostRange, wanted: &HostRange) -> bool {
    held.host == wanted.host
        && held.model == wanted.model
        && held.version == wanted.version
        && covers(&held.layers, &wanted.layers)
}

/// Hosts that hold a layer of the same model and version as `range`, each once.
fn holders<'h>(
    held: impl Iterator<Item = &'h HostRange>,
    range: &HostRange,
    layer: u32,
) -> Vec<HostKey> {
    let same = held.filter(|h| h.model == range.model && h.version == range.version);
    let on_layer = same.filter(|h| contains(&h.layers, layer));
    let mut hosts: Vec<HostKey> = on_layer.map(|h| h.host).collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}

/// Whether every layer is held in the version of a range.
fn is_whole(input: &Input, held: &[HostRange], of: &HostRange) -> bool {
    let same = |h: &&HostRange| h.model == of.model && h.version == of.version;
    let mut ranges: Vec<&LayerRange> = held.iter().filter(same).map(|h| &h.layers).collect();
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

fn contains(range: &LayerRange, layer: u32) -> bool {
    range.first <= layer && layer < range.end
}
