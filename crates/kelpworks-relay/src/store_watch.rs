//! Store watchers: one per kind of object, which lists the kind once and then watches it.
//!
//! A watch without an answer may be waiting for a change or may be lost: the store accepted it
//! during an outage, or its connection has stalled. Only an answer tells the two apart, so the
//! fleet's view of the store is as old as the last answer to any watcher. One watcher, the primary,
//! therefore waits for [`PRIMARY_WAIT`] at a time. The standbys wait for [`STANDBY_WAIT`], since
//! each call is billed, and abandon their watch and list again when the last known answer is
//! overdue.

use std::sync::Arc;
use std::time::Duration;

use kelpworks::clients::object_api::Error;
use kelpworks::clients::object_api::Object;
use kelpworks::clients::object_api::ObjectApi;
use kelpworks::clients::object_api::Result;
use kelpworks::clients::object_api::WatchEventKind;
use kelpworks::clients::object_api::WatchReply;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;
use log::info;
use log::warn;
use tokio_util::sync::CancellationToken;

use crate::adapter::Adapter;
use crate::peers::Peers;
use crate::peers::StoreKind;
use crate::peers::WatchRole;
use crate::store_cache::Entries;
use crate::store_cache::EntryChange;
use crate::store_cache::Source;
use crate::store_cache::StoreCache;

/// Wait of the primary's watches. Changes must take effect within two seconds, and lost calls must
/// be noticed within three.
const PRIMARY_WAIT: Duration = Duration::from_millis(1_200);
/// Wait of a standby's watches. Each watch is a billed call, and the platform allows at most 30 s.
const STANDBY_WAIT: Duration = Duration::from_secs(20);
/// Wait of the watch by which a daemon takes over from others: it returns missed changes at once.
const RESUME_WAIT: Duration = Duration::from_millis(1);
/// Initial response margin: time that an answer may take beyond the requested wait. Doubled for
/// each consecutive failed call up to [`MAX_RESPONSE_MARGIN`], for a store that is slow.
const INITIAL_RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Upper bound of the response margin. Calls that were lost in an outage delay the next call by
/// this time.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_secs(2);
/// Batching delay before the next watch, so that changes which arrive together cost one call. The
/// entries of a starting fleet arrive one by one, and without the delay each would cost every
/// watcher a billed call.
const BATCHING_DELAY: Duration = Duration::from_millis(120);
/// Batching delay of a standby, whose data peers deliver meanwhile.
const STANDBY_BATCHING_DELAY: Duration = Duration::from_millis(500);
/// Interval between the lists of a starting daemon.
const STARTUP_LIST_INTERVAL: Duration = Duration::from_millis(350);
/// Interval at which a daemon without a watch role checks whether it has one.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Initial backoff after a failed call, doubled up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Upper bound of the backoff: a fraction of the time within which changes must take effect.
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// Result of a store call that did not fail.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    /// The store answered as of this version.
    Answered(Version),
    /// The watch was abandoned: no daemon has a recent answer of the store.
    Overdue,
}

/// State of a watcher between two calls.
#[derive(Clone, Debug)]
struct State {
    /// Version that the next watch starts from; `None` makes the next call a list, or a short watch
    /// from the version that peers delivered.
    version: Option<Version>,
    /// Whether the next call must be a list, since the store can't resume from the held version.
    must_list: bool,
    last_role: Option<WatchRole>,
    is_failing: bool,
    /// Delay before the next call if this one fails.
    backoff: Duration,
    /// Time that an answer may take beyond the requested wait.
    response_margin: Duration,
}

impl State {
    fn new() -> State {
        State {
            version: None,
            must_list: false,
            last_role: None,
            is_failing: false,
            backoff: INITIAL_BACKOFF,
            response_margin: INITIAL_RESPONSE_MARGIN,
        }
    }

    fn increase_backoff(&mut self) {
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.response_margin = (self.response_margin * 2).min(MAX_RESPONSE_MARGIN);
    }
}

/// Keeps the store cache up to date with one kind of store object.
#[derive(Debug)]
pub(crate) struct StoreWatcher<A> {
    pub(crate) api: Arc<A>,
    pub(crate) store_cache: Arc<StoreCache>,
    /// Peers, which may watch the store in place of this daemon.
    pub(crate) peers: Arc<Peers>,
    pub(crate) store_kind: StoreKind,
}

