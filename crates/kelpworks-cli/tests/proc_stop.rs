//! Planned stops of daemons.

#[path = "../../kelpworks/tests/caller/mod.rs"]
mod caller;
mod harness;

use rustix::process::Signal;

use caller::End;
use harness::Harness;
use harness::Shape;
use harness::streams::Streams;
use kelpworks_fakes::EngineConfig;

async fn assert_engine_caches_are_free(harness: &Harness) {
    let whole = EngineConfig::new("any", Vec::new()).kv_capacity;
    for n in 0..harness.engines.len() {
        assert_eq!(harness.state(n).await.load.kv_free, whole);
    }
}

/// The balancer's readiness check fails first, while requests are still accepted. Requests in
/// flight complete, the process exits with success, and the engines' KV caches are free again.
#[tokio::test]
async fn planned_stop_completes_requests_in_flight() {
    let shape = Shape {
        timing: "balancer_notice = \"4 s\"\nstate_poll = \"200 ms\"",
        ..Shape::default()
    };
    let mut harness = Harness::start(shape).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    harness.daemons[0].process.signal(Signal::TERM);
    harness
        .wait_until("the balancer's check fails", async || {
            harness.readyz_status(0).await == Some(503)
        })
        .await;
    let late = Streams::begin(&harness, 0, "late").await;
    streams.rest().await.assert_complete(&harness);
    late.rest().await.assert_complete(&harness);
    let status = harness.daemons[0].process.wait();
    assert_eq!(status.code(), Some(0));
    assert_engine_caches_are_free(&harness).await;
}

/// A second signal stops the daemon at once; streams end with an error that carries a verdict
/// instead of being cut.
#[tokio::test]
async fn second_signal_stops_at_once_and_reports_verdicts() {
    let shape = Shape {
        iteration_ms: 200,
        ..Shape::default()
    };
    let mut harness = Harness::start(shape).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    let process = &harness.daemons[0].process;
    process.signal(Signal::TERM);
    harness
        .wait_until("the balancer's check fails", async || {
            harness.readyz_status(0).await == Some(503)
        })
        .await;
    process.signal(Signal::TERM);
    for answer in streams.rest().await.answers {
        let End::Error(body) = answer.end else {
            panic!("not ended by an error: {:?}", answer.end);
        };
        assert_eq!(body.error.verdict, "may-have-run");
    }
    assert_eq!(harness.daemons[0].process.wait().code(), Some(0));
    assert_engine_caches_are_free(&harness).await;
}

/// Requests that outlast the balancer's notice still complete; new ones find the address closed and
/// do not run.
#[tokio::test]
async fn drain_waits_for_requests_in_flight_and_refuses_new_ones() {
    let shape = Shape {
        iteration_ms: 20,
        timing: "balancer_notice = \"50 ms\"\nstate_poll = \"200 ms\"",
        ..Shape::default()
    };
    let mut harness = Harness::start(shape).await;
    let streams = Streams::begin(&harness, 0, "kettle").await;
    harness.daemons[0].process.signal(Signal::TERM);
    harness
        .wait_until("the address is closed", async || {
            harness.caller(0).complete("new", 1).await.is_err()
        })
        .await;
    streams.rest().await.assert_complete(&harness);
    assert_eq!(harness.daemons[0].process.wait().code(), Some(0));
    assert_engine_caches_are_free(&harness).await;
}
