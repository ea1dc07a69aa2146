//! Which registrations are active: several incarnations of one id, several ids at one address.

mod fleet_support;

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

use fleet_support::empty_hosts;
use fleet_support::entry;
use fleet_support::range;
use kelpworks_coord::id::Version;
use kelpworks_relay::adapter::LayerRange;
use kelpworks_relay::adapter::StartTime;
use kelpworks_relay::adapter::UpstreamEntry;
use kelpworks_relay::adapter::incarnation;
use kelpworks_relay::assignments::LayerAssignment;
use kelpworks_relay::fleet::AddressOwner;
use kelpworks_relay::fleet::Fleet;
use kelpworks_relay::fleet::OwnerReport;
use kelpworks_relay::owner_checks::Schedule;

/// Returns the registration of engine `id` at the address with this number, started at `start`.
fn engine(
    id: &str,
    address: usize,
    start: Option<u64>,
    layers: Option<LayerRange>,
) -> UpstreamEntry {
    let mut host = empty_hosts(&["a"]).remove(0);
    host.layers = layers;
    let id: Arc<str> = Arc::from(id);
    let start = start.map(StartTime);
    UpstreamEntry {
        instance: incarnation(&id, start),
        id,
        start,
        ..entry(address, &host)
    }
}

fn owner(of: &UpstreamEntry, id: &str) -> AddressOwner {
    AddressOwner {
        address: of.address,
        id: Arc::from(id),
    }
}

fn names(fleet: &Fleet) -> Vec<String> {
    let mut names: Vec<String> = fleet
        .iter()
        .map(|(_, u)| u.entry.instance.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn new_incarnation_inherits_no_state_from_the_old_one() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let loaded = Some(range(0, 9));
    fleet.replace(
        vec![engine("e", 1, Some(100), loaded)],
        Version::initial(1),
        now,
    );
    let old = fleet.key_of("e@100").expect("registered");
    fleet.reserve(old, 5_000.0);
    fleet.record_refusal(old, now);
    fleet.record_outcome(old, true);
    let loading = LayerAssignment {
        orders: 3,
        layers: range(9, 18),
        loaded: false,
    };
    let instance = Arc::from("e@100");
    assert!(fleet.learn_assignment(&instance, loading, Duration::ZERO, now));

    let changes = fleet.replace(
        vec![engine("e", 1, Some(200), None)],
        Version::initial(2),
        now,
    );

    assert_eq!(names(&fleet), ["e@200"]);
    assert_eq!(changes.removed.len() + changes.added.len(), 2);
    assert!(fleet.get(old).is_none(), "the old key is invalid");
    let new = fleet.key_of("e@200").expect("registered");
    let upstream = fleet.get(new).expect("there");
    assert_eq!(upstream.layers, None);
    assert_eq!(upstream.load().running, 0.0);
    assert!(!upstream.is_ejected(now));
    assert_eq!(upstream.failure_rate, 0.0);
    assert_eq!(fleet.assignments().orders("e@200"), None);
    // Releasing a request to the old incarnation does not change the load of the new one.
    fleet.reserve(new, 10.0);
    fleet.release(old, 5_000.0);
    assert_eq!(fleet.get(new).expect("there").local_load.reserved, 10.0);
    // A late report on the old incarnation does not change the new one.
    assert!(!fleet.learn_assignment(&instance, loading, Duration::ZERO, now));
}

#[test]
fn older_start_time_never_replaces_a_newer_one() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.replace(
        vec![engine("e", 1, Some(200), Some(range(0, 4)))],
        Version::initial(1),
        now,
    );
    let changes = fleet.replace(
        vec![engine("e", 1, Some(100), Some(range(0, 9)))],
        Version::initial(2),
        now,
    );
    assert!(changes.is_empty());
    assert_eq!(names(&fleet), ["e@200"]);
    let key = fleet.key_of("e@200").expect("there");
    assert_eq!(fleet.get(key).expect("there").layers, Some(range(0, 4)));
    // Without its entry, the engine is removed.
    fleet.replace(Vec::new(), Version::initial(3), now);
    assert_eq!(names(&fleet), Vec::<String>::new());
}

