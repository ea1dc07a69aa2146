//! A TCP relay that simulates a faulty network link to an address.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::error::Result;

/// Limit of connections that are not accepted yet.
const BACKLOG: u32 = 1024;
/// Bytes read at a time in each direction.
const BUFFER: usize = 64 << 10;

/// Behavior of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards both ways.
    #[default]
    Pass,
    /// Closes all connections and refuses new ones.
    Cut,
    /// Connections open at the time of the change never forward again in any later state, until
    /// [`LinkState::Cut`] closes them; new ones work.
    SilenceExisting,
    /// Forwards nothing; data sent meanwhile arrives after the next [`LinkState::Pass`].
    SilenceAll,
    /// Forwards only data from the target.
    SilenceForward,
    /// Forwards only data to the target.
    SilenceBack,
    /// Forwards each chunk of data after this delay.
    Delay(Duration),
}

/// A relay on a loopback port; dropping it closes all its connections.
///
/// # Examples
///
/// ```
/// use kelpworks_fakes::Link;
/// use kelpworks_fakes::LinkState;
/// use kelpworks_fakes::PlainService;
/// use kelpworks_fakes::PlainServiceConfig;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> kelpworks_fakes::Result<()> {
/// let jobs = PlainService::spawn(PlainServiceConfig::new("jobs-0", "jobs")).await?;
/// let link = Link::spawn(jobs.addr()).await?;
/// assert_ne!(link.url(), jobs.url());
/// link.set(LinkState::SilenceExisting);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    control: Arc<watch::Sender<Control>>,
    _task: AbortOnDropHandle<()>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Control {
    state: LinkState,
    /// Number of connections accepted so far.
    accepted: u64,
    /// Connections with a number below this one never forward again.
    silent_below: u64,
}

impl Link {
    /// Starts a link to this address, in [`LinkState::Pass`].
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn spawn(target: SocketAddr) -> Result<Link> {
        // Bound but never listening: reserves the port while the link is cut.
        let reserved_socket = reusable()?;
        reserved_socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let addr = reserved_socket.local_addr()?;
        let listener = listen(addr)?;
        let control = Arc::new(watch::Sender::new(Control::default()));
        let relay = Relay {
            _reserved_socket: reserved_socket,
            addr,
            target,
            control: control.clone(),
        };
        let task = tokio::spawn(relay.run(listener));
        Ok(Link {
            addr,
            control,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL of an HTTP server at the target, through the link.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Sets the behavior of the link from now on.
    pub fn set(&self, state: LinkState) {
        self.control.send_modify(|c| {
            c.state = state;
            if state == LinkState::SilenceExisting {
                c.silent_below = c.accepted;
            }
        });
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.control.borrow().accepted
    }
}

fn reusable() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = reusable()?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

struct Relay {
    _reserved_socket: TcpSocket,
    addr: SocketAddr,
    target: SocketAddr,
    control: Arc<watch::Sender<Control>>,
}

impl Relay {
    async fn run(self, first: TcpListener) {
        let mut rx = self.control.subscribe();
        let mut listener = Some(first);
        loop {
            if let Some(listener) = listener.take() {
                tokio::select! {
                    () = self.accept(listener) => {}
                    _ = rx.wait_for(|c| c.state == LinkState::Cut) => {}
                }
            }
            if rx.wait_for(|c| c.state != LinkState::Cut).await.is_err() {
                return;
            }
            match listen(self.addr) {
                Ok(again) => listener = Some(again),
                Err(e) => return log::error!("link cannot listen on {} again: {e}", self.addr),
            }
        }
    }

    /// Relays connections until dropped.
    async fn accept(&self, listener: TcpListener) {
        let mut conns = JoinSet::new();
        loop {
            while conns.try_join_next().is_some() {}
            let Ok((client, _)) = listener.accept().await else {
                continue;
            };
            let mut number = 0;
            self.control.send_modify(|c| {
                number = c.accepted;
                c.accepted += 1;
            });
            conns.spawn(relay(client, self.target, number, self.control.subscribe()));
        }
    }
}

async fn relay(client: TcpStream, target: SocketAddr, number: u64, rx: watch::Receiver<Control>) {
    let mut forward = Direction {
        number,
        blocked_by: LinkState::SilenceForward,
        rx,
    };
    let back = Direction {
        blocked_by: LinkState::SilenceBack,
        ..forward.clone()
    };
    forward.wait_until_open().await;
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_rx, client_tx) = client.into_split();
    let (upstream_rx, upstream_tx) = upstream.into_split();
    tokio::join!(
        copy_bytes(client_rx, upstream_tx, forward),
        copy_bytes(upstream_rx, client_tx, back)
    );
}

/// One direction of a connection.
#[derive(Clone, Debug)]
struct Direction {
    number: u64,
    /// The state that blocks this direction only.
    blocked_by: LinkState,
    rx: watch::Receiver<Control>,
}

impl Direction {
    /// Waits until this direction may forward, then for the delay of [`LinkState::Delay`].
    async fn wait_until_open(&mut self) {
        let (number, blocked_by) = (self.number, self.blocked_by);
        let open = |c: &Control| {
            number >= c.silent_below && c.state != blocked_by && c.state != LinkState::SilenceAll
        };
        let state = match self.rx.wait_for(open).await {
            Ok(control) => control.state,
            Err(_) => return,
        };
        if let LinkState::Delay(delay) = state {
            tokio::time::sleep(delay).await;
        }
    }
}

async fn copy_bytes(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut direction: Direction) {
    let mut buf = vec![0; BUFFER];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        direction.wait_until_open().await;
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
