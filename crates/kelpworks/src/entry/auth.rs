//! Authentication of callers by bearer token.

use salvo::http::HeaderMap;
use salvo::http::header::AUTHORIZATION;

use crate::active_config::ActiveConfig;
use crate::active_config::Caller;
use crate::entry::reply::Failure;

/// Compared without regard to case, as HTTP requires.
const SCHEME: &[u8] = b"Bearer ";

/// Returns the caller, with its team, that a request's bearer token identifies.
///
/// # Errors
///
/// A 401 when the token is absent or unknown; the response does not distinguish the two.
pub(crate) fn authenticate(config: &ActiveConfig, headers: &HeaderMap) -> Result<Caller, Failure> {
    let value = headers.get(AUTHORIZATION).map(|v| v.as_bytes());
    let parts = value.and_then(|v| v.split_at_checked(SCHEME.len()));
    let token = parts.filter(|(scheme, _)| scheme.eq_ignore_ascii_case(SCHEME));
    token
        .map(|(_, token)| token)
        .and_then(|t| config.caller(t))
        .ok_or(Failure::UNAUTHORIZED)
}
