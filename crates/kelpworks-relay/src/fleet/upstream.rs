//! One incarnation of an upstream: its registration, its load, and its health as inferred from its
//! work.

use std::time::Duration;

use tokio::time::Instant;

use crate::adapter::LayerRange;
use crate::adapter::Lifecycle;
use crate::adapter::UpstreamEntry;
use crate::constraints::Constraints;
use crate::constraints::MessageKind;

/// First ejection time after a failure. Less than the heartbeat interval of discovery (about a
/// second), so that an upstream that recovers is tried again by then.
const INITIAL_EJECTION: Duration = Duration::from_millis(800);
/// Maximum ejection time after consecutive failures: three heartbeats, after which discovery
/// itself has removed a dead upstream.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Time for which a trial request to an upstream that failed before keeps other requests away from
/// it.
const TRIAL_EJECTION: Duration = Duration::from_millis(400);
/// Bursts of failures after which an upstream is presumed lost: one or two may be a short
/// slowdown.
const MIN_LOST_BURSTS: u32 = 4;
/// Failures within this time of the first one of a burst belong to the burst: all streams on an
/// engine fail together.
const BURST_SPAN: Duration = Duration::from_millis(250);
/// Time without any work passing after which an upstream may be presumed lost: two heartbeats of
/// discovery.
const MIN_LOST_IDLE: Duration = Duration::from_millis(2_400);
/// First backoff after a refused request, doubled with each consecutive refusal up to
/// [`MAX_EJECTION`]. The upstream may only have been full, and memory is freed as streams end,
/// some dozens a second.
const INITIAL_REFUSAL_BACKOFF: Duration = Duration::from_millis(250);
/// Consecutive refusals, with no acceptance in between, after which an engine with free capacity
/// is taken to accept no new work at all, as when it leaves and the store can't show it: some two
/// seconds of refusals only.
const MIN_CLOSED_REFUSALS: u32 = 4;
/// Time for which a report of an engine's slowness counts: slow engines are queried again about
/// once a second.
const SLOWNESS_TTL: Duration = Duration::from_secs(3);
/// Slowness factor from which streams are rerouted around an engine: reading their tokens again
/// elsewhere takes some 100 ms, as long as a few of its events.
pub const REROUTE_SLOWNESS: f64 = 3.0;
/// Weight of an attempt in the moving average of the failure rate: about the last ten attempts
/// count.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// Weight of a new answer time in its moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Evidence behind the ejection of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAttribution {
    /// It is the only upstream that can have failed.
    Sole,
    /// It or another upstream of the same path failed.
    Shared,
}

/// Requests in progress and memory reserved for them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub running: f64,
    /// Token-layers of KV cache that they may come to use.
    pub reserved: f64,
}

/// An incarnation of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The entry in effect.
    pub entry: UpstreamEntry,
    /// Layers that can be used: as registered, or as reported later by the engine itself.
    pub layers: Option<LayerRange>,
    /// Load from this daemon.
    pub local_load: Load,
    /// Load from all other daemons, as last reported.
    pub remote_load: Load,
    /// When work of any request last passed it.
    pub last_success: Option<Instant>,
    /// End of its ejection for failures; until then others are preferred that can do its work.
    pub ejected_until: Option<Instant>,
    /// Evidence behind its ejection, from this daemon or a peer's report; `None` since work last
    /// passed it. Ejections with shared attribution are not reported to peers: most upstreams that
    /// share one are healthy, and a fleet of hundreds of daemons would soon eject a whole failure
    /// domain because of one engine.
    attribution: Option<FaultAttribution>,
    /// Whether it is ejected because it accepted no connection, not because it stalled.
    pub(super) unreachable: bool,
    /// End of its ejection for refusals. Work that passes it meanwhile was accepted before, so
    /// only a new acceptance ends this early.
    refusal_backoff_until: Option<Instant>,
    /// Consecutive refusals, without those during a backoff.
    refusals: u32,
    /// Consecutive failures, without those during an ejection.
    failures: u32,
    /// Bursts of failures since work last passed it, which begin at least [`BURST_SPAN`] apart.
    failure_bursts: u32,
    /// Start of the last burst of failures.
    last_burst: Option<Instant>,
    /// How many times longer than usual its work takes, and when it reported so.
    slowness: Option<(f64, Instant)>,
    /// Stalled streams of this daemon that have it on their path, unconfirmed.
    pub(super) stalled_streams: i32,
    /// Moving average of its answer times, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Moving average of the share of attempts that failed while it was alive, 0 to 1.
    pub failure_rate: f64,
    /// What it announced about what may be sent to it.
    pub constraints: Constraints,
}

