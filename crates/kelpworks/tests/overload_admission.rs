//! Trial requests far beyond the capacity of one daemon: the queue stays bounded, and a request
//! that does not fit in it is refused without waiting.

use std::time::Duration;

use futures_util::FutureExt;
use rstest::rstest;

use kelpworks::admission::Admission;
use kelpworks::admission::AdmissionRequest;
use kelpworks::admission::Config;
use kelpworks_wire::Class;

const OFFERED_REQUESTS: usize = 1_000;
const CONCURRENCY_LIMIT: u32 = 4;
const MAX_QUEUED: u32 = 16;

fn admission_request(class: Class) -> AdmissionRequest<'static> {
    let team = match class {
        Class::Paying => "merchandisers",
        Class::Trial => "trial-sellers",
    };
    AdmissionRequest {
        team,
        class,
        weight: 1,
        cost: 20,
    }
}

#[rstest]
#[case::no_rate(f64::INFINITY)]
#[case::a_rate(10.0)]
#[case::no_share(0.0)]
#[tokio::test(start_paused = true)]
async fn trials_beyond_queue_are_refused_without_waiting(#[case] rate: f64) {
    let admission = Admission::new(Config {
        initial_limit: CONCURRENCY_LIMIT,
        max_waiting: MAX_QUEUED,
        seed: Some(1),
        ..Config::default()
    });
    admission.set_trial_rate(rate);
    let (mut permits, mut waiting, mut refused) = (Vec::new(), Vec::new(), 0);
    for _ in 0..OFFERED_REQUESTS {
        let mut admission_attempt = Box::pin(admission.admit(admission_request(Class::Trial)));
        match admission_attempt.as_mut().now_or_never() {
            Some(Ok(permit)) => permits.push(permit),
            Some(Err(refusal)) => {
                assert!(refusal.retry_after >= Duration::from_millis(200));
                refused += 1;
            }
            None => waiting.push(admission_attempt),
        }
    }
    assert!(permits.len() <= CONCURRENCY_LIMIT as usize);
    assert!(waiting.len() <= MAX_QUEUED as usize);
    assert_eq!(
        admission.inspect(|q| q.waiting(Class::Trial)),
        waiting.len() as u32
    );
    assert_eq!(refused, OFFERED_REQUESTS - permits.len() - waiting.len());
    let paying = admission
        .admit(admission_request(Class::Paying))
        .now_or_never();
    assert!(
        matches!(paying, Some(Ok(_))),
        "a paying request waits behind trials"
    );
}
