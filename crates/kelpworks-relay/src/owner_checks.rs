//! Checks of registered upstreams that have no effect because another upstream is taken for the owner of their address.
//!
//! No request goes to such an upstream, so that no answer could show that it is there after all: what a daemon has
//! learned may be outdated, and if all daemons have learned the same, a service whose only upstream it is would stay
//! without. So each daemon asks at the address which upstream answers, and the answer goes to the others by gossip.
//!
//! Daemons that learn of an owner at the same time don't all ask: each waits for a random time that grows with their
//! number, and an answer that reaches it meanwhile puts its own check off, though not for long beyond the interval of its
//! checks.
//!
//! Limits: an upstream that doesn't answer has no effect; one whose service is not configured is not asked.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use log::info;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::adapter::EngineApi;
use crate::adapter::Lifecycle;
use crate::adapter::UpstreamEntry;
use crate::engine_calls::EngineCalls;
use crate::shared::Shared;

/// Interval at which entries without effect are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an entry has had no effect before its first check. An entry that its upstream has left behind is
/// mostly removed soon.
const FIRST_DELAY: Duration = Duration::from_secs(1);
/// Longest delay of a later check; it doubles with each.
const MAX_DELAY: Duration = Duration::from_secs(8);
/// Mean time between the checks of two daemons.
const SPACING: Duration = Duration::from_millis(250);
/// Longest time by which a check is put off for those of other daemons.
const MAX_SPREAD: Duration = Duration::from_secs(8);
/// Checks that are made at once.
const MAX_CONCURRENT_CHECKS: usize = 16;

/// Checks the entries that are due until `stop` is cancelled.
pub(crate) async fn run<E: EngineApi>(
    shared: Arc<Shared>,
    engine_calls: Arc<EngineCalls<E>>,
    stop: CancellationToken,
) {
    let mut schedule = Schedule::default();
    let mut tick = tokio::time::interval(POLL_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = tick.tick() => {}
        }
        let entries = checked_entries(&shared);
        let daemons = shared.retry_budget().daemons();
        let due = schedule.due(entries, daemons, Instant::now(), rand::random);
        let checks = due.iter().map(|entry| check(&shared, &engine_calls, entry));
        join_all(checks).await;
    }
}

/// Returns the entries to check, with the last time at which an answer from their address was reported.
fn checked_entries(shared: &Shared) -> Vec<(UpstreamEntry, Option<Instant>)> {
    let table = shared.table.load();
    let mut entries = shared.fleet().without_address();
    let is_usable =
        |e: &UpstreamEntry| e.lifecycle == Lifecycle::Ready && table.service(&e.service).is_some();
    entries.retain(|(entry, _)| is_usable(entry));
    entries
}

/// Asks at an entry's address which upstream answers.
async fn check<E: EngineApi>(
    shared: &Shared,
    engine_calls: &EngineCalls<E>,
    entry: &UpstreamEntry,
) {
    let path = {
        let table = shared.table.load();
        table.service(&entry.service).map(|s| s.health_path.clone())
    };
    let Some(path) = path else {
        return;
    };
    let sent = Instant::now();
    let id = engine_calls.identify(entry, &path).await;
    let outcome = match &id {
        Some(id) if **id == *entry.id => "own",
        Some(_) => "other",
        None => "no answer",
    };
    info!(
        target: "decision",
        upstream:% = entry.instance,
        service:% = entry.service,
        address:% = entry.address,
        answered:% = id.as_deref().unwrap_or(""),
        outcome:% = outcome;
        "address owner checked"
    );
    metrics::counter!("kelpworks_owner_checks_total", "outcome" => outcome).increment(1);
    if let Some(id) = id {
        shared.learn_address_owner(entry.address, &id, sent);
    }
}

#[derive(Clone, Copy, Debug)]
struct Scheduled {
    at: Instant,
    /// Time beyond which it is not put off.
    latest: Instant,
    /// Least delay of the check after this one.
    next_delay: Duration,
    /// Last time at which an answer from the address was reported.
    reported_at: Option<Instant>,
}

/// When entries without effect are checked, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    checks: HashMap<Arc<str>, Scheduled>,
}

impl Schedule {
    /// Returns the entries that are due, of those that have no effect now. `daemons` is the number of daemons that check
    /// them, and `random` returns a fraction from 0 to 1.
    pub fn due(
        &mut self,
        entries: Vec<(UpstreamEntry, Option<Instant>)>,
        daemons: usize,
        now: Instant,
        mut random: impl FnMut() -> f64,
    ) -> Vec<UpstreamEntry> {
        let is_listed = |instance: &Arc<str>| entries.iter().any(|(e, _)| e.instance == *instance);
        self.checks.retain(|instance, _| is_listed(instance));
        let factor = u32::try_from(daemons).unwrap_or(u32::MAX);
        let spread = SPACING.saturating_mul(factor).min(MAX_SPREAD);
        let mut due = Vec::new();
        for (entry, reported_at) in entries {
            let spread = spread.mul_f64(random());
            let latest = now + MAX_DELAY + MAX_SPREAD;
            let first = Scheduled {
                at: now + FIRST_DELAY + spread,
                latest,
                next_delay: FIRST_DELAY * 2,
                reported_at,
            };
            let check = self
                .checks
                .entry(Arc::clone(&entry.instance))
                .or_insert(first);
            let is_answered = check.reported_at < reported_at;
            if is_answered && now < check.latest {
                check.at = (now + check.next_delay + spread).min(check.latest);
            } else if check.at <= now && due.len() < MAX_CONCURRENT_CHECKS {
                check.at = now + check.next_delay + spread;
                check.latest = latest;
                due.push(entry);
            } else {
                continue;
            }
            check.next_delay = (check.next_delay * 2).min(MAX_DELAY);
            check.reported_at = reported_at;
        }
        due
    }
}
