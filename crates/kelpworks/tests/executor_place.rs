//! The executor with whole daemons: places, keeps, repairs, hands over and rolls versions.

mod executor_support;

use kelpworks_fakes::StandIns;

use crate::executor_support::accept;
use crate::executor_support::all;
use crate::executor_support::answers;
use crate::executor_support::daemon;
use crate::executor_support::empty;
use crate::executor_support::register;
use crate::executor_support::stands;
use crate::executor_support::until_now;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_engines_are_placed_and_answer() {
    let fakes = StandIns::spawn(empty(6)).await.expect("stand-ins");
    accept(&fakes, 1, &register(&fakes, "1"));
    let daemons = [daemon(&fakes, "a").await, daemon(&fakes, "b").await];
    until_now("each layer stands in two failure domains", || {
        stands(&all(&fakes), "1")
    })
    .await;
    for daemon in &daemons {
        answers(daemon, "1").await;
    }
    let tokens = fakes.engines.iter().flat_map(|e| e.ledger().orders());
    assert!(
        tokens
            .into_iter()
            .all(|o| o.order.fence.token == 1 && !o.was_stale)
    );
}
