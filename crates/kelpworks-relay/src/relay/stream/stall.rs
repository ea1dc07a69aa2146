//! Waiting for a stream, and what its silence says about the engines of its path.

use std::time::Duration;

use kelpworks::verdict::Verdict;
use tokio::time::Instant;

use super::Failure;
use super::RunningPath;
use super::StreamRelay;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::adapter::LayerRange;
use crate::fleet::UpstreamKey;
use crate::shared::Shared;

/// Silence after which a stream counts against the unconfirmed engines of its path: more than two
/// usual pauses between events (20 to 30 ms).
const STALL_COUNTED_AFTER: Duration = Duration::from_millis(70);
/// Silence after which the engines with the most silent streams are suspected: early enough that
/// another path can go on within a pause of 250 ms. Both are stretched while all streams are slow:
/// moving them then would only add prompts to be read again.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(130);
/// Added to both before the first event: reading a prompt over slow engines takes up to this.
const PROMPT_ALLOWANCE: Duration = Duration::from_millis(80);
/// Added for each token of the prompt, in microseconds.
const PROMPT_ALLOWANCE_PER_TOKEN_US: u64 = 60;
/// Silence after which a stream moves although all engines of its path work for others; callers
/// leave after 2 s.
const MAX_STALL: Duration = Duration::from_millis(1_200);

/// What a wait came to.
enum WaitResult<T> {
    Done(T),
    Stalled(Stall),
}

/// A stream that seems to have stopped.
pub(super) struct Stall {
    /// Engines that are likely to blame; none where all seem to work for others.
    pub(super) faulty: Vec<UpstreamKey>,
    reason: &'static str,
}

/// How long a silence is borne.
struct StallTimer {
    /// When something last came.
    since: Instant,
    /// From then on it counts against engines.
    count_at: Instant,
    /// When engines are suspected next.
    next_check: Instant,
    /// Time between two looks for the engines to blame.
    check_interval: Duration,
}

impl StallTimer {
    /// From a moment on, with an allowance for reading a prompt.
    fn new(shared: &Shared, since: Instant, prompt_time: Duration) -> StallTimer {
        let slowness = shared.slowness();
        let check_interval = STALL_CHECK_INTERVAL.mul_f64(slowness);
        let prompt_time = prompt_time.mul_f64(slowness);
        StallTimer {
            since,
            count_at: since + STALL_COUNTED_AFTER.mul_f64(slowness) + prompt_time,
            next_check: since + check_interval + prompt_time,
            check_interval,
        }
    }
}

/// Engines that a silent stream counts against, until dropped.
struct StallCount<'a> {
    shared: &'a Shared,
    suspects: Vec<UpstreamKey>,
}

impl<'a> StallCount<'a> {
    fn count(shared: &'a Shared, suspects: Vec<UpstreamKey>) -> StallCount<'a> {
        let mut fleet = shared.fleet();
        for &key in &suspects {
            fleet.count_stalled_stream(key, 1);
        }
        StallCount { shared, suspects }
    }
}

impl Drop for StallCount<'_> {
    fn drop(&mut self) {
        let mut fleet = self.shared.fleet();
        for &key in &self.suspects {
            fleet.count_stalled_stream(key, -1);
        }
    }
}

impl<D: Adapter, E: EngineApi> StreamRelay<D, E> {
    /// Waits for the first word of an attempt. Fails when engines of the path seem to have stopped
    /// and another attempt is allowed; without one, waiting on is all that is left.
    pub(super) async fn wait_for_first<T>(
        &self,
        work: impl Future<Output = T>,
        parts: &[(UpstreamKey, LayerRange)],
        since: Instant,
    ) -> Result<T, Failure> {
        tokio::pin!(work);
        let mut timer = StallTimer::new(&self.shared, since, self.prompt_allowance());
        loop {
            match self
                .wait_until_stalled(&mut work, parts, &mut timer)
                .await?
            {
                WaitResult::Done(done) => return Ok(done),
                WaitResult::Stalled(stall) => self.fail_if_retry_allowed(&stall)?,
            }
        }
    }

