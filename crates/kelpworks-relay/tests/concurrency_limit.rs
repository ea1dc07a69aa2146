//! The limit on requests under way: what counts as late, how the limit follows the load, and how it ends.

use std::time::Duration;

use kelpworks_relay::concurrency_limit::Change;
use kelpworks_relay::concurrency_limit::ConcurrencyLimit;
use kelpworks_relay::concurrency_limit::LATE;
use kelpworks_relay::concurrency_limit::MIN_LIMIT;
use kelpworks_relay::concurrency_limit::Sample;
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

/// Time between the end of a sample and the moment for which the next is due.
const TICK: Duration = Duration::from_millis(25);

/// A limit with its clock.
struct Clock {
    limit: ConcurrencyLimit,
    now: Instant,
}

impl Clock {
    fn new() -> Clock {
        Clock {
            limit: ConcurrencyLimit::default(),
            now: Instant::now(),
        }
    }

    fn record(&mut self, lag: Duration, load: usize) -> Option<Change> {
        self.now += TICK + lag;
        let now = self.now;
        self.limit.record(Sample { now, lag, load })
    }

    /// Records samples of one kind; returns the last change.
    fn repeat(&mut self, times: usize, lag: Duration, load: usize) -> Option<Change> {
        let changes = (0..times).filter_map(|_| self.record(lag, load));
        changes.last()
    }
}

/// Guards against a daemon that closes connections after one pause, which its load has not caused.
#[rstest]
#[case::paused_process(&[2_000])]
#[case::long_computation(&[150])]
#[case::two_in_a_row(&[150, 150])]
#[case::late_now_and_then(&[80, 1, 80, 80, 2, 80, 80, 0])]
fn lags_with_prompt_samples_between_them_set_no_limit(#[case] lags_ms: &[u64]) {
    let mut clock = Clock::new();
    for _ in 0..20 {
        for &lag in lags_ms {
            assert_eq!(clock.record(Duration::from_millis(lag), 500), None);
        }
        assert_eq!(clock.repeat(1, Duration::ZERO, 500), None);
    }
    assert_eq!(clock.limit.limit(), None);
}

/// Guards against a lasting overload that is not seen because a quota never stops the process for long.
#[rstest]
#[case::quota_of_an_eighth(75)]
#[case::quota_of_a_quarter(60)]
#[case::steady_backlog(400)]
fn lasting_lag_limits_the_load(#[case] lag_ms: u64) {
    let mut clock = Clock::new();
    let change = clock.repeat(8, Duration::from_millis(lag_ms), 100);
    assert_eq!(change, Some(Change::Limited(70)));
    assert!(!clock.limit.admit(70, clock.now));
    assert!(clock.limit.admit(69, clock.now));
}

/// Guards against a limit that falls further before it has taken effect, so that a daemon ends up with too little.
#[test]
fn limit_falls_only_once_the_load_has_fallen_to_it() {
    let mut clock = Clock::new();
    clock.repeat(8, LATE, 100);
    clock.repeat(40, LATE, 90);
    assert_eq!(clock.limit.limit(), Some(70));
    clock.repeat(4, LATE, 70);
    assert_eq!(clock.limit.limit(), Some(49));
}

/// Guards against a daemon that stays closed to callers after the overload.
#[test]
fn limit_grows_while_it_is_used_and_ends_when_it_is_not() {
    let mut clock = Clock::new();
    clock.repeat(8, LATE, 40);
    assert_eq!(clock.limit.limit(), Some(28));
    clock.repeat(9, Duration::ZERO, 28);
    assert_eq!(clock.limit.limit(), Some(31));
    let change = clock.repeat(120, Duration::ZERO, 10);
    assert_eq!(change, Some(Change::Unlimited));
    assert!(clock.limit.admit(1_000, clock.now));
}

/// Guards against a daemon that takes no connection at all while requests under way don't end.
#[test]
fn one_request_a_second_is_admitted_beyond_the_limit() {
    let mut clock = Clock::new();
    assert!(clock.limit.admit(0, clock.now));
    clock.repeat(8, LATE, 100);
    assert!(clock.limit.admit(99, clock.now + Duration::from_secs(1)));
    assert!(
        !clock
            .limit
            .admit(100, clock.now + Duration::from_millis(1_500))
    );
}

proptest! {
    /// Whatever is seen, a daemon takes on what any daemon can serve, and never more than its limit.
    #[test]
    fn limit_is_never_below_the_least(samples in proptest::collection::vec((0u64..3_000, 0usize..5_000), 1..200)) {
        let mut clock = Clock::new();
        for (lag, load) in samples {
            clock.record(Duration::from_millis(lag), load);
            prop_assert!(clock.limit.limit().is_none_or(|l| l >= MIN_LIMIT));
            prop_assert!(clock.limit.admit(MIN_LIMIT - 1, clock.now));
        }
    }
}
