//! The ledger of crashes: which requests are refused, and the laws of merging.

use std::ops::RangeInclusive;
use std::time::Instant as WallClock;

use kelpworks_coord::crash_ledger::BrokenRun;
use kelpworks_coord::crash_ledger::Config;
use kelpworks_coord::crash_ledger::Crash;
use kelpworks_coord::crash_ledger::CrashLedger;
use kelpworks_coord::crash_ledger::Finding;
use kelpworks_coord::crash_ledger::Refusal;
use kelpworks_coord::crash_ledger::Verdict;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;
use proptest::prelude::*;
use rstest::rstest;

const POISON: Fingerprint = Fingerprint(1);
const NOW: Instant = Instant::from_millis(10_000_000);

fn ledger() -> CrashLedger {
    CrashLedger::new(Config::default())
}

/// Returns a ledger in which each of these requests broke off at each of its upstreams.
fn ledger_of(breaks: &[(u64, RangeInclusive<u64>)]) -> CrashLedger {
    let mut ledger = ledger();
    for (fingerprint, upstreams) in breaks {
        for upstream in upstreams.clone() {
            let upstream = UpstreamId(upstream);
            ledger.record(Fingerprint(*fingerprint), upstream, Finding::Ended, NOW);
        }
    }
    ledger
}

fn is_refused(ledger: &CrashLedger, fingerprint: Fingerprint, now: Instant) -> bool {
    let refusal = ledger.refusal(fingerprint, now);
    matches!(refusal, Some(Refusal::Settled | Refusal::Unsettled))
}

/// Guards against innocent requests that are refused because they ran beside a poisonous one, and against
/// a poisonous one that hides behind them.
#[rstest]
#[case::two_crashes(&[(1, 1..=2)], &[])]
#[case::three_crashes(&[(1, 1..=3)], &[1])]
#[case::innocents_beside_some(&[(1, 1..=3), (2, 1..=1), (3, 2..=3)], &[1])]
#[case::innocent_beside_all(&[(1, 1..=3), (2, 1..=3)], &[])]
#[case::poison_alone_once(&[(1, 1..=4), (2, 1..=3)], &[1])]
#[case::always_beside_each_other(&[(1, 1..=5), (2, 1..=5)], &[1, 2])]
#[case::two_poisonous(&[(1, 1..=3), (2, 4..=6)], &[1, 2])]
fn request_is_refused_unless_another_accounts_for_its_crashes(
    #[case] breaks: &[(u64, RangeInclusive<u64>)],
    #[case] refused: &[u64],
) {
    let ledger = ledger_of(breaks);
    for (fingerprint, _) in breaks {
        let is_refused = is_refused(&ledger, Fingerprint(*fingerprint), NOW);
        assert_eq!(is_refused, refused.contains(fingerprint), "{fingerprint}");
    }
}

/// Guards against innocents that are refused in the place of a poisonous request once others of them are
/// cleared.
#[test]
fn cleared_innocent_accounts_for_nothing() {
    let mut ledger = ledger_of(&[(1, 1..=3), (2, 1..=3)]);
    assert!(ledger.clear(Fingerprint(2), NOW));
    assert!(ledger.refusal(POISON, NOW).is_some());
    assert_eq!(ledger.refusal(Fingerprint(2), NOW), None);
}

/// Guards against a request that goes on to further upstreams while it is not decided yet whether the
/// last ones ended, and against requests that are refused because links were lost.
#[rstest]
#[case::all_doubtful(0, 3, false)]
#[case::one_counts(1, 2, true)]
#[case::too_few(1, 1, false)]
#[case::fourth_is_doubtful(3, 1, true)]
fn request_is_held_while_breaks_are_doubtful(
    #[case] counted: u64,
    #[case] doubtful: u64,
    #[case] expected: bool,
) {
    // The second request accounts for the crashes that count.
    let mut ledger = ledger_of(&[(1, 1..=counted), (2, 1..=counted)]);
    for upstream in 0..doubtful {
        ledger.record(POISON, UpstreamId(10 + upstream), Finding::Doubtful, NOW);
    }
    assert_eq!(is_refused(&ledger, POISON, NOW), expected);
    assert!(!is_refused(
        &ledger,
        POISON,
        NOW + Config::default().min_restart
    ));
}

