//! Choice of the upstream for the next attempt of a call.

use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use super::MIN_RETRY_TIME;
use crate::constraints::MessageKind;
use crate::fleet::Fleet;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::permit::Permit;
use crate::permit::RequestAttempts;
use crate::relay::InboundRequest;
use crate::relay::runs::Runs;
use crate::shared::Shared;
use crate::shared::crashes::Lane;
use crate::shared::crashes::Runnable;

/// Added to the cost factor of an upstream in proportion to its failure rate.
const FAILURE_COST_FACTOR: f64 = 6.0;
/// Attempts beyond the route's `max_attempts` while it is proven that no attempt has run.
const EXTRA_NOT_RUN_ATTEMPTS: u32 = 1;
/// Minimum time between two tries: another request may take the admission this one waited for.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(5);

/// Decision on the next attempt of a request.
pub(super) enum NextAttempt {
    /// Send the request to this upstream.
    Send(UpstreamKey, Permit),
    /// No untried upstream accepts a request now.
    Wait(Unavailability),
    /// Make no further attempt.
    Abandon,
}

/// What the attempts of this daemon have come to so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress<'a> {
    pub(super) attempts: &'a RequestAttempts,
    /// Upstreams that were chosen for an attempt.
    pub(super) tried: &'a [UpstreamKey],
    pub(super) runs: &'a Runs,
}

/// Chooses the upstream for the next attempt. An attempt of a request that may have reached an
/// upstream before needs a retry from the service's budget.
pub(super) fn next_upstream(
    shared: &Shared,
    inbound: &InboundRequest,
    progress: Progress<'_>,
    runnable: Runnable,
) -> NextAttempt {
    let Progress {
        attempts: written,
        tried,
        runs,
    } = progress;
    let attempts = tried.len() as u32 + runs.earlier();
    let extra = match runs.own() {
        0 => EXTRA_NOT_RUN_ATTEMPTS,
        _ => 0,
    };
    let allowed_attempts = inbound.route.max_attempts + extra;
    let is_first = attempts == 0 && runs.taken() == 0;
    let has_time = is_first || inbound.remaining() >= MIN_RETRY_TIME;
    if runs.left() == 0 || attempts >= allowed_attempts || !has_time {
        return NextAttempt::Abandon;
    }
    let service = &inbound.service.name;
    let chosen = match runnable.lane() {
        Some(lane) => upstream_of_lane(&shared.fleet(), service, lane),
        None => choose(&shared.fleet(), service, tried),
    };
    let admitted = chosen.and_then(|key| Some((key, shared.admit(runnable, vec![key])?)));
    let Some((chosen, admission)) = admitted else {
        return NextAttempt::without_candidate(&shared.fleet(), service, tried);
    };
    let written = written.attempts();
    if !runs.may_have_reached() {
        return NextAttempt::Send(chosen, Permit::new(admission, written, None));
    }
    let granted = inbound
        .retry_reserved_elsewhere()
        .filter(|_| tried.is_empty());
    match granted.or_else(|| shared.acquire_retry(service, Instant::now())) {
        Some(retry) => NextAttempt::Send(chosen, Permit::new(admission, written, Some(retry))),
        None => NextAttempt::Abandon,
    }
}

/// Why no upstream accepts a request now, and for how long.
pub(super) struct Unavailability {
    /// Time until one accepts the next request; `None` if this daemon has no share of any limit.
    pub(super) wait: Option<Duration>,
    /// Whether an upstream requested a backoff.
    pub(super) is_backoff: bool,
}

impl NextAttempt {
    fn without_candidate(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> NextAttempt {
        let now = Instant::now();
        let ready = fleet.of_service(service).filter(|(_, u)| u.is_ready());
        let mut untried = ready.filter(|(key, _)| !tried.contains(key)).peekable();
        if untried.peek().is_none() {
            return NextAttempt::Abandon;
        }
        let mut wait: Option<Duration> = None;
        let mut is_backoff = false;
        for (_, u) in untried {
            is_backoff |= !u.constraints.backoff(now).is_zero();
            let next = u.constraints.wait(MessageKind::Request, now);
            wait = wait.into_iter().chain(next).min();
        }
        NextAttempt::Wait(Unavailability {
            wait: wait.map(|w| w.max(MIN_LIMIT_WAIT)),
            is_backoff,
        })
    }
}

/// Returns whether an upstream is ready to which a request was not sent yet.
pub(super) fn has_untried(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> bool {
    let mut ready = fleet.of_service(service).filter(|(_, u)| u.is_ready());
    ready.any(|(key, _)| !tried.contains(&key))
}

/// Returns the upstream on which a suspect runs apart from others; `None` if it accepts no request now.
fn upstream_of_lane(fleet: &Fleet, service: &str, lane: Lane) -> Option<UpstreamKey> {
    let mut upstreams: Vec<(UpstreamKey, &Upstream)> = fleet.of_service(service).collect();
    upstreams.sort_unstable_by_key(|(_, u)| &*u.entry.instance);
    let (key, upstream) = upstreams.into_iter().nth(lane.index)?;
    let is_allowed = upstream.allows(MessageKind::Request, Instant::now());
    is_allowed.then_some(key)
}

/// Returns the untried upstream with the lowest expected response time, judged by its running
/// requests, latency and failure rate; ejected upstreams only when there is no other.
fn choose(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> Option<UpstreamKey> {
    let now = Instant::now();
    let ready = fleet.of_service(service).filter(|(key, u)| {
        let untried = !tried.contains(key);
        untried && u.allows(MessageKind::Request, now)
    });
    let cost = |key: UpstreamKey| {
        let Some(u) = fleet.get(key) else {
            return f64::MAX;
        };
        let penalty = if u.is_ejected(now) { 1e6 } else { 0.0 };
        let ms = u.latency_ms.unwrap_or(1.0);
        let jitter = rand::rng().random_range(0.9..1.1);
        let failure_factor = 1.0 + FAILURE_COST_FACTOR * u.failure_rate;
        (u.load().running + 1.0) * ms * jitter * failure_factor + penalty
    };
    let costs = ready.map(|(key, _)| (key, cost(key)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(key, _)| key)
}
