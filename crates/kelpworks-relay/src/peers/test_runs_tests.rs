//! Which daemon grants the test runs of a suspected request, and what others get when it doesn't answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::server::ServerHandle;
use kelpworks::clients::era::Eras;
use kelpworks_coord::poison::Fingerprint;
use tokio::sync::oneshot;

use super::Audience;
use super::Numbered;
use super::Peers;
use crate::retry_budget::RetryLimit;
use crate::shared::Shared;
use crate::shared::crashes::TestRunAnswer;
use crate::shared::crashes::TestRunQuestion;
use crate::store_cache::StoreCache;

const DAEMONS: usize = 4;
const RETRY_LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.2,
    allowance: 200.0,
};
const REQUEST: Fingerprint = Fingerprint(7);

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// Daemons that know and reach each other.
struct Fleet {
    all: Vec<Arc<Peers>>,
    servers: Vec<ServerHandle>,
}

impl Fleet {
    async fn start() -> Fleet {
        let mut fleet = Fleet {
            all: Vec::new(),
            servers: Vec::new(),
        };
        for number in 0..DAEMONS {
            let shared = Arc::new(Shared::new("a", RETRY_LIMIT, DAEMONS));
            let cache = Arc::new(StoreCache::new(Arc::clone(&shared)));
            let name = format!("entry-{number}");
            let peers = Peers::new(&name, free_address(), shared, cache, Eras::default());
            let peers = Arc::new(peers);
            let server = peers.listen::<Numbered>().await.expect("it listens");
            fleet.all.push(peers);
            fleet.servers.push(server);
        }
        for from in &fleet.all {
            for to in fleet.all.iter().filter(|to| to.address != from.address) {
                to.learn_digest(&from.digest(&Audience::default()));
            }
        }
        fleet
    }

    /// Has a daemon ask for a test run of the request.
    async fn ask(&self, number: usize) -> TestRunAnswer {
        let (answer, answered) = oneshot::channel();
        let question = TestRunQuestion {
            fingerprint: REQUEST,
            answer,
        };
        Arc::clone(&self.all[number])
            .answer_test_run(question)
            .await;
        answered.await.expect("an answer")
    }

    fn owner(&self) -> usize {
        let owner = self.all[0].by_hash(REQUEST.0, 1)[0];
        let position = self.all.iter().position(|peers| peers.address == owner);
        position.expect("one of them")
    }
}

fn is_granted(answer: &TestRunAnswer) -> bool {
    *answer == TestRunAnswer::Granted
}

/// Guards against copies of a suspect at several daemons that run at the same time.
#[tokio::test]
async fn one_daemon_of_all_gets_a_test_run() {
    let fleet = Fleet::start().await;
    let mut answers = Vec::new();
    for number in 0..DAEMONS {
        answers.push(fleet.ask(number).await);
    }
    let granted = answers.iter().filter(|a| is_granted(a)).count();
    assert_eq!(granted, 1, "{answers:?}");
}

/// Guards against test runs without bound while the daemon that grants them is not reached.
#[tokio::test]
async fn no_test_run_is_granted_while_its_daemon_does_not_answer() {
    let fleet = Fleet::start().await;
    let owner = fleet.owner();
    fleet.servers[owner].stop().expect("it runs");
    fleet.servers[owner].clone().stopped().await;
    let asker = (owner + 1) % DAEMONS;
    assert!(!is_granted(&fleet.ask(asker).await));
}
