//! Endpoints for model requests: `/v1/completions` and `/v1/chat/completions`.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
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
use crate::body;
use crate::body::Pace;
use crate::claims::ClaimKey;
use crate::entry::Entry;
use crate::entry::at_most_once;
use crate::entry::auth;
use crate::entry::reply::Failure;
use crate::entry::reply::REQUEST_ID;
use crate::entry::shape::ModelRequest;
use crate::entry::shape::ResponseMetadata;
use crate::entry::shape::Shape;
use crate::http_server::set_request_read;
use crate::pipeline::Job;
use crate::pipeline::Outcome;
use crate::pipeline::SessionError;
use crate::pipeline::tokens;
use crate::quarantine::fingerprint;
use crate::verdict::Verdict;
use kelpworks_wire::FinishReason;
use kelpworks_wire::Usage;

/// Result of a request; an error is ready to be sent to the caller.
type Result<T> = std::result::Result<T, Failure>;

/// Tokens buffered for a slow caller. When the buffer is full, the session waits.
const MAX_BUFFERED_TOKENS: usize = 32;
/// Longest time without progress of a request body; bounds how long a stalled caller holds resources.
const BODY_PROGRESS_PERIOD: Duration = Duration::from_secs(30);
/// Last event of a stream, as clients of this API expect it.
const DONE: &str = "[DONE]";

/// Serves model requests of one format.
pub(crate) struct Completions {
    entry: Arc<Entry>,
    shape: Shape,
}

/// A running session.
pub(super) struct RunningSession {
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
        let caller = auth::authenticate(&self.entry.config.load(), req.headers())?;
        let body = read_body(&self.entry, req).await?;
        let model_request = self.shape.read(&body)?;
        let job = self.job(id, &caller, &model_request)?;
        let claim = self.claim(req, &caller, &model_request)?;
        if claim.is_none() {
            // A request with a claim is not checked here: it may have run under its key before and
            // then gets the recorded reply. Otherwise its session is refused at the first step.
            self.entry.driver.quarantine.check(job.fingerprint)?;
        }
        let mut metadata = ResponseMetadata {
            id: id.to_owned(),
            model: model_request.model.clone(),
            created: unix_now(),
        };
        let prompt_tokens = job.prompt.len() as u32;
        let running = match claim {
            None => self.start(&caller, job).await?,
            Some(claim) => {
                let permit = self.admit(&caller, &job).await?;
                let started =
                    at_most_once::start(&self.entry, claim, metadata, job, permit).await?;
                if started.replayed {
                    at_most_once::mark_replayed(res);
                }
                metadata = started.metadata;
                started.running
            }
        };
        if let Ok(value) = HeaderValue::from_str(id) {
            res.headers_mut().insert(REQUEST_ID, value);
        }
        if model_request.stream {
            self.stream(metadata, running, res).await
        } else {
            self.respond_whole(&metadata, prompt_tokens, running, res)
                .await
        }
    }

    fn job(&self, id: &str, caller: &Caller, model_request: &ModelRequest) -> Result<Job> {
        let fleet = self.entry.fleet.load();
        let Some(model) = fleet.model(&model_request.model) else {
            let message = format!("there is no model {:?}", model_request.model);
            return Err(Failure::rejected(
                StatusCode::NOT_FOUND,
                "unknown_model",
                message,
            ));
        };
        let limit = self.entry.limits.max_tokens;
        if model_request.max_tokens == 0 || model_request.max_tokens > limit {
            let message = format!("max_tokens must be from 1 to {limit}");
            return Err(Failure::rejected(
                StatusCode::BAD_REQUEST,
                "invalid_request",
                message,
            ));
        }
        if model_request.prompt.is_empty() {
            let message = "the prompt is empty";
            return Err(Failure::rejected(
                StatusCode::BAD_REQUEST,
                "invalid_request",
                message,
            ));
        }
        Ok(Job {
            session: id.to_owned(),
            team: caller.team.clone(),
            class: caller.class,
            fingerprint: fingerprint(&caller.team, &model_request.model, &model_request.prompt),
            model,
            prompt: tokens::encode(&model_request.prompt),
            max_tokens: model_request.max_tokens,
            deadline: Instant::now() + self.entry.request_timeout,
        })
    }

    /// Returns the claim of a request that must run at most once and has an idempotency key.
    fn claim(
        &self,
        req: &Request,
        caller: &Caller,
        model_request: &ModelRequest,
    ) -> Result<Option<ClaimKey>> {
        let config = self.entry.config.load();
        if !config.model_is_non_idempotent(&model_request.model, &caller.team) {
            return Ok(None);
        }
        let key = at_most_once::key(req.headers())?;
        Ok(key.map(|k| at_most_once::model_claim(&caller.team, self.shape, model_request, &k)))
    }

    async fn admit(&self, caller: &Caller, job: &Job) -> Result<Permit> {
        let admission_request = AdmissionRequest {
            team: &caller.team,
            class: caller.class,
            weight: caller.weight,
            cost: job.prompt.len() as u32 + job.max_tokens,
        };
        tokio::select! {
            permit = self.entry.admission.admit(admission_request) => Ok(permit?),
            () = self.entry.driver.abort.cancelled() => Err(Failure::draining()),
        }
    }

    /// Waits for admission and starts the session in a task of its own, so that its memory on the
    /// engines is freed even if the caller disconnects.
    async fn start(&self, caller: &Caller, job: Job) -> Result<RunningSession> {
        let permit = self.admit(caller, &job).await?;
        let (tx, tokens) = mpsc::channel(MAX_BUFFERED_TOKENS);
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
        Ok(RunningSession { tokens, outcome })
    }

    async fn respond_whole(
        &self,
        metadata: &ResponseMetadata,
        prompt_tokens: u32,
        mut running: RunningSession,
        res: &mut Response,
    ) -> Result<()> {
        let mut text = String::new();
        let mut count = 0;
        while let Some(token) = running.tokens.recv().await {
            text.push_str(&tokens::decode(token));
            count += 1;
        }
        let end = session_result(running.outcome).await?;
        let usage = Usage {
            completion_tokens: count,
            prompt_tokens,
            total_tokens: prompt_tokens + count,
        };
        res.headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        res.body(self.shape.response(metadata, text, end, usage));
        Ok(())
    }

    /// Streams the answer. A failure before the first token is still sent as an HTTP status.
    async fn stream(
        &self,
        metadata: ResponseMetadata,
        mut running: RunningSession,
        res: &mut Response,
    ) -> Result<()> {
        let Some(first) = running.tokens.recv().await else {
            let end = session_result(running.outcome).await?;
            let last = [
                self.shape.chunk(&metadata, String::new(), Some(end)),
                DONE.into(),
            ];
            sse::stream(
                res,
                stream::iter(last.map(|data| Ok::<_, Infallible>(event(&data)))),
            );
            return Ok(());
        };
        sse::stream(res, events(self.shape, metadata, first, running));
        Ok(())
    }
}

