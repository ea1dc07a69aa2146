//! Applies and logs what upstreams announce in their answers.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use log::info;
use log::warn;
use tokio::time::Instant;

use super::Shared;
use crate::adapter::AnswerHead;
use crate::constraints::Announced;
use crate::fleet::UpstreamKey;
use crate::limits::Announcement;
use crate::limits::LimitChange;
use crate::limits::Rate;

/// What an answer announces about the upstream that it is about.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Announcements {
    /// Rate limit; `None` where the answer says nothing about it.
    pub(crate) limit: Option<Announcement>,
    /// Backoff, from the time of the answer.
    pub(crate) backoff: Announced<Duration>,
    /// Whether the upstream is leaving.
    pub(crate) leaving: Announced<bool>,
}

/// The message that an answer belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredMessage<'a> {
    /// Kind of the message, for the log.
    pub(crate) source: &'static str,
    /// Id of the caller's request; empty for messages of the daemon itself.
    pub(crate) request: &'a str,
    /// When it was sent.
    pub(crate) sent_at: Instant,
}

/// Returns the backoff that an answer requests. Only a refusal for lack of capacity requests one;
/// in other answers the field has other meanings.
pub(crate) fn requested_backoff(status: StatusCode, head: &AnswerHead) -> Announced<Duration> {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => head.backoff,
        _ => Announced::Absent,
    }
}

impl Shared {
    /// Applies what an answer announces about an upstream.
    pub(crate) fn apply_announcements(
        &self,
        key: UpstreamKey,
        announced: Announcements,
        message: AnsweredMessage<'_>,
    ) {
        if let Some(limit) = announced.limit {
            self.on_limit_announcement(key, limit, message.sent_at);
        }
        let now = Instant::now();
        let mut fleet = self.fleet();
        let Some(upstream) = fleet.get_mut(key) else {
            return;
        };
        let instance = Arc::clone(&upstream.entry.instance);
        let constraints = &mut upstream.constraints;
        let is_unreadable = announced.backoff == Announced::Unreadable
            || announced.leaving == Announced::Unreadable;
        let is_first_unreadable = constraints.is_first_unreadable(is_unreadable);
        let backoff = announced.backoff.value();
        let is_longer = backoff.is_some_and(|b| constraints.request_backoff(b, now));
        let leaving = announced.leaving.value().unwrap_or(false);
        let is_notice = leaving && constraints.announce_leaving(now);
        let backoff = constraints.backoff(now);
        drop(fleet);
        if is_first_unreadable {
            warn!(upstream:% = instance; "backoff or notice of leaving ignored: can't be parsed");
        }
        if is_longer {
            log_backoff(&instance, backoff, message);
        }
        if is_notice {
            log_leaving(&instance, message.source, message.request, Duration::ZERO);
        }
    }

    /// Applies the rate limit that an answer announces for its upstream. `sent_at` is when the
    /// request was sent.
    pub(crate) fn on_limit_announcement(
        &self,
        key: UpstreamKey,
        announcement: Announcement,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        let mut fleet = self.fleet();
        let Some(upstream) = fleet.get_mut(key) else {
            return;
        };
        let instance = Arc::clone(&upstream.entry.instance);
        let limiter = &mut upstream.constraints.limiter;
        let is_unreadable = limiter.is_first_unreadable(announcement);
        let change = limiter.on_answer(announcement, sent_at, now);
        drop(fleet);
        if is_unreadable {
            warn!(upstream:% = instance; "announced limit ignored: not a rate");
        }
        if let Some(change) = change {
            log_limit_change(&instance, change, "answer", Duration::ZERO);
        }
    }
}

fn log_backoff(instance: &str, backoff: Duration, message: AnsweredMessage<'_>) {
    info!(
        target: "decision",
        request:% = message.request,
        upstream:% = instance,
        backoff_ms = backoff.as_millis() as u64,
        source:% = message.source;
        "upstream requested a backoff"
    );
    metrics::counter!("kelpworks_requested_backoffs_total", "source" => message.source)
        .increment(1);
}

/// Logs the first notice that an upstream is leaving; `age` is the age of the notice.
pub(crate) fn log_leaving(instance: &str, source: &'static str, request: &str, age: Duration) {
    info!(
        target: "decision",
        request:% = request,
        upstream:% = instance,
        source:% = source,
        age_ms = age.as_millis() as u64;
        "upstream is leaving"
    );
    metrics::counter!("kelpworks_leaving_notices_total", "source" => source).increment(1);
}

/// Logs a rate limit that began, changed or ended; `age` is the age of its announcement.
pub(crate) fn log_limit_change(
    instance: &str,
    change: LimitChange,
    source: &'static str,
    age: Duration,
) {
    let per_second = |rate: Option<Rate>| rate.map(Rate::get);
    info!(
        target: "decision",
        upstream:% = instance,
        per_second = per_second(change.now),
        before = per_second(change.before),
        source:% = source,
        age_ms = age.as_millis() as u64;
        "upstream's limit changed"
    );
    metrics::counter!("kelpworks_limit_changes_total", "source" => source).increment(1);
}
