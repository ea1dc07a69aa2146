//! Answers of daemons in separate processes while engines, services and the store fail.

mod relay_site;

use std::time::Duration;

use reqwest::Method;
use rstest::rstest;

use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::configuration;
use relay_site::daemon::Relay;
use relay_site::daemon::RetryBudget;
use relay_site::engine::Engine;
use relay_site::engine::Fault;
use relay_site::engine::covers_all_layers;
use relay_site::engine::find_inner_engine;
use relay_site::route;

/// Counter of path changes that engines accepted.
const REROUTES_METRIC: &str = "kelpworks_reroutes_total{outcome=\"accepted\"}";
/// Counter of retries that a daemon has made.
const RETRIES_METRIC: &str = "kelpworks_repeats_total{outcome=\"taken\"}";

#[rstest]
#[case::cut("cut", Fault::Cut(3))]
#[case::silent("silent", Fault::Stall(3, Duration::from_secs(20)))]
#[tokio::test]
async fn failed_stream_resumes_on_another_engine_without_missing_or_duplicate_events(
    #[case] name: &str,
    #[case] fault: Fault,
) {
    let site = Site::start(&format!("resume-{name}"), 1).await;
    site.engines.inject_fault_everywhere(fault);
    let rest = site.daemons[0].start_stream("r-1", 12).await;
    site.engines.clear_faults();
    let body = rest.await;
    let ids = body.lines().filter_map(|l| l.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|id| id.parse().expect("a number")).collect();
    assert_eq!(ids, (1..=12).collect::<Vec<u64>>());
    let runs = site.engines.runs();
    assert!(runs.len() >= 2, "{runs:?}");
    assert!(runs.iter().all(|r| covers_all_layers(&r.hops)), "{runs:?}");
    assert_eq!(runs[1].after, 3, "{runs:?}");
}

#[tokio::test]
async fn stream_is_rerouted_around_a_stalled_engine_without_a_retry() {
    let domain = ["hall-a", "hall-a"];
    let site = Site::start_in_domains("reroute", 1, RetryBudget::default(), &domain).await;
    let daemon = &site.daemons[0];
    let mut streams = Vec::new();
    let stalled = loop {
        let id = format!("p-{}", streams.len());
        streams.push(tokio::spawn(daemon.start_stream(&id, 150).await));
        if let Some(inner) = find_inner_engine(&site.engines.runs()) {
            break inner;
        }
        assert!(streams.len() < 40, "{:?}", site.engines.runs());
    };
    let before = daemon.counter(RETRIES_METRIC).await;
    site.engines.stall(&stalled);
    let count = streams.len();
    for stream in streams {
        let body = stream.await.expect("no panic");
        assert_eq!(body.matches("id: ").count(), 150, "{}", daemon.log());
    }
    assert_eq!(site.engines.runs().len(), count, "no request ran again");
    assert_eq!(daemon.counter(RETRIES_METRIC).await, before);
    assert!(daemon.counter(REROUTES_METRIC).await > 0);
}

/// Guards against dropping a stalled stream before its retry is granted: when the retry was
/// refused, the caller's stream was cut off.
#[tokio::test]
async fn stalled_stream_is_kept_when_the_retry_budget_is_empty() {
    let none = RetryBudget {
        window: "10 s",
        ratio: 0.0,
        slack: 0.0,
    };
    let site = Site::start_with_budget("kept", 1, none).await;
    let pause = Duration::from_millis(700);
    site.engines.inject_fault_everywhere(Fault::Stall(3, pause));
    let answer = site.daemons[0].stream("k-1", 12).await.expect("an answer");
    assert_eq!(answer.ids(), (1..=12).collect::<Vec<u64>>());
    assert_eq!(site.engines.runs().len(), 1);
}

/// Guards against cutting a stalled stream off when the attempt that was to resume it is refused.
#[tokio::test]
async fn stalled_stream_is_resumed_when_the_next_attempt_is_refused() {
    let one = RetryBudget {
        window: "1 s",
        ratio: 0.0,
        slack: 1.2,
    };
    let site = Site::start_with_budget("back", 1, one).await;
    // Until then the daemon shares the single retry of the budget with peers that it assumes to
    // exist.
    tokio::time::sleep(Duration::from_millis(3_300)).await;
    let pause = Duration::from_millis(900);
    site.engines.inject_fault_everywhere(Fault::Stall(3, pause));
    let rest = site.daemons[0].start_stream("b-1", 12).await;
    site.engines.inject_fault_everywhere(Fault::Refuse);
    let body = rest.await;
    assert_eq!(
        body.matches("id: ").count(),
        12,
        "{}",
        site.daemons[0].log()
    );
}

