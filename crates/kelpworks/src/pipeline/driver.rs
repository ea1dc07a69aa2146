//! Drives one session from prompt to last token, over failures of its stages.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::info;
use rand::RngExt;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use kelpworks_coord::poison::Fingerprint;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::Class;
use kelpworks_wire::FinishReason;
use kelpworks_wire::OutputForm;
use kelpworks_wire::RefusalReason;
use kelpworks_wire::StepInput;

use crate::admission::Permit;
use crate::border::engine::Engine;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::fleet::Health;
use crate::fleet::ModelKey;
use crate::fleet::UpstreamKey;
use crate::pipeline::hop::HopState;
use crate::pipeline::release::release;
use crate::pipeline::step::Call;
use crate::pipeline::step::Deadlines;
use crate::pipeline::step::Fixed;
use crate::pipeline::step::Output;
use crate::pipeline::step::StepFailure;
use crate::pipeline::tokens;
use crate::quarantine;
use crate::quarantine::Quarantine;
use crate::quarantine::Wanted;
use crate::retry::Cooldowns;
use crate::retry::GiveUp;
use crate::retry::RetryBudget;
use crate::routing;
use crate::routing::Assignment;
use crate::routing::PathQuery;
use crate::upstreams::Report;
use crate::verdict::Verdict;

/// The result of this module.
pub(crate) type Result<T> = std::result::Result<T, Ending>;

/// Wait before the path is asked for again when no stage can take the session.
const NO_PATH_WAIT: Duration = Duration::from_millis(50);
/// Pause until a stage on a leaving upstream that could not move is looked at again.
const LEAVE_AGAIN: Duration = Duration::from_millis(250);
/// Doublings of that wait, at most, when the same upstream fails again and again.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// A session to drive.
#[derive(Clone, Debug)]
pub struct Job {
    /// Session identifier; also the request id in log lines.
    pub session: String,
    /// Name of the team.
    pub team: String,
    /// Class of the team.
    pub class: Class,
    /// Fingerprint of the request; the same for its caller's repeats.
    pub fingerprint: Fingerprint,
    /// The model.
    pub model: ModelKey,
    /// Tokens of the prompt; never empty.
    pub prompt: Vec<u32>,
    /// Most tokens to generate; above 0.
    pub max_tokens: u32,
    /// When the caller's time is up.
    pub deadline: Instant,
}

/// Why a session ended before its answer was whole.
#[derive(Clone, Debug, PartialEq, Error)]
#[non_exhaustive]
pub enum Ending {
    /// No path through the stages within the deadline.
    #[error("no upstream can take the request: {0}")]
    NoPath(routing::Error),
    /// The caller's time is up.
    #[error("deadline exceeded")]
    Deadline,
    /// The caller has gone.
    #[error("caller gone")]
    CallerGone,
    /// The daemon ends before the session does.
    #[error("the daemon is stopping")]
    Stopped,
    /// A stage failed in a way that another try won't mend.
    #[error("stage failed: {0}")]
    Stage(StepFailure),
    /// A stage failed, and too much has been tried again of late.
    #[error("stage failed: {failure}; not tried again: {reason}")]
    Retries {
        /// How the stage failed.
        failure: StepFailure,
        /// Why it is not tried again.
        reason: GiveUp,
    },
    /// Upstreams crashed while they ran the request.
    #[error(transparent)]
    Quarantined(quarantine::Refusal),
}

/// How a session ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Why it ended.
    pub result: std::result::Result<FinishReason, Ending>,
    /// Whether any of it may have run.
    pub verdict: Verdict,
    /// Stages replaced on the way.
    pub recoveries: u32,
}

