//! What daemons make of attempts that break off, and how their findings reach each other in digests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::crash_ledger::Finding;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::id::Version;
use kelpworks_coord::poison::Fingerprint;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use super::Audience;
use super::Peers;
use super::messages::CrashesOf;
use super::tests::address;
use super::tests::digest;
use super::tests::engine;
use super::tests::peers;
use crate::adapter::UpstreamEntry;
use crate::reach::Evidence;
use crate::reach::Probe;
use crate::shared::crashes::Break;
use crate::shared::crashes::BrokenAttempt;
use crate::shared::crashes::Identity;
use crate::shared::crashes::Incarnation;

const SERVICE: &str = "llm";
const UPSTREAMS: usize = 3;
const REQUEST: Fingerprint = Fingerprint(7);
const IDENTITY: Identity<'static> = Identity {
    fingerprint: REQUEST,
    parts: &[],
};

fn entry(number: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: Arc::from(format!("e-{number}")),
        instance: Arc::from(format!("e-{number}")),
        address: address(900 + number),
        ..engine()
    }
}

/// Registers the upstreams with these numbers in place of all others.
fn register(me: &Peers, revision: u64, numbers: &[usize]) {
    let entries = numbers.iter().map(|&n| entry(n)).collect();
    let version = Version::initial(revision);
    let changes = me.shared.fleet().replace(entries, version, Instant::now());
    me.shared.upstreams_changed(&changes, "the test");
}

fn daemon(number: usize) -> Peers {
    let me = peers(number);
    register(&me, 1, &[0, 1, 2]);
    me
}

fn incarnation(me: &Peers, number: usize) -> Incarnation {
    let key = me.shared.fleet().key_of(&format!("e-{number}"));
    let incarnation = key.and_then(|key| me.shared.incarnation(key));
    incarnation.expect("registered")
}

/// Records that an attempt of the request broke off at an upstream.
fn break_off(me: &Peers, number: usize, end: Break) -> usize {
    let service = Arc::from(SERVICE);
    me.shared.record_break(BrokenAttempt {
        kind: "call",
        request: "r-1",
        team: None,
        identity: IDENTITY,
        service: &service,
        incarnation: &incarnation(me, number),
        sent: Instant::now(),
        is_answered: false,
        end,
    })
}

fn exchange(from: &Peers, to: &Peers) {
    to.learn_digest(&from.digest(&Audience::default()));
}

fn is_refused(me: &Peers) -> bool {
    me.shared.check_crashes(IDENTITY, SERVICE, true).is_err()
}

/// Guards against crashes that three daemons see at one moment, and that count as one.
#[tokio::test(start_paused = true)]
async fn crashes_that_three_daemons_see_at_one_moment_count_as_three() {
    let all = [0, 1, 2].map(daemon);
    for (number, me) in all.iter().enumerate() {
        assert_eq!(break_off(me, number, Break::Lost), 1);
        assert!(!is_refused(me));
    }
    exchange(&all[0], &all[1]);
    assert!(!is_refused(&all[1]));
    exchange(&all[2], &all[1]);
    assert!(is_refused(&all[1]));
    exchange(&all[1], &all[0]);
    assert!(is_refused(&all[0]), "learned by way of another daemon");
}

/// Guards against one crash that counts once for each daemon that reports it.
#[tokio::test(start_paused = true)]
async fn crash_that_three_daemons_see_counts_once() {
    let all = [0, 1, 2].map(daemon);
    for me in &all {
        break_off(me, 0, Break::Lost);
    }
    for from in &all {
        for to in &all {
            exchange(from, to);
        }
    }
    assert_eq!(all[0].shared.crashes().count(REQUEST), 1);
}

/// Guards against requests that all daemons refuse because attempts were cut off at one that lost its
/// links, and against crashes that are forgotten because the links of their daemon were in doubt.
#[rstest]
#[case::upstreams_remain(&[0, 1, 2], false)]
#[case::upstreams_are_replaced(&[3, 4, 5], true)]
#[tokio::test(start_paused = true)]
async fn breaks_without_links_count_once_their_upstreams_are_gone(
    #[case] registered: &[usize],
    #[case] expected: bool,
) {
    let [me, other] = [0, 1].map(daemon);
    let service: Arc<str> = Arc::from(SERVICE);
    for number in 0..UPSTREAMS {
        let key = incarnation(&me, number).key;
        me.shared
            .record_link_failure(&service, key, Evidence::Broken);
        assert_eq!(break_off(&me, number, Break::Lost), 0);
    }
    me.shared.record_probe(&service, Probe { opened: 0, of: 3 });
    assert!(me.shared.reach().is_lost(SERVICE));
    exchange(&me, &other);
    assert!(!is_refused(&me) && !is_refused(&other));
    advance(Duration::from_millis(3_600)).await;
    register(&me, 2, registered);
    exchange(&me, &other);
    assert_eq!((is_refused(&me), is_refused(&other)), (expected, expected));
}

/// Guards against an upstream that is merely slow and counts as crashed.
#[tokio::test(start_paused = true)]
async fn abandoned_attempt_counts_once_its_upstream_is_gone() {
    let me = daemon(0);
    assert_eq!(break_off(&me, 0, Break::Silent), 0);
    register(&me, 2, &[1, 2]);
    assert_eq!(me.shared.crashes().count(REQUEST), 1);
}

