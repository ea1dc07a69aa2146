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
    Silent(String),
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
struct Kept {
    /// Rises with each connection to any peer, so that a newer one is not taken for this one.
    serial: u64,
    client: Client,
}

#[derive(Debug, Default)]
struct Table {
    kept: HashMap<String, Kept>,
    serial: u64,
}

/// One connection an address, opened when it is first needed.
#[derive(Debug, Default)]
pub struct Links {
    table: Mutex<Table>,
    pub(super) traffic: Traffic,
}

impl Links {
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
        if let Some(kept) = self.kept(address) {
            let client = Arc::clone(&kept.client);
            match self.attempt(deadline, req, call(client, req.clone())).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(ClientError::Call(e))) => return Err(refused(address, &e.to_string())),
                _ => self.drop_link(address, kept.serial),
            }
        }
        let fresh = async {
            let client = self.open(address, deadline).await?;
            call(client, req.clone()).await
        };
        match self.attempt(deadline, req, fresh).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(ClientError::Call(e))) => Err(refused(address, &e.to_string())),
            _ => Err(Error::Silent(address.to_owned())),
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
        self.traffic.called(req);
        let reply = tokio::time::timeout(deadline, call).await;
        if let Ok(Ok(reply)) = &reply {
            self.traffic.answered(reply);
        }
        reply
    }

    /// Drops the connections to all addresses but these.
    pub(super) fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().kept.retain(|address, _| keep(address));
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
        self.traffic.opened();
        let client = Arc::new(client);
        let mut table = self.lock();
        table.serial += 1;
        let serial = table.serial;
        let kept = Kept {
            serial,
            client: Arc::clone(&client),
        };
        table.kept.insert(address.to_owned(), kept);
        Ok(client)
    }

    fn kept(&self, address: &str) -> Option<Kept> {
        self.lock().kept.get(address).cloned()
    }

    fn drop_link(&self, address: &str, serial: u64) {
        let mut table = self.lock();
        if table.kept.get(address).is_some_and(|k| k.serial == serial) {
            table.kept.remove(address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        // The table is consistent after each call, also when a holder of the lock panicked.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refused(address: &str, reason: &str) -> Error {
    Error::Refused {
        address: address.to_owned(),
        reason: reason.to_owned(),
    }
}
