//! Roles of daemons: who shares a retry limit, who watches the store, who takes the placement lease
//! and who leads in place of the lease holder. Each daemon decides for itself, based on its
//! membership view and on two facts that every digest carries: when the store last answered a
//! watcher (`store_contact`), and who leads.
//!
//! Each role goes to the live daemons with the lowest ranks, where the rank is a hash of the name.
//! Daemons that get answers of the store go first in watching it.
//! Daemons with the same view choose the same ones. A daemon whose view differs for a moment costs
//! a few extra calls, since correctness does not depend on a role being held by one daemon only.

use std::time::Duration;

use tokio::time::Instant;

use super::MAX_SMALL_FLEET_PEERS;
use super::Peers;
use super::lock;
use super::members::Condition;
use super::members::LeadOrder;
use super::members::Member;
use super::members::Members;
use super::members::WatchOrder;
use super::store_contact::StoreContact;
use super::store_contact::StoreKind;
use super::store_contact::WatchRole;

/// Minimum number of daemons assumed to share a retry limit during [`LEARNING_PERIOD`].
pub(super) const ASSUMED_DAEMONS: usize = 8;
/// Time after the start in which a daemon discovers its peers.
pub(super) const LEARNING_PERIOD: Duration = Duration::from_secs(3);
/// Warm-up time after the start before a daemon takes roles: two exchanges in a larger fleet, in
/// which the seeds name most of the other daemons.
pub(super) const WARM_UP: Duration = Duration::from_millis(1_200);
/// Time without a newly discovered peer after which a starting daemon of a small fleet knows all of
/// its peers: more than one exchange. It ends the warm-up early, because after the loss of all
/// daemons callers wait for data of the store.
pub(super) const DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Time without an exchange after which a daemon acts as if it had no peers: it is isolated, or
/// there are none.
pub(super) const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait of a starting daemon for its first exchange before it trusts a store that may just
/// have been restored from an older copy.
const FIRST_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a starting daemon checks whether its first exchange has been made.
const FIRST_EXCHANGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a report of the leader after which another daemon takes over: four exchanges.
pub(super) const LEADER_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to gossip timeouts for each doubling of the fleet beyond a small one. An update then takes
/// one more hop, which takes up to one exchange.
const DELAY_PER_DOUBLING: Duration = Duration::from_millis(350);
/// Time for which an acting leader sends no orders after its orders conflicted with those of
/// another. A digest of the other arrives within this time.
const CONFLICT_BACKOFF: Duration = Duration::from_secs(3);

/// Basis on which a daemon sends orders to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeadershipBasis {
    /// The daemon holds the placement lease.
    Lease,
    /// The daemon leads because no lease holder is known to be active.
    Acting,
}

/// Order of precedence among leaders; the lowest value wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence(pub(super) u64);

impl Precedence {
    /// Computes the precedence of a daemon. Lease holders precede all acting leaders.
    fn new(basis: LeadershipBasis, rank: u64) -> Precedence {
        match basis {
            LeadershipBasis::Lease => Precedence(rank >> 1),
            LeadershipBasis::Acting => Precedence(rank >> 1 | 1 << 63),
        }
    }
}

/// A daemon that sends orders to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Leader {
    precedence: Precedence,
    /// When it was last known to lead.
    at: Instant,
}

/// State that roles are derived from, in addition to the membership.
#[derive(Clone, Debug)]
pub(super) struct RoleState {
    /// Rank of this daemon, see [`rank_of`](super::members::rank_of).
    rank: u64,
    started: Instant,
    leader: Option<Leader>,
    pub(super) store: StoreContact,
    /// Last exchange with any daemon.
    last_exchange: Option<Instant>,
    /// Until when this daemon does not lead without the lease.
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

    /// Position of this daemon among those that watch the store.
    pub(super) fn watch_order(&self) -> WatchOrder {
        WatchOrder::new(self.store.is_watching(), self.rank)
    }

    pub(super) fn record_exchange(&mut self, now: Instant) {
        self.last_exchange = Some(now);
    }

    /// Returns whether there was an exchange with any daemon at or after `at`.
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

