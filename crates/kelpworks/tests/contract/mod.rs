//! A daemon between the stand-ins and servers that answer as a test wants.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod answer;
pub(crate) mod mangle;
pub(crate) mod script;

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::caller::Caller;
use crate::support;
use kelpworks::clients::object_api::Deadlines;
use kelpworks::clients::object_api::HttpObjectApi;
use kelpworks::config::accept;
use kelpworks::config::accept::PartKind;
use kelpworks::config::accept::Proposal;
use kelpworks::config::accept::RetryPolicy;
use kelpworks::config::head::digest_of;
use kelpworks::daemon::Daemon;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_fakes::config_files;
use kelpworks_fakes::fleet::FleetView;

pub(crate) const MODEL: &str = "demo";
pub(crate) const LAYERS: u32 = 12;
pub(crate) const STAGES: u32 = 2;
/// The plain service; its calls `PUT /certificates` may run only once.
pub(crate) const SERVICE: &str = "jobs";
pub(crate) const TEAM: &str = "merchandisers";
pub(crate) const TOKEN: &str = "contract-token";
/// Short deadlines, so that a silent engine is found soon.
const TIMING: &str = "step_floor = \"60 ms\"\nstep_ceiling = \"300 ms\"\nstate_poll = \"50 ms\"\n\
                      host_list_poll = \"50 ms\"\nbalancer_notice = \"1 ms\"";
/// Bound on a wait; never what a verdict rests on.
const BOUND: Duration = Duration::from_secs(20);
/// Pause between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(10);

/// Stand-ins and a daemon whose register may name other addresses than theirs.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) fakes: FakeFleet,
    pub(crate) daemon: Daemon,
    pub(crate) model: Model,
}

impl Setup {
    /// Starts them. `redirect` changes what the register says of the stand-ins; `timing` is added
    /// to the daemon's settings.
    pub(crate) async fn start(redirect: impl AsyncFnOnce(&mut FleetView), timing: &str) -> Setup {
        let model = Model::new(MODEL, "1", LAYERS);
        let cfg = FleetConfig::pipeline(&model, STAGES, 1);
        let fakes = FakeFleet::spawn(cfg).await.expect("stand-ins");
        let mut view = fakes.view();
        redirect(&mut view).await;
        put_config(&view, &model).await;
        let timing = format!("{TIMING}\n{timing}");
        let daemons = support::start_daemons(&fakes, 1, &timing, &metrics()).await;
        Setup {
            fakes,
            daemon: daemons.expect("a daemon").remove(0),
            model,
        }
    }

    /// Base URL for callers.
    pub(crate) fn base(&self) -> String {
        format!("http://{}", self.daemon.bound_addresses().callers)
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::new(&self.base(), TOKEN, MODEL)
    }
}

/// One recorder for all tests of a process.
fn metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let make = || PrometheusBuilder::new().build_recorder().handle();
    HANDLE.get_or_init(make).clone()
}

/// Accepts a register and rules as an operator does.
async fn put_config(view: &FleetView, model: &Model) {
    let team = config_files::Team {
        name: TEAM,
        class: "paying",
        weight: 1,
        token_sha256: &digest_of(TOKEN).to_string(),
    };
    let register = config_files::register(view, std::slice::from_ref(model));
    let once = config_files::NonIdempotentCall {
        service: SERVICE,
        method: "PUT",
        path: "/certificates",
    };
    let rules = config_files::rules(0.5, &[team], &[once]);
    let api = HttpObjectApi::new(&view.object_api, Deadlines::default()).expect("a URL");
    for (which, text) in [(PartKind::Register, register), (PartKind::Rules, rules)] {
        let proposal = Proposal::new(which, "contract", text);
        let accepted = accept::accept(&api, &proposal, RetryPolicy::default()).await;
        accepted.expect("a valid configuration");
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
