//! Daemons in front of fake upstreams that record in ledgers which calls ran.

#![allow(dead_code, reason = "each test file uses a part")]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use metrics_exporter_prometheus::PrometheusBuilder;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::redirect::Policy;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Listener;
use salvo::Request;
use salvo::Router;
use salvo::Server;
use salvo::async_trait;
use salvo::conn::Acceptor;
use salvo::conn::TcpListener;
use salvo::handler;
use salvo::http::StatusCode;
use tokio::runtime::Runtime;

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
use kelpworks::settings::Settings;
use kelpworks::status::MemberState;
use kelpworks::status::fetch;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_fakes::config_files;
use kelpworks_fakes::config_files::DaemonAddresses;
use kelpworks_fakes::config_files::NonIdempotentCall;
use kelpworks_fakes::config_files::Team;
use kelpworks_fakes::fleet::ServiceView;

pub(crate) const MODEL: &str = "report";
pub(crate) const TOKENS: [&str; 2] = ["token-0", "token-1"];
/// Path prefix of claim objects on the object API.
pub(crate) const CLAIMS_PATH: &str = "/objects/kelpworks.claim";
/// Path of the non-idempotent call, below the service.
pub(crate) const NON_IDEMPOTENT_PATH: &str = "/certificates";

const TEAM_NAMES: [&str; 2] = ["inspectors", "contractors"];
const ANY_PORT: &str = "127.0.0.1:0";
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of waits; long, as the awaited events take milliseconds on an idle machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The parts of an HTTP response that tests check. The flags say whether the header is present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) verdict: Option<String>,
    pub(crate) replayed: bool,
    pub(crate) retry_after: bool,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) async fn of(res: Response) -> Answer {
        let header = |name: &str| {
            let value = res.headers().get(name).and_then(|v| v.to_str().ok());
            value.map(str::to_owned)
        };
        Answer {
            status: res.status().as_u16(),
            verdict: header("kelpworks-verdict"),
            replayed: header("kelpworks-replayed").is_some(),
            retry_after: header("retry-after").is_some(),
            body: res.bytes().await.expect("a whole answer"),
        }
    }

    /// Returns the status and the verdict, or `-` without one, separated by a space.
    pub(crate) fn status_and_verdict(&self) -> String {
        let verdict = self.verdict.as_deref().unwrap_or("-");
        format!("{} {verdict}", self.status)
    }
}

/// A daemon on a runtime of its own, so that a test can stop it without any shutdown.
pub(crate) struct DaemonHost {
    pub(crate) daemon: Option<Daemon>,
    pub(crate) base: String,
    runtime: Option<Runtime>,
}

impl DaemonHost {
    async fn start(settings: Settings) -> DaemonHost {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let starting = runtime.spawn(async move {
            let metrics = PrometheusBuilder::new().build_recorder().handle();
            Daemon::start(&settings, metrics).await
        });
        let daemon = starting.await.expect("no panic").expect("a daemon");
        let operators = daemon.bound_addresses().operators;
        wait_until(async || {
            let ready = reqwest::get(format!("http://{operators}/readyz")).await;
            ready.is_ok_and(|r| r.status().is_success()).then_some(())
        })
        .await;
        DaemonHost {
            base: format!("http://{}", daemon.bound_addresses().callers),
            daemon: Some(daemon),
            runtime: Some(runtime),
        }
    }

    /// Simulates a crash: shuts the runtime down without stopping the daemon.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Begins a planned stop and returns at once.
    pub(crate) fn stop(&mut self) {
        let daemon = self.daemon.take().expect("not stopped yet");
        let runtime = self.runtime.as_ref().expect("not killed");
        runtime.spawn(daemon.stop());
    }

    /// Runs a planned stop to its end and then shuts the runtime down, as the end of the process
    /// would.
    pub(crate) async fn stop_and_wait(&mut self) {
        let daemon = self.daemon.take().expect("not stopped yet");
        let runtime = self.runtime.as_ref().expect("not killed");
        runtime.spawn(daemon.stop()).await.expect("no panic");
        self.kill();
    }

