//! Invalid requests: each is refused with the verdict that nothing ran, and the ledgers of the
//! engines confirm it.

mod caller;
mod path;
#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use reqwest::Body;
use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use caller::Caller;
use kelpworks_wire::ErrorBody;
use path::Bench;
use path::MODEL;
use path::PAYING;
use path::TRIAL;

const TEXT: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const VALID_BODY: &str = r#"{"model": "demo", "prompt": "a red kettle"}"#;
/// Exceeds the default limit of 1 MiB on a body.
const OVERSIZED_BODY_LEN: usize = (1 << 20) + 1;
/// Exceeds what any HTTP server accepts as the head of a request.
const OVERSIZED_HEADER_LEN: usize = 1 << 20;

/// Credentials by which a request identifies its team.
#[derive(Clone, Copy, Debug)]
enum Token {
    Valid,
    Absent,
    Wrong,
    Basic,
    Empty,
    NotText,
}

impl Token {
    fn authorize(self, req: RequestBuilder) -> RequestBuilder {
        match self {
            Token::Valid => req.bearer_auth(PAYING.token),
            Token::Absent => req,
            Token::Wrong => req.bearer_auth("nobody's"),
            Token::Basic => req.basic_auth(PAYING.name, Some(PAYING.token)),
            Token::Empty => req.header("authorization", "Bearer "),
            Token::NotText => req.header("authorization", &b"Bearer \xff\xfe"[..]),
        }
    }
}

fn bytes_of(body: &str) -> Vec<u8> {
    body.as_bytes().to_vec()
}

fn deeply_nested_body() -> Vec<u8> {
    let deep = "[".repeat(100_000);
    format!("{{\"model\": \"demo\", \"prompt\": {deep}").into_bytes()
}

fn oversized_body() -> Vec<u8> {
    let prompt = "x".repeat(OVERSIZED_BODY_LEN);
    format!("{{\"model\": \"demo\", \"prompt\": \"{prompt}\"}}").into_bytes()
}

/// Sends a request and asserts that it is refused, that nothing ran, and that the daemon still
/// serves valid requests.
async fn assert_refused(bench: &Bench, req: RequestBuilder, status: u16, kind: &str) {
    let ran = runs(bench);
    let res = req.send().await.expect("an answer");
    assert_eq!(res.status().as_u16(), status);
    let header = |name: &str| {
        res.headers()
            .get(name)
            .map(|v| v.to_str().unwrap().to_owned())
    };
    assert_eq!(header("kelpworks-verdict").as_deref(), Some("not-run"));
    assert_eq!(header("content-type").as_deref(), Some("application/json"));
    let id = header("kelpworks-request-id");
    let body: ErrorBody = res.json().await.expect("a JSON error");
    assert_eq!(body.error.type_, kind);
    assert_eq!(body.error.verdict, "not-run");
    assert_eq!(Some(body.error.request_id), id);
    assert!(!body.error.message.is_empty());
    assert!(
        !body.error.message.contains(PAYING.token),
        "the error message contains the token"
    );
    assert_eq!(runs(bench), ran, "a refused request ran");
    assert_serves(bench).await;
}

fn runs(bench: &Bench) -> u64 {
    let engines = bench.fakes.engines.iter();
    engines.map(|e| e.ledger().totals().runs).sum()
}

async fn assert_serves(bench: &Bench) {
    let answer = bench.caller(0).complete("still here", 2).await;
    let text = bench.model.answer_text("still here", 2);
    assert_eq!(answer.expect("an answer").text, text);
}

#[rstest]
#[case::no_token(TEXT, Token::Absent, bytes_of(VALID_BODY), 401, "unauthorized")]
#[case::wrong_token(TEXT, Token::Wrong, bytes_of(VALID_BODY), 401, "unauthorized")]
#[case::other_scheme(TEXT, Token::Basic, bytes_of(VALID_BODY), 401, "unauthorized")]
#[case::empty_token(TEXT, Token::Empty, bytes_of(VALID_BODY), 401, "unauthorized")]
#[case::token_not_text(TEXT, Token::NotText, bytes_of(VALID_BODY), 401, "unauthorized")]
#[case::chat_no_token(CHAT, Token::Absent, bytes_of("{}"), 401, "unauthorized")]
#[case::service_no_token(
    "/services/jobs/jobs/7",
    Token::Absent,
    bytes_of(""),
    401,
    "unauthorized"
)]
#[case::no_body(TEXT, Token::Valid, bytes_of(""), 400, "invalid_request")]
#[case::not_json(TEXT, Token::Valid, bytes_of("a red kettle"), 400, "invalid_request")]
#[case::cut_json(
    TEXT,
    Token::Valid,
    bytes_of(r#"{"model": "demo", "#),
    400,
    "invalid_request"
)]
#[case::not_utf8(TEXT, Token::Valid, vec![0xff, 0xfe, 0x00], 400, "invalid_request")]
#[case::nested(TEXT, Token::Valid, deeply_nested_body(), 400, "invalid_request")]
#[case::no_prompt(
    TEXT,
    Token::Valid,
    bytes_of(r#"{"model": "demo"}"#),
    400,
    "invalid_request"
)]
#[case::empty_prompt(
    TEXT,
    Token::Valid,
    bytes_of(r#"{"model": "demo", "prompt": ""}"#),
    400,
    "invalid_request"
)]
#[case::prompt_of_another_type(
    TEXT,
    Token::Valid,
    bytes_of(r#"{"model": "demo", "prompt": 7}"#),
    400,
    "invalid_request"
)]
#[case::no_tokens(
    TEXT,
    Token::Valid,
    bytes_of(r#"{"model": "demo", "prompt": "a", "max_tokens": 0}"#),
    400,
    "invalid_request"
)]
#[case::negative_tokens(
    TEXT,
    Token::Valid,
    bytes_of(r#"{"model": "demo", "prompt": "a", "max_tokens": -1}"#),
    400,
    "invalid_request"
)]
#[case::too_many_tokens(
    TEXT,
    Token::Valid,
    bytes_of(r#"{"model": "demo", "prompt": "a", "max_tokens": 4000000000}"#),
    400,
    "invalid_request"
)]
#[case::no_messages(
    CHAT,
    Token::Valid,
    bytes_of(r#"{"model": "demo", "messages": []}"#),
    400,
    "invalid_request"
)]
#[case::unknown_model(
    TEXT,
    Token::Valid,
    bytes_of(r#"{"model": "other", "prompt": "a"}"#),
    404,
    "unknown_model"
)]
#[case::oversized(TEXT, Token::Valid, oversized_body(), 413, "too_large")]
#[case::oversized_chat(CHAT, Token::Valid, oversized_body(), 413, "too_large")]
#[case::unknown_path("/v1/other", Token::Valid, bytes_of(VALID_BODY), 404, "unknown_path")]
#[case::unknown_path_no_token("/", Token::Absent, bytes_of(""), 404, "unknown_path")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_request_is_refused(
    #[case] path: &str,
    #[case] token: Token,
    #[case] body: Vec<u8>,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let bench = Bench::start(1, Duration::ZERO).await;
    let url = format!("{}{path}", bench.base_url(0));
    let req = token.authorize(Client::new().post(url)).body(body);
    assert_refused(&bench, req, status, kind).await;
}

