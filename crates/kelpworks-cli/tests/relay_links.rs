//! Daemons in separate processes of which some lose their links to all upstreams.

mod relay_site;

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::header::HeaderMap;
use reqwest::header::HeaderName;
use reqwest::header::HeaderValue;
use rstest::rstest;
use rustix::process::Signal;
use tokio::task::JoinHandle;

use relay_site::HOST;
use relay_site::KEY;
use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::cut::LinksOf;
use relay_site::daemon::Answer;
use relay_site::daemon::Relay;
use relay_site::daemon::RetryBudget;
use relay_site::daemon::send;
use relay_site::engine::App;

const DAEMONS: usize = 4;
/// Number of daemons that lose their links: the first ones.
const CUT_DAEMONS: usize = 2;
/// Time after the loss of links from which first attempts have to be served.
const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Time for which first attempts are counted after that.
const COUNTED_PERIOD: Duration = Duration::from_secs(3);
/// Pause between two series of requests to each daemon.
const SERIES_INTERVAL: Duration = Duration::from_millis(60);
/// Fraction of the first attempts at the other daemons that has to be served at the cut ones.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;
/// Events of a stream in the load.
const EVENTS: u64 = 8;

/// First attempts of callers and how many were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FirstAttempts {
    sent: usize,
    served: usize,
}

