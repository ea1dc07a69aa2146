//! Rate limits that upstreams announce: each is reported to all daemons and divided among some.
//!
//! Rendezvous hashing of daemon names with the upstream's instance selects the daemons that hold a
//! share, so daemons with the same membership view agree without a message. The limit of an engine
//! is divided within the engine's failure domain, since paths hardly ever begin in another one.
//! Plain services are called from all domains.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Peers;
use super::lock;
use super::members::Member;
use super::members::Members;
use super::members::rank_of;
use super::messages::LimitOf;
use super::messages::millis_since;
use super::roles::LEARNING_PERIOD;
use crate::fleet::Upstream;
use crate::limits::Rate;
use crate::shared::announcements::log_limit_change;

/// Time for which the end of a limit is reported to peers.
const END_REPORT_TTL: Duration = Duration::from_secs(8);

impl Peers {
    /// Applies the limits that a peer reports.
    pub(super) fn learn_limits(&self, limits: &[LimitOf], now: Instant) {
        for limit in limits {
            let age = Duration::from_millis(limit.age_ms);
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let mut fleet = self.shared.fleet();
            let key = fleet.key_of(&limit.instance);
            let upstream = key.and_then(|k| fleet.get_mut(k));
            let change =
                upstream.and_then(|u| u.constraints.limiter.on_report(limit.per_second, at, now));
            drop(fleet);
            if let Some(change) = change {
                log_limit_change(&limit.instance, change, "peer", age);
            }
        }
    }

    /// Updates this daemon's share of each limit. The share is 0 during [`LEARNING_PERIOD`], before
    /// this daemon has had time to discover its peers.
    pub(super) fn share_limits(&self) {
        let now = Instant::now();
        let is_learning = now.duration_since(self.started) < LEARNING_PERIOD;
        let members = lock(&self.members);
        let mut fleet = self.shared.fleet();
        let mut limited = 0;
        for upstream in fleet.iter_mut() {
            let Some(rate) = upstream.constraints.limiter.rate() else {
                continue;
            };
            limited += 1;
            let share = match is_learning {
                true => 0.0,
                false => self.share_of(upstream, rate, &members),
            };
            upstream.constraints.limiter.set_share(share, now);
        }
        metrics::gauge!("kelpworks_limited_upstreams").set(limited);
    }

    /// This daemon's share of the rate of an upstream, 0 to 1.
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

/// Latest announcement of an upstream while it is reported to peers.
pub(super) fn limit_of(upstream: &Upstream, now: Instant) -> Option<LimitOf> {
    let (per_second, at) = upstream.constraints.limiter.latest_announcement()?;
    let is_reported = per_second.is_some() || now.duration_since(at) < END_REPORT_TTL;
    is_reported.then(|| LimitOf {
        instance: Arc::clone(&upstream.entry.instance),
        per_second,
        age_ms: millis_since(at, now),
    })
}
