//! Waiting for a stream, and what its silence says about the engines of its path.

use std::time::Duration;

use kelpworks::verdict::Verdict;
use tokio::time::Instant;

use super::Failure;
use super::Relayed;
use crate::dialect::Dialect;
use crate::dialect::LayerRange;
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

/// Engines that a silent stream counts against, until dropped.
struct Silence<'a> {
    shared: &'a Shared,
    suspects: Vec<UpstreamKey>,
}

impl<'a> Silence<'a> {
    fn note(shared: &'a Shared, suspects: Vec<UpstreamKey>) -> Silence<'a> {
        let mut fleet = shared.fleet();
        for &key in &suspects {
            fleet.note_silent(key, 1);
        }
        Silence { shared, suspects }
    }
}

impl Drop for Silence<'_> {
    fn drop(&mut self) {
        let mut fleet = self.shared.fleet();
        for &key in &self.suspects {
            fleet.note_silent(key, -1);
        }
    }
}

impl<D: Dialect> Relayed<D> {
    /// Waits for something of this attempt. Fails when engines of the path seem to have stopped and
    /// another attempt is allowed; without one, waiting on is all that is left.
    pub(super) async fn wait<T>(
        &self,
        work: impl Future<Output = T>,
        parts: &[(UpstreamKey, LayerRange)],
        since: Instant,
        begun: bool,
    ) -> Result<T, Failure> {
        tokio::pin!(work);
        let reading = match begun {
            true => Duration::ZERO,
            false => self.reading_time(),
        };
        let slowness = self.shared.slowness();
        let silent = SILENT.mul_f64(slowness);
        let reading = reading.mul_f64(slowness);
        let noticed = since + NOTICED.mul_f64(slowness) + reading;
        if let Some(done) = self.until(&mut work, noticed).await? {
            return Ok(done);
        }
        let now = Instant::now();
        let suspects = self.shared.fleet().unconfirmed(parts, since, now);
        let _silence = Silence::note(&self.shared, suspects);
        let mut at = since + silent + reading;
        loop {
            if let Some(done) = self.until(&mut work, at).await? {
                return Ok(done);
            }
            if let Some(why) = self.suspect(parts, since) {
                return Err(Failure {
                    permitted: true,
                    ..Failure::new(Verdict::MayHaveRun, why)
                });
            }
            at += silent;
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

    /// Passes the likely culprits of a silence over; the reason when the stream should move, which
    /// is allowed then.
    fn suspect(&self, parts: &[(UpstreamKey, LayerRange)], since: Instant) -> Option<&'static str> {
        let now = Instant::now();
        let stuck = now.duration_since(since) >= STUCK;
        let culprits = {
            let mut fleet = self.shared.fleet();
            let suspects = fleet.unconfirmed(parts, since, now);
            let culprits = fleet.most_silent(&suspects);
            for &key in &culprits {
                fleet.doubt(key, now);
            }
            culprits
        };
        if culprits.is_empty() && !stuck {
            return None;
        }
        let moves = self.choose().is_ok() && self.may_go_on(Verdict::MayHaveRun);
        let why = if culprits.is_empty() {
            "stream stuck"
        } else {
            "engines silent"
        };
        moves.then_some(why)
    }

    /// Time that reading the prompt may take before the first event.
    fn reading_time(&self) -> Duration {
        let tokens = u64::from(self.ticket.head.prompt_tokens.unwrap_or(0));
        READING + Duration::from_micros(tokens * READING_TOKEN_US)
    }
}
