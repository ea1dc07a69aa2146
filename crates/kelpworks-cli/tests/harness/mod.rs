//! Runs daemons and fakes as separate processes that communicate over loopback sockets only.
//!
//! Tests send real signals to kill or freeze an engine or a daemon. The configuration is applied by
//! the commands that operators use.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod process;
pub(crate) mod streams;

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use self::process::Process;
use crate::caller::Caller;
use kelpworks::config::head::digest_of;
use kelpworks_fakes::Model;
use kelpworks_fakes::config_files;
use kelpworks_fakes::config_files::DaemonAddresses;
use kelpworks_fakes::config_files::NonIdempotentCall;
use kelpworks_fakes::config_files::Team;
use kelpworks_fakes::engine::LedgerView;
use kelpworks_fakes::fleet::EngineView;
use kelpworks_fakes::fleet::FleetView;
use kelpworks_wire::EngineState;
use kelpworks_wire::HostEntry;
use kelpworks_wire::HostState;

const KELPWORKS: &str = env!("CARGO_BIN_EXE_kelpworks");
const MODEL: &str = "demo";
const LAYERS: u32 = 12;
const ANY_PORT: &str = "127.0.0.1:0";
/// Token of the paying team.
pub(crate) const PAYING_TOKEN: &str = "frame-paying";
/// Token of the trial team.
pub(crate) const TRIAL_TOKEN: &str = "frame-trial";
/// Pause between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Generous limit on a wait for a condition; no test requires a shorter time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number and speed of the processes to start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) daemons: usize,
    pub(crate) stages: u32,
    pub(crate) replicas: u32,
    /// Time of one iteration of an engine.
    pub(crate) iteration_ms: u32,
    /// Body of the `timing` table of the daemons' settings.
    pub(crate) timing: &'static str,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            daemons: 1,
            stages: 3,
            replicas: 2,
            iteration_ms: 4,
            timing: "step_floor = \"100 ms\"\nstep_ceiling = \"500 ms\"\nstate_poll = \"200 ms\"\n\
                     host_list_poll = \"200 ms\"",
        }
    }
}

/// A temporary directory, removed when dropped.
#[derive(Debug)]
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> TempDir {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("kelpworks-{}-{n}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a temporary directory");
        TempDir(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A fake engine in a process of its own.
#[derive(Debug)]
pub(crate) struct EngineProcess {
    pub(crate) process: Process,
    pub(crate) view: EngineView,
}

/// A daemon in a process of its own.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) process: Process,
    pub(crate) addresses: ListenAddresses,
}

/// Addresses that a daemon listens on, as it prints them.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct ListenAddresses {
    pub(crate) callers: String,
    pub(crate) operators: String,
}

/// All processes of a test. Fields are dropped in declaration order: daemons first.
#[derive(Debug)]
pub(crate) struct Harness {
    pub(crate) daemons: Vec<DaemonProcess>,
    pub(crate) engines: Vec<EngineProcess>,
    /// Object API, host list, weight store and plain services; its own engine is not used.
    platform: Process,
    pub(crate) view: FleetView,
    pub(crate) model: Model,
    client: reqwest::Client,
    dir: TempDir,
}

impl Harness {
    /// Starts everything, imports the register and the rules, and waits until all daemons serve.
    pub(crate) async fn start(shape: Shape) -> Harness {
        let dir = TempDir::new();
        let model = Model::new(MODEL, "1", LAYERS);
        let platform = spawn_fakes(&dir.0, "platform", &["--stages", "1", "--replicas", "1"]);
        let mut view: FleetView = serde_json::from_str(&platform.first_line).expect("a view");
        let engines = spawn_engines(&dir.0, shape);
        view.engines = engines.iter().map(|e| e.view.clone()).collect();
        let mut harness = Harness {
            daemons: Vec::new(),
            engines,
            platform,
            view,
            model,
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client"),
            dir,
        };
        harness.set_host_list(&[]).await;
        for n in 0..shape.daemons {
            harness.start_daemon(n, shape.timing);
        }
        harness.apply_configuration();
        for daemon in &harness.daemons {
            harness.wait_until_serving(daemon).await;
        }
        harness
    }

