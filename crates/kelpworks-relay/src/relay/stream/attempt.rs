//! One attempt: choosing a path, reserving memory, and checking the head of the response.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use kelpworks::memory_budget;
use kelpworks::verdict::Verdict;
use log::info;
use tokio::time::Instant;

use super::ActiveStream;
use super::EventSplitter;
use super::Failure;
use super::RunningPath;
use super::StreamConnection;
use super::StreamRelay;
use super::Survival;
use crate::adapter::Adapter;
use crate::adapter::AnswerHead;
use crate::adapter::EngineApi;
use crate::adapter::ForwardedHead;
use crate::adapter::LayerRange;
use crate::constraints::MessageKind;
use crate::fleet::Fleet;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::path;
use crate::path::NoPath;
use crate::path::Path;
use crate::permit::Admission;
use crate::permit::StatedDeadline;
use crate::pool;
use crate::pool::AnswerBody;
use crate::pool::Exchange;
use crate::pool::Reuse;
use crate::reach::Evidence;
use crate::relay::answer_head::address_owner_id;
use crate::relay::answer_head::announcements;
use crate::relay::answer_head::detect_fault;
use crate::relay::call::MALFORMED;
use crate::relay::call::NOT_SENT;
use crate::relay::call::WITHHELD;
use crate::relay::handover::OUT_OF_REACH;
use crate::relay::log_attempt_sent;
use crate::relay::runs::End;
use crate::relay::runs::RUNS_USED_UP;
use crate::relay::runs::RanAt;
use crate::shared::Shared;
use crate::shared::announcements::Announcements;
use crate::shared::announcements::AnsweredMessage;
use crate::shared::crashes::Cleared;
use crate::shared::crashes::CrashRefusal;
use crate::shared::crashes::Runnable;

/// Fraction of a route's latency target for which a request waits for capacity.
const CAPACITY_WAIT_FRACTION: f64 = 0.12;
/// Time between two searches for a path while a request waits for capacity.
pub(super) const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Expected answer length in tokens where the caller gives no length.
const DEFAULT_ANSWER_TOKENS: f64 = 256.0;

/// Reserved memory (in token-layers) and running count of a request at engines; released on drop.
pub(super) struct Reservation {
    shared: Arc<Shared>,
    parts: Vec<(UpstreamKey, f64)>,
}

