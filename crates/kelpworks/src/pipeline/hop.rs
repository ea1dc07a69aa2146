//! One stage of a running session: where it runs and how far it has come.

use std::sync::Arc;

use crate::fleet::UpstreamKey;
use crate::routing;
use kelpworks_wire::HandleRef;
use kelpworks_wire::LayerRange;
use kelpworks_wire::StepInput;

/// A stage of a running session.
#[derive(Clone, Debug)]
pub(crate) struct HopState {
    /// The upstream that runs it.
    pub(crate) upstream: UpstreamKey,
    /// Its base URL.
    pub(crate) url: Arc<str>,
    /// Its name, for log lines.
    pub(crate) name: Arc<str>,
    /// The layers it runs.
    pub(crate) layers: LayerRange,
    /// Lineage of this stage's KV cache; unique within the session, so that a late reply of an
    /// earlier stage can't pass for one of this stage.
    pub(crate) attempt: u32,
    /// Positions run, counted from 0. Never above the session's number of known tokens.
    pub(crate) positions_run: u32,
    /// Outputs kept here when the engine returns them inline; as long as `have` then, else empty.
    pub(crate) rows: Vec<u64>,
}

impl HopState {
    /// Whether this stage is the one that `hop` asks for.
    pub(crate) fn matches(&self, hop: &routing::Hop) -> bool {
        self.upstream == hop.upstream && self.layers == hop.layers
    }

    /// The same place on the path, for the router.
    pub(crate) fn to_hop(&self) -> routing::Hop {
        routing::Hop {
            upstream: self.upstream,
            layers: self.layers.clone(),
        }
    }

    /// Handle under which the engine keeps this stage's output from `position` on.
    pub(crate) fn handle(&self, session: &str, position: u32) -> String {
        format!(
            "{session}/{}/{}/{position}",
            self.attempt, self.layers.first
        )
    }

    /// This stage's output of `count` positions from `position` on, as the next stage's input.
    pub(crate) fn output(&self, session: &str, position: u32, count: u32) -> StepInput {
        if self.rows.is_empty() {
            let handle = self.handle(session, position);
            return StepInput::Handle(HandleRef {
                upstream: self.url.to_string(),
                handle,
                count,
            });
        }
        let from = position as usize;
        StepInput::Rows(self.rows[from..from + count as usize].to_vec())
    }
}
