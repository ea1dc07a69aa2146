//! Choice of an upstream of a plain service.

use std::sync::atomic::Ordering;

use rand::Rng;
use rand::RngExt;

use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;
use crate::routing::Error;
use crate::routing::Result;
use crate::routing::cost;
use crate::routing::cost::Rank;

/// Chooses the less loaded of two upstreams drawn at random. Upstreams that are cooling down,
/// suspect or in `avoid` are used only when no other serves.
///
/// # Errors
///
/// Returns [`Error::ServiceMissing`] if no upstream of the service may take work.
pub fn choose_service<R: Rng>(
    fleet: &Fleet,
    service: &str,
    avoid: &[UpstreamKey],
    now_ms: u64,
    rng: &mut R,
) -> Result<UpstreamKey> {
    let keys = fleet.by_service.get(service).map_or(&[][..], Vec::as_slice);
    let rank = |key: UpstreamKey| cost::rank(fleet.upstreams.get(key)?, key, avoid, now_ms);
    let in_flight = |key: UpstreamKey| {
        let counters = &fleet.upstreams[key].counters;
        counters.in_flight.load(Ordering::Relaxed)
    };
    let preferred: Vec<UpstreamKey> = keys
        .iter()
        .copied()
        .filter(|&key| rank(key) == Some(Rank::Preferred))
        .collect();
    if preferred.is_empty() {
        return last_resort(keys, rank).ok_or(Error::ServiceMissing);
    }
    let first = rng.random_range(0..preferred.len());
    if preferred.len() == 1 {
        return Ok(preferred[first]);
    }
    let mut second = rng.random_range(0..preferred.len() - 1);
    if second >= first {
        second += 1;
    }
    let (a, b) = (preferred[first], preferred[second]);
    Ok(if in_flight(b) < in_flight(a) { b } else { a })
}

/// Returns the upstream that is demoted by the fewest levels, and among equals the one whose
/// cooldown ends first.
fn last_resort(
    keys: &[UpstreamKey],
    rank: impl Fn(UpstreamKey) -> Option<Rank>,
) -> Option<UpstreamKey> {
    let ranked = keys.iter().filter_map(|&key| match rank(key)? {
        Rank::Preferred => Some(((0, 0), key)),
        Rank::Demoted {
            levels,
            cooldown_left_ms,
        } => Some(((levels, cooldown_left_ms), key)),
    });
    ranked.min_by_key(|(order, _)| *order).map(|(_, key)| key)
}
