//! A stage of a running session: the upstream that runs it, and its progress.

use std::sync::Arc;

use crate::fleet::UpstreamKey;
use crate::routing;
use kelpworks_wire::HandleRef;
use kelpworks_wire::LayerRange;
use kelpworks_wire::StepInput;

/// A stage of a running session.
#[derive(Clone, Debug)]
pub(crate) struct HopState {
    /// Upstream that runs the stage.
    pub(crate) upstream: UpstreamKey,
    /// Base URL of the upstream.
    pub(crate) url: Arc<str>,
    /// Name of the upstream, for log lines.
    pub(crate) name: Arc<str>,
    /// Layers that the stage runs.
    pub(crate) layers: LayerRange,
    /// Lineage of this stage's KV cache; unique within the session, so that a late reply of a
    /// replaced stage cannot be taken for one of this stage.
    pub(crate) attempt: u32,
    /// Number of positions that the stage has run, always from position 0. Never above the
    /// session's number of known tokens.
    pub(crate) positions_run: u32,
    /// Outputs of all positions run, when the engine returns them inline; empty when it retains
    /// them under handles.
    pub(crate) rows: Vec<u64>,
}

impl HopState {
    /// Returns whether this stage runs the layers of `hop` on its upstream.
    pub(crate) fn matches(&self, hop: &routing::Hop) -> bool {
        self.upstream == hop.upstream && self.layers == hop.layers
    }

    /// Returns the stage as a hop of a path.
    pub(crate) fn to_hop(&self) -> routing::Hop {
        routing::Hop {
            upstream: self.upstream,
            layers: self.layers.clone(),
        }
    }

    /// Returns the handle under which the engine retains this stage's output from `position` on.
    pub(crate) fn handle(&self, session: &str, position: u32) -> String {
        format!(
            "{session}/{}/{}/{position}",
            self.attempt, self.layers.first
        )
    }

    /// Returns this stage's output of `count` positions from `position` on, as the next stage's
    /// input.
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
