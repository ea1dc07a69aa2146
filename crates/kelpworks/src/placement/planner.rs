//! The full planner: tries partitions of the models into stages, balances the hosts over the
//! stages, then reduces moves and link latency.

use super::input::HostKey;
use super::input::Input;
use super::loaded;
use super::locality;
use super::partitions;
use super::plan::Assignment;
use super::plan::ModelPlan;
use super::plan::Plan;
use super::plan::Shortfall;
use super::plan::Stage;
use super::search::AllowedChanges;
use super::state::HostTable;
use super::state::Partition;
use super::state::SearchState;
use super::state::Slot;
use crate::fleet::ModelKey;
use kelpworks_wire::LayerRange;

/// Share of the bound of the placeable models at which the search for a partition ends, see
/// [`Input::bound`].
const TARGET_BOUND_SHARE: f64 = 0.985;
/// Share of the scale that a partition with fewer stages may lose and still be preferred.
const STAGE_TOLERANCE: f64 = 0.01;
/// Share of the scale that [`plan`] may lose in favour of fewer moves from the loaded ranges.
pub const MOVE_TOLERANCE: f64 = 0.03;

/// Hosts may move and layers may shift between stages.
const ANY_CHANGE: AllowedChanges = AllowedChanges {
    shift: true,
    rate: true,
};
/// Hosts may move; the partition into stages is kept.
const KEEP_PARTITION: AllowedChanges = AllowedChanges {
    shift: false,
    rate: true,
};

/// Plans the placement of all models on all live hosts.
///
/// The goals, in descending priority: every stage survives the loss of any one failure domain and
/// any one host ([`Plan::shortfalls`] lists the stages for which no way was found); the greatest
/// [`Plan::scale`], within [`MOVE_TOLERANCE`]; the fewest moves from the loaded ranges; short links
/// between consecutive stages.
///
/// # Panics
///
/// When a key in the input is out of range.
pub fn plan(input: &Input) -> Plan {
    let host_table = HostTable::new(input);
    let from_scratch = best_partition(input, &host_table);
    if let Some(state) = improve_loaded(input, &host_table, &from_scratch, KEEP_PARTITION) {
        return build_plan(input, &state);
    }
    let shifted = improve_loaded(input, &host_table, &from_scratch, ANY_CHANGE)
        .map(|s| build_plan(input, &s));
    let mut state = from_scratch;
    locality::shorten_links(input, &mut state);
    loaded::swap_interchangeable(input, &mut state);
    let rebuilt = build_plan(input, &state);
    let fewer = |p: &Plan| p.bytes_to_load(input) < rebuilt.bytes_to_load(input);
    shifted.filter(fewer).unwrap_or(rebuilt)
}

/// Starts from the loaded ranges and improves them until they are as good as a state planned from
/// scratch, within [`MOVE_TOLERANCE`]; `None` when that is not reached.
fn improve_loaded<'a>(
    input: &Input,
    host_table: &'a HostTable,
    from_scratch: &SearchState<'_>,
    allowed: AllowedChanges,
) -> Option<SearchState<'a>> {
    let goal = from_scratch.scale() * (1.0 - MOVE_TOLERANCE);
    let mut state = loaded::state_from_loaded(input, host_table)?;
    state.assign_free_hosts();
    state.improve(goal, allowed);
    let good = state.deficit() <= from_scratch.deficit() && state.scale() >= goal;
    good.then_some(state)
}

/// Result of trying one candidate partition for each model.
struct Trial<'a> {
    /// By model, the index of its candidate.
    chosen: Vec<usize>,
    /// Assignment that the search found for these candidates.
    state: SearchState<'a>,
    /// Deficit of `state`.
    deficit: u32,
    /// Scale of `state`.
    scale: f64,
}

impl Trial<'_> {
    fn is_better_than(&self, other: &Trial<'_>) -> bool {
        if self.deficit != other.deficit {
            return self.deficit < other.deficit;
        }
        let fewer = self.state.slots.len() < other.state.slots.len();
        let required_ratio = if fewer {
            1.0 - STAGE_TOLERANCE
        } else {
            1.0 + STAGE_TOLERANCE
        };
        self.scale > other.scale * required_ratio
    }
}

