//! Daemons beside stand-ins, and calls whose runs are counted.

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
/// Path of the claim objects on the object API.
pub(crate) const CLAIMS: &str = "/objects/kelpworks.claim";
/// Path of the call that runs at most once, below its service.
pub(crate) const CERTIFICATES: &str = "/certificates";

const TEAM_NAMES: [&str; 2] = ["inspectors", "contractors"];
const FREE: &str = "127.0.0.1:0";
const POLL: Duration = Duration::from_millis(5);
/// Longest wait for something that comes at once on an idle machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// An answer, as far as tests look at it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Got {
    pub(crate) status: u16,
    pub(crate) verdict: Option<String>,
    pub(crate) replayed: bool,
    pub(crate) retry_after: bool,
    pub(crate) body: Bytes,
}

impl Got {
    pub(crate) async fn of(res: Response) -> Got {
        let header = |name: &str| {
            let value = res.headers().get(name).and_then(|v| v.to_str().ok());
            value.map(str::to_owned)
        };
        Got {
            status: res.status().as_u16(),
            verdict: header("kelpworks-verdict"),
            replayed: header("kelpworks-replayed").is_some(),
            retry_after: header("retry-after").is_some(),
            body: res.bytes().await.expect("a whole answer"),
        }
    }

    /// Status and verdict on one line.
    pub(crate) fn line(&self) -> String {
        let verdict = self.verdict.as_deref().unwrap_or("-");
        format!("{} {verdict}", self.status)
    }
}

/// A daemon on a runtime of its own, so that it can go without a word.
pub(crate) struct Host {
    pub(crate) daemon: Option<Daemon>,
    pub(crate) base: String,
    runtime: Option<Runtime>,
}

impl Host {
    async fn start(settings: Settings) -> Host {
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
        until(async || {
            let ready = reqwest::get(format!("http://{operators}/readyz")).await;
            ready.is_ok_and(|r| r.status().is_success()).then_some(())
        })
        .await;
        Host {
            base: format!("http://{}", daemon.bound_addresses().callers),
            daemon: Some(daemon),
            runtime: Some(runtime),
        }
    }

    /// Ends the daemon at once: its tasks stop where they are.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Begins a planned stop.
    pub(crate) fn stop(&mut self) {
        let daemon = self.daemon.take().expect("not stopped yet");
        let runtime = self.runtime.as_ref().expect("not killed");
        runtime.spawn(daemon.stop());
    }

    /// A planned stop to its end, and that of the daemon's process.
    pub(crate) async fn stop_whole(&mut self) {
        let daemon = self.daemon.take().expect("not stopped yet");
        let runtime = self.runtime.as_ref().expect("not killed");
        runtime.spawn(daemon.stop()).await.expect("no panic");
        self.kill();
    }

