//! Planned stops of daemons.

#[path = "../../kelpworks/tests/caller/mod.rs"]
mod caller;
mod frame;

use rustix::process::Signal;

use caller::End;
use frame::Frame;
use frame::Shape;
use frame::streams::Streams;
use kelpworks_fakes::EngineConfig;

async fn assert_engines_are_free(frame: &Frame) {
    let whole = EngineConfig::new("any", Vec::new()).kv_capacity;
    for n in 0..frame.engines.len() {
        assert_eq!(frame.state(n).await.load.kv_free, whole);
    }
}

/// The balancer's check fails first, while requests are still taken; those in flight finish;
/// then the process ends with success, and the engines hold nothing of it.
#[tokio::test]
async fn a_planned_stop_cuts_nobody_off() {
    let shape = Shape {
        timing: "balancer_notice = \"4 s\"\nstate_poll = \"200 ms\"",
        ..Shape::default()
    };
    let mut frame = Frame::start(shape).await;
    let streams = Streams::begin(&frame, 0, "kettle").await;
    frame.daemons[0].process.signal(Signal::TERM);
    frame
        .until("the balancer's check fails", async || {
            frame.ready(0).await == Some(503)
        })
        .await;
    let late = Streams::begin(&frame, 0, "late").await;
    streams.rest().await.assert_whole(&frame);
    late.rest().await.assert_whole(&frame);
    let status = frame.daemons[0].process.wait();
    assert_eq!(status.code(), Some(0));
    assert_engines_are_free(&frame).await;
}

/// A second signal ends the daemon at once; callers get a verdict, not a cut.
#[tokio::test]
async fn a_second_signal_ends_at_once_with_verdicts() {
    let shape = Shape {
        iteration_ms: 200,
        ..Shape::default()
    };
    let mut frame = Frame::start(shape).await;
    let streams = Streams::begin(&frame, 0, "kettle").await;
    let process = &frame.daemons[0].process;
    process.signal(Signal::TERM);
    frame
        .until("the balancer's check fails", async || {
            frame.ready(0).await == Some(503)
        })
        .await;
    process.signal(Signal::TERM);
    for answer in streams.rest().await.answers {
        let End::Error(body) = answer.end else {
            panic!("not ended by an error: {:?}", answer.end);
        };
        assert_eq!(body.error.verdict, "may-have-run");
    }
    assert_eq!(frame.daemons[0].process.wait().code(), Some(0));
    assert_engines_are_free(&frame).await;
}

/// Requests that outlast the balancer's notice finish all the same; new ones find the address
/// closed, and nothing of them runs.
#[tokio::test]
async fn a_drain_waits_for_what_is_in_flight() {
    let shape = Shape {
        iteration_ms: 20,
        timing: "balancer_notice = \"50 ms\"\nstate_poll = \"200 ms\"",
        ..Shape::default()
    };
    let mut frame = Frame::start(shape).await;
    let streams = Streams::begin(&frame, 0, "kettle").await;
    frame.daemons[0].process.signal(Signal::TERM);
    frame
        .until("the address is closed", async || {
            frame.caller(0).complete("new", 1).await.is_err()
        })
        .await;
    streams.rest().await.assert_whole(&frame);
    assert_eq!(frame.daemons[0].process.wait().code(), Some(0));
    assert_engines_are_free(&frame).await;
}
