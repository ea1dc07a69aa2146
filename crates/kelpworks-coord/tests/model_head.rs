//! Model check of the config head; specified in `docs/spec/head.md`.

mod checker;

use rstest::rstest;

use checker::Model;
use checker::assert_caught;
use checker::assert_holds;
use checker::bound;
use kelpworks_coord::head::Change;
use kelpworks_coord::head::Config;
use kelpworks_coord::head::Follower;
use kelpworks_coord::head::FollowerAction;
use kelpworks_coord::head::FollowerEvent;
use kelpworks_coord::head::Generation;
use kelpworks_coord::head::Head;
use kelpworks_coord::head::Part;
use kelpworks_coord::head::PartKind;
use kelpworks_coord::head::StoredHead;
use kelpworks_coord::head::Swap;
use kelpworks_coord::head::SwapAction;
use kelpworks_coord::head::SwapEvent;
use kelpworks_coord::head::SwapOutcome;
use kelpworks_coord::id::Digest;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Nonce;
use kelpworks_coord::id::Version;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;

const GENERATIONS_RISE: &str = "generations rise with each accepted change, by one within an era";
const MONOTONIC: &str = "a daemon's generation never decreases";
const NO_LOST_UPDATE: &str = "no change overwrites one that its operator did not see";
const APPLIED_ONCE: &str = "a change is applied once";
const OUTCOME_IS_TRUE: &str = "an operator gets the true outcome of a change";
const VALIDATED: &str = "every accepted pair was validated together";
const CONVERGES: &str = "every daemon reaches the accepted head once faults stop";

const TIMEOUT: Span = Span::from_secs(1);

#[derive(Clone, Copy, PartialEq)]
enum Mutant {
    None,
    /// The object API ignores the condition of a write.
    Unconditional,
    /// Operators do not see in which generation a part was last changed.
    HidesSince,
    /// Operators do not see which change last wrote a part.
    HidesNonce,
    /// A delayed write takes effect regardless of its condition.
    LateUnconditional,
    /// Operators skip validation.
    NoValidation,
    /// A daemon applies any head that it receives.
    AppliesAnyHead,
    /// A daemon ignores all heads after the first.
    IgnoresLaterHeads,
    /// Replies contain revisions without the era.
    NoEra,
    /// Writes that are in flight when the API is restored still reach it.
    WritesOutliveEras,
}

struct HeadModel {
    changes: Vec<Change>,
    /// Digests of a register and of rules that are not valid together.
    incompatible: (Digest, Digest),
    faults: u8,
    /// Number of times that the API may be restored from an older copy.
    restores: u8,
    mutant: Mutant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Call {
    Action(SwapAction),
    Replied(SwapEvent),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    swap: Swap,
    /// Generation of the operator's part at the first read of the head.
    base: Option<Generation>,
    call: Option<Call>,
    outcome: Option<SwapOutcome>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    follower: Follower,
    fetching: Option<Head>,
    highest: Generation,
}

/// A head that was accepted, with the version that it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Accepted {
    version: Version,
    head: Head,
    /// Whether a restore of the API lost it.
    lost: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// Every accepted head, in order of acceptance; the last that is not lost is the present one.
    history: Vec<Accepted>,
    era: Era,
    restores: u8,
    operators: Vec<Operator>,
    daemons: [Daemon; 2],
    delayed: Vec<(Version, Head, usize)>,
    faults: u8,
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Effect(usize),
    /// A read returns an older head.
    StaleRead(usize, usize),
    Reply(usize),
    LoseReply(usize),
    Delay(usize),
    Refuse(usize),
    LateWrite(usize),
    Tick(usize),
    TimeOut(usize),
    /// A daemon receives a head of the history, from any source.
    Show(usize, usize),
    /// A daemon receives the head that the other daemon has in force.
    Push(usize),
    Fetched(usize),
    Restart(usize),
    /// The API is restored from the copy whose last head is this one of the history.
    Restore(usize),
}

impl HeadModel {
    fn feed(&self, world: &mut World, o: usize, now: Instant, event: SwapEvent) {
        if let SwapEvent::HeadRead(at) = event {
            let since = part(&at.head, self.changes[o].kind).map_or(Generation(0), |p| p.since);
            world.operators[o].base.get_or_insert(since);
        }
        let event = match event {
            SwapEvent::HeadRead(at) => SwapEvent::HeadRead(self.shown(at)),
            SwapEvent::Conflict(at) => SwapEvent::Conflict(self.shown(at)),
            event => event,
        };
        for action in world.operators[o].swap.on_event(now, event) {
            match action {
                SwapAction::Done(outcome) => {
                    world.operators[o].call = None;
                    world.operators[o].outcome = Some(outcome);
                }
                call => world.operators[o].call = Some(Call::Action(call)),
            }
        }
    }