impl Upstream {
    /// Returns whether it accepts new work by its entry, and has not stated itself that it is
    /// leaving.
    pub fn is_ready(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Ready && !self.constraints.is_leaving()
    }

    /// Returns whether it is ready and its constraints allow a message now.
    pub fn allows(&self, kind: MessageKind, now: Instant) -> bool {
        self.is_ready() && self.constraints.allows(kind, now)
    }

    /// Returns whether it failed or refused requests so recently that others are preferred.
    pub fn is_ejected(&self, now: Instant) -> bool {
        let is_before = |until: Option<Instant>| until.is_some_and(|u| now < u);
        is_before(self.ejected_until) || is_before(self.refusal_backoff_until)
    }

    /// Returns whether it is ejected because it accepts no work: it refused more than one request
    /// since it last accepted any, or accepted no connection.
    pub fn takes_no_work(&self, now: Instant) -> bool {
        self.is_ejected(now) && (self.refusals > 1 || self.unreachable)
    }

    /// Returns whether its ejection, if any, is because it accepted no connection.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Returns for how much longer all daemons should eject it; `None` unless it is ejected for a
    /// failure of its own. Refusals are not shared: most upstreams that refuse are full for some
    /// hundred milliseconds, and if a whole fleet ejected them for that time, the others would fill
    /// up and refuse in turn.
    pub(crate) fn remaining_ejection(&self, now: Instant) -> Option<Duration> {
        self.attribution.filter(|&b| b == FaultAttribution::Sole)?;
        let left = self.ejected_until?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether it refused so many consecutive requests that, unless it is full, it accepts
    /// no new work at all.
    pub fn is_closed(&self) -> bool {
        self.refusals >= MIN_CLOSED_REFUSALS
    }

    /// Returns whether it failed repeatedly with no work passing in between: it is dead, or
    /// leaving without its entry saying so, as during an outage of the store.
    pub fn is_presumed_lost(&self, now: Instant) -> bool {
        let idle = self
            .last_success
            .is_none_or(|at| now.duration_since(at) > MIN_LOST_IDLE);
        self.failure_bursts >= MIN_LOST_BURSTS && idle
    }

    /// Returns how many times longer than usual its work takes, by its own recent report; 1
    /// without one.
    pub fn slowness(&self, now: Instant) -> f64 {
        match self.slowness {
            Some((times, at)) if now.duration_since(at) < SLOWNESS_TTL => times.max(1.0),
            _ => 1.0,
        }
    }

    /// Returns its last report of its slowness, and when it was made.
    pub fn last_slowness_report(&self) -> Option<(f64, Instant)> {
        self.slowness
    }

    /// Returns the load from all daemons.
    pub fn load(&self) -> Load {
        Load {
            running: self.local_load.running + self.remote_load.running,
            reserved: self.local_load.reserved + self.remote_load.reserved,
        }
    }

    /// Creates an upstream that was just registered, without load or health history.
    /// `constraints` are those known from an earlier registration of the same incarnation.
    pub(super) fn new(
        entry: UpstreamEntry,
        layers: Option<LayerRange>,
        constraints: Constraints,
    ) -> Upstream {
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
            constraints,
        }
    }

    pub(super) fn record_success(&mut self, now: Instant) {
        self.last_success = Some(now);
        self.end_ejection();
    }

    pub(super) fn end_ejection(&mut self) {
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
        metrics::counter!("kelpworks_ejections_total", "source" => "own").increment(1);
        let span = (INITIAL_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        self.ejected_until = Some(now + span);
    }

    /// Ejects an upstream whose process or host was found to have ended. A new process is another incarnation, so
    /// that nothing is lost by the longest ejection.
    pub(super) fn eject_ended(&mut self, now: Instant) {
        if !self.unreachable || !self.is_ejected(now) {
            metrics::counter!("kelpworks_ejections_total", "source" => "check").increment(1);
        }
        self.eject(FaultAttribution::Sole, now);
        self.attribution = Some(FaultAttribution::Sole);
        self.unreachable = true;
        self.ejected_until = Some(now + MAX_EJECTION);
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
            if !self.is_ejected(since) {
                metrics::counter!("kelpworks_ejections_total", "source" => "peer").increment(1);
            }
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
