//! What a daemon tells operators of the fleet: who is there, and at which generation.
//!
//! Any daemon can be asked, at `GET /status` of its operators' address; it
//! reports what it knows of all the others.
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
//! Limits: what a daemon knows of its peers is as old as their last heartbeat.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why there is no status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// No daemon answers there.
    #[error("no daemon answers at {address}")]
    NoAnswer {
        /// The address that was asked.
        address: SocketAddr,
    },
    /// What answers is no daemon, or of another release.
    #[error("what answers at {address} is not a daemon's status")]
    NotStatus {
        /// The address that was asked.
        address: SocketAddr,
    },
}

/// The fleet of daemons as one of them sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Status {
    /// Name of the daemon that answers.
    pub daemon: String,
    /// Generation of the configuration that it has in force; 0 for none.
    pub generation: u64,
    /// The other daemons it knows.
    pub members: Vec<Member>,
    /// What it knows of the object API; none from a daemon of a release that doesn't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object_api: Option<ObjectApiStatus>,
}

/// The object API as a daemon knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ObjectApiStatus {
    /// Latest era that the daemon has heard of, from whomever; rises each time the API comes back from an
    /// older copy.
    pub era: u64,
    /// Version of the configuration heads that the daemon last read itself; none before it has read any, and
    /// old on daemons that don't watch.
    pub read: Option<ReadVersion>,
}

/// A version of the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ReadVersion {
    /// Its era.
    pub era: u64,
    /// Its revision within the era.
    pub revision: u64,
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Generation that it last said it has in force; 0 when not known.
    pub generation: u64,
    /// Whether it is alive.
    pub state: MemberState,
}

/// Whether a daemon is alive, as another sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers.
    Live,
    /// It does not answer; not confirmed by others yet.
    Suspect,
    /// It finishes its work and goes.
    Leaving,
    /// It is held for dead.
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
    /// Names of the daemons that do not have this generation yet, those held for dead left out.
    pub fn lagging(&self, generation: u64) -> Vec<&str> {
        let own = (self.generation < generation).then_some(self.daemon.as_str());
        let behind = |m: &&Member| m.state != MemberState::Down && m.generation < generation;
        let others = self.members.iter().filter(behind).map(|m| m.name.as_str());
        own.into_iter().chain(others).collect()
    }
}

impl fmt::Display for Status {
    /// A table for people, one daemon a line; the one that answers comes first.
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

/// Asks a daemon at its operators' address, on a new connection.
///
/// # Errors
///
/// When no status came within the timeout.
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
