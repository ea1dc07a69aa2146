//! Peers whose links fail, over loopback in one process.

mod peers;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use kelpworks::membership::Peers;
use kelpworks::membership::PeersConfig;
use kelpworks::status::MemberState;
use kelpworks_coord::facts::Kind;
use kelpworks_fakes::Link;
use kelpworks_fakes::LinkState;
use peers::wait_until;

/// Last byte of the next loopback address to hand out in this process.
static NEXT_HOST_BYTE: AtomicU8 = AtomicU8::new(1);

fn unique_loopback_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = NEXT_HOST_BYTE.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 1 + high % 250, low, host], 7_070))
}

/// Three daemons, of which the first two reach the last one through a link.
struct ThreeDaemons {
    all: Vec<Peers>,
    link: Link,
}

impl ThreeDaemons {
    async fn start() -> ThreeDaemons {
        // A unique loopback address, as another test could take a free port of 127.0.0.1 before the
        // daemon listens on it.
        let listen = unique_loopback_address();
        let link = Link::spawn(listen).await.expect("a free port");
        let mut all = Vec::new();
        for name in ["a", "b", "c"] {
            let mut cfg = PeersConfig {
                name: name.to_owned(),
                failure_domain: "hall".to_owned(),
                listen: "127.0.0.1:0".parse().expect("an address"),
                advertise: None,
                heartbeat: Duration::from_millis(200),
            };
            if name == "c" {
                cfg.listen = listen;
                cfg.advertise = Some(link.addr());
            }
            let stop = CancellationToken::new();
            let (peers, _heads) = Peers::start(cfg, stop).await.expect("a free port");
            all.push(peers);
        }
        let contacts: Vec<_> = all.iter().map(Peers::contact).collect();
        for peers in &all {
            peers.set_member_list(&contacts);
        }
        let daemons = ThreeDaemons { all, link };
        daemons.wait_for_state_of_c(MemberState::Live).await;
        daemons
    }

    async fn wait_for_state_of_c(&self, wanted: MemberState) {
        for peers in &self.all[..2] {
            wait_until(&format!("c is {wanted}"), async || {
                let members = peers.members();
                members.iter().any(|m| m.name == "c" && m.state == wanted)
            })
            .await;
        }
    }
}

#[tokio::test]
async fn stalled_connection_is_replaced_and_peer_stays_live() {
    let daemons = ThreeDaemons::start().await;
    wait_until("both are connected", async || daemons.link.accepted() >= 2).await;
    let before = daemons.link.accepted();
    daemons.link.set(LinkState::SilenceExisting);
    wait_until("both have new connections", async || {
        let states = daemons.all[..2].iter().flat_map(Peers::members);
        let down = states.into_iter().any(|m| m.state == MemberState::Down);
        assert!(
            !down,
            "a daemon was marked down because of a stalled connection"
        );
        daemons.link.accepted() >= before + 2
    })
    .await;
    daemons.wait_for_state_of_c(MemberState::Live).await;
}

#[rstest::rstest]
#[case::cut(LinkState::Cut)]
#[case::silent(LinkState::SilenceAll)]
#[tokio::test]
async fn unreachable_daemon_is_marked_down(#[case] state: LinkState) {
    let daemons = ThreeDaemons::start().await;
    // While open, it still reaches the others and would refute its death at once.
    daemons.all[2].close();
    daemons.link.set(state);
    daemons.wait_for_state_of_c(MemberState::Down).await;
}

#[tokio::test]
async fn fact_and_its_clearing_reach_all_peers() {
    let daemons = ThreeDaemons::start().await;
    let (kind, subject) = (Kind::Leaving, 77);
    daemons.all[0].set_fact(kind, subject, 0, Duration::from_secs(600));
    for peers in &daemons.all {
        wait_until("the fact has arrived", async || {
            peers
                .active_facts(kind)
                .iter()
                .any(|f| f.key.subject == subject)
        })
        .await;
    }
    daemons.all[0].clear_fact(kind, subject);
    for peers in &daemons.all {
        wait_until("the fact is cleared", async || {
            peers.active_facts(kind).is_empty()
        })
        .await;
    }
}