/// Guards against a connection that breaks off at a sound upstream and counts as a crash.
#[rstest]
#[case::soon(300, Finding::Alive, 0)]
#[case::after_the_time_of_a_restart(2_500, Finding::Broken, 1)]
#[tokio::test(start_paused = true)]
async fn answer_of_the_upstream_decides_a_break(
    #[case] after_ms: u64,
    #[case] expected: Finding,
    #[case] count: usize,
) {
    let [me, other] = [0, 1].map(daemon);
    break_off(&me, 0, Break::Lost);
    exchange(&me, &other);
    advance(Duration::from_millis(after_ms)).await;
    let sent = Instant::now();
    advance(Duration::from_millis(5)).await;
    other.shared.record_answer("e-0", sent);
    exchange(&other, &me);
    let ledger = me.shared.crashes();
    let finding = ledger.finding(REQUEST, UpstreamId::of("e-0"));
    assert_eq!((finding, ledger.count(REQUEST)), (Some(expected), count));
}

/// Guards against an answer that was on its way when the upstream crashed.
#[tokio::test(start_paused = true)]
async fn answer_to_an_earlier_request_does_not_decide_a_break() {
    let me = daemon(0);
    let sent = Instant::now();
    advance(Duration::from_millis(50)).await;
    break_off(&me, 0, Break::Lost);
    me.shared.record_answer("e-0", sent);
    assert_eq!(me.shared.crashes().count(REQUEST), 1);
}

/// Guards against a request that is refused for long because its connections broke off, and against a
/// decision by registrations that nobody has updated.
#[rstest]
#[case::recent(true, false)]
#[case::store_is_away(false, true)]
#[tokio::test(start_paused = true)]
async fn upstreams_that_stay_registered_are_alive(
    #[case] are_registrations_recent: bool,
    #[case] expected: bool,
) {
    let me = daemon(0);
    for number in 0..UPSTREAMS {
        break_off(&me, number, Break::Lost);
    }
    assert!(is_refused(&me));
    advance(Duration::from_secs(11)).await;
    me.shared.review_crashes(are_registrations_recent);
    assert_eq!(is_refused(&me), expected);
}

/// Guards against a clearance that an older digest undoes.
#[tokio::test(start_paused = true)]
async fn completed_request_is_cleared_at_all_daemons() {
    let all = [0, 1, 2].map(daemon);
    for (number, me) in all.iter().enumerate() {
        break_off(me, number, Break::Lost);
    }
    exchange(&all[0], &all[1]);
    exchange(&all[2], &all[1]);
    let older = all[1].digest(&Audience::default());
    assert!(is_refused(&all[1]));
    all[1].shared.clear_crashes("r-1", REQUEST);
    exchange(&all[1], &all[0]);
    all[0].learn_digest(&older);
    all[1].learn_digest(&older);
    for me in &all[..2] {
        assert!(!is_refused(me));
        assert_eq!(me.shared.crashes().count(REQUEST), 0);
    }
}

/// Guards against a daemon that starts after the crashes and lets the request through: digests carry
/// the crashes of refused requests for as long as they are refused.
#[tokio::test(start_paused = true)]
async fn daemon_that_starts_later_learns_which_requests_are_refused() {
    let me = daemon(0);
    for number in 0..UPSTREAMS {
        break_off(&me, number, Break::Lost);
    }
    advance(Duration::from_secs(60)).await;
    let started = daemon(1);
    exchange(&me, &started);
    assert!(is_refused(&started));
}

/// Guards against facts of a request that never meet in a large fleet, and against a break that is sent to
/// all of it.
#[tokio::test(start_paused = true)]
async fn daemons_of_a_large_fleet_agree_on_the_collectors_of_a_request() {
    let all: Vec<Peers> = (0..40).map(daemon).collect();
    for me in &all {
        for number in 0..all.len() {
            me.learn_digest(&digest(number));
        }
    }
    for fingerprint in (0..20).map(Fingerprint) {
        let mut collectors: Vec<SocketAddr> = all[0].collectors(fingerprint.0);
        collectors.extend(all[1].collectors(fingerprint.0));
        collectors.sort_unstable();
        collectors.dedup();
        assert!((1..=2).contains(&collectors.len()), "{collectors:?}");
        for me in &all {
            let of_me = me.collectors(fingerprint.0);
            assert!(of_me.iter().all(|a| collectors.contains(a)));
        }
    }
    break_off(&all[0], 0, Break::Lost);
    assert!(all[0].digest(&Audience::default()).facts.is_empty());
    break_off(&all[0], 1, Break::Lost);
    assert_eq!(all[0].digest(&Audience::default()).facts.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn digest_has_no_facts_while_there_is_no_crash() {
    let text = serde_json::to_string(&daemon(0).digest(&Audience::default()));
    assert!(!text.expect("JSON").contains("facts"));
}

/// Guards against older builds and newer ones that ignore each other's crashes, or take the echo of their
/// own for further ones.
#[tokio::test(start_paused = true)]
async fn counts_of_an_older_build_are_learned_and_not_added_to_known_crashes() {
    let me = daemon(0);
    let mut older = digest(3);
    older.crashes = vec![CrashesOf {
        fingerprint: REQUEST.0,
        crashes: 3,
    }];
    me.learn_digest(&older);
    me.learn_digest(&older);
    assert!(is_refused(&me));
    assert_eq!(me.shared.crashes().count(REQUEST), 3);
    assert_eq!(me.digest(&Audience::default()).crashes, older.crashes);
}

/// Guards against a digest that floods the ledger.
#[tokio::test(start_paused = true)]
async fn digest_with_many_facts_is_learned_in_part() {
    let me = daemon(0);
    let mut flood = digest(3);
    break_off(&me, 0, Break::Lost);
    let fact = me.digest(&Audience::default()).facts[0];
    flood.facts = (0..100_000)
        .map(|n| {
            let mut fact = fact;
            fact.fingerprint = Fingerprint(n);
            fact
        })
        .collect();
    me.learn_digest(&flood);
    assert!(me.shared.crashes().len() <= 1 + super::crashes::MAX_FACTS);
}
