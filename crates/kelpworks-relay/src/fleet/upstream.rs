//! One incarnation of an upstream: its registration, its load, and what its work tells of its health.

use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::adapter::Lifecycle;
use crate::adapter::UpstreamEntry;
use crate::limits::Limiter;

/// First time that an upstream is passed over after a failure. Under the heartbeat interval of
/// discovery (about a second), so that an upstream that recovers is tried again by then.
const INITIAL_EJECTION: Duration = Duration::from_millis(800);
/// Longest time that an upstream is passed over after failures in a row: three heartbeats, after
/// which discovery itself has removed one that is dead.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Time for which a request to an upstream that failed before keeps others away from it.
const TRIAL_EJECTION: Duration = Duration::from_millis(400);
/// Moments of failure after which an upstream is presumed lost: one or two may be a slow moment.
const MIN_LOST_BURSTS: u32 = 4;
/// Failures closer together than this count as one moment: all streams on an engine fail together.
const BURST_SPAN: Duration = Duration::from_millis(250);
/// Time without any work passing that is needed besides: two heartbeats of discovery.
const MIN_LOST_IDLE: Duration = Duration::from_millis(2_400);
/// First time that an upstream is passed over after it refused a request, doubled with each refusal in
/// a row up to [`MAX_EJECTION`]. It may only have been full, and room comes with the next streams
/// that end, some dozens a second.
const INITIAL_REFUSAL_BACKOFF: Duration = Duration::from_millis(250);
/// Refusals in a row, with nothing accepted in between, after which an engine with room takes no new
/// work at all, as when it leaves and the store can't say so: some two seconds of only refusals.
const MIN_CLOSED_REFUSALS: u32 = 4;
/// How long a word on an engine's slowness counts: engines are asked again about once a second
/// while they are slow.
const SLOWNESS_TTL: Duration = Duration::from_secs(3);
/// Slowness from which an engine's streams had better go by others: reading their tokens again takes
/// some 100 ms, as long as a few of its events.
pub const REROUTE_SLOWNESS: f64 = 3.0;
/// Weight of an attempt in the moving share of failures: about the last ten count.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// Weight of a new answer time in its moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// What an ejection of an upstream rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAttribution {
    /// It is the only one that can have failed.
    Sole,
    /// It or another of the same path.
    Shared,
}

/// Requests and memory that are promised.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests under way.
    pub running: f64,
    /// Token-layers of KV cache that they may come to take.
    pub reserved: f64,
}

/// An incarnation of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// As registered.
    pub entry: UpstreamEntry,
    /// Layers that can be used: as registered, or by a later word of the engine itself.
    pub layers: Option<LayerRange>,
    /// Load by this daemon.
    pub local_load: Load,
    /// Load by all other daemons, as they last told.
    pub remote_load: Load,
    /// When work of any request was last seen to pass.
    pub last_success: Option<Instant>,
    /// Passed over until then where others can do its work.
    pub ejected_until: Option<Instant>,
    /// What its ejection rests on, by this daemon's evidence or another's word; none since work last passed
    /// it. A shared blame is kept from others: most that share one are well, and a fleet of hundreds of
    /// daemons would soon pass a whole failure domain over for one engine.
    attribution: Option<FaultAttribution>,
    /// Whether it is ejected since it took no connection, not since it was silent.
    pub(super) unreachable: bool,
    /// Passed over until then since it refused requests. Work that passes it meanwhile was accepted
    /// before, so only a new acceptance ends this.
    refusal_backoff_until: Option<Instant>,
    /// Refusals in a row, as far as each made it passed over for longer.
    refusals: u32,
    /// Failures in a row, as far as each made it passed over for longer.
    failures: u32,
    /// Moments at which it failed since work last passed it, [`BURST_SPAN`] apart at least.
    failure_bursts: u32,
    /// The last of them.
    last_burst: Option<Instant>,
    /// How many times longer its work takes than usual, and when it said so.
    slowness: Option<(f64, Instant)>,
    /// Streams of this daemon that are silent now and have it on their path, unconfirmed.
    pub(super) stalled_streams: i32,
    /// Moving average of its answer times, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Moving share of attempts that it failed though it lives, 0 to 1.
    pub failure_rate: f64,
    /// The limit on requests that it announced.
    pub limiter: Limiter,
}

impl Upstream {
    /// Whether new work may go there by registration.
    pub fn is_ready(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Ready
    }

    /// Whether it failed so recently that others are preferred.
    pub fn is_ejected(&self, now: Instant) -> bool {
        let is_before = |until: Option<Instant>| until.is_some_and(|u| now < u);
        is_before(self.ejected_until) || is_before(self.refusal_backoff_until)
    }

    /// Whether it is passed over since it takes no work: it refused more than one request since it
    /// accepted any, or took no connection.
    pub fn takes_no_work(&self, now: Instant) -> bool {
        self.is_ejected(now) && (self.refusals > 1 || self.unreachable)
    }

