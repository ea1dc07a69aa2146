//! `control`: bytes that daemons exchange with their peers, and how they grow with the fleet.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::net::Net;
use crate::net::NetConfig;
use crate::table::Table;
use kelpworks::membership::Config;
use kelpworks::membership::Peers;
use kelpworks::membership::PeersConfig;
use kelpworks::membership::TrafficTotals;
use kelpworks_coord::facts::Kind;
use kelpworks_coord::time::Span;

/// Numbers of daemons measured over real sockets.
const SOCKET_FLEETS: [usize; 3] = [7, 30, 100];
/// Numbers of daemons measured with the state machines alone, in virtual time.
const VIRTUAL_FLEETS: [usize; 4] = [7, 30, 100, 370];
/// Time for daemons to discover each other, and duration of the measurement.
const WARM_UP: Duration = Duration::from_secs(10);
const MEASURED_TIME: Duration = Duration::from_secs(30);
const VIRTUAL_MS: u64 = 60_000;
/// Steps of a run; in [`Load::Day`] each step has the events of a 400th of a day.
const STEPS: u64 = 40;
/// A tenth of a day, whose events the steps of a [`Load::Day`] run cover.
const TENTH_OF_DAY_MS: f64 = 8_640_000.0;
/// Two-year target for the bytes a second that a daemon sends.
const TARGET_BYTES_PER_SECOND: f64 = 2_000.0;
/// Number of daemons for which the fit is evaluated.
const TARGET_DAEMONS: f64 = 370.0;

/// Load on the daemons during a run in virtual time.
#[derive(Clone, Copy)]
enum Load {
    /// No changes.
    Quiet,
    /// The trial demand of every daemon changes at every third step.
    Demand,
    /// Restarts, crashes, new generations and facts of a tenth of a day.
    Day,
}

/// Runs the measurement.
pub(crate) fn run() -> Table {
    let mut rows = Vec::new();
    let mut points = Vec::new();
    for daemons in SOCKET_FLEETS {
        let rates = socket_rates(daemons);
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        let max_rate = rates.iter().copied().fold(0.0, f64::max);
        points.push((daemons as f64, mean));
        rows.push(row(daemons, "real sockets, quiet", mean, Some(max_rate)));
    }
    let (slope, at_target) = fit(&points);
    let what = format!("fit of real sockets, {slope:+.2} B/s for each daemon");
    rows.push(row(TARGET_DAEMONS as usize, &what, at_target, None));
    for daemons in VIRTUAL_FLEETS {
        // The runs can go in parallel, as each has its own virtual clock.
        let [quiet, demand, packed] = std::thread::scope(|scope| {
            let started = [Load::Quiet, Load::Demand, Load::Day]
                .map(|load| scope.spawn(move || virtual_rate(daemons, load)));
            started.map(|t| t.join().expect("a run"))
        });
        let day = quiet + (packed - quiet) * VIRTUAL_MS as f64 / TENTH_OF_DAY_MS;
        let rates = [
            ("state machines, quiet", quiet),
            ("state machines, demand of all moves each 5 s", demand),
            ("state machines, a day's events over the day", day),
            ("state machines, a tenth of a day's events in 60 s", packed),
        ];
        rows.extend(rates.map(|(case, rate)| row(daemons, case, rate, None)));
    }
    Table {
        title: format!(
            "control: bytes a second that a daemon sends and receives for peers; sockets over \
             {MEASURED_TIME:?}, state machines over {} s; aim {TARGET_BYTES_PER_SECOND} sent",
            VIRTUAL_MS / 1_000
        ),
        head: vec![
            "daemons",
            "case",
            "sent+received",
            "sent",
            "over aim",
            "most sent",
        ],
        rows,
    }
}

/// Formats a row; `both` is the bytes a second that a daemon sends and receives.
fn row(daemons: usize, case: &str, both: f64, max_rate: Option<f64>) -> Vec<String> {
    vec![
        daemons.to_string(),
        case.to_owned(),
        format!("{both:.0}"),
        format!("{:.0}", both / 2.0),
        format!("{:.2}", both / 2.0 / TARGET_BYTES_PER_SECOND),
        max_rate.map_or(String::new(), |m| format!("{:.0}", m / 2.0)),
    ]
}

