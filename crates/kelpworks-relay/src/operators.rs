//! HTTP endpoints for the load balancer and for operators: readiness, metrics, and what is held back because of crashes.

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::StatusCode;
use salvo::writing::Json;

use crate::blame::Blame;
use crate::shared::Shared;

/// Whether this daemon can serve requests, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It has a configuration and at least one upstream.
    Ready,
    /// A planned stop has begun.
    Stopping,
    /// No configuration is known.
    NoConfiguration,
    /// No upstream is known.
    NoUpstreams,
}

impl Readiness {
    /// Returns the current readiness of a daemon.
    pub(crate) fn of(shared: &Shared) -> Readiness {
        if shared.stop.has_begun() {
            return Readiness::Stopping;
        }
        if shared.table.load().version() == 0 {
            return Readiness::NoConfiguration;
        }
        match shared.fleet().iter().next() {
            Some(_) => Readiness::Ready,
            None => Readiness::NoUpstreams,
        }
    }

    /// Returns the text of the readiness endpoint and of the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Readiness::Ready => "ready",
            Readiness::Stopping => "stopping",
            Readiness::NoConfiguration => "no configuration yet",
            Readiness::NoUpstreams => "no upstreams yet",
        }
    }
}

struct ReadinessHandler {
    shared: Arc<Shared>,
}

struct BlameHandler {
    shared: Arc<Shared>,
}

struct MetricsHandler {
    metrics: PrometheusHandle,
}

/// Returns the readiness endpoint for the load balancer. It answers on any path, since platforms
/// differ in the one they request.
pub(crate) fn readiness_router(shared: &Arc<Shared>) -> Router {
    let handler = ReadinessHandler {
        shared: Arc::clone(shared),
    };
    Router::with_path("{**rest}").get(handler)
}

/// Returns the endpoints that serve metrics in the Prometheus format, and what is held back as JSON.
pub(crate) fn operators_router(metrics: PrometheusHandle, shared: &Arc<Shared>) -> Router {
    let blame = BlameHandler {
        shared: Arc::clone(shared),
    };
    Router::new()
        .push(Router::with_path("metrics").get(MetricsHandler { metrics }))
        .push(Router::with_path("blame").get(blame))
}

#[async_trait]
impl Handler for ReadinessHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let readiness = Readiness::of(&self.shared);
        if readiness != Readiness::Ready {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(readiness.as_str());
    }
}

#[async_trait]
impl Handler for BlameHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.render(Json(Blame::of(&self.shared)));
    }
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.metrics.run_upkeep();
        res.render(self.metrics.render());
    }
}
