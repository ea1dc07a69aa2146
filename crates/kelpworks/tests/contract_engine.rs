//! Client of engines: its result for each reply of an engine, and the outcome of a session in which
//! one stage sends one invalid reply.

mod caller;
mod contract;
#[path = "path/lineage.rs"]
mod lineage;
#[path = "../examples/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;

use insta::assert_snapshot;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use caller::End;
use contract::LAYERS;
use contract::proxy::ProxiedFleet;
use contract::proxy::ReplyMutation;
use contract::scripted_server::Reply;
use contract::scripted_server::ScriptedServer;
use kelpworks::clients::engine::Engine;
use kelpworks::clients::engine::Error;
use kelpworks::clients::engine::HttpEngine;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::Fence;
use kelpworks_wire::OrderAction;
use kelpworks_wire::StepBatch;
use lineage::assert_exactly_once;

/// Timeout of calls that are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of calls that are expected to complete; long enough for a heavily loaded machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Larger than the largest reply that the client reads.
const HUGE_BYTES: usize = 100 << 20;
const STATE: &str = r#"{"name": "e", "incarnation": 3, "draining": false, "highest_fence": 0,
    "loaded": [], "loading": [],
    "load": {"queued": 0, "running": 0, "queue_ms": 0, "kv_free": 9, "draining": false}}"#;

fn complete_reply(status: u16, body: &'static str) -> Reply {
    Reply::Complete(status, body)
}

/// Returns the value of a call, or its error with the verdict. Leaves out the texts of errors that
/// come from libraries.
fn describe_result<T: std::fmt::Debug>(result: Result<T, Error>) -> String {
    match result {
        Ok(value) => format!("{value:?}"),
        Err(e @ Error::Connect(_)) => format!("no connection, {}", e.verdict()),
        Err(e @ Error::Lost(_)) => format!("connection lost, {}", e.verdict()),
        Err(e @ Error::Decode(_)) => format!("not a reply of its type, {}", e.verdict()),
        Err(e) => format!("{e}, {}", e.verdict()),
    }
}

#[rstest]
#[case::empty_batch("steps_empty_batch", complete_reply(200, r#"{"replies": []}"#))]
#[case::later_field(
    "steps_later_field",
    complete_reply(200, r#"{"replies": [], "x-later": {}}"#)
)]
#[case::not_json("steps_not_json", complete_reply(200, "hello"))]
#[case::half_json("steps_half_json", complete_reply(200, r#"{"replies": ["#))]
#[case::no_body("steps_no_body", complete_reply(200, ""))]
#[case::no_content("steps_no_content", complete_reply(204, ""))]
#[case::other_type("steps_other_type", complete_reply(200, STATE))]
#[case::bad_request("steps_bad_request", complete_reply(400, "{}"))]
#[case::not_found("steps_not_found", complete_reply(404, ""))]
#[case::over_rate("steps_over_rate", complete_reply(429, ""))]
#[case::internal("steps_internal", complete_reply(500, "oops"))]
#[case::gateway("steps_gateway", complete_reply(502, ""))]
#[case::unavailable("steps_unavailable", complete_reply(503, ""))]
#[case::moved("steps_moved", Reply::Redirect(307))]
#[case::see_other("steps_see_other", Reply::Redirect(303))]
#[case::huge("steps_huge", Reply::Huge(HUGE_BYTES))]
#[case::trickle("steps_trickle", Reply::Trickle)]
#[case::silence("steps_silence", Reply::Unanswered)]
#[case::cut("steps_cut", Reply::Cut)]
#[tokio::test]
async fn step_error_says_whether_it_may_have_run(#[case] name: &str, #[case] reply: Reply) {
    let timeout = match reply {
        Reply::Trickle | Reply::Unanswered => SHORT_TIMEOUT,
        _ => LONG_TIMEOUT,
    };
    let server = ScriptedServer::start(reply).await;
    let engine = HttpEngine::new(LONG_TIMEOUT);
    let batch = StepBatch { steps: Vec::new() };
    let result = engine.steps(&server.url(), &batch, timeout).await;
    assert_snapshot!(name, describe_result(result));
    assert_eq!(
        server.calls(),
        ["POST /v1/steps"],
        "sent once, without retry or redirect"
    );
}

#[tokio::test]
async fn refused_connection_is_reported_as_not_run() {
    // A socket that is bound but not listening refuses connections and keeps other tests from
    // getting the port.
    let closed = tokio::net::TcpSocket::new_v4().expect("a socket");
    let free = "127.0.0.1:0".parse().expect("an address");
    closed.bind(free).expect("a port");
    let url: Arc<str> = format!("http://{}", closed.local_addr().expect("bound")).into();
    let engine = HttpEngine::new(LONG_TIMEOUT);
    let batch = StepBatch { steps: Vec::new() };
    let result = engine.steps(&url, &batch, LONG_TIMEOUT).await;
    assert_eq!(describe_result(result), "no connection, not-run");
}

