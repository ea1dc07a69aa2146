//! The executor with whole daemons: places, keeps, repairs, hands over and rolls versions.

mod executor_support;

use std::time::Duration;

use rstest::rstest;

use crate::executor_support::LAYERS;
use crate::executor_support::LEASE;
use crate::executor_support::accept;
use crate::executor_support::all;
use crate::executor_support::answers;
use crate::executor_support::ask;
use crate::executor_support::daemon;
use crate::executor_support::daemon_with;
use crate::executor_support::empty;
use crate::executor_support::is_gone;
use crate::executor_support::lease;
use crate::executor_support::model;
use crate::executor_support::orders;
use crate::executor_support::register;
use crate::executor_support::register_with;
use crate::executor_support::rounds;
use crate::executor_support::stands;
use crate::executor_support::until;
use crate::executor_support::until_now;
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

/// Tokens of a session across a change of the version; each takes 20 ms or more.
const TOKENS: u32 = 50;

/// Six engines that held nothing, placed by the first daemon that came.
async fn placed(fakes: &FakeFleet) {
    accept(fakes, 1, &register(fakes, "1"));
    let holds_one = |e: &Engine| e.state().loaded.len() == 1;
    until_now("each layer stands in two failure domains", || {
        stands(&all(fakes), "1") && fakes.engines.iter().all(holds_one)
    })
    .await;
}

/// The engines that hold the same layers as the first, and the others.
fn split_by_stage(fakes: &FakeFleet) -> (Vec<&Engine>, Vec<&Engine>) {
    let first = fakes.engines[0].state().loaded;
    fakes
        .engines
        .iter()
        .partition(|e| e.state().loaded == first)
}

