//! Upstreams that stated in their answers that they are leaving: each is reported to all daemons.
//!
//! The store often shows it later, and not at all during an outage. A backoff is not reported: it
//! binds only the daemon that was asked for it, and others may still be accepted.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Peers;
use super::messages::LeavingOf;
use super::messages::millis_since;
use crate::fleet::Upstream;
use crate::shared::announcements::log_leaving;

/// Time for which a notice is reported to peers: several times what it takes to reach all of them.
const NOTICE_REPORT_TTL: Duration = Duration::from_secs(8);
/// Maximum number of notices in a digest. More than the upstreams that planned work takes out of
/// service within [`NOTICE_REPORT_TTL`]; the others are learned from the store or from answers.
pub(super) const MAX_NOTICES: usize = 48;

impl Peers {
    /// Applies the notices that a peer reports. Those about incarnations that this daemon does not
    /// know are ignored.
    pub(super) fn learn_leaving(&self, notices: &[LeavingOf], now: Instant) {
        for notice in notices.iter().take(MAX_NOTICES) {
            let age = Duration::from_millis(notice.age_ms);
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let mut fleet = self.shared.fleet();
            let key = fleet.key_of(&notice.instance);
            let upstream = key.and_then(|k| fleet.get_mut(k));
            let is_new = upstream.is_some_and(|u| u.constraints.announce_leaving(at));
            drop(fleet);
            if is_new {
                log_leaving(&notice.instance, "peer", "", age);
            }
        }
    }
}

/// Notice of an upstream while it is reported to peers.
pub(super) fn leaving_of(upstream: &Upstream, now: Instant) -> Option<LeavingOf> {
    let at = upstream.constraints.leaving_since()?;
    (now.duration_since(at) < NOTICE_REPORT_TTL).then(|| LeavingOf {
        instance: Arc::clone(&upstream.entry.instance),
        age_ms: millis_since(at, now),
    })
}
