//! Detection of engines that have become slow, by their own reports.
//!
//! An engine that is many times slower than usual for its kind still answers, so nothing fails,
//! but every stream that passes it is late. Late events raise suspicion of the engines on their
//! path, and these are queried, each by one daemon about once a second; peers receive the answers.
//! In a fleet without late events no engine is queried.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use log::info;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::adapter::EngineApi;
use crate::constraints::MessageKind;
use crate::engine_calls::EngineCalls;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::shared::Shared;

/// Interval of the checks for engines to query.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a query by any daemon before a slow engine is queried again: queries have a cost.
const PROBE_INTERVAL_SLOW: Duration = Duration::from_millis(1_200);
/// Time after a query by any daemon before an engine that is not slow is queried again.
const PROBE_INTERVAL_NORMAL: Duration = Duration::from_secs(3);
/// Probability that an engine that is due is queried in one check: the daemons whose streams are
/// late suspect the same engines at the same time, and the first answer spares the others the
/// query.
const PROBE_CHANCE: f64 = 0.2;
/// Slowness factor above which an engine counts as slow.
const MAX_NORMAL_SLOWNESS: f64 = 1.2;

/// Queries suspected and slow engines until `stop` is cancelled.
pub(crate) async fn run<E: EngineApi>(
    shared: Arc<Shared>,
    engines: Arc<EngineCalls<E>>,
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

/// Returns the suspects and the engines known to be slow that no daemon has queried recently.
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
        let upstream = fleet.get(*key);
        let is_allowed = upstream.is_some_and(|u| u.constraints.allows(MessageKind::Query, now));
        !is_recent && is_allowed && rand::random_bool(PROBE_CHANCE)
    };
    let mut due: Vec<UpstreamKey> = slow.into_iter().chain(suspects).filter(is_due).collect();
    due.sort_unstable();
    due.dedup();
    due
}

async fn probe<E: EngineApi>(shared: &Shared, engines: &EngineCalls<E>, due: Vec<UpstreamKey>) {
    let probed_at = Instant::now();
    let reports = join_all(due.iter().map(|&key| engines.report(key))).await;
    for (key, report) in due.into_iter().zip(reports) {
        // An engine that does not answer is detected by its stalled streams.
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
