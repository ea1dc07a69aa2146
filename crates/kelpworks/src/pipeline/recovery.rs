//! Recovers a session from failures of its stages, within the bounds of quarantine, retry budget
//! and cooldowns.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use crate::clients::engine::Engine;
use crate::fleet::Counters;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::pipeline::driver::Driver;
use crate::pipeline::driver::Result;
use crate::pipeline::driver::SessionError;
use crate::pipeline::driver::jittered;
use crate::pipeline::path::NO_PATH_RETRY_INTERVAL;
use crate::pipeline::session::Session;
use crate::pipeline::step::StepFailure;
use crate::quarantine;
use crate::retry::AbandonReason;
use crate::retry::Attempt;
use crate::retry::Decision;
use crate::routing;
use crate::upstreams::Report;
use crate::verdict::Verdict;
use kelpworks_wire::RefusalReason;

/// Bounds the doublings of [`NO_PATH_RETRY_INTERVAL`] while an upstream without replacement fails.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Wait before a retry that exceeds the retry budget.
const OVER_BUDGET_BACKOFF: Duration = Duration::from_secs(1);
/// Bounds the recoveries of a session that has sent nothing, while the retry budget is exhausted.
const MAX_RECOVERIES_OVER_BUDGET: u32 = 2;
/// Bounds the recoveries of a session that has sent tokens. One that fails more often has a fault
/// that a retry does not resolve.
const MAX_RECOVERIES: u32 = 32;

impl<E: Engine> Driver<E> {
    fn decide(&self, attempt: &Attempt) -> Decision {
        lock(&self.retries).decide(self.start.elapsed(), attempt, &mut rand::rng())
    }

    /// Records that an upstream refused a step for lack of capacity. Returns the time left of its
    /// cooldown.
    pub(super) fn start_cooldown(&self, upstream: UpstreamKey, after: Duration) -> Duration {
        let fleet = self.fleet.load();
        let Some(counters) = fleet.upstreams.get(upstream).map(|u| &u.counters) else {
            return after;
        };
        let now_ms = self.now_ms();
        lock(&self.cooldowns).record_refusal(upstream, counters, after, now_ms, &mut rand::rng())
    }

    /// Ends the cooldown of an upstream, if any, because it has served a step.
    pub(super) fn end_cooldown(&self, upstream: UpstreamKey, counters: &Counters) {
        if counters.busy_until_ms.load(Ordering::Relaxed) != 0 {
            lock(&self.cooldowns).clear_cooldown(upstream, counters);
        }
    }
}

