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
const FRESH: Duration = Duration::from_millis(1_200);
/// Wait of a standby's watches: each one is a paid call, and the platform allows 30 s.
const LONG: Duration = Duration::from_secs(20);
/// How long an answer may take beyond the wait that was asked for, at first; doubled with each call in a
/// row that fails, up to [`MAX_PATIENCE`], for a store that is slow.
const PATIENCE: Duration = Duration::from_secs(1);
/// Longest time that an answer may take: calls that were lost in an outage hold the next one up so long.
const MAX_PATIENCE: Duration = Duration::from_secs(2);
/// Pause before a watch goes on, so that changes which come together cost one call: entries of a
/// fleet that starts come one by one, each a paid call for each daemon without it.
const GATHER: Duration = Duration::from_millis(120);
/// Pause before a daemon that starts asks the store again.
const BEGIN_AGAIN: Duration = Duration::from_millis(350);
/// Time between two looks whether this daemon should watch, while others do.
const OTHERS_WATCH: Duration = Duration::from_millis(250);
/// First pause after a failed call, doubled up to [`MAX_PAUSE`].
const PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls: a fraction of the time within which changes must hold.
const MAX_PAUSE: Duration = Duration::from_millis(900);

/// What came of a call.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It was answered, as of this version.
    Seen(Version),
    /// It was given up, since nobody has word of the store.
    Overdue,
}

/// Where a follower stands.
#[derive(Clone, Debug)]
struct State {
    /// What it watches on from; it lists where there is none.
    version: Option<Version>,
    duty: Option<WatchRole>,
    /// Whether its last call failed.
    lost: bool,
    /// Before the next call, should this one fail.
    pause: Duration,
    /// How long an answer may take beyond the wait that is asked for.
    patience: Duration,
}

impl State {
    fn new() -> State {
        State {
            version: None,
            duty: None,
            lost: false,
            pause: PAUSE,
            patience: PATIENCE,
        }
    }

    fn slow_down(&mut self) {
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.patience = (self.patience * 2).min(MAX_PATIENCE);
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
        self.begin::<D>().await;
        let mut state = State::new();
        loop {
            let watch = self.peers.watch_role(self.store_kind);
            self.note_duty(&mut state, watch);
            let Some(watch) = watch else {
                // What others tell meanwhile is newer than this version.
                state.version = None;
                tokio::time::sleep(OTHERS_WATCH).await;
                continue;
            };
            self.count("begun");
            match self.step::<D>(watch, &state).await {
                Ok(Step::Seen(version)) => {
                    self.answered(&mut state, version);
                    tokio::time::sleep(GATHER).await;
                }
                Ok(Step::Overdue) => {
                    self.overdue();
                    state.version = None;
                }
                Err(Error::Expired) => {
                    self.count("answered");
                    info!(kind:% = self.store_kind.as_str(); "history of the store is gone, listing anew");
                    state.version = None;
                }
                Err(e) => {
                    self.failed(&mut state, &e);
                    tokio::time::sleep(state.pause).await;
                    state.slow_down();
                }
            }
        }
    }

    fn note_duty(&self, state: &mut State, watch: Option<WatchRole>) {
        if watch == state.duty {
            return;
        }
        state.duty = watch;
        let how = watch.map_or("none", WatchRole::as_str);
        info!(target: "decision", kind:% = self.store_kind.as_str(), how; "store watcher role");
    }

    fn answered(&self, state: &mut State, version: Version) {
        self.count("answered");
        self.peers.record_store_call(self.store_kind, true);
        if state.lost {
            info!(kind:% = self.store_kind.as_str(), version:% = version; "store regained");
        }
        *state = State {
            version: Some(version),
            duty: state.duty,
            ..State::new()
        };
    }

    fn overdue(&self) {
        self.count("given up");
        let age_ms = self.peers.store_age(self.store_kind).as_millis() as u64;
        info!(target: "decision", kind:% = self.store_kind.as_str(), age_ms; "watch overdue, listing anew");
        self.api.reset_connections();
    }

    fn failed(&self, state: &mut State, error: &Error) {
        self.count("failed");
        if !state.lost {
            warn!(kind:% = self.store_kind.as_str(), error:% = error; "store lost");
        }
        state.lost = true;
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
    async fn begin<D: Adapter>(&self) {
        let kind = self.kind::<D>();
        loop {
            match self.api.list_relaxed(kind).await {
                Ok(list) => {
                    if list.version.era > Era::FIRST {
                        self.peers.until_greeted().await;
                    }
                    self.listed::<D>(list.items, list.version);
                }
                Err(e) => info!(kind:% = kind, error:% = e; "no first list, left to peers"),
            }
            if self.has_begun() {
                return;
            }
            tokio::time::sleep(BEGIN_AGAIN).await;
        }
    }

    fn has_begun(&self) -> bool {
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
    async fn step<D: Adapter>(&self, watch: WatchRole, state: &State) -> Result<Step> {
        let kind = self.kind::<D>();
        let Some(from) = state.version else {
            let list = within(state.patience, self.api.list(kind)).await?;
            self.listed::<D>(list.items, list.version);
            return Ok(Step::Seen(list.version));
        };
        let reply = match watch {
            WatchRole::Primary => {
                let reply = self.api.watch(kind, from, FRESH);
                within(FRESH + state.patience, reply).await?
            }
            WatchRole::Standby => tokio::select! {
                reply = self.api.watch(kind, from, LONG) => reply?,
                () = self.peers.until_store_overdue(self.store_kind) => return Ok(Step::Overdue),
            },
        };
        let events = reply.events.into_iter().map(|e| (e.kind, e.object));
        self.changed::<D>(events.collect(), reply.version);
        Ok(Step::Seen(reply.version))
    }

    fn listed<D: Adapter>(&self, objects: Vec<Object>, version: Version) {
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

    fn changed<D: Adapter>(&self, events: Vec<(WatchEventKind, Object)>, version: Version) {
        if events.is_empty() {
            return;
        }
        match self.store_kind {
            StoreKind::Configuration => {
                let objects = events.into_iter().map(|(_, o)| o).collect();
                self.listed::<D>(objects, version);
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
async fn within<T>(bound: Duration, answer: impl Future<Output = Result<T>>) -> Result<T> {
    let answer = tokio::time::timeout(bound, answer).await;
    answer.unwrap_or(Err(Error::Silent))
}
