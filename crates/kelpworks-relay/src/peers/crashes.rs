//! Exchange of the ledger of crashes.
//!
//! A caller may repeat a request at any daemon within milliseconds, so findings are sent at once: to all
//! daemons of a small fleet. In a larger one two daemons, the same for all, collect the facts of a request. From
//! the second fact on they go to all, from each daemon to which they are new on to a few others. Digests
//! carry what was missed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::crash_ledger::Crash;
use kelpworks_coord::crash_ledger::Finding;
use kelpworks_coord::crash_ledger::PartCrash;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::time::Span;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EXCHANGE_TIMEOUT;
use super::MAX_SMALL_FLEET_PEERS;
use super::PeerApiClient;
use super::Peers;
use super::lock;
use super::messages::CrashesOf;
use super::messages::Digest;
use super::messages::Findings;
use super::roles::LEARNING_PERIOD;
use super::store_contact::STORE_STALE_AFTER;
use super::store_contact::StoreKind;

/// Maximum number of facts of each kind in a message or digest, some 3 kB. Those that refuse a request go first.
pub(super) const MAX_FACTS: usize = 32;
/// Time for which a digest carries a changed finding: several exchanges.
const RECENT_PERIOD: Span = Span::from_secs(3);
/// Minimum time between two messages with findings to the same partners, which bounds their rate while
/// much breaks at once.
const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(50);
/// Daemons of a larger fleet that collect the facts of a request. A second one has them if the first is lost.
const COLLECTORS: usize = 2;
/// Facts of a request from which all daemons of a larger fleet learn them. Most breaks are the only one of
/// their request, and concern no other daemon.
const MIN_FACTS_TO_SPREAD: usize = 2;
/// Hash by which the daemon is drawn that keeps the record of crashes.
const KEEPER_HASH: u64 = 0x6b65_6570_6572;
/// Number of exchange intervals between two reviews of the ledger.
const REVIEW_TICKS: u32 = 4;
/// Maximum number of refused requests in a digest for daemons of older builds, which count crashes.
const MAX_COUNTS: usize = 64;
/// Maximum number of crashes that are taken from the count of an older build.
const MAX_COUNTED: u32 = 5;

/// Facts of the ledger in a message.
#[derive(Clone, Debug, Default)]
pub(super) struct FactList {
    pub(super) requests: Vec<Crash>,
    pub(super) parts: Vec<PartCrash>,
}

impl FactList {
    fn of_requests(requests: Vec<Crash>) -> FactList {
        FactList {
            requests,
            ..FactList::default()
        }
    }

    fn of_parts(parts: Vec<PartCrash>) -> FactList {
        FactList {
            parts,
            ..FactList::default()
        }
    }

    fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }

    /// Keeps at most `max` facts of each kind.
    fn truncate(&mut self, max: usize) {
        self.requests.truncate(max);
        self.parts.truncate(max);
    }
}

