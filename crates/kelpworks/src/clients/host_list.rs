//! Client of the platform's host list, which names the live hosts and those that are leaving.
//! The list lags behind the actual state of the hosts.
//!
//! ```no_run
//! use kelpworks::clients::host_list::HostListApi;
//! use kelpworks::clients::host_list::HttpHostList;
//!
//! # async fn f() -> kelpworks::clients::host_list::Result<()> {
//! let api = HttpHostList::new("http://10.0.1.2:8000", Default::default())?;
//! let list = api.hosts().await?;
//! println!("{} hosts as of version {}", list.hosts.len(), list.version);
//! # Ok(())
//! # }
//! ```
//!
//! Limits: each call reads the whole list; there is no watch.

use std::future::Future;
use std::time::Duration;

use reqwest::Url;
use thiserror::Error;

use super::answer;
use super::body;
use super::resettable::ResettableClient;
use super::resettable::SendStage;
use kelpworks_wire::HostList;

/// Largest list that is read, some kilobytes for each of a thousand hosts.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Result of a host list call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the host list could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[error("no connection to the host list")]
    NotSent,
    /// Connected, but no complete reply within the deadline. The connection may be dead: call
    /// [`HostListApi::reset_connections`] before the next attempt.
    #[error("the host list does not answer")]
    Silent,
    /// The reply was an error status or could not be decoded as a list.
    #[error("the host list is unavailable")]
    Unavailable,
    /// The base URL cannot be used.
    #[error("the host list's URL cannot be used")]
    Url,
}

/// The platform's host list.
pub trait HostListApi: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// When no list was received; the list read before remains the best available.
    fn hosts(&self) -> impl Future<Output = Result<HostList>> + Send;

    /// Drops the pool of connections, so that the next call opens a new one.
    fn reset_connections(&self);
}

/// Timeouts of [`HttpHostList`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// To open a connection. Default 1 s.
    pub connect: Duration,
    /// For the whole call. Default 2 s.
    pub call: Duration,
}

impl Default for Deadlines {
    fn default() -> Deadlines {
        Deadlines {
            connect: Duration::from_secs(1),
            call: Duration::from_secs(2),
        }
    }
}

/// The host list over HTTP.
#[derive(Debug)]
pub struct HttpHostList {
    url: Url,
    client: ResettableClient,
    deadlines: Deadlines,
}

impl HttpHostList {
    /// Returns a client of the host list at a base URL.
    ///
    /// # Errors
    ///
    /// [`Error::Url`] when the URL cannot be used.
    pub fn new(base: &str, deadlines: Deadlines) -> Result<HttpHostList> {
        let mut url = Url::parse(base).map_err(|_| Error::Url)?;
        url.path_segments_mut()
            .map_err(|()| Error::Url)?
            .pop_if_empty()
            .push("hosts");
        let client = ResettableClient::new(deadlines.connect).map_err(|_| Error::Url)?;
        Ok(HttpHostList {
            url,
            client,
            deadlines,
        })
    }
}

impl HostListApi for HttpHostList {
    async fn hosts(&self) -> Result<HostList> {
        let req = self.client.get().get(self.url.clone());
        let reply = answer::send(req.timeout(self.deadlines.call)).await;
        let reply = reply.map_err(|e| match e.stage() {
            SendStage::NotSent => Error::NotSent,
            SendStage::Lost => Error::Silent,
        })?;
        if !reply.status().is_success() {
            return Err(Error::Unavailable);
        }
        let list = body::read_json(reply, MAX_LIST_BYTES).await;
        list.map_err(|e| match e.is_timeout() {
            true => Error::Silent,
            false => Error::Unavailable,
        })
    }

    fn reset_connections(&self) {
        self.client.reset_connections();
    }
}
