//! Request rate limits that upstreams announce, with daemons in separate processes.

mod relay_site;

use std::time::Duration;
use std::time::Instant;

use reqwest::Method;

use relay_site::Site;
use relay_site::daemon::Answer;
use relay_site::daemon::Relay;
use relay_site::daemon::send;
use relay_site::engine::Arrival;
use relay_site::engine::Engine;

const LIMIT_PER_SECOND: f64 = 2.0;
const LIMIT_HEADER_VALUE: &str = "2.0";
/// Length of the sliding window in which arrivals are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Time after the first announcement from which the limit has to hold.
const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Requests that are allowed in a window on top of the rate.
const BURST: f64 = 5.0;
/// Factor by which the rate may be exceeded.
const TOLERANCE: f64 = 1.5;
/// Time for which callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(9);
/// Pause of a caller between two requests to a daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Returns the highest number of arrivals in a window that begins with an arrival at or after
/// `from`.
fn max_arrivals_per_window(arrivals: &[Arrival], from: Instant) -> usize {
    let times = arrivals.iter().map(|a| a.at);
    let late: Vec<Instant> = times.filter(|&at| at >= from).collect();
    let count = |&first: &Instant| {
        let within = late
            .iter()
            .filter(|&&at| at >= first && at - first <= RATE_WINDOW);
        within.count()
    };
    late.iter().map(count).max().unwrap_or(0)
}

fn max_allowed_arrivals() -> usize {
    (TOLERANCE * LIMIT_PER_SECOND * RATE_WINDOW.as_secs_f64() + BURST) as usize
}

/// Sends requests to the daemons in turn for [`LOAD_DURATION`], and returns the answers.
async fn load<F: Future<Output = Answer> + Send + 'static>(
    site: &Site,
    send: impl Fn(&Relay, String) -> F,
) -> Vec<Answer> {
    let until = Instant::now() + LOAD_DURATION;
    let mut calls = Vec::new();
    while Instant::now() < until {
        for daemon in &site.daemons {
            calls.push(tokio::spawn(send(daemon, format!("l-{}", calls.len()))));
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.expect("no panic"));
    }
    answers
}

/// Returns the engine that was first on most paths.
fn first_engine(site: &Site) -> Engine {
    let runs = site.engines.runs();
    let count = |e: &Engine| runs.iter().filter(|r| r.first == e.instance).count();
    let all = site.engines.all();
    all.into_iter().max_by_key(count).expect("an engine")
}

fn stream(daemon: &Relay, id: String) -> impl Future<Output = Answer> + Send + use<> {
    let req = daemon.stream_request(&id, 2);
    async move { send(req).await.expect("an answer") }
}

fn call(daemon: &Relay, id: String) -> impl Future<Output = Answer> + Send + use<> {
    let req = daemon.request(Method::GET, "/often/x", &id);
    async move { send(req).await.expect("an answer") }
}

/// Guards against daemons that together send an engine more requests than its limit allows.
#[tokio::test]
async fn engine_gets_no_more_requests_than_its_announced_limit() {
    let site = Site::start("limit-engine", 3).await;
    for (i, daemon) in site.daemons.iter().cycle().take(12).enumerate() {
        let answer = daemon.stream(&format!("w-{i}"), 2).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let engine = first_engine(&site);
    engine.limit().announce(Some(LIMIT_HEADER_VALUE));
    let announced_at = Instant::now();
    let answers = load(&site, stream).await;
    let arrivals = engine.limit().arrivals();
    let most = max_arrivals_per_window(&arrivals, announced_at + GRACE_PERIOD);
    assert!(
        most <= max_allowed_arrivals(),
        "{most} in a window, {} allowed",
        max_allowed_arrivals()
    );
    let served = answers.iter().filter(|a| a.status == 200).count();
    assert_eq!(
        served,
        answers.len(),
        "other engines serve what exceeds the limit"
    );
}

/// Guards against daemons that together send a plain service more requests than its limit allows.
#[tokio::test]
async fn service_gets_no_more_requests_than_its_announced_limit() {
    let site = Site::start("limit-service", 3).await;
    site.app.limit().announce(Some(LIMIT_HEADER_VALUE));
    let announced_at = Instant::now();
    let answers = load(&site, call).await;
    let arrivals = site.app.limit().arrivals();
    let most = max_arrivals_per_window(&arrivals, announced_at + GRACE_PERIOD);
    assert!(
        most <= max_allowed_arrivals(),
        "{most} in a window, {} allowed",
        max_allowed_arrivals()
    );
    let is_refusal = |a: &&Answer| a.status == 503 && a.retry_after.is_some();
    let refused = answers.iter().filter(is_refusal).count();
    let served = answers.iter().filter(|a| a.status == 200).count();
    assert_eq!(served + refused, answers.len(), "{answers:?}");
}

/// Guards against a limit that outlasts its announcement.
#[tokio::test]
async fn limit_ends_with_the_first_answer_that_omits_it() {
    let site = Site::start("limit-ends", 1).await;
    site.app.limit().announce(Some(LIMIT_HEADER_VALUE));
    load(&site, call).await;
    site.app.limit().announce(None);
    tokio::time::sleep(GRACE_PERIOD).await;
    let daemon = &site.daemons[0];
    let ending = call(daemon, "e-1".to_owned()).await;
    assert_eq!(ending.status, 200);
    let answers = load(&site, call).await;
    assert!(answers.iter().all(|a| a.status == 200), "{answers:?}");
}
