//! Carries what daemons observe of upstreams between the monitor and the peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Peers;
use crate::upstreams::Observation;
use crate::upstreams::ObservationKind;
use crate::upstreams::PeerReport;
use crate::upstreams::Report;
use kelpworks_coord::facts::Kind;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::UpstreamId;

/// Life of a fact that is not renewed, so that the word of a daemon that is gone fades.
const TTL: Duration = Duration::from_secs(30);
/// How often standing facts are renewed.
const RENEW: Duration = Duration::from_secs(10);
/// How often facts are looked at for those that expired.
const LOOK: Duration = Duration::from_secs(1);

/// Carries facts both ways.
#[derive(Debug)]
pub(crate) struct UpstreamFacts {
    pub(crate) peers: Peers,
    pub(crate) observed: watch::Receiver<Vec<Observation>>,
    pub(crate) reports: mpsc::UnboundedSender<Report>,
}

impl UpstreamFacts {
    /// Runs until `stop`.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.carry() => {}
        }
    }

    async fn carry(&mut self) {
        let mut stated = BTreeSet::new();
        let mut told = Vec::new();
        let mut news = self.peers.facts_changed();
        let mut look = tokio::time::interval(LOOK);
        let mut renew = tokio::time::interval(RENEW);
        loop {
            tokio::select! {
                Ok(()) = self.observed.changed() => self.state(&mut stated),
                Ok(()) = news.changed() => self.tell(&mut told),
                _ = look.tick() => self.tell(&mut told),
                _ = renew.tick() => self.state(&mut stated),
                else => return,
            }
        }
    }

    /// States what this daemon observes now, and clears what it no longer does.
    fn state(&mut self, stated: &mut BTreeSet<(Kind, UpstreamId)>) {
        let observed = self.observed.borrow_and_update().clone();
        let now: BTreeSet<(Kind, UpstreamId)> = observed
            .iter()
            .map(|o| (kind(o.kind), UpstreamId::of(&o.upstream)))
            .collect();
        for &(kind, upstream) in &now {
            self.peers.set_fact(kind, upstream.0, 0, TTL);
        }
        for &(kind, upstream) in stated.difference(&now) {
            self.peers.clear_fact(kind, upstream.0);
        }
        *stated = now;
    }

    /// Tells the monitor what the others state, when it differs from what it was told.
    fn tell(&self, told: &mut Vec<PeerReport>) {
        let me = NodeId::of(&self.peers.contact().name);
        let mut words: BTreeMap<UpstreamId, PeerReport> = BTreeMap::new();
        for kind in [Kind::Leaving, Kind::Quarantine, Kind::Down] {
            let facts = self.peers.active_facts(kind);
            for fact in facts.iter().filter(|f| f.key.author != me) {
                let upstream = UpstreamId(fact.key.subject);
                let word = words.entry(upstream).or_insert(PeerReport {
                    upstream,
                    leaving: false,
                    down: 0,
                });
                match kind {
                    Kind::Down => word.down += 1,
                    _ => word.leaving = true,
                }
            }
        }
        let words: Vec<PeerReport> = words.into_values().collect();
        if *told != words {
            let _ = self.reports.send(Report::Peers(words.clone()));
            *told = words;
        }
    }
}

fn kind(trouble: ObservationKind) -> Kind {
    match trouble {
        ObservationKind::Leaving => Kind::Leaving,
        ObservationKind::Down => Kind::Down,
    }
}
