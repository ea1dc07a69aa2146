//! Which orders of a wave may go out now. No I/O.
//!
//! A load waits while the weight store is busy with others; an unload waits until the sessions
//! that its [`Drain`] names have ended; and no engine gets another order before the effect of the
//! last one could be read back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::lease::Token;
use kelpworks_coord::repair::Repair;
use kelpworks_coord::time;
use kelpworks_coord::time::Span;
use tokio::time::Instant;

use kelpworks_wire::EngineState;
use kelpworks_wire::LoadedRange;
use kelpworks_wire::OrderAction;

use crate::placement::Action;
use crate::placement::Drain;
use crate::placement::HostKey;
use crate::placement::Input;
use crate::placement::OrderReason;
use crate::placement::OrderStep;

/// Loads run ahead of the weight store by no more than it delivers in this time, so that the first
/// replicas come first; but always one.
const LOAD_AHEAD: Duration = Duration::from_secs(5);

/// What an engine said of itself.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    /// When it was asked.
    pub(super) asked: time::Instant,
    /// Its answer.
    pub(super) state: EngineState,
}

/// An order that may go out.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Due {
    /// The host.
    pub(super) host: HostKey,
    /// What it is to do.
    pub(super) action: OrderAction,
    /// Why.
    pub(super) reason: OrderReason,
}

/// The time of this round, by both clocks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Now {
    pub(super) tokio: Instant,
    pub(super) coord: time::Instant,
    /// Token under which orders may be sent.
    pub(super) fence: Option<Token>,
}

/// What was ordered, and what is waited for.
#[derive(Debug)]
pub(super) struct Gate {
    order_bound: Span,
    /// How long the sessions of a version may last once new ones go to another.
    drain: Duration,
    repairs: HashMap<Arc<str>, Repair<Vec<LoadedRange>>>,
    drains: Vec<Draining>,
}

#[derive(Clone, Debug)]
struct Draining {
    host: Arc<str>,
    range: LoadedRange,
    since: Instant,
}

impl Gate {
    /// A gate that has let nothing through.
    pub(super) fn new(order_bound: Span, drain: Duration) -> Gate {
        Gate {
            order_bound,
            drain,
            repairs: HashMap::new(),
            drains: Vec::new(),
        }
    }

    /// Forgets all, as after the loss of the lease.
    pub(super) fn reset(&mut self) {
        self.repairs.clear();
        self.drains.clear();
    }

    /// The orders of a wave that are due. Steps of hosts without a reading wait.
    pub(super) fn due(
        &mut self,
        input: &Input,
        wave: &[OrderStep],
        readings: &HashMap<HostKey, Reading>,
        now: Now,
    ) -> Vec<Due> {
        self.keep_drains(input, wave);
        let loading = readings.values().flat_map(|r| &r.state.loading);
        let mut in_flight: u64 = loading.map(|r| bytes(input, r)).sum();
        let ahead = (LOAD_AHEAD.as_secs_f64() * input.weight_rate.0 as f64) as u64;
        let mut due = Vec::new();
        for step in wave {
            let Some(reading) = readings.get(&step.range.host) else {
                continue;
            };
            let range = loaded_range(input, step);
            let (action, size) = match &step.action {
                Action::Load { .. } => (OrderAction::Load(range.clone()), bytes(input, &range)),
                Action::Unload { .. } => (OrderAction::Unload(range.clone()), 0),
            };
            let waits = match &step.action {
                Action::Load { .. } => {
                    is_under_way(&reading.state, &range)
                        || (in_flight > 0 && in_flight + size > ahead)
                }
                Action::Unload { drain } => {
                    !reading.state.loaded.contains(&range)
                        || !self.has_drained(input, step, &range, *drain, now.tokio)
                }
            };
            if waits || !self.may_order(input, step.range.host, reading, &action, now) {
                continue;
            }
            in_flight += size;
            due.push(Due {
                host: step.range.host,
                action,
                reason: step.reason,
            });
        }
        due
    }

    /// Whether the effect of the last order to this engine could be read back, and the lease lets
    /// one go.
    fn may_order(
        &mut self,
        input: &Input,
        host: HostKey,
        reading: &Reading,
        action: &OrderAction,
        now: Now,
    ) -> bool {
        let name = Arc::clone(&input.host(host).name);
        let bound = self.order_bound;
        let repair = self
            .repairs
            .entry(name)
            .or_insert_with(|| Repair::new(bound));
        let held = &reading.state.loaded;
        let wanted = match action {
            OrderAction::Load(range) => held.iter().chain([range]).cloned().collect(),
            OrderAction::Unload(range) => held.iter().filter(|h| *h != range).cloned().collect(),
            OrderAction::Role(_) | OrderAction::Adapter(_) => return false,
        };
        repair.read_back(now.coord, reading.asked, held.clone());
        repair.want(wanted);
        repair.due(now.coord, now.fence).is_some()
    }

    /// Forgets drains whose step is no longer in the wave.
    fn keep_drains(&mut self, input: &Input, wave: &[OrderStep]) {
        self.drains.retain(|d| {
            let same = |s: &OrderStep| {
                input.host(s.range.host).name == d.host && loaded_range(input, s) == d.range
            };
            wave.iter().any(same)
        });
    }

    /// Whether the sessions that an unload waits for have ended.
    ///
    /// Engines don't say which sessions they hold, so those of a version are waited out: new ones
    /// go to the other version, and none lasts longer than `drain`. Those on one host need no
    /// wait: other hosts hold the same layers, and the pipeline replays the stage there.
    fn has_drained(
        &mut self,
        input: &Input,
        step: &OrderStep,
        range: &LoadedRange,
        drain: Drain,
        now: Instant,
    ) -> bool {
        if drain != Drain::Version {
            return true;
        }
        let host = &input.host(step.range.host).name;
        let known = |d: &&Draining| d.host == *host && d.range == *range;
        if let Some(draining) = self.drains.iter().find(known) {
            return now - draining.since >= self.drain;
        }
        self.drains.push(Draining {
            host: Arc::clone(host),
            range: range.clone(),
            since: now,
        });
        false
    }
}

/// The range of a step, in names.
fn loaded_range(input: &Input, step: &OrderStep) -> LoadedRange {
    LoadedRange {
        model: input.model(step.range.model).name.to_string(),
        version: step.range.version.to_string(),
        layers: step.range.layers.clone(),
    }
}

/// Whether an engine holds or loads a range already.
fn is_under_way(state: &EngineState, range: &LoadedRange) -> bool {
    state.loaded.contains(range) || state.loading.contains(range)
}

fn bytes(input: &Input, range: &LoadedRange) -> u64 {
    let layers = range.layers.end - range.layers.first;
    let model = input.models.iter().find(|m| *m.name == range.model);
    model.map_or(0, |m| u64::from(layers) * m.layer_size.0)
}
