//! Streams of events from engines that pass activations on along a path.
//!
//! The daemon chooses a path, sends the request to its first engine and passes whole events on.
//! When the stream falls silent, the engines of the path that nothing has confirmed since are passed
//! over, and where the route allows it the stream is continued on another path after the last event,
//! within the same answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use kelpworks::verdict::Verdict;
use log::info;
use tokio::time::Instant;

use super::Counted;
use super::Refusal;
use super::Ticket;
use super::call::fault;
use super::call::give_up;
use super::events::Cutter;
use super::outcome::Outcome;
use crate::config::Engines;
use crate::config::RouteKind;
use crate::dialect::AnswerHead;
use crate::dialect::Dialect;
use crate::dialect::Forwarded;
use crate::dialect::LayerRange;
use crate::fleet::Fleet;
use crate::fleet::Load;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::path;
use crate::path::NoPath;
use crate::path::Path;
use crate::pool;
use crate::pool::Connection;
use crate::pool::Exchange;
use crate::pool::Reuse;
use crate::shared::Shared;

/// Least time left for a further attempt: reading a usual prompt again.
const WORTH_TRYING: Duration = Duration::from_millis(50);
/// Silence after which a stream counts against the unconfirmed engines of its path: more than two
/// usual pauses between events (20 to 30 ms).
const NOTICED: Duration = Duration::from_millis(70);
/// Silence after which the engines with the most silent streams are suspected: early enough that
/// another path can go on within a pause of 250 ms. Both are stretched while all streams are slow:
/// moving them then would only add prompts to be read again.
const SILENT: Duration = Duration::from_millis(130);
/// Added to both before the first event: reading a prompt over slow engines takes up to this.
const READING: Duration = Duration::from_millis(80);
/// Added for each token of the prompt, in microseconds.
const READING_TOKEN_US: u64 = 60;
/// Silence after which a stream moves although all engines of its path work for others; callers
/// leave after 2 s.
const STUCK: Duration = Duration::from_millis(1_200);
/// Attempts of one request, with those that were refused without having run.
const MOST_ATTEMPTS: u32 = 6;
/// Part of a route's latency target for which a request waits for room.
const ROOM_WAIT_PART: f64 = 0.12;
/// Time between two looks for room.
const ROOM_PAUSE: Duration = Duration::from_millis(30);
/// Pause before an attempt that follows a refusal; doubled with each one.
const REFUSED_PAUSE: Duration = Duration::from_millis(25);
/// Why an attempt failed that was not written to a connection.
const NOT_SENT: &str = "not sent";
/// Largest event that is waited for.
const MOST_EVENT_BYTES: usize = 4 << 20;
/// Tokens to expect of an answer whose caller says nothing about it.
const UNKNOWN_LENGTH: f64 = 256.0;

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

/// Engines that a silent stream counts against, until dropped.
struct Silence<'a> {
    shared: &'a Shared,
    suspects: Vec<UpstreamKey>,
}

impl<'a> Silence<'a> {
    fn note(shared: &'a Shared, suspects: Vec<UpstreamKey>) -> Silence<'a> {
        let mut fleet = shared.fleet();
        for &key in &suspects {
            fleet.note_silent(key, 1);
        }
        Silence { shared, suspects }
    }
}

impl Drop for Silence<'_> {
    fn drop(&mut self) {
        let mut fleet = self.shared.fleet();
        for &key in &self.suspects {
            fleet.note_silent(key, -1);
        }
    }
}

/// Memory and places that a request is counted for, until dropped.
struct Reservation {
    shared: Arc<Shared>,
    parts: Vec<(UpstreamKey, f64)>,
}