    /// Returns the head as the mutant shows it to operators.
    fn shown(&self, at: StoredHead) -> StoredHead {
        let shown = |p: Part| match self.mutant {
            Mutant::HidesSince => Part {
                since: Generation(0),
                ..p
            },
            Mutant::HidesNonce => Part {
                nonce: Nonce(0),
                ..p
            },
            _ => p,
        };
        let register = at.head.register.map(shown);
        let rules = at.head.rules.map(shown);
        let version = match self.mutant {
            Mutant::NoEra => Version::initial(at.version.revision),
            _ => at.version,
        };
        StoredHead {
            version,
            head: Head {
                register,
                rules,
                ..at.head
            },
        }
    }

    fn fits(&self, head: &Head) -> bool {
        let digest = |p: Option<Part>| p.map(|p| p.digest);
        let pair = (digest(head.register), digest(head.rules));
        pair != (Some(self.incompatible.0), Some(self.incompatible.1))
    }

    fn write(&self, world: &mut World, o: usize, if_version: Version, head: Head) -> bool {
        let current = current_head(world);
        // The API compares revisions only; it doesn't know the era of a condition.
        let is_met = current.version.revision == if_version.revision;
        if !is_met && self.mutant != Mutant::Unconditional {
            return false;
        }
        let change = self.changes[o];
        let seen = world.operators[o].base.unwrap_or_default();
        let replaced = part(&current.head, change.kind);
        if replaced.is_some_and(|p| p.since != seen) {
            world.violation = Some(NO_LOST_UPDATE);
        }
        let highest = world.history.iter().map(|a| a.head.generation).max();
        let is_next = head.generation.0 == current.head.generation.0 + 1;
        let begins_era = world.history[current_index(world)].version.era < world.era;
        if Some(head.generation) <= highest || !(is_next || begins_era) {
            world.violation = Some(GENERATIONS_RISE);
        }
        if !self.fits(&head) {
            world.violation = Some(VALIDATED);
        }
        let ours = |h: &&Head| {
            part(h, change.kind).is_some_and(|p| p.nonce == change.nonce && p.since == h.generation)
        };
        if world.history.iter().any(|a| !a.lost && ours(&&a.head)) {
            world.violation = Some(APPLIED_ONCE);
        }
        world.history.push(Accepted {
            version: Version::new(world.era, current.version.revision + 1),
            head,
            lost: false,
        });
        true
    }

    fn effect(&self, world: &mut World, o: usize, shown: StoredHead) {
        let Some(Call::Action(action)) = world.operators[o].call else {
            return;
        };
        let reply = match action {
            SwapAction::PutBlob(_) => SwapEvent::BlobStored,
            SwapAction::ReadHead => SwapEvent::HeadRead(shown),
            SwapAction::Validate(head) if self.fits(&head) => SwapEvent::Valid,
            SwapAction::Validate(_) if self.mutant == Mutant::NoValidation => SwapEvent::Valid,
            SwapAction::Validate(_) => SwapEvent::Invalid,
            SwapAction::SwapHead { if_version, head } => {
                // The operator's client has observed the later era by then, and sends nothing.
                let is_outdated = if_version.era < world.era && self.mutant == Mutant::None;
                match !is_outdated && self.write(world, o, if_version, head) {
                    true => SwapEvent::Swapped,
                    false => SwapEvent::Conflict(current_head(world)),
                }
            }
            SwapAction::Done(_) => return,
        };
        world.operators[o].call = Some(Call::Replied(reply));
    }

    fn show(&self, world: &mut World, d: usize, head: Head) {
        let mutant = self.mutant;
        let daemon = &mut world.daemons[d];
        if mutant == Mutant::AppliesAnyHead {
            daemon.follower = Follower::new();
        }
        if mutant == Mutant::IgnoresLaterHeads && daemon.follower.current().is_some() {
            return;
        }
        for action in daemon.follower.on_event(FollowerEvent::Seen(head)) {
            if let FollowerAction::Fetch(head) = action {
                daemon.fetching = Some(head);
            }
        }
        // The count would make the number of distinct states unbounded.
        daemon.follower.take_stale_count();
    }