#[test]
fn blamed_requests_are_listed_with_their_verdicts() {
    let ledger = ledger_of(&[
        (1, 1..=5),
        (2, 1..=3),
        (3, 11..=13),
        (4, 11..=13),
        (5, 1..=2),
    ]);
    let blamed = ledger.blamed(10, NOW + Span::from_secs(1));
    let rows = blamed
        .iter()
        .map(|b| (b.fingerprint.0, b.verdict, b.crashes));
    let expected = [
        (1, Verdict::Refused, 5),
        (3, Verdict::Suspect, 3),
        (4, Verdict::Suspect, 3),
        (2, Verdict::Excused, 3),
    ];
    assert_eq!(rows.collect::<Vec<(u64, Verdict, usize)>>(), expected);
    assert_eq!(blamed[0].last, Span::from_secs(1));
    assert_eq!(blamed[0].left, Some(Span::from_secs(479)));
    assert_eq!(blamed[1].left, None);
    assert_eq!(ledger.blamed(2, NOW).len(), 2);
}

/// Guards against a loss of all daemons after which what was held back runs again.
#[test]
fn kept_facts_hold_back_the_same_requests_at_a_daemon_that_knows_nothing() {
    let ledger = ledger_of(&[
        (1, 1..=5),
        (2, 1..=3),
        (3, 11..=13),
        (4, 11..=13),
        (5, 1..=2),
    ]);
    let kept = ledger.facts_to_keep(100, NOW);
    assert_eq!(kept[0].fingerprint, POISON, "refused requests come first");
    let later = NOW + Span::from_secs(10);
    let mut started = self::ledger();
    started.merge_all(kept, later);
    let verdicts = |ledger: &CrashLedger, now: Instant| -> Vec<(Fingerprint, Verdict)> {
        let blamed = ledger.blamed(10, now).into_iter();
        blamed.map(|b| (b.fingerprint, b.verdict)).collect()
    };
    assert_eq!(verdicts(&started, later), verdicts(&ledger, NOW));
    assert_eq!(ledger.facts_to_keep(7, NOW).len(), 7);
}

/// Guards against harmless requests that wait for turns although the request is known that crashed their upstreams.
#[test]
fn suspect_whose_crashes_a_refused_request_explains_runs_at_any_time() {
    let ledger = ledger_of(&[(1, 1..=5), (2, 1..=3), (3, 1..=4)]);
    assert!(ledger.is_refused(POISON, NOW));
    for innocent in [2, 3].map(Fingerprint) {
        assert!(ledger.needs_test_run(innocent));
        for ms in 0..1_000 {
            let now = NOW + Span::from_millis(ms);
            assert_eq!(ledger.refusal(innocent, now), None, "after {ms} ms");
        }
    }
}

/// Guards against a poisonous request that is tested last of many, long after its last crash.
#[rstest]
#[case::lower_fingerprint(1, 2)]
#[case::higher_fingerprint(2, 1)]
fn suspect_whose_runs_were_shortest_is_tested_first(#[case] short: u64, #[case] long: u64) {
    let mut ledger = ledger();
    for upstream in (1..=3).map(UpstreamId) {
        for (fingerprint, lasted_ms) in [(short, 100), (long, 3_000)] {
            let run = BrokenRun {
                fingerprint: Fingerprint(fingerprint),
                parts: &[],
                upstream,
                finding: Finding::Ended,
                begun: Some(NOW - Span::from_millis(lasted_ms)),
                is_answered: true,
            };
            ledger.record_run(run, NOW);
        }
    }
    assert_eq!(ledger.refusal(Fingerprint(short), NOW), None);
    let turn = Refusal::WaitsForTurn(Config::default().turn);
    assert_eq!(ledger.refusal(Fingerprint(long), NOW), Some(turn));
}

