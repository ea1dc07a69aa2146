//! The requests of a service that wait in this daemon for capacity, and which of them tries next.
//!
//! Requests that have begun come first. The others are ordered by level, by the shares in `level_shares`, within a
//! level by team, with a fair queue, and within a team by age. Size has no influence, so that a large request is not
//! passed over.

use std::array;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::time::Instant;

use kelpworks::admission::FairQueue;
use kelpworks::admission::Order;
use kelpworks::admission::WaitingKey;

use super::level_shares::LevelSet;
use super::level_shares::LevelShares;
use super::levels::Level;
use super::levels::MAX_LEVELS;

/// Number of waiting requests from which only those enter that have begun or whose team has few waiting.
pub const MAX_WAITING: usize = 1_000;
/// Maximum number of requests that wait beyond [`MAX_WAITING`].
pub const MAX_EXTRA_WAITING: usize = 1_000;
/// Number of requests of a level that a team may have waiting while others fill the queue. Without it, a burst of one
/// team or level would keep out all others.
const MIN_TEAM_WAITING: u32 = 8;
/// Rank at which counting stops. Only the first few requests may try.
pub const MAX_RANK: usize = 8;
/// Age from which a request gains no further rank. Callers that return as told come later than that only in a long
/// shortage. With a larger age, those that repeat at once until their deadline are the oldest then, and take the capacity
/// of those that return as told.
pub const MAX_AGE: Duration = Duration::from_secs(3);
/// Time by which the request that is first may exceed its target. In a lasting shortage every request becomes first
/// shortly before its target, and a large one needs longer until its capacity is free. Without this time, small ones are
/// served instead.
pub const TURN_GRACE: Duration = Duration::from_millis(500);
/// Age from which a request counts as one whose caller has come back after a refusal: [`MIN_RETRY_DELAY`], less the time
/// that the request was under way.
///
/// [`MIN_RETRY_DELAY`]: super::MIN_RETRY_DELAY
pub const RETURNED_AGE: Duration = Duration::from_millis(1_400);
/// Time since the last admission after which a queue that is empty forgets what teams and levels were given.
const SHARE_MEMORY: Duration = Duration::from_secs(10);
/// Maximum cost of a request, in token-layers: a million tokens over a hundred layers.
const MAX_COST: f64 = 1e8;
/// Weight of a team; the configuration has no weights.
const TEAM_WEIGHT: u32 = 1;
/// Name under which requests without a team share capacity.
const NO_TEAM: &str = "";

/// Returns when the caller of a request first asked: the time left until its deadline tells how much of the timeout has
/// passed. A caller that states less time than it has gains precedence among its equals, and loses that time. One that
/// returns sooner than any `Retry-After` asks counts as a new one.
pub fn first_asked(arrived: Instant, timeout: Duration, time_left: Option<Duration>) -> Instant {
    let age = timeout.saturating_sub(time_left.unwrap_or(timeout));
    match age >= RETURNED_AGE {
        true => arrived.checked_sub(age).unwrap_or(arrived),
        false => arrived,
    }
}

new_key_type! {
    /// Key of a waiting request. It stays invalid once the request has left.
    pub struct Ticket;
}

/// A request that found no capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Team that it is charged to; requests without one share as a single team.
    pub team: Option<Arc<str>>,
    /// Urgency under the configuration with which it arrived.
    pub level: Level,
    /// When the caller first asked, or when the request arrived if that is less than [`MIN_RETRY_DELAY`] after it: then
    /// the caller has not waited as told. A moment in the future counts as now, one more than [`MAX_AGE`] ago as that old.
    ///
    /// [`MIN_RETRY_DELAY`]: super::MIN_RETRY_DELAY
    pub origin: Instant,
    /// Until when it waits. Of requests with the same origin, the one that may wait less comes first.
    pub target: Instant,
    /// KV cache that it needs, in token-layers; values out of range count as the nearest in range.
    pub cost: f64,
    /// Whether its answer has begun, so that it looks for another path.
    pub begun: bool,
}

