//! Proxies in front of fake engines that change single replies on the way to the daemon.

use std::sync::Arc;
use std::sync::Mutex;

use reqwest::Client;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::StatusCode;
use serde_json::Value;
use tokio_util::task::AbortOnDropHandle;

use crate::caller::Caller;
use crate::caller::End;
use crate::contract::Setup;
use crate::contract::scripted_server::Reply;
use crate::contract::scripted_server::serve;
use crate::contract::wait_until;

const STEPS: &str = "/v1/steps";
/// Largest request body that a proxy forwards.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Change of one reply to a step that the engine has run.
#[derive(Clone, Debug)]
pub(crate) enum ReplyMutation {
    /// Replaces a field of the first reply of the batch.
    Field { field: &'static str, value: Value },
    /// Repeats the first reply of the batch this number of times; 0 empties the batch.
    Replies(usize),
    /// Sends this in place of the reply.
    Replace(Reply),
}

/// The next change of a stage's replies; without a mutation, replies pass unchanged.
#[derive(Debug, Default)]
struct PendingMutation {
    mutation: Option<ReplyMutation>,
    /// Number of step calls up to and including the one whose reply is changed.
    steps_left: usize,
}

#[derive(Debug)]
struct Proxy {
    pending: Arc<Mutex<PendingMutation>>,
    _task: AbortOnDropHandle<()>,
}

/// A daemon whose engines, one per stage, are behind proxies.
#[derive(Debug)]
pub(crate) struct ProxiedFleet {
    pub(crate) setup: Setup,
    proxies: Vec<Proxy>,
}

impl ProxiedFleet {
    /// Starts the fleet and waits until the daemon completes a request.
    pub(crate) async fn start() -> ProxiedFleet {
        let mut proxies = Vec::new();
        let redirect = async |view: &mut kelpworks_fakes::fleet::FleetView| {
            for engine in &mut view.engines {
                let pending = Arc::default();
                let handler = ProxyHandler {
                    target: engine.url.clone(),
                    client: Client::builder().no_proxy().build().expect("a client"),
                    pending: Arc::clone(&pending),
                };
                let (address, task) = serve(Router::with_path("{**rest}").goal(handler)).await;
                engine.address = address;
                proxies.push(Proxy {
                    pending,
                    _task: task,
                });
            }
        };
        let setup = Setup::start(redirect, "").await;
        let caller = setup.caller();
        wait_until("the daemon has a path", async || {
            let answer = caller.complete("first", 1).await.expect("an answer");
            matches!(answer.end, End::Whole(_))
        })
        .await;
        ProxiedFleet { setup, proxies }
    }

    /// Changes the reply to one later step of a stage; `step` 1 is the next step.
    pub(crate) fn mutate_reply(&self, stage: usize, step: usize, mutation: ReplyMutation) {
        *self.pending(stage) = PendingMutation {
            mutation: Some(mutation),
            steps_left: step,
        };
    }

    /// Returns whether no change of a stage's reply is pending any more.
    pub(crate) fn was_mutated(&self, stage: usize) -> bool {
        self.pending(stage).mutation.is_none()
    }

    pub(crate) fn caller(&self) -> Caller {
        self.setup.caller()
    }

    fn pending(&self, stage: usize) -> std::sync::MutexGuard<'_, PendingMutation> {
        self.proxies[stage].pending.lock().expect("not poisoned")
    }
}

struct ProxyHandler {
    target: String,
    client: Client,
    pending: Arc<Mutex<PendingMutation>>,
}

impl ProxyHandler {
    /// Counts a step and returns the pending mutation if it applies to the step's reply.
    fn take_due_mutation(&self) -> Option<ReplyMutation> {
        let mut pending = self.pending.lock().expect("not poisoned");
        pending.steps_left = pending.steps_left.saturating_sub(1);
        match pending.steps_left {
            0 => pending.mutation.take(),
            _ => None,
        }
    }

    async fn forward(&self, req: &mut Request, res: &mut Response) -> reqwest::Result<()> {
        let url = format!("{}{}", self.target, req.uri());
        let is_step = req.uri().path() == STEPS;
        let body = req.payload_with_max_size(MAX_BODY_BYTES).await;
        let body = body.cloned().unwrap_or_default();
        let sent = self.client.request(req.method().clone(), url).body(body);
        let reply = sent.send().await?;
        res.status_code(reply.status());
        let reply = reply.bytes().await?;
        match is_step.then(|| self.take_due_mutation()).flatten() {
            None => {
                res.body(reply.to_vec());
            }
            Some(ReplyMutation::Replace(replacement)) => replacement.write(res).await,
            Some(mutation) => {
                let mut batch: Value = serde_json::from_slice(&reply).expect("a reply");
                mutation.apply(&mut batch);
                res.body(batch.to_string());
            }
        }
        Ok(())
    }
}

impl ReplyMutation {
    fn apply(self, batch: &mut Value) {
        let replies = batch["replies"].as_array_mut().expect("replies");
        match self {
            ReplyMutation::Field { field, value } => replies[0][field] = value,
            ReplyMutation::Replies(count) => *replies = vec![replies[0].clone(); count],
            ReplyMutation::Replace(_) => unreachable!("written as it is"),
        }
    }
}

#[async_trait]
impl Handler for ProxyHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if self.forward(req, res).await.is_err() {
            res.status_code(StatusCode::BAD_GATEWAY);
        }
    }
}
