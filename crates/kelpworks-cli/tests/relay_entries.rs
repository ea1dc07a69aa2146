//! Invalid and conflicting registrations, and upstreams that restart, with daemons in separate
//! processes.

mod relay_site;

use std::time::Duration;

use reqwest::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::engine::Engine;
use relay_site::engine::covers_all_layers;

/// Polls until a condition holds, and meanwhile publishes the engines' entries as their heartbeats
/// would.
async fn wait_until(site: &Site, mut holds: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < end,
            "{}",
            site.daemons[0].log()
        );
        site.heartbeat();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn is_served(site: &Site, id: &str) -> bool {
    let stream = site.daemons[0].stream(id, 4).await;
    stream.is_ok_and(|a| a.status == 200 && a.ids() == [1, 2, 3, 4])
}

/// One field of a valid entry is replaced, or removed where the value is `null`.
#[rstest]
#[case::no_service("service", Value::Null)]
#[case::service_is_a_number("service", json!(7))]
#[case::service_is_unknown("service", json!("nowhere"))]
#[case::no_address("address", Value::Null)]
#[case::address_without_port("address", json!("127.0.0.1"))]
#[case::domain_is_a_list("zone", json!(["hall-a"]))]
#[case::no_slots("slots", Value::Null)]
#[case::slots_below_zero("slots", json!(-1))]
#[case::unknown_state("state", json!("asleep"))]
#[case::no_version("version", Value::Null)]
#[case::count_is_text("seq", json!("1"))]
#[case::start_is_text("born", json!("1700000000000"))]
#[case::start_is_a_fraction("born", json!(1.5))]
#[case::start_below_zero("born", json!(-5))]
#[case::start_in_the_future("born", json!(32_503_680_000_000_u64))]
#[case::layers_backwards("layers", json!({"from": 9, "to": 3, "version": 1}))]
#[case::layers_are_text("layers", json!("0-12"))]
#[tokio::test]
async fn invalid_entry_is_ignored_and_valid_entries_stay_in_use(
    #[case] field: &str,
    #[case] value: Value,
) {
    let site = Site::start(&format!("off-{field}-{}", value.to_string().len()), 1).await;
    // An unknown engine whose entry alone claims all layers, at an address where nothing listens.
    let mut entry = site.engines.all()[0].entry();
    entry["address"] = json!("127.0.0.1:9");
    entry["layers"] = json!({"from": 0, "to": 12, "version": 1});
    match value.is_null() {
        true => drop(entry.as_object_mut().expect("an object").remove(field)),
        false => entry[field] = value,
    }
    site.store.put("servers", "stranger", entry);
    // Entries that are written later are still read.
    site.store.put("servers", "s-0", {
        let mut app = site.app.entry();
        app["seq"] = json!(2);
        app
    });
    tokio::time::sleep(Duration::from_millis(400)).await;
    for i in 0..8 {
        assert!(
            is_served(&site, &format!("off-{i}")).await,
            "{}",
            site.daemons[0].log()
        );
    }
    let runs = site.engines.runs();
    assert_eq!(runs.len(), 8);
    assert!(
        runs.iter()
            .all(|r| covers_all_layers(&r.hops) && !r.path.contains(&"stranger".to_owned()))
    );
}

