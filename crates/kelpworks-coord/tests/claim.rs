//! Table tests of claims.

use rstest::rstest;

use kelpworks_coord::claim::*;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Nonce;
use kelpworks_coord::id::Version;
use kelpworks_coord::time::Instant;

const START: Instant = Instant::ZERO;

fn request(node: u64, nonce: u64) -> Request {
    Request {
        digest: 9,
        holder: NodeId(node),
        incarnation: Incarnation(1),
        nonce: Nonce(nonce),
        deadline: Instant::from_millis(5_000),
    }
}

fn record(nonce: u64, phase: Phase) -> Record {
    Record {
        digest: 9,
        holder: NodeId(2),
        incarnation: Incarnation(1),
        nonce: Nonce(nonce),
        phase,
    }
}

fn stored(version: u64, nonce: u64, phase: Phase) -> Stored {
    Stored {
        version: Version::initial(version),
        record: record(nonce, phase),
    }
}

fn outcome() -> Outcome {
    Outcome {
        status: 200,
        body: "certificate 17".into(),
    }
}

fn started() -> Claim {
    let mut claim = Claim::new(Config::default(), request(1, 1));
    claim.on_event(START, Event::Start);
    claim
}

fn feed(claim: &mut Claim, events: Vec<Event>) -> Vec<Action> {
    events
        .into_iter()
        .flat_map(|event| claim.on_event(START, event))
        .collect()
}

fn api(reply: ApiReply) -> Event {
    Event::Api(reply)
}

#[rstest]
#[case::created(vec![api(ApiReply::Stored(Version::initial(1)))], "[Dispatch]")]
#[case::lost_but_created(
    vec![api(ApiReply::Lost), api(ApiReply::Found(stored(1, 1, Phase::Claimed)))],
    "[Read, Dispatch]")]
#[case::lost_and_stale_read_then_conflict_shows_own_claim(
    vec![api(ApiReply::Lost), api(ApiReply::Absent),
         api(ApiReply::Conflict(Some(stored(1, 1, Phase::Claimed))))],
    "[Read, Write, Dispatch]")]
#[case::refused(vec![api(ApiReply::Refused)], "[NotRun(Unavailable)]")]
#[case::done_before(
    vec![api(ApiReply::Conflict(Some(stored(1, 2, Phase::Done(outcome())))))],
    "[Completed]")]
#[case::holder_dead(
    vec![api(ApiReply::Conflict(Some(stored(1, 2, Phase::Claimed)))), Event::Peer(None)],
    "[QueryHolder, MayHaveRun]")]
#[case::holder_running(
    vec![api(ApiReply::Conflict(Some(stored(1, 2, Phase::Claimed)))),
         Event::Peer(Some(PeerStatus::InProgress))],
    "[QueryHolder, InProgress]")]
#[case::holder_never_dispatched(
    vec![api(ApiReply::Conflict(Some(stored(1, 2, Phase::Claimed)))),
         Event::Peer(Some(PeerStatus::NeverDispatched)), api(ApiReply::Stored(Version::initial(2)))],
    "[QueryHolder, Write, Dispatch]")]
#[case::other_body(
    vec![api(ApiReply::Conflict(Some(Stored {
        version: Version::initial(1), record: Record { digest: 8, ..record(2, Phase::Claimed) } })))],
    "[NotRun(KeyReused)]")]
#[case::not_run_by_upstream(
    vec![api(ApiReply::Stored(Version::initial(1))), Event::Finished(RunResult::NotRun)],
    "[Dispatch, NotRun(Upstream), Remove]")]
#[case::answer_waits_for_the_outcome_write(
    vec![api(ApiReply::Stored(Version::initial(1))), Event::Finished(RunResult::Completed(outcome()))],
    "[Dispatch, Write]")]
#[case::answer_after_the_outcome_write(
    vec![api(ApiReply::Stored(Version::initial(1))), Event::Finished(RunResult::Completed(outcome())),
         api(ApiReply::Stored(Version::initial(2)))],
    "[Dispatch, Write, Completed]")]
