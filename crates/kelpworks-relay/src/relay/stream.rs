//! Streams of events from engines that pass activations on along a path.
//!
//! The daemon chooses a path, sends the request to its first engine and passes complete events on.
//! When the stream stalls, the likely engines among those of the path that have shown no progress
//! since are ejected. Where the route allows it, the stream is resumed on another path after the
//! last event, within the same response.

mod attempt;
mod by_peer;
mod reroute;
mod room;
mod stall;
mod survival;
mod timings;
mod trace;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use kelpworks::memory_budget;
use kelpworks::memory_budget::SMALL_BYTES;
use kelpworks::sync::lock;
use kelpworks::verdict::Verdict;
use kelpworks_coord::crash_ledger::Lasted;
use kelpworks_coord::time::Span;
use log::info;
use tokio::time::Instant;

use super::InFlightGuard;
use super::InboundRequest;
use super::Refusal;
use super::call::MALFORMED;
use super::call::NO_MEMORY;
use super::call::final_refusal;
use super::events::EventSplitter;
use super::handover::HandoverClient;
use super::handover::PeerConnection;
use super::reply::Reply;
use super::runs::Runs;
use crate::adapter::Adapter;
use crate::adapter::EngineApi;
use crate::adapter::LayerRange;
use crate::config::EngineProfile;
use crate::config::RouteKind;
use crate::engine_calls::EngineCalls;
use crate::fleet::UpstreamKey;
use crate::permit::Admission;
use crate::permit::Permit;
use crate::permit::RequestAttempts;
use crate::permit::Retry;
use crate::pool::AnswerBody;
use crate::pool::Connection;
use crate::reach::Evidence;
use crate::shared::Shared;
use crate::shared::crashes::Break;
use crate::shared::crashes::BrokenAttempt;
use crate::shared::crashes::Incarnation;
use crate::shared::crashes::TestRun;
use attempt::Reservation;
use survival::Survival;
use timings::Timings;

/// Minimum time left for another attempt: reading a typical prompt again.
const MIN_RETRY_TIME: Duration = Duration::from_millis(50);
/// Maximum attempts of one request, including those that were refused without having run.
const MAX_ATTEMPTS: u32 = 6;
/// Backoff after the first refusal, doubled with each further one in a row (at most 16 times this).
const REFUSAL_BACKOFF: Duration = Duration::from_millis(25);
/// Fraction of a route's gap target above which a pause makes the daemon query the slowness of the
/// engines of the path: more than any pause of a fault-free fleet (40 ms of 250), and still on
/// time.
const LATE_GAP_FRACTION: f64 = 0.6;
/// Part of the retry budget for requests that have not run, where requests compete.
const NOT_RUN_RETRY_PART: f64 = 0.5;
/// Largest incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Failure reason when the retry budget is used up.
const NO_RETRY: &str = "no repeat left";

/// Failure of an attempt before the end of the stream.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Failure {
    verdict: Verdict,
    reason: &'static str,
    /// Whether the request may have crashed an engine.
    crash: bool,
    /// Whether `may_retry` has already allowed the next attempt.
    retry_permitted: bool,
    /// Whether there was no path, so that nothing was sent and no retry was used.
    no_path_found: bool,
    /// Time after which an engine of a missing layer is known to accept requests again.
    available_in: Option<Duration>,
}

impl Failure {
    fn new(verdict: Verdict, reason: &'static str) -> Failure {
        Failure {
            verdict,
            reason,
            crash: false,
            retry_permitted: false,
            no_path_found: false,
            available_in: None,
        }
    }

    fn no_path(reason: &'static str) -> Failure {
        Failure {
            no_path_found: true,
            ..Failure::new(Verdict::NotRun, reason)
        }
    }

    /// Whether the engine ended its connection.
    fn is_broken_off(&self) -> bool {
        self.crash && self.reason != MALFORMED
    }

    fn crash(reason: &'static str) -> Failure {
        Failure {
            crash: true,
            ..Failure::new(Verdict::MayHaveRun, reason)
        }
    }
}

