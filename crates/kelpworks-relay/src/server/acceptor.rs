//! Accepts connections, and counts those that are open.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use salvo::conn::Accepted;
use salvo::conn::Acceptor;
use salvo::conn::ConnCtrl;
use salvo::conn::Holding;
use salvo::conn::StraightStream;
use salvo::conn::tcp::TcpCoupler;
use salvo::fuse::ArcFusePolicy;
use salvo::fuse::ConnObserver;
use salvo::http::Version;
use salvo::http::uri::Scheme;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Accepts connections.
#[derive(Debug)]
pub(crate) struct CountingAcceptor {
    listener: TcpListener,
    holdings: [Holding; 1],
    /// Name in metrics.
    name: &'static str,
    open: Arc<AtomicUsize>,
}

impl CountingAcceptor {
    /// Accepts the connections of a listener, whose `name` is a metric label.
    ///
    /// # Errors
    ///
    /// When the listener has no local address.
    pub(crate) fn new(listener: TcpListener, name: &'static str) -> io::Result<CountingAcceptor> {
        let holding = Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![Version::HTTP_11],
            http_scheme: Scheme::HTTP,
        };
        Ok(CountingAcceptor {
            listener,
            holdings: [holding],
            name,
            open: Arc::default(),
        })
    }
}

impl Acceptor for CountingAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = StraightStream<TcpStream>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let (stream, remote) = self.listener.accept().await?;
        let conn_ctrl = ConnCtrl::new();
        let observer = OpenConnection::new(&self.open, self.name);
        let observer = Arc::new(observer);
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: StraightStream::new(stream, None, conn_ctrl.clone(), Some(observer)),
            fuse_config: None,
            conn_ctrl,
            local_addr: self.holdings[0].local_addr.clone(),
            remote_addr: remote.into(),
            http_scheme: Scheme::HTTP,
        })
    }
}

/// Counts an open connection until dropped.
struct OpenConnection {
    open: Arc<AtomicUsize>,
    name: &'static str,
}

impl OpenConnection {
    fn new(open: &Arc<AtomicUsize>, name: &'static str) -> OpenConnection {
        let connection = OpenConnection {
            open: Arc::clone(open),
            name,
        };
        let before = open.fetch_add(1, Ordering::Relaxed);
        connection.report(before + 1);
        connection
    }

    fn report(&self, open: usize) {
        let labels = [("listener", self.name)];
        metrics::gauge!("kelpworks_open_connections", &labels).set(open as f64);
    }
}

impl ConnObserver for OpenConnection {}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let before = self.open.fetch_sub(1, Ordering::Relaxed);
        self.report(before.saturating_sub(1));
    }
}