    /// Begins a stop that aborts calls in flight.
    pub(crate) fn stop_and_abort_in_flight(&mut self) {
        let abort = self.daemon.as_ref().map(Daemon::abort);
        self.stop();
        abort.expect("not stopped yet").cancel();
    }
}

impl Drop for DaemonHost {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A fake fleet and the daemons in front of it.
pub(crate) struct TestBed {
    pub(crate) fakes: FakeFleet,
    pub(crate) hosts: Vec<DaemonHost>,
    pub(crate) model: Model,
    pub(crate) client: Client,
}

impl TestBed {
    /// Starts fakes and daemons. `timing` is added to the `[timing]` table of the settings, where
    /// `state_poll` is set to 60 s so that only requests change the health of upstreams.
    pub(crate) async fn start(daemons: usize, timing: &str) -> TestBed {
        TestBed::start_with_services(daemons, timing, &[]).await
    }

    /// As [`TestBed::start`], with extra services in the register.
    pub(crate) async fn start_with_services(
        daemons: usize,
        timing: &str,
        extra_services: &[ServiceView],
    ) -> TestBed {
        let model = Model::new(MODEL, "1", 4);
        let fakes = FakeFleet::spawn(FleetConfig::pipeline(&model, 2, 2)).await;
        let fakes = fakes.expect("fakes must start");
        put_config(&fakes, &model, extra_services);
        let mut hosts = Vec::new();
        for n in 0..daemons {
            hosts.push(DaemonHost::start(settings(&fakes, n, timing)).await);
        }
        // Tests check redirects of the daemon, so the client doesn't follow them.
        let client = Client::builder().redirect(Policy::none()).build();
        TestBed {
            fakes,
            hosts,
            model,
            client: client.expect("a client"),
        }
    }

    /// Waits until the status of a daemon lists exactly `member_count` members in this state.
    pub(crate) async fn wait_for_members(
        &self,
        host: usize,
        member_count: usize,
        state: MemberState,
    ) {
        let daemon = self.hosts[host].daemon.as_ref().expect("not stopped yet");
        let operators = daemon.bound_addresses().operators;
        wait_until(async || {
            let members = fetch(operators, WAIT_TIMEOUT).await.ok()?.members;
            let matching = members.iter().filter(|m| m.state == state).count();
            (matching == member_count).then_some(())
        })
        .await;
    }

    /// Returns a call of the service `jobs` through a daemon.
    pub(crate) fn call(&self, host: usize, method: &str, path: &str) -> RequestBuilder {
        let method = method.parse().expect("a method");
        let url = format!("{}/services/jobs{path}", self.hosts[host].base);
        self.client.request(method, url).bearer_auth(TOKENS[0])
    }

    /// Returns the non-idempotent call with an idempotency key.
    pub(crate) fn keyed_call(&self, host: usize, key: &str) -> RequestBuilder {
        let call = self
            .call(host, "POST", NON_IDEMPOTENT_PATH)
            .body("visit 17");
        call.header("idempotency-key", key)
    }

    /// Counts the calls of this method that ran on any host of the service.
    pub(crate) fn runs(&self, method: &str) -> usize {
        let ledgers = self.fakes.services.iter().flat_map(|s| s.ledger());
        ledgers.filter(|e| e.method == method).count()
    }

    /// Replaces the faults of each host of the service by this one.
    pub(crate) fn set_service_fault(&self, fault: &Fault) {
        for service in &self.fakes.services {
            service.faults().clear();
            service.faults().add(fault.clone());
        }
    }

    pub(crate) fn clear_faults(&self) {
        for service in &self.fakes.services {
            service.faults().clear();
        }
        self.fakes.object_api.faults().clear();
    }

