//! Upstreams whose answers have heads that can't be used, or that don't say where the body ends.

mod relay_site;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use reqwest::StatusCode;
use reqwest::header;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::cut::LinksOf;
use relay_site::daemon::Relay;

/// Time between two tries of a test, and between two requests: in it, ejected upstreams return.
const INTERVAL: Duration = Duration::from_millis(150);
const UPSTREAMS: usize = 6;
const CALL_BODY: &str = "a body of the upstream";
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// Length of the first event.
const FIRST_EVENT: usize = 17;
/// An answer that no request waits for.
const FURTHER_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";

/// How an answer's body is sent, and what follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// Without chunks; then the connection is closed.
    Plain,
    /// Without chunks; the connection stays open.
    PlainOpen,
    /// In one chunk.
    Chunks,
    /// Without chunks, and another answer behind it.
    Further,
}
use Form::Chunks;
use Form::Further;
use Form::Plain;
use Form::PlainOpen;

/// An answer: its name, what precedes the fields that all answers have, further lines of the head, and its body. `LEN`
/// stands for the length of the body, `PART` for that of a part of it, `ID` for the request.
type Case = (&'static str, &'static str, &'static str, Form);

const OK: &str = "HTTP/1.1 200 OK\r\n";

/// Answers from which a caller would get a body or a status that isn't the upstream's.
const MALFORMED: &[Case] = &[
    (
        "coding-misspelt",
        OK,
        "transfer-encoding: chunkd\r\n",
        Chunks,
    ),
    ("coding-empty", OK, "transfer-encoding: \r\n", Chunks),
    (
        "coding-identity",
        OK,
        "transfer-encoding: identity\r\n",
        Chunks,
    ),
    (
        "coding-before",
        OK,
        "transfer-encoding: gzip, chunked\r\n",
        Chunks,
    ),
    (
        "coding-behind",
        OK,
        "transfer-encoding: chunked, gzip\r\n",
        Chunks,
    ),
    (
        "coding-parameter",
        OK,
        "transfer-encoding: chunked;q=1\r\n",
        Chunks,
    ),
    (
        "coding-no-text",
        OK,
        "transfer-encoding: chunk\u{e9}d\r\n",
        Chunks,
    ),
    (
        "coding-another-line",
        OK,
        "transfer-encoding: chunked\r\ntransfer-encoding: x\r\n",
        Chunks,
    ),
    (
        "coding-twice",
        OK,
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        Chunks,
    ),
    (
        "coding-misspelt-and-length",
        OK,
        "transfer-encoding: chunkd\r\ncontent-length: 5\r\n",
        Chunks,
    ),
    (
        "coding-and-length",
        OK,
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n",
        Chunks,
    ),
    (
        "coding-in-1.0",
        "HTTP/1.0 200 OK\r\n",
        "transfer-encoding: chunked\r\n",
        Chunks,
    ),
    (
        "coding-name-misspelt",
        OK,
        "transfer-encodinx: chunked\r\n",
        Chunks,
    ),
    (
        "coding-name-blank",
        OK,
        "transfer encoding: chunked\r\n",
        Chunks,
    ),
    (
        "coding-name-control",
        OK,
        "transfer\u{1}-encoding: chunked\r\n",
        Chunks,
    ),
    (
        "coding-blank-before-colon",
        OK,
        "transfer-encoding : chunked\r\n",
        Chunks,
    ),
    (
        "coding-tab-before-colon",
        OK,
        "transfer-encoding\t: chunked\r\n",
        Chunks,
    ),
    (
        "coding-leading-blank",
        OK,
        " transfer-encoding: chunked\r\n",
        Chunks,
    ),
    (
        "coding-no-colon",
        OK,
        "transfer-encoding chunked\r\n",
        Chunks,
    ),
    ("length-part", OK, "content-length: PART\r\n", Plain),
    (
        "length-part-open",
        OK,
        "content-length: PART\r\n",
        PlainOpen,
    ),
    (
        "length-part-closing",
        OK,
        "connection: close\r\ncontent-length: PART\r\n",
        Plain,
    ),
    ("length-zero", OK, "content-length: 0\r\n", Plain),
    ("length-too-large", OK, "content-length: 50\r\n", Plain),
    ("length-sign", OK, "content-length: +20\r\n", Plain),
    ("length-letter", OK, "content-length: 2o\r\n", Plain),
    ("length-empty", OK, "content-length: \r\n", Plain),
    ("length-hexadecimal", OK, "content-length: 0x14\r\n", Plain),
    ("length-negative", OK, "content-length: -1\r\n", Plain),
    (
        "length-overflow",
        OK,
        "content-length: 18446744073709551636\r\n",
        Plain,
    ),
    (
        "length-largest",
        OK,
        "content-length: 18446744073709551615\r\n",
        Plain,
    ),
    (
        "length-list-differs",
        OK,
        "content-length: LEN, 5\r\n",
        Plain,
    ),
    (
        "length-lines-differ",
        OK,
        "content-length: LEN\r\ncontent-length: 5\r\n",
        Plain,
    ),
    ("length-list-comma", OK, "content-length: 5,\r\n", Plain),
    ("length-folded", OK, "content-length: 2\r\n 0\r\n", Plain),
    ("length-nul", OK, "content-length: 5\0\r\n", Plain),
    ("length-bare-cr", OK, "content-length: 5\rx: y\r\n", Plain),
    ("length-name-blank", OK, "content length: 5\r\n", Plain),
    (
        "length-name-control",
        OK,
        "content-len\u{1}gth: 5\r\n",
        Plain,
    ),
    (
        "length-blank-before-colon",
        OK,
        "content-length : 5\r\n",
        Plain,
    ),
    ("name-blank", OK, "x a: b\r\ncontent-length: LEN\r\n", Plain),
    (
        "name-control",
        OK,
        "x\u{1}a: b\r\ncontent-length: LEN\r\n",
        Plain,
    ),
    (
        "name-delete",
        OK,
        "x\u{7f}a: b\r\ncontent-length: LEN\r\n",
        Plain,
    ),
    ("name-empty", OK, ": x\r\ncontent-length: LEN\r\n", Plain),
    (
        "no-field",
        OK,
        "this is no field\r\ncontent-length: LEN\r\n",
        Plain,
    ),
    (
        "no-field-behind",
        OK,
        "content-length: LEN\r\nthis is no field\r\n",
        Plain,
    ),
    (
        "value-folded",
        OK,
        "x-a: b\r\n c\r\ncontent-length: LEN\r\n",
        Plain,
    ),
    ("value-bare-cr", OK, "x-a: b\rcontent-length: 5\r\n", Plain),
    (
        "value-control",
        OK,
        "x-a: \u{1}\r\ncontent-length: LEN\r\n",
        Plain,
    ),
    (
        "status-000",
        "HTTP/1.1 000 OK\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "status-099",
        "HTTP/1.1 099 OK\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "status-20",
        "HTTP/1.1 20 OK\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "status-2000",
        "HTTP/1.1 2000 OK\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "status-600",
        "HTTP/1.1 600 OK\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "status-999",
        "HTTP/1.1 999 OK\r\n",
        "content-length: LEN\r\n",
        PlainOpen,
    ),
    (
        "status-101",
        "HTTP/1.1 101 Switching\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "status-101-upgrade",
        "HTTP/1.1 101 Switching\r\n",
        "upgrade: x\r\nconnection: upgrade\r\n",
        Plain,
    ),
    (
        "status-204-body",
        "HTTP/1.1 204 No Content\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "status-204-body-behind",
        "HTTP/1.1 204 No Content\r\n",
        "",
        Plain,
    ),
    (
        "status-205-body",
        "HTTP/1.1 205 Reset\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    ("status-205-no-length", "HTTP/1.1 205 Reset\r\n", "", Plain),
    (
        "status-205-chunks",
        "HTTP/1.1 205 Reset\r\n",
        "transfer-encoding: chunked\r\n",
        Chunks,
    ),
    (
        "status-304-body",
        "HTTP/1.1 304 Not Modified\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "id-differs",
        OK,
        "x-kelpworks-attempt-id: other\r\ncontent-length: LEN\r\n",
        Plain,
    ),
    (
        "version-2",
        "HTTP/2.0 200 OK\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "version-none",
        "200 OK\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
];

/// Answers that are rare, and complete.
const SOUND: &[Case] = &[
    ("length", OK, "content-length: LEN\r\n", Plain),
    ("length-open", OK, "content-length: LEN\r\n", PlainOpen),
    ("length-leading-zero", OK, "content-length: 0LEN\r\n", Plain),
    (
        "length-lines-equal",
        OK,
        "content-length: LEN\r\nContent-Length: LEN\r\n",
        Plain,
    ),
    (
        "length-list-equal",
        OK,
        "content-length: LEN, LEN\r\n",
        Plain,
    ),
    (
        "length-named-by-connection",
        OK,
        "connection: content-length, content-type\r\ncontent-length: LEN\r\n",
        Plain,
    ),
    ("chunks", OK, "transfer-encoding: chunked\r\n", Chunks),
    (
        "chunks-capitals",
        OK,
        "Transfer-Encoding: CHUNKED\r\n",
        Chunks,
    ),
    (
        "id-repeated",
        OK,
        "x-kelpworks-attempt-id: ID\r\ncontent-length: LEN\r\n",
        Plain,
    ),
    ("no-length", OK, "", Plain),
    ("no-length-1.0", "HTTP/1.0 200 OK\r\n", "", Plain),
    (
        "length-1.0",
        "HTTP/1.0 200 OK\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "continue-before",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
        "content-length: LEN\r\n",
        Plain,
    ),
    (
        "hints-before",
        "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n",
        "transfer-encoding: chunked\r\n",
        Chunks,
    ),
    ("further-answer", OK, "content-length: LEN\r\n", Further),
    (
        "lines-end-in-lf",
        "HTTP/1.1 200 OK\n",
        "content-length: LEN\n",
        Plain,
    ),
];

/// Upstreams whose answer to the first request of an id is the case that the id names; further ones are sound.
#[derive(Default)]
struct Upstream {
    arrivals: Mutex<HashMap<String, usize>>,
    /// Requests that came on a connection after an answer that is malformed.
    on_malformed: Mutex<Vec<String>>,
}

impl Upstream {
    async fn start(site: &mut Site) -> Arc<Upstream> {
        let upstream = Arc::new(Upstream::default());
        for number in 0..UPSTREAMS {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            let address = site.links.spawn(address).await;
            let entry = json!({
                "service": "fragile", "address": address.to_string(), "zone": "hall-a",
                "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": 1
            });
            site.store
                .put("servers", &format!("malformed-{number}"), entry);
            tokio::spawn(Arc::clone(&upstream).accept(listener));
        }
        let last = format!("malformed-{}", UPSTREAMS - 1);
        let until = Instant::now() + WAIT_TIMEOUT;
        while !site.daemons.iter().all(|d| d.log().contains(&last)) {
            assert!(Instant::now() < until, "not registered");
            tokio::time::sleep(INTERVAL).await;
        }
        upstream
    }

    async fn accept(self: Arc<Upstream>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let upstream = Arc::clone(&self);
            tokio::spawn(async move {
                let _ = upstream.serve(stream).await;
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut was_malformed = false;
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            let head = String::from_utf8_lossy(&head).to_lowercase();
            let mut lines = head.lines();
            let id = lines.find_map(|l| l.strip_prefix("x-kelpworks-attempt-id:"));
            let id = id.unwrap_or_default().trim();
            if was_malformed {
                let mut on_malformed = self.on_malformed.lock().expect("no panic");
                on_malformed.push(id.to_owned());
            }
            let is_first = {
                let mut arrivals = self.arrivals.lock().expect("no panic");
                let n = arrivals.entry(id.to_owned()).or_default();
                *n += 1;
                *n == 1
            };
            let name = id.split('/').next().unwrap_or_default();
            let is_case = |case: &&Case| is_first && case.0 == name;
            let malformed = MALFORMED.iter().find(is_case);
            let case = malformed.or_else(|| SOUND.iter().find(is_case));
            let case = case.copied().unwrap_or(SOUND[0]);
            was_malformed |= malformed.is_some();
            stream.write_all(&answer(id, &head, case)).await?;
            if case.3 != PlainOpen {
                return stream.shutdown().await;
            }
        }
    }

    fn arrivals(&self, id: &str) -> usize {
        let arrivals = self.arrivals.lock().expect("no panic");
        arrivals.get(id).copied().unwrap_or(0)
    }
}

/// Returns the bytes of an answer; a character is a byte.
fn answer(id: &str, request: &str, (_, start, lines, form): Case) -> Vec<u8> {
    let (kind, body, part) = match request.contains("/fragile-events/") {
        true => ("text/event-stream", EVENTS, FIRST_EVENT),
        false => ("text/plain", CALL_BODY, 5),
    };
    let lines = lines.replace("LEN", &body.len().to_string());
    let lines = lines.replace("PART", &part.to_string());
    let lines = lines.replace("ID", id);
    let body = match form {
        _ if request.starts_with("head ") => String::new(),
        Plain | PlainOpen => body.to_owned(),
        Chunks => format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        Further => format!("{body}{FURTHER_ANSWER}"),
    };
    let text = format!(
        "{start}x-kelpworks-attempt-id: {id}\r\nx-kelpworks-server-stamp: stamp\r\n\
         content-type: {kind}\r\n{lines}\r\n{body}"
    );
    text.chars().map(|c| c as u8).collect()
}

/// What a caller got, and how often its request arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Outcome {
    /// Status, body, and whether its length, if named, is that of the body; or why there is no answer.
    answer: std::result::Result<(StatusCode, String, bool), String>,
    arrivals: usize,
}

/// Sends a request for a case, and reads the whole answer.
async fn play(daemon: &Relay, upstream: &Upstream, kind: Kind, name: &str) -> Outcome {
    let (method, prefix) = kind.route();
    let id = format!("{name}/{kind:?}").to_lowercase();
    let req = daemon.request(method, &format!("{prefix}{name}"), &id);
    let req = req.header("x-kelpworks-token-count", "10,3");
    let answer = read(req.timeout(WAIT_TIMEOUT)).await;
    Outcome {
        answer: answer.map_err(|e| format!("{e:?}")),
        arrivals: upstream.arrivals(&id),
    }
}

async fn read(req: reqwest::RequestBuilder) -> reqwest::Result<(StatusCode, String, bool)> {
    let res = req.send().await?;
    let status = res.status();
    let lengths = res.headers().get_all(header::CONTENT_LENGTH).iter();
    let lengths: Vec<String> = lengths
        .map(|v| v.to_str().expect("text").to_owned())
        .collect();
    let has_coding = res.headers().contains_key(header::TRANSFER_ENCODING);
    let body = res.text().await?;
    let is_framed_once = match has_coding {
        true => lengths.is_empty(),
        false => lengths == [body.len().to_string()],
    };
    Ok((status, body, is_framed_once))
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Call,
    Once,
    Stream,
}

impl Kind {
    fn route(self) -> (Method, &'static str) {
        match self {
            Kind::Call => (Method::GET, "/fragile/"),
            Kind::Once => (Method::POST, "/fragile-once/"),
            Kind::Stream => (Method::POST, "/fragile-events/"),
        }
    }

    fn served(self, arrivals: usize) -> Outcome {
        let body = match self {
            Kind::Stream => EVENTS,
            _ => CALL_BODY,
        };
        Outcome {
            answer: Ok((StatusCode::OK, body.to_owned(), true)),
            arrivals,
        }
    }

    /// Returns whether a malformed answer was treated as one that broke off.
    fn is_broken_off(self, outcome: &Outcome) -> bool {
        match self {
            Kind::Call | Kind::Stream => *outcome == self.served(2),
            Kind::Once => {
                let status = outcome.answer.as_ref().map(|a| a.0);
                status == Ok(StatusCode::BAD_GATEWAY) && outcome.arrivals == 1
            }
        }
    }
}

/// Guards against a caller that gets a part of a body, the bytes that frame it, or a status that is none, as the answer
/// to its request. A request that may be repeated is served by another upstream; others may have run.
#[rstest]
#[case::call(Kind::Call)]
#[case::once(Kind::Once)]
#[case::stream(Kind::Stream)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_answer_is_one_that_broke_off(#[case] kind: Kind) {
    let mut site = Site::start(&format!("malformed-{kind:?}"), 1).await;
    let upstream = Upstream::start(&mut site).await;
    let mut passed_on = Vec::new();
    for case in MALFORMED {
        let outcome = play(&site.daemons[0], &upstream, kind, case.0).await;
        if !kind.is_broken_off(&outcome) {
            passed_on.push((case.0, outcome));
        }
        tokio::time::sleep(INTERVAL).await;
    }
    assert!(passed_on.is_empty(), "{passed_on:#?}");
    let on_malformed = upstream.on_malformed.lock().expect("no panic").clone();
    assert!(on_malformed.is_empty(), "{on_malformed:?}");
}

/// Guards against a check that refuses complete answers.
#[rstest]
#[case::call(Kind::Call)]
#[case::once(Kind::Once)]
#[case::stream(Kind::Stream)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rare_answer_that_is_complete_is_passed_on(#[case] kind: Kind) {
    let mut site = Site::start(&format!("sound-{kind:?}"), 1).await;
    let upstream = Upstream::start(&mut site).await;
    let mut refused = Vec::new();
    for case in SOUND {
        let outcome = play(&site.daemons[0], &upstream, kind, case.0).await;
        if outcome != kind.served(1) {
            refused.push((case.0, outcome));
        }
    }
    assert!(refused.is_empty(), "{refused:#?}");
}

/// Guards against malformed answers that are passed on by way of the daemon that a request was handed over to.
#[rstest]
#[case::call(Kind::Call)]
#[case::once(Kind::Once)]
#[case::stream(Kind::Stream)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_answer_to_a_request_that_was_handed_over_is_not_passed_on(#[case] kind: Kind) {
    let mut site = Site::start_with_links(&format!("malformed-handover-{kind:?}"), 3).await;
    let upstream = Upstream::start(&mut site).await;
    site.set_links(0, LinksOf::Reset);
    let daemon = &site.daemons[0];
    let until = Instant::now() + WAIT_TIMEOUT;
    let mut n = 0;
    while !daemon.log().contains("upstreams out of reach") {
        play(daemon, &upstream, Kind::Call, &format!("warm-up-{n}")).await;
        assert!(Instant::now() < until, "not out of reach");
        tokio::time::sleep(INTERVAL).await;
        n += 1;
    }
    let mut passed_on = Vec::new();
    let faults = HashSet::from([
        "coding-misspelt",
        "coding-and-length",
        "length-part",
        "status-999",
    ]);
    for case in MALFORMED.iter().filter(|case| faults.contains(case.0)) {
        let outcome = play(daemon, &upstream, kind, case.0).await;
        if !kind.is_broken_off(&outcome) {
            passed_on.push((case.0, outcome));
        }
        tokio::time::sleep(INTERVAL).await;
    }
    assert!(passed_on.is_empty(), "{passed_on:#?}");
}

