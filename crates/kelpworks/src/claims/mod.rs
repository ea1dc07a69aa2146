//! At-most-once execution of keyed calls that are not idempotent, by claim objects.
//!
//! [`Claims::run_once`] creates the claim of a call on the object API, on condition that it does
//! not exist, runs the call, and records its outcome. A retry of the call, on any daemon, finds the
//! claim and gets the recorded outcome, or learns that the call may have run. The state machine is
//! [`kelpworks_coord::claim`]; this module drives it.
//!
//! ```no_run
//! use std::sync::Arc;
//!
//! use kelpworks::clients::object_api::Deadlines;
//! use kelpworks::clients::object_api::HttpObjectApi;
//! use kelpworks::claims::ClaimKey;
//! use kelpworks::claims::Claims;
//! use kelpworks::claims::Config;
//! use kelpworks::claims::NoPeers;
//! use kelpworks::claims::Reply;
//! use kelpworks::claims::RunError;
//! use tokio::time::Instant;
//! use tokio_util::task::TaskTracker;
//!
//! # async fn f() -> Result<(), Box<dyn std::error::Error>> {
//! let api = HttpObjectApi::new("http://10.0.1.1:8000", Deadlines::default())?;
//! let claims = Arc::new(Claims::new(Config::new("cai-entry-1"), api, NoPeers, TaskTracker::new()));
//! let key = ClaimKey::new("inspectors", "jobs POST /certificates", "visit-17", b"{}");
//! let deadline = Instant::now() + std::time::Duration::from_secs(5);
//! let run = async || Ok::<_, RunError<()>>(Reply::default());
//! let kept = claims.run_once(key, deadline, run).await;
//! assert!(kept.is_ok_and(|k| !k.replayed));
//! # Ok(())
//! # }
//! ```
//!
//! Limits: recorded claims are not removed after a retention time, see `docs/design/claims.md`.

mod key;
mod record;
mod submission;

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::claims::submission::Submission;
use crate::clients::object_api::ObjectApi;
use crate::verdict::Verdict;
use kelpworks_coord::budget;
use kelpworks_coord::budget::Purpose;
use kelpworks_coord::budget::WriteBudget;
use kelpworks_coord::claim;
use kelpworks_coord::claim::Claim;
use kelpworks_coord::claim::PeerStatus;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Nonce;
use kelpworks_coord::time;
use kelpworks_coord::time::Span;

pub use crate::claims::key::ClaimKey;
pub use crate::claims::key::Error as KeyError;
pub use crate::claims::key::HEADER;
pub use crate::claims::key::MAX_KEY_BYTES;
pub(crate) use crate::claims::key::from_headers as key_of;
pub use crate::claims::record::Header;
pub use crate::claims::record::Reply;

/// Result of a call that runs at most once.
pub type Result<T, E> = std::result::Result<T, Error<E>>;

/// Object kind of claims in the object API.
pub const CLAIM_KIND: &str = "kelpworks.claim";

/// Writes charged to the budget at the start of each claim: its creation and its outcome.
const WRITES_PER_CLAIM: u64 = 2;
/// Number of daemons assumed to share the write rate until their number is known. It exceeds the 7
/// daemons of the present deployments, so that a daemon without peers can't take more than its
/// share.
const ASSUMED_MEMBERS: usize = 8;
/// Retry delay suggested to callers while another submission of the key is in progress, and in
/// other responses without an outcome.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long keyed calls are refused after a daemon has entered a later era of the object API. The
/// API may have lost claims of calls that ran, and callers retry such calls within this time.
const NEW_ERA_REFUSAL_TIME: Duration = Duration::from_secs(30);

/// Limits of claims.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of this daemon; claims identify their holder by it.
    pub name: String,
    /// Writes a second that all daemons may spend on claims. Default 200.
    pub writes_per_second: u64,
    /// Claim writes that this daemon may make in one burst, at least 2. Default 16.
    pub burst: u64,
    /// Timeout of one call of the object API, after which its reply counts as lost. Default 500 ms.
    pub api_timeout: Duration,
    /// Maximum number of unfinished claims: calls that run, and claims still to be recorded or
    /// removed. Default 4096.
    pub pending: usize,
    /// Maximum encoded size of a recorded outcome, in bytes. Default 64 KiB.
    pub max_outcome_bytes: usize,
}

