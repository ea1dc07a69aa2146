//! At most once for model requests: a keyed session runs once, and a repeat gets the same answer.

mod claims_support;

use futures_util::StreamExt;
use reqwest::RequestBuilder;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use claims_support::Bench;
use claims_support::Got;
use claims_support::MODEL;
use claims_support::TOKENS;
use claims_support::send;
use claims_support::until;
use claims_support::until_ok;
use kelpworks_fakes::ApiMode;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;

const PROMPT: &str = "valve 17";
const MOST: u32 = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Whole,
    Stream,
}

fn ask(bench: &Bench, host: usize, form: Form, key: Option<&str>) -> RequestBuilder {
    let body = json!({
        "model": MODEL, "prompt": PROMPT, "max_tokens": MOST, "stream": form == Form::Stream,
    });
    let url = format!("{}/v1/completions", bench.hosts[host].base);
    let req = bench.client.post(url).bearer_auth(TOKENS[0]).json(&body);
    match key {
        Some(key) => req.header("idempotency-key", key),
        None => req,
    }
}

/// The text of an answer in either form.
fn text(got: &Got) -> String {
    let body = String::from_utf8_lossy(&got.body);
    let part = |json: &str| {
        let value: Value = serde_json::from_str(json).expect("JSON");
        let text = value["choices"][0]["text"].as_str().map(str::to_owned);
        text.unwrap_or_default()
    };
    if !body.starts_with("data:") {
        return part(&body);
    }
    let lines = body.lines().filter_map(|l| l.strip_prefix("data:"));
    let pieces = lines.map(str::trim).filter(|l| l.starts_with('{'));
    pieces.map(part).collect()
}

/// Sessions that ran on any engine.
fn sessions(bench: &Bench) -> usize {
    let runs = bench.fakes.engines.iter().flat_map(|e| e.ledger().runs());
    let mut sessions: Vec<String> = runs.map(|r| r.session).collect();
    sessions.sort();
    sessions.dedup();
    sessions.len()
}

#[rstest]
#[case(Form::Whole, Form::Whole)]
#[case(Form::Whole, Form::Stream)]
#[case(Form::Stream, Form::Whole)]
#[case(Form::Stream, Form::Stream)]
#[tokio::test]
async fn repeat_gets_the_same_text(#[case] first: Form, #[case] second: Form) {
    let bench = Bench::start(2, "").await;
    let want = bench.model.answer_text(PROMPT, MOST);
    let got = send(ask(&bench, 0, first, Some("k"))).await;
    assert_eq!((text(&got), got.replayed), (want.clone(), false));
    // A stream's end may be seen before its outcome is recorded.
    let again = until_ok(|| ask(&bench, 1, second, Some("k"))).await;
    assert_eq!((text(&again), again.replayed), (want, true));
    if first == second {
        assert_eq!(again.body, got.body);
    }
    assert_eq!(sessions(&bench), 1);
}

/// The caller goes; its session runs on, and a repeat gets the whole answer.
#[rstest]
#[case::whole(Form::Whole)]
#[case::stream(Form::Stream)]
#[tokio::test]
async fn caller_gone(#[case] form: Form) {
    let bench = Bench::start(2, "").await;
    for engine in &bench.fakes.engines {
        let slow = Fault::always(FaultKind::Delay(5)).on("/v1/steps");
        engine.faults().add(slow);
    }
    let call = tokio::spawn(ask(&bench, 0, form, Some("k")).send());
    until(async || (sessions(&bench) == 1).then_some(())).await;
    match form {
        Form::Whole => call.abort(),
        Form::Stream => {
            let res = call.await.expect("no panic").expect("an answer");
            let mut events = res.bytes_stream();
            assert!(events.next().await.is_some());
        }
    }
    let again = until_ok(|| ask(&bench, 1, Form::Whole, Some("k"))).await;
    assert_eq!(text(&again), bench.model.answer_text(PROMPT, MOST));
    assert_eq!((again.replayed, sessions(&bench)), (true, 1));
}

#[tokio::test]
async fn two_daemons_at_the_same_instant() {
    let bench = Bench::start(2, "").await;
    let ask = |host| ask(&bench, host, Form::Whole, Some("k"));
    let both = tokio::join!(send(ask(0)), send(ask(1)));
    let want = bench.model.answer_text(PROMPT, MOST);
    for got in [both.0, both.1] {
        assert!(
            got.line() == "409 may-have-run" || text(&got) == want,
            "{got:?}"
        );
    }
    assert_eq!(text(&until_ok(|| ask(1)).await), want);
    assert_eq!(sessions(&bench), 1);
}

/// A stage that dies is replaced within the one session.
#[rstest]
#[case::keyed(Some("k"))]
#[case::unkeyed(None)]
#[tokio::test]
async fn stage_dies(#[case] key: Option<&str>) {
    let bench = Bench::start(1, "").await;
    bench.fakes.engines[0]
        .faults()
        .add(Fault::once(FaultKind::Crash));
    bench.fakes.engines[2]
        .faults()
        .add(Fault::once(FaultKind::ResetAfter).on("/v1/steps"));
    let got = send(ask(&bench, 0, Form::Whole, key)).await;
    assert_eq!(text(&got), bench.model.answer_text(PROMPT, MOST));
    assert_eq!(sessions(&bench), 1);
}

#[tokio::test]
async fn unkeyed_is_not_submitted_again() {
    let bench = Bench::start(1, "request = \"500 ms\"").await;
    for engine in &bench.fakes.engines {
        let silent = Fault::always(FaultKind::SilentAfter).on("/v1/steps");
        engine.faults().add(silent);
    }
    let got = send(ask(&bench, 0, Form::Whole, None)).await;
    assert_eq!(got.line(), "504 may-have-run");
    assert_eq!(sessions(&bench), 1);
}

#[tokio::test]
async fn failed_session_is_not_run_again() {
    let bench = Bench::start(2, "request = \"500 ms\"").await;
    for engine in &bench.fakes.engines {
        let silent = Fault::always(FaultKind::SilentAfter).on("/v1/steps");
        engine.faults().add(silent);
    }
    let got = send(ask(&bench, 0, Form::Whole, Some("k"))).await;
    assert_eq!(got.line(), "504 may-have-run");
    for engine in &bench.fakes.engines {
        engine.faults().clear();
    }
    let again = send(ask(&bench, 1, Form::Whole, Some("k"))).await;
    assert_eq!(again.line(), "409 may-have-run");
    assert_eq!(sessions(&bench), 1);
}

#[tokio::test]
async fn api_out() {
    let bench = Bench::start(1, "").await;
    bench.fakes.object_api.set_mode(ApiMode::Unavailable);
    let got = send(ask(&bench, 0, Form::Stream, Some("k"))).await;
    assert_eq!(
        (got.line().as_str(), got.retry_after),
        ("503 not-run", true)
    );
    assert_eq!(sessions(&bench), 0);
}
