//! Who watches the store, and what is taken for the load of others, without a network.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use super::Digest;
use super::LIVE;
use super::LoadOf;
use super::Peers;
use super::SMALL;
use super::exchange::SLOWNESS_TOLD;
use super::messages::Contact;
use super::packed::Packed;
use super::roles::HOLDER_SILENT;
use super::roles::HOLDER_SILENT_LARGE;
use super::roles::LEARNING;
use super::roles::WATCHERS;
use crate::config::Accelerator;
use crate::config::Engines;
use crate::dialect::LayerRange;
use crate::dialect::Stage;
use crate::dialect::UpstreamEntry;
use crate::documents::Documents;
use crate::path::Ask;
use crate::repeats::Bound;
use crate::shared::Shared;

const BOUND: Bound = Bound {
    window: Duration::from_secs(10),
    ratio: 0.2,
    slack: 200.0,
};

fn domain_of(number: usize) -> &'static str {
    ["a", "b", "c"][number % 3]
}

fn peers(number: usize) -> Peers {
    let shared = Arc::new(Shared::new(domain_of(number), BOUND, 1));
    let documents = Arc::new(Documents::new(Arc::clone(&shared)));
    let address = address(number);
    Peers::new(&format!("entry-{number}"), address, shared, documents)
}

fn address(number: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16))
}

/// The registration of an engine `e-1`.
fn engine() -> UpstreamEntry {
    UpstreamEntry {
        id: Arc::from("e"),
        start: None,
        instance: Arc::from("e-1"),
        service: Arc::from("llm"),
        address: address(900),
        domain: Arc::from("a"),
        stage: Stage::Ready,
        slots: 1,
        layers: None,
        kind: None,
    }
}

fn digest(number: usize, watches: bool) -> Digest {
    Digest {
        from: Contact {
            name: format!("entry-{number}"),
            domain: domain_of(number).to_owned(),
            address: address(number),
            age_ms: 0,
        },
        version: 0,
        revision: 0,
        leaving: false,
        watches,
        members: Vec::new(),
        load: Vec::new(),
        doubts: Vec::new(),
        crashes: Vec::new(),
        slowness: Vec::new(),
        holdings: Vec::new(),
        owners: Vec::new(),
        lease_holder_age_ms: None,
    }
}

#[tokio::test(start_paused = true)]
async fn in_a_small_fleet_everyone_watches() {
    let me = peers(0);
    for other in 1..=SMALL {
        me.heard(&digest(other, true));
    }
    assert!(me.is_watcher());
}

#[tokio::test(start_paused = true)]
async fn in_a_larger_fleet_a_few_of_each_domain_watch_for_all() {
    let fleet = 66;
    let mut watchers = [0; 3];
    for number in 0..fleet {
        let me = peers(number);
        for other in (0..fleet).filter(|&o| o != number) {
            me.heard(&digest(other, other % 11 == 0));
        }
        watchers[number % 3] += usize::from(me.is_watcher());
    }
    assert_eq!(watchers, [WATCHERS; 3]);
}

