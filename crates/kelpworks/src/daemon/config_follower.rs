//! Fetches each new generation of the configuration from the object API or from peers, and
//! activates it.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::info;
use log::warn;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::active_config::ActiveConfig;
use crate::clients::object_api;
use crate::clients::object_api::ObjectApi;
use crate::config::document;
use crate::config::head::BLOB_KIND;
use crate::config::head::Digest;
use crate::config::head::Head;
use crate::config::head::digest_of;
use crate::config::head::parse;
use crate::membership::Peers;
use crate::membership::ReceivedHead;
use crate::register::Register;
use crate::rules::Rules;
use kelpworks_coord::head;
use kelpworks_coord::head::FollowerAction;
use kelpworks_coord::head::FollowerEvent;

type Result<T> = std::result::Result<T, Error>;

/// Time between attempts to fetch a configuration whose texts are unavailable.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for a text from the object API, after which any peer is queried. The API normally
/// answers within milliseconds.
const API_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an attempt to fetch and parse a configuration failed.
#[derive(Debug)]
#[derive(Error)]
enum Error {
    #[error("object API: {0}")]
    Api(#[from] object_api::Error),
    #[error("the text of {0} does not match its digest")]
    Corrupt(Digest),
    #[error("the head names no register")]
    NoRegister,
    #[error("configuration: {0}")]
    Config(#[from] document::Error),
}

/// The texts that a head refers to, raw and parsed.
#[derive(Debug)]
struct Fetched {
    register: Register,
    rules: Rules,
    texts: Vec<String>,
}

/// Activates new generations of the configuration.
#[derive(Debug)]
pub(crate) struct ConfigFollower<A> {
    pub(crate) api: Arc<A>,
    pub(crate) peers: Peers,
    /// Heads read from the object API.
    pub(crate) from_api: mpsc::UnboundedReceiver<String>,
    /// Heads received from peers.
    pub(crate) from_peers: mpsc::UnboundedReceiver<ReceivedHead>,
    pub(crate) config: Arc<ArcSwap<ActiveConfig>>,
    pub(crate) register: watch::Sender<Arc<Register>>,
    /// Texts of the active configuration, which the next generation may share.
    pub(crate) texts: Vec<String>,
    /// The newest head observed so far; `None` before the first.
    pub(crate) newest: Option<NewestHead>,
}

/// A head to activate, and the address of a peer that holds its texts, if one is known.
#[derive(Clone, Debug)]
pub(crate) struct NewestHead {
    head: Head,
    body: String,
    holder: Option<String>,
}

impl<A: ObjectApi> ConfigFollower<A> {
    /// Runs until `stop`. The active configuration stays active while the object API and all peers
    /// are unreachable.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.follow() => {}
        }
    }

    async fn follow(&mut self) {
        let mut state = head::Follower::new();
        let mut retry = tokio::time::interval(RETRY_INTERVAL);
        retry.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                Some(body) = self.from_api.recv() => self.on_head(&state, body, None),
                Some(ReceivedHead { from, body }) = self.from_peers.recv() => {
                    self.on_head(&state, body, Some(from.address))
                }
                _ = retry.tick() => Some(FollowerEvent::Retry),
            };
            let Some(event) = event else { continue };
            let actions = state.on_event(event);
            self.execute(&mut state, actions).await;
        }
    }

    /// Records a head if it is newer than all before, and returns the event for the state machine,
    /// which decides whether to fetch it. Returns `None` for a head that can't be parsed.
    fn on_head(
        &mut self,
        state: &head::Follower,
        body: String,
        holder: Option<String>,
    ) -> Option<FollowerEvent> {
        let head = match parse(&body) {
            Ok(head) => head,
            Err(e) => {
                warn!("configuration head can't be read: {e}");
                return None;
            }
        };
        match &mut self.newest {
            // A peer that has activated the head holds its texts; the next attempt queries it.
            Some(newest) if newest.head.generation == head.generation => {
                newest.holder = holder.or(newest.holder.take());
            }
            _ if head.generation > state.latest_generation() => {
                self.newest = Some(NewestHead { head, body, holder });
            }
            _ => {}
        }
        Some(FollowerEvent::Seen(head))
    }

    async fn execute(&mut self, state: &mut head::Follower, actions: Vec<FollowerAction>) {
        let mut due = actions;
        while let Some(action) = due.pop() {
            let Some(newest) = self.newest.clone() else {
                return;
            };
            let FollowerAction::Fetch(head) = action else {
                continue;
            };
            match self.fetch(&newest).await {
                Ok(fetched) => {
                    let done = state.on_event(FollowerEvent::Fetched(head.generation));
                    // The state machine decides whether this generation is still to be applied.
                    if matches!(done[..], [FollowerAction::Apply(_)]) {
                        self.apply(newest, fetched);
                    }
                }
                Err(e) => {
                    warn!(
                        "configuration generation {} not activated: {e}",
                        head.generation.0
                    );
                    due.extend(state.on_event(FollowerEvent::FetchFailed(head.generation)));
                }
            }
        }
    }

    async fn fetch(&self, newest: &NewestHead) -> Result<Fetched> {
        let NewestHead { head, holder, .. } = newest;
        let register = head.register.ok_or(Error::NoRegister)?;
        let text = self.text(register.digest, holder.as_deref()).await?;
        let register = Register::parse("register", &text)?;
        let mut texts = vec![text];
        let rules = match head.rules {
            None => Rules::default(),
            Some(part) => {
                let text = self.text(part.digest, holder.as_deref()).await?;
                let rules = Rules::parse("rules", &text, &register)?;
                texts.push(text);
                rules
            }
        };
        Ok(Fetched {
            register,
            rules,
            texts,
        })
    }

    /// Returns the text with a digest: from the active configuration, from `holder`, from the
    /// object API or from any peer, in this order.
    async fn text(&self, digest: Digest, holder: Option<&str>) -> Result<String> {
        if let Some(text) = self.texts.iter().find(|t| digest_of(t) == digest) {
            return Ok(text.clone());
        }
        if let Some(holder) = holder
            && let Some(text) = self.peers.text(digest, holder).await
        {
            return Ok(text);
        }
        let name = digest.to_string();
        let get = tokio::time::timeout(API_TIMEOUT, self.api.get(BLOB_KIND, &name));
        let error = match get.await {
            Ok(Ok(object)) if digest_of(&object.body) == digest => return Ok(object.body),
            Ok(Ok(_)) => Error::Corrupt(digest),
            Ok(Err(e)) => Error::Api(e),
            Err(_) => Error::Api(object_api::Error::Silent),
        };
        self.peers.text_from_any(digest).await.ok_or(error)
    }

    fn apply(&mut self, newest: NewestHead, fetched: Fetched) {
        let NewestHead { head, body, holder } = newest;
        let Fetched {
            register,
            rules,
            texts,
        } = fetched;
        let generation = head.generation.0;
        let active_config = ActiveConfig::new(generation, register.clone(), rules);
        self.config.store(Arc::new(active_config));
        self.register.send_replace(Arc::new(register));
        self.texts.clone_from(&texts);
        self.peers.set_active_config(generation, body, texts);
        metrics::gauge!("kelpworks_generation").set(generation as f64);
        let source = if holder.is_some() {
            "peer"
        } else {
            "object API"
        };
        info!(
            target: "decision", decision = "config", generation = generation, source = source;
            "configuration activated"
        );
    }
}
