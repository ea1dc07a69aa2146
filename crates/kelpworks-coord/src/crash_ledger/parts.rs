//! Parts of prompts that crash upstreams, found by what the requests share whose upstreams ended.
//!
//! The model: a harmful part ends each upstream that begins to write an answer on it, after about the same time;
//! upstreams also end by other causes, several at once. Of a part, a run that broke off at an upstream which ended is a
//! failed trial, and a run that completed refutes the failed trials before its begin. What is harmful fails
//! each trial, what is popular survives many times a second, and what is rare was seldom at three ends.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::Config;
use super::Finding;
use super::Refusal;
use super::RefusalPeriod;
use super::facts::Fact;
use super::facts::Facts;
use super::facts::Record;
use super::facts::TIME_ERROR;
use super::turns::Turns;
use crate::id::PartId;
use crate::id::UpstreamId;
use crate::time::Instant;
use crate::time::Span;

/// Number of independent ends after which a part that never survived may be refused.
const MIN_TRIALS: usize = 2;
/// Minimum time after which a run that goes on shows that its parts end no upstream.
const MIN_SURVIVAL: Span = Span::from_secs(1);
/// Factor by which it has to last longer than any run of the part that broke off.
const SURVIVAL_FACTOR: u64 = 4;
/// How long a part is refused that survived at other times. It may be innocent, and can't survive again while it
/// is refused.
const REFUSAL_OF_SURVIVOR: Span = Span::from_secs(15);
/// Maximum number of parts that are judged, those first that never survived and were at most ends; it bounds the time
/// for which the ledger is locked.
const MAX_CANDIDATES: usize = 64;
/// Time within which connections usually decide a break.
const DOUBT_PERIOD: Span = Span::from_millis(300);
/// Number of parts whose last survival is remembered, some 100 kB.
const SURVIVALS: usize = 4_096;

/// How long a run lasted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lasted {
    /// It has completed.
    ToItsEnd,
    /// It goes on, after this time.
    For(Span),
}

/// What the evidence says about a part that was at several ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Verdict {
    /// Its requests are refused until then.
    Refused(RefusalPeriod),
    /// Its requests run in turns with those of other suspects.
    Suspect,
    /// Other parts account for its ends.
    Explained,
}

impl Verdict {
    fn is_refused(self) -> bool {
        matches!(self, Verdict::Refused(_))
    }
}

/// A part that was at so many ends that it may be harmful.
#[derive(Clone, Debug)]
struct Candidate {
    part: PartId,
    /// Upstreams that ended under it, sorted.
    ends: Vec<UpstreamId>,
    /// Number of ends that are independent of each other: a run began after one and broke off with the next.
    trials: usize,
    last: Instant,
    /// Whether a run with the part is known to have survived at any time.
    has_survived: bool,
}

impl Candidate {
    fn includes(&self, ends: &[UpstreamId]) -> bool {
        ends.iter().all(|end| self.ends.binary_search(end).is_ok())
    }

    /// Whether this part, if it is harmful, explains all ends of another one.
    fn covers(&self, other: &Candidate) -> bool {
        self.part != other.part && self.includes(&other.ends)
    }
}

/// When the last surviving run of a part began, for the parts that survived last.
#[derive(Clone, Debug)]
struct Survivals(Vec<Option<(PartId, Instant)>>);

impl Survivals {
    fn new() -> Survivals {
        Survivals(vec![None; SURVIVALS])
    }

    fn slot(part: PartId) -> usize {
        let spread = part.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (spread >> 32) as usize % SURVIVALS
    }

    fn insert(&mut self, part: PartId, begun: Instant) {
        let slot = &mut self.0[Survivals::slot(part)];
        let known = slot.filter(|(p, _)| *p == part).map(|(_, at)| at);
        *slot = Some((part, known.map_or(begun, |at| at.max(begun))));
    }

    fn get(&self, part: PartId) -> Option<Instant> {
        let (known, begun) = self.0[Survivals::slot(part)]?;
        (known == part).then_some(begun)
    }
}

/// The facts about parts that one daemon knows, and what it concludes from them.
#[derive(Clone, Debug)]
pub(super) struct Parts {
    cfg: Config,
    pub(super) facts: Facts<PartId>,
    survivals: Survivals,
    /// Derived from `facts` and `survivals`, as all that follow.
    candidates: Vec<(Candidate, Verdict)>,
    refused: HashMap<PartId, RefusalPeriod>,
    /// Parts that never survived and would be candidates with their breaks in doubt, and until when those may be
    /// decided.
    held: HashMap<PartId, Instant>,
    suspects: Turns<PartId>,
    has_suspects: bool,
    /// Parts that have become refused since [`Parts::take_decided`].
    decided: Vec<PartId>,
}

