//! A fake fleet and daemons in one process, and functions to change the active register.

#![allow(dead_code, reason = "each test file uses a part")]

use std::future::Future;
use std::sync::LazyLock;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;

use kelpworks::config::head::BLOB_KIND;
use kelpworks::config::head::Generation;
use kelpworks::config::head::HEAD_KIND;
use kelpworks::config::head::HEAD_NAME;
use kelpworks::config::head::Head;
use kelpworks::config::head::Nonce;
use kelpworks::config::head::Part;
use kelpworks::config::head::digest_of;
use kelpworks::config::head::to_body;
use kelpworks::daemon::Daemon;
use kelpworks::daemon::install_metrics;
use kelpworks::executor::LEASE_KIND;
use kelpworks::executor::LEASE_NAME;
use kelpworks::settings::Settings;
use kelpworks_coord::lease::Record;
use kelpworks_fakes::Engine;
use kelpworks_fakes::EngineConfig;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_fakes::config_files;
use kelpworks_fakes::config_files::DaemonAddresses;
use kelpworks_fakes::config_files::Team;
use kelpworks_wire::LoadedRange;

const ANY_PORT: &str = "127.0.0.1:0";
const TOKEN: &str = "token-of-a-test";
/// Far longer than any wait here takes, so that only a fault reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Short times, so that the tests end soon; no assertion depends on them.
const TIMING_TOML: &str =
    "state_poll = \"50 ms\"\nhost_list_poll = \"100 ms\"\nrequest = \"10 s\"\n";
const PLACEMENT_TOML: &str = "lease = \"1200 ms\"\norder_bound = \"200 ms\"\ninterval = \"50 ms\"\n\
                         improve_after = \"1 h\"\n";

static METRICS: LazyLock<PrometheusHandle> =
    LazyLock::new(|| install_metrics().expect("the first recorder of this process"));

/// Duration of the placement lease in the settings of the tests.
pub(crate) const LEASE_DURATION: Duration = Duration::from_millis(1200);
/// Maximum time until an order takes effect, in the settings of the tests.
pub(crate) const ORDER_BOUND: Duration = Duration::from_millis(200);
/// Time between two placement rounds in the settings of the tests.
pub(crate) const PLACEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// Layers of the model. With the memory of [`register`], no engine has capacity for all of them.
pub(crate) const LAYERS: u32 = 12;

/// Returns a version of the model of the tests.
pub(crate) fn model(version: &str) -> Model {
    Model::new("caption", version, LAYERS)
}

/// Configures `count` engines without loaded layers, spread over three failure domains.
pub(crate) fn empty_engines(count: usize) -> FleetConfig {
    let engine = |n: usize| {
        let mut cfg = EngineConfig::new(&format!("engine-{n}"), vec![model("1")]);
        cfg.failure_domain = format!("domain-{}", n % 3);
        cfg
    };
    FleetConfig {
        engines: (0..count).map(engine).collect(),
        ..FleetConfig::default()
    }
}

/// Returns the register of the fake fleet; the weights of 8 layers fit on an engine.
pub(crate) fn register(fakes: &FakeFleet, version: &str) -> String {
    register_with(fakes, version, "10 GB")
}

/// Returns the register of the fake fleet with `memory` on each host; a layer takes 1 GB.
pub(crate) fn register_with(fakes: &FakeFleet, version: &str, memory: &str) -> String {
    let text = config_files::register(&fakes.view(), &[model(version)]);
    text.replace("memory = \"80 GB\"", &format!("memory = \"{memory}\""))
}

/// Returns rules with one paying team, whose token is [`TOKEN`].
pub(crate) fn rules() -> String {
    let digest = digest_of(TOKEN).to_string();
    let team = Team {
        name: "authority",
        class: "paying",
        weight: 1,
        token_sha256: &digest,
    };
    config_files::rules(0.2, &[team], &[])
}

/// Stores a register and the rules in the object API and makes them the head.
pub(crate) fn activate_register(fakes: &FakeFleet, generation: u64, register: &str) {
    let rules = rules();
    let part = |text: &str| Part {
        digest: digest_of(text),
        since: Generation(generation),
        nonce: Nonce(generation),
    };
    let head = Head {
        generation: Generation(generation),
        register: Some(part(register)),
        rules: Some(part(&rules)),
    };
    for text in [register, &rules] {
        let name = digest_of(text).to_string();
        fakes.object_api.put(BLOB_KIND, &name, text);
    }
    let body = to_body(&head).expect("a head has a body");
    fakes.object_api.put(HEAD_KIND, HEAD_NAME, &body);
}

