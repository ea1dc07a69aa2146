//! Bounds on repeats, requests that crash upstreams, and settings.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use kelpworks_relay::crashes::CrashTracker;
use kelpworks_relay::crashes::Fingerprint;
use kelpworks_relay::crashes::MIN_CRASHES_TO_REFUSE;
use kelpworks_relay::permit::Permit;
use kelpworks_relay::retry_budget::RetryBudget;
use kelpworks_relay::retry_budget::RetryLimit;
use kelpworks_relay::settings::Settings;

const BOUND: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    allowance: 70.0,
};

/// Repeats that are given out at once.
fn given(repeats: &mut RetryBudget, service: &Arc<str>, now: Instant) -> usize {
    (0..1_000)
        .take_while(|_| repeats.try_acquire(service, now))
        .count()
}

#[tokio::test(start_paused = true)]
async fn all_daemons_together_stay_below_the_bound() {
    let service: Arc<str> = Arc::from("llm");
    let started = Instant::now();
    tokio::time::advance(BOUND.window).await;
    let now = Instant::now();
    let mut total = 0;
    for requests in [0, 5, 50, 100, 200, 300, 400] {
        let mut repeats = RetryBudget::new(BOUND, 7, started);
        for _ in 0..requests {
            repeats.record_request(&service, now);
        }
        total += given(&mut repeats, &service, now);
    }
    let allowed = BOUND.allowance + BOUND.ratio * 1_055.0;
    assert!(total as f64 <= allowed, "{total} of {allowed}");
    assert!(total as f64 >= allowed * 0.8, "{total} of {allowed}");
}

#[tokio::test(start_paused = true)]
async fn repeats_come_back_when_the_window_has_passed() {
    let service: Arc<str> = Arc::from("llm");
    let mut repeats = RetryBudget::new(BOUND, 7, Instant::now());
    tokio::time::advance(BOUND.window).await;
    let first = given(&mut repeats, &service, Instant::now());
    assert_eq!(given(&mut repeats, &service, Instant::now()), 0);
    tokio::time::advance(Duration::from_millis(10_001)).await;
    assert_eq!(given(&mut repeats, &service, Instant::now()), first);
}

/// The bound was once broken by two: a daemon that was killed had its part again at once.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_starts_again_has_its_part_after_one_window() {
    let service: Arc<str> = Arc::from("llm");
    let mut before = RetryBudget::new(BOUND, 7, Instant::now());
    tokio::time::advance(BOUND.window).await;
    let part = given(&mut before, &service, Instant::now());
    let mut after = RetryBudget::new(BOUND, 7, Instant::now());
    assert_eq!(given(&mut after, &service, Instant::now()), 0);
    tokio::time::advance(BOUND.window - Duration::from_millis(1)).await;
    assert_eq!(given(&mut after, &service, Instant::now()), 0);
    tokio::time::advance(Duration::from_millis(1)).await;
    assert_eq!(given(&mut after, &service, Instant::now()), part);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_upstreams_is_refused_also_by_word_of_peers() {
    let now = Instant::now();
    let request = Fingerprint(7);
    let mut here = CrashTracker::default();
    let mut there = CrashTracker::default();
    for _ in 1..MIN_CRASHES_TO_REFUSE {
        here.record_crash(request, now);
        assert!(!here.is_refused(request, now));
    }
    here.record_crash(request, now);
    assert!(here.is_refused(request, now));
    for (fingerprint, crashes) in here.top_counts(8) {
        there.learn(fingerprint, crashes, now);
    }
    assert!(there.is_refused(request, now));
    assert!(!there.is_refused(Fingerprint(8), now));
}

#[tokio::test(start_paused = true)]
async fn an_answer_clears_a_request() {
    let now = Instant::now();
    let mut crashes = CrashTracker::default();
    crashes.record_crash(Fingerprint(7), now);
    crashes.clear(Fingerprint(7));
    crashes.record_crash(Fingerprint(7), now);
    crashes.record_crash(Fingerprint(7), now);
    assert!(!crashes.is_refused(Fingerprint(7), now));
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
#[case::missing("failure_domain = \"hall-a\"\n", "", "failure_domain")]
#[case::half_written("ratio = 0.2\nslack = 198.0\n", "ratio = ", "settings")]
#[case::unknown_key("[stop]\n", "[stop]\nhaste = 1\n", "haste")]
#[case::no_address("10.0.1.1:8000", "the store", "address")]
#[case::no_name("\"entry-1\"", "\"\"", "name")]
#[case::negative("slack = 198.0", "slack = -1.0", "repeats.slack")]
#[case::no_window("\"10 s\"", "\"0 s\"", "repeats.window")]
#[case::no_grace("\"8 s\"", "\"0 s\"", "stop.grace")]
fn bad_settings_are_named(#[case] good: &str, #[case] bad: &str, #[case] named: &str) {
    assert!(Settings::parse(SETTINGS).is_ok());
    let text = SETTINGS.replacen(good, bad, 1);
    let error = Settings::parse(&text)
        .expect_err("bad settings")
        .to_string();
    assert!(error.contains(named), "{error}");
}

/// Repeats that were not written to a connection once used a daemon's part up.
#[tokio::test(start_paused = true)]
async fn a_permit_that_was_not_used_goes_back() {
    let service: Arc<str> = Arc::from("llm");
    let repeats = Arc::new(Mutex::new(RetryBudget::new(BOUND, 7, Instant::now())));
    tokio::time::advance(BOUND.window).await;
    let now = Instant::now();
    let permit = || Permit::retry(&repeats, &service, now);
    let all: Vec<Permit> = std::iter::from_fn(permit).collect();
    let part = all.len();
    assert!(part > 2);
    assert!(permit().is_none());
    let mut all = all.into_iter();
    drop(all.next());
    let again = permit().expect("the unused one");
    assert!(permit().is_none());
    drop(again.spend().undo());
    let again = permit().expect("one that came out not to be written");
    again.spend();
    for permit in all {
        permit.spend();
    }
    assert!(permit().is_none(), "all others were used");
}
