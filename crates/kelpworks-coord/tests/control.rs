//! Table tests of the config head, the lease, repair, startup readiness, the write budget,
//! rendezvous hashing and dissemination.

use rstest::rstest;

use kelpworks_coord::budget;
use kelpworks_coord::budget::Purpose;
use kelpworks_coord::budget::WriteBudget;
use kelpworks_coord::dissemination;
use kelpworks_coord::dissemination::Dissemination;
use kelpworks_coord::head::Change;
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
use kelpworks_coord::id::DomainId;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Nonce;
use kelpworks_coord::id::Version;
use kelpworks_coord::join::Joining;
use kelpworks_coord::join::Source;
use kelpworks_coord::lease;
use kelpworks_coord::lease::Action;
use kelpworks_coord::lease::ApiReply;
use kelpworks_coord::lease::Event;
use kelpworks_coord::lease::Lease;
use kelpworks_coord::lease::Owner;
use kelpworks_coord::lease::Record;
use kelpworks_coord::lease::Stored;
use kelpworks_coord::lease::Token;
use kelpworks_coord::rendezvous;
use kelpworks_coord::repair::Repair;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;

const OURS: Change = Change {
    kind: PartKind::Rules,
    digest: Digest([9; 32]),
    nonce: Nonce(9),
};

fn part(byte: u8, since: u64) -> Option<Part> {
    let nonce = Nonce(u64::from(byte));
    Some(Part {
        digest: Digest([byte; 32]),
        since: Generation(since),
        nonce,
    })
}

fn head(version: u64, generation: u64, register: Option<Part>, rules: Option<Part>) -> SwapEvent {
    let head = Head {
        generation: Generation(generation),
        register,
        rules,
    };
    let at = StoredHead {
        version: Version::initial(version),
        head,
    };
    if version > 10 {
        SwapEvent::Conflict(at)
    } else {
        SwapEvent::HeadRead(at)
    }
}

#[rstest]
#[case::accepted(vec![SwapEvent::Swapped], SwapOutcome::Accepted(Generation(6)))]
#[case::other_part_changed(
    vec![head(11, 6, part(3, 6), part(2, 5)), SwapEvent::Valid, SwapEvent::Swapped],
    SwapOutcome::Accepted(Generation(7)))]
#[case::pair_no_longer_fits(
    vec![head(11, 6, part(3, 6), part(2, 5)), SwapEvent::Invalid], SwapOutcome::Invalid)]
#[case::lost_reply_read_back(
    vec![SwapEvent::Lost, head(7, 6, part(1, 4), part(9, 6))],
    SwapOutcome::Accepted(Generation(6)))]
#[case::lost_reply_then_another_change(
    vec![SwapEvent::Lost, head(8, 7, part(3, 7), part(9, 6))],
    SwapOutcome::Accepted(Generation(6)))]
#[case::lost_reply_not_applied(
    vec![SwapEvent::Lost, head(6, 5, part(1, 4), part(2, 5)), SwapEvent::Valid, SwapEvent::Swapped],
    SwapOutcome::Accepted(Generation(6)))]
#[case::lost_reply_and_a_stale_read_back(
    vec![SwapEvent::Lost, head(4, 4, part(1, 4), part(7, 2)), SwapEvent::Tick,
         head(7, 6, part(1, 4), part(9, 6))],
    SwapOutcome::Accepted(Generation(6)))]
#[case::refused_then_accepted(
    vec![SwapEvent::Refused, SwapEvent::Tick, SwapEvent::Swapped],
    SwapOutcome::Accepted(Generation(6)))]
fn swap_ends_with_expected_outcome(#[case] events: Vec<SwapEvent>, #[case] outcome: SwapOutcome) {
    assert_eq!(run_swap(events), Some(SwapAction::Done(outcome)));
}

