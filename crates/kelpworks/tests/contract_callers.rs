//! The callers' API: responses to invalid requests and to failures of engines. Every refusal and
//! failure has a verdict.

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
use contract::wait_until;
use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use kelpworks_wire::ErrorBody;

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const STEPS: &str = "/v1/steps";
/// Number of generated bodies that are sent to each path.
const RANDOM_BODIES: usize = 300;
/// Settings with a short deadline and low limits.
const TIGHT_LIMITS: &str = "request = \"400 ms\"\n[limits]\nbody = \"4 KiB\"\nmax_tokens = 8";
/// Timeout of the client, so that a hanging test fails. No assertion depends on it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

fn client() -> Client {
    let client = Client::builder().no_proxy().timeout(CLIENT_TIMEOUT);
    client.build().expect("a client")
}

async fn start(timing: &str) -> Setup {
    Setup::start(async |_: &mut kelpworks_fakes::fleet::FleetView| {}, timing).await
}

async fn send_and_describe(req: RequestBuilder) -> String {
    describe(req.send().await.expect("an answer")).await
}

/// Returns a valid completion request with the fields of `change` added or replaced.
fn completion_body(change: Value) -> Value {
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
async fn invalid_credentials_are_refused_before_body(#[case] name: &str, #[case] header: &str) {
    let setup = start(TIGHT_LIMITS).await;
    let mut transcript = String::new();
    for path in [COMPLETIONS, CHAT, "/services/jobs/1"] {
        let req = client().post(format!("{}{path}", setup.base()));
        let req = req.header("authorization", header);
        // The token is checked before the body is parsed.
        transcript.push_str(&format!(
            "{path}\n{}\n",
            send_and_describe(req.body("no JSON")).await
        ));
    }
    assert_snapshot!(format!("caller_{name}"), transcript);
}

/// HTTP authentication schemes are case-insensitive.
#[rstest]
#[tokio::test]
async fn authorization_scheme_is_case_insensitive(
    #[values("Bearer", "bearer", "BEARER")] scheme: &str,
) {
    let setup = start(TIGHT_LIMITS).await;
    let req = client().post(format!("{}{COMPLETIONS}", setup.base()));
    let req = req.header("authorization", format!("{scheme} {TOKEN}"));
    let res = req.body("no JSON").send().await.expect("an answer");
    assert_eq!(
        res.status(),
        400,
        "the token is accepted and the body refused"
    );
}

#[rstest]
#[case::prompt_list("prompt_list", completion_body(json!({ "prompt": ["a", "b"] })))]
#[case::too_many_tokens("too_many_tokens", completion_body(json!({ "max_tokens": 9 })))]
#[case::huge_tokens("huge_tokens", completion_body(json!({ "max_tokens": 1e30 })))]
#[case::stream_word("stream_word", completion_body(json!({ "stream": "yes" })))]
#[case::list("list", json!([1, 2]))]
#[case::null("null", Value::Null)]
#[case::later_field("later_field", completion_body(json!({ "temperature": 0.5, "n": { "x": 1 } })))]
#[tokio::test]
async fn completion_body_fields(#[case] name: &str, #[case] body: Value) {
    let setup = start(TIGHT_LIMITS).await;
    let caller = setup.caller();
    wait_until("the daemon has a path", async || {
        let req = caller.post(COMPLETIONS).json(&completion_body(json!({})));
        req.send().await.expect("an answer").status().is_success()
    })
    .await;
    assert_snapshot!(
        format!("caller_{name}"),
        send_and_describe(caller.post(COMPLETIONS).json(&body)).await
    );
}

/// Bodies that are not valid JSON, or that don't have the fields of the path's requests.
#[rstest]
#[case::not_utf8(
    "raw_not_utf8",
    COMPLETIONS,
    b"{\"model\": \"demo\", \"prompt\": \"\xff\xfe\"}"
)]
#[case::twice(
    "raw_twice",
    COMPLETIONS,
    br#"{"model": "demo", "model": "demo", "prompt": "a"}"#
)]
#[case::chat_of_text("raw_chat_of_text", CHAT, br#"{"model": "demo", "prompt": "a"}"#)]
#[case::chat_without_role(
    "raw_chat_no_role",
    CHAT,
    br#"{"model": "demo", "messages": [{"content": "a"}]}"#
)]
#[tokio::test]
async fn malformed_or_mismatched_bodies_are_refused(
    #[case] name: &str,
    #[case] path: &str,
    #[case] body: &'static [u8],
) {
    let setup = start(TIGHT_LIMITS).await;
    let req = setup.caller().post(path).body(body);
    assert_snapshot!(format!("caller_{name}"), send_and_describe(req).await);
}

#[rstest]
#[case::trailing_slash("trailing_slash", Method::POST, "/v1/completions/")]
#[case::upper_case("upper_case", Method::POST, "/V1/COMPLETIONS")]
#[case::unknown_service("unknown_service", Method::GET, "/services/poems/1")]
#[case::no_service("no_service", Method::GET, "/services/")]
#[tokio::test]
async fn unknown_paths_are_refused_as_not_run(
    #[case] name: &str,
    #[case] method: Method,
    #[case] path: &str,
) {
    let setup = start(TIGHT_LIMITS).await;
    let url = format!("{}{path}", setup.base());
    let req = client().request(method, url).bearer_auth(TOKEN);
    let res = req.send().await.expect("an answer");
    let verdict = res.headers().get("kelpworks-verdict").cloned();
    assert_eq!(verdict.expect("a verdict"), "not-run");
    assert_snapshot!(format!("caller_{name}"), describe(res).await);
}