/// The connection of an attempt.
enum StreamConnection {
    /// To the first engine of its path.
    Engine(Connection),
    /// To the daemon that it was handed over to.
    Peer(PeerConnection),
}

/// Clients by which streams are served.
pub(super) struct Clients<E> {
    /// Sends the orders that change the path of a running request.
    pub(super) engine_calls: Arc<EngineCalls<E>>,
    pub(super) handover: Arc<HandoverClient>,
}

/// The response stream of one attempt.
struct ActiveStream {
    body: AnswerBody,
    connection: StreamConnection,
    running_path: RunningPath,
    splitter: EventSplitter,
    /// Memory of an event that is too large to go uncounted.
    event_memory: memory_budget::Reservation,
    /// When data last arrived; when the request was sent, before any did.
    last_received: Instant,
    started: bool,
    survival: Survival,
}

impl ActiveStream {
    /// Reserves memory for the event that is being received; a stream of small events needs none.
    async fn reserve_event_memory(&mut self) -> memory_budget::Result<()> {
        let needed = match self.splitter.capacity() {
            capacity if capacity > SMALL_BYTES => capacity,
            _ => 0,
        };
        let reserved = self.event_memory.bytes();
        if needed > reserved {
            return self.event_memory.grow(needed - reserved).await;
        }
        if needed < reserved {
            self.event_memory.shrink_to(needed);
        }
        Ok(())
    }
}

/// Path of a running request, with its reservations at the engines; empty while another daemon
/// serves it.
struct RunningPath {
    parts: Vec<(UpstreamKey, LayerRange)>,
    /// Number of reroute attempts since this attempt began.
    reroutes: u32,
    /// When the path was last checked for slow engines.
    last_slowness_check: Option<Instant>,
    _reservation: Reservation,
}

/// State of a streamed request over all its attempts.
struct StreamRelay<D, E> {
    shared: Arc<Shared>,
    clients: Clients<E>,
    inbound: InboundRequest,
    profile: Option<Arc<EngineProfile>>,
    /// First engine of the last attempt of this daemon.
    first_engine: Option<Incarnation>,
    /// When that attempt was sent.
    sent: Instant,
    /// Whether the head of its response has arrived.
    is_answered: bool,
    /// First engines where it may have run, without those known to have ended.
    runs: Runs,
    attempts: u32,
    /// Attempts that were written, whose arrivals decide how long retries count.
    written: RequestAttempts,
    /// Retry that `may_retry` has acquired for the next attempt.
    retry: Mutex<Option<Retry>>,
    /// Test run of a suspect that has been granted and not begun.
    test_run: Option<TestRun>,
    /// Daemons that the request was handed over to.
    tried_peers: Vec<SocketAddr>,
    /// Whether an attempt failed in a way that this daemon's own links may have caused.
    has_link_failure: AtomicBool,
    /// Failed attempts in a row that had not run.
    refusals: u32,
    /// Id of the last event sent to the caller, or named by it when it resumed the stream.
    last_event: Option<u64>,
    weight_version: Option<u64>,
    active: Option<ActiveStream>,
    /// The stream that stalled last; it may still continue.
    stalled: Option<ActiveStream>,
    /// Event timings as the caller sees them.
    timings: Timings,
    done: bool,
    _in_flight_guard: InFlightGuard,
    _adapter: std::marker::PhantomData<D>,
}

