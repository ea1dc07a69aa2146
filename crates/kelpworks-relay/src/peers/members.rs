//! Membership of the fleet as seen by one daemon.
//!
//! Every exchange proves that its partner was live at that time, and every unanswered call is
//! evidence of a loss. Both kinds of evidence carry their age and are forwarded from daemon to
//! daemon. The latest of each kind counts, so daemons with the same evidence agree regardless of
//! the order in which it arrived. A daemon counts as live until the evidence of its loss is later
//! than that of its life. In a fleet of hundreds a daemon learns of most others only through peers
//! and seconds late, so the lack of recent contact alone is no evidence of a loss.
//!
//! A digest reports recent changes first, and names many members to a daemon that has just started.
//! Changes may be displaced by others before they have reached every daemon. So each digest also has
//! a fingerprint of the live members, by groups, and the answer names the members of each group in
//! which the two daemons differ: whatever one of them missed is repaired by its next exchange with a
//! daemon that knows it.
//!
//! Limitation: ages are converted between clocks without the network delay, so evidence looks a few
//! milliseconds younger at each hop. A loss that is overridden because of this is detected again by
//! the next call.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::index::sample;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::messages::Contact;
use super::messages::Digest;
use super::messages::millis_since;

/// Time without contact after which a daemon is forgotten. Until then an unreachable daemon still
/// counts among those that share a retry limit, since it may be working.
pub(super) const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time for which a change of a member takes precedence in digests: about eight exchanges of a
/// larger fleet, in which an update spreads from one daemon to a thousand.
const CHANGE_REPORT_TTL: Duration = Duration::from_secs(4);
/// Maximum number of changed members in a digest, newest first.
const MAX_CHANGES: usize = 24;
/// Members that a digest names in addition, drawn at random. In a fleet of hundreds each member is
/// then named to a daemon every few seconds, far within [`FORGET_AFTER`].
const RANDOM_CONTACTS: usize = 8;
/// Groups of members that are compared by fingerprint. In a fleet of a thousand, the members of a
/// group fit in a digest.
const FINGERPRINT_GROUPS: usize = 32;
/// Maximum number of members that a digest names because fingerprints differ.
const MAX_DIFFERING: usize = 64;
/// Members named at random to a daemon that knows few of them. A daemon that joins a fleet of 300
/// thus knows nearly all of them within its first two seconds.
const RANDOM_CONTACTS_TO_NEWCOMER: usize = 96;
/// A daemon that knows less than this fraction of the members counts as a newcomer.
const NEWCOMER_KNOWN_FRACTION: f64 = 0.95;

/// Condition that a daemon reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Condition {
    /// It can take roles.
    #[default]
    Fit,
    /// The store recently failed to answer a call of the daemon.
    TurnedAway,
    /// It is in a planned stop.
    Leaving,
}

/// A peer as known to this daemon.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Member {
    name: Arc<str>,
    /// Result of [`rank_of`] for the name.
    rank: u64,
    /// Pseudo-random distance from this daemon; the nearest members are its neighbors.
    distance: u64,
    pub(super) domain: Arc<str>,
    pub(super) address: SocketAddr,
    /// Latest evidence of its life from any daemon; never decreases.
    pub(super) last_contact: Instant,
    /// Condition reported at `last_contact`.
    pub(super) condition: Condition,
    /// Whether it reported at `last_contact` that it watches the store and gets answers.
    watching: bool,
    /// Port on which it accepts requests of other daemons, as reported at `last_contact`.
    pub(super) handover: Option<u16>,
    /// Services that it did not reach at `last_contact`.
    pub(super) unreachable: Vec<Arc<str>>,
    /// Latest evidence of its loss from any daemon; never decreases.
    lost: Option<Instant>,
    /// When this daemon learned of the last change of liveness or condition.
    changed: Instant,
}

/// Fingerprint of a set of daemons: a checksum for each group of names. Empty from a daemon that
/// sends none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Fingerprint(Vec<u32>);

impl Fingerprint {
    fn add(&mut self, rank: u64) {
        if self.0.is_empty() {
            self.0 = vec![0; FINGERPRINT_GROUPS];
        }
        // The sum does not depend on the order, and unlike exclusive or it shows a name that was
        // added twice.
        let group = &mut self.0[group_of(rank)];
        *group = group.wrapping_add(rank as u32);
    }

