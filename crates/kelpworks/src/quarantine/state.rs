//! What is in flight, who is suspect and whose turn it is. No I/O and no waiting.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use slotmap::SecondaryMap;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::fleet::UpstreamKey;
use crate::quarantine::Config;
use crate::quarantine::Fact;
use crate::quarantine::PendingStep;
use crate::quarantine::Refusal;
use crate::quarantine::Result;
use crate::quarantine::RoutingHints;
use crate::quarantine::Statement;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Action;
use kelpworks_coord::poison::Admission;
use kelpworks_coord::poison::Config as PoisonConfig;
use kelpworks_coord::poison::Event;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::poison::PoisonTracker;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;

/// When to ask again for a request that another daemon is about to clear or refuse.
const SOON: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a step in flight.
    pub(super) struct StepKey;
}

/// A step in flight.
#[derive(Clone, Copy, Debug)]
struct Step {
    fingerprint: Fingerprint,
    upstream: UpstreamKey,
    /// Tokens known when it began.
    known: u32,
    /// It holds the turn of its fingerprint.
    apart: bool,
    /// The crash of its upstream has been noted for all that was in flight there.
    counted: bool,
}

/// What is known of a suspect beside the judgement.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Tokens known at the latest crash seen here; `None` while only other daemons saw one.
    crashed_at: Option<u32>,
    /// The latest upstream that died with it here.
    crashed_on: Option<UpstreamKey>,
    /// Upstreams of the path of its latest session.
    path: Vec<UpstreamKey>,
    /// Held by a step of this fingerprint; at most one.
    turn: Option<StepKey>,
}

/// Another daemon that has suspects of its own.
#[derive(Clone, Debug)]
struct Other {
    /// Those that it has stated and not withdrawn, with the upstream that died.
    suspects: HashMap<Fingerprint, UpstreamId>,
    /// Until then it is thought to be at work on them; renewed by each fact from it.
    until: Instant,
}

/// Whether a step may begin.
#[derive(Clone, Copy, Debug)]
pub(super) enum Begin {
    /// It has begun.
    Begun {
        /// To end it with.
        key: StepKey,
        /// It holds the turn of its fingerprint.
        apart: bool,
    },
    /// Not yet.
    Wait,
    /// Not at all.
    Refused(Refusal),
}

/// The state of a [`crate::quarantine::Quarantine`].
#[derive(Debug)]
pub(super) struct State {
    cfg: Config,
    me: NodeId,
    poison: PoisonTracker,
    steps: SlotMap<StepKey, Step>,
    /// Crashes of each upstream so far; absent for none.
    crashes: SecondaryMap<UpstreamKey, u32>,
    /// Those that `poison` holds for suspects, and perhaps some that it has forgotten since.
    suspects: HashMap<Fingerprint, Suspect>,
    /// Daemons with suspects; their turns are in the order of the identifiers.
    others: BTreeMap<NodeId, Other>,
    /// No suspect has its turn before: facts of the latest crash may be on their way.
    settled_at: Instant,
}

impl State {
    pub(super) fn new(cfg: &Config, me: NodeId) -> State {
        let poison = PoisonConfig {
            refusal_ttl: span(cfg.refusal_ttl),
            suspicion_ttl: span(cfg.suspicion_ttl),
            max_tracked: cfg.max_tracked,
        };
        State {
            cfg: cfg.clone(),
            me,
            poison: PoisonTracker::new(poison),
            steps: SlotMap::with_key(),
            crashes: SecondaryMap::new(),
            suspects: HashMap::new(),
            others: BTreeMap::new(),
            settled_at: Instant::ZERO,
        }
    }

    /// Whether a new request may run.
    pub(super) fn check(&self, now: Instant, fingerprint: Fingerprint) -> Result<()> {
        match self.poison.check(now, fingerprint) {
            Admission::Normal => Ok(()),
            Admission::Refused { retry_after } => Err(Refusal::Crashes {
                retry_after: duration(retry_after),
            }),
            Admission::Isolated => match self.under_test(now, fingerprint) {
                Some(left) => Err(Refusal::UnderTest {
                    retry_after: left.min(SOON),
                }),
                None => Ok(()),
            },
        }
    }

    /// How long another daemon may still take over a suspect that only others saw crash.
    fn under_test(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        if suspect.crashed_at.is_some() {
            return None;
        }
        let testing = self.others.values();
        let testing = testing.filter(|o| o.until > now && o.suspects.contains_key(&fingerprint));
        let until = testing.map(|o| o.until).max()?;
        Some(duration(until.since(now)))
    }

    /// Whether a daemon that comes before this one has suspects.
    ///
    /// Suspects of two daemons on one upstream would each be alone in the view of their own, and
    /// both be blamed for its crash; so the daemons go one after another.
    fn others_first(&self, now: Instant) -> bool {
        let mut before = self.others.range(..self.me);
        before.any(|(_, o)| o.until > now && !o.suspects.is_empty())
    }

