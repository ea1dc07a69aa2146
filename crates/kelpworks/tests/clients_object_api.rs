//! The HTTP clients of the object API and of the host list, against a server that replies, refuses,
//! closes the connection early or does not respond.

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
enum ServerBehavior {
    /// Sends this status and body.
    Reply(u16, &'static str),
    /// Sends the start of a reply and closes the connection within the body.
    Cut,
    /// Closes the connection without a reply.
    Close,
    /// Sends no reply and keeps the connection open.
    NoReply,
    /// Sends no reply on the first connection, and this body with status 200 on later ones.
    NoReplyOnFirstConnection(&'static str),
}

/// Timeout of calls that are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of calls that are expected to complete; long enough for a heavily loaded machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

impl ServerBehavior {
    /// Returns the call timeout of clients of a server with this behavior.
    fn client_timeout(&self) -> Duration {
        match self {
            ServerBehavior::NoReply | ServerBehavior::NoReplyOnFirstConnection(_) => SHORT_TIMEOUT,
            _ => LONG_TIMEOUT,
        }
    }
}

/// A server that treats all requests alike and records their request lines.
struct Server {
    client_timeout: Duration,
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Server {
    async fn start(behavior: ServerBehavior) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Server {
            client_timeout: behavior.client_timeout(),
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
                tokio::spawn(serve_connection(stream, number, behavior.clone(), requests));
            }
        });
        server
    }

    fn url(&self) -> String {
        format!("http://{}/base", self.address)
    }

    fn api(&self) -> HttpObjectApi {
        let deadlines = Deadlines {
            connect: LONG_TIMEOUT,
            call: self.client_timeout,
            watch_margin: self.client_timeout,
        };
        HttpObjectApi::new(&self.url(), deadlines).unwrap()
    }
}

/// Serves one connection. `number` counts connections from 0.
async fn serve_connection(
    mut stream: TcpStream,
    number: usize,
    behavior: ServerBehavior,
    requests: Arc<Mutex<Vec<String>>>,
) {
    while let Some(request_line) = read_request_line(&mut stream).await {
        requests.lock().unwrap().push(request_line);
        let reply = match &behavior {
            ServerBehavior::Reply(status, body) => http_response(*status, body),
            ServerBehavior::NoReplyOnFirstConnection(body) if number > 0 => {
                http_response(200, body)
            }
            ServerBehavior::Cut => http_response(200, OBJECT)[..80].to_owned(),
            ServerBehavior::Close => String::new(),
            ServerBehavior::NoReply | ServerBehavior::NoReplyOnFirstConnection(_) => {
                std::future::pending().await
            }
        };
        let _client_gone = stream.write_all(reply.as_bytes()).await;
        if matches!(behavior, ServerBehavior::Cut | ServerBehavior::Close) {
            return;
        }
    }
}

fn http_response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one request with its body and returns the request line, or `None` once the client has
/// closed the connection.
async fn read_request_line(stream: &mut TcpStream) -> Option<String> {
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
#[case::ok("ok", ServerBehavior::Reply(200, OBJECT))]
#[case::not_found(
    "not_found",
    ServerBehavior::Reply(404, r#"{"code": "not_found", "message": ""}"#)
)]
#[case::conflict("conflict", ServerBehavior::Reply(409, CONFLICT))]
#[case::too_large(
    "too_large",
    ServerBehavior::Reply(413, r#"{"code": "too_large", "message": ""}"#)
)]
#[case::rate(
    "rate",
    ServerBehavior::Reply(429, r#"{"code": "too_many_requests", "message": ""}"#)
)]
#[case::out(
    "out",
    ServerBehavior::Reply(503, r#"{"code": "unavailable", "message": ""}"#)
)]
#[case::bare_rate("bare_rate", ServerBehavior::Reply(429, "slow down"))]
#[case::bare_gateway("bare_gateway", ServerBehavior::Reply(502, "bad gateway"))]
#[case::bare_out("bare_out", ServerBehavior::Reply(503, ""))]
#[case::redirect("redirect", ServerBehavior::Reply(302, ""))]
#[case::not_json("not_json", ServerBehavior::Reply(200, "hello"))]
#[case::cut("cut", ServerBehavior::Cut)]
#[case::close("close", ServerBehavior::Close)]
#[case::silence("silence", ServerBehavior::NoReply)]
#[tokio::test]
async fn write_result_says_whether_it_may_have_run(
    #[case] name: &str,
    #[case] behavior: ServerBehavior,
) {
    let server = Server::start(behavior).await;
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
async fn requests_match_http_api() {
    let server = Server::start(ServerBehavior::Reply(200, OBJECT)).await;
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
        "the connection is reused"
    );
}

#[tokio::test]
async fn refused_connection_reports_not_sent() {
    // A socket that is bound but not listening refuses connections and keeps other tests from
    // getting the port.
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let url = format!("http://{}", closed.local_addr().unwrap());
    let api = HttpObjectApi::new(&url, Deadlines::default()).unwrap();
    let error = api.put("k", "n", String::new(), Condition::Always).await;
    assert_eq!(error, Err(Error::NotSent));
    let hosts = HttpHostList::new(&url, host_list::Deadlines::default()).unwrap();
    assert_eq!(hosts.hosts().await, Err(host_list::Error::NotSent));
}

/// A watch without any reply fails as silent rather than unavailable, and after a reset the next
/// watch succeeds on a new connection.
#[tokio::test]
async fn watch_after_silence_uses_new_connection() {
    let server = Server::start(ServerBehavior::NoReplyOnFirstConnection(
        r#"{"events": [], "version": 12}"#,
    ))
    .await;
    let api = server.api();
    let silent = api
        .watch("k", Version::initial(4), Duration::from_millis(10))
        .await;
    assert_eq!(silent, Err(Error::Silent));
    api.reset_connections();
    let bookmark = api
        .watch("k", Version::initial(4), LONG_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(
        (bookmark.events.len(), bookmark.version),
        (0, Version::initial(12))
    );
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}

/// A reset also drops idle connections that still work.
#[tokio::test]
async fn reset_connections_drops_idle_connections() {
    let server = Server::start(ServerBehavior::Reply(200, OBJECT)).await;
    let api = server.api();
    let _a = api.get("k", "n").await;
    api.reset_connections();
    let _b = api.get("k", "n").await;
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}

#[rstest]
#[case::ok(
    "hosts_ok",
    ServerBehavior::Reply(200, r#"{"version": 3, "hosts": []}"#)
)]
#[case::out("hosts_out", ServerBehavior::Reply(503, ""))]
#[case::not_a_list("hosts_not_a_list", ServerBehavior::Reply(200, "[]"))]
#[case::close("hosts_close", ServerBehavior::Close)]
#[case::silence("hosts_silence", ServerBehavior::NoReply)]
#[tokio::test]
async fn host_list_result_or_error(#[case] name: &str, #[case] behavior: ServerBehavior) {
    let server = Server::start(behavior).await;
    let deadlines = host_list::Deadlines {
        connect: LONG_TIMEOUT,
        call: server.client_timeout,
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
fn invalid_urls_are_refused(#[case] url: &str) {
    let api = HttpObjectApi::new(url, Deadlines::default());
    assert_eq!(api.err(), Some(Error::Url));
    let hosts = HttpHostList::new(url, host_list::Deadlines::default());
    assert_eq!(hosts.err(), Some(host_list::Error::Url));
}
