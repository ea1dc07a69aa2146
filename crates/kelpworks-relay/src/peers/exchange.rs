//! Builds outgoing digests and applies incoming ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelpworks::clients::era::EraSource;
use log::info;
use tokio::time::Instant;

use super::EXCHANGE_INTERVAL;
use super::MAX_SMALL_FLEET_PEERS;
use super::Peers;
use super::lateness::ClockReading;
use super::leaving::MAX_NOTICES;
use super::leaving::leaving_of;
use super::limits::limit_of;
use super::lock;
use super::members::Audience;
use super::members::Condition;
use super::members::LivenessChange;
use super::messages::AssignmentOf;
use super::messages::Contact;
use super::messages::Digest;
use super::messages::EjectionOf;
use super::messages::LeaderOf;
use super::messages::LoadOf;
use super::messages::OwnerOf;
use super::messages::SlownessOf;
use super::messages::StoreAges;
use super::messages::millis_since;
use super::roles::ISOLATION_TIMEOUT;
use super::roles::Precedence;
use super::store_contact::StoreKind;
use crate::fleet::Upstream;

/// Maximum number of layer assignments in a digest, newest first: one for each engine of a small
/// fleet after all of them got an order.
const MAX_ASSIGNMENTS: usize = 48;
/// Maximum number of address owners in a digest: the number of engines that may restart at the same
/// time.
const MAX_OWNERS: usize = 48;
/// Time for which a slowness report is forwarded: until a peer may query the engine again.
pub(super) const SLOWNESS_REPORT_TTL: Duration = Duration::from_secs(3);

impl Peers {
    /// Builds a digest for a peer.
    pub(super) fn digest(&self, audience: &Audience) -> Digest {
        let now = Instant::now();
        let mut load = Vec::new();
        let mut ejections = Vec::new();
        let mut slowness = Vec::new();
        let mut limits = Vec::new();
        let mut leaving = Vec::new();
        let assignments;
        let owners;
        {
            let fleet = self.shared.fleet();
            let reach = self.shared.reach();
            owners = fleet.recent_owners(MAX_OWNERS, now);
            let known = fleet.assignments();
            let unconfirmed = known.unconfirmed_reports(MAX_ASSIGNMENTS, now);
            let unconfirmed = unconfirmed.into_iter().map(|(instance, assignment, age)| {
                let wait = known.wait(&instance);
                AssignmentOf::new(instance, assignment, wait, age)
            });
            assignments = unconfirmed.collect();
            for (_, u) in fleet.iter() {
                if u.local_load.running > 0.0 {
                    load.push(LoadOf {
                        instance: Arc::clone(&u.entry.instance),
                        running: u.local_load.running,
                        reserved: u.local_load.reserved.round(),
                    });
                }
                limits.extend(limit_of(u, now));
                leaving.extend(leaving_of(u, now));
                if let Some(report) = slowness_of(u, now) {
                    slowness.push(report);
                }
                // Failures that may be due to this daemon's own links are none of the upstream's.
                let is_vouched_for = reach.is_vouched_for(&u.entry.service);
                if let Some(left) = u.remaining_ejection(now).filter(|_| is_vouched_for) {
                    ejections.push(EjectionOf {
                        instance: Arc::clone(&u.entry.instance),
                        left_ms: left.as_millis() as u64,
                        gone: u.is_unreachable(),
                    });
                }
            }
        }
        leaving.sort_by_key(|notice| notice.age_ms);
        leaving.truncate(MAX_NOTICES);
        let (known, membership, members) = {
            let members = lock(&self.members);
            (
                members.known_count(),
                members.fingerprint().clone(),
                members.select_contacts(audience, now, &mut rand::rng()),
            )
        };
        let reported = self.reported_facts(now);
        Digest {
            from: self.own_contact(now),
            clock: Some(self.clock.read()),
            version: self.store_cache.version(),
            entries: self.store_cache.entries_version(),
            latest_era: self.eras.latest(),
            knows: known,
            seed_majority_ms: self.seed_majority_ms(now),
            store: self.store_ages(now),
            leader: self.leader(now),
            members,
            load,
            ejections,
            crashes: self.crash_counts(now),
            facts: reported.requests,
            part_facts: reported.parts,
            slowness,
            assignments,
            owners: owners
                .into_iter()
                .map(|(report, age)| OwnerOf::new(report, age))
                .collect(),
            limits,
            leaving,
            membership,
            contention: Vec::new(),
            upstreams_ran: self.upstreams_ran(now),
        }
    }

