//! Decides which plan to follow, from the register, the fleet and the current plan. Does no I/O.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::LinkCost;
use crate::fleet::ModelKey;
use crate::placement::FailureScope;
use crate::placement::HostKey;
use crate::placement::HostRange;
use crate::placement::Input;
use crate::placement::Plan;
use crate::placement::Shortfall;
use crate::placement::assign_idle_hosts;
use crate::placement::improve;
use crate::placement::plan;
use crate::placement::plan_from_loaded;
use crate::placement::repair;
use crate::register::Register;
use crate::units::Rate;

/// Link cost between two failure domains that the register does not list.
const DEFAULT_LINK: LinkCost = LinkCost {
    latency: Duration::from_millis(1),
    bytes_per_second: 1_250_000_000,
};

/// Returns the planner's input: the register, and the layer ranges that its hosts have loaded.
pub(super) fn input(register: &Register, fleet: &Fleet, rate: Rate) -> Input {
    let mut input = Input::from_register(register, DEFAULT_LINK, rate);
    let hosts = input.hosts.iter().enumerate();
    let hosts: HashMap<Arc<str>, HostKey> = hosts
        .map(|(at, h)| (Arc::clone(&h.name), HostKey(at as u32)))
        .collect();
    for upstream in fleet.upstreams.values() {
        let Some(&host) = hosts.get(&upstream.name) else {
            continue;
        };
        for assignment in &upstream.layer_assignments {
            let model_info = &fleet.models[usize::from(assignment.model.0)];
            // The fleet snapshot may still be built from the previous register.
            let model = input.models.iter().position(|m| *m.name == model_info.name);
            let Some(model) = model else { continue };
            input.loaded_ranges.push(HostRange {
                host,
                model: ModelKey(model as u16),
                version: model_info.versions[usize::from(assignment.version)]
                    .as_str()
                    .into(),
                layers: assignment.layers.clone(),
            });
        }
    }
    input
}

/// Why a plan was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlanReason {
    /// It matches the layers that hosts have loaded, or is the current plan unchanged.
    AlreadyLoaded,
    /// There was no current plan, and none could be derived from the loaded layers.
    Incomplete,
    /// A host of the previous plan is no longer live.
    Loss,
    /// A live host without layers can be used.
    IdleHosts,
    /// It satisfies more rules or serves at a higher rate.
    Improved,
}

impl PlanReason {
    /// Returns the value of the log key `reason`.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            PlanReason::AlreadyLoaded => "held",
            PlanReason::Incomplete => "not-whole",
            PlanReason::Loss => "loss",
            PlanReason::IdleHosts => "joined",
            PlanReason::Improved => "improved",
        }
    }
}

/// A plan, and why it was chosen.
#[derive(Clone, Debug)]
pub(super) struct PlanDecision {
    pub(super) plan: Arc<Plan>,
    pub(super) reason: PlanReason,
    /// Whether the plan differs from the previous one.
    pub(super) changed: bool,
}

/// The current plan, and since when the hosts have been unchanged.
#[derive(Clone, Debug, Default)]
pub(super) struct Planning {
    /// The current plan and the configuration generation it was made for. Its keys are not valid in
    /// another generation.
    current: Option<(u64, Arc<Plan>)>,
    /// The hosts as last observed, and when they last changed.
    last_hosts: Option<(Vec<HostSnapshot>, Instant)>,
    /// Whether an improvement was searched for since the last change.
    improvement_tried: bool,
}

/// The properties of a host that may change between rounds and affect planning.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostSnapshot {
    live: bool,
    layer_rate: f64,
}

impl Planning {
    /// Decides on the plan to follow now. Repair precedes improvement: the loss of a host or an
    /// idle host is handled at once and with few moves. A better plan is searched for only once the
    /// hosts have been unchanged for `improve_after`, or when some model cannot be served at all.
    pub(super) fn decide(
        &mut self,
        generation: u64,
        input: &Input,
        improve_after: Duration,
        now: Instant,
    ) -> PlanDecision {
        let previous = self.current.take().filter(|(g, _)| *g == generation);
        let previous = previous.map(|(_, plan)| plan);
        let improvement_due = self.is_improvement_due(input, improve_after, now);
        let (plan, reason) = match &previous {
            Some(plan) => self.next_plan(input, plan, PlanReason::AlreadyLoaded, improvement_due),
            None => match plan_from_loaded(input) {
                Some(plan) => self.next_plan(
                    input,
                    &Arc::new(plan),
                    PlanReason::AlreadyLoaded,
                    improvement_due,
                ),
                None => (Arc::new(plan(input)), PlanReason::Incomplete),
            },
        };
        let changed = previous.as_ref() != Some(&plan);
        self.current = Some((generation, Arc::clone(&plan)));
        PlanDecision {
            plan,
            reason,
            changed,
        }
    }

    /// Records the hosts and returns whether to search for a better plan: true once after each
    /// change of the hosts, when `improve_after` has passed since.
    fn is_improvement_due(&mut self, input: &Input, improve_after: Duration, now: Instant) -> bool {
        let hosts = input.hosts.iter().map(|h| HostSnapshot {
            live: h.live,
            layer_rate: h.layer_rate,
        });
        let hosts_now: Vec<HostSnapshot> = hosts.collect();
        let since = match &self.last_hosts {
            Some((previous, since)) if *previous == hosts_now => *since,
            _ => {
                self.last_hosts = Some((hosts_now, now));
                self.improvement_tried = false;
                now
            }
        };
        let improvement_due = !self.improvement_tried && now - since >= improve_after;
        self.improvement_tried |= improvement_due;
        improvement_due
    }

    fn next_plan(
        &self,
        input: &Input,
        from: &Arc<Plan>,
        reason: PlanReason,
        improvement_due: bool,
    ) -> (Arc<Plan>, PlanReason) {
        let (mut plan, mut plan_reason) = (Arc::clone(from), reason);
        if let Some(host) = lost_host(input, &plan) {
            plan = Arc::new(repair(input, &plan, FailureScope::Host(host)));
            plan_reason = PlanReason::Loss;
        }
        if has_idle_host(input, &plan) {
            let extended = assign_idle_hosts(input, &plan);
            if extended != *plan {
                plan = Arc::new(extended);
                plan_reason = if plan_reason == PlanReason::Loss {
                    plan_reason
                } else {
                    PlanReason::IdleHosts
                };
            }
        }
        let try_improve = improvement_due || has_unservable_model(input, &plan);
        let better = if try_improve {
            improve(input, &plan)
        } else {
            None
        };
        match better {
            Some(better) => (Arc::new(better), PlanReason::Improved),
            None => (plan, plan_reason),
        }
    }
}

/// Returns the first host with layers in the plan that is not live.
fn lost_host(input: &Input, plan: &Plan) -> Option<HostKey> {
    let assigned = |h: &HostKey| plan.assignments[h.index()].is_some();
    input
        .host_keys()
        .find(|h| assigned(h) && !input.host(*h).live)
}

/// Returns whether the plan assigns no layers to some live host.
fn has_idle_host(input: &Input, plan: &Plan) -> bool {
    let idle = |h: HostKey| plan.assignments[h.index()].is_none() && input.host(h).live;
    input.host_keys().any(idle)
}

/// Returns whether some model cannot be served with this plan.
fn has_unservable_model(input: &Input, plan: &Plan) -> bool {
    let is_unservable = |s: &Shortfall| matches!(s, Shortfall::NoReplica { .. });
    plan.models.len() < input.models.len() || plan.shortfalls.iter().any(is_unservable)
}
