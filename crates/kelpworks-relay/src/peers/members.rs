//! The daemons of the fleet, as one of them knows them.
//!
//! Every exchange proves that its partner lives at that moment, and every call that gets no answer
//! speaks for a loss. Both kinds of evidence are dated and go from daemon to daemon; of each kind
//! the latest counts, so daemons that have heard the same agree in whatever order it came. A daemon
//! counts as live until the evidence of its loss is later than that of its life. In a fleet of
//! hundreds most daemons are heard of only through others and seconds late, so that silence alone
//! says nothing there.
//!
//! What changed lately is told first, and a daemon that has just started is told many at once.
//!
//! Limits: ages are translated between clocks without the time on the way, so evidence looks a few
//! milliseconds younger at each hop. A loss that is overruled by that is found again by the next
//! call.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::index::sample;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::messages::Contact;
use super::messages::millis_since;

/// A daemon of which there was no word for so long is forgotten. It is the time for which one that
/// can't be heard still counts among those that share a bound, since it may be working.
pub(super) const FORGET_AFTER: Duration = Duration::from_secs(60);
/// How long a change of a member is told before others: some eight exchanges of a larger fleet, in
/// which word of it passes from one daemon to a thousand.
const CHANGE_REPORT_TTL: Duration = Duration::from_secs(4);
/// Changes told at most in a digest, the newest first.
const MAX_CHANGES: usize = 24;
/// Members that a digest names besides, drawn at random. Each is then named to a daemon every few
/// seconds in a fleet of hundreds, far within [`FORGET`].
const RANDOM_CONTACTS: usize = 8;
/// Members named to a daemon that knows few of them: a daemon of a fleet of 300 then knows nearly
/// all in its first two seconds.
const RANDOM_CONTACTS_TO_NEWCOMER: usize = 96;
/// Part of the members that a daemon must know not to count as one that knows few.
const NEWCOMER_KNOWN_FRACTION: f64 = 0.95;

/// What a daemon said of itself when it was last heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Condition {
    /// It can take duties.
    #[default]
    Fit,
    /// The store did not answer its last call.
    TurnedAway,
    /// It is on a planned stop.
    Leaving,
}

/// A daemon as another knows it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Member {
    name: Arc<str>,
    /// By [`rank_of`].
    rank: u64,
    pub(super) domain: Arc<str>,
    pub(super) address: SocketAddr,
    /// Latest evidence of its life, by whomever; never falls.
    pub(super) last_contact: Instant,
    /// What it said of itself then.
    pub(super) condition: Condition,
    /// Latest evidence of its loss, by whomever; never falls.
    lost: Option<Instant>,
    /// When this daemon learnt of the last change of life or condition.
    changed: Instant,
}

impl Member {
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Whether it counts as live.
    pub(super) fn is_live(&self) -> bool {
        self.lost.is_none_or(|lost| lost < self.last_contact)
    }

    fn is_recently_changed(&self, now: Instant) -> bool {
        now.duration_since(self.changed) < CHANGE_REPORT_TTL
    }
}

/// A change of a member that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LivenessChange {
    /// It is new, or lives after all.
    Live,
    /// It is lost.
    Lost,
}

/// All daemons but this one.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    all: Vec<Member>,
    /// Places in `all`; each name once.
    index_by_name: HashMap<Arc<str>, usize>,
    /// When a daemon was last heard of for the first time.
    last_discovery: Option<Instant>,
}

/// Where a daemon comes among all of them when a duty is given out; at random, the same for all.
pub(super) fn rank_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Members {
    /// Takes evidence of a daemon.
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
                domain: Arc::clone(&contact.domain),
                address: contact.address,
                last_contact,
                condition: contact.condition,
                lost,
                changed: now,
            };
            self.last_discovery = Some(now);
            let is_live = new.is_live();
            self.index_by_name
                .insert(Arc::clone(&contact.name), self.all.len());
            self.all.push(new);
            return is_live.then_some(LivenessChange::Live);
        };
        let was_live = member.is_live();
        let condition = member.condition;
        if last_contact > member.last_contact {
            member.last_contact = last_contact;
            member.condition = contact.condition;
            member.address = contact.address;
        }
        member.lost = member.lost.max(lost);
        let change = member.liveness_change(was_live);
        if change.is_some() || member.condition != condition {
            member.changed = now;
        }
        change
    }

    /// Notes that a call to an address, made at a moment, got no answer.
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
        Some((Arc::clone(&member.name), change))
    }

    /// Forgets daemons without any word for long.
    pub(super) fn forget(&mut self, now: Instant) {
        let is_remembered = |m: &Member| now.duration_since(m.last_contact) < FORGET_AFTER;
        if self.all.iter().all(is_remembered) {
            return;
        }
        self.all.retain(is_remembered);
        let names = self.all.iter().map(|m| Arc::clone(&m.name));
        self.index_by_name = names.zip(0..).collect();
    }

    /// A daemon, live or not.
    pub(super) fn get(&self, name: &str) -> Option<&Member> {
        self.all.get(*self.index_by_name.get(name)?)
    }

    /// Daemons that there was word of within [`FORGET`], live or not.
    pub(super) fn known_count(&self) -> usize {
        self.all.len()
    }

    /// When a daemon was last heard of for the first time.
    pub(super) fn last_discovery(&self) -> Option<Instant> {
        self.last_discovery
    }

    /// Live daemons.
    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.all.iter().filter(|m| m.is_live())
    }

    /// Addresses of daemons that count as lost.
    pub(super) fn lost(&self) -> impl Iterator<Item = SocketAddr> {
        let lost = self.all.iter().filter(|m| !m.is_live());
        lost.map(|m| m.address)
    }

    /// How many live daemons that may take a duty come before one of this rank.
    pub(super) fn count_ranked_before(
        &self,
        rank: u64,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> usize {
        let before = self.live().filter(|m| m.rank < rank);
        before.filter(|m| is_eligible(m)).count()
    }

    /// What is told of members to a daemon that knows so many: what changed lately first.
    pub(super) fn select_contacts<R: Rng>(
        &self,
        knows: usize,
        now: Instant,
        rng: &mut R,
    ) -> Vec<Contact> {
        let mut recent: Vec<&Member> = self
            .all
            .iter()
            .filter(|m| m.is_recently_changed(now))
            .collect();
        recent.sort_unstable_by_key(|m| Reverse(m.changed));
        recent.truncate(MAX_CHANGES);
        let is_newcomer = (knows as f64) < NEWCOMER_KNOWN_FRACTION * self.known_count() as f64;
        let random_contacts = if is_newcomer {
            RANDOM_CONTACTS_TO_NEWCOMER
        } else {
            RANDOM_CONTACTS
        };
        let drawn = sample(rng, self.all.len(), random_contacts.min(self.all.len()));
        let drawn = drawn.into_iter().filter_map(|i| self.all.get(i));
        let selected = recent.into_iter().chain(drawn);
        selected.map(|m| m.contact(now)).collect()
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
