//! Daemons among themselves: what each knows of the configuration, upstreams, load and failures.
//!
//! Every [`EXCHANGE`] a daemon calls a few others with a short digest and gets theirs. Who sees that
//! the other holds a newer configuration or newer entries of upstreams asks for the texts; so what
//! one daemon read in the store reaches all, also those that the store turns away. Digests also
//! carry load, doubts and suspicions, which need no history: the last one told counts.
//!
//! In a small fleet every daemon talks to every other and watches the store. In a larger one each
//! talks to a few, most of them in its own failure domain, takes the load of those it heard for a
//! sample of the fleet, and a few daemons of each domain watch the store for all.

mod messages;
mod packed;
mod roles;
#[cfg(test)]
mod tests;
mod texts;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use kelpworks::membership::links::Links;
use log::info;
use rand::seq::IndexedRandom;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::crashes::Fingerprint;
use crate::dialect::Dialect;
use crate::documents::Documents;
use crate::fleet::Owner;
use crate::fleet::Upstream;
use crate::shared::Shared;
use crate::spread::Demand;
use messages::Contact;
use messages::CrashesOf;
use messages::Digest;
use messages::DoubtOf;
use messages::HoldingOf;
use messages::Known;
use messages::LoadOf;
use messages::OwnerOf;
use messages::SlownessOf;
use messages::Texts;
use texts::Packs;

/// Time between two exchanges with each partner: load told a quarter of a second ago is still that
/// of most streams, which last longer than a second.
const EXCHANGE: Duration = Duration::from_millis(250);
/// Daemons besides this one up to which a fleet counts as small.
const SMALL: usize = 8;
/// Exchanges of a larger fleet are so many times rarer.
const RARER: u32 = 2;
/// Daemons of the own failure domain that are called each time in a larger fleet: with those that
/// call, all of 22 are heard within two seconds. With two of them a third of the load stood for the
/// rest, and engines refused a sixteenth of all arrivals on a calm day; with five none.
const NEAR: usize = 5;
/// Daemons of other failure domains that are called each time: bytes between domains are paid for.
const FAR: usize = 1;
/// Members that a digest names in a larger fleet: three exchanges each way name every one of 66
/// within a second.
const NAMED: usize = 12;
/// Longest time for an exchange.
const CALL: Duration = Duration::from_millis(400);
/// Longest time for texts: some 300 kB over a link of 20 Mbit/s that carries other things too.
const TEXTS: Duration = Duration::from_millis(1_500);
/// Texts that are fetched at a time: a second one, so that a partner that has died meanwhile does not
/// hold the news up.
const MOST_FETCHES: usize = 2;
/// Largest text between daemons: a whole fleet's entries.
const MOST_BYTES: u32 = 8 << 20;
/// A daemon counts as live so long after it was last heard of, directly or through others: in a
/// fleet of 66 word of a daemon comes about once a second, and at times not for three.
const HEARD: Duration = Duration::from_secs(5);
/// What a daemon told of its load and of the store counts so long.
const LIVE: Duration = Duration::from_secs(4);
/// Fingerprints told at most in a digest.
const MOST_FINGERPRINTS: usize = 64;
/// Words on engines' layers told at most in a digest: those of an order to each engine of a small
/// fleet; the newest go first.
const MOST_HOLDINGS: usize = 48;
/// Words on who has an address told at most in a digest: as many as engines may start again at once.
const MOST_OWNERS: usize = 48;
/// How long an engine's word on its slowness is told on: until it may be asked again.
const SLOWNESS_TOLD: Duration = Duration::from_secs(3);

/// Methods of a daemon for its peers; all may be repeated.
#[rpc(server, client, namespace = "kelpworks", namespace_separator = ".")]
pub(crate) trait PeerApi {
    /// Tells a digest and gets one.
    #[method(name = "exchange")]
    async fn exchange(&self, digest: Digest) -> RpcResult<Digest>;

    /// Gets the texts that are newer than known.
    #[method(name = "texts")]
    async fn texts(&self, known: Known) -> RpcResult<Texts>;
}

#[derive(Clone, Debug)]
struct Member {
    domain: String,
    address: SocketAddr,
    heard: Instant,
    /// Load that it told last.
    load: Vec<LoadOf>,
    /// When it told it.
    told: Option<Instant>,
    /// Whether it watched the store then.
    watches: bool,
    /// Whether it was on a planned stop then.
    leaving: bool,
}

/// The daemons, and what they tell each other.
#[derive(Debug)]
pub(crate) struct Peers {
    name: String,
    address: SocketAddr,
    shared: Arc<Shared>,
    documents: Arc<Documents>,
    links: Links,
    started: Instant,
    seeds: Mutex<Vec<SocketAddr>>,
    members: Mutex<HashMap<String, Member>>,
    packs: Mutex<Packs>,
    /// Permits to fetch texts.
    fetching: Semaphore,
    /// When the holder of the placement lease was last known to be at work.
    lease_holder: Mutex<Option<Instant>>,
}

