//! Model check of the token order; specified in `docs/spec/token.md`.

mod checker;

use rstest::rstest;

use checker::Model;
use checker::assert_caught;
use checker::assert_holds;
use checker::bound;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::token::DueStep;
use kelpworks_coord::token::LayerRange;
use kelpworks_coord::token::Lineage;
use kelpworks_coord::token::Progress;
use kelpworks_coord::token::Reply;
use kelpworks_coord::token::SessionId;
use kelpworks_coord::token::Spec;
use kelpworks_coord::token::VersionKey;

const CORRECT_TOKENS: &str = "each token is the result of all layers in order";
const KV_MATCHES: &str =
    "the positions recorded for a stage were computed by its engine in that attempt";
const ONE_INCARNATION: &str = "one attempt of a stage runs on one incarnation";
const COMPLETES: &str = "the answer completes once faults stop";

const STAGES: usize = 2;
const PROMPT: usize = 2;
const SESSION: SessionId = SessionId(1);
const OTHER_SESSION: SessionId = SessionId(2);

const LAYERS: [LayerRange; STAGES] = [
    LayerRange { first: 0, end: 1 },
    LayerRange { first: 1, end: 2 },
];

/// Field of a reply that a mutant does not compare.
#[derive(Clone, Copy, PartialEq)]
enum Unchecked {
    Nothing,
    Session,
    Attempt,
    Position,
    Layers,
    Version,
    Incarnation,
}

struct TokenModel {
    tokens: usize,
    faults: u8,
    duplicates: u8,
    unchecked: Unchecked,
    /// Mutant: the driver does not send the replay to a stage that it replaced.
    skips_replay: bool,
}

