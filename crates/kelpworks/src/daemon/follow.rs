//! Follows the configuration head of the object API and puts each new generation in force.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kelpworks_coord::id::Digest;
use log::info;
use log::warn;
use rand::RngExt;
use thiserror::Error;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::border::object_api;
use crate::border::object_api::ObjectApi;
use crate::config::document;
use crate::config::head;
use crate::config::head::BLOB_KIND;
use crate::config::head::HEAD_KIND;
use crate::config::head::HEAD_NAME;
use crate::in_force::InForce;
use crate::register::Register;
use crate::rules::Rules;

/// The result of this module.
type Result<T> = std::result::Result<T, Error>;

/// Wait after a failed call, at least and at most; doubled in between.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Why the head could not be followed this time.
#[derive(Debug, Error)]
enum Error {
    #[error("object API: {0}")]
    Api(#[from] object_api::Error),
    #[error("the configuration head can't be read: {0}")]
    Head(serde_json::Error),
    #[error("configuration: {0}")]
    Config(#[from] document::Error),
}

/// Puts new generations in force.
#[derive(Debug)]
pub(crate) struct Follower<A> {
    pub(crate) api: A,
    pub(crate) config: Arc<ArcSwap<InForce>>,
    pub(crate) register: watch::Sender<Arc<Register>>,
    /// Longest wait of a watch before it is opened anew.
    pub(crate) watch_wait: Duration,
}

impl<A: ObjectApi> Follower<A> {
    /// Runs until `stop`. What is in force stays so while the object API is away.
    pub(crate) async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.follow() => {}
        }
    }

    async fn follow(&self) {
        let mut backoff = BACKOFF_MIN;
        let mut from = None;
        loop {
            match self.turn(from).await {
                Ok(version) => {
                    from = Some(version);
                    backoff = BACKOFF_MIN;
                }
                Err(e) => {
                    warn!("{e}");
                    self.api.fresh();
                    from = None;
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(backoff.mul_f64(jitter)).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
            }
        }
    }

    /// Reads the head, or waits for it to change; returns the version to watch on from.
    async fn turn(&self, from: Option<u64>) -> Result<u64> {
        let Some(from) = from else {
            let heads = self.api.list(HEAD_KIND).await?;
            if let Some(head) = heads.items.iter().find(|o| o.name == HEAD_NAME) {
                self.take(&head.body).await?;
            }
            return Ok(heads.version);
        };
        let reply = self.api.watch(HEAD_KIND, from, self.watch_wait).await?;
        let last = reply
            .events
            .iter()
            .rev()
            .find(|e| e.object.name == HEAD_NAME);
        if let Some(event) = last {
            self.take(&event.object.body).await?;
        }
        Ok(reply.version)
    }

    async fn take(&self, body: &str) -> Result<()> {
        let head = head::parse(body).map_err(Error::Head)?;
        let Some(part) = head.register else {
            return Ok(());
        };
        let generation = head.generation.0;
        if generation <= self.config.load().generation {
            return Ok(());
        }
        let register = Register::parse("register", &self.blob(part.digest).await?)?;
        let rules = match head.rules {
            None => Rules::default(),
            Some(part) => Rules::parse("rules", &self.blob(part.digest).await?, &register)?,
        };
        let in_force = InForce::new(generation, register.clone(), rules);
        self.config.store(Arc::new(in_force));
        self.register.send_replace(Arc::new(register));
        metrics::gauge!("kelpworks_generation").set(generation as f64);
        info!(
            target: "decision", decision = "config", generation = generation;
            "configuration in force"
        );
        Ok(())
    }

    async fn blob(&self, digest: Digest) -> Result<String> {
        Ok(self.api.get(BLOB_KIND, &digest.to_string()).await?.body)
    }
}
