//! Model check of the lease with fencing and repair; specified in `docs/spec/lease.md`.

mod checker;

use std::collections::BTreeMap;

use rstest::rstest;

use checker::Model;
use checker::assert_caught;
use checker::assert_holds;
use checker::bound;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Version;
use kelpworks_coord::lease::Action;
use kelpworks_coord::lease::ApiReply;
use kelpworks_coord::lease::Config;
use kelpworks_coord::lease::Event;
use kelpworks_coord::lease::Lease;
use kelpworks_coord::lease::Owner;
use kelpworks_coord::lease::Record;
use kelpworks_coord::lease::Stored;
use kelpworks_coord::lease::Token;
use kelpworks_coord::repair::Repair;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;

const ONE_HOLDER_A_TOKEN: &str = "each token has one holder";
const EXCLUSION: &str = "no two daemons may send orders at the same time";
const PROMPT_ORDER: &str = "an order within its bound precedes the next acquisition";
const TOKEN_ORDER: &str = "an engine that checks tokens accepts orders in token order";
const REPAIRED: &str = "no stale order is left in effect after repair";

/// Time that one step of the global clock adds, in milliseconds.
const UNIT_MS: u64 = 1_000;

#[derive(Clone, Copy, PartialEq)]
enum Mutant {
    None,
    /// The engine accepts any order.
    NoFenceCheck,
    /// The second daemon's clock runs at four times the rate, so that it acquires the lease too
    /// early.
    FastSuccessorClock,
    /// The lease's time counts from the reply to the renewal.
    CountsFromReply,
    /// A daemon sends orders without reading the engine's state first.
    NoReadBack,
    /// The lease object is removed, and with it the token.
    ObjectRemoved,
    /// Replies contain revisions without the era.
    NoEra,
}

