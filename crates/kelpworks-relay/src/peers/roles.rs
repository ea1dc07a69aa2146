//! Duties among daemons: who shares a bound, who watches the store, and who stands in for the holder
//! of the placement lease. Each daemon decides them for itself from whom it hears.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::HEARD;
use super::LIVE;
use super::Member;
use super::Peers;
use super::SMALL;
use super::lock;

/// Daemons of each failure domain that watch the store for the others.
pub(super) const WATCHERS: usize = 2;
/// A daemon counts among those that share a bound so long after it was last heard of: a daemon that
/// can't be heard may still be working.
pub(super) const SHARING: Duration = Duration::from_secs(60);
/// Daemons that are assumed to share a bound until a daemon has had time to hear of the others.
pub(super) const ASSUMED: usize = 8;
/// How long that is.
pub(super) const LEARNING: Duration = Duration::from_secs(3);
/// Silence of the lease's holder after which another daemon stands in for it: four exchanges.
pub(super) const HOLDER_SILENT: Duration = Duration::from_secs(1);
/// The same in a larger fleet, where word of it comes through others.
pub(super) const HOLDER_SILENT_LARGE: Duration = Duration::from_millis(2_500);

impl Peers {
    /// Daemons that may be working now, this one included.
    pub(crate) fn sharing(&self) -> usize {
        let now = Instant::now();
        let members = lock(&self.members);
        let heard = members
            .values()
            .filter(|m| now.duration_since(m.heard) < SHARING);
        let known = heard.count() + 1;
        if now.duration_since(self.started) < LEARNING {
            return known.max(ASSUMED);
        }
        known
    }

    /// Whether this daemon watches the store. In a larger fleet it does when it is among the first of
    /// its failure domain by a hash, or has not heard for a while from a daemon that watches.
    pub(crate) fn is_watcher(&self) -> bool {
        let now = Instant::now();
        let members = lock(&self.members);
        let is_live = |m: &&Member| now.duration_since(m.heard) < HEARD;
        if members.values().filter(is_live).count() <= SMALL {
            return true;
        }
        let told = |m: &Member| m.told.is_some_and(|at| now.duration_since(at) < LIVE);
        if !members.values().any(|m| m.watches && told(m)) {
            return true;
        }
        let own = hash(&self.name);
        let here = members
            .iter()
            .filter(|(_, m)| m.domain == self.shared.domain && is_live(m));
        here.filter(|(name, _)| hash(name) < own).count() < WATCHERS
    }

    /// Notes that this daemon holds the placement lease.
    pub(crate) fn holds_lease(&self) {
        *lock(&self.lease_holder) = Some(Instant::now());
    }

    /// Whether this daemon gives orders in place of the lease's holder: that one has been silent, as
    /// while the store is down, and of the daemons heard lately this one comes first by a hash. Two
    /// that don't hear each other may both do so; engines take only the first of two orders.
    pub(crate) fn stands_in(&self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.started) < LEARNING {
            return false;
        }
        let members = lock(&self.members);
        let is_live = |m: &&Member| now.duration_since(m.heard) < HEARD;
        let (silent, lately) = match members.values().filter(is_live).count() <= SMALL {
            true => (HOLDER_SILENT, HOLDER_SILENT),
            false => (HOLDER_SILENT_LARGE, HEARD),
        };
        let holder = *lock(&self.lease_holder);
        if holder.is_some_and(|at| now.duration_since(at) < silent) {
            return false;
        }
        let own = hash(&self.name);
        let mut others = members
            .iter()
            .filter(|(_, m)| !m.leaving && now.duration_since(m.heard) < lately);
        others.all(|(name, _)| own < hash(name))
    }

    pub(super) fn heard_of_lease_holder(&self, age_ms: Option<u64>, now: Instant) {
        let at = age_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        let mut holder = lock(&self.lease_holder);
        *holder = (*holder).max(at);
    }
}

/// Orders daemons at random, the same for all of them.
fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
