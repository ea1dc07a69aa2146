//! The account of retries against the times at which they arrive.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use kelpworks_relay::permit::Origin;
use kelpworks_relay::permit::RequestAttempts;
use kelpworks_relay::permit::Retry;
use kelpworks_relay::permit::SentAttempt;
use kelpworks_relay::retry_budget::Delivery;
use kelpworks_relay::retry_budget::FleetContact;
use kelpworks_relay::retry_budget::RetryBudget;
use kelpworks_relay::retry_budget::RetryLimit;

const LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.0,
    allowance: 20.0,
};
/// Longest time from the write of a retry to its arrival.
const LONGEST_DELIVERY: Duration = Duration::from_secs(3);
/// Longest time for which a retry counts beyond the window.
const BUCKET: Duration = Duration::from_millis(157);

fn service() -> Arc<str> {
    Arc::from("llm")
}

/// Returns the budget of a lone daemon that has its part of the limit.
async fn budget() -> Arc<Mutex<RetryBudget>> {
    let mut budget = RetryBudget::new(LIMIT, 1, Instant::now());
    budget.renew_share(1, FleetContact::Alone, Instant::now());
    advance(LIMIT.window + LONGEST_DELIVERY).await;
    Arc::new(Mutex::new(budget))
}

fn acquire(budget: &Arc<Mutex<RetryBudget>>) -> Option<Retry> {
    Retry::acquire(budget, &service(), Instant::now())
}

/// Acquires retries until none is left, up to many more than are allowed.
fn acquire_all(budget: &Arc<Mutex<RetryBudget>>) -> Vec<Retry> {
    let retries = std::iter::from_fn(|| acquire(budget));
    retries.take(1_000).collect()
}

/// Writes a retry for a request whose first attempt has arrived; `None` if it is no longer allowed.
fn send(budget: &Arc<Mutex<RetryBudget>>, retry: Retry) -> Option<SentAttempt> {
    let request = RequestAttempts::new(budget, &service(), Origin::Caller, Instant::now());
    let first = request.attempts().write(None).expect("no retry");
    first.record_arrival();
    request.attempts().write(Some(retry))
}

/// Sends all retries, which arrive at once, and returns how many it may.
fn send_all(budget: &Arc<Mutex<RetryBudget>>, retries: Vec<Retry>) -> usize {
    let sent = retries.into_iter().filter_map(|retry| send(budget, retry));
    sent.map(SentAttempt::record_arrival).count()
}

/// Guards against retries that cease to count while they are held for longer than a window, so that those
/// of a second window are sent beside them.
#[tokio::test(start_paused = true)]
async fn retry_held_for_longer_than_a_window_counts() {
    let budget = budget().await;
    let held = acquire_all(&budget);
    advance(LIMIT.window + BUCKET).await;
    let later = acquire_all(&budget);
    let sent = send_all(&budget, held) + send_all(&budget, later);
    assert!(sent <= LIMIT.allowance as usize, "{sent} sent at once");
    assert!(sent >= 17, "{sent} sent");
}

/// Guards against retries that are counted from their permission: one written at the end of a long hold
/// counts for a window from then on.
#[tokio::test(start_paused = true)]
async fn retry_counts_from_its_write() {
    let budget = budget().await;
    let held = acquire_all(&budget);
    advance(LIMIT.window - BUCKET).await;
    let sent = send_all(&budget, held);
    advance(2 * BUCKET).await;
    let later = send_all(&budget, acquire_all(&budget));
    assert!(
        sent + later <= LIMIT.allowance as usize,
        "{sent} and {later}"
    );
    advance(LIMIT.window).await;
    assert_eq!(acquire_all(&budget).len(), sent);
}

/// Guards against a refund that removes the time of another retry: 25 of 20 were sent within 1.1 s.
#[tokio::test(start_paused = true)]
async fn refunded_retry_removes_itself_alone() {
    let budget = budget().await;
    let early: Vec<Retry> = (0..8).filter_map(|_| acquire(&budget)).collect();
    advance(Duration::from_secs(9)).await;
    let mut sent = send_all(&budget, acquire_all(&budget));
    drop(early);
    advance(Duration::from_millis(1_100)).await;
    sent += send_all(&budget, acquire_all(&budget));
    assert!(sent <= LIMIT.allowance as usize, "{sent} sent in 1.1 s");
    assert!(sent >= 17, "{sent} sent");
}

/// How a retry ends that is not answered.
#[derive(Clone, Copy, Debug)]
enum End {
    Dropped,
    Answered,
}

/// Guards against retries without an answer that cease to count while they may still arrive.
#[rstest]
#[case::without_an_answer(End::Dropped, LONGEST_DELIVERY)]
#[case::answered(End::Answered, Duration::ZERO)]
#[tokio::test(start_paused = true)]
async fn retry_counts_for_a_window_after_its_latest_arrival(
    #[case] end: End,
    #[case] delivery: Duration,
) {
    let budget = budget().await;
    let sent: Vec<_> = acquire_all(&budget)
        .into_iter()
        .filter_map(|retry| send(&budget, retry))
        .collect();
    let count = sent.len();
    advance(2 * LIMIT.window).await;
    assert!(acquire(&budget).is_none(), "all are in flight");
    match end {
        End::Dropped => drop(sent),
        End::Answered => sent.into_iter().for_each(SentAttempt::record_arrival),
    }
    advance(LIMIT.window + delivery - BUCKET).await;
    assert!(acquire(&budget).is_none(), "all count");
    advance(2 * BUCKET).await;
    assert_eq!(acquire_all(&budget).len(), count);
}

