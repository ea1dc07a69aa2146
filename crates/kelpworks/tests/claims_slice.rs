//! The claims slice alone, beside the stand-in object API: budget, bounds, and peers.

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

type Answer = Result<KeyedReply, Error<&'static str>>;

/// Another daemon in the same process, asked directly.
#[derive(Clone, Default)]
struct Direct(Arc<Mutex<Option<Arc<Node>>>>);

type Node = Claims<HttpObjectApi, Direct>;

impl Peers for Direct {
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

struct Bench {
    api: ObjectApi,
    runs: Arc<AtomicUsize>,
}

impl Bench {
    async fn start() -> Bench {
        let api = ObjectApi::spawn(ObjectApiConfig::default()).await;
        Bench {
            api: api.expect("an object API"),
            runs: Arc::default(),
        }
    }

    fn node(&self, cfg: Config, peers: Direct) -> Arc<Node> {
        let api = HttpObjectApi::new(&self.api.url(), Deadlines::default()).expect("a URL");
        Arc::new(Claims::new(cfg, api, peers, TaskTracker::new()))
    }

    async fn call(&self, node: &Arc<Node>, key: &str, ran: Ran) -> Answer {
        let runs = Arc::clone(&self.runs);
        let run = async move || {
            runs.fetch_add(1, Ordering::Relaxed);
            ran
        };
        let claim = ClaimKey::new("team", "target", key, b"body");
        let deadline = Instant::now() + Duration::from_secs(10);
        node.run_once(claim, deadline, run).await
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }
}

type Ran = Result<Reply, RunError<&'static str>>;

fn failed(verdict: Verdict) -> Ran {
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
        // A write a daemon every 8 s: what comes back during a test is nothing.
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
async fn same_answer_again(#[case] body: &[u8], #[case] recorded: bool) {
    let bench = Bench::start().await;
    let cfg = Config {
        max_outcome_bytes: 1000,
        ..config(16)
    };
    let node = bench.node(cfg, Direct::default());
    let first = bench.call(&node, "k", Ok(reply(body))).await;
    assert!(first.is_ok_and(|k| !k.replayed && k.reply == reply(body)));
    let again = bench.call(&node, "k", Ok(reply(b"other"))).await;
    match again {
        Ok(kept) => assert!(recorded && kept.replayed && kept.reply == reply(body)),
        Err(e) => assert!(!recorded && matches!(e, Error::MayHaveRun { .. }), "{e:?}"),
    }
    assert_eq!(bench.runs(), 1);
}

/// How the first run fails; the answer to the repeat; runs; and claims left.
#[rstest]
#[case::not_run(Verdict::NotRun, true, 2)]
#[case::may_have_run(Verdict::MayHaveRun, false, 1)]
#[tokio::test]
async fn failed_run(#[case] verdict: Verdict, #[case] again: bool, #[case] runs: usize) {
    let bench = Bench::start().await;
    let node = bench.node(config(16), Direct::default());
    let first = bench.call(&node, "k", failed(verdict)).await;
    assert!(matches!(first, Err(Error::Failed(e)) if e.verdict == verdict));
    // The removal or the record of the claim follows the answer.
    settled(&bench, verdict).await;
    let second = bench.call(&node, "k", Ok(reply(b""))).await;
    assert_eq!(second.is_ok(), again, "{second:?}");
    assert_eq!(bench.runs(), runs);
}

async fn settled(bench: &Bench, verdict: Verdict) {
    let there = |left: &str| match verdict {
        Verdict::NotRun => left.is_empty(),
        Verdict::MayHaveRun => left.contains("may_have_run"),
    };
    let left = || {
        let claims = bench.api.list(CLAIM_KIND);
        claims.into_iter().map(|o| o.body).collect::<String>()
    };
    while !there(&left()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Calls offered at once with this burst, and those let run. Where replies are lost, writes are
/// repeated, out of the same budget.
#[rstest]
#[case::within(16, 8, None, 8)]
#[case::over(4, 10, None, 2)]
#[case::replies_lost(4, 10, Some(FaultKind::ResetAfter), 1)]
#[tokio::test]
async fn budget(
    #[case] burst: u64,
    #[case] offered: usize,
    #[case] fault: Option<FaultKind>,
    #[case] run: usize,
) {
    let bench = Bench::start().await;
    if let Some(kind) = fault {
        let put = Fault::always(kind).on("PUT /objects");
        bench.api.faults().add(put);
    }
    let node = bench.node(config(burst), Direct::default());
    for n in 0..offered {
        let got = bench.call(&node, &format!("k{n}"), Ok(reply(b""))).await;
        match got {
            Err(Error::Busy { retry_after }) => assert!(n >= run && !retry_after.is_zero()),
            got => assert!(n < run, "{got:?}"),
        }
    }
    let writes = bench.api.counts().writes;
    assert!(writes <= burst, "{writes}");
    assert_eq!(bench.runs(), run);
}

#[tokio::test]
async fn members_share_the_rate() {
    let bench = Bench::start().await;
    let node = bench.node(config(2), Direct::default());
    let mut waits = Vec::new();
    assert!(bench.call(&node, "k", Ok(reply(b""))).await.is_ok());
    for members in [1, 10] {
        node.set_members(members);
        let refused = bench.call(&node, "k", Ok(reply(b""))).await;
        let Err(Error::Busy { retry_after }) = refused else {
            panic!("{refused:?}");
        };
        waits.push(retry_after);
    }
    assert!(waits[1] > 5 * waits[0], "{waits:?}");
}

#[tokio::test]
async fn held_claims_are_bounded() {
    let bench = Bench::start().await;
    let cfg = Config {
        pending: 1,
        ..config(16)
    };
    let node = bench.node(cfg, Direct::default());
    let out = Fault::always(FaultKind::SilentBefore).on("PUT /objects");
    bench.api.faults().add(out);
    let first = bench.call(&node, "a", Ok(reply(b""))).await;
    assert!(matches!(first, Err(Error::Unavailable { .. })), "{first:?}");
    // Writes that are lost are not repeated for as long as the budget lasts, here 16.
    let writes = bench.api.counts().writes;
    assert!(writes <= 3, "{writes}");
    let second = bench.call(&node, "b", Ok(reply(b""))).await;
    assert!(matches!(second, Err(Error::Busy { .. })), "{second:?}");
    assert_eq!(bench.runs(), 0);
}

/// The create took effect, its reply was lost, and a read answers from before it.
#[tokio::test]
async fn read_back_is_stale() {
    let bench = Bench::start().await;
    let node = bench.node(config(16), Direct::default());
    let lost = Fault::once(FaultKind::ResetAfter).on("PUT /objects");
    bench.api.faults().add(lost);
    let stale = Fault::once(FaultKind::StaleRead).on("/objects");
    bench.api.faults().add(stale);
    let first = bench.call(&node, "k", Ok(reply(b"a"))).await;
    assert!(first.is_ok_and(|k| !k.replayed));
    assert!(bench.api.faults().list().is_empty());
    let again = bench.call(&node, "k", Ok(reply(b"b"))).await;
    assert!(again.is_ok_and(|k| k.replayed && k.reply == reply(b"a")));
    assert_eq!(bench.runs(), 1);
}

/// A claim that its holder gave up, and could not remove, is taken over through the holder's word.
#[tokio::test]
async fn given_up_claim_is_taken_over() {
    let bench = Bench::start().await;
    let holder = bench.node(Config::new("a"), Direct::default());
    let lost = Fault::once(FaultKind::ResetAfter).on("PUT /objects");
    let gets = Fault::always(FaultKind::Status(503)).on("GET /objects");
    bench.api.faults().add(lost);
    bench.api.faults().add(gets);
    let first = bench.call(&holder, "k", Ok(reply(b"a"))).await;
    assert!(matches!(first, Err(Error::Unavailable { .. })), "{first:?}");
    assert_eq!(bench.api.list(CLAIM_KIND).len(), 1);
    let peers = Direct::default();
    let other = bench.node(Config::new("b"), peers.clone());
    let unasked = bench.call(&other, "k", Ok(reply(b"b"))).await;
    assert!(
        matches!(unasked, Err(Error::MayHaveRun { .. })),
        "{unasked:?}"
    );
    *peers.0.lock().expect("no panic") = Some(holder);
    let second = bench.call(&other, "k", Ok(reply(b"b"))).await;
    assert!(second.is_ok_and(|k| k.reply == reply(b"b")));
    assert_eq!(bench.runs(), 1);
}

/// The claim of a running call is known to this incarnation only.
#[tokio::test]
async fn status_for_peers() {
    let bench = Bench::start().await;
    let node = bench.node(Config::new("a"), Direct::default());
    let next = Incarnation(node.incarnation().0 + 1);
    assert_eq!(node.status(next, Nonce(1)), None);
    let unknown = node.status(node.incarnation(), Nonce(1));
    assert_eq!(unknown, Some(PeerStatus::MayHaveRun));
}

/// The claim of a call that ran is gone, and nothing else tells that it ever was.
#[rstest]
#[case::another_daemon(false)]
#[case::the_daemon_that_ran_it(true)]
#[tokio::test]
async fn a_call_whose_claim_the_object_api_lost_does_not_run_again(#[case] same: bool) {
    let bench = Bench::start().await;
    let first = bench.node(config(16), Direct::default());
    let answer = bench.call(&first, "k", Ok(reply(b"done"))).await;
    assert!(answer.is_ok(), "{answer:?}");
    bench.api.restore();
    let second = match same {
        true => first,
        false => bench.node(config(16), Direct::default()),
    };
    for _ in 0..2 {
        let again = bench.call(&second, "k", Ok(reply(b"again"))).await;
        let refused = matches!(again, Err(Error::Unavailable { .. }));
        assert!(refused, "{again:?}");
    }
    assert_eq!(bench.runs(), 1);
    assert!(
        bench.api.list(CLAIM_KIND).is_empty(),
        "nothing is left behind"
    );
}
