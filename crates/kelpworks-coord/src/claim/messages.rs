//! What a claim takes, says and records.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::Nonce;
use crate::id::Version;
use crate::time::Instant;
use crate::time::Span;

/// Bounds of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Largest outcome body that is recorded, in bytes. Default 256 KiB; the object API holds 1 MB.
    pub max_outcome_bytes: usize,
    /// Pause before a read or write is tried again. Default 100 ms.
    pub retry_interval: Span,
    /// Longest time to find out whether the claim was created. Default 1 s.
    pub create_timeout: Span,
    /// Longest time that an answer waits for its recording. Default 500 ms. A longer one makes it
    /// likelier that a repeat gets the same answer though the holder dies at once; every caller
    /// pays it while the object API is down.
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

/// One submission of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Hash of the request's body; a key may not be used for another body.
    pub digest: u64,
    /// This daemon.
    pub holder: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Drawn for this submission.
    pub nonce: Nonce,
    /// Not dispatched from then on.
    pub deadline: Instant,
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Body; the driver encodes what is not text.
    pub body: String,
}

/// How far a claim has come, as recorded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Dispatched, or about to be.
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
    /// [`Request::nonce`]; tells the writer its own object.
    pub nonce: Nonce,
    /// How far it has come.
    pub phase: Phase,
}

/// An object as the API shows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored {
    /// Its version.
    pub version: Version,
    /// Its body.
    pub record: Record,
}

/// Answer of the object API to the last read, write or removal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ApiReply {
    /// Written, under this version.
    Stored(Version),
    /// Removed.
    Removed,
    /// Read: there is none.
    Absent,
    /// Read.
    Found(Stored),
    /// Not written or removed: the object stands so, or does not exist.
    Conflict(Option<Stored>),
    /// Turned away before any effect.
    Refused,
    /// No answer; it may have taken effect, or take effect later.
    Lost,
}

/// What a claim's holder says of it to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerStatus {
    /// Being created or running.
    InProgress,
    /// Given up before dispatch; the holder will never dispatch it.
    NeverDispatched,
    /// Ran, with this outcome.
    Done(Outcome),
    /// Dispatched, and no answer came; or not known to this incarnation.
    MayHaveRun,
}

/// How a dispatched request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunResult {
    /// With an answer.
    Completed(Outcome),
    /// No byte of it reached execution.
    NotRun,
    /// Without an answer.
    MayHaveRun,
}

/// An input.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Begin.
    Start,
    /// The object API answered.
    Api(ApiReply),
    /// The holder of the claim answered; `None` when it did not, or runs under another
    /// incarnation.
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
    /// Write it.
    Write {
        /// Condition.
        if_version: Version,
        /// New body.
        record: Record,
    },
    /// Remove it.
    Remove {
        /// Condition.
        if_version: Version,
    },
    /// Ask the daemon that holds the claim.
    QueryHolder {
        /// The daemon.
        holder: NodeId,
        /// Only this run of it knows.
        incarnation: Incarnation,
        /// The claim.
        nonce: Nonce,
    },
    /// Send the request to an upstream, once.
    Dispatch,
    /// Answer the caller.
    Answer(Answer),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The object API did not confirm the claim.
    Unavailable,
    /// The deadline passed before dispatch.
    Deadline,
    /// No upstream took it.
    Upstream,
    /// The key was used for another body.
    KeyReused,
}

/// Answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The outcome; of this submission or of an earlier one.
    Completed(Outcome),
    /// An earlier submission is running; come back. Its verdict is `may-have-run`.
    InProgress,
    /// It, or an earlier submission, may have run.
    MayHaveRun,
    /// This submission did not run and never will.
    NotRun(NotRunReason),
}
