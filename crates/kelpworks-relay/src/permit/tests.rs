//! Refund of admissions under an upstream's limit.
//!
//! A failed connection attempt must not use up the limit: while a limited engine restarts, every
//! attempt would otherwise take the only request that it accepts in some seconds.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use kelpworks_coord::id::Version;
use kelpworks_coord::poison::Fingerprint;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use super::Admission;
use super::Origin;
use super::Permit;
use super::StatedDeadline;
use crate::fleet::UpstreamKey;
use crate::limits::Announcement;
use crate::limits::Rate;
use crate::peers::Numbered;
use crate::peers::test_engine;
use crate::pool::WritePermit;
use crate::retry_budget::RetryLimit;
use crate::shared::Shared;
use crate::shared::crashes::Identity;

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

/// A request without crashes.
const REQUEST: Identity<'static> = Identity {
    fingerprint: Fingerprint(0),
    parts: &[],
};

/// Admits a request that has crashed nothing.
fn admit(shared: &Shared, upstreams: Vec<UpstreamKey>) -> Option<Admission> {
    let cleared = shared
        .check_crashes(REQUEST, "llm", false)
        .expect("no crashes");
    shared.admit(cleared.runnable().expect("no suspect"), upstreams)
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
    upstream.constraints.limiter.set_share(1.0, now);
    key
}

/// Returns the permit for the first attempt of a request.
fn permit_for(shared: &Shared, admission: Admission) -> Permit {
    let request = shared.begin_attempts(&Arc::from("llm"), Origin::Caller);
    Permit::new(admission, request.attempts(), None)
}

fn permit(shared: &Shared, key: UpstreamKey) -> Option<Permit> {
    let admission = admit(shared, vec![key])?;
    Some(permit_for(shared, admission))
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
    let admission = admit(&shared, vec![key]).expect("the first request");
    assert!(admit(&shared, vec![key]).is_none(), "one request a second");
    match outcome {
        Outcome::Dropped => drop(permit_for(&shared, admission)),
        Outcome::Undone => {
            let spent = permit_for(&shared, admission).spend().expect("valid");
            drop(spent.undo());
        }
        Outcome::Refunded => drop(admission),
        Outcome::Sent => drop(permit_for(&shared, admission).spend()),
    }
    assert_eq!(
        admit(&shared, vec![key]).is_some(),
        admits_another,
        "{outcome:?}"
    );
}

/// What an upstream announces while a connection for a request is opened.
#[derive(Clone, Copy, Debug)]
enum News {
    Backoff,
    Leaving,
}

/// Guards against requests that are written although their upstream has asked for none since they
/// were admitted: a connection takes up to a quarter of a second to open.
#[rstest]
#[case::first_engine_backs_off(News::Backoff, 0)]
#[case::first_engine_leaves(News::Leaving, 0)]
#[case::later_engine_backs_off(News::Backoff, 1)]
#[case::later_engine_leaves(News::Leaving, 1)]
#[tokio::test(start_paused = true)]
async fn admitted_request_is_not_written_after_an_announcement(
    #[case] news: News,
    #[case] position: usize,
) {
    let shared = Shared::new("a", RETRY_LIMIT, 1);
    let now = Instant::now();
    let entries = ["e-1", "e-2"].map(|name| {
        let mut entry = test_engine();
        entry.instance = Arc::from(name);
        entry.id = Arc::from(name);
        entry
            .address
            .set_port(if name == "e-1" { 8_001 } else { 8_002 });
        entry
    });
    shared
        .fleet()
        .replace(entries.to_vec(), Version::initial(1), now);
    let path: Vec<UpstreamKey> = shared.fleet().iter().map(|(key, _)| key).collect();
    let admission = admit(&shared, path.clone()).expect("no constraints");
    let mut fleet = shared.fleet();
    let upstream = fleet.get_mut(path[position]).expect("registered");
    match news {
        News::Backoff => upstream
            .constraints
            .request_backoff(Duration::from_secs(3), now),
        News::Leaving => upstream.constraints.announce_leaving(now),
    };
    drop(fleet);
    assert!(permit_for(&shared, admission).spend().is_none());
    assert!(admit(&shared, path).is_none(), "nor is another admitted");
}

fn request_backoff(shared: &Shared, key: UpstreamKey, backoff: Duration) {
    let mut fleet = shared.fleet();
    let upstream = fleet.get_mut(key).expect("registered");
    let now = Instant::now();
    upstream.constraints.request_backoff(backoff, now);
}

/// Guards against a permit that an announcement invalidates and that uses up the rate limit.
#[tokio::test(start_paused = true)]
async fn invalid_permit_is_refunded() {
    let (shared, key) = limited_engine().await;
    let unsent = permit(&shared, key).expect("the first request");
    let backoff = Duration::from_millis(10);
    request_backoff(&shared, key, backoff);
    assert!(unsent.spend().is_none());
    advance(backoff).await;
    assert!(permit(&shared, key).is_some());
}

/// Guards against requests that state more time than is left, since it was computed before the wait for a
/// connection or a pause of the process, and against requests that are written after their deadline.
#[rstest]
#[case::immediately(Duration::ZERO, Some("2000"))]
#[case::after_a_wait(Duration::from_millis(1_500), Some("500"))]
#[case::at_the_deadline(Duration::from_secs(2), None)]
#[case::after_the_deadline(Duration::from_secs(9), None)]
#[tokio::test(start_paused = true)]
async fn time_left_is_stated_when_the_request_is_written(
    #[case] wait: Duration,
    #[case] stated: Option<&str>,
) {
    let (shared, key) = limited_engine().await;
    let deadline = Instant::now() + Duration::from_secs(2);
    let permit = permit(&shared, key).expect("the first request");
    let permit = permit.with_deadline(StatedDeadline::of_upstream::<Numbered>(deadline));
    advance(wait).await;
    let mut headers = HeaderMap::new();
    let spent = WritePermit::spend(permit, &mut headers);
    assert_eq!(spent.is_some(), stated.is_some());
    if let Some(stated) = stated {
        assert_eq!(headers["time-left-ms"], stated);
    }
}
