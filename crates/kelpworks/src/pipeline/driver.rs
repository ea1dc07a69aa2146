//! Drives one session from prompt to last token, over failures of its stages.

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
    /// Session identifier; also the request id in log lines.
    pub session: String,
    /// Name of the team.
    pub team: String,
    /// Class of the team.
    pub class: Class,
    /// Fingerprint of the request; the same for its caller's repeats.
    pub fingerprint: Fingerprint,
    /// The model.
    pub model: ModelKey,
    /// Tokens of the prompt; never empty.
    pub prompt: Vec<u32>,
    /// Most tokens to generate; above 0.
    pub max_tokens: u32,
    /// When the caller's time is up.
    pub deadline: Instant,
}

/// Why a session ended before its answer was whole.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
#[non_exhaustive]
pub enum SessionError {
    /// No path through the stages within the deadline.
    #[error("no upstream can take the request: {0}")]
    NoPath(routing::Error),
    /// The caller's time is up.
    #[error("deadline exceeded")]
    Deadline,
    /// The caller has gone.
    #[error("caller gone")]
    CallerGone,
    /// The daemon ends before the session does.
    #[error("the daemon is stopping")]
    Stopped,
    /// A stage failed in a way that another try won't mend.
    #[error("stage failed: {0}")]
    Stage(StepFailure),
    /// A stage failed, and too much has been tried again of late.
    #[error("stage failed: {failure}; not tried again: {reason}")]
    Retries {
        /// How the stage failed.
        failure: StepFailure,
        /// Why it is not tried again.
        reason: AbandonReason,
    },
    /// Upstreams crashed while they ran the request.
    #[error(transparent)]
    Quarantined(quarantine::Refusal),
}

/// How a session ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Why it ended.
    pub result: std::result::Result<FinishReason, SessionError>,
    /// Whether any of it may have run.
    pub verdict: Verdict,
    /// Stages replaced on the way.
    pub recoveries: u32,
}

/// Drives sessions; one for the whole daemon.
#[derive(Debug)]
pub struct Driver<E> {
    /// The engines.
    pub engine: Arc<E>,
    /// The fleet, replaced as a whole on each change.
    pub fleet: Arc<ArcSwap<Fleet>>,
    /// Where failures of upstreams are reported.
    pub reports: mpsc::UnboundedSender<Report>,
    /// Failure domain of this daemon.
    pub domain: String,
    /// Bounds on the wait for a step.
    pub deadlines: Deadlines,
    /// Form in which outputs are asked for.
    pub output: OutputForm,
    /// Start of the daemon, the origin of `Counters::busy_until_ms`.
    pub start: Instant,
    /// Requests that crash upstreams.
    pub quarantine: Arc<Quarantine>,
    /// Bounds how much is tried again, over all sessions.
    pub retries: Mutex<RetryBudget>,
    /// Cooldowns of busy upstreams.
    pub cooldowns: Mutex<Cooldowns>,
    /// Ends all sessions at once.
    pub abort: CancellationToken,
    /// Calls that free memory on engines; a stop waits for them.
    pub tasks: TaskTracker,
}

impl<E: Engine> Driver<E> {
    /// Drives a session; each token goes into `tx` as soon as it is known. Where the receiver is
    /// dropped the session ends and its memory on the engines is freed.
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

    /// This daemon's failure domain in a snapshot; the first where the register has no such.
    pub(super) fn own_domain(&self, fleet: &Fleet) -> DomainKey {
        let at = fleet.domains.iter().position(|d| *d == self.domain);
        DomainKey(at.unwrap_or(0) as u16)
    }

    /// Milliseconds since the daemon's start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Full jitter over the upper half, so that waiters spread out.
pub(super) fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.0))
}
