//! The HTTP interface of the fake engine.

mod support;

use reqwest::StatusCode;
use rstest::rstest;

use kelpworks_fakes::Engine;
use kelpworks_fakes::EngineConfig;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_fakes::WeightStore;
use kelpworks_fakes::WeightStoreConfig;
use kelpworks_fakes::tokenize;
use kelpworks_wire::ActivationRequest;
use kelpworks_wire::Activations;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::Fence;
use kelpworks_wire::HandleRef;
use kelpworks_wire::KvBlob;
use kelpworks_wire::KvExportRequest;
use kelpworks_wire::LoadedRange;
use kelpworks_wire::OrderAction;
use kelpworks_wire::OrderReply;
use kelpworks_wire::OutputForm;
use kelpworks_wire::RefusalReason;
use kelpworks_wire::Step;
use kelpworks_wire::StepInput;
use kelpworks_wire::StepOutcome;
use support::answer;
use support::layers;
use support::model;
use support::post;
use support::run;
use support::step;
use support::try_steps;

/// An engine with layers 0..4 loaded that ran positions 0..3 of session `s` over layers 0..2.
async fn used_engine() -> Engine {
    let mut cfg = EngineConfig::new("e", vec![model()]);
    cfg.load("caption", 0..4);
    cfg.kv_capacity = 100;
    let engine = Engine::spawn(cfg).await.unwrap();
    run(&engine, step(vec![1, 2, 3_u32])).await;
    engine
}

fn next_step(position: u32) -> Step {
    Step {
        position,
        ..step(vec![4_u32])
    }
}

#[rstest]
#[case::inline(OutputForm::Inline, 64)]
#[case::inline_by_position(OutputForm::Inline, 1)]
#[case::handle(OutputForm::Handle, 64)]
#[case::handle_in_chunks(OutputForm::Handle, 5)]
#[tokio::test]
async fn pipeline_output_equals_model_answer(#[case] output: OutputForm, #[case] chunk: usize) {
    let cfg = FleetConfig::pipeline(&model(), 3, 1);
    let fleet = FakeFleet::spawn(cfg).await.unwrap();
    let prompt = tokenize(b"a red chair");
    let got = answer(&fleet, output, &prompt, chunk, 12).await;
    assert_eq!(got, model().answer(&prompt, 12));
    for engine in &fleet.engines {
        let runs = engine.ledger().runs_of("s");
        let positions = runs.iter().flat_map(|r| r.position..r.position + r.count);
        assert!(positions.eq(0..(prompt.len() + 12) as u32));
    }
}

#[rstest]
#[case::next(next_step(3), None)]
#[case::gap(next_step(4), Some((RefusalReason::PositionGap, 3)))]
#[case::repeated(next_step(2), Some((RefusalReason::PositionGap, 3)))]
#[case::restarted_at_position_0(step(vec![1_u32]), Some((RefusalReason::PositionGap, 3)))]
#[case::new_attempt(Step { attempt: 2, ..step(vec![1_u32]) }, None)]
#[case::unknown_session(
    Step { session: "t".to_owned(), ..next_step(3) },
    Some((RefusalReason::PositionGap, 0))
)]
#[case::other_layer_split(
    Step { layers: layers(0, 4), ..next_step(3) },
    Some((RefusalReason::WrongLayers, 0))
)]
#[case::not_loaded(
    Step { layers: layers(2, 6), ..step(vec![1_u64]) },
    Some((RefusalReason::WrongLayers, 0))
)]
#[case::empty_range(
    Step { layers: layers(3, 3), ..step(vec![1_u64]) },
    Some((RefusalReason::WrongLayers, 0))
)]
#[case::other_model(
    Step { model: "report".to_owned(), attempt: 2, ..step(vec![1_u32]) },
    Some((RefusalReason::WrongLayers, 0))
)]
#[case::other_version(
    Step { version: "2".to_owned(), attempt: 2, ..step(vec![1_u32]) },
    Some((RefusalReason::WrongVersion, 0))
)]
#[case::version_changed(
    Step { version: "2".to_owned(), ..next_step(3) },
    Some((RefusalReason::WrongVersion, 3))
)]
#[case::rows_for_layer_0(
    Step { position: 3, ..step(vec![1_u64]) },
    Some((RefusalReason::Invalid, 3))
)]
#[case::no_input(Step { position: 3, ..step(Vec::<u32>::new()) }, Some((RefusalReason::Invalid, 3)))]
#[case::missing_handle(
    Step { layers: layers(2, 4), ..step(unreachable_handle()) },
    Some((RefusalReason::HandleMissing, 0))
)]
#[tokio::test]
async fn mismatched_step_is_refused_with_reason(
    #[case] step: Step,
    #[case] refused: Option<(RefusalReason, u32)>,
) {
    let engine = used_engine().await;
    let outcome = run(&engine, step).await;
    let got = match outcome {
        StepOutcome::Refused(r) => Some((r.reason, r.have)),
        _ => None,
    };
    assert_eq!(got, refused);
    let ran = 1 + u64::from(refused.is_none());
    assert_eq!(engine.ledger().totals().runs, ran);
}

