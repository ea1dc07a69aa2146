//! Exchanges observations of upstreams between the monitor and the peers.

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

/// Lifetime of a fact that is not renewed, so that facts of a dead daemon expire.
const FACT_TTL: Duration = Duration::from_secs(30);
/// Interval at which published facts are renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of checks for expired facts.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Exchanges facts in both directions.
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
            () = self.exchange_facts() => {}
        }
    }

    async fn exchange_facts(&mut self) {
        let mut published = BTreeSet::new();
        let mut last_reported = Vec::new();
        let mut peer_facts = self.peers.facts_changed();
        let mut expiry_check = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
        let mut renew = tokio::time::interval(RENEW_INTERVAL);
        loop {
            tokio::select! {
                Ok(()) = self.observed.changed() => self.publish(&mut published),
                Ok(()) = peer_facts.changed() => self.report_to_monitor(&mut last_reported),
                _ = expiry_check.tick() => self.report_to_monitor(&mut last_reported),
                _ = renew.tick() => self.publish(&mut published),
                else => return,
            }
        }
    }

    /// Publishes the present observations of this daemon, and clears those that ended.
    fn publish(&mut self, published: &mut BTreeSet<(Kind, UpstreamId)>) {
        let observed = self.observed.borrow_and_update().clone();
        let now: BTreeSet<(Kind, UpstreamId)> = observed
            .iter()
            .map(|o| (kind(o.kind), UpstreamId::of(&o.upstream)))
            .collect();
        for &(kind, upstream) in &now {
            self.peers.set_fact(kind, upstream.0, 0, FACT_TTL);
        }
        for &(kind, upstream) in published.difference(&now) {
            self.peers.clear_fact(kind, upstream.0);
        }
        *published = now;
    }

    /// Sends the reports of other daemons to the monitor when they changed.
    fn report_to_monitor(&self, last_reported: &mut Vec<PeerReport>) {
        let own_id = NodeId::of(&self.peers.contact().name);
        let mut reports_by_upstream: BTreeMap<UpstreamId, PeerReport> = BTreeMap::new();
        for kind in [Kind::Leaving, Kind::Quarantine, Kind::Down] {
            let facts = self.peers.active_facts(kind);
            for fact in facts.iter().filter(|f| f.key.author != own_id) {
                let upstream = UpstreamId(fact.key.subject);
                let peer_report = reports_by_upstream.entry(upstream).or_insert(PeerReport {
                    upstream,
                    leaving: false,
                    down: 0,
                });
                match kind {
                    Kind::Down => peer_report.down += 1,
                    _ => peer_report.leaving = true,
                }
            }
        }
        let reports_by_upstream: Vec<PeerReport> = reports_by_upstream.into_values().collect();
        if *last_reported != reports_by_upstream {
            let _ = self
                .reports
                .send(Report::Peers(reports_by_upstream.clone()));
            *last_reported = reports_by_upstream;
        }
    }
}

fn kind(observation: ObservationKind) -> Kind {
    match observation {
        ObservationKind::Leaving => Kind::Leaving,
        ObservationKind::Down => Kind::Down,
    }
}
