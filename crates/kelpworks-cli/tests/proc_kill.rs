//! Engines and daemons that are killed while requests run.

#[path = "../../kelpworks/tests/caller/mod.rs"]
mod caller;
mod harness;

use futures_util::future::join_all;

use caller::End;
use caller::chat_prompt;
use harness::Harness;
use harness::Shape;
use harness::streams::MAX_TOKENS;
use harness::streams::Streams;
use kelpworks_wire::FinishReason;

#[tokio::test]
async fn three_daemons_answer_completions_chats_and_service_calls() {
    let shape = Shape {
        daemons: 3,
        iteration_ms: 0,
        ..Shape::default()
    };
    let harness = Harness::start(shape).await;
    for daemon in 0..3 {
        let caller = harness.caller(daemon);
        let prompt = format!("a red kettle {daemon}");
        let text = harness.model.answer_text(&prompt, 12);
        let answer = caller.complete(&prompt, 12).await.expect("an answer");
        assert_eq!(answer.text, text);
        assert_eq!(answer.end, End::Whole(FinishReason::Length));
        let streamed = caller
            .stream(&prompt, 12)
            .await
            .expect("a stream")
            .rest()
            .await;
        assert_eq!((streamed.text, streamed.end), (text, answer.end));
        let text = harness.model.answer_text(&chat_prompt(&prompt), 12);
        let answer = caller.chat(&prompt, 12).await.expect("an answer");
        assert_eq!(answer.text, text);
        let streamed = caller
            .stream_chat(&prompt, 12)
            .await
            .expect("a stream")
            .rest()
            .await;
        assert_eq!((streamed.text, streamed.end), (text, answer.end));
        let service = caller.get("/services/jobs/jobs/7").send().await;
        assert!(service.expect("an answer").status().is_success());
    }
}

/// Callers notice nothing when an engine is killed while it runs a stage of their streamed answers.
#[tokio::test]
async fn killed_engine_loses_no_answer() {
    let mut harness = Harness::start(Shape::default()).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    let victim = harness.engine_of(streams.request(0), "engine-1").await;
    harness.engines[victim].process.kill();
    streams.rest().await.assert_complete(&harness);
    let log = harness.daemons[0].process.log();
    assert!(log.contains("stage failed"), "the kill hit a session");
}

/// Two stages lose a replica at the same time.
#[tokio::test]
async fn two_killed_engines_lose_no_answer() {
    let mut harness = Harness::start(Shape::default()).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    let first = harness.engine_of(streams.request(0), "engine-0").await;
    let last = harness.engine_of(streams.request(0), "engine-2").await;
    harness.engines[first].process.kill();
    harness.engines[last].process.kill();
    streams.rest().await.assert_complete(&harness);
}

/// The streams of a killed daemon are cut, and their callers retry at another daemon. Callers of
/// other daemons notice nothing.
#[tokio::test]
async fn killed_daemon_cuts_only_its_own_streams_and_retries_succeed() {
    let shape = Shape {
        daemons: 2,
        ..Shape::default()
    };
    let mut harness = Harness::start(shape).await;
    let lost = Streams::begin(&harness, 0, "lost").await;
    let kept = Streams::begin(&harness, 1, "kept").await;
    harness.daemons[0].process.kill();
    let lost = lost.rest().await;
    for (n, answer) in lost.answers.iter().enumerate() {
        assert_eq!(answer.end, End::Cut);
        let prompt = lost.prompt(n);
        let whole = harness.model.answer_text(&prompt, MAX_TOKENS);
        assert!(whole.starts_with(&answer.text) && whole != answer.text);
    }
    let caller = harness.caller(1);
    let prompts: Vec<String> = (0..lost.answers.len()).map(|n| lost.prompt(n)).collect();
    let again = prompts.iter().map(|p| caller.complete(p, MAX_TOKENS));
    for (prompt, again) in prompts.iter().zip(join_all(again).await) {
        let whole = harness.model.answer_text(prompt, MAX_TOKENS);
        assert_eq!(again.expect("an answer").text, whole);
    }
    kept.rest().await.assert_complete(&harness);
}
