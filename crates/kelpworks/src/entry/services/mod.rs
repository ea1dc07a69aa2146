//! Endpoint for calls to plain services: `/services/{name}/...`.

mod call;
mod send;

use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::HeaderName;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;

use crate::claims::KeyedReply;
use crate::claims::Reply;
use crate::claims::RunError;
use crate::entry::Entry;
use crate::entry::at_most_once;
use crate::entry::completions::request_id;
use crate::entry::reply::Failure;
use crate::entry::services::call::Call;
use crate::entry::services::send::Result;
use crate::entry::services::send::Sender;
use crate::verdict::Verdict;

/// Forwards calls to plain services.
pub(crate) struct Services {
    entry: Arc<Entry>,
    sender: Arc<Sender>,
}

impl Services {
    pub(crate) fn new(entry: Arc<Entry>) -> Services {
        let sender = Arc::new(Sender::new(Arc::clone(&entry)));
        Services { entry, sender }
    }

    async fn serve(&self, id: &str, req: &mut Request, res: &mut Response) -> Result<()> {
        if self.entry.is_closed() {
            return Err(Failure::draining());
        }
        let mut call = Call::read(&self.entry, id, req).await?;
        let keyed = match call.claim.take() {
            Some(claim) => {
                let deadline = call.deadline;
                let sender = Arc::clone(&self.sender);
                let run = async move || sender.send(&call).await.map_err(RunError::from);
                let keyed = self.entry.claims.run_once(claim, deadline, run).await;
                keyed.map_err(at_most_once::claim_failure)?
            }
            None => self.run(call).await?,
        };
        write(keyed, res);
        Ok(())
    }

    /// Runs a call in a task of its own. It continues when its caller disconnects, because a call
    /// that is aborted halfway may leave the service in an inconsistent state.
    async fn run(&self, call: Call) -> Result<KeyedReply> {
        let sender = Arc::clone(&self.sender);
        let task = async move { sender.send(&call).await };
        let ended = self.entry.tasks.spawn(task).await;
        let reply = ended.unwrap_or_else(|_| Err(at_most_once::daemon_stopped()))?;
        Ok(KeyedReply {
            reply,
            replayed: false,
        })
    }
}

fn write(keyed: KeyedReply, res: &mut Response) {
    let Reply {
        status,
        headers,
        body,
    } = keyed.reply;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    res.status_code(status);
    for header in headers {
        let name = HeaderName::try_from(header.name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(header.value)) {
            res.headers_mut().insert(name, value);
        }
    }
    if status.is_server_error() {
        let verdict = HeaderValue::from_static(Verdict::MayHaveRun.as_str());
        res.headers_mut().insert(Verdict::HEADER, verdict);
    }
    if keyed.replayed {
        at_most_once::mark_replayed(res);
    }
    res.body(body);
}

#[async_trait]
impl Handler for Services {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = request_id();
        if let Err(failure) = self.serve(&id, req, res).await {
            failure.write(&id, res);
        }
    }
}
