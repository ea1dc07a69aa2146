//! HTTP interface of an engine.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use salvo::Depot;
use salvo::Request;
use salvo::Router;
use salvo::handler;
use salvo::http::StatusCode;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Shared;
use super::core::Input;
use super::scheduler::QueuedStep;
use super::scheduler::StepResult;
use crate::fault::FaultKind;
use crate::fault::lock;
use crate::server::HttpResponse;
use crate::server::read_json;
use crate::server::state;
use kelpworks_wire::ActivationRequest;
use kelpworks_wire::Activations;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::HandleRef;
use kelpworks_wire::KvBlob;
use kelpworks_wire::KvExportRequest;
use kelpworks_wire::RefusalReason;
use kelpworks_wire::Step;
use kelpworks_wire::StepBatch;
use kelpworks_wire::StepBatchReply;
use kelpworks_wire::StepInput;
use kelpworks_wire::StepOutcome;
use kelpworks_wire::StepRefusal;
use kelpworks_wire::StepReply;

/// Request path of step batches; faults of steps match against it.
pub(super) const STEPS: &str = "/v1/steps";

type HandlerResult = std::result::Result<HttpResponse, HttpResponse>;
type State = Arc<Shared>;

pub(super) fn router() -> Router {
    Router::new()
        .push(Router::with_path("v1/steps").post(post_steps))
        .push(Router::with_path("v1/activations").post(post_activations))
        .push(Router::with_path("v1/cancel").post(post_cancel))
        .push(Router::with_path("v1/kv/export").post(post_kv_export))
        .push(Router::with_path("v1/kv/import").post(post_kv_import))
        .push(Router::with_path("v1/state").get(get_state))
        .push(Router::with_path("v1/orders").post(post_order))
        .push(Router::with_path("v1/cache-events").get(get_cache_events))
        .push(Router::with_path("fake/ledger").get(get_ledger))
        .push(Router::with_path("fake/draining").post(post_draining))
        .push(Router::with_path("fake/slowdown").post(post_slowdown))
        .push(Router::with_path("fake/crash").post(post_crash))
}

#[handler]
async fn post_steps(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let engine = state::<State>(depot);
    let batch: StepBatch = read_json(req).await?;
    let replies = join_all(batch.steps.into_iter().map(|s| engine.step(s))).await;
    Ok(HttpResponse::json(&StepBatchReply { replies }))
}

#[handler]
async fn post_activations(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let engine = state::<State>(depot);
    let wanted: ActivationRequest = read_json(req).await?;
    let rows = lock(&engine.core)
        .sessions
        .rows(&wanted.handle, wanted.count);
    match rows {
        Some(rows) => Ok(HttpResponse::json(&Activations { rows })),
        None => Err(HttpResponse::empty(StatusCode::NOT_FOUND)),
    }
}

#[handler]
async fn post_cancel(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let engine = state::<State>(depot);
    let req: CancelRequest = read_json(req).await?;
    lock(&engine.core).cancel(&req);
    engine.ledger.count(|t| t.cancels += 1);
    Ok(HttpResponse::empty(StatusCode::NO_CONTENT))
}

#[handler]
async fn post_kv_export(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let engine = state::<State>(depot);
    let req: KvExportRequest = read_json(req).await?;
    let blob = lock(&engine.core).export(&req);
    match blob {
        Some(blob) => Ok(HttpResponse::json(&blob)),
        None => Err(HttpResponse::empty(StatusCode::NOT_FOUND)),
    }
}

#[handler]
async fn post_kv_import(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let engine = state::<State>(depot);
    let blob: KvBlob = read_json(req).await?;
    let imported = lock(&engine.core).import(blob);
    match imported {
        Ok(()) => {
            engine.ledger.count(|t| t.imports += 1);
            Ok(HttpResponse::empty(StatusCode::NO_CONTENT))
        }
        Err(refused) => {
            let status = match *refused {
                StepOutcome::Busy(_) => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::CONFLICT,
            };
            Err(HttpResponse::json_with(status, &*refused))
        }
    }
}

#[handler]
async fn get_state(depot: &mut Depot) -> HttpResponse {
    HttpResponse::json(&state::<State>(depot).state())
}

#[handler]
async fn post_order(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let engine = state::<State>(depot);
    let order: EngineOrder = read_json(req).await?;
    Ok(HttpResponse::json(&engine.order(order)))
}

#[handler]
async fn get_cache_events(req: &mut Request, depot: &mut Depot) -> HttpResponse {
    let engine = state::<State>(depot);
    let from = req.query("from").unwrap_or(0);
    let events = lock(&engine.cache).events(from, engine.incarnation());
    HttpResponse::json(&events)
}

#[handler]
async fn get_ledger(depot: &mut Depot) -> HttpResponse {
    HttpResponse::json(&state::<State>(depot).ledger.view())
}

