//! What bounds the recoveries of a session: quarantine, retry budget and cooldowns.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::border::engine::Engine;
use crate::fleet::Counters;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::pipeline::driver::Driver;
use crate::pipeline::driver::Ending;
use crate::pipeline::driver::Result;
use crate::pipeline::driver::Session;
use crate::pipeline::driver::jittered;
use crate::pipeline::step::StepFailure;
use crate::quarantine;
use crate::retry::Attempt;
use crate::retry::Decision;
use crate::routing;
use crate::upstreams::Report;
use crate::verdict::Verdict;

/// Wait before a session over the retry budget goes on.
const SLOWEST_BACKOFF: Duration = Duration::from_secs(1);
/// Most recoveries of one session; above it something is wrong that another try won't mend.
const MAX_RECOVERIES: u32 = 32;

impl<E: Engine> Driver<E> {
    fn decide(&self, attempt: &Attempt) -> Decision {
        lock(&self.retries).decide(self.start.elapsed(), attempt, &mut rand::rng())
    }

    /// Notes that an upstream refused for want of capacity; what is left of its cooldown.
    pub(super) fn cool(&self, upstream: UpstreamKey, after: Duration) -> Duration {
        let fleet = self.fleet.load();
        let Some(counters) = fleet.upstreams.get(upstream).map(|u| &u.counters) else {
            return after;
        };
        let now_ms = self.now_ms();
        lock(&self.cooldowns).refused(upstream, counters, after, now_ms, &mut rand::rng())
    }

    /// Notes that an upstream served; it cools no longer.
    pub(super) fn served(&self, upstream: UpstreamKey, counters: &Counters) {
        if counters.busy_until_ms.load(Ordering::Relaxed) != 0 {
            lock(&self.cooldowns).served(upstream, counters);
        }
    }
}

/// Locks; what is behind it is changed by single calls only, so a panic elsewhere leaves it whole.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<E: Engine> Session<'_, E> {
    /// What goes before any other try: the failure is reported, the session may end here, and a
    /// wait keeps tries apart.
    pub(super) async fn before_retry(
        &mut self,
        upstream: UpstreamKey,
        failure: &StepFailure,
    ) -> Result<()> {
        let dead = matches!(
            failure,
            StepFailure::Unreachable
                | StepFailure::Silent
                | StepFailure::Broken
                | StepFailure::Restarted
        );
        if dead {
            let _ = self.driver.reports.send(Report::Suspect(upstream));
        }
        let checked = self.driver.quarantine.check(self.job.fingerprint);
        if let Err(refusal @ quarantine::Refusal::Crashes { .. }) = checked {
            return Err(Ending::Quarantined(refusal));
        }
        self.recoveries += 1;
        let delay = self.back_off(failure)?;
        tokio::time::sleep(delay).await;
        Ok(())
    }

    /// How long to wait before the session goes on after a failure of a stage.
    ///
    /// Over the budget a session that has sent nothing ends, with its final answer at once. One
    /// whose caller has part of the answer goes on, at the slowest rate: only its deadline and
    /// [`MAX_RECOVERIES`] bound it.
    fn back_off(&self, failure: &StepFailure) -> Result<Duration> {
        let attempt = Attempt {
            verdict: match failure {
                StepFailure::Unreachable | StepFailure::Refused { .. } => Verdict::NotRun,
                _ => Verdict::MayHaveRun,
            },
            // An engine refuses positions that it has run, and no token is sent twice.
            idempotent: true,
            attempts: self.recoveries,
            left: self.job.deadline.saturating_duration_since(Instant::now()),
        };
        let decision = self.driver.decide(&attempt);
        let sent = self.known.len() > self.job.prompt.len();
        match decision {
            Decision::RetryAt(delay) => Ok(delay),
            Decision::GiveUp(_) if sent && self.recoveries <= MAX_RECOVERIES => {
                Ok(jittered(SLOWEST_BACKOFF))
            }
            Decision::GiveUp(reason) => {
                let failure = failure.clone();
                Err(Ending::Retries { failure, reason })
            }
        }
    }

    /// Notes that the answer is whole.
    pub(super) fn succeeded(&self) {
        lock(&self.driver.retries).succeeded();
        let known = self.known.len() as u32;
        self.driver
            .quarantine
            .reached(self.job.fingerprint, known, true);
    }

    /// Upstreams that a suspect had better not move to: those where others run, and all in the
    /// failure domain of the one that died with it, which may die for the same reason. Never one
    /// that keeps its place.
    pub(super) fn apart_from(&self, fleet: &Fleet, keep: &[routing::Hop]) -> Vec<UpstreamKey> {
        let places = self.driver.quarantine.places(self.job.fingerprint);
        let mut apart = places.occupied;
        if let Some(crashed) = places.crashed.and_then(|key| fleet.upstreams.get(key)) {
            let same = fleet.upstreams.iter();
            let same = same.filter(|(_, u)| u.domain == crashed.domain);
            apart.extend(same.map(|(key, _)| key));
        }
        apart.retain(|key| keep.iter().all(|h| h.upstream != *key));
        apart
    }
}
