//! The fake plain service, which records each execution of a call, idempotent or not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use salvo::Depot;
use salvo::Request;
use salvo::Router;
use salvo::handler;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Result;
use crate::fault::Faults;
use crate::fault::lock;
use crate::server::HttpResponse;
use crate::server::Port;
use crate::server::Server;
use crate::server::read_body;
use crate::server::read_json;
use crate::server::state;

const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Configuration of a fake plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainServiceConfig {
    /// Host name.
    pub name: String,
    /// Name of the service that the host runs.
    pub service: String,
    /// Loopback port; 0 takes a free port. Default 0.
    pub port: u16,
    /// Failure domain, for the register. Default `domain-0`.
    pub failure_domain: String,
    /// Duration of each call. Default 0.
    pub latency: Duration,
}

impl PlainServiceConfig {
    /// Returns a host of this name that runs this service, with the defaults.
    pub fn new(name: &str, service: &str) -> PlainServiceConfig {
        PlainServiceConfig {
            name: name.to_owned(),
            service: service.to_owned(),
            port: 0,
            failure_domain: "domain-0".to_owned(),
            latency: Duration::ZERO,
        }
    }
}

/// Record of a call that ran; also the body of the reply to the call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Execution {
    /// Host that ran it.
    pub host: String,
    /// Sequence number among this host's calls, from 0.
    pub order: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The caller's `idempotency-key`.
    pub key: Option<String>,
    /// XXH3 hash of the request body, in hex.
    pub body: String,
}

/// A running fake plain service; dropping it stops it.
#[derive(Debug)]
pub struct PlainService {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    cfg: PlainServiceConfig,
    leaving: AtomicBool,
    ledger: Mutex<Vec<Execution>>,
}

impl PlainService {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub async fn spawn(cfg: PlainServiceConfig) -> Result<PlainService> {
        let port = Port::bind(cfg.port)?;
        let shared = Arc::new(Shared {
            cfg,
            leaving: AtomicBool::new(false),
            ledger: Mutex::default(),
        });
        let router = Router::new()
            .push(Router::with_path("healthz").get(get_healthz))
            .push(Router::with_path("fake/ledger").get(get_ledger))
            .push(Router::with_path("fake/leaving").post(post_leaving))
            .push(Router::with_path("{**rest}").goal(execute_call));
        let server = port.serve(Faults::default(), shared.clone(), router)?;
        Ok(PlainService { shared, server })
    }

    /// Returns the configuration at start.
    pub fn config(&self) -> &PlainServiceConfig {
        &self.shared.cfg
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the faults to inject; changes apply to the next request.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns all calls that ran, in order.
    pub fn ledger(&self) -> Vec<Execution> {
        lock(&self.shared.ledger).clone()
    }

    /// Returns how often a call with this `idempotency-key` ran.
    pub fn runs_of(&self, key: &str) -> usize {
        let ledger = lock(&self.shared.ledger);
        let same = ledger.iter().filter(|e| e.key.as_deref() == Some(key));
        same.count()
    }

    /// Sets whether `GET /healthz` reports that the host is leaving, with status 503.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::Release);
    }

    /// Closes the port and all connections, or opens the port again.
    pub fn set_listening(&self, listening: bool) {
        self.server.listen_switch().set_listening(listening);
    }

    /// Stops the plain service, as dropping it does.
    pub fn stop(self) {}
}

#[handler]
async fn get_healthz(depot: &mut Depot) -> HttpResponse {
    let service = state::<Arc<Shared>>(depot);
    match service.leaving.load(Ordering::Acquire) {
        true => HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, "leaving".to_owned()),
        false => HttpResponse::text(StatusCode::OK, "ok".to_owned()),
    }
}

#[handler]
async fn get_ledger(depot: &mut Depot) -> HttpResponse {
    HttpResponse::json(&*lock(&state::<Arc<Shared>>(depot).ledger))
}

#[handler]
async fn post_leaving(
    req: &mut Request,
    depot: &mut Depot,
) -> std::result::Result<HttpResponse, HttpResponse> {
    let leaving = read_json(req).await?;
    let service = state::<Arc<Shared>>(depot);
    service.leaving.store(leaving, Ordering::Release);
    Ok(HttpResponse::empty(StatusCode::NO_CONTENT))
}

#[handler]
async fn execute_call(
    req: &mut Request,
    depot: &mut Depot,
) -> std::result::Result<HttpResponse, HttpResponse> {
    let service = state::<Arc<Shared>>(depot);
    let body = read_body(req).await?;
    let execution = service.execute(req, &body);
    if !service.cfg.latency.is_zero() {
        tokio::time::sleep(service.cfg.latency).await;
    }
    Ok(HttpResponse::json(&execution))
}

impl Shared {
    fn execute(&self, req: &Request, body: &[u8]) -> Execution {
        let uri = req.uri();
        let path = uri.path_and_query().map_or(uri.path(), |p| p.as_str());
        let mut ledger = lock(&self.ledger);
        let execution = Execution {
            host: self.cfg.name.clone(),
            order: ledger.len() as u64,
            method: req.method().to_string(),
            path: path.to_owned(),
            key: req.header(IDEMPOTENCY_KEY),
            body: format!("{:016x}", xxh3_64(body)),
        };
        ledger.push(execution.clone());
        execution
    }
}
