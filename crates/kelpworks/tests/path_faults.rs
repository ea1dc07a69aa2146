//! Faults of engines while answers stream: every answer completes and equals the output of the
//! model computed directly, no token is repeated or changed, and each layer runs exactly once, in
//! order.

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
/// Long enough that streams are still in progress when the fault is injected.
const ITERATION_TIME: Duration = Duration::from_millis(2);
const MAX_TOKENS: u32 = 48;
const STREAMS: usize = 4;
/// Fault count that exceeds the number of calls in any test.
const EVERY_CALL: u32 = 1_000_000;

/// A fault that a test injects into an engine.
#[derive(Clone, Debug)]
enum InjectedFault {
    /// The next calls to an HTTP path fail in this way; the number is their count.
    Calls(&'static str, FaultKind, u32),
    /// Connections to the engine fail until the end of the test.
    Connections(ConnectionMode),
    /// The engine crashes and restarts without its memory.
    Crash,
    /// The engine reports that it is draining.
    Drain,
    /// The engine unloads the model and loads version 2.
    Version,
}

impl InjectedFault {
    async fn inject(&self, engine: &Engine) {
        match self {
            InjectedFault::Calls(path, kind, count) => {
                let call_fault = Fault::always(kind.clone()).on(path).times(*count);
                engine.faults().add(call_fault);
            }
            InjectedFault::Connections(mode) => engine.faults().set_connection_mode(*mode),
            InjectedFault::Crash => engine.crash(),
            InjectedFault::Drain => engine.set_draining(true),
            InjectedFault::Version => change_version(engine).await,
        }
    }
}

/// Orders an engine to unload its layers and to load the same range of version 2.
async fn change_version(engine: &Engine) {
    let loaded = engine.state().loaded.remove(0);
    let mut next = loaded.clone();
    next.version = "2".to_owned();
    for action in [OrderAction::Unload(loaded), OrderAction::Load(next)] {
        let fence = Fence {
            lease: "placement-demo".to_owned(),
            token: 1,
        };
        let order = EngineOrder { action, fence };
        let url = format!("{}/v1/orders", engine.url());
        let sent = reqwest::Client::new().post(url).json(&order).send().await;
        assert!(
            sent.expect("the engine answers the order")
                .status()
                .is_success()
        );
    }
}

fn prompt(n: usize) -> String {
    format!("a red kettle, shot {n}")
}

async fn start_streams(bench: &Bench) -> Vec<Streamed> {
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

/// Reads the streams to their ends and compares them with the model and the ledgers.
async fn assert_answers_complete(bench: &Bench, streams: Vec<Streamed>) {
    let answers = join_all(streams.into_iter().map(Streamed::rest)).await;
    for (n, answer) in answers.iter().enumerate() {
        let prompt = prompt(n);
        assert_eq!(answer.text, bench.model.answer_text(&prompt, MAX_TOKENS));
        assert_eq!(answer.end, End::Whole(FinishReason::Length), "{answer:?}");
        // The last token of an answer is not fed back through the model.
        let positions = prompt.len() as u32 + MAX_TOKENS - 1;
        assert_exactly_once(&bench.fakes, &answer.request, LAYERS, positions);
    }
}

/// Asserts that a call fault has applied to at least one call; accepts faults of other kinds.
fn assert_triggered(engine: &Engine, fault: &InjectedFault) {
    if let InjectedFault::Calls(_, _, count) = fault {
        let left = engine.faults().list();
        assert!(
            left.iter().all(|f| f.count != Some(*count)),
            "the fault never applied to a call: {left:?}"
        );
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_complete_after_stage_fault(
    #[values(0, 1, 2)] stage: usize,
    #[values(
        InjectedFault::Calls(STEPS, FaultKind::ResetBefore, 1),
        InjectedFault::Calls(STEPS, FaultKind::ResetAfter, 2),
        InjectedFault::Calls(STEPS, FaultKind::SilentBefore, 1),
        InjectedFault::Calls(STEPS, FaultKind::SilentAfter, 2),
        InjectedFault::Calls(STEPS, FaultKind::CutBody, 2),
        InjectedFault::Calls(STEPS, FaultKind::Status(500), 2),
        InjectedFault::Calls(STEPS, FaultKind::StatusAfter(500), 2),
        InjectedFault::Calls(STEPS, FaultKind::DelayReply(150), 3),
        InjectedFault::Calls(STEPS, FaultKind::DelayReply(1500), 3),
        InjectedFault::Calls(STEPS, FaultKind::Delay(150), 3),
        InjectedFault::Calls(STEPS, FaultKind::PreviousReply, 3),
        InjectedFault::Calls(STEPS, FaultKind::OtherSession, 3),
        InjectedFault::Calls(STEPS, FaultKind::WrongRange, 3),
        InjectedFault::Calls(STEPS, FaultKind::Busy(20), 6),
        InjectedFault::Connections(ConnectionMode::Refuse),
        InjectedFault::Connections(ConnectionMode::SilenceExisting),
        InjectedFault::Connections(ConnectionMode::SilenceAll),
        InjectedFault::Crash,
        InjectedFault::Drain,
        InjectedFault::Version
    )]
    fault: InjectedFault,
) {
    let bench = Bench::start(1, ITERATION_TIME).await;
    let streams = start_streams(&bench).await;
    let engine = bench.engine_of(&streams[0].request, stage);
    fault.inject(engine).await;
    assert_answers_complete(&bench, streams).await;
    assert_triggered(engine, &fault);
    if !matches!(fault, InjectedFault::Connections(_)) {
        bench.wait_until_kv_freed().await;
    }
}

/// The next stage fails to fetch the activations of this stage.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_complete_after_activation_fetch_fault(
    #[values(0, 1)] stage: usize,
    #[values(
        (FaultKind::ResetBefore, 2),
        (FaultKind::SilentBefore, 1),
        (FaultKind::SilentBefore, 6),
        (FaultKind::CutBody, 2),
        (FaultKind::Status(404), 2),
        (FaultKind::Status(500), 2),
        (FaultKind::DelayReply(150), 2),
        (FaultKind::ResetBefore, EVERY_CALL),
        (FaultKind::SilentBefore, EVERY_CALL),
        (FaultKind::Status(500), EVERY_CALL)
    )]
    call_fault: (FaultKind, u32),
) {
    let bench = Bench::start(1, ITERATION_TIME).await;
    let streams = start_streams(&bench).await;
    let engine = bench.engine_of(&streams[0].request, stage);
    let fault = InjectedFault::Calls(ACTIVATIONS, call_fault.0, call_fault.1);
    fault.inject(engine).await;
    assert_answers_complete(&bench, streams).await;
    assert_triggered(engine, &fault);
    bench.wait_until_kv_freed().await;
}

