//! The placement rounds: each decides on a plan, reads the engines' state and sends due orders.

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

/// Bounds the concurrent queries or orders to engines.
const MAX_CONCURRENT_CALLS: usize = 32;
/// Bounds the steps of a wave that one round considers, because each requires a query of its
/// engine. A wave with an unload requires a query of every engine instead.
const MAX_STEPS_PER_ROUND: usize = 64;

/// The placement rounds of one daemon, and the state kept between them.
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

/// Base URLs of the engines, by their host in the planner's input.
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
                // After the next acquisition, planning starts from the layers loaded then.
                self.planning = Planning::default();
                self.order_scheduler.reset();
                continue;
            }
            if self.liveness.is_warmed_up(self.cfg.lost_after, now) {
                self.round(now).await;
            }
        }
    }

    /// Records health and step times of the fleet, also while another daemon holds the lease.
    fn observe(&mut self, now: Instant) {
        let fleet = self.fleet.load();
        self.liveness.observe(&fleet, now);
        for change in self.degraded.observe(&fleet) {
            info!(
                target: "decision", decision = "degraded", upstream = &*change.host,
                step_us = change.step_us, slower = change.slowdown,
                reason = if change.degraded { "slower-than-peers" } else { "recovered" };
                "degraded state of an engine changed"
            );
        }
    }

    /// Returns the planner's input: the register with the liveness, effective rates and loaded
    /// layers of its hosts.
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
            // The readings show an unload that the first wave did not have, and only some engines
            // were read. A later round reads all of them before it unloads.
            return;
        }
        let now = Now {
            tokio: Instant::now(),
            coord: self.lease.now(),
            fencing_token: self.lease.fencing_token(),
        };
        let due = self.order_scheduler.due(&input, &wave, &readings, now);
        for (host, range) in self.order_scheduler.take_newly_unfit() {
            warn!("{host} failed to load {range:?}; excluded from placement temporarily");
            info!(
                target: "decision", decision = "unfit", upstream = &*host, range:? = range,
                reason = "loads-failed"; "host excluded from placement"
            );
        }
        self.send_orders(&input, &urls, due).await;
    }

    /// Decides on a plan, on a blocking thread: for a large fleet this takes a good part of a
    /// second, which would delay the threads that serve requests. Returns `None` when planning
    /// panics; the round then sends no orders.
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
                warn!("placement planning failed: {e}");
                None
            }
        }
    }

    /// Queries engines for their state; engines that do not answer are missing in the result.
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
        // Earlier orders of this round may have taken long, so the lease is checked again.
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

/// Returns the hosts whose engines to read. Before an unload these are all hosts, because the same
/// layers must be loaded elsewhere.
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

/// Returns the input with the loaded ranges as just read. An engine without a reading counts as
/// having nothing loaded if the wave has an unload; otherwise its last known ranges are kept.
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
        Ok(OrderReply::Refused(why)) => warn!(
            "{} refused placement order: {why}",
            input.host(due.host).name
        ),
        Err(e) => warn!(
            "placement order to {} failed: {e}",
            input.host(due.host).name
        ),
        Ok(_) => {}
    }
}
