//! At most once: keyed calls of plain services through lost replies, outages, daemons that die
//! and callers that repeat. The ledger never shows two runs.

mod claims_support;

use rstest::rstest;

use claims_support::Bench;
use claims_support::CLAIMS;
use claims_support::TOKENS;
use claims_support::send;
use claims_support::until;
use claims_support::until_ok;
use kelpworks_fakes::ApiMode;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;

const MAY_HAVE_RUN: &str = "409 may-have-run";

/// What befalls the claim's calls on the object API or the service's reply; the first answer; the
/// answer to a repeat on another daemon, once faults are over; and runs.
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
async fn repeated_elsewhere(
    #[case] api: Option<(&str, FaultKind)>,
    #[case] service: Option<FaultKind>,
    #[case] first: &str,
    #[case] repeat: &str,
    #[case] runs: usize,
) {
    let bench = Bench::start(2, "").await;
    if let Some((method, kind)) = api {
        bench.api_fault(method, kind);
    }
    if let Some(kind) = service {
        bench.fault(&Fault::once(kind).on("POST /"));
    }
    let got = send(bench.keyed(0, "k")).await;
    assert_eq!(got.line(), first);
    bench.clear_faults();
    // A failed run is recorded after its answer.
    let again =
        until(async || Some(send(bench.keyed(1, "k")).await).filter(|g| g.line() == repeat));
    let again = again.await;
    if first == repeat {
        assert!(again.replayed && !got.replayed);
        assert_eq!(again.body, got.body);
    }
    assert_eq!(send(bench.keyed(0, "k")).await.line(), repeat);
    assert_eq!(bench.runs("POST"), runs);
}

#[tokio::test]
async fn two_daemons_at_the_same_instant() {
    let bench = Bench::start(2, "").await;
    for round in 0..5 {
        let key = format!("k{round}");
        bench.fault(&Fault::once(FaultKind::DelayReply(50)).on("POST /"));
        let both = tokio::join!(send(bench.keyed(0, &key)), send(bench.keyed(1, &key)));
        let (won, lost) = match both.0.status {
            200 => both,
            _ => (both.1, both.0),
        };
        assert_eq!((won.line().as_str(), won.replayed), ("200 -", false));
        assert_eq!(lost.line(), MAY_HAVE_RUN);
        assert!(lost.retry_after);
        let again = send(bench.keyed(1, &key)).await;
        assert_eq!((again.replayed, again.body), (true, won.body));
        assert_eq!(bench.runs("POST"), round + 1);
    }
}

/// A repeat on the same daemon is told at once that the call is running.
#[tokio::test]
async fn in_progress() {
    let bench = Bench::start(1, "").await;
    bench.fault(&Fault::once(FaultKind::SilentAfter).on("POST /"));
    let first = tokio::spawn(bench.keyed(0, "k").send());
    until(async || (bench.runs("POST") == 1).then_some(())).await;
    let got = send(bench.keyed(0, "k")).await;
    assert_eq!((got.line().as_str(), got.retry_after), (MAY_HAVE_RUN, true));
    assert!(String::from_utf8_lossy(&got.body).contains("in_progress"));
    assert_eq!(bench.runs("POST"), 1);
    first.abort();
}

#[tokio::test]
async fn outcome_write_lost() {
    let bench = Bench::start(2, "").await;
    bench.fault(&Fault::once(FaultKind::DelayReply(100)).on("POST /"));
    let call = tokio::spawn(bench.keyed(0, "k").send());
    until(async || (bench.runs("POST") == 1).then_some(())).await;
    bench.api_fault("PUT", FaultKind::ResetAfter);
    let res = call.await.expect("no panic").expect("an answer");
    let got = claims_support::Got::of(res).await;
    let again = send(bench.keyed(1, "k")).await;
    assert_eq!((got.line().as_str(), again.body), ("200 -", got.body));
    assert_eq!(bench.runs("POST"), 1);
}

