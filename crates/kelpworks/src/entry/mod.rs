//! The callers' side: HTTP requests in, answers or refusals with a verdict out.

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
use crate::pipeline::Driver;
use crate::settings::Limits;
use crate::upstreams::Report;

/// What the callers' side works with; one for the whole daemon.
#[derive(Debug)]
pub struct Entry {
    /// Bounds on requests.
    pub limits: Limits,
    /// Longest time for a whole request.
    pub request_timeout: Duration,
    /// The configuration in force.
    pub config: Arc<ArcSwap<ActiveConfig>>,
    /// The fleet.
    pub fleet: Arc<ArcSwap<Fleet>>,
    /// Admission.
    pub admission: Admission,
    /// Drives sessions.
    pub driver: Driver<HttpEngine>,
    /// Connections to upstreams.
    pub engine: Arc<HttpEngine>,
    /// Where failures of upstreams are reported.
    pub reports: mpsc::UnboundedSender<Report>,
    /// Claims of keyed calls that run at most once.
    pub claims: Arc<PeerClaims>,
    /// Running sessions and calls.
    pub tasks: TaskTracker,
    /// True from the start of a planned stop on; the balancer's check fails then.
    pub draining: AtomicBool,
    /// True once the balancer has had time to notice; new requests are refused then.
    pub closed: AtomicBool,
}

impl Entry {
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}

/// Routes of the callers' address.
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
