//! Keyed calls repeated on another daemon, which asks the one that made the claim.

mod claims_support;

use claims_support::Bench;
use claims_support::CLAIMS;
use claims_support::Got;
use claims_support::send;
use claims_support::until;
use kelpworks::claims::CLAIM_KIND;
use kelpworks::status::MemberState;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;

const MAY_HAVE_RUN: &str = "409 may-have-run";
const HEARTBEAT: &str = "heartbeat = \"100ms\"";

/// Two daemons that know each other, and a call through the first that runs on for long.
async fn running() -> (Bench, tokio::task::JoinHandle<Option<reqwest::Response>>) {
    let bench = Bench::start(2, HEARTBEAT).await;
    for host in 0..2 {
        bench.sees(host, 1, MemberState::Live).await;
    }
    bench.fault(&Fault::once(FaultKind::SilentAfter).on("POST /"));
    let call = bench.keyed(0, "k");
    let first = tokio::spawn(async move { call.send().await.ok() });
    until(async || (bench.runs("POST") == 1).then_some(())).await;
    (bench, first)
}

fn says(got: &Got, kind: &str) -> bool {
    String::from_utf8_lossy(&got.body).contains(kind)
}

#[tokio::test]
async fn a_repeat_elsewhere_is_told_that_the_call_is_running() {
    let (bench, first) = running().await;
    let got = send(bench.keyed(1, "k")).await;
    assert_eq!((got.line().as_str(), got.retry_after), (MAY_HAVE_RUN, true));
    assert!(says(&got, "in_progress"), "{got:?}");
    assert_eq!(bench.runs("POST"), 1);
    first.abort();
}

#[tokio::test]
async fn a_call_whose_daemon_died_may_have_run_and_never_runs_again() {
    let (mut bench, first) = running().await;
    bench.hosts[0].kill();
    let _ = first.await;
    // At once, and again when the daemon is known to be dead.
    for known in [false, true] {
        if known {
            bench.sees(1, 1, MemberState::Down).await;
        }
        let got = send(bench.keyed(1, "k")).await;
        assert_eq!((got.line().as_str(), got.retry_after), (MAY_HAVE_RUN, true));
        assert!(!says(&got, "in_progress"), "{got:?}");
    }
    assert_eq!(bench.runs("POST"), 1);
}

/// The outcome can't be recorded; the daemon that ran the call gives it to the other.
#[tokio::test]
async fn an_outcome_that_is_not_recorded_comes_from_its_daemon() {
    let bench = Bench::start(2, HEARTBEAT).await;
    bench.sees(1, 1, MemberState::Live).await;
    bench.fault(&Fault::once(FaultKind::DelayReply(500)).on("POST /"));
    let call = bench.keyed(0, "k");
    let call = tokio::spawn(async move { send(call).await });
    until(async || (bench.runs("POST") == 1).then_some(())).await;
    let refused = Fault::always(FaultKind::Status(503)).on(&format!("PUT {CLAIMS}"));
    bench.fakes.object_api.faults().add(refused);
    let got = call.await.expect("an answer");
    assert_eq!(got.line(), "200 -");
    let again = send(bench.keyed(1, "k")).await;
    assert_eq!((again.replayed, again.body), (true, got.body));
    let claims = bench.fakes.object_api.list(CLAIM_KIND);
    assert!(
        claims.iter().all(|c| !c.body.contains("done")),
        "{claims:?}"
    );
    assert_eq!(bench.runs("POST"), 1);
}

/// A planned stop waits for a call whose caller is gone, longer than for last answers.
#[tokio::test]
async fn a_planned_stop_waits_for_the_outcome_of_a_claim() {
    let timing = "balancer_notice = \"10 ms\"\ndrain = \"60 s\"";
    let mut bench = Bench::start(2, timing).await;
    bench.fault(&Fault::once(FaultKind::DelayReply(3_000)).on("POST /"));
    let call = bench.keyed(0, "k");
    let call = tokio::spawn(async move { call.send().await });
    until(async || (bench.runs("POST") == 1).then_some(())).await;
    call.abort();
    let _ = call.await;
    bench.hosts[0].stop_whole().await;
    let again = send(bench.keyed(1, "k")).await;
    assert_eq!((again.line().as_str(), again.replayed), ("200 -", true));
    assert_eq!(bench.runs("POST"), 1);
}
