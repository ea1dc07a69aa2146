//! Daemons and a fake fleet in one process, and callers that compare answers with the model.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use reqwest::header::RETRY_AFTER;
use tokio::sync::broadcast;
use tokio::task::JoinSet;

use crate::support::ExampleTeam;
use crate::support::put_config;
use crate::support::settings;
use crate::support::wait_until_ready;
use kelpworks::daemon::Daemon;
use kelpworks::quarantine;
use kelpworks::quarantine::Fact;
use kelpworks::quarantine::Quarantine;
use kelpworks::quarantine::Statement;
use kelpworks::status::MemberState;
use kelpworks::status::fetch;
use kelpworks_fakes::FakeFleet;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;

const TEAM: ExampleTeam = ExampleTeam {
    name: "studio",
    class: "paying",
    weight: 1,
    token: "token-of-studio",
};
const DAEMONS: usize = 2;
/// Much longer than an answer takes, so that only a fault reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const TIMING: &str = "step_floor = \"500ms\"\n";

/// Isolation delay that lets facts of other daemons arrive in time also on a loaded machine.
fn quarantine_config() -> quarantine::Config {
    quarantine::Config {
        isolation_delay: Duration::from_millis(500),
        ..quarantine::Config::default()
    }
}

/// Daemons and a fake fleet that serves one model in a pipeline of 2 stages.
pub(crate) struct Bench {
    pub(crate) model: Model,
    pub(crate) fakes: FakeFleet,
    pub(crate) daemons: Vec<Daemon>,
    client: reqwest::Client,
}

/// A response of a daemon to a caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) verdict: Option<String>,
    /// In seconds.
    pub(crate) retry_after: Option<u64>,
    pub(crate) body: serde_json::Value,
}

impl Reply {
    pub(crate) fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }
}

impl Bench {
    /// Starts two daemons and `replicas` engines per stage; an engine restarts `restart` after a
    /// crash.
    pub(crate) async fn start(replicas: u32, restart: Duration) -> Bench {
        Bench::start_with(DAEMONS, replicas, restart, quarantine_config()).await
    }

    /// Like [`Bench::start`] with `count` daemons. The time limit on a test at a peer is beyond any
    /// wait here, so that only a report from the peer ends the wait for its verdict.
    pub(crate) async fn start_daemons(count: usize, replicas: u32, restart: Duration) -> Bench {
        let cfg = quarantine::Config {
            peer_test_timeout: WAIT_TIMEOUT * 2,
            ..quarantine_config()
        };
        Bench::start_with(count, replicas, restart, cfg).await
    }

    async fn start_with(
        count: usize,
        replicas: u32,
        restart: Duration,
        quarantine: quarantine::Config,
    ) -> Bench {
        let model = Model::new("caption", "1", 4);
        let mut cfg = FleetConfig::pipeline(&model, 2, replicas);
        for engine in &mut cfg.engines {
            engine.iteration_base = Duration::from_millis(10);
            engine.restart_after = Some(restart);
        }
        let fakes = FakeFleet::spawn(cfg).await.expect("the fake fleet starts");
        put_config(&fakes, std::slice::from_ref(&model), 0.5, &[TEAM]).expect("a configuration");
        let metrics = PrometheusBuilder::new().build_recorder().handle();
        let mut daemons = Vec::new();
        for n in 0..count {
            let settings = settings(&fakes, n, TIMING).expect("settings");
            let daemon = Daemon::start_with(&settings, metrics.clone(), quarantine.clone());
            daemons.push(daemon.await.expect("a daemon"));
        }
        for daemon in &daemons {
            wait_until_ready(daemon).await;
        }
        let bench = Bench {
            model,
            fakes,
            daemons,
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client"),
        };
        bench.wait_until_all_have_paths().await;
        bench
    }

