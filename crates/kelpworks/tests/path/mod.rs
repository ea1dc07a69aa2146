//! A fake fleet and daemons in one process, their callers, and a checker of the ledgers in which
//! the fake engines record the steps that they run.

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
/// Settings with short deadlines, so that a stalled engine is detected soon.
const TIMING: &str = "step_floor = \"60 ms\"\nstep_ceiling = \"300 ms\"\nstate_poll = \"50 ms\"\n\
                      host_list_poll = \"50 ms\"\nbalancer_notice = \"1 ms\"";
/// Guards against a hang; no assertion depends on its value.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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

/// The fake fleet and the daemons of one test.
#[derive(Debug)]
pub(crate) struct Bench {
    pub(crate) fakes: FakeFleet,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) model: Model,
}

/// Returns the metrics handle, which all tests of the process share.
fn metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let make = || PrometheusBuilder::new().build_recorder().handle();
    HANDLE.get_or_init(make).clone()
}

impl Bench {
    /// Starts [`STAGES`] stages of [`REPLICAS`] fake engines and `daemons` daemons, and waits until
    /// each daemon has a path. `iteration` is the base time that an engine takes for an iteration.
    pub(crate) async fn start(daemons: usize, iteration: Duration) -> Bench {
        let model = Model::new(MODEL, "1", LAYERS);
        let mut cfg = FleetConfig::pipeline(&model, STAGES, REPLICAS);
        for engine in &mut cfg.engines {
            engine.iteration_base = iteration;
        }
        Bench::start_with(cfg, model, daemons, TIMING).await
    }

    /// Starts a fake fleet and daemons with the settings text `timing`, and waits until each daemon
    /// has a path.
    pub(crate) async fn start_with(
        cfg: FleetConfig,
        model: Model,
        daemons: usize,
        timing: &str,
    ) -> Bench {
        let fakes = FakeFleet::spawn(cfg).await.expect("the fake fleet starts");
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
            wait_until("a daemon has a path", async || {
                let answer = caller.complete("first", 1).await.expect("an answer");
                matches!(answer.end, End::Whole(_))
            })
            .await;
        }
        bench
    }

    /// Base URL of the callers' API of the `n`th daemon.
    pub(crate) fn base_url(&self, n: usize) -> String {
        format!("http://{}", self.daemons[n].bound_addresses().callers)
    }

    /// Returns a caller of the paying team at the `n`th daemon.
    pub(crate) fn caller(&self, n: usize) -> Caller {
        Caller::new(&self.base_url(n), PAYING.token, MODEL)
    }

    /// Returns the replica of a stage that has run the most steps of a session.
    pub(crate) fn engine_of(&self, session: &str, stage: usize) -> &Engine {
        let replicas = REPLICAS as usize;
        let replicas_of_stage = &self.fakes.engines[stage * replicas..(stage + 1) * replicas];
        let runs = |e: &&Engine| e.ledger().runs_of(session).len();
        let engine = replicas_of_stage
            .iter()
            .max_by_key(runs)
            .expect("a replica");
        assert!(runs(&engine) > 0, "stage {stage} ran nothing of {session}");
        engine
    }

    /// Waits until no engine has a session or reserved KV memory.
    pub(crate) async fn wait_until_kv_freed(&self) {
        for engine in &self.fakes.engines {
            let what = format!("{} is free", engine.name());
            wait_until(&what, async || {
                engine.sessions() == 0 && engine.kv_free() == engine.config().kv_capacity
            })
            .await;
        }
    }
}

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out while waiting for: {what}");
}