struct LeaseModel {
    cfg: Config,
    /// Milliseconds that each daemon's clock advances per time unit.
    rates: [u64; 2],
    /// Time units to explore.
    horizon: u64,
    faults: u8,
    crashes: u8,
    duplicates: u8,
    /// Number of times that the store may be restored from an older copy.
    restores: u8,
    /// Number of times that a holder that does not reach the engines may give the lease up.
    yields: u8,
    engine_checks: bool,
    mutant: Mutant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Call {
    Read,
    Write { if_version: Version, record: Record },
    Replied(ApiReply),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Order {
    token: Token,
    value: Token,
    checked_at: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    lease: Lease,
    /// State of the lease before the outstanding call, for [`Mutant::CountsFromReply`].
    before: Option<Lease>,
    repair: Repair<Token>,
    clock: u64,
    incarnation: u64,
    call: Option<Call>,
    /// Order that was allowed by the fencing check and is not sent yet.
    checked: Option<Order>,
    /// Whether the daemon is paused: it takes no step, and replies to its calls wait.
    paused: bool,
    /// Value of the last order, for [`Mutant::NoReadBack`].
    ordered: Option<Token>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    time: u64,
    object: Stored,
    /// Previous state of the object, for stale reads.
    past: Stored,
    daemons: [Daemon; 2],
    delayed: Vec<(Version, Record)>,
    orders: Vec<Order>,
    /// Orders that the network delays.
    late: Vec<Order>,
    /// Value of the order in effect on the engine.
    value: Token,
    /// Highest token that the engine received.
    highest: Token,
    holders: BTreeMap<Token, Owner>,
    faults: u8,
    crashes: u8,
    duplicates: u8,
    restores: u8,
    yields: u8,
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Advance,
    Pause(usize),
    Resume(usize),
    Tick(usize),
    Yield(usize),
    Effect(usize),
    /// A read returns the previous state of the object.
    StaleRead(usize),
    Reply(usize),
    LoseReply(usize),
    DelayWrite(usize),
    Refuse(usize),
    LateWrite(usize),
    Decide(usize),
    Send(usize),
    Deliver(usize),
    DeliverTwice(usize),
    HoldBack(usize),
    DeliverLate(usize),
    DropOrder(usize),
    Crash(usize),
    /// The store is restored from the copy before its last change, or from one without the lease.
    Restore {
        has_lease: bool,
    },
}

impl LeaseModel {
    fn daemon(&self, d: usize, incarnation: u64, clock: u64) -> Daemon {
        let cfg = self.cfg;
        let owner = Owner {
            node: NodeId(d as u64),
            incarnation: Incarnation(incarnation),
        };
        let lease = Lease::new(cfg, owner, Instant::from_millis(clock));
        let repair = Repair::new(self.cfg.order_bound);
        Daemon {
            lease,
            before: None,
            repair,
            clock,
            incarnation,
            call: None,
            checked: None,
            paused: false,
            ordered: None,
        }
    }

    /// Passes an input to a daemon's lease and carries out the actions that it returns.
    fn feed(&self, world: &mut World, d: usize, event: Event) {
        let daemon = &mut world.daemons[d];
        let now = Instant::from_millis(daemon.clock);
        for action in daemon.lease.on_event(now, event) {
            match action {
                Action::Read => daemon.call = Some(Call::Read),
                Action::Write { if_version, record } => {
                    daemon.call = Some(Call::Write { if_version, record });
                }
                Action::Acquired(token) => {
                    daemon.repair.set_desired(token);
                    let node = NodeId(d as u64);
                    let owner = Owner {
                        node,
                        incarnation: Incarnation(daemon.incarnation),
                    };
                    if *world.holders.entry(token).or_insert(owner) != owner {
                        world.violation = Some(ONE_HOLDER_A_TOKEN);
                    }
                }
                Action::Resigned => {}
            }
        }
    }

    fn tick(&self, world: &mut World, d: usize) {
        let before = world.daemons[d].lease.clone();
        self.feed(world, d, Event::Tick);
        if self.mutant == Mutant::CountsFromReply && world.daemons[d].call.is_some() {
            world.daemons[d].before = Some(before);
        }
    }

    fn reply(&self, world: &mut World, d: usize, reply: ApiReply) {
        let reply = match self.mutant {
            Mutant::NoEra => without_era(reply),
            _ => reply,
        };
        world.daemons[d].call = None;
        if let Some(before) = world.daemons[d].before.take() {
            world.daemons[d].lease = before;
            self.feed(world, d, Event::Tick);
            world.daemons[d].call = None;
        }
        self.feed(world, d, Event::Api(reply));
    }

    fn effect(&self, world: &mut World, d: usize) {
        let reply = match world.daemons[d].call {
            Some(Call::Read) => ApiReply::Read(world.object),
            Some(Call::Write { if_version, record }) => match write(world, if_version, record) {
                true => ApiReply::Written(world.object.version),
                false => ApiReply::Conflict(world.object),
            },
            _ => return,
        };
        world.daemons[d].call = Some(Call::Replied(reply));
    }

    fn decide(&self, world: &mut World, d: usize) {
        let daemon = &mut world.daemons[d];
        let now = Instant::from_millis(daemon.clock);
        let fence = daemon.lease.fencing_token(now);
        if fence.is_none() {
            return;
        }
        let seen = match self.mutant {
            Mutant::NoReadBack => daemon.ordered.unwrap_or(world.value),
            _ => world.value,
        };
        let mut repair = daemon.repair.clone();
        repair.observe(now, now, seen);
        // A state read that leads to no order is not kept, to keep the number of states small.
        if let Some((token, value)) = repair.due_order(now, fence) {
            daemon.repair = repair;
            daemon.ordered = (self.mutant == Mutant::NoReadBack).then_some(value);
            daemon.checked = Some(Order {
                token,
                value,
                checked_at: world.time,
            });
        }
    }

    fn deliver(&self, world: &mut World, order: Order) {
        let prompt = world.time - order.checked_at <= self.cfg.order_bound.as_millis() / UNIT_MS;
        if prompt && world.object.record.token > order.token {
            world.violation = Some(PROMPT_ORDER);
        }
        let checks = self.engine_checks && self.mutant != Mutant::NoFenceCheck;
        if checks && order.token < world.highest {
            return;
        }
        if self.engine_checks && order.token < world.value {
            world.violation = Some(TOKEN_ORDER);
        }
        world.value = order.value;
        world.highest = world.highest.max(order.token);
    }

    fn exclusive(&self, world: &World) -> bool {
        let fenced = |d: &Daemon| {
            d.lease
                .fencing_token(Instant::from_millis(d.clock))
                .is_some()
        };
        !world.daemons.iter().all(fenced)
    }

    /// Returns whether the holder's order ends up in effect on the engine once faults stop.
    fn converges(&self, world: &World) -> bool {
        let mut world = world.clone();
        for _ in 0..40 {
            for (version, record) in std::mem::take(&mut world.delayed) {
                write(&mut world, version, record);
            }
            for d in 0..2 {
                self.tick(&mut world, d);
                while world.daemons[d].call.is_some() {
                    self.effect(&mut world, d);
                    if let Some(Call::Replied(reply)) = world.daemons[d].call {
                        self.reply(&mut world, d, reply);
                    }
                }
                self.decide(&mut world, d);
                let checked = world.daemons[d].checked.take();
                world.orders.extend(checked);
            }
            world.daemons.iter_mut().for_each(|d| d.paused = false);
            let late = std::mem::take(&mut world.late);
            for order in std::mem::take(&mut world.orders).into_iter().chain(late) {
                self.deliver(&mut world, order);
            }
            self.advance(&mut world);
        }
        world.value == world.object.record.token
    }

    fn advance(&self, world: &mut World) {
        world.time += 1;
        if self.mutant == Mutant::ObjectRemoved && world.time == 2 {
            world.object = Stored::ABSENT;
        }
        let clock_factor = if self.mutant == Mutant::FastSuccessorClock {
            [1, 4]
        } else {
            [1, 1]
        };
        for (d, daemon) in world.daemons.iter_mut().enumerate() {
            let rate = self.rates[d] * clock_factor[d];
            daemon.clock += rate;
        }
    }

    fn daemon_steps(&self, world: &World, d: usize, steps: &mut Vec<Step>) {
        let faulty = world.faults > 0;
        let daemon = &world.daemons[d];
        if let Some(call @ (Call::Read | Call::Write { .. })) = daemon.call {
            steps.push(Step::Effect(d));
            steps.extend((faulty && call == Call::Read).then_some(Step::StaleRead(d)));
            let write = matches!(call, Call::Write { .. });
            steps.extend((faulty && write).then_some(Step::DelayWrite(d)));
        }
        steps.extend((world.crashes > 0).then_some(Step::Crash(d)));
        if daemon.paused {
            steps.push(Step::Resume(d));
            return;
        }
        steps.extend(faulty.then_some(Step::Pause(d)));
        let may_yield = world.yields > 0 && daemon.lease.is_held();
        steps.extend(may_yield.then_some(Step::Yield(d)));
        match daemon.call {
            None => steps.push(Step::Tick(d)),
            Some(Call::Replied(_)) => {
                steps.push(Step::Reply(d));
                steps.extend(faulty.then_some(Step::LoseReply(d)));
            }
            Some(_) => steps.extend(faulty.then_some(Step::Refuse(d))),
        }
        steps.push(daemon.checked.map_or(Step::Decide(d), |_| Step::Send(d)));
    }
}

/// Returns whether there is work outstanding that takes no time unless a fault delays it.
fn has_pending_work(world: &World) -> bool {
    let idle = |d: &Daemon| {
        let now = Instant::from_millis(d.clock);
        let due = || !d.lease.clone().on_event(now, Event::Tick).is_empty();
        d.paused || !(d.call.is_some() || d.checked.is_some() || due())
    };
    !world.orders.is_empty() || !world.daemons.iter().all(idle)
}

/// Lets the write of an outstanding call take effect at any later time.
fn delay(world: &mut World, d: usize) {
    if let Some(Call::Write { if_version, record }) = world.daemons[d].call {
        world.delayed.push((if_version, record));
        world.delayed.sort_unstable();
    }
}

/// Writes the object if its revision matches. The store compares revisions only; it doesn't know
/// the era of a condition.
fn write(world: &mut World, if_version: Version, record: Record) -> bool {
    let Version { era, revision } = world.object.version;
    if revision != if_version.revision {
        return false;
    }
    world.past = world.object;
    world.object = Stored {
        version: Version::new(era, revision + 1),
        record,
    };
    true
}

fn without_era(reply: ApiReply) -> ApiReply {
    let stored = |s: Stored| Stored {
        version: Version::initial(s.version.revision),
        ..s
    };
    match reply {
        ApiReply::Read(s) => ApiReply::Read(stored(s)),
        ApiReply::Conflict(s) => ApiReply::Conflict(stored(s)),
        ApiReply::Written(v) => ApiReply::Written(Version::initial(v.revision)),
        other => other,
    }
}

/// Restores the store from a copy, in its next era.
fn restore(world: &mut World, has_lease: bool) {
    let era = Era(world.object.version.era.0 + 1);
    let copy = match has_lease {
        true => world.past,
        false => Stored::ABSENT,
    };
    world.object = Stored {
        version: Version::new(era, copy.version.revision),
        record: copy.record,
    };
    world.past = world.object;
}

impl Model for LeaseModel {
    type State = World;
    type Step = Step;

    fn initial_state(&self) -> World {
        World {
            time: 0,
            object: Stored::ABSENT,
            past: Stored::ABSENT,
            daemons: [self.daemon(0, 1, 0), self.daemon(1, 1, 0)],
            delayed: Vec::new(),
            orders: Vec::new(),
            late: Vec::new(),
            value: Token(0),
            highest: Token(0),
            holders: BTreeMap::new(),
            faults: self.faults,
            crashes: self.crashes,
            duplicates: self.duplicates,
            restores: self.restores,
            yields: self.yields,
            violation: None,
        }
    }

    fn steps(&self, world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        if world.time < self.horizon && !has_pending_work(world) {
            steps.push(Step::Advance);
        }
        for d in 0..2 {
            self.daemon_steps(world, d, &mut steps);
        }
        if world.restores > 0 {
            let restore = |has_lease| Step::Restore { has_lease };
            steps.extend([true, false].map(restore));
        }
        steps.extend((0..world.delayed.len()).map(Step::LateWrite));
        steps.extend((0..world.late.len()).map(Step::DeliverLate));
        for i in 0..world.orders.len() {
            steps.push(Step::Deliver(i));
            steps.extend((world.duplicates > 0).then_some(Step::DeliverTwice(i)));
            if world.faults > 0 {
                steps.extend([Step::HoldBack(i), Step::DropOrder(i)]);
            }
        }
        steps
    }

    fn apply(&self, world: &mut World, step: Step) {
        match step {
            Step::Advance => self.advance(world),
            Step::Pause(d) => {
                world.faults -= 1;
                world.daemons[d].paused = true;
            }
            Step::Resume(d) => world.daemons[d].paused = false,
            Step::Tick(d) => self.tick(world, d),
            Step::Yield(d) => {
                world.yields -= 1;
                self.feed(world, d, Event::Yield);
            }
            Step::Effect(d) => self.effect(world, d),
            Step::StaleRead(d) => {
                world.faults -= 1;
                world.daemons[d].call = Some(Call::Replied(ApiReply::Read(world.past)));
            }
            Step::Reply(d) => {
                if let Some(Call::Replied(reply)) = world.daemons[d].call {
                    self.reply(world, d, reply);
                }
            }
            Step::LoseReply(d) => {
                world.faults -= 1;
                self.reply(world, d, ApiReply::Lost);
            }
            Step::DelayWrite(d) => {
                world.faults -= 1;
                delay(world, d);
                self.reply(world, d, ApiReply::Lost);
            }
            Step::Refuse(d) => {
                world.faults -= 1;
                self.reply(world, d, ApiReply::Refused);
            }
            Step::LateWrite(i) => {
                let (version, record) = world.delayed.remove(i);
                write(world, version, record);
            }
            Step::Decide(d) => self.decide(world, d),
            Step::Send(d) => {
                let checked = world.daemons[d].checked.take();
                world.orders.extend(checked);
                world.orders.sort_unstable();
            }
            Step::Deliver(i) => {
                let order = world.orders.remove(i);
                self.deliver(world, order);
            }
            Step::DeliverTwice(i) => {
                world.duplicates -= 1;
                self.deliver(world, world.orders[i]);
            }
            Step::HoldBack(i) => {
                world.faults -= 1;
                let order = world.orders.remove(i);
                world.late.push(order);
                world.late.sort_unstable();
            }
            Step::DeliverLate(i) => {
                let order = world.late.remove(i);
                self.deliver(world, order);
            }
            Step::DropOrder(i) => {
                world.faults -= 1;
                world.orders.remove(i);
            }
            Step::Restore { has_lease } => {
                world.restores -= 1;
                restore(world, has_lease);
            }
            Step::Crash(d) => {
                world.crashes -= 1;
                delay(world, d);
                let (incarnation, clock) = (world.daemons[d].incarnation, world.daemons[d].clock);
                world.daemons[d] = self.daemon(d, incarnation + 1, clock);
            }
        }
    }

    fn violated(&self, world: &World) -> Option<&'static str> {
        if world.violation.is_some() {
            return world.violation;
        }
        if !self.exclusive(world) {
            return Some(EXCLUSION);
        }
        // Without the object the state never converges, which is not what that mutant tests.
        let ended = world.time == self.horizon && self.mutant != Mutant::ObjectRemoved;
        (ended && !self.converges(world)).then_some(REPAIRED)
    }
}

fn model() -> LeaseModel {
    let ms = Span::from_millis;
    LeaseModel {
        cfg: Config {
            ttl: ms(2 * UNIT_MS),
            renew_interval: ms(UNIT_MS),
            order_bound: ms(UNIT_MS),
            drift_per_mille: 0,
            poll_interval: ms(UNIT_MS),
            retry_interval: ms(UNIT_MS),
        },
        rates: [UNIT_MS; 2],
        horizon: 4,
        faults: 1,
        crashes: 0,
        duplicates: 0,
        restores: 0,
        yields: 0,
        engine_checks: true,
        mutant: Mutant::None,
    }
}

/// Returns a model in which one clock runs at half the true rate and the other at one and a half.
fn drifting() -> LeaseModel {
    let mut model = model();
    model.cfg.ttl = Span::from_millis(3 * UNIT_MS);
    model.cfg.drift_per_mille = 500;
    LeaseModel {
        rates: [500, 1_500],
        horizon: 9,
        faults: 0,
        ..model
    }
}

#[test]
fn invariants_hold_under_lost_replies_and_pauses() {
    let faults = bound() as u8;
    assert_holds("lease, lost and late", &LeaseModel { faults, ..model() });
}

#[test]
fn invariants_hold_under_a_crash_and_a_duplicate() {
    let model = LeaseModel {
        crashes: 1,
        duplicates: 1,
        faults: bound() as u8 - 1,
        ..model()
    };
    assert_holds("lease, crash and duplicate", &model);
}

#[test]
fn invariants_hold_when_engines_ignore_fencing_tokens() {
    let faults = bound() as u8;
    let model = LeaseModel {
        engine_checks: false,
        duplicates: 1,
        faults,
        ..model()
    };
    assert_holds("lease, ignoring engine", &model);
}

#[rstest]
#[case::checking_engine(true)]
#[case::ignoring_engine(false)]
fn invariants_hold_after_store_restore(#[case] engine_checks: bool) {
    let model = LeaseModel {
        restores: 1,
        faults: bound() as u8 - 1,
        engine_checks,
        ..model()
    };
    assert_holds("lease, restore", &model);
}

/// A holder that is cut off from the engines, and not from the store, gives the lease up.
#[rstest]
#[case::checking_engine(true)]
#[case::ignoring_engine(false)]
fn invariants_hold_when_holders_yield(#[case] engine_checks: bool) {
    let model = LeaseModel {
        yields: 2,
        faults: bound() as u8 - 1,
        engine_checks,
        ..model()
    };
    assert_holds("lease, yield", &model);
}

#[test]
fn invariants_hold_after_two_store_restores() {
    let model = LeaseModel {
        restores: 2,
        faults: 0,
        ..model()
    };
    assert_holds("lease, two restores", &model);
}

#[rstest]
#[case::one_holder(1, ONE_HOLDER_A_TOKEN)]
fn checker_catches_versions_without_era(#[case] restores: u8, #[case] invariant: &str) {
    let model = LeaseModel {
        restores,
        faults: 1,
        mutant: Mutant::NoEra,
        ..model()
    };
    assert_caught("lease, no era", &model, invariant);
}

#[test]
fn invariants_hold_under_clock_drift() {
    let faults = bound() as u8 - 1;
    assert_holds(
        "lease, drift",
        &LeaseModel {
            faults,
            ..drifting()
        },
    );
}

#[rstest]
#[case::no_fence_check(Mutant::NoFenceCheck, TOKEN_ORDER)]
#[case::fast_successor_clock(Mutant::FastSuccessorClock, PROMPT_ORDER)]
#[case::counts_from_reply(Mutant::CountsFromReply, EXCLUSION)]
#[case::no_read_back(Mutant::NoReadBack, REPAIRED)]
#[case::object_removed(Mutant::ObjectRemoved, ONE_HOLDER_A_TOKEN)]
fn checker_catches_mutants(#[case] mutant: Mutant, #[case] invariant: &str) {
    let engine_checks = mutant != Mutant::NoReadBack;
    let model = LeaseModel {
        faults: 2,
        duplicates: 1,
        engine_checks,
        mutant,
        ..model()
    };
    assert_caught("lease", &model, invariant);
}

#[test]
fn checker_catches_a_takeover_wait_without_drift() {
    let mut model = drifting();
    model.cfg.drift_per_mille = 0;
    model.faults = 1;
    assert_caught("lease, drift", &model, EXCLUSION);
}