/// What a stream of events sends next.
enum Phase {
    Token(u32),
    Tokens,
    Done,
    Ended,
}

fn events(
    shape: Shape,
    metadata: ResponseMetadata,
    first: u32,
    running: RunningSession,
) -> impl Stream<Item = std::result::Result<SseEvent, Infallible>> {
    let start = (Phase::Token(first), running);
    stream::unfold(start, move |(next, mut running)| {
        let metadata = metadata.clone();
        async move {
            let token = match next {
                Phase::Token(token) => Some(token),
                Phase::Tokens => running.tokens.recv().await,
                Phase::Done => return Some((Ok(event(DONE.as_bytes())), (Phase::Ended, running))),
                Phase::Ended => return None,
            };
            if let Some(token) = token {
                let data = shape.chunk(&metadata, tokens::decode(token), None);
                return Some((Ok(event(&data)), (Phase::Tokens, running)));
            }
            let (tx, spent) = oneshot::channel();
            drop(tx);
            let outcome = std::mem::replace(&mut running.outcome, spent);
            match session_result(outcome).await {
                Ok(end) => {
                    let data = shape.chunk(&metadata, String::new(), Some(end));
                    Some((Ok(event(&data)), (Phase::Done, running)))
                }
                Err(failure) => {
                    let data = serde_json::to_vec(&failure.body(&metadata.id)).unwrap_or_default();
                    Some((Ok(event(&data).name("error")), (Phase::Ended, running)))
                }
            }
        }
    })
}

fn event(data: &[u8]) -> SseEvent {
    SseEvent::default().text(String::from_utf8_lossy(data))
}

async fn session_result(outcome: oneshot::Receiver<Outcome>) -> Result<FinishReason> {
    match outcome.await {
        Ok(Outcome {
            result: Ok(end), ..
        }) => Ok(end),
        Ok(Outcome {
            result: Err(error),
            verdict,
            ..
        }) => Err(Failure::session_failed(&error, verdict)),
        // The session's task ended without an outcome, because the daemon stopped.
        Err(_) => Err(Failure::session_failed(
            &SessionError::CallerGone,
            Verdict::MayHaveRun,
        )),
    }
}

/// Reads a request's body.
pub(crate) async fn read_body(entry: &Entry, req: &mut Request) -> Result<Bytes> {
    let max_bytes = entry.limits.body_bytes;
    let pace = Pace {
        deadline: Instant::now() + entry.request_timeout,
        period: BODY_PROGRESS_PERIOD,
    };
    let memory = entry.memory.reservation();
    let read = body::read_whole(req.take_body(), max_bytes as usize, Some(pace), memory).await;
    set_request_read(req);
    read.map_err(|e| match e {
        body::Error::TooLarge => {
            let message = format!("the body is larger than {max_bytes} bytes");
            Failure::rejected(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
        }
        body::Error::BrokenOff => Failure::rejected(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            "the body broke off",
        ),
        body::Error::TooSlow => Failure::rejected(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            "the body did not come in time",
        ),
        body::Error::Memory(_) => Failure::failed(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_memory",
            "memory for requests is used up",
            Verdict::NotRun,
        ),
    })
}

fn unix_now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

/// Returns a random request id, unique across daemons.
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
