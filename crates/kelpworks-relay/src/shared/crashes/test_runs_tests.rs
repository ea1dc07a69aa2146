//! Suspects run in test runs only, other requests at any time.

use std::time::Duration;

use kelpworks_coord::crash_ledger::Finding;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;
use rstest::rstest;
use tokio::time::advance;

use super::Identity;
use super::Shared;
use crate::retry_budget::RetryLimit;

const RETRY_LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    allowance: 200.0,
};
const SUSPECT: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);
/// Time within which only one copy of a suspect may begin.
const TEST_RUN: Duration = Duration::from_secs(1);

/// A daemon that knows two requests with the same crashes.
fn daemon() -> Shared {
    let shared = Shared::new("a", RETRY_LIMIT, 1);
    let now = shared.ledger_time(tokio::time::Instant::now());
    for upstream in (0..3).map(UpstreamId) {
        for fingerprint in [SUSPECT, HARMLESS] {
            let mut ledger = shared.crashes();
            ledger.record(fingerprint, upstream, Finding::Ended, now);
        }
    }
    shared
}

/// Returns whether a copy of the request may run once its turn has come.
async fn may_run(shared: &Shared, fingerprint: Fingerprint) -> bool {
    let identity = Identity {
        fingerprint,
        parts: &[],
    };
    let cleared = shared.wait_for_turn(identity, "llm", false).await;
    let Ok(cleared) = cleared else { return false };
    let mut unused = None;
    let run = shared.permit_run(fingerprint, cleared, &mut unused);
    run.await.is_ok()
}

/// Guards against copies of a suspect that run beside each other, and against a suspect that never runs again.
#[rstest]
#[case::suspect(SUSPECT, false)]
#[case::without_crashes(Fingerprint(3), true)]
#[tokio::test(start_paused = true)]
async fn second_copy_of_a_suspect_waits_for_the_first(
    #[case] fingerprint: Fingerprint,
    #[case] expected: bool,
) {
    let shared = daemon();
    assert!(may_run(&shared, fingerprint).await);
    assert_eq!(may_run(&shared, fingerprint).await, expected);
    advance(TEST_RUN).await;
    assert!(may_run(&shared, fingerprint).await);
}

/// Guards against a request that stays a suspect although it has completed.
#[tokio::test(start_paused = true)]
async fn completed_suspect_runs_at_any_time() {
    let shared = daemon();
    assert!(may_run(&shared, HARMLESS).await);
    shared.clear_crashes("r-1", HARMLESS);
    assert!(may_run(&shared, HARMLESS).await);
    assert!(may_run(&shared, HARMLESS).await);
}