    /// Whether it is ejected, if at all, since it took no connection.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// For how much longer all daemons should pass it over. A refusal is for the one that met it: most
    /// who refuse are full for some hundred milliseconds, and were a whole fleet to pass them over for
    /// that time, the others would fill up and refuse in turn.
    pub(crate) fn remaining_ejection(&self, now: Instant) -> Option<Duration> {
        self.attribution.filter(|&b| b == FaultAttribution::Sole)?;
        let left = self.ejected_until?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// Whether it takes no new work, though it has room.
    pub fn is_closed(&self) -> bool {
        self.refusals >= MIN_CLOSED_REFUSALS
    }

    /// Whether it failed again and again with nothing passing in between: dead, or leaving without
    /// its entry saying so, as while the store is down.
    pub fn is_presumed_lost(&self, now: Instant) -> bool {
        let idle = self
            .last_success
            .is_none_or(|at| now.duration_since(at) > MIN_LOST_IDLE);
        self.failure_bursts >= MIN_LOST_BURSTS && idle
    }

    /// How many times longer its work takes than usual, by its own word of late; 1 as a rule.
    pub fn slowness(&self, now: Instant) -> f64 {
        match self.slowness {
            Some((times, at)) if now.duration_since(at) < SLOWNESS_TTL => times.max(1.0),
            _ => 1.0,
        }
    }

    /// When it last said how slow it is.
    pub fn last_slowness_report(&self) -> Option<(f64, Instant)> {
        self.slowness
    }

    /// Load by all daemons.
    pub fn load(&self) -> Load {
        Load {
            running: self.local_load.running + self.remote_load.running,
            reserved: self.local_load.reserved + self.remote_load.reserved,
        }
    }

    /// Registered just now; nothing is known of it.
    pub(super) fn new(entry: UpstreamEntry, layers: Option<LayerRange>) -> Upstream {
        Upstream {
            entry,
            layers,
            local_load: Load::default(),
            remote_load: Load::default(),
            last_success: None,
            ejected_until: None,
            attribution: None,
            unreachable: false,
            refusal_backoff_until: None,
            refusals: 0,
            failures: 0,
            failure_bursts: 0,
            last_burst: None,
            slowness: None,
            stalled_streams: 0,
            latency_ms: None,
            failure_rate: 0.0,
            limiter: Limiter::default(),
        }
    }

    pub(super) fn record_success(&mut self, now: Instant) {
        self.last_success = Some(now);
        self.ejected_until = None;
        self.attribution = None;
        self.unreachable = false;
        self.failures = 0;
        self.failure_bursts = 0;
    }

    pub(super) fn record_latency(&mut self, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        let old = self.latency_ms.unwrap_or(ms);
        self.latency_ms = Some(old + LATENCY_WEIGHT * (ms - old));
    }

    pub(super) fn record_outcome(&mut self, failed: bool) {
        let now = if failed { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_RATE_WEIGHT * (now - self.failure_rate);
    }

    pub(super) fn eject(&mut self, attribution: FaultAttribution, now: Instant) {
        let is_over = self.ejected_until.is_none_or(|until| until <= now);
        if is_over || attribution == FaultAttribution::Sole {
            self.attribution = Some(attribution);
        }
        let is_new_burst = self
            .last_burst
            .is_none_or(|at| now.duration_since(at) >= BURST_SPAN);
        if is_new_burst {
            self.failure_bursts += 1;
            self.last_burst = Some(now);
        }
        if self.is_ejected(now) {
            return;
        }
        let doublings = self.failures.min(4);
        self.failures += 1;
        let span = (INITIAL_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        self.ejected_until = Some(now + span);
    }

    pub(super) fn record_refusal(&mut self, now: Instant) {
        if self.refusal_backoff_until.is_some_and(|until| now < until) {
            return;
        }
        let span = INITIAL_REFUSAL_BACKOFF * 2u32.pow(self.refusals.min(4));
        self.refusals += 1;
        self.refusal_backoff_until = Some(now + span.min(MAX_EJECTION));
    }

    pub(super) fn record_acceptance(&mut self) {
        self.unreachable = false;
        self.refusals = 0;
        self.refusal_backoff_until = None;
    }

    pub(super) fn learn_slowness(&mut self, times: f64, at: Instant) -> bool {
        let is_new = self.slowness.is_none_or(|(_, known)| known < at);
        if is_new {
            self.slowness = Some((times, at));
        }
        is_new
    }

    pub(super) fn learn_ejection(&mut self, since: Instant, until: Instant, unreachable: bool) {
        let confirmed = self.last_success.is_some_and(|at| at > since);
        if !confirmed && self.ejected_until.is_none_or(|d| d < until) {
            self.ejected_until = Some(until);
            self.attribution = Some(FaultAttribution::Sole);
            self.unreachable |= unreachable;
        }
    }

    pub(super) fn record_attempt(&mut self, now: Instant) {
        if self.failures > 0 && !self.is_ejected(now) {
            self.ejected_until = Some(now + TRIAL_EJECTION);
        }
    }
}
