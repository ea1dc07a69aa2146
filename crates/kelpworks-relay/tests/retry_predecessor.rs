//! The part of the retry limit of a daemon whose former process may have left requests at upstreams.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use kelpworks_relay::retry_budget::FleetContact;
use kelpworks_relay::retry_budget::RetryBudget;
use kelpworks_relay::retry_budget::RetryLimit;

const LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    allowance: 20.0,
};
/// Longest time from the write of a request to its arrival.
const LONGEST_DELIVERY: Duration = Duration::from_secs(3);
/// Fixed number of retries that a lone daemon uses.
const USABLE: usize = 17;

fn service() -> Arc<str> {
    Arc::from("llm")
}

fn budget() -> RetryBudget {
    let mut budget = RetryBudget::new(LIMIT, 1, Instant::now());
    budget.expect_predecessor();
    budget.renew_share(1, FleetContact::Alone, Instant::now());
    budget
}

/// Counts the retries that can be reserved now, and gives them back.
fn usable(budget: &mut RetryBudget, service: &Arc<str>) -> usize {
    let now = Instant::now();
    let count = (0..1_000)
        .take_while(|_| budget.try_reserve(service, now))
        .count();
    (0..count).for_each(|_| budget.release(service));
    count
}

/// Guards against a part that is used while an upstream may read requests of a former process: only the observation
/// that all upstreams have run ends the wait, however long it lasts.
#[tokio::test(start_paused = true)]
async fn fixed_part_waits_until_all_upstreams_have_run() {
    let mut budget = budget();
    advance(Duration::from_secs(60)).await;
    assert!(budget.awaits_upstreams("llm"));
    assert_eq!(usable(&mut budget, &service()), 0);
    let now = Instant::now();
    assert!(budget.record_upstreams_ran(&service(), now, now));
    advance(LIMIT.window - Duration::from_millis(1)).await;
    assert_eq!(
        usable(&mut budget, &service()),
        0,
        "what arrived counts for a window"
    );
    advance(Duration::from_millis(1)).await;
    assert_eq!(usable(&mut budget, &service()), USABLE);
    assert_eq!(usable(&mut budget, &Arc::from("app")), 0, "another service");
}

/// Guards against a service that is new, and has no fixed part for a window since its upstreams were never checked.
#[tokio::test(start_paused = true)]
async fn fixed_part_of_a_service_without_upstreams_at_the_start_does_not_wait() {
    let mut budget = budget();
    advance(LIMIT.window + LONGEST_DELIVERY).await;
    assert_eq!(
        usable(&mut budget, &Arc::from("new")),
        0,
        "registrations are unknown"
    );
    budget.set_predecessor_services([service()].into());
    assert_eq!(usable(&mut budget, &Arc::from("new")), USABLE);
    assert_eq!(usable(&mut budget, &service()), 0);
}

/// Guards against an observation that is older than the last request of the former process.
#[rstest]
#[case::before_the_last_delivery(LONGEST_DELIVERY - Duration::from_millis(1), 0)]
#[case::after_it(LONGEST_DELIVERY, USABLE)]
#[tokio::test(start_paused = true)]
async fn observation_counts_from_the_last_delivery_on(
    #[case] since_start: Duration,
    #[case] expected: usize,
) {
    let mut budget = budget();
    let since = Instant::now() + since_start;
    advance(Duration::from_secs(5)).await;
    budget.record_upstreams_ran(&service(), since, Instant::now());
    advance(LIMIT.window).await;
    assert_eq!(usable(&mut budget, &service()), expected);
}

/// Guards against a later observation that begins the wait anew, and against an older one that replaces it.
#[tokio::test(start_paused = true)]
async fn further_observations_change_nothing() {
    let mut budget = budget();
    advance(LONGEST_DELIVERY).await;
    let first = Instant::now();
    assert!(budget.record_upstreams_ran(&service(), first, first));
    advance(LIMIT.window).await;
    let later = Instant::now();
    assert!(!budget.record_upstreams_ran(&service(), later, later));
    assert!(!budget.record_upstreams_ran(&service(), first, later));
    assert_eq!(usable(&mut budget, &service()), USABLE);
    assert_eq!(budget.upstreams_ran(), [(service(), later)]);
}

/// Guards against callers who get no retries while the fixed part waits: those that their own requests pay for stay.
#[tokio::test(start_paused = true)]
async fn retries_in_proportion_to_requests_do_not_wait() {
    let mut budget = budget();
    for _ in 0..100 {
        budget.record_request(&service(), Instant::now());
    }
    assert_eq!(usable(&mut budget, &service()), USABLE);
}
