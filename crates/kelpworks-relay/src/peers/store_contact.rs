//! Contact with the store: when it last answered any watcher, and whether it fails this daemon.
//!
//! Answer times are part of every digest and are updated by answers only. The absence of failures
//! is no evidence: a lost call looks like one that waits for a change. Each kind of store object
//! has its own answer time, since its watch may be lost independently.

use std::time::Duration;

use tokio::time::Instant;

use super::Peers;
use super::lock;
use super::members::Condition;
use super::members::Members;
use super::roles::scaled_to_fleet;

/// Daemons that watch the store for the whole fleet. Two may lose contact at the same time, and
/// each change costs each watcher a billed call.
pub(super) const WATCHERS: usize = 3;
/// Age of the last store answer after which further daemons try the store, in a small fleet. By
/// then the watchers have called again, and a single lost watcher has been replaced by rank, so the
/// fault must be a larger one.
pub(super) const STORE_STALE_AFTER: Duration = Duration::from_secs(3);
/// Age of the last store answer at which a standby treats its own watch as lost, in a small fleet:
/// more than a watch of the primary, its batching delay and an exchange.
const WATCH_OVERDUE_AFTER: Duration = Duration::from_millis(1_800);
/// Additional watchers for each second beyond [`STORE_STALE_AFTER`]. If all daemons tried at once,
/// each attempt during an outage would cost a call per daemon.
const EXTRA_WATCHERS_PER_SECOND: u64 = 2;
/// Time for which a daemon leaves watching to others after a failed store call.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a daemon reports [`Condition::TurnedAway`] after a failure: longer than
/// [`RETRY_DELAY`], so that it lasts until the daemon has tried again.
const TURNED_AWAY_TTL: Duration = Duration::from_secs(2);
/// Time after the start in which a daemon lists the store unless a peer reports that the store is
/// watched. Registrations that expired during a store outage return within two seconds.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Role of a daemon that watches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchRole {
    /// Short watches, which keep the last known store answer recent.
    Primary,
    /// Long watches, which are abandoned when the last known store answer is overdue.
    Standby,
}

impl WatchRole {
    /// Name of the role in the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            WatchRole::Primary => "primary",
            WatchRole::Standby => "standby",
        }
    }
}

/// Kind of store object that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreKind {
    /// The configuration of the daemons.
    Configuration,
    /// The entries of upstreams.
    Upstreams,
}

impl StoreKind {
    /// Name of the kind in metrics and the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            StoreKind::Configuration => "configuration",
            StoreKind::Upstreams => "upstreams",
        }
    }
}

/// Known store answers and failures.
#[derive(Clone, Debug)]
pub(super) struct StoreContact {
    started: Instant,
    /// Last known answer of the store to any watcher, by kind; never decreases.
    last_answer: [Option<Instant>; 2],
    /// Whether a peer has reported a store answer.
    peer_watches: bool,
    /// Last failed call of this daemon, by kind; `None` once a later call was answered.
    last_failure: [Option<Instant>; 2],
}

impl StoreContact {
    pub(super) fn new(started: Instant) -> StoreContact {
        StoreContact {
            started,
            last_answer: [None, None],
            peer_watches: false,
            last_failure: [None, None],
        }
    }

    /// Records the outcome of a store call of this daemon.
    fn record_call(&mut self, store_kind: StoreKind, answered: bool, now: Instant) {
        self.last_failure[store_kind as usize] = (!answered).then_some(now);
        if answered {
            self.last_answer[store_kind as usize] = Some(now);
        }
    }

    /// Applies a peer's report of when the store answered a watcher.
    pub(super) fn learn_answer(&mut self, store_kind: StoreKind, at: Instant) {
        self.peer_watches = true;
        let last_answer = &mut self.last_answer[store_kind as usize];
        *last_answer = (*last_answer).max(Some(at));
    }

    /// When the store last answered any watcher of a kind, if known.
    pub(super) fn last_answer(&self, store_kind: StoreKind) -> Option<Instant> {
        self.last_answer[store_kind as usize]
    }