#[rstest]
#[case::get(Method::GET)]
#[case::put(Method::PUT)]
#[case::delete(Method::DELETE)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unsupported_method_is_refused(#[case] method: Method, #[values(TEXT, CHAT)] path: &str) {
    let bench = Bench::start(1, Duration::ZERO).await;
    let url = format!("{}{path}", bench.base_url(0));
    let req = Token::Valid
        .authorize(Client::new().request(method, url))
        .body(VALID_BODY);
    assert_refused(&bench, req, 405, "method_not_allowed").await;
}

/// A body without a content length is limited while it is read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_chunked_body_is_refused() {
    let bench = Bench::start(1, Duration::ZERO).await;
    let chunks = oversized_body()
        .chunks(1 << 14)
        .map(<[u8]>::to_vec)
        .collect::<Vec<_>>();
    let chunks = futures_util::stream::iter(chunks.into_iter().map(Ok::<_, std::io::Error>));
    let body = Body::wrap_stream(chunks);
    let url = format!("{}{TEXT}", bench.base_url(0));
    let req = Token::Valid.authorize(Client::new().post(url)).body(body);
    assert_refused(&bench, req, 413, "too_large").await;
}

/// Input that is not valid HTTP, or whose head is oversized, is answered 4xx or closed, and the
/// daemon still serves valid requests.
#[rstest]
#[case::garbage(b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03 not http\r\n\r\n".to_vec())]
#[case::bad_request_line(b"POST\r\n\r\n".to_vec())]
#[case::one_long_header(one_long_header())]
#[case::many_headers(many_headers())]
#[case::bad_length(b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n".to_vec())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_request_head_is_refused(#[case] head: Vec<u8>) {
    let bench = Bench::start(1, Duration::ZERO).await;
    let ran = runs(&bench);
    let mut conn = TcpStream::connect(bench.daemons[0].bound_addresses().callers)
        .await
        .expect("connects");
    // The daemon may close the connection before it has read everything.
    let _ = conn.write_all(&head).await;
    let mut answer = Vec::new();
    let _ = conn.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
    assert_eq!(runs(&bench), ran);
    assert_serves(&bench).await;
}

fn one_long_header() -> Vec<u8> {
    let value = "x".repeat(OVERSIZED_HEADER_LEN);
    format!("POST {TEXT} HTTP/1.1\r\nhost: a\r\nbomb: {value}\r\n\r\n").into_bytes()
}

fn many_headers() -> Vec<u8> {
    let lines: String = (0..10_000).map(|n| format!("h{n}: x\r\n")).collect();
    format!("POST {TEXT} HTTP/1.1\r\nhost: a\r\n{lines}\r\n").into_bytes()
}

/// A caller can't choose or address a session: ids in its request are ignored, including the id
/// of a running request of another team.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_ids_from_caller_are_ignored() {
    let bench = Bench::start(1, Duration::from_millis(2)).await;
    let mut own = bench
        .caller(0)
        .stream("the owner's", 40)
        .await
        .expect("a stream");
    own.read_tokens(2).await;
    let other = Caller::new(&bench.base_url(0), TRIAL.token, MODEL);
    let id = own.request.clone();
    let body = serde_json::json!({
        "model": MODEL, "prompt": "another's", "max_tokens": 8,
        "id": id, "session": id, "request_id": id, "attempt": 0,
    });
    let sent = other
        .post(TEXT)
        .header("kelpworks-request-id", &id)
        .header("x-request-id", &id);
    let res = sent.json(&body).send().await.expect("an answer");
    assert_ne!(res.headers()["kelpworks-request-id"], id.as_str());
    let answer: kelpworks_wire::CompletionResponse = res.json().await.expect("a completion");
    assert_eq!(
        answer.choices[0].text,
        bench.model.answer_text("another's", 8)
    );
    assert_ne!(answer.id, id);
    let lookup = other
        .get(&format!("{TEXT}/{id}"))
        .send()
        .await
        .expect("an answer");
    assert_eq!(lookup.status().as_u16(), 404);
    let own = own.rest().await;
    assert_eq!(own.text, bench.model.answer_text("the owner's", 40));
    bench.wait_until_kv_freed().await;
}
