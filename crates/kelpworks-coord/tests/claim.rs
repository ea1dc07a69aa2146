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
#[case::lost_and_stale_read_then_conflict_shows_ours(
    vec![api(ApiReply::Lost), api(ApiReply::Absent),
         api(ApiReply::Conflict(Some(stored(1, 1, Phase::Claimed))))],
    "[Read, Write, Dispatch]")]
#[case::refused(vec![api(ApiReply::Refused)], "[NotRun(Unavailable)]")]
#[case::done_before(
    vec![api(ApiReply::Conflict(Some(stored(1, 2, Phase::Done(outcome())))))],
    "[Completed]")]
#[case::holder_dead(
    vec![api(ApiReply::Conflict(Some(stored(1, 2, Phase::Claimed)))), Event::Peer(None)],
    "[AskHolder, MayHaveRun]")]
#[case::holder_running(
    vec![api(ApiReply::Conflict(Some(stored(1, 2, Phase::Claimed)))),
         Event::Peer(Some(PeerStatus::InProgress))],
    "[AskHolder, InProgress]")]
#[case::holder_gave_up(
    vec![api(ApiReply::Conflict(Some(stored(1, 2, Phase::Claimed)))),
         Event::Peer(Some(PeerStatus::NeverDispatched)), api(ApiReply::Stored(Version::initial(2)))],
    "[AskHolder, Write, Dispatch]")]
#[case::other_body(
    vec![api(ApiReply::Conflict(Some(Stored {
        version: Version::initial(1), record: Record { digest: 8, ..record(2, Phase::Claimed) } })))],
    "[NotRun(KeyReused)]")]
#[case::upstream_took_nothing(
    vec![api(ApiReply::Stored(Version::initial(1))), Event::Finished(Run::NotRun)],
    "[Dispatch, NotRun(Upstream), Remove]")]
#[case::answer_waits_for_its_recording(
    vec![api(ApiReply::Stored(Version::initial(1))), Event::Finished(Run::Completed(outcome()))],
    "[Dispatch, Write]")]
#[case::answer_after_recording(
    vec![api(ApiReply::Stored(Version::initial(1))), Event::Finished(Run::Completed(outcome())),
         api(ApiReply::Stored(Version::initial(2)))],
    "[Dispatch, Write, Completed]")]
#[case::unknown_end_is_told_at_once(
    vec![api(ApiReply::Stored(Version::initial(1))), Event::Finished(Run::MayHaveRun)],
    "[Dispatch, MayHaveRun, Write]")]
fn a_claim_leads_to(#[case] events: Vec<Event>, #[case] actions: &str) {
    let taken = feed(&mut started(), events);
    assert_eq!(names(&taken), actions);
}

fn names(actions: &[Action]) -> String {
    let name = |action: &Action| match action {
        Action::Write { .. } => "Write".to_string(),
        Action::Remove { .. } => "Remove".to_string(),
        Action::AskHolder { .. } => "AskHolder".to_string(),
        Action::Answer(Answer::Completed(_)) => "Completed".to_string(),
        Action::Answer(answer) => format!("{answer:?}"),
        other => format!("{other:?}"),
    };
    format!(
        "[{}]",
        actions.iter().map(name).collect::<Vec<_>>().join(", ")
    )
}

/// An API that loses writes and takes reads: the write is tried again until the claim should have
/// been settled, and the caller is told then.
#[rstest]
#[case::before(999, "[Write]")]
#[case::after(1_000, "[NotRun(Unavailable)]")]
fn writes_lost_again_and_again(#[case] at_ms: u64, #[case] actions: &str) {
    let mut claim = started();
    feed(&mut claim, vec![api(ApiReply::Lost)]);
    let now = Instant::from_millis(at_ms);
    assert_eq!(names(&claim.on_event(now, api(ApiReply::Absent))), actions);
}

#[test]
fn an_outage_after_a_lost_reply_is_refused_and_cleaned_up_later() {
    let mut claim = started();
    feed(&mut claim, vec![api(ApiReply::Lost), api(ApiReply::Lost)]);
    let late = Instant::from_millis(1_000);
    let refused = claim.on_event(late, Event::Tick);
    assert_eq!(
        refused,
        [Action::Answer(Answer::NotRun(NotRun::Unavailable))]
    );
    assert_eq!(claim.status(), PeerStatus::NeverDispatched);
    assert!(!claim.is_settled());
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
    assert!(claim.is_settled());
    assert_eq!(
        claim.on_event(later, api(ApiReply::Stored(Version::initial(1)))),
        [],
        "a late reply"
    );
}

#[test]
fn a_daemon_paused_past_the_deadline_does_not_dispatch() {
    let mut claim = started();
    let late = Instant::from_millis(5_000);
    let actions = claim.on_event(late, api(ApiReply::Stored(Version::initial(1))));
    assert_eq!(actions, [Action::Answer(Answer::NotRun(NotRun::Deadline))]);
}

#[test]
fn an_outage_delays_an_answer_no_longer_than_its_bound() {
    let mut claim = started();
    let run = Event::Finished(Run::Completed(outcome()));
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
