//! What is known of one upstream's limit, and when it admits a request.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use kelpworks_relay::limits::Announcement;
use kelpworks_relay::limits::Limiter;
use kelpworks_relay::limits::Rate;

fn rate(per_second: f64) -> Rate {
    Rate::per_second(per_second).expect("a rate")
}

/// A limit that was announced at a moment, all of which this daemon may use.
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
fn what_is_no_rate(#[case] number: f64) {
    assert_eq!(Rate::per_second(number), None);
}

#[test]
fn an_upstream_without_a_limit_admits_everything() {
    let now = Instant::now();
    let mut limiter = Limiter::default();
    for _ in 0..1_000 {
        assert!(limiter.admit(now).is_some());
    }
}

#[test]
fn a_limit_admits_nothing_at_once_and_then_its_rate() {
    let start = Instant::now();
    let mut limiter = limiter(10.0, start);
    let times = (0..2_000).map(|ms| after(start, ms));
    let admitted: Vec<Instant> = times.filter(|&at| limiter.admit(at).is_some()).collect();
    assert_eq!(
        admitted.len(),
        17,
        "nine in ten of twenty, from the first pause on"
    );
    let pauses = admitted.windows(2).map(|w| w[1] - w[0]);
    assert!(pauses.min() >= Some(Duration::from_millis(111)));
}

#[test]
fn a_lower_limit_counts_at_once_and_a_higher_one_after_a_later_request() {
    let start = Instant::now();
    let mut limiter = limiter(5.0, start);
    let heard = after(start, 50);
    let lower = Announcement::Limited(rate(2.0));
    let higher = Announcement::Limited(rate(8.0));
    limiter.on_answer(higher, start, heard);
    assert_eq!(limiter.rate(), Some(rate(5.0)), "it was overtaken");
    limiter.on_answer(lower, start, heard);
    assert_eq!(limiter.rate(), Some(rate(2.0)));
    limiter.on_answer(higher, after(heard, 1), after(heard, 60));
    assert_eq!(limiter.rate(), Some(rate(8.0)));
}

#[test]
fn an_answer_that_was_overtaken_does_not_end_a_limit() {
    let start = Instant::now();
    let mut limiter = limiter(5.0, start);
    let overtaken = start
        .checked_sub(Duration::from_millis(1))
        .expect("a moment");
    limiter.on_answer(Announcement::Unlimited, overtaken, after(start, 10));
    assert_eq!(limiter.rate(), Some(rate(5.0)));
    limiter.on_answer(Announcement::Unreadable, after(start, 11), after(start, 20));
    assert_eq!(limiter.rate(), Some(rate(5.0)));
    limiter.on_answer(Announcement::Unlimited, after(start, 21), after(start, 30));
    assert_eq!(limiter.rate(), None);
}

/// What is no limit any more is not reported for ever.
#[test]
fn the_end_of_a_limit_is_dated_by_the_answer_that_ended_it() {
    let start = Instant::now();
    let mut limiter = limiter(5.0, start);
    let ended = after(start, 20);
    limiter.on_answer(Announcement::Unlimited, after(start, 10), ended);
    limiter.on_answer(Announcement::Unlimited, after(start, 30), after(start, 40));
    assert_eq!(limiter.latest_announcement(), Some((None, ended)));
}

#[test]
fn the_latest_announcement_counts_whoever_tells_it() {
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
    assert_eq!(limiter.rate(), None, "an older word");
}

#[test]
fn a_request_that_was_not_sent_goes_back() {
    let start = Instant::now();
    let mut limiter = limiter(1.0, start);
    let at = after(start, 1_200);
    let admission = limiter.admit(at).expect("the first");
    assert!(!limiter.admits(after(at, 1)));
    limiter.refund(admission);
    assert!(limiter.admits(after(at, 1)));
}

#[test]
fn an_earlier_request_that_was_not_sent_does_not_undo_a_later_one() {
    let start = Instant::now();
    let mut limiter = limiter(1.0, start);
    let first = limiter.admit(after(start, 1_200)).expect("the first");
    let later = after(start, 2_400);
    assert!(limiter.admit(later).is_some());
    limiter.refund(first);
    assert!(!limiter.admits(after(later, 1)));
}

#[test]
fn a_daemon_without_a_share_sends_nothing_and_saves_nothing_up() {
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
fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let start = Instant::now();
    let limiter = limiter(0.0, start);
    assert!(!limiter.admits(after(start, 11_000)));
    assert!(limiter.admits(after(start, 12_000)));
}
