//! The HTTP clients of upstreams, of the object API and of the host list, against servers whose answers don't say where
//! their bodies end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Method;
use reqwest::header::HeaderMap;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use kelpworks::clients::engine::Engine;
use kelpworks::clients::engine::HttpEngine;
use kelpworks::clients::host_list;
use kelpworks::clients::host_list::HostListApi;
use kelpworks::clients::host_list::HttpHostList;
use kelpworks::clients::object_api::Condition;
use kelpworks::clients::object_api::Deadlines;
use kelpworks::clients::object_api::Error;
use kelpworks::clients::object_api::HttpObjectApi;
use kelpworks::clients::object_api::ObjectApi;
use kelpworks::clients::plain_service::PlainService;
use kelpworks::clients::plain_service::ServiceAnswer;
use kelpworks::clients::plain_service::ServiceCall;
use kelpworks::verdict::Verdict;

/// Long enough for a heavily loaded machine; nothing waits for it.
const TIMEOUT: Duration = Duration::from_secs(30);
const OBJECT: &str = r#"{"kind": "k", "name": "n", "version": 7, "body": "text"}"#;
const HOSTS: &str = r#"{"hosts": [], "version": 7}"#;
const STATE: &str = r#"{"draining": false, "highest_fence": 0, "incarnation": 1, "loaded": [], "loading": [], "name": "h",
    "load": {"draining": false, "kv_free": 9, "queue_ms": 0, "queued": 0, "running": 0}}"#;
const TEXT: &str = "a body of the service";

/// How an answer is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Sound,
    CodingMisspelt,
    CodingAndLength,
    CodingNameMisspelt,
    LengthsDiffer,
    LengthIsPart,
    NoField,
    NameWithBlank,
    Status,
}

impl Form {
    fn answer(self, body: &str) -> String {
        let chunks = format!("\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        let len = body.len();
        let (status, rest) = match self {
            Form::Sound => ("200", format!("content-length: {len}\r\n\r\n{body}")),
            Form::CodingMisspelt => ("200", format!("transfer-encoding: chunkd\r\n{chunks}")),
            Form::CodingAndLength => (
                "200",
                format!("transfer-encoding: chunked\r\ncontent-length: 5\r\n{chunks}"),
            ),
            Form::CodingNameMisspelt => ("200", format!("transfer-encodinx: chunked\r\n{chunks}")),
            Form::LengthsDiffer => (
                "200",
                format!("content-length: {len}\r\ncontent-length: 5\r\n\r\n{body}"),
            ),
            Form::LengthIsPart => ("200", format!("content-length: 5\r\n\r\n{body}")),
            Form::NoField => (
                "200",
                format!("this is no field\r\ncontent-length: {len}\r\n\r\n{body}"),
            ),
            Form::NameWithBlank => (
                "200",
                format!("content length: 5\r\ncontent-length: {len}\r\n\r\n{body}"),
            ),
            Form::Status => ("999", format!("content-length: {len}\r\n\r\n{body}")),
        };
        format!("HTTP/1.1 {status} X\r\n{rest}")
    }
}

/// Starts a server that answers every request so.
async fn start(form: Form, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, form.answer(body)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: String) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await
}

async fn call(form: Form) -> kelpworks::clients::plain_service::Result<ServiceAnswer> {
    let address = start(form, TEXT).await;
    let call = ServiceCall {
        method: &Method::GET,
        path: "/x",
        headers: &HeaderMap::new(),
        body: &Bytes::new(),
    };
    let url = Arc::from(format!("http://{address}"));
    HttpEngine::new(TIMEOUT).call(&url, call, TIMEOUT).await
}

/// Guards against a caller of a plain service that gets a part of a body, or the bytes that frame it.
#[rstest]
#[case(Form::CodingMisspelt)]
#[case(Form::CodingAndLength)]
#[case(Form::CodingNameMisspelt)]
#[case(Form::LengthsDiffer)]
#[case(Form::NoField)]
#[case(Form::NameWithBlank)]
#[case(Form::Status)]
#[tokio::test]
async fn malformed_answer_of_a_service_is_a_lost_one(#[case] form: Form) {
    let error = call(form).await.expect_err("no answer");
    assert_eq!(error.verdict(), Verdict::MayHaveRun, "{error}");
}

/// Guards against a caller of a plain service that gets the part of a body that a wrong length leaves.
#[tokio::test]
async fn answer_of_a_service_whose_length_is_too_small_is_a_lost_one() {
    let answer = call(Form::LengthIsPart).await;
    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn sound_answer_of_a_service_is_returned() {
    let answer = call(Form::Sound).await.expect("an answer");
    assert_eq!(answer.body, TEXT);
}

/// Guards against an upstream that counts as healthy, or whose state is believed, by an answer that can't be used.
#[rstest]
#[case(Form::Sound, true)]
#[case(Form::CodingMisspelt, false)]
#[case(Form::CodingAndLength, false)]
#[case(Form::LengthsDiffer, false)]
#[case(Form::Status, false)]
#[tokio::test]
async fn malformed_answer_shows_no_health(#[case] form: Form, #[case] expected: bool) {
    let engine = HttpEngine::new(TIMEOUT);
    let url = Arc::from(format!("http://{}", start(form, TEXT).await));
    let is_healthy = engine.health(&url, TIMEOUT).await;
    assert_eq!(is_healthy.is_ok_and(|healthy| healthy), expected);
    let url = Arc::from(format!("http://{}", start(form, STATE).await));
    let state = engine.state(&url, TIMEOUT).await;
    assert_eq!(state.is_ok(), expected, "{state:?}");
}

/// Guards against a write that is taken for refused, or an object that is believed, by an answer that can't be used.
#[rstest]
#[case(Form::CodingMisspelt)]
#[case(Form::CodingAndLength)]
#[case(Form::CodingNameMisspelt)]
#[case(Form::LengthsDiffer)]
#[case(Form::LengthIsPart)]
#[case(Form::NoField)]
#[case(Form::NameWithBlank)]
#[case(Form::Status)]
#[tokio::test]
async fn malformed_answer_of_the_object_api_is_a_lost_one(#[case] form: Form) {
    let address = start(form, OBJECT).await;
    let deadlines = Deadlines {
        call: TIMEOUT,
        ..Deadlines::default()
    };
    let api = HttpObjectApi::new(&format!("http://{address}"), deadlines).expect("a client");
    assert_eq!(api.get("k", "n").await, Err(Error::Lost));
    let put = api.put("k", "n", "text".to_owned(), Condition::Always);
    assert_eq!(put.await, Err(Error::Lost));
}

#[rstest]
#[case(Form::CodingAndLength)]
#[case(Form::LengthsDiffer)]
#[case(Form::LengthIsPart)]
#[case(Form::Status)]
#[tokio::test]
async fn malformed_answer_of_the_host_list_is_none(#[case] form: Form) {
    let address = start(form, HOSTS).await;
    let deadlines = host_list::Deadlines {
        call: TIMEOUT,
        ..host_list::Deadlines::default()
    };
    let list = HttpHostList::new(&format!("http://{address}"), deadlines).expect("a client");
    assert!(list.hosts().await.is_err());
}
