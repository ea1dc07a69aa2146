//! Streams of events from engines that pass activations on along a path.
//!
//! The daemon chooses a path, sends the request to its first engine and passes whole events on.
//! When the stream falls silent, the engines of the path that nothing has confirmed since are passed
//! over, and where the route allows it the stream is continued on another path after the last event,
//! within the same answer.

mod attempt;
mod pace;
mod reroute;
mod silence;
mod trace;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use kelpworks::verdict::Verdict;
use log::info;
use tokio::time::Instant;

use super::Counted;
use super::Refusal;
use super::Ticket;
use super::call::give_up;
use super::events::Cutter;
use super::outcome::Outcome;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::adapter::LayerRange;
use crate::config::EngineProfile;
use crate::config::RouteKind;
use crate::fleet::UpstreamKey;
use crate::permit::AdmissionGuard;
use crate::permit::Permit;
use crate::pool::Connection;
use crate::shared::Shared;
use crate::sync::lock;
use attempt::RanAt;
use attempt::Reservation;
use pace::Pace;

/// Least time left for a further attempt: reading a usual prompt again.
const WORTH_TRYING: Duration = Duration::from_millis(50);
/// Attempts of one request, with those that were refused without having run.
const MAX_ATTEMPTS: u32 = 6;
/// Pause before an attempt that follows a refusal; doubled with each one.
const REFUSED_PAUSE: Duration = Duration::from_millis(25);
/// Part of a route's gap target from which a pause is a reason to ask the engines of the path how
/// slow they are: more than any pause of a calm fleet (40 ms of 250), and still on time.
const LATE_PART: f64 = 0.6;
/// Largest event that is waited for.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Why an attempt ended before the stream did.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Failure {
    verdict: Verdict,
    why: &'static str,
    /// Whether it looks as if the request had crashed an engine.
    crash: bool,
    /// Whether the next attempt was asked for and allowed already.
    permitted: bool,
    /// Whether there was no path, so that nothing was sent and no repeat was used.
    unsent: bool,
}

impl Failure {
    fn new(verdict: Verdict, why: &'static str) -> Failure {
        Failure {
            verdict,
            why,
            crash: false,
            permitted: false,
            unsent: false,
        }
    }

    fn no_path(why: &'static str) -> Failure {
        Failure {
            unsent: true,
            ..Failure::new(Verdict::NotRun, why)
        }
    }

    fn crash(why: &'static str) -> Failure {
        Failure {
            crash: true,
            ..Failure::new(Verdict::MayHaveRun, why)
        }
    }
}

/// A stream that is being read.
struct Reading {
    body: Incoming,
    connection: Connection,
    course: Course,
    cutter: Cutter,
    /// When this attempt last brought something; when it was sent, before that.
    heard: Instant,
    begun: bool,
}

/// The engines that work on a request, and what it is counted for there.
struct Course {
    parts: Vec<(UpstreamKey, LayerRange)>,
    /// Times that the path was changed while the request ran.
    reroutes: u32,
    /// When it was last looked whether it passes slow engines.
    looked: Option<Instant>,
    _reservation: Reservation,
}

/// A request to engines, over all its attempts.
struct Relayed<D, E> {
    shared: Arc<Shared>,
    /// Where orders to change the path of a running request go.
    orders: Arc<E>,
    ticket: Ticket,
    engines: Option<Arc<EngineProfile>>,
    /// First engines of the attempts that may have run, as far as they have not ended.
    ran_at: Vec<RanAt>,
    attempts: u32,
    /// Whether an attempt may have reached an engine, so that any other is a repeat.
    reached: bool,
    /// Leave for the next attempt, where it was asked for already.
    permit: Mutex<Option<Permit>>,
    /// Attempts refused in a row.
    refusals: u32,
    /// Id of the last event that the caller has, or had before.
    last_event: Option<u64>,
    weight_version: Option<u64>,
    reading: Option<Reading>,
    /// The stream that fell silent last; it may still go on.
    silent: Option<Reading>,
    /// What the caller has seen of the stream's pace.
    pace: Pace,
    done: bool,
    _counted: Counted,
    _adapter: std::marker::PhantomData<D>,
}

