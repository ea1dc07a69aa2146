//! An upstream that announces a limit, and a fleet of daemons whose callers ask for more, without a network.

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use rstest::rstest;
use tokio::time::Instant;

use super::Peers;
use super::fleet_tests::Simulated;
use super::tests::engine;
use crate::adapter::UpstreamEntry;
use crate::fleet::UpstreamKey;
use crate::limits::Announcement;
use crate::limits::BURST;
use crate::limits::RATE_WINDOW;
use crate::limits::Rate;

/// Time between two requests of the callers of each daemon.
const PAUSE: Duration = Duration::from_millis(20);
/// Time within which a whole fleet knows a limit.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Part of a limit that is used at least while callers of all daemons ask for more.
const MIN_USED_PART: f64 = 0.8;

/// A fleet that knows itself, and the one upstream of each daemon.
struct Site {
    fleet: Simulated,
    key: UpstreamKey,
    arrivals: Vec<Instant>,
}

impl Site {
    async fn start(size: usize, entry: UpstreamEntry) -> Site {
        let mut fleet = Simulated::start(size);
        let mut key = None;
        for me in &fleet.all {
            key = register(me, &entry);
        }
        fleet.run(Duration::from_secs(6)).await;
        Site {
            fleet,
            key: key.expect("registered"),
            arrivals: Vec::new(),
        }
    }

    /// Lets every daemon send as often as it may, for so long; answers announce a limit.
    async fn load(&mut self, span: Duration, limit: Announcement) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            let now = Instant::now();
            for number in 0..self.fleet.all.len() {
                if self.fleet.is_down(number) {
                    continue;
                }
                let shared = &self.fleet.all[number].shared;
                let Some(_admitted) = shared.admit(self.key) else {
                    continue;
                };
                self.arrivals.push(now);
                shared.on_limit_announcement(self.key, limit, now);
            }
            self.fleet.run(PAUSE).await;
        }
    }

    /// The most arrivals in a window from a moment on.
    fn most_in_a_window(&self, from: Instant) -> usize {
        let late: Vec<Instant> = self
            .arrivals
            .iter()
            .copied()
            .filter(|&a| a >= from)
            .collect();
        let end = |i: usize| late.partition_point(|&at| at - late[i] <= RATE_WINDOW);
        (0..late.len()).map(|i| end(i) - i).max().unwrap_or(0)
    }

    fn since(&self, from: Instant) -> usize {
        self.arrivals.iter().filter(|&&at| at >= from).count()
    }
}

/// Tells a daemon of an upstream; every daemon gets the same key, since it is the first.
fn register(me: &Peers, entry: &UpstreamEntry) -> Option<UpstreamKey> {
    let mut fleet = me.shared.fleet();
    fleet.replace(vec![entry.clone()], Version::initial(1), Instant::now());
    fleet.key_of(&entry.instance)
}

fn limited(per_second: f64) -> Announcement {
    Announcement::Limited(Rate::per_second(per_second).expect("a rate"))
}

/// An engine in one failure domain of three.
fn one_engine() -> UpstreamEntry {
    UpstreamEntry {
        kind: Some(Arc::from("big")),
        ..engine()
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn all_daemons_together_keep_to_an_announced_limit(
    #[values(1, 7, 69, 295)] size: usize,
    #[values(0.0, 0.3, 3.7, 20.0)] per_second: f64,
    #[values(engine(), one_engine())] entry: UpstreamEntry,
) {
    let mut site = Site::start(size, entry).await;
    site.load(KNOWN_WITHIN, limited(per_second)).await;
    let from = Instant::now();
    site.load(Duration::from_secs(20), limited(per_second))
        .await;
    let most = site.most_in_a_window(from);
    let allowed = (per_second * RATE_WINDOW.as_secs_f64() + BURST) as usize;
    assert!(most <= allowed, "{most} in a window, {allowed} allowed");
    let used = site.since(from) as f64 / 20.0;
    let least = MIN_USED_PART * per_second;
    assert!(used >= least, "{used} a second of {per_second}");
}

/// The pattern: daemons with a share die together, and others take it over.
#[rstest]
#[case::small(7)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn a_limit_is_kept_and_used_while_daemons_are_lost(#[case] size: usize) {
    let per_second = 6.7;
    let mut site = Site::start(size, engine()).await;
    site.load(KNOWN_WITHIN, limited(per_second)).await;
    let from = Instant::now();
    for number in (0..size).filter(|n| n % 3 == 1) {
        site.fleet.stop(number);
    }
    site.load(Duration::from_secs(12), limited(per_second))
        .await;
    let most = site.most_in_a_window(from);
    let allowed = (per_second * RATE_WINDOW.as_secs_f64() + BURST) as usize;
    assert!(most <= allowed, "{most} in a window, {allowed} allowed");
    let again = Instant::now();
    site.load(Duration::from_secs(12), limited(per_second))
        .await;
    let used = site.since(again) as f64 / 12.0;
    assert!(used >= MIN_USED_PART * per_second, "{used} a second");
}

#[rstest]
#[case::small(7)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn the_end_of_a_limit_reaches_every_daemon(#[case] size: usize) {
    let mut site = Site::start(size, engine()).await;
    site.load(KNOWN_WITHIN, limited(3.7)).await;
    let knows = |me: &Peers| {
        let fleet = me.shared.fleet();
        fleet
            .get(site.key)
            .is_some_and(|u| u.limiter.rate().is_some())
    };
    assert_eq!(site.fleet.count(knows), size);
    site.load(Duration::from_secs(4), Announcement::Unlimited)
        .await;
    let key = site.key;
    let is_free = |me: &Peers| {
        let fleet = me.shared.fleet();
        fleet.get(key).is_some_and(|u| u.limiter.rate().is_none())
    };
    assert_eq!(site.fleet.count(is_free), size);
}