#[tokio::test(start_paused = true)]
async fn who_hears_of_no_watcher_watches() {
    for number in 0..20 {
        let me = peers(number);
        for other in (0..20).filter(|&o| o != number) {
            me.heard(&digest(other, false));
        }
        assert!(me.is_watcher(), "daemon {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn what_was_told_stands_for_its_domain_and_grows_old() {
    let me = peers(0);
    me.shared.fleet().replace(vec![engine()], 1, Instant::now());
    let mut told = digest(1, true);
    told.load.push(LoadOf {
        instance: Arc::from("e-1"),
        running: 2.0,
        reserved: 10.0,
    });
    // Three more of its domain are known by word of this one only, and two of another domain.
    told.members = [4, 7, 10, 2, 5]
        .iter()
        .map(|&n| digest(n, false).from)
        .collect();
    me.heard(&told);
    me.sum_load();
    let running = || {
        let fleet = me.shared.fleet();
        let key = fleet.key_of("e-1").expect("known");
        fleet.get(key).expect("known").others.running
    };
    assert_eq!(running(), 8.0);
    advance(LIVE).await;
    me.sum_load();
    assert_eq!(running(), 0.0);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_falls_silent_still_shares_the_bound() {
    let me = peers(0);
    me.heard(&digest(1, true));
    advance(Duration::from_secs(20)).await;
    assert_eq!(me.sharing(), 2);
    advance(Duration::from_secs(60)).await;
    assert_eq!(me.sharing(), 1);
}

/// Those of so many daemons that stand in, when all hear all and `change` is made to each digest.
async fn standing_in(fleet: usize, change: impl Fn(usize, &mut Digest)) -> Vec<usize> {
    let all: Vec<Peers> = (0..fleet).map(peers).collect();
    advance(LEARNING).await;
    for (number, me) in all.iter().enumerate() {
        for other in (0..fleet).filter(|&o| o != number) {
            let mut told = digest(other, true);
            change(other, &mut told);
            me.heard(&told);
        }
    }
    let stands_in = |&(_, me): &(usize, &Peers)| me.stands_in();
    let standing_in = all.iter().enumerate().filter(stands_in);
    standing_in.map(|(number, _)| number).collect()
}

#[rstest]
#[case::small(7)]
#[case::larger(66)]
#[tokio::test(start_paused = true)]
async fn one_daemon_stands_in_for_a_holder_that_nobody_hears(#[case] fleet: usize) {
    let first = standing_in(fleet, |_, _| {}).await;
    assert_eq!(first.len(), 1);
    let leaves = |number, told: &mut Digest| told.leaving = number == first[0];
    let others = standing_in(fleet, leaves).await;
    let second = others.iter().filter(|n| **n != first[0]);
    assert_eq!(second.count(), 1, "one that leaves takes up no duties");
}

#[rstest]
#[case::small(7, HOLDER_SILENT)]
#[case::larger(66, HOLDER_SILENT_LARGE)]
#[tokio::test(start_paused = true)]
async fn nobody_stands_in_while_word_of_a_holder_comes(
    #[case] fleet: usize,
    #[case] silent: Duration,
) {
    let age = |age: Duration| {
        move |_: usize, told: &mut Digest| told.lease_holder_age_ms = Some(age.as_millis() as u64)
    };
    let lately = standing_in(fleet, age(silent - Duration::from_millis(1))).await;
    assert!(lately.is_empty(), "{lately:?}");
    assert_eq!(standing_in(fleet, age(silent)).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn words_on_engines_go_from_peer_to_peer_until_they_are_old() {
    let all: Vec<Peers> = (0..3).map(peers).collect();
    for me in &all {
        me.shared.fleet().replace(vec![engine()], 1, Instant::now());
    }
    let slowness = |me: &Peers| {
        let fleet = me.shared.fleet();
        let key = fleet.key_of("e-1").expect("known");
        fleet.get(key).expect("known").slowness(Instant::now())
    };
    let key = all[0].shared.fleet().key_of("e-1").expect("known");
    let now = Instant::now();
    all[0].shared.fleet().tell_slowness(key, 12.0, now);
    all[1].heard(&all[0].digest());
    all[2].heard(&all[1].digest());
    assert_eq!(slowness(&all[2]), 12.0);
    advance(SLOWNESS_TOLD).await;
    assert_eq!(slowness(&all[2]), 1.0);
    assert!(all[1].digest().slowness.is_empty());
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
fn whole_engine() -> (UpstreamEntry, Engines) {
    let entry = UpstreamEntry {
        layers: Some(LayerRange { from: 0, to: 2 }),
        kind: Some(Arc::from("k")),
        ..engine()
    };
    let engines = Engines {
        layers: 2,
        layer_mb: 1.0,
        kv_token_bytes: 2.0,
        step_ms: 1.0,
        sequence_ms: 0.0,
        context_ms: 0.0,
        read_per_s: 1e5,
        load_s: 1.0,
        usual_prompt: 10.0,
        usual_answer: 10.0,
        kinds: vec![Accelerator {
            name: Arc::from("k"),
            memory_mb: 100.0,
            step_factor: 1.0,
            read_factor: 1.0,
        }],
    };
    (entry, engines)
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
        .replace(vec![entry.clone()], 1, Instant::now());
    for other in 1..=others {
        me.heard(&digest(other, true));
    }
    me.sum_load();
    let ask = Ask {
        service: &entry.service,
        tokens: 20.0,
        domain: "a",
        layers: LayerRange { from: 0, to: 2 },
        avoid: &[],
        first: &[],
        now: Instant::now(),
    };
    let fleet = me.shared.fleet();
    let path = me.shared.draw(&fleet, &engines, &ask);
    assert_eq!(path.is_some(), drawn);
}
