//! Model requests: `/v1/completions` and `/v1/chat/completions`.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use futures_util::Stream;
use futures_util::stream;
use log::info;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::HeaderValue;
use salvo::http::ParseError;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use salvo::sse;
use salvo::sse::SseEvent;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::active_config::Caller;
use crate::admission::AdmissionRequest;
use crate::admission::Permit;
use crate::claims::ClaimKey;
use crate::entry::Entry;
use crate::entry::auth;
use crate::entry::once;
use crate::entry::reply::Failure;
use crate::entry::reply::REQUEST_ID;
use crate::entry::shape::Asked;
use crate::entry::shape::Frame;
use crate::entry::shape::Shape;
use crate::pipeline::Job;
use crate::pipeline::Outcome;
use crate::pipeline::SessionError;
use crate::pipeline::tokens;
use crate::quarantine::fingerprint;
use crate::verdict::Verdict;
use kelpworks_wire::FinishReason;
use kelpworks_wire::Usage;

/// The result of this module.
type Result<T> = std::result::Result<T, Failure>;

/// Tokens that may wait for a slow caller; then its session waits.
const TOKENS_AHEAD: usize = 32;
/// Wait for the whole body of a request; a caller that stops halfway holds nothing for longer.
const BODY_DEADLINE: Duration = Duration::from_secs(30);
/// Last event of a stream, by custom of this interface.
const DONE: &str = "[DONE]";

/// Handler of model requests.
pub(crate) struct Completions {
    entry: Arc<Entry>,
    shape: Shape,
}

/// A session under way.
pub(super) struct Running {
    pub(super) tokens: mpsc::Receiver<u32>,
    pub(super) outcome: oneshot::Receiver<Outcome>,
}

impl Completions {
    pub(crate) fn new(entry: Arc<Entry>, shape: Shape) -> Completions {
        Completions { entry, shape }
    }

    async fn serve(&self, id: &str, req: &mut Request, res: &mut Response) -> Result<()> {
        if self.entry.is_closed() {
            return Err(Failure::draining());
        }
        let caller = auth::caller(&self.entry.config.load(), req.headers())?;
        let body = body(req, self.entry.limits.body_bytes).await?;
        let asked = self.shape.read(body)?;
        let job = self.job(id, &caller, &asked)?;
        let claim = self.claim(req, &caller, &asked)?;
        if claim.is_none() {
            // A claimed call may have run under its key before; its claim knows, and its session
            // is refused at its first step.
            self.entry.driver.quarantine.check(job.fingerprint)?;
        }
        let mut frame = Frame {
            id: id.to_owned(),
            model: asked.model.clone(),
            created: unix_now(),
        };
        let prompt_tokens = job.prompt.len() as u32;
        let running = match claim {
            None => self.start(&caller, job).await?,
            Some(claim) => {
                let permit = self.admit(&caller, &job).await?;
                let started = once::start(&self.entry, claim, frame, job, permit).await?;
                if started.replayed {
                    once::mark_replayed(res);
                }
                frame = started.frame;
                started.running
            }
        };
        if let Ok(value) = HeaderValue::from_str(id) {
            res.headers_mut().insert(REQUEST_ID, value);
        }
        if asked.stream {
            self.stream(frame, running, res).await
        } else {
            self.whole(&frame, prompt_tokens, running, res).await
        }
    }

    fn job(&self, id: &str, caller: &Caller, asked: &Asked) -> Result<Job> {
        let fleet = self.entry.fleet.load();
        let Some(model) = fleet.model(&asked.model) else {
            let message = format!("there is no model {:?}", asked.model);
            return Err(Failure::bad(
                StatusCode::NOT_FOUND,
                "unknown_model",
                message,
            ));
        };
        let most = self.entry.limits.max_tokens;
        if asked.max_tokens == 0 || asked.max_tokens > most {
            let message = format!("max_tokens must be from 1 to {most}");
            return Err(Failure::bad(
                StatusCode::BAD_REQUEST,
                "invalid_request",
                message,
            ));
        }
        if asked.prompt.is_empty() {
            let message = "the prompt is empty";
            return Err(Failure::bad(
                StatusCode::BAD_REQUEST,
                "invalid_request",
                message,
            ));
        }
        Ok(Job {
            session: id.to_owned(),
            team: caller.team.clone(),
            class: caller.class,
            fingerprint: fingerprint(&caller.team, &asked.model, &asked.prompt),
            model,
            prompt: tokens::encode(&asked.prompt),
            max_tokens: asked.max_tokens,
            deadline: Instant::now() + self.entry.request_timeout,
        })
    }

    /// The claim of a keyed request that must run at most once.
    fn claim(&self, req: &Request, caller: &Caller, asked: &Asked) -> Result<Option<ClaimKey>> {
        let config = self.entry.config.load();
        if !config.model_is_non_idempotent(&asked.model, &caller.team) {
            return Ok(None);
        }
        let key = once::key(req.headers())?;
        Ok(key.map(|k| once::model_claim(&caller.team, self.shape, asked, &k)))
    }

