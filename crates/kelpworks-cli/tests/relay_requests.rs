//! Every kind of request to daemons in separate processes, without faults.

mod relay_site;

use std::time::Duration;

use reqwest::Method;
use rstest::rstest;
use rustix::process::Signal;

use relay_site::HOST;
use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::configuration;
use relay_site::engine::covers_all_layers;
use relay_site::route;

#[tokio::test]
async fn stream_runs_every_layer_once_and_in_order() {
    let site = Site::start("streams", 2).await;
    for (i, daemon) in site.daemons.iter().enumerate() {
        let answer = daemon
            .stream(&format!("s-{i}"), 8)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.ids(), (1..=8).collect::<Vec<u64>>());
    }
    let runs = site.engines.runs();
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|r| covers_all_layers(&r.hops)), "{runs:?}");
}

#[tokio::test]
async fn service_call_carries_the_team_and_not_its_key() {
    let site = Site::start("plain", 1).await;
    let daemon = &site.daemons[0];
    let req = daemon.request(Method::GET, "/often/x?y=1", "p-1");
    let answer = daemon.send(req).await.expect("an answer");
    assert_eq!((answer.status, &*answer.body), (200, "/often/x for team-a"));
}

#[rstest]
#[case::no_route("GET", "/nowhere/x", true, 404)]
#[case::no_key("GET", "/often/x", false, 401)]
#[case::large("POST", "/once/x", true, 413)]
#[tokio::test]
async fn invalid_request_gets_the_matching_status(
    #[case] method: Method,
    #[case] path: &str,
    #[case] with_key: bool,
    #[case] status: u16,
) {
    let site = Site::start(&format!("improper-{status}"), 1).await;
    let daemon = &site.daemons[0];
    let mut req = daemon.request(method, path, "i-1");
    if !with_key {
        let url = format!("http://{}{path}", daemon.callers);
        req = reqwest::Client::new().get(url).header("host", HOST);
    }
    if status == 413 {
        req = req.body(vec![b'x'; 70_000]);
    }
    let answer = daemon.send(req).await.expect("an answer");
    assert_eq!(answer.status, status);
}

#[tokio::test]
async fn newer_configuration_takes_effect_and_an_older_one_does_not() {
    let site = Site::start("config", 1).await;
    let daemon = &site.daemons[0];
    let mut newer = configuration(9);
    newer["routes"] = serde_json::json!([route("often", "/later/", "idempotent", "app")]);
    site.store.put("config", "main", newer);
    wait_until(async || get_status(daemon, "/later/x").await == 200).await;
    assert_eq!(get_status(daemon, "/often/x").await, 404);
    site.store.put("config", "main", configuration(4));
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(get_status(daemon, "/later/x").await, 200);
}

#[tokio::test]
async fn planned_stop_completes_running_streams() {
    let mut site = Site::start("stop", 1).await;
    let rest = site.daemons[0].start_stream("t-1", 200).await;
    site.daemons[0].signal(Signal::TERM);
    let body = rest.await;
    assert_eq!(body.matches("id: ").count(), 200);
    let readiness = format!("http://{}/readyz", site.daemons[0].readiness);
    let ready = reqwest::get(readiness).await.map(|r| r.status().as_u16());
    assert!(!matches!(ready, Ok(200)), "{ready:?}");
    assert!(site.daemons[0].wait_for_exit().await);
}

async fn get_status(daemon: &relay_site::daemon::Relay, path: &str) -> u16 {
    let req = daemon.request(Method::GET, path, "g-1");
    daemon.send(req).await.expect("an answer").status
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
