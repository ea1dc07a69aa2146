//! Driver of one keyed submission: executes the actions of its claim's state machine.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use log::info;
use tokio::sync::oneshot;

use crate::claims::CLAIM_KIND;
use crate::claims::ClaimKey;
use crate::claims::Claims;
use crate::claims::Error;
use crate::claims::KeyedReply;
use crate::claims::Peers;
use crate::claims::RETRY_AFTER;
use crate::claims::Reply;
use crate::claims::Result;
use crate::claims::RunError;
use crate::claims::WRITES_PER_CLAIM;
use crate::claims::lock;
use crate::clients::object_api;
use crate::clients::object_api::Condition;
use crate::clients::object_api::Object;
use crate::clients::object_api::ObjectApi;
use crate::verdict::Verdict;
use kelpworks_coord::claim::Action;
use kelpworks_coord::claim::Answer;
use kelpworks_coord::claim::ApiReply;
use kelpworks_coord::claim::Claim;
use kelpworks_coord::claim::Event;
use kelpworks_coord::claim::NotRunReason;
use kelpworks_coord::claim::PeerStatus;
use kelpworks_coord::claim::Phase;
use kelpworks_coord::claim::Record;
use kelpworks_coord::claim::Request;
use kelpworks_coord::claim::RunResult;
use kelpworks_coord::claim::Stored;
use kelpworks_coord::id::Nonce;
use kelpworks_coord::id::Version;
use kelpworks_coord::time::Instant;

/// Initial interval between ticks of a claim's state machine. Once the caller has its answer, the
/// interval doubles up to [`MAX_POLL_INTERVAL`], so that many unfinished claims do not reach the
/// object API at the same moment when it recovers.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// One claim with the context of its API calls; registered in [`Claims::pending`] until dropped.
struct ClaimHandle<A: ObjectApi + 'static, P: Peers> {
    claims: Arc<Claims<A, P>>,
    name: String,
    nonce: Nonce,
    claim: Arc<Mutex<Claim>>,
    /// Writes already charged to the budget and not used yet.
    prepaid_writes: u64,
    /// No create of the claim is sent after this time. The state machine creates it again whenever
    /// a read finds none; without this bound, a caller could wait for as long as every write is
    /// lost while every read is answered.
    create_deadline: Instant,
}

impl<A: ObjectApi + 'static, P: Peers> Drop for ClaimHandle<A, P> {
    fn drop(&mut self) {
        lock(&self.claims.pending).remove(&self.nonce);
    }
}

