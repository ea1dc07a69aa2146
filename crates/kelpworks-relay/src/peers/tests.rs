//! Tests of gossip and role selection without a network: digests are passed directly between
//! daemons.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use http::HeaderMap;
use kelpworks::clients::era::Eras;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use super::Digest;
use super::MAX_SMALL_FLEET_PEERS;
use super::Peers;
use super::StoreKind;
use super::exchange::SLOWNESS_REPORT_TTL;
use super::lateness::Clock;
use super::load::LOAD_TTL;
use super::lock;
use super::members::Audience;
use super::members::Condition;
use super::members::FORGET_AFTER;
use super::members::Fingerprint;
use super::messages::Contact;
use super::messages::LeaderOf;
use super::messages::LoadOf;
use super::messages::StoreAges;
use super::packed::Packed;
use super::partners::LOCAL_NEIGHBORS;
use super::partners::REMOTE_NEIGHBORS;
use super::roles::DISCOVERY_QUIET_PERIOD;
use super::roles::ISOLATION_TIMEOUT;
use super::roles::LEADER_TIMEOUT;
use super::roles::LEARNING_PERIOD;
use super::roles::WARM_UP;
use super::roles::scaled_to_daemons;
use super::store_contact::WATCH_GROUP;
use super::store_contact::WATCH_OVERDUE_AFTER;
use super::store_contact::WATCHERS;
use crate::adapter;
use crate::adapter::Adapter;
use crate::adapter::AnswerHead;
use crate::adapter::CallerHead;
use crate::adapter::DecodeError;
use crate::adapter::ForwardedHead;
use crate::adapter::LayerRange;
use crate::adapter::Lifecycle;
use crate::adapter::UpstreamEntry;
use crate::assignments::LayerAssignment;
use crate::assignments::REPORT_TTL;
use crate::config::Accelerator;
use crate::config::Configuration;
use crate::config::EngineProfile;
use crate::path::PathQuery;
use crate::path::RoomPolicy;
use crate::retry_budget::RetryLimit;
use crate::shared::Shared;
use crate::store_cache::StoreCache;

pub(super) const RETRY_LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    allowance: 200.0,
};

/// Store ages right after the store answered.
const STORE_ANSWERED: StoreAges = StoreAges {
    configuration_ms: Some(0),
    upstreams_ms: Some(0),
};

/// Returns whether a daemon watches the store; both kinds must agree.
fn is_watcher(me: &Peers) -> bool {
    let role = me.watch_role(StoreKind::Upstreams);
    assert_eq!(role, me.watch_role(StoreKind::Configuration));
    role.is_some()
}

fn domain_of(number: usize) -> &'static str {
    ["a", "b", "c"][number % 3]
}

pub(super) fn peers(number: usize) -> Peers {
    let shared = Arc::new(Shared::new(domain_of(number), RETRY_LIMIT, 1));
    let store_cache = Arc::new(StoreCache::new(Arc::clone(&shared)));
    let address = address(number);
    let name = format!("entry-{number}");
    Peers::new(&name, address, shared, store_cache, Eras::default())
        .with_clock(Clock::new(virtual_ms))
}

/// Reads the paused clock of a test, which counts from the first reading in the process.
pub(super) fn virtual_ms() -> u64 {
    static FIRST: OnceLock<std::time::Instant> = OnceLock::new();
    let now = Instant::now().into_std();
    // Clocks of tests that run at the same time are paused at different times.
    let first = *FIRST.get_or_init(|| now - Duration::from_secs(3_600));
    now.duration_since(first).as_millis() as u64
}

pub(super) fn address(number: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16))
}

pub(crate) fn engine() -> UpstreamEntry {
    UpstreamEntry {
        id: Arc::from("e"),
        start: None,
        instance: Arc::from("e-1"),
        service: Arc::from("llm"),
        address: address(900),
        domain: Arc::from("a"),
        lifecycle: Lifecycle::Ready,
        slots: 1,
        layers: None,
        kind: None,
    }
}

fn contact(number: usize) -> Contact {
    Contact {
        name: Arc::from(format!("entry-{number}")),
        domain: Arc::from(domain_of(number)),
        address: address(number),
        age_ms: 0,
        lost_age_ms: None,
        condition: Condition::Fit,
        watching: false,
        handover: None,
        unreachable: Vec::new(),
    }
}

