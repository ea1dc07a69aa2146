//! A daemon in front of fakes, of which a test may replace some by servers with scripted replies.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod answer;
pub(crate) mod proxy;
pub(crate) mod scripted_server;

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
/// The plain service. The rules declare its calls `PUT /certificates` as non-idempotent.
pub(crate) const SERVICE: &str = "jobs";
pub(crate) const TEAM: &str = "merchandisers";
pub(crate) const TOKEN: &str = "contract-token";
/// Timing settings with short timeouts, so that a silent engine is detected soon.
const TIMING: &str = "step_floor = \"60 ms\"\nstep_ceiling = \"300 ms\"\nstate_poll = \"50 ms\"\n\
                      host_list_poll = \"50 ms\"\nbalancer_notice = \"1 ms\"";
/// Timeout of [`wait_until`], so that a hanging test fails. No assertion depends on it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fakes and a daemon whose register may name other addresses than those of the fakes.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) fakes: FakeFleet,
    pub(crate) daemon: Daemon,
    pub(crate) model: Model,
}

impl Setup {
    /// Starts fakes and a daemon. `redirect` may change the addresses that the register gives for
    /// the fakes; `timing` is added to the daemon's settings after [`TIMING`].
    pub(crate) async fn start(redirect: impl AsyncFnOnce(&mut FleetView), timing: &str) -> Setup {
        let model = Model::new(MODEL, "1", LAYERS);
        let cfg = FleetConfig::pipeline(&model, STAGES, 1);
        let fakes = FakeFleet::spawn(cfg).await.expect("fakes must start");
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

    /// Returns the base URL for callers.
    pub(crate) fn base(&self) -> String {
        format!("http://{}", self.daemon.bound_addresses().callers)
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::new(&self.base(), TOKEN, MODEL)
    }
}

/// Returns the metrics recorder, which all tests of a process share.
fn metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let make = || PrometheusBuilder::new().build_recorder().handle();
    HANDLE.get_or_init(make).clone()
}

/// Stores a register and rules in the object API through the acceptance that operators use.
async fn put_config(view: &FleetView, model: &Model) {
    let team = config_files::Team {
        name: TEAM,
        class: "paying",
        weight: 1,
        token_sha256: &digest_of(TOKEN).to_string(),
    };
    let register = config_files::register(view, std::slice::from_ref(model));
    let non_idempotent = config_files::NonIdempotentCall {
        service: SERVICE,
        method: "PUT",
        path: "/certificates",
    };
    let rules = config_files::rules(0.5, &[team], &[non_idempotent]);
    let api = HttpObjectApi::new(&view.object_api, Deadlines::default()).expect("a URL");
    for (kind, text) in [(PartKind::Register, register), (PartKind::Rules, rules)] {
        let proposal = Proposal::new(kind, "contract", text);
        let accepted = accept::accept(&api, &proposal, RetryPolicy::default()).await;
        accepted.expect("a valid configuration");
    }
}

/// Polls until the condition is true; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(
        waited.is_ok(),
        "condition not met within WAIT_TIMEOUT: {what}"
    );
}
