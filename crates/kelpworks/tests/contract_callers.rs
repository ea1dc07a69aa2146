//! The callers' border: what each wrong request and each failure behind the daemon looks like to a
//! caller. No refusal or failure goes without a verdict.

mod caller;
mod contract;
#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use insta::assert_snapshot;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use contract::Setup;
use contract::TOKEN;
use contract::answer::describe;
use contract::until;
use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use kelpworks_wire::ErrorBody;

const TEXT: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const STEPS: &str = "/v1/steps";
/// Bodies that are sent to each path.
const ANY_BODIES: usize = 300;
/// Settings under which the limits are soon reached.
const TIGHT: &str = "request = \"400 ms\"\n[limits]\nbody = \"4 KiB\"\nmax_tokens = 8";
/// Bound on what a client waits; never what a verdict rests on.
const CLIENT_BOUND: Duration = Duration::from_secs(30);

fn client() -> Client {
    let client = Client::builder().no_proxy().timeout(CLIENT_BOUND);
    client.build().expect("a client")
}

async fn start(timing: &str) -> Setup {
    Setup::start(async |_: &mut kelpworks_fakes::fleet::FleetView| {}, timing).await
}

async fn tell(req: RequestBuilder) -> String {
    describe(req.send().await.expect("an answer")).await
}

/// A request body that is right but for what a case changes.
fn text_body(change: Value) -> Value {
    let mut body = json!({ "model": "demo", "prompt": "a kettle", "max_tokens": 2 });
    for (name, value) in change.as_object().expect("fields") {
        body[name] = value.clone();
    }
    body
}

#[rstest]
#[case::no_scheme("no_scheme", TOKEN)]
#[case::two_tokens("two_tokens", &format!("Bearer {TOKEN} {TOKEN}"))]
#[tokio::test]
async fn who_calls(#[case] name: &str, #[case] header: &str) {
    let setup = start(TIGHT).await;
    let mut told = String::new();
    for path in [TEXT, CHAT, "/services/jobs/1"] {
        let req = client().post(format!("{}{path}", setup.base()));
        let req = req.header("authorization", header);
        // Who calls is settled before the body is looked at.
        told.push_str(&format!("{path}\n{}\n", tell(req.body("no JSON")).await));
    }
    assert_snapshot!(format!("caller_{name}"), told);
}

/// HTTP says that the case of a scheme does not count.
#[rstest]
#[tokio::test]
async fn any_case_of_the_scheme(#[values("Bearer", "bearer", "BEARER")] scheme: &str) {
    let setup = start(TIGHT).await;
    let req = client().post(format!("{}{TEXT}", setup.base()));
    let req = req.header("authorization", format!("{scheme} {TOKEN}"));
    let res = req.body("no JSON").send().await.expect("an answer");
    assert_eq!(res.status(), 400, "past the token, up to the body");
}

#[rstest]
#[case::prompt_list("prompt_list", text_body(json!({ "prompt": ["a", "b"] })))]
#[case::too_many_tokens("too_many_tokens", text_body(json!({ "max_tokens": 9 })))]
#[case::huge_tokens("huge_tokens", text_body(json!({ "max_tokens": 1e30 })))]
#[case::stream_word("stream_word", text_body(json!({ "stream": "yes" })))]
#[case::list("list", json!([1, 2]))]
#[case::null("null", Value::Null)]
#[case::later_field("later_field", text_body(json!({ "temperature": 0.5, "n": { "x": 1 } })))]
#[tokio::test]
async fn bodies(#[case] name: &str, #[case] body: Value) {
    let setup = start(TIGHT).await;
    let caller = setup.caller();
    until("the daemon has a path", async || {
        let req = caller.post(TEXT).json(&text_body(json!({})));
        req.send().await.expect("an answer").status().is_success()
    })
    .await;
    assert_snapshot!(
        format!("caller_{name}"),
        tell(caller.post(TEXT).json(&body)).await
    );
}

/// What is not JSON, and chats.
#[rstest]
#[case::not_utf8(
    "raw_not_utf8",
    TEXT,
    b"{\"model\": \"demo\", \"prompt\": \"\xff\xfe\"}"
)]
#[case::twice(
    "raw_twice",
    TEXT,
    br#"{"model": "demo", "model": "demo", "prompt": "a"}"#
)]
#[case::chat_of_text("raw_chat_of_text", CHAT, br#"{"model": "demo", "prompt": "a"}"#)]
#[case::chat_without_role(
    "raw_chat_no_role",
    CHAT,
    br#"{"model": "demo", "messages": [{"content": "a"}]}"#
)]
#[tokio::test]
async fn raw_bodies(#[case] name: &str, #[case] path: &str, #[case] body: &'static [u8]) {
    let setup = start(TIGHT).await;
    let req = setup.caller().post(path).body(body);
    assert_snapshot!(format!("caller_{name}"), tell(req).await);
}

#[rstest]
#[case::trailing_slash("trailing_slash", Method::POST, "/v1/completions/")]
#[case::upper_case("upper_case", Method::POST, "/V1/COMPLETIONS")]
#[case::unknown_service("unknown_service", Method::GET, "/services/poems/1")]
#[case::no_service("no_service", Method::GET, "/services/")]
#[tokio::test]
async fn paths(#[case] name: &str, #[case] method: Method, #[case] path: &str) {
    let setup = start(TIGHT).await;
    let url = format!("{}{path}", setup.base());
    let req = client().request(method, url).bearer_auth(TOKEN);
    let res = req.send().await.expect("an answer");
    let verdict = res.headers().get("kelpworks-verdict").cloned();
    assert_eq!(verdict.expect("a verdict"), "not-run");
    assert_snapshot!(format!("caller_{name}"), describe(res).await);
}