/// Digest of a daemon that knows no other.
pub(super) fn digest(number: usize) -> Digest {
    Digest {
        from: contact(number),
        clock: None,
        version: 0,
        entries: Version::initial(0),
        latest_era: Era::FIRST,
        knows: 0,
        seed_majority_ms: None,
        store: StoreAges::default(),
        leader: None,
        members: Vec::new(),
        load: Vec::new(),
        ejections: Vec::new(),
        crashes: Vec::new(),
        facts: Vec::new(),
        part_facts: Vec::new(),
        slowness: Vec::new(),
        assignments: Vec::new(),
        owners: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
        membership: Fingerprint::default(),
        contention: Vec::new(),
        upstreams_ran: Vec::new(),
    }
}

/// `size` daemons after the learning period, each with a digest of every other. `change` is applied
/// to each digest before it is delivered.
async fn fleet(size: usize, change: impl Fn(usize, &mut Digest)) -> Vec<Peers> {
    let all: Vec<Peers> = (0..size).map(peers).collect();
    advance(LEARNING_PERIOD).await;
    for (number, me) in all.iter().enumerate() {
        for other in (0..size).filter(|&o| o != number) {
            let mut report = digest(other);
            change(other, &mut report);
            me.learn_digest(&report);
        }
    }
    all
}

fn matching(all: &[Peers], is: impl Fn(&Peers) -> bool) -> Vec<usize> {
    let chosen = all.iter().enumerate().filter(|(_, me)| is(me));
    chosen.map(|(number, _)| number).collect()
}

#[rstest]
#[case::small(7)]
#[case::larger(66)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn only_the_watcher_count_of_daemons_watch_a_healthy_store(#[case] size: usize) {
    let all = fleet(size, |_, report| report.store = STORE_ANSWERED).await;
    assert_eq!(matching(&all, is_watcher).len(), WATCHERS);
}

#[rstest]
#[case::small(7)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn other_daemons_replace_watchers_that_the_store_turns_away(#[case] size: usize) {
    let first = fleet(size, |_, report| report.store = STORE_ANSWERED).await;
    let first = matching(&first, is_watcher);
    let turned_away = |number: usize, report: &mut Digest| {
        report.store = STORE_ANSWERED;
        if first.contains(&number) {
            report.from.condition = Condition::TurnedAway;
        }
    };
    let all = fleet(size, turned_away).await;
    let others = matching(&all, is_watcher);
    let others = others.iter().filter(|n| !first.contains(n));
    assert_eq!(others.count(), WATCHERS);
}

/// Each attempt during an outage costs a call, so their number must not depend on the fleet size.
#[rstest]
#[case::larger(66)]
#[case::large(295)]
#[case::whole_fleet(986)]
#[tokio::test(start_paused = true)]
async fn watcher_count_grows_gradually_while_the_store_is_unreachable(#[case] size: usize) {
    let all = fleet(size, |_, report| report.store = STORE_ANSWERED).await;
    // No store answer is reported, but without any exchange the daemons would act as isolated.
    let watchers_after = async |span: Duration| {
        advance(span).await;
        for (number, me) in all.iter().enumerate() {
            me.learn_digest(&digest((number + 1) % size));
        }
        matching(&all, is_watcher).len()
    };
    let step = Duration::from_millis(1);
    assert_eq!(watchers_after(WATCH_OVERDUE_AFTER - step).await, WATCHERS);
    assert_eq!(watchers_after(step).await, WATCH_GROUP);
    let mut until_next = scaled_to_daemons(WATCH_OVERDUE_AFTER, size) - WATCH_OVERDUE_AFTER;
    for expected in [8, 16, 32, 64, 64] {
        let drawn = watchers_after(until_next).await - WATCH_GROUP;
        let is_near = drawn > 0 && drawn <= 2 * expected;
        assert!(is_near, "{drawn} in place of {expected}");
        until_next = Duration::from_millis(250);
    }
}

