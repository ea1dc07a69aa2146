//! Finds two replicas in two failure domains for every stage, by maximum flow.
//!
//! The greedy start and local search can miss a way on fleets where few hosts may carry a model;
//! for given cuts, maximum flow does not.

use std::collections::VecDeque;

use super::input::HostKey;
use super::input::Input;
use super::state::Cuts;
use super::state::State;
use super::state::View;

/// Failure domains that a stage needs.
const DOMAINS: u32 = 2;

/// A state with these cuts in which as many stages as possible have their two replicas in two
/// failure domains, and no other host is assigned.
pub(super) fn anchored<'a>(input: &Input, view: &'a View, cuts: &Cuts) -> State<'a> {
    let mut state = State::new(view, input, cuts);
    for _ in 0..DOMAINS {
        for slot in 0..state.slots.len() {
            augment(&mut state, slot);
        }
    }
    state
}

/// What led the search to a slot: a host that it could give up, wanted by an earlier slot.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// The slot that wants the host.
    wants: usize,
    /// The host.
    host: HostKey,
}

/// Gives a slot one more host in a domain that it has none in, moving others along a shortest
/// augmenting path; returns whether there was one.
fn augment(state: &mut State<'_>, start: usize) -> bool {
    // A slot gives up a host and must replace it; it may do so from any domain that it then has
    // no host in. So the search is over (slot, domain given up).
    let domains = state.view.domain_count;
    let node =
        |slot: usize, given: Option<usize>| slot * (domains + 1) + given.map_or(0, |d| d + 1);
    let mut seen = vec![false; state.slots.len() * (domains + 1)];
    let mut came: Vec<Option<(usize, Step)>> = vec![None; seen.len()];
    let mut queue = VecDeque::from([(start, None)]);
    seen[node(start, None)] = true;
    while let Some((slot, given)) = queue.pop_front() {
        let here = node(slot, given);
        for host in state.view.usable.clone() {
            let domain = state.domain(host);
            let open = state.slots[slot].per_domain[domain] == 0 || given == Some(domain);
            if !open || !state.fits(host, slot) || state.at[host.index()] == Some(slot) {
                continue;
            }
            let step = Step { wants: slot, host };
            let Some(holder) = state.at[host.index()] else {
                apply(state, &came, here, step);
                return true;
            };
            let next = node(holder, Some(domain));
            if !seen[next] {
                seen[next] = true;
                came[next] = Some((here, step));
                queue.push_back((holder, Some(domain)));
            }
        }
    }
    false
}

/// Moves the hosts along the path that ends with `last` at node `at`.
fn apply(state: &mut State<'_>, came: &[Option<(usize, Step)>], at: usize, last: Step) {
    let mut node = at;
    let mut step = last;
    loop {
        state.place(step.host, Some(step.wants));
        let Some((before, earlier)) = came[node] else {
            return;
        };
        node = before;
        step = earlier;
    }
}