fn unreachable_handle() -> StepInput {
    StepInput::Handle(HandleRef {
        upstream: "http://127.0.0.1:9".to_owned(),
        handle: "s/1/0/0".to_owned(),
        count: 1,
    })
}

#[tokio::test]
async fn step_beyond_kv_capacity_is_answered_busy() {
    let engine = used_engine().await;
    let big = Step {
        session: "t".to_owned(),
        ..step(vec![1_u32; 98])
    };
    let outcome = run(&engine, big).await;
    assert!(matches!(outcome, StepOutcome::Busy(_)), "{outcome:?}");
    assert_eq!(engine.kv_free(), 97);
}

#[tokio::test]
async fn draining_engine_refuses_only_new_sessions() {
    let engine = used_engine().await;
    let drain = post(&engine.url(), "/fake/draining", &true).await.unwrap();
    assert_eq!(drain.status(), StatusCode::NO_CONTENT);
    assert!(matches!(
        run(&engine, next_step(3)).await,
        StepOutcome::Rows(_)
    ));
    let new_session = Step {
        session: "t".to_owned(),
        ..step(vec![1_u32])
    };
    let StepOutcome::Refused(refused) = run(&engine, new_session).await else {
        panic!("a draining engine took a new session");
    };
    assert_eq!(refused.reason, RefusalReason::Draining);
}

#[tokio::test]
async fn cancel_frees_kv_cache_and_refuses_late_steps() {
    let engine = used_engine().await;
    let req = CancelRequest {
        session: "s".to_owned(),
        attempt: 1,
    };
    let res = post(&engine.url(), "/v1/cancel", &req).await.unwrap();
    assert_eq!(res.status(), StatusCode::NO_CONTENT);
    assert_eq!((engine.sessions(), engine.kv_free()), (0, 100));
    for late in [next_step(3), step(vec![1_u32])] {
        let outcome = run(&engine, late).await;
        assert!(matches!(outcome, StepOutcome::Refused(_)), "{outcome:?}");
    }
    assert_eq!(engine.ledger().totals().runs, 1);
}

#[rstest]
#[case::whole_history("s/1/0/0", 3, true)]
#[case::partial_history("s/1/0/1", 2, true)]
#[case::not_yet_run("s/1/0/1", 3, false)]
#[case::other_attempt("s/2/0/0", 3, false)]
#[case::other_session("t/1/0/0", 3, false)]
#[case::other_layer("s/1/2/0", 3, false)]
#[case::no_handle("s", 1, false)]
#[tokio::test]
async fn activations_are_served_by_position(
    #[case] handle: &str,
    #[case] count: u32,
    #[case] kept: bool,
) {
    let engine = used_engine().await;
    let wanted = ActivationRequest {
        handle: handle.to_owned(),
        count,
    };
    let res = post(&engine.url(), "/v1/activations", &wanted).await;
    let res = res.unwrap();
    assert_eq!(res.status().is_success(), kept);
    if kept {
        let got: Activations = res.json().await.unwrap();
        assert_eq!(got.rows.len(), count as usize);
    }
}

#[tokio::test]
async fn rows_beyond_retention_limit_are_dropped() {
    let mut cfg = EngineConfig::new("e", vec![model()]);
    cfg.load("caption", 0..4);
    cfg.retained_rows = 2;
    let engine = Engine::spawn(cfg).await.unwrap();
    run(&engine, step(vec![1, 2, 3_u32])).await;
    for (handle, count, status) in [("s/1/0/0", 1, 404), ("s/1/0/1", 2, 200)] {
        let handle = handle.to_owned();
        let wanted = ActivationRequest { handle, count };
        let res = post(&engine.url(), "/v1/activations", &wanted).await;
        assert_eq!(res.unwrap().status(), status);
    }
}

#[tokio::test]
async fn engine_keeps_sessions_while_port_is_closed() {
    let engine = used_engine().await;
    engine.set_listening(false);
    while try_steps(&engine.url(), Vec::new()).await.is_ok() {}
    engine.set_listening(true);
    while try_steps(&engine.url(), Vec::new()).await.is_err() {}
    assert!(matches!(
        run(&engine, next_step(3)).await,
        StepOutcome::Rows(_)
    ));
}