#[case::unknown_result_is_answered_at_once(
    vec![api(ApiReply::Stored(Version::initial(1))), Event::Finished(RunResult::MayHaveRun)],
    "[Dispatch, MayHaveRun, Write]")]
fn claim_returns_expected_actions(#[case] events: Vec<Event>, #[case] actions: &str) {
    let taken = feed(&mut started(), events);
    assert_eq!(names(&taken), actions);
}

fn names(actions: &[Action]) -> String {
    let name = |action: &Action| match action {
        Action::Write { .. } => "Write".to_string(),
        Action::Remove { .. } => "Remove".to_string(),
        Action::QueryHolder { .. } => "QueryHolder".to_string(),
        Action::Answer(Answer::Completed(_)) => "Completed".to_string(),
        Action::Answer(answer) => format!("{answer:?}"),
        other => format!("{other:?}"),
    };
    format!(
        "[{}]",
        actions.iter().map(name).collect::<Vec<_>>().join(", ")
    )
}

/// An API that answers reads and loses writes: the write is retried until the create timeout, and
/// the caller gets its answer then.
#[rstest]
#[case::before(999, "[Write]")]
#[case::after(1_000, "[NotRun(Unavailable)]")]
fn repeatedly_lost_writes_end_at_the_create_timeout(#[case] at_ms: u64, #[case] actions: &str) {
    let mut claim = started();
    feed(&mut claim, vec![api(ApiReply::Lost)]);
    let now = Instant::from_millis(at_ms);
    assert_eq!(names(&claim.on_event(now, api(ApiReply::Absent))), actions);
}

#[test]
fn outage_after_lost_create_reply_refuses_the_request_and_removes_the_claim_later() {
    let mut claim = started();
    feed(&mut claim, vec![api(ApiReply::Lost), api(ApiReply::Lost)]);
    let late = Instant::from_millis(1_000);
    let refused = claim.on_event(late, Event::Tick);
    assert_eq!(
        refused,
        [Action::Answer(Answer::NotRun(NotRunReason::Unavailable))]
    );
    assert_eq!(claim.status(), PeerStatus::NeverDispatched);
    assert!(!claim.is_finished());
    let later = Instant::from_millis(1_100);
    assert_eq!(claim.on_event(later, Event::Tick), [Action::Read]);
    let found = api(ApiReply::Found(stored(4, 1, Phase::Claimed)));
    assert_eq!(
        claim.on_event(later, found),
        [Action::Remove {
            if_version: Version::initial(4)
        }]
    );
    claim.on_event(later, api(ApiReply::Removed));
    assert!(claim.is_finished());
    assert_eq!(
        claim.on_event(later, api(ApiReply::Stored(Version::initial(1)))),
        [],
        "a late reply"
    );
}

#[test]
fn claim_created_after_the_deadline_is_not_dispatched() {
    let mut claim = started();
    let late = Instant::from_millis(5_000);
    let actions = claim.on_event(late, api(ApiReply::Stored(Version::initial(1))));
    assert_eq!(
        actions,
        [Action::Answer(Answer::NotRun(NotRunReason::Deadline))]
    );
}

#[test]
fn outage_delays_the_answer_by_at_most_the_record_timeout() {
    let mut claim = started();
    let run = Event::Finished(RunResult::Completed(outcome()));
    feed(
        &mut claim,
        vec![
            api(ApiReply::Stored(Version::initial(1))),
            run,
            api(ApiReply::Lost),
        ],
    );
    let actions = claim.on_event(Instant::from_millis(500), Event::Tick);
    assert_eq!(names(&actions), "[Completed, Write]");
    assert_eq!(claim.status(), PeerStatus::Done(outcome()));
    let recorded = claim.on_event(
        Instant::from_millis(501),
        api(ApiReply::Stored(Version::initial(2))),
    );
    assert_eq!(recorded, [], "the caller is answered once");
}
