//! Decides which orders of a wave may be sent now. Does no I/O.
//!
//! A load waits while the weight store is busy with other loads. An unload waits until the sessions
//! that its [`Drain`] names have ended. No engine gets another order before the effect of the
//! previous one can be read.

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

/// Bounds the bytes of concurrent loads to what the weight store delivers in this time, so that the
/// first replicas of all stages load before further ones. A single load is always allowed.
const MAX_LOAD_BACKLOG: Duration = Duration::from_secs(5);

/// Orders to load the same range after which a host that has not loaded it becomes unfit.
const MAX_LOAD_ORDERS: u32 = 3;
/// How long placement excludes an unfit host. Without the exclusion, one host that fails to load
/// would block the waves of all others.
const UNFIT_DURATION: Duration = Duration::from_secs(600);

/// The state of an engine, as just read from it.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    /// When the query was sent.
    pub(super) queried_at: time::Instant,
    pub(super) state: EngineState,
}

/// An order that may be sent now.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DueOrder {
    pub(super) host: HostKey,
    pub(super) action: OrderAction,
    pub(super) reason: OrderReason,
}

/// The current time on the clocks of tokio and of the state machines, and the fencing token.
#[derive(Clone, Copy, Debug)]
pub(super) struct Now {
    pub(super) tokio: Instant,
    pub(super) coord: time::Instant,
    /// Token with which orders may be sent; `None` when this daemon may send none.
    pub(super) fencing_token: Option<Token>,
}

/// Tracks sent orders and running drains, and selects the orders that are due.
#[derive(Debug)]
pub(super) struct OrderScheduler {
    /// Longest time from sending an order until its effect can be read.
    order_bound: Span,
    /// Longest time that sessions of a version may last once new sessions use another version.
    drain: Duration,
    repairs: HashMap<Arc<str>, Repair<Vec<LoadedRange>>>,
    drains: Vec<Draining>,
    /// Load orders to each host for the range last ordered.
    load_attempts: HashMap<Arc<str>, LoadAttempts>,
    /// Hosts that became unfit since the last call of `take_newly_unfit`.
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
    /// Creates a scheduler that has sent no orders.
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

    /// Returns whether placement must exclude a host, because it failed to load a range.
    pub(super) fn is_unfit(&self, host: &str, now: Instant) -> bool {
        let until = self.load_attempts.get(host).and_then(|l| l.unfit_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the hosts that became unfit since the last call, with the range that each failed to
    /// load.
    pub(super) fn take_newly_unfit(&mut self) -> Vec<(Arc<str>, LoadedRange)> {
        std::mem::take(&mut self.newly_unfit)
    }

    /// Counts an order to load a range. Returns false when the order must not be sent, because the
    /// host is unfit or becomes unfit by it.
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

    /// Discards all tracked state, after the loss of the lease.
    pub(super) fn reset(&mut self) {
        self.repairs.clear();
        self.drains.clear();
        self.load_attempts.clear();
    }

    /// Returns the orders of a wave that are due. Steps of hosts without a reading wait.
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

    /// Returns whether an order may be sent to this engine: the lease allows it, and the reading is
    /// late enough to show the effect of the previous order.
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

    /// Discards the tracked drains and loads of steps that are not in the wave, except the loads of
    /// unfit hosts.
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

    /// Returns whether the sessions that an unload waits for have ended.
    ///
    /// Engines do not report their sessions, so the drain of a version is a wait: new sessions use
    /// the other version, and none lasts longer than `self.drain`. The drain of a single host needs
    /// no wait, because other hosts have loaded the same layers and the pipeline replays the stage
    /// there.
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

/// Returns the range of a step with the names that engines use in place of keys.
fn loaded_range(input: &Input, step: &OrderStep) -> LoadedRange {
    LoadedRange {
        model: input.model(step.range.model).name.to_string(),
        version: step.range.version.to_string(),
        layers: step.range.layers.clone(),
    }
}

/// Returns whether an engine has loaded a range or is loading it.
fn is_under_way(state: &EngineState, range: &LoadedRange) -> bool {
    state.loaded.contains(range) || state.loading.contains(range)
}

/// Returns the size of a range; 0 when the model is unknown.
fn bytes(input: &Input, range: &LoadedRange) -> u64 {
    let layers = range.layers.end - range.layers.first;
    let model = input.models.iter().find(|m| *m.name == range.model);
    model.map_or(0, |m| u64::from(layers) * m.layer_size.0)
}
