//! A fake platform and daemons in one process, for the tests of peers.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use kelpworks::config::head::BLOB_KIND;
use kelpworks::config::head::Generation;
use kelpworks::config::head::HEAD_KIND;
use kelpworks::config::head::HEAD_NAME;
use kelpworks::config::head::Head;
use kelpworks::config::head::Nonce;
use kelpworks::config::head::Part;
use kelpworks::config::head::digest_of;
use kelpworks::config::head::to_body;
use kelpworks::daemon;
use kelpworks::daemon::Daemon;
use kelpworks::settings::Settings;
use kelpworks::status::MemberState;
use kelpworks::status::Status;
use kelpworks::status::fetch;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_fakes::config_files;
use kelpworks_fakes::config_files::DaemonAddresses;
use kelpworks_fakes::config_files::Team;

/// Much longer than any wait here takes, so that only a fault reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const ANY_PORT: &str = "127.0.0.1:0";
const TIMING: &str = "heartbeat = \"200ms\"\nwatch = \"2s\"\nhost_list_poll = \"200ms\"";

/// Polls until a check succeeds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out while waiting for: {what}");
}

/// A fake fleet whose object API stores generations of the register and the rules.
pub(crate) struct Platform {
    pub(crate) fakes: FakeFleet,
    model: Model,
}

impl Platform {
    pub(crate) async fn start() -> Platform {
        let model = Model::new("caption", "1", 4);
        let cfg = FleetConfig::pipeline(&model, 1, 1);
        let fakes = FakeFleet::spawn(cfg).await.expect("free ports");
        Platform { fakes, model }
    }

    /// Stores a generation, whose rules differ from all others, and swaps the head to it.
    pub(crate) fn swap_head(&self, generation: u64) {
        let head = self.store_generation(generation);
        let api = &self.fakes.object_api;
        let body = to_body(&head).expect("a body");
        api.put(HEAD_KIND, HEAD_NAME, &body);
    }

    /// Stores the register and the rules of a generation without swapping the head to it.
    pub(crate) fn store_generation(&self, generation: u64) -> Head {
        let register =
            config_files::register(&self.fakes.view(), std::slice::from_ref(&self.model));
        let token_sha256 = digest_of("token").to_string();
        let team = Team {
            name: &format!("team-{generation}"),
            class: "paying",
            weight: 1,
            token_sha256: &token_sha256,
        };
        let rules = config_files::rules(0.2, &[team], &[]);
        for text in [&register, &rules] {
            let name = digest_of(text).to_string();
            self.fakes.object_api.put(BLOB_KIND, &name, text);
        }
        let generation = Generation(generation);
        let part = |text: &str| Part {
            digest: digest_of(text),
            since: generation,
            nonce: Nonce(generation.0),
        };
        Head {
            generation,
            register: Some(part(&register)),
            rules: Some(part(&rules)),
        }
    }

    /// Starts a daemon in failure domain `domain-0`; `object_api` overrides the URL of the object
    /// API, to place a link in between.
    pub(crate) async fn daemon(&self, name: &str, object_api: Option<&str>) -> Daemon {
        let mut view = self.fakes.view();
        if let Some(url) = object_api {
            view.object_api = url.to_owned();
        }
        let addresses = DaemonAddresses {
            name,
            failure_domain: "domain-0",
            callers: ANY_PORT,
            operators: ANY_PORT,
            peers: ANY_PORT,
        };
        let text = config_files::settings(&view, addresses, TIMING);
        let settings = Settings::parse("settings", &text).expect("settings");
        let metrics = daemon::build_metrics();
        Daemon::start(&settings, metrics).await.expect("a daemon")
    }

    /// Starts daemons that reach the object API directly.
    pub(crate) async fn daemons(&self, names: &[&str]) -> Vec<Daemon> {
        let mut daemons = Vec::new();
        for name in names {
            daemons.push(self.daemon(name, None).await);
        }
        daemons
    }
}

/// Returns the status that a daemon serves to operators.
pub(crate) async fn fetch_status(daemon: &Daemon) -> Status {
    let address = daemon.bound_addresses().operators;
    fetch(address, WAIT_TIMEOUT).await.expect("a status")
}

/// Returns the state of a member in the status of a daemon; `None` when it is not listed.
pub(crate) async fn member_state(daemon: &Daemon, name: &str) -> Option<MemberState> {
    let members = fetch_status(daemon).await.members;
    members.iter().find(|m| m.name == name).map(|m| m.state)
}

/// Waits until each daemon is at `generation` or later and lists all others as live and at
/// `generation` or later.
pub(crate) async fn wait_until_all_at_generation(daemons: &[Daemon], generation: u64) {
    for daemon in daemons {
        wait_until(&format!("all at generation {generation}"), async || {
            let status = fetch_status(daemon).await;
            let up = |m: &&kelpworks::status::Member| {
                m.state == MemberState::Live && m.generation >= generation
            };
            status.generation >= generation
                && status.members.iter().filter(up).count() == daemons.len() - 1
        })
        .await;
    }
}