    /// Waits until each daemon has a complete path, as a daemon is ready as soon as it has seen any
    /// upstream.
    async fn wait_until_all_have_paths(&self) {
        for n in 0..self.daemons.len() {
            while self.ask(n, "the first mug", 1).await.status != 200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until each daemon lists all others as live.
    pub(crate) async fn wait_until_all_peers_live(&self) {
        for daemon in &self.daemons {
            while live_peers(daemon).await + 1 < self.daemons.len() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Delivers the facts of each daemon to all daemons, in place of gossip and without its delay.
    pub(crate) fn forward_facts(&self) {
        for from in &self.daemons {
            let from = from.quarantine();
            let to: Vec<Arc<Quarantine>> = self.daemons.iter().map(Daemon::quarantine).collect();
            let mut facts = from.subscribe();
            tokio::spawn(async move {
                while let Ok(fact) = facts.recv().await {
                    to.iter().for_each(|q| q.apply_fact(fact));
                }
            });
        }
    }

    /// Sends a request to the `n`th daemon, and reads the whole answer.
    pub(crate) async fn ask(&self, n: usize, prompt: &str, max_tokens: u32) -> Reply {
        let url = self.url(n);
        ask(&self.client, &url, prompt, max_tokens).await
    }

    fn url(&self, n: usize) -> String {
        format!(
            "http://{}/v1/completions",
            self.daemons[n].bound_addresses().callers
        )
    }

    /// Repeats a request until no daemon has it under test any longer, and returns that reply.
    pub(crate) async fn ask_until_judged(&self, n: usize, prompt: &str, max_tokens: u32) -> Reply {
        let judged_reply = async {
            loop {
                let reply = self.ask(n, prompt, max_tokens).await;
                if reply.body["error"]["type"] != "under_test" {
                    return reply;
                }
                assert_eq!(reply.verdict.as_deref(), Some("not-run"));
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let reply = tokio::time::timeout(WAIT_TIMEOUT, judged_reply).await;
        reply.expect("the test at the other daemon ends")
    }

    /// Starts `count` callers, spread evenly over the daemons, that send one harmless request each.
    pub(crate) fn spawn_harmless_callers(
        &self,
        count: usize,
        max_tokens: u32,
    ) -> JoinSet<(String, Reply)> {
        let mut callers = JoinSet::new();
        for n in 0..count {
            let url = self.url(n % self.daemons.len());
            let client = self.client.clone();
            let prompt = harmless_prompt(n);
            callers.spawn(async move {
                let reply = ask(&client, &url, &prompt, max_tokens).await;
                (prompt, reply)
            });
        }
        callers
    }

    /// Waits until the engines together have run at least this many steps.
    pub(crate) async fn wait_for_steps(&self, at_least: u64) {
        while self.total(|t| t.runs) < at_least {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub(crate) fn crashes(&self) -> u64 {
        self.total(|t| t.crashes)
    }

    fn total(&self, of: impl Fn(kelpworks_fakes::engine::Totals) -> u64) -> u64 {
        let engines = self.fakes.engines.iter();
        engines.map(|e| of(e.ledger().totals())).sum()
    }

    /// Asserts that every caller received the model's answer.
    pub(crate) async fn assert_all_answered(
        &self,
        callers: JoinSet<(String, Reply)>,
        max_tokens: u32,
    ) {
        for (prompt, reply) in callers.join_all().await {
            assert_eq!(reply.status, 200, "{prompt}: {reply:?}");
            let expected = self.model.answer_text(&prompt, max_tokens);
            assert_eq!(reply.text(), expected, "{prompt}");
        }
    }
}

/// Prompt of the `n`th of [`Bench::spawn_harmless_callers`].
pub(crate) fn harmless_prompt(n: usize) -> String {
    format!("mug number {n}")
}

async fn live_peers(daemon: &Daemon) -> usize {
    let status = fetch(daemon.bound_addresses().operators, WAIT_TIMEOUT).await;
    let members = status.expect("a status").members;
    let live = members.iter().filter(|m| m.state == MemberState::Live);
    live.count()
}

async fn ask(client: &reqwest::Client, url: &str, prompt: &str, max_tokens: u32) -> Reply {
    let body = serde_json::json!({
        "model": "caption", "prompt": prompt, "max_tokens": max_tokens,
    });
    let req = client.post(url).bearer_auth(TEAM.token).json(&body);
    let res = req.send().await.expect("an answer");
    let header = |name: &str| {
        let value = res.headers().get(name)?;
        Some(value.to_str().expect("text").to_owned())
    };
    let status = res.status().as_u16();
    let verdict = header("kelpworks-verdict");
    let retry_after = header(RETRY_AFTER.as_str()).map(|v| v.parse().expect("seconds"));
    Reply {
        status,
        verdict,
        retry_after,
        body: res.json().await.expect("JSON"),
    }
}

/// Counts the refusals among the facts received so far.
pub(crate) fn count_refused(facts: &mut broadcast::Receiver<Fact>) -> usize {
    let facts = std::iter::from_fn(|| facts.try_recv().ok());
    facts
        .filter(|f| matches!(f.statement, Statement::Refused { .. }))
        .count()
}

/// Waits until every request under suspicion is cleared; panics if one is refused.
pub(crate) async fn wait_until_suspects_cleared(facts: &mut broadcast::Receiver<Fact>) {
    let mut suspects = HashSet::new();
    loop {
        while let Ok(fact) = facts.try_recv() {
            match fact.statement {
                Statement::Suspect { .. } => suspects.insert(fact.fingerprint.0),
                Statement::Cleared => suspects.remove(&fact.fingerprint.0),
                other => panic!("{other:?}"),
            };
        }
        if suspects.is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