    /// Whether a daemon that comes before this one has suspects that it may just have run on an
    /// upstream that died. Those that the same death made suspects ran like any others there.
    fn others_ran(&self, now: Instant, upstream: UpstreamId) -> bool {
        let mut before = self.others.range(..self.me);
        before.any(|(_, o)| o.until > now && o.suspects.values().any(|&at| at != upstream))
    }

    /// Asks to begin a step, and notes that it is in flight.
    pub(super) fn begin(&mut self, now: Instant, wanted: PendingStep<'_>) -> Begin {
        let PendingStep {
            fingerprint,
            upstream,
            known,
            ..
        } = wanted;
        let apart = match self.poison.check(now, fingerprint) {
            Admission::Normal => false,
            Admission::Isolated => true,
            Admission::Refused { retry_after } => {
                let retry_after = duration(retry_after);
                return Begin::Refused(Refusal::Crashes { retry_after });
            }
        };
        if apart && !self.take_turn(now, wanted) {
            return Begin::Wait;
        }
        let key = self.steps.insert(Step {
            fingerprint,
            upstream,
            known,
            apart,
            counted: false,
        });
        if apart {
            self.suspects.entry(fingerprint).or_default().turn = Some(key);
        }
        Begin::Begun { key, apart }
    }

    fn take_turn(&mut self, now: Instant, wanted: PendingStep<'_>) -> bool {
        let fingerprint = wanted.fingerprint;
        let suspect = self.suspects.get(&fingerprint);
        if suspect.is_some_and(|s| s.turn.is_some())
            || now < self.settled_at
            || self.others_first(now)
            || self.under_test(now, fingerprint).is_some()
        {
            return false;
        }
        let life = self.life(wanted.upstream, wanted.name);
        self.poison.try_start(now, fingerprint, life)
    }

    /// Ends a step; tells whether that may let another go on.
    pub(super) fn end(&mut self, now: Instant, key: StepKey) -> bool {
        let Some(step) = self.steps.remove(key) else {
            return false;
        };
        let Some(suspect) = self.suspects.get_mut(&step.fingerprint) else {
            return step.apart;
        };
        if suspect.turn == Some(key) {
            suspect.turn = None;
            self.poison.on_event(now, Event::Ended(step.fingerprint));
        }
        step.apart
    }

    /// Notes that the upstream died under a step, and judges all that it had in flight. Later
    /// reports of the same crash change nothing.
    ///
    /// `told` says whether other daemons hear of it.
    pub(super) fn crashed(
        &mut self,
        now: Instant,
        key: StepKey,
        name: &str,
        told: bool,
    ) -> Vec<Fact> {
        let Some(&Step {
            upstream, counted, ..
        }) = self.steps.get(key)
        else {
            return Vec::new();
        };
        if counted {
            return Vec::new();
        }
        self.forget(now);
        if told {
            self.settled_at = now + span(self.cfg.isolation_delay);
        }
        let blame = !self.others_ran(now, UpstreamId::of(name));
        let life = self.life(upstream, name);
        *self.crashes.entry(upstream).unwrap().or_insert(0) += 1;
        let mut running = Vec::new();
        let mut crashed = Vec::new();
        for step in self.steps.values_mut() {
            if step.upstream != upstream || step.counted {
                continue;
            }
            step.counted = true;
            crashed.push(*step);
            // One that began before it was a suspect was not apart, and one that ran beside other
            // daemons' suspects was not either: no second crash of its own.
            let suspect = self.poison.check(now, step.fingerprint) == Admission::Isolated;
            if (step.apart && blame) || !suspect {
                running.push(step.fingerprint);
            }
        }
        let event = Event::Crashed {
            upstream: life,
            running,
        };
        let actions = self.poison.on_event(now, event);
        for step in crashed {
            let suspect = self.suspects.entry(step.fingerprint).or_default();
            suspect.crashed_at = suspect.crashed_at.max(Some(step.known));
            suspect.crashed_on = Some(upstream);
        }
        self.facts(actions, UpstreamId::of(name))
    }

    fn facts(&mut self, actions: Vec<Action>, upstream: UpstreamId) -> Vec<Fact> {
        let mut facts = Vec::new();
        for action in actions {
            let (fingerprint, statement) = match action {
                Action::RerunIsolated { fingerprint, .. } => {
                    let remaining = self.cfg.suspicion_ttl;
                    let statement = Statement::Suspect {
                        upstream,
                        remaining,
                    };
                    (fingerprint, statement)
                }
                Action::Refuse(fingerprint) => {
                    self.suspects.remove(&fingerprint);
                    let remaining = self.cfg.refusal_ttl;
                    (fingerprint, Statement::Refused { remaining })
                }
                Action::Clear(fingerprint) => {
                    self.suspects.remove(&fingerprint);
                    (fingerprint, Statement::Cleared)
                }
            };
            facts.push(Fact {
                by: self.me,
                fingerprint,
                statement,
            });
        }
        facts
    }

