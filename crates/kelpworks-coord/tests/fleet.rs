//! Tests of membership, facts and the detection of poison requests.

use proptest::prelude::*;
use rstest::rstest;

use kelpworks_coord::facts;
use kelpworks_coord::facts::Fact;
use kelpworks_coord::facts::Facts;
use kelpworks_coord::facts::Key;
use kelpworks_coord::facts::Kind;
use kelpworks_coord::facts::Stamp;
use kelpworks_coord::id::DomainId;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::membership::Action;
use kelpworks_coord::membership::Config;
use kelpworks_coord::membership::Entry;
use kelpworks_coord::membership::Event;
use kelpworks_coord::membership::Health;
use kelpworks_coord::membership::Membership;
use kelpworks_coord::membership::Update;
use kelpworks_coord::poison;
use kelpworks_coord::poison::Admission;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::poison::PoisonTracker;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;

const A: NodeId = NodeId(1);
const B: NodeId = NodeId(2);
const C: NodeId = NodeId(3);
const DOMAIN: DomainId = DomainId(1);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn members() -> Membership {
    let mut members = Membership::new(Config::default(), A, DOMAIN, Incarnation(1));
    let entry = |node| Entry {
        node,
        domain: DOMAIN,
        leaving: false,
    };
    members.on_event(at(0), Event::HostList(vec![entry(A), entry(B), entry(C)]));
    for from in [B, C] {
        members.on_event(
            at(0),
            Event::Contact {
                from,
                incarnation: Incarnation(1),
            },
        );
    }
    members
}

fn report(health: Health, incarnation: u64, by: NodeId) -> Event {
    let incarnation = Incarnation(incarnation);
    Event::Updates(vec![Update {
        node: B,
        domain: DOMAIN,
        incarnation,
        health,
        by,
    }])
}

#[rstest]
#[case::one_suspicion_does_not_confirm(vec![(0, report(Health::Suspect, 1, C)), (14_000, Event::Tick)], Health::Suspect)]
#[case::max_suspicion_confirms(vec![(0, report(Health::Suspect, 1, C)), (15_000, Event::Tick)], Health::Dead)]
#[case::two_of_two_confirm(
    vec![(0, report(Health::Suspect, 1, C)), (1, report(Health::Suspect, 1, A)), (2_000, Event::Tick)],
    Health::Dead)]
#[case::not_before_min_suspicion(
    vec![(0, report(Health::Suspect, 1, C)), (1, report(Health::Suspect, 1, A)), (1_999, Event::Tick)],
    Health::Suspect)]
#[case::refuted(vec![(0, report(Health::Suspect, 1, C)), (1, report(Health::Alive, 2, B))], Health::Alive)]
#[case::same_incarnation_refutes_nothing(
    vec![(0, report(Health::Suspect, 1, C)), (1, report(Health::Alive, 1, B))], Health::Suspect)]
#[case::old_report(vec![(0, report(Health::Alive, 3, B)), (1, report(Health::Dead, 2, C))], Health::Alive)]
#[case::dead_member_returns(vec![(0, report(Health::Dead, 1, C)), (1, report(Health::Alive, 2, B))], Health::Alive)]
#[case::left(vec![(0, report(Health::Left, 1, B))], Health::Left)]
fn reports_lead_to_expected_health(#[case] events: Vec<(u64, Event)>, #[case] health: Health) {
    let mut members = members();
    for (ms, event) in events {
        members.on_event(at(ms), event);
    }
    assert_eq!(members.health(B), Some(health));
}

#[test]
fn probed_daemon_refutes_a_report_of_its_death() {
    let mut members = members();
    let incarnation = Incarnation(4);
    let view = Update {
        node: A,
        domain: DOMAIN,
        incarnation,
        health: Health::Dead,
        by: B,
    };
    let actions = members.on_event(
        at(5),
        Event::Probed {
            from: B,
            incarnation: Incarnation(1),
            view,
        },
    );
    let answered = |a: &Action| {
        matches!(
            a,
            Action::Ack {
                incarnation: Incarnation(5),
                ..
            }
        )
    };
    assert!(actions.iter().any(answered), "{actions:?}");
    let gossiped = members
        .take_updates(10)
        .into_iter()
        .find(|u| u.node == A)
        .unwrap();
    assert_eq!(
        (gossiped.health, gossiped.incarnation),
        (Health::Alive, Incarnation(5))
    );
}

#[test]
fn unresponsive_member_is_probed_indirectly_before_it_is_suspected() {
    let mut members = members();
    let probe = members.on_event(at(0), Event::Tick);
    let [Action::Probe { target, .. }] = probe[..] else {
        panic!("{probe:?}")
    };
    let via = if target == B { C } else { B };
    let asked = members.on_event(at(400), Event::Tick);
    assert!(
        matches!(asked[..], [Action::IndirectProbe { via: v, target: t, .. }] if (v, t) == (via, target))
    );
    let changed = members.on_event(at(800), Event::Tick);
    assert_eq!(
        changed,
        [Action::HealthChanged {
            node: target,
            health: Health::Suspect
        }]
    );
}

#[test]
fn each_update_is_sent_a_bounded_number_of_times() {
    let mut members = members();
    members.on_event(at(0), report(Health::Suspect, 1, C));
    let sent = std::iter::from_fn(|| Some(members.take_updates(1)).filter(|u| !u.is_empty()));
    assert!(sent.count() <= 30);
}

