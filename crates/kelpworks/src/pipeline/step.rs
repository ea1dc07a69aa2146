//! One step on one stage: sent, checked against its echo, and settled when the reply stays away.

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

/// How long a first reply may still take once the engine says that the step has run.
const LATE_REPLY_GRACE: Duration = Duration::from_millis(20);
/// A step that an engine is still about is waited for so many ceilings, while it answers probes.
const SILENT_CEILINGS: u32 = 4;

/// Why a step gave no result.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
#[non_exhaustive]
pub enum StepFailure {
    /// The engine has no capacity; nothing ran.
    #[error("busy, retry after {0:?}")]
    Busy(Duration),
    /// The engine refused; nothing ran.
    #[error("refused: {reason}, have {have}")]
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Positions it holds of this stage.
        have: u32,
    },
    /// No connection could be opened; nothing ran.
    #[error("unreachable")]
    Unreachable,
    /// The engine doesn't answer on a new connection either; may have run.
    #[error("silent")]
    Silent,
    /// The engine answers probes and fails the step; may have run.
    #[error("step failed twice")]
    Broken,
    /// Nobody listens any more where the step was sent; may have run.
    #[error("engine gone")]
    Gone,
    /// The engine restarted under the step; it may have run before.
    #[error("engine restarted")]
    Restarted,
    /// The request is refused for what it did to other upstreams; the step was not sent.
    #[error(transparent)]
    Quarantined(quarantine::Refusal),
    /// The step ran, but its reply is lost for good.
    #[error("reply lost")]
    ReplyLost,
    /// The reply is not of this step.
    #[error("reply does not match the step")]
    Mismatch,
}

/// What a step gave.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Output {
    /// Activations kept by the engine under the stage's handle.
    Kept,
    /// Activations, one a position.
    Rows(Vec<u64>),
    /// The next token, from the last layer.
    Token(u32),
}

/// What stays the same over all steps of a session.
#[derive(Clone, Debug)]
pub(crate) struct Fixed {
    /// Session identifier.
    pub(crate) session: String,
    /// Model name.
    pub(crate) model: String,
    /// Version that the session is bound to.
    pub(crate) version: String,
    /// Layers of the model.
    pub(crate) layers: u32,
    /// Class of the request.
    pub(crate) class: Class,
    /// Form in which outputs are asked for.
    pub(crate) output: OutputForm,
}

/// Bounds on the wait for a step.
#[derive(Clone, Debug)]
pub struct Deadlines {
    /// Progress deadline of a step.
    pub step: DeadlineConfig,
    /// Wait for the answer to a probe, from the times of answered polls.
    pub probe: DeadlineConfig,
}

/// A lock on smoothed times; they are consistent after each call, also when a holder panicked.
fn lock(times: &Mutex<StepDeadline>) -> MutexGuard<'_, StepDeadline> {
    times.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One step about to run on a stage.
pub(crate) struct Call<'a, E> {
    pub(crate) engine: &'a E,
    pub(crate) fixed: &'a Fixed,
    pub(crate) hop: &'a HopState,
    pub(crate) counters: &'a Counters,
    /// The engine's incarnation as last known; 0 when unknown.
    pub(crate) incarnation: u64,
    pub(crate) deadlines: &'a Deadlines,
    /// Positions to run from `hop.have` on; above 0.
    pub(crate) count: u32,
}