    /// Age of the last answer, or time since the start if no answer is known.
    fn age(&self, store_kind: StoreKind, now: Instant) -> Duration {
        now.duration_since(self.last_answer(store_kind).unwrap_or(self.started))
    }

    fn failed_within(&self, span: Duration, now: Instant) -> bool {
        let failures = self.last_failure.iter().flatten();
        failures
            .into_iter()
            .any(|&at| now.duration_since(at) < span)
    }

    /// Returns whether the store failed this daemon within [`RETRY_DELAY`].
    pub(super) fn is_failing(&self, now: Instant) -> bool {
        self.failed_within(RETRY_DELAY, now)
    }

    /// Condition that this daemon reports unless it is leaving.
    pub(super) fn condition(&self, now: Instant) -> Condition {
        match self.failed_within(TURNED_AWAY_TTL, now) {
            true => Condition::TurnedAway,
            false => Condition::Fit,
        }
    }

    /// Returns whether a peer has reported a store answer, or [`STARTUP_PERIOD`] is over.
    fn is_watched(&self, now: Instant) -> bool {
        self.peer_watches || now.duration_since(self.started) >= STARTUP_PERIOD
    }

    /// Number of daemons that should watch a kind: [`WATCHERS`], and more the longer no answer is
    /// known.
    pub(super) fn wanted_watchers(
        &self,
        store_kind: StoreKind,
        members: &Members,
        now: Instant,
    ) -> usize {
        let stale_after = scaled_to_fleet(STORE_STALE_AFTER, members);
        let stale_for = self.age(store_kind, now).checked_sub(stale_after);
        let extra = stale_for.map_or(0, |s| EXTRA_WATCHERS_PER_SECOND * (s.as_secs() + 1));
        WATCHERS + extra as usize
    }

    /// When a standby treats its watch of a kind as lost.
    fn overdue_at(&self, store_kind: StoreKind, members: &Members) -> Instant {
        let last_answer = self.last_answer(store_kind).unwrap_or(self.started);
        last_answer + scaled_to_fleet(WATCH_OVERDUE_AFTER, members)
    }
}

impl Peers {
    /// Role of this daemon in watching a kind of store object, if it has one.
    pub(crate) fn watch_role(&self, store_kind: StoreKind) -> Option<WatchRole> {
        let members = lock(&self.members);
        lock(&self.roles).watch_role(store_kind, &members, Instant::now())
    }

    /// Age of the last known store answer for a kind to any watcher, or time since the start of
    /// this daemon if none is known.
    pub(crate) fn store_age(&self, store_kind: StoreKind) -> Duration {
        lock(&self.roles).store.age(store_kind, Instant::now())
    }

    /// Returns whether this daemon watches a kind and the last known store answer for it is recent.
    pub(crate) fn has_fresh_store_view(&self, store_kind: StoreKind) -> bool {
        let now = Instant::now();
        let members = lock(&self.members);
        let roles = lock(&self.roles);
        let is_fresh =
            roles.store.age(store_kind, now) < scaled_to_fleet(STORE_STALE_AFTER, &members);
        is_fresh && roles.watch_role(store_kind, &members, now).is_some()
    }

    /// Waits until the last known store answer for a kind is so old that a pending watch counts as
    /// lost.
    pub(crate) async fn wait_until_watch_overdue(&self, store_kind: StoreKind) {
        loop {
            let overdue = {
                let members = lock(&self.members);
                lock(&self.roles).store.overdue_at(store_kind, &members)
            };
            if overdue <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(overdue).await;
        }
    }

    /// Returns whether a peer has reported a store answer, or [`STARTUP_PERIOD`] is over.
    pub(crate) fn is_store_watched(&self) -> bool {
        lock(&self.roles).store.is_watched(Instant::now())
    }

    /// Records whether the store answered a call.
    pub(crate) fn record_store_call(&self, store_kind: StoreKind, answered: bool) {
        lock(&self.roles)
            .store
            .record_call(store_kind, answered, Instant::now());
    }
}
