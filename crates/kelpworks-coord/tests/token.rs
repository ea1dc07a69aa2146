//! Table tests of the token order.

use rstest::rstest;

use kelpworks_coord::id::Incarnation;
use kelpworks_coord::token::DropReason;
use kelpworks_coord::token::Error;
use kelpworks_coord::token::LayerRange;
use kelpworks_coord::token::Lineage;
use kelpworks_coord::token::Progress;
use kelpworks_coord::token::Reply;
use kelpworks_coord::token::SessionId;
use kelpworks_coord::token::Spec;
use kelpworks_coord::token::VersionKey;

const SPEC: Spec = Spec {
    session: SessionId(1),
    version: VersionKey(1),
    layers: 6,
    prompt_len: 4,
};

const STAGES: [LayerRange; 3] = [
    LayerRange { first: 0, end: 2 },
    LayerRange { first: 2, end: 4 },
    LayerRange { first: 4, end: 6 },
];

fn lineage() -> Lineage {
    Lineage::new(SPEC, &STAGES).unwrap()
}

fn run(lineage: &mut Lineage) -> Progress {
    let due = lineage.due_step();
    let incarnation = due.incarnation.unwrap_or(Incarnation(1));
    lineage.accept(&Reply::to(&due, incarnation)).unwrap()
}

fn run_to_token(lineage: &mut Lineage) -> u32 {
    loop {
        if let Progress::Token { position } = run(lineage) {
            return position;
        }
    }
}

#[rstest]
#[case::session(|r: &mut Reply| r.session = SessionId(2), DropReason::Session)]
#[case::older_attempt(|r: &mut Reply| r.attempt = 0, DropReason::Attempt)]
#[case::newer_attempt(|r: &mut Reply| r.attempt += 1, DropReason::Attempt)]
#[case::other_layers(|r: &mut Reply| r.layers = STAGES[1], DropReason::Layers)]
#[case::cut_layers(|r: &mut Reply| r.layers.end -= 1, DropReason::Layers)]
#[case::version(|r: &mut Reply| r.version = VersionKey(2), DropReason::Version)]
#[case::restarted(|r: &mut Reply| r.incarnation = Incarnation(2), DropReason::Incarnation)]
#[case::late(|r: &mut Reply| r.position -= 1, DropReason::Position)]
#[case::short(|r: &mut Reply| r.count = 0, DropReason::Position)]
fn mismatched_reply_is_dropped_and_counted(
    #[case] alter: fn(&mut Reply),
    #[case] reason: DropReason,
) {
    let mut lineage = lineage();
    lineage.restart(&STAGES).unwrap();
    run_to_token(&mut lineage);
    let due = lineage.due_step();
    let mut reply = Reply::to(&due, Incarnation(1));
    alter(&mut reply);
    assert_eq!(lineage.accept(&reply), Err(reason));
    assert_eq!(lineage.drops().of(reason), 1);
    assert_eq!(lineage.drops().total(), 1);
    assert_eq!(lineage.due_step(), due, "nothing else changed");
}

#[rstest]
#[case::first(0, [(0, 5), (4, 1), (4, 1)])]
#[case::middle(1, [(4, 1), (0, 5), (4, 1)])]
#[case::last(2, [(4, 1), (4, 1), (0, 5)])]
fn replaced_stage_alone_replays_its_positions(
    #[case] stage: usize,
    #[case] steps: [(u32, u32); 3],
) {
    let mut lineage = lineage();
    assert_eq!(run_to_token(&mut lineage), 4);
    assert_eq!(lineage.replace(stage, 0, None), 1);
    for (position, count) in steps {
        let due = lineage.due_step();
        assert_eq!((due.position, due.count), (position, count));
        assert_eq!(due.attempt, u32::from(due.stage == stage));
        run(&mut lineage);
    }
    assert_eq!(lineage.emitted(), 2);
}

#[test]
fn stage_replaced_after_its_step_replays_in_the_next_round() {
    let mut lineage = lineage();
    run(&mut lineage);
    lineage.replace(0, 0, None);
    assert_eq!(run_to_token(&mut lineage), 4);
    let due = lineage.due_step();
    assert_eq!((due.stage, due.position, due.count), (0, 0, 5));
}

#[test]
fn imported_positions_are_not_replayed() {
    let mut lineage = lineage();
    run_to_token(&mut lineage);
    lineage.replace(0, 4, Some(Incarnation(8)));
    let due = lineage.due_step();
    assert_eq!(
        (due.position, due.count, due.incarnation),
        (4, 1, Some(Incarnation(8)))
    );
}

#[test]
fn restart_prefills_emitted_tokens_and_continues() {
    let mut lineage = lineage();
    let late = Reply::to(&lineage.due_step(), Incarnation(1));
    assert_eq!(run_to_token(&mut lineage), 4);
    assert_eq!(run_to_token(&mut lineage), 5);
    lineage.restart(&[LayerRange { first: 0, end: 6 }]).unwrap();
    assert_eq!(
        (lineage.due_step().position, lineage.due_step().count),
        (0, 6)
    );
    assert_eq!(lineage.accept(&late), Err(DropReason::Attempt));
    assert_eq!(run_to_token(&mut lineage), 6);
}

#[rstest]
#[case::gap(&[LayerRange { first: 0, end: 2 }, LayerRange { first: 3, end: 6 }], Error::Gap { stage: 1 })]
#[case::overlap(&[LayerRange { first: 0, end: 3 }, LayerRange { first: 2, end: 6 }], Error::Gap { stage: 1 })]
#[case::empty_stage(&[LayerRange { first: 0, end: 0 }], Error::Gap { stage: 0 })]
#[case::short(&[LayerRange { first: 0, end: 5 }], Error::End { end: 5, layers: 6 })]
#[case::none(&[], Error::End { end: 0, layers: 6 })]
fn stages_must_cover_each_layer_once(#[case] stages: &[LayerRange], #[case] error: Error) {
    assert_eq!(Lineage::new(SPEC, stages), Err(error));
}
