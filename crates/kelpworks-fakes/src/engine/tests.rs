//! Timing of the engine, on a paused clock and without sockets.

use std::time::Duration;

use futures_util::future::join_all;
use rstest::rstest;
use tokio::time::Instant;

use super::Engine;
use super::EngineConfig;
use crate::fault::Fault;
use crate::fault::FaultKind;
use crate::fault::lock;
use crate::model::Model;
use kelpworks_wire::Class;
use kelpworks_wire::LayerRange;
use kelpworks_wire::OutputForm;
use kelpworks_wire::Step;
use kelpworks_wire::StepOutcome;

const BASE: Duration = Duration::from_millis(10);

fn config() -> EngineConfig {
    let mut cfg = EngineConfig::new("e", vec![Model::new("caption", "1", 8)]);
    cfg.load("caption", 0..4);
    cfg.iteration_base = BASE;
    cfg.layer_rate = 1000.0;
    cfg.max_batch = 2;
    cfg
}

fn step(session: &str, class: Class, tokens: usize) -> Step {
    Step {
        session: session.to_owned(),
        attempt: 1,
        position: 0,
        layers: LayerRange { first: 0, end: 4 },
        model: "caption".to_owned(),
        version: "1".to_owned(),
        class,
        input: vec![1_u32; tokens].into(),
        output: OutputForm::Inline,
        deadline_ms: 1000,
        prefix: String::new(),
    }
}

/// Submits these steps at once; returns the time that each took, in milliseconds.
async fn times(engine: &Engine, steps: Vec<Step>) -> Vec<u64> {
    let start = Instant::now();
    let timed = steps.into_iter().map(|s| async move {
        engine.shared.step(s).await;
        (Instant::now() - start).as_millis() as u64
    });
    join_all(timed).await
}

#[rstest]
#[case::one_position(&[(Class::Paying, 1)], &[14])]
#[case::prefill(&[(Class::Paying, 50)], &[210])]
#[case::one_iteration_for_two(&[(Class::Paying, 1), (Class::Paying, 1)], &[18, 18])]
#[case::a_third_waits(&[(Class::Paying, 1); 3], &[18, 18, 32])]
#[case::paying_first(
    &[(Class::Trial, 1), (Class::Trial, 1), (Class::Paying, 1), (Class::Paying, 1)],
    &[36, 36, 18, 18]
)]
#[tokio::test(start_paused = true)]
async fn iteration_time_is_base_plus_layer_positions_over_rate(
    #[case] steps: &[(Class, usize)],
    #[case] wanted: &[u64],
) {
    let engine = Engine::spawn(config()).await.unwrap();
    let numbered = steps.iter().enumerate();
    let steps = numbered.map(|(n, (class, tokens))| step(&n.to_string(), *class, *tokens));
    let took = times(&engine, steps.collect()).await;
    assert_eq!(took, wanted);
}

#[tokio::test(start_paused = true)]
async fn cached_prompt_costs_one_position() {
    let engine = Engine::spawn(config()).await.unwrap();
    for (session, wanted) in [("a", 210), ("b", 14)] {
        let mut cached = step(session, Class::Paying, 50);
        cached.prefix = "p".to_owned();
        assert_eq!(times(&engine, vec![cached]).await, [wanted]);
    }
}

#[tokio::test(start_paused = true)]
async fn slowdown_factor_multiplies_iteration_time() {
    let engine = Engine::spawn(config()).await.unwrap();
    engine.set_slowdown(3.0);
    let took = times(&engine, vec![step("a", Class::Paying, 1)]).await;
    assert_eq!(took, [42]);
}

#[tokio::test(start_paused = true)]
async fn full_queue_answers_busy() {
    let cfg = EngineConfig {
        queue_bound: 2,
        ..config()
    };
    let engine = Engine::spawn(cfg).await.unwrap();
    let steps = ["a", "b", "c"].map(|s| engine.shared.step(step(s, Class::Paying, 1)));
    let replies = join_all(steps).await;
    let busy = replies
        .iter()
        .filter(|r| matches!(r.outcome, StepOutcome::Busy(_)));
    assert_eq!(busy.count(), 1);
    assert_eq!(engine.ledger().totals().busy, 1);
    assert_eq!(engine.ledger().totals().runs, 2);
}

#[tokio::test(start_paused = true)]
async fn load_report_is_cached_for_load_lag() {
    let cfg = EngineConfig {
        load_lag: Duration::from_millis(100),
        ..config()
    };
    let engine = Engine::spawn(cfg).await.unwrap();
    assert_eq!(engine.state().load.running, 0);
    let running = engine.shared.step(step("a", Class::Paying, 1000));
    let polling = async {
        tokio::time::sleep(Duration::from_millis(99)).await;
        let early = engine.state().load.running;
        tokio::time::sleep(Duration::from_millis(1)).await;
        (early, engine.state().load.running)
    };
    let (_, seen) = tokio::join!(running, polling);
    assert_eq!(seen, (0, 1));
}

#[tokio::test(start_paused = true)]
async fn cache_events_are_delayed_and_lost_ones_leave_sequence_gaps() {
    let cfg = EngineConfig {
        cache_entries: 1,
        cache_event_delay: Duration::from_millis(50),
        ..config()
    };
    let engine = Engine::spawn(cfg).await.unwrap();
    let lost = Fault::once(FaultKind::LostCacheEvent);
    let visible = || lock(&engine.shared.cache).events(0, 0);
    for session in ["a", "b"] {
        let mut cached = step(session, Class::Paying, 1);
        cached.prefix = session.to_owned();
        engine.shared.step(cached).await;
        engine.faults().add(lost.clone());
    }
    assert!(visible().events.is_empty());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let sequences: Vec<u64> = visible().events.iter().map(|e| e.sequence).collect();
    assert_eq!(sequences, [0, 2]);
    assert_eq!(visible().next, 3);
}
