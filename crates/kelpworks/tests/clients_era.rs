//! Clients of an object API that was restored from a backup: writes acknowledged since the backup
//! are lost, and their revisions are assigned again to other writes. Each restore begins a new era.

use std::sync::Arc;
use std::time::Duration;

use kelpworks::clients::era::EraSource;
use kelpworks::clients::era::Eras;
use kelpworks::clients::object_api::Condition;
use kelpworks::clients::object_api::Deadlines;
use kelpworks::clients::object_api::Error;
use kelpworks::clients::object_api::HttpObjectApi;
use kelpworks::clients::object_api::ObjectApi;
use kelpworks::executor::LeaseHandle;
use kelpworks::executor::LeaseKeeper;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Version;
use kelpworks_coord::lease;
use kelpworks_coord::lease::Owner;
use kelpworks_coord::time::Span;
use kelpworks_fakes as fakes;
use rstest::rstest;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const KIND: &str = "k";
/// Upper bound of waits that are expected to end early.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_DELAY: Duration = Duration::from_millis(50);

async fn fake() -> fakes::ObjectApi {
    let api = fakes::ObjectApi::spawn(fakes::ObjectApiConfig::default()).await;
    api.expect("a free port")
}

fn client(fake: &fakes::ObjectApi, eras: &Eras) -> HttpObjectApi {
    let api = HttpObjectApi::with_eras(&fake.url(), Deadlines::default(), eras.clone());
    api.expect("a URL")
}

async fn put(api: &HttpObjectApi, name: &str, body: &str) -> Version {
    let object = api.put(KIND, name, body.to_owned(), Condition::Always);
    object.await.expect("written").version
}

#[tokio::test]
async fn watch_from_reused_revision_expires_and_list_returns_new_objects() {
    let fake = fake().await;
    let eras = Eras::default();
    let api = client(&fake, &eras);
    put(&api, "kept", "1").await;
    fake.take_copy();
    let lost = put(&api, "lost", "1").await;
    fake.restore();
    fake.put(KIND, "new", "1");
    // The new object has the revision of the lost one, so a watch from that revision would not
    // report it.
    let watch = api.watch(KIND, lost, SHORT_DELAY).await;
    assert_eq!(watch, Err(Error::Expired));
    let list = api.list(KIND).await.expect("a list");
    let names: Vec<&str> = list.items.iter().map(|o| o.name.as_str()).collect();
    assert_eq!(names, ["kept", "new"]);
    assert_eq!(list.version, Version::new(Era(1), lost.revision));
    assert!(list.version > lost);
}

#[tokio::test]
async fn pending_watch_expires_when_later_era_is_observed() {
    let fake = fake().await;
    let eras = Eras::default();
    let api = client(&fake, &eras);
    let version = put(&api, "kept", "1").await;
    let watch = api.watch(KIND, version, LONG_TIMEOUT);
    let observe_later_era = async {
        tokio::time::sleep(SHORT_DELAY).await;
        eras.observe(Era(1), EraSource::Peer);
    };
    let (reply, ()) = tokio::join!(timeout(LONG_TIMEOUT / 2, watch), observe_later_era);
    assert_eq!(
        reply.expect("the watch ends before its timeout"),
        Err(Error::Expired)
    );
}

#[tokio::test]
async fn conditional_write_with_version_of_earlier_era_is_not_sent() {
    let fake = fake().await;
    let eras = Eras::default();
    let api = client(&fake, &eras);
    let version = put(&api, "kept", "1").await;
    eras.observe(Era(1), EraSource::Peer);
    let writes = fake.counts().writes;
    let condition = Condition::Version(version);
    let written = api.put(KIND, "kept", "2".to_owned(), condition).await;
    assert_eq!(written, Err(Error::Outdated));
    let deleted = api.delete(KIND, "kept", condition).await;
    assert_eq!(deleted, Err(Error::Outdated));
    assert_eq!(fake.counts().writes, writes);
}

