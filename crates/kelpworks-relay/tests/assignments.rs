//! Layer assignments that engines report before their registrations show them.

mod fleet_support;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use fleet_support::empty_hosts;
use fleet_support::entry;
use fleet_support::range;
use kelpworks_coord::id::Version;
use kelpworks_relay::adapter::LayerRange;
use kelpworks_relay::assignments::LayerAssignment;
use kelpworks_relay::assignments::REPORT_TTL;
use kelpworks_relay::fleet::Fleet;

const NO_AGE: Duration = Duration::ZERO;

/// Returns a fleet of one engine that registered `layers`, and its instance.
fn fleet(layers: Option<LayerRange>) -> (Fleet, Arc<str>) {
    let mut host = empty_hosts(&["a"]).remove(0);
    host.layers = layers;
    let mut fleet = Fleet::default();
    fleet.replace(vec![entry(1, &host)], Version::initial(1), Instant::now());
    (fleet, host.instance)
}

/// Replaces the registration of the only engine by a later one.
fn register(fleet: &mut Fleet, layers: LayerRange, revision: u64) {
    let mut entry = fleet.entries().remove(0);
    entry.layers = Some(layers);
    fleet.replace(vec![entry], Version::initial(revision), Instant::now());
}

fn usable(fleet: &Fleet, instance: &str) -> Option<LayerRange> {
    fleet.get(fleet.key_of(instance)?)?.layers
}

fn assignment(orders: u64, layers: LayerRange, loaded: bool) -> LayerAssignment {
    LayerAssignment {
        orders,
        layers,
        loaded,
    }
}

#[tokio::test]
async fn layers_are_unusable_while_loading_and_usable_once_loaded_before_registration() {
    let (old, new) = (range(0, 9), range(20, 29));
    let (mut fleet, engine) = fleet(Some(old));
    let now = Instant::now();
    assert_eq!(usable(&fleet, &engine), Some(old));
    assert!(fleet.learn_assignment(&engine, assignment(2, new, false), NO_AGE, now));
    assert_eq!(usable(&fleet, &engine), None);
    assert!(fleet.learn_assignment(&engine, assignment(2, new, true), NO_AGE, now));
    assert_eq!(usable(&fleet, &engine), Some(new));
    register(&mut fleet, old, 2);
    assert_eq!(
        usable(&fleet, &engine),
        Some(new),
        "an earlier registration"
    );
    register(&mut fleet, new, 3);
    register(&mut fleet, range(40, 49), 4);
    assert_eq!(
        usable(&fleet, &engine),
        Some(range(40, 49)),
        "a later registration"
    );
}

/// Guards against a fault in which engines whose layers were long registered counted as loading for
/// twelve seconds, because a loading report outlived the registration.
#[rstest]
#[case::report_first(true)]
#[case::registration_first(false)]
#[tokio::test]
async fn registration_overrides_loading_report(#[case] report_first: bool) {
    let (mut fleet, engine) = fleet(None);
    let now = Instant::now();
    let loading = assignment(1, range(0, 9), false);
    if report_first {
        fleet.learn_assignment(&engine, loading, NO_AGE, now);
        assert_eq!(usable(&fleet, &engine), None);
    }
    register(&mut fleet, range(0, 9), 2);
    fleet.learn_assignment(&engine, loading, NO_AGE, now);
    assert_eq!(usable(&fleet, &engine), Some(range(0, 9)));
}

#[rstest]
#[case::older_order(assignment(1, range(3, 6), true))]
#[case::same_order_loading(assignment(2, range(20, 29), false))]
#[case::same_report(assignment(2, range(20, 29), true))]
#[tokio::test]
async fn stale_report_is_ignored_after_later_registrations(#[case] late: LayerAssignment) {
    let (mut fleet, engine) = fleet(Some(range(0, 9)));
    let now = Instant::now();
    let reported = assignment(2, range(20, 29), true);
    fleet.learn_assignment(&engine, reported, NO_AGE, now);
    register(&mut fleet, reported.layers, 2);
    register(&mut fleet, range(40, 49), 3);
    assert!(!fleet.learn_assignment(&engine, late, NO_AGE, now));
    assert_eq!(usable(&fleet, &engine), Some(range(40, 49)));
}

#[rstest]
#[case::loading_never_finishes(false, false, Some(range(0, 9)))]
#[case::loaded_while_registrations_are_unavailable(true, false, Some(range(20, 29)))]
#[case::loaded_but_not_registered_in_time(true, true, Some(range(0, 9)))]
#[tokio::test]
async fn unconfirmed_report_expires(
    #[case] loaded: bool,
    #[case] registrations_arrive: bool,
    #[case] expected: Option<LayerRange>,
) {
    let (mut fleet, engine) = fleet(Some(range(0, 9)));
    let now = Instant::now();
    fleet.learn_assignment(&engine, assignment(2, range(20, 29), loaded), NO_AGE, now);
    fleet.expire_assignments(registrations_arrive, now + REPORT_TTL);
    assert_eq!(usable(&fleet, &engine), expected);
}

#[tokio::test]
async fn report_relayed_between_daemons_expires_by_its_total_age() {
    let (mut fleet, engine) = fleet(None);
    let now = Instant::now();
    let report = assignment(1, range(0, 9), true);
    fleet.learn_assignment(&engine, report, REPORT_TTL / 2, now);
    let later = now + REPORT_TTL / 4;
    let reported = fleet.assignments().unconfirmed_reports(8, later);
    assert_eq!(
        reported,
        [(Arc::clone(&engine), report, REPORT_TTL / 4 * 3)]
    );
    assert!(!fleet.learn_assignment(&engine, assignment(2, range(0, 9), true), REPORT_TTL, now));
}

/// Guards against an engine that counts as holding its former layers while it still waits for requests that use them.
#[tokio::test]
async fn engine_that_waits_for_its_requests_has_no_usable_layers() {
    let (old, new) = (range(0, 9), range(20, 29));
    let (mut fleet, engine) = fleet(Some(old));
    let now = Instant::now();
    let wait = Duration::from_secs(20);
    let ordered = assignment(2, new, false);
    assert!(fleet.learn_displacing_assignment(&engine, ordered, wait, NO_AGE, now));
    let expired = fleet.expire_assignments(true, now + REPORT_TTL);
    assert!(expired.is_empty());
    assert_eq!(usable(&fleet, &engine), None);
    let expired = fleet.expire_assignments(true, now + REPORT_TTL + wait);
    assert_eq!(expired.len(), 1);
    assert_eq!(usable(&fleet, &engine), Some(old));
}
