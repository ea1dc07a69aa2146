//! Changes to the active plan: repair after a loss, assignment of idle hosts, and improvement.

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

/// Relative gain in scale above which [`improve`] replaces the active plan.
///
/// Greater than [`MOVE_TOLERANCE`](super::MOVE_TOLERANCE), so that a plan that was just adopted is
/// not replaced by one that the planner itself treats as equal.
pub const IMPROVE_HYSTERESIS: f64 = 0.05;

/// Extent of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureScope {
    /// One host.
    Host(HostKey),
    /// All hosts of one failure domain.
    FailureDomain(DomainKey),
}

impl FailureScope {
    /// Returns whether the failure includes this host.
    pub fn covers(self, input: &Input, host: HostKey) -> bool {
        match self {
            FailureScope::Host(h) => h == host,
            FailureScope::FailureDomain(d) => input.host(host).domain == d,
        }
    }
}

/// Returns the input after a failure: the hosts that it covers are not live and have nothing
/// loaded.
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

/// Returns the plan after a failure, with the fewest moves that make every stage redundant again:
/// able to survive the loss of any one failure domain and any one host.
///
/// The partition into stages is kept, and hosts move only to make stages redundant. Only when a
/// stage has no replica and can't get one with this partition is the whole placement planned from
/// scratch.
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

/// Reconstructs a plan from the loaded ranges: stages that match them, the live hosts that have
/// loaded each stage, and the versions to serve. `None` when the loaded ranges of some model can't
/// be joined to cover its layers. Used as the starting point when the active plan isn't known.
///
/// # Panics
///
/// When a key in the input is out of range.
pub fn plan_from_loaded(input: &Input) -> Option<Plan> {
    let host_table = HostTable::new(input);
    let state = loaded::state_from_loaded(input, &host_table)?;
    Some(build_plan(input, &state))
}

/// Returns the plan with its idle hosts assigned, such as hosts that joined or came back: each to
/// the stage whose layers it has loaded, or else to the stage that needs it most. Hosts that have a
/// stage don't move.
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

/// Returns a newly computed plan if it justifies the moves: its stages are closer to being all
/// redundant, or equally close and its scale is greater by more than [`IMPROVE_HYSTERESIS`]. A plan
/// that places fewer models than the active plan is never returned.
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

/// Converts a plan to a search state, without the hosts on which their stage no longer fits, such
/// as hosts that are no longer live.
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
