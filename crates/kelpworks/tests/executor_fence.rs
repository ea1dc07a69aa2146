//! A holder that is paused between its check of the lease and the sending of orders.

mod executor_support;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use rstest::rstest;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::executor_support::INTERVAL;
use crate::executor_support::LEASE;
use crate::executor_support::ORDER_BOUND;
use crate::executor_support::accept;
use crate::executor_support::all;
use crate::executor_support::answers;
use crate::executor_support::daemon;
use crate::executor_support::empty;
use crate::executor_support::is_gone;
use crate::executor_support::lease;
use crate::executor_support::register;
use crate::executor_support::rules;
use crate::executor_support::stands;
use crate::executor_support::until_now;
use kelpworks::active_config::ActiveConfig;
use kelpworks::clients::engine::Engine;
use kelpworks::clients::engine::HttpEngine;
use kelpworks::clients::engine::Result;
use kelpworks::clients::object_api::Deadlines;
use kelpworks::clients::object_api::HttpObjectApi;
use kelpworks::executor::Config;
use kelpworks::executor::Executor;
use kelpworks::executor::LeaseHandle;
use kelpworks::executor::lease_config;
use kelpworks::fleet::Fleet;
use kelpworks::register::Register;
use kelpworks::rules::Rules;
use kelpworks::upstreams::UpstreamMonitor;
use kelpworks::upstreams::UpstreamMonitorConfig;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::Link;
use kelpworks_fakes::LinkState;
use kelpworks_fakes::engine::OrderRecord;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::EngineState;
use kelpworks_wire::OrderReply;
use kelpworks_wire::StepBatch;
use kelpworks_wire::StepBatchReply;

const POLL: Duration = Duration::from_millis(50);
const CALL: Duration = Duration::from_secs(2);

/// The engine border, in which orders stop short of being sent until they are let go.
#[derive(Debug)]
struct HeldOrders {
    inner: HttpEngine,
    /// Orders that wait.
    waiting: watch::Sender<usize>,
    go: CancellationToken,
}

impl Engine for HeldOrders {
    async fn steps(
        &self,
        url: &Arc<str>,
        batch: &StepBatch,
        deadline: Duration,
    ) -> Result<StepBatchReply> {
        self.inner.steps(url, batch, deadline).await
    }

    async fn cancel(&self, url: &Arc<str>, req: &CancelRequest, deadline: Duration) -> Result<()> {
        self.inner.cancel(url, req, deadline).await
    }

    async fn state(&self, url: &Arc<str>, deadline: Duration) -> Result<EngineState> {
        self.inner.state(url, deadline).await
    }

    async fn order(
        &self,
        url: &Arc<str>,
        order: &EngineOrder,
        deadline: Duration,
    ) -> Result<OrderReply> {
        self.waiting.send_modify(|n| *n += 1);
        self.go.cancelled().await;
        self.inner.order(url, order, deadline).await
    }

    async fn probe(&self, url: &Arc<str>, deadline: Duration) -> Result<EngineState> {
        self.inner.probe(url, deadline).await
    }
}

/// An executor whose orders are held, behind a link to the object API.
struct Paused {
    orders: Arc<HeldOrders>,
    hold: Arc<LeaseHandle>,
    link: Link,
    stop: CancellationToken,
    /// Keeps the register in force.
    _register: watch::Sender<Arc<Register>>,
}

async fn paused(fakes: &FakeFleet, register: &str) -> Paused {
    let register = Register::parse("register", register).expect("a register");
    let rules = Rules::parse("rules", &rules(), &register).expect("rules");
    let config = ActiveConfig::new(1, register.clone(), rules);
    let fleet = Arc::new(ArcSwap::from_pointee(Fleet::default()));
    let (register_tx, register_rx) = watch::channel(Arc::new(register));
    let stop = CancellationToken::new();
    let keeper_cfg = UpstreamMonitorConfig {
        state_poll: POLL,
        poll_deadline: CALL,
    };
    let border = Arc::new(HttpEngine::new(CALL));
    let keeper = UpstreamMonitor::new(keeper_cfg, border, register_rx, Arc::clone(&fleet));
    tokio::spawn(keeper.run(stop.clone()));
    let orders = Arc::new(HeldOrders {
        inner: HttpEngine::new(CALL),
        waiting: watch::Sender::new(0),
        go: CancellationToken::new(),
    });
    let address = fakes.object_api.url().replace("http://", "");
    let link = Link::spawn(address.parse().expect("an address")).await;
    let link = link.expect("a link");
    let cfg = Config {
        lease: lease_config(LEASE, ORDER_BOUND),
        interval: INTERVAL,
        ..Config::default()
    };
    let api = HttpObjectApi::new(&link.url(), Deadlines::default()).expect("a URL");
    let config = Arc::new(ArcSwap::from_pointee(config));
    let executor = Executor::new(cfg, "paused", Arc::clone(&orders), api, config, fleet);
    let hold = executor.lease_handle();
    tokio::spawn(executor.run(CancellationToken::new(), stop.clone()));
    Paused {
        orders,
        hold,
        link,
        stop,
        _register: register_tx,
    }
}

fn stale(fakes: &FakeFleet) -> Vec<OrderRecord> {
    let orders = fakes.engines.iter().flat_map(|e| e.ledger().orders());
    orders.filter(|o| o.was_stale).collect()
}

#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_of_a_paused_holder_leave_nothing_behind(#[case] checks_fencing: bool) {
    let mut cfg = empty(6);
    for engine in &mut cfg.engines {
        engine.checks_fencing = checks_fencing;
    }
    let fakes = FakeFleet::spawn(cfg).await.expect("stand-ins");
    let paused = paused(&fakes, &register(&fakes, "1")).await;
    let mut waiting = paused.orders.waiting.subscribe();
    let held = *waiting.wait_for(|n| *n > 0).await.expect("open");
    assert_eq!(lease(&fakes).expect("a lease").token.0, 1);
    paused.link.set(LinkState::Cut);

    // The successor places version 2, of which the paused holder knows nothing.
    accept(&fakes, 1, &register(&fakes, "2"));
    let daemon = daemon(&fakes, "successor").await;
    until_now("version 2 stands", || stands(&all(&fakes), "2")).await;
    assert_eq!(lease(&fakes).expect("a lease").token.0, 2);
    assert_eq!(paused.hold.fencing_token(), None);
    answers(&daemon, "2").await;

    paused.orders.go.cancel();
    until_now("the held orders arrive", || stale(&fakes).len() >= held).await;
    for _ in 0..10 {
        answers(&daemon, "2").await;
    }
    let accepted = |o: &OrderRecord| matches!(o.reply, OrderReply::Accepted(_));
    assert_eq!(stale(&fakes).iter().any(accepted), !checks_fencing);
    until_now("version 1 is gone", || is_gone(&all(&fakes), "1")).await;
    assert!(stands(&all(&fakes), "2"));
    answers(&daemon, "2").await;
    paused.stop.cancel();
}