fn run_swap(events: Vec<SwapEvent>) -> Option<SwapAction> {
    let mut swap = Swap::new(Default::default(), OURS, Instant::ZERO);
    let opening = [
        SwapEvent::Start,
        SwapEvent::BlobStored,
        head(6, 5, part(1, 4), part(2, 5)),
        SwapEvent::Valid,
    ];
    let mut last = None;
    for (i, event) in opening.into_iter().chain(events).enumerate() {
        let now = Instant::from_millis(1_000 * i as u64);
        last = swap.on_event(now, event).pop().or(last);
    }
    last
}

/// Another operator changes the same part and changes it back. Comparing digests alone would take
/// the part for unchanged.
#[rstest]
#[case::seen_at_once(vec![head(12, 7, part(1, 4), part(2, 7))], false)]
#[case::after_a_lost_reply(vec![SwapEvent::Lost, head(9, 7, part(1, 4), part(2, 7))], true)]
fn part_changed_and_restored_is_a_conflict(
    #[case] events: Vec<SwapEvent>,
    #[case] superseded: bool,
) {
    let Some(SwapAction::Done(outcome)) = run_swap(events) else {
        panic!("not done")
    };
    assert_eq!(
        matches!(outcome, SwapOutcome::Superseded { .. }),
        superseded
    );
    assert_eq!(matches!(outcome, SwapOutcome::Conflict { .. }), !superseded);
}

#[test]
fn follower_never_applies_an_older_generation() {
    let seen = |n| Head {
        generation: Generation(n),
        ..Head::EMPTY
    };
    let mut follower = Follower::new();
    follower.on_event(FollowerEvent::Seen(seen(4)));
    follower.on_event(FollowerEvent::Seen(seen(5)));
    assert_eq!(
        follower.on_event(FollowerEvent::Fetched(Generation(4))),
        [],
        "overtaken"
    );
    let applied = follower.on_event(FollowerEvent::Fetched(Generation(5)));
    assert_eq!(applied, [FollowerAction::Apply(seen(5))]);
    assert_eq!(follower.on_event(FollowerEvent::Seen(seen(4))), []);
    assert_eq!(
        (follower.latest_generation(), follower.take_stale_count()),
        (Generation(5), 1)
    );
    follower.on_event(FollowerEvent::Seen(seen(6)));
    follower.on_event(FollowerEvent::FetchFailed(Generation(6)));
    assert_eq!(
        follower.current(),
        Some(seen(5)),
        "the previous configuration stays in force"
    );
    assert_eq!(
        follower.on_event(FollowerEvent::Retry),
        [FollowerAction::Fetch(seen(6))]
    );
}

