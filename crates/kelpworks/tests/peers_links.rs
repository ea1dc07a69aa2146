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
use peers::until;

/// Addresses that were given out in this process.
static GIVEN: AtomicU8 = AtomicU8::new(1);

fn own_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = GIVEN.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 1 + high % 250, low, host], 7_070))
}

/// Three daemons; the others reach the last one through a link.
struct Three {
    all: Vec<Peers>,
    link: Link,
}

impl Three {
    async fn start() -> Three {
        // An address of its own in the loopback range: a free port of 127.0.0.1 could go to another
        // test before the daemon listens on it.
        let listen = own_address();
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
        let three = Three { all, link };
        three.c_is(MemberState::Live).await;
        three
    }

    async fn c_is(&self, wanted: MemberState) {
        for peers in &self.all[..2] {
            until(&format!("c is {wanted}"), async || {
                let members = peers.members();
                members.iter().any(|m| m.name == "c" && m.state == wanted)
            })
            .await;
        }
    }
}

#[tokio::test]
async fn a_dead_connection_is_replaced_and_its_daemon_stays() {
    let three = Three::start().await;
    until("both are connected", async || three.link.accepted() >= 2).await;
    let before = three.link.accepted();
    three.link.set(LinkState::SilenceExisting);
    until("both have new connections", async || {
        let states = three.all[..2].iter().flat_map(Peers::members);
        let down = states.into_iter().any(|m| m.state == MemberState::Down);
        assert!(!down, "a daemon was held for dead over a dead connection");
        three.link.accepted() >= before + 2
    })
    .await;
    three.c_is(MemberState::Live).await;
}

#[rstest::rstest]
#[case::cut(LinkState::Cut)]
#[case::silent(LinkState::SilenceAll)]
#[tokio::test]
async fn a_daemon_that_none_reaches_is_down_until_it_is_reached(#[case] state: LinkState) {
    let three = Three::start().await;
    // It still reaches the others, and would refute its death at once.
    three.all[2].close();
    three.link.set(state);
    three.c_is(MemberState::Down).await;
}

#[tokio::test]
async fn a_fact_reaches_all_and_its_clearing_too() {
    let three = Three::start().await;
    let (kind, subject) = (Kind::Leaving, 77);
    three.all[0].set_fact(kind, subject, 0, Duration::from_secs(600));
    for peers in &three.all {
        until("the fact is known", async || {
            peers
                .active_facts(kind)
                .iter()
                .any(|f| f.key.subject == subject)
        })
        .await;
    }
    three.all[0].clear_fact(kind, subject);
    for peers in &three.all {
        until("the fact is cleared", async || {
            peers.active_facts(kind).is_empty()
        })
        .await;
    }
}
