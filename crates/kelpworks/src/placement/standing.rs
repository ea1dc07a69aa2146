//! Finds hosts for a stage that would not stand after a loss, by augmenting paths.
//!
//! That every stage has replicas in two failure domains is a flow problem for given cuts: a stage
//! needs two hosts of different domains, a host serves one stage. A shortest augmenting path moves
//! the fewest hosts for one stage, and when there is none, no other way exists either. Local search
//! alone misses paths of more than two moves.

use std::collections::VecDeque;

use super::input::HostKey;
use super::state::STANDING_DOMAINS;
use super::state::State;

/// A place of the search: a slot, and the failure domain that it would give a host of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Node {
    slot: usize,
    given: Option<usize>,
}

/// A move on the path: the host goes to the slot of the node that it was found from.
#[derive(Clone, Copy, Debug)]
struct Move {
    from: Node,
    host: HostKey,
}

/// Gives a slot a host in a failure domain that it has none in, moving others along a shortest
/// path; returns whether the state is better for it.
pub(super) fn augment(state: &mut State<'_>, slot: usize) -> bool {
    let Some(path) = find(state, slot) else {
        return false;
    };
    let before = state.deficit();
    let places: Vec<Option<usize>> = path.iter().map(|m| state.at[m.host.index()]).collect();
    for m in &path {
        state.place(m.host, Some(m.from.slot));
    }
    if state.deficit() < before {
        return true;
    }
    for (m, &place) in path.iter().zip(&places) {
        state.place(m.host, place);
    }
    false
}

/// The moves of a shortest path, last first.
fn find(state: &State<'_>, slot: usize) -> Option<Vec<Move>> {
    let domains = state.view.domain_count;
    let index = |n: Node| n.slot * (domains + 1) + n.given.map_or(0, |d| d + 1);
    let mut came: Vec<Option<Move>> = vec![None; state.slots.len() * (domains + 1)];
    let start = Node { slot, given: None };
    let mut queue = VecDeque::from([start]);
    while let Some(node) = queue.pop_front() {
        for &host in &state.view.usable {
            if !wants(state, node, host) {
                continue;
            }
            let step = Move { from: node, host };
            let holder = state.at[host.index()];
            let Some(holder) = holder.filter(|&s| !spares(state, s, host)) else {
                return Some(path(step, |n| came[index(n)]));
            };
            let given = Some(state.domain(host));
            let next = Node {
                slot: holder,
                given,
            };
            if came[index(next)].is_none() {
                came[index(next)] = Some(step);
                queue.push_back(next);
            }
        }
    }
    None
}

/// Whether a host would help a slot that gives one of the node's domain.
fn wants(state: &State<'_>, node: Node, host: HostKey) -> bool {
    let domain = state.domain(host);
    let slot = &state.slots[node.slot];
    let open = state.view.domains_wanted < STANDING_DOMAINS
        || slot.per_domain[domain] == 0
        || node.given == Some(domain);
    open && state.at[host.index()] != Some(node.slot) && state.fits(host, node.slot)
}

/// Whether a slot can give a host without a replacement.
fn spares(state: &State<'_>, slot: usize, host: HostKey) -> bool {
    let slot = &state.slots[slot];
    let domains = slot.per_domain.iter().filter(|&&count| count > 0).count();
    if state.view.domains_wanted < STANDING_DOMAINS {
        return slot.hosts.len() > STANDING_DOMAINS;
    }
    slot.per_domain[state.domain(host)] > 1 || domains > STANDING_DOMAINS
}

fn path(last: Move, before: impl Fn(Node) -> Option<Move>) -> Vec<Move> {
    let mut moves = vec![last];
    let mut node = last.from;
    while let Some(step) = before(node) {
        moves.push(step);
        node = step.from;
    }
    moves
}
