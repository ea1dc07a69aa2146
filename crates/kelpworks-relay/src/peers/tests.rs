//! Who watches the store, and what is taken for the load of others, without a network.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use kelpworks::clients::era::Eras;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use super::Digest;
use super::Peers;
use super::SMALL;
use super::StoreKind;
use super::exchange::SLOWNESS_TOLD;
use super::load::LIVE;
use super::lock;
use super::members::Condition;
use super::members::FORGET;
use super::messages::Contact;
use super::messages::LeaderOf;
use super::messages::LoadOf;
use super::messages::StoreAges;
use super::packed::Packed;
use super::roles::ALONE;
use super::roles::LEADER_TIMEOUT;
use super::roles::LEARNING;
use super::roles::SETTLED;
use super::roles::SETTLING;
use super::roles::for_daemons;
use super::store_contact::STORE_SILENT;
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
use crate::config::Accelerator;
use crate::config::Configuration;
use crate::config::EngineProfile;
use crate::path::PathQuery;
use crate::retry_budget::RetryLimit;
use crate::shared::Shared;
use crate::store_cache::StoreCache;

const BOUND: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    allowance: 200.0,
};

/// Word that the store has just answered.
const ANSWERS: StoreAges = StoreAges {
    configuration_ms: Some(0),
    upstreams_ms: Some(0),
};

/// Whether a daemon watches the store, both kinds of it alike.
fn is_watcher(me: &Peers) -> bool {
    let watch = me.watch_role(StoreKind::Upstreams);
    assert_eq!(watch, me.watch_role(StoreKind::Configuration));
    watch.is_some()
}

fn domain_of(number: usize) -> &'static str {
    ["a", "b", "c"][number % 3]
}

pub(super) fn peers(number: usize) -> Peers {
    let shared = Arc::new(Shared::new(domain_of(number), BOUND, 1));
    let store_cache = Arc::new(StoreCache::new(Arc::clone(&shared)));
    let address = address(number);
    let name = format!("entry-{number}");
    Peers::new(&name, address, shared, store_cache, Eras::default())
}

pub(super) fn address(number: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16))
}

/// The registration of an engine `e-1`.
pub(super) fn engine() -> UpstreamEntry {
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
    }
}

/// What a daemon tells that knows nothing but itself.
fn digest(number: usize) -> Digest {
    Digest {
        from: contact(number),
        version: 0,
        entries: Version::initial(0),
        latest_era: Era::FIRST,
        knows: 0,
        store: StoreAges::default(),
        leader: None,
        members: Vec::new(),
        load: Vec::new(),
        ejections: Vec::new(),
        crashes: Vec::new(),
        slowness: Vec::new(),
        assignments: Vec::new(),
        owners: Vec::new(),
        limits: Vec::new(),
    }
}

/// So many daemons, when all have settled and each hears all others; `change` is made to what each
/// tells.
async fn fleet(size: usize, change: impl Fn(usize, &mut Digest)) -> Vec<Peers> {
    let all: Vec<Peers> = (0..size).map(peers).collect();
    advance(LEARNING).await;
    for (number, me) in all.iter().enumerate() {
        for other in (0..size).filter(|&o| o != number) {
            let mut told = digest(other);
            change(other, &mut told);
            me.heard(&told);
        }
    }
    all
}

fn those(all: &[Peers], is: impl Fn(&Peers) -> bool) -> Vec<usize> {
    let chosen = all.iter().enumerate().filter(|(_, me)| is(me));
    chosen.map(|(number, _)| number).collect()
}

#[rstest]
#[case::small(7)]
#[case::larger(66)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn few_daemons_watch_for_all(#[case] size: usize) {
    let all = fleet(size, |_, told| told.store = ANSWERS).await;
    assert_eq!(those(&all, is_watcher).len(), WATCHERS);
}

#[rstest]
#[case::small(7)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn others_watch_for_those_that_the_store_turns_away(#[case] size: usize) {
    let first = fleet(size, |_, told| told.store = ANSWERS).await;
    let first = those(&first, is_watcher);
    let turned_away = |number: usize, told: &mut Digest| {
        told.store = ANSWERS;
        if first.contains(&number) {
            told.from.condition = Condition::TurnedAway;
        }
    };
    let all = fleet(size, turned_away).await;
    let others = those(&all, is_watcher);
    let others = others.iter().filter(|n| !first.contains(n));
    assert_eq!(others.count(), WATCHERS);
}

