//! Requests that crash upstreams, with daemons that exchange facts over real peer connections.

mod poison;
#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use rstest::rstest;

use poison::Bench;
use poison::harmless_prompt;

const POISON_PROMPT: &str = "a poison mug";
const MAX_TOKENS: u32 = 24;
const HARMLESS_CALLERS: usize = 24;
const DAEMONS: usize = 3;
const REPLICAS: u32 = 6;
/// Steps after which the harmless requests load all engines.
const WARM_UP_STEPS: u64 = 100;
/// Time from a crash of an engine to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The poison request is sent to the daemons of `sent_to` one after another, each right after the
/// previous answer: sooner than the next heartbeat, which comes after up to a second.
#[rstest]
#[case::round(&[0, 1, 2, 0])]
#[case::back(&[2, 1, 0, 2])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn poison_request_to_each_daemon_crashes_two_upstreams(#[case] sent_to: &[usize]) {
    let bench = Bench::start_daemons(DAEMONS, REPLICAS, RESTART_DELAY).await;
    bench.wait_until_all_peers_live().await;
    let harmless_callers = bench.spawn_harmless_callers(HARMLESS_CALLERS, MAX_TOKENS);
    bench.wait_for_steps(WARM_UP_STEPS).await;
    let first = bench.ask(sent_to[0], POISON_PROMPT, MAX_TOKENS).await;
    assert_eq!(bench.crashes(), 2);
    assert_eq!(first.verdict.as_deref(), Some("may-have-run"), "{first:?}");
    for &daemon in &sent_to[1..] {
        // When the first caller has its answer, the report of the refusal may still be in transit;
        // the report of the suspicion has arrived.
        let reply = bench
            .ask_until_judged(daemon, POISON_PROMPT, MAX_TOKENS)
            .await;
        assert_eq!(reply.status, 422, "{reply:?}");
        assert_eq!(reply.verdict.as_deref(), Some("not-run"));
        assert_eq!(reply.body["error"]["type"], "quarantined");
        assert!(reply.retry_after.is_some_and(|s| (200..=300).contains(&s)));
    }
    bench
        .assert_all_answered(harmless_callers, MAX_TOKENS)
        .await;
    assert_eq!(bench.crashes(), 2);
}

/// A daemon drops its suspicion of a request once the daemon that ran it in isolation clears it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn suspects_of_unrelated_crash_are_cleared_on_each_daemon() {
    let bench = Bench::start_daemons(DAEMONS, REPLICAS, RESTART_DELAY).await;
    bench.wait_until_all_peers_live().await;
    let harmless_callers = bench.spawn_harmless_callers(HARMLESS_CALLERS, MAX_TOKENS);
    bench.wait_for_steps(WARM_UP_STEPS).await;
    bench.fakes.engine("engine-0-0").expect("a host").crash();
    bench
        .assert_all_answered(harmless_callers, MAX_TOKENS)
        .await;
    for n in 0..HARMLESS_CALLERS {
        let prompt = harmless_prompt(n);
        let expected = bench.model.answer_text(&prompt, 1);
        for daemon in 0..DAEMONS {
            let again = bench.ask_until_judged(daemon, &prompt, 1).await;
            assert_eq!(again.text(), expected, "{again:?}");
        }
    }
    assert_eq!(bench.crashes(), 1);
}
