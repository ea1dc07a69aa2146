//! Stages that fail under streamed answers: every answer ends whole and equal to the model
//! computed directly, no token repeated or changed, each layer run exactly once and in order.

mod caller;
mod path;
#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use futures_util::future::join_all;
use rstest::rstest;

use caller::End;
use caller::Streamed;
use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::Engine;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::Fence;
use kelpworks_wire::FinishReason;
use kelpworks_wire::HostState;
use kelpworks_wire::OrderAction;
use path::Bench;
use path::LAYERS;
use path::lineage::assert_exactly_once;

const STEPS: &str = "/v1/steps";
const ACTIVATIONS: &str = "/v1/activations";
const CANCEL: &str = "/v1/cancel";
/// Long enough that a stream is in the middle when it is struck.
const ITERATION: Duration = Duration::from_millis(2);
const MAX_TOKENS: u32 = 48;
const STREAMS: usize = 4;
/// More often than any test calls.
const FOR_GOOD: u32 = 1_000_000;

/// What befalls an engine.
#[derive(Clone, Debug)]
enum Blow {
    /// So many calls to a path fail in this way.
    Calls(&'static str, FaultKind, u32),
    /// Its connections fail, until the end of the test.
    Connections(ConnectionMode),
    /// It crashes and comes back without its memory.
    Crash,
    /// It says that it leaves.
    Drain,
    /// It changes to another version of the model.
    Version,
}

impl Blow {
    async fn strike(&self, engine: &Engine) {
        match self {
            Blow::Calls(path, kind, count) => {
                let fault = Fault::always(kind.clone()).on(path).times(*count);
                engine.faults().add(fault);
            }
            Blow::Connections(mode) => engine.faults().set_connection_mode(*mode),
            Blow::Crash => engine.crash(),
            Blow::Drain => engine.set_draining(true),
            Blow::Version => change_version(engine).await,
        }
    }
}

/// Orders an engine to drop what it holds and to load the same range of version 2.
async fn change_version(engine: &Engine) {
    let held = engine.state().loaded.remove(0);
    let mut next = held.clone();
    next.version = "2".to_owned();
    for action in [OrderAction::Unload(held), OrderAction::Load(next)] {
        let fence = Fence {
            lease: "placement-demo".to_owned(),
            token: 1,
        };
        let order = EngineOrder { action, fence };
        let url = format!("{}/v1/orders", engine.url());
        let sent = reqwest::Client::new().post(url).json(&order).send().await;
        assert!(sent.expect("the engine lives").status().is_success());
    }
}

fn prompt(n: usize) -> String {
    format!("a red kettle, shot {n}")
}

async fn begin(bench: &Bench) -> Vec<Streamed> {
    let caller = bench.caller(0);
    let mut streams = Vec::new();
    for n in 0..STREAMS {
        streams.push(
            caller
                .stream(&prompt(n), MAX_TOKENS)
                .await
                .expect("a stream"),
        );
    }
    for stream in &mut streams {
        stream.read_tokens(2).await;
    }
    streams
}

/// Reads the streams to their ends and checks them against the model and the ledgers.
async fn check(bench: &Bench, streams: Vec<Streamed>) {
    let answers = join_all(streams.into_iter().map(Streamed::rest)).await;
    for (n, answer) in answers.iter().enumerate() {
        let prompt = prompt(n);
        assert_eq!(answer.text, bench.model.answer_text(&prompt, MAX_TOKENS));
        assert_eq!(answer.end, End::Whole(FinishReason::Length), "{answer:?}");
        // The last token of an answer is not run.
        let positions = prompt.len() as u32 + MAX_TOKENS - 1;
        assert_exactly_once(&bench.fakes, &answer.request, LAYERS, positions);
    }
}

/// Asserts that what was to strike has struck.
fn assert_struck(engine: &Engine, blow: &Blow) {
    if let Blow::Calls(_, _, count) = blow {
        let left = engine.faults().list();
        assert!(
            left.iter().all(|f| f.count != Some(*count)),
            "never struck: {left:?}"
        );
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failing_stage_costs_no_answer(
    #[values(0, 1, 2)] stage: usize,
    #[values(
        Blow::Calls(STEPS, FaultKind::ResetBefore, 1),
        Blow::Calls(STEPS, FaultKind::ResetAfter, 2),
        Blow::Calls(STEPS, FaultKind::SilentBefore, 1),
        Blow::Calls(STEPS, FaultKind::SilentAfter, 2),
        Blow::Calls(STEPS, FaultKind::CutBody, 2),
        Blow::Calls(STEPS, FaultKind::Status(500), 2),
        Blow::Calls(STEPS, FaultKind::StatusAfter(500), 2),
        Blow::Calls(STEPS, FaultKind::DelayReply(150), 3),
        Blow::Calls(STEPS, FaultKind::DelayReply(1500), 3),
        Blow::Calls(STEPS, FaultKind::Delay(150), 3),
        Blow::Calls(STEPS, FaultKind::PreviousReply, 3),
        Blow::Calls(STEPS, FaultKind::OtherSession, 3),
        Blow::Calls(STEPS, FaultKind::WrongRange, 3),
        Blow::Calls(STEPS, FaultKind::Busy(20), 6),
        Blow::Connections(ConnectionMode::Refuse),
        Blow::Connections(ConnectionMode::SilenceExisting),
        Blow::Connections(ConnectionMode::SilenceAll),
        Blow::Crash,
        Blow::Drain,
        Blow::Version
    )]
    blow: Blow,
) {
    let bench = Bench::start(1, ITERATION).await;
    let streams = begin(&bench).await;
    let engine = bench.engine_of(&streams[0].request, stage);
    blow.strike(engine).await;
    check(&bench, streams).await;
    assert_struck(engine, &blow);
    if !matches!(blow, Blow::Connections(_)) {
        bench.until_free().await;
    }
}

/// The fetch of a stage's output by the next one fails.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failing_fetch_costs_no_answer(
    #[values(0, 1)] stage: usize,
    #[values(
        (FaultKind::ResetBefore, 2),
        (FaultKind::SilentBefore, 1),
        (FaultKind::SilentBefore, 6),
        (FaultKind::CutBody, 2),
        (FaultKind::Status(404), 2),
        (FaultKind::Status(500), 2),
        (FaultKind::DelayReply(150), 2),
        (FaultKind::ResetBefore, FOR_GOOD),
        (FaultKind::SilentBefore, FOR_GOOD),
        (FaultKind::Status(500), FOR_GOOD)
    )]
    fault: (FaultKind, u32),
) {
    let bench = Bench::start(1, ITERATION).await;
    let streams = begin(&bench).await;
    let engine = bench.engine_of(&streams[0].request, stage);
    let blow = Blow::Calls(ACTIVATIONS, fault.0, fault.1);
    blow.strike(engine).await;
    check(&bench, streams).await;
    assert_struck(engine, &blow);
    bench.until_free().await;
}

