//! `recovery`: the gap between tokens that a caller sees when a stage fails during an answer.
//!
//! Each row is one kind of failure and one method of recovery, with the largest gap between two
//! tokens after the failure as a multiple of the median token time before it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics_exporter_prometheus::PrometheusHandle;

use crate::stats;
use crate::support;
use crate::support::ExampleTeam;
use crate::support::Result;
use crate::support::client::Call;
use crate::table::Table;
use kelpworks::daemon;
use kelpworks::daemon::Daemon;
use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::Engine;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_wire::HostState;

const MODEL: &str = "caption";
const LAYERS: u32 = 12;
const STAGES: u32 = 3;
const REPLICAS: u32 = 3;
const TOKENS: u32 = 60;
/// Number of tokens after which the failure is injected.
const FAIL_AFTER_TOKEN: usize = 20;
const RUNS: u64 = 5;
/// Base time of an engine's iteration, and layers a second that it runs, each for one position.
const ITERATION: Duration = Duration::from_millis(4);
const LAYER_RATE: f64 = 40_000.0;
const TEAM: ExampleTeam = ExampleTeam {
    name: "testers",
    class: "paying",
    weight: 1,
    token: "t",
};
/// Baseline: a fixed timeout in place of the progress deadline.
const FIXED_TIMEOUT: &str = "step_floor = \"1 s\"\nstep_ceiling = \"1 s\"";

/// How a stage fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Reference: nothing fails.
    None,
    /// The engine's process crashes: connections close and new ones are refused.
    Reset,
    /// The engine's host stalls on all connections, new ones included.
    Silence,
    /// Only the open connections stall; new ones work.
    SilentConnections,
    /// All engines of the victim's failure domain crash.
    Domain,
    /// The host list shows the host as leaving.
    Leave,
}

const FAILURES: [Failure; 6] = [
    Failure::None,
    Failure::Reset,
    Failure::Silence,
    Failure::SilentConnections,
    Failure::Domain,
    Failure::Leave,
];

impl Failure {
    fn name(self) -> &'static str {
        match self {
            Failure::None => "none",
            Failure::Reset => "reset",
            Failure::Silence => "silence",
            Failure::SilentConnections => "connections silent",
            Failure::Domain => "failure domain",
            Failure::Leave => "planned leave",
        }
    }

    fn inject(self, fakes: &FakeFleet, victim: &Engine) {
        match self {
            Failure::None => {}
            Failure::Reset => victim.crash(),
            Failure::Silence => victim
                .faults()
                .set_connection_mode(ConnectionMode::SilenceAll),
            Failure::SilentConnections => victim
                .faults()
                .set_connection_mode(ConnectionMode::SilenceExisting),
            Failure::Domain => {
                let domain = &victim.config().failure_domain;
                let lost = fakes
                    .engines
                    .iter()
                    .filter(|e| e.config().failure_domain == *domain);
                lost.for_each(Engine::crash);
            }
            Failure::Leave => fakes.host_list.set_state(victim.name(), HostState::Leaving),
        }
    }
}

/// How the answer is completed after the failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecoveryMethod {
    /// The daemon recovers the session.
    Recover,
    /// Baseline: the daemon recovers the session, with a fixed step timeout of 1 s.
    FixedTimeout,
    /// Baseline: the caller detects the failure at once and sends the whole request again.
    Resubmit,
}

/// Runs the measurement.
pub(crate) fn run() -> Table {
    let rt = tokio::runtime::Runtime::new().expect("a runtime");
    let metrics = daemon::install_metrics().expect("the first recorder");
    let mut rows = Vec::new();
    for failure in FAILURES {
        for method in [
            RecoveryMethod::Recover,
            RecoveryMethod::FixedTimeout,
            RecoveryMethod::Resubmit,
        ] {
            if failure == Failure::None && method != RecoveryMethod::Recover {
                continue;
            }
            rows.push(rt.block_on(row(failure, method, &metrics)));
        }
    }
    Table {
        title: format!(
            "recovery: greatest gap over usual token time, {STAGES} stages x {REPLICAS} replicas, \
             failure after token {FAIL_AFTER_TOKEN} of {TOKENS}, {RUNS} runs"
        ),
        head: vec!["failure", "way", "min", "median", "max", "answers whole"],
        rows,
    }
}

