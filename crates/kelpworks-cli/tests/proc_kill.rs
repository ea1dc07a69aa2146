//! Processes killed under running requests.

#[path = "../../kelpworks/tests/caller/mod.rs"]
mod caller;
mod frame;

use futures_util::future::join_all;
use kelpworks_wire::FinishReason;

use caller::Answer;
use caller::End;
use caller::Streamed;
use caller::chat_prompt;
use frame::Frame;
use frame::Shape;

const MAX_TOKENS: u32 = 40;
const STREAMS: usize = 6;

/// Starts streams and reads the first tokens of each.
async fn begin(frame: &Frame, daemon: usize, label: &str) -> Vec<Streamed> {
    let caller = frame.caller(daemon);
    let mut streams = Vec::new();
    for n in 0..STREAMS {
        let prompt = format!("{label} {n}");
        streams.push(caller.stream(&prompt, MAX_TOKENS).await.expect("a stream"));
    }
    for stream in &mut streams {
        stream.read_tokens(2).await;
    }
    streams
}

async fn end(streams: Vec<Streamed>) -> Vec<Answer> {
    join_all(streams.into_iter().map(Streamed::rest)).await
}

fn assert_whole(frame: &Frame, label: &str, answers: &[Answer]) {
    for (n, answer) in answers.iter().enumerate() {
        let prompt = format!("{label} {n}");
        assert_eq!(answer.text, frame.model.answer_text(&prompt, MAX_TOKENS));
        assert!(matches!(answer.end, End::Whole(_)), "{:?}", answer.end);
    }
}

#[tokio::test]
async fn three_daemons_answer_both_kinds() {
    let shape = Shape {
        daemons: 3,
        iteration_ms: 0,
        ..Shape::default()
    };
    let frame = Frame::start(shape).await;
    for daemon in 0..3 {
        let caller = frame.caller(daemon);
        let prompt = format!("a red kettle {daemon}");
        let text = frame.model.answer_text(&prompt, 12);
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
        let text = frame.model.answer_text(&chat_prompt(&prompt), 12);
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

/// The engine is killed while it runs stages of streamed answers: nobody sees it.
#[tokio::test]
async fn a_killed_engine_costs_no_answer() {
    let mut frame = Frame::start(Shape::default()).await;
    let streams = begin(&frame, 0, "kettle").await;
    let victim = frame.engine_of(&streams[0].request, "engine-1").await;
    frame.engines[victim].process.kill();
    let answers = end(streams).await;
    assert_whole(&frame, "kettle", &answers);
    let log = frame.daemons[0].process.log();
    assert!(log.contains("stage failed"), "the kill struck a session");
}

/// A daemon is killed: its callers are cut and repeat elsewhere; the others' callers see nothing.
#[tokio::test]
async fn a_killed_daemon_costs_only_a_repeat() {
    let shape = Shape {
        daemons: 2,
        ..Shape::default()
    };
    let mut frame = Frame::start(shape).await;
    let lost = begin(&frame, 0, "lost").await;
    let kept = begin(&frame, 1, "kept").await;
    frame.daemons[0].process.kill();
    for (n, answer) in end(lost).await.into_iter().enumerate() {
        assert_eq!(answer.end, End::Cut);
        let prompt = format!("lost {n}");
        let whole = frame.model.answer_text(&prompt, MAX_TOKENS);
        assert!(whole.starts_with(&answer.text) && whole != answer.text);
        let again = frame.caller(1).complete(&prompt, MAX_TOKENS).await;
        assert_eq!(again.expect("an answer").text, whole);
    }
    assert_whole(&frame, "kept", &end(kept).await);
}
