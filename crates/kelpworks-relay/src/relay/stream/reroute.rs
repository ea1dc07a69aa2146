//! Changes the path of a running stream.
//!
//! When an engine in the middle of a path stops, the others still hold the request's KV cache. An
//! order to the first engine replaces the parts that stopped: the new parts read all tokens so far
//! through their layers alone. The request is not sent again, so no retry is used. If the first
//! engine itself stopped, or no engine in the same failure domain can take over the layers, the
//! stream has to be resumed by another attempt.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use super::RunningPath;
use super::StreamRelay;
use super::attempt::Reservation;
use super::trace::format_path;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::adapter::Hop;
use crate::adapter::LayerRange;
use crate::adapter::OrderReply;
use crate::adapter::RerouteOrder;
use crate::constraints::MessageKind;
use crate::fleet::REROUTE_SLOWNESS;
use crate::fleet::UpstreamKey;
use crate::path;
use crate::path::RoomPolicy;

/// Time between two checks for slow engines on a stream's path.
const SLOWNESS_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum reroutes of one attempt. Each costs an order, and a stream that needs more is better
/// served by another attempt.
const MAX_REROUTES: u32 = 3;

/// A path in which other engines replace the faulty ones.
struct ReplacementPath {
    parts: Vec<(UpstreamKey, LayerRange)>,
    /// `parts` in the form that is sent to the engines.
    hops: Vec<Hop>,
}

impl<D: Adapter, E: EngineApi> StreamRelay<D, E> {
    /// Reroutes a stream around engines whose slowness is at least `REROUTE_SLOWNESS`, if others
    /// can take over their layers.
    pub(super) async fn reroute_around_slow_engines(
        &self,
        running_path: &mut RunningPath,
        now: Instant,
    ) {
        let is_due = running_path
            .last_slowness_check
            .is_none_or(|at| now.duration_since(at) >= SLOWNESS_CHECK_INTERVAL);
        if !is_due {
            return;
        }
        running_path.last_slowness_check = Some(now);
        let slow: Vec<UpstreamKey> = {
            let fleet = self.shared.fleet();
            let is_slow = |key: UpstreamKey| {
                let slowness = fleet.get(key).map_or(1.0, |u| u.slowness(now));
                slowness >= REROUTE_SLOWNESS
            };
            let keys = running_path.parts.iter().map(|&(key, _)| key);
            keys.filter(|&key| is_slow(key)).collect()
        };
        self.reroute(running_path, &slow).await;
    }

    /// Replaces the faulty engines of a path; returns whether the first engine accepted the new
    /// path.
    pub(super) async fn reroute(
        &self,
        running_path: &mut RunningPath,
        faulty: &[UpstreamKey],
    ) -> bool {
        if faulty.is_empty() || running_path.reroutes >= MAX_REROUTES {
            return false;
        }
        // A new path has engines that have not run the request yet.
        if self.check_crashes().is_err() {
            return false;
        }
        let Some(ReplacementPath { parts, hops }) =
            self.replacement_path(&running_path.parts, faulty)
        else {
            return false;
        };
        let (first, _) = parts[0];
        let Some(id) = self.reroutable_id(first) else {
            return false;
        };
        running_path.reroutes += 1;
        let order = RerouteOrder {
            id: &id,
            request: &self.inbound.id,
            path: &hops,
        };
        let reply = self.clients.engine_calls.reroute(first, order).await;
        self.log_reroute(&hops, faulty, reply);
        if reply != OrderReply::Accepted {
            return false;
        }
        running_path._reservation = Reservation::acquire(&self.shared, &parts, self.tokens());
        running_path.parts = parts;
        true
    }

    /// Returns the id of the first engine of a path if it accepts an order to change the path now.
    fn reroutable_id(&self, first: UpstreamKey) -> Option<Arc<str>> {
        let fleet = self.shared.fleet();
        let upstream = fleet.get(first)?;
        let now = Instant::now();
        let is_allowed = upstream.constraints.allows(MessageKind::RerouteOrder, now);
        is_allowed.then(|| Arc::clone(&upstream.entry.id))
    }

    /// Returns a path with other engines in place of the faulty ones. A replacement has to be in
    /// the failure domain of the engine before it, since it is sent the activations of all tokens
    /// so far.
    fn replacement_path(
        &self,
        parts: &[(UpstreamKey, LayerRange)],
        faulty: &[UpstreamKey],
    ) -> Option<ReplacementPath> {
        let profile = self.profile.as_ref()?;
        let fleet = self.shared.fleet();
        let mut excluded: Vec<UpstreamKey> = parts.iter().map(|&(key, _)| key).collect();
        let mut new: Vec<(UpstreamKey, LayerRange)> = Vec::with_capacity(parts.len());
        for &(key, layers) in parts {
            if !faulty.contains(&key) {
                new.push((key, layers));
                continue;
            }
            let &(previous, _) = new.last()?;
            let domain = Arc::clone(&fleet.get(previous)?.entry.domain);
            let query = path::PathQuery {
                service: &self.inbound.service.name,
                tokens: self.tokens(),
                domain: &domain,
                layers,
                avoid: &excluded,
                first: &[],
                room: RoomPolicy::UNLIMITED,
                now: Instant::now(),
            };
            let found = path::search(&fleet, profile, &query, &mut rand::rng()).ok()?;
            let is_in_domain =
                |k: UpstreamKey| fleet.get(k).is_some_and(|u| u.entry.domain == domain);
            if !found.keys().all(is_in_domain) {
                return None;
            }
            excluded.extend(found.keys());
            new.extend(found.parts);
        }
        if new.len() > path::MAX_HOPS {
            return None;
        }
        let hops = path::hops(&fleet, &new)?;
        Some(ReplacementPath { parts: new, hops })
    }

    fn log_reroute(&self, hops: &[Hop], faulty: &[UpstreamKey], reply: OrderReply) {
        let fleet = self.shared.fleet();
        let name = |key: &UpstreamKey| fleet.get(*key).map(|u| u.entry.instance.to_string());
        let stopped: Vec<String> = faulty.iter().filter_map(name).collect();
        info!(
            target: "decision",
            request:% = self.inbound.id,
            stopped:% = stopped.join(","),
            last_event = self.last_event.unwrap_or(0),
            path:% = format_path(hops),
            fleet_version:% = fleet.version(),
            outcome:% = reply.as_str();
            "path changed"
        );
        let labels = [("outcome", reply.as_str())];
        metrics::counter!("kelpworks_reroutes_total", &labels).increment(1);
    }
}