    fn start_daemon(&mut self, n: usize, timing: &str) {
        let name = format!("daemon-{n}");
        let addresses = DaemonAddresses {
            name: &name,
            failure_domain: "domain-0",
            callers: ANY_PORT,
            operators: ANY_PORT,
            peers: ANY_PORT,
        };
        let file = self.dir.0.join(format!("{name}.toml"));
        let text = config_files::settings(&self.view, addresses, timing);
        std::fs::write(&file, text).expect("a settings file");
        let mut command = Command::new(KELPWORKS);
        command.arg("serve").arg("--settings").arg(&file);
        let process = Process::spawn(command, self.dir.0.join(format!("{name}.log")));
        let addresses = serde_json::from_str(&process.first_line).expect("the addresses");
        self.daemons.push(DaemonProcess { process, addresses });
    }

    /// Applies the register and the rules with the commands that operators use.
    fn apply_configuration(&self) {
        let models = std::slice::from_ref(&self.model);
        let register = config_files::register(&self.view, models);
        self.apply("register", "import", &register);
        let paying = digest_of(PAYING_TOKEN).to_string();
        let trial = digest_of(TRIAL_TOKEN).to_string();
        let team = |name, class, token_sha256| Team {
            name,
            class,
            weight: 1,
            token_sha256,
        };
        let teams = [
            team("merchandisers", "paying", &paying),
            team("trial-sellers", "trial", &trial),
        ];
        let call = NonIdempotentCall {
            service: "jobs",
            method: "POST",
            path: "/certificates",
        };
        self.apply("rules", "apply", &config_files::rules(0.5, &teams, &[call]));
    }

    /// Runs `kelpworks NOUN VERB` and waits until the change is in force on every daemon.
    pub(crate) fn apply(&self, noun: &str, verb: &str, text: &str) {
        let file = self.dir.0.join(format!("{noun}.toml"));
        std::fs::write(&file, text).expect("a file");
        let operators: Vec<&str> = self
            .daemons
            .iter()
            .map(|d| &*d.addresses.operators)
            .collect();
        let mut command = Command::new(KELPWORKS);
        command
            .args([noun, verb])
            .arg(&file)
            .args(["--object-api", &self.view.object_api])
            .args(["--operators", &operators.join(",")]);
        let output: Output = command.output().expect("the command runs");
        let err = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{noun} {verb}: {err}");
    }

    /// Waits until a daemon answers a request: it is ready, and every stage has a live replica.
    async fn wait_until_serving(&self, daemon: &DaemonProcess) {
        let url = format!("http://{}/readyz", daemon.addresses.operators);
        self.wait_until("a daemon is ready", async || {
            let answer = self.client.get(&url).send().await;
            answer.is_ok_and(|a| a.status().is_success())
        })
        .await;
        let caller = self.caller_of(daemon, PAYING_TOKEN);
        self.wait_until("a daemon has a path", async || {
            let answer = caller.complete("first", 1).await;
            answer.is_ok_and(|a| matches!(a.end, crate::caller::End::Whole(_)))
        })
        .await;
    }

    /// Polls until the condition holds; panics after [`WAIT_TIMEOUT`].
    pub(crate) async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let wait = async {
            while !condition().await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
        assert!(waited.is_ok(), "timed out waiting until {what}");
    }

    /// A caller of the paying team at the `n`th daemon.
    pub(crate) fn caller(&self, n: usize) -> Caller {
        self.caller_of(&self.daemons[n], PAYING_TOKEN)
    }

    /// A caller of a daemon that authenticates with `token`.
    pub(crate) fn caller_of(&self, daemon: &DaemonProcess, token: &str) -> Caller {
        let base = format!("http://{}", daemon.addresses.callers);
        Caller::new(&base, token, MODEL)
    }

    /// Returns the status of `/readyz` at the `n`th daemon; `None` when it does not answer.
    pub(crate) async fn readyz_status(&self, n: usize) -> Option<u16> {
        let url = format!("http://{}/readyz", self.daemons[n].addresses.operators);
        let answer = self.client.get(&url).send().await.ok()?;
        Some(answer.status().as_u16())
    }

