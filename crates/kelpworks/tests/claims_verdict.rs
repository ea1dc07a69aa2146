//! Verdicts of calls of plain services: `not-run` only if the ledgers show no run.

mod claims_support;

use rstest::rstest;

use claims_support::Answer;
use claims_support::RedirectingService;
use claims_support::TOKENS;
use claims_support::TestBed;
use claims_support::send;
use claims_support::send_until_ok;
use claims_support::wait_until;
use kelpworks_fakes::ApiMode;
use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;

/// Setting for a short request deadline.
const SHORT_DEADLINE: &str = "request = \"400 ms\"";
/// Settings with which the progress timeout ends an attempt long before the request deadline.
const SHORT_PROGRESS_TIMEOUT: &str =
    "step_floor = \"20 ms\"\nstep_ceiling = \"100 ms\"\nrequest = \"10 s\"";

/// Sends the call without and with a key under this fault, and returns the answer and the number of
/// runs of each.
async fn unkeyed_and_keyed_results(bed: &TestBed, method: &str, fault: &Fault) -> [String; 2] {
    let mut lines = Vec::new();
    for key in [None, Some("k")] {
        bed.set_service_fault(fault);
        let before = bed.runs(method);
        let call = bed.call(0, method, "/certificates");
        let got = match key {
            Some(key) => send(call.header("idempotency-key", key)).await,
            None => send(call).await,
        };
        lines.push(check_verdict(&got, bed.runs(method) - before));
    }
    lines.try_into().expect("two")
}

fn check_verdict(got: &Answer, runs: usize) -> String {
    if got.verdict.as_deref() == Some("not-run") {
        assert_eq!(runs, 0, "{got:?}");
        assert!(got.status >= 400);
    }
    format!("{}, runs {runs}", got.status_and_verdict())
}

#[rstest]
#[case::none(FaultKind::Delay(0), "200 -, runs 1")]
#[case::reset_before_run(FaultKind::ResetBefore, "502 may-have-run, runs 0")]
#[case::reset_after_run(FaultKind::ResetAfter, "502 may-have-run, runs 1")]
#[case::cut_body(FaultKind::CutBody, "502 may-have-run, runs 1")]
#[case::leaving(FaultKind::Status(503), "503 may-have-run, runs 0")]
#[case::error_after_run(FaultKind::StatusAfter(500), "500 may-have-run, runs 1")]
#[case::refusal(FaultKind::Status(409), "409 -, runs 0")]
#[case::redirect(FaultKind::StatusAfter(307), "307 -, runs 1")]
#[case::silent_before_run(FaultKind::SilentBefore, "504 may-have-run, runs 0")]
#[case::silent_after_run(FaultKind::SilentAfter, "504 may-have-run, runs 1")]
#[tokio::test]
async fn non_idempotent_call_is_sent_once_with_verdict(
    #[case] kind: FaultKind,
    #[case] expected: &str,
) {
    let bed = TestBed::start(1, SHORT_DEADLINE).await;
    let fault = Fault::once(kind).on("POST /certificates");
    let [unkeyed, keyed] = unkeyed_and_keyed_results(&bed, "POST", &fault).await;
    assert_eq!((unkeyed.as_str(), keyed.as_str()), (expected, expected));
}

/// A redirect of an upstream is returned to the caller. If the daemon followed it, it would send
/// the call a second time.
#[tokio::test]
async fn redirect_is_not_followed() {
    let moved = RedirectingService::start().await;
    let bed = TestBed::start_with_services(1, "", &[moved.view("moved")]).await;
    moved.set_target(&format!("{}/certificates/2", bed.fakes.services[0].url()));
    let url = format!("{}/services/moved/certificates", bed.hosts[0].base);
    let call = bed.client.post(&url).bearer_auth(TOKENS[0]);
    assert_eq!(send(call).await.status_and_verdict(), "307 -");
    assert_eq!(bed.runs("POST"), 0);
}