/// If partners were drawn from the whole fleet, each daemon would come to hold a connection to every
/// other.
#[tokio::test(start_paused = true)]
async fn daemon_of_a_large_fleet_keeps_to_a_bounded_set_of_partners() {
    const SIZE: usize = 986;
    let me = peers(0);
    for other in 1..SIZE {
        me.learn_digest(&digest(other));
    }
    let partners = (0..500).flat_map(|_| me.partners());
    let partners: HashSet<SocketAddr> = partners.collect();
    let bound = LOCAL_NEIGHBORS + REMOTE_NEIGHBORS;
    assert!(partners.len() <= bound, "{} partners", partners.len());
    let lost = *partners.iter().next().expect("a partner");
    me.record_unanswered(lost, Instant::now());
    let after = (0..500).flat_map(|_| me.partners());
    let after: HashSet<SocketAddr> = after.collect();
    let new = after.difference(&partners).count();
    assert!(new <= 2, "{new} partners in place of one that was lost");
}

/// No daemon is called by many more than others, as a seed would be.
#[tokio::test(start_paused = true)]
async fn daemons_of_a_large_fleet_are_called_about_equally_often() {
    const SIZE: usize = 120;
    let all = fleet(SIZE, |_, _| {}).await;
    let mut calls = [0; SIZE];
    for me in &all {
        for partner in (0..100).flat_map(|_| me.partners()) {
            calls[usize::from(partner.port() - address(0).port())] += 1;
        }
    }
    let mean = calls.iter().sum::<usize>() / SIZE;
    let most = calls.into_iter().max().unwrap_or(0);
    assert!(most <= 2 * mean, "{most} calls, {mean} in the mean");
}

/// If daemons watched right after their start, a start of the whole fleet would cost each daemon
/// one call for each of 225 registrations.
#[tokio::test(start_paused = true)]
async fn starting_daemon_watches_only_when_it_has_no_peers() {
    let me = peers(0);
    assert!(!is_watcher(&me));
    for other in 1..=MAX_SMALL_FLEET_PEERS + 1 {
        me.learn_digest(&digest(other));
    }
    advance(WARM_UP - Duration::from_millis(1)).await;
    assert!(!is_watcher(&me), "others may be starting too");
    let alone = peers(0);
    advance(ISOLATION_TIMEOUT).await;
    assert!(is_watcher(&alone), "no peer could deliver the data");
}

/// After the loss of all daemons the first list may miss registrations that are just coming back.
/// Without a watcher 224 requests were refused in one second.
#[tokio::test(start_paused = true)]
async fn starting_small_fleet_watches_as_soon_as_discovery_is_complete() {
    let all: Vec<Peers> = (0..7).map(peers).collect();
    for (number, me) in all.iter().enumerate() {
        for other in (0..7).filter(|&o| o != number) {
            me.learn_digest(&digest(other));
        }
    }
    assert!(matching(&all, is_watcher).is_empty());
    advance(DISCOVERY_QUIET_PERIOD).await;
    let watchers = matching(&all, is_watcher);
    assert_eq!(watchers.len(), WATCHERS);
    assert!(
        !all[0].is_store_watched(),
        "no peer has reported a store answer"
    );
    let mut report = digest(watchers[0]);
    report.store = STORE_ANSWERED;
    all[0].learn_digest(&report);
    assert!(all[0].is_store_watched());
}

#[tokio::test(start_paused = true)]
async fn daemon_pauses_its_watch_after_a_failed_store_call() {
    let all = fleet(7, |_, report| report.store = STORE_ANSWERED).await;
    let first = &all[matching(&all, is_watcher)[0]];
    first.record_store_call(StoreKind::Upstreams, false);
    assert!(!is_watcher(first));
    assert_eq!(
        first.digest(&Audience::default()).from.condition,
        Condition::TurnedAway
    );
    advance(Duration::from_secs(1)).await;
    assert!(is_watcher(first), "it tries again");
    assert_eq!(
        first.digest(&Audience::default()).from.condition,
        Condition::TurnedAway
    );
    first.record_store_call(StoreKind::Upstreams, true);
    assert_eq!(
        first.digest(&Audience::default()).from.condition,
        Condition::Fit
    );
}

