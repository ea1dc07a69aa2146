//! Waits before the first plan of a service, so that it is made for all engines that start together.
//!
//! Engines that start together register within seconds, and a plan for the first of them distributes the layers in
//! another way than one for all. So while no engine of a service holds layers, its plan waits until no further engine
//! has registered for a while. Each service waits for its own engines only. Engines that come and go don't prolong the
//! wait, as they don't make more of them, and it ends after [`MAX_WARM_UP`].

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::layout::EngineState;

/// Time without a further engine of a service before its first plan.
pub(super) const WARM_UP: Duration = Duration::from_millis(600);
/// Time after the first engine of a service was seen from which its plan waits no longer.
pub(super) const MAX_WARM_UP: Duration = Duration::from_secs(10);

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
    /// Highest number of engines at any check.
    most_engines: usize,
    /// When that number was reached.
    grown: Instant,
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
            most_engines: engines.len(),
            grown: now,
            first_seen: now,
            last_seen: now,
            has_ended: false,
        });
        if warm_up.most_engines < engines.len() {
            warm_up.most_engines = engines.len();
            warm_up.grown = now;
        }
        warm_up.last_seen = now;
        let waited = now.duration_since(warm_up.first_seen);
        let is_ready = now.duration_since(warm_up.grown) >= WARM_UP || waited >= MAX_WARM_UP;
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
