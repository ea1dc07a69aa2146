//! Expected cost of running a range of layers on an upstream, in microseconds over a session.

use std::sync::atomic::Ordering;

use rand::Rng;
use rand::RngExt;

use crate::fleet::Fleet;
use crate::fleet::Health;
use crate::fleet::LinkCost;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::routing::CachedPrefix;
use crate::routing::PathQuery;
use crate::routing::index::Candidate;

/// Number of tokens that a session is assumed to generate. The actual number is unknown when the
/// path is chosen; this one sets the weight of the time per token relative to the prefill.
const ASSUMED_SESSION_TOKENS: f64 = 64.0;

/// Size in bytes of the activations of one position that pass from one stage to the next.
const ACTIVATION_BYTES: f64 = 16_384.0;

/// Cost of a hop per token, in microseconds: one message to the upstream and one back.
const HOP_COST_US: f64 = 100.0;

/// Layer rate assumed for an upstream whose rate is unknown, in layers per second.
const DEFAULT_LAYER_RATE: f64 = 1_000.0;

/// One in this many cost estimates ignores the observed step time. Otherwise an upstream that was
/// slow once would get no work, hence no new observation, and would count as slow forever.
const EXPLORE_ONE_IN: u32 = 32;

/// Cost added per level of [`Rank::Demoted`]; higher than the cost of any session.
const DEMOTION_PENALTY_US: f64 = 1e12;

/// The parts of an upstream's cost that do not depend on the number of layers it runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quote {
    /// Queueing delay of each token.
    wait_us: f64,
    /// Time of one layer for one position, from the layer rate.
    layer_us: f64,
    /// Time of one layer for a decode step, from observed step times; at least `layer_us`.
    observed_us: f64,
    /// Number of positions to prefill, without those in the upstream's prefix cache.
    prefill: f64,
    /// Penalty of a demoted candidate; 0 for a preferred one.
    penalty: f64,
}

impl Quote {
    /// Returns the cost of running this many layers in each step of a session.
    pub(super) fn session_cost_us(&self, layers: u32) -> f64 {
        let layers = f64::from(layers);
        let token = self.wait_us + layers * self.observed_us + HOP_COST_US;
        token * ASSUMED_SESSION_TOKENS + self.prefill * layers * self.layer_us + self.penalty
    }

    /// Whether the candidate may only be used as a last resort.
    pub(super) fn is_demoted(&self) -> bool {
        self.penalty > 0.0
    }
}

/// Estimates the cost of a candidate; `None` when it must not get new work.
pub(super) fn quote<R: Rng>(
    fleet: &Fleet,
    query: &PathQuery<'_>,
    cached: &[CachedPrefix],
    candidate: Candidate,
    rng: &mut R,
) -> Option<Quote> {
    let upstream = fleet.upstreams.get(candidate.upstream)?;
    let rank = rank(upstream, candidate.upstream, query.avoid, query.now_ms)?;
    let rate = if upstream.layer_rate > 0.0 {
        upstream.layer_rate
    } else {
        DEFAULT_LAYER_RATE
    };
    let layer_us = 1e6 / rate;
    let assigned_layers = f64::from(candidate.end - candidate.first);
    let observed = upstream.counters.step_us.load(Ordering::Relaxed) as f64 / assigned_layers;
    let explore = rng.random_range(0..EXPLORE_ONE_IN) == 0;
    let observed_us = if explore {
        layer_us
    } else {
        observed.max(layer_us)
    };
    let penalty = match rank {
        Rank::Preferred => 0.0,
        Rank::Demoted {
            levels,
            cooldown_left_ms,
        } => {
            // Jitter keeps daemons that see the same cooldowns from all choosing the same upstream.
            f64::from(levels) * DEMOTION_PENALTY_US
                + cooldown_left_ms as f64 * 1e3 * rng.random_range(1.0..1.5)
        }
    };
    Some(Quote {
        wait_us: backlog(upstream) * assigned_layers * layer_us,
        layer_us,
        observed_us,
        prefill: f64::from(
            query
                .prefill
                .saturating_sub(cached_positions(cached, candidate.upstream)),
        ),
        penalty,
    })
}

/// Returns the cost of sending the activations of a session over a link.
pub(super) fn link_cost_us(link: LinkCost, prefill: u32) -> f64 {
    let per_position = ACTIVATION_BYTES / (link.bytes_per_second.max(1) as f64) * 1e6;
    let latency = link.latency.as_secs_f64() * 1e6;
    (latency + per_position) * ASSUMED_SESSION_TOKENS + per_position * f64::from(prefill)
}

/// Preference of an upstream for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Rank {
    /// Live, not cooling down, and without a failure for this request.
    Preferred,
    /// Used only after all preferred upstreams and those that are demoted by fewer levels.
    Demoted {
        /// Number of levels of the demotion; at least 1.
        levels: u32,
        /// Time left of the cooldown, in milliseconds; 0 when not cooling down.
        cooldown_left_ms: u64,
    },
}

/// Returns the rank of an upstream. A cooldown demotes it by one level, suspicion by two, and a
/// failure for this request by four; levels add up. `None` when it must not get new work.
pub(super) fn rank(
    upstream: &Upstream,
    key: UpstreamKey,
    avoid: &[UpstreamKey],
    now_ms: u64,
) -> Option<Rank> {
    let suspect = match upstream.health {
        Health::Live => 0,
        Health::Suspect => 2,
        Health::Leaving | Health::Down => return None,
    };
    let busy_until = upstream.counters.busy_until_ms.load(Ordering::Relaxed);
    let cooldown_left_ms = busy_until.saturating_sub(now_ms);
    let failed = if avoid.contains(&key) { 4 } else { 0 };
    let levels = suspect + failed + u32::from(cooldown_left_ms > 0);
    if levels == 0 {
        return Some(Rank::Preferred);
    }
    Some(Rank::Demoted {
        levels,
        cooldown_left_ms,
    })
}

/// Estimates the number of steps queued ahead of a new one: the last reported number, the steps
/// that this daemon has sent since, and one for each of its sessions. Counting sessions distributes
/// them in proportion to layer rates. It counts some steps twice, the more so the busier the
/// upstream is, which moves the choice towards less busy upstreams.
fn backlog(upstream: &Upstream) -> f64 {
    let sent = upstream.counters.sent_since_report.load(Ordering::Relaxed);
    let sessions = upstream.counters.sessions.load(Ordering::Relaxed);
    let reported = upstream.counters.reported.load(Ordering::Relaxed);
    f64::from(reported) + f64::from(sent) + f64::from(sessions)
}

fn cached_positions(cached: &[CachedPrefix], upstream: UpstreamKey) -> u32 {
    let hint = cached.iter().find(|c| c.upstream == upstream);
    hint.map_or(0, |c| c.positions)
}