/// Slope of the least-squares line and its value at [`TARGET_DAEMONS`].
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let over = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
    let under = points.iter().map(|p| (p.0 - mean_x).powi(2));
    let slope = over.sum::<f64>() / under.sum::<f64>();
    (slope, mean_y + slope * (TARGET_DAEMONS - mean_x))
}

/// Bytes a second that each of `daemons` daemons sends and receives over loopback sockets.
fn socket_rates(daemons: usize) -> Vec<f64> {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let stop = CancellationToken::new();
        let mut all = Vec::new();
        for at in 0..daemons {
            let cfg = PeersConfig {
                name: format!("entry-{at}"),
                failure_domain: format!("domain-{}", at % 3),
                listen: "127.0.0.1:0".parse().expect("an address"),
                advertise: None,
                heartbeat: Duration::from_secs(1),
            };
            let (peers, _heads) = Peers::start(cfg, stop.child_token()).await.expect("a port");
            all.push(peers);
        }
        let contacts: Vec<_> = all.iter().map(Peers::contact).collect();
        for peers in &all {
            peers.set_member_list(&contacts);
        }
        tokio::time::sleep(WARM_UP).await;
        let before: Vec<TrafficTotals> = all.iter().map(Peers::traffic).collect();
        tokio::time::sleep(MEASURED_TIME).await;
        let bytes = |(peers, before): (&Peers, &TrafficTotals)| {
            let now = peers.traffic();
            let bytes = now.sent + now.received - before.sent - before.received;
            bytes as f64 / MEASURED_TIME.as_secs_f64()
        };
        let rates = all.iter().zip(&before).map(bytes).collect();
        stop.cancel();
        rates
    })
}

/// Bytes a second that a daemon sends and receives, measured with the state machines alone. A day
/// has 80 restarts, 5 crashes, 400 generations and 40 facts.
fn virtual_rate(daemons: usize, load: Load) -> f64 {
    let mut net = Net::new(NetConfig {
        daemons,
        regions: if daemons > 100 { 2 } else { 1 },
        node: Config::default(),
        all_watch: false,
        count_bytes: true,
        seed: 1,
    });
    net.run_for(20_000);
    let before = net.counts.bytes;
    for step in 0..STEPS {
        match load {
            Load::Day => day(&mut net, step, daemons),
            Load::Demand if step.is_multiple_of(3) => move_demand(&mut net, step, daemons),
            Load::Demand | Load::Quiet => {}
        }
        net.run_for(VIRTUAL_MS / STEPS);
    }
    let bytes = (net.counts.bytes - before) as f64;
    2.0 * bytes / daemons as f64 / (VIRTUAL_MS as f64 / 1_000.0)
}

/// Changes the trial demand of each daemon by enough that it has to be reported to peers.
fn move_demand(net: &mut Net, step: u64, daemons: usize) {
    for at in 0..daemons {
        net.act(at, |node, _| {
            node.set_trial_demand(1_000 + (step as u32 + at as u32) % 7 * 200);
            Vec::new()
        });
    }
}

/// Applies the events of a 400th of a day.
fn day(net: &mut Net, step: u64, daemons: usize) {
    net.swap(None);
    let at = step as usize % daemons;
    if step.is_multiple_of(5) {
        net.crash(at);
        net.restart(at);
    }
    if step.is_multiple_of(80) {
        net.crash((at + 1) % daemons);
    }
    if step % 80 == 40 {
        let down = (0..daemons).find(|&at| net.node(at).is_none());
        if let Some(at) = down {
            net.restart(at);
        }
    }
    if step.is_multiple_of(10) {
        let now_at = (at + 2) % daemons;
        net.act(now_at, |node, now| {
            node.set_fact(now, Kind::Leaving, step, 0, Span::from_secs(30));
            Vec::new()
        });
    }
}
