//! Requests that crash upstreams, over daemons that tell each other as peers do.

mod poison;
#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use rstest::rstest;

use poison::Bench;
use poison::innocent;

const POISON: &str = "a poison mug";
const TOKENS: u32 = 24;
const INNOCENTS: usize = 24;
const DAEMONS: usize = 3;
const REPLICAS: u32 = 6;
/// Steps after which the load is well under way.
const UNDER_WAY: u64 = 100;
/// Time from a crash to the restart.
const RESTART: Duration = Duration::from_millis(500);

/// Daemons that the caller of the poison request sends it to, one after another, at once after
/// each answer: sooner than the next heartbeat, which comes after up to a second.
#[rstest]
#[case::round(&[0, 1, 2, 0])]
#[case::back(&[2, 1, 0, 2])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn poison_sent_to_each_daemon_costs_two_upstreams(#[case] sent_to: &[usize]) {
    let bench = Bench::start_daemons(DAEMONS, REPLICAS, RESTART).await;
    bench.all_met().await;
    let innocents = bench.innocents(INNOCENTS, TOKENS);
    bench.steps_run(UNDER_WAY).await;
    let first = bench.ask(sent_to[0], POISON, TOKENS).await;
    assert_eq!(bench.crashes(), 2);
    assert_eq!(first.verdict.as_deref(), Some("may-have-run"), "{first:?}");
    for &daemon in &sent_to[1..] {
        // The news of the refusal may be on its way when the first caller has its answer; that of
        // the suspicion has come before.
        let reply = bench.ask_judged(daemon, POISON, TOKENS).await;
        assert_eq!(reply.status, 422, "{reply:?}");
        assert_eq!(reply.verdict.as_deref(), Some("not-run"));
        assert_eq!(reply.body["error"]["type"], "quarantined");
        assert!(reply.retry_after.is_some_and(|s| (200..=300).contains(&s)));
    }
    bench.all_answered(innocents, TOKENS).await;
    assert_eq!(bench.crashes(), 2);
}

/// A daemon forgets its suspicion of a request as soon as the one that ran it apart has cleared it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn innocents_of_a_crash_are_cleared_on_each_daemon() {
    let bench = Bench::start_daemons(DAEMONS, REPLICAS, RESTART).await;
    bench.all_met().await;
    let innocents = bench.innocents(INNOCENTS, TOKENS);
    bench.steps_run(UNDER_WAY).await;
    bench.fakes.engine("engine-0-0").expect("a host").crash();
    bench.all_answered(innocents, TOKENS).await;
    for n in 0..INNOCENTS {
        let prompt = innocent(n);
        let expected = bench.model.answer_text(&prompt, 1);
        for daemon in 0..DAEMONS {
            let again = bench.ask_judged(daemon, &prompt, 1).await;
            assert_eq!(again.text(), expected, "{again:?}");
        }
    }
    assert_eq!(bench.crashes(), 1);
}