impl<E: Engine> Call<'_, E> {
    /// Runs the step.
    ///
    /// # Errors
    ///
    /// A failure that says whether the step may have run.
    pub(crate) async fn run(&self, input: StepInput) -> Result<Output> {
        let counters = self.counters;
        counters.in_flight.fetch_add(1, Ordering::Relaxed);
        counters.sent_since_report.fetch_add(1, Ordering::Relaxed);
        let guard = InFlight(counters);
        let sent = Instant::now();
        let result = self.settle(input).await;
        drop(guard);
        if result.is_ok() {
            self.observe(sent.elapsed());
        }
        result
    }

    /// Notes the time of a step, or the time waited in vain for one that is still under way.
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
            session: self.fixed.session.clone(),
            attempt: self.hop.attempt,
            position: self.hop.have,
            layers: self.hop.layers.clone(),
            model: self.fixed.model.clone(),
            version: self.fixed.version.clone(),
            class: self.fixed.class,
            input,
            output: self.fixed.output,
            // What the engine waits for itself, its input above all, is late by then too. Twice,
            // so that a second send gets its chance first: it may fetch on a new connection.
            deadline_ms: 2 * progress.as_millis() as u32,
            prefix: String::new(),
        }
    }

    /// Sends the step; where the reply stays away or the connection breaks, asks the engine on a
    /// new connection and sends it once more there. Sending twice is safe: an engine refuses
    /// positions that it has run.
    async fn settle(&self, input: StepInput) -> Result<Output> {
        let progress = lock(&self.counters.step).deadline(&self.deadlines.step, self.count);
        let batch = StepBatch {
            steps: vec![self.step(input, progress)],
        };
        let limit = self.deadlines.step.ceiling * SILENT_CEILINGS;
        let first = self.engine.steps(&self.hop.url, &batch, limit);
        tokio::pin!(first);
        match tokio::time::timeout(progress, &mut first).await {
            Ok(Ok(reply)) => match self.check(reply) {
                // A reply of another step says nothing of this one, which may have run.
                Err(StepFailure::Mismatch) => return self.again(&batch).await,
                result => return result,
            },
            Ok(Err(engine::Error::Connect(_))) => return Err(StepFailure::Unreachable),
            Ok(Err(_)) => {
                self.probe().await?;
                return self.again(&batch).await;
            }
            Err(_) => {}
        }
        self.probe().await?;
        self.observe(progress);
        let again = self.again(&batch);
        tokio::pin!(again);
        tokio::select! {
            reply = &mut first => match reply {
                Ok(reply) => self.check(reply),
                Err(_) => again.await,
            },
            result = &mut again => match result {
                Err(StepFailure::ReplyLost) => {
                    match tokio::time::timeout(LATE_REPLY_GRACE, &mut first).await {
                        Ok(Ok(reply)) => self.check(reply),
                        _ => Err(StepFailure::ReplyLost),
                    }
                }
                other => other,
            },
        }
    }

    /// Checks that the engine lives before a suspect's step is sent, so that an engine that died
    /// of something else isn't held against it. Returns the engine's incarnation.
    ///
    /// # Errors
    ///
    /// When it doesn't answer on a new connection; nothing ran.
    pub(crate) async fn alive(&self) -> Result<u64> {
        let probed = self.ask().await;
        let state = probed.map_err(|_| StepFailure::Unreachable)?;
        Ok(state.incarnation)
    }

    /// Asks the engine for its state on a new connection.
    async fn ask(&self) -> engine::Result<EngineState> {
        let deadline = lock(&self.counters.poll).deadline(&self.deadlines.probe, 1);
        self.engine.probe(&self.hop.url, deadline).await
    }

    async fn probe(&self) -> Result<()> {
        match self.ask().await {
            Ok(state) if self.incarnation != 0 && state.incarnation != self.incarnation => {
                Err(StepFailure::Restarted)
            }
            Ok(_) => {
                metrics::counter!("kelpworks_connections_dropped_total").increment(1);
                Ok(())
            }
            // The step was sent before, and may have run.
            Err(engine::Error::Connect(_)) => Err(StepFailure::Gone),
            Err(_) => Err(StepFailure::Silent),
        }
    }

    async fn again(&self, batch: &StepBatch) -> Result<Output> {
        let reply = self
            .engine
            .steps(&self.hop.url, batch, self.deadlines.step.ceiling)
            .await;
        let Ok(reply) = reply else {
            self.probe().await?;
            return Err(StepFailure::Broken);
        };
        match self.check(reply) {
            Err(StepFailure::Refused {
                reason: RefusalReason::PositionGap,
                have,
            }) if have == self.hop.have + self.count => self.ran_unseen(),
            other => other,
        }
    }

    /// The step has run and its reply is gone: kept outputs can still be fetched, others not.
    fn ran_unseen(&self) -> Result<Output> {
        let last = self.hop.layers.end == self.fixed.layers;
        if last || self.fixed.output == OutputForm::Inline {
            return Err(StepFailure::ReplyLost);
        }
        Ok(Output::Kept)
    }

    fn check(&self, batch: StepBatchReply) -> Result<Output> {
        let mut replies = batch.replies.into_iter();
        let (Some(reply), None) = (replies.next(), replies.next()) else {
            return Err(self.mismatch());
        };
        if !self.echoes(&reply) {
            return Err(self.mismatch());
        }
        self.counters.record_load(&reply.load);
        let last = self.hop.layers.end == self.fixed.layers;
        match reply.outcome {
            StepOutcome::Busy(busy) => Err(StepFailure::Busy(Duration::from_millis(u64::from(
                busy.retry_after_ms,
            )))),
            StepOutcome::Refused(r) => Err(StepFailure::Refused {
                reason: r.reason,
                have: r.have,
            }),
            _ if reply.count != self.count => Err(self.mismatch()),
            StepOutcome::Token(token) if last => Ok(Output::Token(token)),
            StepOutcome::Rows(rows) if !last && rows.len() == self.count as usize => {
                Ok(Output::Rows(rows))
            }
            StepOutcome::Handle(handle)
                if !last && handle == self.hop.handle(&self.fixed.session, self.hop.have) =>
            {
                Ok(Output::Kept)
            }
            _ => Err(self.mismatch()),
        }
    }

    fn echoes(&self, reply: &StepReply) -> bool {
        reply.session == self.fixed.session
            && reply.attempt == self.hop.attempt
            && reply.position == self.hop.have
            && reply.layers == self.hop.layers
            && reply.model == self.fixed.model
            && reply.version == self.fixed.version
    }

    fn mismatch(&self) -> StepFailure {
        metrics::counter!("kelpworks_replies_dropped_total").increment(1);
        StepFailure::Mismatch
    }
}

/// Counts a call as in flight until dropped, also when its future is.
struct InFlight<'a>(&'a Counters);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
