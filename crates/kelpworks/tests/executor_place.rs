//! The executor in complete daemons: initial placement, no needless orders, repair of a lost
//! stage, handover of the lease, and rollout of a version.

mod executor_support;

use std::time::Duration;

use rstest::rstest;

use crate::executor_support::LAYERS;
use crate::executor_support::LEASE_DURATION;
use crate::executor_support::activate_register;
use crate::executor_support::all_engines;
use crate::executor_support::empty_engines;
use crate::executor_support::is_redundantly_placed;
use crate::executor_support::is_unloaded;
use crate::executor_support::lease_record;
use crate::executor_support::model;
use crate::executor_support::order_count;
use crate::executor_support::register;
use crate::executor_support::register_with;
use crate::executor_support::request_completion;
use crate::executor_support::start_daemon;
use crate::executor_support::start_daemon_with;
use crate::executor_support::wait_for_correct_answer;
use crate::executor_support::wait_rounds;
use crate::executor_support::wait_until;
use crate::executor_support::wait_until_sync;
use kelpworks::clients::engine::Engine as _;
use kelpworks::clients::engine::HttpEngine;
use kelpworks_coord::id::NodeId;
use kelpworks_fakes::ApiMode;
use kelpworks_fakes::Engine;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::Fence;
use kelpworks_wire::OrderAction;

/// Tokens of a session that runs during a rollout; each takes 20 ms or more.
const SESSION_TOKENS: u32 = 50;

/// Activates version 1 and waits until it is placed redundantly, with one layer range per engine.
async fn activate_and_wait_until_placed(fakes: &FakeFleet) {
    activate_register(fakes, 1, &register(fakes, "1"));
    let has_one_range = |e: &Engine| e.state().loaded.len() == 1;
    wait_until_sync("each layer is loaded in two failure domains", || {
        is_redundantly_placed(&all_engines(fakes), "1") && fakes.engines.iter().all(has_one_range)
    })
    .await;
}

/// Splits the engines into those with the same layers as the first one and the others.
fn split_by_stage(fakes: &FakeFleet) -> (Vec<&Engine>, Vec<&Engine>) {
    let first = fakes.engines[0].state().loaded;
    fakes
        .engines
        .iter()
        .partition(|e| e.state().loaded == first)
}