#[rstest]
#[case::larger(30)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn more_daemons_try_a_store_that_answers_nobody_a_few_at_a_time(#[case] size: usize) {
    let all = fleet(size, |_, told| told.store = ANSWERS).await;
    advance(for_daemons(STORE_SILENT, size) - Duration::from_millis(1)).await;
    for (number, me) in all.iter().enumerate() {
        me.heard(&digest((number + 1) % size));
    }
    assert_eq!(those(&all, is_watcher).len(), WATCHERS);
    advance(Duration::from_millis(1_001)).await;
    let more = those(&all, is_watcher).len();
    assert!(more > WATCHERS && more < 10, "{more}");
}

/// A start of the whole fleet once cost each daemon a call for each of 225 registrations.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_starts_watches_only_when_it_meets_nobody() {
    let me = peers(0);
    assert!(!is_watcher(&me));
    for other in 1..=SMALL + 1 {
        me.heard(&digest(other));
    }
    advance(SETTLING - Duration::from_millis(1)).await;
    assert!(!is_watcher(&me), "others may be starting too");
    let alone = peers(0);
    advance(ALONE).await;
    assert!(is_watcher(&alone), "nobody could tell it anything");
}

/// After the loss of all daemons the first list may miss registrations that are just coming back: 224
/// requests were once refused in a second while nobody watched.
#[tokio::test(start_paused = true)]
async fn a_small_fleet_that_starts_watches_as_soon_as_it_knows_itself() {
    let all: Vec<Peers> = (0..7).map(peers).collect();
    for (number, me) in all.iter().enumerate() {
        for other in (0..7).filter(|&o| o != number) {
            me.heard(&digest(other));
        }
    }
    assert!(those(&all, is_watcher).is_empty());
    advance(SETTLED).await;
    let watchers = those(&all, is_watcher);
    assert_eq!(watchers.len(), WATCHERS);
    assert!(!all[0].is_store_watched(), "nobody said so yet");
    let mut told = digest(watchers[0]);
    told.store = ANSWERS;
    all[0].heard(&told);
    assert!(all[0].is_store_watched());
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_the_store_fails_leaves_the_watch_for_a_while() {
    let all = fleet(7, |_, told| told.store = ANSWERS).await;
    let first = &all[those(&all, is_watcher)[0]];
    first.record_store_call(StoreKind::Upstreams, false);
    assert!(!is_watcher(first));
    assert_eq!(first.digest(0).from.condition, Condition::TurnedAway);
    advance(Duration::from_secs(1)).await;
    assert!(is_watcher(first), "it tries again");
    assert_eq!(first.digest(0).from.condition, Condition::TurnedAway);
    first.record_store_call(StoreKind::Upstreams, true);
    assert_eq!(first.digest(0).from.condition, Condition::Fit);
}

#[tokio::test(start_paused = true)]
async fn what_was_told_stands_for_its_domain_and_grows_old() {
    let me = peers(0);
    me.shared
        .fleet()
        .replace(vec![engine()], Version::initial(1), Instant::now());
    let mut told = digest(1);
    told.load.push(LoadOf {
        instance: Arc::from("e-1"),
        running: 2.0,
        reserved: 10.0,
    });
    // Three more of its domain are known by word of this one only, and two of another domain.
    told.members = [4, 7, 10, 2, 5].iter().map(|&n| contact(n)).collect();
    me.heard(&told);
    me.sum_load();
    let running = || {
        let fleet = me.shared.fleet();
        let key = fleet.key_of("e-1").expect("known");
        fleet.get(key).expect("known").remote_load.running
    };
    assert_eq!(running(), 8.0);
    advance(LIVE).await;
    me.sum_load();
    assert_eq!(running(), 0.0);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_falls_silent_still_shares_the_bound() {
    let me = peers(0);
    me.heard(&digest(1));
    advance(Duration::from_secs(20)).await;
    lock(&me.members).forget(Instant::now());
    assert_eq!(me.sharing(), 2);
    advance(FORGET).await;
    lock(&me.members).forget(Instant::now());
    assert_eq!(me.sharing(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_is_lost_by_a_call_without_an_answer_and_lives_by_a_later_word() {
    let me = peers(0);
    me.heard(&digest(1));
    let is_live = || lock(&me.members).live().count() == 1;
    advance(Duration::from_secs(20)).await;
    assert!(is_live(), "silence alone says nothing");
    me.unanswered(address(1), Instant::now());
    assert!(is_live(), "nobody else answered either");
    let called = Instant::now();
    advance(Duration::from_millis(100)).await;
    lock(&me.duties).met(Instant::now());
    me.unanswered(address(1), called);
    assert!(!is_live());
    let before = Contact {
        age_ms: 200,
        ..contact(1)
    };
    lock(&me.members).meet(&before, Instant::now());
    assert!(!is_live(), "it was heard before the call");
    lock(&me.members).meet(&contact(1), Instant::now());
    assert!(is_live());
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_was_cut_off_buries_nobody() {
    let me = peers(0);
    for other in 1..7 {
        me.heard(&digest(other));
    }
    for other in 1..7 {
        advance(Duration::from_millis(100)).await;
        me.unanswered(address(other), Instant::now());
    }
    assert_eq!(lock(&me.members).live().count(), 6);
    advance(ALONE).await;
    assert!(is_watcher(&me), "but it asks the store itself");
}

#[rstest]
#[case::small(7)]
#[case::larger(66)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn one_daemon_leads_in_place_of_a_holder_that_nobody_hears(#[case] size: usize) {
    let all = fleet(size, |_, _| {}).await;
    let first = those(&all, Peers::is_acting_leader);
    assert_eq!(first.len(), 1);
    assert_eq!(those(&all, Peers::may_take_lease), first);
    let leaves = |number, told: &mut Digest| {
        if number == first[0] {
            told.from.condition = Condition::Leaving;
        }
    };
    let all = fleet(size, leaves).await;
    let others = those(&all, Peers::is_acting_leader);
    let second = others.iter().filter(|n| **n != first[0]);
    assert_eq!(second.count(), 1, "one that leaves takes up no duties");
}

#[rstest]
#[case::small(7)]
#[case::larger(66)]
#[case::large(295)]
#[tokio::test(start_paused = true)]
async fn nobody_else_leads_while_the_holder_is_heard_of(#[case] size: usize) {
    let age = |age: Duration| {
        move |_: usize, told: &mut Digest| {
            told.leader = Some(LeaderOf {
                precedence: 1,
                age_ms: age.as_millis() as u64,
            });
        }
    };
    let silent = for_daemons(LEADER_TIMEOUT, size);
    let all = fleet(size, age(silent - Duration::from_millis(2))).await;
    assert!(those(&all, Peers::is_acting_leader).is_empty());
    let all = fleet(size, age(silent + Duration::from_millis(1))).await;
    assert_eq!(those(&all, Peers::is_acting_leader).len(), 1);
}

/// Once 118 of 295 daemons gave orders to every engine, each for itself.
#[tokio::test(start_paused = true)]
async fn of_two_that_stand_in_the_later_one_stops() {
    let all = fleet(7, |_, _| {}).await;
    let first = those(&all, Peers::is_acting_leader)[0];
    let second = peers(7);
    advance(LEARNING).await;
    second.heard(&digest(8));
    let mut alone = [7, 8].map(|n| (super::rank_of(&format!("entry-{n}")), n));
    alone.sort_unstable();
    all[first].note_leading(super::LeadershipBasis::Acting);
    second.note_leading(super::LeadershipBasis::Acting);
    let ours = second.digest(0);
    second.heard(&all[first].digest(0));
    all[first].heard(&ours);
    let go_on = [all[first].is_acting_leader(), second.is_acting_leader()];
    assert!(go_on != [true, true], "{go_on:?}");
}

#[tokio::test(start_paused = true)]
async fn a_stand_in_whose_orders_conflict_waits() {
    let all = fleet(7, |_, _| {}).await;
    let first = &all[those(&all, Peers::is_acting_leader)[0]];
    first.back_off();
    assert!(!first.is_acting_leader());
    advance(Duration::from_secs(4)).await;
    lock(&first.duties).met(Instant::now());
    assert!(first.is_acting_leader());
}

#[tokio::test(start_paused = true)]
async fn words_on_engines_go_from_peer_to_peer_until_they_are_old() {
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
    all[1].heard(&all[0].digest(0));
    all[2].heard(&all[1].digest(0));
    assert_eq!(slowness(&all[2]), 12.0);
    advance(SLOWNESS_TOLD).await;
    assert_eq!(slowness(&all[2]), 1.0);
    assert!(all[1].digest(0).slowness.is_empty());
}

/// An engine that takes no connection: whoever hears of it sends nothing there while it is ejected.
#[tokio::test(start_paused = true)]
async fn an_ejection_goes_from_peer_to_peer_and_ends_for_all() {
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
    let left = Duration::from_millis(all[0].digest(0).ejections[0].left_ms);
    all[1].heard(&all[0].digest(0));
    all[2].heard(&all[1].digest(0));
    assert!(takes_no_work(&all[2]));
    advance(left).await;
    assert!(!takes_no_work(&all[2]));
    assert!(all[2].digest(0).ejections.is_empty());
}

/// In a fleet of hundreds of daemons each has one or two streams, so that a silent one points at all
/// engines of its path. Told on, three well ones were passed over by everybody for each that had failed.
#[tokio::test(start_paused = true)]
async fn a_blame_that_several_engines_share_is_told_to_nobody() {
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
    assert!(me.digest(0).ejections.is_empty());
    me.shared.fleet().eject_one_of(&keys[..1], now);
    let told = me.digest(0).ejections;
    let told: Vec<&str> = told.iter().map(|d| &*d.instance).collect();
    assert_eq!(told, ["e-1"], "what points at one alone is told");
}

#[rstest]
#[case::empty("")]
#[case::document("{\"routes\": [], \"version\": 3}")]
#[case::long(&"a route of many; ".repeat(20_000))]
fn texts_come_out_as_they_went_in(#[case] text: &str) {
    let packed = Packed::new(text);
    assert_eq!(packed.text().expect("a text"), text);
    let json = serde_json::to_string(&packed).expect("JSON");
    assert!(json.len() <= text.len() / 5 + 64, "{}", json.len());
    let cut: Packed = serde_json::from_str("\"AAAA\"").expect("a string");
    assert!(cut.text().is_err());
}

/// An engine that holds the whole model of two layers, and what is known of its kind.
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

/// A small request to that engine.
fn ask_whole(entry: &UpstreamEntry) -> PathQuery<'_> {
    PathQuery {
        service: &entry.service,
        tokens: 20.0,
        domain: "a",
        layers: LayerRange { from: 0, to: 2 },
        avoid: &[],
        first: &[],
        now: Instant::now(),
    }
}

/// Paths are drawn from the plan only where a daemon does not hear the load of all others.
#[rstest]
#[case::all_are_heard(SMALL, false)]
#[case::a_sample_is_heard(SMALL + 1, true)]
#[tokio::test(start_paused = true)]
async fn paths_are_drawn_where_load_is_a_sample(#[case] others: usize, #[case] drawn: bool) {
    let me = peers(0);
    let (entry, engines) = whole_engine();
    me.shared
        .fleet()
        .replace(vec![entry.clone()], Version::initial(1), Instant::now());
    for other in 1..=others {
        me.heard(&digest(other));
    }
    me.sum_load();
    let fleet = me.shared.fleet();
    let path = me
        .shared
        .draw_planned_path(&fleet, &engines, &ask_whole(&entry));
    assert_eq!(path.is_some(), drawn);
}

/// After a loss of all daemons their callers come back at once, before any daemon has heard of another.
#[tokio::test(start_paused = true)]
async fn paths_are_drawn_until_a_daemon_has_heard_another_or_is_known_to_be_alone() {
    let (entry, engines) = whole_engine();
    let is_drawn = |me: &Peers| {
        let mut fleet = me.shared.fleet();
        fleet.replace(vec![entry.clone()], Version::initial(1), Instant::now());
        me.shared
            .draw_planned_path(&fleet, &engines, &ask_whole(&entry))
            .is_some()
    };
    let me = peers(0);
    assert!(is_drawn(&me), "before its first exchange");
    me.sum_load();
    assert!(is_drawn(&me), "nobody was heard");
    me.heard(&digest(1));
    me.sum_load();
    assert!(!is_drawn(&me));
    let alone = peers(0);
    advance(ALONE).await;
    alone.sum_load();
    assert!(!is_drawn(&alone), "its own load is all there is");
}

/// An adapter whose configurations are their versions, and whose entries can't be read.
pub(super) struct Numbered;

impl Adapter for Numbered {
    const CONFIGURATION_KIND: &'static str = "configuration";
    const CONFIGURATION_NAME: &'static str = "main";
    const UPSTREAMS_KIND: &'static str = "upstreams";

    fn decode_request_head(_headers: &HeaderMap) -> adapter::Result<CallerHead> {
        Ok(CallerHead::default())
    }

    fn set_upstream_headers(_headers: &mut HeaderMap, _forwarded: &ForwardedHead<'_>) {}

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

/// Three seeds once took a hundred connections each, and 87 of 295 daemons met nobody: each of them
/// watched the store and gave orders to every engine.
#[tokio::test]
async fn a_daemon_takes_a_connection_of_every_other() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let free = listener.local_addr().expect("its address");
    drop(listener);
    let shared = Arc::new(Shared::new("a", BOUND, 1));
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
        other.call::<Numbered>(free).await;
    }
    assert_eq!(lock(&seed.members).live().count(), others.len());
    let met = others
        .iter()
        .filter(|o| lock(&o.members).live().next().is_some());
    assert_eq!(met.count(), others.len());
    server.stop().expect("it runs");
}
