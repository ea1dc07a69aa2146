//! HTTP interface of the object API.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use tokio::time::Instant;

use super::ApiMode;
use super::Call;
use super::Shared;
use super::error;
use super::unavailable;
use crate::fault::FaultKind;
use crate::fault::lock;
use crate::server::HttpResponse;
use crate::server::read_json;
use crate::server::state;
use kelpworks_wire::ApiErrorCode;
use kelpworks_wire::Object;
use kelpworks_wire::ObjectBody;
use kelpworks_wire::ObjectList;
use kelpworks_wire::WatchReply;

type HandlerResult = std::result::Result<HttpResponse, HttpResponse>;
type State = Arc<Shared>;

/// Response header that carries the era of the store.
const ERA_HEADER: &str = "store-era";

pub(super) fn router() -> Router {
    let object = Router::with_path("objects/{kind}/{name}")
        .get(get_object)
        .put(put_object)
        .delete(delete_object);
    Router::new()
        .hoop(add_era_header)
        .push(object)
        .push(Router::with_path("objects/{kind}").get(list_objects))
        .push(Router::with_path("watch/{kind}").get(get_watch))
        .push(Router::with_path("fake/counts").get(get_counts))
        .push(Router::with_path("fake/mode").post(post_mode))
}

/// Kind and name of the object in a request's path; the name is empty if the path has none.
#[derive(Clone, Debug)]
struct Path {
    kind: String,
    name: String,
}

impl Path {
    fn of(req: &Request) -> Path {
        Path {
            kind: req.param("kind").unwrap_or_default(),
            name: req.param("name").unwrap_or_default(),
        }
    }
}

/// Adds the store's era to each response.
#[handler]
async fn add_era_header(
    req: &mut Request,
    depot: &mut Depot,
    res: &mut Response,
    ctrl: &mut FlowCtrl,
) {
    ctrl.call_next(req, depot, res).await;
    let era = state::<State>(depot).era.load(Ordering::SeqCst);
    res.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
}

#[handler]
async fn get_object(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let api = state::<State>(depot);
    api.admit(Call::Read).await?;
    let Path { kind, name } = Path::of(req);
    let stale = api.take_stale_read(req.uri().path());
    let store = lock(&api.store);
    let object = match stale {
        true => store.get_stale(&kind, &name),
        false => store.get(&kind, &name),
    };
    match object {
        Some(object) => Ok(HttpResponse::json(object)),
        None => Err(not_found()),
    }
}

#[handler]
async fn put_object(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let api = state::<State>(depot);
    api.admit(Call::Write).await?;
    let Path { kind, name } = Path::of(req);
    let ObjectBody { body } = read_json(req).await?;
    if body.len() > api.cfg.max_body {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(error(status, ApiErrorCode::TooLarge, None));
    }
    let mut store = lock(&api.store);
    check_version(req, store.get(&kind, &name))?;
    let object = store.put(&kind, &name, body);
    api.version.send_replace(object.version);
    Ok(HttpResponse::json(&object))
}

#[handler]
async fn delete_object(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let api = state::<State>(depot);
    api.admit(Call::Write).await?;
    let Path { kind, name } = Path::of(req);
    let mut store = lock(&api.store);
    let current = store.get(&kind, &name);
    if current.is_none() {
        return Err(not_found());
    }
    check_version(req, current)?;
    store.delete(&kind, &name);
    api.version.send_replace(store.version());
    Ok(HttpResponse::empty(StatusCode::NO_CONTENT))
}

/// Checks the `if_version` condition of a write against the current object.
fn check_version(req: &Request, current: Option<&Object>) -> std::result::Result<(), HttpResponse> {
    let Some(wanted) = req.query::<u64>("if_version") else {
        return Ok(());
    };
    if current.map_or(0, |o| o.version) == wanted {
        return Ok(());
    }
    let status = StatusCode::CONFLICT;
    Err(error(status, ApiErrorCode::Conflict, current.cloned()))
}

#[handler]
async fn list_objects(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let api = state::<State>(depot);
    api.admit(Call::List).await?;
    let Path { kind, .. } = Path::of(req);
    let store = lock(&api.store);
    Ok(HttpResponse::json(&ObjectList {
        items: store.list(&kind),
        version: store.version(),
    }))
}

#[handler]
async fn get_watch(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let api = state::<State>(depot);
    api.admit(Call::Watch).await?;
    let Path { kind, .. } = Path::of(req);
    let from = req.query("from").unwrap_or(0);
    let wait = Duration::from_millis(req.query("wait_ms").unwrap_or(0));
    let expired = |k: &FaultKind| *k == FaultKind::ExpiredVersion;
    if api
        .faults
        .take_application(req.uri().path(), expired)
        .is_some()
    {
        return Err(error(StatusCode::GONE, ApiErrorCode::Expired, None));
    }
    api.wait_for_events(&kind, from, wait).await
}

#[handler]
async fn get_counts(depot: &mut Depot) -> HttpResponse {
    HttpResponse::json(&state::<State>(depot).counts())
}

#[handler]
async fn post_mode(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let mode: ApiMode = read_json(req).await?;
    state::<State>(depot).mode.send_replace(mode);
    Ok(HttpResponse::empty(StatusCode::NO_CONTENT))
}

fn not_found() -> HttpResponse {
    error(StatusCode::NOT_FOUND, ApiErrorCode::NotFound, None)
}

impl Shared {
    fn take_stale_read(&self, path: &str) -> bool {
        let wanted = |k: &FaultKind| *k == FaultKind::StaleRead;
        self.faults.take_application(path, wanted).is_some()
    }

    /// Answers a watch once there is a change after `from`, the wait has timed out or the mode
    /// changes.
    async fn wait_for_events(&self, kind: &str, from: u64, wait: Duration) -> HandlerResult {
        let deadline = Instant::now() + wait;
        let mut version = self.version.subscribe();
        let mut mode = self.mode.subscribe();
        loop {
            version.borrow_and_update();
            let timed_out = Instant::now() >= deadline;
            if let Some(reply) = self.watch_reply(kind, from, timed_out) {
                return reply;
            }
            tokio::select! {
                _ = tokio::time::sleep_until(deadline) => {}
                _ = version.changed() => {}
                _ = mode.changed() => {}
            }
            let now = *mode.borrow_and_update();
            match now {
                ApiMode::Up => {}
                ApiMode::Unavailable => return Err(unavailable()),
                ApiMode::Silent => pending().await,
            }
        }
    }

    fn watch_reply(&self, kind: &str, from: u64, timed_out: bool) -> Option<HandlerResult> {
        let store = lock(&self.store);
        let Some(events) = store.events_after(kind, from) else {
            return Some(Err(error(StatusCode::GONE, ApiErrorCode::Expired, None)));
        };
        if events.is_empty() && !timed_out {
            return None;
        }
        let version = store.version().max(from);
        Some(Ok(HttpResponse::json(&WatchReply { events, version })))
    }
}