#[tokio::test]
async fn imported_kv_cache_continues_exported_session() {
    let (source, target) = (used_engine().await, used_engine().await);
    let wanted = KvExportRequest {
        session: "s".to_owned(),
        attempt: 1,
    };
    let res = post(&source.url(), "/v1/kv/export", &wanted).await.unwrap();
    let mut blob: KvBlob = res.json().await.unwrap();
    let again = post(&target.url(), "/v1/kv/import", &blob).await.unwrap();
    assert_eq!(again.status(), StatusCode::CONFLICT);
    blob.attempt = 2;
    let res = post(&target.url(), "/v1/kv/import", &blob).await.unwrap();
    assert_eq!(res.status(), StatusCode::NO_CONTENT);
    let moved = Step {
        attempt: 2,
        ..next_step(3)
    };
    assert_eq!(run(&target, moved).await, run(&source, next_step(3)).await);
}

fn order(token: u64, action: OrderAction) -> EngineOrder {
    let fence = Fence {
        lease: "placement/caption".to_owned(),
        token,
    };
    EngineOrder { fence, action }
}

fn range(version: &str, first: u32, end: u32) -> LoadedRange {
    LoadedRange {
        model: "caption".to_owned(),
        version: version.to_owned(),
        layers: layers(first, end),
    }
}

#[rstest]
#[case::checks(true, OrderReply::Stale(7), 2)]
#[case::ignores(false, OrderReply::Accepted(6), 1)]
#[tokio::test]
async fn stale_fencing_token_is_refused_only_when_checked(
    #[case] checks_fencing: bool,
    #[case] wanted: OrderReply,
    #[case] ranges: usize,
) {
    let store = WeightStore::spawn(WeightStoreConfig::default());
    let store = store.await.unwrap();
    let mut cfg = EngineConfig::new("e", vec![model()]);
    cfg.load("caption", 0..4);
    cfg.checks_fencing = checks_fencing;
    cfg.weight_store = Some(store.url());
    let engine = Engine::spawn(cfg).await.unwrap();
    let load = OrderAction::Load(range("2", 2, 6));
    let unload = OrderAction::Unload(range("1", 0, 4));
    assert_eq!(
        send_order(&engine, order(7, load)).await,
        OrderReply::Accepted(7)
    );
    while !engine.state().loading.is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(store.bytes(), 4_000_000);
    assert_eq!(send_order(&engine, order(6, unload)).await, wanted);
    assert_eq!(engine.state().loaded.len(), ranges);
    assert_eq!(engine.state().highest_fence, 7);
    let stale: Vec<bool> = engine
        .ledger()
        .orders()
        .iter()
        .map(|o| o.was_stale)
        .collect();
    assert_eq!(stale, [false, true]);
}

async fn send_order(engine: &Engine, order: EngineOrder) -> OrderReply {
    let res = post(&engine.url(), "/v1/orders", &order).await;
    res.unwrap().json().await.unwrap()
}

#[rstest]
#[case::unknown_model(OrderAction::Load(LoadedRange { model: "x".to_owned(), ..range("1", 0, 2) }))]
#[case::past_the_end(OrderAction::Load(range("1", 4, 7)))]
#[case::out_of_memory(OrderAction::Load(range("2", 0, 3)))]
#[case::unknown_role(OrderAction::Role("cook".to_owned()))]
#[tokio::test]
async fn infeasible_order_is_refused(#[case] action: OrderAction) {
    let mut cfg = EngineConfig::new("e", vec![model()]);
    cfg.load("caption", 0..4);
    cfg.max_layers = 6;
    let engine = Engine::spawn(cfg).await.unwrap();
    let reply = send_order(&engine, order(1, action)).await;
    assert!(matches!(reply, OrderReply::Refused(_)), "{reply:?}");
    assert_eq!(engine.state().loaded, [range("1", 0, 4)]);
}

#[tokio::test]
async fn unload_drops_sessions_on_the_range() {
    let engine = used_engine().await;
    let unload = OrderAction::Unload(range("1", 0, 4));
    send_order(&engine, order(1, unload)).await;
    assert_eq!((engine.sessions(), engine.kv_free()), (0, 100));
}

#[tokio::test]
async fn spawn_fails_when_loaded_range_exceeds_model() {
    let mut cfg = EngineConfig::new("e", vec![Model::new("caption", "1", 2)]);
    cfg.load("caption", 0..4);
    assert!(Engine::spawn(cfg).await.is_err());
}
