//! Contact with the store: when it last answered any watcher, and whether it fails this daemon.
//!
//! Answer times are part of every digest and are updated by answers only. The absence of failures
//! is no evidence: a lost call looks like one that waits for a change. Each kind of store object
//! has its own answer time, since its watch may be lost independently.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::MAX_SMALL_FLEET_PEERS;
use super::Peers;
use super::lock;
use super::members::Condition;
use super::members::Members;
use super::members::rank_of;
use super::messages::StoreAges;
use super::messages::millis_since;
use super::roles::scaled_to_fleet;

/// Daemons that watch the store for the whole fleet. Two may lose contact at the same time, and
/// each change costs each watcher a billed call.
pub(super) const WATCHERS: usize = 3;
/// Daemons that are first in line to watch the store, [`WATCHERS`] among them. The first of them
/// reports each answer of the store to the others, so that these notice as soon at any fleet size
/// that it gets none.
pub(super) const WATCH_GROUP: usize = 8;
/// Age of the last store answer up to which a daemon's view of the store counts as recent, in a
/// small fleet.
pub(super) const STORE_STALE_AFTER: Duration = Duration::from_secs(3);
/// Age of the last store answer at which a standby treats its own watch as lost and the rest of the
/// watch group tries the store too, at any fleet size: more than a watch of the primary, its
/// batching delay and a report to the group.
pub(super) const WATCH_OVERDUE_AFTER: Duration = Duration::from_millis(1_800);
/// Interval in which daemons are drawn to try the store while the watch group gets no answers. The
/// number that is drawn doubles with each interval.
const DRAW_INTERVAL: Duration = Duration::from_millis(250);
/// Intervals after which the number that is drawn stays the same and the interval is
/// [`RETRY_DELAY`]. Each attempt during an outage costs a call.
const DOUBLINGS: u32 = 3;
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
    /// Last answer of the store to this daemon, by kind, that it has not reported to the watch group.
    unreported: [Option<Instant>; 2],
    /// Kinds that this daemon watches and whose latest call was answered.
    watching: [bool; 2],
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
            unreported: [None, None],
            watching: [false, false],
            peer_watches: false,
            last_failure: [None, None],
        }
    }

    /// Records the outcome of a store call of this daemon.
    fn record_call(&mut self, store_kind: StoreKind, answered: bool, now: Instant) {
        self.last_failure[store_kind as usize] = (!answered).then_some(now);
        self.watching[store_kind as usize] = answered;
        if answered {
            self.last_answer[store_kind as usize] = Some(now);
            self.unreported[store_kind as usize] = Some(now);
        }
    }

    /// Returns whether this daemon watches the store and gets answers.
    pub(super) fn is_watching(&self) -> bool {
        self.watching.contains(&true)
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

    /// Number of daemons that should watch a kind: [`WATCHERS`], or the whole watch group while an
    /// answer is overdue.
    pub(super) fn wanted_watchers(
        &self,
        store_kind: StoreKind,
        members: &Members,
        now: Instant,
    ) -> usize {
        match self.age(store_kind, now) < WATCH_OVERDUE_AFTER {
            true => WATCHERS,
            false => WATCH_GROUP.min(members.live().count() + 1),
        }
    }

    /// Returns whether a daemon of a rank should try the store though others come before it in the
    /// watch order: the last known answer is so old that the whole watch group must be cut off. Some
    /// daemons are drawn anew in each interval, and more the longer there is no answer, so that one
    /// that reaches the store is found soon wherever it ranks.
    pub(super) fn is_drawn_to_try(
        &self,
        store_kind: StoreKind,
        rank: u64,
        members: &Members,
        now: Instant,
    ) -> bool {
        let stale_after = scaled_to_fleet(WATCH_OVERDUE_AFTER, members);
        let Some(stale_for) = self.age(store_kind, now).checked_sub(stale_after) else {
            return false;
        };
        let doubling_time = DRAW_INTERVAL * DOUBLINGS;
        let (interval, doublings) = match stale_for.checked_sub(doubling_time) {
            None => {
                let interval = stale_for.as_millis() / DRAW_INTERVAL.as_millis();
                (interval, interval as u32)
            }
            Some(rest) => {
                let interval = rest.as_millis() / RETRY_DELAY.as_millis();
                (interval + u128::from(DOUBLINGS), DOUBLINGS)
            }
        };
        let trials = WATCH_GROUP << doublings;
        let daemons = members.live().count() + 1;
        let draw = rank_of(&format!("{rank} {interval}")) as f64 / u64::MAX as f64;
        draw * daemons as f64 <= trials as f64
    }

    /// When a standby treats its watch of a kind as lost.
    fn overdue_at(&self, store_kind: StoreKind) -> Instant {
        let last_answer = self.last_answer(store_kind).unwrap_or(self.started);
        last_answer + WATCH_OVERDUE_AFTER
    }
}

impl Peers {
    /// Returns the store answers that this daemon is to report now to the other daemons of the watch
    /// group, and their addresses: if it comes first in a fleet in which they don't exchange with it
    /// at every tick.
    pub(super) fn take_store_report(&self, now: Instant) -> Option<(StoreAges, Vec<SocketAddr>)> {
        let members = lock(&self.members);
        let mut roles = lock(&self.roles);
        let is_small_fleet = members.known_count() <= MAX_SMALL_FLEET_PEERS;
        if is_small_fleet || members.count_before_in_watch_order(roles.watch_order()) > 0 {
            return None;
        }
        let [configuration, upstreams] = std::mem::take(&mut roles.store.unreported);
        let age = |answer: Option<Instant>| answer.map(|at| millis_since(at, now));
        let ages = StoreAges {
            configuration_ms: age(configuration),
            upstreams_ms: age(upstreams),
        };
        let group = members.first_in_watch_order(WATCH_GROUP - 1);
        let addresses = group.into_iter().map(|m| m.address).collect();
        (ages != StoreAges::default()).then_some((ages, addresses))
    }

    /// Applies a report of store answers.
    pub(super) fn learn_store_ages(&self, ages: StoreAges, now: Instant) {
        let mut roles = lock(&self.roles);
        let ages = [
            (StoreKind::Configuration, ages.configuration_ms),
            (StoreKind::Upstreams, ages.upstreams_ms),
        ];
        for (store_kind, age) in ages {
            let at = age.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
            if let Some(at) = at {
                roles.store.learn_answer(store_kind, at);
            }
        }
    }

    /// Returns whether this daemon is first in line to watch the store, as far as it knows others.
    pub(crate) fn is_in_watch_group(&self) -> bool {
        let members = lock(&self.members);
        let order = lock(&self.roles).watch_order();
        members.count_before_in_watch_order(order) < WATCH_GROUP
    }

    /// Records that this daemon no longer watches a kind.
    pub(crate) fn record_watch_end(&self, store_kind: StoreKind) {
        lock(&self.roles).store.watching[store_kind as usize] = false;
    }

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
            let overdue = lock(&self.roles).store.overdue_at(store_kind);
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
