//! Engines whose replies are changed on the way: a proxy before each stand-in engine.

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
use crate::contract::script::Reply;
use crate::contract::script::serve;
use crate::contract::until;

const STEPS: &str = "/v1/steps";
/// Largest body that goes through, in bytes.
const MAX_BODY: usize = 1 << 20;

/// What becomes of one reply to a step that ran.
#[derive(Clone, Debug)]
pub(crate) enum Mangle {
    /// A field of the only reply is replaced.
    Field { field: &'static str, value: Value },
    /// The only reply is there so many times.
    Replies(usize),
    /// Something else comes in its place.
    Other(Reply),
}

/// A change that waits for its step.
#[derive(Debug, Default)]
struct Armed {
    mangle: Option<Mangle>,
    /// Steps until then.
    steps: usize,
}

#[derive(Debug)]
struct Proxy {
    armed: Arc<Mutex<Armed>>,
    _task: AbortOnDropHandle<()>,
}

/// A daemon before engines behind proxies, one a stage.
#[derive(Debug)]
pub(crate) struct MangledFleet {
    pub(crate) setup: Setup,
    proxies: Vec<Proxy>,
}

impl MangledFleet {
    /// Starts it and waits until the daemon has a path.
    pub(crate) async fn start() -> MangledFleet {
        let mut proxies = Vec::new();
        let redirect = async |view: &mut kelpworks_fakes::fleet::FleetView| {
            for engine in &mut view.engines {
                let armed = Arc::default();
                let relay = Relay {
                    target: engine.url.clone(),
                    client: Client::builder().no_proxy().build().expect("a client"),
                    armed: Arc::clone(&armed),
                };
                let (address, task) = serve(Router::with_path("{**rest}").goal(relay)).await;
                engine.address = address;
                proxies.push(Proxy { armed, _task: task });
            }
        };
        let setup = Setup::start(redirect, "").await;
        let caller = setup.caller();
        until("the daemon has a path", async || {
            let answer = caller.complete("first", 1).await.expect("an answer");
            matches!(answer.end, End::Whole(_))
        })
        .await;
        MangledFleet { setup, proxies }
    }

    /// Changes the reply to the `step`th step of a stage from now on, counted from 1.
    pub(crate) fn mangle(&self, stage: usize, step: usize, mangle: Mangle) {
        *self.armed(stage) = Armed {
            mangle: Some(mangle),
            steps: step,
        };
    }

    /// Whether the change of a stage's reply has taken place.
    pub(crate) fn was_mangled(&self, stage: usize) -> bool {
        self.armed(stage).mangle.is_none()
    }

    pub(crate) fn caller(&self) -> Caller {
        self.setup.caller()
    }

    fn armed(&self, stage: usize) -> std::sync::MutexGuard<'_, Armed> {
        self.proxies[stage].armed.lock().expect("not poisoned")
    }
}

struct Relay {
    target: String,
    client: Client,
    armed: Arc<Mutex<Armed>>,
}

impl Relay {
    /// The change of this reply, when its step has come.
    fn due(&self) -> Option<Mangle> {
        let mut armed = self.armed.lock().expect("not poisoned");
        armed.steps = armed.steps.saturating_sub(1);
        match armed.steps {
            0 => armed.mangle.take(),
            _ => None,
        }
    }

    async fn pass(&self, req: &mut Request, res: &mut Response) -> reqwest::Result<()> {
        let url = format!("{}{}", self.target, req.uri());
        let is_step = req.uri().path() == STEPS;
        let body = req.payload_with_max_size(MAX_BODY).await;
        let body = body.cloned().unwrap_or_default();
        let sent = self.client.request(req.method().clone(), url).body(body);
        let reply = sent.send().await?;
        res.status_code(reply.status());
        let reply = reply.bytes().await?;
        match is_step.then(|| self.due()).flatten() {
            None => {
                res.body(reply.to_vec());
            }
            Some(Mangle::Other(other)) => other.write(res).await,
            Some(mangle) => {
                let mut batch: Value = serde_json::from_slice(&reply).expect("a reply");
                mangle.apply(&mut batch);
                res.body(batch.to_string());
            }
        }
        Ok(())
    }
}

impl Mangle {
    fn apply(self, batch: &mut Value) {
        let replies = batch["replies"].as_array_mut().expect("replies");
        match self {
            Mangle::Field { field, value } => replies[0][field] = value,
            Mangle::Replies(count) => *replies = vec![replies[0].clone(); count],
            Mangle::Other(_) => unreachable!("written as it is"),
        }
    }
}

#[async_trait]
impl Handler for Relay {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if self.pass(req, res).await.is_err() {
            res.status_code(StatusCode::BAD_GATEWAY);
        }
    }
}
