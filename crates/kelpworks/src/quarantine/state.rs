//! State of the quarantine: the steps in flight, the suspects, and which of them may run. It does
//! no I/O and does not wait.

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

/// Longest retry time that is given for a request that another daemon is testing.
const MAX_UNDER_TEST_RETRY_AFTER: Duration = Duration::from_secs(1);

new_key_type! {
    /// Identifies a step from its begin to its end.
    pub(super) struct StepKey;
}

/// A step in flight.
#[derive(Clone, Copy, Debug)]
struct Step {
    fingerprint: Fingerprint,
    upstream: UpstreamKey,
    /// Number of tokens of the request that were known when the step began.
    known_tokens: u32,
    /// Whether it runs in isolation, as the only step of its fingerprint that does.
    isolated: bool,
    /// Whether a crash of its upstream has been recorded; the first report records it for all steps
    /// in flight there.
    crash_recorded: bool,
}

/// What is known about a suspect in addition to its state in [`PoisonTracker`].
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Most tokens that were known at the begin of a step that crashed here; `None` while only
    /// other daemons saw a crash.
    crash_tokens: Option<u32>,
    /// Upstream that died last while it ran the suspect for this daemon.
    crashed_upstream: Option<UpstreamKey>,
    /// Upstreams on the path of its latest session.
    path: Vec<UpstreamKey>,
    /// Isolated step of this fingerprint that is in flight; there is at most one.
    isolated_step: Option<StepKey>,
}

/// Another daemon that has suspects of its own.
#[derive(Clone, Debug)]
struct Peer {
    /// Suspects that it has reported and that are neither cleared nor refused, with the upstream
    /// that died.
    suspects: HashMap<Fingerprint, UpstreamId>,
    /// Time until which it is assumed to be testing them; extended by each fact from it.
    testing_until: Instant,
}

/// Result of an attempt to begin a step.
#[derive(Clone, Copy, Debug)]
pub(super) enum BeginResult {
    /// The step has begun.
    Begun {
        /// Key to end the step with.
        key: StepKey,
        /// Whether it runs in isolation.
        isolated: bool,
    },
    /// The step may not begin yet.
    Wait,
    /// The request is refused.
    Refused(Refusal),
}

/// State of a [`crate::quarantine::Quarantine`].
#[derive(Debug)]
pub(super) struct State {
    cfg: Config,
    local_id: NodeId,
    poison: PoisonTracker,
    steps: SlotMap<StepKey, Step>,
    /// Number of crashes of each upstream so far; absent for none.
    crashes: SecondaryMap<UpstreamKey, u32>,
    /// Requests that `poison` tracks as suspects, and possibly some that it has dropped since.
    suspects: HashMap<Fingerprint, Suspect>,
    /// Other daemons with suspects. Daemons test their suspects in ascending order of identifier.
    peers: BTreeMap<NodeId, Peer>,
    /// Time before which no isolated step begins, because other daemons' facts about the latest
    /// crash may not have arrived yet.
    isolation_starts_at: Instant,
}

impl State {
    pub(super) fn new(cfg: &Config, local_id: NodeId) -> State {
        let poison = PoisonConfig {
            refusal_ttl: span(cfg.refusal_ttl),
            suspicion_ttl: span(cfg.suspicion_ttl),
            max_tracked: cfg.max_tracked,
        };
        State {
            cfg: cfg.clone(),
            local_id,
            poison: PoisonTracker::new(poison),
            steps: SlotMap::with_key(),
            crashes: SecondaryMap::new(),
            suspects: HashMap::new(),
            peers: BTreeMap::new(),
            isolation_starts_at: Instant::ZERO,
        }
    }

    /// Implements [`super::Quarantine::check`].
    pub(super) fn check(&self, now: Instant, fingerprint: Fingerprint) -> Result<()> {
        match self.poison.check(now, fingerprint) {
            Admission::Normal => Ok(()),
            Admission::Refused { retry_after } => Err(Refusal::Crashes {
                retry_after: duration(retry_after),
            }),
            Admission::Isolated => match self.under_test(now, fingerprint) {
                Some(remaining) => Err(Refusal::UnderTest {
                    retry_after: remaining.min(MAX_UNDER_TEST_RETRY_AFTER),
                }),
                None => Ok(()),
            },
        }
    }

    /// Returns how long this daemon waits for others that are testing a suspect; `None` when none
    /// is, or when this daemon saw a crash of the suspect itself and tests it.
    fn under_test(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        if suspect.crash_tokens.is_some() {
            return None;
        }
        let testing_peers = self.peers.values();
        let testing_peers = testing_peers
            .filter(|o| o.testing_until > now && o.suspects.contains_key(&fingerprint));
        let testing_until = testing_peers.map(|o| o.testing_until).max()?;
        Some(duration(testing_until.since(now)))
    }

