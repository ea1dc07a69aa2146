//! The HTTP client of the object API before a server that answers, refuses, breaks off or is silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use insta::assert_snapshot;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use kelpworks::clients::host_list;
use kelpworks::clients::host_list::HostListApi;
use kelpworks::clients::host_list::HttpHostList;
use kelpworks::clients::object_api::Condition;
use kelpworks::clients::object_api::Deadlines;
use kelpworks::clients::object_api::Error;
use kelpworks::clients::object_api::HttpObjectApi;
use kelpworks::clients::object_api::ObjectApi;
use kelpworks_coord::id::Version;

const OBJECT: &str = r#"{"kind": "k", "name": "n", "version": 7, "body": "text"}"#;
const CONFLICT: &str = r#"{"code": "conflict", "message": "m", "current":
    {"kind": "k", "name": "n", "version": 9, "body": "other"}}"#;

/// What the server does with each request.
#[derive(Clone, Debug)]
enum Answer {
    /// A whole reply.
    Reply(u16, &'static str),
    /// A reply cut within its body.
    Cut,
    /// The connection closes without a reply.
    Close,
    /// No reply, on a connection that stays open.
    Silence,
    /// The first connection falls silent; those after it answer.
    FirstSilent(&'static str),
}

/// Bound of calls that are meant to run into it.
const SHORT: Duration = Duration::from_millis(200);
/// Bound of calls that are meant to be answered, on however slow a machine.
const LONG: Duration = Duration::from_secs(60);

impl Answer {
    /// How long a client should wait for it.
    fn bound(&self) -> Duration {
        match self {
            Answer::Silence | Answer::FirstSilent(_) => SHORT,
            _ => LONG,
        }
    }
}

/// A server that gives each request the same answer.
struct Server {
    bound: Duration,
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Server {
    async fn start(answer: Answer) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Server {
            bound: answer.bound(),
            address: listener.local_addr().unwrap(),
            connections: Arc::default(),
            requests: Arc::default(),
        };
        let connections = Arc::clone(&server.connections);
        let requests = Arc::clone(&server.requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = connections.fetch_add(1, Ordering::SeqCst);
                let requests = Arc::clone(&requests);
                tokio::spawn(serve(stream, number, answer.clone(), requests));
            }
        });
        server
    }

    fn url(&self) -> String {
        format!("http://{}/base", self.address)
    }

    fn api(&self) -> HttpObjectApi {
        let deadlines = Deadlines {
            connect: LONG,
            call: self.bound,
            watch_margin: self.bound,
        };
        HttpObjectApi::new(&self.url(), deadlines).unwrap()
    }
}

/// Answers the requests of one connection.
async fn serve(
    mut stream: TcpStream,
    number: usize,
    answer: Answer,
    requests: Arc<Mutex<Vec<String>>>,
) {
    while let Some(head) = read_request(&mut stream).await {
        requests.lock().unwrap().push(head);
        let reply = match &answer {
            Answer::Reply(status, body) => whole(*status, body),
            Answer::FirstSilent(body) if number > 0 => whole(200, body),
            Answer::Cut => whole(200, OBJECT)[..80].to_owned(),
            Answer::Close => String::new(),
            Answer::Silence | Answer::FirstSilent(_) => std::future::pending().await,
        };
        let _gone = stream.write_all(reply.as_bytes()).await;
        if matches!(answer, Answer::Cut | Answer::Close) {
            return;
        }
    }
}

fn whole(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one request and gives its first line; `None` when the client is gone.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buf = [0; 4096];
    loop {
        let n = stream.read(&mut buf).await.ok().filter(|&n| n > 0)?;
        text.push_str(std::str::from_utf8(&buf[..n]).ok()?);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |l| l.parse().unwrap_or(0)) {
            return head.lines().next().map(str::to_owned);
        }
    }
}