#[tokio::test(start_paused = true)]
async fn reported_load_is_scaled_to_its_domain_and_expires() {
    let me = peers(0);
    me.shared
        .fleet()
        .replace(vec![engine()], Version::initial(1), Instant::now());
    let mut report = digest(1);
    report.load.push(LoadOf {
        instance: Arc::from("e-1"),
        running: 2.0,
        reserved: 10.0,
    });
    // Three more daemons of the reporting daemon's domain, known through its digest only, and two
    // of another domain.
    report.members = [4, 7, 10, 2, 5].iter().map(|&n| contact(n)).collect();
    me.learn_digest(&report);
    me.update_remote_load();
    let running = || {
        let fleet = me.shared.fleet();
        let key = fleet.key_of("e-1").expect("known");
        fleet.get(key).expect("known").remote_load.running
    };
    assert_eq!(running(), 8.0);
    advance(LOAD_TTL).await;
    me.update_remote_load();
    assert_eq!(running(), 0.0);
}

#[tokio::test(start_paused = true)]
async fn silent_daemon_counts_towards_the_retry_limit_until_forgotten() {
    let me = peers(0);
    me.learn_digest(&digest(1));
    advance(Duration::from_secs(20)).await;
    lock(&me.members).forget(Instant::now());
    assert_eq!(me.daemon_count(), 2);
    advance(FORGET_AFTER).await;
    lock(&me.members).forget(Instant::now());
    assert_eq!(me.daemon_count(), 1);
}

#[tokio::test(start_paused = true)]
async fn peer_is_lost_after_an_unanswered_call_and_live_after_a_later_contact() {
    let me = peers(0);
    me.learn_digest(&digest(1));
    let is_live = || lock(&me.members).live().count() == 1;
    advance(Duration::from_secs(20)).await;
    assert!(is_live(), "missing contact alone is no evidence of a loss");
    me.record_unanswered(address(1), Instant::now());
    assert!(is_live(), "no other peer has answered since");
    let called = Instant::now();
    advance(Duration::from_millis(100)).await;
    lock(&me.roles).record_exchange(Instant::now());
    me.record_unanswered(address(1), called);
    assert!(!is_live());
    let before = Contact {
        age_ms: 200,
        ..contact(1)
    };
    lock(&me.members).learn_contact(&before, Instant::now());
    assert!(!is_live(), "the contact precedes the call");
    lock(&me.members).learn_contact(&contact(1), Instant::now());
    assert!(is_live());
}

#[tokio::test(start_paused = true)]
async fn isolated_daemon_marks_no_peer_as_lost() {
    let me = peers(0);
    for other in 1..7 {
        me.learn_digest(&digest(other));
    }
    for other in 1..7 {
        advance(Duration::from_millis(100)).await;
        me.record_unanswered(address(other), Instant::now());
    }
    assert_eq!(lock(&me.members).live().count(), 6);
    advance(ISOLATION_TIMEOUT).await;
    assert!(is_watcher(&me), "it watches the store itself");
}

#[rstest]
#[case::small(7)]
#[case::larger(66)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn exactly_one_daemon_leads_when_no_lease_holder_is_known(#[case] size: usize) {
    let all = fleet(size, |_, _| {}).await;
    let first = matching(&all, Peers::is_acting_leader);
    assert_eq!(first.len(), 1);
    assert_eq!(matching(&all, Peers::may_take_lease), first);
    let set_leaving = |number, report: &mut Digest| {
        if number == first[0] {
            report.from.condition = Condition::Leaving;
        }
    };
    let all = fleet(size, set_leaving).await;
    let others = matching(&all, Peers::is_acting_leader);
    let second = others.iter().filter(|n| **n != first[0]);
    assert_eq!(second.count(), 1, "a leaving daemon takes no role");
}

#[rstest]
#[case::small(7)]
#[case::larger(66)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn no_acting_leader_while_gossip_about_the_lease_holder_is_recent(#[case] size: usize) {
    let age = |age: Duration| {
        move |_: usize, report: &mut Digest| {
            report.leader = Some(LeaderOf {
                precedence: 1,
                age_ms: age.as_millis() as u64,
            });
        }
    };
    let silent = scaled_to_daemons(LEADER_TIMEOUT, size);
    let all = fleet(size, age(silent - Duration::from_millis(2))).await;
    assert!(matching(&all, Peers::is_acting_leader).is_empty());
    let all = fleet(size, age(silent + Duration::from_millis(1))).await;
    assert_eq!(matching(&all, Peers::is_acting_leader).len(), 1);
}