/// Guards against retries that are sent because they were permitted when more were allowed.
#[tokio::test(start_paused = true)]
async fn retry_is_not_sent_when_fewer_are_allowed_meanwhile() {
    let budget = budget().await;
    let held = acquire_all(&budget);
    let now = Instant::now();
    budget
        .lock()
        .expect("no panic")
        .renew_share(4, FleetContact::Alone, now);
    assert_eq!(send_all(&budget, held), 4);
}

/// Guards against a process that was paused for longer than a window, during which others may have come to
/// share the limit without it, and that then uses its part before it has renewed it.
#[rstest]
#[case::shorter_than_a_window(Duration::from_secs(9), true)]
#[case::a_window(LIMIT.window, false)]
#[case::longer(Duration::from_secs(60), false)]
#[tokio::test(start_paused = true)]
async fn part_that_was_not_renewed_within_a_window_is_not_used(
    #[case] pause: Duration,
    #[case] is_used: bool,
) {
    let started = Instant::now();
    let mut budget = RetryBudget::new(LIMIT, 1, started);
    let mut renew = |seconds| {
        let now = started + Duration::from_secs(seconds);
        budget.renew_share(1, FleetContact::Last(now), now);
        now
    };
    renew(0);
    renew(7);
    let last = renew(14);
    assert_eq!(budget.try_reserve(&service(), last + pause), is_used);
}

/// What happens to a retry, or to the clock.
#[derive(Clone, Copy, Debug)]
enum Event {
    Reserve,
    Release,
    Send,
    /// Nothing was written.
    Undo,
    /// It arrives now, and is answered.
    Answer,
    /// Its answer is no longer waited for; it arrives after this time, or not at all.
    Abandon(Option<Duration>),
    Pass(Duration),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let delivery = (0..=LONGEST_DELIVERY.as_millis() as u64).prop_map(Duration::from_millis);
    let pass = prop_oneof![0..200u64, 0..25_000u64].prop_map(Duration::from_millis);
    let event = prop_oneof![
        12 => Just(Event::Reserve),
        2 => Just(Event::Release),
        8 => Just(Event::Send),
        1 => Just(Event::Undo),
        4 => Just(Event::Answer),
        3 => proptest::option::of(delivery).prop_map(Event::Abandon),
        3 => pass.prop_map(Event::Pass),
    ];
    proptest::collection::vec(event, 1..400)
}

/// The account under test, and the arrivals at the service.
struct Trial {
    budget: RetryBudget,
    now: Instant,
    reserved: usize,
    in_flight: usize,
    arrivals: Vec<Instant>,
}

impl Trial {
    fn apply(&mut self, event: Event) {
        let service = service();
        let (budget, now) = (&mut self.budget, self.now);
        let (any_reserved, any_in_flight) = (self.reserved > 0, self.in_flight > 0);
        match event {
            Event::Reserve => self.reserved += usize::from(budget.try_reserve(&service, now)),
            Event::Release if any_reserved => {
                budget.release(&service);
                self.reserved -= 1;
            }
            Event::Send if any_reserved && budget.try_send(&service, now) => {
                self.reserved -= 1;
                self.in_flight += 1;
            }
            Event::Undo if any_in_flight => {
                budget.undo_send(&service);
                self.reserved += 1;
                self.in_flight -= 1;
            }
            Event::Answer if any_in_flight => {
                budget.end_send(&service, Delivery::Arrived.latest_arrival(now));
                self.in_flight -= 1;
                self.arrivals.push(now);
            }
            Event::Abandon(delivery) if any_in_flight => {
                budget.end_send(&service, Delivery::Unknown.latest_arrival(now));
                self.in_flight -= 1;
                self.arrivals.extend(delivery.map(|d| now + d));
            }
            Event::Pass(time) => self.now += time,
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against any order of holds, writes, refunds and late arrivals in which more retries arrive
    /// in a window than are allowed.
    #[test]
    fn no_window_has_more_arrivals_than_allowed(events in events()) {
        let started = Instant::now();
        let mut budget = RetryBudget::new(LIMIT, 1, started);
        budget.renew_share(1, FleetContact::Alone, started);
        let mut trial = Trial {
            budget,
            now: started + LIMIT.window + LONGEST_DELIVERY,
            reserved: 0,
            in_flight: 0,
            arrivals: Vec::new(),
        };
        for event in events {
            trial.apply(event);
        }
        let arrivals = &mut trial.arrivals;
        arrivals.sort_unstable();
        for (i, &from) in arrivals.iter().enumerate() {
            let end = arrivals.partition_point(|&at| at <= from + LIMIT.window);
            prop_assert!(end - i <= LIMIT.allowance as usize, "{} in a window", end - i);
        }
    }
}

/// Load: engines refuse requests that have not run while a group of engines ends. Guards against streams that break off
/// because those requests used up all retries.
#[tokio::test(start_paused = true)]
async fn part_of_the_budget_is_left_to_requests_that_have_run() {
    let budget = budget().await;
    let now = Instant::now();
    let acquire_part = || Retry::acquire_part(&budget, &service(), 0.5, now);
    let not_run: Vec<Retry> = std::iter::from_fn(acquire_part).take(100).collect();
    let have_run = acquire_all(&budget);
    assert_eq!((not_run.len(), have_run.len()), (8, 9));
}
