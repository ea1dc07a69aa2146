//! The parts of the retry budget of all daemons of a fleet in virtual time: they are never more than the
//! whole together, and nearly all of it while nothing happens.

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::index::sample;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use super::fleet_tests::SimulatedFleet;
use super::lock;
use super::members::FORGET_AFTER;
use super::messages::UpstreamsRanOf;
use super::tests::digest;
use super::tests::engine;
use super::tests::peers;

/// Time after the start until every daemon uses its part: a window, the longest delivery, and the first
/// exchanges.
const PROBATION: Duration = Duration::from_secs(15);
/// Time between two checks of the parts.
const STEP: Duration = Duration::from_millis(500);
/// Fraction of the allowance by which the parts may exceed it. A daemon that is lost may have used its part
/// when one more shares the allowance; less is used than allowed for such cases.
const TOLERANCE: f64 = 0.02;

/// Returns the sum of the parts of the fixed allowance that daemons may use now, as a fraction of it.
fn used_fraction(fleet: &SimulatedFleet) -> f64 {
    let now = Instant::now();
    let part = |me: &Arc<super::Peers>| me.shared.retry_budget().fixed_part(now);
    let sum: f64 = fleet.all.iter().map(part).sum();
    sum / super::tests::RETRY_LIMIT.allowance
}

/// Runs the fleet and returns the largest fraction of the allowance that was usable at any time.
async fn largest_fraction(fleet: &mut SimulatedFleet, span: Duration) -> f64 {
    let until = Instant::now() + span;
    let mut largest = 0.0f64;
    while Instant::now() < until {
        fleet.run(STEP).await;
        largest = largest.max(used_fraction(fleet));
    }
    largest
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(69)]
#[case(295)]
#[tokio::test(start_paused = true)]
async fn nearly_all_of_the_allowance_is_usable_after_the_start(#[case] size: usize) {
    let mut fleet = SimulatedFleet::start(size);
    let largest = largest_fraction(&mut fleet, PROBATION).await;
    assert!(largest <= 1.0 + 1e-9, "{largest}");
    let usable = used_fraction(&fleet);
    assert!(usable >= 0.95, "{usable}");
}

/// Guards against daemons that start while they reach no other and each take the whole allowance.
#[tokio::test(start_paused = true)]
async fn daemons_that_start_without_contact_have_no_part() {
    let mut fleet = SimulatedFleet::start(7);
    fleet.cut_off(4..7);
    largest_fraction(&mut fleet, PROBATION).await;
    let now = Instant::now();
    let part = |number: usize| fleet.all[number].shared.retry_budget().fixed_part(now);
    for number in 4..7 {
        assert_eq!(part(number), 0.0, "daemon {number}");
    }
    assert!(part(0) > 0.0);
    fleet.cut_off([]);
    let largest = largest_fraction(&mut fleet, 2 * PROBATION).await;
    assert!(largest <= 1.0 + TOLERANCE, "{largest}");
    assert!(used_fraction(&fleet) >= 0.95, "after the cut");
}

/// Guards against both sides of a cut that forget each other after a minute and then each take the whole
/// allowance.
#[tokio::test(start_paused = true)]
async fn two_sides_that_forget_each_other_share_one_allowance() {
    let mut fleet = SimulatedFleet::start(8);
    largest_fraction(&mut fleet, PROBATION).await;
    // Two of the three seeds stay on the other side.
    fleet.cut_off([0, 3, 4, 5]);
    // The others are forgotten, and then the counts that were reported before.
    let largest = largest_fraction(&mut fleet, 2 * FORGET_AFTER + PROBATION).await;
    assert!(largest <= 1.0 + 1e-9, "{largest}");
    assert!(
        used_fraction(&fleet) >= 0.95,
        "the side with the seeds takes all"
    );
}

