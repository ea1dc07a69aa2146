//! A TCP proxy that counts the bytes of the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

use crate::support::Result;

const BUFFER: usize = 16 * 1024;

/// A byte-counting proxy to one address.
pub(super) struct Tap {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Tap {
    /// Starts a proxy on a free loopback port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub(super) fn spawn(rt: &Runtime, target: SocketAddr) -> Result<Tap> {
        let listener = rt.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&bytes);
        rt.spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                if let Ok(outer) = TcpStream::connect(target).await {
                    let (from_inner, to_inner) = inner.into_split();
                    let (from_outer, to_outer) = outer.into_split();
                    tokio::spawn(relay(from_inner, to_outer, Arc::clone(&counter)));
                    tokio::spawn(relay(from_outer, to_inner, Arc::clone(&counter)));
                }
            }
        });
        Ok(Tap { address, bytes })
    }

    /// Base URL of the proxy.
    pub(super) fn url(&self) -> Arc<str> {
        format!("http://{}", self.address).into()
    }

    /// Bytes forwarded so far, both ways.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn relay(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    counter: Arc<AtomicU64>,
) {
    let mut buf = vec![0; BUFFER];
    while let Ok(n) = from.read(&mut buf).await {
        // Counted before the write: the receiver of the last byte may read the count at once.
        counter.fetch_add(n as u64, Ordering::Relaxed);
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
