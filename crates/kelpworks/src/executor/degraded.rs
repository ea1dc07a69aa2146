//! Detects accelerators that run slower than the register states. Does no I/O.
//!
//! The ratio of a replica's observed step time to the time expected from the register is compared
//! with the ratios of the other replicas of the same stage. A slowdown of all replicas (batching,
//! load, a slow link to this daemon) is thus not taken for a degraded host. Placement uses the
//! result, since it changes slowly; routing weighs observed step times itself, without delay.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::fleet::Fleet;
use crate::fleet::ModelKey;
use crate::fleet::Upstream;
use kelpworks_wire::LayerRange;

/// Slowdown relative to its peers from which a host counts as degraded.
const DEGRADED_SLOWDOWN: f64 = 2.0;
/// Slowdown relative to its peers below which a degraded host counts as recovered.
const RECOVERED_SLOWDOWN: f64 = 1.3;
/// Minimum step time of a degraded host in excess of its peers'; smaller differences are network
/// noise.
const MIN_EXCESS_US: f64 = 5_000.0;
/// Consecutive contrary samples after which the state of a host changes.
const MIN_CONTRARY_SAMPLES: u32 = 5;

/// Tracks which hosts are degraded, and by how much.
#[derive(Clone, Debug, Default)]
pub(super) struct DegradedHosts {
    hosts: HashMap<Arc<str>, Track>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Track {
    /// Step time of the last sample, in microseconds.
    step_us: u64,
    /// Consecutive samples that contradict the current state.
    contrary_samples: u32,
    /// Slowdown relative to its peers when the host was found degraded; `None` while it is not.
    slowdown: Option<f64>,
}

/// A host that became degraded or recovered.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Change {
    pub(super) host: Arc<str>,
    /// Observed step time, in microseconds.
    pub(super) step_us: u64,
    /// Ratio of the host's observed to expected step time, over the median of its peers' ratios.
    pub(super) slowdown: f64,
    /// Whether the host counts as degraded from now on, rather than as recovered.
    pub(super) degraded: bool,
}

/// Observed step time of one replica, and the time expected from the register.
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
    /// Records the step times of a fleet snapshot and returns the changes, sorted by host. Hosts
    /// that the snapshot no longer contains are removed.
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

    /// Returns the fraction of its registered rate that a host reaches; 1 unless it is degraded.
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

/// Returns the sample of an engine; `None` unless it has loaded exactly one layer range and has run
/// steps.
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

/// Returns the lower median of the other replicas' ratios; `None` when there are none.
fn median_of_peers(stage: &[&Sample<'_>], of: &Sample<'_>) -> Option<f64> {
    let peers = stage.iter().filter(|s| s.upstream.name != of.upstream.name);
    let mut ratios: Vec<f64> = peers.map(|s| s.ratio()).collect();
    ratios.sort_by(f64::total_cmp);
    ratios.get(ratios.len().saturating_sub(1) / 2).copied()
}