/// Generates random bytes, and valid bodies with one to three bytes replaced.
fn random_or_damaged_body() -> impl Strategy<Value = Vec<u8>> {
    let noise = vec(any::<u8>(), 0..200);
    let damage = vec((any::<Index>(), any::<u8>()), 1..4);
    let damaged = (any::<bool>(), damage).prop_map(|(stream, damage)| {
        let mut body = completion_body(json!({ "stream": stream }))
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

/// Any body gets an answer or a refusal with a verdict, never status 500, and the daemon goes on
/// serving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_refused_body_has_a_verdict() {
    let setup = start(TIGHT_LIMITS).await;
    let caller = setup.caller();
    let mut runner = TestRunner::deterministic();
    for _ in 0..RANDOM_BODIES {
        let body = random_or_damaged_body()
            .new_tree(&mut runner)
            .expect("a body")
            .current();
        for path in [COMPLETIONS, CHAT] {
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

/// Failure of all engines.
#[derive(Clone, Copy, Debug)]
enum EngineFailure {
    /// Engines refuse connections, and the daemon has noticed it.
    ConnectionRefused,
    /// Engines don't respond on any connection.
    Silent,
    /// Steps are refused with this status.
    Status(u16),
    /// Steps are answered as busy, with this retry delay in milliseconds. Cases use a delay longer
    /// than the deadline, so that the deadline passes between two steps and not within one.
    Busy(u32),
}

/// Starts a daemon, makes its engines fail after it has served a request, and returns another
/// request to send.
async fn start_with_failing_engines(
    failure: EngineFailure,
    stream: bool,
) -> (Setup, RequestBuilder) {
    let setup = start(TIGHT_LIMITS).await;
    let caller = setup.caller();
    let body = completion_body(json!({ "stream": stream }));
    let request = || caller.post(COMPLETIONS).json(&body);
    wait_until("the daemon has a path", async || {
        request()
            .send()
            .await
            .expect("an answer")
            .status()
            .is_success()
    })
    .await;
    for engine in &setup.fakes.engines {
        match failure {
            EngineFailure::ConnectionRefused => {
                engine.faults().set_connection_mode(ConnectionMode::Refuse)
            }
            EngineFailure::Silent => engine
                .faults()
                .set_connection_mode(ConnectionMode::SilenceAll),
            EngineFailure::Status(s) => engine
                .faults()
                .add(Fault::always(FaultKind::Status(s)).on(STEPS)),
            EngineFailure::Busy(ms) => engine
                .faults()
                .add(Fault::always(FaultKind::Busy(ms)).on(STEPS)),
        }
    }
    if let EngineFailure::ConnectionRefused = failure {
        wait_until("the engines are down", async || {
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
#[case::gone("behind_gone", EngineFailure::ConnectionRefused)]
#[case::busy("behind_busy", EngineFailure::Busy(10_000))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_without_usable_engine_is_not_run(
    #[case] name: &str,
    #[case] failure: EngineFailure,
    #[values(false, true)] stream: bool,
) {
    let (_setup, request) = start_with_failing_engines(failure, stream).await;
    assert_snapshot!(name, send_and_describe(request).await);
}

/// The deadline may pass during an attempt (504), or the next attempt may no longer fit before it
/// (503). Which one happens depends on timing; verdict and retry delay are the same.
#[rstest]
#[case::silent(EngineFailure::Silent)]
#[case::error(EngineFailure::Status(500))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_to_failing_engines_may_have_run(
    #[case] failure: EngineFailure,
    #[values(false, true)] stream: bool,
) {
    let (_setup, request) = start_with_failing_engines(failure, stream).await;
    let res = request.send().await.expect("an answer");
    let status = res.status().as_u16();
    assert!(matches!(status, 503 | 504), "{status}");
    assert_eq!(res.headers()["kelpworks-verdict"], "may-have-run");
    assert_eq!(res.headers()["retry-after"], "1");
    let body: ErrorBody = res.json().await.expect("an error");
    let error_type = if status == 503 {
        "upstream_failed"
    } else {
        "deadline"
    };
    assert_eq!(body.error.type_, error_type);
}

/// Invalid HTTP requests, each on a connection of its own. The daemon ends the connection and
/// answers the next caller.
#[rstest]
#[case::two_lengths("http_two_lengths", b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}".to_vec())]
#[case::bad_chunk("http_bad_chunk", b"POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer contract-token\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec())]
#[tokio::test]
async fn invalid_http_ends_the_connection_only(#[case] name: &str, #[case] bytes: Vec<u8>) {
    let setup = start(TIGHT_LIMITS).await;
    let mut stream = TcpStream::connect(setup.daemon.bound_addresses().callers)
        .await
        .expect("connected");
    // The daemon may close the connection before it has read everything.
    let _sent = stream.write_all(&bytes).await;
    let _closed = stream.shutdown().await;
    let mut reply = Vec::new();
    let read = stream.read_to_end(&mut reply);
    let ended = tokio::time::timeout(CLIENT_TIMEOUT, read).await;
    assert!(ended.is_ok(), "the connection ends");
    let first = String::from_utf8_lossy(&reply);
    let first = first.lines().next().unwrap_or("closed");
    assert_snapshot!(name, first);
    let next = setup.caller().post(COMPLETIONS).body("{}").send().await;
    assert_eq!(next.expect("an answer").status(), 400, "the daemon goes on");
}