#[handler]
async fn post_draining(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let engine = state::<State>(depot);
    let draining: bool = read_json(req).await?;
    lock(&engine.core).set_draining(draining);
    Ok(HttpResponse::empty(StatusCode::NO_CONTENT))
}

#[handler]
async fn post_slowdown(req: &mut Request, depot: &mut Depot) -> HandlerResult {
    let engine = state::<State>(depot);
    let factor: f64 = read_json(req).await?;
    if factor <= 0.0 {
        return Err(HttpResponse::empty(StatusCode::BAD_REQUEST));
    }
    *lock(&engine.slowdown) = factor;
    Ok(HttpResponse::empty(StatusCode::NO_CONTENT))
}

#[handler]
async fn post_crash(depot: &mut Depot) {
    state::<State>(depot).crash();
}

impl Shared {
    /// Queues a step, waits for it and returns its reply, with any reply faults applied.
    pub(super) async fn step(&self, mut step: Step) -> StepReply {
        let result = self.submit(&mut step).await;
        let reply = StepReply {
            session: step.session,
            attempt: step.attempt,
            position: step.position,
            count: result.count,
            layers: step.layers,
            model: step.model,
            version: step.version,
            incarnation: self.incarnation(),
            outcome: result.outcome,
            load: self.load(),
        };
        self.apply_reply_faults(reply)
    }

    /// Queues a step and waits for its result; moves the input out of `step`.
    async fn submit(&self, step: &mut Step) -> StepResult {
        let busy = |k: &FaultKind| matches!(k, FaultKind::Busy(_));
        if let Some(FaultKind::Busy(ms)) = self.faults.take_application(STEPS, busy) {
            let reply = kelpworks_wire::BusyReply { retry_after_ms: ms };
            return self.reject(StepOutcome::Busy(reply));
        }
        let given = std::mem::replace(&mut step.input, Vec::<u64>::new().into());
        let input = match self.resolve_input(given, step).await {
            Ok(input) => input,
            Err(refused) => return self.reject(refused),
        };
        let (tx, rx) = oneshot::channel();
        let waiting = QueuedStep {
            step: step.clone(),
            input,
            at: Instant::now(),
            tx,
        };
        if !self.queue.push(waiting, self.cfg.queue_bound) {
            let busy = lock(&self.core).busy();
            return self.reject(busy);
        }
        match rx.await {
            Ok(result) => result,
            // The engine crashed, which closes the connection.
            Err(_) => pending().await,
        }
    }

    async fn resolve_input(
        &self,
        given: StepInput,
        step: &Step,
    ) -> std::result::Result<Input, StepOutcome> {
        match given {
            StepInput::Tokens(tokens) => Ok(Input::Tokens(tokens)),
            StepInput::Rows(rows) => Ok(Input::Rows(rows)),
            StepInput::Handle(wanted) => {
                let deadline = Duration::from_millis(u64::from(step.deadline_ms));
                if let Some(rows) = self.fetch_rows(wanted, deadline).await {
                    return Ok(Input::Rows(rows));
                }
                // A refusal of the step itself takes precedence over the missing handle.
                lock(&self.core).check(step).map_err(|refused| *refused)?;
                Err(StepOutcome::Refused(StepRefusal {
                    reason: RefusalReason::HandleMissing,
                    have: step.position,
                }))
            }
        }
    }

    /// Fetches rows that another engine retains; `None` on failure or after `deadline`.
    async fn fetch_rows(&self, wanted: HandleRef, deadline: Duration) -> Option<Vec<u64>> {
        if wanted.upstream == self.url {
            return lock(&self.core).sessions.rows(&wanted.handle, wanted.count);
        }
        let url = format!("{}/v1/activations", wanted.upstream);
        let body = ActivationRequest {
            handle: wanted.handle,
            count: wanted.count,
        };
        let req = self.client.post(url).timeout(deadline).json(&body);
        let res = req.send().await.ok()?.error_for_status().ok()?;
        let activations: Activations = res.json().await.ok()?;
        Some(activations.rows)
    }

    /// Applies the faults that falsify a reply.
    fn apply_reply_faults(&self, reply: StepReply) -> StepReply {
        let mut shown = reply.clone();
        let previous = lock(&self.previous).replace(reply);
        if self.take_step_fault(&FaultKind::PreviousReply)
            && let Some(previous) = &previous
        {
            shown = previous.clone();
        }
        if self.take_step_fault(&FaultKind::OtherSession) {
            let other = previous.map(|p| p.session).filter(|s| *s != shown.session);
            shown.session = other.unwrap_or_else(|| format!("{}-other", shown.session));
        }
        if self.take_step_fault(&FaultKind::WrongRange) {
            shown.layers.end += 1;
        }
        shown
    }
}
