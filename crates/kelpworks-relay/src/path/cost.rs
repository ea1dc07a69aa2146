//! Cost of a token at an engine, given the load of the engine.

use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::config::Accelerator;
use crate::config::EngineProfile;
use crate::fleet::Load;
use crate::fleet::Upstream;

/// Typical time of a token over a whole path, in milliseconds, on lightly loaded fleets of current
/// kinds of accelerators.
const TYPICAL_TOKEN_MS: f64 = 6.0;
/// Maximum share of an engine's time that is assumed to be spent on reading prompts; beyond it the
/// formula for the waiting time is not valid.
const MAX_PROMPT_LOAD: f64 = 0.85;

/// Cost parameters of an engine that holds layers and accepts new work.
#[derive(Clone, Copy)]
pub(crate) struct Cost<'a> {
    engines: &'a EngineProfile,
    kind: &'a Accelerator,
    /// How many times longer its work takes than is usual for its kind.
    slowness: f64,
    /// The layers that it holds; not empty.
    pub(crate) layers: LayerRange,
    /// Token-layers of KV cache that fit beside its layers. All of it may be reserved: a stream
    /// uses only what it has written, half of its answer on average, so reservations exceed use,
    /// and engines rarely refuse.
    pub(crate) capacity: f64,
}

impl<'a> Cost<'a> {
    /// Returns `None` for an engine that is leaving, holds no layers or is of an unknown kind.
    pub(crate) fn of(
        upstream: &Upstream,
        engines: &'a EngineProfile,
        now: Instant,
    ) -> Option<Cost<'a>> {
        let layers = upstream.layers.filter(|r| !r.is_empty())?;
        let kind = engines.kind(upstream.entry.kind.as_deref()?)?;
        upstream.is_ready().then(|| Cost {
            engines,
            kind,
            slowness: upstream.slowness(now),
            layers,
            capacity: engines.kv_capacity(kind, layers.len()),
        })
    }

    /// The kind of its accelerator.
    pub(crate) fn kind(&self) -> &'a Accelerator {
        self.kind
    }

    /// Returns the time in milliseconds that a token of a request of `tokens` tokens takes at each
    /// layer of the engine, beside a load.
    pub(crate) fn layer_ms(&self, load: Load, tokens: f64) -> f64 {
        let sequences = load.running + 1.0;
        let context = sequences * tokens / 1e3;
        let EngineProfile {
            step_ms,
            sequence_ms,
            context_ms,
            ..
        } = self.engines;
        let step = step_ms + sequence_ms * sequences + context_ms * context;
        let prompt_wait_factor = self.prompt_wait_factor(load.running);
        self.kind.step_factor * step * prompt_wait_factor * self.slowness
            / f64::from(self.engines.layers)
    }

    /// Returns the factor by which steps take longer because prompts are read between them. An
    /// engine with many running requests also starts many, and each has its prompt read once.
    fn prompt_wait_factor(&self, running: f64) -> f64 {
        let engines = self.engines;
        let share = f64::from(self.layers.len()) / f64::from(engines.layers.max(1));
        let prompt_ms = engines.typical_prompt_tokens / engines.read_per_s * 1e3;
        let reading_ms = prompt_ms * self.kind.read_factor * share;
        let answer_ms = (engines.typical_answer_tokens * TYPICAL_TOKEN_MS).max(1.0);
        let prompt_load = (running * reading_ms / answer_ms).min(MAX_PROMPT_LOAD);
        (1.0 - prompt_load).powi(-2)
    }
}
