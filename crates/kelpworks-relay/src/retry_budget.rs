//! This daemon's part of the fleet-wide retry budget of each service.
//!
//! A retry is an arrival at a service beyond the first of its request. In any window, all daemons
//! together may cause a fixed number of retries plus a share of the requests. Each daemon applies
//! that share to its own requests and takes an equal part of the fixed number, so the limit holds
//! without a message for each retry, also while daemons can't reach each other (see `share`). A process
//! that starts has no part of the fixed number until the retries of the process before it no longer count
//! (see `predecessor`).
//!
//! A retry counts from its permission until one window after the latest arrival that it can stand for (see the
//! account of a service in `account`, and [`crate::permit`]). One of which nothing was written is given back.

mod account;
mod predecessor;
mod share;
mod window;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::pool::TCP_USER_TIMEOUT;
use account::Account;
use predecessor::Predecessor;
use share::Share;

pub use account::RetryCounts;
pub use share::FleetContact;

/// Fraction of the allowed retries that is used. The service counts requests in windows that end at other
/// times than those of the daemons.
const USABLE_FRACTION: f64 = 0.85;
/// Longest time from the write of a request to its arrival. The operating system closes a connection whose
/// data are not acknowledged within it.
pub(crate) const LONGEST_DELIVERY: Duration = TCP_USER_TIMEOUT;

/// What is known about the arrival of an attempt that is no longer under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It has arrived, or never will.
    Arrived,
    /// It may still arrive, within the longest delivery.
    Unknown,
}

impl Delivery {
    /// Returns the latest time at which it arrives, if this is known now.
    pub fn latest_arrival(self, now: Instant) -> Instant {
        match self {
            Delivery::Arrived => now,
            Delivery::Unknown => now + LONGEST_DELIVERY,
        }
    }
}

/// Limit on the retries of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Length of the window.
    pub window: Duration,
    /// Retries allowed for each request of the window.
    pub ratio: f64,
    /// Retries allowed in a window in addition, by all daemons together.
    pub allowance: f64,
}

/// Requests and retries of this daemon, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    share: Share,
    /// When this process began to count.
    started: Instant,
    services: HashMap<Arc<str>, Account>,
    /// `None` if no former process of this daemon is expected.
    predecessor: Option<Predecessor>,
}

impl RetryBudget {
    /// Creates a budget with no counts. `daemons` is the number of daemons assumed to share the limit until
    /// the share is renewed.
    pub fn new(limit: RetryLimit, daemons: usize, started: Instant) -> RetryBudget {
        // Until then, retries may count that a former process of this daemon has sent, or a daemon that
        // does not know of this one.
        let probation = limit.window + LONGEST_DELIVERY;
        RetryBudget {
            limit,
            share: Share::new(daemons, started, probation),
            started,
            services: HashMap::new(),
            predecessor: None,
        }
    }

    /// Has the part of the fixed number of retries of each service wait for
    /// [`RetryBudget::record_upstreams_ran`]: a former process of this daemon may have left requests at upstreams.
    pub fn expect_predecessor(&mut self) {
        self.predecessor = Some(Predecessor::new(self.started + LONGEST_DELIVERY));
    }