    /// Makes the next request of this method for a claim on the object API fail.
    pub(crate) fn add_claim_fault(&self, method: &str, kind: FaultKind) {
        let fault = Fault::once(kind).on(&format!("{method} {CLAIMS_PATH}"));
        self.fakes.object_api.faults().add(fault);
    }
}

/// A service that answers each call with a redirect, for tests of the HTTP client's redirect
/// policy.
pub(crate) struct RedirectingService {
    address: SocketAddr,
    target: Arc<Mutex<String>>,
}

impl RedirectingService {
    pub(crate) async fn start() -> RedirectingService {
        let acceptor = TcpListener::new(ANY_PORT).bind().await;
        let address = acceptor.holdings()[0].local_addr.clone().into_std();
        let target = Arc::new(Mutex::new(String::new()));
        let calls = Router::with_path("{**rest}").goal(Redirect(Arc::clone(&target)));
        let router = Router::new()
            .push(Router::with_path("healthz").get(healthy))
            .push(calls);
        tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        RedirectingService {
            address: address.expect("a socket address"),
            target,
        }
    }

    /// Sets the location of the redirect.
    pub(crate) fn set_target(&self, target: &str) {
        target.clone_into(&mut self.target.lock().expect("no panic"));
    }

    pub(crate) fn view(&self, service: &str) -> ServiceView {
        ServiceView {
            name: format!("{service}-0"),
            service: service.to_owned(),
            url: format!("http://{}", self.address),
            address: self.address,
            failure_domain: "domain-0".to_owned(),
        }
    }
}

struct Redirect(Arc<Mutex<String>>);

#[async_trait]
impl Handler for Redirect {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut salvo::Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.status_code(StatusCode::TEMPORARY_REDIRECT);
        let target = self.0.lock().expect("no panic").clone();
        let _ = res.add_header("location", target, true);
    }
}

#[handler]
async fn healthy() -> &'static str {
    "ok"
}

pub(crate) async fn send(req: RequestBuilder) -> Answer {
    Answer::of(req.send().await.expect("an answer")).await
}

/// Sends requests until one is answered with status 200.
pub(crate) async fn send_until_ok(req: impl Fn() -> RequestBuilder) -> Answer {
    wait_until(async || Some(send(req()).await).filter(|got| got.status == 200)).await
}

/// Polls until `check` returns a value; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until<T, Fut: Future<Output = Option<T>>>(check: impl Fn() -> Fut) -> T {
    let polling = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let found = tokio::time::timeout(WAIT_TIMEOUT, polling).await;
    found.expect("condition not met within WAIT_TIMEOUT")
}

fn put_config(fakes: &FakeFleet, model: &Model, extra_services: &[ServiceView]) {
    let mut view = fakes.view();
    view.services.extend_from_slice(extra_services);
    let register = config_files::register(&view, std::slice::from_ref(model));
    let digests = TOKENS.map(|t| digest_of(t).to_string());
    let team = |n: usize| Team {
        name: TEAM_NAMES[n],
        class: "paying",
        weight: 1,
        token_sha256: &digests[n],
    };
    let once = NonIdempotentCall {
        service: "jobs",
        method: "POST",
        path: NON_IDEMPOTENT_PATH,
    };
    let mut rules = config_files::rules(0.2, &[team(0), team(1)], &[once]);
    for team in TEAM_NAMES {
        rules += &format!("[[non_idempotent]]\nmodel = \"{MODEL}\"\nteam = \"{team}\"\n\n");
    }
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
        let name = digest_of(text).to_string();
        fakes.object_api.put(BLOB_KIND, &name, text);
    }
    let body = to_body(&head).expect("a head has a body");
    fakes.object_api.put(HEAD_KIND, HEAD_NAME, &body);
}

fn settings(fakes: &FakeFleet, n: usize, timing: &str) -> Settings {
    let addresses = DaemonAddresses {
        name: &format!("daemon-{n}"),
        failure_domain: "domain-0",
        callers: ANY_PORT,
        operators: ANY_PORT,
        peers: ANY_PORT,
    };
    let timing = format!("state_poll = \"60 s\"\n{timing}");
    let text = config_files::settings(&fakes.view(), addresses, &timing);
    Settings::parse("settings", &text).expect("settings")
}
