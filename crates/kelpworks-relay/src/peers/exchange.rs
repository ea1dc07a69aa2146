//! What a daemon tells in a digest, and what it takes from one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::EXCHANGE;
use super::HEARD;
use super::LIVE;
use super::Member;
use super::Peers;
use super::SMALL;
use super::lock;
use super::messages::Contact;
use super::messages::CrashesOf;
use super::messages::Digest;
use super::messages::DoubtOf;
use super::messages::HoldingOf;
use super::messages::LoadOf;
use super::messages::OwnerOf;
use super::messages::SlownessOf;
use crate::crashes::Fingerprint;
use crate::fleet::Owner;
use crate::fleet::Upstream;
use crate::spread::Demand;

/// Fingerprints told at most in a digest.
const MOST_FINGERPRINTS: usize = 64;
/// Words on engines' layers told at most in a digest: those of an order to each engine of a small
/// fleet; the newest go first.
const MOST_HOLDINGS: usize = 48;
/// Words on who has an address told at most in a digest: as many as engines may start again at once.
const MOST_OWNERS: usize = 48;
/// How long an engine's word on its slowness is told on: until it may be asked again.
pub(super) const SLOWNESS_TOLD: Duration = Duration::from_secs(3);
/// Members that a digest names in a larger fleet: three exchanges each way name every one of 66
/// within a second.
const NAMED: usize = 12;

impl Peers {
    /// What this daemon tells.
    pub(super) fn digest(&self) -> Digest {
        let now = Instant::now();
        let mut load = Vec::new();
        let mut doubts = Vec::new();
        let mut slowness = Vec::new();
        let holdings;
        let owners;
        {
            let fleet = self.shared.fleet();
            owners = fleet.told_owners(MOST_OWNERS, now);
            holdings = fleet.holdings().words(MOST_HOLDINGS, now);
            for (_, u) in fleet.iter() {
                if u.own.running > 0.0 {
                    load.push(LoadOf {
                        instance: Arc::clone(&u.entry.instance),
                        running: u.own.running,
                        reserved: u.own.reserved.round(),
                    });
                }
                if let Some(word) = slowness_of(u, now) {
                    slowness.push(word);
                }
                let left = u.doubted_until.and_then(|d| d.checked_duration_since(now));
                if let Some(left) = left {
                    doubts.push(DoubtOf {
                        instance: Arc::clone(&u.entry.instance),
                        left_ms: left.as_millis() as u64,
                    });
                }
            }
        }
        let crashes = self.shared.crashes().counts(MOST_FINGERPRINTS);
        let crashes = crashes.into_iter().map(|(f, crashes)| CrashesOf {
            fingerprint: f.0,
            crashes,
        });
        Digest {
            from: Contact {
                name: self.name.clone(),
                domain: self.shared.domain.clone(),
                address: self.address,
                age_ms: 0,
            },
            version: self.documents.version(),
            revision: self.documents.revision(),
            leaving: self.shared.closing.load(Ordering::Relaxed),
            watches: self.is_watcher() && self.shared.store_answers.load(Ordering::Relaxed),
            members: self.contacts(now),
            load,
            doubts,
            crashes: crashes.collect(),
            slowness,
            holdings: holdings
                .into_iter()
                .map(|(instance, holding, age)| HoldingOf::new(instance, holding, age))
                .collect(),
            owners: owners
                .into_iter()
                .map(|(Owner { address, id }, age)| OwnerOf {
                    address,
                    id,
                    age_ms: age.as_millis() as u64,
                })
                .collect(),
            lease_holder_age_ms: lock(&self.lease_holder)
                .map(|at| now.duration_since(at).as_millis() as u64),
        }
    }

    fn contacts(&self, now: Instant) -> Vec<Contact> {
        let members = lock(&self.members);
        let live = members
            .iter()
            .filter(|(_, m)| now.duration_since(m.heard) < HEARD);
        let live: Vec<(&String, &Member)> = live.collect();
        let named = if live.len() <= SMALL {
            live.len()
        } else {
            NAMED
        };
        let contact = |&(name, m): &(&String, &Member)| Contact {
            name: name.clone(),
            domain: m.domain.clone(),
            address: m.address,
            age_ms: now.duration_since(m.heard).as_millis() as u64,
        };
        live.sample(&mut rand::rng(), named).map(contact).collect()
    }

