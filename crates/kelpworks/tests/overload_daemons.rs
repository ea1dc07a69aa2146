//! Trials offered far beyond capacity, at two daemons before stand-in engines: no paying answer is
//! lost, a refusal says that nothing ran and when to come back, and what was accepted is whole.

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
/// Trials asked for at once, at each daemon.
const TRIALS: usize = 150;
/// Paying answers asked for at once, at each daemon.
const PAYING_CALLS: usize = 40;
const MAX_TOKENS: u32 = 12;
/// Layers of a position that an engine runs a second: all trials would take minutes.
const LAYER_RATE: f64 = 2_000.0;
/// Long deadlines: no engine is silent here.
const SETTINGS: &str = "step_floor = \"2 s\"\nstep_ceiling = \"10 s\"\n\n[limits]\nqueue = 16\n";

/// What became of a trial.
enum Trial {
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

async fn bench() -> Bench {
    let model = Model::new(MODEL, "1", LAYERS);
    let mut cfg = FleetConfig::pipeline(&model, STAGES, REPLICAS);
    for engine in &mut cfg.engines {
        engine.layer_rate = LAYER_RATE;
    }
    Bench::of(cfg, model, DAEMONS, SETTINGS).await
}

async fn trial(bench: &Bench, n: usize) -> Trial {
    let caller = Caller::new(&bench.base(n % DAEMONS), TRIAL.token, MODEL);
    let prompt = format!("trial {n}");
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": MAX_TOKENS });
    let res = caller.post("/v1/completions").json(&body).send().await;
    let res = res.expect("an answer to each trial");
    if !res.status().is_success() {
        return Trial::Refused(refusal(res).await);
    }
    let request = header(&res, "kelpworks-request-id").expect("each answer names its request");
    let mut whole: kelpworks_wire::CompletionResponse = res.json().await.expect("an answer");
    let choice = whole.choices.remove(0);
    let finish = choice.finish_reason.expect("a whole answer has an end");
    let answer = Answer {
        request,
        text: choice.text,
        end: End::Whole(finish),
    };
    Trial::Answered(answer, prompt)
}

async fn refusal(res: Response) -> Refusal {
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

async fn paying(bench: &Bench, n: usize) -> (Answer, String) {
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
        "when to come back"
    );
    let ran = |e: &kelpworks_fakes::Engine| e.ledger().runs_of(&refusal.request).len();
    let runs: usize = bench.fakes.engines.iter().map(ran).sum();
    assert_eq!(runs, 0, "a refused trial ran: {}", refusal.request);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trials_beyond_capacity_cost_no_paying_answer() {
    let bench = bench().await;
    let trials = join_all((0..DAEMONS * TRIALS).map(|n| trial(&bench, n)));
    let paying = join_all((0..DAEMONS * PAYING_CALLS).map(|n| paying(&bench, n)));
    let (trials, paying) = tokio::join!(trials, paying);
    for (answer, prompt) in &paying {
        assert_whole(&bench, answer, prompt);
    }
    let (mut answered, mut refused) = (0, HashSet::new());
    for trial in &trials {
        match trial {
            Trial::Answered(answer, prompt) => {
                answered += 1;
                assert_whole(&bench, answer, prompt);
            }
            Trial::Refused(refusal) => {
                assert_not_run(&bench, refusal);
                refused.insert(&refusal.request);
            }
        }
    }
    assert!(answered > 0, "trials get what is left");
    assert!(
        refused.len() > TRIALS,
        "far beyond capacity: {answered} answered"
    );
    bench.until_free().await;
}
