//! What an engine ran, for tests to check.

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
    /// Place in the order of this engine's runs, from 0.
    pub order: u64,
    /// Incarnation of the engine that ran it.
    pub incarnation: u64,
    /// Session.
    pub session: String,
    /// Attempt.
    pub attempt: u32,
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Layers.
    pub layers: LayerRange,
    /// First position.
    pub position: u32,
    /// Positions.
    pub count: u32,
}

/// An order and what became of it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderRecord {
    /// The order.
    pub order: EngineOrder,
    /// The reply.
    pub reply: OrderReply,
    /// Whether a higher fencing token of the lease had been seen before.
    pub was_stale: bool,
}

/// Sums over all runs, also those that the ledger no longer had room for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Totals {
    /// Runs.
    pub runs: u64,
    /// Layers times positions.
    pub layer_positions: u64,
    /// Iterations.
    pub iterations: u64,
    /// Steps answered busy.
    pub busy: u64,
    /// Steps refused.
    pub refused: u64,
    /// Sessions cancelled.
    pub cancels: u64,
    /// KV caches imported.
    pub imports: u64,
    /// Crashes.
    pub crashes: u64,
}

/// A copy of a ledger.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LedgerView {
    /// Runs, in order; at most the configured number.
    pub runs: Vec<Run>,
    /// Orders, in order.
    pub orders: Vec<OrderRecord>,
    /// Sums.
    pub totals: Totals,
}

/// A ledger; clones share it.
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

    /// All runs kept.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.view).runs.clone()
    }

    /// The runs of one session.
    pub fn runs_of(&self, session: &str) -> Vec<Run> {
        let view = lock(&self.view);
        let runs = view.runs.iter().filter(|r| r.session == session);
        runs.cloned().collect()
    }

    /// All orders.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.view).orders.clone()
    }

    /// Sums.
    pub fn totals(&self) -> Totals {
        lock(&self.view).totals
    }

    /// A copy of the whole ledger.
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
