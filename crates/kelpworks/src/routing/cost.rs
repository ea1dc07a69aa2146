//! What it costs to run a range of layers on an upstream, in microseconds over a session.

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

/// Tokens that a session is taken to generate. The true number is unknown when the path is chosen;
/// this weighs the time of a token against the time of the prefill.
const ASSUMED_SESSION_TOKENS: f64 = 64.0;

/// Bytes of activations of one position at a cut.
const ACTIVATION_BYTES: f64 = 16_384.0;

/// Cost of one more hop for each token, in microseconds: a message there and back.
const HOP_COST_US: f64 = 100.0;

/// Layers a second taken for an upstream whose speed is unknown.
const DEFAULT_LAYER_RATE: f64 = 1_000.0;

/// One in so many weighings leaves out the observed step time. Without it an upstream that was
/// slow once would get no work, hence no new observation, and stay slow for ever.
const EXPLORE_ONE_IN: u32 = 32;

/// Added for each rank of [`rank`]; above the cost of any session.
const DEMOTION_PENALTY_US: f64 = 1e12;

/// An upstream with what is fixed about its cost, whatever part of its layers it runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quote {
    /// Time that its queue adds to each token.
    wait_us: f64,
    /// Time of one layer of one position.
    layer_us: f64,
    /// Time of one layer of a token as observed, at least `layer_us`.
    observed_us: f64,
    /// Positions that must be prefilled.
    prefill: f64,
    /// What puts it behind others: 0 for a candidate in good standing.
    penalty: f64,
}

impl Quote {
    /// Cost of running this many layers in each step of a session.
    pub(super) fn session_cost_us(&self, layers: u32) -> f64 {
        let layers = f64::from(layers);
        let token = self.wait_us + layers * self.observed_us + HOP_COST_US;
        token * ASSUMED_SESSION_TOKENS + self.prefill * layers * self.layer_us + self.penalty
    }

    /// Whether it stands behind others.
    pub(super) fn is_demoted(&self) -> bool {
        self.penalty > 0.0
    }
}

/// Weighs a candidate; `None` when it must get no work.
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
            // Jitter, so that daemons that see the same cooldowns do not all take the same.
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

/// Cost of bringing the activations of a session over a link.
pub(super) fn link_cost_us(link: LinkCost, prefill: u32) -> f64 {
    let per_position = ACTIVATION_BYTES / (link.bytes_per_second.max(1) as f64) * 1e6;
    let latency = link.latency.as_secs_f64() * 1e6;
    (latency + per_position) * ASSUMED_SESSION_TOKENS + per_position * f64::from(prefill)
}

/// Standing of an upstream for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Rank {
    /// In good standing.
    Preferred,
    /// Behind all that are in good standing, and behind those of fewer ranks.
    Demoted {
        /// How many ranks behind.
        levels: u32,
        /// Milliseconds of its cooldown that are left.
        cooldown_left_ms: u64,
    },
}

/// Standing of an upstream: cooling one rank back, suspect two, failed for this request four;
/// `None` when it must get no new work.
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

/// Steps ahead of a new one: as last reported, own ones sent since, and one for each session of
/// this daemon. The last makes sessions settle in proportion to speed; some of their steps are
/// counted twice by it, the more the busier the upstream is, which moves the choice the right way.
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
