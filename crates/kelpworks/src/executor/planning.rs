//! Which plan to follow: from the register, the fleet and the plan followed so far. No I/O.

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

/// Link cost of a pair of failure domains that the register does not list.
const DEFAULT_LINK: LinkCost = LinkCost {
    latency: Duration::from_millis(1),
    bytes_per_second: 1_250_000_000,
};

/// The register, with what its hosts hold.
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
            // The snapshot may still be of the register before this one.
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

/// Why a plan was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlanReason {
    /// It is what hosts hold already.
    AlreadyLoaded,
    /// What hosts hold makes no whole model.
    Incomplete,
    /// A host of the plan before was lost or leaves.
    Loss,
    /// A host without layers can be put to use.
    IdleHosts,
    /// It meets more rules or gains rate.
    Improved,
}

impl PlanReason {
    /// Short name for the log.
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

/// A plan, and why it was taken.
#[derive(Clone, Debug)]
pub(super) struct PlanDecision {
    pub(super) plan: Arc<Plan>,
    pub(super) reason: PlanReason,
    /// Whether it differs from the plan before.
    pub(super) changed: bool,
}

/// The plan followed so far, and for how long nothing has changed.
#[derive(Clone, Debug, Default)]
pub(super) struct Planning {
    /// The plan, with the generation of the configuration that it was made for; its keys mean
    /// nothing under another.
    current: Option<(u64, Arc<Plan>)>,
    /// Hosts as they were when last they changed, and when that was.
    last_hosts: Option<(Vec<HostSnapshot>, Instant)>,
    /// Whether an improvement was looked for since.
    improvement_tried: bool,
}

/// What of a host bears on the worth of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostSnapshot {
    live: bool,
    layer_rate: f64,
}

impl Planning {
    /// The plan to follow now. Repair comes before improvement: a loss or an idle host is dealt
    /// with at once and by few moves; a better plan is looked for only once hosts have stayed as
    /// they are for `improve_after`, or when some model can't be served at all.
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

    /// Whether it is time to look for a better plan; true once after each change of the hosts.
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

/// A host of the plan that is not live.
fn lost_host(input: &Input, plan: &Plan) -> Option<HostKey> {
    let assigned = |h: &HostKey| plan.assignments[h.index()].is_some();
    input
        .host_keys()
        .find(|h| assigned(h) && !input.host(*h).live)
}

/// Whether a live host has nothing to do.
fn has_idle_host(input: &Input, plan: &Plan) -> bool {
    let idle = |h: HostKey| plan.assignments[h.index()].is_none() && input.host(h).live;
    input.host_keys().any(idle)
}

/// Whether some model can't be served by this plan.
fn has_unservable_model(input: &Input, plan: &Plan) -> bool {
    let is_unservable = |s: &Shortfall| matches!(s, Shortfall::NoReplica { .. });
    plan.models.len() < input.models.len() || plan.shortfalls.iter().any(is_unservable)
}