/// Guards against a harmless request that accounts for the crashes of a poisonous one because its connections
/// were reset before.
#[rstest]
#[case::worked_later(true, 0)]
#[case::nothing_known(false, 1)]
fn break_before_a_sign_of_life_does_not_count_when_the_upstream_ends_later(
    #[case] has_worked: bool,
    #[case] expected: usize,
) {
    let mut ledger = ledger();
    let upstream = UpstreamId(1);
    let harmless = Fingerprint(2);
    ledger.record(harmless, upstream, Finding::Broken, NOW);
    if has_worked {
        let later = NOW + Span::from_millis(200);
        ledger.record_alive(upstream, later, later);
    }
    let end = NOW + Span::from_millis(400);
    ledger.record(POISON, upstream, Finding::Broken, end);
    let known = end + Span::from_secs(3);
    ledger.record_ended(upstream, known);
    assert_eq!(ledger.count(POISON), 1);
    assert_eq!(ledger.count(harmless), expected);
    let mut other = self::ledger();
    other.merge_all(ledger.facts(known), known + Span::from_millis(300));
    assert_eq!(other.count(harmless), expected, "at another daemon");
}

/// Guards against a harmless request that accounts for the crashes of a poisonous one because its connections to all
/// upstreams were reset at one moment, just before.
#[rstest]
#[case::at_one_moment([0, 3, 6], true)]
#[case::with_each_end([0, 300, 600], false)]
fn request_whose_connections_were_reset_together_accounts_for_no_crash(
    #[case] broken_ms: [u64; 3],
    #[case] expected: bool,
) {
    let mut ledger = ledger();
    for (number, broken) in broken_ms.into_iter().enumerate() {
        let upstream = UpstreamId(number as u64);
        let now = NOW + Span::from_millis(broken);
        ledger.record(Fingerprint(2), upstream, Finding::Broken, now);
        let now = NOW + Span::from_millis(300 * number as u64 + 10);
        ledger.record(POISON, upstream, Finding::Broken, now);
    }
    let now = NOW + Span::from_millis(610);
    assert_eq!(ledger.is_refused(POISON, now), expected);
}

/// Guards against a poisonous request that is sent on because a harmless one, whose connections to all upstreams
/// were reset before, accounts for its crashes: both broke off at all upstreams at about one moment.
#[rstest]
#[case::began_after_the_reset(100, true)]
#[case::ran_at_the_reset(5, false)]
fn request_that_broke_off_before_a_run_began_accounts_for_none_of_its_crashes(
    #[case] begun_ms: u64,
    #[case] expected: bool,
) {
    let mut ledger = ledger();
    let run = |fingerprint, upstream, begun_ms| BrokenRun {
        fingerprint,
        parts: &[],
        upstream,
        finding: Finding::Broken,
        begun: Some(NOW + Span::from_millis(begun_ms)),
        is_answered: false,
    };
    let ends = [20, 41, 44].map(|ms| NOW + Span::from_millis(begun_ms + ms));
    for (upstream, end) in (1..=3).map(UpstreamId).zip(ends) {
        let reset = NOW + Span::from_millis(10);
        ledger.record_run(run(Fingerprint(2), upstream, 9), reset);
        ledger.record_run(run(POISON, upstream, begun_ms), end);
    }
    assert_eq!(ledger.is_refused(POISON, ends[2]), expected);
    assert!(!ledger.is_refused(Fingerprint(2), ends[2]));
}

/// Guards against crashes that cease to count although nothing speaks against them: each message adds the time that
/// it takes to the last sign of life of an upstream, which passes the break in the end.
#[test]
fn crashes_count_however_often_daemons_report_them_to_each_other() {
    let mut ledgers = [ledger(), ledger()];
    for upstream in (1..=3).map(UpstreamId) {
        for (fingerprint, lasted, broken) in [(POISON, 100, 0), (Fingerprint(2), 100, 20)] {
            let now = NOW + Span::from_millis(broken);
            let run = BrokenRun {
                fingerprint,
                parts: &[],
                upstream,
                finding: Finding::Broken,
                begun: Some(NOW - Span::from_millis(lasted)),
                is_answered: true,
            };
            ledgers[0].record_run(run, now);
        }
    }
    for round in 1..100 {
        let sent = NOW + Span::from_millis(round * 250);
        let received = sent + Span::from_millis(10);
        for from in [0, 1] {
            let facts = ledgers[from].facts(sent);
            ledgers[1 - from].merge_all(facts, received);
        }
        for ledger in &ledgers {
            assert_eq!(ledger.count(POISON), 3, "round {round}");
        }
    }
}

