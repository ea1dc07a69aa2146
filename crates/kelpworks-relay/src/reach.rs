//! Whether this daemon reaches the upstreams of each service over its own links.
//!
//! A daemon that loses its links sees every upstream fail, as if the whole service were down. Any
//! contact with an upstream distinguishes the two: data that arrives, or a connection that opens.
//! Failures without a contact after them make a service doubtful. A few probe connections then decide whether its upstreams are out of reach, and later whether they are back.
//!
//! ```
//! use std::time::Duration;
//!
//! use kelpworks_relay::reach::Evidence;
//! use kelpworks_relay::reach::PROBE_DELAY;
//! use kelpworks_relay::reach::Probe;
//! use kelpworks_relay::reach::Reach;
//! use tokio::time::Instant;
//!
//! let mut reach = Reach::default();
//! let llm = "llm".into();
//! let now = Instant::now();
//! reach.record_failure(&llm, 0u32, Evidence::NotOpened, now);
//! assert!(reach.is_doubtful(&llm, now));
//! assert_eq!(reach.due(now + PROBE_DELAY), ["llm".into()]);
//!
//! reach.record_probe(&llm, Probe { opened: 0, of: 3 }, now + PROBE_DELAY);
//! assert!(reach.is_lost(&llm));
//! ```
//!
//! Limits: the upstreams of a service count as reached while any one of them is. A daemon that has
//! lost its links to some of them avoids those one by one, as if they had failed.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which failures have to stay without a contact with any upstream before connections are
/// probed: more than two typical pauses between the events of one stream.
pub const PROBE_DELAY: Duration = Duration::from_millis(80);
/// Number of different upstreams to which no connection could be opened that makes a service
/// doubtful even while data arrives on older connections.
const MIN_NOT_OPENED: usize = 2;
/// Number of different upstreams whose failures, with no contact in between, make a
/// service doubtful at once: connections that are reset together.
const MIN_FAILED_AT_ONCE: usize = 3;
/// Minimum time between two probes while the service is not known to be out of reach.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two probes while the upstreams are out of reach.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Successful probes in a row after which the upstreams count as reached again.
const MIN_SUCCESSES: u32 = 2;
/// Upper bound of that number, which doubles when links are lost again soon after their return.
const MAX_SUCCESSES: u32 = 16;
/// Time after the return of links within which a new loss counts as soon.
const RELAPSE_PERIOD: Duration = Duration::from_secs(10);
/// Time after the last data within which upstreams that are out of reach may still answer on older
/// connections.
const CONTACT_TTL: Duration = Duration::from_secs(1);
/// Maximum number of failed upstreams that are remembered for a service.
const MAX_FAILED: usize = 64;

/// What a failure shows about the links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// No connection could be opened.
    NotOpened,
    /// A connection broke off, or carried nothing for longer than expected.
    Broken,
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Connections that opened and stayed open.
    pub opened: usize,
    /// Connections that were attempted; 0 if the service has no upstreams, which counts as reached.
    pub of: usize,
}

impl Probe {
    /// Whether at least one of the upstreams was reached.
    fn is_any_open(self) -> bool {
        self.of == 0 || self.opened > 0
    }

    /// Whether most of them were reached.
    fn is_most_open(self) -> bool {
        self.of == 0 || self.opened * 2 > self.of
    }
}

/// A change that is to be acted on and logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// All upstreams of the service are out of reach.
    Lost {
        /// When the first failure without a later contact was recorded.
        first_failure: Instant,
        /// Number of different upstreams that had failed since.
        failed: usize,
    },
    /// They are reached again.
    Back {
        /// When they were found to be out of reach.
        lost_since: Instant,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Reached,
    /// Out of reach since this time, with this number of successful probes in a row.
    Lost {
        since: Instant,
        successes: u32,
    },
}

/// Evidence about one service. `K` is the key of an upstream.
#[derive(Clone, Debug)]
struct ServiceReach<K> {
    state: State,
    /// Last contact with any upstream.
    last_contact: Option<Instant>,
    /// Different upstreams that failed, each after the last contact with any.
    failed: Vec<K>,
    /// When the first of them failed.
    first_failure: Option<Instant>,
    /// Different upstreams that accepted no connection since one last opened.
    not_opened: Vec<K>,
    last_probe: Option<Instant>,
    /// Whether a probe is under way.
    is_probing: bool,
    last_return: Option<Instant>,
    /// Successful probes in a row that end the loss.
    required_successes: u32,
}

