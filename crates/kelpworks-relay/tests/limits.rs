//! The request limit of one upstream: announcements, and when it admits a request.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use kelpworks_relay::limits::Announcement;
use kelpworks_relay::limits::Limiter;
use kelpworks_relay::limits::Rate;

fn rate(per_second: f64) -> Rate {
    Rate::per_second(per_second).expect("a rate")
}

/// Returns a limit announced at `at`, with the whole rate as this daemon's share.
fn limiter(per_second: f64, at: Instant) -> Limiter {
    let mut limiter = Limiter::default();
    limiter.on_answer(Announcement::Limited(rate(per_second)), at, at);
    limiter.set_share(1.0, at);
    limiter
}

fn after(at: Instant, millis: u64) -> Instant {
    at + Duration::from_millis(millis)
}

#[rstest]
#[case::negative(-0.1)]
#[case::not_a_number(f64::NAN)]
#[case::infinite(f64::INFINITY)]
fn invalid_rate_is_rejected(#[case] number: f64) {
    assert_eq!(Rate::per_second(number), None);
}

#[test]
fn upstream_without_limit_admits_every_request() {
    let now = Instant::now();
    let mut limiter = Limiter::default();
    for _ in 0..1_000 {
        assert!(limiter.admit(now).is_some());
    }
}

#[test]
fn new_limit_admits_no_burst_and_then_nine_tenths_of_its_rate() {
    let start = Instant::now();
    let mut limiter = limiter(10.0, start);
    let times = (0..2_000).map(|ms| after(start, ms));
    let admitted: Vec<Instant> = times.filter(|&at| limiter.admit(at).is_some()).collect();
    assert_eq!(
        admitted.len(),
        17,
        "nine tenths of the rate, starting after one interval"
    );
    let pauses = admitted.windows(2).map(|w| w[1] - w[0]);
    assert!(pauses.min() >= Some(Duration::from_millis(111)));
}

#[test]
fn lower_limit_applies_at_once_and_higher_limit_only_to_later_requests() {
    let start = Instant::now();
    let mut limiter = limiter(5.0, start);
    let received = after(start, 50);
    let lower = Announcement::Limited(rate(2.0));
    let higher = Announcement::Limited(rate(8.0));
    limiter.on_answer(higher, start, received);
    assert_eq!(limiter.rate(), Some(rate(5.0)), "the answer is stale");
    limiter.on_answer(lower, start, received);
    assert_eq!(limiter.rate(), Some(rate(2.0)));
    limiter.on_answer(higher, after(received, 1), after(received, 60));
    assert_eq!(limiter.rate(), Some(rate(8.0)));
}

#[test]
fn stale_answer_does_not_end_a_limit() {
    let start = Instant::now();
    let mut limiter = limiter(5.0, start);
    let stale = start
        .checked_sub(Duration::from_millis(1))
        .expect("a moment");
    limiter.on_answer(Announcement::Unlimited, stale, after(start, 10));
    assert_eq!(limiter.rate(), Some(rate(5.0)));
    limiter.on_answer(Announcement::Unreadable, after(start, 11), after(start, 20));
    assert_eq!(limiter.rate(), Some(rate(5.0)));
    limiter.on_answer(Announcement::Unlimited, after(start, 21), after(start, 30));
    assert_eq!(limiter.rate(), None);
}

/// Later answers without a limit must not renew the time, or peers would report the end forever.
#[test]
fn end_of_limit_keeps_the_time_of_the_answer_that_ended_it() {
    let start = Instant::now();
    let mut limiter = limiter(5.0, start);
    let ended = after(start, 20);
    limiter.on_answer(Announcement::Unlimited, after(start, 10), ended);
    limiter.on_answer(Announcement::Unlimited, after(start, 30), after(start, 40));
    assert_eq!(limiter.latest_announcement(), Some((None, ended)));
}

#[test]
fn latest_announcement_wins_regardless_of_its_source() {
    let start = Instant::now();
    let mut limiter = limiter(5.0, start);
    let now = after(start, 500);
    let before = start
        .checked_sub(Duration::from_millis(1))
        .expect("a moment");
    assert_eq!(limiter.on_report(None, before, now), None);
    assert_eq!(limiter.rate(), Some(rate(5.0)));
    limiter.on_report(None, after(start, 100), now);
    assert_eq!(limiter.rate(), None);
    limiter.on_report(Some(rate(5.0)), after(start, 90), now);
    assert_eq!(limiter.rate(), None, "an older report");
}

#[test]
fn refund_of_an_unsent_request_frees_its_admission() {
    let start = Instant::now();
    let mut limiter = limiter(1.0, start);
    let at = after(start, 1_200);
    let admission = limiter.admit(at).expect("the first");
    assert!(!limiter.admits(after(at, 1)));
    limiter.refund(admission);
    assert!(limiter.admits(after(at, 1)));
}

#[test]
fn refund_of_an_earlier_admission_keeps_a_later_one() {
    let start = Instant::now();
    let mut limiter = limiter(1.0, start);
    let first = limiter.admit(after(start, 1_200)).expect("the first");
    let later = after(start, 2_400);
    assert!(limiter.admit(later).is_some());
    limiter.refund(first);
    assert!(!limiter.admits(after(later, 1)));
}

#[test]
fn daemon_without_share_sends_nothing_and_accrues_no_credit() {
    let start = Instant::now();
    let mut limiter = limiter(1.0, start);
    limiter.set_share(0.0, start);
    let later = after(start, 60_000);
    assert_eq!(limiter.wait(later), None);
    limiter.set_share(1.0, later);
    assert!(!limiter.admits(after(later, 1_000)));
    assert!(limiter.admits(after(later, 1_200)));
}

#[test]
fn upstream_with_zero_rate_is_probed_periodically() {
    let start = Instant::now();
    let limiter = limiter(0.0, start);
    assert!(!limiter.admits(after(start, 11_000)));
    assert!(limiter.admits(after(start, 12_000)));
}