    fn own_contact(&self, now: Instant) -> Contact {
        let roles = lock(&self.roles);
        let condition = match self.shared.stop.has_begun() {
            true => Condition::Leaving,
            false => roles.store.condition(now),
        };
        let watching = roles.store.is_watching();
        drop(roles);
        Contact {
            name: Arc::clone(&self.name),
            domain: Arc::clone(&self.domain),
            address: self.address,
            age_ms: 0,
            lost_age_ms: None,
            condition,
            watching,
            handover: self.handover_port.get().copied(),
            unreachable: self.shared.reach().lost().cloned().collect(),
        }
    }

    fn store_ages(&self, now: Instant) -> StoreAges {
        let roles = lock(&self.roles);
        let age = |store_kind| {
            roles
                .store
                .last_answer(store_kind)
                .map(|at| millis_since(at, now))
        };
        StoreAges {
            configuration_ms: age(StoreKind::Configuration),
            upstreams_ms: age(StoreKind::Upstreams),
        }
    }

    fn leader(&self, now: Instant) -> Option<LeaderOf> {
        let leader = lock(&self.roles).leader();
        leader.map(|(precedence, at)| LeaderOf {
            precedence: precedence.0,
            age_ms: millis_since(at, now),
        })
    }

    /// Applies the digest that a peer sent with a call.
    pub(super) fn learn_digest(&self, digest: &Digest) {
        let lateness = self.lateness_of(digest, None);
        self.apply_digest(digest, lateness);
    }

    /// Applies the digest with which a peer replied to a call made at `called`.
    pub(super) fn learn_reply(&self, digest: &Digest, called: ClockReading) {
        let lateness = self.lateness_of(digest, Some(called));
        self.apply_digest(digest, lateness);
    }

    /// Returns for how much longer than usual a digest was under way: this daemon may have stood still while it lay in a
    /// socket.
    fn lateness_of(&self, digest: &Digest, called: Option<ClockReading>) -> Duration {
        let Some(sent) = digest.clock else {
            return Duration::ZERO;
        };
        let name = &digest.from.name;
        let received = self.clock.read();
        let lateness = lock(&self.lateness).observe(name, sent, received, called);
        if !lateness.is_zero() {
            info!(
                target: "decision",
                peer:% = name,
                late_ms = lateness.as_millis() as u64;
                "late digest"
            );
            metrics::counter!("kelpworks_late_digests_total").increment(1);
        }
        lateness
    }

    /// Applies a digest that was under way for `lateness` longer than usual. Its ages are counted from the time at which
    /// it was sent.
    fn apply_digest(&self, digest: &Digest, lateness: Duration) {
        let now = Instant::now();
        let sent = now.checked_sub(lateness).unwrap_or(now);
        self.eras.observe(digest.latest_era, EraSource::Peer);
        self.store_cache.note_peer_version(digest.version);
        // The reports of the digest may be up to one exchange interval old.
        let since = sent.checked_sub(EXCHANGE_INTERVAL).unwrap_or(sent);
        self.learn_members(std::iter::once(&digest.from).chain(&digest.members), sent);
        self.learn_fleet_report(digest, sent);
        let Contact { name, domain, .. } = &digest.from;
        lock(&self.loads).learn(name, domain, &digest.load, sent);
        self.learn_roles(digest, sent);
        self.learn_store_ages(digest.store, sent);
        {
            let mut fleet = self.shared.fleet();
            for ejection in &digest.ejections {
                if let Some(key) = fleet.key_of(&ejection.instance) {
                    let until = sent + Duration::from_millis(ejection.left_ms);
                    fleet.learn_ejection(key, since, until, ejection.gone);
                }
            }
            for report in &digest.slowness {
                let at = sent.checked_sub(Duration::from_millis(report.age_ms));
                if let (Some(key), Some(at)) = (fleet.key_of(&report.instance), at) {
                    fleet.learn_slowness(key, report.times, at);
                }
            }
            let is_new = |report: &&AssignmentOf| {
                let age = lateness + Duration::from_millis(report.age_ms);
                let wait = Duration::from_millis(report.wait_ms);
                let assignment = report.assignment();
                fleet.learn_displacing_assignment(&report.instance, assignment, wait, age, now)
            };
            let new: Vec<&AssignmentOf> = digest.assignments.iter().filter(is_new).collect();
            drop(fleet);
            log_assignments(&new, &digest.from.name);
        }
        for report in &digest.owners {
            self.learn_owner_report(report, sent);
        }
        self.learn_limits(&digest.limits, sent);
        self.learn_leaving(&digest.leaving, sent);
        self.learn_facts(digest);
    }

    /// Applies a report that was sent at `sent`.
    fn learn_owner_report(&self, report: &OwnerOf, sent: Instant) {
        let Some(at) = sent.checked_sub(Duration::from_millis(report.age_ms)) else {
            return;
        };
        let changes = self.shared.fleet().learn_owner_report(report.report(), at);
        if let Some(changes) = changes {
            self.shared
                .upstreams_changed(&changes, "an address owner reported by a peer");
        }
    }