    /// Returns whether a daemon with a lower identifier is testing suspects.
    ///
    /// If suspects of two daemons ran on one upstream, each would be isolated in the view of its
    /// own daemon, and a crash would be attributed to both. Daemons therefore test one after
    /// another.
    fn peer_goes_first(&self, now: Instant) -> bool {
        let mut lower_peers = self.peers.range(..self.local_id);
        lower_peers.any(|(_, o)| o.testing_until > now && !o.suspects.is_empty())
    }

    /// Returns whether a daemon with a lower identifier may have been testing a suspect on an
    /// upstream when the upstream died. Suspects that it reported because of the death of this same
    /// upstream don't count: they were not suspected yet and ran there like any other request.
    fn peer_may_have_run(&self, now: Instant, upstream: UpstreamId) -> bool {
        let mut lower_peers = self.peers.range(..self.local_id);
        lower_peers
            .any(|(_, o)| o.testing_until > now && o.suspects.values().any(|&at| at != upstream))
    }

    /// Begins a step if it may run now, and records it as in flight.
    pub(super) fn begin(&mut self, now: Instant, pending: PendingStep<'_>) -> BeginResult {
        let PendingStep {
            fingerprint,
            upstream,
            known_tokens,
            ..
        } = pending;
        let isolated = match self.poison.check(now, fingerprint) {
            Admission::Normal => false,
            Admission::Isolated => true,
            Admission::Refused { retry_after } => {
                let retry_after = duration(retry_after);
                return BeginResult::Refused(Refusal::Crashes { retry_after });
            }
        };
        if isolated && !self.try_start_isolated(now, pending) {
            return BeginResult::Wait;
        }
        let key = self.steps.insert(Step {
            fingerprint,
            upstream,
            known_tokens,
            isolated,
            crash_recorded: false,
        });
        if isolated {
            self.suspects.entry(fingerprint).or_default().isolated_step = Some(key);
        }
        BeginResult::Begun { key, isolated }
    }

    fn try_start_isolated(&mut self, now: Instant, pending: PendingStep<'_>) -> bool {
        let fingerprint = pending.fingerprint;
        let suspect = self.suspects.get(&fingerprint);
        if suspect.is_some_and(|s| s.isolated_step.is_some())
            || now < self.isolation_starts_at
            || self.peer_goes_first(now)
            || self.under_test(now, fingerprint).is_some()
        {
            return false;
        }
        let incarnation = self.upstream_incarnation(pending.upstream, pending.name);
        self.poison.try_start(now, fingerprint, incarnation)
    }

    /// Ends a step; returns whether another step may be able to begin because of it.
    pub(super) fn end(&mut self, now: Instant, key: StepKey) -> bool {
        let Some(step) = self.steps.remove(key) else {
            return false;
        };
        let Some(suspect) = self.suspects.get_mut(&step.fingerprint) else {
            return step.isolated;
        };
        if suspect.isolated_step == Some(key) {
            suspect.isolated_step = None;
            self.poison.on_event(now, Event::Ended(step.fingerprint));
        }
        step.isolated
    }

    /// Records that the upstream of a step died, and returns the resulting facts about all requests
    /// that had steps in flight there. Further reports of the same crash have no effect.
    ///
    /// `published` says whether other daemons receive the facts.
    pub(super) fn record_crash(
        &mut self,
        now: Instant,
        key: StepKey,
        name: &str,
        published: bool,
    ) -> Vec<Fact> {
        let Some(&Step {
            upstream,
            crash_recorded,
            ..
        }) = self.steps.get(key)
        else {
            return Vec::new();
        };
        if crash_recorded {
            return Vec::new();
        }
        self.evict_expired(now);
        if published {
            self.isolation_starts_at = now + span(self.cfg.isolation_delay);
        }
        let attributable = !self.peer_may_have_run(now, UpstreamId::of(name));
        let incarnation = self.upstream_incarnation(upstream, name);
        *self.crashes.entry(upstream).unwrap().or_insert(0) += 1;
        let mut running = Vec::new();
        let mut affected = Vec::new();
        for step in self.steps.values_mut() {
            if step.upstream != upstream || step.crash_recorded {
                continue;
            }
            step.crash_recorded = true;
            affected.push(*step);
            // A step that began before its request was suspected was not isolated, nor was one that
            // may have run beside another daemon's suspect: neither counts as a second crash.
            let suspect = self.poison.check(now, step.fingerprint) == Admission::Isolated;
            if (step.isolated && attributable) || !suspect {
                running.push(step.fingerprint);
            }
        }
        let event = Event::Crashed {
            upstream: incarnation,
            running,
        };
        let actions = self.poison.on_event(now, event);
        for step in affected {
            let suspect = self.suspects.entry(step.fingerprint).or_default();
            suspect.crash_tokens = suspect.crash_tokens.max(Some(step.known_tokens));
            suspect.crashed_upstream = Some(upstream);
        }
        self.facts_from(actions, UpstreamId::of(name))
    }

