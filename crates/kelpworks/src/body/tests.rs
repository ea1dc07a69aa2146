use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Frame;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Error;
use super::PROGRESS_BYTES;
use super::Pace;
use super::read_whole;
use crate::memory_budget;
use crate::memory_budget::MemoryBudget;

const MAX_BYTES: usize = 1 << 20;
const PERIOD: Duration = Duration::from_secs(10);

/// Returns a body of `count` chunks of `size` bytes, each after a pause.
fn chunks(
    count: usize,
    size: usize,
    pause: Duration,
) -> impl Body<Data = Bytes, Error = std::io::Error> + Unpin {
    let chunks = stream::iter(0..count).then(move |_| async move {
        sleep(pause).await;
        Ok(Frame::data(Bytes::from(vec![b'x'; size])))
    });
    StreamBody::new(Box::pin(chunks))
}

fn pace(time: Duration) -> Option<Pace> {
    Some(Pace {
        deadline: Instant::now() + time,
        period: PERIOD,
    })
}

fn budget() -> Arc<MemoryBudget> {
    Arc::new(MemoryBudget::new(4 * MAX_BYTES))
}

/// A body in chunks of a byte takes no more than one in a single chunk.
#[rstest]
#[case(1)]
#[case(1_000)]
#[case(50_000)]
#[tokio::test(start_paused = true)]
async fn memory_does_not_depend_on_the_size_of_chunks(#[case] size: usize) {
    let budget = budget();
    let body = chunks(50_000 / size, size, Duration::ZERO);
    let body = read_whole(body, MAX_BYTES, None, budget.reservation()).await;
    let body = body.expect("a body");
    assert_eq!(body.len(), 50_000);
    assert!(budget.used() < 2 * body.len(), "{}", budget.used());
    let copy = body.slice(10..20);
    drop(body);
    assert!(budget.used() > 0, "a copy is left");
    drop(copy);
    assert_eq!(budget.used(), 0);
}

#[rstest]
#[case::at_the_limit(MAX_BYTES, None)]
#[case::beyond_it(MAX_BYTES + 1, Some(Error::TooLarge))]
#[tokio::test(start_paused = true)]
async fn body_beyond_the_limit_is_too_large(#[case] bytes: usize, #[case] error: Option<Error>) {
    let budget = budget();
    let whole = Full::new(Bytes::from(vec![b'x'; bytes]));
    let read = read_whole(whole, MAX_BYTES, None, budget.reservation()).await;
    assert_eq!(read.err(), error);
    let chunked = chunks(1, bytes, Duration::ZERO);
    let read = read_whole(chunked, MAX_BYTES, None, budget.reservation()).await;
    assert_eq!(read.err(), error);
    assert_eq!(budget.used(), 0);
}

/// A large body may take longer than the period, as long as it grows.
#[rstest]
#[case::steady(PROGRESS_BYTES, PERIOD * 20, None)]
#[case::too_little_in_a_period(PROGRESS_BYTES / 4, PERIOD * 20, Some(Error::TooSlow))]
#[case::beyond_the_deadline(PROGRESS_BYTES, PERIOD * 2, Some(Error::TooSlow))]
#[tokio::test(start_paused = true)]
async fn body_has_to_grow_in_each_period_and_end_by_the_deadline(
    #[case] size: usize,
    #[case] time: Duration,
    #[case] error: Option<Error>,
) {
    let body = chunks(10, size, PERIOD.mul_f64(0.9));
    let read = read_whole(body, MAX_BYTES, pace(time), budget().reservation()).await;
    assert_eq!(read.err(), error);
}

#[tokio::test(start_paused = true)]
async fn evicted_body_ends_at_once() {
    let budget = Arc::new(MemoryBudget::new(MAX_BYTES));
    let stopped = chunks(2, MAX_BYTES / 2, PERIOD);
    let reading = read_whole(stopped, MAX_BYTES, None, budget.reservation());
    let reading = tokio::spawn(reading);
    sleep(PERIOD + PERIOD / 2).await;
    let mut newer = budget.reservation();
    assert!(newer.grow(MAX_BYTES / 2).now_or_never().is_none());
    let read = reading.await.expect("no panic");
    let evicted = Error::Memory(memory_budget::Error::Evicted);
    assert_eq!(read.err(), Some(evicted));
    newer.grow(MAX_BYTES / 2).await.expect("memory is free");
}