impl<A: ObjectApi + 'static, P: Peers> ClaimHandle<A, P> {
    fn step(&self, event: Event) -> Vec<Action> {
        let now = self.claims.now();
        lock(&self.claim).on_event(now, event)
    }

    fn is_complete(&self) -> bool {
        lock(&self.claim).is_finished()
    }

    fn was_abandoned(&self) -> bool {
        lock(&self.claim).status() == PeerStatus::NeverDispatched
    }

    /// Executes an action on the object API or a peer, and returns the resulting event. Returns
    /// `None` for actions that concern the caller.
    async fn execute(&mut self, action: Action) -> Option<Event> {
        let reply = match action {
            Action::Read => self.read().await,
            Action::Write { if_version, record } => self.write(if_version, &record).await,
            Action::Remove { if_version } => self.remove(if_version).await,
            Action::QueryHolder {
                holder,
                incarnation,
                nonce,
            } => {
                let claims = &self.claims;
                let own = claims.node == holder;
                let status = match own {
                    true => claims.status(incarnation, nonce),
                    false => claims.peers.claim_status(holder, incarnation, nonce).await,
                };
                return Some(Event::Peer(status));
            }
            Action::Dispatch | Action::Answer(_) => return None,
        };
        Some(Event::Api(reply))
    }

    async fn read(&self) -> ApiReply {
        let call = self.claims.api.get(CLAIM_KIND, &self.name);
        match self.with_timeout(call).await {
            Ok(object) => parse_claim(&object).map_or(ApiReply::Lost, ApiReply::Found),
            Err(object_api::Error::NotFound) => ApiReply::Absent,
            Err(e) => error_reply(&e),
        }
    }

    async fn write(&mut self, if_version: Version, record: &Record) -> ApiReply {
        let creates = record.phase == Phase::Claimed;
        let is_late = self.claims.now() > self.create_deadline;
        if creates && (is_late || self.claims.may_miss_claims()) || !self.charge_write() {
            return ApiReply::Refused;
        }
        let body = serde_json::to_string(record).expect("a claim record always serializes to JSON");
        let condition = Condition::at(if_version);
        let api = &self.claims.api;
        let call = api.put(CLAIM_KIND, &self.name, body, condition);
        match self.with_timeout(call).await {
            // The response itself announced a later era, which may lack claims of calls that ran.
            Ok(object) if creates && self.claims.may_miss_claims() => {
                self.remove(object.version).await;
                ApiReply::Refused
            }
            Ok(object) => ApiReply::Stored(object.version),
            Err(e) => error_reply(&e),
        }
    }

    async fn remove(&mut self, if_version: Version) -> ApiReply {
        if !self.charge_write() {
            return ApiReply::Refused;
        }
        let condition = Condition::at(if_version);
        let call = self.claims.api.delete(CLAIM_KIND, &self.name, condition);
        match self.with_timeout(call).await {
            Ok(()) | Err(object_api::Error::NotFound) => ApiReply::Removed,
            Err(e) => error_reply(&e),
        }
    }

    /// Uses a prepaid write, or else charges the budget; returns false when the budget is
    /// exhausted.
    fn charge_write(&mut self) -> bool {
        if self.prepaid_writes > 0 {
            self.prepaid_writes -= 1;
            return true;
        }
        self.claims.take_writes(1).is_ok()
    }

    /// Bounds a call by [`super::Config::api_timeout`]. A call that times out counts as lost, and
    /// the connections are reset, since the one in use may be dead.
    async fn with_timeout<T>(
        &self,
        call: impl Future<Output = object_api::Result<T>>,
    ) -> object_api::Result<T> {
        let reply = tokio::time::timeout(self.claims.cfg.api_timeout, call).await;
        reply.unwrap_or_else(|_| {
            self.claims.api.reset_connections();
            Err(object_api::Error::Lost)
        })
    }

    /// Removes an abandoned claim, retrying for as long as the object API is unavailable.
    async fn clean_up(mut self) {
        let mut poll_interval = INITIAL_POLL_INTERVAL;
        let mut actions = VecDeque::new();
        while !self.is_complete() {
            while let Some(action) = actions.pop_front() {
                if let Some(event) = self.execute(action).await {
                    actions.extend(self.step(event));
                }
            }
            tokio::time::sleep(poll_interval).await;
            poll_interval = (poll_interval * 2).min(MAX_POLL_INTERVAL);
            actions.extend(self.step(Event::Tick));
        }
    }
}

/// One submission of a keyed call.
pub(super) struct Submission<A: ObjectApi + 'static, P: Peers, F, E> {
    handle: ClaimHandle<A, P>,
    run: Option<F>,
    /// Result of the call; `None` until it has run.
    run_result: Option<std::result::Result<Reply, RunError<E>>>,
    /// Channel to the caller; `None` once the answer has been sent.
    tx: Option<oneshot::Sender<Result<KeyedReply, E>>>,
}