/// Guards against requests without a path that use up the retries that streams need to resume.
#[tokio::test]
async fn request_without_a_path_is_refused_and_consumes_no_retry() {
    let site = Site::start("no-path", 1).await;
    for engine in site.engines.all() {
        site.store.delete("servers", &engine.instance);
    }
    let daemon = &site.daemons[0];
    wait_until(async || daemon.stream("n-1", 4).await.is_ok_and(|a| a.status == 503)).await;
    let before = daemon.counter(RETRIES_METRIC).await;
    let answer = daemon.stream("n-2", 4).await.expect("an answer");
    assert_eq!((answer.status, answer.retry_after.is_some()), (503, true));
    assert_eq!(daemon.counter(RETRIES_METRIC).await, before);
}

#[rstest]
#[case::lost("/once/reset", 502, 1)]
#[case::another_request("/once/foreign", 502, 1)]
#[case::refused("/once/full", 503, 0)]
#[tokio::test]
async fn non_idempotent_call_runs_at_most_once_and_a_refused_one_not_at_all(
    #[case] path: &str,
    #[case] status: u16,
    #[case] ran: u32,
) {
    let site = Site::start(&format!("once-{}", path.replace('/', "-")), 1).await;
    let daemon = &site.daemons[0];
    let req = daemon.request(Method::POST, path, "o-1").body("x");
    let answer = daemon.send(req).await.expect("an answer");
    assert_eq!(answer.status, status);
    assert_eq!(site.app.run_count("o-1"), ran);
    assert_eq!(answer.retry_after.is_some(), status == 503);
}

/// Guards against a third attempt: two engines that had tried a request were deregistered and still
/// worked on it, and a third one got the request.
#[tokio::test]
async fn deregistered_engines_still_count_as_tried() {
    let domains = ["hall-a", "hall-b", "hall-c"];
    let site = Site::start_in_domains("tried", 1, RetryBudget::default(), &domains).await;
    let pause = Duration::from_millis(1_500);
    site.engines
        .inject_fault_everywhere(Fault::StallThenCut(2, pause));
    let firsts = async || {
        let mut firsts: Vec<String> = site.engines.runs().into_iter().map(|r| r.first).collect();
        firsts.sort_unstable();
        firsts.dedup();
        for first in &firsts {
            site.store.delete("servers", first);
        }
        firsts
    };
    let caller = tokio::spawn(site.daemons[0].stream_request("f-1", 12).send());
    wait_until(async || firsts().await.len() == 2).await;
    tokio::time::sleep(pause * 2).await;
    assert_eq!(firsts().await.len(), 2);
    caller.abort();
}

#[tokio::test]
async fn engine_work_ends_soon_after_the_caller_disconnects() {
    let site = Site::start("left", 1).await;
    let rest = site.daemons[0].start_stream("l-1", 2_000).await;
    assert_eq!(site.engines.active_streams(), 1);
    drop(rest);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(site.engines.active_streams(), 0);
}

#[tokio::test]
async fn daemon_cut_off_from_the_store_gets_changes_from_a_peer() {
    let mut site = Site::start("peers", 1).await;
    let (second, handle) = site.store.second_address().await;
    let relay = Relay::start("peers", 1, second, &site.daemons, &RetryBudget::default());
    site.daemons.push(relay);
    let cut_off = &site.daemons[1];
    wait_until(async || get_status(cut_off, "/often/x").await == Ok(200)).await;
    handle.stop_forceful();
    let mut newer = configuration(9);
    newer["routes"] = serde_json::json!([route("often", "/later/", "idempotent", "app")]);
    site.store.put("config", "main", newer);
    wait_until(async || get_status(cut_off, "/later/x").await == Ok(200)).await;
    assert_eq!(get_status(cut_off, "/often/x").await, Ok(404));
}

/// Guards against watches that are lost in an outage right after a change: all daemons missed later
/// changes until those watches had waited for 22 s.
#[tokio::test]
async fn change_after_a_store_outage_takes_effect_without_a_failed_call() {
    let site = Site::start("unanswered", 3).await;
    let put = |version: u64, prefix: &str| {
        let mut newer = configuration(version);
        newer["routes"] = serde_json::json!([route("often", prefix, "idempotent", "app")]);
        site.store.put("config", "main", newer);
    };
    let in_force = async |path: &str| {
        for daemon in &site.daemons {
            wait_until(async || get_status(daemon, path).await == Ok(200)).await;
        }
    };
    put(9, "/second/");
    in_force("/second/x").await;
    // The change completed the open watches; the next ones are never answered.
    site.store.set_hanging(true);
    tokio::time::sleep(Duration::from_millis(600)).await;
    site.store.set_hanging(false);
    put(12, "/third/");
    in_force("/third/x").await;
}

/// What a starting daemon lacks when its first requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Missing {
    /// The store answers every call with 503.
    Everything,
    /// The store has lost the registrations, and engines have not renewed them yet.
    Registrations,
}

