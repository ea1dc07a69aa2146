//! At most once: a claim object around each keyed call that is not idempotent.
//!
//! [`Claims::run_once`] creates the claim of a call on the object API, on the condition that there
//! is none, runs the call, and records its outcome. A repeat of the call, on any daemon, finds the
//! claim and gets the recorded outcome, or learns that the call may have run. The decisions are
//! those of [`kelpworks_coord::claim`]; this slice carries them out.
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
//! Limits: claims are not removed after a retention, see `docs/design/claims.md`.

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

/// The result of a call that runs at most once.
pub type Result<T, E> = std::result::Result<T, Error<E>>;

/// Kind of the claim objects.
pub const CLAIM_KIND: &str = "kelpworks.claim";

/// Writes that each claim takes from the budget at its start: its creation and its outcome.
const WRITES_PER_CLAIM: u64 = 2;
/// Daemons that are assumed to share the write rate until their number is known. Above the 7 of
/// the present deployments, so that a daemon that knows no peers can't take more than its part.
const ASSUMED_MEMBERS: usize = 8;
/// When to come back after an answer that says that an earlier submission is under way.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long keyed calls are refused after a daemon has entered a later era of the object API, which may
/// have lost the claims of calls that ran: callers repeat theirs within this time.
const NEW_ERA_REFUSAL_TIME: Duration = Duration::from_secs(30);

/// Bounds of the slice.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of this daemon.
    pub name: String,
    /// Writes a second that all daemons may spend on claims. Default 200.
    pub writes_per_second: u64,
    /// Claim writes that this daemon may spend at once, at least 2. Default 16.
    pub burst: u64,
    /// Longest wait for one reply of the object API, after which it counts as lost. Default
    /// 500 ms.
    pub api_timeout: Duration,
    /// Claims in memory, at most: those running and those that still have to be recorded or
    /// removed. Default 4096.
    pub pending: usize,
    /// Largest outcome that is recorded, in bytes as encoded. Default 64 KiB.
    pub max_outcome_bytes: usize,
}

impl Config {
    /// The defaults, for the daemon of this name.
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

/// An answer to a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedReply {
    /// The answer.
    pub reply: Reply,
    /// Whether an earlier submission got it first.
    pub replayed: bool,
}

/// How a call failed that was let run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunError<E> {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub cause: E,
}

/// Why a keyed call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error<E> {
    /// The write budget is spent, or too many claims are unsettled. Not run.
    #[error("too many keyed calls")]
    Busy {
        /// When to come back.
        retry_after: Duration,
    },
    /// The object API did not confirm the claim. Not run.
    #[error("the claim of the key could not be recorded")]
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
    /// The caller's deadline passed before the call was sent. Not run.
    #[error("deadline exceeded before the call was sent")]
    Deadline,
    /// The key was used for another request. Not run.
    #[error("the key was used for another request")]
    KeyReused,
    /// An earlier submission is running; a repeat will get its answer.
    #[error("an earlier submission of the key is running")]
    InProgress {
        /// When to come back.
        retry_after: Duration,
    },
    /// This submission or an earlier one may have run, and its answer is not known here.
    #[error("the call may have run; its answer is not known")]
    MayHaveRun {
        /// When to come back: its daemon may record the answer yet.
        retry_after: Duration,
    },
    /// This submission was let run and failed.
    #[error("the call failed")]
    Failed(RunError<E>),
}

impl<E> Error<E> {
    /// Whether the call may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Busy { .. } | Error::Unavailable { .. } => Verdict::NotRun,
            Error::Deadline | Error::KeyReused => Verdict::NotRun,
            Error::InProgress { .. } | Error::MayHaveRun { .. } => Verdict::MayHaveRun,
            Error::Failed(e) => e.verdict,
        }
    }
}

/// The other daemons, asked about the claims that they hold.
pub trait Peers: Send + Sync + 'static {
    /// What the daemon says of its claim; `None` when it did not answer, or runs under another
    /// incarnation.
    fn claim_status(
        &self,
        holder: NodeId,
        incarnation: Incarnation,
        nonce: Nonce,
    ) -> impl Future<Output = Option<PeerStatus>> + Send;
}

/// No way to ask another daemon: each claim of another counts as one that may have run.
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

/// The claims of one daemon.
#[derive(Debug)]
pub struct Claims<A, P = NoPeers> {
    cfg: Config,
    api: A,
    peers: P,
    /// Where calls run, so that they outlive their callers and a planned stop waits for them.
    tasks: TaskTracker,
    node: NodeId,
    incarnation: Incarnation,
    /// Origin of the times of budget and claims.
    start: Instant,
    budget: Mutex<WriteBudget>,
    /// Claims that are not settled; at most [`Config::pending`].
    pending: Mutex<HashMap<Nonce, Arc<Mutex<Claim>>>>,
    /// The latest era of the object API that a call here has met, and since when.
    entered: Mutex<Option<(Era, Instant)>>,
}

impl<A: ObjectApi + 'static, P: Peers> Claims<A, P> {
    /// No claims yet. Calls run in `tasks`.
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
            entered: Mutex::default(),
            cfg,
            api,
            peers,
            tasks,
        }
    }

    /// This run of this daemon, as its claims name it.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets the number of daemons that share the write rate.
    pub fn set_members(&self, members: usize) {
        let now = self.now();
        lock(&self.budget).set_members(now, members);
    }

    /// What to tell a peer that asks about a claim of this daemon; `None` for another incarnation.
    pub fn status(&self, incarnation: Incarnation, nonce: Nonce) -> Option<PeerStatus> {
        if incarnation != self.incarnation {
            return None;
        }
        let claim = lock(&self.pending).get(&nonce).cloned();
        Some(claim.map_or(PeerStatus::MayHaveRun, |c| lock(&c).status()))
    }

    /// Runs a call at most once over all submissions of its key, or says what became of it. `run`
    /// is called at most once, and goes on when the caller drops the returned future.
    ///
    /// # Errors
    ///
    /// When there is no answer; [`Error::verdict`] says whether the call may have run.
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

    /// Whether the object API may just have lost claims. A daemon that starts can't know how long ago that
    /// was.
    fn may_miss_claims(&self) -> bool {
        let latest = self.api.eras().latest();
        if latest == Era::FIRST {
            return false;
        }
        let mut entered = lock(&self.entered);
        let now = Instant::now();
        let since = match *entered {
            Some((era, since)) if era == latest => since,
            _ => now,
        };
        *entered = Some((latest, since));
        now.duration_since(since) < NEW_ERA_REFUSAL_TIME
    }

    /// Takes the writes of a claim from the budget.
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

    /// The time of the claims and of the budget; the past counts as the start.
    fn coord_time(&self, t: Instant) -> time::Instant {
        let passed = t.saturating_duration_since(self.start);
        time::Instant::ZERO + Span::from_millis(passed.as_millis() as u64)
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Locks; no code panics while it holds one of this slice's locks.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
