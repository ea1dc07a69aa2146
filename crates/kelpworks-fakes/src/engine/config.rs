//! Configuration of a stand-in engine.

use std::ops::Range;
use std::time::Duration;

use crate::model::Model;
use kelpworks_wire::LayerRange;
use kelpworks_wire::LoadedRange;

/// A prompt that holds these bytes crashes the engine that runs its layer 0, unless
/// [`EngineConfig::crashes_on_poison`] is off.
pub const POISON: &[u8] = b"poison";

/// Configuration of a stand-in engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Host name.
    pub name: String,
    /// Loopback port. Default 0: a free one.
    pub port: u16,
    /// Failure domain, for the register. Default `domain-0`.
    pub failure_domain: String,
    /// Kind of accelerator, for the register. Default `standard`.
    pub accelerator: String,
    /// Models it knows; the versions are those loaded at the start.
    pub models: Vec<Model>,
    /// Ranges held at the start. Default none.
    pub loaded: Vec<LoadedRange>,
    /// Most layers held at once, over all models and versions. Default unlimited.
    pub max_layers: u32,
    /// Fixed time of an iteration. Default 0.
    pub iteration_base: Duration,
    /// Layers of one position that it runs a second. Default infinite.
    pub layer_rate: f64,
    /// Steps of one iteration, at most. Default 64.
    pub max_batch: usize,
    /// Steps that wait, at most; the next is answered busy. Default 1024.
    pub queue_bound: usize,
    /// What a busy reply names as the time to come back. Default 50 ms.
    pub retry_after: Duration,
    /// KV cache, in positions, over all sessions. Default 1,000,000.
    pub kv_capacity: u64,
    /// Output rows kept for each session and range, in positions. Default 4096.
    pub retain: usize,
    /// Prompt prefixes cached. Default 256.
    pub cache_entries: usize,
    /// Time until a cache event shows. Default 0.
    pub cache_event_delay: Duration,
    /// Least age of a load report before it is taken anew. Default 0.
    pub load_lag: Duration,
    /// Whether an order with a lower fencing token is refused. Default true.
    pub checks_fencing: bool,
    /// Base URL of the weight store; absent: ranges load at once. Default absent.
    pub weight_store: Option<String>,
    /// Whether a prompt with [`POISON`] crashes it. Default true.
    pub crashes_on_poison: bool,
    /// Time from a crash to the restart; absent: it stays down. Default 500 ms.
    pub restart_after: Option<Duration>,
    /// Runs that the ledger keeps; later ones only count. Default 250,000.
    pub ledger_limit: usize,
}

impl EngineConfig {
    /// An engine with the defaults, that holds nothing yet.
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
            retain: 4096,
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

    /// Adds a range to those held at the start, at the version of the configured model.
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

    /// Time of an iteration over this many layer-positions.
    pub(crate) fn iteration(&self, layer_positions: u64) -> Duration {
        self.iteration_base + Duration::from_secs_f64(layer_positions as f64 / self.layer_rate)
    }
}
