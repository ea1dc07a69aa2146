//! Daemons' state machines on a virtual clock: membership, spreading, facts and trial shares.

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

/// Number of daemons that `at` shows in a state.
fn shown(net: &Net, at: usize, state: MemberState) -> usize {
    let members = net.node(at).map_or(Vec::new(), |n| n.members());
    members.iter().filter(|m| m.state == state).count()
}

/// Whether every daemon that is up shows exactly so many others live.
fn all_show_live(net: &Net, daemons: usize, live: usize) -> bool {
    let up = (0..daemons).filter(|&at| net.node(at).is_some());
    up.into_iter()
        .all(|at| shown(net, at, MemberState::Live) == live)
}

#[rstest]
fn a_crash_is_known_to_all_and_a_restart_too(
    #[values(3, 7, 40)] daemons: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = net(daemons, 1, seed);
    assert!(all_show_live(&net, daemons, daemons - 1));
    net.crash(1);
    let known = net.run_until(20 * SECOND, |net| all_show_live(net, daemons, daemons - 2));
    assert!(known, "a crash was not known to all within 20 s");
    net.restart(1);
    let back = net.run_until(20 * SECOND, |net| all_show_live(net, daemons, daemons - 1));
    assert!(back, "a restart was not known to all within 20 s");
}

#[rstest]
fn a_single_bad_link_buries_no_one(
    #[values(false, true)] both_ways: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = net(7, 1, seed);
    net.set_cut(0, 1, true);
    net.set_cut(1, 0, both_ways);
    for _ in 0..600 {
        net.run_for(SECOND);
        let down = (0..7)
            .map(|at| shown(&net, at, MemberState::Down))
            .sum::<usize>();
        assert_eq!(down, 0, "at {} ms", net.now_ms());
    }
}

#[rstest]
fn regions_that_lose_each_other_for_an_hour_find_together(#[values(1, 2, 3)] seed: u64) {
    const DAEMONS: usize = 12;
    let mut net = net(DAEMONS, 2, seed);
    let across = |net: &Net| -> Vec<(usize, usize)> {
        let all = (0..DAEMONS).flat_map(|a| (0..DAEMONS).map(move |b| (a, b)));
        all.filter(|&(a, b)| net.region(a) != net.region(b))
            .collect()
    };
    for (a, b) in across(&net) {
        net.set_cut(a, b, true);
    }
    net.run_for(HOUR);
    assert!(
        all_show_live(&net, DAEMONS, DAEMONS / 2 - 1),
        "each side goes on by itself"
    );
    for (a, b) in across(&net) {
        net.set_cut(a, b, false);
    }
    let together = net.run_until(120 * SECOND, |net| all_show_live(net, DAEMONS, DAEMONS - 1));
    assert!(together, "not together again within 2 min");
}

#[rstest]
#[case::nothing_fails(None, 0.0, false)]
#[case::a_watcher_dies(None, 0.0, true)]
#[case::outage_after_one_reader(Some(1), 0.0, false)]
#[case::a_fifth_of_the_links_cut(None, 0.2, false)]
#[case::all_at_once(Some(1), 0.2, false)]
fn a_generation_is_in_force_everywhere_within_three_seconds(
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
        "{} of {} have it",
        net.daemons_up_to_date(),
        net.daemons_up()
    );
}

#[rstest]
fn few_watch_the_object_api_and_never_none(#[values(7, 40)] daemons: usize) {
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
    let least = if daemons == 7 { 2 } else { 6 };
    assert_eq!(net.watchers().len(), least);
}

#[rstest]
fn a_fact_reaches_all_and_so_does_its_clearing(
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
    fn parts_add_up_to_the_whole(demands in prop::collection::vec(0..100_000_u32, 1..20)) {
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
fn a_steady_demand_is_told_once() {
    let mut demand = Demand::default();
    let told: Vec<u32> = (0..40)
        .map(|n| demand.observe(1_000 + n % 3 * 20))
        .collect();
    let last = told[39];
    assert!((900..=1_100).contains(&last), "{told:?}");
    assert!(told[10..].iter().all(|&t| t == last), "{told:?}");
    let silent: Vec<u32> = (0..20).map(|_| demand.observe(0)).collect();
    assert_eq!(silent[19], 0, "{silent:?}");
}
