//! An object API that comes back from an older copy: it has lost what it acknowledged since, and
//! gives the revisions after it out again.

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
/// Far longer than any answer takes.
const LONG: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(50);

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
async fn a_watch_from_a_revision_that_was_given_out_again_misses_nothing() {
    let fake = fake().await;
    let eras = Eras::default();
    let api = client(&fake, &eras);
    put(&api, "kept", "1").await;
    fake.take_copy();
    let lost = put(&api, "lost", "1").await;
    fake.restore();
    fake.put(KIND, "new", "1");
    // The new object has the revision of the lost one, so that the watch alone would show no change.
    let watch = api.watch(KIND, lost, SHORT).await;
    assert_eq!(watch, Err(Error::Expired));
    let list = api.list(KIND).await.expect("a list");
    let names: Vec<&str> = list.items.iter().map(|o| o.name.as_str()).collect();
    assert_eq!(names, ["kept", "new"]);
    assert_eq!(list.version, Version::new(Era(1), lost.revision));
    assert!(list.version > lost);
}

#[tokio::test]
async fn a_waiting_watch_ends_when_another_client_hears_of_a_later_era() {
    let fake = fake().await;
    let eras = Eras::default();
    let api = client(&fake, &eras);
    let version = put(&api, "kept", "1").await;
    let watch = api.watch(KIND, version, LONG);
    let heard = async {
        tokio::time::sleep(SHORT).await;
        eras.observe(Era(1), EraSource::Peer);
    };
    let (reply, ()) = tokio::join!(timeout(LONG / 2, watch), heard);
    assert_eq!(reply.expect("at once"), Err(Error::Expired));
}

#[tokio::test]
async fn a_condition_of_an_earlier_era_is_not_sent() {
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
async fn a_write_that_a_revision_given_out_again_let_through_is_not_taken_for_ours() {
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
    assert_eq!(written, Err(Error::Lost), "not known to be ours");
    assert_eq!(eras.latest(), Era(1));
}

#[rstest]
#[case::earlier(Some(Era(2)), Err(Error::Lost))]
#[case::missing(None, Err(Error::Lost))]
#[case::same(Some(Era(3)), Ok(Era(3)))]
#[case::later(Some(Era(4)), Ok(Era(4)))]
fn answers_count_by_their_era(
    #[case] told: Option<Era>,
    #[case] taken: std::result::Result<Era, Error>,
) {
    let eras = Eras::default();
    eras.observe(Era(3), EraSource::Answer);
    assert_eq!(eras.check_response_era(told), taken);
    assert!(eras.latest() >= Era(3), "never falls");
}

/// Nothing leads back from an era that one answer told by mistake, and peers would spread it.
#[test]
fn an_era_that_skips_others_is_believed_when_told_twice_in_a_row() {
    let eras = Eras::default();
    assert_eq!(
        eras.check_response_era(Some(Era(3))),
        Ok(Era(3)),
        "the first is"
    );
    assert_eq!(eras.check_response_era(Some(Era(900))), Err(Error::Lost));
    assert_eq!(
        eras.check_response_era(Some(Era(3))),
        Ok(Era(3)),
        "as before"
    );
    assert_eq!(eras.check_response_era(Some(Era(900))), Err(Error::Lost));
    assert_eq!(eras.check_response_era(Some(Era(7))), Err(Error::Lost));
    assert!(
        !eras.observe(Era(3), EraSource::Peer),
        "a peer that is behind"
    );
    assert_eq!(eras.check_response_era(Some(Era(7))), Ok(Era(7)));
    assert_eq!(
        eras.check_response_era(Some(Era(8))),
        Ok(Era(8)),
        "the next one at once"
    );
}

#[test]
fn an_api_without_eras_is_in_the_first() {
    let eras = Eras::default();
    assert_eq!(eras.check_response_era(None), Ok(Era::FIRST));
    assert_eq!(eras.condition(Version::initial(7)), Ok(7));
}

/// Others wait until any lease of an earlier era has run out, so its holder must not go on.
#[tokio::test]
async fn a_lease_ends_as_soon_as_a_later_era_is_heard_of() {
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
    let hold = Arc::new(LeaseHandle::new(cfg, owner));
    let keeper = LeaseKeeper::new(client(&fake, &eras), Arc::clone(&hold));
    let leave = CancellationToken::new();
    let kept = {
        let leave = leave.clone();
        tokio::spawn(async move { keeper.run(&leave).await })
    };
    let until = |is_held: bool| {
        let hold = Arc::clone(&hold);
        timeout(LONG, async move {
            while hold.fencing_token().is_some() != is_held {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
    };
    until(true).await.expect("it is free");
    let before = hold.fencing_token().expect("held");
    fake.restore();
    eras.observe(Era(1), EraSource::Peer);
    until(false).await.expect("it ends");
    until(true)
        .await
        .expect("taken again once its time is over");
    assert!(hold.fencing_token().expect("held") > before, "tokens rise");
    leave.cancel();
    kept.await.expect("no panic");
}