/// The object API goes while the call runs: its caller is answered, and the outcome is recorded
/// once the API is back.
#[tokio::test]
async fn api_out_under_the_run() {
    let bench = Bench::start(2, "").await;
    bench.fault(&Fault::once(FaultKind::DelayReply(50)).on("POST /"));
    let call = tokio::spawn(bench.keyed(0, "k").send());
    until(async || (bench.runs("POST") == 1).then_some(())).await;
    bench.fakes.object_api.set_mode(ApiMode::Unavailable);
    let res = call.await.expect("no panic").expect("an answer");
    let got = claims_support::Got::of(res).await;
    assert_eq!(got.line(), "200 -");
    assert_eq!(send(bench.keyed(1, "k")).await.line(), "503 not-run");
    bench.fakes.object_api.set_mode(ApiMode::Up);
    let again = until_ok(|| bench.keyed(1, "k")).await;
    assert_eq!((again.replayed, again.body), (true, got.body));
    assert_eq!(bench.runs("POST"), 1);
}

/// `not-run` is told, then the key works: the claim that may have been written is removed.
#[rstest]
#[case::out(ApiMode::Unavailable)]
#[case::silent(ApiMode::Silent)]
#[tokio::test]
async fn api_out_before_the_run(#[case] mode: ApiMode) {
    let bench = Bench::start(1, "").await;
    bench.fakes.object_api.set_mode(mode);
    let got = send(bench.keyed(0, "k")).await;
    assert_eq!(
        (got.line().as_str(), got.retry_after),
        ("503 not-run", true)
    );
    bench.fakes.object_api.set_mode(ApiMode::Up);
    assert!(!until_ok(|| bench.keyed(0, "k")).await.replayed);
    assert_eq!(bench.runs("POST"), 1);
}

/// The create took effect, its reply was lost, and reads fail: refused, and cleaned up later.
#[tokio::test]
async fn create_lost_and_not_read_back() {
    let bench = Bench::start(1, "").await;
    bench.api_fault("PUT", FaultKind::ResetAfter);
    let out = Fault::always(FaultKind::Status(503)).on(&format!("GET {CLAIMS}"));
    bench.fakes.object_api.faults().add(out);
    assert_eq!(send(bench.keyed(0, "k")).await.line(), "503 not-run");
    assert_eq!(bench.fakes.object_api.list("kelpworks.claim").len(), 1);
    assert_eq!(bench.runs("POST"), 0);
    bench.clear_faults();
    until_ok(|| bench.keyed(0, "k")).await;
    assert_eq!(bench.runs("POST"), 1);
}

/// The claim is confirmed only after the call's deadline.
#[tokio::test]
async fn confirmed_too_late() {
    let bench = Bench::start(1, "request = \"100 ms\"").await;
    bench.api_fault("PUT", FaultKind::DelayReply(300));
    assert_eq!(send(bench.keyed(0, "k")).await.line(), "504 not-run");
    assert_eq!(bench.runs("POST"), 0);
}

/// A daemon gone without a word, with its claim made.
#[rstest]
#[case::before_dispatch(true, 0)]
#[case::after_dispatch(false, 1)]
#[tokio::test]
async fn daemon_gone(#[case] before: bool, #[case] runs: usize) {
    let mut bench = Bench::start(2, "").await;
    match before {
        true => bench.api_fault("PUT", FaultKind::SilentAfter),
        false => bench.fault(&Fault::once(FaultKind::SilentAfter).on("POST /")),
    }
    let call = tokio::spawn(bench.keyed(0, "k").send());
    until(async || {
        let claims = bench.fakes.object_api.list("kelpworks.claim").len();
        (claims == 1 && bench.runs("POST") == runs).then_some(())
    })
    .await;
    bench.hosts[0].kill();
    assert!(call.await.expect("no panic").is_err());
    for _ in 0..2 {
        assert_eq!(send(bench.keyed(1, "k")).await.line(), MAY_HAVE_RUN);
    }
    assert_eq!(bench.runs("POST"), runs);
}

