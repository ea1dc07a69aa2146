//! Transfer of the entries between daemons as changes.
//!
//! A daemon that follows the store and one that only exchanges with it hold the same entries after
//! any sequence of writes, removals, lists and transfers. A change that is lost on this way would hide
//! an upstream, or keep one that is gone, until the entry is written again.

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;
use proptest::prelude::*;
use rstest::rstest;

use super::Entries;
use super::EntryChange;
use super::EntryChanges;
use super::Source;
use super::StoreCache;
use crate::peers::Numbered;
use crate::retry_budget::RetryLimit;
use crate::shared::Shared;

const RETRY_LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    allowance: 200.0,
};

fn store_cache() -> StoreCache {
    StoreCache::new(Arc::new(Shared::new("a", RETRY_LIMIT, 1)))
}

fn put(name: usize, text: u64) -> EntryChange {
    EntryChange {
        name: Arc::from(format!("e-{name}")),
        text: Some(Arc::from(text.to_string())),
    }
}

fn removal(name: usize) -> EntryChange {
    EntryChange {
        text: None,
        ..put(name, 0)
    }
}

/// Brings `follower` up to date with `source`, by changes where these are known.
fn transfer(source: &StoreCache, follower: &StoreCache) -> bool {
    let changes = source.changes_since(follower.entries_version());
    let is_partial = changes.is_some();
    match changes {
        Some(changes) => follower.apply_peer_changes::<Numbered>(changes),
        None => follower.put_entries::<Numbered>(source.entries(), Source::Peer),
    }
    is_partial
}

/// What happens to the store or between daemons.
#[derive(Clone, Debug)]
enum Event {
    /// Entries are written and removed, and the watcher gets all changes at once.
    Changes(Vec<(usize, Option<u64>)>),
    /// The watcher replaces its entries by a list.
    List,
    /// The store is restored from an older copy, which has only these entries.
    Restore(Vec<usize>),
    /// A daemon brings another one up to date.
    Transfer { from: usize, to: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let change = (0..12usize, prop::option::weighted(0.7, 0..100u64));
    prop_oneof![
        6 => prop::collection::vec(change, 1..5).prop_map(Event::Changes),
        1 => Just(Event::List),
        1 => prop::collection::vec(0..12usize, 0..6).prop_map(Event::Restore),
        6 => (0..4usize, 0..4usize).prop_map(|(from, to)| Event::Transfer { from, to }),
    ]
}

proptest! {
    /// Daemon 0 follows the store; the others only exchange with each other and with it.
    #[test]
    fn transfers_lead_to_the_entries_of_the_store(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let daemons: Vec<StoreCache> = (0..4).map(|_| store_cache()).collect();
        let mut store = Entries {
            version: Version::initial(1),
            ..Entries::default()
        };
        daemons[0].put_entries::<Numbered>(store.clone(), Source::Store);
        for event in events {
            match event {
                Event::Changes(changes) => {
                    store.version.revision += changes.len() as u64;
                    let change = |(name, text): (usize, Option<u64>)| match text {
                        Some(text) => put(name, text),
                        None => removal(name),
                    };
                    let changes: Vec<EntryChange> = changes.into_iter().map(change).collect();
                    for EntryChange { name, text } in changes.clone() {
                        match text {
                            Some(text) => store.texts.insert(name, text),
                            None => store.texts.remove(&name),
                        };
                    }
                    daemons[0].change_entries::<Numbered>(changes, store.version);
                }
                Event::List => {
                    store.version.revision += 1;
                    daemons[0].put_entries::<Numbered>(store.clone(), Source::Store);
                }
                Event::Restore(names) => {
                    store.version = Version::new(Era(store.version.era.0 + 1), 1);
                    let entries = names.into_iter().map(|n| put(n, 7));
                    store.texts = entries.filter_map(|c| Some((c.name, c.text?))).collect();
                    daemons[0].put_entries::<Numbered>(store.clone(), Source::Store);
                }
                Event::Transfer { from, to } => {
                    if daemons[from].entries_version() > daemons[to].entries_version() {
                        transfer(&daemons[from], &daemons[to]);
                        prop_assert_eq!(daemons[from].entries(), daemons[to].entries());
                    }
                }
            }
            prop_assert_eq!(&daemons[0].entries(), &store);
        }
    }
}

/// The cost of a change must not grow with the fleet: in a fleet of thousands of upstreams a few
/// change at any time.
#[test]
fn peer_that_lags_a_little_gets_only_the_changes() {
    const ENTRIES: usize = 3_000;
    let (source, follower) = (store_cache(), store_cache());
    let all = (0..ENTRIES).map(|n| put(n, 1));
    let list = Entries {
        version: Version::initial(1),
        texts: all.filter_map(|c| Some((c.name, c.text?))).collect(),
    };
    source.put_entries::<Numbered>(list, Source::Store);
    assert!(!transfer(&source, &follower), "a newcomer gets all entries");
    let changes = vec![put(5, 2), removal(6), put(ENTRIES, 1)];
    source.change_entries::<Numbered>(changes, Version::initial(4));
    let sent = source.changes_since(follower.entries_version());
    assert_eq!(sent.map(|c| c.changes.len()), Some(3));
    assert!(transfer(&source, &follower));
    assert_eq!(source.entries(), follower.entries());
}

/// Changes that don't continue the held entries leave them as they are.
#[rstest]
#[case::after_a_gap(Version::initial(11), Version::initial(12))]
#[case::of_an_older_version(Version::initial(3), Version::initial(9))]
#[case::of_a_later_era(Version::new(Era(1), 2), Version::new(Era(1), 20))]
#[case::of_the_held_version(Version::initial(9), Version::initial(10))]
fn changes_that_do_not_continue_the_entries_are_ignored(
    #[case] base: Version,
    #[case] version: Version,
) {
    let daemon = store_cache();
    let held = Entries {
        version: Version::initial(10),
        texts: [put(1, 1)]
            .into_iter()
            .filter_map(|c| Some((c.name, c.text?)))
            .collect(),
    };
    daemon.put_entries::<Numbered>(held.clone(), Source::Store);
    daemon.apply_peer_changes::<Numbered>(EntryChanges {
        base,
        version,
        changes: vec![put(1, 2), put(2, 1)],
    });
    assert_eq!(daemon.entries(), held);
}
