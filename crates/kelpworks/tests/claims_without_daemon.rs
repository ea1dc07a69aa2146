//! [`Claims`] without a daemon, on the fake object API: write budget, limits, and status queries
//! between peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use kelpworks::claims::CLAIM_KIND;
use kelpworks::claims::ClaimKey;
use kelpworks::claims::Claims;
use kelpworks::claims::Config;
use kelpworks::claims::Error;
use kelpworks::claims::Header;
use kelpworks::claims::KeyedReply;
use kelpworks::claims::Peers;
use kelpworks::claims::Reply;
use kelpworks::claims::RunError;
use kelpworks::clients::object_api::Deadlines;
use kelpworks::clients::object_api::HttpObjectApi;
use kelpworks::verdict::Verdict;
use kelpworks_coord::claim::PeerStatus;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Nonce;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use kelpworks_fakes::ObjectApi;
use kelpworks_fakes::ObjectApiConfig;

type CallResult = Result<KeyedReply, Error<&'static str>>;

/// A peer in the same process, queried by a method call. Without one, queries are not answered.
#[derive(Clone, Default)]
struct InProcessPeer(Arc<Mutex<Option<Arc<Node>>>>);

type Node = Claims<HttpObjectApi, InProcessPeer>;

impl Peers for InProcessPeer {
    async fn claim_status(
        &self,
        _holder: NodeId,
        incarnation: Incarnation,
        nonce: Nonce,
    ) -> Option<PeerStatus> {
        let peer = self.0.lock().expect("no panic").clone()?;
        peer.status(incarnation, nonce)
    }
}

struct TestBed {
    api: ObjectApi,
    runs: Arc<AtomicUsize>,
}

impl TestBed {
    async fn start() -> TestBed {
        let api = ObjectApi::spawn(ObjectApiConfig::default()).await;
        TestBed {
            api: api.expect("an object API"),
            runs: Arc::default(),
        }
    }

    fn node(&self, cfg: Config, peers: InProcessPeer) -> Arc<Node> {
        let api = HttpObjectApi::new(&self.api.url(), Deadlines::default()).expect("a URL");
        Arc::new(Claims::new(cfg, api, peers, TaskTracker::new()))
    }

    async fn call(&self, node: &Arc<Node>, key: &str, outcome: RunOutcome) -> CallResult {
        let runs = Arc::clone(&self.runs);
        let run = async move || {
            runs.fetch_add(1, Ordering::Relaxed);
            outcome
        };
        let claim = ClaimKey::new("team", "target", key, b"body");
        let deadline = Instant::now() + Duration::from_secs(10);
        node.run_once(claim, deadline, run).await
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }
}

type RunOutcome = Result<Reply, RunError<&'static str>>;

fn failed(verdict: Verdict) -> RunOutcome {
    let cause = "cause";
    Err(RunError { verdict, cause })
}

fn reply(body: &[u8]) -> Reply {
    Reply {
        status: 201,
        headers: vec![Header {
            name: "etag".to_owned(),
            value: "\"1\"".to_owned(),
        }],
        body: body.to_vec().into(),
    }
}

fn config(burst: u64) -> Config {
    Config {
        burst,
        // Refills one write per daemon in 8 s, so the budget doesn't recover during a test.
        writes_per_second: 1,
        ..Config::new("daemon")
    }
}

#[rstest]
#[case::text(b"visit 17", true)]
#[case::quotes_and_lines(b"{\"a\":\"\\n\"}\n", true)]
#[case::not_text(&[0, 159, 255], true)]
#[case::empty(b"", true)]
#[case::too_large(&[b'x'; 2000], false)]
#[tokio::test]
async fn recorded_outcome_is_replayed(#[case] body: &[u8], #[case] is_recorded: bool) {
    let bed = TestBed::start().await;
    let cfg = Config {
        max_outcome_bytes: 1000,
        ..config(16)
    };
    let node = bed.node(cfg, InProcessPeer::default());
    let first = bed.call(&node, "k", Ok(reply(body))).await;
    assert!(first.is_ok_and(|k| !k.replayed && k.reply == reply(body)));
    let again = bed.call(&node, "k", Ok(reply(b"other"))).await;
    match again {
        Ok(keyed_reply) => {
            assert!(is_recorded && keyed_reply.replayed && keyed_reply.reply == reply(body))
        }
        Err(e) => assert!(
            !is_recorded && matches!(e, Error::MayHaveRun { .. }),
            "{e:?}"
        ),
    }
    assert_eq!(bed.runs(), 1);
}

