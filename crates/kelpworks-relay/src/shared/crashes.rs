//! Breaks of attempts, the evidence about them, and the requests that are refused because of them.
//!
//! An attempt that breaks off is entered in the ledger of crashes, whichever way the request came. Then
//! evidence decides whether its upstream crashed: connections to its address are tried for as long as
//! no restart can answer them, its answers to later requests count, and so does the removal of its
//! incarnation from the registrations.

mod evidence;
mod test_runs;
#[cfg(test)]
mod test_runs_tests;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use kelpworks::sync::lock;
use kelpworks_coord::crash_ledger::BrokenRun;
use kelpworks_coord::crash_ledger::Crash;
use kelpworks_coord::crash_ledger::CrashLedger;
use kelpworks_coord::crash_ledger::Finding;
use kelpworks_coord::crash_ledger::Lasted;
use kelpworks_coord::crash_ledger::PartCrash;
use kelpworks_coord::crash_ledger::Refusal;
use kelpworks_coord::id::PartId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::time;
use kelpworks_coord::time::Span;
use log::info;
use tokio::time::Instant;

use super::Shared;
use crate::fleet::UpstreamKey;

pub(crate) use test_runs::TEST_RUN_RETRY;
pub(crate) use test_runs::TestRun;
pub(crate) use test_runs::TestRunAnswer;
pub(crate) use test_runs::TestRunQuestion;

/// Reason of refusals of requests that crash upstreams.
const CRASHES_UPSTREAMS: &str = "crashes upstreams";
/// Reason of refusals of requests with a part in their prompts that crashes upstreams.
const PART_CRASHES_UPSTREAMS: &str = "part of the prompt crashes upstreams";
/// Reason of refusals of a request that probably crashes upstreams, while it is not known whether they have
/// ended.
const UNDECIDED: &str = "crashes undecided";
/// Reason of refusals of a request that may be one of those that crash upstreams, and has to run apart
/// from the others.
const WAITS_FOR_TURN: &str = "runs apart after crashes";
/// Longest wait of a request for its turn.
const MAX_TURN_WAIT: Duration = Duration::from_secs(1);
/// `Retry-After` for a request that crashes upstreams. A caller that repeats it gains nothing.
const CRASHING_RETRY: Duration = Duration::from_secs(60);
/// `Retry-After` while evidence may still show that the upstreams are alive.
const UNSETTLED_RETRY: Duration = Duration::from_secs(2);
/// Maximum number of fingerprints, or of parts of a prompt, in a log line.
const MAX_LOGGED: usize = 8;

/// A request that was not refused for crashes when this was given. What hands a request to another daemon requires
/// it for each attempt.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub(crate) struct Cleared {
    lane: Option<Lane>,
    /// Whether it runs in a test run only.
    is_suspect: bool,
}

impl Cleared {
    /// Returns the permission to run the request; `None` if it is a suspect, whose test run has to be granted.
    pub(crate) fn runnable(self) -> Option<Runnable> {
        (!self.is_suspect).then_some(Runnable { lane: self.lane })
    }
}

/// Permission to run a request. What writes a request to an upstream requires one for each attempt.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub(crate) struct Runnable {
    lane: Option<Lane>,
}

impl Runnable {
    /// Returns the upstream on which a suspect runs apart from others; `None` if it may run on any.
    pub(crate) fn lane(self) -> Option<Lane> {
        self.lane
    }
}

/// One of the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lane {
    /// Its index among the registered upstreams of the service, in the order of their instances.
    pub(crate) index: usize,
}

/// What crashes may be blamed on: a request, and the parts of its prompt that it shares with others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Identity<'a> {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) parts: &'a [PartId],
}

/// Refusal of a request because of the crashes under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CrashRefusal {
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Duration,
    /// Part of the prompt that is to blame; `None` if the request itself is.
    pub(crate) part: Option<PartId>,
}

