//! What the head of an upstream's answer says: whether the answer can be passed on, whose it is, and
//! what the upstream announces.

use std::net::SocketAddr;

use http::Response;
use http::StatusCode;
use http::header;
use kelpworks::verdict::Verdict;

use super::InboundRequest;
use crate::adapter::AnswerHead;
use crate::constraints::Announced;
use crate::limits::Announcement;
use crate::pool::AnswerBody;
use crate::shared::announcements::Announcements;
use crate::shared::announcements::requested_backoff;

/// Returns the id of the upstream that owns the address, if it refused the request as meant for
/// another upstream (status 421).
pub(super) fn address_owner_id<'a>(
    response: &Response<AnswerBody>,
    head: &'a AnswerHead,
) -> Option<&'a str> {
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    head.id.as_deref().filter(|_| is_misdirected)
}

/// Returns what a response announces about the upstream at `address`; `None` if it may come from
/// another upstream.
///
/// A response may pass on a refusal by a later engine of the path. A limit in it is still the first
/// engine's, and a backoff applies to the engine that answered as well as to the one that refused,
/// but it does not show which of them is leaving.
pub(super) fn announcements(
    inbound: &InboundRequest,
    response: &Response<AnswerBody>,
    head: &AnswerHead,
    address: SocketAddr,
) -> Option<Announcements> {
    let is_foreign = head
        .request_id
        .as_deref()
        .is_some_and(|id| id != &*inbound.id);
    if is_foreign || address_owner_id(response, head).is_some() {
        return None;
    }
    let is_own_head = (head.signed || head.not_run) && head.at_fault.is_none_or(|at| at == address);
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    // Only the upstream itself states a limit; a head without a limit may come from another one.
    let has_limit = is_own_head || head.limit != Announcement::Unlimited;
    Some(Announcements {
        limit: has_limit.then_some(head.limit),
        backoff: requested_backoff(response.status(), head),
        leaving: match is_own_head && !is_misdirected {
            true => head.leaving,
            false => Announced::Absent,
        },
    })
}

/// Returns why a response can't be passed on, and whether the request may have run; `None` for a
/// valid response.
pub(super) fn detect_fault(
    inbound: &InboundRequest,
    response: &Response<AnswerBody>,
    head: &AnswerHead,
) -> Option<(Verdict, &'static str)> {
    if head
        .request_id
        .as_deref()
        .is_some_and(|id| id != &*inbound.id)
    {
        return Some((Verdict::MayHaveRun, "answer to another request"));
    }
    if head.not_run || response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Some((Verdict::NotRun, "refused by the upstream"));
    }
    if !head.signed || response.headers().contains_key(header::CONTENT_ENCODING) {
        return Some((Verdict::MayHaveRun, "not an upstream's answer"));
    }
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if not_run_statuses.contains(&response.status()) {
        // To callers these statuses guarantee that the request has not run, which this response
        // does not prove.
        return Some((Verdict::MayHaveRun, "failed without a proof"));
    }
    None
}