impl FirstAttempts {
    fn ratio(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// A request under way: number of the daemon, time of sending, answer.
struct Call {
    daemon: usize,
    sent: Instant,
    answer: JoinHandle<Option<Answer>>,
}

fn start_call(number: usize, daemon: &Relay, series: usize) -> Call {
    let id = format!("d{number}-{series}");
    let req: RequestBuilder = match series % 4 {
        0 => daemon.request(Method::GET, "/often/x", &id),
        1 => daemon.request(Method::POST, "/once/x", &id),
        _ => daemon.stream_request(&id, EVENTS),
    };
    Call {
        daemon: number,
        sent: Instant::now(),
        answer: tokio::spawn(async move { send(req).await.ok() }),
    }
}

fn is_served(answer: &Answer) -> bool {
    let is_whole = !answer.body.contains("data:") || answer.ids().len() as u64 == EVENTS;
    answer.status == 200 && is_whole
}

/// Sends requests of all kinds to all daemons for a time.
async fn load(site: &Site, duration: Duration) -> Vec<Call> {
    let until = Instant::now() + duration;
    let mut calls = Vec::new();
    let mut series = 0;
    while Instant::now() < until {
        for (i, daemon) in site.daemons.iter().enumerate() {
            calls.push(start_call(i, daemon, series));
        }
        series += 1;
        tokio::time::sleep(SERIES_INTERVAL).await;
    }
    calls
}

/// Counts the first attempts from a moment on, at the cut daemons and at the others.
async fn count(calls: Vec<Call>, from: Instant) -> [FirstAttempts; 2] {
    let mut counts = [FirstAttempts::default(); 2];
    for call in calls {
        let answer = call.answer.await.expect("no panic");
        if call.sent < from {
            continue;
        }
        let count = &mut counts[usize::from(call.daemon >= CUT_DAEMONS)];
        count.sent += 1;
        count.served += usize::from(answer.as_ref().is_some_and(is_served));
    }
    counts
}

/// Guards against refusals by daemons whose links to all upstreams are lost, while other daemons
/// can serve the requests.
#[rstest]
#[case::reset(LinksOf::Reset)]
#[case::silent(LinksOf::Silent)]
#[case::refuse_new(LinksOf::RefuseNew)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_without_links_to_upstreams_serve_their_callers(#[case] state: LinksOf) {
    let site = Site::start_with_links(&format!("links-{state:?}"), DAEMONS).await;
    for daemon in 0..CUT_DAEMONS {
        site.set_links(daemon, state);
    }
    let from = Instant::now() + GRACE_PERIOD;
    let calls = load(&site, GRACE_PERIOD + COUNTED_PERIOD).await;
    let [cut, others] = count(calls, from).await;
    assert!(others.ratio() > 0.9, "the others serve: {others:?}");
    assert!(
        cut.ratio() >= MIN_SERVED_RATIO * others.ratio(),
        "cut: {cut:?}, others: {others:?}"
    );
}

/// Events of a stream that runs for more than a second.
const LONG_STREAM: u64 = 150;
/// Counter of requests that a daemon served for others.
const RECEIVED: &str = "kelpworks_handovers_received_total{outcome=\"served\"}";
/// Counter of requests that a daemon handed over and that were answered.
const ANSWERED: &str = "kelpworks_handovers_total{outcome=\"answered\"}";
/// Field of a request that is handed over.
const HANDOVER_HEADER: &str = "kelpworks-handover";
/// Field of a refusal by the daemon that a request was handed over to.
const REFUSAL_HEADER: &str = "kelpworks-handover-refusal";
/// Time within which an upstream stops work on a request whose caller has left.
const CANCELLATION_BOUND: Duration = Duration::from_millis(500);

/// Starts a site whose first daemon has lost its links, and waits until it hands requests over.
async fn site_with_a_cut_daemon(name: &str, daemons: usize) -> Site {
    let site = Site::start_with_links(name, daemons).await;
    site.set_links(0, LinksOf::Reset);
    wait_until_handed_over(&site).await;
    site
}

async fn wait_until_handed_over(site: &Site) {
    let cut = &site.daemons[0];
    let until = Instant::now() + WAIT_TIMEOUT;
    for i in 0.. {
        let answer = cut.stream(&format!("probe-{i}"), 2).await;
        let is_served = answer.is_ok_and(|a| a.status == 200);
        if is_served && cut.counter(ANSWERED).await > 0 {
            return;
        }
        assert!(Instant::now() < until, "not handed over: {}", cut.log());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the number of the daemon that has served most requests for others.
async fn receiver(site: &Site) -> usize {
    let mut counts = Vec::new();
    for daemon in &site.daemons[1..] {
        counts.push(daemon.counter(RECEIVED).await);
    }
    let (index, _) = counts
        .iter()
        .enumerate()
        .max_by_key(|&(_, n)| n)
        .expect("daemons");
    index + 1
}

/// Guards against events that are lost or come twice when the daemon that serves a stream for
/// another dies in the middle of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_goes_on_when_the_daemon_that_it_was_handed_to_dies() {
    let mut site = site_with_a_cut_daemon("links-receiver", 2).await;
    let stream = site.daemons[0].start_stream("s-1", LONG_STREAM).await;
    let receiver = receiver(&site).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.daemons[receiver].kill();
    site.set_links(0, LinksOf::Sound);
    let body = stream.await;
    let ids = body.lines().filter_map(|l| l.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|id| id.parse().expect("a number")).collect();
    assert_eq!(ids, (1..=LONG_STREAM).collect::<Vec<u64>>());
}

/// Guards against upstreams that work on for a caller who has left, if its request was handed over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_stream_ends_at_the_upstream_of_the_other_daemon() {
    let site = site_with_a_cut_daemon("links-cancel", 3).await;
    let stream = site.daemons[0].start_stream("s-1", 1_000).await;
    assert!(site.engines.active_streams() > 0);
    drop(stream);
    tokio::time::sleep(CANCELLATION_BOUND).await;
    assert_eq!(site.engines.active_streams(), 0);
}

/// Guards against a request that may run once at most and is handed to a second daemon after the
/// first fell silent, and against callers that wait long after their deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_is_handed_over_once_unless_it_has_not_run() {
    let site = site_with_a_cut_daemon("links-once", 3).await;
    for daemon in &site.daemons[1..] {
        daemon.signal(Signal::STOP);
    }
    let sent = Instant::now();
    let calls = (0..4).map(|i| {
        let req = site.daemons[0].request(Method::POST, "/once/x", &format!("c-{i}"));
        let deadline = HeaderMap::from_iter([(
            HeaderName::from_static("x-kelpworks-deadline-ms"),
            HeaderValue::from_static("1500"),
        )]);
        tokio::spawn(send(req.headers(deadline)))
    });
    for call in calls.collect::<Vec<_>>() {
        let answer = call.await.expect("no panic").expect("an answer");
        assert!([502, 503, 504].contains(&answer.status), "{answer:?}");
    }
    assert!(
        sent.elapsed() < WAIT_TIMEOUT / 2,
        "answered near the deadline"
    );
    for daemon in &site.daemons[1..] {
        daemon.signal(Signal::CONT);
    }
    tokio::time::sleep(CANCELLATION_BOUND).await;
    for i in 0..4 {
        assert!(site.app.run_count(&format!("c-{i}")) <= 1, "ran twice");
    }
}

/// Guards against requests that wait, or go from daemon to daemon, when none reaches the upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_at_once_when_no_daemon_reaches_the_upstreams() {
    let site = site_with_a_cut_daemon("links-none", 3).await;
    for daemon in 1..3 {
        site.set_links(daemon, LinksOf::Reset);
    }
    let until = Instant::now() + Duration::from_secs(2);
    for i in 0.. {
        for daemon in &site.daemons {
            let _ = daemon.stream(&format!("w-{i}"), 2).await;
        }
        if Instant::now() > until {
            break;
        }
    }
    for (i, daemon) in site.daemons.iter().enumerate() {
        let answer = daemon
            .stream(&format!("s-{i}"), 2)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after.is_some());
    }
}

