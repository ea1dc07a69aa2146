//! Kept connections to peers.
//!
//! A connection may go silent for good while new ones work, so a call that gets no answer is made
//! once more on a new connection before the peer counts as silent.

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

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// A connection to a peer.
pub type Client = Arc<WsClient>;

/// Largest answer; a register's text is the largest part of one.
pub(super) const MAX_MESSAGE: u32 = 4 << 20;
/// Requests that wait on one connection, at most.
const MAX_CONCURRENT: usize = 64;

/// Why a peer gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// Nothing came within the deadline, on a new connection too.
    #[error("no answer from {0}")]
    NoAnswer(String),
    /// It answered with an error.
    #[error("{address} refused: {reason}")]
    Refused {
        /// Address of the peer.
        address: String,
        /// What it said.
        reason: String,
    },
}

/// A kept connection.
#[derive(Clone, Debug)]
struct PooledConnection {
    /// Rises with each connection to any peer, so that a newer one is not taken for this one.
    serial: u64,
    client: Client,
}

#[derive(Debug, Default)]
struct Pool {
    by_address: HashMap<String, PooledConnection>,
    serial: u64,
}

/// One connection an address, opened when it is first needed.
#[derive(Debug, Default)]
pub struct Connections {
    pool: Mutex<Pool>,
    pub(super) traffic: Traffic,
}

impl Connections {
    /// Calls a peer: on the kept connection first, then, after silence, once on a new one. Each
    /// of the two tries may take `deadline`, opening a connection included.
    ///
    /// # Errors
    ///
    /// When the peer stays silent on both, or refuses.
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

    /// Drops the connections to all addresses but these.
    pub(super) fn retain(&self, keep: impl Fn(&str) -> bool) {
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

    fn discard(&self, address: &str, serial: u64) {
        let mut pool = self.lock();
        if pool
            .by_address
            .get(address)
            .is_some_and(|k| k.serial == serial)
        {
            pool.by_address.remove(address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        // The table is consistent after each call, also when a holder of the lock panicked.
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refused(address: &str, reason: &str) -> Error {
    Error::Refused {
        address: address.to_owned(),
        reason: reason.to_owned(),
    }
}
