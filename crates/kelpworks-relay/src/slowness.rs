//! Which engines have turned slow, by their own word.
//!
//! An engine that is many times slower than its kind still answers, so nothing fails; but every
//! stream that passes it is late. Events that come late point at the engines of their path, and
//! these are asked, each by one daemon about once a second; peers hear the answers. On a fleet where
//! nothing is late nobody is asked.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use log::info;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::adapter::EngineApi;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::shared::Shared;

/// Time between two looks for engines to ask.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// An engine that is slow is not asked again for so long after any daemon did: questions are paid for.
const PROBE_INTERVAL_SLOW: Duration = Duration::from_millis(1_200);
/// The same for one that is not slow.
const PROBE_INTERVAL_NORMAL: Duration = Duration::from_secs(3);
/// Chance that a suspect is asked at a look: the daemons whose streams are late suspect the same
/// engines at the same time, and the first answer spares the others.
const PROBE_CHANCE: f64 = 0.2;
/// Slowness below which an engine counts as usual.
const MAX_NORMAL_SLOWNESS: f64 = 1.2;

/// Engines whose streams are late.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    keys: HashSet<UpstreamKey>,
}

impl Suspects {
    /// Suspects the engines of a path.
    pub fn suspect(&mut self, keys: impl Iterator<Item = UpstreamKey>) {
        self.keys.extend(keys);
    }

    fn take(&mut self) -> Vec<UpstreamKey> {
        self.keys.drain().collect()
    }
}

/// Asks the engines that are suspected, until it is stopped.
pub(crate) async fn run<E: EngineApi>(
    shared: Arc<Shared>,
    engines: Arc<E>,
    stop: CancellationToken,
) {
    let mut tick = tokio::time::interval(POLL_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = tick.tick() => {}
        }
        let suspects = shared.suspects().take();
        let due = due(&shared.fleet(), suspects, Instant::now());
        probe(&shared, &*engines, due).await;
    }
}

/// Suspects, and engines known to be slow, that nobody asked lately.
fn due(fleet: &Fleet, suspects: Vec<UpstreamKey>, now: Instant) -> Vec<UpstreamKey> {
    let slow = fleet
        .iter()
        .filter(|(_, u)| u.slowness(now) > MAX_NORMAL_SLOWNESS);
    let slow: Vec<UpstreamKey> = slow.map(|(key, _)| key).collect();
    let is_due = |key: &UpstreamKey| {
        let last_report = fleet.get(*key).and_then(|u| u.last_slowness_report());
        let is_recent = last_report.is_some_and(|(times, at)| {
            let probe_interval = if times > MAX_NORMAL_SLOWNESS {
                PROBE_INTERVAL_SLOW
            } else {
                PROBE_INTERVAL_NORMAL
            };
            now.duration_since(at) < probe_interval
        });
        !is_recent && fleet.get(*key).is_some() && rand::random_bool(PROBE_CHANCE)
    };
    let mut due: Vec<UpstreamKey> = slow.into_iter().chain(suspects).filter(is_due).collect();
    due.sort_unstable();
    due.dedup();
    due
}

async fn probe<E: EngineApi>(shared: &Shared, engines: &E, due: Vec<UpstreamKey>) {
    let probed_at = Instant::now();
    let address = |key: &UpstreamKey| Some(shared.fleet().get(*key)?.entry.address);
    let known: Vec<(UpstreamKey, std::net::SocketAddr)> = due
        .iter()
        .filter_map(|key| Some((*key, address(key)?)))
        .collect();
    let reports = join_all(known.iter().map(|&(_, a)| engines.report(a))).await;
    for ((key, _), report) in known.into_iter().zip(reports) {
        // One that does not answer is found by its silence.
        let Some(report) = report else {
            continue;
        };
        let mut fleet = shared.fleet();
        let before = fleet.get(key).map_or(1.0, |u| u.slowness(probed_at));
        fleet.learn_slowness(key, report.slowness, probed_at);
        let has_changed = (before > MAX_NORMAL_SLOWNESS) != (report.slowness > MAX_NORMAL_SLOWNESS);
        if let Some(u) = fleet.get(key)
            && has_changed
        {
            info!(
                target: "decision",
                upstream:% = u.entry.instance,
                slowness = report.slowness,
                before;
                "engine's speed changed"
            );
        }
    }
}
