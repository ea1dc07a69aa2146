//! A server that gives every call the same reply, valid or not, and records the calls.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Listener;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::conn::Acceptor;
use salvo::conn::TcpListener;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::header::LOCATION;
use salvo::http::header::RETRY_AFTER;
use tokio_util::task::AbortOnDropHandle;

/// Path of the health check of plain services; always answered with success, never recorded.
const HEALTH: &str = "/healthz";
/// Location of redirects, on the same server.
const REDIRECT_PATH: &str = "/elsewhere";
/// Size of one chunk of a huge body.
const CHUNK_BYTES: usize = 1 << 16;
/// Pause before each byte of an endless body, and before an interrupted body breaks off.
const BYTE_INTERVAL: Duration = Duration::from_millis(20);

/// Reply to every call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reply {
    /// A status and a body.
    Complete(u16, &'static str),
    /// A status and a `retry-after` header, in seconds.
    RetryAfter(u16, &'static str),
    /// A redirect with this status to the same server.
    Redirect(u16),
    /// A redirect with this status to a port that no server listens on.
    RedirectToClosedPort(u16),
    /// Valid JSON padded with blanks to about this number of bytes.
    Huge(usize),
    /// A body that is sent byte by byte and never ends.
    Trickle,
    /// A body during which the connection fails.
    Cut,
    /// No reply; the connection stays open.
    Unanswered,
}

/// A server with scripted replies; stops when dropped.
#[derive(Debug)]
pub(crate) struct ScriptedServer {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<String>>>,
    _task: AbortOnDropHandle<()>,
}

impl ScriptedServer {
    pub(crate) async fn start(reply: Reply) -> ScriptedServer {
        let calls = Arc::default();
        let handler = ReplyHandler {
            reply,
            calls: Arc::clone(&calls),
        };
        let (address, task) = serve(Router::with_path("{**rest}").goal(handler)).await;
        ScriptedServer {
            address,
            calls,
            _task: task,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn url(&self) -> Arc<str> {
        format!("http://{}", self.address).into()
    }

    /// Returns method and path of each recorded call.
    pub(crate) fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("not poisoned").clone()
    }

    /// Clears the recorded calls.
    pub(crate) fn clear_calls(&self) {
        self.calls.lock().expect("not poisoned").clear();
    }
}

/// Serves a router on a free loopback port.
pub(crate) async fn serve(router: Router) -> (SocketAddr, AbortOnDropHandle<()>) {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let listener_info = acceptor.holdings().first().expect("bound");
    let address = listener_info
        .local_addr
        .clone()
        .into_std()
        .expect("an address");
    let serving = salvo::Server::new(acceptor).serve(router);
    (address, AbortOnDropHandle::new(tokio::spawn(serving)))
}

struct ReplyHandler {
    reply: Reply,
    calls: Arc<Mutex<Vec<String>>>,
}

#[async_trait]
impl Handler for ReplyHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if req.uri().path() == HEALTH {
            res.render("ok\n");
            return;
        }
        let call = format!("{} {}", req.method(), req.uri().path());
        self.calls.lock().expect("not poisoned").push(call);
        self.reply.write(res).await;
    }
}

impl Reply {
    pub(crate) async fn write(self, res: &mut Response) {
        match self {
            Reply::Complete(status, body) => complete(res, status, body),
            Reply::RetryAfter(status, after) => {
                complete(res, status, "");
                let after = HeaderValue::from_static(after);
                res.headers_mut().insert(RETRY_AFTER, after);
            }
            Reply::Redirect(status) => redirect(res, status, REDIRECT_PATH.to_owned()),
            Reply::RedirectToClosedPort(status) => redirect(res, status, closed_port_url()),
            Reply::Huge(size) => res.stream(huge_body(size)),
            Reply::Trickle => res.stream(endless_body()),
            Reply::Cut => res.stream(interrupted_body()),
            Reply::Unanswered => std::future::pending().await,
        }
    }
}

fn complete(res: &mut Response, status: u16, body: &'static str) {
    res.status_code(StatusCode::from_u16(status).expect("a status"));
    res.body(body);
}

fn redirect(res: &mut Response, status: u16, to: String) {
    complete(res, status, "");
    let to = HeaderValue::try_from(to).expect("a header");
    res.headers_mut().insert(LOCATION, to);
}

/// Returns a URL with a port that was free a moment ago, so that connections to it are refused.
fn closed_port_url() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    format!("http://{}/", listener.local_addr().expect("bound"))
}

fn huge_body(size: usize) -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
    let blank = Bytes::from_static(&[b' '; CHUNK_BYTES]);
    let chunks = stream::iter(std::iter::repeat_n(blank, size / CHUNK_BYTES));
    let start = stream::iter([Bytes::from_static(br#"{"replies": []"#)]);
    let end = stream::iter([Bytes::from_static(b"}")]);
    start.chain(chunks).chain(end).map(Ok)
}

fn endless_body() -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
    stream::repeat(Bytes::from_static(b" ")).then(async |byte| {
        tokio::time::sleep(BYTE_INTERVAL).await;
        Ok(byte)
    })
}

fn interrupted_body() -> impl Stream<Item = io::Result<Bytes>> + Send {
    let half = stream::iter([Ok(Bytes::from_static(b"{"))]);
    half.chain(stream::once(async {
        // The pause lets the first part reach the client.
        tokio::time::sleep(BYTE_INTERVAL).await;
        Err(io::Error::other("cut"))
    }))
}