impl<K> Default for ServiceReach<K> {
    fn default() -> ServiceReach<K> {
        ServiceReach {
            state: State::Reached,
            last_contact: None,
            failed: Vec::new(),
            first_failure: None,
            not_opened: Vec::new(),
            last_probe: None,
            is_probing: false,
            last_return: None,
            required_successes: MIN_SUCCESSES,
        }
    }
}

impl<K: Copy + PartialEq> ServiceReach<K> {
    fn is_lost(&self) -> bool {
        matches!(self.state, State::Lost { .. })
    }

    /// Whether there are failures without a later contact.
    fn has_open_failures(&self) -> bool {
        self.is_lost() || !self.failed.is_empty() || self.not_opened.len() >= MIN_NOT_OPENED
    }

    fn is_doubtful(&self, now: Instant) -> bool {
        let is_silent = self
            .last_contact
            .is_none_or(|at| now.duration_since(at) >= PROBE_DELAY);
        let is_unopened = self.not_opened.len() >= MIN_NOT_OPENED;
        let has_failed = match is_silent {
            true => !self.failed.is_empty(),
            false => self.failed.len() >= MIN_FAILED_AT_ONCE,
        };
        self.is_lost() || is_unopened || has_failed
    }

    /// Returns when the next probe is due; `None` while there is no reason to.
    fn probe_at(&self) -> Option<Instant> {
        if self.is_probing {
            return None;
        }
        if self.is_lost() {
            return Some(self.last_probe? + LOST_PROBE_INTERVAL);
        }
        if !self.has_open_failures() {
            return None;
        }
        let due = self.first_failure? + PROBE_DELAY;
        let earliest = self.last_probe.map(|at| at + MIN_PROBE_INTERVAL);
        Some(earliest.map_or(due, |earliest| earliest.max(due)))
    }
}

/// What this daemon reaches, by service.
#[derive(Clone, Debug)]
pub struct Reach<K> {
    services: HashMap<Arc<str>, ServiceReach<K>>,
}

impl<K> Default for Reach<K> {
    fn default() -> Reach<K> {
        Reach {
            services: HashMap::new(),
        }
    }
}