    async fn admit(&self, caller: &Caller, job: &Job) -> Result<Permit> {
        let ask = AdmissionRequest {
            team: &caller.team,
            class: caller.class,
            weight: caller.weight,
            cost: job.prompt.len() as u32 + job.max_tokens,
        };
        tokio::select! {
            permit = self.entry.admission.admit(ask) => Ok(permit?),
            () = self.entry.driver.abort.cancelled() => Err(Failure::draining()),
        }
    }

    /// Waits for admission and starts the session in a task of its own, which frees its memory on
    /// the engines also when the caller goes.
    async fn start(&self, caller: &Caller, job: Job) -> Result<Running> {
        let permit = self.admit(caller, &job).await?;
        let (tx, tokens) = mpsc::channel(TOKENS_AHEAD);
        let (done, outcome) = oneshot::channel();
        let entry = Arc::clone(&self.entry);
        self.entry.tasks.spawn(async move {
            let id = job.session.clone();
            let ended = entry.driver.run(job, &permit, &tx).await;
            info!(
                target: "decision", decision = "end", request = id.as_str(),
                result:? = ended.result, verdict = ended.verdict.as_str(),
                recoveries = ended.recoveries;
                "session ended"
            );
            let _ = done.send(ended);
        });
        Ok(Running { tokens, outcome })
    }

    async fn whole(
        &self,
        frame: &Frame,
        prompt_tokens: u32,
        mut running: Running,
        res: &mut Response,
    ) -> Result<()> {
        let mut text = String::new();
        let mut count = 0;
        while let Some(token) = running.tokens.recv().await {
            text.push_str(&tokens::decode(token));
            count += 1;
        }
        let end = finish(running.outcome).await?;
        let usage = Usage {
            completion_tokens: count,
            prompt_tokens,
            total_tokens: prompt_tokens + count,
        };
        res.headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        res.body(self.shape.whole(frame, text, end, usage));
        Ok(())
    }

    /// Streams the answer. Until the first token is there a failure still gets a status.
    async fn stream(&self, frame: Frame, mut running: Running, res: &mut Response) -> Result<()> {
        let Some(first) = running.tokens.recv().await else {
            let end = finish(running.outcome).await?;
            let last = [
                self.shape.piece(&frame, String::new(), Some(end)),
                DONE.into(),
            ];
            sse::stream(
                res,
                stream::iter(last.map(|data| Ok::<_, Infallible>(event(&data)))),
            );
            return Ok(());
        };
        sse::stream(res, events(self.shape, frame, first, running));
        Ok(())
    }
}

/// Where a stream of events stands.
enum Next {
    Token(u32),
    Tokens,
    Done,
    Ended,
}

fn events(
    shape: Shape,
    frame: Frame,
    first: u32,
    running: Running,
) -> impl Stream<Item = std::result::Result<SseEvent, Infallible>> {
    let start = (Next::Token(first), running);
    stream::unfold(start, move |(next, mut running)| {
        let frame = frame.clone();
        async move {
            let token = match next {
                Next::Token(token) => Some(token),
                Next::Tokens => running.tokens.recv().await,
                Next::Done => return Some((Ok(event(DONE.as_bytes())), (Next::Ended, running))),
                Next::Ended => return None,
            };
            if let Some(token) = token {
                let data = shape.piece(&frame, tokens::decode(token), None);
                return Some((Ok(event(&data)), (Next::Tokens, running)));
            }
            let (tx, spent) = oneshot::channel();
            drop(tx);
            let outcome = std::mem::replace(&mut running.outcome, spent);
            match finish(outcome).await {
                Ok(end) => {
                    let data = shape.piece(&frame, String::new(), Some(end));
                    Some((Ok(event(&data)), (Next::Done, running)))
                }
                Err(failure) => {
                    let data = serde_json::to_vec(&failure.body(&frame.id)).unwrap_or_default();
                    Some((Ok(event(&data).name("error")), (Next::Ended, running)))
                }
            }
        }
    })
}

fn event(data: &[u8]) -> SseEvent {
    SseEvent::default().text(String::from_utf8_lossy(data))
}

async fn finish(outcome: oneshot::Receiver<Outcome>) -> Result<FinishReason> {
    match outcome.await {
        Ok(Outcome {
            result: Ok(end), ..
        }) => Ok(end),
        Ok(Outcome {
            result: Err(ending),
            verdict,
            ..
        }) => Err(Failure::ended(&ending, verdict)),
        // The task is gone without a word: it was stopped with the daemon.
        Err(_) => Err(Failure::ended(
            &SessionError::CallerGone,
            Verdict::MayHaveRun,
        )),
    }
}

/// Reads a request's body, up to `most` bytes.
pub(crate) async fn body(req: &mut Request, most: u64) -> Result<&[u8]> {
    let reading = req.payload_with_max_size(most as usize);
    let Ok(payload) = tokio::time::timeout(BODY_DEADLINE, reading).await else {
        return Err(Failure::bad(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            "the body did not come in time",
        ));
    };
    payload.map(|b| &b[..]).map_err(|e| match e {
        ParseError::PayloadTooLarge => {
            let message = format!("the body is larger than {most} bytes");
            Failure::bad(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
        }
        e => Failure::bad(StatusCode::BAD_REQUEST, "invalid_request", e.to_string()),
    })
}

fn unix_now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

/// A request id that no other daemon gives out.
pub(crate) fn request_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

#[async_trait]
impl Handler for Completions {
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
