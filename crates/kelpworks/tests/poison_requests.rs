//! A request that crashes each upstream that runs it, between innocent ones and over its repeats.

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
use poison::all_cleared;
use poison::refused;

const POISON: &str = "a poison mug";
const TOKENS: u32 = 24;
const INNOCENTS: usize = 24;
/// Steps after which the load is well under way.
const UNDER_WAY: u64 = 100;

/// Time from a crash to the restart.
const RESTART: Duration = Duration::from_millis(500);

/// Daemons that the caller of the poison request sends it to, one after another.
#[rstest]
#[case::same_daemon(&[0, 0, 0, 0], RESTART)]
#[case::other_daemon(&[0, 1, 1, 0], RESTART)]
#[case::engines_back_at_once(&[0, 1, 1, 0], Duration::ZERO)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn poison_costs_two_upstreams(#[case] sent_to: &[usize], #[case] restart: Duration) {
    let bench = Bench::start(4, restart).await;
    bench.join_daemons();
    let innocents = bench.innocents(INNOCENTS, TOKENS);
    bench.steps_run(UNDER_WAY).await;
    let mut replies = Vec::new();
    for &daemon in sent_to {
        replies.push(bench.ask(daemon, POISON, TOKENS).await);
    }
    bench.all_answered(innocents, TOKENS).await;
    assert_eq!(bench.crashes(), 2);
    for (n, reply) in replies.iter().enumerate() {
        let verdict = if n == 0 { "may-have-run" } else { "not-run" };
        assert_eq!(reply.status, 422, "{reply:?}");
        assert_eq!(reply.verdict.as_deref(), Some(verdict));
        assert_eq!(reply.body["error"]["type"], "quarantined");
        assert!(reply.retry_after.is_some_and(|s| (200..=300).contains(&s)));
    }
}

/// Copies sent at once: each may be in flight before the first crash is known, and one turn follows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn copies_at_once_cost_one_more() {
    let bench = Bench::start(4, RESTART).await;
    bench.join_daemons();
    let innocents = bench.innocents(INNOCENTS, TOKENS);
    bench.steps_run(UNDER_WAY).await;
    let one = bench.ask(0, POISON, TOKENS);
    let other = bench.ask(1, POISON, TOKENS);
    let (one, other) = tokio::join!(one, other);
    bench.all_answered(innocents, TOKENS).await;
    assert!((2..=3).contains(&bench.crashes()), "{}", bench.crashes());
    for reply in [one, other] {
        let kind = reply.body["error"]["type"].as_str().expect("an error");
        // The second is under test where it came after the news of the first's crash.
        assert!(["quarantined", "under_test"].contains(&kind), "{reply:?}");
    }
    let again = bench.ask(1, POISON, TOKENS).await;
    assert_eq!(again.body["error"]["type"], "quarantined");
}

/// Hosts that crash for reasons of their own: every caller gets its answer, nobody is refused.
#[rstest]
#[case::first_stage(&["engine-0-0"])]
#[case::last_stage(&["engine-1-1"])]
#[case::two_in_turn(&["engine-0-0", "engine-0-1"])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_crash_quarantines_nobody(#[case] hosts: &[&str]) {
    let bench = Bench::start(3, RESTART).await;
    bench.join_daemons();
    let mut facts = bench.daemons.iter().map(|d| d.quarantine().subscribe());
    let mut facts: Vec<_> = facts.by_ref().collect();
    let innocents = bench.innocents(INNOCENTS, TOKENS);
    for (n, host) in hosts.iter().enumerate() {
        bench.steps_run(UNDER_WAY * 3 * (n as u64 + 1)).await;
        // A crash in a suspect's turn is held against it, so the next host waits for the turns.
        for facts in &mut facts {
            all_cleared(facts).await;
        }
        bench.fakes.engine(host).expect("a host").crash();
    }
    bench.all_answered(innocents, TOKENS).await;
    assert_eq!(bench.crashes(), hosts.len() as u64);
    assert_eq!(facts.iter_mut().map(refused).sum::<usize>(), 0);
    let again = bench.innocents(INNOCENTS, TOKENS);
    bench.all_answered(again, TOKENS).await;
}

const SUSPECT: Statement = Statement::Suspect {
    upstream: UpstreamId(1),
    remaining: Duration::from_secs(300),
};
const REFUSED: Statement = Statement::Refused {
    remaining: Duration::from_secs(300),
};

/// What a caller gets at once after facts of another daemon, and when it is to come back.
#[rstest]
#[case::nothing_known(&[], 200, None)]
#[case::under_test(&[SUSPECT], 503, Some(1))]
#[case::cleared(&[SUSPECT, Statement::Cleared], 200, None)]
#[case::refused(&[SUSPECT, REFUSED], 422, Some(300))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn facts_of_others_count(
    #[case] statements: &[Statement],
    #[case] status: u16,
    #[case] retry_after: Option<u64>,
) {
    let bench = Bench::start(1, RESTART).await;
    for &statement in statements {
        bench.daemons[0].quarantine().apply_fact(Fact {
            by: NodeId(1),
            fingerprint: fingerprint("studio", "caption", "a mug"),
            statement,
        });
    }
    let reply = bench.ask(0, "a mug", TOKENS).await;
    assert_eq!(reply.status, status, "{reply:?}");
    assert_eq!(reply.retry_after, retry_after);
    let refused = retry_after.map(|_| "not-run");
    assert_eq!(reply.verdict.as_deref(), refused);
    let other = bench.ask(0, "another mug", TOKENS).await;
    assert_eq!(other.status, 200);
}