/// Forwards a streamed request; the answer begins with its first event.
pub(super) async fn serve<D: Adapter, E: EngineApi>(
    shared: Arc<Shared>,
    orders: Arc<E>,
    ticket: Ticket,
    counted: Counted,
) -> Outcome {
    let mut relayed: Relayed<D, E> = Relayed {
        engines: ticket.service.engine_profile.clone(),
        last_event: ticket.head.last_event,
        shared,
        orders,
        ticket,
        ran_at: Vec::new(),
        attempts: 0,
        reached: false,
        permit: Mutex::default(),
        refusals: 0,
        weight_version: None,
        reading: None,
        silent: None,
        pace: Pace::default(),
        done: false,
        _counted: counted,
        _adapter: std::marker::PhantomData,
    };
    let (status, headers, first) = match relayed.begin().await {
        Ok(begun) => begun,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let arrived = relayed.ticket.arrived;
    relayed.pace.passed_on(arrived, Instant::now());
    let rest = stream::unfold(relayed, |mut relayed| async move {
        let piece = relayed.next().await?;
        Some((piece, relayed))
    });
    let pieces = stream::iter([Ok(first)]).chain(rest).boxed();
    Outcome::Streamed {
        status,
        headers,
        pieces,
    }
}

impl<D: Adapter, E: EngineApi> Relayed<D, E> {
    /// Makes attempts until the first event is there.
    async fn begin(&mut self) -> Result<(StatusCode, HeaderMap, Bytes), Refusal> {
        let mut verdict = Verdict::NotRun;
        loop {
            let failure = match self.attempt().await {
                Ok((status, headers)) => match self.read().await {
                    Ok(first) => return Ok((status, headers, first.unwrap_or_default())),
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            verdict = verdict.max(failure.verdict);
            self.failed(failure);
            // Without a path it has waited for one; the caller is told to come back.
            if failure.unsent || (!failure.permitted && !self.may_go_on(verdict)) {
                return Err(give_up(&self.ticket, verdict, failure.why));
            }
            self.pause(failure).await;
        }
    }

    /// The next piece; `None` after the end.
    async fn next(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.done {
            return None;
        }
        loop {
            let failure = match self.read().await {
                Ok(Some(events)) => {
                    self.pace.passed_on(self.ticket.arrived, Instant::now());
                    return Some(Ok(events));
                }
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(failure) => failure,
            };
            if let Err(why) = self.resume(failure).await {
                self.done = true;
                self.log_end("broken off", why);
                return Some(Err(std::io::Error::other(why)));
            }
        }
    }

    /// Goes on by another path after the last event. A stream that was only silent is kept until the
    /// new one has begun, and is gone back to when none begins.
    async fn resume(&mut self, failure: Failure) -> Result<(), &'static str> {
        let silent = self.silent.take();
        let mut failure = failure;
        loop {
            self.failed(failure);
            // A repeat that found no path was not used, and is still there.
            let unused = failure.unsent && self.refusals < MAX_ATTEMPTS;
            if !unused && !failure.permitted && !self.may_go_on(Verdict::MayHaveRun) {
                self.reading = silent;
                return match self.reading {
                    Some(_) => Ok(()),
                    None => Err(failure.why),
                };
            }
            self.pause(failure).await;
            match self.attempt().await {
                Ok(_) => return Ok(()),
                Err(next) => failure = next,
            }
        }
    }

    /// Waits a little after a refusal, since what refused is busy.
    async fn pause(&mut self, failure: Failure) {
        if failure.verdict == Verdict::MayHaveRun {
            self.refusals = 0;
            return;
        }
        let pause = REFUSED_PAUSE * 2u32.pow(self.refusals.min(4));
        self.refusals += 1;
        tokio::time::sleep(pause.min(self.ticket.left())).await;
    }

    fn finish(&mut self) {
        self.done = true;
        self.shared.crashes().clear(self.ticket.fingerprint);
        self.log_end("finished", "end of the stream");
    }

    /// Whether a further attempt is allowed by the route, the time left and the fleet's bound.
    fn may_go_on(&self, verdict: Verdict) -> bool {
        let kind = self.ticket.route.kind;
        let resumable = matches!(kind, RouteKind::Stream { resumable: true });
        let repeatable = verdict == Verdict::NotRun || resumable;
        let now = Instant::now();
        if !repeatable || self.attempts >= MAX_ATTEMPTS || self.ticket.left() < WORTH_TRYING {
            return false;
        }
        if self
            .shared
            .crashes()
            .is_refused(self.ticket.fingerprint, now)
        {
            return false;
        }
        let mut permit = lock(&self.permit);
        if self.reached && permit.is_none() {
            *permit = self.shared.permit_retry(&self.ticket.service.name, now);
        }
        !self.reached || permit.is_some()
    }

    /// Permission for an attempt that begins now, at an engine that admits it.
    fn permit(&mut self, admitted: AdmissionGuard) -> Result<Permit, Failure> {
        let permit = match self.reached {
            false => Some(Permit::first()),
            true => lock(&self.permit).take(),
        };
        match permit {
            Some(permit) => Ok(permit.with_admission(admitted)),
            None => {
                admitted.refund();
                Err(Failure::no_path("no repeat left"))
            }
        }
    }

    /// Notes a failed attempt.
    fn failed(&mut self, failure: Failure) {
        self.reading = None;
        let mut crashes = 0;
        if failure.crash {
            let now = Instant::now();
            crashes = self
                .shared
                .crashes()
                .record_crash(self.ticket.fingerprint, now);
        }
        info!(
            target: "decision",
            request:% = self.ticket.id,
            attempt = self.attempts,
            verdict:% = failure.verdict,
            last_event = self.last_event.unwrap_or(0),
            crashes,
            left_ms = self.ticket.left().as_millis() as u64,
            why:% = failure.why;
            "attempt failed"
        );
        let labels = [("why", failure.why)];
        metrics::counter!("kelpworks_failed_attempts_total", &labels).increment(1);
    }

    /// Reads on to the next whole events; `None` at the end of the stream.
    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        let Some(mut reading) = self.reading.take() else {
            return Err(Failure::new(Verdict::MayHaveRun, "no attempt under way"));
        };
        loop {
            let since = reading.heard;
            let waited = match reading.begun {
                true => {
                    let frame = reading.body.frame();
                    self.wait_for_more(frame, &mut reading.course, since).await
                }
                false => {
                    let parts = &reading.course.parts;
                    self.wait_for_first(reading.body.frame(), parts, since)
                        .await
                }
            };
            let frame = match waited {
                Ok(frame) => frame,
                Err(failure) => {
                    self.silent = (failure.permitted && reading.begun).then_some(reading);
                    return Err(failure);
                }
            };
            let now = Instant::now();
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let pause = now.duration_since(reading.heard);
                    if reading.begun {
                        self.shared.record_pause(pause);
                    }
                    if pause > self.ticket.route.gap_target.mul_f64(LATE_PART) {
                        let keys = reading.course.parts.iter().map(|&(key, _)| key);
                        self.shared.suspects().suspect(keys);
                    }
                    reading.heard = now;
                    reading.begun = true;
                    self.confirm(&reading.course.parts, now);
                    reading.cutter.push(&bytes);
                    let events = reading.cutter.take(self.last_event);
                    self.last_event = events.last_id.or(self.last_event);
                    if reading.cutter.rest() > MAX_EVENT_BYTES {
                        return Err(Failure::new(Verdict::MayHaveRun, "event too large"));
                    }
                    if events.bytes.is_empty() {
                        continue;
                    }
                    self.leave_slow_engines(&mut reading.course, now).await;
                    self.reading = Some(reading);
                    return Ok(Some(events.bytes));
                }
                Some(Err(_)) => return Err(self.broken(&reading)),
                None if reading.cutter.rest() > 0 => return Err(self.broken(&reading)),
                None => {
                    if let Some(&(first, _)) = reading.course.parts.first() {
                        self.shared.fleet().record_outcome(first, false);
                    }
                    self.shared.pool.keep(reading.connection);
                    return Ok(None);
                }
            }
        }
    }

    fn confirm(&self, parts: &[(UpstreamKey, LayerRange)], now: Instant) {
        let mut fleet = self.shared.fleet();
        for &(key, _) in parts {
            fleet.record_success(key, now);
        }
    }

    /// A stream that broke off. The engine that closed it may live: then the next attempts show it, and
    /// a dead one takes no connections.
    fn broken(&self, reading: &Reading) -> Failure {
        if let Some(&(first, _)) = reading.course.parts.first() {
            self.shared.fleet().record_outcome(first, true);
        }
        Failure::crash("stream broken off")
    }
}