/// Each of the two hosts of the service fails once, so the third attempt succeeds.
#[rstest]
#[case::reset_before_run(FaultKind::ResetBefore, "200 -, runs 1")]
#[case::reset_after_run(FaultKind::ResetAfter, "200 -, runs 3")]
#[case::cut_body(FaultKind::CutBody, "200 -, runs 3")]
#[case::leaving(FaultKind::Status(503), "200 -, runs 1")]
#[case::silent_before_run(FaultKind::SilentBefore, "200 -, runs 1")]
#[tokio::test]
async fn idempotent_call_is_retried_until_it_succeeds(
    #[case] kind: FaultKind,
    #[case] expected: &str,
) {
    let bed = TestBed::start(1, SHORT_PROGRESS_TIMEOUT).await;
    let fault = Fault::once(kind).on("GET /certificates");
    let [unkeyed, keyed] = unkeyed_and_keyed_results(&bed, "GET", &fault).await;
    // A single silent connection is not attributed to its host, so a retry may choose the same
    // host.
    let expected = expected.to_owned();
    assert_eq!([unkeyed, keyed], [expected.clone(), expected]);
}

/// Starts a daemon whose pooled connections to the service no longer respond; new ones do.
async fn start_with_silenced_connections(timing: &str) -> TestBed {
    let bed = TestBed::start(1, timing).await;
    wait_until(async || {
        assert_eq!(send(bed.call(0, "GET", "/jobs/1")).await.status, 200);
        let mut ledgers = bed.fakes.services.iter().map(|s| s.ledger());
        ledgers.all(|l| !l.is_empty()).then_some(())
    })
    .await;
    for service in &bed.fakes.services {
        service
            .faults()
            .set_connection_mode(ConnectionMode::SilenceExisting);
    }
    bed
}

#[tokio::test]
async fn idempotent_call_succeeds_when_idle_connections_are_silent() {
    let bed = start_with_silenced_connections(SHORT_PROGRESS_TIMEOUT).await;
    assert_eq!(send(bed.call(0, "GET", "/jobs/1")).await.status, 200);
}

/// The call is not sent again. Later calls succeed, as the silent connection is dropped.
#[tokio::test]
async fn non_idempotent_call_on_silent_connection_is_not_resent() {
    let bed = start_with_silenced_connections(SHORT_DEADLINE).await;
    let got = send(bed.call(0, "POST", "/certificates")).await;
    assert_eq!(
        check_verdict(&got, bed.runs("POST")),
        "504 may-have-run, runs 0"
    );
    send_until_ok(|| bed.call(0, "POST", "/certificates")).await;
    assert_eq!(bed.runs("POST"), 1);
}

/// Condition before the call that may keep it from being sent.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    OneHostDown,
    AllHostsDown,
    ApiUnavailable,
    ApiSilent,
    OtherService,
}

#[rstest]
#[case(Obstacle::OneHostDown, "200 -, runs 1", "200 -, runs 1")]
#[case(Obstacle::AllHostsDown, "not-run, runs 0", "not-run, runs 0")]
#[case(Obstacle::ApiUnavailable, "200 -, runs 1", "503 not-run, runs 0")]
#[case(Obstacle::ApiSilent, "200 -, runs 1", "503 not-run, runs 0")]
#[case(Obstacle::OtherService, "404 not-run, runs 0", "404 not-run, runs 0")]
#[tokio::test]
async fn call_that_cannot_be_sent_is_not_run(
    #[case] obstacle: Obstacle,
    #[case] unkeyed: &str,
    #[case] keyed: &str,
) {
    let bed = TestBed::start(1, "").await;
    let mut path = "/certificates";
    match obstacle {
        Obstacle::OneHostDown => stop_listening(&bed, 1).await,
        Obstacle::AllHostsDown => stop_listening(&bed, 2).await,
        Obstacle::ApiUnavailable => bed.fakes.object_api.set_mode(ApiMode::Unavailable),
        Obstacle::ApiSilent => bed.fakes.object_api.set_mode(ApiMode::Silent),
        Obstacle::OtherService => path = "/../other/certificates",
    }
    let url = format!("{}/services/jobs{path}", bed.hosts[0].base);
    for (key, expected) in [(None, unkeyed), (Some("k"), keyed)] {
        let before = bed.runs("POST");
        let mut call = bed.client.post(&url).bearer_auth(TOKENS[0]);
        if let Some(key) = key {
            call = call.header("idempotency-key", key);
        }
        let got = send(call).await;
        let line = check_verdict(&got, bed.runs("POST") - before);
        // With all hosts down the status depends on whether a health check has noticed it.
        assert!(line.ends_with(expected), "{line}");
    }
}

