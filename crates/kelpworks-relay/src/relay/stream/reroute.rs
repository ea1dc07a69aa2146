//! Changing the path of a stream while it runs.
//!
//! When an engine in the middle of a path stops, the others still hold the request's KV cache. An
//! order to the first engine replaces the parts that stopped: the new parts read all tokens so far
//! through their layers alone, nothing is sent again, and so no repeat is used. Where the first
//! engine itself stopped, or no engine of its neighbourhood can take the layers over, the stream has
//! to go on by another attempt.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use super::Course;
use super::Relayed;
use super::attempt::Reservation;
use super::trace::text_of;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::adapter::Hop;
use crate::adapter::LayerRange;
use crate::adapter::OrderReply;
use crate::adapter::RerouteOrder;
use crate::fleet::REROUTE_SLOWNESS;
use crate::fleet::UpstreamKey;
use crate::path;

/// Time between two looks for slow engines on a stream's path.
const LOOK_AGAIN: Duration = Duration::from_millis(400);
/// Changes of path that one attempt may see; each costs an order, and a stream that needs more is
/// better off elsewhere.
const MAX_REROUTES: u32 = 3;

/// A path without the engines that stopped.
struct Detour {
    parts: Vec<(UpstreamKey, LayerRange)>,
    /// The same as engines are told.
    hops: Vec<Hop>,
}

impl<D: Adapter, E: EngineApi> Relayed<D, E> {
    /// Changes the path of a stream that passes engines which have turned slow, where others can take
    /// their layers over.
    pub(super) async fn leave_slow_engines(&self, course: &mut Course, now: Instant) {
        let is_due = course
            .looked
            .is_none_or(|at| now.duration_since(at) >= LOOK_AGAIN);
        if !is_due {
            return;
        }
        course.looked = Some(now);
        let slow: Vec<UpstreamKey> = {
            let fleet = self.shared.fleet();
            let is_slow = |key: UpstreamKey| {
                let slowness = fleet.get(key).map_or(1.0, |u| u.slowness(now));
                slowness >= REROUTE_SLOWNESS
            };
            let keys = course.parts.iter().map(|&(key, _)| key);
            keys.filter(|&key| is_slow(key)).collect()
        };
        self.reroute(course, &slow).await;
    }

    /// Replaces the parts of a path that stopped; whether the first engine accepted it.
    pub(super) async fn reroute(&self, course: &mut Course, culprits: &[UpstreamKey]) -> bool {
        if culprits.is_empty() || course.reroutes >= MAX_REROUTES {
            return false;
        }
        let Some(Detour { parts, hops }) = self.detour(&course.parts, culprits) else {
            return false;
        };
        course.reroutes += 1;
        let (first, id) = {
            let fleet = self.shared.fleet();
            let Some(first) = fleet.get(parts[0].0) else {
                return false;
            };
            (first.entry.address, Arc::clone(&first.entry.id))
        };
        let order = RerouteOrder {
            id: &id,
            request: &self.ticket.id,
            path: &hops,
        };
        let reply = self.orders.reroute(first, order).await;
        self.log_reroute(&hops, culprits, reply);
        if reply != OrderReply::Accepted {
            return false;
        }
        course._reservation = Reservation::take(&self.shared, &parts, self.tokens());
        course.parts = parts;
        true
    }

    /// A path with other engines in place of the culprits, if there is one that does not leave the
    /// failure domain of the engines before: what crosses is every token so far.
    fn detour(
        &self,
        parts: &[(UpstreamKey, LayerRange)],
        culprits: &[UpstreamKey],
    ) -> Option<Detour> {
        let engines = self.engines.as_ref()?;
        let fleet = self.shared.fleet();
        let mut taken: Vec<UpstreamKey> = parts.iter().map(|&(key, _)| key).collect();
        let mut new: Vec<(UpstreamKey, LayerRange)> = Vec::with_capacity(parts.len());
        for &(key, layers) in parts {
            if !culprits.contains(&key) {
                new.push((key, layers));
                continue;
            }
            let &(before, _) = new.last()?;
            let domain = Arc::clone(&fleet.get(before)?.entry.domain);
            let ask = path::PathQuery {
                service: &self.ticket.service.name,
                tokens: self.tokens(),
                domain: &domain,
                layers,
                avoid: &taken,
                first: &[],
                now: Instant::now(),
            };
            let found = path::search(&fleet, engines, &ask, &mut rand::rng()).ok()?;
            let stays = |k: UpstreamKey| fleet.get(k).is_some_and(|u| u.entry.domain == domain);
            if !found.keys().all(stays) {
                return None;
            }
            taken.extend(found.keys());
            new.extend(found.parts);
        }
        if new.len() > path::MAX_HOPS {
            return None;
        }
        let hops = path::hops(&fleet, &new)?;
        Some(Detour { parts: new, hops })
    }

    fn log_reroute(&self, hops: &[Hop], culprits: &[UpstreamKey], reply: OrderReply) {
        let fleet = self.shared.fleet();
        let name = |key: &UpstreamKey| fleet.get(*key).map(|u| u.entry.instance.to_string());
        let stopped: Vec<String> = culprits.iter().filter_map(name).collect();
        info!(
            target: "decision",
            request:% = self.ticket.id,
            stopped:% = stopped.join(","),
            last_event = self.last_event.unwrap_or(0),
            path:% = text_of(hops),
            fleet_version:% = fleet.version(),
            outcome:% = reply.as_str();
            "path changed"
        );
        let labels = [("outcome", reply.as_str())];
        metrics::counter!("kelpworks_reroutes_total", &labels).increment(1);
    }
}
