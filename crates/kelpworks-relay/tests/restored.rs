//! Registrations after the store was restored from an older copy, without a network.
//!
//! The copy shows upstreams as they were some seconds before. Some are missing, one shows layers
//! that it has unloaded since, and one that was leaving is ready again. Each live upstream writes
//! its entry again within two seconds.

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;
use kelpworks_relay::adapter::LayerRange;
use kelpworks_relay::adapter::Lifecycle;
use kelpworks_relay::adapter::StartTime;
use kelpworks_relay::adapter::UpstreamEntry;
use kelpworks_relay::adapter::incarnation;
use kelpworks_relay::fleet::Fleet;
use tokio::time::Instant;

const BEFORE: Version = Version::initial(90);
/// Lower revision than seen before, which the restored store hands out a second time.
const RESTORED: Version = Version::new(Era(1), 70);
const REWRITTEN: Version = Version::new(Era(1), 90);

fn engine(id: &str, port: u16, layers: (u16, u16)) -> UpstreamEntry {
    let id: Arc<str> = Arc::from(id);
    UpstreamEntry {
        instance: incarnation(&id, Some(StartTime(100))),
        id,
        start: Some(StartTime(100)),
        service: Arc::from("llm"),
        address: ([10, 0, 0, 1], port).into(),
        domain: Arc::from("a"),
        lifecycle: Lifecycle::Ready,
        slots: 1,
        layers: Some(LayerRange {
            from: layers.0,
            to: layers.1,
        }),
        kind: None,
    }
}

fn leaving(entry: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry {
        lifecycle: Lifecycle::Leaving,
        ..entry
    }
}

/// Id, first layer and readiness of each upstream, as the fleet sees them.
fn visible_entries(fleet: &Fleet) -> Vec<(String, u16, bool)> {
    let of = |e: &UpstreamEntry| {
        let from = e.layers.map_or(0, |l| l.from);
        (e.id.to_string(), from, e.lifecycle == Lifecycle::Ready)
    };
    let mut visible_entries: Vec<_> = fleet.entries().iter().map(of).collect();
    visible_entries.sort();
    visible_entries
}

fn row(id: &str, from: u16, ready: bool) -> (String, u16, bool) {
    (id.to_owned(), from, ready)
}

fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

#[tokio::test(start_paused = true)]
async fn upstream_missing_from_restored_copy_is_kept_for_two_seconds() {
    let mut fleet = Fleet::default();
    let (a, b) = (engine("a", 1, (0, 9)), engine("b", 2, (9, 18)));
    fleet.replace(vec![a.clone(), b], BEFORE, Instant::now());
    let changes = fleet.replace(vec![a], RESTORED, Instant::now());
    assert!(changes.is_empty());
    assert!(fleet.expire_restored(after(1_999)).is_none());
    assert_eq!(
        visible_entries(&fleet),
        [row("a", 0, true), row("b", 9, true)]
    );
    let changes = fleet
        .expire_restored(after(2_000))
        .expect("two seconds have passed");
    assert_eq!(changes.removed.len(), 1);
    assert_eq!(visible_entries(&fleet), [row("a", 0, true)]);
    assert!(fleet.expire_restored(after(9_000)).is_none());
}

#[tokio::test(start_paused = true)]
async fn leaving_upstream_stays_leaving_after_restore() {
    let mut fleet = Fleet::default();
    let a = engine("a", 1, (0, 9));
    fleet.replace(vec![leaving(a.clone())], BEFORE, Instant::now());
    fleet.replace(vec![a.clone()], RESTORED, Instant::now());
    assert_eq!(visible_entries(&fleet), [row("a", 0, false)]);
    fleet.expire_restored(after(2_000));
    assert_eq!(
        visible_entries(&fleet),
        [row("a", 0, false)],
        "its entry is unchanged"
    );
    let restarted = UpstreamEntry {
        start: Some(StartTime(200)),
        instance: incarnation(&a.id, Some(StartTime(200))),
        ..a
    };
    fleet.replace(vec![restarted], REWRITTEN, Instant::now());
    assert_eq!(
        visible_entries(&fleet),
        [row("a", 0, true)],
        "another incarnation"
    );
}

