//! Backoff that upstreams request and notices that they leave, with daemons in separate processes.

mod relay_site;

use std::time::Duration;
use std::time::Instant;

use reqwest::Method;

use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::daemon::Answer;
use relay_site::daemon::Relay;
use relay_site::daemon::RetryBudget;
use relay_site::daemon::send;
use relay_site::engine::Engine;
use relay_site::engine::Message;
use relay_site::engine::find_inner_engine;

const BACKOFF: Duration = Duration::from_secs(3);
const BACKOFF_HEADER_VALUE: &str = "3";
/// Time after a refusal from which the backoff has to hold, for messages that were under way.
const GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Time for which callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(7);
/// Events of a stream that runs for longer than [`GRACE_PERIOD`].
const STREAM_EVENTS: u64 = 200;
/// Requests that a daemon gets at once.
const REQUEST_BURST: usize = 3;
/// Pause between two bursts of requests to a daemon.
const BURST_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the daemon that a caller sent a request to, by the request's id, `d1-7`; `None` for
/// messages of the daemons themselves.
fn daemon_of(request: &str) -> Option<&str> {
    Some(request.strip_prefix('d')?.split_once('-')?.0)
}

/// Returns the highest number of messages of one daemon between a refusal that it got, plus
/// [`GRACE_PERIOD`], and the end of the backoff that the refusal asked for.
fn max_messages_in_backoff(messages: &[Message]) -> usize {
    let refusals = messages.iter().filter(|m| m.backoff.is_some());
    let count = |refusal: &Message| {
        let from = refusal.at + GRACE_PERIOD;
        let until = refusal.at + BACKOFF;
        let is_within = |m: &&Message| from <= m.at && m.at < until;
        let is_same_daemon = |m: &&Message| daemon_of(&m.request) == daemon_of(&refusal.request);
        messages
            .iter()
            .filter(is_same_daemon)
            .filter(is_within)
            .count()
    };
    refusals.map(count).max().unwrap_or(0)
}

/// Sends requests to the daemons in turn for [`LOAD_DURATION`], and returns the answers.
async fn load<F: Future<Output = Answer> + Send + 'static>(
    site: &Site,
    send: impl Fn(&Relay, String) -> F,
) -> Vec<Answer> {
    let until = Instant::now() + LOAD_DURATION;
    let mut calls = Vec::new();
    while Instant::now() < until {
        for (i, daemon) in site.daemons.iter().enumerate() {
            for _ in 0..REQUEST_BURST {
                calls.push(tokio::spawn(send(daemon, format!("d{i}-{}", calls.len()))));
            }
        }
        tokio::time::sleep(BURST_INTERVAL).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.expect("no panic"));
    }
    answers
}

fn stream(daemon: &Relay, id: String) -> impl Future<Output = Answer> + Send + use<> {
    let req = daemon.stream_request(&id, 2);
    async move { send(req).await.expect("an answer") }
}

fn call(daemon: &Relay, id: String) -> impl Future<Output = Answer> + Send + use<> {
    let req = daemon.request(Method::GET, "/often/x", &id);
    async move { send(req).await.expect("an answer") }
}