impl Reservation {
    fn take(shared: &Arc<Shared>, parts: &[(UpstreamKey, LayerRange)], tokens: f64) -> Reservation {
        let reserved = |&(key, layers): &(UpstreamKey, LayerRange)| {
            let amount = tokens * f64::from(layers.len());
            (key, amount)
        };
        let parts: Vec<(UpstreamKey, f64)> = parts.iter().map(reserved).collect();
        let mut fleet = shared.fleet();
        let now = Instant::now();
        for &(key, amount) in &parts {
            fleet.take(key, amount);
            fleet.tried(key, now);
        }
        drop(fleet);
        Reservation {
            shared: Arc::clone(shared),
            parts,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut fleet = self.shared.fleet();
        for &(key, amount) in &self.parts {
            fleet.release(key, amount);
        }
    }
}

/// An engine at which a request may have run.
#[derive(Clone, Copy, Debug)]
struct RanAt {
    key: UpstreamKey,
    address: SocketAddr,
}

/// A stream that is being read.
struct Reading {
    body: Incoming,
    connection: Connection,
    parts: Vec<(UpstreamKey, LayerRange)>,
    cutter: Cutter,
    /// When this attempt last brought something; when it was sent, before that.
    heard: Instant,
    begun: bool,
    _reservation: Reservation,
}

/// A request to engines, over all its attempts.
struct Relayed<D> {
    shared: Arc<Shared>,
    ticket: Ticket,
    engines: Option<Arc<Engines>>,
    /// First engines of the attempts that may have run, as far as they have not ended.
    ran_at: Vec<RanAt>,
    attempts: u32,
    /// Attempts refused in a row.
    refusals: u32,
    /// Id of the last event that the caller has, or had before.
    last_event: Option<u64>,
    weight_version: Option<u64>,
    reading: Option<Reading>,
    /// The stream that fell silent last; it may still go on.
    silent: Option<Reading>,
    /// Whether the caller has a part of the answer.
    begun: bool,
    done: bool,
    _counted: Counted,
    _dialect: std::marker::PhantomData<D>,
}

/// Forwards a streamed request; the answer begins with its first event.
pub(super) async fn serve<D: Dialect>(
    shared: Arc<Shared>,
    ticket: Ticket,
    counted: Counted,
) -> Outcome {
    let mut relayed: Relayed<D> = Relayed {
        engines: ticket.service.engines.clone(),
        last_event: ticket.head.last_event,
        shared,
        ticket,
        ran_at: Vec::new(),
        attempts: 0,
        refusals: 0,
        weight_version: None,
        reading: None,
        silent: None,
        begun: false,
        done: false,
        _counted: counted,
        _dialect: std::marker::PhantomData,
    };
    let (status, headers, first) = match relayed.begin().await {
        Ok(begun) => begun,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    relayed.begun = true;
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

impl<D: Dialect> Relayed<D> {
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
                Ok(Some(events)) => return Some(Ok(events)),
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
            // A repeat that found no path was not used.
            let unused = failure.unsent && self.refusals < MOST_ATTEMPTS;
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
        self.shared.crashes().answered(self.ticket.fingerprint);
        self.log_end("finished", "end of the stream");
    }

    /// Whether a further attempt is allowed by the route, the time left and the fleet's bound.
    fn may_go_on(&self, verdict: Verdict) -> bool {
        let kind = self.ticket.route.kind;
        let resumable = matches!(kind, RouteKind::Stream { resumable: true });
        let repeatable = verdict == Verdict::NotRun || resumable;
        let now = Instant::now();
        if !repeatable || self.attempts >= MOST_ATTEMPTS || self.ticket.left() < WORTH_TRYING {
            return false;
        }
        if self.shared.crashes().refuses(self.ticket.fingerprint, now) {
            return false;
        }
        self.shared.take_repeat(&self.ticket.service.name, now)
    }

    /// Notes a failed attempt.
    fn failed(&mut self, failure: Failure) {
        self.reading = None;
        let mut crashes = 0;
        if failure.crash {
            let now = Instant::now();
            crashes = self.shared.crashes().crashed(self.ticket.fingerprint, now);
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

    /// Whether a further attempt has to go to an engine that the request was sent to before.
    fn ran_at_enough(&self) -> bool {
        self.ran_at.len() as u32 >= self.ticket.route.attempts
    }

    /// Strikes out engines that have ended since the request ran there: they are registered no
    /// more and take no connections. One that merely left the registration may still be working.
    async fn strike_out_ended(&mut self) {
        if !self.ran_at_enough() {
            return;
        }
        let is_registered = |r: &RanAt| self.shared.fleet().get(r.key).is_some();
        if self.ran_at.iter().any(is_registered) {
            return;
        }
        let mut left = Vec::new();
        for ran_at in std::mem::take(&mut self.ran_at) {
            if pool::is_reachable(ran_at.address).await {
                left.push(ran_at);
            }
        }
        self.ran_at = left;
    }

    /// Tokens that the request may come to hold.
    fn tokens(&self) -> f64 {
        let head = &self.ticket.head;
        let prompt = f64::from(head.prompt_tokens.unwrap_or(0));
        let most = head.most_tokens.map(f64::from);
        let answer = head.length_hint.map(f64::from).or(most);
        let answer = answer.unwrap_or(UNKNOWN_LENGTH);
        prompt + most.map_or(answer, |m| answer.min(m))
    }

    /// Chooses a path; one part with all layers for engines without a description.
    fn choose(&self) -> Result<Path, NoPath> {
        let fleet = self.shared.fleet();
        let Some(engines) = &self.engines else {
            let ran_at: Vec<UpstreamKey> = self.ran_at.iter().map(|r| r.key).collect();
            let chosen = whole_engine(&fleet, &self.ticket.service.name, &ran_at);
            return chosen.ok_or(NoPath::Uncovered(0));
        };
        let mut first: Vec<UpstreamKey> = Vec::new();
        if self.ran_at_enough() {
            first.extend(self.ran_at.iter().map(|r| r.key));
        }
        let ask = path::Ask {
            service: &self.ticket.service.name,
            tokens: self.tokens(),
            domain: &self.shared.domain,
            avoid: &[],
            first: &first,
            now: Instant::now(),
        };
        path::search(&fleet, engines, &ask, &mut rand::rng())
    }

    /// Chooses a path, and waits a little for one where there is none: requests end all the time, and
    /// one that begins within its latency target is served in full.
    async fn choose_when_there_is_room(&self) -> Result<Path, &'static str> {
        let until = Instant::now() + self.ticket.route.latency_target.mul_f64(ROOM_WAIT_PART);
        loop {
            match self.choose() {
                Err(why) if Instant::now() >= until || self.ticket.left().is_zero() => {
                    self.log_no_path(why);
                    return Err(why.as_str());
                }
                Err(_) => tokio::time::sleep(ROOM_PAUSE).await,
                Ok(path) => return Ok(path),
            }
        }
    }

    /// Sends the request along a new path and waits for the answer's head.
    async fn attempt(&mut self) -> Result<(StatusCode, HeaderMap), Failure> {
        self.strike_out_ended().await;
        let path = self.choose_when_there_is_room().await;
        let path = path.map_err(Failure::no_path)?;
        self.attempts += 1;
        let (first, _) = path.parts[0];
        let forwarded = Forwarded {
            time_left: self.ticket.left(),
            instance: Some(&path.instance),
            team: self.ticket.team.as_deref(),
            path: &path.hops,
            resume_after: self.last_event,
            weight_version: self.weight_version,
        };
        let req = self.ticket.to_request::<D>(&forwarded);
        let reservation = Reservation::take(&self.shared, &path.parts, self.tokens());
        self.log_path(&path);
        let shared = Arc::clone(&self.shared);
        let sent = Instant::now();
        let sending = shared.pool.send(first, path.address, req, Reuse::Any);
        let answer = self.head(sending, &path, sent).await;
        match &answer {
            // It takes no connections, so it has ended or is cut off.
            Err(f) if f.why == NOT_SENT => self.ran_at.retain(|r| r.key != first),
            Err(f) if f.verdict == Verdict::NotRun => {}
            _ if self.ran_at.iter().any(|r| r.key == first) => {}
            _ => self.ran_at.push(RanAt {
                key: first,
                address: path.address,
            }),
        }
        let (exchange, head) = answer?;
        let Exchange {
            response,
            connection,
        } = exchange;
        self.weight_version = self.weight_version.or(head.weight_version);
        let (mut parts, body) = response.into_parts();
        parts.headers.remove(header::CONTENT_LENGTH);
        self.reading = Some(Reading {
            body,
            connection,
            parts: path.parts,
            cutter: Cutter::default(),
            heard: sent,
            begun: false,
            _reservation: reservation,
        });
        Ok((parts.status, parts.headers))
    }

    /// Waits for the head of an answer and judges it.
    async fn head(
        &self,
        sending: impl Future<Output = pool::Result<Exchange>>,
        path: &Path,
        sent: Instant,
    ) -> Result<(Exchange, AnswerHead), Failure> {
        let (first, _) = path.parts[0];
        let exchange = self.wait(sending, &path.parts, sent, false).await?;
        let exchange = exchange.map_err(|e| self.not_sent(first, e))?;
        let head = D::answer(exchange.response.headers());
        self.judge(first, path, &exchange.response, &head)?;
        Ok((exchange, head))
    }

    fn not_sent(&self, first: UpstreamKey, error: pool::Error) -> Failure {
        let mut fleet = self.shared.fleet();
        match error {
            pool::Error::NotSent => {
                fleet.doubt(first, Instant::now());
                Failure::new(Verdict::NotRun, NOT_SENT)
            }
            pool::Error::Lost => {
                fleet.outcome(first, true);
                Failure::crash("connection lost")
            }
        }
    }

    /// Judges an answer's head; blames the engine that it names, or else the first.
    fn judge(
        &self,
        first: UpstreamKey,
        path: &Path,
        response: &http::Response<Incoming>,
        head: &AnswerHead,
    ) -> Result<(), Failure> {
        let found = fault(&self.ticket, response, head);
        let failed = response.status().is_server_error();
        let found = found.or(failed.then_some((Verdict::MayHaveRun, "upstream failed")));
        let Some((verdict, why)) = found else {
            return Ok(());
        };
        let named = head.at_fault.and_then(|address| {
            let hops = path.hops.iter().zip(path.keys());
            let mut at = hops.filter(|(hop, _)| hop.address == address);
            at.next().map(|(_, key)| key)
        });
        let blamed = named.unwrap_or(first);
        let mut fleet = self.shared.fleet();
        match failed && !head.not_run {
            true => fleet.outcome(blamed, true),
            false => fleet.doubt(blamed, Instant::now()),
        }
        info!(
            target: "decision",
            request:% = self.ticket.id,
            upstream:% = fleet.get(blamed).map_or("gone", |u| &u.entry.instance),
            named = named.is_some(),
            fleet_revision = fleet.revision(),
            status = response.status().as_u16(),
            why:% = why;
            "engine passed over"
        );
        Err(Failure::new(verdict, why))
    }

    /// Waits for something of this attempt. Fails when engines of the path seem to have stopped and
    /// another attempt is allowed; without one, waiting on is all that is left.
    async fn wait<T>(
        &self,
        work: impl Future<Output = T>,
        parts: &[(UpstreamKey, LayerRange)],
        since: Instant,
        begun: bool,
    ) -> Result<T, Failure> {
        tokio::pin!(work);
        let reading = match begun {
            true => Duration::ZERO,
            false => self.reading_time(),
        };
        let slowness = self.shared.slowness();
        let silent = SILENT.mul_f64(slowness);
        let reading = reading.mul_f64(slowness);
        let noticed = since + NOTICED.mul_f64(slowness) + reading;
        if let Some(done) = self.until(&mut work, noticed).await? {
            return Ok(done);
        }
        let now = Instant::now();
        let suspects = self.shared.fleet().unconfirmed(parts, since, now);
        let _silence = Silence::note(&self.shared, suspects);
        let mut at = since + silent + reading;
        loop {
            if let Some(done) = self.until(&mut work, at).await? {
                return Ok(done);
            }
            if let Some(why) = self.suspect(parts, since) {
                return Err(Failure {
                    permitted: true,
                    ..Failure::new(Verdict::MayHaveRun, why)
                });
            }
            at += silent;
        }
    }

    /// Waits until a moment; `None` when it comes first.
    async fn until<T>(
        &self,
        work: &mut (impl Future<Output = T> + Unpin),
        at: Instant,
    ) -> Result<Option<T>, Failure> {
        let at = at.min(self.ticket.deadline);
        tokio::select! {
            done = work => return Ok(Some(done)),
            () = tokio::time::sleep_until(at) => {}
        }
        match self.ticket.left().is_zero() {
            true => Err(Failure::new(Verdict::MayHaveRun, "out of time")),
            false => Ok(None),
        }
    }

    /// Passes the likely culprits of a silence over; the reason when the stream should move, which
    /// is allowed then.
    fn suspect(&self, parts: &[(UpstreamKey, LayerRange)], since: Instant) -> Option<&'static str> {
        let now = Instant::now();
        let stuck = now.duration_since(since) >= STUCK;
        let culprits = {
            let mut fleet = self.shared.fleet();
            let suspects = fleet.unconfirmed(parts, since, now);
            let culprits = fleet.most_silent(&suspects);
            for &key in &culprits {
                fleet.doubt(key, now);
            }
            culprits
        };
        if culprits.is_empty() && !stuck {
            return None;
        }
        let moves = self.choose().is_ok() && self.may_go_on(Verdict::MayHaveRun);
        let why = if culprits.is_empty() {
            "stream stuck"
        } else {
            "engines silent"
        };
        moves.then_some(why)
    }

    /// Time that reading the prompt may take before the first event.
    fn reading_time(&self) -> Duration {
        let tokens = u64::from(self.ticket.head.prompt_tokens.unwrap_or(0));
        READING + Duration::from_micros(tokens * READING_TOKEN_US)
    }

    /// Reads on to the next whole events; `None` at the end of the stream.
    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        let Some(mut reading) = self.reading.take() else {
            return Err(Failure::new(Verdict::MayHaveRun, "no attempt under way"));
        };
        loop {
            let since = reading.heard;
            let waited = self.wait(reading.body.frame(), &reading.parts, since, reading.begun);
            let frame = match waited.await {
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
                    if reading.begun {
                        self.shared.paused(now.duration_since(reading.heard));
                    }
                    reading.heard = now;
                    reading.begun = true;
                    self.confirm(&reading.parts, now);
                    reading.cutter.push(&bytes);
                    let events = reading.cutter.take(self.last_event);
                    self.last_event = events.last_id.or(self.last_event);
                    if reading.cutter.rest() > MOST_EVENT_BYTES {
                        return Err(Failure::new(Verdict::MayHaveRun, "event too large"));
                    }
                    if events.bytes.is_empty() {
                        continue;
                    }
                    self.reading = Some(reading);
                    return Ok(Some(events.bytes));
                }
                Some(Err(_)) => return Err(self.broken(&reading)),
                None if reading.cutter.rest() > 0 => return Err(self.broken(&reading)),
                None => {
                    if let Some(&(first, _)) = reading.parts.first() {
                        self.shared.fleet().outcome(first, false);
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
            fleet.good(key, now);
        }
    }

    /// A stream that broke off. The engine that closed it may live: then the next attempts show it, and
    /// a dead one takes no connections.
    fn broken(&self, reading: &Reading) -> Failure {
        if let Some(&(first, _)) = reading.parts.first() {
            self.shared.fleet().outcome(first, true);
        }
        Failure::crash("stream broken off")
    }

    /// Logs what stands in the way of a path: the engines that hold the layer and what they run.
    fn log_no_path(&self, why: NoPath) {
        let fleet = self.shared.fleet();
        let layer = why.layer();
        let holds =
            |u: &Upstream| layer.is_some_and(|l| u.entry.layers.is_some_and(|r| r.contains(l)));
        let engines = fleet.of_service(&self.ticket.service.name);
        let holders = engines.filter(|(_, u)| holds(u));
        let state = |u: &Upstream| {
            let Load { running, reserved } = u.load();
            let instance = &u.entry.instance;
            let open = if u.is_open() { "" } else { " leaving" };
            format!("{instance}{open} runs {running} with {reserved:.0} token-layers")
        };
        let holders: Vec<String> = holders.map(|(_, u)| state(u)).collect();
        info!(
            target: "decision",
            request:% = self.ticket.id,
            tokens = self.tokens(),
            fleet_revision = fleet.revision(),
            layer = layer.unwrap_or(0),
            holders:% = holders.join("; "),
            why:% = why.as_str();
            "no path"
        );
    }

    fn log_path(&self, path: &Path) {
        let hops = path.hops.iter();
        let text: Vec<String> = hops
            .map(|h| format!("{}={}-{}", h.address, h.layers.from, h.layers.to))
            .collect();
        info!(
            target: "decision",
            request:% = self.ticket.id,
            route:% = self.ticket.route.name,
            config_version = self.ticket.version,
            attempt = self.attempts,
            after_event = self.last_event.unwrap_or(0),
            tokens = self.tokens(),
            crossings = path.crossings,
            path:% = text.join(",");
            "path chosen"
        );
    }

    fn log_end(&self, how: &'static str, why: &'static str) {
        let took = self.ticket.arrived.elapsed();
        info!(
            target: "decision",
            request:% = self.ticket.id,
            attempts = self.attempts,
            last_event = self.last_event.unwrap_or(0),
            took_ms = took.as_millis() as u64,
            begun = self.begun,
            why:% = why;
            "stream {how}"
        );
        let labels = [("how", how)];
        metrics::counter!("kelpworks_streams_total", &labels).increment(1);
        metrics::histogram!("kelpworks_stream_seconds").record(took.as_secs_f64());
    }
}

/// An engine that holds a whole model, by the least work.
fn whole_engine(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> Option<Path> {
    let open = fleet.of_service(service).filter(|(_, u)| u.is_open());
    let untried = open.filter(|(key, _)| !tried.contains(key));
    let least = |u: &Upstream| u.load().running;
    let (key, upstream) = untried.min_by(|a, b| least(a.1).total_cmp(&least(b.1)))?;
    let none = LayerRange { from: 0, to: 0 };
    Some(Path {
        parts: vec![(key, none)],
        hops: Vec::new(),
        address: upstream.entry.address,
        instance: Arc::clone(&upstream.entry.instance),
        crossings: 0,
    })
}
