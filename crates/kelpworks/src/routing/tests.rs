//! Tests of routing.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use crate::fleet::Counters;
use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::fleet::Health;
use crate::fleet::LayerAssignment;
use crate::fleet::LinkCost;
use crate::fleet::ModelKey;
use crate::fleet::ModelView;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::routing::CachedPrefix;
use crate::routing::Error;
use crate::routing::Hop;
use crate::routing::Path;
use crate::routing::PathGuard;
use crate::routing::PathQuery;
use crate::routing::Reason;
use crate::routing::choose_path;
use crate::routing::choose_path_cached;
use crate::routing::choose_service;
use kelpworks_wire::Class;
use kelpworks_wire::LayerRange;

const LAYERS: u32 = 12;

/// An upstream of a test: health, failure domain, version, first layer, end of the layers.
#[derive(Clone, Copy, Debug)]
struct Spec(Health, u16, u16, u32, u32);

fn upstream(name: usize, spec: Spec) -> Upstream {
    let Spec(health, domain, version, first, end) = spec;
    Upstream {
        name: Arc::from(format!("u{name}")),
        url: Arc::from(""),
        domain: DomainKey(domain),
        health,
        layer_rate: 1000.0,
        layer_assignments: vec![LayerAssignment {
            model: ModelKey(0),
            version,
            layers: LayerRange { first, end },
        }],
        service: None,
        incarnation: 1,
        counters: Arc::new(Counters::default()),
    }
}

fn fleet_of(upstreams: Vec<Upstream>) -> (Fleet, Vec<UpstreamKey>) {
    let mut fleet = Fleet {
        domains: vec!["a".into(), "b".into()],
        models: vec![ModelView {
            name: "captions".into(),
            layers: LAYERS,
            versions: vec!["v2".into(), "v1".into()],
        }],
        ..Fleet::default()
    };
    let keys: Vec<UpstreamKey> = upstreams
        .into_iter()
        .map(|u| fleet.upstreams.insert(u))
        .collect();
    let link = |ms| LinkCost {
        latency: Duration::from_millis(ms),
        bytes_per_second: 1_000_000_000,
    };
    fleet.links = vec![link(0), link(50), link(50), link(0)];
    fleet.by_model = vec![keys.clone()];
    fleet.by_service.insert("records".into(), keys.clone());
    (fleet.indexed(), keys)
}

fn fleet(specs: &[Spec]) -> (Fleet, Vec<UpstreamKey>) {
    let upstreams = specs.iter().enumerate().map(|(i, &s)| upstream(i, s));
    fleet_of(upstreams.collect())
}

fn query() -> PathQuery<'static> {
    PathQuery {
        model: ModelKey(0),
        version: None,
        from: DomainKey(0),
        class: Class::Paying,
        prefill: 10,
        avoid: &[],
        keep: &[],
        now_ms: 1000,
    }
}

/// Formats the version of a path and the name, layers and reason of each hop, or the error.
fn show(fleet: &Fleet, result: &Result<Path, Error>) -> String {
    let path = match result {
        Ok(path) => path,
        Err(e) => return e.to_string(),
    };
    let hops = path.hops.iter().zip(&path.explanation.hops).map(|(h, r)| {
        let name = &fleet.upstreams[h.upstream].name;
        let LayerRange { first, end } = h.layers;
        format!("{name} {first}..{end} {}", r.reason.as_str())
    });
    let hops: Vec<String> = hops.collect();
    format!("version {}: {}", path.version, hops.join(", "))
}

use Health::Down;
use Health::Leaving;
use Health::Live;
use Health::Suspect;