/// Precedence among the requests of a team: the lowest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    origin: Instant,
    target: Instant,
}

type TeamQueue = FairQueue<Ticket, Precedence>;

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: WaitingKey<Precedence>,
    level: Level,
    target: Instant,
    /// In token-layers; at least 1.
    cost: u32,
    begun: bool,
}

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    entries: SlotMap<Ticket, Entry>,
    /// Requests that have begun, of all levels. They took their share when they were admitted the first time, so they
    /// are charged here only among themselves.
    begun: TeamQueue,
    /// The other requests, by level.
    levels: [TeamQueue; MAX_LEVELS],
    shares: LevelShares,
    /// Number of entries of each level, those that have begun included.
    waiting: [usize; MAX_LEVELS],
    last_admission: Option<Instant>,
}

impl WaitQueue {
    /// Adds a request. Returns `None` when the queue is full: from [`MAX_WAITING`] requests on for those that have not
    /// begun and whose team has several waiting, and from [`MAX_EXTRA_WAITING`] more for all.
    pub fn enter(&mut self, request: WaitingRequest, now: Instant) -> Option<Ticket> {
        self.forget_old_shares(now);
        let level = Level(request.level.index() as u8);
        let len = self.entries.len();
        let teams = match request.begun {
            true => &mut self.begun,
            false => &mut self.levels[level.index()],
        };
        let name = request.team.as_deref().unwrap_or(NO_TEAM);
        let may_exceed = request.begun || teams.team_len(name) < MIN_TEAM_WAITING;
        let max_len = MAX_WAITING + if may_exceed { MAX_EXTRA_WAITING } else { 0 };
        if len >= max_len {
            return None;
        }
        let cost = bounded_cost(request.cost);
        let precedence = Precedence {
            origin: bounded_origin(request.origin, now),
            target: request.target,
        };
        let ticket = self.entries.insert_with_key(|ticket| Entry {
            key: teams.push_at(name, TEAM_WEIGHT, cost, precedence, ticket),
            level,
            target: request.target,
            cost,
            begun: request.begun,
        });
        self.waiting[level.index()] += 1;
        Some(ticket)
    }

    /// Removes a request that gave up. Does nothing if it has left.
    pub fn leave(&mut self, ticket: Ticket) {
        let Some(entry) = self.remove_entry(ticket) else {
            return;
        };
        self.team_queue(&entry).remove(entry.key);
    }

    /// Removes a request that took capacity, whatever its rank, and charges its team and level. Does nothing if it has
    /// left.
    pub fn admit(&mut self, ticket: Ticket, now: Instant) {
        let waiting = self.waiting_levels();
        let Some(entry) = self.remove_entry(ticket) else {
            return;
        };
        self.team_queue(&entry).take(entry.key);
        if !entry.begun {
            let cost = f64::from(entry.cost);
            self.shares.charge(entry.level, cost, waiting);
        }
        self.last_admission = Some(now);
    }

    /// Returns the number of requests that try before this one, at most [`MAX_RANK`]; `None` if it has left. When those
    /// behind the first try as well, smaller ones take the capacity that the first waits for.
    pub fn rank(&self, ticket: Ticket) -> Option<usize> {
        self.entries.get(ticket)?;
        let rank = self.order().take(MAX_RANK).position(|t| t == ticket);
        Some(rank.unwrap_or(MAX_RANK))
    }

    /// Returns whether a request may try for capacity now: the first one, since smaller ones behind it would take the
    /// capacity that it waits for. While the level of the first one is limited, the first request of each more urgent
    /// level tries for what that one may not use.
    pub fn may_try(&self, ticket: Ticket, is_limited: impl Fn(Level) -> bool) -> bool {
        let Some(first) = self.order().next().filter(|&first| first != ticket) else {
            return true;
        };
        let levels = self.level(ticket).zip(self.level(first));
        levels.is_none_or(|(level, first_level)| {
            level < first_level
                && is_limited(first_level)
                && self.levels[level.index()].order().next() == Some(ticket)
        })
    }

