//! Model check of membership; specified in `docs/spec/membership.md`.

mod checker;

use rstest::rstest;

use checker::Model;
use checker::assert_caught;
use checker::assert_holds;
use checker::bound;
use kelpworks_coord::id::DomainId;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::membership::Action;
use kelpworks_coord::membership::Config;
use kelpworks_coord::membership::Entry;
use kelpworks_coord::membership::Event;
use kelpworks_coord::membership::Health;
use kelpworks_coord::membership::Membership;
use kelpworks_coord::membership::Update;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;

const NO_LIVE_MEMBER_DEAD: &str = "no live daemon counts as dead forever";
const CRASHED_IS_DEAD: &str = "a crashed daemon finally counts as dead for all others";
const CONFIRMED: &str =
    "no daemon counts as dead by one daemon's suspicion before the long timeout";

const NODES: usize = 3;
const ROUND_MS: u64 = 1_000;
const LONG_TIMEOUT_MS: u64 = 4 * ROUND_MS;
const HEAL_ROUNDS: u64 = 16;
const DOMAIN: DomainId = DomainId(1);

#[derive(Clone, Copy, PartialEq)]
enum Mutant {
    None,
    /// No daemon learns the health that others record for it, so none refutes it.
    NoRefutation,
    /// A relayed suspicion counts as one of the relaying daemon.
    RelayedCountsAsOwn,
    /// An indirect prober acknowledges without probing the target.
    FalseIndirectAck,
}

/// Directed links that are cut, as `(from, to)`.
type Cut = &'static [(usize, usize)];

const NO_CUT: Cut = &[];
const CUTS: [Cut; 6] = [
    NO_CUT,
    &[(0, 1), (1, 0)],
    &[(0, 1)],
    &[(1, 0), (1, 2)],
    &[(0, 1), (1, 0), (0, 2), (2, 0)],
    &[(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)],
];

struct MembershipModel {
    rounds: u64,
    crashes: u8,
    /// Whether rounds may also visit the daemons in reverse order.
    reorder: bool,
    mutant: Mutant,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    members: [Membership; NODES],
    up: [bool; NODES],
    round: u64,
    crashes: u8,
    /// Time in ms of the first failed probe of each daemon (first index) to each other one.
    first_failed_probe: [[Option<u64>; NODES]; NODES],
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Round { cut: Cut, reverse: bool },
    Crash(usize),
}

/// One visit of a daemon within a round.
struct Round<'a> {
    world: &'a mut World,
    cut: Cut,
    mutant: Mutant,
    now: Instant,
}

impl Round<'_> {
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        self.world.up[from] && self.world.up[to] && !self.cut.contains(&(from, to))
    }

    fn tick(&mut self, d: usize) {
        let actions = self.feed(d, Event::Tick);
        for action in actions {
            match action {
                Action::Probe { target, view } => self.probe(d, index(target), view),
                Action::IndirectProbe { via, target, view } => {
                    self.probe_via(d, index(via), index(target), view);
                }
                _ => {}
            }
        }
    }

    fn feed(&mut self, d: usize, event: Event) -> Vec<Action> {
        let actions = self.world.members[d].on_event(self.now, event);
        for action in &actions {
            if let Action::HealthChanged {
                node,
                health: Health::Dead,
            } = *action
            {
                self.check_confirmed(index(node));
            }
        }
        actions
    }

    fn check_confirmed(&mut self, t: usize) {
        let failures: Vec<u64> = (0..NODES)
            .filter_map(|d| self.world.first_failed_probe[d][t])
            .collect();
        let is_long_ago = |at: &u64| self.now.as_millis() - at >= LONG_TIMEOUT_MS;
        if failures.len() < 2 && !failures.iter().any(is_long_ago) {
            self.world.violation = Some(CONFIRMED);
        }
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let mut updates = self.world.members[from].take_updates(4);
        for update in &mut updates {
            if self.mutant == Mutant::RelayedCountsAsOwn {
                update.by = node(from);
            }
        }
        if self.mutant == Mutant::NoRefutation {
            updates.retain(|u| u.node != node(to));
        }
        self.feed(to, Event::Updates(updates));
    }

    /// Carries out a probe and its acknowledgement; returns the acknowledged incarnation when the
    /// acknowledgement arrived.
    fn probe_and_answer(&mut self, d: usize, t: usize, mut view: Update) -> Option<Incarnation> {
        if !self.is_reachable(d, t) {
            return None;
        }
        if self.mutant == Mutant::NoRefutation {
            view.health = Health::Alive;
            view.incarnation = self.world.members[t].incarnation();
        }
        self.gossip(d, t);
        let incarnation = self.world.members[d].incarnation();
        let answers = self.feed(
            t,
            Event::Probed {
                from: node(d),
                incarnation,
                view,
            },
        );
        if !self.is_reachable(t, d) {
            return None;
        }
        self.gossip(t, d);
        let mut answered = None;
        for action in answers {
            if let Action::Ack {
                incarnation, view, ..
            } = action
            {
                answered = Some(incarnation);
                self.feed(
                    d,
                    Event::Contact {
                        from: node(t),
                        incarnation,
                    },
                );
                let view = view.filter(|_| self.mutant != Mutant::NoRefutation);
                self.feed(d, Event::Updates(view.into_iter().collect()));
            }
        }
        answered
    }

    fn probe(&mut self, d: usize, t: usize, view: Update) {
        if self.probe_and_answer(d, t, view).is_none() {
            let now = self.now.as_millis();
            self.world.first_failed_probe[d][t].get_or_insert(now);
        }
    }

    fn probe_via(&mut self, d: usize, via: usize, t: usize, view: Update) {
        if !self.is_reachable(d, via) {
            return;
        }
        let answered = match self.mutant {
            Mutant::FalseIndirectAck => Some(view.incarnation),
            _ => self.probe_and_answer(via, t, view),
        };
        if let Some(incarnation) = answered.filter(|_| self.is_reachable(via, d)) {
            self.feed(
                d,
                Event::Contact {
                    from: node(t),
                    incarnation,
                },
            );
        }
    }
}

