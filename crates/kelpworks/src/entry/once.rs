//! Requests that run at most once, as callers see them; and keyed model requests.

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
use crate::entry::completions::Running;
use crate::entry::reply::Failure;
use crate::entry::shape::Asked;
use crate::entry::shape::Frame;
use crate::entry::shape::Shape;
use crate::pipeline::Job;
use crate::pipeline::Outcome;
use crate::pipeline::SessionError;
use crate::verdict::Verdict;
use kelpworks_wire::FinishReason;

/// Header of an answer that an earlier submission of the key got first.
const REPLAYED: &str = "kelpworks-replayed";

/// The caller's key.
///
/// # Errors
///
/// A 400 when it can't be used.
pub(super) fn key(headers: &HeaderMap) -> Result<Option<String>, Failure> {
    claims::key_of(headers).map_err(|e| {
        let status = StatusCode::BAD_REQUEST;
        Failure::bad(status, "invalid_key", e.to_string())
    })
}

pub(super) fn mark_replayed(res: &mut Response) {
    let value = HeaderValue::from_static("true");
    res.headers_mut().insert(REPLAYED, value);
}

/// The call's task is gone without a word: it was stopped with the daemon.
pub(super) fn stopped() -> Failure {
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

/// What a caller is told when its keyed call has no answer.
pub(super) fn failure(error: Error<Failure>) -> Failure {
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

/// The claim of a keyed model request. Whether the answer is streamed is left out: a repeat may
/// ask for it in either form.
pub(super) fn model_claim(team: &str, shape: Shape, asked: &Asked, key: &str) -> ClaimKey {
    let target = format!("model {} {shape:?}", asked.model);
    let request = format!("{} {}", asked.max_tokens, asked.prompt);
    ClaimKey::new(team, &target, key, request.as_bytes())
}

/// A whole answer of a model, as claims record it.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Told {
    id: String,
    created: u64,
    tokens: Vec<u32>,
    end: FinishReason,
}

impl Told {
    fn to_reply(&self) -> Reply {
        Reply {
            status: StatusCode::OK.as_u16(),
            headers: Vec::new(),
            body: serde_json::to_vec(self).expect("it has no maps").into(),
        }
    }
}

/// A keyed session under way, or one that ended before.
pub(super) struct Started {
    /// The frame of the submission that ran.
    pub(super) frame: Frame,
    pub(super) running: Running,
    /// Whether an earlier submission ran.
    pub(super) replayed: bool,
}

/// Starts a session under a claim. It runs to its end also when the caller goes, so that its
/// outcome is recorded.
///
/// # Errors
///
/// When there is nothing to give the caller.
pub(super) async fn start(
    entry: &Arc<Entry>,
    claim: ClaimKey,
    frame: Frame,
    job: Job,
    permit: Permit,
) -> Result<Started, Failure> {
    let deadline = job.deadline;
    let (live_tx, live) = oneshot::channel();
    let (kept_tx, mut kept) = oneshot::channel();
    let (end_tx, outcome) = oneshot::channel();
    let run = {
        let entry = Arc::clone(entry);
        let frame = frame.clone();
        async move || session(&entry, job, permit, frame, live_tx).await
    };
    let claims = Arc::clone(&entry.claims);
    entry.tasks.spawn(async move {
        let result = claims.run_once(claim, deadline, run).await;
        let _ = end_tx.send(outcome_of(&result));
        let _ = kept_tx.send(result);
    });
    tokio::select! {
        biased;
        Ok(tokens) = live => Ok(Started {
            frame,
            running: Running { tokens, outcome },
            replayed: false,
        }),
        result = &mut kept => match result {
            Ok(Ok(kept)) => replay(frame, &kept.reply),
            Ok(Err(Error::Failed(e))) => {
                let ending = e.cause.result.err().unwrap_or(SessionError::CallerGone);
                Err(Failure::ended(&ending, e.verdict))
            }
            Ok(Err(e)) => Err(refusal(&e)),
            Err(_) => Err(stopped()),
        },
    }
}

/// Runs a session to its end. The caller gets each token at once; it may be slow, or gone.
async fn session(
    entry: &Entry,
    job: Job,
    permit: Permit,
    frame: Frame,
    live: oneshot::Sender<mpsc::Receiver<u32>>,
) -> Result<Reply, RunError<Outcome>> {
    let most = job.max_tokens as usize;
    let (tx, mut rx) = mpsc::channel(most);
    // Room for the whole answer, so that a slow caller does not hold the session up.
    let (caller, tokens) = mpsc::channel(most);
    let _ = live.send(tokens);
    let mut told = Vec::new();
    let collect = async {
        while let Some(token) = rx.recv().await {
            told.push(token);
            let _ = caller.try_send(token);
        }
    };
    let drive = async {
        let ended = entry.driver.run(job, &permit, &tx).await;
        drop(tx);
        ended
    };
    let (ended, ()) = tokio::join!(drive, collect);
    match ended.result {
        Ok(end) => Ok(Told {
            id: frame.id,
            created: frame.created,
            tokens: told,
            end,
        }
        .to_reply()),
        Err(_) => Err(RunError {
            verdict: ended.verdict,
            cause: ended,
        }),
    }
}

/// How the session ended, for the caller that follows its tokens.
fn outcome_of(result: &claims::Result<claims::KeyedReply, Outcome>) -> Outcome {
    let end = |result, verdict| Outcome {
        result,
        verdict,
        recoveries: 0,
    };
    match result {
        Ok(kept) => match serde_json::from_slice::<Told>(&kept.reply.body) {
            Ok(told) => end(Ok(told.end), Verdict::MayHaveRun),
            Err(_) => end(Err(SessionError::CallerGone), Verdict::MayHaveRun),
        },
        Err(Error::Failed(e)) => e.cause.clone(),
        Err(e) => end(Err(SessionError::CallerGone), e.verdict()),
    }
}

/// A recorded answer as a session whose tokens are all there.
fn replay(frame: Frame, reply: &Reply) -> Result<Started, Failure> {
    let told: Told = serde_json::from_slice(&reply.body).map_err(|_| stopped())?;
    let (tx, tokens) = mpsc::channel(told.tokens.len().max(1));
    for token in told.tokens {
        let _ = tx.try_send(token);
    }
    let (end_tx, outcome) = oneshot::channel();
    let _ = end_tx.send(Outcome {
        result: Ok(told.end),
        verdict: Verdict::MayHaveRun,
        recoveries: 0,
    });
    Ok(Started {
        frame: Frame {
            id: told.id,
            created: told.created,
            ..frame
        },
        running: Running { tokens, outcome },
        replayed: true,
    })
}
