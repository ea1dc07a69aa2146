//! Client of the model engines.
//!
//! The daemon sends steps, cancellations, orders and probes, and reads the state that an engine
//! reports. Engines must meet two requirements: a reply echoes what was executed, and a step whose
//! positions have been executed already is refused instead of executed again.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::redirect::Policy;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::answer;
use super::body;
use crate::verdict::Verdict;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::EngineState;
use kelpworks_wire::OrderReply;
use kelpworks_wire::StepBatch;
use kelpworks_wire::StepBatchReply;

/// Result of an engine call.
pub type Result<T> = std::result::Result<T, Error>;

/// Reading a larger reply is aborted, so that a faulty upstream can't exhaust the daemon's memory.
/// The largest legitimate reply, a batch of rows for the longest prompt, is far smaller.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Why a call to an upstream gave no usable reply.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[error("connect: {0}")]
    Connect(String),
    /// No reply within the deadline.
    #[error("timeout")]
    Timeout,
    /// The connection broke after the request may have been sent.
    #[error("connection lost: {0}")]
    Lost(String),
    /// An HTTP status other than success.
    #[error("status {0}")]
    Status(StatusCode),
    /// The reply could not be decoded as its type.
    #[error("reply: {0}")]
    Decode(String),
    /// A reply larger than 16 MiB.
    #[error("reply too large")]
    TooLarge,
}

impl Error {
    /// Returns whether the call may have been executed.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Connect(_) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    pub(crate) fn from_send(e: answer::Error) -> Error {
        match e {
            answer::Error::Failed(e) => Error::from_reqwest(e),
            answer::Error::Malformed(_) => Error::Lost(e.to_string()),
        }
    }

    /// Strips the URL: the text may reach a caller, and callers must not see upstream addresses.
    pub(crate) fn from_reqwest(e: reqwest::Error) -> Error {
        let e = e.without_url();
        if e.is_connect() {
            return Error::Connect(e.to_string());
        }
        if e.is_timeout() {
            return Error::Timeout;
        }
        if e.is_decode() {
            return Error::Decode(e.to_string());
        }
        Error::Lost(e.to_string())
    }
}

/// Calls that the daemon makes to an engine. `url` is the engine's base URL.
pub trait Engine: Send + Sync + 'static {
    /// Executes a batch of steps.
    fn steps(
        &self,
        url: &Arc<str>,
        batch: &StepBatch,
        deadline: Duration,
    ) -> impl Future<Output = Result<StepBatchReply>> + Send;

    /// Ends a session and frees its memory on the engine.
    fn cancel(
        &self,
        url: &Arc<str>,
        req: &CancelRequest,
        deadline: Duration,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Reads the state that the engine reports.
    fn state(
        &self,
        url: &Arc<str>,
        deadline: Duration,
    ) -> impl Future<Output = Result<EngineState>> + Send;

    /// Sends an order of the placement executor, guarded by its fencing token.
    fn order(
        &self,
        url: &Arc<str>,
        order: &EngineOrder,
        deadline: Duration,
    ) -> impl Future<Output = Result<OrderReply>> + Send;

    /// Reads the engine's state over a new connection. On success the pooled connections to the
    /// engine are replaced, because they may be stalled.
    fn probe(
        &self,
        url: &Arc<str>,
        deadline: Duration,
    ) -> impl Future<Output = Result<EngineState>> + Send;
}

/// The engine client over HTTP.
#[derive(Debug)]
pub struct HttpEngine {
    connect_timeout: Duration,
    /// One client per upstream, so that replacing it drops only that upstream's connections.
    clients: RwLock<HashMap<Arc<str>, Client>>,
}

impl HttpEngine {
    /// Returns an engine client that waits at most `connect_timeout` for a connection to open.
    pub fn new(connect_timeout: Duration) -> HttpEngine {
        HttpEngine {
            connect_timeout,
            clients: RwLock::default(),
        }
    }

