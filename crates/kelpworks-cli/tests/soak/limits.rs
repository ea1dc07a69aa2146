//! Checks the aggregate request rate at engines that announce a limit.
//!
//! Requests of a daemon are counted once the daemon has received an answer with the limit, except while it is
//! killed, paused or stopped and for [`GRACE`] afterwards. Windows close to a fault of the engine's link are
//! skipped: delayed requests arrive in a burst.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::plan::Fault;
use crate::relay_site::engine::Arrival;
use crate::site::Soak;

/// Any span of this length counts.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first announcement from which a limit has to be kept, and for which a daemon is excused
/// after a disturbance.
const GRACE: Duration = Duration::from_secs(3);
/// Time after which a daemon that got an answer has noted its limit.
const TOLD: Duration = Duration::from_secs(1);
/// How far above its rate a limit may be exceeded, and requests that are allowed besides.
const TOLERANCE: f64 = 1.5;
const BURST: f64 = 5.0;

/// A limit that was announced, until the moment at which it ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Announced {
    pub(crate) engine: usize,
    pub(crate) per_second: f64,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// What is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Who {
    Daemon(usize),
    Engine(usize),
}

/// A fault while it lasts; noted when dropped.
pub(crate) struct Disturbance {
    who: Who,
    from: Instant,
    all: Arc<Mutex<Vec<(Who, Instant, Instant)>>>,
}

impl Drop for Disturbance {
    fn drop(&mut self) {
        let mut all = self.all.lock().expect("no panic");
        all.push((self.who, self.from, Instant::now()));
    }
}

/// Limits and disturbances of a run.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    announced: Mutex<Vec<Announced>>,
    disturbed: Arc<Mutex<Vec<(Who, Instant, Instant)>>>,
}

impl Limits {
    pub(crate) fn announced(&self, announced: Announced) {
        self.announced.lock().expect("no panic").push(announced);
    }

    /// Notes a fault that bears on limits.
    pub(crate) fn disturb(&self, fault: Fault) -> Option<Disturbance> {
        let who = match fault {
            Fault::Kill(i) | Fault::Pause(i) | Fault::Stop(i) => Who::Daemon(i),
            Fault::EngineLink(i, _) | Fault::EngineStops(i) | Fault::EngineLeaves(i) => {
                Who::Engine(i)
            }
            _ => return None,
        };
        Some(Disturbance {
            who,
            from: Instant::now(),
            all: Arc::clone(&self.disturbed),
        })
    }

    fn is_disturbed(&self, who: Who, from: Instant, to: Instant) -> bool {
        let all = self.disturbed.lock().expect("no panic");
        let mut of_it = all.iter().filter(|d| d.0 == who);
        of_it.any(|&(_, begun, ended)| begun <= to && ended >= from)
    }

    /// Whether a daemon that sent a request is bound by a limit then.
    fn binds(&self, limit: &Announced, arrival: &Arrival, all: &[Arrival]) -> bool {
        let Some(daemon) = sender(&arrival.request) else {
            return false;
        };
        let Some(calm_since) = arrival.at.checked_sub(GRACE) else {
            return false;
        };
        if self.is_disturbed(Who::Daemon(daemon), calm_since, arrival.at) {
            return false;
        }
        let told = |a: &&Arrival| {
            let is_before = a.at >= limit.from && a.at + TOLD <= arrival.at;
            is_before && sender(&a.request) == Some(daemon)
        };
        let mut told = all.iter().filter(told);
        told.any(|a| !self.is_disturbed(Who::Daemon(daemon), a.at, arrival.at))
    }
}

/// The daemon that a caller sent a request to, by the request's id: `d1-c0-7`, `check-1-0-..` or `v1-7`.
fn sender(request: &str) -> Option<usize> {
    let rest = ["check-", "d", "v"]
        .iter()
        .find_map(|p| request.strip_prefix(p))?;
    rest.split('-').next()?.parse().ok()
}

/// No engine got more requests than the limit that it announced allows.
pub(crate) fn kept(soak: &Soak) {
    let announced = soak.limits.announced.lock().expect("no panic").clone();
    for limit in announced {
        let arrivals = soak.engines[limit.engine].engine.limit().arrivals();
        let counts = |a: &&Arrival| {
            let is_due = a.at >= limit.from + GRACE && a.at <= limit.to;
            is_due && soak.limits.binds(&limit, a, &arrivals)
        };
        let bound: Vec<Instant> = arrivals.iter().filter(counts).map(|a| a.at).collect();
        let allowed = TOLERANCE * limit.per_second * WINDOW.as_secs_f64() + BURST;
        for &first in &bound {
            let before = first.checked_sub(WINDOW).unwrap_or(first);
            if soak
                .limits
                .is_disturbed(Who::Engine(limit.engine), before, first + WINDOW)
            {
                continue;
            }
            let within = bound
                .iter()
                .filter(|&&at| at >= first && at <= first + WINDOW);
            let count = within.count() as f64;
            if count > allowed {
                soak.broke(format!(
                    "{count} requests in a window, {allowed:.1} allowed: {limit:?}"
                ));
                break;
            }
        }
    }
}