#[rstest]
#[case::one_holder(&[Spec(Live, 0, 0, 0, 12)], "version 0: u0 0..12 only-candidate")]
#[case::stages(
    &[Spec(Live, 0, 0, 0, 6), Spec(Live, 0, 0, 6, 12)],
    "version 0: u0 0..6 only-candidate, u1 6..12 only-candidate"
)]
#[case::overlap(
    &[Spec(Live, 0, 0, 0, 7), Spec(Live, 0, 0, 5, 12)],
    "version 0: u0 0..7 only-candidate, u1 7..12 only-candidate"
)]
#[case::gap(&[Spec(Live, 0, 0, 0, 5), Spec(Live, 0, 0, 6, 12)], "no live upstream holds layer 5")]
#[case::no_upstream(&[], "no live upstream holds layer 0")]
#[case::leaving_is_excluded(&[Spec(Leaving, 0, 0, 0, 12)], "no live upstream holds layer 0")]
#[case::down_is_excluded(&[Spec(Down, 0, 0, 0, 12)], "no live upstream holds layer 0")]
#[case::suspect_is_last(
    &[Spec(Suspect, 0, 0, 0, 12), Spec(Live, 1, 0, 0, 12)],
    "version 0: u1 0..12 only-candidate"
)]
#[case::suspect_is_last_resort(
    &[Spec(Suspect, 0, 0, 0, 12)],
    "version 0: u0 0..12 last-resort"
)]
#[case::other_version_when_incomplete(
    &[Spec(Live, 0, 0, 0, 6), Spec(Live, 0, 1, 0, 12)],
    "version 1: u1 0..12 only-candidate"
)]
#[case::never_two_versions(
    &[Spec(Live, 0, 0, 0, 6), Spec(Live, 0, 1, 6, 12)],
    "no live upstream holds layer 6"
)]
#[case::local_stage_is_preferred(
    &[Spec(Live, 0, 0, 0, 6), Spec(Live, 0, 0, 6, 12), Spec(Live, 1, 0, 6, 12)],
    "version 0: u0 0..6 only-candidate, u1 6..12 cheapest"
)]
#[case::whole_local_path_beats_crossing_a_slow_link(
    // u0 is the cheapest first stage, but from there the session has to cross the slow link to u1.
    &[Spec(Live, 0, 0, 0, 6), Spec(Live, 1, 0, 6, 12), Spec(Live, 0, 0, 0, 12)],
    "version 0: u2 0..12 only-candidate"
)]
fn path_covers_all_layers_with_the_best_upstreams(#[case] specs: &[Spec], #[case] expected: &str) {
    let (fleet, _) = fleet(specs);
    for seed in 0..20 {
        let got = choose_path(&fleet, &query(), &mut StdRng::seed_from_u64(seed));
        assert_eq!(show(&fleet, &got), expected);
    }
}

/// Two replicas of each half of the model; the previous path of the session was u0 and u2.
#[rstest]
#[case::all_stay(&[Live, Live, Live, Live], &[], "u0 0..6 kept, u2 6..12 kept")]
#[case::leaving_stays(&[Leaving, Live, Live, Live], &[], "u0 0..6 kept, u2 6..12 kept")]
#[case::down_goes(&[Down, Live, Live, Live], &[], "u1 0..6 only-candidate, u2 6..12 kept")]
#[case::failed_goes(&[Live, Live, Live, Live], &[2], "u0 0..6 kept, u3 6..12 only-candidate")]
#[case::failed_is_last_resort(
    &[Live, Live, Live, Down], &[2], "u0 0..6 kept, u2 6..12 last-resort"
)]
fn usable_hops_of_the_previous_path_are_kept(
    #[case] health: &[Health],
    #[case] avoid: &[usize],
    #[case] expected: &str,
) {
    let ranges = [(0, 6), (0, 6), (6, 12), (6, 12)];
    let specs: Vec<Spec> = health
        .iter()
        .zip(ranges)
        .map(|(&h, (first, end))| Spec(h, 0, 0, first, end))
        .collect();
    let (fleet, keys) = fleet(&specs);
    let hop = |i: usize| Hop {
        upstream: keys[i],
        layers: fleet.upstreams[keys[i]].layer_assignments[0].layers.clone(),
    };
    let keep = [hop(0), hop(2)];
    let avoid: Vec<UpstreamKey> = avoid.iter().map(|&i| keys[i]).collect();
    let query = PathQuery {
        version: Some(0),
        keep: &keep,
        avoid: &avoid,
        ..query()
    };
    let got = choose_path(&fleet, &query, &mut StdRng::seed_from_u64(1));
    assert_eq!(show(&fleet, &got), format!("version 0: {expected}"));
}

#[rstest]
#[case::down(Down, Err(Error::LayerMissing { layer: 0 }))]
#[case::leaving(Leaving, Err(Error::LayerMissing { layer: 0 }))]
#[case::suspect(Suspect, Ok(Reason::LastResort))]
fn stale_index_excludes_upstreams_that_take_no_work(
    #[case] health: Health,
    #[case] expected: Result<Reason, Error>,
) {
    let (mut fleet, keys) = fleet(&[Spec(Live, 0, 0, 0, 12)]);
    fleet.upstreams[keys[0]].health = health;
    let path = choose_path(&fleet, &query(), &mut StdRng::seed_from_u64(1));
    assert_eq!(path.map(|p| p.explanation.hops[0].reason), expected);
}

