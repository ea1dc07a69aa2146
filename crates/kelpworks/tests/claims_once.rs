//! At-most-once execution of keyed calls of plain services, despite lost replies, outages, daemon
//! crashes and retries of callers. The ledgers never show two runs of one call.

mod claims_support;

use rstest::rstest;

use claims_support::CLAIMS_PATH;
use claims_support::TOKENS;
use claims_support::TestBed;
use claims_support::send;
use claims_support::send_until_ok;
use claims_support::wait_until;
use kelpworks_fakes::ApiMode;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;

const MAY_HAVE_RUN: &str = "409 may-have-run";

/// Cases: fault of a claim request on the object API, fault of the service, first answer, answer to
/// a retry on another daemon after the faults are cleared, number of runs.
#[rstest]
#[case::nothing(None, None, "200 -", "200 -", 1)]
#[case::create_lost_after_effect(Some(("PUT", FaultKind::ResetAfter)), None, "200 -", "200 -", 1)]
#[case::create_lost_before_effect(Some(("PUT", FaultKind::ResetBefore)), None, "200 -", "200 -", 1)]
#[case::create_slow(Some(("PUT", FaultKind::Delay(200))), None, "200 -", "200 -", 1)]
#[case::create_reply_slow(Some(("PUT", FaultKind::DelayReply(200))), None, "200 -", "200 -", 1)]
#[case::create_never_answered(Some(("PUT", FaultKind::SilentAfter)), None, "200 -", "200 -", 1)]
#[case::reply_lost(None, Some(FaultKind::ResetAfter), "502 may-have-run", MAY_HAVE_RUN, 1)]
#[case::reply_cut(None, Some(FaultKind::CutBody), "502 may-have-run", MAY_HAVE_RUN, 1)]
#[case::error(
    None,
    Some(FaultKind::StatusAfter(500)),
    "500 may-have-run",
    "500 may-have-run",
    1
)]
#[tokio::test]
async fn keyed_retry_on_another_daemon_runs_once(
    #[case] api: Option<(&str, FaultKind)>,
    #[case] service: Option<FaultKind>,
    #[case] first: &str,
    #[case] retry: &str,
    #[case] runs: usize,
) {
    let bed = TestBed::start(2, "").await;
    if let Some((method, kind)) = api {
        bed.add_claim_fault(method, kind);
    }
    if let Some(kind) = service {
        bed.set_service_fault(&Fault::once(kind).on("POST /"));
    }
    let got = send(bed.keyed_call(0, "k")).await;
    assert_eq!(got.status_and_verdict(), first);
    bed.clear_faults();
    // The outcome of a failed run is recorded after it has been answered.
    let again = wait_until(async || {
        Some(send(bed.keyed_call(1, "k")).await).filter(|g| g.status_and_verdict() == retry)
    });
    let again = again.await;
    if first == retry {
        assert!(again.replayed && !got.replayed);
        assert_eq!(again.body, got.body);
    }
    assert_eq!(
        send(bed.keyed_call(0, "k")).await.status_and_verdict(),
        retry
    );
    assert_eq!(bed.runs("POST"), runs);
}

#[tokio::test]
async fn simultaneous_keyed_calls_run_once() {
    let bed = TestBed::start(2, "").await;
    for round in 0..5 {
        let key = format!("k{round}");
        bed.set_service_fault(&Fault::once(FaultKind::DelayReply(50)).on("POST /"));
        let both = tokio::join!(send(bed.keyed_call(0, &key)), send(bed.keyed_call(1, &key)));
        let (won, lost) = match both.0.status {
            200 => both,
            _ => (both.1, both.0),
        };
        assert_eq!(
            (won.status_and_verdict().as_str(), won.replayed),
            ("200 -", false)
        );
        assert_eq!(lost.status_and_verdict(), MAY_HAVE_RUN);
        assert!(lost.retry_after);
        let again = send(bed.keyed_call(1, &key)).await;
        assert_eq!((again.replayed, again.body), (true, won.body));
        assert_eq!(bed.runs("POST"), round + 1);
    }
}

/// The retry is refused at once, without waiting for the running call.
#[tokio::test]
async fn retry_on_same_daemon_is_refused_while_call_is_running() {
    let bed = TestBed::start(1, "").await;
    bed.set_service_fault(&Fault::once(FaultKind::SilentAfter).on("POST /"));
    let first = tokio::spawn(bed.keyed_call(0, "k").send());
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
    let got = send(bed.keyed_call(0, "k")).await;
    assert_eq!(
        (got.status_and_verdict().as_str(), got.retry_after),
        (MAY_HAVE_RUN, true)
    );
    assert!(String::from_utf8_lossy(&got.body).contains("in_progress"));
    assert_eq!(bed.runs("POST"), 1);
    first.abort();
}

