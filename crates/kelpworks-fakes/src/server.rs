//! The HTTP server that all fakes share.
//!
//! It injects transport faults into requests, and its port can be closed and opened again.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Scribe;
use salvo::Service;
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseAction;
use salvo::fuse::FuseConfig;
use salvo::fuse::FuseInfo;
use salvo::handler;
use salvo::http::HeaderValue;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::error::Result;
use crate::fault::ConnectionAction;
use crate::fault::FaultKind;
use crate::fault::FaultUpdate;
use crate::fault::Faults;

/// Maximum size of a request body, in bytes.
const MAX_BODY: usize = 16 << 20;
/// Limit of connections that are not accepted yet.
const BACKLOG: u32 = 1024;
/// Delay between the first half of a cut body and the close.
const CUT_DELAY: Duration = Duration::from_millis(5);

/// A running server; dropping it closes its port and its connections.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    faults: Faults,
    listen_switch: ListenSwitch,
    _task: AbortOnDropHandle<()>,
}

/// Opens and closes the port of a server; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ListenSwitch(Arc<watch::Sender<bool>>);

impl ListenSwitch {
    /// Opens the port, or closes it together with all connections.
    pub(crate) fn set_listening(&self, listening: bool) {
        self.0.send_replace(listening);
    }
}

/// A port that is bound but not yet served, so that a fake knows its URL before it starts.
#[derive(Debug)]
pub(crate) struct Port {
    /// Bound but never listening: reserves the port while the server doesn't listen.
    reserved_socket: TcpSocket,
    addr: SocketAddr,
}

impl Port {
    /// Binds a loopback port; 0 takes a free one.
    pub(crate) fn bind(port: u16) -> Result<Port> {
        let reserved_socket = TcpSocket::new_v4()?;
        reserved_socket.set_reuseaddr(true)?;
        reserved_socket.bind(SocketAddr::from(([127, 0, 0, 1], port)))?;
        let addr = reserved_socket.local_addr()?;
        Ok(Port {
            reserved_socket,
            addr,
        })
    }

    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Serves `router` on the port; handlers get `state` from the depot by [`state`].
    pub(crate) fn serve<S>(self, faults: Faults, state: Arc<S>, router: Router) -> Result<Server>
    where
        S: Send + Sync + 'static,
    {
        let injector = FaultInjector {
            faults: faults.clone(),
            state,
        };
        let common = Router::with_path("fake/faults")
            .get(get_faults)
            .post(post_faults);
        let router = Router::new().hoop(injector).push(common).push(router);
        let addr = self.addr;
        let listen_switch = ListenSwitch(Arc::new(watch::Sender::new(true)));
        let rx = listen_switch.0.subscribe();
        let acceptor = listen(addr)?;
        let runner = Runner {
            port: self,
            service: Arc::new(router),
            faults: faults.clone(),
            rx,
        };
        let task = tokio::spawn(runner.run(acceptor));
        Ok(Server {
            addr,
            faults,
            listen_switch,
            _task: AbortOnDropHandle::new(task),
        })
    }
}

impl Server {
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    pub(crate) fn faults(&self) -> &Faults {
        &self.faults
    }

    pub(crate) fn listen_switch(&self) -> &ListenSwitch {
        &self.listen_switch
    }
}

struct Runner {
    port: Port,
    service: Arc<Router>,
    faults: Faults,
    rx: watch::Receiver<bool>,
}

impl Runner {
    async fn run(mut self, first: TcpAcceptor) {
        let mut acceptor = Some(first);
        loop {
            if let Some(acceptor) = acceptor.take() {
                let serving = serve(acceptor, self.service.clone(), self.faults.clone());
                tokio::select! {
                    () = serving => return,
                    _ = self.rx.wait_for(|up| !up) => {}
                }
            }
            if self.rx.wait_for(|up| *up).await.is_err() {
                return;
            }
            match listen(self.port.addr) {
                Ok(again) => acceptor = Some(again),
                Err(e) => {
                    log::error!("fake server cannot listen on {} again: {e}", self.port.addr);
                    drop(self.port.reserved_socket);
                    return;
                }
            }
        }
    }
}

async fn serve(acceptor: TcpAcceptor, router: Arc<Router>, faults: Faults) {
    let policy = move |info: &FuseInfo| match faults.accept(info.remote_addr.port().unwrap_or(0)) {
        true => FuseAction::Accept(FuseConfig::disabled()),
        false => FuseAction::Reject,
    };
    let served = salvo::Server::new(acceptor)
        .fuse_policy(policy)
        .try_serve(Service::new(router))
        .await;
    if let Err(e) = served {
        log::error!("fake server stopped serving: {e}");
    }
}

fn listen(addr: SocketAddr) -> Result<TcpAcceptor> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(TcpAcceptor::try_from(socket.listen(BACKLOG)?)?)
}

/// The first handler of each request: puts the state into the depot and injects transport faults.
struct FaultInjector<S> {
    faults: Faults,
    state: Arc<S>,
}

