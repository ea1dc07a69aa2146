//! Verdicts of calls of plain services: `not-run` only where the ledger shows no run.

mod claims_support;

use rstest::rstest;

use claims_support::Bench;
use claims_support::Got;
use claims_support::Redirecting;
use claims_support::TOKENS;
use claims_support::send;
use claims_support::until;
use claims_support::until_ok;
use kelpworks_fakes::ApiMode;
use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;

/// The caller's deadline ends a call soon.
const SHORT: &str = "request = \"400 ms\"";
/// The progress deadline ends an attempt long before the caller's deadline.
const PROGRESS: &str = "step_floor = \"20 ms\"\nstep_ceiling = \"100 ms\"\nrequest = \"10 s\"";

/// Calls of which no answer may say `not-run` when one ran.
async fn calls(bench: &Bench, method: &str, fault: &Fault) -> [String; 2] {
    let mut lines = Vec::new();
    for key in [None, Some("k")] {
        bench.fault(fault);
        let before = bench.runs(method);
        let call = bench.call(0, method, "/certificates");
        let got = match key {
            Some(key) => send(call.header("idempotency-key", key)).await,
            None => send(call).await,
        };
        lines.push(checked(&got, bench.runs(method) - before));
    }
    lines.try_into().expect("two")
}

fn checked(got: &Got, runs: usize) -> String {
    if got.verdict.as_deref() == Some("not-run") {
        assert_eq!(runs, 0, "{got:?}");
        assert!(got.status >= 400);
    }
    format!("{}, runs {runs}", got.line())
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
async fn non_idempotent(#[case] kind: FaultKind, #[case] expected: &str) {
    let bench = Bench::start(1, SHORT).await;
    let fault = Fault::once(kind).on("POST /certificates");
    let [unkeyed, keyed] = calls(&bench, "POST", &fault).await;
    assert_eq!((unkeyed.as_str(), keyed.as_str()), (expected, expected));
}

/// An upstream's redirect goes to the caller: followed here, it would send the call a second time.
#[tokio::test]
async fn redirect_is_not_followed() {
    let moved = Redirecting::start().await;
    let bench = Bench::start_with(1, "", &[moved.view("moved")]).await;
    moved.to(&format!("{}/certificates/2", bench.fakes.services[0].url()));
    let url = format!("{}/services/moved/certificates", bench.hosts[0].base);
    let call = bench.client.post(&url).bearer_auth(TOKENS[0]);
    assert_eq!(send(call).await.line(), "307 -");
    assert_eq!(bench.runs("POST"), 0);
}

/// Each host of the service shows the fault once; the third attempt gets through.
#[rstest]
#[case::reset_before_run(FaultKind::ResetBefore, "200 -, runs 1")]
#[case::reset_after_run(FaultKind::ResetAfter, "200 -, runs 3")]
#[case::cut_body(FaultKind::CutBody, "200 -, runs 3")]
#[case::leaving(FaultKind::Status(503), "200 -, runs 1")]
#[case::silent_before_run(FaultKind::SilentBefore, "200 -, runs 1")]
#[tokio::test]
async fn idempotent(#[case] kind: FaultKind, #[case] expected: &str) {
    let bench = Bench::start(1, PROGRESS).await;
    let fault = Fault::once(kind).on("GET /certificates");
    let [unkeyed, keyed] = calls(&bench, "GET", &fault).await;
    // A single silent connection is no fault of its host, so the retry may meet the same host.
    let expected = expected.to_owned();
    assert_eq!([unkeyed, keyed], [expected.clone(), expected]);
}

/// The connections that a daemon has kept go silent; new ones work.
async fn silenced(timing: &str) -> Bench {
    let bench = Bench::start(1, timing).await;
    until(async || {
        assert_eq!(send(bench.call(0, "GET", "/jobs/1")).await.status, 200);
        let mut ledgers = bench.fakes.services.iter().map(|s| s.ledger());
        ledgers.all(|l| !l.is_empty()).then_some(())
    })
    .await;
    for service in &bench.fakes.services {
        service
            .faults()
            .set_connection_mode(ConnectionMode::SilenceExisting);
    }
    bench
}

#[tokio::test]
async fn kept_connections_silent_under_an_idempotent_call() {
    let bench = silenced(PROGRESS).await;
    assert_eq!(send(bench.call(0, "GET", "/jobs/1")).await.status, 200);
}

/// The call is not sent again; those after it get through, as the connection is left behind.
#[tokio::test]
async fn kept_connections_silent_under_a_non_idempotent_call() {
    let bench = silenced(SHORT).await;
    let got = send(bench.call(0, "POST", "/certificates")).await;
    assert_eq!(
        checked(&got, bench.runs("POST")),
        "504 may-have-run, runs 0"
    );
    until_ok(|| bench.call(0, "POST", "/certificates")).await;
    assert_eq!(bench.runs("POST"), 1);
}

/// What keeps a call from being sent at all.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    OneHostDown,
    AllHostsDown,
    ApiOut,
    ApiSilent,
    OtherService,
}