impl Config {
    /// Returns the defaults for the daemon with this name.
    pub fn new(name: &str) -> Config {
        Config {
            name: name.to_owned(),
            writes_per_second: 200,
            burst: 16,
            api_timeout: Duration::from_millis(500),
            pending: 4096,
            max_outcome_bytes: 64 * 1024,
        }
    }
}

/// A response to a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedReply {
    /// The response of the call.
    pub reply: Reply,
    /// Whether it was recorded by an earlier submission, rather than produced by this one.
    pub replayed: bool,
}

/// Failure of a call that was dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunError<E> {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// Error of the call.
    pub cause: E,
}

/// Why a keyed call has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error<E> {
    /// The write budget is exhausted, or too many claims are unfinished. Not run.
    #[error("too many keyed calls")]
    Busy {
        /// Suggested retry delay.
        retry_after: Duration,
    },
    /// The object API did not confirm the claim. Not run.
    #[error("the claim of the key could not be recorded")]
    Unavailable {
        /// Suggested retry delay.
        retry_after: Duration,
    },
    /// The caller's deadline passed before the call was sent. Not run.
    #[error("deadline exceeded before the call was sent")]
    Deadline,
    /// The key was used for another request. Not run.
    #[error("the key was used for another request")]
    KeyReused,
    /// An earlier submission is running; a retry will get its response.
    #[error("an earlier submission of the key is running")]
    InProgress {
        /// Suggested retry delay.
        retry_after: Duration,
    },
    /// This submission or an earlier one may have run, and its response is not known to this
    /// daemon.
    #[error("the call may have run; its answer is not known")]
    MayHaveRun {
        /// Suggested retry delay; the daemon of that submission may still record the response.
        retry_after: Duration,
    },
    /// This submission was dispatched and failed.
    #[error("the call failed")]
    Failed(RunError<E>),
}

impl<E> Error<E> {
    /// Returns whether the call may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Busy { .. } | Error::Unavailable { .. } => Verdict::NotRun,
            Error::Deadline | Error::KeyReused => Verdict::NotRun,
            Error::InProgress { .. } | Error::MayHaveRun { .. } => Verdict::MayHaveRun,
            Error::Failed(e) => e.verdict,
        }
    }
}

/// Queries to other daemons about the claims that they hold.
pub trait Peers: Send + Sync + 'static {
    /// Returns the holder's status of its claim; `None` when it did not answer, or runs under
    /// another incarnation.
    fn claim_status(
        &self,
        holder: NodeId,
        incarnation: Incarnation,
        nonce: Nonce,
    ) -> impl Future<Output = Option<PeerStatus>> + Send;
}

/// A [`Peers`] that reaches no daemon: every claim of another daemon counts as one that may have
/// run.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    async fn claim_status(
        &self,
        _holder: NodeId,
        _incarnation: Incarnation,
        _nonce: Nonce,
    ) -> Option<PeerStatus> {
        None
    }
}

/// Claims held by one daemon.
#[derive(Debug)]
pub struct Claims<A, P = NoPeers> {
    cfg: Config,
    api: A,
    peers: P,
    /// Tracks running calls, so that they outlive their callers and a planned stop waits for them.
    tasks: TaskTracker,
    node: NodeId,
    incarnation: Incarnation,
    /// Origin of the times passed to the budget and to claims.
    start: Instant,
    budget: Mutex<WriteBudget>,
    /// Unfinished claims; at most [`Config::pending`].
    pending: Mutex<HashMap<Nonce, Arc<Mutex<Claim>>>>,
    /// Latest era of the object API that a call on this daemon has observed, and since when.
    era_entered: Mutex<Option<(Era, Instant)>>,
}