/// Forwards a streamed request; returns once the first events have arrived.
pub(super) async fn serve<D: Adapter, E: EngineApi>(
    shared: Arc<Shared>,
    clients: Clients<E>,
    inbound: InboundRequest,
    in_flight_guard: InFlightGuard,
) -> Reply {
    let runs = Runs::new(&shared, &inbound);
    let written = shared.begin_attempts(&inbound.service.name, inbound.origin());
    let mut stream_relay: StreamRelay<D, E> = StreamRelay {
        profile: inbound.service.engine_profile.clone(),
        last_event: inbound.head.last_event,
        weight_version: inbound.handover.as_ref().and_then(|h| h.weight_version),
        shared,
        clients,
        inbound,
        first_engine: None,
        sent: Instant::now(),
        is_answered: false,
        runs,
        attempts: 0,
        written,
        retry: Mutex::default(),
        test_run: None,
        tried_peers: Vec::new(),
        has_link_failure: AtomicBool::new(false),
        refusals: 0,
        active: None,
        stalled: None,
        timings: Timings::default(),
        done: false,
        _in_flight_guard: in_flight_guard,
        _adapter: std::marker::PhantomData,
    };
    let (status, headers, first) = match stream_relay.start().await {
        Ok(started) => started,
        Err(refusal) => return Reply::Refused(refusal),
    };
    let arrived = stream_relay.inbound.arrived;
    stream_relay
        .timings
        .record_forwarded(arrived, Instant::now());
    let rest = stream::unfold(stream_relay, |mut stream_relay| async move {
        let piece = stream_relay.next().await?;
        Some((piece, stream_relay))
    });
    let chunks = stream::iter([Ok(first)]).chain(rest).boxed();
    Reply::Streamed {
        status,
        headers,
        chunks,
    }
}

