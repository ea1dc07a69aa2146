//! Cooldown of upstreams that refused a request for lack of capacity.
//!
//! Such a refusal is a response, not a failure, so the health of the upstream does not change.
//! While `Counters::busy_until_ms` lies ahead, routing prefers other upstreams but does not exclude
//! this one. The approach follows grumbach's pull request to ant-node, "answer a refused fetch with
//! busy instead of silence"; it is used because it gives the best result in `measure busy`. The
//! wait of that pull request before an attempt is abandoned is left out: the caller of an abandoned
//! request is answered immediately.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use slotmap::SecondaryMap;

use crate::fleet::Counters;
use crate::fleet::UpstreamKey;

/// Limits of cooldowns.
#[derive(Clone, Debug, PartialEq)]
pub struct BusyConfig {
    /// First cooldown, before jitter; it doubles with each consecutive refusal. Default 50 ms.
    pub base: Duration,
    /// Maximum cooldown, jitter included. Default 2 s.
    pub max: Duration,
    /// Time without a refusal after which the next cooldown starts at `base` again. Default 10 s.
    pub reset_after: Duration,
}

impl Default for BusyConfig {
    fn default() -> BusyConfig {
        BusyConfig {
            base: Duration::from_millis(50),
            max: Duration::from_secs(2),
            reset_after: Duration::from_secs(10),
        }
    }
}

/// Consecutive refusals of one upstream.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    count: u32,
    /// Time of the last refusal, in milliseconds since the daemon's start.
    last_ms: u64,
}

/// Cooldowns of all upstreams, as one daemon observes them.
#[derive(Clone, Debug)]
pub struct Cooldowns {
    cfg: BusyConfig,
    refusals: SecondaryMap<UpstreamKey, Refusals>,
}

impl Cooldowns {
    /// Creates a state in which no upstream is cooling down.
    pub fn new(cfg: BusyConfig) -> Cooldowns {
        Cooldowns {
            cfg,
            refusals: SecondaryMap::new(),
        }
    }

    /// Records a refusal, sets the upstream's cooldown, and returns the time until its end. A
    /// later refusal never shortens a cooldown. `retry_after` is the delay that the upstream asked
    /// for; it applies when it is longer than the computed cooldown, up to [`BusyConfig::max`].
    pub fn record_refusal<R: Rng>(
        &mut self,
        upstream: UpstreamKey,
        counters: &Counters,
        retry_after: Duration,
        now_ms: u64,
        rng: &mut R,
    ) -> Duration {
        let reset_after_ms = self.cfg.reset_after.as_millis() as u64;
        let before = self.refusals.get(upstream);
        let count = match before {
            Some(r) if now_ms.saturating_sub(r.last_ms) < reset_after_ms => r.count,
            _ => 0,
        };
        let next = Refusals {
            count: count.saturating_add(1),
            last_ms: now_ms,
        };
        self.refusals.insert(upstream, next);
        let grown = self.cfg.base * 2u32.pow(count.min(16));
        let jittered = grown.max(retry_after).mul_f64(rng.random_range(1.0..1.5));
        let cooldown_ms = jittered.min(self.cfg.max).as_millis() as u64;
        let until = now_ms + cooldown_ms;
        let before = counters.busy_until_ms.fetch_max(until, Ordering::Relaxed);
        Duration::from_millis(before.max(until) - now_ms)
    }

    /// Records that the upstream served a request, which ends its cooldown.
    pub fn clear_cooldown(&mut self, upstream: UpstreamKey, counters: &Counters) {
        if self.refusals.remove(upstream).is_some() {
            counters.busy_until_ms.store(0, Ordering::Relaxed);
        }
    }
}
