//! The state of a session, and the loop that generates its tokens.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::Permit;
use crate::clients::engine::Engine;
use crate::fleet::Health;
use crate::fleet::UpstreamKey;
use crate::pipeline::cancel::cancel_attempts;
use crate::pipeline::driver::Driver;
use crate::pipeline::driver::Job;
use crate::pipeline::driver::Result;
use crate::pipeline::driver::SessionError;
use crate::pipeline::hop::HopState;
use crate::pipeline::step::SessionParams;
use crate::pipeline::step::StepCall;
use crate::pipeline::step::StepFailure;
use crate::pipeline::step::StepOutput;
use crate::pipeline::tokens;
use crate::quarantine::PendingStep;
use crate::routing::PathGuard;
use crate::verdict::Verdict;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::FinishReason;
use kelpworks_wire::StepInput;

/// Interval after which the session tries again to move a stage off a leaving upstream.
const LEAVE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A running session.
pub(super) struct Session<'a, E> {
    pub(super) driver: &'a Driver<E>,
    pub(super) job: &'a Job,
    pub(super) params: SessionParams,
    /// Prompt and the tokens generated so far; only appended to.
    pub(super) token_ids: Vec<u32>,
    /// Stages in order of their layers, each of which is part of exactly one stage.
    pub(super) hops: Vec<HopState>,
    /// Earliest time of the next check for stages on leaving upstreams.
    pub(super) next_leave_check: Instant,
    /// Counts the session on the upstreams of its path.
    pub(super) path_guard: Option<PathGuard>,
    /// Upstreams that failed or refused this session; used only when no other can run the layers.
    pub(super) avoid: Vec<UpstreamKey>,
    /// Attempt number of the next new stage.
    pub(super) next_attempt: u32,
    pub(super) recoveries: u32,
    /// Failed fetches between stages since the last token.
    pub(super) failed_fetches: u32,
    /// Whether any step sent so far may have run.
    pub(super) verdict: Verdict,
    /// Replaced stages, whose memory is freed at the end.
    pub(super) abandoned: Vec<HopState>,
}

