//! Retries of the pipeline driver: a budget over all sessions bounds them, and an answer that has
//! already sent tokens is completed even when the budget is spent.
//!
//! The engine here runs in memory, on a paused clock, so that the counts are the same on any
//! machine.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use kelpworks::admission::Admission;
use kelpworks::admission::AdmissionRequest;
use kelpworks::clients::engine;
use kelpworks::clients::engine::Engine;
use kelpworks::fleet::DomainKey;
use kelpworks::fleet::Fleet;
use kelpworks::fleet::Health;
use kelpworks::fleet::LayerAssignment;
use kelpworks::fleet::LinkCost;
use kelpworks::fleet::ModelKey;
use kelpworks::fleet::ModelView;
use kelpworks::fleet::Upstream;
use kelpworks::pipeline::Deadlines;
use kelpworks::pipeline::Driver;
use kelpworks::pipeline::Job;
use kelpworks::pipeline::Outcome;
use kelpworks::pipeline::SessionError;
use kelpworks::quarantine;
use kelpworks::quarantine::Quarantine;
use kelpworks::quarantine::fingerprint;
use kelpworks::retry::AbandonReason;
use kelpworks::retry::BusyConfig;
use kelpworks::retry::Cooldowns;
use kelpworks::retry::DeadlineConfig;
use kelpworks::retry::RetryBudget;
use kelpworks::retry::RetryConfig;
use kelpworks::verdict::Verdict;
use kelpworks_coord::id::NodeId;
use kelpworks_wire::BusyReply;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::Class;
use kelpworks_wire::EngineLoad;
use kelpworks_wire::EngineOrder;
use kelpworks_wire::EngineState;
use kelpworks_wire::LayerRange;
use kelpworks_wire::OrderReply;
use kelpworks_wire::OutputForm;
use kelpworks_wire::Step;
use kelpworks_wire::StepBatch;
use kelpworks_wire::StepBatchReply;
use kelpworks_wire::StepOutcome;
use kelpworks_wire::StepReply;

const LAYERS: u32 = 4;
/// First layer of the last stage, in which the failures occur.
const LAST_STAGE_FIRST_LAYER: u32 = 2;
const REPLICAS: u32 = 3;
const STEP_TIME: Duration = Duration::from_millis(5);
const TOKENS: u32 = 6;
const REQUESTS: u64 = 100;
/// Recoveries per request that a spent budget delays but does not refuse.
const GUARANTEED_RECOVERIES: u64 = 2;
const LOAD: EngineLoad = EngineLoad {
    draining: false,
    kv_free: 1_000,
    queue_ms: 0,
    queued: 0,
    running: 0,
};

/// An engine client whose first stage runs all steps and whose last stage follows a script.
#[derive(Debug, Default)]
struct ScriptedEngine {
    /// Steps sent to the last stage so far.
    last_stage_steps: AtomicU64,
    /// Steps that the last stage still runs before it fails.
    successes: AtomicI64,
    /// Steps that the last stage fails after that; it runs all further ones.
    failures: AtomicI64,
    /// Steps that the last stage answers busy first of all.
    busy: AtomicI64,
}

fn consume_one(count: &AtomicI64) -> bool {
    count.fetch_sub(1, Ordering::Relaxed) > 0
}

impl Engine for ScriptedEngine {
    async fn steps(
        &self,
        _url: &Arc<str>,
        batch: &StepBatch,
        _deadline: Duration,
    ) -> engine::Result<StepBatchReply> {
        tokio::time::sleep(STEP_TIME).await;
        let step = &batch.steps[0];
        let first = step.layers.first;
        if first != LAST_STAGE_FIRST_LAYER {
            let handle = format!(
                "{}/{}/{first}/{}",
                step.session, step.attempt, step.position
            );
            return Ok(reply(step, StepOutcome::Handle(handle)));
        }
        self.last_stage_steps.fetch_add(1, Ordering::Relaxed);
        if consume_one(&self.busy) {
            let busy = BusyReply { retry_after_ms: 10 };
            return Ok(reply(step, StepOutcome::Busy(busy)));
        }
        if !consume_one(&self.successes) && consume_one(&self.failures) {
            return Err(engine::Error::Lost("reset".to_owned()));
        }
        Ok(reply(step, StepOutcome::Token(7)))
    }

