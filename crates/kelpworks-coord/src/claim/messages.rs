//! Configuration, events, actions and records of a claim.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::Nonce;
use crate::id::Version;
use crate::time::Instant;
use crate::time::Span;

/// Limits and timeouts of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Largest outcome body that is recorded, in bytes. Default 256 KiB; objects of the API are
    /// limited to 1 MB.
    pub max_outcome_bytes: usize,
    /// Pause before a read or write is retried. Default 100 ms.
    pub retry_interval: Span,
    /// Timeout for creating the claim, including finding out whether a write with a lost reply took
    /// effect. Default 1 s.
    pub create_timeout: Span,
    /// Longest time that an answer waits for the write of its outcome. Default 500 ms. A longer
    /// time makes it more likely that a retry gets the same answer although the holder dies right
    /// after answering; while the object API is down it delays every answer.
    pub record_timeout: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_outcome_bytes: 256 * 1024,
            retry_interval: Span::from_millis(100),
            create_timeout: Span::from_secs(1),
            record_timeout: Span::from_millis(500),
        }
    }
}

/// One submission of a keyed request: a caller's request as one daemon received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Hash of the request's body; reuse of a key with another body is refused.
    pub digest: u64,
    /// Daemon that received the submission.
    pub holder: NodeId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Random number, drawn for this submission.
    pub nonce: Nonce,
    /// Time from which the request is no longer dispatched.
    pub deadline: Instant,
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Response body; the driver encodes bodies that are not text.
    pub body: String,
}

/// Recorded progress of a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Dispatched, about to be dispatched, or abandoned before dispatch.
    Claimed,
    /// Ran, with this outcome.
    Done(Outcome),
    /// Ran, with an outcome too large to record.
    DoneUnrecorded,
    /// Dispatched, and no answer came.
    MayHaveRun,
}

/// Body of a claim object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// [`Request::digest`].
    pub digest: u64,
    /// [`Request::holder`].
    pub holder: NodeId,
    /// [`Request::incarnation`].
    pub incarnation: Incarnation,
    /// [`Request::nonce`]; lets the writer recognize its own object.
    pub nonce: Nonce,
    /// Progress of the claim.
    pub phase: Phase,
}

/// A claim object as read from the object API.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored {
    /// Version for conditional updates.
    pub version: Version,
    /// Body of the object.
    pub record: Record,
}

/// Answer of the object API to the last read, write or removal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApiReply {
    /// Written; the object has this version now.
    Stored(Version),
    /// Removed.
    Removed,
    /// Read; the object does not exist.
    Absent,
    /// Read; the object exists.
    Found(Stored),
    /// Not written or removed, because the version differs: the object as it is, or `None` when it
    /// does not exist.
    Conflict(Option<Stored>),
    /// Refused before any effect.
    Refused,
    /// No reply; the call may have taken effect, or take effect later.
    Lost,
}

/// Status of a claim, as its holder reports it to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerStatus {
    /// Being created or running.
    InProgress,
    /// Abandoned before dispatch; the holder will never dispatch it.
    NeverDispatched,
    /// Ran, with this outcome.
    Done(Outcome),
    /// Dispatched without an answer, or unknown to the holder's present incarnation.
    MayHaveRun,
}

/// How a dispatched request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunResult {
    /// With an answer.
    Completed(Outcome),
    /// The upstream did not execute any of it.
    NotRun,
    /// Without an answer; it may have been executed.
    MayHaveRun,
}

/// An input of [`Claim`](super::Claim).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Start creating the claim.
    Start,
    /// The object API answered.
    Api(ApiReply),
    /// The holder of the claim reported its status; `None` when it did not answer, or runs in
    /// another incarnation.
    Peer(Option<PeerStatus>),
    /// The dispatched request ended.
    Finished(RunResult),
    /// Time passed.
    Tick,
}

/// Something for the driver to do. At most one read, write or removal is outstanding at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the claim object.
    Read,
    /// Write the claim object.
    Write {
        /// Version that the object must have.
        if_version: Version,
        /// New body.
        record: Record,
    },
    /// Remove the claim object.
    Remove {
        /// Version that the object must have.
        if_version: Version,
    },
    /// Query the status of the claim from the daemon that holds it.
    QueryHolder {
        /// Daemon that holds the claim.
        holder: NodeId,
        /// Incarnation that created the claim; a later one does not know its status.
        incarnation: Incarnation,
        /// Identifies the claim at its holder.
        nonce: Nonce,
    },
    /// Send the request to an upstream, once.
    Dispatch,
    /// Answer the caller.
    Answer(Answer),
}

/// Reason for which a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The object API did not confirm that the claim was created.
    Unavailable,
    /// The deadline passed before dispatch.
    Deadline,
    /// No upstream accepted the request.
    Upstream,
    /// The key was used before with another body.
    KeyReused,
}

/// Answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The outcome of this submission or of an earlier one.
    Completed(Outcome),
    /// An earlier submission is in progress; the caller should retry later. The verdict is
    /// `may-have-run`.
    InProgress,
    /// This submission or an earlier one may have run.
    MayHaveRun,
    /// This submission did not run and never will.
    NotRun(NotRunReason),
}
