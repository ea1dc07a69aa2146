//! What other daemons state of an upstream, and what this daemon makes of it.

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
use peers::until;

const ENGINE: &str = "engine-0-0";

struct Kept {
    fakes: FakeFleet,
    fleet: Arc<ArcSwap<Fleet>>,
    reports: mpsc::UnboundedSender<Report>,
    observed: watch::Receiver<Vec<Observation>>,
    _register: watch::Sender<Arc<Register>>,
    stop: CancellationToken,
}

impl Kept {
    async fn start(state_poll: Duration) -> Kept {
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
        let keeper = UpstreamMonitor::new(cfg, engine, register, Arc::clone(&fleet));
        let (reports, observed) = (keeper.reports(), keeper.observed());
        let stop = CancellationToken::new();
        tokio::spawn(keeper.run(stop.clone()));
        let kept = Kept {
            fakes,
            fleet,
            reports,
            observed,
            _register: register_tx,
            stop,
        };
        kept.engine_is(Health::Live).await;
        kept
    }

    fn health(&self) -> Option<Health> {
        let fleet = self.fleet.load();
        let mut upstreams = fleet.upstreams.values();
        upstreams.find(|u| &*u.name == ENGINE).map(|u| u.health)
    }

    async fn engine_is(&self, health: Health) {
        let what = format!("the engine is {health:?}");
        until(&what, async || self.health() == Some(health)).await;
    }

    fn peers_say(&self, leaving: bool, down: u32) {
        let upstream = UpstreamId::of(ENGINE);
        let word = PeerReport {
            upstream,
            leaving,
            down,
        };
        let words = if leaving || down > 0 {
            vec![word]
        } else {
            Vec::new()
        };
        self.reports.send(Report::Peers(words)).expect("a keeper");
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

#[tokio::test]
async fn a_peers_word_of_leaving_holds_until_it_is_taken_back() {
    let kept = Kept::start(Duration::from_millis(50)).await;
    kept.peers_say(true, 0);
    kept.engine_is(Health::Leaving).await;
    kept.peers_say(false, 0);
    kept.engine_is(Health::Live).await;
    assert!(
        kept.observed.borrow().is_empty(),
        "a peer's word is not passed on as one's own"
    );
}

#[tokio::test]
async fn an_own_answer_counts_for_more_than_peers_word_of_down() {
    // Polls but for the one that the word causes are hours apart.
    let kept = Kept::start(Duration::from_secs(36_000)).await;
    let polls = || kept.fakes.engines[0].faults().clone();
    polls().set_connection_mode(ConnectionMode::Pass);
    kept.peers_say(false, 2);
    kept.engine_is(Health::Live).await;
}

#[tokio::test]
async fn peers_word_of_down_makes_one_missed_poll_enough() {
    let kept = Kept::start(Duration::from_secs(36_000)).await;
    kept.fakes.engines[0]
        .faults()
        .set_connection_mode(ConnectionMode::Refuse);
    kept.peers_say(false, 2);
    kept.engine_is(Health::Down).await;
}

#[tokio::test]
async fn silence_of_an_upstream_is_observed_for_others() {
    let mut kept = Kept::start(Duration::from_millis(50)).await;
    kept.fakes.engines[0]
        .faults()
        .set_connection_mode(ConnectionMode::Refuse);
    kept.engine_is(Health::Down).await;
    let seen = kept
        .observed
        .wait_for(|o| !o.is_empty())
        .await
        .expect("a keeper");
    let kinds: Vec<(&str, ObservationKind)> = seen.iter().map(|o| (&*o.upstream, o.kind)).collect();
    assert_eq!(kinds, [(ENGINE, ObservationKind::Down)]);
}
