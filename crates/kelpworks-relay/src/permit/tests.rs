//! Refund of admissions under an upstream's limit.
//!
//! A failed connection attempt must not use up the limit: while a limited engine restarts, every
//! attempt would otherwise take the only request that it accepts in some seconds.

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use super::Permit;
use crate::fleet::UpstreamKey;
use crate::limits::Announcement;
use crate::limits::Rate;
use crate::peers::test_engine;
use crate::retry_budget::RetryLimit;
use crate::shared::Shared;

const RETRY_LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    allowance: 200.0,
};

/// What happens to an admitted request.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// The caller gave up before a connection was open.
    Dropped,
    /// The connection failed before anything was written.
    Undone,
    /// No retry was left in the budget.
    Refunded,
    /// The request was written.
    Sent,
}

/// A daemon with one engine that announced a limit of one request a second, after enough time for
/// a request to be admitted.
async fn limited_engine() -> (Shared, UpstreamKey) {
    let shared = Shared::new("a", RETRY_LIMIT, 1);
    let key = register_limited_engine(&shared);
    advance(Duration::from_secs(2)).await;
    (shared, key)
}

fn register_limited_engine(shared: &Shared) -> UpstreamKey {
    let entry = test_engine();
    let instance = Arc::clone(&entry.instance);
    let now = Instant::now();
    let mut fleet = shared.fleet();
    fleet.replace(vec![entry], Version::initial(1), now);
    let key = fleet.key_of(&instance).expect("registered");
    drop(fleet);
    let rate = Rate::per_second(1.0).expect("a rate");
    shared.on_limit_announcement(key, Announcement::Limited(rate), now);
    let mut fleet = shared.fleet();
    let upstream = fleet.get_mut(key).expect("registered");
    upstream.limiter.set_share(1.0, now);
    key
}

#[rstest]
#[case(Outcome::Dropped, true)]
#[case(Outcome::Undone, true)]
#[case(Outcome::Refunded, true)]
#[case(Outcome::Sent, false)]
#[tokio::test(start_paused = true)]
async fn admission_of_an_unsent_request_is_available_again(
    #[case] outcome: Outcome,
    #[case] admits_another: bool,
) {
    let (shared, key) = limited_engine().await;
    let admission = shared.admit(key).expect("the first request");
    assert!(shared.admit(key).is_none(), "one request a second");
    match outcome {
        Outcome::Dropped => drop(Permit::first().with_admission(admission)),
        Outcome::Undone => {
            let spent = Permit::first().with_admission(admission).spend();
            drop(spent.undo());
        }
        Outcome::Refunded => admission.refund(),
        Outcome::Sent => drop(Permit::first().with_admission(admission).spend()),
    }
    assert_eq!(shared.admit(key).is_some(), admits_another, "{outcome:?}");
}