impl<K: Copy + PartialEq> Reach<K> {
    /// Returns whether all upstreams of a service are out of reach.
    pub fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|s| s.is_lost())
    }

    /// Returns whether the upstreams of a service are out of reach and send nothing on connections
    /// that are still open either, so that an attempt would fail.
    pub fn is_cut_off(&self, service: &str, now: Instant) -> bool {
        let entry = self.services.get(service).filter(|s| s.is_lost());
        entry.is_some_and(|s| {
            let last_contact = s.last_contact;
            last_contact.is_none_or(|at| now.duration_since(at) >= CONTACT_TTL)
        })
    }

    /// Returns whether the last failures at the service are probably due to this daemon's own links:
    /// it is out of reach, or there was no contact while some failed.
    pub fn is_doubtful(&self, service: &str, now: Instant) -> bool {
        let entry = self.services.get(service);
        entry.is_some_and(|s| s.is_doubtful(now))
    }

    /// Returns whether the upstreams are out of reach, or so many have failed without a contact that
    /// they probably are.
    pub fn is_probably_lost(&self, service: &str) -> bool {
        let entry = self.services.get(service);
        entry.is_some_and(|s| {
            let have_failed = s.failed.len() >= MIN_FAILED_AT_ONCE;
            s.is_lost() || have_failed || s.not_opened.len() >= MIN_NOT_OPENED
        })
    }

    /// Returns whether there was a contact with an upstream of the service after the last failure at
    /// any of them, so that the failures are the upstreams' own.
    pub fn is_vouched_for(&self, service: &str) -> bool {
        let entry = self.services.get(service);
        !entry.is_some_and(|s| s.has_open_failures())
    }

    /// Returns the services that are out of reach.
    pub fn lost(&self) -> impl Iterator<Item = &Arc<str>> {
        let lost = self.services.iter().filter(|(_, s)| s.is_lost());
        lost.map(|(service, _)| service)
    }

    /// Records a failure at an upstream; returns whether a probe may now be due earlier than before.
    pub fn record_failure(
        &mut self,
        service: &Arc<str>,
        upstream: K,
        evidence: Evidence,
        now: Instant,
    ) -> bool {
        let entry = self.services.entry(Arc::clone(service)).or_default();
        let before = entry.probe_at();
        if !entry.failed.contains(&upstream) && entry.failed.len() < MAX_FAILED {
            entry.failed.push(upstream);
        }
        let is_counted = entry.not_opened.contains(&upstream);
        if evidence == Evidence::NotOpened && !is_counted && entry.not_opened.len() < MAX_FAILED {
            entry.not_opened.push(upstream);
        }
        entry.first_failure.get_or_insert(now);
        entry.probe_at() != before
    }

    /// Records data from an upstream of the service; `opened` is whether the connection that it
    /// arrived on was opened for it.
    pub fn record_contact(&mut self, service: &Arc<str>, opened: bool, now: Instant) {
        if !self.services.contains_key(service) {
            self.services
                .insert(Arc::clone(service), ServiceReach::default());
        }
        let Some(entry) = self.services.get_mut(service) else {
            return;
        };
        entry.last_contact = Some(now);
        entry.failed.clear();
        if opened {
            entry.not_opened.clear();
        }
        if entry.not_opened.len() < MIN_NOT_OPENED {
            entry.first_failure = None;
        }
    }

    /// Returns the services whose probes are due now, and marks them as being probed.
    pub fn due(&mut self, now: Instant) -> Vec<Arc<str>> {
        let is_due = |s: &ServiceReach<K>| s.probe_at().is_some_and(|at| at <= now);
        let due = self.services.iter_mut().filter(|(_, s)| is_due(s));
        let begin = |(service, s): (&Arc<str>, &mut ServiceReach<K>)| {
            s.is_probing = true;
            Arc::clone(service)
        };
        due.map(begin).collect()
    }

    /// Returns when the next probe is due; `None` while all services are reached.
    pub fn next_due(&self) -> Option<Instant> {
        self.services.values().filter_map(|s| s.probe_at()).min()
    }

    /// Returns up to `max` of these upstreams for a probe, those first that have not failed.
    pub fn select_for_probe(&self, service: &str, upstreams: &mut Vec<K>, max: usize) {
        let Some(entry) = self.services.get(service) else {
            return upstreams.truncate(max);
        };
        upstreams.sort_by_key(|u| entry.failed.contains(u));
        upstreams.truncate(max);
    }

    /// Applies the result of a probe. A single connection that opens is enough to count as reached,
    /// but after a loss most of them have to open.
    pub fn record_probe(
        &mut self,
        service: &str,
        probe: Probe,
        now: Instant,
    ) -> Option<ReachChange> {
        let entry = self.services.get_mut(service)?;
        entry.is_probing = false;
        entry.last_probe = Some(now);
        let is_good = match entry.state {
            State::Reached => probe.is_any_open(),
            State::Lost { .. } => probe.is_most_open(),
        };
        match (entry.state, is_good) {
            (State::Reached, true) => {
                entry.last_contact = Some(now);
                entry.clear_evidence();
                None
            }
            (State::Reached, false) => Some(entry.lose(now)),
            (State::Lost { since, .. }, false) => {
                entry.state = State::Lost {
                    since,
                    successes: 0,
                };
                None
            }
            (State::Lost { since, successes }, true) => {
                let successes = successes + 1;
                entry.state = State::Lost { since, successes };
                (successes >= entry.required_successes).then(|| entry.regain(since, now))
            }
        }
    }
}

impl<K> ServiceReach<K> {
    fn clear_evidence(&mut self) {
        self.failed.clear();
        self.not_opened.clear();
        self.first_failure = None;
    }

    fn lose(&mut self, now: Instant) -> ReachChange {
        let is_relapse = self
            .last_return
            .is_some_and(|at| now.duration_since(at) < RELAPSE_PERIOD);
        self.required_successes = match is_relapse {
            true => (self.required_successes * 2).min(MAX_SUCCESSES),
            false => MIN_SUCCESSES,
        };
        self.state = State::Lost {
            since: now,
            successes: 0,
        };
        ReachChange::Lost {
            first_failure: self.first_failure.unwrap_or(now),
            failed: self.failed.len(),
        }
    }

    fn regain(&mut self, lost_since: Instant, now: Instant) -> ReachChange {
        self.state = State::Reached;
        self.last_return = Some(now);
        self.last_contact = Some(now);
        self.clear_evidence();
        ReachChange::Back { lost_since }
    }
}
