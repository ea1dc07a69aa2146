//! Stand-ins with daemons in one process, and a register that changes under them.

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

const FREE: &str = "127.0.0.1:0";
const TOKEN: &str = "token-of-a-test";
/// Far above what anything here takes; only a fault lets a wait run into it.
const BOUND: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(20);
/// Short times, so that the tests end soon; what they assert does not hang on them.
const TIMES: &str = "state_poll = \"50 ms\"\nhost_list_poll = \"100 ms\"\nrequest = \"10 s\"\n";
const PLACEMENT: &str = "lease = \"1200 ms\"\norder_bound = \"200 ms\"\ninterval = \"50 ms\"\n\
                         improve_after = \"1 h\"\n";

static METRICS: LazyLock<PrometheusHandle> =
    LazyLock::new(|| install_metrics().expect("the first recorder of this process"));

/// Length of the placement lease in these settings.
pub(crate) const LEASE: Duration = Duration::from_millis(1200);
/// Longest time to the effect of an order in these settings.
pub(crate) const ORDER_BOUND: Duration = Duration::from_millis(200);
/// Time between two rounds in these settings.
pub(crate) const INTERVAL: Duration = Duration::from_millis(50);

/// Layers of the model; no engine may hold all of them.
pub(crate) const LAYERS: u32 = 12;

/// The model of the tests, in this version.
pub(crate) fn model(version: &str) -> Model {
    Model::new("caption", version, LAYERS)
}

/// Engines that hold nothing, in three failure domains.
pub(crate) fn empty(count: usize) -> FleetConfig {
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

/// The register of these stand-ins; weights of 8 layers fit on an engine.
pub(crate) fn register(fakes: &FakeFleet, version: &str) -> String {
    register_with(fakes, version, "10 GB")
}

/// The register of these stand-ins, with so much memory on each host; a layer takes 1 GB.
pub(crate) fn register_with(fakes: &FakeFleet, version: &str, memory: &str) -> String {
    let text = config_files::register(&fakes.view(), &[model(version)]);
    text.replace("memory = \"80 GB\"", &format!("memory = \"{memory}\""))
}

/// The rules of the tests.
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

/// Puts a register in force.
pub(crate) fn accept(fakes: &FakeFleet, generation: u64, register: &str) {
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

/// Starts a daemon beside the stand-ins.
pub(crate) async fn daemon(fakes: &FakeFleet, name: &str) -> Daemon {
    daemon_with(fakes, name, "600 ms").await
}

/// Starts a daemon to which a host is lost after so long.
pub(crate) async fn daemon_with(fakes: &FakeFleet, name: &str, lost_after: &str) -> Daemon {
    let addresses = DaemonAddresses {
        name,
        failure_domain: "domain-0",
        callers: FREE,
        operators: FREE,
        peers: FREE,
    };
    let tables = format!("{TIMES}[placement]\nlost_after = \"{lost_after}\"\n{PLACEMENT}");
    let text = config_files::settings(&fakes.view(), addresses, &tables);
    let settings = Settings::parse("settings", &text).expect("settings");
    Daemon::start(&settings, METRICS.clone())
        .await
        .expect("a daemon")
}

/// Waits until something holds.
pub(crate) async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(PAUSE).await;
        }
    };
    let waited = tokio::time::timeout(BOUND, wait).await;
    assert!(waited.is_ok(), "never came: {what}");
}

/// Waits until what an engine set shows holds.
pub(crate) async fn until_now(what: &str, holds: impl Fn() -> bool) {
    until(what, || std::future::ready(holds())).await;
}

/// The text that a daemon answers; `None` when it gives none.
pub(crate) async fn ask(daemon: &Daemon, prompt: &str, max_tokens: u32) -> Option<String> {
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

/// Waits until a daemon answers, and checks the answer against the model.
pub(crate) async fn answers(daemon: &Daemon, version: &str) {
    let expected = model(version).answer_text("valve", 8);
    until("a right answer", || async {
        match ask(daemon, "valve", 8).await {
            None => false,
            Some(text) => {
                assert_eq!(text, expected);
                true
            }
        }
    })
    .await;
}

/// The lease as it stands.
pub(crate) fn lease(fakes: &FakeFleet) -> Option<Record> {
    let object = fakes.object_api.get(LEASE_KIND, LEASE_NAME)?;
    Some(serde_json::from_str(&object.body).expect("a lease record"))
}

/// Whether engines that are up hold each layer of a version in two failure domains.
pub(crate) fn stands(engines: &[&Engine], version: &str) -> bool {
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

/// All engines of a set of stand-ins.
pub(crate) fn all(fakes: &FakeFleet) -> Vec<&Engine> {
    fakes.engines.iter().collect()
}

/// How many orders engines got so far.
pub(crate) fn orders(fakes: &FakeFleet) -> usize {
    fakes
        .engines
        .iter()
        .map(|e| e.ledger().orders().len())
        .sum()
}

/// Whether none of these engines holds anything of a version.
pub(crate) fn is_gone(engines: &[&Engine], version: &str) -> bool {
    let holds = |e: &Engine| e.state().loaded.iter().any(|r| r.version == version);
    !engines.iter().any(|e| holds(e))
}

/// Waits for a number of rounds.
pub(crate) async fn rounds(count: u32) {
    tokio::time::sleep(INTERVAL * count).await;
}
