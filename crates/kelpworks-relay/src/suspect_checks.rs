//! Checks by connection of the engines on stalled paths.
//!
//! A path that stalls shows that one of its engines has stopped, but not which. An engine whose process has ended
//! refuses connections, and one whose host is gone answers none, so that a connection to each suspect tells
//! it from the others within milliseconds. A stream is then rerouted around the engine at fault alone, and other
//! daemons learn of it.
//!
//! ```
//! use kelpworks_relay::fleet::UpstreamKey;
//! use kelpworks_relay::suspect_checks::Finding;
//! use kelpworks_relay::suspect_checks::SuspectChecks;
//! use slotmap::SlotMap;
//! use tokio::time::Instant;
//!
//! let mut engines: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
//! let key = engines.insert(());
//! let now = Instant::now();
//! let mut checks = SuspectChecks::default();
//! assert_eq!(checks.begin(&[key], now), [key]);
//! assert!(checks.begin(&[key], now).is_empty(), "one check for all stalled streams");
//! checks.record(key, Finding::Refuses, now);
//! assert_eq!(checks.ended(&[key], now), [key]);
//! ```
//!
//! Limits: an engine that accepts connections and does no work looks alive.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::UpstreamKey;

/// Time without data after which the engines of a stream are checked: two typical pauses between events.
pub const CHECK_AFTER: Duration = Duration::from_millis(80);
/// Time in which an engine accepts or refuses a connection: many times the delay of a link within a region.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a finding counts, and in which an engine is not checked again.
pub const FINDING_TTL: Duration = Duration::from_millis(600);
/// Maximum number of checks under way: every engine of a path of maximum length, for four stalled streams.
const MAX_CHECKS: usize = 128;

/// Time after a check began at which most engines have accepted or refused its connection.
const FINDING_DELAY: Duration = Duration::from_millis(15);

/// Times at which the engines of a stalled stream are checked, and the findings are looked up. Each is due once: a stream
/// that can't be rerouted by a finding would look it up without a pause otherwise, for as long as the finding counts.
#[derive(Clone, Debug)]
pub struct CheckTimes {
    /// When the check begins.
    first: Instant,
    /// Delays of the times that are left.
    delays: std::array::IntoIter<Duration, 3>,
}

impl CheckTimes {
    /// Returns the times of a check that begins at `first`.
    pub fn new(first: Instant) -> CheckTimes {
        let delays = [Duration::ZERO, FINDING_DELAY, CHECK_TIMEOUT + FINDING_DELAY];
        CheckTimes {
            first,
            delays: delays.into_iter(),
        }
    }
}

impl Iterator for CheckTimes {
    type Item = Instant;

    fn next(&mut self) -> Option<Instant> {
        self.delays.next().map(|delay| self.first + delay)
    }
}

/// What a connection to an engine showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It was accepted.
    Accepts,
    /// It was refused: nothing listens at the address.
    Refuses,
    /// No answer arrived in time.
    Silent,
}

impl Finding {
    /// Returns the value of the key `finding` in the log and of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Finding::Accepts => "accepts",
            Finding::Refuses => "refuses",
            Finding::Silent => "silent",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Check {
    started: Instant,
    /// `None` while the check is under way.
    finding: Option<Finding>,
}

/// Checks of this daemon, by engine; those that have expired are dropped when others begin.
#[derive(Clone, Debug, Default)]
pub struct SuspectChecks {
    checks: HashMap<UpstreamKey, Check>,
    /// When a connection was last accepted or refused, which shows that this daemon's own links work.
    last_contact: Option<Instant>,
}

impl SuspectChecks {
    /// Returns those of `suspects` that are to be checked now, and counts them as being checked.
    pub fn begin(&mut self, suspects: &[UpstreamKey], now: Instant) -> Vec<UpstreamKey> {
        self.checks
            .retain(|_, c| now.duration_since(c.started) < FINDING_TTL);
        let mut due = Vec::new();
        for &key in suspects {
            if self.checks.len() >= MAX_CHECKS || self.checks.contains_key(&key) {
                continue;
            }
            let check = Check {
                started: now,
                finding: None,
            };
            self.checks.insert(key, check);
            due.push(key);
        }
        due
    }

    /// Records the result of a check.
    pub fn record(&mut self, key: UpstreamKey, finding: Finding, now: Instant) {
        if finding != Finding::Silent {
            self.last_contact = Some(now);
        }
        if let Some(check) = self.checks.get_mut(&key) {
            check.finding = Some(finding);
        }
    }

    /// Returns those of `suspects` that were found to have ended. Silence counts only while another engine
    /// answers: else the links of this daemon may be at fault.
    pub fn ended(&self, suspects: &[UpstreamKey], now: Instant) -> Vec<UpstreamKey> {
        let is_contact_recent = |at| now.duration_since(at) < FINDING_TTL;
        let has_contact = self.last_contact.is_some_and(is_contact_recent);
        let has_ended = |key: &UpstreamKey| match self.finding(*key, now) {
            Some(Finding::Refuses) => true,
            Some(Finding::Silent) => has_contact,
            Some(Finding::Accepts) | None => false,
        };
        suspects.iter().copied().filter(has_ended).collect()
    }

    /// Returns whether all of `suspects` accept connections.
    pub fn all_accept(&self, suspects: &[UpstreamKey], now: Instant) -> bool {
        let accepts = |key: &UpstreamKey| self.finding(*key, now) == Some(Finding::Accepts);
        suspects.iter().all(accepts)
    }

    fn finding(&self, key: UpstreamKey, now: Instant) -> Option<Finding> {
        let check = self.checks.get(&key)?;
        let is_valid = now.duration_since(check.started) < FINDING_TTL;
        check.finding.filter(|_| is_valid)
    }
}
