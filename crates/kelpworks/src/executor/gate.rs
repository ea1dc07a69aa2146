//! Which orders of a wave may go out now. No I/O.
//!
//! A load waits while the weight store is busy with others; an unload waits until the sessions
//! that its [`Drain`] names have ended; and no engine gets another order before the effect of the
//! last one could be read back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::placement::Action;
use crate::placement::Drain;
use crate::placement::HostKey;
use crate::placement::Input;
use crate::placement::OrderReason;
use crate::placement::OrderStep;
use kelpworks_coord::lease::Token;
use kelpworks_coord::repair::Repair;
use kelpworks_coord::time;
use kelpworks_coord::time::Span;
use kelpworks_wire::EngineState;
use kelpworks_wire::LoadedRange;
use kelpworks_wire::OrderAction;

/// Loads run ahead of the weight store by no more than it delivers in this time, so that the first
/// replicas come first; but always one.
const LOAD_AHEAD: Duration = Duration::from_secs(5);

/// Orders to load the same range, without its being loaded, after which a host is left out.
const MOST_LOADS: u32 = 3;
/// How long it is left out; one host that loads nothing must not hold up the others' waves.
const UNFIT_TIME: Duration = Duration::from_secs(600);

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
    /// The range last ordered of each host, and how often.
    loads: HashMap<Arc<str>, Loads>,
    /// Hosts found unfit since they were last asked for.
    newly_unfit: Vec<(Arc<str>, LoadedRange)>,
}

#[derive(Clone, Debug)]
struct Loads {
    range: LoadedRange,
    orders: u32,
    unfit_until: Option<Instant>,
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
            loads: HashMap::new(),
            newly_unfit: Vec::new(),
        }
    }

    /// Whether a host is left out, since it did not load what it was ordered to.
    pub(super) fn is_unfit(&self, host: &str, now: Instant) -> bool {
        let until = self.loads.get(host).and_then(|l| l.unfit_until);
        until.is_some_and(|until| now < until)
    }

    /// Hosts found unfit since the last call, with the range that they don't load.
    pub(super) fn newly_unfit(&mut self) -> Vec<(Arc<str>, LoadedRange)> {
        std::mem::take(&mut self.newly_unfit)
    }

    /// Counts an order to load a range; false when there were enough and the host is left out.
    fn count_load(&mut self, host: &Arc<str>, range: &LoadedRange, now: Instant) -> bool {
        let fresh = Loads {
            range: range.clone(),
            orders: 0,
            unfit_until: None,
        };
        let loads = self
            .loads
            .entry(Arc::clone(host))
            .or_insert_with(|| fresh.clone());
        let expired = loads.unfit_until.is_some_and(|until| until <= now);
        if loads.range != *range || expired {
            *loads = fresh;
        }
        if loads.unfit_until.is_some() {
            return false;
        }
        if loads.orders == MOST_LOADS {
            loads.unfit_until = Some(now + UNFIT_TIME);
            self.newly_unfit.push((Arc::clone(host), range.clone()));
            return false;
        }
        loads.orders += 1;
        true
    }

    /// Forgets all, as after the loss of the lease.
    pub(super) fn reset(&mut self) {
        self.repairs.clear();
        self.drains.clear();
        self.loads.clear();
    }

    /// The orders of a wave that are due. Steps of hosts without a reading wait.
    pub(super) fn due(
        &mut self,
        input: &Input,
        wave: &[OrderStep],
        readings: &HashMap<HostKey, Reading>,
        now: Now,
    ) -> Vec<Due> {
        self.keep(input, wave);
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
            let host = &input.host(step.range.host).name;
            let is_load = matches!(step.action, Action::Load { .. });
            if is_load && !self.count_load(host, &range, now.tokio) {
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
        repair.observe(now.coord, reading.asked, held.clone());
        repair.set_desired(wanted);
        repair.due_order(now.coord, now.fence).is_some()
    }

    /// Forgets what was noted of steps that are not in the wave, but for hosts that are unfit.
    pub(super) fn keep(&mut self, input: &Input, wave: &[OrderStep]) {
        let named = |s: &OrderStep| {
            (
                Arc::clone(&input.host(s.range.host).name),
                loaded_range(input, s),
            )
        };
        let steps: Vec<(Arc<str>, LoadedRange)> = wave.iter().map(named).collect();
        let has = |host: &Arc<str>, range: &LoadedRange| {
            steps.iter().any(|(h, r)| h == host && r == range)
        };
        self.drains.retain(|d| has(&d.host, &d.range));
        self.loads
            .retain(|host, l| l.unfit_until.is_some() || has(host, &l.range));
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
