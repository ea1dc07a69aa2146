//! Waits for data of a stream, and attributes a stall to engines of its path.

use std::time::Duration;

use kelpworks::sync::lock;
use kelpworks::verdict::Verdict;
use tokio::time::Instant;

use super::Failure;
use super::RunningPath;
use super::StreamRelay;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::adapter::LayerRange;
use crate::fleet::UpstreamKey;
use crate::reach::Evidence;
use crate::shared::Shared;
use crate::suspect_checks::CHECK_AFTER;
use crate::suspect_checks::CheckTimes;

/// Time without data after which a stream counts as stalled at the engines of its path that have
/// shown no progress since: more than two typical pauses between events (20 to 30 ms).
const STALL_COUNTED_AFTER: Duration = Duration::from_millis(70);
/// Time without data after which the engines with the most stalled streams are ejected, and between
/// further checks: early enough that another path can continue within a pause of 250 ms. This and
/// `STALL_COUNTED_AFTER` are scaled up while all streams are slow, when moving streams would only
/// add prompts to be read again.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(130);
/// Added to both times before the first event: reading a prompt on slow engines takes up to this.
const PROMPT_ALLOWANCE: Duration = Duration::from_millis(80);
/// Further allowance for each token of the prompt, in microseconds.
const PROMPT_ALLOWANCE_PER_TOKEN_US: u64 = 60;
/// Time without data after which a stream is moved although all engines of its path make progress
/// for other streams; callers leave after 2 s.
const MAX_STALL: Duration = Duration::from_millis(1_200);

/// Time without data after which a stream is moved although its engines accept connections: a pause that makes it
/// late, so that patience no longer saves it, and short enough for another path before its caller leaves.
const MAX_LIVE_STALL: Duration = Duration::from_millis(500);
/// Maximum factor on the time after which engines are checked, so that a stream rerouted by a finding is on time.
const MAX_CHECK_SLOWNESS: f64 = 1.8;

/// Result of a wait.
enum WaitResult<T> {
    Done(T),
    Stalled(Stall),
}

/// A stream that seems to have stopped.
pub(super) struct Stall {
    /// Engines that are likely at fault; empty if all make progress for other streams.
    pub(super) faulty: Vec<UpstreamKey>,
    reason: &'static str,
}

/// Times at which a stall is counted and checked.
struct StallTimer {
    /// When data last arrived, or the request or a reroute order was sent.
    since: Instant,
    /// When the stream starts to count as stalled.
    count_at: Instant,
    /// When engines are next checked for fault.
    next_check: Instant,
    /// Time between two of these checks.
    check_interval: Duration,
    /// When engines are checked by connection, and when the findings are looked up.
    checks: CheckTimes,
}

impl StallTimer {
    /// Starts at `since`, with an allowance for reading a prompt.
    fn new(shared: &Shared, since: Instant, prompt_time: Duration) -> StallTimer {
        let slowness = shared.slowness();
        let check_interval = STALL_CHECK_INTERVAL.mul_f64(slowness);
        let prompt_allowance = prompt_time;
        let prompt_time = prompt_time.mul_f64(slowness);
        // Engines are not checked for every pause that a slow fleet makes.
        let check_after = CHECK_AFTER.mul_f64(slowness.min(MAX_CHECK_SLOWNESS));
        StallTimer {
            since,
            count_at: since + STALL_COUNTED_AFTER.mul_f64(slowness) + prompt_time,
            next_check: since + check_interval + prompt_time,
            check_interval,
            checks: CheckTimes::new(since + check_after + prompt_allowance),
        }
    }
}

