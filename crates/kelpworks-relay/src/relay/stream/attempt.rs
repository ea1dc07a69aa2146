//! One attempt: the path that is chosen, the memory that is promised, the head of the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use kelpworks::verdict::Verdict;
use log::info;
use tokio::time::Instant;

use super::Course;
use super::Cutter;
use super::Failure;
use super::Reading;
use super::Relayed;
use crate::adapter::Adapter;
use crate::adapter::AnswerHead;
use crate::adapter::EngineApi;
use crate::adapter::ForwardedHead;
use crate::adapter::LayerRange;
use crate::fleet::Fleet;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::path;
use crate::path::NoPath;
use crate::path::Path;
use crate::permit::AdmissionGuard;
use crate::pool;
use crate::pool::Exchange;
use crate::pool::Reuse;
use crate::relay::call::NOT_SENT;
use crate::relay::call::announcement;
use crate::relay::call::fault;
use crate::relay::call::misdirected;
use crate::shared::Shared;

/// Part of a route's latency target for which a request waits for room.
const ROOM_WAIT_PART: f64 = 0.12;
/// Time between two looks for room.
const ROOM_PAUSE: Duration = Duration::from_millis(30);
/// Tokens to expect of an answer whose caller says nothing about it.
const UNKNOWN_LENGTH: f64 = 256.0;

/// Memory and places that a request is counted for, until dropped.
pub(super) struct Reservation {
    shared: Arc<Shared>,
    parts: Vec<(UpstreamKey, f64)>,
}

impl Reservation {
    pub(super) fn take(
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

/// An engine at which a request may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct RanAt {
    key: UpstreamKey,
    address: SocketAddr,
}

impl<D: Adapter, E: EngineApi> Relayed<D, E> {
    /// Whether a further attempt has to go to an engine that the request was sent to before.
    fn ran_at_enough(&self) -> bool {
        self.ran_at.len() as u32 >= self.ticket.route.max_attempts
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
    pub(super) fn tokens(&self) -> f64 {
        let head = &self.ticket.head;
        let prompt = f64::from(head.prompt_tokens.unwrap_or(0));
        let most = head.max_tokens.map(f64::from);
        let answer = head.length_hint.map(f64::from).or(most);
        let answer = answer.unwrap_or(UNKNOWN_LENGTH);
        prompt + most.map_or(answer, |m| answer.min(m))
    }

    /// Chooses a path; one part with all layers for engines without a description.
    pub(super) fn choose(&self) -> Result<Path, NoPath> {
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
        let ask = path::PathQuery {
            service: &self.ticket.service.name,
            tokens: self.tokens(),
            domain: &self.shared.domain,
            layers: LayerRange {
                from: 0,
                to: engines.layers,
            },
            avoid: &[],
            first: &first,
            now: Instant::now(),
        };
        let drawn = match first.is_empty() {
            true => self.shared.draw_planned_path(&fleet, engines, &ask),
            false => None,
        };
        if let Some(path) = drawn {
            return Ok(path);
        }
        path::search(&fleet, engines, &ask, &mut rand::rng())
    }

    /// Chooses a path, and waits a little for one where there is none: requests end all the time, and
    /// one that begins within its latency target is served in full.
    async fn choose_when_there_is_room(&self) -> Result<(Path, AdmissionGuard), &'static str> {
        let is_covered = |_: &Shared| !matches!(self.choose(), Err(NoPath::Uncovered(_)));
        self.shared
            .wait_while_starting(self.ticket.arrived, is_covered)
            .await;
        let until = Instant::now() + self.ticket.route.latency_target.mul_f64(ROOM_WAIT_PART);
        loop {
            match self.choose_and_admit() {
                Err(why) if self.is_final(why, until) => {
                    self.log_no_path(why);
                    return Err(why.as_str());
                }
                Err(_) => tokio::time::sleep(ROOM_PAUSE).await,
                Ok(chosen) => return Ok(chosen),
            }
        }
    }

    /// Whether it is no use to wait for a path until a moment.
    fn is_final(&self, why: NoPath, until: Instant) -> bool {
        let now = Instant::now();
        if now >= until || self.ticket.left().is_zero() {
            return true;
        }
        let fleet = self.shared.fleet();
        let mut engines = fleet.of_service(&self.ticket.service.name);
        let left = until.duration_since(now);
        let admits = |u: &Upstream| u.limiter.wait(now).is_some_and(|wait| wait <= left);
        let holds_first = |u: &Upstream| u.layers.is_some_and(|r| r.contains(0));
        why == NoPath::Limited && !engines.any(|(_, u)| holds_first(u) && admits(u))
    }