/// Guards against an answer to HEAD that loses the length of the body that it does not have.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_to_head_keeps_its_length() {
    let mut site = Site::start("malformed-head", 1).await;
    let upstream = Upstream::start(&mut site).await;
    let req = site.daemons[0].request(Method::HEAD, "/fragile/x", "length-without-body");
    let res = req.timeout(WAIT_TIMEOUT).send().await.expect("an answer");
    assert_eq!(res.status(), StatusCode::OK);
    let length = res.headers().get(header::CONTENT_LENGTH).cloned();
    assert_eq!(length, Some(CALL_BODY.len().into()));
    assert_eq!(upstream.arrivals("length-without-body"), 1);
}

/// What an engine answers to one kind of message; the other kind gets a sound answer.
#[derive(Clone, Copy, Debug)]
struct EngineFault {
    path: &'static str,
    start: &'static str,
    lines: &'static str,
}

/// Starts an engine that has just come, one of whose answers is malformed.
async fn start_engine(site: &Site, fault: EngineFault) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut entry = site.engines.all()[0].entry();
    entry["address"] = json!(address.to_string());
    entry["layers"] = json!(null);
    let report = json!({"born": entry["born"], "busy": false, "seq": 0}).to_string();
    site.store.put("servers", "malformed-engine", entry);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let report = report.clone();
            tokio::spawn(async move {
                let _ = answer_engine_calls(stream, fault, &report).await;
            });
        }
    });
}

