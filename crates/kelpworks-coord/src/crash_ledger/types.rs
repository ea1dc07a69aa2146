//! Limits, findings and facts of the ledger, as callers and other daemons see them.

use serde::Deserialize;
use serde::Serialize;

use super::facts::Fact;
use crate::id::PartId;
use crate::id::UpstreamId;
use crate::poison::Fingerprint;
use crate::time::Instant;
use crate::time::Span;

/// Limits of a [`CrashLedger`](super::CrashLedger).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Crashes after which a request is refused. Default 3: two may be a coincidence while much fails.
    pub min_crashes: usize,
    /// Crashes after which a request is refused even if another one accounts for all of them. Default 5.
    pub max_shared_crashes: usize,
    /// Time slot in which one of several suspects may run. It begins to run in the first half. Default
    /// 300 ms.
    pub turn: Span,
    /// Time after the begin of a test run of a suspect in which no other copy of it begins: longer than an upstream
    /// takes to end under it, and the other daemons to learn that. Default 1 s.
    pub test_run: Span,
    /// How long a request is refused after the crash that made it refused; each further crash
    /// doubles it. Default 2 min.
    pub refusal: Span,
    /// How long a fact is kept, and so the longest refusal. Default 1 h.
    pub retention: Span,
    /// Time within which an upstream that ended does not answer again as another process at the same
    /// address. Default 2 s.
    pub min_restart: Span,
    /// Time within which the registration of an upstream that ended is removed or replaced: a removal
    /// later than that shows no crash if the address accepted connections meanwhile. Default 10 s.
    pub decision_period: Span,
    /// Most facts that are kept about requests, and about parts. Default 4,096.
    pub max_facts: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            min_crashes: 3,
            max_shared_crashes: 5,
            turn: Span::from_millis(300),
            test_run: Span::from_secs(1),
            refusal: Span::from_secs(120),
            retention: Span::from_secs(3_600),
            min_restart: Span::from_secs(2),
            decision_period: Span::from_secs(10),
            max_facts: 4_096,
        }
    }
}

impl Config {
    /// Returns how long a request with so many crashes is refused after the last one.
    pub(super) fn refusal_after(&self, crashes: usize) -> Span {
        let further = crashes.saturating_sub(self.min_crashes);
        let factor = 1u64.checked_shl(further as u32).unwrap_or(u64::MAX);
        self.refusal.times(factor).min(self.retention)
    }
}

/// What is known about a break, in the order in which evidence raises it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// An attempt was abandoned without an answer. Does not count, and is not reported.
    Silent,
    /// An attempt broke off, perhaps because the daemon lost its own links. Does not count.
    Doubtful,
    /// An attempt broke off while the daemon reached other upstreams. Counts.
    Broken,
    /// The upstream answered or accepted a connection too soon for a restart. Does not count.
    Alive,
    /// The incarnation is gone, or another one has its address. Counts.
    Ended,
    /// A later run of the request completed. Does not count.
    Cleared,
}

impl Finding {
    /// All findings, in their order.
    pub const ALL: [Finding; 6] = [
        Finding::Silent,
        Finding::Doubtful,
        Finding::Broken,
        Finding::Alive,
        Finding::Ended,
        Finding::Cleared,
    ];

    /// Returns whether the fact counts as a crash.
    pub fn counts(self) -> bool {
        matches!(self, Finding::Broken | Finding::Ended)
    }

    /// Returns the name for logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Finding::Silent => "silent",
            Finding::Doubtful => "doubtful",
            Finding::Broken => "broken",
            Finding::Alive => "alive",
            Finding::Ended => "ended",
            Finding::Cleared => "cleared",
        }
    }
}

/// A fact as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// Request that broke off.
    pub fingerprint: Fingerprint,
    /// Incarnation of the upstream that ran it.
    pub upstream: UpstreamId,
    /// What is known about the break.
    pub finding: Finding,
    /// Time since the break.
    pub age: Span,
    /// Time since the run began that broke off, where it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub begun: Option<Span>,
    /// Time since the upstream worked, if it is known to have worked after the break.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub alive: Option<Span>,
}