/// Acting leaders that do not yield to each other: 118 of 295 daemons sent orders to every engine
/// at the same time.
#[tokio::test(start_paused = true)]
async fn at_most_one_of_two_acting_leaders_continues_after_an_exchange() {
    let all = fleet(7, |_, _| {}).await;
    let first = matching(&all, Peers::is_acting_leader)[0];
    let second = peers(7);
    advance(LEARNING_PERIOD).await;
    second.learn_digest(&digest(8));
    let mut alone = [7, 8].map(|n| (super::rank_of(&format!("entry-{n}")), n));
    alone.sort_unstable();
    all[first].record_leading(super::LeadershipBasis::Acting);
    second.record_leading(super::LeadershipBasis::Acting);
    let ours = second.digest(&Audience::default());
    second.learn_digest(&all[first].digest(&Audience::default()));
    all[first].learn_digest(&ours);
    let are_leading = [all[first].is_acting_leader(), second.is_acting_leader()];
    assert!(are_leading != [true, true], "{are_leading:?}");
}

#[tokio::test(start_paused = true)]
async fn acting_leader_backs_off_after_conflicting_orders() {
    let all = fleet(7, |_, _| {}).await;
    let first = &all[matching(&all, Peers::is_acting_leader)[0]];
    first.back_off();
    assert!(!first.is_acting_leader());
    advance(Duration::from_secs(4)).await;
    lock(&first.roles).record_exchange(Instant::now());
    assert!(first.is_acting_leader());
}

#[tokio::test(start_paused = true)]
async fn slowness_reports_are_forwarded_until_they_expire() {
    let all: Vec<Peers> = (0..3).map(peers).collect();
    for me in &all {
        me.shared
            .fleet()
            .replace(vec![engine()], Version::initial(1), Instant::now());
    }
    let slowness = |me: &Peers| {
        let fleet = me.shared.fleet();
        let key = fleet.key_of("e-1").expect("known");
        fleet.get(key).expect("known").slowness(Instant::now())
    };
    let key = all[0].shared.fleet().key_of("e-1").expect("known");
    let now = Instant::now();
    all[0].shared.fleet().learn_slowness(key, 12.0, now);
    all[1].learn_digest(&all[0].digest(&Audience::default()));
    all[2].learn_digest(&all[1].digest(&Audience::default()));
    assert_eq!(slowness(&all[2]), 12.0);
    advance(SLOWNESS_REPORT_TTL).await;
    assert_eq!(slowness(&all[2]), 1.0);
    assert!(all[1].digest(&Audience::default()).slowness.is_empty());
}

/// Daemons that learn of an engine that accepts no connection send it no requests during its
/// ejection.
#[tokio::test(start_paused = true)]
async fn ejection_is_forwarded_and_ends_at_every_daemon() {
    let all: Vec<Peers> = (0..3).map(peers).collect();
    for me in &all {
        me.shared
            .fleet()
            .replace(vec![engine()], Version::initial(1), Instant::now());
    }
    let takes_no_work = |me: &Peers| {
        let fleet = me.shared.fleet();
        let key = fleet.key_of("e-1").expect("known");
        let upstream = fleet.get(key).expect("known");
        upstream.takes_no_work(Instant::now())
    };
    let now = Instant::now();
    let key = all[0].shared.fleet().key_of("e-1").expect("known");
    all[0].shared.fleet().eject_unreachable(key, now);
    let left = Duration::from_millis(all[0].digest(&Audience::default()).ejections[0].left_ms);
    all[1].learn_digest(&all[0].digest(&Audience::default()));
    all[2].learn_digest(&all[1].digest(&Audience::default()));
    assert!(takes_no_work(&all[2]));
    advance(left).await;
    assert!(!takes_no_work(&all[2]));
    assert!(all[2].digest(&Audience::default()).ejections.is_empty());
}