impl Peers {
    /// Sends the findings that this daemon has made to its partners: at once, or as soon as the last
    /// message allows it.
    pub(super) fn send_findings(self: &Arc<Peers>) {
        let now = Instant::now();
        let mut next = lock(&self.next_findings);
        if *next > now + MIN_MESSAGE_INTERVAL {
            return;
        }
        let due = (*next).max(now);
        *next = due + MIN_MESSAGE_INTERVAL;
        drop(next);
        let peers = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep_until(due).await;
            let now = peers.shared.ledger_time(Instant::now());
            let mut ledger = peers.shared.crashes();
            let news = FactList {
                requests: ledger.take_news(MAX_FACTS, now),
                parts: ledger.take_news_of_parts(MAX_FACTS, now),
            };
            let has_more = ledger.has_news();
            drop(ledger);
            peers.spread_facts(news, None);
            if has_more {
                peers.shared.notify_crash_news();
            }
        });
    }

    /// Sends facts on, except to the daemon at `from`: to all daemons of a small fleet. In a larger one those
    /// of requests and parts with several facts go to a few neighbors, which send them on, and a first one goes to
    /// the daemons that collect the facts of its request or part.
    fn spread_facts(self: &Arc<Peers>, facts: FactList, from: Option<SocketAddr>) {
        if facts.is_empty() {
            return;
        }
        if self.is_small_fleet() {
            return self.send_to(&self.partners(), facts, from);
        }
        let now = self.shared.ledger_time(Instant::now());
        let mut spread = FactList::default();
        for fingerprint in distinct(facts.requests.iter().map(|c| c.fingerprint)) {
            let known = self.shared.crashes().facts_of(fingerprint, now);
            if known.len() >= MIN_FACTS_TO_SPREAD {
                spread.requests.extend(known);
            } else if from.is_none() {
                let collectors = self.collectors(fingerprint.0);
                self.send_to(&collectors, FactList::of_requests(known), None);
            }
        }
        for part in distinct(facts.parts.iter().map(|c| c.part)) {
            let known = self.shared.crashes().facts_of_part(part, now);
            if known.len() >= MIN_FACTS_TO_SPREAD {
                spread.parts.extend(known);
            } else if from.is_none() {
                let collectors = self.collectors(part.0);
                self.send_to(&collectors, FactList::of_parts(known), None);
            }
        }
        spread.truncate(MAX_FACTS);
        self.send_to(&self.announcement_partners(), spread, from);
    }

    fn send_to(
        self: &Arc<Peers>,
        partners: &[SocketAddr],
        facts: FactList,
        from: Option<SocketAddr>,
    ) {
        if facts.is_empty() {
            return;
        }
        let findings = Arc::new(Findings {
            from: self.address,
            facts: facts.requests,
            part_facts: facts.parts,
        });
        for &partner in partners.iter().filter(|&&p| Some(p) != from) {
            let peers = Arc::clone(self);
            let findings = Arc::clone(&findings);
            tokio::spawn(async move { peers.send_findings_to(partner, &findings).await });
        }
    }

    /// Addresses of the daemons that collect the facts of the request or part with this hash, the same on all
    /// daemons that know the same members.
    pub(super) fn collectors(&self, hash: u64) -> Vec<SocketAddr> {
        let mut collectors = self.by_hash(hash, COLLECTORS);
        collectors.retain(|&a| a != self.address);
        collectors
    }

    /// Addresses of `count` daemons that are drawn by a hash from this one and all that are live, the same on all
    /// daemons that know the same members.
    pub(super) fn by_hash(&self, hash: u64, count: usize) -> Vec<SocketAddr> {
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), hash);
        let members = lock(&self.members);
        let live = members.live().map(|m| (weight(m.name()), m.address));
        let mut ranked: Vec<(u64, SocketAddr)> = live.collect();
        ranked.push((weight(&self.name), self.address));
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns whether this daemon keeps the record of crashes in the store. One that has just started and knows no
    /// other does not.
    pub(crate) fn keeps_verdicts(&self) -> bool {
        let knows_others = lock(&self.members).live().next().is_some();
        let is_alone = self.started.elapsed() >= LEARNING_PERIOD;
        let keeper = self.by_hash(KEEPER_HASH, 1);
        (knows_others || is_alone) && keeper.first() == Some(&self.address)
    }

    fn is_small_fleet(&self) -> bool {
        lock(&self.members).live().count() <= MAX_SMALL_FLEET_PEERS
    }

    async fn send_findings_to(&self, partner: SocketAddr, findings: &Findings) {
        let address = partner.to_string();
        let call = self.connections.call(
            &address,
            EXCHANGE_TIMEOUT,
            findings,
            |client, findings| async move { client.findings(findings).await },
        );
        let outcome = match call.await {
            Ok(()) => "delivered",
            Err(_) => "failed",
        };
        metrics::counter!("kelpworks_finding_messages_total", "outcome" => outcome).increment(1);
    }

    /// Applies the findings of a peer. In a small fleet it has sent them to all daemons.
    pub(super) fn on_findings(self: &Arc<Peers>, findings: Findings) {
        let Findings {
            from,
            facts,
            part_facts,
        } = findings;
        let mut facts = FactList {
            requests: facts,
            parts: part_facts,
        };
        facts.truncate(MAX_FACTS);
        let raised = self.learn(facts, &from.to_string());
        if !self.is_small_fleet() {
            self.spread_facts(raised, Some(from));
        }
    }

    fn learn(&self, facts: FactList, peer: &str) -> FactList {
        FactList {
            requests: self.shared.learn_crashes(facts.requests, peer),
            parts: self.shared.learn_part_crashes(facts.parts, peer),
        }
    }

    /// Decides breaks by the registrations, once a second.
    pub(super) fn review_crashes(&self, ticks: u32) {
        if ticks.is_multiple_of(REVIEW_TICKS) {
            let age = self.store_age(StoreKind::Upstreams);
            self.shared.review_crashes(age < STORE_STALE_AFTER);
        }
    }

    /// Returns the facts for a digest.
    pub(super) fn reported_facts(&self, now: Instant) -> FactList {
        let now = self.shared.ledger_time(now);
        let min_facts = match self.is_small_fleet() {
            true => 1,
            false => MIN_FACTS_TO_SPREAD,
        };
        let mut ledger = self.shared.crashes();
        FactList {
            requests: ledger.report(MAX_FACTS, min_facts, RECENT_PERIOD, now),
            parts: ledger.report_parts(MAX_FACTS, min_facts, RECENT_PERIOD, now),
        }
    }

    /// Returns the crash counts for daemons of older builds.
    pub(super) fn crash_counts(&self, now: Instant) -> Vec<CrashesOf> {
        let now = self.shared.ledger_time(now);
        let refused = self.shared.crashes().refused(MAX_COUNTS, now);
        let counts = refused.into_iter().map(|(fingerprint, crashes)| CrashesOf {
            fingerprint: fingerprint.0,
            crashes: crashes as u32,
        });
        counts.collect()
    }

    /// Applies the facts of a digest, or the counts of an older build.
    pub(super) fn learn_facts(&self, digest: &Digest) {
        let mut facts = FactList {
            requests: digest.facts.clone(),
            parts: digest.part_facts.clone(),
        };
        facts.truncate(MAX_FACTS);
        if digest.facts.is_empty() {
            let counts = digest.crashes.iter().take(MAX_COUNTS);
            let counted = counts.flat_map(|c| self.facts_of_count(c));
            facts.requests.extend(counted);
        }
        self.learn(facts, &digest.from.name);
    }

    /// Returns facts in place of the crashes that an older build counts and this daemon does not know.
    /// Their upstreams have made-up names, the same on all daemons.
    fn facts_of_count(&self, counted: &CrashesOf) -> Vec<Crash> {
        let fingerprint = Fingerprint(counted.fingerprint);
        let known = self.shared.crashes().count(fingerprint) as u32;
        let missing = known..counted.crashes.min(MAX_COUNTED);
        let fact = |number: u32| Crash {
            fingerprint,
            upstream: UpstreamId(xxh3_64_with_seed(
                &counted.fingerprint.to_le_bytes(),
                u64::from(number),
            )),
            finding: Finding::Broken,
            age: Span::ZERO,
            begun: None,
            alive: None,
        };
        missing.map(fact).collect()
    }
}

/// Returns each of these once, in order.
fn distinct<T: Ord>(all: impl Iterator<Item = T>) -> Vec<T> {
    let mut distinct: Vec<T> = all.collect();
    distinct.sort_unstable();
    distinct.dedup();
    distinct
}
