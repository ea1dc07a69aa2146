//! Stand-ins and daemons in one process, for the tests of peers.

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

/// Much longer than anything here takes; reached only by a fault.
const PATIENCE: Duration = Duration::from_secs(60);
const FREE: &str = "127.0.0.1:0";
const TIMING: &str = "heartbeat = \"200ms\"\nwatch = \"2s\"\nhost_list_poll = \"200ms\"";

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, wait).await;
    assert!(waited.is_ok(), "never came true: {what}");
}

/// Stand-ins with a register and rules to put in force.
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

    /// Swaps the head to a generation; each has rules of its own.
    pub(crate) fn swap(&self, generation: u64) {
        let head = self.store(generation);
        let api = &self.fakes.object_api;
        let body = to_body(&head).expect("a body");
        api.put(HEAD_KIND, HEAD_NAME, &body);
    }

    /// Stores the texts of a generation, without swapping to it.
    pub(crate) fn store(&self, generation: u64) -> Head {
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

    /// Starts a daemon in failure domain `domain-0`; the object API may lie behind another URL.
    pub(crate) async fn daemon(&self, name: &str, object_api: Option<&str>) -> Daemon {
        let mut view = self.fakes.view();
        if let Some(url) = object_api {
            view.object_api = url.to_owned();
        }
        let addresses = DaemonAddresses {
            name,
            failure_domain: "domain-0",
            callers: FREE,
            operators: FREE,
            peers: FREE,
        };
        let text = config_files::settings(&view, addresses, TIMING);
        let settings = Settings::parse("settings", &text).expect("settings");
        let metrics = daemon::build_metrics();
        Daemon::start(&settings, metrics).await.expect("a daemon")
    }

    /// Starts daemons that all see the object API.
    pub(crate) async fn daemons(&self, names: &[&str]) -> Vec<Daemon> {
        let mut daemons = Vec::new();
        for name in names {
            daemons.push(self.daemon(name, None).await);
        }
        daemons
    }
}

/// What a daemon tells operators.
pub(crate) async fn status(daemon: &Daemon) -> Status {
    let address = daemon.bound_addresses().operators;
    fetch(address, PATIENCE).await.expect("a status")
}

/// State of a member as a daemon shows it; `None` when it does not.
pub(crate) async fn state_of(daemon: &Daemon, name: &str) -> Option<MemberState> {
    let members = status(daemon).await.members;
    members.iter().find(|m| m.name == name).map(|m| m.state)
}

/// Waits until each daemon shows all others live and at a generation, as well as itself.
pub(crate) async fn all_at(daemons: &[Daemon], generation: u64) {
    for daemon in daemons {
        until(&format!("all at generation {generation}"), async || {
            let status = status(daemon).await;
            let up = |m: &&kelpworks::status::Member| {
                m.state == MemberState::Live && m.generation >= generation
            };
            status.generation >= generation
                && status.members.iter().filter(up).count() == daemons.len() - 1
        })
        .await;
    }
}
