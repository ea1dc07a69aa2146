//! What a daemon tells in a digest, and what it takes from one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kelpworks::clients::era::EraSource;
use log::info;
use tokio::time::Instant;

use super::EXCHANGE;
use super::Peers;
use super::SMALL;
use super::limits::limit_of;
use super::lock;
use super::members::Condition;
use super::members::Turn;
use super::messages::AssignmentOf;
use super::messages::Contact;
use super::messages::CrashesOf;
use super::messages::Digest;
use super::messages::EjectionOf;
use super::messages::LeaderOf;
use super::messages::LoadOf;
use super::messages::OwnerOf;
use super::messages::SlownessOf;
use super::messages::StoreAges;
use super::messages::millis_since;
use super::roles::ALONE;
use super::roles::Precedence;
use super::store_contact::StoreKind;
use crate::crashes::Fingerprint;
use crate::fleet::AddressOwner;
use crate::fleet::Upstream;

/// Fingerprints told at most in a digest.
const MAX_FINGERPRINTS: usize = 64;
/// Words on engines' layers told at most in a digest: those of an order to each engine of a small
/// fleet; the newest go first.
const MAX_ASSIGNMENTS: usize = 48;
/// Words on who has an address told at most in a digest: as many as engines may start again at once.
const MAX_OWNERS: usize = 48;
/// How long an engine's word on its slowness is told on: until it may be asked again.
pub(super) const SLOWNESS_TOLD: Duration = Duration::from_secs(3);
impl Peers {
    /// What this daemon tells one that knows so many others.
    pub(super) fn digest(&self, knows: usize) -> Digest {
        let now = Instant::now();
        let mut load = Vec::new();
        let mut ejections = Vec::new();
        let mut slowness = Vec::new();
        let mut limits = Vec::new();
        let assignments;
        let owners;
        {
            let fleet = self.shared.fleet();
            owners = fleet.recent_owners(MAX_OWNERS, now);
            assignments = fleet
                .assignments()
                .unconfirmed_reports(MAX_ASSIGNMENTS, now);
            for (_, u) in fleet.iter() {
                if u.local_load.running > 0.0 {
                    load.push(LoadOf {
                        instance: Arc::clone(&u.entry.instance),
                        running: u.local_load.running,
                        reserved: u.local_load.reserved.round(),
                    });
                }
                limits.extend(limit_of(u, now));
                if let Some(word) = slowness_of(u, now) {
                    slowness.push(word);
                }
                if let Some(left) = u.remaining_ejection(now) {
                    ejections.push(EjectionOf {
                        instance: Arc::clone(&u.entry.instance),
                        left_ms: left.as_millis() as u64,
                        gone: u.is_unreachable(),
                    });
                }
            }
        }
        let crashes = self.shared.crashes().counts(MAX_FINGERPRINTS);
        let crashes = crashes.into_iter().map(|(f, crashes)| CrashesOf {
            fingerprint: f.0,
            crashes,
        });
        let (known, members) = {
            let members = lock(&self.members);
            (members.known(), members.told(knows, now, &mut rand::rng()))
        };
        Digest {
            from: self.own_contact(now),
            version: self.store_cache.version(),
            entries: self.store_cache.entries_version(),
            latest_era: self.eras.latest(),
            knows: known,
            store: self.store_ages(now),
            leader: self.leader(now),
            members,
            load,
            ejections,
            crashes: crashes.collect(),
            slowness,
            assignments: assignments
                .into_iter()
                .map(|(instance, holding, age)| AssignmentOf::new(instance, holding, age))
                .collect(),
            owners: owners
                .into_iter()
                .map(|(AddressOwner { address, id }, age)| OwnerOf {
                    address,
                    id,
                    age_ms: age.as_millis() as u64,
                })
                .collect(),
            limits,
        }
    }

    fn own_contact(&self, now: Instant) -> Contact {
        let condition = match self.shared.stopping.load(Ordering::Relaxed) {
            true => Condition::Leaving,
            false => lock(&self.duties).store.condition(now),
        };
        Contact {
            name: Arc::clone(&self.name),
            domain: Arc::clone(&self.domain),
            address: self.address,
            age_ms: 0,
            lost_age_ms: None,
            condition,
        }
    }

    fn store_ages(&self, now: Instant) -> StoreAges {
        let duties = lock(&self.duties);
        let age = |what| duties.store.seen(what).map(|at| millis_since(at, now));
        StoreAges {
            configuration_ms: age(StoreKind::Configuration),
            upstreams_ms: age(StoreKind::Upstreams),
        }
    }

    fn leader(&self, now: Instant) -> Option<LeaderOf> {
        let leader = lock(&self.duties).leader();
        leader.map(|(precedence, at)| LeaderOf {
            precedence: precedence.0,
            age_ms: millis_since(at, now),
        })
    }