/// Drives sessions; one for the whole daemon.
#[derive(Debug)]
pub struct Driver<E> {
    /// The engines.
    pub engine: Arc<E>,
    /// The fleet, replaced as a whole on each change.
    pub fleet: Arc<ArcSwap<Fleet>>,
    /// Where failures of upstreams are reported.
    pub reports: mpsc::UnboundedSender<Report>,
    /// Failure domain of this daemon.
    pub domain: String,
    /// Bounds on the wait for a step.
    pub deadlines: Deadlines,
    /// Form in which outputs are asked for.
    pub output: OutputForm,
    /// Start of the daemon, the origin of `Counters::busy_until_ms`.
    pub start: Instant,
    /// Requests that crash upstreams.
    pub quarantine: Arc<Quarantine>,
    /// Bounds how much is tried again, over all sessions.
    pub retries: Mutex<RetryBudget>,
    /// Cooldowns of busy upstreams.
    pub cooldowns: Mutex<Cooldowns>,
    /// Ends all sessions at once.
    pub abort: CancellationToken,
    /// Calls that free memory on engines; a stop waits for them.
    pub tasks: TaskTracker,
}

impl<E: Engine> Driver<E> {
    /// Drives a session; each token goes into `tx` as soon as it is known. Where the receiver is
    /// dropped the session ends and its memory on the engines is freed.
    pub async fn run(&self, job: Job, permit: &Permit, tx: &mpsc::Sender<u32>) -> Outcome {
        let mut session = Session::new(self, &job);
        let deadline = job.deadline;
        let result = tokio::select! {
            result = session.answer(permit, tx) => result,
            () = tx.closed() => Err(Ending::CallerGone),
            () = tokio::time::sleep_until(deadline) => Err(Ending::Deadline),
            () = self.abort.cancelled() => Err(Ending::Stopped),
        };
        permit.used(session.known.len() as u32);
        if result.is_ok() {
            session.succeeded();
        }
        session.free();
        Outcome {
            result,
            verdict: session.verdict,
            recoveries: session.recoveries,
        }
    }

    /// This daemon's failure domain in a snapshot; the first where the register has no such.
    fn from(&self, fleet: &Fleet) -> DomainKey {
        let at = fleet.domains.iter().position(|d| *d == self.domain);
        DomainKey(at.unwrap_or(0) as u16)
    }

    /// Milliseconds since the daemon's start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Full jitter over the upper half, so that waiters spread out.
pub(super) fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.0))
}

pub(super) struct Session<'a, E> {
    pub(super) driver: &'a Driver<E>,
    pub(super) job: &'a Job,
    fixed: Fixed,
    /// Prompt and the tokens generated so far; those sent to the caller are never changed.
    pub(super) known: Vec<u32>,
    /// The stages in order of layers; together they cover every layer once.
    hops: Vec<HopState>,
    /// When a stage that could not move off a leaving upstream is looked at again.
    leave_again: Instant,
    /// What the path counts for on its upstreams, while it lasts.
    assignment: Option<Assignment>,
    /// Upstreams that failed or refused this session; taken last.
    avoid: Vec<UpstreamKey>,
    /// Attempt number that the next new stage gets.
    next_attempt: u32,
    pub(super) recoveries: u32,
    /// Fetches between stages that failed since the last token.
    unfetched: u32,
    /// Worst over all steps sent.
    verdict: Verdict,
    /// Stages left behind, to be freed at the end.
    left: Vec<HopState>,
}

impl<'a, E: Engine> Session<'a, E> {
    fn new(driver: &'a Driver<E>, job: &'a Job) -> Session<'a, E> {
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

