//! Pool of connections to upstreams, with one request at a time on each.
//!
//! `reqwest` does not report whether a request that failed on a reused connection had been
//! written, and resends some by itself. Requests that run at most once need control of both, so
//! this pool is built on the connections of `hyper`, which `reqwest` uses as well: a request that
//! was not written is returned, and nothing is sent twice unless the caller asks for it.
//!
//! Requests that are handed over to other daemons use a pool of the same kind.
//!
//! A connection whose answer was not read to its end, or that received anything unexpected, is
//! closed. One whose request was abandoned before its answer began is held for a while (see `linger`).
//! All answers are checked by `answer`, whoever reads them.

mod answer;
mod linger;
mod received;

use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::Hash;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use kelpworks::answer_framing;
use kelpworks::sync::lock;
use log::debug;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::fleet::UpstreamKey;
use crate::permit::Permit;
use crate::suspect_checks::CHECK_TIMEOUT;
use crate::suspect_checks::Finding;
pub use answer::AnswerBody;
use linger::Abandonment;
use linger::MAX_LINGERING_CONNECTIONS;
use received::BoundedStream;
use received::Received;

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum time to open a connection: many round trips within a region, and less than the time
/// after which callers abandon a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum idle time of a pooled connection whose upstream announces none. Servers close idle
/// connections after a few seconds; a request that is sent while they do is lost.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Fraction that is used of an idle time announced by the upstream.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Maximum idle time of a connection for a request that must not be lost: one that was used so
/// recently has not been closed for idleness.
const MAX_RECENT_IDLE: Duration = Duration::from_millis(400);
/// Time that sent data may stay unacknowledged before the operating system closes a connection.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the operating system probes a connection, and between its probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a probe connection has to stay open: several round trips within a region, after
/// which a link or proxy that accepts connections only to reset them has done so.
const PROBE_HOLD: Duration = Duration::from_millis(60);
/// Largest head of an answer. A longer one, or one without end, ends its connection.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of idle connections kept to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The body of a request, read completely before sending so that it can be sent again.
pub type Body = Full<Bytes>;

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// No connection could be opened, or the request was not written: nothing was sent.
    #[error("not sent")]
    NotSent,
    /// Nothing was sent, since the permit no longer held: an upstream of the request announced meanwhile
    /// that it accepts none, fewer retries were allowed, or the deadline passed.
    #[error("withheld")]
    Withheld,
    /// The connection failed after the request or a part of it was sent.
    #[error("connection lost")]
    Lost,
    /// The request was sent, and the head of what came back is none of an answer, or doesn't say where its body ends.
    #[error("malformed answer")]
    Malformed,
}

/// What the connections of a pool lead to.
pub trait Destination: Copy + Debug + Eq + Hash + Send + Sync + 'static {
    /// Permission to write a request on them.
    type Permit: WritePermit;

    /// Metric that counts attempts to open a connection, by outcome.
    const CONNECTS_METRIC: &'static str;
    /// Metric that counts opened connections.
    const CONNECTIONS_METRIC: &'static str;
}

impl Destination for UpstreamKey {
    type Permit = Permit;

    const CONNECTS_METRIC: &'static str = "kelpworks_upstream_connects_total";
    const CONNECTIONS_METRIC: &'static str = "kelpworks_upstream_connections_total";
}

/// Permission to write a request once.
pub trait WritePermit: Debug + Send + Sized {
    /// A permit that was used.
    type Spent: Debug + Send + Sync + 'static;
    /// What is left of it once the request is answered.
    type Answered: Debug;

    /// Marks the permit as used, as the request with these header fields is written now, and brings up to
    /// date those that depend on the time; `None` if the permit no longer holds.
    fn spend(self, headers: &mut HeaderMap) -> Option<Self::Spent>;

    /// Restores the permit after it turned out that nothing was written.
    fn undo(spent: Self::Spent) -> Self;

    /// Records that the head of the answer has arrived.
    fn answer(spent: Self::Spent) -> Self::Answered;

    /// Records that the request, whose answer is not waited for, was read or never will be. A spent permit that
    /// is dropped without it belongs to a request that may still arrive.
    fn record_arrival(spent: Self::Spent);

    /// Returns whether it matters still when a request arrives whose answer is not waited for since `since`, and
    /// nothing but its connection can show that it has.
    fn awaits_arrival(spent: &Self::Spent, since: Instant) -> bool;
}

