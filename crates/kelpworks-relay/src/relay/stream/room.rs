//! Waits for room at the engines of a service whose requests compete for it.
//!
//! A request that finds no room waits in the order of the service's queue. It is refused at once when requests of its
//! urgency waited in vain just before; its caller is told when to come back.

use std::time::Duration;

use kelpworks::verdict::Verdict;
use log::info;
use tokio::time::Instant;

use super::Failure;
use super::StreamRelay;
use super::attempt::CAPACITY_POLL_INTERVAL;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::contention::Level;
use crate::contention::RETURNED_AGE;
use crate::contention::TURN_GRACE;
use crate::contention::WaitingRequest;
use crate::contention::first_asked;
use crate::contention::shortage::Outcome;
use crate::path::NoPath;
use crate::path::Path;
use crate::path::RoomPolicy;
use crate::permit::Admission;
use crate::relay::InboundRequest;
use crate::shared::contention::QueuedRequest;

/// Standard deviations of the number of requests at an engine that plans leave free where requests compete for
/// room. An engine that is full refuses, and each refusal uses a retry that a broken stream may need.
const SPARE_DEVIATIONS: f64 = 1.5;
/// Time for which a request waits for room, and [`TURN_GRACE`] longer if it is the first. Its caller leaves after two
/// seconds without an event, and reading the prompt takes up to half a second.
const ROOM_WAIT: Duration = Duration::from_millis(700);
/// Fraction of the room kept from its level that a request may use whose caller has come back. It has no further try.
const RETURNED_RELIEF: f64 = 0.5;

impl<D: Adapter, E: EngineApi> StreamRelay<D, E> {
    /// Returns the urgency of the request, and that of the most urgent ones once its answer has begun.
    fn level(&self) -> Level {
        let level = self.inbound.urgency.unwrap_or_default();
        if self.has_begun() { Level(0) } else { level }
    }

    /// Whether the caller has received events.
    fn has_begun(&self) -> bool {
        self.last_event.is_some()
    }

    /// Returns when the caller first asked.
    fn origin(&self) -> Instant {
        let InboundRequest {
            arrived,
            route,
            head,
            ..
        } = &self.inbound;
        first_asked(*arrived, route.timeout, head.time_left)
    }

    /// Returns how much of the engines' capacity the request may use.
    pub(super) fn room_policy(&self) -> RoomPolicy {
        let Some(level) = self.inbound.urgency else {
            return RoomPolicy::UNLIMITED;
        };
        let fill_limit = match self.has_begun() {
            true => 1.0,
            false => self.fill_limit(level),
        };
        RoomPolicy {
            fill_limit,
            spare_deviations: SPARE_DEVIATIONS,
        }
    }

    fn fill_limit(&self, level: Level) -> f64 {
        let service = &self.inbound.service.name;
        let limit = self.shared.contention().fill_limit(service, level);
        let age = self.inbound.arrived.duration_since(self.origin());
        match age >= RETURNED_AGE {
            true => limit + (1.0 - limit) * RETURNED_RELIEF,
            false => limit,
        }
    }

    /// Chooses a path; if there is none, waits for one in the order of the service's queue.
    pub(super) async fn choose_in_turn(&mut self) -> Result<(Path, Admission), Failure> {
        let service = self.inbound.service.name.clone();
        let level = self.level();
        let started = Instant::now();
        let until = started + ROOM_WAIT.min(self.inbound.remaining());
        let has_waiting = self.shared.contention().has_waiting(&service);
        let mut queued = match has_waiting {
            true => Some(self.enter_queue(NoPath::Queued, level, started, until)?),
            false => None,
        };
        let mut has_waited = false;
        loop {
            let runnable = self.permit_run().await?;
            let may_try = queued.as_ref().is_none_or(QueuedRequest::may_try);
            let chosen = may_try.then(|| self.choose_and_admit(runnable));
            let reason = match chosen {
                Some(Ok(chosen)) => {
                    self.test_run = None;
                    self.record_room(level, queued, has_waited.then_some(started));
                    return Ok(chosen);
                }
                Some(Err(reason)) => reason,
                None => NoPath::Queued,
            };
            let now = Instant::now();
            if !has_waited {
                has_waited = true;
                let mut contention = self.shared.contention();
                contention.record(&service, level, Outcome::Short, now);
            }
            let ticket = match queued.take() {
                Some(ticket) => ticket,
                None => self.enter_queue(reason, level, started, until)?,
            };
            if ticket.is_overdue(now) || self.is_waiting_useless(reason, until + TURN_GRACE) {
                let mut contention = self.shared.contention();
                contention.record_failed_wait(&service, level, now);
                drop(contention);
                return Err(self.refuse_for_room(reason, level, started));
            }
            queued = Some(ticket);
            tokio::time::sleep(CAPACITY_POLL_INTERVAL).await;
        }
    }

