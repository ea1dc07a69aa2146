//! Status of the fleet's daemons for operators: their health and configuration generation.
//!
//! Any daemon serves it at `GET /status` of its operators' address, and reports on all daemons
//! that it knows.
//!
//! ```
//! use kelpworks::status::Status;
//!
//! let json = r#"{"daemon": "entry-1", "generation": 7, "members": [
//!     {"name": "entry-2", "generation": 6, "state": "live"}]}"#;
//! let status: Status = serde_json::from_str(json)?;
//! assert_eq!(status.lagging(7), ["entry-2"]);
//! # Ok::<(), serde_json::Error>(())
//! ```
//!
//! Limits: the state of a peer is as old as its last heartbeat.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a status could not be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// No connection, or no response within the timeout.
    #[error("no daemon answers at {address}")]
    NoAnswer {
        /// Operators' address that was queried.
        address: SocketAddr,
    },
    /// The response is not a status, or one of an incompatible release.
    #[error("what answers at {address} is not a daemon's status")]
    NotStatus {
        /// Operators' address that was queried.
        address: SocketAddr,
    },
}

/// Daemons of the fleet as one of them sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Status {
    /// Name of the responding daemon.
    pub daemon: String,
    /// Generation of its active configuration; 0 for none.
    pub generation: u64,
    /// All other daemons that it knows.
    pub members: Vec<Member>,
    /// State of the object API; `None` from a daemon of a release that does not report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object_api: Option<ObjectApiStatus>,
}

/// State of the object API as a daemon knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ObjectApiStatus {
    /// Latest era that the daemon knows, from the API or from a peer. It increases each time the
    /// API is restored from an older copy.
    pub era: u64,
    /// Version of the configuration heads that the daemon last read itself; `None` before its first
    /// read, and old on daemons that don't watch the API.
    pub read: Option<ReadVersion>,
}

/// A version of the object API's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ReadVersion {
    /// Era of the object API.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

/// A daemon other than the responding one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Name in its settings.
    pub name: String,
    /// Generation of the active configuration that it last reported; 0 when not known.
    pub generation: u64,
    /// Health, as the responding daemon sees it.
    pub state: MemberState,
}

/// Health of a daemon, as another one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Answers heartbeats.
    Live,
    /// Does not answer heartbeats; not yet confirmed by other daemons.
    Suspect,
    /// Completes its work before a planned stop.
    Leaving,
    /// Considered dead.
    Down,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberState::Live => "live",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Down => "down",
        })
    }
}

impl Status {
    /// Returns the names of the daemons that have not activated this generation yet, without those
    /// considered dead.
    pub fn lagging(&self, generation: u64) -> Vec<&str> {
        let own = (self.generation < generation).then_some(self.daemon.as_str());
        let behind = |m: &&Member| m.state != MemberState::Down && m.generation < generation;
        let others = self.members.iter().filter(behind).map(|m| m.name.as_str());
        own.into_iter().chain(others).collect()
    }
}

impl fmt::Display for Status {
    /// Writes a table with one line per daemon; the responding one comes first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.members.iter().map(|m| m.name.len());
        let width = names.chain([self.daemon.len()]).max().unwrap_or(0);
        let live = MemberState::Live;
        writeln!(
            f,
            "{:width$}  generation {}  {live}",
            self.daemon, self.generation
        )?;
        for m in &self.members {
            writeln!(
                f,
                "{:width$}  generation {}  {}",
                m.name, m.generation, m.state
            )?;
        }
        if let Some(ObjectApiStatus { era, read }) = self.object_api {
            write!(f, "object API  era {era}")?;
            if let Some(ReadVersion { era, revision }) = read {
                write!(f, "  read at era {era}, revision {revision}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Fetches the status from a daemon's operators' address, on a new connection.
///
/// # Errors
///
/// When no status is received within the timeout.
pub async fn fetch(address: SocketAddr, timeout: Duration) -> Result<Status> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(timeout)
        .build();
    let client = client.map_err(|_| Error::NoAnswer { address })?;
    let reply = client.get(format!("http://{address}/status")).send().await;
    let reply = reply.map_err(|_| Error::NoAnswer { address })?;
    reply.json().await.map_err(|_| Error::NotStatus { address })
}