    async fn answer(&mut self, permit: &Permit, tx: &mpsc::Sender<u32>) -> Result<FinishReason> {
        self.route("new session").await?;
        let most = self.job.prompt.len() + self.job.max_tokens as usize;
        loop {
            permit.turn().await;
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
                .reached(self.job.fingerprint, known, false);
            tx.send(token).await.map_err(|_| Ending::CallerGone)?;
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
        let turn = self.driver.quarantine.begin(Wanted {
            fingerprint: self.job.fingerprint,
            upstream: hop.upstream,
            name: &upstream.name,
            known: self.known.len() as u32,
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
        if turn.is_apart() {
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
            Err(StepFailure::Gone | StepFailure::Restarted) => turn.crashed(),
            Ok(_) => self.driver.served(hop.upstream, &upstream.counters),
            Err(_) => {}
        }
        result
    }

    async fn recover(&mut self, at: usize, failure: StepFailure) -> Result<()> {
        let upstream = self.hops[at].upstream;
        let name = Arc::clone(&self.hops[at].name);
        info!(
            target: "decision", decision = "recover", request = self.fixed.session.as_str(),
            upstream = &*name, position = self.hops[at].have, reason = failure.to_string();
            "stage failed"
        );
        if !matches!(failure, StepFailure::Busy(_) | StepFailure::Quarantined(_)) {
            self.before_retry(upstream, &failure).await?;
        }
        match failure {
            // Waiting is not a failure of the session; only its deadline bounds it.
            StepFailure::Busy(after) => self.wait_or_move(at, after).await,
            StepFailure::Quarantined(refusal) => Err(Ending::Quarantined(refusal)),
            StepFailure::Refused {
                reason: RefusalReason::PositionGap,
                ..
            }
            | StepFailure::ReplyLost => {
                self.restart(at);
                Ok(())
            }
            StepFailure::Refused {
                reason: RefusalReason::HandleMissing,
                ..
            } => self.fetch_failed(at).await,
            StepFailure::Refused {
                reason: RefusalReason::Invalid,
                ..
            } => Err(Ending::Stage(failure)),
            StepFailure::Refused { .. } => self.move_off(upstream, "stage refused").await,
            StepFailure::Unreachable
            | StepFailure::Silent
            | StepFailure::Broken
            | StepFailure::Gone
            | StepFailure::Restarted => self.move_off(upstream, "stage died").await,
            StepFailure::Mismatch => self.move_off(upstream, "reply of another step").await,
        }
    }

    /// A stage without state moves on; one with state waits for its turn.
    async fn wait_or_move(&mut self, at: usize, after: Duration) -> Result<()> {
        let busy = self.hops[at].upstream;
        let left = self.driver.cool(busy, after);
        if self.hops[at].have == 0 {
            self.avoid(busy);
            self.route("stage busy").await?;
        }
        if self.hops.iter().any(|h| h.upstream == busy) {
            tokio::time::sleep(left).await;
        }
        Ok(())
    }

    /// Moves the session off an upstream that failed; where nobody else can take its place, waits
    /// a growing time before it is tried again.
    async fn move_off(&mut self, upstream: UpstreamKey, reason: &'static str) -> Result<()> {
        self.avoid(upstream);
        self.route(reason).await?;
        if self.hops.iter().any(|h| h.upstream == upstream) {
            let doublings = self.recoveries.min(MAX_BACKOFF_DOUBLINGS);
            tokio::time::sleep(jittered(NO_PATH_WAIT * (1 << doublings))).await;
        }
        Ok(())
    }

    fn avoid(&mut self, upstream: UpstreamKey) {
        if !self.avoid.contains(&upstream) {
            self.avoid.push(upstream);
        }
    }

    /// The stage's state is gone or unknown: it runs again from position 0 as a new lineage.
    fn restart(&mut self, at: usize) {
        let hop = &mut self.hops[at];
        self.left.push(hop.clone());
        hop.attempt = self.next_attempt;
        hop.have = 0;
        hop.rows.clear();
        self.next_attempt += 1;
    }

    /// A stage could not fetch its input from the one before it.
    ///
    /// The fetch may have met a connection that is dead; the step is sent once more, and finds a new
    /// one. Else that stage may have lost its outputs, and runs again where it is. Where that does
    /// not help, the link between the two may be down, at either end: one moves, then the other.
    async fn fetch_failed(&mut self, at: usize) -> Result<()> {
        let before = at.saturating_sub(1);
        self.unfetched += 1;
        match self.unfetched {
            1 => Ok(()),
            2 => {
                self.restart(before);
                Ok(())
            }
            n if n % 2 == 1 => {
                let upstream = self.hops[before].upstream;
                self.move_off(upstream, "output can't be fetched").await
            }
            _ => {
                let upstream = self.hops[at].upstream;
                self.move_off(upstream, "input can't be fetched").await
            }
        }
    }

    /// Chooses a path; stages that still serve keep their place and state.
    async fn route(&mut self, reason: &'static str) -> Result<()> {
        loop {
            match self.try_route(reason) {
                Ok(()) => return Ok(()),
                Err(e) if self.job.deadline <= Instant::now() + NO_PATH_WAIT => {
                    return Err(Ending::NoPath(e));
                }
                Err(e) if self.verdict == Verdict::NotRun && self.hops.is_empty() => {
                    return Err(Ending::NoPath(e));
                }
                Err(_) => tokio::time::sleep(NO_PATH_WAIT).await,
            }
        }
    }

    /// Keys of the session's model and, once its first path is chosen, of its version in a
    /// snapshot. Looked up by name: a new register gives other keys. One that is gone gets a key
    /// that nothing has, so that the session never goes on with another.
    fn bound(&self, fleet: &Fleet) -> (ModelKey, Option<u16>) {
        let Some(key) = fleet.model(&self.fixed.model) else {
            return (ModelKey(u16::MAX), None);
        };
        if self.fixed.version.is_empty() {
            return (key, None);
        }
        let mut versions = fleet.models[usize::from(key.0)].versions.iter();
        let at = versions.position(|v| *v == self.fixed.version);
        (key, Some(at.map_or(u16::MAX, |at| at as u16)))
    }

    fn try_route(&mut self, reason: &'static str) -> routing::Result<()> {
        let fleet = self.driver.fleet.load_full();
        let keep: Vec<routing::Hop> = self
            .hops
            .iter()
            .filter(|h| !self.avoid.contains(&h.upstream))
            .map(HopState::as_hop)
            .collect();
        let path = self.choose(&fleet, &keep)?;
        let (model, _) = self.bound(&fleet);
        let model = &fleet.models[usize::from(model.0)];
        self.fixed.version = model.versions[usize::from(path.version)].clone();
        self.take(&fleet, &path);
        let on_path = self.hops.iter().map(|h| h.upstream);
        self.driver.quarantine.routed(self.job.fingerprint, on_path);
        self.assignment = Some(Assignment::new(&fleet, &path.hops));
        let names: Vec<&str> = self.hops.iter().map(|h| &*h.name).collect();
        info!(
            target: "decision", decision = "route", request = self.fixed.session.as_str(),
            team = self.job.team.as_str(), candidates = path.candidates,
            choice = names.join(","), reason = reason,
            why:% = path.explanation.display(&fleet);
            "path chosen"
        );
        Ok(())
    }

    /// Chooses a path; for a suspect, where possible one on which it harms nobody else.
    fn choose(&self, fleet: &Fleet, keep: &[routing::Hop]) -> routing::Result<routing::Path> {
        let (model, version) = self.bound(fleet);
        let query = PathQuery {
            model,
            version,
            from: self.driver.from(fleet),
            class: self.job.class,
            prefill: self.known.len() as u32,
            avoid: &self.avoid,
            keep,
            now_ms: self.driver.now_ms(),
        };
        let mut avoid = self.apart_from(fleet, keep);
        if !avoid.is_empty() {
            avoid.extend(&self.avoid);
            let apart = PathQuery {
                avoid: &avoid,
                ..query.clone()
            };
            let path = routing::choose_path(fleet, &apart, &mut rand::rng());
            let harms =
                |path: &routing::Path| path.hops.iter().any(|h| avoid.contains(&h.upstream));
            if let Ok(path) = path
                && !harms(&path)
            {
                return Ok(path);
            }
        }
        routing::choose_path(fleet, &query, &mut rand::rng())
    }

    fn take(&mut self, fleet: &Fleet, path: &routing::Path) {
        let mut old = std::mem::take(&mut self.hops);
        for hop in &path.hops {
            if let Some(at) = old.iter().position(|h| h.serves(hop)) {
                self.hops.push(old.swap_remove(at));
                continue;
            }
            let upstream = &fleet.upstreams[hop.upstream];
            self.hops.push(HopState {
                upstream: hop.upstream,
                url: Arc::clone(&upstream.url),
                name: Arc::clone(&upstream.name),
                layers: hop.layers.clone(),
                attempt: self.next_attempt,
                have: 0,
                rows: Vec::new(),
            });
            self.next_attempt += 1;
        }
        self.left.extend(old);
    }

    /// Frees the session's memory on every engine that may hold some, without waiting for it.
    fn free(&mut self) {
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
