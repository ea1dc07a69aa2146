//! State and decisions of an engine, without I/O or timing.

use std::sync::Arc;

use super::config::EngineConfig;
use super::config::POISON;
use super::orders::FencingTokens;
use super::sessions::Sessions;
use super::sessions::Shard;
use super::sessions::handle;
use crate::error::Error;
use crate::error::Result;
use crate::model::KvCache;
use crate::model::Model;
use kelpworks_wire::BusyReply;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::Class;
use kelpworks_wire::EngineLoad;
use kelpworks_wire::EngineState;
use kelpworks_wire::KvBlob;
use kelpworks_wire::KvExportRequest;
use kelpworks_wire::LayerRange;
use kelpworks_wire::LoadedRange;
use kelpworks_wire::OutputForm;
use kelpworks_wire::RefusalReason;
use kelpworks_wire::Step;
use kelpworks_wire::StepOutcome;
use kelpworks_wire::StepRefusal;

/// Input of a step; rows named by a handle have been fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Input {
    /// Token ids, one a position; input of layer 0.
    Tokens(Vec<u32>),
    /// Activation rows, one a position; input of any other layer.
    Rows(Vec<u64>),
}

impl Input {
    pub(crate) fn count(&self) -> u32 {
        match self {
            Input::Tokens(tokens) => tokens.len() as u32,
            Input::Rows(rows) => rows.len() as u32,
        }
    }

    /// Returns whether the tokens contain [`POISON`].
    pub(crate) fn is_poison(&self) -> bool {
        let Input::Tokens(tokens) = self else {
            return false;
        };
        let spells = |w: &[u32]| w.iter().zip(POISON).all(|(t, b)| *t == u32::from(*b) + 1);
        tokens.windows(POISON.len()).any(spells)
    }
}

/// Outcome of a step that does not run: refused or busy.
pub(crate) type Rejection = Box<StepOutcome>;

/// A loaded layer range and its model at the loaded version.
#[derive(Debug)]
struct LoadedModel {
    range: LoadedRange,
    model: Arc<Model>,
}

/// Loaded ranges, sessions and fencing tokens of an engine.
#[derive(Debug)]
pub(crate) struct Core {
    models: Vec<Model>,
    loaded: Vec<LoadedModel>,
    /// Ranges being loaded; none of them is also in `loaded`.
    loading: Vec<LoadedRange>,
    pub(crate) sessions: Sessions,
    pub(crate) fencing_tokens: FencingTokens,
    draining: bool,
    kv_capacity: u64,
    retained_rows: usize,
    retry_after_ms: u32,
}

impl Core {
    pub(crate) fn new(cfg: &EngineConfig) -> Result<Core> {
        let mut core = Core {
            models: cfg.models.clone(),
            loaded: Vec::new(),
            loading: Vec::new(),
            sessions: Sessions::default(),
            fencing_tokens: FencingTokens::new(cfg.checks_fencing),
            draining: false,
            kv_capacity: cfg.kv_capacity,
            retained_rows: cfg.retained_rows,
            retry_after_ms: cfg.retry_after.as_millis() as u32,
        };
        for range in &cfg.loaded {
            core.validate_range(range).map_err(Error::Config)?;
            core.insert_loaded(range.clone());
        }
        Ok(core)
    }

    /// Checks that a range lies within a configured model; the error is the reason if not.
    pub(crate) fn validate_range(&self, range: &LoadedRange) -> std::result::Result<(), String> {
        let Some(model) = self.models.iter().find(|m| m.name() == range.model) else {
            return Err(format!("unknown model `{}`", range.model));
        };
        let LayerRange { first, end } = range.layers;
        if first >= end || end > model.layers() {
            let layers = model.layers();
            return Err(format!("layers {first}..{end} of a model of {layers}"));
        }
        Ok(())
    }

    /// Returns whether exactly this range is loaded.
    pub(crate) fn has_loaded(&self, range: &LoadedRange) -> bool {
        self.loaded.iter().any(|h| h.range == *range)
    }

    pub(crate) fn allocated_layers(&self) -> u32 {
        let loaded = self.loaded.iter().map(|h| &h.range);
        loaded
            .chain(&self.loading)
            .map(|r| r.layers.end - r.layers.first)
            .sum()
    }

