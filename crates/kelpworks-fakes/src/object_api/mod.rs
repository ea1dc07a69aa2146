//! The stand-in object API: versions, conditional updates, watches, rates and outages.

mod http;
mod store;
mod token_bucket;

use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use salvo::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use self::store::Store;
use self::token_bucket::TokenBucket;
use crate::error::Result;
use crate::fault::Faults;
use crate::fault::lock;
use crate::server::HttpResponse;
use crate::server::Port;
use crate::server::Server;
use kelpworks_wire::ApiError;
use kelpworks_wire::ApiErrorCode;
use kelpworks_wire::Object;

/// Configuration of a stand-in object API.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectApiConfig {
    /// Loopback port. Default 0: a free one.
    pub port: u16,
    /// Reads a second, watches included. Default 2000.
    pub reads_per_second: u32,
    /// Writes a second. Default 400.
    pub writes_per_second: u32,
    /// Largest body, in bytes. Default 1,000,000.
    pub max_body: usize,
    /// Changes kept for watches. Default 10,000.
    pub history: usize,
    /// Time that each call takes. Default 0.
    pub latency: Duration,
}

impl Default for ObjectApiConfig {
    fn default() -> ObjectApiConfig {
        ObjectApiConfig {
            port: 0,
            reads_per_second: 2000,
            writes_per_second: 400,
            max_body: 1_000_000,
            history: 10_000,
            latency: Duration::ZERO,
        }
    }
}

/// Whether the object API works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ApiMode {
    /// It works.
    #[default]
    Up,
    /// It answers 503, also to waiting watches.
    Unavailable,
    /// It takes calls and never answers; nothing takes effect.
    Silent,
}

/// Calls since the start, those refused included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CallCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Reads of all objects of a kind.
    pub lists: u64,
    /// Watches, each counted once however long it waits.
    pub watches: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Calls refused for their rate.
    pub limited: u64,
    /// Writes in the busiest second.
    pub peak_writes: u64,
}

/// A running object API; dropping it stops it and loses its objects.
///
/// # Examples
///
/// ```
/// use kelpworks_fakes::ApiMode;
/// use kelpworks_fakes::ObjectApi;
/// use kelpworks_fakes::ObjectApiConfig;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> kelpworks_fakes::Result<()> {
/// let api = ObjectApi::spawn(ObjectApiConfig::default()).await?;
/// let object = api.put("kelpworks.head", "current", "{}");
/// assert_eq!(api.get("kelpworks.head", "current"), Some(object));
/// api.set_mode(ApiMode::Unavailable);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct ObjectApi {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    cfg: ObjectApiConfig,
    faults: Faults,
    store: Mutex<Store>,
    calls: Mutex<Calls>,
    /// The store's version, for watches that wait.
    version: watch::Sender<u64>,
    mode: watch::Sender<ApiMode>,
    /// How often it came back from an older copy.
    era: AtomicU64,
    /// The copy that it comes back from.
    copy: Mutex<Store>,
}

#[derive(Debug)]
struct Calls {
    counts: CallCounts,
    reads: TokenBucket,
    writes: TokenBucket,
}

/// A kind of call, for rates and counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Read,
    List,
    Watch,
    Write,
}

impl ObjectApi {
    /// Starts an empty object API.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub async fn spawn(cfg: ObjectApiConfig) -> Result<ObjectApi> {
        let port = Port::bind(cfg.port)?;
        let faults = Faults::default();
        let calls = Calls {
            counts: CallCounts::default(),
            reads: TokenBucket::new(cfg.reads_per_second),
            writes: TokenBucket::new(cfg.writes_per_second),
        };
        let shared = Arc::new(Shared {
            faults: faults.clone(),
            store: Mutex::new(Store::new(cfg.history)),
            calls: Mutex::new(calls),
            version: watch::Sender::new(0),
            mode: watch::Sender::new(ApiMode::Up),
            era: AtomicU64::new(0),
            copy: Mutex::new(Store::new(cfg.history)),
            cfg,
        });
        let server = port.serve(faults, shared.clone(), http::router())?;
        Ok(ObjectApi { shared, server })
    }

    /// Base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Its faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Sets whether it works.
    pub fn set_mode(&self, mode: ApiMode) {
        self.shared.mode.send_replace(mode);
    }

    /// Closes its port and all connections, or opens the port again; objects are kept.
    pub fn set_listening(&self, listening: bool) {
        self.server.listen_switch().set_listening(listening);
    }

    /// Calls so far.
    pub fn counts(&self) -> CallCounts {
        self.shared.counts()
    }

    /// Reads an object past all rates and faults.
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        lock(&self.shared.store).get(kind, name).cloned()
    }

    /// All objects of a kind, past all rates and faults.
    pub fn list(&self, kind: &str) -> Vec<Object> {
        lock(&self.shared.store).list(kind)
    }

    /// Writes an object past all rates, conditions and faults; returns it.
    pub fn put(&self, kind: &str, name: &str, body: &str) -> Object {
        let object = lock(&self.shared.store).put(kind, name, body.to_owned());
        self.shared.version.send_replace(object.version);
        object
    }

    /// Takes a copy of all objects, in place of the one before. The first is empty.
    pub fn take_copy(&self) {
        *lock(&self.shared.copy) = lock(&self.shared.store).clone();
    }

    /// Comes back from the copy, in a new era: what was written since is gone, and revisions after it
    /// are given out again.
    pub fn restore(&self) {
        let copy = lock(&self.shared.copy).clone();
        let version = copy.version();
        self.shared.era.fetch_add(1, Ordering::SeqCst);
        *lock(&self.shared.store) = copy;
        self.shared.version.send_replace(version);
    }

    /// Stops it; the same as dropping it.
    pub fn stop(self) {}
}

impl Shared {
    fn counts(&self) -> CallCounts {
        let calls = lock(&self.calls);
        CallCounts {
            peak_writes: calls.writes.peak(),
            ..calls.counts
        }
    }

    /// Lets a call through, or says why not.
    async fn admit(&self, call: Call) -> std::result::Result<(), HttpResponse> {
        let within = lock(&self.calls).record(call);
        let mode = *self.mode.borrow();
        match mode {
            ApiMode::Up => {}
            ApiMode::Unavailable => return Err(unavailable()),
            ApiMode::Silent => return pending().await,
        }
        if !within {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Err(error(status, ApiErrorCode::TooManyRequests, None));
        }
        if !self.cfg.latency.is_zero() {
            tokio::time::sleep(self.cfg.latency).await;
        }
        Ok(())
    }
}

impl Calls {
    /// Counts a call; false when it is over its rate.
    fn record(&mut self, call: Call) -> bool {
        let (count, rate) = match call {
            Call::Read => (&mut self.counts.reads, &mut self.reads),
            Call::List => (&mut self.counts.lists, &mut self.reads),
            Call::Watch => (&mut self.counts.watches, &mut self.reads),
            Call::Write => (&mut self.counts.writes, &mut self.writes),
        };
        *count += 1;
        let within = rate.take();
        if !within {
            self.counts.limited += 1;
        }
        within
    }
}

fn unavailable() -> HttpResponse {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    error(status, ApiErrorCode::Unavailable, None)
}

fn error(status: StatusCode, code: ApiErrorCode, current: Option<Object>) -> HttpResponse {
    let error = ApiError {
        code,
        message: code.to_string(),
        current,
    };
    HttpResponse::json_with(status, &error)
}