/// Existing connections stall while new ones work: the sessions stay on their upstream, as the
/// fault is not attributed to it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_connection_does_not_move_sessions(#[values(0, 1, 2)] stage: usize) {
    let bench = Bench::start(1, ITERATION_TIME).await;
    let streams = start_streams(&bench).await;
    let sessions: Vec<String> = streams.iter().map(|s| s.request.clone()).collect();
    let engine = bench.engine_of(&sessions[0], stage);
    engine
        .faults()
        .set_connection_mode(ConnectionMode::SilenceExisting);
    assert_answers_complete(&bench, streams).await;
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
#[case::crash_and_crash(InjectedFault::Crash, InjectedFault::Crash)]
#[case::silence_and_crash(
    InjectedFault::Connections(ConnectionMode::SilenceAll),
    InjectedFault::Crash
)]
#[case::silence_and_silence(
    InjectedFault::Connections(ConnectionMode::SilenceAll),
    InjectedFault::Connections(ConnectionMode::SilenceAll)
)]
#[case::version_and_reset(
    InjectedFault::Version,
    InjectedFault::Calls(STEPS, FaultKind::ResetAfter, 4)
)]
#[case::drain_and_crash(InjectedFault::Drain, InjectedFault::Crash)]
#[case::swapped_and_lost(
    InjectedFault::Calls(STEPS, FaultKind::PreviousReply, 8),
    InjectedFault::Calls(STEPS, FaultKind::SilentAfter, 2)
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_complete_after_faults_in_two_stages(
    #[values((0, 1), (1, 2), (2, 0))] stages: (usize, usize),
    #[case] first: InjectedFault,
    #[case] second: InjectedFault,
) {
    let bench = Bench::start(1, ITERATION_TIME).await;
    let streams = start_streams(&bench).await;
    let first_engine = bench.engine_of(&streams[0].request, stages.0);
    let second_engine = bench.engine_of(&streams[0].request, stages.1);
    first.inject(first_engine).await;
    second.inject(second_engine).await;
    assert_answers_complete(&bench, streams).await;
}