impl<A, P, F, Fut, E> Submission<A, P, F, E>
where
    A: ObjectApi + 'static,
    P: Peers,
    F: FnOnce() -> Fut,
    Fut: Future<Output = std::result::Result<Reply, RunError<E>>>,
{
    pub(super) fn new(
        claims: &Arc<Claims<A, P>>,
        key: ClaimKey,
        deadline: Instant,
        run: F,
        tx: oneshot::Sender<Result<KeyedReply, E>>,
    ) -> Submission<A, P, F, E> {
        let nonce = Nonce(rand::random());
        let req = Request {
            digest: key.digest,
            holder: claims.node,
            incarnation: claims.incarnation,
            nonce,
            deadline,
        };
        let claim = Arc::new(Mutex::new(Claim::new(claims.claim_config(), req)));
        lock(&claims.pending).insert(nonce, Arc::clone(&claim));
        let handle = ClaimHandle {
            claims: Arc::clone(claims),
            name: key.name,
            nonce,
            claim,
            prepaid_writes: WRITES_PER_CLAIM,
            create_deadline: claims.now() + claims.claim_config().create_timeout,
        };
        Submission {
            handle,
            run: Some(run),
            run_result: None,
            tx: Some(tx),
        }
    }

    /// Runs until the caller has its answer and the outcome is recorded. An abandoned claim is
    /// removed by a separate task, for which a planned stop does not wait.
    pub(super) async fn run(mut self) {
        let mut poll_interval = INITIAL_POLL_INTERVAL;
        let mut actions: VecDeque<Action> = self.handle.step(Event::Start).into();
        loop {
            while let Some(action) = actions.pop_front() {
                if let Some(event) = self.execute(action).await {
                    actions.extend(self.handle.step(event));
                }
            }
            let answered = self.tx.is_none();
            if answered && self.handle.is_complete() {
                return;
            }
            if answered && self.handle.was_abandoned() {
                tokio::spawn(self.handle.clean_up());
                return;
            }
            tokio::time::sleep(poll_interval).await;
            if answered {
                poll_interval = (poll_interval * 2).min(MAX_POLL_INTERVAL);
            }
            actions.extend(self.handle.step(Event::Tick));
        }
    }

    async fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Dispatch => Some(Event::Finished(self.dispatch().await?)),
            Action::Answer(answer) => {
                self.answer(answer);
                None
            }
            other => self.handle.execute(other).await,
        }
    }

    async fn dispatch(&mut self) -> Option<RunResult> {
        let run = self.run.take()?;
        let run_result = run().await;
        let finished = match &run_result {
            Ok(reply) => RunResult::Completed(reply.to_outcome()),
            Err(e) if e.verdict == Verdict::NotRun => RunResult::NotRun,
            Err(_) => RunResult::MayHaveRun,
        };
        self.run_result = Some(run_result);
        Some(finished)
    }

    fn answer(&mut self, answer: Answer) {
        let Some(tx) = self.tx.take() else {
            return;
        };
        let retry_after = RETRY_AFTER;
        let result = match (self.run_result.take(), answer) {
            (Some(Ok(reply)), _) => Ok(KeyedReply {
                reply,
                replayed: false,
            }),
            (Some(Err(e)), _) => Err(Error::Failed(e)),
            (None, Answer::Completed(outcome)) => match Reply::from_outcome(&outcome) {
                Some(reply) => Ok(KeyedReply {
                    reply,
                    replayed: true,
                }),
                None => Err(Error::MayHaveRun { retry_after }),
            },
            (None, Answer::InProgress) => Err(Error::InProgress { retry_after }),
            (None, Answer::NotRun(NotRunReason::KeyReused)) => Err(Error::KeyReused),
            (None, Answer::NotRun(NotRunReason::Deadline)) => Err(Error::Deadline),
            (None, Answer::NotRun(_)) => Err(Error::Unavailable { retry_after }),
            (None, Answer::MayHaveRun) => Err(Error::MayHaveRun { retry_after }),
        };
        info!(
            target: "decision", decision = "claim", claim = self.handle.name.as_str(),
            reason = reason(&result);
            "keyed call answered"
        );
        // The caller may have disconnected; its retry will find the recorded outcome.
        let _ = tx.send(result);
    }
}

fn reason<E>(result: &Result<KeyedReply, E>) -> &'static str {
    match result {
        Ok(keyed) if keyed.replayed => "recorded outcome",
        Ok(_) => "ran",
        Err(Error::KeyReused) => "key used for another request",
        Err(Error::InProgress { .. }) => "in progress",
        Err(Error::MayHaveRun { .. }) => "may have run",
        Err(Error::Failed(_)) => "failed",
        Err(_) => "not run",
    }
}

/// Parses the claim in an object; `None` when its body is malformed.
fn parse_claim(object: &Object) -> Option<Stored> {
    let record = serde_json::from_str(&object.body).ok()?;
    Some(Stored {
        version: object.version,
        record,
    })
}

/// Maps an error of the object API to the reply that the state machine expects: refused only when
/// the write cannot have taken effect.
fn error_reply(error: &object_api::Error) -> ApiReply {
    match error {
        object_api::Error::Conflict { current: None } => ApiReply::Conflict(None),
        object_api::Error::Conflict {
            current: Some(object),
        } => parse_claim(object).map_or(ApiReply::Lost, |s| ApiReply::Conflict(Some(s))),
        e if e.may_have_run() => ApiReply::Lost,
        object_api::Error::NotFound => ApiReply::Conflict(None),
        object_api::Error::TooLarge
        | object_api::Error::OverRate
        | object_api::Error::Unavailable
        | object_api::Error::NotSent
        | object_api::Error::Url => ApiReply::Refused,
        _ => ApiReply::Lost,
    }
}
