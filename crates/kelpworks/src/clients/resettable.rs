//! An HTTP client whose connections can be given up all at once.
//!
//! A connection may go silent for good while new ones work. A caller that
//! suspects this calls [`ResettableClient::reset_connections`] and asks again: the next request
//! opens a new connection, since the pool of the old client is left behind.

use std::time::Duration;

use arc_swap::ArcSwap;
use reqwest::Client;

/// Longest idle time of a pooled connection, well under what middleboxes forget.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle time after which the system probes a connection, and the time between its probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Probes without an answer after which the system gives a connection up: a long wait for a change
/// then ends about three seconds after its connection went silent.
const KEEPALIVE_RETRIES: u32 = 2;

/// A client with a replaceable pool of connections.
#[derive(Debug)]
pub struct ResettableClient {
    client: ArcSwap<Client>,
    connect_timeout: Duration,
}

/// Where a request got to before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStage {
    /// It could not be built or no connection could be opened: nothing was sent.
    NotSent,
    /// It was sent, in part or whole, and no whole reply came.
    Lost,
}

impl ResettableClient {
    /// A client that waits at most `connect_timeout` for a connection.
    ///
    /// # Errors
    ///
    /// When the system's TLS or resolver can't be set up.
    pub fn new(connect_timeout: Duration) -> reqwest::Result<ResettableClient> {
        let client = build(connect_timeout)?;
        Ok(ResettableClient {
            client: ArcSwap::from_pointee(client),
            connect_timeout,
        })
    }

    /// The client to use for the next request.
    pub fn get(&self) -> Client {
        Client::clone(&self.client.load())
    }

    /// Leaves all present connections behind; requests under way keep theirs.
    pub fn reset_connections(&self) {
        match build(self.connect_timeout) {
            Ok(client) => self.client.store(client.into()),
            Err(e) => log::warn!("connections kept: no new client: {e}"),
        }
    }
}

/// The stage at which an error of the client struck.
pub fn send_stage(error: &reqwest::Error) -> SendStage {
    match error.is_connect() || error.is_builder() {
        true => SendStage::NotSent,
        false => SendStage::Lost,
    }
}

/// The platform is reached directly by address, so no proxy of the environment applies.
fn build(connect_timeout: Duration) -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(connect_timeout)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_keepalive_retries(KEEPALIVE_RETRIES)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
}
