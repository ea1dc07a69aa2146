//! What daemons report of upstreams while their own links may be at fault, and to whom they hand
//! requests over.

use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

use super::Audience;
use super::Peers;
use super::handover::Candidate;
use super::members::Condition;
use super::messages::Digest;
use super::tests::address;
use super::tests::digest;
use super::tests::engine;
use super::tests::peers;
use crate::fleet::UpstreamKey;
use crate::reach::Evidence;
use crate::reach::Probe;

const SERVICE: &str = "llm";
const PORT: u16 = 7_340;

pub(super) fn register(me: &Peers) -> UpstreamKey {
    let version = Version::initial(1);
    let mut fleet = me.shared.fleet();
    fleet.replace(vec![engine()], version, Instant::now());
    fleet.key_of("e-1").expect("registered")
}

/// Guards against a daemon that loses its links to all upstreams and makes its peers eject them.
#[tokio::test(start_paused = true)]
async fn ejections_are_reported_once_an_upstream_shows_that_the_links_work() {
    let me = peers(0);
    let key = register(&me);
    let service: Arc<str> = Arc::from(SERVICE);
    me.shared
        .record_link_failure(&service, key, Evidence::NotOpened);
    me.shared.fleet().eject_unreachable(key, Instant::now());
    assert!(me.digest(&Audience::default()).ejections.is_empty());
    me.shared.record_contact(&service, false);
    assert_eq!(me.digest(&Audience::default()).ejections.len(), 1);
}

/// Guards against upstreams that stay ejected after the links to them have returned.
#[tokio::test(start_paused = true)]
async fn return_of_links_ends_ejections() {
    let me = peers(0);
    let key = register(&me);
    let service: Arc<str> = Arc::from(SERVICE);
    me.shared
        .record_link_failure(&service, key, Evidence::NotOpened);
    me.shared.fleet().eject_unreachable(key, Instant::now());
    me.shared.record_probe(&service, Probe { opened: 0, of: 3 });
    assert!(me.shared.reach().is_lost(SERVICE));
    while me.shared.reach().is_lost(SERVICE) {
        me.shared.record_probe(&service, Probe { opened: 3, of: 3 });
    }
    let fleet = me.shared.fleet();
    assert!(
        fleet
            .get(key)
            .is_some_and(|u| !u.is_ejected(Instant::now()))
    );
}

/// Guards against hand-overs to a daemon that can't serve them: one of an older build, one that is
/// stopping, and one that has lost its links as well.
#[rstest]
#[case::sound(Some(PORT), &[], Condition::Fit, true)]
#[case::turned_away_by_the_store(Some(PORT), &[], Condition::TurnedAway, true)]
#[case::other_service_lost(Some(PORT), &["app"], Condition::Fit, true)]
#[case::service_lost(Some(PORT), &["app", SERVICE], Condition::Fit, false)]
#[case::stopping(Some(PORT), &[], Condition::Leaving, false)]
#[case::older_build(None, &[], Condition::Fit, false)]
#[tokio::test(start_paused = true)]
async fn peers_that_reach_the_service_are_candidates(
    #[case] handover: Option<u16>,
    #[case] unreachable: &[&str],
    #[case] condition: Condition,
    #[case] is_candidate: bool,
) {
    let me = peers(0);
    let mut report: Digest = digest(3);
    report.from.handover = handover;
    report.from.unreachable = unreachable.iter().map(|&s| Arc::from(s)).collect();
    report.from.condition = condition;
    me.learn_digest(&report);
    let expected = is_candidate.then(|| Candidate {
        address: (address(3).ip(), PORT).into(),
        is_local: true,
    });
    let candidates = me.handover_candidates(SERVICE);
    assert_eq!(candidates, expected.into_iter().collect::<Vec<_>>());
}

/// Guards against an offer that changes unnoticed: the next digest withdraws it, also by a third
/// daemon.
#[tokio::test(start_paused = true)]
async fn loss_of_links_withdraws_the_offer_at_every_peer() {
    let [me, second, third] = [0, 1, 2].map(peers);
    me.offer_handover(PORT);
    second.learn_digest(&me.digest(&Audience::default()));
    third.learn_digest(&second.digest(&Audience::default()));
    assert_eq!(third.handover_candidates(SERVICE).len(), 1);
    let key = register(&me);
    let service: Arc<str> = Arc::from(SERVICE);
    advance(Duration::from_millis(250)).await;
    me.shared
        .record_link_failure(&service, key, Evidence::Broken);
    me.shared.record_probe(&service, Probe { opened: 0, of: 3 });
    second.learn_digest(&me.digest(&Audience::default()));
    assert!(second.handover_candidates(SERVICE).is_empty());
    third.learn_digest(&second.digest(&Audience::default()));
    assert!(third.handover_candidates(SERVICE).is_empty());
}

/// Guards against a fleet without orders to engines while the daemon that leads does not reach them:
/// it gives the lease up, and the next in line that reaches them leads.
#[tokio::test(start_paused = true)]
async fn daemon_that_reaches_more_services_leads() {
    let all: Vec<Peers> = (0..4).map(peers).collect();
    for me in &all {
        me.offer_handover(PORT);
    }
    let exchange_all = || {
        for me in &all {
            for other in &all {
                me.learn_digest(&other.digest(&Audience::default()));
            }
        }
    };
    exchange_all();
    advance(Duration::from_secs(30)).await;
    exchange_all();
    let leads = |me: &Peers| me.is_acting_leader();
    let first = all.iter().position(leads).expect("a leader");
    assert!(all[first].may_keep_lease());
    let key = register(&all[first]);
    let service: Arc<str> = Arc::from(SERVICE);
    all[first]
        .shared
        .record_link_failure(&service, key, Evidence::Broken);
    let probe = Probe { opened: 0, of: 3 };
    all[first].shared.record_probe(&service, probe);
    advance(Duration::from_millis(250)).await;
    exchange_all();
    assert!(!all[first].may_keep_lease());
    assert!(!all[first].may_take_lease() && !leads(&all[first]));
    let others: Vec<usize> = (0..4).filter(|&i| leads(&all[i])).collect();
    assert_eq!(others.len(), 1, "another daemon leads");
    assert_ne!(others[0], first);
}
