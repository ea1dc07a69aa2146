//! Services whose requests compete for room by their priorities: what waits, what was short, and what is
//! reserved.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use kelpworks::sync::lock;
use log::info;
use tokio::time::Instant;

use super::Shared;
use crate::contention::Level;
use crate::contention::Returns;
use crate::contention::Ticket;
use crate::contention::WaitQueue;
use crate::contention::WaitingRequest;
use crate::contention::pooled::Pooled;
use crate::contention::reserve::Reserve;
use crate::contention::shortage::FIGURES;
use crate::contention::shortage::Outcome;
use crate::contention::shortage::Shortage;
use crate::contention::shortage::figures_of;
use crate::contention::shortage::rates_of;

/// Consecutive waits of a level without success after which its requests are refused at once.
const MAX_FAILED_WAITS: u32 = 2;
/// Time after such a wait in which requests of the level are refused at once; then one waits again.
const FAILED_WAIT_PERIOD: Duration = Duration::from_millis(700);
/// Change of a limit from which it is logged.
const LOGGED_LIMIT_CHANGE: f64 = 0.05;

/// State of all services whose requests compete for room.
#[derive(Debug)]
pub(crate) struct Contention {
    services: HashMap<Arc<str>, ServiceContention>,
    /// Differs between daemons, so that they spread the retries of their callers differently.
    seed: u64,
}

#[derive(Debug)]
struct ServiceContention {
    queue: WaitQueue,
    shortage: Shortage,
    pooled: Pooled<FIGURES>,
    reserve: Reserve,
    returns: Returns,
    /// Latest waits without success, by level.
    failed_waits: HashMap<Level, FailedWaits>,
    /// Limits as last logged, by level.
    logged_limits: HashMap<Level, f64>,
}

#[derive(Clone, Copy, Debug)]
struct FailedWaits {
    /// Number in a row.
    count: u32,
    last: Instant,
}

/// Figures of a service for a peer; see [`Pooled::message`].
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceFigures {
    pub(crate) service: Arc<str>,
    pub(crate) figures: Vec<f64>,
}

impl Contention {
    pub(crate) fn new(seed: u64) -> Contention {
        Contention {
            services: HashMap::new(),
            seed,
        }
    }

    fn service(&mut self, service: &Arc<str>, now: Instant) -> &mut ServiceContention {
        let seed = self.seed;
        let entry = self.services.entry(Arc::clone(service));
        entry.or_insert_with(|| ServiceContention {
            queue: WaitQueue::default(),
            shortage: Shortage::new(now),
            pooled: Pooled::new(now),
            reserve: Reserve::default(),
            returns: Returns::new(seed),
            failed_waits: HashMap::new(),
            logged_limits: HashMap::new(),
        })
    }

    /// Returns the fraction of an engine's capacity up to which requests of a level may fill it.
    pub(crate) fn fill_limit(&self, service: &str, level: Level) -> f64 {
        let service = self.services.get(service);
        service.map_or(1.0, |s| s.reserve.fill_limit(level))
    }

    /// Counts a request that asked for room.
    pub(crate) fn record(
        &mut self,
        service: &Arc<str>,
        level: Level,
        outcome: Outcome,
        now: Instant,
    ) {
        self.service(service, now)
            .shortage
            .record(level, outcome, now);
    }

    /// Counts a request that took room.
    pub(crate) fn record_admission(&mut self, service: &Arc<str>, level: Level, now: Instant) {
        let service = self.service(service, now);
        service.returns.record_admission(level, now);
        service.failed_waits.remove(&level);
    }

    /// Records a request that waited and found no room.
    pub(crate) fn record_failed_wait(&mut self, service: &Arc<str>, level: Level, now: Instant) {
        let waits = &mut self.service(service, now).failed_waits;
        let waits = waits.entry(level).or_insert(FailedWaits {
            count: 0,
            last: now,
        });
        waits.count += 1;
        waits.last = now;
    }

    /// Whether a wait of a request of this level would most likely be in vain.
    pub(crate) fn is_wait_futile(&self, service: &str, level: Level, now: Instant) -> bool {
        let waits = self.services.get(service).map(|s| &s.failed_waits);
        waits.and_then(|w| w.get(&level)).is_some_and(|w| {
            w.count >= MAX_FAILED_WAITS && now.duration_since(w.last) < FAILED_WAIT_PERIOD
        })
    }

    /// Returns when the caller of a refused request of this level is to come back.
    pub(crate) fn retry_after(
        &mut self,
        service: &Arc<str>,
        level: Level,
        now: Instant,
    ) -> Duration {
        self.service(service, now).returns.retry_after(level, now)
    }