fn best_partition<'a>(input: &Input, host_table: &'a HostTable) -> SearchState<'a> {
    let models = (0..input.models.len()).map(|m| ModelKey(m as u16));
    let candidates: Vec<Vec<Vec<u32>>> = models
        .map(|m| partitions::candidates(input, host_table, m))
        .collect();
    let placeable = |m: &usize| !candidates[*m].is_empty();
    let placeable: Vec<usize> = (0..candidates.len()).filter(placeable).collect();
    let goal = input.bound_over(&placeable) * TARGET_BOUND_SHARE;
    let max_candidates = candidates.iter().map(Vec::len).max().unwrap_or(0);
    let done = |t: &Trial<'_>| t.deficit == 0 && t.scale >= goal;
    let mut best = try_partition(input, host_table, &candidates, vec![0; candidates.len()]);
    for candidate in 1..max_candidates {
        if done(&best) {
            return best.state;
        }
        let chosen = candidates
            .iter()
            .map(|c| candidate.min(c.len().saturating_sub(1)));
        let trial = try_partition(input, host_table, &candidates, chosen.collect());
        if trial.is_better_than(&best) {
            best = trial;
        }
    }
    for model in 0..candidates.len() {
        for candidate in 0..candidates[model].len() {
            if done(&best) {
                return best.state;
            }
            let mut chosen = best.chosen.clone();
            if chosen[model] == candidate {
                continue;
            }
            chosen[model] = candidate;
            let trial = try_partition(input, host_table, &candidates, chosen);
            if trial.is_better_than(&best) {
                best = trial;
            }
        }
    }
    best.state
}

fn try_partition<'a>(
    input: &Input,
    host_table: &'a HostTable,
    candidates: &[Vec<Vec<u32>>],
    chosen: Vec<usize>,
) -> Trial<'a> {
    let lengths = chosen.iter().zip(candidates);
    let lengths = lengths.map(|(&c, all)| all.get(c).cloned().unwrap_or_default());
    let partition = Partition {
        lengths: lengths.collect(),
    };
    let mut state = SearchState::new(host_table, input, &partition);
    state.assign_free_hosts();
    state.improve(f64::INFINITY, ANY_CHANGE);
    Trial {
        deficit: state.deficit(),
        scale: state.scale(),
        chosen,
        state,
    }
}

/// Converts a search state to a plan.
pub(super) fn build_plan(input: &Input, state: &SearchState<'_>) -> Plan {
    let mut plan = Plan {
        models: Vec::new(),
        assignments: vec![None; input.hosts.len()],
        shortfalls: Vec::new(),
    };
    for m in 0..input.models.len() {
        let model = ModelKey(m as u16);
        let slots: Vec<&Slot> = state.slots.iter().filter(|s| s.model == m).collect();
        if slots.is_empty() {
            plan.shortfalls.push(Shortfall::Unplaceable { model });
            continue;
        }
        let mut first = 0;
        let mut stages = Vec::new();
        for (index, slot) in slots.iter().enumerate() {
            let stage = index as u16;
            let end = first + slot.length;
            let mut hosts = slot.hosts.clone();
            hosts.sort_unstable();
            assign(&mut plan, &hosts, Assignment { model, stage });
            plan.shortfalls.extend(shortfall(slot, model, stage));
            let layers = LayerRange { first, end };
            let rate = slot.rate / f64::from(slot.length);
            stages.push(Stage {
                layers,
                hosts,
                rate,
            });
            first = end;
        }
        let version = input.models[m].version.clone();
        plan.models.push(ModelPlan {
            model,
            version,
            stages,
        });
    }
    plan
}

fn assign(plan: &mut Plan, hosts: &[HostKey], to: Assignment) {
    for host in hosts {
        plan.assignments[host.index()] = Some(to);
    }
}

fn shortfall(slot: &Slot, model: ModelKey, stage: u16) -> Option<Shortfall> {
    let domains = slot.per_domain.iter().filter(|&&count| count > 0).count();
    match (slot.hosts.len(), domains) {
        (0, _) => Some(Shortfall::NoReplica { model, stage }),
        (1, _) => Some(Shortfall::OneHost { model, stage }),
        (_, 1) => Some(Shortfall::OneFailureDomain { model, stage }),
        _ => None,
    }
}