impl CrashRefusal {
    fn new(refusal: Refusal) -> CrashRefusal {
        let (reason, retry_after) = match refusal {
            Refusal::Settled => (CRASHES_UPSTREAMS, CRASHING_RETRY),
            Refusal::Unsettled => (UNDECIDED, UNSETTLED_RETRY),
            Refusal::WaitsForTurn(wait) => return CrashRefusal::waits_for_turn(wait),
        };
        CrashRefusal {
            reason,
            retry_after,
            part: None,
        }
    }

    fn waits_for_turn(wait: Span) -> CrashRefusal {
        CrashRefusal {
            reason: WAITS_FOR_TURN,
            retry_after: Duration::from_millis(wait.as_millis()),
            part: None,
        }
    }

    fn of_part(part: PartId, refusal: Refusal) -> CrashRefusal {
        let of_request = CrashRefusal::new(refusal);
        let reason = match refusal {
            Refusal::Settled => PART_CRASHES_UPSTREAMS,
            _ => of_request.reason,
        };
        CrashRefusal {
            reason,
            part: Some(part),
            ..of_request
        }
    }
}

/// Incarnation of an upstream that an attempt is sent to. It stays known when the registration is gone.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    pub(crate) key: UpstreamKey,
    pub(crate) instance: Arc<str>,
    pub(crate) address: SocketAddr,
}

/// How an attempt ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Break {
    /// Its connection ended before the answer was complete.
    Lost,
    /// It was abandoned because no answer came. The upstream may be slow.
    Silent,
}

/// The attempt that broke off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenAttempt<'a> {
    /// `call` or `stream`.
    pub(crate) kind: &'static str,
    /// Id of the request.
    pub(crate) request: &'a str,
    /// Team of its caller, if it names one.
    pub(crate) team: Option<&'a str>,
    pub(crate) identity: Identity<'a>,
    pub(crate) service: &'a Arc<str>,
    pub(crate) incarnation: &'a Incarnation,
    /// When it was sent there.
    pub(crate) sent: Instant,
    /// Whether its answer had begun.
    pub(crate) is_answered: bool,
    pub(crate) end: Break,
}