    fn learn_roles(&self, digest: &Digest, sent: Instant) {
        let ago = |ms: u64| sent.checked_sub(Duration::from_millis(ms));
        let now = Instant::now();
        let members = lock(&self.members);
        let mut roles = lock(&self.roles);
        roles.record_exchange(now);
        if let Some(LeaderOf { precedence, age_ms }) = digest.leader
            && let Some(at) = ago(age_ms)
        {
            roles.learn_leader(Precedence(precedence), at, &members, now);
        }
    }

    fn learn_members<'a>(&self, contacts: impl Iterator<Item = &'a Contact>, sent: Instant) {
        let mut liveness_changes = LivenessChanges::default();
        {
            let mut members = lock(&self.members);
            for contact in contacts.filter(|c| c.name != self.name) {
                if let Some(change) = members.learn_contact(contact, sent) {
                    liveness_changes.add(&contact.name, change);
                }
            }
        }
        liveness_changes.log("told");
    }

    /// Records that a peer did not answer a call made at `called`. The call is ignored if no other
    /// daemon has been in contact since then, because this daemon may be the one that is isolated.
    pub(super) fn record_unanswered(&self, address: SocketAddr, called: Instant) {
        if !lock(&self.roles).has_exchanged_since(called) {
            return;
        }
        let change = lock(&self.members).record_unanswered(address, called, Instant::now());
        if let Some((name, change)) = change {
            let mut liveness_changes = LivenessChanges::default();
            liveness_changes.add(&name, change);
            liveness_changes.log("a call without an answer");
        }
    }

    /// Updates the load estimate of all other daemons from their latest reports.
    pub(super) fn update_remote_load(&self) {
        let now = Instant::now();
        let members = lock(&self.members);
        let mut fleet = self.shared.fleet();
        let demand = lock(&self.loads).estimate(&members, &mut fleet, now);
        drop(fleet);
        let live_peers = members.live().count();
        let is_isolated = live_peers == 0 && now.duration_since(self.started) >= ISOLATION_TIMEOUT;
        let is_complete = is_isolated || (1..=MAX_SMALL_FLEET_PEERS).contains(&live_peers);
        self.shared.set_remote_demand(demand, is_complete);
    }
}

/// Peers whose liveness changed by one digest or call. They share one log line, since a starting
/// daemon learns of hundreds of peers at once.
#[derive(Default)]
struct LivenessChanges<'a> {
    live: Vec<&'a str>,
    lost: Vec<&'a str>,
}

impl<'a> LivenessChanges<'a> {
    fn add(&mut self, name: &'a str, change: LivenessChange) {
        match change {
            LivenessChange::Live => self.live.push(name),
            LivenessChange::Lost => self.lost.push(name),
        }
    }

    fn log(&self, source: &'static str) {
        if self.live.is_empty() && self.lost.is_empty() {
            return;
        }
        info!(
            live:% = self.live.join(","),
            lost:% = self.lost.join(","),
            source:% = source;
            "peers changed"
        );
        for (state, names) in [("live", &self.live), ("lost", &self.lost)] {
            let count = names.len() as u64;
            metrics::counter!("kelpworks_peer_turns_total", "state" => state).increment(count);
        }
    }
}

/// Slowness report of an upstream while it is forwarded: as long as a peer might query the engine
/// again.
fn slowness_of(upstream: &Upstream, now: Instant) -> Option<SlownessOf> {
    let (times, at) = upstream.last_slowness_report()?;
    let age = now.duration_since(at);
    (age < SLOWNESS_REPORT_TTL).then(|| SlownessOf {
        instance: Arc::clone(&upstream.entry.instance),
        times,
        age_ms: age.as_millis() as u64,
    })
}

/// Logs the layers that a digest reported: one line for all of them, since thousands of engines load
/// layers while a large fleet starts.
fn log_assignments(reports: &[&AssignmentOf], peer: &str) {
    if reports.is_empty() {
        return;
    }
    let layers = reports.iter().map(|r| {
        let AssignmentOf {
            instance,
            orders,
            from,
            to,
            loaded,
            age_ms,
            wait_ms: _,
        } = r;
        let state = if *loaded { "loaded" } else { "ordered" };
        format!("{instance}={from}-{to}:{state}:{orders}:{age_ms}ms")
    });
    let layers: Vec<String> = layers.collect();
    info!(
        target: "decision",
        layers:% = layers.join(","),
        peer:% = peer;
        "layers reported by peer"
    );
}