/// Bodies of noise, and right ones with a few bytes changed.
fn bodies_of_any_kind() -> impl Strategy<Value = Vec<u8>> {
    let noise = vec(any::<u8>(), 0..200);
    let damage = vec((any::<Index>(), any::<u8>()), 1..4);
    let damaged = (any::<bool>(), damage).prop_map(|(stream, damage)| {
        let mut body = text_body(json!({ "stream": stream }))
            .to_string()
            .into_bytes();
        for (at, byte) in damage {
            let at = at.index(body.len());
            body[at] = byte;
        }
        body
    });
    prop_oneof![1 => noise, 3 => damaged]
}

/// Whatever the body: an answer, or a refusal with a verdict; and the daemon goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_body_goes_without_a_verdict() {
    let setup = start(TIGHT).await;
    let caller = setup.caller();
    let mut runner = TestRunner::deterministic();
    for _ in 0..ANY_BODIES {
        let body = bodies_of_any_kind()
            .new_tree(&mut runner)
            .expect("a body")
            .current();
        for path in [TEXT, CHAT] {
            let res = caller
                .post(path)
                .body(body.clone())
                .send()
                .await
                .expect("an answer");
            let shown = String::from_utf8_lossy(&body);
            let has_verdict = res.headers().contains_key("kelpworks-verdict");
            assert_ne!(res.status(), 500, "{shown}");
            assert_eq!(has_verdict, !res.status().is_success(), "{shown}");
        }
    }
}

/// What befalls the engines while a caller waits for a first token.
#[derive(Clone, Copy, Debug)]
enum Behind {
    /// Both engines have been gone for a while.
    Gone,
    /// Both are silent from now on.
    Silent,
    /// Steps are refused with this status from now on.
    Status(u16),
    /// Steps are answered busy, to be asked again after this many milliseconds, from now on. Longer
    /// than the deadline, so that this passes between two steps and not within one.
    Busy(u32),
}

/// A daemon whose engines fail from now on, and a request to it.
async fn behind(behind: Behind, stream: bool) -> (Setup, RequestBuilder) {
    let setup = start(TIGHT).await;
    let caller = setup.caller();
    let body = text_body(json!({ "stream": stream }));
    let request = || caller.post(TEXT).json(&body);
    until("the daemon has a path", async || {
        request()
            .send()
            .await
            .expect("an answer")
            .status()
            .is_success()
    })
    .await;
    for engine in &setup.fakes.engines {
        match behind {
            Behind::Gone => engine.faults().set_connection_mode(ConnectionMode::Refuse),
            Behind::Silent => engine
                .faults()
                .set_connection_mode(ConnectionMode::SilenceAll),
            Behind::Status(s) => engine
                .faults()
                .add(Fault::always(FaultKind::Status(s)).on(STEPS)),
            Behind::Busy(ms) => engine
                .faults()
                .add(Fault::always(FaultKind::Busy(ms)).on(STEPS)),
        }
    }
    if let Behind::Gone = behind {
        until("the engines are down", async || {
            let res = request().send().await.expect("an answer");
            let verdict = res.headers().get("kelpworks-verdict").cloned();
            verdict.is_some_and(|v| v == "not-run")
        })
        .await;
    }
    let request = request();
    (setup, request)
}

#[rstest]
#[case::gone("behind_gone", Behind::Gone)]
#[case::busy("behind_busy", Behind::Busy(10_000))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_ran_behind(
    #[case] name: &str,
    #[case] kind: Behind,
    #[values(false, true)] stream: bool,
) {
    let (_setup, request) = behind(kind, stream).await;
    assert_snapshot!(name, tell(request).await);
}

/// Whether the deadline strikes within a try, or the next one no longer fits before it, is a matter
/// of time; what the caller may rely on is not.
#[rstest]
#[case::silent(Behind::Silent)]
#[case::error(Behind::Status(500))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn it_may_have_run_behind(#[case] kind: Behind, #[values(false, true)] stream: bool) {
    let (_setup, request) = behind(kind, stream).await;
    let res = request.send().await.expect("an answer");
    let status = res.status().as_u16();
    assert!(matches!(status, 503 | 504), "{status}");
    assert_eq!(res.headers()["kelpworks-verdict"], "may-have-run");
    assert_eq!(res.headers()["retry-after"], "1");
    let body: ErrorBody = res.json().await.expect("an error");
    let kind = if status == 503 {
        "upstream_failed"
    } else {
        "deadline"
    };
    assert_eq!(body.error.type_, kind);
}

/// Requests that are no HTTP, or HTTP beyond any use, on a connection of their own. The daemon
/// answers the next caller.
#[rstest]
#[case::two_lengths("http_two_lengths", b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}".to_vec())]
#[case::bad_chunk("http_bad_chunk", b"POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer contract-token\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec())]
#[tokio::test]
async fn no_http(#[case] name: &str, #[case] bytes: Vec<u8>) {
    let setup = start(TIGHT).await;
    let mut stream = TcpStream::connect(setup.daemon.bound_addresses().callers)
        .await
        .expect("connected");
    // The daemon may close before it has read everything.
    let _sent = stream.write_all(&bytes).await;
    let _closed = stream.shutdown().await;
    let mut reply = Vec::new();
    let read = stream.read_to_end(&mut reply);
    let ended = tokio::time::timeout(CLIENT_BOUND, read).await;
    assert!(ended.is_ok(), "the connection ends");
    let first = String::from_utf8_lossy(&reply);
    let first = first.lines().next().unwrap_or("closed");
    assert_snapshot!(name, first);
    let next = setup.caller().post(TEXT).body("{}").send().await;
    assert_eq!(next.expect("an answer").status(), 400, "the daemon goes on");
}