impl<D: Adapter, E: EngineApi> StreamRelay<D, E> {
    /// Makes attempts until the first events arrive.
    async fn start(&mut self) -> Result<(StatusCode, HeaderMap, Bytes), Refusal> {
        let mut verdict = Verdict::NotRun;
        if let Some(retry) = self.inbound.retry_reserved_elsewhere() {
            *lock(&self.retry) = Some(retry);
        }
        if self.runs.may_have_reached() && !self.may_retry(Verdict::MayHaveRun) {
            return Err(final_refusal(
                &self.inbound,
                &self.runs,
                verdict,
                NO_RETRY,
                None,
            ));
        }
        loop {
            let failure = match self.attempt().await {
                Ok((status, headers)) => match self.read().await {
                    Ok(first) => return Ok((status, headers, first.unwrap_or_default())),
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            verdict = verdict.max(failure.verdict);
            self.record_failure(failure);
            // The attempt has already waited for a path. The refusal has a `Retry-After` if nothing
            // ran.
            if failure.no_path_found || (!failure.retry_permitted && !self.may_retry(verdict)) {
                let Failure {
                    reason,
                    available_in,
                    ..
                } = failure;
                let available_in = available_in.or_else(|| self.book_return(verdict));
                return Err(final_refusal(
                    &self.inbound,
                    &self.runs,
                    verdict,
                    reason,
                    available_in,
                ));
            }
            self.back_off(failure).await;
        }
    }

    /// Returns the next chunk; `None` after the end.
    async fn next(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.done {
            return None;
        }
        loop {
            let failure = match self.read().await {
                Ok(Some(events)) => {
                    self.timings
                        .record_forwarded(self.inbound.arrived, Instant::now());
                    return Some(Ok(events));
                }
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(failure) => failure,
            };
            if let Err(reason) = self.resume(failure).await {
                self.done = true;
                self.log_end("broken off", reason);
                return Some(Err(std::io::Error::other(reason)));
            }
        }
    }

    /// Resumes the stream on another path after the last event. A stream that has only stalled is
    /// kept until the new one has started, and is read on if none does.
    async fn resume(&mut self, failure: Failure) -> Result<(), &'static str> {
        let stalled = self.stalled.take();
        let mut failure = failure;
        loop {
            self.record_failure(failure);
            // An attempt that found no path did not use its permit, which is still available.
            let unused_retry = failure.no_path_found
                && self.refusals < MAX_ATTEMPTS
                && self.check_crashes().is_ok();
            if !unused_retry && !failure.retry_permitted && !self.may_retry(Verdict::MayHaveRun) {
                self.active = stalled;
                // No other request could use it while the stream goes on.
                drop(lock(&self.retry).take());
                return match self.active {
                    Some(_) => Ok(()),
                    None => Err(failure.reason),
                };
            }
            self.back_off(failure).await;
            match self.attempt().await {
                Ok(_) => return Ok(()),
                Err(next) => failure = next,
            }
        }
    }

    /// Waits after a refusal, since the engine that refused is busy.
    async fn back_off(&mut self, failure: Failure) {
        if failure.verdict == Verdict::MayHaveRun {
            self.refusals = 0;
            return;
        }
        let pause = REFUSAL_BACKOFF * 2u32.pow(self.refusals.min(4));
        self.refusals += 1;
        tokio::time::sleep(pause.min(self.inbound.remaining())).await;
    }

    fn finish(&mut self) {
        self.done = true;
        self.shared
            .clear_crashes(&self.inbound.id, self.inbound.fingerprint);
        self.log_end("finished", "end of the stream");
    }

    /// Returns whether the route, the time left, the crash counts and the retry budget allow
    /// another attempt; acquires a retry where it needs one.
    fn may_retry(&self, verdict: Verdict) -> bool {
        let kind = self.inbound.route.kind;
        let resumable = matches!(kind, RouteKind::Stream { resumable: true });
        let retryable = verdict == Verdict::NotRun || resumable;
        let now = Instant::now();
        if !retryable || self.attempts >= MAX_ATTEMPTS || self.inbound.remaining() < MIN_RETRY_TIME
        {
            return false;
        }
        if self.check_crashes().is_err() {
            return false;
        }
        let mut retry = lock(&self.retry);
        if self.runs.may_have_reached() && retry.is_none() {
            let part = self.retry_part(verdict);
            let service = &self.inbound.service.name;
            *retry = self.shared.acquire_retry_part(service, part, now);
        }
        // Once the engines are out of reach, nothing is lost by an attempt of a daemon that may have a
        // retry left. In doubt the engines may only be silent, and go on.
        !self.runs.may_have_reached() || retry.is_some() || self.needs_peer()
    }

    /// Returns the part of the retry budget that another attempt may use. Where requests compete, one that has not run
    /// leaves retries to streams that would be broken off without one; it can come back.
    fn retry_part(&self, verdict: Verdict) -> f64 {
        match verdict == Verdict::NotRun && self.inbound.is_contended() {
            true => NOT_RUN_RETRY_PART,
            false => 1.0,
        }
    }

    /// Returns the permit for an attempt that starts now at an engine that admits it.
    fn permit(&mut self, admission: Admission) -> Result<Permit, Failure> {
        if !self.runs.may_have_reached() {
            return Ok(Permit::new(admission, self.written.attempts(), None));
        }
        match lock(&self.retry).take() {
            Some(retry) => Ok(Permit::new(admission, self.written.attempts(), Some(retry))),
            None => Err(Failure::no_path(NO_RETRY)),
        }
    }

    /// Records a failed attempt and drops its stream.
    fn record_failure(&mut self, failure: Failure) {
        self.active = None;
        if let Some(engine) = &self.first_engine
            && failure.is_broken_off()
        {
            self.runs.record_broken_off(&engine.instance);
        }
        let crashes = match self.first_engine.take().filter(|_| failure.crash) {
            Some(engine) => self.record_break(&engine),
            None => self.shared.crashes().count(self.inbound.fingerprint),
        };
        info!(
            target: "decision",
            request:% = self.inbound.id,
            fingerprint:% = self.inbound.fingerprint,
            attempt = self.attempts,
            verdict:% = failure.verdict,
            last_event = self.last_event.unwrap_or(0),
            crashes,
            left_ms = self.inbound.remaining().as_millis() as u64,
            why:% = failure.reason;
            "attempt failed"
        );
        let labels = [("why", failure.reason)];
        metrics::counter!("kelpworks_failed_attempts_total", &labels).increment(1);
    }

    /// Records the break of an attempt at its first engine; returns the crashes that count against the
    /// request.
    fn record_break(&self, engine: &Incarnation) -> usize {
        self.shared.record_break(BrokenAttempt {
            kind: "stream",
            request: &self.inbound.id,
            team: self.inbound.team.as_deref(),
            identity: self.inbound.identity(),
            service: &self.inbound.service.name,
            incarnation: engine,
            sent: self.sent,
            is_answered: self.is_answered,
            end: Break::Lost,
        })
    }

    /// Reads the next complete events; `None` at the end of the stream.
    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        let Some(mut active) = self.active.take() else {
            return Err(Failure::new(Verdict::MayHaveRun, "no attempt under way"));
        };
        loop {
            let since = active.last_received;
            let waited = match active.started {
                true => {
                    let frame = active.body.frame();
                    self.wait_for_more(frame, &mut active.running_path, since)
                        .await
                }
                false => {
                    let parts = &active.running_path.parts;
                    self.wait_for_first(active.body.frame(), parts, since).await
                }
            };
            let frame = match waited {
                Ok(frame) => frame,
                Err(failure) => {
                    self.stalled = (failure.retry_permitted && active.started).then_some(active);
                    return Err(failure);
                }
            };
            let now = Instant::now();
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let pause = now.duration_since(active.last_received);
                    if active.started {
                        self.shared.record_pause(pause);
                    }
                    if pause > self.inbound.route.gap_target.mul_f64(LATE_GAP_FRACTION) {
                        let keys = active.running_path.parts.iter().map(|&(key, _)| key);
                        self.shared.suspects().suspect(keys);
                    }
                    active.last_received = now;
                    active.started = true;
                    if let StreamConnection::Engine(_) = active.connection {
                        self.shared
                            .record_contact(&self.inbound.service.name, false);
                        if let Some(lasted) = active.survival.due(now) {
                            let lasted = Span::from_millis(lasted.as_millis() as u64);
                            self.record_survival(Lasted::For(lasted));
                        }
                    }
                    self.record_progress(&active.running_path.parts, now);
                    active.splitter.push(&bytes);
                    let events = active.splitter.take_events(self.last_event);
                    self.last_event = events.last_id.or(self.last_event);
                    if active.splitter.pending_len() > MAX_EVENT_BYTES {
                        return Err(Failure::new(Verdict::MayHaveRun, "event too large"));
                    }
                    if active.reserve_event_memory().await.is_err() {
                        return Err(Failure::new(Verdict::MayHaveRun, NO_MEMORY));
                    }
                    if events.bytes.is_empty() {
                        continue;
                    }
                    self.reroute_around_slow_engines(&mut active.running_path, now)
                        .await;
                    self.active = Some(active);
                    return Ok(Some(events.bytes));
                }
                Some(Err(_)) => return Err(self.record_early_end(&active)),
                None if active.splitter.pending_len() > 0 => {
                    return Err(self.record_early_end(&active));
                }
                None => {
                    if let Some(&(first, _)) = active.running_path.parts.first() {
                        self.shared.fleet().record_outcome(first, false);
                    }
                    match active.connection {
                        StreamConnection::Engine(connection) => {
                            self.shared.pool.keep(connection);
                            self.record_survival(Lasted::ToItsEnd);
                        }
                        StreamConnection::Peer(connection) => {
                            self.clients.handover.keep(connection);
                        }
                    }
                    return Ok(None);
                }
            }
        }
    }

    /// Records that the engine did not end under the last attempt.
    fn record_survival(&self, lasted: Lasted) {
        let parts = &self.inbound.head.shared_parts;
        self.shared.record_survival(parts, self.sent, lasted);
    }

    fn record_progress(&self, parts: &[(UpstreamKey, LayerRange)], now: Instant) {
        let mut fleet = self.shared.fleet();
        for &(key, _) in parts {
            fleet.record_success(key, now);
        }
    }

    /// Records a stream that ended early. The engine that closed it is not ejected, since it may
    /// still be alive: the next attempts show whether it is, as a dead one accepts no connections.
    fn record_early_end(&self, active: &ActiveStream) -> Failure {
        let Some(&(first, _)) = active.running_path.parts.first() else {
            return Failure::new(Verdict::MayHaveRun, "peer lost");
        };
        self.shared.fleet().record_outcome(first, true);
        self.record_link_failure(first, Evidence::Broken);
        Failure::crash("stream broken off")
    }

    /// Records a failure at an engine that may be due to this daemon's own links.
    fn record_link_failure(&self, key: UpstreamKey, evidence: Evidence) {
        self.has_link_failure.store(true, Ordering::Relaxed);
        let service = &self.inbound.service.name;
        self.shared.record_link_failure(service, key, evidence);
    }
}
