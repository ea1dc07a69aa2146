//! Waits before the first plan of a service, so that it is made for all engines that start together.
//!
//! Engines that start together register within about one heartbeat, and a plan for the first of them gives each more
//! copies of fewer layers than one for all. So while no engine of a service holds layers, its plan waits until the
//! number of its engines has been the same for a while. Each service waits for its own engines only, and not for
//! longer than [`MAX_WARM_UP`]: engines may come and go all the time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::layout::EngineState;

/// Time for which the number of engines of a service must stay the same before its first plan.
pub(super) const WARM_UP: Duration = Duration::from_millis(600);
/// Time after the first engine of a service was seen from which its plan waits no longer.
pub(super) const MAX_WARM_UP: Duration = Duration::from_millis(2_400);

/// What a service's plan has to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Readiness {
    /// It is made now; the time for which it waited, if this ends a wait.
    Ready(Option<Duration>),
    /// It waits for further engines; whether the wait begins now.
    Waiting { is_new: bool },
}

/// The engines of a service of which none holds layers.
#[derive(Clone, Copy, Debug)]
struct WarmUp {
    /// Number of engines at the last check.
    engines: usize,
    /// Time since which their number has been the same.
    unchanged_since: Instant,
    /// When the first of them was seen.
    first_seen: Instant,
    /// Last check with at least one engine.
    last_seen: Instant,
    has_ended: bool,
}

/// The waits of all services.
#[derive(Debug, Default)]
pub(super) struct WarmUps {
    by_service: HashMap<Arc<str>, WarmUp>,
}

impl WarmUps {
    /// Returns whether the plan of a service with these engines has to wait.
    pub(super) fn check(
        &mut self,
        service: &Arc<str>,
        engines: &[EngineState],
        now: Instant,
    ) -> Readiness {
        if engines.iter().any(|e| e.layers.is_some()) {
            self.by_service.remove(service);
            return Readiness::Ready(None);
        }
        if engines.is_empty() {
            return Readiness::Ready(None);
        }
        let is_recent = |w: &WarmUp| now.duration_since(w.last_seen) < MAX_WARM_UP;
        let known = self.by_service.get(service).copied().filter(is_recent);
        let is_new = known.is_none();
        let mut warm_up = known.unwrap_or(WarmUp {
            engines: engines.len(),
            unchanged_since: now,
            first_seen: now,
            last_seen: now,
            has_ended: false,
        });
        if warm_up.engines != engines.len() {
            warm_up.engines = engines.len();
            warm_up.unchanged_since = now;
        }
        warm_up.last_seen = now;
        let waited = now.duration_since(warm_up.first_seen);
        let is_ready =
            now.duration_since(warm_up.unchanged_since) >= WARM_UP || waited >= MAX_WARM_UP;
        let ends = is_ready && !warm_up.has_ended;
        warm_up.has_ended |= is_ready;
        self.by_service.insert(Arc::clone(service), warm_up);
        match is_ready {
            true => Readiness::Ready(ends.then_some(waited)),
            false => Readiness::Waiting { is_new },
        }
    }

    /// Forgets services that are no longer configured.
    pub(super) fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| is_configured(service));
    }
}
