//! HTTP servers of a daemon.

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

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on an address; port 0 takes a free one.
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
        let holding = acceptor.holdings().first();
        let bound = holding
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

    /// Closes everything at once.
    pub(crate) fn abort(self) {
        self.handle.stop_forceful();
        self.task.abort();
    }

    /// Stops taking connections and waits for the requests in flight, at most `wait`.
    pub(crate) async fn stop(self, wait: Duration) {
        self.handle.stop_graceful(wait);
        let _ = self.task.await;
    }
}