/// A fact about a part of prompts, as daemons exchange it: a request with the part broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PartCrash {
    /// Part of the prompt of the request.
    pub part: PartId,
    /// Incarnation of the upstream that ran it.
    pub upstream: UpstreamId,
    /// What is known about the break.
    pub finding: Finding,
    /// Time since the break.
    pub age: Span,
    /// Time since the run began that broke off, where it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub begun: Option<Span>,
    /// Time since the upstream worked, if it is known to have worked after the break.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub alive: Option<Span>,
    /// Whether any daemon knows that a run with the part survived, at whatever time.
    #[serde(default)]
    pub has_survived: bool,
}

/// A run that broke off.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRun<'a> {
    /// Request that broke off.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that other requests may share.
    pub parts: &'a [PartId],
    /// Incarnation of the upstream that ran it.
    pub upstream: UpstreamId,
    /// What is known about the break.
    pub finding: Finding,
    /// When the run began.
    pub begun: Option<Instant>,
    /// Whether its answer had begun, which shows that the upstream worked on it.
    pub is_answered: bool,
}

/// Requests and parts whose facts evidence has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// Requests, each once.
    pub requests: Vec<Fingerprint>,
    /// Parts, each once.
    pub parts: Vec<PartId>,
}

impl Changed {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }
}

/// What the evidence says about a request with at least [`Config::min_crashes`] crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// It does not run.
    Refused,
    /// It runs in its turn, one copy at a time.
    Suspect,
    /// It runs at any time, one copy at a time.
    Excused,
}

impl Verdict {
    /// Returns the name for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Refused => "refused",
            Verdict::Suspect => "suspect",
            Verdict::Excused => "excused",
        }
    }
}

/// A request that is held back, with the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Blamed {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What the evidence says.
    pub verdict: Verdict,
    /// Number of crashes that count.
    pub crashes: usize,
    /// Time since the last of them.
    pub last: Span,
    /// Time until the refusal ends; `None` if it is not refused.
    pub left: Option<Span>,
}

/// A request of which fewer crashes count than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LoweredCount {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of its crashes that counted before.
    pub before: usize,
    /// Number of its crashes that count now.
    pub after: usize,
}

/// Why a request may not run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It crashes upstreams, which are known to have ended.
    Settled,
    /// It probably crashes upstreams; evidence of the next seconds decides.
    Unsettled,
    /// It is one of several suspects, and its turn begins after this time.
    WaitsForTurn(Span),
}

impl From<Crash> for Fact<Fingerprint> {
    fn from(crash: Crash) -> Fact<Fingerprint> {
        Fact {
            subject: crash.fingerprint,
            upstream: crash.upstream,
            finding: crash.finding,
            age: crash.age,
            begun: crash.begun,
            alive: crash.alive,
            has_survived: false,
        }
    }
}

impl From<Fact<Fingerprint>> for Crash {
    fn from(fact: Fact<Fingerprint>) -> Crash {
        Crash {
            fingerprint: fact.subject,
            upstream: fact.upstream,
            finding: fact.finding,
            age: fact.age,
            begun: fact.begun,
            alive: fact.alive,
        }
    }
}

impl From<PartCrash> for Fact<PartId> {
    fn from(crash: PartCrash) -> Fact<PartId> {
        Fact {
            subject: crash.part,
            upstream: crash.upstream,
            finding: crash.finding,
            age: crash.age,
            begun: crash.begun,
            alive: crash.alive,
            has_survived: crash.has_survived,
        }
    }
}

impl From<Fact<PartId>> for PartCrash {
    fn from(fact: Fact<PartId>) -> PartCrash {
        PartCrash {
            part: fact.subject,
            upstream: fact.upstream,
            finding: fact.finding,
            age: fact.age,
            begun: fact.begun,
            alive: fact.alive,
            has_survived: fact.has_survived,
        }
    }
}