impl Peers {
    /// A daemon that has heard of no other.
    pub(crate) fn new(
        name: &str,
        address: SocketAddr,
        shared: Arc<Shared>,
        documents: Arc<Documents>,
    ) -> Peers {
        Peers {
            name: name.to_owned(),
            address,
            shared,
            documents,
            links: Links::default(),
            started: Instant::now(),
            seeds: Mutex::default(),
            members: Mutex::default(),
            packs: Mutex::default(),
            fetching: Semaphore::new(MOST_FETCHES),
            lease_holder: Mutex::default(),
        }
    }

    /// Sets the addresses by which others are found.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        let others = seeds.iter().copied().filter(|&s| s != self.address);
        *lock(&self.seeds) = others.collect();
    }

    /// Listens for peers.
    pub(crate) async fn listen<D: Dialect>(self: &Arc<Peers>) -> std::io::Result<ServerHandle> {
        let cfg = ServerConfig::builder()
            .max_request_body_size(MOST_BYTES)
            .max_response_body_size(MOST_BYTES)
            .build();
        let server = Server::builder()
            .set_config(cfg)
            .build(self.address)
            .await?;
        let methods: Methods<D> = Methods {
            peers: Arc::clone(self),
            dialect: std::marker::PhantomData,
        };
        Ok(server.start(methods.into_rpc()))
    }

    /// Exchanges digests until it is stopped.
    pub(crate) async fn run<D: Dialect>(self: Arc<Peers>, stop: CancellationToken) {
        let mut tick = tokio::time::interval(EXCHANGE);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = 0u32;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => {
                    ticks = ticks.wrapping_add(1);
                    let is_small = lock(&self.members).len() <= SMALL;
                    if !is_small && !ticks.is_multiple_of(RARER) {
                        continue;
                    }
                }
                // Told on at once: with the next exchange only, the last of 66 daemons had a new
                // configuration 1.4 to 2.6 s after the first, where 3 s are allowed.
                () = self.documents.configuration_changed() => {}
            }
            for address in self.partners() {
                let peers = Arc::clone(&self);
                tokio::spawn(async move { peers.call::<D>(address).await });
            }
            self.shared.repeats().set_daemons(self.sharing());
            self.sum_load();
        }
    }

    /// Who is called next: live daemons drawn at random, and seeds that are not among them.
    fn partners(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let members = lock(&self.members);
        let live = members
            .values()
            .filter(|m| now.duration_since(m.heard) < HEARD);
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            live.partition(|m| m.domain == self.shared.domain);
        let live = near.iter().chain(&far).map(|m| m.address);
        let live: Vec<SocketAddr> = live.collect();
        let seeds = lock(&self.seeds);
        let unknown = seeds.iter().filter(|s| !live.contains(s)).copied();
        if live.len() <= SMALL {
            return live.iter().copied().chain(unknown).collect();
        }
        let mut rng = rand::rng();
        let near = near.sample(&mut rng, NEAR).map(|m| m.address);
        let near: Vec<SocketAddr> = near.collect();
        let far = far.sample(&mut rng, FAR).map(|m| m.address);
        near.into_iter().chain(far).chain(unknown).collect()
    }

    async fn call<D: Dialect>(&self, address: SocketAddr) {
        let address = address.to_string();
        let digest = self.digest();
        let exchange = self
            .links
            .call(&address, CALL, &digest, |client, digest| async move {
                client.exchange(digest).await
            });
        let Ok(theirs) = exchange.await else {
            return;
        };
        self.heard(&theirs);
        let known = Known {
            version: self.documents.version(),
            revision: self.documents.revision(),
        };
        if theirs.version <= known.version && theirs.revision <= known.revision {
            return;
        }
        // Several partners may know the same news, which may be hundreds of kilobytes.
        let Ok(_permit) = self.fetching.try_acquire() else {
            return;
        };
        let texts = self
            .links
            .call(&address, TEXTS, &known, |client, known| async move {
                client.texts(known).await
            });
        if let Ok(texts) = texts.await {
            self.take::<D>(texts);
        }
    }

    fn digest(&self) -> Digest {
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
    fn heard(&self, digest: &Digest) {
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
    fn sum_load(&self) {
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

/// The server's side.
struct Methods<D> {
    peers: Arc<Peers>,
    dialect: std::marker::PhantomData<D>,
}

#[async_trait]
impl<D: Dialect> PeerApiServer for Methods<D> {
    async fn exchange(&self, digest: Digest) -> RpcResult<Digest> {
        self.peers.heard(&digest);
        Ok(self.peers.digest())
    }

    async fn texts(&self, known: Known) -> RpcResult<Texts> {
        Ok(self.peers.texts(known))
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

/// Tables are consistent line by line, so a panic of a holder spoils nothing.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
