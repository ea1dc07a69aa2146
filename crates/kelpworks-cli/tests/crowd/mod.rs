//! Callers that send without ending a request, and stay connected.

#![allow(dead_code, reason = "each test crate uses a part")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest time for which a caller sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Connections of callers that don't end a request.
pub(crate) struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Has a number of callers write these pieces, each on a connection of its own. A caller whose connection is
    /// closed stops.
    pub(crate) async fn send(callers: SocketAddr, connections: usize, pieces: &[Bytes]) -> Crowd {
        let mut tasks = JoinSet::new();
        for _ in 0..connections {
            let pieces = pieces.to_vec();
            tasks.spawn(async move {
                let mut stream = TcpStream::connect(callers).await.ok()?;
                let written = timeout(SEND_TIMEOUT, write_pieces(&mut stream, &pieces));
                let _ = written.await;
                Some(stream)
            });
        }
        let streams = tasks.join_all().await;
        Crowd {
            streams: streams.into_iter().flatten().collect(),
        }
    }

    /// Has all callers write this as well.
    pub(crate) async fn send_all(&mut self, bytes: &[u8]) {
        for stream in &mut self.streams {
            let _ = stream.try_write(bytes);
        }
    }
}

async fn write_pieces(stream: &mut TcpStream, pieces: &[Bytes]) -> std::io::Result<()> {
    for piece in pieces {
        stream.write_all(piece).await?;
    }
    Ok(())
}