    /// Takes what a daemon tells.
    pub(super) fn heard(&self, digest: &Digest) {
        let now = Instant::now();
        // What was told was true up to one exchange ago.
        let since = now.checked_sub(EXCHANGE).unwrap_or(now);
        self.meet(&digest.from, now);
        for contact in &digest.members {
            self.meet(contact, now);
        }
        if let Some(member) = lock(&self.members).get_mut(&digest.from.name) {
            member.load = digest.load.clone();
            member.told = Some(now);
            member.watches = digest.watches;
            member.leaving = digest.leaving;
        }
        {
            let mut fleet = self.shared.fleet();
            for doubt in &digest.doubts {
                if let Some(key) = fleet.key_of(&doubt.instance) {
                    let until = now + Duration::from_millis(doubt.left_ms);
                    fleet.doubt_told(key, since, until);
                }
            }
            for word in &digest.slowness {
                let at = now.checked_sub(Duration::from_millis(word.age_ms));
                if let (Some(key), Some(at)) = (fleet.key_of(&word.instance), at) {
                    fleet.tell_slowness(key, word.times, at);
                }
            }
            for word in &digest.holdings {
                let age = Duration::from_millis(word.age_ms);
                if fleet.tell_holding(&word.instance, word.holding(), age, now) {
                    log_holding(word, &digest.from.name);
                }
            }
        }
        for word in &digest.owners {
            self.heard_of_owner(word, now);
        }
        self.heard_of_lease_holder(digest.lease_holder_age_ms, now);
        let mut crashes = self.shared.crashes();
        for told in &digest.crashes {
            crashes.told(Fingerprint(told.fingerprint), told.crashes, now);
        }
    }

    fn heard_of_owner(&self, word: &OwnerOf, now: Instant) {
        let Some(at) = now.checked_sub(Duration::from_millis(word.age_ms)) else {
            return;
        };
        let owner = Owner {
            address: word.address,
            id: Arc::clone(&word.id),
        };
        let changes = self.shared.fleet().tell_owner(owner, at);
        if let Some(changes) = changes {
            self.shared
                .upstreams_changed(&changes, "a peer on an address");
        }
    }

    fn meet(&self, contact: &Contact, now: Instant) {
        let age = Duration::from_millis(contact.age_ms);
        let Some(heard) = now.checked_sub(age) else {
            return;
        };
        if contact.name == self.name {
            return;
        }
        let mut members = lock(&self.members);
        let known = members.get(&contact.name);
        let is_news = known.is_none_or(|m| now.duration_since(m.heard) >= HEARD);
        if known.is_some_and(|m| m.heard >= heard) {
            return;
        }
        let new = Member {
            domain: contact.domain.clone(),
            address: contact.address,
            heard,
            load: Vec::new(),
            told: None,
            watches: false,
            leaving: false,
        };
        let member = members.entry(contact.name.clone()).or_insert(new);
        member.heard = heard;
        member.address = contact.address;
        if is_news && age < HEARD {
            info!(peer:% = contact.name, address:% = contact.address; "peer heard");
        }
    }

    /// Estimates the load of all others: in each failure domain, the daemons that told theirs lately
    /// stand for all that are live there. Over all domains at once those of the own one would count
    /// too much, since they are called more often.
    pub(super) fn sum_load(&self) {
        let now = Instant::now();
        let members = lock(&self.members);
        let told = |m: &&Member| m.told.is_some_and(|at| now.duration_since(at) < LIVE);
        let is_live = |m: &&Member| now.duration_since(m.heard) < HEARD;
        let count = |domain: &str, which: &dyn Fn(&&Member) -> bool| {
            let there = members.values().filter(|m| m.domain == domain);
            there.filter(|m| which(m)).count() as f64
        };
        let mut demand: Vec<Demand> = Vec::new();
        let mut fleet = self.shared.fleet();
        fleet.clear_others();
        for member in members.values().filter(told) {
            let stands_for =
                count(&member.domain, &is_live) / count(&member.domain, &told).max(1.0);
            let stands_for = stands_for.max(1.0);
            let reserved: f64 = member.load.iter().map(|l| l.reserved).sum();
            add_demand(&mut demand, &member.domain, reserved * stands_for);
            for load in &member.load {
                let upstream = fleet.key_of(&load.instance).and_then(|k| fleet.get_mut(k));
                if let Some(u) = upstream {
                    u.others.running += load.running * stands_for;
                    u.others.reserved += load.reserved * stands_for;
                }
            }
        }
        drop(fleet);
        let is_sampled = members.values().filter(is_live).count() > SMALL;
        self.shared.set_demand(demand, is_sampled);
    }
}

/// An engine's word on its slowness, while it is told on: as long as a peer might ask it again.
fn slowness_of(upstream: &Upstream, now: Instant) -> Option<SlownessOf> {
    let (times, at) = upstream.slowness_told()?;
    let age = now.duration_since(at);
    (age < SLOWNESS_TOLD).then(|| SlownessOf {
        instance: Arc::clone(&upstream.entry.instance),
        times,
        age_ms: age.as_millis() as u64,
    })
}

fn add_demand(demand: &mut Vec<Demand>, domain: &str, token_layers: f64) {
    match demand.iter_mut().find(|d| *d.domain == *domain) {
        Some(d) => d.token_layers += token_layers,
        None => demand.push(Demand {
            domain: Arc::from(domain),
            token_layers,
        }),
    }
}

fn log_holding(word: &HoldingOf, peer: &str) {
    info!(
        target: "decision",
        upstream:% = word.instance,
        from = word.from,
        to = word.to,
        orders = word.orders,
        loaded = word.loaded,
        age_ms = word.age_ms,
        peer:% = peer;
        "layers told"
    );
}