    /// Takes what a daemon tells.
    pub(super) fn heard(&self, digest: &Digest) {
        let now = Instant::now();
        self.eras.observe(digest.latest_era, EraSource::Peer);
        self.store_cache.note_peer_version(digest.version);
        // What was told was true up to one exchange ago.
        let since = now.checked_sub(EXCHANGE).unwrap_or(now);
        self.meet(std::iter::once(&digest.from).chain(&digest.members), now);
        let Contact { name, domain, .. } = &digest.from;
        lock(&self.loads).told(name, domain, &digest.load, now);
        self.heard_of_duties(digest, now);
        {
            let mut fleet = self.shared.fleet();
            for ejection in &digest.ejections {
                if let Some(key) = fleet.key_of(&ejection.instance) {
                    let until = now + Duration::from_millis(ejection.left_ms);
                    fleet.learn_ejection(key, since, until, ejection.gone);
                }
            }
            for word in &digest.slowness {
                let at = now.checked_sub(Duration::from_millis(word.age_ms));
                if let (Some(key), Some(at)) = (fleet.key_of(&word.instance), at) {
                    fleet.learn_slowness(key, word.times, at);
                }
            }
            for word in &digest.assignments {
                let age = Duration::from_millis(word.age_ms);
                if fleet.learn_assignment(&word.instance, word.assignment(), age, now) {
                    log_assignment(word, &digest.from.name);
                }
            }
        }
        for word in &digest.owners {
            self.heard_of_owner(word, now);
        }
        self.learn_limits(&digest.limits, now);
        let mut crashes = self.shared.crashes();
        for told in &digest.crashes {
            crashes.learn(Fingerprint(told.fingerprint), told.crashes, now);
        }
    }

    fn heard_of_owner(&self, word: &OwnerOf, now: Instant) {
        let Some(at) = now.checked_sub(Duration::from_millis(word.age_ms)) else {
            return;
        };
        let owner = AddressOwner {
            address: word.address,
            id: Arc::clone(&word.id),
        };
        let changes = self.shared.fleet().learn_owner(owner, at);
        if let Some(changes) = changes {
            self.shared
                .upstreams_changed(&changes, "a peer on an address");
        }
    }

    fn heard_of_duties(&self, digest: &Digest, now: Instant) {
        let before = |ms: u64| now.checked_sub(Duration::from_millis(ms));
        let members = lock(&self.members);
        let mut duties = lock(&self.duties);
        duties.met(now);
        let StoreAges {
            configuration_ms,
            upstreams_ms,
        } = digest.store;
        let ages = [
            (StoreKind::Configuration, configuration_ms),
            (StoreKind::Upstreams, upstreams_ms),
        ];
        for (what, age) in ages {
            if let Some(at) = age.and_then(before) {
                duties.store.heard(what, at);
            }
        }
        if let Some(LeaderOf { precedence, age_ms }) = digest.leader
            && let Some(at) = before(age_ms)
        {
            duties.learn_leader(Precedence(precedence), at, &members, now);
        }
    }

    fn meet<'a>(&self, contacts: impl Iterator<Item = &'a Contact>, now: Instant) {
        let mut turns = Turns::default();
        {
            let mut members = lock(&self.members);
            for contact in contacts.filter(|c| c.name != self.name) {
                if let Some(turn) = members.meet(contact, now) {
                    turns.add(&contact.name, turn);
                }
            }
        }
        turns.log("told");
    }

    /// Notes that a daemon did not answer a call made at a moment. Where nobody else answered since,
    /// this daemon may be the one that is cut off.
    pub(super) fn unanswered(&self, address: SocketAddr, called: Instant) {
        if !lock(&self.duties).has_met_since(called) {
            return;
        }
        let turn = lock(&self.members).unanswered(address, called, Instant::now());
        if let Some((name, turn)) = turn {
            let mut turns = Turns::default();
            turns.add(&name, turn);
            turns.log("a call without an answer");
        }
    }

    /// Estimates the load of all others.
    pub(super) fn sum_load(&self) {
        let now = Instant::now();
        let members = lock(&self.members);
        let mut fleet = self.shared.fleet();
        let demand = lock(&self.loads).sum(&members, &mut fleet, now);
        drop(fleet);
        let others = members.live().count();
        let is_alone = others == 0 && now.duration_since(self.started) >= ALONE;
        let is_complete = is_alone || (1..=SMALL).contains(&others);
        self.shared.set_remote_demand(demand, is_complete);
    }
}

/// Peers whose life is seen otherwise by one digest or call: one log line for all of them, since a
/// daemon that starts hears of hundreds.
#[derive(Default)]
struct Turns<'a> {
    live: Vec<&'a str>,
    lost: Vec<&'a str>,
}

impl<'a> Turns<'a> {
    fn add(&mut self, name: &'a str, turn: Turn) {
        match turn {
            Turn::Live => self.live.push(name),
            Turn::Lost => self.lost.push(name),
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

/// An engine's word on its slowness, while it is told on: as long as a peer might ask it again.
fn slowness_of(upstream: &Upstream, now: Instant) -> Option<SlownessOf> {
    let (times, at) = upstream.last_slowness_report()?;
    let age = now.duration_since(at);
    (age < SLOWNESS_TOLD).then(|| SlownessOf {
        instance: Arc::clone(&upstream.entry.instance),
        times,
        age_ms: age.as_millis() as u64,
    })
}

fn log_assignment(word: &AssignmentOf, peer: &str) {
    info!(
        target: "decision",
        upstream:% = word.instance,
        from = word.from,
        to = word.to,
        orders = word.orders,
        loaded = word.loaded,
        age_ms = word.age_ms,
        peer:% = peer;
        "layers reported by peer"
    );
}