impl<'a, E: Engine> Session<'a, E> {
    pub(super) fn new(driver: &'a Driver<E>, job: &'a Job) -> Session<'a, E> {
        let fleet = driver.fleet.load();
        let model = &fleet.models[usize::from(job.model.0)];
        let params = SessionParams {
            session: job.session.clone(),
            model: model.name.clone(),
            version: String::new(),
            layers: model.layers,
            class: job.class,
            output: driver.output,
        };
        Session {
            driver,
            job,
            params,
            token_ids: job.prompt.clone(),
            hops: Vec::new(),
            next_leave_check: Instant::now(),
            path_guard: None,
            avoid: Vec::new(),
            next_attempt: 0,
            recoveries: 0,
            failed_fetches: 0,
            verdict: Verdict::NotRun,
            abandoned: Vec::new(),
        }
    }

    /// Generates tokens and sends them to `tx` until the answer is complete.
    pub(super) async fn generate(
        &mut self,
        permit: &Permit,
        tx: &mpsc::Sender<u32>,
    ) -> Result<FinishReason> {
        self.route("new session").await?;
        let max_len = self.job.prompt.len() + self.job.max_tokens as usize;
        loop {
            permit.wait_until_resumed().await;
            self.move_off_leaving_upstreams();
            let started = Instant::now();
            let token = self.next_token().await?;
            self.failed_fetches = 0;
            permit.observe_token(started.elapsed());
            if token == tokens::END {
                return Ok(FinishReason::Stop);
            }
            self.token_ids.push(token);
            let token_count = self.token_ids.len() as u32;
            self.driver
                .quarantine
                .record_progress(self.job.fingerprint, token_count, false);
            tx.send(token).await.map_err(|_| SessionError::CallerGone)?;
            if self.token_ids.len() == max_len {
                return Ok(FinishReason::Length);
            }
        }
    }

    /// Moves stages off upstreams that are leaving, between two tokens. A stage that no other
    /// upstream can run stays, since a leaving upstream still serves the sessions that it runs.
    fn move_off_leaving_upstreams(&mut self) {
        let now = Instant::now();
        if now < self.next_leave_check {
            return;
        }
        let fleet = self.driver.fleet.load_full();
        let is_leaving = |h: &&HopState| {
            fleet
                .upstreams
                .get(h.upstream)
                .is_none_or(|u| u.health == Health::Leaving)
        };
        let leaving: Vec<UpstreamKey> = self
            .hops
            .iter()
            .filter(is_leaving)
            .map(|h| h.upstream)
            .collect();
        for upstream in leaving {
            let avoided = self.avoid.len();
            self.avoid(upstream);
            if self.try_route("upstream leaving").is_err() {
                self.avoid.truncate(avoided);
                self.next_leave_check = now + LEAVE_RETRY_INTERVAL;
            }
        }
    }

    /// Returns whether part of the answer was sent to the caller.
    pub(super) fn has_sent(&self) -> bool {
        self.token_ids.len() > self.job.prompt.len()
    }

    /// Generates the next token, with recoveries from failures of stages.
    async fn next_token(&mut self) -> Result<u32> {
        loop {
            match self.run_stages().await {
                Ok(token) => return Ok(token),
                Err((stage, failure)) => self.recover(stage, failure).await?,
            }
        }
    }

    /// Runs every stage in order up to the last known token; the last stage returns the next token.
    /// An error contains the index of the stage that failed.
    async fn run_stages(&mut self) -> std::result::Result<u32, (usize, StepFailure)> {
        let target = self.token_ids.len() as u32;
        for stage in 0..self.hops.len() {
            let hop = &self.hops[stage];
            let count = target - hop.positions_run;
            if count == 0 {
                continue;
            }
            let output = self.step(stage, count).await.map_err(|e| (stage, e))?;
            let hop = &mut self.hops[stage];
            hop.positions_run = target;
            match output {
                StepOutput::Retained => {}
                StepOutput::Rows(rows) => hop.rows.extend(rows),
                StepOutput::Token(token) => return Ok(token),
            }
        }
        // Reached only when the last stage has run all known tokens, but its output was not
        // received.
        Err((self.hops.len() - 1, StepFailure::ReplyLost))
    }

    /// Runs `count` positions on one stage, once the quarantine lets the step run.
    async fn step(
        &mut self,
        stage: usize,
        count: u32,
    ) -> std::result::Result<StepOutput, StepFailure> {
        let fleet = self.driver.fleet.load_full();
        let hop = &self.hops[stage];
        let Some(upstream) = fleet.upstreams.get(hop.upstream) else {
            return Err(StepFailure::Unreachable);
        };
        let input = match stage {
            0 => StepInput::Tokens(self.token_ids[hop.positions_run as usize..].to_vec()),
            _ => self.hops[stage - 1].output(&self.params.session, hop.positions_run, count),
        };
        let step_guard = self.driver.quarantine.begin(PendingStep {
            fingerprint: self.job.fingerprint,
            upstream: hop.upstream,
            name: &upstream.name,
            known_tokens: self.token_ids.len() as u32,
        });
        let step_guard = step_guard.await.map_err(StepFailure::Quarantined)?;
        let mut call = StepCall {
            engine: &*self.driver.engine,
            params: &self.params,
            hop,
            counters: &upstream.counters,
            incarnation: upstream.incarnation,
            deadlines: &self.driver.deadlines,
            count,
        };
        if step_guard.is_isolated() {
            call.incarnation = call.check_alive().await?;
        }
        // Set until the reply shows that nothing ran, because this future may be dropped after the
        // step was sent.
        let before = self.verdict;
        self.verdict = Verdict::MayHaveRun;
        let result = call.run(input).await;
        let not_run = matches!(
            result,
            Err(StepFailure::Busy(_) | StepFailure::Refused { .. } | StepFailure::Unreachable)
        );
        if not_run {
            self.verdict = before;
        }
        match result {
            // Only a process that ended counts as a crash. A stall has other causes as well, and
            // would be attributed to innocent requests.
            Err(StepFailure::Gone | StepFailure::Restarted) => step_guard.record_crash(),
            Ok(_) => self.driver.end_cooldown(hop.upstream, &upstream.counters),
            Err(_) => {}
        }
        result
    }

    /// Starts to free the session's memory on every engine that may have some, and returns at once.
    pub(super) fn free_all(&mut self) {
        let hops = self.hops.drain(..).chain(self.abandoned.drain(..));
        for hop in hops {
            let engine = Arc::clone(&self.driver.engine);
            let session = self.params.session.clone();
            let req = CancelRequest {
                session,
                attempt: hop.attempt,
            };
            let free = async move { cancel_attempts(&*engine, &hop.url, &req).await };
            self.driver.tasks.spawn(free);
        }
    }
}