/// Guards against a poisonous request that returns once its refusal has ended and is forgotten by then.
#[rstest]
#[case::three(3, 120)]
#[case::four(4, 240)]
#[case::five(5, 480)]
#[case::many(30, 3_600)]
fn each_further_crash_doubles_the_refusal(#[case] crashes: u64, #[case] seconds: u64) {
    let ledger = ledger_of(&[(1, 1..=crashes)]);
    let last = NOW + Span::from_millis(seconds * 1_000 - 1);
    assert!(ledger.refusal(POISON, last).is_some());
    assert_eq!(ledger.refusal(POISON, NOW + Span::from_secs(seconds)), None);
}

/// Guards against copies of a poisonous request that run at all daemons once its refusal has ended.
#[test]
fn request_whose_refusal_has_ended_runs_in_test_runs() {
    let mut ledger = ledger_of(&[(1, 1..=3)]);
    let later = NOW + Config::default().refusal;
    assert_eq!(ledger.refusal(POISON, later), None);
    assert!(ledger.needs_test_run(POISON));
    ledger.expire(later);
    ledger.record(Fingerprint(2), UpstreamId(9), Finding::Broken, later);
    assert!(ledger.needs_test_run(POISON));
    ledger.clear(POISON, later);
    assert!(!ledger.needs_test_run(POISON));
}

#[test]
fn crash_after_a_refusal_has_ended_refuses_at_once() {
    let mut ledger = ledger_of(&[(1, 1..=3)]);
    let later = NOW + Span::from_secs(180);
    ledger.expire(later);
    assert_eq!(ledger.refusal(POISON, later), None);
    ledger.record(POISON, UpstreamId(4), Finding::Broken, later);
    assert!(ledger.refusal(POISON, later).is_some());
}

/// Guards against suspects that miss their turns because others are cleared before them.
#[test]
fn clearance_leaves_the_turns_of_other_suspects() {
    let all: Vec<(u64, RangeInclusive<u64>)> = (1..=20).map(|f| (f, 1..=3)).collect();
    let mut ledger = ledger_of(&all);
    let round = Config::default().turn.times(20);
    let mut served = 0;
    for ms in 0..round.as_millis() {
        let now = NOW + Span::from_millis(ms);
        for suspect in (1..=20).map(Fingerprint) {
            let is_cleared = ledger.count(suspect) == 0;
            if !is_cleared && ledger.refusal(suspect, now).is_none() {
                assert!(ledger.clear(suspect, now));
                served += 1;
            }
        }
    }
    // The last one shares its crashes with none any more.
    assert_eq!(served, 19);
}

#[test]
fn facts_are_forgotten_after_their_retention() {
    let mut ledger = ledger_of(&[(1, 1..=3)]);
    ledger.expire(NOW + Config::default().retention);
    assert!(ledger.is_empty());
}

/// Guards against memory that grows with the number of reports, and against a flood that displaces
/// what refuses a request.
#[test]
fn flood_of_facts_leaves_refused_requests() {
    let mut ledger = ledger_of(&[(1, 1..=3)]);
    let max_facts = Config::default().max_facts;
    let flood = (0..2 * max_facts as u64).map(|n| Crash {
        fingerprint: Fingerprint(1_000 + n),
        upstream: UpstreamId(1_000 + n),
        finding: Finding::Broken,
        age: Span::ZERO,
        begun: None,
        alive: None,
    });
    for chunk in flood.collect::<Vec<_>>().chunks(64) {
        ledger.merge_all(chunk.iter().copied(), NOW + Span::from_secs(1));
    }
    assert_eq!(ledger.len(), max_facts);
    assert!(ledger.refusal(POISON, NOW + Span::from_secs(1)).is_some());
}

/// Guards against facts that no digest carries because others come first.
#[test]
fn reports_carry_all_crashes_of_refused_requests_in_turn() {
    let mut ledger = ledger();
    for n in 0..90 {
        ledger.record(Fingerprint(n / 3), UpstreamId(n), Finding::Ended, NOW);
    }
    let later = NOW + Span::from_secs(60);
    let mut peer = CrashLedger::new(Config::default());
    for _ in 0..6 {
        let report = ledger.report(16, 1, Span::from_secs(3), later);
        assert!(report.len() <= 16);
        peer.merge_all(report, later);
    }
    assert_eq!(peer.refused_count(later), 30);
}