#[rstest]
#[case(Refusal::OneHostDown, "200 -, runs 1", "200 -, runs 1")]
#[case(Refusal::AllHostsDown, "not-run, runs 0", "not-run, runs 0")]
#[case(Refusal::ApiOut, "200 -, runs 1", "503 not-run, runs 0")]
#[case(Refusal::ApiSilent, "200 -, runs 1", "503 not-run, runs 0")]
#[case(Refusal::OtherService, "404 not-run, runs 0", "404 not-run, runs 0")]
#[tokio::test]
async fn not_sent(#[case] refusal: Refusal, #[case] unkeyed: &str, #[case] keyed: &str) {
    let bench = Bench::start(1, "").await;
    let mut path = "/certificates";
    match refusal {
        Refusal::OneHostDown => hosts_down(&bench, 1).await,
        Refusal::AllHostsDown => hosts_down(&bench, 2).await,
        Refusal::ApiOut => bench.fakes.object_api.set_mode(ApiMode::Unavailable),
        Refusal::ApiSilent => bench.fakes.object_api.set_mode(ApiMode::Silent),
        Refusal::OtherService => path = "/../other/certificates",
    }
    let url = format!("{}/services/jobs{path}", bench.hosts[0].base);
    for (key, expected) in [(None, unkeyed), (Some("k"), keyed)] {
        let before = bench.runs("POST");
        let mut call = bench.client.post(&url).bearer_auth(TOKENS[0]);
        if let Some(key) = key {
            call = call.header("idempotency-key", key);
        }
        let got = send(call).await;
        let line = checked(&got, bench.runs("POST") - before);
        // The status of a host that is down depends on whether a poll found it first.
        assert!(line.ends_with(expected), "{line}");
    }
}

/// Keyed calls beyond the write budget are refused at once.
#[tokio::test]
async fn over_the_write_budget() {
    let bench = Bench::start(1, "[limits]\nclaim_writes_per_second = 1").await;
    let before = bench.fakes.object_api.counts().writes;
    let mut refused = 0;
    for n in 0..12 {
        let got = send(bench.keyed(0, &format!("k{n}"))).await;
        if got.status != 200 {
            assert_eq!(
                (got.line().as_str(), got.retry_after),
                ("429 not-run", true)
            );
            refused += 1;
        }
    }
    // The burst is 16 writes, two a call; one more call's worth comes back in 16 s.
    assert!((3..=4).contains(&refused), "{refused}");
    assert_eq!(bench.runs("POST"), 12 - refused);
    let writes = bench.fakes.object_api.counts().writes - before;
    assert_eq!(writes, 2 * (12 - refused as u64));
}

/// Closes the ports of hosts, and sees to it that the daemon keeps no connection to them: a call
/// that meets one while it closes may have run, for all the daemon knows.
async fn hosts_down(bench: &Bench, count: usize) {
    for service in &bench.fakes.services[..count] {
        service.set_listening(false);
    }
    for _ in 0..16 {
        send(bench.call(0, "GET", "/jobs/1")).await;
    }
}

/// Under a planned stop a call in flight is answered, and one that comes late does not run.
#[tokio::test]
async fn planned_stop() {
    let mut bench = Bench::start(1, "balancer_notice = \"10 ms\"").await;
    bench.fault(&Fault::once(FaultKind::DelayReply(300)).on("POST /"));
    let running = tokio::spawn(bench.call(0, "POST", "/certificates").send());
    until(async || (bench.runs("POST") == 1).then_some(())).await;
    bench.hosts[0].stop();
    // Late calls find the port closed, or are refused on a connection that was open.
    let late = until(async || {
        let before = bench.runs("GET");
        match bench.call(0, "GET", "/late").send().await {
            Err(_) => Some((true, bench.runs("GET") - before)),
            Ok(res) if res.status() == 200 => None,
            Ok(res) => Some((
                Got::of(res).await.line() == "503 not-run",
                bench.runs("GET") - before,
            )),
        }
    });
    assert_eq!(late.await, (true, 0));
    let res = running.await.expect("no panic").expect("an answer");
    assert_eq!(Got::of(res).await.line(), "200 -");
}

/// A daemon that is told to stop at once gives its verdict on what runs.
#[rstest]
#[case::unkeyed(None)]
#[case::keyed(Some("k"))]
#[tokio::test]
async fn stopped_at_once(#[case] key: Option<&str>) {
    let mut bench = Bench::start(2, "balancer_notice = \"10 ms\"").await;
    bench.fault(&Fault::once(FaultKind::SilentAfter).on("POST /"));
    let call = bench.call(0, "POST", "/certificates");
    let call = key
        .iter()
        .fold(call, |c, key| c.header("idempotency-key", *key));
    let running = tokio::spawn(call.send());
    until(async || (bench.runs("POST") == 1).then_some(())).await;
    bench.hosts[0].stop_at_once();
    let res = running.await.expect("no panic").expect("an answer");
    assert_eq!(Got::of(res).await.line(), "503 may-have-run");
    if let Some(key) = key {
        let call = bench.call(1, "POST", "/certificates");
        let again = send(call.header("idempotency-key", key)).await;
        assert_eq!(again.line(), "409 may-have-run");
    }
    assert_eq!(bench.runs("POST"), 1);
}