/// Keyed calls that exceed the budget of claim writes are refused without waiting.
#[tokio::test]
async fn keyed_calls_over_claim_write_budget_are_refused() {
    let bed = TestBed::start(1, "[limits]\nclaim_writes_per_second = 1").await;
    let before = bed.fakes.object_api.counts().writes;
    let mut refused = 0;
    for n in 0..12 {
        let got = send(bed.keyed_call(0, &format!("k{n}"))).await;
        if got.status != 200 {
            assert_eq!(
                (got.status_and_verdict().as_str(), got.retry_after),
                ("429 not-run", true)
            );
            refused += 1;
        }
    }
    // The burst is 16 writes and a call needs two. Writes for one more call are added in 16 s.
    assert!((3..=4).contains(&refused), "{refused}");
    assert_eq!(bed.runs("POST"), 12 - refused);
    let writes = bed.fakes.object_api.counts().writes - before;
    assert_eq!(writes, 2 * (12 - refused as u64));
}

/// Closes the ports of hosts and sends calls until the daemon has dropped its connections to them.
/// A call on a connection that is just closing would be reported as may-have-run.
async fn stop_listening(bed: &TestBed, count: usize) {
    for service in &bed.fakes.services[..count] {
        service.set_listening(false);
    }
    for _ in 0..16 {
        send(bed.call(0, "GET", "/jobs/1")).await;
    }
}

/// A call in flight at the start of a planned stop is answered; a later call does not run.
#[tokio::test]
async fn planned_stop_answers_running_call_and_refuses_new_ones() {
    let mut bed = TestBed::start(1, "balancer_notice = \"10 ms\"").await;
    bed.set_service_fault(&Fault::once(FaultKind::DelayReply(300)).on("POST /"));
    let running = tokio::spawn(bed.call(0, "POST", "/certificates").send());
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
    bed.hosts[0].stop();
    // A late call finds the port closed, or is refused on a connection that is still open.
    let late = wait_until(async || {
        let before = bed.runs("GET");
        match bed.call(0, "GET", "/late").send().await {
            Err(_) => Some((true, bed.runs("GET") - before)),
            Ok(res) if res.status() == 200 => None,
            Ok(res) => Some((
                Answer::of(res).await.status_and_verdict() == "503 not-run",
                bed.runs("GET") - before,
            )),
        }
    });
    assert_eq!(late.await, (true, 0));
    let res = running.await.expect("no panic").expect("an answer");
    assert_eq!(Answer::of(res).await.status_and_verdict(), "200 -");
}

/// A daemon that stops without draining still answers running calls with a verdict.
#[rstest]
#[case::unkeyed(None)]
#[case::keyed(Some("k"))]
#[tokio::test]
async fn immediate_stop_reports_running_call_as_may_have_run(#[case] key: Option<&str>) {
    let mut bed = TestBed::start(2, "balancer_notice = \"10 ms\"").await;
    bed.set_service_fault(&Fault::once(FaultKind::SilentAfter).on("POST /"));
    let call = bed.call(0, "POST", "/certificates");
    let call = key
        .iter()
        .fold(call, |c, key| c.header("idempotency-key", *key));
    let running = tokio::spawn(call.send());
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
    bed.hosts[0].stop_and_abort_in_flight();
    let res = running.await.expect("no panic").expect("an answer");
    assert_eq!(
        Answer::of(res).await.status_and_verdict(),
        "503 may-have-run"
    );
    if let Some(key) = key {
        let call = bed.call(1, "POST", "/certificates");
        let again = send(call.header("idempotency-key", key)).await;
        assert_eq!(again.status_and_verdict(), "409 may-have-run");
    }
    assert_eq!(bed.runs("POST"), 1);
}