/// Guards against a daemon that hands requests over long after its links are back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_serves_by_itself_again_when_its_links_are_back() {
    let site = site_with_a_cut_daemon("links-back", 2).await;
    site.set_links(0, LinksOf::Sound);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let cut = &site.daemons[0];
    let before = cut.counter(ANSWERED).await;
    for i in 0..10 {
        let answer = cut.stream(&format!("s-{i}"), 4).await.expect("an answer");
        assert_eq!((answer.status, answer.ids()), (200, vec![1, 2, 3, 4]));
    }
    assert_eq!(cut.counter(ANSWERED).await, before);
}

/// Guards against requests that run although what came with them can't be trusted or is out of
/// date: nothing at all, not JSON, a passed deadline, a configuration that does not exist yet.
#[rstest]
#[case::absent("absent", None)]
#[case::not_json("not_json", Some("{"))]
#[case::wrong_types("wrong_types", Some(r#"{"version":"3","left_ms":-1}"#))]
#[case::truncated("truncated", Some(r#"{"version":3,"left_ms":10"#))]
#[case::deadline_passed("deadline_passed", Some(r#"{"version":3,"left_ms":0}"#))]
#[case::unknown_version("unknown_version", Some(r#"{"version":99,"left_ms":2000}"#))]
#[tokio::test]
async fn invalid_handover_is_refused_without_running(
    #[case] name: &str,
    #[case] head: Option<&str>,
) {
    let site = Site::start_with_handover(&format!("links-{name}"), 1, RetryBudget::default()).await;
    let url = format!("http://{}/often/x", site.daemons[0].handover);
    let mut req = reqwest::Client::new().get(url).bearer_auth(KEY);
    req = req
        .header("host", HOST)
        .header("x-kelpworks-attempt-id", "h-1");
    if let Some(head) = head {
        req = req.header(HANDOVER_HEADER, head);
    }
    let res = req.send().await.expect("an answer");
    assert_eq!(res.status(), 503);
    assert_eq!(res.headers()[REFUSAL_HEADER], "not-run");
    assert_eq!(site.app.run_count("h-1"), 0);
}

/// Guards against callers that pass for daemons: the field is ignored on their address.
#[tokio::test]
async fn handover_field_of_a_caller_is_ignored() {
    let site = Site::start_with_handover("links-forged", 1, RetryBudget::default()).await;
    let req = site.daemons[0].request(Method::GET, "/often/x", "f-1");
    let head = r#"{"version":99,"left_ms":0,"may_have_reached":true}"#;
    let answer = send(req.header(HANDOVER_HEADER, head))
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200);
}

/// Guards against requests that go from daemon to daemon: one that was handed over is not passed on,
/// even if the daemon that it was handed to loses its links at that moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_was_handed_over_is_not_passed_on() {
    let site = Site::start_with_links("links-hop", 2).await;
    site.set_links(0, LinksOf::Reset);
    let url = format!("http://{}/often/x", site.daemons[0].handover);
    let req = reqwest::Client::new().get(url).bearer_auth(KEY);
    let req = req
        .header("host", HOST)
        .header("x-kelpworks-attempt-id", "h-1")
        .header(HANDOVER_HEADER, r#"{"version":3,"left_ms":2000}"#);
    let res = req.send().await.expect("an answer");
    assert!(res.status().is_server_error());
    assert!(res.headers().contains_key(REFUSAL_HEADER));
    assert_eq!(site.daemons[1].counter(RECEIVED).await, 0);
}

/// Guards against a call that runs at more upstreams than its route allows because the attempts of
/// the daemon that handed it over are not counted.
#[rstest]
#[case::none_before(0, 2)]
#[case::one_before(1, 1)]
#[case::all_before(2, 0)]
#[tokio::test]
async fn attempts_before_a_handover_count(#[case] runs: u32, #[case] expected: u32) {
    let site =
        Site::start_with_handover(&format!("links-runs-{runs}"), 1, RetryBudget::default()).await;
    let second = App::start("s-1").await;
    site.store.put("servers", "s-1", second.entry());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let url = format!("http://{}/often/reset", site.daemons[0].handover);
    let head = format!(
        r#"{{"version":3,"left_ms":4000,"may_have_reached":{},"has_retry":true,"runs":{runs}}}"#,
        runs > 0
    );
    let req = reqwest::Client::new().get(url).bearer_auth(KEY);
    let req = req
        .header("host", HOST)
        .header("x-kelpworks-attempt-id", "r-1")
        .header(HANDOVER_HEADER, head);
    let res = req.send().await.expect("an answer");
    assert!(res.status().is_server_error());
    assert_eq!(
        site.app.run_count("r-1") + second.run_count("r-1"),
        expected
    );
}