impl Reservation {
    pub(super) fn acquire(
        shared: &Arc<Shared>,
        parts: &[(UpstreamKey, LayerRange)],
        tokens: f64,
    ) -> Reservation {
        let reserved = |&(key, layers): &(UpstreamKey, LayerRange)| {
            let amount = tokens * f64::from(layers.len());
            (key, amount)
        };
        let parts: Vec<(UpstreamKey, f64)> = parts.iter().map(reserved).collect();
        let mut fleet = shared.fleet();
        let now = Instant::now();
        for &(key, amount) in &parts {
            fleet.reserve(key, amount);
            fleet.record_attempt(key, now);
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

impl<D: Adapter, E: EngineApi> StreamRelay<D, E> {
    /// Whether another attempt has to start at an engine where the request may already have run.
    fn must_reuse_first_engine(&self) -> bool {
        self.runs.left() == 0
    }

    /// Returns whether there is an engine where the request may run, again or for the first time.
    pub(super) fn has_engine_left(&self) -> bool {
        let can_reuse = self.profile.is_some() && !self.runs.ran_at().is_empty();
        self.runs.left() > 0 || can_reuse
    }

    /// Frees the places of engines that have ended since, or that all are cut off from, if there is no other: engines that
    /// accept no connections after they closed that of the request, and, if none is registered, those that accept none.
    /// An engine that only refuses a new connection may still be working.
    async fn forget_ended_engines(&mut self) {
        if !self.must_reuse_first_engine() {
            return;
        }
        let service = &self.inbound.service.name;
        if self.shared.reach().is_doubtful(service, Instant::now()) {
            return;
        }
        let is_registered = |r: &RanAt| {
            let instance = &r.upstream.instance;
            self.shared.fleet().key_of(instance).is_some()
        };
        let unreachable = {
            let keys = self.first_engines();
            self.shared.fleet().unreachable(&keys, Instant::now())
        };
        let has_ended = |r: &RanAt| {
            r.is_broken_off() && is_registered(r) && unreachable.contains(&r.upstream.key)
        };
        self.runs.free(has_ended);
        if self.runs.ran_at().iter().any(is_registered) {
            return;
        }
        let mut ended = Vec::new();
        for ran_at in self.runs.ran_at() {
            if !pool::is_reachable(ran_at.upstream.address).await {
                ended.push(ran_at.upstream.key);
            }
        }
        self.runs.free(|r| ended.contains(&r.upstream.key));
    }

    /// Returns the first engines of attempts that may have run.
    fn first_engines(&self) -> Vec<UpstreamKey> {
        let ran_at = self.runs.ran_at().iter();
        ran_at.map(|r| r.upstream.key).collect()
    }

    /// Returns an empty reservation, which is not evicted, for the events of an attempt.
    pub(super) fn event_memory(&self) -> memory_budget::Reservation {
        let memory = self.shared.memory().reservation();
        memory.complete();
        memory
    }

    /// Returns the expected number of tokens of prompt and answer.
    pub(super) fn tokens(&self) -> f64 {
        let head = &self.inbound.head;
        let prompt = f64::from(head.prompt_tokens.unwrap_or(0));
        let max_answer = head.max_tokens.map(f64::from);
        let answer = head.length_hint.map(f64::from).or(max_answer);
        let answer = answer.unwrap_or(DEFAULT_ANSWER_TOKENS);
        prompt + max_answer.map_or(answer, |m| answer.min(m))
    }

    /// Chooses a path; a single engine with the whole model where the service has no engine
    /// profile.
    pub(super) fn choose(&self) -> Result<Path, NoPath> {
        let fleet = self.shared.fleet();
        let Some(profile) = &self.profile else {
            let ran_at = self.first_engines();
            let chosen = whole_model_path(&fleet, &self.inbound.service.name, &ran_at);
            return chosen.ok_or(NoPath::Uncovered(0));
        };
        let mut first: Vec<UpstreamKey> = Vec::new();
        if self.must_reuse_first_engine() {
            first.extend(self.first_engines());
        }
        let query = path::PathQuery {
            service: &self.inbound.service.name,
            tokens: self.tokens(),
            domain: &self.shared.domain,
            layers: LayerRange {
                from: 0,
                to: profile.layers,
            },
            avoid: &[],
            first: &first,
            room: self.room_policy(),
            now: Instant::now(),
        };
        let planned = match first.is_empty() {
            true => self.shared.draw_planned_path(&fleet, profile, &query),
            false => None,
        };
        if let Some(path) = planned {
            return Ok(path);
        }
        path::search(&fleet, profile, &query, &mut rand::rng())
    }

    /// Chooses a path; if there is none, polls for one for a fraction of the latency target.
    /// Requests end all the time, and one that starts within its latency target is served in full.
    async fn choose_or_wait(&mut self) -> Result<(Path, Admission), Failure> {
        let is_covered = |_: &Shared| !matches!(self.choose(), Err(NoPath::Uncovered(_)));
        self.shared
            .wait_while_starting(self.inbound.arrived, is_covered)
            .await;
        if self.inbound.is_contended() {
            return self.choose_in_turn().await;
        }
        let until = Instant::now()
            + self
                .inbound
                .route
                .latency_target
                .mul_f64(CAPACITY_WAIT_FRACTION);
        loop {
            let runnable = self.permit_run().await?;
            match self.choose_and_admit(runnable) {
                Err(reason) if self.is_waiting_useless(reason, until) => {
                    self.log_no_path(reason);
                    return Err(Failure {
                        available_in: self.available_in(reason),
                        ..Failure::no_path(reason.as_str())
                    });
                }
                Err(_) => tokio::time::sleep(CAPACITY_POLL_INTERVAL).await,
                Ok(chosen) => {
                    self.test_run = None;
                    return Ok(chosen);
                }
            }
        }
    }

    /// Whether waiting for a path until `until` can't succeed.
    pub(super) fn is_waiting_useless(&self, reason: NoPath, until: Instant) -> bool {
        let now = Instant::now();
        if now >= until || self.inbound.remaining().is_zero() {
            return true;
        }
        let left = until.duration_since(now);
        if let NoPath::Withheld(_) = reason {
            return self.available_in(reason).is_some_and(|wait| wait > left);
        }
        let fleet = self.shared.fleet();
        let mut engines = fleet.of_service(&self.inbound.service.name);
        let admits = |u: &Upstream| {
            let wait = u.constraints.wait(MessageKind::Request, now);
            wait.is_some_and(|wait| wait <= left)
        };
        let holds_first = |u: &Upstream| u.layers.is_some_and(|r| r.contains(0));
        reason == NoPath::Limited && !engines.any(|(_, u)| holds_first(u) && admits(u))
    }

    /// Returns the time until the first backoff ends of the engines for lack of which there is no
    /// path; `None` if there is no path for another reason.
    pub(super) fn available_in(&self, reason: NoPath) -> Option<Duration> {
        let NoPath::Withheld(layer) = reason else {
            return None;
        };
        let now = Instant::now();
        let fleet = self.shared.fleet();
        let engines = fleet.of_service(&self.inbound.service.name);
        let holds = |u: &Upstream| u.layers.is_some_and(|r| r.contains(layer));
        let usable = engines.filter(|(_, u)| u.is_ready() && holds(u));
        let backoffs = usable.map(|(_, u)| u.constraints.backoff(now));
        backoffs.filter(|backoff| !backoff.is_zero()).min()
    }

    /// Checks whether the request is refused because it crashes engines, which is a failure without an attempt.
    pub(super) fn check_crashes(&self) -> Result<Cleared, Failure> {
        let service = &self.inbound.service.name;
        let identity = self.inbound.identity();
        let cleared = self.shared.check_crashes(identity, service, false);
        cleared.map_err(failure_of_refusal)
    }

    /// Returns the permission to run the request; a suspect needs a test run.
    pub(super) async fn permit_run(&mut self) -> Result<Runnable, Failure> {
        let cleared = self.check_crashes()?;
        let fingerprint = self.inbound.fingerprint;
        let runnable = self
            .shared
            .permit_run(fingerprint, cleared, &mut self.test_run);
        runnable.await.map_err(failure_of_refusal)
    }

    /// Chooses a path and has its engines admit the request.
    pub(super) fn choose_and_admit(&self, runnable: Runnable) -> Result<(Path, Admission), NoPath> {
        let path = self.choose()?;
        let admission = self.shared.admit(runnable, path.keys().collect());
        Ok((path, admission.ok_or(NoPath::Limited)?))
    }

    /// Makes an attempt and waits for the head of the response: by another daemon while this one
    /// does not reach the engines, or when it finds no path after a failure.
    pub(super) async fn attempt(&mut self) -> Result<(StatusCode, HeaderMap), Failure> {
        if self.prefers_peer() {
            return self.attempt_by_peer().await;
        }
        let service = &self.inbound.service.name;
        if self.shared.reach().is_cut_off(service, Instant::now()) {
            return Err(Failure::no_path(OUT_OF_REACH));
        }
        self.forget_ended_engines().await;
        if !self.has_engine_left() {
            return Err(Failure::no_path(RUNS_USED_UP));
        }
        match self.choose_or_wait().await {
            Ok((path, admission)) => self.attempt_along(path, admission).await,
            Err(_) if self.is_last_resort() => self.attempt_by_peer().await,
            Err(failure) => Err(failure),
        }
    }

    /// Sends the request along a path and waits for the head of the response.
    async fn attempt_along(
        &mut self,
        path: Path,
        admission: Admission,
    ) -> Result<(StatusCode, HeaderMap), Failure> {
        let deadline = StatedDeadline::of_upstream::<D>(self.inbound.deadline);
        let permit = self.permit(admission)?.with_deadline(deadline);
        let (first, _) = path.parts[0];
        self.attempts += 1;
        let Some(engine) = self.shared.incarnation(first) else {
            return Err(Failure::new(Verdict::NotRun, "engine gone"));
        };
        // The place stays taken if this future is dropped during the attempt, since the request may have arrived.
        let Some(place) = self.runs.take(&engine) else {
            return Err(Failure::no_path(RUNS_USED_UP));
        };
        log_attempt_sent(&self.inbound, &engine.instance, &self.runs);
        self.first_engine = Some(engine);
        let forwarded = ForwardedHead {
            time_left: self.inbound.remaining(),
            id: Some(&path.id),
            team: self.inbound.team.as_deref(),
            path: &path.hops,
            resume_after: self.last_event,
            weight_version: self.weight_version,
            urgency: self.inbound.urgency.map(|level| level.0),
        };
        let req = self.inbound.to_request::<D>(&forwarded);
        let reservation = Reservation::acquire(&self.shared, &path.parts, self.tokens());
        self.log_path(&path);
        let shared = Arc::clone(&self.shared);
        let sent = Instant::now();
        self.sent = sent;
        self.is_answered = false;
        let sending = shared
            .pool
            .send(first, path.address, req, Reuse::Any, permit);
        let answer = self.wait_for_head(sending, &path, sent).await;
        self.runs.end(place, end_of(&answer));
        let (exchange, head) = answer?;
        self.is_answered = true;
        let Exchange {
            response,
            connection,
            ..
        } = exchange;
        self.weight_version = self.weight_version.or(head.weight_version);
        let (parts, body) = response.into_parts();
        self.active = Some(ActiveStream {
            body,
            connection: StreamConnection::Engine(connection),
            running_path: RunningPath {
                parts: path.parts,
                reroutes: 0,
                last_slowness_check: None,
                _reservation: reservation,
            },
            splitter: EventSplitter::default(),
            event_memory: self.event_memory(),
            last_received: sent,
            started: false,
            survival: Survival::default(),
        });
        Ok((parts.status, parts.headers))
    }

    /// Waits for the head of a response and checks it.
    async fn wait_for_head(
        &self,
        sending: impl Future<Output = pool::Result<Exchange>>,
        path: &Path,
        sent: Instant,
    ) -> Result<(Exchange, AnswerHead), Failure> {
        let (first, _) = path.parts[0];
        let exchange = self.wait_for_first(sending, &path.parts, sent).await?;
        let exchange = exchange.map_err(|e| self.record_send_error(first, e))?;
        let is_new = exchange.connection.is_new();
        self.shared
            .record_contact(&self.inbound.service.name, is_new);
        let head = D::decode_answer_head(exchange.response.headers());
        self.apply_announcements(path, &exchange.response, &head, sent);
        self.check_head(first, path, &exchange.response, &head, sent)?;
        if let Some(first) = &self.first_engine {
            self.shared.record_answer(&first.instance, sent);
        }
        let mut fleet = self.shared.fleet();
        for key in path.keys() {
            fleet.record_acceptance(key);
        }
        drop(fleet);
        Ok((exchange, head))
    }

    /// Applies what the head of a response announces about the first engine of the path and, if the
    /// response passes on a refusal by another engine, about that one.
    fn apply_announcements(
        &self,
        path: &Path,
        response: &Response<AnswerBody>,
        head: &AnswerHead,
        sent_at: Instant,
    ) {
        let announced = announcements(&self.inbound, response, head, path.address);
        let (Some(announced), Some(first)) = (announced, path.keys().next()) else {
            return;
        };
        let message = AnsweredMessage {
            source: "answer",
            request: &self.inbound.id,
            sent_at,
        };
        self.shared.apply_announcements(first, announced, message);
        if let Some(key) = engine_at_fault(path, head).filter(|&key| key != first) {
            let announced = Announcements {
                backoff: announced.backoff,
                ..Announcements::default()
            };
            self.shared.apply_announcements(key, announced, message);
        }
    }

    fn record_send_error(&self, first: UpstreamKey, error: pool::Error) -> Failure {
        match error {
            pool::Error::NotSent => self.record_link_failure(first, Evidence::NotOpened),
            pool::Error::Lost => self.record_link_failure(first, Evidence::Broken),
            pool::Error::Withheld | pool::Error::Malformed => {}
        }
        let mut fleet = self.shared.fleet();
        match error {
            pool::Error::NotSent => {
                fleet.eject_unreachable(first, Instant::now());
                Failure::new(Verdict::NotRun, NOT_SENT)
            }
            pool::Error::Withheld => Failure::new(Verdict::NotRun, WITHHELD),
            pool::Error::Lost => {
                fleet.record_outcome(first, true);
                Failure::crash("connection lost")
            }
            pool::Error::Malformed => {
                fleet.record_outcome(first, true);
                Failure::crash(MALFORMED)
            }
        }
    }

    /// Checks the head of a response; attributes a fault to the engine that it names, or else the
    /// first.
    fn check_head(
        &self,
        first: UpstreamKey,
        path: &Path,
        response: &Response<AnswerBody>,
        head: &AnswerHead,
        sent: Instant,
    ) -> Result<(), Failure> {
        let fault = detect_fault(&self.inbound, response, head);
        let failed = response.status().is_server_error();
        let fault = fault.or(failed.then_some((Verdict::MayHaveRun, "upstream failed")));
        let Some((verdict, reason)) = fault else {
            return Ok(());
        };
        let named = engine_at_fault(path, head);
        let faulty = named.unwrap_or(first);
        // An engine that refuses on its own behalf owns the address that the request was sent to. A
        // refusal by a later engine says nothing about that address.
        let is_own_head = head.at_fault.is_none_or(|at| at == path.address);
        if let Some(id) = address_owner_id(response, head).filter(|_| is_own_head)
            && id != &*path.id
        {
            self.shared.learn_address_owner(path.address, id, sent);
        }
        let mut fleet = self.shared.fleet();
        match failed && !head.not_run {
            true => fleet.record_outcome(faulty, true),
            false => fleet.record_refusal(faulty, Instant::now()),
        }
        info!(
            target: "decision",
            request:% = self.inbound.id,
            upstream:% = fleet.get(faulty).map_or("gone", |u| &u.entry.instance),
            named = named.is_some(),
            running = fleet.get(faulty).map(|u| u.load().running),
            reserved = fleet.get(faulty).map(|u| u.load().reserved.round()),
            fleet_version:% = fleet.version(),
            status = response.status().as_u16(),
            why:% = reason;
            "engine ejected"
        );
        Err(Failure::new(verdict, reason))
    }
}

/// Returns what the wait for the head of a response proves.
fn end_of<T>(answer: &Result<T, Failure>) -> End {
    let Err(failure) = answer else {
        return End::MayHaveRun;
    };
    match failure.reason {
        NOT_SENT | WITHHELD => End::Unsent,
        _ if failure.verdict == Verdict::NotRun => End::NotRun,
        _ if failure.is_broken_off() => End::BrokenOff,
        _ => End::MayHaveRun,
    }
}

/// Returns the engine of a path that the head of a response names as the cause of a failure.
fn engine_at_fault(path: &Path, head: &AnswerHead) -> Option<UpstreamKey> {
    let address = head.at_fault?;
    let mut hops = path.hops.iter().zip(path.keys());
    hops.find(|(hop, _)| hop.address == address)
        .map(|(_, key)| key)
}

/// Returns a path of one engine with the whole model: the untried one with the fewest requests.
fn whole_model_path(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> Option<Path> {
    let now = Instant::now();
    let is_candidate = |u: &Upstream| u.allows(MessageKind::Request, now);
    let candidates = fleet.of_service(service).filter(|(_, u)| is_candidate(u));
    let untried = candidates.filter(|(key, _)| !tried.contains(key));
    let running = |u: &Upstream| u.load().running;
    let (key, upstream) = untried.min_by(|a, b| running(a.1).total_cmp(&running(b.1)))?;
    let none = LayerRange { from: 0, to: 0 };
    Some(Path {
        parts: vec![(key, none)],
        hops: Vec::new(),
        address: upstream.entry.address,
        id: Arc::clone(&upstream.entry.id),
        crossings: 0,
    })
}

/// Returns the failure of an attempt that was refused for crashes before it began.
fn failure_of_refusal(refusal: CrashRefusal) -> Failure {
    Failure {
        available_in: Some(refusal.retry_after),
        ..Failure::no_path(refusal.reason)
    }
}
