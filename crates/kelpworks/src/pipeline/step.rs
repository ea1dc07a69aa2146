//! Runs one step on one stage: sends it, checks that the reply belongs to it, and finds out whether
//! it ran when there is no reply.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::clients::engine;
use crate::clients::engine::Engine;
use crate::fleet::Counters;
use crate::pipeline::hop::HopState;
use crate::quarantine;
use crate::retry::DeadlineConfig;
use crate::retry::StepDeadline;
use kelpworks_wire::Class;
use kelpworks_wire::EngineState;
use kelpworks_wire::OutputForm;
use kelpworks_wire::RefusalReason;
use kelpworks_wire::Step;
use kelpworks_wire::StepBatch;
use kelpworks_wire::StepBatchReply;
use kelpworks_wire::StepInput;
use kelpworks_wire::StepOutcome;
use kelpworks_wire::StepReply;

/// The result of this module.
pub(crate) type Result<T> = std::result::Result<T, StepFailure>;

/// Time left to the first send's reply once the second send showed that the step has run.
const LATE_REPLY_GRACE: Duration = Duration::from_millis(20);
/// Timeout of the first send of a step, in multiples of the progress deadline's ceiling. It applies
/// to an engine that still runs the step and answers probes.
const STALL_TIMEOUT_CEILINGS: u32 = 4;

/// Why a step has no result.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
#[non_exhaustive]
pub enum StepFailure {
    /// The engine has no capacity now; nothing ran.
    #[error("busy, retry after {0:?}")]
    Busy(Duration),
    /// The engine refused the step; nothing ran.
    #[error("refused: {reason}, have {have}")]
    Refused {
        /// Why the engine refused.
        reason: RefusalReason,
        /// Number of positions of this stage that the engine has run.
        have: u32,
    },
    /// No connection could be opened; nothing ran.
    #[error("unreachable")]
    Unreachable,
    /// The engine accepts connections, but does not answer on a new one either; the step may have
    /// run.
    #[error("silent")]
    Silent,
    /// The engine answers probes, but the second send failed as well; the step may have run.
    #[error("step failed twice")]
    Broken,
    /// The engine no longer accepts connections after the step was sent; the step may have run.
    #[error("engine gone")]
    Gone,
    /// The engine restarted after the step was sent; the step may have run before.
    #[error("engine restarted")]
    Restarted,
    /// The quarantine refuses the request, because upstreams crashed while they ran it; the step
    /// was not sent.
    #[error(transparent)]
    Quarantined(quarantine::Refusal),
    /// The step ran, but its output is lost.
    #[error("reply lost")]
    ReplyLost,
    /// The reply belongs to another step, or its form is wrong; the step may have run.
    #[error("reply does not match the step")]
    Mismatch,
}

/// Output of a step.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StepOutput {
    /// The engine retains the activations under the stage's handle.
    Retained,
    /// Activations, one for each position.
    Rows(Vec<u64>),
    /// The next token, from the stage with the last layer.
    Token(u32),
}

/// Parameters that all steps of a session share.
#[derive(Clone, Debug)]
pub(crate) struct SessionParams {
    /// Session identifier, unique per session.
    pub(crate) session: String,
    /// Name of the model.
    pub(crate) model: String,
    /// Version that the session is bound to; empty until its first path is chosen.
    pub(crate) version: String,
    /// Number of layers of the model.
    pub(crate) layers: u32,
    /// Class of the request.
    pub(crate) class: Class,
    /// Form in which engines return the outputs of stages.
    pub(crate) output: OutputForm,
}

/// Timeouts of steps and probes, derived from observed times.
#[derive(Clone, Debug)]
pub struct Deadlines {
    /// Progress deadline of a step, from the observed times of steps. When it passes, the engine is
    /// probed and the step sent again.
    pub step: DeadlineConfig,
    /// Timeout of a probe, from the observed times of answered polls.
    pub probe: DeadlineConfig,
}

/// Locks smoothed times, even if poisoned: they are consistent after each call, so a panic of
/// another task leaves them usable.
fn lock(times: &Mutex<StepDeadline>) -> MutexGuard<'_, StepDeadline> {
    times.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A step that is about to run on a stage.