    /// Returns the fake engine's record of the positions that it ran.
    pub(crate) async fn ledger(&self, engine: usize) -> LedgerView {
        let url = format!("{}/fake/ledger", self.engines[engine].view.url);
        let answer = self
            .client
            .get(url)
            .send()
            .await
            .expect("the engine answers");
        answer.json().await.expect("a ledger")
    }

    /// Returns the state that an engine reports.
    pub(crate) async fn state(&self, engine: usize) -> EngineState {
        let url = format!("{}/v1/state", self.engines[engine].view.url);
        let answer = self
            .client
            .get(url)
            .send()
            .await
            .expect("the engine answers");
        answer.json().await.expect("a state")
    }

    /// Returns the index of the engine that ran most positions of a session, among those whose
    /// names begin with `stage`.
    pub(crate) async fn engine_of(&self, session: &str, stage: &str) -> usize {
        let mut best = None;
        for (n, engine) in self.engines.iter().enumerate() {
            if !engine.view.name.starts_with(stage) {
                continue;
            }
            let ledger = self.ledger(n).await;
            let runs = ledger.runs.iter().filter(|r| r.session == session).count();
            best = best.max(Some((runs, n)));
        }
        let (runs, n) = best.expect("the stage has replicas");
        assert!(runs > 0, "{stage} ran nothing of {session}");
        n
    }

    /// Publishes the host list: every host is live except those in `leaving`.
    pub(crate) async fn set_host_list(&self, leaving: &[&str]) {
        let host = |name: &str, address: String, domain: &str| HostEntry {
            name: name.to_owned(),
            address,
            failure_domain: domain.to_owned(),
            state: match leaving.contains(&name) {
                true => HostState::Leaving,
                false => HostState::Live,
            },
        };
        let engines = self.view.engines.iter();
        let engines = engines.map(|e| host(&e.name, e.address.to_string(), &e.failure_domain));
        let services = self.view.services.iter();
        let services = services.map(|s| host(&s.name, s.address.to_string(), &s.failure_domain));
        let hosts: Vec<HostEntry> = engines.chain(services).collect();
        self.control_fake(&self.view.host_list, "hosts", &hosts)
            .await;
    }

    /// Posts a control request to a fake.
    pub(crate) async fn control_fake<T: Serialize>(&self, base: &str, what: &str, body: &T) {
        let url = format!("{base}/fake/{what}");
        let answer = self.client.post(url).json(body).send().await;
        let answer = answer.expect("the fake answers");
        assert!(answer.status().is_success(), "{what}: {}", answer.status());
    }
}

/// Starts every replica of every stage in a process of its own.
fn spawn_engines(dir: &Path, shape: Shape) -> Vec<EngineProcess> {
    let mut engines = Vec::new();
    for stage in 0..shape.stages {
        let first = stage * LAYERS / shape.stages;
        let end = (stage + 1) * LAYERS / shape.stages;
        for replica in 0..shape.replicas {
            let name = format!("engine-{stage}-{replica}");
            let layers = format!("{first}..{end}");
            let domain = format!("domain-{replica}");
            let iteration = shape.iteration_ms.to_string();
            let args = [
                "--only",
                "engine",
                "--name",
                &name,
                "--layers",
                &layers,
                "--failure-domain",
                &domain,
                "--iteration-ms",
                &iteration,
            ];
            let process = spawn_fakes(dir, &name, &args);
            let view = serde_json::from_str(&process.first_line).expect("a view");
            engines.push(EngineProcess { process, view });
        }
    }
    engines
}

/// Starts the example `stand_ins`, which `cargo test` builds beside the binary.
fn spawn_fakes(dir: &Path, name: &str, args: &[&str]) -> Process {
    let beside = Path::new(KELPWORKS).parent().expect("a directory");
    let program = beside.join("examples").join("stand_ins");
    assert!(
        program.exists(),
        "{} is missing; build it by `cargo build -p kelpworks-cli --examples`",
        program.display()
    );
    let mut command = Command::new(program);
    command.args(args);
    Process::spawn(command, dir.join(format!("{name}.log")))
}
