//! The fake weight store, whose bandwidth all readers share.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use salvo::Depot;
use salvo::Request;
use salvo::Router;
use salvo::handler;
use salvo::http::StatusCode;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Result;
use crate::fault::Faults;
use crate::fault::lock;
use crate::server::HttpResponse;
use crate::server::Port;
use crate::server::Server;
use crate::server::state;
use kelpworks_wire::WeightsReply;

/// Configuration of a fake weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightStoreConfig {
    /// Loopback port; 0 takes a free port. Default 0.
    pub port: u16,
    /// Bandwidth over all readers, in bytes a second. Default infinite.
    pub bytes_per_second: f64,
    /// Size of one layer's weights, in bytes. Default 1,000,000.
    pub layer_bytes: u64,
}

impl Default for WeightStoreConfig {
    fn default() -> WeightStoreConfig {
        WeightStoreConfig {
            port: 0,
            bytes_per_second: f64::INFINITY,
            layer_bytes: 1_000_000,
        }
    }
}

/// A running fake weight store; dropping it stops it.
#[derive(Debug)]
pub struct WeightStore {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    cfg: WeightStoreConfig,
    read_queue: Mutex<ReadQueue>,
}

/// Schedule of reads, which run one after another at the store's bandwidth.
#[derive(Debug)]
struct ReadQueue {
    /// Time at which the last queued read ends.
    idle_at: Instant,
    bytes: u64,
}

impl WeightStore {
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub async fn spawn(cfg: WeightStoreConfig) -> Result<WeightStore> {
        let port = Port::bind(cfg.port)?;
        let read_queue = ReadQueue {
            idle_at: Instant::now(),
            bytes: 0,
        };
        let shared = Arc::new(Shared {
            cfg,
            read_queue: Mutex::new(read_queue),
        });
        let router = Router::with_path("weights/{model}/{version}").get(get_weights);
        let server = port.serve(Faults::default(), shared.clone(), router)?;
        Ok(WeightStore { shared, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the faults to inject; changes apply to the next request.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the number of bytes requested so far.
    pub fn bytes(&self) -> u64 {
        lock(&self.shared.read_queue).bytes
    }

    /// Stops the weight store, as dropping it does.
    pub fn stop(self) {}
}

impl Shared {
    /// Queues a read and returns the time at which it ends.
    fn reserve(&self, bytes: u64) -> Instant {
        let takes = Duration::from_secs_f64(bytes as f64 / self.cfg.bytes_per_second);
        let mut read_queue = lock(&self.read_queue);
        read_queue.bytes += bytes;
        read_queue.idle_at = read_queue.idle_at.max(Instant::now()) + takes;
        read_queue.idle_at
    }
}

#[handler]
async fn get_weights(
    req: &mut Request,
    depot: &mut Depot,
) -> std::result::Result<HttpResponse, HttpResponse> {
    let store = state::<Arc<Shared>>(depot);
    let first: u32 = req.query("first").unwrap_or(0);
    let end: u32 = req.query("end").unwrap_or(0);
    if first >= end {
        let why = format!("layers {first}..{end}");
        return Err(HttpResponse::text(StatusCode::BAD_REQUEST, why));
    }
    let bytes = u64::from(end - first) * store.cfg.layer_bytes;
    tokio::time::sleep_until(store.reserve(bytes)).await;
    let named = format!("{}?{first}..{end}", req.uri().path());
    Ok(HttpResponse::json(&WeightsReply {
        bytes,
        digest: format!("{:016x}", xxh3_64(named.as_bytes())),
    }))
}

#[cfg(test)]
mod tests;
