//! Processes frozen under running requests.

#[path = "../../kelpworks/tests/caller/mod.rs"]
mod caller;
mod frame;

use rustix::process::Signal;

use frame::Frame;
use frame::Shape;
use frame::streams::Streams;

/// A frozen engine keeps its connections and answers nothing: it is found by the progress
/// deadline. What it still does when it goes on changes no answer, and it serves again.
#[tokio::test]
async fn a_frozen_engine_costs_no_answer() {
    let frame = Frame::start(Shape::default()).await;
    let streams = Streams::begin(&frame, 0, "kettle").await;
    let victim = frame.engine_of(streams.request(0), "engine-1").await;
    frame.engines[victim].process.signal(Signal::STOP);
    streams.rest().await.assert_whole(&frame);
    let log = frame.daemons[0].process.log();
    assert!(log.contains("stage failed"), "the freeze struck a session");

    let thawed = Streams::begin(&frame, 0, "thawed").await;
    frame.engines[victim].process.signal(Signal::CONT);
    thawed.rest().await.assert_whole(&frame);
    let before = frame.ledger(victim).await.totals.runs;
    frame
        .until("the engine serves again", async || {
            let answer = frame.caller(0).complete("once more", 2).await;
            let text = frame.model.answer_text("once more", 2);
            assert_eq!(answer.expect("an answer").text, text);
            frame.ledger(victim).await.totals.runs > before
        })
        .await;
}

/// The first stage freezes between its step and the fetch of its output: the next stage, which
/// waits for that output, is not to blame.
#[tokio::test]
async fn a_frozen_first_stage_costs_no_answer() {
    let frame = Frame::start(Shape::default()).await;
    let streams = Streams::begin(&frame, 0, "kettle").await;
    let victim = frame.engine_of(streams.request(0), "engine-0").await;
    frame.engines[victim].process.signal(Signal::STOP);
    streams.rest().await.assert_whole(&frame);
}

/// A daemon that was paused goes on with its streams where it stood.
#[tokio::test]
async fn a_paused_daemon_goes_on() {
    let frame = Frame::start(Shape::default()).await;
    let streams = Streams::begin(&frame, 0, "kettle").await;
    frame.daemons[0].process.signal(Signal::STOP);
    let idle = frame.engine_of(streams.request(0), "engine-2").await;
    frame
        .until("the engines have run what was sent", async || {
            let before = frame.ledger(idle).await.totals.runs;
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            frame.ledger(idle).await.totals.runs == before
        })
        .await;
    frame.daemons[0].process.signal(Signal::CONT);
    streams.rest().await.assert_whole(&frame);
}