pub(crate) struct StepCall<'a, E> {
    pub(crate) engine: &'a E,
    pub(crate) params: &'a SessionParams,
    pub(crate) hop: &'a HopState,
    pub(crate) counters: &'a Counters,
    /// Last known incarnation of the engine; 0 when unknown.
    pub(crate) incarnation: u64,
    pub(crate) deadlines: &'a Deadlines,
    /// Number of positions to run from `hop.positions_run` on; above 0.
    pub(crate) count: u32,
}

impl<E: Engine> StepCall<'_, E> {
    /// Runs the step and records its time.
    ///
    /// # Errors
    ///
    /// When there is no output; the [`StepFailure`] tells whether the step may have run.
    pub(crate) async fn run(&self, input: StepInput) -> Result<StepOutput> {
        let counters = self.counters;
        counters.in_flight.fetch_add(1, Ordering::Relaxed);
        counters.sent_since_report.fetch_add(1, Ordering::Relaxed);
        let guard = InFlightGuard(counters);
        let sent = Instant::now();
        let result = self.run_with_resend(input).await;
        drop(guard);
        if result.is_ok() {
            self.observe(sent.elapsed());
        }
        result
    }

    /// Records the time that a step took, or the time waited so far for one that is still running.
    fn observe(&self, took: Duration) {
        let mut times = lock(&self.counters.step);
        times.observe(took, self.count);
        if let Some(mean) = times.mean() {
            let micros = (mean.as_micros() as u64).max(1);
            self.counters.step_us.store(micros, Ordering::Relaxed);
        }
    }

    fn step(&self, input: StepInput, progress: Duration) -> Step {
        Step {
            session: self.params.session.clone(),
            attempt: self.hop.attempt,
            position: self.hop.positions_run,
            layers: self.hop.layers.clone(),
            model: self.params.model.clone(),
            version: self.params.version.clone(),
            class: self.params.class,
            input,
            output: self.params.output,
            // Bounds what the engine itself waits for, above all the fetch of its input. It is
            // twice the progress deadline, so that the second send comes first: its fetch may use a
            // new connection.
            deadline_ms: 2 * progress.as_millis() as u32,
            prefix: String::new(),
        }
    }

    /// Sends the step. If there is no reply in time or the connection breaks, probes the engine on
    /// a new connection and sends the step a second time there. This is idempotent, because an
    /// engine refuses positions that it has run.
    async fn run_with_resend(&self, input: StepInput) -> Result<StepOutput> {
        let progress = lock(&self.counters.step).deadline(&self.deadlines.step, self.count);
        let batch = StepBatch {
            steps: vec![self.step(input, progress)],
        };
        let limit = self.deadlines.step.ceiling * STALL_TIMEOUT_CEILINGS;
        let first = self.engine.steps(&self.hop.url, &batch, limit);
        tokio::pin!(first);
        match tokio::time::timeout(progress, &mut first).await {
            Ok(Ok(reply)) => match self.check_reply(reply) {
                // A reply to another step does not show whether this one has run.
                Err(StepFailure::Mismatch) => return self.resend(&batch).await,
                result => return result,
            },
            Ok(Err(engine::Error::Connect(_))) => return Err(StepFailure::Unreachable),
            Ok(Err(_)) => {
                self.probe().await?;
                return self.resend(&batch).await;
            }
            Err(_) => {}
        }
        self.probe().await?;
        self.observe(progress);
        let resend = self.resend(&batch);
        tokio::pin!(resend);
        tokio::select! {
            reply = &mut first => match reply {
                Ok(reply) => self.check_reply(reply),
                Err(_) => resend.await,
            },
            result = &mut resend => match result {
                Err(StepFailure::ReplyLost) => {
                    match tokio::time::timeout(LATE_REPLY_GRACE, &mut first).await {
                        Ok(Ok(reply)) => self.check_reply(reply),
                        _ => Err(StepFailure::ReplyLost),
                    }
                }
                other => other,
            },
        }
    }

    /// Checks that the engine is alive before a step of a suspected request is sent, so that a
    /// crash with another cause is not attributed to the request. Returns the engine's incarnation.
    ///
    /// # Errors
    ///
    /// When the engine does not answer on a new connection; nothing ran.
    pub(crate) async fn check_alive(&self) -> Result<u64> {
        let probed = self.query_state().await;
        let state = probed.map_err(|_| StepFailure::Unreachable)?;
        Ok(state.incarnation)
    }

    /// Queries the engine's state on a new connection.
    async fn query_state(&self) -> engine::Result<EngineState> {
        let deadline = lock(&self.counters.poll).deadline(&self.deadlines.probe, 1);
        self.engine.probe(&self.hop.url, deadline).await
    }

    /// Checks that the engine is alive and has not restarted since the step was sent.
    async fn probe(&self) -> Result<()> {
        match self.query_state().await {
            Ok(state) if self.incarnation != 0 && state.incarnation != self.incarnation => {
                Err(StepFailure::Restarted)
            }
            Ok(_) => {
                metrics::counter!("kelpworks_connections_dropped_total").increment(1);
                Ok(())
            }
            // Not `Unreachable`: the step was sent before, and may have run.
            Err(engine::Error::Connect(_)) => Err(StepFailure::Gone),
            Err(_) => Err(StepFailure::Silent),
        }
    }

    /// Sends the step a second time.
    async fn resend(&self, batch: &StepBatch) -> Result<StepOutput> {
        let reply = self
            .engine
            .steps(&self.hop.url, batch, self.deadlines.step.ceiling)
            .await;
        let Ok(reply) = reply else {
            self.probe().await?;
            return Err(StepFailure::Broken);
        };
        match self.check_reply(reply) {
            Err(StepFailure::Refused {
                reason: RefusalReason::PositionGap,
                have,
            }) if have == self.hop.positions_run + self.count => self.output_without_reply(),
            other => other,
        }
    }

    /// Returns the output of a step that has run and whose reply is lost. Retained activations can
    /// still be fetched; inline activations and tokens are lost.
    fn output_without_reply(&self) -> Result<StepOutput> {
        let last = self.hop.layers.end == self.params.layers;
        if last || self.params.output == OutputForm::Inline {
            return Err(StepFailure::ReplyLost);
        }
        Ok(StepOutput::Retained)
    }

    /// Returns the output or failure in a reply, after checking that it belongs to this step.
    fn check_reply(&self, batch: StepBatchReply) -> Result<StepOutput> {
        let mut replies = batch.replies.into_iter();
        let (Some(reply), None) = (replies.next(), replies.next()) else {
            return Err(self.record_mismatch());
        };
        if !self.is_reply_to_step(&reply) {
            return Err(self.record_mismatch());
        }
        self.counters.record_load(&reply.load);
        let last = self.hop.layers.end == self.params.layers;
        match reply.outcome {
            StepOutcome::Busy(busy) => Err(StepFailure::Busy(Duration::from_millis(u64::from(
                busy.retry_after_ms,
            )))),
            StepOutcome::Refused(r) => Err(StepFailure::Refused {
                reason: r.reason,
                have: r.have,
            }),
            _ if reply.count != self.count => Err(self.record_mismatch()),
            StepOutcome::Token(token) if last => Ok(StepOutput::Token(token)),
            StepOutcome::Rows(rows) if !last && rows.len() == self.count as usize => {
                Ok(StepOutput::Rows(rows))
            }
            StepOutcome::Handle(handle)
                if !last
                    && handle
                        == self
                            .hop
                            .handle(&self.params.session, self.hop.positions_run) =>
            {
                Ok(StepOutput::Retained)
            }
            _ => Err(self.record_mismatch()),
        }
    }

    fn is_reply_to_step(&self, reply: &StepReply) -> bool {
        reply.session == self.params.session
            && reply.attempt == self.hop.attempt
            && reply.position == self.hop.positions_run
            && reply.layers == self.hop.layers
            && reply.model == self.params.model
            && reply.version == self.params.version
    }

    fn record_mismatch(&self) -> StepFailure {
        metrics::counter!("kelpworks_replies_dropped_total").increment(1);
        StepFailure::Mismatch
    }
}

/// Counts a step as in flight until dropped, also when the future that holds the guard is dropped.
struct InFlightGuard<'a>(&'a Counters);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