/// Connections that went silent while new ones work: the sessions go on where they are, as the
/// upstream is not to blame.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_moves_nobody(#[values(0, 1, 2)] stage: usize) {
    let bench = Bench::start(1, ITERATION).await;
    let streams = begin(&bench).await;
    let sessions: Vec<String> = streams.iter().map(|s| s.request.clone()).collect();
    let engine = bench.engine_of(&sessions[0], stage);
    engine
        .faults()
        .set_connection_mode(ConnectionMode::SilenceExisting);
    check(&bench, streams).await;
    for session in &sessions {
        let mut attempts: Vec<u32> = bench
            .fakes
            .runs_of(session)
            .iter()
            .map(|r| r.attempt)
            .collect();
        attempts.sort_unstable();
        attempts.dedup();
        assert_eq!(attempts.len(), path::STAGES as usize, "{attempts:?}");
    }
}

/// Two stages fail at the same time.
#[rstest]
#[case::crash_and_crash(Blow::Crash, Blow::Crash)]
#[case::silence_and_crash(Blow::Connections(ConnectionMode::SilenceAll), Blow::Crash)]
#[case::silence_and_silence(
    Blow::Connections(ConnectionMode::SilenceAll),
    Blow::Connections(ConnectionMode::SilenceAll)
)]
#[case::version_and_reset(Blow::Version, Blow::Calls(STEPS, FaultKind::ResetAfter, 4))]
#[case::drain_and_crash(Blow::Drain, Blow::Crash)]
#[case::swapped_and_lost(
    Blow::Calls(STEPS, FaultKind::PreviousReply, 8),
    Blow::Calls(STEPS, FaultKind::SilentAfter, 2)
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_failing_stages_cost_no_answer(
    #[values((0, 1), (1, 2), (2, 0))] stages: (usize, usize),
    #[case] first: Blow,
    #[case] second: Blow,
) {
    let bench = Bench::start(1, ITERATION).await;
    let streams = begin(&bench).await;
    let one = bench.engine_of(&streams[0].request, stages.0);
    let other = bench.engine_of(&streams[0].request, stages.1);
    first.strike(one).await;
    second.strike(other).await;
    check(&bench, streams).await;
}

