//! The engine border from the daemon's side: what its client makes of each reply, and what a
//! session makes of it when a stage answers wrongly once in the middle of an answer.

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
use contract::mangle::Mangle;
use contract::mangle::MangledFleet;
use contract::script::Reply;
use contract::script::Script;
use kelpworks::clients::engine::Engine;
use kelpworks::clients::engine::Error;
use kelpworks::clients::engine::HttpEngine;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::Fence;
use kelpworks_wire::OrderAction;
use kelpworks_wire::StepBatch;
use lineage::assert_exactly_once;

/// Bound of calls that are meant to run into it.
const SHORT: Duration = Duration::from_millis(200);
/// Bound of calls that are meant to be answered, on however slow a machine.
const LONG: Duration = Duration::from_secs(60);
/// More than the client reads of a reply.
const HUGE: usize = 100 << 20;
const STATE: &str = r#"{"name": "e", "incarnation": 3, "draining": false, "highest_fence": 0,
    "loaded": [], "loading": [],
    "load": {"queued": 0, "running": 0, "queue_ms": 0, "kv_free": 9, "draining": false}}"#;

fn whole(status: u16, body: &'static str) -> Reply {
    Reply::Whole(status, body)
}

/// What the client says of a call: its verdict too, where it failed.
fn tell<T: std::fmt::Debug>(result: Result<T, Error>) -> String {
    match result {
        Ok(value) => format!("{value:?}"),
        Err(e @ Error::Connect(_)) => format!("no connection, {}", e.verdict()),
        Err(e @ Error::Lost(_)) => format!("connection lost, {}", e.verdict()),
        Err(e @ Error::Decode(_)) => format!("not a reply of its type, {}", e.verdict()),
        Err(e) => format!("{e}, {}", e.verdict()),
    }
}

#[rstest]
#[case::empty_batch("steps_empty_batch", whole(200, r#"{"replies": []}"#))]
#[case::later_field("steps_later_field", whole(200, r#"{"replies": [], "x-later": {}}"#))]
#[case::not_json("steps_not_json", whole(200, "hello"))]
#[case::half_json("steps_half_json", whole(200, r#"{"replies": ["#))]
#[case::no_body("steps_no_body", whole(200, ""))]
#[case::no_content("steps_no_content", whole(204, ""))]
#[case::other_type("steps_other_type", whole(200, STATE))]
#[case::bad_request("steps_bad_request", whole(400, "{}"))]
#[case::not_found("steps_not_found", whole(404, ""))]
#[case::over_rate("steps_over_rate", whole(429, ""))]
#[case::internal("steps_internal", whole(500, "oops"))]
#[case::gateway("steps_gateway", whole(502, ""))]
#[case::unavailable("steps_unavailable", whole(503, ""))]
#[case::moved("steps_moved", Reply::Moved(307))]
#[case::see_other("steps_see_other", Reply::Moved(303))]
#[case::huge("steps_huge", Reply::Huge(HUGE))]
#[case::trickle("steps_trickle", Reply::Trickle)]
#[case::silence("steps_silence", Reply::Silence)]
#[case::cut("steps_cut", Reply::Cut)]
#[tokio::test]
async fn a_step_is_told_whether_it_may_have_run(#[case] name: &str, #[case] reply: Reply) {
    let bound = match reply {
        Reply::Trickle | Reply::Silence => SHORT,
        _ => LONG,
    };
    let script = Script::start(reply).await;
    let engine = HttpEngine::new(LONG);
    let batch = StepBatch { steps: Vec::new() };
    let result = engine.steps(&script.url(), &batch, bound).await;
    assert_snapshot!(name, tell(result));
    assert_eq!(
        script.calls(),
        ["POST /v1/steps"],
        "sent once and nowhere else"
    );
}

#[tokio::test]
async fn a_refused_connection_sent_nothing() {
    // Bound and never listened on, so that the port stays closed and goes to no other test.
    let closed = tokio::net::TcpSocket::new_v4().expect("a socket");
    let free = "127.0.0.1:0".parse().expect("an address");
    closed.bind(free).expect("a port");
    let url: Arc<str> = format!("http://{}", closed.local_addr().expect("bound")).into();
    let engine = HttpEngine::new(LONG);
    let batch = StepBatch { steps: Vec::new() };
    let result = engine.steps(&url, &batch, LONG).await;
    assert_eq!(tell(result), "no connection, not-run");
}

