//! Connections of requests whose answers are no longer waited for.
//!
//! An upstream that stands still has often acknowledged a request: its operating system holds the data, and the
//! process reads them whenever it runs again. So time alone doesn't show that an abandoned request no longer
//! arrives. Its connection is closed for sending, by which the upstream notices that the caller has left, and is
//! kept until the upstream answers or closes it: by then it has read the request, or never will.
//!
//! ```text
//! 0.000  request written
//! 0.250  abandoned: closed for sending, retried elsewhere
//! 9.310  the upstream runs again, reads the request, and closes the connection: it has arrived
//! ```
//!
//! Limits: a link that resets connections to both sides may leave the request with an upstream that stands still. At
//! most [`MAX_LINGERING_CONNECTIONS`] connections are held; further ones are closed at once.

use std::error::Error as _;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kelpworks::sync::lock;
use log::debug;
use log::info;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Body;
use super::Destination;
use super::WritePermit;
use super::received::BoundedStream;
use super::received::Received;
use super::received::find_excess;

/// Maximum number of connections of a pool that are held for abandoned requests.
pub(super) const MAX_LINGERING_CONNECTIONS: usize = 256;
/// Time between two checks whether the arrival of an abandoned request matters still.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the end of a wait for an arrival is logged.
const LOGGED_AFTER: Duration = Duration::from_secs(1);

type Spent<K> = <<K as Destination>::Permit as WritePermit>::Spent;

/// Takes the permit of the request that is under way on a connection to the task that drives the connection, if
/// the request is abandoned.
#[derive(Debug)]
pub(super) struct Abandonment<K: Destination> {
    /// Receives nothing if the request is answered, or was not written.
    pending: Arc<Mutex<Option<oneshot::Receiver<Spent<K>>>>>,
}

impl<K: Destination> Default for Abandonment<K> {
    fn default() -> Abandonment<K> {
        Abandonment {
            pending: Arc::default(),
        }
    }
}

impl<K: Destination> Clone for Abandonment<K> {
    fn clone(&self) -> Abandonment<K> {
        Abandonment {
            pending: Arc::clone(&self.pending),
        }
    }
}

impl<K: Destination> Abandonment<K> {
    /// Begins a request. It is abandoned if the returned value is dropped.
    pub(super) fn begin(&self, spent: Spent<K>) -> Unanswered<Spent<K>> {
        let (tx, rx) = oneshot::channel();
        *lock(&self.pending) = Some(rx);
        Unanswered {
            request: Some((spent, tx)),
        }
    }

    /// Waits until the last request has ended; returns its permit if it was abandoned.
    async fn abandoned(&self) -> Option<Spent<K>> {
        let pending = lock(&self.pending).take()?;
        pending.await.ok()
    }
}

/// A request that is under way on a connection; abandoned when dropped.
#[derive(Debug)]
pub(super) struct Unanswered<S> {
    /// `None` once it has ended.
    request: Option<(S, oneshot::Sender<S>)>,
}

impl<S> Unanswered<S> {
    /// Ends the request, and returns what `f` makes of its permit.
    pub(super) fn end<T>(mut self, f: impl FnOnce(S) -> T) -> Option<T> {
        let (spent, _) = self.request.take()?;
        Some(f(spent))
    }
}

impl<S> Drop for Unanswered<S> {
    fn drop(&mut self) {
        if let Some((spent, tx)) = self.request.take() {
            // If the connection has ended, the permit is dropped.
            let _ = tx.send(spent);
        }
    }
}