#[rstest]
#[case::ok("ok", Answer::Reply(200, OBJECT))]
#[case::not_found(
    "not_found",
    Answer::Reply(404, r#"{"code": "not_found", "message": ""}"#)
)]
#[case::conflict("conflict", Answer::Reply(409, CONFLICT))]
#[case::too_large(
    "too_large",
    Answer::Reply(413, r#"{"code": "too_large", "message": ""}"#)
)]
#[case::rate(
    "rate",
    Answer::Reply(429, r#"{"code": "too_many_requests", "message": ""}"#)
)]
#[case::out("out", Answer::Reply(503, r#"{"code": "unavailable", "message": ""}"#))]
#[case::bare_rate("bare_rate", Answer::Reply(429, "slow down"))]
#[case::bare_gateway("bare_gateway", Answer::Reply(502, "bad gateway"))]
#[case::bare_out("bare_out", Answer::Reply(503, ""))]
#[case::redirect("redirect", Answer::Reply(302, ""))]
#[case::not_json("not_json", Answer::Reply(200, "hello"))]
#[case::cut("cut", Answer::Cut)]
#[case::close("close", Answer::Close)]
#[case::silence("silence", Answer::Silence)]
#[tokio::test]
async fn a_write_is_told_whether_it_may_have_run(#[case] name: &str, #[case] answer: Answer) {
    let server = Server::start(answer).await;
    let written = server
        .api()
        .put(
            "k",
            "n",
            "text".to_owned(),
            Condition::Version(Version::initial(3)),
        )
        .await;
    let text = match written {
        Ok(object) => format!("version {}", object.version.revision),
        Err(e) => format!("{e:?}, may have run: {}", e.may_have_run()),
    };
    assert_snapshot!(name, text);
    assert_eq!(
        server.requests.lock().unwrap().len(),
        1,
        "nothing is retried"
    );
}

#[tokio::test]
async fn requests_have_the_form_of_the_api() {
    let server = Server::start(Answer::Reply(200, OBJECT)).await;
    let api = server.api();
    let _a = api.get("k", "a/b c").await;
    let _b = api.put("k", "n", String::new(), Condition::Always).await;
    let _c = api.put("k", "n", String::new(), Condition::Absent).await;
    let _d = api
        .delete("k", "n", Condition::Version(Version::initial(5)))
        .await;
    let _e = api.list("k").await;
    let _f = api
        .watch("k", Version::initial(4), Duration::from_millis(50))
        .await;
    assert_snapshot!(server.requests.lock().unwrap().join("\n"));
    assert_eq!(
        server.connections.load(Ordering::SeqCst),
        1,
        "connections are kept"
    );
}

#[tokio::test]
async fn a_refused_connection_sent_nothing() {
    // Bound and never listened on, so that the port stays closed and goes to no other test.
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let url = format!("http://{}", closed.local_addr().unwrap());
    let api = HttpObjectApi::new(&url, Deadlines::default()).unwrap();
    let error = api.put("k", "n", String::new(), Condition::Always).await;
    assert_eq!(error, Err(Error::NotSent));
    let hosts = HttpHostList::new(&url, host_list::Deadlines::default()).unwrap();
    assert_eq!(hosts.hosts().await, Err(host_list::Error::NotSent));
}

/// A silent watch is told from an outage, and a new connection gets through.
#[tokio::test]
async fn a_silent_watch_is_reopened_on_a_new_connection() {
    let server = Server::start(Answer::FirstSilent(r#"{"events": [], "version": 12}"#)).await;
    let api = server.api();
    let silent = api
        .watch("k", Version::initial(4), Duration::from_millis(10))
        .await;
    assert_eq!(silent, Err(Error::Silent));
    api.reset_connections();
    let bookmark = api.watch("k", Version::initial(4), LONG).await.unwrap();
    assert_eq!(
        (bookmark.events.len(), bookmark.version),
        (0, Version::initial(12))
    );
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}

/// Kept connections are left behind even when they would still answer.
#[tokio::test]
async fn fresh_opens_a_new_connection() {
    let server = Server::start(Answer::Reply(200, OBJECT)).await;
    let api = server.api();
    let _a = api.get("k", "n").await;
    api.reset_connections();
    let _b = api.get("k", "n").await;
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}

#[rstest]
#[case::ok("hosts_ok", Answer::Reply(200, r#"{"version": 3, "hosts": []}"#))]
#[case::out("hosts_out", Answer::Reply(503, ""))]
#[case::not_a_list("hosts_not_a_list", Answer::Reply(200, "[]"))]
#[case::close("hosts_close", Answer::Close)]
#[case::silence("hosts_silence", Answer::Silence)]
#[tokio::test]
async fn host_list_answers(#[case] name: &str, #[case] answer: Answer) {
    let server = Server::start(answer).await;
    let deadlines = host_list::Deadlines {
        connect: LONG,
        call: server.bound,
    };
    let api = HttpHostList::new(&server.url(), deadlines).unwrap();
    let text = match api.hosts().await {
        Ok(list) => format!("version {}", list.version),
        Err(e) => e.to_string(),
    };
    assert_snapshot!(name, text);
}

#[rstest]
#[case("10.0.0.1:8000")]
#[case("mailto:a@b")]
#[case("")]
fn urls_are_refused(#[case] url: &str) {
    let api = HttpObjectApi::new(url, Deadlines::default());
    assert_eq!(api.err(), Some(Error::Url));
    let hosts = HttpHostList::new(url, host_list::Deadlines::default());
    assert_eq!(hosts.err(), Some(host_list::Error::Url));
}
