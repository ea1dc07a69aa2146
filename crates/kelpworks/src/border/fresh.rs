//! An HTTP client whose connections can be given up all at once.
//!
//! A connection may go silent for good while new ones work. A caller that
//! suspects this calls [`FreshClient::fresh`] and asks again: the next request
//! opens a new connection, since the pool of the old client is left behind.

use std::time::Duration;

use arc_swap::ArcSwap;
use reqwest::Client;

/// Longest idle time of a pooled connection, well under what middleboxes forget.
const POOL_IDLE: Duration = Duration::from_secs(20);

/// A client with a replaceable pool of connections.
#[derive(Debug)]
pub(crate) struct FreshClient {
    client: ArcSwap<Client>,
    connect_timeout: Duration,
}

/// Where a request got to before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It could not be built or no connection could be opened: nothing was sent.
    NotSent,
    /// It was sent, in part or whole, and no whole reply came.
    Lost,
}

impl FreshClient {
    /// A client that waits at most `connect_timeout` for a connection.
    pub(crate) fn new(connect_timeout: Duration) -> reqwest::Result<FreshClient> {
        let client = build(connect_timeout)?;
        Ok(FreshClient {
            client: ArcSwap::from_pointee(client),
            connect_timeout,
        })
    }

    /// The client to use for the next request.
    pub(crate) fn get(&self) -> Client {
        Client::clone(&self.client.load())
    }

    /// Leaves all present connections behind; requests under way keep theirs.
    pub(crate) fn fresh(&self) {
        match build(self.connect_timeout) {
            Ok(client) => self.client.store(client.into()),
            Err(e) => log::warn!("connections kept: no new client: {e}"),
        }
    }
}

/// The stage at which an error of the client struck.
pub(crate) fn stage_of(error: &reqwest::Error) -> Stage {
    match error.is_connect() || error.is_builder() {
        true => Stage::NotSent,
        false => Stage::Lost,
    }
}

/// The platform is reached directly by address, so no proxy of the environment applies.
fn build(connect_timeout: Duration) -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(connect_timeout)
        .pool_idle_timeout(POOL_IDLE)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
}
