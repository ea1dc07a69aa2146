//! This daemon's part of the retry budget that all daemons share.
//!
//! A daemon can't distinguish a fleet that it does not reach from one that does not exist. So it uses its
//! part of the fixed allowance only while it is in contact, itself or through other daemons, with a
//! majority of the seeds: two groups of daemons without contact can't both be. Its part is one of as many
//! as any daemon in contact counts.
//!
//! Without seeds a daemon takes itself for the only one, and uses its part at any time.
//!
//! Limits: all daemons need the same seeds. While a majority of them is gone, no daemon has a part of the
//! fixed allowance; retries in proportion to requests go on.

use std::time::Duration;

use log::info;
use tokio::time::Instant;

use super::Peers;
use super::lock;
use super::members::FORGET_AFTER;
use super::messages::Digest;
use super::messages::UpstreamsRanOf;
use super::messages::millis_since;
use crate::retry_budget::FleetContact;

/// What other daemons have reported about the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedFleet {
    /// Latest time at which a daemon was in contact with a majority of the seeds.
    majority_contact: Option<Instant>,
    /// Largest number of daemons that one counted, and when.
    count: Option<(usize, Instant)>,
}

impl ReportedFleet {
    fn learn_count(&mut self, count: usize, now: Instant) {
        let is_superseded = |(known, at): (usize, Instant)| {
            count >= known || now.duration_since(at) >= FORGET_AFTER
        };
        if self.count.is_none_or(is_superseded) {
            self.count = Some((count, now));
        }
    }

    #[cfg(test)]
    pub(super) fn majority_contact(&self) -> Option<Instant> {
        self.majority_contact
    }

    fn count(&self, now: Instant) -> usize {
        let recent = self
            .count
            .filter(|&(_, at)| now.duration_since(at) < FORGET_AFTER);
        recent.map_or(0, |(count, _)| count)
    }
}

impl Peers {
    /// Applies what a digest says about the size of the fleet and the contact with its seeds.
    pub(super) fn learn_fleet_report(&self, digest: &Digest, now: Instant) {
        let age = digest.seed_majority_ms.map(Duration::from_millis);
        let recent = age.filter(|&age| age < FORGET_AFTER);
        let contact = recent.and_then(|age| now.checked_sub(age));
        let mut reported = lock(&self.reported_fleet);
        reported.learn_count(digest.knows.saturating_add(1), now);
        reported.majority_contact = reported.majority_contact.max(contact);
    }

    /// Returns the milliseconds since the last contact with a majority of the seeds; `None` without any, and
    /// for a daemon that has no seeds, which can't vouch for others.
    pub(super) fn seed_majority_ms(&self, now: Instant) -> Option<u64> {
        match self.fleet_contact(now) {
            FleetContact::Last(at) => Some(millis_since(at, now)),
            FleetContact::Alone | FleetContact::Never => None,
        }
    }

    /// Returns when this daemon, or one that it has been in contact with since, was last in contact with a
    /// majority of the seeds.
    fn fleet_contact(&self, now: Instant) -> FleetContact {
        let seeds = lock(&self.seeds).clone();
        if seeds.is_empty() {
            return FleetContact::Alone;
        }
        let members = lock(&self.members);
        let contact = |&seed| match seed == self.address {
            true => Some(now),
            false => members.last_contact_at(seed),
        };
        let mut contacts: Vec<Option<Instant>> = seeds.iter().map(contact).collect();
        drop(members);
        contacts.sort_unstable();
        // This seed and those after it, which are a majority, were in contact then or later.
        let own = contacts[(contacts.len() - 1) / 2];
        let latest = own.max(lock(&self.reported_fleet).majority_contact);
        latest.map_or(FleetContact::Never, FleetContact::Last)
    }

    /// Returns which services' upstreams were all seen to run, for daemons that started not long ago.
    pub(super) fn upstreams_ran(&self, now: Instant) -> Vec<UpstreamsRanOf> {
        let observations = self.shared.retry_budget().upstreams_ran();
        let age = |since| now.saturating_duration_since(since);
        let recent = observations
            .into_iter()
            .filter(|&(_, since)| age(since) < FORGET_AFTER);
        let reports = recent.map(|(service, since)| UpstreamsRanOf {
            service,
            age_ms: millis_since(since, now),
        });
        reports.collect()
    }

    /// Applies a peer's reports, whose ages count from `at` or later.
    pub(super) fn learn_upstreams_ran(&self, reports: &[UpstreamsRanOf], at: Instant) {
        for report in reports {
            let since = at.checked_sub(Duration::from_millis(report.age_ms));
            let is_known = self
                .shared
                .fleet()
                .of_service(&report.service)
                .next()
                .is_some();
            if let Some(since) = since.filter(|_| is_known) {
                self.shared
                    .record_upstreams_ran(&report.service, since, "a peer's report");
            }
        }
    }

    /// Renews this daemon's part of the retry budget.
    pub(super) fn renew_retry_share(&self) {
        let now = Instant::now();
        let contact = self.fleet_contact(now);
        let counted = self.daemon_count();
        let daemons = counted.max(lock(&self.reported_fleet).count(now));
        let mut budget = self.shared.retry_budget();
        let before = (budget.daemons(), budget.is_share_usable(now));
        budget.renew_share(daemons, contact, now);
        let after = (budget.daemons(), budget.is_share_usable(now));
        drop(budget);
        metrics::gauge!("kelpworks_retry_daemons").set(daemons as f64);
        metrics::gauge!("kelpworks_retry_share_usable").set(f64::from(u8::from(after.1)));
        if before != after {
            info!(
                target: "decision",
                daemons,
                counted,
                usable = after.1,
                seed_contact_age_ms = self.seed_majority_ms(now),
                process_age_ms = millis_since(self.started, now);
                "retry budget shared"
            );
        }
    }

    /// Reports the retries that count against the budget.
    pub(super) fn report_retries(&self) {
        let report = self.shared.retry_budget().report(Instant::now());
        for (service, counts, allowed) in report {
            let gauge = |state: &'static str, value: f64| {
                let labels = [
                    ("service", service.to_string()),
                    ("state", state.to_owned()),
                ];
                metrics::gauge!("kelpworks_retries", &labels).set(value);
            };
            gauge("allowed", allowed);
            gauge("reserved", counts.reserved as f64);
            gauge("in_flight", counts.in_flight as f64);
            gauge("arrived", counts.arrived as f64);
        }
    }
}
