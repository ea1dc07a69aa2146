//! Keyed calls retried on another daemon, which queries the daemon that made the claim.

mod claims_support;

use claims_support::Answer;
use claims_support::CLAIMS_PATH;
use claims_support::TestBed;
use claims_support::send;
use claims_support::wait_until;
use kelpworks::claims::CLAIM_KIND;
use kelpworks::status::MemberState;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;

const MAY_HAVE_RUN: &str = "409 may-have-run";
const HEARTBEAT: &str = "heartbeat = \"100ms\"";

/// Starts two daemons that list each other as live, and a keyed call through the first whose reply
/// never comes.
async fn start_with_running_call() -> (TestBed, tokio::task::JoinHandle<Option<reqwest::Response>>)
{
    let bed = TestBed::start(2, HEARTBEAT).await;
    for host in 0..2 {
        bed.wait_for_members(host, 1, MemberState::Live).await;
    }
    bed.set_service_fault(&Fault::once(FaultKind::SilentAfter).on("POST /"));
    let call = bed.keyed_call(0, "k");
    let first = tokio::spawn(async move { call.send().await.ok() });
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
    (bed, first)
}

fn body_contains(got: &Answer, kind: &str) -> bool {
    String::from_utf8_lossy(&got.body).contains(kind)
}

#[tokio::test]
async fn retry_on_another_daemon_is_refused_while_call_is_running() {
    let (bed, first) = start_with_running_call().await;
    let got = send(bed.keyed_call(1, "k")).await;
    assert_eq!(
        (got.status_and_verdict().as_str(), got.retry_after),
        (MAY_HAVE_RUN, true)
    );
    assert!(body_contains(&got, "in_progress"), "{got:?}");
    assert_eq!(bed.runs("POST"), 1);
    first.abort();
}

#[tokio::test]
async fn retry_after_daemon_crash_is_refused_as_may_have_run() {
    let (mut bed, first) = start_with_running_call().await;
    bed.hosts[0].kill();
    let _ = first.await;
    // Retried right after the crash, and again after the other daemon has marked it as down.
    for is_seen_down in [false, true] {
        if is_seen_down {
            bed.wait_for_members(1, 1, MemberState::Down).await;
        }
        let got = send(bed.keyed_call(1, "k")).await;
        assert_eq!(
            (got.status_and_verdict().as_str(), got.retry_after),
            (MAY_HAVE_RUN, true)
        );
        assert!(!body_contains(&got, "in_progress"), "{got:?}");
    }
    assert_eq!(bed.runs("POST"), 1);
}

/// The object API refuses to store the outcome, so the other daemon gets it from the daemon that
/// ran the call.
#[tokio::test]
async fn unrecorded_outcome_is_replayed_by_daemon_that_ran_the_call() {
    let bed = TestBed::start(2, HEARTBEAT).await;
    bed.wait_for_members(1, 1, MemberState::Live).await;
    bed.set_service_fault(&Fault::once(FaultKind::DelayReply(500)).on("POST /"));
    let call = bed.keyed_call(0, "k");
    let call = tokio::spawn(async move { send(call).await });
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
    let refused = Fault::always(FaultKind::Status(503)).on(&format!("PUT {CLAIMS_PATH}"));
    bed.fakes.object_api.faults().add(refused);
    let got = call.await.expect("an answer");
    assert_eq!(got.status_and_verdict(), "200 -");
    let again = send(bed.keyed_call(1, "k")).await;
    assert_eq!((again.replayed, again.body), (true, got.body));
    let claims = bed.fakes.object_api.list(CLAIM_KIND);
    assert!(
        claims.iter().all(|c| !c.body.contains("done")),
        "{claims:?}"
    );
    assert_eq!(bed.runs("POST"), 1);
}

/// The caller has disconnected, but the stop still waits for the call, so that its outcome is
/// recorded. It waits longer (here 3 s) than for answers that callers still wait for.
#[tokio::test]
async fn planned_stop_waits_for_outcome_of_keyed_call() {
    let timing = "balancer_notice = \"10 ms\"\ndrain = \"60 s\"";
    let mut bed = TestBed::start(2, timing).await;
    bed.set_service_fault(&Fault::once(FaultKind::DelayReply(3_000)).on("POST /"));
    let call = bed.keyed_call(0, "k");
    let call = tokio::spawn(async move { call.send().await });
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
    call.abort();
    let _ = call.await;
    bed.hosts[0].stop_and_wait().await;
    let again = send(bed.keyed_call(1, "k")).await;
    assert_eq!(
        (again.status_and_verdict().as_str(), again.replayed),
        ("200 -", true)
    );
    assert_eq!(bed.runs("POST"), 1);
}
