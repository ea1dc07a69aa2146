//! Record of what an engine ran, for tests to check.

use std::sync::Arc;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

use crate::fault::lock;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::LayerRange;
use kelpworks_wire::OrderReply;
use kelpworks_wire::Step;

/// One run of a layer range over consecutive positions.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Run {
    /// Sequence number among this engine's runs, from 0.
    pub order: u64,
    /// Incarnation of the engine at the time of the run.
    pub incarnation: u64,
    /// Session that the step belongs to.
    pub session: String,
    /// Attempt of the session, as the step names it.
    pub attempt: u32,
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Layer range that ran.
    pub layers: LayerRange,
    /// First position of the run.
    pub position: u32,
    /// Number of positions.
    pub count: u32,
}

/// An order and the engine's reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderRecord {
    /// Order as received.
    pub order: EngineOrder,
    /// Reply as sent.
    pub reply: OrderReply,
    /// Whether the engine had seen a higher fencing token of the same lease before.
    pub was_stale: bool,
}

/// Totals since the start, including runs beyond
/// [`ledger_limit`](super::EngineConfig::ledger_limit).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Totals {
    /// Steps that ran.
    pub runs: u64,
    /// Sum over all runs of layers times positions.
    pub layer_positions: u64,
    /// Scheduler iterations.
    pub iterations: u64,
    /// Steps answered busy.
    pub busy: u64,
    /// Steps refused.
    pub refused: u64,
    /// Cancel requests.
    pub cancels: u64,
    /// KV caches imported.
    pub imports: u64,
    /// Crashes from any cause.
    pub crashes: u64,
}

/// Snapshot of a ledger.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LedgerView {
    /// Runs in execution order, at most [`ledger_limit`](super::EngineConfig::ledger_limit).
    pub runs: Vec<Run>,
    /// Orders in the order of their replies.
    pub orders: Vec<OrderRecord>,
    /// Totals since the start.
    pub totals: Totals,
}

/// Ledger of an engine; clones share the same records.
#[derive(Clone, Debug)]
pub struct Ledger {
    limit: usize,
    view: Arc<Mutex<LedgerView>>,
}

impl Ledger {
    pub(crate) fn new(limit: usize) -> Ledger {
        Ledger {
            limit,
            view: Arc::default(),
        }
    }

    /// Returns all recorded runs.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.view).runs.clone()
    }

    /// Returns the recorded runs of one session.
    pub fn runs_of(&self, session: &str) -> Vec<Run> {
        let view = lock(&self.view);
        let runs = view.runs.iter().filter(|r| r.session == session);
        runs.cloned().collect()
    }

    /// Returns all orders with their replies.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.view).orders.clone()
    }

    /// Returns the totals since the start.
    pub fn totals(&self) -> Totals {
        lock(&self.view).totals
    }

    /// Returns a snapshot of the whole ledger.
    pub fn view(&self) -> LedgerView {
        lock(&self.view).clone()
    }

    pub(crate) fn record_run(&self, step: &Step, count: u32, incarnation: u64) {
        let mut view = lock(&self.view);
        let order = view.totals.runs;
        let layers = step.layers.end - step.layers.first;
        view.totals.runs += 1;
        view.totals.layer_positions += u64::from(layers) * u64::from(count);
        if view.runs.len() == self.limit {
            return;
        }
        view.runs.push(Run {
            order,
            incarnation,
            session: step.session.clone(),
            attempt: step.attempt,
            model: step.model.clone(),
            version: step.version.clone(),
            layers: step.layers.clone(),
            position: step.position,
            count,
        });
    }

    pub(crate) fn record_order(&self, record: OrderRecord) {
        lock(&self.view).orders.push(record);
    }

    pub(crate) fn record_crash(&self) {
        self.count(|t| t.crashes += 1);
    }

    pub(crate) fn count(&self, add: impl FnOnce(&mut Totals)) {
        add(&mut lock(&self.view).totals);
    }
}