/// A daemon with an older view than others divides by their count.
#[tokio::test(start_paused = true)]
async fn larger_count_of_a_peer_is_used_until_it_is_old() {
    let me = peers(0);
    let mut report = digest(1);
    report.knows = 68;
    me.learn_digest(&report);
    me.renew_retry_share();
    assert_eq!(me.shared.retry_budget().daemons(), 69);
    advance(FORGET_AFTER / 2).await;
    me.learn_digest(&digest(1));
    me.renew_retry_share();
    assert_eq!(me.shared.retry_budget().daemons(), 69);
    advance(FORGET_AFTER / 2).await;
    me.learn_digest(&digest(1));
    lock(&me.members).forget(Instant::now());
    me.renew_retry_share();
    assert_eq!(me.shared.retry_budget().daemons(), 2);
}

/// Guards against a report of a contact long ago, or with an age that is no time, that renews a part.
#[tokio::test(start_paused = true)]
async fn unusable_report_of_a_contact_changes_nothing() {
    let me = peers(5);
    me.set_seeds(&[super::tests::address(0), super::tests::address(1)]);
    let mut report = digest(7);
    for age_ms in [u64::MAX, FORGET_AFTER.as_millis() as u64] {
        report.seed_majority_ms = Some(age_ms);
        me.learn_digest(&report);
        assert_eq!(lock(&me.reported_fleet).majority_contact(), None);
    }
}

/// Guards against any series of starts, restarts, cuts and joins in which the parts of all daemons exceed
/// the allowance.
#[rstest]
#[case::small(7, 1)]
#[case::small_again(7, 2)]
#[case::small_third(7, 3)]
#[case::grown(24, 4)]
#[case::large(69, 5)]
#[tokio::test(start_paused = true)]
async fn parts_of_all_daemons_never_exceed_the_allowance(#[case] size: usize, #[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = SimulatedFleet::start(size);
    let mut largest = largest_fraction(&mut fleet, PROBATION).await;
    for _ in 0..12 {
        let all = fleet.all.len();
        match rng.random_range(0..5) {
            0 => fleet.cut_off([]),
            1 | 2 => {
                let count = rng.random_range(1..all);
                fleet.cut_off(sample(&mut rng, all, count));
            }
            3 => {
                for number in sample(&mut rng, all, all / 3) {
                    fleet.restart(number);
                }
            }
            _ => {
                for number in all..all + size.div_ceil(4) {
                    fleet.join(Arc::new(peers(number)));
                }
            }
        }
        let span = Duration::from_secs(rng.random_range(2..40));
        largest = largest.max(largest_fraction(&mut fleet, span).await);
    }
    assert!(largest <= 1.0 + TOLERANCE, "{largest}");
}

/// Guards against reports that count as newer than they are, for services that nobody serves, or with ages that are no
/// time.
#[rstest]
#[case::recent("llm", 1_000, true)]
#[case::before_the_start("llm", 20_000, false)]
#[case::no_time("llm", u64::MAX, false)]
#[case::unknown_service("other", 0, false)]
#[tokio::test(start_paused = true)]
async fn report_that_upstreams_have_run_counts_from_the_call_for_it(
    #[case] service: &str,
    #[case] age_ms: u64,
    #[case] counts: bool,
) {
    let me = peers(5);
    me.shared.retry_budget().expect_predecessor();
    let version = Version::initial(1);
    me.shared
        .fleet()
        .replace(vec![engine()], version, Instant::now());
    advance(Duration::from_secs(10)).await;
    let report = UpstreamsRanOf {
        service: Arc::from(service),
        age_ms,
    };
    me.learn_upstreams_ran(&[report], Instant::now());
    assert_eq!(!me.shared.retry_budget().awaits_upstreams("llm"), counts);
    let told = me.upstreams_ran(Instant::now());
    assert_eq!(
        told.iter().any(|r| r.age_ms == age_ms),
        counts || age_ms == 20_000
    );
    advance(FORGET_AFTER).await;
    assert!(
        me.upstreams_ran(Instant::now()).is_empty(),
        "an old observation"
    );
}