#[tokio::test]
async fn lost_reply_to_outcome_write_keeps_answer_replayable() {
    let bed = TestBed::start(2, "").await;
    bed.set_service_fault(&Fault::once(FaultKind::DelayReply(100)).on("POST /"));
    let call = tokio::spawn(bed.keyed_call(0, "k").send());
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
    bed.add_claim_fault("PUT", FaultKind::ResetAfter);
    let res = call.await.expect("no panic").expect("an answer");
    let got = claims_support::Answer::of(res).await;
    let again = send(bed.keyed_call(1, "k")).await;
    assert_eq!(
        (got.status_and_verdict().as_str(), again.body),
        ("200 -", got.body)
    );
    assert_eq!(bed.runs("POST"), 1);
}

/// The object API becomes unavailable while the call runs. The caller is answered, and the outcome
/// is recorded once the API is available again.
#[tokio::test]
async fn outcome_is_recorded_after_object_api_outage() {
    let bed = TestBed::start(2, "").await;
    bed.set_service_fault(&Fault::once(FaultKind::DelayReply(50)).on("POST /"));
    let call = tokio::spawn(bed.keyed_call(0, "k").send());
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
    bed.fakes.object_api.set_mode(ApiMode::Unavailable);
    let res = call.await.expect("no panic").expect("an answer");
    let got = claims_support::Answer::of(res).await;
    assert_eq!(got.status_and_verdict(), "200 -");
    assert_eq!(
        send(bed.keyed_call(1, "k")).await.status_and_verdict(),
        "503 not-run"
    );
    bed.fakes.object_api.set_mode(ApiMode::Up);
    let again = send_until_ok(|| bed.keyed_call(1, "k")).await;
    assert_eq!((again.replayed, again.body), (true, got.body));
    assert_eq!(bed.runs("POST"), 1);
}

/// The call is refused as `not-run`. The key is usable afterwards, as the claim that may have been
/// written is removed.
#[rstest]
#[case::out(ApiMode::Unavailable)]
#[case::silent(ApiMode::Silent)]
#[tokio::test]
async fn key_is_usable_after_object_api_outage(#[case] mode: ApiMode) {
    let bed = TestBed::start(1, "").await;
    bed.fakes.object_api.set_mode(mode);
    let got = send(bed.keyed_call(0, "k")).await;
    assert_eq!(
        (got.status_and_verdict().as_str(), got.retry_after),
        ("503 not-run", true)
    );
    bed.fakes.object_api.set_mode(ApiMode::Up);
    assert!(!send_until_ok(|| bed.keyed_call(0, "k")).await.replayed);
    assert_eq!(bed.runs("POST"), 1);
}

/// The claim is created, its reply is lost, and reading it back fails. The call is refused, and the
/// claim is removed once the object API can be read.
#[tokio::test]
async fn unconfirmed_claim_is_refused_and_removed_later() {
    let bed = TestBed::start(1, "").await;
    bed.add_claim_fault("PUT", FaultKind::ResetAfter);
    let out = Fault::always(FaultKind::Status(503)).on(&format!("GET {CLAIMS_PATH}"));
    bed.fakes.object_api.faults().add(out);
    assert_eq!(
        send(bed.keyed_call(0, "k")).await.status_and_verdict(),
        "503 not-run"
    );
    assert_eq!(bed.fakes.object_api.list("kelpworks.claim").len(), 1);
    assert_eq!(bed.runs("POST"), 0);
    bed.clear_faults();
    send_until_ok(|| bed.keyed_call(0, "k")).await;
    assert_eq!(bed.runs("POST"), 1);
}

/// The reply to the claim's creation comes after the call's deadline.
#[tokio::test]
async fn claim_confirmed_after_deadline_does_not_run() {
    let bed = TestBed::start(1, "request = \"100 ms\"").await;
    bed.add_claim_fault("PUT", FaultKind::DelayReply(300));
    assert_eq!(
        send(bed.keyed_call(0, "k")).await.status_and_verdict(),
        "504 not-run"
    );
    assert_eq!(bed.runs("POST"), 0);
}

/// The daemon crashes after it made the claim, before or after it sent the call to the service.
#[rstest]
#[case::before_dispatch(true, 0)]
#[case::after_dispatch(false, 1)]
#[tokio::test]
async fn claim_of_crashed_daemon_is_not_rerun(
    #[case] crash_before_dispatch: bool,
    #[case] runs: usize,
) {
    let mut bed = TestBed::start(2, "").await;
    match crash_before_dispatch {
        true => bed.add_claim_fault("PUT", FaultKind::SilentAfter),
        false => bed.set_service_fault(&Fault::once(FaultKind::SilentAfter).on("POST /")),
    }
    let call = tokio::spawn(bed.keyed_call(0, "k").send());
    wait_until(async || {
        let claims = bed.fakes.object_api.list("kelpworks.claim").len();
        (claims == 1 && bed.runs("POST") == runs).then_some(())
    })
    .await;
    bed.hosts[0].kill();
    assert!(call.await.expect("no panic").is_err());
    for _ in 0..2 {
        assert_eq!(
            send(bed.keyed_call(1, "k")).await.status_and_verdict(),
            MAY_HAVE_RUN
        );
    }
    assert_eq!(bed.runs("POST"), runs);
}