    fn fetched(&self, world: &mut World, d: usize) {
        let daemon = &mut world.daemons[d];
        let Some(head) = daemon.fetching.take() else {
            return;
        };
        for action in daemon
            .follower
            .on_event(FollowerEvent::Fetched(head.generation))
        {
            if let FollowerAction::Apply(head) = action {
                if head.generation < daemon.highest {
                    world.violation = Some(MONOTONIC);
                }
                daemon.highest = daemon.highest.max(head.generation);
            }
        }
    }

    fn converges(&self, world: &World) -> bool {
        let mut world = world.clone();
        let last = current_head(&world).head;
        for d in 0..2 {
            self.fetched(&mut world, d);
            self.show(&mut world, d, last);
            self.fetched(&mut world, d);
        }
        // A daemon keeps a head that the API has lost until it receives a newer one.
        let keeps_lost = |current: Option<Head>| {
            let mut lost = world.history.iter().filter(|a| a.lost);
            lost.any(|a| Some(a.head) == current && a.head.generation > last.generation)
        };
        let converges = |d: &Daemon| {
            let current = d.follower.current();
            current == Some(last) || keeps_lost(current)
        };
        last == Head::EMPTY || world.daemons.iter().all(converges)
    }

    fn operator_steps(&self, world: &World, o: usize, steps: &mut Vec<Step>) {
        let operator = &world.operators[o];
        if operator.outcome.is_some() {
            return;
        }
        let faulty = world.faults > 0;
        steps.extend(faulty.then_some(Step::TimeOut(o)));
        match operator.call {
            None => steps.push(Step::Tick(o)),
            Some(Call::Replied(_)) => {
                steps.push(Step::Reply(o));
                steps.extend(faulty.then_some(Step::LoseReply(o)));
            }
            Some(Call::Action(action)) => {
                steps.push(Step::Effect(o));
                let call = !matches!(action, SwapAction::Validate(_));
                steps.extend((faulty && call).then_some(Step::Refuse(o)));
                let write = matches!(action, SwapAction::SwapHead { .. });
                steps.extend((faulty && write).then_some(Step::Delay(o)));
                if faulty && action == SwapAction::ReadHead {
                    steps.extend((0..world.history.len() - 1).map(|i| Step::StaleRead(o, i)));
                }
            }
        }
    }

    fn take_fault(&self, world: &mut World, step: Step) {
        let now = Instant::ZERO;
        match step {
            Step::StaleRead(o, i) => self.effect(world, o, stored(world, i)),
            Step::LoseReply(o) => {
                world.operators[o].call = None;
                self.feed(world, o, now, SwapEvent::Lost);
            }
            Step::Delay(o) => {
                delay(world, o);
                world.operators[o].call = None;
                self.feed(world, o, now, SwapEvent::Lost);
            }
            Step::Refuse(o) => {
                world.operators[o].call = None;
                self.feed(world, o, now, SwapEvent::Refused);
            }
            Step::TimeOut(o) => {
                delay(world, o);
                self.feed(world, o, now + TIMEOUT, SwapEvent::Tick);
            }
            Step::Restart(d) => world.daemons[d] = daemon(),
            _ => {}
        }
    }

    /// Returns whether the outcome that an operator got agrees with the history.
    fn outcome_is_true(&self, world: &World, o: usize) -> bool {
        let change = self.changes[o];
        let heads = || world.history.iter().map(|a| &a.head);
        let applied = heads().find(|h| {
            part(h, change.kind).is_some_and(|p| p.nonce == change.nonce && p.since == h.generation)
        });
        match world.operators[o].outcome {
            Some(SwapOutcome::Accepted(g)) => applied.is_some_and(|h| h.generation == g),
            Some(SwapOutcome::Superseded { current }) => {
                let stands = heads().find(|h| h.generation == current.generation);
                let part = stands.and_then(|h| part(h, change.kind));
                match part {
                    Some(part) => part.nonce != change.nonce,
                    // The part is missing only after a restore from before its first change.
                    None => stands.is_some() && world.era > Era::FIRST,
                }
            }
            Some(SwapOutcome::Unknown) | None => true,
            Some(_) => applied.is_none(),
        }
    }
}

fn daemon() -> Daemon {
    Daemon {
        follower: Follower::new(),
        fetching: None,
        highest: Generation(0),
    }
}

fn part(head: &Head, kind: PartKind) -> Option<Part> {
    match kind {
        PartKind::Register => head.register,
        PartKind::Rules => head.rules,
    }
}