/// Guards against final refusals before the store's first answers: all daemons had been killed at
/// once, and callers that came back in the 20 ms before those answers were refused for good.
#[rstest]
#[case::everything(Missing::Everything)]
#[case::registrations(Missing::Registrations)]
#[tokio::test]
async fn starting_daemon_answers_requests_that_came_before_its_first_store_reply(
    #[case] missing: Missing,
) {
    let mut site = Site::start(&format!("young-{missing:?}"), 1).await;
    match missing {
        Missing::Everything => site.store.set_down(true),
        Missing::Registrations => {
            for engine in site.engines.all() {
                site.store.delete("servers", &engine.instance);
            }
            site.store.delete("servers", "s-0");
        }
    }
    let name = format!("young-{missing:?}");
    let starting = Relay::start(&name, 1, site.store.address, &[], &RetryBudget::default());
    site.daemons.push(starting);
    let starting = &site.daemons[1];
    wait_until(async || {
        tokio::net::TcpStream::connect(starting.callers)
            .await
            .is_ok()
    })
    .await;
    let stream = tokio::spawn(starting.stream_request("y-1", 4).send());
    let call = tokio::spawn(starting.request(Method::GET, "/often/x", "y-2").send());
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.store.set_down(false);
    site.heartbeat();
    site.store.put("servers", "s-0", site.app.entry());
    for waiting in [stream, call] {
        let answer = waiting.await.expect("no panic").expect("an answer");
        assert_eq!(answer.status(), 200, "{}", starting.log());
    }
}

#[tokio::test]
async fn streams_are_served_while_the_store_is_down() {
    let site = Site::start("store-down", 2).await;
    site.store.set_down(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for daemon in &site.daemons {
        let answer = daemon.stream("d-1", 4).await.expect("an answer");
        assert_eq!((answer.status, answer.ids().len()), (200, 4));
    }
}

/// Guards against layers that are not placed in a store outage: an engine died while the store was
/// down, and its layers were placed nowhere for eight seconds, since no daemon could hold the
/// lease.
#[tokio::test]
async fn layers_are_placed_while_the_store_is_down_and_the_lease_holder_is_gone() {
    let mut site = Site::start("stand-in", 3).await;
    let holds = |d: &Relay| d.log().contains("\"reason\":\"acquired\"");
    wait_until(async || site.daemons.iter().any(holds)).await;
    let holder = site.daemons.iter().position(holds).expect("a holder");
    drop(site.daemons.remove(holder));
    let engine = Engine::start(&site.engines, "e-new", "hall-a").await;
    site.store.put("servers", &engine.instance, engine.entry());
    let knows_engine = |d: &Relay| d.log().contains("e-new");
    wait_until(async || site.daemons.iter().all(knows_engine)).await;
    site.store.set_down(true);
    wait_until(async || engine.loaded_layers().is_some()).await;
    let knows_layers = |d: &Relay| {
        let log = d.log();
        log.contains("layers loaded") || log.contains("layers reported by peer")
    };
    wait_until(async || site.daemons.iter().all(knows_layers)).await;
    assert_eq!(engine.orders(), 1);
}

async fn get_status(daemon: &Relay, path: &str) -> Result<u16, String> {
    let req = daemon.request(Method::GET, path, "g-1");
    let answer = daemon.send(req).await.map_err(|e| e.to_string())?;
    Ok(answer.status)
}

async fn wait_until(check: impl AsyncFn() -> bool) {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !check().await {
        assert!(
            tokio::time::Instant::now() < end,
            "the condition did not hold in time"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until every daemon has this version of the configuration, or a later one, in force.
async fn wait_until_in_force(site: &Site, version: u64) {
    for daemon in &site.daemons {
        let in_force = async {
            while daemon.counter("kelpworks_config_version").await < version {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let in_time = tokio::time::timeout(WAIT_TIMEOUT, in_force).await;
        assert!(in_time.is_ok(), "version {version}: {}", daemon.log());
    }
}

/// A store that is restored from an older copy reuses revisions. Guards against daemons that keep
/// watching from a reused revision: they would miss new writes, and reject objects that look older
/// than those they have.
#[tokio::test]
async fn changes_take_effect_after_the_store_is_restored_from_an_older_copy() {
    let site = Site::start("restored", 3).await;
    site.store.take_snapshot();
    for version in 4..=9 {
        site.store.put("config", "main", configuration(version));
        wait_until_in_force(&site, version).await;
    }
    site.store.restore();
    for version in [9, 10] {
        site.store.put("config", "main", configuration(version));
    }
    wait_until_in_force(&site, 10).await;
    for daemon in &site.daemons {
        assert_eq!(daemon.counter("kelpworks_store_era").await, 1);
    }
}