    /// Waits for the next events of a stream. When engines of the path seem to have stopped, the path
    /// is changed while the request runs; where that can't be done, it fails if another attempt is
    /// allowed.
    pub(super) async fn wait_for_more<T>(
        &self,
        work: impl Future<Output = T>,
        running_path: &mut RunningPath,
        since: Instant,
    ) -> Result<T, Failure> {
        tokio::pin!(work);
        let mut timer = StallTimer::new(&self.shared, since, Duration::ZERO);
        loop {
            let parts = &running_path.parts;
            match self
                .wait_until_stalled(&mut work, parts, &mut timer)
                .await?
            {
                WaitResult::Done(done) => return Ok(done),
                WaitResult::Stalled(stall) => {
                    if self.reroute(running_path, &stall.faulty).await {
                        let now = Instant::now();
                        timer = StallTimer::new(&self.shared, now, self.prompt_allowance());
                        continue;
                    }
                    self.fail_if_retry_allowed(&stall)?;
                }
            }
        }
    }

    /// Waits until engines of the path seem to have stopped.
    async fn wait_until_stalled<T>(
        &self,
        work: &mut (impl Future<Output = T> + Unpin),
        parts: &[(UpstreamKey, LayerRange)],
        timer: &mut StallTimer,
    ) -> Result<WaitResult<T>, Failure> {
        if let Some(done) = self.wait_until(work, timer.count_at).await? {
            return Ok(WaitResult::Done(done));
        }
        let since = timer.since;
        let suspects = self
            .shared
            .fleet()
            .unconfirmed(parts, since, Instant::now());
        let _stall_count = StallCount::count(&self.shared, suspects);
        loop {
            if let Some(done) = self.wait_until(work, timer.next_check).await? {
                return Ok(WaitResult::Done(done));
            }
            timer.next_check += timer.check_interval;
            if let Some(stall) = self.eject_suspects(parts, since) {
                return Ok(WaitResult::Stalled(stall));
            }
        }
    }

    /// Waits until a moment; `None` when it comes first.
    async fn wait_until<T>(
        &self,
        work: &mut (impl Future<Output = T> + Unpin),
        at: Instant,
    ) -> Result<Option<T>, Failure> {
        let at = at.min(self.inbound.deadline);
        tokio::select! {
            done = work => return Ok(Some(done)),
            () = tokio::time::sleep_until(at) => {}
        }
        match self.inbound.remaining().is_zero() {
            true => Err(Failure::new(Verdict::MayHaveRun, "out of time")),
            false => Ok(None),
        }
    }

    /// Passes the likely culprits of a silence over; `None` when there is none yet.
    fn eject_suspects(&self, parts: &[(UpstreamKey, LayerRange)], since: Instant) -> Option<Stall> {
        let now = Instant::now();
        let is_over_limit = now.duration_since(since) >= MAX_STALL;
        let faulty = {
            let mut fleet = self.shared.fleet();
            let suspects = fleet.unconfirmed(parts, since, now);
            let faulty = fleet.most_stalled(&suspects);
            fleet.eject_one_of(&faulty, now);
            faulty
        };
        match (faulty.is_empty(), is_over_limit) {
            (true, false) => None,
            (true, true) => Some(Stall {
                faulty,
                reason: "stream stuck",
            }),
            (false, _) => Some(Stall {
                faulty,
                reason: "engines silent",
            }),
        }
    }

    /// Fails when the request is to go on by another attempt, which is allowed then.
    fn fail_if_retry_allowed(&self, stall: &Stall) -> Result<(), Failure> {
        if self.choose().is_ok() && self.may_retry(Verdict::MayHaveRun) {
            return Err(Failure {
                retry_permitted: true,
                ..Failure::new(Verdict::MayHaveRun, stall.reason)
            });
        }
        Ok(())
    }

    /// Time that reading the prompt may take before the first event.
    fn prompt_allowance(&self) -> Duration {
        let tokens = u64::from(self.inbound.head.prompt_tokens.unwrap_or(0));
        PROMPT_ALLOWANCE + Duration::from_micros(tokens * PROMPT_ALLOWANCE_PER_TOKEN_US)
    }
}