/// In a fleet of hundreds of daemons each has one or two streams, so a stalled stream implicates
/// all engines of its path. If such suspicions were gossiped, all daemons would eject three healthy
/// engines for each failed one.
#[tokio::test(start_paused = true)]
async fn shared_suspicion_of_several_engines_is_not_gossiped() {
    let me = peers(0);
    let engines = [1, 2].map(|n| UpstreamEntry {
        id: Arc::from(format!("e{n}")),
        instance: Arc::from(format!("e-{n}")),
        address: address(900 + n),
        ..engine()
    });
    let now = Instant::now();
    let keys = {
        let mut fleet = me.shared.fleet();
        fleet.replace(engines.to_vec(), Version::initial(1), now);
        ["e-1", "e-2"].map(|e| fleet.key_of(e).expect("known"))
    };
    me.shared.fleet().eject_one_of(&keys, now);
    for key in keys {
        let fleet = me.shared.fleet();
        assert!(fleet.get(key).is_some_and(|u| u.is_ejected(now)));
    }
    assert!(me.digest(&Audience::default()).ejections.is_empty());
    me.shared.fleet().eject_one_of(&keys[..1], now);
    let report = me.digest(&Audience::default()).ejections;
    let report: Vec<&str> = report.iter().map(|d| &*d.instance).collect();
    assert_eq!(
        report,
        ["e-1"],
        "a suspicion of a single engine is gossiped"
    );
}

#[rstest]
#[case::empty("")]
#[case::document("{\"routes\": [], \"version\": 3}")]
#[case::long(&"a route of many; ".repeat(20_000))]
fn packed_texts_round_trip(#[case] text: &str) {
    let packed = Packed::new(text);
    assert_eq!(packed.text().expect("a text"), text);
    let json = serde_json::to_string(&packed).expect("JSON");
    assert!(json.len() <= text.len() / 5 + 64, "{}", json.len());
    let cut: Packed = serde_json::from_str("\"AAAA\"").expect("a string");
    assert!(cut.text().is_err());
}

/// An engine with all layers of a two-layer model, and the profile of its kind.
fn whole_engine() -> (UpstreamEntry, EngineProfile) {
    let entry = UpstreamEntry {
        layers: Some(LayerRange { from: 0, to: 2 }),
        kind: Some(Arc::from("k")),
        ..engine()
    };
    let engines = EngineProfile {
        layers: 2,
        layer_mb: 1.0,
        kv_token_bytes: 2.0,
        step_ms: 1.0,
        sequence_ms: 0.0,
        context_ms: 0.0,
        read_per_s: 1e5,
        load_s: 1.0,
        typical_prompt_tokens: 10.0,
        typical_answer_tokens: 10.0,
        kinds: vec![Accelerator {
            name: Arc::from("k"),
            memory_mb: 100.0,
            step_factor: 1.0,
            read_factor: 1.0,
        }],
    };
    (entry, engines)
}

/// Path query for a small request to that engine.
fn whole_model_query(entry: &UpstreamEntry) -> PathQuery<'_> {
    PathQuery {
        service: &entry.service,
        tokens: 20.0,
        domain: "a",
        layers: LayerRange { from: 0, to: 2 },
        avoid: &[],
        first: &[],
        room: RoomPolicy::UNLIMITED,
        now: Instant::now(),
    }
}

/// A daemon draws paths from the plan only if it does not have load reports of all other daemons.
#[rstest]
#[case::load_of_all_known(MAX_SMALL_FLEET_PEERS, false)]
#[case::load_of_a_sample_known(MAX_SMALL_FLEET_PEERS + 1, true)]
#[tokio::test(start_paused = true)]
async fn paths_are_drawn_from_the_plan_when_load_is_sampled(
    #[case] others: usize,
    #[case] drawn: bool,
) {
    let me = peers(0);
    let (entry, engines) = whole_engine();
    me.shared
        .fleet()
        .replace(vec![entry.clone()], Version::initial(1), Instant::now());
    for other in 1..=others {
        me.learn_digest(&digest(other));
    }
    me.update_remote_load();
    let fleet = me.shared.fleet();
    let path = me
        .shared
        .draw_planned_path(&fleet, &engines, &whole_model_query(&entry));
    assert_eq!(path.is_some(), drawn);
}

/// After a loss of all daemons their callers return at once, before any daemon has discovered a
/// peer.
#[tokio::test(start_paused = true)]
async fn paths_are_drawn_from_the_plan_until_first_contact_or_isolation() {
    let (entry, engines) = whole_engine();
    let is_drawn = |me: &Peers| {
        let mut fleet = me.shared.fleet();
        fleet.replace(vec![entry.clone()], Version::initial(1), Instant::now());
        me.shared
            .draw_planned_path(&fleet, &engines, &whole_model_query(&entry))
            .is_some()
    };
    let me = peers(0);
    assert!(is_drawn(&me), "before its first exchange");
    me.update_remote_load();
    assert!(is_drawn(&me), "no peer is known");
    me.learn_digest(&digest(1));
    me.update_remote_load();
    assert!(!is_drawn(&me));
    let alone = peers(0);
    advance(ISOLATION_TIMEOUT).await;
    alone.update_remote_load();
    assert!(!is_drawn(&alone), "its own load is the total load");
}

