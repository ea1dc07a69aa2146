//! A demo that runs three daemons and the fakes of all outside systems in one process.
//!
//! `cargo run --release --locked --example demo` prints the addresses and an example
//! request, and serves until Ctrl-C;
//! with `-- --once` it sends completions, chats and a service call
//! through every daemon, compares the answers with the model computed directly, and exits.

use std::process::ExitCode;

use kelpworks::daemon;
use kelpworks::daemon::Daemon;
use kelpworks_fakes::Model;

mod support;

use support::ExampleTeam;
use support::Result;

const MODEL: &str = "caption";
const MAX_TOKENS: u32 = 12;
const TEAMS: [ExampleTeam; 2] = [
    ExampleTeam {
        name: "merchandisers",
        class: "paying",
        weight: 4,
        token: "demo-paying",
    },
    ExampleTeam {
        name: "trial-sellers",
        class: "trial",
        weight: 1,
        token: "demo-trial",
    },
];

#[tokio::main]
async fn main() -> ExitCode {
    let once = std::env::args().any(|a| a == "--once");
    match run(once).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(wrong_answers) => {
            eprintln!("demo: {wrong_answers} answers differ from the model computed directly");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("demo: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the demo and returns the number of wrong answers, 0 when it only serves.
async fn run(once: bool) -> Result<u32> {
    let model = Model::new(MODEL, "1", 12);
    let fakes = support::spawn_pipeline(&model, 3, 2).await?;
    support::put_config(&fakes, std::slice::from_ref(&model), 0.2, &TEAMS)?;
    let metrics = daemon::install_metrics()?;
    let daemons = support::start_daemons(&fakes, 3, "balancer_notice = \"1 ms\"", &metrics).await?;
    let wrong_answers = if once {
        check(&model, &daemons).await?
    } else {
        serve(&daemons).await?
    };
    for daemon in daemons {
        daemon.stop().await;
    }
    Ok(wrong_answers)
}

async fn serve(daemons: &[Daemon]) -> Result<u32> {
    let bound = daemons[0].bound_addresses();
    println!("callers:  http://{}", bound.callers);
    println!("status:   http://{}/status", bound.operators);
    println!("metrics:  http://{}/metrics", bound.operators);
    println!(
        "\ntry:\n  curl -N http://{}/v1/completions \\",
        bound.callers
    );
    println!("    -H 'authorization: Bearer {}' \\", TEAMS[0].token);
    println!("    -d '{{\"model\": \"{MODEL}\", \"prompt\": \"A red kettle\", \"stream\": true}}'");
    println!("\nPress Ctrl-C to stop.");
    tokio::signal::ctrl_c().await?;
    Ok(0)
}

/// Sends completions, chats and a service call through every daemon; returns the number of wrong
/// answers.
async fn check(model: &Model, daemons: &[Daemon]) -> Result<u32> {
    let client = reqwest::Client::new();
    let (mut requests, mut wrong_answers) = (0, 0);
    for (n, daemon) in daemons.iter().enumerate() {
        let base = format!("http://{}", daemon.bound_addresses().callers);
        for team in &TEAMS {
            let prompt = format!("shot {n} of {}", team.name);
            requests += 2;
            let text = complete(&client, &base, team.token, &prompt).await?;
            wrong_answers += u32::from(text != model.answer_text(&prompt, MAX_TOKENS));
            let text = chat(&client, &base, team.token, &prompt).await?;
            let chat_prompt = format!("user: {prompt}\nassistant:");
            wrong_answers += u32::from(text != model.answer_text(&chat_prompt, MAX_TOKENS));
        }
        requests += 1;
        let url = format!("{base}/services/jobs/jobs/7");
        let res = client.get(url).bearer_auth(TEAMS[0].token).send().await?;
        wrong_answers += u32::from(!res.status().is_success());
    }
    println!(
        "{requests} requests through {} daemons, {wrong_answers} wrong answers",
        daemons.len()
    );
    Ok(wrong_answers)
}

async fn complete(
    client: &reqwest::Client,
    base: &str,
    token: &str,
    prompt: &str,
) -> Result<String> {
    let body = serde_json::json!({ "model": MODEL, "prompt": prompt, "max_tokens": MAX_TOKENS });
    let res = post(client, format!("{base}/v1/completions"), token, &body).await?;
    let answer: kelpworks_wire::CompletionResponse = res.json().await?;
    Ok(answer.choices.into_iter().map(|c| c.text).collect())
}

async fn chat(client: &reqwest::Client, base: &str, token: &str, prompt: &str) -> Result<String> {
    let messages = [serde_json::json!({ "role": "user", "content": prompt })];
    let body =
        serde_json::json!({ "model": MODEL, "messages": messages, "max_tokens": MAX_TOKENS });
    let res = post(client, format!("{base}/v1/chat/completions"), token, &body).await?;
    let answer: kelpworks_wire::ChatResponse = res.json().await?;
    Ok(answer
        .choices
        .into_iter()
        .map(|c| c.message.content)
        .collect())
}

async fn post(
    client: &reqwest::Client,
    url: String,
    token: &str,
    body: &serde_json::Value,
) -> Result<reqwest::Response> {
    let res = client
        .post(url)
        .bearer_auth(token)
        .json(body)
        .send()
        .await?;
    Ok(res.error_for_status()?)
}
