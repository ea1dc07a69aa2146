//! The retry limit and validation of settings.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use kelpworks_relay::permit::Origin;
use kelpworks_relay::permit::RequestAttempts;
use kelpworks_relay::permit::Retry;
use kelpworks_relay::retry_budget::FleetContact;
use kelpworks_relay::retry_budget::RetryBudget;
use kelpworks_relay::retry_budget::RetryLimit;
use kelpworks_relay::settings::Settings;

const LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    allowance: 70.0,
};

/// Longest time for which a retry counts beyond the window.
const BUCKET: Duration = Duration::from_millis(157);

/// Time after its start until a daemon has its part of the fixed number: a window and the longest delivery.
const PROBATION: Duration = Duration::from_secs(13);
/// Time between two renewals of it.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Advances time and renews the budget's part of the fixed number.
async fn advance(budget: &mut RetryBudget, span: Duration) {
    let until = Instant::now() + span;
    loop {
        let now = Instant::now();
        budget.renew_share(budget.daemons(), FleetContact::Last(now), now);
        if now >= until {
            return;
        }
        tokio::time::advance(RENEWAL_INTERVAL.min(until - now)).await;
    }
}

/// Number of retries, up to 1000, that can be sent and arrive at `now`.
fn sent_retries(budget: &mut RetryBudget, service: &Arc<str>, now: Instant) -> usize {
    let mut send = || {
        let is_sent = budget.try_reserve(service, now) && budget.try_send(service, now);
        if is_sent {
            budget.end_send(service, now);
        }
        is_sent
    };
    (0..1_000).take_while(|_| send()).count()
}

#[tokio::test(start_paused = true)]
async fn all_daemons_together_stay_within_the_retry_limit() {
    let service: Arc<str> = Arc::from("llm");
    let mut total = 0;
    for requests in [0, 5, 50, 100, 200, 300, 400] {
        let mut budget = RetryBudget::new(LIMIT, 7, Instant::now());
        advance(&mut budget, PROBATION).await;
        let now = Instant::now();
        for _ in 0..requests {
            budget.record_request(&service, now);
        }
        total += sent_retries(&mut budget, &service, now);
    }
    let allowed = LIMIT.allowance + LIMIT.ratio * 1_055.0;
    assert!(total as f64 <= allowed, "{total} of {allowed}");
    assert!(total as f64 >= allowed * 0.8, "{total} of {allowed}");
}

#[tokio::test(start_paused = true)]
async fn retries_are_available_again_after_one_window() {
    let service: Arc<str> = Arc::from("llm");
    let mut budget = RetryBudget::new(LIMIT, 7, Instant::now());
    advance(&mut budget, PROBATION).await;
    let first = sent_retries(&mut budget, &service, Instant::now());
    assert_eq!(sent_retries(&mut budget, &service, Instant::now()), 0);
    advance(&mut budget, LIMIT.window + BUCKET).await;
    assert_eq!(sent_retries(&mut budget, &service, Instant::now()), first);
}

/// Guards against a fault in which the retry limit was exceeded by two, because a daemon that was
/// killed and restarted had its full share again at once.
#[tokio::test(start_paused = true)]
async fn restarted_daemon_gets_its_share_when_the_retries_before_no_longer_count() {
    let service: Arc<str> = Arc::from("llm");
    let mut before = RetryBudget::new(LIMIT, 7, Instant::now());
    advance(&mut before, PROBATION).await;
    let share = sent_retries(&mut before, &service, Instant::now());
    let mut after = RetryBudget::new(LIMIT, 7, Instant::now());
    assert_eq!(sent_retries(&mut after, &service, Instant::now()), 0);
    advance(&mut after, PROBATION - Duration::from_millis(1)).await;
    assert_eq!(sent_retries(&mut after, &service, Instant::now()), 0);
    advance(&mut after, Duration::from_millis(1)).await;
    assert_eq!(sent_retries(&mut after, &service, Instant::now()), share);
}

const SETTINGS: &str = r#"
name = "entry-1"
failure_domain = "hall-a"
[listen]
callers = "10.0.0.1:8080"
readiness = "10.0.0.1:8081"
operators = "10.0.0.1:9464"
peers = "10.0.0.1:7070"
[store]
address = "10.0.1.1:8000"
[peers]
seeds = ["10.0.0.2:7070"]
[stop]
grace = "8 s"
[repeats]
window = "10 s"
ratio = 0.2
slack = 198.0
"#;

#[rstest]
#[case::missing_key("failure_domain = \"hall-a\"\n", "", "failure_domain")]
#[case::truncated("ratio = 0.2\nslack = 198.0\n", "ratio = ", "settings")]
#[case::unknown_key("[stop]\n", "[stop]\nhaste = 1\n", "haste")]
#[case::invalid_address("10.0.1.1:8000", "the store", "address")]
#[case::empty_name("\"entry-1\"", "\"\"", "name")]
#[case::negative_allowance("slack = 198.0", "slack = -1.0", "repeats.slack")]
#[case::zero_window("\"10 s\"", "\"0 s\"", "repeats.window")]
#[case::zero_grace("\"8 s\"", "\"0 s\"", "stop.grace")]
fn invalid_setting_is_named_in_the_error(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] named: &str,
) {
    assert!(Settings::parse(SETTINGS).is_ok());
    let text = SETTINGS.replacen(good, bad, 1);
    let error = Settings::parse(&text)
        .expect_err("bad settings")
        .to_string();
    assert!(error.contains(named), "{error}");
}

/// Guards against a fault in which retries that were never written used up a daemon's share.
#[tokio::test(start_paused = true)]
async fn unused_retry_is_refunded() {
    let service: Arc<str> = Arc::from("llm");
    let mut budget = RetryBudget::new(LIMIT, 7, Instant::now());
    advance(&mut budget, PROBATION).await;
    let budget = Arc::new(Mutex::new(budget));
    let now = Instant::now();
    let try_acquire = || Retry::acquire(&budget, &service, now);
    let all: Vec<Retry> = std::iter::from_fn(try_acquire).take(1_000).collect();
    let share = all.len();
    assert!(share > 2);
    assert!(try_acquire().is_none());
    let mut all = all.into_iter();
    drop(all.next());
    let refunded = try_acquire().expect("the unused retry");
    assert!(try_acquire().is_none());
    let write = |retry: Retry| {
        let request = RequestAttempts::new(&budget, &service, Origin::Caller, now);
        let first = request.attempts().write(None).expect("no retry");
        first.record_arrival();
        request
            .attempts()
            .write(Some(retry))
            .expect("still allowed")
    };
    drop(write(refunded).undo());
    let refunded = try_acquire().expect("the retry that was not written");
    write(refunded).record_arrival();
    for retry in all {
        write(retry).record_arrival();
    }
    assert!(try_acquire().is_none(), "all others were used");
}
