//! HTTP servers of a daemon that can be stopped gracefully.

use std::net::SocketAddr;
use std::time::Duration;

use salvo::Listener;
use salvo::Router;
use salvo::Server as HttpServer;
use salvo::conn::TcpListener;
use salvo::server::ServerHandle;
use tokio::task::JoinHandle;

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on an address. A connection on which no request head arrives within `idle_timeout`
    /// is closed.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub(crate) async fn start(
        address: SocketAddr,
        router: Router,
        idle_timeout: Duration,
    ) -> std::io::Result<Server> {
        let acceptor = TcpListener::new(address)
            .try_bind()
            .await
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        let mut server = HttpServer::new(acceptor).disable_fuse();
        server.http1_mut().header_read_timeout(idle_timeout);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(Server { handle, task })
    }

    /// Stops accepting connections. Requests in flight continue, and their connections close
    /// afterwards.
    pub(crate) fn stop_accepting(&self) {
        self.handle.stop_graceful(None);
    }

    /// Stops accepting connections, waits up to `max_wait` for requests in flight, and aborts the
    /// rest.
    pub(crate) async fn stop(mut self, max_wait: Duration) {
        self.stop_accepting();
        if tokio::time::timeout(max_wait, &mut self.task)
            .await
            .is_err()
        {
            self.handle.stop_forceful();
        }
    }
}