/// Lists and watch events of the store contain objects and bytes that can't be parsed as objects.
#[tokio::test]
async fn unreadable_objects_do_not_affect_other_objects() {
    let mut site = Site::start("unreadable", 1).await;
    let spec = site.engines.all()[0].entry();
    let nameless = json!({"metadata": {"revision": 3}, "spec": spec});
    let odd = json!({"metadata": {"name": "odd", "revision": "three"}, "spec": spec});
    let text = json!({"metadata": {"name": "text", "revision": 4}, "spec": "\u{0}\u{fffd}"});
    // In watch events: the first object has no name by which to skip it, so the daemon lists again.
    site.store.put_raw_object("nameless", nameless);
    site.store.put_raw_object("odd", odd);
    site.store.put_raw_object("text", text);
    site.store
        .put_bytes(b"{\"metadata\":{\"name\":\"bytes\xff\xfe\"},\"spec\":1e999}");
    site.store.put_bytes(b"[[[[]]]]");
    site.store.compact_history();
    site.store.put("servers", "s-0", {
        let mut app = site.app.entry();
        app["seq"] = json!(2);
        app
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    for i in 0..4 {
        assert!(
            is_served(&site, &format!("u-{i}")).await,
            "{}",
            site.daemons[0].log()
        );
    }
    // A starting daemon reads the whole list.
    let address = site.store.address;
    let budget = relay_site::daemon::RetryBudget::default();
    let late = relay_site::daemon::Relay::start("unreadable", 1, address, &site.daemons, &budget);
    site.daemons.insert(0, late);
    wait_until(&site, async || is_served(&site, "late").await).await;
    assert!(site.daemons[0].log().contains("can't be read"));
}

/// An upstream whose entry becomes invalid is not used until its entry is valid again.
#[tokio::test]
async fn entry_that_becomes_invalid_is_no_longer_used() {
    let site = Site::start("turns-bad", 1).await;
    let daemon = &site.daemons[0];
    let get = async |id: &str| {
        let req = daemon.request(Method::GET, "/often/x", id);
        daemon.send(req).await.expect("an answer").status
    };
    assert_eq!(get("before").await, 200);
    let mut app = site.app.entry();
    app["state"] = json!("retired");
    site.store.put("servers", "s-0", app);
    wait_until(&site, async || get("after").await == 503).await;
    site.store.put("servers", "s-0", site.app.entry());
    wait_until(&site, async || get("again").await == 200).await;
    let warned = daemon.log().matches("upstream left out").count();
    assert_eq!(warned, 1, "a line for the change, not for each read");
}

/// Engines that restart under their ids have no layers until they get new orders. Guards against a
/// daemon that uses the order count it remembers from before the restart.
#[rstest]
#[case::one(1)]
#[case::all(4)]
#[tokio::test]
async fn restarted_engines_are_assigned_layers_again(#[case] count: usize) {
    let site = Site::start(&format!("again-{count}"), 1).await;
    assert!(is_served(&site, "before").await);
    let engines = site.engines.all();
    for engine in &engines[..count] {
        engine.restart();
    }
    wait_until(&site, async || {
        engines.iter().all(|e| e.loaded_layers().is_some())
    })
    .await;
    wait_until(&site, async || is_served(&site, "after").await).await;
    assert!(engines[..count].iter().all(|e| e.orders() == 1));
    assert!(
        site.engines
            .runs()
            .iter()
            .all(|r| covers_all_layers(&r.hops))
    );
}

/// The store has, beside an engine's entry, that of the engine which had its address before.
#[tokio::test]
async fn older_entry_at_the_same_address_is_not_used() {
    let site = Site::start("two-entries", 1).await;
    for engine in site.engines.all() {
        let mut old = engine.entry();
        old["born"] = json!(1_600_000_000_000_u64);
        old["layers"] = json!({"from": 0, "to": 12, "version": 1});
        let name = format!("old-{}", engine.instance);
        site.store.put("servers", &name, old);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    site.engines.clear_runs();
    for i in 0..8 {
        assert!(
            is_served(&site, &format!("two-{i}")).await,
            "{}",
            site.daemons[0].log()
        );
    }
    assert_eq!(
        site.engines.runs().len(),
        8,
        "nothing was refused and sent again"
    );
}

/// An entry claims an engine's address with a later start time than the engine's own. The engine
/// refuses the first request that is meant for the claimant, and the daemon sends no more of them.
#[tokio::test]
async fn answer_that_names_another_upstream_determines_the_address_owner() {
    let site = Site::start("settled", 1).await;
    let daemon = &site.daemons[0];
    for engine in site.engines.all() {
        let mut claim = engine.entry();
        claim["born"] = json!(1_700_000_900_000_u64);
        let name = format!("claim-{}", engine.instance);
        site.store.put("servers", &name, claim);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    wait_until(&site, async || is_served(&site, "first").await).await;
    let refused = daemon.log().matches("refused by the upstream").count();
    site.engines.clear_runs();
    for i in 0..6 {
        assert!(
            is_served(&site, &format!("then-{i}")).await,
            "{}",
            daemon.log()
        );
    }
    let later = daemon.log().matches("refused by the upstream").count();
    assert!(daemon.log().contains("an answer from the address"));
    assert!(refused > 0 && later <= refused + site.engines.all().len());
}

/// A refusal that a later engine of the path gave under its own name does not show which upstream
/// owns the first engine's address.
#[tokio::test]
async fn refusal_by_a_later_engine_keeps_the_address_owner_of_the_first() {
    let site = Site::start("later-engine", 1).await;
    let daemon = &site.daemons[0];
    let engines = site.engines.all();
    let is_never_first = |e: &&Engine| e.loaded_layers().is_some_and(|(from, _)| from > 0);
    for engine in engines.iter().filter(is_never_first) {
        engine.unload_layers();
    }
    for i in 0..6 {
        let _ = daemon.stream(&format!("later-{i}"), 4).await;
    }
    assert!(
        daemon.log().contains("refused by the upstream"),
        "{}",
        daemon.log()
    );
    assert!(!daemon.log().contains("an answer from the address"));
}
