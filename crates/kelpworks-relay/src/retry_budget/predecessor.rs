//! When requests that a former process of this daemon has left at upstreams can no longer arrive.
//!
//! The operating system of an upstream that stands still acknowledges requests, and the upstream reads them whenever
//! it runs again. Nothing of a process that was killed counts them. So its successor has no part of the fixed number
//! of retries of a service until each upstream of the service has shown that it ran after the last of these requests
//! can have reached it, and a window more.
//!
//! Any daemon's observation serves all that started early enough before it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// What is known about the requests of a former process.
#[derive(Clone, Debug)]
pub(super) struct Predecessor {
    /// Time by which its last request has reached an upstream, or never will.
    last_delivery: Instant,
    /// Services whose upstreams may hold requests; `None` until they are known.
    services: Option<HashSet<Arc<str>>>,
    observations: HashMap<Arc<str>, Observation>,
}

/// Observation that all upstreams of a service have run.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Time after which each of them was seen to run; the latest that is known.
    since: Instant,
    /// When this daemon knew that all of them had run since the last delivery; `None` if that is not known.
    known_at: Option<Instant>,
}

impl Predecessor {
    /// Returns what is known at first: any upstream may hold requests.
    pub(super) fn new(last_delivery: Instant) -> Predecessor {
        Predecessor {
            last_delivery,
            services: None,
            observations: HashMap::new(),
        }
    }

    /// Sets the services whose upstreams may hold requests. Those of other services have come later.
    pub(super) fn set_services(&mut self, services: HashSet<Arc<str>>) {
        self.services = Some(services);
    }

    /// Records that all upstreams of a service were seen to run after `since`. Returns whether this shows for the
    /// first time that requests of the former process no longer arrive.
    pub(super) fn record_run(&mut self, service: &Arc<str>, since: Instant, now: Instant) -> bool {
        let observation = self.observations.entry(Arc::clone(service));
        let observation = observation.or_insert(Observation {
            since,
            known_at: None,
        });
        observation.since = observation.since.max(since);
        let is_first = observation.known_at.is_none() && since >= self.last_delivery;
        if is_first {
            observation.known_at = Some(now);
        }
        is_first
    }

    /// Returns whether no request for a service arrives any more.
    pub(super) fn is_over(&self, service: &str) -> bool {
        !self.may_have_sent(service) || self.known_at(service).is_some()
    }

    /// Returns whether no request for a service has arrived within the window that ends at `now`, or arrives later.
    pub(super) fn is_past(&self, service: &str, window: Duration, now: Instant) -> bool {
        let is_past = |at: Instant| now >= at + window;
        !self.may_have_sent(service) || self.known_at(service).is_some_and(is_past)
    }

    /// Returns whether the former process may have left requests at upstreams of a service.
    fn may_have_sent(&self, service: &str) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Iterates over the services with the latest time after which all their upstreams were seen to run.
    pub(super) fn observations(&self) -> impl Iterator<Item = (&Arc<str>, Instant)> {
        self.observations
            .iter()
            .map(|(service, o)| (service, o.since))
    }

    fn known_at(&self, service: &str) -> Option<Instant> {
        self.observations.get(service)?.known_at
    }
}
