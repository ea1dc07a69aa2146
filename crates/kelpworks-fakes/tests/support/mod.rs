//! Helpers of the interface tests: an HTTP client, and a driver of a whole pipeline.

// Each test file is a separate crate and uses only some of the helpers.
#![allow(dead_code)]

use std::time::Duration;

use reqwest::Client;
use reqwest::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;

use kelpworks_fakes::Engine;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::Model;
use kelpworks_wire::Class;
use kelpworks_wire::HandleRef;
use kelpworks_wire::LayerRange;
use kelpworks_wire::OutputForm;
use kelpworks_wire::Step;
use kelpworks_wire::StepBatch;
use kelpworks_wire::StepBatchReply;
use kelpworks_wire::StepInput;
use kelpworks_wire::StepOutcome;
use kelpworks_wire::StepReply;

/// Returns the timeout for a reply: generous if one is expected, short if none is.
pub(crate) fn reply_timeout(expected: bool) -> Duration {
    match expected {
        true => Duration::from_secs(60),
        false => Duration::from_millis(300),
    }
}

pub(crate) fn model() -> Model {
    Model::new("caption", "1", 6)
}

pub(crate) fn layers(first: u32, end: u32) -> LayerRange {
    LayerRange { first, end }
}

/// A first step of session `s`, attempt 1, over layers 0..2 of [`model`].
pub(crate) fn step(input: impl Into<StepInput>) -> Step {
    Step {
        session: "s".to_owned(),
        attempt: 1,
        position: 0,
        layers: layers(0, 2),
        model: "caption".to_owned(),
        version: "1".to_owned(),
        class: Class::Paying,
        input: input.into(),
        output: OutputForm::Inline,
        deadline_ms: 5000,
        prefix: String::new(),
    }
}

pub(crate) fn client() -> Client {
    Client::builder().no_proxy().build().unwrap()
}

pub(crate) async fn post(
    url: &str,
    path: &str,
    body: &impl Serialize,
) -> reqwest::Result<Response> {
    client()
        .post(format!("{url}{path}"))
        .json(body)
        .send()
        .await
}

pub(crate) async fn get<T: DeserializeOwned>(url: &str, path: &str) -> T {
    let res = client().get(format!("{url}{path}")).send().await.unwrap();
    res.json().await.unwrap()
}

pub(crate) async fn try_steps(url: &str, steps: Vec<Step>) -> reqwest::Result<Vec<StepReply>> {
    let res = post(url, "/v1/steps", &StepBatch { steps }).await?;
    let reply: StepBatchReply = res.error_for_status()?.json().await?;
    Ok(reply.replies)
}

pub(crate) async fn run(engine: &Engine, step: Step) -> StepOutcome {
    let mut replies = try_steps(&engine.url(), vec![step]).await.unwrap();
    replies.remove(0).outcome
}

/// Drives one session through the first replica of each stage, `chunk` prompt tokens at a time.
pub(crate) async fn answer(
    fleet: &FakeFleet,
    output: OutputForm,
    prompt: &[u32],
    chunk: usize,
    max_tokens: usize,
) -> Vec<u32> {
    let mut answer = Vec::new();
    let mut position = 0;
    let mut next = 0;
    for tokens in prompt.chunks(chunk) {
        next = forward(fleet, output, position, tokens.to_vec()).await;
        position += tokens.len() as u32;
    }
    while next != 0 && answer.len() < max_tokens {
        answer.push(next);
        next = forward(fleet, output, position, vec![next]).await;
        position += 1;
    }
    answer
}

async fn forward(fleet: &FakeFleet, output: OutputForm, position: u32, tokens: Vec<u32>) -> u32 {
    let count = tokens.len() as u32;
    let mut input = StepInput::Tokens(tokens);
    for engine in &fleet.engines {
        let sent = Step {
            position,
            layers: engine.state().loaded[0].layers.clone(),
            output,
            ..step(input)
        };
        input = match run(engine, sent).await {
            StepOutcome::Token(token) => return token,
            StepOutcome::Rows(rows) => StepInput::Rows(rows),
            StepOutcome::Handle(handle) => StepInput::Handle(HandleRef {
                upstream: engine.url(),
                handle,
                count,
            }),
            other => panic!("{other:?}"),
        };
    }
    panic!("the last stage returned no token");
}