    /// Returns whether requests of a service wait for room.
    pub(crate) fn has_waiting(&self, service: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|s| !s.queue.is_empty())
    }

    /// Returns the figures for the peer at an address.
    pub(crate) fn messages(&self, peer: &str, now: Instant) -> Vec<ServiceFigures> {
        let services = self.services.iter();
        services
            .map(|(service, s)| ServiceFigures {
                service: Arc::clone(service),
                figures: s.pooled.message(peer, now),
            })
            .collect()
    }

    /// Applies the figures of a peer that calls this daemon.
    pub(crate) fn on_call(&mut self, peer: &Arc<str>, messages: &[ServiceFigures], now: Instant) {
        for message in messages {
            let service = self.service(&message.service, now);
            service.pooled.on_call(peer, &message.figures, now);
        }
    }

    /// Applies the figures with which a peer replies.
    pub(crate) fn on_reply(&mut self, peer: &Arc<str>, messages: &[ServiceFigures], now: Instant) {
        for message in messages {
            let service = self.service(&message.service, now);
            service.pooled.on_reply(peer, &message.figures, now);
        }
    }

    /// Forgets what was exchanged with peers that are no longer live.
    pub(crate) fn retain_peers(&mut self, is_live: impl Fn(&str) -> bool) {
        for service in self.services.values_mut() {
            service.pooled.retain(&is_live);
        }
    }

    /// Adapts the limits to what the fleet lacks. Drops services whose requests do not compete any more.
    pub(crate) fn update(&mut self, is_contended: impl Fn(&str) -> bool, now: Instant) {
        self.services
            .retain(|name, s| !s.queue.is_empty() || is_contended(name));
        for (name, service) in &mut self.services {
            service.update(now);
            service.report(name);
        }
    }
}

impl ServiceContention {
    fn update(&mut self, now: Instant) {
        let local = figures_of(&self.shortage.rates(now));
        self.pooled.set_local(local, now);
        let rates = rates_of(&self.pooled.estimate(now));
        self.reserve.update(&rates, now);
    }

    /// Sets the gauges, and logs the limits that changed.
    fn report(&mut self, name: &Arc<str>) {
        let waiting = self.queue.len() as f64;
        let label = Arc::clone(name);
        metrics::gauge!("kelpworks_waiting_requests", "service" => label).set(waiting);
        for level in (0..crate::contention::MAX_LEVELS as u8).map(Level) {
            let limit = self.reserve.fill_limit(level);
            let logged = self.logged_limits.entry(level).or_insert(1.0);
            if (limit - *logged).abs() < LOGGED_LIMIT_CHANGE {
                continue;
            }
            info!(
                target: "decision",
                service:% = name,
                level = level.0,
                before = *logged,
                limit,
                waiting = self.queue.len();
                "room limit changed"
            );
            *logged = limit;
            let labels = [
                ("service", name.to_string()),
                ("level", level.0.to_string()),
            ];
            metrics::gauge!("kelpworks_room_limit", &labels).set(limit);
        }
    }
}

/// A request in the queue of its service; leaves it when dropped.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    shared: Arc<Shared>,
    service: Arc<str>,
    ticket: Ticket,
}

impl QueuedRequest {
    /// Returns whether it may try for room now; see [`WaitQueue::may_try`].
    pub(crate) fn may_try(&self) -> bool {
        let contention = self.shared.contention();
        let service = contention.services.get(&self.service);
        service.is_none_or(|s| {
            let is_limited = |level| s.reserve.fill_limit(level) < 1.0;
            s.queue.may_try(self.ticket, is_limited)
        })
    }

    /// Returns whether it is to give up; see [`WaitQueue::is_overdue`].
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        let contention = self.shared.contention();
        let service = contention.services.get(&self.service);
        service.is_some_and(|s| s.queue.is_overdue(self.ticket, now))
    }

    /// Records that it took room.
    pub(crate) fn admit(self, now: Instant) {
        let mut contention = self.shared.contention();
        if let Some(service) = contention.services.get_mut(&self.service) {
            service.queue.admit(self.ticket, now);
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut contention = self.shared.contention();
        if let Some(service) = contention.services.get_mut(&self.service) {
            service.queue.leave(self.ticket);
        }
    }
}

impl Shared {
    /// Locks the state of competing requests.
    pub(crate) fn contention(&self) -> MutexGuard<'_, Contention> {
        lock(&self.contention)
    }

    /// Puts a request into the queue of its service; `None` if the queue is full.
    pub(crate) fn enqueue(
        self: &Arc<Shared>,
        service: &Arc<str>,
        request: WaitingRequest,
    ) -> Option<QueuedRequest> {
        let now = Instant::now();
        let ticket = {
            let mut contention = self.contention();
            contention.service(service, now).queue.enter(request, now)?
        };
        Some(QueuedRequest {
            shared: Arc::clone(self),
            service: Arc::clone(service),
            ticket,
        })
    }
}
