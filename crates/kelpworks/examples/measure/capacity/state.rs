//! Roles whose cost depends on their in-memory state: placement plans, fleet views, routing and
//! admission decisions, register and rules, tables of facts and poison suspects.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::capacity::Series;
use crate::capacity::cost;
use crate::decision;
use crate::decision::LayerSplit;
use crate::fleets;
use kelpworks::placement;
use kelpworks::placement::FailureScope;
use kelpworks::placement::HostKey;
use kelpworks::register::Register;
use kelpworks::rules::Rules;
use kelpworks_coord::facts;
use kelpworks_coord::facts::Facts;
use kelpworks_coord::facts::Kind;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::poison::PoisonTracker;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;
use kelpworks_fakes::Model;
use kelpworks_fakes::config_files;
use kelpworks_fakes::config_files::Team;
use kelpworks_fakes::fleet::EngineView;
use kelpworks_fakes::fleet::FleetView;

const UPSTREAM_COUNTS: [usize; 3] = [40, 150, 600];
const TEAM_COUNTS: [usize; 3] = [10, 500, 2_100];
const HOST_COUNTS: [usize; 3] = [100, 300, 600];
const ENTRY_COUNTS: [usize; 3] = [250, 1_000, 4_000];
/// Minimum processor time of each measurement.
const MIN_CPU_TIME: Duration = Duration::from_millis(200);
const MICROS_PER_SECOND: f64 = 1e6;
const MILLIS_PER_SECOND: f64 = 1e3;

/// Measures all roles of this module.
pub(super) fn all() -> Vec<Series> {
    let mut series = plans();
    series.extend(views());
    series.extend(decisions());
    series.extend(files());
    series.extend(tables());
    series
}

fn plans() -> Vec<Series> {
    let role = "placement";
    let mut time = Series::new(role, "ms a plan", "hosts");
    let mut repair = Series::new(role, "ms a repair after a host", "hosts");
    let mut memory = Series::new(role, "bytes of input and plan", "hosts");
    let Some(target) = fleets::FLEETS.last() else {
        return Vec::new();
    };
    for hosts in HOST_COUNTS {
        let mut input = fleets::draw(target, 1);
        input.hosts.truncate(hosts);
        let size = hosts as f64;
        let start = cost::cpu_time_of_this_thread();
        let plan = black_box(placement::plan(&input));
        time.add(
            size,
            (cost::cpu_time_of_this_thread() - start).as_secs_f64() * MILLIS_PER_SECOND,
        );
        let bytes = cost::resident_bytes_per_value(|| (input.clone(), plan.clone()));
        memory.add(size, bytes);
        input.loaded_ranges = plan.host_ranges(&input);
        let lost = FailureScope::Host(HostKey(0));
        let seconds = cost::cpu_seconds_per_call(MIN_CPU_TIME, || {
            black_box(placement::repair(&input, &plan, lost));
        });
        repair.add(size, seconds * MILLIS_PER_SECOND);
    }
    vec![time, repair, memory]
}

fn views() -> Vec<Series> {
    let role = "fleet view";
    let mut publish = Series::new(role, "us a snapshot", "upstreams");
    let mut index = Series::new(role, "us an index rebuild", "upstreams");
    let mut memory = Series::new(role, "bytes of a snapshot with index", "upstreams");
    for size in UPSTREAM_COUNTS {
        let fleet = decision::fleet(size, LayerSplit::Mixed, 1);
        let x = size as f64;
        let seconds = cost::cpu_seconds_per_call(MIN_CPU_TIME, || {
            black_box(fleet.clone());
        });
        publish.add(x, seconds * MICROS_PER_SECOND);
        let both = cost::cpu_seconds_per_call(MIN_CPU_TIME, || {
            black_box(fleet.clone().indexed());
        });
        index.add(x, (both - seconds) * MICROS_PER_SECOND);
        memory.add(
            x,
            cost::resident_bytes_per_value(|| fleet.clone().indexed()),
        );
    }
    vec![publish, index, memory]
}

fn decisions() -> Vec<Series> {
    let mut path = Series::new("routing", "us a path decision, mixed cuts", "upstreams");
    for size in UPSTREAM_COUNTS {
        let fleet = decision::fleet(size, LayerSplit::Mixed, 1);
        path.add(
            size as f64,
            decision::sampled_path(&fleet, 1) * MICROS_PER_SECOND,
        );
    }
    let mut admit = Series::new("admission", "us a request", "teams");
    for teams in TEAM_COUNTS {
        admit.add(
            teams as f64,
            decision::fair_admission(teams, 1) * MICROS_PER_SECOND,
        );
    }
    vec![path, admit]
}

