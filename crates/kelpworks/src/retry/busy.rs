//! Cooldown of upstreams that refused for want of capacity.
//!
//! Such a refusal is an answer, not a failure: the upstream's health does not change. It is put
//! last while it cools, by `Counters::busy_until_ms`, and never withheld. The idea is that of
//! grumbach's pull request to ant-node, "answer a refused fetch with busy instead of silence"; it
//! is here because it wins in `measure busy`. Its wait before an attempt is given up is not taken
//! over: a request that is given up is answered at once.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use slotmap::SecondaryMap;

use crate::fleet::Counters;
use crate::fleet::UpstreamKey;

/// Bounds on cooldowns.
#[derive(Clone, Debug, PartialEq)]
pub struct BusyConfig {
    /// First cooldown; it doubles with each refusal in a row. Default 50 ms.
    pub base: Duration,
    /// Greatest cooldown, jitter included. Default 2 s.
    pub max: Duration,
    /// Without a refusal for this long, the next cooldown is a first one again. Default 10 s.
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

/// Refusals in a row of one upstream.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    count: u32,
    /// Time of the last, in milliseconds since the daemon's start.
    last_ms: u64,
}

/// Cooldowns of all upstreams of a daemon.
#[derive(Clone, Debug)]
pub struct Cooldowns {
    cfg: BusyConfig,
    refusals: SecondaryMap<UpstreamKey, Refusals>,
}

impl Cooldowns {
    /// No upstream cooling.
    pub fn new(cfg: BusyConfig) -> Cooldowns {
        Cooldowns {
            cfg,
            refusals: SecondaryMap::new(),
        }
    }

    /// Notes a refusal, sets the upstream's cooldown, and returns what is left of the one in
    /// force. A later refusal never shortens it. `retry_after` is the upstream's own word, which
    /// counts when it is longer, up to the cap.
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

    /// Notes that the upstream served: it cools no longer.
    pub fn clear_cooldown(&mut self, upstream: UpstreamKey, counters: &Counters) {
        if self.refusals.remove(upstream).is_some() {
            counters.busy_until_ms.store(0, Ordering::Relaxed);
        }
    }
}
