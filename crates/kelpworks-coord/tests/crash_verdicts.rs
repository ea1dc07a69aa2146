//! Verdicts about requests over all small histories of ends: somebody is held back for each request with three crashes, and
//! one with five is refused, whatever parts and other requests are suspected beside it.

use kelpworks_coord::crash_ledger::BrokenRun;
use kelpworks_coord::crash_ledger::Config;
use kelpworks_coord::crash_ledger::CrashLedger;
use kelpworks_coord::crash_ledger::Finding;
use kelpworks_coord::crash_ledger::Lasted;
use kelpworks_coord::id::PartId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;
use rstest::rstest;

const START: Instant = Instant::from_millis(1_000_000);
/// Time between two ends, and for which each run lasted.
const INTERVAL_MS: u64 = 400;
const LASTED: Span = Span::from_millis(120);
const MAX_ENDS: usize = 5;

/// The parts that a request may have.
const PARTS: [&[PartId]; 4] = [
    &[],
    &[PartId(0xa)],
    &[PartId(0xb)],
    &[PartId(0xa), PartId(0xb)],
];

/// What happened: which requests, as bits, were at each end, in order, and the parts of each request.
#[derive(Clone, Debug)]
struct History {
    ends: Vec<usize>,
    parts: Vec<&'static [PartId]>,
}

impl History {
    fn ends_of(&self, request: usize) -> usize {
        self.ends
            .iter()
            .filter(|end| **end >> request & 1 == 1)
            .count()
    }

    fn now(&self) -> Instant {
        START + Span::from_millis(INTERVAL_MS * self.ends.len() as u64)
    }

    /// Returns a ledger that learned the ends in this order.
    fn ledger(&self, order: impl Iterator<Item = usize>) -> CrashLedger {
        let mut ledger = CrashLedger::new(Config::default());
        for number in order {
            let at = START + Span::from_millis(INTERVAL_MS * number as u64);
            let upstream = UpstreamId(number as u64);
            for (request, parts) in self.parts.iter().enumerate() {
                if self.ends[number] >> request & 1 == 0 {
                    continue;
                }
                let run = BrokenRun {
                    fingerprint: Fingerprint(request as u64),
                    parts,
                    upstream,
                    finding: Finding::Broken,
                    begun: Some(at - LASTED),
                    is_answered: true,
                };
                ledger.record_run(run, at);
            }
            ledger.record_ended(upstream, at);
        }
        ledger
    }
}

/// Returns all multisets of up to [`MAX_ENDS`] ends with at least one of `requests` requests each.
fn all_ends(requests: usize) -> Vec<Vec<usize>> {
    let kinds = 1..1 << requests;
    let mut all: Vec<Vec<usize>> = vec![Vec::new()];
    let mut last = all.clone();
    for _ in 0..MAX_ENDS {
        let longer = last.iter().flat_map(|ends| {
            let least = ends.last().copied().unwrap_or(1);
            let kinds = kinds.clone().filter(move |&kind| kind >= least);
            kinds.map(|kind| [ends.as_slice(), &[kind]].concat())
        });
        last = longer.collect();
        all.extend(last.iter().cloned());
    }
    all
}

/// Returns all histories of so many requests, with these parts in all ways.
fn all_histories(requests: usize, kinds: &[&'static [PartId]]) -> Vec<History> {
    let mut parts: Vec<Vec<&'static [PartId]>> = vec![Vec::new()];
    for _ in 0..requests {
        let longer = parts.iter().flat_map(|list| {
            kinds
                .iter()
                .map(|kind| [list.as_slice(), &[*kind]].concat())
        });
        parts = longer.collect();
    }
    let ends = all_ends(requests);
    let histories = ends.iter().flat_map(|ends| {
        let of_ends = parts.iter().map(|parts| History {
            ends: ends.clone(),
            parts: parts.clone(),
        });
        of_ends.collect::<Vec<History>>()
    });
    histories.collect()
}

/// Guards against a request that runs on because each of several attributes leaves the decision to another one.
#[rstest]
#[case::two_requests_with_any_parts(2, &PARTS)]
#[case::three_requests_with_one_part_or_none(3, &PARTS[..2])]
#[case::four_requests(4, &PARTS[..1])]
fn each_request_at_three_ends_is_held_back(
    #[case] requests: usize,
    #[case] parts: &[&'static [PartId]],
) {
    let cfg = Config::default();
    for history in all_histories(requests, parts) {
        let ledger = history.ledger(0..history.ends.len());
        let now = history.now();
        for request in 0..requests {
            let fingerprint = Fingerprint(request as u64);
            let ends = history.ends_of(request);
            let is_refused = ledger.is_refused(fingerprint, now);
            let is_held_back = is_refused || ledger.needs_test_run(fingerprint);
            assert_eq!(
                is_held_back,
                ends >= cfg.min_crashes,
                "{request}: {history:?}"
            );
            if ends >= cfg.max_shared_crashes {
                assert!(is_refused, "{request}: {history:?}");
            }
        }
    }
}

/// Guards against daemons that decide differently because they learned the same ends in another order.
#[test]
fn verdicts_do_not_depend_on_the_order_of_arrival() {
    for history in all_histories(3, &PARTS[..2]) {
        let now = history.now();
        let count = history.ends.len();
        let ledgers = [history.ledger(0..count), history.ledger((0..count).rev())];
        let verdicts = ledgers.map(|ledger| {
            let requests = (0..3).map(Fingerprint);
            let verdicts = requests.map(|f| (ledger.is_refused(f, now), ledger.needs_test_run(f)));
            (
                verdicts.collect::<Vec<(bool, bool)>>(),
                ledger.refused_parts(now),
            )
        });
        assert_eq!(verdicts[0], verdicts[1], "{history:?}");
    }
}

/// Guards against a request or part that stays held back although a later run of it completed.
#[test]
fn what_completed_later_is_not_held_back() {
    for history in all_histories(2, &PARTS) {
        let mut ledger = history.ledger(0..history.ends.len());
        let now = history.now();
        let survivor = Fingerprint(0);
        ledger.clear(survivor, now);
        ledger.record_survival(history.parts[0], now, Lasted::ToItsEnd, now);
        assert!(!ledger.is_refused(survivor, now), "{history:?}");
        assert!(!ledger.needs_test_run(survivor), "{history:?}");
        let refused = ledger.refusal_of_parts(history.parts[0], now);
        assert_eq!(refused, None, "{history:?}");
    }
}