    /// Role of this daemon in watching a kind of store object. It watches if it is among the first
    /// fit daemons in the watch order, or is drawn while these get no answers, or is isolated and
    /// has no peer that could deliver the data.
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
        match members.count_before_in_watch_order(self.watch_order()) {
            0 => Some(WatchRole::Primary),
            before if before < max_watchers => Some(WatchRole::Standby),
            _ => {
                let is_drawn = self
                    .store
                    .is_drawn_to_try(store_kind, self.rank, members, now);
                is_drawn.then_some(WatchRole::Standby)
            }
        }
    }

    /// Returns whether this daemon should acquire the placement lease when it is free. `unreachable`
    /// is the number of services that it does not reach.
    pub(super) fn may_take_lease(
        &self,
        unreachable: usize,
        members: &Members,
        now: Instant,
    ) -> bool {
        let order = self.lead_order(unreachable);
        let is_first = members.count_before_in_lead_order(order, is_fit) == 0;
        is_first && self.is_warmed_up(members, now) && !self.store.is_failing(now)
    }

    /// Returns whether this daemon may keep the placement lease: no other that could take it reaches
    /// more services.
    pub(super) fn may_keep_lease(&self, unreachable: usize, members: &Members) -> bool {
        let reaches_more = |m: &&Member| is_fit(m) && m.lead_order().unreachable < unreachable;
        !members.live().any(|m| reaches_more(&m))
    }

    fn lead_order(&self, unreachable: usize) -> LeadOrder {
        LeadOrder {
            unreachable,
            rank: self.rank,
        }
    }

    /// Returns whether this daemon leads in place of the lease holder. It does so if no report of
    /// an active leader with precedence is known, as after the holder's death or during a store
    /// outage, and this daemon is isolated or the first in leading of the live daemons that are not
    /// leaving. `unreachable` is the number of services that it does not reach. Two daemons without contact may both lead; of two conflicting orders engines accept
    /// only the first.
    pub(super) fn is_acting_leader(
        &self,
        unreachable: usize,
        members: &Members,
        now: Instant,
    ) -> bool {
        let is_learning = now.duration_since(self.started) < LEARNING_PERIOD;
        if is_learning || self.backoff_until.is_some_and(|until| now < until) {
            return false;
        }
        let is_staying = |m: &Member| m.condition != Condition::Leaving;
        let order = self.lead_order(unreachable);
        let is_first = members.count_before_in_lead_order(order, is_staying) == 0;
        if !is_first && !self.is_isolated(members, now) {
            return false;
        }
        let own = Precedence::new(LeadershipBasis::Acting, self.rank);
        let leader = self.leader.filter(|l| is_active(l, members, now));
        leader.is_none_or(|l| l.precedence >= own)
    }

    /// Records that this daemon sends orders now.
    pub(super) fn record_leading(
        &mut self,
        basis: LeadershipBasis,
        members: &Members,
        now: Instant,
    ) {
        let precedence = Precedence::new(basis, self.rank);
        self.learn_leader(precedence, now, members, now);
    }

    /// Applies a report of a leader. Of two active leaders the one with precedence is kept.
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

    /// Precedence of the last known leader, and when it was last known to lead.
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

/// Extends a timeout of a small fleet by the time that gossip needs in the current fleet.
pub(super) fn scaled_to_fleet(base_timeout: Duration, members: &Members) -> Duration {
    scaled_to_daemons(base_timeout, members.live().count() + 1)
}

pub(super) fn scaled_to_daemons(base_timeout: Duration, daemons: usize) -> Duration {
    let size_ratio = daemons as f64 / MAX_SMALL_FLEET_PEERS as f64;
    base_timeout + DELAY_PER_DOUBLING.mul_f64(size_ratio.log2().max(0.0))
}

impl Peers {
    /// Waits for the first exchange with a peer, at most until [`FIRST_EXCHANGE_TIMEOUT`] after the
    /// start.
    pub(crate) async fn wait_for_first_exchange(&self) {
        let until = self.started + FIRST_EXCHANGE_TIMEOUT;
        while Instant::now() < until && !lock(&self.roles).has_exchanged_since(self.started) {
            tokio::time::sleep(FIRST_EXCHANGE_POLL_INTERVAL).await;
        }
    }

    /// Number of daemons that may be working, including this one.
    pub(crate) fn daemon_count(&self) -> usize {
        let known = lock(&self.members).known_count() + 1;
        if Instant::now().duration_since(self.started) < LEARNING_PERIOD {
            return known.max(ASSUMED_DAEMONS);
        }
        known
    }

    /// Returns whether this daemon should acquire the placement lease when it is free.
    pub(crate) fn may_take_lease(&self) -> bool {
        let unreachable = self.unreachable_count();
        let members = lock(&self.members);
        lock(&self.roles).may_take_lease(unreachable, &members, Instant::now())
    }

    /// Returns whether this daemon may keep the placement lease.
    pub(crate) fn may_keep_lease(&self) -> bool {
        let unreachable = self.unreachable_count();
        let members = lock(&self.members);
        lock(&self.roles).may_keep_lease(unreachable, &members)
    }

    /// Number of services whose upstreams this daemon does not reach.
    fn unreachable_count(&self) -> usize {
        self.shared.reach().lost().count()
    }

    /// Returns whether this daemon leads in place of the lease holder.
    pub(crate) fn is_acting_leader(&self) -> bool {
        let unreachable = self.unreachable_count();
        let members = lock(&self.members);
        lock(&self.roles).is_acting_leader(unreachable, &members, Instant::now())
    }

    /// Records that this daemon sends orders now.
    pub(crate) fn record_leading(&self, basis: LeadershipBasis) {
        let members = lock(&self.members);
        lock(&self.roles).record_leading(basis, &members, Instant::now());
    }

    /// Stops acting leadership for [`CONFLICT_BACKOFF`], after orders of another daemon conflicted
    /// with those of this one.
    pub(crate) fn back_off(&self) {
        lock(&self.roles).backoff_until = Some(Instant::now() + CONFLICT_BACKOFF);
    }
}
