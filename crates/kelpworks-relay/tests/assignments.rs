//! What engines say of their layers before their registrations do.

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

/// A fleet of one engine that registered these layers.
fn fleet(layers: Option<LayerRange>) -> (Fleet, Arc<str>) {
    let mut host = empty_hosts(&["a"]).remove(0);
    host.layers = layers;
    let mut fleet = Fleet::default();
    fleet.replace(vec![entry(1, &host)], Version::initial(1), Instant::now());
    (fleet, host.instance)
}

/// Takes a later registration of the same engine.
fn register(fleet: &mut Fleet, layers: LayerRange, revision: u64) {
    let mut entry = fleet.entries().remove(0);
    entry.layers = Some(layers);
    fleet.replace(vec![entry], Version::initial(revision), Instant::now());
}

fn usable(fleet: &Fleet, instance: &str) -> Option<LayerRange> {
    fleet.get(fleet.key_of(instance)?)?.layers
}

fn holding(orders: u64, layers: LayerRange, loaded: bool) -> LayerAssignment {
    LayerAssignment {
        orders,
        layers,
        loaded,
    }
}

#[tokio::test]
async fn an_engine_that_loads_can_do_no_work_and_then_does_before_it_registers_that() {
    let (old, new) = (range(0, 9), range(20, 29));
    let (mut fleet, engine) = fleet(Some(old));
    let now = Instant::now();
    assert_eq!(usable(&fleet, &engine), Some(old));
    assert!(fleet.learn_assignment(&engine, holding(2, new, false), NO_AGE, now));
    assert_eq!(usable(&fleet, &engine), None);
    assert!(fleet.learn_assignment(&engine, holding(2, new, true), NO_AGE, now));
    assert_eq!(usable(&fleet, &engine), Some(new));
    register(&mut fleet, old, 2);
    assert_eq!(
        usable(&fleet, &engine),
        Some(new),
        "a registration of before"
    );
    register(&mut fleet, new, 3);
    register(&mut fleet, range(40, 49), 4);
    assert_eq!(usable(&fleet, &engine), Some(range(40, 49)), "a later one");
}

/// Seen once: engines that had long registered their layers counted as loading for twelve seconds.
#[rstest]
#[case::word_first(true)]
#[case::registration_first(false)]
#[tokio::test]
async fn a_registration_shows_that_an_engine_has_loaded(#[case] word_first: bool) {
    let (mut fleet, engine) = fleet(None);
    let now = Instant::now();
    let loading = holding(1, range(0, 9), false);
    if word_first {
        fleet.learn_assignment(&engine, loading, NO_AGE, now);
        assert_eq!(usable(&fleet, &engine), None);
    }
    register(&mut fleet, range(0, 9), 2);
    fleet.learn_assignment(&engine, loading, NO_AGE, now);
    assert_eq!(usable(&fleet, &engine), Some(range(0, 9)));
}

#[rstest]
#[case::older_order(holding(1, range(3, 6), true))]
#[case::same_order_loading(holding(2, range(20, 29), false))]
#[case::same_word(holding(2, range(20, 29), true))]
#[tokio::test]
async fn a_late_copy_of_a_word_is_no_news_also_after_it_was_confirmed(
    #[case] late: LayerAssignment,
) {
    let (mut fleet, engine) = fleet(Some(range(0, 9)));
    let now = Instant::now();
    let told = holding(2, range(20, 29), true);
    fleet.learn_assignment(&engine, told, NO_AGE, now);
    register(&mut fleet, told.layers, 2);
    register(&mut fleet, range(40, 49), 3);
    assert!(!fleet.learn_assignment(&engine, late, NO_AGE, now));
    assert_eq!(usable(&fleet, &engine), Some(range(40, 49)));
}

#[rstest]
#[case::loading_that_never_ends(false, false, Some(range(0, 9)))]
#[case::loaded_while_no_registrations_come(true, false, Some(range(20, 29)))]
#[case::loaded_and_never_registered(true, true, Some(range(0, 9)))]
#[tokio::test]
async fn a_word_that_no_registration_confirms_is_given_up(
    #[case] loaded: bool,
    #[case] registrations_come: bool,
    #[case] expected: Option<LayerRange>,
) {
    let (mut fleet, engine) = fleet(Some(range(0, 9)));
    let now = Instant::now();
    fleet.learn_assignment(&engine, holding(2, range(20, 29), loaded), NO_AGE, now);
    fleet.expire_assignments(registrations_come, now + REPORT_TTL);
    assert_eq!(usable(&fleet, &engine), expected);
}

#[tokio::test]
async fn words_that_go_round_among_daemons_end() {
    let (mut fleet, engine) = fleet(None);
    let now = Instant::now();
    let word = holding(1, range(0, 9), true);
    fleet.learn_assignment(&engine, word, REPORT_TTL / 2, now);
    let later = now + REPORT_TTL / 4;
    let told = fleet.assignments().unconfirmed_reports(8, later);
    assert_eq!(told, [(Arc::clone(&engine), word, REPORT_TTL / 4 * 3)]);
    assert!(!fleet.learn_assignment(&engine, holding(2, range(0, 9), true), REPORT_TTL, now));
}
