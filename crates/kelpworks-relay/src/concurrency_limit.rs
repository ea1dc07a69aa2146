//! Limit on the requests under way of a daemon, which follows from how late its event loop runs.
//!
//! A load balancer may hand a daemon more than its processor can do. All of that work shares the processor, so that each
//! request gets a little of it and nearly none ends in time. A daemon that is late therefore takes on no more than it
//! ends, and leaves the rest to others while it is still unread.
//!
//! Late means that even the least lag of some time is high, which shows work that waits all the while; the highest one
//! shows a pause as well.
//!
//! ```
//! use std::time::Duration;
//!
//! use kelpworks_relay::concurrency_limit::ConcurrencyLimit;
//! use kelpworks_relay::concurrency_limit::Sample;
//! use tokio::time::Instant;
//!
//! let mut limit = ConcurrencyLimit::default();
//! let mut now = Instant::now();
//! for _ in 0..3 {
//!     now += Duration::from_millis(100);
//!     let lag = Duration::from_millis(70);
//!     limit.record(Sample { now, lag, load: 100 });
//! }
//! assert!(!limit.admit(100, now), "late with a hundred requests under way");
//! assert!(limit.admit(10, now), "but these it can serve");
//! ```
//!
//! Limits: a daemon that is late for reasons other than its load limits itself as well, down to [`MIN_LIMIT`].

use std::time::Duration;

use tokio::time::Instant;

/// Least lag of the event loop in a window from which a daemon counts as late. Shorter than the time for which a quota of a
/// quarter of a core stops a process in each tenth of a second, and than the delay of an event that callers accept.
pub const LATE: Duration = Duration::from_millis(50);
/// Least lag in a window below which a daemon takes on more.
const PROMPT: Duration = Duration::from_millis(25);
/// Least length of a window: several periods of a processor quota.
const WINDOW: Duration = Duration::from_millis(200);
/// Least number of samples in a window, so that a pause of the process, which is one of them, does not count.
const MIN_SAMPLES: u32 = 3;
/// Least limit, in requests: a daemon with fewer is late for another reason.
pub const MIN_LIMIT: usize = 16;
/// Fraction of the load that is kept when a daemon is late.
const DECREASE: f64 = 0.7;
/// Growth of the limit in a window in which all of it was used.
const INCREASE: f64 = 1.1;
/// Time after which a limit that was not used up ends.
const UNUSED_PERIOD: Duration = Duration::from_secs(2);
/// Time without an admission after which one request is admitted whatever is under way: those requests may not end for
/// long, for a reason other than this daemon.
const MAX_CLOSED_PERIOD: Duration = Duration::from_secs(1);

/// What was seen at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the event loop got round to it.
    pub now: Instant,
    /// Time between the moment for which it was due and `now`.
    pub lag: Duration,
    /// Requests under way, connections with an unread request included.
    pub load: usize,
}

/// Change between a daemon that keeps up and one that does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The daemon is late, and takes on no more than this.
    Limited(usize),
    /// It keeps up.
    Unlimited,
}

/// Limit on the requests under way.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimit {
    /// At least [`MIN_LIMIT`]; `None` while the daemon keeps up.
    limit: Option<usize>,
    window: Option<Window>,
    /// When the limit was last reached.
    last_used: Option<Instant>,
    last_admission: Option<Instant>,
}

/// What was seen since the start of a window.
#[derive(Clone, Copy, Debug)]
struct Window {
    start: Instant,
    samples: u32,
    min_lag: Duration,
    max_load: usize,
}

impl Window {
    fn new(sample: Sample) -> Window {
        Window {
            start: sample.now - sample.lag,
            samples: 0,
            min_lag: Duration::MAX,
            max_load: 0,
        }
    }

    fn add(&mut self, sample: Sample) {
        self.samples += 1;
        self.min_lag = self.min_lag.min(sample.lag);
        self.max_load = self.max_load.max(sample.load);
    }

    fn is_over(&self, now: Instant) -> bool {
        self.samples >= MIN_SAMPLES && now.duration_since(self.start) >= WINDOW
    }
}

impl ConcurrencyLimit {
    /// Returns the current limit; `None` if there is none.
    pub fn limit(&self) -> Option<usize> {
        self.limit
    }

    /// Whether a daemon with this load may take on another request now.
    pub fn admit(&mut self, load: usize, now: Instant) -> bool {
        let has_room = self.limit.is_none_or(|limit| load < limit);
        let is_overdue = |at: Instant| now.duration_since(at) >= MAX_CLOSED_PERIOD;
        let is_admitted = has_room || self.last_admission.is_some_and(is_overdue);
        if is_admitted {
            self.last_admission = Some(now);
        }
        is_admitted
    }

    /// Takes a sample into account; returns whether a limit began or ended.
    pub fn record(&mut self, sample: Sample) -> Option<Change> {
        let mut window = self.window.unwrap_or_else(|| Window::new(sample));
        window.add(sample);
        if !window.is_over(sample.now) {
            self.window = Some(window);
            return None;
        }
        self.window = None;
        let had_limit = self.limit.is_some();
        self.adapt(window, sample);
        match (had_limit, self.limit) {
            (false, Some(limit)) => Some(Change::Limited(limit)),
            (true, None) => Some(Change::Unlimited),
            _ => None,
        }
    }

    fn adapt(&mut self, window: Window, sample: Sample) {
        let is_used = self.limit.is_some_and(|limit| window.max_load >= limit);
        if is_used {
            self.last_used = Some(sample.now);
        }
        if window.min_lag >= LATE {
            self.decrease(sample);
        } else if window.min_lag < PROMPT {
            self.increase(is_used, sample.now);
        }
    }

    /// Lowers the limit, unless a lower one has not taken effect yet.
    fn decrease(&mut self, sample: Sample) {
        let is_in_effect = self.limit.is_none_or(|limit| sample.load <= limit);
        if !is_in_effect || sample.load < MIN_LIMIT {
            return;
        }
        let kept = (sample.load as f64 * DECREASE) as usize;
        self.limit = Some(kept.max(MIN_LIMIT));
        self.last_used = Some(sample.now);
    }

    /// Raises a limit that is used up, and ends one that is not.
    fn increase(&mut self, is_used: bool, now: Instant) {
        let is_unused = |at: Instant| now.duration_since(at) >= UNUSED_PERIOD;
        if is_used {
            self.limit = self.limit.map(|l| (l as f64 * INCREASE) as usize + 1);
        } else if self.last_used.is_none_or(is_unused) {
            self.limit = None;
        }
    }
}