/// A connection and the answer received on it.
#[derive(Debug)]
pub struct Exchange<K: Destination = UpstreamKey> {
    /// The answer; its body has not been read yet.
    pub response: Response<AnswerBody>,
    /// The connection, to be returned to the pool once the body is read.
    pub connection: Connection<K>,
    /// What is left of the permit; `None` if the connection's task has taken it over.
    pub permit: Option<<K::Permit as WritePermit>::Answered>,
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct Connection<K: Destination = UpstreamKey> {
    sender: SendRequest<Body>,
    abandonment: Abandonment<K>,
    received: Received,
    destination: K,
    address: SocketAddr,
    max_idle: Duration,
    is_closing: bool,
    /// Whether it was opened for its present request.
    is_new: bool,
}

impl<K: Destination> Connection<K> {
    /// Returns whether it was opened for its present request.
    pub fn is_new(&self) -> bool {
        self.is_new
    }
}

#[derive(Debug)]
struct IdleConnection<K: Destination> {
    connection: Connection<K>,
    since: Instant,
}

/// Idle connections, by destination.
#[derive(Debug)]
pub struct Pool<K: Destination = UpstreamKey> {
    kept: Mutex<HashMap<K, Vec<IdleConnection<K>>>>,
    /// Bounds the connections that are held for the arrival of abandoned requests.
    lingering: Arc<Semaphore>,
}

impl<K: Destination> Default for Pool<K> {
    fn default() -> Pool<K> {
        Pool {
            kept: Mutex::default(),
            lingering: Arc::new(Semaphore::new(MAX_LINGERING_CONNECTIONS)),
        }
    }
}

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any within its idle time.
    Any,
    /// Only one that was used very recently: the request can't be retried if it is lost.
    Recent,
}

impl<K: Destination> Pool<K> {
    /// Sends a request and waits for the head of its answer. The permit is spent unless nothing
    /// was sent.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] and [`Error::Withheld`] when nothing was sent; [`Error::Lost`] and
    /// [`Error::Malformed`] when the upstream may have read the request.
    pub async fn send(
        &self,
        destination: K,
        address: SocketAddr,
        req: Request<Body>,
        reuse: Reuse,
        permit: K::Permit,
    ) -> Result<Exchange<K>> {
        let mut unsent = Unsent { req, permit };
        while let Some(connection) = self.take(destination, reuse) {
            match exchange(connection, unsent).await {
                Ok(exchange) => return Ok(exchange),
                Err(ExchangeError::Lost) => return Err(Error::Lost),
                Err(ExchangeError::Malformed) => return Err(Error::Malformed),
                Err(ExchangeError::Withheld) => return Err(Error::Withheld),
                // The upstream had closed the idle connection; nothing was written.
                Err(ExchangeError::Unsent(returned)) => unsent = *returned,
            }
        }
        let connection = open(destination, address, &self.lingering).await?;
        match exchange(connection, unsent).await {
            Ok(exchange) => Ok(exchange),
            Err(ExchangeError::Lost) => Err(Error::Lost),
            Err(ExchangeError::Malformed) => Err(Error::Malformed),
            Err(ExchangeError::Withheld) => Err(Error::Withheld),
            Err(ExchangeError::Unsent(_)) => Err(Error::NotSent),
        }
    }

    /// Returns a connection to the pool after its answer has been read to its end.
    pub fn keep(&self, connection: Connection<K>) {
        if connection.is_closing || connection.sender.is_closed() {
            return;
        }
        let mut table = self.lock();
        let kept = table.entry(connection.destination).or_default();
        if kept.len() >= MAX_IDLE_CONNECTIONS {
            kept.remove(0);
        }
        let since = Instant::now();
        kept.push(IdleConnection { connection, since });
    }

    /// Closes the idle connections to all destinations for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(K) -> bool) {
        self.lock().retain(|&key, _| keep(key));
    }

    /// Closes the idle connections to a destination.
    pub fn forget(&self, destination: K) {
        self.lock().remove(&destination);
    }

    /// Takes the connection that was used last, as older ones may have been idle for too long.
    fn take(&self, destination: K, reuse: Reuse) -> Option<Connection<K>> {
        let mut table = self.lock();
        let kept = table.get_mut(&destination)?;
        let now = Instant::now();
        while let Some(IdleConnection {
            mut connection,
            since,
        }) = kept.pop()
        {
            let max_idle = match reuse {
                Reuse::Any => connection.max_idle,
                Reuse::Recent => connection.max_idle.min(MAX_RECENT_IDLE),
            };
            if now.duration_since(since) < max_idle && connection.sender.is_ready() {
                connection.is_new = false;
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<K, Vec<IdleConnection<K>>>> {
        lock(&self.kept)
    }
}

/// Opens a connection and closes it unused, to tell whether the process at an address has ended.
pub(crate) async fn check(address: SocketAddr) -> Finding {
    match tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Finding::Accepts,
        Ok(Err(_)) => Finding::Refuses,
        Err(_) => Finding::Silent,
    }
}

/// Returns whether an address accepts a connection in time.
pub async fn is_reachable(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connecting, Ok(Ok(_)))
}

/// Returns whether an address accepts a connection in time and does not close it at once.
pub(crate) async fn holds_connection(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connecting else {
        return false;
    };
    let closed = tokio::time::timeout(PROBE_HOLD, stream.readable()).await;
    closed.is_err()
}

/// What a connection that was opened and closed for sending at once shows of the process at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseOutcome {
    /// It has run meanwhile, or has ended.
    RunsOrEnded,
    /// Its host did not respond, or accepts no further connection.
    Unreachable,
}