    async fn cancel(
        &self,
        _url: &Arc<str>,
        _req: &CancelRequest,
        _deadline: Duration,
    ) -> engine::Result<()> {
        Ok(())
    }

    async fn state(&self, _url: &Arc<str>, _deadline: Duration) -> engine::Result<EngineState> {
        Ok(EngineState {
            draining: false,
            highest_fence: 0,
            incarnation: 1,
            load: LOAD,
            loaded: Vec::new(),
            loading: Vec::new(),
            name: String::new(),
        })
    }

    async fn order(
        &self,
        _url: &Arc<str>,
        _order: &EngineOrder,
        _deadline: Duration,
    ) -> engine::Result<OrderReply> {
        unimplemented!("the driver gives no orders")
    }

    async fn probe(&self, url: &Arc<str>, deadline: Duration) -> engine::Result<EngineState> {
        self.state(url, deadline).await
    }
}

fn reply(step: &Step, outcome: StepOutcome) -> StepBatchReply {
    let ran = !matches!(outcome, StepOutcome::Busy(_));
    let positions = match &step.input {
        kelpworks_wire::StepInput::Tokens(tokens) => tokens.len() as u32,
        kelpworks_wire::StepInput::Handle(handle) => handle.count,
        kelpworks_wire::StepInput::Rows(rows) => rows.len() as u32,
    };
    let reply = StepReply {
        attempt: step.attempt,
        count: if ran { positions } else { 0 },
        incarnation: 1,
        layers: step.layers.clone(),
        load: LOAD,
        model: step.model.clone(),
        outcome,
        position: step.position,
        session: step.session.clone(),
        version: step.version.clone(),
    };
    StepBatchReply {
        replies: vec![reply],
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet {
        domains: vec!["hall".to_owned()],
        models: vec![ModelView {
            name: "caption".to_owned(),
            layers: LAYERS,
            versions: vec!["1".to_owned()],
        }],
        links: vec![LinkCost {
            latency: Duration::ZERO,
            bytes_per_second: 1_000_000,
        }],
        ..Fleet::default()
    };
    let mut keys = Vec::new();
    for (first, end) in [
        (0, LAST_STAGE_FIRST_LAYER),
        (LAST_STAGE_FIRST_LAYER, LAYERS),
    ] {
        for replica in 0..REPLICAS {
            let name: Arc<str> = format!("engine-{first}-{replica}").into();
            keys.push(fleet.upstreams.insert(Upstream {
                url: Arc::clone(&name),
                name,
                domain: DomainKey(0),
                health: Health::Live,
                layer_rate: 1_000.0,
                layer_assignments: vec![LayerAssignment {
                    model: ModelKey(0),
                    version: 0,
                    layers: LayerRange { first, end },
                }],
                service: None,
                incarnation: 1,
                counters: Arc::default(),
            }));
        }
    }
    fleet.by_model = vec![keys];
    fleet.indexed()
}

fn driver(script: ScriptedEngine, retries: RetryConfig) -> Driver<ScriptedEngine> {
    let (reports, _) = mpsc::unbounded_channel();
    Driver {
        engine: Arc::new(script),
        fleet: Arc::new(ArcSwap::from_pointee(fleet())),
        reports,
        domain: "hall".to_owned(),
        deadlines: Deadlines {
            step: DeadlineConfig::default(),
            probe: DeadlineConfig::default(),
        },
        output: OutputForm::Handle,
        start: Instant::now(),
        quarantine: Arc::new(Quarantine::new(quarantine::Config::default(), NodeId(1))),
        retries: Mutex::new(RetryBudget::new(retries)),
        cooldowns: Mutex::new(Cooldowns::new(BusyConfig::default())),
        abort: CancellationToken::new(),
        tasks: TaskTracker::new(),
    }
}

/// Runs one session to its end and returns its outcome and the number of tokens it sent.
async fn run(driver: &Driver<ScriptedEngine>, name: &str) -> (Outcome, u32) {
    let admission = Admission::new(kelpworks::admission::Config::default());
    let request = AdmissionRequest {
        team: "studio",
        class: Class::Paying,
        weight: 1,
        cost: 10,
    };
    let permit = admission
        .admit(request)
        .await
        .expect("the request is admitted");
    let job = Job {
        session: name.to_owned(),
        team: "studio".to_owned(),
        class: Class::Paying,
        fingerprint: fingerprint("studio", "caption", name),
        model: ModelKey(0),
        prompt: vec![1, 2, 3],
        max_tokens: TOKENS,
        deadline: Instant::now() + Duration::from_secs(60),
    };
    let (tx, mut rx) = mpsc::channel(TOKENS as usize);
    let outcome = driver.run(job, &permit, &tx).await;
    drop(tx);
    let mut tokens = 0;
    while rx.recv().await.is_some() {
        tokens += 1;
    }
    (outcome, tokens)
}

fn unlimited_retries() -> RetryConfig {
    RetryConfig {
        burst: f64::INFINITY,
        min_per_second: f64::INFINITY,
        max_attempts: 32,
        ..RetryConfig::default()
    }
}

/// Bounds the steps sent to a stage that fails all of them, for 100 sequential requests: at most
/// the requests themselves, two delayed recoveries of each, and the retries that the budget allows.
/// Without a budget, every request uses all its attempts. Each attempt sends a step twice, as a
/// broken connection does not yet count as a failure of the engine.
#[rstest]
#[case::budget(50.0, 2.0)]
#[case::larger_burst(100.0, 0.0)]
#[case::none(0.0, 2.0)]
#[tokio::test(start_paused = true)]
async fn retry_budget_limits_steps_to_failing_stage(
    #[case] burst: f64,
    #[case] min_retries_per_second: f64,
) {
    let retries = RetryConfig {
        burst,
        min_per_second: min_retries_per_second,
        ..RetryConfig::default()
    };
    let (sent, took) = fail_all_requests(retries).await;
    let (baseline, _) = fail_all_requests(unlimited_retries()).await;
    // Retries earned over time accumulate up to the burst only.
    let earned = if burst > 0.0 {
        burst + min_retries_per_second * took.as_secs_f64()
    } else {
        0.0
    };
    let bound = 2 * (REQUESTS * (1 + GUARANTEED_RECOVERIES) + earned.ceil() as u64);
    println!("steps sent: {sent}, bound {bound}, without a budget {baseline}");
    assert!(sent <= bound, "{sent} steps, bound {bound}");
    assert_eq!(
        baseline,
        2 * REQUESTS * u64::from(unlimited_retries().max_attempts)
    );
}

async fn fail_all_requests(retries: RetryConfig) -> (u64, Duration) {
    let script = ScriptedEngine {
        failures: AtomicI64::new(i64::MAX),
        ..ScriptedEngine::default()
    };
    let driver = driver(script, retries);
    for n in 0..REQUESTS {
        let (outcome, tokens) = run(&driver, &n.to_string()).await;
        assert!(matches!(outcome.result, Err(SessionError::Retries { .. })));
        assert_eq!((outcome.verdict, tokens), (Verdict::MayHaveRun, 0));
    }
    let sent = driver.engine.last_stage_steps.load(Ordering::Relaxed);
    (sent, driver.start.elapsed())
}

/// With a spent budget, a request that has sent no token ends at its third failure, and one that
/// has sent tokens is completed.
#[rstest]
#[case::nothing_sent(0, 10, Err(AbandonReason::Budget), 0, 3)]
#[case::nothing_sent_and_two_failures(0, 4, Ok(()), TOKENS, 2)]
#[case::tokens_sent(2, 10, Ok(()), TOKENS, 5)]
#[tokio::test(start_paused = true)]
async fn spent_retry_budget_ends_only_unstarted_answers(
    #[case] successes: i64,
    #[case] failures: i64,
    #[case] expected: Result<(), AbandonReason>,
    #[case] tokens: u32,
    #[case] recoveries: u32,
) {
    let script = ScriptedEngine {
        successes: AtomicI64::new(successes),
        failures: AtomicI64::new(failures),
        ..ScriptedEngine::default()
    };
    let no_budget = RetryConfig {
        burst: 0.0,
        ..RetryConfig::default()
    };
    let driver = driver(script, no_budget);
    let (outcome, tokens_read) = run(&driver, "a").await;
    let result = match outcome.result {
        Ok(_) => Ok(()),
        Err(SessionError::Retries { reason, .. }) => Err(reason),
        Err(other) => panic!("{other}"),
    };
    assert_eq!((result, tokens_read), (expected, tokens));
    assert_eq!(outcome.recoveries, recoveries);
}

/// Returns the fleet with all upstreams of the last stage down.
fn fleet_without_last_stage() -> Fleet {
    let mut fleet = fleet();
    for upstream in fleet.upstreams.values_mut() {
        if upstream.layer_assignments[0].layers.first == LAST_STAGE_FIRST_LAYER {
            upstream.health = Health::Down;
        }
    }
    fleet.indexed()
}

/// All replicas of a stage are down for 20 s during a request: one that has sent no token ends
/// with an error after 5 s, and one that has sent tokens is completed.
#[rstest]
#[case::nothing_sent(0, false, 0, 5..6)]
#[case::tokens_sent(2, true, TOKENS, 20..22)]
#[tokio::test(start_paused = true)]
async fn stage_outage_ends_only_unstarted_answers(
    #[case] successes: i64,
    #[case] completes: bool,
    #[case] tokens: u32,
    #[case] seconds: std::ops::Range<u64>,
) {
    let script = ScriptedEngine {
        successes: AtomicI64::new(successes),
        failures: AtomicI64::new(2),
        ..ScriptedEngine::default()
    };
    let driver = driver(script, RetryConfig::default());
    let shared = Arc::clone(&driver.fleet);
    tokio::spawn(async move {
        // By then a step of each stage has begun: for the first token, or after two successes for
        // the third one.
        tokio::time::sleep(STEP_TIME * (2 * successes as u32 + 1)).await;
        shared.store(Arc::new(fleet_without_last_stage()));
        tokio::time::sleep(Duration::from_secs(20)).await;
        shared.store(Arc::new(fleet()));
    });
    let (outcome, tokens_read) = run(&driver, "a").await;
    let no_path = matches!(outcome.result, Err(SessionError::NoPath(_)));
    assert_eq!(
        (outcome.result.is_ok(), no_path, tokens_read),
        (completes, !completes, tokens)
    );
    assert!(seconds.contains(&driver.start.elapsed().as_secs()));
}

/// Busy replies cost no retries and put their upstream in a cooldown, which ends with the first
/// step that the upstream serves.
#[rstest]
#[case::once(1)]
#[case::often(40)]
#[tokio::test(start_paused = true)]
async fn busy_replies_cost_no_retries(#[case] busy: i64) {
    let script = ScriptedEngine {
        successes: AtomicI64::new(i64::MAX),
        busy: AtomicI64::new(busy),
        ..ScriptedEngine::default()
    };
    let no_budget = RetryConfig {
        burst: 0.0,
        ..RetryConfig::default()
    };
    let driver = driver(script, no_budget);
    let (outcome, tokens) = run(&driver, "a").await;
    assert!(outcome.result.is_ok(), "{outcome:?}");
    assert_eq!((tokens, outcome.recoveries), (TOKENS, 0));
    // The replica that served last has left its cooldown; the others stay in it until they are
    // tried.
    let fleet = driver.fleet.load();
    let until = fleet
        .upstreams
        .values()
        .map(|u| u.counters.busy_until_ms.load(Ordering::Relaxed));
    let cooling = until.filter(|&until| until > 0).count() as i64;
    assert_eq!(cooling, busy.min(i64::from(REPLICAS) - 1));
}
