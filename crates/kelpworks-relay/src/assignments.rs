//! What engines hold, as their own word tells it before their registrations do.
//!
//! A registration shows new layers up to a heartbeat after they are loaded, and nothing at all while
//! the store is down. So whoever orders an engine notes the order, asks the engine until it has
//! loaded, and tells the other daemons. The number of orders that an engine has begun dates each
//! word: a later order is newer, and loaded is newer than ordered.
//!
//! ```
//! use kelpworks_relay::adapter::LayerRange;
//! use kelpworks_relay::assignments::LayerAssignment;
//!
//! let layers = LayerRange { from: 0, to: 9 };
//! let ordered = LayerAssignment { orders: 2, layers, loaded: false };
//! let loaded = LayerAssignment { loaded: true, ..ordered };
//! assert!(loaded.is_newer_than(&ordered));
//! ```
//!
//! Limits: an engine that is ordered past this table, or that loses an order which was accepted, is
//! shown wrongly until its registration changes or [`REPORT_TTL`] is over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::adapter::UpstreamEntry;

/// How long a word counts that no registration confirms: a whole accelerator's layers load in 7 s,
/// slower when many load at once.
pub const REPORT_TTL: Duration = Duration::from_secs(12);

/// What an engine holds or is loading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerAssignment {
    /// Orders that the engine had begun then, the one for these layers included.
    pub orders: u64,
    /// The layers.
    pub layers: LayerRange,
    /// Whether they are loaded; until then the engine can do no work.
    pub loaded: bool,
}

impl LayerAssignment {
    /// Whether it says something later than another word on the same engine.
    pub fn is_newer_than(&self, other: &LayerAssignment) -> bool {
        (self.orders, self.loaded) > (other.orders, other.loaded)
    }

    /// Layers that can be used.
    pub fn usable(&self) -> Option<LayerRange> {
        self.loaded.then_some(self.layers)
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    assignment: LayerAssignment,
    since: Instant,
    /// A registration has said the same since. The word is kept until it would be over, so that a
    /// late copy of it or of an older one is not taken for news.
    confirmed: bool,
}

/// The latest report on the layers of each engine.
#[derive(Clone, Debug, Default)]
pub struct LayerAssignments {
    reports: HashMap<Arc<str>, Report>,
}

impl LayerAssignments {
    /// Returns the latest report on an engine; `None` once its registration shows the same.
    pub fn get(&self, instance: &str) -> Option<LayerAssignment> {
        let report = self.reports.get(instance)?;
        (!report.confirmed).then_some(report.assignment)
    }

    /// Returns the layers of an engine that can be used: as reported, else as registered.
    pub fn usable(&self, entry: &UpstreamEntry) -> Option<LayerRange> {
        let report = self.get(&entry.instance);
        report.map_or(entry.layers, |h| h.usable())
    }

    /// Returns how many orders an engine has begun; `None` without a report.
    pub fn orders(&self, instance: &str) -> Option<u64> {
        self.reports.get(instance).map(|w| w.assignment.orders)
    }

    /// Takes a report that was true `age` ago; returns whether it is newer than the one known.
    pub fn learn(
        &mut self,
        instance: &Arc<str>,
        assignment: LayerAssignment,
        age: Duration,
        now: Instant,
    ) -> bool {
        let known = self.reports.get(instance);
        if age >= REPORT_TTL || known.is_some_and(|w| !assignment.is_newer_than(&w.assignment)) {
            return false;
        }
        let since = now.checked_sub(age).unwrap_or(now);
        let report = Report {
            assignment,
            since,
            confirmed: false,
        };
        self.reports.insert(Arc::clone(instance), report);
        true
    }

    /// Takes the layers that an engine registered: a word that names the same has served its turn, also
    /// when it was of an engine that loaded them, since engines register what they have loaded.
    pub fn on_registration(&mut self, instance: &str, layers: Option<LayerRange>) {
        if let Some(report) = self.reports.get_mut(instance) {
            report.confirmed |= Some(report.assignment.layers) == layers;
        }
    }

    /// Forgets an engine.
    pub fn forget(&mut self, instance: &str) {
        self.reports.remove(instance);
    }

    /// Forgets words whose time is over, and says on whom one was that no registration confirmed.
    /// While no registrations come, those of loaded engines stay: nothing newer can be known.
    pub fn expire(&mut self, registrations_available: bool, now: Instant) -> Vec<Arc<str>> {
        let mut unconfirmed = Vec::new();
        self.reports.retain(|instance, w| {
            let is_old = now.duration_since(w.since) >= REPORT_TTL;
            let is_expired =
                is_old && (registrations_available || w.confirmed || !w.assignment.loaded);
            if is_expired && !w.confirmed {
                unconfirmed.push(Arc::clone(instance));
            }
            !is_expired
        });
        unconfirmed
    }

    /// Words that no registration shows, and their age; the newest first, at most so many.
    pub fn unconfirmed_reports(
        &self,
        max: usize,
        now: Instant,
    ) -> Vec<(Arc<str>, LayerAssignment, Duration)> {
        let age = |w: &Report| now.duration_since(w.since);
        let unconfirmed = self.reports.iter().filter(|(_, w)| !w.confirmed);
        let mut reports: Vec<(Arc<str>, LayerAssignment, Duration)> = unconfirmed
            .map(|(instance, w)| (Arc::clone(instance), w.assignment, age(w)))
            .collect();
        reports.sort_by(|a, b| (a.2, &a.0).cmp(&(b.2, &b.0)));
        reports.truncate(max);
        reports
    }
}