/// Guards against requests that are abandoned for a hand-over because all engines are silent for a
/// second, when no daemon has a retry left: the engines go on with them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silence_of_all_engines_for_a_second_loses_no_request() {
    let no_retries = RetryBudget {
        ratio: 0.0,
        slack: 0.0,
        ..RetryBudget::default()
    };
    let site = Site::start_with_handover("links-silence", 2, no_retries).await;
    let set_stalled = |stalled| {
        for engine in site.engines.all() {
            engine.set_stalled(stalled);
        }
    };
    set_stalled(true);
    let streams: Vec<_> = (0..8)
        .map(|i| {
            let req = site.daemons[i % 2].stream_request(&format!("s-{i}"), EVENTS);
            tokio::spawn(send(req))
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    set_stalled(false);
    for stream in streams {
        let answer = stream.await.expect("no panic").expect("an answer");
        assert!(is_served(&answer), "{answer:?}");
    }
}

/// Maximum number of engines where a stream may run: the route's in the site's configuration.
const MAX_ENGINES: usize = 2;

/// Returns the number of a daemon, other than the first, that serves a request, once one does.
async fn wait_for_server(site: &Site, request: &str, ended: &[usize]) -> usize {
    let is_served = |line: &str| line.contains("handed over by a peer") && line.contains(request);
    let serves = |&i: &usize| site.daemons[i].log().lines().any(is_served);
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        let mut others = (1..site.daemons.len()).filter(|i| !ended.contains(i));
        if let Some(server) = others.find(serves) {
            return server;
        }
        assert!(Instant::now() < until, "no daemon serves the request");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn wait_until_engines_are_lost(daemon: &Relay) {
    let is_lost = |line: &str| line.contains("out of reach") && line.contains("\"llm\"");
    let until = Instant::now() + WAIT_TIMEOUT;
    for i in 0.. {
        if daemon.log().lines().any(is_lost) {
            return;
        }
        assert!(Instant::now() < until, "links are not lost");
        let _ = daemon.stream(&format!("lost-{i}"), 2).await;
    }
}

async fn wait_until_served(daemons: &[Relay]) {
    let until = Instant::now() + WAIT_TIMEOUT;
    for daemon in daemons {
        while !daemon
            .stream("again", 2)
            .await
            .is_ok_and(|a| a.status == 200)
        {
            assert!(Instant::now() < until, "a daemon does not serve");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against a stream that runs at more engines than its route allows, since the daemon that handed
/// it over does not know where daemons ran it that ended meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_whose_receivers_end_runs_at_no_more_engines_than_allowed() {
    // Each domain holds the first layer several times.
    let domains = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b"];
    let mut site = Site::start_with_links_in_domains("links-receivers", 4, &domains).await;
    let first_engines: HashSet<String> = {
        for i in 0..40 {
            let _ = site.daemons[i % 4].stream(&format!("w-{i}"), 2).await;
        }
        site.engines.runs().into_iter().map(|r| r.first).collect()
    };
    assert!(first_engines.len() > MAX_ENGINES, "{first_engines:?}");
    site.set_links(0, LinksOf::Reset);
    wait_until_engines_are_lost(&site.daemons[0]).await;
    for round in 0..4 {
        let request = format!("long-{round}");
        let stream = tokio::spawn(send(site.daemons[0].stream_request(&request, 400)));
        let mut ended = Vec::new();
        for _ in 0..2 {
            let server = wait_for_server(&site, &request, &ended).await;
            tokio::time::sleep(Duration::from_millis(150)).await;
            site.daemons[server].kill();
            ended.push(server);
        }
        let _ = tokio::time::timeout(WAIT_TIMEOUT, stream).await;
        for &i in &ended {
            site.daemons[i].restart();
            site.set_links(i, LinksOf::Sound);
        }
        wait_until_served(&site.daemons[1..]).await;
        let runs = site.engines.runs();
        let own = runs.iter().filter(|r| r.request == request);
        let engines: HashSet<&String> = own.map(|r| &r.first).collect();
        assert!(engines.len() <= MAX_ENGINES, "round {round}: {engines:?}");
    }
}