/// Cases: verdict of the failed first run, whether a retry runs, number of runs.
#[rstest]
#[case::not_run(Verdict::NotRun, true, 2)]
#[case::may_have_run(Verdict::MayHaveRun, false, 1)]
#[tokio::test]
async fn retry_after_failed_run_follows_its_verdict(
    #[case] verdict: Verdict,
    #[case] runs_again: bool,
    #[case] runs: usize,
) {
    let bed = TestBed::start().await;
    let node = bed.node(config(16), InProcessPeer::default());
    let first = bed.call(&node, "k", failed(verdict)).await;
    assert!(matches!(first, Err(Error::Failed(e)) if e.verdict == verdict));
    // The claim is removed or updated after the answer.
    wait_for_claim_update(&bed, verdict).await;
    let second = bed.call(&node, "k", Ok(reply(b""))).await;
    assert_eq!(second.is_ok(), runs_again, "{second:?}");
    assert_eq!(bed.runs(), runs);
}

async fn wait_for_claim_update(bed: &TestBed, verdict: Verdict) {
    let is_updated = |bodies: &str| match verdict {
        Verdict::NotRun => bodies.is_empty(),
        Verdict::MayHaveRun => bodies.contains("may_have_run"),
    };
    let claim_bodies = || {
        let claims = bed.api.list(CLAIM_KIND);
        claims.into_iter().map(|o| o.body).collect::<String>()
    };
    while !is_updated(&claim_bodies()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Cases: burst of the write budget, number of calls, fault of writes, number of calls that run. If
/// replies are lost, writes are retried from the same budget.
#[rstest]
#[case::within(16, 8, None, 8)]
#[case::over(4, 10, None, 2)]
#[case::replies_lost(4, 10, Some(FaultKind::ResetAfter), 1)]
#[tokio::test]
async fn calls_over_claim_write_budget_are_refused(
    #[case] burst: u64,
    #[case] offered: usize,
    #[case] fault: Option<FaultKind>,
    #[case] expected_runs: usize,
) {
    let bed = TestBed::start().await;
    if let Some(kind) = fault {
        let put = Fault::always(kind).on("PUT /objects");
        bed.api.faults().add(put);
    }
    let node = bed.node(config(burst), InProcessPeer::default());
    for n in 0..offered {
        let got = bed.call(&node, &format!("k{n}"), Ok(reply(b""))).await;
        match got {
            Err(Error::Busy { retry_after }) => {
                assert!(n >= expected_runs && !retry_after.is_zero())
            }
            got => assert!(n < expected_runs, "{got:?}"),
        }
    }
    let writes = bed.api.counts().writes;
    assert!(writes <= burst, "{writes}");
    assert_eq!(bed.runs(), expected_runs);
}

#[tokio::test]
async fn claim_write_rate_is_divided_by_members() {
    let bed = TestBed::start().await;
    let node = bed.node(config(2), InProcessPeer::default());
    let mut waits = Vec::new();
    assert!(bed.call(&node, "k", Ok(reply(b""))).await.is_ok());
    for members in [1, 10] {
        node.set_members(members);
        let refused = bed.call(&node, "k", Ok(reply(b""))).await;
        let Err(Error::Busy { retry_after }) = refused else {
            panic!("{refused:?}");
        };
        waits.push(retry_after);
    }
    assert!(waits[1] > 5 * waits[0], "{waits:?}");
}

#[tokio::test]
async fn pending_claims_are_limited() {
    let bed = TestBed::start().await;
    let cfg = Config {
        pending: 1,
        ..config(16)
    };
    let node = bed.node(cfg, InProcessPeer::default());
    let unavailable = Fault::always(FaultKind::SilentBefore).on("PUT /objects");
    bed.api.faults().add(unavailable);
    let first = bed.call(&node, "a", Ok(reply(b""))).await;
    assert!(matches!(first, Err(Error::Unavailable { .. })), "{first:?}");
    // Lost writes are not retried until the budget of 16 is used up.
    let writes = bed.api.counts().writes;
    assert!(writes <= 3, "{writes}");
    let second = bed.call(&node, "b", Ok(reply(b""))).await;
    assert!(matches!(second, Err(Error::Busy { .. })), "{second:?}");
    assert_eq!(bed.runs(), 0);
}

/// The claim is created, its reply is lost, and the read that follows returns the state before it.
#[tokio::test]
async fn stale_read_after_lost_create_still_runs_once() {
    let bed = TestBed::start().await;
    let node = bed.node(config(16), InProcessPeer::default());
    let lost = Fault::once(FaultKind::ResetAfter).on("PUT /objects");
    bed.api.faults().add(lost);
    let stale = Fault::once(FaultKind::StaleRead).on("/objects");
    bed.api.faults().add(stale);
    let first = bed.call(&node, "k", Ok(reply(b"a"))).await;
    assert!(first.is_ok_and(|k| !k.replayed));
    assert!(bed.api.faults().list().is_empty());
    let again = bed.call(&node, "k", Ok(reply(b"b"))).await;
    assert!(again.is_ok_and(|k| k.replayed && k.reply == reply(b"a")));
    assert_eq!(bed.runs(), 1);
}

/// The holder abandoned the claim but could not remove it. Another daemon takes it over only after
/// the holder has confirmed that the call did not run.
#[tokio::test]
async fn abandoned_claim_is_taken_over_once_its_holder_confirms() {
    let bed = TestBed::start().await;
    let holder = bed.node(Config::new("a"), InProcessPeer::default());
    let lost = Fault::once(FaultKind::ResetAfter).on("PUT /objects");
    let gets = Fault::always(FaultKind::Status(503)).on("GET /objects");
    bed.api.faults().add(lost);
    bed.api.faults().add(gets);
    let first = bed.call(&holder, "k", Ok(reply(b"a"))).await;
    assert!(matches!(first, Err(Error::Unavailable { .. })), "{first:?}");
    assert_eq!(bed.api.list(CLAIM_KIND).len(), 1);
    let peers = InProcessPeer::default();
    let other = bed.node(Config::new("b"), peers.clone());
    let without_peer = bed.call(&other, "k", Ok(reply(b"b"))).await;
    assert!(
        matches!(without_peer, Err(Error::MayHaveRun { .. })),
        "{without_peer:?}"
    );
    *peers.0.lock().expect("no panic") = Some(holder);
    let second = bed.call(&other, "k", Ok(reply(b"b"))).await;
    assert!(second.is_ok_and(|k| k.reply == reply(b"b")));
    assert_eq!(bed.runs(), 1);
}

/// A query for another incarnation gets no answer; a query for an unknown claim of this incarnation
/// is answered as may-have-run.
#[tokio::test]
async fn claim_status_is_answered_for_own_incarnation_only() {
    let bed = TestBed::start().await;
    let node = bed.node(Config::new("a"), InProcessPeer::default());
    let next = Incarnation(node.incarnation().0 + 1);
    assert_eq!(node.status(next, Nonce(1)), None);
    let unknown = node.status(node.incarnation(), Nonce(1));
    assert_eq!(unknown, Some(PeerStatus::MayHaveRun));
}

/// The object API is restored from a backup and the claim of a call that ran is lost. No other
/// record of the call exists, so a retry must be refused.
#[rstest]
#[case::another_daemon(false)]
#[case::the_daemon_that_ran_it(true)]
#[tokio::test]
async fn call_whose_claim_was_lost_by_restore_is_refused(#[case] same_daemon: bool) {
    let bed = TestBed::start().await;
    let first = bed.node(config(16), InProcessPeer::default());
    let answer = bed.call(&first, "k", Ok(reply(b"done"))).await;
    assert!(answer.is_ok(), "{answer:?}");
    bed.api.restore();
    let second = match same_daemon {
        true => first,
        false => bed.node(config(16), InProcessPeer::default()),
    };
    for _ in 0..2 {
        let again = bed.call(&second, "k", Ok(reply(b"again"))).await;
        let refused = matches!(again, Err(Error::Unavailable { .. }));
        assert!(refused, "{again:?}");
    }
    assert_eq!(bed.runs(), 1);
    assert!(
        bed.api.list(CLAIM_KIND).is_empty(),
        "no claim object is left"
    );
}