/// Starts a daemon that treats a host as lost after 600 ms.
pub(crate) async fn start_daemon(fakes: &FakeFleet, name: &str) -> Daemon {
    start_daemon_with(fakes, name, "600 ms").await
}

/// Starts a daemon that treats a host as lost after `lost_after`.
pub(crate) async fn start_daemon_with(fakes: &FakeFleet, name: &str, lost_after: &str) -> Daemon {
    let addresses = DaemonAddresses {
        name,
        failure_domain: "domain-0",
        callers: ANY_PORT,
        operators: ANY_PORT,
        peers: ANY_PORT,
    };
    let tables =
        format!("{TIMING_TOML}[placement]\nlost_after = \"{lost_after}\"\n{PLACEMENT_TOML}");
    let text = config_files::settings(&fakes.view(), addresses, &tables);
    let settings = Settings::parse("settings", &text).expect("settings");
    Daemon::start(&settings, METRICS.clone())
        .await
        .expect("a daemon")
}

/// Polls until a check succeeds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until<F: Future<Output = bool>>(
    what: &str,
    mut condition: impl FnMut() -> F,
) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out while waiting for: {what}");
}

/// Like [`wait_until`], for a check that needs no await.
pub(crate) async fn wait_until_sync(what: &str, condition: impl Fn() -> bool) {
    wait_until(what, || std::future::ready(condition())).await;
}

/// Returns the text of a completion; `None` on a connection error, an error status or a body that
/// is not a completion.
pub(crate) async fn request_completion(
    daemon: &Daemon,
    prompt: &str,
    max_tokens: u32,
) -> Option<String> {
    let body = serde_json::json!({
        "model": "caption", "prompt": prompt, "max_tokens": max_tokens,
    });
    let url = format!("http://{}/v1/completions", daemon.bound_addresses().callers);
    let req = reqwest::Client::new().post(url).bearer_auth(TOKEN);
    let res = req.json(&body).send().await.ok()?;
    if !res.status().is_success() {
        return None;
    }
    let answer: kelpworks_wire::CompletionResponse = res.json().await.ok()?;
    Some(answer.choices[0].text.clone())
}

/// Waits until a daemon answers, and asserts that the answer is that of the model.
pub(crate) async fn wait_for_correct_answer(daemon: &Daemon, version: &str) {
    let expected = model(version).answer_text("valve", 8);
    wait_until("a correct answer", || async {
        match request_completion(daemon, "valve", 8).await {
            None => false,
            Some(text) => {
                assert_eq!(text, expected);
                true
            }
        }
    })
    .await;
}

/// Reads the current lease record from the object API; `None` when there is none.
pub(crate) fn lease_record(fakes: &FakeFleet) -> Option<Record> {
    let object = fakes.object_api.get(LEASE_KIND, LEASE_NAME)?;
    Some(serde_json::from_str(&object.body).expect("a lease record"))
}

/// Whether engines that are up have each layer of a version loaded in at least two failure
/// domains.
pub(crate) fn is_redundantly_placed(engines: &[&Engine], version: &str) -> bool {
    (0..LAYERS).all(|layer| {
        let holds = |r: &LoadedRange| {
            r.version == version && r.layers.first <= layer && layer < r.layers.end
        };
        let holders = engines
            .iter()
            .filter(|e| e.state().loaded.iter().any(holds));
        let mut domains: Vec<&str> = holders
            .map(|e| e.config().failure_domain.as_str())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len() >= 2
    })
}

pub(crate) fn all_engines(fakes: &FakeFleet) -> Vec<&Engine> {
    fakes.engines.iter().collect()
}

/// Returns how many orders the engines have received so far.
pub(crate) fn order_count(fakes: &FakeFleet) -> usize {
    fakes
        .engines
        .iter()
        .map(|e| e.ledger().orders().len())
        .sum()
}

/// Whether none of these engines has any layer of a version loaded.
pub(crate) fn is_unloaded(engines: &[&Engine], version: &str) -> bool {
    let holds = |e: &Engine| e.state().loaded.iter().any(|r| r.version == version);
    !engines.iter().any(|e| holds(e))
}

/// Waits for the time of `count` placement rounds.
pub(crate) async fn wait_rounds(count: u32) {
    tokio::time::sleep(PLACEMENT_INTERVAL * count).await;
}
