//! Layer assignments that are reported before the engines' registrations show them.
//!
//! A registration shows new layers up to a heartbeat after they are loaded, and shows nothing new
//! during an outage of the store. So a daemon that sends an order to an engine records the order,
//! queries the engine until it has loaded the layers, and informs the other daemons. Reports are
//! ordered by the number of orders that the engine has begun: one with a later order is newer, and
//! loaded is newer than ordered.
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
//! Limits: an engine that receives orders from elsewhere, or that loses an order which it
//! accepted, is shown wrongly until its registration changes or [`REPORT_TTL`] has passed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::adapter::UpstreamEntry;

/// Time for which a report counts that no registration confirms: a whole accelerator's layers load
/// in 7 s, and more slowly when many load at once.
pub const REPORT_TTL: Duration = Duration::from_secs(12);

/// Layers that an engine holds or is loading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerAssignment {
    /// Orders that the engine had begun by then, including the one for these layers.
    pub orders: u64,
    /// The layers held or being loaded.
    pub layers: LayerRange,
    /// Whether they are loaded; until then the engine can do no work.
    pub loaded: bool,
}

impl LayerAssignment {
    /// Returns whether this is newer than another report on the same engine.
    pub fn is_newer_than(&self, other: &LayerAssignment) -> bool {
        (self.orders, self.loaded) > (other.orders, other.loaded)
    }

    /// Returns the layers if they are loaded.
    pub fn usable(&self) -> Option<LayerRange> {
        self.loaded.then_some(self.layers)
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    assignment: LayerAssignment,
    /// When the report was true.
    since: Instant,
    /// Longest time for which the engine waits for requests that use the layers which it replaces, before it loads
    /// the new ones. The report counts for that much longer.
    wait: Duration,
    /// Whether a registration has shown the same layers since. A confirmed report is kept until it
    /// expires, so that a late copy of it or of an older one is not taken as new.
    confirmed: bool,
}

/// The latest report on the layers of each engine.
#[derive(Clone, Debug, Default)]
pub struct LayerAssignments {
    reports: HashMap<Arc<str>, Report>,
}

impl Report {
    /// Returns whether it has counted for as long as it may.
    fn is_old(&self, now: Instant) -> bool {
        now.duration_since(self.since) >= ttl(&self.assignment, self.wait)
    }
}

/// Returns the time for which a report counts that no registration confirms. An engine that has loaded its layers waits
/// no longer.
fn ttl(assignment: &LayerAssignment, wait: Duration) -> Duration {
    match assignment.loaded {
        true => REPORT_TTL,
        false => REPORT_TTL.saturating_add(wait),
    }
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

    /// Returns the longest time for which an engine waits for its requests before it loads the layers of its report.
    pub fn wait(&self, instance: &str) -> Duration {
        self.reports
            .get(instance)
            .map_or(Duration::ZERO, |w| w.wait)
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
        self.learn_displacing(instance, assignment, Duration::ZERO, age, now)
    }

    /// Like [`learn`](LayerAssignments::learn), for an engine that may wait for its requests for up to `wait` before it
    /// loads the layers.
    pub fn learn_displacing(
        &mut self,
        instance: &Arc<str>,
        assignment: LayerAssignment,
        wait: Duration,
        age: Duration,
        now: Instant,
    ) -> bool {
        let known = self.reports.get(instance);
        let is_old = age >= ttl(&assignment, wait);
        if is_old || known.is_some_and(|w| !assignment.is_newer_than(&w.assignment)) {
            return false;
        }
        let since = now.checked_sub(age).unwrap_or(now);
        let report = Report {
            assignment,
            since,
            wait,
            confirmed: false,
        };
        self.reports.insert(Arc::clone(instance), report);
        true
    }

    /// Applies the layers that an engine registered: they confirm a report of the same layers,
    /// even one that they are being loaded, since engines register what they have loaded.
    pub fn on_registration(&mut self, instance: &str, layers: Option<LayerRange>) {
        if let Some(report) = self.reports.get_mut(instance) {
            report.confirmed |= Some(report.assignment.layers) == layers;
        }
    }

    /// Removes the report on an engine.
    pub fn forget(&mut self, instance: &str) {
        self.reports.remove(instance);
    }

    /// Removes expired reports, and returns the engines of those that no registration confirmed.
    /// While no registrations are available, reports of loaded layers stay: nothing newer can be
    /// known.
    pub fn expire(&mut self, registrations_available: bool, now: Instant) -> Vec<Arc<str>> {
        let mut unconfirmed = Vec::new();
        self.reports.retain(|instance, w| {
            let is_expired =
                w.is_old(now) && (registrations_available || w.confirmed || !w.assignment.loaded);
            if is_expired && !w.confirmed {
                unconfirmed.push(Arc::clone(instance));
            }
            !is_expired
        });
        unconfirmed
    }

    /// Returns at most `max` reports that no registration confirms with their age, newest first.
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
