//! Starts fakes and daemons in one process; shared by the examples and the integration tests.

#![allow(dead_code, reason = "each example uses a part")]

use std::error::Error;
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
use kelpworks::register::Register;
use kelpworks::rules::Rules;
use kelpworks::settings::Settings;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_fakes::config_files;
use kelpworks_fakes::config_files::DaemonAddresses;
use kelpworks_fakes::config_files::NonIdempotentCall;
use kelpworks_fakes::config_files::Team;

pub(crate) mod client;

pub(crate) type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// Loopback address at which the system picks a free port.
const FREE_PORT: &str = "127.0.0.1:0";
/// Time limit for all daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A team and its token in plain text, which the rules hold as a digest only.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExampleTeam {
    pub(crate) name: &'static str,
    pub(crate) class: &'static str,
    pub(crate) weight: u32,
    pub(crate) token: &'static str,
}

/// Stores a register and rules in the fake object API and publishes them as generation 1.
///
/// # Errors
///
/// When the register or the rules are invalid; daemons would reject them.
pub(crate) fn put_config(
    fakes: &FakeFleet,
    models: &[Model],
    share: f64,
    teams: &[ExampleTeam],
) -> Result<()> {
    let register = config_files::register(&fakes.view(), models);
    let digests: Vec<String> = teams
        .iter()
        .map(|t| digest_of(t.token).to_string())
        .collect();
    let listed: Vec<Team<'_>> = teams
        .iter()
        .zip(&digests)
        .map(|(t, token_sha256)| Team {
            name: t.name,
            class: t.class,
            weight: t.weight,
            token_sha256,
        })
        .collect();
    let once = NonIdempotentCall {
        service: "jobs",
        method: "POST",
        path: "/certificates",
    };
    let calls = if fakes.services.is_empty() {
        &[][..]
    } else {
        &[once][..]
    };
    let rules = config_files::rules(share, &listed, calls);
    Rules::parse("rules", &rules, &Register::parse("register", &register)?)?;
    let first = Generation(1);
    let part = |text: &str| Part {
        digest: digest_of(text),
        since: first,
        nonce: Nonce(1),
    };
    let head = Head {
        generation: first,
        register: Some(part(&register)),
        rules: Some(part(&rules)),
    };
    for text in [&register, &rules] {
        fakes
            .object_api
            .put(BLOB_KIND, &digest_of(text).to_string(), text);
    }
    let body = to_body(&head).expect("a head has a body");
    fakes.object_api.put(HEAD_KIND, HEAD_NAME, &body);
    Ok(())
}

/// Settings of the `n`th daemon, with the addresses of the fakes.
pub(crate) fn settings(fakes: &FakeFleet, n: usize, timing: &str) -> Result<Settings> {
    let name = format!("daemon-{n}");
    let addresses = DaemonAddresses {
        name: &name,
        failure_domain: "domain-0",
        callers: FREE_PORT,
        operators: FREE_PORT,
        peers: FREE_PORT,
    };
    let text = config_files::settings(&fakes.view(), addresses, timing);
    Ok(Settings::parse("settings", &text)?)
}

/// Starts daemons that use the fakes and waits until each is ready.
pub(crate) async fn start_daemons(
    fakes: &FakeFleet,
    count: usize,
    timing: &str,
    metrics: &PrometheusHandle,
) -> Result<Vec<Daemon>> {
    let mut daemons = Vec::new();
    for n in 0..count {
        let settings = settings(fakes, n, timing)?;
        daemons.push(Daemon::start(&settings, metrics.clone()).await?);
    }
    let wait = async {
        for daemon in &daemons {
            wait_until_ready(daemon).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, wait).await?;
    Ok(daemons)
}

pub(crate) async fn wait_until_ready(daemon: &Daemon) {
    let url = format!("http://{}/readyz", daemon.bound_addresses().operators);
    loop {
        let answer = reqwest::get(&url).await;
        if answer.is_ok_and(|a| a.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts fake engines for one model: `replicas` engines for each of `stages` layer ranges.
pub(crate) async fn spawn_pipeline(model: &Model, stages: u32, replicas: u32) -> Result<FakeFleet> {
    Ok(FakeFleet::spawn(FleetConfig::pipeline(model, stages, replicas)).await?)
}