/// An adapter that reads a configuration as its version number and fails to read any upstream
/// entry.
pub(crate) struct Numbered;

impl Adapter for Numbered {
    const CONFIGURATION_KIND: &'static str = "configuration";
    const CONFIGURATION_NAME: &'static str = "main";
    const UPSTREAMS_KIND: &'static str = "upstreams";

    fn decode_request_head(_headers: &HeaderMap) -> adapter::Result<CallerHead> {
        Ok(CallerHead::default())
    }

    fn set_upstream_headers(_headers: &mut HeaderMap, _forwarded: &ForwardedHead<'_>) {}

    fn set_time_left(headers: &mut HeaderMap, time_left: Duration) {
        let ms = time_left.as_millis() as u64;
        headers.insert("time-left-ms", http::HeaderValue::from(ms));
    }

    fn decode_answer_head(_headers: &HeaderMap) -> AnswerHead {
        AnswerHead::default()
    }

    fn decode_configuration(body: &str) -> adapter::Result<Configuration> {
        let Ok(version) = body.parse() else {
            return unreadable();
        };
        Ok(Configuration {
            version,
            ..Configuration::default()
        })
    }

    fn decode_upstream(_name: &str, _body: &str) -> adapter::Result<UpstreamEntry> {
        unreadable()
    }
}

fn unreadable<T>() -> adapter::Result<T> {
    Err(DecodeError {
        subject: "document",
        reason: "none is expected".to_owned(),
    })
}

/// Guards against a connection limit below the fleet size. With a limit of a hundred connections at
/// each of three seeds, 87 of 295 daemons discovered no peer, and each of them watched the store
/// and sent orders to every engine.
#[tokio::test]
async fn seed_accepts_a_connection_from_every_daemon() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let free = listener.local_addr().expect("its address");
    drop(listener);
    let shared = Arc::new(Shared::new("a", RETRY_LIMIT, 1));
    let store_cache = Arc::new(StoreCache::new(Arc::clone(&shared)));
    let seed = Arc::new(Peers::new(
        "seed",
        free,
        shared,
        store_cache,
        Eras::default(),
    ));
    let server = seed.listen::<Numbered>().await.expect("it listens");
    let others: Vec<Peers> = (0..370).map(peers).collect();
    for other in &others {
        other.exchange_with::<Numbered>(free).await;
    }
    assert_eq!(lock(&seed.members).live().count(), others.len());
    let connected = others
        .iter()
        .filter(|o| lock(&o.members).live().next().is_some());
    assert_eq!(connected.count(), others.len());
    server.stop().expect("it runs");
}

/// Guards against a daemon that takes an engine which still waits for its requests for one that holds its former
/// layers: the wait reaches it with the order.
#[tokio::test(start_paused = true)]
async fn wait_of_an_engine_for_its_requests_reaches_other_daemons() {
    let (a, b) = (peers(0), peers(1));
    let range = |from, to| LayerRange { from, to };
    let entry = UpstreamEntry {
        layers: Some(range(0, 4)),
        ..engine()
    };
    let instance = Arc::clone(&entry.instance);
    let now = Instant::now();
    for daemon in [&a, &b] {
        let mut fleet = daemon.shared.fleet();
        fleet.replace(vec![entry.clone()], Version::initial(1), now);
    }
    let ordered = LayerAssignment {
        orders: 2,
        layers: range(4, 8),
        loaded: false,
    };
    let wait = Duration::from_secs(20);
    a.shared
        .fleet()
        .learn_displacing_assignment(&instance, ordered, wait, Duration::ZERO, now);
    b.learn_digest(&a.digest(&Audience::default()));
    advance(REPORT_TTL).await;
    b.learn_digest(&a.digest(&Audience::default()));
    let mut fleet = b.shared.fleet();
    assert!(fleet.expire_assignments(true, Instant::now()).is_empty());
    let usable = fleet.key_of(&instance).and_then(|k| fleet.get(k)?.layers);
    assert_eq!(usable, None);
}
