//! Checks the aggregate request rate at engines that announce a limit.
//!
//! Requests of a daemon are counted once the daemon has received an answer with the limit, except
//! while it is killed, paused or stopped and for [`GRACE_PERIOD`] afterwards. Windows close to a
//! fault of the engine or its link are skipped: delayed requests arrive in a burst.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::plan::Fault;
use crate::relay_site::engine::Arrival;
use crate::site::Soak;

/// Length of the sliding window in which requests are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Time after the first announcement from which a limit has to be kept, and time after a
/// disturbance for which a daemon's requests are not counted.
const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Time after a request's arrival by which its daemon has applied the limit of the answer.
const LIMIT_NOTED_AFTER: Duration = Duration::from_secs(1);
/// Factor by which the rate may be exceeded; [`BURST`] requests are allowed on top.
const TOLERANCE: f64 = 1.5;
const BURST: f64 = 5.0;

/// A limit, and the period in which it was announced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnnouncedLimit {
    pub(crate) engine: usize,
    pub(crate) per_second: f64,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// What a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Daemon(usize),
    Engine(usize),
    App,
}

/// A fault in progress; its period is recorded when dropped.
pub(crate) struct Disturbance {
    target: Target,
    from: Instant,
    all: Arc<Mutex<Vec<(Target, Instant, Instant)>>>,
}

impl Drop for Disturbance {
    fn drop(&mut self) {
        let mut all = self.all.lock().expect("no panic");
        all.push((self.target, self.from, Instant::now()));
    }
}

/// Limits and disturbances of a run.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    announced: Mutex<Vec<AnnouncedLimit>>,
    disturbed: Arc<Mutex<Vec<(Target, Instant, Instant)>>>,
}

impl Limits {
    pub(crate) fn announced(&self, announced: AnnouncedLimit) {
        self.announced.lock().expect("no panic").push(announced);
    }

    /// Begins to record a fault; `None` for a fault that this check does not take into account.
    pub(crate) fn disturb(&self, fault: Fault) -> Option<Disturbance> {
        let target = match fault {
            Fault::Kill(i) | Fault::Pause(i) | Fault::PauseSeries(i, _) | Fault::Stop(i) => {
                Target::Daemon(i)
            }
            // Requests of its callers are sent by other daemons, which their ids don't show.
            Fault::DaemonCut(i, _) => Target::Daemon(i),
            Fault::EngineLink(i, _)
            | Fault::EngineStalls(i)
            | Fault::EngineStops(i)
            | Fault::EngineDeregisters(i) => Target::Engine(i),
            Fault::AppLink(_) | Fault::AppStops(_) => Target::App,
            _ => return None,
        };
        Some(Disturbance {
            target,
            from: Instant::now(),
            all: Arc::clone(&self.disturbed),
        })
    }

    /// Whether a recorded fault of the target overlaps with a period.
    pub(crate) fn is_disturbed(&self, target: Target, from: Instant, to: Instant) -> bool {
        let all = self.disturbed.lock().expect("no panic");
        let mut of_target = all.iter().filter(|d| d.0 == target);
        of_target.any(|&(_, from_then, ended)| from_then <= to && ended >= from)
    }

    /// Whether the daemon that sent a request had to keep the limit when the request arrived.
    fn binds(&self, limit: &AnnouncedLimit, arrival: &Arrival, all: &[Arrival]) -> bool {
        let Some(daemon) = sender(&arrival.request) else {
            return false;
        };
        let Some(calm_since) = arrival.at.checked_sub(GRACE_PERIOD) else {
            return false;
        };
        if self.is_disturbed(Target::Daemon(daemon), calm_since, arrival.at) {
            return false;
        }
        let announcements = |a: &&Arrival| {
            let is_before = a.at >= limit.from && a.at + LIMIT_NOTED_AFTER <= arrival.at;
            is_before && sender(&a.request) == Some(daemon)
        };
        let mut announcements = all.iter().filter(announcements);
        announcements.any(|a| !self.is_disturbed(Target::Daemon(daemon), a.at, arrival.at))
    }
}

/// Returns the daemon that a caller sent a request to, by the request's id: `d1-c0-7`,
/// `check-1-0-..` or `v1-7`.
pub(crate) fn sender(request: &str) -> Option<usize> {
    let rest = ["check-", "d", "v"]
        .iter()
        .find_map(|p| request.strip_prefix(p))?;
    rest.split('-').next()?.parse().ok()
}

/// Checks that no engine got more requests than the limit that it announced allows.
pub(crate) fn check(soak: &Soak) {
    let announced = soak.limits.announced.lock().expect("no panic").clone();
    for limit in announced {
        let arrivals = soak.engines[limit.engine].engine.limit().arrivals();
        let counts = |a: &&Arrival| {
            let is_due = a.at >= limit.from + GRACE_PERIOD && a.at <= limit.to;
            is_due && soak.limits.binds(&limit, a, &arrivals)
        };
        let bound: Vec<Instant> = arrivals.iter().filter(counts).map(|a| a.at).collect();
        let allowed = TOLERANCE * limit.per_second * RATE_WINDOW.as_secs_f64() + BURST;
        for &first in &bound {
            let before = first.checked_sub(RATE_WINDOW).unwrap_or(first);
            if soak
                .limits
                .is_disturbed(Target::Engine(limit.engine), before, first + RATE_WINDOW)
            {
                continue;
            }
            let within = bound
                .iter()
                .filter(|&&at| at >= first && at <= first + RATE_WINDOW);
            let count = within.count() as f64;
            if count > allowed {
                soak.record_violation(format!(
                    "{count} requests in a window, {allowed:.1} allowed: {limit:?}"
                ));
                break;
            }
        }
    }
}