/// Counts a stalled stream at the suspect engines until dropped.
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
    /// Waits for the first data of an attempt. Fails when the stream has stalled and another
    /// attempt is allowed; otherwise keeps waiting.
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

    /// Waits for more data of a stream. When the stream has stalled, it is rerouted around the
    /// faulty engines; if that is not possible, fails if another attempt is allowed.
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

    /// Waits for `work` to finish, or for a stall.
    async fn wait_until_stalled<T>(
        &self,
        work: &mut (impl Future<Output = T> + Unpin),
        parts: &[(UpstreamKey, LayerRange)],
        timer: &mut StallTimer,
    ) -> Result<WaitResult<T>, Failure> {
        if self.inbound.is_contended() {
            for at in timer.checks.by_ref() {
                if let Some(done) = self.wait_until(work, at).await? {
                    return Ok(WaitResult::Done(done));
                }
                if let Some(stall) = self.find_ended(parts, timer.since) {
                    return Ok(WaitResult::Stalled(stall));
                }
            }
        }
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
            if self.inbound.is_contended() {
                if let Some(stall) = self.find_ended(parts, since) {
                    return Ok(WaitResult::Stalled(stall));
                }
                if self.is_probably_alive(parts, since) {
                    continue;
                }
            }
            if let Some(stall) = self.eject_suspects(parts, since) {
                return Ok(WaitResult::Stalled(stall));
            }
        }
    }

    /// Waits for `work` until `at`; `None` at `at`, an error once the request's deadline has
    /// passed.
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

    /// Returns a stall if engines of the path that have shown no progress were found to have ended, by a check of
    /// this daemon or of a peer; else has them checked.
    fn find_ended(&self, parts: &[(UpstreamKey, LayerRange)], since: Instant) -> Option<Stall> {
        let now = Instant::now();
        let suspects = self.shared.fleet().unconfirmed(parts, since, now);
        let mut faulty = self.shared.suspect_checks().ended(&suspects, now);
        let mut fleet = self.shared.fleet();
        for &key in &faulty {
            fleet.eject_ended(key, now);
        }
        for key in fleet.unreachable(&suspects, now) {
            if !faulty.contains(&key) {
                faulty.push(key);
            }
        }
        drop(fleet);
        if faulty.is_empty() {
            self.shared.check_engines(&suspects);
            return None;
        }
        Some(Stall {
            faulty,
            reason: "engines ended",
        })
    }

    /// Whether all engines of the path that have shown no progress accept connections, and the stall has not lasted
    /// so long that one of them must be stuck.
    fn is_probably_alive(&self, parts: &[(UpstreamKey, LayerRange)], since: Instant) -> bool {
        let now = Instant::now();
        if now.duration_since(since) >= MAX_LIVE_STALL {
            return false;
        }
        let suspects = self.shared.fleet().unconfirmed(parts, since, now);
        self.shared.suspect_checks().all_accept(&suspects, now)
    }

    /// Ejects the engines likely at fault for a stall; `None` if there are none before `MAX_STALL`.
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
        // A stalled path is one failure, whichever of its engines caused it.
        if let Some(&key) = faulty.first() {
            self.record_link_failure(key, Evidence::Broken);
        }
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

    /// Fails if another attempt is allowed and there is a path or a daemon for it; its permit is then
    /// acquired.
    fn fail_if_retry_allowed(&self, stall: &Stall) -> Result<(), Failure> {
        // Streams that stall for lack of a retry come here several times a second, so the search for a path is last.
        if !self.may_retry(Verdict::MayHaveRun) {
            return Ok(());
        }
        let has_way = self.prefers_peer() || (self.has_engine_left() && self.choose().is_ok());
        if !has_way {
            drop(lock(&self.retry).take());
            return Ok(());
        }
        Err(Failure {
            retry_permitted: true,
            ..Failure::new(Verdict::MayHaveRun, stall.reason)
        })
    }

    /// Returns the time that reading the prompt may take.
    fn prompt_allowance(&self) -> Duration {
        let tokens = u64::from(self.inbound.head.prompt_tokens.unwrap_or(0));
        PROMPT_ALLOWANCE + Duration::from_micros(tokens * PROMPT_ALLOWANCE_PER_TOKEN_US)
    }
}
