//! Ledger of crashes: which requests ended the upstreams that ran them, as all daemons know it.
//!
//! A [`Crash`] is a fact about one request and one incarnation of an upstream: an attempt of the request
//! broke off there. Such a break is not yet a crash. Evidence raises the [`Finding`] of the fact, and
//! daemons merge facts by the higher finding. The ledger is therefore a set that only grows until
//! facts expire: merging is commutative, associative and idempotent, a crash that two daemons report
//! counts once, and two crashes at one moment count twice.
//!
//! A request is refused once [`Config::min_crashes`] different incarnations ended under it, unless
//! another request accounts for all of these crashes: requests that ran beside a poisonous one share its
//! crashes. Such suspects run in turns, each in a time slot of its own on an upstream, until one of them completes or
//! has a crash that it doesn't share. Daemons that know the same facts agree on the slots, which
//! count from the last of the crashes. A request with so many crashes that may run at all does so as one copy at a time
//! over all daemons ([`TestRuns`]), until it completes.
//!
//! ```
//! use kelpworks_coord::crash_ledger::*;
//! use kelpworks_coord::id::UpstreamId;
//! use kelpworks_coord::poison::Fingerprint;
//! use kelpworks_coord::time::Instant;
//!
//! let now = Instant::ZERO;
//! let poison = Fingerprint(1);
//! let mut ledger = CrashLedger::new(Config::default());
//! for upstream in 0..3 {
//!     assert_eq!(ledger.refusal(poison, now), None);
//!     ledger.record(poison, UpstreamId(upstream), Finding::Broken, now);
//! }
//! assert_eq!(ledger.refusal(poison, now), Some(Refusal::Unsettled));
//!
//! // One of the upstreams answers a later request at once, so it had not crashed.
//! let later = Instant::from_millis(100);
//! ledger.record_alive(UpstreamId(0), later, later);
//! assert_eq!(ledger.refusal(poison, now), None);
//! ```
//!
//! Limits: a request that ends an upstream at some runs only is cleared by the runs that complete. Two
//! requests of which one runs for longer than a slot may go on sharing crashes; both are refused at
//! [`Config::max_shared_crashes`], which nothing passes.

mod facts;
mod parts;
mod test_runs;
mod turns;
mod types;

use std::collections::HashMap;
use std::collections::HashSet;

use crate::id::PartId;
use crate::id::UpstreamId;
use crate::poison::Fingerprint;
use crate::time::Instant;
use crate::time::Span;
use facts::Fact;
use facts::Facts;
use facts::Record;
use facts::TIME_ERROR;
use parts::Parts;
use turns::Turns;

pub use parts::Lasted;
pub use test_runs::TestRuns;
pub use types::Blamed;
pub use types::BrokenRun;
pub use types::Changed;
pub use types::Config;
pub use types::Crash;
pub use types::Finding;
pub use types::LoweredCount;
pub use types::PartCrash;
pub use types::Refusal;
pub use types::Verdict;

/// Breaks of a request that come this soon after each other may be due to one cause that is not an end.
const JOINT_BREAKS: Span = Span::from_millis(25);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RefusalPeriod {
    until: Instant,
    is_settled: bool,
}