/// Locks a mutex, even a poisoned one: its value is changed by single calls only, so a panic of
/// another task leaves it consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<E: Engine> Session<'_, E> {
    /// Handles the failure of a stage, so that the session can continue. Returns an error when the
    /// session must end.
    pub(super) async fn recover(&mut self, stage: usize, failure: StepFailure) -> Result<()> {
        let upstream = self.hops[stage].upstream;
        let name = Arc::clone(&self.hops[stage].name);
        info!(
            target: "decision", decision = "recover", request = self.params.session.as_str(),
            upstream = &*name, position = self.hops[stage].positions_run,
            reason = failure.to_string();
            "stage failed"
        );
        if !matches!(failure, StepFailure::Busy(_) | StepFailure::Quarantined(_)) {
            self.before_retry(upstream, &failure).await?;
        }
        match failure {
            // Waiting for capacity does not count as a recovery; only the deadline bounds it.
            StepFailure::Busy(after) => self.wait_or_move(stage, after).await,
            StepFailure::Quarantined(refusal) => Err(SessionError::Quarantined(refusal)),
            StepFailure::Refused {
                reason: RefusalReason::PositionGap,
                ..
            }
            | StepFailure::ReplyLost => {
                self.restart_stage(stage);
                Ok(())
            }
            StepFailure::Refused {
                reason: RefusalReason::HandleMissing,
                ..
            } => self.recover_failed_fetch(stage).await,
            StepFailure::Refused {
                reason: RefusalReason::Invalid,
                ..
            } => Err(SessionError::Stage(failure)),
            StepFailure::Refused { .. } => self.move_off(upstream, "stage refused").await,
            StepFailure::Unreachable
            | StepFailure::Silent
            | StepFailure::Broken
            | StepFailure::Gone
            | StepFailure::Restarted => self.move_off(upstream, "stage died").await,
            StepFailure::Mismatch => self.move_off(upstream, "reply of another step").await,
        }
    }

    /// Handles a busy upstream: a stage that has run no position moves to another one; a stage with
    /// state waits for the cooldown.
    async fn wait_or_move(&mut self, stage: usize, after: Duration) -> Result<()> {
        let busy = self.hops[stage].upstream;
        let left = self.driver.start_cooldown(busy, after);
        if self.hops[stage].positions_run == 0 {
            self.avoid(busy);
            self.route("stage busy").await?;
        }
        if self.hops.iter().any(|h| h.upstream == busy) {
            tokio::time::sleep(left).await;
        }
        Ok(())
    }

    /// Moves the session off an upstream that failed. When no other upstream can replace it, waits
    /// with exponential backoff before the failed one is tried again.
    async fn move_off(&mut self, upstream: UpstreamKey, reason: &'static str) -> Result<()> {
        self.avoid(upstream);
        self.route(reason).await?;
        if self.hops.iter().any(|h| h.upstream == upstream) {
            let doublings = self.recoveries.min(MAX_BACKOFF_DOUBLINGS);
            tokio::time::sleep(jittered(NO_PATH_RETRY_INTERVAL * (1 << doublings))).await;
        }
        Ok(())
    }

    /// Makes the session use an upstream only when no other can run its layers.
    pub(super) fn avoid(&mut self, upstream: UpstreamKey) {
        if !self.avoid.contains(&upstream) {
            self.avoid.push(upstream);
        }
    }

    /// Restarts a stage whose state is lost or unknown from position 0, as a new lineage.
    fn restart_stage(&mut self, stage: usize) {
        let hop = &mut self.hops[stage];
        self.abandoned.push(hop.clone());
        hop.attempt = self.next_attempt;
        hop.positions_run = 0;
        hop.rows.clear();
        self.next_attempt += 1;
    }

    /// Handles a stage that could not fetch its input from the previous stage.
    ///
    /// The first failure may be due to a dead connection between the engines, so the step is sent
    /// again, which opens a new one. After the second, the previous stage may have lost its
    /// outputs, and is restarted where it is. After further failures, the link may be down at
    /// either end, so the previous stage and this one move to other upstreams alternately.
    async fn recover_failed_fetch(&mut self, stage: usize) -> Result<()> {
        let previous_stage = stage.saturating_sub(1);
        self.failed_fetches += 1;
        match self.failed_fetches {
            1 => Ok(()),
            2 => {
                self.restart_stage(previous_stage);
                Ok(())
            }
            n if n % 2 == 1 => {
                let upstream = self.hops[previous_stage].upstream;
                self.move_off(upstream, "output can't be fetched").await
            }
            _ => {
                let upstream = self.hops[stage].upstream;
                self.move_off(upstream, "input can't be fetched").await
            }
        }
    }

    /// Prepares a retry after a failure: reports a dead upstream, ends the session when its request
    /// is refused by the quarantine or may not be retried, and waits for the backoff.
    pub(super) async fn before_retry(
        &mut self,
        upstream: UpstreamKey,
        failure: &StepFailure,
    ) -> Result<()> {
        let upstream_died = matches!(
            failure,
            StepFailure::Unreachable
                | StepFailure::Silent
                | StepFailure::Broken
                | StepFailure::Gone
                | StepFailure::Restarted
        );
        if upstream_died {
            let _ = self.driver.reports.send(Report::Suspect(upstream));
        }
        let checked = self.driver.quarantine.check(self.job.fingerprint);
        if let Err(refusal @ quarantine::Refusal::Crashes { .. }) = checked {
            return Err(SessionError::Quarantined(refusal));
        }
        self.recoveries += 1;
        let delay = self.retry_delay(failure)?;
        tokio::time::sleep(delay).await;
        Ok(())
    }

    /// Returns the wait before the session continues after a failure of a stage.
    ///
    /// When the retry budget is exhausted, the session still continues, with the longest backoff. A
    /// session whose caller has part of the answer does so until its deadline or for
    /// [`MAX_RECOVERIES`]. A session that has sent nothing does so for
    /// [`MAX_RECOVERIES_OVER_BUDGET`] and then fails at once. So no session fails when a host is
    /// lost that ran more sessions than the budget has retries, and a stage that fails every step
    /// gets a bounded number of steps per session.
    fn retry_delay(&self, failure: &StepFailure) -> Result<Duration> {
        let attempt = Attempt {
            verdict: match failure {
                StepFailure::Unreachable | StepFailure::Refused { .. } => Verdict::NotRun,
                _ => Verdict::MayHaveRun,
            },
            // Engines refuse positions that they have run, and no token is sent twice to the
            // caller.
            idempotent: true,
            attempts: self.recoveries,
            time_left: self.job.deadline.saturating_duration_since(Instant::now()),
        };
        let decision = self.driver.decide(&attempt);
        let sent = self.has_sent();
        match decision {
            Decision::RetryAfter(delay) => Ok(delay),
            Decision::Abandon(_) if sent && self.recoveries <= MAX_RECOVERIES => {
                Ok(jittered(OVER_BUDGET_BACKOFF))
            }
            Decision::Abandon(AbandonReason::Budget)
                if self.recoveries <= MAX_RECOVERIES_OVER_BUDGET =>
            {
                Ok(jittered(OVER_BUDGET_BACKOFF))
            }
            Decision::Abandon(reason) => {
                let failure = failure.clone();
                Err(SessionError::Retries { failure, reason })
            }
        }
    }

    /// Records in the retry budget and the quarantine that the answer is complete.
    pub(super) fn record_success(&self) {
        lock(&self.driver.retries).record_success();
        let token_count = self.token_ids.len() as u32;
        self.driver
            .quarantine
            .record_progress(self.job.fingerprint, token_count, true);
    }

    /// Returns the upstreams that a request suspected of crashing upstreams should not move to:
    /// those on the paths of other suspects, and all in the failure domain of the upstream that
    /// died while it ran the request, since they may fail for the same reason. Upstreams in `keep`
    /// are excluded. Empty for other requests.
    pub(super) fn avoided_by_suspect(
        &self,
        fleet: &Fleet,
        keep: &[routing::Hop],
    ) -> Vec<UpstreamKey> {
        let hints = self.driver.quarantine.routing_hints(self.job.fingerprint);
        let mut avoided = hints.occupied;
        if let Some(crashed) = hints.crashed.and_then(|key| fleet.upstreams.get(key)) {
            let same_domain = fleet.upstreams.iter();
            let same_domain = same_domain.filter(|(_, u)| u.domain == crashed.domain);
            avoided.extend(same_domain.map(|(key, _)| key));
        }
        avoided.retain(|key| keep.iter().all(|h| h.upstream != *key));
        avoided
    }
}
