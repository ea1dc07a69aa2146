//! Following the store: lists a kind once, then watches it.
//!
//! A watch waits long, since each call is paid for; that a connection has died is found by the
//! system's keepalive, and by peers that know something newer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kelpworks::border::object_api::Error;
use kelpworks::border::object_api::ObjectApi;
use kelpworks::border::object_api::Result;
use kelpworks_wire::Object;
use kelpworks_wire::WatchEventKind;
use log::info;
use log::warn;
use tokio_util::sync::CancellationToken;

use crate::dialect::Dialect;
use crate::documents::Documents;
use crate::documents::Entries;
use crate::documents::EntryChange;
use crate::documents::Source;
use crate::peers::Peers;
use crate::peers::What;
use crate::shared::Shared;

/// Longest wait of a watch: each one is a paid call, and the platform allows 30 s.
const WATCH: Duration = Duration::from_secs(20);
/// Pause before a watch goes on, so that changes which come together cost one call: entries of a
/// fleet that starts come one by one, each a paid call for each daemon without it.
const GATHER: Duration = Duration::from_millis(120);
/// Pause before a daemon that starts asks the store again.
const BEGIN_AGAIN: Duration = Duration::from_millis(350);
/// Time between two looks whether this daemon should watch, while others do.
const OTHERS_WATCH: Duration = Duration::from_millis(250);
/// First pause after a failed call, doubled up to [`LONGEST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls: a fraction of the time within which changes must hold.
const LONGEST_PAUSE: Duration = Duration::from_millis(900);

/// Follows one kind of the store.
#[derive(Debug)]
pub(crate) struct Follower<A> {
    pub(crate) api: Arc<A>,
    pub(crate) documents: Arc<Documents>,
    pub(crate) shared: Arc<Shared>,
    /// Other daemons, which may watch in place of this one.
    pub(crate) peers: Arc<Peers>,
    pub(crate) what: What,
}

impl<A: ObjectApi> Follower<A> {
    /// Follows until it is stopped.
    pub(crate) async fn run<D: Dialect>(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.follow::<D>() => {}
        }
    }

    async fn follow<D: Dialect>(&self) {
        self.begin::<D>().await;
        let mut revision = None;
        let mut pause = PAUSE;
        let mut lost = false;
        let mut watched = false;
        loop {
            let watches = self.peers.is_watcher();
            if watches != watched {
                info!(target: "decision", kind:% = self.kind::<D>(), watches; "duty to watch the store");
                watched = watches;
            }
            if !watches {
                // What others tell meanwhile is newer than this revision.
                revision = None;
                tokio::time::sleep(OTHERS_WATCH).await;
                continue;
            }
            self.count::<D>("begun");
            match self.step::<D>(revision).await {
                Ok(seen) => {
                    self.count::<D>("answered");
                    if lost {
                        info!(kind:% = self.kind::<D>(), revision = seen; "store regained");
                    }
                    lost = false;
                    self.shared.store_answers.store(true, Ordering::Relaxed);
                    self.peers.store(self.what, true);
                    revision = Some(seen);
                    pause = PAUSE;
                    tokio::time::sleep(GATHER).await;
                }
                Err(Error::Expired) => {
                    self.count::<D>("answered");
                    info!(kind:% = self.kind::<D>(); "history of the store is gone, listing anew");
                    revision = None;
                }
                Err(e) => {
                    self.count::<D>("failed");
                    if !lost {
                        warn!(kind:% = self.kind::<D>(), error:% = e; "store lost");
                    }
                    lost = true;
                    self.shared.store_answers.store(false, Ordering::Relaxed);
                    self.peers.store(self.what, false);
                    self.api.fresh();
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    /// Counts a call; one that was begun and neither answered nor failed is still waited for.
    fn count<D: Dialect>(&self, outcome: &'static str) {
        let kind = self.kind::<D>();
        metrics::counter!("kelpworks_store_calls_total", "kind" => kind, "outcome" => outcome)
            .increment(1);
    }

    /// What the store holds, for a daemon that has just started: callers may be waiting, and peers may
    /// be starting too. It asks again until somebody watches, since registrations may be coming back.
    /// Watching at once would cost each daemon of a fleet that starts a call for each registration.
    async fn begin<D: Dialect>(&self) {
        let kind = self.kind::<D>();
        loop {
            match self.api.list_relaxed(kind).await {
                Ok(list) => self.listed::<D>(list.items, list.version),
                Err(e) => info!(kind:% = kind, error:% = e; "no first list, left to peers"),
            }
            if self.has_begun() {
                return;
            }
            tokio::time::sleep(BEGIN_AGAIN).await;
        }
    }

    fn has_begun(&self) -> bool {
        let is_known = self.what == What::Configuration && self.documents.version() > 0;
        is_known || self.peers.is_watcher() || self.peers.is_store_watched()
    }

    fn kind<D: Dialect>(&self) -> &'static str {
        match self.what {
            What::Configuration => D::CONFIGURATION_KIND,
            What::Upstreams => D::UPSTREAMS_KIND,
        }
    }

    /// One call; returns the revision that was seen.
    async fn step<D: Dialect>(&self, revision: Option<u64>) -> Result<u64> {
        let kind = self.kind::<D>();
        match revision {
            None => {
                let list = self.api.list(kind).await?;
                self.listed::<D>(list.items, list.version);
                Ok(list.version)
            }
            Some(from) => {
                let reply = self.api.watch(kind, from, WATCH).await?;
                let events = reply.events.into_iter().map(|e| (e.kind, e.object));
                self.changed::<D>(events.collect(), reply.version);
                Ok(reply.version)
            }
        }
    }

    fn listed<D: Dialect>(&self, objects: Vec<Object>, version: u64) {
        match self.what {
            What::Configuration => {
                let named = objects.iter().filter(|o| o.name == D::CONFIGURATION_NAME);
                for object in named {
                    self.documents
                        .put_configuration::<D>(&object.body, Source::Store);
                }
            }
            What::Upstreams => {
                let texts = objects
                    .iter()
                    .map(|o| (Arc::from(&*o.name), Arc::from(&*o.body)));
                let entries = Entries {
                    revision: version,
                    texts: texts.collect(),
                };
                self.documents.put_entries::<D>(entries, Source::Store);
            }
        }
    }

    fn changed<D: Dialect>(&self, events: Vec<(WatchEventKind, Object)>, version: u64) {
        if events.is_empty() {
            return;
        }
        match self.what {
            What::Configuration => {
                let objects = events.into_iter().map(|(_, o)| o).collect();
                self.listed::<D>(objects, version);
            }
            What::Upstreams => {
                let change = |(kind, o): (WatchEventKind, Object)| EntryChange {
                    name: Arc::from(&*o.name),
                    text: (kind == WatchEventKind::Put).then(|| Arc::from(&*o.body)),
                };
                let changes = events.into_iter().map(change).collect();
                self.documents.change_entries::<D>(changes, version);
            }
        }
    }
}
