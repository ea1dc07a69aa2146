//! The fake object API: versions, conditional updates, watches, rate limits and outages.

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

/// Configuration of a fake object API.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectApiConfig {
    /// Loopback port; 0 takes a free port. Default 0.
    pub port: u16,
    /// Limit of reads a second, including lists and watches. Default 2000.
    pub reads_per_second: u32,
    /// Limit of writes and deletes a second. Default 400.
    pub writes_per_second: u32,
    /// Maximum size of an object's body, in bytes. Default 1,000,000.
    pub max_body: usize,
    /// Number of changes retained for watches. Default 10,000.
    pub history: usize,
    /// Duration of each call. Default 0.
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

/// Availability of the object API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ApiMode {
    /// Calls are answered.
    #[default]
    Up,
    /// Calls and pending watches are answered with status 503.
    Unavailable,
    /// Calls are accepted and never answered, and have no effect.
    Silent,
}

/// Number of calls since the start, including refused ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CallCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Reads of all objects of a kind.
    pub lists: u64,
    /// Watches, each counted once regardless of its duration.
    pub watches: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Calls refused by a rate limit.
    pub limited: u64,
    /// Writes and deletes in the busiest second.
    pub peak_writes: u64,
}

/// A running fake object API; dropping it stops it and discards its objects.
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
    /// The store's version, observed by pending watches.
    version: watch::Sender<u64>,
    mode: watch::Sender<ApiMode>,
    /// Number of restores from a copy.
    era: AtomicU64,
    /// The copy that a restore uses.
    copy: Mutex<Store>,
}

#[derive(Debug)]
struct Calls {
    counts: CallCounts,
    reads: TokenBucket,
    writes: TokenBucket,
}

/// Kind of call, for rate limits and counts.
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

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the faults to inject; changes apply to the next request.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Sets the availability; a pending watch is answered on a change to `Unavailable`.
    pub fn set_mode(&self, mode: ApiMode) {
        self.shared.mode.send_replace(mode);
    }

    /// Closes the port and all connections, or opens the port again; objects are kept.
    pub fn set_listening(&self, listening: bool) {
        self.server.listen_switch().set_listening(listening);
    }

    /// Returns the number of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.shared.counts()
    }

    /// Returns an object, bypassing rate limits and faults.
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        lock(&self.shared.store).get(kind, name).cloned()
    }

    /// Returns all objects of a kind, bypassing rate limits and faults.
    pub fn list(&self, kind: &str) -> Vec<Object> {
        lock(&self.shared.store).list(kind)
    }

    /// Writes and returns an object, bypassing rate limits, conditions and faults.
    pub fn put(&self, kind: &str, name: &str, body: &str) -> Object {
        let object = lock(&self.shared.store).put(kind, name, body.to_owned());
        self.shared.version.send_replace(object.version);
        object
    }

    /// Copies all objects for a later restore, replacing the previous copy. The initial copy is
    /// empty.
    pub fn take_copy(&self) {
        *lock(&self.shared.copy) = lock(&self.shared.store).clone();
    }

    /// Restores the copy and starts a new era. Changes since the copy are lost, and later changes
    /// reuse their version numbers.
    pub fn restore(&self) {
        let copy = lock(&self.shared.copy).clone();
        let version = copy.version();
        self.shared.era.fetch_add(1, Ordering::SeqCst);
        *lock(&self.shared.store) = copy;
        self.shared.version.send_replace(version);
    }

    /// Stops the object API, as dropping it does.
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

    /// Counts a call and applies mode, rate limit and latency; the error is the refusal.
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
    /// Counts a call; returns false when it exceeds its rate limit.
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
