//! Changes to a plan in force: repair after a loss first, improvement only when it is worth it.

use super::input::HostKey;
use super::input::Input;
use super::plan::Plan;
use super::plan::Shortfall;
use super::planner::finish;
use super::planner::plan;
use super::search::Allowed;
use super::state::Cuts;
use super::state::State;
use super::state::View;
use super::today;
use crate::fleet::DomainKey;

/// Relative gain in scale above which [`improve`] gives up the plan in force.
///
/// Greater than [`MOVE_TOLERANCE`](super::MOVE_TOLERANCE), so that a plan just taken is not given
/// up for what the planner itself counts as equal.
pub const IMPROVE_HYSTERESIS: f64 = 0.05;

/// What was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureScope {
    /// One host.
    Host(HostKey),
    /// All hosts of one failure domain.
    FailureDomain(DomainKey),
}

impl FailureScope {
    /// Whether a host is gone with it.
    pub fn covers(self, input: &Input, host: HostKey) -> bool {
        match self {
            FailureScope::Host(h) => h == host,
            FailureScope::FailureDomain(d) => input.host(host).domain == d,
        }
    }
}

/// The input without what was lost: its hosts are not live and hold nothing.
pub fn without(input: &Input, lost: FailureScope) -> Input {
    let mut left = input.clone();
    for host in input.host_keys().filter(|&h| lost.covers(input, h)) {
        left.hosts[host.index()].live = false;
    }
    left.loaded_ranges.retain(|h| !lost.covers(input, h.host));
    left
}

/// The plan after a loss, with the fewest moves that let every stage stand again after the loss of
/// any one failure domain and any one host.
///
/// Cuts stay, and hosts move only to stages that would not stand. Only when a stage is left without
/// a replica, and none can be had with these cuts, is the whole placement planned anew.
///
/// # Panics
///
/// When the plan is not of this input.
pub fn repair(input: &Input, plan_in_force: &Plan, lost: FailureScope) -> Plan {
    let left = without(input, lost);
    let view = View::new(&left);
    let mut state = state_of(&left, &view, plan_in_force);
    let standing_only = Allowed {
        shift: false,
        rate: false,
    };
    state.improve(f64::INFINITY, standing_only);
    let repaired = finish(&left, &state);
    let broken = |s: &Shortfall| matches!(s, Shortfall::NoReplica { .. });
    if repaired.shortfalls.iter().any(broken) {
        return plan(&left);
    }
    repaired
}

/// The plan that today's holdings amount to: their cuts, with the live hosts that hold them, and
/// the versions to serve. `None` when some model's holdings tile no cuts. To carry on from, when
/// the plan in force isn't known.
///
/// # Panics
///
/// When a key in the input points past what it indexes.
pub fn plan_from_loaded(input: &Input) -> Option<Plan> {
    let view = View::new(input);
    let state = today::state(input, &view)?;
    Some(finish(input, &state))
}

/// The plan with its idle hosts put to use: each on the stage that it holds already, or else on the
/// one that is worst off. No host that has a stage moves. For hosts that joined or came back.
///
/// # Panics
///
/// When the plan is not of this input.
pub fn assign_idle_hosts(input: &Input, plan_in_force: &Plan) -> Plan {
    let view = View::new(input);
    let mut state = state_of(input, &view, plan_in_force);
    today::take_held(input, &mut state);
    state.fill();
    finish(input, &state)
}

/// A better plan, when it is worth the moves: it meets more of the rules, or its scale is greater
/// by more than [`IMPROVE_HYSTERESIS`].
///
/// # Panics
///
/// When the plan is not of this input.
pub fn improve(input: &Input, plan_in_force: &Plan) -> Option<Plan> {
    let view = View::new(input);
    let current = state_of(input, &view, plan_in_force);
    let found = plan(input);
    let found_state = state_of(input, &view, &found);
    let (had, has) = (current.deficit(), found_state.deficit());
    let whole = found.models.len() >= plan_in_force.models.len();
    let gains = found.scale(input) > current.scale() * (1.0 + IMPROVE_HYSTERESIS);
    let better = has < had || (has == had && gains);
    (whole && better).then_some(found)
}

/// The state that a plan amounts to, less the hosts that are no longer live.
fn state_of<'a>(input: &Input, view: &'a View, plan: &Plan) -> State<'a> {
    let mut cuts = Cuts {
        lengths: vec![Vec::new(); input.models.len()],
    };
    for m in &plan.models {
        let lengths = m.stages.iter().map(|s| s.layers.end - s.layers.first);
        cuts.lengths[usize::from(m.model.0)] = lengths.collect();
    }
    let mut state = State::new(view, input, &cuts);
    let stages = plan.models.iter().flat_map(|m| &m.stages);
    for (slot, stage) in stages.enumerate() {
        for &host in &stage.hosts {
            if state.fits(host, slot) {
                state.place(host, Some(slot));
            }
        }
    }
    state
}