impl Parts {
    pub(super) fn new(cfg: Config) -> Parts {
        Parts {
            cfg,
            facts: Facts::new(cfg),
            survivals: Survivals::new(),
            candidates: Vec::new(),
            refused: HashMap::new(),
            held: HashMap::new(),
            suspects: Turns::new(cfg.turn),
            has_suspects: false,
            decided: Vec::new(),
        }
    }

    /// Returns why a request with these parts may not run now, and because of which part.
    pub(super) fn refusal(&self, parts: &[PartId], now: Instant) -> Option<(PartId, Refusal)> {
        if self.refused.is_empty() && self.held.is_empty() && !self.has_suspects {
            return None;
        }
        if let Some(part) = parts.iter().find(|&&p| self.is_refused(p, now)) {
            return Some((*part, Refusal::Settled));
        }
        let is_held = |p: &&PartId| self.held.get(p).is_some_and(|&until| now < until);
        if let Some(part) = parts.iter().find(is_held) {
            return Some((*part, Refusal::Unsettled));
        }
        // Later parts are the more specific ones, so that a request with several tests the last one.
        let mut suspects = parts.iter().rev();
        let (part, rank) = suspects.find_map(|&p| Some((p, self.suspects.rank(p)?)))?;
        let wait = self.suspects.time_to_turn(rank, 1, now);
        (wait > Span::ZERO).then_some((part, Refusal::WaitsForTurn(wait)))
    }

    pub(super) fn is_refused(&self, part: PartId, now: Instant) -> bool {
        self.refused.get(&part).is_some_and(|p| now < p.until)
    }

    pub(super) fn refused(&self, now: Instant) -> impl Iterator<Item = PartId> {
        let refused = self.refused.iter().filter(move |(_, p)| now < p.until);
        refused.map(|(&part, _)| part)
    }

    /// Returns the number of upstreams that ended under a part.
    pub(super) fn ends(&self, part: PartId) -> usize {
        self.crashes(part).count()
    }

    /// Returns the breaks under a part at upstreams that ended. A break in doubt counts once another one shows
    /// that its upstream has ended.
    fn crashes(&self, part: PartId) -> impl Iterator<Item = (UpstreamId, Record)> {
        let records = self.facts.records_of(part);
        records.filter(|(upstream, record)| {
            let is_broken = record.finding.counts()
                || (record.finding == Finding::Doubtful && self.has_ended(*upstream));
            is_broken && !self.facts.is_before_end(*upstream, record)
        })
    }

    /// Returns the facts of a part at upstreams that ended.
    pub(super) fn ended_facts(&self, part: PartId, now: Instant) -> Vec<Fact<PartId>> {
        let ends: Vec<UpstreamId> = self.crashes(part).map(|(upstream, _)| upstream).collect();
        let mut facts = self.facts.facts_of(part, now);
        facts.retain(|f| ends.contains(&f.upstream));
        for fact in &mut facts {
            // What shows the end of the upstream may not be kept beside it.
            fact.finding = fact.finding.max(Finding::Broken);
        }
        facts
    }

    /// Returns whether a break with a part shows that its upstream has ended.
    pub(super) fn has_ended(&self, upstream: UpstreamId) -> bool {
        let mut parts = self.facts.at_upstream(upstream).iter();
        parts.any(|&part| {
            let record = self.facts.get(part, upstream);
            record.is_some_and(|r| r.finding.counts())
        })
    }

    /// Returns whether parts account for these crashes of a request: so many are due to refused parts that the rest is
    /// too few, or a suspect explains all of them and further ones.
    pub(super) fn accounts_for(&self, crashes: &[UpstreamId]) -> bool {
        let refused = self.candidates.iter().filter(|(_, v)| v.is_refused());
        if self.unexplained(crashes, refused.map(|(c, _)| c)) < self.cfg.min_crashes {
            return true;
        }
        self.candidates.iter().any(|(candidate, verdict)| {
            let is_likely = *verdict == Verdict::Suspect && !candidate.has_survived;
            is_likely && candidate.ends.len() > crashes.len() && candidate.includes(crashes)
        })
    }