impl<A: ObjectApi + 'static, P: Peers> Claims<A, P> {
    /// Creates an empty set of claims. Calls run in `tasks`.
    pub fn new(cfg: Config, api: A, peers: P, tasks: TaskTracker) -> Claims<A, P> {
        let defaults = budget::Config::default();
        let rates = budget::Config {
            fleet_per_second: cfg.writes_per_second + defaults.reserved_per_second,
            burst: cfg.burst.max(WRITES_PER_CLAIM),
            ..defaults
        };
        let mut budget = WriteBudget::new(rates, time::Instant::ZERO);
        budget.set_members(time::Instant::ZERO, ASSUMED_MEMBERS);
        Claims {
            node: NodeId::of(&cfg.name),
            incarnation: Incarnation(unix_millis()),
            start: Instant::now(),
            budget: Mutex::new(budget),
            pending: Mutex::default(),
            era_entered: Mutex::default(),
            cfg,
            api,
            peers,
            tasks,
        }
    }

    /// Returns the incarnation of this daemon that its claims carry: its start time in milliseconds
    /// since the Unix epoch.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets the number of daemons that share the write rate.
    pub fn set_members(&self, members: usize) {
        let now = self.now();
        lock(&self.budget).set_members(now, members);
    }

    /// Returns the status for a peer that queries a claim of this daemon; `None` for another
    /// incarnation.
    pub fn status(&self, incarnation: Incarnation, nonce: Nonce) -> Option<PeerStatus> {
        if incarnation != self.incarnation {
            return None;
        }
        let claim = lock(&self.pending).get(&nonce).cloned();
        Some(claim.map_or(PeerStatus::MayHaveRun, |c| lock(&c).status()))
    }

    /// Runs a call at most once over all submissions of its key, or returns what is known of an
    /// earlier submission. `run` is called at most once, and continues when the caller drops the
    /// returned future.
    ///
    /// # Errors
    ///
    /// When there is no response; [`Error::verdict`] says whether the call may have run.
    pub async fn run_once<F, Fut, E>(
        self: &Arc<Self>,
        key: ClaimKey,
        deadline: Instant,
        run: F,
    ) -> Result<KeyedReply, E>
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = std::result::Result<Reply, RunError<E>>> + Send + 'static,
        E: Send + 'static,
    {
        self.admit()?;
        let (tx, rx) = oneshot::channel();
        let submission = Submission::new(self, key, self.coord_time(deadline), run, tx);
        self.tasks.spawn(submission.run());
        let lost = Error::MayHaveRun {
            retry_after: RETRY_AFTER,
        };
        rx.await.unwrap_or(Err(lost))
    }

    /// Returns whether the object API may recently have lost claims, because it entered a later era
    /// less than [`NEW_ERA_REFUSAL_TIME`] ago. A starting daemon can't know when that era began,
    /// and counts from its first call.
    fn may_miss_claims(&self) -> bool {
        let latest = self.api.eras().latest();
        if latest == Era::FIRST {
            return false;
        }
        let mut era_entered = lock(&self.era_entered);
        let now = Instant::now();
        let since = match *era_entered {
            Some((era, since)) if era == latest => since,
            _ => now,
        };
        *era_entered = Some((latest, since));
        now.duration_since(since) < NEW_ERA_REFUSAL_TIME
    }

    /// Charges the writes of a new claim to the budget; refuses the call when too many claims are
    /// unfinished.
    fn admit<E>(&self) -> Result<(), E> {
        if lock(&self.pending).len() >= self.cfg.pending {
            let retry_after = RETRY_AFTER;
            return Err(Error::Busy { retry_after });
        }
        self.take_writes(WRITES_PER_CLAIM).map_err(|e| Error::Busy {
            retry_after: Duration::from_millis(e.retry_after.as_millis()),
        })
    }

    fn take_writes(&self, writes: u64) -> budget::Result<()> {
        let now = self.now();
        lock(&self.budget).try_take(now, Purpose::Claim, writes)
    }

    fn claim_config(&self) -> claim::Config {
        claim::Config {
            max_outcome_bytes: self.cfg.max_outcome_bytes,
            ..claim::Config::default()
        }
    }

    fn now(&self) -> time::Instant {
        self.coord_time(Instant::now())
    }

    /// Converts to the time of claims and budget; times before the start count as the start.
    fn coord_time(&self, t: Instant) -> time::Instant {
        let passed = t.saturating_duration_since(self.start);
        time::Instant::ZERO + Span::from_millis(passed.as_millis() as u64)
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Locks a mutex. Poisoning is ignored: no code panics while it holds one of this module's locks.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
