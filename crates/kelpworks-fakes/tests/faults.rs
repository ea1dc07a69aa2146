//! Faults of the fake engine, as the caller and the ledger see them.

mod support;

use std::time::Duration;

use reqwest::StatusCode;
use rstest::rstest;

use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::Engine;
use kelpworks_fakes::EngineConfig;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use kelpworks_fakes::FaultUpdate;
use kelpworks_wire::Step;
use kelpworks_wire::StepReply;
use support::get;
use support::model;
use support::post;
use support::reply_timeout;
use support::run;
use support::step;
use support::try_steps;

async fn engine() -> Engine {
    let mut cfg = EngineConfig::new("e", vec![model()]);
    cfg.load("caption", 0..4);
    cfg.restart_after = Some(Duration::from_millis(1));
    Engine::spawn(cfg).await.unwrap()
}

/// Runs one step and describes what its caller observes.
async fn observe(engine: &Engine, step: Step, wait: Duration) -> String {
    let url = engine.url();
    let call = try_steps(&url, vec![step]);
    match tokio::time::timeout(wait, call).await {
        Err(_) => "silence".to_owned(),
        Ok(Ok(replies)) => describe(&replies[0]),
        Ok(Err(e)) => match e.status() {
            Some(status) => status.as_u16().to_string(),
            None => "connection lost".to_owned(),
        },
    }
}

fn describe(reply: &StepReply) -> String {
    let StepReply {
        session,
        position,
        layers,
        ..
    } = reply;
    let outcome = serde_json::to_value(&reply.outcome).unwrap();
    let kinds = outcome.as_object().unwrap().keys();
    let kind: String = kinds.cloned().collect();
    format!(
        "{kind} of {session} {position} {}..{}",
        layers.first, layers.end
    )
}

#[tokio::test]
async fn fault_kind_determines_reply_and_execution() {
    let kinds = [
        FaultKind::ResetBefore,
        FaultKind::ResetAfter,
        FaultKind::SilentBefore,
        FaultKind::SilentAfter,
        FaultKind::CutBody,
        FaultKind::Delay(1),
        FaultKind::DelayReply(1),
        FaultKind::Status(503),
        FaultKind::StatusAfter(500),
        FaultKind::Busy(20),
        FaultKind::PreviousReply,
        FaultKind::OtherSession,
        FaultKind::WrongRange,
        FaultKind::Crash,
    ];
    let mut table = String::new();
    for kind in kinds {
        let engine = engine().await;
        let before = Step {
            session: "r".to_owned(),
            ..step(vec![1_u32])
        };
        run(&engine, before).await;
        engine
            .faults()
            .add(Fault::once(kind.clone()).on("/v1/steps"));
        let silent = matches!(kind, FaultKind::SilentBefore | FaultKind::SilentAfter);
        let seen = observe(&engine, step(vec![1, 2_u32]), reply_timeout(!silent)).await;
        let ran = !engine.ledger().runs_of("s").is_empty();
        assert_eq!(engine.faults().list(), []);
        table += &format!(
            "{kind:?}: {seen}; {}\n",
            if ran { "ran" } else { "not run" }
        );
    }
    insta::assert_snapshot!(table);
}

#[rstest]
#[case::passes(ConnectionMode::Pass, true, true)]
#[case::refuses(ConnectionMode::Refuse, false, false)]
#[case::existing_are_silent(ConnectionMode::SilenceExisting, false, true)]
#[case::all_are_silent(ConnectionMode::SilenceAll, false, false)]
#[tokio::test]
async fn connection_mode_applies_to_existing_and_new_connections(
    #[case] mode: ConnectionMode,
    #[case] old: bool,
    #[case] new: bool,
) {
    let engine = engine().await;
    let url = format!("{}/v1/state", engine.url());
    let kept = support::client();
    kept.get(&url).send().await.unwrap().bytes().await.unwrap();
    let order = FaultUpdate {
        connections: Some(mode),
        ..FaultUpdate::default()
    };
    let res = post(&engine.url(), "/fake/faults", &order).await.unwrap();
    assert_eq!(res.status(), StatusCode::NO_CONTENT);
    for (client, wanted) in [(kept, old), (support::client(), new)] {
        let call = tokio::time::timeout(reply_timeout(wanted), client.get(&url).send());
        assert_eq!(matches!(call.await, Ok(Ok(_))), wanted);
    }
}

#[rstest]
#[case::other_path("/v1/state", None, "rows")]
#[case::other_method("GET /v1/steps", None, "rows")]
#[case::matching_method("POST /v1/steps", Some(2), "503")]
#[tokio::test]
async fn fault_applies_only_to_matching_method_and_path(
    #[case] matches: &str,
    #[case] left: Option<u32>,
    #[case] wanted: &str,
) {
    let engine = engine().await;
    let fault = Fault::once(FaultKind::Status(503)).on(matches).times(3);
    let order = FaultUpdate {
        add: vec![fault.clone()],
        ..FaultUpdate::default()
    };
    post(&engine.url(), "/fake/faults", &order).await.unwrap();
    let seen = observe(&engine, step(vec![1_u32]), reply_timeout(true)).await;
    assert!(seen.starts_with(wanted), "{seen}");
    let listed: Vec<Fault> = get(&engine.url(), "/fake/faults").await;
    assert_eq!(listed, [fault.clone().times(left.unwrap_or(3))]);
}

#[tokio::test]
async fn poison_prompt_crashes_engine_and_restart_loses_sessions() {
    let engine = engine().await;
    run(&engine, step(vec![1_u32])).await;
    let before = engine.state().incarnation;
    let poison = Step {
        session: "p".to_owned(),
        ..step(kelpworks_fakes::tokenize(b"a poison pill"))
    };
    assert_eq!(
        observe(&engine, poison, reply_timeout(true)).await,
        "connection lost"
    );
    assert_eq!(engine.sessions(), 0);
    let again = loop {
        match try_steps(&engine.url(), vec![step(vec![1_u32])]).await {
            Ok(replies) => break replies,
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    };
    assert_ne!(again[0].incarnation, before);
    assert_eq!(again[0].count, 1);
    let totals = engine.ledger().totals();
    assert_eq!((totals.crashes, totals.runs), (1, 3));
}
