//! Effect of the reports of other daemons about an upstream on its health at this daemon.

mod peers;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use kelpworks::clients::engine::HttpEngine;
use kelpworks::fleet::Fleet;
use kelpworks::fleet::Health;
use kelpworks::register::Register;
use kelpworks::upstreams::Observation;
use kelpworks::upstreams::ObservationKind;
use kelpworks::upstreams::PeerReport;
use kelpworks::upstreams::Report;
use kelpworks::upstreams::UpstreamMonitor;
use kelpworks::upstreams::UpstreamMonitorConfig;
use kelpworks_coord::id::UpstreamId;
use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_fakes::config_files;
use peers::wait_until;

const ENGINE: &str = "engine-0-0";

/// A fake fleet of one engine and the upstream monitor that polls it.
struct MonitoredFleet {
    fakes: FakeFleet,
    fleet: Arc<ArcSwap<Fleet>>,
    reports: mpsc::UnboundedSender<Report>,
    observed: watch::Receiver<Vec<Observation>>,
    _register: watch::Sender<Arc<Register>>,
    stop: CancellationToken,
}

impl MonitoredFleet {
    async fn start(state_poll: Duration) -> MonitoredFleet {
        let model = Model::new("caption", "1", 4);
        let fakes = FakeFleet::spawn(FleetConfig::pipeline(&model, 1, 1))
            .await
            .expect("ports");
        let text = config_files::register(&fakes.view(), &[model]);
        let register = Register::parse("register", &text).expect("a register");
        let (register_tx, register) = watch::channel(Arc::new(register));
        let fleet = Arc::new(ArcSwap::from_pointee(Fleet::default()));
        let cfg = UpstreamMonitorConfig {
            state_poll,
            poll_deadline: Duration::from_secs(5),
        };
        let engine = Arc::new(HttpEngine::new(Duration::from_secs(5)));
        let monitor = UpstreamMonitor::new(cfg, engine, register, Arc::clone(&fleet));
        let (reports, observed) = (monitor.reports(), monitor.observed());
        let stop = CancellationToken::new();
        tokio::spawn(monitor.run(stop.clone()));
        let monitored = MonitoredFleet {
            fakes,
            fleet,
            reports,
            observed,
            _register: register_tx,
            stop,
        };
        monitored.wait_for_health(Health::Live).await;
        monitored
    }

    fn health(&self) -> Option<Health> {
        let fleet = self.fleet.load();
        let mut upstreams = fleet.upstreams.values();
        upstreams.find(|u| &*u.name == ENGINE).map(|u| u.health)
    }

    async fn wait_for_health(&self, health: Health) {
        let what = format!("the engine is {health:?}");
        wait_until(&what, async || self.health() == Some(health)).await;
    }

    fn send_peer_report(&self, leaving: bool, down: u32) {
        let upstream = UpstreamId::of(ENGINE);
        let report = PeerReport {
            upstream,
            leaving,
            down,
        };
        let reports = if leaving || down > 0 {
            vec![report]
        } else {
            Vec::new()
        };
        self.reports
            .send(Report::Peers(reports))
            .expect("the monitor runs");
    }
}

impl Drop for MonitoredFleet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

#[tokio::test]
async fn peer_report_of_leaving_applies_until_withdrawn() {
    let monitored = MonitoredFleet::start(Duration::from_millis(50)).await;
    monitored.send_peer_report(true, 0);
    monitored.wait_for_health(Health::Leaving).await;
    monitored.send_peer_report(false, 0);
    monitored.wait_for_health(Health::Live).await;
    assert!(
        monitored.observed.borrow().is_empty(),
        "a report of a peer is passed on as an own observation"
    );
}

#[tokio::test]
async fn answered_poll_outweighs_peer_reports_of_down() {
    // Polls are hours apart, except the one that the report triggers.
    let monitored = MonitoredFleet::start(Duration::from_secs(36_000)).await;
    let engine_faults = || monitored.fakes.engines[0].faults().clone();
    engine_faults().set_connection_mode(ConnectionMode::Pass);
    monitored.send_peer_report(false, 2);
    monitored.wait_for_health(Health::Live).await;
}

#[tokio::test]
async fn one_missed_poll_marks_down_after_peer_reports() {
    let monitored = MonitoredFleet::start(Duration::from_secs(36_000)).await;
    monitored.fakes.engines[0]
        .faults()
        .set_connection_mode(ConnectionMode::Refuse);
    monitored.send_peer_report(false, 2);
    monitored.wait_for_health(Health::Down).await;
}

#[tokio::test]
async fn unreachable_upstream_is_observed_for_peers() {
    let mut monitored = MonitoredFleet::start(Duration::from_millis(50)).await;
    monitored.fakes.engines[0]
        .faults()
        .set_connection_mode(ConnectionMode::Refuse);
    monitored.wait_for_health(Health::Down).await;
    let seen = monitored
        .observed
        .wait_for(|o| !o.is_empty())
        .await
        .expect("the monitor runs");
    let kinds: Vec<(&str, ObservationKind)> = seen.iter().map(|o| (&*o.upstream, o.kind)).collect();
    assert_eq!(kinds, [(ENGINE, ObservationKind::Down)]);
}
