//! Trials offered far beyond the room of one daemon: the queue stays bounded, and who does not fit
//! is refused without any wait.

use std::time::Duration;

use futures_util::FutureExt;
use rstest::rstest;

use kelpworks::admission::Admission;
use kelpworks::admission::AdmissionRequest;
use kelpworks::admission::Config;
use kelpworks_wire::Class;

const OFFERED: usize = 1_000;
const LIMIT: u32 = 4;
const QUEUE: u32 = 16;

fn ask(class: Class) -> AdmissionRequest<'static> {
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
async fn who_does_not_fit_is_refused_at_once(#[case] rate: f64) {
    let admission = Admission::new(Config {
        initial_limit: LIMIT,
        max_waiting: QUEUE,
        seed: Some(1),
        ..Config::default()
    });
    admission.set_trial_rate(rate);
    let (mut permits, mut waiting, mut refused) = (Vec::new(), Vec::new(), 0);
    for _ in 0..OFFERED {
        let mut offer = Box::pin(admission.admit(ask(Class::Trial)));
        match offer.as_mut().now_or_never() {
            Some(Ok(permit)) => permits.push(permit),
            Some(Err(refusal)) => {
                assert!(refusal.retry_after >= Duration::from_millis(200));
                refused += 1;
            }
            None => waiting.push(offer),
        }
    }
    assert!(permits.len() <= LIMIT as usize);
    assert!(waiting.len() <= QUEUE as usize);
    assert_eq!(
        admission.inspect(|q| q.waiting(Class::Trial)),
        waiting.len() as u32
    );
    assert_eq!(refused, OFFERED - permits.len() - waiting.len());
    let paying = admission.admit(ask(Class::Paying)).now_or_never();
    assert!(
        matches!(paying, Some(Ok(_))),
        "a paying request does not wait for trials"
    );
}
