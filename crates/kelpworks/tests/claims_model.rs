//! At-most-once execution of model requests: a session with an idempotency key runs once, and a
//! retry gets the same answer.

mod claims_support;

use futures_util::StreamExt;
use reqwest::RequestBuilder;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use claims_support::Answer;
use claims_support::MODEL;
use claims_support::TOKENS;
use claims_support::TestBed;
use claims_support::send;
use claims_support::send_until_ok;
use claims_support::wait_until;
use kelpworks_fakes::ApiMode;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;

const PROMPT: &str = "valve 17";
const MAX_TOKENS: u32 = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerForm {
    Whole,
    Stream,
}

fn completion_request(
    bed: &TestBed,
    host: usize,
    form: AnswerForm,
    key: Option<&str>,
) -> RequestBuilder {
    let body = json!({
        "model": MODEL, "prompt": PROMPT, "max_tokens": MAX_TOKENS,
        "stream": form == AnswerForm::Stream,
    });
    let url = format!("{}/v1/completions", bed.hosts[host].base);
    let req = bed.client.post(url).bearer_auth(TOKENS[0]).json(&body);
    match key {
        Some(key) => req.header("idempotency-key", key),
        None => req,
    }
}

/// Returns the completion text of a whole or streamed answer.
fn text_of(got: &Answer) -> String {
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

/// Counts the distinct sessions that ran on any engine.
fn session_count(bed: &TestBed) -> usize {
    let runs = bed.fakes.engines.iter().flat_map(|e| e.ledger().runs());
    let mut sessions: Vec<String> = runs.map(|r| r.session).collect();
    sessions.sort();
    sessions.dedup();
    sessions.len()
}

#[rstest]
#[case(AnswerForm::Whole, AnswerForm::Whole)]
#[case(AnswerForm::Whole, AnswerForm::Stream)]
#[case(AnswerForm::Stream, AnswerForm::Whole)]
#[case(AnswerForm::Stream, AnswerForm::Stream)]
#[tokio::test]
async fn keyed_retry_on_another_daemon_replays_the_answer(
    #[case] first: AnswerForm,
    #[case] second: AnswerForm,
) {
    let bed = TestBed::start(2, "").await;
    let expected = bed.model.answer_text(PROMPT, MAX_TOKENS);
    let got = send(completion_request(&bed, 0, first, Some("k"))).await;
    assert_eq!((text_of(&got), got.replayed), (expected.clone(), false));
    // The caller may see the end of a stream before the outcome is recorded.
    let again = send_until_ok(|| completion_request(&bed, 1, second, Some("k"))).await;
    assert_eq!((text_of(&again), again.replayed), (expected, true));
    if first == second {
        assert_eq!(again.body, got.body);
    }
    assert_eq!(session_count(&bed), 1);
}

/// The caller disconnects while the session runs; a later retry gets the whole answer.
#[rstest]
#[case::whole(AnswerForm::Whole)]
#[case::stream(AnswerForm::Stream)]
#[tokio::test]
async fn keyed_session_completes_after_caller_disconnects(#[case] form: AnswerForm) {
    let bed = TestBed::start(2, "").await;
    for engine in &bed.fakes.engines {
        let slow = Fault::always(FaultKind::Delay(5)).on("/v1/steps");
        engine.faults().add(slow);
    }
    let call = tokio::spawn(completion_request(&bed, 0, form, Some("k")).send());
    wait_until(async || (session_count(&bed) == 1).then_some(())).await;
    match form {
        AnswerForm::Whole => call.abort(),
        AnswerForm::Stream => {
            let res = call.await.expect("no panic").expect("an answer");
            let mut events = res.bytes_stream();
            assert!(events.next().await.is_some());
        }
    }
    let again = send_until_ok(|| completion_request(&bed, 1, AnswerForm::Whole, Some("k"))).await;
    assert_eq!(text_of(&again), bed.model.answer_text(PROMPT, MAX_TOKENS));
    assert_eq!((again.replayed, session_count(&bed)), (true, 1));
}

#[tokio::test]
async fn simultaneous_keyed_requests_run_one_session() {
    let bed = TestBed::start(2, "").await;
    let request_to = |host| completion_request(&bed, host, AnswerForm::Whole, Some("k"));
    let both = tokio::join!(send(request_to(0)), send(request_to(1)));
    let expected = bed.model.answer_text(PROMPT, MAX_TOKENS);
    for got in [both.0, both.1] {
        assert!(
            got.status_and_verdict() == "409 may-have-run" || text_of(&got) == expected,
            "{got:?}"
        );
    }
    assert_eq!(text_of(&send_until_ok(|| request_to(1)).await), expected);
    assert_eq!(session_count(&bed), 1);
}

/// One engine crashes and one resets the connection after a step; the session goes on with other
/// engines.
#[rstest]
#[case::keyed(Some("k"))]
#[case::unkeyed(None)]
#[tokio::test]
async fn failed_stage_is_replaced_within_the_session(#[case] key: Option<&str>) {
    let bed = TestBed::start(1, "").await;
    bed.fakes.engines[0]
        .faults()
        .add(Fault::once(FaultKind::Crash));
    bed.fakes.engines[2]
        .faults()
        .add(Fault::once(FaultKind::ResetAfter).on("/v1/steps"));
    let got = send(completion_request(&bed, 0, AnswerForm::Whole, key)).await;
    assert_eq!(text_of(&got), bed.model.answer_text(PROMPT, MAX_TOKENS));
    assert_eq!(session_count(&bed), 1);
}

#[tokio::test]
async fn timed_out_unkeyed_request_starts_no_second_session() {
    let bed = TestBed::start(1, "request = \"500 ms\"").await;
    for engine in &bed.fakes.engines {
        let silent = Fault::always(FaultKind::SilentAfter).on("/v1/steps");
        engine.faults().add(silent);
    }
    let got = send(completion_request(&bed, 0, AnswerForm::Whole, None)).await;
    assert_eq!(got.status_and_verdict(), "504 may-have-run");
    assert_eq!(session_count(&bed), 1);
}

#[tokio::test]
async fn keyed_retry_after_timeout_starts_no_second_session() {
    let bed = TestBed::start(2, "request = \"500 ms\"").await;
    for engine in &bed.fakes.engines {
        let silent = Fault::always(FaultKind::SilentAfter).on("/v1/steps");
        engine.faults().add(silent);
    }
    let got = send(completion_request(&bed, 0, AnswerForm::Whole, Some("k"))).await;
    assert_eq!(got.status_and_verdict(), "504 may-have-run");
    for engine in &bed.fakes.engines {
        engine.faults().clear();
    }
    let again = send(completion_request(&bed, 1, AnswerForm::Whole, Some("k"))).await;
    assert_eq!(again.status_and_verdict(), "409 may-have-run");
    assert_eq!(session_count(&bed), 1);
}

#[tokio::test]
async fn keyed_request_is_not_run_while_object_api_is_unavailable() {
    let bed = TestBed::start(1, "").await;
    bed.fakes.object_api.set_mode(ApiMode::Unavailable);
    let got = send(completion_request(&bed, 0, AnswerForm::Stream, Some("k"))).await;
    assert_eq!(
        (got.status_and_verdict().as_str(), got.retry_after),
        ("503 not-run", true)
    );
    assert_eq!(session_count(&bed), 0);
}
