//! Error responses to callers.

use std::time::Duration;

use salvo::Response;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::header::RETRY_AFTER;

use crate::admission::Refusal;
use crate::pipeline::SessionError;
use crate::quarantine;
use crate::verdict::Verdict;
use kelpworks_wire::ErrorBody;
use kelpworks_wire::ErrorDetail;

/// Response header that holds the request id.
pub(crate) const REQUEST_ID: &str = "kelpworks-request-id";

/// Value of `retry-after` for a failure of unknown duration.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An error response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    /// Machine-readable kind of error.
    pub(crate) kind: &'static str,
    /// Human-readable text; never contains a secret.
    pub(crate) message: String,
    pub(crate) verdict: Verdict,
    pub(crate) retry_after: Option<Duration>,
}

impl Failure {
    pub(crate) const UNAUTHORIZED: Failure = Failure {
        status: StatusCode::UNAUTHORIZED,
        kind: "unauthorized",
        message: String::new(),
        verdict: Verdict::NotRun,
        retry_after: None,
    };

    /// Returns the failure of a request that was rejected before anything ran.
    pub(crate) fn rejected(
        status: StatusCode,
        kind: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let message = message.into();
        Failure {
            status,
            kind,
            message,
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Returns the failure of a request that was accepted; it may succeed when retried.
    pub(crate) fn failed(
        status: StatusCode,
        kind: &'static str,
        message: impl Into<String>,
        verdict: Verdict,
    ) -> Self {
        let retry_after = Some(DEFAULT_RETRY_AFTER);
        Failure {
            status,
            kind,
            message: message.into(),
            verdict,
            retry_after,
        }
    }

    /// Returns the failure of a request that arrives while the daemon is stopping.
    pub(crate) fn draining() -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Failure::failed(
            status,
            "draining",
            "this daemon is stopping",
            Verdict::NotRun,
        )
    }

    /// Returns the body of the response. `request` is the request id.
    pub(crate) fn body(&self, request: &str) -> ErrorBody {
        let message = match self.message.as_str() {
            "" => "a bearer token that names a team is needed".to_owned(),
            text => text.to_owned(),
        };
        ErrorBody {
            error: ErrorDetail {
                message,
                request_id: request.to_owned(),
                type_: self.kind.to_owned(),
                verdict: self.verdict.to_string(),
            },
        }
    }

    /// Writes the status, headers and body of the response, and counts the failure.
    pub(crate) fn write(&self, request: &str, res: &mut Response) {
        metrics::counter!("kelpworks_failures_total", "kind" => self.kind).increment(1);
        res.status_code(self.status);
        let headers = res.headers_mut();
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        headers.insert(Verdict::HEADER, verdict);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(id) = HeaderValue::from_str(request) {
            headers.insert(REQUEST_ID, id);
        }
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
        }
        let body = serde_json::to_vec(&self.body(request)).unwrap_or_default();
        res.body(body);
    }
}

/// Rounds up, as `retry-after` is in whole seconds.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Failure {
        Failure {
            status: StatusCode::TOO_MANY_REQUESTS,
            kind: "overloaded",
            message: refusal.reason.to_owned(),
            verdict: Verdict::NotRun,
            retry_after: Some(refusal.retry_after),
        }
    }
}

impl From<quarantine::Refusal> for Failure {
    /// Converts the refusal of a request that was not sent to any upstream.
    fn from(refusal: quarantine::Refusal) -> Failure {
        let (status, kind, retry_after) = match refusal {
            quarantine::Refusal::Crashes { retry_after } => {
                (StatusCode::UNPROCESSABLE_ENTITY, "quarantined", retry_after)
            }
            quarantine::Refusal::UnderTest { retry_after } => {
                (StatusCode::SERVICE_UNAVAILABLE, "under_test", retry_after)
            }
        };
        Failure {
            status,
            kind,
            message: refusal.to_string(),
            verdict: Verdict::NotRun,
            retry_after: Some(retry_after),
        }
    }
}

impl Failure {
    /// Returns the failure of a session that ended before its answer was complete.
    pub(crate) fn session_failed(error: &SessionError, verdict: Verdict) -> Failure {
        if let SessionError::Quarantined(refusal) = *error {
            return Failure {
                verdict,
                ..Failure::from(refusal)
            };
        }
        let (status, kind) = match error {
            SessionError::NoPath(_) => (StatusCode::SERVICE_UNAVAILABLE, "no_upstream"),
            SessionError::Stopped => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
            SessionError::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
            SessionError::Retries { .. } => (StatusCode::SERVICE_UNAVAILABLE, "upstream_failed"),
            _ => (StatusCode::BAD_GATEWAY, "upstream_failed"),
        };
        Failure::failed(status, kind, error.to_string(), verdict)
    }
}
