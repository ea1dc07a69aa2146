//! Waiting for a stream, and what its silence says about the engines of its path.

use std::time::Duration;

use kelpworks::verdict::Verdict;
use tokio::time::Instant;

use super::Course;
use super::Failure;
use super::Relayed;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::adapter::LayerRange;
use crate::fleet::UpstreamKey;
use crate::shared::Shared;

/// Silence after which a stream counts against the unconfirmed engines of its path: more than two
/// usual pauses between events (20 to 30 ms).
const NOTICED: Duration = Duration::from_millis(70);
/// Silence after which the engines with the most silent streams are suspected: early enough that
/// another path can go on within a pause of 250 ms. Both are stretched while all streams are slow:
/// moving them then would only add prompts to be read again.
const SILENT: Duration = Duration::from_millis(130);
/// Added to both before the first event: reading a prompt over slow engines takes up to this.
const READING: Duration = Duration::from_millis(80);
/// Added for each token of the prompt, in microseconds.
const READING_TOKEN_US: u64 = 60;
/// Silence after which a stream moves although all engines of its path work for others; callers
/// leave after 2 s.
const STUCK: Duration = Duration::from_millis(1_200);

/// What a wait came to.
enum Waited<T> {
    Done(T),
    Silent(Stop),
}

/// A stream that seems to have stopped.
pub(super) struct Stop {
    /// Engines that are likely to blame; none where all seem to work for others.
    pub(super) culprits: Vec<UpstreamKey>,
    why: &'static str,
}

/// How long a silence is borne.
struct Patience {
    /// When something last came.
    since: Instant,
    /// From then on it counts against engines.
    noticed: Instant,
    /// When engines are suspected next.
    next: Instant,
    /// Time between two looks for the engines to blame.
    silent: Duration,
}

impl Patience {
    /// From a moment on, with an allowance for reading a prompt.
    fn new(shared: &Shared, since: Instant, reading: Duration) -> Patience {
        let slowness = shared.slowness();
        let silent = SILENT.mul_f64(slowness);
        let reading = reading.mul_f64(slowness);
        Patience {
            since,
            noticed: since + NOTICED.mul_f64(slowness) + reading,
            next: since + silent + reading,
            silent,
        }
    }
}

/// Engines that a silent stream counts against, until dropped.
struct Silence<'a> {
    shared: &'a Shared,
    suspects: Vec<UpstreamKey>,
}

impl<'a> Silence<'a> {
    fn note(shared: &'a Shared, suspects: Vec<UpstreamKey>) -> Silence<'a> {
        let mut fleet = shared.fleet();
        for &key in &suspects {
            fleet.count_stalled_stream(key, 1);
        }
        Silence { shared, suspects }
    }
}

impl Drop for Silence<'_> {
    fn drop(&mut self) {
        let mut fleet = self.shared.fleet();
        for &key in &self.suspects {
            fleet.count_stalled_stream(key, -1);
        }
    }
}

impl<D: Adapter, E: EngineApi> Relayed<D, E> {
    /// Waits for the first word of an attempt. Fails when engines of the path seem to have stopped
    /// and another attempt is allowed; without one, waiting on is all that is left.
    pub(super) async fn wait_for_first<T>(
        &self,
        work: impl Future<Output = T>,
        parts: &[(UpstreamKey, LayerRange)],
        since: Instant,
    ) -> Result<T, Failure> {
        tokio::pin!(work);
        let mut patience = Patience::new(&self.shared, since, self.reading_time());
        loop {
            match self.until_silent(&mut work, parts, &mut patience).await? {
                Waited::Done(done) => return Ok(done),
                Waited::Silent(stop) => self.may_move(&stop)?,
            }
        }
    }

    /// Waits for the next events of a stream. When engines of the path seem to have stopped, the path
    /// is changed while the request runs; where that can't be done, it fails if another attempt is
    /// allowed.
    pub(super) async fn wait_for_more<T>(
        &self,
        work: impl Future<Output = T>,
        course: &mut Course,
        since: Instant,
    ) -> Result<T, Failure> {
        tokio::pin!(work);
        let mut patience = Patience::new(&self.shared, since, Duration::ZERO);
        loop {
            let parts = &course.parts;
            match self.until_silent(&mut work, parts, &mut patience).await? {
                Waited::Done(done) => return Ok(done),
                Waited::Silent(stop) => {
                    if self.reroute(course, &stop.culprits).await {
                        let now = Instant::now();
                        patience = Patience::new(&self.shared, now, self.reading_time());
                        continue;
                    }
                    self.may_move(&stop)?;
                }
            }
        }
    }

    /// Waits until engines of the path seem to have stopped.
    async fn until_silent<T>(
        &self,
        work: &mut (impl Future<Output = T> + Unpin),
        parts: &[(UpstreamKey, LayerRange)],
        patience: &mut Patience,
    ) -> Result<Waited<T>, Failure> {
        if let Some(done) = self.until(work, patience.noticed).await? {
            return Ok(Waited::Done(done));
        }
        let since = patience.since;
        let suspects = self
            .shared
            .fleet()
            .unconfirmed(parts, since, Instant::now());
        let _silence = Silence::note(&self.shared, suspects);
        loop {
            if let Some(done) = self.until(work, patience.next).await? {
                return Ok(Waited::Done(done));
            }
            patience.next += patience.silent;
            if let Some(stop) = self.suspect(parts, since) {
                return Ok(Waited::Silent(stop));
            }
        }
    }

    /// Waits until a moment; `None` when it comes first.
    async fn until<T>(
        &self,
        work: &mut (impl Future<Output = T> + Unpin),
        at: Instant,
    ) -> Result<Option<T>, Failure> {
        let at = at.min(self.ticket.deadline);
        tokio::select! {
            done = work => return Ok(Some(done)),
            () = tokio::time::sleep_until(at) => {}
        }
        match self.ticket.left().is_zero() {
            true => Err(Failure::new(Verdict::MayHaveRun, "out of time")),
            false => Ok(None),
        }
    }

    /// Passes the likely culprits of a silence over; `None` when there is none yet.
    fn suspect(&self, parts: &[(UpstreamKey, LayerRange)], since: Instant) -> Option<Stop> {
        let now = Instant::now();
        let stuck = now.duration_since(since) >= STUCK;
        let culprits = {
            let mut fleet = self.shared.fleet();
            let suspects = fleet.unconfirmed(parts, since, now);
            let culprits = fleet.most_stalled(&suspects);
            fleet.eject_one_of(&culprits, now);
            culprits
        };
        match (culprits.is_empty(), stuck) {
            (true, false) => None,
            (true, true) => Some(Stop {
                culprits,
                why: "stream stuck",
            }),
            (false, _) => Some(Stop {
                culprits,
                why: "engines silent",
            }),
        }
    }

    /// Fails when the request is to go on by another attempt, which is allowed then.
    fn may_move(&self, stop: &Stop) -> Result<(), Failure> {
        if self.choose().is_ok() && self.may_go_on(Verdict::MayHaveRun) {
            return Err(Failure {
                permitted: true,
                ..Failure::new(Verdict::MayHaveRun, stop.why)
            });
        }
        Ok(())
    }

    /// Time that reading the prompt may take before the first event.
    fn reading_time(&self) -> Duration {
        let tokens = u64::from(self.ticket.head.prompt_tokens.unwrap_or(0));
        READING + Duration::from_micros(tokens * READING_TOKEN_US)
    }
}