/// Both replicas of a stage crash: the sessions wait for one to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_whole_stage_that_comes_back_costs_no_answer() {
    let bench = Bench::start(1, ITERATION).await;
    let streams = begin(&bench).await;
    for replica in 2..4 {
        bench.fakes.engines[replica].crash();
    }
    check(&bench, streams).await;
    bench.until_free().await;
}

/// All replicas of a stage leave: new requests are refused, the sessions on it finish there.
#[rstest]
#[case::host_list(true)]
#[case::itself(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_whole_stage_that_leaves_finishes_its_sessions(#[case] by_host_list: bool) {
    const LONG: u32 = 300;
    let bench = Bench::start(1, ITERATION).await;
    let caller = bench.caller(0);
    let mut stream = caller.stream("a long one", LONG).await.expect("a stream");
    stream.read_tokens(2).await;
    for engine in &bench.fakes.engines[2..4] {
        if by_host_list {
            let host_list = &bench.fakes.host_list;
            host_list.set_state(engine.name(), HostState::Leaving);
        } else {
            engine.set_draining(true);
        }
    }
    path::until("new requests are refused", async || {
        // One that was admitted before the daemon knew waits for a path.
        let answer = caller.complete("a new one", 1);
        let answer = tokio::time::timeout(Duration::from_millis(100), answer).await;
        let Ok(Ok(answer)) = answer else { return false };
        matches!(answer.end, End::Error(body) if body.error.verdict == "not-run")
    })
    .await;
    let seen = stream.text.len() / 4;
    assert!(seen < LONG as usize, "still under way");
    let answer = stream.rest().await;
    assert_eq!(answer.text, bench.model.answer_text("a long one", LONG));
}

/// A lost call to free memory is made again.
#[rstest]
#[case::reset(FaultKind::ResetBefore, 1)]
#[case::silent(FaultKind::SilentBefore, 1)]
#[case::refused(FaultKind::Status(503), 1)]
#[case::reset_for_longer(FaultKind::ResetBefore, 5)]
#[case::refused_for_longer(FaultKind::Status(503), 5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_cancel_leaks_no_memory(#[case] kind: FaultKind, #[case] count: u32) {
    let bench = Bench::start(1, ITERATION).await;
    let streams = begin(&bench).await;
    let engine = bench.engine_of(&streams[0].request, 1);
    let blow = Blow::Calls(CANCEL, kind, count);
    blow.strike(engine).await;
    check(&bench, streams).await;
    bench.until_free().await;
    assert_struck(engine, &blow);
}

/// A caller that goes away takes its sessions with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vanished_caller_frees_its_stages() {
    let bench = Bench::start(1, ITERATION).await;
    let streams = begin(&bench).await;
    assert!(bench.fakes.engines.iter().any(|e| e.sessions() > 0));
    drop(streams);
    bench.until_free().await;
    let whole = bench.caller(0);
    let pending = whole.complete("a long one", 4000);
    let gone = tokio::time::timeout(Duration::from_millis(100), pending).await;
    assert!(gone.is_err(), "the answer was still under way");
    bench.until_free().await;
}
