//! Carries what daemons find out about requests that crash upstreams between the quarantine and
//! the peers.
//!
//! A caller that was refused may send its request to another daemon at once, so each fact is
//! pushed to all live peers as soon as it is known; heartbeats bring it to those that the push
//! does not reach.

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

/// Least time between two pushes: the suspects of one crash are cleared one after another, and
/// those of a few milliseconds go together.
const PUSH_EVERY: Duration = Duration::from_millis(5);
/// How often facts are looked at for those that expired.
const LOOK: Duration = Duration::from_secs(1);

/// Carries facts both ways.
#[derive(Debug)]
pub(crate) struct RequestFacts {
    peers: Peers,
    quarantine: Arc<Quarantine>,
    found: broadcast::Receiver<Fact>,
    me: NodeId,
    /// Stated or cleared, and not pushed yet.
    unsent: BTreeSet<Key>,
    /// What others state, as the quarantine was told.
    told: BTreeMap<Key, Stamp>,
}

impl RequestFacts {
    /// Facts found out from now on are carried.
    pub(crate) fn new(peers: Peers, quarantine: Arc<Quarantine>) -> RequestFacts {
        RequestFacts {
            me: NodeId::of(&peers.contact().name),
            found: quarantine.subscribe(),
            peers,
            quarantine,
            unsent: BTreeSet::new(),
            told: BTreeMap::new(),
        }
    }

    /// Runs until `stop`.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.carry() => {}
        }
    }

    async fn carry(&mut self) {
        let mut news = self.peers.facts_changed();
        let mut look = tokio::time::interval(LOOK);
        let mut push_at = Instant::now();
        loop {
            let push = tokio::time::sleep_until(push_at);
            tokio::select! {
                fact = self.found.recv() => match fact {
                    Ok(fact) => self.state_all(fact),
                    // What was missed is known here all the same; others find it out themselves.
                    Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return,
                },
                () = push, if !self.unsent.is_empty() => {
                    self.peers.push_facts(&std::mem::take(&mut self.unsent));
                    push_at = Instant::now() + PUSH_EVERY;
                }
                Ok(()) = news.changed() => self.learn(),
                _ = look.tick() => self.learn(),
            }
        }
    }

    /// States a fact and those that wait behind it.
    fn state_all(&mut self, first: Fact) {
        self.state(first);
        while let Ok(fact) = self.found.try_recv() {
            self.state(fact);
        }
    }

    fn state(&mut self, fact: Fact) {
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
        self.unsent.insert(self.key(kind, request));
    }

    fn clear(&mut self, request: u64) {
        self.peers.clear_fact(Kind::Suspect, request);
        self.unsent.insert(self.key(Kind::Suspect, request));
    }

    fn key(&self, kind: Kind, subject: u64) -> Key {
        Key {
            author: self.me,
            kind,
            subject,
        }
    }

    /// Tells the quarantine what others state now and did not before, and what they no longer do.
    fn learn(&mut self) {
        let mut now = BTreeMap::new();
        // A request's refusal before the end of its suspicion, so that it is never let run between.
        for kind in [Kind::Poison, Kind::Suspect] {
            for fact in self.peers.active_facts(kind) {
                if fact.key.author == self.me {
                    continue;
                }
                now.insert(fact.key, fact.stamp);
                if self.told.get(&fact.key) != Some(&fact.stamp) {
                    self.tell(fact.key, statement(&fact));
                }
            }
        }
        let gone = self.told.keys().filter(|key| !now.contains_key(key));
        for key in gone.filter(|key| key.kind == Kind::Suspect) {
            self.tell(*key, Statement::Cleared);
        }
        self.told = now;
    }

    fn tell(&self, key: Key, statement: Statement) {
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
