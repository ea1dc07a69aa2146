//! HTTP endpoints for callers. Every error response carries a verdict, which says whether the
//! request may have been executed.

mod at_most_once;
mod auth;
mod completions;
mod reply;
mod route_error;
mod services;
mod shape;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use salvo::Router;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use crate::active_config::ActiveConfig;
use crate::admission::Admission;
use crate::clients::engine::HttpEngine;
use crate::entry::route_error::RouteError;
use crate::fleet::Fleet;
use crate::membership::PeerClaims;
use crate::memory_budget::MemoryBudget;
use crate::pipeline::Driver;
use crate::settings::Limits;
use crate::upstreams::Report;

/// Shared state of the callers' endpoints; one per daemon.
#[derive(Debug)]
pub struct Entry {
    /// Size and token limits of requests.
    pub limits: Limits,
    /// Memory for the bodies of requests.
    pub memory: Arc<MemoryBudget>,
    /// Longest time for a whole request, counted from when its body has been read.
    pub request_timeout: Duration,
    /// Active configuration, replaced with each new generation.
    pub config: Arc<ArcSwap<ActiveConfig>>,
    /// Current view of models, services and their upstreams.
    pub fleet: Arc<ArcSwap<Fleet>>,
    /// Admission control of model requests.
    pub admission: Admission,
    /// Runs the sessions of model requests.
    pub driver: Driver<HttpEngine>,
    /// HTTP client of the upstreams, with its connection pools.
    pub engine: Arc<HttpEngine>,
    /// Channel on which failures of upstreams are reported to the monitor.
    pub reports: mpsc::UnboundedSender<Report>,
    /// Claims of requests with an idempotency key, which run at most once.
    pub claims: Arc<PeerClaims>,
    /// Running sessions and calls.
    pub tasks: TaskTracker,
    /// Set at the start of a planned stop; the load balancer's check fails from then on.
    pub draining: AtomicBool,
    /// Set once the load balancer has had time to notice; new requests are refused from then on.
    pub closed: AtomicBool,
}

impl Entry {
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}

/// Returns the routes of the callers' endpoints.
pub fn router(entry: &Arc<Entry>) -> Router {
    let completions = completions::Completions::new(Arc::clone(entry), shape::Shape::Text);
    let chat = completions::Completions::new(Arc::clone(entry), shape::Shape::Chat);
    let services = services::Services::new(Arc::clone(entry));
    Router::new()
        .push(post_only("v1/completions", completions))
        .push(post_only("v1/chat/completions", chat))
        .push(Router::with_path("services/{name}/{**rest}").goal(services))
        .push(Router::with_path("{**rest}").goal(RouteError::UnknownPath))
}

fn post_only(path: &str, handler: completions::Completions) -> Router {
    Router::with_path(path)
        .push(Router::new().post(handler))
        .push(Router::new().goal(RouteError::MethodNotAllowed))
}
