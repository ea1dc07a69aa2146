//! HTTP servers of a daemon, which bound what their connections take and can be stopped gracefully.
//!
//! A caller whose connection is closed before its request was read knows that nothing has run, and its retry meets
//! another daemon. Closing costs this daemon two system calls; a refusal would have to be read, decided and written.

mod connections;
mod gate;
mod service;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use salvo::ConnCtrl;
use salvo::Router;
use salvo::Service;
use salvo::http::uri::Scheme;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::memory_budget::MemoryBudget;
use connections::Connection;
use connections::Connections;
use connections::Phase;
pub use gate::ConnectionBounds;
pub use gate::ConnectionGate;
pub use gate::DEFAULT_HEAD_TIMEOUT;
use service::RequestTracker;
use stream::ConnectionStream;

/// Bytes of a connection that the operating system holds unread at most.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Size of a read buffer in addition to the largest head: what precedes it, and what the size of a head leaves out.
const HEAD_OVERHEAD_BYTES: usize = 1 << 10;
/// Least size of a read buffer that the HTTP server supports.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;
/// Pause after a connection could not be accepted, as when the process has no descriptor left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// Cancelled to stop accepting connections.
    stopping: CancellationToken,
    /// Cancelled to abort requests in flight.
    aborting: CancellationToken,
    tasks: TaskTracker,
    address: SocketAddr,
}

impl Server {
    /// Listens on an address, where port 0 selects a free port; `name` is that of the listener in metrics. Connections that `gate` does not admit are
    /// closed unread, and those that exceed its bounds are closed. Bytes that they leave unread count in `memory`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(
        name: &'static str,
        address: SocketAddr,
        gate: impl ConnectionGate,
        router: Router,
        memory: Arc<MemoryBudget>,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        // Accepted connections inherit it.
        if let Err(e) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            debug!(error:% = e; "receive buffer not set");
        }
        let server = Server {
            stopping: CancellationToken::new(),
            aborting: CancellationToken::new(),
            tasks: TaskTracker::new(),
            address: listener.local_addr()?,
        };
        let acceptor = Acceptor {
            local: server.address,
            listener,
            gate,
            service: Service::new(router),
            connections: Arc::new(Connections::new(name)),
            memory,
            stopping: server.stopping.clone(),
            aborting: server.aborting.clone(),
            tasks: server.tasks.clone(),
        };
        server.tasks.spawn(acceptor.run());
        Ok(server)
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections. Requests in flight continue, and their connections close
    /// afterwards.
    pub fn stop_accepting(&self) {
        self.stopping.cancel();
        self.tasks.close();
    }

    /// Waits until the last request in flight has been answered. Call [`Server::stop_accepting`] first.
    pub async fn drained(&self) {
        self.tasks.wait().await;
    }

    /// Closes the listener and all connections at once.
    pub fn abort(self) {
        self.stop_accepting();
        self.aborting.cancel();
    }

    /// Stops accepting connections, waits up to `max_wait` for requests in flight, and aborts the
    /// rest.
    pub async fn stop(self, max_wait: Duration) {
        self.stop_accepting();
        if tokio::time::timeout(max_wait, self.drained())
            .await
            .is_err()
        {
            self.aborting.cancel();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopping.cancel();
    }
}

/// Accepts the connections that its gate admits, and serves them.
struct Acceptor<G> {
    listener: TcpListener,
    local: SocketAddr,
    gate: G,
    service: Service,
    connections: Arc<Connections>,
    memory: Arc<MemoryBudget>,
    stopping: CancellationToken,
    aborting: CancellationToken,
    tasks: TaskTracker,
}

impl<G: ConnectionGate> Acceptor<G> {
    async fn run(self) {
        let stopping = self.stopping.clone();
        let accepting = async {
            loop {
                if let Err(e) = self.accept().await {
                    warn!(error:% = e; "connection not accepted");
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        };
        tokio::select! {
            () = stopping.cancelled() => {}
            () = accepting => {}
        }
    }

    /// Accepts a connection, and serves it unless there is no room for it.
    async fn accept(&self) -> io::Result<()> {
        let (stream, remote) = self.listener.accept().await?;
        let bounds = self.gate.bounds();
        let admission = match self.gate.admit() {
            Some(unread) => {
                let connection = self.connections.admit(bounds.max_connections).await;
                connection.map(|connection| (unread, connection))
            }
            None => None,
        };
        let Some((unread, connection)) = admission else {
            reset(&stream);
            metrics::counter!("kelpworks_connections_closed_unread_total").increment(1);
            return Ok(());
        };
        tokio::spawn(count_until_read(unread));
        self.serve(stream, remote, connection, &bounds);
        Ok(())
    }

    /// Starts to serve a connection.
    fn serve(
        &self,
        stream: TcpStream,
        remote: SocketAddr,
        connection: Connection,
        bounds: &ConnectionBounds,
    ) {
        let connection = Arc::new(connection);
        let handler = self.service.hyper_handler(
            self.local.into(),
            remote.into(),
            Scheme::HTTP,
            None,
            ConnCtrl::new(),
            None,
        );
        let service = RequestTracker::new(handler, Arc::clone(&connection));
        let stream = ConnectionStream::new(
            stream,
            Arc::clone(&connection),
            bounds,
            Arc::clone(&self.memory),
        );
        let read_buffer = bounds.head_bytes.saturating_add(HEAD_OVERHEAD_BYTES);
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(bounds.request_timeout)
            .max_buf_size(read_buffer.max(MIN_READ_BUFFER_BYTES));
        let http = http.serve_connection(TokioIo::new(stream), service);
        let stopping = self.stopping.clone();
        let aborting = self.aborting.clone();
        self.tasks.spawn(async move {
            let mut http = std::pin::pin!(http);
            let mut is_last = false;
            loop {
                tokio::select! {
                    biased;
                    () = aborting.cancelled() => return,
                    () = connection.closing(), if !is_last => {
                        if connection.phase() == Phase::Waiting {
                            return;
                        }
                        is_last = true;
                        http.as_mut().graceful_shutdown();
                    }
                    () = stopping.cancelled(), if !is_last => {
                        is_last = true;
                        http.as_mut().graceful_shutdown();
                    }
                    ended = http.as_mut() => {
                        if let Err(e) = ended {
                            debug!(error:% = e; "connection ended");
                        }
                        return;
                    }
                }
            }
        });
    }
}

/// Records that the body of a request was read to its end or given up, so that what follows it counts as unread.
pub fn set_request_read(req: &salvo::Request) {
    if let Some(connection) = req.extensions().get::<Arc<Connection>>() {
        connection.set_read();
    }
}

/// Counts a connection until its task, which is spawned after this one, has run and counts the request that it read.
async fn count_until_read<T>(unread: T) {
    tokio::task::yield_now().await;
    drop(unread);
}

/// Makes a connection end with a reset when it is dropped, so that nothing of it is left to the operating system.
fn reset(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        debug!(error:% = e; "linger not set");
    }
}