#[test]
fn start_time_reported_by_engine_takes_precedence_over_its_entry() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let old = engine("e", 1, Some(100), Some(range(0, 9)));
    fleet.replace(vec![old.clone()], Version::initial(1), now);
    let key = fleet.key_of("e@100").expect("there");
    assert_eq!(fleet.learn_start(key, StartTime(100)), None);
    assert_eq!(fleet.learn_start(key, StartTime(50)), None);
    let changes = fleet.learn_start(key, StartTime(300)).expect("a change");
    assert_eq!(&*changes.added[0], "e@300");
    let key = fleet.key_of("e@300").expect("there");
    assert_eq!(fleet.get(key).expect("there").layers, None);
    // The entry from before the restart arrives once more.
    assert!(
        fleet
            .replace(vec![old], Version::initial(2), now)
            .is_empty()
    );
    // The entry of the new incarnation arrives.
    let own = engine("e", 1, Some(300), Some(range(3, 7)));
    let changes = fleet.replace(vec![own], Version::initial(3), now);
    assert!(changes.added.is_empty() && changes.removed.is_empty());
    assert_eq!(fleet.get(key).expect("there").layers, Some(range(3, 7)));
}

/// The daemon sees the entry `old` first. `expected` is the id of the active entry.
#[rstest]
#[case::newer_start_wins(Some(100), Some(200), "new")]
#[case::newer_start_wins_even_if_seen_first(Some(300), Some(200), "old")]
#[case::later_seen_wins_without_start_times(None, None, "new")]
#[case::later_seen_wins_with_one_start_time_missing(Some(900), None, "new")]
fn one_of_two_entries_at_one_address_is_active(
    #[case] old: Option<u64>,
    #[case] new: Option<u64>,
    #[case] expected: &str,
) {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut fleet = Fleet::default();
    let old = engine("old", 1, old, None);
    let new = engine("new", 1, new, None);
    fleet.replace(vec![old.clone()], Version::initial(1), now);
    fleet.replace(vec![new.clone(), old.clone()], Version::initial(2), later);
    let names = names(&fleet);
    assert_eq!(names.len(), 1);
    assert!(names[0].starts_with(expected), "{names:?}");
    // Once that entry is removed, the other one becomes active.
    let other = if expected == "new" { old } else { new };
    fleet.replace(vec![other.clone()], Version::initial(3), later);
    assert_eq!(self::names(&fleet), [&*other.instance]);
}

/// An engine cut off from the store crashes and restarts under another id. Its old entry expires,
/// and reappears for some seconds once the store is reachable.
#[test]
fn reappearing_id_does_not_displace_the_current_owner() {
    let at = |s| Instant::now() + Duration::from_secs(s);
    let mut fleet = Fleet::default();
    let old = engine("old", 1, None, Some(range(0, 9)));
    let new = engine("new", 1, None, None);
    fleet.replace(vec![old.clone()], Version::initial(1), at(0));
    fleet.replace(Vec::new(), Version::initial(2), at(4));
    fleet.replace(vec![new.clone()], Version::initial(3), at(5));
    let changes = fleet.replace(vec![new, old], Version::initial(4), at(6));
    assert!(changes.is_empty());
    assert_eq!(names(&fleet), ["new"]);
}

#[test]
fn answer_from_the_address_decides_its_owner() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let a = engine("a", 1, None, Some(range(0, 9)));
    let b = engine("b", 1, None, None);
    let elsewhere = engine("c", 2, None, None);
    // A starting daemon sees both entries at once and can't tell which one is current.
    fleet.replace(
        vec![a.clone(), b.clone(), elsewhere.clone()],
        Version::initial(1),
        now,
    );
    assert_eq!(names(&fleet), ["b", "c"]);
    let changes = fleet.learn_owner(owner(&a, "a"), now).expect("a change");
    assert_eq!((&*changes.removed[0], &*changes.added[0]), ("b", "a"));
    assert_eq!(names(&fleet), ["a", "c"]);
    assert_eq!(
        fleet.learn_owner(owner(&a, "a"), now),
        None,
        "a repeated report changes nothing"
    );
    assert_eq!(fleet.recent_owners(8, now)[0].0.owner, owner(&a, "a"));
    // The owner stays while the entries are unchanged.
    let changes = fleet.replace(
        vec![b.clone(), a.clone(), elsewhere],
        Version::initial(2),
        now,
    );
    assert!(changes.is_empty());
    // An older report changes nothing.
    let before = now - Duration::from_secs(1);
    assert_eq!(fleet.learn_owner(owner(&a, "b"), before), None);
    // An upstream that registers at the address later becomes its owner.
    let next = engine("next", 1, None, None);
    fleet.replace(
        vec![a, next],
        Version::initial(3),
        now + Duration::from_secs(2),
    );
    assert_eq!(names(&fleet), ["next"]);
}

