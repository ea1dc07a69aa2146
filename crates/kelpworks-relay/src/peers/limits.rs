//! Limits that upstreams announce: word of them goes round, and each is shared out among daemons.
//!
//! Which daemons hold a share is drawn by a hash of their names and the upstream's, so that daemons that know
//! the same members agree without a message. Engines are shared out in their own failure domain, since hardly
//! any path that begins elsewhere enters there; plain services are called from everywhere.

use std::time::Duration;

use tokio::time::Instant;

use super::Peers;
use super::lock;
use super::members::Member;
use super::members::Members;
use super::members::rank_of;
use super::messages::LimitOf;
use super::messages::millis_since;
use super::roles::LEARNING;
use crate::fleet::Upstream;
use crate::limits::Rate;
use crate::shared::log_limit;

/// How long the end of a limit is told: many exchanges of a larger fleet.
const END_TOLD: Duration = Duration::from_secs(8);

impl Peers {
    /// Takes a peer's word of limits.
    pub(super) fn learn_limits(&self, limits: &[LimitOf], now: Instant) {
        for word in limits {
            let age = Duration::from_millis(word.age_ms);
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let mut fleet = self.shared.fleet();
            let key = fleet.key_of(&word.instance);
            let upstream = key.and_then(|k| fleet.get_mut(k));
            let change = upstream.and_then(|u| u.limiter.learn(word.per_second, at, now));
            drop(fleet);
            if let Some(change) = change {
                log_limit(&word.instance, change, "peer", age);
            }
        }
    }

    /// Works out which part of each limit this daemon may use. One that has not had time to hear of the others
    /// has none.
    pub(super) fn share_limits(&self) {
        let now = Instant::now();
        let is_learning = now.duration_since(self.started) < LEARNING;
        let members = lock(&self.members);
        let mut fleet = self.shared.fleet();
        let mut limited = 0;
        for upstream in fleet.iter_mut() {
            let Some(rate) = upstream.limiter.rate() else {
                continue;
            };
            limited += 1;
            let share = match is_learning {
                true => 0.0,
                false => self.share_of(upstream, rate, &members),
            };
            upstream.limiter.set_share(share, now);
        }
        metrics::gauge!("kelpworks_limited_upstreams").set(limited);
    }

    /// This daemon's part of the rate of an upstream, 0 to 1.
    fn share_of(&self, upstream: &Upstream, rate: Rate, members: &Members) -> f64 {
        let domain = &upstream.entry.domain;
        let is_engine = upstream.entry.kind.is_some();
        let has_daemon = self.domain == *domain || members.live().any(|m| m.domain == *domain);
        let is_by_domain = is_engine && has_daemon;
        if is_by_domain && self.domain != *domain {
            return 0.0;
        }
        let may_hold = |m: &&Member| !is_by_domain || m.domain == *domain;
        let rank = |name: &str| rank_of(&format!("{name} {}", upstream.entry.instance));
        let own = rank(&self.name);
        let others = members.live().filter(may_hold);
        let ranks: Vec<u64> = others.map(|m| rank(m.name())).collect();
        let holders = rate.max_holders().min(ranks.len() + 1);
        let before = ranks.iter().filter(|&&r| r < own).count();
        match before < holders {
            true => 1.0 / holders as f64,
            false => 0.0,
        }
    }
}

/// What an upstream last announced, while it is told to others.
pub(super) fn limit_of(upstream: &Upstream, now: Instant) -> Option<LimitOf> {
    let (per_second, at) = upstream.limiter.announced()?;
    let is_told = per_second.is_some() || now.duration_since(at) < END_TOLD;
    is_told.then(|| LimitOf {
        instance: std::sync::Arc::clone(&upstream.entry.instance),
        per_second,
        age_ms: millis_since(at, now),
    })
}
