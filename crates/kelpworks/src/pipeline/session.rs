//! One session: its state, and its way from token to token.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::Permit;
use crate::clients::engine::Engine;
use crate::fleet::Health;
use crate::fleet::UpstreamKey;
use crate::pipeline::driver::Driver;
use crate::pipeline::driver::Job;
use crate::pipeline::driver::Result;
use crate::pipeline::driver::SessionError;
use crate::pipeline::hop::HopState;
use crate::pipeline::release::release;
use crate::pipeline::step::Call;
use crate::pipeline::step::Fixed;
use crate::pipeline::step::Output;
use crate::pipeline::step::StepFailure;
use crate::pipeline::tokens;
use crate::quarantine::PendingStep;
use crate::routing::PathGuard;
use crate::verdict::Verdict;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::FinishReason;
use kelpworks_wire::StepInput;

/// Pause until a stage on a leaving upstream that could not move is looked at again.
const LEAVE_AGAIN: Duration = Duration::from_millis(250);

/// A session under way.
pub(super) struct Session<'a, E> {
    pub(super) driver: &'a Driver<E>,
    pub(super) job: &'a Job,
    pub(super) fixed: Fixed,
    /// Prompt and the tokens generated so far; those sent to the caller are never changed.
    pub(super) known: Vec<u32>,
    /// The stages in order of layers; together they cover every layer once.
    pub(super) hops: Vec<HopState>,
    /// When a stage that could not move off a leaving upstream is looked at again.
    pub(super) leave_again: Instant,
    /// What the path counts for on its upstreams, while it lasts.
    pub(super) assignment: Option<PathGuard>,
    /// Upstreams that failed or refused this session; taken last.
    pub(super) avoid: Vec<UpstreamKey>,
    /// Attempt number that the next new stage gets.
    pub(super) next_attempt: u32,
    pub(super) recoveries: u32,
    /// Fetches between stages that failed since the last token.
    pub(super) unfetched: u32,
    /// Worst over all steps sent.
    pub(super) verdict: Verdict,
    /// Stages left behind, to be freed at the end.
    pub(super) left: Vec<HopState>,
}

impl<'a, E: Engine> Session<'a, E> {
    pub(super) fn new(driver: &'a Driver<E>, job: &'a Job) -> Session<'a, E> {
        let fleet = driver.fleet.load();
        let model = &fleet.models[usize::from(job.model.0)];
        let fixed = Fixed {
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
            fixed,
            known: job.prompt.clone(),
            hops: Vec::new(),
            leave_again: Instant::now(),
            assignment: None,
            avoid: Vec::new(),
            next_attempt: 0,
            recoveries: 0,
            unfetched: 0,
            verdict: Verdict::NotRun,
            left: Vec::new(),
        }
    }

    pub(super) async fn answer(
        &mut self,
        permit: &Permit,
        tx: &mpsc::Sender<u32>,
    ) -> Result<FinishReason> {
        self.route("new session").await?;
        let most = self.job.prompt.len() + self.job.max_tokens as usize;
        loop {
            permit.wait_until_resumed().await;
            self.leave_if_asked();
            let asked = Instant::now();
            let token = self.next_token().await?;
            self.unfetched = 0;
            permit.observe_token(asked.elapsed());
            if token == tokens::END {
                return Ok(FinishReason::Stop);
            }
            self.known.push(token);
            let known = self.known.len() as u32;
            self.driver
                .quarantine
                .record_progress(self.job.fingerprint, known, false);
            tx.send(token).await.map_err(|_| SessionError::CallerGone)?;
            if self.known.len() == most {
                return Ok(FinishReason::Length);
            }
        }
    }

    /// Moves stages off upstreams that are leaving, between two tokens. A stage that nobody else
    /// can take stays where it is, as an upstream that leaves still serves what it has begun.
    fn leave_if_asked(&mut self) {
        let now = Instant::now();
        if now < self.leave_again {
            return;
        }
        let fleet = self.driver.fleet.load_full();
        let leaving = |h: &&HopState| {
            fleet
                .upstreams
                .get(h.upstream)
                .is_none_or(|u| u.health == Health::Leaving)
        };
        let asked: Vec<UpstreamKey> = self
            .hops
            .iter()
            .filter(leaving)
            .map(|h| h.upstream)
            .collect();
        for upstream in asked {
            let avoided = self.avoid.len();
            self.avoid(upstream);
            if self.try_route("upstream leaving").is_err() {
                self.avoid.truncate(avoided);
                self.leave_again = now + LEAVE_AGAIN;
            }
        }
    }

    /// Whether the caller has a part of the answer.
    pub(super) fn has_sent(&self) -> bool {
        self.known.len() > self.job.prompt.len()
    }

    async fn next_token(&mut self) -> Result<u32> {
        loop {
            match self.pass().await {
                Ok(token) => return Ok(token),
                Err((at, failure)) => self.recover(at, failure).await?,
            }
        }
    }

    /// Brings every stage up to the known tokens, in order; the last one gives the next token.
    async fn pass(&mut self) -> std::result::Result<u32, (usize, StepFailure)> {
        let target = self.known.len() as u32;
        for at in 0..self.hops.len() {
            let hop = &self.hops[at];
            let count = target - hop.have;
            if count == 0 {
                continue;
            }
            let output = self.step(at, count).await.map_err(|e| (at, e))?;
            let hop = &mut self.hops[at];
            hop.have = target;
            match output {
                Output::Kept => {}
                Output::Rows(rows) => hop.rows.extend(rows),
                Output::Token(token) => return Ok(token),
            }
        }
        // Only a last stage that has run without its token being seen gets here.
        Err((self.hops.len() - 1, StepFailure::ReplyLost))
    }

    async fn step(&mut self, at: usize, count: u32) -> std::result::Result<Output, StepFailure> {
        let fleet = self.driver.fleet.load_full();
        let hop = &self.hops[at];
        let Some(upstream) = fleet.upstreams.get(hop.upstream) else {
            return Err(StepFailure::Unreachable);
        };
        let input = match at {
            0 => StepInput::Tokens(self.known[hop.have as usize..].to_vec()),
            _ => self.hops[at - 1].output(&self.fixed.session, hop.have, count),
        };
        let turn = self.driver.quarantine.begin(PendingStep {
            fingerprint: self.job.fingerprint,
            upstream: hop.upstream,
            name: &upstream.name,
            known_tokens: self.known.len() as u32,
        });
        let turn = turn.await.map_err(StepFailure::Quarantined)?;
        let mut call = Call {
            engine: &*self.driver.engine,
            fixed: &self.fixed,
            hop,
            counters: &upstream.counters,
            incarnation: upstream.incarnation,
            deadlines: &self.driver.deadlines,
            count,
        };
        if turn.is_isolated() {
            call.incarnation = call.alive().await?;
        }
        // Until the reply says otherwise: this future may be dropped after the step was sent.
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
            // Silence has other causes, which would blame innocent requests.
            Err(StepFailure::Gone | StepFailure::Restarted) => turn.record_crash(),
            Ok(_) => self.driver.served(hop.upstream, &upstream.counters),
            Err(_) => {}
        }
        result
    }

    /// Frees the session's memory on every engine that may hold some, without waiting for it.
    pub(super) fn free(&mut self) {
        let hops = self.hops.drain(..).chain(self.left.drain(..));
        for hop in hops {
            let engine = Arc::clone(&self.driver.engine);
            let session = self.fixed.session.clone();
            let req = CancelRequest {
                session,
                attempt: hop.attempt,
            };
            let free = async move { release(&*engine, &hop.url, &req).await };
            self.driver.tasks.spawn(free);
        }
    }
}
