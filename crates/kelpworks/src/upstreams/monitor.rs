//! Task that owns the view of the fleet and publishes snapshots of it.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clients::engine::HttpEngine;
use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::register::Register;
use crate::upstreams::Observation;
use crate::upstreams::PeerReport;
use crate::upstreams::Report;
use crate::upstreams::poll;
use crate::upstreams::view::View;

/// Settings of the monitor.
#[derive(Clone, Debug)]
pub struct UpstreamMonitorConfig {
    /// Interval of polls of each upstream.
    pub state_poll: Duration,
    /// Timeout of a poll on one connection.
    pub poll_deadline: Duration,
}

/// Owner of the view of the fleet; see [`UpstreamMonitor::run`].
#[derive(Debug)]
pub struct UpstreamMonitor {
    cfg: UpstreamMonitorConfig,
    engine: Arc<HttpEngine>,
    view: View,
    fleet: Arc<ArcSwap<Fleet>>,
    reports: mpsc::UnboundedReceiver<Report>,
    reports_tx: mpsc::UnboundedSender<Report>,
    register: watch::Receiver<Arc<Register>>,
    observed: watch::Sender<Vec<Observation>>,
}

impl UpstreamMonitor {
    /// Creates a monitor that publishes snapshots into `fleet`.
    pub fn new(
        cfg: UpstreamMonitorConfig,
        engine: Arc<HttpEngine>,
        register: watch::Receiver<Arc<Register>>,
        fleet: Arc<ArcSwap<Fleet>>,
    ) -> UpstreamMonitor {
        let (reports_tx, reports) = mpsc::unbounded_channel();
        UpstreamMonitor {
            cfg,
            engine,
            view: View::default(),
            fleet,
            reports,
            reports_tx,
            register,
            observed: watch::Sender::default(),
        }
    }

    /// Returns a sender of reports to this monitor.
    pub fn reports(&self) -> mpsc::UnboundedSender<Report> {
        self.reports_tx.clone()
    }

    /// Returns the observations of this daemon itself, for dissemination to peers.
    pub fn observed(&self) -> watch::Receiver<Vec<Observation>> {
        self.observed.subscribe()
    }

    /// Runs until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        self.apply_register();
        let mut poll = tokio::time::interval(self.cfg.state_poll);
        poll.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = poll.tick() => self.poll_all(),
                changed = self.register.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.apply_register();
                    self.poll_all();
                }
                Some(report) = self.reports.recv() => {
                    if self.apply(report) {
                        self.publish();
                    }
                }
            }
        }
    }

    fn apply_register(&mut self) {
        let register = Arc::clone(&self.register.borrow_and_update());
        self.view.apply_register(&register);
        self.publish();
    }

    /// Publishes a snapshot. Needed after a change of health, layer assignments or incarnation;
    /// loads are in the counters, which snapshots share.
    fn publish(&mut self) {
        self.view.refresh_index();
        self.fleet.store(Arc::new(self.view.fleet.clone()));
        let observed = self.view.observed();
        self.observed
            .send_if_modified(|old| std::mem::replace(old, observed.clone()) != observed);
    }

    /// Applies a report; returns whether a new snapshot has to be published.
    fn apply(&mut self, report: Report) -> bool {
        match report {
            Report::Suspect(key) => {
                self.poll_one(key);
                let changed = self.view.record_failure(key);
                self.log_change(changed, key, "failed under a request")
            }
            Report::State(key, state) => {
                let changed = self.view.apply_state(key, &state);
                self.log_change(changed, key, "state of the engine")
            }
            Report::Service(key, live) => {
                let changed = self.view.record_answer(key, !live);
                self.log_change(changed, key, "health of the service")
            }
            Report::PollFailed(key) => {
                let changed = self.view.record_missed_poll(key);
                self.log_change(changed, key, "no answer to a poll")
            }
            Report::HostList(hosts) => self.view.apply_host_list(&hosts),
            Report::Peers(peer_reports) => self.apply_peer_reports(&peer_reports),
        }
    }

    fn apply_peer_reports(&mut self, peer_reports: &[PeerReport]) -> bool {
        let changed = self.view.apply_peer_reports(peer_reports);
        for &key in &changed {
            self.log_change(true, key, "reports of other daemons");
            self.poll_one(key);
        }
        !changed.is_empty()
    }

    fn log_change(&self, changed: bool, key: UpstreamKey, reason: &'static str) -> bool {
        if let Some(upstream) = self.view.fleet.upstreams.get(key).filter(|_| changed) {
            info!(
                target: "decision", decision = "health", upstream = &*upstream.name,
                health:? = upstream.health, holdings = upstream.layer_assignments.len(), reason = reason;
                "upstream changed"
            );
        }
        changed
    }

    fn poll_all(&self) {
        for key in self.view.fleet.upstreams.keys() {
            self.poll_one(key);
        }
    }

    fn poll_one(&self, key: UpstreamKey) {
        let Some(upstream) = self.view.fleet.upstreams.get(key) else {
            return;
        };
        let poll = poll::Poll {
            key,
            url: Arc::clone(&upstream.url),
            service: upstream.service.is_some(),
            deadline: self.cfg.poll_deadline,
            counters: Arc::clone(&upstream.counters),
        };
        let engine = Arc::clone(&self.engine);
        let tx = self.reports_tx.clone();
        tokio::spawn(async move {
            let report = poll.run(&engine).await;
            let _ = tx.send(report);
        });
    }
}
