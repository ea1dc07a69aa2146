//! Continuous batching: queued steps run in iterations, those of class paying first.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Shared;
use super::core::Input;
use crate::fault::FaultKind;
use crate::fault::lock;
use kelpworks_wire::Class;
use kelpworks_wire::Step;
use kelpworks_wire::StepOutcome;

/// Request path that [`FaultKind::LostCacheEvent`] matches against.
const CACHE_EVENTS: &str = "/v1/cache-events";

/// A step in the queue.
#[derive(Debug)]
pub(crate) struct QueuedStep {
    pub(crate) step: Step,
    pub(crate) input: Input,
    pub(crate) at: Instant,
    /// Dropped without a result when the engine crashes.
    pub(crate) tx: oneshot::Sender<StepResult>,
}

/// Result of a step that ran or was rejected.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StepResult {
    /// Number of positions run; 0 if the step was rejected.
    pub(crate) count: u32,
    pub(crate) outcome: StepOutcome,
}

/// Queued steps by class, and the number of running ones.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    queues: Mutex<ClassQueues>,
    step_queued: Notify,
}

#[derive(Debug, Default)]
struct ClassQueues {
    paying: VecDeque<QueuedStep>,
    trial: VecDeque<QueuedStep>,
    running: u32,
}

/// Statistics of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueStats {
    pub(crate) queued: u32,
    pub(crate) running: u32,
    /// Age of the oldest queued step.
    pub(crate) oldest: Duration,
}

impl Queue {
    /// Adds a step; returns false, without adding it, when `bound` steps are queued already.
    pub(crate) fn push(&self, waiting: QueuedStep, bound: usize) -> bool {
        let mut queues = lock(&self.queues);
        if queues.paying.len() + queues.trial.len() >= bound {
            return false;
        }
        match waiting.step.class {
            Class::Paying => queues.paying.push_back(waiting),
            Class::Trial => queues.trial.push_back(waiting),
        }
        drop(queues);
        self.step_queued.notify_one();
        true
    }

    /// Waits until a step is queued, then takes up to `max` steps.
    async fn next_batch(&self, max: usize) -> Vec<QueuedStep> {
        loop {
            let batch = self.take(max);
            if !batch.is_empty() {
                return batch;
            }
            self.step_queued.notified().await;
        }
    }

    fn take(&self, max: usize) -> Vec<QueuedStep> {
        let mut queues = lock(&self.queues);
        let paying = queues.paying.len().min(max);
        let trial = queues.trial.len().min(max - paying);
        let mut batch: Vec<QueuedStep> = queues.paying.drain(..paying).collect();
        batch.extend(queues.trial.drain(..trial));
        queues.running = batch.len() as u32;
        batch
    }

    /// Drops all queued steps without a result.
    pub(crate) fn clear(&self) {
        let mut queues = lock(&self.queues);
        queues.paying.clear();
        queues.trial.clear();
    }

    pub(crate) fn stats(&self, now: Instant) -> QueueStats {
        let queues = lock(&self.queues);
        let fronts = [queues.paying.front(), queues.trial.front()];
        let oldest = fronts.into_iter().flatten().map(|w| now - w.at).max();
        QueueStats {
            queued: (queues.paying.len() + queues.trial.len()) as u32,
            running: queues.running,
            oldest: oldest.unwrap_or_default(),
        }
    }
}

/// Runs iterations until dropped.
///
/// If steps were queued before the scheduled end of the last iteration, the next one is counted
/// from that end, so that late timers do not lower the modelled rate.
pub(crate) async fn run(engine: Arc<Shared>) {
    let mut last_end = Instant::now();
    loop {
        let batch = engine.queue.next_batch(engine.cfg.max_batch).await;
        let incarnation = engine.incarnation();
        let first = batch.iter().map(|w| w.at).min();
        let start = last_end.max(first.unwrap_or(last_end));
        let Some(iteration) = engine.iterate(batch) else {
            engine.crash();
            continue;
        };
        let slowdown = *lock(&engine.slowdown);
        let takes = engine.cfg.iteration(iteration.layer_positions);
        last_end = start + takes.mul_f64(slowdown);
        if last_end > Instant::now() {
            tokio::time::sleep_until(last_end).await;
        }
        if engine.incarnation() == incarnation {
            iteration.send_replies();
        }
    }
}

#[derive(Debug, Default)]
struct Iteration {
    layer_positions: u64,
    completed: Vec<CompletedStep>,
}

#[derive(Debug)]
struct CompletedStep {
    tx: oneshot::Sender<StepResult>,
    result: StepResult,
}

impl Iteration {
    fn send_replies(self) {
        for completed in self.completed {
            // The caller may have dropped its receiver.
            let _ = completed.tx.send(completed.result);
        }
    }
}

impl Shared {
    /// Runs a batch; returns `None` when one of its steps crashes the engine.
    fn iterate(&self, batch: Vec<QueuedStep>) -> Option<Iteration> {
        let mut iteration = Iteration::default();
        self.ledger.count(|t| t.iterations += 1);
        for waiting in batch {
            let QueuedStep {
                step, input, tx, ..
            } = waiting;
            let poison = self.cfg.crashes_on_poison && input.is_poison();
            let result = self.run_step(&step, &input);
            if result.count > 0 {
                iteration.layer_positions += self.cost(&step, result.count);
                if poison || self.take_step_fault(&FaultKind::Crash) {
                    return None;
                }
            }
            iteration.completed.push(CompletedStep { tx, result });
        }
        Some(iteration)
    }

    fn run_step(&self, step: &Step, input: &Input) -> StepResult {
        let (result, incarnation) = {
            let mut core = lock(&self.core);
            (core.run(step, input), self.incarnation())
        };
        match result {
            Ok(outcome) => {
                let count = input.count();
                self.ledger.record_run(step, count, incarnation);
                StepResult { count, outcome }
            }
            Err(refused) => self.reject(*refused),
        }
    }

    /// Counts a step that does not run and returns its result.
    pub(super) fn reject(&self, outcome: StepOutcome) -> StepResult {
        self.ledger.count(|t| match outcome {
            StepOutcome::Busy(_) => t.busy += 1,
            _ => t.refused += 1,
        });
        StepResult { count: 0, outcome }
    }

    /// Returns the layer-positions that a step costs; a cached prompt costs one position.
    fn cost(&self, step: &Step, count: u32) -> u64 {
        let layers = u64::from(step.layers.end - step.layers.first);
        let lost = || {
            let wanted = |k: &FaultKind| *k == FaultKind::LostCacheEvent;
            self.faults.take_application(CACHE_EVENTS, wanted).is_some()
        };
        let cached = step.position == 0 && lock(&self.cache).touch(&step.model, &step.prefix, lost);
        match cached {
            true => layers,
            false => layers * u64::from(count),
        }
    }
}
