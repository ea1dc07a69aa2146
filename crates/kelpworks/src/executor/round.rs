//! One round: plan, read back, order.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use futures_util::StreamExt;
use futures_util::stream;
use log::info;
use log::warn;
use tokio::time::Instant;

use super::Config;
use super::degraded::DegradedHosts;
use super::lease_keeper::LEASE_NAME;
use super::lease_keeper::LeaseHandle;
use super::liveness::Liveness;
use super::order_scheduler::DueOrder;
use super::order_scheduler::Now;
use super::order_scheduler::OrderScheduler;
use super::order_scheduler::Reading;
use super::planning;
use super::planning::PlanDecision;
use super::planning::Planning;
use crate::active_config::ActiveConfig;
use crate::clients::engine;
use crate::clients::engine::Engine;
use crate::fleet::Fleet;
use crate::fleet::ModelKey;
use crate::placement::Action;
use crate::placement::HostKey;
use crate::placement::HostRange;
use crate::placement::Input;
use crate::placement::OrderStep;
use crate::placement::Plan;
use crate::placement::orders;
use kelpworks_coord::lease::Token;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::Fence;
use kelpworks_wire::LoadedRange;
use kelpworks_wire::OrderAction;
use kelpworks_wire::OrderReply;

/// Engines asked or ordered at the same time, at most.
const MAX_CONCURRENT_CALLS: usize = 32;
/// Steps of a wave that are looked at in one round, at most; each costs a reading of its engine.
const MAX_STEPS_PER_ROUND: usize = 64;

/// The rounds of one daemon.
#[derive(Debug)]
pub(super) struct Rounds<E> {
    cfg: Config,
    lease: Arc<LeaseHandle>,
    engine: Arc<E>,
    config: Arc<ArcSwap<ActiveConfig>>,
    fleet: Arc<ArcSwap<Fleet>>,
    liveness: Liveness,
    degraded: DegradedHosts,
    planning: Planning,
    order_scheduler: OrderScheduler,
}

/// Base URLs of the engines of an input.
type Urls = HashMap<HostKey, Arc<str>>;

impl<E: Engine> Rounds<E> {
    pub(super) fn new(
        cfg: Config,
        lease: Arc<LeaseHandle>,
        engine: Arc<E>,
        config: Arc<ArcSwap<ActiveConfig>>,
        fleet: Arc<ArcSwap<Fleet>>,
    ) -> Rounds<E> {
        Rounds {
            order_scheduler: OrderScheduler::new(cfg.lease.order_bound, cfg.drain),
            cfg,
            lease,
            engine,
            config,
            fleet,
            liveness: Liveness::default(),
            degraded: DegradedHosts::default(),
            planning: Planning::default(),
        }
    }

