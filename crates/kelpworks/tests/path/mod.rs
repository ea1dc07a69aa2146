//! Stand-ins and daemons in one process, callers of them, and a checker of the engines' ledgers.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod lineage;

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::caller::Caller;
use crate::caller::End;
use crate::support;
use crate::support::ExampleTeam;
use kelpworks::daemon::Daemon;
use kelpworks_fakes::Engine;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;

pub(crate) const MODEL: &str = "demo";
pub(crate) const LAYERS: u32 = 12;
pub(crate) const STAGES: u32 = 3;
pub(crate) const REPLICAS: u32 = 2;
/// Short deadlines, so that a silent engine is found soon.
const TIMING: &str = "step_floor = \"60 ms\"\nstep_ceiling = \"300 ms\"\nstate_poll = \"50 ms\"\n\
                      host_list_poll = \"50 ms\"\nbalancer_notice = \"1 ms\"";
/// Bound on a wait; never what a verdict rests on.
const BOUND: Duration = Duration::from_secs(20);
/// Pause between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(10);

pub(crate) const PAYING: ExampleTeam = ExampleTeam {
    name: "merchandisers",
    class: "paying",
    weight: 1,
    token: "path-paying",
};
pub(crate) const TRIAL: ExampleTeam = ExampleTeam {
    name: "trial-sellers",
    class: "trial",
    weight: 1,
    token: "path-trial",
};

/// What runs in a test.
#[derive(Debug)]
pub(crate) struct Bench {
    pub(crate) fakes: FakeFleet,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) model: Model,
}

/// One recorder for all tests of a process.
fn metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let make = || PrometheusBuilder::new().build_recorder().handle();
    HANDLE.get_or_init(make).clone()
}

impl Bench {
    /// Starts the stand-ins and `daemons` daemons, and waits until each has a path.
    pub(crate) async fn start(daemons: usize, iteration: Duration) -> Bench {
        let model = Model::new(MODEL, "1", LAYERS);
        let mut cfg = FleetConfig::pipeline(&model, STAGES, REPLICAS);
        for engine in &mut cfg.engines {
            engine.iteration_base = iteration;
        }
        Bench::of(cfg, model, daemons, TIMING).await
    }

    /// Starts a set of stand-ins and daemons with these timings.
    pub(crate) async fn of(cfg: FleetConfig, model: Model, daemons: usize, timing: &str) -> Bench {
        let fakes = FakeFleet::spawn(cfg).await.expect("stand-ins");
        support::put_config(&fakes, std::slice::from_ref(&model), 0.5, &[PAYING, TRIAL])
            .expect("a valid configuration");
        let daemons = support::start_daemons(&fakes, daemons, timing, &metrics()).await;
        let bench = Bench {
            fakes,
            daemons: daemons.expect("daemons"),
            model,
        };
        for n in 0..bench.daemons.len() {
            let caller = bench.caller(n);
            until("a daemon has a path", async || {
                let answer = caller.complete("first", 1).await.expect("an answer");
                matches!(answer.end, End::Whole(_))
            })
            .await;
        }
        bench
    }

    /// Base URL for callers of the `n`th daemon.
    pub(crate) fn base(&self, n: usize) -> String {
        format!("http://{}", self.daemons[n].bound_addresses().callers)
    }

    /// A caller of the paying team at the `n`th daemon.
    pub(crate) fn caller(&self, n: usize) -> Caller {
        Caller::new(&self.base(n), PAYING.token, MODEL)
    }

    /// The replica of a stage that runs a session.
    pub(crate) fn engine_of(&self, session: &str, stage: usize) -> &Engine {
        let replicas = REPLICAS as usize;
        let of_stage = &self.fakes.engines[stage * replicas..(stage + 1) * replicas];
        let runs = |e: &&Engine| e.ledger().runs_of(session).len();
        let engine = of_stage.iter().max_by_key(runs).expect("a replica");
        assert!(runs(&engine) > 0, "stage {stage} ran nothing of {session}");
        engine
    }

    /// Waits until no engine holds memory of any session.
    pub(crate) async fn until_free(&self) {
        for engine in &self.fakes.engines {
            let what = format!("{} is free", engine.name());
            until(&what, async || {
                engine.sessions() == 0 && engine.kv_free() == engine.config().kv_capacity
            })
            .await;
        }
    }
}

/// Waits, within a bound, until something is so.
pub(crate) async fn until(what: &str, is_so: impl AsyncFn() -> bool) {
    let wait = async {
        while !is_so().await {
            tokio::time::sleep(LOOK).await;
        }
    };
    let waited = tokio::time::timeout(BOUND, wait).await;
    assert!(waited.is_ok(), "not within the bound: {what}");
}
