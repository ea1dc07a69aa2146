//! Parsing of a caller's request to a plain service.

use bytes::Bytes;
use salvo::Request;
use salvo::http::HeaderMap;
use salvo::http::HeaderName;
use salvo::http::HeaderValue;
use salvo::http::Method;
use salvo::http::header;
use tokio::time::Instant;

use crate::claims;
use crate::claims::ClaimKey;
use crate::entry::Entry;
use crate::entry::at_most_once;
use crate::entry::auth;
use crate::entry::completions::read_body;
use crate::entry::reply::Failure;

/// Request headers that are forwarded to the service.
const FORWARDED_HEADERS: [HeaderName; 4] = [
    header::CONTENT_TYPE,
    header::ACCEPT,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
];

/// A call to a plain service, as read from the caller's request.
pub(super) struct Call {
    pub(super) id: String,
    pub(super) team: String,
    pub(super) service: String,
    pub(super) method: Method,
    /// Path and query relative to the service, starting with `/`.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Whether the call may be sent again when an earlier attempt may have been executed.
    pub(super) retryable: bool,
    /// Claim of a call that has an idempotency key and must run at most once.
    pub(super) claim: Option<ClaimKey>,
    pub(super) deadline: Instant,
}

impl Call {
    /// Authenticates the caller and reads its request.
    ///
    /// # Errors
    ///
    /// When the token is unknown, the body is too large or late, or the idempotency key is invalid.
    pub(super) async fn read(entry: &Entry, id: &str, req: &mut Request) -> Result<Call, Failure> {
        let config = entry.config.load_full();
        let caller = auth::authenticate(&config, req.headers())?;
        let service: String = req.param("name").unwrap_or_default();
        let path = path_in_service(req.uri().path());
        let method = req.method().clone();
        let non_idempotent = config.call_is_non_idempotent(&service, method.as_str(), &path);
        let retryable = method.is_idempotent() && !non_idempotent;
        let query = req.uri().query().map_or(String::new(), |q| format!("?{q}"));
        let key = at_most_once::key(req.headers())?.filter(|_| !retryable);
        let mut headers = select_headers(req.headers(), &FORWARDED_HEADERS);
        let body = read_body(entry, req).await?;
        let path = path + &query;
        let claim = key.map(|key| {
            let target = format!("service {service} {method} {path}");
            ClaimKey::new(&caller.team, &target, &key, &body)
        });
        if let Some(value) = claim.as_ref().and_then(upstream_key) {
            headers.insert(claims::HEADER, value);
        }
        Ok(Call {
            id: id.to_owned(),
            team: caller.team,
            service,
            method,
            path,
            headers,
            body,
            retryable,
            claim,
            deadline: Instant::now() + entry.request_timeout,
        })
    }
}

/// Returns the idempotency key to send to the service. It differs from the caller's own: two teams
/// may use the same key, and a service that looks calls up by key would return one team's response
/// to the other.
fn upstream_key(claim: &ClaimKey) -> Option<HeaderValue> {
    HeaderValue::from_str(claim.name()).ok()
}

/// Returns the path after `/services/{name}`, starting with `/`. The name may be escaped in several
/// ways, so it is skipped as a segment instead of matched as text.
fn path_in_service(path: &str) -> String {
    let mut segments = path.splitn(4, '/');
    let rest = segments.nth(3).unwrap_or_default();
    format!("/{rest}")
}

fn select_headers(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    let mut selected = HeaderMap::new();
    for name in names {
        if let Some(value) = headers.get(name) {
            selected.insert(name.clone(), value.clone());
        }
    }
    selected
}