#[test]
fn entry_at_an_address_owned_by_another_id_is_inactive() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let gone = engine("gone", 1, None, Some(range(0, 9)));
    fleet.replace(vec![gone.clone()], Version::initial(1), now);
    // The address now belongs to an upstream whose entry has not arrived yet.
    fleet.learn_owner(owner(&gone, "unknown"), now);
    assert_eq!(names(&fleet), Vec::<String>::new());
    let unknown = engine("unknown", 1, None, None);
    fleet.replace(vec![gone, unknown], Version::initial(2), now);
    assert_eq!(names(&fleet), ["unknown"]);
}

fn report(of: &UpstreamEntry, start: Option<u64>, answer: Option<u64>) -> OwnerReport {
    OwnerReport {
        owner: owner(of, &of.id),
        start: start.map(StartTime),
        answer,
    }
}

/// Guards against a peer's report that seems younger than an entry because it was read late: it took the entry of the
/// upstream that had started since out of use.
#[rstest]
#[case::reported_start(Some(100), None)]
#[case::registered_start(None, Some(100))]
fn report_of_an_earlier_upstream_does_not_disown_a_later_one(
    #[case] reported: Option<u64>,
    #[case] registered: Option<u64>,
) {
    let now = Instant::now();
    let at = |s| now + Duration::from_secs(s);
    let mut fleet = Fleet::default();
    let old = engine("old", 1, registered, None);
    let new = engine("new", 1, Some(200), None);
    fleet.replace(vec![old.clone()], Version::initial(1), at(0));
    fleet.replace(vec![new], Version::initial(2), at(1));
    fleet.learn_owner_report(report(&old, reported, Some(1)), at(2));
    assert_eq!(names(&fleet), ["new@200"]);
}

/// Start times are of the clocks of several hosts, so that an answer of its own goes before them for a daemon.
#[test]
fn own_answer_counts_against_start_times() {
    let now = Instant::now();
    let at = |s| now + Duration::from_secs(s);
    let mut fleet = Fleet::default();
    let real = engine("real", 1, Some(100), None);
    let other = engine("other", 1, Some(200), None);
    fleet.replace(
        vec![real.clone(), other.clone()],
        Version::initial(1),
        at(0),
    );
    fleet.learn_owner_report(report(&real, Some(100), Some(1)), at(1));
    assert_eq!(names(&fleet), ["other@200"], "only a peer knows");
    fleet.learn_owner(owner(&real, "real"), at(2));
    assert_eq!(names(&fleet), ["real@100"]);
    // Nor does a later answer that a peer got take that back.
    fleet.learn_owner_report(report(&real, Some(100), Some(3)), at(3));
    assert_eq!(names(&fleet), ["real@100"]);
    // An older answer that a peer got does not change that.
    fleet.learn_owner_report(report(&other, Some(200), Some(2)), at(1));
    assert_eq!(names(&fleet), ["real@100"]);
}

/// Guards against an answer to a request that was sent before an upstream started, and read after it registered.
#[test]
fn answer_concerns_only_entries_known_when_its_request_was_sent() {
    let now = Instant::now();
    let at = |s| now + Duration::from_secs(s);
    let mut fleet = Fleet::default();
    let old = engine("old", 1, None, None);
    let new = engine("new", 1, None, None);
    fleet.replace(vec![old.clone()], Version::initial(1), at(0));
    fleet.replace(vec![new], Version::initial(2), at(2));
    fleet.learn_owner(owner(&old, "between"), at(1));
    assert_eq!(names(&fleet), ["new"]);
}

/// Guards against an entry that is out of use without a check of who answers at its address.
#[test]
fn entries_without_effect_are_checked_at_growing_intervals() {
    let now = Instant::now();
    let at = |s| now + Duration::from_secs(s);
    let mut fleet = Fleet::default();
    let entry = engine("e", 1, None, None);
    fleet.replace(vec![entry.clone()], Version::initial(1), at(0));
    assert_eq!(fleet.without_address(), []);
    fleet.learn_owner(owner(&entry, "another"), at(1));
    assert_eq!(fleet.without_address(), [(entry.clone(), Some(at(1)))]);
    let mut schedule = Schedule::default();
    let checked: Vec<u64> = (1..40)
        .filter(|&s| {
            let due = schedule.due(fleet.without_address(), 1, at(s), || 0.0);
            !due.is_empty()
        })
        .collect();
    assert_eq!(checked, [2, 4, 8, 16, 24, 32]);
    // An answer that another daemon got puts the check off.
    fleet.learn_owner_report(
        report(&engine("another", 1, None, None), None, Some(1)),
        at(39),
    );
    assert_eq!(schedule.due(fleet.without_address(), 1, at(40), || 0.0), []);
    fleet.learn_owner(owner(&entry, "e"), at(41));
    assert_eq!(fleet.without_address(), []);
    assert_eq!(names(&fleet), ["e"]);
}

