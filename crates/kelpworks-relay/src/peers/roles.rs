//! Duties among daemons: who shares a bound, who watches the store, who keeps the placement lease
//! and who gives orders in its holder's place. Each daemon decides them for itself, from whom it
//! hears and from two words that go round with every digest: when the store last answered a watcher
//! (`store_contact`), and who gives orders.
//!
//! A duty falls to the first of the live daemons by a hash of their names. Daemons with the same
//! view choose the same one, and one with another view for a moment costs a few calls, since no
//! duty rests on being done by one daemon only.

use std::time::Duration;

use tokio::time::Instant;

use super::Peers;
use super::SMALL;
use super::lock;
use super::members::Condition;
use super::members::Member;
use super::members::Members;
use super::store_contact::StoreContact;
use super::store_contact::StoreKind;
use super::store_contact::WatchRole;

/// Daemons that are assumed to share a bound until a daemon has had time to hear of the others.
pub(super) const ASSUMED: usize = 8;
/// How long that is.
pub(super) const LEARNING: Duration = Duration::from_secs(3);
/// A daemon that starts takes no duty before: two exchanges in a larger fleet, in which its seeds
/// name most of the others.
pub(super) const SETTLING: Duration = Duration::from_millis(1_200);
/// Once a daemon that starts has heard of no further one for so long, it knows them all: more than one exchange
/// of a small fleet. After the loss of all daemons callers wait for what the store holds.
pub(super) const SETTLED: Duration = Duration::from_millis(300);
/// Time without an exchange after which a daemon acts as if there were no other: it is cut off from
/// the others, or there are none.
pub(super) const ALONE: Duration = Duration::from_millis(1_500);
/// Longest time for which a daemon that starts waits for its first exchange before it trusts a store that
/// may just have come back from an older copy.
const GREETING: Duration = Duration::from_millis(300);
/// Time between two looks whether that exchange has been made.
const GREETING_POLL: Duration = Duration::from_millis(20);
/// Silence of whoever gives orders after which another daemon takes over: four exchanges.
pub(super) const LEADER_TIMEOUT: Duration = Duration::from_secs(1);
/// Added for each doubling of the fleet beyond a small one: word passes through one more daemon then,
/// which takes up to an exchange.
const MORE_BY_SIZE: Duration = Duration::from_millis(350);
/// How long an acting leader gives no orders after it met another's: a digest of the other comes within it.
const CONFLICT_BACKOFF: Duration = Duration::from_secs(3);

/// By what right a daemon gives orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeadershipBasis {
    /// It holds the placement lease.
    Lease,
    /// It leads in the holder's place, since nobody hears of one.
    Acting,
}

/// Which of two daemons that give orders goes on; the lower one does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence(pub(super) u64);

impl Precedence {
    /// That of a daemon; holders of the lease come before all others.
    fn new(right: LeadershipBasis, rank: u64) -> Precedence {
        match right {
            LeadershipBasis::Lease => Precedence(rank >> 1),
            LeadershipBasis::Acting => Precedence(rank >> 1 | 1 << 63),
        }
    }
}

/// A daemon that gives orders to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Leader {
    precedence: Precedence,
    /// When it was last known to do so.
    at: Instant,
}

/// What duties follow from, beside the members.
#[derive(Clone, Debug)]
pub(super) struct Duties {
    /// Where this daemon comes among all.
    rank: u64,
    started: Instant,
    leader: Option<Leader>,
    pub(super) store: StoreContact,
    /// The last exchange with any daemon.
    met: Option<Instant>,
    /// Until when this daemon doesn't lead without the lease.
    backoff_until: Option<Instant>,
}

impl Duties {
    pub(super) fn new(rank: u64, started: Instant) -> Duties {
        Duties {
            rank,
            started,
            leader: None,
            store: StoreContact::new(started),
            met: None,
            backoff_until: None,
        }
    }

    /// Notes an exchange with another daemon.
    pub(super) fn met(&mut self, now: Instant) {
        self.met = Some(now);
    }

    /// Whether another daemon was met since a moment.
    pub(super) fn has_met_since(&self, at: Instant) -> bool {
        self.met.is_some_and(|met| met >= at)
    }

    fn is_alone(&self, members: &Members, now: Instant) -> bool {
        let met = self.met.unwrap_or(self.started);
        now.duration_since(met) >= ALONE
            || members.live().next().is_none() && now.duration_since(self.started) >= ALONE
    }

    fn has_settled(&self, members: &Members, now: Instant) -> bool {
        let is_small = members.known() <= SMALL;
        let grown = members.grown().filter(|_| is_small);
        let is_complete = grown.is_some_and(|at| now.duration_since(at) >= SETTLED);
        is_complete || now.duration_since(self.started) >= SETTLING
    }