impl Shared {
    /// Locks the ledger of crashes.
    pub fn crashes(&self) -> MutexGuard<'_, CrashLedger> {
        lock(&self.crashes)
    }

    /// Returns `at` as the ledger counts time.
    pub(crate) fn ledger_time(&self, at: Instant) -> time::Instant {
        time::Instant::from_millis(at.saturating_duration_since(self.started).as_millis() as u64)
    }

    /// Checks whether a request is refused at a service because of crashes. `is_whole` is whether a
    /// single upstream runs it, so that suspects run apart on different ones.
    pub(crate) fn check_crashes(
        &self,
        identity: Identity<'_>,
        service: &str,
        is_whole: bool,
    ) -> std::result::Result<Cleared, CrashRefusal> {
        let Identity { fingerprint, parts } = identity;
        let now = self.ledger_time(Instant::now());
        let has_lanes = is_whole && self.crashes().has_suspects();
        let lanes = match has_lanes {
            true => self.fleet().of_service(service).count(),
            false => 1,
        };
        let ledger = self.crashes();
        if let Some((part, refusal)) = ledger.refusal_of_parts(parts, now) {
            return Err(CrashRefusal::of_part(part, refusal));
        }
        if let Some(refusal) = ledger.refusal_in_lanes(fingerprint, lanes, now) {
            return Err(CrashRefusal::new(refusal));
        }
        let lane = ledger.lane(fingerprint, lanes).filter(|_| has_lanes);
        Ok(Cleared {
            lane: lane.map(|index| Lane { index }),
            is_suspect: ledger.needs_test_run(fingerprint),
        })
    }

    /// Waits for the turn of a request that has to run apart; returns its refusal if it may not run
    /// then either.
    pub(crate) async fn wait_for_turn(
        &self,
        identity: Identity<'_>,
        service: &str,
        is_whole: bool,
    ) -> std::result::Result<Cleared, CrashRefusal> {
        let until = Instant::now() + MAX_TURN_WAIT;
        loop {
            let checked = self.check_crashes(identity, service, is_whole);
            let Err(refusal) = checked else {
                return checked;
            };
            let turn = Instant::now() + refusal.retry_after;
            if refusal.reason != WAITS_FOR_TURN || turn > until {
                return checked;
            }
            tokio::time::sleep_until(turn).await;
        }
    }

    /// Returns the incarnation behind a key; `None` once it has been removed.
    pub(crate) fn incarnation(&self, key: UpstreamKey) -> Option<Incarnation> {
        let fleet = self.fleet();
        let entry = &fleet.get(key)?.entry;
        Some(Incarnation {
            key,
            instance: Arc::clone(&entry.instance),
            address: entry.address,
        })
    }

    /// Records an attempt that broke off, and has its upstream checked. Returns the number of
    /// crashes that count against the request.
    pub(crate) fn record_break(self: &Arc<Shared>, broken: BrokenAttempt<'_>) -> usize {
        let BrokenAttempt {
            kind,
            request,
            team,
            identity: Identity { fingerprint, parts },
            service,
            incarnation,
            sent,
            is_answered,
            end,
        } = broken;
        let now = Instant::now();
        let is_registered = self.fleet().get(incarnation.key).is_some();
        let finding = match end {
            _ if !is_registered => Finding::Ended,
            Break::Silent => Finding::Silent,
            Break::Lost if self.reach().is_doubtful(service, now) => Finding::Doubtful,
            Break::Lost => Finding::Broken,
        };
        let upstream = UpstreamId::of(&incarnation.instance);
        let crashes = {
            let mut ledger = self.crashes();
            let run = BrokenRun {
                fingerprint,
                parts,
                upstream,
                finding,
                begun: Some(self.ledger_time(sent)),
                is_answered,
            };
            ledger.record_run(run, self.ledger_time(now));
            ledger.count(fingerprint)
        };
        let labels = [("kind", kind), ("finding", finding.as_str())];
        metrics::counter!("kelpworks_broken_attempts_total", &labels).increment(1);
        info!(
            target: "decision",
            request:% = request,
            team:% = team.unwrap_or_default(),
            service:% = service,
            fingerprint:% = fingerprint,
            upstream:% = incarnation.instance,
            kind:% = kind,
            finding:% = finding.as_str(),
            crashes,
            parts:% = format_parts(parts);
            "attempt broke off at an upstream"
        );
        self.log_changed_verdicts("a break");
        self.crash_news.notify_one();
        self.spawn_check(incarnation.clone(), now);
        crashes
    }

    /// Records that a run with these parts in its prompt survived, which was sent at `sent`.
    pub(crate) fn record_survival(&self, parts: &[PartId], sent: Instant, lasted: Lasted) {
        if parts.is_empty() {
            return;
        }
        let now = self.ledger_time(Instant::now());
        let sent = self.ledger_time(sent);
        let cleared = self.crashes().record_survival(parts, sent, lasted, now);
        if cleared.is_empty() {
            return;
        }
        info!(
            target: "decision",
            parts:% = format_parts(&cleared);
            "parts of prompts cleared of crashes"
        );
        self.count_findings(Finding::Cleared, cleared.len());
        self.log_changed_verdicts("a clearance");
        self.crash_news.notify_one();
    }

    /// Logs the parts of prompts that have become refused, and the requests of which fewer crashes count.
    fn log_changed_verdicts(&self, evidence: &'static str) {
        let (decided, lowered) = {
            let mut ledger = self.crashes();
            (ledger.take_decided_parts(), ledger.take_lowered())
        };
        for count in lowered.iter().take(MAX_LOGGED) {
            info!(
                target: "decision",
                fingerprint:% = count.fingerprint,
                before = count.before,
                after = count.after,
                evidence:% = evidence;
                "fewer crashes count against a request"
            );
        }
        metrics::counter!("kelpworks_lowered_crash_counts_total").increment(lowered.len() as u64);
        for (part, crashes) in decided {
            info!(
                target: "decision",
                part:% = part,
                crashes,
                evidence:% = evidence;
                "part of prompts refused"
            );
            metrics::counter!("kelpworks_refused_parts_total").increment(1);
        }
    }

    /// Clears a request that completed.
    pub(crate) fn clear_crashes(&self, request: &str, fingerprint: Fingerprint) {
        let mut ledger = self.crashes();
        if ledger.is_empty() {
            return;
        }
        let now = self.ledger_time(Instant::now());
        let is_cleared = ledger.clear(fingerprint, now);
        drop(ledger);
        if is_cleared {
            self.log_changed_verdicts("a completed run");
            info!(
                target: "decision",
                request:% = request,
                fingerprint:% = fingerprint;
                "request cleared of crashes"
            );
            self.count_findings(Finding::Cleared, 1);
            self.crash_news.notify_one();
        }
    }

    /// Applies facts that a peer reported; returns those that were new. Some daemons check the upstreams
    /// of breaks over their own links.
    pub(crate) fn learn_crashes(self: &Arc<Shared>, crashes: Vec<Crash>, peer: &str) -> Vec<Crash> {
        if crashes.is_empty() {
            return crashes;
        }
        let now = self.ledger_time(Instant::now());
        let raised = self.crashes().merge_all(crashes, now);
        if !raised.is_empty() {
            let facts = raised.iter().take(MAX_LOGGED).map(|c| {
                let age_ms = c.age.as_millis();
                format!("{}:{}:{age_ms}ms", c.fingerprint, c.finding.as_str())
            });
            info!(
                target: "decision",
                count = raised.len(),
                facts:% = facts.collect::<Vec<String>>().join(","),
                peer:% = peer;
                "crashes reported by a peer"
            );
            let undecided = raised.iter().filter(|c| c.finding < Finding::Alive);
            self.check_reported(undecided.map(|c| c.upstream).collect());
        }
        self.log_changed_verdicts("a peer");
        raised
    }

    /// Like [`Shared::learn_crashes`], about parts of prompts.
    pub(crate) fn learn_part_crashes(
        self: &Arc<Shared>,
        crashes: Vec<PartCrash>,
        peer: &str,
    ) -> Vec<PartCrash> {
        if crashes.is_empty() {
            return crashes;
        }
        let now = self.ledger_time(Instant::now());
        let (raised, has_news) = {
            let mut ledger = self.crashes();
            let raised = ledger.merge_parts(crashes, now);
            (raised, ledger.has_news())
        };
        if has_news {
            self.crash_news.notify_one();
        }
        if !raised.is_empty() {
            let facts = raised.iter().take(MAX_LOGGED).map(|c| {
                let age_ms = c.age.as_millis();
                format!("{}:{}:{age_ms}ms", c.part, c.finding.as_str())
            });
            info!(
                target: "decision",
                count = raised.len(),
                facts:% = facts.collect::<Vec<String>>().join(","),
                peer:% = peer;
                "crashes under parts of prompts reported by a peer"
            );
            let undecided = raised.iter().filter(|c| c.finding < Finding::Alive);
            self.check_reported(undecided.map(|c| c.upstream).collect());
        }
        self.log_changed_verdicts("a peer");
        raised
    }

    /// Waits until this daemon has raised a finding.
    pub(crate) async fn crash_news(&self) {
        self.crash_news.notified().await;
    }

    /// Wakes what sends findings.
    pub(crate) fn notify_crash_news(&self) {
        self.crash_news.notify_one();
    }

    fn count_findings(&self, finding: Finding, count: usize) {
        let labels = [("finding", finding.as_str())];
        metrics::counter!("kelpworks_crash_findings_total", &labels).increment(count as u64);
    }
}

/// Returns the first parts of a prompt for the log, separated by commas.
fn format_parts(parts: &[PartId]) -> String {
    let ids = parts.iter().take(MAX_LOGGED).map(PartId::to_string);
    ids.collect::<Vec<String>>().join(",")
}

/// Upstreams that are being checked after a break.
pub(super) type CheckedUpstreams = HashSet<UpstreamKey>;