/// Both replicas of a stage crash: the sessions wait until one has restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_complete_after_all_replicas_of_stage_restart() {
    let bench = Bench::start(1, ITERATION_TIME).await;
    let streams = start_streams(&bench).await;
    for replica in 2..4 {
        bench.fakes.engines[replica].crash();
    }
    assert_answers_complete(&bench, streams).await;
    bench.wait_until_kv_freed().await;
}

/// All replicas of a stage leave: new requests are refused, and running sessions finish there.
#[rstest]
#[case::host_list(true)]
#[case::itself(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stage_with_all_replicas_leaving_finishes_its_sessions(#[case] by_host_list: bool) {
    const LONG: u32 = 300;
    let bench = Bench::start(1, ITERATION_TIME).await;
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
    path::wait_until("new requests are refused", async || {
        // A request admitted before the daemon has seen that the stage leaves waits for a path.
        let answer = caller.complete("a new one", 1);
        let answer = tokio::time::timeout(Duration::from_millis(100), answer).await;
        let Ok(Ok(answer)) = answer else { return false };
        matches!(answer.end, End::Error(body) if body.error.verdict == "not-run")
    })
    .await;
    let seen = stream.text.len() / 4;
    assert!(
        seen < LONG as usize,
        "the stream ended before new requests were refused"
    );
    let answer = stream.rest().await;
    assert_eq!(answer.text, bench.model.answer_text("a long one", LONG));
}

/// A failed cancel call, which frees KV memory, is retried.
#[rstest]
#[case::reset(FaultKind::ResetBefore, 1)]
#[case::silent(FaultKind::SilentBefore, 1)]
#[case::refused(FaultKind::Status(503), 1)]
#[case::reset_for_longer(FaultKind::ResetBefore, 5)]
#[case::refused_for_longer(FaultKind::Status(503), 5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_cancel_call_leaks_no_kv_memory(#[case] kind: FaultKind, #[case] count: u32) {
    let bench = Bench::start(1, ITERATION_TIME).await;
    let streams = start_streams(&bench).await;
    let engine = bench.engine_of(&streams[0].request, 1);
    let fault = InjectedFault::Calls(CANCEL, kind, count);
    fault.inject(engine).await;
    assert_answers_complete(&bench, streams).await;
    bench.wait_until_kv_freed().await;
    assert_triggered(engine, &fault);
}

/// The sessions of a caller that disconnects are freed, streamed or not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_disconnect_frees_its_sessions() {
    let bench = Bench::start(1, ITERATION_TIME).await;
    let streams = start_streams(&bench).await;
    assert!(bench.fakes.engines.iter().any(|e| e.sessions() > 0));
    drop(streams);
    bench.wait_until_kv_freed().await;
    let whole = bench.caller(0);
    let pending = whole.complete("a long one", 4000);
    let gone = tokio::time::timeout(Duration::from_millis(100), pending).await;
    assert!(
        gone.is_err(),
        "the answer completed before the caller disconnected"
    );
    bench.wait_until_kv_freed().await;
}