    /// A step further; clears a suspect that has come past the point of its crash.
    pub(super) fn record_progress(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        known: u32,
        whole: bool,
    ) -> Vec<Fact> {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Vec::new();
        };
        let passed = match suspect.crashed_at {
            Some(at) if whole => known > at,
            Some(at) => known >= at.saturating_add(self.cfg.clear_after),
            // Only the other daemon knows the point.
            None => whole,
        };
        if !passed {
            return Vec::new();
        }
        self.suspects.remove(&fingerprint);
        let actions = self.poison.on_event(now, Event::Finished(fingerprint));
        self.facts(actions, UpstreamId(0))
    }

    pub(super) fn refuse(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Fact> {
        self.refused(now, fingerprint, span(self.cfg.refusal_ttl));
        self.facts(vec![Action::Refuse(fingerprint)], UpstreamId(0))
    }

    pub(super) fn apply_fact(&mut self, now: Instant, fact: Fact) {
        self.forget(now);
        let Fact {
            by,
            fingerprint,
            statement,
        } = fact;
        let until = now + span(self.cfg.peer_test_timeout);
        let other = self.others.entry(by).or_insert_with(|| Other {
            suspects: HashMap::new(),
            until,
        });
        other.until = until;
        match statement {
            Statement::Suspect { upstream, .. } => {
                other.suspects.insert(fingerprint, upstream);
                self.learn_suspect(now, fingerprint, upstream);
            }
            Statement::Cleared => {
                other.suspects.remove(&fingerprint);
                self.learn_cleared(now, fingerprint);
            }
            Statement::Refused { remaining } => {
                let remaining = span(remaining);
                self.refused(now, fingerprint, remaining);
            }
        }
    }

    fn learn_suspect(&mut self, now: Instant, fingerprint: Fingerprint, upstream: UpstreamId) {
        if matches!(
            self.poison.check(now, fingerprint),
            Admission::Refused { .. }
        ) {
            return;
        }
        let event = Event::PeerSuspects {
            fingerprint,
            // No life of an upstream that this daemon gives work to.
            upstream: UpstreamId(!upstream.0),
        };
        self.poison.on_event(now, event);
        self.suspects.entry(fingerprint).or_default();
    }

    fn learn_cleared(&mut self, now: Instant, fingerprint: Fingerprint) {
        let mut others = self.others.values();
        let suspected = others.any(|o| o.suspects.contains_key(&fingerprint));
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return;
        };
        // What this daemon saw itself is its own to clear.
        if suspect.crashed_at.is_none() && !suspected {
            self.suspects.remove(&fingerprint);
            self.poison.on_event(now, Event::Finished(fingerprint));
        }
    }

    fn refused(&mut self, now: Instant, fingerprint: Fingerprint, remaining: Span) {
        self.suspects.remove(&fingerprint);
        for other in self.others.values_mut() {
            other.suspects.remove(&fingerprint);
        }
        let event = Event::PeerConfirmed {
            fingerprint,
            remaining,
        };
        self.poison.on_event(now, event);
    }

    /// Drops what is kept of suspects that the judgement has forgotten, and of daemons that are
    /// done with theirs.
    fn forget(&mut self, now: Instant) {
        let poison = &self.poison;
        self.suspects
            .retain(|f, s| s.turn.is_some() || poison.check(now, *f) == Admission::Isolated);
        self.others
            .retain(|_, o| o.until > now && !o.suspects.is_empty());
    }

    pub(super) fn routing_hints(&self, fingerprint: Fingerprint) -> RoutingHints {
        let Some(me) = self.suspects.get(&fingerprint) else {
            return RoutingHints::default();
        };
        let others = self.suspects.iter().filter(|(f, _)| **f != fingerprint);
        RoutingHints {
            crashed: me.crashed_on,
            occupied: others.flat_map(|(_, s)| s.path.iter().copied()).collect(),
        }
    }

    pub(super) fn record_path(
        &mut self,
        fingerprint: Fingerprint,
        upstreams: impl Iterator<Item = UpstreamKey>,
    ) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.path = upstreams.collect();
        }
    }

    /// One life of an upstream, from one crash to the next: what the judgement counts as an
    /// upstream, so that a stage with a single replica can be run on again after its restart, and
    /// a second crash there counts.
    fn life(&self, upstream: UpstreamKey, name: &str) -> UpstreamId {
        let crashes = self.crashes.get(upstream).copied().unwrap_or(0);
        UpstreamId(UpstreamId::of(name).0.wrapping_add(crashes.into()))
    }
}

fn span(d: Duration) -> Span {
    Span::from_millis(d.as_millis() as u64)
}

fn duration(span: Span) -> Duration {
    Duration::from_millis(span.as_millis())
}
