//! The peer state machines of daemons on a virtual clock: membership, dissemination, facts and
//! trial shares.

#[path = "../examples/measure/net.rs"]
mod net;

use proptest::prelude::*;
use rstest::rstest;

use kelpworks::membership::Config;
use kelpworks::membership::share::Demand;
use kelpworks::membership::share::fair_share;
use kelpworks::status::MemberState;
use kelpworks_coord::facts::Kind;
use kelpworks_coord::time::Span;
use net::Net;
use net::NetConfig;

const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

fn net(daemons: usize, regions: usize, seed: u64) -> Net {
    let mut net = Net::new(NetConfig {
        daemons,
        regions,
        node: Config::default(),
        all_watch: false,
        count_bytes: false,
        seed,
    });
    net.run_for(10 * SECOND);
    net
}

/// Returns how many members the daemon `at` lists in a state.
fn count_in_state(net: &Net, at: usize, state: MemberState) -> usize {
    let members = net.node(at).map_or(Vec::new(), |n| n.members());
    members.iter().filter(|m| m.state == state).count()
}

/// Whether every daemon that is up lists exactly `live` others as live.
fn all_show_live(net: &Net, daemons: usize, live: usize) -> bool {
    let up = (0..daemons).filter(|&at| net.node(at).is_some());
    up.into_iter()
        .all(|at| count_in_state(net, at, MemberState::Live) == live)
}

#[rstest]
fn crash_and_restart_are_detected_by_all_daemons(
    #[values(3, 7, 40)] daemons: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = net(daemons, 1, seed);
    assert!(all_show_live(&net, daemons, daemons - 1));
    net.crash(1);
    let known = net.run_until(20 * SECOND, |net| all_show_live(net, daemons, daemons - 2));
    assert!(known, "not every daemon detected the crash within 20 s");
    net.restart(1);
    let back = net.run_until(20 * SECOND, |net| all_show_live(net, daemons, daemons - 1));
    assert!(back, "not every daemon saw the restart within 20 s");
}

#[rstest]
fn single_cut_link_marks_no_daemon_down(
    #[values(false, true)] both_ways: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = net(7, 1, seed);
    net.set_cut(0, 1, true);
    net.set_cut(1, 0, both_ways);
    for _ in 0..600 {
        net.run_for(SECOND);
        let down = (0..7)
            .map(|at| count_in_state(&net, at, MemberState::Down))
            .sum::<usize>();
        assert_eq!(down, 0, "at {} ms", net.now_ms());
    }
}

#[rstest]
fn partitioned_regions_reconnect_after_an_hour(#[values(1, 2, 3)] seed: u64) {
    const DAEMONS: usize = 12;
    let mut net = net(DAEMONS, 2, seed);
    let cross_region_pairs = |net: &Net| -> Vec<(usize, usize)> {
        let all = (0..DAEMONS).flat_map(|a| (0..DAEMONS).map(move |b| (a, b)));
        all.filter(|&(a, b)| net.region(a) != net.region(b))
            .collect()
    };
    for (a, b) in cross_region_pairs(&net) {
        net.set_cut(a, b, true);
    }
    net.run_for(HOUR);
    assert!(
        all_show_live(&net, DAEMONS, DAEMONS / 2 - 1),
        "a region does not list exactly its own daemons as live"
    );
    for (a, b) in cross_region_pairs(&net) {
        net.set_cut(a, b, false);
    }
    let together = net.run_until(120 * SECOND, |net| all_show_live(net, DAEMONS, DAEMONS - 1));
    assert!(together, "the regions did not rejoin within 2 min");
}

#[rstest]
#[case::nothing_fails(None, 0.0, false)]
#[case::a_watcher_dies(None, 0.0, true)]
#[case::outage_after_one_reader(Some(1), 0.0, false)]
#[case::a_fifth_of_the_links_cut(None, 0.2, false)]
#[case::all_at_once(Some(1), 0.2, false)]
fn generation_is_active_everywhere_within_three_seconds(
    #[case] readers: Option<u64>,
    #[case] links_cut: f64,
    #[case] watcher_dies: bool,
    #[values(7, 40)] daemons: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = net(daemons, 1, seed);
    net.cut_share(links_cut);
    net.swap(readers);
    if watcher_dies {
        let watcher = net.watchers()[0];
        net.crash(watcher);
    }
    let done = net.run_until(3 * SECOND, |net| {
        net.daemons_up_to_date() == net.daemons_up()
    });
    assert!(
        done,
        "{} of {} daemons have activated it",
        net.daemons_up_to_date(),
        net.daemons_up()
    );
}

#[rstest]
fn few_daemons_watch_the_object_api_and_never_none(#[values(7, 40)] daemons: usize) {
    let mut net = net(daemons, 1, 1);
    assert_eq!(
        net.watchers().len(),
        6,
        "two of each of three failure domains"
    );
    for at in net.watchers().into_iter().take(5) {
        net.crash(at);
    }
    net.run_for(30 * SECOND);
    let expected_watchers = if daemons == 7 { 2 } else { 6 };
    assert_eq!(net.watchers().len(), expected_watchers);
}

#[rstest]
fn fact_and_its_clearing_reach_all_daemons(
    #[values(7, 40)] daemons: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let holders = |net: &Net| {
        let now = kelpworks_coord::time::Instant::from_millis(net.now_ms());
        let nodes = (0..daemons).filter_map(|at| net.node(at));
        nodes
            .filter(|n| !n.active_facts(now, Kind::Down).is_empty())
            .count()
    };
    let mut net = net(daemons, 1, seed);
    net.act(0, |node, now| {
        node.set_fact(now, Kind::Down, 77, 0, Span::from_secs(600));
        Vec::new()
    });
    assert!(net.run_until(15 * SECOND, |net| holders(net) == daemons));
    net.act(0, |node, now| {
        node.clear_fact(now, Kind::Down, 77);
        Vec::new()
    });
    assert!(net.run_until(15 * SECOND, |net| holders(net) == 0));
}

proptest! {
    #[test]
    fn fair_shares_add_up_to_the_total(demands in prop::collection::vec(0..100_000_u32, 1..20)) {
        let parts = (0..demands.len()).map(|at| {
            let mut others = demands.clone();
            let own = others.remove(at);
            fair_share(1_000.0, own, &others)
        });
        let sum: f64 = parts.sum();
        prop_assert!((sum - 1_000.0).abs() < 1e-6, "{}", sum);
    }
}

#[test]
fn steady_demand_is_reported_once() {
    let mut demand = Demand::default();
    let reported: Vec<u32> = (0..40)
        .map(|n| demand.observe(1_000 + n % 3 * 20))
        .collect();
    let last = reported[39];
    assert!((900..=1_100).contains(&last), "{reported:?}");
    assert!(reported[10..].iter().all(|&t| t == last), "{reported:?}");
    let silent: Vec<u32> = (0..20).map(|_| demand.observe(0)).collect();
    assert_eq!(silent[19], 0, "{silent:?}");
}
