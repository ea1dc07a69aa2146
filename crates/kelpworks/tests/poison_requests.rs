//! A poison request, which crashes each upstream that runs it, sent repeatedly among harmless
//! requests.

mod poison;
#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use rstest::rstest;

use kelpworks::quarantine::Fact;
use kelpworks::quarantine::Statement;
use kelpworks::quarantine::fingerprint;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::UpstreamId;
use poison::Bench;
use poison::count_refused;
use poison::wait_until_suspects_cleared;

const POISON_PROMPT: &str = "a poison mug";
const MAX_TOKENS: u32 = 24;
const HARMLESS_CALLERS: usize = 24;
/// Steps after which the harmless requests load all engines.
const WARM_UP_STEPS: u64 = 100;

/// Time from a crash of an engine to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The poison request is sent to the daemons of `sent_to`, one after another.
#[rstest]
#[case::same_daemon(&[0, 0, 0, 0], RESTART_DELAY)]
#[case::other_daemon(&[0, 1, 1, 0], RESTART_DELAY)]
#[case::engines_back_at_once(&[0, 1, 1, 0], Duration::ZERO)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn poison_request_crashes_two_upstreams(
    #[case] sent_to: &[usize],
    #[case] restart: Duration,
) {
    let bench = Bench::start(4, restart).await;
    bench.forward_facts();
    let harmless_callers = bench.spawn_harmless_callers(HARMLESS_CALLERS, MAX_TOKENS);
    bench.wait_for_steps(WARM_UP_STEPS).await;
    let mut replies = Vec::new();
    for &daemon in sent_to {
        replies.push(bench.ask(daemon, POISON_PROMPT, MAX_TOKENS).await);
    }
    bench
        .assert_all_answered(harmless_callers, MAX_TOKENS)
        .await;
    assert_eq!(bench.crashes(), 2);
    for (n, reply) in replies.iter().enumerate() {
        let verdict = if n == 0 { "may-have-run" } else { "not-run" };
        assert_eq!(reply.status, 422, "{reply:?}");
        assert_eq!(reply.verdict.as_deref(), Some(verdict));
        assert_eq!(reply.body["error"]["type"], "quarantined");
        assert!(reply.retry_after.is_some_and(|s| (200..=300).contains(&s)));
    }
}

/// Two concurrent copies may both be in flight before the first crash is known, and one isolated
/// run follows: at most three upstreams crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_poison_copies_crash_at_most_three_upstreams() {
    let bench = Bench::start(4, RESTART_DELAY).await;
    bench.forward_facts();
    let harmless_callers = bench.spawn_harmless_callers(HARMLESS_CALLERS, MAX_TOKENS);
    bench.wait_for_steps(WARM_UP_STEPS).await;
    let one = bench.ask(0, POISON_PROMPT, MAX_TOKENS);
    let other = bench.ask(1, POISON_PROMPT, MAX_TOKENS);
    let (one, other) = tokio::join!(one, other);
    bench
        .assert_all_answered(harmless_callers, MAX_TOKENS)
        .await;
    assert!((2..=3).contains(&bench.crashes()), "{}", bench.crashes());
    for reply in [one, other] {
        let kind = reply.body["error"]["type"].as_str().expect("an error");
        // The second copy is under test if it arrived after the report of the first one's crash.
        assert!(["quarantined", "under_test"].contains(&kind), "{reply:?}");
    }
    let again = bench.ask(1, POISON_PROMPT, MAX_TOKENS).await;
    assert_eq!(again.body["error"]["type"], "quarantined");
}

/// Hosts crash for reasons unrelated to any request: every caller gets its answer, and no request
/// is refused.
#[rstest]
#[case::first_stage(&["engine-0-0"])]
#[case::last_stage(&["engine-1-1"])]
#[case::two_in_turn(&["engine-0-0", "engine-0-1"])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_crash_quarantines_no_request(#[case] hosts: &[&str]) {
    let bench = Bench::start(3, RESTART_DELAY).await;
    bench.forward_facts();
    let mut facts = bench.daemons.iter().map(|d| d.quarantine().subscribe());
    let mut facts: Vec<_> = facts.by_ref().collect();
    let harmless_callers = bench.spawn_harmless_callers(HARMLESS_CALLERS, MAX_TOKENS);
    for (n, host) in hosts.iter().enumerate() {
        bench
            .wait_for_steps(WARM_UP_STEPS * 3 * (n as u64 + 1))
            .await;
        // A crash during the isolated run of a suspect is attributed to the suspect, so the next
        // host crashes only after all suspects are cleared.
        for facts in &mut facts {
            wait_until_suspects_cleared(facts).await;
        }
        bench.fakes.engine(host).expect("a host").crash();
    }
    bench
        .assert_all_answered(harmless_callers, MAX_TOKENS)
        .await;
    assert_eq!(bench.crashes(), hosts.len() as u64);
    assert_eq!(facts.iter_mut().map(count_refused).sum::<usize>(), 0);
    let again = bench.spawn_harmless_callers(HARMLESS_CALLERS, MAX_TOKENS);
    bench.assert_all_answered(again, MAX_TOKENS).await;
}

const SUSPECT: Statement = Statement::Suspect {
    upstream: UpstreamId(1),
    remaining: Duration::from_secs(300),
};
const REFUSED: Statement = Statement::Refused {
    remaining: Duration::from_secs(300),
};

/// Status and `retry-after` of a request right after facts of another daemon about it.
#[rstest]
#[case::nothing_known(&[], 200, None)]
#[case::under_test(&[SUSPECT], 503, Some(1))]
#[case::cleared(&[SUSPECT, Statement::Cleared], 200, None)]
#[case::refused(&[SUSPECT, REFUSED], 422, Some(300))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn facts_from_peer_decide_admission(
    #[case] statements: &[Statement],
    #[case] status: u16,
    #[case] retry_after: Option<u64>,
) {
    let bench = Bench::start(1, RESTART_DELAY).await;
    for &statement in statements {
        bench.daemons[0].quarantine().apply_fact(Fact {
            by: NodeId(1),
            fingerprint: fingerprint("studio", "caption", "a mug"),
            statement,
        });
    }
    let reply = bench.ask(0, "a mug", MAX_TOKENS).await;
    assert_eq!(reply.status, status, "{reply:?}");
    assert_eq!(reply.retry_after, retry_after);
    let refused = retry_after.map(|_| "not-run");
    assert_eq!(reply.verdict.as_deref(), refused);
    let other = bench.ask(0, "another mug", MAX_TOKENS).await;
    assert_eq!(other.status, 200);
}
