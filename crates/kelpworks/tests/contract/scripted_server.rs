//! A server that gives every call the same reply, right or wrong, and notes the calls.

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

/// Path of the health check of plain services; always answered, never noted.
const HEALTH: &str = "/healthz";
/// Where a redirect leads: to the same server.
const ELSEWHERE: &str = "/elsewhere";
/// Bytes of one piece of a huge body.
const PIECE: usize = 1 << 16;
/// Time between two bytes of a slow body.
const DRIP: Duration = Duration::from_millis(20);

/// What every call gets.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reply {
    /// A status and a body.
    Whole(u16, &'static str),
    /// A refusal that says when to come back, in seconds.
    ComeBack(u16, &'static str),
    /// This status, with a location on the same server.
    Moved(u16),
    /// This status, with a location where nobody listens.
    MovedToNowhere(u16),
    /// JSON of so many bytes, most of them blank.
    Huge(usize),
    /// A body that never ends, a byte at a time.
    Trickle,
    /// A body that breaks off.
    Cut,
    /// No reply on an open connection.
    Silence,
}

/// The server; dropping it stops it.
#[derive(Debug)]
pub(crate) struct Script {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<String>>>,
    _task: AbortOnDropHandle<()>,
}

impl Script {
    pub(crate) async fn start(reply: Reply) -> Script {
        let calls = Arc::default();
        let show = Show {
            reply,
            calls: Arc::clone(&calls),
        };
        let (address, task) = serve(Router::with_path("{**rest}").goal(show)).await;
        Script {
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

    /// Method and path of each call so far.
    pub(crate) fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("not poisoned").clone()
    }

    /// Forgets the calls so far.
    pub(crate) fn forget(&self) {
        self.calls.lock().expect("not poisoned").clear();
    }
}

/// Serves a router on a free loopback port.
pub(crate) async fn serve(router: Router) -> (SocketAddr, AbortOnDropHandle<()>) {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let holding = acceptor.holdings().first().expect("bound");
    let address = holding.local_addr.clone().into_std().expect("an address");
    let serving = salvo::Server::new(acceptor).serve(router);
    (address, AbortOnDropHandle::new(tokio::spawn(serving)))
}

struct Show {
    reply: Reply,
    calls: Arc<Mutex<Vec<String>>>,
}

#[async_trait]
impl Handler for Show {
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
            Reply::Whole(status, body) => whole(res, status, body),
            Reply::ComeBack(status, after) => {
                whole(res, status, "");
                let after = HeaderValue::from_static(after);
                res.headers_mut().insert(RETRY_AFTER, after);
            }
            Reply::Moved(status) => moved(res, status, ELSEWHERE.to_owned()),
            Reply::MovedToNowhere(status) => moved(res, status, nowhere()),
            Reply::Huge(size) => res.stream(huge(size)),
            Reply::Trickle => res.stream(drip()),
            Reply::Cut => res.stream(cut()),
            Reply::Silence => std::future::pending().await,
        }
    }
}

fn whole(res: &mut Response, status: u16, body: &'static str) {
    res.status_code(StatusCode::from_u16(status).expect("a status"));
    res.body(body);
}

fn moved(res: &mut Response, status: u16, to: String) {
    whole(res, status, "");
    let to = HeaderValue::try_from(to).expect("a header");
    res.headers_mut().insert(LOCATION, to);
}

/// A URL where a port was free a moment ago.
fn nowhere() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    format!("http://{}/", listener.local_addr().expect("bound"))
}

fn huge(size: usize) -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
    let blank = Bytes::from_static(&[b' '; PIECE]);
    let pieces = stream::iter(std::iter::repeat_n(blank, size / PIECE));
    let start = stream::iter([Bytes::from_static(br#"{"replies": []"#)]);
    let end = stream::iter([Bytes::from_static(b"}")]);
    start.chain(pieces).chain(end).map(Ok)
}

fn drip() -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
    stream::repeat(Bytes::from_static(b" ")).then(async |byte| {
        tokio::time::sleep(DRIP).await;
        Ok(byte)
    })
}

fn cut() -> impl Stream<Item = io::Result<Bytes>> + Send {
    let half = stream::iter([Ok(Bytes::from_static(b"{"))]);
    half.chain(stream::once(async {
        // Lets the first half reach the client.
        tokio::time::sleep(DRIP).await;
        Err(io::Error::other("cut"))
    }))
}