    /// Puts the request into the queue. Refuses one that has not begun at once if its wait would most likely be in
    /// vain, and any if the queue is full.
    fn enter_queue(
        &self,
        reason: NoPath,
        level: Level,
        started: Instant,
        until: Instant,
    ) -> Result<QueuedRequest, Failure> {
        let service = &self.inbound.service.name;
        let is_futile = {
            let contention = self.shared.contention();
            contention.is_wait_futile(service, level, Instant::now())
        };
        let queued = match is_futile && !self.has_begun() {
            true => None,
            false => self
                .shared
                .enqueue(service, self.waiting_request(level, until)),
        };
        queued.ok_or_else(|| self.refuse_for_room(reason, level, started))
    }

    fn waiting_request(&self, level: Level, until: Instant) -> WaitingRequest {
        let layers = self.profile.as_ref().map_or(1, |p| p.layers);
        WaitingRequest {
            team: self.inbound.team.clone(),
            level,
            origin: self.origin(),
            target: until,
            cost: self.tokens() * f64::from(layers),
            begun: self.has_begun(),
        }
    }

    /// Records that the request took room: at once, or after a wait since `waited_since`.
    fn record_room(
        &self,
        level: Level,
        queued: Option<QueuedRequest>,
        waited_since: Option<Instant>,
    ) {
        let now = Instant::now();
        let service = &self.inbound.service.name;
        if let Some(queued) = queued {
            queued.admit(now);
        }
        let mut contention = self.shared.contention();
        if waited_since.is_none() {
            contention.record(service, level, Outcome::AtOnce, now);
        }
        contention.record_admission(service, level, now);
        drop(contention);
        let Some(since) = waited_since else {
            return;
        };
        let waited = now.duration_since(since);
        metrics::histogram!("kelpworks_room_wait_seconds").record(waited.as_secs_f64());
        info!(
            target: "decision",
            request:% = self.inbound.id,
            level = level.0,
            age_ms = now.duration_since(self.origin()).as_millis() as u64,
            waited_ms = waited.as_millis() as u64;
            "admitted after a wait"
        );
    }

    /// Books the time at which the caller of a request that engines refused may come back; `None` where requests don't
    /// compete, or this one may have run.
    pub(super) fn book_return(&self, verdict: Verdict) -> Option<Duration> {
        let level = self
            .inbound
            .urgency
            .filter(|_| verdict == Verdict::NotRun)?;
        let now = Instant::now();
        let service = &self.inbound.service.name;
        let mut contention = self.shared.contention();
        contention.record(service, level, Outcome::Short, now);
        Some(contention.retry_after(service, level, now))
    }

    /// Returns the failure of a request for which there is no room, and logs it.
    fn refuse_for_room(&self, reason: NoPath, level: Level, started: Instant) -> Failure {
        let now = Instant::now();
        let available_in = self.available_in(reason);
        let service = &self.inbound.service.name;
        let (retry_after, limit) = {
            let mut contention = self.shared.contention();
            let retry_after = match self.has_begun() {
                true => None,
                false => Some(contention.retry_after(service, level, now)),
            };
            (retry_after, contention.fill_limit(service, level))
        };
        info!(
            target: "decision",
            request:% = self.inbound.id,
            level = level.0,
            limit,
            age_ms = now.duration_since(self.origin()).as_millis() as u64,
            waited_ms = now.duration_since(started).as_millis() as u64,
            retry_after_ms = retry_after.map(|r| r.as_millis() as u64),
            why:% = reason.as_str();
            "no room"
        );
        let label = level.0.to_string();
        metrics::counter!("kelpworks_no_room_total", "level" => label).increment(1);
        self.log_no_path(reason);
        Failure {
            available_in: available_in.or(retry_after),
            ..Failure::no_path(reason.as_str())
        }
    }
}