/// Guards against doubtful facts that are lost with the only daemon that knows them, and against a report of
/// each attempt at a slow upstream.
#[rstest]
#[case::silent(Finding::Silent, 0)]
#[case::doubtful(Finding::Doubtful, 1)]
#[case::cleared(Finding::Cleared, 1)]
fn facts_are_reported_unless_silent(#[case] finding: Finding, #[case] expected: usize) {
    let mut ledger = ledger();
    ledger.record(POISON, UpstreamId(1), finding, NOW);
    assert_eq!(ledger.report(8, 1, Span::from_secs(3), NOW).len(), expected);
    assert_eq!(ledger.take_news(8, NOW).len(), expected);
}

/// Guards against suspects that go on sharing upstreams, so that each crash counts against all of
/// them.
#[rstest]
fn suspects_take_turns(#[values(1, 2, 3)] lanes: usize) {
    let suspects = [3, 5, 9].map(Fingerprint);
    let ledger = ledger_of(&[(3, 1..=3), (5, 1..=3), (9, 1..=3)]);
    for ms in 0..3_000 {
        let now = NOW + Span::from_millis(ms);
        let refusal = |f: Fingerprint, now| ledger.refusal_in_lanes(f, lanes, now);
        let running = suspects.iter().filter(|f| refusal(**f, now).is_none());
        let mut taken: Vec<_> = running.map(|f| ledger.lane(*f, lanes)).collect();
        let count = taken.len();
        taken.dedup();
        assert_eq!(taken.len(), count, "two on one upstream");
        for suspect in suspects {
            if let Some(refused) = refusal(suspect, now) {
                let Refusal::WaitsForTurn(wait) = refused else {
                    panic!("{refused:?}");
                };
                assert_eq!(refusal(suspect, now + wait), None);
            }
        }
    }
    assert_eq!(ledger.refusal(Fingerprint(4), NOW), None, "no suspect");
}

/// Guards against digests of a large fleet that carry each break anywhere in it.
#[test]
fn report_leaves_out_requests_with_few_facts() {
    let mut ledger = ledger_of(&[(1, 1..=2), (2, 1..=1)]);
    let mut facts = ledger.report(8, 2, Span::from_secs(3), NOW);
    facts.sort_unstable_by_key(|crash| crash.upstream);
    assert_eq!(facts, ledger.facts_of(POISON, NOW));
}

#[derive(Clone, Copy, Debug)]
struct DrawnFact(Crash);

impl Arbitrary for DrawnFact {
    type Parameters = ();
    type Strategy = BoxedStrategy<DrawnFact>;

    fn arbitrary_with((): ()) -> BoxedStrategy<DrawnFact> {
        let finding = prop::sample::select(Finding::ALL.to_vec());
        let [begun, alive] = [0, 1].map(|_| prop::option::of(0..4_000_000u64));
        let drawn = (0..4u64, 0..6u64, finding, 0..4_000_000u64, begun, alive);
        drawn
            .prop_map(
                |(fingerprint, upstream, finding, age_ms, begun_ms, alive_ms)| {
                    DrawnFact(Crash {
                        fingerprint: Fingerprint(fingerprint),
                        upstream: UpstreamId(upstream),
                        finding,
                        age: Span::from_millis(age_ms),
                        begun: begun_ms.map(Span::from_millis),
                        alive: alive_ms.map(Span::from_millis),
                    })
                },
            )
            .boxed()
    }
}

fn merged<'a>(facts: impl Iterator<Item = &'a DrawnFact>) -> CrashLedger {
    let mut ledger = ledger();
    for fact in facts {
        ledger.merge(fact.0, NOW);
    }
    ledger
}

/// Refusals and facts, by which ledgers are compared.
fn state(ledger: &CrashLedger) -> (Vec<Crash>, Vec<(Fingerprint, usize)>) {
    (ledger.facts(NOW), ledger.refused(100, NOW))
}

