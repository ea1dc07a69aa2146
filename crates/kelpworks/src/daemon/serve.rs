//! An HTTP server of a daemon, and its shutdown.

use std::net::SocketAddr;
use std::time::Duration;

use salvo::Listener;
use salvo::Router;
use salvo::Server as HttpServer;
use salvo::conn::Acceptor;
use salvo::conn::TcpListener;
use salvo::server::ServerHandle;
use tokio::task::JoinHandle;

use crate::daemon::Error;
use crate::daemon::Result;

/// A running HTTP server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub(crate) async fn start(address: SocketAddr, router: Router) -> Result<Server> {
        let listen = |source| Error::Listen { address, source };
        let acceptor = TcpListener::new(address)
            .try_bind()
            .await
            .map_err(|e| listen(std::io::Error::other(e.to_string())))?;
        let listener = acceptor.holdings().first();
        let bound = listener
            .and_then(|h| h.local_addr.clone().into_std())
            .unwrap_or(address);
        let server = HttpServer::new(acceptor);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(Server {
            address: bound,
            handle,
            task,
        })
    }

    /// Closes the listener and all connections at once.
    pub(crate) fn abort(self) {
        self.handle.stop_forceful();
        self.task.abort();
    }

    /// Stops accepting connections; requests in flight continue.
    pub(crate) fn close(&self) {
        self.handle.stop_graceful(None);
    }

    /// Waits until the last request in flight has been answered. Call [`Server::close`] first.
    pub(crate) async fn drained(&mut self) {
        let _ = (&mut self.task).await;
    }

    /// Closes the server, waits up to `wait` for requests in flight, and aborts the rest.
    pub(crate) async fn stop(mut self, wait: Duration) {
        self.close();
        if tokio::time::timeout(wait, self.drained()).await.is_err() {
            self.handle.stop_forceful();
        }
    }
}
