//! Client of the model engines.
//!
//! The daemon sends steps, cancels and probes; it reads what an engine says of
//! itself. Assumed of the other side: a reply echoes what ran, and a step whose
//! positions have run already is refused instead of run again.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::redirect::Policy;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::verdict::Verdict;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::EngineState;
use kelpworks_wire::OrderReply;
use kelpworks_wire::StepBatch;
use kelpworks_wire::StepBatchReply;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest reply of an upstream that is read, in bytes; one beyond it is given up in the middle, so
/// that an upstream gone wrong can't take the daemon's memory. A batch of rows for the longest
/// prompt, the largest reply of use of an engine, stays far below.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Why a call of an engine gave no usable reply.
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
    /// A reply that could not be read as its type.
    #[error("reply: {0}")]
    Decode(String),
    /// A reply larger than 16 MiB.
    #[error("reply too large")]
    TooLarge,
}

impl Error {
    /// Whether the call may have been executed.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Connect(_) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Leaves the URL out: the text may reach a caller, who learns no address of an upstream.
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

/// What the daemon asks of an engine. `url` is the engine's base URL.
pub trait Engine: Send + Sync + 'static {
    /// Runs steps.
    fn steps(
        &self,
        url: &Arc<str>,
        batch: &StepBatch,
        deadline: Duration,
    ) -> impl Future<Output = Result<StepBatchReply>> + Send;

    /// Ends a session and frees its memory.
    fn cancel(
        &self,
        url: &Arc<str>,
        req: &CancelRequest,
        deadline: Duration,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Reads what the engine says of itself.
    fn state(
        &self,
        url: &Arc<str>,
        deadline: Duration,
    ) -> impl Future<Output = Result<EngineState>> + Send;

    /// Gives an order.
    fn order(
        &self,
        url: &Arc<str>,
        order: &EngineOrder,
        deadline: Duration,
    ) -> impl Future<Output = Result<OrderReply>> + Send;

    /// Reads the engine's state over a connection opened just for this; on success the kept
    /// connections to it are dropped, as they may have gone silent.
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
    /// One client an upstream, so that dropping it drops that upstream's connections only.
    clients: RwLock<HashMap<Arc<str>, Client>>,
}

impl HttpEngine {
    /// A client whose connections are opened within `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> HttpEngine {
        HttpEngine {
            connect_timeout,
            clients: RwLock::default(),
        }
    }

    /// A client with connections of its own.
    ///
    /// # Panics
    ///
    /// When the HTTP library can't be set up at all.
    pub(crate) fn new_client(&self) -> Client {
        Client::builder()
            .connect_timeout(self.connect_timeout)
            .tcp_nodelay(true)
            .no_proxy()
            // An upstream's redirect is the caller's to follow: here it would send a call twice.
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

    /// Leaves the connections to an upstream behind for those of `client`.
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
        let sent = client
            .post(format!("{url}{path}"))
            .timeout(deadline)
            .json(body)
            .send()
            .await;
        read(sent).await
    }
}

/// The body of a reply, as long as it is within bounds.
pub(crate) async fn read_bounded_body(mut res: Response) -> Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(piece) = res.chunk().await.map_err(Error::from_reqwest)? {
        if body.len() + piece.len() > MAX_REPLY_BYTES {
            return Err(Error::TooLarge);
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

async fn read<A: DeserializeOwned>(sent: reqwest::Result<Response>) -> Result<A> {
    let res = sent.map_err(Error::from_reqwest)?;
    if !res.status().is_success() {
        return Err(Error::Status(res.status()));
    }
    let body = read_bounded_body(res).await?;
    serde_json::from_slice(&body).map_err(|e| Error::Decode(e.to_string()))
}

async fn get_state(client: &Client, url: &Arc<str>, deadline: Duration) -> Result<EngineState> {
    read(
        client
            .get(format!("{url}/v1/state"))
            .timeout(deadline)
            .send()
            .await,
    )
    .await
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
        let sent = client
            .post(format!("{url}/v1/cancel"))
            .timeout(deadline)
            .json(req)
            .send()
            .await;
        let res = sent.map_err(Error::from_reqwest)?;
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