#[async_trait]
impl<S: Send + Sync + 'static> Handler for FaultInjector<S> {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        depot.insert_typed(self.state.clone());
        depot.insert_typed(self.faults.clone());
        if req.uri().path().starts_with("/fake/") {
            ctrl.call_next(req, depot, res).await;
            return;
        }
        match self
            .faults
            .connection_action(req.remote_addr().port().unwrap_or(0))
        {
            ConnectionAction::Pass => {}
            ConnectionAction::Close => return close(req).await,
            ConnectionAction::Silent => return pending().await,
        }
        let method = req.method().as_str();
        let fault = self.faults.take_transport(method, req.uri().path());
        if inject_before(fault.as_ref(), req, res).await {
            ctrl.call_next(req, depot, res).await;
            inject_after(fault, req, res).await;
        } else {
            ctrl.skip_rest();
        }
    }
}

/// Injects a fault before the request runs; returns false when it must not run.
async fn inject_before(fault: Option<&FaultKind>, req: &mut Request, res: &mut Response) -> bool {
    match fault {
        Some(FaultKind::ResetBefore) => close(req).await,
        Some(FaultKind::SilentBefore) => {
            // Reads the body, so that the caller can send its whole request.
            let _ = req.payload_with_max_size(MAX_BODY).await;
            pending().await
        }
        Some(FaultKind::Delay(ms)) => tokio::time::sleep(Duration::from_millis(*ms)).await,
        Some(FaultKind::Status(code)) => {
            set_status(res, *code);
            return false;
        }
        _ => {}
    }
    true
}

/// Injects a fault after the request has run.
async fn inject_after(fault: Option<FaultKind>, req: &mut Request, res: &mut Response) {
    match fault {
        Some(FaultKind::ResetAfter) => close(req).await,
        Some(FaultKind::SilentAfter) => pending().await,
        Some(FaultKind::DelayReply(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Some(FaultKind::StatusAfter(code)) => {
            res.replace_body(ResBody::None);
            set_status(res, code);
        }
        Some(FaultKind::CutBody) => cut_body(res),
        _ => {}
    }
}

/// Closes the connection of a request without a reply; never returns.
async fn close(req: &Request) {
    if let Some(conn) = req.extensions().get::<ConnCtrl>() {
        conn.abort();
    }
    pending().await
}

fn set_status(res: &mut Response, code: u16) {
    res.status_code(StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
}

fn cut_body(res: &mut Response) {
    let ResBody::Once(mut whole) = res.take_body() else {
        return;
    };
    let half = whole.split_to(whole.len() / 2);
    let rest = stream::unfold(Some(half), |left| async move {
        match left {
            Some(half) => Some((Ok(half), None)),
            None => {
                tokio::time::sleep(CUT_DELAY).await;
                Some((Err(io::Error::other("cut")), None))
            }
        }
    });
    res.stream(rest);
}

#[handler]
async fn get_faults(depot: &mut Depot) -> HttpResponse {
    HttpResponse::json(&state::<Faults>(depot).list())
}

#[handler]
async fn post_faults(req: &mut Request, depot: &mut Depot) -> HttpResponse {
    match read_json::<FaultUpdate>(req).await {
        Ok(order) => {
            state::<Faults>(depot).apply(order);
            HttpResponse::empty(StatusCode::NO_CONTENT)
        }
        Err(bad) => bad,
    }
}

/// Returns the value of this type that [`FaultInjector`] put into the depot.
///
/// # Panics
///
/// When it put no value of this type.
pub(crate) fn state<T: Clone + Send + Sync + 'static>(depot: &Depot) -> T {
    let found = depot.get_typed::<T>().ok().cloned();
    found.expect("the fault injector adds the state of its own server")
}

/// Reads a JSON body; the error is the response to return.
pub(crate) async fn read_json<T: DeserializeOwned>(
    req: &mut Request,
) -> std::result::Result<T, HttpResponse> {
    let body = read_body(req).await?;
    serde_json::from_slice(&body)
        .map_err(|e| HttpResponse::text(StatusCode::BAD_REQUEST, e.to_string()))
}

/// Reads a whole body; the error is the response to return.
pub(crate) async fn read_body(req: &mut Request) -> std::result::Result<Bytes, HttpResponse> {
    match req.payload_with_max_size(MAX_BODY).await {
        Ok(body) => Ok(body.clone()),
        Err(e) => Err(HttpResponse::text(
            StatusCode::PAYLOAD_TOO_LARGE,
            e.to_string(),
        )),
    }
}

/// Complete HTTP response of a fake.
#[derive(Clone, Debug)]
pub(crate) struct HttpResponse {
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
}

impl HttpResponse {
    pub(crate) fn empty(status: StatusCode) -> HttpResponse {
        HttpResponse::text(status, String::new())
    }

    pub(crate) fn text(status: StatusCode, text: String) -> HttpResponse {
        HttpResponse {
            status,
            content_type: "text/plain",
            body: text.into(),
        }
    }

    pub(crate) fn json<T: Serialize>(value: &T) -> HttpResponse {
        HttpResponse::json_with(StatusCode::OK, value)
    }

    pub(crate) fn json_with<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
        match serde_json::to_vec(value) {
            Ok(body) => HttpResponse {
                status,
                content_type: "application/json",
                body: body.into(),
            },
            Err(e) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }
}

impl Scribe for HttpResponse {
    fn render(self, res: &mut Response) {
        res.status_code(self.status);
        let content_type = HeaderValue::from_static(self.content_type);
        res.headers_mut().insert(CONTENT_TYPE, content_type);
        res.replace_body(ResBody::Once(self.body));
    }
}