/// Each change makes u0 costlier than u1, which is otherwise equal, so that the session uses u1.
#[rstest]
#[case::queue(|fleet: &mut Fleet, u0: UpstreamKey| {
    fleet.upstreams[u0].counters.reported.store(9, Ordering::Relaxed);
})]
#[case::sent_since_report(|fleet: &mut Fleet, u0: UpstreamKey| {
    fleet.upstreams[u0].counters.sent_since_report.store(9, Ordering::Relaxed);
})]
#[case::sessions(|fleet: &mut Fleet, u0: UpstreamKey| {
    fleet.upstreams[u0].counters.sessions.store(9, Ordering::Relaxed);
})]
#[case::slow(|fleet: &mut Fleet, u0: UpstreamKey| fleet.upstreams[u0].layer_rate = 500.0)]
#[case::cooling(|fleet: &mut Fleet, u0: UpstreamKey| {
    fleet.upstreams[u0].counters.busy_until_ms.store(1500, Ordering::Relaxed);
})]
#[case::other_domain(
    |fleet: &mut Fleet, u0: UpstreamKey| fleet.upstreams[u0].domain = DomainKey(1)
)]
fn session_avoids_the_costlier_upstream(#[case] change: fn(&mut Fleet, UpstreamKey)) {
    let (mut fleet, keys) = fleet(&[Spec(Live, 0, 0, 0, 12), Spec(Live, 0, 0, 0, 12)]);
    change(&mut fleet, keys[0]);
    let fleet = fleet.indexed();
    for seed in 0..20 {
        let path = choose_path(&fleet, &query(), &mut StdRng::seed_from_u64(seed)).unwrap();
        assert_eq!(path.hops[0].upstream, keys[1], "seed {seed}");
    }
}

#[test]
fn simultaneous_sessions_are_balanced_by_layer_rate() {
    let (mut fleet, keys) = fleet(&[Spec(Live, 0, 0, 0, 12); 4]);
    fleet.upstreams[keys[0]].layer_rate = 5000.0;
    let fleet = fleet.indexed();
    let mut rng = StdRng::seed_from_u64(1);
    let mut start = || {
        let path = choose_path(&fleet, &query(), &mut rng).unwrap();
        PathGuard::new(&fleet, &path.hops)
    };
    let assigned: Vec<PathGuard> = (0..80).map(|_| start()).collect();
    let sessions = |key: &UpstreamKey| {
        let counters = &fleet.upstreams[*key].counters;
        counters.sessions.load(Ordering::Relaxed)
    };
    let counts: Vec<u32> = keys.iter().map(sessions).collect();
    assert_eq!(counts.iter().sum::<u32>(), 80);
    assert!(counts[0].abs_diff(50) <= 5, "{counts:?}");
    assert!(
        counts[1..].iter().all(|c| c.abs_diff(10) <= 3),
        "{counts:?}"
    );
    drop(assigned);
    assert!(keys.iter().all(|key| sessions(key) == 0));
}

#[test]
fn slow_upstream_is_avoided_but_still_explored() {
    let (fleet, keys) = fleet(&[Spec(Live, 0, 0, 0, 12), Spec(Live, 0, 0, 0, 12)]);
    let counters = &fleet.upstreams[keys[0]].counters;
    counters.step_us.store(100_000, Ordering::Relaxed);
    let mut rng = StdRng::seed_from_u64(1);
    let chosen = (0..1000).filter(|_| {
        let path = choose_path(&fleet, &query(), &mut rng).unwrap();
        path.hops[0].upstream == keys[0]
    });
    let chosen = chosen.count();
    assert!((1..100).contains(&chosen), "{chosen} of 1000");
}

#[test]
fn cached_prefix_attracts_the_session() {
    let (fleet, keys) = fleet(&[Spec(Live, 0, 0, 0, 12); 20]);
    let query = PathQuery {
        prefill: 1000,
        ..query()
    };
    let cached = [CachedPrefix {
        upstream: keys[7],
        positions: 900,
    }];
    let mut rng = StdRng::seed_from_u64(1);
    let path = choose_path_cached(&fleet, &query, &cached, &mut rng).unwrap();
    assert_eq!(path.hops[0].upstream, keys[7]);
}

#[test]
fn explanation_names_the_runner_up() {
    let (fleet, keys) = fleet(&[
        Spec(Live, 0, 0, 0, 6),
        Spec(Live, 0, 0, 0, 6),
        Spec(Live, 1, 0, 6, 12),
    ]);
    fleet.upstreams[keys[1]]
        .counters
        .reported
        .store(3, Ordering::Relaxed);
    let fleet = fleet.indexed();
    let path = choose_path(&fleet, &query(), &mut StdRng::seed_from_u64(3)).unwrap();
    insta::assert_snapshot!(path.explanation.display(&fleet));
}