/// Returns a head of the history with the version that it got when it was accepted.
fn stored(world: &World, index: usize) -> StoredHead {
    let Accepted { version, head, .. } = world.history[index];
    StoredHead { version, head }
}

/// Returns the index of the API's present head in the history.
fn current_index(world: &World) -> usize {
    let last = world.history.iter().rposition(|a| !a.lost);
    last.expect("the empty head is never lost")
}

/// Returns the API's present head, with a version of the present era.
fn current_head(world: &World) -> StoredHead {
    let Accepted { version, head, .. } = world.history[current_index(world)];
    StoredHead {
        version: Version::new(world.era, version.revision),
        head,
    }
}

/// Restores the API from a copy, in its next era. Operators observe the era, which ends their
/// outstanding writes; a write in flight no longer takes effect.
fn restore(model: &HeadModel, world: &mut World, index: usize) {
    for accepted in &mut world.history[index + 1..] {
        accepted.lost = true;
    }
    world.era = Era(world.era.0 + 1);
    if model.mutant == Mutant::WritesOutliveEras {
        return;
    }
    world.delayed.clear();
    for o in 0..world.operators.len() {
        if let Some(Call::Action(SwapAction::SwapHead { .. })) = world.operators[o].call {
            world.operators[o].call = None;
            model.feed(world, o, Instant::ZERO, SwapEvent::Lost);
        }
    }
}

fn delay(world: &mut World, o: usize) {
    if let Some(Call::Action(SwapAction::SwapHead { if_version, head })) = world.operators[o].call {
        world.delayed.push((if_version, head, o));
    }
}

impl Model for HeadModel {
    type State = World;
    type Step = Step;

    fn initial_state(&self) -> World {
        let cfg = Config {
            retry_interval: Span::ZERO,
            timeout: TIMEOUT,
        };
        let operator = |&change: &Change| {
            let mut swap = Swap::new(cfg, change, Instant::ZERO);
            let call = swap
                .on_event(Instant::ZERO, SwapEvent::Start)
                .pop()
                .map(Call::Action);
            Operator {
                swap,
                base: None,
                call,
                outcome: None,
            }
        };
        World {
            history: vec![Accepted {
                version: Version::ABSENT,
                head: Head::EMPTY,
                lost: false,
            }],
            era: Era::FIRST,
            restores: self.restores,
            operators: self.changes.iter().map(operator).collect(),
            daemons: [daemon(), daemon()],
            delayed: Vec::new(),
            faults: self.faults,
            violation: None,
        }
    }

    fn steps(&self, world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        for o in 0..world.operators.len() {
            self.operator_steps(world, o, &mut steps);
        }
        steps.extend((0..world.delayed.len()).map(Step::LateWrite));
        if world.restores > 0 {
            let is_kept = |&i: &usize| !world.history[i].lost;
            steps.extend((0..world.history.len()).filter(is_kept).map(Step::Restore));
        }
        for d in 0..2 {
            steps.extend((1..world.history.len()).map(|i| Step::Show(d, i)));
            steps.push(Step::Push(d));
            steps.push(Step::Fetched(d));
            steps.extend((world.faults > 0).then_some(Step::Restart(d)));
        }
        steps
    }

    fn apply(&self, world: &mut World, step: Step) {
        let now = Instant::ZERO;
        match step {
            Step::Effect(o) => self.effect(world, o, current_head(world)),
            Step::Restore(i) => {
                world.restores -= 1;
                restore(self, world, i);
            }
            Step::Reply(o) => {
                if let Some(Call::Replied(reply)) = world.operators[o].call.take() {
                    self.feed(world, o, now, reply);
                }
            }
            Step::LateWrite(i) => {
                let (mut if_version, head, o) = world.delayed.remove(i);
                if self.mutant == Mutant::LateUnconditional {
                    if_version = current_head(world).version;
                }
                self.write(world, o, if_version, head);
            }
            Step::Tick(o) => self.feed(world, o, now, SwapEvent::Tick),
            Step::Show(d, i) => self.show(world, d, world.history[i].head),
            Step::Push(d) => {
                if let Some(head) = world.daemons[1 - d].follower.current() {
                    self.show(world, d, head);
                }
            }
            Step::Fetched(d) => self.fetched(world, d),
            fault => {
                world.faults -= 1;
                self.take_fault(world, fault);
            }
        }
    }

