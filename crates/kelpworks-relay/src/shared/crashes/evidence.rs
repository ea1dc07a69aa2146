//! Evidence that decides whether an upstream ended when an attempt broke off there.

use std::sync::Arc;
use std::time::Duration;

use kelpworks::sync::lock;
use kelpworks_coord::crash_ledger::Changed;
use kelpworks_coord::crash_ledger::Finding;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;
use log::info;
use tokio::time::Instant;

use super::Incarnation;
use super::MAX_LOGGED;
use super::Shared;
use super::format_parts;
use crate::pool;

/// Times after a break at which a connection to its upstream is tried. All are too soon for a
/// restart.
const CHECK_TIMES: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(300),
    Duration::from_millis(800),
    Duration::from_millis(1_600),
];
/// Maximum number of upstreams that are checked at the same time.
const MAX_CHECKS: usize = 64;
/// Mean number of daemons that check an upstream after another one reported a break there.
const MAX_VIEWPOINTS: f64 = 3.0;

impl Shared {
    /// Records that an upstream answered a request that was sent at `sent`.
    pub(crate) fn record_answer(&self, instance: &str, sent: Instant) {
        let mut ledger = self.crashes();
        if ledger.is_empty() {
            return;
        }
        let now = self.ledger_time(Instant::now());
        let sent = self.ledger_time(sent);
        let changed = ledger.record_alive(UpstreamId::of(instance), sent, now);
        drop(ledger);
        self.on_findings(&changed, Finding::Alive, instance, "an answer");
    }

    /// Records that incarnations are gone.
    pub(crate) fn record_ended(&self, instances: &[Arc<str>]) {
        for instance in instances {
            let mut ledger = self.crashes();
            if ledger.is_empty() {
                return;
            }
            let now = self.ledger_time(Instant::now());
            let changed = ledger.record_ended(UpstreamId::of(instance), now);
            drop(ledger);
            self.on_findings(&changed, Finding::Ended, instance, "the registrations");
        }
    }

    /// Returns the registered upstreams of a service that are known to have ended.
    pub(crate) fn ended_upstreams(&self, service: &str) -> Vec<Arc<str>> {
        if self.crashes().is_empty() {
            return Vec::new();
        }
        let instances: Vec<Arc<str>> = {
            let fleet = self.fleet();
            let upstreams = fleet.of_service(service);
            upstreams
                .map(|(_, u)| Arc::clone(&u.entry.instance))
                .collect()
        };
        let ledger = self.crashes();
        let ended = instances.into_iter();
        ended
            .filter(|i| ledger.has_ended(UpstreamId::of(i)))
            .collect()
    }

    /// Drops facts past their retention. Breaks whose upstreams are still registered long after them are
    /// decided, if `are_registrations_recent`: while the store is away it removes no upstream.
    pub(crate) fn review_crashes(&self, are_registrations_recent: bool) {
        let mut ledger = self.crashes();
        if ledger.is_empty() {
            return;
        }
        let now = self.ledger_time(Instant::now());
        ledger.expire(now);
        let undecided = ledger.undecided(now);
        drop(ledger);
        self.log_changed_verdicts("time");
        if undecided.is_empty() || !are_registrations_recent {
            return;
        }
        for instance in self.registered_among(&undecided) {
            let upstream = UpstreamId::of(&instance);
            let changed = self.crashes().record_registered(upstream, now);
            self.on_findings(&changed, Finding::Alive, &instance, "still registered");
        }
    }

    fn registered_among(&self, upstreams: &[UpstreamId]) -> Vec<Arc<str>> {
        let fleet = self.fleet();
        let instances = fleet.iter().map(|(_, u)| &u.entry.instance);
        let registered = instances.filter(|i| upstreams.contains(&UpstreamId::of(i)));
        registered.cloned().collect()
    }

    /// Checks the upstreams of breaks that a peer reported, on about [`MAX_VIEWPOINTS`] daemons.
    pub(super) fn check_reported(self: &Arc<Shared>, upstreams: Vec<UpstreamId>) {
        let daemons = self.retry_budget().daemons();
        let share = MAX_VIEWPOINTS / daemons.max(1) as f64;
        if upstreams.is_empty() || !rand::random_bool(share.min(1.0)) {
            return;
        }
        let now = Instant::now();
        for instance in self.registered_among(&upstreams) {
            let key = self.fleet().key_of(&instance);
            if let Some(incarnation) = key.and_then(|key| self.incarnation(key)) {
                self.spawn_check(incarnation, now);
            }
        }
    }

    fn on_findings(
        &self,
        changed: &Changed,
        finding: Finding,
        instance: &str,
        evidence: &'static str,
    ) {
        if changed.is_empty() {
            return;
        }
        let fingerprints = changed.requests.iter().take(MAX_LOGGED);
        let fingerprints = fingerprints.map(Fingerprint::to_string);
        info!(
            target: "decision",
            upstream:% = instance,
            finding:% = finding.as_str(),
            evidence:% = evidence,
            requests = changed.requests.len(),
            fingerprints:% = fingerprints.collect::<Vec<String>>().join(","),
            parts:% = format_parts(&changed.parts);
            "crash decided"
        );
        self.count_findings(finding, changed.requests.len() + changed.parts.len());
        self.log_changed_verdicts(evidence);
        self.crash_news.notify_one();
    }

    /// Has the upstream of a break checked, unless it is being checked.
    pub(super) fn spawn_check(self: &Arc<Shared>, incarnation: Incarnation, broken_at: Instant) {
        {
            let mut checked = lock(&self.checked_upstreams);
            let is_full = checked.len() >= MAX_CHECKS;
            if is_full || !checked.insert(incarnation.key) {
                return;
            }
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            shared.check(&incarnation, broken_at).await;
            lock(&shared.checked_upstreams).remove(&incarnation.key);
        });
    }

    /// Tries connections to an upstream after a break. One that opens shows that the upstream is alive.
    /// One that does not, while this daemon reaches other upstreams, shows that the break is not due to
    /// its own links.
    async fn check(&self, incarnation: &Incarnation, broken_at: Instant) {
        let upstream = UpstreamId::of(&incarnation.instance);
        for at in CHECK_TIMES {
            tokio::time::sleep_until(broken_at + at).await;
            if self.fleet().get(incarnation.key).is_none() {
                return;
            }
            let sent = Instant::now();
            if pool::holds_connection(incarnation.address).await {
                self.record_answer(&incarnation.instance, sent);
                return;
            }
            if !self.has_contact_since(broken_at) {
                continue;
            }
            let now = self.ledger_time(Instant::now());
            let changed = self.crashes().record_silent(upstream, now);
            let evidence = "no connection, while others are reached";
            self.on_findings(&changed, Finding::Broken, &incarnation.instance, evidence);
        }
    }
}
