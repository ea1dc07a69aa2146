//! An HTTP client whose connection pool can be dropped.
//!
//! A connection may stall permanently while new ones work. A caller that suspects this calls
//! [`ResettableClient::reset_connections`] and retries: the next request opens a new connection,
//! since it uses a new pool.

use std::time::Duration;

use arc_swap::ArcSwap;
use reqwest::Client;

/// Kept well under the time after which middleboxes drop the state of an idle connection.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle time before the first TCP keepalive probe of a connection, and between further probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Unanswered keepalive probes after which the kernel closes a connection. With
/// [`KEEPALIVE_INTERVAL`], a long watch ends about three seconds after its connection stalls.
const KEEPALIVE_RETRIES: u32 = 2;

/// An HTTP client with a replaceable connection pool.
#[derive(Debug)]
pub struct ResettableClient {
    client: ArcSwap<Client>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

/// How far a request got before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStage {
    /// The request could not be built or no connection could be opened: nothing was sent.
    NotSent,
    /// The request was sent, in part or whole, and no complete reply was received.
    Lost,
}

impl ResettableClient {
    /// Returns a client that waits at most `connect_timeout` for a connection to open.
    ///
    /// # Errors
    ///
    /// When the system's TLS or resolver can't be set up.
    pub fn new(connect_timeout: Duration) -> reqwest::Result<ResettableClient> {
        ResettableClient::with_idle_timeout(connect_timeout, POOL_IDLE_TIMEOUT)
    }

    /// Returns a client that closes a connection that was idle for `idle_timeout`.
    ///
    /// # Errors
    ///
    /// When the system's TLS or resolver can't be set up.
    pub fn with_idle_timeout(
        connect_timeout: Duration,
        idle_timeout: Duration,
    ) -> reqwest::Result<ResettableClient> {
        let client = build(connect_timeout, idle_timeout)?;
        Ok(ResettableClient {
            client: ArcSwap::from_pointee(client),
            connect_timeout,
            idle_timeout,
        })
    }

    /// Returns the client to use for the next request; not to be kept across a reset.
    pub fn get(&self) -> Client {
        Client::clone(&self.client.load())
    }

    /// Drops the pool of connections; requests in flight keep theirs.
    pub fn reset_connections(&self) {
        match build(self.connect_timeout, self.idle_timeout) {
            Ok(client) => self.client.store(client.into()),
            Err(e) => log::warn!("connections not reset, HTTP client can't be built: {e}"),
        }
    }
}

/// Returns the stage at which a request failed.
pub fn send_stage(error: &reqwest::Error) -> SendStage {
    match error.is_connect() || error.is_builder() {
        true => SendStage::NotSent,
        false => SendStage::Lost,
    }
}

/// Builds a client. Proxies set in the environment are ignored, as the platform is reached directly
/// by address.
fn build(connect_timeout: Duration, idle_timeout: Duration) -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(connect_timeout)
        .pool_idle_timeout(idle_timeout)
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_keepalive_retries(KEEPALIVE_RETRIES)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
}
