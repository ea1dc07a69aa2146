//! Requests with an idempotency key, which run at most once: their errors as callers see them, and
//! the recording and replay of model sessions.

use std::sync::Arc;

use salvo::Response;
use salvo::http::HeaderMap;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::admission::Permit;
use crate::claims;
use crate::claims::ClaimKey;
use crate::claims::Error;
use crate::claims::Reply;
use crate::claims::RunError;
use crate::entry::Entry;
use crate::entry::completions::RunningSession;
use crate::entry::reply::Failure;
use crate::entry::shape::ModelRequest;
use crate::entry::shape::ResponseMetadata;
use crate::entry::shape::Shape;
use crate::pipeline::Job;
use crate::pipeline::Outcome;
use crate::pipeline::SessionError;
use crate::verdict::Verdict;
use kelpworks_wire::FinishReason;

/// Response header that marks a reply recorded by an earlier request with the same key.
const REPLAYED: &str = "kelpworks-replayed";

/// Returns the idempotency key of a request; `None` if it has none.
///
/// # Errors
///
/// A 400 when the key is malformed.
pub(super) fn key(headers: &HeaderMap) -> Result<Option<String>, Failure> {
    claims::key_of(headers).map_err(|e| {
        let status = StatusCode::BAD_REQUEST;
        Failure::rejected(status, "invalid_key", e.to_string())
    })
}

pub(super) fn mark_replayed(res: &mut Response) {
    let value = HeaderValue::from_static("true");
    res.headers_mut().insert(REPLAYED, value);
}

/// Returns the failure of a call whose task ended without a result, because the daemon stopped.
pub(super) fn daemon_stopped() -> Failure {
    let status = StatusCode::BAD_GATEWAY;
    let message = "the daemon stopped under the call";
    Failure::failed(status, "stopped", message, Verdict::MayHaveRun)
}

impl From<Failure> for RunError<Failure> {
    fn from(failure: Failure) -> RunError<Failure> {
        RunError {
            verdict: failure.verdict,
            cause: failure,
        }
    }
}

/// Returns the failure to send to the caller of a request under a claim that got no reply.
pub(super) fn claim_failure(error: Error<Failure>) -> Failure {
    match error {
        Error::Failed(e) => e.cause,
        other => refusal(&other),
    }
}

fn refusal<E>(error: &Error<E>) -> Failure {
    let verdict = error.verdict();
    let (status, kind, retry_after) = match error {
        Error::Busy { retry_after } => (
            StatusCode::TOO_MANY_REQUESTS,
            "overloaded",
            Some(*retry_after),
        ),
        Error::Unavailable { retry_after } => (
            StatusCode::SERVICE_UNAVAILABLE,
            "claim_unavailable",
            Some(*retry_after),
        ),
        Error::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline", None),
        Error::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, "key_reused", None),
        Error::InProgress { retry_after } => {
            (StatusCode::CONFLICT, "in_progress", Some(*retry_after))
        }
        Error::MayHaveRun { retry_after } => {
            (StatusCode::CONFLICT, "may_have_run", Some(*retry_after))
        }
        Error::Failed(_) => (StatusCode::BAD_GATEWAY, "upstream_failed", None),
    };
    Failure {
        status,
        kind,
        message: error.to_string(),
        verdict,
        retry_after,
    }
}

/// Returns the claim of a model request with an idempotency key. It ignores whether the answer is
/// streamed: a repeated request may ask for either form.
pub(super) fn model_claim(
    team: &str,
    shape: Shape,
    model_request: &ModelRequest,
    key: &str,
) -> ClaimKey {
    let target = format!("model {} {shape:?}", model_request.model);
    let request = format!("{} {}", model_request.max_tokens, model_request.prompt);
    ClaimKey::new(team, &target, key, request.as_bytes())
}

/// A complete answer of a model, as stored in its claim.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct RecordedAnswer {
    id: String,
    created: u64,
    tokens: Vec<u32>,
    end: FinishReason,
}

impl RecordedAnswer {
    fn to_reply(&self) -> Reply {
        Reply {
            status: StatusCode::OK.as_u16(),
            headers: Vec::new(),
            body: serde_json::to_vec(self).expect("it has no maps").into(),
        }
    }
}

/// A session under a claim: either running, or replayed from the recorded answer.
pub(super) struct Started {
    /// Metadata of the request that was executed.
    pub(super) metadata: ResponseMetadata,
    pub(super) running: RunningSession,
    /// Whether the answer was recorded by an earlier request with the same key.
    pub(super) replayed: bool,
}