    /// Marks a range as being loaded; returns false when it already was.
    pub(crate) fn begin_load(&mut self, range: &LoadedRange) -> bool {
        let new = !self.loading.contains(range);
        if new {
            self.loading.push(range.clone());
        }
        new
    }

    /// Ends the load of a range. A fetched range becomes loaded unless it was unloaded meanwhile.
    pub(crate) fn end_load(&mut self, range: &LoadedRange, fetched: bool) {
        let before = self.loading.len();
        self.loading.retain(|r| r != range);
        if fetched && self.loading.len() < before {
            self.insert_loaded(range.clone());
        }
    }

    fn insert_loaded(&mut self, range: LoadedRange) {
        let configured = self.models.iter().find(|m| m.name() == range.model);
        if let Some(model) = configured {
            let model = Arc::new(model.at_version(&range.version));
            self.loaded.push(LoadedModel { range, model });
        }
    }

    /// Removes a range and all shards that no remaining range covers.
    pub(crate) fn unload(&mut self, range: &LoadedRange) {
        self.loading.retain(|r| r != range);
        self.loaded.retain(|h| h.range != *range);
        let loaded = &self.loaded;
        self.sessions.retain(|shard| {
            let (name, version) = (shard.model.name(), shard.model.version());
            loaded
                .iter()
                .any(|h| covers(&h.range, name, version, &shard.layers))
        });
    }

    pub(crate) fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Drops all sessions and the loads in progress, as a crash does.
    pub(crate) fn drop_sessions_and_loads(&mut self) {
        self.sessions = Sessions::default();
        self.loading.clear();
    }

    pub(crate) fn kv_free(&self) -> u64 {
        self.kv_capacity.saturating_sub(self.sessions.kv_used())
    }

    pub(crate) fn state(&self, name: &str, incarnation: u64, load: EngineLoad) -> EngineState {
        EngineState {
            name: name.to_owned(),
            incarnation,
            draining: self.draining,
            highest_fence: self.fencing_tokens.highest(),
            loaded: self.loaded.iter().map(|h| h.range.clone()).collect(),
            loading: self.loading.clone(),
            load,
        }
    }

    pub(crate) fn draining(&self) -> bool {
        self.draining
    }

    /// Returns the model to run a step on, or the refusal if the step may not run.
    pub(crate) fn check(&self, step: &Step) -> std::result::Result<Arc<Model>, Rejection> {
        if self.sessions.is_cancelled(&step.session, step.attempt) {
            return refused(RefusalReason::Invalid, 0);
        }
        let mut have = 0;
        for shard in self.sessions.attempt(&step.session, step.attempt) {
            if shard.layers == step.layers {
                have = shard.positions;
                let (name, version) = (shard.model.name(), shard.model.version());
                if name != step.model || version != step.version {
                    return refused(RefusalReason::WrongVersion, have);
                }
            } else if overlap(&shard.layers, &step.layers) {
                return refused(RefusalReason::WrongLayers, 0);
            }
        }
        let model = self.model(step, have)?;
        if have != step.position {
            return refused(RefusalReason::PositionGap, have);
        }
        if have == 0 && self.draining {
            return refused(RefusalReason::Draining, 0);
        }
        Ok(model)
    }

    fn model(&self, step: &Step, have: u32) -> std::result::Result<Arc<Model>, Rejection> {
        let of_model = || self.loaded.iter().filter(|h| h.range.model == step.model);
        let fits = |h: &&LoadedModel| covers(&h.range, &step.model, &step.version, &step.layers);
        if let Some(loaded) = of_model().find(fits) {
            return Ok(loaded.model.clone());
        }
        let other_version =
            of_model().any(|h| covers(&h.range, &step.model, &h.range.version, &step.layers));
        match other_version {
            true => refused(RefusalReason::WrongVersion, have),
            false => refused(RefusalReason::WrongLayers, have),
        }
    }

