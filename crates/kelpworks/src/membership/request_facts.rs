//! Exchanges facts on requests that crash upstreams between the quarantine and the peers.
//!
//! A refused caller may send its request to another daemon at once, so each fact is pushed to all
//! live peers immediately; heartbeats carry it to those that the push misses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Peers;
use crate::quarantine::Fact;
use crate::quarantine::Quarantine;
use crate::quarantine::Statement;
use kelpworks_coord::facts;
use kelpworks_coord::facts::Key;
use kelpworks_coord::facts::Kind;
use kelpworks_coord::facts::Stamp;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;

/// Minimum time between two pushes. The suspects of one crash are cleared one after another; those
/// of a few milliseconds go in one push.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of checks for expired facts.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Exchanges facts in both directions.
#[derive(Debug)]
pub(crate) struct RequestFacts {
    peers: Peers,
    quarantine: Arc<Quarantine>,
    found: broadcast::Receiver<Fact>,
    own_id: NodeId,
    /// Keys of facts published or cleared, and not pushed yet.
    unpushed: BTreeSet<Key>,
    /// Facts of other daemons that the quarantine has been given.
    applied: BTreeMap<Key, Stamp>,
}

impl RequestFacts {
    /// Creates an exchange of the facts that the quarantine finds from now on.
    pub(crate) fn new(peers: Peers, quarantine: Arc<Quarantine>) -> RequestFacts {
        RequestFacts {
            own_id: NodeId::of(&peers.contact().name),
            found: quarantine.subscribe(),
            peers,
            quarantine,
            unpushed: BTreeSet::new(),
            applied: BTreeMap::new(),
        }
    }

    /// Runs until `stop`.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.exchange_facts() => {}
        }
    }

    async fn exchange_facts(&mut self) {
        let mut peer_facts = self.peers.facts_changed();
        let mut expiry_check = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
        let mut push_at = Instant::now();
        loop {
            let push = tokio::time::sleep_until(push_at);
            tokio::select! {
                fact = self.found.recv() => match fact {
                    Ok(fact) => self.publish_all(fact),
                    // The facts skipped here are already in this daemon's quarantine; other daemons
                    // discover them themselves.
                    Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return,
                },
                () = push, if !self.unpushed.is_empty() => {
                    self.peers.push_facts(&std::mem::take(&mut self.unpushed));
                    push_at = Instant::now() + MIN_PUSH_INTERVAL;
                }
                Ok(()) = peer_facts.changed() => self.apply_peer_facts(),
                _ = expiry_check.tick() => self.apply_peer_facts(),
            }
        }
    }

    /// Publishes a fact and all others already in the channel.
    fn publish_all(&mut self, first: Fact) {
        self.publish(first);
        while let Ok(fact) = self.found.try_recv() {
            self.publish(fact);
        }
    }

    fn publish(&mut self, fact: Fact) {
        let request = fact.fingerprint.0;
        match fact.statement {
            Statement::Suspect {
                upstream,
                remaining,
            } => self.set(Kind::Suspect, request, upstream.0, remaining),
            Statement::Cleared => self.clear(request),
            Statement::Refused { remaining } => {
                self.set(Kind::Poison, request, 0, remaining);
                self.clear(request);
            }
        }
    }

    fn set(&mut self, kind: Kind, request: u64, detail: u64, remaining: Duration) {
        self.peers.set_fact(kind, request, detail, remaining);
        self.unpushed.insert(self.key(kind, request));
    }

    fn clear(&mut self, request: u64) {
        self.peers.clear_fact(Kind::Suspect, request);
        self.unpushed.insert(self.key(Kind::Suspect, request));
    }

    fn key(&self, kind: Kind, subject: u64) -> Key {
        Key {
            author: self.own_id,
            kind,
            subject,
        }
    }

    /// Applies new facts of other daemons to the quarantine, and clears suspicions that they no
    /// longer publish.
    fn apply_peer_facts(&mut self) {
        let mut now = BTreeMap::new();
        // A refusal is applied before the end of the suspicion, so that the request can't run in
        // between.
        for kind in [Kind::Poison, Kind::Suspect] {
            for fact in self.peers.active_facts(kind) {
                if fact.key.author == self.own_id {
                    continue;
                }
                now.insert(fact.key, fact.stamp);
                if self.applied.get(&fact.key) != Some(&fact.stamp) {
                    self.apply(fact.key, statement(&fact));
                }
            }
        }
        let gone = self.applied.keys().filter(|key| !now.contains_key(key));
        for key in gone.filter(|key| key.kind == Kind::Suspect) {
            self.apply(*key, Statement::Cleared);
        }
        self.applied = now;
    }

    fn apply(&self, key: Key, statement: Statement) {
        self.quarantine.apply_fact(Fact {
            by: key.author,
            fingerprint: Fingerprint(key.subject),
            statement,
        });
    }
}

fn statement(fact: &facts::Fact) -> Statement {
    let remaining = Duration::from_millis(fact.ttl.as_millis());
    match fact.key.kind {
        Kind::Suspect => Statement::Suspect {
            upstream: UpstreamId(fact.detail),
            remaining,
        },
        _ => Statement::Refused { remaining },
    }
}