    fn facts_from(&mut self, actions: Vec<Action>, upstream: UpstreamId) -> Vec<Fact> {
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
                by: self.local_id,
                fingerprint,
                statement,
            });
        }
        facts
    }

    /// Implements [`super::Quarantine::record_progress`].
    pub(super) fn record_progress(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        known_tokens: u32,
        complete: bool,
    ) -> Vec<Fact> {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Vec::new();
        };
        let past_crash = match suspect.crash_tokens {
            Some(at) if complete => known_tokens > at,
            Some(at) => known_tokens >= at.saturating_add(self.cfg.clear_after),
            // Only the other daemon knows the point of the crash.
            None => complete,
        };
        if !past_crash {
            return Vec::new();
        }
        self.suspects.remove(&fingerprint);
        let actions = self.poison.on_event(now, Event::Finished(fingerprint));
        self.facts_from(actions, UpstreamId(0))
    }

    pub(super) fn refuse(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Fact> {
        self.apply_refusal(now, fingerprint, span(self.cfg.refusal_ttl));
        self.facts_from(vec![Action::Refuse(fingerprint)], UpstreamId(0))
    }

    pub(super) fn apply_fact(&mut self, now: Instant, fact: Fact) {
        self.evict_expired(now);
        let Fact {
            by,
            fingerprint,
            statement,
        } = fact;
        let testing_until = now + span(self.cfg.peer_test_timeout);
        let peer = self.peers.entry(by).or_insert_with(|| Peer {
            suspects: HashMap::new(),
            testing_until,
        });
        peer.testing_until = testing_until;
        match statement {
            Statement::Suspect { upstream, .. } => {
                peer.suspects.insert(fingerprint, upstream);
                self.apply_suspicion(now, fingerprint, upstream);
            }
            Statement::Cleared => {
                peer.suspects.remove(&fingerprint);
                self.apply_clearance(now, fingerprint);
            }
            Statement::Refused { remaining } => {
                let remaining = span(remaining);
                self.apply_refusal(now, fingerprint, remaining);
            }
        }
    }

    fn apply_suspicion(&mut self, now: Instant, fingerprint: Fingerprint, upstream: UpstreamId) {
        if matches!(
            self.poison.check(now, fingerprint),
            Admission::Refused { .. }
        ) {
            return;
        }
        let event = Event::PeerSuspects {
            fingerprint,
            // The complement is no incarnation of an upstream of this daemon, so the suspect may
            // run on any of them, and a crash there counts as its second.
            upstream: UpstreamId(!upstream.0),
        };
        self.poison.on_event(now, event);
        self.suspects.entry(fingerprint).or_default();
    }

    fn apply_clearance(&mut self, now: Instant, fingerprint: Fingerprint) {
        let mut peers = self.peers.values();
        let suspected = peers.any(|o| o.suspects.contains_key(&fingerprint));
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return;
        };
        // A suspect whose crash this daemon saw itself is cleared by its own progress only.
        if suspect.crash_tokens.is_none() && !suspected {
            self.suspects.remove(&fingerprint);
            self.poison.on_event(now, Event::Finished(fingerprint));
        }
    }

    fn apply_refusal(&mut self, now: Instant, fingerprint: Fingerprint, remaining: Span) {
        self.suspects.remove(&fingerprint);
        for peer in self.peers.values_mut() {
            peer.suspects.remove(&fingerprint);
        }
        let event = Event::PeerConfirmed {
            fingerprint,
            remaining,
        };
        self.poison.on_event(now, event);
    }

    /// Removes suspects that `poison` no longer tracks, unless an isolated step is in flight, and
    /// daemons that have no suspects or whose test time has passed.
    fn evict_expired(&mut self, now: Instant) {
        let poison = &self.poison;
        self.suspects.retain(|f, s| {
            s.isolated_step.is_some() || poison.check(now, *f) == Admission::Isolated
        });
        self.peers
            .retain(|_, o| o.testing_until > now && !o.suspects.is_empty());
    }

    pub(super) fn routing_hints(&self, fingerprint: Fingerprint) -> RoutingHints {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return RoutingHints::default();
        };
        let other_suspects = self.suspects.iter().filter(|(f, _)| **f != fingerprint);
        RoutingHints {
            crashed: suspect.crashed_upstream,
            occupied: other_suspects
                .flat_map(|(_, s)| s.path.iter().copied())
                .collect(),
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

    /// Returns an identifier of the current incarnation of an upstream, which lasts from one crash
    /// to the next. `poison` treats each incarnation as another upstream, so that a suspect can run
    /// again on the restarted upstream of a stage with a single replica, and a second crash there
    /// counts.
    fn upstream_incarnation(&self, upstream: UpstreamKey, name: &str) -> UpstreamId {
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