/// The other calls, over replies that are theirs and replies that are not.
#[rstest]
#[case::state("calls_state", whole(200, STATE))]
#[case::no_content("calls_no_content", whole(204, ""))]
#[case::accepted("calls_accepted", whole(200, r#"{"accepted": 7}"#))]
#[case::stale("calls_stale", whole(200, r#"{"stale": 9}"#))]
#[case::later_outcome("calls_later_outcome", whole(200, r#"{"postponed": 9}"#))]
#[case::unavailable("calls_unavailable", whole(503, ""))]
#[tokio::test]
async fn other_calls(#[case] name: &str, #[case] reply: Reply) {
    let script = Script::start(reply).await;
    let engine = HttpEngine::new(LONG);
    let url = script.url();
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
    let told = [
        format!("state: {}", tell(engine.state(&url, LONG).await)),
        format!("probe: {}", tell(engine.probe(&url, LONG).await)),
        format!("cancel: {}", tell(engine.cancel(&url, &cancel, LONG).await)),
        format!("order: {}", tell(engine.order(&url, &order, LONG).await)),
    ];
    assert_snapshot!(name, told.join("\n"));
}

/// Sets one field of the only reply of a batch.
fn set(field: &'static str, value: Value) -> Mangle {
    Mangle::Field { field, value }
}

/// One wrong reply to one stage in the middle of an answer. The step ran; the caller still gets
/// the whole answer, and each layer ran once and in order on the lineage that gave it.
#[rstest]
#[case::session(set("session", json!("another")))]
#[case::attempt(set("attempt", json!(77)))]
#[case::position(set("position", json!(0)))]
#[case::layers(set("layers", json!({ "first": 0, "end": 1 })))]
#[case::model(set("model", json!("other")))]
#[case::version(set("version", json!("0")))]
#[case::incarnation(set("incarnation", json!(1)))]
#[case::count(set("count", json!(2)))]
#[case::empty_batch(Mangle::Replies(0))]
#[case::two_replies(Mangle::Replies(2))]
#[case::later_outcome(set("outcome", json!({ "postponed": 9 })))]
#[case::two_outcomes(set("outcome", json!({ "token": 1, "rows": [1] })))]
#[case::other_handle(set("outcome", json!({ "handle": "s/9/9/9" })))]
#[case::rows_unasked(set("outcome", json!({ "rows": [1, 2, 3] })))]
#[case::no_rows(set("outcome", json!({ "rows": [] })))]
#[case::not_json(Mangle::Other(whole(200, "<html>")))]
#[case::no_body(Mangle::Other(whole(200, "")))]
#[case::huge(Mangle::Other(Reply::Huge(HUGE)))]
#[case::trickle(Mangle::Other(Reply::Trickle))]
#[case::cut(Mangle::Other(Reply::Cut))]
#[case::not_found(Mangle::Other(whole(404, "")))]
#[case::internal(Mangle::Other(whole(500, "")))]
#[case::unavailable(Mangle::Other(whole(503, "")))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_wrong_reply_costs_no_answer(
    #[case] mangle: Mangle,
    #[values(0, 1)] stage: usize,
    #[values(1, 9)] step: usize,
) {
    let fleet = MangledFleet::start().await;
    let prompt = "a prompt";
    let tokens = 16;
    fleet.mangle(stage, step, mangle);
    let caller = fleet.caller();
    let answer = caller.complete(prompt, tokens).await.expect("an answer");
    assert!(matches!(answer.end, End::Whole(_)), "{answer:?}");
    assert_eq!(answer.text, fleet.setup.model.answer_text(prompt, tokens));
    assert!(fleet.was_mangled(stage), "the wrong reply was sent");
    let positions = prompt.len() as u32 + tokens - 1;
    assert_exactly_once(&fleet.setup.fakes, &answer.request, LAYERS, positions);
}
