//! Trial requests far beyond the capacity of two daemons with fake engines: no paying answer is
//! lost, each refusal says that nothing ran and when to retry, and accepted requests complete.

mod caller;
mod path;
#[path = "../examples/support/mod.rs"]
mod support;

use std::collections::HashSet;

use futures_util::future::join_all;
use reqwest::Response;
use reqwest::StatusCode;
use serde_json::json;

use caller::Answer;
use caller::Caller;
use caller::End;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use kelpworks_wire::ErrorBody;
use kelpworks_wire::FinishReason;
use path::Bench;
use path::LAYERS;
use path::MODEL;
use path::REPLICAS;
use path::STAGES;
use path::TRIAL;
use path::lineage::assert_exactly_once;

const DAEMONS: usize = 2;
/// Concurrent trial requests per daemon.
const TRIAL_REQUESTS: usize = 150;
/// Concurrent paying requests per daemon.
const PAYING_REQUESTS: usize = 40;
const MAX_TOKENS: u32 = 12;
/// Layers, counted per position, that an engine runs per second. At this rate all trial requests
/// together would take minutes.
const LAYER_RATE: f64 = 2_000.0;
/// Long step deadlines, as no engine stalls here.
const SETTINGS: &str = "step_floor = \"2 s\"\nstep_ceiling = \"10 s\"\n\n[limits]\nqueue = 16\n";

/// Outcome of a trial request.
enum TrialOutcome {
    Answered(Answer, String),
    Refused(Refusal),
}

struct Refusal {
    request: String,
    retry_after: Option<u64>,
    verdict: Option<String>,
    status: StatusCode,
    body: ErrorBody,
}

async fn start_bench() -> Bench {
    let model = Model::new(MODEL, "1", LAYERS);
    let mut cfg = FleetConfig::pipeline(&model, STAGES, REPLICAS);
    for engine in &mut cfg.engines {
        engine.layer_rate = LAYER_RATE;
    }
    Bench::start_with(cfg, model, DAEMONS, SETTINGS).await
}

async fn send_trial(bench: &Bench, n: usize) -> TrialOutcome {
    let caller = Caller::new(&bench.base_url(n % DAEMONS), TRIAL.token, MODEL);
    let prompt = format!("trial {n}");
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": MAX_TOKENS });
    let res = caller.post("/v1/completions").json(&body).send().await;
    let res = res.expect("an answer to each trial");
    if !res.status().is_success() {
        return TrialOutcome::Refused(read_refusal(res).await);
    }
    let request = header(&res, "kelpworks-request-id").expect("each answer names its request");
    let mut completion: kelpworks_wire::CompletionResponse = res.json().await.expect("an answer");
    let choice = completion.choices.remove(0);
    let finish = choice
        .finish_reason
        .expect("a complete answer has a finish reason");
    let answer = Answer {
        request,
        text: choice.text,
        end: End::Whole(finish),
    };
    TrialOutcome::Answered(answer, prompt)
}

async fn read_refusal(res: Response) -> Refusal {
    Refusal {
        request: header(&res, "kelpworks-request-id").expect("each answer names its request"),
        retry_after: header(&res, "retry-after").and_then(|v| v.parse().ok()),
        verdict: header(&res, "kelpworks-verdict"),
        status: res.status(),
        body: res.json().await.expect("an error body"),
    }
}

fn header(res: &Response, name: &str) -> Option<String> {
    let value = res.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn send_paying(bench: &Bench, n: usize) -> (Answer, String) {
    let prompt = format!("paying {n}");
    let caller = bench.caller(n % DAEMONS);
    let answer = caller.complete(&prompt, MAX_TOKENS).await;
    (answer.expect("an answer"), prompt)
}

fn assert_whole(bench: &Bench, answer: &Answer, prompt: &str) {
    assert!(matches!(answer.end, End::Whole(_)), "{answer:?}");
    assert_eq!(answer.text, bench.model.answer_text(prompt, MAX_TOKENS));
    if answer.end == End::Whole(FinishReason::Length) {
        let positions = prompt.len() as u32 + MAX_TOKENS - 1;
        assert_exactly_once(&bench.fakes, &answer.request, LAYERS, positions);
    }
}

fn assert_not_run(bench: &Bench, refusal: &Refusal) {
    assert_eq!(refusal.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(refusal.verdict.as_deref(), Some("not-run"));
    assert_eq!(refusal.body.error.verdict, "not-run");
    assert!(
        refusal.retry_after.is_some_and(|s| s >= 1),
        "a refusal without a retry time"
    );
    let ran = |e: &kelpworks_fakes::Engine| e.ledger().runs_of(&refusal.request).len();
    let runs: usize = bench.fakes.engines.iter().map(ran).sum();
    assert_eq!(runs, 0, "a refused trial ran: {}", refusal.request);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paying_answers_complete_under_trial_overload() {
    let bench = start_bench().await;
    let trials = join_all((0..DAEMONS * TRIAL_REQUESTS).map(|n| send_trial(&bench, n)));
    let paying = join_all((0..DAEMONS * PAYING_REQUESTS).map(|n| send_paying(&bench, n)));
    let (trials, paying) = tokio::join!(trials, paying);
    for (answer, prompt) in &paying {
        assert_whole(&bench, answer, prompt);
    }
    let (mut answered, mut refused) = (0, HashSet::new());
    for trial in &trials {
        match trial {
            TrialOutcome::Answered(answer, prompt) => {
                answered += 1;
                assert_whole(&bench, answer, prompt);
            }
            TrialOutcome::Refused(refusal) => {
                assert_not_run(&bench, refusal);
                refused.insert(&refusal.request);
            }
        }
    }
    assert!(answered > 0, "no trial was answered");
    assert!(
        refused.len() > TRIAL_REQUESTS,
        "too few trials were refused; {answered} were answered"
    );
    bench.wait_until_kv_freed().await;
}