    /// Sets the services whose upstreams may hold requests of a former process; the parts of others don't wait.
    pub fn set_predecessor_services(&mut self, services: HashSet<Arc<str>>) {
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.set_services(services);
        }
    }

    /// Records that all upstreams of a service were seen to run after `since`. Returns whether this shows for the
    /// first time that requests of a former process no longer arrive.
    pub fn record_upstreams_ran(
        &mut self,
        service: &Arc<str>,
        since: Instant,
        now: Instant,
    ) -> bool {
        let predecessor = self.predecessor.as_mut();
        predecessor.is_some_and(|p| p.record_run(service, since, now))
    }

    /// Returns whether requests of a former process may still arrive at a service.
    pub fn awaits_upstreams(&self, service: &str) -> bool {
        let predecessor = self.predecessor.as_ref();
        predecessor.is_some_and(|p| !p.is_over(service))
    }

    /// Returns the latest time after which all upstreams of each service were seen to run, if that is known.
    pub fn upstreams_ran(&self) -> Vec<(Arc<str>, Instant)> {
        let observations = self.predecessor.iter().flat_map(Predecessor::observations);
        let observations = observations.map(|(service, since)| (Arc::clone(service), since));
        observations.collect()
    }

    /// Returns the number of daemons that share the limit.
    pub fn daemons(&self) -> usize {
        self.share.daemons()
    }

    /// Returns whether this daemon may use its part of the fixed number of retries.
    pub fn is_share_usable(&self, now: Instant) -> bool {
        self.share.is_usable(now)
    }

    /// Sets the number of daemons that share the limit, and renews this daemon's part, which lapses one
    /// window after the contact.
    pub fn renew_share(&mut self, daemons: usize, contact: FleetContact, now: Instant) {
        let validity = self.limit.window;
        self.share.renew(daemons, contact, validity, now);
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: &Arc<str>, now: Instant) {
        self.account(service).record_request(now);
    }

    /// Reserves a retry; returns false when none is left.
    pub fn try_reserve(&mut self, service: &Arc<str>, now: Instant) -> bool {
        self.try_reserve_part(service, 1.0, now)
    }

    /// Reserves a retry if less than `part` of those allowed, 0 to 1, counts with it; the rest is kept for requests to
    /// which a retry is worth more.
    pub fn try_reserve_part(&mut self, service: &Arc<str>, part: f64, now: Instant) -> bool {
        let allowed = self.allowed(service, now) * part;
        self.account(service).try_reserve(allowed, now)
    }

    /// Gives a reserved retry back.
    pub fn release(&mut self, service: &Arc<str>) {
        self.account(service).release();
    }

    /// Records that a reserved retry is written now. Returns false, and leaves it reserved, if fewer are
    /// allowed meanwhile and all of them were sent.
    pub fn try_send(&mut self, service: &Arc<str>, now: Instant) -> bool {
        let allowed = self.allowed(service, now);
        self.account(service).try_send(allowed, now)
    }

    /// Makes a retry reserved again of which nothing was written.
    pub fn undo_send(&mut self, service: &Arc<str>) {
        self.account(service).undo_send();
    }

    /// Records that a retry is written now that was not reserved, whether it is allowed or not.
    pub fn send_unreserved(&mut self, service: &Arc<str>) {
        self.account(service).send_unreserved();
    }

    /// Ends the flight of a retry, which arrives at `latest_arrival` at the latest.
    pub fn end_send(&mut self, service: &Arc<str>, latest_arrival: Instant) {
        self.account(service).end_send(latest_arrival);
    }

    /// Returns what counts against the limit, by service in no particular order, and how many retries this
    /// daemon is allowed.
    pub fn report(&mut self, now: Instant) -> Vec<(Arc<str>, RetryCounts, f64)> {
        let services: Vec<Arc<str>> = self.services.keys().map(Arc::clone).collect();
        let report = |service: Arc<str>| {
            let allowed = self.allowed(&service, now);
            let counts = self.account(&service).counts(now);
            (service, counts, allowed)
        };
        services.into_iter().map(report).collect()
    }

    /// Returns the number of retries that this daemon may cause in the window that ends at `now`.
    fn allowed(&mut self, service: &Arc<str>, now: Instant) -> f64 {
        let window = self.limit.window;
        let predecessor = self.predecessor.as_ref();
        let fixed = match predecessor.is_none_or(|p| p.is_past(service, window, now)) {
            true => self.fixed_part(now),
            false => 0.0,
        };
        let ratio = self.limit.ratio;
        let requests = self.account(service).requests(now) as f64;
        (fixed + ratio * requests) * USABLE_FRACTION
    }

    /// Returns this daemon's part of the fixed number of retries.
    pub(crate) fn fixed_part(&self, now: Instant) -> f64 {
        self.share.of(self.limit.allowance, now)
    }

    fn account(&mut self, service: &Arc<str>) -> &mut Account {
        let (origin, window) = (self.started, self.limit.window);
        let account = self.services.entry(Arc::clone(service));
        account.or_insert_with(|| Account::new(origin, window))
    }
}