#[tokio::test(start_paused = true)]
async fn layers_keep_their_latest_value_until_registered_again() {
    let mut fleet = Fleet::default();
    fleet.replace(vec![engine("a", 1, (40, 49))], BEFORE, Instant::now());
    fleet.replace(vec![engine("a", 1, (0, 9))], RESTORED, Instant::now());
    assert_eq!(
        visible_entries(&fleet),
        [row("a", 40, true)],
        "the copy is older"
    );
    fleet.replace(vec![engine("a", 1, (60, 69))], REWRITTEN, Instant::now());
    assert_eq!(
        visible_entries(&fleet),
        [row("a", 60, true)],
        "written since"
    );
    let mut fleet = Fleet::default();
    fleet.replace(vec![engine("a", 1, (40, 49))], BEFORE, Instant::now());
    fleet.replace(vec![engine("a", 1, (0, 9))], RESTORED, Instant::now());
    fleet.expire_restored(after(2_000));
    assert_eq!(visible_entries(&fleet), [row("a", 0, true)]);
}

#[tokio::test(start_paused = true)]
async fn upstream_removed_in_the_new_era_is_dropped_at_once() {
    let mut fleet = Fleet::default();
    let (a, b) = (engine("a", 1, (0, 9)), engine("b", 2, (9, 18)));
    fleet.replace(vec![a.clone(), b.clone()], BEFORE, Instant::now());
    fleet.replace(vec![a.clone(), b], RESTORED, Instant::now());
    let changes = fleet.replace(vec![a], REWRITTEN, Instant::now());
    assert_eq!(changes.removed.len(), 1);
    assert_eq!(visible_entries(&fleet), [row("a", 0, true)]);
}

#[tokio::test(start_paused = true)]
async fn older_start_time_in_restored_copy_is_ignored() {
    let mut fleet = Fleet::default();
    let old = engine("a", 1, (0, 9));
    let new = UpstreamEntry {
        start: Some(StartTime(200)),
        instance: incarnation(&old.id, Some(StartTime(200))),
        ..engine("a", 1, (40, 49))
    };
    fleet.replace(vec![new], BEFORE, Instant::now());
    let changes = fleet.replace(vec![old], RESTORED, Instant::now());
    assert!(changes.is_empty());
    fleet.expire_restored(after(2_000));
    assert_eq!(
        visible_entries(&fleet),
        [row("a", 40, true)],
        "the older start is ignored"
    );
}

#[tokio::test(start_paused = true)]
async fn second_restore_within_two_seconds_keeps_missing_upstreams() {
    let mut fleet = Fleet::default();
    let (a, b) = (engine("a", 1, (0, 9)), engine("b", 2, (9, 18)));
    fleet.replace(vec![leaving(a.clone()), b.clone()], BEFORE, Instant::now());
    fleet.replace(vec![a.clone()], RESTORED, Instant::now());
    tokio::time::advance(Duration::from_secs(1)).await;
    let again = Version::new(Era(2), 60);
    fleet.replace(vec![a], again, Instant::now());
    assert_eq!(
        visible_entries(&fleet),
        [row("a", 0, false), row("b", 9, true)]
    );
    fleet.expire_restored(after(2_000));
    assert_eq!(visible_entries(&fleet), [row("a", 0, false)]);
}

#[tokio::test(start_paused = true)]
async fn list_of_an_earlier_era_is_ignored_at_any_revision() {
    let mut fleet = Fleet::default();
    fleet.replace(vec![engine("a", 1, (0, 9))], RESTORED, Instant::now());
    let changes = fleet.replace(Vec::new(), Version::initial(5_000), Instant::now());
    assert!(changes.is_empty());
    assert_eq!(visible_entries(&fleet), [row("a", 0, true)]);
}
