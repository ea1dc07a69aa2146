//! Tests of the delays of messages, and of what late digests do.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use super::lateness::ClockReading;
use super::lateness::Lateness;
use super::members::Audience;
use super::messages::LimitOf;
use super::messages::OwnerOf;
use super::roles::LEADER_TIMEOUT;
use super::tests::engine;
use super::tests::peers;
use crate::adapter::StartTime;
use crate::adapter::UpstreamEntry;
use crate::adapter::incarnation;
use crate::fleet::AddressOwner;
use crate::fleet::OwnerReport;
use kelpworks_coord::id::Version;

fn reading(process: u64, ms: u64) -> ClockReading {
    ClockReading { process, ms }
}

/// Times in milliseconds at which messages are sent and read; the clock of the sender is 5 s behind.
#[rstest]
#[case::first(&[(0, 30)], 0)]
#[case::on_time(&[(0, 30), (250, 310)], 0)]
#[case::within_the_tolerance(&[(0, 30), (250, 530)], 0)]
#[case::lay_in_a_socket(&[(0, 30), (250, 4_280)], 4_000)]
#[case::in_the_wrong_order(&[(250, 280), (0, 1_030)], 1_000)]
#[case::after_a_long_stop(&[(0, 30), (500, 200_530), (600, 200_530)], 199_900)]
fn lateness_is_the_excess_over_the_least_delay(#[case] messages: &[(u64, u64)], #[case] last: u64) {
    let mut lateness = Lateness::default();
    let name = Arc::from("peer");
    let mut late = Duration::ZERO;
    for &(sent, received) in messages {
        let (sent, received) = (reading(1, sent), reading(2, 5_000 + received));
        late = lateness.observe(&name, sent, received, None);
    }
    assert_eq!(late, Duration::from_millis(last));
}

#[test]
fn clock_of_a_new_process_is_not_compared_with_the_former_one() {
    let mut lateness = Lateness::default();
    let name = Arc::from("peer");
    lateness.observe(&name, reading(1, 90_000), reading(2, 100_000), None);
    let late = lateness.observe(&name, reading(3, 500), reading(2, 101_000), None);
    assert_eq!(late, Duration::ZERO);
}

/// Guards against a difference that is kept while clocks drift apart, or after one of them stood still: all digests
/// would count as late for as long.
#[test]
fn reply_bounds_the_delay() {
    let mut lateness = Lateness::default();
    let name = Arc::from("peer");
    lateness.observe(&name, reading(1, 10_000), reading(2, 10_000), None);
    // The sender's clock has lost four seconds; the reply arrives 20 ms after the call.
    let called = Some(reading(2, 15_000));
    let late = lateness.observe(&name, reading(1, 11_010), reading(2, 15_020), called);
    assert_eq!(late, Duration::ZERO);
    let late = lateness.observe(&name, reading(1, 11_250), reading(2, 15_260), None);
    assert_eq!(late, Duration::ZERO);
}

#[test]
fn drift_is_forgotten_with_its_window() {
    let mut lateness = Lateness::default();
    let name = Arc::from("peer");
    let mut late = Duration::ZERO;
    // The own clock gains a millisecond in each second.
    for s in 0..3_600 {
        let received = reading(2, s * 1_001);
        late = lateness.observe(&name, reading(1, s * 1_000), received, None);
    }
    assert_eq!(late, Duration::ZERO);
}

fn entry(id: &str, start: Option<u64>) -> UpstreamEntry {
    let id: Arc<str> = Arc::from(id);
    let start = start.map(StartTime);
    UpstreamEntry {
        instance: incarnation(&id, start),
        id,
        start,
        ..engine()
    }
}

/// Guards against the ages in a digest that lay in a socket, which were counted from the time at which it was read.
#[tokio::test(start_paused = true)]
async fn ages_in_a_late_digest_count_from_its_sending() {
    let (me, other) = (peers(0), peers(1));
    let now = Instant::now();
    let old = entry("old", None);
    for daemon in [&me, &other] {
        let mut fleet = daemon.shared.fleet();
        fleet.replace(vec![old.clone()], Version::initial(1), now);
    }
    me.learn_digest(&other.digest(&Audience::unknown()));
    other
        .shared
        .learn_address_owner(old.address, "between", now);
    let mut late = other.digest(&Audience::unknown());
    late.leader = Some(super::messages::LeaderOf {
        precedence: 1,
        age_ms: 0,
    });
    late.limits = vec![LimitOf {
        instance: Arc::clone(&old.instance),
        per_second: None,
        age_ms: 0,
    }];
    advance(Duration::from_secs(2)).await;
    let new = entry("new", None);
    let entries = vec![new.clone()];
    me.shared
        .fleet()
        .replace(entries, Version::initial(2), Instant::now());
    advance(Duration::from_secs(2)).await;
    me.learn_digest(&late);
    let fleet = me.shared.fleet();
    assert!(fleet.key_of(&new.instance).is_some(), "taken for disowned");
    let (_, age) = &fleet.recent_owners(8, Instant::now())[0];
    assert_eq!(*age, Duration::from_secs(4));
    drop(fleet);
    // A leader whose last report is four seconds old counts as lost.
    let at = super::lock(&me.roles).leader().map(|(_, at)| at);
    let age = at.map(|at| Instant::now().duration_since(at));
    assert!(age.is_some_and(|age| age > LEADER_TIMEOUT), "{age:?}");
}

/// Guards against a report that goes from daemon to daemon and becomes younger with each delay, so that it never ends.
#[tokio::test(start_paused = true)]
async fn report_of_an_owner_does_not_renew_itself() {
    let (a, b) = (peers(0), peers(1));
    let now = Instant::now();
    let entry = entry("e", None);
    for daemon in [&a, &b] {
        let mut fleet = daemon.shared.fleet();
        fleet.replace(vec![entry.clone()], Version::initial(1), now);
    }
    a.shared.learn_address_owner(entry.address, "other", now);
    // Each digest is under way for longer than the interval of the exchanges.
    for _ in 0..60 {
        for (from, to) in [(&a, &b), (&b, &a)] {
            let digest = from.digest(&Audience::unknown());
            advance(Duration::from_millis(200)).await;
            to.learn_digest(&digest);
        }
    }
    for daemon in [&a, &b] {
        let digest = daemon.digest(&Audience::unknown());
        assert_eq!(digest.owners, Vec::new());
    }
}

/// What an older build sends has neither a clock nor the new fields, and it ignores those.
#[test]
fn report_of_an_owner_is_readable_both_ways() {
    let old = r#"{"address":"10.0.0.1:80","id":"e","age_ms":5}"#;
    let read: OwnerOf = serde_json::from_str(old).expect("readable");
    let owner = AddressOwner {
        address: "10.0.0.1:80".parse().expect("an address"),
        id: Arc::from("e"),
    };
    let report = OwnerReport {
        owner,
        start: None,
        answer: None,
    };
    assert_eq!(read.report(), report);
    let sent = OwnerOf::new(report, Duration::from_millis(5));
    assert_eq!(serde_json::to_string(&sent).expect("JSON"), old);
}