/// An output row or a token: a hash chain over stage, model version and all inputs up to the
/// position.
type Row = u64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Engine {
    incarnation: u64,
    version: u32,
    /// Attempt number and input rows of the session, one row per position.
    kv: Option<(u32, Vec<Row>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Request {
    replica: usize,
    stage: usize,
    attempt: u32,
    position: u32,
    inputs: Vec<Row>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Answer {
    reply: Reply,
    rows: Vec<Row>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    lineage: Lineage,
    /// Replica in use for each stage.
    used: [usize; STAGES],
    /// Incarnation of each stage's first accepted reply in its present attempt.
    first_incarnation: [Option<Incarnation>; STAGES],
    /// Rows that the driver keeps: inputs of each stage by position, which are the tokens for the
    /// first stage. The last element stays empty.
    rows: Vec<Vec<Row>>,
    /// Two replicas for each stage.
    engines: [[Engine; 2]; STAGES],
    requests: Vec<Request>,
    answers: Vec<Answer>,
    emitted: Vec<Row>,
    faults: u8,
    duplicates: u8,
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Run(usize),
    RunTwice(usize),
    Deliver(usize),
    DeliverTwice(usize),
    Drop(usize),
    Foreign,
    /// The driver replaces the stage's replica by this one, which may be the same.
    Replace(usize, usize),
    Restart,
    Crash(usize, usize),
    Upgrade(usize, usize),
}

fn chain(stage: usize, version: u32, inputs: &[Row]) -> Row {
    let seed = 31 * (stage as u64 + 1) + 1_000 * u64::from(version);
    inputs.iter().fold(seed, |h, row| {
        h.wrapping_mul(0x9E37_79B9).wrapping_add(row + 1)
    })
}

/// Returns the token after the sequence, computed by running every stage over all of it.
fn reference(sequence: &[Row]) -> Row {
    let mut rows = sequence.to_vec();
    for stage in 0..STAGES {
        rows = (1..=rows.len())
            .map(|n| chain(stage, 1, &rows[..n]))
            .collect();
    }
    rows[rows.len() - 1]
}

impl TokenModel {
    fn send(&self, world: &mut World) {
        if world.emitted.len() >= self.tokens {
            return;
        }
        let due = world.lineage.due_step();
        let from = due.position as usize;
        let inputs = world.rows[due.stage][from..from + due.count as usize].to_vec();
        let DueStep {
            stage,
            attempt,
            position,
            ..
        } = due;
        let replica = world.used[stage];
        world.requests.push(Request {
            replica,
            stage,
            attempt,
            position,
            inputs,
        });
        world.requests.sort_unstable();
    }

    fn run(&self, world: &mut World, request: Request) {
        let Request {
            replica,
            stage,
            attempt,
            position,
            inputs,
        } = request;
        let engine = &mut world.engines[stage][replica];
        let newer = engine.kv.as_ref().is_none_or(|(a, _)| *a < attempt);
        if position == 0 && newer {
            engine.kv = Some((attempt, Vec::new()));
        }
        // The engine refuses gaps, repeated positions and older attempts.
        let Some((_, kv)) = engine
            .kv
            .as_mut()
            .filter(|(a, kv)| *a == attempt && kv.len() == position as usize)
        else {
            return;
        };
        let count = inputs.len() as u32;
        let mut rows = Vec::new();
        for input in inputs {
            kv.push(input);
            rows.push(chain(stage, engine.version, kv));
        }
        let reply = Reply {
            session: SESSION,
            attempt,
            position,
            count,
            layers: LAYERS[stage],
            version: VersionKey(engine.version),
            incarnation: Incarnation(engine.incarnation),
        };
        world.answers.push(Answer { reply, rows });
        world.answers.sort_unstable();
    }

    fn deliver(&self, world: &mut World, answer: Answer) {
        let due = world.lineage.due_step();
        let mut reply = answer.reply;
        match self.unchecked {
            Unchecked::Nothing => {}
            Unchecked::Session => reply.session = due.session,
            Unchecked::Attempt => reply.attempt = due.attempt,
            Unchecked::Position => (reply.position, reply.count) = (due.position, due.count),
            Unchecked::Layers => reply.layers = due.layers,
            Unchecked::Version => reply.version = due.version,
            Unchecked::Incarnation => {
                reply.incarnation = due.incarnation.unwrap_or(reply.incarnation);
            }
        }
        let done = world.emitted.len() >= self.tokens;
        let accepted = if done {
            return;
        } else {
            world.lineage.accept(&reply)
        };
        // The counts would make the number of distinct states unbounded.
        world.lineage.take_drops();
        let Ok(progress) = accepted else { return };
        let began = *world.first_incarnation[due.stage].get_or_insert(answer.reply.incarnation);
        if began != answer.reply.incarnation {
            world.violation = Some(ONE_INCARNATION);
        }
        let kept = &mut world.rows[due.stage + 1];
        match progress {
            Progress::NextStage => {
                kept.truncate(due.position as usize);
                kept.extend(answer.rows);
            }
            Progress::Token { position } => {
                let token = answer.rows.last().copied().unwrap_or(0);
                if position as usize != world.rows[0].len() {
                    world.violation = Some(CORRECT_TOKENS);
                }
                if token != reference(&world.rows[0]) {
                    world.violation = Some(CORRECT_TOKENS);
                }
                world.emitted.push(token);
                world.rows[0].push(token);
            }
        }
        self.send(world);
    }

    fn foreign(&self, world: &mut World) {
        let due = world.lineage.due_step();
        let reply = Reply {
            session: OTHER_SESSION,
            ..Reply::to(&due, Incarnation(1))
        };
        self.deliver(
            world,
            Answer {
                reply,
                rows: vec![77; due.count as usize],
            },
        );
    }

    fn replace(&self, world: &mut World, stage: usize, replica: usize) {
        world.used[stage] = replica;
        world.first_incarnation[stage] = None;
        world.lineage.replace(stage, 0, None);
        // The replacement may have changed the step that is due.
        if !self.skips_replay {
            self.send(world);
        }
    }

    fn kv_matches(&self, world: &World) -> bool {
        (0..STAGES).all(|stage| {
            let engine = &world.engines[stage][world.used[stage]];
            let restarted =
                world.first_incarnation[stage].is_some_and(|i| i.0 != engine.incarnation);
            let held = world.lineage.kv_len(stage) as usize;
            let computed = engine
                .kv
                .as_ref()
                .is_some_and(|(_, kv)| kv.len() >= held && kv[..held] == world.rows[stage][..held]);
            held == 0 || restarted || computed
        })
    }

    /// Returns whether the answer completes once faults stop and the driver replaces stages that
    /// refuse their step.
    fn completes(&self, world: &World) -> bool {
        let mut world = world.clone();
        for _ in 0..40 {
            while let Some(request) = world.requests.pop() {
                self.run(&mut world, request);
            }
            while let Some(answer) = world.answers.pop() {
                self.deliver(&mut world, answer);
            }
            if world.emitted.len() >= self.tokens {
                return true;
            }
            if world.requests.is_empty() {
                let stage = world.lineage.due_step().stage;
                let good = (0..2).find(|&r| world.engines[stage][r].version == 1);
                match good {
                    Some(replica) => self.replace(&mut world, stage, replica),
                    // Without a replica of the version the driver fails the session.
                    None => return true,
                }
            }
        }
        false
    }

    fn take_fault(&self, world: &mut World, step: Step) {
        match step {
            Step::Drop(i) => {
                world.answers.remove(i);
            }
            Step::Replace(stage, replica) => self.replace(world, stage, replica),
            Step::Restart => {
                world.first_incarnation = [None; STAGES];
                world.lineage.restart(&LAYERS).expect("the same stages");
                self.send(world);
            }
            Step::Crash(stage, replica) => {
                let engine = &mut world.engines[stage][replica];
                engine.incarnation += 1;
                engine.kv = None;
            }
            Step::Upgrade(stage, replica) => world.engines[stage][replica].version = 2,
            _ => {}
        }
    }
}

impl Model for TokenModel {
    type State = World;
    type Step = Step;

    fn initial_state(&self) -> World {
        let spec = Spec {
            session: SESSION,
            version: VersionKey(1),
            layers: STAGES as u32,
            prompt_len: PROMPT as u32,
        };
        let engine = Engine {
            incarnation: 1,
            version: 1,
            kv: None,
        };
        let pair = [engine.clone(), engine];
        let mut rows = vec![Vec::new(); STAGES + 1];
        rows[0] = vec![5, 6];
        let mut world = World {
            lineage: Lineage::new(spec, &LAYERS).expect("stages cover the layers"),
            used: [0; STAGES],
            first_incarnation: [None; STAGES],
            rows,
            engines: [pair.clone(), pair],
            requests: Vec::new(),
            answers: Vec::new(),
            emitted: Vec::new(),
            faults: self.faults,
            duplicates: self.duplicates,
            violation: None,
        };
        self.send(&mut world);
        world
    }

    fn steps(&self, world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        let twice = world.duplicates > 0;
        for i in 0..world.requests.len() {
            steps.push(Step::Run(i));
            steps.extend(twice.then_some(Step::RunTwice(i)));
        }
        for i in 0..world.answers.len() {
            steps.push(Step::Deliver(i));
            steps.extend(twice.then_some(Step::DeliverTwice(i)));
        }
        if world.emitted.len() >= self.tokens {
            return steps;
        }
        if twice {
            steps.push(Step::Foreign);
        }
        if world.faults > 0 {
            steps.extend((0..world.answers.len()).map(Step::Drop));
            steps.push(Step::Restart);
            for (stage, replica) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                steps.push(Step::Replace(stage, replica));
                steps.push(Step::Crash(stage, replica));
                steps.push(Step::Upgrade(stage, replica));
            }
        }
        steps
    }

    fn apply(&self, world: &mut World, step: Step) {
        match step {
            Step::Run(i) => {
                let request = world.requests.remove(i);
                self.run(world, request);
            }
            Step::RunTwice(i) => {
                world.duplicates -= 1;
                self.run(world, world.requests[i].clone());
            }
            Step::Deliver(i) => {
                let answer = world.answers.remove(i);
                self.deliver(world, answer);
            }
            Step::DeliverTwice(i) => {
                world.duplicates -= 1;
                self.deliver(world, world.answers[i].clone());
            }
            Step::Foreign => {
                world.duplicates -= 1;
                self.foreign(world);
            }
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
        if !self.kv_matches(world) {
            return Some(KV_MATCHES);
        }
        (!self.completes(world)).then_some(COMPLETES)
    }
}

fn model() -> TokenModel {
    TokenModel {
        tokens: 2,
        faults: 2,
        duplicates: 1,
        unchecked: Unchecked::Nothing,
        skips_replay: false,
    }
}

#[test]
fn tokens_stay_in_order_under_faults() {
    let faults = 1 + bound() as u8;
    assert_holds("token, two faults", &TokenModel { faults, ..model() });
}

#[test]
fn tokens_stay_in_order_under_duplicates() {
    let duplicates = 1 + bound() as u8;
    assert_holds(
        "token, duplicates",
        &TokenModel {
            faults: 1,
            duplicates,
            ..model()
        },
    );
}

#[rstest]
#[case::session(Unchecked::Session, KV_MATCHES)]
#[case::attempt(Unchecked::Attempt, KV_MATCHES)]
#[case::position(Unchecked::Position, KV_MATCHES)]
#[case::layers(Unchecked::Layers, CORRECT_TOKENS)]
#[case::version(Unchecked::Version, CORRECT_TOKENS)]
#[case::incarnation(Unchecked::Incarnation, ONE_INCARNATION)]
fn checker_catches_mutants(#[case] unchecked: Unchecked, #[case] invariant: &str) {
    assert_caught(
        "token",
        &TokenModel {
            unchecked,
            ..model()
        },
        invariant,
    );
}

#[test]
fn checker_catches_a_stage_without_replay() {
    assert_caught(
        "token",
        &TokenModel {
            skips_replay: true,
            ..model()
        },
        COMPLETES,
    );
}