const ME: Owner = Owner {
    node: NodeId(1),
    incarnation: Incarnation(1),
};
const OTHER: Owner = Owner {
    node: NodeId(2),
    incarnation: Incarnation(1),
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn stored(version: u64, owner: Owner, token: u64, renewal: u64) -> Stored {
    let record = Record {
        owner: Some(owner),
        token: Token(token),
        renewal,
    };
    Stored {
        version: Version::initial(version),
        record,
    }
}

fn holder() -> Lease {
    let mut lease = Lease::new(lease::Config::default(), ME, at(0));
    lease.on_event(at(0), Event::Tick);
    lease.on_event(at(0), Event::Api(ApiReply::Read(Stored::ABSENT)));
    lease.on_event(at(100), Event::Api(ApiReply::Written(Version::initial(1))));
    lease
}

#[test]
fn renewal_with_lost_reply_is_read_back_and_counts_from_sending() {
    let mut lease = holder();
    assert!(matches!(
        lease.on_event(at(3_000), Event::Tick)[..],
        [Action::Write { .. }]
    ));
    assert_eq!(
        lease.on_event(at(4_000), Event::Api(ApiReply::Lost)),
        [Action::Read]
    );
    let ours = Event::Api(ApiReply::Read(stored(2, ME, 1, 1)));
    assert_eq!(lease.on_event(at(5_000), ours), []);
    assert_eq!(lease.fencing_token(at(10_999)), Some(Token(1)));
    assert_eq!(lease.fencing_token(at(11_000)), None, "3 s + 10 s - 2 s");
}

#[test]
fn holder_resigns_when_another_daemon_acquired_the_lease() {
    let mut lease = holder();
    lease.on_event(at(20_000), Event::Tick);
    let taken = Event::Api(ApiReply::Conflict(stored(5, OTHER, 2, 0)));
    assert_eq!(lease.on_event(at(20_010), taken), [Action::Resigned]);
    assert_eq!(lease.fencing_token(at(20_010)), None);
}

#[test]
fn yielded_lease_can_be_acquired_again() {
    let mut lease = holder();
    let record = Record {
        owner: None,
        token: Token(1),
        renewal: 1,
    };
    let write = Action::Write {
        if_version: Version::initial(1),
        record,
    };
    let released = 200 + lease::Config::default().order_bound.as_millis();
    assert_eq!(lease.on_event(at(200), Event::Yield), []);
    assert_eq!(lease.fencing_token(at(200)), None);
    assert_eq!(
        lease.on_event(at(released - 1), Event::Yield),
        [],
        "orders may be under way"
    );
    assert_eq!(lease.on_event(at(released), Event::Yield), [write]);
    let written = Event::Api(ApiReply::Written(Version::initial(2)));
    let resigned = lease.on_event(at(released + 10), written);
    assert_eq!(resigned, [Action::Resigned]);
    let actions = lease.on_event(at(60_000), Event::Tick);
    assert!(
        matches!(actions[..], [Action::Write { record, .. }] if record.token == Token(2)),
        "{actions:?}"
    );
}

#[test]
fn released_lease_can_be_acquired_at_once() {
    let mut lease = holder();
    let record = Record {
        owner: None,
        token: Token(1),
        renewal: 1,
    };
    let write = Action::Write {
        if_version: Version::initial(1),
        record,
    };
    assert_eq!(lease.on_event(at(200), Event::Release), [write]);
    assert_eq!(
        lease.fencing_token(at(200)),
        None,
        "no order during the release"
    );
    let written = Event::Api(ApiReply::Written(Version::initial(2)));
    assert_eq!(lease.on_event(at(210), written), [Action::Resigned]);
    assert_eq!(
        lease.on_event(at(60_000), Event::Tick),
        [Action::Read],
        "a released lease is not acquired again"
    );

    let mut next = Lease::new(lease::Config::default(), OTHER, at(0));
    next.on_event(at(0), Event::Tick);
    let free = Stored {
        version: Version::initial(2),
        record,
    };
    let taken = next.on_event(at(0), Event::Api(ApiReply::Read(free)));
    let record = Record {
        owner: Some(OTHER),
        token: Token(2),
        renewal: 0,
    };
    assert_eq!(
        taken,
        [Action::Write {
            if_version: Version::initial(2),
            record
        }]
    );
}

#[rstest]
#[case::all_answered(&[Source::Api, Source::Peer, Source::Peer], 0, true)]
#[case::a_peer_is_missing(&[Source::Api, Source::Peer], 99, false)]
#[case::a_peer_is_gone(&[Source::Api, Source::Peer], 100, true)]
#[case::the_api_is_down(&[Source::Peer], 100, true)]
#[case::no_one_answers(&[], 1_000_000, false)]
fn starting_daemon_readiness_follows_answers_and_deadline(
    #[case] answers: &[Source],
    #[case] ms: u64,
    #[case] ready: bool,
) {
    let mut joining = Joining::new(at(100), 2);
    for &source in answers {
        joining.on_answer(source);
    }
    assert_eq!(joining.is_ready(at(ms)), ready);
}

#[test]
fn successor_waits_for_ttl_order_bound_and_clock_drift() {
    let mut lease = Lease::new(lease::Config::default(), ME, at(0));
    lease.on_event(at(0), Event::Tick);
    lease.on_event(at(50), Event::Api(ApiReply::Read(stored(7, OTHER, 4, 3))));
    let due = 50 + 12_121; // 12 s * 1005 / 995, rounded up
    assert_eq!(lease.on_event(at(due - 1), Event::Tick), [Action::Read]);
    let unchanged = Event::Api(ApiReply::Read(stored(7, OTHER, 4, 3)));
    assert_eq!(lease.on_event(at(due - 1), unchanged), []);
    lease.on_event(at(due + 2_000), Event::Tick);
    let record = Record {
        owner: Some(ME),
        token: Token(5),
        renewal: 0,
    };
    let write = Action::Write {
        if_version: Version::initial(7),
        record,
    };
    assert_eq!(
        lease.on_event(at(due + 2_000), Event::Api(ApiReply::Lost)),
        [Action::Read]
    );
    assert_eq!(
        lease.on_event(at(due + 2_000), unchanged),
        [write],
        "the same write is repeated"
    );
}

#[test]
fn state_queried_before_order_bound_triggers_no_order() {
    let mut engine = Repair::new(Span::from_secs(2));
    engine.set_desired(1);
    engine.observe(at(0), at(0), 0);
    assert_eq!(
        engine.due_order(at(10), Some(Token(1))),
        Some((Token(1), 1))
    );
    engine.observe(at(1_500), at(1_000), 0);
    assert_eq!(engine.due_order(at(1_500), Some(Token(1))), None);
    engine.observe(at(2_100), at(2_010), 0);
    assert_eq!(
        engine.due_order(at(2_100), Some(Token(2))),
        Some((Token(2), 1))
    );
}

#[rstest]
#[case::one(1, 180)]
#[case::seven(7, 25)]
#[case::many(370, 0)]
fn claims_get_an_equal_share_of_the_unreserved_rate(
    #[case] members: usize,
    #[case] per_second: u64,
) {
    let cfg = budget::Config::default();
    let mut budget = WriteBudget::new(cfg, at(0));
    budget.set_members(at(0), members);
    let take = |budget: &mut WriteBudget, ms| budget.try_take(at(ms), Purpose::Claim, 1).is_ok();
    let at_once = (0..100).filter(|_| take(&mut budget, 0)).count() as u64;
    assert_eq!(at_once, cfg.burst);
    let taken = (1..=10_000).filter(|&ms| take(&mut budget, ms)).count() as u64;
    assert!(taken.abs_diff(per_second * 10) <= 9, "{taken}");
    assert!(
        budget.try_take(at(10_000), Purpose::Lease, 1).is_ok(),
        "reserved writes have their own bucket"
    );
}

#[test]
fn replacing_a_dead_watcher_keeps_the_others() {
    let members: Vec<_> = (0..40).map(|n| (NodeId(n), DomainId(n % 4))).collect();
    let before = rendezvous::choose(&members, "kelpworks.head", 2);
    assert_eq!(before.len(), 8);
    let left: Vec<_> = members
        .iter()
        .copied()
        .filter(|(n, _)| *n != before[0])
        .collect();
    let after = rendezvous::choose(&left, "kelpworks.head", 2);
    assert_eq!(before[1..].iter().filter(|n| after.contains(n)).count(), 7);
}

#[rstest]
#[case::small_fleet(7)]
#[case::large_fleet(370)]
fn generation_reaches_all_daemons_by_push_and_one_heartbeat_round(#[case] n: u64) {
    let nodes: Vec<NodeId> = (0..n).map(NodeId).collect();
    let mut daemons: Vec<Dissemination> = nodes
        .iter()
        .map(|&me| Dissemination::new(dissemination::Config::default(), me))
        .collect();
    let peers = |me: u64| {
        nodes
            .iter()
            .copied()
            .filter(|p| p.0 != me)
            .collect::<Vec<_>>()
    };
    let mut reached = vec![false; n as usize];
    let mut pushes = vec![NodeId(0)];
    while let Some(to) = pushes.pop() {
        reached[to.0 as usize] = true;
        let learned = dissemination::Event::Learned(Generation(1));
        for action in daemons[to.0 as usize].on_event(learned, &peers(to.0)) {
            let dissemination::Action::Push(peer) = action else {
                panic!("unexpected pull")
            };
            pushes.push(peer);
        }
    }
    let by_push = reached.iter().filter(|r| **r).count() as u64;
    assert!(by_push * 10 >= n * 8, "{by_push} of {n}");
    let missed = (0..n as usize).filter(|&i| !reached[i]);
    for i in missed.collect::<Vec<_>>() {
        let heartbeat = dissemination::Event::Heartbeat {
            from: NodeId(0),
            generation: Generation(1),
        };
        let pull = daemons[i].on_event(heartbeat, &[]);
        assert_eq!(pull, [dissemination::Action::Pull(NodeId(0))]);
    }
}

/// Daemons have a generation in force that the store lost in a restore. The next change is made on
/// top of an older head, and daemons must still take it for newer.
#[test]
fn change_after_restore_has_a_higher_generation_than_the_lost_change() {
    use kelpworks_coord::head;
    use kelpworks_coord::id::Digest;
    use kelpworks_coord::id::Era;
    use kelpworks_coord::id::Nonce;

    let change = |nonce| head::Change {
        kind: head::PartKind::Register,
        digest: Digest([nonce; 32]),
        nonce: Nonce(u64::from(nonce)),
    };
    let written = |nonce, at: head::StoredHead| {
        let mut swap = head::Swap::new(head::Config::default(), change(nonce), Instant::ZERO);
        swap.on_event(Instant::ZERO, head::SwapEvent::Start);
        swap.on_event(Instant::ZERO, head::SwapEvent::BlobStored);
        swap.on_event(Instant::ZERO, head::SwapEvent::HeadRead(at));
        let actions = swap.on_event(Instant::ZERO, head::SwapEvent::Valid);
        match actions[..] {
            [head::SwapAction::SwapHead { head, .. }] => head,
            _ => panic!("{actions:?}"),
        }
    };
    let copy = written(
        1,
        head::StoredHead {
            version: Version::ABSENT,
            head: head::Head::EMPTY,
        },
    );
    let lost = written(
        2,
        head::StoredHead {
            version: Version::initial(5),
            head: copy,
        },
    );
    let next = written(
        3,
        head::StoredHead {
            version: Version::new(Era(1), 5),
            head: copy,
        },
    );
    let mut follower = head::Follower::new();
    follower.on_event(head::FollowerEvent::Seen(lost));
    follower.on_event(head::FollowerEvent::Fetched(lost.generation));
    let actions = follower.on_event(head::FollowerEvent::Seen(next));
    assert_eq!(actions, [head::FollowerAction::Fetch(next)]);
    let older = follower.on_event(head::FollowerEvent::Seen(copy));
    assert_eq!(older, [], "the older head itself changes nothing");
}

/// Guards against ordering versions by their revision alone: after a restore, the head of the later
/// era can have a lower revision than the one read before.
#[test]
fn swap_continues_with_a_lower_revision_of_a_later_era() {
    use kelpworks_coord::head;
    use kelpworks_coord::id::Digest;
    use kelpworks_coord::id::Era;
    use kelpworks_coord::id::Nonce;

    let change = head::Change {
        kind: head::PartKind::Rules,
        digest: Digest([1; 32]),
        nonce: Nonce(1),
    };
    let read = |version| {
        head::SwapEvent::HeadRead(head::StoredHead {
            version,
            head: head::Head::EMPTY,
        })
    };
    let mut swap = head::Swap::new(head::Config::default(), change, Instant::ZERO);
    swap.on_event(Instant::ZERO, head::SwapEvent::Start);
    swap.on_event(Instant::ZERO, head::SwapEvent::BlobStored);
    swap.on_event(Instant::ZERO, read(Version::initial(7)));
    swap.on_event(Instant::ZERO, head::SwapEvent::Valid);
    swap.on_event(Instant::ZERO, head::SwapEvent::Lost);
    let copy = Version::new(Era(1), 3);
    let actions = swap.on_event(Instant::ZERO, read(copy));
    assert!(
        matches!(actions[..], [head::SwapAction::Validate(_)]),
        "{actions:?}"
    );
}
