//! The era of the object API: the number of times it was restored from a backup.
//!
//! A restored API has lost the writes acknowledged since the backup, and assigns their revisions
//! again. State read before the restore is therefore invalid: watches in progress would miss
//! changes, and conditions would match other objects. Every response carries its era, and all
//! clients of one daemon share an [`Eras`], so that a later era ends such watches and conditions at
//! once, whichever client observes it first.
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
//! Eras increase by one per restore, and an era accepted by mistake can't be undone. An era that
//! skips others is therefore accepted only when it is reported twice in a row.
//!
//! Limits: an API that reports no era is always taken to be in the first one. The first era that is
//! reported is accepted, whatever its value.

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

/// Where an observed era came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraSource {
    /// A response of the object API.
    Answer,
    /// Gossip from another daemon.
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

/// The latest era that a daemon has observed; clones share it.
#[derive(Clone, Debug)]
pub struct Eras {
    latest: Arc<watch::Sender<Era>>,
    /// The last reported era that skips others and is not accepted yet; 0 once a response reports
    /// an era that skips none.
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

    /// Records a reported era. Returns whether it was accepted and is later than all before.
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
                "object API in a later era, state read in earlier eras is discarded"
            );
            metrics::counter!("kelpworks_store_restores_total").increment(1);
            metrics::gauge!("kelpworks_store_era").set(era.0 as f64);
        }
        is_later
    }

    /// Whether an era is accepted: it skips none after the latest, is the first to be reported, or
    /// is reported for the second time with no response of another era in between. Peers may be
    /// behind, so an era that a peer reports does not interrupt such a pair.
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

    /// Waits until an era later than `era` is observed.
    pub async fn wait_for_later(&self, era: Era) {
        let mut latest = self.latest.subscribe();
        // The sender lives as long as `self`.
        let _ = latest.wait_for(|latest| *latest > era).await;
    }

    /// Records the era that a response with object data reports, and returns it if it is the
    /// latest. A response without an era counts as one of the first era.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] when the response is of an earlier era than the latest, reports none while
    /// the latest is not the first, or reports an era that is not accepted yet.
    pub fn check_response_era(&self, reported: Option<Era>) -> Result<Era> {
        let era = reported.unwrap_or(Era::FIRST);
        self.observe(era, EraSource::Answer);
        match era == self.latest() {
            true => Ok(era),
            false => Err(Error::Lost),
        }
    }

    /// Returns the revision to send for a version in a condition.
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

    /// Runs a watch from a version and cancels it when a later era is observed, because the
    /// changes after a restore belong to another history.
    ///
    /// # Errors
    ///
    /// [`Error::Expired`] when there is a later era.
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