impl MembershipModel {
    fn round(&self, world: &mut World, cut: Cut, reverse: bool) {
        let start = world.round * ROUND_MS;
        world.round += 1;
        // Ticks at the probe, at its direct timeout and at its indirect timeout, in ms.
        for sub in [0, 400, 800] {
            for i in 0..NODES {
                let d = if reverse { NODES - 1 - i } else { i };
                if world.up[d] {
                    let now = Instant::from_millis(start + sub);
                    Round {
                        world,
                        cut,
                        mutant: self.mutant,
                        now,
                    }
                    .tick(d);
                }
            }
        }
    }

    fn violation_after_healing(&self, world: &World) -> Option<&'static str> {
        let mut world = world.clone();
        for _ in 0..HEAL_ROUNDS {
            self.round(&mut world, NO_CUT, false);
        }
        for d in (0..NODES).filter(|&d| world.up[d]) {
            for t in (0..NODES).filter(|&t| t != d) {
                let health = world.members[d].health(node(t));
                match world.up[t] {
                    true if health != Some(Health::Alive) => return Some(NO_LIVE_MEMBER_DEAD),
                    false if health != Some(Health::Dead) => return Some(CRASHED_IS_DEAD),
                    _ => {}
                }
            }
        }
        None
    }
}

fn node(i: usize) -> NodeId {
    NodeId(i as u64)
}

fn index(node: NodeId) -> usize {
    node.0 as usize
}

fn member(i: usize) -> Membership {
    let cfg = Config {
        probe_interval: Span::from_millis(ROUND_MS),
        probe_timeout: Span::from_millis(400),
        indirect_probes: 2,
        confirmations: 3,
        min_suspicion: Span::from_millis(ROUND_MS),
        max_suspicion: Span::from_millis(LONG_TIMEOUT_MS),
        dead_probe_interval: Span::from_millis(2 * ROUND_MS),
        retention: Span::from_secs(600),
    };
    let mut member = Membership::new(cfg, node(i), DOMAIN, Incarnation(1));
    let entry = |n| Entry {
        node: node(n),
        domain: DOMAIN,
        leaving: false,
    };
    member.on_event(
        Instant::ZERO,
        Event::HostList((0..NODES).map(entry).collect()),
    );
    for from in (0..NODES).filter(|&n| n != i).map(node) {
        member.on_event(
            Instant::ZERO,
            Event::Contact {
                from,
                incarnation: Incarnation(1),
            },
        );
    }
    member
}

impl Model for MembershipModel {
    type State = World;
    type Step = Step;

    fn initial_state(&self) -> World {
        World {
            members: [member(0), member(1), member(2)],
            up: [true; NODES],
            round: 0,
            crashes: self.crashes,
            first_failed_probe: [[None; NODES]; NODES],
            violation: None,
        }
    }

    fn steps(&self, world: &World) -> Vec<Step> {
        if world.round == self.rounds {
            return Vec::new();
        }
        let round = |reverse| CUTS.iter().map(move |cut| Step::Round { cut, reverse });
        let mut steps: Vec<Step> = round(false).collect();
        if self.reorder {
            steps.extend(round(true));
        }
        if world.crashes > 0 {
            steps.extend((0..NODES).map(Step::Crash));
        }
        steps
    }

    fn apply(&self, world: &mut World, step: Step) {
        match step {
            Step::Round { cut, reverse } => self.round(world, cut, reverse),
            Step::Crash(d) => {
                world.up[d] = false;
                world.crashes -= 1;
            }
        }
    }

    fn violated(&self, world: &World) -> Option<&'static str> {
        if world.violation.is_some() {
            return world.violation;
        }
        if world.round == self.rounds {
            self.violation_after_healing(world)
        } else {
            None
        }
    }
}

fn model() -> MembershipModel {
    MembershipModel {
        rounds: 4,
        crashes: 0,
        reorder: false,
        mutant: Mutant::None,
    }
}

#[test]
fn members_converge_after_cuts() {
    let rounds = 5 + u64::from(bound());
    assert_holds("membership, cuts", &MembershipModel { rounds, ..model() });
}

#[test]
fn members_converge_after_cuts_in_either_order() {
    let rounds = 4 + u64::from(bound());
    assert_holds(
        "membership, orders",
        &MembershipModel {
            rounds,
            reorder: true,
            ..model()
        },
    );
}

#[test]
fn members_detect_a_crash() {
    let rounds = 4 + u64::from(bound());
    assert_holds(
        "membership, crash",
        &MembershipModel {
            rounds,
            crashes: 1,
            ..model()
        },
    );
}

#[rstest]
#[case::no_refutation(Mutant::NoRefutation, NO_LIVE_MEMBER_DEAD)]
#[case::relayed_counts_as_own(Mutant::RelayedCountsAsOwn, CONFIRMED)]
#[case::false_indirect_ack(Mutant::FalseIndirectAck, CRASHED_IS_DEAD)]
fn checker_catches_mutants(#[case] mutant: Mutant, #[case] invariant: &str) {
    let crashes = u8::from(mutant == Mutant::FalseIndirectAck);
    assert_caught(
        "membership",
        &MembershipModel {
            mutant,
            crashes,
            ..model()
        },
        invariant,
    );
}