    /// Checks and runs a step.
    pub(crate) fn run(
        &mut self,
        step: &Step,
        input: &Input,
    ) -> std::result::Result<StepOutcome, Rejection> {
        let model = self.check(step)?;
        let count = input.count();
        let takes_tokens = step.layers.first == 0;
        if count == 0 || takes_tokens != matches!(input, Input::Tokens(_)) {
            return refused(RefusalReason::Invalid, step.position);
        }
        if u64::from(count) > self.kv_free() {
            return Err(Box::new(self.busy()));
        }
        let rows = self.run_positions(step, input, &model);
        if step.layers.end == model.layers() {
            let last = rows.last().copied().unwrap_or_default();
            return Ok(StepOutcome::Token(model.next_token(last)));
        }
        Ok(match step.output {
            OutputForm::Inline => StepOutcome::Rows(rows),
            OutputForm::Handle => {
                let name = handle(&step.session, step.attempt, &step.layers, step.position);
                StepOutcome::Handle(name)
            }
        })
    }

    fn run_positions(&mut self, step: &Step, input: &Input, model: &Arc<Model>) -> Vec<u64> {
        let rows: Vec<u64> = match input {
            Input::Rows(rows) => rows.clone(),
            Input::Tokens(tokens) => (step.position..)
                .zip(tokens)
                .map(|(position, token)| model.embed(*token, position))
                .collect(),
        };
        if step.position == 0 {
            let shard = Shard::new(step.attempt, step.layers.clone(), model.clone());
            self.sessions.insert(&step.session, shard);
        }
        self.sessions.add_kv_used(rows.len() as u32);
        let retained_rows = self.retained_rows;
        let found = self
            .sessions
            .shard_mut(&step.session, step.attempt, &step.layers);
        let shard =
            found.expect("a step at position 0 created the shard, and check() found any other");
        rows.into_iter()
            .map(|r| shard.advance(r, retained_rows))
            .collect()
    }

    pub(crate) fn busy(&self) -> StepOutcome {
        StepOutcome::Busy(BusyReply {
            retry_after_ms: self.retry_after_ms,
        })
    }

    pub(crate) fn cancel(&mut self, req: &CancelRequest) {
        self.sessions.cancel(req);
    }

    /// Exports the KV cache of an attempt's lowest layer range; `None` when it has no range here.
    pub(crate) fn export(&self, req: &KvExportRequest) -> Option<KvBlob> {
        let shards = self.sessions.attempt(&req.session, req.attempt);
        let shard = shards.min_by_key(|p| p.layers.first)?;
        Some(KvBlob {
            session: req.session.clone(),
            attempt: req.attempt,
            model: shard.model.name().to_owned(),
            version: shard.model.version().to_owned(),
            layers: shard.layers.clone(),
            positions: shard.positions,
            state: shard.kv.digests().to_vec(),
        })
    }

    /// Imports a KV cache.
    ///
    /// The error is the outcome of a step at position 0 of the same attempt and range, `Invalid` if
    /// the number of digests differs from the number of layers, or busy if the KV cache is full.
    pub(crate) fn import(&mut self, blob: KvBlob) -> std::result::Result<(), Rejection> {
        let step = Step {
            session: blob.session,
            attempt: blob.attempt,
            position: 0,
            layers: blob.layers,
            model: blob.model,
            version: blob.version,
            class: Class::Paying,
            input: Vec::<u64>::new().into(),
            output: OutputForm::Inline,
            deadline_ms: 0,
            prefix: String::new(),
        };
        let model = self.check(&step)?;
        let layers = (step.layers.end - step.layers.first) as usize;
        if blob.state.len() != layers {
            return refused(RefusalReason::Invalid, 0);
        }
        if u64::from(blob.positions) > self.kv_free() {
            return Err(Box::new(self.busy()));
        }
        let mut shard = Shard::new(step.attempt, step.layers.clone(), model);
        shard.kv = KvCache::from_digests(step.layers.first, blob.state);
        shard.positions = blob.positions;
        self.sessions.insert(&step.session, shard);
        Ok(())
    }
}

fn refused<T>(reason: RefusalReason, have: u32) -> std::result::Result<T, Rejection> {
    Err(Box::new(StepOutcome::Refused(StepRefusal { reason, have })))
}

fn overlap(a: &LayerRange, b: &LayerRange) -> bool {
    a.first < b.end && b.first < a.end
}

fn covers(range: &LoadedRange, model: &str, version: &str, layers: &LayerRange) -> bool {
    range.model == model
        && range.version == version
        && range.layers.first <= layers.first
        && layers.end <= range.layers.end
        && layers.first < layers.end
}
