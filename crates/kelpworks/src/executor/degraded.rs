//! Finds accelerators that run slower than the register says. No I/O.
//!
//! A step's observed time over the time that the register lets expect is compared with that of
//! the other replicas of the same stage: what slows all of them (batching, load, a slow link to
//! this daemon's side) is no sign of one being degraded. Routing weighs observed times itself, at
//! once; this is for placement, which is slower to change.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::fleet::Fleet;
use crate::fleet::ModelKey;
use crate::fleet::Upstream;
use kelpworks_wire::LayerRange;

/// Times slower than its peers from which a host counts as degraded, and below which it no longer
/// does.
const DEGRADED_SLOWDOWN: f64 = 2.0;
const RECOVERED_SLOWDOWN: f64 = 1.3;
/// Least time beyond its peers' in a step, in microseconds: less is noise of the network.
const MIN_EXCESS_US: f64 = 5_000.0;
/// New observations in a row that must agree.
const MIN_CONTRARY_SAMPLES: u32 = 5;

/// What is known of the hosts' rates.
#[derive(Clone, Debug, Default)]
pub(super) struct DegradedHosts {
    hosts: HashMap<Arc<str>, Track>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Track {
    /// Step time at the last look, in microseconds.
    step_us: u64,
    /// New observations in a row that speak against the present judgement.
    contrary_samples: u32,
    /// Times slower than its peers, as found; `None` while it is not degraded.
    slowdown: Option<f64>,
}

/// A change of judgement on a host.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Change {
    /// The host.
    pub(super) host: Arc<str>,
    /// Its observed step time, in microseconds.
    pub(super) step_us: u64,
    /// Times slower than its peers.
    pub(super) slowdown: f64,
    /// Whether it counts as degraded from now on.
    pub(super) degraded: bool,
}

/// One replica's step time beside what the register lets expect.
struct Sample<'a> {
    upstream: &'a Upstream,
    stage: (ModelKey, &'a LayerRange),
    step_us: u64,
    expected_us: f64,
}

impl Sample<'_> {
    fn ratio(&self) -> f64 {
        self.step_us as f64 / self.expected_us
    }
}

impl DegradedHosts {
    /// Takes the step times of a snapshot; hosts that are gone from it are forgotten.
    pub(super) fn observe(&mut self, fleet: &Fleet) -> Vec<Change> {
        let samples: Vec<Sample<'_>> = fleet.upstreams.values().filter_map(sample).collect();
        let mut stages: HashMap<(u16, u32, u32), Vec<&Sample<'_>>> = HashMap::new();
        for sample in &samples {
            let (model, layers) = sample.stage;
            let stage = (model.0, layers.first, layers.end);
            stages.entry(stage).or_default().push(sample);
        }
        let names: Vec<&Arc<str>> = fleet.upstreams.values().map(|u| &u.name).collect();
        if names.len() < self.hosts.len() {
            self.hosts.retain(|name, _| names.contains(&name));
        }
        let mut changes = Vec::new();
        for stage in stages.values() {
            for sample in stage {
                let Some(peer_ratio) = median_of_peers(stage, sample) else {
                    continue;
                };
                changes.extend(self.update(sample, peer_ratio));
            }
        }
        changes.sort_by(|a, b| a.host.cmp(&b.host));
        changes
    }

    /// Part of the register's rate that a host reaches.
    pub(super) fn rate_fraction(&self, name: &str) -> f64 {
        let slowdown = self.hosts.get(name).and_then(|t| t.slowdown);
        slowdown.map_or(1.0, |s| 1.0 / s)
    }

    fn update(&mut self, sample: &Sample<'_>, peer_ratio: f64) -> Option<Change> {
        let name = &sample.upstream.name;
        let track = self.hosts.entry(Arc::clone(name)).or_default();
        if track.step_us == sample.step_us {
            return None;
        }
        track.step_us = sample.step_us;
        let slowdown = sample.ratio() / peer_ratio;
        let excess = sample.step_us as f64 - peer_ratio * sample.expected_us;
        let is_contrary = match track.slowdown {
            None => slowdown >= DEGRADED_SLOWDOWN && excess >= MIN_EXCESS_US,
            Some(_) => slowdown < RECOVERED_SLOWDOWN,
        };
        track.contrary_samples = if is_contrary {
            track.contrary_samples + 1
        } else {
            0
        };
        if track.contrary_samples < MIN_CONTRARY_SAMPLES {
            return None;
        }
        track.contrary_samples = 0;
        let degraded = track.slowdown.is_none();
        track.slowdown = degraded.then_some(slowdown);
        Some(Change {
            host: Arc::clone(name),
            step_us: sample.step_us,
            slowdown,
            degraded,
        })
    }
}

/// The step time of an engine that holds one range and has run steps.
fn sample(upstream: &Upstream) -> Option<Sample<'_>> {
    let step_us = upstream.counters.step_us.load(Ordering::Relaxed);
    let [assignment] = &upstream.layer_assignments[..] else {
        return None;
    };
    if step_us == 0 || upstream.layer_rate <= 0.0 {
        return None;
    }
    let layers = f64::from(assignment.layers.end - assignment.layers.first);
    Some(Sample {
        upstream,
        stage: (assignment.model, &assignment.layers),
        step_us,
        expected_us: layers / upstream.layer_rate * 1e6,
    })
}

/// The lower median of the other replicas' ratios; `None` when there are no others.
fn median_of_peers(stage: &[&Sample<'_>], of: &Sample<'_>) -> Option<f64> {
    let peers = stage.iter().filter(|s| s.upstream.name != of.upstream.name);
    let mut ratios: Vec<f64> = peers.map(|s| s.ratio()).collect();
    ratios.sort_by(f64::total_cmp);
    ratios.get(ratios.len().saturating_sub(1) / 2).copied()
}