    /// Begins a stop that ends what is in flight.
    pub(crate) fn stop_at_once(&mut self) {
        let abort = self.daemon.as_ref().map(Daemon::abort);
        self.stop();
        abort.expect("not stopped yet").cancel();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Stand-ins and daemons.
pub(crate) struct Bench {
    pub(crate) fakes: FakeFleet,
    pub(crate) hosts: Vec<Host>,
    pub(crate) model: Model,
    pub(crate) client: Client,
}

impl Bench {
    /// `timing` is the body of that table of the settings; `state_poll` is long already, so that
    /// the upstreams' health changes by what requests see only.
    pub(crate) async fn start(daemons: usize, timing: &str) -> Bench {
        Bench::start_with(daemons, timing, &[]).await
    }

    /// The same, with more services in the register.
    pub(crate) async fn start_with(daemons: usize, timing: &str, more: &[ServiceView]) -> Bench {
        let model = Model::new(MODEL, "1", 4);
        let fakes = FakeFleet::spawn(FleetConfig::pipeline(&model, 2, 2)).await;
        let fakes = fakes.expect("stand-ins");
        put_config(&fakes, &model, more);
        let mut hosts = Vec::new();
        for n in 0..daemons {
            hosts.push(Host::start(settings(&fakes, n, timing)).await);
        }
        // Shows a daemon's redirect in place of following it.
        let client = Client::builder().redirect(Policy::none()).build();
        Bench {
            fakes,
            hosts,
            model,
            client: client.expect("a client"),
        }
    }

    /// Waits until a daemon shows so many others in a state.
    pub(crate) async fn sees(&self, host: usize, others: usize, state: MemberState) {
        let daemon = self.hosts[host].daemon.as_ref().expect("not stopped yet");
        let operators = daemon.bound_addresses().operators;
        until(async || {
            let members = fetch(operators, PATIENCE).await.ok()?.members;
            let count = members.iter().filter(|m| m.state == state).count();
            (count == others).then_some(())
        })
        .await;
    }

    /// A call of the service `jobs` through a daemon.
    pub(crate) fn call(&self, host: usize, method: &str, path: &str) -> RequestBuilder {
        let method = method.parse().expect("a method");
        let url = format!("{}/services/jobs{path}", self.hosts[host].base);
        self.client.request(method, url).bearer_auth(TOKENS[0])
    }

    /// The call that runs at most once, with a key.
    pub(crate) fn keyed(&self, host: usize, key: &str) -> RequestBuilder {
        let call = self.call(host, "POST", CERTIFICATES).body("visit 17");
        call.header("idempotency-key", key)
    }

    /// Runs of calls of this method on all hosts of the service.
    pub(crate) fn runs(&self, method: &str) -> usize {
        let ledgers = self.fakes.services.iter().flat_map(|s| s.ledger());
        ledgers.filter(|e| e.method == method).count()
    }

    /// Puts a fault on each host of the service, in place of those before.
    pub(crate) fn fault(&self, fault: &Fault) {
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

    /// Strikes the next claim calls of this method on the object API.
    pub(crate) fn api_fault(&self, method: &str, kind: FaultKind) {
        let fault = Fault::once(kind).on(&format!("{method} {CLAIMS}"));
        self.fakes.object_api.faults().add(fault);
    }
}

/// A service that redirects each call; tests of the HTTP client's own doings need no more.
pub(crate) struct Redirecting {
    address: SocketAddr,
    target: Arc<Mutex<String>>,
}

impl Redirecting {
    pub(crate) async fn start() -> Redirecting {
        let acceptor = TcpListener::new(FREE).bind().await;
        let address = acceptor.holdings()[0].local_addr.clone().into_std();
        let target = Arc::new(Mutex::new(String::new()));
        let calls = Router::with_path("{**rest}").goal(Redirect(Arc::clone(&target)));
        let router = Router::new()
            .push(Router::with_path("healthz").get(healthy))
            .push(calls);
        tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Redirecting {
            address: address.expect("a socket address"),
            target,
        }
    }

    /// Sets where calls are sent on to.
    pub(crate) fn to(&self, target: &str) {
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

pub(crate) async fn send(req: RequestBuilder) -> Got {
    Got::of(req.send().await.expect("an answer")).await
}

/// Sends on until the answer is a success.
pub(crate) async fn until_ok(req: impl Fn() -> RequestBuilder) -> Got {
    until(async || Some(send(req()).await).filter(|got| got.status == 200)).await
}

/// Polls until there is a value.
pub(crate) async fn until<T, Fut: Future<Output = Option<T>>>(look: impl Fn() -> Fut) -> T {
    let polling = async {
        loop {
            if let Some(value) = look().await {
                return value;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    let found = tokio::time::timeout(PATIENCE, polling).await;
    found.expect("it came about")
}

fn put_config(fakes: &FakeFleet, model: &Model, more: &[ServiceView]) {
    let mut view = fakes.view();
    view.services.extend_from_slice(more);
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
        path: CERTIFICATES,
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
        callers: FREE,
        operators: FREE,
        peers: FREE,
    };
    let timing = format!("state_poll = \"60 s\"\n{timing}");
    let text = config_files::settings(&fakes.view(), addresses, &timing);
    Settings::parse("settings", &text).expect("settings")
}
