//! The HTTP interface of the fake object API.

mod support;

use std::pin::pin;
use std::time::Duration;

use reqwest::Method;
use rstest::rstest;

use kelpworks_fakes::ApiMode;
use kelpworks_fakes::CallCounts;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use kelpworks_fakes::ObjectApi;
use kelpworks_fakes::ObjectApiConfig;
use kelpworks_wire::ObjectBody;
use kelpworks_wire::WatchReply;
use support::client;
use support::get;
use support::reply_timeout;

async fn api() -> ObjectApi {
    ObjectApi::spawn(ObjectApiConfig::default()).await.unwrap()
}

/// Returns the status and body of a call, or `connection lost`.
async fn call(api: &ObjectApi, method: Method, path: &str, body: &str) -> String {
    call_for(api, method, path, body, reply_timeout(true)).await
}

async fn call_for(
    api: &ObjectApi,
    method: Method,
    path: &str,
    body: &str,
    wait: Duration,
) -> String {
    let url = format!("{}{path}", api.url());
    let body = ObjectBody {
        body: body.to_owned(),
    };
    let sent = client().request(method, url).json(&body).send();
    match tokio::time::timeout(wait, sent).await {
        Err(_) => "silence".to_owned(),
        Ok(Err(_)) => "connection lost".to_owned(),
        Ok(Ok(res)) => {
            let status = res.status().as_u16();
            format!("{status} {}", res.text().await.unwrap_or_default())
        }
    }
}

#[tokio::test]
async fn conditional_writes_and_watches_follow_versions() {
    let calls = [
        (Method::GET, "/objects/head/current", ""),
        (Method::PUT, "/objects/head/current?if_version=1", "a"),
        (Method::PUT, "/objects/head/current?if_version=0", "a"),
        (Method::PUT, "/objects/head/current?if_version=0", "b"),
        (Method::PUT, "/objects/head/current?if_version=1", "b"),
        (Method::PUT, "/objects/head/current", "c"),
        (Method::PUT, "/objects/lease/x", "held"),
        (Method::GET, "/objects/head/current", ""),
        (Method::GET, "/objects/head", ""),
        (Method::GET, "/objects/none", ""),
        (Method::GET, "/watch/head?from=0&wait_ms=60000", ""),
        (Method::GET, "/watch/head?from=2&wait_ms=60000", ""),
        (Method::GET, "/watch/head?from=4&wait_ms=0", ""),
        (Method::DELETE, "/objects/head/current?if_version=1", ""),
        (Method::DELETE, "/objects/head/current?if_version=3", ""),
        (Method::DELETE, "/objects/head/current", ""),
        (Method::GET, "/watch/head?from=3&wait_ms=60000", ""),
    ];
    let api = api().await;
    let mut log = String::new();
    for (method, path, body) in calls {
        let seen = call(&api, method.clone(), path, body).await;
        log += &format!("{method} {path} {body}\n  {seen}\n");
    }
    let counts = CallCounts {
        // Depends on which calls fall into the same second.
        peak_writes: 0,
        ..api.counts()
    };
    log += &format!("{counts:?}\n");
    insta::assert_snapshot!(log);
}

#[rstest]
#[case::reset_after(FaultKind::ResetAfter, "connection lost", "new")]
#[case::reset_before(FaultKind::ResetBefore, "connection lost", "old")]
#[case::silent_after(FaultKind::SilentAfter, "silence", "new")]
#[case::unavailable(FaultKind::Status(503), "503", "old")]
#[tokio::test]
async fn write_takes_effect_independently_of_its_reply(
    #[case] kind: FaultKind,
    #[case] seen: &str,
    #[case] left: &str,
) {
    let api = api().await;
    api.put("head", "current", "old");
    api.faults().add(Fault::once(kind).on("PUT /objects/head"));
    let wait = reply_timeout(seen != "silence");
    let got = call_for(&api, Method::PUT, "/objects/head/current", "new", wait).await;
    assert!(got.starts_with(seen), "{got}");
    assert_eq!(api.get("head", "current").unwrap().body, left);
}

