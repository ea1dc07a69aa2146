//! Many seeded random faults while two daemons stream many answers: every answer completes and
//! equals the output of the model, and no engine keeps KV memory.

mod caller;
mod path;
#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use futures_util::future::join_all;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use caller::Answer;
use caller::End;
use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::Engine;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use kelpworks_wire::FinishReason;
use path::Bench;
use path::LAYERS;
use path::lineage::assert_exactly_once;

const DAEMONS: usize = 2;
/// Streams per daemon.
const STREAMS: usize = 8;
const MAX_TOKENS: u32 = 40;
/// Random faults per run.
const FAULTS: usize = 24;
const FAULT_INTERVAL: Duration = Duration::from_millis(25);
const PATHS: [&str; 3] = ["/v1/steps", "/v1/activations", "/v1/cancel"];

fn inject_random_fault(engine: &Engine, rng: &mut StdRng) {
    let kind = match rng.random_range(0..20) {
        0 => return engine.crash(),
        1 => {
            return engine
                .faults()
                .set_connection_mode(ConnectionMode::SilenceExisting);
        }
        2 => return engine.set_draining(true),
        3 | 4 => return engine.set_draining(false),
        16 => {
            return engine
                .faults()
                .set_connection_mode(ConnectionMode::SilenceAll);
        }
        17 => return engine.faults().set_connection_mode(ConnectionMode::Refuse),
        18 | 19 => return engine.faults().set_connection_mode(ConnectionMode::Pass),
        5 => FaultKind::ResetBefore,
        6 => FaultKind::ResetAfter,
        7 => FaultKind::SilentBefore,
        8 => FaultKind::SilentAfter,
        9 => FaultKind::CutBody,
        10 => FaultKind::Status(503),
        11 => FaultKind::DelayReply(rng.random_range(10..400)),
        12 => FaultKind::PreviousReply,
        13 => FaultKind::OtherSession,
        14 => FaultKind::WrongRange,
        _ => FaultKind::Busy(rng.random_range(5..60)),
    };
    let path = PATHS[rng.random_range(0..PATHS.len())];
    let count = rng.random_range(1..4);
    engine
        .faults()
        .add(Fault::always(kind).on(path).times(count));
}

async fn inject_random_faults(bench: &Bench, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..FAULTS {
        let engines = &bench.fakes.engines;
        inject_random_fault(&engines[rng.random_range(0..engines.len())], &mut rng);
        tokio::time::sleep(FAULT_INTERVAL).await;
    }
    for engine in &bench.fakes.engines {
        engine.faults().clear();
        engine.set_draining(false);
    }
}

async fn request_answer(bench: &Bench, n: usize) -> Answer {
    let caller = bench.caller(n % DAEMONS);
    let stream = caller.stream(&prompt(n), MAX_TOKENS).await;
    stream.expect("a stream").rest().await
}

fn prompt(n: usize) -> String {
    format!("a blue lamp, shot {n}")
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_complete_under_random_faults(#[values(1, 2, 3, 4, 5, 6, 40, 224)] seed: u64) {
    let bench = Bench::start(DAEMONS, Duration::from_millis(2)).await;
    let answers = join_all((0..DAEMONS * STREAMS).map(|n| request_answer(&bench, n)));
    let (answers, ()) = tokio::join!(answers, inject_random_faults(&bench, seed));
    for (n, answer) in answers.iter().enumerate() {
        let prompt = prompt(n);
        assert_eq!(answer.end, End::Whole(FinishReason::Length), "{answer:?}");
        assert_eq!(answer.text, bench.model.answer_text(&prompt, MAX_TOKENS));
        let positions = prompt.len() as u32 + MAX_TOKENS - 1;
        assert_exactly_once(&bench.fakes, &answer.request, LAYERS, positions);
    }
    bench.wait_until_kv_freed().await;
}