#[rstest]
#[case::less_loaded(&[(Live, 5), (Live, 1)], &[], Some(1))]
#[case::suspect_last(&[(Suspect, 0), (Live, 9)], &[], Some(1))]
#[case::failed_last(&[(Live, 0), (Live, 9)], &[0], Some(1))]
#[case::suspect_and_failed_is_last_resort(&[(Down, 0), (Suspect, 9)], &[1], Some(1))]
#[case::leaving(&[(Leaving, 0), (Down, 0)], &[], None)]
fn service_prefers_the_less_loaded_healthy_upstream(
    #[case] upstreams: &[(Health, u32)],
    #[case] avoid: &[usize],
    #[case] expected: Option<usize>,
) {
    let specs: Vec<Spec> = upstreams.iter().map(|u| Spec(u.0, 0, 0, 0, 1)).collect();
    let (fleet, keys) = fleet(&specs);
    for (&key, &(_, in_flight)) in keys.iter().zip(upstreams) {
        let counters = &fleet.upstreams[key].counters;
        counters.in_flight.store(in_flight, Ordering::Relaxed);
    }
    let avoid: Vec<UpstreamKey> = avoid.iter().map(|&i| keys[i]).collect();
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let got = choose_service(&fleet, "records", &avoid, 0, &mut rng).ok();
        assert_eq!(got, expected.map(|i| keys[i]));
    }
}

fn any_spec() -> impl Strategy<Value = (Spec, bool)> {
    let health = prop_oneof![
        4 => Just(Live), 1 => Just(Suspect), 1 => Just(Leaving), 1 => Just(Down)
    ];
    let range = (0..LAYERS, 1..=LAYERS).prop_map(|(first, len)| (first, (first + len).min(LAYERS)));
    let spec = (health, 0..2u16, 0..2u16, range);
    let spec = spec.prop_map(|(h, d, v, (first, end))| Spec(h, d, v, first, end));
    (spec, any::<bool>())
}

proptest! {
    /// The path covers every layer once and in order, on upstreams that have the layers in the
    /// path's version and may take work. It uses a last resort only if preferred upstreams alone
    /// do not have all layers, and there is a path whenever upstreams that may take work have all.
    #[test]
    fn path_upholds_its_invariants(
        specs in prop::collection::vec(any_spec(), 0..24),
        version in prop::option::of(0..2u16),
        seed: u64,
    ) {
        let (fleet, keys) = fleet(&specs.iter().map(|s| s.0).collect::<Vec<_>>());
        let avoid: Vec<UpstreamKey> =
            keys.iter().zip(&specs).filter(|(_, s)| s.1).map(|(&k, _)| k).collect();
        let query = PathQuery { version, avoid: &avoid, ..query() };
        let all_layers_match = |version: u16, fits: &dyn Fn(&(Spec, bool)) -> bool| {
            (0..LAYERS).all(|l| {
                let holds = |s: &Spec| s.2 == version && s.3 <= l && l < s.4;
                specs.iter().any(|s| holds(&s.0) && fits(s))
            })
        };
        let serves = |s: &(Spec, bool)| matches!(s.0.0, Live | Suspect);
        let is_preferred = |s: &(Spec, bool)| s.0.0 == Live && !s.1;
        let result = choose_path(&fleet, &query, &mut StdRng::seed_from_u64(seed));
        let Ok(path) = result else {
            prop_assert!((0..2).filter(|&v| version.is_none_or(|w| w == v))
                .all(|v| !all_layers_match(v, &serves)));
            return Ok(());
        };
        prop_assert!(version.is_none_or(|v| v == path.version));
        let mut at = 0;
        for hop in &path.hops {
            prop_assert_eq!(hop.layers.first, at);
            prop_assert!(hop.layers.end > at);
            at = hop.layers.end;
            let (spec, _) = specs[keys.iter().position(|&k| k == hop.upstream).unwrap()];
            prop_assert!(matches!(spec.0, Live | Suspect));
            prop_assert!(spec.2 == path.version && spec.3 <= hop.layers.first && at <= spec.4);
        }
        prop_assert_eq!(at, LAYERS);
        let last = path.explanation.hops.iter().any(|h| h.reason == Reason::LastResort);
        prop_assert!(!(last && all_layers_match(path.version, &is_preferred)));
    }
}