    fn remove(&mut self, rank: u64) {
        if let Some(group) = self.0.get_mut(group_of(rank)) {
            *group = group.wrapping_sub(rank as u32);
        }
    }

    fn apply(&mut self, change: LivenessChange, rank: u64) {
        match change {
            LivenessChange::Live => self.add(rank),
            LivenessChange::Lost => self.remove(rank),
        }
    }

    /// Returns whether a group differs. A daemon that sends no fingerprint differs in none.
    fn differs_in(&self, other: &Fingerprint, group: usize) -> bool {
        match (self.0.get(group), other.0.get(group)) {
            (Some(own), Some(other)) => own != other,
            _ => false,
        }
    }
}

fn group_of(rank: u64) -> usize {
    // The low half of a rank is in the checksum.
    (rank >> 32) as usize % FINGERPRINT_GROUPS
}

/// Order in which daemons watch the store; the lowest come first. Daemons that get answers of the
/// store come before all others, so that a watch stays with daemons that reach the store while
/// others are cut off from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WatchOrder {
    is_unproven: bool,
    rank: u64,
}

impl WatchOrder {
    /// Returns the position of a daemon of a rank that is or is not watching.
    pub(super) fn new(watching: bool, rank: u64) -> WatchOrder {
        WatchOrder {
            is_unproven: !watching,
            rank,
        }
    }
}

/// Order in which daemons lead; the lowest come first. A leader sends orders to engines, so daemons
/// that reach more services come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeadOrder {
    /// Number of services whose upstreams the daemon does not reach.
    pub(super) unreachable: usize,
    pub(super) rank: u64,
}

impl Member {
    pub(super) fn lead_order(&self) -> LeadOrder {
        LeadOrder {
            unreachable: self.unreachable.len(),
            rank: self.rank,
        }
    }

    fn watch_order(&self) -> WatchOrder {
        WatchOrder::new(self.watching, self.rank)
    }

    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns whether the evidence of its life is later than that of its loss.
    pub(super) fn is_live(&self) -> bool {
        self.lost.is_none_or(|lost| lost < self.last_contact)
    }

    fn is_recently_changed(&self, now: Instant) -> bool {
        now.duration_since(self.changed) < CHANGE_REPORT_TTL
    }
}

/// Change of the liveness of a member, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LivenessChange {
    /// The member is new, or live again.
    Live,
    /// The member was live and is now lost.
    Lost,
}

/// All known daemons except this one.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    /// Name of this daemon.
    own_name: Arc<str>,
    all: Vec<Member>,
    /// Index in `all` for each name; names are unique.
    index_by_name: HashMap<Arc<str>, usize>,
    /// When a new daemon was last discovered.
    last_discovery: Option<Instant>,
    /// Fingerprint of the live members and this daemon.
    fingerprint: Fingerprint,
}

/// Pseudo-random rank of a daemon, the same at all daemons. Roles go to the lowest ranks.
pub(super) fn rank_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Pseudo-random distance between two daemons. It differs by direction, so the daemons that call a
/// daemon are others than those that it calls.
fn distance(from: &str, to: &str) -> u64 {
    rank_of(&format!("{from} {to}"))
}

/// Returns the `count` members with the lowest keys, in any order.
fn lowest<K: Ord>(
    mut members: Vec<&Member>,
    count: usize,
    key: impl Fn(&Member) -> K,
) -> Vec<&Member> {
    if members.len() > count {
        members.select_nth_unstable_by_key(count, |m| key(m));
        members.truncate(count);
    }
    members
}

impl Members {
    /// Returns the members known to the daemon `own_name`: none yet.
    pub(super) fn new(own_name: &Arc<str>) -> Members {
        let mut members = Members {
            own_name: Arc::clone(own_name),
            ..Members::default()
        };
        members.fingerprint = members.compute_fingerprint();
        members
    }

