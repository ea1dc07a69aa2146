//! Carries out what a claim's state machine decides.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use log::info;
use tokio::sync::oneshot;

use crate::claims::CLAIM_KIND;
use crate::claims::COME_BACK;
use crate::claims::ClaimKey;
use crate::claims::Claims;
use crate::claims::Error;
use crate::claims::KeyedReply;
use crate::claims::Peers;
use crate::claims::Reply;
use crate::claims::Result;
use crate::claims::RunError;
use crate::claims::WRITES_A_CLAIM;
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

/// First pause between two looks at a claim; it doubles up to [`LONGEST_PAUSE`] once the caller
/// has its answer, so that many unsettled claims don't meet the object API at once when it is back.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// One claim and what its API calls need.
struct Holding<A: ObjectApi + 'static, P: Peers> {
    claims: Arc<Claims<A, P>>,
    name: String,
    nonce: Nonce,
    claim: Arc<Mutex<Claim>>,
    /// Writes already taken from the budget.
    prepaid: u64,
    /// The claim is not written for the first time after this. The machine itself writes again
    /// whenever it reads that there is none, which could hold the caller for as long as each write
    /// is lost and each read answered.
    create_by: Instant,
}

impl<A: ObjectApi + 'static, P: Peers> Drop for Holding<A, P> {
    fn drop(&mut self) {
        lock(&self.claims.held).remove(&self.nonce);
    }
}

impl<A: ObjectApi + 'static, P: Peers> Holding<A, P> {
    fn step(&self, event: Event) -> Vec<Action> {
        let now = self.claims.now();
        lock(&self.claim).on_event(now, event)
    }

    fn is_settled(&self) -> bool {
        lock(&self.claim).is_finished()
    }

    fn was_given_up(&self) -> bool {
        lock(&self.claim).status() == PeerStatus::NeverDispatched
    }

    /// Carries out an action on the object API or a peer.
    async fn act(&mut self, action: Action) -> Option<Event> {
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
        match self.bounded(call).await {
            Ok(object) => found(&object).map_or(ApiReply::Lost, ApiReply::Found),
            Err(object_api::Error::NotFound) => ApiReply::Absent,
            Err(e) => failed(&e),
        }
    }

    async fn write(&mut self, if_version: Version, record: &Record) -> ApiReply {
        let creates = record.phase == Phase::Claimed;
        let is_late = self.claims.now() > self.create_by;
        if creates && (is_late || self.claims.may_miss_claims()) || !self.pay() {
            return ApiReply::Refused;
        }
        let body = serde_json::to_string(record).expect("a record has no maps");
        let condition = Condition::at(if_version);
        let api = &self.claims.api;
        let call = api.put(CLAIM_KIND, &self.name, body, condition);
        match self.bounded(call).await {
            // This answer told of the later era.
            Ok(object) if creates && self.claims.may_miss_claims() => {
                self.remove(object.version).await;
                ApiReply::Refused
            }
            Ok(object) => ApiReply::Stored(object.version),
            Err(e) => failed(&e),
        }
    }

    async fn remove(&mut self, if_version: Version) -> ApiReply {
        if !self.pay() {
            return ApiReply::Refused;
        }
        let condition = Condition::at(if_version);
        let call = self.claims.api.delete(CLAIM_KIND, &self.name, condition);
        match self.bounded(call).await {
            Ok(()) | Err(object_api::Error::NotFound) => ApiReply::Removed,
            Err(e) => failed(&e),
        }
    }

    /// Takes a write from what was paid at the start, or else from the budget.
    fn pay(&mut self) -> bool {
        if self.prepaid > 0 {
            self.prepaid -= 1;
            return true;
        }
        self.claims.take_writes(1).is_ok()
    }

    /// A call that gets no reply in time counts as lost, and its connection as silent.
    async fn bounded<T>(
        &self,
        call: impl Future<Output = object_api::Result<T>>,
    ) -> object_api::Result<T> {
        let reply = tokio::time::timeout(self.claims.cfg.api_call, call).await;
        reply.unwrap_or_else(|_| {
            self.claims.api.reset_connections();
            Err(object_api::Error::Lost)
        })
    }

    /// Removes a claim that was given up, however long the object API is out.
    async fn clean_up(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut todo = VecDeque::new();
        while !self.is_settled() {
            while let Some(action) = todo.pop_front() {
                if let Some(event) = self.act(action).await {
                    todo.extend(self.step(event));
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            todo.extend(self.step(Event::Tick));
        }
    }
}

/// One submission of a keyed call.
pub(super) struct Drive<A: ObjectApi + 'static, P: Peers, F, E> {
    holding: Holding<A, P>,
    run: Option<F>,
    /// How the call ended, when it was let run.
    ran: Option<std::result::Result<Reply, RunError<E>>>,
    /// `None` once the caller has its answer.
    tx: Option<oneshot::Sender<Result<KeyedReply, E>>>,
}