/// Opens a connection, closes it for sending, and waits until it is closed from the other side as well. A process
/// that stands still does not close it, though its operating system has accepted it.
pub(crate) async fn observe_close(address: SocketAddr) -> CloseOutcome {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return CloseOutcome::RunsOrEnded,
        Err(_) => return CloseOutcome::Unreachable,
    };
    if let Err(e) = set_socket_options(&stream) {
        debug!(address:%, error:% = e; "socket options not set");
    }
    let _ = stream.shutdown().await;
    match stream.read(&mut [0; 1]).await {
        Err(e) if e.kind() == ErrorKind::TimedOut => CloseOutcome::Unreachable,
        _ => CloseOutcome::RunsOrEnded,
    }
}

async fn open<K: Destination>(
    destination: K,
    address: SocketAddr,
    lingering: &Arc<Semaphore>,
) -> Result<Connection<K>> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let outcome = match &connecting {
        Ok(Ok(_)) => "opened",
        Ok(Err(_)) => "refused",
        Err(_) => "timed out",
    };
    metrics::counter!(K::CONNECTS_METRIC, "outcome" => outcome).increment(1);
    let Ok(Ok(stream)) = connecting else {
        return Err(Error::NotSent);
    };
    if let Err(e) = set_socket_options(&stream) {
        debug!(address:%, error:% = e; "socket options not set");
    }
    let received = Received::default();
    let stream = BoundedStream::new(stream, received.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(|_| Error::NotSent)?;
    let abandonment: Abandonment<K> = Abandonment::default();
    let driver = linger::drive(
        connection,
        address,
        abandonment.clone(),
        received.clone(),
        Arc::clone(lingering),
    );
    tokio::spawn(driver);
    metrics::counter!(K::CONNECTIONS_METRIC).increment(1);
    Ok(Connection {
        sender,
        abandonment,
        received,
        destination,
        address,
        max_idle: DEFAULT_IDLE_TIMEOUT,
        is_closing: false,
        is_new: true,
    })
}

/// Sets the options by which the operating system detects a connection whose peer has stopped
/// responding.
pub(crate) fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// A request that has not been written yet.
struct Unsent<P> {
    req: Request<Body>,
    permit: P,
}

/// Why an exchange failed.
enum ExchangeError<P> {
    /// Nothing was written.
    Unsent(Box<Unsent<P>>),
    /// Nothing was written, since the permit was no longer valid.
    Withheld,
    /// The request may have been read.
    Lost,
    /// The request was answered, and the answer can't be used.
    Malformed,
}

async fn exchange<K: Destination>(
    mut connection: Connection<K>,
    unsent: Unsent<K::Permit>,
) -> std::result::Result<Exchange<K>, ExchangeError<K::Permit>> {
    let Unsent { mut req, permit } = unsent;
    let Some(spent_permit) = permit.spend(req.headers_mut()) else {
        return Err(ExchangeError::Withheld);
    };
    let is_head_request = req.method() == Method::HEAD;
    connection.received.record_progress();
    // If this future is dropped, the connection takes over the permit.
    let unanswered = connection.abandonment.begin(spent_permit);
    match connection.sender.try_send_request(req).await {
        Ok(response) => {
            let Some(response) = answer::check(response, is_head_request, &connection) else {
                unanswered.end(K::Permit::record_arrival);
                return Err(ExchangeError::Malformed);
            };
            let permit = unanswered.end(K::Permit::answer);
            connection.is_closing = is_closing(response.headers());
            connection.max_idle = idle_timeout(response.headers());
            Ok(Exchange {
                response,
                connection,
                permit,
            })
        }
        Err(e) if e.error().is_parse() => {
            unanswered.end(K::Permit::record_arrival);
            answer_framing::record_fault(connection.address, "head");
            Err(ExchangeError::Malformed)
        }
        Err(mut e) => {
            let returned = e.take_message().and_then(|req| {
                let permit = unanswered.end(K::Permit::undo)?;
                Some(Unsent { req, permit })
            });
            Err(match returned {
                Some(unsent) => ExchangeError::Unsent(Box::new(unsent)),
                None => ExchangeError::Lost,
            })
        }
    }
}

fn is_closing(headers: &HeaderMap) -> bool {
    let value = headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok());
    value.is_some_and(|v| v.to_ascii_lowercase().contains("close"))
}

/// Returns how long a connection may stay idle, by the `keep-alive` header of the upstream if
/// there is one.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let parameters = value.into_iter().flat_map(|v| v.split(','));
    let mut timeouts = parameters.filter_map(|p| p.trim().strip_prefix("timeout="));
    let seconds = timeouts.find_map(|t| t.trim().parse::<f64>().ok());
    let named = seconds.and_then(|s| Duration::try_from_secs_f64(s * IDLE_TIMEOUT_FRACTION).ok());
    named
        .unwrap_or(DEFAULT_IDLE_TIMEOUT)
        .min(Duration::from_secs(30))
}
