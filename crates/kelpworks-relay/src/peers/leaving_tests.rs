//! Simulation of the spread of a notice that an upstream is leaving, without a network.

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use rstest::rstest;
use tokio::time::Instant;

use super::Peers;
use super::fleet_tests::SimulatedFleet;
use super::members::Audience;
use super::tests::engine;
use crate::adapter::UpstreamEntry;
use crate::constraints::Announced;
use crate::shared::announcements::Announcements;
use crate::shared::announcements::AnsweredMessage;

/// Time in which every daemon knows of a notice, as of a lost daemon.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Starts a fleet whose daemons know the upstream of an entry as ready.
async fn start(size: usize, entry: &UpstreamEntry) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::start(size);
    fleet.run(Duration::from_secs(6)).await;
    for me in &fleet.all {
        register(me, vec![entry.clone()], 1);
    }
    fleet
}

fn register(me: &Peers, entries: Vec<UpstreamEntry>, version: u64) {
    let version = Version::initial(version);
    me.shared.fleet().replace(entries, version, Instant::now());
}

/// Applies an answer of the upstream that states that it is leaving.
fn answer_that_it_leaves(me: &Peers, instance: &str) {
    let key = me.shared.fleet().key_of(instance).expect("registered");
    let announced = Announcements {
        leaving: Announced::Value(true),
        ..Announcements::default()
    };
    let message = AnsweredMessage {
        source: "answer",
        request: "r-1",
        sent_at: Instant::now(),
    };
    me.shared.apply_announcements(key, announced, message);
}

fn uses(me: &Peers, instance: &str) -> bool {
    let fleet = me.shared.fleet();
    let upstream = fleet.key_of(instance).and_then(|key| fleet.get(key));
    upstream.is_some_and(|u| u.is_ready())
}

/// Guards against daemons that each need an answer of their own to learn of it, while the store
/// still shows the upstream as ready.
#[rstest]
#[case::small(7)]
#[case::grown(69)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn notice_of_leaving_reaches_every_daemon(#[case] size: usize) {
    let entry = engine();
    let mut fleet = start(size, &entry).await;
    answer_that_it_leaves(&fleet.all[size / 2], &entry.instance);
    fleet.run(PROPAGATION_TIME).await;
    assert_eq!(fleet.count(|me| uses(me, &entry.instance)), 0);
}

/// Guards against a notice that is reported for ever, or that binds the next incarnation.
#[tokio::test(start_paused = true)]
async fn notice_of_leaving_ends_with_its_incarnation_and_is_not_reported_for_ever() {
    let entry = engine();
    let mut fleet = start(7, &entry).await;
    answer_that_it_leaves(&fleet.all[0], &entry.instance);
    fleet.run(PROPAGATION_TIME).await;
    let mut next = entry.clone();
    next.instance = Arc::from("e-2");
    for me in &fleet.all {
        register(me, vec![next.clone()], 2);
    }
    fleet.run(PROPAGATION_TIME).await;
    assert_eq!(fleet.count(|me| uses(me, &next.instance)), 7);
    for me in &fleet.all {
        register(me, vec![entry.clone()], 3);
    }
    fleet.run(Duration::from_secs(10)).await;
    assert_eq!(
        fleet.count(|me| uses(me, &entry.instance)),
        0,
        "it still leaves"
    );
    let is_silent = |me: &Peers| me.digest(&Audience::unknown()).leaving.is_empty();
    assert_eq!(fleet.count(is_silent), 7);
}