/// Returns how many orders with a fencing token the engines have received so far.
fn orders_with_token(fakes: &FakeFleet, token: u64) -> usize {
    let orders = fakes.engines.iter().flat_map(|e| e.ledger().orders());
    orders.filter(|o| o.order.fence.token == token).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_engines_are_placed_and_serve() {
    let fakes = FakeFleet::spawn(empty_engines(6))
        .await
        .expect("the fake fleet starts");
    let daemons = [
        start_daemon(&fakes, "a").await,
        start_daemon(&fakes, "b").await,
    ];
    activate_and_wait_until_placed(&fakes).await;
    for daemon in &daemons {
        wait_for_correct_answer(daemon, "1").await;
    }
    let orders = fakes.engines.iter().flat_map(|e| e.ledger().orders());
    assert!(
        orders
            .into_iter()
            .all(|o| o.order.fence.token == 1 && !o.was_stale)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serving_placement_receives_no_orders() {
    let mut cfg = FleetConfig::pipeline(&model("1"), 3, 3);
    for engine in &mut cfg.engines {
        engine.restart_after = None;
    }
    let fakes = FakeFleet::spawn(cfg).await.expect("the fake fleet starts");
    activate_register(&fakes, 1, &register(&fakes, "1"));
    let first = start_daemon_with(&fakes, "a", "1 h").await;
    wait_for_correct_answer(&first, "1").await;
    wait_until_sync("a lease holder", || lease_record(&fakes).is_some()).await;
    // Two of three replicas of a stage are down, but not for long enough to be lost.
    for engine in &fakes.engines[..2] {
        engine.crash();
    }
    wait_rounds(20).await;
    wait_for_correct_answer(&first, "1").await;
    first.kill();
    let second = start_daemon_with(&fakes, "b", "1 h").await;
    wait_until_sync("a successor", || {
        lease_record(&fakes).is_some_and(|l| l.token.0 == 2)
    })
    .await;
    wait_for_correct_answer(&second, "1").await;
    wait_rounds(20).await;
    for engine in &fakes.engines[..2] {
        engine.restart();
    }
    wait_rounds(20).await;
    wait_for_correct_answer(&second, "1").await;
    assert_eq!(order_count(&fakes), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_stage_is_placed_again() {
    let fakes = FakeFleet::spawn(empty_engines(6))
        .await
        .expect("the fake fleet starts");
    let daemon = start_daemon(&fakes, "a").await;
    activate_and_wait_until_placed(&fakes).await;
    let (stage, others) = split_by_stage(&fakes);
    for engine in &stage[1..] {
        engine.set_listening(false);
    }
    let left: Vec<&Engine> = others.into_iter().chain([stage[0]]).collect();
    assert!(!is_redundantly_placed(&left, "1"));
    wait_until_sync("the stage is placed again", || {
        is_redundantly_placed(&left, "1")
    })
    .await;
    wait_for_correct_answer(&daemon, "1").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_orders_with_higher_fencing_token() {
    let fakes = FakeFleet::spawn(empty_engines(6))
        .await
        .expect("the fake fleet starts");
    let (a, b) = (
        start_daemon(&fakes, "a").await,
        start_daemon(&fakes, "b").await,
    );
    activate_and_wait_until_placed(&fakes).await;
    let owner = lease_record(&fakes)
        .and_then(|l| l.owner)
        .expect("a holder");
    let (holder, other) = match owner.node == NodeId::of("a") {
        true => (a, b),
        false => (b, a),
    };
    holder.kill();
    wait_until_sync("a successor", || {
        lease_record(&fakes).is_some_and(|l| l.token.0 == 2)
    })
    .await;
    let first_count = orders_with_token(&fakes, 1);
    let second_count = orders_with_token(&fakes, 2);
    let (stage, others) = split_by_stage(&fakes);
    for engine in &stage[1..] {
        engine.set_listening(false);
    }
    let left: Vec<&Engine> = others.into_iter().chain([stage[0]]).collect();
    wait_until_sync("the stage is placed again", || {
        is_redundantly_placed(&left, "1")
    })
    .await;
    wait_for_correct_answer(&other, "1").await;
    assert_eq!(orders_with_token(&fakes, 1), first_count);
    assert!(orders_with_token(&fakes, 2) > second_count);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_releases_lease() {
    let fakes = FakeFleet::spawn(empty_engines(6))
        .await
        .expect("the fake fleet starts");
    let daemon = start_daemon(&fakes, "a").await;
    activate_and_wait_until_placed(&fakes).await;
    daemon.stop().await;
    wait_until_sync("the lease is free", || {
        lease_record(&fakes).is_some_and(|l| l.owner.is_none())
    })
    .await;
}

#[rstest]
#[case::unavailable(ApiMode::Unavailable)]
#[case::silent(ApiMode::Silent)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn object_api_outage_stops_orders_but_not_answers(#[case] mode: ApiMode) {
    let fakes = FakeFleet::spawn(empty_engines(6))
        .await
        .expect("the fake fleet starts");
    let daemons = [
        start_daemon(&fakes, "a").await,
        start_daemon(&fakes, "b").await,
    ];
    activate_and_wait_until_placed(&fakes).await;
    wait_for_correct_answer(&daemons[0], "1").await;
    fakes.object_api.set_mode(mode);
    // Longer than a lease can be held without renewal and than a takeover can take.
    tokio::time::sleep(LEASE_DURATION * 3).await;
    let engine = &fakes.engines[0];
    let token = lease_record(&fakes).expect("a lease").token.0;
    let lost = engine.state().loaded[0].clone();
    let order = EngineOrder {
        action: OrderAction::Unload(lost.clone()),
        fence: Fence {
            lease: "placement".into(),
            token,
        },
    };
    let engine_client = HttpEngine::new(Duration::from_secs(5));
    let url = engine.url().as_str().into();
    engine_client
        .order(&url, &order, Duration::from_secs(5))
        .await
        .expect("an order");
    fakes.engines[1].crash();
    let before = order_count(&fakes);
    for daemon in &daemons {
        wait_for_correct_answer(daemon, "1").await;
    }
    wait_rounds(20).await;
    assert_eq!(order_count(&fakes), before);
    fakes.object_api.set_mode(ApiMode::Up);
    wait_until_sync("the unloaded layers are loaded again", || {
        engine.state().loaded.contains(&lost)
    })
    .await;
    for daemon in &daemons {
        wait_for_correct_answer(daemon, "1").await;
    }
}

#[rstest]
#[case::beside("80 GB", 0)]
#[case::in_place("10 GB", 0)]
#[case::beside_except_one_without_capacity("80 GB", 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_rollout_completes_running_sessions(#[case] memory: &str, #[case] full: usize) {
    let mut cfg = empty_engines(6);
    for engine in &mut cfg.engines[..full] {
        engine.max_layers = LAYERS;
    }
    for engine in &mut cfg.engines {
        engine.iteration_base = Duration::from_millis(20);
    }
    let fakes = FakeFleet::spawn(cfg).await.expect("the fake fleet starts");
    let daemon = start_daemon(&fakes, "a").await;
    activate_register(&fakes, 1, &register_with(&fakes, "1", memory));
    wait_until_sync("version 1 is placed", || {
        is_redundantly_placed(&all_engines(&fakes), "1")
    })
    .await;
    wait_for_correct_answer(&daemon, "1").await;
    let prompts: Vec<String> = (0..6).map(|n| format!("valve {n}")).collect();
    let sessions = prompts
        .iter()
        .map(|p| request_completion(&daemon, p, SESSION_TOKENS));
    let running = futures_util::future::join_all(sessions);
    let roll = async {
        wait_until_sync("all sessions run", || {
            let held = fakes.engines.iter().map(Engine::sessions);
            held.sum::<usize>() >= prompts.len()
        })
        .await;
        activate_register(&fakes, 2, &register_with(&fakes, "2", memory));
        wait_until_sync("version 2 is placed", || {
            is_redundantly_placed(&all_engines(&fakes), "2")
        })
        .await;
        // A daemon routes to version 2 after its next poll; until then a complete answer is of
        // version 1.
        let [old, new] = ["1", "2"].map(|v| Some(model(v).answer_text("new", 4)));
        wait_until("new sessions go to version 2", || async {
            let answer = request_completion(&daemon, "new", 4).await;
            assert!(answer == old || answer == new, "{answer:?}");
            answer == new
        })
        .await;
    };
    let (answered, ()) = tokio::join!(running, roll);
    for (prompt, text) in prompts.iter().zip(answered) {
        assert_eq!(
            text,
            Some(model("1").answer_text(prompt, SESSION_TOKENS)),
            "{prompt}"
        );
    }
    wait_until_sync("version 1 is unloaded", || {
        is_unloaded(&all_engines(&fakes)[full..], "1")
    })
    .await;
    wait_for_correct_answer(&daemon, "2").await;
}
