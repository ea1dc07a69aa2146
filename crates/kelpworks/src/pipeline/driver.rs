//! Drives a session from its prompt to its last token, across failures of its stages.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::RngExt;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::Permit;
use crate::clients::engine::Engine;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::fleet::ModelKey;
use crate::pipeline::session::Session;
use crate::pipeline::step::Deadlines;
use crate::pipeline::step::StepFailure;
use crate::quarantine;
use crate::quarantine::Quarantine;
use crate::retry::AbandonReason;
use crate::retry::Cooldowns;
use crate::retry::RetryBudget;
use crate::routing;
use crate::upstreams::Report;
use crate::verdict::Verdict;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_wire::Class;
use kelpworks_wire::FinishReason;
use kelpworks_wire::OutputForm;

/// The result of this module.
pub(crate) type Result<T> = std::result::Result<T, SessionError>;

/// A session to drive.
#[derive(Clone, Debug)]
pub struct Job {
    /// Session identifier, unique per session; also the request id in log lines.
    pub session: String,
    /// Name of the team.
    pub team: String,
    /// Class of the team.
    pub class: Class,
    /// Fingerprint of the request; equal when the caller retries the request.
    pub fingerprint: Fingerprint,
    /// Key of the model in the fleet snapshot at the start of the session.
    pub model: ModelKey,
    /// Tokens of the prompt; never empty.
    pub prompt: Vec<u32>,
    /// Maximum number of tokens to generate; above 0.
    pub max_tokens: u32,
    /// Time at which the session ends, even if its answer is incomplete.
    pub deadline: Instant,
}

/// Why a session ended before its answer was complete.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
#[non_exhaustive]
pub enum SessionError {
    /// No path through the stages was available in time.
    #[error("no upstream can take the request: {0}")]
    NoPath(routing::Error),
    /// The deadline of the request passed.
    #[error("deadline exceeded")]
    Deadline,
    /// The caller disconnected.
    #[error("caller gone")]
    CallerGone,
    /// The daemon stopped before the session ended.
    #[error("the daemon is stopping")]
    Stopped,
    /// A stage failed permanently: a retry would fail as well.
    #[error("stage failed: {0}")]
    Stage(StepFailure),
    /// A stage failed, and the retry policy does not allow another attempt.
    #[error("stage failed: {failure}; not tried again: {reason}")]
    Retries {
        /// How the stage failed.
        failure: StepFailure,
        /// Why the stage is not retried.
        reason: AbandonReason,
    },
    /// The request is refused, because upstreams crashed while they ran it.
    #[error(transparent)]
    Quarantined(quarantine::Refusal),
}

/// How a session ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Why the answer is complete, or why the session failed.
    pub result: std::result::Result<FinishReason, SessionError>,
    /// Whether an upstream may have run any part of the session.
    pub verdict: Verdict,
    /// Stage failures that the session recovered from, or tried to.
    pub recoveries: u32,
}

/// Drives all sessions of a daemon.
#[derive(Debug)]
pub struct Driver<E> {
    /// Client of the engines.
    pub engine: Arc<E>,
    /// Snapshot of the fleet; replaced on each change.
    pub fleet: Arc<ArcSwap<Fleet>>,
    /// Channel to the upstream monitor for reports of failed upstreams.
    pub reports: mpsc::UnboundedSender<Report>,
    /// Failure domain of this daemon.
    pub domain: String,
    /// Timeouts of steps and probes.
    pub deadlines: Deadlines,
    /// Form in which engines return the outputs of stages.
    pub output: OutputForm,
    /// Start of the daemon, the origin of `Counters::busy_until_ms`.
    pub start: Instant,
    /// Isolates and refuses requests that crash upstreams.
    pub quarantine: Arc<Quarantine>,
    /// Bounds the retries of all sessions together.
    pub retries: Mutex<RetryBudget>,
    /// Cooldowns of busy upstreams.
    pub cooldowns: Mutex<Cooldowns>,
    /// Ends all sessions at once.
    pub abort: CancellationToken,
    /// Cancel calls that free memory on engines; a planned stop waits for them.
    pub tasks: TaskTracker,
}

impl<E: Engine> Driver<E> {
    /// Drives a session and sends each token to `tx` as soon as it is generated. The session ends
    /// when the receiver is dropped. At the end its memory on the engines is freed in the
    /// background.
    pub async fn run(&self, job: Job, permit: &Permit, tx: &mpsc::Sender<u32>) -> Outcome {
        let mut session = Session::new(self, &job);
        let deadline = job.deadline;
        let result = tokio::select! {
            result = session.generate(permit, tx) => result,
            () = tx.closed() => Err(SessionError::CallerGone),
            () = tokio::time::sleep_until(deadline) => Err(SessionError::Deadline),
            () = self.abort.cancelled() => Err(SessionError::Stopped),
        };
        permit.record_usage(session.token_ids.len() as u32);
        if result.is_ok() {
            session.record_success();
        }
        session.free_all();
        Outcome {
            result,
            verdict: session.verdict,
            recoveries: session.recoveries,
        }
    }

    /// Returns the key of this daemon's failure domain in a snapshot; the first domain when the
    /// register does not list it.
    pub(super) fn own_domain(&self, fleet: &Fleet) -> DomainKey {
        let at = fleet.domains.iter().position(|d| *d == self.domain);
        DomainKey(at.unwrap_or(0) as u16)
    }

    /// Returns the milliseconds since the daemon's start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Returns a random duration from half of `wait` up to `wait`, so that sessions that fail together
/// do not retry together.
pub(super) fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.0))
}