fn fact(author: u64, subject: u64, sequence: u64, holds: bool) -> Fact {
    let key = Key {
        author: NodeId(author),
        kind: Kind::Down,
        subject,
    };
    let stamp = Stamp {
        incarnation: Incarnation(1),
        sequence,
    };
    // An author states only one thing in one version, so all fields follow from it.
    let ttl = Span::from_secs(10 + sequence);
    Fact {
        key,
        stamp,
        holds,
        detail: sequence,
        ttl,
    }
}

proptest! {
    #[test]
    fn merging_facts_is_independent_of_order_and_repetition(
        stated in prop::collection::vec((1..4u64, 1..3u64, 1..5u64), 0..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let facts: Vec<Fact> = stated.iter().map(|&(a, s, n)| fact(a, s, n, n % 2 == 0)).collect();
        let mut once = Facts::new(facts::Config::default(), A, Incarnation(1));
        let mut shuffled = once.clone();
        for &f in &facts {
            once.merge(at(0), f);
        }
        for i in order.iter().filter(|_| !facts.is_empty()) {
            shuffled.merge(at(0), facts[i.index(facts.len())]);
        }
        for &f in facts.iter().rev() {
            shuffled.merge(at(0), f);
        }
        prop_assert_eq!(once.snapshot(at(0)), shuffled.snapshot(at(0)));
        prop_assert_eq!(once.digest(at(0)), shuffled.digest(at(0)));
    }
}

#[test]
fn cleared_fact_stays_cleared_and_deltas_respect_their_size_limit() {
    let mut facts = Facts::new(facts::Config::default(), A, Incarnation(1));
    for subject in 0..20 {
        facts.set(at(0), Kind::Leaving, subject, Span::from_secs(60));
    }
    let old = facts.snapshot(at(0))[0];
    facts.clear(at(1), Kind::Leaving, old.key.subject);
    assert!(!facts.merge(at(2), old));
    assert_eq!(facts.author_count(at(2), Kind::Leaving, old.key.subject), 0);
    let delta = facts.take_delta(at(2), 1_000, 7);
    let bytes: usize = delta
        .iter()
        .map(|f| serde_json::to_vec(f).unwrap().len())
        .sum();
    assert!((1..=1_000).contains(&bytes), "{bytes}");
    let deltas = std::iter::from_fn(|| Some(facts.take_delta(at(2), 1_000, 7)));
    assert!(
        deltas.take(1_000).any(|d| d.is_empty()),
        "each fact is sent a bounded number of times"
    );
}

#[test]
fn largest_fact_fits_fact_bytes() {
    let max = u64::MAX;
    let key = Key {
        author: NodeId(max),
        kind: Kind::Quarantine,
        subject: max,
    };
    let stamp = Stamp {
        incarnation: Incarnation(max),
        sequence: max,
    };
    let ttl = Span::from_millis(max);
    let fact = Fact {
        key,
        stamp,
        holds: false,
        detail: max,
        ttl,
    };
    assert!(serde_json::to_vec(&fact).unwrap().len() <= facts::FACT_BYTES);
}

fn crash(upstream: u64, running: &[u64]) -> poison::Event {
    let running = running.iter().map(|&f| Fingerprint(f)).collect();
    poison::Event::Crashed {
        upstream: UpstreamId(upstream),
        running,
    }
}

#[rstest]
#[case::one_crash(vec![crash(1, &[1, 2])], "AA-")]
#[case::same_upstream_twice(vec![crash(1, &[1]), crash(1, &[1])], "A--")]
#[case::second_crash_confirms(vec![crash(1, &[1, 2]), crash(2, &[1, 3])], "RAA")]
#[case::two_suspects_together_confirm_neither(vec![crash(1, &[1, 2]), crash(2, &[1, 2])], "AA-")]
#[case::then_exclusive(vec![crash(1, &[1, 2]), crash(2, &[1, 2]), crash(3, &[1])], "RA-")]
#[case::finishing_clears(vec![crash(1, &[1, 2]), poison::Event::Finished(Fingerprint(2))], "A--")]
#[case::a_peers_crash_counts(
    vec![poison::Event::PeerSuspects { fingerprint: Fingerprint(1), upstream: UpstreamId(9) }, crash(2, &[1, 3])],
    "R-A")]
fn crashes_lead_to_expected_admission(#[case] events: Vec<poison::Event>, #[case] admits: &str) {
    let mut poison = PoisonTracker::new(poison::Config::default());
    for event in events {
        poison.on_event(at(0), event);
    }
    let letter = |f| match poison.check(at(1), Fingerprint(f)) {
        Admission::Normal => '-',
        Admission::Isolated => 'A',
        Admission::Refused { .. } => 'R',
    };
    assert_eq!((1..=3).map(letter).collect::<String>(), admits);
    let later = poison.check(at(600_001), Fingerprint(1));
    assert_eq!(later, Admission::Normal, "suspicions and refusals expire");
}

#[test]
fn number_of_tracked_suspects_is_bounded() {
    let cfg = poison::Config {
        max_tracked: 10,
        ..poison::Config::default()
    };
    let mut poison = PoisonTracker::new(cfg);
    poison.on_event(at(0), crash(1, &(0..100).collect::<Vec<_>>()));
    let tracked = (0..100).filter(|&f| poison.check(at(0), Fingerprint(f)) == Admission::Isolated);
    assert_eq!(tracked.count(), 10);
}