impl<A: ObjectApi> StoreWatcher<A> {
    /// Watches the store until `stop` is cancelled.
    pub(crate) async fn run<D: Adapter>(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.follow::<D>() => {}
        }
    }

    async fn follow<D: Adapter>(&self) {
        self.run_startup_lists::<D>().await;
        let mut state = State::new();
        loop {
            let role = self.peers.watch_role(self.store_kind);
            self.update_role(&mut state, role);
            let Some(role) = role else {
                // Texts that peers deliver meanwhile are newer than this version.
                state.version = None;
                self.peers.record_watch_end(self.store_kind);
                tokio::time::sleep(ROLE_POLL_INTERVAL).await;
                continue;
            };
            self.count("begun");
            match self.call_store::<D>(role, &state).await {
                Ok(CallOutcome::Answered(version)) => {
                    self.record_answer(&mut state, version);
                    tokio::time::sleep(batching_delay(role)).await;
                }
                Ok(CallOutcome::Overdue) => {
                    self.record_overdue();
                    state.version = None;
                }
                Err(Error::Expired) => {
                    self.count("answered");
                    info!(kind:% = self.store_kind.as_str(); "watch version expired, listing again");
                    state.version = None;
                    state.must_list = true;
                }
                Err(e) => {
                    self.record_failure(&mut state, &e);
                    tokio::time::sleep(state.backoff).await;
                    state.increase_backoff();
                }
            }
        }
    }

    fn update_role(&self, state: &mut State, role: Option<WatchRole>) {
        if role == state.last_role {
            return;
        }
        state.last_role = role;
        let how = role.map_or("none", WatchRole::as_str);
        info!(target: "decision", kind:% = self.store_kind.as_str(), how; "store watcher role");
    }

    fn record_answer(&self, state: &mut State, version: Version) {
        self.count("answered");
        self.peers.record_store_call(self.store_kind, true);
        if state.is_failing {
            info!(kind:% = self.store_kind.as_str(), version:% = version; "store regained");
        }
        *state = State {
            version: Some(version),
            last_role: state.last_role,
            ..State::new()
        };
    }

    fn record_overdue(&self) {
        self.count("given up");
        self.peers.record_watch_end(self.store_kind);
        let age_ms = self.peers.store_age(self.store_kind).as_millis() as u64;
        info!(target: "decision", kind:% = self.store_kind.as_str(), age_ms; "watch overdue, listing again");
        self.api.reset_connections();
    }

    fn record_failure(&self, state: &mut State, error: &Error) {
        self.count("failed");
        if !state.is_failing {
            warn!(kind:% = self.store_kind.as_str(), error:% = error; "store lost");
        }
        state.is_failing = true;
        // A watch from the old version would return nothing before its wait is over.
        state.version = None;
        self.peers.record_store_call(self.store_kind, false);
        self.api.reset_connections();
    }

    /// Counts a call outcome. Calls counted as `begun` and nothing else are still pending.
    fn count(&self, outcome: &'static str) {
        let kind = self.store_kind.as_str();
        metrics::counter!("kelpworks_store_calls_total", "kind" => kind, "outcome" => outcome)
            .increment(1);
    }

    /// Lists the kind after the start, while callers may be waiting and peers may be starting too.
    /// A daemon of the watch group, or one that holds nothing yet, repeats the list, since
    /// registrations may be coming back, until this daemon or a peer watches the store, a
    /// configuration is known, or the start-up period is over. Watching at once would cost each
    /// daemon of a starting fleet one call per registration.
    ///
    /// A store in a later era than the first has been restored from an older copy, perhaps just
    /// now. Its list is then applied only after peers have had time to report newer data.
    async fn run_startup_lists<D: Adapter>(&self) {
        self.run_startup_list::<D>().await;
        while !self.has_startup_ended() {
            tokio::time::sleep(STARTUP_LIST_INTERVAL).await;
            if self.holds_nothing() || self.peers.is_in_watch_group() {
                self.run_startup_list::<D>().await;
            }
        }
    }

    async fn run_startup_list<D: Adapter>(&self) {
        let kind = self.kind::<D>();
        match self.api.list_relaxed(kind).await {
            Ok(list) => {
                if list.version.era > Era::FIRST {
                    self.peers.wait_for_first_exchange().await;
                }
                self.apply_list::<D>(list.items, list.version);
            }
            Err(e) => info!(kind:% = kind, error:% = e; "initial list failed, relying on peers"),
        }
    }

    fn holds_nothing(&self) -> bool {
        match self.store_kind {
            StoreKind::Configuration => self.store_cache.version() == 0,
            StoreKind::Upstreams => self.store_cache.entries_version().is_absent(),
        }
    }

    fn has_startup_ended(&self) -> bool {
        let is_known =
            self.store_kind == StoreKind::Configuration && self.store_cache.version() > 0;
        is_known
            || self.peers.watch_role(self.store_kind).is_some()
            || self.peers.is_store_watched()
    }

    fn kind<D: Adapter>(&self) -> &'static str {
        match self.store_kind {
            StoreKind::Configuration => D::CONFIGURATION_KIND,
            StoreKind::Upstreams => D::UPSTREAMS_KIND,
        }
    }

    /// Makes one call: a list, or a watch from `state.version`.
    async fn call_store<D: Adapter>(&self, role: WatchRole, state: &State) -> Result<CallOutcome> {
        let kind = self.kind::<D>();
        let Some(from) = state.version else {
            if let Some(held) = self.resumable_version(state) {
                let reply = self.api.watch(kind, held, RESUME_WAIT);
                let reply = with_timeout(state.response_margin, reply).await?;
                return Ok(self.apply_reply::<D>(reply));
            }
            let list = with_timeout(state.response_margin, self.api.list(kind)).await?;
            self.apply_list::<D>(list.items, list.version);
            return Ok(CallOutcome::Answered(list.version));
        };
        let reply = match role {
            WatchRole::Primary => {
                let reply = self.api.watch(kind, from, PRIMARY_WAIT);
                with_timeout(PRIMARY_WAIT + state.response_margin, reply).await?
            }
            WatchRole::Standby => tokio::select! {
                reply = self.api.watch(kind, from, STANDBY_WAIT) => reply?,
                () = self.peers.wait_until_watch_overdue(self.store_kind) =>
                    return Ok(CallOutcome::Overdue),
            },
        };
        Ok(self.apply_reply::<D>(reply))
    }

    /// Version from which a daemon that takes over the watch can continue without a list, which
    /// takes many calls in a large fleet.
    fn resumable_version(&self, state: &State) -> Option<Version> {
        if state.must_list || self.store_kind == StoreKind::Configuration {
            return None;
        }
        let held = self.store_cache.entries_version();
        (!held.is_absent()).then_some(held)
    }

    fn apply_reply<D: Adapter>(&self, reply: WatchReply) -> CallOutcome {
        let events = reply.events.into_iter().map(|e| (e.kind, e.object));
        self.apply_changes::<D>(events.collect(), reply.version);
        CallOutcome::Answered(reply.version)
    }

    fn apply_list<D: Adapter>(&self, objects: Vec<Object>, version: Version) {
        match self.store_kind {
            StoreKind::Configuration => {
                let named = objects.iter().filter(|o| o.name == D::CONFIGURATION_NAME);
                for object in named {
                    self.store_cache
                        .put_configuration::<D>(&object.body, Source::Store);
                }
            }
            StoreKind::Upstreams => {
                let texts = objects
                    .iter()
                    .map(|o| (Arc::from(&*o.name), Arc::from(&*o.body)));
                let entries = Entries {
                    version,
                    texts: texts.collect(),
                };
                self.store_cache.put_entries::<D>(entries, Source::Store);
            }
        }
    }

    fn apply_changes<D: Adapter>(&self, events: Vec<(WatchEventKind, Object)>, version: Version) {
        if events.is_empty() {
            return;
        }
        match self.store_kind {
            StoreKind::Configuration => {
                let objects = events.into_iter().map(|(_, o)| o).collect();
                self.apply_list::<D>(objects, version);
            }
            StoreKind::Upstreams => {
                let change = |(kind, o): (WatchEventKind, Object)| EntryChange {
                    name: Arc::from(&*o.name),
                    text: (kind == WatchEventKind::Put).then(|| Arc::from(&*o.body)),
                };
                let changes = events.into_iter().map(change).collect();
                self.store_cache.change_entries::<D>(changes, version);
            }
        }
    }
}

fn batching_delay(role: WatchRole) -> Duration {
    match role {
        WatchRole::Primary => BATCHING_DELAY,
        WatchRole::Standby => STANDBY_BATCHING_DELAY,
    }
}

/// Waits for an answer for at most `max_wait`, and returns [`Error::Silent`] after that.
async fn with_timeout<T>(max_wait: Duration, answer: impl Future<Output = Result<T>>) -> Result<T> {
    let answer = tokio::time::timeout(max_wait, answer).await;
    answer.unwrap_or(Err(Error::Silent))
}