#[tokio::test]
async fn conditional_write_matched_by_reused_revision_is_reported_lost() {
    let fake = fake().await;
    let eras = Eras::default();
    let api = client(&fake, &eras);
    put(&api, "n", "1").await;
    fake.take_copy();
    let lost = put(&api, "n", "2").await;
    fake.restore();
    let other = fake.put(KIND, "n", "of another writer");
    assert_eq!(other.version, lost.revision);
    let condition = Condition::Version(lost);
    let written = api.put(KIND, "n", "3".to_owned(), condition).await;
    assert_eq!(
        written,
        Err(Error::Lost),
        "may be the write of another client"
    );
    assert_eq!(eras.latest(), Era(1));
}

#[rstest]
#[case::earlier(Some(Era(2)), Err(Error::Lost))]
#[case::missing(None, Err(Error::Lost))]
#[case::same(Some(Era(3)), Ok(Era(3)))]
#[case::later(Some(Era(4)), Ok(Era(4)))]
fn responses_from_earlier_or_missing_era_are_lost(
    #[case] response_era: Option<Era>,
    #[case] expected: std::result::Result<Era, Error>,
) {
    let eras = Eras::default();
    eras.observe(Era(3), EraSource::Answer);
    assert_eq!(eras.check_response_era(response_era), expected);
    assert!(eras.latest() >= Era(3), "the latest era never decreases");
}

/// The latest era never decreases and is spread to peers, so one response with a wrong era must not
/// raise it.
#[test]
fn era_that_skips_ahead_is_accepted_after_two_consecutive_responses() {
    let eras = Eras::default();
    assert_eq!(
        eras.check_response_era(Some(Era(3))),
        Ok(Era(3)),
        "the first era is accepted at once"
    );
    assert_eq!(eras.check_response_era(Some(Era(900))), Err(Error::Lost));
    assert_eq!(
        eras.check_response_era(Some(Era(3))),
        Ok(Era(3)),
        "the current era is still accepted"
    );
    assert_eq!(eras.check_response_era(Some(Era(900))), Err(Error::Lost));
    assert_eq!(eras.check_response_era(Some(Era(7))), Err(Error::Lost));
    assert!(
        !eras.observe(Era(3), EraSource::Peer),
        "an earlier era from a peer is ignored"
    );
    assert_eq!(eras.check_response_era(Some(Era(7))), Ok(Era(7)));
    assert_eq!(
        eras.check_response_era(Some(Era(8))),
        Ok(Era(8)),
        "the next era is accepted at once"
    );
}

#[test]
fn api_without_eras_stays_in_first_era() {
    let eras = Eras::default();
    assert_eq!(eras.check_response_era(None), Ok(Era::FIRST));
    assert_eq!(eras.condition(Version::initial(7)), Ok(7));
}

/// After a restore, other daemons wait until every lease of an earlier era has expired, so the
/// holder of such a lease must stop using it.
#[tokio::test]
async fn lease_ends_when_later_era_is_observed_and_is_reacquired() {
    let fake = fake().await;
    let eras = Eras::default();
    let owner = Owner {
        node: NodeId::of("entry-1"),
        incarnation: Incarnation(1),
    };
    let cfg = lease::Config {
        ttl: Span::from_millis(1_000),
        order_bound: Span::from_millis(200),
        poll_interval: Span::from_millis(100),
        ..lease::Config::default()
    };
    let handle = Arc::new(LeaseHandle::new(cfg, owner));
    let keeper = LeaseKeeper::new(client(&fake, &eras), Arc::clone(&handle));
    let shutdown = CancellationToken::new();
    let keeper_task = {
        let shutdown = shutdown.clone();
        tokio::spawn(async move { keeper.run(&shutdown).await })
    };
    let wait_until_held = |is_held: bool| {
        let handle = Arc::clone(&handle);
        timeout(LONG_TIMEOUT, async move {
            while handle.fencing_token().is_some() != is_held {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
    };
    wait_until_held(true).await.expect("the lease is acquired");
    let first_token = handle.fencing_token().expect("held");
    fake.restore();
    eras.observe(Era(1), EraSource::Peer);
    wait_until_held(false).await.expect("the lease ends");
    wait_until_held(true)
        .await
        .expect("the lease is acquired again after its TTL");
    assert!(
        handle.fencing_token().expect("held") > first_token,
        "fencing tokens increase"
    );
    shutdown.cancel();
    keeper_task.await.expect("no panic");
}
