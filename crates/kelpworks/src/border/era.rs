//! The era of the object API: how often it came back from an older copy of itself.
//!
//! Such an API has lost what it acknowledged since the copy, and gives the revisions after it out
//! again. So what was read before says nothing about what is written now: watches under way would
//! miss changes, and conditions would hold for other objects. Every answer tells its era, and all
//! clients of one daemon share an [`Eras`], so that a later era ends these at once, whoever hears
//! of it first.
//!
//! ```
//! use kelpworks::border::era::Eras;
//! use kelpworks::border::era::EraSource;
//! use kelpworks_coord::id::Era;
//!
//! let eras = Eras::default();
//! assert!(eras.observe(Era(2), EraSource::Answer));
//! assert!(!eras.observe(Era(1), EraSource::Peer), "a late answer changes nothing");
//! assert_eq!(eras.latest(), Era(2));
//! ```
//!
//! Limits: an API that tells no era is taken to be in the first for ever.

use std::future::Future;
use std::sync::Arc;

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
}

impl Default for Eras {
    fn default() -> Eras {
        Eras {
            latest: Arc::new(watch::Sender::new(Era::FIRST)),
        }
    }
}

impl Eras {
    /// The latest era heard of; never falls.
    pub fn latest(&self) -> Era {
        *self.latest.borrow()
    }

    /// Takes note of an era; whether it is later than all before.
    pub fn observe(&self, era: Era, source: EraSource) -> bool {
        let before = self.latest();
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

    /// Waits for an era later than this one.
    pub async fn after(&self, era: Era) {
        let mut latest = self.latest.subscribe();
        // The sender lives as long as `self`.
        let _ = latest.wait_for(|latest| *latest > era).await;
    }

    /// The era of an answer that tells something about objects, given what it says of its era.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] when the answer is of an earlier era than the latest, or can't be told from
    /// one.
    pub fn of_answer(&self, told: Option<Era>) -> Result<Era> {
        let era = told.unwrap_or(Era::FIRST);
        self.observe(era, EraSource::Answer);
        match era < self.latest() {
            true => Err(Error::Lost),
            false => Ok(era),
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
            () = self.after(from.era) => return Err(Error::Expired),
            reply = watch => reply?,
        };
        match reply.version.era > from.era {
            true => Err(Error::Expired),
            false => Ok(reply),
        }
    }
}
