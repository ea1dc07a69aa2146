//! Finds hosts for a stage that is not redundant, by augmenting paths.
//!
//! For a given partition, giving every stage replicas in two failure domains is a flow problem: a
//! stage needs two hosts of different domains, and a host serves one stage. A shortest augmenting
//! path moves the fewest hosts for one stage, and when there is none, no other solution exists
//! either. Local search alone misses paths of more than two moves.

use std::collections::VecDeque;

use super::input::HostKey;
use super::state::REDUNDANT_DOMAINS;
use super::state::SearchState;

/// A node of the search graph: a slot that needs a host, and the failure domain of the host that it
/// would give away on this path; `None` for the slot at which the search starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Node {
    slot: usize,
    vacated_domain: Option<usize>,
}

/// An edge of the search graph: the host moves to the slot of `target`.
#[derive(Clone, Copy, Debug)]
struct Move {
    target: Node,
    host: HostKey,
}

/// Gives a slot a host in a failure domain in which it has none, moving other hosts along a
/// shortest augmenting path. Returns whether that lowered the total deficit; if not, the state is
/// unchanged.
pub(super) fn augment(state: &mut SearchState<'_>, slot: usize) -> bool {
    let Some(path) = find_path(state, slot) else {
        return false;
    };
    let before = state.deficit();
    let previous_slots: Vec<Option<usize>> =
        path.iter().map(|m| state.slot_of[m.host.index()]).collect();
    for m in &path {
        state.place(m.host, Some(m.target.slot));
    }
    if state.deficit() < before {
        return true;
    }
    for (m, &place) in path.iter().zip(&previous_slots) {
        state.place(m.host, place);
    }
    false
}

/// Finds a shortest augmenting path by breadth-first search. Returns its moves, beginning with the
/// host that leaves no gap: it is unassigned, or its slot can release it.
fn find_path(state: &SearchState<'_>, slot: usize) -> Option<Vec<Move>> {
    let domains = state.host_table.domain_count;
    let index = |n: Node| n.slot * (domains + 1) + n.vacated_domain.map_or(0, |d| d + 1);
    let mut reached_by: Vec<Option<Move>> = vec![None; state.slots.len() * (domains + 1)];
    let start = Node {
        slot,
        vacated_domain: None,
    };
    let mut queue = VecDeque::from([start]);
    while let Some(node) = queue.pop_front() {
        for &host in &state.host_table.usable {
            if !accepts(state, node, host) {
                continue;
            }
            let step = Move { target: node, host };
            let current_slot = state.slot_of[host.index()];
            let Some(current_slot) = current_slot.filter(|&s| !can_release(state, s, host)) else {
                return Some(path(step, |n| reached_by[index(n)]));
            };
            let vacated_domain = Some(state.domain(host));
            let next = Node {
                slot: current_slot,
                vacated_domain,
            };
            if reached_by[index(next)].is_none() {
                reached_by[index(next)] = Some(step);
                queue.push_back(next);
            }
        }
    }
    None
}

/// Returns whether the slot of a node can use a host after it has given away a host of the vacated
/// domain: the host fits and is of a failure domain in which the slot then has no replica.
fn accepts(state: &SearchState<'_>, node: Node, host: HostKey) -> bool {
    let domain = state.domain(host);
    let slot = &state.slots[node.slot];
    let domain_needed = state.host_table.required_domains < REDUNDANT_DOMAINS
        || slot.per_domain[domain] == 0
        || node.vacated_domain == Some(domain);
    domain_needed && state.slot_of[host.index()] != Some(node.slot) && state.fits(host, node.slot)
}

/// Returns whether a redundant slot remains so when it gives away a host without a replacement.
fn can_release(state: &SearchState<'_>, slot: usize, host: HostKey) -> bool {
    let slot = &state.slots[slot];
    let domains = slot.per_domain.iter().filter(|&&count| count > 0).count();
    if state.host_table.required_domains < REDUNDANT_DOMAINS {
        return slot.hosts.len() > REDUNDANT_DOMAINS;
    }
    slot.per_domain[state.domain(host)] > 1 || domains > REDUNDANT_DOMAINS
}

/// Follows the moves back from the last one found to the start of the search.
fn path(last: Move, before: impl Fn(Node) -> Option<Move>) -> Vec<Move> {
    let mut moves = vec![last];
    let mut node = last.target;
    while let Some(step) = before(node) {
        moves.push(step);
        node = step.target;
    }
    moves
}
