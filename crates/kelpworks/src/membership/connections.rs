//! Pool of persistent connections to peers.
//!
//! A connection may stop delivering messages while new ones work, so a call without an answer is
//! retried once on a new connection before the peer counts as unresponsive.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use serde::Serialize;
use thiserror::Error;
use tokio::time::error::Elapsed;

use super::traffic::Traffic;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// A connection to a peer; clones share it.
pub type Client = Arc<WsClient>;

/// Maximum message size in bytes; the largest message carries the text of a register.
pub(super) const MAX_MESSAGE: u32 = 4 << 20;
/// Maximum number of outstanding requests on one connection.
const MAX_CONCURRENT: usize = 64;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// No answer within the deadline, on a new connection too.
    #[error("no answer from {0}")]
    NoAnswer(String),
    /// The peer answered with an error.
    #[error("{address} refused: {reason}")]
    Refused {
        /// Address of the peer.
        address: String,
        /// Error message of the peer.
        reason: String,
    },
}

/// A connection in the pool.
#[derive(Clone, Debug)]
struct PooledConnection {
    /// Increases with each connection to any peer; distinguishes this connection from a newer one
    /// to the same address.
    serial: u64,
    client: Client,
}

#[derive(Debug, Default)]
struct Pool {
    by_address: HashMap<String, PooledConnection>,
    serial: u64,
}

/// Pool with one connection per address, opened on first use.
#[derive(Debug, Default)]
pub struct Connections {
    pool: Mutex<Pool>,
    pub(super) traffic: Traffic,
}

impl Connections {
    /// Calls a peer, first on the pooled connection; when that gets no answer, once on a new one.
    /// Each of the two attempts may take `deadline`, including the time to open a connection.
    ///
    /// # Errors
    ///
    /// When both attempts get no answer, or the peer answers with an error.
    pub async fn call<R, T, F>(
        &self,
        address: &str,
        deadline: Duration,
        req: &R,
        call: impl Fn(Client, R) -> F,
    ) -> Result<T>
    where
        R: Clone + Serialize,
        T: Serialize,
        F: Future<Output = std::result::Result<T, ClientError>>,
    {
        if let Some(pooled) = self.pooled(address) {
            let client = Arc::clone(&pooled.client);
            match self.attempt(deadline, req, call(client, req.clone())).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(ClientError::Call(e))) => return Err(refused(address, &e.to_string())),
                _ => self.discard(address, pooled.serial),
            }
        }
        let on_new_connection = async {
            let client = self.open(address, deadline).await?;
            call(client, req.clone()).await
        };
        match self.attempt(deadline, req, on_new_connection).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(ClientError::Call(e))) => Err(refused(address, &e.to_string())),
            _ => Err(Error::NoAnswer(address.to_owned())),
        }
    }

    async fn attempt<R, T, F>(
        &self,
        deadline: Duration,
        req: &R,
        call: F,
    ) -> std::result::Result<F::Output, Elapsed>
    where
        R: Serialize,
        T: Serialize,
        F: Future<Output = std::result::Result<T, ClientError>>,
    {
        self.traffic.count_call(req);
        let reply = tokio::time::timeout(deadline, call).await;
        if let Ok(Ok(reply)) = &reply {
            self.traffic.count_answer(reply);
        }
        reply
    }

    /// Closes the connections to all addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().by_address.retain(|address, _| keep(address));
    }

    async fn open(
        &self,
        address: &str,
        deadline: Duration,
    ) -> std::result::Result<Client, ClientError> {
        let client = WsClientBuilder::default()
            .connection_timeout(deadline)
            .request_timeout(deadline * 2)
            .max_concurrent_requests(MAX_CONCURRENT)
            .max_response_size(MAX_MESSAGE)
            .build(format!("ws://{address}"))
            .await?;
        self.traffic.count_connection();
        let client = Arc::new(client);
        let mut pool = self.lock();
        pool.serial += 1;
        let serial = pool.serial;
        let pooled = PooledConnection {
            serial,
            client: Arc::clone(&client),
        };
        pool.by_address.insert(address.to_owned(), pooled);
        Ok(client)
    }

    fn pooled(&self, address: &str) -> Option<PooledConnection> {
        self.lock().by_address.get(address).cloned()
    }

    /// Removes a connection unless a newer one has replaced it.
    fn discard(&self, address: &str, serial: u64) {
        let mut pool = self.lock();
        if pool
            .by_address
            .get(address)
            .is_some_and(|c| c.serial == serial)
        {
            pool.by_address.remove(address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        // The pool is consistent after each call, also when a holder of the lock panicked.
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refused(address: &str, reason: &str) -> Error {
    Error::Refused {
        address: address.to_owned(),
        reason: reason.to_owned(),
    }
}
