//! Watches the configuration head in the object API, on the few daemons chosen to.

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

/// Wait after a failed call, at least and at most; doubled in between.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Reports each head that the object API shows.
#[derive(Debug)]
pub(crate) struct HeadWatch<A> {
    pub(crate) api: Arc<A>,
    /// Whether this daemon is one of the watchers now.
    pub(crate) chosen: watch::Receiver<bool>,
    /// Bodies of the head object.
    pub(crate) heads: mpsc::UnboundedSender<String>,
    /// Version of the heads that were last read.
    pub(crate) read: watch::Sender<Option<Version>>,
    /// Longest wait of a watch before it is opened anew.
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

    /// Reads the head once, whether chosen or not, so that a daemon that starts asks the object
    /// API as well as its peers. Then watches while chosen.
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
                    warn!("watch of the configuration head: {e}");
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
            info!(target: "decision", decision = "watch"; "watches the configuration head from now on");
        } else {
            std::future::pending().await
        }
    }

    /// Where to go on after a failure: from the last version, on a new connection, unless that
    /// version is no longer kept.
    fn resume(&self, error: &object_api::Error, from: Option<Version>) -> Option<Version> {
        match error {
            object_api::Error::Expired => None,
            _ => {
                self.api.reset_connections();
                from
            }
        }
    }

    /// Reads the head, or waits for it to change; returns the version to watch on from.
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