proptest! {
    #[test]
    fn merging_is_commutative_and_idempotent(
        facts: Vec<DrawnFact>,
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let once = merged(facts.iter());
        let again = order.iter().filter(|_| !facts.is_empty()).map(|i| i.get(&facts));
        let shuffled = merged(again.chain(facts.iter().rev()));
        prop_assert_eq!(state(&once), state(&shuffled));
    }

    #[test]
    fn merging_is_associative(a: Vec<DrawnFact>, b: Vec<DrawnFact>, c: Vec<DrawnFact>) {
        let [first, second, third] = [&a, &b, &c].map(|facts| merged(facts.iter()));
        let mut left = first.clone();
        left.merge_all(second.facts(NOW), NOW);
        left.merge_all(third.facts(NOW), NOW);
        let mut right = second;
        right.merge_all(third.facts(NOW), NOW);
        right.merge_all(first.facts(NOW), NOW);
        prop_assert_eq!(state(&left), state(&right));
    }

    /// Findings only rise, and facts only go by expiry.
    #[test]
    fn merging_never_lowers_a_finding(facts: Vec<DrawnFact>) {
        let mut ledger = ledger();
        for fact in &facts {
            let before = ledger.facts(NOW);
            ledger.merge(fact.0, NOW);
            for known in before {
                let finding = ledger.finding(known.fingerprint, known.upstream);
                prop_assert!(finding >= Some(known.finding));
            }
        }
    }

    /// Daemons that lose, delay and repeat digests agree once all facts have gone round, and refuse a
    /// request from its third crash on; a request that was at two crashes at most is never refused.
    #[test]
    fn daemons_agree_and_refuse_from_the_third_crash(
        steps in prop::collection::vec((0..4usize, 0..4usize, 0..8u64, any::<bool>()), 1..60),
    ) {
        let mut daemons: Vec<CrashLedger> = (0..4).map(|_| ledger()).collect();
        let mut delayed: Vec<(usize, Vec<Crash>)> = Vec::new();
        let mut crashed: Vec<u64> = Vec::new();
        for (n, &(from, to, innocent, is_lost)) in steps.iter().enumerate() {
            let now = NOW + Span::from_millis(n as u64);
            let upstream = UpstreamId(n as u64);
            if daemons[from].refusal(POISON, now).is_none() {
                daemons[from].record(POISON, upstream, Finding::Broken, now);
                // Each innocent is beside the poisonous request twice at most.
                let fingerprint = 100 + innocent;
                if crashed.iter().filter(|&&f| f == fingerprint).count() < 2 {
                    crashed.push(fingerprint);
                    let innocent = Fingerprint(fingerprint);
                    daemons[from].record(innocent, upstream, Finding::Broken, now);
                }
            }
            let report = daemons[from].report(32, 1, Span::from_secs(3), now);
            match is_lost {
                true => delayed.push((to, report)),
                false => {
                    daemons[to].merge_all(report, now);
                    if let Some((to, report)) = delayed.pop() {
                        daemons[to].merge_all(report, now);
                    }
                }
            }
            for daemon in &daemons {
                let is_refused = daemon.refusal(POISON, now).is_some();
                prop_assert_eq!(is_refused, daemon.count(POISON) >= 3);
                for innocent in 100..108 {
                    prop_assert_eq!(daemon.refusal(Fingerprint(innocent), now), None);
                }
            }
        }
        let now = NOW + Span::from_millis(100);
        let all: Vec<Vec<Crash>> = daemons.iter().map(|d| d.facts(now)).collect();
        for daemon in &mut daemons {
            for facts in &all {
                daemon.merge_all(facts.iter().copied(), now);
            }
        }
        for daemon in &daemons[1..] {
            prop_assert_eq!(daemon.facts(now), daemons[0].facts(now));
        }
    }
}

/// Time of a lookup at admission with a full ledger; run by hand, in a release build.
#[test]
#[ignore = "a measurement"]
fn lookup_in_a_full_ledger() {
    let mut ledger = ledger();
    for n in 0..4_096 {
        ledger.record(Fingerprint(n / 3), UpstreamId(n), Finding::Ended, NOW);
    }
    let lookups = 10_000_000u64;
    let started = WallClock::now();
    let refused = (0..lookups).filter(|&n| ledger.refusal(Fingerprint(n), NOW).is_some());
    let refused = refused.count();
    let each = started.elapsed().as_nanos() / u128::from(lookups);
    println!("{each} ns a lookup, {refused} refused");
}
