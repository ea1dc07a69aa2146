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
const MAX_LOAD_BACKLOG: Duration = Duration::from_secs(5);

/// Orders to load the same range, without its being loaded, after which a host is left out.
const MAX_LOAD_ORDERS: u32 = 3;
/// How long it is left out; one host that loads nothing must not hold up the others' waves.
const UNFIT_DURATION: Duration = Duration::from_secs(600);

/// What an engine said of itself.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    /// When it was asked.
    pub(super) queried_at: time::Instant,
    /// Its answer.
    pub(super) state: EngineState,
}

/// An order that may go out.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DueOrder {
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
    pub(super) fencing_token: Option<Token>,
}

/// What was ordered, and what is waited for.
#[derive(Debug)]
pub(super) struct OrderScheduler {
    order_bound: Span,
    /// How long the sessions of a version may last once new ones go to another.
    drain: Duration,
    repairs: HashMap<Arc<str>, Repair<Vec<LoadedRange>>>,
    drains: Vec<Draining>,
    /// The range last ordered of each host, and how often.
    load_attempts: HashMap<Arc<str>, LoadAttempts>,
    /// Hosts found unfit since they were last asked for.
    newly_unfit: Vec<(Arc<str>, LoadedRange)>,
}

#[derive(Clone, Debug)]
struct LoadAttempts {
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

impl OrderScheduler {
    /// A gate that has let nothing through.
    pub(super) fn new(order_bound: Span, drain: Duration) -> OrderScheduler {
        OrderScheduler {
            order_bound,
            drain,
            repairs: HashMap::new(),
            drains: Vec::new(),
            load_attempts: HashMap::new(),
            newly_unfit: Vec::new(),
        }
    }

    /// Whether a host is left out, since it did not load what it was ordered to.
    pub(super) fn is_unfit(&self, host: &str, now: Instant) -> bool {
        let until = self.load_attempts.get(host).and_then(|l| l.unfit_until);
        until.is_some_and(|until| now < until)
    }

    /// Hosts found unfit since the last call, with the range that they don't load.
    pub(super) fn take_newly_unfit(&mut self) -> Vec<(Arc<str>, LoadedRange)> {
        std::mem::take(&mut self.newly_unfit)
    }

    /// Counts an order to load a range; false when there were enough and the host is left out.
    fn count_load_order(&mut self, host: &Arc<str>, range: &LoadedRange, now: Instant) -> bool {
        let initial = LoadAttempts {
            range: range.clone(),
            orders: 0,
            unfit_until: None,
        };
        let load_attempts = self
            .load_attempts
            .entry(Arc::clone(host))
            .or_insert_with(|| initial.clone());
        let expired = load_attempts.unfit_until.is_some_and(|until| until <= now);
        if load_attempts.range != *range || expired {
            *load_attempts = initial;
        }
        if load_attempts.unfit_until.is_some() {
            return false;
        }
        if load_attempts.orders == MAX_LOAD_ORDERS {
            load_attempts.unfit_until = Some(now + UNFIT_DURATION);
            self.newly_unfit.push((Arc::clone(host), range.clone()));
            return false;
        }
        load_attempts.orders += 1;
        true
    }

    /// Forgets all, as after the loss of the lease.
    pub(super) fn reset(&mut self) {
        self.repairs.clear();
        self.drains.clear();
        self.load_attempts.clear();
    }

    /// The orders of a wave that are due. Steps of hosts without a reading wait.
    pub(super) fn due(
        &mut self,
        input: &Input,
        wave: &[OrderStep],
        readings: &HashMap<HostKey, Reading>,
        now: Now,
    ) -> Vec<DueOrder> {
        self.retain_steps(input, wave);
        let loading = readings.values().flat_map(|r| &r.state.loading);
        let mut loading_bytes: u64 = loading.map(|r| bytes(input, r)).sum();
        let max_backlog = (MAX_LOAD_BACKLOG.as_secs_f64() * input.weight_rate.0 as f64) as u64;
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
            let must_wait = match &step.action {
                Action::Load { .. } => {
                    is_under_way(&reading.state, &range)
                        || (loading_bytes > 0 && loading_bytes + size > max_backlog)
                }
                Action::Unload { drain } => {
                    !reading.state.loaded.contains(&range)
                        || !self.has_drained(input, step, &range, *drain, now.tokio)
                }
            };
            if must_wait || !self.may_order(input, step.range.host, reading, &action, now) {
                continue;
            }
            let host = &input.host(step.range.host).name;
            let is_load = matches!(step.action, Action::Load { .. });
            if is_load && !self.count_load_order(host, &range, now.tokio) {
                continue;
            }
            loading_bytes += size;
            due.push(DueOrder {
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
        let loaded = &reading.state.loaded;
        let desired = match action {
            OrderAction::Load(range) => loaded.iter().chain([range]).cloned().collect(),
            OrderAction::Unload(range) => loaded.iter().filter(|h| *h != range).cloned().collect(),
            OrderAction::Role(_) | OrderAction::Adapter(_) => return false,
        };
        repair.observe(now.coord, reading.queried_at, loaded.clone());
        repair.set_desired(desired);
        repair.due_order(now.coord, now.fencing_token).is_some()
    }

    /// Forgets what was noted of steps that are not in the wave, but for hosts that are unfit.
    pub(super) fn retain_steps(&mut self, input: &Input, wave: &[OrderStep]) {
        let names_of = |s: &OrderStep| {
            (
                Arc::clone(&input.host(s.range.host).name),
                loaded_range(input, s),
            )
        };
        let steps: Vec<(Arc<str>, LoadedRange)> = wave.iter().map(names_of).collect();
        let is_in_wave = |host: &Arc<str>, range: &LoadedRange| {
            steps.iter().any(|(h, r)| h == host && r == range)
        };
        self.drains.retain(|d| is_in_wave(&d.host, &d.range));
        self.load_attempts
            .retain(|host, l| l.unfit_until.is_some() || is_in_wave(host, &l.range));
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
        let is_same_unload = |d: &&Draining| d.host == *host && d.range == *range;
        if let Some(draining) = self.drains.iter().find(is_same_unload) {
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
