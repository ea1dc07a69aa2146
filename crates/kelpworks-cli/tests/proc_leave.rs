//! Upstreams that leave, and outages of the object API, while requests run.

#[path = "../../kelpworks/tests/caller/mod.rs"]
mod caller;
mod harness;

use std::collections::HashSet;

use rstest::rstest;

use harness::Harness;
use harness::Shape;
use harness::streams::Streams;
use kelpworks_fakes::ApiMode;

/// Which system announces that an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum LeaveSource {
    HostList,
    Itself,
}

/// Requests sent once the daemon knows that an engine leaves, or during an outage.
const LATER_REQUESTS: usize = 8;

/// Once the daemon knows that an engine leaves, the engine gets no new session; the sessions on it
/// move at a token boundary and complete.
#[rstest]
#[case::host_list(LeaveSource::HostList)]
#[case::itself(LeaveSource::Itself)]
#[tokio::test]
async fn leaving_engine_gets_no_new_session_and_its_sessions_complete(#[case] source: LeaveSource) {
    let harness = Harness::start(Shape::default()).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    let victim = harness.engine_of(streams.request(0), "engine-1").await;
    let view = &harness.engines[victim].view;
    match source {
        LeaveSource::HostList => harness.set_host_list(&[&view.name]).await,
        LeaveSource::Itself => harness.control_fake(&view.url, "draining", &true).await,
    }
    harness
        .wait_until("a session moves off", async || {
            let log = harness.daemons[0].process.log();
            log.contains("upstream leaving")
        })
        .await;
    let mut later = HashSet::new();
    for n in 0..LATER_REQUESTS {
        let prompt = format!("later {n}");
        let answer = harness
            .caller(0)
            .complete(&prompt, 4)
            .await
            .expect("an answer");
        assert_eq!(answer.text, harness.model.answer_text(&prompt, 4));
        later.insert(answer.request);
    }
    let ledger = harness.ledger(victim).await;
    let new: Vec<_> = ledger
        .runs
        .iter()
        .filter(|r| later.contains(&r.session))
        .collect();
    assert!(new.is_empty(), "new work on a leaving engine: {new:?}");
    streams.rest().await.assert_complete(&harness);
}

/// Requests in flight and new ones are served while the object API is unavailable.
#[rstest]
#[case::unavailable(ApiMode::Unavailable)]
#[case::silent(ApiMode::Silent)]
#[tokio::test]
async fn requests_are_served_during_an_object_api_outage(#[case] mode: ApiMode) {
    let harness = Harness::start(Shape::default()).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    harness
        .control_fake(&harness.view.object_api, "mode", &mode)
        .await;
    for n in 0..LATER_REQUESTS {
        let prompt = format!("later {n}");
        let answer = harness
            .caller(0)
            .complete(&prompt, 4)
            .await
            .expect("an answer");
        assert_eq!(answer.text, harness.model.answer_text(&prompt, 4));
    }
    streams.rest().await.assert_complete(&harness);
    assert_eq!(harness.readyz_status(0).await, Some(200));
}
