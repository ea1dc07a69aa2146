//! Orders to an engine and the fencing tokens that reject stale ones.

use std::collections::HashMap;
use std::sync::Arc;

use super::Shared;
use super::ledger::OrderRecord;
use crate::fault::lock;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::LoadedRange;
use kelpworks_wire::OrderAction;
use kelpworks_wire::OrderReply;

/// Roles that an order can set. In [`ROLE_DRAIN`] an engine refuses new sessions, in the others
/// it accepts them.
const ROLES: [&str; 4] = [ROLE_DRAIN, "serve", "prefill", "decode"];
const ROLE_DRAIN: &str = "drain";

/// The highest fencing token seen for each lease.
#[derive(Debug)]
pub(crate) struct FencingTokens {
    enforced: bool,
    highest_by_lease: HashMap<String, u64>,
}

impl FencingTokens {
    pub(crate) fn new(enforced: bool) -> FencingTokens {
        FencingTokens {
            enforced,
            highest_by_lease: HashMap::new(),
        }
    }

    pub(crate) fn highest(&self) -> u64 {
        self.highest_by_lease.values().copied().max().unwrap_or(0)
    }

    /// Records the token of an order; returns the highest one seen if it exceeds the order's.
    fn record(&mut self, order: &EngineOrder) -> Option<u64> {
        let highest = self
            .highest_by_lease
            .entry(order.fence.lease.clone())
            .or_default();
        if order.fence.token < *highest {
            return Some(*highest);
        }
        *highest = order.fence.token;
        None
    }
}

impl Shared {
    /// Executes an order unless its fencing token is stale, and records it in the ledger.
    pub(super) fn order(self: &Arc<Shared>, order: EngineOrder) -> OrderReply {
        let (newer, enforced) = {
            let mut core = lock(&self.core);
            (
                core.fencing_tokens.record(&order),
                core.fencing_tokens.enforced,
            )
        };
        let reply = match newer {
            Some(highest) if enforced => OrderReply::Stale(highest),
            _ => match self.execute(&order.action) {
                Ok(()) => OrderReply::Accepted(order.fence.token),
                Err(reason) => OrderReply::Refused(reason),
            },
        };
        self.ledger.record_order(OrderRecord {
            order,
            reply: reply.clone(),
            was_stale: newer.is_some(),
        });
        reply
    }

    fn execute(self: &Arc<Shared>, action: &OrderAction) -> Result<(), String> {
        match action {
            OrderAction::Load(range) => self.begin_load(range),
            OrderAction::Unload(range) => {
                lock(&self.core).unload(range);
                Ok(())
            }
            OrderAction::Role(role) if ROLES.contains(&role.as_str()) => {
                lock(&self.core).set_draining(role == ROLE_DRAIN);
                Ok(())
            }
            OrderAction::Role(role) => Err(format!("unknown role `{role}`")),
            OrderAction::Adapter(_) => Ok(()),
        }
    }

    fn begin_load(self: &Arc<Shared>, range: &LoadedRange) -> Result<(), String> {
        let mut core = lock(&self.core);
        core.validate_range(range)?;
        if core.has_loaded(range) {
            return Ok(());
        }
        let layers = range.layers.end - range.layers.first;
        if core.allocated_layers().saturating_add(layers) > self.cfg.max_layers {
            return Err("out of memory".to_owned());
        }
        if !core.begin_load(range) {
            return Ok(());
        }
        match self.cfg.weight_store.clone() {
            None => core.end_load(range, true),
            Some(store) => {
                tokio::spawn(self.clone().fetch_weights(store, range.clone()));
            }
        }
        Ok(())
    }

    async fn fetch_weights(self: Arc<Shared>, store: String, range: LoadedRange) {
        let url = format!("{store}/weights/{}/{}", range.model, range.version);
        let query = format!("first={}&end={}", range.layers.first, range.layers.end);
        let sent = self.client.get(format!("{url}?{query}")).send().await;
        let fetched = match sent.and_then(reqwest::Response::error_for_status) {
            Ok(res) => res.bytes().await.map(drop),
            Err(e) => Err(e),
        };
        if let Err(e) = &fetched {
            log::warn!("{}: weights of {range:?}: {e}", self.cfg.name);
        }
        lock(&self.core).end_load(&range, fetched.is_ok());
    }
}