/// Returns the engine that was first on most paths of a few streams.
async fn busiest_first_engine(site: &Site) -> Engine {
    for (i, daemon) in site.daemons.iter().cycle().take(12).enumerate() {
        let answer = daemon.stream(&format!("w-{i}"), 2).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let runs = site.engines.runs();
    let count = |e: &Engine| runs.iter().filter(|r| r.first == e.instance).count();
    let all = site.engines.all();
    all.into_iter().max_by_key(count).expect("an engine")
}

/// Guards against requests, as first or later engine of a path, to an engine that asked the daemon
/// for a backoff: daemons returned after their own, shorter one.
#[tokio::test]
async fn engine_gets_no_requests_during_the_backoff_that_it_requested() {
    let site = Site::start("backoff-engine", 3).await;
    let engine = busiest_first_engine(&site).await;
    engine
        .constraints()
        .request_backoff(Some(BACKOFF_HEADER_VALUE));
    let answers = load(&site, stream).await;
    let messages = engine.constraints().messages();
    assert!(
        messages.iter().any(|m| m.backoff.is_some()),
        "the engine was asked"
    );
    assert_eq!(max_messages_in_backoff(&messages), 0);
    let refusals = messages.iter().filter(|m| m.backoff.is_some());
    for refusal in refusals {
        let passes = |r: &&relay_site::engine::Run| {
            let is_same_daemon = daemon_of(&r.request) == daemon_of(&refusal.request);
            let is_within = refusal.at + GRACE_PERIOD <= r.at && r.at < refusal.at + BACKOFF;
            is_same_daemon && is_within && r.path.contains(&engine.instance)
        };
        let passing = site.engines.runs().iter().filter(passes).count();
        assert_eq!(passing, 0, "paths through the engine");
    }
    let served = answers.iter().filter(|a| a.status == 200).count();
    assert_eq!(served, answers.len(), "other engines serve the requests");
}

/// Guards against requests to the only instance of a service during its backoff, and against
/// callers that wait in vain for its end.
#[tokio::test]
async fn service_gets_no_requests_during_the_backoff_that_it_requested() {
    let site = Site::start("backoff-service", 3).await;
    let constraints = site.app.constraints();
    constraints.request_backoff(Some(BACKOFF_HEADER_VALUE));
    let answers = load(&site, call).await;
    assert_eq!(max_messages_in_backoff(&constraints.messages()), 0);
    let is_refusal = |a: &&Answer| a.status == 503 && a.retry_after.is_some();
    let refused = answers.iter().filter(is_refusal).count();
    assert_eq!(refused, answers.len(), "{answers:?}");
    constraints.request_backoff(None);
    tokio::time::sleep(BACKOFF).await;
    let answer = call(&site.daemons[0], "d0-after".to_owned()).await;
    assert_eq!(answer.status, 200, "the backoff ends");
}

/// Guards against orders and queries to an engine that asked for a backoff: an engine that had lost
/// its layers was queried and ordered again every half second.
#[tokio::test]
async fn engine_gets_no_orders_or_queries_during_the_backoff_that_it_requested() {
    let site = Site::start("backoff-orders", 1).await;
    let engine = busiest_first_engine(&site).await;
    engine
        .constraints()
        .request_backoff(Some(BACKOFF_HEADER_VALUE));
    engine.restart();
    let until = Instant::now() + LOAD_DURATION;
    while Instant::now() < until {
        site.heartbeat();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let messages = engine.constraints().messages();
    let is_order = |m: &&Message| m.path == "/order" || m.path == "/report";
    assert!(messages.iter().any(|m| m.backoff.is_some() && is_order(&m)));
    assert_eq!(max_messages_in_backoff(&messages), 0);
}

/// Guards against orders that change the path of a running stream, sent to its first engine during
/// a backoff, and against streams that are lost because none may be sent.
#[tokio::test]
async fn first_engine_gets_no_reroute_orders_during_the_backoff_that_it_requested() {
    let domain = ["hall-a", "hall-a"];
    let budget = RetryBudget::default();
    let site = Site::start_in_domains("backoff-reroute", 1, budget, &domain).await;
    let daemon = &site.daemons[0];
    let engines = site.engines.all();
    let holds_first = |e: &&Engine| e.loaded_layers().is_some_and(|(from, _)| from == 0);
    let first_engines: Vec<&Engine> = engines.iter().filter(holds_first).collect();
    let mut streams = Vec::new();
    let inner = loop {
        let id = format!("d0-{}", streams.len());
        streams.push(tokio::spawn(daemon.start_stream(&id, STREAM_EVENTS).await));
        if let Some(inner) = find_inner_engine(&site.engines.runs()) {
            break inner;
        }
        assert!(streams.len() < 40, "{:?}", site.engines.runs());
    };
    for engine in &first_engines {
        engine
            .constraints()
            .request_backoff(Some(BACKOFF_HEADER_VALUE));
    }
    let refused = daemon.stream("d0-refused", 2).await.expect("an answer");
    assert_eq!(refused.status, 503, "all first engines back off");
    for engine in &first_engines {
        engine.constraints().request_backoff(None);
    }
    tokio::time::sleep(GRACE_PERIOD).await;
    site.engines.stall(&inner);
    for stream in streams {
        let body = stream.await.expect("no panic");
        let events = body.matches("id: ").count();
        assert_eq!(events as u64, STREAM_EVENTS, "{}", daemon.log());
    }
    for engine in first_engines {
        assert_eq!(max_messages_in_backoff(&engine.constraints().messages()), 0);
    }
}

/// Guards against requests to an engine after its answers stated that it is leaving, while its
/// entry in the store still says that it is ready.
#[tokio::test]
async fn engine_gets_no_requests_after_an_answer_that_it_is_leaving() {
    let site = Site::start("leaving-engine", 3).await;
    let engine = busiest_first_engine(&site).await;
    engine.constraints().announce_leaving();
    let begin = Instant::now();
    let answers = load(&site, stream).await;
    let served = answers.iter().filter(|a| a.status == 200).count();
    assert_eq!(served, answers.len(), "other engines serve the requests");
    for i in 0..site.daemons.len() {
        let name = i.to_string();
        let runs = site.engines.runs();
        let runs = runs.iter().filter(|r| daemon_of(&r.request) == Some(&name));
        let firsts: Vec<Instant> = runs
            .clone()
            .filter(|r| r.first == engine.instance && r.at >= begin)
            .map(|r| r.at)
            .collect();
        let Some(&noticed) = firsts.first() else {
            continue;
        };
        let passes = |r: &&relay_site::engine::Run| {
            r.at >= noticed + GRACE_PERIOD && r.path.contains(&engine.instance)
        };
        assert_eq!(runs.filter(passes).count(), 0, "requests of daemon {i}");
    }
}

/// Guards against requests to an upstream that left by its own word and whose entry is removed and
/// written again as ready, as when the store is restored from an older copy.
#[tokio::test]
async fn leaving_service_gets_no_requests_after_its_entry_is_written_again() {
    let site = Site::start("leaving-service", 1).await;
    let daemon = &site.daemons[0];
    site.app.constraints().announce_leaving();
    assert_eq!(call(daemon, "d0-last".to_owned()).await.status, 200);
    assert_eq!(call(daemon, "d0-next".to_owned()).await.status, 503);
    site.store.delete("servers", "s-0");
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.store.put("servers", "s-0", site.app.entry());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(call(daemon, "d0-again".to_owned()).await.status, 503);
    let requests = site.app.constraints().messages();
    let after: Vec<&Message> = requests.iter().filter(|m| m.request != "d0-last").collect();
    assert!(after.is_empty(), "{after:?}");
}

/// Guards against a notice of one incarnation that binds the next one at the same id.
#[tokio::test]
async fn restarted_engine_is_used_again_after_it_was_leaving() {
    let domain = ["hall-a"];
    let site = Site::start_in_domains("leaving-restart", 1, RetryBudget::default(), &domain).await;
    let daemon = &site.daemons[0];
    for engine in site.engines.all() {
        engine.constraints().announce_leaving();
    }
    assert_eq!(
        daemon.stream("d0-last", 2).await.expect("an answer").status,
        200
    );
    let refused = async || {
        daemon
            .stream("d0-r", 2)
            .await
            .is_ok_and(|a| a.status == 503)
    };
    wait_until(&site, refused).await;
    for engine in site.engines.all() {
        engine.constraints().announce_staying();
        engine.restart();
    }
    let served = async || {
        daemon
            .stream("d0-s", 2)
            .await
            .is_ok_and(|a| a.status == 200)
    };
    wait_until(&site, served).await;
}

/// Polls until a condition holds, and meanwhile publishes the engines' entries as their heartbeats
/// would.
async fn wait_until(site: &Site, mut holds: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < end,
            "{}",
            site.daemons[0].log()
        );
        site.heartbeat();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