/// Starts a session under a claim, or replays its recorded answer. The session runs to its end even
/// if the caller disconnects, so that its outcome is recorded.
///
/// # Errors
///
/// When the claim is refused, or there is neither a running session nor a recorded answer.
pub(super) async fn start(
    entry: &Arc<Entry>,
    claim: ClaimKey,
    metadata: ResponseMetadata,
    job: Job,
    permit: Permit,
) -> Result<Started, Failure> {
    let deadline = job.deadline;
    let (tokens_tx, tokens_rx) = oneshot::channel();
    let (result_tx, mut result_rx) = oneshot::channel();
    let (end_tx, outcome) = oneshot::channel();
    let run = {
        let entry = Arc::clone(entry);
        let metadata = metadata.clone();
        async move || session(&entry, job, permit, metadata, tokens_tx).await
    };
    let claims = Arc::clone(&entry.claims);
    entry.tasks.spawn(async move {
        let result = claims.run_once(claim, deadline, run).await;
        let _ = end_tx.send(outcome_of(&result));
        let _ = result_tx.send(result);
    });
    tokio::select! {
        biased;
        Ok(tokens) = tokens_rx => Ok(Started {
            metadata,
            running: RunningSession { tokens, outcome },
            replayed: false,
        }),
        result = &mut result_rx => match result {
            Ok(Ok(keyed)) => replay(metadata, &keyed.reply),
            Ok(Err(Error::Failed(e))) => {
                let error = e.cause.result.err().unwrap_or(SessionError::CallerGone);
                Err(Failure::session_failed(&error, e.verdict))
            }
            Ok(Err(e)) => Err(refusal(&e)),
            Err(_) => Err(daemon_stopped()),
        },
    }
}

/// Runs a session to its end and passes each token on to the caller, which may be slow or gone.
async fn session(
    entry: &Entry,
    job: Job,
    permit: Permit,
    metadata: ResponseMetadata,
    receiver_tx: oneshot::Sender<mpsc::Receiver<u32>>,
) -> Result<Reply, RunError<Outcome>> {
    let capacity = job.max_tokens as usize;
    let (tx, mut rx) = mpsc::channel(capacity);
    // Capacity for the whole answer, so that a slow caller does not delay the session.
    let (caller, tokens) = mpsc::channel(capacity);
    let _ = receiver_tx.send(tokens);
    let mut recorded = Vec::new();
    let collect = async {
        while let Some(token) = rx.recv().await {
            recorded.push(token);
            let _ = caller.try_send(token);
        }
    };
    let run_session = async {
        let ended = entry.driver.run(job, &permit, &tx).await;
        drop(tx);
        ended
    };
    let (ended, ()) = tokio::join!(run_session, collect);
    match ended.result {
        Ok(end) => Ok(RecordedAnswer {
            id: metadata.id,
            created: metadata.created,
            tokens: recorded,
            end,
        }
        .to_reply()),
        Err(_) => Err(RunError {
            verdict: ended.verdict,
            cause: ended,
        }),
    }
}

/// Returns the outcome of a session, for the caller that receives its tokens.
fn outcome_of(result: &claims::Result<claims::KeyedReply, Outcome>) -> Outcome {
    let end = |result, verdict| Outcome {
        result,
        verdict,
        recoveries: 0,
    };
    match result {
        Ok(keyed) => match serde_json::from_slice::<RecordedAnswer>(&keyed.reply.body) {
            Ok(recorded) => end(Ok(recorded.end), Verdict::MayHaveRun),
            Err(_) => end(Err(SessionError::CallerGone), Verdict::MayHaveRun),
        },
        Err(Error::Failed(e)) => e.cause.clone(),
        Err(e) => end(Err(SessionError::CallerGone), e.verdict()),
    }
}

/// Converts a recorded answer to a session whose tokens are all available.
fn replay(metadata: ResponseMetadata, reply: &Reply) -> Result<Started, Failure> {
    let recorded: RecordedAnswer =
        serde_json::from_slice(&reply.body).map_err(|_| daemon_stopped())?;
    let (tx, tokens) = mpsc::channel(recorded.tokens.len().max(1));
    for token in recorded.tokens {
        let _ = tx.try_send(token);
    }
    let (end_tx, outcome) = oneshot::channel();
    let _ = end_tx.send(Outcome {
        result: Ok(recorded.end),
        verdict: Verdict::MayHaveRun,
        recoveries: 0,
    });
    Ok(Started {
        metadata: ResponseMetadata {
            id: recorded.id,
            created: recorded.created,
            ..metadata
        },
        running: RunningSession { tokens, outcome },
        replayed: true,
    })
}