/// Calls other than steps, for valid replies and for replies of another type.
#[rstest]
#[case::state("calls_state", complete_reply(200, STATE))]
#[case::no_content("calls_no_content", complete_reply(204, ""))]
#[case::accepted("calls_accepted", complete_reply(200, r#"{"accepted": 7}"#))]
#[case::stale("calls_stale", complete_reply(200, r#"{"stale": 9}"#))]
#[case::later_outcome("calls_later_outcome", complete_reply(200, r#"{"postponed": 9}"#))]
#[case::unavailable("calls_unavailable", complete_reply(503, ""))]
#[tokio::test]
async fn state_probe_cancel_and_order_results(#[case] name: &str, #[case] reply: Reply) {
    let server = ScriptedServer::start(reply).await;
    let engine = HttpEngine::new(LONG_TIMEOUT);
    let url = server.url();
    let cancel = CancelRequest {
        session: "s".to_owned(),
        attempt: 0,
    };
    let order = EngineOrder {
        action: OrderAction::Role("decode".to_owned()),
        fence: Fence {
            lease: "m".to_owned(),
            token: 7,
        },
    };
    let results = [
        format!(
            "state: {}",
            describe_result(engine.state(&url, LONG_TIMEOUT).await)
        ),
        format!(
            "probe: {}",
            describe_result(engine.probe(&url, LONG_TIMEOUT).await)
        ),
        format!(
            "cancel: {}",
            describe_result(engine.cancel(&url, &cancel, LONG_TIMEOUT).await)
        ),
        format!(
            "order: {}",
            describe_result(engine.order(&url, &order, LONG_TIMEOUT).await)
        ),
    ];
    assert_snapshot!(name, results.join("\n"));
}

/// Returns a mutation that replaces one field of the first reply of a batch.
fn replace_field(field: &'static str, value: Value) -> ReplyMutation {
    ReplyMutation::Field { field, value }
}

/// One stage sends an invalid reply to a step that it has run. The caller still gets the whole
/// answer, and on the lineage that produced the answer each layer ran once and in order.
#[rstest]
#[case::session(replace_field("session", json!("another")))]
#[case::attempt(replace_field("attempt", json!(77)))]
#[case::position(replace_field("position", json!(0)))]
#[case::layers(replace_field("layers", json!({ "first": 0, "end": 1 })))]
#[case::model(replace_field("model", json!("other")))]
#[case::version(replace_field("version", json!("0")))]
#[case::incarnation(replace_field("incarnation", json!(1)))]
#[case::count(replace_field("count", json!(2)))]
#[case::empty_batch(ReplyMutation::Replies(0))]
#[case::two_replies(ReplyMutation::Replies(2))]
#[case::later_outcome(replace_field("outcome", json!({ "postponed": 9 })))]
#[case::two_outcomes(replace_field("outcome", json!({ "token": 1, "rows": [1] })))]
#[case::other_handle(replace_field("outcome", json!({ "handle": "s/9/9/9" })))]
#[case::rows_unasked(replace_field("outcome", json!({ "rows": [1, 2, 3] })))]
#[case::no_rows(replace_field("outcome", json!({ "rows": [] })))]
#[case::not_json(ReplyMutation::Replace(complete_reply(200, "<html>")))]
#[case::no_body(ReplyMutation::Replace(complete_reply(200, "")))]
#[case::huge(ReplyMutation::Replace(Reply::Huge(HUGE_BYTES)))]
#[case::trickle(ReplyMutation::Replace(Reply::Trickle))]
#[case::cut(ReplyMutation::Replace(Reply::Cut))]
#[case::not_found(ReplyMutation::Replace(complete_reply(404, "")))]
#[case::internal(ReplyMutation::Replace(complete_reply(500, "")))]
#[case::unavailable(ReplyMutation::Replace(complete_reply(503, "")))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_is_complete_after_one_invalid_step_reply(
    #[case] mutation: ReplyMutation,
    #[values(0, 1)] stage: usize,
    #[values(1, 9)] step: usize,
) {
    let fleet = ProxiedFleet::start().await;
    let prompt = "a prompt";
    let tokens = 16;
    fleet.mutate_reply(stage, step, mutation);
    let caller = fleet.caller();
    let answer = caller.complete(prompt, tokens).await.expect("an answer");
    assert!(matches!(answer.end, End::Whole(_)), "{answer:?}");
    assert_eq!(answer.text, fleet.setup.model.answer_text(prompt, tokens));
    assert!(fleet.was_mutated(stage), "the invalid reply was sent");
    let positions = prompt.len() as u32 + tokens - 1;
    assert_exactly_once(&fleet.setup.fakes, &answer.request, LAYERS, positions);
}