/// The call completes without its caller, and a retry gets its answer.
#[tokio::test]
async fn keyed_call_completes_after_caller_disconnects() {
    let bed = TestBed::start(2, "").await;
    bed.set_service_fault(&Fault::once(FaultKind::DelayReply(100)).on("POST /"));
    let call = tokio::spawn(bed.keyed_call(0, "k").send());
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
    call.abort();
    assert!(send_until_ok(|| bed.keyed_call(1, "k")).await.replayed);
    assert_eq!(bed.runs("POST"), 1);
}

/// An unkeyed call in flight is not cancelled when its caller disconnects.
#[tokio::test]
async fn unkeyed_call_completes_after_caller_disconnects() {
    let bed = TestBed::start(1, "").await;
    bed.set_service_fault(&Fault::once(FaultKind::Delay(100)).on("POST /"));
    let call = tokio::spawn(bed.call(0, "POST", "/certificates").send());
    wait_until(async || {
        let mut faults = bed.fakes.services.iter().map(|s| s.faults().list());
        faults.any(|f| f.is_empty()).then_some(())
    })
    .await;
    call.abort();
    wait_until(async || (bed.runs("POST") == 1).then_some(())).await;
}

/// Cases: body, token and path of the second call with the same key, its answer, number of runs.
#[rstest]
#[case::other_body("visit 18", TOKENS[0], "/certificates", "422 not-run", 1)]
#[case::other_team("visit 17", TOKENS[1], "/certificates", "200 -", 2)]
#[case::other_team_and_body("visit 18", TOKENS[1], "/certificates", "200 -", 2)]
#[case::other_path("visit 17", TOKENS[0], "/certificates/2", "200 -", 2)]
#[tokio::test]
async fn reused_key_is_scoped_by_team_and_path_and_bound_to_body(
    #[case] body: &'static str,
    #[case] token: &str,
    #[case] path: &str,
    #[case] expected: &str,
    #[case] runs: usize,
) {
    let bed = TestBed::start(2, "").await;
    assert_eq!(
        send(bed.keyed_call(0, "k")).await.status_and_verdict(),
        "200 -"
    );
    let url = format!("{}/services/jobs{path}", bed.hosts[1].base);
    let call = bed.client.post(url).bearer_auth(token).body(body);
    let got = send(call.header("idempotency-key", "k")).await;
    assert_eq!(
        (got.status_and_verdict().as_str(), got.replayed),
        (expected, false)
    );
    assert_eq!(bed.runs("POST"), runs);
    // The service receives a distinct key for each call that ran.
    let ledgers = bed.fakes.services.iter().flat_map(|s| s.ledger());
    let mut keys: Vec<Option<String>> = ledgers.map(|e| e.key).collect();
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), runs);
}

#[rstest]
#[case::empty(&[""])]
#[case::long(&[TOO_LONG_KEY])]
#[case::two(&["a", "b"])]
#[case::not_printable(&["a\tb"])]
#[tokio::test]
async fn invalid_key_is_refused(#[case] keys: &[&str]) {
    let bed = TestBed::start(1, "").await;
    let mut call = bed.call(0, "POST", "/certificates");
    for key in keys {
        call = call.header("idempotency-key", *key);
    }
    assert_eq!(send(call).await.status_and_verdict(), "400 not-run");
    assert_eq!(bed.runs("POST"), 0);
}

const TOO_LONG_KEY: &str = match std::str::from_utf8(&[b'k'; 257]) {
    Ok(key) => key,
    Err(_) => "",
};

/// The service closes a pooled connection during an unkeyed call. The HTTP library must not send
/// the call again by itself.
#[rstest]
#[case::before_the_run(FaultKind::ResetBefore, 0)]
#[case::after_the_run(FaultKind::ResetAfter, 1)]
#[tokio::test]
async fn call_on_closed_idle_connection_is_not_resent(
    #[case] kind: FaultKind,
    #[case] runs: usize,
) {
    let bed = TestBed::start(1, "").await;
    for _ in 0..8 {
        assert_eq!(send(bed.call(0, "GET", "/jobs/1")).await.status, 200);
    }
    bed.set_service_fault(&Fault::once(kind).on("POST /"));
    let got = send(bed.call(0, "POST", "/certificates")).await;
    assert_eq!(got.status_and_verdict(), "502 may-have-run");
    assert_eq!(bed.runs("POST"), runs);
}