fn files() -> Vec<Series> {
    let role = "config";
    let mut register_time = Series::new(role, "us to read a register", "upstreams");
    let mut register_bytes = Series::new(role, "bytes of a register", "upstreams");
    let mut register_memory = Series::new(role, "bytes of a register in memory", "upstreams");
    for size in UPSTREAM_COUNTS {
        let text = register_text(size);
        let read = || Register::parse("register", &text).expect("a valid register");
        let x = size as f64;
        register_bytes.add(x, text.len() as f64);
        let seconds = cost::cpu_seconds_per_call(MIN_CPU_TIME, || {
            black_box(read());
        });
        register_time.add(x, seconds * MICROS_PER_SECOND);
        register_memory.add(x, cost::resident_bytes_per_value(read));
    }
    let mut rules_time = Series::new(role, "us to read rules", "teams");
    let mut rules_bytes = Series::new(role, "bytes of rules", "teams");
    let mut rules_memory = Series::new(role, "bytes of rules in memory", "teams");
    for teams in TEAM_COUNTS {
        let text = rules_text(teams);
        let read = || Rules::parse_without_register("rules", &text).expect("valid rules");
        let x = teams as f64;
        rules_bytes.add(x, text.len() as f64);
        let seconds = cost::cpu_seconds_per_call(MIN_CPU_TIME, || {
            black_box(read());
        });
        rules_time.add(x, seconds * MICROS_PER_SECOND);
        rules_memory.add(x, cost::resident_bytes_per_value(read));
    }
    vec![
        register_time,
        register_bytes,
        register_memory,
        rules_time,
        rules_bytes,
        rules_memory,
    ]
}

fn register_text(hosts: usize) -> String {
    let engine = |n: usize| EngineView {
        name: format!("engine-host-{n}"),
        url: String::new(),
        address: (
            Ipv4Addr::new(10, 0, (n / 250) as u8, (n % 250) as u8 + 1),
            8_000,
        )
            .into(),
        failure_domain: format!("domain-{}", n % 4),
        accelerator: format!("kind-{}", n % 5),
        layer_rate: Some(1_000.0),
        checks_fencing: true,
        models: (0..4).map(|m| format!("model-{m}")).collect(),
        loaded: Vec::new(),
    };
    let view = FleetView {
        object_api: String::new(),
        host_list: String::new(),
        weight_store: String::new(),
        engines: (0..hosts).map(engine).collect(),
        services: Vec::new(),
    };
    let models = (0..4).map(|m| Model::new(&format!("model-{m}"), "1", 80));
    config_files::register(&view, &models.collect::<Vec<_>>())
}

fn rules_text(teams: usize) -> String {
    let names: Vec<(String, String)> = (0..teams)
        .map(|t| (format!("team-{t}"), format!("{t:064x}")))
        .collect();
    let teams: Vec<Team<'_>> = names
        .iter()
        .map(|(name, token_sha256)| Team {
            name,
            class: "paying",
            weight: 1,
            token_sha256,
        })
        .collect();
    config_files::rules(0.2, &teams, &[])
}

fn tables() -> Vec<Series> {
    let now = Instant::ZERO;
    let mut fact_time = Series::new("facts", "us a delta, all sent", "facts");
    let mut fact_memory = Series::new("facts", "bytes held", "facts");
    let mut check_time = Series::new("poison", "us a check", "suspects");
    let mut poison_memory = Series::new("poison", "bytes held", "suspects");
    for size in ENTRY_COUNTS {
        let x = size as f64;
        let mut facts = facts_of(size, now);
        while !facts.take_delta(now, 1_000_000, 370).is_empty() {}
        let seconds = cost::cpu_seconds_per_call(MIN_CPU_TIME, || {
            black_box(facts.take_delta(now, 1_000, 370));
        });
        fact_time.add(x, seconds * MICROS_PER_SECOND);
        fact_memory.add(x, cost::resident_bytes_per_value(|| facts.clone()));
        let poison = poison_of(size, now);
        let mut at = 0;
        let seconds = cost::cpu_seconds_per_call(MIN_CPU_TIME, || {
            at = (at + 1) % (2 * size as u64);
            black_box(poison.check(now, Fingerprint(at)));
        });
        check_time.add(x, seconds * MICROS_PER_SECOND);
        poison_memory.add(x, cost::resident_bytes_per_value(|| poison.clone()));
    }
    vec![fact_time, fact_memory, check_time, poison_memory]
}

fn facts_of(size: usize, now: Instant) -> Facts {
    let cfg = facts::Config::default();
    let mut facts = Facts::new(cfg, NodeId(1), Incarnation(1));
    for subject in 0..size as u64 {
        facts.set(now, Kind::Down, subject, Span::from_secs(600));
    }
    facts
}

fn poison_of(size: usize, now: Instant) -> PoisonTracker {
    let cfg = poison::Config {
        max_tracked: size,
        ..poison::Config::default()
    };
    let mut poison = PoisonTracker::new(cfg);
    for n in 0..size as u64 {
        let running = vec![Fingerprint(n)];
        let upstream = UpstreamId(n % 600);
        poison.on_event(now, poison::Event::Crashed { upstream, running });
    }
    poison
}