    pub(super) async fn run(&mut self) {
        let mut tick = tokio::time::interval(self.cfg.interval);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let now = Instant::now();
            self.observe(now);
            let is_holder = self.lease.fencing_token().is_some();
            metrics::gauge!("kelpworks_placement_lease").set(f64::from(u8::from(is_holder)));
            if !is_holder {
                // A later hold starts from what engines say then.
                self.planning = Planning::default();
                self.order_scheduler.reset();
                continue;
            }
            if self.liveness.is_warmed_up(self.cfg.lost_after, now) {
                self.round(now).await;
            }
        }
    }

    /// Takes note of the fleet, also while another daemon holds the lease.
    fn observe(&mut self, now: Instant) {
        let fleet = self.fleet.load();
        self.liveness.observe(&fleet, now);
        for change in self.degraded.observe(&fleet) {
            info!(
                target: "decision", decision = "degraded", upstream = &*change.host,
                step_us = change.step_us, slower = change.slowdown,
                reason = if change.degraded { "slower-than-peers" } else { "recovered" };
                "observed rate of an engine"
            );
        }
    }

    /// The register as it is: hosts that are live, at the rates they reach, with what they hold.
    fn input(&self, config: &ActiveConfig, fleet: &Fleet, now: Instant) -> Input {
        let mut input = planning::input(&config.register, fleet, self.cfg.weight_rate);
        for host in &mut input.hosts {
            let live = self.liveness.is_live(&host.name, self.cfg.lost_after, now);
            host.live = live && !self.order_scheduler.is_unfit(&host.name, now);
            host.layer_rate *= self.degraded.rate_fraction(&host.name);
        }
        input
    }

    async fn round(&mut self, now: Instant) {
        let config = self.config.load_full();
        let fleet = self.fleet.load_full();
        let input = self.input(&config, &fleet, now);
        if input.hosts.is_empty() || input.models.is_empty() {
            return;
        }
        let Some((input, plan_decision)) = self.decide(config.generation, input, now).await else {
            return;
        };
        if plan_decision.changed {
            log_plan(&input, &plan_decision);
        }
        let urls = urls(&input, &fleet);
        let wave = first_wave(&input, &plan_decision.plan);
        if wave.is_empty() {
            self.order_scheduler.retain_steps(&input, &wave);
            return;
        }
        let has_unloads = wave.iter().any(is_unload);
        let readings = self
            .read_engines(hosts_to_read(&wave, &urls, has_unloads), &urls)
            .await;
        let input = with_readings(input, &readings, has_unloads);
        let wave = first_wave(&input, &plan_decision.plan);
        if wave.iter().any(is_unload) && !has_unloads {
            // Not all engines were read; the next round reads them.
            return;
        }
        let now = Now {
            tokio: Instant::now(),
            coord: self.lease.now(),
            fencing_token: self.lease.fencing_token(),
        };
        let due = self.order_scheduler.due(&input, &wave, &readings, now);
        for (host, range) in self.order_scheduler.take_newly_unfit() {
            warn!("{host} does not load {range:?}: left out of placement for a while");
            info!(
                target: "decision", decision = "unfit", upstream = &*host, range:? = range,
                reason = "loads-failed"; "host left out of placement"
            );
        }
        self.send_orders(&input, &urls, due).await;
    }

    /// Settles on a plan, away from the threads that serve requests: for a large fleet it takes a
    /// good part of a second. A plan that can't be made leaves the fleet as it is.
    async fn decide(
        &mut self,
        generation: u64,
        input: Input,
        now: Instant,
    ) -> Option<(Input, PlanDecision)> {
        let mut planning = std::mem::take(&mut self.planning);
        let improve_after = self.cfg.improve_after;
        let work = move || {
            let plan_decision = planning.decide(generation, &input, improve_after, now);
            (planning, input, plan_decision)
        };
        match tokio::task::spawn_blocking(work).await {
            Ok((planning, input, plan_decision)) => {
                self.planning = planning;
                Some((input, plan_decision))
            }
            Err(e) => {
                warn!("placement: {e}");
                None
            }
        }
    }

    async fn read_engines(&self, hosts: Vec<HostKey>, urls: &Urls) -> HashMap<HostKey, Reading> {
        let read_one = async |host: HostKey| {
            let queried_at = self.lease.now();
            let state = self.engine.state(urls.get(&host)?, self.cfg.poll_deadline);
            let state = state.await.ok()?;
            Some((host, Reading { queried_at, state }))
        };
        let readings = stream::iter(hosts)
            .map(read_one)
            .buffer_unordered(MAX_CONCURRENT_CALLS);
        readings.filter_map(async |r| r).collect().await
    }

    async fn send_orders(&self, input: &Input, urls: &Urls, due: Vec<DueOrder>) {
        let send_due = async |due: DueOrder| {
            if let Some(url) = urls.get(&due.host) {
                self.send_order(input, url, due).await;
            }
        };
        stream::iter(due)
            .for_each_concurrent(MAX_CONCURRENT_CALLS, send_due)
            .await;
    }

    async fn send_order(&self, input: &Input, url: &Arc<str>, due: DueOrder) {
        // Asked for again: orders before this one may have taken long.
        let Some(Token(token)) = self.lease.fencing_token() else {
            return;
        };
        let order = EngineOrder {
            action: due.action.clone(),
            fence: Fence {
                lease: LEASE_NAME.to_owned(),
                token,
            },
        };
        let reply = self.engine.order(url, &order, self.cfg.order_bound());
        log_order(input, &due, token, reply.await);
    }
}

