//! Simulation of an upstream that announces a rate limit to a fleet whose callers request more,
//! without a network.

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use kelpworks_coord::poison::Fingerprint;
use rstest::rstest;
use tokio::time::Instant;

use super::Peers;
use super::fleet_tests::SimulatedFleet;
use super::tests::engine;
use crate::adapter::UpstreamEntry;
use crate::fleet::UpstreamKey;
use crate::limits::Announcement;
use crate::limits::BURST;
use crate::limits::RATE_WINDOW;
use crate::limits::Rate;
use crate::permit::Origin;
use crate::permit::Permit;
use crate::shared::crashes::Identity;

/// Interval between two requests to each daemon.
/// A request without crashes.
const REQUEST: Identity<'static> = Identity {
    fingerprint: Fingerprint(0),
    parts: &[],
};
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which all daemons of a fleet know a limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Minimum fraction of the limit that is used while the callers of all daemons request more.
const MIN_USED_FRACTION: f64 = 0.8;

/// A fleet after discovery, with one upstream that all daemons share.
struct LimitedFleet {
    fleet: SimulatedFleet,
    key: UpstreamKey,
    arrivals: Vec<Instant>,
}

impl LimitedFleet {
    async fn start(size: usize, entry: UpstreamEntry) -> LimitedFleet {
        let mut fleet = SimulatedFleet::start(size);
        let mut key = None;
        for me in &fleet.all {
            key = register(me, &entry);
        }
        fleet.run(Duration::from_secs(6)).await;
        LimitedFleet {
            fleet,
            key: key.expect("registered"),
            arrivals: Vec::new(),
        }
    }

    /// Lets every daemon send whenever it is admitted, for `span`. Each answer announces `limit`.
    async fn send_requests(&mut self, span: Duration, limit: Announcement) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            let now = Instant::now();
            for number in 0..self.fleet.all.len() {
                if self.fleet.is_down(number) {
                    continue;
                }
                let shared = &self.fleet.all[number].shared;
                let cleared = shared
                    .check_crashes(REQUEST, "llm", false)
                    .expect("no crashes");
                let runnable = cleared.runnable().expect("no suspect");
                let Some(admission) = shared.admit(runnable, vec![self.key]) else {
                    continue;
                };
                let request = shared.begin_attempts(&Arc::from("llm"), Origin::Caller);
                let sent = Permit::new(admission, request.attempts(), None).spend();
                assert!(sent.is_some(), "only a rate limit is announced");
                self.arrivals.push(now);
                shared.on_limit_announcement(self.key, limit, now);
            }
            self.fleet.run(REQUEST_INTERVAL).await;
        }
    }

    /// Maximum number of arrivals in any window from `from` on.
    fn max_in_window(&self, from: Instant) -> usize {
        let late: Vec<Instant> = self
            .arrivals
            .iter()
            .copied()
            .filter(|&a| a >= from)
            .collect();
        let end = |i: usize| late.partition_point(|&at| at - late[i] <= RATE_WINDOW);
        (0..late.len()).map(|i| end(i) - i).max().unwrap_or(0)
    }

    fn arrivals_since(&self, from: Instant) -> usize {
        self.arrivals.iter().filter(|&&at| at >= from).count()
    }
}

/// Registers an upstream at a daemon. All daemons assign the same key, since it is their first
/// upstream.
fn register(me: &Peers, entry: &UpstreamEntry) -> Option<UpstreamKey> {
    let mut fleet = me.shared.fleet();
    fleet.replace(vec![entry.clone()], Version::initial(1), Instant::now());
    fleet.key_of(&entry.instance)
}

fn limited_to(per_second: f64) -> Announcement {
    Announcement::Limited(Rate::per_second(per_second).expect("a rate"))
}

/// An engine. Its limit is shared within its failure domain, one of three.
fn engine_with_kind() -> UpstreamEntry {
    UpstreamEntry {
        kind: Some(Arc::from("big")),
        ..engine()
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn fleet_keeps_to_an_announced_limit(
    #[values(1, 7, 69, 295)] size: usize,
    #[values(0.0, 0.3, 3.7, 20.0)] per_second: f64,
    #[values(engine(), engine_with_kind())] entry: UpstreamEntry,
) {
    let mut limited_fleet = LimitedFleet::start(size, entry).await;
    limited_fleet
        .send_requests(PROPAGATION_TIME, limited_to(per_second))
        .await;
    let from = Instant::now();
    limited_fleet
        .send_requests(Duration::from_secs(20), limited_to(per_second))
        .await;
    let most = limited_fleet.max_in_window(from);
    let allowed = (per_second * RATE_WINDOW.as_secs_f64() + BURST) as usize;
    assert!(most <= allowed, "{most} in a window, {allowed} allowed");
    let used = limited_fleet.arrivals_since(from) as f64 / 20.0;
    let least = MIN_USED_FRACTION * per_second;
    assert!(used >= least, "{used} a second of {per_second}");
}

/// Daemons that hold a share are lost together, and others must take over their shares.
#[rstest]
#[case::small(7)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn limit_is_kept_and_used_after_daemons_are_lost(#[case] size: usize) {
    let per_second = 6.7;
    let mut limited_fleet = LimitedFleet::start(size, engine()).await;
    limited_fleet
        .send_requests(PROPAGATION_TIME, limited_to(per_second))
        .await;
    let from = Instant::now();
    for number in (0..size).filter(|n| n % 3 == 1) {
        limited_fleet.fleet.stop(number);
    }
    limited_fleet
        .send_requests(Duration::from_secs(12), limited_to(per_second))
        .await;
    let most = limited_fleet.max_in_window(from);
    let allowed = (per_second * RATE_WINDOW.as_secs_f64() + BURST) as usize;
    assert!(most <= allowed, "{most} in a window, {allowed} allowed");
    let again = Instant::now();
    limited_fleet
        .send_requests(Duration::from_secs(12), limited_to(per_second))
        .await;
    let used = limited_fleet.arrivals_since(again) as f64 / 12.0;
    assert!(used >= MIN_USED_FRACTION * per_second, "{used} a second");
}

#[rstest]
#[case::small(7)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn end_of_a_limit_reaches_every_daemon(#[case] size: usize) {
    let mut limited_fleet = LimitedFleet::start(size, engine()).await;
    limited_fleet
        .send_requests(PROPAGATION_TIME, limited_to(3.7))
        .await;
    let knows = |me: &Peers| {
        let fleet = me.shared.fleet();
        fleet
            .get(limited_fleet.key)
            .is_some_and(|u| u.constraints.limiter.rate().is_some())
    };
    assert_eq!(limited_fleet.fleet.count(knows), size);
    limited_fleet
        .send_requests(Duration::from_secs(4), Announcement::Unlimited)
        .await;
    let key = limited_fleet.key;
    let is_free = |me: &Peers| {
        let fleet = me.shared.fleet();
        fleet
            .get(key)
            .is_some_and(|u| u.constraints.limiter.rate().is_none())
    };
    assert_eq!(limited_fleet.fleet.count(is_free), size);
}