    /// Whether a request is to give up: its target has passed, and it is not the first or [`TURN_GRACE`] has passed too.
    pub fn is_overdue(&self, ticket: Ticket, now: Instant) -> bool {
        let Some(entry) = self.entries.get(ticket) else {
            return false;
        };
        let overdue = now.checked_duration_since(entry.target);
        overdue.is_some_and(|time| time >= TURN_GRACE || self.rank(ticket) != Some(0))
    }

    /// Returns the tickets in the order in which they try if each one that tries is admitted.
    pub fn order(&self) -> impl Iterator<Item = Ticket> {
        self.begun.order().chain(LevelOrder::new(self))
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of waiting requests of a level.
    pub fn waiting(&self, level: Level) -> usize {
        self.waiting[level.index()]
    }

    /// Returns the level of a waiting request, and the most urgent one once it has begun; `None` if it has left.
    fn level(&self, ticket: Ticket) -> Option<Level> {
        let entry = self.entries.get(ticket)?;
        Some(if entry.begun { Level(0) } else { entry.level })
    }

    /// Levels of which requests wait that have not begun.
    fn waiting_levels(&self) -> LevelSet {
        let mut waiting = LevelSet::default();
        for (index, teams) in self.levels.iter().enumerate() {
            if !teams.is_empty() {
                waiting.insert(index);
            }
        }
        waiting
    }

    fn team_queue(&mut self, entry: &Entry) -> &mut TeamQueue {
        match entry.begun {
            true => &mut self.begun,
            false => &mut self.levels[entry.level.index()],
        }
    }

    fn remove_entry(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(ticket)?;
        self.waiting[entry.level.index()] -= 1;
        Some(entry)
    }

    fn forget_old_shares(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= SHARE_MEMORY;
        if !self.entries.is_empty() || !self.last_admission.is_some_and(is_old) {
            return;
        }
        self.begun = TeamQueue::default();
        self.levels = array::from_fn(|_| TeamQueue::default());
        self.shares = LevelShares::default();
        self.last_admission = None;
    }
}

/// Requests that have not begun, in the order in which they try.
struct LevelOrder<'a> {
    queue: &'a WaitQueue,
    shares: LevelShares,
    /// Levels that have requests left.
    waiting: LevelSet,
    /// Requests of each level that were not returned yet.
    left: [u32; MAX_LEVELS],
    teams: [Order<'a, Ticket, Precedence>; MAX_LEVELS],
}

impl<'a> LevelOrder<'a> {
    fn new(queue: &'a WaitQueue) -> LevelOrder<'a> {
        LevelOrder {
            queue,
            shares: queue.shares,
            waiting: queue.waiting_levels(),
            left: array::from_fn(|index| queue.levels[index].len()),
            teams: array::from_fn(|index| queue.levels[index].order()),
        }
    }
}

impl Iterator for LevelOrder<'_> {
    type Item = Ticket;

    fn next(&mut self) -> Option<Ticket> {
        let level = self.shares.first(self.waiting)?;
        let ticket = self.teams[level.index()].next()?;
        let cost = f64::from(self.queue.entries[ticket].cost);
        self.shares.charge(level, cost, self.waiting);
        self.left[level.index()] -= 1;
        if self.left[level.index()] == 0 {
            self.waiting.remove(level.index());
        }
        Some(ticket)
    }
}

fn bounded_cost(cost: f64) -> u32 {
    if cost.is_nan() {
        return 1;
    }
    cost.clamp(1.0, MAX_COST) as u32
}

fn bounded_origin(origin: Instant, now: Instant) -> Instant {
    // The clock may have begun less than `MAX_AGE` ago.
    let oldest = now.checked_sub(MAX_AGE).unwrap_or(origin);
    origin.max(oldest).min(now)
}
