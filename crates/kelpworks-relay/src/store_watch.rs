//! Following the store: lists a kind once, then watches it.
//!
//! A watch without an answer may wait for a change, or may be lost: the store took it while it was away,
//! or its connection has gone silent. Only an answer tells the two apart, so that what the fleet knows of
//! the store is as old as the last answer to any of its watchers. One of them, the primary, therefore
//! waits for [`FRESH`] at a time. The others wait long, since each call is paid for, and ask anew when
//! word of the last answer is overdue.

use std::sync::Arc;
use std::time::Duration;

use kelpworks::clients::object_api::Error;
use kelpworks::clients::object_api::Object;
use kelpworks::clients::object_api::ObjectApi;
use kelpworks::clients::object_api::Result;
use kelpworks::clients::object_api::WatchEventKind;
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

/// Wait of the primary's watches: changes must be in force within two seconds, and lost calls be noticed
/// within three.
const PRIMARY_WAIT: Duration = Duration::from_millis(1_200);
/// Wait of a standby's watches: each one is a paid call, and the platform allows 30 s.
const STANDBY_WAIT: Duration = Duration::from_secs(20);
/// How long an answer may take beyond the wait that was asked for, at first; doubled with each call in a
/// row that fails, up to [`MAX_PATIENCE`], for a store that is slow.
const INITIAL_RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Longest time that an answer may take: calls that were lost in an outage hold the next one up so long.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_secs(2);
/// Pause before a watch goes on, so that changes which come together cost one call: entries of a
/// fleet that starts come one by one, each a paid call for each daemon without it.
const BATCHING_DELAY: Duration = Duration::from_millis(120);
/// Pause before a daemon that starts asks the store again.
const STARTUP_LIST_INTERVAL: Duration = Duration::from_millis(350);
/// Time between two looks whether this daemon should watch, while others do.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// First pause after a failed call, doubled up to [`MAX_PAUSE`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after failed calls: a fraction of the time within which changes must hold.
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// What came of a call.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    /// It was answered, as of this version.
    Answered(Version),
    /// It was given up, since nobody has word of the store.
    Overdue,
}

/// Where a follower stands.
#[derive(Clone, Debug)]
struct State {
    /// What it watches on from; it lists where there is none.
    version: Option<Version>,
    last_role: Option<WatchRole>,
    /// Whether its last call failed.
    is_failing: bool,
    /// Before the next call, should this one fail.
    backoff: Duration,
    /// How long an answer may take beyond the wait that is asked for.
    response_margin: Duration,
}

impl State {
    fn new() -> State {
        State {
            version: None,
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

/// Follows one kind of the store.
#[derive(Debug)]
pub(crate) struct StoreWatcher<A> {
    pub(crate) api: Arc<A>,
    pub(crate) store_cache: Arc<StoreCache>,
    /// Other daemons, which may watch in place of this one.
    pub(crate) peers: Arc<Peers>,
    pub(crate) store_kind: StoreKind,
}

impl<A: ObjectApi> StoreWatcher<A> {
    /// Follows until it is stopped.
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
                // What others tell meanwhile is newer than this version.
                state.version = None;
                tokio::time::sleep(ROLE_POLL_INTERVAL).await;
                continue;
            };
            self.count("begun");
            match self.call_store::<D>(role, &state).await {
                Ok(CallOutcome::Answered(version)) => {
                    self.record_answer(&mut state, version);
                    tokio::time::sleep(BATCHING_DELAY).await;
                }
                Ok(CallOutcome::Overdue) => {
                    self.record_overdue();
                    state.version = None;
                }
                Err(Error::Expired) => {
                    self.count("answered");
                    info!(kind:% = self.store_kind.as_str(); "history of the store is gone, listing anew");
                    state.version = None;
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
        let age_ms = self.peers.store_age(self.store_kind).as_millis() as u64;
        info!(target: "decision", kind:% = self.store_kind.as_str(), age_ms; "watch overdue, listing anew");
        self.api.reset_connections();
    }

    fn record_failure(&self, state: &mut State, error: &Error) {
        self.count("failed");
        if !state.is_failing {
            warn!(kind:% = self.store_kind.as_str(), error:% = error; "store lost");
        }
        state.is_failing = true;
        // A watch would say nothing until its wait is over.
        state.version = None;
        self.peers.record_store_call(self.store_kind, false);
        self.api.reset_connections();
    }

    /// Counts a call; one that was begun and neither answered nor failed is still waited for.
    fn count(&self, outcome: &'static str) {
        let kind = self.store_kind.as_str();
        metrics::counter!("kelpworks_store_calls_total", "kind" => kind, "outcome" => outcome)
            .increment(1);
    }

    /// What the store holds, for a daemon that has just started: callers may be waiting, and peers may
    /// be starting too. It asks again until somebody watches, since registrations may be coming back.
    /// Watching at once would cost each daemon of a fleet that starts a call for each registration.
    ///
    /// A store that has ever come back from an older copy may just have done so: what it shows then waits
    /// until peers have had time to tell of anything newer.
    async fn run_startup_lists<D: Adapter>(&self) {
        let kind = self.kind::<D>();
        loop {
            match self.api.list_relaxed(kind).await {
                Ok(list) => {
                    if list.version.era > Era::FIRST {
                        self.peers.wait_for_first_exchange().await;
                    }
                    self.apply_list::<D>(list.items, list.version);
                }
                Err(e) => info!(kind:% = kind, error:% = e; "no first list, left to peers"),
            }
            if self.has_startup_ended() {
                return;
            }
            tokio::time::sleep(STARTUP_LIST_INTERVAL).await;
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

    /// One call: a list, or a watch from a revision.
    async fn call_store<D: Adapter>(&self, role: WatchRole, state: &State) -> Result<CallOutcome> {
        let kind = self.kind::<D>();
        let Some(from) = state.version else {
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
                () = self.peers.wait_until_watch_overdue(self.store_kind) => return Ok(CallOutcome::Overdue),
            },
        };
        let events = reply.events.into_iter().map(|e| (e.kind, e.object));
        self.apply_changes::<D>(events.collect(), reply.version);
        Ok(CallOutcome::Answered(reply.version))
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

/// An answer within a bound; none within it is the silence of the store.
async fn with_timeout<T>(max_wait: Duration, answer: impl Future<Output = Result<T>>) -> Result<T> {
    let answer = tokio::time::timeout(max_wait, answer).await;
    answer.unwrap_or(Err(Error::Silent))
}