    /// Chooses a path and has its first engine admit the request.
    fn choose_and_admit(&self) -> Result<(Path, AdmissionGuard), NoPath> {
        let path = self.choose()?;
        let (first, _) = path.parts[0];
        let admitted = self.shared.admit(first).ok_or(NoPath::Limited)?;
        Ok((path, admitted))
    }

    /// Sends the request along a new path and waits for the answer's head.
    pub(super) async fn attempt(&mut self) -> Result<(StatusCode, HeaderMap), Failure> {
        self.strike_out_ended().await;
        let chosen = self.choose_when_there_is_room().await;
        let (path, admitted) = chosen.map_err(Failure::no_path)?;
        let permit = self.permit(admitted)?;
        // Whoever gives this attempt up while it is under way can't know that it did not arrive.
        let reached_before = std::mem::replace(&mut self.reached, true);
        self.attempts += 1;
        let (first, _) = path.parts[0];
        let forwarded = ForwardedHead {
            time_left: self.ticket.left(),
            id: Some(&path.id),
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
        let sending = shared
            .pool
            .send(first, path.address, req, Reuse::Any, permit);
        let answer = self.head(sending, &path, sent).await;
        if matches!(&answer, Err(f) if f.why == NOT_SENT) {
            self.reached = reached_before;
        }
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
            course: Course {
                parts: path.parts,
                reroutes: 0,
                looked: None,
                _reservation: reservation,
            },
            cutter: Cutter::default(),
            heard: sent,
            begun: false,
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
        let exchange = self.wait_for_first(sending, &path.parts, sent).await?;
        let exchange = exchange.map_err(|e| self.not_sent(first, e))?;
        let head = D::decode_answer_head(exchange.response.headers());
        let said = announcement(&self.ticket, &exchange.response, &head, path.address);
        if let Some(said) = said {
            self.shared.on_limit_announcement(first, said, sent);
        }
        self.judge(first, path, &exchange.response, &head)?;
        let mut fleet = self.shared.fleet();
        for key in path.keys() {
            fleet.record_acceptance(key);
        }
        drop(fleet);
        Ok((exchange, head))
    }

    fn not_sent(&self, first: UpstreamKey, error: pool::Error) -> Failure {
        let mut fleet = self.shared.fleet();
        match error {
            pool::Error::NotSent => {
                fleet.eject_unreachable(first, Instant::now());
                Failure::new(Verdict::NotRun, NOT_SENT)
            }
            pool::Error::Lost => {
                fleet.record_outcome(first, true);
                Failure::crash("connection lost")
            }
        }
    }

    /// Judges an answer's head; blames the engine that it names, or else the first.
    fn judge(
        &self,
        first: UpstreamKey,
        path: &Path,
        response: &Response<Incoming>,
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
        // Whoever names itself in a refusal of its own is at the address that the request was sent to. A
        // refusal that a later engine gave says nothing of that address.
        let is_own = head.at_fault.is_none_or(|at| at == path.address);
        if let Some(id) = misdirected(response, head).filter(|_| is_own)
            && id != &*path.id
        {
            self.shared.learn_address_owner(path.address, id);
        }
        let mut fleet = self.shared.fleet();
        match failed && !head.not_run {
            true => fleet.record_outcome(blamed, true),
            false => fleet.record_refusal(blamed, Instant::now()),
        }
        info!(
            target: "decision",
            request:% = self.ticket.id,
            upstream:% = fleet.get(blamed).map_or("gone", |u| &u.entry.instance),
            named = named.is_some(),
            running = fleet.get(blamed).map(|u| u.load().running),
            reserved = fleet.get(blamed).map(|u| u.load().reserved.round()),
            fleet_version:% = fleet.version(),
            status = response.status().as_u16(),
            why:% = why;
            "engine ejected"
        );
        Err(Failure::new(verdict, why))
    }
}

/// An engine that holds a whole model, by the least work.
fn whole_engine(fleet: &Fleet, service: &str, tried: &[UpstreamKey]) -> Option<Path> {
    let now = Instant::now();
    let may = |u: &Upstream| u.is_ready() && u.limiter.admits(now);
    let open = fleet.of_service(service).filter(|(_, u)| may(u));
    let untried = open.filter(|(key, _)| !tried.contains(key));
    let least = |u: &Upstream| u.load().running;
    let (key, upstream) = untried.min_by(|a, b| least(a.1).total_cmp(&least(b.1)))?;
    let none = LayerRange { from: 0, to: 0 };
    Some(Path {
        parts: vec![(key, none)],
        hops: Vec::new(),
        address: upstream.entry.address,
        id: Arc::clone(&upstream.entry.id),
        crossings: 0,
    })
}