    fn violated(&self, world: &World) -> Option<&'static str> {
        if world.violation.is_some() {
            return world.violation;
        }
        if !(0..world.operators.len()).all(|o| self.outcome_is_true(world, o)) {
            return Some(OUTCOME_IS_TRUE);
        }
        (!self.converges(world)).then_some(CONVERGES)
    }
}

fn change(kind: PartKind, byte: u8) -> Change {
    Change {
        kind,
        digest: Digest([byte; 32]),
        nonce: Nonce(u64::from(byte)),
    }
}

/// Two operators change different parts that are not valid together.
fn incompatible_parts() -> HeadModel {
    let changes = vec![change(PartKind::Register, 1), change(PartKind::Rules, 2)];
    HeadModel {
        incompatible: (changes[0].digest, changes[1].digest),
        ..model(changes)
    }
}

/// Two operators change the same part.
fn changes_to_same_part() -> HeadModel {
    model(vec![change(PartKind::Rules, 1), change(PartKind::Rules, 2)])
}

/// Three operators change the same part, so that two can race after the first.
fn two_race_after_one() -> HeadModel {
    model([1, 2, 3].map(|byte| change(PartKind::Rules, byte)).to_vec())
}

fn model(changes: Vec<Change>) -> HeadModel {
    let none = Digest([0; 32]);
    HeadModel {
        changes,
        incompatible: (none, none),
        faults: 1,
        restores: 0,
        mutant: Mutant::None,
    }
}

#[rstest]
#[case::different_parts(model(vec![change(PartKind::Register, 1), change(PartKind::Rules, 2)]))]
#[case::same_part(changes_to_same_part())]
#[case::incompatible_parts(incompatible_parts())]
fn invariants_hold_for_two_operators(#[case] model: HeadModel) {
    let faults = 1 + bound() as u8;
    assert_holds("head, two operators", &HeadModel { faults, ..model });
}

#[test]
fn invariants_hold_for_three_operators() {
    let changes = vec![
        change(PartKind::Rules, 1),
        change(PartKind::Register, 2),
        change(PartKind::Rules, 3),
    ];
    let faults = bound() as u8 - 1;
    assert_holds(
        "head, three operators",
        &HeadModel {
            faults,
            ..model(changes)
        },
    );
}

#[rstest]
#[case::different_parts(model(vec![change(PartKind::Register, 1), change(PartKind::Rules, 2)]), 1)]
#[case::same_part(changes_to_same_part(), 1)]
#[case::incompatible_parts(incompatible_parts(), 1)]
#[case::twice(changes_to_same_part(), 2)]
fn invariants_hold_after_api_restore(#[case] model: HeadModel, #[case] restores: u8) {
    let faults = bound() as u8 - 1;
    assert_holds(
        "head, restore",
        &HeadModel {
            faults,
            restores,
            ..model
        },
    );
}

#[rstest]
#[case::no_era(Mutant::NoEra, GENERATIONS_RISE)]
#[case::writes_outlive_eras(Mutant::WritesOutliveEras, GENERATIONS_RISE)]
fn checker_catches_mutants_that_ignore_a_restore(#[case] mutant: Mutant, #[case] invariant: &str) {
    assert_caught(
        "head, restore",
        &HeadModel {
            mutant,
            faults: 1,
            restores: 1,
            ..changes_to_same_part()
        },
        invariant,
    );
}

#[rstest]
#[case::unconditional(Mutant::Unconditional, changes_to_same_part(), GENERATIONS_RISE, 0)]
#[case::hides_since(Mutant::HidesSince, two_race_after_one(), NO_LOST_UPDATE, 0)]
#[case::hides_nonce(Mutant::HidesNonce, changes_to_same_part(), OUTCOME_IS_TRUE, 1)]
#[case::late_unconditional(Mutant::LateUnconditional, model(vec![change(PartKind::Rules, 1)]), APPLIED_ONCE, 1)]
#[case::no_validation(Mutant::NoValidation, incompatible_parts(), VALIDATED, 1)]
#[case::applies_any_head(Mutant::AppliesAnyHead, changes_to_same_part(), MONOTONIC, 1)]
#[case::ignores_later_heads(Mutant::IgnoresLaterHeads, changes_to_same_part(), CONVERGES, 1)]
fn checker_catches_mutants(
    #[case] mutant: Mutant,
    #[case] model: HeadModel,
    #[case] invariant: &str,
    #[case] faults: u8,
) {
    assert_caught(
        "head",
        &HeadModel {
            mutant,
            faults,
            ..model
        },
        invariant,
    );
}