impl<A, P, F, Fut, E> Drive<A, P, F, E>
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
    ) -> Drive<A, P, F, E> {
        let nonce = Nonce(rand::random());
        let req = Request {
            digest: key.digest,
            holder: claims.node,
            incarnation: claims.incarnation,
            nonce,
            deadline,
        };
        let claim = Arc::new(Mutex::new(Claim::new(claims.machine(), req)));
        lock(&claims.held).insert(nonce, Arc::clone(&claim));
        let holding = Holding {
            claims: Arc::clone(claims),
            name: key.name,
            nonce,
            claim,
            prepaid: WRITES_A_CLAIM,
            create_by: claims.now() + claims.machine().create_timeout,
        };
        Drive {
            holding,
            run: Some(run),
            ran: None,
            tx: Some(tx),
        }
    }

    /// Runs until the caller has its answer and the outcome is recorded. What is left of a claim
    /// that was given up is removed by a task of its own, for which a planned stop does not wait.
    pub(super) async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut todo: VecDeque<Action> = self.holding.step(Event::Start).into();
        loop {
            while let Some(action) = todo.pop_front() {
                if let Some(event) = self.act(action).await {
                    todo.extend(self.holding.step(event));
                }
            }
            let answered = self.tx.is_none();
            if answered && self.holding.is_settled() {
                return;
            }
            if answered && self.holding.was_given_up() {
                tokio::spawn(self.holding.clean_up());
                return;
            }
            tokio::time::sleep(pause).await;
            if answered {
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
            todo.extend(self.holding.step(Event::Tick));
        }
    }

    async fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Dispatch => Some(Event::Finished(self.dispatch().await?)),
            Action::Answer(answer) => {
                self.answer(answer);
                None
            }
            other => self.holding.act(other).await,
        }
    }

    async fn dispatch(&mut self) -> Option<RunResult> {
        let run = self.run.take()?;
        let ran = run().await;
        let how = match &ran {
            Ok(reply) => RunResult::Completed(reply.to_outcome()),
            Err(e) if e.verdict == Verdict::NotRun => RunResult::NotRun,
            Err(_) => RunResult::MayHaveRun,
        };
        self.ran = Some(ran);
        Some(how)
    }

    fn answer(&mut self, answer: Answer) {
        let Some(tx) = self.tx.take() else {
            return;
        };
        let retry_after = COME_BACK;
        let result = match (self.ran.take(), answer) {
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
            target: "decision", decision = "claim", claim = self.holding.name.as_str(),
            reason = reason(&result);
            "keyed call answered"
        );
        // The caller may have gone; its repeat will find the recorded outcome.
        let _ = tx.send(result);
    }
}

fn reason<E>(result: &Result<KeyedReply, E>) -> &'static str {
    match result {
        Ok(kept) if kept.replayed => "recorded outcome",
        Ok(_) => "ran",
        Err(Error::KeyReused) => "key used for another request",
        Err(Error::InProgress { .. }) => "in progress",
        Err(Error::MayHaveRun { .. }) => "may have run",
        Err(Error::Failed(_)) => "failed",
        Err(_) => "not run",
    }
}

/// The claim in an object; `None` where its body is not one.
fn found(object: &Object) -> Option<Stored> {
    let record = serde_json::from_str(&object.body).ok()?;
    Some(Stored {
        version: object.version,
        record,
    })
}

fn failed(error: &object_api::Error) -> ApiReply {
    match error {
        object_api::Error::Conflict { current: None } => ApiReply::Conflict(None),
        object_api::Error::Conflict {
            current: Some(object),
        } => found(object).map_or(ApiReply::Lost, |s| ApiReply::Conflict(Some(s))),
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
