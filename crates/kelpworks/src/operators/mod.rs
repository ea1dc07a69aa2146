//! HTTP endpoints for operators: `/metrics`, `/healthz`, `/readyz` and `/status`.
//!
//! The platform's load balancer polls `/readyz`. It fails until the daemon has a configuration and
//! can serve a model or service, and from the start of a planned stop.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

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
use tokio::sync::watch;

use crate::clients::era::Eras;
use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::fleet::Health;
use crate::fleet::ModelKey;
use crate::membership::Peers;
use crate::status::ObjectApiStatus;
use crate::status::ReadVersion;
use crate::status::Status;
use kelpworks_coord::id::Version;

/// Sources of the data on the operators' endpoints.
#[derive(Clone, Debug)]
pub struct Operators {
    /// Name of this daemon, unique in the fleet.
    pub name: String,
    /// Whether the daemon has been ready since it started.
    pub was_ready: Arc<AtomicBool>,
    /// State of the callers' endpoints, with the configuration and the fleet.
    pub entry: Arc<Entry>,
    /// Membership view of the other daemons.
    pub peers: Peers,
    /// Last observed state of the object API.
    pub object_api: ObjectApiView,
    /// Handle that renders the recorded metrics.
    pub metrics: PrometheusHandle,
}

/// Live view of the state of the object API as this daemon last observed it.
#[derive(Clone, Debug)]
pub struct ObjectApiView {
    /// Eras that the daemon has observed.
    pub eras: Eras,
    /// Version of the last list or watch of configuration heads; `None` before the first.
    pub read: watch::Receiver<Option<Version>>,
}

impl ObjectApiView {
    fn status(&self) -> ObjectApiStatus {
        let read = *self.read.borrow();
        ObjectApiStatus {
            era: self.eras.latest().0,
            read: read.map(|version| ReadVersion {
                era: version.era.0,
                revision: version.revision,
            }),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Page {
    Metrics,
    Health,
    Ready,
    Status,
}

struct PageHandler {
    operators: Operators,
    page: Page,
}

/// Returns the routes of the operators' endpoints.
pub fn router(operators: &Operators) -> Router {
    let show = |page| PageHandler {
        operators: operators.clone(),
        page,
    };
    Router::new()
        .push(Router::with_path("metrics").get(show(Page::Metrics)))
        .push(Router::with_path("healthz").get(show(Page::Health)))
        .push(Router::with_path("readyz").get(show(Page::Ready)))
        .push(Router::with_path("status").get(show(Page::Status)))
}

impl PageHandler {
    fn status(&self) -> Status {
        Status {
            daemon: self.operators.name.clone(),
            generation: self.operators.entry.config.load().generation,
            members: self.operators.peers.members(),
            object_api: Some(self.operators.object_api.status()),
        }
    }

    /// Returns why the daemon is not ready; `None` when it is ready.
    fn unready_reason(&self) -> Option<&'static str> {
        let entry = &self.operators.entry;
        if entry.draining.load(Ordering::Relaxed) {
            return Some("stopping");
        }
        if entry.config.load().generation == 0 {
            return Some("no configuration yet");
        }
        // A daemon that has been ready stays so when all upstreams are lost: its callers then get
        // an error with a verdict, which a load balancer without any ready daemon can't give.
        if self.operators.was_ready.load(Ordering::Relaxed) {
            return None;
        }
        if !can_serve(&entry.fleet.load()) {
            return Some("no model is held whole yet");
        }
        self.operators.was_ready.store(true, Ordering::Relaxed);
        None
    }
}

/// Whether some model can be served or, if the register has no models, some plain service.
fn can_serve(fleet: &Fleet) -> bool {
    if fleet.models.is_empty() {
        return fleet.upstreams.values().any(|u| u.health == Health::Live);
    }
    let models = (0..fleet.models.len()).map(|m| ModelKey(m as u16));
    let index = fleet.index.as_ref();
    index.is_some_and(|i| models.into_iter().any(|m| i.serves(m)))
}

#[async_trait]
impl Handler for PageHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.page {
            Page::Metrics => {
                self.operators.metrics.run_upkeep();
                res.render(self.operators.metrics.render());
            }
            Page::Status => res.render(Json(self.status())),
            Page::Health => res.render("ok\n"),
            Page::Ready => match self.unready_reason() {
                None => res.render("ready\n"),
                Some(why) => {
                    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                    res.render(format!("{why}\n"));
                }
            },
        }
    }
}
