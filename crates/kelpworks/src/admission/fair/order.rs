//! The order in which a queue serves its requests, without a change of the queue.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::btree_map;
use std::collections::btree_set;
use std::iter::Peekable;

use super::FairQueue;
use super::Place;
use super::TeamKey;
use super::Waiting;
use super::virtual_cost;

/// Tickets in the order of service; see [`FairQueue::order`]. The first one takes O(log n) and no
/// allocation, each further one O(log n) in the number of those before it.
#[derive(Debug)]
pub struct Order<'a, T, P> {
    queue: &'a FairQueue<T, P>,
    /// Teams of which no request was returned yet, by virtual start time.
    untouched: Peekable<btree_set::Iter<'a, (u64, TeamKey)>>,
    /// The other teams that have requests left, by the virtual start time of the next one.
    resumed: BinaryHeap<Reverse<Resumed<'a, T, P>>>,
}

/// A team of which some requests were returned.
#[derive(Debug)]
struct Resumed<'a, T, P> {
    /// Virtual start time of the next request, and the team.
    turn: (u64, TeamKey),
    /// Requests that were not returned yet; at least one.
    rest: btree_map::Iter<'a, Place<P>, Waiting<T>>,
}

impl<T, P> PartialEq for Resumed<'_, T, P> {
    fn eq(&self, other: &Self) -> bool {
        self.turn == other.turn
    }
}

impl<T, P> Eq for Resumed<'_, T, P> {}

impl<T, P> PartialOrd for Resumed<'_, T, P> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T, P> Ord for Resumed<'_, T, P> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.turn.cmp(&other.turn)
    }
}

impl<'a, T, P> Order<'a, T, P> {
    pub(super) fn new(queue: &'a FairQueue<T, P>) -> Order<'a, T, P> {
        Order {
            queue,
            untouched: queue.order.iter().peekable(),
            resumed: BinaryHeap::new(),
        }
    }

    fn next_team(&mut self) -> Option<Resumed<'a, T, P>> {
        let resumed = self.resumed.peek().map(|Reverse(r)| r.turn);
        let untouched = self.untouched.peek().map(|&&turn| turn);
        let is_resumed = resumed.is_some_and(|r| untouched.is_none_or(|u| r < u));
        if is_resumed {
            return self.resumed.pop().map(|Reverse(r)| r);
        }
        let &turn = self.untouched.next()?;
        let rest = self.queue.teams[turn.1].waiting.iter();
        Some(Resumed { turn, rest })
    }
}

impl<T: Copy, P> Iterator for Order<'_, T, P> {
    type Item = T;

    fn next(&mut self) -> Option<T> {
        let mut team = self.next_team()?;
        let (_, &served) = team.rest.next()?;
        if team.rest.len() > 0 {
            let (start, key) = team.turn;
            let weight = self.queue.teams[key].weight;
            team.turn.0 = start + virtual_cost(served.cost, weight);
            self.resumed.push(Reverse(team));
        }
        Some(served.ticket)
    }
}
