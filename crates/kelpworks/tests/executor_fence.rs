//! A lease holder that is paused between its check of the lease and the sending of orders.

mod executor_support;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use rstest::rstest;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::executor_support::LEASE_DURATION;
use crate::executor_support::ORDER_BOUND;
use crate::executor_support::PLACEMENT_INTERVAL;
use crate::executor_support::activate_register;
use crate::executor_support::all_engines;
use crate::executor_support::empty_engines;
use crate::executor_support::is_redundantly_placed;
use crate::executor_support::is_unloaded;
use crate::executor_support::lease_record;
use crate::executor_support::register;
use crate::executor_support::rules;
use crate::executor_support::start_daemon;
use crate::executor_support::wait_for_correct_answer;
use crate::executor_support::wait_until_sync;
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

const STATE_POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An engine client that delays all orders until `release` is cancelled.
#[derive(Debug)]
struct DelayedOrders {
    inner: HttpEngine,
    /// Orders delayed so far.
    waiting: watch::Sender<usize>,
    release: CancellationToken,
}

impl Engine for DelayedOrders {
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
        self.release.cancelled().await;
        self.inner.order(url, order, deadline).await
    }

    async fn probe(&self, url: &Arc<str>, deadline: Duration) -> Result<EngineState> {
        self.inner.probe(url, deadline).await
    }
}

/// An executor that reaches the object API through a link and whose orders are delayed.
struct PausedExecutor {
    orders: Arc<DelayedOrders>,
    lease_handle: Arc<LeaseHandle>,
    link: Link,
    stop: CancellationToken,
    /// Keeps the channel of the register open for the upstream monitor.
    _register: watch::Sender<Arc<Register>>,
}

async fn start_paused_executor(fakes: &FakeFleet, register: &str) -> PausedExecutor {
    let register = Register::parse("register", register).expect("a register");
    let rules = Rules::parse("rules", &rules(), &register).expect("rules");
    let config = ActiveConfig::new(1, register.clone(), rules);
    let fleet = Arc::new(ArcSwap::from_pointee(Fleet::default()));
    let (register_tx, register_rx) = watch::channel(Arc::new(register));
    let stop = CancellationToken::new();
    let monitor_cfg = UpstreamMonitorConfig {
        state_poll: STATE_POLL_INTERVAL,
        poll_deadline: CALL_TIMEOUT,
    };
    let engine_client = Arc::new(HttpEngine::new(CALL_TIMEOUT));
    let monitor = UpstreamMonitor::new(monitor_cfg, engine_client, register_rx, Arc::clone(&fleet));
    tokio::spawn(monitor.run(stop.clone()));
    let orders = Arc::new(DelayedOrders {
        inner: HttpEngine::new(CALL_TIMEOUT),
        waiting: watch::Sender::new(0),
        release: CancellationToken::new(),
    });
    let address = fakes.object_api.url().replace("http://", "");
    let link = Link::spawn(address.parse().expect("an address")).await;
    let link = link.expect("a link");
    let cfg = Config {
        lease: lease_config(LEASE_DURATION, ORDER_BOUND),
        interval: PLACEMENT_INTERVAL,
        ..Config::default()
    };
    let api = HttpObjectApi::new(&link.url(), Deadlines::default()).expect("a URL");
    let config = Arc::new(ArcSwap::from_pointee(config));
    let executor = Executor::new(cfg, "paused", Arc::clone(&orders), api, config, fleet);
    let lease_handle = executor.lease_handle();
    tokio::spawn(executor.run(CancellationToken::new(), stop.clone()));
    PausedExecutor {
        orders,
        lease_handle,
        link,
        stop,
        _register: register_tx,
    }
}

fn stale_orders(fakes: &FakeFleet) -> Vec<OrderRecord> {
    let orders = fakes.engines.iter().flat_map(|e| e.ledger().orders());
    orders.filter(|o| o.was_stale).collect()
}

#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_of_paused_lease_holder_have_no_lasting_effect(#[case] checks_fencing: bool) {
    let mut cfg = empty_engines(6);
    for engine in &mut cfg.engines {
        engine.checks_fencing = checks_fencing;
    }
    let fakes = FakeFleet::spawn(cfg).await.expect("the fake fleet starts");
    let paused = start_paused_executor(&fakes, &register(&fakes, "1")).await;
    let mut waiting = paused.orders.waiting.subscribe();
    let delayed_count = *waiting.wait_for(|n| *n > 0).await.expect("open");
    assert_eq!(lease_record(&fakes).expect("a lease").token.0, 1);
    paused.link.set(LinkState::Cut);

    // The successor places version 2, of which the paused lease holder has not learned.
    activate_register(&fakes, 1, &register(&fakes, "2"));
    let daemon = start_daemon(&fakes, "successor").await;
    wait_until_sync("version 2 is placed", || {
        is_redundantly_placed(&all_engines(&fakes), "2")
    })
    .await;
    assert_eq!(lease_record(&fakes).expect("a lease").token.0, 2);
    assert_eq!(paused.lease_handle.fencing_token(), None);
    wait_for_correct_answer(&daemon, "2").await;

    paused.orders.release.cancel();
    wait_until_sync("the delayed orders arrive", || {
        stale_orders(&fakes).len() >= delayed_count
    })
    .await;
    for _ in 0..10 {
        wait_for_correct_answer(&daemon, "2").await;
    }
    let accepted = |o: &OrderRecord| matches!(o.reply, OrderReply::Accepted(_));
    assert_eq!(stale_orders(&fakes).iter().any(accepted), !checks_fencing);
    wait_until_sync("version 1 is unloaded", || {
        is_unloaded(&all_engines(&fakes), "1")
    })
    .await;
    assert!(is_redundantly_placed(&all_engines(&fakes), "2"));
    wait_for_correct_answer(&daemon, "2").await;
    paused.stop.cancel();
}
