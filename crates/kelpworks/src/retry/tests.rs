//! Tests of the retry budget, cooldowns and step deadlines.

use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use slotmap::SlotMap;

use crate::fleet::Counters;
use crate::fleet::UpstreamKey;
use crate::retry::AbandonReason;
use crate::retry::Attempt;
use crate::retry::BusyConfig;
use crate::retry::Cooldowns;
use crate::retry::DeadlineConfig;
use crate::retry::Decision;
use crate::retry::RetryBudget;
use crate::retry::RetryConfig;
use crate::retry::StepDeadline;
use crate::verdict::Verdict;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn attempt(verdict: Verdict, idempotent: bool, attempts: u32, time_left: Duration) -> Attempt {
    Attempt {
        verdict,
        idempotent,
        attempts,
        time_left,
    }
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

use Verdict::MayHaveRun;
use Verdict::NotRun;

#[rstest]
#[case::idempotent(attempt(MayHaveRun, true, 1, ms(1000)), None)]
#[case::not_run(attempt(NotRun, false, 1, ms(1000)), None)]
#[case::at_most_once(
    attempt(MayHaveRun, false, 1, ms(1000)),
    Some(AbandonReason::MayHaveRun)
)]
#[case::attempts(attempt(NotRun, true, 10, ms(1000)), Some(AbandonReason::Attempts))]
#[case::deadline(attempt(NotRun, true, 1, ms(0)), Some(AbandonReason::Deadline))]
fn failed_attempt_is_retried_or_abandoned(
    #[case] attempt: Attempt,
    #[case] expected: Option<AbandonReason>,
) {
    let mut budget = RetryBudget::new(RetryConfig::default());
    let got = match budget.decide(ms(0), &attempt, &mut rng()) {
        Decision::RetryAfter(_) => None,
        Decision::Abandon(reason) => Some(reason),
    };
    assert_eq!(got, expected);
}

/// Reports 1000 failures within a second, the first `successes` of them each preceded by a success,
/// and compares the number of retries allowed.
#[rstest]
#[case::burst_and_floor(MayHaveRun, 0, 51)]
#[case::earned(MayHaveRun, 500, 151)]
#[case::not_run(NotRun, 0, 207)]
#[case::not_run_earned(NotRun, 500, 607)]
fn budget_bounds_retries(#[case] verdict: Verdict, #[case] successes: u32, #[case] expected: u32) {
    let mut budget = RetryBudget::new(RetryConfig::default());
    let failed = attempt(verdict, true, 1, ms(1000));
    let mut retries = 0;
    for step in 0..1000 {
        if step < successes {
            budget.record_success();
        }
        let decision = budget.decide(ms(step.into()), &failed, &mut rng());
        retries += u32::from(matches!(decision, Decision::RetryAfter(_)));
    }
    assert!(retries.abs_diff(expected) <= 1, "{retries}");
}

/// Reports refusals at the given times and compares the cooldown left after the last one. All
/// times are in milliseconds.
#[rstest]
#[case::first(&[0], 0, 50..75)]
#[case::grows(&[0, 100, 300], 0, 200..300)]
#[case::capped(&[0, 1, 2, 3, 4, 5, 6, 7, 8], 0, 1990..2001)]
#[case::reset_after_quiet_time(&[0, 1, 2, 3, 20_000], 0, 50..75)]
#[case::upstream_retry_after(&[0], 1000, 1000..1500)]
#[case::upstream_retry_after_is_capped(&[0], 60_000, 2000..2001)]
fn cooldown_grows_with_refusals_up_to_the_cap(
    #[case] refusals: &[u64],
    #[case] retry_after: u64,
    #[case] expected: std::ops::Range<u64>,
) {
    let mut keys = SlotMap::<UpstreamKey, ()>::with_key();
    let key = keys.insert(());
    let counters = Counters::default();
    let mut cooldowns = Cooldowns::new(BusyConfig::default());
    let mut rng = rng();
    let mut left = Duration::ZERO;
    for &now in refusals {
        left = cooldowns.record_refusal(key, &counters, ms(retry_after), now, &mut rng);
    }
    let left = left.as_millis() as u64;
    assert!(expected.contains(&left), "{left}");
    let until = counters.busy_until_ms.load(Ordering::Relaxed);
    assert_eq!(until, refusals[refusals.len() - 1] + left);
    cooldowns.clear_cooldown(key, &counters);
    assert_eq!(counters.busy_until_ms.load(Ordering::Relaxed), 0);
    let again = cooldowns.record_refusal(key, &counters, ms(0), 30_000, &mut rng);
    assert!((50..75).contains(&again.as_millis()));
}

/// Records steps, given as milliseconds and positions, and compares the deadlines of a decode step
/// and of a prefill of 100 positions, in milliseconds.
#[rstest]
#[case::unknown(&[], 5000, 5000)]
#[case::floor(&[(1, 1); 20], 50, 5000)]
#[case::steady(&[(100, 1); 100], 200, 5000)]
#[case::varying(&[(100, 1), (300, 1), (100, 1), (300, 1), (100, 1), (300, 1)], 782, 5000)]
#[case::ceiling(&[(4000, 1)], 5000, 5000)]
#[case::prefill(&[(1000, 100); 50], 5000, 7000)]
fn step_deadline_follows_observed_times(
    #[case] steps: &[(u64, u32)],
    #[case] decode: u64,
    #[case] prefill: u64,
) {
    let mut step = StepDeadline::default();
    for &(took, positions) in steps {
        step.observe(ms(took), positions);
    }
    let cfg = DeadlineConfig::default();
    let got = |positions| step.deadline(&cfg, positions).as_millis() as u64;
    assert_eq!((got(1), got(100)), (decode, prefill));
}

proptest! {
    /// A retry never starts at or after the caller's deadline.
    #[test]
    fn retry_delay_ends_before_the_deadline(attempts in 1..10u32, left in 0..2000u64, seed: u64) {
        let mut budget = RetryBudget::new(RetryConfig::default());
        let attempt = attempt(NotRun, true, attempts, ms(left));
        let decision = budget.decide(ms(0), &attempt, &mut StdRng::seed_from_u64(seed));
        if let Decision::RetryAfter(delay) = decision {
            prop_assert!(delay < ms(left));
        }
    }
}
