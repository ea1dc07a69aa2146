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

use super::MAX_SMALL_FLEET_PEERS;
use super::Peers;
use super::lock;
use super::members::Condition;
use super::members::Member;
use super::members::Members;
use super::store_contact::StoreContact;
use super::store_contact::StoreKind;
use super::store_contact::WatchRole;

/// Daemons that are assumed to share a bound until a daemon has had time to hear of the others.
pub(super) const ASSUMED_DAEMONS: usize = 8;
/// How long that is.
pub(super) const LEARNING_PERIOD: Duration = Duration::from_secs(3);
/// A daemon that starts takes no duty before: two exchanges in a larger fleet, in which its seeds
/// name most of the others.
pub(super) const WARM_UP: Duration = Duration::from_millis(1_200);
/// Once a daemon that starts has heard of no further one for so long, it knows them all: more than one exchange
/// of a small fleet. After the loss of all daemons callers wait for what the store holds.
pub(super) const DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Time without an exchange after which a daemon acts as if there were no other: it is cut off from
/// the others, or there are none.
pub(super) const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for which a daemon that starts waits for its first exchange before it trusts a store that
/// may just have come back from an older copy.
const FIRST_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two looks whether that exchange has been made.
const FIRST_EXCHANGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Silence of whoever gives orders after which another daemon takes over: four exchanges.
pub(super) const LEADER_TIMEOUT: Duration = Duration::from_secs(1);
/// Added for each doubling of the fleet beyond a small one: word passes through one more daemon then,
/// which takes up to an exchange.
const DELAY_PER_DOUBLING: Duration = Duration::from_millis(350);
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
    fn new(basis: LeadershipBasis, rank: u64) -> Precedence {
        match basis {
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
pub(super) struct RoleState {
    /// Where this daemon comes among all.
    rank: u64,
    started: Instant,
    leader: Option<Leader>,
    pub(super) store: StoreContact,
    /// The last exchange with any daemon.
    last_exchange: Option<Instant>,
    /// Until when this daemon doesn't lead without the lease.
    backoff_until: Option<Instant>,
}

impl RoleState {
    pub(super) fn new(rank: u64, started: Instant) -> RoleState {
        RoleState {
            rank,
            started,
            leader: None,
            store: StoreContact::new(started),
            last_exchange: None,
            backoff_until: None,
        }
    }

    /// Notes an exchange with another daemon.
    pub(super) fn record_exchange(&mut self, now: Instant) {
        self.last_exchange = Some(now);
    }

    /// Whether another daemon was met since a moment.
    pub(super) fn has_exchanged_since(&self, at: Instant) -> bool {
        self.last_exchange
            .is_some_and(|last_exchange| last_exchange >= at)
    }

    fn is_isolated(&self, members: &Members, now: Instant) -> bool {
        let last_exchange = self.last_exchange.unwrap_or(self.started);
        now.duration_since(last_exchange) >= ISOLATION_TIMEOUT
            || members.live().next().is_none()
                && now.duration_since(self.started) >= ISOLATION_TIMEOUT
    }

    fn is_warmed_up(&self, members: &Members, now: Instant) -> bool {
        let is_small_fleet = members.known_count() <= MAX_SMALL_FLEET_PEERS;
        let last_discovery = members.last_discovery().filter(|_| is_small_fleet);
        let is_complete =
            last_discovery.is_some_and(|at| now.duration_since(at) >= DISCOVERY_QUIET_PERIOD);
        is_complete || now.duration_since(self.started) >= WARM_UP
    }

    /// How this daemon watches a kind of the store, if it does: it is among the first that can, or the
    /// store has answered no watcher for long, or there is nobody who could tell it what the store holds.
    pub(super) fn watch_role(
        &self,
        store_kind: StoreKind,
        members: &Members,
        now: Instant,
    ) -> Option<WatchRole> {
        if self.is_isolated(members, now) {
            return Some(WatchRole::Primary);
        }
        if self.store.is_failing(now) || !self.is_warmed_up(members, now) {
            return None;
        }
        let max_watchers = self.store.wanted_watchers(store_kind, members, now);
        match members.count_ranked_before(self.rank, is_fit) {
            0 => Some(WatchRole::Primary),
            before if before < max_watchers => Some(WatchRole::Standby),
            _ => None,
        }
    }

    /// Whether this daemon should take the placement lease when it is free.
    pub(super) fn may_take_lease(&self, members: &Members, now: Instant) -> bool {
        let is_first = members.count_ranked_before(self.rank, is_fit) == 0;
        is_first && self.is_warmed_up(members, now) && !self.store.is_failing(now)
    }

    /// Whether this daemon gives orders in place of the lease's holder: nobody has heard of one, as
    /// after its death or while the store is down, and this daemon comes first of those that are
    /// live. Two that don't hear each other may both do so; engines take only the first of two
    /// orders.
    pub(super) fn is_acting_leader(&self, members: &Members, now: Instant) -> bool {
        let is_learning = now.duration_since(self.started) < LEARNING_PERIOD;
        if is_learning || self.backoff_until.is_some_and(|until| now < until) {
            return false;
        }
        let is_staying = |m: &Member| m.condition != Condition::Leaving;
        let is_first = members.count_ranked_before(self.rank, is_staying) == 0;
        if !is_first && !self.is_isolated(members, now) {
            return false;
        }
        let own = Precedence::new(LeadershipBasis::Acting, self.rank);
        let leader = self.leader.filter(|l| is_active(l, members, now));
        leader.is_none_or(|l| l.precedence >= own)
    }

    /// Notes that this daemon gives orders now.
    pub(super) fn record_leading(
        &mut self,
        basis: LeadershipBasis,
        members: &Members,
        now: Instant,
    ) {
        let precedence = Precedence::new(basis, self.rank);
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
        let is_expired = !is_active(known, members, now);
        if is_active(&new, members, now) && (is_expired || precedence < known.precedence) {
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

fn is_active(leader: &Leader, members: &Members, now: Instant) -> bool {
    now.duration_since(leader.at) < scaled_to_fleet(LEADER_TIMEOUT, members)
}

/// How long word may be on its way through the whole fleet, where a small one allows it so long.
pub(super) fn scaled_to_fleet(base_timeout: Duration, members: &Members) -> Duration {
    scaled_to_daemons(base_timeout, members.live().count() + 1)
}

pub(super) fn scaled_to_daemons(base_timeout: Duration, daemons: usize) -> Duration {
    let size_ratio = daemons as f64 / MAX_SMALL_FLEET_PEERS as f64;
    base_timeout + DELAY_PER_DOUBLING.mul_f64(size_ratio.log2().max(0.0))
}

impl Peers {
    /// Waits for the first exchange with another daemon, for a while.
    pub(crate) async fn wait_for_first_exchange(&self) {
        let until = self.started + FIRST_EXCHANGE_TIMEOUT;
        while Instant::now() < until && !lock(&self.roles).has_exchanged_since(self.started) {
            tokio::time::sleep(FIRST_EXCHANGE_POLL_INTERVAL).await;
        }
    }

    /// Daemons that may be working now, this one included.
    pub(crate) fn daemon_count(&self) -> usize {
        let known = lock(&self.members).known_count() + 1;
        if Instant::now().duration_since(self.started) < LEARNING_PERIOD {
            return known.max(ASSUMED_DAEMONS);
        }
        known
    }

    /// Whether this daemon should take the placement lease when it is free.
    pub(crate) fn may_take_lease(&self) -> bool {
        let members = lock(&self.members);
        lock(&self.roles).may_take_lease(&members, Instant::now())
    }

    /// Whether this daemon gives orders in place of the lease's holder.
    pub(crate) fn is_acting_leader(&self) -> bool {
        let members = lock(&self.members);
        lock(&self.roles).is_acting_leader(&members, Instant::now())
    }

    /// Notes that this daemon gives orders now.
    pub(crate) fn record_leading(&self, basis: LeadershipBasis) {
        let members = lock(&self.members);
        lock(&self.roles).record_leading(basis, &members, Instant::now());
    }

    /// Leaves orders to another daemon, whose orders stood in the way of this one's.
    pub(crate) fn back_off(&self) {
        lock(&self.roles).backoff_until = Some(Instant::now() + CONFLICT_BACKOFF);
    }
}
