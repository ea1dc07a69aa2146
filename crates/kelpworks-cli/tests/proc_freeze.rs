//! Engines and daemons that are frozen (SIGSTOP) while requests run.

#[path = "../../kelpworks/tests/caller/mod.rs"]
mod caller;
mod harness;

use rustix::process::Signal;

use harness::Harness;
use harness::Shape;
use harness::streams::Streams;

/// A frozen engine keeps its connections open and answers nothing, so the progress deadline
/// detects it. Work that it finishes after it is resumed changes no answer, and it serves again.
#[tokio::test]
async fn frozen_engine_loses_no_answer_and_serves_again_once_resumed() {
    let harness = Harness::start(Shape::default()).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    let victim = harness.engine_of(streams.request(0), "engine-1").await;
    harness.engines[victim].process.signal(Signal::STOP);
    streams.rest().await.assert_complete(&harness);
    let log = harness.daemons[0].process.log();
    assert!(log.contains("stage failed"), "the freeze hit a session");

    let thawed = Streams::begin(&harness, 0, "thawed").await;
    harness.engines[victim].process.signal(Signal::CONT);
    thawed.rest().await.assert_complete(&harness);
    let before = harness.ledger(victim).await.totals.runs;
    harness
        .wait_until("the engine serves again", async || {
            let answer = harness.caller(0).complete("once more", 2).await;
            let text = harness.model.answer_text("once more", 2);
            assert_eq!(answer.expect("an answer").text, text);
            harness.ledger(victim).await.totals.runs > before
        })
        .await;
}

/// Guards against fault attribution to the wrong engine: when the first stage freezes between its
/// step and the fetch of its output, the next stage waits for that output without being at fault.
#[tokio::test]
async fn frozen_first_stage_loses_no_answer() {
    let harness = Harness::start(Shape::default()).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    let victim = harness.engine_of(streams.request(0), "engine-0").await;
    harness.engines[victim].process.signal(Signal::STOP);
    streams.rest().await.assert_complete(&harness);
}

/// A paused daemon continues its streams from where they stopped.
#[tokio::test]
async fn paused_daemon_resumes_its_streams() {
    let harness = Harness::start(Shape::default()).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    harness.daemons[0].process.signal(Signal::STOP);
    let idle = harness.engine_of(streams.request(0), "engine-2").await;
    harness
        .wait_until("the engines have run what was sent", async || {
            let before = harness.ledger(idle).await.totals.runs;
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            harness.ledger(idle).await.totals.runs == before
        })
        .await;
    harness.daemons[0].process.signal(Signal::CONT);
    streams.rest().await.assert_complete(&harness);
}