    /// Applies a membership record. Returns the change of liveness, if any.
    pub(super) fn learn_contact(
        &mut self,
        contact: &Contact,
        now: Instant,
    ) -> Option<LivenessChange> {
        let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms));
        let last_contact = ago(contact.age_ms)?;
        if now.duration_since(last_contact) >= FORGET_AFTER {
            return None;
        }
        let lost = contact.lost_age_ms.and_then(ago);
        let index = self.index_by_name.get(&contact.name).copied();
        let Some(member) = index.and_then(|i| self.all.get_mut(i)) else {
            let new = Member {
                name: Arc::clone(&contact.name),
                rank: rank_of(&contact.name),
                distance: distance(&self.own_name, &contact.name),
                domain: Arc::clone(&contact.domain),
                address: contact.address,
                last_contact,
                condition: contact.condition,
                watching: contact.watching,
                handover: contact.handover,
                unreachable: contact.unreachable.clone(),
                lost,
                changed: now,
            };
            self.last_discovery = Some(now);
            let change = new.is_live().then_some(LivenessChange::Live);
            if let Some(change) = change {
                self.fingerprint.apply(change, new.rank);
            }
            self.index_by_name
                .insert(Arc::clone(&contact.name), self.all.len());
            self.all.push(new);
            return change;
        };
        let was_live = member.is_live();
        let was_unreachable = member.unreachable.len();
        let reported = (member.condition, member.watching);
        if last_contact > member.last_contact {
            member.last_contact = last_contact;
            member.condition = contact.condition;
            member.watching = contact.watching;
            member.address = contact.address;
            member.handover = contact.handover;
            member.unreachable.clone_from(&contact.unreachable);
        }
        member.lost = member.lost.max(lost);
        let change = member.liveness_change(was_live);
        let has_new_report = (member.condition, member.watching) != reported
            || member.unreachable.len() != was_unreachable;
        if change.is_some() || has_new_report {
            member.changed = now;
        }
        if let Some(change) = change {
            self.fingerprint.apply(change, member.rank);
        }
        change
    }

    /// Records that a call to an address, made at `called`, got no answer. Returns the name of the
    /// member there if its liveness changed.
    pub(super) fn record_unanswered(
        &mut self,
        address: SocketAddr,
        called: Instant,
        now: Instant,
    ) -> Option<(Arc<str>, LivenessChange)> {
        let member = self.all.iter_mut().find(|m| m.address == address)?;
        let was_live = member.is_live();
        member.lost = member.lost.max(Some(called));
        let change = member.liveness_change(was_live)?;
        member.changed = now;
        self.fingerprint.apply(change, member.rank);
        Some((Arc::clone(&member.name), change))
    }

    /// Removes daemons without contact for [`FORGET_AFTER`].
    pub(super) fn forget(&mut self, now: Instant) {
        let is_remembered = |m: &Member| now.duration_since(m.last_contact) < FORGET_AFTER;
        if self.all.iter().all(is_remembered) {
            return;
        }
        self.all.retain(is_remembered);
        let names = self.all.iter().map(|m| Arc::clone(&m.name));
        self.index_by_name = names.zip(0..).collect();
        self.fingerprint = self.compute_fingerprint();
    }

    /// Looks up a daemon by name, live or lost.
    pub(super) fn get(&self, name: &str) -> Option<&Member> {
        self.all.get(*self.index_by_name.get(name)?)
    }

    /// Number of daemons with a contact within [`FORGET_AFTER`], live or lost.
    pub(super) fn known_count(&self) -> usize {
        self.all.len()
    }

    /// Latest contact of any daemon with one at this address.
    pub(super) fn last_contact_at(&self, address: SocketAddr) -> Option<Instant> {
        let there = self.all.iter().filter(|m| m.address == address);
        there.map(|m| m.last_contact).max()
    }

    /// When a new daemon was last discovered.
    pub(super) fn last_discovery(&self) -> Option<Instant> {
        self.last_discovery
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.all.iter().filter(|m| m.is_live())
    }

    /// Addresses of lost daemons.
    pub(super) fn lost(&self) -> impl Iterator<Item = SocketAddr> {
        let lost = self.all.iter().filter(|m| !m.is_live());
        lost.map(|m| m.address)
    }

    /// Returns the `count` nearest live and eligible members, in any order. A member that comes or
    /// goes changes at most one of them.
    pub(super) fn nearest(
        &self,
        count: usize,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> Vec<&Member> {
        let eligible = self.live().filter(|m| is_eligible(m));
        lowest(eligible.collect(), count, |m| m.distance)
    }

    /// Returns the first `count` live and fit members in the order in which they watch the store.
    pub(super) fn first_in_watch_order(&self, count: usize) -> Vec<&Member> {
        let eligible = self.live().filter(|m| m.condition == Condition::Fit);
        lowest(eligible.collect(), count, |m| m.watch_order())
    }

    /// Number of live and fit members that come before `order` in watching the store.
    pub(super) fn count_before_in_watch_order(&self, order: WatchOrder) -> usize {
        let eligible = self.live().filter(|m| m.condition == Condition::Fit);
        eligible.filter(|m| m.watch_order() < order).count()
    }

    /// Number of live and eligible daemons that come before `order` in leading.
    pub(super) fn count_before_in_lead_order(
        &self,
        order: LeadOrder,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> usize {
        let before = self.live().filter(|m| m.lead_order() < order);
        before.filter(|m| is_eligible(m)).count()
    }

    /// Returns the fingerprint of the live members and this daemon.
    pub(super) fn fingerprint(&self) -> &Fingerprint {
        &self.fingerprint
    }

    fn compute_fingerprint(&self) -> Fingerprint {
        let mut fingerprint = Fingerprint::default();
        fingerprint.add(rank_of(&self.own_name));
        for member in self.live() {
            fingerprint.add(member.rank);
        }
        fingerprint
    }

    /// Selects the members to name in a digest for `audience`: recent changes, members of groups in
    /// which it differs, and members drawn at random.
    pub(super) fn select_contacts<R: Rng>(
        &self,
        audience: &Audience,
        now: Instant,
        rng: &mut R,
    ) -> Vec<Contact> {
        let mut selected = self.recent_changes(now);
        let is_newcomer =
            (audience.knows as f64) < NEWCOMER_KNOWN_FRACTION * self.known_count() as f64;
        let random_contacts = if is_newcomer {
            RANDOM_CONTACTS_TO_NEWCOMER
        } else {
            selected.extend(self.differing(&audience.membership, rng));
            RANDOM_CONTACTS
        };
        let drawn = sample(rng, self.all.len(), random_contacts.min(self.all.len()));
        selected.extend(drawn.into_iter().filter_map(|i| self.all.get(i)));
        selected.into_iter().map(|m| m.contact(now)).collect()
    }

    fn recent_changes(&self, now: Instant) -> Vec<&Member> {
        let recent = self.all.iter().filter(|m| m.is_recently_changed(now));
        let mut recent: Vec<&Member> = recent.collect();
        recent.sort_unstable_by_key(|m| Reverse(m.changed));
        recent.truncate(MAX_CHANGES);
        recent
    }

    /// Returns members of the groups in which the fingerprint of another daemon differs, lost ones
    /// among them.
    fn differing<R: Rng>(&self, theirs: &Fingerprint, rng: &mut R) -> Vec<&Member> {
        let differs = |m: &&Member| self.fingerprint.differs_in(theirs, group_of(m.rank));
        self.all.iter().filter(differs).sample(rng, MAX_DIFFERING)
    }
}

/// What is known of the daemon that a digest is for.
#[derive(Clone, Debug, Default)]
pub(super) struct Audience {
    /// Number of other daemons that it knows.
    pub(super) knows: usize,
    /// Fingerprint of the daemons that it counts as live; empty if not known.
    pub(super) membership: Fingerprint,
}

impl Audience {
    /// Any daemon.
    pub(super) fn unknown() -> Audience {
        Audience {
            knows: usize::MAX,
            membership: Fingerprint::default(),
        }
    }

    /// The sender of a digest.
    pub(super) fn sender_of(digest: &Digest) -> Audience {
        Audience {
            knows: digest.knows,
            membership: digest.membership.clone(),
        }
    }
}

impl Member {
    fn contact(&self, now: Instant) -> Contact {
        Contact {
            name: Arc::clone(&self.name),
            domain: Arc::clone(&self.domain),
            address: self.address,
            age_ms: millis_since(self.last_contact, now),
            lost_age_ms: self.lost.map(|at| millis_since(at, now)),
            condition: self.condition,
            watching: self.watching,
            handover: self.handover,
            unreachable: self.unreachable.clone(),
        }
    }

    fn liveness_change(&self, was_live: bool) -> Option<LivenessChange> {
        match (was_live, self.is_live()) {
            (false, true) => Some(LivenessChange::Live),
            (true, false) => Some(LivenessChange::Lost),
            _ => None,
        }
    }
}