fn first_wave(input: &Input, plan: &Plan) -> Vec<OrderStep> {
    let steps = orders(input, plan).steps;
    steps.into_iter().take_while(|s| s.wave == 0).collect()
}

fn is_unload(step: &OrderStep) -> bool {
    matches!(step.action, Action::Unload { .. })
}

/// Before something is dropped, every engine is read: what is dropped must stand elsewhere.
fn hosts_to_read(wave: &[OrderStep], urls: &Urls, has_unloads: bool) -> Vec<HostKey> {
    if has_unloads {
        return urls.keys().copied().collect();
    }
    let hosts: HashSet<HostKey> = wave
        .iter()
        .take(MAX_STEPS_PER_ROUND)
        .map(|s| s.range.host)
        .collect();
    hosts.into_iter().collect()
}

fn urls(input: &Input, fleet: &Fleet) -> Urls {
    let engines = fleet.upstreams.values().filter(|u| u.service.is_none());
    let by_name: HashMap<&str, &Arc<str>> = engines.map(|u| (&*u.name, &u.url)).collect();
    let hosts = input.host_keys();
    hosts
        .filter_map(|h| Some((h, Arc::clone(by_name.get(&*input.host(h).name)?))))
        .collect()
}

/// The input with holdings as just read. An engine that did not answer holds nothing when
/// something is to be dropped, and else what it said last.
fn with_readings(
    mut input: Input,
    readings: &HashMap<HostKey, Reading>,
    has_unloads: bool,
) -> Input {
    let is_kept = |h: &HostRange| !has_unloads && !readings.contains_key(&h.host);
    input.loaded_ranges.retain(is_kept);
    let mut read: Vec<(&HostKey, &Reading)> = readings.iter().collect();
    read.sort_by_key(|(host, _)| **host);
    for (&host, reading) in read {
        for range in &reading.state.loaded {
            input.loaded_ranges.extend(host_range(&input, host, range));
        }
    }
    input
}

fn host_range(input: &Input, host: HostKey, range: &LoadedRange) -> Option<HostRange> {
    let model = input.models.iter().position(|m| *m.name == range.model)?;
    Some(HostRange {
        host,
        model: ModelKey(model as u16),
        version: range.version.as_str().into(),
        layers: range.layers.clone(),
    })
}

fn log_plan(input: &Input, plan_decision: &PlanDecision) {
    let plan = &plan_decision.plan;
    info!(
        target: "decision", decision = "plan", reason = plan_decision.reason.as_str(),
        scale = plan.scale(input), bound = input.bound(), moves = plan.moves(input),
        bytes = plan.bytes_to_load(input), shortfalls:? = plan.shortfalls;
        "placement plan"
    );
    for host in input.host_keys() {
        let host = plan.explain(input, host);
        info!(target: "decision", decision = "placement", reason = host.reason.as_str(); "{host}");
    }
}

fn log_order(input: &Input, due: &DueOrder, token: u64, reply: engine::Result<OrderReply>) {
    let (kind, range) = match &due.action {
        OrderAction::Load(range) => ("load", Some(range)),
        OrderAction::Unload(range) => ("unload", Some(range)),
        OrderAction::Role(_) => ("role", None),
        OrderAction::Adapter(_) => ("adapter", None),
    };
    let outcome = match &reply {
        Ok(OrderReply::Accepted(_)) => "accepted",
        Ok(OrderReply::Stale(_)) => "stale",
        Ok(OrderReply::Refused(_)) => "refused",
        Err(_) => "failed",
    };
    metrics::counter!("kelpworks_placement_orders", "outcome" => outcome).increment(1);
    info!(
        target: "decision", decision = "order", upstream = &*input.host(due.host).name,
        order = kind, range:? = range, token = token, reason = due.reason.as_str(),
        outcome = outcome;
        "placement order"
    );
    match reply {
        Ok(OrderReply::Refused(why)) => warn!("{} refused: {why}", input.host(due.host).name),
        Err(e) => warn!("order to {}: {e}", input.host(due.host).name),
        Ok(_) => {}
    }
}
