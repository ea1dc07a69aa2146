//! The era of the object API: how often it came back from an older copy of itself.
//!
//! Such an API has lost what it acknowledged since the copy, and gives the revisions after it out
//! again. So what was read before says nothing about what is written now: watches under way would
//! miss changes, and conditions would hold for other objects. Every answer tells its era, and all
//! clients of one daemon share an [`Eras`], so that a later era ends these at once, whoever hears
//! of it first.
//!
//! ```
//! use kelpworks::clients::era::Eras;
//! use kelpworks::clients::era::EraSource;
//! use kelpworks_coord::id::Era;
//!
//! let eras = Eras::default();
//! assert!(eras.observe(Era(2), EraSource::Answer));
//! assert!(!eras.observe(Era(1), EraSource::Peer), "a late answer changes nothing");
//! assert_eq!(eras.latest(), Era(2));
//! assert!(!eras.observe(Era(70), EraSource::Answer), "not on one word");
//! ```
//!
//! Eras rise by one, and nothing leads back from one that was told by mistake. So one that skips
//! others has to be told twice in a row.
//!
//! Limits: an API that tells no era is taken to be in the first for ever. The first era that is told
//! at all is believed, whatever it is.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use log::info;
use tokio::sync::watch;

use super::object_api::Error;
use super::object_api::Result;
use super::object_api::WatchReply;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;

/// How an era was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraSource {
    /// An answer of the object API.
    Answer,
    /// A peer.
    Peer,
}

impl EraSource {
    fn as_str(self) -> &'static str {
        match self {
            EraSource::Answer => "answer",
            EraSource::Peer => "peer",
        }
    }
}

/// The latest era that a daemon has heard of; shared by its clones.
#[derive(Clone, Debug)]
pub struct Eras {
    latest: Arc<watch::Sender<Era>>,
    /// The last era told that skips others; 0 once an answer told another.
    unconfirmed_skip: Arc<AtomicU64>,
}

impl Default for Eras {
    fn default() -> Eras {
        Eras {
            latest: Arc::new(watch::Sender::new(Era::FIRST)),
            unconfirmed_skip: Arc::default(),
        }
    }
}

impl Eras {
    /// Latest observed era; never decreases.
    pub fn latest(&self) -> Era {
        *self.latest.borrow()
    }

    /// Takes note of an era; whether it is later than all before, and believed.
    pub fn observe(&self, era: Era, source: EraSource) -> bool {
        let before = self.latest();
        if !self.is_credible(era, before, source) {
            return false;
        }
        let is_later = self.latest.send_if_modified(|latest| {
            let is_later = era > *latest;
            *latest = era.max(*latest);
            is_later
        });
        if is_later {
            info!(
                target: "decision",
                era = era.0,
                before = before.0,
                source:% = source.as_str();
                "object API in a later era, what was read before is dropped"
            );
            metrics::counter!("kelpworks_store_restores_total").increment(1);
            metrics::gauge!("kelpworks_store_era").set(era.0 as f64);
        }
        is_later
    }

    /// Whether an era follows the latest, is the first to be told, or was told before without an answer
    /// of another in between. Peers may be behind, so their word takes nothing back.
    fn is_credible(&self, era: Era, latest: Era, source: EraSource) -> bool {
        let skips = latest > Era::FIRST && era.0 > latest.0 + 1;
        if skips {
            return self.unconfirmed_skip.swap(era.0, Ordering::Relaxed) == era.0;
        }
        if source == EraSource::Answer {
            self.unconfirmed_skip.store(0, Ordering::Relaxed);
        }
        true
    }

    /// Waits for an era later than this one.
    pub async fn wait_for_later(&self, era: Era) {
        let mut latest = self.latest.subscribe();
        // The sender lives as long as `self`.
        let _ = latest.wait_for(|latest| *latest > era).await;
    }

    /// The era of an answer that tells something about objects, given what it says of its era.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] when the answer is of an earlier era than the latest, can't be told from one,
    /// or tells an era that is not believed yet.
    pub fn check_response_era(&self, reported: Option<Era>) -> Result<Era> {
        let era = reported.unwrap_or(Era::FIRST);
        self.observe(era, EraSource::Answer);
        match era == self.latest() {
            true => Ok(era),
            false => Err(Error::Lost),
        }
    }

    /// The revision that stands for a version in a condition.
    ///
    /// # Errors
    ///
    /// [`Error::Outdated`] when the version is of an earlier era.
    pub fn condition(&self, version: Version) -> Result<u64> {
        match version.era < self.latest() {
            true => Err(Error::Outdated),
            false => Ok(version.revision),
        }
    }

    /// The outcome of a watch from a version, which a later era ends: its changes are those of another
    /// history.
    ///
    /// # Errors
    ///
    /// [`Error::Expired`] once there is a later era.
    pub async fn watch_from(
        &self,
        from: Version,
        watch: impl Future<Output = Result<WatchReply>>,
    ) -> Result<WatchReply> {
        let reply = tokio::select! {
            biased;
            () = self.wait_for_later(from.era) => return Err(Error::Expired),
            reply = watch => reply?,
        };
        match reply.version.era > from.era {
            true => Err(Error::Expired),
            false => Ok(reply),
        }
    }
}
