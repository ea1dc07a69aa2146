//! The fake host list, the fake plain service and the link.

mod support;

use std::time::Duration;

use reqwest::Client;
use reqwest::StatusCode;
use rstest::rstest;

use kelpworks_fakes::Execution;
use kelpworks_fakes::FakeHostList;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use kelpworks_fakes::HostListConfig;
use kelpworks_fakes::Link;
use kelpworks_fakes::LinkState;
use kelpworks_fakes::PlainService;
use kelpworks_fakes::PlainServiceConfig;
use kelpworks_wire::HostEntry;
use kelpworks_wire::HostList;
use kelpworks_wire::HostState;
use support::client;
use support::get;
use support::post;
use support::reply_timeout;

fn host(name: &str) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        failure_domain: "domain-0".to_owned(),
        state: HostState::Live,
    }
}

#[rstest]
#[case::at_once(Duration::ZERO, true)]
#[case::late(Duration::from_secs(3600), false)]
#[tokio::test]
async fn host_list_change_is_visible_after_lag(#[case] lag: Duration, #[case] shown: bool) {
    let cfg = HostListConfig {
        lag,
        hosts: vec![host("a"), host("b")],
        ..HostListConfig::default()
    };
    let list = FakeHostList::spawn(cfg).await.unwrap();
    let before: HostList = get(&list.url(), "/hosts").await;
    list.set_state("a", HostState::Leaving);
    list.remove("b");
    list.set_host(host("c"));
    let after: HostList = get(&list.url(), "/hosts").await;
    assert_eq!(after != before, shown);
    let truth: HostList = get(&list.url(), "/fake/hosts").await;
    let states: Vec<HostState> = truth.hosts.iter().map(|h| h.state).collect();
    assert_eq!(states, [HostState::Leaving, HostState::Live]);
    assert_eq!(truth.version, before.version + 3);
}

async fn service() -> PlainService {
    let cfg = PlainServiceConfig::new("jobs-0", "jobs");
    PlainService::spawn(cfg).await.unwrap()
}

async fn issue(service: &PlainService, key: &str) -> reqwest::Result<Execution> {
    let req = client().post(format!("{}/certificates?x=1", service.url()));
    let res = req
        .header("idempotency-key", key)
        .body("valve 7")
        .send()
        .await?;
    res.error_for_status()?.json().await
}

#[tokio::test]
async fn plain_service_ledger_records_each_execution() {
    let service = service().await;
    let first = issue(&service, "k").await.unwrap();
    let _: Execution = get(&service.url(), "/jobs/7").await;
    let ledger: Vec<Execution> = get(&service.url(), "/fake/ledger").await;
    assert_eq!(ledger[0], first);
    insta::assert_snapshot!(serde_json::to_string_pretty(&ledger).unwrap());
}

#[rstest]
#[case::reset_before(FaultKind::ResetBefore, 0)]
#[case::reset_after(FaultKind::ResetAfter, 1)]
#[case::cut_body(FaultKind::CutBody, 1)]
#[case::status(FaultKind::Status(500), 0)]
#[case::status_after(FaultKind::StatusAfter(500), 1)]
#[tokio::test]
async fn ledger_shows_whether_failed_call_ran(#[case] kind: FaultKind, #[case] runs: usize) {
    let service = service().await;
    service.faults().add(Fault::once(kind).on("/certificates"));
    assert!(issue(&service, "k").await.is_err());
    assert_eq!(service.runs_of("k"), runs);
}

#[rstest]
#[case::staying(false, StatusCode::OK)]
#[case::leaving(true, StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn healthz_is_unavailable_while_leaving(#[case] leaving: bool, #[case] wanted: StatusCode) {
    let service = service().await;
    post(&service.url(), "/fake/leaving", &leaving)
        .await
        .unwrap();
    let url = format!("{}/healthz", service.url());
    assert_eq!(client().get(url).send().await.unwrap().status(), wanted);
}

/// Returns whether a call is answered; `wanted` only selects the timeout.
async fn answered(client: &Client, url: &str, wanted: bool) -> bool {
    let call = async { client.get(url).send().await?.bytes().await };
    matches!(
        tokio::time::timeout(reply_timeout(wanted), call).await,
        Ok(Ok(_))
    )
}

#[rstest]
#[case::pass(LinkState::Pass, true, true)]
#[case::cut(LinkState::Cut, false, false)]
#[case::silence_existing(LinkState::SilenceExisting, false, true)]
#[case::silence_all(LinkState::SilenceAll, false, false)]
#[case::silence_forward(LinkState::SilenceForward, false, false)]
#[case::silence_back(LinkState::SilenceBack, false, false)]
#[case::delay(LinkState::Delay(Duration::from_millis(1)), true, true)]
#[tokio::test]
async fn link_state_applies_to_existing_and_new_connections(
    #[case] state: LinkState,
    #[case] old: bool,
    #[case] new: bool,
) {
    let service = service().await;
    let link = Link::spawn(service.addr()).await.unwrap();
    let url = format!("{}/jobs/1", link.url());
    let kept = client();
    assert!(answered(&kept, &url, true).await);
    link.set(state);
    if state == LinkState::Cut {
        while answered(&client(), &url, true).await {}
    }
    assert_eq!(answered(&kept, &url, old).await, old);
    assert_eq!(answered(&client(), &url, new).await, new);
    link.set(LinkState::Pass);
    while !answered(&client(), &url, true).await {}
}

#[rstest]
#[case::forward(LinkState::SilenceForward, 0)]
#[case::back(LinkState::SilenceBack, 1)]
#[tokio::test]
async fn link_silences_one_direction(#[case] state: LinkState, #[case] runs: usize) {
    let service = service().await;
    let link = Link::spawn(service.addr()).await.unwrap();
    link.set(state);
    assert!(!answered(&client(), &link.url(), false).await);
    assert_eq!(service.ledger().len(), runs);
}
