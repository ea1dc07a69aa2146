//! Configuration of a fake engine.

use std::ops::Range;
use std::time::Duration;

use crate::model::Model;
use kelpworks_wire::LayerRange;
use kelpworks_wire::LoadedRange;

/// A prompt that contains these bytes crashes the engine that runs its layer 0, unless
/// [`EngineConfig::crashes_on_poison`] is false.
pub const POISON: &[u8] = b"poison";

/// Configuration of a fake engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Host name.
    pub name: String,
    /// Loopback port; 0 takes a free port. Default 0.
    pub port: u16,
    /// Failure domain, for the register. Default `domain-0`.
    pub failure_domain: String,
    /// Kind of accelerator, for the register. Default `standard`.
    pub accelerator: String,
    /// Models that the engine can load; the versions are those loaded at start.
    pub models: Vec<Model>,
    /// Layer ranges loaded at start. Default none.
    pub loaded: Vec<LoadedRange>,
    /// Maximum number of layers loaded at once, over all models and versions. Default unlimited.
    pub max_layers: u32,
    /// Fixed part of the duration of an iteration. Default 0.
    pub iteration_base: Duration,
    /// Layer-positions run a second; one is one layer over one position. Default infinite.
    pub layer_rate: f64,
    /// Maximum number of steps in one iteration. Default 64.
    pub max_batch: usize,
    /// Maximum number of queued steps; further ones are answered busy. Default 1024.
    pub queue_bound: usize,
    /// Retry delay that a busy reply names. Default 50 ms.
    pub retry_after: Duration,
    /// Capacity of the KV cache over all sessions, in positions. Default 1,000,000.
    pub kv_capacity: u64,
    /// Output rows retained for each attempt and layer range, one a position. Default 4096.
    pub retained_rows: usize,
    /// Maximum number of cached prompt prefixes. Default 256.
    pub cache_entries: usize,
    /// Delay until a cache event is visible to readers. Default 0.
    pub cache_event_delay: Duration,
    /// Time for which a load report is reused before it is measured again. Default 0.
    pub load_lag: Duration,
    /// Whether an order is refused if its lease had a higher fencing token before. Default true.
    pub checks_fencing: bool,
    /// Base URL of the weight store; if absent, ranges load at once. Default absent.
    pub weight_store: Option<String>,
    /// Whether a prompt that contains [`POISON`] crashes the engine. Default true.
    pub crashes_on_poison: bool,
    /// Time from a crash to the restart; if absent, the engine stays down. Default 500 ms.
    pub restart_after: Option<Duration>,
    /// Maximum number of runs in the ledger; later ones only count in its totals. Default 250,000.
    pub ledger_limit: usize,
}

impl EngineConfig {
    /// Returns a configuration with the defaults and no loaded range.
    pub fn new(name: &str, models: Vec<Model>) -> EngineConfig {
        EngineConfig {
            name: name.to_owned(),
            port: 0,
            failure_domain: "domain-0".to_owned(),
            accelerator: "standard".to_owned(),
            models,
            loaded: Vec::new(),
            max_layers: u32::MAX,
            iteration_base: Duration::ZERO,
            layer_rate: f64::INFINITY,
            max_batch: 64,
            queue_bound: 1024,
            retry_after: Duration::from_millis(50),
            kv_capacity: 1_000_000,
            retained_rows: 4096,
            cache_entries: 256,
            cache_event_delay: Duration::ZERO,
            load_lag: Duration::ZERO,
            checks_fencing: true,
            weight_store: None,
            crashes_on_poison: true,
            restart_after: Some(Duration::from_millis(500)),
            ledger_limit: 250_000,
        }
    }

    /// Adds a range to those loaded at start, at the version of the configured model.
    pub fn load(&mut self, model: &str, layers: Range<u32>) -> &mut EngineConfig {
        let known = self.models.iter().find(|m| m.name() == model);
        self.loaded.push(LoadedRange {
            model: model.to_owned(),
            version: known.map_or_else(String::new, |m| m.version().to_owned()),
            layers: LayerRange {
                first: layers.start,
                end: layers.end,
            },
        });
        self
    }

    /// Returns the duration of an iteration over this many layer-positions, without slowdown.
    pub(crate) fn iteration(&self, layer_positions: u64) -> Duration {
        self.iteration_base + Duration::from_secs_f64(layer_positions as f64 / self.layer_rate)
    }
}
