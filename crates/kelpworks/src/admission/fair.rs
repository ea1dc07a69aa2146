//! Start-time weighted fair queueing over teams.
//!
//! Each team has a virtual finish time, which grows by cost / weight with each request served.
//! The team whose next request has the lowest virtual start time is served next. A team that was
//! idle starts at the virtual time of the queue, so idle time gives neither credit nor debt. While
//! two teams both have requests waiting, the cost served to each, divided by its weight, differs
//! by at most one request of each. All operations take O(log n) in the number of teams and in the
//! number of requests of a team.
//!
//! ```
//! use kelpworks::admission::FairQueue;
//!
//! let mut queue = FairQueue::default();
//! queue.push("sellers", 1, 100, 'a');
//! queue.push("sellers", 1, 100, 'b');
//! queue.push("buyers", 1, 100, 'c');
//! assert_eq!(queue.order().collect::<String>(), "acb");
//! ```
//!
//! Limits: virtual time is a 64-bit integer. It lasts for a total cost of 2^48 at weight 1.

mod order;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;
use slotmap::new_key_type;

pub use order::Order;

/// Virtual time of a cost of 1 at weight 1. Virtual time is a fixed-point integer, so that
/// rounding errors do not accumulate.
const UNIT: u64 = 1 << 16;

/// Number of teams at which idle ones are evicted for the first time.
const INITIAL_SWEEP_LEN: usize = 64;

new_key_type! {
    struct TeamKey;
}

/// Identifies a waiting request: its team and its place among the requests of that team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingKey<P = ()> {
    team: TeamKey,
    place: Place<P>,
}

/// Place among the requests of a team; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place<P> {
    precedence: P,
    /// Arrival number within the queue.
    number: u64,
}

/// State of a team. Teams without waiting requests and with a finish time that is not ahead of
/// the queue's virtual time carry no information and may be evicted.
#[derive(Debug)]
struct Team<T, P> {
    name: Arc<str>,
    weight: u32,
    /// Virtual finish time of the last request served.
    finish: u64,
    /// Virtual start time of the first waiting request; valid only while `waiting` is not empty.
    start: u64,
    waiting: BTreeMap<Place<P>, Waiting<T>>,
    /// Total cost of `waiting`.
    cost: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting<T> {
    ticket: T,
    cost: u32,
}

/// Waiting requests of one class, each identified by a ticket `T` of the caller's. Those of a team
/// are ordered by precedence `P`, lowest first, then by arrival.
#[derive(Debug)]
pub struct FairQueue<T, P = ()> {
    teams: SlotMap<TeamKey, Team<T, P>>,
    by_name: HashMap<Arc<str>, TeamKey>,
    /// Teams with waiting requests, by virtual start time.
    order: BTreeSet<(u64, TeamKey)>,
    /// Virtual time of the queue: the highest virtual start time served. Never decreases.
    virtual_now: u64,
    next_number: u64,
    len: u32,
    /// Total cost of all waiting requests.
    cost: u64,
    /// Sum of the weights of the teams in `order`.
    weight: u64,
    /// Number of teams at which idle ones are evicted next.
    sweep_len: usize,
}

impl<T, P> Default for FairQueue<T, P> {
    fn default() -> FairQueue<T, P> {
        FairQueue {
            teams: SlotMap::with_key(),
            by_name: HashMap::new(),
            order: BTreeSet::new(),
            virtual_now: 0,
            next_number: 0,
            len: 0,
            cost: 0,
            weight: 0,
            sweep_len: 0,
        }
    }
}

impl<T: Copy> FairQueue<T> {
    /// Adds a request behind those of its team.
    pub fn push(&mut self, name: &str, weight: u32, cost: u32, ticket: T) -> WaitingKey {
        self.push_at(name, weight, cost, (), ticket)
    }
}

impl<T: Copy, P: Copy + Ord> FairQueue<T, P> {
    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests of all teams.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Total cost of all waiting requests.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Number of waiting requests of a team; 0 for an unknown team.
    pub fn team_len(&self, name: &str) -> u32 {
        let team = self.by_name.get(name).map(|&key| &self.teams[key]);
        team.map_or(0, |t| t.waiting.len() as u32)
    }

    /// Returns an upper bound of the cost that is served before a new request of this team. Its
    /// team's backlog is served at the team's share of the rate, and at most the whole backlog of
    /// the queue is served first.
    pub fn cost_ahead(&self, name: &str, weight: u32) -> u64 {
        let weight = u64::from(weight.max(1));
        let team = self.by_name.get(name).map(|&key| &self.teams[key]);
        let (own_cost, own_weight) = match team {
            Some(t) if !t.waiting.is_empty() => (t.cost, u64::from(t.weight)),
            _ => (0, 0),
        };
        let weights = self.weight - own_weight + weight;
        let share = own_cost.saturating_mul(weights) / weight;
        share.min(self.cost)
    }