/// How many orders engines got so far under a fencing token.
fn ordered_under(fakes: &FakeFleet, token: u64) -> usize {
    let orders = fakes.engines.iter().flat_map(|e| e.ledger().orders());
    orders.filter(|o| o.order.fence.token == token).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_engines_are_placed_and_answer() {
    let fakes = FakeFleet::spawn(empty(6)).await.expect("stand-ins");
    let daemons = [daemon(&fakes, "a").await, daemon(&fakes, "b").await];
    placed(&fakes).await;
    for daemon in &daemons {
        answers(daemon, "1").await;
    }
    let orders = fakes.engines.iter().flat_map(|e| e.ledger().orders());
    assert!(
        orders
            .into_iter()
            .all(|o| o.order.fence.token == 1 && !o.was_stale)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_workable_placement_is_left_alone() {
    let mut cfg = FleetConfig::pipeline(&model("1"), 3, 3);
    for engine in &mut cfg.engines {
        engine.restart_after = None;
    }
    let fakes = FakeFleet::spawn(cfg).await.expect("stand-ins");
    accept(&fakes, 1, &register(&fakes, "1"));
    let first = daemon_with(&fakes, "a", "1 h").await;
    answers(&first, "1").await;
    until_now("a holder", || lease(&fakes).is_some()).await;
    // Two of three replicas of a stage are down, but not for long enough to be lost.
    for engine in &fakes.engines[..2] {
        engine.crash();
    }
    rounds(20).await;
    answers(&first, "1").await;
    first.kill();
    let second = daemon_with(&fakes, "b", "1 h").await;
    until_now("a successor", || {
        lease(&fakes).is_some_and(|l| l.token.0 == 2)
    })
    .await;
    answers(&second, "1").await;
    rounds(20).await;
    for engine in &fakes.engines[..2] {
        engine.restart();
    }
    rounds(20).await;
    answers(&second, "1").await;
    assert_eq!(orders(&fakes), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_stage_stands_again() {
    let fakes = FakeFleet::spawn(empty(6)).await.expect("stand-ins");
    let daemon = daemon(&fakes, "a").await;
    placed(&fakes).await;
    let (stage, others) = split_by_stage(&fakes);
    for engine in &stage[1..] {
        engine.set_listening(false);
    }
    let left: Vec<&Engine> = others.into_iter().chain([stage[0]]).collect();
    assert!(!stands(&left, "1"));
    until_now("the stage stands again", || stands(&left, "1")).await;
    answers(&daemon, "1").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_successor_orders_under_a_higher_token() {
    let fakes = FakeFleet::spawn(empty(6)).await.expect("stand-ins");
    let (a, b) = (daemon(&fakes, "a").await, daemon(&fakes, "b").await);
    placed(&fakes).await;
    let owner = lease(&fakes).and_then(|l| l.owner).expect("a holder");
    let (holder, other) = match owner.node == NodeId::of("a") {
        true => (a, b),
        false => (b, a),
    };
    holder.kill();
    until_now("a successor", || {
        lease(&fakes).is_some_and(|l| l.token.0 == 2)
    })
    .await;
    let of_first = ordered_under(&fakes, 1);
    let of_second = ordered_under(&fakes, 2);
    let (stage, others) = split_by_stage(&fakes);
    for engine in &stage[1..] {
        engine.set_listening(false);
    }
    let left: Vec<&Engine> = others.into_iter().chain([stage[0]]).collect();
    until_now("the stage stands again", || stands(&left, "1")).await;
    answers(&other, "1").await;
    assert_eq!(ordered_under(&fakes, 1), of_first);
    assert!(ordered_under(&fakes, 2) > of_second);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_gives_the_lease_up() {
    let fakes = FakeFleet::spawn(empty(6)).await.expect("stand-ins");
    let daemon = daemon(&fakes, "a").await;
    placed(&fakes).await;
    daemon.stop().await;
    until_now("the lease is free", || {
        lease(&fakes).is_some_and(|l| l.owner.is_none())
    })
    .await;
}

#[rstest]
#[case::unavailable(ApiMode::Unavailable)]
#[case::silent(ApiMode::Silent)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_stops_orders_and_not_answers(#[case] mode: ApiMode) {
    let fakes = FakeFleet::spawn(empty(6)).await.expect("stand-ins");
    let daemons = [daemon(&fakes, "a").await, daemon(&fakes, "b").await];
    placed(&fakes).await;
    answers(&daemons[0], "1").await;
    fakes.object_api.set_mode(mode);
    // Longer than any hold and any takeover can take.
    tokio::time::sleep(LEASE * 3).await;
    let engine = &fakes.engines[0];
    let token = lease(&fakes).expect("a lease").token.0;
    let lost = engine.state().loaded[0].clone();
    let order = EngineOrder {
        action: OrderAction::Unload(lost.clone()),
        fence: Fence {
            lease: "placement".into(),
            token,
        },
    };
    let border = HttpEngine::new(Duration::from_secs(5));
    let url = engine.url().as_str().into();
    border
        .order(&url, &order, Duration::from_secs(5))
        .await
        .expect("an order");
    fakes.engines[1].crash();
    let before = orders(&fakes);
    for daemon in &daemons {
        answers(daemon, "1").await;
    }
    rounds(20).await;
    assert_eq!(orders(&fakes), before);
    fakes.object_api.set_mode(ApiMode::Up);
    until_now("what was lost is held again", || {
        engine.state().loaded.contains(&lost)
    })
    .await;
    for daemon in &daemons {
        answers(daemon, "1").await;
    }
}

#[rstest]
#[case::beside("80 GB", 0)]
#[case::in_place("10 GB", 0)]
#[case::beside_but_for_one_without_room("80 GB", 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_version_cuts_no_session(#[case] memory: &str, #[case] full: usize) {
    let mut cfg = empty(6);
    for engine in &mut cfg.engines[..full] {
        engine.max_layers = LAYERS;
    }
    for engine in &mut cfg.engines {
        engine.iteration_base = Duration::from_millis(20);
    }
    let fakes = FakeFleet::spawn(cfg).await.expect("stand-ins");
    let daemon = daemon(&fakes, "a").await;
    accept(&fakes, 1, &register_with(&fakes, "1", memory));
    until_now("version 1 stands", || stands(&all(&fakes), "1")).await;
    answers(&daemon, "1").await;
    let prompts: Vec<String> = (0..6).map(|n| format!("valve {n}")).collect();
    let sessions = prompts.iter().map(|p| ask(&daemon, p, TOKENS));
    let running = futures_util::future::join_all(sessions);
    let roll = async {
        until_now("all sessions run", || {
            let held = fakes.engines.iter().map(Engine::sessions);
            held.sum::<usize>() >= prompts.len()
        })
        .await;
        accept(&fakes, 2, &register_with(&fakes, "2", memory));
        until_now("version 2 stands", || stands(&all(&fakes), "2")).await;
        // A daemon learns of it with its next poll; until then a whole answer is of version 1.
        let [old, new] = ["1", "2"].map(|v| Some(model(v).answer_text("new", 4)));
        until("new sessions go to version 2", || async {
            let answer = ask(&daemon, "new", 4).await;
            assert!(answer == old || answer == new, "{answer:?}");
            answer == new
        })
        .await;
    };
    let (answered, ()) = tokio::join!(running, roll);
    for (prompt, text) in prompts.iter().zip(answered) {
        assert_eq!(
            text,
            Some(model("1").answer_text(prompt, TOKENS)),
            "{prompt}"
        );
    }
    until_now("version 1 is gone", || is_gone(&all(&fakes)[full..], "1")).await;
    answers(&daemon, "2").await;
}