    /// How this daemon watches a kind of the store, if it does: it is among the first that can, or the
    /// store has answered no watcher for long, or there is nobody who could tell it what the store holds.
    pub(super) fn watch(
        &self,
        what: StoreKind,
        members: &Members,
        now: Instant,
    ) -> Option<WatchRole> {
        if self.is_alone(members, now) {
            return Some(WatchRole::Primary);
        }
        if self.store.is_failing(now) || !self.has_settled(members, now) {
            return None;
        }
        let wanted = self.store.watchers(what, members, now);
        match members.before(self.rank, is_fit) {
            0 => Some(WatchRole::Primary),
            before if before < wanted => Some(WatchRole::Standby),
            _ => None,
        }
    }

    /// Whether this daemon should take the placement lease when it is free.
    pub(super) fn may_take_lease(&self, members: &Members, now: Instant) -> bool {
        let is_first = members.before(self.rank, is_fit) == 0;
        is_first && self.has_settled(members, now) && !self.store.is_failing(now)
    }

    /// Whether this daemon gives orders in place of the lease's holder: nobody has heard of one, as
    /// after its death or while the store is down, and this daemon comes first of those that are
    /// live. Two that don't hear each other may both do so; engines take only the first of two
    /// orders.
    pub(super) fn is_acting_leader(&self, members: &Members, now: Instant) -> bool {
        let is_learning = now.duration_since(self.started) < LEARNING;
        if is_learning || self.backoff_until.is_some_and(|until| now < until) {
            return false;
        }
        let stays = |m: &Member| m.condition != Condition::Leaving;
        let is_first = members.before(self.rank, stays) == 0;
        if !is_first && !self.is_alone(members, now) {
            return false;
        }
        let own = Precedence::new(LeadershipBasis::Acting, self.rank);
        let leader = self.leader.filter(|l| is_at_work(l, members, now));
        leader.is_none_or(|l| l.precedence >= own)
    }

    /// Notes that this daemon gives orders now.
    pub(super) fn note_leading(&mut self, right: LeadershipBasis, members: &Members, now: Instant) {
        let precedence = Precedence::new(right, self.rank);
        self.learn_leader(precedence, now, members, now);
    }

    /// Takes word of a daemon that gives orders. Of two the one that comes first counts, as long as
    /// there is word of it.
    pub(super) fn learn_leader(
        &mut self,
        precedence: Precedence,
        at: Instant,
        members: &Members,
        now: Instant,
    ) {
        let new = Leader { precedence, at };
        let Some(known) = &mut self.leader else {
            self.leader = Some(new);
            return;
        };
        if known.precedence == precedence {
            known.at = known.at.max(at);
            return;
        }
        let is_over = !is_at_work(known, members, now);
        if is_at_work(&new, members, now) && (is_over || precedence < known.precedence) {
            *known = new;
        }
    }

    /// The daemon that was last known to give orders, and when that was.
    pub(super) fn leader(&self) -> Option<(Precedence, Instant)> {
        self.leader.map(|l| (l.precedence, l.at))
    }
}

fn is_fit(member: &Member) -> bool {
    member.condition == Condition::Fit
}

fn is_at_work(leader: &Leader, members: &Members, now: Instant) -> bool {
    now.duration_since(leader.at) < for_size(LEADER_TIMEOUT, members)
}

/// How long word may be on its way through the whole fleet, where a small one allows it so long.
pub(super) fn for_size(small: Duration, members: &Members) -> Duration {
    for_daemons(small, members.live().count() + 1)
}

pub(super) fn for_daemons(small: Duration, daemons: usize) -> Duration {
    let times_small = daemons as f64 / SMALL as f64;
    small + MORE_BY_SIZE.mul_f64(times_small.log2().max(0.0))
}

impl Peers {
    /// Waits for the first exchange with another daemon, for a while.
    pub(crate) async fn until_greeted(&self) {
        let until = self.started + GREETING;
        while Instant::now() < until && !lock(&self.duties).has_met_since(self.started) {
            tokio::time::sleep(GREETING_POLL).await;
        }
    }

    /// Daemons that may be working now, this one included.
    pub(crate) fn sharing(&self) -> usize {
        let known = lock(&self.members).known() + 1;
        if Instant::now().duration_since(self.started) < LEARNING {
            return known.max(ASSUMED);
        }
        known
    }

    /// Whether this daemon should take the placement lease when it is free.
    pub(crate) fn may_take_lease(&self) -> bool {
        let members = lock(&self.members);
        lock(&self.duties).may_take_lease(&members, Instant::now())
    }

    /// Whether this daemon gives orders in place of the lease's holder.
    pub(crate) fn is_acting_leader(&self) -> bool {
        let members = lock(&self.members);
        lock(&self.duties).is_acting_leader(&members, Instant::now())
    }

    /// Notes that this daemon gives orders now.
    pub(crate) fn note_leading(&self, right: LeadershipBasis) {
        let members = lock(&self.members);
        lock(&self.duties).note_leading(right, &members, Instant::now());
    }

    /// Leaves orders to another daemon, whose orders stood in the way of this one's.
    pub(crate) fn back_off(&self) {
        lock(&self.duties).backoff_until = Some(Instant::now() + CONFLICT_BACKOFF);
    }
}