#[rstest]
#[case::unavailable(ApiMode::Unavailable, "503")]
#[case::silent(ApiMode::Silent, "silence")]
#[tokio::test]
async fn outage_affects_calls_and_pending_watches(#[case] mode: ApiMode, #[case] seen: &str) {
    let api = api().await;
    let wait = reply_timeout(mode != ApiMode::Silent);
    let path = "/watch/head?from=0&wait_ms=600000";
    let mut watching = pin!(call(&api, Method::GET, path, ""));
    let outage = async {
        while api.counts().watches == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        api.set_mode(mode);
    };
    tokio::select! {
        biased;
        got = &mut watching => panic!("answered before the outage: {got}"),
        () = outage => {}
    }
    let watched = tokio::time::timeout(wait, watching).await;
    let watched = watched.unwrap_or_else(|_| "silence".to_owned());
    assert!(watched.starts_with(seen), "{watched}");
    let got = call_for(&api, Method::PUT, "/objects/head/current", "new", wait).await;
    assert!(got.starts_with(seen), "{got}");
    api.set_mode(ApiMode::Up);
    assert!(api.list("head").is_empty());
}

#[tokio::test]
async fn objects_survive_closing_and_reopening_the_port() {
    let api = api().await;
    api.put("head", "current", "a");
    api.set_listening(false);
    while call(&api, Method::GET, "/objects/head/current", "").await != "connection lost" {}
    api.set_listening(true);
    while call(&api, Method::GET, "/objects/head/current", "").await == "connection lost" {}
    assert_eq!(api.get("head", "current").unwrap().body, "a");
}

#[tokio::test]
async fn pending_watch_returns_next_change_of_its_kind() {
    let api = api().await;
    api.put("lease", "x", "a");
    let url = api.url();
    let watching = get::<WatchReply>(&url, "/watch/head?from=1&wait_ms=60000");
    let writing = async {
        while api.counts().watches == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        api.put("lease", "x", "b");
        api.put("head", "current", "c");
    };
    let (reply, ()) = tokio::join!(watching, writing);
    assert_eq!((reply.events.len(), reply.version), (1, 3));
    assert_eq!(reply.events[0].object.body, "c");
}

#[tokio::test]
async fn stale_read_and_expired_version_faults_apply_once() {
    let cfg = ObjectApiConfig {
        history: 1,
        ..ObjectApiConfig::default()
    };
    let api = ObjectApi::spawn(cfg).await.unwrap();
    api.put("head", "current", "old");
    api.put("head", "current", "new");
    api.faults().add(Fault::once(FaultKind::StaleRead));
    api.faults().add(Fault::once(FaultKind::ExpiredVersion));
    let mut seen = Vec::new();
    for path in [
        "/objects/head/current",
        "/objects/head/current",
        "/watch/head?from=2",
        "/watch/head?from=1",
        "/watch/head?from=0",
    ] {
        let got = call(&api, Method::GET, path, "").await;
        seen.push(got.replace("\"current\"", ""));
    }
    let wanted = ["old", "new", "410", "200", "410"];
    for (got, wanted) in seen.iter().zip(wanted) {
        assert!(got.contains(wanted), "{got}");
    }
}

#[tokio::test]
async fn calls_over_rate_and_oversized_bodies_are_refused() {
    let cfg = ObjectApiConfig {
        reads_per_second: 1,
        max_body: 10,
        ..ObjectApiConfig::default()
    };
    let api = ObjectApi::spawn(cfg).await.unwrap();
    let large = call(&api, Method::PUT, "/objects/head/current", "more than ten").await;
    assert!(large.starts_with("413"), "{large}");
    let reads = (0..40).map(|_| call(&api, Method::GET, "/objects/head", ""));
    let reads = futures_util::future::join_all(reads).await;
    let limited = reads.iter().filter(|r| r.starts_with("429")).count();
    assert!(limited > 0 && limited <= 39, "{limited}");
    assert_eq!(api.counts().limited, limited as u64);
}
