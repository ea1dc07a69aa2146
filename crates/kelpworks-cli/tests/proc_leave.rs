//! Upstreams that leave and a platform that is away, under running requests.

#[path = "../../kelpworks/tests/caller/mod.rs"]
mod caller;
mod frame;

use std::collections::HashSet;

use rstest::rstest;

use frame::Frame;
use frame::Shape;
use frame::streams::Streams;
use kelpworks_fakes::ApiMode;

/// Who says that an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum Says {
    HostList,
    Itself,
}

/// Requests sent after the daemon has seen it.
const LATER: usize = 8;

/// Once the daemon knows that an engine leaves, the engine gets no new session; the sessions on
/// it move at a token boundary and end whole.
#[rstest]
#[case::host_list(Says::HostList)]
#[case::itself(Says::Itself)]
#[tokio::test]
async fn a_leaving_engine_gets_no_new_session(#[case] says: Says) {
    let frame = Frame::start(Shape::default()).await;
    let streams = Streams::begin(&frame, 0, "kettle").await;
    let victim = frame.engine_of(streams.request(0), "engine-1").await;
    let view = &frame.engines[victim].view;
    match says {
        Says::HostList => frame.set_hosts(&[&view.name]).await,
        Says::Itself => frame.fake(&view.url, "draining", &true).await,
    }
    frame
        .until("a session moves off", async || {
            let log = frame.daemons[0].process.log();
            log.contains("upstream leaving")
        })
        .await;
    let mut later = HashSet::new();
    for n in 0..LATER {
        let prompt = format!("later {n}");
        let answer = frame
            .caller(0)
            .complete(&prompt, 4)
            .await
            .expect("an answer");
        assert_eq!(answer.text, frame.model.answer_text(&prompt, 4));
        later.insert(answer.request);
    }
    let ledger = frame.ledger(victim).await;
    let new: Vec<_> = ledger
        .runs
        .iter()
        .filter(|r| later.contains(&r.session))
        .collect();
    assert!(new.is_empty(), "new work on a leaving engine: {new:?}");
    streams.rest().await.assert_whole(&frame);
}

/// The object API is away: requests go on, those under way and new ones.
#[rstest]
#[case::unavailable(ApiMode::Unavailable)]
#[case::silent(ApiMode::Silent)]
#[tokio::test]
async fn serving_goes_on_without_the_object_api(#[case] mode: ApiMode) {
    let frame = Frame::start(Shape::default()).await;
    let streams = Streams::begin(&frame, 0, "kettle").await;
    frame.fake(&frame.view.object_api, "mode", &mode).await;
    for n in 0..LATER {
        let prompt = format!("later {n}");
        let answer = frame
            .caller(0)
            .complete(&prompt, 4)
            .await
            .expect("an answer");
        assert_eq!(answer.text, frame.model.answer_text(&prompt, 4));
    }
    streams.rest().await.assert_whole(&frame);
    assert_eq!(frame.ready(0).await, Some(200));
}