    /// Adds a request behind those of its team with the same precedence or a lower one. A weight of
    /// 0 counts as 1.
    pub fn push_at(
        &mut self,
        name: &str,
        weight: u32,
        cost: u32,
        precedence: P,
        ticket: T,
    ) -> WaitingKey<P> {
        let key = self.team_key(name);
        let team = &mut self.teams[key];
        if !team.waiting.is_empty() {
            self.weight -= u64::from(team.weight);
        }
        team.weight = weight.max(1);
        self.weight += u64::from(team.weight);
        if team.waiting.is_empty() {
            team.start = team.finish.max(self.virtual_now);
            self.order.insert((team.start, key));
        }
        let place = Place {
            precedence,
            number: self.next_number,
        };
        self.next_number += 1;
        team.waiting.insert(place, Waiting { ticket, cost });
        team.cost += u64::from(cost);
        self.cost += u64::from(cost);
        self.len += 1;
        WaitingKey { team: key, place }
    }

    /// Returns the tickets in the order in which [`FairQueue::pop`] would, without a change of the
    /// queue.
    pub fn order(&self) -> Order<'_, T, P> {
        Order::new(self)
    }

    /// Removes the next request to serve and charges its cost to its team.
    pub fn pop(&mut self) -> Option<T> {
        let &(_, team) = self.order.first()?;
        let (&place, _) = self.teams[team].waiting.first_key_value()?;
        self.take(WaitingKey { team, place })
    }

    /// Removes a request that need not be the next one, and charges its cost to its team. Returns
    /// `None` if it does not wait.
    pub fn take(&mut self, waiting_key: WaitingKey<P>) -> Option<T> {
        let key = waiting_key.team;
        // The virtual time must not pass the start of a team that still waits, or a team that comes
        // later would start behind its share.
        let &(min_start, _) = self.order.first()?;
        let team = self.teams.get_mut(key)?;
        let taken = *team.waiting.get(&waiting_key.place)?;
        let start = team.start;
        team.finish = start + virtual_cost(taken.cost, team.weight);
        self.virtual_now = self.virtual_now.max(min_start);
        self.unlink(waiting_key);
        let team = &mut self.teams[key];
        if !team.waiting.is_empty() {
            self.order.remove(&(start, key));
            team.start = team.finish;
            self.order.insert((team.start, key));
        }
        Some(taken.ticket)
    }

    /// Removes a waiting request without charging its team.
    pub fn remove(&mut self, waiting_key: WaitingKey<P>) {
        self.unlink(waiting_key);
    }

    /// Refunds the part of a request's cost that it did not use to its team.
    pub fn refund(&mut self, name: &str, cost: u32) {
        let Some(&key) = self.by_name.get(name) else {
            return;
        };
        let team = &mut self.teams[key];
        let back = virtual_cost(cost, team.weight);
        team.finish = team
            .finish
            .saturating_sub(back)
            .max(self.virtual_now.min(team.finish));
        if !team.waiting.is_empty() {
            self.order.remove(&(team.start, key));
            team.start = team.finish.max(self.virtual_now);
            self.order.insert((team.start, key));
        }
    }

    fn unlink(&mut self, waiting_key: WaitingKey<P>) {
        let Some(team) = self.teams.get_mut(waiting_key.team) else {
            return;
        };
        let Some(unlinked) = team.waiting.remove(&waiting_key.place) else {
            return;
        };
        team.cost -= u64::from(unlinked.cost);
        self.cost -= u64::from(unlinked.cost);
        self.len -= 1;
        if team.waiting.is_empty() {
            self.weight -= u64::from(team.weight);
            self.order.remove(&(team.start, waiting_key.team));
        }
    }

    fn team_key(&mut self, name: &str) -> TeamKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        if self.teams.len() >= self.sweep_len.max(INITIAL_SWEEP_LEN) {
            self.evict_idle();
            self.sweep_len = self.teams.len() * 2;
        }
        let name: Arc<str> = Arc::from(name);
        let key = self.teams.insert(Team {
            name: Arc::clone(&name),
            weight: 1,
            finish: 0,
            start: 0,
            waiting: BTreeMap::new(),
            cost: 0,
        });
        self.by_name.insert(name, key);
        key
    }

    /// Evicts teams whose state equals that of a newly created team.
    fn evict_idle(&mut self) {
        let virtual_now = self.virtual_now;
        let by_name = &mut self.by_name;
        self.teams.retain(|_, team| {
            let keep = !team.waiting.is_empty() || team.finish > virtual_now;
            if !keep {
                by_name.remove(&team.name);
            }
            keep
        });
    }
}

fn virtual_cost(cost: u32, weight: u32) -> u64 {
    u64::from(cost) * UNIT / u64::from(weight.max(1))
}
