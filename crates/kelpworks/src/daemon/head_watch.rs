//! Watches the configuration head in the object API, on the few daemons that have this role.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clients::object_api;
use crate::clients::object_api::ObjectApi;
use crate::config::head::HEAD_KIND;
use crate::config::head::HEAD_NAME;
use kelpworks_coord::id::Version;

/// Bounds of the backoff after failed calls, which doubles with each failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Reads the head from the object API and reports each change.
#[derive(Debug)]
pub(crate) struct HeadWatch<A> {
    pub(crate) api: Arc<A>,
    /// Whether this daemon currently has the role of a watcher.
    pub(crate) chosen: watch::Receiver<bool>,
    /// Receives each body of the head object.
    pub(crate) heads: mpsc::UnboundedSender<String>,
    /// Receives the version of each list or watch of heads.
    pub(crate) read: watch::Sender<Option<Version>>,
    /// Longest duration of one watch call; another call follows it.
    pub(crate) wait: Duration,
}

impl<A: ObjectApi> HeadWatch<A> {
    /// Runs until `stop`.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.watch() => {}
        }
    }

    /// Reads the head once, whether chosen or not, so that a starting daemon queries the object API
    /// as well as its peers. Then watches while chosen.
    async fn watch(&mut self) {
        let mut backoff = BACKOFF_MIN;
        let mut from = None;
        loop {
            match self.read_or_watch(from).await {
                Ok(version) => {
                    from = Some(version);
                    self.read.send_replace(from);
                    backoff = BACKOFF_MIN;
                    self.wait_until_chosen().await;
                }
                Err(e) => {
                    warn!("watch of the configuration head failed: {e}");
                    from = self.resume(&e, from);
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(backoff.mul_f64(jitter)).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
            }
        }
    }

    async fn wait_until_chosen(&mut self) {
        if *self.chosen.borrow_and_update() {
            return;
        }
        let chosen = self.chosen.wait_for(|&chosen| chosen).await.is_ok();
        if chosen {
            info!(target: "decision", decision = "watch"; "this daemon watches the configuration head");
        } else {
            std::future::pending().await
        }
    }

    /// Returns the version to resume from after a failure. This is the last version, on a new
    /// connection, or `None` to list again if the API no longer has the changes since then.
    fn resume(&self, error: &object_api::Error, from: Option<Version>) -> Option<Version> {
        match error {
            object_api::Error::Expired => None,
            _ => {
                self.api.reset_connections();
                from
            }
        }
    }

    /// Lists the head if `from` is `None`, otherwise watches it for changes. Returns the version to
    /// watch from next.
    async fn read_or_watch(&self, from: Option<Version>) -> object_api::Result<Version> {
        let Some(from) = from else {
            let heads = self.api.list(HEAD_KIND).await?;
            if let Some(head) = heads.items.into_iter().find(|o| o.name == HEAD_NAME) {
                let _ = self.heads.send(head.body);
            }
            return Ok(heads.version);
        };
        let reply = self.api.watch(HEAD_KIND, from, self.wait).await?;
        let mut events = reply.events.into_iter().rev();
        if let Some(event) = events.find(|e| e.object.name == HEAD_NAME) {
            let _ = self.heads.send(event.object.body);
        }
        Ok(reply.version)
    }
}

#[cfg(test)]
#[path = "head_watch_tests.rs"]
mod tests;