    /// Returns an HTTP client with a connection pool of its own.
    ///
    /// # Panics
    ///
    /// When the HTTP client can't be built.
    pub(crate) fn new_client(&self) -> Client {
        Client::builder()
            .connect_timeout(self.connect_timeout)
            .tcp_nodelay(true)
            .no_proxy()
            // Following a redirect here would send a call twice; the caller may follow it.
            .redirect(Policy::none())
            .build()
            .expect("an HTTP client without TLS needs no outside resource")
    }

    pub(crate) fn client(&self, url: &Arc<str>) -> Client {
        if let Some(client) = self.clients.read().expect("not poisoned").get(url) {
            return client.clone();
        }
        let mut clients = self.clients.write().expect("not poisoned");
        clients
            .entry(Arc::clone(url))
            .or_insert_with(|| self.new_client())
            .clone()
    }

    /// Replaces the client of an upstream, and with it the pooled connections, by `client`.
    pub(crate) fn replace(&self, url: &Arc<str>, client: Client) {
        self.clients
            .write()
            .expect("not poisoned")
            .insert(Arc::clone(url), client);
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        url: &Arc<str>,
        path: &str,
        body: &Q,
        deadline: Duration,
    ) -> Result<A> {
        let client = self.client(url);
        let req = client.post(format!("{url}{path}"));
        let sent = answer::send(req.timeout(deadline).json(body)).await;
        read(sent).await
    }
}

/// Reads the body of a reply, up to [`MAX_REPLY_BYTES`].
pub(crate) async fn read_bounded_body(res: Response) -> Result<Bytes> {
    let body = body::read(res, MAX_REPLY_BYTES).await;
    body.map_err(|e| match e {
        body::Error::Lost(e) => Error::from_reqwest(e),
        body::Error::TooLarge { .. } | body::Error::Malformed(_) => Error::TooLarge,
        body::Error::UnannouncedChunks => Error::Lost(e.to_string()),
    })
}

async fn read<A: DeserializeOwned>(sent: answer::Result<Response>) -> Result<A> {
    let res = sent.map_err(Error::from_send)?;
    if !res.status().is_success() {
        return Err(Error::Status(res.status()));
    }
    let body = read_bounded_body(res).await?;
    serde_json::from_slice(&body).map_err(|e| Error::Decode(e.to_string()))
}

async fn get_state(client: &Client, url: &Arc<str>, deadline: Duration) -> Result<EngineState> {
    let req = client.get(format!("{url}/v1/state"));
    read(answer::send(req.timeout(deadline)).await).await
}

impl Engine for HttpEngine {
    async fn steps(
        &self,
        url: &Arc<str>,
        batch: &StepBatch,
        deadline: Duration,
    ) -> Result<StepBatchReply> {
        self.post(url, "/v1/steps", batch, deadline).await
    }

    async fn cancel(&self, url: &Arc<str>, req: &CancelRequest, deadline: Duration) -> Result<()> {
        let client = self.client(url);
        let sent = client.post(format!("{url}/v1/cancel"));
        let sent = answer::send(sent.timeout(deadline).json(req)).await;
        let res = sent.map_err(Error::from_send)?;
        if res.status().is_success() {
            Ok(())
        } else {
            Err(Error::Status(res.status()))
        }
    }

    async fn state(&self, url: &Arc<str>, deadline: Duration) -> Result<EngineState> {
        get_state(&self.client(url), url, deadline).await
    }

    async fn order(
        &self,
        url: &Arc<str>,
        order: &EngineOrder,
        deadline: Duration,
    ) -> Result<OrderReply> {
        self.post(url, "/v1/orders", order, deadline).await
    }

    async fn probe(&self, url: &Arc<str>, deadline: Duration) -> Result<EngineState> {
        let client = self.new_client();
        let state = get_state(&client, url, deadline).await?;
        self.replace(url, client);
        Ok(state)
    }
}