/// What has become of an abandoned request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Arrival {
    /// The upstream has read it, or never will.
    Decided(&'static str),
    /// It may still arrive.
    Unknown(&'static str),
}

/// Drives a connection until the HTTP library is done with it. Records in `received` what follows its last answer.
async fn drive_http(
    connection: http1::Connection<TokioIo<BoundedStream>, Body>,
    received: Received,
) -> (hyper::Result<()>, TcpStream) {
    let mut connection = Some(connection);
    poll_fn(|cx| {
        let mut has_excess = received.lock();
        let Some(running) = &mut connection else {
            return Poll::Pending;
        };
        let ended = ready!(running.poll_without_shutdown(cx));
        let Some(ended_connection) = connection.take() else {
            return Poll::Pending;
        };
        let parts = ended_connection.into_parts();
        let stream = parts.io.into_inner().into_inner();
        *has_excess = find_excess(cx, &parts.read_buf, &stream);
        Poll::Ready((ended, stream))
    })
    .await
}

/// Drives a connection to its end, and holds it while an abandoned request of it may arrive.
pub(super) async fn drive<K: Destination>(
    connection: http1::Connection<TokioIo<BoundedStream>, Body>,
    address: SocketAddr,
    abandonment: Abandonment<K>,
    received: Received,
    lingering: Arc<Semaphore>,
) {
    let (ended, mut stream) = drive_http(connection, received).await;
    if let Err(e) = &ended {
        debug!(address:%, error:% = e; "connection ended");
    }
    // The upstream notices the end of an abandoned request by this.
    let _ = stream.shutdown().await;
    let Some(spent) = abandonment.abandoned().await else {
        return;
    };
    let since = Instant::now();
    let arrival = match ended {
        Err(e) => arrival_of_error(&e),
        Ok(()) => match lingering.try_acquire() {
            Ok(_held) => wait_for_arrival::<K>(stream, &spent, since).await,
            Err(_) => Arrival::Unknown("too many connections held"),
        },
    };
    record(address, arrival, since);
    if let Arrival::Decided(_) = arrival {
        K::Permit::record_arrival(spent);
    }
}

/// Returns what the error that ended a connection shows about the request on it.
fn arrival_of_error(e: &hyper::Error) -> Arrival {
    if e.is_incomplete_message() || e.is_parse() {
        return Arrival::Decided("connection ended");
    }
    let cause = e.source().and_then(|c| c.downcast_ref::<std::io::Error>());
    match cause.map(std::io::Error::kind) {
        Some(kind) => arrival_of_kind(kind),
        None => Arrival::Unknown("connection failed"),
    }
}

fn arrival_of_kind(kind: ErrorKind) -> Arrival {
    match kind {
        // The data were not acknowledged for the longest delivery.
        ErrorKind::TimedOut => Arrival::Decided("connection timed out"),
        // A link may have reset it while the upstream has the request.
        _ => Arrival::Unknown("connection reset"),
    }
}

/// Waits until the upstream answers or closes the connection, or its evidence is no longer needed.
async fn wait_for_arrival<K: Destination>(
    mut stream: TcpStream,
    spent: &Spent<K>,
    since: Instant,
) -> Arrival {
    let mut buf = [0; 1];
    loop {
        let reading = stream.read(&mut buf);
        match tokio::time::timeout(CHECK_INTERVAL, reading).await {
            Ok(Ok(0)) => return Arrival::Decided("connection closed"),
            Ok(Ok(_)) => return Arrival::Decided("answered late"),
            Ok(Err(e)) => return arrival_of_kind(e.kind()),
            Err(_) if !K::Permit::awaits_arrival(spent, since) => {
                return Arrival::Unknown("no longer waited for");
            }
            Err(_) => {}
        }
    }
}

fn record(address: SocketAddr, arrival: Arrival, since: Instant) {
    let waited = since.elapsed();
    let (is_decided, evidence) = match arrival {
        Arrival::Decided(evidence) => (true, evidence),
        Arrival::Unknown(evidence) => (false, evidence),
    };
    let labels = [("evidence", evidence)];
    metrics::counter!("kelpworks_abandoned_requests_total", &labels).increment(1);
    metrics::histogram!("kelpworks_abandoned_request_seconds").record(waited.as_secs_f64());
    if waited >= LOGGED_AFTER {
        info!(
            target: "decision",
            upstream:% = address,
            waited_ms = waited.as_millis() as u64,
            decided = is_decided,
            evidence:% = evidence;
            "abandoned request arrived or ended"
        );
    }
}