async fn answer_engine_calls(
    mut stream: TcpStream,
    fault: EngineFault,
    report: &str,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head);
    let (start, body) = match head.starts_with("GET /report") {
        true => ("HTTP/1.1 200 OK\r\n", report),
        false => ("HTTP/1.1 202 Accepted\r\n", "{}"),
    };
    let answer = match head.contains(fault.path) {
        true => format!(
            "{}{}\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            fault.start,
            fault.lines,
            body.len()
        ),
        false => format!("{start}content-length: {}\r\n\r\n{body}", body.len()),
    };
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await
}

/// Guards against a report that is believed, or an order that is taken for accepted or refused, by an answer that can't be
/// used.
#[rstest]
#[case::report("GET /report", OK, "engine queried", "\"answered\":false")]
#[case::order(
    "POST /order",
    "HTTP/1.1 202 Accepted\r\n",
    "layers ordered",
    "\"outcome\":\"lost\""
)]
#[case::status_of_an_order(
    "POST /order",
    "HTTP/1.1 999 X\r\n",
    "layers ordered",
    "\"outcome\":\"lost\""
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_answer_of_an_engine_is_none(
    #[case] path: &'static str,
    #[case] start: &'static str,
    #[case] event: &str,
    #[case] expected: &str,
) {
    let name = format!("malformed-{path}-{start}").replace(['/', ' ', '\r', '\n'], "-");
    let site = Site::start(&name, 1).await;
    let lines = match start.contains("999") {
        true => "transfer-encoding: chunked\r\n",
        false => "transfer-encoding: chunked\r\ncontent-length: 2\r\n",
    };
    start_engine(&site, EngineFault { path, start, lines }).await;
    let until = Instant::now() + WAIT_TIMEOUT;
    let line = loop {
        let log = site.daemons[0].log();
        let is_event = |l: &&str| l.contains(event) && l.contains("malformed-engine");
        if let Some(line) = log.lines().find(is_event) {
            break line.to_owned();
        }
        assert!(Instant::now() < until, "{log}");
        tokio::time::sleep(INTERVAL).await;
    };
    assert!(line.contains(expected), "{line}");
}