async fn row(failure: Failure, method: RecoveryMethod, metrics: &PrometheusHandle) -> Vec<String> {
    let mut gaps = Vec::new();
    let mut whole = 0;
    for seed in 0..RUNS {
        match measure_once(failure, method, seed, metrics).await {
            Ok(gap) => {
                whole += 1;
                gaps.push(gap);
            }
            Err(e) => eprintln!("{} {method:?}: {e}", failure.name()),
        }
    }
    let name = match method {
        RecoveryMethod::Recover => "recover",
        RecoveryMethod::FixedTimeout => "baseline: fixed timeout",
        RecoveryMethod::Resubmit => "baseline: resubmit, told at once",
    };
    let mut row = vec![failure.name().to_owned(), name.to_owned()];
    row.extend(stats::min_median_max(&gaps, 1));
    row.push(format!("{whole}/{RUNS}"));
    row
}

/// Runs one failure and returns the largest gap over the median token time.
async fn measure_once(
    failure: Failure,
    method: RecoveryMethod,
    seed: u64,
    metrics: &PrometheusHandle,
) -> Result<f64> {
    let model = Model::new(MODEL, "1", LAYERS);
    let mut cfg = FleetConfig::pipeline(&model, STAGES, REPLICAS);
    for engine in &mut cfg.engines {
        engine.iteration_base = ITERATION;
        engine.layer_rate = LAYER_RATE;
        engine.restart_after = None;
    }
    let fakes = Arc::new(FakeFleet::spawn(cfg).await?);
    support::put_config(&fakes, std::slice::from_ref(&model), 0.2, &[TEAM])?;
    let timing = if method == RecoveryMethod::FixedTimeout {
        FIXED_TIMEOUT
    } else {
        ""
    };
    let daemons = support::start_daemons(&fakes, 1, timing, metrics).await?;
    let call = call(&daemons[0], seed);
    let client = reqwest::Client::new();
    // Warm-up: opens connections and lets the daemon observe step times.
    call.stream(&client, |_, _| true).await?;
    let result = match method {
        RecoveryMethod::Resubmit => measure_resubmission(&call, &client, &fakes, failure).await,
        _ => measure_recovery(&call, &client, &fakes, failure, &model).await,
    };
    for daemon in daemons {
        daemon.kill();
    }
    result
}

fn call(daemon: &Daemon, seed: u64) -> Call {
    Call {
        base: format!("http://{}", daemon.bound_addresses().callers),
        token: TEAM.token.to_owned(),
        model: MODEL.to_owned(),
        prompt: format!("valve {seed}, upstream side, shut and dripping"),
        max_tokens: TOKENS,
    }
}

/// Returns the engine that runs the second stage of a session.
fn victim<'a>(fakes: &'a FakeFleet, session: &str) -> Option<&'a Engine> {
    let middle = |e: &&Engine| {
        let runs = e.ledger().runs_of(session);
        runs.iter().any(|r| r.layers.first == LAYERS / STAGES)
    };
    fakes.engines.iter().find(middle)
}

async fn measure_recovery(
    call: &Call,
    client: &reqwest::Client,
    fakes: &FakeFleet,
    failure: Failure,
    model: &Model,
) -> Result<f64> {
    let answer = call
        .stream(client, |session, n| {
            if n == FAIL_AFTER_TOKEN
                && let Some(victim) = victim(fakes, session)
            {
                failure.inject(fakes, victim);
            }
            true
        })
        .await?;
    if !answer.complete || answer.text != model.answer_text(&call.prompt, TOKENS) {
        return Err(format!("answer broken after {} tokens", answer.token_times.len()).into());
    }
    let typical = stats::median(&stats::gaps(&answer.token_times[..FAIL_AFTER_TOKEN]));
    let after = stats::gaps(&answer.token_times[FAIL_AFTER_TOKEN - 1..]);
    Ok(after.iter().copied().fold(0.0, f64::max) / typical)
}

/// Time from the failure until a new request has delivered the token after it, over the median
/// token time.
async fn measure_resubmission(
    call: &Call,
    client: &reqwest::Client,
    fakes: &FakeFleet,
    failure: Failure,
) -> Result<f64> {
    let mut session = String::new();
    let before = call
        .stream(client, |id, n| {
            session = id.to_owned();
            n < FAIL_AFTER_TOKEN
        })
        .await?;
    if let Some(victim) = victim(fakes, &session) {
        failure.inject(fakes, victim);
    }
    let failed = Instant::now();
    let again = call.stream(client, |_, n| n <= FAIL_AFTER_TOKEN).await?;
    let typical = stats::median(&stats::gaps(&before.token_times));
    let recovered_after = again
        .token_times
        .last()
        .ok_or("no token")?
        .duration_since(failed);
    Ok(recovered_after.as_secs_f64() / typical)
}