/// The call goes on without its caller, and a repeat gets its answer.
#[tokio::test]
async fn caller_gone() {
    let bench = Bench::start(2, "").await;
    bench.fault(&Fault::once(FaultKind::DelayReply(100)).on("POST /"));
    let call = tokio::spawn(bench.keyed(0, "k").send());
    until(async || (bench.runs("POST") == 1).then_some(())).await;
    call.abort();
    assert!(until_ok(|| bench.keyed(1, "k")).await.replayed);
    assert_eq!(bench.runs("POST"), 1);
}

/// An unkeyed call is not broken off midway when its caller goes.
#[tokio::test]
async fn caller_of_an_unkeyed_call_gone() {
    let bench = Bench::start(1, "").await;
    bench.fault(&Fault::once(FaultKind::Delay(100)).on("POST /"));
    let call = tokio::spawn(bench.call(0, "POST", "/certificates").send());
    until(async || {
        let mut faults = bench.fakes.services.iter().map(|s| s.faults().list());
        faults.any(|f| f.is_empty()).then_some(())
    })
    .await;
    call.abort();
    until(async || (bench.runs("POST") == 1).then_some(())).await;
}

/// What the second call changes; its answer; and runs.
#[rstest]
#[case::other_body("visit 18", TOKENS[0], "/certificates", "422 not-run", 1)]
#[case::other_team("visit 17", TOKENS[1], "/certificates", "200 -", 2)]
#[case::other_team_and_body("visit 18", TOKENS[1], "/certificates", "200 -", 2)]
#[case::other_path("visit 17", TOKENS[0], "/certificates/2", "200 -", 2)]
#[tokio::test]
async fn same_key(
    #[case] body: &'static str,
    #[case] token: &str,
    #[case] path: &str,
    #[case] expected: &str,
    #[case] runs: usize,
) {
    let bench = Bench::start(2, "").await;
    assert_eq!(send(bench.keyed(0, "k")).await.line(), "200 -");
    let url = format!("{}/services/jobs{path}", bench.hosts[1].base);
    let call = bench.client.post(url).bearer_auth(token).body(body);
    let got = send(call.header("idempotency-key", "k")).await;
    assert_eq!((got.line().as_str(), got.replayed), (expected, false));
    assert_eq!(bench.runs("POST"), runs);
    // What the service is told of the key differs too.
    let ledgers = bench.fakes.services.iter().flat_map(|s| s.ledger());
    let mut keys: Vec<Option<String>> = ledgers.map(|e| e.key).collect();
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), runs);
}

#[rstest]
#[case::empty(&[""])]
#[case::long(&[LONG])]
#[case::two(&["a", "b"])]
#[case::not_printable(&["a\tb"])]
#[tokio::test]
async fn bad_key(#[case] keys: &[&str]) {
    let bench = Bench::start(1, "").await;
    let mut call = bench.call(0, "POST", "/certificates");
    for key in keys {
        call = call.header("idempotency-key", *key);
    }
    assert_eq!(send(call).await.line(), "400 not-run");
    assert_eq!(bench.runs("POST"), 0);
}

const LONG: &str = match std::str::from_utf8(&[b'k'; 257]) {
    Ok(key) => key,
    Err(_) => "",
};

/// An unkeyed call on a kept connection that closes under it is not sent again by the HTTP library.
#[rstest]
#[case::before_the_run(FaultKind::ResetBefore, 0)]
#[case::after_the_run(FaultKind::ResetAfter, 1)]
#[tokio::test]
async fn kept_connection_closes(#[case] kind: FaultKind, #[case] runs: usize) {
    let bench = Bench::start(1, "").await;
    for _ in 0..8 {
        assert_eq!(send(bench.call(0, "GET", "/jobs/1")).await.status, 200);
    }
    bench.fault(&Fault::once(kind).on("POST /"));
    let got = send(bench.call(0, "POST", "/certificates")).await;
    assert_eq!(got.line(), "502 may-have-run");
    assert_eq!(bench.runs("POST"), runs);
}
