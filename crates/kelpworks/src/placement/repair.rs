//! Changes to a plan in force: repair after a loss first, improvement only when it is worth it.

use super::input::HostKey;
use super::input::Input;
use super::loaded;
use super::plan::Plan;
use super::plan::Shortfall;
use super::planner::build_plan;
use super::planner::plan;
use super::search::AllowedChanges;
use super::state::HostTable;
use super::state::Partition;
use super::state::SearchState;
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
    let mut remaining = input.clone();
    for host in input.host_keys().filter(|&h| lost.covers(input, h)) {
        remaining.hosts[host.index()].live = false;
    }
    remaining
        .loaded_ranges
        .retain(|h| !lost.covers(input, h.host));
    remaining
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
pub fn repair(input: &Input, active_plan: &Plan, lost: FailureScope) -> Plan {
    let remaining = without(input, lost);
    let host_table = HostTable::new(&remaining);
    let mut state = state_from_plan(&remaining, &host_table, active_plan);
    let redundancy_only = AllowedChanges {
        shift: false,
        rate: false,
    };
    state.improve(f64::INFINITY, redundancy_only);
    let repaired = build_plan(&remaining, &state);
    let has_no_replica = |s: &Shortfall| matches!(s, Shortfall::NoReplica { .. });
    if repaired.shortfalls.iter().any(has_no_replica) {
        return plan(&remaining);
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
    let host_table = HostTable::new(input);
    let state = loaded::state_from_loaded(input, &host_table)?;
    Some(build_plan(input, &state))
}

/// The plan with its idle hosts put to use: each on the stage that it holds already, or else on the
/// one that is worst off. No host that has a stage moves. For hosts that joined or came back.
///
/// # Panics
///
/// When the plan is not of this input.
pub fn assign_idle_hosts(input: &Input, active_plan: &Plan) -> Plan {
    let host_table = HostTable::new(input);
    let mut state = state_from_plan(input, &host_table, active_plan);
    loaded::place_loaded_hosts(input, &mut state);
    state.assign_free_hosts();
    build_plan(input, &state)
}

/// A better plan, when it is worth the moves: it meets more of the rules, or its scale is greater
/// by more than [`IMPROVE_HYSTERESIS`].
///
/// # Panics
///
/// When the plan is not of this input.
pub fn improve(input: &Input, active_plan: &Plan) -> Option<Plan> {
    let host_table = HostTable::new(input);
    let current = state_from_plan(input, &host_table, active_plan);
    let found = plan(input);
    let found_state = state_from_plan(input, &host_table, &found);
    let (current_deficit, found_deficit) = (current.deficit(), found_state.deficit());
    let keeps_all_models = found.models.len() >= active_plan.models.len();
    let gains = found.scale(input) > current.scale() * (1.0 + IMPROVE_HYSTERESIS);
    let better = found_deficit < current_deficit || (found_deficit == current_deficit && gains);
    (keeps_all_models && better).then_some(found)
}

/// The state that a plan amounts to, less the hosts that are no longer live.
fn state_from_plan<'a>(input: &Input, host_table: &'a HostTable, plan: &Plan) -> SearchState<'a> {
    let mut partition = Partition {
        lengths: vec![Vec::new(); input.models.len()],
    };
    for m in &plan.models {
        let lengths = m.stages.iter().map(|s| s.layers.end - s.layers.first);
        partition.lengths[usize::from(m.model.0)] = lengths.collect();
    }
    let mut state = SearchState::new(host_table, input, &partition);
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