/// Guards against a report of a former owner that seems younger than that of the current one, as it was read late.
#[test]
fn report_of_an_earlier_upstream_does_not_replace_that_of_a_later_one() {
    let now = Instant::now();
    let at = |s| now + Duration::from_secs(s);
    let mut fleet = Fleet::default();
    let earlier = report(&engine("earlier", 1, None, None), Some(100), Some(1));
    let later = report(&engine("later", 1, None, None), Some(200), Some(2));
    fleet.learn_owner_report(later.clone(), at(1));
    fleet.learn_owner_report(earlier, at(2));
    assert_eq!(fleet.recent_owners(8, at(2))[0].0, later);
}

/// Guards against an upstream that is out of use without a check because another entry claims its address.
#[test]
fn entry_beside_another_one_at_its_address_is_checked() {
    let mut fleet = Fleet::default();
    let a = engine("a", 1, Some(100), None);
    let b = engine("b", 1, Some(200), None);
    fleet.replace(vec![a.clone(), b], Version::initial(1), Instant::now());
    assert_eq!(fleet.without_address(), [(a, None)]);
}

/// Guards against a check that the answers which other daemons get put off for good.
#[test]
fn check_is_not_put_off_without_end() {
    let now = Instant::now();
    let entries = |reported| vec![(engine("e", 1, None, None), Some(reported))];
    let mut schedule = Schedule::default();
    let checked = (0..60).filter(|&s| {
        let at = now + Duration::from_secs(s);
        // Another answer from the address is reported each time.
        !schedule.due(entries(at), 100, at, || 1.0).is_empty()
    });
    assert_eq!(checked.count(), 3);
}

/// Guards against reports of two answers whose copies take turns, each younger than the last one of the other.
#[test]
fn copy_of_an_own_answer_is_not_younger_than_the_answer() {
    let now = Instant::now();
    let at = |s| now + Duration::from_secs(s);
    let mut fleet = Fleet::default();
    let entry = engine("e", 1, None, None);
    fleet.replace(vec![entry.clone()], Version::initial(1), at(0));
    fleet.learn_owner(owner(&entry, "another"), at(1));
    let (copy, _) = fleet.recent_owners(8, at(1)).remove(0);
    fleet.learn_owner_report(report(&entry, None, Some(1)), at(2));
    fleet.learn_owner_report(copy, at(3));
    assert_eq!(names(&fleet), ["e"]);
}

proptest! {
    /// For any registrations in any order, no two active upstreams share an address or an id.
    #[test]
    fn addresses_and_ids_are_unique(
        lists in prop::collection::vec(
            prop::collection::vec((0usize..6, 0usize..4, prop::option::of(0u64..4)), 0..8),
            1..6,
        ),
    ) {
        let mut fleet = Fleet::default();
        let start = Instant::now();
        for (i, list) in lists.iter().enumerate() {
            let mut entries: Vec<UpstreamEntry> = Vec::new();
            for &(id, address, start) in list {
                let entry = engine(&format!("e{id}"), address, start, None);
                // The store keeps one object per name.
                if !entries.iter().any(|e| e.id == entry.id) {
                    entries.push(entry);
                }
            }
            let now = start + Duration::from_secs(i as u64);
            fleet.replace(entries, Version::initial(i as u64 + 1), now);
            let mut addresses: Vec<_> = fleet.iter().map(|(_, u)| u.entry.address).collect();
            let mut ids: Vec<_> = fleet.iter().map(|(_, u)| Arc::clone(&u.entry.id)).collect();
            let count = addresses.len();
            addresses.sort();
            addresses.dedup();
            ids.sort();
            ids.dedup();
            prop_assert_eq!((addresses.len(), ids.len()), (count, count));
        }
    }
}
