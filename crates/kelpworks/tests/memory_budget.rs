//! Memory for bodies: what is reserved, and who has to release it.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use kelpworks::memory_budget::Error;
use kelpworks::memory_budget::MemoryBudget;
use kelpworks::memory_budget::Reservation;
use kelpworks::memory_budget::SMALL_BYTES;
use proptest::prelude::*;
use tokio::time::advance;

const LIMIT: usize = 1 << 20;
/// What large reservations may use.
const LARGE_PART: usize = LIMIT / 4 * 3;
const SECOND: Duration = Duration::from_secs(1);

fn budget() -> Arc<MemoryBudget> {
    Arc::new(MemoryBudget::new(LIMIT))
}

async fn reserve(budget: &Arc<MemoryBudget>, bytes: usize) -> Reservation {
    let mut reservation = budget.reservation();
    reservation.grow(bytes).await.expect("memory is free");
    reservation
}

#[tokio::test(start_paused = true)]
async fn large_bodies_leave_a_part_to_small_ones() {
    let budget = budget();
    let large = reserve(&budget, LARGE_PART).await;
    large.complete();
    let mut another = budget.reservation();
    let grown = another.grow(SMALL_BYTES + 1).await;
    assert_eq!(grown, Err(Error::Exhausted));
    reserve(&budget, SMALL_BYTES).await;
}

#[tokio::test(start_paused = true)]
async fn body_that_stopped_is_evicted_before_one_that_progresses() {
    let budget = budget();
    let stopped = reserve(&budget, LARGE_PART / 2).await;
    let progressing = reserve(&budget, LARGE_PART / 2).await;
    advance(SECOND).await;
    progressing.record_progress();
    let mut newer = budget.reservation();
    assert!(newer.grow(LARGE_PART / 4).now_or_never().is_none());
    assert!(stopped.evicted().is_cancelled());
    assert!(!progressing.evicted().is_cancelled());
    drop(stopped);
    newer.grow(LARGE_PART / 4).await.expect("memory is free");
}

#[tokio::test(start_paused = true)]
async fn small_body_outlasts_larger_ones_that_stopped_later() {
    let budget = budget();
    let small = reserve(&budget, 1_000).await;
    advance(SECOND).await;
    let large = reserve(&budget, LARGE_PART - 1_000).await;
    advance(SECOND).await;
    let mut newer = budget.reservation();
    assert!(newer.grow(LARGE_PART / 2).now_or_never().is_none());
    assert!(large.evicted().is_cancelled());
    assert!(!small.evicted().is_cancelled());
}

#[tokio::test(start_paused = true)]
async fn complete_bodies_stay() {
    let budget = budget();
    let complete = reserve(&budget, LARGE_PART).await;
    complete.complete();
    advance(SECOND).await;
    let mut newer = budget.reservation();
    assert_eq!(newer.grow(LARGE_PART).await, Err(Error::Exhausted));
    assert!(!complete.evicted().is_cancelled());
}

#[tokio::test(start_paused = true)]
async fn body_that_stopped_itself_evicts_none() {
    let budget = budget();
    let mut stopped = reserve(&budget, LARGE_PART / 2).await;
    advance(SECOND).await;
    let newer = reserve(&budget, LARGE_PART / 2).await;
    assert_eq!(stopped.grow(LARGE_PART / 2).await, Err(Error::Exhausted));
    assert!(!newer.evicted().is_cancelled());
}

#[tokio::test(start_paused = true)]
async fn evicted_body_does_not_grow() {
    let budget = budget();
    let mut stopped = reserve(&budget, LARGE_PART).await;
    advance(SECOND).await;
    let mut newer = budget.reservation();
    assert!(newer.grow(LARGE_PART).now_or_never().is_none());
    assert_eq!(stopped.grow(1).await, Err(Error::Evicted));
}

#[tokio::test(start_paused = true)]
async fn body_beyond_the_budget_evicts_none() {
    let budget = budget();
    let held = reserve(&budget, LARGE_PART).await;
    advance(SECOND).await;
    let mut newer = budget.reservation();
    assert_eq!(newer.grow(LARGE_PART + 1).await, Err(Error::Exhausted));
    assert!(!held.evicted().is_cancelled());
}

/// A step of a series of changes.
#[derive(Clone, Debug)]
enum Step {
    Open,
    Grow(prop::sample::Index, usize),
    Shrink(prop::sample::Index, usize),
    Complete(prop::sample::Index),
    Drop(prop::sample::Index),
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = 0..LIMIT / 2;
    prop_oneof![
        Just(Step::Open),
        (any::<prop::sample::Index>(), bytes.clone()).prop_map(|(i, n)| Step::Grow(i, n)),
        (any::<prop::sample::Index>(), bytes).prop_map(|(i, n)| Step::Shrink(i, n)),
        any::<prop::sample::Index>().prop_map(Step::Complete),
        any::<prop::sample::Index>().prop_map(Step::Drop),
    ]
}

proptest! {
    #[test]
    fn reserved_memory_stays_within_the_limit(steps in prop::collection::vec(step(), 1..80)) {
        let budget = budget();
        let mut open: Vec<Reservation> = Vec::new();
        for step in steps {
            match step {
                Step::Open => open.push(budget.reservation()),
                _ if open.is_empty() => {}
                Step::Grow(i, n) => {
                    let _ = i.get_mut(&mut open).grow(n).now_or_never();
                }
                Step::Shrink(i, n) => i.get_mut(&mut open).shrink_to(n),
                Step::Complete(i) => i.get(&open).complete(),
                Step::Drop(i) => drop(open.swap_remove(i.index(open.len()))),
            }
            let sum: usize = open.iter().map(Reservation::bytes).sum();
            prop_assert_eq!(sum, budget.used());
            prop_assert!(sum <= LIMIT);
        }
        drop(open);
        prop_assert_eq!(budget.used(), 0);
    }
}