    /// Returns the number of ends that none of these parts explains.
    fn unexplained<'a>(
        &self,
        ends: &[UpstreamId],
        parts: impl Iterator<Item = &'a Candidate> + Clone,
    ) -> usize {
        let is_explained = |end: &UpstreamId| parts.clone().any(|p| p.includes(&[*end]));
        ends.iter().filter(|end| !is_explained(end)).count()
    }

    /// Returns the parts that have become refused since the last call.
    pub(super) fn take_decided(&mut self) -> Vec<PartId> {
        std::mem::take(&mut self.decided)
    }

    /// Merges facts; those that a survival known here refutes are cleared at once. Returns those that raised
    /// what is known.
    pub(super) fn merge_all(
        &mut self,
        facts: impl IntoIterator<Item = Fact<PartId>>,
        now: Instant,
    ) -> Vec<Fact<PartId>> {
        let merged = self.facts.merge_all(facts, now);
        for fact in &merged.raised {
            if let Some(begun) = self.survivals.get(fact.subject) {
                self.facts.clear(fact.subject, begun, now);
                self.facts.set_survived(fact.subject);
            }
        }
        merged.raised
    }

    /// Records that a run with these parts survived; returns the parts that it cleared.
    pub(super) fn survive(
        &mut self,
        parts: &[PartId],
        begun: Instant,
        lasted: Lasted,
        now: Instant,
    ) -> Vec<PartId> {
        let mut cleared = Vec::new();
        for &part in parts {
            if let Lasted::For(span) = lasted
                && span < self.survival_time(part)
            {
                continue;
            }
            self.survivals.insert(part, begun);
            if !self.facts.is_empty() && self.facts.clear(part, begun, now) {
                cleared.push(part);
            }
        }
        cleared
    }

    /// Returns the time after which a run with the part has survived.
    fn survival_time(&self, part: PartId) -> Span {
        let broken = self.facts.records_of(part).map(|(_, r)| r.lasted());
        let longest = broken.max().unwrap_or(Span::ZERO);
        MIN_SURVIVAL.max(longest.times(SURVIVAL_FACTOR))
    }

    /// Returns whether a run with the part is known to have survived, here or at another daemon.
    pub(super) fn has_survived(&self, part: PartId) -> bool {
        let mut records = self.facts.records_of(part);
        self.survivals.get(part).is_some()
            || records.any(|(_, r)| r.has_survived || r.finding == Finding::Cleared)
    }

    /// Returns a part as a candidate if it was at enough ends. One that has survived at other times needs
    /// ends that are independent of each other.
    fn candidate(&self, part: PartId) -> Option<Candidate> {
        let mut crashes: Vec<(UpstreamId, Record)> = self.crashes(part).collect();
        let last = crashes.iter().map(|(_, r)| r.at).max()?;
        if crashes.len() < self.cfg.min_crashes {
            return None;
        }
        crashes.sort_unstable_by_key(|(upstream, r)| (r.at, *upstream));
        let trials = independent_ends(crashes.iter().map(|(_, r)| r));
        let has_survived = self.has_survived(part);
        if has_survived && trials < self.cfg.min_crashes {
            return None;
        }
        let mut ends: Vec<UpstreamId> = crashes.into_iter().map(|(upstream, _)| upstream).collect();
        ends.sort_unstable();
        Some(Candidate {
            part,
            ends,
            trials,
            last,
            has_survived,
        })
    }

    /// Derives which parts are refused. `is_covered` is whether a single request accounts for ends.
    pub(super) fn refresh(&mut self, is_covered: impl Fn(&[UpstreamId]) -> bool, now: Instant) {
        let parts = self.facts.by_subject();
        let parts = parts.filter(|(_, upstreams)| upstreams.len() >= self.cfg.min_crashes);
        let parts: Vec<PartId> = parts.map(|(part, _)| part).collect();
        let candidates = parts.into_iter().filter_map(|part| self.candidate(part));
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_unstable_by_key(|c| (c.has_survived, Reverse(c.ends.len()), c.part));
        candidates.truncate(MAX_CANDIDATES);
        let mut judged: Vec<(Candidate, Verdict)> = Vec::with_capacity(candidates.len());
        for candidate in &candidates {
            let verdict = self.judge(candidate, &candidates, &judged, &is_covered, now);
            judged.push((candidate.clone(), verdict));
        }
        self.candidates = judged;
        self.apply_verdicts(now);
        self.hold_doubtful(now);
    }

    /// Holds back the parts of which a break in doubt may be the last that is needed. Connections decide it
    /// soon.
    fn hold_doubtful(&mut self, now: Instant) {
        let parts = self.facts.by_subject();
        let parts = parts.filter(|(_, upstreams)| upstreams.len() >= self.cfg.min_crashes);
        let held = parts.filter_map(|(part, _)| Some((part, self.end_of_doubt(part, now)?)));
        self.held = held.collect();
    }

    fn end_of_doubt(&self, part: PartId, now: Instant) -> Option<Instant> {
        let is_recent = |r: &Record| now.since(r.at) < DOUBT_PERIOD;
        let records = self.facts.records_of(part);
        let doubtful = records.filter(|(_, r)| r.finding == Finding::Doubtful && is_recent(r));
        let doubtful: Vec<Instant> = doubtful.map(|(_, r)| r.at).collect();
        if doubtful.is_empty() {
            return None;
        }
        let crashes = self.ends(part);
        let may_be_last = crashes > 0 && crashes + doubtful.len() >= self.cfg.min_crashes;
        let is_unknown = may_be_last && !self.has_survived(part);
        let last = doubtful.into_iter().max().filter(|_| is_unknown)?;
        Some(last + DOUBT_PERIOD)
    }

    /// Judges a candidate, given the verdicts of the likelier ones: those that never survived come first, and of
    /// these the ones with most ends.
    fn judge(
        &self,
        candidate: &Candidate,
        all: &[Candidate],
        judged: &[(Candidate, Verdict)],
        is_covered: &impl Fn(&[UpstreamId]) -> bool,
        now: Instant,
    ) -> Verdict {
        let likelier = judged.iter().filter(|(other, verdict)| {
            let never_survived = candidate.has_survived && !other.has_survived;
            verdict.is_refused() || (never_survived && *verdict == Verdict::Suspect)
        });
        let unexplained = self.unexplained(&candidate.ends, likelier.map(|(c, _)| c));
        if unexplained < self.cfg.min_crashes {
            return Verdict::Explained;
        }
        let has_rival = all.iter().any(|other| {
            let is_as_likely = other.has_survived <= candidate.has_survived;
            is_as_likely && other.covers(candidate)
        });
        let (min_trials, length) = match candidate.has_survived {
            true => (self.cfg.max_shared_crashes, REFUSAL_OF_SURVIVOR),
            false => {
                let length = self.cfg.refusal_after(candidate.ends.len());
                (MIN_TRIALS, length)
            }
        };
        let is_certain =
            !has_rival && candidate.trials >= min_trials && !is_covered(&candidate.ends);
        let period = RefusalPeriod {
            until: candidate.last + length,
            is_settled: true,
        };
        match is_certain && now < period.until {
            true => Verdict::Refused(period),
            false => Verdict::Suspect,
        }
    }

    fn apply_verdicts(&mut self, now: Instant) {
        let earlier = std::mem::take(&mut self.refused);
        let mut suspects = Vec::new();
        let mut last_crash = Instant::ZERO;
        for (candidate, verdict) in &self.candidates {
            match verdict {
                Verdict::Refused(period) => {
                    let was_refused = earlier.get(&candidate.part).is_some_and(|p| now < p.until);
                    if !was_refused {
                        self.decided.push(candidate.part);
                    }
                    self.refused.insert(candidate.part, *period);
                }
                Verdict::Suspect => {
                    suspects.push(candidate.part);
                    last_crash = last_crash.max(candidate.last);
                }
                Verdict::Explained => {}
            }
        }
        self.has_suspects = !suspects.is_empty();
        let suspects = suspects.into_iter().map(|part| ((), part));
        self.suspects.assign(suspects, last_crash);
    }
}

/// Returns the number of ends, in the order of time, of which each came some time after the one before and broke off a
/// run that began after it. Upstreams that end together end by one cause.
fn independent_ends<'a>(ends: impl Iterator<Item = &'a Record>) -> usize {
    let mut count = 0;
    let mut previous: Option<Instant> = None;
    for end in ends {
        let is_independent = previous.is_none_or(|previous| {
            let is_later_run = end.begun.is_none_or(|begun| begun >= previous);
            is_later_run && end.at >= previous + TIME_ERROR
        });
        if is_independent {
            count += 1;
            previous = Some(end.at);
        }
    }
    count
}