/// The facts that one daemon knows, and the requests that it refuses because of them.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    cfg: Config,
    facts: Facts<Fingerprint>,
    parts: Parts,
    /// Derived from `facts`, as all that follow.
    refused: HashMap<Fingerprint, RefusalPeriod>,
    /// Requests with at least one crash that would be refused if their doubtful breaks counted, and until
    /// when those may be decided.
    held: HashMap<Fingerprint, Instant>,
    /// Requests that would be refused if no others accounted for their crashes.
    suspects: HashSet<Fingerprint>,
    /// Requests whose crashes refused requests or parts explain, or whose refusal has ended. They run at any time,
    /// one copy at a time.
    excused: HashSet<Fingerprint>,
    /// Slots of the suspects, and of those that were cleared or are refused, so that the slots of the others stay
    /// where they are.
    turns: Turns<Fingerprint>,
    /// Crashes that count against each request with at least [`Config::min_crashes`] of them.
    counts: HashMap<Fingerprint, usize>,
    /// Counts that have fallen since [`CrashLedger::take_lowered`].
    lowered: Vec<LoweredCount>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(cfg: Config) -> CrashLedger {
        CrashLedger {
            cfg,
            facts: Facts::new(cfg),
            parts: Parts::new(cfg),
            refused: HashMap::new(),
            held: HashMap::new(),
            suspects: HashSet::new(),
            excused: HashSet::new(),
            turns: Turns::new(cfg.turn),
            counts: HashMap::new(),
            lowered: Vec::new(),
        }
    }

    /// Returns whether no fact is known.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty() && self.parts.facts.is_empty()
    }

    /// Returns the number of facts about requests.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Returns why a request may not run now; `None` if it may, which for a suspect is in its turn.
    pub fn refusal(&self, fingerprint: Fingerprint, now: Instant) -> Option<Refusal> {
        self.refusal_in_lanes(fingerprint, 1, now)
    }

    /// Like [`CrashLedger::refusal`], for a suspect that runs only on the upstream of its lane: as many
    /// suspects run at a time as there are lanes.
    pub fn refusal_in_lanes(
        &self,
        fingerprint: Fingerprint,
        lanes: usize,
        now: Instant,
    ) -> Option<Refusal> {
        if let Some(period) = self.refused.get(&fingerprint).filter(|p| now < p.until) {
            return Some(match period.is_settled {
                true => Refusal::Settled,
                false => Refusal::Unsettled,
            });
        }
        if self
            .held
            .get(&fingerprint)
            .is_some_and(|&until| now < until)
        {
            return Some(Refusal::Unsettled);
        }
        if !self.suspects.contains(&fingerprint) {
            return None;
        }
        let rank = self.turns.rank(fingerprint)?;
        let wait = self.turns.time_to_turn(rank, lanes.max(1), now);
        (wait > Span::ZERO).then_some(Refusal::WaitsForTurn(wait))
    }

    /// Returns why no request with these parts in its prompt may run now, and because of which part.
    pub fn refusal_of_parts(&self, parts: &[PartId], now: Instant) -> Option<(PartId, Refusal)> {
        self.parts.refusal(parts, now)
    }

    /// Returns which of `lanes` lanes a request has; `None` unless it is a suspect.
    pub fn lane(&self, fingerprint: Fingerprint, lanes: usize) -> Option<usize> {
        if !self.suspects.contains(&fingerprint) {
            return None;
        }
        self.turns.rank(fingerprint)?.checked_rem(lanes)
    }

    /// Returns whether a request is refused now for its crashes.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let period = self.refused.get(&fingerprint);
        period.is_some_and(|p| now < p.until)
    }

    /// Returns whether a request that may run now does so in a test run only, one copy at a time: it has as many
    /// crashes as one that is refused, and has not completed since.
    pub fn needs_test_run(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains(&fingerprint)
            || self.excused.contains(&fingerprint)
            || self.refused.contains_key(&fingerprint)
    }

    /// Returns whether there are suspects, which run in turns.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns the number of requests that are refused now.
    pub fn refused_count(&self, now: Instant) -> usize {
        self.refused.values().filter(|p| now < p.until).count()
    }

    /// Returns the number of crashes that count against a request.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        self.facts.counted(fingerprint).count()
    }

    /// Returns the number of crashes that count against a part.
    pub fn count_of_part(&self, part: PartId) -> usize {
        self.parts.ends(part)
    }

    /// Returns the finding about a request at an upstream.
    pub fn finding(&self, fingerprint: Fingerprint, upstream: UpstreamId) -> Option<Finding> {
        self.facts.get(fingerprint, upstream).map(|r| r.finding)
    }

    /// Records that an attempt broke off; returns whether that raised what is known.
    pub fn record(
        &mut self,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        finding: Finding,
        now: Instant,
    ) -> bool {
        let run = BrokenRun {
            fingerprint,
            parts: &[],
            upstream,
            finding,
            begun: None,
            is_answered: false,
        };
        self.record_run(run, now)
    }

    /// Returns whether an upstream is known to have ended, perhaps before its registration is removed: attempts broke
    /// off there, and then it accepted no connection while others did.
    pub fn has_ended(&self, upstream: UpstreamId) -> bool {
        self.parts.has_ended(upstream)
    }

    /// Records a run that broke off; returns whether that raised what is known of its request.
    ///
    /// Connections break off at sound upstreams too, and what is popular was at all of them. A break therefore counts
    /// against parts only once it is known that the upstream is gone.
    pub fn record_run(&mut self, run: BrokenRun<'_>, now: Instant) -> bool {
        let begun = run.begun.map(|begun| now.since(begun));
        let alive = begun.filter(|_| run.is_answered);
        let fact = Fact {
            subject: run.fingerprint,
            upstream: run.upstream,
            finding: run.finding,
            age: Span::ZERO,
            begun,
            alive,
            has_survived: false,
        };
        let merged = self.facts.record(fact, now);
        let finding = match run.finding {
            Finding::Broken => Finding::Doubtful,
            finding => finding,
        };
        for &part in run.parts {
            let fact = Fact {
                subject: part,
                upstream: run.upstream,
                finding,
                age: Span::ZERO,
                begun,
                alive,
                has_survived: self.parts.has_survived(part),
            };
            self.parts.facts.record(fact, now);
        }
        if merged.is_changed || !run.parts.is_empty() {
            self.evict(now);
            self.refresh(now);
        }
        !merged.raised.is_empty()
    }

    /// Records that a run with these parts in its prompt survived: it outlasted the time in which its parts
    /// would have ended the upstream. Returns the parts that it cleared of earlier crashes.
    pub fn record_survival(
        &mut self,
        parts: &[PartId],
        begun: Instant,
        lasted: Lasted,
        now: Instant,
    ) -> Vec<PartId> {
        let cleared = self.parts.survive(parts, begun, lasted, now);
        if !cleared.is_empty() {
            self.refresh(now);
        }
        cleared
    }

    /// Merges a fact of another daemon; returns whether it raised what is known. A fact past its
    /// retention is ignored.
    pub fn merge(&mut self, crash: Crash, now: Instant) -> bool {
        !self.merge_all([crash], now).is_empty()
    }

    /// Merges facts of another daemon; returns those that raised what is known.
    pub fn merge_all(
        &mut self,
        crashes: impl IntoIterator<Item = Crash>,
        now: Instant,
    ) -> Vec<Crash> {
        let merged = self
            .facts
            .merge_all(crashes.into_iter().map(Fact::from), now);
        if merged.is_changed {
            self.evict(now);
            self.refresh(now);
        }
        merged.raised.into_iter().map(Crash::from).collect()
    }

    /// Merges facts of another daemon about parts; returns those that raised what is known.
    pub fn merge_parts(
        &mut self,
        crashes: impl IntoIterator<Item = PartCrash>,
        now: Instant,
    ) -> Vec<PartCrash> {
        let facts = crashes.into_iter().map(Fact::from);
        let raised = self.parts.merge_all(facts, now);
        self.evict(now);
        self.refresh(now);
        raised.into_iter().map(PartCrash::from).collect()
    }

    /// Records that an upstream shows no sign of life while others do: breaks at it count from now on.
    pub fn record_silent(&mut self, upstream: UpstreamId, now: Instant) -> Changed {
        let changed = Changed {
            requests: self.facts.record_silent(upstream, now),
            parts: self.parts.facts.record_silent(upstream, now),
        };
        self.refreshed(changed, now)
    }

    /// Records that an upstream has answered a request, or accepted a connection, that was sent at
    /// `sent`. Breaks after that are not affected, nor those that are older than
    /// [`Config::min_restart`], as another process may have answered.
    pub fn record_alive(&mut self, upstream: UpstreamId, sent: Instant, now: Instant) -> Changed {
        let changed = Changed {
            requests: self.facts.record_alive(upstream, sent, now),
            parts: self.parts.facts.record_alive(upstream, sent, now),
        };
        self.refreshed(changed, now)
    }

    /// Records that an incarnation is gone.
    pub fn record_ended(&mut self, upstream: UpstreamId, now: Instant) -> Changed {
        let changed = Changed {
            requests: self.facts.record_ended(upstream, now),
            parts: self.parts.facts.record_ended(upstream, now),
        };
        self.refreshed(changed, now)
    }

    /// Returns the upstreams of breaks that nothing has decided within [`Config::decision_period`].
    pub fn undecided(&self, now: Instant) -> Vec<UpstreamId> {
        let upstreams = self.facts.undecided(now);
        let upstreams = upstreams.chain(self.parts.facts.undecided(now));
        let mut upstreams: Vec<UpstreamId> = upstreams.collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams
    }

    /// Records that an incarnation is still registered, which shows that it is alive if its breaks are
    /// older than [`Config::decision_period`].
    pub fn record_registered(&mut self, upstream: UpstreamId, now: Instant) -> Changed {
        let changed = Changed {
            requests: self.facts.record_registered(upstream, now),
            parts: self.parts.facts.record_registered(upstream, now),
        };
        self.refreshed(changed, now)
    }

    fn refreshed(&mut self, changed: Changed, now: Instant) -> Changed {
        if !changed.is_empty() {
            self.refresh(now);
        }
        changed
    }

    /// Clears the facts of a request that completed; returns whether there were any to clear.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let all = now + Span::from_millis(1);
        let is_cleared = self.facts.clear(fingerprint, all, now);
        if is_cleared {
            self.refresh(now);
        }
        is_cleared
    }

    /// Drops facts past their retention, and ends refusals that are over.
    pub fn expire(&mut self, now: Instant) {
        let has_expired = self.facts.expire(now) | self.parts.facts.expire(now);
        if has_expired || !self.parts.facts.is_empty() {
            self.refresh(now);
        }
    }

    /// Returns whether there are facts to send to other daemons.
    pub fn has_news(&self) -> bool {
        self.facts.has_news() || self.parts.facts.has_news()
    }

    /// Returns at most `max` of the facts about requests that this daemon has raised and not returned here yet, those
    /// first that refuse a request.
    pub fn take_news(&mut self, max: usize, now: Instant) -> Vec<Crash> {
        let refused = &self.refused;
        let news = self.facts.take_news(max, |f| refused.contains_key(&f), now);
        news.into_iter().map(Crash::from).collect()
    }

    /// Like [`CrashLedger::take_news`], about parts.
    pub fn take_news_of_parts(&mut self, max: usize, now: Instant) -> Vec<PartCrash> {
        let refused: HashSet<PartId> = self.parts.refused(now).collect();
        let news = self
            .parts
            .facts
            .take_news(max, |p| refused.contains(&p), now);
        news.into_iter().map(PartCrash::from).collect()
    }

    /// Returns the parts that have become refused since the last call, with the number of their crashes.
    pub fn take_decided_parts(&mut self) -> Vec<(PartId, usize)> {
        let decided = self.parts.take_decided().into_iter();
        decided.map(|part| (part, self.parts.ends(part))).collect()
    }

    /// Returns the requests of which fewer crashes count than before, since the last call.
    pub fn take_lowered(&mut self) -> Vec<LoweredCount> {
        std::mem::take(&mut self.lowered)
    }

    /// Returns the facts of a request that daemons report, by upstream.
    pub fn facts_of(&self, fingerprint: Fingerprint, now: Instant) -> Vec<Crash> {
        let facts = self.facts.facts_of(fingerprint, now);
        facts.into_iter().map(Crash::from).collect()
    }

    /// Returns the facts of a part that daemons report, by upstream.
    pub fn facts_of_part(&self, part: PartId, now: Instant) -> Vec<PartCrash> {
        let facts = self.parts.facts.facts_of(part, now);
        facts.into_iter().map(PartCrash::from).collect()
    }

    /// Returns at most `max` facts for a peer: first those that changed within `recent`, newest first,
    /// in at most half of the places, then the crashes of refused requests in turn over
    /// successive calls, so that a peer that knows nothing learns of each of these requests. Only
    /// requests with at least `min_facts` facts are reported.
    pub fn report(
        &mut self,
        max: usize,
        min_facts: usize,
        recent: Span,
        now: Instant,
    ) -> Vec<Crash> {
        let refused = self.refused.iter().filter(|(_, p)| now < p.until);
        let refused = refused.map(|(&f, _)| f);
        let facts = self.facts.report(max, min_facts, recent, refused, now);
        facts.into_iter().map(Crash::from).collect()
    }

    /// Like [`CrashLedger::report`], about parts.
    pub fn report_parts(
        &mut self,
        max: usize,
        min_facts: usize,
        recent: Span,
        now: Instant,
    ) -> Vec<PartCrash> {
        let refused: Vec<PartId> = self.parts.refused(now).collect();
        let parts = &mut self.parts.facts;
        let facts = parts.report(max, min_facts, recent, refused.into_iter(), now);
        facts.into_iter().map(PartCrash::from).collect()
    }

    /// Returns at most `max` facts that hold requests back, those first that refuse one: what has to outlast all
    /// daemons, so that no further upstream ends for it.
    pub fn facts_to_keep(&self, max: usize, now: Instant) -> Vec<Crash> {
        let refused = self.refused.keys().copied();
        let tested = self.suspects.iter().chain(&self.excused).copied();
        let mut held: Vec<(bool, Fingerprint)> = refused.map(|f| (false, f)).collect();
        held.extend(tested.map(|f| (true, f)));
        held.sort_unstable();
        let facts = held.into_iter().flat_map(|(_, fingerprint)| {
            let facts = self.facts.facts_of(fingerprint, now).into_iter();
            facts.filter(move |f| self.facts.counts(fingerprint, f.upstream))
        });
        facts.take(max).map(Crash::from).collect()
    }

    /// Like [`CrashLedger::facts_to_keep`], about parts that are refused.
    pub fn part_facts_to_keep(&self, max: usize, now: Instant) -> Vec<PartCrash> {
        let mut refused: Vec<PartId> = self.parts.refused(now).collect();
        refused.sort_unstable();
        let facts = refused
            .into_iter()
            .flat_map(|part| self.parts.ended_facts(part, now));
        facts.take(max).map(PartCrash::from).collect()
    }

    /// Returns all facts, by request and upstream.
    pub fn facts(&self, now: Instant) -> Vec<Crash> {
        self.facts.all(now).into_iter().map(Crash::from).collect()
    }

    /// Returns all facts about parts, by part and upstream.
    pub fn facts_of_parts(&self, now: Instant) -> Vec<PartCrash> {
        let facts = self.parts.facts.all(now);
        facts.into_iter().map(PartCrash::from).collect()
    }

    /// Returns the requests that are refused now, with the number of their crashes, most first.
    pub fn refused(&self, max: usize, now: Instant) -> Vec<(Fingerprint, usize)> {
        let refused = self.refused.iter().filter(|(_, p)| now < p.until);
        let mut refused: Vec<(Fingerprint, usize)> =
            refused.map(|(&f, _)| (f, self.count(f))).collect();
        refused.sort_unstable_by_key(|&(f, n)| (std::cmp::Reverse(n), f));
        refused.truncate(max);
        refused
    }

    /// Returns at most `max` of the requests that are held back now, by verdict and number of crashes, most first.
    pub fn blamed(&self, max: usize, now: Instant) -> Vec<Blamed> {
        let refused = self.refused.iter().map(|(&f, p)| match now < p.until {
            true => (f, Verdict::Refused, Some(p.until.since(now))),
            false => (f, Verdict::Excused, None),
        });
        let suspects = self.suspects.iter().map(|&f| (f, Verdict::Suspect, None));
        let excused = self.excused.iter().map(|&f| (f, Verdict::Excused, None));
        let blamed = refused.chain(suspects).chain(excused);
        let blamed = blamed.map(|(fingerprint, verdict, left)| {
            let last = self.facts.counted(fingerprint).map(|(_, r)| r.at).max();
            Blamed {
                fingerprint,
                verdict,
                crashes: self.count(fingerprint),
                last: last.map_or(Span::ZERO, |at| now.since(at)),
                left,
            }
        });
        let mut blamed: Vec<Blamed> = blamed.collect();
        blamed.sort_unstable_by_key(|b| (b.verdict, std::cmp::Reverse(b.crashes), b.fingerprint));
        blamed.truncate(max);
        blamed
    }

    /// Returns the parts that are refused now, with the number of their crashes, most first.
    pub fn refused_parts(&self, now: Instant) -> Vec<(PartId, usize)> {
        let refused = self.parts.refused(now);
        let mut refused: Vec<(PartId, usize)> = refused.map(|p| (p, self.parts.ends(p))).collect();
        refused.sort_unstable_by_key(|&(p, n)| (std::cmp::Reverse(n), p));
        refused
    }

    /// Returns whether another request accounts for all of these crashes of a request. One whose attempts broke off
    /// there at fewer moments doesn't: connections that are reset at one moment break off at several upstreams.
    fn is_shared(&self, fingerprint: Fingerprint, crashes: &[UpstreamId]) -> bool {
        let own = self.moments(fingerprint, crashes, TIME_ERROR);
        requests_at_all(&self.facts, crashes).any(|f| {
            f != fingerprint
                && !self.broke_off_before(f, fingerprint, crashes)
                && self.moments(f, crashes, JOINT_BREAKS) >= own
        })
    }

    /// Returns whether a request broke off at each of these upstreams before the run of `later` began there. An
    /// upstream that has ended begins no run, so it did not end with these breaks.
    fn broke_off_before(
        &self,
        fingerprint: Fingerprint,
        later: Fingerprint,
        crashes: &[UpstreamId],
    ) -> bool {
        crashes.iter().all(|&upstream| {
            let break_of = self.facts.get(fingerprint, upstream).map(|r| r.at);
            let begin_of_later = self.facts.get(later, upstream).and_then(|r| r.begun);
            let times = break_of.zip(begin_of_later);
            times.is_some_and(|(at, begun)| at + TIME_ERROR < begun)
        })
    }

    /// Returns at how many moments, this far apart, attempts of a request broke off at these upstreams.
    fn moments(&self, fingerprint: Fingerprint, crashes: &[UpstreamId], apart: Span) -> usize {
        let breaks = crashes
            .iter()
            .filter_map(|&u| self.facts.get(fingerprint, u));
        let mut times: Vec<Instant> = breaks.map(|r| r.at).collect();
        times.sort_unstable();
        let mut moments = 0;
        let mut last: Option<Instant> = None;
        for at in times {
            if last.is_none_or(|last| at >= last + apart) {
                moments += 1;
                last = Some(at);
            }
        }
        moments
    }

    /// Returns whether refused requests explain so many of these crashes that the rest is too few.
    fn is_explained(&self, crashes: &[UpstreamId]) -> bool {
        let is_refused = |f: &Fingerprint| self.refused.contains_key(f);
        let unexplained = crashes.iter().filter(|&&upstream| {
            let mut at_upstream = self.facts.at_upstream(upstream).iter();
            !at_upstream.any(|f| is_refused(f) && self.facts.counts(*f, upstream))
        });
        unexplained.count() < self.cfg.min_crashes
    }

    /// Keeps the facts within their bound.
    fn evict(&mut self, now: Instant) {
        let is_over = |len: usize| len > self.cfg.max_facts;
        if is_over(self.facts.len()) || is_over(self.parts.facts.len()) {
            self.expire(now);
            let refused = &self.refused;
            self.facts.evict(|f| refused.contains_key(&f));
            let refused: HashSet<PartId> = self.parts.refused(now).collect();
            self.parts.facts.evict(|p| refused.contains(&p));
        }
    }

    /// Derives which requests and parts are refused.
    fn refresh(&mut self, now: Instant) {
        let facts = &self.facts;
        let is_covered = |ends: &[UpstreamId]| requests_at_all(facts, ends).next().is_some();
        self.parts.refresh(is_covered, now);
        self.refused.clear();
        self.held.clear();
        self.suspects.clear();
        self.excused.clear();
        let candidates = self.facts.by_subject();
        let candidates = candidates.filter(|(_, u)| u.len() >= self.cfg.min_crashes);
        let candidates: Vec<Fingerprint> = candidates.map(|(f, _)| f).collect();
        let mut undecided = Vec::new();
        for fingerprint in candidates {
            let crashes: Vec<(UpstreamId, Record)> = self.facts.counted(fingerprint).collect();
            if let Some(until) = self.end_of_doubt(fingerprint, crashes.len()) {
                self.held.insert(fingerprint, until);
            }
            let Some(period) = self.period(&crashes) else {
                continue;
            };
            if now >= period.until {
                self.excused.insert(fingerprint);
                continue;
            }
            let upstreams: Vec<UpstreamId> = crashes.iter().map(|&(u, _)| u).collect();
            // Whatever else is to blame, so that no two attributes leave the decision to each other.
            let is_excluded = upstreams.len() < self.cfg.max_shared_crashes
                && (self.parts.accounts_for(&upstreams) || self.is_shared(fingerprint, &upstreams));
            match is_excluded {
                true => undecided.push((fingerprint, upstreams)),
                false => drop(self.refused.insert(fingerprint, period)),
            }
        }
        for (fingerprint, upstreams) in undecided {
            match self.parts.accounts_for(&upstreams) || self.is_explained(&upstreams) {
                true => self.excused.insert(fingerprint),
                false => self.suspects.insert(fingerprint),
            };
        }
        self.assign_turns(now);
        self.compare_counts();
    }

    /// Notes which counts have fallen since the last time.
    fn compare_counts(&mut self) {
        let facts = &self.facts;
        let count = |f: Fingerprint| facts.counted(f).count();
        let lowered = self
            .counts
            .iter()
            .map(|(&fingerprint, &before)| LoweredCount {
                fingerprint,
                before,
                after: count(fingerprint),
            });
        self.lowered.extend(lowered.filter(|l| l.after < l.before));
        let is_enough = |count: usize| count >= self.cfg.min_crashes;
        let requests = facts.by_subject().filter(|(_, u)| is_enough(u.len()));
        let counts = requests.map(|(f, _)| (f, count(f)));
        self.counts = counts.filter(|(_, n)| is_enough(*n)).collect();
    }

    /// Returns until when the doubtful breaks of a request may be decided, if there are so many that it would
    /// be refused with them. One crash that counts shows that not all are due to lost links.
    fn end_of_doubt(&self, fingerprint: Fingerprint, crashes: usize) -> Option<Instant> {
        let doubtful = self.facts.records_of(fingerprint);
        let doubtful = doubtful.filter(|(_, r)| r.finding == Finding::Doubtful);
        let doubtful: Vec<Instant> = doubtful.map(|(_, r)| r.at).collect();
        let is_held = crashes > 0 && crashes + doubtful.len() >= self.cfg.min_crashes;
        let last = doubtful.into_iter().max().filter(|_| is_held)?;
        Some(last + self.cfg.min_restart)
    }

    /// Assigns time slots while there are suspects.
    fn assign_turns(&mut self, now: Instant) {
        let crashes = self.suspects.iter().flat_map(|&f| self.facts.counted(f));
        let Some(last) = crashes.map(|(_, r)| r.at).max() else {
            self.turns.clear();
            return;
        };
        let has_run_lately = |record: &Record| {
            let has_run = record.finding.counts() || record.finding == Finding::Cleared;
            has_run && now.since(record.at) < self.cfg.refusal
        };
        let has_turn = |fingerprint: Fingerprint| {
            let records = self.facts.records_of(fingerprint);
            let recent = records.filter(|(_, r)| has_run_lately(r)).count();
            recent >= self.cfg.min_crashes || self.suspects.contains(&fingerprint)
        };
        // What ends an upstream does so soon: the request whose runs were short is tested first.
        let longest = |fingerprint: Fingerprint| {
            let records = self.facts.records_of(fingerprint);
            records.map(|(_, r)| r.lasted()).max()
        };
        let requests = self.facts.by_subject().map(|(f, _)| f);
        let requests = requests.filter(|&f| has_turn(f));
        self.turns.assign(requests.map(|f| (longest(f), f)), last);
    }

    /// Returns how long a request with these crashes is refused; `None` if they are too few.
    fn period(&self, crashes: &[(UpstreamId, Record)]) -> Option<RefusalPeriod> {
        if crashes.len() < self.cfg.min_crashes {
            return None;
        }
        let last = crashes.iter().map(|(_, r)| r.at).max()?;
        let ended = crashes.iter().filter(|(_, r)| r.finding == Finding::Ended);
        Some(RefusalPeriod {
            until: last + self.cfg.refusal_after(crashes.len()),
            is_settled: ended.count() >= self.cfg.min_crashes,
        })
    }
}

/// Returns the requests that account for all of these crashes.
fn requests_at_all(
    facts: &Facts<Fingerprint>,
    crashes: &[UpstreamId],
) -> impl Iterator<Item = Fingerprint> {
    let first = crashes.first().map(|&u| facts.at_upstream(u));
    let at_first = first.unwrap_or_default().iter().copied();
    at_first.filter(|&f| crashes.iter().all(|&u| facts.counts(f, u)))
}
